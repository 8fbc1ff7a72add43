"""The second wire towards clients: a controller of NVMe over TCP.

A client's association is its admin queue and its I/O queues; when one of them is lost, the client is gone.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable

from stalltiller.adapters.nvme_mapping import Mapping, Namespace, Payload
from stalltiller.protocol import nvme
from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import ClientRequest
from stalltiller.scheduling import Settings
from stalltiller.transport.buffers import BufferPool, MemoryBudget
from stalltiller.transport.connection import Connection
from stalltiller.transport.listener import Listener

MAX_IO_QUEUES = 8  # of one association
MAX_COMMANDS = 4096  # of all clients together; past it, too
UNREAD_LIMIT = 10.0  # s that a host may leave completions unread
END_LOOK = 0.05  # s between looks whether a host has left that is not read from
KEEP_ALIVE_GRACE = 1.0  # s past a client's own keep alive time


class IoCommand:
    """A client's Read or Write from its capsule to its completion."""

    def __init__(self, queue: HostQueue, command: nvme.Command, space: Namespace, now: float) -> None:
        self.queue, self.command, self.space, self.came_at = queue, command, space, now
        self.size = command.blocks * space.block_size
        self.data = bytearray()
        self.number: int | None = None  # the engine's
        self.stall: asyncio.TimerHandle | None = None

    @property
    def write(self) -> bool:
        return self.command.opcode == nvme.WRITE

    def complete(self, answer: bytes) -> None:
        if answer:
            self.queue.write(nvme.data_pdu(nvme.C2H_DATA, self.command.cid, 0, 0, answer))
        self.send_completion()

    def reject(self, retry_after: float) -> None:
        """Retryable, with the delay nearest above the advice; nothing of the command was done."""
        self.send_completion(nvme.NOT_READY, delay=self.queue.front.delay_index(retry_after))

    def fail(self) -> None:
        """A write may have run: the host must not repeat it on its own."""
        self.send_completion(nvme.INTERNAL, no_retry=self.write)

    def is_disconnected(self) -> bool:
        return self.queue.is_peer_closed()

    def send_completion(self, status: int = nvme.OK, delay: int = 0, no_retry: bool = False) -> None:
        self.forget()
        self.queue.complete(nvme.Completion(self.command.cid, status, 0, delay, no_retry))

    def forget(self) -> None:
        if self.queue.commands.pop(self.command.cid, None) is not None:
            self.queue.front.held.adjust(-self.size)
        if self.stall is not None:
            self.stall.cancel()

    def gone(self) -> None:
        """The client has given the command up; what it was asked to send may still come."""
        self.forget()
        if self.stall is not None and self.number is None:
            self.queue.orphans[self.command.cid] = self.size - len(self.data)
        if self.number is not None:
            self.queue.front.engine.cancel(self.number)


class Association:
    """A client's controller: its queues, its properties and its keep alive time."""

    def __init__(self, front: NvmeController, number: int, keep_alive: float) -> None:
        self.front, self.number, self.keep_alive = front, number, keep_alive
        self.queues: dict[int, HostQueue] = {}
        self.enabled = self.shut = False
        self.heard_at = front.loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._check()

    def busy(self) -> bool:
        return any(queue.commands for queue in self.queues.values())

    def reset(self) -> None:
        """The host disables or shuts down the controller: its I/O queues go, the admin queue stays."""
        for number in [number for number in self.queues if number]:
            queue = self.queues.pop(number)
            queue.association = None
            queue.drop_commands()
            queue.close_gracefully()

    def end(self) -> None:
        """The association is over: every queue of it goes, and the client of every command."""
        if self._timer is not None:
            self._timer.cancel()
        self.front.associations.pop(self.number, None)
        queues, self.queues = self.queues, {}
        for queue in queues.values():
            queue.drop_commands()
            queue.close_gracefully()

    def _check(self) -> None:
        if not self.keep_alive:
            return
        quiet = self.front.loop.time() - self.heard_at
        if quiet > self.keep_alive + KEEP_ALIVE_GRACE:
            self.front.log("keep_alive_expired", association=self.number)
            self.end()
        else:
            self._timer = self.front.loop.call_later(
                self.keep_alive + KEEP_ALIVE_GRACE - quiet + 0.01, self._check
            )


class HostQueue(Connection):
    """One of a client's connections: a queue of its association once Connect has named it."""

    def __init__(self, front: NvmeController, listener: Listener) -> None:
        super().__init__(front.buffers)
        self.front, self._listener = front, listener
        self._reader = nvme.PduReader(nvme.FROM_HOST)
        self._greeted = False
        self._unread_bytes = 0
        self._head = 0
        self.association: Association | None = None
        self.number = self.entries = 0
        self.commands: dict[int, IoCommand] = {}
        self.orphans: dict[int, int] = {}  # bytes still to come for aborted writes, by command id

    # --- Connection ---
    def on_connected(self) -> None:
        self._listener.add(self)

    def on_disconnected(self, error: Exception | None) -> None:
        self._count_unread(0)
        self._listener.remove(self)
        if self.association is not None:
            self.association.end()

    def close_if_idle(self) -> bool:
        """Only at the end: a host's idle queue is in use."""
        if not self.front.stopping or (self.association is not None and self.association.busy()):
            return False
        self.close_gracefully()
        return True

    def close_gracefully(self) -> None:
        if not self.is_closing and not self.half_closed:
            self._listener.closing_gracefully(self)
            super().close_gracefully()

    def on_buffer_full(self) -> None:
        """Wait until its completions are read.  Guards against a host that leaves meanwhile: it is not seen
        to go by reading, and its commands would be sent on."""
        super().on_buffer_full()
        self._look_for_end()

    def _look_for_end(self) -> None:
        if self._paused and not self.is_closing:
            if self.is_peer_closed():
                self.abort()
            else:
                self.front.loop.call_later(END_LOOK, self._look_for_end)

    def abort_partial_responses(self) -> None: ...  # a command's end is told by its completion alone

    def on_request_timeout(self) -> None:
        self.abort()  # its Connect did not come in time

    def reject_requests(self) -> None:
        self.abort()

    def on_data(self, data: memoryview) -> int:
        if not self.flushed:
            return 0  # a host that does not read its completions gets no further commands taken
        try:
            used, found = self._reader.feed(data)
            self._listener.request_started(self)
            if found is not None:
                self._take(found)
        except nvme.PduError as error:
            self._terminate(error)
            return len(data)
        return used

    def pause_writing(self) -> None:
        super().pause_writing()
        self.abort_if_unread(UNREAD_LIMIT)

    def _count_unread(self, size: int) -> bool:
        change, self._unread_bytes = size - self._unread_bytes, size
        return self.front.unread.adjust(change)

    def resume_writing(self) -> None:
        self._count_unread(0)
        super().resume_writing()

    def drop_commands(self) -> None:
        for command in list(self.commands.values()):
            command.gone()

    def complete(self, done: nvme.Completion) -> None:
        self._head = (self._head + 1) % max(1, self.entries)
        self.write(nvme.completion(done, self.number, self._head))
        if (
            not self.flushed
            and not self.is_closing
            and not self._count_unread(self.transport.get_write_buffer_size())
        ):
            self.abort()

    def _terminate(self, error: nvme.PduError) -> None:
        """Say why, and end this association alone."""
        self.front.engine.counts["bad_pdus"] += 1
        self.front.log("bad_pdu", error=str(error), status=error.status)
        self.write(nvme.term(nvme.C2H_TERM, error))
        self.close_gracefully()
        if self.association is not None:
            self.association.end()

    # --- PDUs ---
    def _take(self, found: nvme.Pdu) -> None:
        if self.association is not None:
            self.association.heard_at = self.front.loop.time()
        if found.kind == nvme.H2C_TERM:
            self.front.log("host_terminated", status=nvme.parse_term(found)[0])
            self.close_gracefully()
        elif not self._greeted:
            if found.kind != nvme.IC_REQ:
                raise nvme.PduError("the first PDU must be ICReq", nvme.BAD_SEQUENCE)
            nvme.parse_ic(found)
            self._greeted = True
            self.write(nvme.ic_response())
        elif found.kind == nvme.CAPSULE:
            self._command(nvme.parse_command(found), found.data)
        elif found.kind == nvme.H2C_DATA:
            self._data(found)
        else:
            raise nvme.PduError("a second ICReq", nvme.BAD_SEQUENCE)

    def _command(self, command: nvme.Command, data: bytes) -> None:
        if len(data) > nvme.IN_CAPSULE:
            raise nvme.PduError("more data in a capsule than was offered", nvme.BAD_FIELD, 4)
        if self.association is None:
            status, result = self._connect(command, data)
            if status:
                self.complete(nvme.Completion(command.cid, status, result, no_retry=True))
            return
        if self.number:
            self._io(command, data)
            return
        status, result = self._admin(command)
        if status is not None:
            self.complete(nvme.Completion(command.cid, status, result, no_retry=status != nvme.OK))

    def _connect(self, command: nvme.Command, data: bytes) -> tuple[int, int]:
        if command.opcode != nvme.FABRICS or command.nsid != nvme.CONNECT:
            return nvme.SEQUENCE, 0
        if len(data) != nvme.CONNECT_SIZE or command.u16(40) != 0:
            return nvme.BAD_CONNECT, 0
        controller, subsystem, _ = nvme.parse_connect(data)
        number, entries = command.u16(42), command.u16(44) + 1
        if subsystem != self.front.mapping.subsystem:
            return nvme.BAD_CONNECT, 0
        if number == 0:
            if controller != nvme.DYNAMIC or not 2 <= entries <= nvme.ADMIN_ENTRIES:
                return nvme.BAD_CONNECT, 0
            association = self.front.associate(command.u32(48) / 1000)
            if association is None:
                return nvme.BUSY, 0
        else:
            association = self.front.associations.get(controller)
            if (
                association is None
                or not association.enabled
                or number > MAX_IO_QUEUES
                or number in association.queues
                or not 2 <= entries <= nvme.IO_ENTRIES
            ):
                return nvme.BAD_CONNECT, 0
        self._listener.request_finished(self)
        self.association, self.number, self.entries = association, number, entries
        association.queues[number] = self
        self.complete(nvme.Completion(command.cid, result=association.number))
        return nvme.OK, 0

    def _admin(self, command: nvme.Command) -> tuple[int | None, int]:
        """Status and result of an admin command; a status of None: it is completed already."""
        association = self.association
        if command.opcode == nvme.FABRICS and command.nsid == nvme.PROPERTY_GET:
            ready = nvme.CSTS_READY * association.enabled | nvme.CSTS_SHUT * association.shut
            values = {
                nvme.CAP: nvme.capabilities(),
                nvme.VS: nvme.VERSION,
                nvme.CSTS: ready,
                nvme.CC: 0x460000 | association.enabled,
            }
            value = values.get(command.u32(44))
            return (nvme.INVALID_FIELD, 0) if value is None else (nvme.OK, value)
        if command.opcode == nvme.FABRICS and command.nsid == nvme.PROPERTY_SET:
            if command.u32(44) != nvme.CC:
                return nvme.INVALID_FIELD, 0
            value = command.u64(48)
            association.enabled = bool(value & nvme.CC_ENABLE)
            association.shut = bool(value & nvme.CC_SHUTDOWN)
            if not association.enabled or association.shut:
                association.reset()
            return nvme.OK, 0
        if command.opcode == nvme.KEEP_ALIVE:
            return nvme.OK, 0
        if command.opcode == nvme.ABORT:
            return nvme.OK, self._abort(command.u16(40), command.u16(42))
        if command.opcode == nvme.IDENTIFY:
            page = self._identify(command)
            if page is None:
                return nvme.INVALID_FIELD, 0
            self.write(nvme.data_pdu(nvme.C2H_DATA, command.cid, 0, 0, page))
            return nvme.OK, 0
        return nvme.BAD_OPCODE, 0

    def _abort(self, queue: int, cid: int) -> int:
        """The result of an Abort: 0 if the command was found, else 1."""
        at = self.association.queues.get(queue)
        command = at.commands.get(cid) if at is not None else None
        if command is None:
            return 1
        command.gone()
        at.complete(nvme.Completion(cid, nvme.ABORTED, no_retry=command.write))
        return 0

    def _identify(self, command: nvme.Command) -> bytes | None:
        spaces = self.front.mapping.namespaces
        match command.u32(40) & 0xFF:
            case nvme.CNS_CONTROLLER:
                return nvme.identify_controller(
                    self.association.number,
                    self.front.name,
                    self.front.mapping.subsystem,
                    self.front.delays,
                    max(spaces, default=0),
                )
            case nvme.CNS_NAMESPACE if command.nsid in spaces:
                space = spaces[command.nsid]
                return nvme.identify_namespace(space.blocks, space.block_size)
            case nvme.CNS_ACTIVE:
                return nvme.active_namespaces(list(spaces), command.nsid)
        return None

    def _io(self, command: nvme.Command, data: bytes) -> None:
        if command.cid in self.commands or command.cid in self.orphans:
            raise nvme.PduError("command id in use", nvme.BAD_FIELD, 10)
        if len(self.commands) >= self.entries - 1:
            raise nvme.PduError("more commands than the queue holds", nvme.BAD_SEQUENCE)
        space = self.front.mapping.namespaces.get(command.nsid)
        if command.opcode not in self.front.mapping.opcodes:
            status = nvme.BAD_OPCODE
        elif space is None:
            status = nvme.BAD_NAMESPACE
        elif command.lba + command.blocks > space.blocks:
            status = nvme.OUT_OF_LBA
        elif command.length != command.blocks * space.block_size or command.length > nvme.MAX_DATA:
            status = nvme.INVALID_FIELD
        else:
            status = nvme.OK
        if status:
            self.complete(nvme.Completion(command.cid, status, no_retry=True))
            return
        io = IoCommand(self, command, space, self.front.loop.time())
        if not self.front.held.adjust(io.size) or self.front.engine.open_request_count >= MAX_COMMANDS:
            self.front.held.adjust(-io.size)
            self.complete(nvme.Completion(command.cid, nvme.NOT_READY, delay=3))
            return
        self.commands[command.cid] = io
        if io.write and command.sgl != nvme.IN_CAPSULE_SGL:
            io.stall = self.front.loop.call_later(self.front.mapping.opcodes[nvme.WRITE][1], self._stalled)
            self.write(nvme.r2t(command.cid, command.cid, 0, io.size))
        else:
            io.data += data
            self.front.take(io)

    def _data(self, found: nvme.Pdu) -> None:
        cid, tag, offset, length = nvme.parse_data(found)
        if cid in self.orphans:
            self.orphans[cid] -= length
            if self.orphans[cid] <= 0:
                del self.orphans[cid]
            return
        io = self.commands.get(cid)
        if io is None or tag != cid or io.stall is None or io.number is not None:
            raise nvme.PduError("data that was not asked for", nvme.BAD_SEQUENCE)
        if offset != len(io.data) or offset + length > io.size:
            raise nvme.PduError("data out of range", nvme.OUT_OF_RANGE, 8)
        io.data += found.data
        if len(io.data) == io.size:
            io.stall.cancel()
            self.front.take(io)
        elif found.flags & nvme.LAST:
            raise nvme.PduError("data ends early", nvme.OUT_OF_RANGE, 12)

    def _stalled(self) -> None:
        self.front.log("host_stalled", queue=self.number)
        self.association.end()


class NvmeController:
    """Clients over NVMe/TCP."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        settings: Settings,
        name: str,
        mapping: Mapping,
        log: Callable[..., None],
        memory: int,
    ) -> None:
        self.loop, self.engine, self.buffers, self.log = loop, engine, buffers, log
        self.name = name
        self.stopping = False
        self.held = MemoryBudget(memory)  # data of the commands under way; past it commands are refused
        self.unread = MemoryBudget(memory)  # what hosts leave unread; past it their connections end
        self.associations: dict[int, Association] = {}
        self._numbers = itertools.cycle(range(1, 0xFFF0))
        self.update_settings(settings, mapping)

    def update_settings(self, settings: Settings, mapping: Mapping) -> None:
        self.mapping = mapping
        longest = max(1, int(settings.max_retry_after * 10)) if settings.may_send_retry_after else 1
        self.delays = (1, max(1, longest // 2), longest)  # units of 100 ms

    def connection(self, listener: Listener) -> HostQueue:
        return HostQueue(self, listener)

    def associate(self, keep_alive: float) -> Association | None:
        if self.stopping or len(self.associations) >= 0xFF00:
            return None
        number = next(i for i in self._numbers if i not in self.associations)
        association = self.associations[number] = Association(self, number, keep_alive)
        return association

    def delay_index(self, retry_after: float) -> int:
        """The Command Retry Delay nearest above an advice, 3 at most."""
        return next((i for i, delay in enumerate(self.delays, 1) if delay / 10 >= retry_after), 3)

    def take(self, io: IoCommand) -> None:
        """Hand a command, whole now, to the engine; its deadline counts from its capsule."""
        command, space = io.command, io.space
        cls, deadline = self.mapping.opcodes[command.opcode]
        payload = Payload(
            command.opcode,
            command.nsid,
            command.lba,
            command.blocks,
            bytes(io.data),
            0 if io.write else io.size,
        )
        io.number = self.engine.submit(
            ClientRequest(
                cls,
                space.plan,
                space.volume,
                max(1.0, math.ceil(command.blocks / space.blocks_per_unit)),
                space.hosts,
                (command.nsid << 44 | command.lba & (1 << 44) - 1) & (1 << 64) - 1,
                space.shard,
                io.write,
                False,
                max(0.0, deadline - (self.loop.time() - io.came_at)),
                payload,
                io,
            )
        )
