"""All budgets at each gateway: who allocates, what is reported, and what a hot restart passes on."""

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


def test_gateway_with_demand_finds_the_allocator_by_the_voters_and_gets_what_others_leave():
    fleet = LedgerFleet(gateways=5)
    fleet.give_leases_to(4)  # not a voter
    fleet.run(3000, [200, 0, 0, 0, 0])
    got = fleet.run(5000, [200, 0, 0, 0, 0])
    assert got[0] >= 0.9 * (0.7 + 0.3 / 5) * 60 * 5
    fleet.run(3000, [200, 200, 0, 0, 0])
    got = fleet.run(5000, [200, 200, 0, 0, 0])
    assert got[0] == pytest.approx(got[1], rel=0.1) and sum(got) >= 0.9 * (0.7 + 0.6 / 5) * 60 * 5


def with_limit(budget, limit, burst=None):
    return replace(budget, limit=limit, burst=budget.burst if burst is None else burst)


def spent_of(fleet, ms, budget=ONE):
    """The fraction of this limit that is used while all want more."""
    return sum(fleet.run(ms, [200] * fleet.gateways)) / budget.limit / ms * 1000


def test_limit_is_changed_in_service_and_settles_within_a_grant_term():
    fleet = LedgerFleet()
    fleet.give_leases_to(2)
    fleet.run(3000, [200, 200, 200])
    for limits in (with_limit(ONE, 120.0, 60.0), with_limit(ONE, 30.0, 15.0), with_limit(ONE, 90.0)):
        for ledger in fleet.ledgers:
            ledger.set_limits(fleet.now, (limits,))
        fleet.run(GRANT_TERM_MS * 1.5, [200, 200, 200])
        assert 0.9 < spent_of(fleet, 5000, limits) < 1.0, limits
    for ledger in fleet.ledgers:
        ledger.set_limits(fleet.now, (with_limit(ONE, 0.0),))
    fleet.run(GRANT_TERM_MS * 1.1, [200, 200, 200])
    assert sum(fleet.run(3000, [200, 200, 200])) == 0


@pytest.mark.parametrize("at", [0, 1])  # the allocator, another
def test_lower_of_different_limits_holds_and_is_logged(at):
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [200, 200, 200])
    low = with_limit(ONE, 30.0)
    fleet.ledgers[at].set_limits(fleet.now, (low,))
    fleet.run(GRANT_TERM_MS * 2, [200, 200, 200])
    assert 0.9 < spent_of(fleet, 5000, low) < 1.0
    logged = [
        line for ledger in fleet.ledgers for line in ledger.warnings if "the lower values apply" in line
    ]
    assert 1 <= len(logged) <= 4 and any("30" in line and "60" in line for line in logged)
    fleet.ledgers[at].set_limits(fleet.now, (ONE,))
    fleet.run(GRANT_TERM_MS * 3, [200, 200, 200])
    assert 0.9 < spent_of(fleet, 5000) < 1.0  # nothing of the lower limit is left


def test_lower_limits_of_a_gateway_without_demand_are_forgotten():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.ledgers[1].set_limits(fleet.now, (with_limit(ONE, 30.0),))
    fleet.run(3000, [200, 200, 200])
    fleet.run(GRANT_TERM_MS * 4, [200, 0, 200])
    got = fleet.run(5000, [200, 0, 200])
    assert sum(got) > 0.9 * (60 * 0.9) * 5 and not fleet.ledgers[0].budgets["one"].lower_limits


def test_other_names_or_guaranteed_ratios_are_rejected_in_service():
    fleet = LedgerFleet()
    for other in (replace(ONE, guaranteed_ratio=0.5), replace(ONE, name="two")):
        with pytest.raises(BudgetMismatchError, match="next start"):
            fleet.ledgers[0].set_limits(0.0, (other,))
    assert fleet.ledgers[0].budgets["one"].configured == ONE


def test_reports_stay_rare_where_all_want_more_than_there_is():
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
            for receiver, note in ledger.outbox:
                fleet.deliver(ledger.number, receiver, note)
            ledger.outbox.clear()
    ordinary = 1000 / 250 * 1.1 * 3  # reports a second of three, each four times in a grant term
    assert sum(t > 2000 for t in reported) <= 18 * ordinary * 1.1


def test_guaranteed_limit_serves_without_an_allocator_and_the_next_one_is_found():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [0, 200, 0])
    fleet.give_leases_to(None)
    fleet.run(GRANT_TERM_MS, [0, 200, 0])
    assert fleet.run(5000, [0, 200, 0])[1] == pytest.approx(0.1 * 60 * 5 / 1.01, abs=2)
    fleet.give_leases_to(2)
    fleet.run(3 * GRANT_TERM_MS, [0, 200, 0])
    assert fleet.run(5000, [0, 200, 0])[1] >= 0.9 * 0.8 * 60 * 5


def test_gateway_cut_off_from_the_allocator_serves_by_its_guaranteed_limit():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [0, 200, 200])
    fleet.partitioned = {2}
    fleet.run(GRANT_TERM_MS * 1.1, [0, 200, 200])
    got = fleet.run(5000, [0, 200, 200])
    assert got[2] == pytest.approx(0.1 * 60 * 5 / 1.01, abs=2) and got[1] >= 0.9 * 0.8 * 60 * 5
    fleet.partitioned = set()
    fleet.run(3000, [0, 200, 200])
    got = fleet.run(5000, [0, 200, 200])
    assert got[1] == pytest.approx(got[2], rel=0.1)


def test_grant_for_an_earlier_incarnation_is_rejected():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [0, 200, 0])
    limiter = fleet.ledgers[1].budgets["one"].limiter
    grant = Grant(limiter.last_grant_id + 1, fleet.token, 50.0, 20.0, 20.0)
    fleet.ledgers[1].budgets["one"].requests.open(fleet.now)
    row = GrantRow(0, grant, ONE.fingerprint)
    before = limiter.granted_amount(fleet.now)
    (note,) = codec.encode_grants(99, fleet.token, [row])
    fleet.deliver(0, 1, note)
    assert limiter.granted_amount(fleet.now) == before
    (note,) = codec.encode_grants(fleet.incarnations[1], fleet.token, [row])
    fleet.deliver(0, 1, note)
    assert limiter.granted_amount(fleet.now) == 50.0


def test_grant_passes_to_the_next_process_and_nothing_stays():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [0, 200, 0])
    old, new = fleet.ledgers[1], fleet.ledger(1, resume_guaranteed=False)
    granted = old.budgets["one"].limiter.granted_amount(fleet.now)
    fleet.now += 300  # there is something to spend by now
    assert old.budgets["one"].limiter.available(fleet.now) > 5
    left = old.budgets["one"].limiter.granted.available(fleet.now)
    state = old.export_state(fleet.now)
    assert old.budgets["one"].limiter.available(fleet.now + 5000) == 0 and not old.try_spend(
        fleet.now, [("one", 1.0)]
    )
    old.resume_guaranteed(fleet.now)
    assert (
        old.budgets["one"].limiter.available(fleet.now + 5000) == 0
    )  # the guaranteed limit is the next process's
    new.import_state(fleet.now, state)
    assert new.budgets["one"].limiter.granted_amount(fleet.now) == granted > 0
    assert new.budgets["one"].limiter.available(fleet.now) == pytest.approx(
        left
    )  # the guaranteed limit is suspended
    new.resume_guaranteed(fleet.now)
    assert new.budgets["one"].limiter.available(fleet.now) > left
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
def test_impossible_snapshot_is_rejected(damage):
    fleet = LedgerFleet()
    state = fleet.ledgers[1].export_state(0.0)
    state["holders"]["one"].update(damage)
    new = fleet.ledger(1)
    with pytest.raises((ValueError, TypeError)):
        new.import_state(0.0, state)
    assert new.budgets["one"].limiter.granted_amount(0.0) == 0


def test_request_is_charged_to_all_its_budgets_or_to_none():
    fleet = LedgerFleet((ONE, Budget("none", BudgetKind.RATE, 0.0, burst=1.0)))
    fleet.run(1000)
    ledger = fleet.ledgers[0]
    level = ledger.budgets["one"].limiter.available(fleet.now)
    assert level > 1 and not ledger.try_spend(fleet.now, [("one", 1.0), ("none", 1.0)])
    assert ledger.budgets["one"].limiter.available(fleet.now) == level
    assert ledger.try_spend(fleet.now, [("one", 1.0)])


def test_rejections_are_logged_once_in_a_while():
    fleet = LedgerFleet()
    fleet.run(4000, [200, 0, 0])
    (line,) = fleet.ledgers[0].warnings
    assert line.startswith("budget one: ") and "requests rejected" in line


def test_few_messages_report_only_budgets_in_demand_of_ten_thousand():
    fleet = LedgerFleet([Budget(f"customer-{n}", BudgetKind.RATE, 30.0, burst=30.0) for n in range(10_000)])
    fleet.give_leases_to(0)
    ledger = fleet.ledgers[1]
    fleet.now = 1.0
    for number in range(20):
        ledger.try_spend(fleet.now, [(f"customer-{number}", 100.0)])
    ledger.on_timer(fleet.now)
    rows = sum(len(codec.decode(note)) for _, note in ledger.outbox)
    assert rows == 20 and len(ledger.outbox) <= 4 + 20 // codec.REPORTS_PER_MESSAGE + 1
    ledger.outbox.clear()
    ledger.on_timer(1e9)
    assert not ledger.outbox and ledger.next_timer_ms() == float("inf")  # no demand: no report


def test_ten_thousand_grants_that_end_together_leave_nothing_and_need_no_timer():
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
    assert ledger.next_timer_ms() == float("inf")  # the clock is read where a unit is spent
    end = 100.0 + GRANT_TERM_MS
    assert not any(ledger.try_spend(end, [(one.name, 1.0)]) for one in budgets[::7])
    assert all(
        budget.limiter.available(end) == 0 and budget.limiter.granted_amount(end) == 0
        for budget in ledger.budgets.values()
    )
    ledger.on_timer(end)
    assert sum(len(codec.decode(note)) for _, note in ledger.outbox) == len(budgets[::7])  # those in demand


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 900)), max_size=30))
def test_index_by_demand_reports_what_a_scan_of_all_budgets_would(steps):
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
        notes, ledger.outbox = ledger.outbox, []
        assert {row.budget_index for _, note in notes for row in codec.decode(note)} == scanned
