"""What a gateway takes from the machine that it runs on, in one place, so that a simulation can replace it.

The event loop, which brings timers, connections and signals, is the running one. Errors of the system are
raised as OSError where a method says so."""

from __future__ import annotations

import gc
import os
import select
import socket
import time
from typing import Any

from plumpick.gateway.clock import Clock
from plumpick.gateway.config import Config, load_config


def _polls(transport: Any, events: int) -> bool:
    """Whether poll(2) reports one of these events for the connection's socket now; it always reports an error
    or a hang-up."""
    watched = select.poll()
    watched.register(transport.get_extra_info("socket").fileno(), events)
    return bool(watched.poll(0))


class Platform:
    """The real machine."""

    def clock(self) -> Clock:
        """A clock that only advances."""
        return Clock()

    def create_datagram_socket(self) -> Any:
        """A plain socket for datagrams, not bound yet. The loop's `add_reader` knows it."""
        return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def create_listener(self, address: tuple[str, int], backlog: int) -> socket.socket | None:
        """A listening socket for clients, which can be emptied before it closes; None where the loop makes
        its own. Raises OSError."""
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
        """Whether nothing waits on the connection: bytes, or its end, that the loop may not have read yet."""
        return not _polls(transport, select.POLLIN)

    @staticmethod
    def was_reset(transport: Any) -> bool:
        """Whether what the loop reported as the end of a connection is a reset.

        Where bytes and a reset have come by the time of one poll, libuv reads the bytes and reports the
        hang-up as an end, without the read that would have shown the reset. So the system is asked."""
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
            sock.detach()  # it is the transport's
        return False

    @staticmethod
    def has_peer_closed(transport: Any) -> bool:
        """Whether the other side has closed the connection, whatever is still unread on it."""
        return _polls(transport, select.POLLRDHUP)

    def freeze_startup_objects(self) -> None:
        """Exempt what the start made from garbage collection: it stays until the exit."""
        gc.collect()
        gc.freeze()

    def boottime(self) -> float:
        """Milliseconds of a clock that goes on while the process stalls or the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def unix_ms(self) -> float:
        """The time of day, which may be set; in milliseconds since 1970."""
        return time.time() * 1000

    def takes_part(self, part: Any) -> None:
        """This process takes part in the work for the whole tier; a simulated platform observes it."""

    def life(self) -> int:
        """The incarnation of this process: 32 random bits that tell it from all others."""
        return int.from_bytes(os.urandom(4), "big")  # `secrets` would be imported for this alone

    def guard(self, address: tuple[str, int] | None) -> Any:
        """A lock with `close` that one process of this machine holds at a time, until it exits, for the
        address where its peers' datagrams come; None while another process holds it. It is a TCP port that
        nobody listens at."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if address is not None:
            try:
                sock.bind(address)
            except OSError:
                sock.close()
                return None
        return sock

    def reload_config(self) -> Config:
        """The configuration as its file has it now; raises ConfigError."""
        return load_config(os.environ)

    def operator_config_path(self) -> str:
        """The path of the operator's own file; empty where there is none."""
        return os.environ.get("PLUMPICK_OPERATOR", "")
