"""The NVMe/TCP server side: a controller that submits I/O commands to the engine as requests.

`NvmeController` owns the associations of all hosts and the state that they share: the memory budgets, the
mapping of commands to requests and the Command Retry Delays.  An association consists of a host's admin queue
and its I/O queues; a host that loses one of them is treated as disconnected.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable

from stalltiller.adapters.nvme_association import Association
from stalltiller.adapters.nvme_host_queue import MAX_COMMANDS_IN_FLIGHT, HostQueue
from stalltiller.adapters.nvme_io_command import IoCommand
from stalltiller.adapters.nvme_mapping import Mapping, Payload
from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import ClientRequest
from stalltiller.scheduling import Settings
from stalltiller.transport.buffers import BufferPool, MemoryBudget
from stalltiller.transport.listener import Listener

MAX_ASSOCIATIONS = 0xFF00
CONTROLLER_ID_END = 0xFFF0  # identifiers from this one on are reserved
RETRY_DELAY_UNITS_PER_SECOND = 10  # the unit is 100 ms
MAX_RETRY_DELAY_INDEX = 3
# An idempotency key has 64 bits: the namespace identifier above the low bits of the block address.
LBA_BITS = 44
KEY_MASK = (1 << 64) - 1


class NvmeController:
    """Serves hosts over NVMe/TCP.

    `max_data_bytes` limits two totals over all hosts: the data of commands in flight (commands beyond it are
    rejected) and the unread responses (connections that exceed it are aborted).
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        settings: Settings,
        name: str,
        mapping: Mapping,
        log: Callable[..., None],
        max_data_bytes: int,
    ) -> None:
        self.loop = loop
        self.engine = engine
        self.buffers = buffers
        self.log = log
        self.name = name
        self.stopping = False
        self.command_data_budget = MemoryBudget(max_data_bytes)
        self.unread_response_budget = MemoryBudget(max_data_bytes)
        self.associations: dict[int, Association] = {}  # by controller identifier
        self._controller_ids = itertools.cycle(range(1, CONTROLLER_ID_END))
        self.update_settings(settings, mapping)

    def update_settings(self, settings: Settings, mapping: Mapping) -> None:
        """Apply new settings and a new mapping to further commands."""
        self.mapping = mapping
        self._class_indexes = {cls.name: index for index, cls in enumerate(settings.classes)}
        self._plan_indexes = {plan.name: index for index, plan in enumerate(settings.plans)}
        max_delay = 1
        if settings.may_send_retry_after:
            max_delay = max(1, int(settings.max_retry_after * RETRY_DELAY_UNITS_PER_SECOND))
        self.retry_delays = (1, max(1, max_delay // 2), max_delay)

    def connection(self, listener: Listener) -> HostQueue:
        """Return the protocol object for a new connection."""
        return HostQueue(self, listener)

    def create_association(self, keep_alive_timeout: float) -> Association | None:
        """Return a new association, None if no more are accepted; the timeout is in seconds."""
        if self.stopping or len(self.associations) >= MAX_ASSOCIATIONS:
            return None
        controller_id = next(i for i in self._controller_ids if i not in self.associations)
        association = Association(self, controller_id, keep_alive_timeout)
        self.associations[controller_id] = association
        return association

    def retry_delay_index(self, retry_after: float) -> int:
        """Return the index of the first Command Retry Delay of at least `retry_after` seconds, else 3."""
        for index, delay in enumerate(self.retry_delays, 1):
            if delay / RETRY_DELAY_UNITS_PER_SECOND >= retry_after:
                return index
        return MAX_RETRY_DELAY_INDEX

    def reserve(self, io_command: IoCommand) -> bool:
        """Reserve memory for a command's data; return False, reserving nothing, at a limit."""
        has_memory = self.command_data_budget.adjust_reservation(io_command.size)
        # The responses to all commands may stay unread as well.
        can_hold_responses = self.unread_response_budget.can_reserve(self.command_data_budget.reserved_bytes)
        if has_memory and can_hold_responses and self.engine.open_request_count < MAX_COMMANDS_IN_FLIGHT:
            return True
        self.command_data_budget.adjust_reservation(-io_command.size)
        return False

    def submit(self, io_command: IoCommand) -> None:
        """Submit a complete command to the engine; its deadline counts from the receipt of its last byte.

        The command is rejected if its class or its plan was dropped while the host sent its data.
        """
        command = io_command.command
        namespace = io_command.namespace
        opcode_mapping = io_command.opcode_mapping
        class_index = self._class_indexes.get(opcode_mapping.request_class)
        plan_index = self._plan_indexes.get(namespace.plan)
        if class_index is None or plan_index is None:
            io_command.reject(0.0)
            return
        payload = Payload(
            opcode=command.opcode,
            nsid=command.nsid,
            lba=command.lba,
            blocks=command.blocks,
            data=io_command.take_data(),
            read_size=0 if io_command.is_write else io_command.size,
        )
        client_request = ClientRequest(
            class_index=class_index,
            plan_index=plan_index,
            volume=namespace.volume,
            units=max(1.0, math.ceil(command.blocks / namespace.blocks_per_unit)),
            volume_initiator_count=namespace.initiator_count,
            idempotency_key=_idempotency_key(command.nsid, command.lba),
            shard=namespace.shard,
            is_write=io_command.is_write,
            is_retry=False,
            timeout=opcode_mapping.deadline,
            payload=payload,
            response_handler=io_command,
        )
        io_command.request_number = self.engine.submit(client_request)


def _idempotency_key(nsid: int, lba: int) -> int:
    block = lba & ((1 << LBA_BITS) - 1)
    return (nsid << LBA_BITS | block) & KEY_MASK
