"""Fleet-wide budgets: a limit that all gateways together never pass, whatever fails. No I/O, no clock.

The entry point is ledger.BudgetLedger, all budgets at one gateway. rate_limiter.py: what may be spent now;
allocator.py and fair_share.py: who is granted how much; matching.py: which requests are charged to a budget;
codec.py: messages between gateways; bounds.py: what the promises come to. docs/design/budgets.md numbers the
promises."""
