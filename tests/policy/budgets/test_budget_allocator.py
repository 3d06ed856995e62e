"""Grants never sum to more than the limit, whatever is lost, late, dead or stalled; mutants are found."""

import random

import pytest
from support.budget_fleet import GRANT_TERM_MS, Fleet

from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.concurrency_limiter import LocalConcurrencyLimiter
from plumpick.policy.budgets.messages import DemandReport
from plumpick.policy.budgets.rate_limiter import LocalRateLimiter

RATE = Budget("tries", BudgetKind.RATE, 60.0, burst=30.0, guaranteed_ratio=0.3)
CONCURRENCY = Budget("open", BudgetKind.CONCURRENCY, 12, guaranteed_ratio=0.3, release_delay_ms=200.0)


def greedy(number, t):
    return 2


def one_side(number, t):
    return 4 if number == 0 else 0


def shifting(number, t):
    return 10 if number == int(t / 1500) % 3 else 0


def bursts(number, t):
    return 10 if t % 4000 > 3000 else 0


WANTS = (greedy, one_side, shifting, bursts)


@pytest.mark.parametrize("budget", [RATE, CONCURRENCY], ids=["rate", "concurrency"])
@pytest.mark.parametrize("seed", range(32))
def test_limit_is_never_passed_whatever_fails(budget, seed):
    fleet = Fleet(seed, budget, gateways=(3, 5, 7)[seed % 3], want=WANTS[seed % 4])
    fleet.faults(30)
    fleet.run(35_000)
    assert not fleet.over, fleet.over[:3]


@pytest.mark.parametrize("budget", [RATE, CONCURRENCY], ids=["rate", "concurrency"])
def test_most_of_the_limit_is_used_where_demand_is_and_again_after_faults(budget):
    for want in (greedy, one_side):
        fleet = Fleet(1, budget, want=want)
        fleet.faults(10)
        fleet.run(12_000)
        fleet.fault("heal")
        fleet.allocator_stalled_until = 0.0
        fleet.run(3 * GRANT_TERM_MS)
        begin, fleet.max_in_use = fleet.total, 0
        fleet.run(10_000)
        if budget.kind is BudgetKind.RATE:
            assert fleet.total - begin >= 0.7 * budget.limit * 10
        else:
            assert fleet.max_in_use >= (0.75 if want is one_side else 0.9) * budget.limit
        assert not fleet.over


def test_only_guaranteed_limits_are_spent_while_there_is_no_allocator():
    fleet = Fleet(2, RATE, want=greedy)
    fleet.allocator = None
    fleet.run(10_000)
    assert fleet.total == pytest.approx(0.3 * 60 * 10 / 1.01, rel=0.05)


class GrantsAtOnce(BudgetAllocator):
    """Grants before the grants of the allocator before have ended."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.grants_from_ms -= 10 * GRANT_TERM_MS


class ForgetsOutstandingGrants(BudgetAllocator):
    """Counts only the last grant of each gateway."""

    def _record_grant(self, now_ms, receiver, amount, burst=0.0):
        receiver.outstanding.clear()
        receiver.reported_granted = 0.0
        return super()._record_grant(now_ms, receiver, amount, burst)


class CountsFromArrival(LocalConcurrencyLimiter):
    """Counts a grant's end from when it arrived."""

    def accept_grant(self, now_ms, grant, sent_ms):
        return super().accept_grant(now_ms, grant, now_ms)


class FillsPastTheEnd(LocalRateLimiter):
    """A grant's bucket fills past the grant's end."""

    def accept_grant(self, now_ms, grant, sent_ms):
        taken = super().accept_grant(now_ms, grant, sent_ms)
        self.granted.expires_ms += 20_000.0
        return taken


class BeginsFull(LocalRateLimiter):
    """A restarted gateway begins with a full bucket."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.guaranteed.tokens = self.guaranteed.capacity


class OpensAtOnce(LocalConcurrencyLimiter):
    """A restarted gateway uses its guaranteed units while those of the process before are still in use."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._guaranteed_from_ms = 0.0


@pytest.mark.parametrize(
    ("budget", "make"),
    [
        (CONCURRENCY, {"allocator": GrantsAtOnce}),
        (Budget("lent", BudgetKind.RATE, 60.0, burst=3.0, guaranteed_ratio=0.0), {"allocator": GrantsAtOnce}),
        (CONCURRENCY, {"allocator": ForgetsOutstandingGrants}),
        (CONCURRENCY, {"limiter": CountsFromArrival}),
        (RATE, {"limiter": FillsPastTheEnd}),
        (Budget("floors", BudgetKind.RATE, 60.0, burst=30.0, guaranteed_ratio=1.0), {"limiter": BeginsFull}),
        (CONCURRENCY, {"limiter": OpensAtOnce}),
    ],
    ids=lambda one: next(iter(one.values())).__name__ if isinstance(one, dict) else one.name,
)
def test_mutant_passes_the_limit(budget, make):
    for seed in range(60):
        fleet = Fleet(seed, budget, want=WANTS[seed % 4], **make)
        fleet.faults(30)
        fleet.run(35_000)
        if fleet.over:
            return
    raise AssertionError("not found in 60 seeds")


def test_limits_below_one_unit_for_each_gateway_are_used_and_never_passed():
    one = Budget("one", BudgetKind.CONCURRENCY, 1, guaranteed_ratio=0.0)
    fleet = Fleet(3, one, gateways=20, want=greedy)
    fleet.faults(10)
    fleet.run(20_000)
    assert not fleet.over and fleet.max_in_use == 1
    slow = Budget("slow", BudgetKind.RATE, 0.3, burst=1.0, guaranteed_ratio=0.0)
    fleet = Fleet(4, slow, gateways=20, want=one_side)
    fleet.run(60_000)
    assert not fleet.over and fleet.total >= 1


@pytest.mark.parametrize(
    ("limit", "burst", "units", "gateways", "least"),
    [
        (20.0, 4.0, 1.0, 7, 0.66),
        (60.0, 60.0, 50.0, 3, 0.5),
        (5.0, 1.0, 1.0, 20, 0.5),
        (0.3, 1.0, 1.0, 20, 0.4),
        (0.3, 2.0, 1.0, 7, 0.85),
    ],
)
def test_burst_of_one_request_rotates_where_no_fair_part_holds_a_request(
    limit, burst, units, gateways, least
):
    budget = Budget("thin", BudgetKind.RATE, limit, burst=burst, guaranteed_ratio=0.0)
    for faults in (False, True):
        fleet = Fleet(5, budget, gateways, greedy, units)
        if faults:
            fleet.faults(30)
        fleet.run(35_000)
        assert not fleet.over, fleet.over[:3]
    fleet = Fleet(6, budget, gateways, greedy, units)
    fleet.run(100_000)
    assert fleet.total >= least * limit * 100, fleet.total / limit / 100


@pytest.mark.parametrize("seed", range(20))
def test_granted_rates_and_bursts_never_sum_to_more_than_the_limits(seed):
    """Requests of many sizes, demands that come and go: bursts rotate among some, others have a fair part."""
    chance, term = random.Random(seed), 1000.0
    budget = Budget("reports", BudgetKind.RATE, 100.0, burst=10.0, guaranteed_ratio=0.0)
    allocator, now = BudgetAllocator(budget, 5, 0.0, 1, term, 0.0, from_ms=0.0), 0.0
    serials, has, given = [0] * 5, [0] * 5, [[] for _ in range(5)]
    limits = [(0.0, budget)]  # since when
    for _ in range(600):
        now += chance.choice((1.0, 20.0, 100.0))
        number = chance.randrange(5)
        if chance.random() < 0.01:  # other limits in service
            budget = Budget(
                "reports",
                BudgetKind.RATE,
                chance.choice((0.0, 50.0, 100.0, 200.0)),
                burst=chance.choice((4.0, 10.0, 20.0)),
                guaranteed_ratio=0.0,
            )
            allocator.set_limits(now, budget)
            limits.append((now, budget))
        serials[number] += 1
        demand = chance.choice((0.0, 0.5, 3.0, 20.0, 500.0))
        largest = chance.choice((1.0, 1.0, 3.0, 9.0))
        report = DemandReport(0, serials[number], demand, 0.0, has[number], largest, 0)
        grant = allocator.request_grant(now, number, 7, report)
        given[number].append((grant, now + term))
        if chance.random() < 0.7:  # it has arrived
            has[number] = grant.request_id
        out = [
            [grant for grant, until in grants if now < until and grant.request_id >= has[one]]
            for one, grants in enumerate(given)
        ]
        # A grant by other limits is outstanding until its end.
        while len(limits) > 1 and limits[1][0] + term + 1 < now:
            del limits[0]
        assert (
            sum(max((grant.amount for grant in grants), default=0.0) for grants in out)
            <= max(one.limit for _, one in limits) + 1e-9
        )
        assert (
            sum(max((grant.burst for grant in grants), default=0.0) for grants in out)
            <= max(one.burst * (one.limit > 0) for _, one in limits) + 1e-9
        )


def test_one_unit_for_two_hundred_gateways_is_never_in_use_twice():
    """A concurrency of 1, and a rate of 1 a second with a burst of 1, wanted by all, with faults."""
    chance = random.Random(7)
    for budget in (
        Budget("one", BudgetKind.CONCURRENCY, 1, guaranteed_ratio=0.0, release_delay_ms=200.0),
        Budget("one", BudgetKind.RATE, 1.0, burst=1.0, guaranteed_ratio=0.0),
    ):
        fleet = Fleet(7, budget, 200, lambda _number, _t: int(chance.random() < 0.05))
        fleet.faults(6)
        fleet.run(10_000)
        assert not fleet.over
        assert fleet.max_in_use == 1 if budget.kind is BudgetKind.CONCURRENCY else fleet.total >= 1
