"""Network side of one member: UDP datagrams, and push-pull synchronisations over TCP at the same address.

The agent owns the sockets, the timer and the connections; `Swim` decides what is sent.  The request path
never waits for the agent.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import struct
import time
from collections import Counter
from collections.abc import Callable
from typing import cast

from stalltiller.fleet import codec
from stalltiller.fleet.config import FleetConfig
from stalltiller.fleet.member_table import UNKNOWN_INITIATOR_INDEX, Address, Member
from stalltiller.fleet.messages import (
    Action,
    MemberEvent,
    Packet,
    PacketKind,
    PushPullSync,
    SendPacket,
    StartSync,
)
from stalltiller.fleet.rate_limiter import PerSecondLimiter
from stalltiller.fleet.status import MembershipStatus, MemberStatus, SharedBudgetsStatus
from stalltiller.fleet.swim import Swim
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection, TransferMonitor

LENGTH_PREFIX = struct.Struct(">I")  # length in bytes of the encoded state that follows
SYNC_CONNECT_TIMEOUT_SECONDS = 2.0  # many round trips: a member that takes longer is unreachable
MAX_CONCURRENT_SYNCS = 8  # limit in each direction, as each synchronisation may hold a whole table in memory
# Datagrams received above this rate are dropped and counted, so that a flood leaves processor time.
MAX_PACKETS_PER_SECOND = 2000
LEAVE_GOSSIP_SECONDS = 0.3  # time that `leave` waits while the departure is gossiped

Log = Callable[..., None]


class PushPullConnection(Connection):
    """One synchronisation: the client sends its state, the server responds with its own, and both close.

    `state` is the encoded state that the client sends; None on the server side.
    """

    def __init__(self, agent: MembershipAgent, state: bytes | None) -> None:
        super().__init__(agent.buffers, agent.monitor)
        self._agent = agent
        self._state = state
        self._received = bytearray()

    def on_connected(self) -> None:
        """Send the state (client), or register the synchronisation within the limit (server)."""
        self.monitor.watch(self)
        if self._state is not None:
            self.write(self._state)
        elif not self._agent.admit_sync(self):
            self.abort()

    def transferred_bytes(self) -> int:
        """Return a count that changes with each byte that comes or is acknowledged."""
        return self.received_bytes() + self.acknowledged_bytes()

    def on_data(self, data: memoryview) -> int:
        """Buffer the peer's state; handle it and close once it is complete."""
        self._received += data
        if len(self._received) >= LENGTH_PREFIX.size:
            size = LENGTH_PREFIX.unpack_from(self._received)[0]
            if size > codec.MAX_SYNC_BYTES:
                self._agent.dropped[codec.RejectionReason.OVERSIZED.value] += 1
                self.abort()
            elif len(self._received) >= LENGTH_PREFIX.size + size:
                self._handle_state(bytes(self._received[LENGTH_PREFIX.size : LENGTH_PREFIX.size + size]))
        return len(data)

    def _handle_state(self, data: bytes) -> None:
        response = self._agent.handle_sync(data)
        if self._state is None and response is not None:
            self.write(response)
        self.close()

    def on_disconnected(self, _error: Exception | None) -> None:
        """Unregister the synchronisation."""
        self._agent.release_sync(self)


class MembershipAgent(asyncio.DatagramProtocol):
    """Runs `Swim` on sockets.

    `load` returns the number of open requests, which is gossiped.  Other components register in `handlers`
    to receive datagrams of their kind.
    """

    def __init__(
        self,
        name: str,
        config: FleetConfig,
        buffers: BufferPool,
        monitor: TransferMonitor,
        log: Log,
        load: Callable[[], int],
        initiator_index: int = UNKNOWN_INITIATOR_INDEX,
    ) -> None:
        self.config = config
        self.buffers = buffers
        self.monitor = monitor
        self._log = log
        self._load = load
        self._loop = asyncio.get_running_loop()
        local_member = Member(
            name,
            config.advertise,
            config.zone,
            start_time_ms=int((time.time() + config.clock_offset_seconds) * 1000),
            initiator_index=initiator_index,
        )
        self.swim = Swim(config.settings, local_member, random.Random(), self._loop.time())
        self.dropped: Counter[str] = Counter()  # received messages that were dropped, by reason
        self.sent_bytes = 0
        self.sent_packets = 0
        self.handlers: dict[PacketKind, Callable[[Packet], None]] = {}
        self.shared_budgets_status: Callable[[], SharedBudgetsStatus] | None = None
        self._packet_limiter = PerSecondLimiter(MAX_PACKETS_PER_SECOND)
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._server_syncs: set[PushPullConnection] = set()
        self._client_syncs: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Bind the sockets and start the protocol; raises OSError if the address cannot be bound."""
        host, port = self.config.listen
        self._server = await self._loop.create_server(lambda: PushPullConnection(self, None), host, port)
        self._transport, _ = await self._loop.create_datagram_endpoint(lambda: self, (host, port))
        self._log(
            "fleet_started",
            fleet=self.config.fleet,
            listen=f"{host}:{port}",
            start_time_ms=self.swim.local_member.start_time_ms,
        )
        self._schedule_tick()

    async def leave(self) -> None:
        """Announce to the other members that this one leaves, and wait while that is gossiped."""
        if not self.swim.has_left:
            self._execute(self.swim.leave(self._loop.time()))
            self._log("fleet_left", start_time_ms=self.swim.local_member.start_time_ms)
            await asyncio.sleep(LEAVE_GOSSIP_SECONDS)

    def close(self) -> None:
        """Stop without an announcement, and close all sockets."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._client_syncs:
            task.cancel()
        for connection in list(self._server_syncs):
            connection.abort()
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()

    # --- Status for operators -------------------------------------------------------------------------
    def status(self) -> MembershipStatus:
        """Return this member's view of its fleet and of itself."""
        table = self.swim.table
        return MembershipStatus(
            fleet=self.config.fleet,
            local_member=table.local_member,
            running_count=table.running_count,
            stopped_count=len(table.stopped_members),
            health_score=self.swim.health.score,
            rejected_count=table.rejected_count,
            dropped=dict(self.dropped),
            sent_packets=self.sent_packets,
            sent_bytes=self.sent_bytes,
            shared_budgets=self.shared_budgets_status() if self.shared_budgets_status is not None else None,
        )

    def members(self) -> list[MemberStatus]:
        """Return all known members, including this one, sorted by name."""
        return [MemberStatus.of(member) for _, member in sorted(self.swim.table.known.items())]

    # --- Actions of the protocol ----------------------------------------------------------------------
    def _schedule_tick(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self.swim.wake_at, self._tick)

    def _tick(self) -> None:
        self.swim.set_load(self._load())
        self._execute(self.swim.tick(self._loop.time()))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPacket):
                self.send(action.address, action.packet)
            elif isinstance(action, StartSync):
                self._start_sync(action.address)
            else:
                self._log_event(action)
        self._schedule_tick()

    def _log_event(self, event: MemberEvent) -> None:
        self._log(
            f"fleet_{event.kind.value}",
            member=event.member.name,
            start_time_ms=event.member.start_time_ms,
            incarnation=event.member.incarnation,
            by=event.member.reported_by,
        )

    def send(self, address: Address, packet: Packet) -> None:
        """Send a datagram; it may be lost."""
        data = codec.encode_packet(self.config.fleet, packet)
        self.sent_packets += 1
        self.sent_bytes += len(data)
        transport = cast(asyncio.DatagramTransport, self._transport)  # set by `open`, before anything is sent
        with contextlib.suppress(OSError):  # such as an address without a route: the datagram is lost
            transport.sendto(data, address)

    def _start_sync(self, address: Address) -> None:
        if len(self._client_syncs) >= MAX_CONCURRENT_SYNCS:
            return
        task = self._loop.create_task(self._connect_sync(address))
        self._client_syncs.add(task)
        task.add_done_callback(self._client_syncs.discard)

    async def _connect_sync(self, address: Address) -> None:
        state = self._encoded_state()
        with contextlib.suppress(OSError):  # includes TimeoutError; the protocol retries later
            async with asyncio.timeout(SYNC_CONNECT_TIMEOUT_SECONDS):
                await self._loop.create_connection(lambda: PushPullConnection(self, state), *address)

    def _encoded_state(self) -> bytes:
        """Return this member's encoded full state with its length prefix."""
        data = codec.encode_sync(self.config.fleet, self.swim.full_state())
        return LENGTH_PREFIX.pack(len(data)) + data

    # --- Received messages ----------------------------------------------------------------------------
    def datagram_received(self, data: bytes, _source: Address) -> None:
        """Handle a datagram; the sender's address is taken from the message, not from the socket."""
        if not self._packet_limiter.allow(self._loop.time()):
            self.dropped["rate"] += 1
            return
        try:
            packet = codec.decode_packet(self.config.fleet, data)
        except codec.MalformedMessageError as error:
            self.dropped[error.reason.value] += 1
            return
        self._execute(self.swim.handle_packet(self._loop.time(), packet))
        handler = self.handlers.get(packet.kind)
        if handler is not None:
            handler(packet)

    def error_received(self, _error: Exception) -> None:
        """Ignore socket errors, such as a port that nobody listens on: the probe will time out."""

    def admit_sync(self, connection: PushPullConnection) -> bool:
        """Register a synchronisation to be served; return False if the limit is reached."""
        if len(self._server_syncs) >= MAX_CONCURRENT_SYNCS:
            self.dropped["exchanges"] += 1
            return False
        self._server_syncs.add(connection)
        return True

    def release_sync(self, connection: PushPullConnection) -> None:
        """Unregister a closed synchronisation."""
        self._server_syncs.discard(connection)

    def handle_sync(self, data: bytes) -> bytes | None:
        """Merge another member's state; return this member's state before the merge, or None if malformed."""
        try:
            received: PushPullSync = codec.decode_sync(self.config.fleet, data)
        except codec.MalformedMessageError as error:
            self.dropped[error.reason.value] += 1
            return None
        state = self._encoded_state()
        self._execute(self.swim.handle_sync(self._loop.time(), received))
        return state
