"""HTTP/1.1 messages: heads, bodies by length, by chunks or to the end, with limits."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MAX_BODY = 32 * 1024 * 1024  # bytes of a request's body, and of an answer's
MAX_ANSWER = 1024 * 1024  # bytes of an answer that is wanted whole, as discovery's list
MAX_CHUNK_LINE = 1024
MAX_INTERIM = 16  # interim answers before the final one
MAX_TRAILERS = 64  # lines
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
TARGET = re.compile(r"[!-~]+")
VERSION = re.compile(r"HTTP/1\.[01]")
STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n]*)?")
ONCE = ("content-length", "transfer-encoding", "host")
VALUE = re.compile(r"[\t -~\x80-\xff]*")
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class HttpError(Exception):
    """A message that is not to be had; `status` is what a server answers to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """A message's first line and its fields by lower-case name."""

    minor: int
    fields: dict[str, str]
    method: str = ""
    target: str = ""
    status: int = 0

    def expects_continue(self) -> bool:
        """Whether the client waits to be told to send the body."""
        return self.minor == 1 and self.fields.get("expect", "").lower() == "100-continue"

    def keeps_alive(self) -> bool:
        options = {word.strip().lower() for word in self.fields.get("connection", "").split(",")}
        return "close" not in options and (self.minor == 1 or "keep-alive" in options)


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def parse_fields(lines: list[str], lenient: bool = False) -> dict[str, str]:
    """Fields by lower-case name; if `lenient`, a value with control characters in it is left out.

    Guards against throwing a good answer away for a load report that can't be read.
    """
    fields: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        value = value.strip(" \t")
        if not colon or not TOKEN.fullmatch(name):
            raise HttpError(400, "malformed field line")
        name = name.lower()
        if not VALUE.fullmatch(value):
            if lenient and name not in (*ONCE, "connection") and not set(value) & {"\r", "\n"}:
                continue
            raise HttpError(400, "malformed field line")
        if name in fields:
            if name in ONCE:
                raise HttpError(400, f"{name} given twice")
            value = f"{fields[name]}, {value}"
        fields[name] = value
    return fields


def parse_request(text: str) -> Head:
    line, *rest = text.split("\r\n")
    parts = line.split(" ")
    if (
        len(parts) != 3
        or not TOKEN.fullmatch(parts[0])
        or not TARGET.fullmatch(parts[1])
        or not VERSION.fullmatch(parts[2])
    ):
        raise HttpError(400, "malformed request line")
    head = Head(int(parts[2][-1]), parse_fields(rest), method=parts[0], target=parts[1])
    if head.minor == 1 and "host" not in head.fields:
        raise HttpError(400, "no host field")
    return head


def parse_response(text: str) -> Head:
    line, *rest = text.split("\r\n")
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        raise HttpError(502, "malformed status line")
    return Head(int(match[1]), parse_fields(rest, lenient=True), status=int(match[2]))


@dataclass(slots=True)
class Reader:
    """Takes the bytes of one message after another; `done` tells that `head` and `body` are whole."""

    response: bool
    limit: int = MAX_BODY  # of the body
    head: Head | None = None
    body: bytearray = field(default_factory=bytearray)
    done: bool = False
    length: int | None = None  # of the body, where the head tells it
    bytes_received: int = 0  # bytes of the body so far
    _left: int = 0  # bytes of the body, or of the chunk, still to come
    _stage: str = "head"
    _lines: int = 0  # interim answers or trailer lines so far

    def reset(self) -> None:
        self.head, self.body, self.done, self._left, self._stage = None, bytearray(), False, 0, "head"
        self._lines = self.bytes_received = 0
        self.length = None

    def drain(self) -> bytes:
        """Take out what of the body has come since the last time."""
        part = bytes(self.body)
        self.body.clear()
        return part

    @property
    def begun(self) -> bool:
        return self.head is not None

    def feed(self, data: memoryview) -> int:
        """Take what can be taken, up to the end of the message, and return how much that was."""
        used = 0
        while not self.done and used < len(data):
            step = getattr(self, "_" + self._stage)(data[used:])
            if step == 0:
                break
            used += step
        return used

    def finish(self) -> bool:
        """The sender has ended the connection: whether that ends the message well."""
        if self._stage == "rest" and not self.done:
            self.done = True
        return self.done

    def _head(self, data: memoryview) -> int:
        raw = bytes(data)
        if raw[:2] == b"\r\n" and not self.response:
            return 2  # an empty line before a request is to be passed over
        end = raw.find(b"\r\n\r\n")
        if end < 0:
            return 0
        text = raw[:end].decode("latin-1")
        self.head = parse_response(text) if self.response else parse_request(text)
        if self.response and 100 <= self.head.status < 200:
            self._count(MAX_INTERIM, "interim answers without end")
            if self.head.status == 101:
                raise HttpError(502, "a switch of protocols that nobody asked for")
            self.head = None  # an interim answer: the final one follows
            return end + 4
        self._frame(self.head)
        return end + 4

    def _count(self, most: int, text: str) -> None:
        self._lines += 1
        if self._lines > most:
            raise HttpError(400, text)

    def _frame(self, head: Head) -> None:
        coding, length = head.fields.get("transfer-encoding"), head.fields.get("content-length")
        if coding is not None:
            if coding.lower() != "chunked" or length is not None or head.minor == 0:
                raise HttpError(400, "transfer coding not understood")
            self._stage = "chunk_line"
        elif length is not None:
            if not length.isascii() or not length.isdigit():
                raise HttpError(400, "malformed content length")
            if len(length) > 9 or int(length) > self.limit:
                raise HttpError(413, "body over the limit")
            self._left, self._stage, self.length = int(length), "fixed", int(length)
            self.done = self._left == 0
        elif self.response and head.status not in (204, 304):
            if head.keeps_alive():  # its end could never be told
                raise HttpError(502, "no length on a connection that stays open")
            self._stage = "rest"
        else:
            self.done = True

    def _take(self, data: memoryview) -> int:
        part = data[: self._left]
        self.body += part
        self.bytes_received += len(part)
        self._left -= len(part)
        return len(part)

    def _fixed(self, data: memoryview) -> int:
        used = self._take(data)
        self.done = self._left == 0
        return used

    def _rest(self, data: memoryview) -> int:
        self.bytes_received += len(data)
        if self.bytes_received > self.limit:
            raise HttpError(413, "body over the limit")
        self.body += data
        return len(data)

    def _line(self, data: memoryview) -> bytes | None:
        raw = bytes(data[:MAX_CHUNK_LINE])
        end = raw.find(b"\r\n")
        if end < 0 and len(raw) == MAX_CHUNK_LINE:
            raise HttpError(400, "chunk line over the limit")
        return raw[:end] if end >= 0 else None

    def _chunk_line(self, data: memoryview) -> int:
        line = self._line(data)
        if line is None:
            return 0
        size = line.partition(b";")[0].strip()
        if not re.fullmatch(rb"[0-9A-Fa-f]{1,8}", size):
            raise HttpError(400, "malformed chunk size")
        self._left = int(size, 16)
        if self.bytes_received + self._left > self.limit:
            raise HttpError(413, "body over the limit")
        self._stage = "chunk" if self._left else "trailer"
        return len(line) + 2

    def _chunk(self, data: memoryview) -> int:
        if self._left:
            return self._take(data)
        if len(data) < 2:
            return 0
        if data[:2] != b"\r\n":
            raise HttpError(400, "chunk runs on past its size")
        self._stage = "chunk_line"
        return 2

    def _trailer(self, data: memoryview) -> int:
        line = self._line(data)
        if line is None:
            return 0
        self.done = not line
        self._count(MAX_TRAILERS, "trailer without end")
        return len(line) + 2


def request_head(method: str, target: str, fields: dict[str, str], length: int) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    if length or method != "GET":
        lines.append(f"Content-Length: {length}")
    return "\r\n".join((*lines, "", "")).encode("latin-1")


def encode_request(method: str, target: str, fields: dict[str, str], body: bytes) -> bytes:
    return request_head(method, target, fields, len(body)) + body


def encode_response(
    status: int, body: bytes = b"", fields: dict[str, str] | None = None, close: bool = False
) -> bytes:
    return response_head(status, len(body), fields, close) + body


def response_head(
    status: int,
    length: int | None,
    fields: dict[str, str] | None = None,
    close: bool = False,
    chunked: bool = False,
) -> bytes:
    """A head; with no length told, the body comes in chunks or ends with the connection."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    elif chunked:
        lines.append("Transfer-Encoding: chunked")
    if fields:
        lines += [f"{name}: {value}" for name, value in fields.items()]
    if close:
        lines.append("Connection: close")
    return "\r\n".join((*lines, "", "")).encode("latin-1")


LAST_CHUNK = b"0\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
