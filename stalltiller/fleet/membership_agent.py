"""One member on sockets: datagrams over UDP, exchanges over TCP at the same address."""

from __future__ import annotations

import asyncio
import contextlib
import random
import struct
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from stalltiller.fleet import codec
from stalltiller.fleet.config import FleetConfig
from stalltiller.fleet.member_table import Address, Member
from stalltiller.fleet.messages import Action, MemberEvent, Packet, PacketKind, PushPullSync, Send, Sync
from stalltiller.fleet.swim import Swim
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection

LENGTH = struct.Struct(">I")  # bytes of the exchange that follows
EXCHANGE_TIME = 2.0  # s that an exchange may take
MOST_EXCHANGES = 8  # at once, made and taken each
PACKETS_PER_S = 2000  # datagrams read; more are dropped and counted
LEAVE_TIME = 0.3  # s after leaving for which the word of it is passed on

Log = Callable[..., None]


class Sharing(Protocol):
    """What takes the datagrams of kind COMMONS."""

    def status(self) -> dict[str, object]:
        """What an operator may want to know."""

    def on_data(self, packet: Packet) -> None:
        """One has come."""


class PushPullConnection(Connection):
    """One exchange: the one who connects tells first, and both close after the answer."""

    def __init__(self, node: MembershipAgent, ours: bytes | None) -> None:
        super().__init__(node.buffers)
        self._node, self._ours = node, ours
        self._got = bytearray()
        self._deadline: asyncio.TimerHandle | None = None

    def on_connected(self) -> None:
        self._deadline = asyncio.get_running_loop().call_later(EXCHANGE_TIME, self.abort)
        if self._ours is not None:
            self.write(self._ours)
        elif not self._node.arrived(self):
            self.abort()

    def on_data(self, data: memoryview) -> int:
        self._got += data
        if len(self._got) >= LENGTH.size:
            size = LENGTH.unpack_from(self._got)[0]
            if size > codec.MOST_EXCHANGE:
                self._node.dropped["oversized"] += 1
                self.abort()
            elif len(self._got) >= LENGTH.size + size:
                answer = self._node.exchanged(bytes(self._got[LENGTH.size : LENGTH.size + size]))
                if self._ours is None and answer is not None:
                    self.write(answer)
                self.close()
        return len(data)

    def on_disconnected(self, error: Exception | None) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
        self._node.done(self)


class MembershipAgent(asyncio.DatagramProtocol):
    """Runs a `Swim` on sockets.  Nothing it does is waited for by the request path.

    `load` tells how many requests are open here.
    """

    def __init__(
        self,
        name: str,
        config: FleetConfig,
        buffers: BufferPool,
        log: Log,
        load: Callable[[], int],
        position: int = -1,
    ) -> None:
        self.config, self.buffers, self._log, self._load = config, buffers, log, load
        life = int((time.time() + config.clock_offset) * 1000)
        me = Member(name, config.advertise, config.zone, start_time_ms=life, initiator_index=position)
        self._loop = asyncio.get_running_loop()
        self.swim = Swim(config.settings, me, random.Random(), self._loop.time())
        self.dropped: Counter[str] = Counter()  # messages, by reason
        self.sent_bytes = self.sent_packets = 0
        self.shared_budgets: Sharing | None = None
        self.handlers: dict[
            PacketKind, Callable[[Packet], None]
        ] = {}  # what other parts say to each other, by kind
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._taken: set[PushPullConnection] = set()
        self._made: set[asyncio.Task] = set()
        self._second, self._packets = 0, 0

    async def open(self) -> None:
        """Listen and begin; raises OSError if the address can't be had."""
        host, port = self.config.listen
        self._server = await self._loop.create_server(lambda: PushPullConnection(self, None), host, port)
        self._transport, _ = await self._loop.create_datagram_endpoint(lambda: self, (host, port))
        self._log(
            "fleet_started", fleet=self.config.fleet, listen=f"{host}:{port}", life=self.swim.me.start_time_ms
        )
        self._wake()

    async def leave(self) -> None:
        """Tell the others that this one leaves, and give the word time to spread."""
        if not self.swim.left:
            self._act(self.swim.leave(self._loop.time()))
            self._log("fleet_left", life=self.swim.me.start_time_ms)
            await asyncio.sleep(LEAVE_TIME)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for task in self._made:
            task.cancel()
        for connection in list(self._taken):
            connection.abort()
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()

    # --- What is asked for ----------------------------------------------------------------------------
    def status(self) -> dict[str, object]:
        """What an operator may want to know of this member."""
        table = self.swim.table
        return {
            "fleet": self.config.fleet,
            "name": table.me.name,
            "life": table.me.start_time_ms,
            "incarnation": table.me.incarnation,
            "state": table.me.state.name.lower(),
            "members": table.size,
            "ended": len(table.ended),
            "health": self.swim.health.score,
            "refused": table.refused,
            "dropped": dict(self.dropped),
            "sent_packets": self.sent_packets,
            "sent_bytes": self.sent_bytes,
            "commons": self.shared_budgets.status() if self.shared_budgets else None,
        }

    def members(self) -> list[dict[str, object]]:
        """All members known, by name."""
        table = self.swim.table
        return [
            {
                "name": m.name,
                "address": "{}:{}".format(*m.address),
                "zone": m.zone,
                "life": m.start_time_ms,
                "incarnation": m.incarnation,
                "state": m.state.name.lower(),
                "protocol": m.protocol,
                "load": m.load,
            }
            for _, m in sorted(table.known.items())
        ]

    # --- The core's actions ---------------------------------------------------------------------------
    def _wake(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self.swim.wake_at, self._tick)

    def _tick(self) -> None:
        self.swim.set_load(self._load())
        self._act(self.swim.tick(self._loop.time()))

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(action.address, action.packet)
            elif isinstance(action, Sync) and len(self._made) < MOST_EXCHANGES:
                task = self._loop.create_task(self._exchange(action.address))
                self._made.add(task)
                task.add_done_callback(self._made.discard)
            elif isinstance(action, MemberEvent):
                self._log(
                    "fleet_" + action.event,
                    member=action.member.name,
                    life=action.member.start_time_ms,
                    incarnation=action.member.incarnation,
                    by=action.member.by,
                )
        self._wake()

    def send(self, address: Address, packet: Packet) -> None:
        """Send a datagram; it may be lost."""
        data = codec.encode_packet(self.config.fleet, packet)
        self.sent_packets += 1
        self.sent_bytes += len(data)
        with contextlib.suppress(OSError):  # an address that no route leads to: as good as lost
            self._transport.sendto(data, address)

    async def _exchange(self, address: Address) -> None:
        ours = self._framed(self.swim.all_known())
        with contextlib.suppress(OSError):  # TimeoutError is one
            async with asyncio.timeout(EXCHANGE_TIME):
                await self._loop.create_connection(lambda: PushPullConnection(self, ours), *address)

    def _framed(self, exchange: PushPullSync) -> bytes:
        data = codec.encode_exchange(self.config.fleet, exchange)
        return LENGTH.pack(len(data)) + data

    # --- What comes in --------------------------------------------------------------------------------
    def datagram_received(self, data: bytes, source: Address) -> None:
        if int(self._loop.time()) != self._second:
            self._second, self._packets = int(self._loop.time()), 0
        self._packets += 1
        if self._packets > PACKETS_PER_S:
            self.dropped["rate"] += 1
            return
        try:
            packet = codec.decode_packet(self.config.fleet, data)
        except codec.Malformed as error:
            self.dropped[str(error)] += 1
            return
        self._act(self.swim.packet(self._loop.time(), packet))
        if packet.kind is PacketKind.SHARED_BUDGETS and self.shared_budgets is not None:
            self.shared_budgets.on_data(packet)
        elif packet.kind in self.handlers:
            self.handlers[packet.kind](packet)

    def error_received(self, error: OSError) -> None:
        """A port that nobody listens at: the probe will tell."""

    def arrived(self, connection: PushPullConnection) -> bool:
        """Whether one more exchange may be taken."""
        if len(self._taken) >= MOST_EXCHANGES:
            self.dropped["exchanges"] += 1
            return False
        self._taken.add(connection)
        return True

    def done(self, connection: PushPullConnection) -> None:
        self._taken.discard(connection)

    def exchanged(self, data: bytes) -> bytes | None:
        """Take what another member knows; what this one knew before, to answer it with."""
        try:
            theirs = codec.decode_exchange(self.config.fleet, data)
        except codec.Malformed as error:
            self.dropped[str(error)] += 1
            return None
        ours = self._framed(self.swim.all_known())
        self._act(self.swim.exchange(self._loop.time(), theirs))
        return ours
