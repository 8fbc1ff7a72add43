"""HTTP/1.1 messages: heads, and bodies by length, by chunks or until the connection ends (RFC 9112).

Every size is limited.  `Reader` is incremental: its owner feeds it bytes as they arrive.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_BODY = 32 * 1024 * 1024  # bytes of the body of a request, and of a response
MAX_ANSWER = 1024 * 1024  # bytes of a response that is needed as a whole, as discovery's list
MAX_LENGTH_DIGITS = 9  # of a Content-Length: far above MAX_BODY, and cheap to convert
MAX_CHUNK_LINE = 1024  # bytes of a chunk's size line or of a trailer field
MAX_INTERIM = 16  # interim responses before the final one
MAX_TRAILERS = 64  # lines
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
TARGET = re.compile(r"[!-~]+")
VERSION = re.compile(r"HTTP/1\.[01]")
STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n]*)?")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
ONCE = ("content-length", "transfer-encoding", "host")  # fields that decide on framing or routing
VALUE = re.compile(r"[\t -~\x80-\xff]*")
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
STATUS_SWITCHING_PROTOCOLS = 101
BODYLESS_STATUSES = (204, 304)
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
    """A malformed or too large message; `status` is the status with which a server responds to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """A message's first line and its fields by lower-case name.

    `minor` is the minor version; requests have a method and a target, responses a status.
    """

    minor: int
    fields: dict[str, str]
    method: str = ""
    target: str = ""
    status: int = 0

    def expects_continue(self) -> bool:
        """Whether the client waits for an interim response before it sends the body."""
        return self.minor == 1 and self.fields.get("expect", "").lower() == "100-continue"

    def keeps_alive(self) -> bool:
        """Whether the sender keeps the connection open after this message (RFC 9112, section 9.3)."""
        options = {option.strip().lower() for option in self.fields.get("connection", "").split(",")}
        return "close" not in options and (self.minor == 1 or "keep-alive" in options)


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def parse_fields(lines: list[str], lenient: bool = False) -> dict[str, str]:
    """Parse field lines by lower-case name; raises HttpError with status 400 on a malformed one.

    With `lenient` a field whose value contains control characters is omitted.  Guards against discarding a
    good response for a load report that can't be read.
    """
    fields: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        value = value.strip(" \t")
        if not colon or not TOKEN.fullmatch(name):
            raise HttpError(400, "malformed field line")
        name = name.lower()
        if not VALUE.fullmatch(value):
            if lenient and _may_omit(name, value):
                continue
            raise HttpError(400, "malformed field line")
        if name in fields:
            if name in ONCE:
                raise HttpError(400, f"{name} given twice")
            value = f"{fields[name]}, {value}"
        fields[name] = value
    return fields


def _may_omit(name: str, value: str) -> bool:
    """Whether a field with a malformed value may be omitted: it must not affect the message's framing."""
    return name not in (*ONCE, "connection") and not set(value) & {"\r", "\n"}


def parse_request(text: str) -> Head:
    """Parse a request's head without its final empty line; raises HttpError with status 400."""
    request_line, *field_lines = text.split("\r\n")
    parts = request_line.split(" ")
    if (
        len(parts) != 3
        or not TOKEN.fullmatch(parts[0])
        or not TARGET.fullmatch(parts[1])
        or not VERSION.fullmatch(parts[2])
    ):
        raise HttpError(400, "malformed request line")
    method, target, version = parts
    head = Head(int(version[-1]), parse_fields(field_lines), method=method, target=target)
    if head.minor == 1 and "host" not in head.fields:
        raise HttpError(400, "no host field")
    return head


def parse_response(text: str) -> Head:
    """Parse a response's head without its final empty line; raises HttpError with status 400 or 502."""
    status_line, *field_lines = text.split("\r\n")
    match = STATUS_LINE.fullmatch(status_line)
    if match is None:
        raise HttpError(502, "malformed status line")
    return Head(int(match[1]), parse_fields(field_lines, lenient=True), status=int(match[2]))


@dataclass(slots=True)
class Reader:
    """Reads messages one after another; `done` states that `head` and `body` are complete.

    Between messages `reset` must be called.  Malformed and too large messages raise HttpError; the reader is
    of no use after that.
    """

    response: bool  # whether responses are read, or requests
    limit: int = MAX_BODY  # bytes of the body
    head: Head | None = None
    body: bytearray = field(default_factory=bytearray)
    done: bool = False
    length: int | None = None  # bytes of the body, if the head states it
    bytes_received: int = 0  # of the body so far
    _bytes_remaining: int = 0  # of the body, or of the current chunk
    _line_count: int = 0  # interim responses or trailer lines so far
    # The state of parsing: the method that reads what comes next.  It returns how many bytes it consumed,
    # or 0 if it needs more.  An enumeration would have to be mapped to methods for every chunk.
    _read_next: Callable[[Reader, memoryview], int] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        self._read_next = Reader._read_head

    def reset(self) -> None:
        """Prepare for the next message."""
        self.head = None
        self.body = bytearray()
        self.done = False
        self.length = None
        self.bytes_received = 0
        self._bytes_remaining = 0
        self._read_next = Reader._read_head
        self._line_count = 0

    def drain(self) -> bytes:
        """Remove and return the bytes of the body received since the last call."""
        received = bytes(self.body)
        self.body.clear()
        return received

    @property
    def begun(self) -> bool:
        """Whether the head is complete."""
        return self.head is not None

    def feed(self, data: memoryview) -> int:
        """Consume bytes up to the end of the message and return how many.

        The others must be presented again, with those that follow them.
        """
        consumed = 0
        while not self.done and consumed < len(data):
            step = self._read_next(self, data[consumed:])
            if step == 0:
                break
            consumed += step
        return consumed

    def finish(self) -> bool:
        """Note that the sender has ended the connection; return whether the message is complete."""
        if self._read_next is Reader._read_body_until_close and not self.done:
            self.done = True
        return self.done

    def _read_head(self, data: memoryview) -> int:
        raw = bytes(data)
        if raw[:2] == LINE_END and not self.response:
            return len(LINE_END)  # an empty line before a request is ignored (RFC 9112, section 2.2)
        head_length = raw.find(HEAD_END)
        if head_length < 0:
            return 0
        text = raw[:head_length].decode("latin-1")
        head = parse_response(text) if self.response else parse_request(text)
        self.head = head
        if self.response and 100 <= head.status < 200:
            self._skip_interim_response(head)
        else:
            self._determine_framing(head)
        return head_length + len(HEAD_END)

    def _skip_interim_response(self, head: Head) -> None:
        """Wait for the final response; an error leaves `head`, because the target has responded."""
        self._count_line(MAX_INTERIM, "interim answers without end")
        if head.status == STATUS_SWITCHING_PROTOCOLS:
            raise HttpError(502, "a switch of protocols that nobody asked for")
        self.head = None

    def _count_line(self, max_lines: int, text: str) -> None:
        self._line_count += 1
        if self._line_count > max_lines:
            raise HttpError(400, text)

    def _determine_framing(self, head: Head) -> None:
        """Determine from the head how the body's end is found (RFC 9112, section 6.3)."""
        coding = head.fields.get("transfer-encoding")
        length = head.fields.get("content-length")
        if coding is not None:
            if coding.lower() != "chunked" or length is not None or head.minor == 0:
                raise HttpError(400, "transfer coding not understood")
            self._read_next = Reader._read_chunk_line
        elif length is not None:
            self._start_fixed_length_body(length)
        elif self.response and head.status not in BODYLESS_STATUSES:
            if head.keeps_alive():  # the body's end could not be found
                raise HttpError(502, "no length on a connection that stays open")
            self._read_next = Reader._read_body_until_close
        else:
            self.done = True

    def _start_fixed_length_body(self, length_text: str) -> None:
        if not length_text.isascii() or not length_text.isdigit():
            raise HttpError(400, "malformed content length")
        if len(length_text) > MAX_LENGTH_DIGITS or int(length_text) > self.limit:
            raise HttpError(413, "body over the limit")
        self.length = int(length_text)
        self._bytes_remaining = self.length
        self._read_next = Reader._read_fixed_length_body
        self.done = self.length == 0

    def _append_remaining(self, data: memoryview) -> int:
        received = data[: self._bytes_remaining]
        self.body += received
        self.bytes_received += len(received)
        self._bytes_remaining -= len(received)
        return len(received)

    def _read_fixed_length_body(self, data: memoryview) -> int:
        consumed = self._append_remaining(data)
        self.done = self._bytes_remaining == 0
        return consumed

    def _read_body_until_close(self, data: memoryview) -> int:
        self.bytes_received += len(data)
        if self.bytes_received > self.limit:
            raise HttpError(413, "body over the limit")
        self.body += data
        return len(data)

    @staticmethod
    def _find_line(data: memoryview) -> bytes | None:
        """Return the first line without its end, or None if it is incomplete."""
        raw = bytes(data[:MAX_CHUNK_LINE])
        line_length = raw.find(LINE_END)
        if line_length < 0 and len(raw) == MAX_CHUNK_LINE:
            raise HttpError(400, "chunk line over the limit")
        return raw[:line_length] if line_length >= 0 else None

    def _read_chunk_line(self, data: memoryview) -> int:
        line = self._find_line(data)
        if line is None:
            return 0
        size = line.partition(b";")[0].strip()  # chunk extensions are ignored
        if not CHUNK_SIZE.fullmatch(size):
            raise HttpError(400, "malformed chunk size")
        self._bytes_remaining = int(size, 16)
        if self.bytes_received + self._bytes_remaining > self.limit:
            raise HttpError(413, "body over the limit")
        self._read_next = Reader._read_chunk if self._bytes_remaining else Reader._read_trailer
        return len(line) + len(LINE_END)

    def _read_chunk(self, data: memoryview) -> int:
        if self._bytes_remaining:
            return self._append_remaining(data)
        if len(data) < len(LINE_END):
            return 0
        if data[: len(LINE_END)] != LINE_END:
            raise HttpError(400, "chunk runs on past its size")
        self._read_next = Reader._read_chunk_line
        return len(LINE_END)

    def _read_trailer(self, data: memoryview) -> int:
        line = self._find_line(data)
        if line is None:
            return 0
        self.done = not line
        self._count_line(MAX_TRAILERS, "trailer without end")
        return len(line) + len(LINE_END)


def request_head(method: str, target: str, fields: dict[str, str], length: int) -> bytes:
    """Encode a request's head; a GET without a body gets no Content-Length."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    if length or method != "GET":
        lines.append(f"Content-Length: {length}")
    return "\r\n".join((*lines, "", "")).encode("latin-1")


def encode_request(method: str, target: str, fields: dict[str, str], body: bytes) -> bytes:
    """Encode a whole request."""
    return request_head(method, target, fields, len(body)) + body


def encode_response(
    status: int, body: bytes = b"", fields: dict[str, str] | None = None, close: bool = False
) -> bytes:
    """Encode a whole response; with `close` it states that the connection ends."""
    return response_head(status, len(body), fields, close) + body


def response_head(
    status: int,
    length: int | None,
    fields: dict[str, str] | None = None,
    close: bool = False,
    chunked: bool = False,
) -> bytes:
    """Encode a response's head; without a length the body is chunked or ends with the connection."""
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
    """Encode a chunk of a chunked body; it must not be empty, which would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
