"""Ports for the programs that tests start, which no other process of a test run on this machine gets."""

import fcntl
import os
import socket
import tempfile
from itertools import count
from pathlib import Path

HOST = "127.0.0.1"
LOCK_FILE = Path(tempfile.gettempdir()) / "plumpick-test-ports"
FIRST_PORT = 10_000
# The kernel gives out ports from this number on to connections and sockets that do not ask for one.
EPHEMERAL_PORTS = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
PORTS = range(FIRST_PORT, max(FIRST_PORT + 1000, EPHEMERAL_PORTS))
PORTS_PER_PROCESS = 97  # distance between the first ports that processes with consecutive ids try

_lock_descriptor = -1
_tried = count()


def free_port():
    """Returns a TCP and UDP port that is free now. It is reserved until this process ends: other processes
    that call this function do not get it, and the kernel gives it to no socket that does not ask for it.

    A port that is only looked for, and not reserved, may be taken by another run before the program under
    test listens on it."""
    start = os.getpid() * PORTS_PER_PROCESS
    for _ in PORTS:
        port = PORTS[(start + next(_tried)) % len(PORTS)]
        if _lock(port) and _is_free(port):
            return port
    raise OSError("no port is free")


def _lock(port):
    """Lock the byte of the lock file that stands for the port; returns whether no other process holds it."""
    global _lock_descriptor
    if _lock_descriptor < 0:
        _lock_descriptor = os.open(LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o666)
    try:
        fcntl.lockf(_lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_free(port):
    try:
        with socket.create_server((HOST, port)), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            datagrams.bind((HOST, port))
    except OSError:
        return False
    return True
