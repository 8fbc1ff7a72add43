"""The real initiator: `python -m stalltiller`."""

from __future__ import annotations

import asyncio
import os
import sys

from stalltiller.program.app import App
from stalltiller.program.config import Config, ConfigError, from_platform
from stalltiller.program.log import JsonLog


async def serve(config: Config, log: JsonLog) -> None:
    await App(config, log, asyncio.get_running_loop()).run()


def main() -> int:
    """Serve; a bad configuration ends with one plain line."""
    try:
        config = from_platform(os.environ)
        asyncio.run(serve(config, JsonLog(config.name)))
    except ConfigError as error:
        print(f"stalltiller: {error}", file=sys.stderr)
        return 2
    except OSError as error:  # the address to listen on is taken or not ours
        print(f"stalltiller: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
