"""What is learned of each request class: its usual latency and how many answers come within the objective."""

from __future__ import annotations

from collections.abc import Iterable

from plumpick.policy.settings import RequestClass

INITIAL_LATENCY_MS = 200.0
GAIN = 0.05
MIN_TIMELY_RATIO = 0.9  # below it the floor of the concurrency limit does not rise
EXPECTED_LATENCY_RATIO = 2.5  # times the usual latency: by the mean alone half of the answers would be late
MAX_EXPECTED_RATIO = 0.45  # of the objective: past it everything would be rejected, and nothing would heal


class ClassStatistics:
    """By class name. A class that the settings drop stays until nothing of it is open."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.usual_latency_ms: dict[str, float] = {}
        self.timely_ratio: dict[str, float] = {}  # of answers within their objective
        for request_class in classes:
            self.add(request_class)

    def add(self, request_class: RequestClass) -> None:
        """A class that nothing is known of."""
        initial_ms = min(INITIAL_LATENCY_MS, request_class.latency_objective_ms / 4)
        self.usual_latency_ms[request_class.name] = initial_ms
        self.timely_ratio[request_class.name] = 1.0

    def remove(self, name: str) -> None:
        """Forget a class."""
        del self.usual_latency_ms[name]
        del self.timely_ratio[name]

    def on_answer(self, name: str, latency_ms: float, objective_ms: float, is_stalled: bool) -> None:
        """An attempt was answered. After a stall of this process its latency says nothing."""
        is_timely = latency_ms <= objective_ms
        self.timely_ratio[name] += (is_timely - self.timely_ratio[name]) * GAIN
        usual_ms = self.usual_latency_ms[name]
        self.usual_latency_ms[name] += (latency_ms - usual_ms) * GAIN * (not is_stalled)

    def floor_ratio(self) -> float:
        """How far the floor of the concurrency limit may rise: where answers come far too late, something
        holds them up that the use of cores does not tell."""
        worst = min(self.timely_ratio.values())
        return max(0.0, (worst - MIN_TIMELY_RATIO) / (1 - MIN_TIMELY_RATIO))

    def expected_latency_ms(self, request_class: RequestClass) -> float:
        """What an attempt is taken to need."""
        usual_ms = EXPECTED_LATENCY_RATIO * self.usual_latency_ms[request_class.name]
        return min(usual_ms, MAX_EXPECTED_RATIO * request_class.latency_objective_ms)
