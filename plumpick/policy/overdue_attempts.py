"""Whether attempts that are overdue still answer: the hazard rate of answers, with its censored waits.

An attempt that an endpoint swallowed stays in flight until its client leaves and holds a place in the
concurrency limit that nobody uses. But where all endpoints are slow, what is overdue still loads them,
answers in the end and has to count. So what became of overdue attempts is learned by class, by zone and by
endpoint."""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

from plumpick.policy.request_state import Attempt

OVERDUE_LATENCY_RATIO = 5.0  # times a class's usual latency
MIN_OVERDUE_MS = 300.0
HORIZON_INTERVALS = 1.0  # the time, in intervals of that length, in which an overdue attempt may still answer
FORGETTING_RATIO = 0.95  # what is kept of the past with each attempt learned
PRIOR_INTERVALS = 3.0  # that the wider view counts for in the closer one

View = tuple[str, ...]  # class; class and zone; class, zone and endpoint


@dataclass(slots=True, eq=False)
class OverdueAttemptEstimator:
    """What became of the overdue attempts of one view: fading counts. A whole class begins with a guess."""

    answered: float = 1.0
    intervals: float = 1.0  # waited, each in units of the wait that made the attempt overdue

    def learn(self, intervals: float, is_answered: bool) -> None:
        """An overdue attempt has ended, after so many intervals."""
        self.answered = self.answered * FORGETTING_RATIO + is_answered
        self.intervals = self.intervals * FORGETTING_RATIO + intervals

    def answer_probability(self, wider: float | None = None) -> float:
        """That an overdue attempt still answers. `wider`: what a wider view says, which stands in for what
        this one has not seen."""
        if wider is None:
            return -math.expm1(-HORIZON_INTERVALS * self.answered / max(1.0, self.intervals))
        prior_rate = -math.log(max(1e-9, 1 - wider)) / HORIZON_INTERVALS
        rate = (self.answered + PRIOR_INTERVALS * prior_rate) / (self.intervals + PRIOR_INTERVALS)
        return -math.expm1(-HORIZON_INTERVALS * rate)


class OverdueAttempts:
    """The estimators of all views. Bound: classes, their zones, and endpoints that are tracked."""

    def __init__(self, class_names: list[str]) -> None:
        self.by_view: dict[View, OverdueAttemptEstimator] = {}
        for name in class_names:
            self.add_class(name)

    def add_class(self, name: str) -> None:
        """A class that nothing is known of begins with a guess."""
        self.by_view[name,] = OverdueAttemptEstimator()

    @staticmethod
    def views_of(attempt: Attempt) -> list[View]:
        """Whose overdue attempts speak for this one, from the widest view to the closest."""
        name = attempt.class_name
        endpoint = attempt.endpoint.endpoint
        return [(name,), (name, endpoint.zone), (name, endpoint.zone, endpoint.id)]

    def answer_probability(self, attempt: Attempt) -> float:
        """That an overdue attempt still answers: one endpoint, one zone or one class may swallow, or all."""
        widest, *closer = self.views_of(attempt)
        probability = self.by_view[widest].answer_probability()
        for view in closer:
            if view in self.by_view:
                probability = self.by_view[view].answer_probability(probability)
        return probability

    def learn_interval(self, attempt: Attempt) -> None:
        """One more interval has gone by without an answer; this is learned now and not when it ends."""
        attempt.intervals_learned += 1
        for view in self.views_of(attempt):
            self.by_view.setdefault(view, OverdueAttemptEstimator(0.0, 0.0)).intervals += 1

    def learn_end(self, now_ms: float, attempt: Attempt, is_answered: bool) -> None:
        """An overdue attempt has ended."""
        waited = (now_ms - attempt.started_ms) / attempt.overdue_after_ms
        intervals = waited - 1 - attempt.intervals_learned
        for view in self.views_of(attempt):
            estimator = self.by_view.setdefault(view, OverdueAttemptEstimator(0.0, 0.0))
            estimator.learn(max(0.0, intervals), is_answered)

    def forget(self, zones: set[str], endpoint_ids: Container[str]) -> None:
        """Keep the classes, and of their zones and endpoints those that are there."""
        kept: dict[View, OverdueAttemptEstimator] = {}
        for view, estimator in self.by_view.items():
            if len(view) == 1 or (view[2] in endpoint_ids if len(view) == 3 else view[1] in zones):
                kept[view] = estimator
        self.by_view = kept

    def forget_classes(self, names: set[str]) -> None:
        """Classes that the settings no longer have, and of which nothing is open."""
        self.by_view = {view: known for view, known in self.by_view.items() if view[0] not in names}
