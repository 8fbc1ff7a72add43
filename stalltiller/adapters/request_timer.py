"""The timeout for receiving a request; each client connection owns one timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# The timeout of a request's head; body bytes extend it at MIN_BODY_RATE_BYTES_PER_SECOND.
REQUEST_TIMEOUT_SECONDS = 2.5
MIN_BODY_RATE_BYTES_PER_SECOND = 48_000  # a request whose body arrives more slowly times out
MIN_CHECK_INTERVAL_SECONDS = 0.05  # bounds the check rate for a body that arrives just fast enough


class RequestTimer:
    """Guards against clients that start a request and never complete it.

    The callbacks are referenced only while the timer runs: a permanent reference cycle with the connection
    would keep its body in memory until the next garbage collection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._started_at = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, bytes_received: Callable[[], int], on_timeout: Callable[[], None]) -> None:
        """Start the timer unless it is running.

        `bytes_received` returns the body bytes received so far; `on_timeout` is called on a timeout.
        """
        if self._handle is None:
            self._started_at = self._loop.time()
            self._handle = self._loop.call_later(
                REQUEST_TIMEOUT_SECONDS, self._check, bytes_received, on_timeout
            )

    def cancel(self) -> None:
        """Stop the timer: the request is complete, or its connection closes."""
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
            delay = max(remaining, MIN_CHECK_INTERVAL_SECONDS)
            self._handle = self._loop.call_later(delay, self._check, bytes_received, on_timeout)
