"""Other settings in service: taken over between two turns, whole or not at all. No I/O, no clock.

What a request came under it keeps to its end: its class, its plan, its quota's figures. What is learned of a
class stays under its name; of one that was dropped it goes once nothing of it is open. A request that waits
for its quota under a class or plan that is dropped is denied, as its home would.

Nothing that is granted jumps up. By change of a plan:

    rate up or down     what has filled until now filled by the old rate; from now on by the new one
    burst up            a level stays and fills on; burst down: what is above it is gone
    ceiling             the same; where there was none its parts begin empty, as at a start
    max_out             leases stay out until they come back, or by their time
    dropped             its stores are kept until they are full again by their old figures
    back before that    filled for the gap by the lower of both figures, up to the lower of both bursts
    account's buckets   settled when its customer asks next: of the time since it asked last, what was
                        before the change fills nothing

A message names classes and plans by their places, under a digest of all their names: gateways of which one
has other names do not hear each other until both have changed. What waits to be told is renamed; what
cannot be, as its plan is gone, is told at once by the old names."""

from __future__ import annotations

import heapq
import math
from dataclasses import replace
from typing import TYPE_CHECKING

from plumpick.policy.housekeeping import part_of, ping_ms
from plumpick.policy.peer_messages import PeerMessageCodec, QuotaMessage, QuotaMessageKind
from plumpick.policy.quota.ledger import is_full, moved
from plumpick.policy.settings import Plan, RequestClass, Settings
from plumpick.policy.settings_parser import MAX_CLASSES, MAX_PLANS
from plumpick.policy.state import Account, Ask, QuotaState, Store

if TYPE_CHECKING:
    from plumpick.policy.controller import Controller, Quota

# What a gateway is, not what it does: it stays until a restart. With the keys of the configuration.
FIXED = (
    ("gateway_count", "balancers"),
    ("gateway_number", "myNumber"),
    ("zone", "locality"),
    ("must_request_watch", "discovery"),
    ("can_message_peers", "limits.mayTell"),
)
WARMTH = ("slow_start_ms", "slow_start_initial_ratio")


def refusal(old: Settings, new: object) -> str:
    """What cannot be taken over in service, in one line that names its key; or nothing."""
    if not isinstance(new, Settings):
        return f"settings: {type(new).__name__} is none"
    for name, key in FIXED:
        if getattr(new, name) != getattr(old, name):
            return f"settings.{key}: {getattr(new, name)!r}; it is {getattr(old, name)!r} until a restart"
    return _wrong_names("classes", [kind.name for kind in new.classes], MAX_CLASSES) or _wrong_names(
        "packages", [plan.name for plan in new.plans], MAX_PLANS
    )


def _wrong_names(key: str, names: list[str], most: int) -> str:
    """What is wrong with these names, or nothing."""
    if len(names) > most:
        return f"settings.{key}: {len(names)} are more than {most}"
    left = set(names)
    if len(left) < len(names):
        for number, name in enumerate(names):
            if name not in left:
                return f"settings.{key}[{number}].name: {name!r} is there twice"
            left.discard(name)
    return ""


def apply(control: Controller, now: float, wanted: Settings) -> str:
    """Go on by other settings; the answer is what is wrong with them, and then nothing has changed."""
    wrong = refusal(control.settings, wanted)
    if wrong:
        return wrong
    old, quota = control.settings, control.quota
    # A plan whose figures stay is the same object: by that accounts and stores know that nothing changed.
    settings = replace(
        wanted,
        plans=tuple(
            control.plans[plan.name] if control.plans.get(plan.name) == plan else plan
            for plan in wanted.plans
        ),
    )
    classes = {kind.name: kind for kind in settings.classes}
    plans = {plan.name: plan for plan in settings.plans}
    same_names = list(classes) == list(control.classes) and list(plans) == list(control.plans)
    codec = control.codec if same_names else PeerMessageCodec(settings)
    if not same_names:
        _deny(control, now, classes, plans)
    if plans != control.plans:
        if not quota.heir:  # what fills until now, and who gets it, is by the old figures
            for name in [
                name for name, store in quota.stores.items() if plans.get(store.plan.name) is not store.plan
            ]:
                quota.serve(now, name)
        quota.changed_ms = now
    if not same_names:
        _rename(control, settings)
    _learn_classes(control, classes, same_names)
    control.settings = quota.settings = control.servers.settings = settings
    control.codec, control.classes, control.plans = codec, classes, plans
    index(quota)
    control.top_rank = (
        max([kind.priority_weight for kind in settings.classes])
        * max([plan.priority_factor for plan in settings.plans])
        or 1.0
    )
    control.servers.names = quota.class_index
    _move_stores(control, now, plans)
    if any(getattr(settings, name) != getattr(old, name) for name in WARMTH):
        control.servers.bans.warm_up_ms = settings.slow_start_ms
        control.servers.sort(now)
        control.window.set_limit(control.servers.capacity)
    return ""


def index(quota: QuotaState) -> None:
    """Places by name: an index of records compares all their fields."""
    from plumpick.policy.controller import HOLD_PINGS  # that file imports this one

    quota.class_index = {kind.name: place for place, kind in enumerate(quota.settings.classes)}
    quota.plan_index = {plan.name: place for place, plan in enumerate(quota.settings.plans)}
    quota.top_worth = max([kind.priority_weight for kind in quota.settings.classes]) or 1.0
    quota.hold_ms = HOLD_PINGS * ping_ms(quota.settings)


# -- what waits


def _deny(control: Controller, now: float, classes: dict[str, RequestClass], plans: dict[str, Plan]) -> None:
    """Whoever waits for a quota under a class or plan that goes is told so, here and by its home."""
    quota, kinds = control.quota, control.settings.classes
    for request in list(quota.asking.values()):
        if request.waiting and (request.kind.name not in classes or request.plan.name not in plans):
            control.on_denied(request)
    for store in list(quota.stores.values()):
        kept, gone = list[Ask](), list[Ask]()
        for ask in store.queue:
            stays = store.plan.name in plans and kinds[ask.item.class_index].name in classes
            (kept if stays else gone).append(ask)
        store.queue = kept
        for ask in gone if not quota.heir else ():  # else it is the heir who answers them
            quota.reply(now, QuotaMessageKind.DENIED, ask.key, ask.item, store)


def _rename(control: Controller, settings: Settings) -> None:
    """All that waits to be told goes by the new places of classes and plans."""
    quota, old = control.quota, control.settings
    class_at = {kind.name: place for place, kind in enumerate(settings.classes)}
    plan_at = {plan.name: place for place, plan in enumerate(settings.plans)}
    class_to = [class_at.get(kind.name) for kind in old.classes]
    plan_to = [plan_at.get(plan.name) for plan in old.plans]
    # What was spent or goes back counts also where its class is gone: a slot is then held for the longest.
    longest = max(
        range(len(settings.classes)), key=lambda place: settings.classes[place].latency_objective_ms
    )

    def renamed(items: list[QuotaMessage]) -> list[QuotaMessage]:
        kept = []
        for item in items:
            plan, kind = plan_to[item.plan_index], class_to[item.class_index]
            if kind is None and item.kind not in (
                QuotaMessageKind.GRANT_REQUEST,
                QuotaMessageKind.RETRY_GRANT_REQUEST,
            ):
                kind = longest
            if plan is not None and kind is not None:
                kept.append(item._replace(class_index=kind, plan_index=plan))
        return kept

    for gateway, items in quota.outbox.items():
        gone = [item for item in items if plan_to[item.plan_index] is None]
        for first in range(0, len(gone), control.codec.max_quota_messages):
            control.tell(gateway, gone[first : first + control.codec.max_quota_messages], [])
    quota.outbox = {gateway: renamed(items) for gateway, items in quota.outbox.items()}
    quota.unheard = {
        gateway: [(ms, new) for ms, item in told for new in renamed([item])]
        for gateway, told in quota.unheard.items()
    }
    for store in quota.stores.values():  # of those whose plan goes nobody waits any more
        for ask in store.queue:
            (ask.item,) = renamed([ask.item])
    servers, sightings = control.servers, []
    for ms, seen in servers.sightings:
        kind = class_to[seen.class_index]
        if kind is not None:
            sightings.append((ms, seen._replace(class_index=kind)))
    servers.sightings = sightings


# -- quotas


def _move_stores(control: Controller, now: float, plans: dict[str, Plan]) -> None:
    """Stores go by their plan's new place and figures; those of plans that went are kept apart."""
    quota = control.quota
    at = quota.plan_index
    if not quota.parted and all(
        plans.get(store.plan.name) is store.plan and name == moved(name, at[store.plan.name])
        for name, store in quota.stores.items()
    ):
        return
    stores, renamed = dict[int, Store](), dict[int, int]()
    changed: list[int] = []
    for name, store in quota.stores.items():
        plan = plans.get(store.plan.name)
        if plan is None:
            store.wake_ms = math.inf
            quota.parted[moved(name, 0), store.plan.name] = store
            continue
        new_name = renamed[name] = moved(name, at[plan.name])
        stores[new_name] = store
        if store.plan is not plan:
            refigure(quota, store, plan, now)
            changed.append(new_name)
    for key in [key for key in quota.parted if key[1] in plans]:
        store = quota.parted.pop(key)
        refigure(quota, store, plans[key[1]], now)
        stores[moved(key[0], at[key[1]])] = store
    if changed or list(stores) != list(quota.stores):
        again = set(changed)
        agenda = []
        for at_ms, serial, what, number in control.agenda:
            if what == "store":
                if number not in renamed or renamed[number] in again:
                    continue
                number = renamed[number]
            agenda.append((at_ms, serial, what, number))
        heapq.heapify(agenda)
        control.agenda = agenda
    quota.stores = stores
    for name in changed:
        stores[name].wake_ms = math.inf
        if stores[name].queue and not quota.heir:
            stores[name].wake_ms = now
            control.plan_at(now, "store", name)


def refigure(quota: Quota, store: Store, plan: Plan, now: float) -> None:
    """Other figures for a store. For the time since it was filled last counts the lower of both; and a level
    above the new burst is cut."""
    from plumpick.policy.controller import DEMAND_MEMORY_MS, HOME_CEILING  # that file imports this one

    before, gone_s = store.plan, max(0.0, (now - store.at_ms) / 1000)
    rate, burst = min(before.rate_per_s, plan.rate_per_s), min(before.burst, plan.burst)
    fills = rate * gone_s * quota.part_here(now, store)
    store.level = min(plan.burst, max(store.level, min(burst, store.level + fills)))
    store.kept = min(plan.burst, store.kept)
    rate = min(before.hard_limit_per_s, plan.hard_limit_per_s) * HOME_CEILING
    burst = min(before.hard_limit_burst, plan.hard_limit_burst) * HOME_CEILING
    ceiling = store.ceiling if before.hard_limit_per_s else 0.0  # without one it is only counted down
    ceiling = max(ceiling, min(burst, ceiling + rate * gone_s))
    store.ceiling = min(plan.hard_limit_burst * HOME_CEILING, ceiling)
    store.asked *= math.exp(-gone_s * 1000 / DEMAND_MEMORY_MS)
    store.plan, store.at_ms = plan, now


def renew(quota: Quota, now: float, account: Account, first: int, gone_s: float) -> tuple[float, Plan]:
    """For how long an account's buckets fill now, and by which figures, where its plan may have changed since
    its customer asked last. `first`: of its set."""
    place = quota.plan_index.get(account.plan.name)
    if place is None:
        return 0.0, account.plan
    before, plan = account.plan, quota.settings.plans[place]
    if before is plan:
        return gone_s, plan
    account.plan = plan
    account.slice = quota.slice(account, first)
    # A look at all accounts at the change would hold up everything else; and none begins with more.
    account.ceiling = account.ceiling if before.hard_limit_per_s else 0.0
    return max(0.0, min(gone_s, (now - quota.changed_ms) / 1000)), plan


# -- what is learned of classes


def _learn_classes(control: Controller, classes: dict[str, RequestClass], same_names: bool) -> None:
    """What is known of a class stays; of a new one it begins as at a start."""
    from plumpick.policy.controller import ANSWER_PART, USUAL_START_MS, FuzzyShare, Late

    part, changed = 1 / len(classes), classes
    if same_names:
        pairs = zip(classes.values(), control.classes.values(), strict=True)
        changed = {
            kind.name: kind
            for kind, before in pairs
            if kind.latency_objective_ms != before.latency_objective_ms
        }
    for name, kind in changed.items():
        wait_ms, share = kind.latency_objective_ms * (1 - ANSWER_PART), control.shares.get(name)
        if share is None:
            control.shares[name] = FuzzyShare(wait_ms, part)
            control.waits[name], control.timely[name] = [], 1.0
            control.usual[name] = min(USUAL_START_MS, kind.latency_objective_ms / 4)
            control.late[name,] = Late()
        elif share.aim_s != wait_ms / 1000:  # against another aim the last error says nothing
            share.aim_s, share.last_error = wait_ms / 1000, None


def forget(control: Controller) -> None:
    """Dropped classes leave once nothing of them is open; stores of dropped plans once they are full."""
    from plumpick.policy.controller import HOME_CEILING  # that file imports this one

    if len(control.shares) > len(control.classes):
        open_now = {request.kind.name for request in control.requests.values()}
        open_now.update(attempt.class_name for attempt in control.attempts.values())
        over = {name for name in control.shares if name not in control.classes and name not in open_now}
        for name in over:
            del control.shares[name], control.waits[name], control.usual[name], control.timely[name]
        if over:
            control.late = {view: late for view, late in control.late.items() if view[0] not in over}
    quota = control.quota
    for key in part_of(quota.parted, quota.parted_left):
        if is_full(quota.parted[key], control.now, HOME_CEILING):
            del quota.parted[key]
