"""Simulates a tier of any size with a few real policy controllers ("modules"), by folding it.

The gateways form a ring, a customer's set consists of neighbours, and all parts of the ring are alike.
Therefore `module_count` modules (numbers 0 to module_count - 1, configured with the size of the whole tier)
represent the ring rotated by any multiple of `module_count`: a message to a higher number is delivered to the
module with the same remainder, and its sender's number is rotated back by the same offset. So real modules
encode, send, decode and answer every quota message and heartbeat, and each gateway receives its neighbours'
messages. There are no sockets; time is simulated, and random draws come from a seed.
`module_count` must divide the tier's size and must not be smaller than a set."""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from plumpick.policy.actions import CancelAttempt, SendPeerMessage, SetTimer, StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    PeerMessageReceived,
    RequestReceived,
    TimerFired,
)
from plumpick.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

CLASSES = (
    RequestClass("check", 750, 2000, 3, Idempotency.IDEMPOTENT),
    RequestClass(
        "checkout",
        2000,
        7500,
        3,
        Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_ms=15_000,
    ),
    RequestClass("debit", 2000, 7500, 2, Idempotency.NON_IDEMPOTENT),
)
ANSWER_MS, NETWORK_DELAY_MS = 20.0, 1.0  # Latency of a worker; delay of a message
QUOTA_FACTOR = 2.0  # Ratio of a customer's quota to its demand, so that no request is rejected
SETTLE_S = 4.0  # Simulated time that passes before the measurement begins


def settings(
    gateways: int,
    classes: tuple[RequestClass, ...] = CLASSES,
    plans: tuple[Plan, ...] = (Plan("usual", 8.0, 16.0),),
) -> Settings:
    """Return the settings of gateway 0 of a tier."""
    return Settings(
        gateway_count=gateways,
        gateway_number=0,
        zone="a",
        classes=classes,
        plans=plans,
        slow_start_ms=17_000.0,
        slow_start_initial_ratio=0.25,
        overload_multiple=2.5,
        overload_window_ms=1000.0,
        max_attempts=5,
        tick_ms=1.0,
        can_message_peers=True,
        can_cancel_attempts=True,
        can_hedge=True,
        peer_inbox_per_s=60.0,
    )


def servers(count: int) -> tuple[Endpoint, ...]:
    """Return `count` ready workers at full capacity, in five zones."""
    return tuple(Endpoint(f"worker-{n}", "abcde"[n % 5], n % 20, EndpointState.READY) for n in range(count))


@dataclass(frozen=True, slots=True)
class Load:
    """The tier and the load of a simulation."""

    gateways: int = 550
    workers: int = 1000
    tenants: int = 40_000
    rate: float = 273.0  # Requests per second at each gateway
    spread: int = 3  # Number of gateways in a customer's set
    module_count: int = 5
    seconds: float = 10.0
    seed: int = 1


class Fold:
    """One simulation of a folded tier; raises ValueError if the module count does not fit tier and set."""

    def __init__(self, load: Load) -> None:
        if load.gateways % load.module_count or load.module_count < load.spread:
            raise ValueError(
                f"module_count: must divide {load.gateways} and be at least {load.spread}, "
                f"got {load.module_count}"
            )
        self.load, self.rng = load, random.Random(load.seed)
        self.customers = max(1, round(load.tenants * load.module_count / load.gateways))
        requests_per_customer_s = (
            load.rate * load.module_count / self.customers
        )  # Requests per second of each customer
        own_settings = settings(
            load.gateways,
            plans=(
                Plan(
                    "usual",
                    QUOTA_FACTOR * requests_per_customer_s,
                    4 * QUOTA_FACTOR * requests_per_customer_s + 4,
                ),
            ),
        )
        self.modules = [
            Controller(replace(own_settings, gateway_number=n), load.seed + n)
            for n in range(load.module_count)
        ]
        self.queue: list[tuple[float, int, int, Any]] = []
        self.serial = 0
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.cpu_ns: Counter[str] = Counter()  # CPU time in ns, by purpose of the call
        self.counts: Counter[str] = Counter()
        self.is_measuring = False

    def schedule(self, at_ms: float, index: int, event: Any) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (at_ms, self.serial, index, event))

    def play(self) -> dict[str, float]:
        """Play the simulation; return the figures per gateway and second, with CPU time in us."""
        load = self.load
        endpoints = EndpointsUpdated(servers(load.workers))
        for index in range(load.module_count):
            self.schedule(1000.0, index, endpoints)
            self.schedule(1000.0 + self.rng.expovariate(load.rate) * 1000, index, None)
        begin, end = 1000.0 + SETTLE_S * 1000, 1000.0 + (SETTLE_S + load.seconds) * 1000
        while self.queue[0][0] < end:
            now, _, index, event = heapq.heappop(self.queue)
            self.is_measuring = now >= begin
            if event is None:
                self.schedule(now + self.rng.expovariate(load.rate) * 1000, index, None)
                event = self.request_event(now, index)
            self.handle(now, index, event)
        gateway_seconds = load.module_count * load.seconds
        figures = {name: count / gateway_seconds for name, count in self.counts.items()}
        return {**figures, **{f"us {name}": ns / 1000 / gateway_seconds for name, ns in self.cpu_ns.items()}}

    def request_event(self, now: float, index: int) -> RequestReceived:
        load = self.load
        firm = self.rng.randrange(self.customers)
        first = firm % load.module_count
        # Member of the customer's set that this module represents; draw again if there is none.
        member = (index - first) % load.module_count
        while member >= load.spread:
            firm = self.rng.randrange(self.customers)
            first = firm % load.module_count
            member = (index - first) % load.module_count
        ring_offset = first + member - index  # Offset by which the ring is rotated back
        kind = CLASSES[self.serial % 3]
        return RequestReceived(
            self.serial,
            f"firm-{firm}",
            kind.name,
            "usual",
            now + kind.deadline_ms,
            1.0,
            (first - ring_offset) % load.gateways,
            load.spread,
        )

    def handle(self, now: float, index: int, event: Any) -> None:
        load, module = self.load, self.modules[index]
        begin = time.process_time_ns()
        actions = module.handle(now, [event])
        cpu_ns = time.process_time_ns() - begin
        if module.faults:
            raise module.faults[0]
        if self.is_measuring:
            purpose = {"PeerMessageReceived": "received", "TimerFired": "timer"}.get(
                type(event).__name__, "request"
            )
            self.cpu_ns[purpose] += cpu_ns
            self.counts[purpose] += 1
            self.counts["arrivals"] += isinstance(event, RequestReceived)
        for action in actions:
            if isinstance(action, StartAttempt):
                number = self.attempts[index, action.id]
                self.attempts[index, action.id] += 1
                self.schedule(
                    now + ANSWER_MS,
                    index,
                    AttemptCompleted(action.id, number, action.endpoint, ANSWER_MS, AttemptResult.OK, True),
                )
                self.counts["attempts"] += self.is_measuring
            elif isinstance(action, SetTimer):
                self.schedule(now + max(1.0, action.delay_ms), index, TimerFired(action.name))
            elif isinstance(action, SendPeerMessage):
                other = action.receiver % load.module_count
                ring_offset = action.receiver - other
                self.schedule(
                    now + NETWORK_DELAY_MS,
                    other,
                    PeerMessageReceived((index - ring_offset) % load.gateways, action.data),
                )
                if self.is_measuring:
                    self.counts["messages sent"] += 1
                    self.counts["bytes sent"] += len(action.data)
            elif isinstance(action, CancelAttempt):
                self.schedule(
                    now,
                    index,
                    AttemptCompleted(action.id, action.attempt, "", 0.0, AttemptResult.CANCELLED, True),
                )
            elif type(action).__name__ in ("RejectRequest", "FailRequest"):
                self.counts["refused"] += self.is_measuring
