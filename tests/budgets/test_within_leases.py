"""Shares that end within the lease under which they are lent: a next divider has nothing to wait for."""

import heapq
import itertools
import random

import pytest

from benchmarks.budgets.trial import audit
from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import Budget, BudgetKind, grants_end_within_lease, longest_duration_ms
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.leases.lease_holder import Held, Holder
from plumpick.policy.leases.terms import Terms
from plumpick.policy.scheduled_tasks import Duties, Duty, GiveBack

TERMS = Terms((0, 1, 2), slots=1, term_ms=2000.0, drift=0.01)
SHARE_MS = 1000.0
ONE = Budget("one", BudgetKind.RATE, 60.0, burst=12.0, floor=0.2)


def divider(**more):
    return BudgetAllocator(ONE, 3, 0.0, 1, SHARE_MS, 0.01, **more)


def test_nothing_is_lent_that_would_end_after_the_lease():
    one, keep = divider(from_ms=0.0), longest_duration_ms(SHARE_MS, 0.01)
    assert one.ask(100.0, 0, 7, 1, 50.0, 0.0, 0, 1.0, 100.0 + keep - 1) is None
    assert one.ask(100.0, 0, 7, 1, 50.0, 0.0, 0, 1.0, 100.0 + keep) is not None
    assert one.lent_until_ms == 100.0 + keep
    assert divider().ask(keep - 1, 0, 7, 1, 50.0, 0.0, 0) is None  # without a lease's end it waits a term


@pytest.mark.parametrize(("share", "within"), [(1200.0, True), (1300.0, False)])
def test_a_share_of_up_to_three_fifths_of_a_lease_ends_within_it(share, within):
    assert grants_end_within_lease(share, 2000.0) == within
    book = BudgetLedger((ONE,), 0, 3, TERMS, share, random.Random(1), 0.0)
    book.gained(10.0, 0, 5)
    assert (book.dividers["one"].from_ms == 10.0) == within


def owner():
    book = BudgetLedger((ONE,), 0, 3, TERMS, SHARE_MS, random.Random(1), 0.0)
    book.gained(0.0, 0, 5)
    for number in (1, 2):
        asker = BudgetLedger((ONE,), number, 3, TERMS, SHARE_MS, random.Random(1), 0.0)
        asker.spend(100.0, [("one", 99.0)])
        asker.due(100.0)
        for _, note in asker.to_send:
            book.heard(100.0, number, 40 + number, note, 40, lambda _slot: None, lambda _slot: 2000.0)
    return book


def test_a_lease_under_which_something_is_lent_is_given_back_when_that_has_ended():
    book, work = owner(), Duties((Duty("d", "call", 1000.0, 500.0),), 1, random.Random(1))
    until = 100.0 + longest_duration_ms(SHARE_MS, 0.01)
    assert book.lent(200.0) == {0} and book.lent(until) == frozenset()
    work.gained(0.0, 0, 5)
    for name in [act.duty.name for act in work.handle(1.0, 1000.0)]:
        work.ended(2.0, name, 1, "")
    work.leave()
    book.yields({0})
    work.kept = book.lent(200.0)
    assert not [act for act in work.handle(200.0, 1200.0) if isinstance(act, GiveBack)]
    assert book.next_ms() <= until
    book.due(until)  # a run of the slot may go on for longer: that is no reason to wake up again and again
    assert book.next_ms() == float("inf")
    work.kept = book.lent(until)
    assert [act for act in work.handle(until, 2200.0) if isinstance(act, GiveBack)]
    asker = BudgetLedger((ONE,), 1, 3, TERMS, SHARE_MS, random.Random(2), 0.0)
    asker.spend(300.0, [("one", 99.0)])
    asker.due(300.0)
    book.to_send.clear()
    for _, note in asker.to_send:
        book.heard(300.0, 1, 99, note, 40, lambda _slot: None, lambda _slot: 2000.0)
    assert not book.to_send  # who yields lends nothing more


def test_who_takes_its_own_slot_anew_waits_for_what_it_lent_before():
    book = owner()
    book.lost(0)
    book.gained(150.0, 0, 6)
    assert book.dividers["one"].from_ms == 100.0 + longest_duration_ms(SHARE_MS, 0.01)
    state = book.estate(160.0)
    new = BudgetLedger((ONE,), 0, 3, TERMS, SHARE_MS, random.Random(3), 160.0)
    new.inherit(160.0, state)
    new.gained(160.0, 0, 6)
    assert new.dividers["one"].from_ms == 100.0 + longest_duration_ms(SHARE_MS, 0.01) and new.lent(170.0) == {
        0
    }


def test_words_that_give_back_leave_out_what_was_lent_under():
    holder = Holder(TERMS, 0, 7, 1)
    holder.held[0] = Held(9, 0.0, 0.0)
    holder.lent = frozenset({0})
    holder.give(0, "given back")
    assert holder.gives() == []
    holder.lent = frozenset()
    assert holder.gives() == [0]


class World:
    """Books with clocks of their own; a lease that its owner renews while it can, and that a next one gets
    when it has ended, or was given back with nothing lent under it."""

    def __init__(self, seed, count=3, book=BudgetLedger, budget=ONE, moves=False):
        self.moves = moves  # all demand is at one, and at another every 400 ms
        self.chance, self.now, self.count, self.make, self.budget = (
            random.Random(seed),
            0.0,
            count,
            book,
            budget,
        )
        self.rate = [1 + self.chance.choice((-1, 1)) * 0.01 for _ in range(count)]
        self.still, self.life = [0.0] * count, [0] * count
        self.heap, self.serial, self.rows = [], itertools.count(), []
        self.owner, self.asked, self.token, self.free_ms = None, 0.0, 0, 0.0
        self.loss, self.delay = 0.02, (1, 20)
        self.cut_until = 0.0  # until then no renewal comes to a majority
        self.books = [self.fresh(number) for number in range(count)]

    def clock(self, number):
        return 5000.0 + self.now * self.rate[number]

    def fresh(self, number):
        self.life[number] += 100
        book = self.make((self.budget,), number, self.count, TERMS, SHARE_MS, self.chance, self.clock(number))
        book.open_floors(self.clock(number))
        return book

    def at(self, t, what):
        heapq.heappush(self.heap, (t, next(self.serial), what))

    def lease(self):
        """Every step: as leases are (docs/design/ownership.md), by true time."""
        number = self.owner
        if number is not None:
            clock, book = self.clock(number), self.books[number]
            is_due = self.now >= self.still[number] and clock - self.asked >= TERMS.term_ms / 3
            holds = clock < self.asked + TERMS.term_ms - TERMS.guard_ms
            if is_due and holds and self.now >= self.cut_until and self.chance.random() < 0.9:
                self.asked = clock
            if self.now >= self.still[number] and clock >= self.asked + TERMS.term_ms - TERMS.guard_ms:
                book.lost(0)
                self.free_ms = max(self.free_ms, self.end_of())
                self.owner = None
            elif self.now >= self.end_of():  # it stands still, and its lease is over all the same
                self.owner, self.free_ms = None, self.now
            elif self.giving and self.now >= self.still[number]:
                book.yields({0})
                if not book.lent(clock):
                    book.lost(0)
                    self.owner, self.free_ms = None, self.now
        if self.owner is None and self.now >= self.free_ms:
            able = [one for one in range(self.count) if self.now >= self.still[one]]
            if able:
                self.owner, self.token, self.giving = self.chance.choice(able), self.token + 1, False
                self.asked = self.clock(self.owner)
                self.books[self.owner].gained(self.asked, 0, self.token)

    def end_of(self):
        return (self.asked + TERMS.term_ms - 5000.0) / self.rate[self.owner]

    giving = False

    def carry(self, number):
        book = self.books[number]
        notes, book.to_send = book.to_send, []
        for receiver, note in notes:
            if self.chance.random() >= self.loss or receiver == number:
                late = 0.0 if receiver == number else self.chance.uniform(*self.delay)
                for _ in range(1 + (self.chance.random() < 0.1)):
                    self.at(
                        self.now + late,
                        lambda r=receiver, n=note, f=self.life[number]: self.hear(number, f, r, n),
                    )

    def hear(self, sender, life, receiver, note):
        if self.now < self.still[receiver]:
            self.at(self.still[receiver], lambda: self.hear(sender, life, receiver, note))
            return
        clock = self.clock(receiver)
        if self.owner == receiver or not self.books[receiver].dividers or clock < 0:
            self.books[receiver].heard(
                clock,
                sender,
                life,
                note,
                self.life[receiver],
                lambda _slot: self.owner,
                lambda _slot: self.asked + TERMS.term_ms if self.owner == receiver else -1.0,
            )
            self.carry(receiver)

    def fault(self):
        number, kind = (
            self.chance.randrange(self.count),
            self.chance.choice(("kill", "kill", "still", "weather", "fair", "give", "owner", "cut")),
        )
        if kind == "owner" and self.owner is not None:
            number, kind = self.owner, self.chance.choice(("kill", "still"))
        if kind == "kill":
            if self.owner == number:  # the lease of who is dead ends by its time
                self.free_ms, self.owner = self.end_of(), None
            self.books[number] = self.fresh(number)
        elif kind == "cut":
            self.cut_until = self.now + self.chance.choice((1000, 3000))
        elif kind == "still":
            self.still[number] = self.now + self.chance.choice((100, 1000, 3000))
        elif kind == "weather":
            self.loss, self.delay = (
                self.chance.choice((0.0, 0.3)),
                self.chance.choice(((1, 1000), (1, 10_000))),
            )
        elif kind == "fair":
            self.loss, self.delay = 0.02, (1, 20)
        else:
            self.giving = True
        self.at(self.now + self.chance.expovariate(1 / 500), self.fault)

    def run(self, ms):
        self.at(1000.0, self.fault)
        while self.now < ms:
            self.now += 10.0
            while self.heap and self.heap[0][0] <= self.now:
                heapq.heappop(self.heap)[2]()
            self.lease()
            for number, book in enumerate(self.books):
                if self.now < self.still[number]:
                    continue
                clock = self.clock(number)
                book.due(clock)
                self.carry(number)
                for _ in range(2 * (not self.moves or int(self.now / 400) % self.count == number)):
                    if book.spend(clock, [("one", 1.0)]):
                        self.rows.append((self.now, 1.0))
        return audit(self.rows, self.budget.whole, self.budget.burst)


@pytest.mark.parametrize("seed", range(40))
def test_never_over_whatever_becomes_of_leases(seed):
    world = World(seed, (3, 5)[seed % 2])
    assert not world.run(30_000) and len(world.rows) > 0.25 * 60 * 30


class GivesBackAtOnce(BudgetLedger):
    """A lease is given back while shares that count on it are out."""

    def lent(self, now_ms):
        return frozenset()


class LendsBeyond(BudgetLedger):
    """Shares that end after the lease."""

    def heard(self, now_ms, sender, life, data, our_life, holder_of, end_of):
        super().heard(now_ms, sender, life, data, our_life, holder_of, lambda _slot: float("inf"))


@pytest.mark.parametrize("bug", [GivesBackAtOnce, LendsBeyond])
def test_a_planted_bug_is_found(bug):
    lent = Budget("one", BudgetKind.RATE, 60.0, burst=6.0, floor=0.0)
    assert any(World(seed, 3, bug, lent, moves=True).run(30_000) for seed in range(60))
    assert not any(World(seed, 3, BudgetLedger, lent, moves=True).run(30_000) for seed in range(10))
