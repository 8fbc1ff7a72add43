"""The operators' command line: `stalltiller serve | check | init-voter | fleet ...`."""

from __future__ import annotations

import http.client
import sys
from typing import IO

import click
import orjson

from stalltiller.daemon.config import ConfigError
from stalltiller.daemon.operator_config import read_operator_config
from stalltiller.daemon.serve import EXIT_USAGE, start
from stalltiller.protocol.discovery import parse_address

ADMIN_CALL_TIMEOUT_SECONDS = 5.0  # an initiator responds to admin calls promptly, even under load
HTTP_OK = 200
MEMBER_COLUMNS = ("name", "state", "address", "zone", "life", "incarnation", "load")


class CommandError(click.ClickException):
    """A command failed: prints one line on standard error and exits like a failed start."""

    exit_code = EXIT_USAGE

    def show(self, file: IO[str] | None = None) -> None:
        """Print the error to `file`, or to standard error."""
        click.echo(f"stalltiller: {self.message}", file=file, err=True)


@click.group()
def main() -> None:
    """Storage initiator: serve requests, check a configuration file, inspect a fleet."""


@main.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Serve as configured in an operator's FILE until SIGTERM or SIGINT."""
    sys.exit(start(lambda: read_operator_config(file)))


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check an operator's FILE; print the first error, with its line if it violates the schema."""
    try:
        config = read_operator_config(file)
    except ConfigError as error:
        raise CommandError(str(error)) from error
    click.echo(
        f"{file}: valid, {config.name} listens on {config.listen[0]}:{config.listen[1]}"
        + (f" in fleet {config.fleet.fleet}" if config.fleet else "")
    )


@main.command("init-voter")
@click.argument("file", type=click.Path())
def init_voter(file: str) -> None:
    """Create the store of the voter named in an operator's FILE: only once, never after its disk was lost."""
    from stalltiller.leases.store import create_voter_store

    try:
        config = read_operator_config(file)
        if config.leases is None or config.name not in config.leases.voters:
            raise CommandError(f"{file}: {config.name} is not a voter")
        create_voter_store(config.leases.folder, config.name)
    except (ConfigError, OSError) as error:
        raise CommandError(str(error)) from error
    click.echo(f"created the voter store {config.leases.folder}")


@main.group()
@click.option("--admin", required=True, metavar="HOST:PORT", help="The admin address of any instance.")
@click.pass_context
def fleet(context: click.Context, admin: str) -> None:
    """Inspect a fleet through one of its instances, or make that instance leave."""
    try:
        context.obj = parse_address(admin)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--admin") from error


def _admin_call(address: tuple[str, int], method: str, path: str) -> bytes:
    """Make an administration call and return the response's body; raises CommandError."""
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=ADMIN_CALL_TIMEOUT_SECONDS)
    try:
        connection.request(method, path, headers={"Content-Length": "0"})
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise CommandError(f"{host}:{port}: {error}") from error
    finally:
        connection.close()
    if response.status != HTTP_OK:
        raise CommandError(
            f"{host}:{port}: HTTP status {response.status}; the instance may not be in a fleet"
        )
    return body


@fleet.command()
@click.pass_obj
def status(address: tuple[str, int]) -> None:
    """Show this instance's view of its fleet and its own state."""
    for name, value in orjson.loads(_admin_call(address, "GET", "/_fleet/status")).items():
        click.echo(f"{name:14} {value if not isinstance(value, dict) else orjson.dumps(value).decode()}")


@fleet.command()
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON.")
@click.pass_obj
def members(address: tuple[str, int], as_json: bool) -> None:
    """List the members that this instance knows."""
    body = _admin_call(address, "GET", "/_fleet/members")
    if as_json:
        click.echo(body)
        return
    rows = [list(MEMBER_COLUMNS)]
    rows += [[str(member[key]) for key in MEMBER_COLUMNS] for member in orjson.loads(body)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


@fleet.command()
@click.pass_obj
def leases(address: tuple[str, int]) -> None:
    """Show the leases of this instance and, if it is a voter, all leases that it knows."""
    lease_status = orjson.loads(_admin_call(address, "GET", "/_fleet/leases"))
    click.echo(orjson.dumps(lease_status, option=orjson.OPT_INDENT_2).decode())


@fleet.command()
@click.pass_obj
def leave(address: tuple[str, int]) -> None:
    """Make this instance leave its fleet; it continues to serve requests."""
    _admin_call(address, "PUT", "/_fleet/leave")
    click.echo("left")


if __name__ == "__main__":
    main()
