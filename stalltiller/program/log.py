"""Logging: one JSON line an event, on standard output."""

from __future__ import annotations

import os
import sys
import time

import orjson

LINES_PER_S = 200  # past this, lines are counted and dropped: a log must not take the core from service


class JsonLog:
    """Writes events as lines; never raises and never blocks for long."""

    def __init__(self, name: str, descriptor: int = sys.stdout.fileno() if sys.stdout else 1) -> None:
        self._name, self._descriptor = name, descriptor
        self._second, self._lines, self.dropped = 0, 0, 0

    def __call__(self, event: str, **details: object) -> None:
        now = time.time()
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        self._lines += 1
        if self._lines > LINES_PER_S:
            self.dropped += 1
            return
        line = {"time": round(now, 3), "name": self._name, "event": event, **details}
        try:
            os.write(self._descriptor, orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        except OSError:
            self.dropped += 1
