"""The operators' command line: `stalltiller serve | check | fleet ...`."""

from __future__ import annotations

import http.client
import sys
from typing import IO

import click
import orjson

from stalltiller.daemon.config import ConfigError, from_operator
from stalltiller.daemon.serve import start
from stalltiller.protocol.discovery import parse_address

CALL_TIMEOUT = 5.0  # s


class Failed(click.ClickException):
    """One plain line on standard error and exit code 2, as for whatever can't be started."""

    exit_code = 2

    def show(self, file: IO[str] | None = None) -> None:
        click.echo(f"stalltiller: {self.message}", err=True)


@click.group()
def main() -> None:
    """A storage initiator: serve requests, check a file, look at the fleet."""


@main.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Serve by an operator's FILE until SIGTERM."""
    sys.exit(start(lambda: from_operator(file)))


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Say whether an operator's FILE would start; the first thing wrong is named with its line."""
    try:
        config = from_operator(file)
    except ConfigError as error:
        raise Failed(str(error)) from error
    click.echo(
        f"{file}: good, {config.name} listens on {config.listen[0]}:{config.listen[1]}"
        + (f" in fleet {config.fleet.fleet}" if config.fleet else "")
    )


@main.command("init-voter")
@click.argument("file", type=click.Path())
def init_voter(file: str) -> None:
    """Make the store of the voter that an operator's FILE names: once in its life, not after a lost disk."""
    from stalltiller.leases.store import create_voter_store

    try:
        config = from_operator(file)
        if config.leases is None or config.name not in config.leases.voters:
            raise Failed(f"{file}: {config.name} is no voter")
        create_voter_store(config.leases.folder, config.name)
    except (ConfigError, OSError) as error:
        raise Failed(str(error)) from error
    click.echo(f"made {config.leases.folder}")


@main.group()
@click.option("--admin", required=True, metavar="HOST:PORT", help="The second address of any instance.")
@click.pass_context
def fleet(context: click.Context, admin: str) -> None:
    """Look at a fleet through one of its instances."""
    try:
        context.obj = parse_address(admin)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--admin") from error


def _call(address: tuple[str, int], method: str, path: str) -> bytes:
    """One call at the second address; its body.  Whatever does not end in a yes ends the program."""
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT)
    try:
        connection.request(method, path, headers={"Content-Length": "0"})
        answer = connection.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise Failed(f"{address[0]}:{address[1]}: {error}") from error
    finally:
        connection.close()
    if answer.status != 200:
        raise Failed(f"{address[0]}:{address[1]}: status {answer.status}: is it in a fleet?")
    return body


@fleet.command()
@click.pass_obj
def status(address: tuple[str, int]) -> None:
    """How this instance sees its fleet and itself."""
    for name, value in orjson.loads(_call(address, "GET", "/_fleet/status")).items():
        click.echo(f"{name:14} {value if not isinstance(value, dict) else orjson.dumps(value).decode()}")


@fleet.command()
@click.option("--json", "plain", is_flag=True, help="As one line of JSON.")
@click.pass_obj
def members(address: tuple[str, int], plain: bool) -> None:
    """All members that this instance knows."""
    body = _call(address, "GET", "/_fleet/members")
    if plain:
        click.echo(body)
        return
    lines = [["name", "state", "address", "zone", "life", "incarnation", "load"]]
    lines += [[str(member[key]) for key in lines[0]] for member in orjson.loads(body)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


@fleet.command()
@click.pass_obj
def leases(address: tuple[str, int]) -> None:
    """What this instance holds and, if it votes, the leases that it knows."""
    found = orjson.loads(_call(address, "GET", "/_fleet/leases"))
    click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())


@fleet.command()
@click.pass_obj
def leave(address: tuple[str, int]) -> None:
    """Have this instance leave its fleet; it serves on."""
    _call(address, "PUT", "/_fleet/leave")
    click.echo("left")


if __name__ == "__main__":
    main()
