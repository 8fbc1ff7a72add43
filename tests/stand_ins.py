"""Stub discovery, targets and clients on loopback, with one interface for HTTP and NVMe/TCP."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import struct
import time
from dataclasses import dataclass, replace

from stalltiller.adapters.nvme_mapping import Mapping, Namespace, OpcodeMapping
from stalltiller.daemon.application import Application
from stalltiller.daemon.config import Config
from stalltiller.protocol import http, nvme
from stalltiller.routing.transfer_limits import DEFAULT_IDLE_LIMIT_SECONDS
from stalltiller.scheduling import Idempotency
from tests.helpers import plan, request_class, rules, settings

BLOCK_BYTES = 512
BLOCKS_PER_UNIT = 32
VOLUME = 0xA1
SUBSYSTEM_NQN = "nqn.2026-12.example:canteen"
DEADLINE_SECONDS = 0.6
MAX_RETRY_AFTER_SECONDS = 0.5
NO_RESPONSE_SECONDS = 30.0  # longer than any test runs
MAX_READ_BYTES = 65536
CLASSES = (
    request_class(name="read", latency_objective=0.4, deadline=DEADLINE_SECONDS),
    request_class(
        name="write",
        latency_objective=0.4,
        deadline=DEADLINE_SECONDS,
        idempotency=Idempotency.UNSAFE,
        is_write=True,
    ),
)


@dataclass
class Result:
    """How a request ended for its client."""

    outcome: str  # served, refused or failed
    data: bytes
    elapsed: float  # seconds
    retry_after: float = 0.0  # seconds


class StubServer:
    """A stub server on loopback that tracks its connections in order to close them."""

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
    """Read one message; raises EOFError if the connection ends before it is complete."""
    reader = http.Reader(response=response)
    unparsed = b""
    while not reader.is_complete:
        received = await stream.read(MAX_READ_BYTES)
        if not received:
            raise EOFError
        unparsed += received
        unparsed = unparsed[reader.feed(memoryview(unparsed)) :]
    return reader


class Discovery(StubServer):
    """A stub discovery service: holds the target list and responds to polls for it."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 1
        self.lines: dict[str, dict] = {}
        self.changed = asyncio.Event()
        self.calls: list[str] = []
        self.times: list[float] = []  # when each call was received (monotonic clock)
        self.malformed_bodies: list[bytes] = []  # sent in place of the list, last one first
        self.silent = False  # accepts calls without responding to them

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
                self.malformed_bodies.pop()
                if self.malformed_bodies
                else json.dumps(
                    {"index": self.index, "snapshot": True, "endpoints": list(self.lines.values())}
                ).encode()
            )
            writer.write(http.encode_response(200, body))


class Target(StubServer):
    """A stub storage server.

    `mode` states what it does with a request: serve, reject (before execution), error, no_response
    (execute it without a response), break (execute it and close the connection), or stall (stop reading after
    the request's head).
    """

    def __init__(self, name: str, shard: int) -> None:
        super().__init__()
        self.name = name
        self.shard = shard
        self.mode = "serve"
        self.delay = 0.0  # seconds to execute a request
        self.received: list[tuple[float, int]] = []  # arrival time (monotonic clock) and tag of each request
        self.executed: list[tuple[int, bytes]] = []  # the tag and data of each request executed
        self.in_flight = 0
        self.max_in_flight = 0

    async def execute(self, tag: int, data: bytes) -> str:
        """Execute a request unless the mode rejects it; return the mode."""
        mode = self.mode
        if mode == "reject":
            return mode
        self.executed.append((tag, data))
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            await asyncio.sleep(NO_RESPONSE_SECONDS if mode == "no_response" else self.delay)
        finally:
            self.in_flight -= 1
        if mode == "break":
            raise EOFError
        return mode

    @staticmethod
    def stored_data(tag: int, size: int) -> bytes:
        """Return the data that a read of a tag yields."""
        return (b"%08d" % tag * (size // 8 + 1))[:size]


# --- HTTP -----------------------------------------------------------------------------------------
class HttpTarget(Target):
    """A stub target over HTTP."""

    async def serve(self, reader, writer) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            tag = int(head.split(b" ")[1].split(b"/")[-1], 16)
            self.received.append((time.monotonic(), tag))
            if self.mode == "stall":
                await asyncio.sleep(NO_RESPONSE_SECONDS)
            message = http.Reader(response=False)
            message.feed(memoryview(head))
            while not message.is_complete:
                message.feed(memoryview(await reader.read(MAX_READ_BYTES) or b""))
            mode = await self.execute(tag, bytes(message.body))
            if mode == "serve":
                body = b"" if message.head.method == "PUT" else self.stored_data(tag, BLOCK_BYTES)
                writer.write(http.encode_response(200, body))
            elif mode == "reject":
                writer.write(http.encode_response(503, fields={"X-Not-Processed": "1"}))
            else:
                writer.write(http.encode_response(500))


class HttpClient:
    """Sends one request per connection, so that a request can be abandoned by disconnecting."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.request_numbers = itertools.count(1)

    async def open(self) -> None: ...

    async def request(self, write: bool, tag: int, data: bytes, shard: int, units: int) -> Result:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        started_at = time.monotonic()
        try:
            method, path = ("PUT", f"/write/{tag:x}") if write else ("GET", f"/read/{tag:x}")
            writer.write(
                http.encode_request(
                    method,
                    path,
                    {
                        "Host": "h",
                        "X-Request-ID": f"id{next(self.request_numbers)}",
                        "Tier": "plan",
                        "X-Timeout": str(DEADLINE_SECONDS),
                        "IO-Info": f"volume={VOLUME:x},units={units},shard={shard},hosts=1",
                    },
                    data,
                )
            )
            response = await read_message(reader, response=True)
        finally:
            writer.transport.abort()
        head = response.head
        outcome = {200: "served", 429: "refused", 503: "refused"}.get(head.status, "failed")
        return Result(
            outcome,
            bytes(response.body),
            time.monotonic() - started_at,
            float(head.fields.get("retry-after", 0)),
        )

    def close(self) -> None: ...


# --- NVMe/TCP ---------------------------------------------------------------------------------------
class PduStream:
    """Reads PDUs from a connection."""

    def __init__(self, reader, writer, allowed) -> None:
        self.reader = reader
        self.writer = writer
        self.pdu_reader = nvme.PduReader(allowed)
        self.unparsed = b""

    async def next(self) -> nvme.Pdu:
        """Return the next PDU; raises EOFError at the end of the connection."""
        while True:
            consumed, pdu = self.pdu_reader.feed(memoryview(self.unparsed))
            self.unparsed = self.unparsed[consumed:]
            if pdu is not None:
                return pdu
            if not consumed:
                received = await self.reader.read(MAX_READ_BYTES)
                if not received:
                    raise EOFError
                self.unparsed += received


class NvmeTarget(Target):
    """A stub target over NVMe/TCP: each connection is a queue with one command at a time."""

    capsule = nvme.MAX_IN_CAPSULE_BYTES

    async def serve(self, reader, writer) -> None:
        stream = PduStream(reader, writer, nvme.FROM_HOST)
        nvme.parse_ic(await stream.next())
        writer.write(nvme.ic_response())
        while True:
            pdu = await stream.next()
            await self.command(stream, nvme.parse_command(pdu), pdu.data)

    async def command(self, stream: PduStream, request: nvme.Command, data: bytes) -> None:
        status = nvme.OK
        result = 0
        size = 0
        if request.opcode == nvme.FABRICS:
            result = {nvme.CONNECT: 7, nvme.PROPERTY_GET: nvme.CSTS_READY}.get(request.nsid, 0)
        elif request.opcode == nvme.IDENTIFY:
            page = bytearray(nvme.identify_controller(7, self.name, SUBSYSTEM_NQN, (1, 1, 1), 9))
            struct.pack_into("<I", page, 1792, (self.capsule + 64) // 16)
            stream.writer.write(nvme.data_pdu(nvme.C2H_DATA, request.cid, 0, 0, bytes(page)))
        elif request.opcode in (nvme.READ, nvme.WRITE):
            self.received.append((time.monotonic(), request.lba))
            if request.opcode == nvme.WRITE and not data:
                stream.writer.write(nvme.r2t(request.cid, 5, 0, request.length))
            if self.mode == "stall":
                await asyncio.sleep(NO_RESPONSE_SECONDS)
            while request.opcode == nvme.WRITE and len(data) < request.length:
                data += (await stream.next()).data
            mode = await self.execute(request.lba, data)
            status = {"serve": nvme.OK, "reject": nvme.NAMESPACE_NOT_READY}.get(mode, nvme.INTERNAL_ERROR)
            size = request.length if request.opcode == nvme.READ and mode == "serve" else 0
            if size:
                stream.writer.write(
                    nvme.data_pdu(nvme.C2H_DATA, request.cid, 0, 0, self.stored_data(request.lba, size))
                )
        stream.writer.write(nvme.completion(nvme.Completion(request.cid, status, result), 0, 0))


class NvmeClient:
    """A host with one association per request, so that a request can be abandoned by disconnecting."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.streams: list[PduStream] = []
        self.retry_delays = (0, 0, 0)  # command retry delays in units of 100 ms

    async def open(self) -> None: ...

    async def queue(self, number: int, controller: int, keep_alive: float = 0) -> tuple[PduStream, int]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        stream = PduStream(reader, writer, nvme.FROM_CONTROLLER)
        self.streams.append(stream)
        writer.write(nvme.ic_request())
        nvme.parse_ic(await stream.next())
        writer.write(nvme.connect(1, number, 16, keep_alive, controller, b"host", SUBSYSTEM_NQN, "nqn.host"))
        completion = nvme.parse_completion(await stream.next())
        assert completion.status == nvme.OK
        return stream, completion.result

    async def associate(self) -> tuple[PduStream, PduStream]:
        admin, controller = await self.queue(0, nvme.DYNAMIC_CONTROLLER_ID)
        admin.writer.write(nvme.property_set(2, nvme.CC, nvme.CC_ENABLE))
        assert nvme.parse_completion(await admin.next()).status == nvme.OK
        admin.writer.write(
            nvme.command(nvme.IDENTIFY, 3, command_dwords=bytes([nvme.CNS_CONTROLLER]), length=4096)
        )
        self.retry_delays = nvme.retry_delays((await admin.next()).data)
        await admin.next()
        io, _ = await self.queue(1, controller)
        return admin, io

    async def request(self, write: bool, tag: int, data: bytes, shard: int, units: int) -> Result:
        admin, io = await self.associate()
        started_at = time.monotonic()
        size = len(data) if write else BLOCK_BYTES * BLOCKS_PER_UNIT * units
        capsule_data = data if len(data) <= nvme.MAX_IN_CAPSULE_BYTES else b""
        try:
            io.writer.write(
                nvme.io_command(
                    nvme.WRITE if write else nvme.READ,
                    9,
                    shard + 1,
                    tag,
                    size // BLOCK_BYTES,
                    size,
                    capsule_data,
                )
            )
            read_data = b""
            while True:
                pdu = await io.next()
                if pdu.kind == nvme.RESPONSE_CAPSULE:
                    break
                if pdu.kind == nvme.R2T:
                    _, transfer_tag, offset, length = nvme.parse_data(pdu)
                    part = data[offset : offset + length]
                    io.writer.write(nvme.data_pdu(nvme.H2C_DATA, 9, transfer_tag, offset, part))
                else:
                    read_data += pdu.data
            completion = nvme.parse_completion(pdu)
            assert completion.cid == 9
        finally:
            for stream in (admin, io):
                stream.writer.transport.abort()
        elapsed = time.monotonic() - started_at
        if completion.status == nvme.OK:
            return Result("served", read_data, elapsed)
        if completion.delay and not completion.no_retry:
            return Result("refused", b"", elapsed, self.retry_delays[completion.delay - 1] / 10)
        assert completion.no_retry or not write
        return Result("failed", b"", elapsed)

    def close(self) -> None:
        for stream in self.streams:
            stream.writer.transport.abort()


# --- Initiator, discovery and targets ---------------------------------------------------------------
class InitiatorHarness:
    """One initiator with discovery, two targets and a client; `kind` is http or nvme."""

    def __init__(self, kind: str, **changes: object) -> None:
        self.kind = kind
        self.discovery = Discovery()
        target_class = HttpTarget if kind == "http" else NvmeTarget
        self.targets = [target_class("s-0", 0), target_class("s-1", 1)]
        self.logged: list[dict] = []
        changes = {
            "classes": CLASSES,
            "plans": (plan(rate=500.0, reservation=500.0),),
            "max_attempts": 4,
            "max_retry_after": MAX_RETRY_AFTER_SECONDS,
            "rules": rules(drain_grace=0.5),
            **changes,
        }
        self.settings = settings(**changes)

    def log(self, event: str, **details: object) -> None:
        self.logged.append({"event": event, **details})

    log.dropped = 0

    def config(self) -> Config:
        namespaces = {
            shard + 1: Namespace(
                VOLUME, self.settings.plans[0].name, shard, 1, 1 << 40, BLOCK_BYTES, BLOCKS_PER_UNIT
            )
            for shard in range(2)
        }
        opcodes = {
            nvme.READ: OpcodeMapping("read", DEADLINE_SECONDS),
            nvme.WRITE: OpcodeMapping("write", DEADLINE_SECONDS),
        }
        mapping = Mapping(SUBSYSTEM_NQN, namespaces, opcodes) if self.kind == "nvme" else None
        discovery_address = ("127.0.0.1", self.discovery.port)
        return Config(
            "n0",
            ("127.0.0.1", 0),
            discovery_address,
            1,
            1024,
            64 << 20,
            None,
            self.settings,
            ["a"],
            ["m"],
            0.25,
            30.0,
            DEFAULT_IDLE_LIMIT_SECONDS,
            mapping,
        )

    async def __aenter__(self) -> InitiatorHarness:
        for target in self.targets:
            await target.open()
            self.discovery.set(target)
        await self.discovery.open()
        self.app = Application(self.adjust_config(self.config()), self.log, asyncio.get_running_loop())
        self.running = asyncio.create_task(self.app.run())
        await self.app.started.wait()
        await self.wait_until(lambda: self.app.is_ready())
        self.client = (HttpClient if self.kind == "http" else NvmeClient)(self.app.listener.address[1])
        return self

    def adjust_config(self, config: Config) -> Config:
        """Return the configuration to use; subclasses override this to adjust it."""
        return replace(config)

    async def __aexit__(self, *error: object) -> None:
        self.client.close()
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        for stub in (self.discovery, *self.targets):
            stub.close()
        await asyncio.sleep(0)

    async def wait_until(self, condition, limit: float = 5.0) -> None:
        """Wait until a condition holds, at most `limit` seconds."""
        deadline = time.monotonic() + limit
        while not condition():
            assert time.monotonic() < deadline, "the condition did not hold in time"
            await asyncio.sleep(0.005)

    async def read(self, tag: int = 1, shard: int = 0, units: int = 1) -> Result:
        return await self.client.request(False, tag, b"", shard, units)

    async def write(self, tag: int = 1, shard: int = 0, size: int = BLOCK_BYTES) -> Result:
        return await self.client.request(True, tag, Target.stored_data(tag, size), shard, 1)

    def faults(self) -> list[dict]:
        """Return the logged faults, which the engine handles without stopping."""
        return [line for line in self.logged if line["event"] == "fault"]
