"""Test settings, a simulation of random traffic, and a checker of the rules that gateways must keep in it."""

import heapq
import random

from plumpick.policy.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
)
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from plumpick.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

TICK_MS, DRAIN_GRACE_MS, DEADLINE_SLACK_MS = 4.0, 250.0, 16.0


def settings(number=0, gateways=3, **more):
    """Settings with classes of every idempotency kind and deduplication scope, and every kind of plan."""
    values = dict(
        gateway_count=gateways,
        gateway_number=number,
        zone="z0",
        tick_ms=TICK_MS,
        classes=(
            RequestClass("look", 600, 1500, 2, Idempotency.IDEMPOTENT),
            RequestClass(
                "book",
                900,
                2500,
                4,
                Idempotency.KEYED,
                deduplication_scope=DeduplicationScope.GROUP,
                deduplication_window_ms=1200,
            ),
            RequestClass(
                "hold",
                900,
                2500,
                4,
                Idempotency.KEYED,
                deduplication_scope=DeduplicationScope.ZONE,
                deduplication_window_ms=1200,
            ),
            RequestClass(
                "seat",
                900,
                2500,
                4,
                Idempotency.KEYED,
                deduplication_scope=DeduplicationScope.ALL,
                deduplication_window_ms=1200,
            ),
            RequestClass("debit", 900, 2500, 3, Idempotency.NON_IDEMPOTENT),
            RequestClass("feed", 900, 2500, 1, Idempotency.IDEMPOTENT, streamed=True),
        ),
        plans=(
            Plan("rated", 4, 12, 0, 1.0, 0.3, 0.1),
            Plan(
                "capped",
                8,
                16,
                0,
                1.5,
                0.5,
                0.1,
                hard_limit_per_s=16,
                hard_limit_burst=32,
                hard_limit_slack=4,
            ),
            Plan("open", max_in_flight=4, priority_factor=1.2, over_quota_cost=1.0),
        ),
        slow_start_ms=8000,
        slow_start_initial_ratio=0.25,
        overload_multiple=3,
        overload_window_ms=1500,
        max_attempts=4,
        max_units=4,
        can_message_peers=True,
        can_hedge=True,
        settles_afterwards=True,
        max_retry_after_ms=1000,
        peer_inbox_per_s=60,
        load_report_source="answers",
        load_report_fields=("util", "inflight"),
    )
    values.update(more)
    return Settings(**values)


class RuleChecker:
    """Records attempts and answers independently of the controllers; an assertion fails at the first broken
    rule.
    """

    def __init__(self, config):
        self.config = config
        self.kinds = {kind.name: kind for kind in config.classes}
        self.plans = {plan.name: plan for plan in config.plans}
        self.open, self.sent, self.not_executed, self.done = {}, {}, {}, set()
        self.hard_limit_levels = {}

    def on_request(self, gateway, request):
        self.open[request.id] = (gateway, request)
        self.sent[request.id], self.not_executed[request.id] = [], set()

    def on_gateway_killed(self, gateway):
        for number in [n for n, (owner, _) in self.open.items() if owner == gateway]:
            del self.open[number]
            self.done.add(number)

    def unproven_attempts(self, number):
        return [entry for n, entry in enumerate(self.sent[number]) if n not in self.not_executed[number]]

    def send(self, now, number, endpoint, drained_ms):
        assert number in self.open, f"rule 1: attempt of request {number} after its end"
        _, request = self.open[number]
        kind, plan = self.kinds[request.class_name], self.plans[request.plan_name]
        assert drained_ms is None or now <= drained_ms + DRAIN_GRACE_MS, (
            "rule 3: attempt at a draining endpoint"
        )
        unproven = self.unproven_attempts(number)
        if kind.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not unproven, "rule 2: non-idempotent request sent twice"
        if kind.idempotency is Idempotency.KEYED and unproven:
            first_ms, first = unproven[0]
            assert now - first_ms <= kind.deduplication_window_ms, (
                "rule 2: retry after the deduplication window"
            )
            if kind.deduplication_scope is DeduplicationScope.GROUP:
                assert first.deduplication_group == endpoint.deduplication_group, (
                    "rule 2: retry in another group"
                )
            if kind.deduplication_scope is DeduplicationScope.ZONE:
                assert first.zone == endpoint.zone, "rule 2: retry in another zone"
        if not self.sent[number] and plan.hard_limit_per_s:
            level, at = self.hard_limit_levels.get(request.customer, (plan.hard_limit_burst, now))
            level = (
                min(plan.hard_limit_burst, level + (now - at) / 1000 * plan.hard_limit_per_s) - request.units
            )
            message = f"rule 5: hard limit of customer {request.customer} exceeded, level {level}"
            assert level >= -plan.hard_limit_slack - 1e-6, message
            self.hard_limit_levels[request.customer] = (level, now)
        self.sent[number].append((now, endpoint))

    def answer(self, now, number, is_rejected):
        _, request = self.open.pop(number)
        kind = self.kinds[request.class_name]
        assert now <= request.deadline_ms + DEADLINE_SLACK_MS, "rule 1: answer after the deadline"
        if is_rejected and self.unproven_attempts(number):
            is_deduplicated_everywhere = (
                kind.idempotency is Idempotency.KEYED and kind.deduplication_scope is DeduplicationScope.ALL
            )
            assert kind.idempotency is Idempotency.IDEMPOTENT or is_deduplicated_everywhere, (
                "rule 2: request rejected although it may have been executed"
            )
        self.done.add(number)


class TrafficSimulation:
    """A few gateways, endpoints with random results, and a network with lost, late and repeated messages."""

    def __init__(self, seed, gateways=3, kill=0.0005, loss=0.3, rate=120, settings_of=settings):
        self.rng = random.Random(seed)
        self.settings_of, self.config = settings_of, settings_of(gateways=gateways)
        self.checker = RuleChecker(self.config)
        self.loss, self.kill, self.rate = loss, kill, rate
        self.now, self.serial, self.queue, self.log = 1000.0, 0, [], []
        self.inbox = {n: [] for n in range(gateways)}
        self.fleet = [Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointState.READY) for n in range(8)]
        self.drained_since_ms = {n: {} for n in range(gateways)}
        self.incarnations = {n: 0 for n in range(gateways)}
        self.gateways, self.attempts, self.streaming = {}, {}, set()
        self.cold_sent = {}
        for n in range(gateways):
            self.start(n)

    def start(self, n):
        self.incarnations[n] += 1
        config = self.settings_of(number=n, gateways=len(self.incarnations))
        self.gateways[n] = Controller(config, self.rng.randrange(1 << 30))
        self.inbox[n] = [EndpointsUpdated(tuple(self.fleet))]
        self.drained_since_ms[n] = {s.id: self.now for s in self.fleet if s.state is not EndpointState.READY}

    def schedule(self, delay, gateway, event):
        self.serial += 1
        heapq.heappush(
            self.queue, (self.now + delay, self.serial, gateway, self.incarnations[gateway], event)
        )

    def change_random_endpoint(self):
        n = self.rng.randrange(len(self.fleet))
        old = self.fleet[n]
        new_state = {
            EndpointState.READY: EndpointState.DRAINING,
            EndpointState.DRAINING: EndpointState.GONE,
            EndpointState.GONE: EndpointState.READY,
        }[old.state]
        started = self.now if new_state is EndpointState.READY else old.started_ms
        self.fleet[n] = Endpoint(old.id, old.zone, old.deduplication_group, new_state, 1.0, started)
        for gateway in self.gateways:
            self.inbox[gateway].append(EndpointsUpdated((self.fleet[n],), is_snapshot=False))
            if new_state is EndpointState.READY:
                self.drained_since_ms[gateway].pop(old.id, None)
            else:
                self.drained_since_ms[gateway].setdefault(old.id, self.now)

    def receive_request(self):
        gateway = self.rng.randrange(len(self.gateways))
        self.serial += 1
        kind = self.rng.choice(self.config.classes)
        plan = self.rng.choice(self.config.plans)
        spread = self.rng.choice((2, len(self.gateways)))
        customer = f"{plan.name}-{self.rng.randrange(4 if plan.max_in_flight else 1)}-{spread}"
        first = gateway if spread == len(self.gateways) else 0
        if spread == 2:
            gateway = self.rng.randrange(2)
        due = self.now + kind.deadline_ms * self.rng.uniform(0.05, 1)
        request = RequestReceived(
            self.serial,
            customer,
            kind.name,
            plan.name,
            due,
            self.rng.choice((1, 1, 2, 4)),
            0 if spread == 2 else first * 0,
            spread,
        )
        self.checker.on_request(gateway, request)
        self.inbox[gateway].append(request)

    def execute(self, n, action):
        if isinstance(action, StartAttempt):
            endpoint = next(s for s in self.fleet if s.id == action.endpoint)
            self.checker.send(self.now, action.id, endpoint, self.drained_since_ms[n].get(endpoint.id))
            attempt = len(self.checker.sent[action.id]) - 1
            result = self.rng.choices(
                [
                    AttemptResult.OK,
                    AttemptResult.ERROR,
                    AttemptResult.REJECTED_BY_WORKER,
                    AttemptResult.TIMEOUT,
                    AttemptResult.CONNECT_FAILED,
                    AttemptResult.RESET,
                ],
                [70, 8, 8, 6, 4, 4],
            )[0]
            latency_ms = min(self.rng.expovariate(1 / 150), action.timeout_ms)
            latency_ms = action.timeout_ms if result is AttemptResult.TIMEOUT else latency_ms
            self.attempts[action.id, attempt] = (n, endpoint, self.now)
            streamed = self.checker.kinds[self.checker.open[action.id][1].class_name].streamed
            if streamed and result is AttemptResult.OK:
                self.schedule(latency_ms / 2, n, ResponseStarted(action.id, attempt, endpoint.id))
            self.schedule(latency_ms, n, (action.id, attempt, result))
        elif isinstance(action, (RejectRequest, FailRequest)):
            if action.id in self.checker.open:
                assert action.id not in self.streaming, "rule 1: request ended after its response had started"
                self.checker.answer(self.now, action.id, isinstance(action, RejectRequest))
        elif isinstance(action, CancelAttempt):
            self.schedule(0.5, n, (action.id, action.attempt, AttemptResult.CANCELLED))
        elif isinstance(action, SetTimer):
            self.schedule(max(action.delay_ms, 1e-3), n, TimerFired(action.name))
        elif isinstance(action, SendPeerMessage):
            assert len(action.data) <= 256
            deliveries = 0 if self.rng.random() < self.loss else self.rng.choice((1, 1, 1, 2))
            for _ in range(deliveries):
                data = action.data if self.rng.random() > 0.02 else action.data[: self.rng.randrange(20)]
                self.schedule(self.rng.expovariate(1 / 60), action.receiver, PeerMessageReceived(n, data))

    def deliver(self, gateway, event):
        if not isinstance(event, tuple):
            if isinstance(event, ResponseStarted):
                if event.id not in self.checker.open or (event.id, event.attempt) not in self.attempts:
                    return
                self.streaming.add(event.id)
            self.inbox[gateway].append(event)
            return
        number, attempt, result = event
        entry = self.attempts.pop((number, attempt), None)
        if entry is None:
            return
        _, endpoint, sent_ms = entry
        if result.proves_not_executed:
            self.checker.not_executed[number].add(attempt)
        if number in self.checker.open and (result is AttemptResult.OK or number in self.streaming):
            self.streaming.discard(number)
            due = self.checker.open[number][1].deadline_ms
            assert (
                self.now <= due + DEADLINE_SLACK_MS
                or self.checker.kinds[self.checker.open[number][1].class_name].streamed
            ), "rule 1: answer after the deadline"
            self.checker.open.pop(number)
            self.checker.done.add(number)
        final = number not in self.checker.open
        self.inbox[gateway].append(
            AttemptCompleted(
                number,
                attempt,
                endpoint.id,
                self.now - sent_ms,
                result,
                final,
                self.rng.choice((0, 1, 3)),
                0,
                (0.5, 2.0),
            )
        )

    def run(self, ms):
        end = self.now + ms
        while self.now < end or self.checker.open:
            self.now += TICK_MS
            if self.now < end:
                while self.rng.random() < self.rate * TICK_MS / 1000 / (1 + self.rate * TICK_MS / 1000):
                    self.receive_request()
                if self.rng.random() < 0.002:
                    self.change_random_endpoint()
                if self.rng.random() < self.kill:
                    self.kill_gateway(self.rng.randrange(len(self.gateways)))
            while self.queue and self.queue[0][0] <= self.now:
                _, _, gateway, incarnation, event = heapq.heappop(self.queue)
                if isinstance(event, PeerMessageReceived) or incarnation == self.incarnations[gateway]:
                    self.deliver(gateway, event)
            for n, controller in self.gateways.items():
                events, self.inbox[n] = self.inbox[n], []
                if events:
                    actions = controller.handle(self.now, events)
                    self.log.append((n, self.now, actions))
                    for action in actions:
                        self.execute(n, action)
            overdue = [
                n
                for n, (_, request) in self.checker.open.items()
                if request.deadline_ms + DEADLINE_SLACK_MS < self.now and n not in self.streaming
            ]
            assert not overdue, f"rule 1: no answer in time for requests {overdue[:3]}"
            assert self.now < end + 60_000

    def kill_gateway(self, n):
        self.checker.on_gateway_killed(n)
        self.attempts = {key: entry for key, entry in self.attempts.items() if entry[0] != n}
        self.start(n)
