"""Weighted max-min fairness by progressive filling (Bertsekas and Gallager 1987, section 6.5.2).

Everybody gets what it demands, but nobody more than its weight's part while another's demand is not met. What
nobody demands is not given out."""

from __future__ import annotations

import math
from collections.abc import Mapping


def max_min_shares(
    limit: float, demands: Mapping[int, float], weights: Mapping[int, float] | None = None
) -> dict[int, float]:
    """Each one's share by its number, in the units of `limit`: at most its demand, and together at most the
    limit. Weights are above 0, and 1 where none is named; a demand that is not finite counts as 0."""
    demanded = {
        number: demand if demand > 0 and math.isfinite(demand) else 0.0 for number, demand in demands.items()
    }
    shares = dict.fromkeys(demanded, 0.0)
    weight = {number: (weights or {}).get(number, 1.0) for number in demanded}
    remaining = max(0.0, limit)
    # Whoever demands least for its weight is settled first; what it leaves goes to the others.
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
    """The same in whole units, of equal weights. Units that rounding down leaves go one each to those that
    lost most by it, the lower number first."""
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
