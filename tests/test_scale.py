"""Tests of the scale benchmark: stand-ins, accounting, hollow gateways, and a run of the short form."""

import json
import re
import socket
import time

import pytest

from benchmarks._deployment import IDLE, Deployment, merge_times, store_list
from benchmarks._hollow import LONGEST_MS, HollowFleet, Times
from benchmarks._observer import Ask, Purge, StandinSite, hot_names, old_copies, served_share, used_late
from benchmarks._scale_axes import Axis, Point
from benchmarks._scale_capacity import CORES, LOAD, at_target, machines
from benchmarks._scale_cost import per_gateway
from benchmarks._scale_faults import publish_purges
from benchmarks._slopes import fit
from benchmarks._standin_discovery import DiscoveryService, History, PurgeSource, purge, tag, tagged_us
from benchmarks.scale import run
from olivecourse.emulator.settings import settings

CLASSES = [("fichiers", 2500, "idempotent", False), ("commande", 2500, "at_most_once", True)]
LIMIT_S = 20.0


def run_until(*parts, until):
    """Calls the parts in turn until `until` returns a true value, and returns that value."""
    end = time.monotonic() + LIMIT_S
    while not (found := until()):
        assert time.monotonic() < end
        for part in parts:
            part()
    return found


class Poller:
    """A connection that sends polls and reads their answers."""

    def __init__(self, service, number):
        self.service, self.sock, self.data = service, socket.create_connection(("127.0.0.1", number)), b""
        self.sock.setblocking(False)

    def ask(self, watch, linger=0):
        self.sock.sendall(b"GET /board/poll?watch=%d&linger=%d HTTP/1.1\r\nHost: d\r\n\r\n" % (watch, linger))

    def read_answer(self):
        try:
            self.data += self.sock.recv(1 << 20)
        except BlockingIOError:
            pass
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end or len(body) < int(re.search(rb"Content-Length: (\d+)", head)[1]):
            return None
        self.data = b""
        return json.loads(body)

    def answer(self):
        return run_until(lambda: self.service.turn(0.01), until=self.read_answer)


@pytest.fixture
def service():
    created = DiscoveryService(History())
    created.open_port("main")
    yield created
    created.close()


@pytest.fixture
def poller(service):
    created = Poller(service, service.ports["main"].number)
    yield created
    created.sock.close()


# Stand-in discovery service -------------------------------------------------------------------------------


def test_events_are_numbered_and_a_poll_returns_the_missing_ones(service, poller):
    service.publish([purge(tag(5_000, 1)), purge(tag(6_000, 2))])
    poller.ask(1)
    answer = poller.answer()
    assert answer["rev"] == 2 and [event["rev"] for event in answer["notices"]] == [2]
    assert tagged_us(answer["notices"][0]["flush"]["asset"]) == 6


def test_polls_wait_for_an_event_and_share_one_encoded_answer(service):
    pollers = [Poller(service, service.ports["main"].number) for _ in range(3)]
    for poller in pollers:
        poller.ask(0, 5_000)
    run_until(lambda: service.turn(0.01), until=lambda: service.ports["main"].traffic.polls == 3)
    service.publish([purge(tag(1, 1))])
    assert [poller.answer()["rev"] for poller in pollers] == [1, 1, 1]
    assert service.history.answer(0) is service.history.answer(0)
    for poller in pollers:
        poller.sock.close()


def test_a_poll_without_events_is_answered_after_its_linger_time(service, poller):
    poller.ask(0, 20)
    assert poller.answer() == {"rev": 0, "notices": []}


def test_a_muted_port_announces_no_events(service):
    poller = Poller(service, service.open_port("idle", muted=True))
    service.publish([purge(tag(1, 1))])
    poller.ask(0, 20)
    assert poller.answer()["notices"] == []
    poller.sock.close()


def test_late_answers_include_events_published_meanwhile(service, poller):
    service.late_share, service.late_s = 1.0, 0.05
    service.publish([purge(tag(1, 1))])
    poller.ask(0)
    run_until(lambda: service.turn(0.01), until=lambda: service.ports["main"].traffic.polls == 1)
    service.publish([purge(tag(2, 2))])
    assert [event["rev"] for event in poller.answer()["notices"]] == [1, 2]


def test_a_cut_port_refuses_connections_until_it_is_joined(service, poller):
    number = service.ports["main"].number
    poller.ask(0, 5_000)
    run_until(lambda: service.turn(0.01), until=lambda: service.ports["main"].traffic.polls == 1)
    service.cut("main")
    assert poller.sock.recv(1) == b""
    with pytest.raises(OSError):
        socket.create_connection(("127.0.0.1", number), timeout=1)
    service.join("main")
    again = Poller(service, number)
    again.ask(0, 1)
    assert again.answer()["rev"] == 0
    again.sock.close()


def test_a_request_that_is_not_a_poll_closes_the_connection(service, poller):
    poller.sock.sendall(b"GET /elsewhere HTTP/1.1\r\n\r\n")

    def ended():
        try:
            return poller.sock.recv(1) == b""
        except BlockingIOError:
            return False

    assert run_until(lambda: service.turn(0.01), until=ended)


def test_revisions_continue_after_a_kill_in_the_middle_of_a_line(tmp_path):
    path = str(tmp_path / "events")
    first = History(path)
    first.append([purge(tag(1, 1)), purge(tag(2, 2))])
    first.close()
    with open(path, "ab") as file:
        file.write(b'{"rev":3,"fl')
    second = History(path)
    second.append([purge(tag(4, 4))])
    second.close()
    found = History(path)
    assert [json.loads(event)["rev"] for event in found.events] == [1, 2, 3]
    found.close()


def test_purges_are_published_at_their_rate_and_named_ones_are_reported(service):
    purged_names = []
    source = PurgeSource(service, lambda name, at_ns, ms: purged_names.append(name))
    source.start(1_000.0, 0.1, ["a" * 16, "b" * 16], 10)
    run_until(lambda: service.turn(0.01), until=lambda: source.published == 100)
    assert service.history.rev == 100 and purged_names == (["b" * 16, "a" * 16] * 5)


# Accounting -----------------------------------------------------------------------------------------------


def test_propagation_times_of_processes_are_merged():
    one, other = Times(), Times()
    for _ in range(98):
        one.add(0, 2_500)
    other.add(0, 40_000)
    other.add(0, (LONGEST_MS + 5) * 1_000)
    found = merge_times([one.row(), other.row()])
    assert (found.count, found.median_ms, found.p99_ms) == (100, 2.0, 40.0)
    assert found.longest_ms == LONGEST_MS + 5
    assert merge_times([Times().row()]).row() == {"count": 0, "median_ms": 0.0, "p99_ms": 0.0, "max_ms": 0.0}


def test_reads_after_a_purge_are_judged_by_the_age_they_accept():
    published = Purge("a", 100.0, 50_000)
    asks = [
        Ask("a", 99.9, 49_900, None),  # before the purge
        Ask("a", 100.2, 50_200, None),  # within the grace period
        Ask("a", 100.5, 50_500, None),  # accepts any copy
        Ask("a", 100.5, 50_500, 600),  # accepts a copy from before the purge
        Ask("a", 100.5, 50_500, 499),
        Ask("b", 100.5, 50_500, None),
        Ask("a", 106.5, 56_500, None),  # stores have dropped their copies by then
    ]
    old = old_copies(asks, [published], 6.0)
    assert [late.ask for late in old] == asks[1:4]
    assert used_late(old, lambda purge: 0.3) == 2
    assert used_late(old, lambda purge: 3.1) == 0


def test_a_late_read_after_several_purges_counts_once():
    purges = [Purge("a", 100.0, 50_000), Purge("a", 101.0, 51_000)]
    old = old_copies([Ask("a", 102.0, 52_000, None)], purges, 6.0)
    assert len(old) == 2 and used_late(old, lambda purge: 0.3) == 1


def test_shares_of_requests_and_costs():
    assert served_share({"served": 10, "failed": 1}, {"served": 109, "failed": 2, "lost": 0}) == 0.99
    assert served_share({"served": 1}, {"served": 1}) is None
    assert per_gateway(0.5, 0.1, 4) == pytest.approx(0.1)
    assert machines(100.0 * CORES * LOAD) == 1.0


def test_too_few_sizes_give_no_slope():
    axis = Axis("gateways", {}, [Point(size, {"answerer_pct": size}) for size in (8, 32)])
    assert axis.slope("answerer_pct") is None and axis.row()["slopes"] == {}
    assert at_target(axis) is None


def test_a_constant_cost_gives_no_slope():
    points = [Point(size, {"missing": 0.0}) for size in (16, 64, 128, 256) for _ in range(3)]
    assert Axis("gateways", {}, points).slope("missing") is None


def test_machines_for_the_target_use_the_upper_end_of_the_slope():
    costs = [(n, 0.5 * n + r) for n in (16, 64, 128, 256) for r in (-0.2, 0.0, 0.2)]
    points = [Point(n, {"answerer_pct": cost, "answerer_kb_s_out": 10.0 * n}) for n, cost in costs]
    found = at_target(Axis("gateways", {}, points))
    assert found["cores_high"] == pytest.approx(fit(costs).at(7_500).high / 100, rel=0.01)
    assert found["machines"] == pytest.approx(found["cores_high"] / 4, rel=0.01)
    assert found["mbit_s_high"] == pytest.approx(600, rel=0.01)


def test_a_cost_that_bends_down_is_scaled_from_the_largest_size():
    costs = [(n, 10.0 * n**0.5 + r) for n in (16, 64, 128, 256) for r in (-0.2, 0.0, 0.2)]
    points = [Point(n, {"answerer_pct": cost, "answerer_kb_s_out": 10.0 * n}) for n, cost in costs]
    found = at_target(Axis("gateways", {}, points))
    assert not found["is_line"]
    assert found["cores_high"] == pytest.approx((160.2 / 256) * 7_500 / 100, rel=0.01)


# Hollow gateways ------------------------------------------------------------------------------------------


@pytest.fixture
def fleet(service, tmp_path):
    """Eight hollow gateways that have received a list of stores; `fleet.run_until(until)` runs them."""
    pool = {"revision": 1, "complete": True, "members": store_list(12)}
    service.publish([b'"pool":' + json.dumps(pool).encode()])
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "seed": "1",
                "board": f"127.0.0.1:{service.ports['main'].number}",
                "settings": settings(CLASSES),
                "known": {"rev": 0, "notices": []},
            }
        )
    )
    created = HollowFleet(str(path), 0)
    created.add(8)
    created.run_until = lambda until: run_until(
        lambda: created.turn(1_000_000), lambda: service.turn(0.0), until=until
    )
    created.run_until(lambda: all(gateway.rev == service.history.rev for gateway in created.gateways))
    created.clear()
    yield created
    created.close()


def test_a_purge_is_applied_by_every_hollow_gateway(service, fleet):
    names = [tag(time.monotonic_ns(), serial) for serial in range(5)]
    service.publish([purge(name) for name in names])
    fleet.run_until(lambda: fleet.purges.total == 5 * 8)
    for gateway in fleet.gateways:
        assert len(gateway.control.directory.members) == 12 and not gateway.logged
        assert all(name in gateway.planner.router.purges for name in names)


def test_restarted_gateways_catch_up_without_counting_old_purges(service, fleet):
    service.publish([purge(tag(time.monotonic_ns(), 1))])
    fleet.run_until(lambda: fleet.purges.total == 8)
    fleet.restart([0, 3])
    fleet.run_until(lambda: all(gateway.rev == service.history.rev for gateway in fleet.gateways))
    assert fleet.purges.total == 8
    service.publish([purge(tag(time.monotonic_ns(), 2))])
    fleet.run_until(lambda: fleet.purges.total == 16)


def test_a_reload_applies_new_settings_at_every_gateway(fleet):
    path = fleet.gateways[0]._path
    with open(path) as file:
        file_content = json.load(file)
    file_content["settings"]["limits"]["max_attempts"] = 3
    with open(path, "w") as file:
        json.dump(file_content, file)
    fleet.reload(time.monotonic_ns() // 1_000)
    assert {gateway.config.settings.max_attempts for gateway in fleet.gateways} == {3}
    assert fleet.reloads.total == 8


# Processes ------------------------------------------------------------------------------------------------


def test_the_observer_finds_late_use_by_a_gateway_without_purges(tmp_path):
    site = StandinSite()
    try:
        with Deployment(tmp_path / "fleet", site.members()) as fleet:
            uninformed = fleet.real(fleet.config(IDLE))
            site.serve(uninformed.port(), 1)
            publish_purges(fleet, 50.0, 600.0)
            end = time.monotonic() + LIMIT_S
            while not _late(site, fleet) and time.monotonic() < end:
                time.sleep(0.1)
            site.stop()
            assert _late(site, fleet)
    finally:
        site.close()


def _late(site, fleet):
    purges = [Purge(p["purged"], p["at_ns"] / 1e9, p["ms"]) for p in list(fleet.discovery.purged)]
    assert {purge.name for purge in purges} <= set(hot_names())
    return used_late(old_copies(list(site.asks), purges, 6.0), lambda purge: 0.3)


def test_a_deployment_ends_all_its_processes(tmp_path):
    with pytest.raises(ZeroDivisionError), Deployment(tmp_path / "fleet", store_list(4)) as fleet:
        hollow, gateway = fleet.hollow(2), fleet.real(fleet.config(IDLE))
        fleet.wait_connected()
        processes = [hollow.process.process, gateway.process, fleet.discovery._process.process]
        raise ZeroDivisionError
    assert all(process.poll() is not None for process in processes)


KEYS = (
    "gateways cpu_pct_gateway kb_s_gateway mb_gateway hollow_over_real purge_everywhere_ms_p99 "
    "purge_everywhere_ms_max config_everywhere_ms_max purged_used_late backlog_s longest_turn_ms "
    "control_machines control_machines_before baseline_turn_ms relays relay_machines "
    "purge_everywhere_ms_max_relay_killed standin_machines"
).split()


def test_short_form():
    found = run(short=True, seed=1, trials=0)
    assert set(KEYS) <= found.keys() and json.loads(json.dumps(found)) == found
    parts = found["parts"]
    assert found["purged_used_late"] == 0, parts["faults"]
    assert parts["faults"]["all_up_to_date"] and parts["faults"]["reads_of_purged_names"]
    points = [point for name in ("gateways", "stores", "purges") for point in parts["axes"][name]["points"]]
    assert points and not any(point["missing"] for point in points)
    assert all(not axis["slopes"] for axis in parts["axes"].values())  # a single repeat gives no slope
    assert found["control_machines"] is None
    (killed,) = parts["relays"]["killed"]
    assert found["relays"] == 2 and killed["connections_left_relay"] == killed["gateways"]
    for stage in (killed["calm"], killed["relay killed"]):
        assert stage["purges"] and not stage["missing"]
        assert stage["count"] == stage["purges"] * killed["gateways"]
    assert found["backlog_s"] is not None and parts["cost"]["in_force"]["count"]
