"""Summarize the traces of many initiators, or follow one request or slow start through the fleet.

    python -m stalltiller.trace LOG...              request outcomes, in total and per time interval
    python -m stalltiller.trace LOG... --label ID   each step of the request with X-Request-ID ID, in all logs
    python -m stalltiller.trace LOG... --slow-start TARGET   load on a warming target per second

A log has one JSON line per event, as an initiator writes it with `STALLTILLER_TRACE=1`.  A line may begin
with another timestamp, as in the logs of benchmarks, which then replaces the time of the event.  Request ids
start over when a process restarts, so each process start begins a new run in its log.  Logs of earlier
versions, which named the events differently, are read as well.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import orjson

from stalltiller.slow_start_trace import WarmingAttempt, describe_slow_start

SUMMARY_INTERVAL_SECONDS = 5.0  # one row of the summary; short enough to show a restart or a drain
OPEN_OUTCOME = "open"  # shown for a request that is unfinished at the end of its log
HIDDEN_DETAILS = {"time", "name", "event", "label"}  # shown in other columns or given on the command line


class TraceEvent(StrEnum):
    """The kinds of steps of a request."""

    REQUEST_RECEIVED = "request_received"
    ATTEMPT_STARTED = "attempt_started"
    ATTEMPT_FINISHED = "attempt_finished"
    REQUEST_FINISHED = "request_finished"


PROCESS_STARTED = "started"
LEGACY_EVENT_NAMES = {
    "taken": TraceEvent.REQUEST_RECEIVED,
    "attempt": TraceEvent.ATTEMPT_STARTED,
    "attempt_ended": TraceEvent.ATTEMPT_FINISHED,
    "answered": TraceEvent.REQUEST_FINISHED,
}
LEGACY_FIELD_NAMES = {
    "node": "target",
    "how": "outcome",
    "left_ms": "remaining_ms",
    "cls": "class_index",
    "plan": "plan_index",
}


@dataclass(slots=True)
class Step:
    """One event of a request; `time` in seconds is the line's timestamp, or else the event's time."""

    time: float
    event: TraceEvent
    details: dict[str, Any]


@dataclass(slots=True)
class RequestTrace:
    """The steps of one request in one run of an initiator's process."""

    run: str  # name of the log and number of the run in it
    label: str  # the request's X-Request-ID
    steps: list[Step] = field(default_factory=list)

    @property
    def received_at(self) -> float:
        """Time of the first step."""
        return self.steps[0].time

    @property
    def outcome(self) -> str:
        """Final outcome of the request; `open` if the log has none."""
        outcomes = [
            step.details["outcome"] for step in self.steps if step.event is TraceEvent.REQUEST_FINISHED
        ]
        return outcomes[0] if outcomes else OPEN_OUTCOME

    @property
    def statuses(self) -> tuple[str, ...]:
        """Final statuses of the attempts, in order."""
        return tuple(
            step.details["status"] for step in self.steps if step.event is TraceEvent.ATTEMPT_FINISHED
        )


def read_events(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield the events of a log with their times; lines that are not events are skipped."""
    for line in lines:
        prefix, brace, rest = line.partition("{")
        try:
            event = orjson.loads(brace + rest)
            yield (float(prefix) if prefix.strip() else float(event["time"])), event
        except (orjson.JSONDecodeError, ValueError, KeyError, TypeError):
            continue


def read_traces(log_name: str, lines: Iterable[str]) -> list[RequestTrace]:
    """Return the requests of one log in order of arrival."""
    traces: list[RequestTrace] = []
    traces_by_id: dict[int, RequestTrace] = {}  # requests of the current run only
    run_number = 0
    for time, details in read_events(lines):
        if details.get("event") == PROCESS_STARTED:
            run_number += 1
            traces_by_id = {}
        event = _trace_event(details)
        if event is None:
            continue
        if event is TraceEvent.REQUEST_RECEIVED:
            trace = RequestTrace(f"{log_name}#{run_number}", str(details.get("label", "")))
            traces_by_id[details["id"]] = trace
            traces.append(trace)
        if details.get("id") in traces_by_id:
            traces_by_id[details["id"]].steps.append(Step(time, event, _rename_fields(details)))
    return traces


def _trace_event(details: dict[str, Any]) -> TraceEvent | None:
    """Return the kind of step under its current or legacy name; None if the event is no step."""
    name = str(details.get("event"))
    if name in LEGACY_EVENT_NAMES:
        return LEGACY_EVENT_NAMES[name]
    try:
        return TraceEvent(name)
    except ValueError:
        return None


def _rename_fields(details: dict[str, Any]) -> dict[str, Any]:
    return {LEGACY_FIELD_NAMES.get(name, name): value for name, value in details.items()}


def summarize(traces: list[RequestTrace]) -> str:
    """Return the counts of requests by outcome and attempt statuses, and by outcome per interval."""
    ending_counts = Counter((trace.outcome, trace.statuses) for trace in traces)
    first_at = min((trace.received_at for trace in traces), default=0.0)
    interval_counts = Counter(
        (int((trace.received_at - first_at) // SUMMARY_INTERVAL_SECONDS), trace.outcome) for trace in traces
    )
    outcomes = sorted({trace.outcome for trace in traces})
    rows = [f"{len(traces)} requests"]
    rows += [
        f"{count:7d}  {outcome:8s} {' '.join(statuses) or '(no attempt)'}"
        for (outcome, statuses), count in ending_counts.most_common()
    ]
    rows.append("from s  " + " ".join(f"{outcome:>8s}" for outcome in outcomes))
    for interval in sorted({interval for interval, _ in interval_counts}):
        counts = " ".join(f"{interval_counts[(interval, outcome)]:8d}" for outcome in outcomes)
        rows.append(f"{interval * SUMMARY_INTERVAL_SECONDS:6.0f}  {counts}")
    return "\n".join(rows)


def follow_request(traces: list[RequestTrace], label: str) -> str:
    """Return every step of the requests with this label, ordered by the arrival of the request."""
    labelled = [trace for trace in traces if trace.label == label]
    rows = []
    for trace in sorted(labelled, key=lambda trace: trace.received_at):
        for step in trace.steps:
            shown = {name: value for name, value in step.details.items() if name not in HIDDEN_DETAILS}
            rows.append(f"{step.time:10.3f}  {trace.run:12s} {step.event:16s} {orjson.dumps(shown).decode()}")
    return "\n".join(rows) or f"no request with label {label!r}"


def attempts_at(traces: list[RequestTrace], target: str) -> list[WarmingAttempt]:
    """Return all attempts at a target, each with its initiator's view of the slow start."""
    return [
        WarmingAttempt(
            time=step.time,
            run=trace.run,
            units=float(trace.steps[0].details.get("units", 0.0)),
            is_retry=bool(step.details.get("attempt")),
            served_at=_served_at(trace, step),
            state=step.details.get("slow_start"),
        )
        for trace in traces
        for step in trace.steps
        if step.event is TraceEvent.ATTEMPT_STARTED and str(step.details.get("target")) == target
    ]


def _served_at(trace: RequestTrace, attempt: Step) -> float | None:
    """Return when an attempt succeeded; None if it failed or the log does not show its end."""
    for step in trace.steps:
        is_same = step.details.get("attempt") == attempt.details.get("attempt")
        if step.event is TraceEvent.ATTEMPT_FINISHED and is_same and step.details.get("status") == "ok":
            return step.time
    return None


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit code, 2 if a log cannot be read."""
    description = (__doc__ or "").partition("\n")[0]
    parser = argparse.ArgumentParser(prog="python -m stalltiller.trace", description=description)
    parser.add_argument("logs", nargs="+", help="logs written with STALLTILLER_TRACE=1")
    views = parser.add_mutually_exclusive_group()
    views.add_argument("--label", help="the X-Request-ID of a request to follow")
    views.add_argument("--slow-start", metavar="TARGET", help="show the slow start of this target")
    options = parser.parse_args(arguments)
    traces: list[RequestTrace] = []
    for path in options.logs:
        try:
            with open(path, encoding="utf-8", errors="replace") as lines:
                traces += read_traces(path.rsplit("/", 1)[-1].removesuffix(".log"), lines)
        except OSError as error:
            print(f"stalltiller.trace: {error}", file=sys.stderr)
            return 2
    if options.label:
        print(follow_request(traces, options.label))
    elif options.slow_start:
        print(describe_slow_start(attempts_at(traces, options.slow_start)))
    else:
        print(summarize(traces))
    return 0


if __name__ == "__main__":
    sys.exit(main())
