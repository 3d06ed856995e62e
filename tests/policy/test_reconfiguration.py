"""New settings applied to a running decision module.

Open requests keep the settings with which they were received, no unit is granted twice, no table grows
without bound, and rejected settings change nothing."""

import copy
import itertools
import random
from collections import Counter
from dataclasses import replace

import pytest
from support.controllers import actions_of, completion, gateway, request_event
from support.quota_rig import TICK_MS, QuotaSimulation
from support.snapshots import export_snapshot
from support.traffic import RuleChecker, TrafficSimulation, settings

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
    """Apply settings in one turn, after the events `before`; returns the error text, empty on success."""
    completed = actions_of(
        CommandCompleted, control.handle(now, [*before, SettingsChanged(next(NAMES), new)])
    )
    assert not control.faults
    return completed[0].error


def with_class(given, name, **figures):
    return replace(
        given,
        classes=tuple(
            replace(request_class, **figures) if request_class.name == name else request_class
            for request_class in given.classes
        ),
    )


def with_plan(given, name, **figures):
    return replace(
        given, plans=tuple(replace(plan, **figures) if plan.name == name else plan for plan in given.plans)
    )


def without(given, name):
    return replace(
        given,
        classes=tuple(request_class for request_class in given.classes if request_class.name != name),
        plans=tuple(plan for plan in given.plans if plan.name != name),
    )


FLEET_6 = EndpointsUpdated(
    tuple(Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointState.READY) for n in range(6))
)


# -- rejected settings


@pytest.mark.parametrize(
    "invalidate, key",
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
def test_invalid_settings_are_rejected_with_their_key_and_change_nothing(invalidate, key):
    control, other = gateway(), gateway()
    events = [FLEET_6, request_event(1), request_event(2, "debit"), request_event(3, plan="open")]
    bad = invalidate(
        with_class(with_plan(settings(), "rated", rate_per_s=99.0), "look", latency_objective_ms=1.0)
    )
    actions = control.handle(1000.0, [*events, SettingsChanged(7, bad)])
    completed = [action for action in actions if isinstance(action, CommandCompleted)]
    assert not control.faults and [one.id for one in completed] == [7]
    assert completed[0].error.startswith(key) and "\n" not in completed[0].error
    assert [one for one in actions if not isinstance(one, CommandCompleted)] == other.handle(1000.0, events)
    assert control.settings == settings()
    for step in range(1, 200):  # Later turns show no effect either.
        more = [request_event(100 + step, due=1000.0 + 20 * step + 900)]
        assert control.handle(1000.0 + 20 * step, more) == other.handle(1000.0 + 20 * step, more)


# -- equal settings


class ReapplyingController(Controller):
    """A controller that is given a copy of its present settings in every third turn."""

    def __init__(self, config, seed):
        super().__init__(config, seed)
        self.turns = 0

    def handle(self, now_ms, events):
        self.turns += 1
        if self.turns % 3 == 0:
            events = [*events, SettingsChanged(self.turns, copy.deepcopy(self.settings))]
        actions = super().handle(now_ms, events)
        assert all(action.error == "" for action in actions_of(CommandCompleted, actions))
        return [action for action in actions if not isinstance(action, CommandCompleted)]


@pytest.mark.parametrize("seed", range(4))
def test_reapplying_equal_settings_changes_no_action(seed, monkeypatch):
    plain_town = TrafficSimulation(seed, gateways=3)
    plain_town.run(8000)
    monkeypatch.setattr("support.traffic.Controller", ReapplyingController)
    reapplying_town = TrafficSimulation(seed, gateways=3)
    reapplying_town.run(8000)
    assert all(isinstance(one, ReapplyingController) for one in reapplying_town.gateways.values())
    assert len(plain_town.log) > 1000 and plain_town.log == reapplying_town.log


# -- open requests


def test_request_keeps_its_class_after_the_class_was_removed():
    control = gateway()
    first, second = actions_of(
        StartAttempt, control.handle(1000.0, [FLEET_6, request_event(1, "debit"), request_event(2, "look")])
    )
    new = without(with_class(settings(), "look", idempotency=Idempotency.NON_IDEMPOTENT), "debit")
    assert change(control, 1010.0, new) == ""
    actions = control.handle(
        1050.0,
        [
            completion(first, AttemptResult.ERROR),
            completion(second, AttemptResult.ERROR),
            request_event(3, "debit"),
            request_event(4, "look"),
        ],
    )
    by_id = {send.id: send for send in actions_of(StartAttempt, actions)}
    assert actions_of(FailRequest, actions) == [FailRequest(1)]  # Not retried: its class was not idempotent.
    assert 2 in by_id  # Retried: its class was idempotent when it was received.
    assert actions_of(RejectRequest, actions)[0].id == 3  # Its class was removed.
    assert actions_of(FailRequest, control.handle(1100.0, [completion(by_id[4], AttemptResult.ERROR)])) == [
        FailRequest(4)
    ]
    assert not actions_of(FailRequest, control.handle(1110.0, [completion(by_id[2], AttemptResult.OK, 1)]))
    assert not control.requests and not control.state.attempts


def test_new_class_is_served_at_once_with_initial_statistics():
    control = gateway()
    control.handle(1000.0, [FLEET_6])
    new = RequestClass("new", 400, 1000, 5, Idempotency.IDEMPOTENT)
    assert change(control, 1004.0, replace(settings(), classes=(new, *settings().classes))) == ""
    (send,) = actions_of(StartAttempt, control.handle(1008.0, [request_event(1, "new", due=2000.0)]))
    assert control.state.top_priority == 5 * 1.5
    control.handle(1050.0, [completion(send, AttemptResult.OK)])
    fresh = Controller(control.settings, 1)
    assert (
        list(control.state.statistics.usual_latency_ms) != list(fresh.state.statistics.usual_latency_ms)
        and control.state.statistics.usual_latency_ms.keys() == fresh.state.statistics.usual_latency_ms.keys()
    )
    assert control.state.queue.shares["new"].target_wait_s == fresh.state.queue.shares["new"].target_wait_s


def test_statistics_of_a_removed_class_are_dropped_after_its_last_request():
    control = gateway()
    sent = actions_of(
        StartAttempt, control.handle(1000.0, [FLEET_6, request_event(1, "look"), request_event(2, "feed")])
    )
    look, feed = sorted(sent, key=lambda send: send.id)
    control.handle(1300.0, [completion(look, AttemptResult.OK, latency_ms=300.0)])
    usual = control.state.statistics.usual_latency_ms["look"]
    assert change(control, 1310.0, without(settings(), "feed")) == ""
    assert control.state.statistics.usual_latency_ms["look"] == usual != 150.0
    for step in range(20):
        control.handle(1400.0 + 100 * step, [])
    assert "feed" in control.state.queue.shares and control.state.overdue.by_view["feed",]
    control.handle(3500.0, [completion(feed, AttemptResult.OK)])
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


def test_requests_waiting_under_a_removed_plan_or_class_are_rejected_at_once():
    control = gateway(number=0)
    # The customer's quota owner is another gateway, which has not answered.
    customer = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 1)
    control.handle(
        1000.0,
        [
            FLEET_6,
            request_event(1, plan="rated", customer=customer),
            request_event(2, plan="capped", customer=customer),
        ],
    )
    assert sum(request.awaits_quota for request in control.requests.values()) == 2
    actions = control.handle(1004.0, [SettingsChanged(1, without(settings(), "capped"))])
    assert [one.id for one in actions_of(RejectRequest, actions)] == [2] and list(control.requests) == [1]
    assert not control.faults
    # In this gateway's own ledgers, requests of the removed class are denied and the others go on waiting.
    own = Controller(with_plan(settings(), "rated", rate_per_s=40.0, over_quota_weight=0.0), 1)
    own_customer = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)
    crowd = [request_event(n, ("book", "seat")[n % 2], customer=own_customer, due=4000.0) for n in range(60)]
    own.handle(1000.0, [FLEET_6, *crowd])
    (ledger,) = own.state.quota.owner.ledgers.values()
    before = [own.settings.classes[one.message.class_index].name for one in ledger.queue]
    assert {"book", "seat"} == set(before)
    actions = own.handle(1000.001, [SettingsChanged(1, without(own.settings, "book"))])
    left = [own.settings.classes[one.message.class_index].name for one in ledger.queue]
    assert not own.faults and left == ["seat"] * before.count("seat")
    assert len(actions_of(RejectRequest, actions)) == before.count("book") and not actions_of(
        StartAttempt, actions
    )


def test_queued_messages_are_translated_or_sent_at_once_under_the_old_names():
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
    sent_messages = [
        item
        for action in actions_of(SendPeerMessage, actions)
        for decoded in [PeerMessageCodec(old).decode(action.data)]
        if decoded
        for item in decoded.quota_messages
    ]
    assert [(item.kind, item.serial) for item in sent_messages] == [
        (QuotaMessageKind.RETURNED, 3)
    ]  # Of the removed plan
    pending = control.state.quota.outbox.waiting.get(1, []) + [
        item
        for action in actions_of(SendPeerMessage, actions)
        for decoded in [PeerMessageCodec(new).decode(action.data)]
        if decoded
        for item in decoded.quota_messages
    ]
    assert [item.serial for item in pending] == [1, 4]  # No grant request for the removed class
    assert [new.plans[item.plan_index].name for item in pending] == ["capped", "open"]
    assert new.classes[pending[1].class_index].name == "book"
    (late,) = control.state.quota.requester.unconfirmed[2]
    assert late[1].serial == 5 and new.classes[late[1].class_index].name == "seat"


def test_messages_of_peers_with_other_names_are_ignored_until_both_have_changed():
    one, two = gateway(number=0), gateway(number=1)
    new = with_plan(settings(), "rated", rate_per_s=5.0)
    data = two.codec.encode(
        1, 1.0, [QuotaMessage(QuotaMessageKind.GRANT_REQUEST, 7, 1, 1.0, 2.0, 0, 0, 3)], []
    )
    change(one, 1000.0, new)
    one.handle(1004.0, [PeerMessageReceived(1, data)])
    assert one.state.quota.owner.ledgers  # The names are equal, so the message is accepted.
    dropped = without(settings(), "feed")
    change(one, 1008.0, dropped)
    received_ms = dict(one.state.quota.outbox.received_ms)
    one.handle(1012.0, [PeerMessageReceived(1, data)])
    assert one.state.quota.outbox.received_ms == received_ms
    change(two, 1016.0, replace(dropped, gateway_number=1))
    one.handle(1020.0, [PeerMessageReceived(1, two.codec.encode(1, 1.0, [], []))])
    assert one.state.quota.outbox.received_ms[1] == 1020.0


def test_slots_in_use_stay_in_use_over_a_change_until_they_are_returned():
    control = gateway()
    own_customer = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)
    sends = actions_of(
        StartAttempt,
        control.handle(
            1000.0, [FLEET_6, *(request_event(n, plan="open", customer=own_customer) for n in range(6))]
        ),
    )
    assert len(sends) == 4  # The plan's max_in_flight
    lower = with_plan(settings(), "open", max_in_flight=2)
    assert change(control, 1004.0, replace(lower, plans=lower.plans[::-1])) == ""
    (ledger,) = control.state.quota.owner.ledgers.values()
    assert len(ledger.slots) == 4
    assert not actions_of(
        StartAttempt,
        control.handle(
            1008.0, [completion(sends[0], AttemptResult.OK), completion(sends[1], AttemptResult.OK)]
        ),
    )
    assert (
        len(actions_of(StartAttempt, control.handle(1012.0, [completion(sends[2], AttemptResult.OK)]))) == 1
    )
    assert change(control, 1016.0, without(settings(), "open")) == ""
    (parted,) = control.state.quota.owner.detached.values()
    assert len(parted.slots) == 2 and not control.state.quota.owner.ledgers
    assert change(control, 1020.0, settings()) == ""
    assert (
        len(
            actions_of(
                StartAttempt,
                control.handle(
                    1024.0, [request_event(n, plan="open", customer=own_customer) for n in range(20, 26)]
                ),
            )
        )
        == 2
    )


# -- quotas over a change


class ReferenceBucket:
    """A token bucket that follows the plan in force. `allowance`: units that may be granted beyond it."""

    def __init__(self, rate, burst, allowance=0.0):
        self.level, self.at, self.rate, self.burst, self.max_debt = burst, 0.0, rate, burst, 0.0
        self.allowance, self.removed_ms = allowance, None

    def to(self, now):
        self.level = min(max(self.level, self.burst), self.level + self.rate * (now - self.at) / 1000)
        self.level, self.at = min(self.burst, self.level), now

    def drop(self, now):
        """Record that the plan is removed."""
        if self.removed_ms is None:
            self.to(now)
            self.removed_ms = now

    def change(self, now, rate, burst):
        if self.removed_ms is not None:
            # A ledger that is full again by the old plan is dropped, and a restored plan begins with a full
            # bucket. Until then it fills by the lower of both rates, up to the lower of both bursts.
            gap_s, self.removed_ms = (now - self.removed_ms) / 1000, None
            if self.level + self.rate * gap_s >= self.burst - self.allowance:
                self.level = burst
            else:
                lower_burst = min(self.burst, burst)
                self.level = max(self.level, min(lower_burst, self.level + min(self.rate, rate) * gap_s))
            self.at = now
        else:
            self.to(now)
        self.rate, self.burst, self.level = rate, burst, min(self.level, burst)

    def take(self, now):
        self.to(now)
        self.level -= 1
        self.max_debt = max(self.max_debt, -self.level)


class ChangingRig(QuotaSimulation):
    """A quota rig that changes its customer's plan at all gateways, one after the other."""

    def put(self, number, plan):
        config = self.controllers[number].settings
        self.add_event(
            number,
            self.incarnations[number],
            SettingsChanged(1, replace(config, plans=(plan,) if plan else (Plan("other", 1.0, 1.0),))),
        )

    def change(self, change_ms, plan, gap_ms=0.0):
        for number in range(self.gateways):
            self.schedule(change_ms + gap_ms * number, self.put, number, plan)


STEPS = [(8.0, 16.0), (16.0, 32.0), (2.0, 4.0), None, (8.0, 16.0), (8.0, 2.0), (20.0, 16.0), None, (4.0, 8.0)]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("gateways, spread", [(1, 1), (4, 4)])
def test_customer_at_full_load_gets_no_more_than_the_plan_in_force_allows(gateways, spread, seed):
    """The plan's rate and burst go up and down, and the plan is removed and restored."""
    rng = random.Random(seed)
    steps = [STEPS[0], *rng.choices(STEPS, k=8)]
    rig = ChangingRig(*steps[0], gateways=gateways, set_size=spread, seed=seed)
    allowance = (
        spread * (LOCAL_BURST_RATIO * max(step[1] for step in steps if step) + 1) + 20.0 * TICK_MS / 1000
    )
    bucket, change_ms, changes = ReferenceBucket(*steps[0], allowance), 0.0, []
    rig.schedule_load(range(gateways), 60.0, 0.0, 20_000.0)
    for step in steps[1:]:
        change_ms += rng.uniform(100.0, 4000.0)
        rig.change(change_ms, step and replace(rig.plan, rate_per_s=step[0], burst=step[1]))
        changes.append((change_ms, step))
    rig.run(20_000.0)
    for now, _ in rig.forwarded:
        while changes and changes[0][0] <= now:
            when, step = changes.pop(0)
            bucket.change(when, *step) if step else bucket.drop(when)
        bucket.take(now)
    assert len(rig.forwarded) > 30 and bucket.max_debt <= allowance
    assert not any(module.faults for module in rig.controllers)


@pytest.mark.parametrize("seed", range(6))
def test_hard_limit_is_not_exceeded_over_changes(seed):
    """The gateways, which share the hard limit, apply each change one after the other."""
    rng = random.Random(seed)
    rig = ChangingRig(40.0, 40.0, gateways=4, set_size=4, seed=seed, hard_limit_ratio=0.5)
    rig.schedule_load(range(4), 80.0, 0.0, 20_000.0)
    steps = [(20.0, 20.0)] + [
        rng.choice([(20.0, 20.0), (6.0, 6.0), (30.0, 8.0), (4.0, 30.0), (0.0, 0.0), None]) for _ in range(9)
    ]
    bucket, changes, change_ms = ReferenceBucket(*steps[0]), [], 0.0
    for step in steps[1:]:
        change_ms += rng.uniform(100.0, 3000.0)
        rig.change(change_ms, step and replace(rig.plan, hard_limit_per_s=step[0], hard_limit_burst=step[1]))
        changes.append((change_ms, step))
    rig.run(20_000.0)
    free, counted = False, 0
    for now, _ in rig.forwarded:
        while changes and changes[0][0] <= now:
            when, step = changes.pop(0)
            if step and step[0]:
                bucket.change(when, *step)
                if free:  # A hard limit begins where there was none.
                    bucket = ReferenceBucket(*step)
                    bucket.at = when
            free = bool(step) and not step[0] or free and step is None
        if not free:
            bucket.take(now)
            counted += 1
    assert counted > 30 and bucket.max_debt <= 4.0, bucket.max_debt  # Slack of the hard limit


def with_plain_plan(**more):
    """Settings with one more plan, "plain", under which no request is admitted beyond the quota."""
    return replace(settings(**more), plans=(*settings().plans, Plan("plain", 4, 12)))


def test_restored_plan_does_not_begin_with_full_buckets():
    control = Controller(with_plain_plan(), 1)
    own_customer = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)

    def burst(now):
        return len(
            actions_of(
                StartAttempt,
                control.handle(
                    now,
                    [
                        request_event(next(NAMES), "look", "plain", customer=own_customer, due=now + 1400)
                        for _ in range(40)
                    ],
                ),
            )
        )

    control.handle(0.0, [FLEET_6])
    assert burst(4.0) >= 5
    assert change(control, 20.0, settings()) == ""
    assert burst(40.0) == 0
    assert change(control, 60.0, with_plain_plan()) == "" and burst(64.0) <= 1
    # A removed plan whose ledger is full again is forgotten, so the plan begins with a full bucket.
    assert change(control, 100.0, settings()) == "" and control.state.quota.owner.detached
    for step in range(200):
        control.handle(200.0 + 100 * step, [])
    assert not control.state.quota.owner.detached
    assert change(control, 21_000.0, with_plain_plan()) == "" and burst(21_004.0) >= 5


def test_account_fills_by_the_plan_that_was_in_force():
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

    # While the plan is removed, its accounts do not fill, not even for open requests. The time is not made up
    # for when the plan is restored.
    assert change(control, 4000.0, without(settings(), "capped")) == ""
    before = account.hard_limit_units, account.local_units
    control.state.quota.requester.account_of(4500.0, arrival, plan)
    assert (account.hard_limit_units, account.local_units) == before and account.plan is plan
    assert change(control, 5000.0, settings()) == ""
    control.state.quota.requester.account_of(5000.0, arrival, control.state.plans["capped"])
    assert account.plan is control.state.plans["capped"]
    assert account.hard_limit_units <= before[0] and account.local_units <= before[1]


def test_ledger_fills_by_the_old_rate_until_the_change_and_by_the_new_rate_after_it():
    control = Controller(with_plain_plan(gateways=1), 1)
    control.handle(0.0, [FLEET_6])
    control.handle(4.0, [request_event(n, "look", "plain", due=1400.0) for n in range(30)])
    (ledger,) = control.state.quota.owner.ledgers.values()
    control.handle(1400.0, [])  # The waiting requests have reached their deadline.
    control.state.quota.owner.serve(1400.0, next(iter(control.state.quota.owner.ledgers)))
    level = ledger.units = 1.0
    lower = with_plan(with_plain_plan(gateways=1), "plain", rate_per_s=1.0)
    assert change(control, 2400.0, lower) == "" and ledger.units == pytest.approx(level + 4.0)
    control.state.quota.owner.serve(3400.0, next(iter(control.state.quota.owner.ledgers)))
    assert ledger.units == pytest.approx(level + 5.0)
    lower = with_plan(with_plain_plan(gateways=1), "plain", burst=2.0)
    assert change(control, 4400.0, lower) == "" and ledger.units == 2.0
    assert change(control, 4404.0, with_plain_plan(gateways=1)) == ""
    assert ledger.units == pytest.approx(2.0)  # Units above the lower burst are not restored.


def test_waiting_request_is_granted_in_time_after_its_plan_was_moved_or_changed():
    """The timer of the customer's ledger follows the ledger's new key, or the plan's new rate."""

    def waiting_requests():
        control = Controller(with_plan(with_plain_plan(), "plain", rate_per_s=20.0), 1)
        own_customer = next(
            f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0
        )
        control.handle(0.0, [FLEET_6])
        sent = actions_of(
            StartAttempt,
            control.handle(
                4.0, [request_event(n, "look", "plain", customer=own_customer, due=1400.0) for n in range(20)]
            ),
        )
        (ledger,) = control.state.quota.owner.ledgers.values()
        assert sent and ledger.queue and 4.0 < ledger.next_serve_ms < 400.0
        return control, ledger

    control, ledger = waiting_requests()
    due_ms = ledger.next_serve_ms
    moved = replace(control.settings, plans=(Plan("first", 1, 1), *control.settings.plans[::-1]))
    assert change(control, 4.001, moved) == "" and ledger.next_serve_ms == due_ms
    assert control.state.quota.owner.ledgers == {next(iter(control.state.quota.owner.ledgers)): ledger}
    assert len(actions_of(StartAttempt, control.handle(due_ms, []))) == 1 and not control.faults
    control, ledger = waiting_requests()
    faster = with_plan(control.settings, "plain", rate_per_s=0.0, burst=0.0)  # No quota any more
    actions = control.handle(4.001, [SettingsChanged(1, faster)])
    assert len(actions_of(StartAttempt, actions)) > 1 and not ledger.queue and not control.faults


def test_changed_latency_objective_changes_the_target_wait():
    control = gateway()
    control.handle(0.0, [FLEET_6])
    assert change(control, 4.0, with_class(settings(), "look", latency_objective_ms=300.0)) == ""
    fresh = Controller(control.settings, 1)
    assert control.state.queue.shares["look"].target_wait_s == fresh.state.queue.shares["look"].target_wait_s
    assert control.state.queue.shares["book"].target_wait_s == fresh.state.queue.shares["book"].target_wait_s


def test_changed_slow_start_duration_takes_effect_at_once():
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


class TableWithoutIteration(dict):
    """A dict that fails the test when it is iterated over."""

    def __iter__(self):
        raise AssertionError("iterated over the whole table")

    keys = values = items = __iter__


def test_change_does_not_iterate_over_accounts():
    control = gateway()
    control.handle(0.0, [FLEET_6, *(request_event(n, customer=f"c{n}") for n in range(200))])
    control.state.quota.requester.accounts = TableWithoutIteration(control.state.quota.requester.accounts)
    new = with_plan(without(settings(), "open"), "rated", rate_per_s=5.0)
    nobody = {"deny": lambda _request: None, "send": lambda _gateway, _messages: None}
    reconfiguration.apply(control.state, 1.0, new, **nobody)
    reconfiguration.apply(control.state, 2.0, settings(), **nobody)
    assert control.settings == settings()


# -- random sequences


def random_settings(rng, base):
    """Random valid settings: a few class and plan names in any order, with random values."""
    classes, plans = [], []
    for name in rng.sample([f"k{n}" for n in range(7)], rng.choice((1, 3, 5, 7))):
        deadline_ms = rng.choice((300.0, 900.0, 2500.0))
        classes.append(
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
        classes=tuple(classes),
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


class CheckerByReceivedClass(RuleChecker):
    """A checker that judges each request by the class with which it was received."""

    def __init__(self, config):
        super().__init__(config)
        self.class_of = {}

    def use_class_of(self, number):
        """Set the classes to that of the request that is checked next."""
        if number in self.class_of:
            request_class = self.class_of[number]
            self.kinds = {request_class.name: request_class}

    def on_request(self, gateway, arrival):
        super().on_request(gateway, arrival)
        self.plans[arrival.plan_name] = Plan(arrival.plan_name)  # Hard limits are checked by other tests.


class ChangingTown(TrafficSimulation):
    """A town whose gateways change their settings at random times, independently of each other. Endpoint
    updates, peer messages, hedged requests, crashes and hot restarts go on meanwhile."""

    def __init__(self, seed, **more):
        self.chance = random.Random(f"settings {seed}")
        base = settings(gateways=3)
        self.pool = [random_settings(self.chance, base) for _ in range(8)]
        self.in_force = {n: self.pool[0] for n in range(3)}
        self.changes = self.rejected = 0
        super().__init__(seed, gateways=3, settings_of=self.now_at, **more)
        self.checker = CheckerByReceivedClass(self.config)

    def now_at(self, number=0, gateways=3):
        return replace(self.in_force.get(number, self.pool[0]), gateway_number=number)

    def change(self, n):
        new = self.chance.choice(self.pool)
        if self.chance.random() < 0.2:
            new = replace(new, zone="elsewhere")
        control, events = self.gateways[n], self.inbox[n]
        self.inbox[n], before = [], control.settings
        actions = control.handle(self.now, [*events, SettingsChanged(1, replace(new, gateway_number=n))])
        (completed,) = actions_of(CommandCompleted, actions)
        if new.zone == "elsewhere":
            assert "locality" in completed.error and control.settings is before
            self.rejected += 1
        else:
            assert completed.error == "" and control.settings == replace(new, gateway_number=n)
            self.in_force[n] = new
            self.changes += 1
        self.check(control)
        for action in actions:
            self.execute(n, action)

    def check(self, control):
        assert not control.faults, control.faults
        quota = control.state.quota
        for name, ledger in quota.owner.ledgers.items():
            assert ledger.plan is control.state.plans[ledger.plan.name]
            assert name & 0xFFFF == quota.context.plan_index[ledger.plan.name]
            # Units kept for a delayed SPENT message may exceed the burst until the ledger is served again.
            assert ledger.units <= ledger.plan.burst + (4 if ledger.spent else 0)
            assert not ledger.plan.hard_limit_per_s or ledger.hard_limit_units <= ledger.plan.hard_limit_burst
            for one in ledger.queue:
                assert one.message.plan_index == name & 0xFFFF
                assert one.message.class_index < len(control.state.classes)
        for items in quota.outbox.waiting.values():
            assert all(
                item.plan_index < len(control.state.plans) and item.class_index < len(control.state.classes)
                for item in items
            )
        assert not any(ledger.plan.name in control.state.plans for ledger in quota.owner.detached.values())
        assert (
            control.state.queue.shares.keys()
            == control.state.queue.waits_ms.keys()
            == control.state.statistics.usual_latency_ms.keys()
            == control.state.statistics.timely_ratio.keys()
        )

    def receive_request(self):
        # The class is one of a random gateway's. The receiving gateway may not know it, and then rejects it.
        self.config = self.gateways[self.rng.randrange(len(self.gateways))].settings
        number = self.serial + 1
        super().receive_request()
        gateway, arrival = self.checker.open[number]
        known = {
            request_class.name: request_class for request_class in self.gateways[gateway].settings.classes
        }
        self.checker.class_of[number] = known.get(arrival.class_name) or RequestClass(
            arrival.class_name, 1, 1, 1, Idempotency.NON_IDEMPOTENT
        )

    def execute(self, n, action):
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
            self.checker.use_class_of(action.id)
        if isinstance(action, StartAttempt):
            assert 0 < action.timeout_ms < 60_000
        super().execute(n, action)

    def deliver(self, gateway, event):
        if isinstance(event, tuple):
            self.checker.use_class_of(event[0])
        super().deliver(gateway, event)
        if self.chance.random() < 0.06:
            self.change(gateway)
        elif self.chance.random() < 0.001:
            self.hand_over(gateway)

    def hand_over(self, n):
        """Hot-restart a gateway into a process with other settings, which then dies, so that the gateway
        resumes."""
        control = self.gateways[n]
        events, self.inbox[n] = self.inbox[n], []
        for action in control.handle(self.now, events):
            self.execute(n, action)
        state = export_snapshot(control, self.now)
        self.in_force[n] = self.chance.choice(self.pool)
        new = Controller(self.now_at(n), self.chance.randrange(1 << 30))
        new.handle(self.now, [EndpointsUpdated(tuple(self.fleet)), ImportState(state)])
        self.check(new)
        for action in control.handle(
            self.now, [ResumeAfterFailedHandover()]
        ):  # The successor dies, and the predecessor resumes.
            self.execute(n, action)
        self.in_force[n] = control.settings
        self.check(control)


@pytest.mark.parametrize("seed", range(8))
def test_random_events_and_settings_changes_keep_the_invariants(seed):
    town = ChangingTown(seed, loss=(0.1, 0.5)[seed % 2], kill=0.0003)
    town.run(8000)
    for control in town.gateways.values():
        town.check(control)
    assert town.changes > 30 and town.rejected > 3 and len(town.checker.done) > 400
    assert not town.checker.open


def test_no_table_grows_over_200_changes_to_new_names():
    base = settings(gateways=1)
    control, now = Controller(base, 1), 0.0
    control.handle(now, [FLEET_6])
    numbers, sizes, pending, sent = itertools.count(1), [], [], Counter()

    def turn(now, events=()):
        """Pass events, and the results of the attempts started in the turn before; some of them fail."""
        events, pending[:] = [*events, *pending], []
        for send in actions_of(StartAttempt, control.handle(now, events)):
            pending.append(
                completion(send, AttemptResult.ERROR if send.id % 5 == 0 else AttemptResult.OK, sent[send.id])
            )
            sent[send.id] += 1
        assert not control.faults

    for step in range(200):
        classes = tuple(
            replace(request_class, name=f"{request_class.name}-{step}") for request_class in base.classes
        )
        plans = tuple(replace(plan, name=f"{plan.name}-{step}") for plan in base.plans)
        assert change(control, now, replace(base, classes=classes, plans=plans)) == ""
        for _ in range(12):
            now += 100.0
            arrivals = [
                RequestReceived(
                    next(numbers),
                    f"c{request_class.name}",
                    request_class.name,
                    plan.name,
                    now + 900.0,
                    1,
                    0,
                    1,
                )
                for request_class in classes
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
    # The tables hold entries of the last changes only; housekeeping drops idle accounts after IDLE_MS.
    assert max(sizes[100:]) <= max(sizes[10:100]) * 1.1 and max(sizes) < 18 * (IDLE_MS / 1200 + 6)
    for _ in range(400):
        now += 100.0
        turn(now)
    assert (
        len(control.state.queue.shares) == 6
        and not control.state.quota.owner.detached
        and not control.state.attempts
    )


# -- hot restart between processes with different settings


def test_successor_with_other_settings_imports_state_by_names():
    """The successor has plans at other indexes, with other values, a new one, or lacks one."""
    old = Controller(with_plain_plan(), 1)
    own_customer = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)
    old.handle(0.0, [FLEET_6])

    def burst(control, now):
        return len(
            actions_of(
                StartAttempt,
                control.handle(
                    now,
                    [
                        request_event(next(NAMES), "look", "plain", customer=own_customer, due=now + 1400)
                        for _ in range(40)
                    ],
                ),
            )
        )

    assert burst(old, 4.0) >= 5
    level = next(iter(old.state.quota.owner.ledgers.values())).units
    given = with_plan(with_plain_plan(), "plain", rate_per_s=40.0, burst=120.0)
    moved = replace(given, plans=(Plan("first", 1, 1), *given.plans[::-1]))
    state = export_snapshot(old, 8.0)
    new = Controller(moved, 2)
    new.handle(8.0, [FLEET_6, ImportState(state)])
    assert not new.faults
    ((name, ledger),) = new.state.quota.owner.ledgers.items()
    assert name & 0xFFFF == 1 and ledger.plan is new.state.plans["plain"] and ledger.units <= level + 0.1
    assert burst(new, 12.0) <= 1
    # A successor without the plan keeps its ledgers in case the plan is restored, and exports them in turn.
    lacks = Controller(settings(), 3)
    lacks.handle(8.0, [FLEET_6, ImportState(state)])
    assert (
        not lacks.faults
        and not lacks.state.quota.owner.ledgers
        and len(lacks.state.quota.owner.detached) == 1
    )
    last = Controller(with_plain_plan(), 4)
    last.handle(12.0, [FLEET_6, ImportState(export_snapshot(lacks, 12.0))])
    assert not last.faults and burst(last, 16.0) <= 1
    fresh = Controller(with_plain_plan(), 1)
    fresh.handle(0.0, [FLEET_6])
    assert burst(fresh, 16.0) >= 5  # A process without the snapshot would grant more.


def test_predecessor_applies_settings_without_serving_its_exported_ledgers():
    old = gateway()
    own_customer = next(f"c{n}" for n in itertools.count() if customer_tag(f"c{n}") % 0x100000000 % 3 == 0)
    crowd = [request_event(n, ("book", "seat")[n % 2], customer=own_customer, due=4000.0) for n in range(40)]
    old.handle(0.0, [FLEET_6, *crowd])
    old.handle(4.0, [ExportState()])
    assert change(old, 8.0, without(with_plan(settings(), "rated", rate_per_s=100.0), "book")) == ""
    level = next(iter(old.state.quota.owner.ledgers.values())).units
    for step in range(20):
        old.handle(100.0 + 100 * step, [])
        assert not old.faults
    old.handle(3000.0, [ResumeAfterFailedHandover()])
    assert not old.faults and next(iter(old.state.quota.owner.ledgers.values())).units <= max(0.0, level) + 1
