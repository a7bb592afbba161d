"""Upgrades a gateway repeatedly under load: a second process becomes ready, then the first gets SIGTERM.

Results are counted at the clients and at the stand-in stores. A store is drained by hand just before or
during each upgrade, and the drain is ended after it. For comparison the benchmark also measures the first
design, two listeners on one port without a hand-over, by giving each process its own `$TMPDIR`.
"""

from __future__ import annotations

import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks._gateway_site import GatewaySite, killed_at_exit
from benchmarks._load import Load
from benchmarks._program import Gateway

RATE = 150.0  # requests a second of the load
GRACE_S = 0.3  # time after which a drained store must get no request: 250 ms, and 50 ms for sockets
GAP_S = 0.6  # load without a change between two upgrades


def play(upgrades: int, seed: int, hand_over: bool) -> dict[str, Any]:
    """Performs `upgrades` upgrades under load and returns the results, mostly counts, by name.

    With `hand_over` the two processes share `$TMPDIR`, so that the old one hands its clients over to the
    new one.
    """
    found: dict[str, Any] = {
        "upgrades": 0,
        "ready_s_max": 0.0,
        "memory_both_mb_max": 0.0,
        "descriptors_both_max": 0,
        "sent_to_banned": 0,
    }
    with tempfile.TemporaryDirectory() as name, killed_at_exit([]) as started:
        site = GatewaySite(Path(name))
        started.append(site.start("tmp0"))
        site.wait_ready(started[0])
        load = Load(site.world, site.port, RATE, seed, conns=6, orders=0.05, fresh=0.1)
        site.world.run(GAP_S)
        for number in range(upgrades):
            old = started[-1]
            drained = site.edge_stores[number % len(site.edge_stores)]
            drain_first = number % 2 == 0
            if drain_first and hand_over:
                site.call(old, "PUT", "/ops/stores/down", f'{{"id": "{drained.name}"}}')
                drained_at, requests_at_grace_end = time.monotonic(), -1
            new = site.start("tmp0" if hand_over else f"tmp{number + 1}")
            started.append(new)
            took = site.wait_ready(new)
            if not drain_first and hand_over:
                site.call(old, "PUT", "/ops/stores/down", f'{{"id": "{drained.name}"}}')
                drained_at, requests_at_grace_end = time.monotonic(), -1
            found["ready_s_max"] = max(found["ready_s_max"], round(took, 2))
            old.process.send_signal(signal.SIGTERM)
            end = time.monotonic() + 6.0
            minimum_end = time.monotonic() + GAP_S
            while time.monotonic() < end and (old.process.poll() is None or time.monotonic() < minimum_end):
                site.world.run(0.02)
                _record_resource_peaks(found, old, new)
                if hand_over and requests_at_grace_end < 0 and time.monotonic() > drained_at + GRACE_S:
                    requests_at_grace_end = drained.request_count
            if hand_over:
                found["sent_to_banned"] += drained.request_count - requests_at_grace_end
                site.call(new, "PUT", "/ops/stores/up", f'{{"id": "{drained.name}"}}')
            found["upgrades"] += old.process.poll() == 0
            old.end()
        load.stop()
        site.world.run(3.0)
        tally = load.tally
        found |= {
            "requests": tally.asked,
            "door_losses": tally.closed_on + tally.reset,
            "faults": tally.faults,
            "refused": tally.refused,
            "unanswered": load.open,
            "served_in_time": tally.in_time,
            "orders_run_twice": sum(
                run_count > 1 for store in site.world.stores for run_count in store.write_counts.values()
            ),
        }
        load.close()
        site.world.close()
    return found


def _record_resource_peaks(found: dict[str, Any], old: Gateway, new: Gateway) -> None:
    resources = [gateway.resources() for gateway in (old, new)]
    if all(fds for _, fds in resources):
        found["memory_both_mb_max"] = max(
            found["memory_both_mb_max"], round(sum(mb for mb, _ in resources), 1)
        )
        found["descriptors_both_max"] = max(found["descriptors_both_max"], sum(fds for _, fds in resources))


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Measures upgrades with a hand-over and, for comparison, without; the short form takes at most 120 s."""
    upgrades = trials or (12 if short else 60)
    without_hand_over = play(max(upgrades // 3, 1), seed, hand_over=False)
    found = play(upgrades, seed, hand_over=True)
    for name in found:
        print(f"{name:24} {found[name]:>10}   two listeners, no hand-over: {without_hand_over[name]:>10}")
    return {**found, "two_listeners": without_hand_over, "seed": seed}
