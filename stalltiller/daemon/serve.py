"""Runs one initiator from its configuration to its end: signal handlers, log and exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable

from stalltiller.daemon.application import Application
from stalltiller.daemon.config import Config, ConfigError
from stalltiller.daemon.log import MAX_LINES_PER_SECOND, MAX_TRACE_LINES_PER_SECOND, JsonLog

TRACE_VARIABLE = "STALLTILLER_TRACE"  # set to 1: each step of each request is a line of the log
EXIT_OK = 0
EXIT_USAGE = 2  # bad arguments or configuration, or an address that can't be listened on


async def serve(config: Config, read_config_again: Callable[[], Config]) -> None:
    """Run until SIGTERM or SIGINT; SIGHUP has the configuration read again."""
    loop = asyncio.get_running_loop()
    is_tracing = os.environ.get(TRACE_VARIABLE) == "1"
    log = JsonLog(
        config.name,
        max_lines_per_second=MAX_TRACE_LINES_PER_SECOND if is_tracing else MAX_LINES_PER_SECOND,
    )
    log.make_nonblocking()

    def log_loop_error(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        """Log what asyncio would print, such as a failed accept when descriptors run out."""
        log("loop_error", message=context.get("message"), error=repr(context.get("exception")))

    loop.set_exception_handler(log_loop_error)
    application = Application(config, log, loop, is_tracing)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, application.stop.set)
    loop.add_signal_handler(signal.SIGHUP, application.reload, read_config_again)
    await application.run()


def start(read_config: Callable[[], Config], read_config_again: Callable[[], Config] | None = None) -> int:
    """Serve until a signal ends it; returns the exit code.  What prevents a start is printed as one line."""
    try:
        asyncio.run(serve(read_config(), read_config_again or read_config))
    except (ConfigError, OSError) as error:  # OSError: the address to listen on is in use or not ours
        print(f"stalltiller: {error}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_OK
