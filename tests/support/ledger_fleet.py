"""The budget ledgers of all gateways, without a network between them."""

import random

from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.leases.codec import MAX_PAYLOAD_BYTES
from plumpick.policy.leases.terms import LeaseTerms

TERMS = LeaseTerms((0, 1, 2), slots=4, term_ms=1200.0, drift_ratio=0.01)
GRANT_TERM_MS = 1000.0
ONE = Budget("one", BudgetKind.RATE, 60.0, burst=30.0, guaranteed_ratio=0.3)


class LedgerFleet:
    """Ledgers whose messages arrive at once. The test says who holds all leases."""

    def __init__(self, budgets=(ONE,), gateways=3):
        self.now = 0.0
        self.budgets, self.gateways = tuple(budgets), gateways
        self.owner, self.token = None, 0
        self.partitioned = set()  # gateways that nobody else reaches
        self.ledgers = [self.ledger(number) for number in range(gateways)]
        self.incarnations = [100 + number for number in range(gateways)]

    def ledger(self, number, resume_guaranteed=True):
        """A new ledger of that gateway."""
        ledger = BudgetLedger(
            self.budgets, number, self.gateways, TERMS, GRANT_TERM_MS, random.Random(number), self.now
        )
        if resume_guaranteed:
            ledger.resume_guaranteed(self.now)
        return ledger

    def give_leases_to(self, number):
        """All leases are lost, and that gateway acquires them; nobody where it is None."""
        for ledger in self.ledgers:
            for slot in range(TERMS.slots):
                ledger.on_lease_lost(slot)
        self.owner, self.token = number, self.token + 1
        if number is not None:
            for slot in range(TERMS.slots):
                self.ledgers[number].on_lease_acquired(self.now, slot, self.token)

    def deliver(self, sender, receiver, note):
        if {sender, receiver} & self.partitioned and sender != receiver:
            return
        is_voter = receiver in TERMS.acceptors
        self.ledgers[receiver].on_message(
            self.now,
            sender,
            self.incarnations[sender],
            note,
            self.incarnations[receiver],
            lambda _slot: self.owner if is_voter else None,
        )

    def run(self, ms, demand=(), units=1.0):
        """Go on for so long, with so many requests a second at each gateway; how many each let through."""
        got = [0] * self.gateways
        end = self.now + ms
        while self.now < end:
            self.now += 10.0
            for number, rate in enumerate(demand):
                for _ in range(int(rate * self.now / 1000) - int(rate * (self.now - 10) / 1000)):
                    got[number] += self.ledgers[number].try_spend(
                        self.now, [(one.name, units) for one in self.budgets]
                    )
            for ledger in self.ledgers:
                ledger.on_timer(self.now)
            while any(ledger.outbox for ledger in self.ledgers):
                for number, ledger in enumerate(self.ledgers):
                    notes, ledger.outbox = ledger.outbox, []
                    for receiver, note in notes:
                        assert len(note) <= MAX_PAYLOAD_BYTES
                        self.deliver(number, receiver, note)
        return got
