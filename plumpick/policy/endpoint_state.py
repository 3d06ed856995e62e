"""The state that a gateway keeps for one endpoint.

EndpointTable owns one TrackedEndpoint for each listed endpoint, and for each endpoint that has gone while
attempts are still in flight there."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from plumpick.policy.events import Endpoint

# Time constant with which an endpoint's measured latency ratio decays to 1 while no attempt completes.
SLOWNESS_MEMORY_MS = 15_000.0


@dataclass(slots=True, eq=False)
class TrackedEndpoint:
    """One endpoint: its entry in discovery's list, and what this gateway's attempts have measured."""

    endpoint: Endpoint
    in_flight: int = 0  # Number of this gateway's attempts in flight
    # Latency of this gateway's attempts, relative to the usual latency of their class.
    latency_ratio: float = 1.0
    completed: dict[str, float] = field(default_factory=dict)  # Decaying count of completed attempts by class
    failed: dict[str, float] = field(default_factory=dict)  # Decaying count of failed attempts by class
    observed_ms: float = 0.0  # Time at which an attempt last completed
    foreign_load: float = 0.0  # Number of other gateways' attempts in flight, by the last load report
    load_report_ms: float = -math.inf  # Time of the last load report
    slow_start_sent_ms: list[float] = field(default_factory=list)  # Start times of attempts during slow start
    # Time of the last counted outlier report by peer.
    peer_report_ms: dict[int, float] = field(default_factory=dict)
    failure_reporters: dict[int, float] = field(
        default_factory=dict
    )  # Time of the last failure by reporting gateway
    ring_position: int = 0  # Position on the hash ring of subsetting.py

    def current_latency_ratio(self, now_ms: float) -> float:
        """Return the latency ratio, decayed towards 1 with the time since an attempt last completed."""
        return 1 + (self.latency_ratio - 1) * math.exp((self.observed_ms - now_ms) / SLOWNESS_MEMORY_MS)
