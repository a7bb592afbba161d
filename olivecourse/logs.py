"""Configures structlog: each log event is one JSON line on standard error, and the number of lines with the
same event name is limited.
"""

from __future__ import annotations

import json
import os
import select
import sys
import time
from collections.abc import Callable, MutableMapping
from contextlib import suppress
from typing import Any

# structlog imports the library rich wherever it is installed, for a console renderer that is not used here.
# That costs 5 MB and 60 ms at every start, which a gateway with 32 MB cannot spare. The command line imports
# rich when it prints tables.
_hide_rich = "rich" not in sys.modules
if _hide_rich:
    sys.modules["rich"] = None  # type: ignore[assignment]
import structlog  # noqa: E402

if _hide_rich:
    del sys.modules["rich"]

# PIPE_BUF of Linux: a pipe that polls as writable accepts a write of up to this size as a whole, without
# blocking.
MAX_LINE_BYTES = 4096
# Maximum number of log lines with the same event name within a window of 10 s; further lines are dropped, and
# their number is added to the first line with that name after the window.
MAX_LINES_PER_WINDOW, WINDOW_S = 20, 10.0


class RateLimiter:
    """A structlog processor that limits how often each event name is logged, so that a fault repeated by
    clients or stores can neither fill the log nor block on it.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._windows: dict[str, tuple[float, int]] = {}

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Returns the event to be logged, or drops it if MAX_LINES_PER_WINDOW lines with its name have been
        logged in the present window. The first event of a new window carries the number of dropped ones in
        `left_out`.
        """
        name, now = str(event.get("event")), self._clock()
        window_start, count = self._windows.get(name, (now, 0))
        if now - window_start >= WINDOW_S:
            if count > MAX_LINES_PER_WINDOW:
                event["left_out"] = count - MAX_LINES_PER_WINDOW
            window_start, count = now, 0
        self._windows[name] = (window_start, count + 1)
        if count >= MAX_LINES_PER_WINDOW:
            raise structlog.DropEvent
        return event


class Sink:
    """Writes log lines to a file descriptor, each as a whole or not at all.

    Guards against a log reader that has stopped: a full pipe must not block the event loop. Lines that do not
    fit are dropped, and the next line that fits carries their number in `lost`.
    """

    def __init__(self, fd: int) -> None:
        self._fd, self._lost = fd, 0
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def msg(self, line: str) -> None:
        """Writes one line, or drops it if the file descriptor is not writable at once. A line that is too
        long is replaced by a short one with its beginning.
        """
        data = line.encode("utf-8", "replace")
        if len(data) > MAX_LINE_BYTES - 64:
            data = json.dumps({"event": "line_too_long", "bytes": len(data), "begins": line[:500]}).encode()
        # A pipe that polls as writable has room for MAX_LINE_BYTES bytes, so that `os.write` below cannot
        # block.
        if not any(events & select.POLLOUT for _, events in self._poll.poll(0)):
            self._lost += 1
            return
        if self._lost:
            data, self._lost = data.rstrip(b"}") + b', "lost": %d}' % self._lost, 0
        with suppress(OSError):  # The process that reads the log has closed its end of the pipe.
            os.write(self._fd, data + b"\n")

    warning = info = error = msg


def set_up() -> None:
    """Configures structlog for this process; called once, before the first line is logged."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            RateLimiter(),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *args: Sink(sys.stderr.fileno()),
        cache_logger_on_first_use=True,
    )


def logger(**bound: Any) -> Callable[..., None]:
    """Returns a function that logs one line of level warning with an event name and fields. The fields in
    `bound` are added to every line.
    """
    log = structlog.get_logger().bind(**bound)

    def write(event: str, **values: Any) -> None:
        log.warning(event, **values)

    return write
