"""The open requests whose request or response body is streamed: their share of memory, and their stalls.

A stalled response ends its attempt with RESET; of a stalled request body the owner is told, who must give the
request its final response."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.gateway.open_request import OpenRequest
from plumpick.gateway.upstream.streaming_body import MemoryBudget, StreamingBody
from plumpick.policy.events import AttemptResult

RESPONSE_STALL_MS = 10_000.0  # without progress for so long a response is given up
UPLOAD_STALL_MS = 2500.0  # and a request's body, whose client has stopped


class BodyStreams:
    """The requests with a streamed body; bounded by the table of open requests."""

    def __init__(self, total_bytes: int) -> None:
        self._budget = MemoryBudget(total_bytes)
        self._requests: dict[OpenRequest, None] = {}

    def create(self, source: Any, length: int) -> StreamingBody:
        """A body of so many bytes (-1: not known) from a PausableSource; it counts from `add` on."""
        return StreamingBody(source, length, self._budget.high_water_bytes())

    def high_water_bytes(self) -> int:
        """How much of a response may wait for its client before its source is paused."""
        return self._budget.high_water_bytes()

    def add(self, request: OpenRequest) -> None:
        """A body of the request is streamed from now on."""
        if request not in self._requests:
            self._requests[request] = None
            self._budget.stream_count += 1

    def discard(self, request: OpenRequest) -> None:
        """The request has ended, if it was one of these."""
        if request in self._requests:
            del self._requests[request]
            self._budget.stream_count -= 1

    def sweep(self, now: float, on_upload_stalled: Callable[[OpenRequest], None]) -> None:
        """Give up the bodies of which nothing moves: a client or a worker has stopped."""
        for request in list(self._requests):
            attempt = request.responding_attempt
            if attempt is not None:
                if now - attempt.last_progress_ms > RESPONSE_STALL_MS:
                    attempt.end(AttemptResult.RESET)
            elif _has_upload_stalled(request.stream, now):
                on_upload_stalled(request)


def _has_upload_stalled(stream: Any, now: float) -> bool:
    """Whether a client has stopped sending. It cannot send while its source is paused: at most half of the
    time counts then."""
    if stream is None or stream.is_complete:
        return False
    if stream.is_paused:
        stream.last_progress_ms = max(stream.last_progress_ms, now - UPLOAD_STALL_MS / 2)
    return bool(now - stream.last_progress_ms > UPLOAD_STALL_MS)
