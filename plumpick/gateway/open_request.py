"""A request that has no final response yet, and the ids that such requests have.

Records alone: the gateway's table owns them (request_table.py), and bounds them by each request's
deadline."""

from __future__ import annotations

import math

from plumpick.gateway.clock import Timer
from plumpick.gateway.listeners.interface import DuplicateRequestIdError, IncomingRequest, ResponseSink
from plumpick.gateway.upstream.attempt import Attempt

REQUEST_ID_RETENTION_MS = 2000.0  # for once to twice as long an id stays in use after its request has ended


class OpenRequest:
    """A request from its submission until its one final response."""

    __slots__ = (
        "id",
        "client_id",
        "sink",
        "head",
        "body",
        "stream",
        "is_head",
        "plan",
        "units",
        "wait_ms",
        "deadline_ms",
        "deadline_timer",
        "attempt_count",
        "responding_attempt",
    )

    def __init__(self, number: int, sink: ResponseSink, head: bytes, incoming: IncomingRequest) -> None:
        self.id = number
        self.client_id = incoming.id
        self.sink = sink
        self.head = head  # of each attempt's message, see request_encoding.encode_head
        self.body = incoming.body
        self.stream = incoming.stream
        self.is_head = incoming.method == b"HEAD"
        self.plan = incoming.plan
        self.units = incoming.units
        self.wait_ms = 0.0  # how long its client waits
        self.deadline_ms = math.inf  # it has its response by then; a streamed body's time has not begun
        self.deadline_timer: Timer | None = None
        self.attempt_count = 0
        self.responding_attempt: Attempt | None = None  # whose streamed response is on its way to the client


class RequestIds:
    """The clients' ids of the requests that are open or ended a moment ago. An id is one request: a second
    one with it, of whichever client, would pass for a retry of the first."""

    def __init__(self) -> None:
        self._open: set[bytes] = set()
        self._ended: set[bytes] = set()
        self._ended_before: set[bytes] = set()

    def claim(self, client_id: bytes) -> None:
        """A request with that id opens; raises DuplicateRequestIdError."""
        if client_id in self._open or client_id in self._ended or client_id in self._ended_before:
            raise DuplicateRequestIdError("x-request-id is in use")
        self._open.add(client_id)

    def release(self, client_id: bytes) -> None:
        """The request with that id has ended."""
        self._open.discard(client_id)
        self._ended.add(client_id)

    def expire(self) -> None:
        """Forget the ids released before the previous call; due every REQUEST_ID_RETENTION_MS."""
        self._ended_before = self._ended
        self._ended = set()

    def is_empty(self) -> bool:
        """Whether no id is in use."""
        return not self._open and not self._ended and not self._ended_before
