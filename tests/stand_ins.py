"""Stand-ins on loopback for discovery, targets and clients, one pair for each wire, with one face."""

from __future__ import annotations

import asyncio
import contextlib
import json
import struct
import time
from dataclasses import dataclass, replace

from stalltiller.adapters.nvme_mapping import Mapping, Namespace, OpcodeMapping
from stalltiller.daemon.application import Application
from stalltiller.daemon.config import Config
from stalltiller.protocol import http, nvme
from stalltiller.scheduling import Idempotency
from tests.helpers import plan, request_class, rules, settings

BLOCK, PER_UNIT, VOLUME = 512, 32, 0xA1
SUBSYSTEM = "nqn.2026-12.example:canteen"
DEADLINE = 0.6
MAX_ADVICE = 0.5
CLASSES = (
    request_class(name="read", latency_objective=0.4, deadline=DEADLINE),
    request_class(
        name="write", latency_objective=0.4, deadline=DEADLINE, idempotency=Idempotency.UNSAFE, is_write=True
    ),
)


@dataclass
class Result:
    """How a request ended for its client."""

    end: str  # served, refused or failed
    data: bytes
    took: float
    retry_after: float = 0.0


class Standin:
    """A server on loopback that keeps its connections, to close them."""

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def read_message(stream: asyncio.StreamReader, response: bool = False) -> http.Reader:
    reader, kept = http.Reader(response=response), b""
    while not reader.done:
        got = await stream.read(65536)
        if not got:
            raise EOFError
        kept += got
        kept = kept[reader.feed(memoryview(kept)) :]
    return reader


class Discovery(Standin):
    """Holds the list of targets and answers watches."""

    def __init__(self) -> None:
        super().__init__()
        self.index, self.lines, self.changed = 1, {}, asyncio.Event()
        self.calls: list[str] = []
        self.times: list[float] = []  # of the calls
        self.spoil: list[bytes] = []  # bodies to answer in place of the list
        self.silent = False  # it takes calls and answers none

    def set(self, target: Target, status: str = "active", since_ms: int = 0) -> None:
        self.lines[target.name] = {
            "name": target.name,
            "address": f"127.0.0.1:{target.port}",
            "zone": "a",
            "type": "m",
            "group": target.shard,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }
        self.index += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        while True:
            path = (await read_message(reader)).head.target
            self.calls.append(path)
            self.times.append(time.monotonic())
            if self.silent:
                await asyncio.get_running_loop().create_future()
            if f"after={self.index}&" in path:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(path.rpartition("=")[2]) / 1000):
                        await self.changed.wait()
            body = (
                self.spoil.pop()
                if self.spoil
                else json.dumps(
                    {"index": self.index, "snapshot": True, "endpoints": list(self.lines.values())}
                ).encode()
            )
            writer.write(http.encode_response(200, body))


class Target(Standin):
    """A storage node.  `mode` says what it does with a request that has come whole: serve, turn_away, error,
    silent, break, or stall (which stops reading at the request's head)."""

    def __init__(self, name: str, shard: int) -> None:
        super().__init__()
        self.name, self.shard, self.mode, self.delay = name, shard, "serve", 0.0
        self.begun: list[tuple[float, int]] = []  # when a request's first bytes came, and its tag
        self.ran: list[tuple[int, bytes]] = []
        self.out, self.most_out = 0, 0

    async def act(self, tag: int, data: bytes) -> str:
        mode = self.mode
        if mode == "turn_away":
            return mode
        self.ran.append((tag, data))
        self.out += 1
        self.most_out = max(self.most_out, self.out)
        try:
            await asyncio.sleep(30 if mode == "silent" else self.delay)
        finally:
            self.out -= 1
        if mode == "break":
            raise EOFError
        return mode

    @staticmethod
    def content(tag: int, size: int) -> bytes:
        return (b"%08d" % tag * (size // 8 + 1))[:size]


# --- HTTP -----------------------------------------------------------------------------------------
class HttpTarget(Target):
    async def serve(self, reader, writer) -> None:
        while True:
            first = await reader.readuntil(b"\r\n\r\n")
            tag = int(first.split(b" ")[1].split(b"/")[-1], 16)
            self.begun.append((time.monotonic(), tag))
            if self.mode == "stall":
                await asyncio.sleep(30)
            message = http.Reader(response=False)
            message.feed(memoryview(first))
            while not message.done:
                message.feed(memoryview(await reader.read(65536) or b""))
            mode = await self.act(tag, bytes(message.body))
            if mode == "serve":
                body = b"" if message.head.method == "PUT" else self.content(tag, BLOCK)
                writer.write(http.encode_response(200, body))
            elif mode == "turn_away":
                writer.write(http.encode_response(503, fields={"X-Not-Processed": "1"}))
            else:
                writer.write(http.encode_response(500))


class HttpClient:
    """Sends one request a connection, so that it can leave in the middle."""

    def __init__(self, port: int) -> None:
        self.port, self.numbers = port, iter(range(1, 10**6))

    async def open(self) -> None: ...

    async def request(self, write: bool, tag: int, data: bytes, shard: int, units: int) -> Result:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        began = time.monotonic()
        try:
            method, path = ("PUT", f"/write/{tag:x}") if write else ("GET", f"/read/{tag:x}")
            writer.write(
                http.encode_request(
                    method,
                    path,
                    {
                        "Host": "h",
                        "X-Request-ID": f"id{next(self.numbers)}",
                        "Tier": "plan",
                        "X-Timeout": str(DEADLINE),
                        "IO-Info": f"volume={VOLUME:x},units={units},shard={shard},hosts=1",
                    },
                    data,
                )
            )
            answer = await read_message(reader, response=True)
        finally:
            writer.transport.abort()
        head = answer.head
        end = {200: "served", 429: "refused", 503: "refused"}.get(head.status, "failed")
        return Result(
            end, bytes(answer.body), time.monotonic() - began, float(head.fields.get("retry-after", 0))
        )

    def close(self) -> None: ...


# --- NVMe/TCP ---------------------------------------------------------------------------------------
class Pdus:
    """A stream of PDUs."""

    def __init__(self, reader, writer, allowed) -> None:
        self.reader, self.writer, self.kept = reader, writer, b""
        self.pdus = nvme.PduReader(allowed)

    async def next(self) -> nvme.Pdu:
        while True:
            used, found = self.pdus.feed(memoryview(self.kept))
            self.kept = self.kept[used:]
            if found is not None:
                return found
            if not used:
                got = await self.reader.read(65536)
                if not got:
                    raise EOFError
                self.kept += got


class NvmeTarget(Target):
    """A small controller: every queue of a connection, one command at a time."""

    capsule = nvme.IN_CAPSULE

    async def serve(self, reader, writer) -> None:
        stream = Pdus(reader, writer, nvme.FROM_HOST)
        nvme.parse_ic(await stream.next())
        writer.write(nvme.ic_response())
        while True:
            found = await stream.next()
            await self.command(stream, nvme.parse_command(found), found.data)

    async def command(self, stream: Pdus, c: nvme.Command, data: bytes) -> None:
        status, result, size = nvme.OK, 0, 0
        if c.opcode == nvme.FABRICS:
            result = {nvme.CONNECT: 7, nvme.PROPERTY_GET: nvme.CSTS_READY}.get(c.nsid, 0)
        elif c.opcode == nvme.IDENTIFY:
            page = bytearray(nvme.identify_controller(7, self.name, SUBSYSTEM, (1, 1, 1), 9))
            struct.pack_into("<I", page, 1792, (self.capsule + 64) // 16)
            stream.writer.write(nvme.data_pdu(nvme.C2H_DATA, c.cid, 0, 0, bytes(page)))
        elif c.opcode in (nvme.READ, nvme.WRITE):
            self.begun.append((time.monotonic(), c.lba))
            if c.opcode == nvme.WRITE and not data:
                stream.writer.write(nvme.r2t(c.cid, 5, 0, c.length))
            if self.mode == "stall":
                await asyncio.sleep(30)
            while c.opcode == nvme.WRITE and len(data) < c.length:
                data += (await stream.next()).data
            mode = await self.act(c.lba, data)
            status = {"serve": nvme.OK, "turn_away": nvme.NOT_READY}.get(mode, nvme.INTERNAL)
            size = c.length if c.opcode == nvme.READ and mode == "serve" else 0
            if size:
                stream.writer.write(nvme.data_pdu(nvme.C2H_DATA, c.cid, 0, 0, self.content(c.lba, size)))
        stream.writer.write(nvme.completion(nvme.Completion(c.cid, status, result), 0, 0))


class NvmeClient:
    """A host: an association a request, so that it can leave in the middle."""

    def __init__(self, port: int) -> None:
        self.port, self.streams, self.delays = port, [], (0, 0, 0)

    async def open(self) -> None: ...

    async def queue(self, number: int, controller: int, keep_alive: float = 0) -> tuple[Pdus, int]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        stream = Pdus(reader, writer, nvme.FROM_CONTROLLER)
        self.streams.append(stream)
        writer.write(nvme.ic_request())
        nvme.parse_ic(await stream.next())
        writer.write(nvme.connect(1, number, 16, keep_alive, controller, b"host", SUBSYSTEM, "nqn.host"))
        done = nvme.parse_completion(await stream.next())
        assert done.status == nvme.OK
        return stream, done.result

    async def associate(self) -> tuple[Pdus, Pdus]:
        admin, controller = await self.queue(0, nvme.DYNAMIC)
        admin.writer.write(nvme.property_set(2, nvme.CC, nvme.CC_ENABLE))
        assert nvme.parse_completion(await admin.next()).status == nvme.OK
        admin.writer.write(nvme.command(nvme.IDENTIFY, 3, rest=bytes([nvme.CNS_CONTROLLER]), length=4096))
        self.delays = nvme.retry_delays((await admin.next()).data)
        await admin.next()
        io, _ = await self.queue(1, controller)
        return admin, io

    async def request(self, write: bool, tag: int, data: bytes, shard: int, units: int) -> Result:
        admin, io = await self.associate()
        began = time.monotonic()
        size = len(data) if write else BLOCK * PER_UNIT * units
        inside = data if len(data) <= nvme.IN_CAPSULE else b""
        try:
            io.writer.write(
                nvme.io_command(
                    nvme.WRITE if write else nvme.READ, 9, shard + 1, tag, size // BLOCK, size, inside
                )
            )
            got = b""
            while True:
                found = await io.next()
                if found.kind == nvme.RESPONSE:
                    break
                if found.kind == nvme.R2T:
                    _, ttag, offset, length = nvme.parse_data(found)
                    part = data[offset : offset + length]
                    io.writer.write(nvme.data_pdu(nvme.H2C_DATA, 9, ttag, offset, part))
                else:
                    got += found.data
            done = nvme.parse_completion(found)
            assert done.cid == 9
        finally:
            for stream in (admin, io):
                stream.writer.transport.abort()
        took = time.monotonic() - began
        if done.status == nvme.OK:
            return Result("served", got, took)
        if done.delay and not done.no_retry:
            return Result("refused", b"", took, self.delays[done.delay - 1] / 10)
        assert done.no_retry or not write
        return Result("failed", b"", took)

    def close(self) -> None:
        for stream in self.streams:
            stream.writer.transport.abort()


# --- The whole ------------------------------------------------------------------------------------
class World:
    """One initiator with its surroundings, on the wire that `kind` names."""

    def __init__(self, kind: str, **changes: object) -> None:
        self.kind = kind
        self.discovery = Discovery()
        make = HttpTarget if kind == "http" else NvmeTarget
        self.targets = [make("s-0", 0), make("s-1", 1)]
        self.logged: list[dict] = []
        changes = {
            "classes": CLASSES,
            "plans": (plan(rate=500.0, reservation=500.0),),
            "max_attempts": 4,
            "max_retry_after": MAX_ADVICE,
            "rules": rules(drain_grace=0.5),
            **changes,
        }
        self.settings = settings(**changes)

    def log(self, event: str, **details: object) -> None:
        self.logged.append({"event": event, **details})

    log.dropped = 0

    def config(self) -> Config:
        spaces = {i + 1: Namespace(VOLUME, 0, i, 1, 1 << 40, BLOCK, PER_UNIT) for i in range(2)}
        opcodes = {nvme.READ: OpcodeMapping(0, DEADLINE), nvme.WRITE: OpcodeMapping(1, DEADLINE)}
        mapping = Mapping(SUBSYSTEM, spaces, opcodes) if self.kind == "nvme" else None
        agent = ("127.0.0.1", self.discovery.port)
        return Config(
            "n0",
            ("127.0.0.1", 0),
            agent,
            1,
            1024,
            64 << 20,
            None,
            self.settings,
            ["a"],
            ["m"],
            0.25,
            30.0,
            mapping,
        )

    async def __aenter__(self) -> World:
        for target in self.targets:
            await target.open()
            self.discovery.set(target)
        await self.discovery.open()
        self.app = Application(self.changed(self.config()), self.log, asyncio.get_running_loop())
        self.running = asyncio.create_task(self.app.run())
        await self.app.started.wait()
        await self.until(lambda: self.app.is_ready())
        self.client = (HttpClient if self.kind == "http" else NvmeClient)(self.app.listener.address[1])
        return self

    def changed(self, config: Config) -> Config:
        return replace(config)

    async def __aexit__(self, *error: object) -> None:
        self.client.close()
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        for standin in (self.discovery, *self.targets):
            standin.close()
        await asyncio.sleep(0)

    async def until(self, true, limit: float = 5.0) -> None:
        """Wait for something to come true."""
        end = time.monotonic() + limit
        while not true():
            assert time.monotonic() < end, "it did not come true in time"
            await asyncio.sleep(0.005)

    async def read(self, tag: int = 1, shard: int = 0, units: int = 1) -> Result:
        return await self.client.request(False, tag, b"", shard, units)

    async def write(self, tag: int = 1, shard: int = 0, size: int = BLOCK) -> Result:
        return await self.client.request(True, tag, Target.content(tag, size), shard, 1)

    def faults(self) -> list[dict]:
        return [line for line in self.logged if line["event"] == "fault"]
