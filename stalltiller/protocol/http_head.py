"""The heads of HTTP/1.1 messages: the first line and the fields, without I/O and without framing."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_FIELD_LINES = 128  # each field takes many times the memory of its bytes
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
REQUEST_TARGET = re.compile(r"[!-~]+")
HTTP_VERSION = re.compile(r"HTTP/1\.[01]")
STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n]*)?")
# Fields that must not be repeated, because framing or routing depends on them.
SINGLETON_FIELDS = ("content-length", "transfer-encoding", "host")
FIELD_VALUE = re.compile(r"[\t -~\x80-\xff]*")


class HttpError(Exception):
    """A malformed or oversized message; `status` is the status code of a server's response to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """A message's first line, and its fields by lower-case name.

    `minor_version` is that of HTTP; requests have a method and a target, responses have a status.
    """

    minor_version: int
    fields: dict[str, str]
    method: str = ""
    target: str = ""
    status: int = 0

    def expects_continue(self) -> bool:
        """Return whether the client waits for an interim response before it sends the body."""
        return self.minor_version == 1 and self.fields.get("expect", "").lower() == "100-continue"

    def keeps_alive(self) -> bool:
        """Return whether the sender keeps the connection open after this message (RFC 9112, section 9.3)."""
        options = {option.strip().lower() for option in self.fields.get("connection", "").split(",")}
        return "close" not in options and (self.minor_version == 1 or "keep-alive" in options)


def parse_fields(lines: list[str], lenient: bool = False) -> dict[str, str]:
    """Return the fields by lower-case name; raises HttpError with status 400 on a malformed line.

    With `lenient` a field whose value contains control characters is omitted if framing does not depend on
    it, so that a malformed load report does not invalidate a response.
    """
    fields: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        value = value.strip(" \t")
        if not colon or not TOKEN.fullmatch(name):
            raise HttpError(400, "malformed field line")
        name = name.lower()
        if not FIELD_VALUE.fullmatch(value):
            if lenient and _may_omit(name, value):
                continue
            raise HttpError(400, "malformed field line")
        if name in fields:
            if name in SINGLETON_FIELDS:
                raise HttpError(400, f"{name} given twice")
            value = f"{fields[name]}, {value}"
        fields[name] = value
    return fields


def _may_omit(name: str, value: str) -> bool:
    """Return whether a field with a malformed value may be omitted: it must not affect framing."""
    return name not in (*SINGLETON_FIELDS, "connection") and not set(value) & {"\r", "\n"}


def _split_head(text: str) -> list[str]:
    """Return the lines of a head; raises HttpError with status 431 if there are too many."""
    lines = text.split("\r\n", MAX_FIELD_LINES + 1)
    if len(lines) > MAX_FIELD_LINES + 1:
        raise HttpError(431, "too many field lines")
    return lines


def parse_request(text: str) -> Head:
    """Parse a request's head without its final empty line; raises HttpError with status 400."""
    request_line, *field_lines = _split_head(text)
    parts = request_line.split(" ")
    if (
        len(parts) != 3
        or not TOKEN.fullmatch(parts[0])
        or not REQUEST_TARGET.fullmatch(parts[1])
        or not HTTP_VERSION.fullmatch(parts[2])
    ):
        raise HttpError(400, "malformed request line")
    method, target, version = parts
    head = Head(int(version[-1]), parse_fields(field_lines), method=method, target=target)
    if head.minor_version == 1 and "host" not in head.fields:
        raise HttpError(400, "no host field")
    return head


def parse_response(text: str) -> Head:
    """Parse a response's head without its final empty line; raises HttpError with status 400 or 502."""
    status_line, *field_lines = _split_head(text)
    match = STATUS_LINE.fullmatch(status_line)
    if match is None:
        raise HttpError(502, "malformed status line")
    return Head(int(match[1]), parse_fields(field_lines, lenient=True), status=int(match[2]))
