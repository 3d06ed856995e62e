"""Endpoints that are warming up: how much of their capacity they surely have, and how much they may be sent.

A cold endpoint that gets too much falls over, and all gateways together decide how much that is. So each
sends it a counted part: in each `overload_window_ms` no more than `overload_multiple` times what a warm
endpoint gets of this gateway, times its progress; but always one attempt."""

from __future__ import annotations

from plumpick.policy.disabled_workers import DisabledWorkers
from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.settings import Settings

REQUEST_RATE_MEMORY_MS = 1000.0  # over which this gateway's attempts are counted


def progress(now_ms: float, tracked: TrackedEndpoint, settings: Settings, disabled: DisabledWorkers) -> float:
    """The ratio of its capacity that an endpoint surely has by now; 1 once it is warm."""
    endpoint = tracked.endpoint
    began_ms = disabled.slow_start_began_ms(now_ms, endpoint.id, endpoint.started_ms)
    age_ms = now_ms - began_ms
    if not began_ms or age_ms >= settings.slow_start_ms:
        return 1.0
    initial = settings.slow_start_initial_ratio
    return initial + (1 - initial) * max(0.0, age_ms) / settings.slow_start_ms


def take_allowance(
    now_ms: float, tracked: TrackedEndpoint, settings: Settings, current_progress: float, usual_per_s: float
) -> bool:
    """Whether an endpoint that warms up may get one more attempt; if so, it is counted.

    `usual_per_s`: what a warm endpoint gets of this gateway, in REQUEST_RATE_MEMORY_MS."""
    window_ms = settings.overload_window_ms
    tracked.slow_start_sent_ms = [ms for ms in tracked.slow_start_sent_ms if now_ms - ms < window_ms]
    usual = usual_per_s
    if len(tracked.slow_start_sent_ms) >= max(1.0, settings.overload_multiple * current_progress * usual):
        return False
    tracked.slow_start_sent_ms.append(now_ms)
    return True
