"""What one process of a gateway passes to the next, as JSON's values, and how the next goes on from it.

Passed on: what operators disabled, accounts and ledgers with their hard limits, when peers were heard, the
concurrency limit, retry tokens, the classes' shares and usual latencies, the endpoints' figures. Not passed
on: requests, which stay where they were received; numbers of an incarnation, which tell grants apart; when an
attempt of a class is overdue, what peers reported of endpoints, and which enabled workers still wait for
their first attempt, all of which is learned again within seconds.

Nothing may be granted twice: once a process has exported its state its buckets fill no more, and its messages
to its own owner go to the successor. Times are of one clock: both processes run on one machine."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from plumpick.policy import snapshot_rows
from plumpick.policy.concurrency_limit import SNAPSHOT_FIELDS as LIMIT_FIELDS
from plumpick.policy.errors import SnapshotError
from plumpick.policy.quota import snapshot as quota_snapshot
from plumpick.policy.state import GatewayState
from plumpick.policy.timers import TimerKind

FORM = 2
OLD_FORM = 1  # quota/snapshot.py says what it lacks; other forms are not read


def export_state(state: GatewayState) -> dict[str, Any]:
    """The state as it is now; from here on this process has a successor."""
    quota = state.quota
    quota_snapshot.prepare_export(quota, state.plans)
    plans = quota_snapshot.exported_plans(quota, state.plans)
    plan_index = {plan.name: index for index, plan in enumerate(plans)}
    disabled, enabled = state.endpoints.disabled.export_state()
    return {
        "form": FORM,
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
    """Go on from an exported state. Raises SnapshotError or ValueError; nothing of it counts then."""
    settings = state.settings
    if exported.get("form") not in (FORM, OLD_FORM):
        raise SnapshotError(f"a state of form {exported.get('form')!r}")
    if exported.get("number") != settings.gateway_number:
        raise SnapshotError("the state of another gatekeeper")
    if exported.get("gateways") != settings.gateway_count:
        raise SnapshotError("the state of another gatekeeper")
    try:
        read = _ReadState(state, now_ms, exported)
    except (KeyError, TypeError, AttributeError, IndexError) as problem:
        raise SnapshotError(f"a state that cannot be read: {problem!r}") from problem
    read.take_effect(state, now_ms)


class _ReadState:
    """All that was exported, read and not yet in force but for the limit's figures, which are read last."""

    def __init__(self, state: GatewayState, now_ms: float, exported: Mapping[str, Any]) -> None:
        is_old_form = exported["form"] == OLD_FORM
        self.quota = quota_snapshot.read_state(state.quota, now_ms, exported, is_old_form)
        self.endpoints = state.endpoints.read_rows(exported["servers"])
        self.usual_latency_ms = _known(exported["usual"], state.statistics.usual_latency_ms)
        self.timely_ratio = _known(exported["timely"], state.statistics.timely_ratio)
        self.shares = _known(exported["shares"], state.queue.shares)
        self.disabled = [str(name) for name in exported["bans"]]
        self.enabled = [(str(name), float(ms)) for name, ms in exported["back"]]
        draining = exported["draining"]
        self.draining_since_ms = None if draining is None else float(draining)
        self.tokens = float(exported["budget"])
        self.recent_attempts = float(exported["sends"])
        self.reference_capacity = float(exported["reference"])
        limit = list(exported["window"])
        if len(limit) != len(LIMIT_FIELDS):
            raise SnapshotError("window")
        snapshot_rows.fill(state.limit, LIMIT_FIELDS, limit)

    def take_effect(self, state: GatewayState, now_ms: float) -> None:
        """Go on from what was read."""
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


def _known(values: Mapping[str, Any], known: Mapping[str, object]) -> dict[str, float]:
    """The figures of the classes that there are here."""
    return {str(name): float(value) for name, value in values.items() if name in known}


def resume(state: GatewayState, now_ms: float) -> None:
    """The process that took over has died; this one goes on."""
    for key in quota_snapshot.resume(state.quota, now_ms):
        state.timers.schedule(now_ms, TimerKind.LEDGER, key)
