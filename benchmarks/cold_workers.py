"""Measures whether all gateways together overload workers in slow start, compared with the configured limit.

    python -m benchmarks.cold_workers [--seeds N]

Runs only the policy controllers, in simulated time and without sockets. A part of the workers is replaced
within seven seconds; each gateway is notified of each start after a random delay, and some gateways restart
meanwhile. At each attempt on a worker in slow start, the number of attempts that all gateways sent to it
within the overload window is divided by N + 2 x sqrt(N) + 2, where N is the number that the settings allow at
that moment. Prints the highest quotient for each tier size and load."""

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
NOTIFICATION_DELAY_MS = (1200.0, 4800.0)  # Range of the delay until a gateway is notified of a start
CORES, WORK_MS, MAX_QUEUE_MS = 2, 170.0, 1500.0
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
    """Return the maximum number of mean-sized requests that a worker may get within the overload window.

    `share` is the worker's current capacity as a ratio of its full capacity. The limit includes an allowance
    of two standard deviations for random arrivals.
    """
    most = MULTIPLE * share * CORES / WORK_MS * WINDOW_MS
    return most + 2 * math.sqrt(most) + 2


class Tier:
    """The gateways and workers of a tier in simulated time."""

    def __init__(self, gateways: int, workers: int, seed: int, load: float, replaced_ratio: float) -> None:
        self.rng = rng = random.Random(seed)
        self.queue: list[tuple[float, int, int, int, Any]] = []
        self.serial, self.now, self.zones = 0, BEGIN_MS, ("a", "b", "c")
        self.incarnations = [0] * gateways
        self.initial_workers = {
            f"s{n}": Endpoint(f"s{n}", self.zones[n % 3], 0, EndpointState.READY) for n in range(workers)
        }
        self.gateways = [self.gateway(n) for n in range(gateways)]
        self.weights = [rng.lognormvariate(0, 0.8) for _ in self.gateways]  # Relative traffic of each gateway
        self.per_ms = load * CORES / WORK_MS * workers
        self.end_ms = BEGIN_MS + SETTLE_MS + REPLACED_WITHIN_MS + AFTER_MS
        self.busy: dict[str, float] = defaultdict(float)
        self.started_ms: dict[str, float] = {}
        self.stopped_ms: dict[str, float] = {}
        self.sent: dict[str, deque[float]] = defaultdict(deque)
        self.worst, self.checked_attempts = 0.0, 0
        count = max(1, int(workers * replaced_ratio))
        for n in range(count):
            at, zone = BEGIN_MS + SETTLE_MS + REPLACED_WITHIN_MS * n / count, self.zones[n % 3]
            self.stopped_ms[f"s{n}"] = self.started_ms[f"n{n}"] = at
            update = EndpointsUpdated(
                (
                    Endpoint(f"s{n}", zone, 0, EndpointState.GONE),
                    Endpoint(f"n{n}", zone, 0, EndpointState.READY, 1.0, at),
                ),
                is_snapshot=False,
            )
            for number in range(gateways):
                self.schedule(at + rng.uniform(*NOTIFICATION_DELAY_MS), number, update, any_incarnation=True)
        for number in range(gateways):
            if rng.random() < 0.2:  # A restarted gateway knows only the endpoint list
                self.schedule(rng.uniform(BEGIN_MS + SETTLE_MS, self.end_ms), number, "restart")

    def gateway(self, number: int) -> Controller:
        settings = Settings(
            gateway_count=len(self.incarnations),
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
        control = Controller(settings, self.rng.randrange(1 << 30))
        control.handle(self.now, [EndpointsUpdated(tuple(self.listed_endpoints(number)))])
        return control

    def listed_endpoints(self, number: int) -> list[Endpoint]:
        """Return the endpoint list that a gateway gets when it starts at the current time."""
        started_ms = getattr(self, "started_ms", {})
        return [
            one
            for name, one in self.initial_workers.items()
            if name not in getattr(self, "stopped_ms", {}) or self.now < self.stopped_ms[name]
        ] + [
            Endpoint(name, self.zones[int(name[1:]) % 3], 0, EndpointState.READY, 1.0, at)
            for name, at in started_ms.items()
            if at <= self.now
        ]

    def schedule(self, at: float, number: int, event: Any, any_incarnation: bool = False) -> None:
        self.serial += 1
        heapq.heappush(
            self.queue, (at, self.serial, number, -1 if any_incarnation else self.incarnations[number], event)
        )

    def play(self) -> float:
        """Play until the end; return the highest ratio of attempts sent to attempts allowed for a worker."""
        rng, request_count, next_ms = self.rng, 0, BEGIN_MS
        while self.now < self.end_ms:
            if self.queue and self.queue[0][0] <= next_ms:
                self.now, _, number, incarnation, event = heapq.heappop(self.queue)
                if incarnation not in (-1, self.incarnations[number]):
                    continue
                if event == "restart":
                    self.incarnations[number] += 1
                    self.gateways[number] = self.gateway(number)
                    continue
            else:
                self.now, request_count = next_ms, request_count + 1
                next_ms += rng.expovariate(self.per_ms)
                kind = rng.choice(KINDS)
                number = rng.choices(range(len(self.gateways)), self.weights)[0]
                event = RequestReceived(
                    request_count,
                    f"c{request_count % 500}",
                    kind.name,
                    "plan",
                    self.now + kind.deadline_ms,
                    1,
                    0,
                    3,
                )
            for action in self.gateways[number].handle(self.now, [event]):
                if isinstance(action, StartAttempt):
                    self.execute(number, action)
                elif isinstance(action, SetTimer):
                    self.schedule(self.now + max(action.delay_ms, 0.01), number, TimerFired(action.name))
        return self.worst

    def execute(self, number: int, send: StartAttempt) -> None:
        """Execute an attempt of gateway `number` on its worker: update the ratio and schedule the result."""
        now, name = self.now, send.endpoint
        request = self.gateways[number].requests.get(send.id)
        attempt = request.attempt_count - 1 if request is not None else 0
        started_ms = self.started_ms.get(name)
        share = (
            1.0
            if started_ms is None
            else min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - started_ms) / WARM_UP_MS)
        )
        if share < 1:
            sent = self.sent[name]
            sent.append(now)
            while sent[0] <= now - WINDOW_MS:
                sent.popleft()
            self.worst, self.checked_attempts = (
                max(self.worst, len(sent) / allowed(share)),
                self.checked_attempts + 1,
            )
        if self.stopped_ms.get(name, math.inf) <= now:
            result, duration_ms = AttemptResult.CONNECT_FAILED, 50.0
        else:
            start = max(now, self.busy[name])
            if start - now > MAX_QUEUE_MS:
                result, duration_ms = AttemptResult.REJECTED_BY_WORKER, 2.0
            else:
                self.busy[name] = start + self.rng.expovariate(1 / WORK_MS) / CORES / share
                result, duration_ms = AttemptResult.OK, self.busy[name] - now + 60.0
        self.schedule(
            now + duration_ms,
            number,
            AttemptCompleted(
                send.id,
                attempt,
                name,
                duration_ms,
                result,
                result is AttemptResult.OK,
                load_report=(0.5, 100.0),
            ),
        )


def main() -> None:
    """Print the highest ratio of attempts sent to attempts allowed, for each tier size and load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = parser.parse_args().seeds
    for gateways, workers in ((3, 10), (20, 60), (30, 60), (200, 200)):
        for load, replaced_ratio in ((0.45, 0.6), (0.75, 0.8)):
            tiers = [Tier(gateways, workers, seed, load, replaced_ratio) for seed in range(seeds)]
            worst = [tier.play() for tier in tiers]
            print(
                f"{gateways} gateways, {workers} workers, load {load}, {replaced_ratio:.0%} replaced: "
                f"worst part {max(worst):.2f} of what is allowed, "
                f"over {sum(tier.checked_attempts for tier in tiers)} sends"
            )


if __name__ == "__main__":
    main()
