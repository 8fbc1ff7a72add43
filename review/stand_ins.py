"""Stand-ins for the review's cases: discovery, HTTP targets, clients, and processes of the program.

They use the standard library alone.  Each server runs one thread per connection, so that its delays are exact
to a fraction of a millisecond.
"""

from __future__ import annotations

import contextlib
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 110.0  # a case that takes longer ends with NOT_RUN


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, as one JSON line an event."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w")

    def __call__(self, event: str, **details: object) -> None:
        """Write one event with the seconds since the start of the case."""
        line = {"at": round(time.monotonic() - self._started_at, 4), "event": event, **details}
        with self._lock:
            self._file.write(json.dumps(line) + "\n")
            self._file.flush()


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until a condition holds; raise CaseError if it does not in time."""
    ends_at = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > ends_at:
            raise CaseError(f"not in time: {what}")
        time.sleep(0.01)


# --- HTTP -----------------------------------------------------------------------------------------
@dataclass
class Message:
    """One HTTP message; `start` is its first line split at spaces."""

    start: list[str]
    fields: dict[str, str]
    body: bytes = b""


class Stream:
    """Reads HTTP messages from a connection."""

    def __init__(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = connection
        self.unread = b""

    def read(self) -> Message | None:
        """Return the next message, or None if the connection ended before it was complete."""
        while b"\r\n\r\n" not in self.unread:
            if not self._receive():
                return None
        head, _, self.unread = self.unread.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        fields = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
        length = int(fields.get("content-length", 0))
        while len(self.unread) < length:
            if not self._receive():
                return None
        body, self.unread = self.unread[:length], self.unread[length:]
        return Message(first.split(" "), fields, body)

    def _receive(self) -> bool:
        try:
            data = self.connection.recv(1 << 16)
        except OSError:
            return False
        self.unread += data
        return bool(data)

    def send(self, data: bytes | memoryview) -> bool:
        """Send bytes; return whether the connection took them."""
        try:
            self.connection.sendall(data)
        except OSError:
            return False
        return True

    def has_unread(self) -> bool:
        """Whether further bytes have come."""
        self.connection.setblocking(False)
        try:
            return bool(self.unread) or bool(self.connection.recv(1, socket.MSG_PEEK))
        except OSError:
            return False
        finally:
            self.connection.setblocking(True)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)
        self.connection.close()


def response(status: int, body: bytes = b"", **fields: str) -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join((*lines, "", "")).encode() + body


class Server:
    """Serves each connection in a thread of its own."""

    def __init__(self, serve: Callable[[Stream], None], port: int = 0) -> None:
        self._serve = serve
        self._socket = socket.create_server((HOST, port), backlog=128)
        self.port = self._socket.getsockname()[1]
        self._streams: set[Stream] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(Stream(connection),), daemon=True).start()

    def _run(self, stream: Stream) -> None:
        self._streams.add(stream)
        try:
            self._serve(stream)
        finally:
            self._streams.discard(stream)
            stream.close()

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._socket.close()
        for stream in list(self._streams):
            stream.close()


@dataclass
class Discovery:
    """The agent of discovery: a whole list, and watches that wait for what is newer."""

    record: Record
    index: int = 41
    lines: dict[str, dict] = field(default_factory=dict)
    changed_at: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._changed = threading.Condition()
        self.server = Server(self._serve)

    def set(self, name: str, port: int, shard: int, status: str = "active", since_ms: int = 0) -> None:
        """List a target."""
        with self._changed:
            self.index += 1
            self.changed_at[name] = self.index
            self.lines[name] = {
                "name": name,
                "address": f"{HOST}:{port}",
                "zone": "bat-a",
                "type": "small-2c",
                "group": shard,
                "status": status,
                "weight": 1.0,
                "since_ms": since_ms,
            }
            self._changed.notify_all()
        self.record("listed", name=name, status=status, index=self.index)

    def _serve(self, stream: Stream) -> None:
        while (message := stream.read()) is not None:
            _, _, query = message.start[1].partition("?")
            options = dict(item.partition("=")[::2] for item in query.split("&") if item)
            after = int(options["after"]) if "after" in options else None
            with self._changed:
                if after is not None:
                    seconds = int(options.get("wait_ms", 0)) / 1000
                    self._changed.wait_for(lambda known=after: self.index > known, seconds)
                lines = [
                    line
                    for name, line in self.lines.items()
                    if after is None or self.changed_at[name] > after
                ]
                body = {"index": self.index, "snapshot": after is None, "endpoints": lines}
            if not stream.send(response(200, json.dumps(body).encode())):
                return


def request(
    class_name: str,
    key: int,
    request_id: str,
    *,
    method: str = "GET",
    shard: int = 0,
    plan: str = "standard",
    volume: int = 0x3B4D60021,
    units: int = 1,
    hosts: int = 1,
    timeout: float = 1.2,
    body: bytes = b"",
    idempotency_key: str = "",
) -> bytes:
    """Encode a client's request."""
    lines = [
        f"{method} /{class_name}/{key:016x} HTTP/1.1",
        "Host: backend.local",
        f"X-Request-ID: {request_id}",
        f"Tier: {plan}",
        f"X-Timeout: {timeout:.3f}",
        f"IO-Info: volume={volume:016x},units={units},shard={shard},hosts={hosts}",
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    if idempotency_key:
        lines.append(f"Idempotency-Key: {idempotency_key}")
    return "\r\n".join((*lines, "", "")).encode() + body


class Client:
    """A client's connection, kept alive; it is opened again when the initiator has closed it."""

    def __init__(self, port: int, timeout: float = 8.0) -> None:
        self._port = port
        self._timeout = timeout
        self._stream: Stream | None = None

    def ask(self, data: bytes) -> Message | None:
        """Send a request and return its answer, None if the connection ended without one."""
        for _ in range(2):
            is_new = self._stream is None
            if self._stream is None:
                try:
                    self._stream = Stream(socket.create_connection((HOST, self._port), self._timeout))
                except OSError:
                    return None
            answer = self._stream.read() if self._stream.send(data) else None
            if answer is None or answer.fields.get("connection", "").lower() == "close":
                self._stream.close()
                self._stream = None
            if answer is not None or is_new:
                return answer  # a request that crossed the close of a kept connection is sent once more
        return None

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()
            self._stream = None


def is_healthy(port: int) -> bool:
    """Whether an initiator answers that it is ready."""
    client = Client(port, 2.0)
    answer = client.ask(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
    client.close()
    return answer is not None and answer.start[1] == "200"


def admin_call(port: int, method: str, path: str, body: str = "") -> int:
    """Make one call on the second address and return its status, 0 if there was no answer."""
    try:
        stream = Stream(socket.create_connection((HOST, port), 1.0))
    except OSError:
        return 0
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    answer = stream.read() if stream.send((head + body).encode()) else None
    stream.close()
    return 0 if answer is None else int(answer.start[1])


# --- Processes of the program ---------------------------------------------------------------------
class Program:
    """One process of the program, started with the `run` command of the deploy file."""

    def __init__(
        self, record: Record, name: str, *arguments: str, descriptors: tuple[int, ...] = (), **variables: str
    ) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.name = name
        self._record = record
        self.events: list[dict] = []
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", " ".join((run, *map(shlex.quote, arguments)))],
            cwd=ROOT,
            env={**environment, **variables},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            pass_fds=descriptors,
        )
        record("process_started", name=name)
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            try:
                event = json.loads(line)
            except ValueError:
                event = {"event": "output", "text": line.decode(errors="replace").rstrip()}
            self.events.append(event)
            if event["event"] != "counters":
                self._record("log", process=self.name, line=event)

    def has_logged(self, event: str) -> bool:
        """Whether the process has logged an event."""
        return any(line["event"] == event for line in self.events)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._record("signal", process=self.name, signal=number.name)
        self.process.send_signal(number)

    def wait(self, seconds: float) -> int:
        """Wait for the end of the process and return its exit code."""
        try:
            code = self.process.wait(seconds)
        except subprocess.TimeoutExpired as error:
            raise CaseError(f"{self.name} did not end") from error
        self._record("process_ended", name=self.name, code=code)
        return code

    def kill(self) -> None:
        """End the process at once if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# --- Running a case -------------------------------------------------------------------------------
class Case:
    """The folder, the record and the processes of one run."""

    def __init__(self, folder: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.record("case", folder=folder.name, trouble=self.has_trouble)
        self.programs: list[Program] = []

    def start(self, name: str, *arguments: str, **options: object) -> Program:
        """Start a process of the program, which is ended with the case."""
        program = Program(self.record, name, *arguments, **options)  # type: ignore[arg-type]
        self.programs.append(program)
        return program

    @contextlib.contextmanager
    def folder(self) -> Iterator[Path]:
        """A temporary folder; all processes are ended before it is removed."""
        with tempfile.TemporaryDirectory(prefix="review-") as path:
            try:
                yield Path(path)
            finally:
                for program in self.programs:
                    program.kill()


def main(file: str, run: Callable[[Case, Path], list[str]]) -> None:
    """Run a case, print the verdict and exit; `run` returns how the rule was broken, in lines of text."""
    case = Case(Path(file).resolve().parent)
    code = NOT_RUN

    def give_up() -> None:
        case.record("verdict", text="could not run: it was ended or took too long")
        for program in case.programs:
            program.kill()
        os._exit(NOT_RUN)

    timer = threading.Timer(MAX_SECONDS, give_up)
    timer.daemon = True
    timer.start()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: give_up())
    try:
        with case.folder() as folder:
            breaks = run(case, folder)
        for text in breaks:
            case.record("break", text=text)
        code = BROKEN if breaks else HELD
        text = f"broken {len(breaks)} times: {breaks[0]}" if breaks else "the rule held"
    except Exception as error:  # a fault of the case itself is no break of the rule
        text = f"could not run: {type(error).__name__}: {error}"
    case.record("verdict", text=text)
    print(text)
    sys.stdout.flush()
    os._exit(code)
