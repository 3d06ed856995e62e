"""When this gateway reports its demand to allocators.

Where all want more than there is, requests are rejected all the time. If each rejection led to a report, as
many as a peer accepts, they would crowd out the messages that renew leases. So each early report is followed
by a longer pause, until none was needed."""

from __future__ import annotations

import math
from random import Random

REPORT_INTERVAL_RATIO = 0.25  # of a grant term, between two reports
MIN_REPORT_INTERVAL_MS = 100.0
MAX_REPORTS_PER_S = 30.0  # to one gateway, from all others together


class ReportSchedule:
    """Decides when the next reports are due; one schedule serves all budgets of a gateway."""

    def __init__(self, gateways: int, grant_term_ms: float, rng: Random) -> None:
        self._rng = rng
        self._min_interval_ms = max(MIN_REPORT_INTERVAL_MS, 1000 * gateways / MAX_REPORTS_PER_S)
        self._interval_ms = max(self._min_interval_ms, REPORT_INTERVAL_RATIO * grant_term_ms)
        self._early_interval_ms = self._min_interval_ms  # the shortest pause before an early report
        self._is_early = False
        self.last_report_ms = -math.inf
        self.next_ms = math.inf

    def report_at_once(self, now_ms: float) -> None:
        """Something new is known about whom to ask."""
        self.next_ms = min(self.next_ms, now_ms)

    def report_early(self, now_ms: float) -> None:
        """Report before the regular time, after the pause that early reports must keep."""
        self.next_ms = min(self.next_ms, max(now_ms, self.last_report_ms + self._early_interval_ms))
        self._is_early = True

    def on_demand_began(self, now_ms: float) -> None:
        """Demand for a budget beyond its guaranteed limit began: report at once, and pause briefly."""
        self.report_at_once(now_ms)
        self._early_interval_ms = self._min_interval_ms

    def begin_reports(self, now_ms: float) -> None:
        """Reports are made now; the pause before an early one doubles, up to the regular one, where these
        were early."""
        self.next_ms = math.inf
        self.last_report_ms = now_ms
        if self._is_early:
            self._early_interval_ms = min(2 * self._early_interval_ms, self._interval_ms)
        else:
            self._early_interval_ms = self._min_interval_ms
        self._is_early = False

    def schedule_next(self, now_ms: float) -> None:
        """Report again after the regular pause, with jitter."""
        self.next_ms = now_ms + self._interval_ms * self._rng.uniform(0.9, 1.1)

    def stop(self) -> None:
        """Report no more."""
        self.next_ms = math.inf
