"""Slow start: the capacity of endpoints that are warming up, and the number of attempts that they may get.

A cold endpoint fails under too many attempts, and what counts is the sum over all gateways. Each gateway
therefore limits its own part: in each `overload_window_ms`, at most `overload_multiple` times the attempts
that a warm endpoint gets from this gateway, times the endpoint's progress, but always one attempt."""

from __future__ import annotations

from plumpick.policy.disabled_workers import DisabledWorkers
from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.settings import Settings

REQUEST_RATE_MEMORY_MS = 1000.0  # time constant of the rate of attempts started by this gateway


def progress(now_ms: float, tracked: TrackedEndpoint, settings: Settings, disabled: DisabledWorkers) -> float:
    """The fraction of its full capacity that an endpoint can be relied on to have now; 1 once it is warm."""
    endpoint = tracked.endpoint
    start_ms = disabled.slow_start_began_ms(now_ms, endpoint.id, endpoint.started_ms)
    age_ms = now_ms - start_ms
    if not start_ms or age_ms >= settings.slow_start_ms:
        return 1.0
    initial = settings.slow_start_initial_ratio
    return initial + (1 - initial) * max(0.0, age_ms) / settings.slow_start_ms


def take_allowance(
    now_ms: float, tracked: TrackedEndpoint, settings: Settings, current_progress: float, usual_per_s: float
) -> bool:
    """Whether an endpoint in slow start may get one more attempt; if so, the attempt is counted against its
    allowance.

    `usual_per_s`: number of attempts that a warm endpoint gets from this gateway per
    REQUEST_RATE_MEMORY_MS."""
    window_ms = settings.overload_window_ms
    tracked.slow_start_sent_ms = [ms for ms in tracked.slow_start_sent_ms if now_ms - ms < window_ms]
    usual = usual_per_s
    if len(tracked.slow_start_sent_ms) >= max(1.0, settings.overload_multiple * current_progress * usual):
        return False
    tracked.slow_start_sent_ms.append(now_ms)
    return True
