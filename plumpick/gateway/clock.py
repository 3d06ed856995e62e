"""The gatekeeper's clock and its timers."""

from __future__ import annotations

import asyncio
import heapq
import math
import time
from collections.abc import Callable


class Clock:
    """Unix time in milliseconds, read once; from then on it only advances, whatever is set on the machine."""

    def __init__(self) -> None:
        self._base_ms = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        return self._base_ms + time.monotonic() * 1000


class Timer:
    """One thing to do later, unless it is cancelled before."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Timers:
    """All timers of the gatekeeper on one timer of the loop: most never fire, and setting them is cheap."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._loop, self._clock = loop, clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._serial = 0
        self._handle: asyncio.TimerHandle | None = None
        self._armed_ms = math.inf

    def at(self, when_ms: float, call: Callable[[], None]) -> Timer:
        """Call at that time of the clock or soon after, never before."""
        self._serial += 1
        timer = Timer(call)
        heapq.heappush(self._heap, (when_ms, self._serial, timer))
        if when_ms < self._armed_ms:
            self._arm(when_ms)
        return timer

    def _arm(self, when_ms: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed_ms = when_ms
        # The loop's timers count whole milliseconds from when its turn began: rounded up, none is early.
        delay_ms = math.ceil(max(0.0, when_ms - self._clock.now()))
        self._handle = self._loop.call_later(delay_ms / 1000, self._fire)

    def _fire(self) -> None:
        self._handle, self._armed_ms = None, -math.inf  # no arming while the due ones are called
        now, heap = self._clock.now(), self._heap
        try:
            while heap and heap[0][0] <= now:
                timer = heapq.heappop(heap)[2]
                call, timer.call = timer.call, None  # what it calls may hold the timer in turn
                if call is not None:
                    call()
        finally:
            while heap and heap[0][2].call is None:
                heapq.heappop(heap)
            self._armed_ms = math.inf
            if heap:
                self._arm(heap[0][0])
