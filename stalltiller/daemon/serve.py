"""Runs one initiator from start to exit: signal handlers, log and exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable

from stalltiller.daemon.application import Application
from stalltiller.daemon.config import Config, ConfigError
from stalltiller.daemon.log import MAX_LINES_PER_SECOND, MAX_TRACE_LINES_PER_SECOND, JsonLog

TRACE_VARIABLE = "STALLTILLER_TRACE"  # 1: log each step of each request
EXIT_OK = 0
EXIT_USAGE = 2  # invalid arguments or configuration, or an OSError such as an address in use


async def serve(config: Config, read_config_on_reload: Callable[[], Config]) -> None:
    """Run until SIGTERM or SIGINT; SIGHUP reloads the configuration."""
    loop = asyncio.get_running_loop()
    is_tracing = os.environ.get(TRACE_VARIABLE) == "1"
    log = JsonLog(
        config.name,
        max_lines_per_second=MAX_TRACE_LINES_PER_SECOND if is_tracing else MAX_LINES_PER_SECOND,
    )
    log.make_nonblocking()

    def log_loop_error(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        """Log errors that asyncio would print, such as a failed accept without free descriptors."""
        log("loop_error", message=context.get("message"), error=repr(context.get("exception")))

    loop.set_exception_handler(log_loop_error)
    application = Application(config, log, loop, is_tracing)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, application.terminate)
    loop.add_signal_handler(signal.SIGHUP, application.reload, read_config_on_reload)
    await application.run()


def start(
    read_config: Callable[[], Config], read_config_on_reload: Callable[[], Config] | None = None
) -> int:
    """Serve until a signal stops it; return the exit code.  An error is printed as one line."""
    try:
        asyncio.run(serve(read_config(), read_config_on_reload or read_config))
    except (ConfigError, OSError) as error:  # OSError: for example, the listening address is in use
        print(f"stalltiller: {error}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_OK
