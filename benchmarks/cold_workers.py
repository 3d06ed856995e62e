"""What all gatekeepers together send to workers that start cold, against what the operators' term allows.

    python -m benchmarks.cold_workers [--seeds N]

Modules alone in modelled time: a tier of one size, each gateway told of starts at a moment of its own, some
just restarted; a share of the workers is replaced within some seconds. For each send to a cold worker, all
sends of the window that the settings name, by all gateways, are held against N + 2 x root of N + 2, where N
is what the settings allow it at that moment. Prints the worst part of that, for each size and load."""

from __future__ import annotations

import argparse
import heapq
import math
import random
from collections import defaultdict, deque
from typing import Any

from plumpick.policy.actions import SetTimer, StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    RequestReceived,
    TimerFired,
)
from plumpick.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

BEGIN_MS, SETTLE_MS, REPLACED_WITHIN_MS, AFTER_MS = 100_000.0, 3000.0, 7000.0, 4000.0
NOTICE_MS = (1200.0, 4800.0)  # after which a gateway hears of a start
CORES, WORK_MS, LONGEST_LINE_MS = 2, 170.0, 1500.0
WARM_UP_MS, COLD_FROM, MULTIPLE, WINDOW_MS = 13_000.0, 0.25, 2.5, 1000.0
KINDS = (
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


def allowed(share: float) -> float:
    """Requests of mean work that a worker of that warmth may get in the window, by chance included."""
    most = MULTIPLE * share * CORES / WORK_MS * WINDOW_MS
    return most + 2 * math.sqrt(most) + 2


class Tier:
    """Gateways and workers in modelled time."""

    def __init__(self, gateways: int, workers: int, seed: int, load: float, replaced: float) -> None:
        self.rng = rng = random.Random(seed)
        self.queue: list[tuple[float, int, int, int, Any]] = []
        self.serial, self.now, self.zones = 0, BEGIN_MS, ("a", "b", "c")
        self.lives = [0] * gateways
        self.old = {
            f"s{n}": Endpoint(f"s{n}", self.zones[n % 3], 0, EndpointState.READY) for n in range(workers)
        }
        self.gateways = [self.gateway(n) for n in range(gateways)]
        self.weights = [rng.lognormvariate(0, 0.8) for _ in self.gateways]  # unevenly spread
        self.per_ms = load * CORES / WORK_MS * workers
        self.end_ms = BEGIN_MS + SETTLE_MS + REPLACED_WITHIN_MS + AFTER_MS
        self.busy: dict[str, float] = defaultdict(float)
        self.born: dict[str, float] = {}
        self.gone: dict[str, float] = {}
        self.sent: dict[str, deque[float]] = defaultdict(deque)
        self.worst, self.looked = 0.0, 0
        count = max(1, int(workers * replaced))
        for n in range(count):
            at, zone = BEGIN_MS + SETTLE_MS + REPLACED_WITHIN_MS * n / count, self.zones[n % 3]
            self.gone[f"s{n}"] = self.born[f"n{n}"] = at
            news = EndpointsUpdated(
                (
                    Endpoint(f"s{n}", zone, 0, EndpointState.GONE),
                    Endpoint(f"n{n}", zone, 0, EndpointState.READY, 1.0, at),
                ),
                is_snapshot=False,
            )
            for number in range(gateways):
                self.later(at + rng.uniform(*NOTICE_MS), number, news, every_life=True)
        for number in range(gateways):
            if rng.random() < 0.2:  # just restarted, with what it was told before
                self.later(rng.uniform(BEGIN_MS + SETTLE_MS, self.end_ms), number, "restart")

    def gateway(self, number: int) -> Controller:
        own = Settings(
            gateway_count=len(self.lives),
            gateway_number=number,
            zone=self.zones[number % 3],
            classes=KINDS,
            plans=(Plan("plan"),),
            slow_start_ms=WARM_UP_MS,
            slow_start_initial_ratio=COLD_FROM,
            overload_multiple=MULTIPLE,
            overload_window_ms=WINDOW_MS,
            max_attempts=5,
            can_hedge=True,
            load_report_fields=("util", "latency_ms"),
        )
        control = Controller(own, self.rng.randrange(1 << 30))
        control.handle(self.now, [EndpointsUpdated(tuple(self.known(number)))])
        return control

    def known(self, number: int) -> list[Endpoint]:
        """What a gateway that starts now knows: all that is listed."""
        born = getattr(self, "born", {})
        return [
            one
            for name, one in self.old.items()
            if name not in getattr(self, "gone", {}) or self.now < self.gone[name]
        ] + [
            Endpoint(name, self.zones[int(name[1:]) % 3], 0, EndpointState.READY, 1.0, at)
            for name, at in born.items()
            if at <= self.now
        ]

    def later(self, at: float, number: int, event: Any, every_life: bool = False) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, number, -1 if every_life else self.lives[number], event))

    def play(self) -> float:
        """The worst part of what is allowed."""
        rng, asked, next_ms = self.rng, 0, BEGIN_MS
        while self.now < self.end_ms:
            if self.queue and self.queue[0][0] <= next_ms:
                self.now, _, number, life, event = heapq.heappop(self.queue)
                if life not in (-1, self.lives[number]):
                    continue
                if event == "restart":
                    self.lives[number] += 1
                    self.gateways[number] = self.gateway(number)
                    continue
            else:
                self.now, asked = next_ms, asked + 1
                next_ms += rng.expovariate(self.per_ms)
                kind = rng.choice(KINDS)
                number = rng.choices(range(len(self.gateways)), self.weights)[0]
                event = RequestReceived(
                    asked, f"c{asked % 500}", kind.name, "plan", self.now + kind.deadline_ms, 1, 0, 3
                )
            for action in self.gateways[number].handle(self.now, [event]):
                if isinstance(action, StartAttempt):
                    self.carry(number, action)
                elif isinstance(action, SetTimer):
                    self.later(self.now + max(action.delay_ms, 0.01), number, TimerFired(action.name))
        return self.worst

    def carry(self, number: int, send: StartAttempt) -> None:
        """An attempt comes to a worker."""
        now, name = self.now, send.endpoint
        request = self.gateways[number].requests.get(send.id)
        attempt = request.attempt_count - 1 if request is not None else 0
        born = self.born.get(name)
        share = 1.0 if born is None else min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - born) / WARM_UP_MS)
        if share < 1:
            sent = self.sent[name]
            sent.append(now)
            while sent[0] <= now - WINDOW_MS:
                sent.popleft()
            self.worst, self.looked = max(self.worst, len(sent) / allowed(share)), self.looked + 1
        if self.gone.get(name, math.inf) <= now:
            result, took = AttemptResult.CONNECT_FAILED, 50.0
        else:
            start = max(now, self.busy[name])
            if start - now > LONGEST_LINE_MS:
                result, took = AttemptResult.REJECTED_BY_WORKER, 2.0
            else:
                self.busy[name] = start + self.rng.expovariate(1 / WORK_MS) / CORES / share
                result, took = AttemptResult.OK, self.busy[name] - now + 60.0
        self.later(
            now + took,
            number,
            AttemptCompleted(
                send.id, attempt, name, took, result, result is AttemptResult.OK, load_report=(0.5, 100.0)
            ),
        )


def main() -> None:
    """Print the table."""
    flags = argparse.ArgumentParser(description=__doc__)
    flags.add_argument("--seeds", type=int, default=3)
    seeds = flags.parse_args().seeds
    for gateways, workers in ((3, 10), (20, 60), (30, 60), (200, 200)):
        for load, replaced in ((0.45, 0.6), (0.75, 0.8)):
            tiers = [Tier(gateways, workers, seed, load, replaced) for seed in range(seeds)]
            worst = [tier.play() for tier in tiers]
            print(
                f"{gateways} gateways, {workers} workers, load {load}, {replaced:.0%} replaced: worst part "
                f"{max(worst):.2f} of what is allowed, over {sum(tier.looked for tier in tiers)} sends"
            )


if __name__ == "__main__":
    main()
