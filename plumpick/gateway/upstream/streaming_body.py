"""Streaming of request bodies that are too large to be buffered: they are forwarded while they are received.

Backpressure: the source is paused while more bytes than the high water mark wait for the sink. All streamed
requests and responses share a part of the memory budget, of which each has a share as its high water mark.
No method raises. The owner of a stream must detect a stall by `last_progress_ms` and end the stream, and
bound the time that `backpressure_ms` returns: the client may wait for its response during all of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from plumpick.gateway.listeners.interface import PausableSource
from plumpick.gateway.memory_budget import MemoryBudget, MemoryHolder

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # size above which a body is streamed
MIN_HIGH_WATER_BYTES = 4 * 1024
MAX_HIGH_WATER_BYTES = 256 * 1024
# Share of the memory for streams up to which larger shares than the smallest are dealt out, and the maximum
# share of one stream in what is left of it.
LARGE_SHARES_RATIO = 0.5
MAX_SHARE_RATIO = 0.125
READ_BYTES = 16 * 1024  # size of the read by which a stream may exceed its high water mark
MAX_PARTS = 64  # number of buffered parts above which they are joined: a part costs more than its bytes
# Maximum number of bytes that a client has sent and this process has not read: those in the socket buffers of
# both machines. While more of a body are missing, its client is certainly still sending.
MAX_BYTES_IN_TRANSIT = 16 * 1024 * 1024


class StreamBudget:
    """The part of the memory budget that streams use.

    Each stream reserves a share of it, its high water mark, until its bytes have been delivered. A share is
    at most MAX_SHARE_RATIO of what is left for large shares, so that something is left for later streams, and
    at least MIN_HIGH_WATER_BYTES. With each share one read is counted, by which it may be exceeded."""

    def __init__(self, memory: MemoryBudget) -> None:
        self.reserved_bytes = 0
        self.stream_count = 0
        self._memory = memory

    def next_share_bytes(self) -> int:
        """Return the share of one more response, which can't be refused."""
        return self._share_bytes(self._memory.body_ceiling)

    def next_upload_share_bytes(self) -> int:
        """Return the share of one more request body, or 0 if there is no memory for it."""
        ceiling = self._memory.upload_ceiling
        if self._memory.used_bytes + MIN_HIGH_WATER_BYTES + READ_BYTES > ceiling:
            self._memory.count_refused_upload()
            return 0
        return self._share_bytes(ceiling)

    def _share_bytes(self, ceiling: int) -> int:
        available_bytes = ceiling * LARGE_SHARES_RATIO - self._memory.used_bytes
        share_bytes = int(available_bytes * MAX_SHARE_RATIO)
        return max(MIN_HIGH_WATER_BYTES, min(MAX_HIGH_WATER_BYTES, share_bytes))

    def reserve(self, share_bytes: int) -> None:
        """Count the share of a new stream."""
        self.stream_count += 1
        self.hold(share_bytes)

    def release(self, share_bytes: int) -> None:
        """No longer count the share of a stream."""
        self.stream_count -= 1
        self.release_held(share_bytes)

    def hold(self, share_bytes: int) -> None:
        """Count the share of a stream that has ended and whose bytes are not delivered."""
        self.reserved_bytes += share_bytes
        self._memory.add(MemoryHolder.STREAMS, share_bytes + READ_BYTES)

    def release_held(self, share_bytes: int) -> None:
        """No longer count the share of a stream that has ended."""
        self.reserved_bytes -= share_bytes
        self._memory.release(MemoryHolder.STREAMS, share_bytes + READ_BYTES)


class BodySink(Protocol):
    """The receiver of a streamed request body: the connection to a worker."""

    is_write_buffer_full: bool  # whether the sink can't take more bytes now

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of the body."""

    def finish(self) -> None:
        """End the body: it is complete."""


class StreamingBody:
    """A request's body that is forwarded while it is received. `length`: in bytes, -1 if unknown.

    Until there is a sink, received bytes are buffered; at `high_water_bytes` the source is paused. Forwarded
    bytes are not retained, so the body can be sent only once; `is_started` tells whether that has begun.
    `now` returns the current time in ms."""

    def __init__(
        self, source: PausableSource, length: int, high_water_bytes: int, now: Callable[[], float]
    ) -> None:
        self.source: PausableSource | None = source  # None once the request has ended
        self.length = length
        self.high_water_bytes = high_water_bytes
        self.on_paused: Callable[[], None] | None = None  # called when the source has been paused
        self._now = now
        self._received_bytes = 0
        self._paused_since_ms = 0.0
        self._earlier_backpressure_ms = 0.0
        self.waiting: list[bytes] = []
        self.waiting_bytes = 0
        self.is_started = False
        self.is_complete = False
        self.is_paused = False
        self.last_progress_ms = 0.0  # time at which bytes were last received or forwarded
        self.sink: BodySink | None = None

    def feed(self, data: bytes) -> None:
        """Forward received bytes of the body, or buffer them until there is a sink. Bytes that no sink will
        take are dropped."""
        self._received_bytes += len(data)
        if self.sink is not None:
            self.sink.write_chunk(data)
            return
        if self.is_started or self.source is None:
            self.pause()
            return
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        if len(self.waiting) > MAX_PARTS:
            self.waiting = [b"".join(self.waiting)]
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
        elif self.sink is sink and not sink.is_write_buffer_full:
            self.resume()

    def detach(self, sink: BodySink) -> None:
        """Disconnect the sink, if it is the current one; bytes received from now on cannot be used."""
        if self.sink is sink:
            self.sink = None

    def release(self) -> None:
        """Drop the buffered bytes and the reference to the source: the request has ended. Without this the
        source, its request and this body would keep each other alive."""
        self.waiting = []
        self.waiting_bytes = 0
        self.on_paused = None
        self.source = None

    def pause(self) -> None:
        """Pause the source, unless the body is complete."""
        if self.is_paused or self.is_complete:
            return
        self.is_paused = True
        self._paused_since_ms = self._now()
        if self.source is not None:
            self.source.pause()
        if self.on_paused is not None:
            self.on_paused()

    def resume(self) -> None:
        """Resume the source, if it is paused."""
        if self.is_paused:
            self._earlier_backpressure_ms = self.backpressure_ms()
            self.last_progress_ms = self._now()
            self.is_paused = False
            if self.source is not None:
                self.source.resume()

    def backpressure_ms(self) -> float:
        """Return for how long in total the source has been paused although the client may have sent the whole
        body: what it has sent is not visible while its connection is not read."""
        if not self.is_paused or not self._may_be_sent():
            return self._earlier_backpressure_ms
        return self._earlier_backpressure_ms + self._now() - self._paused_since_ms

    def paused_ms(self) -> float:
        """Return for how long the source has been paused without interruption; 0.0 if it is not paused."""
        return self._now() - self._paused_since_ms if self.is_paused else 0.0

    def _may_be_sent(self) -> bool:
        """Whether the bytes that are missing may all be in transit. Always true if their number is
        unknown."""
        return self.length < 0 or self.length - self._received_bytes <= MAX_BYTES_IN_TRANSIT
