"""The time by which a client has to have its response; each client connection owns one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stalltiller.routing.transfer_patience import response_reset_time


class ResponseDeadline:
    """Calls back soon after the client's time, unless the response is complete by then.

    The callback is referenced only while the timer runs: a permanent reference cycle with the connection
    would keep its memory until the next garbage collection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._client_deadline: float | None = (
            None  # None for a request without a time, such as an invalid one
        )
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_known(self) -> bool:
        """Whether the request has a client's time."""
        return self._client_deadline is not None

    @property
    def remaining_seconds(self) -> float | None:
        """What is left of the client's time, None for a request without one."""
        return None if self._client_deadline is None else self._client_deadline - self._loop.time()

    def set(self, client_deadline: float | None) -> None:
        """Set when the client's time is over, on the loop's clock; None if it has none.  Stops the timer."""
        self.cancel()
        self._client_deadline = client_deadline

    def start(self, on_passed: Callable[[], None]) -> None:
        """Have `on_passed` called once the client's time and the grace after it are over."""
        if self._handle is None and self._client_deadline is not None:
            due_at = response_reset_time(self._client_deadline)
            self._handle = self._loop.call_at(due_at, self._on_due, on_passed)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _on_due(self, on_passed: Callable[[], None]) -> None:
        self._handle = None
        on_passed()
