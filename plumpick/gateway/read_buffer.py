"""The buffer into which all connections are read, one after the other. It bounds the bytes of one read: they
are received whole even if the connection they are forwarded to is full, so a read is short while many streams
are open or much of the memory is used."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from plumpick.gateway.memory_budget import MemoryBudget, MemoryLevel

MAX_READ_BYTES = 64 * 1024
CROWDED_READ_BYTES = 16 * 1024
EXHAUSTED_READ_BYTES = 4 * 1024
# What is read of the connections that wait to be served: of all together, and of each at least.
READ_AHEAD_BYTES = 256 * 1024
MIN_READ_AHEAD_BYTES = 4 * 1024
CHUNKED_READ_BYTES = CROWDED_READ_BYTES  # of a body in chunks, which may be of one byte each
CROWDED_STREAMS = 16  # number of streams above which a read is limited to CROWDED_READ_BYTES


class ReadBuffer:
    """A buffer that is filled and emptied within one callback of the event loop."""

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._crowded_view = self._buffer[:CROWDED_READ_BYTES]
        self._exhausted_view = self._buffer[:EXHAUSTED_READ_BYTES]
        self._is_crowded_by_streams = False
        self._view = self._buffer  # part of the buffer that the latest read could fill

    def set_stream_count(self, streams: int) -> None:
        """Adapt the size of a read to the number of streams."""
        self._is_crowded_by_streams = streams > CROWDED_STREAMS

    def view(self, reserved_bytes: int = 0) -> memoryview:
        """Return the part of the buffer that the next read may fill. `reserved_bytes`: number of bytes whose
        memory the connection has reserved, which can be read at once."""
        level = self._memory.level
        if level == MemoryLevel.EXHAUSTED:
            self._view = self._exhausted_view
        elif level == MemoryLevel.CROWDED or self._is_crowded_by_streams:
            self._view = self._crowded_view
        else:
            self._view = self._buffer
        if reserved_bytes > len(self._view):
            self._view = self._buffer[:reserved_bytes]
        return self._view

    def view_ahead(self, waiting_connections: int) -> memoryview:
        """Return the part of the buffer for a read of requests that have to wait while so many other
        connections do."""
        return self._limited_view(max(MIN_READ_AHEAD_BYTES, READ_AHEAD_BYTES // (1 + waiting_connections)))

    def view_chunked(self) -> memoryview:
        """Return the part of the buffer for a read of a body in chunks."""
        return self._limited_view(CHUNKED_READ_BYTES)

    def _limited_view(self, max_bytes: int) -> memoryview:
        if len(self.view()) > max_bytes:
            self._view = self._buffer[:max_bytes]
        return self._view

    def is_filled_by(self, size: int) -> bool:
        """Whether a read of `size` bytes has filled the buffer, so that more bytes probably wait."""
        return size >= len(self._view)

    def take(self, size: int) -> bytes:
        """Return a copy of the first `size` bytes, which a read has filled."""
        return bytes(self._buffer[:size])

    @staticmethod
    def yield_reading(transport: asyncio.Transport, may_resume: Callable[[], bool]) -> None:
        """Stop reading a connection until the next iteration of the event loop, which would otherwise read it
        up to 32 times before any other. Then it is read again if `may_resume()`, which tells whether nobody
        else has suspended reading meanwhile."""

        def resume() -> None:
            if may_resume():
                transport.resume_reading()

        transport.pause_reading()
        asyncio.get_running_loop().call_soon(resume)
