"""A host names another host's controller in a Connect and goes; the other host's commands are lost."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.stand_ins_2 import (
    Case,
    CaseError,
    Discovery,
    NvmeHost,
    NvmeTarget,
    free_port,
    main,
    operator_file,
    to_toml,
)

DEADLINE_SECONDS = 1.2  # of a read, in deploy/operator.toml
ANSWER_SLACK_SECONDS = 0.5  # an answer up to half a second late only earns nothing
READS_OUTSTANDING = 3
READ_SECONDS = 0.06  # what the target takes
PLAY_SECONDS = 3.0


class ForeignConnectCase(Case):
    """One initiator, one target, a usual host and a bad one over NVMe/TCP."""

    async def play(self) -> str | None:
        """Read through the usual host all the time, while the bad one connects and goes."""
        table = operator_file("operator.toml")
        self.subsystem = table["nvme"]["subsystem"]
        self.target = NvmeTarget(self.record, "s-0", (self.subsystem,))
        self.target.delay = READ_SECONDS
        discovery = Discovery(self.record)
        await self.opened(self.target)
        await self.opened(discovery)
        discovery.put("s-0", self.target.port, group=0)
        self.port = free_port()
        path = self.folder / "operator.toml"
        table |= {"listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}"}
        path.write_text(to_toml(table))
        initiator = self.initiator("initiator", str(path))
        await initiator.start()
        await self.wait_for("the initiator has its list", initiator.has_list)
        self.host = NvmeHost(self.record, self.port, self.subsystem)
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
                await self._connect_foreign()
            await asyncio.gather(*readers)
        finally:
            await self.host.close()
        self.record(f"{self.answered} reads were answered, {len(self.lost)} were lost")
        if not self.answered:
            raise CaseError("no read was answered")
        if self.lost:
            return f"the usual host's association was ended; its reads {self.lost}, which ran, got no answer"
        return None

    async def _connect_foreign(self) -> None:
        """Connect an I/O queue under the usual host's controller, as another host, and close it."""
        self.record(f"bad host: Connect of queue 5 of controller {self.host.controller_id}")
        bad = NvmeHost(self.record, self.port, self.subsystem, host="another")
        try:
            await bad.connect_queue(5, self.host.controller_id)
            self.record("bad host: accepted")
        except (CaseError, EOFError, OSError) as error:
            self.record(f"bad host: turned away: {error}")
        await asyncio.sleep(0.2)
        self.record("bad host: close")
        await bad.close()

    async def _read_on(self) -> None:
        """Read block after block; a read that ran and got no completion at all is lost."""
        while asyncio.get_running_loop().time() < self.ends_at and not self.host.is_closed:
            number = self.next_command
            self.next_command += 1
            answer = self.host.submit(number, number)
            try:
                async with asyncio.timeout(DEADLINE_SECONDS + ANSWER_SLACK_SECONDS):
                    await answer
                self.answered += 1
            except (EOFError, TimeoutError):
                if any(lba == number for _, _, _, lba in self.target.runs):
                    self.lost.append(number)


if __name__ == "__main__":
    main(ForeignConnectCase, Path(__file__).resolve().parent)
