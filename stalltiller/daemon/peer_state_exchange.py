"""Carries what instances that come back ask of their peers, and the answers, in the fleet's datagrams."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from stalltiller.fleet import Packet, PacketKind
from stalltiller.fleet.member_table import Address
from stalltiller.fleet.membership_agent import MembershipAgent
from stalltiller.recovery.peer_state import Ask, Malformed, Word, decode, encode

ASK_EVERY = 0.25  # s between asks, while there is something to ask
ASKED = 2  # peers at a time
ANSWERS_PER_S = 100  # given; more asks are lost


class PeerStateExchange:
    """Asks some peers as long as `ask` gives a question, answers theirs with `answer`, hands on to `heard`.

    `kept` are addresses of peers from before, asked while no member is known to run.
    """

    def __init__(
        self,
        node: MembershipAgent,
        kept: list[Address],
        ask: Callable[[], Ask | None],
        answer: Callable[[Ask], Word | None],
        heard: Callable[[Word], None],
    ) -> None:
        self._node, self._kept = node, [each for each in kept if each != node.swim.me.address]
        self._ask, self._answer, self._heard = ask, answer, heard
        self._loop = asyncio.get_running_loop()
        self._second, self._answers = 0, 0
        node.handlers[PacketKind.RECOVERY] = self._received
        self._timer = self._loop.call_soon(self._look)

    def close(self) -> None:
        self._timer.cancel()
        self._node.handlers.pop(PacketKind.RECOVERY, None)

    def _look(self) -> None:
        self._timer = self._loop.call_later(ASK_EVERY, self._look)
        ask = self._ask()
        if ask is None:
            return
        peers = [member.address for member in self._node.swim.table.others] or self._kept
        for address in random.sample(peers, min(ASKED, len(peers))):
            self._send(address, ask)

    def _send(self, address: Address, said: Ask | Word) -> None:
        for body in encode(said):
            self._node.send(address, Packet(PacketKind.RECOVERY, self._node.swim.me, body=body))

    def _received(self, packet: Packet) -> None:
        try:
            said = decode(packet.body)
        except Malformed:
            self._node.dropped["recovery"] += 1
            return
        if isinstance(said, Word):
            self._heard(said)
            return
        if int(self._loop.time()) != self._second:
            self._second, self._answers = int(self._loop.time()), 0
        self._answers += 1
        word = self._answer(said) if self._answers <= ANSWERS_PER_S else None
        if word is not None:
            self._send(packet.sender.address, word)
