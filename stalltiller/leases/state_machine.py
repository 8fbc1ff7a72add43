"""The replicated state machine: which client holds which lease, decided by the log alone.

It uses no clock, so all voters reach the same state.  Time matters in two other places: the holder stops by
its own clock before the lease's duration is over (`holder`), and the leader proposes the command that expires
the lease only after that duration (`expiry`).  A lease's token is the log index of its grant, so tokens
increase, and the receiver of effects can reject those of an earlier holder (`fencing`).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import NamedTuple

MAX_SESSIONS = 10000  # bounds a voter's memory and its snapshot; the least recently used are removed
NO_TOKEN = 0  # the response to a client that does not hold the lease


class CommandKind(StrEnum):
    """What a command does; the values are stored in the log and sent."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"
    EXPIRE = "expire"  # proposed by the leader only


@dataclass(slots=True, frozen=True)
class Command:
    """A change of one lease, proposed by a client or, for an expiry, by the leader.

    An acquire and a renewal have a `ttl`, the lease's duration in seconds.  `token` identifies the grant that
    is renewed, released or expired.  `renewal_index` of an expiry is the last renewal known to the leader.
    A client numbers its commands by session: a duplicate is not executed again and gets the same response.
    An unknown `kind` stays a string, so that the entry is the same on every voter.
    """

    kind: CommandKind | str
    lease: str
    holder: str = ""
    ttl: float = 0.0
    token: int = NO_TOKEN
    renewal_index: int = 0
    session: str = ""
    number: int = 0


@dataclass(slots=True, frozen=True)
class Lease:
    """A granted lease: `token` is the log index of its grant, `renewal_index` that of its last renewal.

    The lease expires `ttl` seconds after its grant or its last renewal.
    """

    holder: str
    token: int
    ttl: float
    renewal_index: int = 0


class SessionResult(NamedTuple):
    """The number of a session's last command and the token that was returned for it."""

    number: int
    token: int


@dataclass(slots=True)
class LeaseStateMachine:
    """All leases and the last results by session; the most recently used session is last."""

    leases: dict[str, Lease] = field(default_factory=dict)
    sessions: dict[str, SessionResult] = field(default_factory=dict)

    def apply(self, index: int, command: Command) -> int:
        """Execute a committed command; every voter calls this in log order.

        Returns the token that the command's client holds now, `NO_TOKEN` if it holds none.
        """
        if not command.session:
            return self._execute(index, command)
        last_result = self.sessions.get(command.session)
        if last_result is not None and command.number <= last_result.number:
            return last_result.token if command.number == last_result.number else NO_TOKEN
        token = self._execute(index, command)
        self._record_result(command, token)
        return token

    def _record_result(self, command: Command, token: int) -> None:
        self.sessions.pop(command.session, None)
        self.sessions[command.session] = SessionResult(command.number, token)
        while len(self.sessions) > MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]

    def _execute(self, index: int, command: Command) -> int:
        lease = self.leases.get(command.lease)
        if command.kind == CommandKind.ACQUIRE:
            if lease is None and command.ttl > 0:
                self.leases[command.lease] = Lease(command.holder, index, command.ttl)
                return index
            return NO_TOKEN
        if lease is None or lease.token != command.token:
            return NO_TOKEN
        if command.kind == CommandKind.RENEW:
            self.leases[command.lease] = replace(lease, renewal_index=index)
            return lease.token
        # A renewal that precedes the expiry in the log, unknown to the leader, was granted: the lease stays.
        if command.kind == CommandKind.RELEASE or lease.renewal_index == command.renewal_index:
            del self.leases[command.lease]
        return NO_TOKEN
