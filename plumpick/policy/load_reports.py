"""What endpoints say of their load: on each one, and how idle all of them are."""

from __future__ import annotations

import math

from plumpick.policy.endpoint_state import TrackedEndpoint

FULL_USE_LOAD = 2.0  # attempts that full use of its cores counts as, where an endpoint does not tell attempts
IDLE_BELOW_USE = 0.9  # use of cores from which on endpoints count as idle in part,
IDLE_FULLY_USE = 0.6  # and as idle altogether
USE_MEMORY_MS = 300.0
MIN_USE_GAIN = 0.05
MAX_AGE_MS = 2000.0  # without a report for so long nothing is known
UTILIZATION = "util"  # fields of a load report, as the settings name them
IN_FLIGHT = "inflight"


class LoadReports:
    """The mean use of the endpoints' cores, from 0 to 1. `fields`: of a report, in their order."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        self.fields = fields
        self.use_ratio = 1.0
        self.reported_ms = -math.inf

    def record(self, now_ms: float, tracked: TrackedEndpoint, report: tuple[float, ...]) -> None:
        """An attempt brought a load report."""
        values = dict(zip(self.fields, report, strict=False))
        load = FULL_USE_LOAD * max(0.0, min(1.0, values.get(UTILIZATION, 0.0)))
        if IN_FLIGHT in values:
            tracked.foreign_load = max(0.0, values[IN_FLIGHT] - tracked.in_flight)
        else:
            tracked.foreign_load = load
        tracked.load_report_ms = now_ms
        if UTILIZATION in values:
            age = (self.reported_ms - now_ms) / USE_MEMORY_MS
            gain = max(MIN_USE_GAIN, -math.expm1(max(-50.0, age)))
            self.use_ratio += (load / FULL_USE_LOAD - self.use_ratio) * gain
            self.reported_ms = now_ms

    def idle_ratio(self, now_ms: float) -> float:
        """How idle the endpoints say they are, from 0 (also where nothing is known) to 1."""
        if now_ms - self.reported_ms > MAX_AGE_MS:
            return 0.0
        idle = (IDLE_BELOW_USE - self.use_ratio) / (IDLE_BELOW_USE - IDLE_FULLY_USE)
        return max(0.0, min(1.0, idle))
