"""Divides the process's descriptors and memory among clients, targets and the program itself."""

from __future__ import annotations

import resource
from dataclasses import dataclass

# Descriptors for the program itself, discovery, operators, and clients about to be rejected; if descriptors
# are few, at most MAX_PROGRAM_FRACTION of them.
PROGRAM_DESCRIPTORS = 88
MAX_PROGRAM_FRACTION = 0.625
# Target connections' share of the remaining descriptors: each client connection needs one, for as long as its
# client or its target is slow.
TARGET_CONNECTION_FRACTION = 0.5
MIN_CONNECTIONS = 16  # minimum for clients and for targets, even with few descriptors
# With more client connections than a fifth of the descriptors, idle ones are closed sooner.
USUAL_CLIENTS_DIVISOR = 5

PROGRAM_MEMORY_BYTES = 24 * 1024 * 1024  # for the program itself and small allocations
# Fractions of the remaining memory.
RESPONSE_FRACTION = 0.2  # for responses arriving, and as much again for unread ones
REQUEST_BODY_FRACTION = 0.5  # for long request bodies
NVME_FRACTION = 0.3  # for the data of commands, and as much again for unread responses
MIN_BUDGET_BYTES = 2 * 1024 * 1024  # minimum of each memory budget, even with little memory


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """The limits into which descriptors and memory are divided."""

    max_client_connections: int
    usual_client_connections: int  # above this, idle connections are closed sooner
    max_target_connections: int
    response_bytes: int
    request_body_bytes: int
    nvme_bytes: int


def divide_resources(max_descriptors: int, memory_bytes: int) -> ResourceLimits:
    """Divide the configured limits, or the process's soft limit of descriptors if that is lower."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(max_descriptors, soft_limit)
    connections = descriptors - min(PROGRAM_DESCRIPTORS, int(descriptors * MAX_PROGRAM_FRACTION))
    target_connections = max(MIN_CONNECTIONS, int(connections * TARGET_CONNECTION_FRACTION))
    return ResourceLimits(
        max_client_connections=max(MIN_CONNECTIONS, connections - target_connections),
        usual_client_connections=descriptors // USUAL_CLIENTS_DIVISOR,
        max_target_connections=target_connections,
        response_bytes=_memory_budget(memory_bytes, RESPONSE_FRACTION),
        request_body_bytes=_memory_budget(memory_bytes, REQUEST_BODY_FRACTION),
        nvme_bytes=_memory_budget(memory_bytes, NVME_FRACTION),
    )


def _memory_budget(memory_bytes: int, fraction: float) -> int:
    return max(MIN_BUDGET_BYTES, int((memory_bytes - PROGRAM_MEMORY_BYTES) * fraction))
