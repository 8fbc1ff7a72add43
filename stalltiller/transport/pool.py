"""A pool of connections to targets, each of which carries one exchange at a time and is reused.

A pool is used from the event loop's thread only.  It owns the idle channels, the connecting tasks and the
channels that an exchange waits for; a channel in use is owned by its exchange.
"""

from __future__ import annotations

import asyncio
from bisect import insort
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from stalltiller.transport.channel_reuse import choose_channel

# A channel idle for at most this time is fresh, i.e. as good as a new one: no idle timeout is that short.
MAX_FRESH_IDLE_SECONDS = 0.1
LOSS_RATE_GAIN = 0.05  # weight of one use in the loss rates, which cover about the last twenty uses
# Losses are attributed to idle time if the loss rate of channels that are not fresh exceeds twice that of
# fresh ones by more than this.
MAX_EXCESS_LOSS_RATE = 0.1
FRESH_ONLY_SECONDS = 20.0  # how long only fresh channels are then reused, before others are tried again


class Exchange(Protocol):
    """One request to a target and its response.

    The pool sets `channel` to the channel in use, to the task that opens it or to the `SettlingChannel` that
    the exchange waits for.  `latest_start` is the event
    loop time from which the exchange must not start, or None without a limit.  `channel_idle_time` is how
    many seconds its channel was idle before, or None if the channel is new.
    """

    target_id: Any
    host: str
    port: int
    latest_start: float | None
    channel: Any
    channel_idle_time: float | None


class Channel(Protocol):
    """An established connection that carries one exchange at a time."""

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closing or closed."""

    @property
    def is_streaming(self) -> bool:
        """Whether a response is being passed on whose exchange has ended for its owner."""

    def is_clean(self) -> bool:
        """Whether the connection is open and no unexpected data was received."""

    def start_exchange(self, exchange: Any) -> None:
        """Send the exchange's request; the channel reports the result to the exchange's owner."""

    def is_fully_sent(self) -> bool:
        """Whether the target may have received the whole request."""

    def progress(self) -> Any:
        """How far the exchange in flight has come."""

    def pass_on(self) -> bool:
        """Finish the exchange by passing on the rest of its response; return False if that is impossible."""

    def abandon(self) -> bool:
        """Close immediately; return whether the target may have executed the request in flight."""

    def close(self) -> None:
        """Close the idle connection."""


class Address(NamedTuple):
    """The remote end of a channel; channels of a target are not reused for another address of it."""

    target_id: Any
    host: str
    port: int


class IdleChannel(NamedTuple):
    """A channel and the event loop time since which it has been idle."""

    since: float
    channel: Channel


@dataclass(slots=True, frozen=True)
class SettlingChannel:
    """An idle channel that is reserved for an exchange and not settled yet; `timer` then starts it."""

    idle_channel: IdleChannel
    timer: asyncio.TimerHandle


# What an exchange's `channel` is before the exchange has started.
NOT_STARTED_TYPES = (asyncio.Task, SettlingChannel, type(None))


class ChannelPool:
    """Reuses idle channels per target address and opens new ones.

    `connect` opens a channel; `on_unreachable` is called with each exchange that could not start.  At the
    limit of `max_channels` for all targets together, the channel idle for longest is closed to make room; if
    none is idle, the exchange does not start.

    A channel is settled, and may be reused, once it has been idle for `settle_time` seconds (see
    `channel_reuse`).  An exchange for which no channel is settled waits for one, or gets a new one if all are
    reserved.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect: Callable[[str, int], Awaitable[Channel]],
        on_unreachable: Callable[[Any], None],
        connect_timeout: float,
        idle_timeout: float,
        max_channels: int,
        settle_time: float = 0.0,
    ) -> None:
        """Create an empty pool; targets close connections idle for `idle_timeout` seconds."""
        self._loop = loop
        self._connect = connect
        self._on_unreachable = on_unreachable
        self._connect_timeout = connect_timeout
        self._idle_timeout = idle_timeout
        self.max_channels = max_channels
        self._settle_time = settle_time
        self._channels: set[Channel] = set()  # established channels; closing ones are removed later
        self._connecting_count = 0
        self._idle: dict[Address, list[IdleChannel]] = {}  # by address, in order of last use
        self._loss_rates = {True: 0.0, False: 0.0}  # fraction of uses lost, by whether the channel was fresh
        self._fresh_only_until = 0.0
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.opened_count = 0

    def start(self, exchange: Exchange) -> None:
        """Start an exchange on an idle channel, now or when it is settled, or on a new one."""
        idle = self._idle.get(_address_of(exchange), [])
        now = self._loop.time()
        min_idle_since = now - MAX_FRESH_IDLE_SECONDS if now < self._fresh_only_until else 0.0
        while reuse := choose_channel([entry.since for entry in idle], now, self._settle_time):
            idle_channel = idle.pop(reuse.position)
            if not idle_channel.channel.is_clean() or idle_channel.since < min_idle_since:
                idle_channel.channel.close()
            elif reuse.ready_at <= now:
                self._start_on(exchange, idle_channel)
                return
            else:
                timer = self._loop.call_at(reuse.ready_at, self._on_settled, exchange)
                exchange.channel = SettlingChannel(idle_channel, timer)
                return
        exchange.channel = self._loop.create_task(self._open(exchange))

    def _start_on(self, exchange: Exchange, idle_channel: IdleChannel) -> None:
        exchange.channel = idle_channel.channel
        exchange.channel_idle_time = self._loop.time() - idle_channel.since
        idle_channel.channel.start_exchange(exchange)

    def _on_settled(self, exchange: Exchange) -> None:
        """Start an exchange on the channel that it waited for, unless it must not start any more."""
        idle_channel = exchange.channel.idle_channel
        exchange.channel = None
        if self._is_too_late(exchange):
            self._put_back(exchange, idle_channel)
            self._on_unreachable(exchange)
        elif idle_channel.channel.is_clean():
            self._start_on(exchange, idle_channel)
        else:
            idle_channel.channel.close()
            self.start(exchange)

    def _is_too_late(self, exchange: Exchange) -> bool:
        """Whether the target began to drain while the exchange waited, so that it must not start any more."""
        return exchange.latest_start is not None and self._loop.time() >= exchange.latest_start

    def _put_back(self, exchange: Exchange, idle_channel: IdleChannel) -> None:
        """Return a reserved channel that was not used; it has been idle all the time."""
        idle = self._idle.setdefault(_address_of(exchange), [])
        insort(idle, idle_channel, key=_idle_since)
        self._ensure_sweep()

    def is_full(self) -> bool:
        """Return whether the limit is reached and no channel is idle."""
        if self._channel_count() < self.max_channels:
            return False
        self._forget_closing_channels()
        return self._channel_count() >= self.max_channels and not any(self._idle.values())

    def streamed_count(self) -> int:
        """Return the number of channels on which a response is being streamed."""
        return sum(channel.is_streaming for channel in self._channels)

    def _channel_count(self) -> int:
        return len(self._channels) + self._connecting_count

    def _forget_closing_channels(self) -> None:
        self._channels = {channel for channel in self._channels if not channel.is_closing}

    def update_timeouts(self, connect_timeout: float, idle_timeout: float) -> None:
        """Apply new timeouts, in seconds, to the idle channels as well."""
        self._connect_timeout = connect_timeout
        self._idle_timeout = idle_timeout
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._schedule_sweep()

    def is_fully_sent(self, exchange: Exchange) -> bool:
        """Whether the target may have received the whole request."""
        channel = exchange.channel
        return not isinstance(channel, NOT_STARTED_TYPES) and channel.is_fully_sent()

    def progress(self, exchange: Exchange) -> Any:
        """How far an exchange has come, None before it is sent."""
        channel = exchange.channel
        return None if isinstance(channel, NOT_STARTED_TYPES) else channel.progress()

    def abandon(self, exchange: Exchange) -> bool:
        """Abandon an exchange; return whether the target may have executed it."""
        channel = exchange.channel
        exchange.channel = None
        if isinstance(channel, asyncio.Task):
            channel.cancel()
            return False
        if isinstance(channel, SettlingChannel):
            channel.timer.cancel()
            self._put_back(exchange, channel.idle_channel)
            return False
        return channel is not None and channel.abandon()

    def record_use(self, exchange: Exchange, lost: bool) -> None:
        """Record the result of using a channel; `lost` means that its connection broke.

        Guards against targets and network devices that drop idle connections sooner than configured: each
        use of such a connection is an attempt that may have been executed.  They are detected by a loss rate
        that grows with the idle time.
        """
        if exchange.channel_idle_time is None:
            return
        is_fresh = exchange.channel_idle_time <= MAX_FRESH_IDLE_SECONDS
        self._loss_rates[is_fresh] += LOSS_RATE_GAIN * (lost - self._loss_rates[is_fresh])
        max_loss_rate = MAX_EXCESS_LOSS_RATE + 2 * self._loss_rates[True]
        if lost and not is_fresh and self._loss_rates[False] > max_loss_rate:
            self._fresh_only_until = self._loop.time() + FRESH_ONLY_SECONDS

    def release(self, exchange: Exchange, channel: Channel) -> None:
        """Return the channel of a finished exchange to the pool."""
        exchange.channel = None
        self._add_idle(_address_of(exchange), channel)

    def close_idle(self, target_id: Any) -> None:
        """Close all idle channels to a target."""
        for address in [address for address in self._idle if address.target_id == target_id]:
            for _, channel in self._idle.pop(address):
                channel.close()

    def close(self) -> None:
        """Close all idle channels and cancel the sweep."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for target_id in {address.target_id for address in self._idle}:
            self.close_idle(target_id)

    async def _open(self, exchange: Exchange) -> None:
        """Open a channel for an exchange and start the exchange on it."""
        self._connecting_count += 1
        try:
            if not self._ensure_capacity():
                raise ConnectionError("channel limit reached and no channel is idle")
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
        if self._is_too_late(exchange):
            self.release(exchange, channel)
            self._on_unreachable(exchange)
            return
        exchange.channel = channel
        channel.start_exchange(exchange)

    def _ensure_capacity(self) -> bool:
        """Close an idle channel if the limit is exceeded; return whether a channel may be opened."""
        if self._channel_count() <= self.max_channels:
            return True
        self._forget_closing_channels()
        if self._channel_count() <= self.max_channels:
            return True
        idle_lists = [idle for idle in self._idle.values() if idle]
        if not idle_lists:
            return False
        oldest = min(idle_lists, key=lambda idle: idle[0].since).pop(0)
        oldest.channel.close()
        return True

    def _add_idle(self, address: Address, channel: Channel) -> None:
        self._idle.setdefault(address, []).append(IdleChannel(self._loop.time(), channel))
        self._ensure_sweep()

    def _ensure_sweep(self) -> None:
        if self._sweep_timer is None:
            self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(self._idle_timeout / 4, self._close_expired)

    def _close_expired(self) -> None:
        """Close channels before their targets do, so that no request is sent on a connection being closed.

        Channels expire at half the idle timeout.  Sweeps run every quarter of it, so each channel is closed
        well before the timeout ends.
        """
        self._sweep_timer = None
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


def _idle_since(idle_channel: IdleChannel) -> float:
    return idle_channel.since


def _close_older(idle: list[IdleChannel], expired_since: float) -> list[IdleChannel]:
    """Close the channels idle since `expired_since` or earlier; return the remaining open ones."""
    remaining = []
    for idle_channel in idle:
        if idle_channel.channel.is_closing:
            continue
        if idle_channel.since <= expired_since:
            idle_channel.channel.close()
        else:
            remaining.append(idle_channel)
    return remaining
