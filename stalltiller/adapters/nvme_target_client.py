"""The NVMe/TCP client side: the initiator acts as a host and sends attempts to targets over associations.

Each channel of the connection pool is a separate association with one I/O queue and one command in flight.
Abandoning an attempt closes its association and thus affects no other attempt.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from stalltiller.adapters.nvme_mapping import Mapping, Payload
from stalltiller.adapters.nvme_target_queue import TargetQueue
from stalltiller.adapters.pooled_target_client import PooledTargetClient
from stalltiller.protocol import nvme
from stalltiller.routing.engine import Engine
from stalltiller.routing.exchange_end import TransferProgress
from stalltiller.routing.ports import Attempt, AttemptResult
from stalltiller.scheduling import AttemptStatus
from stalltiller.transport.buffers import BufferPool

KEEP_ALIVE_TIMEOUT_SECONDS = 10.0  # sent to targets in Connect
KEEP_ALIVE_INTERVAL_SECONDS = KEEP_ALIVE_TIMEOUT_SECONDS / 2
READY_POLL_SECONDS = 0.01  # interval between reads of CSTS until the controller is ready
ADMIN_QUEUE_ID = 0
IO_QUEUE_ID = 1
QUEUE_ENTRIES = 8
CONTROLLER_ID_MASK = 0xFFFF  # CNTLID in the result of Connect
CC_ENTRY_SIZES = 0x460000  # CC: queue entries of 64 and 16 bytes, the only sizes over fabrics
CONNECTIONS_PER_ASSOCIATION = 2
HOST_NQN_PREFIX = "nqn.2014-08.org.nvmexpress:stalltiller:"


class TargetAssociation:
    """A channel of the connection pool: an association with a target, its admin queue and one I/O queue.

    `capsule_limit` is the number of data bytes that the target accepts in a capsule.
    """

    def __init__(
        self,
        target_client: NvmeTargetClient,
        admin_queue: TargetQueue,
        io_queue: TargetQueue,
        capsule_limit: int,
    ) -> None:
        self._target_client = target_client
        self._admin_queue = admin_queue
        self._io_queue = io_queue
        self._capsule_limit = capsule_limit
        self._attempt: Attempt | None = None
        self._read_size = 0  # data bytes expected for it
        admin_queue.on_connection_lost = self.close
        io_queue.on_connection_lost = self.close
        self._keep_alive_timer = self._start_keep_alive_timer()

    @property
    def is_closing(self) -> bool:
        """Whether one of the two connections is closing or closed."""
        return self._admin_queue.is_closing or self._io_queue.is_closing

    @property
    def is_streaming(self) -> bool:
        """Always False: the data of a command is passed on with its completion."""
        return False

    def is_clean(self) -> bool:
        """Return whether the association is open and nothing unexpected was received on the I/O queue."""
        # The admin queue may hold the response to a Keep Alive.
        return not self._admin_queue.is_closing and self._io_queue.is_clean()

    def start_exchange(self, attempt: Attempt) -> None:
        """Send an attempt's command; write data goes into the capsule if the target accepts it there."""
        self._attempt = attempt
        payload: Payload = attempt.payload
        self._read_size = payload.read_size
        size = len(payload.data) or payload.read_size
        capsule_data = payload.data if len(payload.data) <= self._capsule_limit else b""

        def encode(cid: int) -> bytes:
            """Return the capsule for a command identifier."""
            return nvme.io_command(
                payload.opcode, cid, payload.nsid, payload.lba, payload.blocks, size, capsule_data
            )

        self._io_queue.run(encode, self._on_completion, payload.data, payload.read_size)

    def is_fully_sent(self) -> bool:
        """Return True: a target may start to execute a command once it has received the capsule."""
        return True

    def progress(self) -> TransferProgress:
        """Return how far the transfer of the attempt has come."""
        return self._io_queue.progress()

    def pass_on(self) -> bool:
        """Return False: the data of a command is passed on with its completion."""
        return False

    def abandon(self) -> bool:
        """Abandon the attempt and return True: it may have been executed.

        A target may execute a command once bytes of its capsule were sent, even if its data is incomplete.
        """
        self._attempt = None
        self.close()
        return True

    def close(self) -> None:
        """Abort both connections."""
        self._keep_alive_timer.cancel()
        self._admin_queue.abort()
        self._io_queue.abort()

    def _on_completion(self, completion: nvme.Completion | None, data: bytes) -> None:
        attempt = self._attempt
        self._attempt = None
        if attempt is None:
            return
        status = _attempt_status(completion, len(data) == self._read_size)
        if self._io_queue.error is not None:
            status = AttemptStatus.ERROR
            self._target_client.report_failed_response(attempt, str(self._io_queue.error))
        self._target_client.pool.record_use(attempt, status is AttemptStatus.RESET)
        if completion is not None and not self.is_closing:
            self._target_client.pool.release(attempt, self)
        else:
            attempt.channel = None
            self.close()
        result_data = data if status is AttemptStatus.OK else None
        self._target_client.engine.attempt_finished(attempt, AttemptResult(status, result_data))

    # --- Keep alive ---
    def _start_keep_alive_timer(self) -> asyncio.TimerHandle:
        return self._target_client.loop.call_later(KEEP_ALIVE_INTERVAL_SECONDS, self._send_keep_alive)

    def _send_keep_alive(self) -> None:
        """Send a Keep Alive; without a response to the previous one the target is gone, or busy.

        An attempt in flight has its own time: the association is closed only while it is idle.
        """
        if self.is_closing:
            return
        if not self._admin_queue.is_busy:
            self._admin_queue.run(_encode_keep_alive, _ignore_completion)
        elif self._attempt is None:
            self.close()
            return
        self._keep_alive_timer = self._start_keep_alive_timer()


def _attempt_status(completion: nvme.Completion | None, has_all_data: bool) -> AttemptStatus:
    """Return the attempt status of a command; `completion` is None if the queue was lost."""
    if completion is None:
        return AttemptStatus.RESET
    if completion.status == nvme.OK and has_all_data:
        return AttemptStatus.OK
    if completion.status == nvme.NAMESPACE_NOT_READY and not completion.no_retry:
        return AttemptStatus.REJECTED
    return AttemptStatus.ERROR


def _encode_keep_alive(cid: int) -> bytes:
    return nvme.command(nvme.KEEP_ALIVE, cid)


def _ignore_completion(_completion: nvme.Completion | None, _data: bytes) -> None:
    """Do nothing: any completion of a Keep Alive shows that the target responds."""


class NvmeTargetClient(PooledTargetClient):
    """Sends attempts to targets over NVMe/TCP.

    The arguments are those of `PooledTargetClient`, except that `max_connections` limits the connections, two
    per channel.  `name` is the initiator's name, a part of its NVMe qualified name.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        log: Callable[..., None],
        name: str,
        mapping: Mapping,
    ) -> None:
        max_channels = max_connections // CONNECTIONS_PER_ASSOCIATION
        super().__init__(loop, engine, buffers, connect_timeout, idle_timeout, max_channels, log)
        self._host_nqn = HOST_NQN_PREFIX + name
        self._mapping = mapping
        self._host_id = os.urandom(16)  # sent in Connect; the initiator's behaviour does not depend on it

    def update_mapping(self, mapping: Mapping) -> None:
        """Apply a new mapping to further associations."""
        self._mapping = mapping

    async def connect(self, host: str, port: int) -> TargetAssociation:
        """Open an association with a target; raises OSError if the target can't be reached or rejects it."""
        queues: list[TargetQueue] = []
        try:
            return await self._connect(host, port, queues)
        except BaseException:
            for queue in queues:
                queue.abort()
            raise

    async def _connect(self, host: str, port: int, queues: list[TargetQueue]) -> TargetAssociation:
        """Open both queues, adding each to `queues` once it is connected, and enable the controller."""
        admin_queue = await self._open_queue(host, port, queues)
        completion, _ = await admin_queue.execute(
            lambda cid: self._connect_command(cid, ADMIN_QUEUE_ID, nvme.DYNAMIC_CONTROLLER_ID)
        )
        controller_id = completion.result & CONTROLLER_ID_MASK
        await admin_queue.execute(
            lambda cid: nvme.property_set(cid, nvme.CC, CC_ENTRY_SIZES | nvme.CC_ENABLE)
        )
        while not await self._is_controller_ready(admin_queue):
            await asyncio.sleep(READY_POLL_SECONDS)
        _, page = await admin_queue.execute(
            lambda cid: nvme.command(
                nvme.IDENTIFY,
                cid,
                command_dwords=bytes([nvme.CNS_CONTROLLER]),
                length=nvme.IDENTIFY_DATA_BYTES,
            ),
            read_size=nvme.IDENTIFY_DATA_BYTES,
        )
        io_queue = await self._open_queue(host, port, queues)
        await io_queue.execute(lambda cid: self._connect_command(cid, IO_QUEUE_ID, controller_id))
        return TargetAssociation(self, admin_queue, io_queue, nvme.capsule_limit(page))

    async def _is_controller_ready(self, admin_queue: TargetQueue) -> bool:
        completion, _ = await admin_queue.execute(lambda cid: nvme.property_get(cid, nvme.CSTS))
        return bool(completion.result & nvme.CSTS_READY)

    async def _open_queue(self, host: str, port: int, queues: list[TargetQueue]) -> TargetQueue:
        _, queue = await self.loop.create_connection(lambda: TargetQueue(self.buffers), host, port)
        queues.append(queue)
        await queue.initialize()
        return queue

    def _connect_command(self, cid: int, queue_id: int, controller_id: int) -> bytes:
        keep_alive = KEEP_ALIVE_TIMEOUT_SECONDS if queue_id == ADMIN_QUEUE_ID else 0
        return nvme.connect(
            cid,
            queue_id,
            QUEUE_ENTRIES,
            keep_alive,
            controller_id,
            self._host_id,
            self._mapping.subsystem,
            self._host_nqn,
        )
