"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.fleet.member_table import Address


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Settings of the protocol; the defaults suit a local network."""

    seeds: tuple[Address, ...] = ()
    probe_interval_seconds: float = 0.5
    probe_timeout_seconds: float = 0.2
    indirect_probe_count: int = 3  # members that are asked to probe for this one
    suspicion_multiplier: float = 4.0  # probe intervals, times log10 of the members: the shortest suspicion
    max_suspicion_multiplier: float = 6.0  # times the shortest: a suspicion that nobody confirms
    expected_confirmations: int = 3  # that make a suspicion the shortest
    gossip_interval_seconds: float = 0.2
    gossip_fanout: int = 3  # members that receive gossip in each interval
    retransmit_multiplier: int = 4  # times log10 of the members: packets that carry one update
    sync_interval_seconds: float = 30.0  # between push-pull synchronisations with one member
    rejoin_interval_seconds: float = 3.0  # between tries to reach seeds and dead members
    forget_after_seconds: float = 120.0  # for which dead and departed members are remembered
    max_members: int = 1024
