"""The end of a gateway after SIGTERM: how long it may take, and how its listener closes.

After SIGTERM connections go on coming for up to 0.4 s, clients go on using those that they have, and peers
find their customers' quota owner here. All this is served until it is time to finish: SIGKILL comes no sooner
than the longest deadline, of MAX_GRACE_DEADLINE_S at most, and EXTRA_GRACE_S after SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections.abc import Iterable
from typing import Any

from plumpick.gateway.listeners.http.listener import HttpListener

MAX_GRACE_DEADLINE_S = 3.0
EXTRA_GRACE_S = 0.7
# So long before SIGKILL all is answered, or this part of the grace period, where that is less.
ANSWER_MARGIN_S = 0.5
ANSWER_MARGIN_RATIO = 0.25
CLOSING_WINDOW_S = 1.0  # so long before that no connection is kept any more,
MIN_SERVING_S = 0.45  # but not sooner than this after SIGTERM
EXIT_MARGIN_S = 0.1  # so long before SIGKILL the process has exited, but for bodies that are still streamed

log = logging.getLogger(__name__)


def shutdown_times(deadlines_s: Iterable[float]) -> tuple[float, float, float]:
    """What SIGTERM leaves time for, in seconds from it, by the deadlines of the classes: until when what
    comes is served and connections are kept; until when all is answered; when the process exits.

    New connections come for 0.4 s, and what is accepted last has as long as its client waits, or
    CLOSING_WINDOW_S."""
    longest = max(deadlines_s)
    grace = min(longest, MAX_GRACE_DEADLINE_S) + EXTRA_GRACE_S
    answered = grace - min(ANSWER_MARGIN_S, ANSWER_MARGIN_RATIO * grace)
    serving = max(MIN_SERVING_S, answered - min(CLOSING_WINDOW_S, longest))
    return serving, answered, grace - EXIT_MARGIN_S


class StopRequest:
    """SIGTERM, which may come more than once and at any stage; its time counts from the first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._requested = asyncio.Event()
        self.requested_s = math.inf  # by the loop's clock

    def request(self) -> None:
        """SIGTERM has come."""
        self.requested_s = min(self.requested_s, self._loop.time())
        self._requested.set()

    def is_requested(self) -> bool:
        """Whether SIGTERM has come."""
        return self._requested.is_set()

    async def wait(self) -> None:
        """Until SIGTERM comes."""
        await self._requested.wait()

    async def wait_for(self, event: asyncio.Event, timeout_s: float) -> bool:
        """Whether the event comes within that time; SIGTERM ends the wait as if it had."""
        tasks = [self._loop.create_task(one.wait()) for one in (event, self._requested)]
        try:
            await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
        return event.is_set() or self._requested.is_set()


async def close_listener(
    loop: asyncio.AbstractEventLoop, server: Any, listening: socket.socket | None, listener: HttpListener
) -> None:
    """Accept no more clients.

    Connections that the system has accepted and this process has not are reset when the listening socket
    closes, and requests on them are lost. So it is emptied first; what comes between the last look and the
    close is reset before its client has a response to lose, and retries elsewhere."""
    accepted = _accept_all(listening) if listening is not None else []
    server.close()
    for connection in accepted:
        try:
            connection.setblocking(False)
            await loop.connect_accepted_socket(listener.create_connection, connection)
        except OSError as problem:
            log.warning("a connection was lost: %s", problem)
            connection.close()


def _accept_all(listening: socket.socket) -> list[socket.socket]:
    """The connections in the backlog of a listening socket."""
    accepted = []
    while True:
        try:
            accepted.append(listening.accept()[0])
        except (BlockingIOError, ConnectionAbortedError):
            return accepted
        except OSError as problem:  # no descriptor is free, say
            log.warning("the listener was not emptied: %s", problem)
            return accepted
