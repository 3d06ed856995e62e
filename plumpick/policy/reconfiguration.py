"""Applies new settings to a running gateway, atomically between two turns.

A request keeps the class, the plan and the quota with which it was received to its end. Statistics of a class
are kept under its name; those of a removed class are dropped once no request or attempt of it is open.
quota/reconfiguration.py describes the effect on granted units.

Messages between gateways name classes and plans by index, under a digest of all names. Two gateways whose
names differ drop each other's messages until both have the same names."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from plumpick.policy.admission import target_wait_ms
from plumpick.policy.errors import ReconfigurationError
from plumpick.policy.peer_messages import PeerMessageCodec, QuotaMessage
from plumpick.policy.quota import reconfiguration as quota_reconfiguration
from plumpick.policy.request_state import Request
from plumpick.policy.settings import MAX_CLASSES, MAX_PLANS, RequestClass, Settings
from plumpick.policy.state import GatewayState, top_priority_of

# Settings that cannot change without a restart, since they identify the gateway and its environment: the
# attribute of Settings, and the key that error messages name.
RESTART_ONLY = (
    ("gateway_count", "balancers"),
    ("gateway_number", "myNumber"),
    ("zone", "locality"),
    ("must_request_watch", "discovery"),
    ("can_message_peers", "limits.mayTell"),
)
SLOW_START_SETTINGS = ("slow_start_ms", "slow_start_initial_ratio")


def check(old: Settings, new: object) -> None:
    """Raise ReconfigurationError if the settings `new` cannot replace `old` without a restart. The message
    is one line that names the key."""
    if not isinstance(new, Settings):
        raise ReconfigurationError(f"settings: expected Settings, got {type(new).__name__}")
    for name, key in RESTART_ONLY:
        if getattr(new, name) != getattr(old, name):
            raise ReconfigurationError(
                f"settings.{key}: cannot change from {getattr(old, name)!r} to {getattr(new, name)!r} "
                "without a restart"
            )
    _check_names("classes", [request_class.name for request_class in new.classes], MAX_CLASSES)
    _check_names("packages", [plan.name for plan in new.plans], MAX_PLANS)


def _check_names(key: str, names: list[str], max_count: int) -> None:
    """Raise ReconfigurationError if there are more than `max_count` names, or if two are the same."""
    if len(names) > max_count:
        raise ReconfigurationError(f"settings.{key}: {len(names)} entries exceed the maximum of {max_count}")
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            raise ReconfigurationError(f"settings.{key}[{index}].name: duplicate name {name!r}")
        seen.add(name)


def apply(
    state: GatewayState,
    now_ms: float,
    new_settings: Settings,
    *,
    deny: Callable[[Request], None],
    send: Callable[[int, list[QuotaMessage]], None],
) -> None:
    """Apply the settings `new_settings`. Raises ReconfigurationError, and then changes nothing.

    `deny`: called with each request that waits for units under a removed class or plan; `send`: called with
    the number of a gateway and quota messages that must be sent at once, under the old names."""
    check(state.settings, new_settings)
    old, quota = state.settings, state.quota
    settings = _with_unchanged_plans(state, new_settings)
    classes = {request_class.name: request_class for request_class in settings.classes}
    plans = {plan.name: plan for plan in settings.plans}
    has_same_names = list(classes) == list(state.classes) and list(plans) == list(state.plans)
    codec = state.codec if has_same_names else PeerMessageCodec(settings)
    if not has_same_names:
        quota_reconfiguration.deny_dropped(quota, now_ms, classes, plans, deny)
    if plans != state.plans:
        quota_reconfiguration.serve_by_old_plans(quota, now_ms, plans)
    if not has_same_names:
        _translate_indexes(state, settings, send)
    _update_classes(state, classes, has_same_names)
    state.settings = settings
    state.codec, state.classes, state.plans = codec, classes, plans
    state.endpoints.settings = settings
    state.load_reports.fields = settings.load_report_fields
    quota.replace_settings(settings)
    state.top_priority = top_priority_of(settings)
    state.outliers.class_index = quota.context.class_index
    quota_reconfiguration.move_ledgers(quota, state.timers, now_ms, plans)
    if any(getattr(settings, name) != getattr(old, name) for name in SLOW_START_SETTINGS):
        state.endpoints.disabled.slow_start_ms = settings.slow_start_ms
        state.endpoints.classify(now_ms)
        state.limit.update_limit(state.endpoints.capacity)


def _with_unchanged_plans(state: GatewayState, new_settings: Settings) -> Settings:
    """Return the settings with each plan that is equal to the present one replaced by that same object.
    Accounts and ledgers recognise unchanged plans by identity."""
    plans = [
        state.plans[plan.name] if state.plans.get(plan.name) == plan else plan for plan in new_settings.plans
    ]
    return replace(new_settings, plans=tuple(plans))


def _translate_indexes(
    state: GatewayState, settings: Settings, send: Callable[[int, list[QuotaMessage]], None]
) -> None:
    """Translate the indexes of classes and plans in all queued messages and reports to the new settings."""
    translation = quota_reconfiguration.IndexTranslation(state.settings, settings)
    max_count = state.codec.max_quota_messages
    quota_reconfiguration.translate_waiting(state.quota, translation, max_count, send)
    reports = []
    for seen_ms, report in state.outliers.reports:
        class_index = translation.new_class_index[report.class_index]
        if class_index is not None:
            reports.append((seen_ms, report._replace(class_index=class_index)))
    state.outliers.reports = reports


def _update_classes(state: GatewayState, classes: dict[str, RequestClass], has_same_names: bool) -> None:
    """Add statistics for new classes and adapt those of classes with a new latency objective; all others
    are kept."""
    share, changed = 1 / len(classes), classes
    if has_same_names:
        pairs = zip(classes.values(), state.classes.values(), strict=True)
        changed = {
            new.name: new for new, old in pairs if new.latency_objective_ms != old.latency_objective_ms
        }
    for name, request_class in changed.items():
        controller = state.queue.shares.get(name)
        if controller is None:
            state.queue.add_class(request_class, share)
            state.statistics.add(request_class)
            state.overdue.add_class(name)
        else:
            controller.retarget(target_wait_ms(request_class))


def forget_dropped(state: GatewayState, now_ms: float) -> None:
    """Drop the statistics of removed classes of which no request or attempt is open, and the ledgers of
    removed plans that are full again."""
    if len(state.queue.shares) > len(state.classes):
        open_names = {request.request_class.name for request in state.requests.values()}
        open_names.update(attempt.class_name for attempt in state.attempts.values())
        over = {name for name in state.queue.shares if name not in state.classes and name not in open_names}
        for name in over:
            state.queue.remove_class(name)
            state.statistics.remove(name)
        if over:
            state.overdue.remove_classes(over)
    state.quota.owner.forget_detached(now_ms)
