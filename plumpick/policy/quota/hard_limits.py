"""A hard limit divided for good: each gateway's part of it, by its place in the customer's set alone.

The parts sum to the whole whatever breaks, since each is a function of settings and numbers. The quota owner
has OWNER_RATIO of it; the rest is the set's."""

from __future__ import annotations

# of a hard limit, that its parts make together: what was spent may be forwarded a little later
USED_RATIO = 0.96
OWNER_RATIO = 0.7 * USED_RATIO  # the quota and more, where the hard limit is 1.7 times it
SET_RATIO = 0.3 * USED_RATIO  # divided over the set, for units spent without a grant


def set_part(burst: float, set_size: int, place: int) -> float:
    """One gateway's part of what is the set's: `burst` units for all of its gateways, the one at `place`
    counted from the quota owner, which is 0.

    Even parts where each holds a unit. Else as many gateways as there are units have one each and the others
    none: parts under one unit could never be spent."""
    whole_units = int(burst)
    if burst >= set_size or whole_units < 1 or set_size == 1:
        return 1 / set_size
    return 1 / whole_units if 1 <= place <= whole_units else 0.0
