"""Estimates the probability that an overdue attempt is still answered, from the hazard rate of answers.

An attempt that an endpoint has lost stays in flight until its client disconnects, and takes up room in the
concurrency limit without loading an endpoint. If all endpoints are slow, however, overdue attempts still load
them, are answered in the end and have to count. The outcomes of overdue attempts are therefore recorded per
class, zone and endpoint; attempts still waiting enter as censored observations."""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

from plumpick.policy.request_state import Attempt

OVERDUE_LATENCY_RATIO = 5.0  # time after which an attempt is overdue, as a multiple of the usual latency
MIN_OVERDUE_MS = 300.0  # minimum time after which an attempt is overdue
# Time for which an answer to an overdue attempt is predicted, in multiples of the time that made it overdue
HORIZON_INTERVALS = 1.0
RETENTION_RATIO = 0.95  # factor applied to the previous counts for each recorded attempt
PRIOR_INTERVALS = 3.0  # weight, in intervals, of the wider view's rate as prior of the narrower view

View = tuple[str, ...]  # key of a view: (class), (class, zone) or (class, zone, endpoint id)


@dataclass(slots=True, eq=False)
class OverdueAttemptEstimator:
    """Decaying counts of overdue attempts' outcomes in one view; the defaults are the prior of a class."""

    answered: float = 1.0  # number of overdue attempts that were answered
    intervals: float = 1.0  # time waited, in multiples of the time that made each attempt overdue

    def record(self, intervals: float, is_answered: bool) -> None:
        """Record the end of an overdue attempt that waited for `intervals` since it became overdue."""
        self.answered = self.answered * RETENTION_RATIO + is_answered
        self.intervals = self.intervals * RETENTION_RATIO + intervals

    def answer_probability(self, wider: float | None = None) -> float:
        """Probability that an overdue attempt is still answered. `wider`: the probability in the next wider
        view, used as prior."""
        if wider is None:
            return -math.expm1(-HORIZON_INTERVALS * self.answered / max(1.0, self.intervals))
        prior_rate = -math.log(max(1e-9, 1 - wider)) / HORIZON_INTERVALS
        rate = (self.answered + PRIOR_INTERVALS * prior_rate) / (self.intervals + PRIOR_INTERVALS)
        return -math.expm1(-HORIZON_INTERVALS * rate)


class OverdueAttempts:
    """The estimators of all views: one per class, per zone of a class, and per endpoint of a class."""

    def __init__(self, class_names: list[str]) -> None:
        self.by_view: dict[View, OverdueAttemptEstimator] = {}
        for name in class_names:
            self.add_class(name)

    def add_class(self, name: str) -> None:
        """Add a class; its estimator starts with the default prior."""
        self.by_view[name,] = OverdueAttemptEstimator()

    @staticmethod
    def views_of(attempt: Attempt) -> list[View]:
        """The views that an attempt belongs to, from the widest to the narrowest."""
        name = attempt.class_name
        endpoint = attempt.endpoint.endpoint
        return [(name,), (name, endpoint.zone), (name, endpoint.zone, endpoint.id)]

    def answer_probability(self, attempt: Attempt) -> float:
        """Probability that an overdue attempt is still answered. It combines all views of the attempt, since
        a single endpoint, a zone, a class or all of them may lose attempts."""
        widest, *closer = self.views_of(attempt)
        probability = self.by_view[widest].answer_probability()
        for view in closer:
            if view in self.by_view:
                probability = self.by_view[view].answer_probability(probability)
        return probability

    def record_interval(self, attempt: Attempt) -> None:
        """Record one more interval without an answer to an overdue attempt that is still waiting."""
        attempt.recorded_intervals += 1
        for view in self.views_of(attempt):
            self.by_view.setdefault(view, OverdueAttemptEstimator(0.0, 0.0)).intervals += 1

    def record_end(self, now_ms: float, attempt: Attempt, is_answered: bool) -> None:
        """Record the end of an overdue attempt; intervals already recorded are not counted again."""
        waited = (now_ms - attempt.started_ms) / attempt.overdue_after_ms
        intervals = waited - 1 - attempt.recorded_intervals
        for view in self.views_of(attempt):
            estimator = self.by_view.setdefault(view, OverdueAttemptEstimator(0.0, 0.0))
            estimator.record(max(0.0, intervals), is_answered)

    def remove_gone(self, zones: set[str], endpoint_ids: Container[str]) -> None:
        """Remove the views of zones and endpoints that no longer exist; views of whole classes stay."""
        kept: dict[View, OverdueAttemptEstimator] = {}
        for view, estimator in self.by_view.items():
            if len(view) == 1 or (view[2] in endpoint_ids if len(view) == 3 else view[1] in zones):
                kept[view] = estimator
        self.by_view = kept

    def remove_classes(self, names: set[str]) -> None:
        """Remove classes that are no longer in the settings and have no open requests."""
        self.by_view = {view: known for view, known in self.by_view.items() if view[0] not in names}
