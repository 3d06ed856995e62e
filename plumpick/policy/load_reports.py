"""Load reports of endpoints: the load of each one, and the idleness of all of them together."""

from __future__ import annotations

import math

from plumpick.policy.endpoint_state import TrackedEndpoint

# Number of attempts in flight assumed at full CPU use, for endpoints that do not report attempts in flight
FULL_USE_ATTEMPTS = 2.0
IDLE_BELOW_USE = 0.9  # CPU use (0 to 1) below which endpoints count as partly idle
IDLE_FULLY_USE = 0.6  # CPU use (0 to 1) at and below which endpoints count as fully idle
USE_MEMORY_MS = 300.0  # time constant of the mean CPU use
MIN_USE_GAIN = 0.05  # minimum weight of a new report in the mean CPU use
MAX_AGE_MS = 2000.0  # age of the last report from which the idleness counts as unknown
UTILIZATION = "util"  # name in the settings of the load report field with the CPU use
IN_FLIGHT = "inflight"  # name in the settings of the load report field with the attempts in flight


class LoadReports:
    """Keeps the mean CPU use of the endpoints, from 0 to 1. `fields`: names of a report's fields."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        self.fields = fields
        self.use_ratio = 1.0
        self.reported_ms = -math.inf

    def record(self, now_ms: float, tracked: TrackedEndpoint, report: tuple[float, ...]) -> None:
        """Record the load report that came with the answer to an attempt."""
        values = dict(zip(self.fields, report, strict=False))
        load = FULL_USE_ATTEMPTS * max(0.0, min(1.0, values.get(UTILIZATION, 0.0)))
        if IN_FLIGHT in values:
            tracked.foreign_load = max(0.0, values[IN_FLIGHT] - tracked.in_flight)
        else:
            tracked.foreign_load = load
        tracked.load_report_ms = now_ms
        if UTILIZATION in values:
            age = (self.reported_ms - now_ms) / USE_MEMORY_MS
            gain = max(MIN_USE_GAIN, -math.expm1(max(-50.0, age)))
            self.use_ratio += (load / FULL_USE_ATTEMPTS - self.use_ratio) * gain
            self.reported_ms = now_ms

    def idle_ratio(self, now_ms: float) -> float:
        """Idleness of the endpoints by their reports, from 0 (busy or unknown) to 1 (idle)."""
        if now_ms - self.reported_ms > MAX_AGE_MS:
            return 0.0
        idle = (IDLE_BELOW_USE - self.use_ratio) / (IDLE_BELOW_USE - IDLE_FULLY_USE)
        return max(0.0, min(1.0, idle))
