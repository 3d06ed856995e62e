"""A whole tier, folded: a few real decision modules stand in for all of a tier of any size.

Gatekeepers lie on a ring, a firm's set is a run of neighbours, all parts of the ring are alike. So `kept`
modules (numbers 0 to kept - 1, each told the size of the whole tier) stand for the ring turned by any
multiple of `kept`: what one tells a number beyond them goes to the module in the same place of the fold, from
a number turned back by as much. Each word of quotas and life sign is so sent, coded, taken in and answered by
real modules, and a gatekeeper takes in what its neighbours tell it. No sockets, modelled time, chance from a
seed.
`kept` has to divide the tier and to be no smaller than a set."""

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
ANSWER_MS, WAY_MS = 20.0, 1.0  # a worker's answer; a word's way
QUOTA_TIMES = 2.0  # a firm's quota, in times of what it asks for: nobody is refused
SETTLE_S = 4.0  # of modelled time before figures are taken


def settings(
    gateways: int,
    classes: tuple[RequestClass, ...] = CLASSES,
    plans: tuple[Plan, ...] = (Plan("usual", 8.0, 16.0),),
) -> Settings:
    """Of gatekeeper 0 of a tier."""
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
    """Warm ones, in five zones."""
    return tuple(Endpoint(f"worker-{n}", "abcde"[n % 5], n % 20, EndpointState.READY) for n in range(count))


@dataclass(frozen=True, slots=True)
class Load:
    """What a play is given."""

    gateways: int = 550
    workers: int = 1000
    tenants: int = 40_000
    rate: float = 273.0  # requests a second at each gatekeeper
    spread: int = 3  # gatekeepers of a firm's set
    kept: int = 5
    seconds: float = 10.0
    seed: int = 1


class Fold:
    """One play."""

    def __init__(self, load: Load) -> None:
        if load.gateways % load.kept or load.kept < load.spread:
            raise ValueError(f"kept: {load.kept} does not divide {load.gateways}, or is under {load.spread}")
        self.load, self.rng = load, random.Random(load.seed)
        self.firms = max(1, round(load.tenants * load.kept / load.gateways))
        asks = load.rate * load.kept / self.firms  # of one firm a second
        own = settings(load.gateways, plans=(Plan("usual", QUOTA_TIMES * asks, 4 * QUOTA_TIMES * asks + 4),))
        self.modules = [Controller(replace(own, gateway_number=n), load.seed + n) for n in range(load.kept)]
        self.queue: list[tuple[float, int, int, Any]] = []
        self.serial = 0
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.spent: Counter[str] = Counter()  # CPU ns by what the call was for
        self.counts: Counter[str] = Counter()
        self.on = False

    def put(self, at_ms: float, place: int, event: Any) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (at_ms, self.serial, place, event))

    def play(self) -> dict[str, float]:
        """Figures of one gatekeeper a second; CPU in us."""
        load = self.load
        fleet = EndpointsUpdated(servers(load.workers))
        for place in range(load.kept):
            self.put(1000.0, place, fleet)
            self.put(1000.0 + self.rng.expovariate(load.rate) * 1000, place, None)
        begin, end = 1000.0 + SETTLE_S * 1000, 1000.0 + (SETTLE_S + load.seconds) * 1000
        while self.queue[0][0] < end:
            now, _, place, event = heapq.heappop(self.queue)
            self.on = now >= begin
            if event is None:
                self.put(now + self.rng.expovariate(load.rate) * 1000, place, None)
                event = self.arrival(now, place)
            self.turn(now, place, event)
        per = load.kept * load.seconds
        figures = {name: count / per for name, count in self.counts.items()}
        return {**figures, **{f"us {name}": ns / 1000 / per for name, ns in self.spent.items()}}

    def arrival(self, now: float, place: int) -> RequestReceived:
        load = self.load
        firm = self.rng.randrange(self.firms)
        first = firm % load.kept
        # The member of the firm's set that stands in this place of the fold, if one does.
        member = (place - first) % load.kept
        while member >= load.spread:
            firm = self.rng.randrange(self.firms)
            first = firm % load.kept
            member = (place - first) % load.kept
        turned = first + member - place  # by which the ring is turned back for it
        kind = CLASSES[self.serial % 3]
        return RequestReceived(
            self.serial,
            f"firm-{firm}",
            kind.name,
            "usual",
            now + kind.deadline_ms,
            1.0,
            (first - turned) % load.gateways,
            load.spread,
        )

    def turn(self, now: float, place: int, event: Any) -> None:
        load, module = self.load, self.modules[place]
        begin = time.process_time_ns()
        actions = module.handle(now, [event])
        spent = time.process_time_ns() - begin
        if module.faults:
            raise module.faults[0]
        if self.on:
            what = {"PeerMessageReceived": "heard", "TimerFired": "woken"}.get(
                type(event).__name__, "request"
            )
            self.spent[what] += spent
            self.counts[what] += 1
            self.counts["arrivals"] += isinstance(event, RequestReceived)
        for action in actions:
            if isinstance(action, StartAttempt):
                number = self.attempts[place, action.id]
                self.attempts[place, action.id] += 1
                self.put(
                    now + ANSWER_MS,
                    place,
                    AttemptCompleted(action.id, number, action.endpoint, ANSWER_MS, AttemptResult.OK, True),
                )
                self.counts["sends"] += self.on
            elif isinstance(action, SetTimer):
                self.put(now + max(1.0, action.delay_ms), place, TimerFired(action.name))
            elif isinstance(action, SendPeerMessage):
                other = action.receiver % load.kept
                turned = action.receiver - other
                self.put(
                    now + WAY_MS, other, PeerMessageReceived((place - turned) % load.gateways, action.data)
                )
                if self.on:
                    self.counts["told"] += 1
                    self.counts["bytes told"] += len(action.data)
            elif isinstance(action, CancelAttempt):
                self.put(
                    now,
                    place,
                    AttemptCompleted(action.id, action.attempt, "", 0.0, AttemptResult.CANCELLED, True),
                )
            elif type(action).__name__ in ("RejectRequest", "FailRequest"):
                self.counts["refused"] += self.on
