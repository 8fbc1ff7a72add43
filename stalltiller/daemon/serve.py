"""Runs one initiator from its configuration to its end."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable

from stalltiller.daemon.application import Application
from stalltiller.daemon.config import Config, ConfigError
from stalltiller.daemon.log import LINES_PER_S, TRACE_LINES_PER_S, JsonLog

TRACE = "STALLTILLER_TRACE"  # set to 1: each step of each request is a line of the log


async def serve(config: Config, reread: Callable[[], Config]) -> None:
    """Run until SIGTERM or SIGINT; SIGHUP has the configuration read anew."""
    loop = asyncio.get_running_loop()
    trace = os.environ.get(TRACE) == "1"
    log = JsonLog(config.name, lines_per_s=TRACE_LINES_PER_S if trace else LINES_PER_S)
    log.never_block()
    # What asyncio would print, such as a failed accept when descriptors run out, is an event like any other.
    loop.set_exception_handler(
        lambda _, context: log(
            "loop_error", message=context.get("message"), error=repr(context.get("exception"))
        )
    )
    app = Application(config, log, loop, trace)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, app.stop.set)
    loop.add_signal_handler(signal.SIGHUP, app.reload, reread)
    await app.run()


def start(read: Callable[[], Config], reread: Callable[[], Config] | None = None) -> int:
    """Serve; what can't be started ends with one plain line."""
    try:
        asyncio.run(serve(read(), reread or read))
    except (ConfigError, OSError) as error:  # OSError: the address to listen on is taken or not ours
        print(f"stalltiller: {error}", file=sys.stderr)
        return 2
    return 0
