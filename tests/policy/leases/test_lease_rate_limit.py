"""The rate limit on messages about leases and budgets to each peer."""

from plumpick.policy.leases.rate_limit import (
    BURST_MESSAGES,
    RATE_PER_S,
    RESERVED_FOR_LEASES_MESSAGES,
    PeerRateLimit,
)


def test_messages_to_one_peer_stay_within_the_rate_and_do_not_limit_another_peer():
    rate_limit = PeerRateLimit()
    sent = sum(rate_limit.allow(float(t), 1) for t in range(10_000))
    assert sent <= BURST_MESSAGES + RATE_PER_S * 10 + 1 and rate_limit.allow(10_000.0, 2)


def test_budget_messages_cannot_use_the_reserve_for_lease_messages():
    rate_limit = PeerRateLimit()
    assert (
        sum(rate_limit.allow(0.0, 1, is_lease_message=False) for _ in range(100))
        == BURST_MESSAGES - RESERVED_FOR_LEASES_MESSAGES
    )
    assert sum(rate_limit.allow(0.0, 1) for _ in range(100)) == RESERVED_FOR_LEASES_MESSAGES
