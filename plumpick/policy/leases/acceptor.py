"""One acceptor of the leases: it grants each lease to one process at a time, for longer than that process
holds it.

Failures that are handled:
- an acceptor that has restarted and lost its grants: it grants nothing for the longest possible term;
- messages that arrive late, twice or out of order: each request carries a serial number, which only grows
  within an incarnation of its sender;
- a smaller fencing token: a request must not have a smaller token than any that this incarnation of the
  acceptor has granted for the lease."""

from __future__ import annotations

from dataclasses import dataclass

from plumpick.policy.leases.codec import NO_HOLDER, LeaseVote, Vote
from plumpick.policy.leases.terms import LeaseTerms, fencing_token, token_counter, token_owner

RECENT_GRANT_MS = 1000.0  # time after a first grant in which its holder may not have a quorum yet

Owner = tuple[int, int]  # number and incarnation of the gateway that holds a grant


@dataclass(slots=True)
class Grant:
    """One acceptor's grant of a lease."""

    token: int
    serial: int  # serial number of the latest request that was granted
    expires_ms: float
    granted_ms: float = 0.0

    @property
    def owner(self) -> Owner:
        """Gateway and incarnation that hold the grant."""
        return token_owner(self.token)


class Acceptor:
    """Votes on requests for leases. Keeps at most one grant, one highest token and one last release for each
    of the `terms.leases` leases."""

    def __init__(self, terms: LeaseTerms, now_ms: float) -> None:
        self._terms = terms
        self.startup_wait_until_ms = now_ms + terms.startup_wait_ms
        self.grants: dict[int, Grant] = {}
        self.highest_tokens: dict[int, int] = {}  # largest token granted in this incarnation, by lease
        # Owner and serial number of the last release, by lease.
        self.releases: dict[int, tuple[Owner, int]] = {}

    def on_request(
        self, now_ms: float, lease: int, owner: Owner, counter: int, serial: int
    ) -> LeaseVote | None:
        """Return the vote on a request to grant or renew a lease; None for an outdated or invalid request,
        which gets no response."""
        if not 0 <= lease < self._terms.leases or not 0 < counter < 1 << 48:
            return None
        if now_ms < self.startup_wait_until_ms:
            return LeaseVote(lease, Vote.STARTING, False, 0, NO_HOLDER)
        if self._is_released_since(lease, owner, serial):
            return None
        grant = self.active_grant(now_ms, lease)
        highest = self.highest_tokens.get(lease, 0)
        if grant is not None and grant.owner != owner:
            recent = self._is_recent(now_ms, grant)
            return LeaseVote(lease, Vote.HELD_BY_OTHER, recent, token_counter(highest), grant.owner[0])
        token = fencing_token(counter, *owner)
        if token < highest:
            holder = grant.owner[0] if grant else NO_HOLDER
            return LeaseVote(lease, Vote.STALE_COUNTER, False, token_counter(highest), holder)
        self._grant(now_ms, lease, grant, token, serial)
        return LeaseVote(lease, Vote.GRANTED, False, counter, owner[0])

    def _is_released_since(self, lease: int, owner: Owner, serial: int) -> bool:
        """Whether the owner released the lease after it sent the request with this serial number."""
        release = self.releases.get(lease)
        return release is not None and release[0] == owner and serial <= release[1]

    def _grant(self, now_ms: float, lease: int, grant: Grant | None, token: int, serial: int) -> None:
        if grant is None:
            grant = self.grants[lease] = Grant(token, serial, 0.0, now_ms)
        grant.token = token
        grant.serial = max(grant.serial, serial)
        grant.expires_ms = max(grant.expires_ms, now_ms + self._terms.acceptor_hold_ms())
        self.highest_tokens[lease] = token

    def _is_recent(self, now_ms: float, grant: Grant) -> bool:
        """Whether a grant is so recent that its holder may not have a quorum yet."""
        return now_ms - grant.granted_ms < RECENT_GRANT_MS

    def on_release(self, lease: int, owner: Owner, serial: int) -> bool:
        """Handle a release; return whether it ended a grant. A grant that its owner requested again after the
        release remains."""
        if not 0 <= lease < self._terms.leases:
            return False
        grant = self.grants.get(lease)
        release = self.releases.get(lease)
        if grant is not None and grant.owner == owner and serial < grant.serial:
            return False
        if release is None or release[0] != owner or release[1] < serial:
            self.releases[lease] = owner, serial
        if grant is None or grant.owner != owner:
            return False
        del self.grants[lease]
        return True

    def active_grant(self, now_ms: float, lease: int) -> Grant | None:
        """The grant of a lease; None if there is none or it has expired."""
        grant = self.grants.get(lease)
        return grant if grant is not None and now_ms < grant.expires_ms else None

    def expire_grants(self, now_ms: float) -> set[Owner]:
        """Remove expired grants and return their owners. During the wait after its start, an acceptor removes
        nothing."""
        if now_ms < self.startup_wait_until_ms:
            return set()
        expired = [lease for lease, grant in self.grants.items() if now_ms >= grant.expires_ms]
        return {self.grants.pop(lease).owner for lease in expired}

    def free_slots(self, now_ms: float) -> list[int]:
        """Slots without a grant at this acceptor; empty during the wait after its start."""
        if now_ms < self.startup_wait_until_ms:
            return []
        return [lease for lease in range(self._terms.slots) if lease not in self.grants]

    def next_due_ms(self, now_ms: float) -> float:
        """Next time at which a lease may become free, because a grant expires or the wait after the start of
        this acceptor ends; infinity if there is none."""
        times = [grant.expires_ms for grant in self.grants.values() if grant.expires_ms > now_ms]
        if now_ms < self.startup_wait_until_ms:
            times.append(self.startup_wait_until_ms)
        return min(times, default=float("inf"))
