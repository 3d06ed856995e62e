"""Permits for planned restarts: they limit the number of gateways that are out of service at the same time.

Each permit is a lease. A gateway that needs a permit requests a randomly chosen one, repeatedly, until it
holds one."""

from __future__ import annotations

import math
from random import Random

from plumpick.policy.leases.lease_holder import LeaseHolder
from plumpick.policy.leases.terms import LeaseTerms

RETRY_MS = 400.0  # minimum time between two requests for a permit; the maximum is twice as long


class RestartPermits:
    """Requests a permit when an operator wants one, and holds it until the operator no longer does."""

    def __init__(self, terms: LeaseTerms, holder: LeaseHolder, rng: Random) -> None:
        self._leases = range(terms.slots, terms.leases)
        self._holder = holder
        self._rng = rng
        self.wanted = False
        self.next_due_ms = math.inf

    def held(self) -> int | None:
        """Lease number of the permit that this process holds; None without one."""
        return next((lease for lease in self._leases if lease in self._holder.held), None)

    def set_wanted(self, now_ms: float, wanted: bool) -> None:
        """Start requesting a permit if `wanted`; otherwise stop, and release a permit that is held or
        requested."""
        if wanted and not self.wanted:
            self.next_due_ms = now_ms
        self.wanted = wanted
        if wanted:
            return
        self.next_due_ms = math.inf
        for lease in self._leases:
            if lease in self._holder.held or lease in self._holder.pending:
                self._holder.release(lease)

    def on_timer(self, now_ms: float) -> None:
        """Request a random permit if a request is due and no permit is held or requested."""
        if now_ms < self.next_due_ms:
            return
        self.next_due_ms = now_ms + RETRY_MS * self._rng.uniform(1, 2)
        if self.held() is None and not any(lease in self._holder.pending for lease in self._leases):
            self._holder.acquire(now_ms, [self._rng.choice(self._leases)])
