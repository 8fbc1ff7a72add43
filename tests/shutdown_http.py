"""Targets, clients and a site over HTTP for `shutdown_play`."""

from __future__ import annotations

import json
import socket
import struct
from pathlib import Path

from review import stand_ins
from review.stand_ins import Server, Stream
from tests.shutdown_play import (
    END_SECONDS,
    Behaviour,
    Exchange,
    Plan,
    Seen,
    Timeline,
    send_request,
    wait_for_close,
)
from tests.shutdown_site import ShutdownSite
from tests.slow_peers import is_body_whole, is_close_delimited

DRIP_SECONDS = 0.04  # between two drips
SHORT_BYTES = 2_000
LONG_BYTES = 300_000
BODY = b"x" * SHORT_BYTES
LONG_HEAD = b"HTTP/1.1 200 OK\r\nX-Padding: " + b"p" * 4_000
DESCRIPTORS = 2048  # so many that a crowd's idle connections stay open
REQUEST_ID_PREFIX = "end"  # before the number of the exchange
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Classes with their time to answer, in seconds: the longest counts as 3 s.
LONG_CLASSES = {"order-read": 1.2, "order-write": 2.5, "report-export": 25.0, "menu-write": 25.0}
SHORT_CLASSES = {"order-read": 0.4, "order-write": 0.6, "report-export": 0.6, "menu-write": 0.5}
SAFE_CLASSES = ("order-read", "report-export")
UNHURRIED_CLASSES = ("report-export", "menu-write")  # their objective is as long as their time


def head(framing: str) -> bytes:
    return f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode()


SHORT_HEAD = head(f"Content-Length: {SHORT_BYTES}")
FIRST_BYTES = {
    Behaviour.SERVES: SHORT_HEAD + BODY,
    Behaviour.INTERIM: b"HTTP/1.1 102 Processing\r\n\r\n",
    Behaviour.INTERIMS: b"HTTP/1.1 102 Processing\r\n\r\n",
    Behaviour.HEAD_PART: SHORT_HEAD[:30],
    Behaviour.HEAD_DRIPS: b"HTTP",
    Behaviour.HEAD_ONLY: head("Transfer-Encoding: chunked"),
    Behaviour.BODY_DRIPS: SHORT_HEAD,
    Behaviour.CHUNKS_DRIP: head("Transfer-Encoding: chunked"),
    Behaviour.CLOSE_DRIPS: head("Connection: close"),
    Behaviour.LONG_DRIPS: head(f"Content-Length: {LONG_BYTES}"),
    Behaviour.BODY_STOPS: SHORT_HEAD + BODY[:100],
    Behaviour.ERROR: b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    Behaviour.REJECTS: b"HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
}
DRIPS = {
    Behaviour.INTERIMS: b"HTTP/1.1 102 Processing\r\n\r\n",
    Behaviour.HEAD_DRIPS: b"p",
    Behaviour.BODY_DRIPS: b"xxxx",
    Behaviour.CHUNKS_DRIP: b"4\r\nxxxx\r\n",
    Behaviour.CLOSE_DRIPS: b"xxxx",
    Behaviour.LONG_DRIPS: b"x" * 100,
}
# What is sent at once, before the connection ends at the exchange's moment.
BEFORE_THE_END = {
    Behaviour.HEAD_PART_RESETS: SHORT_HEAD[:30],
    Behaviour.BODY_PART_RESETS: SHORT_HEAD + BODY[:100],
}
ENDS = (Behaviour.RESETS, Behaviour.CLOSES, *BEFORE_THE_END)


class HttpTarget:
    """A target of one exchange, or of several with the same behaviour."""

    def __init__(self, exchange: Exchange, timeline: Timeline) -> None:
        self._exchange = exchange
        self._timeline = timeline
        self.begun: dict[int, list[float]] = {}
        self.complete: dict[int, int] = {}
        self.server = Server(self._serve)

    def _serve(self, stream: Stream) -> None:
        while (message := self._read(stream)) is not None:
            number = int(message.fields["x-request-id"].removeprefix(REQUEST_ID_PREFIX))
            self.complete[number] = self.complete.get(number, 0) + 1
            if not self._respond(stream):
                return

    def _read(self, stream: Stream) -> stand_ins.Message | None:
        """Read a request, and record when it began."""
        while b"X-Request-ID: " not in stream.unread or b"\r\n\r\n" not in stream.unread:
            try:
                data = stream.connection.recv(4096)
            except OSError:
                return None
            if not data:
                return None
            stream.unread += data
        request_id = stream.unread.partition(b"X-Request-ID: ")[2].split(b"\r\n")[0].decode()
        number = int(request_id.removeprefix(REQUEST_ID_PREFIX))
        self.begun.setdefault(number, []).append(self._timeline.now())
        return stream.read()

    def _respond(self, stream: Stream) -> bool:
        """Behave as the exchange says; return whether the connection goes on."""
        behaviour = self._exchange.behaviour
        stream.send(BEFORE_THE_END.get(behaviour, b""))
        moment = self._exchange.moment
        if moment is not None and wait_for_close(stream.connection, moment - self._timeline.now()):
            return False
        if behaviour in ENDS:
            if behaviour is not Behaviour.CLOSES:
                stream.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                stream.connection.close()
            return False
        stream.send(FIRST_BYTES.get(behaviour, b""))
        if behaviour in (Behaviour.SERVES, Behaviour.ERROR, Behaviour.REJECTS):
            return True
        drip = DRIPS.get(behaviour)
        if drip is None:
            wait_for_close(stream.connection, END_SECONDS)
            return False
        while not wait_for_close(stream.connection, DRIP_SECONDS) and stream.send(drip):
            pass
        return False


class HttpClient:
    """One client with one request."""

    def __init__(self, port: int, exchange: Exchange, data: bytes, timeline: Timeline) -> None:
        self._exchange = exchange
        self._data = data
        self._timeline = timeline
        self.seen = Seen()
        self._connection = socket.create_connection((stand_ins.HOST, port), 10.0)
        self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A connection that has had a request stays open longer than one that has had none.
        self._connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        answer = Stream(self._connection).read()
        assert answer is not None and answer.start[1] == "200"

    def run(self) -> None:
        with self._connection:
            if send_request(self._connection, self._data, self._exchange, self._timeline, self.seen):
                self._read()

    def _read(self) -> None:
        seen = self.seen
        received = bytearray()
        self._connection.settimeout(END_SECONDS)
        while not seen.how:
            try:
                data = self._connection.recv(1 << 16)
            except OSError as error:
                seen.how = type(error).__name__
            else:
                self._receive(received, data)
        seen.ended_at = self._timeline.now()
        seen.has_partial_response = bool(received) and not seen.outcome

    def _receive(self, received: bytearray, data: bytes) -> None:
        seen = self.seen
        received += data
        if data and seen.first_byte_at is None:
            seen.first_byte_at = self._timeline.now()
        head_bytes, separator, body = bytes(received).partition(b"\r\n\r\n")
        is_whole = bool(separator) and (
            is_body_whole(head_bytes, bytearray(body)) or (not data and is_close_delimited(head_bytes))
        )
        if is_whole:
            seen.how = "whole"
            seen.outcome = {200: "served", 503: "refused"}.get(int(head_bytes.split(b" ")[1]), "failed")
        elif not data:
            seen.how = "closed"


class HttpSite(ShutdownSite):
    """A site whose request classes have the given deadlines, in seconds."""

    def __init__(
        self,
        folder: Path,
        plan: Plan,
        exchanges: list[Exchange],
        classes: dict[str, float],
        shard_count: int = 0,
    ) -> None:
        self._classes = classes
        super().__init__(folder, plan, exchanges, shard_count)

    def make_target(self, exchange: Exchange) -> HttpTarget:
        return HttpTarget(exchange, self.timeline)

    def make_client(self, number: int, exchange: Exchange) -> HttpClient:
        data = encode_request(exchange, number, number % self.shard_count)
        return HttpClient(self.port, exchange, data, self.timeline)

    def write_config(self, listen: str) -> tuple[dict[str, str], tuple[str, ...]]:
        """Write the example with other classes."""
        config = json.loads((stand_ins.ROOT / "examples" / "config.json").read_text())
        config.update(listen=listen, discovery=f"{stand_ins.HOST}:{self.discovery.server.port}")
        config["limits"]["sockets"] = DESCRIPTORS
        settings = config["settings"]
        settings["classes"].append({**settings["classes"][1], "name": "menu-write"})
        for item in settings["classes"]:
            item["give-up-ns"] = round(1e9 * self._classes[item["name"]])
            if item["name"] in UNHURRIED_CLASSES:
                item["aim-ns"] = round(0.9 * item["give-up-ns"])
            item["aim-ns"] = min(item["aim-ns"], round(0.8 * item["give-up-ns"]))
        settings["family-info"]["changes-data"].append(True)
        settings["family-info"]["shards"] = self.shard_count
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        return {"PROXY_CONFIG": str(path)}, ()


def encode_request(exchange: Exchange, number: int, shard: int) -> bytes:
    return stand_ins.request(
        exchange.class_name,
        number,
        f"{REQUEST_ID_PREFIX}{number}",
        method="GET" if exchange.class_name in SAFE_CLASSES else "PUT",
        shard=shard,
        volume=0x3B4D60000 + number,
        timeout=exchange.timeout,
        body=b"" if exchange.class_name in SAFE_CLASSES else b"menu",
    )
