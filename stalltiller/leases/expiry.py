"""The leader's tracking of leases that are no longer renewed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from stalltiller.leases.clock_rate import CLOCK_RATE_ERROR_FRACTION
from stalltiller.leases.state_machine import Command, CommandKind, Lease, LeaseStateMachine


class _ObservedLease(NamedTuple):
    """A lease's current state and when it was first observed, in seconds on this voter's clock."""

    lease: Lease
    observed_at: float


@dataclass(slots=True)
class LeaseExpiryTracker:
    """Finds the leases that have expired by the leader's clock; times are in seconds.

    A new leader doesn't know when the leases were renewed, so it restarts each lease's duration.  A renewal
    counts from when the leader applied it, which is later than when its holder sent it.
    """

    _observed: dict[str, _ObservedLease] = field(default_factory=dict)

    def start(self, now: float, state_machine: LeaseStateMachine) -> None:
        """Restart the duration of every lease when the leadership changes."""
        self._observed = {name: _ObservedLease(lease, now) for name, lease in state_machine.leases.items()}

    def observe(self, now: float, state_machine: LeaseStateMachine, command: Command) -> None:
        """Record the state of a lease after a command was applied to it."""
        lease = state_machine.leases.get(command.lease)
        if lease is None:
            self._observed.pop(command.lease, None)
            return
        observed = self._observed.get(command.lease)
        if observed is None or observed.lease != lease:
            self._observed[command.lease] = _ObservedLease(lease, now)

    def expiry_commands(self, now: float, state_machine: LeaseStateMachine) -> list[Command]:
        """The commands that end the expired leases."""
        commands = []
        for name, lease in state_machine.leases.items():
            observed = self._observed.setdefault(name, _ObservedLease(lease, now))
            max_age = lease.ttl * (1 + CLOCK_RATE_ERROR_FRACTION)
            if observed.lease == lease and now - observed.observed_at > max_age:
                commands.append(
                    Command(CommandKind.EXPIRE, name, token=lease.token, renewal_index=lease.renewal_index)
                )
        return commands
