"""The invariants that the engine enforces whatever the scheduler and the adapters do."""

from __future__ import annotations

from enum import Enum


class GuardViolation(Enum):
    """An invariant that was about to be broken, which is a bug; the values are logged as `reason`."""

    ATTEMPT_FINISHED_TWICE = "an attempt was reported as finished twice"
    SCHEDULER_RAISED = "the scheduler raised an exception"
    RESPONDED_TWICE = "a second final response to a request"
    ATTEMPT_AFTER_FINISH = "an attempt for a request that has finished"
    CONCURRENT_ATTEMPT = "a second attempt while one is in flight"
    UNSAFE_RETRY = "a retry of an unsafe request that may have been executed"
    TOO_MANY_ATTEMPTS = "an attempt beyond the maximum number of attempts"
    TARGET_UNAVAILABLE = (
        "an attempt at a target that is unlisted, past its drain grace or past the deduplication window"
    )
    UNSAFE_REJECTION = "a rejection of a request that may have been executed"
    DRAIN_OVER = "an attempt after the end of the drain"
    OPEN_AFTER_DRAIN = "a request was still open after the end of the drain"
    DEADLINE_REACHED = "a request was still open shortly before its deadline"
