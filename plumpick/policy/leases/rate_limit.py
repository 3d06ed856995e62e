"""Words about leases and budgets to one gatekeeper, held to a part of the 60 messages a second that it takes
in: the quotas' business goes first. What is over is dropped, as any datagram may be.

Danger: words about shares are many where all want more than there is, and a lease that cannot be renewed
among them ends, and with it what is lent under it. So of the burst a part is kept for words about leases."""

from __future__ import annotations

RATE_PER_S, BURST = 15.0, 12.0
KEPT = 6.0  # of the burst, for words about leases


class Pace:
    """Table: one bucket for each gatekeeper."""

    def __init__(self) -> None:
        self._left: dict[int, tuple[float, float]] = {}

    def allows(self, now_ms: float, receiver: int, leases: bool = True) -> bool:
        """Whether one more may go there now; `leases`: it is about them."""
        left, at_ms = self._left.get(receiver, (BURST, now_ms))
        left = min(BURST, left + max(0.0, now_ms - at_ms) / 1000 * RATE_PER_S)
        allowed = left >= (1 if leases else 1 + KEPT)
        self._left[receiver] = (left - allowed, now_ms)
        return allowed
