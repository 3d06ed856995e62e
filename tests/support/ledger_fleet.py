"""The budget ledgers of all gateways, connected without a network."""

import random

from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.leases.codec import MAX_PAYLOAD_BYTES
from plumpick.policy.leases.terms import LeaseTerms

TERMS = LeaseTerms((0, 1, 2), slots=4, term_ms=1200.0, drift_ratio=0.01)
GRANT_TERM_MS = 1000.0
ONE = Budget("one", BudgetKind.RATE, 60.0, burst=30.0, guaranteed_ratio=0.3)


class LedgerFleet:
    """Budget ledgers of several gateways, whose messages arrive immediately. The test chooses the gateway
    that holds all leases."""

    def __init__(self, budgets=(ONE,), gateways=3):
        self.now = 0.0
        self.budgets, self.gateways = tuple(budgets), gateways
        self.owner, self.token = None, 0
        self.partitioned = set()  # gateways that exchange no messages with others
        self.ledgers = [self.ledger(number) for number in range(gateways)]
        self.incarnations = [100 + number for number in range(gateways)]

    def ledger(self, number, resume_guaranteed=True):
        """Create a new ledger of gateway `number`."""
        ledger = BudgetLedger(
            self.budgets, number, self.gateways, TERMS, GRANT_TERM_MS, random.Random(number), self.now
        )
        if resume_guaranteed:
            ledger.resume_guaranteed(self.now)
        return ledger

    def give_leases_to(self, number):
        """Move all leases to gateway `number`; None: no gateway holds them."""
        for ledger in self.ledgers:
            for slot in range(TERMS.slots):
                ledger.on_lease_lost(slot)
        self.owner, self.token = number, self.token + 1
        if number is not None:
            for slot in range(TERMS.slots):
                self.ledgers[number].on_lease_acquired(self.now, slot, self.token)

    def deliver(self, sender, receiver, payload):
        if {sender, receiver} & self.partitioned and sender != receiver:
            return
        is_acceptor = receiver in TERMS.acceptors
        self.ledgers[receiver].on_message(
            self.now,
            sender,
            self.incarnations[sender],
            payload,
            self.incarnations[receiver],
            lambda _slot: self.owner if is_acceptor else None,
        )

    def run(self, ms, demand=(), units=1.0):
        """Advance time by `ms` with `demand` requests per second at each gateway, of `units` each. Return the
        number of accepted requests by gateway."""
        accepted = [0] * self.gateways
        end = self.now + ms
        while self.now < end:
            self.now += 10.0
            for number, rate in enumerate(demand):
                for _ in range(int(rate * self.now / 1000) - int(rate * (self.now - 10) / 1000)):
                    accepted[number] += self.ledgers[number].try_spend(
                        self.now, [(one.name, units) for one in self.budgets]
                    )
            for ledger in self.ledgers:
                ledger.on_timer(self.now)
            while any(ledger.outbox for ledger in self.ledgers):
                for number, ledger in enumerate(self.ledgers):
                    messages, ledger.outbox = ledger.outbox, []
                    for receiver, payload in messages:
                        assert len(payload) <= MAX_PAYLOAD_BYTES
                        self.deliver(number, receiver, payload)
        return accepted
