"""The host side of one NVMe/TCP queue to a target, with at most one command in flight.

`TargetQueue` owns the connection's state and calls each command's callback exactly once.  Source: the NVM
Express TCP Transport Specification.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from stalltiller.protocol import nvme
from stalltiller.routing.exchange_end import TransferPhase, TransferProgress
from stalltiller.routing.transfer_limits import MAX_SINGLE_READ_BYTES, ByteArrivals, sending_phase
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection

COMMAND_ID_END = 0x8000  # command identifiers are 1 to COMMAND_ID_END - 1
# Fatal error information (FEI) of a TermReq for invalid fields of a data PDU or R2T
FEI_DATA_OFFSET = 8
FEI_DATA_LENGTH = 12

CommandCallback = Callable[[nvme.Completion | None, bytes], None]


class TargetQueue(Connection):
    """A queue to a target; `on_connection_lost` is called when its connection is lost."""

    def __init__(self, buffers: BufferPool) -> None:
        super().__init__(buffers)
        self._reader = nvme.PduReader(nvme.FROM_CONTROLLER)
        self._command_ids = itertools.cycle(range(1, COMMAND_ID_END))
        self._command_id = 0  # identifier of the latest command
        self._callback: CommandCallback | None = None
        self._request_start = 0  # bytes written before it
        self._is_data_due = (
            False  # whether the target has requested a part of the write data, and not yet all
        )
        self._write_data = b""  # data that the target may request by R2T
        self._read_data = bytearray()
        self._read_size = 0  # data bytes expected from the target
        self._arrivals: ByteArrivals | None = None  # of the response to the command; None before the first
        self._max_pdu_data = nvme.MAX_DATA_BYTES
        self._initialized: asyncio.Future[None] | None = None
        self.error: nvme.PduError | None = None
        self.on_connection_lost: Callable[[], None] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a command is in flight."""
        return self._callback is not None

    async def initialize(self) -> None:
        """Exchange ICReq and ICResp; raises ConnectionError if the target closes the connection."""
        self._initialized = asyncio.get_running_loop().create_future()
        self.write(nvme.ic_request())
        await self._initialized

    async def execute(
        self, encode: Callable[[int], bytes], read_size: int = 0
    ) -> tuple[nvme.Completion, bytes]:
        """Run a command of the connection setup and return its completion and data.

        `encode` returns the capsule for a command identifier.  Raises ConnectionError if the command fails.
        """
        response: asyncio.Future[tuple[nvme.Completion | None, bytes]]
        response = asyncio.get_running_loop().create_future()

        def set_response(completion: nvme.Completion | None, data: bytes) -> None:
            """Resolve the future unless its awaiter was cancelled."""
            if not response.done():
                response.set_result((completion, data))

        self.run(encode, set_response, read_size=read_size)
        completion, data = await response
        if completion is None or completion.status:
            raise ConnectionError("the target rejected a command of the connection setup or closed the queue")
        return completion, data

    def run(
        self,
        encode: Callable[[int], bytes],
        callback: CommandCallback,
        write_data: bytes = b"",
        read_size: int = 0,
    ) -> None:
        """Send a command; `callback` is called once, with None if the queue is lost.

        `write_data` is sent when the target requests it by R2T; `read_size` data bytes are expected.
        """
        self._command_id = next(self._command_ids)
        self._callback = callback
        self._write_data = write_data
        self._read_data = bytearray()
        self._read_size = read_size
        self._arrivals = None
        self._request_start = self._bytes_written
        self._is_data_due = False
        self.write(encode(self._command_id))

    # --- The connection ---
    def on_data(self, data: memoryview) -> int:
        """Parse a PDU and process it; return the number of bytes consumed."""
        try:
            consumed, pdu = self._reader.feed(data)
            if pdu is not None:
                self._handle_pdu(pdu)
        except nvme.PduError as error:
            self.error = error
            self.write(nvme.term(nvme.H2C_TERM, error))
            self.close()
            return len(data)
        return consumed

    def progress(self) -> TransferProgress:
        """Return how far the transfer of the command in flight has come."""
        sent_bytes = self.acknowledged_bytes() - self._request_start
        if self._arrivals is not None:
            return TransferProgress(
                TransferPhase.RECEIVING,
                received_bytes=len(self._read_data),
                idle_seconds=asyncio.get_running_loop().time() - self._arrivals.last_at,
                sent_bytes=sent_bytes,
                longest_pause_seconds=self._arrivals.longest_pause,
                is_short=True,
            )
        request_bytes = self._bytes_written - self._request_start
        is_sending = self._is_data_due or len(self._write_data) > MAX_SINGLE_READ_BYTES
        phase = TransferPhase.SENDING if is_sending else sending_phase(sent_bytes, request_bytes)
        return TransferProgress(phase, sent_bytes=sent_bytes)

    def buffer_updated(self, nbytes: int) -> None:
        """Process received bytes, and record those of a response."""
        super().buffer_updated(nbytes)
        if not self.is_busy or not self._has_response_begun():
            self._arrivals = None
            return
        now = asyncio.get_running_loop().time()
        self._arrivals = ByteArrivals.begin(now) if self._arrivals is None else self._arrivals.record(now)

    def _has_response_begun(self) -> bool:
        """Return whether a part of the data or of the completion has come; an R2T is no response."""
        if self._read_data or self._reader.is_within_pdu:
            return True
        return (
            self._buffer is not None and self.has_unread_data and self._buffer[self._unread_start] != nvme.R2T
        )

    def eof_received(self) -> bool:
        """Abort: a close would continue to write to a target that has shut down its side."""
        self.abort()
        return False

    def on_disconnected(self, _error: Exception | None) -> None:
        """Fail the connection setup or the command in flight and notify the owner."""
        if self._initialized is not None and not self._initialized.done():
            self._initialized.set_exception(ConnectionResetError("the target closed the queue"))
        self._finish_command(None)
        if self.on_connection_lost is not None:
            self.on_connection_lost()

    # --- PDUs ---
    def _handle_pdu(self, pdu: nvme.Pdu) -> None:
        if pdu.kind == nvme.C2H_TERM:
            self.abort()
        elif pdu.kind == nvme.IC_RESP:
            if self._initialized is None or self._initialized.done():
                raise nvme.PduError("unexpected ICResp", nvme.BAD_SEQUENCE)
            self._max_pdu_data = min(nvme.MAX_DATA_BYTES, max(nvme.MEMORY_PAGE_BYTES, nvme.parse_ic(pdu)))
            self._initialized.set_result(None)
        elif pdu.kind == nvme.RESPONSE_CAPSULE:
            completion = nvme.parse_completion(pdu)
            self._check_in_flight(completion.cid)
            self._finish_command(completion)
        else:
            self._handle_data_pdu(pdu)

    def _handle_data_pdu(self, pdu: nvme.Pdu) -> None:
        """Process an R2T or the data of a read."""
        cid, tag, offset, length = nvme.parse_data(pdu)
        self._check_in_flight(cid)
        if pdu.kind == nvme.R2T:
            self._send_data(tag, offset, length)
            return
        if offset != len(self._read_data) or offset + length > self._read_size:
            raise nvme.PduError(
                "data out of order or beyond the expected length", nvme.OUT_OF_RANGE, FEI_DATA_OFFSET
            )
        self._read_data += pdu.data
        if pdu.flags & nvme.SUCCESS_FLAG:
            self._finish_command(nvme.Completion(cid))

    def _check_in_flight(self, cid: int) -> None:
        if self._callback is None or cid != self._command_id:
            raise nvme.PduError("command identifier of no command in flight", nvme.BAD_SEQUENCE)

    def _send_data(self, tag: int, offset: int, length: int) -> None:
        end_offset = offset + length
        if not length or end_offset > len(self._write_data):
            raise nvme.PduError(
                "R2T range is empty or exceeds the write data", nvme.OUT_OF_RANGE, FEI_DATA_LENGTH
            )
        self._is_data_due = end_offset < len(self._write_data)
        for piece_offset in range(offset, end_offset, self._max_pdu_data):
            piece = self._write_data[piece_offset : min(end_offset, piece_offset + self._max_pdu_data)]
            flags = nvme.LAST_PDU_FLAG if piece_offset + len(piece) == end_offset else 0
            self.write(nvme.data_pdu(nvme.H2C_DATA, self._command_id, tag, piece_offset, piece, flags))

    def _finish_command(self, completion: nvme.Completion | None) -> None:
        callback = self._callback
        read_data = bytes(self._read_data)
        self._callback = None
        self._read_data = bytearray()
        self._write_data = b""
        if callback is not None:
            callback(completion, read_data)
