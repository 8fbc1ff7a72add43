"""Discovery's calls and its list of targets."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from stalltiller.scheduling import TargetStatus

PATH = "/v1/servers"
STATES = {
    "active": TargetStatus.READY,
    "leaving": TargetStatus.DRAINING,
    "left": TargetStatus.REMOVED,
}


class DiscoveryError(Exception):
    """An answer that is not a list of targets."""


@dataclass(slots=True, frozen=True)
class TargetRecord:
    """One line of the list; `since` is the Unix time of its start in seconds, None for long ago."""

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
    """The whole list of a version, or the lines that changed up to it."""

    version: int
    is_full: bool
    targets: tuple[TargetRecord, ...]


def list_path(after: int | None, wait_ms: int) -> str:
    """The call for the whole list, or for what is newer than a version."""
    return PATH if after is None else f"{PATH}?after={after}&wait_ms={wait_ms}"


def parse_address(text: object, least: int = 1) -> tuple[str, int]:
    """Split HOST:PORT; to listen, a port of 0 leaves the choice to the system."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not least <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _target(line: dict) -> TargetRecord:
    host, port = parse_address(line["address"])
    since = float(line.get("since_ms") or 0)
    return TargetRecord(
        str(line["name"]),
        host,
        port,
        str(line.get("zone", "")),
        str(line.get("type", "")),
        int(line["group"]),
        STATES[line["status"]],
        float(line.get("weight", 1.0)),
        since / 1000 if since > 0 else None,
    )


def parse_target_list_value(value: object) -> TargetList:
    """Read a list that is parsed JSON already."""
    try:
        return TargetList(
            int(value["index"]),
            value["snapshot"] is True,
            tuple(_target(line) for line in value["endpoints"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DiscoveryError(f"not a list of targets: {type(error).__name__}: {error}") from error


def parse_target_list(body: bytes) -> TargetList:
    """Read an answer's body."""
    try:
        return parse_target_list_value(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise DiscoveryError(f"not JSON: {error}") from error
