"""Permits for planned restarts: so many gateways, and no more, may be out of service at one time.

A permit is a lease that whoever wants one requests, at random among the permits, until it has one."""

from __future__ import annotations

import math
from random import Random

from plumpick.policy.leases.lease_holder import LeaseHolder
from plumpick.policy.leases.terms import LeaseTerms

RETRY_MS = 400.0  # up to twice as long


class RestartPermits:
    """Requests one permit while an operator wants one, and holds it until it is no longer wanted."""

    def __init__(self, terms: LeaseTerms, holder: LeaseHolder, chance: Random) -> None:
        self._leases = range(terms.slots, terms.leases)
        self._holder = holder
        self._chance = chance
        self.wanted = False
        self.next_due_ms = math.inf

    def held(self) -> int | None:
        """The permit that this process holds, as a lease's number."""
        return next((lease for lease in self._leases if lease in self._holder.held), None)

    def set_wanted(self, now_ms: float, wanted: bool) -> None:
        """Request a permit from now on, or release the one that is held or requested."""
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
        """Request a random permit when it is time to, and none is held or requested."""
        if now_ms < self.next_due_ms:
            return
        self.next_due_ms = now_ms + RETRY_MS * self._chance.uniform(1, 2)
        if self.held() is None and not any(lease in self._holder.pending for lease in self._leases):
            self._holder.acquire(now_ms, [self._chance.choice(self._leases)])
