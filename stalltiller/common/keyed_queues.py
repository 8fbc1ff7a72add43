"""Queues by key, of which each can be paused: items of one key run one at a time, in their order."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class KeyedQueues(Generic[T]):
    """Items in order of arrival for each key.  The key 0 stands for none: its items have no order."""

    def __init__(self) -> None:
        self._queues: dict[int, list[T]] = {}
        self._paused_until: dict[int, float] = {}

    def append(self, key: int, item: T) -> None:
        """Put an item last in the queue of its key."""
        if key:
            self._queues.setdefault(key, []).append(item)

    def remove(self, key: int, item: T) -> None:
        """Take an item out of its queue, if it is there."""
        queue = self._queues.get(key, [])
        if item in queue:
            queue.remove(item)
            if not queue:
                del self._queues[key]

    def may_run(self, key: int, item: T, now: float) -> bool:
        """Whether an item is the first of its key and the key is not paused."""
        return not key or (self._queues[key][0] is item and self._paused_until.get(key, now) <= now)

    def pause(self, key: int, until: float) -> None:
        """Let no item of a key run until that time, or a later one asked for before."""
        if key:
            self._paused_until[key] = max(self._paused_until.get(key, 0.0), until)

    def forget_pauses(self, now: float) -> None:
        """Drop the pauses that are over."""
        self._paused_until = {key: until for key, until in self._paused_until.items() if until > now}
