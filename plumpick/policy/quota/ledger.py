"""Rules of a single quota ledger: key, initial units, units reserved by priority, and eviction."""

from __future__ import annotations

import math

from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.quota.records import PendingGrant, QuotaLedger

# Fraction of the rate that must be unused for a new ledger to start full; below it the start is proportional
NEW_LEDGER_DEMAND_RATIO = 0.5
MAX_RESERVE_RATIO = 0.8  # fraction of the burst that a request of priority 0 leaves to higher priorities
_PLAN_BITS = 16
_OLD_TAG_MASK = 0xFFFFFFFF


def ledger_key(message: QuotaMessage) -> int:
    """Key of the ledger of a message's customer and plan."""
    return message.customer_tag << _PLAN_BITS | message.plan_index


def old_ledger_key(message: QuotaMessage) -> int:
    """Key of the ledger of a message's customer and plan if it was imported from a process of protocol
    version 3, which stored only 32 bits of the customer's tag. Only these keys are negative."""
    return old_key_of(message.customer_tag & _OLD_TAG_MASK, message.plan_index)


def old_key_of(old_tag: int, plan_index: int) -> int:
    """Negative ledger key for a 32-bit customer tag of protocol version 3; see `old_ledger_key`."""
    return -1 - (old_tag << _PLAN_BITS | plan_index)


def with_plan_index(key: int, plan_index: int) -> int:
    """Ledger key of the same customer with another plan index; accepts keys of either protocol version."""
    if key < 0:
        return -1 - ((-1 - key) >> _PLAN_BITS << _PLAN_BITS | plan_index)
    return key >> _PLAN_BITS << _PLAN_BITS | plan_index


def is_full(ledger: QuotaLedger, now_ms: float, hard_limit_ratio: float) -> bool:
    """Whether a ledger can be evicted: no request waits, no slot is in use, and its units have refilled
    completely, so that a new ledger would hold the same. `hard_limit_ratio`: the owner's fraction of a hard
    limit."""
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
    """Reduce the units of a new ledger by the customer's demand before the ledger was created, as reported
    with the first message of a gateway. `demand_per_s`: prior demand at that gateway, in units per second.

    A restarted owner has lost its record of grants, and a full ledger would grant the same units again. A
    customer whose demand over all gateways reached its quota is assumed to have spent its units."""
    rate = ledger.plan.rate_per_s
    burst = ledger.plan.burst
    if not rate:
        return
    ledger.prior_demand_per_s += max(0.0, demand_per_s)
    unspent = (rate - ledger.prior_demand_per_s) / (NEW_LEDGER_DEMAND_RATIO * rate)
    # Never raised, even if the plan's rate has increased
    ratio = max(0.0, min(ledger.initial_ratio, unspent))
    ledger.units = max(-burst, ledger.units - (ledger.initial_ratio - ratio) * burst)
    ledger.initial_ratio = ratio


def reserved_units(ledger: QuotaLedger, pending: PendingGrant, top_priority: float) -> float:
    """Units that must remain in the ledger after a grant of this request, for requests of higher priority;
    limited so that a full ledger can grant any request."""
    burst = ledger.plan.burst
    reserve = MAX_RESERVE_RATIO * burst * (1 - pending.priority / top_priority)
    return max(0.0, min(reserve, burst - pending.message.units))
