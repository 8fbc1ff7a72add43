"""The rules that the engine enforces whatever the scheduler and the adapters do."""

from __future__ import annotations

from enum import Enum


class GuardViolation(Enum):
    """Why a guard stepped in, which is a fault of the program; the values are logged as `reason`."""

    ATTEMPT_FINISHED_TWICE = "an attempt ended twice"
    SCHEDULER_RAISED = "the scheduler raised"
    ANSWERED_TWICE = "a second answer"
    ATTEMPT_AFTER_FINISH = "an attempt after the end"
    CONCURRENT_ATTEMPT = "a second attempt at once"
    UNSAFE_RETRY = "a repeat of what may have run"
    TOO_MANY_ATTEMPTS = "an attempt over the number allowed"
    TARGET_UNAVAILABLE = "an attempt at a target that drains, is not listed or may forget the one before"
    UNSAFE_REJECTION = "a refusal of what may have run"
    DEADLINE_REACHED = "the deadline backstop answered"
