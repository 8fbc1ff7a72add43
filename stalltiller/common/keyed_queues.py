"""Queues by key that can be paused one by one; the items of a key run one at a time and in order."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class KeyedQueues(Generic[T]):
    """Items in order of arrival for each key.  Key 0 means no key: its items are not ordered."""

    def __init__(self) -> None:
        self._queues: dict[int, list[T]] = {}
        self._paused_until: dict[int, float] = {}

    def append(self, key: int, item: T) -> None:
        """Append an item to the queue of its key."""
        if key:
            self._queues.setdefault(key, []).append(item)

    def remove(self, key: int, item: T) -> None:
        """Remove an item from its queue if it is there."""
        queue = self._queues.get(key, [])
        if item in queue:
            queue.remove(item)
            if not queue:
                del self._queues[key]

    def may_run(self, key: int, item: T, now: float) -> bool:
        """Whether an item is the first of its key and the key is not paused."""
        return not key or (self._queues[key][0] is item and self._paused_until.get(key, now) <= now)

    def pause(self, key: int, until: float) -> None:
        """Let no item of a key run before `until`; an earlier pause that ends later stays in force."""
        if key:
            self._paused_until[key] = max(self._paused_until.get(key, 0.0), until)

    def remove_expired_pauses(self, now: float) -> None:
        """Remove the pauses that have ended."""
        self._paused_until = {key: until for key, until in self._paused_until.items() if until > now}
