"""NVMe over TCP, a subset: PDUs, Fabrics, admin and I/O commands.  No digests, no padding, no metadata.

Names and layouts are those of the NVM Express Base and TCP Transport specifications; numbers are
little-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAX_DATA = 64 * 1024  # bytes of one command
IN_CAPSULE = 8 * 1024  # bytes of write data that a capsule may carry
PAGE = 4096
ADMIN_ENTRIES, IO_ENTRIES = 32, 64  # the longest queues that are offered

# --- PDUs -----------------------------------------------------------------------------------------
IC_REQ, IC_RESP, H2C_TERM, C2H_TERM, CAPSULE, RESPONSE, H2C_DATA, C2H_DATA, R2T = (
    0x00,
    0x01,
    0x02,
    0x03,
    0x04,
    0x05,
    0x06,
    0x07,
    0x09,
)
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
LAST, SUCCESS = 0x04, 0x08  # flags of data PDUs
DIGESTS = 0x03
COMMON = struct.Struct("<BBBBI")  # type, flags, HLEN, PDO, PLEN
MAX_TERM_DATA = 128
# Fatal error status of a TermReq
BAD_FIELD, BAD_SEQUENCE, OUT_OF_RANGE, UNSUPPORTED = 0x01, 0x02, 0x04, 0x06

# --- Commands -------------------------------------------------------------------------------------
WRITE, READ = 0x01, 0x02
IDENTIFY, ABORT, KEEP_ALIVE, FABRICS = 0x06, 0x08, 0x18, 0x7F
PROPERTY_SET, CONNECT, PROPERTY_GET = 0x00, 0x01, 0x04
CAP, VS, CC, CSTS = 0x00, 0x08, 0x14, 0x1C
CC_ENABLE, CC_SHUTDOWN, CSTS_READY, CSTS_SHUT = 0x1, 0xC000, 0x1, 0x8
VERSION = 0x00010400
CNS_NAMESPACE, CNS_CONTROLLER, CNS_ACTIVE = 0x00, 0x01, 0x02
CONNECT_SIZE, IDENTIFY_SIZE = 1024, 4096
DYNAMIC = 0xFFFF  # controller id by which a host leaves the choice to the controller
IN_CAPSULE_SGL, TRANSPORT_SGL = 0x01, 0x5A

# --- Status: type << 8 | code ---------------------------------------------------------------------
OK, BAD_OPCODE, INVALID_FIELD, INTERNAL, ABORTED, BAD_NAMESPACE, SEQUENCE, NOT_READY, OUT_OF_LBA = (
    0x000,
    0x001,
    0x002,
    0x006,
    0x007,
    0x00B,
    0x00C,
    0x082,
    0x080,
)
BAD_CONNECT, BUSY = 0x182, 0x181


class PduError(ValueError):
    """A PDU against the specification: what a TermReq says of it."""

    def __init__(self, text: str, status: int = BAD_FIELD, info: int = 0, header: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.info, self.header = status, info, header


@dataclass(slots=True, frozen=True)
class Pdu:
    """One PDU: its type, flags, header after the common part, and data."""

    kind: int
    flags: int
    header: bytes
    data: bytes


class PduReader:
    """Splits a stream into PDUs of one direction, and refuses what is malformed as soon as it shows."""

    def __init__(self, allowed: frozenset[int], most: int = MAX_DATA) -> None:
        self._allowed, self._most = allowed, most
        self._need = 0
        self._head = b""
        self._data = bytearray()

    def feed(self, data: memoryview) -> tuple[int, Pdu | None]:
        """Take bytes up to the end of a PDU: how many, and the PDU if it is whole."""
        used = 0
        if not self._head:
            if len(data) < COMMON.size:
                return 0, None
            kind, _, length, offset, total = COMMON.unpack_from(data)
            self._check(bytes(data[: COMMON.size]), kind, length, offset, total)
            if len(data) < length:
                return 0, None
            self._head, self._need = bytes(data[:length]), total - length
            used = length
        part = data[used : used + self._need - len(self._data)]
        self._data += part
        used += len(part)
        if len(self._data) < self._need:
            return used, None
        pdu = Pdu(self._head[0], self._head[1], self._head[COMMON.size :], bytes(self._data))
        self._head, self._data = b"", bytearray()
        return used, pdu

    def _check(self, head: bytes, kind: int, length: int, offset: int, total: int) -> None:
        if kind not in self._allowed:
            raise PduError("PDU type not expected", BAD_FIELD, 0, head)
        if head[1] & DIGESTS:
            raise PduError("digests were not agreed on", BAD_FIELD, 1, head)
        if length != HEADER_LENGTHS[kind]:
            raise PduError("header length wrong for the type", BAD_FIELD, 2, head)
        most = MAX_TERM_DATA if kind in (H2C_TERM, C2H_TERM) else self._most
        if kind in (IC_REQ, IC_RESP, RESPONSE, R2T):
            most = 0
        if total < length or total - length > most:
            raise PduError("PDU length wrong for the type", BAD_FIELD, 4, head)
        if total > length and kind not in (H2C_TERM, C2H_TERM) and offset != length:
            raise PduError("data offset wrong", BAD_FIELD, 3, head)


def pdu(kind: int, header: bytes, data: bytes = b"", flags: int = 0) -> bytes:
    length = HEADER_LENGTHS[kind]
    offset = length if data and kind not in (H2C_TERM, C2H_TERM) else 0
    return COMMON.pack(kind, flags, length, offset, length + len(data)) + header + data


_IC = struct.Struct("<HBBI112x")
_TERM = struct.Struct("<HI10x")
_DATA = struct.Struct("<HHII4x")
_CQE = struct.Struct("<QHHHH")


def ic_request(max_r2t: int = 1) -> bytes:
    return pdu(IC_REQ, _IC.pack(0, 0, 0, max_r2t - 1))


def ic_response(max_data: int = MAX_DATA) -> bytes:
    return pdu(IC_RESP, _IC.pack(0, 0, 0, max_data))


def parse_ic(found: Pdu) -> int:
    """The last field: of a request MAXR2T, of a response MAXH2CDATA."""
    version, alignment, digests, last = _IC.unpack(found.header)
    if version != 0:
        raise PduError("PDU format version not known", UNSUPPORTED, 8)
    if alignment or digests:
        raise PduError("alignment and digests are not supported", UNSUPPORTED, 10)
    return last


def term(kind: int, error: PduError) -> bytes:
    return pdu(kind, _TERM.pack(error.status, error.info), error.header[:MAX_TERM_DATA])


def parse_term(found: Pdu) -> tuple[int, int]:
    """Fatal error status and its information."""
    return _TERM.unpack(found.header)


def data_pdu(kind: int, cid: int, tag: int, offset: int, data: bytes, flags: int = LAST) -> bytes:
    return pdu(kind, _DATA.pack(cid, tag, offset, len(data)), data, flags)


def r2t(cid: int, tag: int, offset: int, length: int) -> bytes:
    return pdu(R2T, _DATA.pack(cid, tag, offset, length))


def parse_data(found: Pdu) -> tuple[int, int, int, int]:
    """Of H2CData, C2HData and R2T: command id, transfer tag, offset, length."""
    cid, tag, offset, length = _DATA.unpack(found.header)
    if found.kind != R2T and length != len(found.data):
        raise PduError("data length differs from the PDU's", BAD_FIELD, 16)
    return cid, tag, offset, length


# --- Submission and completion entries --------------------------------------------------------------
@dataclass(slots=True, frozen=True)
class Command:
    """A submission queue entry: the fields that the subset uses.  For Fabrics `nsid` holds FCTYPE."""

    opcode: int
    cid: int
    nsid: int
    sgl: int
    length: int
    raw: bytes

    def u16(self, at: int) -> int:
        return int.from_bytes(self.raw[at : at + 2], "little")

    def u32(self, at: int) -> int:
        return int.from_bytes(self.raw[at : at + 4], "little")

    def u64(self, at: int) -> int:
        return int.from_bytes(self.raw[at : at + 8], "little")

    @property
    def lba(self) -> int:
        return self.u64(40)

    @property
    def blocks(self) -> int:
        return self.u16(48) + 1


_SQE = struct.Struct("<BBHI16xQI3xB24s")


def parse_command(found: Pdu) -> Command:
    raw = found.header
    opcode, flags, cid, nsid, _, length, sgl, _ = _SQE.unpack(raw)
    if flags & 0x3F:
        raise PduError("fused commands are not supported", BAD_FIELD, 9)
    if sgl == IN_CAPSULE_SGL and length != len(found.data):
        raise PduError("in-capsule length differs from the PDU's", BAD_FIELD, 8 + 32)
    if sgl != IN_CAPSULE_SGL and found.data:
        raise PduError("capsule data without a descriptor", BAD_FIELD, 8 + 39)
    return Command(opcode, cid, nsid & 0xFF if opcode == FABRICS else nsid, sgl, length, raw)


def command(
    opcode: int, cid: int, nsid: int = 0, rest: bytes = b"", length: int = 0, data: bytes = b""
) -> bytes:
    """A capsule; `length` bytes follow or come back apart unless `data` goes along.  `rest` is CDW10 on."""
    sgl = IN_CAPSULE_SGL if data else TRANSPORT_SGL if length else 0
    entry = _SQE.pack(opcode, 0x40, cid, nsid, 0, len(data) or length, sgl, rest)
    return pdu(CAPSULE, entry, data)


def io_command(
    opcode: int, cid: int, nsid: int, lba: int, blocks: int, length: int, data: bytes = b""
) -> bytes:
    return command(opcode, cid, nsid, struct.pack("<QH", lba, blocks - 1), length, data)


def connect(
    cid: int,
    queue: int,
    entries: int,
    keep_alive: float,
    controller: int,
    host: bytes,
    subsystem: str,
    host_name: str,
) -> bytes:
    data = host.ljust(16, b"\0")[:16] + struct.pack("<H238x", controller)
    data += subsystem.encode().ljust(256, b"\0") + host_name.encode().ljust(256, b"\0") + bytes(256)
    rest = struct.pack("<HHHBxI", 0, queue, entries - 1, 0, round(keep_alive * 1000))
    return command(FABRICS, cid, CONNECT, rest, data=data)


def parse_connect(data: bytes) -> tuple[int, str, str]:
    """Controller id, subsystem and host names."""
    names = [data[at : at + 256].partition(b"\0")[0].decode("utf-8", "replace") for at in (256, 512)]
    return int.from_bytes(data[16:18], "little"), names[0], names[1]


def property_get(cid: int, offset: int, wide: bool = False) -> bytes:
    return command(FABRICS, cid, PROPERTY_GET, struct.pack("<B3xI", wide, offset))


def property_set(cid: int, offset: int, value: int) -> bytes:
    return command(FABRICS, cid, PROPERTY_SET, struct.pack("<B3xIQ", 0, offset, value))


def capabilities() -> int:
    """CAP: queue entries, contiguous queues, a time-out of 5 s, the NVM command set."""
    return (IO_ENTRIES - 1) | 1 << 16 | 10 << 24 | 1 << 37


@dataclass(slots=True, frozen=True)
class Completion:
    """A completion queue entry; `delay` is the index of a Command Retry Delay, 0 for none."""

    cid: int
    status: int = OK
    result: int = 0
    delay: int = 0
    no_retry: bool = False


def completion(c: Completion, queue: int, head: int) -> bytes:
    word = c.status << 1 | c.delay << 12 | c.no_retry << 15
    return pdu(RESPONSE, _CQE.pack(c.result, head, queue, c.cid, word))


def parse_completion(found: Pdu) -> Completion:
    result, _, _, cid, word = _CQE.unpack(found.header)
    return Completion(cid, word >> 1 & 0x7FF, result, word >> 12 & 3, bool(word >> 15))


# --- Identify -------------------------------------------------------------------------------------
def identify_controller(
    controller: int, name: str, subsystem: str, delays: tuple[int, int, int], namespaces: int
) -> bytes:
    """The controller's data; `delays` are the Command Retry Delays in units of 100 ms."""
    page = bytearray(IDENTIFY_SIZE)
    page[4:24] = name.encode()[:20].ljust(20)
    page[24:64] = b"stalltiller".ljust(40)
    page[64:72] = b"1".ljust(8)
    page[77] = (MAX_DATA // PAGE).bit_length() - 1  # MDTS
    struct.pack_into("<HI", page, 78, controller, VERSION)
    page[111] = 1  # an I/O controller
    struct.pack_into("<3H", page, 128, *delays)
    page[258] = 3  # abort command limit
    struct.pack_into("<H", page, 320, 10)  # keep alive granularity
    page[512], page[513] = 0x66, 0x44
    struct.pack_into("<HI", page, 514, IO_ENTRIES, namespaces)
    struct.pack_into("<I", page, 536, 1 << 20 | 1)  # SGLs, with offsets into the capsule
    page[768:1024] = subsystem.encode()[:255].ljust(256, b"\0")
    struct.pack_into("<II", page, 1792, (IN_CAPSULE + 64) // 16, 1)
    page[1803] = 1
    return bytes(page)


def identify_namespace(blocks: int, block_size: int) -> bytes:
    page = bytearray(IDENTIFY_SIZE)
    struct.pack_into("<QQQ", page, 0, blocks, blocks, blocks)
    page[130] = block_size.bit_length() - 1
    return bytes(page)


def active_namespaces(ids: list[int], after: int) -> bytes:
    page = bytearray(IDENTIFY_SIZE)
    found = [i for i in sorted(ids) if i > after][: IDENTIFY_SIZE // 4]
    struct.pack_into(f"<{len(found)}I", page, 0, *found)
    return bytes(page)


def capsule_limit(page: bytes) -> int:
    """Bytes of data that a controller takes in a capsule, from its Identify data."""
    return max(0, int.from_bytes(page[1792:1796], "little") * 16 - 64)


def retry_delays(page: bytes) -> tuple[int, int, int]:
    return struct.unpack_from("<3H", page, 128)
