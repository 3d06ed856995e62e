"""One process of a gateway at a time votes on leases and spends the budgets' guaranteed limits.

Two processes with one gateway's number, as when one is started before the other has ended, would both grant
leases and both spend each guaranteed limit. The guard is the platform's: it ends with its process, however
that ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

RETRY_S = 0.5


class ProcessGuard:
    """Holds the guard, or retries until it can; owns one timer."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        acquire: Callable[[], Any],
        on_acquired: Callable[[], None],
    ) -> None:
        """`acquire` gives an object with `close`, or None while another process has it; `on_acquired` is
        called for a retry that succeeds."""
        self._loop = loop
        self._acquire = acquire
        self._on_acquired = on_acquired
        self._guard: Any = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_held(self) -> bool:
        """Whether this process is the one."""
        return self._guard is not None

    def acquire(self) -> bool:
        """Try now; where another process has the guard, again after RETRY_S, and so on."""
        self._timer = None
        self._guard = self._acquire()
        if self._guard is None:
            self._timer = self._loop.call_later(RETRY_S, self._retry)
        return self.is_held

    def _retry(self) -> None:
        if self.acquire():
            self._on_acquired()

    def release(self) -> None:
        """Let another process have it, and retry no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._guard is not None:
            self._guard.close()
            self._guard = None
