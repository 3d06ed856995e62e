"""Simulates one budget with its gateways and allocator in simulated time. Reports and grants are lost,
duplicated and delayed; gateways restart; gateways and the allocator stall; clocks drift. Spending is checked
by true time."""

import heapq
import itertools
import random

from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import BudgetKind
from plumpick.policy.budgets.concurrency_limiter import LocalConcurrencyLimiter
from plumpick.policy.budgets.grant import PendingRequests
from plumpick.policy.budgets.messages import DemandReport
from plumpick.policy.budgets.rate_limiter import LocalRateLimiter

REPORT_INTERVAL_MS = 300.0  # time between two demand reports of a gateway
GRANT_TERM_MS = 2000.0
DRIFT = 0.01  # ratio by which each clock runs too fast or too slow
STEP_MS = 20.0  # time between two batches of requests at a gateway
UNIT_MS = 150.0  # maximum time for which a unit of a concurrency budget is in use


class Clock:
    """A clock with a random offset that runs too fast or too slow by the ratio `DRIFT`."""

    def __init__(self, fleet):
        self.fleet, self.start = fleet, fleet.now
        self.rate = 1 + fleet.rng.choice((-1, 1)) * DRIFT
        self.offset = fleet.rng.uniform(0, 1e6)

    def __call__(self):
        return self.offset + (self.fleet.now - self.start) * self.rate


class Gateway:
    """One incarnation of a gateway: sends requests and demand reports, and receives grants."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.clock = fleet, number, Clock(fleet)
        self.incarnation = fleet.rng.getrandbits(32)
        limiter_class, more_arguments = LocalConcurrencyLimiter, ()
        if fleet.budget.kind is BudgetKind.RATE:
            limiter_class, more_arguments = LocalRateLimiter, (DRIFT,)
        self.limiter = fleet.classes.get("limiter", limiter_class)(
            fleet.budget, number, fleet.gateways, self.clock(), GRANT_TERM_MS, *more_arguments
        )
        self.pending = PendingRequests()
        self.is_dead = False
        self.stalled_until = 0.0
        self.demand = fleet.demand
        fleet.schedule(fleet.now + fleet.rng.uniform(0, REPORT_INTERVAL_MS), self.report)
        fleet.schedule(fleet.now + fleet.rng.uniform(0, STEP_MS), self.send_requests)

    def is_running(self, retry):
        """Whether the gateway runs now. If it is stalled, `retry` is called after the stall."""
        if self.is_dead:
            return False
        if self.fleet.now < self.stalled_until:
            self.fleet.schedule(self.stalled_until, retry)
            return False
        return True

    def report(self):
        if not self.is_running(self.report):
            return
        now, limiter = self.clock(), self.limiter
        report = DemandReport(
            0,
            self.pending.open(now),
            limiter.excess_demand(now),
            limiter.granted_amount(now),
            limiter.last_grant_id,
            getattr(limiter, "largest_request", 0.0),
            0,
        )
        self.fleet.send(lambda: self.fleet.receive_report(self, report))
        self.fleet.schedule(self.fleet.now + REPORT_INTERVAL_MS, self.report)

    def receive(self, grant):
        if self.is_running(lambda: self.receive(grant)):
            self.limiter.accept_grant(self.clock(), grant, self.pending.sent_ms(grant.request_id))

    def send_requests(self):
        if not self.is_running(self.send_requests):
            return
        fleet, now = self.fleet, self.clock()
        for _ in range(self.demand(self.number, fleet.now)):
            if fleet.budget.kind is BudgetKind.RATE:
                if self.limiter.try_spend(now, fleet.units):
                    fleet.record_spending(fleet.units)
            else:
                source = self.limiter.try_acquire(now, UNIT_MS)
                if source is not None:
                    fleet.in_use += 1
                    # The gateway measures UNIT_MS by its own clock. Units of a process that has ended are
                    # released within `release_delay_ms`.
                    end = fleet.now + fleet.rng.uniform(0.1, 0.98) * UNIT_MS
                    fleet.schedule(end, lambda source=source: self.release(source))
        fleet.check_units_in_use()
        fleet.schedule(fleet.now + STEP_MS, self.send_requests)

    def release(self, source):
        self.fleet.in_use -= 1
        self.limiter.release(source)


class Fleet:
    """All gateways and the allocator of one budget.

    `demand(number, t)`: number of requests that a gateway sends in a step. `units`: units per request.
    `classes`: classes to use for `limiter` and `allocator`. `violations`: times and amounts by which a limit
    was exceeded."""

    def __init__(self, seed, budget, gateways=3, demand=lambda number, t: 1, units=1.0, **classes):
        self.rng, self.now = random.Random(seed), 0.0
        self.budget, self.gateways = budget, gateways
        self.demand, self.classes, self.units = demand, classes, units
        self.loss, self.duplicates, self.delay = 0.02, 0.0, (1.0, 20.0)
        self._heap, self._serial = [], itertools.count()
        self.in_use, self.max_in_use = 0, 0
        self.total_units, self.violations = 0.0, []
        # Tokens of a reference bucket with the limit and burst of the budget, and the time of their count.
        self.tokens, self.tokens_ms = budget.burst, 0.0
        self.allocator, self.token, self.allocator_stalled_until = None, 0, 0.0
        self.incarnations = [Gateway(self, number) for number in range(gateways)]
        self.replace_allocator()

    def schedule(self, t, call):
        heapq.heappush(self._heap, (t, next(self._serial), call))

    def send(self, call):
        if self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplicates)):
            self.schedule(self.now + self.rng.uniform(*self.delay), call)

    def replace_allocator(self):
        """Replace the allocator as if another gateway had acquired the lease after the end of the previous
        one."""
        self.token += 1
        clock = Clock(self)
        self.allocator = self.classes.get("allocator", BudgetAllocator)(
            self.budget, self.gateways, clock(), self.token, GRANT_TERM_MS, DRIFT
        )
        self.allocator_clock = clock

    def receive_report(self, gateway, report):
        allocator, clock = self.allocator, self.allocator_clock
        if allocator is None:
            return
        grant = allocator.request_grant(clock(), gateway.number, gateway.incarnation, report)
        if grant is None:
            return
        # The allocator may stall between the check of its lease and the sending, and the grant then arrives
        # late.
        late = max(0.0, self.allocator_stalled_until - self.now)
        self.schedule(self.now + late, lambda: self.send(lambda: gateway.receive(grant)))

    def record_spending(self, units):
        self.total_units += units
        self.tokens = min(
            self.budget.burst, self.tokens + (self.now - self.tokens_ms) / 1000 * self.budget.limit
        )
        self.tokens_ms = self.now
        self.tokens -= units
        if self.tokens < -1e-6:
            self.violations.append((round(self.now, 1), self.tokens))

    def check_units_in_use(self):
        self.max_in_use = max(self.max_in_use, self.in_use)
        if self.budget.kind is BudgetKind.CONCURRENCY and self.in_use > self.budget.limit:
            self.violations.append((round(self.now, 1), self.in_use))

    def kill(self, number):
        self.incarnations[number].is_dead = True
        self.incarnations[number] = Gateway(self, number)

    def run(self, ms):
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = end

    def schedule_faults(self, seconds):
        t = 0.0
        while t < seconds * 1000:
            t += self.rng.expovariate(1 / 500)
            kind = self.rng.choice(("kill", "stall", "network", "allocator", "allocator-stall", "heal"))
            self.schedule(self.now + t, lambda kind=kind: self.inject_fault(kind))

    def inject_fault(self, kind):
        rng, number = self.rng, self.rng.randrange(self.gateways)
        if kind == "kill":
            self.kill(number)
        elif kind == "stall":
            self.incarnations[number].stalled_until = self.now + rng.choice((100, 1000, 3000))
        elif kind == "network":
            self.loss, self.duplicates = rng.choice((0.0, 0.3)), rng.choice((0.0, 0.5))
            self.delay = rng.choice(((1, 20), (1, 1000), (1, 10_000)))
        elif kind == "heal":
            self.loss, self.duplicates, self.delay = 0.02, 0.0, (1.0, 20.0)
        elif kind == "allocator":
            self.replace_allocator()
        else:
            self.allocator_stalled_until = self.now + rng.choice((300, 1500, 5000))
