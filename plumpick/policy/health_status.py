"""Whether quotas are enforced with all their owners: one log line when that changes.

What each state promises stands in docs/operators/quotas.md; quota/bounds.py has the figures.
"""

from __future__ import annotations

from collections.abc import Collection

SETTLING_MS = 1000.0  # a state is logged once it has lasted so long


class QuotaHealth:
    """The state that was logged last. `gateway_count`: of the tier; `gateway_number`: which we are."""

    def __init__(self, gateway_count: int, gateway_number: int) -> None:
        self._others = frozenset(range(gateway_count)) - {gateway_number}
        self._logged: frozenset[int] = frozenset()
        self._seen: frozenset[int] = frozenset()
        self._since_ms = 0.0

    def update(self, now_ms: float, unresponsive: Collection[int]) -> str | None:
        """Which quota owners do not answer now; returns the line to log, or None. Unknown numbers do not
        count.

        At most one line in SETTLING_MS, and none for a state that was logged last."""
        seen = self._others.intersection(unresponsive)
        if seen != self._seen:
            self._seen = seen
            self._since_ms = now_ms
        if seen == self._logged or now_ms - self._since_ms < SETTLING_MS:
            return None
        self._logged = seen
        if not seen:
            return "quotas: shared, all homes answer"
        if seen == self._others and len(seen) > 1:
            return "quotas: alone, no home answers; all firms go by this gatekeeper's parts"
        names = ", ".join(f"n{number}" for number in sorted(seen))
        return f"quotas: without {names}; their firms go by this gatekeeper's parts"
