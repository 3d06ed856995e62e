"""A customer's store at its home: how it begins, and what it leaves for whom. No I/O, no clock."""

from __future__ import annotations

import math

from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.state import Ask, Store

NEW_PART = 0.5  # of a quota asked by a firm's gateways of late that still lets a new store begin full
RESERVE = 0.8  # of the burst that what is worth nothing leaves in store, and less the more it is worth
_PLAN_BITS = 16


def store_name(item: QuotaMessage) -> int:
    """The store that an item of business is about: of a customer, and of the plan that is said to be its."""
    return item.customer_tag << _PLAN_BITS | item.plan_index


def old_store_name(item: QuotaMessage) -> int:
    """The same, for a store that a process of version 3 left: of its customer's tag 32 bits are known. Below
    nothing, where no other store is."""
    return renamed(item.customer_tag & 0xFFFFFFFF, item.plan_index)


def renamed(old_tag: int, plan_index: int) -> int:
    """As old_store_name."""
    return -1 - (old_tag << _PLAN_BITS | plan_index)


def moved(name: int, place: int) -> int:
    """The name of the same customer's store of the plan at another place; either kind of name."""
    if name < 0:
        return -1 - ((-1 - name) >> _PLAN_BITS << _PLAN_BITS | place)
    return name >> _PLAN_BITS << _PLAN_BITS | place


def is_full(store: Store, now: float, ceiling_part: float) -> bool:
    """Whether nothing waits there, no slot is taken and it is full again by now: made anew it would hold no
    less. `ceiling_part`: the home's, of a ceiling."""
    plan, gone_s = store.plan, (now - store.at_ms) / 1000
    return (
        not store.queue
        and (not plan.rate_per_s or store.level + plan.rate_per_s * gone_s >= plan.burst)
        and (
            not plan.hard_limit_per_s
            or store.ceiling + plan.hard_limit_per_s * ceiling_part * gone_s
            >= plan.hard_limit_burst * ceiling_part
        )
        and all(until <= now for until in store.leases.values())
        and store.wake_ms == math.inf
    )


def begin_with(store: Store, asked_per_s: float) -> None:
    """A new store's first word from one more gateway, which asked for so many units a second before it.

    Danger: a home that restarts has forgotten what it granted; a full store would grant it again. Who
    asks tells how much of late: a firm that asks for its quota and more, over all, has emptied its
    store."""
    rate, burst = store.plan.rate_per_s, store.plan.burst
    if rate:
        store.before += max(0.0, asked_per_s)
        # Never more than it was taken to have: its rate may have gone up since.
        part = max(0.0, min(store.begun, (rate - store.before) / (NEW_PART * rate)))
        store.level = max(-burst, store.level - (store.begun - part) * burst)
        store.begun = part


def spare(store: Store, ask: Ask, top: float) -> float:
    """What an ask leaves in store for worthier ones; `top`: the most that a request is worth. A full store
    serves anybody."""
    burst = store.plan.burst
    return max(0.0, min(RESERVE * burst * (1 - ask.worth / top), burst - ask.item.units))
