"""Least-squares fits of a cost as a function of a size, for extrapolation beyond the largest measured size.

A cost is fitted as `fixed + slope * size`. The residuals and a quadratic term decide whether the points are a
line. If not, a power law is fitted to the logarithms and used for estimates where it is closer.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy
from numpy.typing import NDArray
from scipy import stats

MIN_SIZES = 4  # fewest different sizes that may be fitted
MIN_SIZE_FACTOR = 16.0  # least ratio of the largest to the smallest size
MIN_REPEATS = 3  # fewest measurements at each size
CONFIDENCE = 0.95  # confidence level of every interval that a fit gives
SIGNIFICANCE = 0.05  # significance level at which a quadratic term counts as present
MAX_BEND = 0.05  # a fitted parabola closer to the line, as a share of the largest cost, counts as a line
MAX_RESIDUAL = 0.25  # a point that differs more from the line, as a share of its cost, means: no line
MIN_COST_SHARE = 0.01  # residuals are divided by the cost, but at least by this share of the mean cost

Points = Sequence[tuple[float, float]]
Values = NDArray[numpy.float64]


@dataclass(frozen=True, slots=True)
class Estimate:
    """An estimated cost at a size, with the 95 % confidence interval of its mean (`low` to `high`).

    `beyond` is the size divided by the largest measured size.
    """

    value: float
    low: float
    high: float
    beyond: float


@dataclass(frozen=True, slots=True)
class Line:
    """An ordinary least-squares line, with the half-widths of its 95 % confidence intervals."""

    mean_x: float
    mean_y: float
    slope: float
    mean_half: float  # half-width of the 95 % interval of the line's value at mean_x
    slope_half: float  # half-width of the 95 % interval of the slope

    def at(self, x: float) -> float:
        """Returns the cost that the line gives at x."""
        return self.mean_y + self.slope * (x - self.mean_x)

    def half_at(self, x: float) -> float:
        """Returns the half-width of the 95 % interval of the line's value at x."""
        return math.hypot(self.mean_half, (x - self.mean_x) * self.slope_half)


@dataclass(frozen=True, slots=True)
class Slope:
    """The fit `cost = fixed + slope * size`.

    `slope_low` and `slope_high` bound the slope's 95 % interval (Student's t). `residual_share` is the
    largest distance of a point from the line as a share of the point's cost. `points` is the number of
    measurements, `largest` the largest size among them. `exponent` is that of `cost ~ size ** exponent` if
    the points are not a line and all costs are above zero, else None.
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
    power: Line | None  # the power law, a line in logarithms; None if `exponent` is None
    power_is_closer: bool  # whether the power law's largest relative residual is below `residual_share`

    def at(self, size: float) -> Estimate:
        """Estimates the cost at a size above zero, by the line or by the power law if that is closer."""
        beyond = size / self.largest
        if self.power is None or not self.power_is_closer:
            value, half = self.line.at(size), self.line.half_at(size)
            return Estimate(value, value - half, value + half, beyond)
        height, half = self.power.at(math.log(size)), self.power.half_at(math.log(size))
        return Estimate(math.exp(height), math.exp(height - half), math.exp(height + half), beyond)

    def row(self) -> dict[str, float | int | bool | None]:
        """Returns the fit under the names that it has in the benchmarks' JSON results."""
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
    """Rounds a value to `digits` significant digits."""
    return float(f"{value:.{digits}g}")


def fit(points: Points) -> Slope:
    """Fits a slope to repeated measurements (size, cost).

    Raises ValueError for fewer than four sizes, a factor below 16 between the smallest and the largest size,
    fewer than three measurements at a size, or a size that is not above zero.
    """
    _check(points)
    sizes = numpy.array([size for size, _ in points], dtype=float)
    costs = numpy.array([cost for _, cost in points], dtype=float)
    line = _line(sizes, costs)
    residual_share = _residual_share(costs, line.mean_y + line.slope * (sizes - line.mean_x))
    is_line = residual_share <= MAX_RESIDUAL and not _bends(sizes, costs, line)
    power = None if is_line or costs.min() <= 0.0 else _line(numpy.log(sizes), numpy.log(costs))
    power_is_closer = False
    if power is not None:
        power_values = numpy.exp(power.mean_y + power.slope * (numpy.log(sizes) - power.mean_x))
        power_is_closer = _residual_share(costs, power_values) < residual_share
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
        power_is_closer,
    )


def _check(points: Points) -> None:
    sizes = [size for size, _ in points]
    distinct = sorted(set(sizes))
    if len(distinct) < MIN_SIZES:
        raise ValueError(f"{len(distinct)} sizes, {MIN_SIZES} are needed")
    if distinct[0] <= 0.0:
        raise ValueError(f"size {distinct[0]} is not above zero")
    if distinct[-1] < MIN_SIZE_FACTOR * distinct[0]:
        raise ValueError(
            f"sizes span a factor of {distinct[-1] / distinct[0]:.3g}, {MIN_SIZE_FACTOR:g} is needed"
        )
    for size in distinct:
        if sizes.count(size) < MIN_REPEATS:
            raise ValueError(f"{sizes.count(size)} repeats at size {size:g}, {MIN_REPEATS} are needed")


def _line(x: Values, y: Values) -> Line:
    regression = stats.linregress(x, y)
    freedom = len(x) - 2
    quantile = float(stats.t.ppf((1.0 + CONFIDENCE) / 2.0, freedom))
    residuals = y - (regression.intercept + regression.slope * x)
    deviation = math.sqrt(float(residuals @ residuals) / freedom)
    slope_error = deviation / math.sqrt(float(((x - x.mean()) ** 2).sum()))
    mean_error = deviation / math.sqrt(len(x))
    return Line(
        float(x.mean()),
        float(y.mean()),
        float(regression.slope),
        quantile * mean_error,
        quantile * slope_error,
    )


def _residual_share(costs: Values, fitted: Values) -> float:
    min_cost = MIN_COST_SHARE * float(numpy.abs(costs).mean())
    if min_cost == 0.0:
        return 0.0  # all costs are zero, and the line fits them exactly
    return float((numpy.abs(costs - fitted) / numpy.maximum(numpy.abs(costs), min_cost)).max())


def _bends(sizes: Values, costs: Values, line: Line) -> bool:
    """Returns whether the points are bent: a fitted quadratic term is significant and exceeds MAX_BEND."""
    scaled = sizes / sizes.max()
    columns = numpy.vander(scaled, 3)
    terms, *_ = numpy.linalg.lstsq(columns, costs, rcond=None)
    fitted = columns @ terms
    bend = float(numpy.abs(fitted - (line.mean_y + line.slope * (sizes - line.mean_x))).max())
    if bend <= MAX_BEND * float(numpy.abs(costs).max()):
        return False
    freedom = len(sizes) - 3
    variance = float(((costs - fitted) ** 2).sum()) / freedom
    error = math.sqrt(variance * float(numpy.linalg.inv(columns.T @ columns)[0, 0]))
    if error == 0.0:
        return True
    p_value = 2.0 * float(stats.t.sf(abs(float(terms[0])) / error, freedom))
    return p_value < SIGNIFICANCE
