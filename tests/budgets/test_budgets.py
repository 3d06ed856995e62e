"""Shares never sum to more than the whole, whatever is lost, late, dead or standing still; planted bugs
are found."""

import random

import pytest
from budget_rig import TERM_MS, Rig

from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import Budget, BudgetError, BudgetKind
from plumpick.policy.budgets.holder import (
    Grant,
    LocalConcurrencyLimiter,
    LocalRateLimiter,
    PendingRequests,
    TokenBucket,
)

RATE = Budget("tries", BudgetKind.RATE, 60.0, burst=30.0, floor=0.3)
STOCK = Budget("open", BudgetKind.STOCK, 12, floor=0.3, outlives_ms=200.0)


def greedy(number, t):
    return 2


def one_side(number, t):
    return 4 if number == 0 else 0


def shifting(number, t):
    return 10 if number == int(t / 1500) % 3 else 0


def bursts(number, t):
    return 10 if t % 4000 > 3000 else 0


WANTS = (greedy, one_side, shifting, bursts)


@pytest.mark.parametrize("budget", [RATE, STOCK], ids=["rate", "stock"])
@pytest.mark.parametrize("seed", range(32))
def test_never_more_than_the_whole(budget, seed):
    rig = Rig(seed, budget, gateways=(3, 5, 7)[seed % 3], want=WANTS[seed % 4])
    rig.faults(30)
    rig.run(35_000)
    assert not rig.over, rig.over[:3]


@pytest.mark.parametrize("budget", [RATE, STOCK], ids=["rate", "stock"])
def test_most_of_the_whole_is_used_where_the_demand_is_and_again_after_the_faults(budget):
    for want in (greedy, one_side):
        rig = Rig(1, budget, want=want)
        rig.faults(10)
        rig.run(12_000)
        rig.fault("fair")
        rig.divider_still = 0.0
        rig.run(3 * TERM_MS)
        begin, rig.most_out = rig.total, 0
        rig.run(10_000)
        if budget.kind is BudgetKind.RATE:
            assert rig.total - begin >= 0.7 * budget.whole * 10
        else:
            assert rig.most_out >= (0.75 if want is one_side else 0.9) * budget.whole
        assert not rig.over


def test_with_no_divider_everybody_has_its_floor_and_no_more():
    rig = Rig(2, RATE, want=greedy)
    rig.divider = None
    rig.run(10_000)
    assert rig.total == pytest.approx(0.3 * 60 * 10 / 1.01, rel=0.05)


class LendsAtOnce(BudgetAllocator):
    """Gives before what the one before lent has ended."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.from_ms -= 10 * TERM_MS


class ForgetsWhatIsOut(BudgetAllocator):
    """Counts only the last share of each holder."""

    def _lend(self, now_ms, holder, serial, amount, burst=0.0):
        holder.given.clear()
        holder.holding = 0.0
        return super()._lend(now_ms, holder, serial, amount, burst)


class BelievesLateShares(LocalConcurrencyLimiter):
    """Counts a share's end from when it came."""

    def lend(self, now_ms, share, asked_ms):
        return super().lend(now_ms, share, now_ms)


class FillsOverAStall(LocalRateLimiter):
    """Its share fills on beyond its end."""

    def lend(self, now_ms, share, asked_ms):
        taken = super().lend(now_ms, share, asked_ms)
        self.lent.until_ms += 20_000.0
        return taken


class LevelTwice(LocalRateLimiter):
    """A share that comes twice gives its level twice."""

    def lend(self, now_ms, share, asked_ms):
        if share.serial == self.serial:
            self.lent.level = min(self.lent.cap * 20, self.lent.level + share.level)
        return super().lend(now_ms, share, asked_ms)


class FullFloor(LocalRateLimiter):
    """A new life begins with a full floor."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.floor.level = self.floor.cap


class FloorAtOnce(LocalConcurrencyLimiter):
    """A new life uses its floor while units of the last one are still out."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._floor_from_ms = 0.0


@pytest.mark.parametrize(
    ("budget", "make"),
    [
        (STOCK, {"divider": LendsAtOnce}),
        (Budget("lent", BudgetKind.RATE, 60.0, burst=3.0, floor=0.0), {"divider": LendsAtOnce}),
        (STOCK, {"divider": ForgetsWhatIsOut}),
        (STOCK, {"holder": BelievesLateShares}),
        (RATE, {"holder": FillsOverAStall}),
        (Budget("floors", BudgetKind.RATE, 60.0, burst=30.0, floor=1.0), {"holder": FullFloor}),
        (STOCK, {"holder": FloorAtOnce}),
    ],
    ids=lambda one: next(iter(one.values())).__name__ if isinstance(one, dict) else one.name,
)
def test_a_planted_bug_is_found(budget, make):
    for seed in range(60):
        rig = Rig(seed, budget, want=WANTS[seed % 4], **make)
        rig.faults(30)
        rig.run(35_000)
        if rig.over:
            return
    raise AssertionError("not found in 60 seeds")


def test_a_share_is_taken_once_for_its_asking_and_not_of_an_earlier_divider():
    holder, askings = LocalRateLimiter(RATE, 0, 3, 0.0, 1000.0, 0.0), PendingRequests()
    first, second = askings.ask(0.0), askings.ask(100.0)
    share = Grant(second, 5, 10.0, 4.0, 3.0)
    assert holder.lend(150.0, share, askings.asked_ms(second)) and holder.lent.level == 3.0
    assert not holder.lend(160.0, share, askings.asked_ms(second))  # twice
    assert not holder.lend(160.0, Grant(first, 5, 50.0), askings.asked_ms(first))  # an earlier asking's
    third = askings.ask(200.0)
    assert not holder.lend(210.0, Grant(third, 4, 50.0), askings.asked_ms(third))  # an earlier divider's
    assert not holder.lend(210.0, Grant(99, 6, 50.0), askings.asked_ms(99))  # never asked
    assert holder.lent.until_ms == 1100.0


def test_nothing_fills_beyond_a_shares_end_nor_over_its_cap():
    bucket = TokenBucket(0.0, 10.0, 5.0, until_ms=300.0)
    assert bucket.has(200.0) == 2.0 and bucket.has(300.0) == 0.0 and bucket.level == 3.0
    assert TokenBucket(0.0, 10.0, 5.0).has(10_000.0) == 5.0


def test_a_whole_of_one_for_two_hundred_and_of_a_third_of_a_unit_a_second():
    one = Budget("one", BudgetKind.STOCK, 1, floor=0.0)
    rig = Rig(3, one, gateways=20, want=greedy)
    rig.faults(10)
    rig.run(20_000)
    assert not rig.over and rig.most_out == 1
    slow = Budget("slow", BudgetKind.RATE, 0.3, burst=1.0, floor=0.0)
    rig = Rig(4, slow, gateways=20, want=one_side)
    rig.run(60_000)
    assert not rig.over and rig.total >= 1


@pytest.mark.parametrize(
    ("whole", "burst", "units", "gateways", "least"),
    [
        (20.0, 4.0, 1.0, 7, 0.66),
        (60.0, 60.0, 50.0, 3, 0.5),
        (5.0, 1.0, 1.0, 20, 0.5),
        (0.3, 1.0, 1.0, 20, 0.4),
        (0.3, 2.0, 1.0, 7, 0.85),
    ],
)
def test_where_no_part_of_the_burst_holds_a_request_some_have_a_whole_one_in_turn(
    whole, burst, units, gateways, least
):
    for faults in (False, True):
        rig = Rig(5, Budget("thin", BudgetKind.RATE, whole, burst=burst, floor=0.0), gateways, greedy, units)
        if faults:
            rig.faults(30)
        rig.run(35_000)
        assert not rig.over, rig.over[:3]
    rig = Rig(6, Budget("thin", BudgetKind.RATE, whole, burst=burst, floor=0.0), gateways, greedy, units)
    rig.run(100_000)
    assert rig.total >= least * whole * 100, rig.total / whole / 100


@pytest.mark.parametrize("seed", range(20))
def test_parts_of_rate_and_burst_never_sum_to_more_than_there_is(seed):
    """Requests of many sizes, demands that come and go: some have a burst in turn, others a fair part."""
    chance, term = random.Random(seed), 1000.0
    budget = Budget("reports", BudgetKind.RATE, 100.0, burst=10.0, floor=0.0)
    divider, now = BudgetAllocator(budget, 5, 0.0, 1, term, 0.0, from_ms=0.0), 0.0
    serials, has, given = [0] * 5, [0] * 5, [[] for _ in range(5)]
    limits = [(0.0, budget)]  # since when
    for _ in range(600):
        now += chance.choice((1.0, 20.0, 100.0))
        number = chance.randrange(5)
        if chance.random() < 0.01:  # other figures in service
            budget = Budget(
                "reports",
                BudgetKind.RATE,
                chance.choice((0.0, 50.0, 100.0, 200.0)),
                burst=chance.choice((4.0, 10.0, 20.0)),
                floor=0.0,
            )
            divider.change(now, budget)
            limits.append((now, budget))
        serials[number] += 1
        demand, need = chance.choice((0.0, 0.5, 3.0, 20.0, 500.0)), chance.choice((1.0, 1.0, 3.0, 9.0))
        share = divider.ask(now, number, 7, serials[number], demand, 0.0, has[number], need)
        given[number].append((share, now + term))
        if chance.random() < 0.7:  # it has come
            has[number] = share.serial
        out = [
            [share for share, until in shares if now < until and share.serial >= has[one]]
            for one, shares in enumerate(given)
        ]
        # What was lent by other figures is out until its end.
        while len(limits) > 1 and limits[1][0] + term + 1 < now:
            del limits[0]
        assert (
            sum(max((share.amount for share in shares), default=0.0) for shares in out)
            <= max(one.whole for _, one in limits) + 1e-9
        )
        assert (
            sum(max((share.burst for share in shares), default=0.0) for shares in out)
            <= max(one.burst * (one.whole > 0) for _, one in limits) + 1e-9
        )


def test_one_unit_for_two_hundred_gatekeepers_is_never_out_twice():
    """A stock of 1 and a rate of 1 a second with a burst of 1, all wanted by all, with faults."""
    chance = random.Random(7)
    for budget in (
        Budget("one", BudgetKind.STOCK, 1, floor=0.0, outlives_ms=200.0),
        Budget("one", BudgetKind.RATE, 1.0, burst=1.0, floor=0.0),
    ):
        rig = Rig(7, budget, 200, lambda _number, _t: int(chance.random() < 0.05))
        rig.faults(6)
        rig.run(10_000)
        assert not rig.over and (rig.most_out == 1 if budget.kind is BudgetKind.STOCK else rig.total >= 1)


def test_who_saw_no_request_for_a_moment_still_says_how_large_one_is():
    holder = LocalRateLimiter(RATE, 0, 3, 0.0, 1000.0, 0.01)
    for t in (0.0, 100.0):
        holder.spend(t, 2.0)
    holder.demand(400.0)
    assert holder.demand(710.0) > 0 and holder.need == 2.0  # nothing came for 310 ms
    assert holder.demand(2000.0) == 0 and holder.need == 0.0


@pytest.mark.parametrize(
    "wrong", [{"whole": -1}, {"whole": 1.5}, {"floor": 2}, {"burst": -1}, {"outlives_ms": -1}]
)
def test_a_budget_that_cannot_be_is_named(wrong):
    with pytest.raises(BudgetError, match=next(iter(wrong))):
        Budget(**{"name": "x", "kind": BudgetKind.STOCK, "whole": 5, **wrong})


def test_floors_and_what_is_lent_make_the_whole():
    for gateways in (1, 3, 7, 200):
        for budget in (RATE, STOCK, Budget("many", BudgetKind.STOCK, 1000, floor=0.37)):
            floors = sum(budget.floor_of(number, gateways) for number in range(gateways))
            assert floors + budget.lendable(gateways) == pytest.approx(budget.whole)
