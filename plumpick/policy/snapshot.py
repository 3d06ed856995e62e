"""The snapshot that a gateway process passes to its hot-restart successor, as values that JSON can hold.

The snapshot contains the workers that operators disabled, the quota accounts and ledgers with their hard
limits, the times of the last messages from peers, the concurrency limit, the retry tokens, the shares and
usual latencies of the classes and the measured state of the endpoints.

It does not contain requests, which stay with the process that received them, nor the incarnation and its
serial numbers, which distinguish grants. It also omits what is measured again within seconds: the latencies
after which attempts are overdue, reports of peers on endpoints, and the enabled workers that await their
first attempt.

No unit may be granted twice. So the buckets of a process stop filling once it has exported its state, and its
messages to itself as quota owner go to the successor. Both processes run on one machine, so times are of the
same clock."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from plumpick.policy import snapshot_rows
from plumpick.policy.concurrency_limit import SNAPSHOT_FIELDS as LIMIT_FIELDS
from plumpick.policy.errors import SnapshotError
from plumpick.policy.quota import snapshot as quota_snapshot
from plumpick.policy.state import GatewayState
from plumpick.policy.timers import TimerKind

# Version of the snapshot format, and the older version that is still read; quota/snapshot.py explains the
# differences.
FORMAT_VERSION = 2
OLD_FORMAT_VERSION = 1


def export_state(state: GatewayState) -> dict[str, Any]:
    """Return the snapshot of the present state. From then on this process has a successor: its buckets no
    longer fill, and its quota ledgers belong to the successor."""
    quota = state.quota
    quota_snapshot.prepare_export(quota, state.plans)
    plans = quota_snapshot.exported_plans(quota, state.plans)
    plan_index = {plan.name: index for index, plan in enumerate(plans)}
    disabled, enabled = state.endpoints.disabled.export_state()
    return {
        "form": FORMAT_VERSION,
        "number": state.settings.gateway_number,
        "gateways": state.settings.gateway_count,
        "classes": list(state.classes),
        "plans": list(plan_index),
        "figures": {plan.name: quota_snapshot.plan_values(plan) for plan in plans},
        "bans": list(disabled),
        "back": [list(row) for row in enabled],
        "draining": state.draining.since_ms,
        "accounts": quota_snapshot.export_accounts(quota),
        "stores": quota_snapshot.export_ledgers(quota, plan_index),
        **quota_snapshot.export_times(quota),
        "silent": sorted(quota.liveness.unresponsive_owners),
        "rtt_ms": quota.requester.round_trip_ms,
        "window": snapshot_rows.row_of(state.limit, LIMIT_FIELDS),
        "budget": state.retry_budget.tokens,
        "usual": state.statistics.usual_latency_ms,
        "timely": state.statistics.timely_ratio,
        "shares": {name: controller.share for name, controller in state.queue.shares.items()},
        "servers": state.endpoints.export_rows(),
        "sends": state.endpoints.recent_attempts,
        "reference": state.endpoints.reference_capacity,
    }


def import_state(state: GatewayState, now_ms: float, exported: Mapping[str, Any]) -> None:
    """Restore the state from a snapshot. Raises SnapshotError or ValueError, and then changes nothing."""
    settings = state.settings
    if exported.get("form") not in (FORMAT_VERSION, OLD_FORMAT_VERSION):
        raise SnapshotError(f"unsupported snapshot format {exported.get('form')!r}")
    if exported.get("number") != settings.gateway_number:
        number = settings.gateway_number
        raise SnapshotError(f"snapshot of gateway number {exported.get('number')!r}, expected {number}")
    if exported.get("gateways") != settings.gateway_count:
        count = settings.gateway_count
        raise SnapshotError(f"snapshot of a tier of {exported.get('gateways')!r} gateways, expected {count}")
    try:
        parsed = _ParsedSnapshot(state, now_ms, exported)
    except (KeyError, TypeError, AttributeError, IndexError) as problem:
        raise SnapshotError(f"malformed snapshot: {problem!r}") from problem
    parsed.apply(state, now_ms)


class _ParsedSnapshot:
    """A validated snapshot that is not yet in force.

    The exception is the concurrency limit, which the constructor reads last and sets in `state` directly."""

    def __init__(self, state: GatewayState, now_ms: float, exported: Mapping[str, Any]) -> None:
        is_old_form = exported["form"] == OLD_FORMAT_VERSION
        self.quota = quota_snapshot.read_state(state.quota, now_ms, exported, is_old_form)
        self.endpoints = state.endpoints.read_rows(exported["servers"])
        self.usual_latency_ms = _of_known_classes(exported["usual"], state.statistics.usual_latency_ms)
        self.timely_ratio = _of_known_classes(exported["timely"], state.statistics.timely_ratio)
        self.shares = _of_known_classes(exported["shares"], state.queue.shares)
        self.disabled = [str(name) for name in exported["bans"]]
        self.enabled = [(str(name), float(ms)) for name, ms in exported["back"]]
        draining = exported["draining"]
        self.draining_since_ms = None if draining is None else float(draining)
        self.tokens = float(exported["budget"])
        self.recent_attempts = float(exported["sends"])
        self.reference_capacity = float(exported["reference"])
        limit = list(exported["window"])
        if len(limit) != len(LIMIT_FIELDS):
            raise SnapshotError(f"window: expected {len(LIMIT_FIELDS)} values, got {len(limit)}")
        snapshot_rows.set_fields(state.limit, LIMIT_FIELDS, limit)

    def apply(self, state: GatewayState, now_ms: float) -> None:
        """Put the snapshot into force."""
        quota_snapshot.import_state(state.quota, self.quota)
        state.statistics.usual_latency_ms.update(self.usual_latency_ms)
        state.statistics.timely_ratio.update(self.timely_ratio)
        for name, share in self.shares.items():
            state.queue.shares[name].share = share
        state.retry_budget.tokens = self.tokens
        self._import_endpoints(state, now_ms)
        state.draining.since_ms = self.draining_since_ms
        for key, ledger in self.quota.ledgers.items():
            if ledger.queue:
                state.timers.schedule(now_ms, TimerKind.LEDGER, key)
        for at_ms in state.draining.stage_times_ms():
            state.timers.schedule(max(now_ms, at_ms), TimerKind.ADMISSION_STATE)

    def _import_endpoints(self, state: GatewayState, now_ms: float) -> None:
        table = state.endpoints
        table.recent_attempts = self.recent_attempts
        table.reference_capacity = max(self.reference_capacity, table.reference_capacity)
        table.tracked.update(self.endpoints)
        state.outliers.candidates = [tracked for tracked in table.tracked.values() if tracked.failed]
        table.disabled.import_state(self.disabled, self.enabled)
        table.forget_gone()
        table.classify(now_ms)


def _of_known_classes(values: Mapping[str, Any], known: Mapping[str, object]) -> dict[str, float]:
    """Return the entries of `values` whose class is in `known`, as floats."""
    return {str(name): float(value) for name, value in values.items() if name in known}


def resume(state: GatewayState, now_ms: float) -> None:
    """Resume service after the successor has died, and schedule the ledgers in which requests wait."""
    for key in quota_snapshot.resume(state.quota, now_ms):
        state.timers.schedule(now_ms, TimerKind.LEDGER, key)
