"""Limits the messages about leases and budgets to each peer: a token bucket a peer.

A gateway takes in 60 messages a second; the quotas' messages must not be crowded out. What is over the limit
is not sent, as if the datagram were lost: the callers' retransmissions repair it.

Messages about budgets are many when all want more than there is. If they crowded out a lease's renewal, the
lease and all that is lent under it would end; so a part of the burst is reserved for messages about
leases."""

from __future__ import annotations

RATE_PER_S = 15.0
BURST_MESSAGES = 12.0
RESERVED_FOR_LEASES_MESSAGES = 6.0  # of the burst


class PeerRateLimit:
    """Owns one bucket for each peer."""

    def __init__(self) -> None:
        self._buckets: dict[int, tuple[float, float]] = {}  # by peer: level, and when it was computed

    def allow(self, now_ms: float, receiver: int, is_lease_message: bool = True) -> bool:
        """Whether one more message may go to that peer now; it is counted, then."""
        level, at_ms = self._buckets.get(receiver, (BURST_MESSAGES, now_ms))
        level = min(BURST_MESSAGES, level + max(0.0, now_ms - at_ms) / 1000 * RATE_PER_S)
        allowed = level >= (1 if is_lease_message else 1 + RESERVED_FOR_LEASES_MESSAGES)
        self._buckets[receiver] = (level - allowed, now_ms)
        return allowed
