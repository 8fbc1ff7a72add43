"""Read the traces of many initiators: how requests ended, and one request's way through the fleet.

    python -m stalltiller.trace LOG...              how requests ended, by kind and by span of time
    python -m stalltiller.trace LOG... --label ID   each step of the request a client named so, in every log
    python -m stalltiller.trace LOG... --slow-start TARGET   what a warming target was sent in each second

A log is one JSON line an event, as an initiator writes it with `STALLTILLER_TRACE=1`; a line may begin with
a time of the reader's own (as a bench writes its logs), which is then the time shown.  Request ids begin
anew with each start of a process, so each start begins a new run in its log.  Logs of versions that used
other names for the events are read as well.
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

SUMMARY_SPAN_SECONDS = 5.0  # of one row of the summary: short enough to see a restart or a drain
OPEN_OUTCOME = "open"  # shown for a request that was not finished when its log ended
HIDDEN_DETAILS = {"time", "name", "event", "label"}  # shown elsewhere in the row of a step, or in the call


class TraceEvent(StrEnum):
    """The steps of a request."""

    REQUEST_RECEIVED = "request_received"
    ATTEMPT_STARTED = "attempt_started"
    ATTEMPT_FINISHED = "attempt_finished"
    REQUEST_FINISHED = "request_finished"


PROCESS_STARTED = "started"
EARLIER_EVENT_NAMES = {
    "taken": TraceEvent.REQUEST_RECEIVED,
    "attempt": TraceEvent.ATTEMPT_STARTED,
    "attempt_ended": TraceEvent.ATTEMPT_FINISHED,
    "answered": TraceEvent.REQUEST_FINISHED,
}
EARLIER_FIELD_NAMES = {
    "node": "target",
    "how": "outcome",
    "left_ms": "remaining_ms",
    "cls": "class_index",
    "plan": "plan_index",
}


@dataclass(slots=True)
class Step:
    """One event of a request; `time` is the log's or the reader's, in seconds."""

    time: float
    event: TraceEvent
    details: dict[str, Any]


@dataclass(slots=True)
class RequestTrace:
    """What one run of one initiator's process did with one request."""

    run: str  # the log's name and the number of the run in it
    label: str  # the client's name for the request
    steps: list[Step] = field(default_factory=list)

    @property
    def received_at(self) -> float:
        """The time of the first step."""
        return self.steps[0].time

    @property
    def outcome(self) -> str:
        """How the request ended; `open` if the log does not say."""
        outcomes = [
            step.details["outcome"] for step in self.steps if step.event is TraceEvent.REQUEST_FINISHED
        ]
        return outcomes[0] if outcomes else OPEN_OUTCOME

    @property
    def statuses(self) -> tuple[str, ...]:
        """How its attempts ended, in order."""
        return tuple(
            step.details["status"] for step in self.steps if step.event is TraceEvent.ATTEMPT_FINISHED
        )


def read_events(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, Any]]]:
    """The events of a log, with their times; lines that are no events are skipped."""
    for line in lines:
        prefix, brace, rest = line.partition("{")
        try:
            event = orjson.loads(brace + rest)
            yield (float(prefix) if prefix.strip() else float(event["time"])), event
        except (orjson.JSONDecodeError, ValueError, KeyError, TypeError):
            continue


def read_traces(log_name: str, lines: Iterable[str]) -> list[RequestTrace]:
    """The requests of one log, in the order of their arrival."""
    traces: list[RequestTrace] = []
    traces_by_id: dict[int, RequestTrace] = {}  # of the current run
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
    """The step that a log line describes, by its present or earlier name; None if it is no step."""
    name = str(details.get("event"))
    if name in EARLIER_EVENT_NAMES:
        return EARLIER_EVENT_NAMES[name]
    try:
        return TraceEvent(name)
    except ValueError:
        return None


def _rename_fields(details: dict[str, Any]) -> dict[str, Any]:
    return {EARLIER_FIELD_NAMES.get(name, name): value for name, value in details.items()}


def summarize(traces: list[RequestTrace]) -> str:
    """How requests ended: by outcome and the statuses of their attempts, and by span of time."""
    endings = Counter((trace.outcome, trace.statuses) for trace in traces)
    first_at = min((trace.received_at for trace in traces), default=0.0)
    spans = Counter(
        (int((trace.received_at - first_at) // SUMMARY_SPAN_SECONDS), trace.outcome) for trace in traces
    )
    outcomes = sorted({trace.outcome for trace in traces})
    rows = [f"{len(traces)} requests"]
    rows += [
        f"{count:7d}  {outcome:8s} {' '.join(statuses) or '(no attempt)'}"
        for (outcome, statuses), count in endings.most_common()
    ]
    rows.append("from s  " + " ".join(f"{outcome:>8s}" for outcome in outcomes))
    for span in sorted({span for span, _ in spans}):
        counts = " ".join(f"{spans[(span, outcome)]:8d}" for outcome in outcomes)
        rows.append(f"{span * SUMMARY_SPAN_SECONDS:6.0f}  {counts}")
    return "\n".join(rows)


def follow_request(traces: list[RequestTrace], label: str) -> str:
    """Every step of the request that a client named so, in the order of time."""
    labelled = [trace for trace in traces if trace.label == label]
    rows = []
    for trace in sorted(labelled, key=lambda trace: trace.received_at):
        for step in trace.steps:
            shown = {name: value for name, value in step.details.items() if name not in HIDDEN_DETAILS}
            rows.append(f"{step.time:10.3f}  {trace.run:12s} {step.event:16s} {orjson.dumps(shown).decode()}")
    return "\n".join(rows) or f"no request {label!r}"


def attempts_at(traces: list[RequestTrace], target: str) -> list[WarmingAttempt]:
    """Return all attempts at a target, with what their initiators knew of its slow start."""
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
    """Return when an attempt was answered; None if it failed or the log does not say."""
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
    views.add_argument("--slow-start", metavar="TARGET", help="the target whose slow start to show")
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
