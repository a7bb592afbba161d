"""The metrics of a gateway in the Prometheus text format, collected at each scrape."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric

from olivecourse.config import vocabulary


class Source(Protocol):
    """Supplies the values of the metrics. Counters start at 0 with the process."""

    classes: list[str]

    def outcomes(self) -> list[list[int]]:
        """Returns, for each class, the counts of final answers: served, refused and failed.

        The counts include answers from every component; a request abandoned by its client is in none of them.
        """
        ...

    def attempts_sent(self) -> int:
        """Returns the attempts to stores, parents and origins that have been written completely."""
        ...

    def open_requests(self) -> int:
        """Returns the accepted requests that have no final answer and whose client is still connected."""
        ...

    def store_counts(self) -> tuple[int, int]:
        """Returns the number of listed stores, parents and origins, and how many of them get no requests now.

        The latter are drained by hand, listed as draining, or avoided by the decision module for failures.
        """
        ...

    def longest_turn_s(self) -> float:
        """Returns the longest turn of the event loop since the start, in seconds.

        An answer may have been delayed by this much.
        """
        ...

    def reload_counts(self) -> tuple[int, int]:
        """Returns the counts of configurations loaded, including the first one, and of those refused."""
        ...


class GatewayMetrics:
    """A Prometheus collector that reads its values from a `Source`."""

    def __init__(self, source: Source) -> None:
        self._source = source
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def text(self) -> bytes:
        """Returns the metrics in the Prometheus text exposition format, version 0.0.4."""
        return generate_latest(self._registry)

    def describe(self) -> list[Metric]:
        """Returns an empty list, so that registration does not call `collect` to learn the names."""
        return []

    def collect(self) -> Iterator[Metric]:
        """Yields every metric family with its current value; called by the registry."""
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
        """Yields the counters of ended requests by class and outcome.

        With a state label there is one family with a label for the outcome, else one family per outcome.
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
    """Yields one counter per name, each with the same help text and value."""
    yield from (CounterMetricFamily(name, help_text, value=value) for name in names)


def gauges(names: tuple[str, ...], help_text: str, value: float) -> Iterator[Metric]:
    """Yields one gauge per name, each with the same help text and value."""
    yield from (GaugeMetricFamily(name, help_text, value=value) for name in names)
