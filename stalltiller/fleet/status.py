"""Fleet status for operators: the state of one member and its view of the other members.

The JSON keys are a stable interface for operators' tools.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from stalltiller.fleet.member_table import Member


@dataclass(slots=True, frozen=True)
class SharedBudgetsStatus:
    """The loans of one member; `counts` has granted loans, taken loans and lost peer messages since start."""

    may_lend: bool
    budget_count: int
    counts: Mapping[str, int]

    def to_json(self) -> dict[str, object]:
        """Return the value of `commons` in `/_fleet/status`."""
        return {"whole": self.may_lend, "budgets": self.budget_count, **self.counts}


@dataclass(slots=True, frozen=True)
class MembershipStatus:
    """One member's view of its fleet and of itself; `dropped` counts dropped messages by reason."""

    fleet: str
    local_member: Member
    running_count: int
    stopped_count: int
    health_score: int
    rejected_count: int
    dropped: Mapping[str, int]
    sent_packets: int
    sent_bytes: int
    shared_budgets: SharedBudgetsStatus | None

    def to_json(self) -> dict[str, object]:
        """Return the response body of `/_fleet/status`."""
        return {
            "fleet": self.fleet,
            "name": self.local_member.name,
            "life": self.local_member.start_time_ms,
            "incarnation": self.local_member.incarnation,
            "state": self.local_member.state.name.lower(),
            "members": self.running_count,
            "ended": self.stopped_count,
            "health": self.health_score,
            "refused": self.rejected_count,
            "dropped": dict(self.dropped),
            "sent_packets": self.sent_packets,
            "sent_bytes": self.sent_bytes,
            "commons": None if self.shared_budgets is None else self.shared_budgets.to_json(),
        }


@dataclass(slots=True, frozen=True)
class MemberStatus:
    """One entry of `/_fleet/members`; the field names are its JSON keys."""

    name: str
    address: str
    zone: str
    life: int  # the process's start time, Unix time in milliseconds
    incarnation: int
    state: str
    protocol: int
    load: int

    @classmethod
    def of(cls, member: Member) -> MemberStatus:
        """Return the entry of one member."""
        host, port = member.address
        return cls(
            name=member.name,
            address=f"{host}:{port}",
            zone=member.zone,
            life=member.start_time_ms,
            incarnation=member.incarnation,
            state=member.state.name.lower(),
            protocol=member.protocol,
            load=member.load,
        )
