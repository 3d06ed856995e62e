"""The endpoints that a gateway knows, by what discovery lists, operators disable and time has warmed up.

`warm` and `warming` hold those that may be sent attempts; of these the subset (subsetting.py) is what this
gateway uses."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

from plumpick.policy import slow_start, snapshot_rows, subsetting
from plumpick.policy.concurrency_limit import PERIOD_MS
from plumpick.policy.disabled_workers import DisabledWorkers
from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.events import CommandKind, Endpoint, EndpointState, EndpointsUpdated
from plumpick.policy.peer_messages import endpoints_by_tag
from plumpick.policy.settings import Settings

SNAPSHOT_FIELDS = ("latency_ratio", "observed_ms", "foreign_load", "load_report_ms")
REFERENCE_MEMORY_MS = 30_000.0  # over which the capacity of late counts as what carries the load


class EndpointTable:
    """Owner of what is known of endpoints. Bound: the listed ones, and those that have gone until nothing is
    in flight there."""

    def __init__(self, settings: Settings, disabled: DisabledWorkers) -> None:
        self.settings = settings
        self.disabled = disabled
        self.tracked: dict[str, TrackedEndpoint] = {}
        self.by_tag: dict[int, TrackedEndpoint] = {}
        self.warm: list[TrackedEndpoint] = []  # ready and warm; ready and warming up
        self.warming: list[TrackedEndpoint] = []
        self.subset_warm: list[TrackedEndpoint] = []  # of these, the ones in this gateway's subset
        self.subset_warming: list[TrackedEndpoint] = []
        self.subset_ratio = 1.0  # of all capacity, that the subset holds
        self.capacity = 0.0  # in warm endpoints: those warming up count in part
        self.reference_capacity = 0.0  # the most of late
        self.recent_attempts = 0.0  # fading count of attempts that this gateway started

    def update(self, now_ms: float, event: EndpointsUpdated) -> list[TrackedEndpoint]:
        """Take over discovery's list; returns the endpoints that just left service."""
        in_service = self.warm + self.warming
        listed = {endpoint.id for endpoint in event.endpoints}
        for name, tracked in self.tracked.items():
            if event.is_snapshot and name not in listed:
                tracked.endpoint = replace(tracked.endpoint, state=EndpointState.GONE)
        for endpoint in event.endpoints:
            self._track(endpoint)
        self.forget_gone()
        self.classify(now_ms)
        return [tracked for tracked in in_service if tracked.endpoint.state is not EndpointState.READY]

    def _track(self, endpoint: Endpoint) -> None:
        """Take over one entry; what has restarted has no past."""
        tracked = self.tracked.get(endpoint.id)
        if tracked is None or tracked.endpoint.started_ms != endpoint.started_ms:
            position = subsetting.ring_position(endpoint.id)
            tracked = self.tracked[endpoint.id] = TrackedEndpoint(endpoint, ring_position=position)
        tracked.endpoint = endpoint

    def execute(self, now_ms: float, kind: CommandKind, name: str) -> None:
        """An operator disables or enables an endpoint. Raises CommandError."""
        try:
            if kind is CommandKind.DISABLE:
                self.disabled.disable(name, self.tracked)
            else:
                self._enable(now_ms, name)
        finally:
            self.classify(now_ms)

    def _enable(self, now_ms: float, name: str) -> None:
        was_disabled = name in self.disabled
        self.disabled.enable(now_ms, name, self.tracked)
        if was_disabled and name in self.tracked:  # taken for restarted: it has no past
            old = self.tracked[name]
            self.tracked[name] = TrackedEndpoint(old.endpoint, ring_position=old.ring_position)
            self.by_tag = endpoints_by_tag(self.tracked)

    def forget_gone(self) -> None:
        """Drop the endpoints that have gone and have nothing in flight: their ids may be ever new."""
        self.tracked = {
            name: tracked
            for name, tracked in self.tracked.items()
            if tracked.endpoint.state is not EndpointState.GONE or tracked.in_flight
        }
        self.by_tag = endpoints_by_tag(self.tracked)

    def classify(self, now_ms: float) -> None:
        """Sort the ready endpoints by slow start, and choose this gateway's subset of them."""
        self.warm = []
        self.warming = []
        self.capacity = 0.0
        ready = [
            (tracked, self.progress(now_ms, tracked))
            for name, tracked in self.tracked.items()
            if tracked.endpoint.state is EndpointState.READY and name not in self.disabled
        ]
        for tracked, progress in ready:
            (self.warm if progress >= 1 else self.warming).append(tracked)
            self.capacity += progress
        self.reference_capacity = max(self.capacity, self.reference_capacity)
        ready.sort(key=lambda row: (row[0].ring_position, row[0].endpoint.id))
        gateways = self.settings.gateway_count
        subset = set(map(id, subsetting.subset_of(ready, gateways, self.settings.gateway_number)))
        self.subset_warm = [tracked for tracked in self.warm if id(tracked) in subset]
        self.subset_warming = [tracked for tracked in self.warming if id(tracked) in subset]
        self.subset_ratio = subsetting.subset_ratio(self.capacity, gateways)

    def on_period(self, now_ms: float) -> None:
        """One period has gone by."""
        faded = self.reference_capacity * math.exp(-PERIOD_MS / REFERENCE_MEMORY_MS)
        self.reference_capacity = max(self.capacity, faded)
        self.recent_attempts *= math.exp(-PERIOD_MS / slow_start.REQUEST_RATE_MEMORY_MS)
        if self.warming:
            self.classify(now_ms)
        if any(tracked.endpoint.state is EndpointState.GONE for tracked in self.tracked.values()):
            self.forget_gone()

    def progress(self, now_ms: float, tracked: TrackedEndpoint) -> float:
        """The ratio of its capacity that an endpoint surely has by now."""
        return slow_start.progress(now_ms, tracked, self.settings, self.disabled)

    def take_slow_start_allowance(self, now_ms: float, tracked: TrackedEndpoint) -> bool:
        """Whether an endpoint that warms up may get one more attempt of this gateway; if so, it is
        counted."""
        # Of late: a few warm endpoints alone would have more each.
        warm_count = max(1.0, len(self.subset_warm), self.reference_capacity * self.subset_ratio)
        window_ms = self.settings.overload_window_ms
        usual = self.recent_attempts * window_ms / slow_start.REQUEST_RATE_MEMORY_MS / warm_count
        progress = self.progress(now_ms, tracked)
        return slow_start.take_allowance(now_ms, tracked, self.settings, progress, usual)

    # -- what another process of this gateway goes on from

    def export_rows(self) -> list[list[object]]:
        """What is known of each endpoint, a row each."""
        rows: list[list[object]] = []
        for name, tracked in self.tracked.items():
            figures = snapshot_rows.row_of(tracked, SNAPSHOT_FIELDS)
            counts = [tracked.completed, tracked.failed, tracked.slow_start_sent_ms]
            rows.append([name, tracked.endpoint.started_ms, figures, *counts])
        return rows

    def read_rows(self, rows: list[list[Any]]) -> dict[str, TrackedEndpoint]:
        """What a snapshot says of the endpoints that are the same processes still; those that have restarted
        have no past. Raises ValueError, TypeError or AttributeError where a row cannot be read."""
        read: dict[str, TrackedEndpoint] = {}
        for name, started_ms, figures, completed, failed, sent_ms in rows:
            known = self.tracked.get(name)
            if known is None or known.endpoint.started_ms != started_ms:
                continue
            tracked = TrackedEndpoint(known.endpoint, ring_position=known.ring_position)
            snapshot_rows.fill(tracked, SNAPSHOT_FIELDS, figures)
            tracked.completed = {str(kind): float(count) for kind, count in completed.items()}
            tracked.failed = {str(kind): float(count) for kind, count in failed.items()}
            tracked.slow_start_sent_ms = [float(ms) for ms in sent_ms]
            read[name] = tracked
        return read
