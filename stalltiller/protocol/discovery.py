"""Discovery's calls and its list of targets."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from stalltiller.scheduling import NodeState

PATH = "/v1/servers"
STATES = {
    "active": NodeState.READY,
    "leaving": NodeState.DRAINING,
    "left": NodeState.GONE,
}


class DiscoveryError(Exception):
    """An answer that is not a list of targets."""


@dataclass(slots=True, frozen=True)
class Target:
    """One line of the list; `since` is the Unix time of its start in seconds, None for long ago."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: NodeState
    weight: float
    since: float | None


@dataclass(slots=True, frozen=True)
class Listing:
    """The whole list of a version, or the lines that changed up to it."""

    index: int
    whole: bool
    targets: tuple[Target, ...]


def list_path(after: int | None, wait_ms: int) -> str:
    """The call for the whole list, or for what is newer than a version."""
    return PATH if after is None else f"{PATH}?after={after}&wait_ms={wait_ms}"


def parse_address(text: object, least: int = 1) -> tuple[str, int]:
    """Split HOST:PORT; to listen, a port of 0 leaves the choice to the system."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not least <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _target(line: dict) -> Target:
    host, port = parse_address(line["address"])
    since = float(line.get("since_ms") or 0)
    return Target(
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


def listing(value: object) -> Listing:
    """Read a list that is parsed JSON already."""
    try:
        return Listing(
            int(value["index"]),
            value["snapshot"] is True,
            tuple(_target(line) for line in value["endpoints"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DiscoveryError(f"not a list of targets: {type(error).__name__}: {error}") from error


def parse_listing(body: bytes) -> Listing:
    """Read an answer's body."""
    try:
        return listing(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise DiscoveryError(f"not JSON: {error}") from error
