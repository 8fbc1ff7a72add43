"""Logging: one JSON line an event, on standard output."""

from __future__ import annotations

import os
import stat
import time

import orjson

STDOUT = 1
LINES_PER_S = 200  # past this, lines are counted and dropped: a log must not take the core from service
TRACE_LINES_PER_S = 5000  # with each request's steps traced


class JsonLog:
    """Writes events as lines; what can't be written is counted and dropped."""

    def __init__(self, name: str, descriptor: int = STDOUT, lines_per_s: int = LINES_PER_S) -> None:
        self._name, self._descriptor, self._most = name, descriptor, lines_per_s
        self._second, self._lines, self.dropped = 0, 0, 0

    def never_block(self) -> None:
        """Guard against a reader of our pipe that stops: its lines are lost, service goes on."""
        if stat.S_ISFIFO(os.fstat(self._descriptor).st_mode):
            os.set_blocking(self._descriptor, False)

    def __call__(self, event: str, **details: object) -> None:
        now = time.time()
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        self._lines += 1
        if self._lines > self._most:
            self.dropped += 1
            return
        line = {"time": round(now, 3), "name": self._name, "event": event, **details}
        try:
            os.write(self._descriptor, orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        except OSError:
            self.dropped += 1
