"""The program's log: one JSON line for each event, on standard output."""

from __future__ import annotations

import os
import stat
import time

import orjson

STDOUT_DESCRIPTOR = 1
MAX_LINES_PER_SECOND = 200  # excess lines are dropped and counted, so that requests keep the CPU
MAX_TRACE_LINES_PER_SECOND = 5000  # when each step of each request is traced


class JsonLog:
    """Writes events as lines; those that cannot be written are dropped and counted in `dropped`."""

    def __init__(
        self,
        name: str,
        descriptor: int = STDOUT_DESCRIPTOR,
        max_lines_per_second: int = MAX_LINES_PER_SECOND,
    ) -> None:
        self._name = name
        self._descriptor = descriptor
        self._max_lines_per_second = max_lines_per_second
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped = 0

    def make_nonblocking(self) -> None:
        """Make a pipe non-blocking: if its reader stops, lines are dropped and requests are not delayed."""
        if stat.S_ISFIFO(os.fstat(self._descriptor).st_mode):
            os.set_blocking(self._descriptor, False)

    def __call__(self, event: str, **details: object) -> None:
        """Write one event with its details."""
        now = time.time()
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._lines_this_second = 0
        self._lines_this_second += 1
        if self._lines_this_second > self._max_lines_per_second:
            self.dropped += 1
            return
        line = {"time": round(now, 3), "name": self._name, "event": event, **details}
        try:
            os.write(self._descriptor, orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        except OSError:
            self.dropped += 1
