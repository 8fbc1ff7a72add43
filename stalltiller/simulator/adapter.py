"""Adapter: hosts one scheduler per instance on the simulator's wire, over standard input and output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from stalltiller.scheduling.scheduler import Scheduler
from stalltiller.simulator import codec


class Instance:
    """One simulated gateway: a scheduler whose clock begins when it starts."""

    def __init__(self, number: int, init: codec.Init, clock: int) -> None:
        self.number = number
        self.base = clock
        self.scheduler = Scheduler(codec.parse_settings(init.options), init.seed, 0.0)

    def handle(self, clock: int, raw: list[object]) -> list[bytes]:
        """Give the scheduler its events and encode what it does."""
        events = [codec.node_list(*event, self.base) if isinstance(event, tuple) else event for event in raw]
        actions = self.scheduler.handle((clock - self.base) / codec.NS, events)
        return [codec.encode_action(self.number, action, self.base) for action in actions]


def answer(instances: dict[int, Instance], events: list[tuple[int, object]], clock: int) -> list[bytes]:
    """Run one batch; an instance's events reach its scheduler together and in order."""
    waiting: dict[int, list[object]] = {}
    records: list[bytes] = []
    for number, event in events:
        try:
            if isinstance(event, codec.Stop):
                instances.pop(number, None)
                waiting.pop(number, None)
            elif isinstance(event, codec.Init):
                instances[number] = Instance(number, event, clock)
                waiting[number] = []
            elif number in instances:
                waiting.setdefault(number, []).append(event)
        except Exception as error:  # a crash at the start is reported on the wire
            records.append(codec.encode_fault(number, f"{type(error).__name__}: {error}"))
    for number, own in waiting.items():
        try:
            records += instances[number].handle(clock, own)
        except codec.WireError:
            raise
        except Exception as error:  # the run stops and shows the text
            records.append(codec.encode_fault(number, f"{type(error).__name__}: {error}"))
    return records


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    reader = codec.Reader()
    instances: dict[int, Instance] = {}
    while (frame := codec.read_frame(source)) is not None:
        count, clock, body = frame
        sink.write(codec.encode_reply(answer(instances, reader.events(count, body), clock)))
        sink.flush()


def main() -> int:
    """Serve standard input; a malformed frame ends with a plain message."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except codec.WireError as error:
        print(f"stalltiller.simulator.adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
