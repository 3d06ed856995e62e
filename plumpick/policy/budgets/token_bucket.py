"""A token bucket that expires at a fixed time."""

from __future__ import annotations

import math


class TokenBucket:
    """Fills at `rate_per_s` tokens per second up to `capacity`, until `expires_ms`; no token is available
    afterwards."""

    __slots__ = ("rate_per_s", "capacity", "tokens", "expires_ms", "_refilled_ms")

    def __init__(
        self,
        now_ms: float,
        rate_per_s: float,
        capacity: float,
        tokens: float = 0.0,
        expires_ms: float = math.inf,
    ) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.tokens = min(tokens, capacity)
        self.expires_ms = expires_ms
        self._refilled_ms = now_ms

    def refill(self, now_ms: float) -> None:
        """Add the tokens for the time since the last refill, up to now or to the bucket's expiry."""
        end_ms = now_ms if now_ms < self.expires_ms else self.expires_ms
        if end_ms > self._refilled_ms:
            tokens = self.tokens + (end_ms - self._refilled_ms) / 1000 * self.rate_per_s
            self.tokens = tokens if tokens < self.capacity else self.capacity
            self._refilled_ms = end_ms

    def available(self, now_ms: float) -> float:
        """Number of tokens that may be taken now."""
        self.refill(now_ms)
        return self.tokens if now_ms < self.expires_ms else 0.0
