"""Other settings in service, the module alone: what is open keeps its own, nothing is granted twice, no table
grows, and what cannot be taken changes nothing."""

import copy
import itertools
import random
from collections import Counter
from dataclasses import replace

import pytest
from support.controllers import ask, gateway, of, outcome
from support.quota_rig import TICK_MS, QuotaSimulation
from support.snapshots import left_by
from support.traffic import Checker, Town, settings

from plumpick.policy import reconfiguration
from plumpick.policy.actions import (
    CancelAttempt,
    CommandCompleted,
    FailRequest,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    ExportState,
    ImportState,
    PeerMessageReceived,
    RequestReceived,
    ResumeAfterFailedHandover,
    SettingsChanged,
)
from plumpick.policy.peer_messages import PeerMessageCodec, QuotaMessage, QuotaMessageKind, customer_tag
from plumpick.policy.quota.owner import IDLE_MS
from plumpick.policy.quota.requester import LOCAL_BURST_RATIO
from plumpick.policy.settings import MAX_PLANS, DeduplicationScope, Idempotency, Plan, RequestClass

NAMES = itertools.count(1)


def change(control, now, new, *before):
    """Take over these settings in a turn of its own; what is said to them."""
    said = of(CommandCompleted, control.handle(now, [*before, SettingsChanged(next(NAMES), new)]))
    assert not control.faults
    return said[0].error


def with_class(given, name, **figures):
    return replace(
        given,
        classes=tuple(replace(kind, **figures) if kind.name == name else kind for kind in given.classes),
    )


def with_plan(given, name, **figures):
    return replace(
        given, plans=tuple(replace(plan, **figures) if plan.name == name else plan for plan in given.plans)
    )


def without(given, name):
    return replace(
        given,
        classes=tuple(kind for kind in given.classes if kind.name != name),
        plans=tuple(plan for plan in given.plans if plan.name != name),
    )


FLEET_6 = EndpointsUpdated(
    tuple(Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointState.READY) for n in range(6))
)


# -- what cannot be taken


@pytest.mark.parametrize(
    "spoil, key",
    [
        (lambda s: replace(s, gateway_count=4), "settings.balancers"),
        (lambda s: replace(s, gateway_number=1), "settings.myNumber"),
        (lambda s: replace(s, zone="elsewhere"), "settings.locality"),
        (lambda s: replace(s, must_request_watch=True), "settings.discovery"),
        (lambda s: replace(s, can_message_peers=False), "settings.limits.mayTell"),
        (lambda s: replace(s, classes=(*s.classes, s.classes[1])), "settings.classes[6].name"),
        (lambda s: replace(s, plans=(s.plans[0], *s.plans)), "settings.packages[1].name"),
        (lambda s: replace(s, plans=tuple(Plan(f"p{n}") for n in range(MAX_PLANS + 1))), "settings.packages"),
        (lambda _: None, "settings"),
        (lambda _: {"classes": []}, "settings"),
    ],
)
def test_what_cannot_change_in_service_is_refused_whole_by_one_line_that_names_its_key(spoil, key):
    control, other = gateway(), gateway()
    events = [FLEET_6, ask(1), ask(2, "debit"), ask(3, plan="open")]
    bad = spoil(with_class(with_plan(settings(), "rated", rate_per_s=99.0), "look", latency_objective_ms=1.0))
    actions = control.handle(1000.0, [*events, SettingsChanged(7, bad)])
    said = [action for action in actions if isinstance(action, CommandCompleted)]
    assert not control.faults and [one.id for one in said] == [7]
    assert said[0].error.startswith(key) and "\n" not in said[0].error
    assert [one for one in actions if not isinstance(one, CommandCompleted)] == other.handle(1000.0, events)
    assert control.settings == settings()
    for step in range(1, 200):  # and nothing later either
        more = [ask(100 + step, due=1000.0 + 20 * step + 900)]
        assert control.handle(1000.0 + 20 * step, more) == other.handle(1000.0 + 20 * step, more)


# -- the same settings


class Often(Controller):
    """Told the settings that it has, again and again, as objects of their own."""

    def __init__(self, config, seed):
        super().__init__(config, seed)
        self.turns = 0

    def handle(self, now_ms, events):
        self.turns += 1
        if self.turns % 3 == 0:
            events = [*events, SettingsChanged(self.turns, copy.deepcopy(self.settings))]
        actions = super().handle(now_ms, events)
        assert all(action.error == "" for action in of(CommandCompleted, actions))
        return [action for action in actions if not isinstance(action, CommandCompleted)]


@pytest.mark.parametrize("seed", range(4))
def test_the_same_settings_over_again_change_no_action(seed, monkeypatch):
    plain = Town(seed, gateways=3)
    plain.run(8000)
    monkeypatch.setattr("support.traffic.Controller", Often)
    told = Town(seed, gateways=3)
    told.run(8000)
    assert all(isinstance(one, Often) for one in told.gateways.values())
    assert len(plain.log) > 1000 and plain.log == told.log


# -- what is open


def test_a_request_keeps_its_class_to_its_end_also_where_that_is_dropped():
    control = gateway()
    first, second = of(StartAttempt, control.handle(1000.0, [FLEET_6, ask(1, "debit"), ask(2, "look")]))
    new = without(with_class(settings(), "look", idempotency=Idempotency.NON_IDEMPOTENT), "debit")
    assert change(control, 1010.0, new) == ""
    actions = control.handle(
        1050.0,
        [
            outcome(first, AttemptResult.ERROR),
            outcome(second, AttemptResult.ERROR),
            ask(3, "debit"),
            ask(4, "look"),
        ],
    )
    by_id = {send.id: send for send in of(StartAttempt, actions)}
    assert of(FailRequest, actions) == [FailRequest(1)]  # one run of an unsafe one, as when it came
    assert 2 in by_id  # a further attempt at what was safe when it came
    assert of(RejectRequest, actions)[0].id == 3  # of a class that is not there
    assert of(FailRequest, control.handle(1100.0, [outcome(by_id[4], AttemptResult.ERROR)])) == [
        FailRequest(4)
    ]
    assert not of(FailRequest, control.handle(1110.0, [outcome(by_id[2], AttemptResult.OK, 1)]))
    assert not control.requests and not control.state.attempts


def test_a_class_that_appears_is_served_at_once_and_learned_from_its_start():
    control = gateway()
    control.handle(1000.0, [FLEET_6])
    new = RequestClass("new", 400, 1000, 5, Idempotency.IDEMPOTENT)
    assert change(control, 1004.0, replace(settings(), classes=(new, *settings().classes))) == ""
    (send,) = of(StartAttempt, control.handle(1008.0, [ask(1, "new", due=2000.0)]))
    assert control.state.top_priority == 5 * 1.5
    control.handle(1050.0, [outcome(send, AttemptResult.OK)])
    fresh = Controller(control.settings, 1)
    assert (
        list(control.state.statistics.usual_latency_ms) != list(fresh.state.statistics.usual_latency_ms)
        and control.state.statistics.usual_latency_ms.keys() == fresh.state.statistics.usual_latency_ms.keys()
    )
    assert control.state.queue.shares["new"].target_wait_s == fresh.state.queue.shares["new"].target_wait_s


def test_what_was_learned_of_a_class_stays_and_goes_with_it_once_nothing_of_it_is_open():
    control = gateway()
    sent = of(StartAttempt, control.handle(1000.0, [FLEET_6, ask(1, "look"), ask(2, "feed")]))
    look, feed = sorted(sent, key=lambda send: send.id)
    control.handle(1300.0, [outcome(look, AttemptResult.OK, took=300.0)])
    usual = control.state.statistics.usual_latency_ms["look"]
    assert change(control, 1310.0, without(settings(), "feed")) == ""
    assert control.state.statistics.usual_latency_ms["look"] == usual != 150.0
    for step in range(20):
        control.handle(1400.0 + 100 * step, [])
    assert "feed" in control.state.queue.shares and control.state.overdue.by_view["feed",]
    control.handle(3500.0, [outcome(feed, AttemptResult.OK)])
    for step in range(10):
        control.handle(3600.0 + 100 * step, [])
    tables = (
        control.state.queue.shares,
        control.state.queue.waits_ms,
        control.state.statistics.usual_latency_ms,
        control.state.statistics.timely_ratio,
    )
    assert not any("feed" in table for table in tables)
    assert not any(view[0] == "feed" for view in control.state.overdue.by_view)
    assert change(control, 5000.0, settings()) == "" and "feed" in control.state.statistics.usual_latency_ms


def test_who_waits_for_a_quota_under_a_plan_that_goes_is_told_at_once_and_others_wait_on():
    control = gateway(number=0)
    # Its home is another gateway, which has not answered.
    customer = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 1)
    control.handle(
        1000.0, [FLEET_6, ask(1, plan="rated", customer=customer), ask(2, plan="capped", customer=customer)]
    )
    assert sum(request.awaits_quota for request in control.requests.values()) == 2
    actions = control.handle(1004.0, [SettingsChanged(1, without(settings(), "capped"))])
    assert [one.id for one in of(RejectRequest, actions)] == [2] and list(control.requests) == [1]
    assert not control.faults
    # And of its own stores: who waits there under a class that goes is denied, the others stay.
    own = Controller(with_plan(settings(), "rated", rate_per_s=40.0, over_quota_weight=0.0), 1)
    home = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)
    crowd = [ask(n, ("book", "seat")[n % 2], customer=home, due=4000.0) for n in range(60)]
    own.handle(1000.0, [FLEET_6, *crowd])
    (store,) = own.state.quota.owner.ledgers.values()
    before = [own.settings.classes[one.message.class_index].name for one in store.queue]
    assert {"book", "seat"} == set(before)
    actions = own.handle(1000.001, [SettingsChanged(1, without(own.settings, "book"))])
    left = [own.settings.classes[one.message.class_index].name for one in store.queue]
    assert not own.faults and left == ["seat"] * before.count("seat")
    assert len(of(RejectRequest, actions)) == before.count("book") and not of(StartAttempt, actions)


def test_what_waits_to_be_told_is_renamed_and_what_cannot_be_goes_out_by_the_old_names():
    control = gateway(number=0)
    old = control.settings
    control.handle(1000.0, [FLEET_6])
    control.state.quota.outbox.waiting = {
        1: [
            QuotaMessage(QuotaMessageKind.SPENT, 7, 1, 1.0, 2.0, 0, 1, 3),
            QuotaMessage(QuotaMessageKind.GRANT_REQUEST, 7, 2, 1.0, 2.0, 0, 1, 3),
            QuotaMessage(QuotaMessageKind.RETURNED, 8, 3, 1.0, 2.0, 1, 0, 3),
            QuotaMessage(QuotaMessageKind.GRANT_REQUEST, 9, 4, 1.0, 2.0, 1, 2, 3),
        ]
    }
    control.state.quota.outbox.sent_ms[1] = 1000.0
    control.state.quota.requester.unconfirmed = {
        2: [
            (1000.0, QuotaMessage(QuotaMessageKind.LATE, 7, 5, 1.0, 2.0, 3, 1, 3)),
            (1000.0, QuotaMessage(QuotaMessageKind.LATE, 7, 6, 1.0, 2.0, 3, 0, 3)),
        ]
    }
    new = without(without(replace(old, classes=old.classes[::-1], plans=old.plans[::-1]), "look"), "rated")
    actions = control.handle(1000.001, [SettingsChanged(1, new)])
    told = [
        item
        for tell in of(SendPeerMessage, actions)
        for news in [PeerMessageCodec(old).decode(tell.data)]
        if news
        for item in news.quota_messages
    ]
    assert [(item.kind, item.serial) for item in told] == [
        (QuotaMessageKind.RETURNED, 3)
    ]  # of the plan that is gone
    waits = control.state.quota.outbox.waiting.get(1, []) + [
        item
        for tell in of(SendPeerMessage, actions)
        for news in [PeerMessageCodec(new).decode(tell.data)]
        if news
        for item in news.quota_messages
    ]
    assert [item.serial for item in waits] == [1, 4]  # no question for a class that is gone
    assert [new.plans[item.plan_index].name for item in waits] == ["capped", "open"]
    assert new.classes[waits[1].class_index].name == "book"
    (late,) = control.state.quota.requester.unconfirmed[2]
    assert late[1].serial == 5 and new.classes[late[1].class_index].name == "seat"


def test_peers_of_other_names_are_not_heard_until_they_have_changed_too():
    one, two = gateway(number=0), gateway(number=1)
    new = with_plan(settings(), "rated", rate_per_s=5.0)
    data = two.codec.encode(
        1, 1.0, [QuotaMessage(QuotaMessageKind.GRANT_REQUEST, 7, 1, 1.0, 2.0, 0, 0, 3)], []
    )
    change(one, 1000.0, new)
    one.handle(1004.0, [PeerMessageReceived(1, data)])
    assert one.state.quota.owner.ledgers  # other figures, the same names: it is heard
    dropped = without(settings(), "feed")
    change(one, 1008.0, dropped)
    received_ms = dict(one.state.quota.outbox.received_ms)
    one.handle(1012.0, [PeerMessageReceived(1, data)])
    assert one.state.quota.outbox.received_ms == received_ms
    change(two, 1016.0, replace(dropped, gateway_number=1))
    one.handle(1020.0, [PeerMessageReceived(1, two.codec.encode(1, 1.0, [], []))])
    assert one.state.quota.outbox.received_ms[1] == 1020.0


def test_slots_that_are_taken_stay_taken_over_a_change_and_come_back():
    control = gateway()
    home = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)
    sends = of(
        StartAttempt,
        control.handle(1000.0, [FLEET_6, *(ask(n, plan="open", customer=home) for n in range(6))]),
    )
    assert len(sends) == 4  # as many as may be out at once
    lower = with_plan(settings(), "open", max_in_flight=2)
    assert change(control, 1004.0, replace(lower, plans=lower.plans[::-1])) == ""
    (store,) = control.state.quota.owner.ledgers.values()
    assert len(store.slots) == 4
    assert not of(
        StartAttempt,
        control.handle(1008.0, [outcome(sends[0], AttemptResult.OK), outcome(sends[1], AttemptResult.OK)]),
    )
    assert len(of(StartAttempt, control.handle(1012.0, [outcome(sends[2], AttemptResult.OK)]))) == 1
    assert change(control, 1016.0, without(settings(), "open")) == ""
    (parted,) = control.state.quota.owner.detached.values()
    assert len(parted.slots) == 2 and not control.state.quota.owner.ledgers
    assert change(control, 1020.0, settings()) == ""
    assert (
        len(
            of(
                StartAttempt,
                control.handle(1024.0, [ask(n, plan="open", customer=home) for n in range(20, 26)]),
            )
        )
        == 2
    )


# -- quotas over a change


class Books:
    """A bucket by the figures in force; `most`: units by which it may be passed in any case."""

    def __init__(self, rate, burst, most=0.0):
        self.level, self.at, self.rate, self.burst, self.worst = burst, 0.0, rate, burst, 0.0
        self.most, self.gone_ms = most, None

    def to(self, now):
        self.level = min(max(self.level, self.burst), self.level + self.rate * (now - self.at) / 1000)
        self.level, self.at = min(self.burst, self.level), now

    def drop(self, now):
        """There is no such plan from now on."""
        if self.gone_ms is None:
            self.to(now)
            self.gone_ms = now

    def change(self, now, rate, burst):
        if self.gone_ms is not None:
            # Once it is full by the old figures it is as one that never was; before, the lower of both fills.
            gap_s, self.gone_ms = (now - self.gone_ms) / 1000, None
            if self.level + self.rate * gap_s >= self.burst - self.most:
                self.level = burst
            else:
                least = min(self.burst, burst)
                self.level = max(self.level, min(least, self.level + min(self.rate, rate) * gap_s))
            self.at = now
        else:
            self.to(now)
        self.rate, self.burst, self.level = rate, burst, min(self.level, burst)

    def take(self, now):
        self.to(now)
        self.level -= 1
        self.worst = max(self.worst, -self.level)


class Changing(QuotaSimulation):
    """A simulation in which the customer's plan changes at all gateways, one after the other."""

    def put(self, number, plan):
        config = self.controllers[number].settings
        self.add_event(
            number,
            self.incarnations[number],
            SettingsChanged(1, replace(config, plans=(plan,) if plan else (Plan("other", 1.0, 1.0),))),
        )

    def change(self, at_ms, plan, gap_ms=0.0):
        for number in range(self.gateways):
            self.schedule(at_ms + gap_ms * number, self.put, number, plan)


STEPS = [(8.0, 16.0), (16.0, 32.0), (2.0, 4.0), None, (8.0, 16.0), (8.0, 2.0), (20.0, 16.0), None, (4.0, 8.0)]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("gateways, spread", [(1, 1), (4, 4)])
def test_a_firm_at_full_speed_gets_no_more_than_the_figures_in_force_allow(gateways, spread, seed):
    """Up, down, dropped and back."""
    rng = random.Random(seed)
    steps = [STEPS[0], *rng.choices(STEPS, k=8)]
    rig = Changing(*steps[0], gateways=gateways, set_size=spread, seed=seed)
    most = spread * (LOCAL_BURST_RATIO * max(step[1] for step in steps if step) + 1) + 20.0 * TICK_MS / 1000
    books, at_ms, changes = Books(*steps[0], most), 0.0, []
    rig.schedule_load(range(gateways), 60.0, 0.0, 20_000.0)
    for step in steps[1:]:
        at_ms += rng.uniform(100.0, 4000.0)
        rig.change(at_ms, step and replace(rig.plan, rate_per_s=step[0], burst=step[1]))
        changes.append((at_ms, step))
    rig.run(20_000.0)
    for now, _ in rig.forwarded:
        while changes and changes[0][0] <= now:
            when, step = changes.pop(0)
            books.change(when, *step) if step else books.drop(when)
        books.take(now)
    assert len(rig.forwarded) > 30 and books.worst <= most
    assert not any(module.faults for module in rig.controllers)


@pytest.mark.parametrize("seed", range(6))
def test_a_ceiling_is_never_passed_over_changes(seed):
    """Its parts at all gateways, of which some change a little later than others."""
    rng = random.Random(seed)
    rig = Changing(40.0, 40.0, gateways=4, set_size=4, seed=seed, hard_limit_ratio=0.5)
    rig.schedule_load(range(4), 80.0, 0.0, 20_000.0)
    steps = [(20.0, 20.0)] + [
        rng.choice([(20.0, 20.0), (6.0, 6.0), (30.0, 8.0), (4.0, 30.0), (0.0, 0.0), None]) for _ in range(9)
    ]
    books, changes, at_ms = Books(*steps[0]), [], 0.0
    for step in steps[1:]:
        at_ms += rng.uniform(100.0, 3000.0)
        rig.change(at_ms, step and replace(rig.plan, hard_limit_per_s=step[0], hard_limit_burst=step[1]))
        changes.append((at_ms, step))
    rig.run(20_000.0)
    free, counted = False, 0
    for now, _ in rig.forwarded:
        while changes and changes[0][0] <= now:
            when, step = changes.pop(0)
            if step and step[0]:
                books.change(when, *step)
                if free:  # where there was no ceiling, one begins now
                    books = Books(*step)
                    books.at = when
            free = bool(step) and not step[0] or free and step is None
        if not free:
            books.take(now)
            counted += 1
    assert counted > 30 and books.worst <= 4.0, books.worst  # a ceiling's slack in the module's tests


def plain(**more):
    """A plan of which nothing goes beyond its quota besides."""
    return replace(settings(**more), plans=(*settings().plans, Plan("plain", 4, 12)))


def test_a_plan_that_is_dropped_and_comes_back_does_not_begin_full():
    control = Controller(plain(), 1)
    home = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)

    def burst(now):
        return len(
            of(
                StartAttempt,
                control.handle(
                    now, [ask(next(NAMES), "look", "plain", customer=home, due=now + 1400) for _ in range(40)]
                ),
            )
        )

    control.handle(0.0, [FLEET_6])
    assert burst(4.0) >= 5
    assert change(control, 20.0, settings()) == ""
    assert burst(40.0) == 0
    assert change(control, 60.0, plain()) == "" and burst(64.0) <= 1
    # Long enough that it is full again: it has been forgotten, and begins as at a start.
    assert change(control, 100.0, settings()) == "" and control.state.quota.owner.detached
    for step in range(200):
        control.handle(200.0 + 100 * step, [])
    assert not control.state.quota.owner.detached
    assert change(control, 21_000.0, plain()) == "" and burst(21_004.0) >= 5


def test_an_account_is_settled_by_what_was_in_force():
    control = gateway()
    control.handle(0.0, [FLEET_6])
    arrival = RequestReceived(1, "c", "look", "capped", 1400.0, 1, 0, 3)
    plan = control.state.plans["capped"]
    account = control.state.quota.requester.account_of(0.0, arrival, plan)
    control.state.quota.requester.account_of(1000.0, arrival, plan)
    level = account.hard_limit_units
    assert level > 0
    new = with_plan(settings(), "capped", hard_limit_per_s=160.0, hard_limit_burst=320.0)
    assert change(control, 3000.0, new) == ""
    plan = control.state.plans["capped"]
    control.state.quota.requester.account_of(3000.0, arrival, plan)
    assert account.plan is plan and account.hard_limit_units <= level
    control.state.quota.requester.account_of(3010.0, arrival, plan)
    assert account.hard_limit_units <= level + 160.0 * 0.010

    # While there is no such plan nothing fills, also for what is still open of it; and when it is back, not
    # for that time.
    assert change(control, 4000.0, without(settings(), "capped")) == ""
    before = account.hard_limit_units, account.local_units
    control.state.quota.requester.account_of(4500.0, arrival, plan)
    assert (account.hard_limit_units, account.local_units) == before and account.plan is plan
    assert change(control, 5000.0, settings()) == ""
    control.state.quota.requester.account_of(5000.0, arrival, control.state.plans["capped"])
    assert account.plan is control.state.plans["capped"]
    assert account.hard_limit_units <= before[0] and account.local_units <= before[1]


def test_a_store_has_what_filled_by_the_old_rate_until_the_change_and_by_the_new_one_from_then():
    control = Controller(plain(gateways=1), 1)
    control.handle(0.0, [FLEET_6])
    control.handle(4.0, [ask(n, "look", "plain", due=1400.0) for n in range(30)])
    (store,) = control.state.quota.owner.ledgers.values()
    control.handle(1400.0, [])  # whoever waited has gone
    control.state.quota.owner.serve(1400.0, next(iter(control.state.quota.owner.ledgers)))
    level = store.units = 1.0
    lower = with_plan(plain(gateways=1), "plain", rate_per_s=1.0)
    assert change(control, 2400.0, lower) == "" and store.units == pytest.approx(level + 4.0)
    control.state.quota.owner.serve(3400.0, next(iter(control.state.quota.owner.ledgers)))
    assert store.units == pytest.approx(level + 5.0)
    lower = with_plan(plain(gateways=1), "plain", burst=2.0)
    assert change(control, 4400.0, lower) == "" and store.units == 2.0
    assert change(control, 4404.0, plain(gateways=1)) == ""
    assert store.units == pytest.approx(2.0)  # 16 ms of the rate at most, and a burst that was cut stays cut


def test_who_waits_at_its_home_is_served_in_time_though_the_plan_has_moved_or_changed():
    """The store's wake-up goes by its new name, or by its new rate."""

    def waits():
        control = Controller(with_plan(plain(), "plain", rate_per_s=20.0), 1)
        home = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)
        control.handle(0.0, [FLEET_6])
        sent = of(
            StartAttempt,
            control.handle(4.0, [ask(n, "look", "plain", customer=home, due=1400.0) for n in range(20)]),
        )
        (store,) = control.state.quota.owner.ledgers.values()
        assert sent and store.queue and 4.0 < store.next_serve_ms < 400.0
        return control, store

    control, store = waits()
    wake_ms = store.next_serve_ms
    moved = replace(control.settings, plans=(Plan("first", 1, 1), *control.settings.plans[::-1]))
    assert change(control, 4.001, moved) == "" and store.next_serve_ms == wake_ms
    assert control.state.quota.owner.ledgers == {next(iter(control.state.quota.owner.ledgers)): store}
    assert len(of(StartAttempt, control.handle(wake_ms, []))) == 1 and not control.faults
    control, store = waits()
    faster = with_plan(control.settings, "plain", rate_per_s=0.0, burst=0.0)  # nothing is counted any more
    actions = control.handle(4.001, [SettingsChanged(1, faster)])
    assert len(of(StartAttempt, actions)) > 1 and not store.queue and not control.faults


def test_a_class_of_another_aim_is_steered_by_that_from_now_on():
    control = gateway()
    control.handle(0.0, [FLEET_6])
    assert change(control, 4.0, with_class(settings(), "look", latency_objective_ms=300.0)) == ""
    fresh = Controller(control.settings, 1)
    assert control.state.queue.shares["look"].target_wait_s == fresh.state.queue.shares["look"].target_wait_s
    assert control.state.queue.shares["book"].target_wait_s == fresh.state.queue.shares["book"].target_wait_s


def test_another_warm_up_counts_at_once():
    control = gateway()
    servers = [
        Endpoint(f"s{n}", "z0", n, EndpointState.READY, 1.0, 7000.0 if n < 3 else 0.0) for n in range(6)
    ]
    control.handle(10_000.0, [EndpointsUpdated(tuple(servers))])
    assert len(control.state.endpoints.warming) == 3 and control.state.endpoints.capacity < 6
    limit = control.state.limit.limit
    assert change(control, 10_004.0, replace(settings(), slow_start_ms=2000.0)) == ""
    assert (
        len(control.state.endpoints.warm) == 6
        and control.state.endpoints.capacity == 6
        and control.state.limit.limit > limit
    )
    assert control.state.endpoints.disabled.slow_start_ms == 2000.0
    assert change(control, 10_008.0, replace(settings(), slow_start_ms=60_000.0)) == ""
    assert len(control.state.endpoints.warming) == 3


class Unseen(dict):
    """A table at which nobody may look as a whole."""

    def __iter__(self):
        raise AssertionError("looked at all")

    keys = values = items = __iter__


def test_a_change_looks_at_no_account():
    control = gateway()
    control.handle(0.0, [FLEET_6, *(ask(n, customer=f"c{n}") for n in range(200))])
    control.state.quota.requester.accounts = Unseen(control.state.quota.requester.accounts)
    new = with_plan(without(settings(), "open"), "rated", rate_per_s=5.0)
    nobody = {"deny": lambda _request: None, "send": lambda _gateway, _messages: None}
    reconfiguration.apply(control.state, 1.0, new, **nobody)
    reconfiguration.apply(control.state, 2.0, settings(), **nobody)
    assert control.settings == settings()


# -- any sequence


def drawn(rng, base):
    """Legal settings, near the others that are drawn: the same few names, other figures, any order."""
    kinds, plans = [], []
    for name in rng.sample([f"k{n}" for n in range(7)], rng.choice((1, 3, 5, 7))):
        deadline_ms = rng.choice((300.0, 900.0, 2500.0))
        kinds.append(
            RequestClass(
                name,
                deadline_ms * rng.uniform(0.2, 0.9),
                deadline_ms,
                rng.choice((0.0, 1.0, 4.0)),
                rng.choice(list(Idempotency)),
                deduplication_scope=rng.choice(list(DeduplicationScope)),
                deduplication_window_ms=rng.choice((0.0, 200.0, 1200.0)),
                late_priority_weight=rng.choice((0.0, 0.5)),
                streamed=rng.random() < 0.1,
            )
        )
    for name in rng.sample([f"p{n}" for n in range(5)], rng.choice((1, 2, 4, 5))):
        rate, ceiling = rng.choice((0.0, 2.0, 6.0, 20.0)), rng.choice((0.0, 0.0, 2.0))
        plans.append(
            Plan(
                name,
                rate,
                rate * rng.choice((1, 3)),
                rng.choice((0, 0, 3)),
                rng.uniform(0.5, 2),
                rng.choice((0.0, 0.9)),
                0.6,
                ceiling * rate,
                ceiling * rate * 2,
                4.0,
            )
        )
    return replace(
        base,
        classes=tuple(kinds),
        plans=tuple(plans),
        max_attempts=rng.choice((1, 3, 5)),
        can_hedge=rng.random() < 0.5,
        can_cancel_attempts=rng.random() < 0.7,
        slow_start_ms=rng.choice((0.0, 3000.0, 17_000.0)),
        slow_start_initial_ratio=rng.choice((0.1, 0.4)),
        overload_multiple=rng.choice((2.0, 3.0)),
        max_retry_after_ms=rng.choice((0.0, 1000.0)),
        load_report_fields=rng.choice((("util",), ("util", "inflight"), ())),
    )


class OwnKinds(Checker):
    """Each request by the class under which it came."""

    def __init__(self, config):
        super().__init__(config)
        self.kind_of = {}

    def of(self, number):
        """From here on it is this request that is looked at."""
        if number in self.kind_of:
            kind = self.kind_of[number]
            self.kinds = {kind.name: kind}

    def arrival(self, gateway, arrival):
        super().arrival(gateway, arrival)
        self.plans[arrival.plan_name] = Plan(arrival.plan_name)  # ceilings are looked at elsewhere


class Street(Town):
    """Gateways whose settings change at any time, each for itself, also to and fro; lists, messages, copies,
    deaths and handovers go on meanwhile."""

    def __init__(self, seed, **more):
        self.chance = random.Random(f"settings {seed}")
        base = settings(gateways=3)
        self.pool = [drawn(self.chance, base) for _ in range(8)]
        self.in_force = {n: self.pool[0] for n in range(3)}
        self.changes = self.refused = 0
        super().__init__(seed, gateways=3, settings_of=self.now_at, **more)
        self.checker = OwnKinds(self.config)

    def now_at(self, number=0, gateways=3):
        return replace(self.in_force.get(number, self.pool[0]), gateway_number=number)

    def change(self, n):
        new = self.chance.choice(self.pool)
        if self.chance.random() < 0.2:
            new = replace(new, zone="elsewhere")
        control, events = self.gateways[n], self.inbox[n]
        self.inbox[n], before = [], control.settings
        actions = control.handle(self.now, [*events, SettingsChanged(1, replace(new, gateway_number=n))])
        (said,) = of(CommandCompleted, actions)
        if new.zone == "elsewhere":
            assert "locality" in said.error and control.settings is before
            self.refused += 1
        else:
            assert said.error == "" and control.settings == replace(new, gateway_number=n)
            self.in_force[n] = new
            self.changes += 1
        self.check(control)
        for action in actions:
            self.act(n, action)

    def check(self, control):
        assert not control.faults, control.faults
        quota = control.state.quota
        for name, store in quota.owner.ledgers.items():
            assert store.plan is control.state.plans[store.plan.name]
            assert name & 0xFFFF == quota.context.plan_index[store.plan.name]
            # What was kept back for a word that came late may be above, until the store is served again.
            assert store.units <= store.plan.burst + (4 if store.spent else 0)
            assert not store.plan.hard_limit_per_s or store.hard_limit_units <= store.plan.hard_limit_burst
            for one in store.queue:
                assert one.message.plan_index == name & 0xFFFF
                assert one.message.class_index < len(control.state.classes)
        for items in quota.outbox.waiting.values():
            assert all(
                item.plan_index < len(control.state.plans) and item.class_index < len(control.state.classes)
                for item in items
            )
        assert not any(store.plan.name in control.state.plans for store in quota.owner.detached.values())
        assert (
            control.state.queue.shares.keys()
            == control.state.queue.waits_ms.keys()
            == control.state.statistics.usual_latency_ms.keys()
            == control.state.statistics.timely_ratio.keys()
        )

    def arrive(self):
        # Of what one gateway has in force, at any: another may know no such class, and has to refuse it.
        self.config = self.gateways[self.rng.randrange(len(self.gateways))].settings
        number = self.serial + 1
        super().arrive()
        gateway, arrival = self.checker.open[number]
        known = {kind.name: kind for kind in self.gateways[gateway].settings.classes}
        self.checker.kind_of[number] = known.get(arrival.class_name) or RequestClass(
            arrival.class_name, 1, 1, 1, Idempotency.NON_IDEMPOTENT
        )

    def act(self, n, action):
        assert isinstance(
            action,
            (
                StartAttempt,
                RejectRequest,
                FailRequest,
                CancelAttempt,
                SetTimer,
                SendPeerMessage,
                WatchEndpoints,
                CommandCompleted,
            ),
        )
        if isinstance(action, CommandCompleted):
            return
        if isinstance(action, SetTimer):
            assert 0 <= action.delay_ms < 60_000
        if isinstance(action, (StartAttempt, RejectRequest, FailRequest, CancelAttempt)):
            assert isinstance(action, CancelAttempt) or action.id in self.checker.open, "more than one answer"
            self.checker.of(action.id)
        if isinstance(action, StartAttempt):
            assert 0 < action.timeout_ms < 60_000
        super().act(n, action)

    def deliver(self, gateway, event):
        if isinstance(event, tuple):
            self.checker.of(event[0])
        super().deliver(gateway, event)
        if self.chance.random() < 0.06:
            self.change(gateway)
        elif self.chance.random() < 0.001:
            self.hand_over(gateway)

    def hand_over(self, n):
        """To itself: what it has left is read by a process of other settings."""
        control = self.gateways[n]
        events, self.inbox[n] = self.inbox[n], []
        for action in control.handle(self.now, events):
            self.act(n, action)
        state = left_by(control, self.now)
        self.in_force[n] = self.chance.choice(self.pool)
        new = Controller(self.now_at(n), self.chance.randrange(1 << 30))
        new.handle(self.now, [EndpointsUpdated(tuple(self.fleet)), ImportState(state)])
        self.check(new)
        for action in control.handle(
            self.now, [ResumeAfterFailedHandover()]
        ):  # the heir dies, and the old one goes on
            self.act(n, action)
        self.in_force[n] = control.settings
        self.check(control)


@pytest.mark.parametrize("seed", range(8))
def test_any_sequence_of_events_and_settings_keeps_the_rules(seed):
    street = Street(seed, loss=(0.1, 0.5)[seed % 2], kill=0.0003)
    street.run(8000)
    for control in street.gateways.values():
        street.check(control)
    assert street.changes > 30 and street.refused > 3 and len(street.checker.done) > 400
    assert not street.checker.open


def test_no_table_grows_over_two_hundred_changes_to_ever_new_names():
    base = settings(gateways=1)
    control, now = Controller(base, 1), 0.0
    control.handle(now, [FLEET_6])
    numbers, sizes, waits, sent = itertools.count(1), [], [], Counter()

    def turn(now, events=()):
        """Every attempt ends by the next turn, some by an error."""
        events, waits[:] = [*events, *waits], []
        for send in of(StartAttempt, control.handle(now, events)):
            waits.append(
                outcome(send, AttemptResult.ERROR if send.id % 5 == 0 else AttemptResult.OK, sent[send.id])
            )
            sent[send.id] += 1
        assert not control.faults

    for step in range(200):
        kinds = tuple(replace(kind, name=f"{kind.name}-{step}") for kind in base.classes)
        plans = tuple(replace(plan, name=f"{plan.name}-{step}") for plan in base.plans)
        assert change(control, now, replace(base, classes=kinds, plans=plans)) == ""
        for _ in range(12):
            now += 100.0
            arrivals = [
                RequestReceived(next(numbers), f"c{kind.name}", kind.name, plan.name, now + 900.0, 1, 0, 1)
                for kind in kinds
                for plan in plans
            ]
            turn(now, arrivals)
            turn(now + 40)
        quota, state = control.state.quota, control.state
        sizes.append(
            max(
                len(control.state.queue.shares),
                len(control.state.overdue.by_view),
                len(quota.requester.accounts),
                len(quota.owner.ledgers),
                len(quota.owner.detached),
                len(state.outliers.reports),
                len(control.state.queue.queued),
                len(control.state.attempts) // 10,
                len(control.state.timers.entries) // 20,
                len(quota.requester.pending),
                len(quota.outbox.waiting),
                *(len(one.completed) for one in state.endpoints.tracked.values()),
            )
        )
    # What is of the last changes: an idle account is forgotten after FORGET_MS and a round of the tidying.
    assert max(sizes[100:]) <= max(sizes[10:100]) * 1.1 and max(sizes) < 18 * (IDLE_MS / 1200 + 6)
    for _ in range(400):
        now += 100.0
        turn(now)
    assert (
        len(control.state.queue.shares) == 6
        and not control.state.quota.owner.detached
        and not control.state.attempts
    )


# -- handover between processes of different settings


def test_a_successor_of_other_settings_takes_over_by_names():
    """Plans at other places and of other figures, one that it does not have, one that is new."""
    old = Controller(plain(), 1)
    home = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)
    old.handle(0.0, [FLEET_6])

    def burst(control, now):
        return len(
            of(
                StartAttempt,
                control.handle(
                    now, [ask(next(NAMES), "look", "plain", customer=home, due=now + 1400) for _ in range(40)]
                ),
            )
        )

    assert burst(old, 4.0) >= 5
    level = next(iter(old.state.quota.owner.ledgers.values())).units
    given = with_plan(plain(), "plain", rate_per_s=40.0, burst=120.0)
    moved = replace(given, plans=(Plan("first", 1, 1), *given.plans[::-1]))
    state = left_by(old, 8.0)
    new = Controller(moved, 2)
    new.handle(8.0, [FLEET_6, ImportState(state)])
    assert not new.faults
    ((name, store),) = new.state.quota.owner.ledgers.items()
    assert name & 0xFFFF == 1 and store.plan is new.state.plans["plain"] and store.units <= level + 0.1
    assert burst(new, 12.0) <= 1
    # One that lacks the plan keeps its stores for when it comes back, and passes them on.
    lacks = Controller(settings(), 3)
    lacks.handle(8.0, [FLEET_6, ImportState(state)])
    assert (
        not lacks.faults
        and not lacks.state.quota.owner.ledgers
        and len(lacks.state.quota.owner.detached) == 1
    )
    last = Controller(plain(), 4)
    last.handle(12.0, [FLEET_6, ImportState(left_by(lacks, 12.0))])
    assert not last.faults and burst(last, 16.0) <= 1
    fresh = Controller(plain(), 1)
    fresh.handle(0.0, [FLEET_6])
    assert burst(fresh, 16.0) >= 5  # what a start without the state would have granted


def test_a_process_with_an_heir_changes_its_settings_and_leaves_the_stores_to_it():
    old = gateway()
    home = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)
    crowd = [ask(n, ("book", "seat")[n % 2], customer=home, due=4000.0) for n in range(40)]
    old.handle(0.0, [FLEET_6, *crowd])
    old.handle(4.0, [ExportState()])
    assert change(old, 8.0, without(with_plan(settings(), "rated", rate_per_s=100.0), "book")) == ""
    level = next(iter(old.state.quota.owner.ledgers.values())).units
    for step in range(20):
        old.handle(100.0 + 100 * step, [])
        assert not old.faults
    old.handle(3000.0, [ResumeAfterFailedHandover()])
    assert not old.faults and next(iter(old.state.quota.owner.ledgers.values())).units <= max(0.0, level) + 1
