"""Sources of the figures on the capacity page: keys of committed results, extrapolated to the target."""

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
    """A committed result lacks a key that the page names."""


@dataclass(frozen=True)
class Figure:
    """A figure for the target, with its interval.

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
        """Returns the figure and its interval multiplied by a factor."""
        return Figure(
            self.value * factor,
            self.low * factor,
            self.high * factor,
            self.form,
            self.points,
            self.beyond,
        )


class Source(Protocol):
    """A source that takes a figure from the results."""

    def names(self) -> list[str]:
        """Returns the files and keys of the source, each as `file: key`."""
        ...

    def figure(self, results: ResultMapping) -> Figure | None:
        """Returns the figure, or None if it has not been measured.

        Raises MissingKey if a result file exists but lacks the key.
        """
        ...


def load_results(folder: Path = RESULTS) -> dict[str, Any]:
    """Reads all committed JSON results, by file name."""
    return {path.name: json.loads(path.read_text("utf-8")) for path in sorted(folder.glob("*.json"))}


def look_up(results: ResultMapping, file: str, key: str) -> Any:
    """Returns the value at a dotted key, or None if there is no such file.

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
    """A figure that is taken unchanged from a result."""

    file: str
    key: str

    def names(self) -> list[str]:
        return [f"{self.file}: {self.key}"]

    def figure(self, results: ResultMapping) -> Figure | None:
        value = look_up(results, self.file, self.key)
        return None if value is None else Figure(float(value), float(value), float(value))


@dataclass(frozen=True)
class WorkedOut:
    """A slope that the result itself extrapolates to the target, under the key `slopes`."""

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
    """A cost along an axis of the scale benchmark, extrapolated here from the measured points."""

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
            return None  # too few sizes or repeats
        estimate = fit(points).at(self.size)
        row = axis["slopes"][self.cost]
        return Figure(estimate.value, estimate.low, estimate.high, law(row), row["points"], estimate.beyond)


@dataclass(frozen=True)
class Sum:
    """A sum of figures, each multiplied by a factor that converts it to the sum's unit."""

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
    """A figure divided by an unchanged one, such as the ratio of a hollow gateway's cost to a real one's."""

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
    """The source of a row that no benchmark measures."""

    def names(self) -> list[str]:
        return []

    def figure(self, results: ResultMapping) -> Figure | None:
        return None


def law(row: ResultMapping) -> str:
    """Formats a slope as `fixed + slope × size` in the result's unit, with the exponent if it is no line."""
    line = f"{row['fixed']:.3g} + {row['slope']:.3g} × size"
    if row["is_line"]:
        return line
    exponent = row.get("exponent")
    return f"{line}; no line" + ("" if exponent is None else f", size^{exponent:.2f}")
