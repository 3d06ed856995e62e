"""The requests that a quota owner keeps to recognize duplicate messages."""

from types import SimpleNamespace

from plumpick.policy.quota.owner import SETTLED_MEMORY_MS, SETTLED_SWEEP_MS, QuotaOwner

REQUESTS_PER_MS = 3
DURATION_MS = 20_000


def test_a_busy_customer_does_not_make_each_request_look_at_all_that_are_settled():
    """Guards against a gateway that one customer's 2,500 requests a second kept busy with their settled
    requests alone, so that it accepted no connection for seconds."""
    ledger = SimpleNamespace(settled={}, returned=set(), spent=set())
    looks = 0
    for now_ms in range(DURATION_MS):
        for number in range(REQUESTS_PER_MS):
            before = ledger.settled
            QuotaOwner._forget_settled(now_ms, ledger)
            looks += ledger.settled is not before
            key = (now_ms, number)
            ledger.settled[key] = now_ms
            ledger.spent.add(key)
        oldest_ms = next(iter(ledger.settled.values()))
        assert now_ms - oldest_ms <= SETTLED_MEMORY_MS + SETTLED_SWEEP_MS + 1
        recent = min(now_ms, int(SETTLED_MEMORY_MS))
        assert len(ledger.settled) >= recent * REQUESTS_PER_MS
    assert ledger.spent == ledger.settled.keys()
    assert looks <= DURATION_MS / SETTLED_SWEEP_MS + 1
