"""A subset of NVMe over TCP: Fabrics, admin and I/O commands, without metadata.

Names and layouts are those of the NVM Express Base Specification; integers are little-endian.  The PDUs that
carry the commands are in `nvme_pdu`; its public names are exported here as well.
"""

# ruff: noqa: F401  (names imported from `nvme_pdu` are part of this module's interface)

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple

from stalltiller.protocol.nvme_pdu import (
    BAD_FIELD,
    BAD_SEQUENCE,
    C2H_DATA,
    C2H_TERM,
    COMMAND_CAPSULE,
    FROM_CONTROLLER,
    FROM_HOST,
    H2C_DATA,
    H2C_TERM,
    HEADER_LENGTHS,
    IC_REQ,
    IC_RESP,
    LAST_PDU_FLAG,
    MAX_DATA_BYTES,
    OUT_OF_RANGE,
    R2T,
    RESPONSE_CAPSULE,
    SUCCESS_FLAG,
    Pdu,
    PduError,
    PduReader,
    data_pdu,
    ic_request,
    ic_response,
    parse_data,
    parse_ic,
    parse_term,
    pdu,
    r2t,
    term,
)

MAX_IN_CAPSULE_BYTES = 8 * 1024  # bytes of write data that a capsule may carry; larger writes wait for an R2T
MEMORY_PAGE_BYTES = 4096  # minimum memory page size (CAP.MPSMIN), the unit of MDTS
MAX_ADMIN_QUEUE_ENTRIES = 32
MAX_IO_QUEUE_ENTRIES = 64

# --- Commands -------------------------------------------------------------------------------------
# Opcodes of I/O commands
WRITE = 0x01
READ = 0x02
# Opcodes of admin commands
IDENTIFY = 0x06
ABORT = 0x08
KEEP_ALIVE = 0x18
FABRICS = 0x7F
# Types of Fabrics commands
PROPERTY_SET = 0x00
CONNECT = 0x01
PROPERTY_GET = 0x04
# Offsets of controller properties
CAP = 0x00
VS = 0x08
CC = 0x14
CSTS = 0x1C
# Bits of the properties CC and CSTS
CC_ENABLE = 0x1
CC_SHUTDOWN = 0xC000
CSTS_READY = 0x1
CSTS_SHUTDOWN_COMPLETE = 0x8
VERSION = 0x00010400  # NVM Express 1.4
# CNS values of Identify
CNS_NAMESPACE = 0x00
CNS_CONTROLLER = 0x01
CNS_ACTIVE_NAMESPACES = 0x02
CONNECT_DATA_BYTES = 1024
IDENTIFY_DATA_BYTES = 4096  # bytes of an Identify data structure
DYNAMIC_CONTROLLER_ID = 0xFFFF  # in the dynamic controller model, the controller assigns an identifier
# SGL descriptor types with their subtypes
IN_CAPSULE_SGL = 0x01
TRANSPORT_SGL = 0x5A
PSDT_SGL = 0x40  # command flags: SGLs describe the data transfer
UNSUPPORTED_FLAGS = 0x3F  # command flags: fused operation and reserved bits

# Byte offsets in a command capsule, reported as `PduError.info`.  The submission queue entry follows the
# common header of 8 bytes.
COMMAND_FLAGS_OFFSET = 9
SGL_LENGTH_OFFSET = 8 + 32
SGL_TYPE_OFFSET = 8 + 39

# --- Status: type << 8 | code ---------------------------------------------------------------------
OK = 0x000
BAD_OPCODE = 0x001
INVALID_FIELD = 0x002
INTERNAL_ERROR = 0x006
ABORTED = 0x007
BAD_NAMESPACE = 0x00B
COMMAND_SEQUENCE_ERROR = 0x00C
NAMESPACE_NOT_READY = 0x082
OUT_OF_LBA = 0x080
BAD_CONNECT = 0x182
CONTROLLER_BUSY = 0x181


@dataclass(slots=True, frozen=True)
class Command:
    """A submission queue entry, reduced to the fields that are used.

    `sgl_type` is the SGL descriptor's type and `length` its length in bytes; `raw` is the whole entry.  For
    Fabrics commands `nsid` holds the Fabrics command type.
    """

    opcode: int
    cid: int
    nsid: int
    sgl_type: int
    length: int
    raw: bytes

    def u16(self, offset: int) -> int:
        """Return the 16-bit integer at a byte offset of the entry."""
        return int.from_bytes(self.raw[offset : offset + 2], "little")

    def u32(self, offset: int) -> int:
        """Return the 32-bit integer at a byte offset of the entry."""
        return int.from_bytes(self.raw[offset : offset + 4], "little")

    def u64(self, offset: int) -> int:
        """Return the 64-bit integer at a byte offset of the entry."""
        return int.from_bytes(self.raw[offset : offset + 8], "little")

    @property
    def lba(self) -> int:
        """The first logical block of a read or write (SLBA)."""
        return self.u64(40)

    @property
    def blocks(self) -> int:
        """The number of logical blocks of a read or write (NLB, which is zero-based)."""
        return self.u16(48) + 1


COMPLETION_ENTRY = struct.Struct("<QHHHH")  # result, SQHD, SQID, CID, status
# Opcode, flags, CID, NSID; the SGL descriptor: address, length and type; command dwords 10 to 15
SUBMISSION_ENTRY = struct.Struct("<BBHI16xQI3xB24s")


def parse_command(received: Pdu) -> Command:
    """Parse a command capsule; raises PduError for unsupported flags or a wrong SGL descriptor."""
    raw = received.header
    opcode, flags, cid, nsid, _, length, sgl_type, _ = SUBMISSION_ENTRY.unpack(raw)
    if flags & UNSUPPORTED_FLAGS:
        raise PduError("fused operation or reserved command flags", BAD_FIELD, COMMAND_FLAGS_OFFSET)
    if sgl_type == IN_CAPSULE_SGL and length != len(received.data):
        raise PduError("SGL length does not match the in-capsule data", BAD_FIELD, SGL_LENGTH_OFFSET)
    if sgl_type != IN_CAPSULE_SGL and received.data:
        raise PduError("in-capsule data without an in-capsule SGL descriptor", BAD_FIELD, SGL_TYPE_OFFSET)
    return Command(opcode, cid, nsid & 0xFF if opcode == FABRICS else nsid, sgl_type, length, raw)


def command(
    opcode: int, cid: int, nsid: int = 0, command_dwords: bytes = b"", length: int = 0, data: bytes = b""
) -> bytes:
    """Encode a command capsule; `command_dwords` holds the command dwords 10 to 15.

    `data` is carried in the capsule.  Without it, `length` bytes are transferred in data PDUs, in either
    direction.
    """
    sgl_type = TRANSPORT_SGL if length else 0
    if data:
        sgl_type = IN_CAPSULE_SGL
    entry = SUBMISSION_ENTRY.pack(
        opcode, PSDT_SGL, cid, nsid, 0, len(data) or length, sgl_type, command_dwords
    )
    return pdu(COMMAND_CAPSULE, entry, data)


def io_command(
    opcode: int, cid: int, nsid: int, lba: int, blocks: int, length: int, data: bytes = b""
) -> bytes:
    """Encode a read or write of logical blocks; `length` and `data` are as in `command`."""
    return command(opcode, cid, nsid, struct.pack("<QH", lba, blocks - 1), length, data)


def connect(
    cid: int,
    queue_id: int,
    entry_count: int,
    keep_alive_seconds: float,
    controller_id: int,
    host_id: bytes,
    subsystem_nqn: str,
    host_nqn: str,
) -> bytes:
    """Encode a Fabrics Connect command with its data.

    `entry_count` is the size of the queue, `keep_alive_seconds` the keep alive timeout (KATO) and `host_id`
    an identifier of 16 bytes.
    """
    data = host_id.ljust(16, b"\0")[:16] + struct.pack("<H238x", controller_id)
    data += subsystem_nqn.encode().ljust(256, b"\0") + host_nqn.encode().ljust(256, b"\0") + bytes(256)
    command_dwords = struct.pack("<HHHBxI", 0, queue_id, entry_count - 1, 0, round(keep_alive_seconds * 1000))
    return command(FABRICS, cid, CONNECT, command_dwords, data=data)


class ConnectData(NamedTuple):
    """The data of a Connect command: the controller identifier and both NVMe qualified names."""

    controller_id: int
    subsystem_nqn: str
    host_nqn: str


def parse_connect(data: bytes) -> ConnectData:
    """Parse the data of a Connect command, which must have CONNECT_DATA_BYTES bytes."""
    return ConnectData(
        controller_id=int.from_bytes(data[16:18], "little"),
        subsystem_nqn=_decode_name(data[256:512]),
        host_nqn=_decode_name(data[512:768]),
    )


def _decode_name(data: bytes) -> str:
    return data.partition(b"\0")[0].decode("utf-8", "replace")


def property_get(cid: int, offset: int, wide: bool = False) -> bytes:
    """Encode a Fabrics Property Get command; `wide` selects a property of 8 bytes instead of 4."""
    return command(FABRICS, cid, PROPERTY_GET, struct.pack("<B3xI", wide, offset))


def property_set(cid: int, offset: int, value: int) -> bytes:
    """Encode a Fabrics Property Set command for a property of 4 bytes."""
    return command(FABRICS, cid, PROPERTY_SET, struct.pack("<B3xIQ", 0, offset, value))


def capabilities() -> int:
    """Return the property CAP: queue size, contiguous queues, a timeout of 5 s and the NVM command set."""
    return (MAX_IO_QUEUE_ENTRIES - 1) | 1 << 16 | 10 << 24 | 1 << 37


@dataclass(slots=True, frozen=True)
class Completion:
    """A completion queue entry; `delay` is the 1-based index of a Command Retry Delay, 0 for none."""

    cid: int
    status: int = OK
    result: int = 0
    delay: int = 0
    no_retry: bool = False


def completion(entry: Completion, queue_id: int, submission_head: int) -> bytes:
    """Encode a response capsule; `queue_id` names the submission queue, `submission_head` is its head."""
    status_field = entry.status << 1 | entry.delay << 12 | entry.no_retry << 15
    return pdu(
        RESPONSE_CAPSULE,
        COMPLETION_ENTRY.pack(entry.result, submission_head, queue_id, entry.cid, status_field),
    )


def parse_completion(received: Pdu) -> Completion:
    """Parse a response capsule."""
    result, _, _, cid, status_field = COMPLETION_ENTRY.unpack(received.header)
    return Completion(
        cid=cid,
        status=status_field >> 1 & 0x7FF,
        result=result,
        delay=status_field >> 12 & 3,
        no_retry=bool(status_field >> 15),
    )


# --- Identify -------------------------------------------------------------------------------------
def identify_controller(
    controller_id: int, serial: str, subsystem_nqn: str, delays: tuple[int, int, int], max_nsid: int
) -> bytes:
    """Encode the Identify Controller data; `delays` are the Command Retry Delays in units of 100 ms."""
    page = bytearray(IDENTIFY_DATA_BYTES)
    page[4:24] = serial.encode()[:20].ljust(20)
    page[24:64] = b"stalltiller".ljust(40)
    page[64:72] = b"1".ljust(8)
    page[77] = (MAX_DATA_BYTES // MEMORY_PAGE_BYTES).bit_length() - 1  # MDTS
    struct.pack_into("<HI", page, 78, controller_id, VERSION)
    page[111] = 1  # CNTRLTYPE: I/O controller
    struct.pack_into("<3H", page, 128, *delays)
    page[258] = 3  # ACL, zero-based
    struct.pack_into("<H", page, 320, 10)  # KAS: keep alive granularity in units of 100 ms
    page[512], page[513] = 0x66, 0x44  # SQES and CQES: entries of 64 and 16 bytes
    struct.pack_into("<HI", page, 514, MAX_IO_QUEUE_ENTRIES, max_nsid)
    struct.pack_into("<I", page, 536, 1 << 20 | 1)  # SGLS: SGLs, with offsets into the capsule
    page[768:1024] = subsystem_nqn.encode()[:255].ljust(256, b"\0")
    struct.pack_into("<II", page, 1792, (MAX_IN_CAPSULE_BYTES + 64) // 16, 1)  # IOCCSZ, IORCSZ
    page[1803] = 1  # MSDBD
    return bytes(page)


def identify_namespace(blocks: int, block_size: int) -> bytes:
    """Encode the Identify Namespace data of a namespace without metadata; `block_size` is in bytes."""
    page = bytearray(IDENTIFY_DATA_BYTES)
    struct.pack_into("<QQQ", page, 0, blocks, blocks, blocks)
    page[130] = block_size.bit_length() - 1
    return bytes(page)


def active_namespaces(ids: list[int], after: int) -> bytes:
    """Encode the list of active namespace identifiers greater than `after`."""
    page = bytearray(IDENTIFY_DATA_BYTES)
    active_ids = [namespace_id for namespace_id in sorted(ids) if namespace_id > after][
        : IDENTIFY_DATA_BYTES // 4
    ]
    struct.pack_into(f"<{len(active_ids)}I", page, 0, *active_ids)
    return bytes(page)


def capsule_limit(page: bytes) -> int:
    """Return the limit on in-capsule data in bytes, from Identify Controller data (IOCCSZ)."""
    return max(0, int.from_bytes(page[1792:1796], "little") * 16 - 64)


class RetryDelays(NamedTuple):
    """The Command Retry Delays of a controller, in units of 100 ms."""

    first: int
    second: int
    third: int


def retry_delays(page: bytes) -> RetryDelays:
    """Return the Command Retry Delays from Identify Controller data."""
    return RetryDelays(*struct.unpack_from("<3H", page, 128))
