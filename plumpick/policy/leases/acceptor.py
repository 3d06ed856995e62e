"""One acceptor's votes: it grants each lease to one process at a time, for longer than that process counts.

Guards against: an acceptor that restarts and has forgotten its grants (it grants nothing for the longest
term); messages that come late, twice or out of order (each request has a serial, which only grows in an
incarnation); a token that gets smaller (a request has to be above all that this incarnation of the acceptor
has granted)."""

from __future__ import annotations

from dataclasses import dataclass

from plumpick.policy.leases.codec import NO_HOLDER, LeaseVote, Vote
from plumpick.policy.leases.terms import LeaseTerms, fencing_token, token_counter, token_owner

RECENT_GRANT_MS = 1000.0

Owner = tuple[int, int]  # gateway's number, incarnation


@dataclass(slots=True)
class Grant:
    """A lease that this acceptor has granted."""

    token: int
    serial: int  # of the latest request that it answered
    expires_ms: float
    granted_ms: float = 0.0

    @property
    def owner(self) -> Owner:
        """To whom it is granted."""
        return token_owner(self.token)


class Acceptor:
    """Owns one grant, highest token and last release for each lease, of which there are `terms.leases`."""

    def __init__(self, terms: LeaseTerms, now_ms: float) -> None:
        self._terms = terms
        self.silent_until_ms = now_ms + terms.silence_ms
        self.grants: dict[int, Grant] = {}
        self.highest_tokens: dict[int, int] = {}  # granted in this incarnation
        self.releases: dict[int, tuple[Owner, int]] = {}  # the last one, and its serial

    def on_request(
        self, now_ms: float, lease: int, owner: Owner, counter: int, serial: int
    ) -> LeaseVote | None:
        """The vote on a request to grant or renew a lease; None: it is stale or invalid, and gets no
        reply."""
        if not 0 <= lease < self._terms.leases or not 0 < counter < 1 << 48:
            return None
        if now_ms < self.silent_until_ms:
            return LeaseVote(lease, Vote.SILENT, False, 0, NO_HOLDER)
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
        """Whether the owner released the lease after this request."""
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
        """Whether the holder may not have its quorum yet."""
        return now_ms - grant.granted_ms < RECENT_GRANT_MS

    def on_release(self, lease: int, owner: Owner, serial: int) -> bool:
        """Whether the release freed the lease. A grant that was requested again since then stays."""
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
        """The grant of a lease, unless it has expired."""
        grant = self.grants.get(lease)
        return grant if grant is not None and now_ms < grant.expires_ms else None

    def expire_grants(self, now_ms: float) -> set[Owner]:
        """Drop the grants that have expired; whose they were. None while this acceptor is silent."""
        if now_ms < self.silent_until_ms:
            return set()
        expired = [lease for lease, grant in self.grants.items() if now_ms >= grant.expires_ms]
        return {self.grants.pop(lease).owner for lease in expired}

    def free_slots(self, now_ms: float) -> list[int]:
        """The slots that this acceptor has granted to nobody; none while it is silent."""
        if now_ms < self.silent_until_ms:
            return []
        return [lease for lease in range(self._terms.slots) if lease not in self.grants]

    def next_due_ms(self, now_ms: float) -> float:
        """When a lease may become free because a grant expires or the silence ends."""
        times = [grant.expires_ms for grant in self.grants.values() if grant.expires_ms > now_ms]
        if now_ms < self.silent_until_ms:
            times.append(self.silent_until_ms)
        return min(times, default=float("inf"))
