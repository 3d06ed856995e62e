"""Fair queuing of the work on client connections: how much is served in one iteration of the event loop.

A connection is served at most REQUESTS_PER_TURN requests at a time. What it has beyond that waits for its
next turn, behind the other connections that wait. All connections that wait get QUEUED_REQUESTS_PER_ITERATION
requests in one iteration. What has just been read is served at once, up to READ_REQUESTS_PER_ITERATION
requests; beyond that it waits, ahead of the connections that have been served before. So an iteration serves
at most the sum of both numbers, however many clients send however much."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

REQUESTS_PER_TURN = 4
QUEUED_REQUESTS_PER_ITERATION = 32
UNSERVED_REQUESTS_PER_ITERATION = 16  # part of the queued ones for connections that were not served before
READ_REQUESTS_PER_ITERATION = 16


class QueuedConnection(Protocol):
    """A connection that waits for its turn."""

    def serve_turn(self, max_requests: int) -> int:
        """Serve up to so many requests and return what it cost, in requests. What is left waits for the next
        turn."""


class FairQueue:
    """The connections that wait for a turn, in order. `call_soon` schedules a callback for the next iteration
    of the event loop."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], Any]) -> None:
        self._call_soon = call_soon
        self._unserved: dict[QueuedConnection, None] = {}  # have just been read
        self._backlogged: dict[QueuedConnection, None] = {}  # were served before
        self._read_requests_left = READ_REQUESTS_PER_ITERATION
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._unserved) + len(self._backlogged)

    def read_share(self) -> int:
        """Return how many requests of a connection that has just been read may be served at once."""
        return min(REQUESTS_PER_TURN, self._read_requests_left)

    def count_served_as_read(self, requests: int) -> None:
        """Count requests that were served as they were read, which cost at least as much as one request."""
        self._read_requests_left = max(0, self._read_requests_left - max(1, requests))
        self._schedule()

    def add(self, connection: QueuedConnection) -> None:
        """Let a connection that has been served before wait for its turn."""
        if connection not in self._unserved:
            self._backlogged[connection] = None
            self._schedule()

    def add_unserved(self, connection: QueuedConnection) -> None:
        """Let a connection that has just been read wait for its turn."""
        if connection not in self._backlogged:
            self._unserved[connection] = None
            self._schedule()

    def remove(self, connection: QueuedConnection) -> None:
        """Remove a connection that has closed."""
        self._unserved.pop(connection, None)
        self._backlogged.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._on_iteration)

    def _on_iteration(self) -> None:
        """Give the turns of one iteration of the event loop."""
        self._is_scheduled = False
        self._read_requests_left = READ_REQUESTS_PER_ITERATION
        try:
            # Those that were served before get as much, however many new ones there are.
            left = self._serve(self._unserved, UNSERVED_REQUESTS_PER_ITERATION)
            others = QUEUED_REQUESTS_PER_ITERATION - UNSERVED_REQUESTS_PER_ITERATION
            self._serve(self._backlogged, max(0, left) + others)
        finally:
            if self._unserved or self._backlogged:
                self._schedule()

    @staticmethod
    def _serve(waiting: dict[QueuedConnection, None], max_requests: int) -> int:
        """Give each connection that waits now one turn, up to so many requests; returns how many are left."""
        left = max_requests
        for _ in range(len(waiting)):
            if left <= 0 or not waiting:
                break
            connection = next(iter(waiting))
            del waiting[connection]
            left -= max(1, connection.serve_turn(min(REQUESTS_PER_TURN, left)))
        return left
