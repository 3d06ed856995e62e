"""One voter's word on each lease: it gives it to one at a time, and keeps it for longer than who has it
counts.

Guards against: a voter that comes back and has forgotten what it gave (silent for the longest term); words
that come late, twice or in another order (each asking has a serial, which only grows in a life); a token
that comes back smaller (who asks has to be above all that this life of the voter has given)."""

from __future__ import annotations

from dataclasses import dataclass

from plumpick.policy.leases.codec import NOBODY, Verdict
from plumpick.policy.leases.terms import Terms, counter_of, owner_of, token_of

FRESH_MS = 1000.0

Owner = tuple[int, int]  # number, life


@dataclass(slots=True)
class Grant:
    """The word that was given."""

    token: int
    serial: int  # of the asking that it answered last
    until_ms: float
    since_ms: float = 0.0

    @property
    def owner(self) -> Owner:
        return owner_of(self.token)


class Voter:
    """Tables: one entry for each lease, of which there are `terms.leases`; they stay."""

    def __init__(self, terms: Terms, now_ms: float) -> None:
        self._terms = terms
        self.silent_until_ms = now_ms + terms.silence_ms
        self.grants: dict[int, Grant] = {}
        self.highest: dict[int, int] = {}  # the largest token given in this life
        self.given_back: dict[int, tuple[Owner, int]] = {}  # the last one's, with the serial of its word

    def ask(
        self, now_ms: float, lease: int, owner: Owner, counter: int, serial: int
    ) -> tuple[Verdict, int, int] | None:
        """The verdict, the counter to be above, and the number of who has the lease. None: it is no asking of
        now, and there is nothing to say."""
        if not 0 <= lease < self._terms.leases or not 0 < counter < 1 << 48:
            return None
        if now_ms < self.silent_until_ms:
            return Verdict.SILENT, 0, NOBODY
        back = self.given_back.get(lease)
        if back is not None and back[0] == owner and serial <= back[1]:
            return None  # it has said since that it does not want it
        grant, token = self.holder(now_ms, lease), token_of(counter, *owner)
        if grant is not None and grant.owner != owner:
            return Verdict.HELD, counter_of(self.highest.get(lease, 0)), grant.owner[0]
        highest = self.highest.get(lease, 0)
        if token < highest:
            return Verdict.BEHIND, counter_of(highest), grant.owner[0] if grant else NOBODY
        if grant is None:
            grant = self.grants[lease] = Grant(token, serial, 0.0, now_ms)
        grant.token, grant.serial = token, max(grant.serial, serial)
        grant.until_ms = max(grant.until_ms, now_ms + self._terms.voter_ms())
        self.highest[lease] = token
        return Verdict.YES, counter, owner[0]

    def is_fresh(self, now_ms: float, lease: int) -> bool:
        """Whether who has our word has it since just now: it may not have a majority yet."""
        grant = self.grants.get(lease)
        return grant is not None and now_ms - grant.since_ms < FRESH_MS

    def give(self, lease: int, owner: Owner, serial: int) -> bool:
        """Whether the lease came free. One that was asked for anew meanwhile stays."""
        if not 0 <= lease < self._terms.leases:
            return False
        grant, back = self.grants.get(lease), self.given_back.get(lease)
        if grant is not None and grant.owner == owner and serial < grant.serial:
            return False
        if back is None or back[0] != owner or back[1] < serial:
            self.given_back[lease] = owner, serial
        if grant is None or grant.owner != owner:
            return False
        del self.grants[lease]
        return True

    def holder(self, now_ms: float, lease: int) -> Grant | None:
        """Who has our word, if it has not ended."""
        grant = self.grants.get(lease)
        return grant if grant is not None and now_ms < grant.until_ms else None

    def free(self, now_ms: float) -> tuple[list[int], set[Owner]]:
        """The slots that nobody has our word for (none while we are silent), and who let one of them end
        without a word. A word that has ended is forgotten here."""
        if now_ms < self.silent_until_ms:
            return [], set()
        ended = [lease for lease, grant in self.grants.items() if now_ms >= grant.until_ms]
        gone = {self.grants.pop(lease).owner for lease in ended}
        return [lease for lease in range(self._terms.slots) if lease not in self.grants], gone

    def next_ms(self, now_ms: float) -> float:
        """When something may come free by its end."""
        ends = [grant.until_ms for grant in self.grants.values() if grant.until_ms > now_ms]
        if now_ms < self.silent_until_ms:
            ends.append(self.silent_until_ms)
        return min(ends, default=float("inf"))
