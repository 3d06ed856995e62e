"""Schedule of the demand reports that a gateway sends to allocators.

While demand exceeds a budget everywhere, requests are rejected continuously. If each rejection caused a
report, the reports would use up the message rate that peers accept, and crowd out the messages that renew
leases. Therefore each early report doubles the pause before the next early one, until a regular report has
been sent without any early one being requested."""

from __future__ import annotations

import math
from random import Random

REPORT_INTERVAL_RATIO = 0.25  # regular time between two reports, as a ratio of the grant term
MIN_REPORT_INTERVAL_MS = 100.0  # minimum time between two reports
MAX_REPORTS_PER_S = 30.0  # maximum rate of reports that one gateway receives from all others together


class ReportSchedule:
    """Determines when the next demand reports of a gateway are due; shared by all of its budgets."""

    def __init__(self, gateways: int, grant_term_ms: float, rng: Random) -> None:
        self._rng = rng
        self._min_interval_ms = max(MIN_REPORT_INTERVAL_MS, 1000 * gateways / MAX_REPORTS_PER_S)
        self._interval_ms = max(self._min_interval_ms, REPORT_INTERVAL_RATIO * grant_term_ms)
        self._early_interval_ms = self._min_interval_ms  # minimum pause before an early report
        self._is_early = False
        self.last_report_ms = -math.inf
        self.next_ms = math.inf

    def report_at_once(self, now_ms: float) -> None:
        """Make a report due immediately, for example after a hint that names another allocator."""
        self.next_ms = min(self.next_ms, now_ms)

    def report_early(self, now_ms: float) -> None:
        """Make a report due before its regular time, but not before the minimum pause for early reports."""
        self.next_ms = min(self.next_ms, max(now_ms, self.last_report_ms + self._early_interval_ms))
        self._is_early = True

    def on_demand_began(self, now_ms: float) -> None:
        """Make a report due immediately because demand beyond a guaranteed limit has begun, and reset the
        pause before early reports to its minimum."""
        self.report_at_once(now_ms)
        self._early_interval_ms = self._min_interval_ms

    def begin_reports(self, now_ms: float) -> None:
        """Record that reports are sent now. If they were early, the pause before the next early report
        doubles, up to the regular interval; otherwise it returns to its minimum."""
        self.next_ms = math.inf
        self.last_report_ms = now_ms
        if self._is_early:
            self._early_interval_ms = min(2 * self._early_interval_ms, self._interval_ms)
        else:
            self._early_interval_ms = self._min_interval_ms
        self._is_early = False

    def schedule_next(self, now_ms: float) -> None:
        """Schedule the next report after the regular interval, with jitter."""
        self.next_ms = now_ms + self._interval_ms * self._rng.uniform(0.9, 1.1)

    def stop(self) -> None:
        """Cancel the next report, so that none is sent until another one is requested."""
        self.next_ms = math.inf
