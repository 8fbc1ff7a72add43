"""Builds the server side and the target client for an initiator's configured protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from stalltiller.adapters.http_server import HttpServer
from stalltiller.adapters.http_target_client import HttpTargetClient
from stalltiller.adapters.nvme_controller import NvmeController
from stalltiller.adapters.nvme_mapping import Mapping
from stalltiller.adapters.nvme_target_client import NvmeTargetClient
from stalltiller.adapters.recent_request_ids import RecentRequestIds
from stalltiller.daemon.config import Config
from stalltiller.daemon.log import JsonLog
from stalltiller.daemon.resource_limits import ResourceLimits
from stalltiller.protocol import nvme
from stalltiller.routing.engine import Engine
from stalltiller.scheduling import Settings
from stalltiller.transport.buffers import BufferPool

OPCODE_NAMES = {nvme.READ: "read", nvme.WRITE: "write"}


@dataclass(slots=True, frozen=True)
class HttpAdapters:
    """The platform's protocol, HTTP/1.1, on both sides."""

    server: HttpServer
    target_client: HttpTargetClient

    def update_settings(self, settings: Settings, _mapping: Mapping | None) -> None:
        """Apply new settings; HTTP has no NVMe mapping."""
        self.server.update_settings(settings)
        self.target_client.update_settings(settings)

    @property
    def reserved_request_bytes(self) -> int:
        """The memory reserved for bodies of requests above the size from which they are counted."""
        return self.server.request_body_budget.reserved_bytes

    @property
    def recent_request_ids(self) -> RecentRequestIds | None:
        """The identifiers of recent requests, which the processes of an upgrade share."""
        return self.server.recent_request_ids

    @property
    def longest_deadline(self) -> float:
        """The longest time that a client waits, in seconds: that of the request classes."""
        return self.server.longest_deadline

    def command_classes(self) -> dict[str, str] | None:
        """Return None: requests over HTTP name their class."""
        return None


@dataclass(slots=True, frozen=True)
class NvmeAdapters:
    """NVMe/TCP on both sides."""

    server: NvmeController
    target_client: NvmeTargetClient

    def update_settings(self, settings: Settings, mapping: Mapping | None) -> None:
        """Apply new settings and a new mapping; None keeps the current mapping."""
        mapping = mapping or self.server.mapping
        self.server.update_settings(settings, mapping)
        self.target_client.update_mapping(mapping)

    @property
    def reserved_request_bytes(self) -> int:
        """The memory reserved for the data of commands in flight."""
        return self.server.command_data_budget.reserved_bytes

    @property
    def recent_request_ids(self) -> RecentRequestIds | None:
        """None: a command is identified within its association, which ends with its process."""
        return None

    @property
    def longest_deadline(self) -> float:
        """The longest time that a host waits, in seconds: that of the opcodes, which are all it can send."""
        return max(opcode_mapping.deadline for opcode_mapping in self.server.mapping.opcodes.values())

    def command_classes(self) -> dict[str, str] | None:
        """Return the request class of read and write commands."""
        return {
            OPCODE_NAMES[opcode]: opcode_mapping.request_class
            for opcode, opcode_mapping in self.server.mapping.opcodes.items()
        }


ProtocolAdapters = HttpAdapters | NvmeAdapters


def build_adapters(
    config: Config,
    limits: ResourceLimits,
    loop: asyncio.AbstractEventLoop,
    engine: Engine,
    buffers: BufferPool,
    is_ready: Callable[[], bool],
    log: JsonLog,
) -> ProtocolAdapters:
    """Return the adapters for NVMe/TCP if the configuration has an NVMe mapping, else for HTTP."""
    if config.nvme is not None:
        return _build_nvme_adapters(config, config.nvme, limits, loop, engine, buffers, log)
    server = HttpServer(
        loop,
        engine,
        buffers,
        config.settings,
        is_ready,
        limits.response_bytes,
        limits.request_body_bytes,
    )
    target_client = HttpTargetClient(
        loop,
        engine,
        buffers,
        config.connect_timeout,
        config.idle_timeout,
        limits.max_target_connections,
        log,
        config.settings,
        limits.response_bytes,
    )
    return HttpAdapters(server, target_client)


def _build_nvme_adapters(
    config: Config,
    mapping: Mapping,
    limits: ResourceLimits,
    loop: asyncio.AbstractEventLoop,
    engine: Engine,
    buffers: BufferPool,
    log: JsonLog,
) -> NvmeAdapters:
    server = NvmeController(
        loop, engine, buffers, config.settings, config.name, mapping, log, limits.nvme_bytes
    )
    target_client = NvmeTargetClient(
        loop,
        engine,
        buffers,
        config.connect_timeout,
        config.idle_timeout,
        limits.max_target_connections,
        log,
        config.name,
        mapping,
    )
    return NvmeAdapters(server, target_client)
