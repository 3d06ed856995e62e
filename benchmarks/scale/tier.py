"""A hollow tier: decision modules in modelled time, with workers, clients and a wire of words between them.

No sockets and no clock: the same seed gives the same events. What a call costs is measured beside it (CPU of
this process) and changes nothing of what happens. Hollow workers answer after a drawn time and have no queue:
what is asked of them is under half of what they can do, and it is control that is looked at."""

from __future__ import annotations

import gc
import heapq
import itertools
import math
import random
import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from benchmarks.cold_workers import COLD_FROM, WARM_UP_MS, WINDOW_MS, WORK_MS, allowed
from benchmarks.scale.load import Firm, Load
from plumpick.policy import subsetting
from plumpick.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
)
from plumpick.policy.concurrency_limit import PERIOD_MS
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    Event,
    PeerMessageReceived,
    RequestReceived,
    TimerFired,
)
from plumpick.policy.settings import Idempotency, RequestClass
from plumpick.policy.timers import CLOCK_GRAIN_MS, TimerKind

OF_MESSAGES = (TimerKind.OUTBOX, TimerKind.LEDGER, TimerKind.GRANT_REPLY)
BEGIN_MS = 100_000.0
SETTLE, COUNTED, CHANGING = "settle", "counted", "changing"  # phases of a run
WIRE_MS = (1.0, 3.0)  # to a worker and back
UTIL = (0.45, 0.05)  # what workers report, and its scatter
DIAL_MS = 50.0  # until a connection to a worker that has gone is known to come to nothing
UP_MS = 300.0  # of a restart, in which it is not there
LEAVE_MS = 1000.0  # before it, in which it takes nothing new
OPEN_MOST = 200_000  # requests open at once, beyond which a run has no end and is given up
LOOK_EVERY = 2000  # events between looks at the wall clock

Make = Callable[[Any, int], Any]


class TierError(Exception):
    """A run that could not be played to its end."""


@dataclass(slots=True)
class Want:
    """What a client wants, over all of its tries."""

    firm: Firm
    kind: RequestClass
    work_ms: float
    turn: int = 0


@dataclass(slots=True)
class Open:
    """A request that a gatekeeper has not answered yet."""

    want: Want
    gate: Gate
    came_ms: float
    lag_ms: float  # of its arrival's call behind others
    attempts: int = 0
    out: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Gate:
    """A gatekeeper, over its lives."""

    number: int
    judged: bool
    control: Any = None
    life: int = 0
    still_ms: float = 0.0  # it stands still until then
    down: bool = True  # also before its first process
    known_down: bool = False  # to those who send requests
    free_ms: float = 0.0  # when its core has done what came before
    period_ms: float = math.inf  # when its module's next period is due
    wakes: set[float] = field(default_factory=set)
    inbox: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class Told:
    """A change of the list: who has taken it in, and how late."""

    at_ms: float
    late_ms: list[float] = field(default_factory=list)


class Tier:
    """`numbers`: the gatekeepers that are played; of these `judged` are counted. `make` makes a module."""

    def __init__(
        self,
        load: Load,
        seed: int,
        numbers: Iterable[int] = (),
        judged: Iterable[int] = (),
        make: Make = Controller,
    ) -> None:
        numbers = list(numbers) or list(range(load.gateways))
        chosen = set(judged) or set(numbers)
        self.load, self.seed, self.make, self.rng = load, seed, make, random.Random(f"{seed}/tier")
        self.now, self.queue, self.order = BEGIN_MS, list[Any](), itertools.count()
        self.gates = {number: Gate(number, number in chosen) for number in numbers}
        self.judged = [gate for gate in self.gates.values() if gate.judged]
        # A firm whose set is not played in full would ask a home that is not there.
        self.firms = [
            firm
            for firm in load.firms
            if all((firm.first + place) % load.gateways in self.gates for place in range(firm.spread))
        ]
        self.cumulated = list(itertools.accumulate(firm.asked_per_s for firm in self.firms))
        self.shares = list(itertools.accumulate(share for _, share, _ in load.kinds))
        self.plans = {plan.name: plan for plan in load.settings_of(numbers[0]).plans}
        self.tick_ms = load.settings_of(numbers[0]).tick_ms
        self.list = {server.id: server for server in load.servers}  # as things are
        self.gone: set[str] = set()
        self.open: dict[int, Open] = {}
        self.ids = itertools.count(1)
        # What a fault changes: the part of words lost, ms that each is later, and who does not hear whom.
        self.loss, self.late_ms = load.peers.loss, 0.0
        self.apart: Callable[[int, int], bool] = lambda _sender, _receiver: False
        self.phase, self.counting = "", False  # counted: words, tries, attempts of the phase COUNTED
        self.counts: Counter[str] = Counter()
        self.cpu: defaultdict[tuple[str, str], float] = defaultdict(float)  # s, by phase and what was done
        self.calls: Counter[tuple[str, str]] = Counter()
        # Added to requests of firms inside their quotas, ms: in modelled time, and behind other calls of the
        # same core, by phase.
        self.waits: defaultdict[str, list[float]] = defaultdict(list)
        self.lags: defaultdict[str, list[float]] = defaultdict(list)
        self.list_ms: list[float] = []  # each call with a change of the list
        self.told: list[Told] = []
        self.levels: dict[str, tuple[float, float]] = {}
        self.beyond: defaultdict[str, float] = defaultdict(float)  # by firm: units in its worst window
        self.cold_sent: defaultdict[str, deque[float]] = defaultdict(deque)
        self.cold_judged: set[str] = set(self.list)
        self.cold_sum, self.cold_sends = 0.0, 0
        for gate in self.gates.values():  # their periods begin at moments of their own
            self.at(BEGIN_MS + self.rng.uniform(0, PERIOD_MS), self.begin, gate)
        if self.firms:
            self.at(BEGIN_MS + PERIOD_MS, self.ask)

    # -- time

    def at(self, ms: float, call: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self.queue, (ms, next(self.order), call, arguments))

    def run(self, phases: list[tuple[str, float]], until: float = math.inf) -> dict[str, float]:
        """Play phases of so many seconds; how long each was, shorter where the wall clock (s, as
        time.monotonic) says so. Raises TierError where what is open grows without end."""
        queue, seen, end, played = self.queue, 0, BEGIN_MS, dict[str, float]()
        gc.collect()
        gc.disable()  # it would look through all gatekeepers of this process and be one call's cost
        try:
            for phase, seconds in phases:
                begin, end = end, end + seconds * 1000
                self.phase, self.counting = phase, phase == COUNTED
                while queue and queue[0][0] <= end:
                    self.now, _, call, arguments = heapq.heappop(queue)
                    call(*arguments)
                    seen += 1
                    if not seen % LOOK_EVERY:
                        if len(self.open) > OPEN_MOST:
                            raise TierError(f"{len(self.open)} requests are open at once")
                        if time.monotonic() > until:
                            played[phase] = (self.now - begin) / 1000
                            return played
                self.now, played[phase] = end, seconds
            return played
        finally:
            gc.enable()

    # -- gatekeepers

    def begin(self, gate: Gate) -> None:
        """A process of it starts, and is told the list as it is."""
        gate.life += 1
        gate.control = self.make(self.load.settings_of(gate.number), self.seed * 7919 + gate.number)
        gate.down = gate.known_down = False
        gate.still_ms, gate.free_ms = 0.0, self.now
        gate.wakes.clear()
        gate.period_ms = math.inf
        listed = tuple(server for name, server in self.list.items() if name not in self.gone)
        self.turn(gate, gate.life, EndpointsUpdated(listed), "begin")
        gate.period_ms = self.now + PERIOD_MS

    def end(self, gate: Gate, back_ms: float, notice_ms: float) -> None:
        """It ends without a word, and another process of it begins after `back_ms`; those who send requests
        notice after `notice_ms`."""
        gate.life += 1
        gate.down, gate.control = True, None
        for number, request in [row for row in self.open.items() if row[1].gate is gate]:
            del self.open[number]
            self.again(request.want, 0.0)
        self.at(self.now + notice_ms, self.notice, gate)
        self.at(self.now + back_ms, self.begin, gate)

    def leave(self, gate: Gate) -> None:
        """A planned restart: nothing new goes there, what is open may be answered, then it is anew."""
        gate.known_down = True
        self.at(self.now + LEAVE_MS, self.end, gate, UP_MS, 0.0)

    @staticmethod
    def notice(gate: Gate) -> None:
        gate.known_down = gate.down

    def turn(self, gate: Gate, life: int, event: Event, what: str, told: Told | None = None) -> float:
        """One event at a gatekeeper; for how long its core was busy then, in ms."""
        if life != gate.life or gate.down:
            return 0.0
        if self.now < gate.still_ms:  # sockets hold what comes meanwhile
            self.at(gate.still_ms, self.turn, gate, life, event, what, told)
            return 0.0
        if self.now + CLOCK_GRAIN_MS >= gate.period_ms:
            # In a turn of its own, so that its cost is told apart from that of the event.
            gate.period_ms = self.now + PERIOD_MS
            self.handle(gate, [], "period")
        lag_ms = self.handle(gate, [event], what)
        if told is not None:
            told.late_ms.append(self.now - told.at_ms)  # no CPU: the same on every machine
        return lag_ms

    def handle(self, gate: Gate, events: list[Event], what: str) -> float:
        """A call of the module. The core does one at a time, so this one ends behind those before it."""
        control = gate.control
        timers = control.state.timers.entries
        if what == "wake" and timers:
            what = "words" if timers[0][2] in OF_MESSAGES else "serve"
        begin = time.process_time()
        actions = control.handle(self.now, events)
        spent = time.process_time() - begin
        if control.faults:
            raise control.faults[0]
        gate.free_ms = max(gate.free_ms, self.now) + spent * 1000
        lag_ms = gate.free_ms - self.now
        if gate.judged:
            self.cpu[self.phase, what] += spent
            self.calls[self.phase, what] += 1
            if what == "list":
                self.list_ms.append(spent * 1000)
        for action in actions:
            self.act(gate, action, lag_ms)
        return lag_ms

    def act(self, gate: Gate, action: Action, lag_ms: float) -> None:
        match action:
            case StartAttempt():
                self.send(gate, action, lag_ms)
            case SendPeerMessage():
                self.tell(gate, action)
            case SetTimer():
                # As the daemon's timers go: no finer than a tick, and once for all that is due then.
                due = math.ceil((self.now + action.delay_ms) / self.tick_ms) * self.tick_ms
                if due not in gate.wakes:
                    gate.wakes.add(due)
                    self.at(due, self.wake, gate, gate.life, due)
            case RejectRequest() | FailRequest():
                self.refuse(gate, action)
            case CancelAttempt():
                if action.id in self.open:
                    self.open[action.id].out.discard(action.attempt)
                gone = AttemptCompleted(action.id, action.attempt, "", 0.0, AttemptResult.CANCELLED, False)
                self.at(self.now, self.turn, gate, gate.life, gone, "serve")

    def wake(self, gate: Gate, life: int, due: float) -> None:
        if life == gate.life:
            gate.wakes.discard(due)
            self.turn(gate, life, TimerFired("agenda"), "wake")

    # -- words

    def tell(self, gate: Gate, action: SendPeerMessage) -> None:
        size = len(action.data)
        if gate.judged and self.counting:
            self.counts["told"] += 1
            self.counts["told_bytes"] += size
            self.counts["largest"] = max(self.counts["largest"], size)
        other = self.gates.get(action.receiver)
        if other is None:  # it is not played, so what it hears does not count
            self.counts["outside"] += self.counting
            return
        if self.apart(gate.number, other.number) or self.rng.random() < self.loss:
            return
        ms = self.rng.uniform(*self.load.peers.delay_ms) + self.late_ms
        self.at(self.now + ms, self.hear, gate.number, other, action.data)

    def hear(self, sender: int, gate: Gate, data: bytes) -> None:
        """A word has come; an inbox takes so many a second."""
        counted = gate.judged and self.counting
        if counted:
            self.counts["come"] += 1
            self.counts["come_bytes"] += len(data)
        while gate.inbox and gate.inbox[0] <= self.now - 1000:
            gate.inbox.popleft()
        if len(gate.inbox) >= self.load.peers.inbox_per_s:
            self.counts["crowded"] += counted
            return
        gate.inbox.append(self.now)
        self.counts["taken"] += counted
        self.turn(gate, gate.life, PeerMessageReceived(sender, data), "words")

    # -- clients

    def ask(self) -> None:
        """A client wants something; the next one comes after a drawn time."""
        self.at(self.now + self.rng.expovariate(self.cumulated[-1]) * 1000, self.ask)
        firm = self.rng.choices(self.firms, cum_weights=self.cumulated)[0]
        kind, _, work_ms = self.rng.choices(self.load.kinds, cum_weights=self.shares)[0]
        self.try_it(Want(firm, kind, work_ms))

    def try_it(self, want: Want) -> None:
        firm, gateways = want.firm, self.load.gateways
        gates = [self.gates[(firm.first + place) % gateways] for place in range(firm.spread)]
        weights: list[float] = firm.weights
        if any(gate.known_down for gate in gates):
            weights = [0.0 if gate.known_down else part for gate, part in zip(gates, weights, strict=True)]
            if not any(weights):
                weights = firm.weights
        gate = self.rng.choices(gates, weights)[0]
        wait_ms = want.kind.deadline_ms * self.rng.uniform(*self.load.clients.patience)
        counted = gate.judged and self.counting
        self.counts["tries"] += counted
        self.counts["wants"] += counted and not want.turn
        inside = firm.use <= 1  # who asks for more than its quota has to be refused
        self.counts["tries_inside"] += counted and inside
        if gate.down:
            self.again(want, 0.0)
            return
        number = next(self.ids)
        self.open[number] = request = Open(want, gate, self.now, 0.0)
        arrival = RequestReceived(
            number,
            firm.name,
            want.kind.name,
            firm.plan,
            self.now + wait_ms,
            1.0,
            firm.first,
            firm.spread,
            want.turn > 0,
        )
        request.lag_ms = self.turn(gate, gate.life, arrival, "serve")

    def again(self, want: Want, retry_ms: float) -> None:
        """Once more, as the rehearsal's clients do it."""
        part = self.load.clients
        if want.turn >= part.retries:
            return
        wait_ms = self.rng.uniform(*part.backoff_ms) * 2**want.turn
        want.turn += 1
        wait_ms = max(wait_ms, retry_ms) if want.firm.honours else wait_ms
        self.at(self.now + min(wait_ms, 5000.0), self.try_it, want)

    def refuse(self, gate: Gate, action: RejectRequest | FailRequest) -> None:
        request = self.open.pop(action.id, None)
        if request is None:
            return
        self.counts["refused"] += gate.judged and self.counting
        if isinstance(action, RejectRequest):
            self.again(request.want, action.retry_after_ms)
        elif request.want.kind.idempotency is Idempotency.IDEMPOTENT:
            self.again(request.want, 0.0)

    # -- workers

    def warmth(self, server: Endpoint) -> float:
        age = self.now - server.started_ms
        if not server.started_ms or age >= WARM_UP_MS:
            return 1.0
        return COLD_FROM + (1 - COLD_FROM) * max(0.0, age) / WARM_UP_MS

    def send(self, gate: Gate, send: StartAttempt, lag_ms: float) -> None:
        """An attempt goes to a worker."""
        self.counts["attempts"] += gate.judged and self.counting
        request = self.open.get(send.id)
        if request is None:  # for a request that has its answer: an attempt for nothing
            return
        number, request.attempts = request.attempts, request.attempts + 1
        request.out.add(number)
        if not number:
            request.lag_ms = max(request.lag_ms, lag_ms)
            self.book(request.want.firm)
        entry, work_ms = self.list[send.endpoint], request.want.work_ms
        share = self.warmth(entry)
        if share < 1:
            self.is_cold(entry.id, share, work_ms)
        if entry.id in self.gone:
            took, result = DIAL_MS, AttemptResult.CONNECT_FAILED
        else:
            drawn = min(self.rng.expovariate(1 / work_ms), 6 * work_ms)
            took, result = drawn / share + self.rng.uniform(*WIRE_MS), AttemptResult.OK
        load = (min(1.0, max(0.0, self.rng.gauss(*UTIL))), took)
        done = AttemptCompleted(
            send.id, number, send.endpoint, took, result, result is AttemptResult.OK, load_report=load
        )
        self.at(self.now + took, self.outcome, gate, gate.life, done)

    def outcome(self, gate: Gate, life: int, done: AttemptCompleted) -> None:
        request = self.open.get(done.id)
        if life != gate.life or request is None:
            # Its request has been answered; the module still counts the attempt as out.
            self.turn(gate, life, replace(done, is_final=False), "serve")
            return
        if done.attempt not in request.out:
            return  # it was called off, and told so
        if self.now < gate.still_ms:
            self.at(gate.still_ms, self.outcome, gate, life, done)
            return
        request.out.discard(done.attempt)
        if done.is_final:
            del self.open[done.id]
        lag_ms = self.turn(gate, life, done, "serve")
        if not (done.is_final and gate.judged):
            return
        inside = request.want.firm.use <= 1
        self.counts["served"] += self.counting
        self.counts["served_inside"] += self.counting and inside
        if inside:  # what others wait for is their quota
            self.waits[self.phase].append(max(0.0, self.now - request.came_ms - done.latency_ms))
            self.lags[self.phase].append(request.lag_ms + lag_ms)

    def is_cold(self, name: str, share: float, work_ms: float) -> None:
        """One more send to a worker that warms up, against what all together may send it by its warmth."""
        sent = self.cold_sent[name]
        sent.append(self.now)
        while sent[0] <= self.now - WINDOW_MS:
            sent.popleft()
        if name in self.cold_judged:
            self.cold_sends += 1
            self.cold_sum = max(self.cold_sum, len(sent) / allowed(share * WORK_MS / work_ms))

    def book(self, firm: Firm) -> None:
        """A unit of a firm's goes out, against its quota in any window."""
        plan = self.plans[firm.plan]
        level, at = self.levels.get(firm.name, (plan.burst, self.now))
        level = min(plan.burst, level + (self.now - at) / 1000 * plan.rate_per_s) - 1
        self.levels[firm.name] = level, self.now
        if level < 0:
            self.beyond[firm.name] = max(self.beyond[firm.name], -level)

    # -- discovery

    def change(self, entries: list[Endpoint]) -> None:
        """Things are so now, and each gatekeeper is told of it in its time, as by the rehearsal's roster."""
        part, told = self.load.roster, Told(self.now)
        self.told.append(told)
        for entry in entries:
            if entry.state is EndpointState.GONE:
                self.gone.add(entry.id)
            else:
                self.gone.discard(entry.id)
                self.list[entry.id] = entry
        late = part.add_s if entries[0].state is EndpointState.READY else part.gone_s
        notice_ms = self.rng.uniform(*late) * 1000
        for gate in self.gates.values():
            self.at(
                self.now + notice_ms + self.rng.uniform(*part.spread_ms),
                self.list_turn,
                gate,
                EndpointsUpdated(tuple(entries), is_snapshot=False),
                told,
            )

    def list_turn(self, gate: Gate, fleet: EndpointsUpdated, told: Told) -> None:
        """By then another life of it may run."""
        self.turn(gate, gate.life, fleet, "list", told if gate.judged else None)

    def replaced(self, name: str) -> None:
        """A worker has ended, and another process of it has begun, cold."""
        self.change([replace(self.list[name], started_ms=self.now)])

    def lacking(self) -> int:
        """How many entries of all gatekeepers that are up say otherwise than things are."""
        return sum(
            (known.endpoint.started_ms if (known := gate.control.state.endpoints.tracked.get(name)) else None)
            != server.started_ms
            for gate in self.gates.values()
            if not gate.down
            for name, server in self.list.items()
            if name not in self.gone
        )

    def near(self, numbers: Iterable[int]) -> list[str]:
        """The workers of which all gatekeepers that send to them are among these."""
        chosen, ring = (
            set(numbers),
            sorted(self.list.values(), key=lambda s: (subsetting.ring_position(s.id), s.id)),
        )
        rows = [(server.id, 1.0) for server in ring]
        others: set[str] = set()
        inside: set[str] = set()
        for number in range(self.load.gateways):
            arc = subsetting.subset_of(rows, self.load.gateways, number) if chosen else []
            (inside if number in chosen else others).update(arc)
        return sorted(inside - others)
