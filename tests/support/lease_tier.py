"""Members of a tier in modelled time: a network that loses, doubles, delays and cuts; processes that stand
still, die and come back; clocks that run apart. True time judges: who holds, and whether two do."""

import heapq
import itertools
import random

from plumpick.policy.leases.actions import LeaseAcquired, LeaseLost, LeaseYieldRequested, SendMessage
from plumpick.policy.leases.events import MessageReceived, ReleaseRequested
from plumpick.policy.leases.participant import LeaseParticipant
from plumpick.policy.leases.terms import LeaseTerms, token_owner

UNIX_MS = 1.8e12


class Process:
    """One life of a gatekeeper, with a clock that runs at `rate`."""

    def __init__(self, rig, number, rate):
        self.rig, self.number, self.rate, self.born = rig, number, rate, rig.now
        self.life = rig.rng.getrandbits(32)
        self.offset = rig.rng.uniform(0, 1e6)
        self.still_until, self.waiting, self.dead = 0.0, [], False
        self.member = rig.make(
            rig.terms,
            number,
            rig.gateways,
            self.life,
            random.Random(self.life),
            self.clock(),
            UNIX_MS + rig.now,
        )

    def clock(self):
        return self.offset + (self.rig.now - self.born) * self.rate

    def true(self, clock_ms):
        """The true time at which its clock shows that."""
        return self.born + (clock_ms - self.offset) / self.rate

    def handle(self, events=()):
        if self.dead:
            return
        if self.rig.now < self.still_until:
            self.waiting += events
            return
        actions = self.member.handle(self.clock(), [*self.waiting, *events])
        self.waiting = []
        for action in actions:
            self.rig.acts(self, action)
        due = min(self.true(self.member.due_ms), self.rig.now + 1e5)
        self.rig.at(max(self.rig.now, due) + 0.01, self._tick)

    def _tick(self):
        if not self.dead and self.rig.now >= self.still_until and self.clock() >= self.member.due_ms:
            self.handle()


class Rig:
    def __init__(self, seed, gateways=3, make=LeaseParticipant, drift=0.0, **terms):
        self.rng, self.now, self.gateways, self.make = random.Random(seed), 0.0, gateways, make
        self.terms = LeaseTerms(**{"acceptors": (0, 1, 2), "slots": 3, **terms})
        self.drift, self.loss, self.twice, self.delay = drift, 0.0, 0.0, (1.0, 5.0)
        self.cut = lambda sender, receiver, data: False
        self._heap, self._serial = [], itertools.count()
        self.lives, self.log, self.overlaps, self.sent, self.took_in = [], [], [], 0, {}
        self.gained, self.lost = [], []  # (t, number, lease, token)
        self.processes = [None] * gateways
        for number in range(gateways):
            self.start(number)

    def start(self, number):
        rate = 1 + self.rng.choice((-1, 1)) * self.drift
        process = self.processes[number] = Process(self, number, rate)
        self.lives.append(process)
        process.handle()
        return process

    def at(self, t, call):
        heapq.heappush(self._heap, (t, next(self._serial), call))

    def later(self, ms, call):
        self.at(self.now + ms, call)

    def acts(self, process, action):
        if isinstance(action, SendMessage):
            self.sent += 1
            if self.cut(process.number, action.receiver, action.data) or self.rng.random() < self.loss:
                return
            for _ in range(1 + (self.rng.random() < self.twice)):
                self.later(self.rng.uniform(*self.delay), lambda: self._deliver(process.number, action))
        elif isinstance(action, LeaseAcquired):
            self.gained.append((self.now, process.number, action.lease, action.token))
            self.log.append((round(self.now), process.number, "gained", action.lease))
        elif isinstance(action, LeaseLost):
            self.lost.append((self.now, process.number, action.lease, action.token))
            self.log.append((round(self.now), process.number, "lost", action.lease, action.reason))
        elif isinstance(action, LeaseYieldRequested):
            process.handle([ReleaseRequested(action.lease)])

    def _deliver(self, sender, action):
        to = self.processes[action.receiver]
        if to is not None:
            self.took_in[action.receiver] = self.took_in.get(action.receiver, 0) + 1
            to.handle([MessageReceived(sender, action.data)])

    def kill(self, number):
        self.processes[number].dead = True
        self.processes[number] = None

    def still(self, number, ms):
        process = self.processes[number]
        process.still_until = max(process.still_until, self.now + ms)
        self.later(ms, lambda: process.handle())

    def run(self, ms, judge=True):
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            t, _, call = heapq.heappop(self._heap)
            self.now = max(self.now, t)
            call()
            if judge:
                self.judge()
        self.now = end

    def judge(self):
        """Promise 1 by true time: a lease that a stopped process has not let go of counts until its end."""
        holders = {}
        for process in self.lives:
            if process.dead or process.member.closed:
                continue
            for lease, held in process.member.holder.held.items():
                if self.now < process.true(held.requested_ms + self.terms.term_ms):
                    holders.setdefault(lease, []).append((process.number, process.life))
        for lease, who in holders.items():
            if len(who) > 1:
                self.overlaps.append((round(self.now, 1), lease, who))
        self.lives = [process for process in self.lives if not process.dead]

    def holder(self, lease):
        """The number of who holds the lease and can act, or None."""
        return next(
            (
                process.number
                for process in self.processes
                if process is not None and process.clock() < process.member.holder.usable_until_ms(lease)
            ),
            None,
        )

    def until(self, true, ms):
        """Run until that is so; how long it took, or None."""
        begun = self.now
        while self.now < begun + ms:
            if true():
                return self.now - begun
            self.run(5)
        return None

    def faults(self, seconds):
        """Draw what goes wrong for so long."""
        rng, end = self.rng, seconds * 1000
        t = 0.0
        while t < end:
            t += rng.expovariate(1 / 700)
            kind = rng.choice(("kill", "still", "still", "split", "deaf", "weather", "storm", "all"))
            self.at(self.now + t, lambda kind=kind: self._fault(kind))

    def _fault(self, kind):
        rng = self.rng
        number = rng.randrange(self.gateways)
        for_ms = rng.choice((50, 300, 1000, 3000, 1.5 * self.terms.term_ms))
        if kind == "kill" and self.processes[number] is not None:
            self.kill(number)
            self.later(
                rng.choice((10, 300, 1500)), lambda: self.processes[number] is None and self.start(number)
            )
        elif kind == "all" and rng.random() < 0.2:
            for one in range(self.gateways):
                if self.processes[one] is not None:
                    self.kill(one)
                    self.later(
                        rng.uniform(10, 2000), lambda one=one: self.processes[one] is None and self.start(one)
                    )
        elif kind == "still" and self.processes[number] is not None:
            self.still(number, for_ms)
        elif kind in ("split", "deaf"):
            side, one_way = {n for n in range(self.gateways) if rng.random() < 0.4}, kind == "deaf"
            cut = self.cut = (
                lambda a, b, data: a in side
                and b not in side
                or (not one_way and b in side and a not in side)
            )
            self.later(for_ms, lambda: self.cut is cut and setattr(self, "cut", lambda a, b, data: False))
        elif kind == "weather":
            self.loss, self.twice = rng.choice((0, 0.05, 0.3)), rng.choice((0, 0.3))
            self.delay = rng.choice(((1, 5), (1, 40), (1, 2000), (1, 10000)))
        elif kind == "storm":
            self.loss, self.twice, self.delay = 0.0, 0.0, (1.0, 5.0)


def owner(token):
    return token_owner(token)
