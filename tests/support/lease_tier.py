"""A simulation of lease participants on virtual time, with faults injected between them.

The network loses, duplicates, delays and blocks messages; processes stall, die and restart; clocks drift. By
the simulation's true time it is checked that no lease has two holders at once."""

import heapq
import itertools
import random

from plumpick.policy.leases.actions import LeaseAcquired, LeaseLost, LeaseYieldRequested, SendMessage
from plumpick.policy.leases.events import MessageReceived, ReleaseRequested
from plumpick.policy.leases.participant import LeaseParticipant
from plumpick.policy.leases.terms import LeaseTerms

UNIX_MS = 1.8e12
FAULTS = ("kill", "stall", "stall", "split", "one-way", "bad-network", "good-network", "all")
MAX_TIMER_MS = 1e5
TIMER_SLACK_MS = 0.01


class GatewayProcess:
    """One incarnation of a gateway, whose clock runs at `rate` times the speed of true time."""

    def __init__(self, tier, number, rate):
        self.tier, self.number, self.rate, self.started = tier, number, rate, tier.now
        self.incarnation = tier.rng.getrandbits(32)
        self.clock_offset = tier.rng.uniform(0, 1e6)
        self.stalled_until, self.waiting, self.dead = 0.0, [], False
        self.participant = LeaseParticipant(
            tier.terms,
            number,
            tier.gateways,
            self.incarnation,
            random.Random(self.incarnation),
            self.clock(),
            UNIX_MS + tier.now,
        )

    def clock(self):
        """The time that the process's clock shows now, in ms."""
        return self.clock_offset + (self.tier.now - self.started) * self.rate

    def true_time(self, clock_ms):
        """The true time at which the process's clock shows `clock_ms`."""
        return self.started + (clock_ms - self.clock_offset) / self.rate

    def handle(self, events=()):
        """Pass events to the participant; during a stall they are queued until it ends."""
        if self.dead:
            return
        if self.tier.now < self.stalled_until:
            self.waiting += events
            return
        actions = self.participant.handle(self.clock(), [*self.waiting, *events])
        self.waiting = []
        for action in actions:
            self.tier.execute(self, action)
        due = min(self.true_time(self.participant.due_ms), self.tier.now + MAX_TIMER_MS)
        self.tier.schedule_at(max(self.tier.now, due) + TIMER_SLACK_MS, self._on_timer)

    def _on_timer(self):
        is_due = self.clock() >= self.participant.due_ms
        if not self.dead and self.tier.now >= self.stalled_until and is_due:
            self.handle()


class LeaseTier:
    """A tier of gateways; `drift` is the deviation of each clock's rate from 1, up or down."""

    def __init__(self, seed, gateways=3, drift=0.0, **terms):
        self.rng, self.now, self.gateways = random.Random(seed), 0.0, gateways
        self.terms = LeaseTerms(**{"acceptors": (0, 1, 2), "slots": 3, **terms})
        self.drift, self.loss, self.duplication, self.delay = drift, 0.0, 0.0, (1.0, 5.0)
        self.drops = lambda sender, receiver, data: False
        self._heap, self._serial = [], itertools.count()
        self.incarnations, self.log, self.overlaps = [], [], []
        self.acquired, self.lost = [], []  # (time, gateway, lease, token)
        self.processes = [None] * gateways
        for number in range(gateways):
            self.start(number)

    def start(self, number):
        """Start a new incarnation of the gateway with this number."""
        rate = 1 + self.rng.choice((-1, 1)) * self.drift
        process = self.processes[number] = GatewayProcess(self, number, rate)
        self.incarnations.append(process)
        process.handle()
        return process

    def schedule_at(self, t, call):
        heapq.heappush(self._heap, (t, next(self._serial), call))

    def schedule_after(self, ms, call):
        self.schedule_at(self.now + ms, call)

    def execute(self, process, action):
        """Execute an action that a participant returned."""
        if isinstance(action, SendMessage):
            self._send(process, action)
        elif isinstance(action, LeaseAcquired):
            self.acquired.append((self.now, process.number, action.lease, action.token))
            self.log.append((round(self.now), process.number, "gained", action.lease))
        elif isinstance(action, LeaseLost):
            self.lost.append((self.now, process.number, action.lease, action.token))
            self.log.append((round(self.now), process.number, "lost", action.lease, action.reason))
        elif isinstance(action, LeaseYieldRequested):
            process.handle([ReleaseRequested(action.lease)])

    def _send(self, process, action):
        if self.drops(process.number, action.receiver, action.data) or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            self.schedule_after(self.rng.uniform(*self.delay), lambda: self._deliver(process.number, action))

    def _deliver(self, sender, action):
        receiver = self.processes[action.receiver]
        if receiver is not None:
            receiver.handle([MessageReceived(sender, action.data)])

    def kill(self, number):
        self.processes[number].dead = True
        self.processes[number] = None

    def stall(self, number, ms):
        """Suspend the process of the gateway with this number for `ms`."""
        process = self.processes[number]
        process.stalled_until = max(process.stalled_until, self.now + ms)
        self.schedule_after(ms, lambda: process.handle())

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
        """Check by true time that each lease has one holder at most. A lease that a stalled process still
        holds counts until it expires."""
        holders = {}
        for process in self.incarnations:
            if process.dead or process.participant.closed:
                continue
            for lease, held in process.participant.holder.held.items():
                if self.now < process.true_time(held.requested_ms + self.terms.term_ms):
                    holders.setdefault(lease, []).append((process.number, process.incarnation))
        for lease, who in holders.items():
            if len(who) > 1:
                self.overlaps.append((round(self.now, 1), lease, who))
        self.incarnations = [process for process in self.incarnations if not process.dead]

    def holder(self, lease):
        """The number of the gateway that holds the lease and may still use it, or None."""
        return next(
            (
                process.number
                for process in self.processes
                if process is not None and process.clock() < process.participant.holder.usable_until_ms(lease)
            ),
            None,
        )

    def run_until(self, condition, ms):
        """Run until the condition is true; returns the time taken in ms, or None after `ms` without it."""
        started_ms = self.now
        while self.now < started_ms + ms:
            if condition():
                return self.now - started_ms
            self.run(5)
        return None

    def draw_faults(self, seconds):
        """Schedule random faults for the next `seconds`."""
        rng, end = self.rng, seconds * 1000
        t = 0.0
        while t < end:
            t += rng.expovariate(1 / 700)
            kind = rng.choice(FAULTS)
            self.schedule_at(self.now + t, lambda kind=kind: self._fault(kind))

    def _fault(self, kind):
        rng = self.rng
        number = rng.randrange(self.gateways)
        duration_ms = rng.choice((50, 300, 1000, 3000, 1.5 * self.terms.term_ms))
        if kind == "kill" and self.processes[number] is not None:
            self._kill_and_restart(number, lambda: rng.choice((10, 300, 1500)))
        elif kind == "all" and rng.random() < 0.2:
            for one in range(self.gateways):
                if self.processes[one] is not None:
                    self._kill_and_restart(one, lambda: rng.uniform(10, 2000))
        elif kind == "stall" and self.processes[number] is not None:
            self.stall(number, duration_ms)
        elif kind in ("split", "one-way"):
            self._split(duration_ms, kind == "one-way")
        elif kind == "bad-network":
            self.loss, self.duplication = rng.choice((0, 0.05, 0.3)), rng.choice((0, 0.3))
            self.delay = rng.choice(((1, 5), (1, 40), (1, 2000), (1, 10000)))
        elif kind == "good-network":
            self.loss, self.duplication, self.delay = 0.0, 0.0, (1.0, 5.0)

    def _kill_and_restart(self, number, draw_ms):
        self.kill(number)
        self.schedule_after(draw_ms(), lambda: self.processes[number] is None and self.start(number))

    def _split(self, duration_ms, one_way):
        side = {number for number in range(self.gateways) if self.rng.random() < 0.4}

        def drops(sender, receiver, data):
            if sender in side and receiver not in side:
                return True
            return not one_way and receiver in side and sender not in side

        def end():
            if self.drops is drops:
                self.drops = lambda sender, receiver, data: False

        self.drops = drops
        self.schedule_after(duration_ms, end)
