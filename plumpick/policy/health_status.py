"""Reports in one log line when quota owners become unreachable, or reachable again.

docs/operators/quotas.md explains which quota guarantees hold in each state; quota/bounds.py computes them.
"""

from __future__ import annotations

from collections.abc import Collection

SETTLING_MS = 1000.0  # Time for which a state must last before it is logged


class QuotaHealth:
    """Tracks which quota owners do not respond, and the state that was last logged.

    `gateway_count`: number of gateways of the tier; `gateway_number`: number of this gateway."""

    def __init__(self, gateway_count: int, gateway_number: int) -> None:
        self._others = frozenset(range(gateway_count)) - {gateway_number}
        self._logged: frozenset[int] = frozenset()
        self._seen: frozenset[int] = frozenset()
        self._since_ms = 0.0

    def update(self, now_ms: float, unresponsive: Collection[int]) -> str | None:
        """Return the line to log, or None if nothing is to be logged now. `unresponsive`: numbers of the
        gateways that do not respond; this gateway's own number and unknown ones are ignored.

        Returns at most one line in SETTLING_MS, and none for the state that was logged last."""
        seen = self._others.intersection(unresponsive)
        if seen != self._seen:
            self._seen = seen
            self._since_ms = now_ms
        if seen == self._logged or now_ms - self._since_ms < SETTLING_MS:
            return None
        self._logged = seen
        if not seen:
            return "quotas: enforced over all gateways, all quota owners respond"
        if seen == self._others and len(seen) > 1:
            return "quotas: no other quota owner responds; all customers are limited to this gateway's share"
        names = ", ".join(f"n{number}" for number in sorted(seen))
        return f"quotas: no response from {names}; their customers are limited to this gateway's share"
