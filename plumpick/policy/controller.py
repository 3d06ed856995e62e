"""Every decision of the gateway. Its settings, events and actions are the types of interface.py.

Read it top to bottom: FuzzyShare steers each class's share of attempts out by the wait of its requests,
Window caps the attempts out, Quota keeps the customers' quotas and ceilings, Servers picks where to send,
and Controller leads each request from its arrival to its one final answer. Records are in state.py."""

from __future__ import annotations

import functools
import heapq
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from plumpick.policy import reconfiguration, snapshot, subsetting
from plumpick.policy.actions import (
    Action,
    CancelAttempt,
    CommandCompleted,
    FailRequest,
    RejectRequest,
    SendPeerMessage,
    SetAdmissionState,
    SetTimer,
    StartAttempt,
    StateExported,
    WatchEndpoints,
)
from plumpick.policy.disabled_workers import Bans
from plumpick.policy.draining import Draining
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    ClientDisconnected,
    CommandKind,
    EndpointState,
    EndpointsUpdated,
    Event,
    ExportState,
    ImportState,
    OperatorCommand,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    ResumeAfterFailedHandover,
    SettingsChanged,
)
from plumpick.policy.housekeeping import part_of, ping_ms
from plumpick.policy.peer_messages import (
    MAX_OUTLIER_REPORTS,
    OutlierReport,
    PeerMessageCodec,
    QuotaMessage,
    QuotaMessageKind,
    customer_tag,
    endpoints_by_tag,
    latency_ratio_of,
    outlier_report,
    owner_position,
)
from plumpick.policy.quota.hard_limits import slice_of
from plumpick.policy.quota.ledger import begin_with, is_full, old_store_name, spare, store_name
from plumpick.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from plumpick.policy.state import (
    Account,
    Ask,
    Attempt,
    Backend,
    Lateness,
    QuotaState,
    Request,
    ServersState,
    Store,
    WindowState,
)

# Fuzzy shares (paper, Tables 6 and 7, absolute delay).
ERROR_GAIN, CHANGE_GAIN, OUTPUT_GAIN = 0.4, 3.0, 0.01  # per second of error, of its change; share per output
CENTRES = (-1.0, -0.5, 0.0, 0.5, 1.0)  # five triangles, each as wide as its neighbours' distance
PERIOD_MS = 100.0  # one step of the shares: short, since one step moves a share by 0.01 at most
FEW_SAMPLES = 5  # with fewer released in a period, the ages of those still held count as waits too
LEAST_SHARE = 0.05  # of the window, so that no class is starved for good

# Window.
START_PER_SERVER = 12.0  # attempts out for each ready server, over all gateways, until answers tell more
FLOOR_PER_SERVER = 5.0  # over all gateways: never fewer, or slow answers would close it for good
IN_SERVER_PART = 0.25  # of a class's aim that attempts may spend at servers on average; more thrashes them
ANSWER_PART = 0.45  # of a class's aim that is kept free for the answer at most
HOLD_PART = 0.45  # of a request's time that it may be held at most
PEAK_GROWTH = 2.0  # times the recent peak, as the design has it
FULL_SHARE, FULL_CUT = 0.15, 0.75  # of attempts refused as full that cuts; the cut, as the design has it
LEAST_CUT, CUT_HEAL = 0.3, 1.05  # how far cuts may go; per period, how a cut wears off
RATE_MEMORY_MS = 1000.0  # over which answers are counted
CHANCE = 1.5  # attempts by which the cap may be passed while those out average less,
CHANCE_SPREAD = 1.0  # or so many times the cap's root more: by as much a mean of few scatters
LEAST_LIMIT = 1.0  # a cap under one attempt holds by chance, not by load; but never over where caps start
FLEET_GAIN = 0.1  # of each peer's room, in the mean of what is told
LATE_TIMES, LATE_LEAST_MS = 5.0, 300.0  # usual answer times after which an attempt is overdue
LATE_SPANS, LATE_KEEP = 1.0, 0.95  # so many such waits that it may still answer in; how the past fades
LATE_PART = 1.0  # of the cap that overdue attempts may be out beyond it, and besides as many as were
LATE_MEMORY_MS = 3000.0  # answered over so long: who answers so much is not the reason why these do not
COPY_CHANCE = 0.5  # that an attempt still answers, from which on no copy goes out: it would load servers more
LATE_PRIOR = 3.0  # spans that the wider view (class; then its hall) counts for in the closer (hall; server)
IDLE_FROM, IDLE_ALL = 0.9, 0.6  # use of cores, as told, from which the floor rises; where it is at its most
IDLE_TIMELY = 0.9  # share of answers that took no longer than their aim, below which no floor rises
IDLE_MEMORY_MS, IDLE_OLD_MS = 300.0, 2000.0  # over which use is averaged; without news for so long: unknown

# Quota.
DEMAND_MEMORY_MS = 3000.0  # over which a customer's use is averaged
OWN_PART = 0.03  # of the burst that all own buckets hold together: what they hold the home may lend as well
CEILING_USE = 0.96  # of a ceiling that its parts make together: what is drawn may be sent on later, and
# would come on top of what a minute fills (bounds.py)
# For the home: the quota and more, where the ceiling is 1.7 times it; split over the set, for credit.
HOME_CEILING, REST_CEILING = 0.7 * CEILING_USE, 0.3 * CEILING_USE
ASK_START_MS, ASK_TIMES, ASK_LEAST_MS = 60.0, 2.5, 100.0  # usual time of a home's answer; late is so much
ASK_TRIES, ASK_PART = 3, 0.4  # questions without an answer that make a home silent; or this part of the aim
INBOX_PART, ASK_MOST = 0.5, 2.0  # of a home's inbox that one customer may fill; or so many times its quota
# A home hears its askers as often, with no more others than that all do; in a wide tier as often as life
# signs of all fill so much of an inbox. Who is silent for so many times that lives by its even part.
PING_ALL, HOLD_PINGS = 8, 4.0
CREDIT_MS = 30_000.0  # for so long what a home told of a firm's asking counts for credit
UNHEARD_MS, UNHEARD_MOST = 10_000.0, 256  # what went out while a home was silent is told it again after
OUTBOX_MESSAGES = 4  # so many messages of business wait for one gateway at most
LEASE_AIMS = 1.5  # a slot whose end is never told is free again after so many aims
TELL_PART, GAP_MOST_MS = 0.75, 60.0  # of an inbox that all others may fill; what waits for company
TALKING_MS = 1000.0  # a gateway heard within so long shares our peers' inboxes with us
DONE_MS, DONE_LEAST = 5000.0, 64  # how long, and how many, a home remembers what it granted, against repeats
TELL_MS = 250.0  # advice to come again where nothing better is known

# Servers.
SLOW_GAIN, SLOW_MOST = 0.15, 10.0  # how fast a relative slowness is learned; its bound
SLOW_MEMORY_MS = 15_000.0  # it fades, so that an old spell is no verdict
FAIL_WEIGHT = 200.0  # of the squared share of failures: one soon fades, a row of them does not
FAIL_MEMORY_MS = 4000.0  # a server's failures fade, so that it is tried again a little at a time
SUSPECT, HEARD_WEIGHT, SIGHTING_MS = 0.6, 0.5, 2000.0  # of an own failure: silence; what a peer saw of late
WORD_GAP_MS = 250.0  # one peer's words on one server count once in so long
EJECT_FROM, EJECT_LEAST = 0.5, 2.0  # share failed, of so many seen of late at least, that puts a server out
EJECT_MOST, EJECT_PANIC = 0.4, 0.5  # of the warm servers; where more look bad it is not the servers: none
ZONE_COST = 1.15  # a server of another zone must be so much better
SCATTER = 1.1  # a cost is taken for up to so much more, by chance, or all would choose alike
FEW_NEAR = 3  # warm servers of our arc; with fewer all servers serve
LEAST_CHOICE, CHOICE_PER_SEND = 2.0, 4.0  # servers compared; more for each recent send of ours to each server
UTIL_LOAD, REPORT_MEMORY_MS = 2.0, 1000.0  # attempts that full use counts as; a report ages
COLD_FAILING, TOSS_MS = 0.5, 1000.0  # a cold server that fails more is passed by; a new chance for a request
TOSS_ALONE_MS = 100.0  # or that soon, where no warm server could take it
COLD_PART = 0.8  # of the rule's multiple, which a cold server gets of what a warm one got, by its warmth
FLEET_MEMORY_MS = 30_000.0  # over which the warm fleet of late counts as what carries the load

# Further attempts.
HEDGE_TIMES, HEDGE_LEAST_MS = 3.0, 150.0  # usual answer times after which a second copy may go out
RETRY_PART, RETRY_MOST = 0.2, 20.0  # tokens for each first attempt; how many may be saved up
RETRY_LEAST = 0.5  # of a token: for a copy of what surely does not answer, and so is no load. Further
# attempts so stay under RETRY_PART / RETRY_LEAST of first ones at any failure share, and what was saved up
RETRY_RESERVE = 0.25  # of the tokens that the least worthy leave to others; less, the more a try may gain
RETRY_AGAIN_MS = 100.0  # an overdue attempt for which there was no place or token tries again
HEDGE_ROOM, OVER_ROOM = 0.7, 0.5  # of the window: fuller, and no second copy, nothing beyond a quota goes out
USUAL_START_MS, USUAL_GAIN = 200.0, 0.05  # a class's answer time before the first answer; how it is learned
REPEAT_SPARE_MS = 25.0  # a repeat leaves so long before its group forgets: it takes time to arrive
SAFE_TIMES = 2.5  # usual answer times to leave before the aim: the mean alone lets half come late
OF_REQUESTS = frozenset(("ask", "expired", "hedge", "overdue", "hopeless", "due"))  # agenda of one request
TIDY_MS, FORGET_MS, AGENDA_SPARE = 250.0, 8000.0, 256  # how often what is over is forgotten; after how long
CLOCK_GRAIN_MS, STALL_PERIODS = 0.001, 4.0  # a wake-up may be so early; no turn for so long: we stood still


def grades(x: float) -> list[float]:
    x = max(-1.0, min(1.0, x))
    return [max(0.0, 1 - abs(x - centre) / (CENTRES[1] - CENTRES[0])) for centre in CENTRES]


OUTPUTS = [(step / 20, grades(step / 20)) for step in range(-20, 21)]


class FuzzyShare:
    """A Mamdani PI-type controller: the wait of one class against its aim moves the class's share."""

    def __init__(self, aim_ms: float, share: float) -> None:
        self.aim_s, self.share = aim_ms / 1000, share
        self.last_error: float | None = None

    def step(self, wait_ms: float) -> None:
        """One period: a late class gains; one under its aim keeps what it has."""
        error = self.aim_s - wait_ms / 1000
        change = 0.0 if self.last_error is None else error - self.last_error
        self.last_error = error
        if error >= 0 and change >= 0:
            return  # the output is not below nothing: an idle class need not be inferred
        move = OUTPUT_GAIN * self.infer(round(ERROR_GAIN * error, 2), round(CHANGE_GAIN * change, 2))
        if move < 0 or error < 0:
            self.share = min(1.0, max(LEAST_SHARE, self.share - move))

    @staticmethod
    @functools.cache  # a pure function of few values, and the dearest step of a pressed gateway
    def infer(error: float, change: float) -> float:
        """Diagonal table, max-min inference, centre of gravity; all on [-1, 1]."""
        strength = [0.0] * len(CENTRES)
        for i, first in enumerate(grades(error)):
            for j, second in enumerate(grades(change)):
                out = max(0, min(len(CENTRES) - 1, i + j - len(CENTRES) // 2))
                strength[out] = max(strength[out], min(first, second))
        above = below = 0.0
        for x, heights in OUTPUTS:
            height = max(map(min, strength, heights))
            above, below = above + x * height, below + height
        return above / below


class Window(WindowState):
    """The cap on attempts out. It lets answers take a part of their aims: rate times that time are out."""

    def count(self, now: float, change: float) -> None:
        self.mean_out += (self.out - self.mean_out) * -math.expm1((self.mean_ms - now) / RATE_MEMORY_MS)
        self.mean_ms, self.out = now, self.out + change

    def step(self, now: float, servers: float) -> None:
        """One period has gone by."""
        keep = math.exp(-PERIOD_MS / RATE_MEMORY_MS)
        self.room = self.room * keep + self.answered_ms * IN_SERVER_PART / PERIOD_MS * (1 - keep)
        self.count(now, 0)
        self.peak = max(float(self.out), self.peak * keep)
        crowded = self.full > FULL_SHARE * self.ended  # one server that refuses all is no crowded fleet
        self.cut = max(LEAST_CUT, self.cut * FULL_CUT) if crowded else min(1.0, self.cut * CUT_HEAL)
        self.answered_ms, self.full, self.ended = 0.0, self.full * keep * keep, self.ended * keep * keep
        self.well *= math.exp(-PERIOD_MS / LATE_MEMORY_MS)
        self.set_limit(servers)

    def set_limit(self, servers: float) -> None:
        ready = servers / self.gateways  # our part: a cap that forgets the others overdrives the servers
        # A gateway's own few answers say little: the fleet's mean stands in for what they lack.
        room = self.room + max(0.0, self.fleet_room - self.room) * FEW_SAMPLES / (FEW_SAMPLES + self.ended)
        most = PEAK_GROWTH * max(self.peak, START_PER_SERVER * ready)
        # A low cap has few answers and would keep itself low. Where servers say that they idle it is not they
        # who hold the answers back, so the floor is where the cap starts: no state lasts.
        floor = FLOOR_PER_SERVER + (START_PER_SERVER - FLOOR_PER_SERVER) * self.idle
        self.limit = max(floor * ready * self.cut, min(room * self.cut, most))
        self.limit = self.limit if room else START_PER_SERVER * ready * self.cut
        self.limit = max(self.limit, min(LEAST_LIMIT, START_PER_SERVER * ready) * self.cut)

    def write_off(self, now: float, part: float) -> float:
        """Stop counting so much of an overdue attempt; the answer is how much could be. Bounded: should all
        be late, the cap is passed by no more than this, and by what others answered of late."""
        part = max(0.0, min(part, LATE_PART * self.limit + self.well - self.lost))
        self.lost += part
        self.count(now, -part)
        return part

    def free(self) -> float:
        """How many more may go out. While the mean is under the cap, chance may pass it: at one or two
        requests a second the cap is less than one, and a count that scatters would be held for nothing."""
        average = self.limit + CHANCE_SPREAD * math.sqrt(self.limit)
        return self.limit + (CHANCE if self.mean_out < average else 0.0) - self.out


class Late(Lateness):
    """Whether attempts that are overdue still answer: the hazard rate of answers, with its censored waits.

    Danger: an attempt that a server swallowed is out until its client goes, and holds a place in the window
    that nobody uses. Seen in service: one in 25 swallowed filled half of a small window for good. But where
    all servers are slow, what is overdue still loads them, answers in the end, and has to count."""

    def learn(self, spans: float, answered: bool) -> None:
        """An overdue attempt has ended, after so many times the wait that made it overdue."""
        self.answers = self.answers * LATE_KEEP + answered
        self.spans = self.spans * LATE_KEEP + spans

    def chance(self, wider: float | None = None) -> float:
        """That one which is overdue still answers. `wider`: what a wider view than this one says, which
        stands in for what this one has not seen."""
        if wider is None:
            return -math.expm1(-LATE_SPANS * self.answers / max(1.0, self.spans))
        prior = -math.log(max(1e-9, 1 - wider)) / LATE_SPANS  # as a rate of answers
        return -math.expm1(-LATE_SPANS * (self.answers + LATE_PRIOR * prior) / (self.spans + LATE_PRIOR))


class Quota(QuotaState):
    """Each customer's bucket fills at the quota times our part of its recent use.

    A part of a wide set holds less than one request. So (departure) one gateway of it, the customer's home,
    keeps the store that all draw on and lends what the bucket here lacks, the worthiest first; while it is
    silent, a gateway sends on credit of its own bucket, one request at a time."""

    def begin(self, now: float) -> None:
        """A life of its own, by when it begins: with the numbers of the last one its grants would pass for
        ours, and what we ask for what was granted before."""
        reconfiguration.index(self)
        self.hold_ms = HOLD_PINGS * ping_ms(self.settings)
        self.boot, self.serial = random.Random(f"{self.boot}/{now}").choices(range(1 << 16), k=2)
        if self.pings_all():  # who tells nothing from the start may be cut off, and live by its own part
            self.last_ms = dict.fromkeys(
                set(range(self.settings.gateway_count)) - {self.settings.gateway_number}, now
            )

    def account(self, now: float, arrival: RequestReceived, plan: Plan) -> Account:
        """The customer's account, its buckets filled for the time gone by."""
        # Of one customer, what is said of its plan and set belongs together: a request that says otherwise in
        # its name must not bind the others.
        name = arrival.customer, plan.name, arrival.gateway_set_size, arrival.first_gateway
        account = self.accounts.get(name)
        if account is None:
            spread, tag = (
                max(1, min(arrival.gateway_set_size, self.settings.gateway_count)),
                customer_tag(arrival.customer),
            )
            home = (arrival.first_gateway + owner_position(tag, spread)) % self.settings.gateway_count
            account = self.accounts[name] = Account(plan, tag, spread, home, now)
            account.slice = self.slice(account, arrival.first_gateway)
        gone_s = 0.0 if self.heir else (now - account.at_ms) / 1000
        account.at_ms = now
        account.asked *= math.exp(-gone_s * 1000 / DEMAND_MEMORY_MS)
        if account.plan is not plan or plan.name not in self.plan_index:  # the settings have changed
            gone_s, plan = reconfiguration.renew(self, now, account, arrival.first_gateway, gone_s)
        alone = account.home in self.silent and self.is_lost(now, account.home)
        if alone or now - account.total_ms > 2 * DEMAND_MEMORY_MS:
            account.total = 0.0  # nothing is heard: the even slice serves
        mine = account.asked * 1000 / DEMAND_MEMORY_MS
        part = min(1.0, mine / account.total) if account.total else 1 / account.spread
        account.own = min(plan.burst * OWN_PART * part, account.own + plan.rate_per_s * part * gone_s)
        # A ceiling is split for good and its parts start empty: a restart can't grant again what was spent.
        most, fills = plan.hard_limit_burst * account.slice, plan.hard_limit_per_s * account.slice * gone_s
        account.ceiling = min(most, account.ceiling + fills)
        return account

    def slice(self, account: Account, first: int) -> float:
        """Our part of its ceiling, with nobody's word; `first`: of its set."""
        at = (self.settings.gateway_number - first) % self.settings.gateway_count
        place = (at - owner_position(account.tag, account.spread)) % account.spread
        return REST_CEILING * slice_of(account.plan.hard_limit_burst * REST_CEILING, account.spread, place)

    def forget(self, now: float, open_requests: Iterable[Request]) -> None:
        """Forget customers of whom nothing is open and whose buckets and stores are full again: they begin
        anew with no more than that, so no quota is granted twice. Danger: among 50,000 a look at all of them
        holds up everything else for 0.1 s and more; so each time a part of them is looked at."""
        open_now = {id(request.account) for request in open_requests}
        for name in part_of(self.accounts, self.accounts_left):
            account = self.accounts[name]
            plan, gone_s = account.plan, (now - account.at_ms) / 1000
            idle = gone_s * 1000 > FORGET_MS and id(account) not in open_now and not account.out
            fills = plan.hard_limit_per_s * account.slice * gone_s
            full = account.ceiling + fills >= plan.hard_limit_burst * account.slice
            if (
                idle
                and account.own + plan.rate_per_s / account.spread * gone_s >= 0
                and (full or plan.name not in self.plan_index)
            ):
                del self.accounts[name]
        for key in part_of(self.stores, self.stores_left):
            if now - self.stores[key].at_ms > FORGET_MS and is_full(self.stores[key], now, HOME_CEILING):
                del self.stores[key]

    def request(self, now: float, request: Request) -> bool:
        """May this try go on? Where the bucket here lacks units, its home is asked."""
        account, plan, units = request.account, request.plan, request.arrival.units
        if not (plan.rate_per_s or plan.max_in_flight or plan.hard_limit_per_s):
            return True  # nothing is counted, so there is nothing to ask
        if plan.rate_per_s and not plan.max_in_flight and units <= account.own and self.draw(now, request):
            return True
        # Danger: who asks for many times its quota, or repeats without end, floods its home's inbox, and
        # what is lost there is everyone's. So only so many ask as a home can hear.
        heard = max(INBOX_PART * self.settings.peer_inbox_per_s, ASK_MOST * plan.rate_per_s)
        if not self.settings.peer_inbox_per_s or self.rng.random() * account.total <= heard:
            self.ask(now, request)
        return False

    def draw(self, now: float, request: Request) -> bool:
        """Send on from the buckets here, where the slice of the ceiling allows; the home is told."""
        account, units = request.account, request.arrival.units
        if request.plan.hard_limit_per_s and units > account.ceiling:
            return False
        account.own, account.ceiling, request.paid = account.own - units, account.ceiling - units, units
        self.tell_home(now, QuotaMessageKind.SPENT, request)
        return True

    def is_lost(self, now: float, other: int) -> bool:
        """Whether a gateway that spoke to us in this life has been silent for so long that each of us goes by
        its own part. Both reckon from what they heard last, so what the two take to be so is the same."""
        return now - self.last_ms.get(other, now) > self.hold_ms

    def is_heard(self, now: float, other: int) -> None:
        """A gateway has told us something. If it was silent, it may not have heard what we told it."""
        self.heard_ms[other] = self.last_ms[other] = now
        self.heard += 1
        self.silent.discard(other)
        for ms, item in self.unheard.pop(other, ()):
            if now - ms <= UNHEARD_MS:
                self.say(now, other, item)

    def part_here(self, now: float, store: Store) -> float:
        """The part of a quota that its home grants by: all but the even parts of members that are lost. They
        may be dead, or cut off and live by those parts."""
        lost = 0
        for other in store.members:
            if self.is_lost(now, other):
                recent = self.last_ms[other] - store.askers.get(other, -math.inf) <= 2 * DEMAND_MEMORY_MS
                lost += recent or self.pings_all()
        return 1 - lost / (1 + len(store.members))

    def step(self, now: float) -> None:
        """One period has gone by."""
        keep = math.exp(-PERIOD_MS / TALKING_MS)
        self.heard *= keep
        self.told = {other: count * keep for other, count in self.told.items() if count > 0.1}
        self.ping(now)

    def pings_all(self) -> bool:
        return self.settings.gateway_count - 1 <= PING_ALL

    def ping(self, now: float) -> None:
        """A life sign, where nothing else was told of late, to the homes of our customers."""
        if self.settings.can_message_peers and not self.heir:
            gap_ms = ping_ms(self.settings)
            wide = (
                range(self.settings.gateway_count)
                if self.pings_all()
                else ({account.home for account in self.accounts.values()})
            )
            for other in wide:
                if (
                    other != self.settings.gateway_number
                    and now - self.told_ms.get(other, -math.inf) >= gap_ms
                ):
                    self.outbox.setdefault(other, [])

    def ask(self, now: float, request: Request) -> None:
        request.asks, request.asked_ms = request.asks + 1, now
        self.tell_home(
            now,
            QuotaMessageKind.RETRY_GRANT_REQUEST
            if request.arrival.is_client_retry
            else QuotaMessageKind.GRANT_REQUEST,
            request,
        )
        if not request.answered:
            patience = max(ASK_LEAST_MS, ASK_TIMES * self.rtt_ms) * (request.account.home not in self.silent)
            last_ms = request.came_ms + ASK_PART * request.kind.latency_objective_ms
            self.plan_at(min(now + patience, max(now, last_ms)), "ask", request.arrival.id)

    def unanswered(self, now: float, request: Request) -> bool:
        """The home has not answered: ask again, then send on credit. A quiet customer's lone request so goes
        on at any gateway; over all, each sends one and then waits for its part of the quota."""
        if request.answered:
            return False  # it waits at its home
        account = self.account(now, request.arrival, request.plan)
        in_time = (
            request.asks < ASK_TRIES and now < request.came_ms + ASK_PART * request.kind.latency_objective_ms
        )
        if in_time and account.home not in self.silent:
            self.ask(now, request)
            return False
        self.silent.add(account.home)
        self.plan_at(now + TELL_MS, "ask", request.arrival.id)
        # Of who asked for more than its quota when its home was heard, so many go on as its quota is of that.
        if now - account.told_ms < CREDIT_MS and self.rng.random() * account.told > (
            request.plan.rate_per_s or math.inf
        ):
            return False
        return (
            account.own >= 0 and not (request.plan.max_in_flight and account.out) and self.draw(now, request)
        )

    def tell_home(self, now: float, kind: QuotaMessageKind, request: Request) -> None:
        account, place = request.account, self.plan_index.get(request.plan.name)
        if place is None:  # of a plan that was dropped nobody has a store; a slot ends by its time
            return
        if not request.serial:
            self.serial = request.serial = self.serial % 0xFFFF + 1
            self.asking[request.serial] = request
        item = QuotaMessage(
            kind,
            account.tag,
            request.serial,
            request.arrival.units,
            account.asked * 1000 / DEMAND_MEMORY_MS,
            self.class_index.get(request.kind.name, 0),
            place,
            account.spread,
        )  # what goes back is of any
        self.say(now, account.home, item)
        if kind is QuotaMessageKind.SPENT and account.home in self.silent:
            late = now, item._replace(kind=QuotaMessageKind.LATE)
            self.unheard[account.home] = [*self.unheard.get(account.home, ())[1 - UNHEARD_MOST :], late]

    def close(self, now: float, request: Request) -> None:
        """The request has ended: what it drew and did not use goes back, and its slot is free."""
        self.asking.pop(request.serial, None)
        if request.serial and request.paid and request.attempts and not request.plan.max_in_flight:
            self.used.pop(request.serial, None)  # the newest last, also when the numbers have come round
            self.used[request.serial] = now
            while now - next(iter(self.used.values())) > DONE_MS:
                del self.used[next(iter(self.used))]
        if request.paid and (not request.attempts or request.plan.max_in_flight):
            self.tell_home(now, QuotaMessageKind.RETURNED, request)

    def say(self, now: float, gateway: int, item: QuotaMessage, boot: int = -1) -> None:
        """`boot`: of which life of that gateway, if not ours. Of our own number another process may live."""
        if gateway == self.settings.gateway_number and not self.heir and boot in (-1, self.boot):
            self.hear(now, gateway, self.boot, item)
        elif self.settings.can_message_peers or gateway == self.settings.gateway_number:
            self.outbox.setdefault(gateway, []).append(item)

    def post(self, now: float, most: int) -> list[tuple[int, list[QuotaMessage]]]:
        """What each gateway is told now, `most` items each. Danger: what comes faster than an inbox takes is
        lost; so while ours is half full, which stands in for our peers', business waits for more to go."""
        self.heard_ms = {other: ms for other, ms in self.heard_ms.items() if now - ms <= TALKING_MS}
        room = TELL_PART * self.settings.peer_inbox_per_s or math.inf

        def gap(other: int) -> float:
            full = min(1.0, max(0.0, 2 * self.heard / room - 1))
            if other not in self.heard_ms:  # what we tell it stands in for what its inbox gets
                full = max(full, min(1.0, 4 * self.told.get(other, 0.0) / room))
            return min(GAP_MOST_MS, full * max(1, len(self.heard_ms)) * 1000 / room)

        ready = [other for other in self.outbox if now > self.told_ms.get(other, -math.inf) + gap(other)]
        posts = [(other, self.outbox.pop(other)) for other in ready]
        for other, items in posts:
            self.told_ms[other], self.told[other] = now, self.told.get(other, 0.0) + 1
            if len(items) > most:
                self.outbox[other] = items[most : OUTBOX_MESSAGES * most]
        if self.outbox and now >= self.flush_ms:
            self.flush_ms = now + max(self.settings.tick_ms, min(map(gap, self.outbox)) / 2)
            self.plan_at(self.flush_ms, "flush", -1)
        return [(other, items[:most]) for other, items in posts]

    def hear(self, now: float, sender: int, boot: int, item: QuotaMessage) -> None:
        if item.kind not in (QuotaMessageKind.GRANT, QuotaMessageKind.QUEUED, QuotaMessageKind.DENIED):
            if not self.heir:
                self.at_home(now, (sender, boot, item.serial), item)
            return
        request = self.asking.get(item.serial)
        if request is None or request.account.tag != item.customer_tag or request.account.home != sender:
            # It has ended meanwhile. Danger: a question asked twice is granted twice, and where the first
            # grant was used the second is no unit to give back. Seen: a third of what went out beyond quotas.
            if item.kind is QuotaMessageKind.GRANT and item.serial not in self.used:
                self.say(now, sender, item._replace(kind=QuotaMessageKind.RETURNED))
            return
        account = request.account
        account.total, account.total_ms = item.demand_per_s, now
        account.told, account.told_ms = account.total, now
        if request.asks == 1 and not request.answered:
            self.rtt_ms += (now - request.asked_ms - self.rtt_ms) * USUAL_GAIN
        request.answered = True
        if item.kind is QuotaMessageKind.DENIED:
            self.denied(request)
        elif not request.paid:
            request.paid = request.arrival.units * (item.kind is QuotaMessageKind.GRANT)
            if not request.paid:  # its home drops it then, so nothing is waited for any longer
                kept_ms = request.kind.latency_objective_ms * (1 - ANSWER_PART)
                self.plan_at(request.asked_ms + kept_ms, "expired", request.arrival.id)
            self.answered(request, item.kind is QuotaMessageKind.GRANT)

    def at_home(self, now: float, key: tuple[int, int, int], item: QuotaMessage) -> None:  # noqa: C901
        plan, kind = self.settings.plans[item.plan_index], self.settings.classes[item.class_index]
        name = store_name(item)
        store = (
            self.stores.get(name)
            or self.stores.pop(old_store_name(item), None)
            or Store(plan, plan.burst, now, kept=plan.burst, born_ms=now)
        )
        self.stores[name] = store
        if not store.members and item.gateway_set_size > 1:
            first = self.settings.gateway_number - owner_position(item.customer_tag, item.gateway_set_size)
            store.members = tuple(
                {(first + place) % self.settings.gateway_count for place in range(item.gateway_set_size)}
                - {self.settings.gateway_number}
            )
        queued = any(ask.key == key for ask in store.queue)
        asked = item.kind in (QuotaMessageKind.GRANT_REQUEST, QuotaMessageKind.RETRY_GRANT_REQUEST)
        if asked:
            if key[0] not in store.askers and now - store.born_ms <= DEMAND_MEMORY_MS:
                begin_with(store, item.demand_per_s - item.units * 1000 / DEMAND_MEMORY_MS)
            store.askers[key[0]] = now
        if asked and key in store.done:
            if key in store.spent:
                store.backs.add(key)  # it went out on credit; its grant comes too late and is given back
            self.reply(now, QuotaMessageKind.GRANT, key, item, store)  # the first answer was lost
        elif asked and not queued:
            store.asked += item.units
            worth = kind.priority_weight if item.kind is QuotaMessageKind.GRANT_REQUEST else 0.0
            ask = Ask(key, item, worth, now, now + kind.latency_objective_ms * (1 - ANSWER_PART))
            store.queue.append(ask)
            self.serve(now, name)
            if ask in store.queue:
                self.reply(now, QuotaMessageKind.QUEUED, key, item, store)
        elif item.kind in (QuotaMessageKind.SPENT, QuotaMessageKind.LATE) and key in store.spent:
            pass  # it was heard before
        elif item.kind in (QuotaMessageKind.SPENT, QuotaMessageKind.LATE) and key not in store.done:
            store.queue = [ask for ask in store.queue if ask.key != key]
            store.asked += 0.0 if queued else item.units
            # What was kept back for it while it could not be heard.
            kept = min(store.kept, item.units) if item.kind is QuotaMessageKind.LATE else 0.0
            store.kept, store.level = store.kept - kept, store.level + kept
            level = store.level
            self.book(now, store, key, item, 0.0)
            # Danger: what goes beyond a quota takes nothing of it. Seen at 60 gateways, for ten seconds after
            # a split: 28 to 48 % of tries refused with half of their quota unused, for debts of that split.
            if item.kind is QuotaMessageKind.LATE and level < item.units:
                store.level = level
            store.spent.add(key)
        elif item.kind in (QuotaMessageKind.SPENT, QuotaMessageKind.LATE):
            store.spent.add(key)
            # Danger: it went out on credit, and the grant that comes too late would be given back. Seen: 21
            # units beyond a quota of 20 s, with messages late by 200 ms. If it was given back, it is booked.
            if key in store.backs and not plan.max_in_flight:
                store.level = max(min(-plan.burst, store.level), store.level - item.units)
            store.backs.add(key)
        elif item.kind is QuotaMessageKind.RETURNED:
            free = store.leases.pop(key, None) is None and key in store.done and not plan.max_in_flight
            if free and key not in store.backs:  # once: two late grants bring two of them
                store.backs.add(key)
                store.level = min(plan.burst, store.level + item.units)
            self.serve(now, name)

    def serve(self, now: float, name: int) -> None:
        """Lend to those that wait, the worthiest first, of equal worth the newest."""
        store, top = self.stores[name], self.top_worth
        gone_s, plan = (now - store.at_ms) / 1000, store.plan
        store.at_ms = now
        store.asked *= math.exp(-gone_s * 1000 / DEMAND_MEMORY_MS)
        part = self.part_here(now, store)
        kept = store.kept + plan.rate_per_s * (1 - part) * gone_s
        store.kept = min(plan.burst, kept) * (1.0 if part < 1 else math.exp(-gone_s * 1000 / TALKING_MS))
        store.level = min(plan.burst, store.level + plan.rate_per_s * part * gone_s)
        ceiling_per_s = plan.hard_limit_per_s * HOME_CEILING
        store.ceiling = min(plan.hard_limit_burst * HOME_CEILING, store.ceiling + ceiling_per_s * gone_s)
        store.queue = sorted(
            (ask for ask in store.queue if ask.until_ms > now), key=lambda ask: (ask.worth, ask.came_ms)
        )
        if plan.max_in_flight:
            store.leases = {key: until for key, until in store.leases.items() if until > now}
        while store.queue:
            ask, wait_s = store.queue[-1], 0.0
            if plan.rate_per_s:
                # Lesser worth leaves a reserve; a client's repeat, whose aim has mostly gone by, the most.
                left = spare(store, ask, top)
                wait_s = (ask.item.units + left - store.level) / (plan.rate_per_s * part)
            if plan.hard_limit_per_s:
                wait_s = max(wait_s, (ask.item.units - store.ceiling) / ceiling_per_s)
            if plan.max_in_flight and len(store.leases) >= plan.max_in_flight:
                wait_s = max(wait_s, (min(store.leases.values()) - now) / 1000)
            if wait_s > 0:
                if plan.rate_per_s and not plan.max_in_flight:
                    self.deny(now, store, top, plan.rate_per_s * part)
                if store.queue and not now < store.wake_ms <= now + wait_s * 1000 + PERIOD_MS:
                    store.wake_ms = now + wait_s * 1000 + self.settings.tick_ms
                    self.plan_at(store.wake_ms, "store", name)
                return
            store.queue.pop()
            self.book(now, store, ask.key, ask.item, ask.item.units)
            self.reply(now, QuotaMessageKind.GRANT, ask.key, ask.item, store)

    def deny(self, now: float, store: Store, top: float, rate: float) -> None:
        """Who can't have its turn in time, by what the store lacks and who is before it, is told at once: it
        would wait for nothing, on a connection that others want."""
        ahead, kept = 0.0, list[Ask]()
        for ask in reversed(store.queue):
            wait_s = (ahead + ask.item.units + spare(store, ask, top) - store.level) / rate
            if now + wait_s * 1000 > ask.until_ms:
                self.reply(now, QuotaMessageKind.DENIED, ask.key, ask.item, store)
            else:
                kept.append(ask)
                ahead += ask.item.units
        store.queue = kept[::-1]

    def book(
        self, now: float, store: Store, key: tuple[int, int, int], item: QuotaMessage, ceiling: float
    ) -> None:
        if len(store.done) > DONE_LEAST and now - next(iter(store.done.values())) > DONE_MS:
            store.done = {old: ms for old, ms in store.done.items() if now - ms <= DONE_MS}
            store.backs &= store.done.keys()
            store.spent &= store.done.keys()
        store.done[key] = now
        floor = min(-store.plan.burst, store.level)  # it may have had more to owe by
        store.level, store.ceiling = max(floor, store.level - item.units), store.ceiling - ceiling
        if store.plan.max_in_flight:
            store.leases[key] = (
                now + LEASE_AIMS * self.settings.classes[item.class_index].latency_objective_ms
            )

    def reply(
        self, now: float, kind: QuotaMessageKind, key: tuple[int, int, int], item: QuotaMessage, store: Store
    ) -> None:
        asked = store.asked * 1000 / DEMAND_MEMORY_MS
        self.say(now, key[0], item._replace(kind=kind, demand_per_s=asked), key[1])


class Servers(ServersState):
    """Which server gets an attempt: the least expected time, by load, speed, failures and zone."""

    def update(self, now: float, fleet: EndpointsUpdated) -> list[Backend]:
        """Take in discovery's view; the answer is the servers that just left service."""
        before = self.warm + self.cold
        listed = {server.id for server in fleet.endpoints}
        for name, backend in self.known.items():
            if fleet.is_snapshot and name not in listed:
                backend.entry = replace(backend.entry, state=EndpointState.GONE)
        for server in fleet.endpoints:
            known = self.known.get(server.id)
            if known is None or known.entry.started_ms != server.started_ms:  # what restarted has no past
                known = self.known[server.id] = Backend(server, place=subsetting.place_of(server.id))
            known.entry = server
        self.forget()
        self.sort(now)
        return [backend for backend in before if backend.entry.state is not EndpointState.READY]

    def order(self, now: float, call: CommandKind, name: str) -> str:
        """The operator's word on a server; what is wrong with it, or nothing."""
        if call is CommandKind.DISABLE:
            wrong = self.bans.disable(name, self.known)
        else:
            back, wrong = name in self.bans, self.bans.enable(now, name, self.known)
            if back and name in self.known:  # it is a new life, and has no past
                old = self.known[name]
                self.known[name] = Backend(old.entry, place=old.place)
                self.by_tag = endpoints_by_tag(self.known)
        self.sort(now)
        return wrong

    def forget(self) -> None:
        """Of servers that have gone nothing is kept, once nothing is out there: ids may be ever new."""
        self.known = {
            name: backend
            for name, backend in self.known.items()
            if backend.entry.state is not EndpointState.GONE or backend.out
        }
        self.by_tag = endpoints_by_tag(self.known)

    def sort(self, now: float) -> None:
        """The servers that are ready, by warmth."""
        self.warm, self.cold, self.capacity = [], [], 0.0
        ready = [
            (backend, self.warmth(now, backend))
            for name, backend in self.known.items()
            if backend.entry.state is EndpointState.READY and name not in self.bans
        ]
        for backend, share in ready:
            (self.warm if share >= 1 else self.cold).append(backend)
            self.capacity += share
        self.reference = max(self.capacity, self.reference)
        ready.sort(key=lambda row: (row[0].place, row[0].entry.id))
        arc = set(
            map(id, subsetting.arc_of(ready, self.settings.gateway_count, self.settings.gateway_number))
        )
        self.near = [backend for backend in self.warm if id(backend) in arc]
        self.near_cold = [backend for backend in self.cold if id(backend) in arc]
        self.near_part = subsetting.share(self.capacity, self.settings.gateway_count)

    def step(self, now: float) -> None:
        """One period has gone by."""
        self.reference = max(self.capacity, self.reference * math.exp(-PERIOD_MS / FLEET_MEMORY_MS))
        self.sends *= math.exp(-PERIOD_MS / REPORT_MEMORY_MS)
        if self.cold:
            self.sort(now)
        if any(backend.entry.state is EndpointState.GONE for backend in self.known.values()):
            self.forget()
        self.suspects = [
            backend
            for backend in self.suspects
            if backend.entry.state is EndpointState.READY
            and max(self.failing(now, backend, name) for name in self.names) >= EJECT_FROM
        ]
        self.out_of.clear()

    def idle(self, now: float) -> float:
        """How idle the servers say they are, from 0, also where nothing is known, to 1."""
        known = now - self.util_ms <= IDLE_OLD_MS
        return max(0.0, min(1.0, (IDLE_FROM - self.util) / (IDLE_FROM - IDLE_ALL))) if known else 0.0

    def ejected(self, now: float, name: str) -> set[int]:
        """The warm servers, by `id`, that get nothing of a class since they fail it: the worst, a bounded
        part. Danger: our own network, or an overload, makes all look bad, and to put them out empties the
        list. So more than a part is nobody's verdict: then cost alone decides."""
        if name not in self.out_of:
            worst = sorted(
                (
                    (self.failing(now, backend, name), place)
                    for place, backend in enumerate(self.suspects)
                    if backend in self.warm and sum(backend.seen.values()) >= EJECT_LEAST
                ),
                reverse=True,
            )
            worst = [row for row in worst if row[0] >= EJECT_FROM]
            calm = len(worst) <= EJECT_PANIC * len(self.warm)
            most = int(EJECT_MOST * len(self.warm)) if calm else 0
            self.out_of[name] = {id(self.suspects[place]) for _, place in worst[:most]}
        return self.out_of[name]

    def warmth(self, now: float, backend: Backend) -> float:
        """The share of its capacity that a server surely has by now."""
        began_ms = self.bans.began_ms(now, backend.entry.id, backend.entry.started_ms)
        age, warm_up = now - began_ms, self.settings.slow_start_ms
        if not began_ms or age >= warm_up:
            return 1.0
        return (
            self.settings.slow_start_initial_ratio
            + (1 - self.settings.slow_start_initial_ratio) * max(0.0, age) / warm_up
        )

    @staticmethod
    def slow(now: float, backend: Backend) -> float:
        return 1 + (backend.slow - 1) * math.exp((backend.seen_ms - now) / SLOW_MEMORY_MS)

    def failing(self, now: float, backend: Backend, name: str) -> float:
        """The share of a class that a server fails; other classes' stands in for what is not known."""
        if not backend.bad:
            return 0.0
        fade = math.exp((backend.seen_ms - now) / FAIL_MEMORY_MS)
        overall = fade * sum(backend.bad.values()) / (fade * sum(backend.seen.values()) + 2)
        return (fade * backend.bad.get(name, 0.0) + overall) / (fade * backend.seen.get(name, 0.0) + 1)

    def choose(  # noqa: C901  (to be split by concern)
        self,
        now: float,
        request: Request,
        group: list[Backend] | None,
    ) -> Backend | None:
        """A server for one more attempt. `group`: the only ones that rule 2 allows, where it binds."""
        warm = self.near if group is None else [backend for backend in self.near if backend in group]
        if len(warm) < FEW_NEAR:  # of the arc too few are left
            warm = self.warm if group is None else [backend for backend in self.warm if backend in group]
        name, best, best_cost = request.kind.name, None, math.inf
        fragile = 2 if request.kind.idempotency is Idempotency.NON_IDEMPOTENT else 1
        if self.near_cold and now >= request.toss_ms:
            # Danger: a cold server falls over for good when all gateways overdo it. So chance decides, once
            # for each attempt: over all gateways it gets the part that its warmth is of the fleet of late.
            request.toss_ms = now + (TOSS_MS if self.warm else TOSS_ALONE_MS)
            for backend in self.near_cold:  # one that the operator put back shows at once whether it serves
                free = backend not in request.tried and (group is None or backend in group)
                if free and self.bans.is_owed(now, backend.entry.id) and self.may_warm(now, backend):
                    return backend
            # With few warm ones it gets more, as far as the rule's multiple surely allows: what the warm ones
            # cannot carry would wait for a place that nobody has.
            fleet = max(self.capacity, self.reference / max(1.0, COLD_PART * self.settings.overload_multiple))
            toss = self.rng.random() * fleet * self.near_part
            for backend in self.near_cold:
                toss -= self.warmth(now, backend)
                if toss < 0:
                    barred = backend in request.tried or group is not None and backend not in group
                    if (
                        not barred
                        and self.failing(now, backend, name) < COLD_FAILING
                        and (self.may_warm(now, backend))
                    ):
                        return backend
                    break
        # Who seldom sends to each compares few: its news is old or known to all, who would crowd the best.
        count = math.ceil(LEAST_CHOICE + CHOICE_PER_SEND * self.sends / max(1, len(warm)))
        if self.suspects:
            out = self.ejected(now, name)
            warm = [backend for backend in warm if id(backend) not in out] or warm
        pool = warm
        if request.tried:
            pool = [backend for backend in warm if backend not in request.tried] or warm
        # The dearest loop of all: what would multiply by one is left out.
        zone, chance, scatter = self.settings.zone, self.rng.random, SCATTER - 1.0
        for backend in self.rng.sample(pool, count) if count < len(pool) else pool:
            entry, cost = backend.entry, 1.0 + backend.out
            if backend.others:
                cost += backend.others * math.exp(max(-50.0, (backend.report_ms - now) / REPORT_MEMORY_MS))
            if backend.slow != 1.0:
                cost *= self.slow(now, backend)
            cost /= max(0.01, entry.weight)
            if backend.bad:
                cost *= 1 + fragile * FAIL_WEIGHT * self.failing(now, backend, name) ** 2
            if entry.zone != zone:
                cost *= ZONE_COST
            cost *= 1.0 + scatter * chance()
            if cost < best_cost:
                best, best_cost = backend, cost
        return best

    def may_warm(self, now: float, backend: Backend) -> bool:
        """Whether a cold server may be sent one more of ours. Chance alone gives it its part on the mean, and
        now and then several times that within the rule's window; so we send no more than the multiple of what
        a warm server gets of us, by its warmth. What all of us send then keeps the budget at any load."""
        window_ms = self.settings.overload_window_ms
        backend.cold_ms = [ms for ms in backend.cold_ms if now - ms < window_ms]
        count = max(1.0, len(self.near), self.reference * self.near_part)  # of late: a few would have more
        usual = self.sends * window_ms / REPORT_MEMORY_MS / count
        if len(backend.cold_ms) >= max(
            1.0, self.settings.overload_multiple * self.warmth(now, backend) * usual
        ):
            return False
        backend.cold_ms.append(now)
        return True

    def report(self, now: float, backend: Backend, load: tuple[float, ...]) -> None:
        values = dict(zip(self.settings.load_report_fields, load, strict=False))
        busy = UTIL_LOAD * max(0.0, min(1.0, values.get("util", 0.0)))
        backend.others = max(0.0, values["inflight"] - backend.out) if "inflight" in values else busy
        backend.report_ms = now
        if "util" in values:
            gain = max(USUAL_GAIN, -math.expm1(max(-50.0, (self.util_ms - now) / IDLE_MEMORY_MS)))
            self.util += (busy / UTIL_LOAD - self.util) * gain
            self.util_ms = now

    def learn(self, now: float, backend: Backend, name: str, ratio: float, weight: float) -> None:
        """One outcome: its time against the usual, or inf where it failed. Full is a failure too: what
        answers fast without serving looks idle and draws all there is."""
        fade, backend.slow = math.exp((backend.seen_ms - now) / FAIL_MEMORY_MS), self.slow(now, backend)
        backend.seen = {other: n * fade for other, n in backend.seen.items() if other in self.names}
        backend.bad = {other: n * fade for other, n in backend.bad.items() if other in self.names}
        backend.seen[name] = backend.seen.get(name, 0.0) + weight
        if ratio == math.inf:
            backend.bad[name] = backend.bad.get(name, 0.0) + weight
            if backend not in self.suspects:
                self.suspects.append(backend)
        elif ratio > HEDGE_TIMES:  # it was taken for silence, and is not
            backend.bad[name] = max(0.0, backend.bad.get(name, 0.0) - weight)
        if ratio < math.inf:  # against the fleet's mean: a slowdown of all blames none
            backend.slow += (min(SLOW_MOST, ratio) - backend.slow) * SLOW_GAIN * weight
        backend.seen_ms = now
        if weight > HEARD_WEIGHT:  # first-hand: worth telling
            if ratio == math.inf:
                backend.accused[-1] = now
            if name in self.names:  # it may have been dropped
                seen = outlier_report(backend.entry.id, self.names[name], ratio)
                self.sightings = [*self.sightings[1 - MAX_OUTLIER_REPORTS :], (now, seen)]

    def hear(self, now: float, sender: int, sightings: tuple[OutlierReport, ...]) -> None:
        """What a peer saw weighs the less the more we see ourselves, or all would flee and crowd alike.
        Danger: a peer may be wrong, by its own network or a fault. Its words on one server count once in a
        while, and a failure that it tells only if another peer, or we, saw one too."""
        weight = HEARD_WEIGHT / (1 + CHOICE_PER_SEND * self.sends / max(1, len(self.near)))
        for seen in sightings:
            backend = self.by_tag.get(seen.endpoint_tag)
            if backend is None or now - backend.words.get(sender, -math.inf) < WORD_GAP_MS:
                continue
            backend.words[sender] = now
            ratio = latency_ratio_of(seen)
            if ratio == math.inf:
                backend.accused = {
                    other: ms for other, ms in backend.accused.items() if now - ms <= FAIL_MEMORY_MS
                }
                backend.accused[sender] = now
                if len(backend.accused) < 2:
                    continue
            self.learn(now, backend, self.settings.classes[seen.class_index].name, ratio, weight)


class Controller:
    """One gateway's decisions. The same events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng, self.codec = settings, random.Random(seed), PeerMessageCodec(settings)
        self.classes = {kind.name: kind for kind in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.window, self.servers = (
            Window(settings.gateway_count),
            Servers(
                settings,
                self.rng,
                {name: n for n, name in enumerate(self.classes)},
                Bans(settings.slow_start_ms),
            ),
        )
        self.shares = {
            kind.name: FuzzyShare(kind.latency_objective_ms * (1 - ANSWER_PART), 1 / len(settings.classes))
            for kind in settings.classes
        }
        self.waits: dict[str, list[float]] = {kind.name: [] for kind in settings.classes}
        self.usual = {
            kind.name: min(USUAL_START_MS, kind.latency_objective_ms / 4) for kind in settings.classes
        }
        self.quota = Quota(
            settings,
            self.rng,
            self.plan_at,
            self.on_answer,
            self.on_denied,
            ASK_START_MS,
            self.rng.randrange(1 << 16),
        )
        # What the worthiest request inside its quota is worth.
        self.top_rank = (
            max(kind.priority_weight for kind in settings.classes)
            * max(plan.priority_factor for plan in settings.plans)
            or 1.0
        )
        self.timely = {kind.name: 1.0 for kind in settings.classes}  # share of answers within their aim
        self.requests: dict[int, Request] = {}
        self.held: list[Request] = []
        self.attempts: dict[tuple[int, int], Attempt] = {}
        # Of overdue attempts by class, and closer: class and hall, class and server.
        self.late: dict[tuple[str, ...], Late] = {(kind.name,): Late() for kind in settings.classes}
        self.agenda: list[tuple[float, int, str, int]] = []
        self.serial, self.budget, self.now, self.stalled = 0, RETRY_MOST / 2, -1.0, False
        self.wake_ms = math.inf  # the wake-up that is asked for
        self.tidy_ms, self.begun = 0.0, False
        self.draining = Draining()
        self.admits: Callable[[RequestReceived], bool] | None = (
            None  # budgets of the whole tier, where there are any
        )
        self.faults: list[Exception] = []  # raised by events of this turn
        self.actions: list[Action] = []

    def silent_homes(self) -> frozenset[int]:
        """The gateways that left a question unanswered and have told nothing since."""
        return frozenset(self.quota.silent)

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Take in what happened at this time and return what to do."""
        first, self.stalled = self.now < 0, 0 <= self.now < now_ms - STALL_PERIODS * PERIOD_MS
        self.now, self.actions, self.faults = now_ms, list[Action](), []
        if now_ms >= self.wake_ms - CLOCK_GRAIN_MS:
            self.wake_ms = math.inf
        left: list[Backend] = []
        if first:
            self.plan_at(now_ms, "period")
            self.plan_at(now_ms, "subscribe")
        self.begun = self.begun or self.stage(self.quota.begin, now_ms)
        for event in events:
            self.stage(self.take_in, event, left)
        for request in list(self.requests.values()) if left and self.settings.can_hedge else ():
            self.stage(self.copy_elsewhere, request, left)
        while self.agenda and self.agenda[0][0] <= now_ms + CLOCK_GRAIN_MS:
            _, _, what, number = heapq.heappop(self.agenda)
            if what == "period":  # first of all, so that the next one comes whatever fails
                self.plan_at(now_ms + PERIOD_MS, "period")
            self.stage(self.due, what, number)
        self.stage(self.release)
        self.stage(self.post)
        if not self.stage(self.set_wake):
            self.wake_ms = now_ms + PERIOD_MS
            self.actions.append(SetTimer(PERIOD_MS, "agenda"))
        return self.actions

    def stage(self, step: Callable[..., object], *what: Any) -> bool:
        """A part of the turn. If it fails, whoever calls tells it; the turn's other parts go on."""
        try:
            step(*what)
        except Exception as problem:
            self.faults.append(problem)
            return False
        return True

    def take_in(self, event: Event, left: list[Backend]) -> None:  # noqa: C901  (to be split by concern)
        """One event; the servers that leave service by it are added to those that left."""
        match event:
            case AttemptCompleted():
                self.on_outcome(event)
            case RequestReceived():
                self.on_arrival(event)
            case ResponseStarted() if event.id in self.requests:
                self.requests[event.id].streaming = True
                self.requests[event.id].once |= not event.is_body_retained
                self.cancel_others(self.requests[event.id], event.attempt)
            case ClientDisconnected() if event.id in self.requests:
                self.close(self.requests[event.id])
            case PeerMessageReceived():
                self.on_heard(event)
            case OperatorCommand():
                self.on_order(event)
            case SettingsChanged():
                wrong = reconfiguration.apply(self, self.now, event.settings)
                self.actions.append(CommandCompleted(event.id, wrong))
            case ExportState():
                self.actions.append(StateExported(snapshot.leave(self)))
            case ImportState():
                snapshot.take_over(self, self.now, event.state)
            case ResumeAfterFailedHandover():
                snapshot.resume(self, self.now)
            case EndpointsUpdated() if not event.is_failure:
                left += self.servers.update(self.now, event)
                self.window.set_limit(self.servers.capacity)
            case EndpointsUpdated():
                self.plan_at(self.now + self.settings.watch_retry_ms / 4, "subscribe")

    def copy_elsewhere(self, request: Request, left: list[Backend]) -> None:
        """A server that leaves may be dead before it has answered: safe work out there goes elsewhere too."""
        at_risk = len(request.out) == 1 and next(iter(request.out.values())) in left
        if at_risk and request.kind.idempotency is Idempotency.IDEMPOTENT and not request.streaming:
            self.again(request)

    def post(self) -> None:
        """Tell the others what is due to them."""
        posts = self.quota.post(self.now, self.codec.max_quota_messages) if self.quota.outbox else []
        seen = [seen for ms, seen in self.servers.sightings if self.now - ms <= SIGHTING_MS] if posts else []
        for gateway, items in posts:
            self.stage(self.tell, gateway, items, seen)

    def tell(self, gateway: int, items: list[QuotaMessage], seen: list[OutlierReport]) -> None:
        data = self.codec.encode(self.quota.boot, self.window.room, items, seen)
        self.actions.append(SendPeerMessage(gateway, data))

    def plan_at(self, at_ms: float, what: str, number: int = -1) -> None:
        """Put a thing on the agenda."""
        self.serial += 1
        heapq.heappush(self.agenda, (at_ms, self.serial, what, number))

    def set_wake(self) -> None:
        """One wake-up, for what comes first: most of the agenda is of requests that end before, and a
        wake-up for each cannot be withdrawn and costs a turn."""
        agenda = self.agenda
        while agenda[0][2] in OF_REQUESTS and agenda[0][3] not in self.requests:
            heapq.heappop(agenda)
        if agenda[0][0] < self.wake_ms:
            self.wake_ms = agenda[0][0]
            self.actions.append(SetTimer(max(0.0, self.wake_ms - self.now), "agenda"))

    def due(self, what: str, number: int) -> None:  # noqa: C901  (to be split by concern)
        request = self.requests.get(number)
        if what == "period":
            self.stage(self.step_shares)
            self.stage(self.quota.step, self.now)
            self.stage(self.servers.step, self.now)
            if self.now >= self.tidy_ms:
                self.tidy_ms = self.now + TIDY_MS
                self.stage(self.tidy)
            self.window.idle = self.servers.idle(self.now) * self.timely_part()
            self.window.step(self.now, self.servers.capacity)
        elif what == "store":
            self.quota.stores[number].wake_ms = math.inf
            self.quota.serve(self.now, number)
        elif what == "door":
            self.actions.append(SetAdmissionState(self.draining.stage(self.now)))
        elif what == "subscribe":
            self.actions += [WatchEndpoints()] * self.settings.must_request_watch
        elif request is None or request.streaming:
            return
        elif what == "ask":
            if request.waiting and self.quota.unanswered(self.now, request):
                self.let_in(request)
        elif what == "expired":
            self.on_denied(request)
        elif what == "hedge":  # a second copy for an attempt that takes too long, while there is room
            for backend in request.out.values() if not self.stalled else ():  # silence is a failure too
                self.servers.learn(self.now, backend, request.kind.name, math.inf, SUSPECT)
            room = self.settings.can_hedge and self.window.mean_out < HEDGE_ROOM * self.window.limit
            if room and len(request.out) == 1:
                (number,) = request.out
                chance = self.late_chance(self.attempts[request.arrival.id, number])
                if chance < COPY_CHANCE:
                    self.again(request, chance)
            self.on_overdue(request)
        elif what == "overdue":
            self.on_overdue(request)
        elif what == "due" or request.attempts == 0:
            # The guard of rule 1: an answer before the client's time is up. And what can no longer be
            # answered in time is refused while a retry may help.
            self.refuse_or_fail(request)

    def on_overdue(self, request: Request) -> None:
        """An attempt is out for so long that it may never be answered. Its place goes to others, as far as
        that is likely, and a copy goes out where the class allows one and the window has a place for it."""
        next_ms, limit_ms = math.inf, max(LATE_LEAST_MS, LATE_TIMES * self.usual[request.kind.name])
        for attempt in [self.attempts[request.arrival.id, number] for number in request.out]:
            at_ms = attempt.look_ms or attempt.sent_ms + limit_ms  # the usual time may have grown since
            if self.stalled:
                at_ms = self.now + (attempt.overdue_ms or self.settings.tick_ms)  # no evidence
                attempt.look_ms = attempt.overdue_ms and at_ms
            if self.now < at_ms:
                next_ms = min(next_ms, max(at_ms, self.now + self.settings.tick_ms))
                continue
            if attempt.overdue_ms:  # one more span and no answer: that is learned now, not when it ends
                attempt.spans += 1
                for view in self.late_views(attempt):
                    self.late.setdefault(view, Late(0.0, 0.0)).spans += 1
            attempt.overdue_ms = attempt.overdue_ms or limit_ms
            attempt.look_ms = self.now + attempt.overdue_ms
            attempt.chance = self.late_chance(attempt)
            attempt.lost += self.window.write_off(self.now, 1 - attempt.chance - attempt.lost)
            next_ms = min(next_ms, attempt.look_ms)
        # The place that an attempt leaves is first of all its copy's.
        if self.settings.can_hedge and len(request.out) == 1:
            (number,) = request.out
            attempt = self.attempts[request.arrival.id, number]
            if (
                attempt.overdue_ms
                and attempt.chance < COPY_CHANCE
                and self.may_repeat(request)
                and not (self.window.free() + attempt.lost >= 1 and self.again(request, attempt.chance))
            ):
                next_ms = min(next_ms, self.now + RETRY_AGAIN_MS)
        if next_ms < math.inf:
            self.plan_at(next_ms, "overdue", request.arrival.id)

    def timely_part(self) -> float:
        """How far the floor may rise: what comes far too late is held up by what use does not tell."""
        return max(0.0, (min(self.timely.values()) - IDLE_TIMELY) / (1 - IDLE_TIMELY))

    @staticmethod
    def late_views(attempt: Attempt) -> list[tuple[str, ...]]:
        """Whose overdue attempts speak for this one, from the widest view to the closest."""
        name, entry = attempt.class_name, attempt.backend.entry
        return [(name,), (name, entry.zone), (name, entry.zone, entry.id)]

    def late_chance(self, attempt: Attempt) -> float:
        """That an overdue attempt still answers: one server, one hall or one class may swallow, or all."""
        widest, *closer = self.late_views(attempt)
        chance = self.late[widest].chance()
        for view in closer:
            if view in self.late:
                chance = self.late[view].chance(chance)
        return chance

    def tidy(self) -> None:
        """Forget what is over: customers, servers that went, and what the agenda holds for requests that have
        ended."""
        self.quota.forget(self.now, self.requests.values())
        reconfiguration.forget(self)
        zones = {backend.entry.zone for backend in self.servers.known.values()}
        self.late = {
            view: late
            for view, late in self.late.items()
            if len(view) == 1 or (view[2] in self.servers.known if len(view) == 3 else view[1] in zones)
        }
        if len(self.agenda) > AGENDA_SPARE + len(OF_REQUESTS) * len(self.requests):
            self.agenda = [
                entry for entry in self.agenda if entry[2] not in OF_REQUESTS or entry[3] in self.requests
            ]
            heapq.heapify(self.agenda)

    def step_shares(self) -> None:
        for name, share in self.shares.items():
            waits = self.waits[name]
            if len(waits) < FEW_SAMPLES and self.held:
                waits = waits + [self.now - held.came_ms for held in self.held if held.kind.name == name]
            share.step(sum(waits) / len(waits) if waits else 0.0)
            self.waits[name] = []

    def on_heard(self, event: PeerMessageReceived) -> None:
        """What another gateway tells; bytes that cannot be read and unknown senders change nothing."""
        news = self.codec.decode(event.data)
        if news is None or event.sender >= self.settings.gateway_count:
            return
        if event.sender == self.settings.gateway_number:  # another process of ours: of quotas alone
            for item in news.quota_messages if self.quota.kin and news.incarnation != self.quota.boot else ():
                self.quota.hear(self.now, event.sender, news.incarnation, item)
            return
        most = PEAK_GROWTH * START_PER_SERVER * self.servers.capacity / self.settings.gateway_count
        self.window.fleet_room += (min(news.capacity, most) - self.window.fleet_room) * FLEET_GAIN
        if not self.stalled:
            self.servers.hear(self.now, event.sender, news.outlier_reports)
        self.quota.is_heard(self.now, event.sender)
        for item in news.quota_messages:
            self.quota.hear(self.now, event.sender, news.incarnation, item)

    def on_order(self, order: OperatorCommand) -> None:
        """An operator's call; it is in force before it is answered."""
        wrong = ""
        if order.kind is CommandKind.DRAIN:
            if self.draining.drain(self.now):
                for at_ms in self.draining.times():
                    self.plan_at(at_ms, "door")
        elif order.kind is CommandKind.UNDRAIN:
            if self.draining.undrain() is not None:
                self.plan_at(self.now, "door")
        else:
            wrong = self.servers.order(self.now, order.kind, order.endpoint)
            self.window.set_limit(self.servers.capacity)
        self.actions.append(CommandCompleted(order.id, wrong))

    def on_arrival(self, arrival: RequestReceived) -> None:
        # Compiled, each is looked at when it is read; plain, what is of a wrong type would go some way.
        words = arrival.customer, arrival.class_name, arrival.plan_name
        if not (
            isinstance(arrival.id, int)
            and isinstance(arrival.is_client_retry, bool)
            and all(isinstance(word, str) for word in words)
        ):
            raise TypeError(f"an arrival with a part of a wrong type: {arrival!r}")
        kind, plan = self.classes.get(arrival.class_name), self.plans.get(arrival.plan_name)
        if kind is None or plan is None or not arrival.deadline_ms > self.now or arrival.id in self.requests:
            self.actions.append(RejectRequest(arrival.id))
            return
        if self.admits is not None and not self.admits(arrival):
            self.actions.append(RejectRequest(arrival.id, min(TELL_MS, self.settings.max_retry_after_ms)))
            return
        account = self.quota.account(self.now, arrival, plan)
        account.asked += arrival.units
        # An answer just after the aim is worth little or nothing, so waiting must leave time for the answer.
        aim_ms, worth = self.now + kind.latency_objective_ms, kind.priority_weight * plan.priority_factor
        request = self.requests[arrival.id] = Request(arrival, kind, plan, account, self.now, aim_ms, worth)
        self.plan_at(arrival.deadline_ms - 2 * self.settings.tick_ms, "due", arrival.id)
        last = (
            arrival.deadline_ms if kind.late_priority_weight > 0 else min(arrival.deadline_ms, request.aim_ms)
        )
        impatient = self.now + ANSWER_PART * (last - self.now)  # it leaves less than an answer usually takes
        # Refused by half of its time a client can still use the rest: a late refusal is worse than an early
        # one. A retry with little time left would else be held for most of that, as answers take less.
        patient = self.now + HOLD_PART * (arrival.deadline_ms - self.now)
        self.plan_at(min(patient, max(last - self.answer_time(kind), impatient)), "hopeless", arrival.id)
        if self.quota.request(self.now, request):
            self.let_in(request)

    def on_answer(self, request: Request, granted: bool) -> None:
        """A home's word. What it makes wait goes on beyond its quota where that pays."""
        plan = request.plan
        if granted:
            self.let_in(request)
        elif plan.over_quota_weight > plan.over_quota_cost and not plan.hard_limit_per_s:
            self.quota.asking.pop(request.serial)
            request.inside, request.rank = False, request.rank * plan.over_quota_weight
            self.let_in(request)

    def on_denied(self, request: Request) -> None:
        """A home's word that a try will not have its quota in time."""
        if request.waiting and request.arrival.id in self.requests:
            self.on_answer(request, False)  # what pays beyond its quota goes on
            if request.waiting:
                self.refuse_or_fail(request)

    def let_in(self, request: Request) -> None:
        request.waiting, request.held, request.account.out = False, True, request.account.out + 1
        self.held.append(request)

    def release(self) -> None:
        """Send on what is held: all of it below the cap; at the cap by shares, then by worth alone."""
        # Of equal worth the newest goes: the oldest first would have all of them near their aims, many late.
        if not self.held or self.window.free() < 1:
            return
        cap = self.window.limit
        self.held.sort(
            key=lambda request: (
                not request.inside,
                -request.rank * self.timely[request.kind.name],
                -request.came_ms,
            )
        )
        if len(self.held) > self.window.free():
            total = max(1.0, sum(share.share for share in self.shares.values()))
            left = {name: own.share / total * cap for name, own in self.shares.items()}
            for attempt in self.attempts.values():
                left[attempt.class_name] -= 1 - attempt.lost
            first: list[Request] = []
            rest: list[Request] = []
            for request in self.held:
                left[request.kind.name] -= 1
                (first if left[request.kind.name] >= 0 and request.inside else rest).append(request)
            self.held = first + rest
        busy = self.window.mean_out >= OVER_ROOM * cap
        self.held = [
            request
            for request in self.held
            if self.window.free() < 1 or busy and not request.inside or self.stays(request)
        ]

    def stays(self, request: Request) -> bool:
        """Send on what is held, if that can be; whether it is held still."""
        self.stage(self.send, request)
        return request.held

    def send(self, request: Request) -> bool:
        """One more attempt, where a server may take it."""
        backend = self.servers.choose(self.now, request, self.allowed(request))
        if backend is None or request.attempts >= self.settings.max_attempts:
            return False
        number = request.arrival.id
        if request.attempts == 0:
            self.waits[request.kind.name].append(self.now - request.came_ms)
            self.budget = min(RETRY_MOST, self.budget + RETRY_PART)
            request.held, request.toss_ms = False, 0.0
        self.servers.bans.sent(backend.entry.id)
        self.actions.append(
            StartAttempt(
                number,
                backend.entry.id,
                max(1.0, request.arrival.deadline_ms - self.now),
                self.repeat_left(request) if request.uncertain else math.inf,
            )
        )
        self.attempts[number, request.attempts] = Attempt(
            backend, request.kind.name, self.now, request.kind.latency_objective_ms
        )
        request.out[request.attempts] = backend
        request.tried.append(backend)
        if not request.uncertain:
            request.anchor, request.anchor_ms = backend.entry, self.now
        request.attempts, request.uncertain = request.attempts + 1, request.uncertain + 1
        backend.out, self.servers.sends = backend.out + 1, self.servers.sends + 1
        self.window.count(self.now, 1)
        patience = max(HEDGE_LEAST_MS, HEDGE_TIMES * self.usual[request.kind.name])
        self.plan_at(self.now + patience, "hedge", number)
        return True

    def allowed(self, request: Request) -> list[Backend] | None:
        """The only servers that rule 2 (its group and window) leaves to this request now; None for all."""
        kind, same = request.kind, request.anchor
        if same is None or not request.uncertain or kind.idempotency is Idempotency.IDEMPOTENT:
            return None
        if kind.idempotency is Idempotency.NON_IDEMPOTENT or self.repeat_left(request) <= 0:
            return []
        # The group as it was when the first went out; what started since then remembers nothing of it.
        return [
            backend
            for backend in self.servers.warm + self.servers.cold
            if backend.entry.started_ms <= request.anchor_ms
            and (kind.deduplication_scope is DeduplicationScope.ALL or backend.entry.zone == same.zone)
            and (
                kind.deduplication_scope is not DeduplicationScope.GROUP
                or backend.entry.deduplication_group == same.deduplication_group
            )
        ]

    def repeat_left(self, request: Request) -> float:
        """For how long from now a further attempt may still leave."""
        if request.kind.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        spare = max(REPEAT_SPARE_MS, self.settings.tick_ms)
        return request.anchor_ms + request.kind.deduplication_window_ms - spare - self.now

    def answer_time(self, kind: RequestClass) -> float:
        """What an attempt is taken to need. Bounded: past the aim all would be refused, and nothing heal."""
        return min(SAFE_TIMES * self.usual[kind.name], ANSWER_PART * kind.latency_objective_ms)

    def may_repeat(self, request: Request) -> bool:
        """Whether a further attempt could still be in time, and rule 2 leaves it a server."""
        left = min(request.aim_ms, request.arrival.deadline_ms) - self.now
        return (
            left >= self.answer_time(request.kind)
            and request.attempts < self.settings.max_attempts
            and not request.once
            and self.allowed(request) != []
        )

    def again(self, request: Request, chance: float = 1.0) -> bool:
        """A further attempt, where it can still be in time and the budget allows it. `chance`: that the one
        before still answers; the less likely, the less the copy is a load more than was asked for. What may
        gain the most (worth x chance in time) may take the last token."""
        left = min(request.aim_ms, request.arrival.deadline_ms) - self.now
        gain = request.rank * min(1.0, left / max(1.0, 2 * self.answer_time(request.kind))) / self.top_rank
        price = max(RETRY_LEAST, chance)
        least = price + RETRY_RESERVE * RETRY_MOST * max(0.0, 1 - gain)
        if self.budget < least or not self.may_repeat(request) or not self.send(request):
            return False
        self.budget -= price
        return True

    def on_outcome(self, event: AttemptCompleted) -> None:
        if (event.id, event.attempt) not in self.attempts:
            return
        attempt = self.attempts.pop((event.id, event.attempt))
        backend, class_name = attempt.backend, attempt.class_name
        request = self.requests.get(event.id)
        backend.out, full = backend.out - 1, event.result is AttemptResult.REJECTED_BY_WORKER
        self.window.count(self.now, attempt.lost - 1)
        self.window.lost -= attempt.lost
        if attempt.overdue_ms and not self.stalled:
            spans = (self.now - attempt.sent_ms) / attempt.overdue_ms - 1 - attempt.spans
            answered = event.result in (
                AttemptResult.OK,
                AttemptResult.ERROR,
                AttemptResult.REJECTED_BY_WORKER,
            )
            for view in self.late_views(attempt):
                self.late.setdefault(view, Late(0.0, 0.0)).learn(max(0.0, spans), answered)
        self.window.full, self.window.ended = self.window.full + full, self.window.ended + 1
        usual, ratio = self.usual[class_name], math.inf
        if event.load_report:
            self.servers.report(self.now, backend, event.load_report)
        if event.result is AttemptResult.OK:
            self.window.answered_ms += attempt.aim_ms
            self.window.well += 1
            timely = event.latency_ms <= attempt.aim_ms
            self.timely[class_name] += (timely - self.timely[class_name]) * USUAL_GAIN
            ratio = event.latency_ms / usual
            self.usual[class_name] += (event.latency_ms - usual) * USUAL_GAIN * (not self.stalled)
        # After a stall our own pause would be taken for the server's slowness.
        if event.result not in (AttemptResult.CANCELLED, AttemptResult.NOT_STARTED) and not self.stalled:
            self.servers.learn(self.now, backend, class_name, ratio, 1.0)
        if request is None:
            return
        request.out.pop(event.attempt, None)
        request.uncertain -= event.result.proves_not_executed
        if event.is_final:
            self.close(request)
        elif not request.out and not self.again(request):
            self.refuse_or_fail(request)

    def refuse_or_fail(self, request: Request) -> None:
        """The final answer. A refusal says that a retry is harmless, so only where that is certain."""
        keyed = (
            request.kind.idempotency is Idempotency.KEYED
            and request.kind.deduplication_scope is DeduplicationScope.ALL
        )
        if request.kind.idempotency is Idempotency.IDEMPOTENT or keyed or not request.uncertain:
            advice = max(TELL_MS, request.arrival.units * 1000 / (request.plan.rate_per_s or math.inf))
            self.actions.append(
                RejectRequest(request.arrival.id, min(advice, self.settings.max_retry_after_ms))
            )
        else:
            self.actions.append(FailRequest(request.arrival.id))
        self.close(request)

    def close(self, request: Request) -> None:
        """The request has ended: nothing more goes out for it, and copies still out are called off."""
        self.requests.pop(request.arrival.id, None)
        request.account.out -= not request.waiting
        if request.held:
            self.held.remove(request)
        self.quota.close(self.now, request)
        self.cancel_others(request, -1)

    def cancel_others(self, request: Request, keep: int) -> None:
        copies = request.out if self.settings.can_cancel_attempts else ()
        self.actions.extend(CancelAttempt(request.arrival.id, n) for n in copies if n != keep)
