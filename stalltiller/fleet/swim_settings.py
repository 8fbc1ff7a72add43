"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.fleet.member_table import Address


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Settings of the membership protocol; the defaults suit a local network."""

    seeds: tuple[Address, ...] = ()
    probe_interval_seconds: float = 0.5
    probe_timeout_seconds: float = 0.2
    indirect_probe_count: int = 3  # members that probe an unresponsive target on this member's behalf
    # The minimum suspicion timeout is this multiple of log10(member count) probe intervals.
    suspicion_multiplier: float = 4.0
    # An unconfirmed suspicion times out after this multiple of the minimum suspicion timeout.
    max_suspicion_multiplier: float = 6.0
    expected_confirmations: int = 3  # number that shortens a suspicion to the minimum timeout
    gossip_interval_seconds: float = 0.2
    gossip_fanout: int = 3  # members that receive gossip in each interval
    retransmit_multiplier: int = 4  # each update is sent in this multiple of log10(member count) packets
    sync_interval_seconds: float = 30.0  # between push-pull synchronisations with a random member
    rejoin_interval_seconds: float = 3.0  # between attempts to reach seeds and dead members
    forget_after_seconds: float = 120.0  # retention of members that are dead or have left
    max_members: int = 1024
