"""From one configuration to the next, while requests come in."""

from __future__ import annotations

import math
from dataclasses import replace

from stalltiller.scheduling import Effect, Scope, Settings

SETTLE = 1.5  # s after SIGHUP for which clients may still go by the settings before
WIDTH = (
    Scope.CELL,
    Scope.ZONE,
    Scope.ALL,
)  # where a repeat is known as one, the narrowest first
STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)


def carried(old: Settings, new: Settings) -> Settings:
    """The new settings, in which a class that goes on is a write if it was one, and of others it is not told.

    Guards against settings that tell it by place and keep that list while the classes change theirs: every
    write was taken for a read, and answered 400.
    """
    writes = {cls.name: cls.writes for cls in old.classes}
    return replace(new, classes=tuple(replace(cls, writes=writes.get(cls.name)) for cls in new.classes))


def between(old: Settings, new: Settings) -> Settings:
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
                effect=max(cls.effect, same.effect, key=STRICTNESS.index),
                scope=min(cls.scope, same.scope, key=WIDTH.index),
                keep=min(cls.keep, same.keep),
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
