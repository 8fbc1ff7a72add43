"""The mapping of NVMe commands to requests, and the part of a command that is sent to a target.

The mapping comes from the operator's file and does not change once loaded.  It refers to request classes and
plans by name: their positions hold for one version of the settings only.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(slots=True, frozen=True)
class Namespace:
    """A namespace as configured in the operator's file."""

    volume: int
    plan: str  # a name in the settings
    shard: int
    initiator_count: int  # initiators that serve the volume
    blocks: int
    block_size: int
    blocks_per_unit: float


class OpcodeMapping(NamedTuple):
    """The request class of an opcode and its deadline in seconds."""

    request_class: str  # a name in the settings
    deadline: float


@dataclass(slots=True, frozen=True)
class Mapping:
    """The mapping of commands to requests: namespaces by identifier, request classes by opcode."""

    subsystem: str
    namespaces: dict[int, Namespace]
    opcodes: dict[int, OpcodeMapping]


@dataclass(slots=True, frozen=True)
class Payload:
    """A command to be sent to a target; `read_size` is the number of bytes that a read returns."""

    opcode: int
    nsid: int
    lba: int
    blocks: int
    data: bytes
    read_size: int
