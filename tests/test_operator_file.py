"""The operator's file: what is wrong with it is named by its line."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from stalltiller.daemon import cli, config
from stalltiller.daemon.operator_config import read_operator_config
from stalltiller.daemon.schema import find_lines

DEPLOY = Path(__file__).parent.parent / "deploy"
FLEET, OPERATOR = ((DEPLOY / name).read_text() for name in ("fleet.toml", "operator.toml"))


def line_of(text: str, part: str) -> int:
    return text[: text.index(part)].count("\n") + 1


@pytest.mark.parametrize(
    ("text", "old", "new", "path"),
    [
        (FLEET, "probe_every_s = 0.5", "probe_evry_s = 0.5", "fleet.probe_evry_s"),  # a typo
        (FLEET, "probe_every_s = 0.5", "probe_every_s = 0", "fleet.probe_every_s"),
        (FLEET, 'seeds = ["127.0.0.1:7947"]', 'seeds = ["nowhere"]', "fleet.seeds.0"),
        (FLEET, "share = true", 'share = "yes"', "fleet.share"),
        (FLEET, "sockets = 1024", "sockets = -1", "limits.sockets"),
        (FLEET, "balancers = 1", "balancers = 0", "settings.balancers"),
        (FLEET, "aim-ns = 300000000", "aim-ns = 0", "settings.classes.1.aim-ns"),
        (OPERATOR, "[collectd]", "[colectd]", "colectd"),
        (OPERATOR, "blocks = 1048576", "blocks = 0", "nvme.namespaces.0.blocks"),
        (OPERATOR, "deadline_ms = 2500", 'deadline_ms = "x"', "nvme.opcodes.write.deadline_ms"),
        (OPERATOR, "shard = 1\n", "", "nvme.namespaces.1"),
    ],
)
def test_a_bad_file_is_refused_with_the_line_named(text, old, new, path, tmp_path):
    file = tmp_path / "operator.toml"
    file.write_text(text.replace(old, new, 1))
    found = file.read_text()
    line = line_of(found, new) if new else find_lines(found)["nvme", "namespaces", 1]
    done = CliRunner().invoke(cli.main, ["check", str(file)])
    assert done.exit_code == 2 and done.output.startswith(f"stalltiller: {file}:{line}: {path}: ")
    with pytest.raises(config.ConfigError):
        read_operator_config(str(file))


@pytest.mark.parametrize("name", ["fleet.toml", "operator.toml"])
def test_the_files_of_this_repository_are_good(name):
    done = CliRunner().invoke(cli.main, ["check", str(DEPLOY / name)])
    assert (done.exit_code, "good" in done.output) == (0, True)


def test_a_fleet_that_can_not_be_asked_is_one_plain_line():
    done = CliRunner().invoke(cli.main, ["fleet", "--admin", "127.0.0.1:1", "members"])
    assert done.exit_code == 2 and done.output.count("\n") == 1
    assert CliRunner().invoke(cli.main, ["fleet", "--admin", "nowhere", "members"]).exit_code == 2
