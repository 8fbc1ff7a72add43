"""Connections to targets, each for one exchange at a time, kept while idle and used again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

FRESH = 0.1  # s for which an idle channel is as good as a new one
STALE_GAIN = 0.05  # weight of a new use in the shares of uses that are lost
STALE_SHARE = 0.1  # of uses lost, over that of fresh channels, from which only fresh ones are used
WARY = 20.0  # s for which that holds


class Exchange(Protocol):
    """What is to be carried to a target; `channel` is where the pool notes what carries it.

    `channel_idle_time` says for how long that had stood idle, None if it is new.
    """

    target_id: Any
    host: str
    port: int
    latest_start: float | None
    channel: Any
    channel_idle_time: float | None


class Channel(Protocol):
    """A connection that is up, ready for one exchange at a time."""

    @property
    def is_closing(self) -> bool: ...

    def is_clean(self) -> bool:
        """Whether it is open and nothing has come on it unasked."""

    def start_exchange(self, job: Any) -> None: ...

    def is_fully_sent(self) -> bool:
        """Whether the target may have the whole of what is carried."""

    def abandon(self) -> bool:
        """Close at once; whether the target may have run what was under way."""

    def close(self) -> None: ...


Address = tuple[Any, str, int]


class ChannelPool:
    """Channels by target.  `connect` makes one; `unreachable` is told of jobs that never started.

    All together are held to `most`: over it the one idle for longest makes room, or the job never starts.
    A channel is used again before the first of the seconds in `rest` or past the second, if that can be had.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect: Callable[[str, int], Awaitable[Channel]],
        unreachable: Callable[[Any], None],
        connect_timeout: float,
        idle_limit: float,
        most: int,
        rest: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        self._loop, self._connect, self._unreachable = loop, connect, unreachable
        self._connect_timeout, self._idle_limit = connect_timeout, idle_limit
        self._most, self._rest = most, rest
        self._channels: set[Channel] = set()  # those that are up; closing ones are left out at the next look
        self._connecting = 0
        self._idle: dict[Address, list[tuple[float, Channel]]] = {}
        self._lost = {True: 0.0, False: 0.0}  # share of uses lost, of fresh channels and of the others
        self._wary_until = 0.0
        self._sweep: asyncio.TimerHandle | None = None
        self.opened_count = 0

    def start(self, job: Exchange) -> None:
        """Carry a job by the idle channel used last of those that need not rest, or by a new one."""
        idle = self._idle.get((job.target_id, job.host, job.port), [])
        now = self._loop.time()
        oldest = now - FRESH if now < self._wary_until else 0.0
        soonest, longest = self._rest
        rested = sum(since <= now - longest for since, _ in idle)
        if idle and (now - idle[-1][0] < soonest or (not rested and not self._may_open())):
            rested = len(idle)
        while rested:
            rested -= 1
            since, channel = idle.pop(rested)
            if channel.is_clean() and since >= oldest:
                job.channel, job.channel_idle_time = channel, now - since
                channel.start_exchange(job)
                return
            channel.close()
        job.channel = self._loop.create_task(self._open(job))

    def _may_open(self) -> bool:
        """Whether one more channel fits without closing another."""
        if len(self._channels) + self._connecting >= self._most:
            self._channels = {channel for channel in self._channels if not channel.is_closing}
        return len(self._channels) + self._connecting < self._most

    def is_fully_sent(self, job: Exchange) -> bool:
        """Whether the target may have the whole of a job."""
        return not isinstance(job.channel, asyncio.Task | None) and job.channel.is_fully_sent()

    def abandon(self, job: Exchange) -> bool:
        """Give a job up; whether it may have run."""
        channel, job.channel = job.channel, None
        if isinstance(channel, asyncio.Task):
            channel.cancel()
            return False
        return channel is not None and channel.abandon()

    def record_use(self, job: Exchange, lost: bool) -> None:
        """How the use of a channel ended.

        Guards against targets, and what lies between, that forget idle connections sooner than the settings
        say: each use of one is an attempt that may have run.  They show in losses that grow with idle time.
        """
        if job.channel_idle_time is None:
            return
        fresh = job.channel_idle_time <= FRESH
        self._lost[fresh] += STALE_GAIN * (lost - self._lost[fresh])
        if lost and not fresh and self._lost[False] > STALE_SHARE + 2 * self._lost[True]:
            self._wary_until = self._loop.time() + WARY

    def release(self, job: Exchange, channel: Channel) -> None:
        """An exchange is over and its channel may be used again."""
        job.channel = None
        self._keep((job.target_id, job.host, job.port), channel)

    def close_idle(self, node: Any) -> None:
        for address in [address for address in self._idle if address[0] == node]:
            for _, channel in self._idle.pop(address):
                channel.close()

    def close(self) -> None:
        """Close all that stand idle and stop sweeping."""
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None
        for node in {address[0] for address in self._idle}:
            self.close_idle(node)

    async def _open(self, job: Exchange) -> None:
        self._connecting += 1
        try:
            if not self._room():
                raise ConnectionError("no descriptor left for it")
            async with asyncio.timeout(self._connect_timeout):
                channel = await self._connect(job.host, job.port)
        except (OSError, EOFError, ValueError):  # TimeoutError is an OSError
            job.channel = None
            self._unreachable(job)
            return
        finally:
            self._connecting -= 1
        self.opened_count += 1
        self._channels.add(channel)
        if job.latest_start is not None and self._loop.time() >= job.latest_start:
            # The target began to drain while the connection came up: nothing may start there any more.
            self.release(job, channel)
            self._unreachable(job)
            return
        job.channel = channel
        channel.start_exchange(job)

    def _room(self) -> bool:
        """Whether one more channel may come up; an idle one is closed for it if need be."""
        if len(self._channels) + self._connecting <= self._most:
            return True
        self._channels = {channel for channel in self._channels if not channel.is_closing}
        if len(self._channels) + self._connecting <= self._most:
            return True
        waiting = [idle for idle in self._idle.values() if idle]
        if not waiting:
            return False
        _, oldest = min(waiting, key=lambda idle: idle[0][0]).pop(0)
        oldest.close()
        return True

    def _keep(self, address: Address, channel: Channel) -> None:
        self._idle.setdefault(address, []).append((self._loop.time(), channel))
        if self._sweep is None:
            self._sweep = self._loop.call_later(self._idle_limit / 4, self._close_old)

    def _close_old(self) -> None:
        """Close channels before the target does, so that no request meets a connection just closed."""
        self._sweep = None
        oldest = self._loop.time() - self._idle_limit / 2  # and a quarter until the next look: well before
        for address, idle in list(self._idle.items()):
            kept = []
            for since, channel in idle:
                if channel.is_closing:
                    continue
                if since <= oldest:
                    channel.close()
                else:
                    kept.append((since, channel))
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
        self._channels = {channel for channel in self._channels if not channel.is_closing}
        if self._idle:
            self._sweep = self._loop.call_later(self._idle_limit / 4, self._close_old)
