"""Who gets what of a whole: weighted max-min fairness, by filling up.

Each gets what it asks for, but nobody more than its weight's part while another is left wanting (Bertsekas
and Gallager 1987, section 6.5.2). What nobody asks for stays with the divider."""

from __future__ import annotations

import math
from collections.abc import Mapping


def max_min_shares(
    whole: float, demands: Mapping[int, float], weights: Mapping[int, float] | None = None
) -> dict[int, float]:
    """The parts, by number; their sum is at most the whole, each at most its demand. Weights are 1 unless
    named, and above 0; a demand that is no number counts as none."""
    asked = {
        number: demand if demand > 0 and math.isfinite(demand) else 0.0 for number, demand in demands.items()
    }
    parts = dict.fromkeys(asked, 0.0)
    weight = {number: (weights or {}).get(number, 1.0) for number in asked}
    left = max(0.0, whole)
    # By how much of its weight each wants: who wants least for its weight is settled first.
    order = sorted(
        (number for number in asked if asked[number] > 0), key=lambda one: (asked[one] / weight[one], one)
    )
    heavy = sum(weight[number] for number in order)
    for number in order:
        fair = left * weight[number] / heavy if heavy > 0 else 0.0
        parts[number] = min(asked[number], fair, left)
        left -= parts[number]
        heavy -= weight[number]
    return parts


def max_min_integer_shares(whole: int, demands: Mapping[int, float]) -> dict[int, int]:
    """The same in whole units, where a unit cannot be split: what rounding leaves goes one each to who is
    left wanting most, the lower number first."""
    parts = max_min_shares(
        whole,
        {
            number: math.ceil(demand) if demand > 0 and math.isfinite(demand) else 0.0
            for number, demand in demands.items()
        },
    )
    units = {number: int(part) for number, part in parts.items()}
    left = whole - sum(units.values())
    wanting = sorted(
        (number for number in units if demands[number] > units[number] and demands[number] > 0),
        key=lambda one: (units[one] - parts[one], one),
    )
    for number in wanting[: max(0, left)]:
        units[number] += 1
    return units
