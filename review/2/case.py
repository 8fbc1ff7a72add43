"""A new configuration that is cut short has the initiator run `order-write` commands more than once.

One initiator with NVMe/TCP on both sides, one target and one host that writes one block after another.  The
operators put a new file in place that drops the class `order-read`, and send SIGHUP.  With the disruption the
file is cut short before its section [nvme], so the whole of it is to be turned down.  With or without, some
of the target's connections break after a command has run and before its completion.
"""

from __future__ import annotations

import random
import re
import signal
import socket
import struct
import time
from collections import Counter
from pathlib import Path

from review import stand_ins
from review.stand_ins import Case, CaseError, Discovery, Server, Stream
from stalltiller.protocol import nvme

SEED = 11
SUBSYSTEM = "nqn.2026-12.example:canteen"
BLOCK_BYTES = 4096
WORK_SECONDS = 0.005
BROKEN_FRACTION = 0.3  # of the commands that have run
WRITES_BEFORE = 20
WRITES_AFTER = 160
PAUSE_SECONDS = 0.05  # of the host between two writes
SETTLE_SECONDS = 1.0


class Pdus:
    """Reads and sends PDUs on a connection."""

    def __init__(self, stream: Stream, allowed: frozenset[int]) -> None:
        self._stream = stream
        self._reader = nvme.PduReader(allowed)
        self._unread = b""

    def next(self) -> nvme.Pdu | None:
        """Return the next PDU, or None at the end of the connection."""
        while True:
            consumed, pdu = self._reader.feed(memoryview(self._unread))
            self._unread = self._unread[consumed:]
            if pdu is not None:
                return pdu
            if not consumed:
                try:
                    data = self._stream.connection.recv(1 << 16)
                except OSError:
                    return None
                if not data:
                    return None
                self._unread += data

    def send(self, data: bytes) -> None:
        """Send an encoded PDU."""
        self._stream.send(data)


class Target:
    """A target over NVMe/TCP that counts how often each block was written."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._rng = random.Random(SEED)
        self.runs: Counter[int] = Counter()
        self.is_breaking = False
        self.server = Server(self._serve)

    def _serve(self, stream: Stream) -> None:
        pdus = Pdus(stream, nvme.FROM_HOST)
        if pdus.next() is None:
            return
        pdus.send(nvme.ic_response())
        while (pdu := pdus.next()) is not None:
            if not self._run(pdus, nvme.parse_command(pdu), pdu.data):
                return

    def _run(self, pdus: Pdus, command: nvme.Command, data: bytes) -> bool:
        """Run a command and complete it; return False if the connection breaks instead."""
        result = 0
        if command.opcode == nvme.FABRICS:
            result = {nvme.CONNECT: 7, nvme.PROPERTY_GET: nvme.CSTS_READY}.get(command.nsid, 0)
        elif command.opcode == nvme.IDENTIFY:
            page = nvme.identify_controller(7, "target", SUBSYSTEM, (1, 1, 1), 2)
            pdus.send(nvme.data_pdu(nvme.C2H_DATA, command.cid, 0, 0, page))
        elif command.opcode == nvme.WRITE:
            time.sleep(WORK_SECONDS)
            self.runs[command.lba] += 1
            self._case.record(
                "target_ran_write", block=command.lba, data=data[:8].hex(), run=self.runs[command.lba]
            )
            if self.is_breaking and self._rng.random() < BROKEN_FRACTION:
                self._case.record("target_connection_broke", block=command.lba)
                return False
        pdus.send(nvme.completion(nvme.Completion(command.cid, nvme.OK, result), 0, 0))
        return True


class Host:
    """A host with one association, which sends one command at a time."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._admin, controller_id = self._open_queue(0, nvme.DYNAMIC_CONTROLLER_ID)
        self._admin.send(nvme.property_set(2, nvme.CC, nvme.CC_ENABLE))
        self._next(self._admin)
        self._queue, _ = self._open_queue(1, controller_id)
        self._command_id = 10

    def _open_queue(self, queue_id: int, controller_id: int) -> tuple[Pdus, int]:
        pdus = Pdus(
            Stream(socket.create_connection((stand_ins.HOST, self._port), 10.0)), nvme.FROM_CONTROLLER
        )
        pdus.send(nvme.ic_request())
        self._next(pdus)
        pdus.send(nvme.connect(1, queue_id, 16, 0, controller_id, b"host", SUBSYSTEM, "nqn.host"))
        return pdus, nvme.parse_completion(self._next(pdus)).result

    @staticmethod
    def _next(pdus: Pdus) -> nvme.Pdu:
        pdu = pdus.next()
        if pdu is None:
            raise CaseError("the initiator closed the association")
        return pdu

    def write(self, block: int) -> nvme.Completion:
        """Write one block and return the completion."""
        self._command_id = self._command_id % 1000 + 10
        data = struct.pack("<Q", block) * (BLOCK_BYTES // 8)
        self._queue.send(
            nvme.io_command(nvme.WRITE, self._command_id, 1, block, 1, BLOCK_BYTES, data),
        )
        return nvme.parse_completion(self._next(self._queue))


def operators_files(port: int, admin_port: int, discovery_port: int) -> tuple[str, str]:
    """Return the first configuration and the new one, made from the operators' example."""
    text = (stand_ins.ROOT / "deploy" / "operator.toml").read_text()
    for old, new in ((4420, port), (8500, discovery_port)):
        text = text.replace(f"{stand_ins.HOST}:{old}", f"{stand_ins.HOST}:{new}")
    text = re.sub(r"^\[(graphite|collectd)\]\n(.+\n)*\n", "", text, flags=re.M)
    nvme_section = re.search(r"^\[nvme\]\n(.|\n)*?(?=^\[settings\]$)", text, flags=re.M)
    if nvme_section is None:
        raise CaseError("the operators' example has no section [nvme] before [settings]")
    rest = text.replace(nvme_section[0], "")
    rest = rest.replace("\n[limits]", f'admin = "{stand_ins.HOST}:{admin_port}"\n\n[limits]', 1)
    first = f"{rest.rstrip()}\n\n{nvme_section[0]}"
    new = re.sub(r'^\[\[settings\.classes\]\]\nname = "order-read"\n(.+\n)*\n', "", first, flags=re.M)
    new = new.replace("changes-data = [false, true, false]", "changes-data = [true, false]")
    new = new.replace(
        'class = "order-read"\ndeadline_ms = 1200', 'class = "report-export"\ndeadline_ms = 5000'
    )
    if "order-read" in new:
        raise CaseError("the class order-read was not dropped from the operators' example")
    return first, new


def run(case: Case, folder: Path) -> list[str]:
    """Run the case and return the writes that ran more than once."""
    target = Target(case)
    discovery = Discovery(case.record)
    discovery.set("s-0", target.server.port, 0)
    port, admin_port = stand_ins.free_port(), stand_ins.free_port()
    first, new = operators_files(port, admin_port, discovery.server.port)
    path = folder / "operator.toml"
    path.write_text(first)
    program = case.start("n1", str(path))
    stand_ins.wait_until(
        lambda: stand_ins.admin_call(admin_port, "GET", "/_ready") == 200, 20.0, "the initiator is ready"
    )
    host = Host(port)

    def write(block: int) -> int:
        case.record("host_write_sent", block=block)
        completion = host.write(block)
        case.record(
            "host_write_answered", block=block, status=completion.status, no_retry=completion.no_retry
        )
        return completion.status

    statuses = [write(block) for block in range(WRITES_BEFORE)]
    if statuses != [nvme.OK] * WRITES_BEFORE:
        raise CaseError(f"writes were not served before the new configuration: {statuses}")
    next_path = folder / "operator.toml.new"
    next_path.write_text(new[: new.index("[nvme]")] if case.has_trouble else new)
    next_path.rename(path)
    program.send(signal.SIGHUP)
    target.is_breaking = True
    for block in range(1000, 1000 + WRITES_AFTER):
        write(block)
        time.sleep(PAUSE_SECONDS)
    time.sleep(SETTLE_SECONDS)
    if not program.has_logged("reloaded") and not program.has_logged("reload_failed"):
        raise CaseError("SIGHUP had no effect")
    return [
        f"one order-write of block {block} ran {count} times"
        for block, count in sorted(target.runs.items())
        if count > 1
    ]


if __name__ == "__main__":
    stand_ins.main(__file__, run)
