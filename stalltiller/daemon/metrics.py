"""Exports metric samples at regular intervals to Graphite, collectd or both; disabled unless configured.

Sending never blocks: a sample that a sink does not accept in time is dropped, as are further samples once
64 KiB are buffered for a sink that does not read.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from stalltiller.daemon.background_tasks import BackgroundTasks
from stalltiller.daemon.config import Config, Sink
from stalltiller.protocol.metrics import collectd_packets, graphite_lines

# All other metrics are counters, which never decrease.
GAUGES = frozenset(
    (
        "open",
        "clients",
        "memory_kb",
        "request_bytes",
        "timers",
        "monitored_transfers",
        "fleet_members",
        "fleet_open",
        "fleet_token",
        "recovery_full",
        "recovery_full_after_s",
        "recovery_ramping",
    )
)
MAX_UNSENT_BYTES = 64 * 1024  # with more buffered for a sink that does not read, samples are dropped

Sample = Callable[[], dict[str, float]]


class MetricsExporter:
    """Sends samples to the configured sinks, from `start` to `close`."""

    def __init__(
        self,
        config: Config,
        sample: Sample,
        loop: asyncio.AbstractEventLoop,
        background_tasks: BackgroundTasks,
    ) -> None:
        self._name = config.name
        self._graphite_sink = config.graphite
        self._collectd_sink = config.collectd
        self._sample = sample
        self._loop = loop
        self._background_tasks = background_tasks
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start sending."""
        if self._graphite_sink is not None:
            self._tasks.append(self._background_tasks.start(self._export_to_graphite(self._graphite_sink)))
        if self._collectd_sink is not None:
            self._tasks.append(self._background_tasks.start(self._export_to_collectd(self._collectd_sink)))

    def close(self) -> None:
        """Stop sending and close the connections."""
        for task in self._tasks:
            task.cancel()

    async def _export_to_graphite(self, sink: Sink) -> None:
        transport: asyncio.Transport | None = None
        try:
            while True:
                await asyncio.sleep(sink.interval)
                if transport is None or transport.is_closing():
                    try:
                        async with asyncio.timeout(sink.interval):
                            transport, _ = await self._loop.create_connection(asyncio.Protocol, *sink.address)
                    except OSError:  # connection refused or timed out: this sample is dropped
                        continue
                if transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
                    transport.write(graphite_lines(self._name, self._sample(), time.time()))
        finally:
            if transport is not None:
                transport.abort()

    async def _export_to_collectd(self, sink: Sink) -> None:
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
                # asyncio's datagram transports have this method, but typeshed does not declare it.
                unsent_bytes = transport.get_write_buffer_size()  # type: ignore[attr-defined]
                if unsent_bytes < MAX_UNSENT_BYTES:
                    self._send_collectd_packets(transport, sink.interval)
        finally:
            if transport is not None:
                transport.abort()

    def _send_collectd_packets(self, transport: asyncio.DatagramTransport, interval: float) -> None:
        for packet in collectd_packets(self._name, self._sample(), GAUGES, time.time(), interval):
            transport.sendto(packet)
