"""Ports that tests reserve for the programs that they start."""

import socket
import subprocess
import sys
from itertools import count

import pytest
from support import ports
from support.processes import ROOT

# Prints the port that another process gets if the one given as its argument is the first that it tries.
TAKE_PORT = """
import sys
from support import ports
first = int(sys.argv[1])
ports.PORTS = range(first, first + 50)
ports.os.getpid = lambda: 0
print(ports.free_port())
"""


# Guards against a port that another run takes between its choice and the start of the program under test.
def test_reserved_port_is_given_to_no_other_process_and_to_no_outgoing_connection():
    port = ports.free_port()
    assert port < ports.EPHEMERAL_PORTS
    done = subprocess.run(
        [sys.executable, "-c", TAKE_PORT, str(port)],
        env={"PYTHONPATH": str(ROOT / "tests")},
        capture_output=True,
        text=True,
    )
    assert port < int(done.stdout) < port + 50, done.stderr


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_port_in_use_is_not_given(kind, monkeypatch):
    port = ports.free_port()
    with socket.socket(type=kind) as user:
        user.bind((ports.HOST, port))
        monkeypatch.setattr(ports, "PORTS", range(port, port + 50))
        monkeypatch.setattr(ports, "_tried", count())
        monkeypatch.setattr(ports.os, "getpid", lambda: 0)
        assert port < ports.free_port() < port + 50
