"""The state that the engine keeps for one request."""

from __future__ import annotations

import math
from dataclasses import replace
from enum import StrEnum

from stalltiller.routing.ports import Attempt, ClientRequest
from stalltiller.routing.response_deadline import ResponseDeadline
from stalltiller.routing.timers import Timer
from stalltiller.scheduling import AttemptStatus, DeduplicationScope, Idempotency, RequestClass

# Statuses that prove that the target did not execute the request.
NEVER_EXECUTED = frozenset({AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED})


class RequestOutcome(StrEnum):
    """How a request ended; the values are the names of exported counters."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "gone"


class RequestState:
    """A request from its arrival until it is finished and has no attempt in flight.

    `deadline` is when its final response is due, on the loop's clock.  `request_class` and `max_attempts` are
    those of the settings at its arrival.
    """

    __slots__ = (
        "attempt_count",
        "attempt_ended_at",
        "attempt_timers",
        "client_request",
        "deadline",
        "deadline_timer",
        "first_executed_at",
        "in_flight",
        "is_finished",
        "max_attempts",
        "possibly_executed",
        "request_class",
        "request_id",
    )

    def __init__(
        self,
        request_id: int,
        client_request: ClientRequest,
        deadline: ResponseDeadline,
        request_class: RequestClass,
        max_attempts: int,
    ) -> None:
        self.request_id = request_id
        self.client_request = client_request
        self.deadline = deadline
        self.request_class = request_class
        self.max_attempts = max_attempts
        self.attempt_count = 0
        self.attempt_ended_at = -math.inf  # loop time at which the latest attempt ended
        self.in_flight: Attempt | None = None
        self.attempt_timers: list[Timer] = []  # of the attempt in flight
        self.deadline_timer: Timer | None = None  # set if the request is admitted
        self.possibly_executed = False  # whether a target may have executed a finished attempt
        self.first_executed_at = 0.0  # loop time at which the first such attempt was sent
        self.is_finished = False

    def release_payload(self) -> None:
        """Release the payload, of the attempt in flight as well: no further attempt starts.

        Guards against keeping long bodies whose memory counts as released once the client has its response.
        """
        self.client_request = replace(self.client_request, payload=None)
        if self.in_flight is not None:
            self.in_flight.payload = None

    def may_be_rejected(self, in_flight_may_execute: bool) -> bool:
        """Whether the request may be rejected, which tells its client that a retry is harmless.

        `in_flight_may_execute`: whether a target may execute an attempt that is in flight.
        """
        return self._is_retry_harmless() or not (self.possibly_executed or in_flight_may_execute)

    def _is_retry_harmless(self) -> bool:
        """Whether a retry does no harm even if this request is executed as well."""
        idempotency = self.request_class.idempotency
        if idempotency is Idempotency.IDEMPOTENCY_KEY:  # harmless only if every target deduplicates retries
            return self.request_class.deduplication_scope is DeduplicationScope.ALL
        return idempotency is Idempotency.SAFE
