"""The real initiator: `python -m stalltiller`, or `python -m stalltiller FILE` with an operator's file."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable

from stalltiller.program.app import App
from stalltiller.program.config import Config, ConfigError, from_operator, from_platform
from stalltiller.program.log import LINES_PER_S, TRACE_LINES_PER_S, JsonLog

TRACE = "STALLTILLER_TRACE"  # set to 1: each step of each request is a line of the log


async def serve(config: Config, reread: Callable[[], Config]) -> None:
    """Run until SIGTERM or SIGINT; SIGHUP has the configuration read anew."""
    loop = asyncio.get_running_loop()
    trace = os.environ.get(TRACE) == "1"
    log = JsonLog(config.name, lines_per_s=TRACE_LINES_PER_S if trace else LINES_PER_S)
    log.never_block()
    # What asyncio would print, such as a failed accept when descriptors run out, is an event like any other.
    loop.set_exception_handler(lambda _, context: log(
        "loop_error", message=context.get("message"), error=repr(context.get("exception"))))
    app = App(config, log, loop, trace)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, app.stop.set)
    loop.add_signal_handler(signal.SIGHUP, app.reload, reread)
    await app.run()


def main() -> int:
    """Serve; what can't be started ends with one plain line."""
    if len(sys.argv) > 2:
        print("usage: python -m stalltiller [OPERATOR_FILE]", file=sys.stderr)
        return 2
    # The environment stays as it was at the start, so a new address of discovery can stand in the file alone.
    later = {name: value for name, value in os.environ.items() if name != "PROXY_DISCOVERY"}
    try:
        if len(sys.argv) == 2:
            asyncio.run(serve(from_operator(sys.argv[1]), lambda: from_operator(sys.argv[1])))
        else:
            asyncio.run(serve(from_platform(os.environ), lambda: from_platform(later)))
    except (ConfigError, OSError) as error:  # OSError: the address to listen on is taken or not ours
        print(f"stalltiller: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
