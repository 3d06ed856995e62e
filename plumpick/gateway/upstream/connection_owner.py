"""The interface of the connection pool as the connections to workers use it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.gateway.memory_budget import MemoryBudget
from plumpick.gateway.read_buffer import ReadBuffer
from plumpick.gateway.upstream.attempt import Attempt


class ConnectionOwner:
    """The connection pool as its connections use it; ConnectionPool derives from this class."""

    read_buffer: ReadBuffer  # buffer into which connections are read
    memory: MemoryBudget  # account of the memory that responses use
    has_no_unread_input: Callable[[Any], bool]  # whether neither bytes nor a close wait unread in the kernel
    was_transport_reset: Callable[[Any], bool]  # whether the peer reset the connection

    def now(self) -> float:
        """Return the current time in ms."""
        raise NotImplementedError

    def stream_before_deadline(self, attempt: Attempt, start: Callable[[Attempt], None]) -> None:
        """Call `start(attempt)` shortly before the policy gives up the request, unless the attempt has
        ended."""
        raise NotImplementedError

    def on_request_written(self, attempt: Attempt) -> None:
        """Start the worker's time: the last byte of a streamed request has been written."""
        raise NotImplementedError

    def parse_load_report(self, text: bytes) -> tuple[float, ...]:
        """Return the load report from a response's header; empty if it is missing or invalid."""
        raise NotImplementedError

    def release(self, connection: Any) -> None:
        """Return a connection to the pool after a complete response."""
        raise NotImplementedError

    def on_closed(self, connection: Any) -> None:
        """Remove a connection that has closed or could not be established."""
        raise NotImplementedError
