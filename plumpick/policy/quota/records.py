"""Data classes of quota state: accounts, modified by QuotaRequester, and ledgers, modified by QuotaOwner."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.settings import Plan

GrantKey = tuple[int, int, int]  # key of a grant request: requesting gateway, its incarnation, serial number
# Number of accounts or ledgers where there is no limit
NO_LIMIT = 1 << 60
# Key of an account: customer, plan, size and first gateway of the customer's set.
AccountKey = tuple[str, str, int, int]

ACCOUNT_SNAPSHOT_FIELDS = (
    "customer_tag",
    "gateway_set_size",
    "owner",
    "updated_ms",
    "local_units",
    "hard_limit_units",
    "demand_units",
    "set_demand_per_s",
    "set_demand_ms",
)
LEDGER_SNAPSHOT_FIELDS = (
    "units",
    "updated_ms",
    "hard_limit_units",
    "demand_units",
    "withheld_units",
    "created_ms",
    "prior_demand_per_s",
    "initial_ratio",
)


@dataclass(slots=True, eq=False)
class CustomerAccount:
    """Local quota state of one customer and plan at a requesting gateway."""

    plan: Plan
    customer_tag: int
    gateway_set_size: int
    owner: int  # number of the gateway that keeps the customer's ledger
    updated_ms: float  # time of the last refill of the buckets
    local_units: float = 0.0  # units in the local bucket; negative after units spent without a grant
    hard_limit_units: float = 0.0  # units left in this gateway's part of the hard limit
    hard_limit_ratio: float = 0.0  # this gateway's part as a fraction of the hard limit
    demand_units: float = 0.0  # units requested at this gateway, exponentially decayed sum
    set_demand_per_s: float = 0.0  # demand at the whole set, from the owner's last reply; 0 if outdated
    set_demand_ms: float = -math.inf  # time of the owner's reply that set_demand_per_s is from
    last_set_demand_per_s: float = 0.0  # demand at the whole set, from the owner's last reply, never reset
    last_set_demand_ms: float = -math.inf  # time of the owner's reply that last_set_demand_per_s is from
    requests_in_flight: int = 0  # number of admitted requests that have not ended


@dataclass(slots=True, eq=False)
class PendingGrant:
    """A grant request that waits at the quota owner."""

    key: GrantKey
    message: QuotaMessage
    priority: float
    received_ms: float
    expires_ms: float


@dataclass(slots=True, eq=False)
class QuotaLedger:
    """Units of one customer and plan, kept at the customer's quota owner."""

    plan: Plan
    units: float
    updated_ms: float
    hard_limit_units: float = 0.0  # units left in the owner's part of the hard limit
    demand_units: float = 0.0  # units requested at the whole set, exponentially decayed sum
    queue: list[PendingGrant] = field(default_factory=list)
    slots: dict[GrantKey, float] = field(default_factory=dict)  # occupied slots of max_in_flight: expiry time
    # Requests granted, or spent without a grant: time of the charge
    settled: dict[GrantKey, float] = field(default_factory=dict)
    returned: set[GrantKey] = field(default_factory=set)  # settled requests whose next return is not credited
    spent: set[GrantKey] = field(default_factory=set)  # settled requests reported as spent without a grant
    members: tuple[int, ...] = ()  # the other gateways of the customer's set
    requesters: dict[int, float] = field(default_factory=dict)  # time of each member's last grant request
    withheld_units: float = 0.0  # units not granted because unreachable members may be spending them
    next_serve_ms: float = math.inf  # time of the scheduled LEDGER timer
    created_ms: float = 0.0
    prior_demand_per_s: float = 0.0  # demand at its requesters before their first message to this ledger
    initial_ratio: float = 1.0  # fraction of the burst that the ledger started with, given prior_demand_per_s
