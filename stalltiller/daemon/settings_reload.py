"""From one configuration to the next, while requests come in."""

from __future__ import annotations

import math
from dataclasses import replace

from stalltiller.scheduling import DeduplicationScope, Idempotency, Settings

SETTLE_SECONDS = 1.5  # s after SIGHUP for which clients may still go by the settings before
WIDTH = (
    DeduplicationScope.SHARD,
    DeduplicationScope.ZONE,
    DeduplicationScope.ALL,
)  # where a repeat is known as one, the narrowest first
STRICTNESS = (Idempotency.SAFE, Idempotency.IDEMPOTENCY_KEY, Idempotency.UNSAFE)


def merge_settings(old: Settings, new: Settings) -> Settings:
    """The new settings, in which a class that goes on is a write if it was one, and of others it is not told.

    Guards against settings that tell it by place and keep that list while the classes change theirs: every
    write was taken for a read, and answered 400.
    """
    writes = {cls.name: cls.is_write for cls in old.classes}
    return replace(new, classes=tuple(replace(cls, is_write=writes.get(cls.name)) for cls in new.classes))


def transitional_settings(old: Settings, new: Settings) -> Settings:
    """What holds while either may be meant: all classes and plans of both, and the stricter of two rules.

    Guards against refusing what the one names and the other does not, and against repeating a request that
    only the new settings allow to be repeated while its client still goes by the old ones.
    """
    coming = {cls.name: cls for cls in new.classes}
    classes = []
    for cls in old.classes:
        same = coming.pop(cls.name, cls)
        classes.append(
            replace(
                same,
                idempotency=max(cls.idempotency, same.idempotency, key=STRICTNESS.index),
                deduplication_scope=min(cls.deduplication_scope, same.deduplication_scope, key=WIDTH.index),
                deduplication_window=min(cls.deduplication_window, same.deduplication_window),
            )
        )
    plans = {plan.name: plan for plan in old.plans}
    for plan in new.plans:
        plans[plan.name] = min(plan, plans.get(plan.name, plan), key=lambda one: one.limit or math.inf)
    return replace(
        new,
        classes=(*classes, *coming.values()),
        plans=tuple(plans.values()),
        max_attempts=min(old.max_attempts, new.max_attempts),
    )
