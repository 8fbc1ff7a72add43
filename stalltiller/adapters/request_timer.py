"""The time limit of a request that a client is sending; each client connection owns one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# How long a client may take to send a request's head; for a body it gets the time of MIN_BODY_RATE on top.
REQUEST_TIMEOUT_SECONDS = 2.5
MIN_BODY_RATE_BYTES_PER_SECOND = 48_000  # a body that arrives more slowly is not waited for
MIN_TIMER_SECONDS = 0.05  # between two checks of a body that arrives just fast enough


class RequestTimer:
    """Guards against clients that begin a request and never end it.

    The callbacks are held only while the time limit runs: a reference back to the connection past that would
    keep its body in memory until the next garbage collection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._started_at = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, bytes_received: Callable[[], int], on_timeout: Callable[[], None]) -> None:
        """Start the time limit, unless it runs already.

        `bytes_received` counts the body so far, `on_timeout` is called if the request takes too long.
        """
        if self._handle is None:
            self._started_at = self._loop.time()
            self._handle = self._loop.call_later(
                REQUEST_TIMEOUT_SECONDS, self._check, bytes_received, on_timeout
            )

    def cancel(self) -> None:
        """End the time limit: the request is complete, or its connection closes."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _check(self, bytes_received: Callable[[], int], on_timeout: Callable[[], None]) -> None:
        remaining = (
            self._started_at
            + REQUEST_TIMEOUT_SECONDS
            + bytes_received() / MIN_BODY_RATE_BYTES_PER_SECOND
            - self._loop.time()
        )
        if remaining <= 0:
            on_timeout()
        else:
            delay = max(remaining, MIN_TIMER_SECONDS)
            self._handle = self._loop.call_later(delay, self._check, bytes_received, on_timeout)
