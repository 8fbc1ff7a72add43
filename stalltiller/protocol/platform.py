"""The platform's HTTP fields on requests and on targets' responses.

The parsers are built from the settings and hold no other state.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from stalltiller.protocol.http import Head
from stalltiller.scheduling import AttemptStatus, Settings

HEXADECIMAL = re.compile(r"[0-9A-Fa-f]{1,16}")
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?")
INTEGER = re.compile(r"-?[0-9]{1,9}")
REQUEST_ID = re.compile(r"[!-~]{1,128}")
READ_METHOD = "GET"
WRITE_METHOD = "PUT"
LOAD_REPORT_FORMAT = "TEXT"
REJECTION_STATUSES = (503, 504)  # with X-Not-Processed: 1, the target did not execute the request
MAX_SHARD = 1 << 20  # far above any real shard; requests for a higher one are rejected


class FieldError(Exception):
    """A field of a request is missing or invalid; the request is rejected."""


@dataclass(slots=True, frozen=True)
class RequestInfo:
    """The parsed fields of a request.

    `timeout` is in seconds from the time at which the client sent it; `shard` is None for a new object.
    """

    class_index: int
    plan_index: int
    volume: int
    units: float
    volume_initiator_count: int
    idempotency_key: int
    shard: int | None
    is_retry: bool
    timeout: float


def _parse_decimal(text: str | None, name: str) -> float:
    if text is None or not DECIMAL.fullmatch(text):
        raise FieldError(f"{name} is missing or not a number")
    return float(text)


def _parse_integer(text: str | None, name: str, minimum: int, maximum: int) -> int:
    if text is None or not INTEGER.fullmatch(text) or not minimum <= int(text) <= maximum:
        raise FieldError(f"{name} is missing or wrong")
    return int(text)


def _parse_hexadecimal(text: str | None, name: str) -> int:
    if text is None or not HEXADECIMAL.fullmatch(text):
        raise FieldError(f"{name} is missing or not hexadecimal")
    return int(text, 16)


def _parse_pairs(text: str) -> dict[str, str]:
    """Split `name=value, ...`; the last value of a repeated name is used."""
    return dict(pair.strip().partition("=")[::2] for pair in text.split(","))


class RequestFields:
    """Parses the fields of requests according to the classes and plans of the settings.

    Values beyond the bounds of the settings are rejected, because they would affect the request's volume: a
    million initiators leave it no share of its limit, a million units dominate its measured demand for a
    minute.
    """

    def __init__(self, settings: Settings) -> None:
        self._initiator_count = settings.initiator_count
        self._max_units = settings.max_units or math.inf
        self._deadlines = [cls.deadline for cls in settings.classes]
        self._class_indexes = {cls.name: index for index, cls in enumerate(settings.classes)}
        self._plan_indexes = {plan.name: index for index, plan in enumerate(settings.plans)}
        self._methods = [_allowed_methods(cls.is_write) for cls in settings.classes]

    def parse(self, head: Head, body: bytes | bytearray) -> RequestInfo:
        """Parse a request's fields; raises FieldError for the first that is missing or invalid."""
        class_index, key_text = self._parse_path(head, body)
        plan_index = self._plan_indexes.get(head.fields.get("tier", ""))
        if plan_index is None:
            raise FieldError("Tier is missing or names no plan")
        if not REQUEST_ID.fullmatch(head.fields.get("x-request-id", "")):
            raise FieldError("X-Request-ID is missing or wrong")
        io_info = _parse_pairs(head.fields.get("io-info", ""))
        units = _parse_decimal(io_info.get("units"), "units")
        if not 0 < units <= self._max_units:
            raise FieldError("units must be above zero and no more than the largest request")
        shard = _parse_integer(io_info.get("shard"), "shard", -1, MAX_SHARD)
        return RequestInfo(
            class_index=class_index,
            plan_index=plan_index,
            volume=_parse_hexadecimal(io_info.get("volume"), "volume"),
            units=units,
            volume_initiator_count=_parse_integer(io_info.get("hosts"), "hosts", 1, self._initiator_count),
            idempotency_key=_parse_hexadecimal(key_text, "the key"),
            shard=None if shard < 0 else shard,
            is_retry=head.fields.get("x-retried") == "1",
            timeout=min(
                self._deadlines[class_index], _parse_decimal(head.fields.get("x-timeout"), "X-Timeout")
            ),
        )

    def _parse_path(self, head: Head, body: bytes | bytearray) -> tuple[int, str]:
        """Return the class index and the unparsed key from a path of the form /CLASS/.../KEY."""
        path = head.target.partition("?")[0]
        parts = path.split("/")
        if len(parts) < 3 or parts[0]:
            raise FieldError("the path does not name a class and a key")
        class_index = self._class_indexes.get(parts[1])
        if class_index is None:
            raise FieldError("the path names no known class")
        if head.method not in self._methods[class_index]:
            raise FieldError("method does not go with the class")
        if body and head.method == READ_METHOD:
            raise FieldError("a read has no body")
        return class_index, parts[-1]


def _allowed_methods(is_write: bool | None) -> tuple[str, ...]:
    """Return the methods of a class; with `is_write` None, the method states whether a request writes."""
    if is_write is None:
        return (READ_METHOD, WRITE_METHOD)
    return (WRITE_METHOD,) if is_write else (READ_METHOD,)


@dataclass(slots=True, frozen=True)
class ResponseInfo:
    """The status and the parsed fields of a target's response.

    `other_units` counts the units served for the volume through other initiators (0 if absent); `report` has
    the values of the target's load report in the order of the settings (empty if absent).
    """

    status: AttemptStatus
    other_units: float = 0.0
    report: tuple[float, ...] = ()


class ResponseFields:
    """Parses the fields of targets' responses; a malformed load report is ignored."""

    def __init__(self, settings: Settings) -> None:
        self._report_fields = settings.report_fields if settings.reports_in_answers else ()

    def parse(self, head: Head) -> ResponseInfo:
        """Parse a response's fields; malformed ones are treated as absent."""
        if head.status == 200:
            status = AttemptStatus.OK
        elif head.status in REJECTION_STATUSES and head.fields.get("x-not-processed") == "1":
            status = AttemptStatus.REJECTED
        else:
            status = AttemptStatus.ERROR
        other_units = head.fields.get("other-hosts", "")
        return ResponseInfo(
            status=status,
            other_units=float(other_units) if DECIMAL.fullmatch(other_units) else 0.0,
            report=self._parse_load_report(head.fields.get("x-server-load", "")),
        )

    def _parse_load_report(self, text: str) -> tuple[float, ...]:
        report_format, _, pairs = text.partition(" ")
        if report_format != LOAD_REPORT_FORMAT or not self._report_fields:
            return ()
        values = _parse_pairs(pairs)
        try:
            report = tuple(float(values[name]) for name in self._report_fields)
        except (KeyError, ValueError):
            return ()
        return report if all(map(math.isfinite, report)) else ()
