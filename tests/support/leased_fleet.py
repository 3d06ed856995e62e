"""All gateways of one budget with a modelled lease, restarts, stalls and partitions, checked by true time."""

import heapq
import itertools
import random

from benchmarks.budgets.trial import audit
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.leases.terms import LeaseTerms

TERMS = LeaseTerms((0, 1, 2), slots=1, term_ms=2000.0, drift_ratio=0.01)
GRANT_TERM_MS = 1000.0


class LeasedFleet:
    """Ledgers with clocks of their own, and one lease: its owner renews it while it can, and another gateway
    acquires it when it has ended, or was given back with no grant under it."""

    def __init__(self, seed, budget, gateways=3, ledger=BudgetLedger, moves=False):
        self.moves = moves  # all demand is at one gateway, and at another every 400 ms
        self.rng, self.now = random.Random(seed), 0.0
        self.gateways, self.make, self.budget = gateways, ledger, budget
        self.clock_rates = [1 + self.rng.choice((-1, 1)) * 0.01 for _ in range(gateways)]
        self.stalled_until = [0.0] * gateways
        self.incarnations = [0] * gateways
        self.heap, self.serials = [], itertools.count()
        self.spent = []  # when, and how many units
        self.owner, self.renewed_ms, self.token, self.vacant_ms = None, 0.0, 0, 0.0
        self.is_yielding = False
        self.loss, self.delay = 0.02, (1, 20)
        self.renewals_fail_until = 0.0
        self.ledgers = [self.restarted(number) for number in range(gateways)]

    def clock(self, number):
        return 5000.0 + self.now * self.clock_rates[number]

    def restarted(self, number):
        self.incarnations[number] += 100
        ledger = self.make(
            (self.budget,), number, self.gateways, TERMS, GRANT_TERM_MS, self.rng, self.clock(number)
        )
        ledger.resume_guaranteed(self.clock(number))
        return ledger

    def at(self, t, what):
        heapq.heappush(self.heap, (t, next(self.serials), what))

    def step_lease(self):
        """What the leases do (docs/design/ownership.md), by true time."""
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
            elif self.now >= self.lease_end():  # it stalls, and its lease ends all the same
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
        notes, ledger.outbox = ledger.outbox, []
        for receiver, note in notes:
            if self.rng.random() >= self.loss or receiver == number:
                late = 0.0 if receiver == number else self.rng.uniform(*self.delay)
                for _ in range(1 + (self.rng.random() < 0.1)):
                    self.at(
                        self.now + late,
                        lambda r=receiver, n=note, f=self.incarnations[number]: self.deliver(number, f, r, n),
                    )

    def deliver(self, sender, incarnation, receiver, note):
        if self.now < self.stalled_until[receiver]:
            self.at(self.stalled_until[receiver], lambda: self.deliver(sender, incarnation, receiver, note))
            return
        clock = self.clock(receiver)
        if self.owner == receiver or not self.ledgers[receiver].allocators or clock < 0:
            self.ledgers[receiver].on_message(
                clock,
                sender,
                incarnation,
                note,
                self.incarnations[receiver],
                lambda _slot: self.owner,
                lambda _slot: self.renewed_ms + TERMS.term_ms if self.owner == receiver else -1.0,
            )
            self.send_outbox(receiver)

    def fault(self):
        number = self.rng.randrange(self.gateways)
        kind = self.rng.choice(("kill", "kill", "stall", "network", "heal", "yield", "owner", "partition"))
        if kind == "owner" and self.owner is not None:
            number, kind = self.owner, self.rng.choice(("kill", "stall"))
        if kind == "kill":
            if self.owner == number:  # the lease of a dead gateway ends by its time
                self.vacant_ms, self.owner = self.lease_end(), None
            self.ledgers[number] = self.restarted(number)
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
        self.at(self.now + self.rng.expovariate(1 / 500), self.fault)

    def run(self, ms):
        """Moments at which more was spent than the budget allows."""
        self.at(1000.0, self.fault)
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
                for _ in range(2 * (not self.moves or int(self.now / 400) % self.gateways == number)):
                    if ledger.try_spend(clock, [("one", 1.0)]):
                        self.spent.append((self.now, 1.0))
        return audit(self.spent, self.budget.limit, self.budget.burst)
