"""Read the traces of many initiators: how requests ended, and one request's way through the fleet.

    python -m stalltiller.trace LOG...              how requests ended, by kind and by span of time
    python -m stalltiller.trace LOG... --label ID   each step of the request a client named so, in every log

A log is one JSON line an event, as the program writes it with `STALLTILLER_TRACE=1`; a line may begin with
a time of the reader's own (as a bench writes its logs), which is then the time shown.  Each restart of a
process begins a new life in its log, since request numbers begin anew.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import orjson

SPAN = 5.0  # s of a row of the summary


@dataclass(slots=True)
class Step:
    at: float
    event: str
    details: dict


@dataclass(slots=True)
class Trail:
    """What one life of one initiator did with one request."""

    where: str
    label: str
    steps: list[Step] = field(default_factory=list)

    @property
    def taken_at(self) -> float:
        return self.steps[0].at

    @property
    def how(self) -> str:
        return next((s.details["how"] for s in self.steps if s.event == "answered"), "open")

    @property
    def statuses(self) -> tuple[str, ...]:
        return tuple(s.details["status"] for s in self.steps if s.event == "attempt_ended")


def events(lines: Iterable[str]) -> Iterator[tuple[float, dict]]:
    """The events of a log, with their times; what is no event is passed over."""
    for line in lines:
        head, brace, rest = line.partition("{")
        try:
            event = orjson.loads(brace + rest)
            yield (float(head) if head.strip() else float(event["time"])), event
        except (orjson.JSONDecodeError, ValueError, KeyError, TypeError):
            continue


def trails(name: str, lines: Iterable[str]) -> list[Trail]:
    """Each request of one log as a trail of its steps."""
    found: list[Trail] = []
    open_: dict[int, Trail] = {}
    life = 0
    for at, event in events(lines):
        kind = event.get("event")
        if kind == "started":
            life, open_ = life + 1, {}
        elif kind == "taken":
            trail = open_[event["id"]] = Trail(f"{name}#{life}", str(event.get("label", "")))
            found.append(trail)
        if kind in ("taken", "attempt", "attempt_ended", "answered") and event.get("id") in open_:
            open_[event["id"]].steps.append(Step(at, kind, event))
    return found


def summary(all_trails: list[Trail]) -> str:
    """How requests ended: by answer and attempts' outcomes, and by span of time."""
    ends = Counter((t.how, t.statuses) for t in all_trails)
    start = min((t.taken_at for t in all_trails), default=0.0)
    spans = Counter((int((t.taken_at - start) // SPAN), t.how) for t in all_trails)
    hows = sorted({t.how for t in all_trails})
    rows = [f"{len(all_trails)} requests"]
    rows += [
        f"{count:7d}  {how:8s} {' '.join(statuses) or '(no attempt)'}"
        for (how, statuses), count in ends.most_common()
    ]
    rows.append("from s  " + " ".join(f"{how:>8s}" for how in hows))
    for span in sorted({span for span, _ in spans}):
        rows.append(f"{span * SPAN:6.0f}  " + " ".join(f"{spans[(span, how)]:8d}" for how in hows))
    return "\n".join(rows)


def follow(all_trails: list[Trail], label: str) -> str:
    """Every step of the request that a client named so, in the order of time."""
    rows = []
    for trail in sorted((t for t in all_trails if t.label == label), key=lambda t: t.taken_at):
        for step in trail.steps:
            shown = {k: v for k, v in step.details.items() if k not in ("time", "name", "event", "label")}
            rows.append(f"{step.at:10.3f}  {trail.where:12s} {step.event:14s} {orjson.dumps(shown).decode()}")
    return "\n".join(rows) or f"no request {label!r}"


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m stalltiller.trace", description=__doc__.splitlines()[0])
    parser.add_argument("logs", nargs="+", help="logs written with STALLTILLER_TRACE=1")
    parser.add_argument("--label", help="the X-Request-ID of a request to follow")
    options = parser.parse_args(argv)
    all_trails: list[Trail] = []
    for path in options.logs:
        try:
            with open(path, encoding="utf-8", errors="replace") as lines:
                all_trails += trails(path.rsplit("/", 1)[-1].removesuffix(".log"), lines)
        except OSError as error:
            print(f"stalltiller.trace: {error}", file=sys.stderr)
            return 2
    print(follow(all_trails, options.label) if options.label else summary(all_trails))
    return 0


if __name__ == "__main__":
    sys.exit(main())
