"""Tests of slopes on synthetic points, and of the short form of the benchmark in virtual time."""

import json
from random import Random

import pytest

from benchmarks import _virtual_agreement as agreement
from benchmarks import _virtual_ramp as ramp
from benchmarks import scale_virtual
from benchmarks._slopes import Slope, fit

SIZES = (64, 256, 512, 1024)


def repeated(cost, noise=0.02, seed=1, sizes=SIZES):
    random = Random(seed)
    return [(size, cost(size) * (1 + random.uniform(-noise, noise))) for size in sizes for _ in range(3)]


# Slopes ------------------------------------------------------------------------------------------------


def test_a_line_is_fitted_with_its_interval_and_estimates_know_how_far_they_extrapolate():
    fitted = fit(repeated(lambda size: 10.0 + 0.5 * size))
    assert isinstance(fitted, Slope) and fitted.is_line and fitted.exponent is None
    assert fitted.slope_low <= 0.5 <= fitted.slope_high
    assert fitted.fixed == pytest.approx(10.0, abs=5.0)
    assert 0.0 < fitted.residual_share < 0.15 and (fitted.points, fitted.largest) == (12, 1024.0)
    estimate = fitted.at(4096)
    assert estimate.low < 10.0 + 0.5 * 4096 < estimate.high and estimate.beyond == 4.0
    assert fitted.at(512).high - fitted.at(512).low < estimate.high - estimate.low


def test_a_constant_cost_is_a_line_whose_slope_interval_includes_zero():
    fitted = fit(repeated(lambda size: 7.0))
    assert fitted.is_line and fitted.slope_low <= 0.0 <= fitted.slope_high
    assert fitted.at(7500).value == pytest.approx(7.0, rel=0.3)


def test_a_falling_cost_with_a_fixed_part_is_estimated_by_the_closer_fit():
    fitted = fit(repeated(lambda size: 20.0 + 300.0 / size, noise=0.0))
    assert not fitted.is_line and fitted.exponent < 0.0
    assert fitted.at(1024).value == pytest.approx(20.3, rel=fitted.residual_share)


def test_zero_costs_are_a_line():
    fitted = fit(repeated(lambda size: 0.0))
    assert (fitted.fixed, fitted.slope, fitted.residual_share, fitted.is_line) == (0.0, 0.0, 0.0, True)


@pytest.mark.parametrize("exponent", [0.5, 1.5, 2.0])
def test_a_power_law_is_not_a_line_and_its_exponent_is_fitted(exponent):
    fitted = fit(repeated(lambda size: 3.0 * size**exponent))
    assert not fitted.is_line
    assert fitted.exponent == pytest.approx(exponent, abs=0.05)
    estimate = fitted.at(4096)
    assert estimate.low < 3.0 * 4096**exponent * 1.1 and estimate.high > 3.0 * 4096**exponent / 1.1
    assert estimate.value == pytest.approx(3.0 * 4096**exponent, rel=0.15)


def test_points_with_large_residuals_are_not_a_line():
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
def test_insufficient_points_are_rejected(points, why):
    with pytest.raises(ValueError, match=why):
        fit(points)


# The short form ----------------------------------------------------------------------------------------


@pytest.fixture(scope="module")
def short():
    return scale_virtual.run(short=True, seed=1, trials=0)


def test_results_are_strict_json_with_all_slope_keys(short):
    assert json.loads(json.dumps(short, allow_nan=False))["benchmark"] == "scale_virtual"
    needed = {"fixed", "slope", "low", "high", "residual", "largest", "is_line", "exponent", "beyond"}
    assert all(needed <= row.keys() for row in short["slopes"].values())


def test_no_cold_server_exceeds_its_limit_in_any_window(short):
    assert short["ramp_windows"] > 10_000
    assert short["ramp_windows_over_limit"] == 0
    assert short["ramp_worst_share_of_limit"] <= 1.0


@pytest.mark.parametrize("kind", ["store", "parent"])
def test_many_gateways_use_as_much_of_the_cold_budget_as_few(short, kind):
    """Guards against a share of the budget far below one request per gateway being rounded down to zero."""
    few, many = (short[f"ramp_budget_used_{kind}_steady_small_{size}"] for size in (64, 256))
    assert many >= 0.9 * few >= 0.3


def test_loads_of_members_grow_no_faster_than_the_fleet(short):
    sizes = scale_virtual.SHORT_NODES
    times = sizes[-1] / sizes[0]
    for role in ("coordinator", "member"):
        for figure in ("datagrams_in", "kb_in", "state_kb", "datagrams_out"):
            first, last = (short[f"agreement_{role}_{figure}_{size}"] for size in (sizes[0], sizes[-1]))
            assert last <= 1.1 * times * first, (role, figure)


def test_the_load_of_an_ordinary_node_does_not_grow_with_the_fleet(short):
    sizes = scale_virtual.SHORT_NODES
    for figure in ("datagrams_out", "datagrams_in", "kb_out", "kb_in"):
        first, last = (short[f"agreement_ordinary_{figure}_{size}"] for size in (sizes[0], sizes[-1]))
        assert last <= 1.1 * first, figure


def test_the_time_to_a_majority_does_not_depend_on_the_fleet_size(short):
    slope = short["slopes"]["agreement_granted_s"]
    assert slope["is_line"] and slope["target"] < 1.0


# The drivers -------------------------------------------------------------------------------------------


def test_a_slow_start_is_determined_by_its_seed():
    first, again, other = (ramp.play(ramp.Case(64, False, "steady", 20.0, seed)).calls for seed in (1, 1, 2))
    assert first == again != other


def test_a_higher_request_rate_does_not_increase_the_use_of_a_cold_store():
    used = [ramp.play(ramp.Case(64, False, "steady", 20.0, 1, offered)).used for offered in (5.0, 20.0)]
    assert used[1] <= 1.1 * used[0] and used[1] <= 1.0


def test_windows_over_the_limit_are_counted(monkeypatch):
    monkeypatch.setattr("olivecourse.choice.COLD_SAFETY", 4.0)
    outcome = ramp.play(ramp.Case(64, True, "steady", 20.0, 1, 10.0))
    assert outcome.over > 0 and outcome.worst > 1.0


def test_a_node_that_runs_only_when_due_sends_the_same_heartbeats():
    """In an idle fleet nodes send only polls and heartbeats, each to all members and to two other nodes."""
    fleet = agreement.Fleet(64, 5, 1)
    fleet.run(3 * fleet.period_ns / agreement.S)
    loads = fleet.loads(4 * fleet.period_ns / agreement.S)
    heartbeats = loads["member"].datagrams_in - loads["member"].recalls_in
    expected = 63 * agreement.S / fleet.period_ns
    assert heartbeats == pytest.approx(expected, rel=0.05)


def test_deep_bytes_counts_each_object_once():
    shared = ["x" * 1000]
    assert agreement.deep_bytes([shared, shared]) < 2 * agreement.deep_bytes([shared])
    assert agreement.deep_bytes({"a": 1}) > agreement.deep_bytes({})
