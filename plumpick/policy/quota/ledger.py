"""Rules of one quota ledger: its key, how it begins, what it keeps back for whom, when it can be
forgotten."""

from __future__ import annotations

import math

from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.quota.records import PendingGrant, QuotaLedger

NEW_LEDGER_DEMAND_RATIO = 0.5  # of the rate, asked for of late, up to which a new ledger begins full
MAX_RESERVE_RATIO = 0.8  # of the burst, that a request of no priority leaves to others
_PLAN_BITS = 16
_OLD_TAG_MASK = 0xFFFFFFFF


def ledger_key(message: QuotaMessage) -> int:
    """The ledger that a message is about: of a customer, and of the plan that the message names."""
    return message.customer_tag << _PLAN_BITS | message.plan_index


def old_ledger_key(message: QuotaMessage) -> int:
    """The same for a ledger that a process of version 3 left: 32 bits of its customer's tag are known. Such
    keys are below 0, where no others are."""
    return old_key_of(message.customer_tag & _OLD_TAG_MASK, message.plan_index)


def old_key_of(old_tag: int, plan_index: int) -> int:
    """As old_ledger_key, by the tag of 32 bits."""
    return -1 - (old_tag << _PLAN_BITS | plan_index)


def with_plan_index(key: int, plan_index: int) -> int:
    """The key of the same customer's ledger of a plan at another index; for either kind of key."""
    if key < 0:
        return -1 - ((-1 - key) >> _PLAN_BITS << _PLAN_BITS | plan_index)
    return key >> _PLAN_BITS << _PLAN_BITS | plan_index


def is_full(ledger: QuotaLedger, now_ms: float, hard_limit_ratio: float) -> bool:
    """Whether nothing waits or is in use there and all its units are back by now: made anew, it would hold no
    less. `hard_limit_ratio`: the owner's part of a hard limit."""
    plan = ledger.plan
    elapsed_s = (now_ms - ledger.updated_ms) / 1000
    if ledger.queue or ledger.next_serve_ms != math.inf:
        return False
    if plan.rate_per_s and not ledger.units + plan.rate_per_s * elapsed_s >= plan.burst:
        return False
    if plan.hard_limit_per_s:
        filled = ledger.hard_limit_units + plan.hard_limit_per_s * hard_limit_ratio * elapsed_s
        if not filled >= plan.hard_limit_burst * hard_limit_ratio:
            return False
    return all(until_ms <= now_ms for until_ms in ledger.slots.values())


def record_initial_demand(ledger: QuotaLedger, demand_per_s: float) -> None:
    """A gateway asks a new ledger for the first time, and asked elsewhere for so many units a second before.

    An owner that restarts has forgotten what it granted, and a full ledger would grant it again. A customer
    that has asked for its quota and more, over all gateways, has spent its units."""
    rate = ledger.plan.rate_per_s
    burst = ledger.plan.burst
    if not rate:
        return
    ledger.prior_demand_per_s += max(0.0, demand_per_s)
    unspent = (rate - ledger.prior_demand_per_s) / (NEW_LEDGER_DEMAND_RATIO * rate)
    ratio = max(0.0, min(ledger.initial_ratio, unspent))  # never more than before: its rate may have gone up
    ledger.units = max(-burst, ledger.units - (ledger.initial_ratio - ratio) * burst)
    ledger.initial_ratio = ratio


def reserved_units(ledger: QuotaLedger, pending: PendingGrant, top_priority: float) -> float:
    """The units that a request leaves to those of higher priority. A full ledger serves anybody."""
    burst = ledger.plan.burst
    reserve = MAX_RESERVE_RATIO * burst * (1 - pending.priority / top_priority)
    return max(0.0, min(reserve, burst - pending.message.units))
