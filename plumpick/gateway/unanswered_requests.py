"""Record of the requests that ended without a complete response: a count by reason, and log lines.

A request that its client has given up, by closing the connection, is not recorded."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from enum import Enum

from plumpick.gateway.memory_budget import MemoryBudget

LINES_PER_PERIOD = 20  # maximum number of log lines in each period
PERIOD_MS = 1000.0

log = logging.getLogger(__name__)


class EndReason(Enum):
    """Why a request, or the connection with it, ended."""

    CLIENT_LEFT = "client-left"
    EVICTED = "evicted"  # the connection was closed for others, as there were too many
    CLOSED_BEFORE = "closed-before"  # an earlier response on the connection closed it
    RESPONSE_UNREAD = "response-unread"  # the client did not take its response in time
    RESPONSE_BROKEN_OFF = "response-broken-off"  # the worker did not complete a response that had begun
    PROCESS_EXIT = "process-exit"


class UnansweredRequests:
    """Counts and logs the requests without a complete response. `now` returns the current time in ms."""

    def __init__(self, memory: MemoryBudget, now: Callable[[], float]) -> None:
        self.counts = dict.fromkeys(EndReason, 0)
        self._memory = memory
        self._now = now
        self._period_start_ms = 0.0
        self._lines_left = LINES_PER_PERIOD
        self._unlogged = 0  # number of requests without a line since the latest one

    def record(
        self, reason: EndReason, client_ids: Iterable[bytes], worker_id: str = "", result: str = ""
    ) -> None:
        """Record the requests with these x-request-id values; does nothing if their clients have left.

        `worker_id`, `result`: the worker of the attempt that has ended, and its result."""
        if reason is EndReason.CLIENT_LEFT:
            return
        for client_id in client_ids:
            self.counts[reason] += 1
            if self._may_log():
                log.warning(
                    "request %s ended without a complete response: reason=%s worker=%s result=%s level=%s "
                    "used_kb=%d count=%d unlogged=%d",
                    client_id.decode("ascii", "replace"),
                    reason.value,
                    worker_id or "-",
                    result or "-",
                    self._memory.level.name.lower(),
                    self._memory.used_bytes // 1024,
                    sum(self.counts.values()),
                    self._unlogged,
                )
                self._unlogged = 0

    def _may_log(self) -> bool:
        now = self._now()
        if now - self._period_start_ms >= PERIOD_MS:
            self._period_start_ms = now
            self._lines_left = LINES_PER_PERIOD
        if self._lines_left:
            self._lines_left -= 1
            return True
        self._unlogged += 1
        return False
