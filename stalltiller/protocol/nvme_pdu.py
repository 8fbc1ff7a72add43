"""A subset of the PDUs of the NVM Express TCP Transport Specification, without digests and padding.

Integers are little-endian.  `PduReader` is incremental: the caller feeds it bytes as they arrive.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple

MAX_DATA_BYTES = 64 * 1024  # data bytes per command; Identify Controller reports the limit as MDTS

# PDU types
IC_REQ = 0x00
IC_RESP = 0x01
H2C_TERM = 0x02
C2H_TERM = 0x03
COMMAND_CAPSULE = 0x04
RESPONSE_CAPSULE = 0x05
H2C_DATA = 0x06
C2H_DATA = 0x07
R2T = 0x09
TERM_PDUS = (H2C_TERM, C2H_TERM)
PDUS_WITHOUT_DATA = (IC_REQ, IC_RESP, RESPONSE_CAPSULE, R2T)
HEADER_LENGTHS = {
    IC_REQ: 128,
    IC_RESP: 128,
    H2C_TERM: 24,
    C2H_TERM: 24,
    COMMAND_CAPSULE: 72,
    RESPONSE_CAPSULE: 24,
    H2C_DATA: 24,
    C2H_DATA: 24,
    R2T: 24,
}
FROM_HOST = frozenset((IC_REQ, H2C_TERM, COMMAND_CAPSULE, H2C_DATA))
FROM_CONTROLLER = frozenset((IC_RESP, C2H_TERM, RESPONSE_CAPSULE, C2H_DATA, R2T))
LAST_PDU_FLAG = 0x04  # flag of data PDUs: the last PDU of the transfer
SUCCESS_FLAG = 0x08  # flag of C2HData: the command succeeded and no response capsule follows
DIGEST_FLAGS = 0x03  # HDGSTF and DDGSTF: the PDU carries a header or data digest
COMMON_HEADER = struct.Struct("<BBBBI")  # type, flags, HLEN, PDO, PLEN
MAX_TERM_DATA_BYTES = 128  # limit on the part of the faulty PDU's header in a TermReq
# Values of a TermReq's fatal error status (FES)
BAD_FIELD = 0x01
BAD_SEQUENCE = 0x02
OUT_OF_RANGE = 0x04
UNSUPPORTED = 0x06
# Values of its fatal error information (FEI) for an invalid field: the field's byte offset in the PDU
TYPE_OFFSET = 0
FLAGS_OFFSET = 1
HEADER_LENGTH_OFFSET = 2
DATA_OFFSET_OFFSET = 3
PDU_LENGTH_OFFSET = 4
FORMAT_VERSION_OFFSET = 8
ALIGNMENT_OFFSET = 10
DATA_LENGTH_OFFSET = 16


class PduError(ValueError):
    """A PDU that violates the specification.

    `status`, `info` and `header` are what a TermReq reports: the fatal error status, the fatal error
    information and the header of the faulty PDU.
    """

    def __init__(self, message: str, status: int = BAD_FIELD, info: int = 0, header: bytes = b"") -> None:
        super().__init__(message)
        self.status = status
        self.info = info
        self.header = header


@dataclass(slots=True, frozen=True)
class Pdu:
    """One PDU; `kind` is its type and `header` excludes the common header."""

    kind: int
    flags: int
    header: bytes
    data: bytes


class PduReader:
    """Splits the byte stream of one direction into PDUs; raises PduError as soon as one proves malformed.

    `allowed` holds the PDU types of the direction; `max_data` limits the data bytes of one PDU.
    """

    def __init__(self, allowed: frozenset[int], max_data: int = MAX_DATA_BYTES) -> None:
        self._allowed_types = allowed
        self._max_data = max_data
        self._header = b""  # header of the PDU being read, with the common header; empty between PDUs
        self._data = bytearray()
        self._data_length = 0

    @property
    def is_within_pdu(self) -> bool:
        """Whether the header of a PDU has been consumed and its data is not complete."""
        return bool(self._header)

    def feed(self, data: memoryview) -> tuple[int, Pdu | None]:
        """Consume bytes up to the end of a PDU; return their number, and the PDU if it is complete.

        Bytes that are not consumed must be passed again, followed by those received since.
        """
        consumed = 0
        if not self._header:
            consumed = self._read_header(data)
            if consumed == 0:
                return 0, None
        received = data[consumed : consumed + self._data_length - len(self._data)]
        self._data += received
        consumed += len(received)
        if len(self._data) < self._data_length:
            return consumed, None
        kind, flags = self._header[0], self._header[1]
        complete = Pdu(kind, flags, self._header[COMMON_HEADER.size :], bytes(self._data))
        self._header = b""
        self._data = bytearray()
        return consumed, complete

    def _read_header(self, data: memoryview) -> int:
        """Consume a PDU's header; return its length, or 0 if the header is incomplete."""
        if len(data) < COMMON_HEADER.size:
            return 0
        kind, _, header_length, data_offset, pdu_length = COMMON_HEADER.unpack_from(data)
        self._check_common_header(
            bytes(data[: COMMON_HEADER.size]), kind, header_length, data_offset, pdu_length
        )
        if len(data) < header_length:
            return 0
        self._header = bytes(data[:header_length])
        self._data_length = pdu_length - header_length
        return header_length

    def _check_common_header(
        self, header: bytes, kind: int, header_length: int, data_offset: int, pdu_length: int
    ) -> None:
        """Check a PDU's common header; raises PduError."""
        if kind not in self._allowed_types:
            raise PduError("PDU type not valid in this direction", BAD_FIELD, TYPE_OFFSET, header)
        if header[FLAGS_OFFSET] & DIGEST_FLAGS:
            raise PduError(
                "digest flags set, but no digests were negotiated", BAD_FIELD, FLAGS_OFFSET, header
            )
        if header_length != HEADER_LENGTHS[kind]:
            raise PduError(
                "header length does not match the PDU type", BAD_FIELD, HEADER_LENGTH_OFFSET, header
            )
        data_length = pdu_length - header_length
        if not 0 <= data_length <= self._data_limit(kind):
            raise PduError("PDU length out of range for the PDU type", BAD_FIELD, PDU_LENGTH_OFFSET, header)
        if data_length > 0 and kind not in TERM_PDUS and data_offset != header_length:
            raise PduError(
                "data offset differs from the header length", BAD_FIELD, DATA_OFFSET_OFFSET, header
            )

    def _data_limit(self, kind: int) -> int:
        if kind in PDUS_WITHOUT_DATA:
            return 0
        return MAX_TERM_DATA_BYTES if kind in TERM_PDUS else self._max_data


def pdu(kind: int, header: bytes, data: bytes = b"", flags: int = 0) -> bytes:
    """Encode a PDU; `header` excludes the common header, which is generated."""
    length = HEADER_LENGTHS[kind]
    data_offset = length if data and kind not in TERM_PDUS else 0
    return COMMON_HEADER.pack(kind, flags, length, data_offset, length + len(data)) + header + data


INITIALIZE_CONNECTION = struct.Struct("<HBBI112x")  # PFV, HPDA or CPDA, DGST, MAXR2T or MAXH2CDATA
TERMINATE_CONNECTION = struct.Struct("<HI10x")  # FES, FEI
DATA_TRANSFER = struct.Struct("<HHII4x")  # CCCID, TTAG, DATAO or R2TO, DATAL or R2TL


def ic_request(max_r2t: int = 1) -> bytes:
    """Encode an ICReq; `max_r2t` limits the outstanding R2Ts per command."""
    return pdu(IC_REQ, INITIALIZE_CONNECTION.pack(0, 0, 0, max_r2t - 1))


def ic_response(max_data: int = MAX_DATA_BYTES) -> bytes:
    """Encode an ICResp; `max_data` limits the data bytes per H2CData PDU."""
    return pdu(IC_RESP, INITIALIZE_CONNECTION.pack(0, 0, 0, max_data))


def parse_ic(received: Pdu) -> int:
    """Return the last field of an ICReq (MAXR2T, zero-based) or of an ICResp (MAXH2CDATA).

    Raises PduError if the format version, the alignment or the digests are not supported.
    """
    version, alignment, digests, last_field = INITIALIZE_CONNECTION.unpack(received.header)
    if version != 0:
        raise PduError("PDU format version is not supported", UNSUPPORTED, FORMAT_VERSION_OFFSET)
    if alignment or digests:
        raise PduError("alignment and digests are not supported", UNSUPPORTED, ALIGNMENT_OFFSET)
    return last_field


def term(kind: int, error: PduError) -> bytes:
    """Encode the H2CTermReq or C2HTermReq that reports an error."""
    return pdu(kind, TERMINATE_CONNECTION.pack(error.status, error.info), error.header[:MAX_TERM_DATA_BYTES])


def parse_term(received: Pdu) -> tuple[int, int]:
    """Return a TermReq's fatal error status and its information."""
    return TERMINATE_CONNECTION.unpack(received.header)


def data_pdu(kind: int, cid: int, tag: int, offset: int, data: bytes, flags: int = LAST_PDU_FLAG) -> bytes:
    """Encode an H2CData or C2HData PDU; `tag` is the transfer tag and `offset` the byte offset of `data`."""
    return pdu(kind, DATA_TRANSFER.pack(cid, tag, offset, len(data)), data, flags)


def r2t(cid: int, tag: int, offset: int, length: int) -> bytes:
    """Encode an R2T: the controller requests `length` bytes of a command's data, starting at `offset`."""
    return pdu(R2T, DATA_TRANSFER.pack(cid, tag, offset, length))


class DataTransfer(NamedTuple):
    """The header of an H2CData, C2HData or R2T PDU; `offset` and `length` are in bytes."""

    cid: int
    tag: int
    offset: int
    length: int


def parse_data(received: Pdu) -> DataTransfer:
    """Parse the header of an H2CData, C2HData or R2T PDU; raises PduError if its data length is wrong."""
    transfer = DataTransfer(*DATA_TRANSFER.unpack(received.header))
    if received.kind != R2T and transfer.length != len(received.data):
        raise PduError("data length field does not match the PDU length", BAD_FIELD, DATA_LENGTH_OFFSET)
    return transfer
