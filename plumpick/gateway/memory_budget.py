"""The account of the memory that peers can make this process hold: counters by holder, and their bounds.

A holder counts bytes before or while it buffers them, and releases them when they are gone. What may be
refused is refused above a ceiling on the sum of all holders: streamed requests first, then buffered bodies,
then small requests. A body that is announced, and a response, wait for memory in order of arrival; they are
not read meanwhile. Responses have some memory of their own, so that requests that hold all of the rest can be
answered. What can't wait is counted beyond the ceilings; its buffers shrink with the level instead."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol


class MemoryHolder(IntEnum):
    """Who holds the bytes."""

    REQUESTS = 0  # requests with their buffered bodies, from the first byte to the final response
    STREAMS = 1  # shares of streamed request and response bodies
    RESPONSES = 2  # buffered responses, until they are complete and the kernel has them


class MemoryLevel(IntEnum):
    """How much of the memory is used, which determines the size of buffers."""

    NORMAL = 0
    CROWDED = 1
    EXHAUSTED = 2


# Ceilings on the sum of all holders, as shares of the total, above which bytes are refused.
UPLOAD_CEILING_RATIO = 0.5
BODY_CEILING_RATIO = 0.75
SMALL_REQUEST_CEILING_RATIO = 0.9
# Memory for responses that requests can't use: a share of the total, at least so many bytes.
RESPONSE_RATIO = 0.25
MIN_RESPONSE_BYTES = 256 * 1024
# Shares of the total from which the levels begin. EXHAUSTED begins where bodies are refused.
CROWDED_RATIO = 0.25
EXHAUSTED_RATIO = 0.75
SMALL_REQUEST_BYTES = 4 * 1024  # size up to which a request is small

BYTES_PER_MB = 1024 * 1024


class MemoryWaiter(Protocol):
    """A connection that waits for memory."""

    def take_memory(self) -> bool:
        """Count the memory that was waited for and read on, or return False if there is still too little.
        Must not release any."""


class MemoryBudget:
    """Counts the bytes of all holders against one total."""

    def __init__(self, total_bytes: int) -> None:
        self.used_bytes = 0
        self.peak_bytes = 0  # largest sum so far
        self.held_bytes = [0] * len(MemoryHolder)
        self.peak_held_bytes = [0] * len(MemoryHolder)
        self.refused_counts = [0] * len(MemoryHolder)
        self.level = MemoryLevel.NORMAL
        self._waiting_responses: dict[MemoryWaiter, None] = {}
        self._waiting_requests: dict[MemoryWaiter, None] = {}
        self.total_bytes = 0
        self.set_total(total_bytes)

    def set_total(self, total_bytes: int, small_request_bytes: int = 0) -> None:
        """Change the total; what is held already stays. `small_request_bytes`: memory beyond the total that
        small requests may use."""
        self.total_bytes = total_bytes
        self.upload_ceiling = int(total_bytes * UPLOAD_CEILING_RATIO)
        self.body_ceiling = int(total_bytes * BODY_CEILING_RATIO)
        self.small_request_ceiling = int(total_bytes * SMALL_REQUEST_CEILING_RATIO) + small_request_bytes
        self.response_bytes = max(MIN_RESPONSE_BYTES, int(total_bytes * RESPONSE_RATIO))
        self._crowded_bytes = int(total_bytes * CROWDED_RATIO)
        self._exhausted_bytes = int(total_bytes * EXHAUSTED_RATIO)
        self._update_level()
        self._serve_waiting()

    def _update_level(self) -> None:
        if self.used_bytes < self._crowded_bytes:
            self.level = MemoryLevel.NORMAL
        elif self.used_bytes < self._exhausted_bytes:
            self.level = MemoryLevel.CROWDED
        else:
            self.level = MemoryLevel.EXHAUSTED

    # -- counting

    def add(self, holder: MemoryHolder, size: int) -> None:
        """Count bytes that are held already or can't be refused."""
        self.used_bytes += size
        held_bytes = self.held_bytes[holder] + size
        self.held_bytes[holder] = held_bytes
        self.peak_held_bytes[holder] = max(held_bytes, self.peak_held_bytes[holder])
        self.peak_bytes = max(self.used_bytes, self.peak_bytes)
        self._update_level()

    def release(self, holder: MemoryHolder, size: int) -> None:
        """No longer count bytes that were counted."""
        self.used_bytes -= size
        self.held_bytes[holder] -= size
        self._update_level()
        if self._waiting_responses or self._waiting_requests:
            self._serve_waiting()

    def reserve_request(self, held: int, size: int) -> bool:
        """Count `size` further bytes of a request for which `held` bytes are counted, unless they exceed the
        ceiling; returns whether they are counted."""
        is_small = held + size <= SMALL_REQUEST_BYTES
        if not is_small and self._waiting_requests:
            return False
        return self.reserve_request_that_waited(held, size)

    def reserve_request_that_waited(self, held: int, size: int) -> bool:
        """Count further bytes of a request, as `reserve_request`, but ahead of those that wait."""
        is_small = held + size <= SMALL_REQUEST_BYTES
        ceiling = self.small_request_ceiling if is_small else self.body_ceiling
        if self.used_bytes + size > ceiling:
            return False
        self.add(MemoryHolder.REQUESTS, size)
        return True

    def reserve_received_request(self, size: int) -> bool:
        """Count further bytes of a request that was read whole; returns False if there is no memory even for
        a small one."""
        if self.used_bytes + size > self.small_request_ceiling:
            return False
        self.add(MemoryHolder.REQUESTS, size)
        return True

    def reserve_response(self, size: int) -> bool:
        """Count `size` bytes of a response that is to be buffered, unless there is too little memory; returns
        whether they are counted."""
        has_own = self.held_bytes[MemoryHolder.RESPONSES] + size <= self.response_bytes
        if self.used_bytes + size > self.total_bytes and not has_own:
            return False
        self.add(MemoryHolder.RESPONSES, size)
        return True

    def add_received(self, size: int) -> None:
        """Count bytes of requests that were received already."""
        self.add(MemoryHolder.REQUESTS, size)

    # -- waiting for memory

    def wait_for_response(self, waiter: MemoryWaiter) -> None:
        """Have a connection wait for the memory of a response."""
        self._waiting_responses[waiter] = None

    def wait_for_request(self, waiter: MemoryWaiter) -> None:
        """Have a connection wait for the memory of a request, behind the responses."""
        self._waiting_requests[waiter] = None

    def stop_waiting(self, waiter: MemoryWaiter) -> None:
        """Forget a connection that waits, if it does."""
        self._waiting_responses.pop(waiter, None)
        self._waiting_requests.pop(waiter, None)

    def _serve_waiting(self) -> None:
        for table in (self._waiting_responses, self._waiting_requests):
            for waiter in list(table):
                if not waiter.take_memory():
                    break
                table.pop(waiter, None)

    # -- refusals

    def count_refused_request(self) -> None:
        """Count a request that was refused."""
        self.refused_counts[MemoryHolder.REQUESTS] += 1

    def count_refused_upload(self) -> None:
        """Count a streamed request that was refused."""
        self.refused_counts[MemoryHolder.STREAMS] += 1

    def release_request(self, size: int) -> None:
        """No longer count bytes of a request that has ended."""
        self.release(MemoryHolder.REQUESTS, size)

    def add_unread(self, size: int) -> None:
        """Count response bytes that the kernel has not taken; below 0 if it has taken some."""
        self.add(MemoryHolder.RESPONSES, size)

    def is_exhausted(self) -> bool:
        """Whether buffers are to be small, and what has stopped gives way."""
        return self.level == MemoryLevel.EXHAUSTED
