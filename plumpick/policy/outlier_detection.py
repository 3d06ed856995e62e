"""Outlier detection: failure ratios of endpoints, ejection of the worst, and reports of other gateways.

An ejected endpoint gets no attempts of the class that it fails while another endpoint can be chosen
(load_balancing.py). Endpoints in slow start are never ejected. At most MAX_EJECTED_RATIO of the warm
endpoints are ejected, and none if more than PANIC_RATIO of them fail: the cause is then this gateway's
network or an overload, and ejection would leave no endpoints."""

from __future__ import annotations

import math

from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.events import EndpointState
from plumpick.policy.peer_messages import MAX_OUTLIER_REPORTS, OutlierReport, latency_ratio_of, outlier_report
from plumpick.policy.settings import RequestClass

LATENCY_GAIN = 0.15  # smoothing factor of an endpoint's latency ratio
MAX_LATENCY_RATIO = 10.0
FAILURE_MEMORY_MS = 4000.0  # time constant of failures, after which an endpoint gradually gets attempts again
FAILED = math.inf  # latency ratio that stands for a failed attempt
# Multiple of the usual latency from which an attempt was already counted as a failure while it was in flight
# (the delay of the hedge timer)
SLOW_LATENCY_RATIO = 3.0

EJECTION_FAILURE_RATIO = 0.5  # failure ratio from which an endpoint may be ejected
EJECTION_MIN_ATTEMPTS = 2.0  # decaying count of attempts from which an endpoint may be ejected
MAX_EJECTED_RATIO = 0.4  # maximum fraction of the warm endpoints that is ejected
PANIC_RATIO = 0.5  # fraction of failing warm endpoints above which none is ejected

PEER_WEIGHT = 0.5  # maximum weight of an attempt reported by another gateway; an attempt of this one has 1
PEER_REPORT_INTERVAL_MS = 250.0  # interval in which one gateway's reports on one endpoint count once
PEER_REPORT_MAX_AGE_MS = 2000.0  # maximum age of an outcome that is reported to other gateways
THIS_GATEWAY = -1  # number that stands for this gateway among the reporters of failures


class OutlierDetector:
    """Decides which endpoints are ejected for which classes. `class_index`: index of each class in the
    settings, by name."""

    def __init__(self, class_index: dict[str, int]) -> None:
        self.class_index = class_index
        self.candidates: list[TrackedEndpoint] = []  # endpoints with recently failed attempts
        # Outcomes to report to other gateways, each with the time at which it was observed
        self.reports: list[tuple[float, OutlierReport]] = []
        self._ejected: dict[str, set[int]] = {}  # endpoints ejected in this period, by class

    def on_period(self, now_ms: float) -> None:
        """Start a new period: drop candidates that have recovered; ejection is decided anew on demand."""
        self.candidates = [
            tracked
            for tracked in self.candidates
            if tracked.endpoint.state is EndpointState.READY
            and max(self.failure_ratio(now_ms, tracked, name) for name in self.class_index)
            >= EJECTION_FAILURE_RATIO
        ]
        self._ejected.clear()

    def failure_ratio(self, now_ms: float, tracked: TrackedEndpoint, class_name: str) -> float:
        """The recent fraction of a class's attempts that failed at an endpoint. The ratio over all classes
        serves as prior for classes with few attempts."""
        if not tracked.failed:
            return 0.0
        decay = math.exp((tracked.observed_ms - now_ms) / FAILURE_MEMORY_MS)
        overall = decay * sum(tracked.failed.values()) / (decay * sum(tracked.completed.values()) + 2)
        failed = decay * tracked.failed.get(class_name, 0.0)
        return (failed + overall) / (decay * tracked.completed.get(class_name, 0.0) + 1)

    def ejected(self, now_ms: float, class_name: str, warm: list[TrackedEndpoint]) -> set[int]:
        """The warm endpoints, as Python `id`s, that are ejected for a class in this period."""
        if class_name not in self._ejected:
            self._ejected[class_name] = self._select_ejected(now_ms, class_name, warm)
        return self._ejected[class_name]

    def _select_ejected(self, now_ms: float, class_name: str, warm: list[TrackedEndpoint]) -> set[int]:
        ranked = [
            (self.failure_ratio(now_ms, tracked, class_name), index)
            for index, tracked in enumerate(self.candidates)
            if tracked in warm and sum(tracked.completed.values()) >= EJECTION_MIN_ATTEMPTS
        ]
        ranked.sort(reverse=True)
        failing = [row for row in ranked if row[0] >= EJECTION_FAILURE_RATIO]
        if len(failing) > PANIC_RATIO * len(warm):
            return set()
        max_count = int(MAX_EJECTED_RATIO * len(warm))
        return {id(self.candidates[index]) for _, index in failing[:max_count]}

    def record(
        self, now_ms: float, tracked: TrackedEndpoint, class_name: str, latency_ratio: float, weight: float
    ) -> None:
        """Record the outcome of an attempt. `latency_ratio`: its latency divided by the usual one, or FAILED;
        `weight`: 1 for an attempt that completed at this gateway, less for other observations.

        Rejected attempts count as failures: an endpoint that rejects quickly looks idle and would otherwise
        attract all attempts."""
        decay = math.exp((tracked.observed_ms - now_ms) / FAILURE_MEMORY_MS)
        tracked.latency_ratio = tracked.current_latency_ratio(now_ms)
        tracked.completed = self._decayed(tracked.completed, decay)
        tracked.failed = self._decayed(tracked.failed, decay)
        tracked.completed[class_name] = tracked.completed.get(class_name, 0.0) + weight
        if latency_ratio == FAILED:
            tracked.failed[class_name] = tracked.failed.get(class_name, 0.0) + weight
            if tracked not in self.candidates:
                self.candidates.append(tracked)
        elif latency_ratio < FAILED:
            self._record_latency(tracked, class_name, latency_ratio, weight)
        tracked.observed_ms = now_ms
        if weight > PEER_WEIGHT:
            self._report(now_ms, tracked, class_name, latency_ratio)

    def _decayed(self, counts: dict[str, float], decay: float) -> dict[str, float]:
        """The counts multiplied by `decay`, without classes that are no longer in the settings."""
        return {name: count * decay for name, count in counts.items() if name in self.class_index}

    def _record_latency(
        self, tracked: TrackedEndpoint, class_name: str, latency_ratio: float, weight: float
    ) -> None:
        # An attempt this slow was already counted as a failure while it was in flight: undo that.
        if latency_ratio > SLOW_LATENCY_RATIO:
            tracked.failed[class_name] = max(0.0, tracked.failed.get(class_name, 0.0) - weight)
        # The ratio is relative to the mean of all endpoints, so a slowdown of all of them affects none.
        change = min(MAX_LATENCY_RATIO, latency_ratio) - tracked.latency_ratio
        tracked.latency_ratio += change * LATENCY_GAIN * weight

    def _report(self, now_ms: float, tracked: TrackedEndpoint, class_name: str, latency_ratio: float) -> None:
        """Keep an outcome observed by this gateway, to be reported to other gateways."""
        if latency_ratio == FAILED:
            tracked.failure_reporters[THIS_GATEWAY] = now_ms
        if class_name in self.class_index:  # no report on a class that was dropped from the settings
            report = outlier_report(tracked.endpoint.id, self.class_index[class_name], latency_ratio)
            self.reports = [*self.reports[1 - MAX_OUTLIER_REPORTS :], (now_ms, report)]

    def recent_reports(self, now_ms: float) -> list[OutlierReport]:
        """The outcomes to report to other gateways now: those not older than PEER_REPORT_MAX_AGE_MS."""
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
        """Record outcomes that another gateway reports. They may be wrong because of that gateway's network
        or a fault: its reports on one endpoint count once per PEER_REPORT_INTERVAL_MS, and a failure counts
        only if a third gateway or this one has also seen the endpoint fail."""
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
            self.record(now_ms, tracked, classes[report.class_index].name, latency_ratio, weight)

    @staticmethod
    def _is_confirmed(now_ms: float, tracked: TrackedEndpoint, sender: int) -> bool:
        """Record that `sender` reports a failure of the endpoint; returns whether any other gateway has
        recently seen it fail as well."""
        tracked.failure_reporters = {
            other: seen_ms
            for other, seen_ms in tracked.failure_reporters.items()
            if now_ms - seen_ms <= FAILURE_MEMORY_MS
        }
        tracked.failure_reporters[sender] = now_ms
        return len(tracked.failure_reporters) >= 2
