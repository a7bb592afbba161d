"""Tests of the snapshots by which a gateway keeps what its Router has learned across restarts.

Snapshot files damaged by power cuts, other programs or chance must not be restored; a restored record must
never make a Router more permissive than a fresh start; and real gateway processes are killed and started
again.
"""

import errno
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest
from conftest import MS, S, fleet, make_settings, member, sends
from hypothesis import given, settings
from hypothesis import strategies as st
from powercut import RecordingDisk, StillDisk, states
from test_program import ROOT, run, until, world  # noqa: F401

from olivecourse import interface
from olivecourse.choice import Router
from olivecourse.config.gateway_config import InvalidConfig, load_operator
from olivecourse.memory import codec, container
from olivecourse.memory.collect import GROUPS, MAX_PURGES, IntervalRecorder, collect
from olivecourse.memory.container import UnusableFile, derive_key
from olivecourse.memory.decay import DEFAULTS, Decay, Elapsed, Policy, elapsed
from olivecourse.memory.disk import FolderDisk, FolderLocked
from olivecourse.memory.folder import Folder
from olivecourse.memory.generations import Reason
from olivecourse.memory.merging import merged
from olivecourse.memory.records import ClassRecord, Interval, PurgeRecord, Snapshot, Stamp, StoreRecord
from olivecourse.memory.restore import SnapshotRestore
from olivecourse.memory.section import MemoryConfig, MemorySection
from olivecourse.memory.snapshotter import Snapshotter
from olivecourse.net.loop import Loop

DATA = Path(__file__).parent / "data"
POLICY = Policy(DEFAULTS)
KEY = derive_key(b"sixteen bytes or more")
fixed = settings(derandomize=True, database=None, deadline=None, max_examples=150)


def snapshot(density=1.0, **more):
    return Snapshot("n0", Stamp(5 * S, "boot", 3 * S), density, **more)


def save(folder, snap, parts=3):
    """Saves a snapshot whose body consists of the first `parts` serialised parts, or of all if 0."""
    body = [codec.write_part((), snap.density), codec.write_part(snap.stores), codec.write_part(snap.purges)]
    body.append(codec.write_part([*snap.classes, *snap.intervals]))
    return folder.save(codec.write_header(snap.gateway, snap.stamp, "t"), body[:parts] if parts else body)


# Snapshot files ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("key", [None, KEY])
def test_every_power_cut_leaves_the_old_or_the_new_snapshot_intact(key):
    """The history has four saves and keeps two files; it has about 660 different possible states."""
    count, old, new, invalid = power_cuts(RecordingDisk(), key)
    assert count > 600 and old > 600 and new > 4 and not invalid, (count, old, new, invalid)


@pytest.mark.parametrize("omitted", ["sync", "sync_folder"])
def test_the_power_cut_model_detects_an_omitted_sync(omitted):
    disk = RecordingDisk()
    setattr(disk, omitted, lambda *_: None)
    assert power_cuts(disk, None, saves=1)[3]


def power_cuts(disk, key, saves=4):
    """Counts all states, those with the last complete snapshot, those with the next, and invalid ones."""
    ends, counts = [0], [0, 0, 0, 0]
    folder = Folder(disk, "router", 2, 2**20, key)
    for number in range(1, saves + 1):
        save(folder, snapshot(number, stores=[StoreRecord(7, "a:1@0", 0.5)]))
        ends.append(len(disk.ops))
    for done, files in states(disk.ops):
        found = Folder(StillDisk(files), "router", 2, 2**20, key).load("n0")
        complete = max(n for n, end in enumerate(ends) if end <= done)
        loaded = 0 if found.snapshot is None else found.snapshot.density
        valid = loaded in (complete, complete + 1) and not found.skipped
        for i, matches in enumerate((True, loaded == complete, loaded == complete + 1, not valid)):
            counts[i] += matches
    return counts


@fixed
@given(data=st.data(), keyed=st.booleans())
def test_no_mutation_of_a_file_is_restored(data, keyed):
    key = KEY if keyed else None
    original = b"".join(
        container.seal(
            codec.write_header("n0", Stamp(1), "t"),
            [codec.write_part([StoreRecord(7, "a:1@0", 0.5)], 1.0)],
            key,
        )
    )
    at = data.draw(st.integers(0, len(original) - 1))
    change = data.draw(st.sampled_from(["flip", "cut", "drop", "insert", "swap"]))
    if change == "flip":
        mutated = original[:at] + bytes([original[at] ^ data.draw(st.integers(1, 255))]) + original[at + 1 :]
    elif change == "cut":
        mutated = original[:at]
    elif change == "drop":
        mutated = original[:at] + original[at + 1 :]
    elif change == "insert":
        mutated = original[:at] + data.draw(st.binary(min_size=1, max_size=9)) + original[at:]
    else:
        mutated = original[at:] + original[:at] if at else original[::-1]
    with pytest.raises(UnusableFile):
        codec.read(container.unseal(mutated, key), "n0")


@fixed
@given(header=st.binary(max_size=60), body=st.binary(max_size=200))
def test_a_correctly_sealed_file_of_random_bytes_raises_nothing_but_unusable_file(header, body):
    contents = container.unseal(b"".join(container.seal(header, [body], KEY)), KEY)
    try:
        codec.read(contents, "n0")
    except UnusableFile:
        pass


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, 2.0])
def test_values_out_of_range_are_rejected_although_the_checksum_is_correct(value):
    body = codec.write_part([StoreRecord(7, "a:1@0", value)])
    with pytest.raises(UnusableFile, match="pain"):
        codec.read(container.Contents(2, codec.write_header("n0", Stamp(1), "t"), body), "n0")


@pytest.mark.parametrize("name", sorted(p.name for p in DATA.glob("memory-v*.mem")))
def test_files_of_every_format_version_can_be_read(name):
    snap = codec.read(container.unseal((DATA / name).read_bytes(), None), "praia-1")
    assert [s.cache for s in snap.stores] == [1, 8] and snap.stores[0].pain == 0.75
    assert snap.purges == [PurgeRecord("7f3a9c21e0b4d655", 2 * S, 4 * S), PurgeRecord(17, S, 5 * S)]
    assert bool(snap.stamp.boot_id) == (name != "memory-v1.mem")


def test_there_is_a_sample_file_of_every_format_version():
    assert {f"memory-v{v}.mem" for v in range(1, container.VERSION + 1)} <= {p.name for p in DATA.iterdir()}


def test_the_newest_intact_file_is_read_and_unusable_files_are_set_aside_unchanged(tmp_path):
    disk = FolderDisk(tmp_path)
    disk.open()
    folder = Folder(disk, "router", 3, 2**20, None)
    for number in (1, 2, 3):
        save(folder, snapshot(number))
    save(folder, replace(snapshot(4), gateway="n1"))
    newer = bytearray((tmp_path / "router.00000003.mem").read_bytes())
    newer[8] = 99
    (tmp_path / "router.00000005.mem").write_bytes(newer)
    (tmp_path / "router.00000006.mem").write_bytes(newer[:40])
    (tmp_path / "router.00000007.mem").write_bytes(b"x" * 300)
    (tmp_path / "router.tmp").write_bytes(b"half")
    found = folder.load("n0")
    assert found.snapshot.density == 3
    assert [r for _, r, _ in found.skipped] == [Reason.DAMAGED, Reason.DAMAGED, Reason.NEWER, Reason.OTHER]
    folder.set_aside(found)
    assert (tmp_path / "router.00000005.newer").read_bytes() == bytes(newer)
    for number in range(8, 14):
        assert save(folder, snapshot(number)) == f"router.{number:08d}.mem"
    assert (tmp_path / "router.00000005.newer").exists() and (tmp_path / "router.00000004.other").exists()
    assert len(list(tmp_path.glob("router.*.mem"))) == 3
    # Files without a MAC are not trusted once a key is set.
    keyed = Folder(disk, "router", 3, 2**20, KEY).load("n0")
    assert keyed.snapshot is None and {r for _, r, _ in keyed.skipped} == {Reason.KEY}


# Decay ------------------------------------------------------------------------------------------


@fixed
@given(
    half=st.integers(1, 10**13), drop=st.integers(1, 10**14), ages=st.lists(st.integers(-(10**12), 10**15))
)
def test_an_older_record_never_weighs_more_than_a_newer_one(half, drop, ages):
    weights = [Decay(half, drop).weight(age) for age in sorted(ages)]
    assert weights == sorted(weights, reverse=True) and all(0 <= x <= 1 for x in weights)


def test_the_age_is_measured_by_the_time_since_boot_and_is_uncertain_without_it():
    then = Stamp(100 * S, "boot", 10 * S)
    # The system clock was set back by a day, or far ahead; by the time since boot, 5 s have passed.
    for unix in (100 * S - 86_400 * S, 10**6 * S):
        assert elapsed(then, Stamp(unix, "boot", 15 * S)) == Elapsed(5 * S, True)
    assert elapsed(then, Stamp(107 * S, "other", S)) == Elapsed(7 * S, False)
    assert elapsed(then, Stamp(99 * S, "other", S)) == Elapsed(0, False)
    future = elapsed(then, Stamp(90 * S, "other", S))
    assert not future.known and future.at_least_ns == 0
    assert not elapsed(then, Stamp(100 * S, "boot", 9 * S)).known


# Restore ---------------------------------------------------------------------------------------

COLD = [replace(member(i, ready_at_ns=98 * S), life=f"a:{i}@1") for i in (1, 2)]
MEMBERS = (*COLD, *(replace(m, life=f"a:{m.cache}@0") for m in fleet() if m.cache > 2))


def routers(snap, passed, members=MEMBERS, now=100 * S):
    """A fresh Router, and one that is restored from the snapshot, with the same stores."""
    both = []
    for saved in (None, snap):
        router = Router(make_settings(), now)
        if saved is not None:
            restore = SnapshotRestore(saved, passed, now, POLICY)
            restore.begin(router, now)
        router.handle(interface.CacheList(1, interface.ListKind.HELD, tuple(members)), now)
        if saved is not None:
            restore.update_threshold(router)
        both.append(router)
    return both


numbers = st.floats(0, 1e12)
lives = st.sampled_from(["a:1@1", "a:2@1", "a:3@0", "a:50@0", ""])
store_records = st.builds(
    StoreRecord,
    st.integers(1, 6),
    lives,
    st.floats(0, 1),
    st.none() | numbers,
    st.floats(0, 1e6),
    st.booleans(),
    st.none() | st.floats(0, 1e30),
)
snapshots = st.builds(
    Snapshot,
    st.just("n0"),
    st.just(Stamp(1)),
    st.floats(0, 1),
    st.lists(store_records, max_size=8),
    st.lists(st.builds(ClassRecord, st.just("read"), numbers, st.floats(0, 100)), max_size=2),
    st.lists(
        st.builds(
            Interval,
            st.integers(0, 10**12),
            st.dictionaries(st.sampled_from("abc"), st.floats(0, 1e9)),
            numbers,
            st.floats(0, 1e6),
            st.integers(0, 10**6),
            st.floats(1e-9, 1e9),
        ),
        max_size=3,
    ),
    st.lists(
        st.builds(PurgeRecord, st.sampled_from(["a", 3]), st.integers(0, 10**10), st.integers(0, 10**10)),
        max_size=3,
    ),
)


@fixed
@given(
    snap=snapshots,
    passed=st.builds(Elapsed, st.integers(0, 10**12), st.booleans(), st.booleans()),
    purged=st.sampled_from(["a", 3]),
    age=st.integers(0, 10**9),
)
def test_a_restore_never_raises_a_budget_nor_shortens_a_purge_nor_trusts_more_than_a_fresh_start(
    snap, passed, purged, age
):
    fresh, restored = routers(snap, passed)
    assert restored.cold_budget_cost_ns == fresh.cold_budget_cost_ns
    assert all(a <= b for a, b in zip(restored.fill_shares, fresh.fill_shares, strict=True))
    for cache, node in fresh.nodes.items():
        restored_node = restored.nodes[cache]
        assert (
            restored_node.credit <= node.credit
            and restored_node.limit <= node.limit
            and restored_node.error_score >= node.error_score
        )
        assert (
            restored._trust(restored_node, [restored_node, node]) >= POLICY.trust_floor - 1e-9
        )  # nor does it exclude a store
    event = interface.Purged(
        purged if isinstance(purged, str) else None, purged if purged == 3 else None, age
    )
    for router in (fresh, restored):
        router.handle(event, 100 * S)
    for key, (at, until_) in fresh.purges.items():
        assert restored.purges[key][0] >= at and restored.purges[key][1] >= until_
    for purge in snap.purges:  # a purge that may not have settled stays in force for its whole time
        if purge.left_ns > passed.at_least_ns:
            at, until_ = restored.purges[purge.key]
            assert until_ >= 100 * S + purge.left_ns - passed.at_least_ns
            assert at >= 100 * S - purge.age_ns - passed.ns


def learn(router, good, bad, rounds, now=100 * S):
    """Sends requests, for which the stores in `bad` fail; returns the number of attempts sent to `bad`."""
    sent = 0
    for n in range(rounds):
        request = f"{now:x}-{n}"
        acts = router.handle(interface.Request(request, 0, object=f"o{n % 97}"), now + n * 10 * MS)
        for attempt in range(4):
            attempts = sends(acts)
            if not attempts:
                break
            sent += attempts[0].cache in bad
            status = interface.Status.ERROR if attempts[0].cache in bad else interface.Status.SERVED
            acts = router.handle(
                interface.AttemptEnded(
                    request,
                    attempt,
                    attempts[0].cache,
                    status,
                    MS,
                    status is interface.Status.SERVED,
                    interface.Note.HIT if status is interface.Status.SERVED else interface.Note.NONE,
                ),
                now + n * 10 * MS + MS,
            )
    return sent


def take_snapshot(router, now):
    """A Snapshot of the Router's present state."""
    snap, interval_recorder = snapshot(router.density), IntervalRecorder()
    snap.add([x for part in collect(router, interval_recorder, now) for x in part])
    return snap


def test_a_restored_router_avoids_failing_stores_and_returns_to_them_soon_after_they_recover():
    members = [replace(m, life=f"a:{m.cache}@0") for m in fleet(8)]
    old = routers(snapshot(), Elapsed(0, True), members)[0]
    learn(old, (), (1, 2), 800)
    snap = take_snapshot(old, 108 * S)
    fresh, restored = routers(snap, Elapsed(S, True), members)
    fresh_sent, restored_sent = learn(fresh, (), (1, 2), 500), learn(restored, (), (1, 2), 500)
    assert fresh_sent >= 25 and restored_sent <= 0.2 * fresh_sent, (fresh_sent, restored_sent)
    # Every record is wrong: failing stores have recovered, and the others fail. 2 s of answers correct it.
    _, misled = routers(snap, Elapsed(S, True), members)
    learn(misled, (), (3, 4, 5, 6, 7, 8), 200)
    assert misled._error_score(misled.nodes[1]) < 0.3 and misled._error_score(
        misled.nodes[3]
    ) > misled._error_score(misled.nodes[1])


def test_a_record_applies_to_one_run_of_one_store():
    record = StoreRecord(1, "a:1@1", 1.0, 5.0, 0.1, True, 0.0)
    for change in ({"life": "b:1@1"}, {"life": "a:1@2"}, {"cache": 11}):
        changed = [replace(m, **change) if m.cache == 1 else m for m in MEMBERS]
        fresh, restored = routers(snapshot(stores=[record]), Elapsed(0, True), changed)
        for cache, node in fresh.nodes.items():
            restored_node = restored.nodes[cache]
            assert (
                restored_node.error_score,
                restored_node.fill_wait_ns,
                restored_node.limit,
                restored_node.credit,
                restored_node.failing,
            ) == (
                node.error_score,
                node.fill_wait_ns,
                node.limit,
                node.credit,
                node.failing,
            )
    _, same = routers(snapshot(stores=[record]), Elapsed(0, True))
    assert same.nodes[1].failing and same.nodes[1].credit == 0


def test_a_week_old_record_has_no_weight_and_hot_objects_decay():
    hot = Interval(0, {"a": 900.0, "b": 20.0}, 1000.0, 50.0, 1000, 30.0)
    snap = snapshot(
        stores=[StoreRecord(3, "a:3@0", 1.0, None, 0.1, True)],
        intervals=[hot],
        classes=[ClassRecord("read", 5.0 * MS, 0.2)],
    )
    fresh, week = routers(snap, Elapsed(7 * 86_400 * S, True))
    assert week.nodes[3].error_score == 0 and week.counts == {} and week.fill_shares == fresh.fill_shares
    assert week.mean_sending_ns == fresh.mean_sending_ns
    names = [routers(snap, Elapsed(age * S, True))[1]._name_count("a") for age in (0, 20, 60, 119)]
    assert names[0] > 1 and names == sorted(names, reverse=True)


def test_purges_above_the_maximum_are_saved_as_groups():
    router = routers(snapshot(), Elapsed(0, True))[0]
    for n in range(MAX_PURGES + 1):
        router.handle(interface.Purged(f"{n:016x}", None, 0), 100 * S)
    purges = take_snapshot(router, 101 * S).purges
    assert {p.key for p in purges} == set(range(GROUPS)) and {p.left_ns for p in purges} == {5 * S}


def test_records_of_several_routers_are_merged_by_the_strictest():
    records = [
        StoreRecord(1, "x", 0.2, 10.0, 4.0, False, 9.0),
        StoreRecord(1, "x", 0.6, 20.0, 2.0, True, None),
        PurgeRecord("a", 5, 9),
        PurgeRecord("a", 2, 7),
        ClassRecord("r", 2.0, 1.5),
        ClassRecord("r", 4.0, 0.5),
    ]
    assert merged(records) == [
        StoreRecord(1, "x", 0.6, 15.0, 2.0, True, 9.0),
        ClassRecord("r", 3.0, 0.5),
        PurgeRecord("a", 2, 9),
    ]


# Snapshots on a failing disk -----------------------------------------------------------------


class SnapshotterHarness:
    """A Snapshotter with one Router, on an event loop that the test drives."""

    make_loop = Loop

    def __init__(self, path, **section):
        self.loop, self.logged = Loop(), []
        config = MemoryConfig(path, None, MemorySection(str(path), interval_s=0.1, **section))
        self.snapshotter = Snapshotter(
            self.loop, config, "n0", lambda event, **v: self.logged.append((event, v))
        )
        self.router = Router(make_settings(), self.loop.clock.now())
        self.snapshotter.attach(self.router)
        self.snapshotter.start()

    def until(self, condition, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.loop.turn(5 * MS)
            if found := condition():
                return found
        raise AssertionError(self.logged)

    def log_fields(self, event):
        return [v for e, v in self.logged if e == event]

    def close(self):
        self.snapshotter.stop()
        self.loop.close()


def test_a_full_slow_or_missing_disk_is_logged_once_and_the_loop_keeps_running(tmp_path, monkeypatch):
    folder = tmp_path / "memory"
    harness = SnapshotterHarness(folder)
    harness.until(lambda: harness.snapshotter.schedule.written)

    def full(self, handle, data):
        raise OSError(28, "No space left on device")

    real_write, real_sync = FolderDisk.write, FolderDisk.sync
    monkeypatch.setattr(FolderDisk, "write", full)
    harness.until(lambda: harness.snapshotter.schedule.failures >= 3)
    assert len(harness.log_fields("memory_write_failed")) == 1
    monkeypatch.setattr(FolderDisk, "write", real_write)
    harness.until(lambda: harness.log_fields("memory_writes_again"))
    longest = [0.0]

    def slow(self, handle):
        time.sleep(1.5)

    monkeypatch.setattr(FolderDisk, "sync", slow)

    def timed_turn():
        before = time.monotonic()
        harness.loop.turn(5 * MS)
        longest[0] = max(longest[0], time.monotonic() - before)
        return harness.log_fields("memory_disk_slow")

    harness.until(timed_turn)
    assert longest[0] < 0.5  # the loop never waited for the disk
    monkeypatch.setattr(FolderDisk, "sync", real_sync)
    folder.rename(tmp_path / "elsewhere")
    harness.until(lambda: len(harness.log_fields("memory_write_failed")) == 2)
    assert not folder.exists()  # not created again: the disk may have been unmounted
    folder.mkdir()
    harness.until(lambda: list(folder.glob("router.*.mem")))
    harness.close()


def test_a_locked_folder_is_rejected_and_a_folder_that_cannot_be_created_is_only_logged(tmp_path):
    first = SnapshotterHarness(tmp_path / "memory")
    with pytest.raises(FolderLocked):
        SnapshotterHarness(tmp_path / "memory")
    first.close()
    SnapshotterHarness(tmp_path / "memory").close()
    nowhere = SnapshotterHarness(tmp_path / "missing" / "memory")
    assert nowhere.log_fields("memory_unusable")
    nowhere.close()


def test_a_replaced_folder_that_is_locked_by_another_gateway_is_not_written(tmp_path):
    folder = tmp_path / "m"
    first = SnapshotterHarness(folder)
    first.until(lambda: first.snapshotter.schedule.written)
    folder.rename(tmp_path / "gone")
    other = FolderDisk(folder)
    other.open_locked("router.lock")
    first.until(lambda: first.snapshotter.schedule.failures >= 3)  # neither at the first attempt nor later
    assert [p.name for p in folder.iterdir()] == ["router.lock"]
    other.release()
    first.until(lambda: list(folder.glob("router.*.mem")))
    first.close()


# The operator's file -------------------------------------------------------------------------------


def operator(folder, memory):
    """Writes an operator's file with a `memory:` section; returns its path."""
    text = (folder / "operator.yaml").read_text().split("memory:")[0]
    (folder / "operator.yaml").write_text(f"{text}memory:\n{memory}")
    return str(folder / "operator.yaml")


@pytest.mark.parametrize(
    "memory, line, message",
    [
        ("  folder: m\n  intervall_s: 2\n", 8, "intervall_s"),
        ("  folder: m\n  half_life_s:\n    pain: -1\n", 9, "half_life_s.pain"),
        ("  folder: m\n  drop_after_s: {pain: 1}\n", 6, "below its half-life"),
        ("  keep: 3\n", 6, "folder"),
        ("  folder: m\n  keep: many\n", 8, "memory.keep"),
        ("  folder: m\n  key_file: none.key\n", 0, "none.key: No such file"),
    ],
)
def test_an_invalid_memory_section_is_reported_with_file_and_line(world, memory, line, message):  # noqa: F811
    folder, _, _ = world
    path = operator(folder, memory)
    with pytest.raises(InvalidConfig, match=message) as raised:
        load_operator(path, {})
    if line:
        assert str(raised.value).startswith(f"{path}:{line}: memory")
    done = run("check-config", "--operator", path)
    assert done.returncode == 2 and done.stderr.count("\n") == 1


# Programs ------------------------------------------------------------------------------------------


def test_other_sections_are_validated_in_the_same_way(world):  # noqa: F811
    folder, _, _ = world
    path = operator(folder, "  folder: m\nstorms:\n  limiter: codel\n")
    with pytest.raises(InvalidConfig, match=r"operator.yaml:9: storms.limiter: Invalid enum value"):
        load_operator(path, {})
    path = operator(folder, "  folder: m\nstorms: {}\n")
    assert load_operator(path, {}).sections["storms"].policy().limiter == "aimd"


def test_the_state_of_a_killed_gateway_is_restored_and_a_second_gateway_may_not_start(world):  # noqa: F811
    folder, cache, start = world
    (folder / "memory.key").write_text("k" * 20)
    path = operator(folder, "  folder: m\n  interval_s: 0.1\n  key_file: memory.key\n")
    first = start("serve", "--operator", path)
    first.event("memory_empty")
    first.event("ready")
    done = run("serve", "--operator", path)
    assert done.returncode == 2 and "another gateway works on this folder" in done.stderr
    assert done.stderr.strip().count("\n") == 0
    until(lambda: list((folder / "m").glob("router.*.mem")))
    first.end(signal.SIGKILL)
    second = start("serve", "--operator", path)
    restored = second.event("memory_taken_up")
    assert (
        restored["stores"] == 2 and restored["version"] == container.VERSION and 0 <= restored["age_s"] < 60
    )
    assert second.end() == 0


def test_a_separate_planner_keeps_state_for_its_forwarders(world):  # noqa: F811
    folder, cache, start = world
    path = operator(folder, "  folder: m\n  interval_s: 0.1\n")
    planner = start("serve", "--operator", path, "--role", "planner")
    planner.event("ready")
    forwarder = start("serve", "--operator", path, "--role", "forwarder")
    forwarder.event("ready")
    until(lambda: list((folder / "m").glob("router.*.mem")))
    planner.end(signal.SIGKILL)
    second = start("serve", "--operator", path, "--role", "planner")
    assert second.event("memory_taken_up")["stores"] == 2
    assert forwarder.end() == 0 and second.end() == 0


def test_the_platforms_gateway_imports_no_library_of_memory():
    code = (
        "import sys, olivecourse.cli, olivecourse.gateway, olivecourse.service\n"
        "bad = {'lmdb', 'msgspec', 'blake3', 'google.protobuf', 'rich', 'olivecourse.memory'}\n"
        "print(sorted(bad & set(sys.modules)))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr


def test_generated_code_is_up_to_date_and_import_contracts_hold():
    for command in (
        [sys.executable, "build_wire.py", "--check"],
        [str(Path(sys.executable).parent / "lint-imports")],
    ):
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, env={**os.environ})
        assert done.returncode == 0, done.stdout + done.stderr


def test_the_commands_show_verify_forget_and_export(world):  # noqa: F811
    folder, cache, start = world
    path = operator(folder, "  folder: m\n  interval_s: 0.1\n")
    for arguments, code in ((("show",), 1), (("verify",), 1), (("forget",), 1)):
        assert (
            run("memory", *arguments, "--operator", path).returncode == code
        )  # the folder does not exist yet
    running = start("serve", "--operator", path)
    running.event("ready")
    until(lambda: list((folder / "m").glob("router.*.mem")))
    assert run("memory", "forget", "--operator", path).returncode == 3
    running.end(signal.SIGKILL)
    shown = run("memory", "show", "--operator", path)
    assert shown.returncode == 0 and "00000001" in shown.stdout and "of n0" in shown.stdout
    assert run("memory", "verify", "--folder", str(folder / "m")).returncode == 0
    exported = json.loads(run("memory", "export", "--json", "--operator", path).stdout)
    assert {s["cache"] for s in exported["stores"]} == {1, 8} and exported["gateway"] == "n0"
    assert "1 stores forgotten" in run("memory", "forget", "00000001", "--operator", path).stdout
    assert run("memory", "forget", "00000001", "--operator", path).returncode == 1
    (only,) = (folder / "m").glob("router.*.mem")
    assert [
        s["cache"] for s in json.loads(run("memory", "export", "--json", "--operator", path).stdout)["stores"]
    ] == [8]
    only.write_bytes(only.read_bytes()[:-1])
    damaged = run("memory", "verify", "--operator", path)
    assert damaged.returncode == 1 and "lengths do not fit" in damaged.stdout
    assert run("memory", "show").returncode == 2


def test_a_folder_that_became_read_only_is_read_and_still_locked(tmp_path, monkeypatch):
    first = SnapshotterHarness(tmp_path)
    first.until(lambda: first.snapshotter.schedule.written)
    first.close()
    real_open = os.open

    def read_only(path, flags, *rest, **more):
        if flags & (os.O_CREAT | os.O_WRONLY):
            raise OSError(errno.EROFS, "Read-only file system")
        return real_open(path, flags, *rest, **more)

    monkeypatch.setattr("olivecourse.memory.disk.os.open", read_only)
    second = SnapshotterHarness(tmp_path)
    second.until(lambda: second.log_fields("memory_write_failed") and second.log_fields("memory_taken_up"))
    assert second.log_fields("memory_write_failed")[0]["why"] == "Read-only file system"
    with pytest.raises(FolderLocked):
        SnapshotterHarness(tmp_path)
    second.close()
