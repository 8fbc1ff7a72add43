"""How NVMe commands become requests, and what of a command passes on to a target.

These are values from the operator's file; nothing here changes after it was read.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(slots=True, frozen=True)
class Namespace:
    """What the operator's file says of a namespace."""

    volume: int
    plan_index: int
    shard: int
    initiator_count: int  # how many initiators serve the volume
    blocks: int
    block_size: int
    blocks_per_unit: float


class OpcodeMapping(NamedTuple):
    """The request class of an opcode, and its deadline in seconds."""

    class_index: int
    deadline: float


@dataclass(slots=True, frozen=True)
class Mapping:
    """How commands become requests: the namespaces by identifier, the request classes by opcode."""

    subsystem: str
    namespaces: dict[int, Namespace]
    opcodes: dict[int, OpcodeMapping]


@dataclass(slots=True, frozen=True)
class Payload:
    """A command on its way to a target; `size` is the number of bytes that a read brings back."""

    opcode: int
    nsid: int
    lba: int
    blocks: int
    data: bytes
    size: int
