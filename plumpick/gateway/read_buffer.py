"""The buffer into which all connections are read, one after the other. It bounds the bytes of one read: they
are received whole even if the connection they are forwarded to is full, so with many streams a read is
short."""

from __future__ import annotations

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

    def take(self, size: int) -> bytes:
        """Return a copy of the first `size` bytes, which a read has filled."""
        return bytes(self._memory[:size])
