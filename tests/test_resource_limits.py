"""How descriptors and memory are divided."""

from __future__ import annotations

import resource

import pytest

from stalltiller.daemon.resource_limits import ResourceLimits, divide_resources

MEBIBYTE = 1024 * 1024


@pytest.mark.parametrize(
    ("max_descriptors", "soft_limit", "memory_mebibytes", "expected"),
    [
        # 1,024 - 88 are left, 45% of them for targets; of 168 MiB 20%, 50% and 30%
        (1024, 4096, 192, ResourceLimits(515, 204, 421, 35232153, 88080384, 52848230)),
        (4096, 1024, 192, ResourceLimits(515, 204, 421, 35232153, 88080384, 52848230)),
        # few descriptors: the program itself may use 62.5% of them; little memory: 2 MiB each
        (96, 4096, 16, ResourceLimits(20, 19, 16, 2 * MEBIBYTE, 2 * MEBIBYTE, 2 * MEBIBYTE)),
        (20, 4096, 1, ResourceLimits(16, 4, 16, 2 * MEBIBYTE, 2 * MEBIBYTE, 2 * MEBIBYTE)),
    ],
)
def test_descriptors_and_memory_are_divided(
    max_descriptors, soft_limit, memory_mebibytes, expected, monkeypatch
):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (soft_limit, 4096))
    assert divide_resources(max_descriptors, memory_mebibytes * MEBIBYTE) == expected
