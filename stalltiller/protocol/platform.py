"""The platform's fields on requests and answers, as PROTOCOL names them."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from stalltiller.protocol.http import Head
from stalltiller.scheduling import AttemptStatus, Settings

HEX = re.compile(r"[0-9A-Fa-f]{1,16}")
NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?")
WHOLE = re.compile(r"-?[0-9]{1,9}")
REQUEST_ID = re.compile(r"[!-~]{1,128}")
NOT_RUN = (503, 504)
MAX_SHARD = 1 << 20  # far above any shard: what names a higher one is in error


class FieldError(Exception):
    """A field that is missing or wrong; the request is not taken."""


@dataclass(slots=True, frozen=True)
class RequestInfo:
    """What a request says of itself; `timeout` is in seconds from when the client sent it."""

    class_index: int
    plan_index: int
    volume: int
    units: float
    volume_initiator_count: int
    idempotency_key: int
    shard: int | None
    is_retry: bool
    timeout: float


def _number(text: str | None, name: str) -> float:
    if text is None or not NUMBER.fullmatch(text):
        raise FieldError(f"{name} is missing or not a number")
    return float(text)


def _whole(text: str | None, name: str, least: int, most: int) -> int:
    if text is None or not WHOLE.fullmatch(text) or not least <= int(text) <= most:
        raise FieldError(f"{name} is missing or wrong")
    return int(text)


def _hex(text: str | None, name: str) -> int:
    if text is None or not HEX.fullmatch(text):
        raise FieldError(f"{name} is missing or not hexadecimal")
    return int(text, 16)


class RequestFields:
    """Reads requests with the class and plan names of the settings.

    What the settings rule out is wrong, too.  Guards against figures that would stay with the volume they
    name: a million hosts leave it no part of its limit, a million units fill its demand for a minute.
    """

    def __init__(self, settings: Settings) -> None:
        self._hosts, self._largest = settings.initiator_count, settings.max_units or math.inf
        self._deadlines = [cls.deadline for cls in settings.classes]
        self._classes = {cls.name: i for i, cls in enumerate(settings.classes)}
        self._plans = {plan.name: i for i, plan in enumerate(settings.plans)}
        methods = {True: ("PUT",), False: ("GET",), None: ("GET", "PUT")}
        self._methods = [methods[cls.is_write] for cls in settings.classes]

    def parse(self, head: Head, body: bytes) -> RequestInfo:
        path = head.target.partition("?")[0]
        parts = path.split("/")
        if len(parts) < 3 or parts[0]:
            raise FieldError("the path does not name a class and a key")
        cls = self._classes.get(parts[1])
        if cls is None:
            raise FieldError("the path names no known class")
        if head.method not in self._methods[cls]:
            raise FieldError("method does not go with the class")
        if body and head.method == "GET":
            raise FieldError("a read has no body")
        plan = self._plans.get(head.fields.get("tier", ""))
        if plan is None:
            raise FieldError("Tier is missing or names no plan")
        if not REQUEST_ID.fullmatch(head.fields.get("x-request-id", "")):
            raise FieldError("X-Request-ID is missing or wrong")
        info = dict(pair.strip().partition("=")[::2] for pair in head.fields.get("io-info", "").split(","))
        units = _number(info.get("units"), "units")
        if not 0 < units <= self._largest:
            raise FieldError("units must be above zero and no more than the largest request")
        shard = _whole(info.get("shard"), "shard", -1, MAX_SHARD)
        return RequestInfo(
            cls,
            plan,
            _hex(info.get("volume"), "volume"),
            units,
            _whole(info.get("hosts"), "hosts", 1, self._hosts),
            _hex(parts[-1], "the key"),
            None if shard < 0 else shard,
            head.fields.get("x-retried") == "1",
            min(self._deadlines[cls], _number(head.fields.get("x-timeout"), "X-Timeout")),
        )


@dataclass(slots=True, frozen=True)
class AnswerInfo:
    """What a target's answer tells beside its body."""

    status: AttemptStatus
    other_units: float = 0.0
    report: tuple[float, ...] = ()


class AnswerFields:
    """Reads targets' answers; what is malformed in a report is passed over."""

    def __init__(self, settings: Settings) -> None:
        self._report_fields = settings.report_fields if settings.reports_in_answers else ()

    def parse(self, head: Head) -> AnswerInfo:
        if head.status == 200:
            status = AttemptStatus.OK
        elif head.status in NOT_RUN and head.fields.get("x-not-processed") == "1":
            status = AttemptStatus.REJECTED
        else:
            status = AttemptStatus.ERROR
        others = head.fields.get("other-hosts", "")
        return AnswerInfo(
            status,
            float(others) if NUMBER.fullmatch(others) else 0.0,
            self._report(head.fields.get("x-server-load", "")),
        )

    def _report(self, text: str) -> tuple[float, ...]:
        form, _, pairs = text.partition(" ")
        if form != "TEXT" or not self._report_fields:
            return ()
        values = dict(pair.strip().partition("=")[::2] for pair in pairs.split(","))
        try:
            report = tuple(float(values[name]) for name in self._report_fields)
        except (KeyError, ValueError):
            return ()
        return report if all(map(math.isfinite, report)) else ()
