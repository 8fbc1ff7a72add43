"""A connection of a host: one queue of its association, selected by its Connect command.

`HostQueue` owns the connection's state and its I/O commands in flight.  A protocol error closes only the
association of the host at fault.  Source: the NVM Express TCP Transport and Base Specifications.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from stalltiller.adapters.nvme_admin_commands import run_admin_command
from stalltiller.adapters.nvme_association import Association
from stalltiller.adapters.nvme_io_command import IoCommand
from stalltiller.adapters.nvme_mapping import Namespace
from stalltiller.protocol import nvme
from stalltiller.routing.exchange_end import EndRule, ExchangeEnd, TransferPhase, TransferProgress
from stalltiller.routing.transfer_limits import REQUEST_IDLE_LIMIT_SECONDS
from stalltiller.transport.connection import Connection
from stalltiller.transport.listener import Listener

if TYPE_CHECKING:
    from stalltiller.adapters.nvme_controller import NvmeController

MAX_IO_QUEUES_PER_ASSOCIATION = 8
MIN_QUEUE_ENTRIES = 2
MAX_CANCELLED_TRANSFERS = 256  # of one queue, whose data is ignored; a host need not send it
TAG_END = 0x10000  # transfer tags are 16-bit numbers
MAX_COMMANDS_IN_FLIGHT = 4096  # over all hosts; further commands are rejected
DISCONNECT_CHECK_INTERVAL_SECONDS = 0.05  # while reading from the host is paused
BUSY_RETRY_DELAY_INDEX = 3  # the longest Command Retry Delay
# Byte offsets in the submission queue entry of Connect
CONNECT_RECORD_FORMAT_OFFSET = 40
CONNECT_QUEUE_ID_OFFSET = 42
CONNECT_QUEUE_SIZE_OFFSET = 44
CONNECT_KEEP_ALIVE_MS_OFFSET = 48
# Fatal error information (FEI) of a TermReq for invalid fields
FEI_CAPSULE_LENGTH = 4
FEI_COMMAND_ID = 10
FEI_DATA_OFFSET = 8
FEI_DATA_LENGTH = 12


class HostQueue(Connection):
    """A host's connection; `association` is None before Connect and after a controller reset closed it."""

    def __init__(self, controller: NvmeController, listener: Listener) -> None:
        super().__init__(controller.buffers, controller.engine.monitor)
        self.controller = controller
        self._listener = listener
        self._reader = nvme.PduReader(nvme.FROM_HOST)
        self._is_initialized = False  # an ICReq was received
        self._unread_bytes = 0  # reserved in the controller's budget for unread responses
        self._submission_head = 0
        self.association: Association | None = None
        self.queue_id = 0  # 0 for the admin queue
        self.entry_count = 0
        self.commands: dict[int, IoCommand] = {}  # by command identifier
        # Data that hosts may still send for cancelled writes, in bytes by transfer tag, oldest first.
        self._cancelled_transfers: dict[int, int] = {}

    # --- The connection ---
    def on_connected(self) -> None:
        """Register with the listener."""
        self._listener.add(self)

    def on_disconnected(self, _error: Exception | None) -> None:
        """End the whole association."""
        self._reserve_unread(0)
        self._listener.remove(self)
        if self.association is not None:
            self.association.close()

    def close_if_idle(self) -> bool:
        """Close during shutdown if the association is idle, and return whether it closed.

        Before shutdown idle queues stay open: their hosts still use them.  The close of one queue ends the
        association, so that a command that is arriving on another one keeps it open.
        """
        if not self.controller.stopping:
            return False
        queues = (self,) if self.association is None else tuple(self.association.queues.values())
        if any(queue.is_in_use() for queue in queues):
            return False
        self.close_gracefully()
        return True

    def is_in_use(self) -> bool:
        """Return whether a command is in flight, or a part of one has come, also if it is not read yet."""
        if self.half_closed:
            return False
        return bool(self.commands) or self._is_receiving or not self.flushed or not self.is_clean()

    def close_gracefully(self) -> None:
        """Shut down sending after the pending bytes and discard further received bytes."""
        if not self.is_closing and not self.half_closed:
            self._listener.closing_gracefully(self)
            super().close_gracefully()

    def on_buffer_full(self) -> None:
        """Pause reading until the host reads its completions, and check for a disconnect meanwhile.

        While reading is paused a disconnect is not reported, and the commands of a disconnected host would be
        sent to targets.
        """
        super().on_buffer_full()
        self._check_disconnect()

    def _check_disconnect(self) -> None:
        if self._paused and not self.is_closing:
            if self.is_peer_closed():
                self.abort()
            else:
                self.controller.loop.call_later(DISCONNECT_CHECK_INTERVAL_SECONDS, self._check_disconnect)

    def abort_partial_responses(self) -> None:
        """Do nothing: hosts recognise an incomplete response by the missing completion."""

    def on_request_timeout(self) -> None:
        """Abort: no Connect command was received within the timeout."""
        self.abort()

    def reject_requests(self) -> None:
        """Abort: there are too many connections."""
        self.abort()

    def on_data(self, data: memoryview) -> int:
        """Parse a PDU and process it; return the number of bytes consumed."""
        if self.association is not None:
            self.association.last_progress_at = self.controller.loop.time()
        if not self.flushed:
            return 0  # process no commands while completions are unread
        try:
            consumed, pdu = self._reader.feed(data)
            self._listener.request_started(self)
            if pdu is not None:
                self._handle_pdu(pdu)
        except nvme.PduError as error:
            self._terminate(error)
            return len(data)
        return consumed

    def buffer_updated(self, nbytes: int) -> None:
        """Process received bytes, and have what is not complete yet monitored."""
        super().buffer_updated(nbytes)
        self._watch()

    # --- Progress ---
    def _watch(self) -> None:
        """Have the transfer in progress monitored, if any."""
        if self.is_closing or self.half_closed:
            return  # `close_gracefully` has the rest monitored
        if not self.flushed:
            self.monitor.watch(self)
        elif self._is_receiving or self.association is None:
            self.monitor.watch(self, REQUEST_IDLE_LIMIT_SECONDS)
        else:
            self.monitor.unwatch(self)

    @property
    def _is_receiving(self) -> bool:
        """Whether a part of a command or of its data has come, or data is awaited."""
        has_part = self.has_unread_data or self._reader.is_within_pdu
        return has_part or any(command.awaits_data for command in self.commands.values())

    def transferred_bytes(self) -> int:
        """Return a count that changes with each byte of the commands or the responses in progress."""
        is_sending = not self.flushed or self.half_closed
        return self.acknowledged_bytes() if is_sending else self._bytes_received

    def is_transferring(self) -> bool:
        """Return whether a command or a response is in progress."""
        if self.half_closed:
            return not self.is_delivered
        has_commands = self.association is not None and self.association.has_commands_in_flight()
        return has_commands or self._is_receiving or not self.flushed

    def on_stopped(self) -> None:
        """End the association of a host that does not go on."""
        if self.half_closed:
            super().on_stopped()
        elif not self.flushed:
            self._report_end(EndRule.RESPONSE_UNREAD, TransferPhase.RECEIVING)
            self.reset()
        else:
            self.controller.log("host_stalled", queue=self.queue_id)
            self._report_end(EndRule.REQUEST_STALLED, TransferPhase.SENDING)
            self._end_association()

    def _end_association(self) -> None:
        if self.association is None:
            self.abort()
        else:
            self.association.close()

    def _report_end(self, rule: EndRule, phase: TransferPhase) -> None:
        """Log the end of the oldest command's exchange, and how much has come and been acknowledged."""
        command = next(iter(self.commands.values()), None)
        progress = TransferProgress(
            phase, received_bytes=self._bytes_received, delivered_bytes=self.acknowledged_bytes()
        )
        exchange_end = ExchangeEnd(
            rule,
            None if command is None else command.request_number,
            "" if command is None else f"cid-{command.command.cid}",
            None,
            progress,
            None,
        )
        self.controller.engine.report_exchange_end(exchange_end)

    def pause_writing(self) -> None:
        """Have a host monitored that does not read."""
        super().pause_writing()
        self._watch()

    def resume_writing(self) -> None:
        """Resume processing once all written bytes are sent."""
        self._reserve_unread(0)
        super().resume_writing()
        self._watch()

    def _reserve_unread(self, size: int) -> bool:
        byte_delta = size - self._unread_bytes
        self._unread_bytes = size
        return self.controller.unread_response_budget.adjust_reservation(byte_delta)

    # --- For the association and its commands ---
    def expect_cancelled_data(self, transfer_tag: int, size: int) -> None:
        """Ignore the data of a cancelled write: its host may have sent it before it learns of the end."""
        self._cancelled_transfers[transfer_tag] = size
        if len(self._cancelled_transfers) > MAX_CANCELLED_TRANSFERS:
            del self._cancelled_transfers[next(iter(self._cancelled_transfers))]

    def cancel_commands(self) -> None:
        """Cancel all I/O commands, as when their host disconnects."""
        for command in list(self.commands.values()):
            command.cancel()

    def send_completion(self, completion: nvme.Completion) -> None:
        """Send a completion; abort if unread responses exceed their memory budget."""
        self._submission_head = (self._submission_head + 1) % max(1, self.entry_count)
        self.write(nvme.completion(completion, self.queue_id, self._submission_head))
        if self.flushed or self.is_closing:
            return
        assert self.transport is not None
        if not self._reserve_unread(self.transport.get_write_buffer_size()):
            self.abort()

    def _terminate(self, error: nvme.PduError) -> None:
        """Report a protocol error to the host and close only its association."""
        self.controller.engine.counts["bad_pdus"] += 1
        self.controller.log("bad_pdu", error=str(error), status=error.status)
        self.write(nvme.term(nvme.C2H_TERM, error))
        self.close_gracefully()
        if self.association is not None:
            self.association.close()

    # --- PDUs ---
    def _handle_pdu(self, pdu: nvme.Pdu) -> None:
        if pdu.kind == nvme.H2C_TERM:
            self.controller.log("host_terminated", status=nvme.parse_term(pdu)[0])
            self.close_gracefully()
        elif not self._is_initialized:
            if pdu.kind != nvme.IC_REQ:
                raise nvme.PduError("the first PDU must be ICReq", nvme.BAD_SEQUENCE)
            nvme.parse_ic(pdu)
            self._is_initialized = True
            self.write(nvme.ic_response())
        elif pdu.kind == nvme.COMMAND_CAPSULE:
            self._handle_command(nvme.parse_command(pdu), pdu.data)
        elif pdu.kind == nvme.H2C_DATA:
            self._handle_data(pdu)
        else:
            raise nvme.PduError("ICReq received twice", nvme.BAD_SEQUENCE)

    def _handle_command(self, command: nvme.Command, data: bytes) -> None:
        if len(data) > nvme.MAX_IN_CAPSULE_BYTES:
            raise nvme.PduError(
                "in-capsule data exceeds the advertised limit", nvme.BAD_FIELD, FEI_CAPSULE_LENGTH
            )
        if self.association is None:
            status = self._connect(command, data)
            if status != nvme.OK:
                self.send_completion(nvme.Completion(command.cid, status, no_retry=True))
        elif self.queue_id:
            self._handle_io_command(command, data)
        else:
            status, result = run_admin_command(self, self.association, command)
            self.send_completion(nvme.Completion(command.cid, status, result, no_retry=status != nvme.OK))

    # --- Connect ---
    def _connect(self, command: nvme.Command, data: bytes) -> int:
        """Join or create an association and return the status.

        The completion is sent here if the status is OK, otherwise by the caller.
        """
        if command.opcode != nvme.FABRICS or command.nsid != nvme.CONNECT:
            return nvme.COMMAND_SEQUENCE_ERROR
        if len(data) != nvme.CONNECT_DATA_BYTES or command.u16(CONNECT_RECORD_FORMAT_OFFSET) != 0:
            return nvme.BAD_CONNECT
        controller_id, subsystem, _ = nvme.parse_connect(data)
        queue_id = command.u16(CONNECT_QUEUE_ID_OFFSET)
        entry_count = command.u16(CONNECT_QUEUE_SIZE_OFFSET) + 1
        if subsystem != self.controller.mapping.subsystem:
            return nvme.BAD_CONNECT
        if queue_id == 0:
            if controller_id != nvme.DYNAMIC_CONTROLLER_ID or not _is_valid_size(
                entry_count, nvme.MAX_ADMIN_QUEUE_ENTRIES
            ):
                return nvme.BAD_CONNECT
            keep_alive_timeout = command.u32(CONNECT_KEEP_ALIVE_MS_OFFSET) / 1000
            association = self.controller.create_association(keep_alive_timeout)
            if association is None:
                return nvme.CONTROLLER_BUSY
        else:
            association = self._find_association(controller_id, queue_id, entry_count)
            if association is None:
                return nvme.BAD_CONNECT
        self._listener.request_finished(self)
        self.association = association
        self.queue_id = queue_id
        self.entry_count = entry_count
        association.queues[queue_id] = self
        self.send_completion(nvme.Completion(command.cid, result=association.controller_id))
        return nvme.OK

    def _find_association(self, controller_id: int, queue_id: int, entry_count: int) -> Association | None:
        """Return the association that an I/O queue may join, None if it may not."""
        association = self.controller.associations.get(controller_id)
        if association is None or not association.is_enabled:
            return None
        if queue_id > MAX_IO_QUEUES_PER_ASSOCIATION or queue_id in association.queues:
            return None
        return association if _is_valid_size(entry_count, nvme.MAX_IO_QUEUE_ENTRIES) else None

    # --- I/O commands ---
    def _handle_io_command(self, command: nvme.Command, data: bytes) -> None:
        if command.cid in self.commands:
            raise nvme.PduError("command identifier already in use", nvme.BAD_FIELD, FEI_COMMAND_ID)
        if len(self.commands) >= self.entry_count - 1:
            raise nvme.PduError("commands in flight exceed the queue size", nvme.BAD_SEQUENCE)
        namespace = self.controller.mapping.namespaces.get(command.nsid)
        status = self._validate(command, namespace)
        if status != nvme.OK or namespace is None:
            self.send_completion(nvme.Completion(command.cid, status, no_retry=True))
            return
        opcode_mapping = self.controller.mapping.opcodes[command.opcode]
        io_command = IoCommand(self, command, namespace, opcode_mapping)
        if not self.controller.reserve(io_command):
            self.send_completion(
                nvme.Completion(command.cid, nvme.NAMESPACE_NOT_READY, delay=BUSY_RETRY_DELAY_INDEX)
            )
            return
        self.commands[command.cid] = io_command
        if io_command.is_write and command.sgl_type != nvme.IN_CAPSULE_SGL:
            self._request_data(io_command)
        else:
            io_command.data += data
            self.controller.submit(io_command)

    def _validate(self, command: nvme.Command, namespace: Namespace | None) -> int:
        """Return the error status of an invalid command, else OK."""
        if command.opcode not in self.controller.mapping.opcodes:
            return nvme.BAD_OPCODE
        if namespace is None:
            return nvme.BAD_NAMESPACE
        if command.lba + command.blocks > namespace.blocks:
            return nvme.OUT_OF_LBA
        if command.length != command.blocks * namespace.block_size or command.length > nvme.MAX_DATA_BYTES:
            return nvme.INVALID_FIELD
        return nvme.OK

    def _request_data(self, io_command: IoCommand) -> None:
        """Request the data of a write by R2T; the host may take its time as long as bytes keep coming."""
        io_command.awaits_data = True
        cid = io_command.command.cid
        io_command.transfer_tag = self._free_transfer_tag(cid)
        self.write(nvme.r2t(cid, io_command.transfer_tag, 0, io_command.size))

    def _free_transfer_tag(self, cid: int) -> int:
        """Return the command identifier, or the next tag after it for which no data is expected.

        A host may use the identifier of an aborted write again before the data of that write has arrived.
        """
        used = {command.transfer_tag for command in self.commands.values()} | self._cancelled_transfers.keys()
        return next(tag for tag in itertools.chain(range(cid, TAG_END), range(cid)) if tag not in used)

    def _handle_data(self, pdu: nvme.Pdu) -> None:
        cid, tag, offset, length = nvme.parse_data(pdu)
        if tag in self._cancelled_transfers:
            self._cancelled_transfers[tag] -= length
            if self._cancelled_transfers[tag] <= 0:
                del self._cancelled_transfers[tag]
            return
        io_command = self.commands.get(cid)
        if io_command is None or tag != io_command.transfer_tag or not io_command.awaits_data:
            raise nvme.PduError("data does not match an outstanding R2T", nvme.BAD_SEQUENCE)
        if offset != len(io_command.data) or offset + length > io_command.size:
            raise nvme.PduError(
                "data out of order or beyond the requested length", nvme.OUT_OF_RANGE, FEI_DATA_OFFSET
            )
        io_command.data += pdu.data
        if len(io_command.data) == io_command.size:
            io_command.awaits_data = False
            self.controller.submit(io_command)
        elif pdu.flags & nvme.LAST_PDU_FLAG:
            raise nvme.PduError(
                "last data PDU ends before the requested length", nvme.OUT_OF_RANGE, FEI_DATA_LENGTH
            )


def _is_valid_size(entry_count: int, max_entries: int) -> bool:
    return MIN_QUEUE_ENTRIES <= entry_count <= max_entries
