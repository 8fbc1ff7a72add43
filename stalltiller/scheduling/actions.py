"""Actions that the scheduler asks its caller to carry out, in the order in which it returns them."""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.scheduling.targets import NodeId


@dataclass(slots=True, frozen=True)
class Send:
    """Pass a request to a node; `expires` is the clock time to give the attempt up (None: the client's)."""

    id: int
    node: NodeId
    expires: float | None


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: turned away, trying again is harmless, best after `retry_after` seconds (0: any time)."""

    id: int
    retry_after: float


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with no promise about the effect."""

    id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired after `delay` seconds."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health check to a node."""

    node: NodeId


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close this gateway's idle connections to a node."""

    node: NodeId


@dataclass(slots=True, frozen=True)
class Tell:
    """Send bytes to one gateway, or to all (None)."""

    gateway: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


@dataclass(slots=True, frozen=True)
class Watch:
    """Open or close the standing subscription to the node list."""

    on: bool


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask once for the whole node list."""


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Log | Watch | FetchList
