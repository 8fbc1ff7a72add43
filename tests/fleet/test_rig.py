"""Tests of the rig itself."""

from __future__ import annotations

import contextlib
import socket

import pytest

from tests.fleet.rig import reserve_ports


def test_a_reserved_port_is_for_the_servers_of_its_rig_alone():
    """Guards against a server of another test at the port of a member that has not started yet."""
    with contextlib.ExitStack() as stack:
        reserved = [stack.enter_context(port) for port in reserve_ports(4)]
        addresses = {port.getsockname() for port in reserved}
        assert len(addresses) == 4
        for address in addresses:
            with socket.socket() as other_rig, pytest.raises(OSError, match="in use"):
                other_rig.bind(address)
            for _ in range(2):  # the member starts, and starts again
                with socket.create_server(address) as server, socket.socket(type=socket.SOCK_DGRAM) as udp:
                    udp.bind(address)
                    client = socket.create_connection(address)
                    accepted, _ = server.accept()
                    accepted.close()
                    client.close()
