"""One budget over holders and dividers in modelled time: askings and shares that are lost, doubled and
late; lives that end and begin; holders and dividers that stand still; clocks that run apart. True time
judges what was spent."""

import heapq
import itertools
import random

from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import BudgetKind
from plumpick.policy.budgets.holder import LocalConcurrencyLimiter, LocalRateLimiter, PendingRequests

ASK_MS, TERM_MS, DRIFT, STEP_MS, LIFE_MS = 300.0, 2000.0, 0.01, 20.0, 150.0


class Clock:
    def __init__(self, rig):
        self.rig, self.born, self.rate = rig, rig.now, 1 + rig.rng.choice((-1, 1)) * DRIFT
        self.offset = rig.rng.uniform(0, 1e6)

    def __call__(self):
        return self.offset + (self.rig.now - self.born) * self.rate


class Gate:
    """One life of a gatekeeper."""

    def __init__(self, rig, number):
        self.rig, self.number, self.clock, self.life = rig, number, Clock(rig), rig.rng.getrandbits(32)
        make, more = (
            (LocalRateLimiter, (DRIFT,))
            if rig.budget.kind is BudgetKind.RATE
            else (LocalConcurrencyLimiter, ())
        )
        self.holder = rig.make.get("holder", make)(
            rig.budget, number, rig.gateways, self.clock(), TERM_MS, *more
        )
        self.askings, self.dead, self.still_until, self.want = PendingRequests(), False, 0.0, rig.want
        self.waiting = []
        rig.at(rig.now + rig.rng.uniform(0, ASK_MS), self.ask)
        rig.at(rig.now + rig.rng.uniform(0, STEP_MS), self.step)

    def awake(self, again):
        if self.dead:
            return False
        if self.rig.now < self.still_until:
            self.rig.at(self.still_until, again)
            return False
        return True

    def ask(self):
        if not self.awake(self.ask):
            return
        now, holder = self.clock(), self.holder
        row = (
            self.number,
            self.life,
            self.askings.ask(now),
            holder.demand(now),
            holder.holding(now),
            holder.serial,
            getattr(holder, "need", 0.0),
        )
        self.rig.send(lambda: self.rig.asked(self, row))
        self.rig.at(self.rig.now + ASK_MS, self.ask)

    def hear(self, share):
        if self.awake(lambda: self.hear(share)):
            self.holder.lend(self.clock(), share, self.askings.asked_ms(share.serial))

    def step(self):
        if not self.awake(self.step):
            return
        rig, now = self.rig, self.clock()
        for _ in range(self.want(self.number, rig.now)):
            if rig.budget.kind is BudgetKind.RATE:
                if self.holder.spend(now, rig.units):
                    rig.spent(rig.units)
            else:
                which = self.holder.take(now, LIFE_MS)
                if which:
                    rig.out += 1
                    # Danger: the longest life counts by its own clock; a process that ends takes its units
                    # with it at the latest after `outlives_ms`.
                    rig.at(
                        rig.now + rig.rng.uniform(0.1, 0.98) * LIFE_MS, lambda which=which: self.back(which)
                    )
        rig.judge()
        rig.at(rig.now + STEP_MS, self.step)

    def back(self, which):
        self.rig.out -= 1
        self.holder.put_back(which)


class Rig:
    def __init__(self, seed, budget, gateways=3, want=lambda number, t: 1, units=1.0, **make):
        self.rng, self.now, self.budget, self.gateways = random.Random(seed), 0.0, budget, gateways
        self.want, self.make, self.units = want, make, units
        self.loss, self.twice, self.delay = 0.02, 0.0, (1.0, 20.0)
        self._heap, self._serial = [], itertools.count()
        self.out, self.most_out, self.total, self.over = 0, 0, 0.0, []
        self.level, self.level_t = budget.burst, 0.0  # of a reference bucket: what windows allow
        self.divider, self.lease_until, self.token, self.divider_still = None, 0.0, 0, 0.0
        self.gates = [Gate(self, number) for number in range(gateways)]
        self.new_divider()

    def at(self, t, call):
        heapq.heappush(self._heap, (t, next(self._serial), call))

    def send(self, call):
        if self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.twice)):
            self.at(self.now + self.rng.uniform(*self.delay), call)

    def new_divider(self):
        """Another owner of the duty: from a moment at which nobody else's lease lasts."""
        self.token += 1
        clock = Clock(self)
        self.divider = self.make.get("divider", BudgetAllocator)(
            self.budget, self.gateways, clock(), self.token, TERM_MS, DRIFT
        )
        self.divider_clock = clock

    def asked(self, gate, row):
        divider, clock = self.divider, self.divider_clock
        if divider is None:
            return
        share = divider.ask(clock(), *row)
        if share is None:
            return
        # It may stand still between its look at the lease and the word: what it sends then comes late.
        late = max(0.0, self.divider_still - self.now)
        self.at(self.now + late, lambda: self.send(lambda: gate.hear(share)))

    def spent(self, units):
        self.total += units
        self.level = min(self.budget.burst, self.level + (self.now - self.level_t) / 1000 * self.budget.whole)
        self.level_t = self.now
        self.level -= units
        if self.level < -1e-6:
            self.over.append((round(self.now, 1), self.level))

    def judge(self):
        self.most_out = max(self.most_out, self.out)
        if self.budget.kind is BudgetKind.STOCK and self.out > self.budget.whole:
            self.over.append((round(self.now, 1), self.out))

    def kill(self, number):
        self.gates[number].dead = True
        self.gates[number] = Gate(self, number)

    def run(self, ms):
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = end

    def faults(self, seconds):
        t = 0.0
        while t < seconds * 1000:
            t += self.rng.expovariate(1 / 500)
            kind = self.rng.choice(("kill", "still", "weather", "divider", "divider-still", "fair"))
            self.at(self.now + t, lambda kind=kind: self.fault(kind))

    def fault(self, kind):
        rng, number = self.rng, self.rng.randrange(self.gateways)
        if kind == "kill":
            self.kill(number)
        elif kind == "still":
            self.gates[number].still_until = self.now + rng.choice((100, 1000, 3000))
        elif kind == "weather":
            self.loss, self.twice = rng.choice((0.0, 0.3)), rng.choice((0.0, 0.5))
            self.delay = rng.choice(((1, 20), (1, 1000), (1, 10_000)))
        elif kind == "fair":
            self.loss, self.twice, self.delay = 0.02, 0.0, (1.0, 20.0)
        elif kind == "divider":
            self.new_divider()
        else:
            self.divider_still = self.now + rng.choice((300, 1500, 5000))
