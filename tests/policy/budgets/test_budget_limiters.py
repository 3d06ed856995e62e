"""The rate limiter of one gateway: acceptance of grants, token buckets, and measured demand."""

from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.grant import Grant, PendingRequests
from plumpick.policy.budgets.rate_limiter import LocalRateLimiter
from plumpick.policy.budgets.token_bucket import TokenBucket

RATE = Budget("tries", BudgetKind.RATE, 60.0, burst=30.0, guaranteed_ratio=0.3)


def test_duplicated_outdated_and_unrequested_grants_are_rejected():
    limiter, pending = LocalRateLimiter(RATE, 0, 3, 0.0, 1000.0, 0.0), PendingRequests()
    first, second = pending.open(0.0), pending.open(100.0)
    grant = Grant(second, 5, 10.0, 4.0, 3.0)
    assert limiter.accept_grant(150.0, grant, pending.sent_ms(second)) and limiter.granted.tokens == 3.0
    assert not limiter.accept_grant(160.0, grant, pending.sent_ms(second))  # a duplicate
    answer_to_earlier_request = Grant(first, 5, 50.0)
    assert not limiter.accept_grant(160.0, answer_to_earlier_request, pending.sent_ms(first))
    third = pending.open(200.0)
    grant_of_earlier_allocator = Grant(third, 4, 50.0)
    assert not limiter.accept_grant(210.0, grant_of_earlier_allocator, pending.sent_ms(third))
    assert not limiter.accept_grant(210.0, Grant(99, 6, 50.0), pending.sent_ms(99))  # never requested
    assert limiter.granted.expires_ms == 1100.0


def test_bucket_fills_neither_after_its_expiry_nor_beyond_its_capacity():
    bucket = TokenBucket(0.0, 10.0, 5.0, expires_ms=300.0)
    assert bucket.available(200.0) == 2.0 and bucket.available(300.0) == 0.0 and bucket.tokens == 3.0
    assert TokenBucket(0.0, 10.0, 5.0).available(10_000.0) == 5.0


def test_largest_request_is_remembered_for_as_long_as_the_demand():
    limiter = LocalRateLimiter(RATE, 0, 3, 0.0, 1000.0, 0.01)
    for t in (0.0, 100.0):
        limiter.try_spend(t, 2.0)
    limiter.excess_demand(400.0)
    assert limiter.excess_demand(710.0) > 0 and limiter.largest_request == 2.0  # no request for 310 ms
    assert limiter.excess_demand(2000.0) == 0 and limiter.largest_request == 0.0
