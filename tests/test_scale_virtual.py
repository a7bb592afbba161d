"""Slopes on made-up points, and what the short form of the scale runs in virtual time must show."""

from random import Random

import pytest

from benchmarks._slopes import Slope, fit

SIZES = (64, 256, 512, 1024)


def repeated(cost, noise=0.02, seed=1, sizes=SIZES):
    random = Random(seed)
    return [(size, cost(size) * (1 + random.uniform(-noise, noise))) for size in sizes for _ in range(3)]


# Slopes ------------------------------------------------------------------------------------------------


def test_a_line_is_found_with_its_interval_and_how_far_an_estimate_lies_beyond_it():
    found = fit(repeated(lambda size: 10.0 + 0.5 * size))
    assert isinstance(found, Slope) and found.is_line and found.exponent is None
    assert found.slope_low <= 0.5 <= found.slope_high
    assert found.fixed == pytest.approx(10.0, abs=5.0)
    assert 0.0 < found.residual_share < 0.15 and (found.points, found.largest) == (12, 1024.0)
    estimate = found.at(4096)
    assert estimate.low < 10.0 + 0.5 * 4096 < estimate.high and estimate.beyond == 4.0
    assert found.at(512).high - found.at(512).low < estimate.high - estimate.low


def test_a_cost_that_does_not_grow_is_a_line_without_a_slope():
    found = fit(repeated(lambda size: 7.0))
    assert found.is_line and found.slope_low <= 0.0 <= found.slope_high
    assert found.at(7500).value == pytest.approx(7.0, rel=0.3)


def test_a_cost_of_nothing_is_a_line():
    found = fit(repeated(lambda size: 0.0))
    assert (found.fixed, found.slope, found.residual_share, found.is_line) == (0.0, 0.0, 0.0, True)


@pytest.mark.parametrize("exponent", [0.5, 1.5, 2.0])
def test_a_curve_is_called_one_and_its_exponent_is_found(exponent):
    found = fit(repeated(lambda size: 3.0 * size**exponent))
    assert not found.is_line
    assert found.exponent == pytest.approx(exponent, abs=0.05)
    estimate = found.at(4096)
    assert estimate.low < 3.0 * 4096**exponent * 1.1 and estimate.high > 3.0 * 4096**exponent / 1.1
    assert estimate.value == pytest.approx(3.0 * 4096**exponent, rel=0.15)


def test_points_too_scattered_for_a_line_are_not_called_one():
    assert not fit(repeated(lambda size: 10.0 + 0.5 * size, noise=0.9)).is_line


@pytest.mark.parametrize(
    ("points", "why"),
    [
        (repeated(float, sizes=(64, 256, 1024)), "3 sizes"),
        (repeated(float, sizes=(64, 128, 256, 512)), "factor of 8"),
        (repeated(float)[:-1], "2 repeats at size 1024"),
        (repeated(lambda size: 1.0, sizes=(0, 1, 2, 16)), "not above zero"),
        ([], "0 sizes"),
    ],
)
def test_points_that_bear_no_slope_are_refused(points, why):
    with pytest.raises(ValueError, match=why):
        fit(points)
