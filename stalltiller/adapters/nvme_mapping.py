"""How NVMe commands become requests, and what of a command passes on to a target."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Namespace:
    """What the operator's file says of a namespace."""

    volume: int
    plan: int
    shard: int
    hosts: int
    blocks: int
    block_size: int
    blocks_per_unit: float


@dataclass(slots=True, frozen=True)
class Mapping:
    """How commands become requests: namespaces by id, and for an opcode its class and deadline."""

    subsystem: str
    namespaces: dict[int, Namespace]
    opcodes: dict[int, tuple[int, float]]


@dataclass(slots=True, frozen=True)
class Payload:
    """A command on its way to a target; `size` is what a read brings back."""

    opcode: int
    nsid: int
    lba: int
    blocks: int
    data: bytes
    size: int
