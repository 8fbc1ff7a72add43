"""Connections to targets: each carries one exchange at a time, waits idle and is reused.

A pool belongs to the event loop's thread.  It owns the idle channels and the tasks that connect; a channel in
use belongs to its exchange.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

FRESH_IDLE_SECONDS = 0.1  # a channel idle for no longer is as good as a new one: nothing times out so soon
LOSS_RATE_GAIN = 0.05  # weight of one use in the loss rates: about the last twenty uses count
EXCESS_LOSS_FRACTION = 0.1  # uses lost, above twice the loss rate of fresh channels, that blame the idle time
FRESH_ONLY_SECONDS = 20.0  # for which only fresh channels are reused then; afterwards it is tried again


class Exchange(Protocol):
    """One request to a target and its response; the pool notes in `channel` what carries it.

    `latest_start` is the event loop's time from which it must not start any more, None for no limit.
    `channel_idle_time` is for how many seconds its channel was idle before, None if the channel is new.
    """

    target_id: Any
    host: str
    port: int
    latest_start: float | None
    channel: Any
    channel_idle_time: float | None


class Channel(Protocol):
    """An established connection, ready for one exchange at a time."""

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing or closed."""

    def is_clean(self) -> bool:
        """Whether it is open and nothing unrequested was received."""

    def start_exchange(self, exchange: Any) -> None:
        """Send the exchange's request; the channel reports the end to the exchange's owner."""

    def is_fully_sent(self) -> bool:
        """Whether the target may have received the whole request."""

    def abandon(self) -> bool:
        """Close at once; return whether the target may have executed the request in progress."""

    def close(self) -> None:
        """Close the idle connection."""


class Address(NamedTuple):
    """Where channels lead: the same target at another address needs other channels."""

    target_id: Any
    host: str
    port: int


class IdleChannel(NamedTuple):
    """A channel and the event loop's time since which it is idle."""

    since: float
    channel: Channel


class ChannelPool:
    """Reuses idle channels per target address and opens new ones.

    `connect` opens a channel; `on_unreachable` is called with each exchange that could not start.  There are
    at most `max_channels` together: at the limit the channel idle for longest is closed to make room; if none
    is idle, the exchange does not start.

    `avoided_idle_range` is a range of idle times in seconds: a channel idle for a time within it is not
    reused if another can be had.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect: Callable[[str, int], Awaitable[Channel]],
        on_unreachable: Callable[[Any], None],
        connect_timeout: float,
        idle_timeout: float,
        max_channels: int,
        avoided_idle_range: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        """Create an empty pool; `idle_timeout`, in seconds, is when targets close idle connections."""
        self._loop = loop
        self._connect = connect
        self._on_unreachable = on_unreachable
        self._connect_timeout = connect_timeout
        self._idle_timeout = idle_timeout
        self._max_channels = max_channels
        self._avoided_idle_range = avoided_idle_range
        self._channels: set[Channel] = set()  # established ones; closing ones leave at the next count
        self._connecting_count = 0
        self._idle: dict[Address, list[IdleChannel]] = {}  # per address in order of their last use
        self._loss_rates = {True: 0.0, False: 0.0}  # fraction of uses lost, of fresh channels and of others
        self._fresh_only_until = 0.0
        self._sweep: asyncio.TimerHandle | None = None
        self.opened_count = 0

    def start(self, exchange: Exchange) -> None:
        """Start an exchange on an idle channel, or on a new one.

        The channel used last goes first, of those idle for longer than the avoided range.
        """
        idle = self._idle.get(_address_of(exchange), [])
        now = self._loop.time()
        earliest_use = now - FRESH_IDLE_SECONDS if now < self._fresh_only_until else 0.0
        candidate_count = self._count_candidates(idle, now)
        while candidate_count:
            candidate_count -= 1
            since, channel = idle.pop(candidate_count)
            if channel.is_clean() and since >= earliest_use:
                exchange.channel = channel
                exchange.channel_idle_time = now - since
                channel.start_exchange(exchange)
                return
            channel.close()
        exchange.channel = self._loop.create_task(self._open(exchange))

    def _count_candidates(self, idle: list[IdleChannel], now: float) -> int:
        """Return how many channels, from the one idle for longest on, may be reused."""
        shortest, longest = self._avoided_idle_range
        rested_count = sum(since <= now - longest for since, _ in idle)
        if not idle:
            return rested_count
        is_before_range = now - idle[-1].since < shortest
        if is_before_range or (not rested_count and not self._may_open()):
            return len(idle)
        return rested_count

    def _may_open(self) -> bool:
        """Whether one more channel fits without closing another."""
        if self._channel_count() >= self._max_channels:
            self._forget_closing_channels()
        return self._channel_count() < self._max_channels

    def _channel_count(self) -> int:
        return len(self._channels) + self._connecting_count

    def _forget_closing_channels(self) -> None:
        self._channels = {channel for channel in self._channels if not channel.is_closing}

    def is_fully_sent(self, exchange: Exchange) -> bool:
        """Whether the target may have received the whole request."""
        channel = exchange.channel
        return not isinstance(channel, asyncio.Task | None) and channel.is_fully_sent()

    def abandon(self, exchange: Exchange) -> bool:
        """Give an exchange up; return whether the target may have executed it."""
        channel = exchange.channel
        exchange.channel = None
        if isinstance(channel, asyncio.Task):
            channel.cancel()
            return False
        return channel is not None and channel.abandon()

    def record_use(self, exchange: Exchange, lost: bool) -> None:
        """Record how the use of a channel ended: `lost` if its connection broke.

        Guards against targets, and devices on the path, that drop idle connections sooner than configured:
        each use of such a connection is an attempt that may have executed.  They show in losses that grow
        with the idle time.
        """
        if exchange.channel_idle_time is None:
            return
        is_fresh = exchange.channel_idle_time <= FRESH_IDLE_SECONDS
        self._loss_rates[is_fresh] += LOSS_RATE_GAIN * (lost - self._loss_rates[is_fresh])
        acceptable = EXCESS_LOSS_FRACTION + 2 * self._loss_rates[True]
        if lost and not is_fresh and self._loss_rates[False] > acceptable:
            self._fresh_only_until = self._loop.time() + FRESH_ONLY_SECONDS

    def release(self, exchange: Exchange, channel: Channel) -> None:
        """Take back the channel of a finished exchange for reuse."""
        exchange.channel = None
        self._add_idle(_address_of(exchange), channel)

    def close_idle(self, target_id: Any) -> None:
        """Close all idle channels to a target."""
        for address in [address for address in self._idle if address.target_id == target_id]:
            for _, channel in self._idle.pop(address):
                channel.close()

    def close(self) -> None:
        """Close all idle channels and stop the sweep."""
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None
        for target_id in {address.target_id for address in self._idle}:
            self.close_idle(target_id)

    async def _open(self, exchange: Exchange) -> None:
        """Open a channel for an exchange and start it there."""
        self._connecting_count += 1
        try:
            if not self._ensure_capacity():
                raise ConnectionError("the limit of channels is reached and none is idle")
            async with asyncio.timeout(self._connect_timeout):
                channel = await self._connect(exchange.host, exchange.port)
        except (OSError, EOFError, ValueError):  # TimeoutError is an OSError
            exchange.channel = None
            self._on_unreachable(exchange)
            return
        finally:
            self._connecting_count -= 1
        self.opened_count += 1
        self._channels.add(channel)
        if exchange.latest_start is not None and self._loop.time() >= exchange.latest_start:
            # The target began to drain during the connect: nothing may start there any more.
            self.release(exchange, channel)
            self._on_unreachable(exchange)
            return
        exchange.channel = channel
        channel.start_exchange(exchange)

    def _ensure_capacity(self) -> bool:
        """Close an idle channel if there are too many; return whether one more may be established."""
        if self._channel_count() <= self._max_channels:
            return True
        self._forget_closing_channels()
        if self._channel_count() <= self._max_channels:
            return True
        idle_lists = [idle for idle in self._idle.values() if idle]
        if not idle_lists:
            return False
        oldest = min(idle_lists, key=lambda idle: idle[0].since).pop(0)
        oldest.channel.close()
        return True

    def _add_idle(self, address: Address, channel: Channel) -> None:
        self._idle.setdefault(address, []).append(IdleChannel(self._loop.time(), channel))
        if self._sweep is None:
            self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        self._sweep = self._loop.call_later(self._idle_timeout / 4, self._close_expired)

    def _close_expired(self) -> None:
        """Close channels before their targets do, so that no request meets a connection just closed.

        They go at half the idle timeout: with a quarter until the next sweep that is well before its end.
        """
        self._sweep = None
        expired_since = self._loop.time() - self._idle_timeout / 2
        for address, idle in list(self._idle.items()):
            remaining = _close_older(idle, expired_since)
            if remaining:
                self._idle[address] = remaining
            else:
                del self._idle[address]
        self._forget_closing_channels()
        if self._idle:
            self._schedule_sweep()


def _address_of(exchange: Exchange) -> Address:
    return Address(exchange.target_id, exchange.host, exchange.port)


def _close_older(idle: list[IdleChannel], expired_since: float) -> list[IdleChannel]:
    """Close channels idle since that time or longer; return the open ones that remain."""
    remaining = []
    for entry in idle:
        if entry.channel.is_closing:
            continue
        if entry.since <= expired_since:
            entry.channel.close()
        else:
            remaining.append(entry)
    return remaining
