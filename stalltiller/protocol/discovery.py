"""The discovery service's API: the path of its calls and its list of targets in JSON.

Parsers hold no state and do no I/O.  The list's fields are `index`, `snapshot` and `endpoints`, an endpoint's
`name`, `address`, `zone`, `type`, `group`, `status`, `weight` and `since_ms`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from stalltiller.scheduling import TargetStatus

PATH = "/v1/servers"
STATES = {
    "active": TargetStatus.READY,
    "leaving": TargetStatus.DRAINING,
    "left": TargetStatus.REMOVED,
}
PORT_LIMIT = 65536  # TCP ports are below it
MILLISECONDS_PER_SECOND = 1000


class DiscoveryError(Exception):
    """A response that is not a list of targets."""


@dataclass(slots=True, frozen=True)
class TargetRecord:
    """One target of the list; `started_at` is in seconds of Unix time, None if it is not stated."""

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


def list_path(after: int | None, wait_ms: int) -> str:
    """Return the path to call for the full list (None), or for changes after a version.

    For changes discovery may hold the response for `wait_ms` milliseconds until there is one.
    """
    return PATH if after is None else f"{PATH}?after={after}&wait_ms={wait_ms}"


def parse_address(text: object, min_port: int = 1) -> tuple[str, int]:
    """Split HOST:PORT; a `min_port` of 0 admits port 0, with which the system chooses one to listen on.

    Raises ValueError if the text is no address.
    """
    host, _, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not min_port <= int(port) < PORT_LIMIT:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _parse_target(line: dict[str, Any]) -> TargetRecord:
    host, port = parse_address(line["address"])
    since_ms = float(line.get("since_ms") or 0)
    return TargetRecord(
        name=str(line["name"]),
        host=host,
        port=port,
        zone=str(line.get("zone", "")),
        kind=str(line.get("type", "")),
        shard=int(line["group"]),
        status=STATES[line["status"]],
        weight=float(line.get("weight", 1.0)),
        started_at=since_ms / MILLISECONDS_PER_SECOND if since_ms > 0 else None,
    )


def parse_target_list_value(value: Any) -> TargetList:
    """Read a list from parsed JSON; raises DiscoveryError if it is not a list of targets."""
    try:
        return TargetList(
            version=int(value["index"]),
            is_full=value["snapshot"] is True,
            targets=tuple(_parse_target(line) for line in value["endpoints"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DiscoveryError(f"not a list of targets: {type(error).__name__}: {error}") from error


def parse_target_list(body: bytes) -> TargetList:
    """Read a response's body; raises DiscoveryError if it is not a list of targets."""
    try:
        return parse_target_list_value(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise DiscoveryError(f"not JSON: {error}") from error
