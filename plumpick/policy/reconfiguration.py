"""Other settings in service: taken over between two turns, whole or not at all.

A request keeps its class, its plan and its quota's figures to its end. What is learned of a class stays under
its name; of a dropped one it goes once nothing of it is open. quota/reconfiguration.py tells what becomes of
units that are granted.

Messages name classes and plans by their indexes, under a digest of all names: gateways with other names do
not understand one another until both have changed."""

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

# What a gateway is, not what it does: it stays until a restart. With the keys of the configuration.
FIXED = (
    ("gateway_count", "balancers"),
    ("gateway_number", "myNumber"),
    ("zone", "locality"),
    ("must_request_watch", "discovery"),
    ("can_message_peers", "limits.mayTell"),
)
SLOW_START = ("slow_start_ms", "slow_start_initial_ratio")


def check(old: Settings, new: object) -> None:
    """Raises ReconfigurationError for settings that cannot be taken over in service, in one line with the
    key."""
    if not isinstance(new, Settings):
        raise ReconfigurationError(f"settings: {type(new).__name__} is none")
    for name, key in FIXED:
        if getattr(new, name) != getattr(old, name):
            raise ReconfigurationError(
                f"settings.{key}: {getattr(new, name)!r}; it is {getattr(old, name)!r} until a restart"
            )
    _check_names("classes", [request_class.name for request_class in new.classes], MAX_CLASSES)
    _check_names("packages", [plan.name for plan in new.plans], MAX_PLANS)


def _check_names(key: str, names: list[str], most: int) -> None:
    """Raises ReconfigurationError for too many names, or for one that is there twice."""
    if len(names) > most:
        raise ReconfigurationError(f"settings.{key}: {len(names)} are more than {most}")
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            raise ReconfigurationError(f"settings.{key}[{index}].name: {name!r} is there twice")
        seen.add(name)


def apply(
    state: GatewayState,
    now_ms: float,
    wanted: Settings,
    *,
    deny: Callable[[Request], None],
    send: Callable[[int, list[QuotaMessage]], None],
) -> None:
    """Go on by other settings. Raises ReconfigurationError, and then nothing has changed.

    `deny`: for requests that wait for units under a class or plan that goes; `send`: a peer is sent messages
    at once, under the old names."""
    check(state.settings, wanted)
    old, quota = state.settings, state.quota
    settings = _with_unchanged_plans(state, wanted)
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
    _learn_classes(state, classes, has_same_names)
    state.settings = settings
    state.codec, state.classes, state.plans = codec, classes, plans
    state.endpoints.settings = settings
    state.load_reports.fields = settings.load_report_fields
    quota.replace_settings(settings)
    state.top_priority = top_priority_of(settings)
    state.outliers.class_index = quota.context.class_index
    quota_reconfiguration.move_ledgers(quota, state.timers, now_ms, plans)
    if any(getattr(settings, name) != getattr(old, name) for name in SLOW_START):
        state.endpoints.disabled.slow_start_ms = settings.slow_start_ms
        state.endpoints.classify(now_ms)
        state.limit.update_limit(state.endpoints.capacity)


def _with_unchanged_plans(state: GatewayState, wanted: Settings) -> Settings:
    """A plan whose figures stay is the same object: by that accounts and ledgers know that nothing
    changed."""
    plans = [state.plans[plan.name] if state.plans.get(plan.name) == plan else plan for plan in wanted.plans]
    return replace(wanted, plans=tuple(plans))


def _translate_indexes(
    state: GatewayState, settings: Settings, send: Callable[[int, list[QuotaMessage]], None]
) -> None:
    """All that waits to be sent goes by the new indexes of classes and plans."""
    translation = quota_reconfiguration.IndexTranslation(state.settings, settings)
    most = state.codec.max_quota_messages
    quota_reconfiguration.translate_waiting(state.quota, translation, most, send)
    reports = []
    for seen_ms, report in state.outliers.reports:
        class_index = translation.new_class_index[report.class_index]
        if class_index is not None:
            reports.append((seen_ms, report._replace(class_index=class_index)))
    state.outliers.reports = reports


def _learn_classes(state: GatewayState, classes: dict[str, RequestClass], has_same_names: bool) -> None:
    """What is known of a class stays; a new one begins as at a start."""
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
    """Dropped classes go once nothing of them is open; ledgers of dropped plans once they are full."""
    if len(state.queue.shares) > len(state.classes):
        open_names = {request.request_class.name for request in state.requests.values()}
        open_names.update(attempt.class_name for attempt in state.attempts.values())
        over = {name for name in state.queue.shares if name not in state.classes and name not in open_names}
        for name in over:
            state.queue.remove_class(name)
            state.statistics.remove(name)
        if over:
            state.overdue.forget_classes(over)
    state.quota.owner.forget_detached(now_ms)
