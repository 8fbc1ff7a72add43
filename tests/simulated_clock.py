"""An event loop on real sockets with a simulated clock: while it waits for timers alone, time passes at once.

Events come in the order of a loop which has nothing else to do, so that a test of seconds takes milliseconds
and its result does not depend on the machine's load.  Only for scenes in which all peers run on the loop
itself.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

LOOPBACK_DELAY_SECONDS = 0.01  # of real time: what was written on loopback has arrived by then


class SimulatedClockSelector(selectors.DefaultSelector):
    """Waits for sockets; the time of its time-outs passes at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list:
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        ready = super().select(LOOPBACK_DELAY_SECONDS if timeout is not None else None)
        if not ready and timeout is not None:
            self.now += timeout
        return ready


class SimulatedClockLoop(asyncio.SelectorEventLoop):
    """A loop whose time stands still while anything happens on a socket."""

    def __init__(self) -> None:
        self._simulated_selector = SimulatedClockSelector()
        super().__init__(self._simulated_selector)

    def time(self) -> float:
        return self._simulated_selector.now


def run_on_simulated_clock(scene: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a loop of its own and return its result."""
    with asyncio.Runner(loop_factory=SimulatedClockLoop) as runner:
        return runner.run(scene)
