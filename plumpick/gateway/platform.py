"""Access to the operating system: sockets, clocks, random numbers and files; replaced by a simulation.

Timers, connections and signals come from the running event loop instead. Methods raise OSError for system
errors where their docstrings say so."""

from __future__ import annotations

import ctypes
import fcntl
import gc
import os
import resource
import select
import socket
import sys
import termios
import time
from pathlib import Path
from typing import Any

from plumpick.gateway.clock import Clock
from plumpick.gateway.config import Config, load_config


def _polls(transport: Any, events: int) -> bool:
    """Whether poll(2) reports one of the `events` for the transport's socket at this moment. poll(2) reports
    errors and hang-ups whether or not they were asked for."""
    watched = select.poll()
    watched.register(transport.get_extra_info("socket").fileno(), events)
    return bool(watched.poll(0))


class Platform:
    """Access to the operating system of the machine on which the process runs."""

    def clock(self) -> Clock:
        """A new monotonic clock of Unix time."""
        return Clock()

    def create_datagram_socket(self) -> Any:
        """A new unbound UDP socket, which the event loop's `add_reader` accepts."""
        return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def create_listener(self, address: tuple[str, int], backlog: int) -> socket.socket | None:
        """A socket that listens for clients, whose backlog can be accepted before it is closed; None if the
        event loop is to create the socket itself. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(backlog)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        return sock

    @staticmethod
    def has_no_unread_input(transport: Any) -> bool:
        """Whether the connection has neither bytes nor an end of stream that the event loop has yet to
        read."""
        return not _polls(transport, select.POLLIN)

    @staticmethod
    def was_reset(transport: Any) -> bool:
        """Whether a connection that the event loop reported as ended was reset by the peer.

        If bytes and a reset arrive before the same poll, libuv reads the bytes and reports the hang-up as a
        normal end, without the read that would have returned the reset. This reads from the socket
        instead."""
        sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, 0, fileno=transport.get_extra_info("socket").fileno()
        )
        try:
            sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            sock.detach()  # the transport owns the descriptor
        return False

    @staticmethod
    def has_peer_closed(transport: Any) -> bool:
        """Whether the peer has closed the connection, even if received bytes are still unread."""
        return _polls(transport, select.POLLRDHUP)

    @staticmethod
    def unacknowledged_bytes(transport: Any) -> int:
        """The number of bytes written to the connection that the kernel still holds: those unsent, and those
        that the peer's machine has not acknowledged."""
        count = bytearray(4)
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, count)
        return int.from_bytes(count, sys.byteorder)

    def freeze_startup_objects(self) -> None:
        """Exempt the objects created during the start from garbage collection, since they live until exit."""
        gc.collect()
        gc.freeze()

    @staticmethod
    def resident_bytes() -> int:
        """The resident memory of this process. Raises OSError."""
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
        return pages * resource.getpagesize()

    @staticmethod
    def return_freed_memory() -> None:
        """Return the heap's free blocks to the system, where the C library has a call for it."""
        trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
        if trim is not None:
            trim(0)

    def boottime(self) -> float:
        """Milliseconds since boot, by a clock that also advances while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def unix_ms(self) -> float:
        """Wall-clock time in milliseconds since 1970; it jumps when the machine's clock is set."""
        return time.time() * 1000

    def on_participant_created(self, part: Any) -> None:
        """Called with this process's participant in leases and scheduled tasks; the real platform does
        nothing, a simulated one observes the participant."""

    def incarnation(self) -> int:
        """The incarnation of this process: a random 32-bit number that distinguishes it from other processes
        of the same gateway."""
        return int.from_bytes(os.urandom(4), "big")  # avoids importing `secrets` only for this number

    def lock_peer_address(self, address: tuple[str, int] | None) -> Any:
        """Lock a peer address so that one process of this machine at a time uses it. Returns an object whose
        `close` releases the lock, as does the exit of the process; None if another process holds it. The lock
        is a TCP socket that is bound to the address and does not listen."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if address is not None:
            try:
                sock.bind(address)
            except OSError:
                sock.close()
                return None
        return sock

    def reload_config(self) -> Config:
        """Read the configuration file again; raises ConfigError if it is invalid."""
        return load_config(os.environ)

    def operator_config_path(self) -> str:
        """The path of the operator's file, from $PLUMPICK_OPERATOR; empty if it is not set."""
        return os.environ.get("PLUMPICK_OPERATOR", "")
