"""Metrics out: a sample every so often to Graphite, collectd or both; off unless set up.

Sending never waits: a sink that does not take a sample in time loses it, and at most one sample is kept
back.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from stalltiller.daemon.config import Config, Sink
from stalltiller.protocol.metrics import collectd_packets, graphite_lines

GAUGES = frozenset(
    (
        "open",
        "clients",
        "memory_kb",
        "fleet_members",
        "fleet_open",
        "fleet_token",
        "recovery_full",
        "recovery_full_after_s",
        "recovery_ramping",
    )
)
MAX_UNSENT = 64 * 1024  # bytes kept for a Graphite that does not read


class Metrics:
    """Sends samples until it is closed."""

    def __init__(
        self, config: Config, sample: Callable[[], dict[str, float]], loop: asyncio.AbstractEventLoop
    ) -> None:
        self._name, self._sample, self._loop = config.name, sample, loop
        self._sinks = [
            (sink, send)
            for sink, send in ((config.graphite, self._graphite), (config.collectd, self._collectd))
            if sink
        ]
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        self._tasks = [self._loop.create_task(send(sink)) for sink, send in self._sinks]

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _graphite(self, sink: Sink) -> None:
        transport: asyncio.Transport | None = None
        try:
            while True:
                await asyncio.sleep(sink.interval)
                if transport is None or transport.is_closing():
                    try:
                        async with asyncio.timeout(sink.interval):
                            transport, _ = await self._loop.create_connection(asyncio.Protocol, *sink.address)
                    except OSError:  # no one listens: this sample is lost
                        continue
                if transport.get_write_buffer_size() < MAX_UNSENT:
                    transport.write(graphite_lines(self._name, self._sample(), time.time()))
        finally:
            if transport is not None:
                transport.abort()

    async def _collectd(self, sink: Sink) -> None:
        transport: asyncio.DatagramTransport | None = None
        try:
            while True:
                await asyncio.sleep(sink.interval)
                if transport is None or transport.is_closing():
                    try:
                        transport, _ = await self._loop.create_datagram_endpoint(
                            asyncio.DatagramProtocol, remote_addr=sink.address
                        )
                    except OSError:
                        continue
                if transport.get_write_buffer_size() < MAX_UNSENT:
                    for packet in collectd_packets(
                        self._name, self._sample(), GAUGES, time.time(), sink.interval
                    ):
                        transport.sendto(packet)
        finally:
            if transport is not None:
                transport.abort()
