"""What a gatekeeper takes from the machine that it runs on, in one place, so that it can be handed another.

The event loop, which brings timers, connections and signals, is the running one.
"""

from __future__ import annotations

import gc
import os
import select
import socket
import time
from typing import Any

from plumpick.gateway.clock import Clock
from plumpick.gateway.config import Config, load_config


def _polls(transport: Any, what: int) -> bool:
    """Whether the connection's socket shows that now, an error or a break included."""
    watched = select.poll()
    watched.register(transport.get_extra_info("socket").fileno(), what)
    return bool(watched.poll(0))


class Platform:
    """The real machine."""

    def clock(self) -> Clock:
        """A clock that only advances."""
        return Clock()

    def datagrams(self) -> Any:
        """A plain socket for datagrams, not bound yet. The loop's `add_reader` knows it."""
        return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def listener(self, address: tuple[str, int], backlog: int) -> socket.socket | None:
        """A listener for clients, at hand so that it can be emptied before it closes; None where the loop
        makes its own. Raises OSError."""
        plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            plug.bind(address)
            plug.listen(backlog)
            plug.setblocking(False)
        except OSError:
            plug.close()
            raise
        return plug

    @staticmethod
    def is_quiet(transport: Any) -> bool:
        """Whether nothing waits on the connection: bytes, or its end, that the loop may not have read yet."""
        return not _polls(transport, select.POLLIN)

    @staticmethod
    def was_reset(transport: Any) -> bool:
        """Whether what the loop told as the end of a connection is a reset.

        Danger: where bytes and a reset have come by the time of one poll, libuv reads the bytes and tells the
        hang-up as an end, without the read that would have told the reset. So the system is asked."""
        plug = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, 0, fileno=transport.get_extra_info("socket").fileno()
        )
        try:
            plug.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            plug.detach()  # it is the transport's
        return False

    @staticmethod
    def has_ended(transport: Any) -> bool:
        """Whether the other side has closed the connection, whatever is still unread on it."""
        return _polls(transport, select.POLLRDHUP)

    def settle(self) -> None:
        """What the start made stays: it need not be looked through again."""
        gc.collect()
        gc.freeze()

    def boottime(self) -> float:
        """Milliseconds of a clock that goes on while the process, or the machine, stands still."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def unix_ms(self) -> float:
        """The time of day, which may be set; in milliseconds since 1970."""
        return time.time() * 1000

    def takes_part(self, part: Any) -> None:
        """This process has a part in what is done for the fleet; a machine that is modelled judges it."""

    def life(self) -> int:
        """32 bits that tell this process from all others."""
        return int.from_bytes(os.urandom(4), "big")  # `secrets` would be imported for this alone

    def guard(self, address: tuple[str, int] | None) -> Any:
        """Something with `close` that one process of this machine has at a time, until it ends, for the
        address where its peers' datagrams come; None while another has it. It is a TCP port that nobody
        listens at."""
        plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if address is not None:
            try:
                plug.bind(address)
            except OSError:
                plug.close()
                return None
        return plug

    def reread(self) -> Config:
        """The configuration as its file has it now; raises ConfigError."""
        return load_config(os.environ)

    def operator_file(self) -> str:
        """Where the operator's own file is; nothing where there is none."""
        return os.environ.get("PLUMPICK_OPERATOR", "")
