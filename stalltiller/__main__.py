"""The real initiator: `python -m stalltiller`, or `python -m stalltiller FILE` with an operator's file."""

from __future__ import annotations

import os
import sys

from stalltiller.daemon.config import from_operator, from_platform
from stalltiller.daemon.serve import start

COMMANDS = ("serve", "check", "init-voter", "fleet")


def main() -> int:
    """Serve by the environment or by an operator's file, or do what a command says."""
    if len(sys.argv) > 1 and sys.argv[1] in COMMANDS:
        from stalltiller.daemon import cli  # the platform's start does without it

        return cli.main(prog_name="stalltiller")
    if len(sys.argv) > 2:
        print(f"usage: python -m stalltiller [OPERATOR_FILE | {' | '.join(COMMANDS)} ...]", file=sys.stderr)
        return 2
    if len(sys.argv) == 2:
        return start(lambda: from_operator(sys.argv[1]))
    # The environment stays as it was at the start, so a new address of discovery can stand in the file alone.
    later = {name: value for name, value in os.environ.items() if name != "PROXY_DISCOVERY"}
    return start(lambda: from_platform(os.environ), lambda: from_platform(later))


if __name__ == "__main__":
    sys.exit(main())
