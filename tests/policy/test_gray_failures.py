"""Gray failures: endpoints that lose attempts or answer late, simulated with a controller in virtual time.

The tests with lost attempts fail if the concurrency limit counts every attempt in flight, however old."""

import heapq
import itertools
import math
import random
from statistics import mean

from pytest import approx
from support.controllers import FLEET
from support.traffic import settings

from benchmarks.gray.rules import RULES
from benchmarks.gray.world import Failure, World
from plumpick.policy.actions import CancelAttempt, FailRequest, RejectRequest, SetTimer, StartAttempt
from plumpick.policy.concurrency_limit import (
    INITIAL_PER_ENDPOINT,
    MAX_WRITE_OFF_RATIO,
    MIN_BACKOFF_FACTOR,
    ConcurrencyLimit,
)
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    PeerMessageReceived,
    RequestReceived,
    TimerFired,
)
from plumpick.policy.outlier_detection import EJECTION_FAILURE_RATIO, MAX_EJECTED_RATIO
from plumpick.policy.overdue_attempts import OverdueAttemptEstimator
from plumpick.policy.peer_messages import PeerMessageCodec, outlier_report
from plumpick.policy.request_state import Attempt
from plumpick.policy.retry import MAX_HEDGE_PROBABILITY, MAX_TOKENS, MIN_PRICE_TOKENS, TOKENS_PER_REQUEST
from plumpick.policy.settings import Plan

TICK_MS = 4.0


class GatewaySimulation:
    """Simulates one gateway of four, which owns its customers' quotas, and endpoints that answer by a rule.

    `rule(rng, class_name, endpoint, attempt_number)` returns the answer time in ms, or None for a lost
    attempt; `util`: the CPU use that endpoints report; `disconnect_ms`: time after which clients disconnect.
    """

    def __init__(
        self, rule, *, rate=60.0, names=("look", "book", "debit"), seed=1, disconnect_ms=1400.0, util=0.3
    ):
        plans = (Plan("rated", 1e6, 1e6),)
        self.control = Controller(settings(gateways=4, plans=plans, can_message_peers=False), seed)
        self.rng, self.rule, self.rate = random.Random(seed), rule, rate
        self.names, self.disconnect_ms, self.load = names, disconnect_ms, (util, 0)
        self.queue, self.serial, self.now = [], itertools.count(), 1000.0
        self.open, self.served, self.rejected, self.failed, self.sent = {}, [], [], [], []
        self.in_flight, self.max_in_flight, self.limits = set(), 0, []
        self.class_of, self.received_ms, self.attempts, self.ids = {}, {}, {}, itertools.count(1)
        self.execute(self.control.handle(self.now, [FLEET]))

    def schedule(self, ms, event):
        heapq.heappush(self.queue, (self.now + ms, next(self.serial), event))

    def execute(self, actions):
        for action in actions:
            match action:
                case SetTimer():
                    self.schedule(max(TICK_MS, action.delay_ms), TimerFired(action.name))
                case StartAttempt():
                    number = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
                    self.in_flight.add((action.id, number))
                    self.max_in_flight = max(self.max_in_flight, len(self.in_flight))
                    self.sent.append((self.now, action.id, number, action.endpoint))
                    latency_ms = self.rule(self.rng, self.class_of[action.id], action.endpoint, number)
                    if latency_ms is not None and latency_ms < action.timeout_ms:
                        self.schedule(
                            latency_ms,
                            AttemptCompleted(
                                action.id,
                                number,
                                action.endpoint,
                                latency_ms,
                                AttemptResult.OK,
                                True,
                                load_report=self.load,
                            ),
                        )
                    else:
                        self.schedule(
                            action.timeout_ms,
                            AttemptCompleted(
                                action.id,
                                number,
                                action.endpoint,
                                action.timeout_ms,
                                AttemptResult.TIMEOUT,
                                False,
                            ),
                        )
                case CancelAttempt():
                    key = (action.id, action.attempt)
                    if key in self.in_flight:
                        self.schedule(0, AttemptCompleted(*key, "", 0.0, AttemptResult.CANCELLED, True))
                case RejectRequest() | FailRequest():
                    ended = self.rejected if isinstance(action, RejectRequest) else self.failed
                    ended.append((self.now, action.id))
                    self.open.pop(action.id, None)

    def run(self, seconds, rate=None):
        end, rate = self.now + seconds * 1000, rate or self.rate
        due = self.now + self.rng.expovariate(rate) * 1000
        while min(due, end) < end or self.queue and self.queue[0][0] < end:
            if self.queue and self.queue[0][0] <= due:
                at, _, event = heapq.heappop(self.queue)
                self.now = max(self.now, at)
                if isinstance(event, AttemptCompleted):
                    key = (event.id, event.attempt)
                    if key not in self.in_flight:
                        continue
                    self.in_flight.discard(key)
                    if event.result is AttemptResult.OK and event.id in self.open:
                        self.served.append((self.now, event.id, self.now - self.received_ms[event.id]))
                        del self.open[event.id]
                elif isinstance(event, ClientDisconnected):
                    if event.id not in self.open:
                        continue
                    del self.open[event.id]
                events = [event]
            else:
                self.now = max(self.now, due)
                due = self.now + self.rng.expovariate(rate) * 1000
                number, name = next(self.ids), self.rng.choice(self.names)
                self.class_of[number], self.received_ms[number], self.open[number] = name, self.now, True
                events = [RequestReceived(number, f"c{number}", name, "rated", self.now + 2500.0)]
                self.schedule(self.disconnect_ms, ClientDisconnected(number))
            self.execute(self.control.handle(self.now, events))
            self.limits.append((self.now, self.control.state.limit.limit))
        return self

    def timely_ratio(self, since=0.0):
        asked = [number for number, ms in self.received_ms.items() if since <= ms < self.now - 1500]
        good = {number for _, number, latency_ms in self.served if latency_ms <= 600}
        return sum(number in good for number in asked) / len(asked)


def healthy(rng):
    return rng.uniform(40, 100)


def losing(share):
    return lambda rng, *_: None if rng.random() < share else healthy(rng)


def test_lost_attempts_do_not_block_the_concurrency_limit():
    """Every endpoint loses a few attempts; the others must be served. When the limit counted each lost
    attempt, only 0.80 and 0.29 were in time here, and up to 0.57 were rejected while endpoints were idle."""
    for share, least in ((0.05, 0.95), (0.1, 0.92)):
        simulation = GatewaySimulation(losing(share), disconnect_ms=2400.0).run(20)
        assert simulation.timely_ratio(since=4000) > least
        assert len(simulation.rejected) < 0.03 * len(simulation.received_ms)


def test_lost_idempotent_request_is_hedged_in_time():
    simulation = GatewaySimulation(losing(0.1), names=("look",)).run(20)
    assert simulation.timely_ratio(since=4000) > 0.95


def test_lost_non_idempotent_request_is_never_sent_again():
    simulation = GatewaySimulation(losing(0.2), names=("debit",)).run(10)
    assert not [number for _, _, number, _ in simulation.sent if number > 0]


def test_slow_answering_fleet_does_not_raise_the_limit():
    """Overdue attempts that are answered in the end still load endpoints, so few of them are written off."""
    simulation = GatewaySimulation(lambda rng, *_: healthy(rng)).run(5)
    simulation.rule = lambda rng, *_: rng.uniform(900, 1100)
    simulation.run(12)
    concurrency = simulation.control.state.limit
    assert concurrency.written_off < 0.25 * concurrency.limit
    assert len(simulation.in_flight) <= 1.3 * concurrency.limit + 2


def test_written_off_attempts_are_bounded_and_restored():
    simulation = GatewaySimulation(losing(1.0), disconnect_ms=2400.0).run(8)
    concurrency = simulation.control.state.limit
    assert (
        simulation.max_in_flight
        <= (1 + MAX_WRITE_OFF_RATIO) * max(limit for _, limit in simulation.limits) + 3
    )
    simulation.run(4, rate=0.001)
    assert (
        not simulation.in_flight and abs(concurrency.in_flight) < 1e-6 and abs(concurrency.written_off) < 1e-6
    )


def test_answer_probability_recovers_when_overdue_attempts_are_answered():
    estimator = OverdueAttemptEstimator()
    for _ in range(40):
        estimator.record(3.0, False)
    assert estimator.answer_probability() < 0.1
    for _ in range(100):
        estimator.record(0.5, True)
    assert estimator.answer_probability() > 0.8


def test_own_stall_makes_no_attempt_overdue():
    simulation = GatewaySimulation(lambda *_: None, rate=20.0, disconnect_ms=60_000.0).run(0.15)
    simulation.execute(simulation.control.handle(simulation.now + 900, [TimerFired("agenda")]))
    assert not simulation.control.state.limit.written_off
    assert not [one for one in simulation.control.state.attempts.values() if one.overdue_after_ms]


def max_count_within(times, window):
    return max((sum(start <= at < start + window for at in times) for start in times), default=0)


class AlwaysZeroRandom(random.Random):
    """A generator whose `random` always returns 0, which selects the first cold endpoint in every draw."""

    def random(self):
        return 0.0


def test_chance_does_not_overload_a_cold_endpoint():
    """The mean load of a cold endpoint is well below its allowance, but random draws sometimes sent several
    times the mean within the overload window: 0.97 of the allowance in 2 of 60 rehearsals, and more than all
    of it in one of 20 earlier ones."""
    config = settings(gateways=4)
    simulation = GatewaySimulation(lambda rng, *_: healthy(rng), rate=40.0).run(3)
    cold = Endpoint("cold", "z0", 9, EndpointState.READY, 1.0, simulation.now)
    simulation.execute(
        simulation.control.handle(simulation.now, [EndpointsUpdated((cold,), is_snapshot=False)])
    )
    simulation.control.state.load_balancer.rng = AlwaysZeroRandom(1)
    start = simulation.now
    simulation.run(config.overload_window_ms / 1000)
    to_cold = [at for at, _, _, endpoint in simulation.sent if endpoint == "cold" and at >= start]
    expected = (
        40.0 * config.overload_window_ms / 1000 / 6
    )  # attempts that a warm endpoint gets from this gateway in that time
    progress = (
        config.slow_start_initial_ratio
        + (1 - config.slow_start_initial_ratio) * config.overload_window_ms / config.slow_start_ms
    )
    assert (
        1
        <= max_count_within(to_cold, config.overload_window_ms)
        <= 1.3 * config.overload_multiple * progress * expected + 1
    )


# -- attribution of failures: to an endpoint, a zone, a class, a peer or this gateway


class GatewayWithOutcomes:
    """A gateway that has recorded `rounds` outcomes of each endpoint and class; for the classes in `of`,
    those of the endpoints in `bad` are failures."""

    def __init__(self, failing=(), *, names=("look",), of=("look",), rounds=6, gateways=4):
        self.control = Controller(settings(gateways=gateways, plans=(Plan("rated", 1e6, 1e6),)), 1)
        self.now, self.failing, self.of = 1000.0, set(failing), set(of)
        self.control.handle(self.now, [FLEET])
        for _ in range(rounds):
            for endpoint in FLEET.endpoints:
                for name in names:
                    failed = endpoint.id in self.failing and name in self.of
                    self.record_outcome(endpoint.id, name, math.inf if failed else 1.0)

    def record_outcome(self, endpoint, name, ratio):
        state = self.control.state
        state.outliers.record(self.now, state.endpoints.tracked[endpoint], name, ratio, 1.0)

    def sent(self, name, count=16):
        """The endpoints chosen for `count` requests of a class that are received at the same time."""
        asked = [
            RequestReceived(number, f"c{number}", name, "rated", self.now + 2500.0) for number in range(count)
        ]
        return [one.endpoint for one in self.control.handle(self.now, asked) if isinstance(one, StartAttempt)]


def test_endpoint_failing_one_class_is_ejected_for_that_class_only():
    """The endpoint's answers of other classes are perfect. With one failure ratio for all classes, a third of
    the failing class's attempts still went there."""
    for name, sent in (("debit", False), ("look", True)):
        gateway = GatewayWithOutcomes(failing=["s1"], names=("look", "debit"), of=("debit",))
        assert ("s1" in gateway.sent(name)) is sent


def test_no_endpoint_is_ejected_if_more_than_half_fail():
    """If all endpoints fail at once, the gateway's own network is the cause; ejection would leave none."""
    gateway = GatewayWithOutcomes(failing=[endpoint.id for endpoint in FLEET.endpoints])
    assert gateway.control.state.outliers.candidates and not gateway.control.state.outliers.ejected(
        gateway.now, "look", gateway.control.state.endpoints.warm
    )
    assert len(set(gateway.sent("look"))) == len(FLEET.endpoints)


def test_ejection_is_limited_to_a_fraction_of_the_endpoints():
    gateway = GatewayWithOutcomes(failing=["s0", "s1", "s2"])
    ejected = gateway.control.state.outliers.ejected(
        gateway.now, "look", gateway.control.state.endpoints.warm
    )
    assert len(ejected) == int(MAX_EJECTED_RATIO * len(FLEET.endpoints)) == 2


def test_service_recovers_within_two_seconds_after_an_own_network_failure():
    simulation = GatewaySimulation(lambda rng, *_: healthy(rng)).run(4)
    simulation.rule = lambda *_: None
    simulation.run(4)
    simulation.rule = lambda rng, *_: healthy(rng)
    since = simulation.now + 2000
    simulation.run(8)
    assert simulation.timely_ratio(since=since) > 0.97


def test_limit_recovers_from_any_low_state_within_two_seconds():
    """Idle endpoints do not delay answers, so a low limit must not keep itself low."""
    for state in (
        {"capacity": 0.1, "recent_peak": 0.0, "backoff_factor": 0.3},
        {"capacity": 0.1, "written_off": 0.0, "fleet_capacity": 0.0},
    ):
        simulation = GatewaySimulation(lambda rng, *_: healthy(rng), rate=60.0).run(4)
        for key, value in state.items():
            assert hasattr(simulation.control.state.limit, key)
            setattr(simulation.control.state.limit, key, value)
        simulation.control.state.limit.update_limit(6)
        since = simulation.now + 2000
        simulation.run(6, rate=200.0)
        assert simulation.timely_ratio(since=since) > 0.99
        need = 200 * 0.07  # by Little's law, with a mean latency of 70 ms
        assert min(limit for ms, limit in simulation.limits if ms >= since) >= need


def test_busy_endpoints_do_not_raise_the_limits_floor():
    simulation = GatewaySimulation(lambda rng, *_: rng.uniform(500, 580), rate=60.0, util=1.0).run(10)
    assert simulation.control.state.limit.idle_ratio == 0 and simulation.control.state.limit.limit < 20
    assert not simulation.control.state.outliers.candidates


def test_failures_reported_by_peers_count_only_if_two_peers_agree():
    """A peer's reports may be wrong because of its own network or a fault. Before reports needed
    confirmation, 60 of them per second from one peer were enough to eject an endpoint."""
    config = settings(gateways=4, plans=(Plan("rated", 1e6, 1e6),))
    report = PeerMessageCodec(config).encode(7, 1.0, [], [outlier_report("s1", 0, math.inf)] * 4)
    for reporters, is_failing in (((1,), False), ((1, 2), True)):
        control = Controller(config, 1)
        control.handle(1000.0, [FLEET])
        for turn in range(120):
            control.handle(
                1000.0 + 20 * turn, [PeerMessageReceived(reporter, report) for reporter in reporters]
            )
        failing = control.state.outliers.failure_ratio(3400.0, control.state.endpoints.tracked["s1"], "look")
        assert (failing > EJECTION_FAILURE_RATIO) is is_failing


def test_gateway_with_little_traffic_uses_reports_of_peers():
    control = Controller(settings(gateways=30, plans=(Plan("rated", 1e6, 1e6),)), 1)
    control.handle(1000.0, [FLEET])
    now, attempts_at_failing = 1000.0, 0
    for turn in range(30):
        report = control.codec.encode(
            7, 0.2, [], [outlier_report("s1", 0, math.inf), outlier_report("s2", 0, 1.0)]
        )
        now += 500
        control.handle(now, [PeerMessageReceived(1 + turn % 20, report)])
        actions = control.handle(now + 1, [RequestReceived(turn, f"c{turn}", "look", "rated", now + 2500.0)])
        for send in actions:
            if isinstance(send, StartAttempt):
                attempts_at_failing += send.endpoint == "s1"
                control.handle(
                    now + 60, [AttemptCompleted(send.id, 0, send.endpoint, 59.0, AttemptResult.OK, True)]
                )
    assert attempts_at_failing <= 1


def test_capacity_claimed_by_a_peer_is_bounded():
    control = Controller(settings(gateways=4), 1)
    control.handle(1000.0, [FLEET])
    for turn in range(200):
        control.handle(1000.0 + 10 * turn, [PeerMessageReceived(1, control.codec.encode(7, 1000.0, [], []))])
    assert control.state.limit.fleet_capacity <= 2 * 12 * 6 / 4


# -- further attempts


def test_overdue_estimates_distinguish_endpoint_zone_and_fleet():
    control = Controller(settings(gateways=4), 1)
    control.handle(1000.0, [FLEET])
    unresponsive, answering = control.state.endpoints.tracked["s0"], control.state.endpoints.tracked["s1"]
    for endpoint, answered in ((unresponsive, False), (answering, True)) * 30:
        for view in control.state.overdue.views_of(Attempt(endpoint, "look", 0.0)):
            control.state.overdue.by_view.setdefault(view, OverdueAttemptEstimator(0.0, 0.0)).record(
                1.0 if answered else 3.0, answered
            )
    assert control.state.overdue.answer_probability(Attempt(unresponsive, "look", 0.0)) < 0.15
    assert control.state.overdue.answer_probability(Attempt(answering, "look", 0.0)) > 0.5
    same_zone = next(
        one
        for one in control.state.endpoints.tracked.values()
        if one.endpoint.zone == unresponsive.endpoint.zone and one is not unresponsive
    )
    assert control.state.overdue.answer_probability(Attempt(same_zone, "look", 0.0)) < 0.2
    control.handle(2000.0, [EndpointsUpdated((), True)])
    control.handle(9000.0, [TimerFired("agenda")])
    # Views of endpoints and zones that are gone have been removed.
    assert all(len(view) == 1 for view in control.state.overdue.by_view)


def test_last_retry_tokens_are_reserved_for_high_gain():
    """With few tokens left, a class of low priority gets no hedged request and one of high priority does."""
    for name, sent in (("feed", 0), ("book", 1)):
        simulation = GatewaySimulation(lambda *_: None, names=(name,), rate=0.001).run(0.1)
        control = simulation.control
        control.handle(simulation.now, [RequestReceived(1, "c", name, "rated", simulation.now + 2500.0)])
        control.state.retry_budget.tokens = 2.0
        request = control.requests[1]
        control.turn.actions = []
        assert control.lifecycle.attempts.retry(request, 0.2) is bool(sent)
        assert control.state.retry_budget.tokens == 2.0 - MIN_PRICE_TOKENS * sent


def test_further_attempts_stay_within_the_retry_budget_at_any_loss_rate():
    for share in (0.05, 0.2, 0.5, 0.8, 1.0):
        simulation = GatewaySimulation(losing(share), names=("look", "book"), disconnect_ms=2400.0).run(20)
        further = sum(number > 0 for _, _, number, _ in simulation.sent)
        first = len(simulation.sent) - further
        assert further <= TOKENS_PER_REQUEST / MIN_PRICE_TOKENS * first + MAX_TOKENS / MIN_PRICE_TOKENS


def test_service_with_five_percent_loss_a_stopped_endpoint_and_stale_discovery():
    """Reproduces an incident: a fifth of the endpoints stops, discovery reports it late, and the remaining
    ones lose one attempt in 20."""
    simulation = GatewaySimulation(losing(0.05), disconnect_ms=2400.0).run(6)
    gone = "s5"
    simulation.rule = lambda rng, name, endpoint, number: (
        None if endpoint == gone or rng.random() < 0.05 else healthy(rng)
    )
    since = simulation.now
    simulation.run(3)  # discovery is unresponsive and still lists the endpoint
    cold = Endpoint("new", "z1", 9, EndpointState.READY, 1.0, simulation.now - 3000)
    simulation.execute(
        simulation.control.handle(simulation.now, [EndpointsUpdated((*FLEET.endpoints[:5], cold))])
    )
    simulation.run(8)
    assert simulation.timely_ratio(since=since) > 0.93
    assert not [one for one in simulation.sent if one[3] == gone and one[0] > since + 3000]
    assert len([one for one in simulation.sent if one[3] == gone and one[0] > since + 1500]) <= 3
    assert len(simulation.rejected) < 0.03 * len(simulation.received_ms)
    ran = [
        number
        for _, number, attempt, _ in simulation.sent
        if simulation.class_of[number] == "debit" and attempt
    ]
    assert not ran


# -- little traffic per gateway, hence few observations


def test_limit_is_at_least_one_attempt_but_not_above_its_initial_value():
    """A limit below one attempt would queue requests by chance and not by load. Without the minimum the limit
    would be 0.45 here."""
    for gateways, limit in ((100, 1.0), (1000, INITIAL_PER_ENDPOINT * 9 / 1000)):
        concurrency = ConcurrencyLimit(gateways)
        for _ in range(50):
            concurrency.answered_objectives_ms = 1.0
            concurrency.on_period(1000.0, 9)
        assert concurrency.limit == approx(limit)
        concurrency.backoff_factor = MIN_BACKOFF_FACTOR
        concurrency.update_limit(9)
        assert concurrency.limit == approx(limit * MIN_BACKOFF_FACTOR)


def test_gateway_with_little_traffic_does_not_hedge_long_running_attempts():
    """One attempt in twenty takes three times the mean, and would take as long elsewhere. It must not be
    hedged without evidence of lost attempts: with 100 gateways, hedging 6 % of them cost 0.11 of service."""
    hedged = 0
    for seed in range(1, 6):
        simulation = GatewaySimulation(lambda rng, *_: 30 + rng.expovariate(1 / 90), rate=1.0, seed=seed).run(
            40
        )
        hedged += sum(number > 0 for _, _, number, _ in simulation.sent)
        assert not simulation.rejected and not simulation.failed
    assert hedged <= 2


def test_waiting_time_is_recorded_while_an_attempt_is_overdue():
    """Overdue attempts are recorded interval by interval, before the first of them has ended."""
    simulation = GatewaySimulation(
        lambda rng, name, endpoint, number: None if number == 0 else healthy(rng),
        rate=4.0,
        names=("look",),
        disconnect_ms=2400.0,
    ).run(2.3)
    estimator = simulation.control.state.overdue.by_view["look",]
    assert (
        not simulation.control.state.limit.completed
        and estimator.intervals > 2
        and estimator.answer_probability() < MAX_HEDGE_PROBABILITY
    )


def test_gateways_with_little_traffic_serve_as_well_as_a_fixed_limit():
    """A tier of 100 gateways at 0.8 of the endpoints' capacity, with about one request per second each."""
    services = {
        rule: mean(World(RULES[rule], Failure(), 0.8, 100, 9, seed, 3).play()["service"] for seed in (1, 2))
        for rule in ("plumpick", "fixed cap")
    }
    assert services["plumpick"] >= services["fixed cap"] - 0.04
