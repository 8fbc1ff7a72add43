"""An initiator is killed soon after a planned restart; it spends the tokens of the clean shutdown twice."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.stand_ins_2 import (
    Case,
    CaseError,
    Discovery,
    HttpTarget,
    free_port,
    is_healthy,
    main,
    operator_file,
    send_request,
    to_toml,
)

VOLUME = 0xB1
UNITS = 2
ASKS_PER_SECOND = 60  # of UNITS each: a few times the limit, as in a surge
LIMIT_LATENESS_SECONDS = 0.15  # the slack grows by what the limit allows in that time
KILLED_AFTER_SECONDS = 1.2  # from when the restarted initiator is ready
DOWN_SECONDS = 2.0  # between the planned end and the next start


class TwiceSpentCase(Case):
    """One initiator with a recovery folder, one target, and one volume of the plan with a limit."""

    async def play(self) -> str | None:
        """Restart the initiator as planned, then kill it; the volume asks for more than its limit."""
        table = operator_file("fleet.toml")
        del table["fleet"]
        self.plan = next(plan for plan in table["settings"]["contracts"] if plan["name"] == "basic")
        self.target = HttpTarget(self.record, "s-0")
        discovery = Discovery(self.record)
        await self.opened(self.target)
        await self.opened(discovery)
        discovery.put("s-0", self.target.port, group=0)
        self.port = free_port()
        table |= {
            "listen": f"127.0.0.1:{self.port}",
            "admin": f"127.0.0.1:{free_port()}",
            "discovery": f"127.0.0.1:{discovery.port}",
        }
        table["recovery"]["folder"] = str(self.folder / "recovery")
        path = self.folder / "operator.toml"
        path.write_text(to_toml(table))
        self.numbers = itertools.count(1)
        first = self.initiator("first", str(path))
        await first.start()
        await self._wait_until_used()
        if await self._ask() != 200:
            raise CaseError("the first request was not served")
        await asyncio.sleep(3.0)
        await first.end(signal.SIGTERM)
        await asyncio.sleep(DOWN_SECONDS)
        second = self.initiator("second", str(path))
        await second.start()
        await self._wait_until_used()
        surge = asyncio.create_task(self._surge(2 * KILLED_AFTER_SECONDS + 1.0))
        await asyncio.sleep(KILLED_AFTER_SECONDS)
        if self.trouble:
            await second.end(signal.SIGKILL)
            third = self.initiator("third", str(path))
            await third.start()
            await self._wait_until_used()
        await surge
        return self._judge()

    async def _wait_until_used(self) -> None:
        async def is_used() -> bool:
            return await is_healthy(self.port)

        await self.wait_for("the initiator answers /healthz", is_used)

    async def _ask(self) -> int:
        number = next(self.numbers)
        return await send_request(
            self.record, self.port, f"r{number:06d}", volume=VOLUME, plan="basic", units=UNITS
        )

    async def _surge(self, seconds: float) -> None:
        asks = []
        for _ in range(int(seconds * ASKS_PER_SECOND)):
            asks.append(asyncio.create_task(self._ask()))
            await asyncio.sleep(1 / ASKS_PER_SECOND)
        await asyncio.gather(*asks)

    def _judge(self) -> str | None:
        """Count the volume's store: it may not fall below the slack."""
        cap, burst = self.plan["cap"], self.plan["burst"]
        lowest = -(self.plan["slack"] + LIMIT_LATENESS_SECONDS * cap)
        level, last, least = burst, self.target.runs[0][0], burst
        for moment, _ in self.target.runs:
            level = min(burst, level + cap * (moment - last)) - UNITS
            last, least = moment, min(least, level)
        self.record(
            f"{len(self.target.runs)} requests of {UNITS} units ran by {time.monotonic():.0f};"
            f" the store fell to {least:.1f}, it may fall to {lowest:.1f}"
        )
        if least < lowest:
            return f"the volume's store fell to {least:.1f} units; the limit allows {lowest:.1f}"
        return None


if __name__ == "__main__":
    main(TwiceSpentCase, Path(__file__).resolve().parent)
