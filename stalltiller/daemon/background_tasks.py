"""Owns the background tasks that run for the lifetime of the program.

A failed task is reported to the event loop's exception handler, which logs it; the other tasks continue.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Starts tasks; as a context manager, cancels and awaits the remaining ones on exit."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> BackgroundTasks:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    def start(self, coroutine: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task, which the caller may also cancel itself."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def close(self) -> None:
        """Cancel the remaining tasks and wait until they have ended."""
        remaining = list(self._tasks)
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._loop.call_exception_handler(
                {"message": "Background task failed", "exception": error, "task": task}
            )
