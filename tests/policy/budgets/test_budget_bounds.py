"""Bounds on the spending of budgets, compared with the spending of ledgers."""

from support.ledger_fleet import GRANT_TERM_MS, ONE, TERMS, LedgerFleet

from plumpick.policy.budgets.bounds import bounds_of


def test_spending_without_an_allocator_equals_the_bound_without_a_quorum():
    fleet = LedgerFleet()
    fleet.run(1000, [200, 200, 200])
    sure = next(
        row.sure
        for row in bounds_of(ONE, 3, TERMS, GRANT_TERM_MS)
        if row.state == "no majority of voters" and row.window_s == 10.0
    )
    accepted = sum(fleet.run(10_000, [200, 200, 200]))
    assert sure - 3 <= accepted <= sure + 3
