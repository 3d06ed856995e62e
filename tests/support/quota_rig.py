"""Several decision modules that talk to one another, and one firm that asks: no sockets, scripted faults.

Time is in ms. Each attempt is answered well after `ANSWER_MS`, so that what is counted is the quota alone.
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
TICK_MS, ANSWER_MS = 4.0, 40.0
FLEET = EndpointsUpdated(tuple(Endpoint(f"s{n}", "a", n, EndpointState.READY) for n in range(40)))


class Rig:
    """`way(sender, receiver, now)` says how long a message takes, None for lost."""

    def __init__(
        self, rate=8.0, burst=16.0, gateways=4, seed=1, way=lambda *_: 5.0, inbox=60.0, ceiling=0.0, spread=4
    ):
        self.plan = Plan(
            "basico", rate, burst, hard_limit_per_s=ceiling * rate, hard_limit_burst=ceiling * burst
        )
        self.way, self.inbox, self.gateways, self.spread = way, inbox, gateways, spread
        self.rng = random.Random(seed)
        self.now, self.queue, self.serial = 0.0, [], itertools.count()
        self.ids = itertools.count(1)
        self.modules = [None] * gateways
        self.pending = [[] for _ in range(gateways)]
        self.life, self.down, self.still = [0] * gateways, [False] * gateways, [0.0] * gateways
        self.granted = []  # when, at which gateway
        self.ended, self.messages, self.told = Counter(), Counter(), []
        self.sent = set()
        self.dies_with_sender = False  # whether a message is lost if its sender dies while it is on the way
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
            peer_inbox_per_s=self.inbox,
        )

    # -- what happens

    def at(self, ms, call, *arguments):
        heapq.heappush(self.queue, (ms, next(self.serial), call, arguments))

    def start(self, number):
        self.modules[number], self.down[number] = Controller(self.settings(number), 7), False
        self.life[number] += 1
        self.pending[number] = [FLEET]
        self.at(self.now, self.turn, number, self.life[number])

    def kill(self, number, back_ms=None):
        self.down[number] = True
        self.life[number] += 1
        if back_ms is not None:
            self.at(self.now + back_ms, self.start, number)

    def notice(self, number, life, event):
        if life == self.life[number] and not self.down[number]:
            self.pending[number].append(event)
            if len(self.pending[number]) == 1:
                self.at(max(self.still[number], (self.now // TICK_MS + 1) * TICK_MS), self.turn, number, life)

    def turn(self, number, life):
        if life != self.life[number]:
            return
        events, self.pending[number] = self.pending[number], []
        for action in self.modules[number].handle(self.now, events):
            match action:
                case StartAttempt():
                    if (number, life, action.id) not in self.sent:
                        self.sent.add((number, life, action.id))
                        self.granted.append((self.now, number))
                    done = AttemptCompleted(action.id, 0, action.endpoint, ANSWER_MS, AttemptResult.OK, True)
                    self.ended["served"] += 1
                    self.at(self.now + ANSWER_MS, self.notice, number, life, done)
                case RejectRequest() | FailRequest():
                    self.ended["refused"] += 1
                case SetTimer():
                    self.at(self.now + action.delay_ms, self.notice, number, life, TimerFired(action.name))
                case SendPeerMessage():
                    self.tell(number, action)

    def tell(self, number, action):
        for other in range(self.gateways):
            takes = self.way(number, other, self.now) if other != number else None
            if other in (action.receiver, *(range(self.gateways) if action.receiver == -1 else ())):
                self.messages[number, other, int(self.now // 1000)] += 1
                self.told.append((self.now, number, other, self.modules[number].codec.decode(action.data)))
                if takes is not None:
                    self.at(
                        self.now + takes,
                        self.arrives,
                        number,
                        self.life[number],
                        other,
                        self.life[other],
                        PeerMessageReceived(number, action.data),
                    )

    def arrives(self, sender, sender_life, number, life, event):
        if not self.dies_with_sender or sender_life == self.life[sender]:
            self.notice(number, life, event)

    # -- who asks

    def home(self, firm="f"):
        return owner_position(customer_tag(firm), min(self.spread, self.gateways))

    def ask(self, number, firm="f"):
        self.notice(
            number,
            self.life[number],
            RequestReceived(
                next(self.ids),
                firm,
                "seat-check",
                "basico",
                self.now + 2000,
                1.0,
                0,
                min(self.spread, self.gateways),
            ),
        )

    def crowd(self, gates, rate, from_ms, until_ms, firm="f"):
        """Poisson arrivals, at any of these gateways that is up; `rate` a second over all of them."""
        t = from_ms
        while (t := t + self.rng.expovariate(rate / 1000)) < until_ms:
            self.at(t, self.ask, self.rng.choice(gates), firm)

    def run(self, until_ms, until=lambda: False):
        """To that time, or until something is so."""
        while self.queue and self.queue[0][0] <= until_ms and not until():
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = self.now if until() else until_ms

    def grants(self, sender, from_ms):
        """What a gateway granted since then, as it was told."""
        return [
            item
            for t, number, _, news in self.told
            if number == sender and t >= from_ms
            for item in news.quota_messages
            if item.kind is QuotaMessageKind.GRANT
        ]

    # -- what came of it

    def count(self, from_ms, until_ms, gates=None):
        return sum(from_ms <= t < until_ms and (gates is None or gate in gates) for t, gate in self.granted)

    def beyond(self, from_ms=0.0):
        """Units beyond `burst + rate x window` in the worst window."""
        level = at = worst = 0.0
        for t, _ in self.granted:
            if t >= from_ms:
                level = min(0.0, level + (t - at) / 1000 * self.plan.rate_per_s) - 1
                at, worst = t, max(worst, -level - self.plan.burst)
        return worst


def cut(side, from_ms, until_ms, *, out=True, into=True, takes=5.0):
    """A way on which those on one side do not hear the others (`into`), or are not heard (`out`)."""

    def way(sender, receiver, now):
        apart = (sender in side) != (receiver in side) and (out if sender in side else into)
        return None if apart and from_ms <= now < until_ms else takes

    return way
