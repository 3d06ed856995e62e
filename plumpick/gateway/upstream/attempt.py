"""An attempt to execute one request on one worker. It completes exactly once, with one result.

No method raises. The code that starts an attempt receives the result by `on_completed`. To abort an attempt,
call `end` with the result to be reported."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any, Protocol

from plumpick.gateway.clock import Timer
from plumpick.gateway.upstream.streaming_body import StreamingBody
from plumpick.policy.events import AttemptResult

# Called with the attempt, its result, the response's body and content type, and the worker's load report.
OnCompleted = Callable[["Attempt", AttemptResult, bytes, bytes, tuple[float, ...]], None]


class ResponseBodySink(Protocol):
    """The receiver of a streamed response body."""

    def write_chunk(self, data: bytes) -> None:
        """Forward the next bytes of the body."""

    def finish_response(self) -> None:
        """End the response: its body is complete."""

    def abort_response(self) -> None:
        """Break off the response: the rest of its body is lost."""


class AttemptClient(Protocol):
    """The client whose request an attempt executes."""

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not processed that yet."""


class AttemptConnection(Protocol):
    """The worker connection that carries an attempt."""

    is_reading_paused: bool  # whether the response is not read, as its client has not taken what was read
    is_waiting_for_memory: bool  # whether the response is not read until there is memory for it
    has_unsent_bytes: bool  # whether the last byte of the request is not with the kernel yet

    def abort(self) -> None:
        """Close the connection at once, even in the middle of a response."""

    def pause(self) -> None:
        """Stop reading the response."""

    def resume(self) -> None:
        """Continue reading the response."""

    def missing_response_bytes(self) -> int:
        """Return the number of bytes of the response body that have not been received; -1 if unknown."""


class Attempt:
    """An attempt to execute one request on one worker; completes exactly once, by `on_completed`.

    `head`, `body`: parts of the message to the worker. The value of the last header of the head is the time
    left until `deadline_ms` when the message is written, at most `timeout_ms`; a request whose body is still
    being received gets all of `timeout_ms`.
    `stream`: body that is forwarded after the message while it is received.
    `on_large_response(attempt, length, content_type)`: called when a response too large to be buffered
    begins; returns the sink of its body, or None if the attempt was cancelled.
    `on_stream_started(attempt)`: called when the first byte of `stream` is forwarded. Forwarded bytes are not
    retained, so no other attempt can send them."""

    __slots__ = (
        "request_id",
        "number",
        "worker_id",
        "head",
        "body",
        "started_ms",
        "on_completed",
        "connection",
        "connect_task",
        "timer",
        "connect_timer",
        "streaming_timer",
        "stream",
        "on_large_response",
        "response_sink",
        "is_head",
        "client",
        "timeout_ms",
        "response_started_ms",
        "last_progress_ms",
        "undelivered_bytes",
        "on_stream_started",
        "start_by_ms",
        "deadline_ms",
    )

    def __init__(
        self,
        request_id: int,
        number: int,
        worker_id: str,
        head: bytes,
        body: bytes,
        timeout_ms: float,
        deadline_ms: float,
        on_completed: OnCompleted,
        stream: StreamingBody | None = None,
        is_head: bool = False,
        on_large_response: Callable[[Attempt, int, bytes], ResponseBodySink | None] | None = None,
        on_stream_started: Callable[[Attempt], None] | None = None,
        client: AttemptClient | None = None,
    ) -> None:
        self.request_id = request_id
        self.number = number
        self.worker_id = worker_id
        self.head = head
        self.body = body
        self.timeout_ms = timeout_ms
        self.deadline_ms = deadline_ms
        self.stream = stream
        self.is_head = is_head
        self.client = client
        self.on_completed: OnCompleted | None = on_completed
        self.on_large_response = on_large_response
        self.on_stream_started = on_stream_started
        self.response_sink: ResponseBodySink | None = None
        self.response_started_ms = 0.0  # start of a streamed response; 0.0 if there is none
        # Time at which bytes of a streamed response were last received, or taken by its client.
        self.last_progress_ms = 0.0
        self.undelivered_bytes = -1  # number that the client had not taken at the latest check; -1 before it
        self.started_ms = 0.0
        self.start_by_ms = math.inf  # latest time at which the request may be written to the worker
        self.connection: AttemptConnection | None = None
        self.connect_task: asyncio.Task[Any] | None = None
        self.timer: Timer | None = None
        self.connect_timer: Timer | None = None
        self.streaming_timer: Timer | None = None  # start of streaming of a response of unknown length

    def is_request_sent(self) -> bool:
        """Whether the whole request is with the kernel, as far as is known, so that the worker may execute
        it."""
        if self.connection is None or self.connection.has_unsent_bytes:
            return False
        return self.stream is None or self.stream.is_complete

    def _is_held_back(self) -> bool:
        return self.connection is not None and self.connection.is_waiting_for_memory

    def end(
        self,
        result: AttemptResult,
        body: bytes = b"",
        content_type: bytes = b"",
        load_report: tuple[float, ...] = (),
    ) -> None:
        """Report the result and release the attempt's timers and connection; does nothing if the attempt has
        already completed."""
        on_completed = self.on_completed
        self.on_completed = None
        if on_completed is None:
            return
        for timer in (self.timer, self.connect_timer, self.streaming_timer):
            if timer is not None:
                timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if result is AttemptResult.TIMEOUT and self._is_held_back():
            result = AttemptResult.CANCELLED  # the worker is not to blame
        if self.connection is not None:  # the response is incomplete: the close tells the worker to stop
            self.connection.abort()
        sink = self.response_sink
        self.response_sink = None
        if sink is not None and result is not AttemptResult.OK:
            sink.abort_response()
        on_completed(self, result, body, content_type, load_report)
