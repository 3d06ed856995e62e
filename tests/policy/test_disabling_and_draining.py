"""Operators' commands in the decision module: disabling and enabling workers, draining clients."""

from dataclasses import replace

import pytest
from support.controllers import FLEET, actions_of, completion, gateway, request_event
from support.traffic import settings

from plumpick.policy.actions import CommandCompleted, RejectRequest, SetAdmissionState, StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.disabled_workers import (
    FIRST_ATTEMPT_AFTER_MS,
    MAX_NAME_LENGTH,
    MAX_UNLISTED,
    DisabledWorkers,
)
from plumpick.policy.draining import (
    BOUND_LATE_AFTER_MS,
    CLOSE_IDLE_AFTER_MS,
    CLOSE_UNREAD_AFTER_MS,
    AdmissionState,
    Draining,
)
from plumpick.policy.errors import CommandError
from plumpick.policy.events import (
    AttemptResult,
    CommandKind,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    OperatorCommand,
    RequestReceived,
)
from plumpick.policy.settings import Plan

FREE = "free"


def command_error(control, now, kind, endpoint="", number=1):
    """Execute a command in one turn; returns the error text of its answer, empty on success."""
    (completed,) = actions_of(
        CommandCompleted, control.handle(now, [OperatorCommand(number, kind, endpoint)])
    )
    assert completed.id == number
    return completed.error


def endpoints_used(control, now, count, first=1000):
    """Send `count` idempotent requests, each of another customer, with about 12 in flight at a time; returns
    the endpoints of their attempts."""
    sends, ended = [], 0
    for number in range(first, first + count):
        request = request_event(number, plan=FREE, due=now + 5000.0, customer=f"c{number}")
        sends += actions_of(StartAttempt, control.handle(now, [request]))
        if len(sends) - ended > 12:
            control.handle(now + 1.0, [completion(sends[ended], AttemptResult.OK)])
            ended += 1
        now += 10.0
    for send in sends[ended:]:
        control.handle(now, [completion(send, AttemptResult.OK)])
    return [send.endpoint for send in sends]


def gateway_without_quota(**more):
    """A single gateway with a plan that has no quota, so that no quota owner is involved."""
    given = settings(**more)
    return Controller(replace(given, plans=(*given.plans, Plan(FREE)), gateway_count=1, gateway_number=0), 1)


def test_disabled_worker_gets_no_attempts_after_discovery_lists_it_again():
    control = gateway_without_quota()
    control.handle(0.0, [FLEET])
    assert "s2" in endpoints_used(control, 0.0, 60, 500)
    assert command_error(control, 601.0, CommandKind.DISABLE, "s2") == ""
    assert "s2" not in endpoints_used(control, 610.0, 60)
    gone = EndpointsUpdated((Endpoint("s2", "z0", 2, EndpointState.GONE),), is_snapshot=False)
    relisted = EndpointsUpdated(
        (Endpoint("s2", "z0", 2, EndpointState.READY, started_ms=900.0),), is_snapshot=False
    )
    control.handle(2000.0, [gone])
    control.handle(2001.0, [relisted])
    control.handle(2002.0, [FLEET])
    assert "s2" not in endpoints_used(control, 2010.0, 60, 2000)


def test_worker_disabled_twice_is_enabled_by_one_command_and_unknown_ids_are_rejected():
    control = gateway_without_quota()
    control.handle(0.0, [FLEET])
    assert (
        command_error(control, 1.0, CommandKind.DISABLE, "s2")
        == command_error(control, 2.0, CommandKind.DISABLE, "s2")
        == ""
    )
    assert (
        command_error(control, 3.0, CommandKind.ENABLE, "s2")
        == command_error(control, 4.0, CommandKind.ENABLE, "s2")
        == ""
    )
    assert "s2" in endpoints_used(control, 4.0 + FIRST_ATTEMPT_AFTER_MS, 60)
    assert command_error(control, 2000.0, CommandKind.DISABLE, "s99") and command_error(
        control, 2001.0, CommandKind.ENABLE, "s99"
    )


def test_enabled_worker_gets_its_first_attempt_soon_and_then_goes_through_slow_start():
    """Guards against an enabled worker that gets no attempt for long: load balancing sends few attempts to a
    worker in slow start, so the first one has to be assigned to it."""
    control = gateway_without_quota()
    control.handle(0.0, [FLEET])
    before = endpoints_used(control, 10.0, 120)
    command_error(control, 2000.0, CommandKind.DISABLE, "s2")
    command_error(control, 3000.0, CommandKind.ENABLE, "s2")
    after = endpoints_used(control, 3000.0 + FIRST_ATTEMPT_AFTER_MS, 120, 4000)
    assert after[0] == "s2"
    assert 0 < after.count("s2") < before.count("s2")


def test_attempt_at_a_disabled_worker_may_finish_and_its_retry_goes_elsewhere():
    control = gateway_without_quota()
    control.handle(0.0, [FLEET])
    (send,) = actions_of(StartAttempt, control.handle(1.0, [request_event(1, plan=FREE)]))
    command_error(control, 2.0, CommandKind.DISABLE, send.endpoint)
    (again,) = actions_of(StartAttempt, control.handle(20.0, [completion(send, AttemptResult.ERROR)]))
    assert again.endpoint != send.endpoint


def test_requests_are_rejected_early_when_the_only_worker_is_disabled():
    control = gateway_without_quota()
    control.handle(0.0, [EndpointsUpdated((Endpoint("s2", "z0", 0, EndpointState.READY),))])
    command_error(control, 1.0, CommandKind.DISABLE, "s2")
    assert not actions_of(StartAttempt, control.handle(2.0, [request_event(1, plan=FREE, due=2002.0)]))
    rejected, now = [], 2.0
    while not rejected and now < 2002.0:
        now += 10.0
        rejected = actions_of(RejectRequest, control.handle(now, []))
    assert rejected and now < 1100.0


def test_number_of_disabled_unlisted_workers_is_bounded():
    disabled = DisabledWorkers(9000.0)
    for number in range(MAX_UNLISTED):
        disabled.disable(f"w{number}", {f"w{number}"})
    for number in range(MAX_UNLISTED, MAX_UNLISTED + 5):
        with pytest.raises(CommandError, match="too many"):
            disabled.disable(f"w{number}", {f"w{number}"})
    assert len(disabled) == MAX_UNLISTED and "w0" in disabled
    with pytest.raises(CommandError, match="no such worker"):
        disabled.disable("x" * (MAX_NAME_LENGTH + 1), {"x" * (MAX_NAME_LENGTH + 1)})
    disabled.enable(1.0, "w0", ())
    assert "w0" not in disabled


def test_enabled_worker_is_forgotten_after_its_slow_start():
    disabled = DisabledWorkers(9000.0)
    disabled.disable("w", {"w"})
    disabled.enable(100.0, "w", {"w"})
    assert (
        disabled.slow_start_began_ms(5000.0, "w", 0.0) == 100.0
        and disabled.slow_start_began_ms(5000.0, "w", 4000.0) == 4000.0
    )
    assert disabled.slow_start_began_ms(9100.0, "w", 0.0) == 0.0 and disabled.export_state() == ((), ())


def test_disabled_workers_are_passed_to_the_successor():
    first, second = DisabledWorkers(9000.0), DisabledWorkers(9000.0)
    first.disable("a", {"a"})
    first.disable("b", {"b"})
    first.enable(50.0, "b", {"b"})
    second.import_state(*first.export_state())
    assert "a" in second and "b" not in second and second.slow_start_began_ms(60.0, "b", 0.0) == 50.0
    assert not second.awaits_first_attempt(50.0 + FIRST_ATTEMPT_AFTER_MS, "b")


def test_drain_goes_through_its_stages_and_a_second_drain_changes_nothing():
    control = gateway()
    control.handle(0.0, [FLEET])
    stages, now = [], 0.0
    while now < CLOSE_UNREAD_AFTER_MS + 500.0:
        events = [OperatorCommand(1, CommandKind.DRAIN)] if now in (100.0, 400.0) else []
        stages += [
            (now, admission.state) for admission in actions_of(SetAdmissionState, control.handle(now, events))
        ]
        now += 10.0
    assert stages == [
        (100.0, AdmissionState.REDIRECTING),
        (100.0 + CLOSE_IDLE_AFTER_MS, AdmissionState.CLOSING_IDLE),
        (100.0 + BOUND_LATE_AFTER_MS, AdmissionState.BOUNDING_LATE_REQUESTS),
        (100.0 + CLOSE_UNREAD_AFTER_MS, AdmissionState.CLOSING_UNREAD),
    ]


def test_undrain_reopens_at_once_in_any_stage():
    for undrain_ms in (101.0, 700.0, 2200.0, 3000.0):
        control = gateway()
        control.handle(0.0, [FLEET])
        control.handle(100.0, [OperatorCommand(1, CommandKind.DRAIN)])
        now, last = 100.0, None
        while now < 6000.0:
            now += 1.0
            for admission in actions_of(
                SetAdmissionState,
                control.handle(now, [OperatorCommand(2, CommandKind.UNDRAIN)] if now == undrain_ms else []),
            ):
                last = admission.state
                assert now < undrain_ms or last is AdmissionState.OPEN
            if now == undrain_ms:
                assert last is AdmissionState.OPEN


def test_stages_count_from_the_second_drain_after_an_undrain():
    draining = Draining()
    draining.drain(0.0)
    draining.undrain()
    assert draining.undrain() is False
    draining.drain(1000.0)
    assert draining.state_at(1000.0 + CLOSE_IDLE_AFTER_MS - 1.0) is AdmissionState.REDIRECTING


def test_draining_gateway_still_serves_requests():
    control = gateway_without_quota()
    control.handle(0.0, [FLEET])
    control.handle(1.0, [OperatorCommand(1, CommandKind.DRAIN)])
    assert actions_of(StartAttempt, control.handle(2.0, [RequestReceived(1, "c", "look", FREE, 3000.0)]))


def ratio_sent_to_cold(cold, seconds=2, rate=60):
    """Replace `cold` of nine endpoints by newly started ones and send idempotent requests. Returns the ratio
    of attempts that go to the cold ones, and the number of attempts per request."""
    control = gateway_without_quota(overload_multiple=2.5)
    names = [f"s{n}" for n in range(9)]
    control.handle(
        0.0, [EndpointsUpdated(tuple(Endpoint(name, "z0", 0, EndpointState.READY) for name in names))]
    )
    control.handle(100.0, [])
    endpoints = [
        Endpoint(name, "z0", 0, EndpointState.READY, started_ms=200.0 if n < cold else 0.0)
        for n, name in enumerate(names)
    ]
    control.handle(200.0, [EndpointsUpdated(tuple(endpoints))])
    sends, now, in_flight = [], 200.0, []
    for number in range(seconds * rate):
        now += 1000.0 / rate
        arrival = RequestReceived(number, f"c{number}", "look", FREE, now + 1500.0)
        new = actions_of(StartAttempt, control.handle(now, [arrival]))
        sends += new
        in_flight += [(now + 60.0, send) for send in new]
        for due, send in [row for row in in_flight if row[0] <= now]:
            in_flight.remove((due, send))
            sends += actions_of(StartAttempt, control.handle(now, [completion(send, AttemptResult.OK)]))
    to_cold = [send for send in sends if int(send.endpoint[1:]) < cold]
    return len(to_cold) / len(sends), len(sends) / (seconds * rate)


def test_cold_workers_carry_their_part_of_the_load_when_few_are_warm():
    """Guards against overload of the warm workers. In the simulated case upgrade+hand, with two of nine
    workers still warm, those two got two thirds of the attempts."""
    part, _ = ratio_sent_to_cold(7)
    assert 0.35 < part < 0.75  # By capacity: 7 x 0.25 of 3.75. It was 0.2 by reference capacity.
    _, sent = ratio_sent_to_cold(9, seconds=6)
    assert sent > 0.7  # It was 0.6 when each request waited 1 s for the next attempt.


def test_cold_worker_among_warm_ones_gets_no_more_than_its_progress():
    part, _ = ratio_sent_to_cold(1, seconds=4)
    assert part < 2.5 * 0.25 / 9
