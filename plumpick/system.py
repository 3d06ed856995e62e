"""What a gatekeeper takes from the machine that it runs on, in one place, so that it can be handed another.

The event loop, which brings timers, connections and signals, is the running one.
"""

from __future__ import annotations

import gc
import os
import select
import socket
from typing import Any

from plumpick.clock import Clock
from plumpick.config import Config, load


def _shows(transport: Any, what: int) -> bool:
    """Whether the connection's socket shows that now, an error or a break included."""
    watched = select.poll()
    watched.register(transport.get_extra_info("socket").fileno(), what)
    return bool(watched.poll(0))


class System:
    """The real machine."""

    def clock(self) -> Clock:
        """A clock that only advances."""
        return Clock()

    def datagrams(self) -> Any:
        """A plain socket for datagrams, not bound yet. The loop's `add_reader` knows it."""
        return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    @staticmethod
    def is_quiet(transport: Any) -> bool:
        """Whether nothing waits on the connection: bytes, or its end, that the loop may not have read yet."""
        return not _shows(transport, select.POLLIN)

    @staticmethod
    def has_ended(transport: Any) -> bool:
        """Whether the other side has closed the connection, whatever is still unread on it."""
        return _shows(transport, select.POLLRDHUP)

    def settle(self) -> None:
        """What the start made stays: it need not be looked through again."""
        gc.collect()
        gc.freeze()

    def reread(self) -> Config:
        """The configuration as its file has it now; raises ConfigError."""
        return load(os.environ)
