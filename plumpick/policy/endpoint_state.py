"""What a gateway knows of one endpoint. Owner: EndpointTable; bound: the endpoints listed, and those that
have gone while attempts are still in flight there."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from plumpick.policy.events import Endpoint

SLOWNESS_MEMORY_MS = 15_000.0  # an old spell of slowness is no verdict


@dataclass(slots=True, eq=False)
class TrackedEndpoint:
    """One endpoint, as discovery lists it and as attempts have found it."""

    endpoint: Endpoint
    in_flight: int = 0  # attempts of this gateway
    latency_ratio: float = 1.0  # its latency against the usual one of each class
    completed: dict[str, float] = field(default_factory=dict)  # fading counts of attempts, by class
    failed: dict[str, float] = field(default_factory=dict)  # of these, that failed
    observed_ms: float = 0.0  # when an attempt completed last
    foreign_load: float = 0.0  # attempts of others, by its last load report
    load_report_ms: float = -math.inf
    slow_start_sent_ms: list[float] = field(default_factory=list)  # attempts started while it warmed up
    peer_report_ms: dict[int, float] = field(default_factory=dict)  # when a report last counted, by peer
    failure_reporters: dict[int, float] = field(default_factory=dict)  # who saw it fail, and when
    ring_position: int = 0  # subsetting.py

    def current_latency_ratio(self, now_ms: float) -> float:
        """The latency ratio, faded by the time since an attempt completed last."""
        return 1 + (self.latency_ratio - 1) * math.exp((self.observed_ms - now_ms) / SLOWNESS_MEMORY_MS)
