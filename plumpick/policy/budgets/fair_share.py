"""Weighted max-min fairness by progressive filling (Bertsekas and Gallager 1987, section 6.5.2).

Each participant receives its demand, but no more than its weighted share while another participant's demand
is unmet. An amount that no participant demands is not distributed."""

from __future__ import annotations

import math
from collections.abc import Mapping


def max_min_shares(
    limit: float, demands: Mapping[int, float], weights: Mapping[int, float] | None = None
) -> dict[int, float]:
    """Return the share of each participant by its number, in the units of `limit`. No share exceeds its
    demand, and their sum does not exceed the limit. Weights must be positive and default to 1; a demand that
    is not finite counts as 0."""
    demanded = {
        number: demand if demand > 0 and math.isfinite(demand) else 0.0 for number, demand in demands.items()
    }
    shares = dict.fromkeys(demanded, 0.0)
    weight = {number: (weights or {}).get(number, 1.0) for number in demanded}
    remaining = max(0.0, limit)
    # The participant with the smallest demand per weight is served first; what it does not need goes to the
    # others.
    order = sorted(
        (number for number in demanded if demanded[number] > 0),
        key=lambda number: (demanded[number] / weight[number], number),
    )
    remaining_weight = sum(weight[number] for number in order)
    for number in order:
        fair = remaining * weight[number] / remaining_weight if remaining_weight > 0 else 0.0
        shares[number] = min(demanded[number], fair, remaining)
        remaining -= shares[number]
        remaining_weight -= weight[number]
    return shares


def max_min_integer_shares(limit: int, demands: Mapping[int, float]) -> dict[int, int]:
    """Return max-min fair shares with equal weights as integers. Units left over by rounding down go one each
    to the participants with the largest rounding losses, lower numbers first."""
    shares = max_min_shares(
        limit,
        {
            number: math.ceil(demand) if demand > 0 and math.isfinite(demand) else 0.0
            for number, demand in demands.items()
        },
    )
    units = {number: int(share) for number, share in shares.items()}
    remaining = limit - sum(units.values())
    unmet = sorted(
        (number for number in units if demands[number] > units[number] and demands[number] > 0),
        key=lambda number: (units[number] - shares[number], number),
    )
    for number in unmet[: max(0, remaining)]:
        units[number] += 1
    return units
