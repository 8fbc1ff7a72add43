"""This initiator's part in the leases: its client and, on some members, a voter.

Sends the messages of the voters and clients in the fleet's datagrams.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from stalltiller.fleet import Packet, PacketKind
from stalltiller.fleet.membership_agent import MembershipAgent
from stalltiller.leases import codec
from stalltiller.leases.client import LeaseClient
from stalltiller.leases.store import VoterStore
from stalltiller.leases.voter import DEFAULT_MAX_LOG_ENTRIES, Voter, VoterStatus

# The lease whose holder adds the fleet's totals to its metrics, so that they come from one initiator.
FLEET_TOTALS_LEASE = "totals"

Log = Callable[..., None]


@dataclass(slots=True, frozen=True)
class LeaseConfig:
    """The [leases] section of an operator's file.

    `voters` are the names of 3 or 5 members, `folder` holds this voter's store (created by `init-voter`),
    `ttl` is in seconds, and a voter takes a snapshot after `max_log_entries` applied entries.
    """

    voters: tuple[str, ...]
    folder: str
    ttl: float
    max_log_entries: int = DEFAULT_MAX_LOG_ENTRIES


@dataclass(slots=True, frozen=True)
class LeaseServiceStatus:
    """The tokens of the leases that this initiator holds, and the state of its voter if it has one."""

    valid_leases: dict[str, int]
    voter: VoterStatus | None

    def to_json(self) -> dict[str, object]:
        """The JSON form in the response to `GET /_fleet/leases`; its keys must not change."""
        return {
            "held": self.valid_leases,
            "voter": None if self.voter is None else self.voter.to_json(),
        }


class LeaseService:
    """Runs the client that tries to hold each lease and, if this initiator is a voter, its voter."""

    def __init__(self, name: str, config: LeaseConfig, membership: MembershipAgent, log: Log) -> None:
        """Start the client and the voter; raises VoterStoreError if the store is missing or another's."""
        self._name = name
        self._membership = membership
        self._loop = asyncio.get_running_loop()
        self.voter: Voter | None = None
        if name in config.voters:
            self.voter = Voter(
                name,
                config.voters,
                VoterStore(config.folder, name),
                self._send,
                log,
                max_log_entries=config.max_log_entries,
            )
        membership.handlers[PacketKind.LEASES] = self._handle_packet
        self.client = LeaseClient(
            name,
            membership.swim.local_member.start_time_ms,
            config.voters,
            {FLEET_TOTALS_LEASE: config.ttl},
            self._send,
            log,
        )

    def fleet_totals(self) -> dict[str, float]:
        """The fleet's totals by metric name; empty unless this initiator holds their lease."""
        token = self.client.fencing_token(FLEET_TOTALS_LEASE)
        if not token:
            return {}
        members = [self._membership.swim.local_member, *self._membership.swim.table.other_running_members]
        return {
            "fleet_members": len(members),
            "fleet_open": sum(member.load for member in members),
            "fleet_token": token,
        }

    def status(self) -> dict[str, object]:
        """The response to `GET /_fleet/leases`."""
        voter = None if self.voter is None else self.voter.status()
        return LeaseServiceStatus(self.client.valid_leases(), voter).to_json()

    def release(self) -> None:
        """Release the leases and transfer the voter's leadership, before a shutdown or leaving the fleet."""
        self.client.release()
        if self.voter is not None:
            self.voter.transfer_leadership()

    async def close(self) -> None:
        """Stop the voter and the handling of packets."""
        self._membership.handlers.pop(PacketKind.LEASES, None)
        if self.voter is not None:
            await self.voter.close()

    def _send(self, receiver: str, message: codec.Message) -> None:
        if receiver == self._name:
            self._loop.call_soon(self._dispatch, receiver, message)
            return
        member = self._membership.swim.table.known.get(receiver)
        if member is not None:  # dead members included: they may have restarted already
            packet = Packet(PacketKind.LEASES, self._membership.swim.local_member, body=codec.encode(message))
            self._membership.send(member.address, packet)

    def _handle_packet(self, packet: Packet) -> None:
        try:
            message = codec.decode(packet.body)
        except codec.MalformedMessageError:
            self._membership.dropped["lease"] += 1
            return
        self._dispatch(packet.sender.name, message)

    def _dispatch(self, sender: str, message: codec.Message) -> None:
        if isinstance(message, codec.CommandResponse | codec.NotLeader):
            self.client.handle_message(message)
        elif self.voter is not None:
            self.voter.handle_message(sender, message)
