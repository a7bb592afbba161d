"""The metrics of a gateway in the Prometheus text format; their values are read anew for each scrape."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric

from olivecourse.config import vocabulary


class Source(Protocol):
    """Supplies the values of the metrics; implemented by GatewayHandlers. Counters start at 0 with the
    process.

    `classes` are the names of the request classes.
    """

    classes: list[str]

    def outcomes(self) -> list[list[int]]:
        """Returns, for each of `classes`, the counts of requests whose final answer was served, refused and
        failed.

        The counts include answers from every component; a request abandoned by its client is in none of them.
        """
        ...

    def attempts_sent(self) -> int:
        """Returns the number of attempts, single requests to a store, parent or origin, whose last byte has
        been written.
        """
        ...

    def open_requests(self) -> int:
        """Returns the number of accepted requests that have no final answer and whose client is still
        connected.
        """
        ...

    def store_counts(self) -> tuple[int, int]:
        """Returns the number of stores, parents and origins in the server list, and how many of them get no
        requests now.

        The latter are drained by hand, listed as draining, or avoided by the decision module for failures.
        """
        ...

    def longest_turn_s(self) -> float:
        """Returns the duration of the event loop's longest turn since the process started, in seconds.

        An answer to a client may have been delayed by this much.
        """
        ...

    def reload_counts(self) -> tuple[int, int]:
        """Returns the count of configurations loaded, with the first one, and of those refused as invalid."""
        ...


class GatewayMetrics:
    """A collector of the Prometheus client library with a registry of its own; reads the metrics' values from
    a `Source`.
    """

    def __init__(self, source: Source) -> None:
        self._source = source
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def text(self) -> bytes:
        """Returns the metrics in the Prometheus text exposition format, version 0.0.4."""
        return generate_latest(self._registry)

    def describe(self) -> list[Metric]:
        """Called when the collector is registered: returns an empty list, so that the registry does not call
        `collect` to learn the metrics' names.
        """
        return []

    def collect(self) -> Iterator[Metric]:
        """Yields every metric with its current value; called by the registry for each scrape."""
        source = self._source
        for name, class_label, state_label, states in vocabulary.RESULT_COUNTERS:
            yield from self._outcome_counters(name, class_label, state_label, states)
        yield from counters(
            vocabulary.ATTEMPTS_SENT, "Attempts written whole to stores.", source.attempts_sent()
        )
        yield from gauges(vocabulary.REQUESTS_OPEN, "Requests taken and not ended.", source.open_requests())
        listed, avoided = source.store_counts()
        yield from gauges(vocabulary.STORES_KNOWN, "Stores in the list.", listed)
        yield from gauges(vocabulary.STORES_AVOIDED, "Listed stores that get nothing now.", avoided)
        yield from gauges(vocabulary.LONGEST_TURN, "The longest turn of the loop.", source.longest_turn_s())
        loaded, invalid = source.reload_counts()
        yield from counters(vocabulary.CONFIGS_APPLIED, "Configurations taken up.", loaded)
        yield from counters(
            vocabulary.CONFIGS_RELOADED, "Configurations taken up after the first.", loaded - 1
        )
        yield from counters(vocabulary.CONFIGS_REFUSED, "Configurations refused.", invalid)

    def _outcome_counters(
        self, name: str, class_label: str, state_label: str, states: tuple[str, ...]
    ) -> Iterator[Metric]:
        """Yields the counters of ended requests by request class and outcome (served, refused, failed).

        With a `state_label` there is one metric `name` with a label for the outcome. If it is empty there is
        one metric per outcome, whose word from `states` replaces {} in `name`.
        """
        labels = [class_label, *([state_label] if state_label else ())]
        help_text = "Requests ended, by class and how."
        families = {
            state: CounterMetricFamily(name.format(state), help_text, labels=labels)
            for state in (states if not state_label else states[:1])
        }
        for class_name, counts in zip(self._source.classes, self._source.outcomes(), strict=True):
            for state, count in zip(states, counts, strict=True):
                family = families[state] if not state_label else families[states[0]]
                family.add_metric([class_name, *([state] if state_label else ())], count)
        yield from families.values()


def counters(names: tuple[str, ...], help_text: str, value: float) -> Iterator[Metric]:
    """Yields one Prometheus counter per name under which the same value is exported."""
    yield from (CounterMetricFamily(name, help_text, value=value) for name in names)


def gauges(names: tuple[str, ...], help_text: str, value: float) -> Iterator[Metric]:
    """Yields one Prometheus gauge per name under which the same value is exported."""
    yield from (GaugeMetricFamily(name, help_text, value=value) for name in names)
