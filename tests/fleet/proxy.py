"""Fault-injecting proxies on loopback, one per member: loss, delay, duplication and cuts between pairs."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass

from stalltiller.fleet.codec import decode_sync
from stalltiller.fleet.membership_agent import LENGTH_PREFIX


@dataclass(slots=True, frozen=True)
class Fault:
    """Faults of the datagrams from one member to another.

    `loss` and `duplication` are fractions of the datagrams.  Each datagram gets a random delay of at most
    `delay` seconds, so that datagrams are reordered.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.0


CUT = Fault(loss=1.0)


class MemberProxy(asyncio.DatagramProtocol):
    """The proxy of one member, over UDP and TCP at one port."""

    def __init__(self, proxy: Proxy, name: str, port: int) -> None:
        self.proxy = proxy
        self.name = name
        self.port = port
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None

    async def open(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", port))
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        fault = self.proxy.fault(self.proxy.names_by_port.get(source[1], "?"), self.name)
        if self.proxy.rng.random() < fault.loss:
            self.proxy.lost_datagrams[self.proxy.names_by_port.get(source[1], "?"), self.name] += 1
            return
        for _ in range(1 + (self.proxy.rng.random() < fault.duplication)):
            asyncio.get_running_loop().call_later(fault.delay * self.proxy.rng.random(), self.forward, data)

    def forward(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, ("127.0.0.1", self.port))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one push-pull synchronisation, unless either direction between the two members is cut."""
        member_writer = None
        with contextlib.suppress(OSError, EOFError):
            length = await reader.readexactly(LENGTH_PREFIX.size)
            data = await reader.readexactly(LENGTH_PREFIX.unpack(length)[0])
            sender = decode_sync(self.proxy.fleet, data).sender.name
            if CUT not in (self.proxy.fault(sender, self.name), self.proxy.fault(self.name, sender)):
                member_reader, member_writer = await asyncio.open_connection("127.0.0.1", self.port)
                member_writer.write(length + data)
                length = await member_reader.readexactly(LENGTH_PREFIX.size)
                writer.write(length + await member_reader.readexactly(LENGTH_PREFIX.unpack(length)[0]))
                await writer.drain()
        for stream in (writer, member_writer):
            if stream is not None:
                stream.close()

    def close(self) -> None:
        self.transport.close()
        self.server.close()


class Proxy:
    """The proxies of all members of one fleet."""

    def __init__(self, fleet: str, seed: int = 1) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.names_by_port: dict[int, str] = {}  # keyed by the port at which the member itself listens
        self.member_proxies: list[MemberProxy] = []
        self.faults: dict[tuple[str, str], Fault] = {}
        self.default_fault = Fault()
        self.lost_datagrams: Counter[tuple[str, str]] = Counter()

    def fault(self, sender: str, receiver: str) -> Fault:
        """Return the fault that applies from one member to another."""
        return self.faults.get((sender, receiver), self.default_fault)

    async def add_member(self, name: str, member_port: int, port: int) -> None:
        """Open a proxy at `port` for the member that listens at `member_port`."""
        self.names_by_port[member_port] = name
        self.member_proxies.append(MemberProxy(self, name, member_port))
        await self.member_proxies[-1].open(port)

    def cut(self, senders: set[str], receivers: set[str], both: bool = True) -> None:
        """Drop all messages from each sender to each receiver, and with `both` also those in reverse."""
        for sender in senders:
            for receiver in receivers - {sender}:
                self.faults[sender, receiver] = CUT
                if both:
                    self.faults[receiver, sender] = CUT

    def heal(self) -> None:
        """Remove all faults set between pairs of members."""
        self.faults.clear()

    def close(self) -> None:
        for member_proxy in self.member_proxies:
            member_proxy.close()
