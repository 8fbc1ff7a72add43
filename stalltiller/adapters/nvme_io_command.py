"""One Read or Write command of a host, from its capsule to its completion.

Its I/O queue owns it.  It is the request's `ResponseHandler`, through which the engine reports the outcome.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stalltiller.adapters.nvme_mapping import Namespace, OpcodeMapping
from stalltiller.protocol import nvme

if TYPE_CHECKING:
    from stalltiller.adapters.nvme_host_queue import HostQueue

NO_TRANSFER_TAG = -1  # no data was requested


class IoCommand:
    """A host's Read or Write command.

    `namespace` and `opcode_mapping` are those in force when its capsule arrived.
    `data` accumulates the data of a write.  `request_number` is the engine's number for the request, None
    until it is submitted; `awaits_data` tells of a write whose data was requested by R2T and is not complete.
    """

    def __init__(
        self,
        queue: HostQueue,
        command: nvme.Command,
        namespace: Namespace,
        opcode_mapping: OpcodeMapping,
    ) -> None:
        self.queue = queue
        self.command = command
        self.namespace = namespace
        self.opcode_mapping = opcode_mapping
        self.size = command.blocks * namespace.block_size  # bytes
        self.data = bytearray()
        self.request_number: int | None = None
        self.awaits_data = False
        self.transfer_tag = NO_TRANSFER_TAG  # of the R2T that requested the data

    @property
    def is_write(self) -> bool:
        """Whether the command is a Write."""
        return self.command.opcode == nvme.WRITE

    def take_data(self) -> bytes:
        """Remove and return the data of a write, which is counted once in the budget of commands."""
        data = bytes(self.data)
        self.data = bytearray()
        return data

    def complete(self, response: bytes) -> None:
        """Send `response`, the data of a read, if any, and a successful completion."""
        if response:
            self.queue.write(nvme.data_pdu(nvme.C2H_DATA, self.command.cid, 0, 0, response))
        self._send_completion()

    def reject(self, retry_after: float) -> None:
        """Complete as retryable, with the delay closest to `retry_after` seconds; nothing was executed."""
        self._send_completion(
            nvme.NAMESPACE_NOT_READY, delay=self.queue.controller.retry_delay_index(retry_after)
        )

    def fail(self) -> None:
        """Complete as failed; a write may have been executed, so the host must not retry it."""
        self._send_completion(nvme.INTERNAL_ERROR, no_retry=self.is_write)

    def is_disconnected(self) -> bool:
        """Return whether the host has closed the queue's connection."""
        return self.queue.is_peer_closed()

    def cancel(self) -> None:
        """Cancel the command for its host; data already requested from the host may still arrive."""
        self._release()
        if self.awaits_data:
            self.queue.expect_cancelled_data(self.transfer_tag, self.size - len(self.data))
        if self.request_number is not None:
            self.queue.controller.engine.cancel(self.request_number)

    def _send_completion(self, status: int = nvme.OK, delay: int = 0, no_retry: bool = False) -> None:
        self._release()
        self.queue.send_completion(nvme.Completion(self.command.cid, status, 0, delay, no_retry))

    def _release(self) -> None:
        """Remove the command from its queue and release its memory reservation."""
        if self.queue.commands.pop(self.command.cid, None) is not None:
            self.queue.controller.command_data_budget.adjust_reservation(-self.size)
