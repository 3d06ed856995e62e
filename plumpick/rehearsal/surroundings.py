"""Clock, random numbers and event loop of a rehearsal; stubs use these and never those of the system."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import socket
import struct
import time
from collections.abc import Callable, Coroutine
from typing import Any

from plumpick.rehearsal.wire import request_bytes

HOST = "127.0.0.1"


class Surroundings:
    """The event loop, clock and random seed of one rehearsal.

    `monotonic` returns monotonic seconds; `unix_s` is the Unix time at the start, by default the system's.
    With a simulated loop and clock the same stubs run in simulated time.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        monotonic: Callable[[], float] = time.monotonic,
        unix_s: float | None = None,
    ) -> None:
        self.loop, self.seed = loop, seed
        self._monotonic, self._start = monotonic, monotonic()
        self._unix_ms = (time.time() if unix_s is None else unix_s) * 1000

    def now(self) -> float:
        """Return milliseconds since the start.

        Rounded to microseconds, so that a record read back from a history equals the recorded one.
        """
        return round((self._monotonic() - self._start) * 1000, 3)

    def unix_ms(self, t: float) -> float:
        """Convert milliseconds since the start into Unix time in milliseconds."""
        return round(self._unix_ms + t, 3)

    def chance(self, name: str) -> random.Random:
        """Return a random generator for the part `name`; its draws do not affect those of other parts."""
        return random.Random(f"{self.seed}/{name}")

    def later(self, ms: float, call: Callable[..., Any], *arguments: Any) -> asyncio.TimerHandle:
        """Call `call(*arguments)` after `ms` milliseconds."""
        return self.loop.call_later(max(0.0, ms) / 1000, call, *arguments)

    def reset(self, transport: Any) -> None:
        """Close a connection with a TCP reset after the data written so far."""
        with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as plug:
            plug.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()

    @staticmethod
    def settle() -> None:
        """Exempt all objects that exist after the start from garbage collection.

        Scanning them in each full collection would stall the event loop.
        """
        gc.collect()
        gc.freeze()

    def spawn(self, tasks: set[asyncio.Task[Any]], work: Coroutine[Any, Any, None]) -> None:
        """Run `work` as a task; `tasks` holds it until it ends, as the loop has only a weak reference."""
        task = self.loop.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def is_up(port: int, limit_s: float) -> bool:
    """Return whether the process at `port` answers GET /up with status 200 within `limit_s` seconds.

    Returns False for any other answer, as another process may have taken the port.
    """
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    try:
        writer.write(request_bytes("GET", "/up", {}))
        async with asyncio.timeout(limit_s):
            return b" 200 " in await reader.readline()
    except (OSError, ValueError):  # TimeoutError is an OSError; readline raises ValueError on a too long line
        return False
    finally:
        writer.close()
