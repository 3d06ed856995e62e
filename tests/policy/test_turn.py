"""Exceptions in single steps of a turn: requests are still served, and the period timer continues."""

import math

import pytest
from support.controllers import (
    FLEET,
    TurnDidNotEndError,
    actions_of,
    completion,
    gateway,
    owner_of,
    request_event,
)

from plumpick.policy.actions import FailRequest, RejectRequest, SendPeerMessage, SetTimer, StartAttempt
from plumpick.policy.concurrency_limit import PERIOD_MS
from plumpick.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    PeerMessageReceived,
    TimerFired,
)
from plumpick.policy.timers import TimerKind

DRAINING_ENDPOINTS = EndpointsUpdated(
    tuple(Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointState.DRAINING) for n in range(4)), is_snapshot=False
)
STEPS = (
    "attempt_lifecycle.AttemptLifecycle.retry",
    "controller.Controller.on_timer",
    "request_lifecycle.RequestLifecycle.release",
    "controller.Controller.set_timer",
    "admission.AdmissionQueue.on_period",
    "controller.Controller.remove_expired",
    "quota.manager.QuotaManager.begin",
    "quota.outbox.PeerOutbox.take_packets",
    "quota.manager.QuotaManager.on_period",
    "load_balancing.LoadBalancer.choose",
    "endpoint_table.EndpointTable.on_period",
    "concurrency_limit.ConcurrencyLimit.on_period",
    "peer_messages.PeerMessageCodec.encode",
)
REQUIRED_STEPS = {
    "controller.Controller.on_timer",
    "request_lifecycle.RequestLifecycle.release",
    "quota.manager.QuotaManager.begin",
    "load_balancing.LoadBalancer.choose",
}  # steps without which no request can be served


def make_step_raise(monkeypatch, name, should_raise):
    """Patch a method to raise RuntimeError if `should_raise(call number, arguments)` is true; returns the
    list to which the arguments of each call are appended."""
    owner, method = name.rsplit(".", 1)
    module, kind = owner.rsplit(".", 1)
    target = getattr(__import__(f"plumpick.policy.{module}", fromlist=[kind]), kind)
    original, calls = getattr(target, method), []

    def raise_or_call(*arguments):
        calls.append(arguments[1:])
        if should_raise(len(calls), arguments[1:]):
            raise RuntimeError(name)
        return original(*arguments)

    monkeypatch.setattr(target, method, raise_or_call)
    return calls


def run_traffic(control, until=3000.0):
    """Send a request every 40 ms, answer each attempt after 50 ms and fire the timers that the controller
    sets.

    Returns the number of requests, the ids of served requests and of those rejected or failed, the request id
    of each attempt, and all exceptions of the turns."""
    now, number, timers, pending_answers = 1000.0, 0, [], []
    served, ended, sent, exceptions, events = set(), set(), [], [], [FLEET]
    while now < until:
        if now >= 1000 + 40 * number:
            number += 1
            events.append(request_event(number, plan="capped" if number % 2 else "rated", due=now + 1400.0))
        if now >= 1500 and now % 200 == 0:  # most endpoints go to draining, and back to ready
            events.append(DRAINING_ENDPOINTS if now % 400 else FLEET)
        events += [
            completion(send, AttemptResult.OK, attempt) for at, send, attempt in pending_answers if at <= now
        ]
        pending_answers = [row for row in pending_answers if row[0] > now]
        if any(at <= now for at in timers):
            events.append(TimerFired("agenda"))
        if events:
            timers = [at for at in timers if at > now]
            actions, events = control.handle(now, events), []
            exceptions += control.faults
            for action in actions:
                if isinstance(action, StartAttempt):
                    pending_answers.append((now + 50, action, sum(one == action.id for one in sent)))
                    sent.append(action.id)
                    served.add(action.id)
                elif isinstance(action, (RejectRequest, FailRequest)):
                    ended.add(action.id)
                elif isinstance(action, SetTimer):
                    timers.append(now + action.delay_ms)
            periods = [at for at, _, kind, _ in control.state.timers.entries if kind is TimerKind.PERIOD]
            assert len(periods) == 1 and now < periods[0] <= now + PERIOD_MS + 4
            assert min(timers, default=math.inf) <= periods[0] + 4
        now += 4
    return number, served, ended, sent, exceptions


def quota_owner_gateway(**more):
    return gateway(number=owner_of("c"), **more)


def test_run_without_exceptions_serves_requests_with_few_extra_attempts():
    number, served, _, sent, exceptions = run_traffic(quota_owner_gateway())
    assert not exceptions and len(served) >= 0.9 * number and len(sent) <= 1.3 * number


@pytest.mark.parametrize("name", STEPS)
def test_step_that_raises_once_affects_only_itself(monkeypatch, name):
    expected = len(run_traffic(quota_owner_gateway())[1])
    calls = make_step_raise(monkeypatch, name, lambda count, _: count == 1)
    number, served, _, sent, exceptions = run_traffic(quota_owner_gateway())
    assert calls and str(exceptions[0]) == name and len(exceptions) <= (2 if name.endswith("begin") else 1)
    assert len(served) >= expected - 2 and len(sent) <= 1.3 * number


@pytest.mark.parametrize("name", [name for name in STEPS if name not in REQUIRED_STEPS])
def test_requests_are_served_while_an_optional_step_always_raises(monkeypatch, name):
    expected = len(run_traffic(quota_owner_gateway())[1])
    calls = make_step_raise(monkeypatch, name, lambda *_: True)
    _, served, _, _, exceptions = run_traffic(quota_owner_gateway())
    assert calls and {str(fault) for fault in exceptions} == {name} and len(exceptions) == len(calls)
    assert len(served) >= 0.9 * expected


@pytest.mark.parametrize(
    "name", ["request_lifecycle.RequestLifecycle.release", "controller.Controller.on_timer"]
)
def test_period_timer_continues_while_a_required_step_always_raises(monkeypatch, name):
    calls = make_step_raise(monkeypatch, name, lambda *_: True)
    _, _, _, _, exceptions = run_traffic(quota_owner_gateway())  # checks the period timer in each turn
    assert len(exceptions) >= len(calls) >= 15


def test_timer_whose_handler_raises_does_not_fire_again(monkeypatch):
    calls = make_step_raise(
        monkeypatch, "controller.Controller.on_timer", lambda _, arguments: arguments[0] is TimerKind.HEDGE
    )
    run_traffic(quota_owner_gateway())
    assert any(kind is TimerKind.HEDGE for kind, _ in calls)
    assert max(calls.count(call) for call in calls if call[0] is TimerKind.HEDGE) == 1


def test_request_whose_start_raises_delays_no_other_and_ends_in_time(monkeypatch):
    """Attempts started earlier in the same turn are sent once, although the step then raises."""
    make_step_raise(
        monkeypatch,
        "load_balancing.LoadBalancer.choose",
        lambda _, arguments: arguments[1].received.id % 5 == 3,
    )
    number, served, ended, sent, exceptions = run_traffic(quota_owner_gateway())
    assert exceptions and len(sent) <= 1.3 * len(served)
    bad = {n for n in range(1, number + 1) if n % 5 == 3}
    assert not bad & served and {n for n in bad if 40 * n < 500} <= ended
    assert len(served) >= 0.85 * (number - len(bad))


def test_encoding_error_for_one_peer_does_not_affect_messages_to_others(monkeypatch):
    control = quota_owner_gateway()
    control.handle(1000.0, [FLEET])
    others = sorted({0, 1, 2} - {control.settings.gateway_number})
    calls = make_step_raise(monkeypatch, "peer_messages.PeerMessageCodec.encode", lambda count, _: count == 1)
    messages = actions_of(SendPeerMessage, control.handle(1000.0 + 600, []))
    assert (
        len(calls) == 2
        and [message.receiver for message in messages] == others[1:]
        and len(control.faults) == 1
    )


def test_request_with_nan_deadline_does_not_break_the_timer_queue():
    """A NaN time in the timer queue would break its order, since NaN compares neither less nor greater."""
    control = quota_owner_gateway()
    control.handle(1000.0, [FLEET])
    odd = request_event(1, due=math.nan)
    assert actions_of(RejectRequest, control.handle(1001.0, [odd])) and not control.requests
    assert all(at == at for at, *_ in control.state.timers.entries)
    assert not actions_of(StartAttempt, control.handle(1002.0, [PeerMessageReceived(1, b"")]))


@pytest.mark.parametrize("offset_ms", [0.0, -1.0, -1e6], ids=["now", "past", "long past"])
def test_timer_set_for_the_past_keeps_no_turn_alive(monkeypatch, offset_ms):
    """Guards against a timer that sets itself anew in the past, with which all gateways hung in one turn
    (review/2)."""
    control = gateway()
    control.handle(1000.0, [FLEET])
    fired, served = [], set()
    on_timer = type(control).on_timer

    def set_anew(self, kind, key):
        on_timer(self, kind, key)
        if kind is TimerKind.OUTBOX:
            fired.append(kind)
            if len(fired) > 10_000:
                raise TurnDidNotEndError
            self.state.timers.schedule(self.turn.now_ms + offset_ms, kind)

    monkeypatch.setattr(type(control), "on_timer", set_anew)
    control.state.timers.schedule(1000.0, TimerKind.OUTBOX)
    own_customers = [name for name in map(str, range(3000)) if owner_of(name) == 0]
    faults = []
    for turn in range(1, 301):
        now = 1000.0 + turn
        request = request_event(turn, due=now + 1000.0, customer=own_customers[turn])
        actions = control.handle(now, [TimerFired("agenda"), request])
        faults += control.faults
        for send in actions_of(StartAttempt, actions):
            control.handle(now, [completion(send, AttemptResult.OK)])
            faults += control.faults
            served.add(send.id)
    assert len(served) > 250 and len(fired) <= 600  # fired once in each turn
    assert [str(fault) for fault in faults] == [
        f"timer OUTBOX: set for a time in the past in {turns} turns in a row"
        for turns in range(100, len(fired) + 1, 100)
    ]
