"""Stand-ins of the second review: discovery, targets, clients and the platform that starts the program.

They need the standard library and the project's own codec of NVMe/TCP.  A case is a class with `play`.
`main` runs it, writes `record.txt` in the case's folder and exits with 1 if the rule was broken, with 0 if it
held, and with 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path

from stalltiller.protocol import nvme

ROOT = Path(__file__).resolve().parent.parent
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
MAX_CASE_SECONDS = 110.0
START_SECONDS = 30.0  # a process has this long to be ready
CALL_SECONDS = 10.0  # longer than any client waits
BLOCK_BYTES = 4096
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run, which says nothing about the rule."""


def free_port() -> int:
    """Return a port that is unused over TCP and UDP, below the range of ports for outgoing connections."""
    for candidate in random.sample(range(12000, 32000), 2000):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", candidate))
                udp.bind(("127.0.0.1", candidate))
            except OSError:
                continue
            if candidate not in _given_ports:
                _given_ports.add(candidate)
                return candidate
    raise CaseError("no free port")


_given_ports: set[int] = set()


def to_toml(table: dict, path: str = "") -> str:
    """Return a nested dictionary as TOML."""
    lines = [f"{key} = {_toml_value(value)}" for key, value in table.items() if not _is_table(value)]
    text = "\n".join(lines) + "\n"
    for key, value in table.items():
        if not _is_table(value):
            continue
        for item in value if isinstance(value, list) else [value]:
            header = f"[[{path}{key}]]" if isinstance(value, list) else f"[{path}{key}]"
            text += f"\n{header}\n" + to_toml(item, f"{path}{key}.")
    return text


def _is_table(value: object) -> bool:
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))


def _toml_value(value: object) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(_toml_value(item) for item in value) + "]"
    return json.dumps(value)


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        print(f"{time.monotonic() - self._started_at:8.3f}  {text}", file=self._file, flush=True)


# --- The platform -----------------------------------------------------------------------------------
class Initiator:
    """One process of the program, started with the `run` of the deploy file and given arguments."""

    def __init__(self, case: Case, label: str, arguments: str = "", **environment: str) -> None:
        self.label = label
        self.events: list[dict] = []
        self._case = case
        self._command = f"{RUN_COMMAND} {arguments}".strip()
        self._environment = {**os.environ, **environment}
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process."""
        self._case.record(f"{self.label}: start: {self._command}")
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self._command,
            cwd=ROOT,
            env=self._environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._log_reader = asyncio.create_task(self._read_log())

    async def _read_log(self) -> None:
        assert self._process is not None
        assert self._process.stdout is not None
        async for line in self._process.stdout:
            try:
                event = json.loads(line)
            except ValueError:
                event = {"event": line.decode(errors="replace").strip()}
            self.events.append(event)
            if event["event"] not in ("counters", "list"):
                text = {key: value for key, value in event.items() if key not in ("time", "name")}
                self._case.record(f"{self.label}: log: {json.dumps(text)}")

    async def has_list(self) -> bool:
        """Return whether the process has started and discovery has told it a list."""
        if not self.is_running:
            raise CaseError(f"{self.label} has ended by itself")
        return self.logged("started") and self.logged("list")

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def logged(self, event: str) -> bool:
        """Return whether the log has an event."""
        return any(line["event"] == event for line in self.events)

    async def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._case.record(f"{self.label}: signal: {signal_number.name}")
        self._process.send_signal(signal_number)

    async def end(self, signal_number: signal.Signals, seconds: float = CALL_SECONDS) -> None:
        """Send a signal and wait until the process has ended."""
        await self.send(signal_number)
        assert self._process is not None
        try:
            async with asyncio.timeout(seconds):
                await self._process.wait()
        except TimeoutError as error:
            raise CaseError(f"{self.label} did not end after {signal_number.name}") from error
        self._case.record(f"{self.label}: ended with {self._process.returncode}")

    async def close(self) -> None:
        """Kill the process if it is still running."""
        if self.is_running:
            assert self._process is not None
            self._process.kill()
            await self._process.wait()
        if self._log_reader is not None:
            await asyncio.gather(self._log_reader, return_exceptions=True)


class Case:
    """A case: subclasses play it; the base starts and ends what it needs."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._closers: list[Callable[[], Awaitable[None]]] = []

    async def play(self) -> str | None:
        """Play the case; return what broke the rule, None if it held."""
        raise NotImplementedError

    async def opened(self, server: Server) -> Server:
        """Open a stand-in server that is closed at the end."""
        await server.open()
        self._closers.append(server.close)
        return server

    def initiator(self, label: str, arguments: str = "", **environment: str) -> Initiator:
        """Return a process of the program that is ended at the end."""
        initiator = Initiator(self, label, arguments, TMPDIR=str(self.folder), **environment)
        self._closers.append(initiator.close)
        return initiator

    async def wait_for(
        self, what: str, condition: Callable[[], Awaitable[bool]], seconds: float = START_SECONDS
    ) -> None:
        """Wait until a condition holds; raises CaseError if it does not in time."""
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise CaseError(f"not in time: {what}")
            await asyncio.sleep(0.02)

    async def run(self) -> int:
        """Play the case and return the exit code."""
        try:
            async with asyncio.timeout(MAX_CASE_SECONDS):
                broken = await self.play()
        except (CaseError, TimeoutError) as error:
            self.record(f"could not run: {type(error).__name__}: {error}")
            return NOT_RUN
        except Exception:
            self.record(f"could not run: {traceback.format_exc()}")
            return NOT_RUN
        finally:
            for closer in reversed(self._closers):
                await closer()
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record(f"BROKEN: {broken}" if broken else "held")
        return BROKEN if broken else HELD


def main(case_class: type[Case], folder: Path) -> None:
    """Run a case, end all that it started and exit."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await case_class(folder).run()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        code = NOT_RUN
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)


def operator_file(file_name: str, **changes: object) -> dict:
    """Return an operator's file of the repository with other values at its top level, and without metrics."""
    table = tomllib.loads((ROOT / "deploy" / file_name).read_text())
    for key in ("graphite", "collectd"):
        table.pop(key, None)
    return table | changes


# --- Servers ----------------------------------------------------------------------------------------
class Server:
    """A server on a loopback address that ends its connections when it is closed."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a free port, or on the one of before."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read a message with a length: the first line, the fields by lower-case name, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head.rstrip("\r\n").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return first_line, fields, body


def encode_http(first_line: str, fields: dict[str, str], body: bytes) -> bytes:
    """Return a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


class Discovery(Server):
    """Discovery as the protocol page tells: the whole list, and watches on what changes."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self._index = 40
        self._lines: dict[str, dict] = {}
        self._changed_at: dict[str, int] = {}
        self._changed = asyncio.Event()

    def put(self, name: str, port: int, group: int, status: str = "active", since_ms: int = 0) -> None:
        """List a target, or list it anew."""
        self._index += 1
        self._lines[name] = {
            "name": name,
            "address": f"127.0.0.1:{port}",
            "zone": "bat-a",
            "type": "small-2c",
            "group": group,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }
        self._changed_at[name] = self._index
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls for the list, one after the other."""
        while True:
            first_line, _, _ = await read_http(reader)
            path, _, query = first_line.split(" ")[1].partition("?")
            options = dict(part.split("=") for part in query.split("&") if part)
            if path != "/v1/servers":
                writer.write(encode_http("HTTP/1.1 404 Not Found", {}, b""))
                continue
            after = int(options["after"]) if "after" in options else None
            if after is not None and after >= self._index:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(options.get("wait_ms", "0")) / 1000):
                        await self._changed.wait()
            writer.write(encode_http("HTTP/1.1 200 OK", {}, json.dumps(self._answer(after)).encode()))

    def _answer(self, after: int | None) -> dict:
        lines = [
            line for name, line in self._lines.items() if after is None or self._changed_at[name] > after
        ]
        if after is None:
            lines = [line for line in lines if line["status"] != "left"]
        return {"index": self._index, "snapshot": after is None, "endpoints": lines}


class HttpTarget(Server):
    """A target over HTTP; `delay` is how long it takes for a request."""

    def __init__(self, record: Record, name: str) -> None:
        super().__init__()
        self.name = name
        self.delay = 0.005
        self.runs: list[tuple[float, str]] = []  # when the last byte of each request came, and its id
        self._record = record

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run one request after the other."""
        while True:
            first_line, fields, _ = await read_http(reader)
            request_id = fields.get("x-request-id", "")
            self.runs.append((time.monotonic(), request_id))
            self._record(f"target {self.name}: run: {first_line} id={request_id}")
            await asyncio.sleep(self.delay)
            writer.write(encode_http("HTTP/1.1 200 OK", {}, f"{self.name} {request_id}".encode()))


# --- Clients ----------------------------------------------------------------------------------------
async def send_request(
    record: Record,
    port: int,
    request_id: str,
    *,
    write: bool = False,
    volume: int = 0xA1,
    plan: str = "standard",
    units: int = 1,
    shard: int = 0,
    hosts: int = 1,
    seconds: float | None = None,
    quiet: bool = False,
) -> int:
    """Send one request on a new connection; return the status of its answer, 0 if none came."""
    seconds = seconds or (2.5 if write else 1.2)
    method, name = ("PUT", "order-write") if write else ("GET", "order-read")
    fields = {
        "Host": "backend.local",
        "X-Request-ID": request_id,
        "Tier": plan,
        "X-Timeout": f"{seconds:.3f}",
        "IO-Info": f"volume={volume:016x},units={units},shard={shard},hosts={hosts}",
    }
    body = b"order" if write else b""
    key = key_of(request_id)
    status = 0
    try:
        async with asyncio.timeout(seconds + 1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(encode_http(f"{method} /{name}/{key} HTTP/1.1", fields, body))
                first_line, _, _ = await read_http(reader)
                status = int(first_line.split(" ")[1])
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError):
        pass
    if not quiet:
        record(f"client: {method} id={request_id} answered {status or 'not at all'}")
    return status


def key_of(request_id: str) -> str:
    """Return a piece of data for a request: 16 hexadecimal digits."""
    return f"{sum(ord(character) << (index % 7) * 8 for index, character in enumerate(request_id)):016x}"[
        -16:
    ]


async def admin_call(port: int, method: str, path: str, body: str = "") -> tuple[int, bytes]:
    """Make an administration call; return the status and the body, 0 if there is no answer."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                fields = {"Host": "admin.local"}
                writer.write(encode_http(f"{method} {path} HTTP/1.1", fields, body.encode()))
                first_line, _, answer = await read_http(reader)
                return int(first_line.split(" ")[1]), answer
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError):
        return 0, b""


async def is_healthy(port: int) -> bool:
    """Return whether an initiator answers GET /healthz with 200."""
    return (await admin_call(port, "GET", "/healthz"))[0] == 200


# --- NVMe/TCP ---------------------------------------------------------------------------------------
class PduStream:
    """One queue of a host or of a target: PDUs in both directions."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, allowed: frozenset[int]
    ) -> None:
        self.writer = writer
        self._reader = reader
        self._pdus = nvme.PduReader(allowed)
        self._unparsed = b""

    async def next(self) -> nvme.Pdu:
        """Return the next PDU; raises EOFError at the end of the connection."""
        while True:
            consumed, pdu = self._pdus.feed(memoryview(self._unparsed))
            self._unparsed = self._unparsed[consumed:]
            if pdu is not None:
                return pdu
            if not consumed:
                received = await self._reader.read(65536)
                if not received:
                    raise EOFError
                self._unparsed += received


class NvmeTarget(Server):
    """A target over NVMe/TCP that exports subsystems; each has namespaces of its own.

    `delay` is how long it takes for a command.  `data` has what was written, by subsystem, namespace and
    block; a block that was never written reads as a text that names its subsystem.
    """

    def __init__(self, record: Record, name: str, subsystems: tuple[str, ...]) -> None:
        super().__init__()
        self.name = name
        self.delay = 0.005
        self.data: dict[tuple[str, int, int], bytes] = {}
        self.runs: list[tuple[str, str, int, int]] = []  # subsystem, opcode, namespace and first block
        self._record = record
        self._subsystems = subsystems
        self._controllers: dict[int, str] = {}  # the subsystem of each controller

    def block(self, subsystem: str, nsid: int, lba: int) -> bytes:
        """Return a block of a namespace of a subsystem."""
        return self.data.get((subsystem, nsid, lba), f"{subsystem} {nsid} {lba}".encode().ljust(BLOCK_BYTES))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one queue, one command after the other."""
        stream = PduStream(reader, writer, nvme.FROM_HOST)
        nvme.parse_ic(await stream.next())
        writer.write(nvme.ic_response())
        subsystem = ""
        while True:
            pdu = await stream.next()
            if pdu.kind == nvme.H2C_TERM:
                return
            command = nvme.parse_command(pdu)
            if command.opcode == nvme.FABRICS and command.nsid == nvme.CONNECT:
                controller_id, subsystem, _ = nvme.parse_connect(pdu.data)
                self._answer_connect(stream, command, controller_id, subsystem)
            else:
                await self._run(stream, command, pdu.data, subsystem)

    def _answer_connect(
        self, stream: PduStream, command: nvme.Command, controller_id: int, subsystem: str
    ) -> None:
        status = nvme.OK if subsystem in self._subsystems else nvme.BAD_CONNECT
        if controller_id == nvme.DYNAMIC_CONTROLLER_ID:
            controller_id = len(self._controllers) + 1
            self._controllers[controller_id] = subsystem
        elif self._controllers.get(controller_id) != subsystem:
            status = nvme.BAD_CONNECT
        stream.writer.write(nvme.completion(nvme.Completion(command.cid, status, controller_id), 0, 0))

    async def _run(self, stream: PduStream, command: nvme.Command, data: bytes, subsystem: str) -> None:
        result = 0
        if command.opcode == nvme.FABRICS and command.nsid == nvme.PROPERTY_GET:
            result = nvme.CSTS_READY
        elif command.opcode == nvme.IDENTIFY:
            page = nvme.identify_controller(1, self.name, subsystem, (1, 1, 1), 16)
            stream.writer.write(nvme.data_pdu(nvme.C2H_DATA, command.cid, 0, 0, page))
        elif command.opcode in (nvme.READ, nvme.WRITE):
            await self._run_io(stream, command, data, subsystem)
        stream.writer.write(nvme.completion(nvme.Completion(command.cid, nvme.OK, result), 0, 0))

    async def _run_io(self, stream: PduStream, command: nvme.Command, data: bytes, subsystem: str) -> None:
        is_write = command.opcode == nvme.WRITE
        if is_write and not data:
            stream.writer.write(nvme.r2t(command.cid, 5, 0, command.length))
            while len(data) < command.length:
                data += (await stream.next()).data
        name = "write" if is_write else "read"
        self.runs.append((subsystem, name, command.nsid, command.lba))
        self._record(f"target {self.name}: run: {name} of {subsystem} nsid={command.nsid} lba={command.lba}")
        await asyncio.sleep(self.delay)
        for index in range(command.blocks):
            key = (subsystem, command.nsid, command.lba + index)
            if is_write:
                self.data[key] = data[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        if not is_write:
            blocks = [self.block(subsystem, command.nsid, command.lba + i) for i in range(command.blocks)]
            stream.writer.write(nvme.data_pdu(nvme.C2H_DATA, command.cid, 0, 0, b"".join(blocks)))


class NvmeHost:
    """A host's association with an initiator: an admin queue and some I/O queues, numbered from 1.

    Command identifiers are unique over all I/O queues.
    """

    def __init__(
        self, record: Record, port: int, subsystem: str, io_queues: int = 1, host: str = "host"
    ) -> None:
        self._record = record
        self._host = host
        self.controller_id = 0
        self._port = port
        self._subsystem = subsystem
        self._io_queues = io_queues
        self._streams: list[PduStream] = []
        self._admin_ids = iter(range(10, 60000))
        self._admin_answers: dict[int, asyncio.Future[nvme.Completion]] = {}
        self._answers: dict[int, asyncio.Future[tuple[nvme.Completion, bytes]]] = {}
        self._queues: dict[int, int] = {}  # the queue of each command
        self._data: dict[int, bytes] = {}
        self._write_data: dict[int, bytes | None] = {}
        self._readers: list[asyncio.Task[None]] = []
        self.is_closed = False

    async def connect(self) -> None:
        """Connect both queues; raises EOFError, OSError or CaseError."""
        self.controller_id = await self.connect_queue(0, nvme.DYNAMIC_CONTROLLER_ID)
        admin = self._streams[0]
        self._readers.append(asyncio.create_task(self._read_admin(admin)))
        await self.admin(lambda cid: nvme.property_set(cid, nvme.CC, nvme.CC_ENABLE))
        for number in range(1, self._io_queues + 1):
            await self.connect_queue(number, self.controller_id)
            self._readers.append(asyncio.create_task(self._read_io(number)))

    async def connect_queue(self, number: int, controller_id: int) -> int:
        """Connect one queue and return the controller's identifier; raises CaseError if it is refused."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        stream = PduStream(reader, writer, nvme.FROM_CONTROLLER)
        self._streams.append(stream)
        writer.write(nvme.ic_request())
        nvme.parse_ic(await stream.next())
        name = f"nqn.2014-08.org.nvmexpress:uuid:{self._host}"
        identifier = self._host.encode()
        writer.write(nvme.connect(1, number, 16, 0, controller_id, identifier, self._subsystem, name))
        completion = nvme.parse_completion(await stream.next())
        if completion.status != nvme.OK:
            raise CaseError(f"Connect to {self._subsystem} was answered with status {completion.status:#x}")
        return completion.result

    async def _read_admin(self, stream: PduStream) -> None:
        with contextlib.suppress(EOFError, OSError):
            while True:
                completion = nvme.parse_completion(await stream.next())
                answer = self._admin_answers.pop(completion.cid, None)
                if answer is not None and not answer.done():
                    answer.set_result(completion)
        self._lose(0, self._admin_answers)

    async def _read_io(self, queue: int) -> None:
        stream = self._streams[queue]
        with contextlib.suppress(EOFError, OSError):
            while True:
                self._handle_io(stream, await stream.next())
        queues = self._queues
        self._lose(queue, {cid: answer for cid, answer in self._answers.items() if queues[cid] == queue})

    def _handle_io(self, stream: PduStream, pdu: nvme.Pdu) -> None:
        if pdu.kind == nvme.R2T:
            cid, tag, offset, length = nvme.parse_data(pdu)
            data = self._write_data.get(cid)
            if data is not None:
                part = data[offset : offset + length]
                stream.writer.write(nvme.data_pdu(nvme.H2C_DATA, cid, tag, offset, part))
        elif pdu.kind == nvme.RESPONSE_CAPSULE:
            completion = nvme.parse_completion(pdu)
            answer = self._answers.pop(completion.cid, None)
            self._record(f"host: completion of command {completion.cid}, status {completion.status:#x}")
            if answer is not None and not answer.done():
                answer.set_result((completion, self._data.pop(completion.cid, b"")))
        elif pdu.kind == nvme.C2H_DATA:
            cid, _, _, _ = nvme.parse_data(pdu)
            self._data[cid] = self._data.get(cid, b"") + pdu.data

    def _lose(self, queue: int, answers: Mapping[int, asyncio.Future]) -> None:
        """Record that the other side has ended a queue; its commands get no answer any more."""
        self._record(f"host: queue {queue} has ended, without an answer to commands {sorted(answers)}")
        self.is_closed = True
        for answer in answers.values():
            if not answer.done():
                answer.set_exception(EOFError("the queue has ended"))

    async def admin(self, encode: Callable[[int], bytes]) -> nvme.Completion:
        """Send an admin command and return its completion."""
        cid = next(self._admin_ids)
        answer = asyncio.get_running_loop().create_future()
        self._admin_answers[cid] = answer
        self._streams[0].writer.write(encode(cid))
        async with asyncio.timeout(CALL_SECONDS):
            return await answer

    async def abort(self, cid: int, queue: int = 1) -> nvme.Completion:
        """Abort a command of an I/O queue."""
        self._record(f"host: Abort of command {cid} of queue {queue}")
        return await self.admin(
            lambda number: nvme.command(nvme.ABORT, number, command_dwords=struct.pack("<HH", queue, cid))
        )

    def submit(
        self,
        cid: int,
        lba: int,
        *,
        nsid: int = 1,
        data: bytes | None = None,
        size: int = BLOCK_BYTES,
        queue: int = 1,
    ) -> asyncio.Future[tuple[nvme.Completion, bytes]]:
        """Send a read, or a write of `size` bytes whose `data` is sent as the initiator asks for it.

        Without data a write has none to send yet, and leaves the initiator's R2T without an answer.
        """
        is_write = data is not None or size != BLOCK_BYTES
        answer = asyncio.get_running_loop().create_future()
        self._answers[cid] = answer
        self._queues[cid] = queue
        self._write_data[cid] = data
        size = len(data) if data is not None else size
        in_capsule = data if data is not None and size <= nvme.MAX_IN_CAPSULE_BYTES else b""
        opcode = nvme.WRITE if is_write else nvme.READ
        name = "write" if is_write else "read"
        self._record(f"host: {name} as command {cid} of queue {queue}, nsid={nsid} lba={lba} bytes={size}")
        capsule = nvme.io_command(opcode, cid, nsid, lba, size // BLOCK_BYTES, size, in_capsule)
        self._streams[queue].writer.write(capsule)
        return answer

    async def close(self) -> None:
        """Close both queues."""
        self.is_closed = True
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for stream in self._streams:
            stream.writer.close()
