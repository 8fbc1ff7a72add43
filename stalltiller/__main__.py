"""The entry point: `python -m stalltiller`, or `python -m stalltiller FILE` with an operator's file."""

from __future__ import annotations

import os
import sys

from stalltiller.daemon.platform_config import read_platform_config
from stalltiller.daemon.serve import EXIT_USAGE, start

COMMANDS = ("serve", "check", "init-voter", "fleet")


def main() -> int:
    """Serve as the environment or an operator's file configures, or run a command; return the exit code."""
    if len(sys.argv) > 1 and sys.argv[1] in COMMANDS:
        from stalltiller.daemon import cli  # not imported on the platform

        return cli.main(prog_name="stalltiller")
    if len(sys.argv) > 2:
        print(f"usage: python -m stalltiller [OPERATOR_FILE | {' | '.join(COMMANDS)} ...]", file=sys.stderr)
        return EXIT_USAGE
    if len(sys.argv) == 2:
        from stalltiller.daemon.operator_config import read_operator_config

        return start(lambda: read_operator_config(sys.argv[1]))
    # The environment of a process cannot be changed, so a reload reads discovery's address from the file.
    reload_environment = {name: value for name, value in os.environ.items() if name != "PROXY_DISCOVERY"}
    return start(
        lambda: read_platform_config(os.environ),
        lambda: read_platform_config(reload_environment),
    )


if __name__ == "__main__":
    sys.exit(main())
