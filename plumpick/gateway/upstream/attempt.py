"""An attempt: one request on its way to one worker. It ends once, with one result.

Nothing here raises. Whoever starts an attempt must wait for its `on_completed`; to give it up is to call
`end` with the result that the caller wants to be told."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any, Protocol

from plumpick.gateway.clock import Timer
from plumpick.gateway.upstream.streaming_body import StreamingBody
from plumpick.policy.events import AttemptResult

# The attempt, its result, the response's body and content type, and the worker's load report.
OnCompleted = Callable[["Attempt", AttemptResult, bytes, bytes, tuple[float, ...]], None]


class ResponseBodySink(Protocol):
    """Where a response's body goes that is streamed."""

    def write_chunk(self, data: bytes) -> None:
        """The next bytes of the body."""

    def finish_response(self) -> None:
        """The body is complete."""

    def abort_response(self) -> None:
        """The rest will not come."""


class AttemptConnection(Protocol):
    """The connection that an attempt is on."""

    def abort(self) -> None:
        """Close it at once, whatever is still to come on it."""

    def pause(self) -> None:
        """Read no more of the response for now."""

    def resume(self) -> None:
        """Read on."""


class Attempt:
    """One request on its way to one worker; ends once, by `on_completed`.

    `head`, `body`: of its message, whose last header is the time left until `deadline_ms` when its first byte
    leaves, `timeout_ms` at most; a body that still arrives has all of `timeout_ms`.
    `stream`: a body that follows the message while it arrives.
    `on_large_response(attempt, length, content_type)`: a response begins that is too large to be buffered;
    returns who takes its body, or None if nobody wants it any more.
    `on_stream_started(attempt)`: the first byte of a stream leaves; it is not retained."""

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
        "stream",
        "on_large_response",
        "response_sink",
        "is_head",
        "timeout_ms",
        "response_started_ms",
        "last_progress_ms",
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
        self.on_completed: OnCompleted | None = on_completed
        self.on_large_response = on_large_response
        self.on_stream_started = on_stream_started
        self.response_sink: ResponseBodySink | None = None
        self.response_started_ms = 0.0  # of a streamed response
        self.last_progress_ms = 0.0  # of a streamed response
        self.started_ms = 0.0
        self.start_by_ms = math.inf  # its first byte leaves by then, or never
        self.connection: AttemptConnection | None = None
        self.connect_task: asyncio.Task[Any] | None = None
        self.timer: Timer | None = None
        self.connect_timer: Timer | None = None

    def end(
        self,
        result: AttemptResult,
        body: bytes = b"",
        content_type: bytes = b"",
        load_report: tuple[float, ...] = (),
    ) -> None:
        """Report the result, once, and release what the attempt still has."""
        on_completed = self.on_completed
        self.on_completed = None
        if on_completed is None:
            return
        for timer in (self.timer, self.connect_timer):
            if timer is not None:
                timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:  # the response is not complete: its end tells the worker
            self.connection.abort()
        sink = self.response_sink
        self.response_sink = None
        if sink is not None and result is not AttemptResult.OK:
            sink.abort_response()
        on_completed(self, result, body, content_type, load_report)
