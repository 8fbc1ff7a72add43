"""The second wire: NVMe over TCP, as a controller for clients (hosts) and as a host for targets.

A client's association is its admin queue and its I/O queues; when one of them is lost, the client is gone.
Towards targets each channel of the pool is an association of its own with one I/O queue and one command at
a time, so that giving an attempt up, which closes its association, disturbs no other.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import os
from collections.abc import Callable
from dataclasses import dataclass

from stalltiller import interface as api
from stalltiller.fronts.carrier import PooledCarrier
from stalltiller.protocol import nvme
from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import Attempt, Ending, Incoming
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection
from stalltiller.transport.listener import Listener

MAX_IO_QUEUES = 8  # of one association
MAX_HELD = 32 * 1024 * 1024  # bytes of data, of all commands together; past it commands are refused
MAX_COMMANDS = 4096  # of all clients together; past it, too
HELLO_LIMIT = 5.0  # s that a connection may take until its Connect
KEEP_ALIVE = 10.0  # s that targets are told; it is sent in half the time
KEEP_ALIVE_GRACE = 1.0  # s past a client's own keep alive time
ENABLE_POLL = 0.01  # s between looks at whether a target's controller is ready


@dataclass(slots=True, frozen=True)
class Namespace:
    """What the operator's file says of a namespace."""

    volume: int
    plan: int
    shard: int
    hosts: int
    blocks: int
    block_size: int
    blocks_per_unit: float


@dataclass(slots=True, frozen=True)
class Mapping:
    """How commands become requests: namespaces by id, and for an opcode its class and deadline."""

    subsystem: str
    namespaces: dict[int, Namespace]
    opcodes: dict[int, tuple[int, float]]


@dataclass(slots=True, frozen=True)
class Payload:
    """A command on its way to a target; `size` is what a read brings back."""

    opcode: int
    nsid: int
    lba: int
    blocks: int
    data: bytes
    size: int


# --- Clients --------------------------------------------------------------------------------------
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

    def served(self, answer: bytes) -> None:
        if answer:
            self.queue.write(nvme.data_pdu(nvme.C2H_DATA, self.command.cid, 0, 0, answer))
        self.complete()

    def refused(self, retry_after: float) -> None:
        """Retryable, with the delay nearest above the advice; nothing of the command was done."""
        self.complete(nvme.NOT_READY, delay=self.queue.front.delay_index(retry_after))

    def failed(self) -> None:
        """A write may have run: the host must not repeat it on its own."""
        self.complete(nvme.INTERNAL, no_retry=self.write)

    def complete(self, status: int = nvme.OK, delay: int = 0, no_retry: bool = False) -> None:
        self.forget()
        self.queue.complete(nvme.Completion(self.command.cid, status, 0, delay, no_retry))

    def forget(self) -> None:
        if self.queue.commands.pop(self.command.cid, None) is not None:
            self.queue.front.held -= self.size
        if self.stall is not None:
            self.stall.cancel()

    def gone(self) -> None:
        """The client has given the command up; what it was asked to send may still come."""
        self.forget()
        if self.stall is not None and self.number is None:
            self.queue.orphans[self.command.cid] = self.size - len(self.data)
        if self.number is not None:
            self.queue.front.engine.gone(self.number)


class Association:
    """A client's controller: its queues, its properties and its keep alive time."""

    def __init__(self, front: NvmeFront, number: int, keep_alive: float) -> None:
        self.front, self.number, self.keep_alive = front, number, keep_alive
        self.queues: dict[int, HostQueue] = {}
        self.enabled = self.shut = False
        self.heard_at = front.loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._check()

    def busy(self) -> bool:
        return any(queue.commands for queue in self.queues.values())

    def end(self) -> None:
        """The association is over: every queue of it goes, and the client of every command."""
        if self._timer is not None:
            self._timer.cancel()
        self.front.associations.pop(self.number, None)
        queues, self.queues = self.queues, {}
        for queue in queues.values():
            for command in list(queue.commands.values()):
                command.gone()
            queue.close()

    def _check(self) -> None:
        if not self.keep_alive:
            return
        quiet = self.front.loop.time() - self.heard_at
        if quiet > self.keep_alive + KEEP_ALIVE_GRACE:
            self.front.log("keep_alive_expired", association=self.number)
            self.end()
        else:
            self._timer = self.front.loop.call_later(self.keep_alive + KEEP_ALIVE_GRACE - quiet + 0.01,
                                                     self._check)


class HostQueue(Connection):
    """One of a client's connections: a queue of its association once Connect has named it."""

    def __init__(self, front: NvmeFront, listener: Listener) -> None:
        super().__init__(front.buffers)
        self.front, self._listener = front, listener
        self._reader = nvme.PduReader(nvme.FROM_HOST)
        self._greeted = False
        self._hello: asyncio.TimerHandle | None = None
        self._head = 0
        self.association: Association | None = None
        self.number = self.entries = 0
        self.commands: dict[int, IoCommand] = {}
        self.orphans: dict[int, int] = {}  # bytes still to come for aborted writes, by command id

    # --- Connection ---
    def opened(self) -> None:
        self._hello = self.front.loop.call_later(HELLO_LIMIT, self.abort)
        self._listener.arrived(self)

    def ended(self, error: Exception | None) -> None:
        self._hello.cancel()
        self._listener.left(self)
        if self.association is not None:
            self.association.end()

    def close_if_idle(self) -> bool:
        """Only at the end: a host's idle queue is in use."""
        if not self.front.stopping or (self.association is not None and self.association.busy()):
            return False
        self.close()
        return True

    def turn_away(self) -> None:
        self.abort()

    def received(self, data: memoryview) -> int:
        try:
            used, found = self._reader.feed(data)
            if found is not None:
                self._take(found)
        except nvme.PduError as error:
            self._terminate(error)
            return len(data)
        return used

    def overflow(self) -> None:
        self.abort()  # can't be: headers are shorter than a buffer, and data is taken as it comes

    def complete(self, done: nvme.Completion) -> None:
        self._head = (self._head + 1) % max(1, self.entries)
        self.write(nvme.completion(done, self.number, self._head))

    def _terminate(self, error: nvme.PduError) -> None:
        """Say why, and end this association alone."""
        self.front.engine.counts["bad_pdus"] += 1
        self.front.log("bad_pdu", error=str(error), status=error.status)
        self.write(nvme.term(nvme.C2H_TERM, error))
        self.close()
        if self.association is not None:
            self.association.end()

    # --- PDUs ---
    def _take(self, found: nvme.Pdu) -> None:
        if self.association is not None:
            self.association.heard_at = self.front.loop.time()
        if found.kind == nvme.H2C_TERM:
            self.front.log("host_terminated", status=nvme.parse_term(found)[0])
            self.close()
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
            if (association is None or not association.enabled or number > MAX_IO_QUEUES
                    or number in association.queues or not 2 <= entries <= nvme.IO_ENTRIES):
                return nvme.BAD_CONNECT, 0
        self._hello.cancel()
        self.association, self.number, self.entries = association, number, entries
        association.queues[number] = self
        self.complete(nvme.Completion(command.cid, result=association.number))
        return nvme.OK, 0

    def _admin(self, command: nvme.Command) -> tuple[int | None, int]:
        """Status and result of an admin command; a status of None: it is completed already."""
        association = self.association
        if command.opcode == nvme.FABRICS and command.nsid == nvme.PROPERTY_GET:
            ready = nvme.CSTS_READY * association.enabled | nvme.CSTS_SHUT * association.shut
            values = {nvme.CAP: nvme.capabilities(), nvme.VS: nvme.VERSION, nvme.CSTS: ready,
                      nvme.CC: 0x460000 | association.enabled}
            value = values.get(command.u32(44))
            return (nvme.INVALID_FIELD, 0) if value is None else (nvme.OK, value)
        if command.opcode == nvme.FABRICS and command.nsid == nvme.PROPERTY_SET:
            if command.u32(44) != nvme.CC:
                return nvme.INVALID_FIELD, 0
            value = command.u64(48)
            association.enabled = bool(value & nvme.CC_ENABLE)
            association.shut = bool(value & nvme.CC_SHUTDOWN)
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
                return nvme.identify_controller(self.association.number, self.front.name,
                                                self.front.mapping.subsystem, self.front.delays,
                                                max(spaces, default=0))
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
        if self.front.held + io.size > MAX_HELD or self.front.engine.open >= MAX_COMMANDS:
            self.complete(nvme.Completion(command.cid, nvme.NOT_READY, delay=3))
            return
        self.commands[command.cid] = io
        self.front.held += io.size
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


class NvmeFront:
    """Clients over NVMe/TCP."""

    def __init__(self, loop: asyncio.AbstractEventLoop, engine: Engine, buffers: BufferPool,
                 settings: api.Settings, name: str, mapping: Mapping, log: Callable[..., None]) -> None:
        self.loop, self.engine, self.buffers, self.log = loop, engine, buffers, log
        self.name, self.mapping = name, mapping
        self.stopping = False
        self.held = 0  # bytes of data of the commands under way
        self.associations: dict[int, Association] = {}
        self._numbers = itertools.cycle(range(1, 0xFFF0))
        longest = max(1, int(settings.max_advice * 10)) if settings.may_advise else 1
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
        payload = Payload(command.opcode, command.nsid, command.lba, command.blocks, bytes(io.data),
                          0 if io.write else io.size)
        io.number = self.engine.take(Incoming(
            cls, space.plan, space.volume, max(1.0, math.ceil(command.blocks / space.blocks_per_unit)),
            space.hosts, (command.nsid << 44 | command.lba & (1 << 44) - 1) & (1 << 64) - 1, space.shard,
            io.write, False, max(0.0, deadline - (self.loop.time() - io.came_at)), payload, io))


# --- Targets --------------------------------------------------------------------------------------
class TargetQueue(Connection):
    """One queue to a target, with one command out at a time."""

    def __init__(self, buffers: BufferPool, number: int) -> None:
        super().__init__(buffers)
        self._reader = nvme.PduReader(nvme.FROM_CONTROLLER)
        self._cids = itertools.cycle(range(1, 0x8000))
        self._number = number
        self._done: Callable[[nvme.Completion | None, bytes], None] | None = None
        self._cid = 0
        self._out, self._in = b"", bytearray()  # data still to send, and received
        self._size = 0
        self._max_data = nvme.MAX_DATA
        self._greeting: asyncio.Future[None] | None = None
        self.error: nvme.PduError | None = None
        self.on_end: Callable[[], None] | None = None

    @property
    def busy(self) -> bool:
        return self._done is not None

    async def greet(self) -> None:
        self._greeting = asyncio.get_running_loop().create_future()
        self.write(nvme.ic_request())
        await self._greeting

    async def ask(self, encode: Callable[[int], bytes], size: int = 0) -> tuple[nvme.Completion, bytes]:
        """Run a command of the handshake; one that fails is a ConnectionError."""
        answer = asyncio.get_running_loop().create_future()
        self.run(encode, lambda done, data: answer.done() or answer.set_result((done, data)), size=size)
        done, data = await answer
        if done is None or done.status:
            raise ConnectionError("the target refused the association")
        return done, data

    def run(self, encode: Callable[[int], bytes],
            done: Callable[[nvme.Completion | None, bytes], None], data: bytes = b"", size: int = 0) -> None:
        """Send a command; `done` is called once, with None if the queue is lost.

        `data` goes when the target asks for it, `size` bytes are to come back.
        """
        self._cid = next(self._cids)
        self._done, self._out, self._in, self._size = done, data, bytearray(), size
        self.write(encode(self._cid))

    def received(self, data: memoryview) -> int:
        try:
            used, found = self._reader.feed(data)
            if found is not None:
                self._take(found)
        except nvme.PduError as error:
            self.error = error
            self.write(nvme.term(nvme.H2C_TERM, error))
            self.close()
            return len(data)
        return used

    def eof_received(self) -> bool:
        self.abort()
        return False

    def ended(self, error: Exception | None) -> None:
        if self._greeting is not None and not self._greeting.done():
            self._greeting.set_exception(ConnectionResetError("the target closed the queue"))
        self._finish(None)
        if self.on_end is not None:
            self.on_end()

    def _take(self, found: nvme.Pdu) -> None:
        if found.kind == nvme.C2H_TERM:
            self.abort()
        elif found.kind == nvme.IC_RESP:
            if self._greeting is None or self._greeting.done():
                raise nvme.PduError("ICResp not asked for", nvme.BAD_SEQUENCE)
            self._max_data = min(nvme.MAX_DATA, max(nvme.PAGE, nvme.parse_ic(found)))
            self._greeting.set_result(None)
        elif found.kind == nvme.RESPONSE:
            done = nvme.parse_completion(found)
            self._mine(done.cid)
            self._finish(done)
        else:
            cid, tag, offset, length = nvme.parse_data(found)
            self._mine(cid)
            if found.kind == nvme.R2T:
                self._send_data(tag, offset, length)
                return
            if offset != len(self._in) or offset + length > self._size:
                raise nvme.PduError("data out of range", nvme.OUT_OF_RANGE, 8)
            self._in += found.data
            if found.flags & nvme.SUCCESS:
                self._finish(nvme.Completion(cid))

    def _mine(self, cid: int) -> None:
        if self._done is None or cid != self._cid:
            raise nvme.PduError("a command that is not out", nvme.BAD_SEQUENCE)

    def _send_data(self, tag: int, offset: int, length: int) -> None:
        end = offset + length
        if not length or end > len(self._out):
            raise nvme.PduError("data asked for is out of range", nvme.OUT_OF_RANGE, 12)
        for at in range(offset, end, self._max_data):
            part = self._out[at:min(end, at + self._max_data)]
            flags = nvme.LAST if at + len(part) == end else 0
            self.write(nvme.data_pdu(nvme.H2C_DATA, self._cid, tag, at, part, flags))

    def _finish(self, completion: nvme.Completion | None) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(completion, bytes(self._in))


class TargetAssociation:
    """A pool's channel: an association with a target, its admin queue and one I/O queue."""

    def __init__(self, carrier: NvmeCarrier, admin: TargetQueue, io: TargetQueue, capsule: int) -> None:
        self._carrier, self._admin, self._io, self._capsule = carrier, admin, io, capsule
        self._attempt: Attempt | None = None
        admin.on_end = io.on_end = self.close
        self._beat = carrier.loop.call_later(KEEP_ALIVE / 2, self._keep_alive)

    @property
    def closing(self) -> bool:
        return self._admin.closing or self._io.closing

    def carry(self, attempt: Attempt) -> None:
        self._attempt = attempt
        p: Payload = attempt.payload
        size, inside = len(p.data) or p.size, p.data if len(p.data) <= self._capsule else b""
        self._io.run(lambda cid: nvme.io_command(p.opcode, cid, p.nsid, p.lba, p.blocks, size, inside),
                     self._done, p.data, p.size)

    def give_up(self) -> bool:
        """Any byte of a capsule sent may have made a target run it, whatever of its data has followed."""
        self._attempt = None
        self.close()
        return True

    def close(self) -> None:
        self._beat.cancel()
        self._admin.abort()
        self._io.abort()

    def _done(self, completion: nvme.Completion | None, data: bytes) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if completion is None:
            status = api.Status.RESET
        elif completion.status == nvme.OK and len(data) == attempt.payload.size:
            status = api.Status.OK
        elif completion.status == nvme.NOT_READY and not completion.no_retry:
            status = api.Status.FULL
        else:
            status = api.Status.ERROR
        if self._io.error is not None:
            status = api.Status.ERROR
            self._carrier.complain(attempt, str(self._io.error))
        if completion is not None and not self.closing:
            self._carrier.pool.release(attempt, self)
        else:
            attempt.wire = None
            self.close()
        self._carrier.engine.ended(attempt, Ending(status, data if status is api.Status.OK else None))

    def _keep_alive(self) -> None:
        if self._admin.busy:  # the last one is not answered: the target is gone without a word
            self.close()
        elif not self.closing:
            self._admin.run(lambda cid: nvme.command(nvme.KEEP_ALIVE, cid), lambda done, data: None)
            self._beat = self._carrier.loop.call_later(KEEP_ALIVE / 2, self._keep_alive)


class NvmeCarrier(PooledCarrier):
    """Carries attempts to targets over NVMe/TCP."""

    def __init__(self, loop: asyncio.AbstractEventLoop, engine: Engine, buffers: BufferPool,
                 connect_timeout: float, idle_limit: float, log: Callable[..., None], name: str,
                 mapping: Mapping) -> None:
        super().__init__(loop, engine, buffers, connect_timeout, idle_limit, log)
        self._name, self._mapping = f"nqn.2014-08.org.nvmexpress:stalltiller:{name}", mapping
        self._id = os.urandom(16)  # an association's identity, not a decision

    async def connect(self, host: str, port: int) -> TargetAssociation:
        queues: list[TargetQueue] = []
        try:
            admin = await self._queue(host, port, 0, queues)
            done, _ = await admin.ask(lambda cid: self._connect_command(cid, 0, nvme.DYNAMIC))
            controller = done.result & 0xFFFF
            await admin.ask(lambda cid: nvme.property_set(cid, nvme.CC, 0x460000 | nvme.CC_ENABLE))
            while not (await admin.ask(lambda cid: nvme.property_get(cid, nvme.CSTS)))[0].result & 1:
                await asyncio.sleep(ENABLE_POLL)
            _, page = await admin.ask(lambda cid: nvme.command(
                nvme.IDENTIFY, cid, rest=bytes([nvme.CNS_CONTROLLER]), length=nvme.IDENTIFY_SIZE),
                size=nvme.IDENTIFY_SIZE)
            io = await self._queue(host, port, 1, queues)
            await io.ask(lambda cid: self._connect_command(cid, 1, controller))
        except BaseException:
            for queue in queues:
                queue.abort()
            raise
        return TargetAssociation(self, admin, io, nvme.capsule_limit(page))

    async def _queue(self, host: str, port: int, number: int, queues: list[TargetQueue]) -> TargetQueue:
        _, queue = await self.loop.create_connection(lambda: TargetQueue(self.buffers, number), host, port)
        queues.append(queue)
        await queue.greet()
        return queue

    def _connect_command(self, cid: int, queue: int, controller: int) -> bytes:
        return nvme.connect(cid, queue, 8, 0 if queue else KEEP_ALIVE, controller, self._id,
                            self._mapping.subsystem, self._name)
