"""Tests of the operator's file: errors name the line."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from stalltiller.daemon import cli, config
from stalltiller.daemon.operator_config import read_operator_config
from stalltiller.daemon.schema import find_lines

DEPLOY = Path(__file__).parent.parent / "deploy"
FLEET_TOML, OPERATOR_TOML = ((DEPLOY / name).read_text() for name in ("fleet.toml", "operator.toml"))


def line_number(text: str, part: str) -> int:
    return text[: text.index(part)].count("\n") + 1


@pytest.mark.parametrize(
    ("text", "old", "new", "key_path"),
    [
        (FLEET_TOML, "probe_every_s = 0.5", "probe_evry_s = 0.5", "fleet.probe_evry_s"),  # a typo
        (FLEET_TOML, "probe_every_s = 0.5", "probe_every_s = 0", "fleet.probe_every_s"),
        (FLEET_TOML, 'seeds = ["127.0.0.1:7947"]', 'seeds = ["nowhere"]', "fleet.seeds.0"),
        (FLEET_TOML, "share = true", 'share = "yes"', "fleet.share"),
        (FLEET_TOML, "sockets = 1024", "sockets = -1", "limits.sockets"),
        (FLEET_TOML, "balancers = 1", "balancers = 0", "settings.balancers"),
        (FLEET_TOML, "aim-ns = 300000000", "aim-ns = 0", "settings.classes.1.aim-ns"),
        (OPERATOR_TOML, "[collectd]", "[colectd]", "colectd"),
        (OPERATOR_TOML, "blocks = 1048576", "blocks = 0", "nvme.namespaces.0.blocks"),
        (OPERATOR_TOML, "deadline_ms = 2500", 'deadline_ms = "x"', "nvme.opcodes.write.deadline_ms"),
        (OPERATOR_TOML, "shard = 1\n", "", "nvme.namespaces.1"),
    ],
)
def test_an_invalid_file_is_rejected_with_the_line_of_the_error(text, old, new, key_path, tmp_path):
    file = tmp_path / "operator.toml"
    file.write_text(text.replace(old, new, 1))
    changed_text = file.read_text()
    line = line_number(changed_text, new) if new else find_lines(changed_text)["nvme", "namespaces", 1]
    result = CliRunner().invoke(cli.main, ["check", str(file)])
    assert result.exit_code == 2 and result.output.startswith(f"stalltiller: {file}:{line}: {key_path}: ")
    with pytest.raises(config.ConfigError) as caught:
        read_operator_config(str(file))
    assert (caught.value.path, caught.value.line, caught.value.key) == (str(file), line, key_path)


@pytest.mark.parametrize("name", ["fleet.toml", "operator.toml"])
def test_the_files_of_this_repository_are_valid(name):
    result = CliRunner().invoke(cli.main, ["check", str(DEPLOY / name)])
    assert (result.exit_code, ": valid, " in result.output) == (0, True)


def test_an_unreachable_admin_address_prints_one_line_and_exits_with_2():
    result = CliRunner().invoke(cli.main, ["fleet", "--admin", "127.0.0.1:1", "members"])
    assert result.exit_code == 2 and result.output.count("\n") == 1
    assert CliRunner().invoke(cli.main, ["fleet", "--admin", "nowhere", "members"]).exit_code == 2
