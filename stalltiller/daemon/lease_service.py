"""Duties that one instance of a fleet holds at a time, by leases on a log that some members vote on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from stalltiller.fleet import Packet, PacketKind
from stalltiller.fleet.membership_agent import MembershipAgent
from stalltiller.leases import codec
from stalltiller.leases.client import Client
from stalltiller.leases.store import VoterStore
from stalltiller.leases.voter import Voter

TOTALS = "totals"  # whoever holds it adds the fleet's totals to its metrics, so they come from one instance

Log = Callable[..., None]


@dataclass(slots=True, frozen=True)
class LeaseConfig:
    """The [leases] section of an operator's file."""

    voters: tuple[str, ...]  # names of 3 or 5 members
    folder: str  # of this voter's store; made with `init-voter`
    ttl: float  # s
    most_log: int = 2000  # entries of the log applied after which a state is put in their place


class LeaseService:
    """This instance's part: a voter, if it is one, and a client that tries to hold each duty."""

    def __init__(self, name: str, config: LeaseConfig, node: MembershipAgent, log: Log) -> None:
        """Begin; raises OSError if this is a voter whose store is missing or another's."""
        self._name, self._node, self._loop = name, node, asyncio.get_running_loop()
        self.voter: Voter | None = None
        if name in config.voters:
            self.voter = Voter(
                name,
                config.voters,
                VoterStore(config.folder, name),
                self._send,
                log,
                most_log=config.most_log,
            )
        node.handlers[PacketKind.LEASES] = self._heard
        self.client = Client(
            name, node.swim.me.start_time_ms, config.voters, {TOTALS: config.ttl}, self._send, log
        )

    def totals(self) -> dict[str, float]:
        """The fleet's totals, if it is this one's duty to tell them."""
        token = self.client.holds(TOTALS)
        if not token:
            return {}
        members = [self._node.swim.me, *self._node.swim.table.others]
        return {
            "fleet_members": len(members),
            "fleet_open": sum(member.load for member in members),
            "fleet_token": token,
        }

    def status(self) -> dict[str, object]:
        return {"held": self.client.status(), "voter": None if self.voter is None else self.voter.status()}

    def release(self) -> None:
        """Give back what is held: this instance ends or leaves."""
        self.client.release()
        if self.voter is not None:
            self.voter.go()

    async def close(self) -> None:
        self._node.handlers.pop(PacketKind.LEASES, None)
        if self.voter is not None:
            await self.voter.close()

    def _send(self, to: str, said: codec.Said) -> None:
        if to == self._name:
            self._loop.call_soon(self._said, to, said)
            return
        member = self._node.swim.table.known.get(to)
        if member is not None:  # dead or not: it may be back before it is known
            self._node.send(
                member.address, Packet(PacketKind.LEASES, self._node.swim.me, body=codec.encode(said))
            )

    def _heard(self, packet: Packet) -> None:
        try:
            said = codec.decode(packet.body)
        except codec.Malformed:
            self._node.dropped["lease"] += 1
            return
        self._said(packet.sender.name, said)

    def _said(self, sender: str, said: codec.Said) -> None:
        if isinstance(said, codec.Answer | codec.NotLeader):
            self.client.heard(said)
        elif self.voter is not None:
            self.voter.heard(sender, said)
