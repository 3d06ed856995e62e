"""In which state of quota-keeping a gatekeeper is, told in a line when it changes. No I/O, no clock.

What each state promises stands in docs/operators/quotas.md; bounds.py has the figures."""

from __future__ import annotations

from collections.abc import Collection

SETTLE_MS = 1000.0  # a state is told once it has lasted so long: a split that flaps tells nothing


class Standing:
    """The state by which homes answer. `gateways`: how many there are; `number`: which we are."""

    def __init__(self, gateways: int, number: int) -> None:
        self._others = frozenset(range(gateways)) - {number}
        self._told: frozenset[int] = frozenset()
        self._seen: frozenset[int] = frozenset()
        self._since_ms = 0.0

    def look(self, now_ms: float, silent: Collection[int]) -> str:
        """Which homes do not answer now; the line to tell, or nothing. Unknown numbers count as nobody.

        At most one line in SETTLE_MS, and none for a state that was told last."""
        seen = self._others.intersection(silent)
        if seen != self._seen:
            self._seen, self._since_ms = seen, now_ms
        if seen == self._told or now_ms - self._since_ms < SETTLE_MS:
            return ""
        self._told = seen
        if not seen:
            return "quotas: shared, all homes answer"
        if seen == self._others and len(seen) > 1:
            return "quotas: alone, no home answers; all firms go by this gatekeeper's parts"
        names = ", ".join(f"n{number}" for number in sorted(seen))
        return f"quotas: without {names}; their firms go by this gatekeeper's parts"
