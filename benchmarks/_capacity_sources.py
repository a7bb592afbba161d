"""Sources of the figures on docs/CAPACITY.md: keys of committed results, extrapolated to the target."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from benchmarks._slopes import fit

RESULTS = Path(__file__).resolve().parent.parent / "docs" / "results"
ResultMapping = Mapping[str, Any]


class MissingKey(Exception):
    """A committed result file lacks a key that a row of docs/CAPACITY.md names as its source."""


@dataclass(frozen=True)
class Figure:
    """A figure for the target deployment, with its confidence interval from `low` to `high`.

    `form` is the fitted law, empty for a figure that is not extrapolated. `points` is the number of
    measurements, and `beyond` the target's size divided by the largest measured size.
    """

    value: float
    low: float
    high: float
    form: str = ""
    points: int = 0
    beyond: float = 0.0

    def times(self, factor: float) -> Figure:
        """Returns a copy with the value and its interval multiplied by a factor, to convert the unit."""
        return Figure(
            self.value * factor,
            self.low * factor,
            self.high * factor,
            self.form,
            self.points,
            self.beyond,
        )


class Source(Protocol):
    """The place of a row's figure in the committed results, and how it is worked out from there."""

    def names(self) -> list[str]:
        """Returns the result files and keys that the figure is taken from, each as `file: key`."""
        ...

    def figure(self, results: ResultMapping) -> Figure | None:
        """Returns the figure for the target, or None if there is no result file with it.

        Raises MissingKey if a result file exists but lacks the key.
        """
        ...


def load_results(folder: Path = RESULTS) -> dict[str, Any]:
    """Reads all JSON result files of a folder; returns their contents by file name."""
    return {path.name: json.loads(path.read_text("utf-8")) for path in sorted(folder.glob("*.json"))}


def look_up(results: ResultMapping, file: str, key: str) -> Any:
    """Returns the value at a dotted key of a result file, or None if there is no such file.

    Raises MissingKey if the file exists but has no such key.
    """
    value: Any = results.get(file)
    if value is None:
        return None
    for part in key.split("."):
        if not isinstance(value, Mapping) or part not in value:
            raise MissingKey(f"{file}: {key}")
        value = value[part]
    return value


@dataclass(frozen=True)
class Value:
    """A source whose figure is taken unchanged from one key of a result file, without an interval."""

    file: str
    key: str

    def names(self) -> list[str]:
        return [f"{self.file}: {self.key}"]

    def figure(self, results: ResultMapping) -> Figure | None:
        value = look_up(results, self.file, self.key)
        return None if value is None else Figure(float(value), float(value), float(value))


@dataclass(frozen=True)
class WorkedOut:
    """A source whose result file already has the extrapolation to the target, under the key `slopes`."""

    file: str
    name: str

    def names(self) -> list[str]:
        return [f"{self.file}: slopes.{self.name}"]

    def figure(self, results: ResultMapping) -> Figure | None:
        row = look_up(results, self.file, f"slopes.{self.name}")
        if row is None:
            return None
        return Figure(
            row["target"], row["target_low"], row["target_high"], law(row), row["points"], row["beyond"]
        )


@dataclass(frozen=True)
class Axis:
    """A cost that benchmarks.scale measured over several sizes, extrapolated here to the target."""

    axis: str
    cost: str
    size: float
    file: str = "scale.json"

    def names(self) -> list[str]:
        return [f"{self.file}: parts.axes.{self.axis}.slopes.{self.cost}"]

    def figure(self, results: ResultMapping) -> Figure | None:
        axis = look_up(results, self.file, f"parts.axes.{self.axis}")
        if axis is None:
            return None
        points = [
            (float(point["size"]), float(point[self.cost]))
            for point in axis["points"]
            if point.get(self.cost) is not None
        ]
        if not points:
            raise MissingKey(self.names()[0])
        if self.cost not in axis["slopes"]:
            return None  # no fit is possible: too few sizes or repeats
        estimate = fit(points).at(self.size)
        row = axis["slopes"][self.cost]
        return Figure(estimate.value, estimate.low, estimate.high, law(row), row["points"], estimate.beyond)


@dataclass(frozen=True)
class Sum:
    """A source that adds up figures, each multiplied by a factor that converts it to the sum's unit."""

    parts: Sequence[tuple[Source, float]]

    def names(self) -> list[str]:
        return [name for source, _ in self.parts for name in source.names()]

    def figure(self, results: ResultMapping) -> Figure | None:
        figures = list[Figure]()
        for source, factor in self.parts:
            figure_found = source.figure(results)
            if figure_found is None:
                return None
            figures.append(figure_found.times(factor))
        return Figure(
            sum(figure_found.value for figure_found in figures),
            sum(figure_found.low for figure_found in figures),
            sum(figure_found.high for figure_found in figures),
            "sum of " + str(len(figures)),
            sum(figure_found.points for figure_found in figures),
            max(figure_found.beyond for figure_found in figures),
        )


@dataclass(frozen=True)
class Quotient:
    """A source that divides a figure by a Value, such as the cost of a hollow gateway over a real one's."""

    dividend: Source
    divisor: Value

    def names(self) -> list[str]:
        return [*self.dividend.names(), *self.divisor.names()]

    def figure(self, results: ResultMapping) -> Figure | None:
        dividend_figure, divisor_figure = self.dividend.figure(results), self.divisor.figure(results)
        return (
            None
            if dividend_figure is None or divisor_figure is None
            else dividend_figure.times(1.0 / divisor_figure.value)
        )


@dataclass(frozen=True)
class NotMeasured:
    """The source of a row whose figure no benchmark measures; its figure is always None."""

    def names(self) -> list[str]:
        return []

    def figure(self, results: ResultMapping) -> Figure | None:
        return None


def law(row: ResultMapping) -> str:
    """Formats a fitted slope as `fixed + slope × size`; if the points are no line, with the exponent."""
    line = f"{row['fixed']:.3g} + {row['slope']:.3g} × size"
    if row["is_line"]:
        return line
    exponent = row.get("exponent")
    return f"{line}; no line" + ("" if exponent is None else f", size^{exponent:.2f}")
