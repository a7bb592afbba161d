"""One gateway: loop, ledger, planner, stores, board, peers and a front, tied together.

Each turn gathers what is ready as one batch of events, hands it to the planner in one go, and carries out
the actions that come back.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Any

from olivecourse import interface as w
from olivecourse.config import Config
from olivecourse.core.ledger import Ledger
from olivecourse.core.planner import Planner
from olivecourse.fronts.thrift import ThriftFront
from olivecourse.net.board import Board
from olivecourse.net.loop import Loop
from olivecourse.net.peers import Peers
from olivecourse.net.stores import Limits, Pool
from olivecourse.net.wheel import Timer
from olivecourse.notices import BadNotice, Directory

MS = 1_000_000
LINGER_NS = 900 * MS  # after SIGTERM clients keep coming for 0.6 s; 0.7 s at least are asked for
LONGEST_NS = 3_000 * MS  # what of the longest deadline counts before SIGKILL may come, plus 0.7 s
STOP_MARGIN_NS = 500 * MS  # the last answers are out this long before SIGKILL may come


class LoopTimers:
    """The loop's clock and wheel as the core wants them."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop

    def now(self) -> int:
        return self._loop.clock.now()

    def after(self, delay_ns: int, call: Callable[[], object]) -> Timer:
        return self._loop.after(delay_ns, call)


class Gateway:
    def __init__(self, config: Config, log: Callable[..., None]) -> None:
        self.config, self.log = config, log
        self.loop = loop = Loop()
        self.batch: list[w.Event] = []
        self.stopping = False
        s = config.settings
        self.directory = Directory(config.zones, config.kinds, loop.clock.from_unix_ms, loop.clock.now)
        self.ledger = Ledger(s, LoopTimers(loop), self.batch.append, log, most=4096)
        self.planner = Planner(s, loop.clock.now(), log)
        limits = Limits(config.connect_ns, int(config.idle_ns * 0.8), config.streams, 24,
                        max(config.sockets // 2 - 32, 16))
        self.pool = Pool(loop, self.directory, self.ledger, limits, [c.name for c in s.classes], log)
        self.ledger.carrier = self.pool
        self.peers: Peers | None = None
        if config.peer_listen is not None:
            self.peers = Peers(loop, config.peer_listen, config.peers, config.peers_all,
                               self.batch.append, log)
        self.carry_out(self.planner.start())
        self.told(config.notices, first=True)
        self.decide()
        self.board = None if config.board is None else Board(loop, config.board, config.rev, self.told, log)
        classes = {c.name: (i, c.write) for i, c in enumerate(s.classes)}
        wait = s.max_retry_after_ns if s.retry_after else 0
        self.front = ThriftFront(loop, config.listen, self.ledger, classes, lambda: not self.stopping, wait,
                                 config.sockets // 3, log)

    def told(self, notices: list[Any], first: bool = False) -> None:
        for notice in notices:
            try:
                for event in self.directory.events(notice, first):
                    if isinstance(event, w.Purged):
                        self.ledger.purge(event)
                    self.batch.append(event)
            except BadNotice as bad:
                self.log("notice_unusable", why=str(bad))

    def decide(self) -> None:
        """Until nothing new came of it: outcomes of the actions themselves go to the planner at once."""
        while self.batch:
            events = self.batch[:]
            self.batch.clear()
            self.carry_out(self.planner.decide(events, self.loop.clock.now()))

    def carry_out(self, actions: list[w.Action]) -> None:
        for action in actions:
            if isinstance(action, w.ReadThrough | w.Look):
                self.ledger.attempt(action)
            elif isinstance(action, w.SetTimer):
                self._set_timer(action)
            elif isinstance(action, w.Refuse):
                self.ledger.refuse(action)
            elif isinstance(action, w.Fail):
                self.ledger.fail(action)
            elif isinstance(action, w.Cancel):
                self.ledger.cancel(action)
            elif isinstance(action, w.Log):
                self.log("module", text=action.text)
            elif isinstance(action, w.TellPeer) and self.peers is not None:
                self.peers.tell(action)
            elif isinstance(action, w.CloseIdle):
                self.pool.close_idle(action.cache)

    def _set_timer(self, action: w.SetTimer) -> None:
        self.loop.after(action.delay_ns, lambda: self.batch.append(w.TimerFired(action.token)))

    def stop(self) -> None:
        """SIGTERM: keep listening and answering, end what is open, leave before SIGKILL may come."""
        if self.stopping:
            return
        self.stopping = True
        longest = max(c.deadline_ns for c in self.config.settings.classes)
        last = min(longest, LONGEST_NS) + 700 * MS - STOP_MARGIN_NS
        self.log("stopping", open=self.ledger.open, **self.ledger.tally)
        self.loop.after(LINGER_NS, self._may_end)
        self.loop.after(last, lambda: self.ledger.give_up_all("stopping"))
        self.loop.after(last + STOP_MARGIN_NS // 2, self._end)

    def _may_end(self) -> None:
        if not self.ledger.open and self.front.flushed():
            self._end()
        else:
            self.loop.after(20 * MS, self._may_end)

    def _end(self) -> None:
        self.loop.running = False

    def run(self) -> None:
        self.log("ready", listen=f"{self.config.listen[0]}:{self.front.port}",
                 stores=sum(1 for c in self.directory.states if self.directory.ready(c)))
        gc.collect()
        gc.freeze()  # what lives as long as the process is not walked again by every collection
        self.loop.run(self.decide)
        self.log("stopped", open=self.ledger.open, **self.ledger.tally)
        self.front.close()
        if self.board is not None:
            self.board.stop()
        if self.peers is not None:
            self.peers.close()
        self.loop.close()
