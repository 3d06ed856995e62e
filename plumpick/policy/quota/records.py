"""Records of quotas. Owners: QuotaRequester (accounts) and QuotaOwner (ledgers)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.settings import Plan

GrantKey = tuple[int, int, int]  # requesting gateway, its incarnation, serial number
AccountKey = tuple[str, str, int, int]  # customer, plan, size and first gateway of its set

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
    """One customer at this gateway."""

    plan: Plan
    customer_tag: int
    gateway_set_size: int
    owner: int  # the gateway of its set that keeps its ledger
    updated_ms: float
    local_units: float = 0.0  # this gateway's own bucket; below 0 after units spent without a grant
    hard_limit_units: float = 0.0  # in this gateway's part of the hard limit
    hard_limit_ratio: float = 0.0  # that part, of the whole
    demand_units: float = 0.0  # fading sum of the units asked of this gateway
    set_demand_per_s: float = 0.0  # units asked of the whole set, as the owner told it last
    set_demand_ms: float = -math.inf
    last_set_demand_per_s: float = 0.0  # the same, kept for longer
    last_set_demand_ms: float = -math.inf
    requests_in_flight: int = 0  # admitted and not ended


@dataclass(slots=True, eq=False)
class PendingGrant:
    """A request for a grant that waits at the quota owner."""

    key: GrantKey
    message: QuotaMessage
    priority: float
    received_ms: float
    expires_ms: float


@dataclass(slots=True, eq=False)
class QuotaLedger:
    """One customer's units, at its quota owner."""

    plan: Plan
    units: float
    updated_ms: float
    hard_limit_units: float = 0.0  # the owner's part of the hard limit
    demand_units: float = 0.0  # fading sum of the units that the whole set asked for
    queue: list[PendingGrant] = field(default_factory=list)
    slots: dict[GrantKey, float] = field(default_factory=dict)  # of max_in_flight: taken, until when
    settled: dict[GrantKey, float] = field(
        default_factory=dict
    )  # granted, or spent without a grant, and when
    returned: set[GrantKey] = field(default_factory=set)  # of these, not to be returned once more
    spent: set[GrantKey] = field(default_factory=set)  # of these, told as spent without a grant
    members: tuple[int, ...] = ()  # the other gateways of the customer's set
    requesters: dict[int, float] = field(default_factory=dict)  # of them, who asked, and when last
    withheld_units: float = 0.0  # not granted, since members are unreachable that spend by parts of their own
    next_serve_ms: float = math.inf
    created_ms: float = 0.0
    prior_demand_per_s: float = 0.0  # that its requesters had asked for before they first asked here
    initial_ratio: float = 1.0  # the part of its burst that it is taken to have begun with
