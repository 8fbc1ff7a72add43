"""A host aborts a write whose data it never sent; 2.5 s later its other queue's commands are lost."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.stand_ins_2 import (
    Case,
    Discovery,
    NvmeHost,
    NvmeTarget,
    free_port,
    main,
    operator_file,
    to_toml,
)
from stalltiller.protocol import nvme

DEADLINE_SECONDS = 1.2  # of a read, in deploy/operator.toml
ANSWER_SLACK_SECONDS = 0.5  # an answer up to half a second late only earns nothing
WRITE_BYTES = 16 * 1024  # more than a capsule carries: the initiator asks for the data
READS_OUTSTANDING = 3
READ_SECONDS = 0.06  # what the target takes
PLAY_SECONDS = 6.0
ABORTED_QUEUE, BUSY_QUEUE = 1, 2


class AbortCase(Case):
    """One initiator, one target and one host with two I/O queues over NVMe/TCP."""

    async def play(self) -> str | None:
        """Read on one queue all the time; on the other one, abort a write before its data is sent."""
        table = operator_file("operator.toml")
        subsystem = table["nvme"]["subsystem"]
        self.target = NvmeTarget(self.record, "s-0", (subsystem,))
        self.target.delay = READ_SECONDS
        discovery = Discovery(self.record)
        await self.opened(self.target)
        await self.opened(discovery)
        discovery.put("s-0", self.target.port, group=0)
        port = free_port()
        path = self.folder / "operator.toml"
        table |= {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}"}
        path.write_text(to_toml(table))
        initiator = self.initiator("initiator", str(path))
        await initiator.start()
        await self.wait_for("the initiator has its list", initiator.has_list)
        self.host = NvmeHost(self.record, port, subsystem, io_queues=2)
        await self.host.connect()
        self.next_command = 100
        self.lost: list[int] = []
        self.answered = 0
        loop = asyncio.get_running_loop()
        self.ends_at = loop.time() + PLAY_SECONDS
        try:
            readers = [loop.create_task(self._read_on()) for _ in range(READS_OUTSTANDING)]
            await asyncio.sleep(0.5)
            if self.trouble:
                await self._abort_write()
            await asyncio.gather(*readers)
        finally:
            await self.host.close()
        self.record(f"{self.answered} reads were answered, {len(self.lost)} were lost")
        if not self.answered:
            raise AssertionError("no read was answered")
        if self.lost:
            return f"the initiator ended the association; it never answered the reads {self.lost}, which ran"
        return None

    async def _abort_write(self) -> None:
        write = self.host.submit(1, 1 << 16, size=WRITE_BYTES, queue=ABORTED_QUEUE)
        await asyncio.sleep(0.2)
        await self.host.abort(1, ABORTED_QUEUE)
        completion, _ = await write
        assert completion.status == nvme.ABORTED, "the write was not aborted"

    async def _read_on(self) -> None:
        """Read block after block; a read that ran and got no completion at all is lost."""
        while asyncio.get_running_loop().time() < self.ends_at and not self.host.is_closed:
            number = self.next_command
            self.next_command += 1
            answer = self.host.submit(number, number, queue=BUSY_QUEUE)
            try:
                async with asyncio.timeout(DEADLINE_SECONDS + ANSWER_SLACK_SECONDS):
                    await answer
                self.answered += 1
            except (EOFError, TimeoutError):
                if any(lba == number for _, _, _, lba in self.target.runs):
                    self.lost.append(number)


if __name__ == "__main__":
    main(AbortCase, Path(__file__).resolve().parent)
