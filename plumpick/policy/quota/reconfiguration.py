"""Quota state across a change of settings in service; no change increases the available units at once.

Effect by kind of change:

rate                units refilled until the change follow the old rate, later units the new one
burst increased     units stay and refill up to the new burst
burst reduced       units above the new burst are dropped
hard limit          as for rate and burst; parts of a newly set hard limit start empty, as in a new process
max_in_flight       slots stay occupied until they are returned or expire
plan removed        its ledgers are kept, with the old rate and burst, until they are full
plan added again    ledgers still kept refill for the gap at the lower of both rates, up to the lower burst
local buckets       updated at the customer's next request; the time before the change does not refill them
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.quota import hard_limits
from plumpick.policy.quota.context import DEMAND_MEMORY_MS, MS_PER_S
from plumpick.policy.quota.ledger import with_plan_index
from plumpick.policy.quota.manager import QuotaManager
from plumpick.policy.quota.owner import GRANT_REQUESTS, QuotaOwner
from plumpick.policy.quota.records import PendingGrant, QuotaLedger
from plumpick.policy.request_state import Request
from plumpick.policy.settings import Plan, RequestClass, Settings
from plumpick.policy.timers import TimerKind, TimerQueue


def deny_dropped(
    quota: QuotaManager,
    now_ms: float,
    classes: Mapping[str, RequestClass],
    plans: Mapping[str, Plan],
    deny: Callable[[Request], None],
) -> None:
    """Deny requests that wait for units under a removed class or plan: this gateway's own requests by calling
    `deny`, and requests queued in its ledgers by a reply. `classes` and `plans` are the remaining ones."""
    for request in list(quota.requester.pending.values()):
        is_kept = request.request_class.name in classes and request.plan.name in plans
        if request.awaits_quota and not is_kept:
            deny(request)
    before = quota.context.settings.classes
    for ledger in list(quota.owner.ledgers.values()):
        kept: list[PendingGrant] = []
        dropped: list[PendingGrant] = []
        for pending in ledger.queue:
            class_name = before[pending.message.class_index].name
            is_kept = ledger.plan.name in plans and class_name in classes
            (kept if is_kept else dropped).append(pending)
        ledger.queue = kept
        # If this process has a hot-restart successor, the successor answers the dropped requests.
        if not quota.context.has_successor:
            for pending in dropped:
                quota.owner.deny(now_ms, pending, ledger)


def serve_by_old_plans(quota: QuotaManager, now_ms: float, plans: Mapping[str, Plan]) -> None:
    """Refill and serve ledgers of changed plans by the old plans, up to `now_ms`. `plans`: the new ones."""
    if not quota.context.has_successor:
        ledgers = quota.owner.ledgers
        changed = [key for key, ledger in ledgers.items() if plans.get(ledger.plan.name) is not ledger.plan]
        for key in changed:
            quota.owner.serve(now_ms, key)
    quota.context.plans_changed_ms = now_ms


class IndexTranslation:
    """Translation of the class and plan indexes in quota messages from old settings to new ones."""

    def __init__(self, before: Settings, after: Settings) -> None:
        class_index = {request_class.name: index for index, request_class in enumerate(after.classes)}
        plan_index = {plan.name: index for index, plan in enumerate(after.plans)}
        self.new_class_index = [class_index.get(request_class.name) for request_class in before.classes]
        self.new_plan_index = [plan_index.get(plan.name) for plan in before.plans]
        # Units spent or returned are counted even if their class was removed; the class with the longest
        # latency objective takes its place, so that a slot is not released too early.
        objectives = [request_class.latency_objective_ms for request_class in after.classes]
        self._longest_class = max(range(len(objectives)), key=objectives.__getitem__)

    def translate(self, messages: list[QuotaMessage]) -> list[QuotaMessage]:
        """The messages with new indexes, without messages of removed plans and grant requests of removed
        classes."""
        translated = []
        for message in messages:
            plan, request_class = (
                self.new_plan_index[message.plan_index],
                self.new_class_index[message.class_index],
            )
            if request_class is None and message.kind not in GRANT_REQUESTS:
                request_class = self._longest_class
            if plan is not None and request_class is not None:
                translated.append(message._replace(class_index=request_class, plan_index=plan))
        return translated


def translate_waiting(
    quota: QuotaManager,
    translation: IndexTranslation,
    max_messages: int,
    send_now: Callable[[int, list[QuotaMessage]], None],
) -> None:
    """Translate the indexes of all messages that wait to be sent and of all requests queued in ledgers.

    Messages of removed plans are sent at once with their old indexes, by calling `send_now` with a gateway
    and at most `max_messages` messages."""
    outbox = quota.outbox
    for gateway, messages in outbox.waiting.items():
        dropped = [message for message in messages if translation.new_plan_index[message.plan_index] is None]
        for first in range(0, len(dropped), max_messages):
            send_now(gateway, dropped[first : first + max_messages])
    outbox.waiting = {
        gateway: translation.translate(messages) for gateway, messages in outbox.waiting.items()
    }
    quota.requester.unconfirmed = {
        gateway: [(ms, new) for ms, message in rows for new in translation.translate([message])]
        for gateway, rows in quota.requester.unconfirmed.items()
    }
    for ledger in quota.owner.ledgers.values():  # queues of removed plans are empty: deny_dropped ran before
        for pending in ledger.queue:
            (pending.message,) = translation.translate([pending.message])


def move_ledgers(quota: QuotaManager, timers: TimerQueue, now_ms: float, plans: Mapping[str, Plan]) -> None:
    """Move ledgers to the new indexes and values of their plans; ledgers of removed plans are moved to
    `owner.detached`."""
    owner, plan_index = quota.owner, quota.context.plan_index
    if not owner.detached and all(
        plans.get(ledger.plan.name) is ledger.plan
        and key == with_plan_index(key, plan_index[ledger.plan.name])
        for key, ledger in owner.ledgers.items()
    ):
        return
    moved = _MovedLedgers(owner, now_ms, plans, plan_index)
    if moved.changed or list(moved.ledgers) != list(owner.ledgers):
        timers.rekey_ledgers(moved.new_keys, set(moved.changed))
    owner.ledgers = moved.ledgers
    for key in moved.changed:
        ledger = moved.ledgers[key]
        ledger.next_serve_ms = math.inf
        if ledger.queue and not quota.context.has_successor:
            ledger.next_serve_ms = now_ms
            timers.schedule(now_ms, TimerKind.LEDGER, key)


class _MovedLedgers:
    """Result of moving an owner's ledgers to changed plans: `ledgers` by new key, `new_keys` by old key, and
    the new keys of the ledgers whose plan has `changed`."""

    def __init__(
        self, owner: QuotaOwner, now_ms: float, plans: Mapping[str, Plan], plan_index: Mapping[str, int]
    ) -> None:
        self.ledgers: dict[int, QuotaLedger] = {}
        self.new_keys: dict[int, int] = {}
        self.changed: list[int] = []
        for key, ledger in owner.ledgers.items():
            plan = plans.get(ledger.plan.name)
            if plan is None:
                ledger.next_serve_ms = math.inf
                owner.detached[with_plan_index(key, 0), ledger.plan.name] = ledger
                continue
            new_key = self.new_keys[key] = with_plan_index(key, plan_index[plan.name])
            self.ledgers[new_key] = ledger
            if ledger.plan is not plan:
                change_ledger_plan(owner, ledger, plan, now_ms)
                self.changed.append(new_key)
        for detached in [key for key in owner.detached if key[1] in plans]:
            ledger = owner.detached.pop(detached)
            change_ledger_plan(owner, ledger, plans[detached[1]], now_ms)
            self.ledgers[with_plan_index(detached[0], plan_index[detached[1]])] = ledger


def change_ledger_plan(owner: QuotaOwner, ledger: QuotaLedger, plan: Plan, now_ms: float) -> None:
    """Replace the plan of a ledger. The time since its last refill counts with the lower rates and bursts of
    both plans; units above the new burst are dropped."""
    before = ledger.plan
    elapsed_s = max(0.0, (now_ms - ledger.updated_ms) / MS_PER_S)
    rate = min(before.rate_per_s, plan.rate_per_s)
    burst = min(before.burst, plan.burst)
    filled = rate * elapsed_s * owner.granted_ratio(now_ms, ledger)
    ledger.units = min(plan.burst, max(ledger.units, min(burst, ledger.units + filled)))
    ledger.withheld_units = min(plan.burst, ledger.withheld_units)
    rate = min(before.hard_limit_per_s, plan.hard_limit_per_s) * hard_limits.OWNER_RATIO
    burst = min(before.hard_limit_burst, plan.hard_limit_burst) * hard_limits.OWNER_RATIO
    # Without a hard limit hard_limit_units is only decremented, so its value is not used
    units = ledger.hard_limit_units if before.hard_limit_per_s else 0.0
    units = max(units, min(burst, units + rate * elapsed_s))
    ledger.hard_limit_units = min(plan.hard_limit_burst * hard_limits.OWNER_RATIO, units)
    ledger.demand_units *= math.exp(-elapsed_s * MS_PER_S / DEMAND_MEMORY_MS)
    ledger.plan = plan
    ledger.updated_ms = now_ms
