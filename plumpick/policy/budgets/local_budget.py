"""The record of one budget at a gateway, and the status of it that operators see."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from plumpick.policy.budgets.budget import Budget
from plumpick.policy.budgets.grant import PendingRequests
from plumpick.policy.budgets.rate_limiter import LocalRateLimiter

# Time for which demand and lower limits of other gateways are remembered after the last report, in grant
# terms.
DEMAND_MEMORY_TERMS = 2.0


class LowerLimits(NamedTuple):
    """Limits configured at another gateway that are lower than those at this gateway. `reported_ms`: time at
    which that gateway last reported them."""

    limit: float
    burst: float
    fingerprint: int
    reported_ms: float


@dataclass(slots=True)
class LocalBudget:
    """The state of one budget at this gateway."""

    index: int  # position of the budget in the list of configured budgets
    slot: int  # lease slot; the gateway that holds its lease allocates the budget
    configured: Budget
    limiter: LocalRateLimiter
    requests: PendingRequests
    excess_demand_ms: float = -math.inf  # last time with demand beyond the guaranteed limit
    first_excess_demand_ms: float = math.inf  # first time with demand beyond the guaranteed limit
    rejected: int = 0  # number of requests rejected since the last log line about rejections
    # Limit and burst that the allocator uses; None unless they differ from those configured at this gateway.
    allocator_limits: tuple[float, float] | None = None
    # Lower limits of other gateways, by gateway, kept where the budget is allocated. An entry is removed when
    # the gateway reports the limits configured here, or reports nothing for `DEMAND_MEMORY_TERMS`.
    lower_limits: dict[int, LowerLimits] = field(default_factory=dict)
    # Limit and burst of another gateway in the last log line about a difference; None if none was logged.
    logged_limits: tuple[float, float] | None = None


@dataclass(slots=True)
class BudgetStatus:
    """Status of one budget for operators. Rates are in units per second. `expires_in_ms`: time until the
    current grant expires, None without a grant. `allocator`: number of the gateway that allocates the budget,
    None if unknown. `granted_to_all`: sum of all grants, None unless this gateway allocates the budget."""

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
