"""The gateway's clock and timers. An exception in a timer's callback propagates to the event loop; the other
timers still fire."""

from __future__ import annotations

import asyncio
import heapq
import math
import time
from collections.abc import Callable

LATE_MS = 20.0  # delay of a timer or a sweep from which on the event loop counts as late
# Iterations of the event loop that a late timeout waits for: a connection that was established meanwhile
# takes as many until its attempt knows.
LATE_TIMEOUT_ITERATIONS = 4
MIN_COMPACTED_TIMERS = 1024  # number of timers up to which cancelled ones are not looked for


class Clock:
    """Unix time in milliseconds that never goes back: the system time is read once, and the monotonic clock
    is added, so that later changes of the system time have no effect."""

    def __init__(self) -> None:
        self._base_ms = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """Milliseconds since 1970."""
        return self._base_ms + time.monotonic() * 1000


class Timer:
    """A callback to be called at a later time unless cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        # The callback; None once the timer is cancelled or has fired.
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevent the callback from being called; does nothing if it has been called."""
        self.callback = None


class Timers:
    """All timers of the gateway, in a heap behind a single timer of the event loop. Most timers never fire,
    so setting and cancelling them is kept cheap: a cancelled timer stays in the heap until its time, or until
    the heap has doubled since cancelled ones were last removed."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._loop = loop
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._compact_above = MIN_COMPACTED_TIMERS
        self._serial = 0
        self._handle: asyncio.TimerHandle | None = None
        self._armed_ms = math.inf
        self._firing_ms = -math.inf  # time up to which due callbacks are being called; -inf otherwise

    def call_at(self, when_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule the callback for the clock time `when_ms` or soon after, never earlier.

        Scheduled by a callback, it is called in a later iteration of the event loop even if it is due."""
        if when_ms <= self._firing_ms:
            when_ms = math.nextafter(self._firing_ms, math.inf)
        self._serial += 1
        timer = Timer(callback)
        heapq.heappush(self._heap, (when_ms, self._serial, timer))
        if len(self._heap) > self._compact_above:
            self._remove_cancelled()
        if when_ms < self._armed_ms:
            self._arm(when_ms)
        return timer

    def timeout_at(self, when_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule the callback for the end of a wait. If the event loop was held up, events that are ready
        come first: what was waited for may have happened in time, and cancels the timeout."""

        def fire() -> None:
            if self._clock.now() - when_ms < LATE_MS:
                callback()
                return
            timer.callback = callback
            self._fire_after(LATE_TIMEOUT_ITERATIONS, timer)

        timer = self.call_at(when_ms, fire)
        return timer

    def _fire_after(self, iterations: int, timer: Timer) -> None:
        """Fire a timer after so many iterations of the event loop, unless it is cancelled meanwhile."""
        callback = timer.callback
        if callback is None:
            return
        if iterations:
            self._loop.call_soon(self._fire_after, iterations - 1, timer)
            return
        timer.callback = None
        callback()

    def _remove_cancelled(self) -> None:
        """Remove the cancelled timers from the heap; the order of the others does not change."""
        self._heap[:] = [entry for entry in self._heap if entry[2].callback is not None]
        heapq.heapify(self._heap)
        self._compact_above = max(MIN_COMPACTED_TIMERS, 2 * len(self._heap))

    def _arm(self, when_ms: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed_ms = when_ms
        # The event loop counts whole milliseconds from the start of its iteration: rounding up avoids firing
        # early.
        delay_ms = math.ceil(max(0.0, when_ms - self._clock.now()))
        self._handle = self._loop.call_later(delay_ms / 1000, self._fire)

    def _fire(self) -> None:
        self._handle = None
        self._armed_ms = -math.inf  # prevents arming of the timer while the due callbacks run
        now = self._clock.now()
        self._firing_ms = now
        heap = self._heap
        try:
            while heap and heap[0][0] <= now:
                timer = heapq.heappop(heap)[2]
                callback = timer.callback
                timer.callback = None  # breaks the reference cycle if the callback refers to its timer
                if callback is not None:
                    callback()
        finally:
            self._firing_ms = -math.inf
            while heap and heap[0][2].callback is None:
                heapq.heappop(heap)
            self._armed_ms = math.inf
            if heap:
                self._arm(heap[0][0])
