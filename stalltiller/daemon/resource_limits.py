"""Divides the process's descriptors and memory among clients, targets and the program itself."""

from __future__ import annotations

import resource
from dataclasses import dataclass

# Descriptors for the program, discovery, operators, and clients about to be rejected; where there are few
# descriptors, no more than this part of all.
OWN_DESCRIPTORS = 88
MAX_OWN_FRACTION = 0.625
TARGET_FRACTION = 0.45  # of the remaining descriptors: for connections to targets
MIN_CONNECTIONS = 16  # of clients and to targets, however few descriptors there are
# A fifth of the descriptors is the usual number of clients; with more, idle ones are closed sooner.
USUAL_CLIENTS_DIVISOR = 5

OWN_MEMORY_BYTES = 24 * 1024 * 1024  # for the program itself and small allocations
RESPONSE_FRACTION = 0.2  # of the remaining memory: for responses arriving, and as much for unread ones
REQUEST_BODY_FRACTION = 0.5  # of the remaining memory: for the long bodies of requests
NVME_FRACTION = 0.3  # of the remaining memory: for the data of commands, and as much for unread responses
MIN_BUDGET_BYTES = 2 * 1024 * 1024  # of each, however little memory there is


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """The parts into which descriptors and memory are divided."""

    max_client_connections: int
    usual_client_connections: int  # with more, idle connections are closed sooner
    max_target_connections: int
    response_bytes: int
    request_body_bytes: int
    nvme_bytes: int


def divide_resources(max_descriptors: int, memory_bytes: int) -> ResourceLimits:
    """Return the parts of the configured limits; the process's own limit of descriptors counts if lower."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(max_descriptors, soft_limit)
    connections = descriptors - min(OWN_DESCRIPTORS, int(descriptors * MAX_OWN_FRACTION))
    target_connections = max(MIN_CONNECTIONS, int(connections * TARGET_FRACTION))
    return ResourceLimits(
        max_client_connections=max(MIN_CONNECTIONS, connections - target_connections),
        usual_client_connections=descriptors // USUAL_CLIENTS_DIVISOR,
        max_target_connections=target_connections,
        response_bytes=_memory_budget(memory_bytes, RESPONSE_FRACTION),
        request_body_bytes=_memory_budget(memory_bytes, REQUEST_BODY_FRACTION),
        nvme_bytes=_memory_budget(memory_bytes, NVME_FRACTION),
    )


def _memory_budget(memory_bytes: int, fraction: float) -> int:
    return max(MIN_BUDGET_BYTES, int((memory_bytes - OWN_MEMORY_BYTES) * fraction))
