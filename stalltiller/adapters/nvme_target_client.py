"""The second wire towards targets: a host of NVMe over TCP.

Each channel of the pool is an association of its own with one I/O queue and one command at a time, so that
giving an attempt up, which closes its association, disturbs no other.
"""

from __future__ import annotations

import asyncio
import itertools
import os
from collections.abc import Callable

from stalltiller.adapters.nvme_mapping import Mapping, Payload
from stalltiller.adapters.pooled_target_client import RESPONSE_STALL_TIMEOUT_SECONDS, PooledTargetClient
from stalltiller.protocol import nvme
from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import Attempt, AttemptResult
from stalltiller.scheduling import AttemptStatus
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection

KEEP_ALIVE = 10.0  # s that targets are told; it is sent in half the time
ENABLE_POLL = 0.01  # s between looks at whether a target's controller is ready


class TargetQueue(Connection):
    """One queue to a target, with one command out at a time."""

    def __init__(self, buffers: BufferPool) -> None:
        super().__init__(buffers)
        self._reader = nvme.PduReader(nvme.FROM_CONTROLLER)
        self._cids = itertools.cycle(range(1, 0x8000))
        self._done: Callable[[nvme.Completion | None, bytes], None] | None = None
        self._cid = 0
        self._out, self._in = b"", bytearray()  # data still to send, and received
        self._size = 0
        self._moved_at = 0.0  # when bytes came last
        self._stall: asyncio.TimerHandle | None = None
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

    def run(
        self,
        encode: Callable[[int], bytes],
        done: Callable[[nvme.Completion | None, bytes], None],
        data: bytes = b"",
        size: int = 0,
    ) -> None:
        """Send a command; `done` is called once, with None if the queue is lost.

        `data` goes when the target asks for it, `size` bytes are to come back.
        """
        self._cid = next(self._cids)
        self._done, self._out, self._in, self._size = done, data, bytearray(), size
        self.write(encode(self._cid))

    def on_data(self, data: memoryview) -> int:
        try:
            used, found = self._reader.feed(data)
            if found is not None:
                self._take(found)
        except nvme.PduError as error:
            self.error = error
            self.write(nvme.term(nvme.H2C_TERM, error))
            self.close()
            return len(data)
        if self._in and self._done is not None:
            loop = asyncio.get_running_loop()
            self._moved_at = loop.time()
            if self._stall is None:
                self._stall = loop.call_later(RESPONSE_STALL_TIMEOUT_SECONDS, self._check_stall)
        return used

    def _check_stall(self) -> None:
        """Guard against answers that stop short on a connection that stays open."""
        self._stall = None
        if not self._in or self._done is None:
            return
        loop = asyncio.get_running_loop()
        left = self._moved_at + RESPONSE_STALL_TIMEOUT_SECONDS - loop.time()
        if left > 0:
            self._stall = loop.call_later(left, self._check_stall)
            return
        self.error = nvme.PduError("the answer stopped short")
        self.abort()

    def eof_received(self) -> bool:
        self.abort()
        return False

    def on_disconnected(self, error: Exception | None) -> None:
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
            part = self._out[at : min(end, at + self._max_data)]
            flags = nvme.LAST if at + len(part) == end else 0
            self.write(nvme.data_pdu(nvme.H2C_DATA, self._cid, tag, at, part, flags))

    def _finish(self, completion: nvme.Completion | None) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(completion, bytes(self._in))


class TargetAssociation:
    """A pool's channel: an association with a target, its admin queue and one I/O queue."""

    def __init__(self, carrier: NvmeTargetClient, admin: TargetQueue, io: TargetQueue, capsule: int) -> None:
        self._carrier, self._admin, self._io, self._capsule = carrier, admin, io, capsule
        self._attempt: Attempt | None = None
        admin.on_end = io.on_end = self.close
        self._beat = carrier.loop.call_later(KEEP_ALIVE / 2, self._keep_alive)

    @property
    def is_closing(self) -> bool:
        return self._admin.is_closing or self._io.is_closing

    def is_clean(self) -> bool:
        return (
            not self._admin.is_closing and self._io.is_clean()
        )  # the admin queue may have a keep alive answered

    def start_exchange(self, attempt: Attempt) -> None:
        self._attempt = attempt
        p: Payload = attempt.payload
        size, inside = len(p.data) or p.size, p.data if len(p.data) <= self._capsule else b""
        self._io.run(
            lambda cid: nvme.io_command(p.opcode, cid, p.nsid, p.lba, p.blocks, size, inside),
            self._done,
            p.data,
            p.size,
        )

    def is_fully_sent(self) -> bool:
        return True  # a capsule is enough to make a target begin

    def abandon(self) -> bool:
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
            status = AttemptStatus.RESET
        elif completion.status == nvme.OK and len(data) == attempt.payload.size:
            status = AttemptStatus.OK
        elif completion.status == nvme.NOT_READY and not completion.no_retry:
            status = AttemptStatus.REJECTED
        else:
            status = AttemptStatus.ERROR
        if self._io.error is not None:
            status = AttemptStatus.ERROR
            self._carrier.log_bad_response(attempt, str(self._io.error))
        self._carrier.pool.record_use(attempt, status is AttemptStatus.RESET)
        if completion is not None and not self.is_closing:
            self._carrier.pool.release(attempt, self)
        else:
            attempt.channel = None
            self.close()
        self._carrier.engine.attempt_finished(
            attempt, AttemptResult(status, data if status is AttemptStatus.OK else None)
        )

    def _keep_alive(self) -> None:
        if self._admin.busy:  # the last one is not answered: the target is gone without a word
            self.close()
        elif not self.is_closing:
            self._admin.run(lambda cid: nvme.command(nvme.KEEP_ALIVE, cid), lambda done, data: None)
            self._beat = self._carrier.loop.call_later(KEEP_ALIVE / 2, self._keep_alive)


class NvmeTargetClient(PooledTargetClient):
    """Carries attempts to targets over NVMe/TCP."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        connect_timeout: float,
        idle_limit: float,
        most: int,
        log: Callable[..., None],
        name: str,
        mapping: Mapping,
    ) -> None:
        # A channel is an association of two connections.
        super().__init__(loop, engine, buffers, connect_timeout, idle_limit, most // 2, log)
        self._name, self._mapping = f"nqn.2014-08.org.nvmexpress:stalltiller:{name}", mapping
        self._id = os.urandom(16)  # an association's identity, not a decision

    async def connect(self, host: str, port: int) -> TargetAssociation:
        queues: list[TargetQueue] = []
        try:
            admin = await self._queue(host, port, queues)
            done, _ = await admin.ask(lambda cid: self._connect_command(cid, 0, nvme.DYNAMIC))
            controller = done.result & 0xFFFF
            await admin.ask(lambda cid: nvme.property_set(cid, nvme.CC, 0x460000 | nvme.CC_ENABLE))
            while not (await admin.ask(lambda cid: nvme.property_get(cid, nvme.CSTS)))[0].result & 1:
                await asyncio.sleep(ENABLE_POLL)
            _, page = await admin.ask(
                lambda cid: nvme.command(
                    nvme.IDENTIFY, cid, rest=bytes([nvme.CNS_CONTROLLER]), length=nvme.IDENTIFY_SIZE
                ),
                size=nvme.IDENTIFY_SIZE,
            )
            io = await self._queue(host, port, queues)
            await io.ask(lambda cid: self._connect_command(cid, 1, controller))
        except BaseException:
            for queue in queues:
                queue.abort()
            raise
        return TargetAssociation(self, admin, io, nvme.capsule_limit(page))

    async def _queue(self, host: str, port: int, queues: list[TargetQueue]) -> TargetQueue:
        _, queue = await self.loop.create_connection(lambda: TargetQueue(self.buffers), host, port)
        queues.append(queue)
        await queue.greet()
        return queue

    def _connect_command(self, cid: int, queue: int, controller: int) -> bytes:
        return nvme.connect(
            cid,
            queue,
            8,
            0 if queue else KEEP_ALIVE,
            controller,
            self._id,
            self._mapping.subsystem,
            self._name,
        )
