"""The adaptive limit of attempts in flight at this gateway.

The limit is the number in flight, by Little's law, at which attempts spend ENDPOINT_TIME_RATIO of their
latency objective at endpoints: rate of answers times that time. It starts at INITIAL_PER_ENDPOINT attempts
per ready endpoint, is at most MAX_GROWTH_RATIO times the recent peak and is cut while endpoints reject
attempts. Overdue attempts are partly written off, that is, no longer counted. admission.py decides about
single requests."""

from __future__ import annotations

import math
from dataclasses import dataclass

PERIOD_MS = 100.0  # interval between updates of the limit, the class shares and decaying statistics

INITIAL_PER_ENDPOINT = 12.0  # initial limit per ready endpoint, summed over all gateways
# Minimum limit per ready endpoint, summed over all gateways. With a lower one, slow answers would keep the
# limit low permanently.
MIN_PER_ENDPOINT = 5.0
ENDPOINT_TIME_RATIO = 0.25  # mean time at endpoints that the limit aims at, as a fraction of the objective
MAX_GROWTH_RATIO = 2.0  # maximum of the limit as a multiple of the recent peak
REJECTED_RATIO = 0.15  # fraction of attempts rejected by endpoints above which the limit is cut
BACKOFF_RATIO = 0.75  # factor by which the limit is cut in a period with too many rejected attempts
MIN_BACKOFF_FACTOR = 0.3
RECOVERY_RATIO = 1.05  # factor by which the limit recovers in a period without too many rejected attempts
RATE_MEMORY_MS = 1000.0  # time constant of decaying means and peaks
BURST_ATTEMPTS = 1.5  # number of attempts by which a burst may exceed the limit
# Excess of the mean in flight over the limit at which bursts are no longer allowed, in square roots of the
# limit: the statistical scatter of a small count
BURST_SPREAD = 1.0
MIN_LIMIT = 1.0  # minimum limit; below one attempt, chance arrivals rather than load would reach the limit
MIN_SAMPLES = 5  # number of samples below which statistics of this gateway alone are not relied on
PEER_CAPACITY_GAIN = 0.1  # smoothing factor of the capacities reported by other gateways
# Maximum of the written-off attempts, as a fraction of the limit, in addition to the recently answered ones
MAX_WRITE_OFF_RATIO = 1.0
ANSWERED_MEMORY_MS = 3000.0  # time constant of the count of recently answered attempts

# Fields passed to the next process of this gateway, in the order of the snapshot's row
SNAPSHOT_FIELDS = (
    "recent_peak",
    "backoff_factor",
    "capacity",
    "fleet_capacity",
    "answered",
    "rejected",
    "completed",
    "mean_in_flight",
)


@dataclass(slots=True, eq=False)
class ConcurrencyLimit:
    """The limit and the statistics that determine it. Counts are in attempts and decay over time."""

    gateway_count: int
    in_flight: float = 0.0  # number of attempts in flight, without the written-off parts
    written_off: float = 0.0  # sum of the written-off parts of attempts in flight
    recent_peak: float = 0.0  # decaying maximum of `in_flight`
    backoff_factor: float = 1.0  # factor by which the limit is cut after rejected attempts
    answered_objectives_ms: float = 0.0  # sum of the objectives of the attempts answered in this period
    rejected: float = 0.0  # decaying count of attempts that endpoints rejected
    completed: float = 0.0  # decaying count of all completed attempts
    answered: float = 0.0  # decaying count of answered attempts
    idle_ratio: float = 0.0  # idleness of the endpoints from 0 (busy or unknown) to 1
    capacity: float = 0.0  # number in flight that matches the rate of answers, over all classes
    fleet_capacity: float = 0.0  # mean of the capacities that other gateways report
    mean_in_flight: float = 0.0  # decaying mean of `in_flight`
    mean_updated_ms: float = 0.0  # time of the last update of `mean_in_flight`
    limit: float = 0.0  # maximum number of attempts in flight in this period

    def add_in_flight(self, now_ms: float, change: float) -> None:
        """Add `change` attempts to those in flight; negative for attempts that end."""
        weight = -math.expm1((self.mean_updated_ms - now_ms) / RATE_MEMORY_MS)
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * weight
        self.mean_updated_ms = now_ms
        self.in_flight = self.in_flight + change

    def on_period(self, now_ms: float, ready_endpoints: float) -> None:
        """Update the statistics and the limit; called once per PERIOD_MS. `ready_endpoints`: number of ready
        endpoints, where one in slow start counts in part."""
        keep = math.exp(-PERIOD_MS / RATE_MEMORY_MS)
        answered_ratio = self.answered_objectives_ms * ENDPOINT_TIME_RATIO / PERIOD_MS
        self.capacity = self.capacity * keep + answered_ratio * (1 - keep)
        self.add_in_flight(now_ms, 0)
        self.recent_peak = max(float(self.in_flight), self.recent_peak * keep)
        if self.is_overloaded():
            self.backoff_factor = max(MIN_BACKOFF_FACTOR, self.backoff_factor * BACKOFF_RATIO)
        else:
            self.backoff_factor = min(1.0, self.backoff_factor * RECOVERY_RATIO)
        self.answered_objectives_ms = 0.0
        self.rejected = self.rejected * keep * keep
        self.completed = self.completed * keep * keep
        self.answered *= math.exp(-PERIOD_MS / ANSWERED_MEMORY_MS)
        self.update_limit(ready_endpoints)

    def is_overloaded(self) -> bool:
        """Whether endpoints reject more than REJECTED_RATIO of the attempts. A single endpoint among many
        that rejects everything stays below that."""
        return self.rejected > REJECTED_RATIO * self.completed

    def update_limit(self, ready_endpoints: float) -> None:
        """Set the limit to the measured capacity, bounded by its floor and a multiple of the recent peak."""
        own_endpoints = ready_endpoints / self.gateway_count  # this gateway's part of the ready endpoints
        # With few answers of its own, this gateway relies on the capacity that others report.
        missing = max(0.0, self.fleet_capacity - self.capacity)
        capacity = self.capacity + missing * MIN_SAMPLES / (MIN_SAMPLES + self.completed)
        highest = MAX_GROWTH_RATIO * max(self.recent_peak, INITIAL_PER_ENDPOINT * own_endpoints)
        # If the endpoints report that they are idle, they are not the cause of missing answers. The floor
        # then rises to the initial limit; otherwise a low limit would cause few answers and so stay low.
        floor = MIN_PER_ENDPOINT + (INITIAL_PER_ENDPOINT - MIN_PER_ENDPOINT) * self.idle_ratio
        self.limit = max(
            floor * own_endpoints * self.backoff_factor, min(capacity * self.backoff_factor, highest)
        )
        if not capacity:
            self.limit = INITIAL_PER_ENDPOINT * own_endpoints * self.backoff_factor
        lowest = min(MIN_LIMIT, INITIAL_PER_ENDPOINT * own_endpoints) * self.backoff_factor
        self.limit = max(self.limit, lowest)

    def observe_peer(self, capacity: float, ready_endpoints: float) -> None:
        """Record another gateway's reported capacity, up to the maximum possible at this gateway."""
        highest = MAX_GROWTH_RATIO * INITIAL_PER_ENDPOINT * ready_endpoints / self.gateway_count
        self.fleet_capacity += (min(capacity, highest) - self.fleet_capacity) * PEER_CAPACITY_GAIN

    def write_off(self, now_ms: float, part: float) -> float:
        """Stop counting `part` (0 to 1) of an overdue attempt, or as much of it as is allowed; returns the
        part written off. Should all attempts be overdue, the limit is exceeded by no more than
        MAX_WRITE_OFF_RATIO of it plus the number of recently answered attempts."""
        allowed = MAX_WRITE_OFF_RATIO * self.limit + self.answered - self.written_off
        part = max(0.0, min(part, allowed))
        self.written_off += part
        self.add_in_flight(now_ms, -part)
        return part

    def available(self) -> float:
        """Number of attempts that may start now. A chance burst may exceed the limit while the mean is within
        it, because at one or two requests per second the limit can be below one."""
        typical = self.limit + BURST_SPREAD * math.sqrt(self.limit)
        burst = BURST_ATTEMPTS if self.mean_in_flight < typical else 0.0
        return self.limit + burst - self.in_flight
