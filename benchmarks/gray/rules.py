"""The rules beside the decision module's: what others do, in the same events and actions.

Each chooses the least-outstanding server, holds what is over its limit for up to 0.45 of the aim, then
refuses, and tries again what surely never ran, or is safe, up to three times. They differ in the limit and
in ejection.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict, deque

from plumpick.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, SetTimer, StartAttempt
from plumpick.policy.attempt_lifecycle import AttemptLifecycle
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    ClientDisconnected,
    EndpointState,
    EndpointsUpdated,
    Event,
    RequestReceived,
)
from plumpick.policy.request_state import Request
from plumpick.policy.settings import Idempotency, Settings

MOST_TRIES, HOLD_PART, STEP_MS = 3, 0.45, 20.0


class Fixed:
    """A cap that never moves: twelve attempts for each server, over all gateways."""

    per_server = 12.0

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.servers: list[str] = []
        self.out: defaultdict[str, int] = defaultdict(int)
        self.total = 0
        self.held: deque[RequestReceived] = deque()
        self.until: dict[int, float] = {}
        self.open: dict[int, RequestReceived] = {}
        self.sent: dict[int, list[str]] = {}
        self.flying: dict[tuple[int, int], str] = {}
        self.limit = 0.0
        self.now = 0.0
        self.waking = False

    def start(self) -> None:
        self.limit = max(1.0, self.per_server * len(self.servers) / self.settings.gateway_count)

    def learn(self, event: AttemptCompleted, kind_aim: float) -> None:
        """What an outcome teaches the limit."""

    def usable(self) -> list[str]:
        return self.servers

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Take in what happened and return what to do."""
        self.now, actions = now_ms, list[Action]()
        for event in events:
            match event:
                case EndpointsUpdated():
                    self.servers = [
                        server.id for server in event.endpoints if server.state is EndpointState.READY
                    ]
                    self.start()
                case RequestReceived():
                    self.open[event.id], self.sent[event.id] = event, []
                    self.until[event.id] = (
                        now_ms + HOLD_PART * self.kinds[event.class_name].latency_objective_ms
                    )
                    self.held.append(event)
                case ClientDisconnected() if event.id in self.open:
                    self.close(event.id, actions)
                case AttemptCompleted():
                    self.outcome(event, actions)
        self.release(actions)
        if not self.waking or any(
            not isinstance(event, AttemptCompleted | RequestReceived) for event in events
        ):
            self.waking = True
            actions.append(SetTimer(STEP_MS, "step"))
        return actions

    def release(self, actions: list[Action]) -> None:
        kept: deque[RequestReceived] = deque()
        for arrival in self.held:
            if arrival.id not in self.open:
                continue
            if self.total < max(1.0, self.limit) and self.servers:
                self.send(arrival, actions)
            elif self.now >= self.until[arrival.id]:
                actions.append(RejectRequest(arrival.id, 250.0))
                self.close(arrival.id, actions)
            else:
                kept.append(arrival)
        self.held = kept

    def send(self, arrival: RequestReceived, actions: list[Action]) -> None:
        tried = self.sent[arrival.id]
        pool = [name for name in self.usable() if name not in tried] or self.usable()
        least = min(self.out[name] for name in pool)
        name = self.rng.choice([name for name in pool if self.out[name] == least])
        self.flying[arrival.id, len(tried)] = name
        tried.append(name)
        self.out[name] += 1
        self.total += 1
        actions.append(StartAttempt(arrival.id, name, max(1.0, arrival.deadline_ms - self.now)))

    def outcome(self, event: AttemptCompleted, actions: list[Action]) -> None:
        name = self.flying.pop((event.id, event.attempt), None)
        if name is None:
            return
        self.out[name] -= 1
        self.total -= 1
        arrival = self.open.get(event.id)
        self.judge(name, event)
        if arrival is not None or event.result is AttemptResult.OK:
            self.learn(event, self.kinds[arrival.class_name].latency_objective_ms if arrival else 1000.0)
        if arrival is None:
            return
        kind = self.kinds[arrival.class_name]
        safe = event.result.proves_not_executed or kind.idempotency is Idempotency.IDEMPOTENT
        early = self.now < arrival.deadline_ms - kind.deadline_ms * 0.3
        if event.is_final:
            self.close(event.id, actions)
        elif safe and len(self.sent[event.id]) < MOST_TRIES and early:
            self.send(arrival, actions)
        else:
            actions.append(RejectRequest(event.id, 250.0) if safe else FailRequest(event.id))
            self.close(event.id, actions)

    def judge(self, name: str, event: AttemptCompleted) -> None:
        """What an outcome says of its server."""

    def close(self, number: int, actions: list[Action]) -> None:
        self.open.pop(number, None)
        self.until.pop(number, None)
        for attempt in range(len(self.sent.pop(number, []))):
            if (number, attempt) in self.flying:
                actions.append(CancelAttempt(number, attempt))


class Aimd(Fixed):
    """Additive increase, multiplicative decrease: a late, failed or lost attempt cuts a tenth off."""

    def learn(self, event: AttemptCompleted, kind_aim: float) -> None:
        if event.result is AttemptResult.OK and event.latency_ms < kind_aim:
            self.limit += 1 / max(1.0, self.limit)
        else:
            self.limit = max(1.0, self.limit * 0.9)


class Gradient(Fixed):
    """The gradient limiter of Netflix's concurrency-limits (Gradient2): long against short answer times."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.long = 0.0

    def learn(self, event: AttemptCompleted, kind_aim: float) -> None:
        if event.result is AttemptResult.NOT_STARTED:
            return
        short = max(1.0, event.latency_ms)
        self.long = short if not self.long else self.long + (short - self.long) * 2 / 601
        if self.long / short > 2:
            self.long *= 0.95
        if self.total < self.limit / 2:
            return
        gradient = max(0.5, min(1.0, 1.5 * self.long / short))
        news = self.limit * gradient + math.sqrt(max(1.0, self.limit))
        most = 4 * self.per_server * len(self.servers) / self.settings.gateway_count
        self.limit = min(max(1.0, most), max(1.0, self.limit * 0.8 + news * 0.2))


class Ejecting(Fixed):
    """Least outstanding with outlier ejection: five failures in a row put a server out, a third at most."""

    row, base_ms, most = 5, 3000.0, 1 / 3

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.failures: defaultdict[str, int] = defaultdict(int)
        self.times: defaultdict[str, int] = defaultdict(int)
        self.back: dict[str, float] = {}

    def usable(self) -> list[str]:
        return [name for name in self.servers if self.back.get(name, 0.0) <= self.now] or self.servers

    def judge(self, name: str, event: AttemptCompleted) -> None:
        if event.result is AttemptResult.OK:
            self.failures[name] = 0
        elif event.result in (
            AttemptResult.ERROR,
            AttemptResult.TIMEOUT,
            AttemptResult.RESET,
            AttemptResult.CANCELLED,
        ):
            self.failures[name] += 1
            out = sum(until > self.now for until in self.back.values())
            if self.failures[name] >= self.row and out + 1 <= self.most * len(self.servers):
                self.times[name] += 1
                self.back[name] = self.now + self.base_ms * self.times[name]
                self.failures[name] = 0


class Before(Controller):
    """The decision module as it was: the limit counts every attempt in flight, however old."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.lifecycle.attempts = NeverOverdue(
            self.state, self.turn, self.lifecycle.close, self.lifecycle.reject_or_fail
        )


class NeverOverdue(AttemptLifecycle):
    """Nothing is ever overdue."""

    def check_overdue(self, request: Request) -> None:
        """An attempt stays as it is, however long it takes."""


RULES = {
    "plumpick": Controller,
    "before": Before,
    "fixed cap": Fixed,
    "AIMD": Aimd,
    "gradient": Gradient,
    "ejection": Ejecting,
}
