"""Streaming of request bodies that are too large to be buffered: they are forwarded while they are received.

Backpressure: the source is paused while more bytes than the high water mark wait for the sink. All streamed
requests and responses share one memory budget, and each has an equal share of it as its high water mark. No
method raises. The owner of a stream must detect a stall by `last_progress_ms` and end the stream."""

from __future__ import annotations

from typing import Protocol

from plumpick.gateway.listeners.interface import PausableSource

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # size above which a body is streamed
MIN_HIGH_WATER_BYTES = 16 * 1024
MAX_HIGH_WATER_BYTES = 256 * 1024


class MemoryBudget:
    """The number of bytes that all streams together may buffer, `total_bytes`, divided among them."""

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = max(MIN_HIGH_WATER_BYTES, total_bytes)
        self.stream_count = 0

    def high_water_bytes(self) -> int:
        """Return the high water mark for one more stream."""
        share_bytes = self.total_bytes // (self.stream_count + 1)
        return max(MIN_HIGH_WATER_BYTES, min(MAX_HIGH_WATER_BYTES, share_bytes))


class BodySink(Protocol):
    """The receiver of a streamed request body: the connection to a worker."""

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of the body."""

    def finish(self) -> None:
        """End the body: it is complete."""


class StreamingBody:
    """A request's body that is forwarded while it is received. `length`: in bytes, -1 if unknown.

    Until there is a sink, received bytes are buffered; at `high_water_bytes` the source is paused. Forwarded
    bytes are not retained, so the body can be sent only once; `is_started` tells whether that has begun."""

    def __init__(self, source: PausableSource, length: int, high_water_bytes: int) -> None:
        self.source = source
        self.length = length
        self.high_water_bytes = high_water_bytes
        self.waiting: list[bytes] = []
        self.waiting_bytes = 0
        self.is_started = False
        self.is_complete = False
        self.is_paused = False
        self.last_progress_ms = 0.0  # time at which bytes were last received or forwarded
        self.sink: BodySink | None = None

    def feed(self, data: bytes) -> None:
        """Forward received bytes of the body, or buffer them until there is a sink."""
        if self.sink is not None:
            self.sink.write_chunk(data)
            return
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        if self.waiting_bytes >= self.high_water_bytes:
            self.pause()

    def finish(self) -> None:
        """Mark the body as complete: its last byte has been received."""
        self.is_complete = True
        if self.sink is not None:
            self.sink.finish()

    def forward_to(self, sink: BodySink) -> None:
        """Forward the buffered bytes and all further ones to the sink. May be called only once."""
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
        """Disconnect the sink, if it is the current one; bytes received from now on cannot be used."""
        if self.sink is sink:
            self.sink = None
            self.high_water_bytes = 0

    def pause(self) -> None:
        """Pause the source, unless the body is complete."""
        if not self.is_paused and not self.is_complete:
            self.is_paused = True
            self.source.pause()

    def resume(self) -> None:
        """Resume the source, if it is paused."""
        if self.is_paused:
            self.is_paused = False
            self.source.resume()
