"""The limit of attempts in flight at this gateway, and what of overdue attempts it no longer counts.

The limit lets the endpoints spend a part of each class's latency objective: the rate of answers times that
time is in flight. It starts at a few attempts a ready endpoint, rises to twice the recent peak at most and is
cut while endpoints reject. It decides nothing about single requests (admission.py does)."""

from __future__ import annotations

import math
from dataclasses import dataclass

PERIOD_MS = 100.0  # one step of the limit, the shares and all that fades

INITIAL_PER_ENDPOINT = 12.0  # attempts for each ready endpoint, over all gateways, until answers tell more
MIN_PER_ENDPOINT = 5.0  # over all gateways: with fewer, slow answers would keep the limit low for good
ENDPOINT_TIME_RATIO = 0.25  # of an objective that attempts may spend at endpoints on average
MAX_GROWTH_RATIO = 2.0  # times the recent peak
REJECTED_RATIO = 0.15  # of attempts rejected by endpoints, above which the limit is cut
BACKOFF_RATIO = 0.75
MIN_BACKOFF_FACTOR = 0.3
RECOVERY_RATIO = 1.05  # a period: how a cut wears off
RATE_MEMORY_MS = 1000.0
BURST_ATTEMPTS = 1.5  # by which the limit may be passed while fewer are in flight on average
BURST_SPREAD = 1.0  # in square roots of the limit: by as much a mean of few attempts scatters
MIN_LIMIT = 1.0  # a limit under one attempt is reached by chance and not by load
FEW_SAMPLES = 5
PEER_CAPACITY_GAIN = 0.1
# of the limit that overdue attempts may pass it by, besides as many as were answered
MAX_WRITE_OFF_RATIO = 1.0
ANSWERED_MEMORY_MS = 3000.0

# What the next process of this gateway goes on from, in the order of its row in a snapshot.
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
    """The limit and the counts that it goes by. Fading sums are per attempt."""

    gateway_count: int
    in_flight: float = 0.0  # without what is written off
    written_off: float = 0.0
    recent_peak: float = 0.0
    backoff_factor: float = 1.0
    answered_objectives_ms: float = 0.0  # objectives of the attempts answered in this period, in sum
    rejected: float = 0.0  # fading count of attempts that endpoints rejected,
    completed: float = 0.0  # and of all that completed
    answered: float = 0.0
    idle_ratio: float = 0.0  # how idle the endpoints say they are; 0: unknown
    capacity: float = 0.0  # answers a second times the endpoint time of each, over all classes
    fleet_capacity: float = 0.0  # the mean of what peers tell of theirs
    mean_in_flight: float = 0.0
    mean_updated_ms: float = 0.0
    limit: float = 0.0  # attempts, in this period

    def add_in_flight(self, now_ms: float, change: float) -> None:
        """Count attempts that start (above 0) or end."""
        weight = -math.expm1((self.mean_updated_ms - now_ms) / RATE_MEMORY_MS)
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * weight
        self.mean_updated_ms = now_ms
        self.in_flight = self.in_flight + change

    def on_period(self, now_ms: float, ready_endpoints: float) -> None:
        """One period has gone by. `ready_endpoints`: their capacity, those warming up in part."""
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
        """Whether the endpoints reject; one that rejects everything among many does not count for that."""
        return self.rejected > REJECTED_RATIO * self.completed

    def update_limit(self, ready_endpoints: float) -> None:
        """Set the limit by the capacity seen, between its floor and a multiple of the recent peak."""
        own_endpoints = ready_endpoints / self.gateway_count  # the others send to all of them as well
        missing = max(0.0, self.fleet_capacity - self.capacity)  # a gateway's own few answers say little
        capacity = self.capacity + missing * FEW_SAMPLES / (FEW_SAMPLES + self.completed)
        highest = MAX_GROWTH_RATIO * max(self.recent_peak, INITIAL_PER_ENDPOINT * own_endpoints)
        # Where the endpoints say that they are idle it is not they who hold answers back: the floor rises to
        # the initial limit, or a low limit would keep itself low for want of answers.
        floor = MIN_PER_ENDPOINT + (INITIAL_PER_ENDPOINT - MIN_PER_ENDPOINT) * self.idle_ratio
        self.limit = max(
            floor * own_endpoints * self.backoff_factor, min(capacity * self.backoff_factor, highest)
        )
        if not capacity:
            self.limit = INITIAL_PER_ENDPOINT * own_endpoints * self.backoff_factor
        lowest = min(MIN_LIMIT, INITIAL_PER_ENDPOINT * own_endpoints) * self.backoff_factor
        self.limit = max(self.limit, lowest)

    def observe_peer(self, capacity: float, ready_endpoints: float) -> None:
        """A peer has told its capacity; no more of it counts than this gateway could have."""
        highest = MAX_GROWTH_RATIO * INITIAL_PER_ENDPOINT * ready_endpoints / self.gateway_count
        self.fleet_capacity += (min(capacity, highest) - self.fleet_capacity) * PEER_CAPACITY_GAIN

    def write_off(self, now_ms: float, part: float) -> float:
        """Stop counting a part of an overdue attempt; returns how much of it. Bounded: should all attempts be
        overdue, the limit is passed by no more than MAX_WRITE_OFF_RATIO of it and what was answered of
        late."""
        allowed = MAX_WRITE_OFF_RATIO * self.limit + self.answered - self.written_off
        part = max(0.0, min(part, allowed))
        self.written_off += part
        self.add_in_flight(now_ms, -part)
        return part

    def available(self) -> float:
        """How many more attempts may start. While the mean is under the limit, chance may pass it: at one or
        two requests a second the limit is less than one."""
        typical = self.limit + BURST_SPREAD * math.sqrt(self.limit)
        burst = BURST_ATTEMPTS if self.mean_in_flight < typical else 0.0
        return self.limit + burst - self.in_flight
