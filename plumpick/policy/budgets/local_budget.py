"""The record of one budget at this gateway, and what an operator is shown of it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from plumpick.policy.budgets.budget import Budget
from plumpick.policy.budgets.grant import PendingRequests
from plumpick.policy.budgets.rate_limiter import LocalRateLimiter

DEMAND_MEMORY_TERMS = 2.0  # grant terms for which demand, or another gateway's lower limits, are remembered


class LowerLimits(NamedTuple):
    """Limits that another gateway has configured, lower than ours; `reported_ms` is when it last said so."""

    limit: float
    burst: float
    fingerprint: int
    reported_ms: float


@dataclass(slots=True)
class LocalBudget:
    """One budget at this gateway."""

    index: int  # its place among the configured budgets
    slot: int  # the lease slot whose owner allocates it
    configured: Budget
    limiter: LocalRateLimiter
    requests: PendingRequests
    excess_demand_ms: float = -math.inf  # when there last was demand beyond the guaranteed limit
    first_excess_demand_ms: float = math.inf
    rejected: int = 0  # requests since they were last logged
    # Limit and burst that the allocator goes by, where they differ from ours.
    allocator_limits: tuple[float, float] | None = None
    # Used by the allocator: at most one entry for each gateway, until it reports our limits, or nothing for
    # `DEMAND_MEMORY_TERMS`.
    lower_limits: dict[int, LowerLimits] = field(default_factory=dict)
    logged_limits: tuple[float, float] | None = None  # the different ones that were last logged


@dataclass(slots=True)
class BudgetStatus:
    """One budget as an operator sees it: rates in units a second, `expires_in_ms` from now, None without a
    grant. `granted_to_all` is None where another gateway allocates, `allocator` where none is known."""

    name: str
    limit: float
    guaranteed: float
    granted: float
    expires_in_ms: float | None
    available: float
    demand: float
    rejected: int
    allocator: int | None
    fencing_token: int
    granted_to_all: float | None
