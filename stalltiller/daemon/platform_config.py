"""Reads the platform's configuration: environment variables and the JSON file named by PROXY_CONFIG."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

import orjson

from stalltiller.daemon.config import Config, ConfigError, parse_shared_config

STANDARD_DESCRIPTORS = 3  # standard input, output and error, which are not listening sockets


def read_json(path: str) -> dict:
    """Read a JSON object from a file; raises ConfigError."""
    try:
        data = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(str(error.strerror), path=path) from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"invalid JSON: {error}", path=path) from error
    if not isinstance(data, dict):
        raise ConfigError("not a JSON object", path=path)
    return data


def _parse_descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or int(text) < STANDARD_DESCRIPTORS:
        raise ConfigError(f"not a valid descriptor: {text!r}", key="PROXY_INHERITED_FD")
    return int(text)


def read_platform_config(environment: Mapping[str, str]) -> Config:
    """Read the file that PROXY_CONFIG names; the other PROXY_ variables override it.  Raises ConfigError.

    For a reload, omit PROXY_DISCOVERY so that discovery's address is read from the file.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    data = read_json(path)
    for key in ("name", "listen", "discovery", "admin"):
        data[key] = environment.get(f"PROXY_{key.upper()}") or data.get(key)
    inherited_descriptor = _parse_descriptor(environment.get("PROXY_INHERITED_FD"))
    return replace(
        parse_shared_config(data, path),
        handover_folder=environment.get("TMPDIR"),
        inherited_descriptor=inherited_descriptor,
    )
