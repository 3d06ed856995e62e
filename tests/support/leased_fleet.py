"""Simulates all gateways of one budget with a modelled lease, restarts, stalls and partitions. Spending is
checked by true time."""

import heapq
import itertools
import random

from benchmarks.budgets.trial import audit
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.leases.terms import LeaseTerms

TERMS = LeaseTerms((0, 1, 2), slots=1, term_ms=2000.0, drift_ratio=0.01)
GRANT_TERM_MS = 1000.0


class LeasedFleet:
    """Ledgers with individual clocks, and one lease. Its owner renews the lease if it can. Another gateway
    acquires it when it has expired, or was released without outstanding grants.

    `ledger`: class of the ledgers. `moving_demand`: whether all demand is at one gateway, which changes every
    400 ms."""

    def __init__(self, seed, budget, gateways=3, ledger=BudgetLedger, moving_demand=False):
        self.moving_demand = moving_demand
        self.rng, self.now = random.Random(seed), 0.0
        self.gateways, self.ledger_class, self.budget = gateways, ledger, budget
        self.clock_rates = [1 + self.rng.choice((-1, 1)) * 0.01 for _ in range(gateways)]
        self.stalled_until = [0.0] * gateways
        self.incarnations = [0] * gateways
        self.heap, self.serials = [], itertools.count()
        self.spent = []  # times and units of spending
        self.owner, self.renewed_ms, self.token, self.vacant_ms = None, 0.0, 0, 0.0
        self.is_yielding = False
        self.loss, self.delay = 0.02, (1, 20)
        self.renewals_fail_until = 0.0
        self.ledgers = [self.new_ledger(number) for number in range(gateways)]

    def clock(self, number):
        return 5000.0 + self.now * self.clock_rates[number]

    def new_ledger(self, number):
        """Create the ledger of a new incarnation of gateway `number`."""
        self.incarnations[number] += 100
        ledger = self.ledger_class(
            (self.budget,), number, self.gateways, TERMS, GRANT_TERM_MS, self.rng, self.clock(number)
        )
        ledger.resume_guaranteed(self.clock(number))
        return ledger

    def schedule(self, t, call):
        heapq.heappush(self.heap, (t, next(self.serials), call))

    def step_lease(self):
        """Renew, end, release or acquire the lease by true time, as docs/design/ownership.md describes."""
        number = self.owner
        if number is not None:
            clock, ledger = self.clock(number), self.ledgers[number]
            is_due = self.now >= self.stalled_until[number] and clock - self.renewed_ms >= TERMS.term_ms / 3
            holds = clock < self.renewed_ms + TERMS.term_ms - TERMS.guard_ms
            if is_due and holds and self.now >= self.renewals_fail_until and self.rng.random() < 0.9:
                self.renewed_ms = clock
            if (
                self.now >= self.stalled_until[number]
                and clock >= self.renewed_ms + TERMS.term_ms - TERMS.guard_ms
            ):
                ledger.on_lease_lost(0)
                self.vacant_ms = max(self.vacant_ms, self.lease_end())
                self.owner = None
            elif self.now >= self.lease_end():  # the lease expires while its owner is stalled
                self.owner, self.vacant_ms = None, self.now
            elif self.is_yielding and self.now >= self.stalled_until[number]:
                ledger.stop_granting({0})
                if not ledger.slots_with_grants(clock):
                    ledger.on_lease_lost(0)
                    self.owner, self.vacant_ms = None, self.now
        if self.owner is None and self.now >= self.vacant_ms:
            running = [one for one in range(self.gateways) if self.now >= self.stalled_until[one]]
            if running:
                self.owner, self.token, self.is_yielding = self.rng.choice(running), self.token + 1, False
                self.renewed_ms = self.clock(self.owner)
                self.ledgers[self.owner].on_lease_acquired(self.renewed_ms, 0, self.token)

    def lease_end(self):
        return (self.renewed_ms + TERMS.term_ms - 5000.0) / self.clock_rates[self.owner]

    def send_outbox(self, number):
        ledger = self.ledgers[number]
        messages, ledger.outbox = ledger.outbox, []
        for receiver, payload in messages:
            if self.rng.random() >= self.loss or receiver == number:
                delay = 0.0 if receiver == number else self.rng.uniform(*self.delay)
                for _ in range(1 + (self.rng.random() < 0.1)):
                    self.schedule(
                        self.now + delay,
                        lambda r=receiver, p=payload, i=self.incarnations[number]: self.deliver(
                            number, i, r, p
                        ),
                    )

    def deliver(self, sender, incarnation, receiver, payload):
        if self.now < self.stalled_until[receiver]:
            self.schedule(
                self.stalled_until[receiver], lambda: self.deliver(sender, incarnation, receiver, payload)
            )
            return
        clock = self.clock(receiver)
        if self.owner == receiver or not self.ledgers[receiver].allocators or clock < 0:
            self.ledgers[receiver].on_message(
                clock,
                sender,
                incarnation,
                payload,
                self.incarnations[receiver],
                lambda _slot: self.owner,
                lambda _slot: self.renewed_ms + TERMS.term_ms if self.owner == receiver else -1.0,
            )
            self.send_outbox(receiver)

    def inject_fault(self):
        number = self.rng.randrange(self.gateways)
        kind = self.rng.choice(("kill", "kill", "stall", "network", "heal", "yield", "owner", "partition"))
        if kind == "owner" and self.owner is not None:
            number, kind = self.owner, self.rng.choice(("kill", "stall"))
        if kind == "kill":
            if self.owner == number:  # the lease of a dead gateway lasts until it expires
                self.vacant_ms, self.owner = self.lease_end(), None
            self.ledgers[number] = self.new_ledger(number)
        elif kind == "partition":
            self.renewals_fail_until = self.now + self.rng.choice((1000, 3000))
        elif kind == "stall":
            self.stalled_until[number] = self.now + self.rng.choice((100, 1000, 3000))
        elif kind == "network":
            self.loss, self.delay = (
                self.rng.choice((0.0, 0.3)),
                self.rng.choice(((1, 1000), (1, 10_000))),
            )
        elif kind == "heal":
            self.loss, self.delay = 0.02, (1, 20)
        else:
            self.is_yielding = True
        self.schedule(self.now + self.rng.expovariate(1 / 500), self.inject_fault)

    def run(self, ms):
        """Run until time `ms`; return the times at which more was spent than the budget allows."""
        self.schedule(1000.0, self.inject_fault)
        while self.now < ms:
            self.now += 10.0
            while self.heap and self.heap[0][0] <= self.now:
                heapq.heappop(self.heap)[2]()
            self.step_lease()
            for number, ledger in enumerate(self.ledgers):
                if self.now < self.stalled_until[number]:
                    continue
                clock = self.clock(number)
                ledger.on_timer(clock)
                self.send_outbox(number)
                for _ in range(2 * (not self.moving_demand or int(self.now / 400) % self.gateways == number)):
                    if ledger.try_spend(clock, [("one", 1.0)]):
                        self.spent.append((self.now, 1.0))
        return audit(self.spent, self.budget.limit, self.budget.burst)
