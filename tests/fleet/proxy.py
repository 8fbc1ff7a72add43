"""A fault proxy on loopback: it stands before each member and loses, delays, doubles or cuts by pairs."""

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
    """What happens from one member to another: shares of messages, and a delay in seconds (drawn up to it, so
    that messages overtake each other)."""

    lose: float = 0.0
    double: float = 0.0
    delay: float = 0.0


CUT = Fault(lose=1.0)


class Gate(asyncio.DatagramProtocol):
    """The way to one member, over UDP and TCP at one port."""

    def __init__(self, proxy: Proxy, name: str, port: int) -> None:
        self.proxy, self.name, self.port = proxy, name, port
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None

    async def open(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", port))
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        fault = self.proxy.fault(self.proxy.names.get(source[1], "?"), self.name)
        if self.proxy.draw.random() < fault.lose:
            self.proxy.lost[self.proxy.names.get(source[1], "?"), self.name] += 1
            return
        for _ in range(1 + (self.proxy.draw.random() < fault.double)):
            asyncio.get_running_loop().call_later(fault.delay * self.proxy.draw.random(), self.forward, data)

    def forward(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, ("127.0.0.1", self.port))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one exchange on, unless either way between the two is cut."""
        back = None
        with contextlib.suppress(OSError, EOFError):
            head = await reader.readexactly(LENGTH_PREFIX.size)
            data = await reader.readexactly(LENGTH_PREFIX.unpack(head)[0])
            asker = decode_sync(self.proxy.fleet, data).sender.name
            if CUT not in (self.proxy.fault(asker, self.name), self.proxy.fault(self.name, asker)):
                there, back = await asyncio.open_connection("127.0.0.1", self.port)
                back.write(head + data)
                head = await there.readexactly(LENGTH_PREFIX.size)
                writer.write(head + await there.readexactly(LENGTH_PREFIX.unpack(head)[0]))
                await writer.drain()
        for stream in (writer, back):
            if stream is not None:
                stream.close()

    def close(self) -> None:
        self.transport.close()
        self.server.close()


class Proxy:
    """All gates of one fleet."""

    def __init__(self, fleet: str, seed: int = 1) -> None:
        self.fleet, self.draw = fleet, random.Random(seed)
        self.names: dict[int, str] = {}  # by a member's own port
        self.gates: list[Gate] = []
        self.faults: dict[tuple[str, str], Fault] = {}
        self.usual = Fault()
        self.lost: Counter[tuple[str, str]] = Counter()

    def fault(self, one: str, other: str) -> Fault:
        return self.faults.get((one, other), self.usual)

    async def before(self, name: str, own: int, port: int) -> None:
        """Open a gate at `port` to the member that listens at `own`."""
        self.names[own] = name
        self.gates.append(Gate(self, name, own))
        await self.gates[-1].open(port)

    def cut(self, ones: set[str], others: set[str], both: bool = True) -> None:
        """Cut the way from each of the ones to each of the others, and back."""
        for one in ones:
            for other in others - {one}:
                self.faults[one, other] = CUT
                if both:
                    self.faults[other, one] = CUT

    def heal(self) -> None:
        self.faults.clear()

    def close(self) -> None:
        for gate in self.gates:
            gate.close()
