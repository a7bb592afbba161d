"""Least-squares slopes of a cost over a size, with what a claim beyond the largest measured size rests on.

A cost is taken for `fixed + slope * size`. Whether it is a line is judged by the residuals and by a quadratic
term; where it is none, a power law is fitted on logarithms and serves for estimates in its place.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy
from numpy.typing import NDArray
from scipy import stats

LEAST_SIZES = 4  # different sizes
LEAST_FACTOR = 16.0  # between the smallest and the largest size
LEAST_REPEATS = 3  # measurements at each size
CONFIDENCE = 0.95  # of every interval
SIGNIFICANCE = 0.05  # of the quadratic term
MOST_BEND = 0.05  # of the largest cost, between line and parabola: smaller bends are told, but still a line
MOST_RESIDUAL = 0.25  # of a measured cost, by which a point may lie off the line
LEAST_COST_SHARE = 0.01  # of the mean cost: points below it are compared with that much

Points = Sequence[tuple[float, float]]
Values = NDArray[numpy.float64]


@dataclass(frozen=True, slots=True)
class Estimate:
    """A cost worked out for a size: its value, the 95 % interval of its mean, and size / largest measured."""

    value: float
    low: float
    high: float
    beyond: float


@dataclass(frozen=True, slots=True)
class Line:
    """An ordinary least-squares line through the points' centre, with the half-widths of its intervals."""

    mean_x: float
    mean_y: float
    slope: float
    mean_half: float  # half of the 95 % interval of the line's height at mean_x
    slope_half: float  # and of its slope

    def at(self, x: float) -> float:
        """The line's height."""
        return self.mean_y + self.slope * (x - self.mean_x)

    def half_at(self, x: float) -> float:
        """Half of the 95 % interval of that height."""
        return math.hypot(self.mean_half, (x - self.mean_x) * self.slope_half)


@dataclass(frozen=True, slots=True)
class Slope:
    """`cost = fixed + slope * size`.

    `slope_low` and `slope_high` bound the slope's 95 % interval (Student's t). `residual_share` is the
    largest distance of a point from the line as a share of the point's cost. `points` are all measurements,
    `largest` the largest size among them. `exponent` is that of `cost ~ size ** exponent` where the points
    are no line and all costs are above zero, else None.
    """

    fixed: float
    slope: float
    slope_low: float
    slope_high: float
    residual_share: float
    points: int
    largest: float
    is_line: bool
    exponent: float | None
    line: Line
    power: Line | None  # over logarithms, where `exponent` is known

    def at(self, size: float) -> Estimate:
        """The cost at any size above zero: by the line, or by the power law where the points are no line."""
        beyond = size / self.largest
        if self.power is None:
            value, half = self.line.at(size), self.line.half_at(size)
            return Estimate(value, value - half, value + half, beyond)
        height, half = self.power.at(math.log(size)), self.power.half_at(math.log(size))
        return Estimate(math.exp(height), math.exp(height - half), math.exp(height + half), beyond)

    def row(self) -> dict[str, float | int | bool | None]:
        """The form in which results keep a slope."""
        return {
            "fixed": rounded(self.fixed),
            "slope": rounded(self.slope),
            "low": rounded(self.slope_low),
            "high": rounded(self.slope_high),
            "residual": round(self.residual_share, 4),
            "points": self.points,
            "largest": self.largest,
            "is_line": self.is_line,
            "exponent": None if self.exponent is None else round(self.exponent, 3),
        }


def rounded(value: float, digits: int = 4) -> float:
    """The value with so many significant digits."""
    return float(f"{value:.{digits}g}")


def fit(points: Points) -> Slope:
    """The line through repeated points (size, cost).

    Raises ValueError for fewer than four sizes, a factor below 16 between them, fewer than three repeats of
    one, or a size that is not above zero.
    """
    _check(points)
    sizes = numpy.array([size for size, _ in points], dtype=float)
    costs = numpy.array([cost for _, cost in points], dtype=float)
    line = _line(sizes, costs)
    residual_share = _residual_share(sizes, costs, line)
    is_line = residual_share <= MOST_RESIDUAL and not _bends(sizes, costs, line)
    power = None if is_line or costs.min() <= 0.0 else _line(numpy.log(sizes), numpy.log(costs))
    return Slope(
        line.at(0.0),
        line.slope,
        line.slope - line.slope_half,
        line.slope + line.slope_half,
        residual_share,
        len(points),
        float(sizes.max()),
        is_line,
        None if power is None else power.slope,
        line,
        power,
    )


def _check(points: Points) -> None:
    sizes = [size for size, _ in points]
    distinct = sorted(set(sizes))
    if len(distinct) < LEAST_SIZES:
        raise ValueError(f"{len(distinct)} sizes, {LEAST_SIZES} are needed")
    if distinct[0] <= 0.0:
        raise ValueError(f"size {distinct[0]} is not above zero")
    if distinct[-1] < LEAST_FACTOR * distinct[0]:
        raise ValueError(
            f"sizes span a factor of {distinct[-1] / distinct[0]:.3g}, {LEAST_FACTOR:g} is needed"
        )
    for size in distinct:
        if sizes.count(size) < LEAST_REPEATS:
            raise ValueError(f"{sizes.count(size)} repeats at size {size:g}, {LEAST_REPEATS} are needed")


def _line(x: Values, y: Values) -> Line:
    found = stats.linregress(x, y)
    freedom = len(x) - 2
    quantile = float(stats.t.ppf((1.0 + CONFIDENCE) / 2.0, freedom))
    residuals = y - (found.intercept + found.slope * x)
    deviation = math.sqrt(float(residuals @ residuals) / freedom)
    return Line(
        float(x.mean()),
        float(y.mean()),
        float(found.slope),
        quantile * deviation / math.sqrt(len(x)),
        quantile * float(found.stderr),
    )


def _residual_share(sizes: Values, costs: Values, line: Line) -> float:
    residuals = numpy.abs(costs - (line.mean_y + line.slope * (sizes - line.mean_x)))
    least = LEAST_COST_SHARE * float(numpy.abs(costs).mean())
    if least == 0.0:
        return 0.0  # nothing costs anything
    return float((residuals / numpy.maximum(numpy.abs(costs), least)).max())


def _bends(sizes: Values, costs: Values, line: Line) -> bool:
    """Whether a quadratic term is significant and bends the line by more than a small part of its height."""
    scaled = sizes / sizes.max()
    columns = numpy.vander(scaled, 3)
    terms, *_ = numpy.linalg.lstsq(columns, costs, rcond=None)
    fitted = columns @ terms
    bend = float(numpy.abs(fitted - (line.mean_y + line.slope * (sizes - line.mean_x))).max())
    if bend <= MOST_BEND * float(numpy.abs(costs).max()):
        return False
    freedom = len(sizes) - 3
    variance = float(((costs - fitted) ** 2).sum()) / freedom
    error = math.sqrt(variance * float(numpy.linalg.inv(columns.T @ columns)[0, 0]))
    if error == 0.0:
        return True
    chance = 2.0 * float(stats.t.sf(abs(float(terms[0])) / error, freedom))
    return chance < SIGNIFICANCE
