"""The gateway's clock and its timers. An error of a callback goes to the event loop; other timers go on."""

from __future__ import annotations

import asyncio
import heapq
import math
import time
from collections.abc import Callable


class Clock:
    """Unix time in milliseconds, read once; from then on it only advances, also if the machine's is set."""

    def __init__(self) -> None:
        self._base_ms = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """Milliseconds since 1970."""
        return self._base_ms + time.monotonic() * 1000


class Timer:
    """A callback that is due later, unless it is cancelled before."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback  # None: cancelled, or fired

    def cancel(self) -> None:
        """It does not fire; nothing happens if it has."""
        self.callback = None


class Timers:
    """All timers of the gateway on one timer of the loop: most never fire, and setting them is cheap."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._loop = loop
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._serial = 0
        self._handle: asyncio.TimerHandle | None = None
        self._armed_ms = math.inf

    def at(self, when_ms: float, callback: Callable[[], None]) -> Timer:
        """Call at that time of the clock or soon after, never before."""
        self._serial += 1
        timer = Timer(callback)
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
        self._handle = None
        self._armed_ms = -math.inf  # no arming while the due ones are called
        now = self._clock.now()
        heap = self._heap
        try:
            while heap and heap[0][0] <= now:
                timer = heapq.heappop(heap)[2]
                callback = timer.callback
                timer.callback = None  # it may refer to the timer in turn
                if callback is not None:
                    callback()
        finally:
            while heap and heap[0][2].callback is None:
                heapq.heappop(heap)
            self._armed_ms = math.inf
            if heap:
                self._arm(heap[0][0])
