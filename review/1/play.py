"""Planners are killed under load. Does their forwarder go on, and does every request get its one answer?"""

import contextlib
import sys
import threading
import time
from collections import Counter
from pathlib import Path

from standins import TROUBLE, CannotRun, Client, free_port, in_thread, office, play, write_files

KILLS, LAST_KILL_S, CALM_S = 70, 85.0, 25.0  # the case ends at the first crash
# The pages have up to 950 requests a second at a gateway, and 32 open ones on a connection.
CONNECTIONS, RATE_PER_S, MOST_OPEN = 16, 900, 30


class Load:
    """Open-loop clients: each connection sends at its own pace, and a reader takes the answers."""

    def __init__(self, port):
        self.port, self.running, self.lock = port, True, threading.Lock()
        self.outcomes, self.sent, self.lost = Counter(), 0, 0
        self.threads = [in_thread(self._client, number) for number in range(CONNECTIONS)]

    def _client(self, number):
        try:
            client = Client(self.port)
        except OSError:
            return
        answers, sent = [], 0

        def read():
            while (kind := client.answer()[0]) != "none":
                answers.append(kind)

        reader, turn = in_thread(read), 0
        started = time.time() + number / RATE_PER_S
        with contextlib.suppress(OSError):
            while self.running and reader.is_alive():
                turn += 1
                if sent - len(answers) < MOST_OPEN:
                    write = turn % 30 == 0
                    body = b"order %d %d" % (number, turn) if write else b""
                    sent += 1  # before the send: one that breaks off may have been taken
                    client.send("commande" if write else "pages", f"{turn % 400:016x}", 2500, body)
                time.sleep(max(started + turn * CONNECTIONS / RATE_PER_S - time.time(), 0))
        end = time.time() + 5
        while reader.is_alive() and len(answers) < sent and time.time() < end:
            time.sleep(0.05)
        client.close()
        with self.lock:
            self.outcomes += Counter(answers)
            self.sent += sent
            self.lost += sent - len(answers)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join(10)


def case(record, programs):
    origin, stores, _ = office(record)
    for store in stores:
        store.record, store.delay_s = (lambda text: None), 0.0  # thousands of reads
    folder, port = programs.folder, free_port()
    write_files(folder, stores)
    (folder / "operator.yaml").write_text(
        f"name: n0\nlisten: 127.0.0.1:{port}\nsettings: settings.json\ninventory: stores.csv\n"
        "planner: planner.sock\n"
    )

    def start_planner(number):
        planner = programs.start(
            f"planner{number}", f"serve --role planner --operator {folder}/operator.yaml"
        )
        programs.wait_ready(f"planner{number}", planner)
        return planner

    planner = start_planner(0)
    forwarder = programs.start("forwarder", f"serve --role forwarder --operator {folder}/operator.yaml")
    programs.wait_ready("forwarder", forwarder)
    time.sleep(1)
    load, begun, number = Load(port), time.time(), 0
    while forwarder.poll() is None and number < KILLS:
        time.sleep(0.8)
        if time.time() - begun > (LAST_KILL_S if TROUBLE else CALM_S):
            break
        if TROUBLE:
            planner.kill()
            planner.wait()
            record(f"planner {number} was killed")
            number += 1
            time.sleep(0.2)
            planner = start_planner(number)
    load.stop()
    crashed = forwarder.poll() is not None
    record(f"clients: {load.sent} sent, {dict(load.outcomes)}, without an answer: {load.lost}")
    if crashed:
        record(f"the forwarder has ended with exit code {forwarder.poll()}: {programs.tail('forwarder')}")
    if not load.outcomes["served"]:
        raise CannotRun("nothing was served")
    return load.lost + crashed


sys.exit(play(Path(__file__).parent, case))
