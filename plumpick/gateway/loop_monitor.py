"""Tells when the event loop is late, and which requests were answered without an attempt meanwhile.

Such requests cost no worker anything, so that one client can send very many of them. There is one log line at
most in each REPORT_INTERVAL_MS, however many requests there are."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import IntEnum

from plumpick.gateway.clock import LATE_MS

MANY_ANSWERS = 5000  # number of answers without an attempt in one interval from which on they are reported
REPORT_INTERVAL_MS = 1000.0

log = logging.getLogger(__name__)


class ImmediateAnswer(IntEnum):
    """Why a request was answered without an attempt."""

    READINESS = 0
    INVALID = 1  # a complete request that is not valid
    UNREADABLE = 2  # malformed input, or a request that was refused while it was read
    EXPIRED = 3  # its time was over before it was its turn


class LoopMonitor:
    """Counts the answers without an attempt and reports the lateness of the event loop.

    `busiest_clients()`: text that names the connections with the most of these answers since the latest
    call."""

    def __init__(self, busiest_clients: Callable[[], str]) -> None:
        self.counts = [0] * len(ImmediateAnswer)
        self._busiest_clients = busiest_clients
        self._reported_counts = [0] * len(ImmediateAnswer)
        self._max_late_ms = 0.0  # largest delay of a sweep since the latest report
        self._late_sweeps = 0
        self._next_report_ms = 0.0

    def count(self, kind: ImmediateAnswer) -> None:
        """Count a request that was answered without an attempt."""
        self.counts[kind] += 1

    def sweep(self, now_ms: float, late_ms: float) -> None:
        """Report if the loop was late or answers were many; to be called in each sweep, which was due
        `late_ms` ago."""
        if late_ms >= LATE_MS:
            self._late_sweeps += 1
            self._max_late_ms = max(self._max_late_ms, late_ms)
        if now_ms < self._next_report_ms:
            return
        self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        counts = [count - before for count, before in zip(self.counts, self._reported_counts, strict=True)]
        self._reported_counts = list(self.counts)
        if self._late_sweeps or sum(counts) >= MANY_ANSWERS:
            log.warning(
                "event loop: late_ms=%.0f late_sweeps=%d answered_without_attempt=%s busiest=%s",
                self._max_late_ms,
                self._late_sweeps,
                ",".join(f"{kind.name.lower()}:{counts[kind]}" for kind in ImmediateAnswer),
                self._busiest_clients(),
            )
        self._late_sweeps = 0
        self._max_late_ms = 0.0
