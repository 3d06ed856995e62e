"""The parts of a response's body that have been received and not been passed on. Those of a response that is
not complete are counted in the memory budget."""

from __future__ import annotations

from plumpick.gateway.memory_budget import MemoryBudget, MemoryHolder
from plumpick.gateway.upstream.streaming_body import MAX_BUFFERED_BODY_BYTES, MAX_PARTS

# Size above which a response is streamed while the memory is exhausted.
EXHAUSTED_BUFFERED_BODY_BYTES = 8 * 1024


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

    def max_bytes(self) -> int:
        """Return the size above which a response should be streamed."""
        if self._memory.is_exhausted():
            return EXHAUSTED_BUFFERED_BODY_BYTES
        return MAX_BUFFERED_BODY_BYTES

    def count(self) -> None:
        """Count the bytes, as the response is not complete after a read. Many parts are joined, since a part
        costs more than its bytes."""
        if len(self._parts) > MAX_PARTS:
            self._parts = [b"".join(self._parts)]
        if self._size != self._counted_bytes:
            self._memory.add(MemoryHolder.RESPONSES, self._size - self._counted_bytes)
            self._counted_bytes = self._size

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
            self._memory.release(MemoryHolder.RESPONSES, self._counted_bytes)
            self._counted_bytes = 0
