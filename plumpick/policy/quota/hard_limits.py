"""Static division of a hard limit over a customer's gateway set.

A gateway's part depends only on the settings and on its place in the set, so that the parts never add up to
more than the hard limit, whatever fails. The quota owner has OWNER_RATIO of it; SET_RATIO is divided over the
set."""

from __future__ import annotations

# Sum of all parts as a fraction of the hard limit; below 1 since units are forwarded after they are charged
USED_RATIO = 0.96
# Fraction of the hard limit for the quota owner; exceeds the quota if the hard limit is at least 1.7 times
# the quota
OWNER_RATIO = 0.7 * USED_RATIO
# Fraction of the hard limit divided over the set, for units spent without a grant.
SET_RATIO = 0.3 * USED_RATIO


def set_part(burst: float, set_size: int, place: int) -> float:
    """Fraction of the set's part that one gateway has. `burst`: units of the whole set; `place`: position of
    the gateway in the set, counted from the quota owner at 0.

    The division is even if each part holds at least one unit. Otherwise one unit each goes to as many
    gateways as there are whole units, and nothing to the others; less than one unit could never be spent."""
    whole_units = int(burst)
    if burst >= set_size or whole_units < 1 or set_size == 1:
        return 1 / set_size
    return 1 / whole_units if 1 <= place <= whole_units else 0.0
