"""Tests of the helpers that start programs as processes."""

import socket
from pathlib import Path

from siskinhold_trial.processes import find_free_ports

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class TestFreePorts:
    def test_outgoing_connection_takes_none(self):
        """Guards against a program that can't listen on the port it was given, as an
        outgoing connection of another process has taken it in between."""
        first_outgoing = 32_768
        if PORT_RANGE.exists():
            first_outgoing = int(PORT_RANGE.read_text().split()[0])
        for _ in range(50):
            assert max(find_free_ports(4)) < first_outgoing

    def test_port_in_use_is_not_returned(self):
        """Guards against a port that another program listens on."""
        used = find_free_ports(1)[0]
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", used))
            for _ in range(40_000):
                assert used not in find_free_ports(1)

    def test_no_port_is_returned_twice(self):
        """Guards against two programs of a test that get the same port."""
        found = []
        for _ in range(100):
            found += find_free_ports(3)
        assert len(set(found)) == len(found)
