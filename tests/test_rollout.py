"""Agreement on drains and releases: fault cases on a simulated network, the model checker, and real
processes."""

import json
import os
import subprocess
import sys
from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from fleetsim import GATEWAYS, STORES, Fleet, S
from harness import GatewayHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks._fleet import Fleet as Processes
from benchmarks.rollout import play as play_processes
from olivecourse.config.sections import InvalidSection
from olivecourse.modelcheck.explorer import explore
from olivecourse.modelcheck.lease_model import FAULTS, NARROW_BOUNDS, Model, find_planted_fault
from olivecourse.rollout import releases
from olivecourse.rollout.agent import Stage as WorkStage
from olivecourse.rollout.budgets import Budget, Group
from olivecourse.rollout.component import LEARN_TIMEOUT_NS, CommandAnswer, RolloutComponent
from olivecourse.rollout.disk import CorruptRecord, Disk, FolderLocked
from olivecourse.rollout.disruption_leases import Answer, LeasePurpose, Outcome
from olivecourse.rollout.member import RUMOR_FANOUT, HaltNotice, Member, OperationReply, Setup
from olivecourse.rollout.quorum_register import AcceptorState, Ballot, Learn, QuorumRegisters, RecoveryRequest
from olivecourse.rollout.release_analysis import Counts, SequentialTest
from olivecourse.rollout.releases import Command, CommandReply, Plan, State, plan_error
from olivecourse.rollout.section import read_rollout
from olivecourse.rollout.wire import MAX_DATAGRAM_BYTES, BadDatagram, DatagramCodec, Keys

PLAN = Plan("v2", "v1", (20, 60, 100), 0.5, False)


def drain(fleet, number, store):
    """Requests at gateway `number` that a store be drained; returns the `agent.Work` on that store."""
    node = fleet.nodes[number]
    return node.agent.request_lease(STORES, store, LeasePurpose.DRAIN, fleet.clock(node))


def bring_back(fleet, number, store):
    """Ends the drain of a store, by a call at gateway `number`."""
    node = fleet.nodes[number]
    assert node.agent.release_item(STORES, store, fleet.clock(node))


def leases_by_item(fleet, key=STORES):
    """The leases of a group by item, as known to the gateway with the newest table."""
    tables = [n.member.register.learned.get(key) for n in fleet.nodes if n.up]
    newest = max((t for t in tables if t), key=lambda t: t[0])
    node = next(n for n in fleet.nodes if n.up and n.member.register.learned.get(key) == newest)
    return {p.item: p for p in node.member.table(key).leases}


def start_release(fleet, plan=PLAN, replaces=True):
    """Plans and starts a release; with `replaces` set, a gateway restarts with the new version once its agent
    says that it may be replaced."""

    def replace(node):
        version = node.agent.replaceable
        fleet.kill(node)
        fleet.boot(node, version=version)

    if replaces:
        fleet.replace = replace
    for command, more in ((Command.PLAN, {"plan": plan}), (Command.START, {})):
        answer = fleet.answered(fleet.nodes[0], fleet.send_command(fleet.nodes[0], command, **more))
        assert answer.accepted, answer
        fleet.run(1)


def release_state(fleet, number=0):
    """The state of the release as known to gateway `number`."""
    return fleet.nodes[number].member.release.state


# Leases ------------------------------------------------------------------------------------------------


def test_requests_over_budget_wait_in_order_and_a_lease_ends_only_when_its_store_is_warm():
    fleet = Fleet(1, loss=0.1)
    fleet.run(1)
    works = [drain(fleet, n, 100 + n) for n in range(4)]
    fleet.run(2)
    assert sorted(w.stage is WorkStage.OUT for w in works) == [False, False, True, True]
    assert all("waits" in w.status_text for w in works if w.stage is WorkStage.WANTED)
    out = next(w for w in works if w.stage is WorkStage.OUT)
    fleet.store_state[out.item] = "down"
    fleet.run(1)
    fleet.store_state[out.item] = "in"
    fleet.store_warm_at[out.item] = fleet.now + 3 * S
    bring_back(fleet, out.item - 100, out.item)
    fleet.run(2.5)
    assert out.item in leases_by_item(fleet) and out.stage is WorkStage.BACK, "the store is up but still cold"
    assert sum(w.stage is WorkStage.OUT for w in works) == 1
    fleet.run(3)
    assert out.item not in leases_by_item(fleet) and sum(w.stage is WorkStage.OUT for w in works) == 2
    assert fleet.over == 0


@pytest.mark.parametrize("when", ["granted", "out", "back"])
def test_killing_a_lease_holder_never_exceeds_the_budget(when):
    fleet = Fleet(2)
    fleet.run(1)
    work = drain(fleet, 4, 100)
    if when == "granted":  # cut off from all others once the lease is granted
        fleet.cut = lambda a, b: a == 4 and work.stage is not WorkStage.WANTED
    fleet.run(3, lambda: work.stage is (WorkStage.GRANTED if when == "granted" else WorkStage.OUT))
    if when == "back":
        fleet.store_warm_at[100] = fleet.now + 4 * S
        bring_back(fleet, 4, 100)
        fleet.run(1)
    fleet.kill(fleet.nodes[4])
    fleet.cut = lambda a, b: False
    others = [drain(fleet, n, 101 + n) for n in range(3)]
    fleet.run(8)
    left = {"granted": 2, "out": 1, "back": 2}[when]  # a granted lease is reclaimed, a used one stays
    assert sum(w.stage is WorkStage.OUT for w in others) == left and fleet.over == 0
    fleet.boot(fleet.nodes[4])
    fleet.run(2)
    if when == "out":
        bring_back(fleet, 4, 100)
        fleet.run(2)
    assert (
        sum(w.stage is WorkStage.OUT for w in others) == 2
        and 100 not in leases_by_item(fleet)
        and fleet.over == 0
    )


def test_a_minority_grants_nothing_and_a_one_way_partition_does_not_stop_the_others():
    fleet = Fleet(3, members=5)
    fleet.run(1)
    fleet.cut = lambda a, b: (a < 3) != (b < 3)  # two partitions, of 3 and 2 gateways
    minority_work, majority_work = drain(fleet, 4, 100), drain(fleet, 0, 101)
    fleet.run(4)
    assert (minority_work.stage, majority_work.stage) == (
        WorkStage.WANTED,
        WorkStage.OUT,
    ) and minority_work.status_text == "no majority answered"
    fleet.cut = lambda a, b: a // 2 != b // 2  # three partitions, of 2, 2 and 1 gateways
    later_work = drain(fleet, 0, 102)
    fleet.run(4)
    assert later_work.stage is WorkStage.WANTED and list(leases_by_item(fleet)) == [101]
    fleet.cut = lambda a, b: a == 0  # the first member receives and cannot send
    fleet.run(6)
    assert minority_work.stage is WorkStage.OUT and fleet.over == 0
    fleet.cut = lambda a, b: False
    fleet.run(4)
    assert len(leases_by_item(fleet)) == 2 and fleet.over == 0


def test_failed_stores_count_against_the_budget_and_the_last_store_is_never_drained():
    fleet = Fleet(4, stores=5)
    fleet.run(1)
    assert drain(fleet, 0, 100).stage is WorkStage.WANTED
    fleet.run(2)
    fleet.store_state[101] = fleet.store_state[102] = "down"
    later_work = drain(fleet, 1, 103)
    fleet.run(3)
    assert later_work.stage is WorkStage.WANTED and "out already" in later_work.status_text
    later_work.forced, fleet.store_state[104] = True, "down"
    fleet.run(2)
    assert later_work.stage is WorkStage.WANTED and "last one" in later_work.status_text
    group = Group("g", {1: 1.0, 2: 1.0, 3: 8.0}, Budget(2, 0.5))
    assert (
        not group.denial_reason([], 3)
        and "capacity" in group.denial_reason([1], 3)
        and not group.denial_reason([1], 3, forced=True)
    )
    assert group.denial_reason([1, 3], 2, forced=True) == "the last one of its group"


def test_a_holder_suspended_for_half_a_minute_does_not_act_on_an_outdated_grant():
    for skip, expected in ((False, 0), (True, 1)):
        fleet = Fleet(5, budget=1, skip_activation=skip)
        fleet.run(1)
        work, agent = drain(fleet, 4, 100), fleet.nodes[4].agent
        advance, agent._advance = (
            agent._advance,
            lambda w, now, m=agent._advance: w.stage is WorkStage.GRANTED or m(w, now),
        )
        fleet.run(3, lambda work=work: work.stage is WorkStage.GRANTED)
        fleet.nodes[4].stopped = True  # suspended between the grant and the activation
        agent._advance = advance
        other = drain(fleet, 0, 101)
        fleet.run(30)
        assert other.stage is WorkStage.OUT
        taken_out = []
        agent._take_out = taken_out.append
        fleet.nodes[4].stopped = False
        fleet.run(3)
        assert len(taken_out) == expected, "without activation the old holder goes out beside the new one"


def test_forty_simultaneous_requests_are_all_answered_and_two_are_granted():
    fleet = Fleet(6, nodes=40, members=5, stores=40)
    fleet.run(2)
    works = [drain(fleet, n, 100 + n) for n in range(40)]
    fleet.run(6)
    assert sum(w.stage is WorkStage.OUT for w in works) == 2 and fleet.over == 0
    assert all(w.status_text for w in works if w.stage is WorkStage.WANTED)


@given(st.integers(0, 10_000))
@settings(max_examples=12)
def test_random_faults_never_exceed_the_store_budget(seed):
    """Faults: kills, suspended processes, lost disks, one-way and full partitions, clock offsets of up to 10
    s, and lost and duplicated datagrams."""
    rng = Random(seed)
    fleet = Fleet(
        seed,
        nodes=5,
        members=rng.choice([3, 5]),
        stores=6,
        loss=rng.choice([0, 0.1, 0.3]),
        twice=0.05,
        slow_ms=rng.choice([10, 100]),
    )
    for node in fleet.nodes:
        node.skew = rng.randrange(-10, 11) * S
    for _ in range(12):
        up = [n for n in fleet.nodes if n.up and not n.stopped] or [fleet.nodes[0]]
        chosen = rng.choice(up)
        event = rng.choice(["drain", "drain", "give", "kill", "boot", "stop", "cut", "heal"])
        if event == "drain":
            drain(fleet, chosen.number, 100 + rng.randrange(6))
        elif event == "give":
            for item in list(chosen.agent.works):
                bring_back(fleet, chosen.number, item)
        elif event == "kill":
            fleet.kill(chosen)
        elif event == "stop":
            chosen.stopped = True
        elif event == "boot":
            for node in fleet.nodes:
                if not node.up:
                    fleet.boot(node, lost_disk=rng.random() < 0.2)
        elif event == "cut":
            left, both = set(rng.sample(range(5), 2)), rng.random() < 0.5
            fleet.cut = lambda a, b, left=left, both=both: (a in left) != (b in left) and (both or a in left)
        else:
            fleet.cut = lambda a, b: False
            for node in fleet.nodes:
                node.stopped = False
        fleet.run(rng.choice([0.1, 0.5, 2]))
    assert fleet.over == 0, f"seed {seed}: {fleet.most_out} out"


# Releases ----------------------------------------------------------------------------------------------


def test_a_release_and_its_rollback_restart_one_gateway_at_a_time():
    fleet = Fleet(7, loss=0.1)
    fleet.run(1)
    out_counts = []
    observe_budget = fleet.observe
    fleet.observe = lambda: (observe_budget(), out_counts.append(sum(map(fleet.gateway_out, fleet.nodes))))
    start_release(fleet)
    assert fleet.run(40, lambda: release_state(fleet) is State.DONE) and {n.version for n in fleet.nodes} == {
        "v2"
    }
    start_release(fleet, Plan("v3", "v2", (20, 100), 30.0, False))
    assert fleet.run(20, lambda: sum(n.version == "v3" for n in fleet.nodes) == 1)
    fleet.run(1)
    answer = fleet.answered(fleet.nodes[2], fleet.send_command(fleet.nodes[2], Command.ROLLBACK))
    assert answer.accepted and fleet.run(30, lambda: release_state(fleet) is State.DONE)
    assert {n.version for n in fleet.nodes} == {"v2"} and max(out_counts) == 1


def test_a_halt_survives_a_restart_of_all_gateways_and_only_a_newer_resume_ends_it():
    fleet = Fleet(8, loss=0.1)
    fleet.run(1)
    start_release(fleet)
    term_before_halt = fleet.nodes[3].member.release.term
    halt_handle = fleet.send_command(fleet.nodes[4], Command.HALT, why="by hand")
    fleet.run(1)
    assert all(n.member.halted for n in fleet.nodes), "known everywhere within 1 s at 10 % datagram loss"
    assert fleet.nodes[4].answers[halt_handle].accepted
    for node in fleet.nodes:
        fleet.kill(node)
    for node in fleet.nodes:
        fleet.boot(node)
    versions = [n.version for n in fleet.nodes]
    fleet.run(5)
    assert release_state(fleet, 4) is State.HALTED and [n.version for n in fleet.nodes] == versions
    late_gateway = fleet.nodes[3]
    from olivecourse.rollout.releases import KEY, CommandRequest

    resume_handle = late_gateway.member.submit(
        KEY, CommandRequest(Command.RESUME, term_before_halt, 3, 7), fleet.clock(late_gateway)
    )  # issued before the halt
    answer = fleet.answered(late_gateway, resume_handle)
    assert not answer.accepted and "stands at term" in answer.reason
    assert fleet.answered(late_gateway, fleet.send_command(late_gateway, Command.RESUME)).accepted
    assert fleet.run(40, lambda: release_state(fleet) is State.DONE) and {n.version for n in fleet.nodes} == {
        "v2"
    }


def test_a_halt_without_a_majority_stops_its_receivers_and_becomes_durable_after_the_partition():
    fleet = Fleet(9)
    fleet.run(1)
    start_release(fleet, replaces=False)
    fleet.cut = lambda a, b: (a in (2, 3, 4)) != (b in (2, 3, 4))
    fleet.run(0.1)
    handle = fleet.send_command(fleet.nodes[4], Command.HALT)
    fleet.run(3)
    assert fleet.nodes[3].member.halted and not fleet.nodes[0].member.halted
    assert fleet.answered(fleet.nodes[4], handle, 3) is None
    fleet.cut = lambda a, b: False
    fleet.run(3)
    assert all(n.member.halted for n in fleet.nodes) and release_state(fleet) is State.HALTED


def test_only_one_of_two_simultaneous_plans_is_accepted_and_a_restarted_gateway_learns_it():
    fleet = Fleet(10)
    fleet.run(1)
    unavailable = fleet.nodes[4]
    fleet.kill(unavailable)
    first = fleet.send_command(fleet.nodes[0], Command.PLAN, plan=PLAN)
    second = fleet.send_command(fleet.nodes[1], Command.PLAN, plan=Plan("v9", "v1", (100,), 0.0, False))
    fleet.run(3)
    outcomes = [fleet.nodes[0].answers[first].accepted, fleet.nodes[1].answers[second].accepted]
    assert sorted(outcomes) == [False, True]
    fleet.boot(unavailable, lost_disk=True)
    fleet.run(1)
    assert unavailable.member.release == fleet.nodes[0].member.release


def test_a_member_with_a_lost_disk_does_not_vote_before_it_has_recovered():
    fleet = Fleet(11)
    fleet.run(1)
    drain(fleet, 0, 100)
    fleet.run(2)
    fleet.kill(fleet.nodes[0])
    fleet.boot(fleet.nodes[0], lost_disk=True)
    fleet.run(1)
    assert not fleet.nodes[0].member.register.votes
    fleet.run(3)
    assert fleet.nodes[0].member.register.votes
    assert fleet.nodes[0].disk[STORES].value == fleet.nodes[1].disk[STORES].value


def test_a_lease_lasts_for_the_cold_period_if_the_restart_of_its_store_is_unknown():
    """Guards against a fault seen with real processes: voters that had just started did not know of a store's
    restart, took the store for warm and ended its lease too early."""
    fleet = Fleet(13)
    for node in fleet.nodes:
        node.member.observed_stores.cold_ns[STORES] = 2 * S
    fleet.run(1)
    work = drain(fleet, 4, 100)
    fleet.run(3, lambda: work.stage is WorkStage.OUT)
    bring_back(fleet, 4, 100)
    fleet.run(1.5)
    assert 100 in leases_by_item(fleet)
    fleet.run(2)
    assert 100 not in leases_by_item(fleet)


def test_outdated_folders_are_trusted_only_when_all_members_report_theirs():
    fleet = Fleet(12)
    fleet.run(1)
    drain(fleet, 0, 100)
    fleet.run(2)
    for node in fleet.nodes:
        fleet.kill(node)
    for node in fleet.nodes[1:]:
        fleet.boot(node, old_disk=True)
    fleet.run(5)
    later_work = drain(fleet, 3, 101)
    fleet.run(4)
    assert later_work.status_text == "no majority answered" and not any(
        n.member.register.votes for n in fleet.nodes[1:]
    )
    fleet.boot(fleet.nodes[0], old_disk=True)
    fleet.run(6)
    assert later_work.stage is WorkStage.OUT and set(leases_by_item(fleet)) == {100, 101}


def test_the_canary_test_halts_a_bad_version_early_and_a_good_one_rarely():
    rng, good_halted, halted_at = Random(5), 0, []
    for trial in range(200):
        bad = trial % 2
        gate, new, old = SequentialTest(0.01, 1.0), [0, 0], [0, 0]
        for step in range(60):
            for side, rate in ((new, 0.15 if bad else 0.02), (old, 0.02)):
                side[0] += 20
                side[1] += sum(rng.random() < rate for _ in range(20))
            if gate.update(Counts(*new), Counts(*old)):
                halted_at.append(step) if bad else None
                good_halted += not bad
                break
    assert len(halted_at) == 100 and sorted(halted_at)[90] < 15 and good_halted <= 2


def test_invalid_plans_are_refused_with_a_reason():
    for plan in (
        Plan(""),
        Plan("v1", "v1"),
        Plan("v", "w", ()),
        Plan("v", "w", (50, 20, 100)),
        Plan("v", "w", (10, 50)),
        Plan("v", "w", soak_s=-1.0),
        Plan("v" * 30, "w"),
    ):
        assert plan_error(plan)
    assert not plan_error(PLAN)


# Codec, disk, configuration ----------------------------------------------------------------------------


@given(st.binary(max_size=300))
@settings(max_examples=200)
def test_forged_damaged_and_replayed_datagrams_are_dropped(data):
    old_keys, both_keys = Keys({1: b"a" * 32}, 1), Keys({1: b"a" * 32, 2: b"b" * 32}, 2)
    receiver = DatagramCodec(0, 7, both_keys)
    with pytest.raises(BadDatagram):
        receiver.decode(data)
    sealed = DatagramCodec(1, 7, old_keys).encode(0, HaltNotice(3, 1, 0, "x" * 500))
    assert len(sealed) <= MAX_DATAGRAM_BYTES and receiver.decode(sealed)[0] == 1, (
        "signed with a known key that is not current"
    )
    with pytest.raises(BadDatagram, match="come before"):
        receiver.decode(sealed)
    sender = DatagramCodec(2, 7, Keys({2: b"b" * 32}, 2))
    sealed = sender.encode(0, OperationReply(5, Answer(Outcome.REFUSED, reason="y" * 500)))
    position = len(data) * 7 % len(sealed)
    damaged = bytearray(sealed)
    damaged[position] ^= 1
    with pytest.raises(BadDatagram):
        receiver.decode(bytes(damaged))
    assert receiver.decode(sealed)[0] == 2
    with pytest.raises(BadDatagram, match="come before"):
        receiver.decode(DatagramCodec(2, 6, both_keys).encode(0, HaltNotice(3, 1, 0)))


def test_a_folder_keeps_promises_and_a_corrupt_or_foreign_folder_is_detected(tmp_path):
    disk = Disk(str(tmp_path / "a"), "n0", b"k" * 32)
    assert disk.load() is None, "no marker: earlier promises of this member may be lost"
    disk.init(10_000)
    acceptor_states = {"stores:praia": AcceptorState(Ballot(3, 1), Ballot(2, 0), b"value")}
    disk.write(acceptor_states, 10_030)
    disk.close()
    reopened = Disk(str(tmp_path / "a"), "n0", b"k" * 32)
    with pytest.raises(FolderLocked):
        Disk(str(tmp_path / "a"), "n0", b"k" * 32)  # as by the second process during an upgrade
    assert reopened.load() == acceptor_states
    assert [reopened.is_stale(s) for s in (10_031, 10_030 + 7 * 86_400, 1)] == [False, True, True]
    reopened.close()
    for name, key in (("n1", b"k" * 32), ("n0", b"q" * 32)):
        other = Disk(str(tmp_path / "a"), name, key)
        with pytest.raises(CorruptRecord):
            other.load()
        other.close()


def test_errors_of_the_section_name_file_and_line(tmp_path):
    (tmp_path / "keys.json").write_text(json.dumps({"current": 1, "keys": {"1": "5a" * 32}}))
    fleet = "gateways: [{name: a, address: '127.0.0.1:7001', office: praia}]"
    path = tmp_path / "operator.yaml"
    for text in (
        f"keys: keys.json\n  {fleet}\n  members: [b]",
        f"keys: none.json\n  {fleet}\n  members: [a]",
        f"keys: keys.json\n  {fleet}\n  members: [a]\n  budgets: {{stores: {{number: 0}}}}",
        "keys: keys.json\n  gateways: []\n  members: [a]",
    ):
        path.write_text(f"rollout:\n  {text}\n")
        with pytest.raises(InvalidSection, match=r"operator.yaml:\d+|none.json"):
            read_rollout(str(path))
    path.write_text(f"rollout:\n  keys: keys.json\n  {fleet}\n  members: [a]\n")
    assert read_rollout(str(path)).section.budgets.stores.number == 1


def test_without_the_section_no_rollout_module_is_loaded():
    code = (
        "import sys, olivecourse.gateway, olivecourse.cli; "
        "print([m for m in sys.modules if 'rollout' in m or m in ('lmdb', 'scipy', 'blake3')])"
    )
    finished = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert finished.stdout.strip() == "[]", finished.stdout + finished.stderr
    harness = GatewayHarness()
    try:
        assert not harness.gateway.directory.leased_out and GATEWAYS not in str(harness.gateway.components)
    finally:
        harness.close()


# Model checker and real processes ----------------------------------------------------------------------


@pytest.mark.parametrize("fault", FAULTS)
def test_the_model_checker_finds_each_planted_fault_and_none_in_the_correct_code(fault):
    assert find_planted_fault(fault, seed=3, seconds=60).violation
    found = explore(Model(**NARROW_BOUNDS[fault]), 600)
    assert not found.violation, found.trace


def test_real_processes_with_faults_never_exceed_the_budget_and_lose_no_halt():
    """Runs two seeded fault scripts and one halt after which all processes are killed. The same faults
    without the agreement must exceed the budget."""
    with_it = play_processes((4, 3, 5, True, "majority"))
    runs = [row for row in with_it if "seed" in row]
    assert len(runs) == 3 and all(r["ended"] and not r["over"] and not r["halts_lost"] for r in runs), runs
    assert with_it[-1] == {"unsafe": 0}
    without = play_processes((500_001, 1, 3, False, "majority"))
    assert without[0]["over"] > 0, "without the agreement the same operators exceed the budget"


def test_drain_and_rollout_commands_work_as_the_operators_page_describes(tmp_path):
    fleet = Processes(tmp_path, count=2, members=1, stores=3, budget=1)

    def cli(*words):
        admin_address = f"127.0.0.1:{fleet.management_ports['n1']}"
        process = subprocess.Popen(
            [sys.executable, "-m", "olivecourse", *words],
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env={**os.environ, "EDGE_ADMIN": admin_address},
        )
        assert fleet.run_until(lambda: process.poll() is not None, 20)
        return process.returncode, process.stdout.read()

    try:
        assert fleet.ready()
        code, output = cli("drain", "box-00", "--wait", "5")
        assert code == 0 and output.endswith("box-00 is out\n")
        code, output = cli("drain", "box-01", "--wait", "1")
        assert code == 1 and "1 of 1 out already" in output
        assert cli("drain", "box-99")[0] == 1
        status = json.loads(cli("rollout", "status", "--json")[1])
        group = status["groups"]["stores:praia"]
        assert [p["item"] for p in group["places"]] == ["box-00"]
        assert [x["item"] for x in group["waiting"]] == ["box-01"]
        assert "box-00" in cli("rollout", "status")[1]
        assert cli("undrain", "box-00")[0] == 0 and cli("undrain", "box-01")[0] == 0
        assert fleet.run_until(lambda: not fleet.status("n0")["groups"]["stores:praia"]["places"], 5)
        plan = tmp_path / "release.yaml"
        plan.write_text("release:\n  version: v2\n  before: v1\n  waves: [50]\n")
        code, output = cli("rollout", "plan", str(plan))
        assert code == 2 and "release.yaml:1" in output and "100" in output
        plan.write_text("release:\n  version: v2\n  before: v1\n")
        assert cli("rollout", "plan", str(plan)) == (0, "plan: done, term 1\n")
        assert cli("rollout", "halt", "--why", "x")[0] == 0
        code, output = cli("rollout", "start")
        assert code == 1 and "it is halted" in output
        fleet.end("n0")
        assert cli("rollout", "resume")[0] == 1, "the only voting member has ended"
        log = tmp_path / "log"
        log.write_text("\n".join(map(json.dumps, fleet.running["n1"].lines)))
        assert "release state=halted" in cli("rollout", "explain", str(log))[1]
    finally:
        fleet.close()


def test_only_a_member_with_a_lost_disk_sends_recovery_requests():
    """Guards against a fault seen in scale runs: every gateway that was not a member sent recovery requests
    to each member four times a second."""
    members, start = (0, 1, 2), 1_700_000_000 * S

    def sent_in_a_minute(me):
        register = QuorumRegisters(
            me,
            members,
            {},
            lambda *unused: None,
            Random(1),
            lambda *unused: False,
            lambda *unused: (),
            votes=False,
        )
        for tick in range(60 * 50):
            register.tick(start + tick * S // 50)
        return [message for _, message in register.step.sends]

    assert sent_in_a_minute(7) == []
    assert any(isinstance(message, RecoveryRequest) for message in sent_in_a_minute(0))


def test_a_ticket_is_pending_until_its_gateway_learns_the_result_or_times_out():
    """Guards against a fault seen on a busy machine: `halt` was reported as done before the gateway that it
    was sent to had learned it, so that a `start` at the same gateway used the previous release term."""
    clock = SimpleNamespace(now=lambda: 5 * S)
    component = SimpleNamespace(
        _tickets=[4],
        _answers={4: CommandAnswer(CommandReply(True, 2, State.HALTED), 4 * S)},
        gateway=SimpleNamespace(loop=SimpleNamespace(clock=clock)),
        member=SimpleNamespace(release=SimpleNamespace(term=1)),
    )
    assert json.loads(RolloutComponent._ticket_reply(component, "4").body) == {"pending": True}
    component.member.release.term = 2
    assert json.loads(RolloutComponent._ticket_reply(component, "4").body)["ok"]
    component.member.release.term, clock.now = 1, lambda: 4 * S + LEARN_TIMEOUT_NS
    assert json.loads(RolloutComponent._ticket_reply(component, "4").body)["ok"]


def lone_member(nodes=40):
    """The member of gateway 30, which does not vote, in a fleet of `nodes` gateways."""
    setup = Setup(
        30,
        tuple(range(nodes)),
        (0, 1, 2),
        {n: f"gateways:{n // 8}" for n in range(nodes)},
        dict.fromkeys(range(nodes), 1.0),
        Budget(2, 0.5),
    )
    return Member(setup, 1, "v1", {}, Random(1), 1_700_000_000 * S, votes=False)


def test_a_rumor_is_forwarded_once_and_a_value_from_anti_entropy_is_not():
    """Without rumors, half of 7,500 gateways learn of a drain only after 47 s, through heartbeats. If values
    that a peer sends because checksums differ (anti-entropy) were forwarded too, each process start would
    flood the fleet."""
    member, now = lone_member(), 1_700_000_000 * S
    known, newer = (Learn("stores:praia", Ballot(count, 0), b"", rumor=True) for count in (1, 2))
    member.receive(0, msgspec.structs.replace(known, rumor=False), now)
    assert member.register.step.sends == []
    for sender in (1, 5, 9):
        member.receive(sender, newer, now)
        member.receive(sender, known, now)
    targets = [target for target, message in member.register.step.sends if message == newer]
    assert (
        len(targets) == len(set(targets)) == len(member.register.step.sends) == RUMOR_FANOUT
        and 30 not in targets
    )


def test_rumors_spread_a_drain_to_a_hundred_gateways_faster_than_heartbeats():
    fleet = Fleet(3, nodes=100, members=5, stores=40, loss=0.05)
    assert fleet.nodes[0].member.liveness.period_ns > 1.2 * S
    fleet.run(4)
    drain(fleet, 1, 101)

    def who_knows():
        return sum(101 in {lease.item for lease in node.member.table(STORES).leases} for node in fleet.nodes)

    assert fleet.run(1, lambda: who_knows() >= 1)
    assert fleet.run(0.3, lambda: who_knows() == 100), who_knows()


def test_a_learned_value_in_the_old_format_is_not_a_rumor():
    """A gateway of the previous version sends `Learn` with three fields, without `rumor`."""
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(["stores:praia", [1, 0], b"x"]), type=Learn)
    assert decoded == Learn("stores:praia", Ballot(1, 0), b"x") and not decoded.rumor


@pytest.mark.parametrize("count", [1, 3, 7, 200])
@pytest.mark.parametrize("shares", [(100,), (5, 30, 100), (1, 2, 50, 100)])
def test_a_gateway_belongs_to_the_first_wave_that_includes_its_rank(count, shares):
    gateways, plan = tuple(range(50, 50 + count)), Plan("v2", "v1", shares, 0.5, False)
    for rank, item in enumerate(releases.order("v2", gateways)):
        reached = [n for n, share in enumerate(shares) if rank < max(count * share // 100, 1)]
        assert releases.wave_of(plan, gateways, item) == min(reached, default=len(shares) - 1)


def test_the_waves_of_a_release_are_computed_once(monkeypatch):
    calls = []
    monkeypatch.setattr(releases, "order", lambda version, gateways: calls.append(version) or list(gateways))
    release = releases.Release(3, State.RUNNING, plan=Plan("v9", "v8", (1, 100), 0.5, False))
    fleet = tuple(range(500, 1_500))
    for item in fleet:
        releases.should_request_lease(release, fleet, item, "v8")
    releases.wave_complete(release, fleet, {})
    assert calls == ["v9"]
