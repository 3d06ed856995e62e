"""What this process holds, and what it asks for: its end counts from when it asked, and only for that asking.

Guards against: an answer to another asking than the open one (thrown away, whatever it says); a stall
(what has ended goes first, before anything that came meanwhile is looked at); a renewal after the end
(there is none: what has ended is taken anew, under a larger token); a vote that nobody needs (given back,
so that others need not wait)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from plumpick.policy.leases.codec import NOBODY, Verdict, Word
from plumpick.policy.leases.terms import COUNTER_MOST, Terms, counter_of, rank, token_of

RESEND_MS = 150.0  # doubled each time
TAKE_MS = 1000.0  # a taking that has no majority by then gives its votes back: another may have the rest
TRIES = 3  # with a larger counter, at one call


@dataclass(slots=True)
class Held:
    """A lease that this process holds."""

    token: int
    asked_ms: float  # when that was asked which gave it last
    since_ms: float
    yielding: bool = False  # somebody settled should have it: nothing new begins


@dataclass(slots=True)
class Asking:
    """One question to all voters, about several leases. Its end counts from `asked_ms`, however often
    sent."""

    serial: int
    asked_ms: float
    leases: dict[int, int]  # those not settled yet, with their counters
    taking: bool
    tries: int = 0
    yes: dict[int, set[int]] = field(default_factory=dict)
    no: dict[int, dict[int, Verdict]] = field(default_factory=dict)
    better: dict[int, int] = field(default_factory=dict)
    resend_ms: float = 0.0
    wait_ms: float = RESEND_MS


@dataclass(frozen=True, slots=True)
class Gained:
    """From now on this process owns the lease, until `stop_ms` unless it is kept. `why` for staff."""

    lease: int
    token: int
    stop_ms: float


@dataclass(frozen=True, slots=True)
class Lost:
    """It owns it no longer; `why` for staff."""

    lease: int
    token: int
    why: str


@dataclass(frozen=True, slots=True)
class Yield:
    """Somebody who should have the lease is there: give it back when nothing runs."""

    lease: int


@dataclass(frozen=True, slots=True)
class Refused:
    """An asking for a lease did not get it; `why` for staff."""

    lease: int
    why: str


Change = Gained | Lost | Yield | Refused


class Holder:
    """Tables: one entry for each lease held or asked for; there are `terms.leases`."""

    def __init__(self, terms: Terms, number: int, life: int, counter: int) -> None:
        self._terms, self.number, self.life = terms, number, life
        self.counter = counter  # every token told or heard of has one up to here
        self.serial = 0
        self.held: dict[int, Held] = {}
        self.open: dict[int, Asking] = {}  # by lease
        self.changes: list[Change] = []
        self.to_send: list[Asking] = []  # to the voters that have not said yes
        self.to_give: dict[int, None] = {}  # leases to be given back to all voters
        self.lent: frozenset[int] = frozenset()  # leases that may not end before their time (budgets)

    # -- what is held

    def stop_ms(self, lease: int) -> float:
        """Until then work under the lease may begin; -inf where it is not held."""
        held = self.held.get(lease)
        return -math.inf if held is None else held.asked_ms + self._terms.term_ms - self._terms.guard_ms

    def expire(self, now_ms: float) -> None:
        """Let go of what has ended. Comes before all else at any time that is new."""
        for lease in [lease for lease in self.held if now_ms >= self.stop_ms(lease)]:
            self._lose(lease, "no majority of the voters answered in time")
            self._drop_asking(lease)

    def _lose(self, lease: int, why: str) -> None:
        self.changes.append(Lost(lease, self.held.pop(lease).token, why))

    def _drop_asking(self, lease: int) -> None:
        asking = self.open.pop(lease, None)
        if asking is not None:
            asking.leases.pop(lease, None)

    # -- asking

    def next_counter(self, least: int = 0) -> int:
        """One that no token of this life had, nor any that it heard of."""
        self.counter = min(max(self.counter + 1, least), COUNTER_MOST)
        return self.counter

    def learn(self, counter: int) -> None:
        """A token with that counter is about."""
        self.counter = max(self.counter, min(counter, COUNTER_MOST - 1))

    def take(self, now_ms: float, leases: list[int], tries: int = 0) -> None:
        """Ask for those that are neither held nor asked for."""
        wanted = [
            lease
            for lease in leases
            if lease not in self.held and lease not in self.open and 0 <= lease < self._terms.leases
        ]
        if wanted:
            self._ask(now_ms, {lease: self.next_counter() for lease in wanted}, True, tries)

    def renew(self, now_ms: float) -> None:
        """Ask for what is held and due, all in one question."""
        due = {
            lease: counter_of(held.token)
            for lease, held in self.held.items()
            if lease not in self.open and now_ms >= held.asked_ms + self._terms.term_ms / 3
        }
        if due:
            self._ask(now_ms, due, False, 0)

    def _ask(self, now_ms: float, leases: dict[int, int], taking: bool, tries: int) -> None:
        self.serial += 1
        asking = Asking(self.serial, now_ms, leases, taking, tries, resend_ms=now_ms + RESEND_MS)
        for lease in leases:
            self.open[lease] = asking
        self.to_send.append(asking)

    def answered(self, now_ms: float, voter: int, word: Word) -> Asking | None:
        """A voter's answer; the asking that it answers, if that is open."""
        if voter not in self._terms.voters or word.to_life != self.life:
            return None
        for lease, verdict, _, counter, _ in word.answered:
            held = self.held.get(lease)
            if verdict is Verdict.BEHIND and held is not None and counter > counter_of(held.token):
                # Danger: that voter would refuse each renewal, take the lease for free, and call for ever.
                self.outdo(now_ms, lease, counter, "a voter knows a larger token")
        for asking in self.open.values():
            if asking.serial == word.serial:
                break
        else:
            return None
        for lease, verdict, better, counter, other in word.answered:
            self.learn(counter)
            if lease not in asking.leases or voter in asking.yes.get(lease, ()):
                continue
            if verdict is Verdict.YES:
                asking.no.get(lease, {}).pop(voter, None)  # it was held until just now
                asking.yes.setdefault(lease, set()).add(voter)
                asking.better[lease] = asking.better.get(lease, 0) + better
            else:
                asking.no.setdefault(lease, {})[voter] = verdict
                if asking.taking and verdict is Verdict.BEHIND:
                    self._failed(now_ms, asking, lease)  # at once with a larger counter
                    continue
                if (
                    asking.taking
                    and verdict is Verdict.HELD
                    and better
                    and other != NOBODY
                    and (rank(lease, other), other) < (rank(lease, self.number), self.number)
                ):
                    # Danger: two who were called at one time, each with its own vote, would wait for the
                    # other's. Who comes first in the order goes on asking, the other gives its votes back
                    # at once.
                    self._failed(now_ms, asking, lease)
                    continue
            self._settle(now_ms, asking, lease)
        return asking

    def waits_for(self, asking: Asking, voter: int) -> dict[int, int]:
        """What that voter has not said yes to: it may, when asked again."""
        return {
            lease: counter
            for lease, counter in asking.leases.items()
            if voter not in asking.yes.get(lease, ())
        }

    def _until_ms(self, asking: Asking) -> float:
        """When an asking is given up."""
        most_ms = self._terms.term_ms / 3
        return asking.asked_ms + (min(TAKE_MS, most_ms) if asking.taking else most_ms)

    def _settle(self, now_ms: float, asking: Asking, lease: int) -> None:
        terms = self._terms
        if len(asking.yes.get(lease, ())) >= terms.majority:
            counter = asking.leases[lease]
            self._drop_asking(lease)
            if asking.taking:
                self._gain(now_ms, asking, lease, counter)
            else:
                held = self.held[lease]
                held.asked_ms = asking.asked_ms
                if asking.better[lease] >= terms.majority and not held.yielding:
                    held.yielding = True
                    self.changes.append(Yield(lease))
        elif len(asking.no.get(lease, ())) > len(terms.voters) - terms.majority:
            self._failed(now_ms, asking, lease)

    def _gain(self, now_ms: float, asking: Asking, lease: int, counter: int) -> None:
        end_ms = asking.asked_ms + self._terms.term_ms
        if now_ms >= end_ms - self._terms.guard_ms:  # so late that nothing could begin
            self.to_give[lease] = None
            return
        token = token_of(counter, self.number, self.life)
        self.held[lease] = Held(token, asking.asked_ms, now_ms)
        self.changes.append(Gained(lease, token, self.stop_ms(lease)))

    def _failed(self, now_ms: float, asking: Asking, lease: int) -> None:
        """A majority cannot be had with this asking."""
        verdicts = set(asking.no.get(lease, {}).values())
        self._drop_asking(lease)
        if not asking.taking:
            self._lose(lease, "the voters gave it to another")
            return
        if len(asking.no.get(lease, {})) < len(self._terms.voters):  # a yes is there, or may still come
            self.to_give[lease] = None
        if Verdict.BEHIND in verdicts and Verdict.HELD not in verdicts and asking.tries < TRIES:
            self.take(now_ms, [lease], asking.tries + 1)
            return
        why = (
            "another has it"
            if Verdict.HELD in verdicts
            else "voters are silent after their start"
            if Verdict.SILENT in verdicts
            else "its token is not large enough"
        )
        self.changes.append(Refused(lease, why))

    def give(self, lease: int, why: str) -> None:
        """Let go of a lease that is held or asked for, and say so to the voters."""
        self._drop_asking(lease)
        if lease in self.held:
            self._lose(lease, why)
        self.to_give[lease] = None

    def gives(self) -> list[int]:
        """What is to be given back now. Danger: the word counts for all that was asked before it, so what is
        asked for anew is left out: its asking takes the place of the old one. And what was lent under a lease
        counts on its end: such a one is not given back, it ends by its time."""
        return [
            lease
            for lease in self.to_give
            if lease not in self.open and lease not in self.held and lease not in self.lent
        ]

    def outdo(
        self, now_ms: float, lease: int, counter: int, why: str = "a receiver knows a larger token"
    ) -> None:
        """A larger token is about: what is held is taken anew, above that one."""
        self.learn(counter)
        held = self.held.get(lease)
        if held is not None and counter >= counter_of(held.token):
            self._lose(lease, why)
            self._drop_asking(lease)
            self.take(now_ms, [lease])

    # -- time

    def tick(self, now_ms: float) -> None:
        """What is due: the end of an asking, its sending anew, renewals. After `expire`."""
        for asking in {id(asking): asking for asking in self.open.values()}.values():
            if now_ms >= self._until_ms(asking):
                for lease in list(asking.leases):
                    self._drop_asking(lease)
                    if asking.taking:
                        self.to_give[lease] = None
                        self.changes.append(Refused(lease, "no majority of the voters answered"))
            elif now_ms >= asking.resend_ms:
                asking.wait_ms *= 2
                asking.resend_ms = now_ms + asking.wait_ms
                self.to_send.append(asking)
        self.renew(now_ms)

    def next_ms(self) -> float:
        """When something is due."""
        times = [min(asking.resend_ms, self._until_ms(asking)) for asking in self.open.values()]
        for lease, held in self.held.items():
            times.append(self.stop_ms(lease))
            if lease not in self.open:
                times.append(held.asked_ms + self._terms.term_ms / 3)
        return min(times, default=math.inf)
