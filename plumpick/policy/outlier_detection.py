"""Endpoints that fail more than others: failure ratios, ejection, and what peers report.

An ejected endpoint gets nothing of the class that it fails while another endpoint may be chosen
(load_balancing.py); endpoints that are warming up are never ejected. At most a part of the warm endpoints is
ejected, and none where more than that look bad: the cause is then this gateway's network or an overload, and
ejection would empty the list."""

from __future__ import annotations

import math

from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.events import EndpointState
from plumpick.policy.peer_messages import MAX_OUTLIER_REPORTS, OutlierReport, latency_ratio_of, outlier_report
from plumpick.policy.settings import RequestClass

LATENCY_GAIN = 0.15
MAX_LATENCY_RATIO = 10.0
FAILURE_MEMORY_MS = 4000.0  # failures fade, so that an endpoint is tried again a little at a time
FAILED = math.inf  # the latency ratio of an attempt that failed
SILENCE_RATIO = 3.0  # an attempt that took so many times the usual latency was counted as silent meanwhile

EJECTION_FAILURE_RATIO = 0.5
EJECTION_MIN_ATTEMPTS = 2.0
MAX_EJECTED_RATIO = 0.4  # of the warm endpoints
PANIC_RATIO = 0.5  # of the warm endpoints: where more than that look bad, nothing is ejected

PEER_WEIGHT = 0.5  # of an attempt of our own; less, the more attempts we start ourselves
PEER_REPORT_INTERVAL_MS = 250.0  # one peer's reports on one endpoint count once in that time
PEER_REPORT_MAX_AGE_MS = 2000.0
OWN = -1  # among the reporters of failures: this gateway


class OutlierDetector:
    """Which endpoints fail which classes. `class_index`: the settings' classes by name."""

    def __init__(self, class_index: dict[str, int]) -> None:
        self.class_index = class_index
        self.candidates: list[TrackedEndpoint] = []  # endpoints that failed an attempt of late
        self.reports: list[tuple[float, OutlierReport]] = []  # what peers are told, and when it was seen
        self._ejected: dict[str, set[int]] = {}  # in this period, by class

    def on_period(self, now_ms: float) -> None:
        """One period has gone by: ejection is decided anew."""
        self.candidates = [
            tracked
            for tracked in self.candidates
            if tracked.endpoint.state is EndpointState.READY
            and max(self.failure_ratio(now_ms, tracked, name) for name in self.class_index)
            >= EJECTION_FAILURE_RATIO
        ]
        self._ejected.clear()

    def failure_ratio(self, now_ms: float, tracked: TrackedEndpoint, class_name: str) -> float:
        """The ratio of a class's attempts that an endpoint fails; all classes' stands in for what is not
        known."""
        if not tracked.failed:
            return 0.0
        fade = math.exp((tracked.observed_ms - now_ms) / FAILURE_MEMORY_MS)
        overall = fade * sum(tracked.failed.values()) / (fade * sum(tracked.completed.values()) + 2)
        failed = fade * tracked.failed.get(class_name, 0.0)
        return (failed + overall) / (fade * tracked.completed.get(class_name, 0.0) + 1)

    def ejected(self, now_ms: float, class_name: str, warm: list[TrackedEndpoint]) -> set[int]:
        """The warm endpoints, by `id`, that get nothing of a class in this period."""
        if class_name not in self._ejected:
            self._ejected[class_name] = self._worst(now_ms, class_name, warm)
        return self._ejected[class_name]

    def _worst(self, now_ms: float, class_name: str, warm: list[TrackedEndpoint]) -> set[int]:
        judged = [
            (self.failure_ratio(now_ms, tracked, class_name), place)
            for place, tracked in enumerate(self.candidates)
            if tracked in warm and sum(tracked.completed.values()) >= EJECTION_MIN_ATTEMPTS
        ]
        judged.sort(reverse=True)
        bad = [row for row in judged if row[0] >= EJECTION_FAILURE_RATIO]
        if len(bad) > PANIC_RATIO * len(warm):
            return set()
        most = int(MAX_EJECTED_RATIO * len(warm))
        return {id(self.candidates[place]) for _, place in bad[:most]}

    def learn(
        self, now_ms: float, tracked: TrackedEndpoint, class_name: str, latency_ratio: float, weight: float
    ) -> None:
        """One attempt has completed: its latency against the usual one, or FAILED.

        A rejected attempt is a failure, too: what answers fast without serving looks idle and would attract
        all attempts. `weight`: 1 for an attempt that this gateway saw to its end."""
        fade = math.exp((tracked.observed_ms - now_ms) / FAILURE_MEMORY_MS)
        tracked.latency_ratio = tracked.current_latency_ratio(now_ms)
        tracked.completed = self._faded(tracked.completed, fade)
        tracked.failed = self._faded(tracked.failed, fade)
        tracked.completed[class_name] = tracked.completed.get(class_name, 0.0) + weight
        if latency_ratio == FAILED:
            tracked.failed[class_name] = tracked.failed.get(class_name, 0.0) + weight
            if tracked not in self.candidates:
                self.candidates.append(tracked)
        elif latency_ratio < FAILED:
            self._learn_latency(tracked, class_name, latency_ratio, weight)
        tracked.observed_ms = now_ms
        if weight > PEER_WEIGHT:
            self._report(now_ms, tracked, class_name, latency_ratio)

    def _faded(self, counts: dict[str, float], fade: float) -> dict[str, float]:
        """Counts of the classes that there are, less what has faded."""
        return {name: count * fade for name, count in counts.items() if name in self.class_index}

    def _learn_latency(
        self, tracked: TrackedEndpoint, class_name: str, latency_ratio: float, weight: float
    ) -> None:
        if latency_ratio > SILENCE_RATIO:  # it was taken for silence, and was not
            tracked.failed[class_name] = max(0.0, tracked.failed.get(class_name, 0.0) - weight)
        # Against the mean of all endpoints: a slowdown of all of them is no endpoint's fault.
        change = min(MAX_LATENCY_RATIO, latency_ratio) - tracked.latency_ratio
        tracked.latency_ratio += change * LATENCY_GAIN * weight

    def _report(self, now_ms: float, tracked: TrackedEndpoint, class_name: str, latency_ratio: float) -> None:
        """Keep what this gateway saw itself for its peers."""
        if latency_ratio == FAILED:
            tracked.failure_reporters[OWN] = now_ms
        if class_name in self.class_index:  # the settings may have dropped it
            report = outlier_report(tracked.endpoint.id, self.class_index[class_name], latency_ratio)
            self.reports = [*self.reports[1 - MAX_OUTLIER_REPORTS :], (now_ms, report)]

    def recent_reports(self, now_ms: float) -> list[OutlierReport]:
        """What peers are told now."""
        return [report for seen_ms, report in self.reports if now_ms - seen_ms <= PEER_REPORT_MAX_AGE_MS]

    def on_peer_reports(
        self,
        now_ms: float,
        sender: int,
        reports: tuple[OutlierReport, ...],
        by_tag: dict[int, TrackedEndpoint],
        classes: tuple[RequestClass, ...],
        weight: float,
    ) -> None:
        """What a peer saw. It may be wrong, by its own network or a fault: its reports on one endpoint count
        once in a while, and a failure that it reports only if another peer, or we, saw one too."""
        for report in reports:
            tracked = by_tag.get(report.endpoint_tag)
            if tracked is None:
                continue
            if now_ms - tracked.peer_report_ms.get(sender, -math.inf) < PEER_REPORT_INTERVAL_MS:
                continue
            tracked.peer_report_ms[sender] = now_ms
            latency_ratio = latency_ratio_of(report)
            if latency_ratio == FAILED and not self._is_confirmed(now_ms, tracked, sender):
                continue
            self.learn(now_ms, tracked, classes[report.class_index].name, latency_ratio, weight)

    @staticmethod
    def _is_confirmed(now_ms: float, tracked: TrackedEndpoint, sender: int) -> bool:
        """Whether another than this peer has seen the endpoint fail of late."""
        tracked.failure_reporters = {
            other: seen_ms
            for other, seen_ms in tracked.failure_reporters.items()
            if now_ms - seen_ms <= FAILURE_MEMORY_MS
        }
        tracked.failure_reporters[sender] = now_ms
        return len(tracked.failure_reporters) >= 2
