"""PDUs of the NVM Express TCP Transport Specification, a subset: no digests, no padding.

Numbers are little-endian.  `PduReader` is incremental: its owner feeds it bytes as they arrive.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple

MAX_DATA = 64 * 1024  # bytes of one command: what Identify states as MDTS

# PDU types
IC_REQ = 0x00
IC_RESP = 0x01
H2C_TERM = 0x02
C2H_TERM = 0x03
CAPSULE = 0x04
RESPONSE = 0x05
H2C_DATA = 0x06
C2H_DATA = 0x07
R2T = 0x09
TERM_PDUS = (H2C_TERM, C2H_TERM)
PDUS_WITHOUT_DATA = (IC_REQ, IC_RESP, RESPONSE, R2T)
HEADER_LENGTHS = {
    IC_REQ: 128,
    IC_RESP: 128,
    H2C_TERM: 24,
    C2H_TERM: 24,
    CAPSULE: 72,
    RESPONSE: 24,
    H2C_DATA: 24,
    C2H_DATA: 24,
    R2T: 24,
}
FROM_HOST = frozenset((IC_REQ, H2C_TERM, CAPSULE, H2C_DATA))
FROM_CONTROLLER = frozenset((IC_RESP, C2H_TERM, RESPONSE, C2H_DATA, R2T))
LAST = 0x04  # flag of data PDUs: the transfer's last
SUCCESS = 0x08  # flag of C2HData: the command succeeded, no response capsule follows
DIGESTS = 0x03  # flags of the header and data digests
COMMON = struct.Struct("<BBBBI")  # type, flags, HLEN, PDO, PLEN
MAX_TERM_DATA = 128  # bytes of the faulty PDU's header that a TermReq may carry
# Fatal error status of a TermReq
BAD_FIELD = 0x01
BAD_SEQUENCE = 0x02
OUT_OF_RANGE = 0x04
UNSUPPORTED = 0x06
# Its information for a faulty field: the offset of the field in the PDU, in bytes
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

    `status`, `info` and `header` are the TermReq's fatal error status, its information and the faulty header.
    """

    def __init__(self, text: str, status: int = BAD_FIELD, info: int = 0, header: bytes = b"") -> None:
        super().__init__(text)
        self.status = status
        self.info = info
        self.header = header


@dataclass(slots=True, frozen=True)
class Pdu:
    """One PDU: its type, flags, header without the common part, and data."""

    kind: int
    flags: int
    header: bytes
    data: bytes


class PduReader:
    """Splits a stream of one direction into PDUs; malformed ones raise PduError as soon as it shows.

    `allowed` are the direction's PDU types, `max_data` limits the bytes of a PDU's data.
    """

    def __init__(self, allowed: frozenset[int], max_data: int = MAX_DATA) -> None:
        self._allowed = allowed
        self._max_data = max_data
        self._header = b""  # of the PDU that is being read, with the common part
        self._data = bytearray()
        self._data_length = 0

    def feed(self, data: memoryview) -> tuple[int, Pdu | None]:
        """Consume bytes up to the end of a PDU; return how many, and the PDU if it is complete.

        Bytes that are not consumed must be presented again, with those that follow them.
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
        complete = Pdu(kind, flags, self._header[COMMON.size :], bytes(self._data))
        self._header = b""
        self._data = bytearray()
        return consumed, complete

    def _read_header(self, data: memoryview) -> int:
        """Consume a PDU's header and return its length; 0: it is incomplete."""
        if len(data) < COMMON.size:
            return 0
        kind, _, header_length, data_offset, pdu_length = COMMON.unpack_from(data)
        self._check(bytes(data[: COMMON.size]), kind, header_length, data_offset, pdu_length)
        if len(data) < header_length:
            return 0
        self._header = bytes(data[:header_length])
        self._data_length = pdu_length - header_length
        return header_length

    def _check(self, header: bytes, kind: int, header_length: int, data_offset: int, pdu_length: int) -> None:
        """Check a PDU's common header; raises PduError."""
        if kind not in self._allowed:
            raise PduError("PDU type not expected", BAD_FIELD, TYPE_OFFSET, header)
        if header[FLAGS_OFFSET] & DIGESTS:
            raise PduError("digests were not agreed on", BAD_FIELD, FLAGS_OFFSET, header)
        if header_length != HEADER_LENGTHS[kind]:
            raise PduError("header length wrong for the type", BAD_FIELD, HEADER_LENGTH_OFFSET, header)
        data_length = pdu_length - header_length
        if not 0 <= data_length <= self._max_data_of(kind):
            raise PduError("PDU length wrong for the type", BAD_FIELD, PDU_LENGTH_OFFSET, header)
        if data_length > 0 and kind not in TERM_PDUS and data_offset != header_length:
            raise PduError("data offset wrong", BAD_FIELD, DATA_OFFSET_OFFSET, header)

    def _max_data_of(self, kind: int) -> int:
        if kind in PDUS_WITHOUT_DATA:
            return 0
        return MAX_TERM_DATA if kind in TERM_PDUS else self._max_data


def pdu(kind: int, header: bytes, data: bytes = b"", flags: int = 0) -> bytes:
    """Encode a PDU from its header without the common part, and its data."""
    length = HEADER_LENGTHS[kind]
    data_offset = length if data and kind not in TERM_PDUS else 0
    return COMMON.pack(kind, flags, length, data_offset, length + len(data)) + header + data


INITIALIZE_CONNECTION = struct.Struct("<HBBI112x")  # PFV, HPDA or CPDA, DGST, MAXR2T or MAXH2CDATA
TERMINATE_CONNECTION = struct.Struct("<HI10x")  # FES, FEI
DATA_TRANSFER = struct.Struct("<HHII4x")  # CCCID, TTAG, DATAO or R2TO, DATAL or R2TL


def ic_request(max_r2t: int = 1) -> bytes:
    """Encode an ICReq; `max_r2t` is how many R2Ts may be outstanding for a command."""
    return pdu(IC_REQ, INITIALIZE_CONNECTION.pack(0, 0, 0, max_r2t - 1))


def ic_response(max_data: int = MAX_DATA) -> bytes:
    """Encode an ICResp; `max_data` is how many bytes an H2CData PDU may carry."""
    return pdu(IC_RESP, INITIALIZE_CONNECTION.pack(0, 0, 0, max_data))


def parse_ic(found: Pdu) -> int:
    """Return the last field of an ICReq (MAXR2T, zero-based) or of an ICResp (MAXH2CDATA).

    Raises PduError for a format version, an alignment or digests that are not supported.
    """
    version, alignment, digests, last_field = INITIALIZE_CONNECTION.unpack(found.header)
    if version != 0:
        raise PduError("PDU format version not known", UNSUPPORTED, FORMAT_VERSION_OFFSET)
    if alignment or digests:
        raise PduError("alignment and digests are not supported", UNSUPPORTED, ALIGNMENT_OFFSET)
    return last_field


def term(kind: int, error: PduError) -> bytes:
    """Encode the H2CTermReq or C2HTermReq that reports an error."""
    return pdu(kind, TERMINATE_CONNECTION.pack(error.status, error.info), error.header[:MAX_TERM_DATA])


def parse_term(found: Pdu) -> tuple[int, int]:
    """Return a TermReq's fatal error status and its information."""
    return TERMINATE_CONNECTION.unpack(found.header)


def data_pdu(kind: int, cid: int, tag: int, offset: int, data: bytes, flags: int = LAST) -> bytes:
    """Encode an H2CData or C2HData PDU; `tag` is the transfer tag, `offset` that of the data in bytes."""
    return pdu(kind, DATA_TRANSFER.pack(cid, tag, offset, len(data)), data, flags)


def r2t(cid: int, tag: int, offset: int, length: int) -> bytes:
    """Encode an R2T, with which a controller asks for `length` bytes of a command's data from `offset` on."""
    return pdu(R2T, DATA_TRANSFER.pack(cid, tag, offset, length))


class DataTransfer(NamedTuple):
    """The header of an H2CData, C2HData or R2T PDU; `offset` and `length` are in bytes."""

    cid: int
    tag: int
    offset: int
    length: int


def parse_data(found: Pdu) -> DataTransfer:
    """Parse the header of an H2CData, C2HData or R2T PDU; raises PduError if its length is wrong."""
    transfer = DataTransfer(*DATA_TRANSFER.unpack(found.header))
    if found.kind != R2T and transfer.length != len(found.data):
        raise PduError("data length differs from the PDU's", BAD_FIELD, DATA_LENGTH_OFFSET)
    return transfer
