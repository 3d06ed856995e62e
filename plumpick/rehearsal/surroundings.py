"""Time, chance and the loop: what every stand-in is handed, and never takes from the system by itself."""

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
    """The loop, the clock and the source of chance of one rehearsal.

    `monotonic` gives seconds that only advance, `unix_s` the time of day at the start. Played on another loop
    with another clock, the same stand-ins live in modelled time.
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
        """Milliseconds since the start, to the microsecond, so that a written record equals the live one."""
        return round((self._monotonic() - self._start) * 1000, 3)

    def unix_ms(self, t: float) -> float:
        """That time of the rehearsal as Unix time in milliseconds."""
        return round(self._unix_ms + t, 3)

    def chance(self, name: str) -> random.Random:
        """A source of random numbers of its own for each part: what one draws does not shift another's."""
        return random.Random(f"{self.seed}/{name}")

    def later(self, ms: float, call: Callable[..., Any], *arguments: Any) -> asyncio.TimerHandle:
        """Call after so many milliseconds."""
        return self.loop.call_later(max(0.0, ms) / 1000, call, *arguments)

    def reset(self, transport: Any) -> None:
        """Close a connection with a reset, behind what has been written."""
        with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as plug:
            plug.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()

    @staticmethod
    def settle() -> None:
        """What the start made stays: looking through it again and again is a stall each time."""
        gc.collect()
        gc.freeze()

    def spawn(self, tasks: set[asyncio.Task[Any]], work: Coroutine[Any, Any, None]) -> None:
        """Run beside; `tasks`, its owner's, holds it until it ends: the loop alone would not keep it."""
        task = self.loop.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def is_up(port: int, limit_s: float) -> bool:
    """Whether the gatekeeper at that port answers /up with 200 in time; the port may be somebody else's."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    try:
        writer.write(request_bytes("GET", "/up", {}))
        async with asyncio.timeout(limit_s):
            return b" 200 " in await reader.readline()
    except (OSError, ValueError):  # a TimeoutError is an OSError; a line without end is a ValueError
        return False
    finally:
        writer.close()
