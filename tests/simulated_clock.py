"""An event loop on real sockets whose clock jumps: where all wait for time alone, it goes by at once.

The order of events is that of a loop which has nothing else to do, so a test of seconds takes milliseconds
and gives one verdict.  Only for scenes in which all peers live on the loop itself.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

UNDER_WAY = 0.01  # s of real time in which what was written on loopback has arrived


class JumpingSelector(selectors.DefaultSelector):
    """Waits for sockets, not for time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list:
        found = super().select(0)
        if found or timeout == 0:
            return found
        found = super().select(UNDER_WAY if timeout is not None else None)
        if not found and timeout is not None:
            self.now += timeout
        return found


class JumpingLoop(asyncio.SelectorEventLoop):
    """Its time stands still while anything happens on a socket."""

    def __init__(self) -> None:
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_on_jumping_clock(scene: Coroutine[Any, Any, Any]) -> Any:
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        return runner.run(scene)
