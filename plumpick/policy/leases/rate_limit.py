"""Limits the rate of messages about leases and budgets to each peer, by one token bucket per peer.

A gateway accepts 60 messages per second, and messages about quotas must not be crowded out. A message over
the limit is not sent, which has the same effect as the loss of its datagram: senders retransmit.

While demand exceeds the budgets, there are many messages about budgets. If they crowded out the renewal of a
lease, the lease and all grants made under it would end. Therefore a part of the burst is reserved for lease
messages."""

from __future__ import annotations

RATE_PER_S = 15.0  # maximum mean rate of messages to one peer
BURST_MESSAGES = 12.0  # maximum number of messages to one peer at one moment
RESERVED_FOR_LEASES_MESSAGES = 6.0  # part of the burst that only lease messages may use


class PeerRateLimit:
    """Rate limits for messages to peers, with one token bucket for each peer."""

    def __init__(self) -> None:
        # Tokens, and the time at which they were counted, by peer.
        self._buckets: dict[int, tuple[float, float]] = {}

    def allow(self, now_ms: float, receiver: int, is_lease_message: bool = True) -> bool:
        """Return whether one more message may be sent to a peer now; if so, it is counted as sent."""
        level, at_ms = self._buckets.get(receiver, (BURST_MESSAGES, now_ms))
        level = min(BURST_MESSAGES, level + max(0.0, now_ms - at_ms) / 1000 * RATE_PER_S)
        allowed = level >= (1 if is_lease_message else 1 + RESERVED_FOR_LEASES_MESSAGES)
        self._buckets[receiver] = (level - allowed, now_ms)
        return allowed
