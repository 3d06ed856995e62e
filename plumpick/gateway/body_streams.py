"""The open requests whose request or response body is streamed: their memory budget and stall detection.

The attempt of a stalled response ends with RESET if its worker sends nothing. A response that its client does
not read and a stalled request body are reported to a StalledRequests, which must end the request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from plumpick.gateway.listeners.interface import MemoryExhaustedError, ResponseSink
from plumpick.gateway.memory_budget import MemoryBudget
from plumpick.gateway.open_request import OpenRequest
from plumpick.gateway.read_buffer import ReadBuffer
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.streaming_body import MIN_HIGH_WATER_BYTES, StreamBudget, StreamingBody
from plumpick.policy.events import AttemptResult

RESPONSE_STALL_MS = 10_000.0  # time without progress after which a streamed response is aborted
CLIENT_CHECK_INTERVAL_MS = 1000.0  # interval at which a client that holds back a response is looked at
UPLOAD_STALL_MS = 2500.0  # time without progress after which a streamed request body counts as stalled
# The same times while the memory is exhausted: what has stopped gives way first.
EXHAUSTED_RESPONSE_STALL_MS = 4000.0
EXHAUSTED_UPLOAD_STALL_MS = 1000.0


class StalledRequests(Protocol):
    """Ends the requests whose client makes no progress."""

    def on_response_unread(self, request: OpenRequest) -> None:
        """End a request whose client has stopped reading its response."""

    def on_upload_stalled(self, request: OpenRequest) -> None:
        """End a request whose client has stopped sending its body."""


class BodyStreams:
    """The open requests with a streamed body. Their number is bounded by that of the open requests."""

    def __init__(self, memory: MemoryBudget, now: Callable[[], float]) -> None:
        """`now` returns the current time in ms."""
        self.read_buffer = ReadBuffer(memory)
        self._now = now
        self._memory = memory
        self._budget = StreamBudget(memory)
        self._requests: dict[OpenRequest, int] = {}  # reserved shares of the budget
        # Reserved shares of ended requests, by the clients that have not taken the response yet.
        self._undelivered: dict[ResponseSink, int] = {}

    def create(self, source: Any, length: int) -> StreamingBody:
        """Create the body of `length` bytes (-1: unknown) that `source`, a PausableSource, provides. Its
        share of the memory budget is reserved once its request is passed to `add`. Raises
        MemoryExhaustedError."""
        share_bytes = self._budget.next_upload_share_bytes()
        if not share_bytes:
            raise MemoryExhaustedError("no memory for a streamed request body")
        return StreamingBody(source, length, share_bytes, self._now)

    def next_share_bytes(self) -> int:
        """Return how many bytes of a response may be buffered for its client before its source is paused."""
        return self._budget.next_share_bytes()

    def add(self, request: OpenRequest, share_bytes: int) -> None:
        """Register a request whose request or response body is now streamed, with its share of the budget."""
        share_bytes += self._release(request)
        self._requests[request] = share_bytes
        self._budget.reserve(share_bytes)
        self.read_buffer.set_stream_count(self._budget.stream_count)

    def remove(self, request: OpenRequest) -> None:
        """Remove a request that has ended; does nothing if it has no streamed body. Its share stays reserved
        until its client has taken the response."""
        if request not in self._requests:
            return
        share_bytes = self._release(request)
        sink = request.sink
        if request.responding_attempt is not None and sink.unwritten_bytes() >= MIN_HIGH_WATER_BYTES:
            self._release_undelivered(sink)
            self._undelivered[sink] = share_bytes
            self._budget.hold(share_bytes)
        self.read_buffer.set_stream_count(self._budget.stream_count)

    def _release(self, request: OpenRequest) -> int:
        """Release the share of a request and return it; 0 if it has none."""
        share_bytes = self._requests.pop(request, None)
        if share_bytes is None:
            return 0
        self._budget.release(share_bytes)
        return share_bytes

    def _release_delivered(self) -> None:
        """Release the shares of ended requests whose clients have taken the response or disconnected."""
        for sink in list(self._undelivered):
            if sink.unwritten_bytes() < MIN_HIGH_WATER_BYTES:
                self._release_undelivered(sink)

    def _release_undelivered(self, sink: ResponseSink) -> None:
        share_bytes = self._undelivered.pop(sink, 0)
        if share_bytes:
            self._budget.release_held(share_bytes)

    def paused_uploads(self) -> list[OpenRequest]:
        """Return the requests whose client is not read because their worker takes nothing."""
        return [
            request for request in self._requests if request.stream is not None and request.stream.is_paused
        ]

    def sweep(self, now: float, stalled: StalledRequests) -> None:
        """End the streamed responses that have stalled, and report the requests whose client has."""
        self._release_delivered()
        is_exhausted = self._memory.is_exhausted()
        unread_stall_ms = EXHAUSTED_RESPONSE_STALL_MS if is_exhausted else RESPONSE_STALL_MS
        upload_stall_ms = EXHAUSTED_UPLOAD_STALL_MS if is_exhausted else UPLOAD_STALL_MS
        for request in list(self._requests):
            attempt = request.responding_attempt
            if attempt is not None:
                _end_if_stalled(request, attempt, now, unread_stall_ms, stalled)
            elif _has_upload_stalled(request.stream, now, upload_stall_ms):
                stalled.on_upload_stalled(request)


def _end_if_stalled(
    request: OpenRequest, attempt: Attempt, now: float, unread_stall_ms: float, stalled: StalledRequests
) -> None:
    """End a streamed response that has made no progress for RESPONSE_STALL_MS, or whose client has taken
    nothing for `unread_stall_ms`. While the client's buffers are full the worker cannot send: then progress
    is what the client takes."""
    connection = attempt.connection
    is_held_by_client = connection is not None and connection.is_reading_paused
    if is_held_by_client and now - attempt.last_progress_ms > CLIENT_CHECK_INTERVAL_MS:
        undelivered = request.sink.undelivered_bytes()
        if undelivered != attempt.undelivered_bytes:
            attempt.undelivered_bytes = undelivered
            attempt.last_progress_ms = now
    stalled_ms = now - attempt.last_progress_ms
    if is_held_by_client and stalled_ms > unread_stall_ms:
        stalled.on_response_unread(request)
    elif not is_held_by_client and stalled_ms > RESPONSE_STALL_MS:
        attempt.end(AttemptResult.RESET)


def _has_upload_stalled(stream: Any, now: float, stall_ms: float) -> bool:
    """Whether a client has sent nothing of the request body `stream` for `stall_ms`. While its source is
    paused the client cannot send; RequestTable bounds that time."""
    if stream is None or stream.is_complete or stream.is_paused:
        return False
    return bool(now - stream.last_progress_ms > stall_ms)
