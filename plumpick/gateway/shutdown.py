"""Graceful shutdown after SIGTERM: its time limits, and how the listener closes.

For up to 0.4 s after SIGTERM new connections still arrive, clients keep using open ones, and peers still
treat this gateway as the quota owner of its customers. All this is served until the shutdown must complete.
SIGKILL follows SIGTERM no earlier than after the longest class deadline (at most MAX_GRACE_DEADLINE_S) plus
EXTRA_GRACE_S."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Iterable
from typing import Any

from plumpick.gateway.listeners.client_server import ClientServer, accept_waiting, adopt
from plumpick.gateway.listeners.http.listener import HttpListener

MAX_GRACE_DEADLINE_S = 3.0  # maximum part of the grace period that a class deadline accounts for
EXTRA_GRACE_S = 0.7  # part of the grace period beyond the longest class deadline
# All requests are answered by the smaller of these two margins before SIGKILL: a time, and a share of the
# grace period.
ANSWER_MARGIN_S = 0.5
ANSWER_MARGIN_RATIO = 0.25
# Maximum duration of the phase that closes connections before all requests are answered.
CLOSING_WINDOW_S = 1.0
MIN_SERVING_S = 0.45  # minimum time after SIGTERM in which connections are kept open
EXIT_MARGIN_S = 0.1  # time before SIGKILL at which the process exits unless bodies are still being streamed


def shutdown_times(deadlines_s: Iterable[float]) -> tuple[float, float, float]:
    """Return the phases of a shutdown, in seconds after SIGTERM, for the deadlines of the request classes:
    the end of normal service with persistent connections, the time by which all requests are answered, and
    the time at which the process exits.

    New connections arrive for 0.4 s. The request accepted last has its whole deadline, but at most
    CLOSING_WINDOW_S, to be answered."""
    longest = max(deadlines_s)
    grace = min(longest, MAX_GRACE_DEADLINE_S) + EXTRA_GRACE_S
    answered = grace - min(ANSWER_MARGIN_S, ANSWER_MARGIN_RATIO * grace)
    serving = max(MIN_SERVING_S, answered - min(CLOSING_WINDOW_S, longest))
    return serving, answered, grace - EXIT_MARGIN_S


class StopRequest:
    """Records SIGTERM, which may arrive repeatedly and at any stage; the first one starts the shutdown."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._requested = asyncio.Event()
        self.requested_s = math.inf  # time of the first SIGTERM by the event loop's clock

    def request(self) -> None:
        """Record a SIGTERM."""
        self.requested_s = min(self.requested_s, self._loop.time())
        self._requested.set()

    def is_requested(self) -> bool:
        """Whether SIGTERM has been received."""
        return self._requested.is_set()

    async def wait(self) -> None:
        """Wait until SIGTERM is received."""
        await self._requested.wait()

    async def wait_for(self, event: asyncio.Event, timeout_s: float) -> bool:
        """Wait for the event or SIGTERM for at most `timeout_s`; returns whether one of them occurred."""
        tasks = [self._loop.create_task(awaited.wait()) for awaited in (event, self._requested)]
        try:
            await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
        return event.is_set() or self._requested.is_set()


async def close_listener(
    loop: asyncio.AbstractEventLoop, server: Any, listening: socket.socket | None, listener: HttpListener
) -> None:
    """Close the listening socket after accepting all connections in its backlog.

    Closing a listening socket resets the connections in its backlog, and requests already sent on them would
    be lost. A connection that arrives between the last accept and the close is still reset, but no request on
    it has been processed, and its client retries elsewhere."""
    accepted = list(accept_waiting(listening)) if listening is not None else []
    adoptions = server.adoptions() if isinstance(server, ClientServer) else []
    server.close()
    # All at once: one after the other, each would take an iteration of the event loop, and a long backlog all
    # of the time for the shutdown.
    adoptions += [loop.create_task(adopt(loop, one, listener.create_connection)) for one in accepted]
    await asyncio.gather(*adoptions)
