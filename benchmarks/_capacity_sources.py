"""Where a figure of the capacity page comes from: a key of a committed result, worked out for the target."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from benchmarks._slopes import fit

RESULTS = Path(__file__).resolve().parent.parent / "docs" / "results"
Found = Mapping[str, Any]


class MissingKey(Exception):
    """A committed result lacks a key that the page names."""


@dataclass(frozen=True)
class Figure:
    """A figure for the target. `form` is its law over a size, empty for one that stands as it is."""

    value: float
    low: float
    high: float
    form: str = ""
    points: int = 0
    beyond: float = 0.0

    def times(self, factor: float) -> Figure:
        return Figure(
            self.value * factor,
            self.low * factor,
            self.high * factor,
            self.form,
            self.points,
            self.beyond,
        )


class Source(Protocol):
    """What finds a figure in the results; None where it has not been measured."""

    def names(self) -> list[str]:
        """Each file and key, as `file: key`."""
        ...

    def figure(self, results: Found) -> Figure | None:
        """Raises MissingKey where a result is there and lacks the key."""
        ...


def load_results(folder: Path = RESULTS) -> dict[str, Any]:
    """All committed JSON results by file name."""
    return {path.name: json.loads(path.read_text("utf-8")) for path in sorted(folder.glob("*.json"))}


def look_up(results: Found, file: str, key: str) -> Any:
    """The value at a dotted key; None where the whole file is not there.

    Raises MissingKey where the file is there and has no such key.
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
    """A figure as it stands in a result."""

    file: str
    key: str

    def names(self) -> list[str]:
        return [f"{self.file}: {self.key}"]

    def figure(self, results: Found) -> Figure | None:
        value = look_up(results, self.file, self.key)
        return None if value is None else Figure(float(value), float(value), float(value))


@dataclass(frozen=True)
class WorkedOut:
    """A slope that its result has worked out for the target, under `slopes`."""

    file: str
    name: str

    def names(self) -> list[str]:
        return [f"{self.file}: slopes.{self.name}"]

    def figure(self, results: Found) -> Figure | None:
        row = look_up(results, self.file, f"slopes.{self.name}")
        if row is None:
            return None
        return Figure(
            row["target"], row["target_low"], row["target_high"], law(row), row["points"], row["beyond"]
        )


@dataclass(frozen=True)
class Axis:
    """A cost over an axis of the scale benchmark, worked out here from its points."""

    axis: str
    cost: str
    size: float
    file: str = "scale.json"

    def names(self) -> list[str]:
        return [f"{self.file}: parts.axes.{self.axis}.slopes.{self.cost}"]

    def figure(self, results: Found) -> Figure | None:
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
    """Several figures added up, each times a factor that brings it to the sum's unit."""

    parts: Sequence[tuple[Source, float]]

    def names(self) -> list[str]:
        return [name for source, _ in self.parts for name in source.names()]

    def figure(self, results: Found) -> Figure | None:
        found = list[Figure]()
        for source, factor in self.parts:
            one = source.figure(results)
            if one is None:
                return None
            found.append(one.times(factor))
        return Figure(
            sum(one.value for one in found),
            sum(one.low for one in found),
            sum(one.high for one in found),
            "sum of " + str(len(found)),
            sum(one.points for one in found),
            max(one.beyond for one in found),
        )


@dataclass(frozen=True)
class Quotient:
    """A figure over another one that stands as it is, such as a ratio to the real thing."""

    dividend: Source
    divisor: Value

    def names(self) -> list[str]:
        return [*self.dividend.names(), *self.divisor.names()]

    def figure(self, results: Found) -> Figure | None:
        above, below = self.dividend.figure(results), self.divisor.figure(results)
        return None if above is None or below is None else above.times(1.0 / below.value)


@dataclass(frozen=True)
class NotMeasured:
    """No benchmark has it."""

    def names(self) -> list[str]:
        return []

    def figure(self, results: Found) -> Figure | None:
        return None


def law(row: Found) -> str:
    """`fixed + slope x size` in the result's own unit, and the exponent where the points are no line."""
    line = f"{row['fixed']:.3g} + {row['slope']:.3g} × size"
    if row["is_line"]:
        return line
    exponent = row.get("exponent")
    return f"{line}; no line" + ("" if exponent is None else f", size^{exponent:.2f}")
