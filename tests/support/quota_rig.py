"""Simulation of several gateways' controllers that exchange quota messages, without sockets.

Clients of one or more customers send requests; tests script message loss, delays, restarts and stalls. Times
are in ms. Each attempt succeeds after ENDPOINT_LATENCY_MS, so that only quotas limit the requests.
"""

import heapq
import itertools
import random
from collections import Counter

from plumpick.policy.actions import FailRequest, RejectRequest, SendPeerMessage, SetTimer, StartAttempt
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
from plumpick.policy.peer_messages import QuotaMessageKind, customer_tag, owner_position
from plumpick.policy.settings import Idempotency, Plan, RequestClass, Settings

CLASSES = (RequestClass("seat-check", 750, 2000, 3, Idempotency.IDEMPOTENT),)
TICK_MS, ENDPOINT_LATENCY_MS = 4.0, 40.0
ENDPOINTS = EndpointsUpdated(tuple(Endpoint(f"s{n}", "a", n, EndpointState.READY) for n in range(40)))


class QuotaSimulation:
    """Event-driven simulation of `gateways` controllers.

    `message_delay(sender, receiver, now)` returns the delay of a message in ms, or None if it is lost.
    `hard_limit_ratio`: hard limit as a multiple of the quota, 0 for none; `set_size`: gateways of a customer.
    """

    def __init__(
        self,
        rate=8.0,
        burst=16.0,
        gateways=4,
        seed=1,
        message_delay=lambda *_: 5.0,
        inbox_per_s=60.0,
        hard_limit_ratio=0.0,
        set_size=4,
    ):
        self.plan = Plan(
            "basico",
            rate,
            burst,
            hard_limit_per_s=hard_limit_ratio * rate,
            hard_limit_burst=hard_limit_ratio * burst,
        )
        self.message_delay, self.inbox_per_s = message_delay, inbox_per_s
        self.gateways, self.set_size = gateways, set_size
        self.rng = random.Random(seed)
        self.now, self.queue, self.sequence = 0.0, [], itertools.count()
        self.request_ids = itertools.count(1)
        self.controllers = [None] * gateways
        self.pending_events = [[] for _ in range(gateways)]
        self.incarnations, self.is_down = [0] * gateways, [False] * gateways
        self.stalled_until_ms = [0.0] * gateways
        self.forwarded = []  # time and gateway of each request's first attempt
        self.outcomes, self.message_counts = Counter(), Counter()
        self.sent_messages = []  # time, sender, receiver, decoded message
        self.started_requests = set()
        self.loses_messages_of_killed_sender = False  # whether messages in flight are lost if the sender dies
        for number in range(gateways):
            self.start(number)

    def settings(self, number):
        return Settings(
            gateway_count=self.gateways,
            gateway_number=number,
            zone="a",
            classes=CLASSES,
            plans=(self.plan,),
            slow_start_ms=1,
            slow_start_initial_ratio=0.25,
            overload_multiple=2.5,
            overload_window_ms=1000,
            max_attempts=5,
            tick_ms=TICK_MS,
            can_message_peers=True,
            max_retry_after_ms=1000,
            peer_inbox_per_s=self.inbox_per_s,
        )

    # -- events

    def schedule(self, ms, call, *arguments):
        heapq.heappush(self.queue, (ms, next(self.sequence), call, arguments))

    def start(self, number):
        self.controllers[number], self.is_down[number] = Controller(self.settings(number), 7), False
        self.incarnations[number] += 1
        self.pending_events[number] = [ENDPOINTS]
        self.schedule(self.now, self.run_turn, number, self.incarnations[number])

    def kill(self, number, restart_after_ms=None):
        self.is_down[number] = True
        self.incarnations[number] += 1
        if restart_after_ms is not None:
            self.schedule(self.now + restart_after_ms, self.start, number)

    def add_event(self, number, incarnation, event):
        """Queue an event for a gateway's next turn, unless the incarnation has ended."""
        if incarnation == self.incarnations[number] and not self.is_down[number]:
            self.pending_events[number].append(event)
            if len(self.pending_events[number]) == 1:
                next_tick_ms = (self.now // TICK_MS + 1) * TICK_MS
                turn_ms = max(self.stalled_until_ms[number], next_tick_ms)
                self.schedule(turn_ms, self.run_turn, number, incarnation)

    def run_turn(self, number, incarnation):
        """Pass the pending events to a gateway's controller, and carry out its actions."""
        if incarnation != self.incarnations[number]:
            return
        events, self.pending_events[number] = self.pending_events[number], []
        for action in self.controllers[number].handle(self.now, events):
            match action:
                case StartAttempt():
                    if (number, incarnation, action.id) not in self.started_requests:
                        self.started_requests.add((number, incarnation, action.id))
                        self.forwarded.append((self.now, number))
                    completed = AttemptCompleted(
                        action.id, 0, action.endpoint, ENDPOINT_LATENCY_MS, AttemptResult.OK, True
                    )
                    self.outcomes["served"] += 1
                    completed_ms = self.now + ENDPOINT_LATENCY_MS
                    self.schedule(completed_ms, self.add_event, number, incarnation, completed)
                case RejectRequest() | FailRequest():
                    self.outcomes["rejected"] += 1
                case SetTimer():
                    self.schedule(
                        self.now + action.delay_ms,
                        self.add_event,
                        number,
                        incarnation,
                        TimerFired(action.name),
                    )
                case SendPeerMessage():
                    self.send_message(number, action)

    def send_message(self, number, action):
        for other in range(self.gateways):
            delay_ms = self.message_delay(number, other, self.now) if other != number else None
            if other in (action.receiver, *(range(self.gateways) if action.receiver == -1 else ())):
                self.message_counts[number, other, int(self.now // 1000)] += 1
                decoded = self.controllers[number].codec.decode(action.data)
                self.sent_messages.append((self.now, number, other, decoded))
                if delay_ms is not None:
                    self.schedule(
                        self.now + delay_ms,
                        self.deliver,
                        number,
                        self.incarnations[number],
                        other,
                        self.incarnations[other],
                        PeerMessageReceived(number, action.data),
                    )

    def deliver(self, sender, sender_incarnation, number, incarnation, event):
        if not self.loses_messages_of_killed_sender or sender_incarnation == self.incarnations[sender]:
            self.add_event(number, incarnation, event)

    # -- clients

    def owner_of(self, customer="f"):
        """Number of a customer's quota owner."""
        return owner_position(customer_tag(customer), min(self.set_size, self.gateways))

    def send_request(self, number, customer="f"):
        self.add_event(
            number,
            self.incarnations[number],
            RequestReceived(
                next(self.request_ids),
                customer,
                "seat-check",
                "basico",
                self.now + 2000,
                1.0,
                0,
                min(self.set_size, self.gateways),
            ),
        )

    def schedule_load(self, gateways, rate, from_ms, until_ms, customer="f"):
        """Poisson arrivals of `rate` per second in total, each at a random one of `gateways`."""
        t = from_ms
        while (t := t + self.rng.expovariate(rate / 1000)) < until_ms:
            self.schedule(t, self.send_request, self.rng.choice(gateways), customer)

    def run(self, until_ms, until=lambda: False):
        """Run up to `until_ms`, or until the condition `until` holds."""
        while self.queue and self.queue[0][0] <= until_ms and not until():
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = self.now if until() else until_ms

    # -- results

    def grants_sent(self, sender, from_ms):
        """GRANT messages that a gateway has sent to others since `from_ms`."""
        return [
            message
            for t, number, _, datagram in self.sent_messages
            if number == sender and t >= from_ms
            for message in datagram.quota_messages
            if message.kind is QuotaMessageKind.GRANT
        ]

    def forwarded_count(self, from_ms, until_ms, gateways=None):
        """Requests forwarded in an interval, by the given gateways or all."""
        return sum(
            from_ms <= t < until_ms and (gateways is None or gateway in gateways)
            for t, gateway in self.forwarded
        )

    def max_excess(self, from_ms=0.0):
        """Units forwarded beyond `burst + rate x window` in the worst window since `from_ms`."""
        level = last_ms = worst = 0.0
        for t, _ in self.forwarded:
            if t >= from_ms:
                level = min(0.0, level + (t - last_ms) / 1000 * self.plan.rate_per_s) - 1
                last_ms, worst = t, max(worst, -level - self.plan.burst)
        return worst


def partition(side, from_ms, until_ms, *, outbound=True, inbound=True, delay_ms=5.0):
    """A `message_delay` that loses messages between the gateways of `side` and the others for some time:
    messages from `side` (`outbound`), to `side` (`inbound`), or both."""

    def message_delay(sender, receiver, now):
        crosses = (sender in side) != (receiver in side) and (outbound if sender in side else inbound)
        return None if crosses and from_ms <= now < until_ms else delay_ms

    return message_delay
