"""Drains and releases agreed across the fleet: the hard cases on a virtual network, then real processes."""

import json
import os
import subprocess
import sys
from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from fleetsim import GATEWAYS, STORES, Fleet, S
from hypothesis import given, settings
from hypothesis import strategies as st
from stage import Stage

from benchmarks._fleet import Fleet as Processes
from benchmarks.rollout import play as play_processes
from olivecourse.config.sections import BadSection
from olivecourse.modelcheck.explorer import explore
from olivecourse.modelcheck.places import FAULTS, NARROW_BOUNDS, Model, find_planted_fault
from olivecourse.rollout import releases
from olivecourse.rollout.agent import Stage as WorkStage
from olivecourse.rollout.budgets import Budget, Group
from olivecourse.rollout.gates import Counts, SequentialTest
from olivecourse.rollout.member import RUMOR_FANOUT, HaltNotice, Member, OperationReply, Setup
from olivecourse.rollout.part import LEARN_TIMEOUT_NS, CommandAnswer, RolloutPart
from olivecourse.rollout.places import Answer, Outcome, Why
from olivecourse.rollout.register import Ballot, Learn, QuorumRegisters, Recall, Slot
from olivecourse.rollout.releases import Command, CommandReply, Plan, State, plan_error
from olivecourse.rollout.section import read_rollout
from olivecourse.rollout.store import CorruptRecord, Disk, FolderLocked
from olivecourse.rollout.wire import MAX_DATAGRAM_BYTES, BadDatagram, Keys, Wire

PLAN = Plan("v2", "v1", (20, 60, 100), 0.5, False)


def drain(fleet, number, store):
    node = fleet.nodes[number]
    return node.agent.want(STORES, store, Why.DRAIN, fleet.clock(node))


def give(fleet, number, store):
    node = fleet.nodes[number]
    assert node.agent.release_item(STORES, store, fleet.clock(node))


def placed(fleet, key=STORES):
    """The places of a group, where the best informed gateway knows them."""
    tables = [n.member.register.learned.get(key) for n in fleet.nodes if n.up]
    newest = max((t for t in tables if t), key=lambda t: t[0])
    node = next(n for n in fleet.nodes if n.up and n.member.register.learned.get(key) == newest)
    return {p.item: p for p in node.member.table(key).leases}


def started(fleet, plan=PLAN, replaces=True):
    """A release on its way."""

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


def state(fleet, number=0):
    return fleet.nodes[number].member.release.state


# Places ------------------------------------------------------------------------------------------------


def test_who_asks_too_much_waits_in_turn_and_a_place_comes_back_only_with_a_warm_store():
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
    give(fleet, out.item - 100, out.item)
    fleet.run(2.5)
    assert out.item in placed(fleet) and out.stage is WorkStage.BACK, "it is up, and cold"
    assert sum(w.stage is WorkStage.OUT for w in works) == 1
    fleet.run(3)
    assert out.item not in placed(fleet) and sum(w.stage is WorkStage.OUT for w in works) == 2
    assert fleet.over == 0


@pytest.mark.parametrize("when", ["granted", "out", "back"])
def test_a_gateway_killed_with_a_place_costs_nobody_a_store_too_many(when):
    fleet = Fleet(2)
    fleet.run(1)
    work = drain(fleet, 4, 100)
    if when == "granted":  # and never heard again
        fleet.cut = lambda a, b: a == 4 and work.stage is not WorkStage.WANTED
    fleet.run(3, lambda: work.stage is (WorkStage.GRANTED if when == "granted" else WorkStage.OUT))
    if when == "back":
        fleet.store_warm_at[100] = fleet.now + 4 * S
        give(fleet, 4, 100)
        fleet.run(1)
    fleet.kill(fleet.nodes[4])
    fleet.cut = lambda a, b: False
    others = [drain(fleet, n, 101 + n) for n in range(3)]
    fleet.run(8)
    left = {"granted": 2, "out": 1, "back": 2}[when]  # a grant falls back; who may be at work on it keeps it
    assert sum(w.stage is WorkStage.OUT for w in others) == left and fleet.over == 0
    fleet.boot(fleet.nodes[4])
    fleet.run(2)
    if when == "out":
        give(fleet, 4, 100)
        fleet.run(2)
    assert sum(w.stage is WorkStage.OUT for w in others) == 2 and 100 not in placed(fleet) and fleet.over == 0


def test_cut_off_members_grant_nothing_and_a_cut_one_way_stops_nobody_else():
    fleet = Fleet(3, members=5)
    fleet.run(1)
    fleet.cut = lambda a, b: (a < 3) != (b < 3)  # halves, 3 and 2
    few, many = drain(fleet, 4, 100), drain(fleet, 0, 101)
    fleet.run(4)
    assert (few.stage, many.stage) == (
        WorkStage.WANTED,
        WorkStage.OUT,
    ) and few.status_text == "no majority answered"
    fleet.cut = lambda a, b: a // 2 != b // 2  # 2, 2 and 1
    more = drain(fleet, 0, 102)
    fleet.run(4)
    assert more.stage is WorkStage.WANTED and list(placed(fleet)) == [101]
    fleet.cut = lambda a, b: a == 0  # the first member is heard by nobody, and hears all
    fleet.run(6)
    assert few.stage is WorkStage.OUT and fleet.over == 0
    fleet.cut = lambda a, b: False
    fleet.run(4)
    assert len(placed(fleet)) == 2 and fleet.over == 0


def test_a_store_that_dies_beside_a_drain_holds_up_all_others_and_the_last_one_is_never_taken():
    fleet = Fleet(4, stores=5)
    fleet.run(1)
    assert drain(fleet, 0, 100).stage is WorkStage.WANTED
    fleet.run(2)
    fleet.store_state[101] = fleet.store_state[102] = "down"
    late = drain(fleet, 1, 103)
    fleet.run(3)
    assert late.stage is WorkStage.WANTED and "out already" in late.status_text
    late.forced, fleet.store_state[104] = True, "down"
    fleet.run(2)
    assert late.stage is WorkStage.WANTED and "last one" in late.status_text
    group = Group("g", {1: 1.0, 2: 1.0, 3: 8.0}, Budget(2, 0.5))
    assert (
        not group.denial_reason([], 3)
        and "capacity" in group.denial_reason([1], 3)
        and not group.denial_reason([1], 3, forced=True)
    )
    assert group.denial_reason([1, 3], 2, forced=True) == "the last one of its group"


def test_a_holder_that_stood_still_for_half_a_minute_does_not_act_on_what_it_was_told_before():
    for alone, over in ((False, 0), (True, 1)):
        fleet = Fleet(5, budget=1, skip_activation=alone)
        fleet.run(1)
        work, agent = drain(fleet, 4, 100), fleet.nodes[4].agent
        move, agent._advance = (
            agent._advance,
            lambda w, now, m=agent._advance: w.stage is WorkStage.GRANTED or m(w, now),
        )
        fleet.run(3, lambda work=work: work.stage is WorkStage.GRANTED)
        fleet.nodes[4].stopped = True  # between the grant and what comes next
        agent._advance = move
        other = drain(fleet, 0, 101)
        fleet.run(30)
        assert other.stage is WorkStage.OUT
        went = []
        agent._take_out = went.append
        fleet.nodes[4].stopped = False
        fleet.run(3)
        assert len(went) == over, "with a lease of its own it goes out beside the other"


def test_forty_gateways_that_ask_in_the_same_instant_are_all_answered_and_two_get_places():
    fleet = Fleet(6, nodes=40, members=5, stores=40)
    fleet.run(2)
    works = [drain(fleet, n, 100 + n) for n in range(40)]
    fleet.run(6)
    assert sum(w.stage is WorkStage.OUT for w in works) == 2 and fleet.over == 0
    assert all(w.status_text for w in works if w.stage is WorkStage.WANTED)


@given(st.integers(0, 10_000))
@settings(max_examples=12)
def test_whatever_fails_no_gateway_sees_more_stores_out_than_the_budget(seed):
    """Kills, standstills, lost disks, cuts one way and both, clocks 10 s apart, datagrams lost, doubled."""
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
        one = rng.choice(up)
        what = rng.choice(["drain", "drain", "give", "kill", "boot", "stop", "cut", "heal"])
        if what == "drain":
            drain(fleet, one.number, 100 + rng.randrange(6))
        elif what == "give":
            for item in list(one.agent.works):
                give(fleet, one.number, item)
        elif what == "kill":
            fleet.kill(one)
        elif what == "stop":
            one.stopped = True
        elif what == "boot":
            for node in fleet.nodes:
                if not node.up:
                    fleet.boot(node, lost_disk=rng.random() < 0.2)
        elif what == "cut":
            left, both = set(rng.sample(range(5), 2)), rng.random() < 0.5
            fleet.cut = lambda a, b, left=left, both=both: (a in left) != (b in left) and (both or a in left)
        else:
            fleet.cut = lambda a, b: False
            for node in fleet.nodes:
                node.stopped = False
        fleet.run(rng.choice([0.1, 0.5, 2]))
    assert fleet.over == 0, f"seed {seed}: {fleet.most_out} out"


# Releases ----------------------------------------------------------------------------------------------


def test_a_release_goes_through_in_waves_one_gateway_at_a_time_and_back_within_the_same_budget():
    fleet = Fleet(7, loss=0.1)
    fleet.run(1)
    most = []
    seen = fleet.observe
    fleet.observe = lambda: (seen(), most.append(sum(map(fleet.gateway_out, fleet.nodes))))
    started(fleet)
    assert fleet.run(40, lambda: state(fleet) is State.DONE) and {n.version for n in fleet.nodes} == {"v2"}
    started(fleet, Plan("v3", "v2", (20, 100), 30.0, False))
    assert fleet.run(20, lambda: sum(n.version == "v3" for n in fleet.nodes) == 1)
    fleet.run(1)
    answer = fleet.answered(fleet.nodes[2], fleet.send_command(fleet.nodes[2], Command.ROLLBACK))
    assert answer.accepted and fleet.run(30, lambda: state(fleet) is State.DONE)
    assert {n.version for n in fleet.nodes} == {"v2"} and max(most) == 1


def test_a_halt_holds_everywhere_outlives_all_processes_and_only_a_newer_resume_ends_it():
    fleet = Fleet(8, loss=0.1)
    fleet.run(1)
    started(fleet)
    known = fleet.nodes[3].member.release.term
    halted = fleet.send_command(fleet.nodes[4], Command.HALT, why="by hand")
    fleet.run(1)
    assert all(n.member.halted for n in fleet.nodes), "within a second, a tenth of the datagrams lost"
    assert fleet.nodes[4].answers[halted].accepted
    for node in fleet.nodes:
        fleet.kill(node)
    for node in fleet.nodes:
        fleet.boot(node)
    versions = [n.version for n in fleet.nodes]
    fleet.run(5)
    assert state(fleet, 4) is State.HALTED and [n.version for n in fleet.nodes] == versions
    late = fleet.nodes[3]
    from olivecourse.rollout.releases import KEY, CommandRequest

    crossing = late.member.submit(
        KEY, CommandRequest(Command.RESUME, known, 3, 7), fleet.clock(late)
    )  # sent before the halt
    answer = fleet.answered(late, crossing)
    assert not answer.accepted and "stands at term" in answer.reason
    assert fleet.answered(late, fleet.send_command(late, Command.RESUME)).accepted
    assert fleet.run(40, lambda: state(fleet) is State.DONE) and {n.version for n in fleet.nodes} == {"v2"}


def test_a_halt_that_reaches_no_majority_still_stops_whoever_hears_of_it_and_lasts_once_it_can():
    fleet = Fleet(9)
    fleet.run(1)
    started(fleet, replaces=False)
    fleet.cut = lambda a, b: (a in (2, 3, 4)) != (b in (2, 3, 4))
    fleet.run(0.1)
    handle = fleet.send_command(fleet.nodes[4], Command.HALT)
    fleet.run(3)
    assert fleet.nodes[3].member.halted and not fleet.nodes[0].member.halted
    assert fleet.answered(fleet.nodes[4], handle, 3) is None
    fleet.cut = lambda a, b: False
    fleet.run(3)
    assert all(n.member.halted for n in fleet.nodes) and state(fleet) is State.HALTED


def test_two_releases_at_once_are_one_and_a_gateway_that_missed_all_learns_it_before_it_takes_part():
    fleet = Fleet(10)
    fleet.run(1)
    unavailable = fleet.nodes[4]
    fleet.kill(unavailable)
    first = fleet.send_command(fleet.nodes[0], Command.PLAN, plan=PLAN)
    second = fleet.send_command(fleet.nodes[1], Command.PLAN, plan=Plan("v9", "v1", (100,), 0.0, False))
    fleet.run(3)
    said = [fleet.nodes[0].answers[first].accepted, fleet.nodes[1].answers[second].accepted]
    assert sorted(said) == [False, True]
    fleet.boot(unavailable, lost_disk=True)
    fleet.run(1)
    assert unavailable.member.release == fleet.nodes[0].member.release


def test_a_member_replaced_under_its_name_does_not_vote_before_it_has_caught_up():
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


def test_a_store_whose_restart_nobody_has_heard_of_yet_keeps_its_place_for_as_long_as_one_is_cold():
    """Seen with real processes: voters that had just started knew of no restart, and gave the place back."""
    fleet = Fleet(13)
    for node in fleet.nodes:
        node.member.world.cold_ns[STORES] = 2 * S
    fleet.run(1)
    work = drain(fleet, 4, 100)
    fleet.run(3, lambda: work.stage is WorkStage.OUT)
    give(fleet, 4, 100)
    fleet.run(1.5)
    assert 100 in placed(fleet)
    fleet.run(2)
    assert 100 not in placed(fleet)


def test_folders_a_week_old_at_every_member_are_trusted_together_and_none_of_them_alone():
    fleet = Fleet(12)
    fleet.run(1)
    drain(fleet, 0, 100)
    fleet.run(2)
    for node in fleet.nodes:
        fleet.kill(node)
    for node in fleet.nodes[1:]:
        fleet.boot(node, old_disk=True)
    fleet.run(5)
    late = drain(fleet, 3, 101)
    fleet.run(4)
    assert late.status_text == "no majority answered" and not any(
        n.member.register.votes for n in fleet.nodes[1:]
    )
    fleet.boot(fleet.nodes[0], old_disk=True)
    fleet.run(6)
    assert late.stage is WorkStage.OUT and set(placed(fleet)) == {100, 101}


def test_gates_halt_a_bad_version_at_the_canary_and_a_good_one_rarely():
    rng, halted, at = Random(5), 0, []
    for trial in range(200):
        bad = trial % 2
        gate, new, old = SequentialTest(0.01, 1.0), [0, 0], [0, 0]
        for step in range(60):
            for side, rate in ((new, 0.15 if bad else 0.02), (old, 0.02)):
                side[0] += 20
                side[1] += sum(rng.random() < rate for _ in range(20))
            if gate.update(Counts(*new), Counts(*old)):
                at.append(step) if bad else None
                halted += not bad
                break
    assert len(at) == 100 and sorted(at)[90] < 15 and halted <= 2


def test_plans_that_cannot_be_are_refused_with_their_reason():
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


# Wire, disk, configuration -----------------------------------------------------------------------------


@given(st.binary(max_size=300))
@settings(max_examples=200)
def test_no_datagram_from_outside_is_taken_and_none_comes_twice(data):
    old, new = Keys({1: b"a" * 32}, 1), Keys({1: b"a" * 32, 2: b"b" * 32}, 2)
    here = Wire(0, 7, new)
    with pytest.raises(BadDatagram):
        here.decode(data)
    sealed = Wire(1, 7, old).encode(0, HaltNotice(3, 1, 0, "x" * 500))
    assert len(sealed) <= MAX_DATAGRAM_BYTES and here.decode(sealed)[0] == 1, (
        "a key that is not current yet, or no more"
    )
    with pytest.raises(BadDatagram, match="come before"):
        here.decode(sealed)
    there = Wire(2, 7, Keys({2: b"b" * 32}, 2))
    sealed = there.encode(0, OperationReply(5, Answer(Outcome.REFUSED, reason="y" * 500)))
    place = len(data) * 7 % len(sealed)
    broken = bytearray(sealed)
    broken[place] ^= 1
    with pytest.raises(BadDatagram):
        here.decode(bytes(broken))
    assert here.decode(sealed)[0] == 2
    with pytest.raises(BadDatagram, match="come before"):
        here.decode(Wire(2, 6, new).encode(0, HaltNotice(3, 1, 0)))


def test_a_folder_holds_what_was_promised_and_one_that_does_not_hold_counts_as_empty(tmp_path):
    disk = Disk(str(tmp_path / "a"), "n0", b"k" * 32)
    assert disk.load() is None, "no mark: this member may have promised what nobody remembers"
    disk.init(10_000)
    slots = {"stores:praia": Slot(Ballot(3, 1), Ballot(2, 0), b"value")}
    disk.write(slots, 10_030)
    disk.close()
    again = Disk(str(tmp_path / "a"), "n0", b"k" * 32)
    with pytest.raises(FolderLocked):
        Disk(str(tmp_path / "a"), "n0", b"k" * 32)  # the other process of an upgrade
    assert again.load() == slots
    assert [again.is_stale(s) for s in (10_031, 10_030 + 7 * 86_400, 1)] == [False, True, True]
    again.close()
    for name, key in (("n1", b"k" * 32), ("n0", b"q" * 32)):
        other = Disk(str(tmp_path / "a"), name, key)
        with pytest.raises(CorruptRecord):
            other.load()
        other.close()


def test_a_section_that_cannot_be_used_is_named_with_file_and_line(tmp_path):
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
        with pytest.raises(BadSection, match=r"operator.yaml:\d+|none.json"):
            read_rollout(str(path))
    path.write_text(f"rollout:\n  keys: keys.json\n  {fleet}\n  members: [a]\n")
    assert read_rollout(str(path)).section.budgets.stores.number == 1


def test_without_the_section_nothing_of_it_is_loaded():
    code = (
        "import sys, olivecourse.gateway, olivecourse.cli; "
        "print([m for m in sys.modules if 'rollout' in m or m in ('lmdb', 'scipy', 'blake3')])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
    stage = Stage()
    try:
        assert not stage.gateway.directory.leased_out and GATEWAYS not in str(stage.gateway.parts)
    finally:
        stage.close()


# The model, and real processes -------------------------------------------------------------------------


@pytest.mark.parametrize("fault", FAULTS)
def test_the_checker_finds_each_planted_fault_and_nothing_without_it(fault):
    assert find_planted_fault(fault, seed=3, seconds=60).violation
    found = explore(Model(**NARROW_BOUNDS[fault]), 600)
    assert not found.violation, found.trace


def test_real_processes_with_faults_between_them_never_overspend_and_lose_no_halt():
    """Two seeded scripts and one halt that all processes are killed after; without agreement it goes over."""
    with_it = play_processes((4, 3, 5, True, "majority"))
    runs = [row for row in with_it if "seed" in row]
    assert len(runs) == 3 and all(r["ended"] and not r["over"] and not r["halts_lost"] for r in runs), runs
    assert with_it[-1] == {"unsafe": 0}
    without = play_processes((500_001, 1, 3, False, "majority"))
    assert without[0]["over"] > 0, "the same staff, each told yes by whom they ask"


def test_operators_drain_and_release_on_the_command_line_as_their_page_tells(tmp_path):
    fleet = Processes(tmp_path, count=2, members=1, stores=3, budget=1)

    def cli(*words):
        door = f"127.0.0.1:{fleet.doors['n1']}"
        done = subprocess.Popen(
            [sys.executable, "-m", "olivecourse", *words],
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env={**os.environ, "EDGE_ADMIN": door},
        )
        assert fleet.until(lambda: done.poll() is not None, 20)
        return done.returncode, done.stdout.read()

    try:
        assert fleet.ready()
        code, said = cli("drain", "box-00", "--wait", "5")
        assert code == 0 and said.endswith("box-00 is out\n")
        code, said = cli("drain", "box-01", "--wait", "1")
        assert code == 1 and "1 of 1 out already" in said
        assert cli("drain", "box-99")[0] == 1
        status = json.loads(cli("rollout", "status", "--json")[1])
        group = status["groups"]["stores:praia"]
        assert [p["item"] for p in group["places"]] == ["box-00"]
        assert [x["item"] for x in group["waiting"]] == ["box-01"]
        assert "box-00" in cli("rollout", "status")[1]
        assert cli("undrain", "box-00")[0] == 0 and cli("undrain", "box-01")[0] == 0
        assert fleet.until(lambda: not fleet.status("n0")["groups"]["stores:praia"]["places"], 5)
        plan = tmp_path / "release.yaml"
        plan.write_text("release:\n  version: v2\n  before: v1\n  waves: [50]\n")
        code, said = cli("rollout", "plan", str(plan))
        assert code == 2 and "release.yaml:1" in said and "100" in said
        plan.write_text("release:\n  version: v2\n  before: v1\n")
        assert cli("rollout", "plan", str(plan)) == (0, "plan: done, term 1\n")
        assert cli("rollout", "halt", "--why", "x")[0] == 0
        code, said = cli("rollout", "start")
        assert code == 1 and "it is halted" in said
        fleet.end("n0")
        assert cli("rollout", "resume")[0] == 1, "the one member is gone"
        log = tmp_path / "log"
        log.write_text("\n".join(map(json.dumps, fleet.running["n1"].lines)))
        assert "release state=halted" in cli("rollout", "explain", str(log))[1]
    finally:
        fleet.close()


def test_a_node_that_never_votes_polls_no_member_and_one_that_lost_its_disk_does():
    """Seen in the scale runs: every node outside the voters asked each of them four times a second."""
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
    assert any(isinstance(message, Recall) for message in sent_in_a_minute(0))


def test_an_operators_word_is_done_once_its_gateway_knows_of_it_or_has_waited_for_long():
    """Seen on a busy machine: `halt` was done, and `start` at the same gateway went by the term before."""
    clock = SimpleNamespace(now=lambda: 5 * S)
    part = SimpleNamespace(
        _tickets=[4],
        _answers={4: CommandAnswer(CommandReply(True, 2, State.HALTED), 4 * S)},
        host=SimpleNamespace(loop=SimpleNamespace(clock=clock)),
        member=SimpleNamespace(release=SimpleNamespace(term=1)),
    )
    assert json.loads(RolloutPart._ticket_reply(part, "4").body) == {"pending": True}
    part.member.release.term = 2
    assert json.loads(RolloutPart._ticket_reply(part, "4").body)["ok"]
    part.member.release.term, clock.now = 1, lambda: 4 * S + LEARN_TIMEOUT_NS
    assert json.loads(RolloutPart._ticket_reply(part, "4").body)["ok"]


def lone_member(nodes=40):
    setup = Setup(
        30,
        tuple(range(nodes)),
        (0, 1, 2),
        {n: f"gateways:{n // 8}" for n in range(nodes)},
        dict.fromkeys(range(nodes), 1.0),
        Budget(2, 0.5),
    )
    return Member(setup, 1, "v1", {}, Random(1), 1_700_000_000 * S, votes=False)


def test_a_rumor_is_passed_on_once_and_what_a_beat_brings_is_not():
    """Else half of 7,500 gateways hear of a drain after 47 s, with a beat; or each start floods the fleet."""
    member, now = lone_member(), 1_700_000_000 * S
    known, news = (Learn("stores:praia", Ballot(count, 0), b"", rumor=True) for count in (1, 2))
    member.heard(0, msgspec.structs.replace(known, rumor=False), now)
    assert member.register.step.sends == []
    for sender in (1, 5, 9):
        member.heard(sender, news, now)
        member.heard(sender, known, now)
    targets = [target for target, message in member.register.step.sends if message == news]
    assert (
        len(targets) == len(set(targets)) == len(member.register.step.sends) == RUMOR_FANOUT
        and 30 not in targets
    )


def test_a_drain_is_known_to_a_fleet_of_a_hundred_well_before_its_beats():
    fleet = Fleet(3, nodes=100, members=5, stores=40, loss=0.05)
    assert fleet.nodes[0].member.hearing.period_ns > 1.2 * S
    fleet.run(4)
    drain(fleet, 1, 101)

    def who_knows():
        return sum(101 in {place.item for place in node.member.table(STORES).leases} for node in fleet.nodes)

    assert fleet.run(1, lambda: who_knows() >= 1)
    assert fleet.run(0.3, lambda: who_knows() == 100), who_knows()


def test_an_old_form_of_a_learned_value_is_read_as_no_rumor():
    """A gateway of the version before sends three fields."""
    said = msgspec.msgpack.decode(msgspec.msgpack.encode(["stores:praia", [1, 0], b"x"]), type=Learn)
    assert said == Learn("stores:praia", Ballot(1, 0), b"x") and not said.rumor


@pytest.mark.parametrize("count", [1, 3, 7, 200])
@pytest.mark.parametrize("shares", [(100,), (5, 30, 100), (1, 2, 50, 100)])
def test_waves_are_the_first_that_reach_the_rank_of_a_gateway(count, shares):
    gateways, plan = tuple(range(50, 50 + count)), Plan("v2", "v1", shares, 0.5, False)
    for rank, item in enumerate(releases.order("v2", gateways)):
        reached = [n for n, share in enumerate(shares) if rank < max(count * share // 100, 1)]
        assert releases.wave_of(plan, gateways, item) == min(reached, default=len(shares) - 1)


def test_the_waves_of_a_release_are_worked_out_once_for_all_looks(monkeypatch):
    calls = []
    monkeypatch.setattr(releases, "order", lambda version, gateways: calls.append(version) or list(gateways))
    release = releases.Release(3, State.RUNNING, plan=Plan("v9", "v8", (1, 100), 0.5, False))
    fleet = tuple(range(500, 1_500))
    for item in fleet:
        releases.may_go(release, fleet, item, "v8")
    releases.through(release, fleet, {})
    assert calls == ["v9"]
