"""The relay process: polls one upstream (the platform's discovery service or another relay) for events, and
serves them to the polls of many watchers (gateways and further relays).
"""

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

# The shortest grace period, the time within which the settings require an event to be obeyed, is divided by
# this: one level of relays paces its upstream polls as if it had only a tenth of it. The rest is left for
# further levels of relays, for the batching in gateways, and for the transmission between them.
GRACE_DIVISOR = 10
ANSWER_DIVISOR = 20  # the shortest grace period divided by this is the least time between rounds of answers
STOP_TIMEOUT_NS = 800 * MS  # most time to send answers at a stop, so that the process ends within a second
STOP_CHECK_INTERVAL_NS = 10 * MS  # between checks during a stop whether all answers have been sent
SPARE_DESCRIPTORS = 64  # file descriptors for logs, listening socket, upstream poll and refused connections


def server_limits(section: RelaySection, most_descriptors: int) -> ServerLimits:
    """Returns the server's limits from the `relay:` section.

    `most_descriptors` is the process's limit on open file descriptors; the most watchers are lowered to it,
    less SPARE_DESCRIPTORS.
    """
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
    """A running relay: its event loop, event history, low-water mark, server and poll to the upstream."""

    def __init__(self, config: RelayConfig, log: Callable[..., None], most_descriptors: int) -> None:
        """`most_descriptors` is the process's limit on open file descriptors, which bounds the connections.

        Raises OSError if the relay can't listen at its address.
        """
        section = config.section
        self.name = config.name
        self.loop = Loop()
        self.log = log
        self.loop.on_stall = lambda wall, cpu: log("loop_stalled", ms=wall // MS, cpu_ms=cpu // MS)
        self.loop.on_fault = lambda where, error: log("loop_fault", where=where, error=repr(error))
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
        """The address of the upstream that is polled at present, one of the configured ones."""
        return self._client.address

    @property
    def upstream_since_ns(self) -> int:
        """The Unix time in nanoseconds since which the present upstream has been polled."""
        return self._client.address_since_ns

    def _status(self, target: bytes, now: int) -> bytes:
        return encode_status(self, target, now)

    def _on_events(self, events: list[Any]) -> None:
        """Called with each answer of the upstream: appends its events, as decoded JSON, to the history and
        schedules answers to the held polls if any are new.
        """
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
        """Returns the query parameters that a poll to an upstream relay carries about the watchers below this
        one: `low`, the event number that all have taken, and `count`, their number of gateways.

        Empty if `report_upstream` is off.
        """
        if not self._section.report_upstream:
            return ""
        now = self.loop.clock.now()
        low = self.marks.subtree_low(self.history.revision, now)
        return f"&low={low}&count={self.marks.counted(now)}"

    def stop(self) -> None:
        """Starts to stop: answers the held polls, and ends the event loop once the answers have been sent, at
        the latest after STOP_TIMEOUT_NS.
        """
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
        """Applies a configuration read again; logs the changed fields that take effect only at a restart."""
        old, new = self._section, config.section
        needs_restart = [name for name in FIXED_AT_START if getattr(old, name) != getattr(new, name)]
        self._section = new
        self.server.apply_limits(server_limits(new, self._most_descriptors))
        address, *alternatives = new.addresses()
        self._client.replace_addresses(address, alternatives)
        self._pacer.apply_settings(_graces_ns(new))
        moved = ["upstreams"] if old.upstreams != new.upstreams else []
        self.log("reloaded", moved=moved, needs_restart=needs_restart)

    def run(self) -> None:
        """Runs the event loop until a `stop` has completed, then closes all sockets."""
        self.log("ready", listen=f"{self._section.listen.rpartition(':')[0]}:{self.server.port}")
        self.loop.run(self.server.turn_ended)
        self.close()
        self.log("stopped", polls=self.server.counters.polls, answers=self.server.counters.answers)

    def close(self) -> None:
        """Closes the upstream poll, the server with its connections, and the event loop, without waiting for
        answers to be sent.
        """
        self._client.stop()
        self.server.close()
        self.loop.close()
