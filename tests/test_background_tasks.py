"""Tests of background tasks: failures are reported, and no task outlives its owner."""

from __future__ import annotations

import asyncio

from stalltiller.daemon.background_tasks import BackgroundTasks


def test_a_failed_task_is_reported_to_the_loop_and_the_others_continue():
    async def scenario():
        async def fail() -> None:
            raise ValueError("disk full")

        loop = asyncio.get_running_loop()
        reported = []
        loop.set_exception_handler(lambda _, context: reported.append(context["exception"]))
        async with BackgroundTasks(loop) as tasks:
            other = tasks.start(asyncio.sleep(60))
            failing = tasks.start(fail())
            await asyncio.wait([failing])
            await asyncio.sleep(0)
            assert [str(error) for error in reported] == ["disk full"]
            assert not other.done()

    asyncio.run(scenario())


def test_tasks_have_ended_when_their_owner_is_closed():
    async def scenario():
        cleaned_up = []

        async def run_until_cancelled() -> None:
            try:
                await asyncio.sleep(60)
            finally:
                cleaned_up.append(True)

        loop = asyncio.get_running_loop()
        reported = []
        loop.set_exception_handler(lambda _, context: reported.append(context))
        async with BackgroundTasks(loop) as tasks:
            task = tasks.start(run_until_cancelled())
            await asyncio.sleep(0)
        assert task.cancelled()
        assert (cleaned_up, reported) == ([True], [])

    asyncio.run(scenario())
