"""Requests state from peers and responds to their requests, in the fleet's datagrams."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from stalltiller.fleet import Packet, PacketKind
from stalltiller.fleet.member_table import Address
from stalltiller.fleet.membership_agent import MembershipAgent
from stalltiller.recovery.peer_state import PeerState, PeerStateMessage, PeerStateRequest
from stalltiller.recovery.peer_state_codec import MalformedPeerStateError, decode_message, encode_message

REQUEST_INTERVAL_SECONDS = 0.25  # interval of the requests while state is needed
PEERS_PER_REQUEST = 2  # more than one, since a peer may have restarted as well
MAX_REQUESTS_PER_SECOND = 100  # more are dropped, so that a mass restart does not overload a member


class PeerStateExchange:
    """Requests state from a few peers while it is needed, and responds to the requests of others.

    `build_request` returns the request to send or None, `build_response` the response to a peer or None, and
    `handle_peer_state` receives the responses of peers.  Requests go to `cached_peers` while no running
    member is known.  The exchange runs from its creation until `close`.
    """

    def __init__(
        self,
        membership: MembershipAgent,
        cached_peers: list[Address],
        build_request: Callable[[], PeerStateRequest | None],
        build_response: Callable[[PeerStateRequest], PeerState | None],
        handle_peer_state: Callable[[PeerState], None],
    ) -> None:
        own_address = membership.swim.local_member.address
        self._membership = membership
        self._cached_peers = [address for address in cached_peers if address != own_address]
        self._build_request = build_request
        self._build_response = build_response
        self._handle_peer_state = handle_peer_state
        self._loop = asyncio.get_running_loop()
        self._current_second = 0
        self._requests_in_second = 0
        membership.handlers[PacketKind.RECOVERY] = self._handle_packet
        self._timer: asyncio.Handle = self._loop.call_soon(self._send_request)

    def close(self) -> None:
        """Stop sending requests and responses."""
        self._timer.cancel()
        self._membership.handlers.pop(PacketKind.RECOVERY, None)

    def _send_request(self) -> None:
        self._timer = self._loop.call_later(REQUEST_INTERVAL_SECONDS, self._send_request)
        request = self._build_request()
        if request is None:
            return
        members = self._membership.swim.table.other_running_members
        peers = [member.address for member in members] or self._cached_peers
        for address in random.sample(peers, min(PEERS_PER_REQUEST, len(peers))):
            self._send(address, request)

    def _send(self, address: Address, message: PeerStateMessage) -> None:
        for body in encode_message(message):
            packet = Packet(PacketKind.RECOVERY, self._membership.swim.local_member, body=body)
            self._membership.send(address, packet)

    def _handle_packet(self, packet: Packet) -> None:
        try:
            message = decode_message(packet.body)
        except MalformedPeerStateError:
            self._membership.dropped["recovery"] += 1
            return
        if isinstance(message, PeerState):
            self._handle_peer_state(message)
        elif self._is_within_rate_limit():
            response = self._build_response(message)
            if response is not None:
                self._send(packet.sender.address, response)

    def _is_within_rate_limit(self) -> bool:
        """Count a request and return whether it is within the limit for this second."""
        second = int(self._loop.time())
        if second != self._current_second:
            self._current_second = second
            self._requests_in_second = 0
        self._requests_in_second += 1
        return self._requests_in_second <= MAX_REQUESTS_PER_SECOND
