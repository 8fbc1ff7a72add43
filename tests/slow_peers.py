"""Targets and clients that are slow or stop, against one initiator as a process of its own.

Each exchange has a target, a shard and a volume of its own, so that none delays another.  A `Script` says
what its target does; `exchange` plays its client and returns what the client saw.  `fault_of` compares it
with the terms: a response that has begun goes on for as long as bytes keep coming.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import termios
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from review import stand_ins
from review.stand_ins import Discovery, Server, Stream

END_GRACE_SECONDS = 0.5  # by then after its time a client has the answer to what has not begun
IDLE_LIMIT_SECONDS = 1.5  # of the initiator: a transfer that does not move for that long has stopped
IDLE_SLACK_SECONDS = 0.6  # by then after the limit the end has been seen
SHORT_RESPONSE_BYTES = 64 * 1024  # one of at most this length may be answered for if it is silent
MIN_SILENCE_SECONDS = 0.07  # a response is not silent that has moved in this time
BEGUN_MARGIN_SECONDS = 0.1  # a byte this close to the client's time may come before or after it
READ_BYTES = 8192  # that a slow target reads at once
BLOCK = memoryview(b"x" * 256 * 1024)  # of a body; a target copies no large body, which would delay others
READ_TIMEOUT_SECONDS = 60.0  # longer than any exchange
EARLY_SECONDS = 0.05  # before its time a client may be told that its time will not suffice
RECEIVE_BUFFER_BYTES = 32 * 1024  # small, so that a peer that does not read is noticed soon
START_SECONDS = 20.0
STALL_POLL_MILLISECONDS = 10
INT = struct.Struct("i")  # the result of ioctl FIONREAD


@dataclass(frozen=True)
class Script:
    """What a target does with one request.

    `pauses` are the seconds before each equal piece of the response's body; `stops_after` is the number of
    pieces after which nothing more comes, None for all.  `read_seconds` is how long the target takes to read
    the request's body, of which it reads `read_fraction` before it stops.
    """

    framing: str = "length"
    size: int = 200_000
    pauses: tuple[float, ...] = (0.0,)
    stops_after: int | None = None
    head_pauses: tuple[float, ...] = ()  # seconds between pieces of the head
    end_pause: float = 0.0  # seconds between the body and its end: the last chunk, or the connection's
    has_interim: bool = False  # a 102 comes before the head
    read_seconds: float = 0.0
    read_fraction: float = 1.0

    @property
    def seconds(self) -> float:
        """How long the target takes from the request to the last byte."""
        return self.read_seconds + sum(self.head_pauses) + sum(self.pauses) + self.end_pause

    @property
    def body_times(self) -> list[float]:
        """When the pieces of the body that come are sent, in seconds since the request."""
        started_at = self.read_seconds + sum(self.head_pauses)
        count = len(self.pauses) if self.stops_after is None else self.stops_after
        return [started_at + sum(self.pauses[: number + 1]) for number in range(count)]

    @property
    def last_byte_seconds(self) -> float:
        """When the last byte comes of a response that is not whole."""
        return max([self.read_seconds + sum(self.head_pauses), *self.body_times])

    @property
    def is_stopped(self) -> bool:
        """Whether the response never becomes whole."""
        is_whole = self.framing == "length" and self.stops_after == len(self.pauses)
        return self.read_fraction < 1.0 or (self.stops_after is not None and not is_whole)


SHORT_RESPONSE = Script(size=10)


@dataclass
class Seen:
    """What a client saw of its exchange; times in seconds since the last byte of its request."""

    status: int = 0
    body_bytes: int = 0
    is_whole: bool = False
    first_byte_at: float | None = None
    ended_at: float = 0.0
    how: str = ""  # how the exchange ended
    reset_after: float | None = (
        None  # seconds without progress, if it was reset while its client did not read
    )
    # When the target sent pieces of its response, in seconds since the client's last write began.
    sent_at: list[float] = field(default_factory=list)


@dataclass(frozen=True)
class Call:
    """What a client does: its request, and how it writes and reads."""

    class_name: str = "report-export"
    timeout: float = 2.5
    method: str = "GET"
    body: bytes = b""
    write_seconds: float = 0.0
    stops_at: float = 1.0  # the part of the request that is written
    pieces: int = 20
    read_bytes_per_second: float = 0.0  # 0: as fast as it comes
    stops_reading_after: int | None = None  # bytes
    # Leaves time to fill the buffers on the way, which is progress, also on a busy machine.
    stops_reading_seconds: float = 3 * IDLE_LIMIT_SECONDS
    head_padding: bytes = b""
    minor_version: int = 1

    @property
    def read_seconds(self) -> float:
        """How long the client takes for each byte of its response."""
        return 1 / self.read_bytes_per_second if self.read_bytes_per_second else 0.0


class ScriptedTarget:
    """A target that follows a script for each request, by its identifier."""

    def __init__(self, scripts: dict[str, Script], default: Script) -> None:
        self._scripts = scripts
        self._default = default
        self.received: list[str] = []
        self.sent_at: dict[str, list[float]] = {}  # of each request, on the monotonic clock
        self.server = Server(self._serve)

    def _serve(self, stream: Stream) -> None:
        stream.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        while (head := self._read_head(stream)) is not None:
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:])
            request_id = fields["x-request-id"]
            self.received.append(request_id)
            script = self._scripts.get(request_id, self._default)
            if not self._read_body(stream, int(fields.get("content-length", 0)), script):
                time.sleep(30)  # stays open, and reads nothing more
                return
            if not self._respond(stream, script, self.sent_at.setdefault(request_id, [])):
                return

    @staticmethod
    def _read_head(stream: Stream) -> str | None:
        while b"\r\n\r\n" not in stream.unread:
            try:
                data = stream.connection.recv(4096)
            except OSError:
                return None
            if not data:
                return None
            stream.unread += data
        head, _, stream.unread = stream.unread.partition(b"\r\n\r\n")
        return head.decode()

    @staticmethod
    def _read_body(stream: Stream, size: int, script: Script) -> bool:
        """Read the body in the script's time; return False if the target stops before the end."""
        started_at = time.monotonic()
        received = len(stream.unread)
        stream.unread = b""
        while received < size:
            if received >= size * script.read_fraction:
                return False
            due_at = started_at + script.read_seconds * received / size
            time.sleep(max(0.0, due_at - time.monotonic()))
            try:
                data = stream.connection.recv(READ_BYTES)
            except OSError:  # the test is over
                return False
            if not data:
                return False
            received += len(data)
        return True

    @staticmethod
    def _respond(stream: Stream, script: Script, sent_at: list[float]) -> bool:
        """Send the response and record when; return whether the connection goes on."""
        if script.has_interim:
            stream.send(b"HTTP/1.1 102 Processing\r\n\r\n")
        framing = {
            "length": f"Content-Length: {script.size}",
            "chunked": "Transfer-Encoding: chunked",
            "close": "Connection: close",
        }[script.framing]
        head = f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode()
        size = -(-len(head) // (len(script.head_pauses) + 1))
        for number, pause in enumerate((0.0, *script.head_pauses)):
            time.sleep(pause)
            if not stream.send(head[number * size : (number + 1) * size]):
                return False
            sent_at.append(time.monotonic())
        piece_size = -(-script.size // len(script.pauses))
        for number, pause in enumerate(script.pauses):
            if number == script.stops_after:
                time.sleep(30)
                return False
            time.sleep(pause)
            size = min(piece_size, script.size - number * piece_size)
            if not ScriptedTarget._send_piece(stream, size, script.framing):
                return False
            sent_at.append(time.monotonic())
        if script.stops_after == len(script.pauses):
            time.sleep(30)
        time.sleep(script.end_pause)
        if script.framing == "chunked":
            stream.send(b"0\r\n\r\n")
        return script.framing != "close"

    @staticmethod
    def _send_piece(stream: Stream, size: int, framing: str) -> bool:
        """Send a piece of a body in blocks; return whether the connection goes on."""
        if framing == "chunked":
            stream.send(b"%x\r\n" % size)
        for start in range(0, size, len(BLOCK)):
            if not stream.send(BLOCK[: size - start]):
                return False
        return framing != "chunked" or stream.send(b"\r\n")


class Program:
    """One process of the initiator, started with the interpreter of the tests; `events` is its log."""

    def __init__(
        self,
        name: str,
        descriptors: tuple[int, ...],
        variables: dict[str, str],
        events: list[dict],
        arguments: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.events = events
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stalltiller", *arguments],
            cwd=stand_ins.ROOT,
            env={**environment, **variables},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            pass_fds=descriptors,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            try:
                self.events.append(json.loads(line))
            except ValueError:
                self.events.append({"event": "output", "text": line.decode(errors="replace")})

    def has_logged(self, event: str) -> bool:
        return any(line["event"] == event for line in self.events)

    def send(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def wait(self, seconds: float) -> int:
        return self.process.wait(seconds)

    def kill(self) -> None:
        """End the process at once if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


@dataclass
class Site:
    """An initiator as a process, discovery, and one target for each exchange."""

    folder: Path
    target_count: int
    memory_mb: int = 192
    descriptors: int = 1024
    scripts: dict[str, Script] = field(default_factory=dict)
    events: list[dict] = field(default_factory=list)
    default_script: Script = SHORT_RESPONSE
    idle_limit: float = IDLE_LIMIT_SECONDS
    other_ports: tuple[int, ...] = ()  # of further targets, in shards of their own

    def __post_init__(self) -> None:
        self.port = 0  # the kernel chooses one, which `start` reads from the log
        self.targets = [ScriptedTarget(self.scripts, self.default_script) for _ in range(self.target_count)]
        self.discovery = Discovery(lambda event, **details: None)
        for shard, target in enumerate(self.targets):
            self.discovery.set(f"s-{shard}", target.server.port, shard)
        for shard, port in enumerate(self.other_ports, self.target_count):
            self.discovery.set(f"s-{shard}", port, shard)
        self._lock = threading.Lock()
        self._count = 0

    def start(self) -> None:
        """Start the initiator and wait until it is ready."""
        self.write_config()
        self.program = self.start_process("n1")
        stand_ins.wait_until(lambda: self.program.has_logged("started"), START_SECONDS, "the initiator runs")
        address = next(line["listen"] for line in self.program.events if line["event"] == "started")
        self.port = int(address.rpartition(":")[2])
        stand_ins.wait_until(lambda: stand_ins.is_healthy(self.port), START_SECONDS, "the initiator is ready")

    def write_config(self) -> None:
        config = json.loads((stand_ins.ROOT / "examples" / "config.json").read_text())
        discovery_port = self.discovery.server.port
        config.update(listen=f"{stand_ins.HOST}:{self.port}", discovery=f"{stand_ins.HOST}:{discovery_port}")
        config["limits"].update(
            memory_mb=self.memory_mb, sockets=self.descriptors, stream_idle_timeout=self.idle_limit
        )
        config["settings"]["family-info"]["shards"] = self.target_count + len(self.other_ports)
        (self.folder / "config.json").write_text(json.dumps(config))

    def start_process(self, name: str, descriptors: tuple[int, ...] = (), **variables: str) -> Program:
        """Start a process of the initiator; it inherits the descriptors."""
        environment = {
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "PYTHONUNBUFFERED": "1",
            **variables,
        }
        return Program(name, descriptors, environment, [] if descriptors else self.events)

    def close(self) -> None:
        self.program.kill()
        self.close_stand_ins()

    def close_stand_ins(self) -> None:
        self.discovery.server.close()
        for target in self.targets:
            target.server.close()

    def next_number(self) -> int:
        with self._lock:
            self._count += 1
            return self._count - 1

    def exchange(self, call: Call, script: Script) -> Seen:
        """Play one client's exchange."""
        number = self.next_number()
        request_id = f"slow{number}"
        self.scripts[request_id] = script
        data = encode_call(call, number, request_id, number % self.target_count)
        with socket.create_connection((stand_ins.HOST, self.port), 10.0) as connection:
            if call.stops_reading_after is not None or call.read_bytes_per_second:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            connection.settimeout(READ_TIMEOUT_SECONDS)
            written = data[: int(call.stops_at * len(data))]
            last_write_at = write_slowly(connection, written, call.stops_at * call.write_seconds, call.pieces)
            seen = AnswerReader(connection, call).read()
        for target in self.targets:
            seen.sent_at += [at - last_write_at for at in target.sent_at.get(request_id, ())]
        return seen

    def ended(self, rule: str) -> list[dict]:
        """Return the logged ends of exchanges by a rule."""
        return [e for e in self.events if e["event"] == "exchange_ended" and e["rule"] == rule]


@contextlib.contextmanager
def site(folder: Path, target_count: int, **options) -> Iterator[Site]:
    opened = Site(folder, target_count, **options)
    opened.start()
    try:
        yield opened
    finally:
        opened.close()


def encode_call(call: Call, number: int, request_id: str, shard: int) -> bytes:
    data = stand_ins.request(
        call.class_name,
        number,
        request_id,
        method=call.method,
        shard=shard,
        volume=0x3B4D60000 + number,
        timeout=call.timeout,
        body=call.body,
    )
    data = data.replace(b" HTTP/1.1\r\n", b" HTTP/1.%d\r\n" % call.minor_version, 1)
    return data.replace(b"\r\n\r\n", b"\r\n" + call.head_padding + b"\r\n", 1)


def write_slowly(connection: socket.socket, data: bytes, seconds: float, pieces: int) -> float:
    """Write a request in equal pieces; return when the last of them that could be written was begun."""
    count = pieces if seconds else 1
    size = -(-len(data) // count)
    count = -(-len(data) // size)
    begun_at = time.monotonic()
    with contextlib.suppress(OSError):  # the response says why
        for number in range(count):
            if number:
                time.sleep(seconds / (count - 1))
            begun_at = time.monotonic()
            connection.sendall(data[number * size : (number + 1) * size])
    return begun_at


class AnswerReader:
    """Reads one answer as its call says, until it is whole or the connection ends."""

    def __init__(self, connection: socket.socket, call: Call) -> None:
        self._connection = connection
        self._call = call
        self._started_at = time.monotonic()
        self._has_stopped = False
        self._head: bytes | None = None
        self._body = bytearray()
        self.seen = Seen()

    def read(self) -> Seen:
        seen = self.seen
        while not seen.how:
            self._pause()
            try:
                data = self._connection.recv(16384)
            except ConnectionError as error:
                seen.how = type(error).__name__
            except TimeoutError:
                seen.how = "timed out"
            else:
                self._receive(data)
        seen.ended_at = time.monotonic() - self._started_at
        seen.body_bytes = len(self._body)
        return seen

    def _pause(self) -> None:
        """Stop reading for some time, once, and note a reset that comes meanwhile."""
        limit = self._call.stops_reading_after
        if limit is None or self._has_stopped or len(self._body) < limit:
            return
        self._has_stopped = True
        self.seen.reset_after = seconds_to_reset(self._connection, self._call.stops_reading_seconds)

    def _receive(self, data: bytes) -> None:
        seen = self.seen
        if not data:
            is_whole = self._head is not None and is_close_delimited(self._head)
            seen.is_whole = is_whole
            seen.how = "whole" if is_whole else "closed"
            return
        if seen.first_byte_at is None:
            seen.first_byte_at = time.monotonic() - self._started_at
        self._body += data
        if self._head is None and b"\r\n\r\n" in self._body:
            head, _, self._body = self._body.partition(b"\r\n\r\n")
            self._head = bytes(head)
            seen.status = int(self._head.split(b" ")[1])
        if self._head is not None and is_body_whole(self._head, self._body):
            seen.is_whole = True
            seen.how = "whole"
        elif self._call.read_bytes_per_second:
            time.sleep(len(data) / self._call.read_bytes_per_second)


def seconds_to_reset(connection: socket.socket, seconds: float) -> float | None:
    """Read nothing for some seconds; return how long after its last bytes the connection was reset, or None.

    What comes meanwhile stays in the kernel's buffer and is progress: its machine acknowledges it.
    """
    poll = select.poll()
    poll.register(connection, 0)  # errors and ends are always reported
    started_at = progress_at = time.monotonic()
    unread_bytes = 0
    while time.monotonic() - started_at < seconds:
        if poll.poll(STALL_POLL_MILLISECONDS):
            return time.monotonic() - progress_at
        before = unread_bytes
        unread_bytes = INT.unpack(fcntl.ioctl(connection, termios.FIONREAD, bytes(INT.size)))[0]
        if unread_bytes != before:
            progress_at = time.monotonic()
    return None


def is_close_delimited(head: bytes) -> bool:
    return b"content-length" not in head.lower() and b"chunked" not in head.lower()


def is_body_whole(head: bytes, body: bytearray) -> bool:
    lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    if b"content-length" in lines:
        return len(body) >= int(lines[b"content-length"])
    return b"transfer-encoding" in lines and body.endswith(b"0\r\n\r\n")


def play(opened: Site, exchanges: dict[str, tuple[Call, Script]]) -> dict[str, Seen]:
    """Play exchanges side by side and return what each client saw."""
    seen: dict[str, Seen] = {}

    def run(name: str, call: Call, script: Script) -> None:
        seen[name] = opened.exchange(call, script)

    threads = [threading.Thread(target=run, args=(name, *pair)) for name, pair in exchanges.items()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return seen


def head_whole_at(script: Script, sent_at: list[float]) -> float:
    """Return when the target has sent its whole head: before that its client can't have a byte."""
    due_at = script.read_seconds + sum(script.head_pauses)
    pieces = len(script.head_pauses) + 1
    return max(due_at, sent_at[pieces - 1]) if len(sent_at) >= pieces else due_at


def may_be_answered_for(call: Call, script: Script, sent_at: list[float]) -> bool:
    """Whether a response that has begun is short and silent as its client's time ends.

    It takes the times at which the target has really sent: on a busy machine it may be late.
    """
    if script.framing != "length" or script.size > SHORT_RESPONSE_BYTES:
        return False
    latest = max((at for at in sent_at if at <= call.timeout - EARLY_SECONDS), default=0.0)
    return call.timeout - latest > MIN_SILENCE_SECONDS


def fault_of(call: Call, script: Script, seen: Seen, idle_limit: float = IDLE_LIMIT_SECONDS) -> str | None:
    """Return how an exchange broke the terms for slow peers, None if it kept them."""
    what = f"{seen.how}, status {seen.status}, {seen.body_bytes} bytes, ended after {seen.ended_at:.3f} s"
    if seen.first_byte_at is not None and seen.first_byte_at > call.timeout + END_GRACE_SECONDS:
        return f"nothing came by its time of {call.timeout} s, but at {seen.first_byte_at:.3f} s: {what}"
    if seen.status == 200 and seen.is_whole:
        return fault_of_served(script, seen, what)
    if seen.how == "timed out":
        return f"no end: {what}"
    has_own_answer = call.timeout - EARLY_SECONDS <= seen.ended_at <= call.timeout + END_GRACE_SECONDS
    is_answered = seen.status != 200 and seen.is_whole and has_own_answer
    may_not_have_begun = script.read_fraction < 1.0 or (
        head_whole_at(script, seen.sent_at) > call.timeout - BEGUN_MARGIN_SECONDS
    )
    if may_not_have_begun or may_be_answered_for(call, script, seen.sent_at):
        if is_answered:
            return None
        if may_not_have_begun and seen.status != 200:
            return f"no answer of its own about its time of {call.timeout} s: {what}"
    if not script.is_stopped:
        return f"a sound response was cut off, due after {script.seconds:.3f} s: {what}"
    idle_seconds = seen.ended_at - script.last_byte_seconds
    # The last read of a body may bring a part of it sooner than the script says.
    early_seconds = EARLY_SECONDS + script.read_seconds * min(1.0, READ_BYTES / max(1, len(call.body)))
    if seen.status == 200 and idle_seconds < idle_limit - early_seconds:
        return f"ended {idle_seconds:.3f} s after its last byte: {what}"
    # Its head may have been passed on at the client's time: then the client's machine acknowledged it.
    unmoved_seconds = seen.ended_at - max(script.last_byte_seconds, call.timeout)
    if unmoved_seconds > idle_limit + IDLE_SLACK_SECONDS and not is_answered:
        return f"no end {unmoved_seconds:.3f} s after its last byte: {what}"
    return None


def fault_of_served(script: Script, seen: Seen, what: str) -> str | None:
    if seen.body_bytes < script.size:
        return f"a truncated response looks whole: {what}"
    return f"a response that never came: {what}" if script.is_stopped else None


def reading_fault_of(call: Call, script: Script, seen: Seen) -> str | None:
    """Return how an exchange broke the terms whose client reads slowly or stops reading for a while."""
    what = f"{seen.how}, status {seen.status}, {seen.body_bytes} bytes, ended after {seen.ended_at:.3f} s"
    is_whole = seen.status == 200 and seen.is_whole and seen.body_bytes >= script.size
    has_stopped = call.stops_reading_after is not None and call.stops_reading_seconds > IDLE_LIMIT_SECONDS
    if has_stopped:
        if seen.is_whole or seen.how == "timed out" or seen.reset_after is None:
            return f"no visible end: {what}"
        is_early = seen.reset_after < IDLE_LIMIT_SECONDS - EARLY_SECONDS
        is_late = seen.reset_after > IDLE_LIMIT_SECONDS + IDLE_SLACK_SECONDS
        return f"reset {seen.reset_after:.3f} s after its last bytes: {what}" if is_early or is_late else None
    return None if is_whole else f"a sound reader was cut off: {what}"
