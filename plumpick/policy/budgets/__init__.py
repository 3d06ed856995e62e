"""Fleet-wide budgets: limits that all gateways together never exceed, whatever fails. No I/O, no clock.

The entry point is ledger.BudgetLedger, which manages all budgets at one gateway. rate_limiter.py decides what
one gateway may spend now; allocator.py and fair_share.py decide the amount granted to each gateway;
matching.py selects the budgets that a request is charged to; codec.py encodes messages between gateways;
bounds.py computes how much can be spent in each state of the fleet. docs/design/budgets.md numbers and
explains the guarantees."""
