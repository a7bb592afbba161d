"""Bad clients connect by the hundred and send hundreds of requests each; an object is purged meanwhile.

Are requests of the usual clients that are sent later answered by the purged copy?
"""

import json
import subprocess
import sys
import time
from pathlib import Path

from standins import CLASSES, TROUBLE, Board, CannotRun, Client, free_port, office, play

from olivecourse.emulator.settings import settings

ROUNDS, USUAL_CLIENTS = 8, 8
BAD_CLIENTS, BAD_REQUESTS = 320, 200  # with the usual ones under a third of 1,024 descriptors
GRACE_S = 0.3 + 0.05  # `purge_grace_ns` of the settings; on sockets every limit is 50 ms longer


class BadClients:
    """Connections that send many requests of a class that does not exist at once, and read all answers."""

    def __init__(self, programs, port):
        script = Path(__file__).with_name("bad_clients.py")
        self.process = subprocess.Popen(
            [sys.executable, script, str(port), str(BAD_CLIENTS), str(BAD_REQUESTS)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        programs.processes.append(self.process)
        if self.process.stdout.readline() != b"connected\n":
            raise CannotRun("the bad clients could not connect")

    def send(self):
        self.process.stdin.write(b"\n")
        self.process.stdin.flush()

    def close(self):
        self.process.stdin.close()
        self.process.wait(10)


def wait_for_new_poll(board, seconds=4.0):
    """Waits until the gateway has just begun a long poll, which then stays open for over a second."""
    before, end = board.polls, time.time() + seconds
    while board.polls == before:
        if time.time() > end:
            raise CannotRun("the gateway does not poll the notice board")
        time.sleep(0.002)


def case(record, programs):
    origin, stores, listed = office(record)
    board = Board(record)
    board.publish(**listed)
    port = free_port()
    config = programs.folder / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "board": board.address,
                "known": board.known(),
                "settings": settings(CLASSES),
            }
        )
    )
    gateway = programs.start("n0", EDGE_NAME="n0", EDGE_LISTEN=f"127.0.0.1:{port}", EDGE_CONFIG=str(config))
    programs.wait_ready("n0", gateway)
    broken = 0
    for number in range(ROUNDS):
        assets = [f"{number:08x}{client:08x}" for client in range(USUAL_CLIENTS)]
        for store in stores[:-1]:
            for asset in assets:
                store.copies[f"{asset}/0"] = (int(time.time() * 1000) - 5000, 1)
        bad = BadClients(programs, port) if TROUBLE else None
        clients = [Client(port) for _ in assets]
        for client, asset in zip(clients, assets, strict=True):
            client.send("pages", asset, 2500, shard=number)
            record(f"client: {asset} before the purge: {client.answer()}")
        wait_for_new_poll(board)
        if bad is not None:
            bad.send()
            time.sleep(0.03)
            record(f"{BAD_CLIENTS} bad clients send {BAD_REQUESTS} requests each")
        sent = [
            (client.send("pages", asset, 2500, shard=number), asset)
            for client, asset in zip(clients, assets, strict=True)
        ]
        record(f"clients: sent {[request for request, _ in sent]}")
        told = board.publish(flush={"collection": number, "ms": origin.purge(assets)})
        for client, (request, asset) in zip(clients, sent, strict=True):
            kind, body = client.answer()
            arrivals = [at for store in stores for at, name, _ in store.fetches if name == request]
            late_s = max(arrivals, default=0.0) - told
            old = kind == "served" and body == origin.body(asset, 1) and late_s > GRACE_S
            record(
                f"client: {request} {asset} {kind} {body!r}, sent {late_s:.3f} s after the gateway was told"
                f"{' BROKEN' if old else ''}"
            )
            broken += old
            client.close()
        if bad is not None:
            bad.close()
        after = Client(port)  # requests of later on get the new version, with and without the disruption
        after.send("pages", assets[0], 2500, shard=number)
        record(f"client: {assets[0]} later: {after.answer()}")
        after.close()
        time.sleep(1)
        if gateway.poll() is not None:
            raise CannotRun("the gateway has ended")
    for line in programs.log_lines("n0", "loop_stalled"):
        record(f"gateway: loop_stalled, {line['ms']} ms, {line['cpu_ms']} of them CPU")
    return broken


sys.exit(play(Path(__file__).parent, case))
