"""Load balancing rules that are compared with the policy; they use the same events and actions.

Each rule sends an attempt to the worker ("server") with the fewest attempts in flight. Requests over the
concurrency limit are queued for up to 0.45 of the latency objective and then rejected. A failed attempt is
retried, up to three attempts in all, if it was certainly not executed or the class is idempotent. The rules
differ in the concurrency limit and in outlier ejection.
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

MAX_ATTEMPTS, HOLD_RATIO, TIMER_MS = 3, 0.45, 20.0


class FixedLimit:
    """A constant concurrency limit: twelve attempts per worker, divided among the gateways."""

    per_server = 12.0

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.classes = {kind.name: kind for kind in settings.classes}
        self.servers: list[str] = []
        self.in_flight_by_server: defaultdict[str, int] = defaultdict(int)
        self.total = 0
        self.held: deque[RequestReceived] = deque()
        self.hold_until_ms: dict[int, float] = {}
        self.open: dict[int, RequestReceived] = {}
        self.sent: dict[int, list[str]] = {}
        self.in_flight: dict[tuple[int, int], str] = {}
        self.limit = 0.0
        self.now = 0.0
        self.is_timer_set = False

    def reset_limit(self) -> None:
        self.limit = max(1.0, self.per_server * len(self.servers) / self.settings.gateway_count)

    def update_limit(self, event: AttemptCompleted, latency_objective_ms: float) -> None:
        """Adjust the concurrency limit to the result of an attempt; the fixed limit ignores it."""

    def usable_servers(self) -> list[str]:
        return self.servers

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Process events at simulated time `now_ms`; return the actions to be executed."""
        self.now, actions = now_ms, list[Action]()
        for event in events:
            match event:
                case EndpointsUpdated():
                    self.servers = [
                        server.id for server in event.endpoints if server.state is EndpointState.READY
                    ]
                    self.reset_limit()
                case RequestReceived():
                    self.open[event.id], self.sent[event.id] = event, []
                    self.hold_until_ms[event.id] = (
                        now_ms + HOLD_RATIO * self.classes[event.class_name].latency_objective_ms
                    )
                    self.held.append(event)
                case ClientDisconnected() if event.id in self.open:
                    self.close(event.id, actions)
                case AttemptCompleted():
                    self.on_attempt_completed(event, actions)
        self.release_held(actions)
        if not self.is_timer_set or any(
            not isinstance(event, AttemptCompleted | RequestReceived) for event in events
        ):
            self.is_timer_set = True
            actions.append(SetTimer(TIMER_MS, "step"))
        return actions

    def release_held(self, actions: list[Action]) -> None:
        still_held: deque[RequestReceived] = deque()
        for request in self.held:
            if request.id not in self.open:
                continue
            if self.total < max(1.0, self.limit) and self.servers:
                self.start_attempt(request, actions)
            elif self.now >= self.hold_until_ms[request.id]:
                actions.append(RejectRequest(request.id, 250.0))
                self.close(request.id, actions)
            else:
                still_held.append(request)
        self.held = still_held

    def start_attempt(self, request: RequestReceived, actions: list[Action]) -> None:
        servers_tried = self.sent[request.id]
        candidates = [
            name for name in self.usable_servers() if name not in servers_tried
        ] or self.usable_servers()
        least = min(self.in_flight_by_server[name] for name in candidates)
        name = self.rng.choice([name for name in candidates if self.in_flight_by_server[name] == least])
        self.in_flight[request.id, len(servers_tried)] = name
        servers_tried.append(name)
        self.in_flight_by_server[name] += 1
        self.total += 1
        actions.append(StartAttempt(request.id, name, max(1.0, request.deadline_ms - self.now)))

    def on_attempt_completed(self, event: AttemptCompleted, actions: list[Action]) -> None:
        name = self.in_flight.pop((event.id, event.attempt), None)
        if name is None:
            return
        self.in_flight_by_server[name] -= 1
        self.total -= 1
        request = self.open.get(event.id)
        self.record_result(name, event)
        if request is not None or event.result is AttemptResult.OK:
            self.update_limit(
                event, self.classes[request.class_name].latency_objective_ms if request else 1000.0
            )
        if request is None:
            return
        kind = self.classes[request.class_name]
        safe = event.result.proves_not_executed or kind.idempotency is Idempotency.IDEMPOTENT
        early = self.now < request.deadline_ms - kind.deadline_ms * 0.3
        if event.is_final:
            self.close(event.id, actions)
        elif safe and len(self.sent[event.id]) < MAX_ATTEMPTS and early:
            self.start_attempt(request, actions)
        else:
            actions.append(RejectRequest(event.id, 250.0) if safe else FailRequest(event.id))
            self.close(event.id, actions)

    def record_result(self, name: str, event: AttemptCompleted) -> None:
        """Record the result of an attempt on worker `name` for outlier ejection; ignored without ejection."""

    def close(self, number: int, actions: list[Action]) -> None:
        self.open.pop(number, None)
        self.hold_until_ms.pop(number, None)
        for attempt in range(len(self.sent.pop(number, []))):
            if (number, attempt) in self.in_flight:
                actions.append(CancelAttempt(number, attempt))


class AimdLimit(FixedLimit):
    """Additive increase, multiplicative decrease: a late or failed attempt reduces the limit by a tenth."""

    def update_limit(self, event: AttemptCompleted, latency_objective_ms: float) -> None:
        if event.result is AttemptResult.OK and event.latency_ms < latency_objective_ms:
            self.limit += 1 / max(1.0, self.limit)
        else:
            self.limit = max(1.0, self.limit * 0.9)


class GradientLimit(FixedLimit):
    """The Gradient2 limiter of Netflix's concurrency-limits, which compares long-term and current latency."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.long_latency_ms = 0.0

    def update_limit(self, event: AttemptCompleted, latency_objective_ms: float) -> None:
        if event.result is AttemptResult.NOT_STARTED:
            return
        short_latency_ms = max(1.0, event.latency_ms)
        self.long_latency_ms = (
            short_latency_ms
            if not self.long_latency_ms
            else self.long_latency_ms + (short_latency_ms - self.long_latency_ms) * 2 / 601
        )
        if self.long_latency_ms / short_latency_ms > 2:
            self.long_latency_ms *= 0.95
        if self.total < self.limit / 2:
            return
        gradient = max(0.5, min(1.0, 1.5 * self.long_latency_ms / short_latency_ms))
        target = self.limit * gradient + math.sqrt(max(1.0, self.limit))
        max_limit = 4 * self.per_server * len(self.servers) / self.settings.gateway_count
        self.limit = min(max(1.0, max_limit), max(1.0, self.limit * 0.8 + target * 0.2))


class OutlierEjection(FixedLimit):
    """A fixed limit with outlier ejection: five consecutive failures eject a worker, up to a third of all."""

    max_failures_in_a_row, base_ms, max_ejected_ratio = 5, 3000.0, 1 / 3

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.failures: defaultdict[str, int] = defaultdict(int)
        self.ejections: defaultdict[str, int] = defaultdict(int)
        self.ejected_until_ms: dict[str, float] = {}

    def usable_servers(self) -> list[str]:
        return [
            name for name in self.servers if self.ejected_until_ms.get(name, 0.0) <= self.now
        ] or self.servers

    def record_result(self, name: str, event: AttemptCompleted) -> None:
        if event.result is AttemptResult.OK:
            self.failures[name] = 0
        elif event.result in (
            AttemptResult.ERROR,
            AttemptResult.TIMEOUT,
            AttemptResult.RESET,
            AttemptResult.CANCELLED,
        ):
            self.failures[name] += 1
            ejected = sum(until > self.now for until in self.ejected_until_ms.values())
            if self.failures[
                name
            ] >= self.max_failures_in_a_row and ejected + 1 <= self.max_ejected_ratio * len(self.servers):
                self.ejections[name] += 1
                self.ejected_until_ms[name] = self.now + self.base_ms * self.ejections[name]
                self.failures[name] = 0


class WithoutOverdueCheck(Controller):
    """The policy without its check for overdue attempts: the limit counts attempts in flight of any age."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.lifecycle.attempts = NeverOverdue(
            self.state, self.turn, self.lifecycle.close, self.lifecycle.reject_or_fail
        )


class NeverOverdue(AttemptLifecycle):
    """An attempt lifecycle in which no attempt ever becomes overdue."""

    def check_overdue(self, request: Request) -> None:
        """Do nothing: attempts of the request remain counted regardless of their age."""


RULES = {
    "plumpick": Controller,
    "before": WithoutOverdueCheck,
    "fixed cap": FixedLimit,
    "AIMD": AimdLimit,
    "gradient": GradientLimit,
    "ejection": OutlierEjection,
}
