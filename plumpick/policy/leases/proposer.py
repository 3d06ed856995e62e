"""Whom a voter asks to take a slot that is free: nobody else has to watch, whatever the size of the tier.

Candidates in the order of rendezvous hashing, those first that have said of late that they are there. One
is called, then two, four, eight, each 150 ms after the last: 140 dead of 200 cost a second, and two seldom
want the same."""

from __future__ import annotations

import math
from dataclasses import dataclass

from plumpick.policy.leases.terms import Terms, rank

STEP_MS = 150.0  # a call, its asking and the answers take two or three ways of 40 ms at most
WAY_MS = 40.0  # from one gatekeeper to another
HERE_EACH_MS = 100.0  # a voter hears one HERE in so long on average, whatever the size of the tier
HERE_LEAST_MS = 2000.0
AGAIN_MS = 450.0  # after all were called in vain, doubled each time up to half a term
STALE = 3.0  # times the time between two HERE: who has said nothing for so long is called last
SETTLED = 2.0  # terms: who has been there for so long may have what is meant for it from another


@dataclass(slots=True)
class There:
    """A gatekeeper that said it is there."""

    life: int
    since_ms: float
    heard_ms: float
    leaving: bool = False


@dataclass(slots=True)
class Calling:
    """How far the calls for one slot have come."""

    order: list[int]
    next_ms: float
    step: int = 0
    rounds: int = 0


def here_ms(gateways: int) -> float:
    """How often each says that it is there."""
    return max(HERE_LEAST_MS, gateways * HERE_EACH_MS)


class Caller:
    """Tables: one entry for each gatekeeper, and one for each slot that is free."""

    def __init__(self, terms: Terms, gateways: int, now_ms: float) -> None:
        self._terms, self._gateways, self._since_ms = terms, gateways, now_ms
        # The other voters' words end so much later at most: who is called then finds all of them free.
        self._spread_ms = 2 * terms.drift * terms.term_ms + WAY_MS
        self._stale_ms = STALE * here_ms(gateways)
        self.there: dict[int, There] = {}
        self.calling: dict[int, Calling] = {}

    def here(self, now_ms: float, number: int, life: int, leaving: bool) -> None:
        """Somebody is there."""
        one = self.there.get(number)
        if one is None or one.life != life or now_ms - one.heard_ms > self._stale_ms:
            one = self.there[number] = There(life, now_ms, now_ms)
        one.heard_ms, one.leaving = now_ms, leaving

    def gone(self, number: int, life: int) -> None:
        """It has let a lease end without a word: not there until it says so again."""
        one = self.there.get(number)
        if one is not None and one.life == life:
            del self.there[number]

    def _is_there(self, now_ms: float, number: int) -> bool:
        one = self.there.get(number)
        return one is not None and not one.leaving and now_ms - one.heard_ms <= self._stale_ms

    def order(self, now_ms: float, lease: int) -> list[int]:
        """All gatekeepers, whom to ask first first."""
        return sorted(
            range(self._gateways),
            key=lambda number: (not self._is_there(now_ms, number), rank(lease, number), number),
        )

    def better(self, now_ms: float, lease: int, holder: int) -> bool:
        """Whether somebody settled here should have it rather than who has it."""
        if lease >= self._terms.slots:
            return False
        settled_ms, own = SETTLED * self._terms.term_ms, (rank(lease, holder), holder)
        return any(
            (rank(lease, number), number) < own
            and self._is_there(now_ms, number)
            and now_ms - one.since_ms > settled_ms
            for number, one in self.there.items()
        )

    def due(self, now_ms: float, free: list[int]) -> dict[int, list[int]]:
        """Who is to be called now, and for which slots."""
        calls: dict[int, list[int]] = {}
        for lease in [lease for lease in self.calling if lease not in free]:
            del self.calling[lease]
        for lease in free:
            calling = self.calling.get(lease)
            if calling is None:
                calling = self.calling[lease] = Calling(self.order(now_ms, lease), now_ms + self._spread_ms)
            if now_ms < calling.next_ms:
                continue
            if not calling.order:  # all were called: once more from the beginning
                calling.order, calling.step = self.order(now_ms, lease), 0
                calling.rounds += 1
            count = 1 << calling.step
            for number in calling.order[:count]:
                calls.setdefault(number, []).append(lease)
            del calling.order[:count]
            calling.step += 1
            calling.next_ms = now_ms + (
                STEP_MS
                if calling.order
                else min(self._terms.term_ms / 2, AGAIN_MS * 2 ** min(calling.rounds, 8))
            )
        return calls

    def next_ms(self) -> float:
        return min((calling.next_ms for calling in self.calling.values()), default=math.inf)
