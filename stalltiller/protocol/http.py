"""HTTP/1.1 messages: heads, and bodies with a length, in chunks or up to the connection's end (RFC 9112).

Every size is limited, that of a head by the connection's buffer.  `Reader` is incremental: its owner feeds it
bytes as they arrive.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

from stalltiller.protocol.http_head import Head, HttpError, parse_request, parse_response

MAX_BODY_BYTES = 32 * 1024 * 1024  # applies to requests and to responses
# Applies to responses that are parsed as a whole, such as the target list.
MAX_DISCOVERY_RESPONSE_BYTES = 1024 * 1024
MAX_CONTENT_LENGTH_DIGITS = 9  # cheap to convert, and enough for far more than MAX_BODY_BYTES
MAX_CHUNK_LINE_BYTES = 1024  # applies to chunk size lines and trailer fields, including the line end
# A request may have so many chunks, and one more for each MIN_MEAN_CHUNK_BYTES of its body: each chunk costs
# processor time, which other clients lack.
MAX_SMALL_CHUNKS = 512
MIN_MEAN_CHUNK_BYTES = 64
MAX_INTERIM_RESPONSES = 16
MAX_TRAILER_LINES = 64  # includes the empty line that ends the trailer section
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")  # without an extension
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
LINE_END = b"\r\n"
EMPTY_LINES = re.compile(rb"(?:\r\n)+")
HEAD_END = b"\r\n\r\n"
STATUS_OK = 200
STATUS_SWITCHING_PROTOCOLS = 101
BODYLESS_STATUSES = (204, 304)
REASON_PHRASES = {
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


@dataclass(slots=True)
class Reader:
    """Reads consecutive messages; `is_complete` is true once `head` and `body` are complete.

    `reset` must be called between messages.  Malformed and oversized messages raise HttpError, after which
    the reader must not be used.
    """

    response: bool  # true: reads responses; false: reads requests
    max_body_bytes: int = MAX_BODY_BYTES
    head: Head | None = None
    body: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    length: int | None = None  # size of the body in bytes, if the head states it
    bytes_received: int = 0  # counts the body only
    _bytes_remaining: int = 0  # left to read of a fixed-length body or of the current chunk
    _item_count: int = 0  # interim responses and trailer lines received
    _chunk_count: int = 0
    # The parser's state: the method that reads the next element.  It returns the number of bytes consumed, or
    # 0 if it needs more.  An enumeration would need a lookup of the method for every chunk.
    _read_next: Callable[[Reader, memoryview], int] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        self._read_next = Reader._read_head

    def reset(self) -> None:
        """Prepare for the next message."""
        self.head = None
        self.body = bytearray()
        self.is_complete = False
        self.length = None
        self.bytes_received = 0
        self._bytes_remaining = 0
        self._read_next = Reader._read_head
        self._item_count = 0
        self._chunk_count = 0

    def take_body(self) -> bytes:
        """Remove and return the bytes of the body that arrived since the last call."""
        received = bytes(self.body)
        self.body.clear()
        return received

    @property
    def is_head_complete(self) -> bool:
        """Return whether the head is complete."""
        return self.head is not None

    def feed(self, data: memoryview) -> int:
        """Consume bytes up to the end of the message and return their number.

        Bytes that are not consumed must be passed again, together with those that follow them.
        """
        consumed = 0
        while not self.is_complete and consumed < len(data):
            step = self._read_next(self, data[consumed:])
            if step == 0:
                break
            consumed += step
        return consumed

    def finish(self) -> bool:
        """Handle the end of the connection; return whether the message is complete."""
        if self._read_next is Reader._read_body_until_close and not self.is_complete:
            self.is_complete = True
        return self.is_complete

    def _read_head(self, data: memoryview) -> int:
        raw = bytes(data)
        if not self.response and (empty_lines := EMPTY_LINES.match(raw)):
            return empty_lines.end()  # empty lines before a request are ignored (RFC 9112, section 2.2)
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
        """Discard an interim response; on an error `head` stays set, because the target has responded."""
        self._count_item(MAX_INTERIM_RESPONSES, "too many interim responses")
        if head.status == STATUS_SWITCHING_PROTOCOLS:
            raise HttpError(502, "unexpected status 101: no protocol switch was requested")
        self.head = None

    def _count_item(self, max_items: int, text: str) -> None:
        self._item_count += 1
        if self._item_count > max_items:
            raise HttpError(400, text)

    def _determine_framing(self, head: Head) -> None:
        """Determine from the head where the body ends (RFC 9112, section 6.3)."""
        coding = head.fields.get("transfer-encoding")
        length = head.fields.get("content-length")
        if coding is not None:
            if coding.lower() != "chunked" or length is not None or head.minor_version == 0:
                raise HttpError(400, "transfer coding not understood")
            self._read_next = Reader._read_chunk_line
        elif length is not None:
            self._start_fixed_length_body(length)
        elif self.response and head.status not in BODYLESS_STATUSES:
            if head.keeps_alive():  # nothing would mark the body's end
                raise HttpError(502, "response without a body length on a persistent connection")
            self._read_next = Reader._read_body_until_close
        else:
            self.is_complete = True

    def _start_fixed_length_body(self, length_text: str) -> None:
        if not length_text.isascii() or not length_text.isdigit():
            raise HttpError(400, "malformed content length")
        if len(length_text) > MAX_CONTENT_LENGTH_DIGITS or int(length_text) > self.max_body_bytes:
            raise HttpError(413, "body over the limit")
        self.length = int(length_text)
        self._bytes_remaining = self.length
        self._read_next = Reader._read_fixed_length_body
        self.is_complete = self.length == 0

    def _append_remaining(self, data: memoryview) -> int:
        received = data[: self._bytes_remaining]
        self.body += received
        self.bytes_received += len(received)
        self._bytes_remaining -= len(received)
        return len(received)

    def _read_fixed_length_body(self, data: memoryview) -> int:
        consumed = self._append_remaining(data)
        self.is_complete = self._bytes_remaining == 0
        return consumed

    def _read_body_until_close(self, data: memoryview) -> int:
        self.bytes_received += len(data)
        if self.bytes_received > self.max_body_bytes:
            raise HttpError(413, "body over the limit")
        self.body += data
        return len(data)

    @staticmethod
    def _find_line(data: memoryview) -> bytes | None:
        """Return the first line without its CRLF, or None if it is incomplete."""
        raw = bytes(data[:MAX_CHUNK_LINE_BYTES])
        line_length = raw.find(LINE_END)
        if line_length < 0 and len(raw) == MAX_CHUNK_LINE_BYTES:
            raise HttpError(400, "chunk line over the limit")
        return raw[:line_length] if line_length >= 0 else None

    def _read_chunk_line(self, data: memoryview) -> int:
        consumed = self._read_complete_chunks(bytes(data))
        if consumed:
            return consumed
        line = self._find_line(data)
        if line is None:
            return 0
        size = line.partition(b";")[0].strip()  # chunk extensions are ignored
        if not CHUNK_SIZE.fullmatch(size):
            raise HttpError(400, "malformed chunk size")
        self._bytes_remaining = int(size, 16)
        if self.bytes_received + self._bytes_remaining > self.max_body_bytes:
            raise HttpError(413, "body over the limit")
        self._count_chunk()
        self._read_next = Reader._read_chunk if self._bytes_remaining else Reader._read_trailer
        return len(line) + len(LINE_END)

    def _read_complete_chunks(self, raw: bytes) -> int:
        """Read the chunks that have arrived in full, up to the first that has not; return their size."""
        position = 0
        while size_line := CHUNK_SIZE_LINE.match(raw, position):
            size = int(size_line[1], 16)
            start = size_line.end()
            chunk_end = start + size
            if size == 0 or raw[chunk_end : chunk_end + len(LINE_END)] != LINE_END:
                break
            if self.bytes_received + size > self.max_body_bytes:
                break
            self._count_chunk()
            self.body += raw[start:chunk_end]
            self.bytes_received += size
            position = chunk_end + len(LINE_END)
        return position

    def _count_chunk(self) -> None:
        """Count a chunk of a request; targets are trusted not to spend this process's time."""
        self._chunk_count += 1
        max_chunks = MAX_SMALL_CHUNKS + self.bytes_received // MIN_MEAN_CHUNK_BYTES
        if self._chunk_count > max_chunks and not self.response:
            raise HttpError(400, "too many small chunks")

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
        self.is_complete = not line
        self._count_item(MAX_TRAILER_LINES, "trailer without end")
        return len(line) + len(LINE_END)


def encode_request_head(method: str, target: str, fields: dict[str, str], length: int) -> bytes:
    """Encode a request's head; a GET without a body gets no Content-Length."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    if length or method != "GET":
        lines.append(f"Content-Length: {length}")
    return "\r\n".join((*lines, "", "")).encode("latin-1")


def encode_request(method: str, target: str, fields: dict[str, str], body: bytes) -> bytes:
    """Encode a request with its body."""
    return encode_request_head(method, target, fields, len(body)) + body


def encode_response(
    status: int, body: bytes = b"", fields: dict[str, str] | None = None, close: bool = False
) -> bytes:
    """Encode a response with its body; `close` adds the field `Connection: close`."""
    return encode_response_head(status, len(body), fields, close) + body


def encode_response_head(
    status: int,
    length: int | None,
    fields: dict[str, str] | None = None,
    close: bool = False,
    chunked: bool = False,
) -> bytes:
    """Encode a response's head; a body without a length is chunked or ends with the connection."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    elif chunked:
        lines.append("Transfer-Encoding: chunked")
    if fields:
        lines += [f"{name}: {value}" for name, value in fields.items()]
    if close:
        lines.append("Connection: close")
    return "\r\n".join((*lines, "", "")).encode("latin-1")


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk of a chunked body; `data` must not be empty, since an empty chunk ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
