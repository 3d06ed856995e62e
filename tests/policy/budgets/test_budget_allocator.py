"""The sum of grants never exceeds the limit under message loss, delays, restarts and stalls, and mutants of
the allocator and of the limiters are detected."""

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


# Demand patterns: number of requests of gateway `number` in the step at time `t`.


def equal_demand(number, t):
    return 2


def one_gateway(number, t):
    return 4 if number == 0 else 0


def shifting_gateway(number, t):
    return 10 if number == int(t / 1500) % 3 else 0


def periodic_bursts(number, t):
    return 10 if t % 4000 > 3000 else 0


DEMANDS = (equal_demand, one_gateway, shifting_gateway, periodic_bursts)


@pytest.mark.parametrize("budget", [RATE, CONCURRENCY], ids=["rate", "concurrency"])
@pytest.mark.parametrize("seed", range(32))
def test_limit_is_never_exceeded_under_random_faults(budget, seed):
    fleet = Fleet(seed, budget, gateways=(3, 5, 7)[seed % 3], demand=DEMANDS[seed % 4])
    fleet.schedule_faults(30)
    fleet.run(35_000)
    assert not fleet.violations, fleet.violations[:3]


@pytest.mark.parametrize("budget", [RATE, CONCURRENCY], ids=["rate", "concurrency"])
def test_most_of_the_limit_is_used_by_gateways_with_demand_after_faults_have_ended(budget):
    for demand in (equal_demand, one_gateway):
        fleet = Fleet(1, budget, demand=demand)
        fleet.schedule_faults(10)
        fleet.run(12_000)
        fleet.inject_fault("heal")
        fleet.allocator_stalled_until = 0.0
        fleet.run(3 * GRANT_TERM_MS)
        begin, fleet.max_in_use = fleet.total_units, 0
        fleet.run(10_000)
        if budget.kind is BudgetKind.RATE:
            assert fleet.total_units - begin >= 0.7 * budget.limit * 10
        else:
            assert fleet.max_in_use >= (0.75 if demand is one_gateway else 0.9) * budget.limit
        assert not fleet.violations


def test_only_guaranteed_limits_are_spent_while_there_is_no_allocator():
    fleet = Fleet(2, RATE, demand=equal_demand)
    fleet.allocator = None
    fleet.run(10_000)
    assert fleet.total_units == pytest.approx(0.3 * 60 * 10 / 1.01, rel=0.05)


class GrantsBeforeEarlierGrantsExpire(BudgetAllocator):
    """Mutant: a new allocator grants before the grants of the previous allocator have expired."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.grants_from_ms -= 10 * GRANT_TERM_MS


class ForgetsOutstandingGrants(BudgetAllocator):
    """Mutant: the allocator counts only the last grant of each gateway."""

    def _record_grant(self, now_ms, receiver, amount, burst=0.0):
        receiver.outstanding.clear()
        receiver.reported_granted = 0.0
        return super()._record_grant(now_ms, receiver, amount, burst)


class CountsTermFromArrival(LocalConcurrencyLimiter):
    """Mutant: the term of a grant counts from its arrival instead of the request."""

    def accept_grant(self, now_ms, grant, sent_ms):
        return super().accept_grant(now_ms, grant, now_ms)


class FillsAfterExpiry(LocalRateLimiter):
    """Mutant: the bucket of a grant fills after the grant has expired."""

    def accept_grant(self, now_ms, grant, sent_ms):
        accepted = super().accept_grant(now_ms, grant, sent_ms)
        self.granted.expires_ms += 20_000.0
        return accepted


class StartsWithFullBucket(LocalRateLimiter):
    """Mutant: a restarted gateway starts with a full bucket."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.guaranteed.tokens = self.guaranteed.capacity


class IgnoresUnitsInUse(LocalConcurrencyLimiter):
    """Mutant: a restarted gateway uses its guaranteed units while its previous process's units are in use."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._guaranteed_from_ms = 0.0


@pytest.mark.parametrize(
    ("budget", "classes"),
    [
        (CONCURRENCY, {"allocator": GrantsBeforeEarlierGrantsExpire}),
        (
            Budget("granted", BudgetKind.RATE, 60.0, burst=3.0, guaranteed_ratio=0.0),
            {"allocator": GrantsBeforeEarlierGrantsExpire},
        ),
        (CONCURRENCY, {"allocator": ForgetsOutstandingGrants}),
        (CONCURRENCY, {"limiter": CountsTermFromArrival}),
        (RATE, {"limiter": FillsAfterExpiry}),
        (
            Budget("guaranteed", BudgetKind.RATE, 60.0, burst=30.0, guaranteed_ratio=1.0),
            {"limiter": StartsWithFullBucket},
        ),
        (CONCURRENCY, {"limiter": IgnoresUnitsInUse}),
    ],
    ids=lambda one: next(iter(one.values())).__name__ if isinstance(one, dict) else one.name,
)
def test_mutant_exceeds_the_limit(budget, classes):
    for seed in range(60):
        fleet = Fleet(seed, budget, demand=DEMANDS[seed % 4], **classes)
        fleet.schedule_faults(30)
        fleet.run(35_000)
        if fleet.violations:
            return
    raise AssertionError("the mutant did not exceed the limit with any of 60 seeds")


def test_limit_smaller_than_one_unit_per_gateway_is_used_and_never_exceeded():
    one = Budget("one", BudgetKind.CONCURRENCY, 1, guaranteed_ratio=0.0)
    fleet = Fleet(3, one, gateways=20, demand=equal_demand)
    fleet.schedule_faults(10)
    fleet.run(20_000)
    assert not fleet.violations and fleet.max_in_use == 1
    slow = Budget("slow", BudgetKind.RATE, 0.3, burst=1.0, guaranteed_ratio=0.0)
    fleet = Fleet(4, slow, gateways=20, demand=one_gateway)
    fleet.run(60_000)
    assert not fleet.violations and fleet.total_units >= 1


@pytest.mark.parametrize(
    ("limit", "burst", "units", "gateways", "min_used_ratio"),
    [
        (20.0, 4.0, 1.0, 7, 0.66),
        (60.0, 60.0, 50.0, 3, 0.5),
        (5.0, 1.0, 1.0, 20, 0.5),
        (0.3, 1.0, 1.0, 20, 0.4),
        (0.3, 2.0, 1.0, 7, 0.85),
    ],
)
def test_burst_rotates_among_gateways_if_its_fair_share_is_smaller_than_a_request(
    limit, burst, units, gateways, min_used_ratio
):
    budget = Budget("small", BudgetKind.RATE, limit, burst=burst, guaranteed_ratio=0.0)
    for faults in (False, True):
        fleet = Fleet(5, budget, gateways, equal_demand, units)
        if faults:
            fleet.schedule_faults(30)
        fleet.run(35_000)
        assert not fleet.violations, fleet.violations[:3]
    fleet = Fleet(6, budget, gateways, equal_demand, units)
    fleet.run(100_000)
    assert fleet.total_units >= min_used_ratio * limit * 100, fleet.total_units / limit / 100


@pytest.mark.parametrize("seed", range(20))
def test_granted_rates_and_bursts_never_sum_to_more_than_the_limits(seed):
    """Request sizes and demands vary, so that bursts rotate among some gateways and others hold a fair share.
    Limits change during the run."""
    rng, term = random.Random(seed), 1000.0
    budget = Budget("reports", BudgetKind.RATE, 100.0, burst=10.0, guaranteed_ratio=0.0)
    allocator, now = BudgetAllocator(budget, 5, 0.0, 1, term, 0.0, from_ms=0.0), 0.0
    request_ids, received_ids, sent_grants = [0] * 5, [0] * 5, [[] for _ in range(5)]
    limits = [(0.0, budget)]  # settings with the time from which they apply
    for _ in range(600):
        now += rng.choice((1.0, 20.0, 100.0))
        number = rng.randrange(5)
        if rng.random() < 0.01:  # the limits change
            budget = Budget(
                "reports",
                BudgetKind.RATE,
                rng.choice((0.0, 50.0, 100.0, 200.0)),
                burst=rng.choice((4.0, 10.0, 20.0)),
                guaranteed_ratio=0.0,
            )
            allocator.set_limits(now, budget)
            limits.append((now, budget))
        request_ids[number] += 1
        demand = rng.choice((0.0, 0.5, 3.0, 20.0, 500.0))
        largest = rng.choice((1.0, 1.0, 3.0, 9.0))
        report = DemandReport(0, request_ids[number], demand, 0.0, received_ids[number], largest, 0)
        grant = allocator.request_grant(now, number, 7, report)
        sent_grants[number].append((grant, now + term))
        if rng.random() < 0.7:  # the grant is received
            received_ids[number] = grant.request_id
        outstanding = [
            [grant for grant, until in grants if now < until and grant.request_id >= received_ids[one]]
            for one, grants in enumerate(sent_grants)
        ]
        # A grant under earlier limits is outstanding until it expires.
        while len(limits) > 1 and limits[1][0] + term + 1 < now:
            del limits[0]
        assert (
            sum(max((grant.amount for grant in grants), default=0.0) for grants in outstanding)
            <= max(one.limit for _, one in limits) + 1e-9
        )
        assert (
            sum(max((grant.burst for grant in grants), default=0.0) for grants in outstanding)
            <= max(one.burst * (one.limit > 0) for _, one in limits) + 1e-9
        )


def test_single_unit_is_never_used_by_two_of_200_gateways_at_once():
    """All gateways have demand for a concurrency of 1, and for a rate of 1 per second with a burst of 1;
    faults are injected."""
    rng = random.Random(7)
    for budget in (
        Budget("one", BudgetKind.CONCURRENCY, 1, guaranteed_ratio=0.0, release_delay_ms=200.0),
        Budget("one", BudgetKind.RATE, 1.0, burst=1.0, guaranteed_ratio=0.0),
    ):
        fleet = Fleet(7, budget, 200, lambda _number, _t: int(rng.random() < 0.05))
        fleet.schedule_faults(6)
        fleet.run(10_000)
        assert not fleet.violations
        assert fleet.max_in_use == 1 if budget.kind is BudgetKind.CONCURRENCY else fleet.total_units >= 1
