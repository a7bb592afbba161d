"""Tests of the spent order tokens that a gateway keeps across restarts: no token may open a second order.

They cover group commit on a simulated disk with crashes, damaged files of the token store, and real gateways
that are killed between spending a token and sending its order.
"""

import os
import random
import shutil
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_memory import SnapshotterHarness, fixed
from test_signed import ORDER, SignedGatewayHarness

from olivecourse.components import MemoryComponent
from olivecourse.config.gateway_config import load_operator
from olivecourse.fronts.tokens import Rejected
from olivecourse.memory.group_commit import Group, GroupCommit, State, Verdict
from olivecourse.memory.section import MemoryConfig, MemorySection, TokensSection
from olivecourse.memory.tokenstore import DurableSpent, TokenStore, token_digest

MS = 1_000_000
digests = st.sampled_from([b"a", b"b", b"c", b"d"])
steps = st.lists(
    st.one_of(
        st.tuples(st.just("spend"), digests),
        st.tuples(st.just("refused"), digests),
        st.tuples(st.just("begin")),
        st.tuples(st.just("succeeds")),
        st.tuples(st.just("fails"), st.booleans()),
        st.tuples(st.just("wait"), st.integers(1, 400)),
        st.tuples(st.just("crash"), st.booleans()),
    ),
    max_size=40,
)


@settings(fixed, max_examples=600)
@given(steps=steps)
def test_no_token_opens_a_second_order_in_spite_of_faults_and_crashes(steps):
    """The model's disk is a dict; `opened` holds the tokens whose orders were sent and not refused."""
    disk, opened, group, now = {}, set(), None, 0
    group_commit = GroupCommit(3, 300 * MS, 0.0, {}, 0.0)

    def apply():
        for digest in group.deletes:
            disk.pop(digest, None)
        disk.update(group.puts)

    for step in steps:
        now += MS
        if step[0] == "spend":
            verdict = group_commit.spend(step[1], 900.0, now, now / 1e9)
            assert verdict is not Verdict.TAKEN or step[1] not in opened
        elif step[0] == "refused" and group_commit.durable(step[1]):
            opened.discard(step[1])
            group_commit.release(step[1])
        elif step[0] == "begin" and group is None:
            group = group_commit.next_group(now, now / 1e9)
        elif step[0] in ("succeeds", "fails") and group is not None:
            if step[0] == "succeeds" or step[1]:  # a failed write may have reached the disk nevertheless
                apply()
            committed, rejected = group_commit.ended(step[0] == "fails", now)
            assert not set(committed) & opened and all(m in disk for m in committed)
            assert step[0] == "succeeds" or not committed
            opened |= set(committed)
            group = None
        elif step[0] == "wait":
            now += step[1] * MS
            group_commit.overdue(now)
        elif step[0] == "crash":
            if group is not None and step[1]:
                apply()
            group, group_commit = None, GroupCommit(3, 300 * MS, 0.0, dict(disk), 0.0)
        assert all(group_commit.durable(m) for m in opened)  # still spent, also after a crash
    assert len(group_commit.entries) <= 3 + len(disk)


def test_setting_the_clock_back_makes_no_token_valid_again():
    group_commit = GroupCommit(8, MS, 3.0, {}, 0.0)
    assert group_commit.spend(b"a", 100.0, 0, 50.0) is Verdict.TAKEN
    group_commit.next_group(0, 50.0)
    group_commit.ended(False, 0)
    assert group_commit.spend(b"b", 500.0, 0, 110.0) is Verdict.TAKEN
    group = group_commit.next_group(0, 110.0)
    assert group.deletes == [b"a"] and group.pruned_exp == 100.0  # the expired entry is pruned
    group_commit.ended(False, 0)
    assert group_commit.spend(b"a", 100.0, 0, 60.0) is Verdict.USED
    assert group_commit.spend(b"c", 100.5, 0, 60.0) is Verdict.TAKEN


class TokenStoreHarness(SnapshotterHarness):
    """A DurableSpent on an event loop that the test drives."""

    def __init__(self, path, name="n0", **tokens):
        self.loop, self.logged = SnapshotterHarness.make_loop(), []
        config = MemoryConfig(path, None, MemorySection(str(path), tokens=TokensSection(**tokens)))
        self.snapshotter = self.spent = DurableSpent(
            self.loop, config, name, 3.0, lambda event, **v: self.logged.append((event, v))
        )

    def spend(self, name):
        self.spent.spend(name, time.time() + 600, time.time())
        answers = []
        if not self.spent.when_durable(name, answers.append):
            self.until(lambda: answers)
            return answers[0]
        return True


def test_a_spent_token_is_spent_after_a_restart_and_a_released_one_is_not(tmp_path):
    first = TokenStoreHarness(tmp_path)
    assert first.spend("a") and first.spend("b")
    first.spent.release("b")
    assert first.spend("c")
    since = first.spent.covered_since
    first.close()
    second = TokenStoreHarness(tmp_path)
    assert second.spent.covered_since == since
    for used in ("a", "c"):
        with pytest.raises(Rejected, match="used already"):
            second.spent.spend(used, time.time() + 600, time.time())
    assert second.spend("b")
    second.close()


def test_a_token_is_spent_if_the_gateway_is_killed_before_it_sends_the_order(tmp_path, monkeypatch):
    first, real_commit = TokenStoreHarness(tmp_path), TokenStore.commit
    monkeypatch.setattr(TokenStore, "commit", lambda self, group: (real_commit(self, group), time.sleep(0.3)))
    first.spent.spend("a", time.time() + 600, time.time())
    first.until(lambda: first.spent.group_commit._group)
    # After this the token is on disk and its order is not sent, as if the process were killed at this moment.
    time.sleep(0.1)
    shutil.copytree(tmp_path / "tokens", tmp_path / "left")
    second = TokenStore(tmp_path / "left", 64, None)
    second.open(write=False)
    metadata, known = second.read("n0")
    second.close()
    assert metadata.count == 1
    assert GroupCommit(8, MS, 3.0, known, 0.0).spend(token_digest("a"), 2e9, 0, time.time()) is Verdict.USED
    first.close()


def test_a_token_store_that_cannot_be_opened_refuses_only_orders(tmp_path, monkeypatch):
    def read_only(self, write=True):
        raise OSError(30, "Read-only file system")

    monkeypatch.setattr(TokenStore, "open", read_only)
    harness = TokenStoreHarness(tmp_path)
    assert "Read-only" in dict(harness.logged)["tokens_unusable"]["why"]
    with pytest.raises(Rejected, match="cannot be recorded") as raised:
        harness.spent.spend("a", time.time() + 600, time.time())
    assert raised.value.status == 503
    harness.close()


def test_65000_spent_tokens_are_read_in_seconds_and_one_above_the_maximum_is_rejected(tmp_path):
    first = TokenStoreHarness(tmp_path)
    entries = {n.to_bytes(20, "big"): time.time() + 600 for n in range(65_000)}
    first.spent._store.commit(type("G", (), {"puts": entries, "deletes": [], "pruned_exp": 0.0})())
    first.close()
    began = time.monotonic()
    second = TokenStoreHarness(tmp_path)
    assert time.monotonic() - began < 10 and len(second.spent.group_commit.entries) == 65_000
    assert second.spend("x")
    for n in range(536 - 1):
        second.spent.spend(f"y{n}", time.time() + 600, time.time())
    with pytest.raises(Rejected, match="too many orders"):
        second.spent.spend("z", time.time() + 600, time.time())
    second.close()


def damage(path, how):
    """Damages the file of the token store."""
    file = path / "tokens" / "data.mdb"
    data = bytearray(file.read_bytes())
    if how == "cut":
        data = data[: len(data) // 2 + 100]
    elif how == "empty":
        data = data[:10]
    elif how == "noise":
        data = os.urandom(1) * len(data)
    else:
        at = data.rindex(MARKER) if how == "flip" else 0
        data[at + 3] ^= 0x10
    file.write_bytes(data)


MARKER = b'"covered_since"'


@pytest.mark.parametrize("how", ["cut", "empty", "noise", "flip"])
def test_a_damaged_store_is_set_aside_and_the_tokens_it_covered_are_void(tmp_path, how):
    first = TokenStoreHarness(tmp_path)
    for n in range(200):
        first.spent.spend(f"t{n}", time.time() + 600, time.time())
    assert first.spend("last")
    first.close()
    damage(tmp_path, how)
    before = time.time()
    second = TokenStoreHarness(tmp_path)
    entry = dict(second.logged)["tokens_set_aside"]
    assert entry["reason"] == "damaged" and (tmp_path / entry["folder"]).is_dir()
    assert second.spent.covered_since >= before  # so every token issued until now is rejected
    assert second.spend("t1")
    second.close()


def test_the_store_of_another_gateway_is_set_aside(tmp_path):
    first = TokenStoreHarness(tmp_path)
    assert first.spend("a")
    first.close()
    second = TokenStoreHarness(tmp_path, name="n1")
    assert dict(second.logged)["tokens_set_aside"]["reason"] == "other"
    second.close()


def test_orders_are_rejected_on_a_failing_disk_and_rejected_in_time_on_a_slow_one(tmp_path, monkeypatch):
    harness = TokenStoreHarness(tmp_path, most_wait_ms=300)
    assert harness.spend("a")
    commit = TokenStore.commit

    def full(self, group):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(TokenStore, "commit", full)
    assert harness.spend("b") is False
    with pytest.raises(Rejected, match="cannot be recorded"):
        harness.spent.spend("c", time.time() + 600, time.time())
    monkeypatch.setattr(TokenStore, "commit", commit)
    time.sleep(0.15)
    assert harness.spend("b")  # the order did not run, so its token may be used again
    assert dict(harness.logged).keys() >= {"tokens_write_failed", "tokens_writes_again"}

    def slow(self, group):
        time.sleep(1.2)
        commit(self, group)

    monkeypatch.setattr(TokenStore, "commit", slow)
    began = time.monotonic()
    assert harness.spend("d") is False and time.monotonic() - began < 0.8
    with pytest.raises(Rejected, match="cannot be recorded"):  # rejected at once while the sync lasts
        harness.spent.spend("e", time.time() + 600, time.time())
    monkeypatch.setattr(TokenStore, "commit", commit)
    harness.until(lambda: harness.spent.group_commit._group is None)
    harness.until(
        lambda: not any(e.state is State.ABANDONED for e in harness.spent.group_commit.entries.values())
    )
    assert harness.spend("d") and harness.spend("e")
    harness.close()


def test_orders_are_rejected_without_the_folder_and_all_tokens_are_written_to_its_replacement(tmp_path):
    folder = tmp_path / "m"
    harness = TokenStoreHarness(folder)
    assert harness.spend("a")
    folder.rename(tmp_path / "gone")
    assert harness.spend("b") is False
    folder.mkdir()
    time.sleep(0.15)
    assert harness.spend("c")
    harness.close()
    second = TokenStoreHarness(folder)
    with pytest.raises(Rejected, match="used already"):
        second.spent.spend("a", time.time() + 600, time.time())
    second.close()


# With a whole gateway ----------------------------------------------------------------------------------


class MemoryGatewayHarness(SignedGatewayHarness):
    """A gateway for signed requests that keeps its state in a folder."""

    def __init__(self, folder):
        super().__init__(folder)
        # The clock is past the leeway that follows the first start of the token store.
        self.tokens._clock = lambda: time.time() + 4

    def config(self, raw):
        super().config(raw)
        path = self.folder / "operator.yaml"
        path.write_text(path.read_text() + "memory: {folder: m, interval_s: 0.1}\n")
        return load_operator(str(path), {})

    def close(self):
        for component in (self.gateway.component(MemoryComponent).snapshotter, self.gateway.spent):
            component.stop()
        super().close()


def test_a_token_issued_before_a_restart_is_valid_exactly_if_it_was_not_spent(tmp_path):
    harness = MemoryGatewayHarness(tmp_path)
    now = time.time() + 4
    used, unused = (harness.order(jti=f"token-number-{n}", now=now) for n in range(2))
    client = harness.ask(ORDER, "POST", b"cards", Authorization=f"Bearer {used}")
    line = harness.until(harness.cache.line)
    assert line.startswith("fetch")
    # The token was durable before the order was sent to the store.
    assert harness.gateway.spent.group_commit.entries
    harness.close()
    harness = MemoryGatewayHarness(tmp_path)
    client = harness.ask(ORDER, "POST", b"cards", Authorization=f"Bearer {used}")
    assert harness.status(client) == 401 and b"used already" in client.data
    client = harness.ask(ORDER, "POST", b"cards", Authorization=f"Bearer {unused}")
    assert harness.until(harness.cache.line).startswith("fetch")
    harness.close()


def test_an_order_waits_for_the_sync_of_its_token_and_a_client_that_leaves_frees_the_token(
    tmp_path, monkeypatch
):
    harness, commit, blocking = MemoryGatewayHarness(tmp_path), TokenStore.commit, [True]

    def blocked(self, group):
        while blocking[0]:
            time.sleep(0.005)
        commit(self, group)

    monkeypatch.setattr(TokenStore, "commit", blocked)
    token = harness.order()
    client = harness.ask(ORDER, "POST", b"cards", Authorization=f"Bearer {token}")
    harness.until(lambda: harness.gateway.front.recording)
    client.sock.close()
    harness.until(lambda: not harness.gateway.front.clients)
    assert harness.cache.poll() == b"" and not harness.gateway.tracker.open
    blocking[0] = False
    harness.until(lambda: not harness.gateway.front.recording)
    assert harness.cache.poll() == b""
    client = harness.ask(ORDER, "POST", b"cards", Authorization=f"Bearer {token}")
    assert harness.until(harness.cache.line).startswith("fetch")
    harness.close()


def test_thirty_kills_at_random_moments_run_no_order_twice_and_damage_no_file():
    """The results of 1,000 kills are in docs/results/kills.md."""
    from benchmarks.kills import run

    found = run(short=True, seed=7, trials=30)
    assert found["trials"] == 30 and found["snapshots_taken_up"] > 10 and found["orders_run"] > 100
    assert found["turned_away_as_used"] > 100 and found["shown_again_good_and_run_once"] > 0
    for never in ("orders_run_twice", "opened_by_a_token_that_had_run", "damaged_files_met", "faults_logged"):
        assert found.get(never, 0) == 0, found


def test_a_power_cut_during_a_commit_leaves_the_old_or_the_new_set_of_tokens(tmp_path):
    """LMDB writes the pages of a transaction, syncs, and then writes its meta page.

    Until the meta page is durable, any subset of the other pages may have reached the disk, complete or torn.
    The test checks 300 such states, and the state with all pages.
    """
    page, store = 4096, TokenStore(tmp_path / "tokens", 64, None)
    store.open()
    store.begin("n0", 1.0)
    first = {bytes([n]) * 20: 9e9 for n in range(120)}
    store.commit(Group(first, [], 0.0))
    store.close()
    before = (tmp_path / "tokens" / "data.mdb").read_bytes()
    store.open()
    store.read("n0")
    second = {bytes([n]) * 20: 9e9 for n in range(120, 200)}
    store.commit(Group(second, [bytes([3]) * 20], 0.0))
    store.close()
    after = (tmp_path / "tokens" / "data.mdb").read_bytes()
    changed = [n for n in range(len(after) // page) if after[n * page :][:page] != before[n * page :][:page]]
    metas, pages = [n for n in changed if n < 2], [n for n in changed if n >= 2]
    assert len(metas) == 1 and len(pages) >= 4
    source, outcomes = random.Random(1), []
    for state in range(301):
        data = bytearray(before)
        for n in pages if state == 300 else source.sample(pages, source.randrange(len(pages) + 1)):
            data.extend(bytes(max((n + 1) * page - len(data), 0)))
            data[n * page : (n + 1) * page] = after[n * page : (n + 1) * page]
            if state < 300 and source.random() < 0.3:
                data[n * page + page // 2 : (n + 1) * page] = os.urandom(page // 2)
        if state == 300:
            data[metas[0] * page : (metas[0] + 1) * page] = after[metas[0] * page : (metas[0] + 1) * page]
        folder = tmp_path / f"state-{state}"
        folder.mkdir()
        (folder / "data.mdb").write_bytes(data)
        found = TokenStore(folder, 64, None)
        found.open(write=False)
        outcomes.append(found.read("n0")[1].keys())
        found.close()
        shutil.rmtree(folder)
    assert all(known == first.keys() for known in outcomes[:300])
    assert outcomes[300] == first.keys() - {bytes([3]) * 20} | second.keys()
