"""Budget ledgers: allocation, demand reports, changes of limits, and the state passed on in a hot restart."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.ledger_fleet import GRANT_TERM_MS, ONE, TERMS, LedgerFleet

from plumpick.policy.budgets import codec
from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.errors import BudgetMismatchError
from plumpick.policy.budgets.grant import Grant
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.budgets.messages import GrantRow


def test_gateway_finds_the_allocator_through_acceptors_and_is_granted_unused_limits():
    fleet = LedgerFleet(gateways=5)
    fleet.give_leases_to(4)  # not an acceptor
    fleet.run(3000, [200, 0, 0, 0, 0])
    accepted = fleet.run(5000, [200, 0, 0, 0, 0])
    assert accepted[0] >= 0.9 * (0.7 + 0.3 / 5) * 60 * 5
    fleet.run(3000, [200, 200, 0, 0, 0])
    accepted = fleet.run(5000, [200, 200, 0, 0, 0])
    assert (
        accepted[0] == pytest.approx(accepted[1], rel=0.1) and sum(accepted) >= 0.9 * (0.7 + 0.6 / 5) * 60 * 5
    )


def with_limit(budget, limit, burst=None):
    return replace(budget, limit=limit, burst=budget.burst if burst is None else burst)


def used_ratio(fleet, ms, budget=ONE):
    """The fraction of a budget's limit that is used while the demand of all gateways exceeds it."""
    return sum(fleet.run(ms, [200] * fleet.gateways)) / budget.limit / ms * 1000


def test_changed_limit_is_used_and_kept_within_one_and_a_half_grant_terms():
    fleet = LedgerFleet()
    fleet.give_leases_to(2)
    fleet.run(3000, [200, 200, 200])
    for limits in (with_limit(ONE, 120.0, 60.0), with_limit(ONE, 30.0, 15.0), with_limit(ONE, 90.0)):
        for ledger in fleet.ledgers:
            ledger.set_limits(fleet.now, (limits,))
        fleet.run(GRANT_TERM_MS * 1.5, [200, 200, 200])
        assert 0.9 < used_ratio(fleet, 5000, limits) < 1.0, limits
    for ledger in fleet.ledgers:
        ledger.set_limits(fleet.now, (with_limit(ONE, 0.0),))
    fleet.run(GRANT_TERM_MS * 1.1, [200, 200, 200])
    assert sum(fleet.run(3000, [200, 200, 200])) == 0


@pytest.mark.parametrize("changed_gateway", [0, 1])  # the allocator, another gateway
def test_lowest_of_different_limits_applies_and_is_logged(changed_gateway):
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [200, 200, 200])
    low = with_limit(ONE, 30.0)
    fleet.ledgers[changed_gateway].set_limits(fleet.now, (low,))
    fleet.run(GRANT_TERM_MS * 2, [200, 200, 200])
    assert 0.9 < used_ratio(fleet, 5000, low) < 1.0
    logged = [
        line for ledger in fleet.ledgers for line in ledger.warnings if "the lower values apply" in line
    ]
    assert 1 <= len(logged) <= 4 and any("30" in line and "60" in line for line in logged)
    fleet.ledgers[changed_gateway].set_limits(fleet.now, (ONE,))
    fleet.run(GRANT_TERM_MS * 3, [200, 200, 200])
    assert 0.9 < used_ratio(fleet, 5000) < 1.0  # the lower limit no longer has any effect


def test_lower_limits_of_a_gateway_without_demand_are_forgotten():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.ledgers[1].set_limits(fleet.now, (with_limit(ONE, 30.0),))
    fleet.run(3000, [200, 200, 200])
    fleet.run(GRANT_TERM_MS * 4, [200, 0, 200])
    accepted = fleet.run(5000, [200, 0, 200])
    assert sum(accepted) > 0.9 * (60 * 0.9) * 5 and not fleet.ledgers[0].budgets["one"].lower_limits


def test_change_of_name_or_guaranteed_ratio_is_rejected_at_runtime():
    fleet = LedgerFleet()
    for other in (replace(ONE, guaranteed_ratio=0.5), replace(ONE, name="two")):
        with pytest.raises(BudgetMismatchError, match="next start"):
            fleet.ledgers[0].set_limits(0.0, (other,))
    assert fleet.ledgers[0].budgets["one"].configured == ONE


def test_report_rate_stays_near_the_regular_rate_while_demand_exceeds_all_budgets():
    fleet = LedgerFleet((ONE, Budget("thin", BudgetKind.RATE, 6.0, burst=2.0, guaranteed_ratio=0.0)), 3)
    fleet.give_leases_to(0)
    reported = []
    for t in range(0, 20_000, 20):
        fleet.now = float(t)
        for ledger in fleet.ledgers:
            before = ledger._schedule.last_report_ms
            for name in ("one", "thin"):
                ledger.try_spend(fleet.now, [(name, 1.0)])
                ledger.try_spend(fleet.now, [(name, 1.0)])
            ledger.on_timer(fleet.now)
            reported += [t] * (ledger._schedule.last_report_ms != before)
            for receiver, payload in ledger.outbox:
                fleet.deliver(ledger.number, receiver, payload)
            ledger.outbox.clear()
    # Regular reports per second of three gateways, each of which reports four times in a grant term.
    regular_per_s = 1000 / 250 * 1.1 * 3
    assert sum(t > 2000 for t in reported) <= 18 * regular_per_s * 1.1


def test_guaranteed_limit_is_available_without_an_allocator_and_the_next_allocator_is_found():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [0, 200, 0])
    fleet.give_leases_to(None)
    fleet.run(GRANT_TERM_MS, [0, 200, 0])
    assert fleet.run(5000, [0, 200, 0])[1] == pytest.approx(0.1 * 60 * 5 / 1.01, abs=2)
    fleet.give_leases_to(2)
    fleet.run(3 * GRANT_TERM_MS, [0, 200, 0])
    assert fleet.run(5000, [0, 200, 0])[1] >= 0.9 * 0.8 * 60 * 5


def test_gateway_partitioned_from_the_allocator_spends_its_guaranteed_limit():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [0, 200, 200])
    fleet.partitioned = {2}
    fleet.run(GRANT_TERM_MS * 1.1, [0, 200, 200])
    accepted = fleet.run(5000, [0, 200, 200])
    assert accepted[2] == pytest.approx(0.1 * 60 * 5 / 1.01, abs=2) and accepted[1] >= 0.9 * 0.8 * 60 * 5
    fleet.partitioned = set()
    fleet.run(3000, [0, 200, 200])
    accepted = fleet.run(5000, [0, 200, 200])
    assert accepted[1] == pytest.approx(accepted[2], rel=0.1)


def test_grant_for_an_earlier_incarnation_is_rejected():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [0, 200, 0])
    limiter = fleet.ledgers[1].budgets["one"].limiter
    grant = Grant(limiter.last_grant_id + 1, fleet.token, 50.0, 20.0, 20.0)
    fleet.ledgers[1].budgets["one"].requests.open(fleet.now)
    row = GrantRow(0, grant, ONE.fingerprint)
    before = limiter.granted_amount(fleet.now)
    (payload,) = codec.encode_grants(99, fleet.token, [row])
    fleet.deliver(0, 1, payload)
    assert limiter.granted_amount(fleet.now) == before
    (payload,) = codec.encode_grants(fleet.incarnations[1], fleet.token, [row])
    fleet.deliver(0, 1, payload)
    assert limiter.granted_amount(fleet.now) == 50.0


def test_hot_restart_moves_the_grant_to_the_next_process_and_leaves_nothing_to_spend():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [0, 200, 0])
    old, new = fleet.ledgers[1], fleet.ledger(1, resume_guaranteed=False)
    granted = old.budgets["one"].limiter.granted_amount(fleet.now)
    fleet.now += 300  # the buckets have refilled
    assert old.budgets["one"].limiter.available(fleet.now) > 5
    granted_tokens = old.budgets["one"].limiter.granted.available(fleet.now)
    state = old.export_state(fleet.now)
    assert old.budgets["one"].limiter.available(fleet.now + 5000) == 0 and not old.try_spend(
        fleet.now, [("one", 1.0)]
    )
    old.resume_guaranteed(fleet.now)
    # The guaranteed limit belongs to the next process, where it is suspended until `resume_guaranteed`.
    assert old.budgets["one"].limiter.available(fleet.now + 5000) == 0
    new.import_state(fleet.now, state)
    assert new.budgets["one"].limiter.granted_amount(fleet.now) == granted > 0
    assert new.budgets["one"].limiter.available(fleet.now) == pytest.approx(granted_tokens)
    new.resume_guaranteed(fleet.now)
    assert new.budgets["one"].limiter.available(fleet.now) > granted_tokens
    fleet.ledgers[1] = new
    assert fleet.run(5000, [0, 200, 0])[1] >= 0.85 * 0.8 * 60 * 5


@pytest.mark.parametrize(
    "damage",
    [
        {"holder": [1, 5.0, 2.0, 9.0, 0.0, 0.0, 0.0]},
        {"holder": [1, 5.0, 9.0, 2.0, 1e9, 0.0, 0.0]},
        {"holder": [1]},
        {"token": "x"},
        {"holder": [1, float("nan"), 9.0, 2.0, 0.0, 0.0, 0.0]},
    ],
)
def test_malformed_state_is_rejected_and_grants_nothing(damage):
    fleet = LedgerFleet()
    state = fleet.ledgers[1].export_state(0.0)
    state["holders"]["one"].update(damage)
    new = fleet.ledger(1)
    with pytest.raises((ValueError, TypeError)):
        new.import_state(0.0, state)
    assert new.budgets["one"].limiter.granted_amount(0.0) == 0


def test_request_is_charged_to_no_budget_if_one_of_its_budgets_is_exhausted():
    fleet = LedgerFleet((ONE, Budget("none", BudgetKind.RATE, 0.0, burst=1.0)))
    fleet.run(1000)
    ledger = fleet.ledgers[0]
    available = ledger.budgets["one"].limiter.available(fleet.now)
    assert available > 1 and not ledger.try_spend(fleet.now, [("one", 1.0), ("none", 1.0)])
    assert ledger.budgets["one"].limiter.available(fleet.now) == available
    assert ledger.try_spend(fleet.now, [("one", 1.0)])


def test_rejections_within_ten_grant_terms_are_logged_once():
    fleet = LedgerFleet()
    fleet.run(4000, [200, 0, 0])
    (line,) = fleet.ledgers[0].warnings
    assert line.startswith("budget one: ") and "requests rejected" in line


def test_only_budgets_with_demand_are_reported_in_few_messages():
    fleet = LedgerFleet([Budget(f"customer-{n}", BudgetKind.RATE, 30.0, burst=30.0) for n in range(10_000)])
    fleet.give_leases_to(0)
    ledger = fleet.ledgers[1]
    fleet.now = 1.0
    for number in range(20):
        ledger.try_spend(fleet.now, [(f"customer-{number}", 100.0)])
    ledger.on_timer(fleet.now)
    rows = sum(len(codec.decode(payload)) for _, payload in ledger.outbox)
    assert rows == 20 and len(ledger.outbox) <= 4 + 20 // codec.REPORTS_PER_MESSAGE + 1
    ledger.outbox.clear()
    ledger.on_timer(1e9)
    assert not ledger.outbox and ledger.next_timer_ms() == float("inf")  # no report without demand


def test_grants_of_ten_thousand_budgets_expire_without_a_timer():
    budgets = [
        Budget(f"b{n:05}", BudgetKind.RATE, 10.0, burst=10.0, guaranteed_ratio=0.0) for n in range(10_000)
    ]
    ledger = BudgetLedger(tuple(budgets), 1, 3, TERMS, GRANT_TERM_MS, random.Random(1), 0.0)
    for budget in ledger.budgets.values():
        request_id = budget.requests.open(100.0)
        assert budget.limiter.accept_grant(120.0, Grant(request_id, 1 << 90, 10.0, 10.0, 10.0), 100.0)
    assert all(
        budget.limiter.available(100.0 + GRANT_TERM_MS - 0.01) == 10.0 for budget in ledger.budgets.values()
    )
    assert ledger.next_timer_ms() == float("inf")  # expiry needs no timer: spending reads the clock
    expiry = 100.0 + GRANT_TERM_MS
    assert not any(ledger.try_spend(expiry, [(one.name, 1.0)]) for one in budgets[::7])
    assert all(
        budget.limiter.available(expiry) == 0 and budget.limiter.granted_amount(expiry) == 0
        for budget in ledger.budgets.values()
    )
    ledger.on_timer(expiry)
    # Only the budgets with demand are reported.
    assert sum(len(codec.decode(payload)) for _, payload in ledger.outbox) == len(budgets[::7])


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 900)), max_size=30))
def test_reported_budgets_equal_those_found_by_a_scan_of_all_budgets(steps):
    budgets = tuple(Budget(f"b{n}", BudgetKind.RATE, 3.0, burst=3.0, guaranteed_ratio=0.5) for n in range(10))
    ledger, now = BudgetLedger(budgets, 0, 3, TERMS, GRANT_TERM_MS, random.Random(1), 0.0), 0.0
    for number, wait in steps:
        now += wait
        ledger.try_spend(now, [(f"b{number}", 2.0)])
        if now < ledger.next_timer_ms():
            continue
        scanned = {
            budget.index
            for budget in ledger.budgets.values()
            if now - budget.excess_demand_ms <= 2 * GRANT_TERM_MS
        }
        ledger.on_timer(now)
        messages, ledger.outbox = ledger.outbox, []
        assert {row.budget_index for _, payload in messages for row in codec.decode(payload)} == scanned
