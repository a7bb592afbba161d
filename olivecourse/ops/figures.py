"""The figures of a gateway in the Prometheus text form, made at the moment they are asked for."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric

STATES = ("answered", "deferred", "errored")


class Source(Protocol):
    """Where the figures are counted. Counts run from the start of the process."""

    classes: list[str]

    def ended(self) -> list[list[int]]:
        """By class: final answers served, refused and failed, by whomever they were worded; a request that
        its client abandoned is in none of them."""
        ...

    def sends(self) -> int:
        """Attempts whose last byte the system took for a store, a parent or the origin."""
        ...

    def current(self) -> int:
        """Requests taken that have neither a final answer nor lost their client."""
        ...

    def cluster(self) -> tuple[int, int]:
        """Stores, parents and origin in the list, and how many of them get nothing now: out by hand, told as
        draining, or failing so much that the module avoids them."""
        ...

    def longest_turn_s(self) -> float:
        """Seconds of the longest turn of the loop since the start: so long may an answer have waited."""
        ...

    def reloads(self) -> tuple[int, int]:
        """Configurations taken up (the one of the start too), and refused."""
        ...


class Figures:
    def __init__(self, source: Source) -> None:
        self._source = source
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def text(self) -> bytes:
        """The exposition, version 0.0.4."""
        return generate_latest(self._registry)

    def describe(self) -> list[Metric]:
        """Nothing: the names are not looked up at registration."""
        return []

    def collect(self) -> Iterator[Metric]:
        source = self._source
        ended = CounterMetricFamily("app_transactions", "Requests ended, by class and how.",
                                    labels=["group", "state"])
        for name, counts in zip(source.classes, source.ended(), strict=True):
            for state, count in zip(STATES, counts, strict=True):
                ended.add_metric([name, state], count)
        yield ended
        yield CounterMetricFamily("app_sends", "Attempts written whole to stores.", value=source.sends())
        yield GaugeMetricFamily("app_current", "Requests taken and not ended.", value=source.current())
        listed, avoided = source.cluster()
        yield GaugeMetricFamily("app_cluster_size", "Stores in the list.", value=listed)
        yield GaugeMetricFamily("app_cluster_unhealthy", "Listed stores that get nothing now.", value=avoided)
        yield GaugeMetricFamily("app_turn_seconds_max", "The longest turn of the loop.",
                                value=source.longest_turn_s())
        loaded, invalid = source.reloads()
        yield CounterMetricFamily("app_conf_loaded", "Configurations taken up.", value=loaded)
        yield CounterMetricFamily("app_conf_invalid", "Configurations refused.", value=invalid)
