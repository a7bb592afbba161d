"""The relay process: one poll to an upstream, and a server for the polls of many watchers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from olivecourse.config.address import Address, parse_address
from olivecourse.discovery.pacing import PollPacer
from olivecourse.net.discovery_client import DiscoveryClient
from olivecourse.net.loop import Loop
from olivecourse.relay.history import EventHistory
from olivecourse.relay.section import FIXED_AT_START, MS, RelayConfig, RelaySection, S
from olivecourse.relay.server import RelayServer, ServerLimits
from olivecourse.relay.status import encode_status
from olivecourse.relay.watermarks import LowWaterMark

# One level of relays may use a tenth of the shortest grace to batch events. The rest is left for further
# levels of relays, for the batching in gateways, and for the transmission between them.
GRACE_DIVISOR = 10
ANSWER_DIVISOR = 20  # the shortest grace divided by this is the least time between two rounds of answers
STOP_TIMEOUT_NS = 800 * MS  # so that a process ends within one second of the signal to stop
STOP_CHECK_INTERVAL_NS = 10 * MS
SPARE_DESCRIPTORS = 64  # for logs, the listening socket, the upstream poll and refused connections


def server_limits(section: RelaySection, most_descriptors: int) -> ServerLimits:
    """Returns the server's limits, with no more watchers than the descriptors suffice for."""
    return ServerLimits(
        most_watchers=max(min(section.most_watchers, most_descriptors - SPARE_DESCRIPTORS), 1),
        longest_wait_ms=section.longest_wait_ms,
        read_timeout_ns=section.read_timeout_ms * MS,
        idle_timeout_ns=section.idle_timeout_ms * MS,
        most_unread_bytes=section.most_unread_kb * 1024,
        pace_ns=section.shortest_grace_ms * MS // ANSWER_DIVISOR,
    )


def _graces_ns(section: RelaySection) -> tuple[int, ...]:
    return (section.shortest_grace_ms * MS // GRACE_DIVISOR,)


class RelayService:
    """Connects the event history, the low-water mark, the server and the upstream poll."""

    def __init__(self, config: RelayConfig, log: Callable[..., None], most_descriptors: int) -> None:
        """Raises OSError if the relay can't listen at its address."""
        section = config.section
        self.name = config.name
        self.loop = Loop()
        self.log = log
        self.loop.stalled = lambda wall, cpu: log("loop_stalled", ms=wall // MS, cpu_ms=cpu // MS)
        self.loop.faulted = lambda where, error: log("loop_fault", where=where, error=repr(error))
        self._section = section
        self._most_descriptors = most_descriptors
        started_ns = self.loop.clock.now()
        self.history = EventHistory(section.history_limits())
        self.marks = LowWaterMark(
            int(section.lease_s * S), most_watchers=2 * section.most_watchers, started_ns=started_ns
        )
        limits = server_limits(section, most_descriptors)
        if limits.most_watchers < section.most_watchers:
            log("relay_watchers_limited", most=limits.most_watchers, descriptors=most_descriptors)
        address = parse_address(section.listen)
        self.server = RelayServer(self.loop, address, self.history, self.marks, limits, self._status, log)
        self._stop_deadline_ns = 0
        self._ready_logged = False
        self.upstream_answers = 0
        address, *alternatives = section.addresses()
        self._pacer = PollPacer(_graces_ns(section))
        self._client = DiscoveryClient(
            self.loop,
            address,
            0,
            self._on_events,
            log,
            query=self.upstream_query,
            random=Random(f"{config.name} {section.listen}").random,
            pacer=self._pacer,
            alternatives=alternatives,
            grace_ns=section.shortest_grace_ms * MS,
        )

    @property
    def upstream(self) -> Address:
        """The address of the upstream that is polled now."""
        return self._client.address

    @property
    def upstream_since_ns(self) -> int:
        """The Unix time in nanoseconds since which that upstream is polled."""
        return self._client.address_since_ns

    def _status(self, target: bytes, now: int) -> bytes:
        return encode_status(self, target, now)

    def _on_events(self, events: list[Any]) -> None:
        """Appends events from upstream to the history and answers the waiting polls."""
        self.upstream_answers += 1
        result = self.history.append(events, self.loop.clock.now())
        if result.invalid:
            self.log("relay_event_invalid", count=result.invalid)
        if result.taken:
            self.server.events_appended()
        if self.history.ready and not self._ready_logged:
            self._ready_logged = True
            self.log("relay_list_known", revision=self.history.revision)

    def upstream_query(self) -> str:
        """Returns the poll parameters that report all watchers to an upstream relay, or an empty text."""
        if not self._section.report_upstream:
            return ""
        now = self.loop.clock.now()
        low = self.marks.subtree_low(self.history.revision, now)
        return f"&low={low}&count={self.marks.counted(now)}"

    def stop(self) -> None:
        """Answers the waiting polls and ends the loop within a second."""
        if self._stop_deadline_ns:
            return
        self._stop_deadline_ns = self.loop.clock.now() + STOP_TIMEOUT_NS
        self.log("stopping", waiting=self.server.waiting)
        self._client.stop()
        self.server.stop()
        self._check_stopped()

    def _check_stopped(self) -> None:
        if not self.server.unanswered or self.loop.clock.now() >= self._stop_deadline_ns:
            self.loop.running = False
        else:
            self.loop.after(STOP_CHECK_INTERVAL_NS, self._check_stopped)

    def reload(self, config: RelayConfig) -> None:
        """Applies another configuration; logs the changed fields that need a restart."""
        old, new = self._section, config.section
        needs_restart = [name for name in FIXED_AT_START if getattr(old, name) != getattr(new, name)]
        self._section = new
        self.server.apply_limits(server_limits(new, self._most_descriptors))
        address, *alternatives = new.addresses()
        self._client.move(address, alternatives)
        self._pacer.apply_settings(_graces_ns(new))
        moved = ["upstreams"] if old.upstreams != new.upstreams else []
        self.log("reloaded", moved=moved, needs_restart=needs_restart)

    def run(self) -> None:
        """Serves until `stop` has been called and has completed."""
        self.log("ready", listen=f"{self._section.listen.rpartition(':')[0]}:{self.server.port}")
        self.loop.run(self.server.turn_ended)
        self.close()
        self.log("stopped", polls=self.server.counters.polls, answers=self.server.counters.answers)

    def close(self) -> None:
        """Closes the upstream poll, the server and the loop at once."""
        self._client.stop()
        self.server.close()
        self.loop.close()
