"""Runs one scheduler per simulated initiator, driven by the simulator over standard input and output.

Its only imports are the standard library, the scheduler and this package: a simulation starts hundreds of
instances.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from stalltiller.scheduling import Event
from stalltiller.scheduling.scheduler import Scheduler
from stalltiller.simulator import actions, codec
from stalltiller.simulator.options import NANOSECONDS_PER_SECOND

EXIT_MALFORMED_INPUT = 2


class Instance:
    """One simulated initiator: a scheduler whose clock starts at 0."""

    def __init__(self, number: int, started: codec.InstanceStarted, clock_ns: int) -> None:
        self.number = number
        self.epoch_ns = clock_ns
        self.scheduler = Scheduler(codec.parse_settings(started.options), started.seed, 0.0)

    def handle(self, clock_ns: int, raw_events: list[Event | codec.RawTargetList]) -> list[bytes]:
        """Pass events to the scheduler and return its encoded actions."""
        events: list[Event] = [
            codec.to_target_list_update(event, self.epoch_ns)
            if isinstance(event, codec.RawTargetList)
            else event
            for event in raw_events
        ]
        now = (clock_ns - self.epoch_ns) / NANOSECONDS_PER_SECOND
        return [
            actions.encode_action(self.number, action, self.epoch_ns)
            for action in self.scheduler.handle(now, events)
        ]


def process_batch(
    instances: dict[int, Instance], events: list[tuple[int, codec.InstanceEvent]], clock_ns: int
) -> list[bytes]:
    """Process one batch and return the encoded records of the reply.

    The events of an instance are passed to its scheduler in one call, in their order.  An exception while an
    instance starts or handles events becomes a crash report in the reply, except for a WireError in a
    target list, which is raised.
    """
    pending: dict[int, list[Event | codec.RawTargetList]] = {}
    records: list[bytes] = []
    for number, event in events:
        try:
            if isinstance(event, codec.InstanceStopped):
                instances.pop(number, None)
                pending.pop(number, None)
            elif isinstance(event, codec.InstanceStarted):
                instances[number] = Instance(number, event, clock_ns)
                pending[number] = []
            elif number in instances:
                pending.setdefault(number, []).append(event)
        except Exception as error:  # the simulator shows the report of a failed start
            records.append(_crash_report(number, error))
    for number, instance_events in pending.items():
        try:
            records += instances[number].handle(clock_ns, instance_events)
        except codec.WireError:
            raise
        except Exception as error:  # the simulator shows the report and stops the run
            records.append(_crash_report(number, error))
    return records


def _crash_report(number: int, error: Exception) -> bytes:
    return actions.encode_crash_report(number, f"{type(error).__name__}: {error}")


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each batch until the input ends; raises WireError on malformed input."""
    reader = codec.BatchReader()
    instances: dict[int, Instance] = {}
    while (frame := codec.read_frame(source)) is not None:
        events = reader.decode_events(frame.record_count, frame.body)
        records = process_batch(instances, events, frame.clock_ns)
        sink.write(actions.encode_reply(records))
        sink.flush()


def main() -> int:
    """Process standard input and return the exit code; malformed input is reported on standard error."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except codec.WireError as error:
        print(f"stalltiller.simulator.adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
