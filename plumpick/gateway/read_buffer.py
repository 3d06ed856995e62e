"""The buffer into which all connections are read, one after the other. It bounds the bytes of one read: they
are received whole even if the connection they are forwarded to is full, so with many streams a read is
short."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAX_READ_BYTES = 64 * 1024
CROWDED_READ_BYTES = 16 * 1024
CROWDED_STREAMS = 64  # number of streams above which a read is limited to CROWDED_READ_BYTES


class ReadBuffer:
    """A buffer that is filled and emptied within one callback of the event loop."""

    def __init__(self) -> None:
        self._memory = memoryview(bytearray(MAX_READ_BYTES))
        self.view = self._memory  # part of the buffer that the next read may fill

    def set_stream_count(self, streams: int) -> None:
        """Adapt the size of a read to the number of streams."""
        size = CROWDED_READ_BYTES if streams > CROWDED_STREAMS else MAX_READ_BYTES
        if len(self.view) != size:
            self.view = self._memory[:size]

    def is_filled_by(self, size: int) -> bool:
        """Whether a read of `size` bytes has filled the buffer, so that more bytes probably wait."""
        return size >= len(self.view)

    def take(self, size: int) -> bytes:
        """Return a copy of the first `size` bytes, which a read has filled."""
        return bytes(self._memory[:size])

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
