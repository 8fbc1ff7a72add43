"""Targets, hosts and a site over NVMe/TCP for `shutdown_play`."""

from __future__ import annotations

import contextlib
import socket
import struct
from pathlib import Path

from review import stand_ins
from review.stand_ins import Server, Stream
from stalltiller.protocol import nvme
from tests.shutdown_play import (
    END_SECONDS,
    Behaviour,
    Exchange,
    Plan,
    Seen,
    Timeline,
    send_request,
    wait_for_close,
)
from tests.shutdown_site import ShutdownSite

SUBSYSTEM = "nqn.2026-12.example:canteen"
BLOCK_BYTES = 4096
DATA_BLOCKS = 4  # of each exchange, at the address of its number
DATA_BYTES = DATA_BLOCKS * BLOCK_BYTES
DRIP_BYTES = 64
DRIP_SECONDS = 0.04
COMMAND_ID = 9
CAPSULE_BYTES = 8192
CAPSULE_UNIT_BYTES = 16
CAPSULE_OFFSET = 1792  # of IOCCSZ in an Identify Controller data structure
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_CLASS = "order-read"
WRITE_CLASS = "order-write"
BEHAVIOURS = (
    Behaviour.SERVES,
    Behaviour.SILENT,
    Behaviour.INTERIM,
    Behaviour.HEAD_PART,
    Behaviour.BODY_DRIPS,
    Behaviour.BODY_STOPS,
    Behaviour.ERROR,
    Behaviour.REJECTS,
    Behaviour.RESETS,
    Behaviour.CLOSES,
    Behaviour.BODY_PART_RESETS,
)


class PduStream:
    """Reads PDUs from a blocking connection."""

    def __init__(self, connection: socket.socket, allowed: frozenset[int]) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(END_SECONDS)
        self.connection = connection
        self._reader = nvme.PduReader(allowed)
        self._unparsed = b""
        self.received_bytes = 0

    def next(self) -> nvme.Pdu:
        """Return the next PDU; raise EOFError at the end of the connection and OSError if it fails."""
        while True:
            consumed, pdu = self._reader.feed(memoryview(self._unparsed))
            self._unparsed = self._unparsed[consumed:]
            if pdu is not None:
                return pdu
            if not consumed:
                data = self.connection.recv(1 << 16)
                if not data:
                    raise EOFError
                self.received_bytes += len(data)
                self._unparsed += data

    def send(self, data: bytes) -> None:
        self.connection.sendall(data)


class NvmeTarget:
    """A target of one exchange."""

    def __init__(self, exchange: Exchange, timeline: Timeline) -> None:
        self._exchange = exchange
        self._timeline = timeline
        self.begun: dict[int, list[float]] = {}
        self.complete: dict[int, int] = {}
        self.server = Server(self._serve)

    def _serve(self, stream: Stream) -> None:
        pdus = PduStream(stream.connection, nvme.FROM_HOST)
        pdus.connection.settimeout(2 * END_SECONDS)
        with contextlib.suppress(OSError, EOFError):
            nvme.parse_ic(pdus.next())
            pdus.send(nvme.ic_response())
            while True:
                pdu = pdus.next()
                if pdu.kind != nvme.COMMAND_CAPSULE:  # data for an R2T that this target makes no use of
                    continue
                command = nvme.parse_command(pdu)
                if command.opcode in (nvme.READ, nvme.WRITE):
                    self._run(pdus, command, pdu.data)
                else:
                    self._administer(pdus, command)

    def _administer(self, pdus: PduStream, command: nvme.Command) -> None:
        result = 0
        if command.opcode == nvme.FABRICS:
            result = {nvme.CONNECT: 7, nvme.PROPERTY_GET: nvme.CSTS_READY}.get(command.nsid, 0)
        elif command.opcode == nvme.IDENTIFY:
            page = bytearray(nvme.identify_controller(7, "target", SUBSYSTEM, (1, 1, 1), 9))
            struct.pack_into("<I", page, CAPSULE_OFFSET, (CAPSULE_BYTES + 64) // CAPSULE_UNIT_BYTES)
            pdus.send(nvme.data_pdu(nvme.C2H_DATA, command.cid, 0, 0, bytes(page)))
        pdus.send(nvme.completion(nvme.Completion(command.cid, nvme.OK, result), 0, 0))

    def _run(self, pdus: PduStream, command: nvme.Command, data: bytes) -> None:
        number = command.lba // DATA_BLOCKS
        self.begun.setdefault(number, []).append(self._timeline.now())
        if command.opcode == nvme.WRITE and len(data) < command.length:
            pdus.send(nvme.r2t(command.cid, 5, len(data), command.length - len(data)))
            while len(data) < command.length:
                data += pdus.next().data
        self.complete[number] = self.complete.get(number, 0) + 1
        self._respond(pdus, command)

    def _respond(self, pdus: PduStream, command: nvme.Command) -> None:
        """Behave as the exchange says; raise EOFError to end the connection."""
        behaviour = self._exchange.behaviour
        is_read = command.opcode == nvme.READ
        data = nvme.data_pdu(nvme.C2H_DATA, command.cid, 0, 0, b"d" * DATA_BYTES) if is_read else b""
        whole = data + nvme.completion(nvme.Completion(command.cid), 0, 0)
        if behaviour is Behaviour.BODY_PART_RESETS:
            pdus.send(whole[: len(whole) // 2])
        moment = self._exchange.moment
        if moment is not None and wait_for_close(pdus.connection, moment - self._timeline.now()):
            raise EOFError
        if behaviour in (Behaviour.RESETS, Behaviour.CLOSES, Behaviour.BODY_PART_RESETS):
            if behaviour is not Behaviour.CLOSES:
                pdus.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                pdus.connection.close()
            raise EOFError
        status = {
            Behaviour.ERROR: nvme.INTERNAL_ERROR,
            Behaviour.REJECTS: nvme.NAMESPACE_NOT_READY,
        }.get(behaviour)
        if status is not None:
            pdus.send(nvme.completion(nvme.Completion(command.cid, status), 0, 0))
        elif behaviour is Behaviour.SERVES:
            pdus.send(whole)
        elif behaviour is Behaviour.BODY_DRIPS:
            self._drip(pdus, whole)
        else:
            self._begin(pdus, whole, is_read, command.cid)
            wait_for_close(pdus.connection, END_SECONDS)
            raise EOFError

    def _begin(self, pdus: PduStream, whole: bytes, is_read: bool, cid: int) -> None:
        """Send what comes before the target falls silent."""
        behaviour = self._exchange.behaviour
        if behaviour is Behaviour.HEAD_PART:
            pdus.send(whole[:10])
        elif behaviour is Behaviour.BODY_STOPS:
            pdus.send(whole[: len(whole) // 2])
        elif behaviour is Behaviour.INTERIM and not is_read:
            pdus.send(nvme.r2t(cid, 6, 0, BLOCK_BYTES))

    @staticmethod
    def _drip(pdus: PduStream, whole: bytes) -> None:
        """Send a response in pieces that take longer than any shutdown, then go on without an end."""
        for start in range(0, len(whole) - 1, DRIP_BYTES):
            pdus.send(whole[start : min(start + DRIP_BYTES, len(whole) - 1)])
            if wait_for_close(pdus.connection, DRIP_SECONDS):
                raise EOFError
        wait_for_close(pdus.connection, END_SECONDS)
        raise EOFError


class NvmeHost:
    """A host with one association and one command."""

    def __init__(
        self, port: int, exchange: Exchange, number: int, namespace: int, timeline: Timeline
    ) -> None:
        self._exchange = exchange
        self._timeline = timeline
        self.seen = Seen()
        is_read = exchange.class_name == READ_CLASS
        data = b"" if is_read else b"d" * BLOCK_BYTES
        size = DATA_BYTES if is_read else BLOCK_BYTES
        self._data = nvme.io_command(
            nvme.READ if is_read else nvme.WRITE,
            COMMAND_ID,
            namespace,
            number * DATA_BLOCKS,
            size // BLOCK_BYTES,
            size,
            data,
        )
        self._admin, controller = self._open_queue(port, 0, nvme.DYNAMIC_CONTROLLER_ID)
        self._admin.send(nvme.property_set(2, nvme.CC, nvme.CC_ENABLE))
        assert nvme.parse_completion(self._admin.next()).status == nvme.OK
        self._io, _ = self._open_queue(port, 1, controller)

    @staticmethod
    def _open_queue(port: int, number: int, controller: int) -> tuple[PduStream, int]:
        stream = PduStream(socket.create_connection((stand_ins.HOST, port), 10.0), nvme.FROM_CONTROLLER)
        stream.send(nvme.ic_request())
        nvme.parse_ic(stream.next())
        stream.send(nvme.connect(1, number, 16, 0, controller, b"host", SUBSYSTEM, "nqn.host"))
        completion = nvme.parse_completion(stream.next())
        assert completion.status == nvme.OK
        return stream, completion.result

    def run(self) -> None:
        with self._admin.connection, self._io.connection:
            if send_request(self._io.connection, self._data, self._exchange, self._timeline, self.seen):
                self._read()

    def _read(self) -> None:
        seen = self.seen
        received_before = self._io.received_bytes
        try:
            while (pdu := self._io.next()).kind != nvme.RESPONSE_CAPSULE:
                pass
        except (OSError, EOFError) as error:
            seen.how = type(error).__name__
            seen.has_partial_response = self._io.received_bytes > received_before
        else:
            completion = nvme.parse_completion(pdu)
            seen.how = "whole"
            is_refused = completion.status == nvme.NAMESPACE_NOT_READY and not completion.no_retry
            seen.outcome = "refused" if is_refused else "failed"
            if completion.status == nvme.OK:
                seen.outcome = "served"
        seen.ended_at = self._timeline.now()
        if self._io.received_bytes > received_before:
            seen.first_byte_at = seen.ended_at


class NvmeSite(ShutdownSite):
    """A site with one namespace for each shard; `deadlines` in seconds are those of the classes."""

    def __init__(
        self,
        folder: Path,
        plan: Plan,
        exchanges: list[Exchange],
        deadlines: dict[str, float],
        shard_count: int = 0,
    ) -> None:
        self._deadlines = deadlines
        super().__init__(folder, plan, exchanges, shard_count)

    def make_target(self, exchange: Exchange) -> NvmeTarget:
        return NvmeTarget(exchange, self.timeline)

    def make_client(self, number: int, exchange: Exchange) -> NvmeHost:
        return NvmeHost(self.port, exchange, number, number % self.shard_count + 1, self.timeline)

    def write_config(self, listen: str) -> tuple[dict[str, str], tuple[str, ...]]:
        """Write an operator's file: the example with other namespaces and deadlines."""
        text = (stand_ins.ROOT / "deploy" / "operator.toml").read_text()
        settings = text[text.index("[settings]") :].replace("shards = 2", f"shards = {self.shard_count}")
        for name, old in (
            (READ_CLASS, ("200000000", "1200000000")),
            (WRITE_CLASS, ("300000000", "2500000000")),
        ):
            deadline = self._deadlines[name]
            old_lines = f'name = "{name}"\naim-ns = {old[0]}\ngive-up-ns = {old[1]}'
            assert old_lines in settings
            new_lines = f'name = "{name}"\naim-ns = {0.8e9 * deadline:.0f}\ngive-up-ns = {1e9 * deadline:.0f}'
            settings = settings.replace(old_lines, new_lines)
        lines = [
            'name = "n1"',
            f'listen = "{listen}"',
            f'discovery = "{stand_ins.HOST}:{self.discovery.server.port}"',
            "[limits]\nsockets = 2048\nmemory_mb = 192",
            f'[nvme]\nsubsystem = "{SUBSYSTEM}"',
        ]
        for shard in range(self.shard_count):
            lines += [
                f"[[nvme.namespaces]]\nid = {shard + 1}\nshard = {shard}\nhosts = 1",
                f'volume = "{0x3B4D60000 + shard:x}"\nplan = "standard"',
                f"blocks = 1048576\nblock_size = {BLOCK_BYTES}\nblocks_per_unit = 4",
            ]
        for opcode, name in (("read", READ_CLASS), ("write", WRITE_CLASS)):
            deadline_ms = round(1000 * self._deadlines[name])
            lines.append(f'[nvme.opcodes.{opcode}]\nclass = "{name}"\ndeadline_ms = {deadline_ms}')
        path = self.folder / "operator.toml"
        path.write_text("\n".join((*lines, settings)))
        return {}, (str(path),)
