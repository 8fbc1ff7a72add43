"""The discovery service's API: the path of its requests and the target list in JSON.

Parsers hold no state and do no I/O.  The list has the fields `index`, `snapshot` and `endpoints`; an endpoint
has `name`, `address`, `zone`, `type`, `group`, `status`, `weight` and `since_ms`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from stalltiller.scheduling import TargetStatus

TARGET_LIST_PATH = "/v1/servers"
STATUSES_BY_NAME = {
    "active": TargetStatus.READY,
    "leaving": TargetStatus.DRAINING,
    "left": TargetStatus.REMOVED,
}
PORT_LIMIT = 65536  # exclusive upper bound of TCP ports
MILLISECONDS_PER_SECOND = 1000


class DiscoveryError(Exception):
    """A value that is not a valid target list."""


@dataclass(slots=True, frozen=True)
class TargetRecord:
    """One target of the list; `started_at` is Unix time in seconds, or None if the list does not state it."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    shard: int
    status: TargetStatus
    weight: float
    started_at: float | None


@dataclass(slots=True, frozen=True)
class TargetList:
    """The full list at a version, or the targets that changed up to that version."""

    version: int
    is_full: bool
    targets: tuple[TargetRecord, ...]


def target_list_path(after: int | None, wait_ms: int) -> str:
    """Return the request path for the full list (`after` is None) or for changes after that version.

    Discovery may hold a request for changes for up to `wait_ms` milliseconds until there is a change.
    """
    return TARGET_LIST_PATH if after is None else f"{TARGET_LIST_PATH}?after={after}&wait_ms={wait_ms}"


def parse_address(text: object, min_port: int = 1) -> tuple[str, int]:
    """Split HOST:PORT; raises ValueError if the text is malformed or the port is out of range.

    A `min_port` of 0 allows port 0, for which the system chooses a port to listen on.
    """
    host, _, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not min_port <= int(port) < PORT_LIMIT:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _parse_target(endpoint: dict[str, Any]) -> TargetRecord:
    host, port = parse_address(endpoint["address"])
    since_ms = float(endpoint.get("since_ms") or 0)
    return TargetRecord(
        name=str(endpoint["name"]),
        host=host,
        port=port,
        zone=str(endpoint.get("zone", "")),
        kind=str(endpoint.get("type", "")),
        shard=int(endpoint["group"]),
        status=STATUSES_BY_NAME[endpoint["status"]],
        weight=float(endpoint.get("weight", 1.0)),
        started_at=since_ms / MILLISECONDS_PER_SECOND if since_ms > 0 else None,
    )


def parse_target_list_value(value: Any) -> TargetList:
    """Convert decoded JSON to a target list; raises DiscoveryError if it is malformed."""
    try:
        return TargetList(
            version=int(value["index"]),
            is_full=value["snapshot"] is True,
            targets=tuple(_parse_target(endpoint) for endpoint in value["endpoints"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DiscoveryError(f"malformed target list: {type(error).__name__}: {error}") from error


def parse_target_list(body: bytes) -> TargetList:
    """Parse a response's body; raises DiscoveryError if it is not a valid target list."""
    try:
        return parse_target_list_value(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise DiscoveryError(f"target list is not valid JSON: {error}") from error
