"""An event loop on real sockets with a simulated clock, which jumps to the next timer if no socket is ready.

Events have the same order as on an otherwise idle loop, so a test of several seconds takes milliseconds and
does not depend on the machine's load.  Only for scenarios in which all peers run on the loop itself.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

LOOPBACK_DELAY_SECONDS = 0.01  # real time in which data written to loopback arrives


class SimulatedClockSelector(selectors.DefaultSelector):
    """Waits for sockets; if none becomes ready, advances the simulated clock by the timeout."""

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
    """An event loop whose clock stands still while any socket has events."""

    def __init__(self) -> None:
        self._simulated_selector = SimulatedClockSelector()
        super().__init__(self._simulated_selector)

    def time(self) -> float:
        return self._simulated_selector.now


def run_on_simulated_clock(scenario: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a new loop with a simulated clock and return its result."""
    with asyncio.Runner(loop_factory=SimulatedClockLoop) as runner:
        return runner.run(scenario)
