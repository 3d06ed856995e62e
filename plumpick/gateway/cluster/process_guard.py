"""Mutual exclusion of the processes of one gateway: one at a time is an acceptor and spends guaranteed
limits.

Two processes with the same gateway number, for example when one is started before the other has ended, would
both grant leases and both spend each guaranteed limit. The platform provides the guard and releases it when
its process ends, also after a crash."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

RETRY_S = 0.5


class ProcessGuard:
    """Acquires the platform's guard, with retries every RETRY_S while another process holds it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        acquire: Callable[[], Any],
        on_acquired: Callable[[], None],
    ) -> None:
        """`acquire()` returns the guard, an object with `close`, or None while another process holds it.
        `on_acquired()` is called when a retry succeeds, not when the first attempt does."""
        self._loop = loop
        self._acquire = acquire
        self._on_acquired = on_acquired
        self._guard: Any = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_held(self) -> bool:
        """Whether this process holds the guard."""
        return self._guard is not None

    def acquire(self) -> bool:
        """Try to acquire the guard; returns whether it is held. While it is not, a retry is scheduled."""
        self._timer = None
        self._guard = self._acquire()
        if self._guard is None:
            self._timer = self._loop.call_later(RETRY_S, self._retry)
        return self.is_held

    def _retry(self) -> None:
        if self.acquire():
            self._on_acquired()

    def release(self) -> None:
        """Release the guard, and cancel any retry."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._guard is not None:
            self._guard.close()
            self._guard = None
