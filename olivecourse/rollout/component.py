"""Runtime of the rollout agreement in a gateway: sockets, disk, the drains of stores and of this gateway.

A step is what the agreement's state machine (`Member`) asks for: disk writes, messages and answers. A worker
thread does the disk writes of each step. No message or answer of a step, or of a later one, leaves the
process before those writes are on disk.
"""

from __future__ import annotations

import json
import os
import socket
import time
from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any

import lmdb
import msgspec

from olivecourse import interface
from olivecourse.components import AdminServerComponent, Component, GatewayContext
from olivecourse.config.sections import InvalidSection
from olivecourse.core.planner import Planner
from olivecourse.fronts.listener import Listener
from olivecourse.net.loop import READ
from olivecourse.net.worker import Worker
from olivecourse.ops.calls import JSON, Reply
from olivecourse.rollout import disruption_leases, releases
from olivecourse.rollout.agent import Agent, Stage
from olivecourse.rollout.budgets import Group
from olivecourse.rollout.disk import ALIVE_INTERVAL_S, CorruptRecord, Disk, FolderLocked, FolderUnusable
from olivecourse.rollout.disruption_leases import LeasePurpose, Phase
from olivecourse.rollout.liveness import Service
from olivecourse.rollout.member import Member, Setup, failure_reason
from olivecourse.rollout.quorum_register import Step
from olivecourse.rollout.releases import Command, CommandReply, CommandRequest, Plan, Release
from olivecourse.rollout.section import PlanText, RolloutConfig
from olivecourse.rollout.wire import MAX_DATAGRAM_BYTES, BadDatagram, DatagramCodec

MS, S = 1_000_000, 1_000_000_000
TICK_NS = 20 * MS  # interval of the periodic timer
FOLDER_RETRY_NS = 1 * S  # interval between attempts to open the folder with a voting member's acceptor state
REFRESH_NS = 100 * MS  # interval at which the state of the stores is read again and the leases are applied
MAX_DATAGRAMS_PER_TURN = 256  # datagrams read from the socket in one turn of the event loop
MAX_QUEUED_STEPS = 1024  # steps that wait for the disk; further steps are dropped, like lost datagrams
MAX_TICKETS = 64  # newest release commands whose outcome can be fetched by ticket number
LEARN_TIMEOUT_NS = 2 * S  # for this gateway to learn the result of its command, which a majority has accepted
STOP_TIMEOUT_S = 1.0  # for the disk worker to end when the gateway stops
VERSION_VARIABLE = "OLIVECOURSE_VERSION"  # environment variable with the version of this build


class DisabledGate:
    """Replaces the canary check of a release whose plan has `gates: false`: it never halts the release."""

    def update(self, new: tuple[int, int], old: tuple[int, int]) -> str:
        return ""


class CanaryGate:
    """Canary check of a release: compares the gateways with the new version and all others by a sequential
    test of their rates of bad requests."""

    def __init__(self, plan: Plan) -> None:
        # `release_analysis` imports scipy, so it is loaded only if a release with a canary check runs.
        import olivecourse.rollout.release_analysis as release_analysis

        self._analysis, self._gate = release_analysis, release_analysis.SequentialTest(plan.alpha, plan.worse)

    def update(self, new: tuple[int, int], old: tuple[int, int]) -> str:
        sides = self._analysis.Counts(*new), self._analysis.Counts(*old)
        return self._analysis.describe(self._gate, *sides) if self._gate.update(*sides) else ""


@dataclass(frozen=True)
class CommandAnswer:
    """The answer to an operator's command on the release, and the local time of its arrival in nanoseconds.
    `answer` is None if the outcome is unknown."""

    answer: CommandReply | None
    at: int


class RolloutComponent(Component):
    """The rollout component of a gateway, used if its configuration has a `rollout:` section. The constructor
    raises ValueError if the gateway is not listed under `gateways`, and OSError if the datagram socket cannot
    be bound."""

    def __init__(self, gateway: GatewayContext) -> None:
        super().__init__(gateway)
        self.config: RolloutConfig = gateway.config.sections["rollout"]
        section = self.config.section
        names = [g.name for g in section.gateways]
        if gateway.config.name not in names:
            raise ValueError(f"rollout: {gateway.config.name} is not listed under gateways")
        self.names, self.addresses = names, self.config.addresses()
        self.me = names.index(gateway.config.name)
        self.key = f"gateways:{section.gateways[self.me].office}"
        keys, self._secret = self.config.read_keys()
        self.incarnation = time.time_ns() // MS
        self.wire = DatagramCodec(self.me, self.incarnation, keys)
        self._random = Random()  # seeded by the system: equal seeds would make members retry ballots together
        self._disk, acceptor_states, votes = self._open_folder()
        self._worker = Worker(gateway.loop, "rollout", max_pending=MAX_QUEUED_STEPS)
        version = section.version or os.environ.get(VERSION_VARIABLE, "")
        setup = Setup(
            self.me,
            tuple(range(len(names))),
            tuple(names.index(m) for m in section.members),
            {i: f"gateways:{g.office}" for i, g in enumerate(section.gateways)},
            {i: g.capacity for i, g in enumerate(section.gateways)},
            section.budgets.gateways.budget(),
            lambda plan: CanaryGate(plan) if plan.gates else DisabledGate(),
        )
        now = gateway.loop.clock.now()
        self.member = Member(setup, self.incarnation, version, acceptor_states, self._random, now, votes)
        self.agent = Agent(
            self.me, self.key, setup.fleet, self.member, self._random, self._take_out, self._bring_back, now
        )
        self._caught_up = votes
        self._steps: deque[Step] = deque()
        self._writing = False
        self._answers: dict[int, CommandAnswer] = {}
        self._tickets: deque[int] = deque()
        self._planner: Planner | None = None
        self._draining = False  # this gateway is out of service with a lease
        # Numbers of the stores that get no requests from this gateway because of a lease in phase OUT.
        self._leased_out_stores: set[int] = set()
        self._next_refresh_at = self._next_alive_at = now
        self._logged_state: tuple[Any, ...] = ()
        self._ready_since: int | None = None
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            if gateway.config.doors:  # in an upgrade, the earlier process still has the port
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self._sock.bind(self.addresses[self.me])
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        gateway.loop.watch(self._sock, READ, self._on_readable)
        if (admin_component := gateway.component(AdminServerComponent)) is not None:
            admin_component.handlers.extension_handlers.append(self.call)

    def _open_folder(self) -> tuple[Disk | None, dict[str, Any], bool]:
        """Opens the folder in which this voting member keeps its acceptor state. Returns the folder (None if
        none is configured or it cannot be opened), the acceptor state in it by register key, and whether this
        member may vote with that state."""
        if self.config.folder is None:
            return None, {}, False
        try:
            disk = Disk(str(self.config.folder), self.gateway.config.name, self._secret)
        except FolderLocked:
            return None, {}, False  # `_record_alive` retries every second until the earlier process ends
        except FolderUnusable as error:
            self.gateway.log("rollout_folder_unusable", why=str(error))
            return None, {}, False
        try:
            acceptor_states = disk.load()
        except CorruptRecord as error:
            self.gateway.log("rollout_folder_torn", why=str(error))
            acceptor_states = None
        if acceptor_states is None:
            self.gateway.log("rollout_folder_empty", folder=str(self.config.folder))
        stale = acceptor_states is not None and disk.is_stale(time.time_ns() // S)
        if stale:
            self.gateway.log("rollout_folder_old", folder=str(self.config.folder))
        return disk, acceptor_states or {}, acceptor_states is not None and not stale

    # Calls that the gateway makes to each of its parts ------------------------------------------------

    def configure_planner(self, planner: Planner) -> None:
        """Receives the gateway's planner, before the planner's first event."""
        self._planner = planner

    def start(self, front: Listener) -> None:
        """Starts the periodic timer; called once the gateway accepts clients."""
        self._tick()

    def on_reload(self, old: Any) -> None:
        """Called after the operator's file was read again: re-reads the datagram keys. Changes of the fleet
        and of the voting members need a restart."""
        try:
            self.wire.keys = self.config.read_keys()[0]
        except InvalidSection as error:
            self.gateway.log("file_unusable", why=str(error))

    def accepts_requests(self) -> bool:
        """Whether this gateway accepts new client requests; False while it is out of service with a lease."""
        return not self._draining

    def stop(self) -> None:
        """Closes the datagram socket, stops the disk worker and closes the folder."""
        self.gateway.loop.unwatch(self._sock)
        self._sock.close()
        self._worker.stop(STOP_TIMEOUT_S)
        if self._disk is not None:
            self._disk.close()

    # Periodic work ------------------------------------------------------------------------------------

    def _tick(self) -> None:
        """Runs the periodic work of `self.member` (agreement with the other gateways) and `self.agent` (this
        gateway's own leases), and schedules itself again in TICK_NS."""
        now = self.gateway.loop.clock.now()
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_NS
            self._refresh(now)
        if now >= self._next_alive_at:
            self._record_alive(now)
        self.member.tick(now)
        self.agent.tick(now)
        self._flush()
        self.gateway.loop.after(TICK_NS, self._tick)

    def _record_alive(self, now: int) -> None:
        """Updates the time stamp in the folder with the acceptor state, by writing an empty step, if this
        gateway votes. If the folder is configured and not open, tries to open it."""
        if self._disk is None and self.config.folder is not None:
            self._next_alive_at = now + FOLDER_RETRY_NS
            self._disk, acceptor_states, votes = self._open_folder()
            if self._disk is not None:
                self.member.register.load_acceptor_states(
                    acceptor_states, votes and self.me in self.member.setup.members
                )
                self._caught_up = votes
        elif self._disk is not None and self.member.register.votes:
            self._next_alive_at = now + ALIVE_INTERVAL_S * S
            self._steps.append(Step())
            self._write()

    def _refresh(self, now: int) -> None:
        """Updates what `self.member` knows of this gateway and its stores: the store list, the operators'
        drains, the stores that the router avoids, and the counts of the request tracker. Then applies
        the leases."""
        self._refresh_stores(now)
        ready = not self.gateway.why_not_ready() or self._draining
        if not ready:
            self._ready_since = None
        elif self._ready_since is None:
            self._ready_since = now
        warm = self._ready_since is not None and now - self._ready_since >= self.config.section.warm_s * S
        self.member.service = Service.DRAINS if self._draining else Service.SERVES if warm else Service.COLD
        counts = self.gateway.tracker.outcomes
        self.member.ended = sum(map(sum, counts))
        self.member.bad = sum(c[1] + c[2] for c in counts) + self.gateway.tracker.late_responses
        self._apply_leases()

    def _refresh_stores(self, now: int) -> None:
        """Updates the groups of stores and hub caches that `self.member` checks budgets against, and which of
        their items are out of service or cold, by group key."""
        gateway, settings = self.gateway, self.gateway.config.settings
        limits = self.config.section.budgets
        capacity: dict[str, dict[int, float]] = {}
        out: dict[str, set[int]] = {}
        avoided = gateway.avoided()
        for store in gateway.directory.members.values():
            if store.kind == settings.origin_kind or store.zone is None:
                continue
            at_hub = store.kind == settings.parent_kind
            key = f"{'hubs' if at_hub else 'stores'}:{gateway.config.zones[store.zone]}"
            capacity.setdefault(key, {})[store.cache] = store.weight or 1.0
            ramp = settings.parent_cold_ns if at_hub else settings.cold_ns
            cold = store.ready_at_ns and now - store.ready_at_ns < ramp
            # The decision module avoids a store that is leased out. That alone does not count here, since the
            # budget counts leases separately.
            leased_out_here = store.cache in self._leased_out_stores
            if (
                store.state is not interface.State.READY
                or cold
                or gateway.directory.names.get(store.cache) in gateway.directory.manually_drained
                or store.cache in avoided
                and not leased_out_here
            ):
                out.setdefault(key, set()).add(store.cache)
        self.member.observed_stores.out = out
        self.member.observed_stores.cold_ns = {
            key: settings.parent_cold_ns if key.startswith("hubs") else settings.cold_ns for key in capacity
        }
        self.member.observed_stores.groups = {
            key: Group(key, found, (limits.hubs if key.startswith("hubs") else limits.stores).budget())
            for key, found in capacity.items()
        }

    def _apply_leases(self) -> None:
        """Applies the leases in phase OUT. This gateway sends no requests to stores that have one. It drains
        itself if it has one for an operator's drain, or if the `Agent` in this process has taken this gateway
        out of service after a majority of the voting members confirmed the activation of its lease."""
        tables = self.member.tables()
        out = {
            p.item
            for key, table in tables.items()
            if not key.startswith("gateways:")
            for p in table.leases
            if p.phase is Phase.OUT
        }
        for item in out ^ self._leased_out_stores:
            name = self.gateway.directory.names.get(item)
            if name is not None:
                leased_out = self.gateway.directory.leased_out
                (leased_out.add if item in out else leased_out.discard)(name)
                event = self.gateway.directory.effective_change(name)
                if event is not None:
                    self.gateway.emit(event)
        self._leased_out_stores = out
        own_lease = self.member.table(self.key).lease_of(self.me)
        drained = (
            own_lease is not None and own_lease.phase is Phase.OUT and own_lease.why is LeasePurpose.DRAIN
        )
        work = self.agent.works.get(self.me)
        self._set_draining(
            drained or work is not None and work.stage is Stage.OUT and work.activation_confirmed
        )
        release = self.member.release
        current = (release.term, release.state, tables)
        if current != self._logged_state:
            self._log_changes(release, tables)
            self._logged_state = current

    def _log_changes(self, release: Release, tables: dict[str, disruption_leases.LeaseTable]) -> None:
        """Logs one line if the state of the release has changed since the last log line, and one for each
        lease that has changed its phase or ended."""
        before = self._logged_state
        if not before or before[:2] != (release.term, release.state):
            self.gateway.log(
                "rollout_release",
                state=release.state.name.lower(),
                term=release.term,
                version=release.version,
                wave=release.wave,
                why=release.why,
            )
        old = {(k, p.item): p.phase for k, t in before[2].items() for p in t.leases} if before else {}
        new = {(k, p.item): p.phase for k, t in tables.items() for p in t.leases}
        for key, item in sorted(old.keys() | new.keys()):
            if old.get((key, item)) != new.get((key, item)):
                phase = new.get((key, item))
                self.gateway.log(
                    "rollout_place",
                    group=key,
                    item=self.name(key, item),
                    phase="given back" if phase is None else phase.name.lower(),
                )

    def _set_draining(self, draining: bool) -> None:
        """Starts or ends the drain of this gateway, during which it takes no new client requests; no effect
        if nothing changes."""
        if draining != self._draining:
            self._draining = draining
            self.gateway.drain(draining)
            self.gateway.log(
                "rollout_drains" if draining else "rollout_serves", open=self.gateway.tracker.open
            )

    def _take_out(self, item: int) -> None:
        """Called by `self.agent` when an item may go out of service: drains this gateway if it is the item.
        Stores are taken out by `_apply_leases` on all gateways."""
        if item == self.me:
            self._set_draining(True)

    def _bring_back(self, item: int) -> None:
        """Called by `self.agent` when an item returns to service: ends the drain of this gateway if it is the
        item. Stores are brought back by `_apply_leases` on all gateways."""
        if item == self.me:
            self._set_draining(False)

    def name(self, key: str, item: int) -> str:
        """The name of a gateway or store by its number in group `key`, or the number as text if it is not
        listed."""
        if key.startswith("gateways:"):
            return self.names[item] if item < len(self.names) else str(item)
        return self.gateway.directory.names.get(item, str(item))

    # Execution of the member's steps: disk writes, then messages and answers --------------------------

    def _flush(self) -> None:
        """Carries out the step that `self.member` has collected. Its messages and answers wait in a queue if
        this or an earlier step must be written to disk first."""
        step = self.member.take_step()
        if not (step.durable or step.sends or step.done):
            return
        if self._disk is None or not (step.durable or self._steps or self._writing):
            self._execute(step)
        elif len(self._steps) < MAX_QUEUED_STEPS:
            self._steps.append(step)
            self._write()

    def _write(self) -> None:
        """Hands all queued steps to the disk worker, to be written with one sync, unless a write is in
        progress. A voting member that has just recovered its acceptor state from the others writes all of
        it."""
        if self._writing or not self._steps or self._disk is None:
            return
        steps, self._steps = list(self._steps), deque()
        durable: dict[str, Any] = {}
        for step in steps:
            durable.update(step.durable)
        disk, recovering = self._disk, not self._caught_up and self.member.register.votes
        write_slots, unix_s = disk.write_recovered if recovering else disk.write, time.time_ns() // S
        durable = {**self.member.register.acceptor_states, **durable} if recovering else durable
        self._writing = self._worker.submit(
            lambda: write_slots(durable, unix_s), lambda _, error: self._on_written(steps, recovering, error)
        )

    def _on_written(self, steps: list[Step], recovering: bool, error: Exception | None) -> None:
        """Called when the disk worker has finished: carries out the written steps. After a failed write,
        drops them and stops voting."""
        self._writing = False
        if error is not None:
            self.gateway.log(
                "rollout_disk_failed",
                why=str(error) if isinstance(error, OSError | lmdb.Error) else repr(error),
            )
            # Further promises would not be durable. This member does not vote until its process restarts or
            # it has recovered the acceptor state from the other members.
            self.member.register.votes = False
            self.member.register.rounds.clear()
            return
        self._caught_up = self._caught_up or recovering
        for step in steps:
            self._execute(step)
        self._write()

    def _execute(self, step: Step) -> None:
        """Sends the messages of a step, and passes on its answers to `self.agent` or stores them for the
        ticket of an operator's command; the disk writes of the step are already done."""
        for target, message in step.sends:
            try:
                self._sock.sendto(self.wire.encode(target, message), self.addresses[target])
            except ValueError as error:
                self.gateway.log("rollout_not_sent", why=str(error))
            except OSError as error:  # a peer that is down answers with an ICMP error
                self.gateway.log("rollout_peer_error", why=str(error))
        for handle, answer in step.done:
            if (
                not self.agent.handle_answer(handle, answer, self.gateway.loop.clock.now())
                and handle in self._tickets
            ):
                self._answers[handle] = CommandAnswer(answer, self.gateway.loop.clock.now())

    def _on_readable(self, mask: int) -> None:
        """Reads and handles the datagrams that have arrived at the socket, at most MAX_DATAGRAMS_PER_TURN."""
        now = self.gateway.loop.clock.now()
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                self.gateway.log("rollout_peer_error", why=str(error))
                break
            try:
                sender, message = self.wire.decode(data)
            except BadDatagram as bad:
                self.gateway.log("rollout_datagram_dropped", why=str(bad), size=len(data))
                continue
            if 0 <= sender < len(self.names) and sender != self.me:
                self.member.receive(sender, message, now)
        self._flush()

    # Operators' interface -----------------------------------------------------------------------------

    def call(self, method: str, path: str, body: bytes) -> Reply | None:
        """Handles an HTTP call of the operators' interface; returns None if method and path are
        none of the rollout's."""
        if path == "/rollout/status" and method == "GET":
            return _reply(200, self.status())
        if path.startswith("/rollout/ticket/") and method == "GET":
            return self._ticket_reply(path.rpartition("/")[2])
        if path != "/rollout/ask" or method != "POST":
            return None
        try:
            arguments = json.loads(body)
            return self._handle_ask(arguments["do"], arguments)
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return _reply(400, {"ok": False, "why": f"{type(error).__name__}: {error}"})

    def _handle_ask(self, do: str, arguments: dict[str, Any]) -> Reply:
        """Starts what `do` names: a drain, an undrain, or a command on the release. For a command the reply
        has the number of a ticket, under which the outcome can be fetched."""
        now = self.gateway.loop.clock.now()
        if do in ("drain", "undrain"):
            found = self._find_item(str(arguments["item"]))
            if found is None:
                return _reply(404, {"ok": False, "why": "no listed store and no gateway has this name"})
            key, item = found
            if do == "drain":
                self.agent.request_lease(key, item, LeasePurpose.DRAIN, now, bool(arguments.get("force")))
            elif arguments.get("force"):
                self._force_return(key, item, now)
            elif not self.agent.release_item(key, item, now):
                return _reply(409, {"ok": False, "why": "it has no place"})
            return _reply(202, {"ok": True})
        command = Command[do.upper()]
        if command in (Command.NEXT, Command.END):
            raise ValueError("not a command for operators")
        plan = None
        if command is Command.PLAN:
            plan = msgspec.convert(arguments["plan"], PlanText).plan()
        term = int(arguments.get("term", self.member.release.term))
        request = CommandRequest(command, term, self.me, now // S, str(arguments.get("why", "")), plan)
        ticket = self.member.submit(releases.KEY, request, now)
        self._tickets.append(ticket)
        while len(self._tickets) > MAX_TICKETS:
            self._answers.pop(self._tickets.popleft(), None)
        return _reply(202, {"ok": True, "ticket": ticket})

    def _force_return(self, key: str, item: int, now: int) -> None:
        """Submits the end of an item's lease on behalf of its holder, without waiting for the item to be
        warm."""
        lease = self.member.table(key).lease_of(item)
        if lease is not None:
            op = disruption_leases.LeaseOperation(
                disruption_leases.LeaseAction.FREE, item, lease.holder, lease.token, lease.why, forced=True
            )
            self.member.submit(key, op, now)
            self.gateway.log("rollout_forced", group=key, item=self.name(key, item))

    def _ticket_reply(self, text: str) -> Reply:
        """The outcome of the release command with this ticket number, or that it is pending. It stays pending
        after a success until this gateway knows the new term, or for LEARN_TIMEOUT_NS at most."""
        ticket = int(text) if text.isdecimal() else -1
        if ticket not in self._tickets:
            return _reply(404, {"ok": False, "why": "no such ticket"})
        if ticket not in self._answers:
            return _reply(200, {"pending": True})
        answered = self._answers[ticket]
        answer, waited = answered.answer, self.gateway.loop.clock.now() - answered.at
        why, term = failure_reason(answer), 0 if answer is None else answer.term
        if not why and term > self.member.release.term and waited < LEARN_TIMEOUT_NS:
            # The operator's next command at this gateway carries the term that this gateway knows, and could
            # be refused if that were still the old one.
            return _reply(200, {"pending": True})
        return _reply(200, {"pending": False, "ok": not why, "why": why, "term": term})

    def _find_item(self, name: str) -> tuple[str, int] | None:
        """Finds a gateway or store by its name. Returns the key of its group and its item number, by which
        that group's lease table refers to it, or None if no gateway or store has this name."""
        if name in self.names:
            item = self.names.index(name)
            return self.member.setup.offices[item], item
        for key, group in self.member.observed_stores.groups.items():
            for item in group.capacity:
                if self.gateway.directory.names.get(item) == name:
                    return key, item
        return None

    def status(self) -> dict[str, Any]:
        """The state of releases and leases as known to this gateway, for the operators' interface."""
        now, release = self.gateway.loop.clock.now(), self.member.release
        liveness = self.member.liveness
        return {
            "gateway": self.gateway.config.name,
            "version": self.member.version,
            "votes": self.member.register.votes,
            "replace_with": self._replaceable(),
            "release": {
                "state": release.state.name.lower(),
                "term": release.term,
                "version": release.version,
                "wave": release.wave,
                "waves": list(release.plan.waves),
                "why": release.why,
                "held_here": self.member.halted,
            },
            "gateways": [
                {
                    "name": name,
                    "heard": not liveness.silent(i, now),
                    "version": heartbeat.version if (heartbeat := liveness.heartbeat(i)) else "",
                    "service": heartbeat.service.name.lower() if heartbeat else "unknown",
                }
                for i, name in enumerate(self.names)
            ],
            "groups": {
                key: self._group_status(key)
                for key in sorted({self.key, *self.member.observed_stores.groups, *self.member.tables()})
            },
            "works": [
                {"item": self.name(work.key, item), "stage": work.stage.value, "said": work.status_text}
                for item, work in self.agent.works.items()
            ],
        }

    def _replaceable(self) -> str:
        """The program version that may replace this process now. Empty if none may, and also while client
        requests are still open here."""
        return "" if self.gateway.tracker.open else self.agent.replaceable

    def _group_status(self, key: str) -> dict[str, Any]:
        """The status of one group as shown to operators: its budget, the items that are out of service, its
        leases (`places`), and the queued requests (`waiting`)."""
        table, group = self.member.table(key), self.member.group(key)
        return {
            "of": len(group.capacity),
            "may": group.budget.number,
            "share": group.budget.share,
            "out": sorted(self.name(key, i) for i in self.member.out(key)),
            "places": [
                {
                    "item": self.name(key, p.item),
                    "holder": self.names[p.holder],
                    "since": p.since,
                    "phase": p.phase.name.lower(),
                    "why": p.why.name.lower(),
                }
                for p in table.leases
            ],
            "waiting": [
                {
                    "item": self.name(key, queued.item),
                    "holder": self.names[queued.holder],
                    "since": queued.since,
                }
                for queued in table.queue
            ],
        }


def _reply(status: int, content: dict[str, Any]) -> Reply:
    """An HTTP reply of the operators' interface with a JSON body."""
    return Reply(status, json.dumps(content).encode() + b"\n", JSON)
