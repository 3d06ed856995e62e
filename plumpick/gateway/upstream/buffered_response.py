"""The parts of a response's body that have been received and not been passed on. The memory of one that is
not complete is counted for the whole response before the rest of it is read."""

from __future__ import annotations

from plumpick.gateway.memory_budget import MemoryBudget, MemoryHolder
from plumpick.gateway.upstream.streaming_body import MAX_BUFFERED_BODY_BYTES, MAX_PARTS


class BufferedResponse:
    """The body of one response, as far as it is buffered."""

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._parts: list[bytes] = []
        self._size = 0  # number of bytes in `_parts`
        self._counted_bytes = 0

    def __len__(self) -> int:
        return self._size

    def append(self, part: bytes) -> None:
        """Add the next bytes of the body."""
        self._parts.append(part)
        self._size += len(part)

    def reserve(self, length: int) -> bool:
        """Count the memory of a response of `length` bytes (-1: unknown), once; returns False if there is too
        little. Many parts are joined, since a part costs more than its bytes."""
        if len(self._parts) > MAX_PARTS:
            self._parts = [b"".join(self._parts)]
        if self._counted_bytes:
            return True
        size = length if length >= 0 else MAX_BUFFERED_BODY_BYTES
        if not self._memory.reserve_response(size):
            return False
        self._counted_bytes = size
        return True

    def free_bytes(self) -> int:
        """Return how many further bytes are counted; 0 if none are."""
        return max(0, self._counted_bytes - self._size)

    def take(self) -> bytes:
        """Return the bytes and keep none."""
        parts = self._parts
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        self.clear()
        return body

    def clear(self) -> None:
        """Drop the bytes."""
        self._parts = []
        self._size = 0
        if self._counted_bytes:
            counted_bytes = self._counted_bytes
            self._counted_bytes = 0
            self._memory.release(MemoryHolder.RESPONSES, counted_bytes)
