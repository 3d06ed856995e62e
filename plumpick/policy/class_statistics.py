"""Statistics per request class: the usual latency and the fraction of answers within the latency
objective."""

from __future__ import annotations

from collections.abc import Iterable

from plumpick.policy.settings import RequestClass

INITIAL_LATENCY_MS = 200.0  # usual latency assumed before the first answer
GAIN = 0.05  # weight of a new answer in the smoothed statistics
MIN_TIMELY_RATIO = 0.9  # fraction of timely answers below which the floor of the concurrency limit stays down
# Expected latency as a multiple of the usual one; with the mean itself, half of the answers would be late
EXPECTED_LATENCY_RATIO = 2.5
# Maximum of the expected latency as a fraction of the objective. With a higher estimate every request would
# be rejected, and no answers would come to correct it.
MAX_EXPECTED_RATIO = 0.45


class ClassStatistics:
    """Statistics by class name. A class dropped from the settings stays until it has no open requests."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.usual_latency_ms: dict[str, float] = {}
        self.timely_ratio: dict[str, float] = {}  # fraction of answers within the latency objective
        for request_class in classes:
            self.add(request_class)

    def add(self, request_class: RequestClass) -> None:
        """Add a class with initial estimates: at most INITIAL_LATENCY_MS, and all answers timely."""
        initial_ms = min(INITIAL_LATENCY_MS, request_class.latency_objective_ms / 4)
        self.usual_latency_ms[request_class.name] = initial_ms
        self.timely_ratio[request_class.name] = 1.0

    def remove(self, name: str) -> None:
        """Remove the statistics of a class."""
        del self.usual_latency_ms[name]
        del self.timely_ratio[name]

    def on_answer(self, name: str, latency_ms: float, objective_ms: float, is_stalled: bool) -> None:
        """Record the answer to an attempt. After a stall of this process the usual latency is not updated,
        since the measured latency includes the stall."""
        is_timely = latency_ms <= objective_ms
        self.timely_ratio[name] += (is_timely - self.timely_ratio[name]) * GAIN
        usual_ms = self.usual_latency_ms[name]
        self.usual_latency_ms[name] += (latency_ms - usual_ms) * GAIN * (not is_stalled)

    def floor_ratio(self) -> float:
        """Factor from 0 to 1 by which the floor of the concurrency limit may rise while endpoints are idle.
        It falls with the fraction of timely answers: late answers of idle endpoints have another cause."""
        worst = min(self.timely_ratio.values())
        return max(0.0, (worst - MIN_TIMELY_RATIO) / (1 - MIN_TIMELY_RATIO))

    def expected_latency_ms(self, request_class: RequestClass) -> float:
        """Latency in ms that is planned for an attempt, with a margin over the usual latency."""
        usual_ms = EXPECTED_LATENCY_RATIO * self.usual_latency_ms[request_class.name]
        return min(usual_ms, MAX_EXPECTED_RATIO * request_class.latency_objective_ms)
