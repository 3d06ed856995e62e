"""Request bodies that are too large to be buffered: they are forwarded while they arrive.

Backpressure: the source is paused while more than the high water mark waits for the sink. All streams, of
requests and of responses, share one budget of bytes, whatever their number; each has an even share of it as
its high water mark. Nothing here raises: a stream that stalls is found by its `last_progress_ms`, and its
owner must end it."""

from __future__ import annotations

from typing import Protocol

from plumpick.gateway.listeners.interface import PausableSource

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # larger bodies are streamed
MIN_HIGH_WATER_BYTES = 16 * 1024
MAX_HIGH_WATER_BYTES = 256 * 1024


class MemoryBudget:
    """The bytes that all streams together may have waiting."""

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = max(MIN_HIGH_WATER_BYTES, total_bytes)
        self.stream_count = 0

    def high_water_bytes(self) -> int:
        """The high water mark of one more stream."""
        share_bytes = self.total_bytes // (self.stream_count + 1)
        return max(MIN_HIGH_WATER_BYTES, min(MAX_HIGH_WATER_BYTES, share_bytes))


class BodySink(Protocol):
    """Where a streamed body is forwarded to."""

    def write_chunk(self, data: bytes) -> None:
        """The next bytes of the body."""

    def finish(self) -> None:
        """The body is complete."""


class StreamingBody:
    """A request's body that is forwarded while it arrives. `length`: in bytes; -1 if only its end tells.

    What arrives before there is a sink waits here, up to `high_water_bytes`; then the source is paused. What
    has been forwarded is not retained, so it goes out once: `is_started` says that it has begun to."""

    def __init__(self, source: PausableSource, length: int, high_water_bytes: int) -> None:
        self.source = source
        self.length = length
        self.high_water_bytes = high_water_bytes
        self.waiting: list[bytes] = []
        self.waiting_bytes = 0
        self.is_started = False
        self.is_complete = False
        self.is_paused = False
        self.last_progress_ms = 0.0  # when bytes last arrived or left
        self.sink: BodySink | None = None

    def feed(self, data: bytes) -> None:
        """More of the body has arrived."""
        if self.sink is not None:
            self.sink.write_chunk(data)
            return
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        if self.waiting_bytes >= self.high_water_bytes:
            self.pause()

    def finish(self) -> None:
        """All of the body has arrived."""
        self.is_complete = True
        if self.sink is not None:
            self.sink.finish()

    def forward_to(self, sink: BodySink) -> None:
        """Forward what waits and what is to come; only once."""
        self.is_started = True
        self.sink = sink
        chunks = self.waiting
        self.waiting = []
        self.waiting_bytes = 0
        for data in chunks:
            sink.write_chunk(data)
        if self.is_complete:
            sink.finish()
        elif self.sink is sink:
            self.resume()

    def detach(self, sink: BodySink) -> None:
        """That sink takes no more; what arrives from now on is of no use."""
        if self.sink is sink:
            self.sink = None
            self.high_water_bytes = 0

    def pause(self) -> None:
        """Pause the source, unless all of the body has arrived."""
        if not self.is_paused and not self.is_complete:
            self.is_paused = True
            self.source.pause()

    def resume(self) -> None:
        """Resume the source, if it is paused."""
        if self.is_paused:
            self.is_paused = False
            self.source.resume()
