"""The bounds of budgets against what ledgers do."""

from support.ledger_fleet import GRANT_TERM_MS, ONE, TERMS, LedgerFleet

from plumpick.policy.budgets.bounds import bounds_of


def test_guaranteed_limits_alone_serve_what_the_bounds_call_sure():
    fleet = LedgerFleet()
    fleet.run(1000, [200, 200, 200])
    sure = next(
        row.sure
        for row in bounds_of(ONE, 3, TERMS, GRANT_TERM_MS)
        if row.state == "no majority of voters" and row.window_s == 10.0
    )
    got = sum(fleet.run(10_000, [200, 200, 200]))
    assert sure - 3 <= got <= sure + 3
