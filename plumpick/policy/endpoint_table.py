"""The endpoints that a gateway knows, sorted into those that are warm and those in slow start.

Only ready endpoints that no operator has disabled may be sent attempts. Of these, this gateway uses the
subset that subsetting.py chooses for it."""

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
# Time constant with which the reference capacity decays to the current one after endpoints have left.
REFERENCE_MEMORY_MS = 30_000.0


class EndpointTable:
    """Owns the state of all endpoints: one entry for each listed endpoint, and for each endpoint that has
    gone while attempts are still in flight there."""

    def __init__(self, settings: Settings, disabled: DisabledWorkers) -> None:
        self.settings = settings
        self.disabled = disabled
        self.tracked: dict[str, TrackedEndpoint] = {}
        self.by_tag: dict[int, TrackedEndpoint] = {}
        # Ready endpoints that are warm, and ready endpoints in slow start.
        self.warm: list[TrackedEndpoint] = []
        self.warming: list[TrackedEndpoint] = []
        # The members of `warm` and of `warming` that are in this gateway's subset.
        self.subset_warm: list[TrackedEndpoint] = []
        self.subset_warming: list[TrackedEndpoint] = []
        self.subset_ratio = 1.0  # Ratio of all capacity that the subset holds
        self.capacity = 0.0  # Number of warm endpoints, with those in slow start counted by their progress
        self.reference_capacity = 0.0  # Decaying maximum of `capacity`
        self.recent_attempts = 0.0  # Decaying count of attempts that this gateway started

    def update(self, now_ms: float, event: EndpointsUpdated) -> list[TrackedEndpoint]:
        """Apply an update from discovery; returns the endpoints that were in service before it and are no
        longer ready."""
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
        """Apply one entry of the list. A new start time means that the worker has restarted, so its measured
        state is discarded."""
        tracked = self.tracked.get(endpoint.id)
        if tracked is None or tracked.endpoint.started_ms != endpoint.started_ms:
            position = subsetting.ring_position(endpoint.id)
            tracked = self.tracked[endpoint.id] = TrackedEndpoint(endpoint, ring_position=position)
        tracked.endpoint = endpoint

    def execute(self, now_ms: float, kind: CommandKind, name: str) -> None:
        """Execute an operator's command to disable or enable an endpoint. Raises CommandError."""
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
        if was_disabled and name in self.tracked:  # it counts as restarted: discard what was measured
            old = self.tracked[name]
            self.tracked[name] = TrackedEndpoint(old.endpoint, ring_position=old.ring_position)
            self.by_tag = endpoints_by_tag(self.tracked)

    def forget_gone(self) -> None:
        """Drop the endpoints that have gone and have no attempt in flight. Without this the table would grow
        without bound where each start of a worker brings a new id."""
        self.tracked = {
            name: tracked
            for name, tracked in self.tracked.items()
            if tracked.endpoint.state is not EndpointState.GONE or tracked.in_flight
        }
        self.by_tag = endpoints_by_tag(self.tracked)

    def classify(self, now_ms: float) -> None:
        """Sort the ready endpoints into warm and warming ones, and choose this gateway's subset of them."""
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
        """Decay the reference capacity and the count of recent attempts by one PERIOD_MS, and classify the
        endpoints anew if any is in slow start."""
        faded = self.reference_capacity * math.exp(-PERIOD_MS / REFERENCE_MEMORY_MS)
        self.reference_capacity = max(self.capacity, faded)
        self.recent_attempts *= math.exp(-PERIOD_MS / slow_start.REQUEST_RATE_MEMORY_MS)
        if self.warming:
            self.classify(now_ms)
        if any(tracked.endpoint.state is EndpointState.GONE for tracked in self.tracked.values()):
            self.forget_gone()

    def progress(self, now_ms: float, tracked: TrackedEndpoint) -> float:
        """Return the ratio of its full capacity that an endpoint has reached in slow start; 1 if warm."""
        return slow_start.progress(now_ms, tracked, self.settings, self.disabled)

    def take_slow_start_allowance(self, now_ms: float, tracked: TrackedEndpoint) -> bool:
        """Return whether this gateway may send one more attempt to an endpoint in slow start; if so, the
        attempt is counted."""
        # The reference capacity is used because it outlasts a release: divided by the few endpoints that are
        # still warm, the usual number of attempts per warm endpoint would come out too high.
        warm_count = max(1.0, len(self.subset_warm), self.reference_capacity * self.subset_ratio)
        window_ms = self.settings.overload_window_ms
        usual = self.recent_attempts * window_ms / slow_start.REQUEST_RATE_MEMORY_MS / warm_count
        progress = self.progress(now_ms, tracked)
        return slow_start.take_allowance(now_ms, tracked, self.settings, progress, usual)

    # -- snapshot for hot restart

    def export_rows(self) -> list[list[object]]:
        """Return the snapshot rows, one for each endpoint: its id, its start time and its measured state."""
        rows: list[list[object]] = []
        for name, tracked in self.tracked.items():
            figures = snapshot_rows.row_of(tracked, SNAPSHOT_FIELDS)
            counts = [tracked.completed, tracked.failed, tracked.slow_start_sent_ms]
            rows.append([name, tracked.endpoint.started_ms, figures, *counts])
        return rows

    def read_rows(self, rows: list[list[Any]]) -> dict[str, TrackedEndpoint]:
        """Return the endpoints in snapshot rows, by id. Rows of endpoints that are not listed or have
        restarted since are skipped.

        Raises ValueError, TypeError or AttributeError for a malformed row."""
        read: dict[str, TrackedEndpoint] = {}
        for name, started_ms, figures, completed, failed, sent_ms in rows:
            known = self.tracked.get(name)
            if known is None or known.endpoint.started_ms != started_ms:
                continue
            tracked = TrackedEndpoint(known.endpoint, ring_position=known.ring_position)
            snapshot_rows.set_fields(tracked, SNAPSHOT_FIELDS, figures)
            tracked.completed = {str(kind): float(count) for kind, count in completed.items()}
            tracked.failed = {str(kind): float(count) for kind, count in failed.items()}
            tracked.slow_start_sent_ms = [float(ms) for ms in sent_ms]
            read[name] = tracked
        return read
