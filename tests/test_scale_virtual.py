"""Slopes on made-up points, and what the short form of the scale runs in virtual time must show."""

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


def test_a_fixed_cost_that_is_left_when_the_rest_falls_is_estimated_by_whichever_form_is_closer():
    found = fit(repeated(lambda size: 20.0 + 300.0 / size, noise=0.0))
    assert not found.is_line and found.exponent < 0.0
    assert found.at(1024).value == pytest.approx(20.3, rel=found.residual_share)


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


# The short form ----------------------------------------------------------------------------------------


@pytest.fixture(scope="module")
def short():
    return scale_virtual.run(short=True, seed=1, trials=0)


def test_the_last_line_is_json_without_what_json_does_not_know(short):
    assert json.loads(json.dumps(short, allow_nan=False))["benchmark"] == "scale_virtual"
    needed = {"fixed", "slope", "low", "high", "residual", "largest", "is_line", "exponent", "beyond"}
    assert all(needed <= row.keys() for row in short["slopes"].values())


def test_no_cold_one_gets_more_than_it_bears_in_any_window(short):
    assert short["ramp_windows"] > 10_000
    assert short["ramp_windows_over_limit"] == 0
    assert short["ramp_worst_share_of_limit"] <= 1.0


@pytest.mark.parametrize("kind", ["store", "parent"])
def test_cold_ones_are_warmed_by_many_gateways_as_by_few(short, kind):
    """A share far below one request for each gateway must not round down to none."""
    few, many = (short[f"ramp_budget_used_{kind}_steady_small_{size}"] for size in (64, 256))
    assert many >= 0.9 * few >= 0.3


def test_loads_of_members_grow_no_faster_than_the_fleet(short):
    sizes = scale_virtual.SHORT_NODES
    times = sizes[-1] / sizes[0]
    for role in ("coordinator", "member"):
        for what in ("datagrams_in", "kb_in", "state_kb", "datagrams_out"):
            first, last = (short[f"agreement_{role}_{what}_{size}"] for size in (sizes[0], sizes[-1]))
            assert last <= 1.1 * times * first, (role, what)


def test_an_ordinary_node_sends_and_gets_no_more_in_a_larger_fleet(short):
    sizes = scale_virtual.SHORT_NODES
    for what in ("datagrams_out", "datagrams_in", "kb_out", "kb_in"):
        first, last = (short[f"agreement_ordinary_{what}_{size}"] for size in (sizes[0], sizes[-1]))
        assert last <= 1.1 * first, what


def test_the_time_to_a_majority_does_not_depend_on_the_fleet(short):
    slope = short["slopes"]["agreement_granted_s"]
    assert slope["is_line"] and slope["target"] < 1.0


# The drivers -------------------------------------------------------------------------------------------


def test_a_ramp_is_the_same_for_the_same_seed_and_another_for_another():
    first, again, other = (ramp.play(ramp.Case(64, False, "steady", 20.0, seed)).calls for seed in (1, 1, 2))
    assert first == again != other


def test_more_requests_buy_no_more_of_a_cold_store():
    used = [ramp.play(ramp.Case(64, False, "steady", 20.0, 1, offered)).used for offered in (5.0, 20.0)]
    assert used[1] <= 1.1 * used[0] and used[1] <= 1.0


def test_windows_over_the_limit_are_seen(monkeypatch):
    monkeypatch.setattr("olivecourse.choice.COLD_SAFETY", 4.0)
    found = ramp.play(ramp.Case(64, True, "steady", 20.0, 1, 10.0))
    assert found.over > 0 and found.worst > 1.0


def test_a_node_that_is_called_only_when_something_is_due_sends_the_same_beats():
    """Each beat goes to all members and to two others; nothing else is said in a calm fleet but the polls."""
    fleet = agreement.Fleet(64, 5, 1)
    fleet.run(3 * fleet.period_ns / agreement.S)
    loads = fleet.loads(4 * fleet.period_ns / agreement.S)
    beats = loads["member"].datagrams_in - loads["member"].recalls_in
    heard = 63 * agreement.S / fleet.period_ns
    assert beats == pytest.approx(heard, rel=0.05)


def test_sizes_of_state_count_each_object_once():
    shared = ["x" * 1000]
    assert agreement.deep_bytes([shared, shared]) < 2 * agreement.deep_bytes([shared])
    assert agreement.deep_bytes({"a": 1}) > agreement.deep_bytes({})
