"""Compares two retry storm detectors on generated requests: detection delay, false alarms, missed storms.

A first attempt is a client's new request; a retry repeats a failed one. Each scenario is sampled in bins of
100 ms, for several seeds. The true span of a retry storm is the time in which retries of failed requests keep
the served share under half of the offered requests.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable, Iterator
from typing import Any

from olivecourse.storm.detector import BIN_NS, BurstDetector, Detector, ShareDetector, StormMonitor

# For one bin of 100 ms: mean number of first attempts, mean number of retries, share of both served in time.
Bin = tuple[float, float, float]
BINS = 600


def _calm(bin_index: int) -> Bin:
    return 17.0, 0.3, 0.98


def _flash_crowd(bin_index: int) -> Bin:
    """Four times the usual first attempts, most of them served, with few retries; no retry storm."""
    return (70.0, 4.0, 0.8) if 200 <= bin_index < 400 else _calm(bin_index)


def _overload(bin_index: int) -> Bin:
    """Many first attempts, of which half are not served, but hardly any retries: overload, no retry storm."""
    return (60.0, 1.0, 0.5) if 200 <= bin_index < 400 else _calm(bin_index)


def _waves(bin_index: int) -> Bin:
    """Bursts of first attempts, 0.5 s in every 5 s, nearly all of them served; no retry storm."""
    return (60.0, 0.3, 0.97) if bin_index % 50 < 5 else (13.0, 0.3, 0.98)


def _storm(bin_index: int) -> Bin:
    """A retry storm as after a site's outage: every failed request is retried repeatedly."""
    return (17.0, 60.0, 0.15) if 200 <= bin_index < 350 else _calm(bin_index)


def _synchronous(bin_index: int) -> Bin:
    """A retry storm in which all clients retry at the same time, once a second."""
    return (17.0, 500.0 if bin_index % 10 == 0 else 2.0, 0.1) if 200 <= bin_index < 350 else _calm(bin_index)


def _slow_burn(bin_index: int) -> Bin:
    """A retry storm with few retries: over half of all requests fail, with two first attempts per retry."""
    return (17.0, 9.0, 0.45) if 200 <= bin_index < 400 else _calm(bin_index)


SCENARIOS: dict[str, tuple[Callable[[int], Bin], tuple[int, int] | None]] = {
    "calm": (_calm, None),
    "flash crowd": (_flash_crowd, None),
    "overload": (_overload, None),
    "waves": (_waves, None),
    "storm": (_storm, (200, 350)),
    "synchronous": (_synchronous, (200, 350)),
    "slow burn": (_slow_burn, (200, 400)),
}


def _poisson(rng: random.Random, mean: float) -> int:
    """Draws a count from a Poisson distribution, for means above 50 from a normal approximation of it."""
    if mean > 50:
        return max(round(rng.gauss(mean, mean**0.5)), 0)
    count, arrival_time = 0, rng.expovariate(1.0)
    while arrival_time < mean:
        count, arrival_time = count + 1, arrival_time + rng.expovariate(1.0)
    return count


def bins(scenario: str, seed: int) -> Iterator[tuple[int, int, int]]:
    """Yields for each bin of `scenario` its randomly drawn counts.

    They are first attempts, retries, and requests of both kinds that are served in time.
    """
    rng = random.Random(f"{scenario}/{seed}")
    for bin_index in range(BINS):
        first, repeats, served = SCENARIOS[scenario][0](bin_index)
        first_count, retry_count = _poisson(rng, first), _poisson(rng, repeats)
        yield first_count, retry_count, sum(rng.random() < served for _ in range(first_count + retry_count))


def run_detector(
    scenario: str, detector: Detector, seed: int
) -> tuple[list[float], list[float], tuple[float, float] | None]:
    """Runs a detector on one scenario; returns when it reported that storms begin and end, and the true span.

    All times are seconds; the true span is None in a scenario without a storm.
    """
    monitor, begins, ends = StormMonitor(detector, 0), [], []
    for bin_index, (first, repeats, useful) in enumerate(bins(scenario, seed)):
        monitor.record_arrival(False, first)
        monitor.record_arrival(True, repeats)
        monitor.record_served(useful)
        for change in monitor.advance((bin_index + 1) * BIN_NS):
            (begins if change.begins else ends).append(change.at / 1e9)
    true_span = SCENARIOS[scenario][1]
    return begins, ends, None if true_span is None else (true_span[0] / 10, true_span[1] / 10)


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Runs both detectors on every scenario.

    Returns their false alarms, missed storms and median detection delays.
    """
    found: dict[str, Any] = {"seed": seed}
    repeats = trials or (5 if short else 20)
    for name, detector_type in (("share", ShareDetector), ("burst", BurstDetector)):
        false_alarms = missed = 0
        delays: list[float] = []
        for scenario in SCENARIOS:
            rows = [run_detector(scenario, detector_type(), seed * 100 + repeat) for repeat in range(repeats)]
            results = []
            for begins, _, true_span in rows:
                if true_span is None:
                    false_alarms += len(begins)
                    results.append(f"{len(begins)} false")
                else:
                    delays_s = [
                        begin_s - true_span[0]
                        for begin_s in begins
                        if true_span[0] <= begin_s <= true_span[1] + 1
                    ]
                    false_alarms += len(begins) - len(delays_s)
                    missed += not delays_s
                    delays += delays_s[:1]
                    results.append(f"{delays_s[0]:.1f} s" if delays_s else "missed")
            print(f"{name:6} {scenario:12} {', '.join(results[:8])}")
        found |= {
            f"{name}_false": false_alarms,
            f"{name}_missed": missed,
            f"{name}_notice_s": round(statistics.median(delays), 2) if delays else None,
        }
    return found
