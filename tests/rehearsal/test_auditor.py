"""Tests of the auditor on hand-made records: for each rule, values just inside and just outside its limit."""

import pytest

from plumpick.rehearsal.auditor import CEILINGS, COLD, DRAINS, EFFECTS, LOST, TOLERANCES, Auditor
from plumpick.rehearsal.records import (
    AttemptAnswered,
    AttemptExecuted,
    AttemptReceived,
    AttemptRejected,
    DatagramHandled,
    ExtraBytesReceived,
    GatewayEvent,
    LoopLag,
    RequestAbandoned,
    RequestSent,
    ResponseReceived,
    RunEnded,
    RunStarted,
    StatusSent,
    WorkerEnded,
    WorkerStarted,
    type_name,
)
from plumpick.rehearsal.scenario import Scenario

QUOTAS = {
    "basico": {
        "rate": 1.0,
        "burst": 5.0,
        "ceiling_rate": 0.0,
        "ceiling_burst": 0.0,
        "ceiling_slack": 0.0,
        "value": 1.0,
        "over_cost": 0.6,
    },
    "amplio": {
        "rate": 5.0,
        "burst": 5.0,
        "ceiling_rate": 10.0,
        "ceiling_burst": 10.0,
        "ceiling_slack": 1.0,
        "value": 1.8,
        "over_cost": 0.6,
    },
}
EPSILON_MS = 0.01  # ms


def run_started():
    return RunStarted(0.0, Scenario().terms(1, "", "made by hand") | {"quotas": QUOTAS})


def audited(*records, over=True):
    """Return an auditor fed with these records; workers a1 and a2 are in one zone, b1 is in another."""
    auditor = Auditor()
    auditor.feed(run_started())
    for name, hall in (("a1", "hall-a"), ("a2", "hall-a"), ("b1", "hall-b")):
        auditor.feed(WorkerStarted(0.0, name, 1, hall, 2.0, 1.0, 9000.0))
    for record in records:
        auditor.feed(record)
    if over:
        auditor.feed(RunEnded(max(record.t for record in records) + 5000.0, 1.0, 2.0))
    return auditor


def broken_rules(*records, **more):
    return {rule for rule, count in audited(*records, **more).counts.items() if count}


def request_sent(
    t=100.0, name="r1", kind="hours-debit", wait=1000.0, plan="basico", firm="f1", gate="n0", op=1, turn=0
):
    return RequestSent(
        t, name, op, turn, firm, plan, kind, gate, wait, 1.0, "k" if kind == "seat-checkout" else ""
    )


def attempt_received(t, n=1, name="r1", server="a1", kind="hours-debit", first=None, life=1, work=225.0):
    return AttemptReceived(t, n, name, server, life, t if first is None else first, kind, work)


def served(t, n=1, name="r1"):
    return [
        AttemptExecuted(t, n, False),
        AttemptAnswered(t, n, 200, False, 50.0),
        ResponseReceived(t, name, 200, n, name, 0.0),
    ]


# -- rule 1: each accepted request gets one final response


def test_normal_request_breaks_no_rule_and_counts_as_a_chance():
    auditor = audited(request_sent(), attempt_received(110), *served(200))
    assert not any(auditor.counts.values())
    assert auditor.verdicts() == {
        LOST: "held",
        EFFECTS: "held",
        DRAINS: "not put to the test",
        COLD: "not put to the test",
        CEILINGS: "not put to the test",
    }


@pytest.mark.parametrize(("late", "verdict"), [(-EPSILON_MS, set()), (EPSILON_MS, {LOST})])
def test_response_is_a_breach_only_beyond_the_late_answer_tolerance(late, verdict):
    t = 100 + 1000 + TOLERANCES["answer_late"] + late
    assert broken_rules(request_sent(), attempt_received(110), *served(t)) == verdict


def test_missing_response_is_a_breach_unless_client_closed_or_run_ended():
    assert broken_rules(request_sent(), RequestAbandoned(1170, "r1", "overdue")) == {LOST}
    assert broken_rules(request_sent(), RequestAbandoned(300, "r1", "broken")) == {LOST}
    assert broken_rules(request_sent(), RequestAbandoned(300, "r1", "went")) == set()
    assert (
        broken_rules(request_sent(), attempt_received(120), AttemptExecuted(150, 1, False)) == set()
    )  # still open at the end of the run
    assert broken_rules(RequestAbandoned(300, "never sent", "unreachable")) == set()


def test_requests_open_at_a_killed_gateway_are_no_breach():
    kill, gone = GatewayEvent(300, "n0", "kill", 0), GatewayEvent(320, "n0", "exited", -9)
    assert broken_rules(request_sent(), kill, RequestAbandoned(310, "r1", "broken"), gone) == set()
    assert (
        broken_rules(request_sent(), RequestAbandoned(299, "r1", "broken"), kill, gone) == set()
    )  # recorded just before the kill
    assert broken_rules(request_sent(), kill, gone, RequestAbandoned(1170, "r1", "overdue")) == set()
    assert broken_rules(request_sent(gate="n1"), kill, gone, RequestAbandoned(310, "r1", "broken")) == {
        LOST
    }  # open at another gateway
    early = 300 - TOLERANCES["killed_early"]
    assert broken_rules(
        request_sent(t=20), RequestAbandoned(early - EPSILON_MS, "r1", "broken"), kill, gone
    ) == {LOST}
    back = [GatewayEvent(500, "n0", "started", 0), GatewayEvent(600, "n0", "ready", 0)]
    assert broken_rules(kill, gone, *back, request_sent(t=700), RequestAbandoned(900, "r1", "broken")) == {
        LOST
    }


def test_request_sent_to_an_ended_gateway_is_no_breach():
    gone = [GatewayEvent(50, "n0", "term", 0), GatewayEvent(90, "n0", "exited", 0)]
    assert broken_rules(*gone, request_sent(t=100), RequestAbandoned(110, "r1", "broken")) == set()
    assert broken_rules(
        request_sent(t=80),
        *gone[:1],
        GatewayEvent(90, "n0", "exited", 0),
        RequestAbandoned(95, "r1", "broken"),
    ) == {LOST}


def test_gateway_exit_without_signal_or_with_error_code_is_a_breach():
    assert broken_rules(GatewayEvent(50, "n0", "exited", 0)) == {LOST}
    assert broken_rules(GatewayEvent(40, "n0", "term", 0), GatewayEvent(50, "n0", "exited", 1)) == {LOST}
    assert broken_rules(GatewayEvent(40, "n0", "term", 0), GatewayEvent(50, "n0", "exited", 0)) == set()


def test_second_response_and_extra_bytes_are_breaches():
    assert broken_rules(
        request_sent(), attempt_received(110), *served(200), ExtraBytesReceived(201, "r1")
    ) == {LOST}
    assert broken_rules(
        request_sent(), attempt_received(110), *served(200), ResponseReceived(210, "r1", 502, -1, "", 0.0)
    ) == {LOST}
    assert broken_rules(ResponseReceived(210, "r9", 502, -1, "", 0.0)) == {LOST}


def test_200_with_a_body_not_made_for_the_request_is_a_breach():
    other = [request_sent(name="r2", op=2), attempt_received(120, 2, "r2")]
    assert broken_rules(
        request_sent(),
        attempt_received(110),
        *other,
        AttemptExecuted(150, 2, False),
        AttemptAnswered(150, 2, 200, False, 9.0),
        ResponseReceived(200, "r1", 200, 2, "r2", 0.0),
    ) == {LOST}
    assert broken_rules(
        request_sent(),
        attempt_received(110),
        AttemptExecuted(150, 1, False),
        ResponseReceived(200, "r1", 200, 1, "r1", 0.0),
    ) == {LOST}
    assert broken_rules(
        request_sent(),
        attempt_received(110),
        AttemptExecuted(150, 1, False),
        AttemptAnswered(150, 1, 200, True, 9.0),
        ResponseReceived(200, "r1", 200, 1, "r1", 0.0),
    ) == {LOST}  # a corrupted answer does not count


@pytest.mark.parametrize(("late", "verdict"), [(-EPSILON_MS, set()), (EPSILON_MS, {LOST})])
def test_attempt_after_the_end_of_its_request_is_a_breach(late, verdict):
    first = 200 + TOLERANCES["send_after_end"] + late
    assert (
        broken_rules(
            request_sent(kind="seat-check"),
            attempt_received(110, kind="seat-check"),
            *served(200),
            attempt_received(first + 5, 2, kind="seat-check", first=first),
        )
        == verdict
    )


def test_attempt_for_a_request_that_no_client_sent_is_a_breach():
    assert broken_rules(attempt_received(110, name="nobody's")) == {LOST}


def test_datagram_of_more_than_256_bytes_is_a_breach():
    assert broken_rules(DatagramHandled(10, "n0", "n1", 256, "delivered")) == set()
    assert broken_rules(DatagramHandled(10, "n0", "n1", 257, "delivered")) == {LOST}


# -- rule 2: effects happen at most once


def test_unsafe_request_may_be_retried_only_after_its_attempt_was_rejected():
    sent = [request_sent(), attempt_received(110, 1, server="a1")]
    assert broken_rules(*sent, AttemptRejected(120, 1), attempt_received(130, 2, server="b1")) == set()
    assert broken_rules(*sent, attempt_received(130, 2, server="b1")) == {EFFECTS}
    assert broken_rules(
        *sent, AttemptAnswered(120, 1, 500, False, 9.0), attempt_received(130, 2, server="b1")
    ) == {EFFECTS}
    # The first attempt was rejected only after the second was sent.
    assert broken_rules(
        *sent, AttemptRejected(125, 1), attempt_received(130, 2, server="b1", first=125 - EPSILON_MS)
    ) == {EFFECTS}
    assert (
        broken_rules(*sent, AttemptRejected(125, 1), attempt_received(130, 2, server="b1", first=125))
        == set()
    )


def test_second_effect_is_a_breach_and_dropped_repeat_is_not():
    sent = [
        request_sent(kind="seat-checkout"),
        attempt_received(110, 1, kind="seat-checkout"),
        attempt_received(300, 2, server="a2", kind="seat-checkout"),
    ]
    assert broken_rules(*sent, AttemptExecuted(400, 1, False), AttemptExecuted(420, 2, True)) == set()
    assert broken_rules(*sent, AttemptExecuted(400, 1, False), AttemptExecuted(420, 2, False)) == {EFFECTS}
    safe = [
        request_sent(kind="seat-check"),
        attempt_received(110, 1, kind="seat-check"),
        attempt_received(300, 2, "r1", "b1", "seat-check"),
    ]
    assert broken_rules(*safe, AttemptExecuted(400, 1, False), AttemptExecuted(420, 2, False)) == set()


def test_keyed_request_that_may_have_run_must_stay_in_its_zone():
    sent = [request_sent(kind="seat-checkout"), attempt_received(110, 1, kind="seat-checkout")]
    assert broken_rules(*sent, attempt_received(300, 2, server="a2", kind="seat-checkout")) == set()
    assert broken_rules(*sent, attempt_received(300, 2, server="b1", kind="seat-checkout")) == {EFFECTS}
    assert (
        broken_rules(
            *sent, AttemptRejected(150, 1), attempt_received(300, 2, server="b1", kind="seat-checkout")
        )
        == set()
    )


@pytest.mark.parametrize(("late", "verdict"), [(-EPSILON_MS, set()), (EPSILON_MS, {EFFECTS})])
def test_keyed_retry_after_the_deduplication_window_is_a_breach(late, verdict):
    again = 110 + 15_000 + TOLERANCES["key_window"] + late
    assert (
        broken_rules(
            request_sent(kind="seat-checkout", wait=30_000.0),
            attempt_received(110, 1, kind="seat-checkout"),
            attempt_received(again, 2, server="a2", kind="seat-checkout"),
        )
        == verdict
    )


@pytest.mark.parametrize("status", [429, 503])
def test_rejection_is_a_breach_if_an_attempt_may_have_run(status):
    refusal = ResponseReceived(200, "r1", status, -1, "", 250.0)
    assert broken_rules(request_sent(), refusal) == set()
    assert broken_rules(request_sent(), attempt_received(110), AttemptRejected(120, 1), refusal) == set()
    assert broken_rules(request_sent(), attempt_received(110), refusal) == {EFFECTS}
    assert (
        broken_rules(request_sent(), attempt_received(110), ResponseReceived(200, "r1", 502, -1, "", 0.0))
        == set()
    )
    assert (
        broken_rules(request_sent(kind="seat-check"), attempt_received(110, kind="seat-check"), refusal)
        == set()
    )
    assert EFFECTS in broken_rules(
        request_sent(), refusal, attempt_received(210, first=205)
    )  # sent after the rejection


# -- rule 3: no new attempts after the drain grace period


@pytest.mark.parametrize("status", ["draining", "gone"])
@pytest.mark.parametrize(("late", "verdict"), [(-EPSILON_MS, set()), (EPSILON_MS, {DRAINS})])
def test_attempt_after_the_drain_grace_period_is_a_breach(status, late, verdict):
    first = 500 + 1000 + TOLERANCES["drain_late"] + late
    told = StatusSent(500, "n0", "a1", 1, status)
    assert broken_rules(told, request_sent(t=1400), attempt_received(first + 300, first=first)) == verdict


def test_drain_is_audited_by_the_latest_status_sent_to_each_gateway():
    told = StatusSent(500, "n1", "a1", 1, "gone")
    assert broken_rules(told, request_sent(t=4000, gate="n0"), attempt_received(4010)) == set()
    assert broken_rules(told, request_sent(t=4000, gate="n1"), attempt_received(4010)) == {DRAINS}
    assert (
        broken_rules(
            told,
            StatusSent(3000, "n1", "a1", 2, "ready"),
            request_sent(t=4000, gate="n1"),
            attempt_received(4010),
        )
        == set()
    )


# -- rule 4: cold workers are not overloaded


def cold_run(works, informed=3, step=1.0):
    """Return the broken rules after four gateways sent attempts with this work (ms) to a cold worker.

    The worker has a capacity of 2 ms of work per ms and starts at 1000 ms with a quarter of it. The first
    `informed` gateways know of its start; attempts are `step` ms apart.
    """
    records = [WorkerStarted(1000, "c1", 1, "hall-a", 2.0, 0.25, 1e9)]
    records += [StatusSent(1001, f"n{gate}", "c1", 1, "ready") for gate in range(informed)]
    for number, work in enumerate(works):
        t, gate, name = 1100 + number * step, f"n{number % 4}", f"r{number}"
        records += [
            request_sent(t=t - 1, name=name, kind="seat-check", gate=gate, op=number),
            attempt_received(t, number + 1, name, "c1", "seat-check", work=work),
        ]
    return broken_rules(*records)


def test_work_just_above_the_budget_of_a_cold_worker_is_a_breach():
    budget = 2.5 * 2.0 * 0.25 * 1000 + TOLERANCES["cold_requests"] * 225
    assert cold_run([budget / 8 - 0.01] * 8) == set()
    assert cold_run([budget / 8 + 0.01] * 8) == {COLD}


def test_cold_budget_applies_to_each_one_second_window_over_all_gateways():
    budget = 2.5 * 2.0 * 0.25 * 1000 + 225
    assert cold_run([budget / 8 + 0.01] * 8, step=143) == set()  # the first is outside the window of the last
    assert cold_run([budget / 9 + 0.01] * 9, step=125.1) == set()
    assert cold_run([budget / 4] * 9, step=125.1) == {COLD}


def test_cold_worker_overload_is_no_breach_if_too_few_gateways_knew_of_its_start():
    assert cold_run([400.0] * 8, informed=3) == {COLD}  # three quarters of the work
    assert cold_run([400.0] * 5, informed=3) == {COLD}
    assert cold_run([400.0] * 5, informed=2) == set()  # three fifths


def test_warm_worker_has_no_budget():
    work = [request_sent(t=1000 + n, name=f"r{n}", kind="seat-check", op=n) for n in range(40)]
    work += [attempt_received(1100 + n, n + 1, f"r{n}", "a1", "seat-check", work=900.0) for n in range(40)]
    assert broken_rules(*work) == set()


# -- rule 5: ceilings


def ceiling_run(count, gap, plan="amplio"):
    records = []
    for number in range(count):
        t, name = 1000 + number * gap, f"r{number}"
        records += [
            request_sent(
                t=t - 0.5, name=name, kind="seat-check", plan=plan, gate=f"n{number % 3}", op=number
            ),
            attempt_received(t, number + 1, name, kind="seat-check"),
        ]
    return audited(*records)


def test_ceiling_applies_over_all_gateways_within_its_slack():
    # Burst 10, slack 1, and 1.5 units that the rate of 10/s gives in 150 ms: 12.5 units are allowed at once.
    assert not ceiling_run(12, 0.0).counts[CEILINGS]
    assert ceiling_run(13, 0.0).counts[CEILINGS] == 1
    # 8 requests per second are below the rate and allowed indefinitely.
    assert not ceiling_run(200, 125.0).counts[CEILINGS]
    assert ceiling_run(200, 90.0).counts[CEILINGS]
    assert not ceiling_run(200, 0.0, plan="basico").counts[CEILINGS]


def test_ceiling_counts_each_try_once_and_survives_a_gateway_restart():
    once = [request_sent(kind="seat-check", plan="amplio")]
    once += [attempt_received(110 + n, n + 1, kind="seat-check") for n in range(30)]
    assert CEILINGS not in broken_rules(*once)
    records = []
    for number in range(13):
        if number == 6:
            records += [
                GatewayEvent(1000, "n0", "kill", 0),
                GatewayEvent(1000, "n0", "exited", -9),
                GatewayEvent(1000, "n0", "started", 0),
            ]
        name = f"r{number}"
        records += [
            request_sent(t=1000, name=name, kind="seat-check", plan="amplio", op=number),
            attempt_received(1000, number + 1, name, kind="seat-check"),
        ]
    assert broken_rules(*records) == {CEILINGS}


# -- content of breaches


def test_breach_holds_all_records_of_its_request_including_later_ones():
    auditor = audited(
        request_sent(),
        attempt_received(110, 1),
        attempt_received(130, 2, server="b1"),
        AttemptExecuted(200, 1, False),
        AttemptExecuted(220, 2, False),
        AttemptAnswered(220, 2, 200, False, 9.0),
        ResponseReceived(230, "r1", 200, 2, "r1", 0.0),
    )
    first, second = auditor.breaches
    assert (first.rule, first.what, first.t) == (EFFECTS, "r1", 130)
    assert "b1" in first.text and "a1" in first.text and "2 times" in second.text
    kinds = [type_name(record) for record in first.story]
    assert kinds == ["Asked", "Took", "Took", "Ran", "Ran", "Replied", "Answered"]


def test_records_after_the_end_of_the_run_are_ignored():
    auditor = audited(request_sent())
    auditor.feed(RequestAbandoned(99_999, "r1", "overdue"))
    assert not any(auditor.counts.values())


def test_auditor_removes_ended_requests():
    auditor = Auditor()
    auditor.feed(run_started())
    auditor.feed(WorkerStarted(0.0, "a1", 1, "hall-a", 2.0, 1.0, 9000.0))
    for number in range(3000):
        t, name = 100.0 * number, f"r{number}"
        for record in [
            request_sent(t=t, name=name, op=number),
            attempt_received(t + 1, number, name),
            *served(t + 50, number, name),
        ]:
            auditor.feed(record)
    assert len(auditor._requests) < 250 and len(auditor._by_attempt) < 250
    assert not any(auditor.counts.values())


def test_stall_near_a_timing_breach_invalidates_the_verdict():
    from plumpick.rehearsal.fleet import too_slow

    late = [request_sent(), attempt_received(110), *served(100 + 1000 + 80)]
    assert not too_slow(audited(*late))
    assert too_slow(audited(*late[:-1], LoopLag(1175, 60.0), late[-1]))
    assert not too_slow(audited(LoopLag(500, 60.0), *late[1:1], *late))  # stall long before the breach
    double = [
        request_sent(),
        attempt_received(110, 1),
        LoopLag(125, 60.0),
        attempt_received(130, 2, server="b1"),
    ]
    assert not too_slow(audited(*double))  # this breach does not depend on the clock
    slow = audited(*late[:2], over=False)
    slow.feed(RunEnded(9000, 16.0, 20.0))
    assert "ms late" in too_slow(slow)


def test_breach_of_a_cold_worker_holds_its_start_and_end():
    records = [
        WorkerStarted(1000, "c1", 1, "hall-a", 2.0, 0.25, 1e9),
        StatusSent(1001, "n0", "c1", 1, "ready"),
    ]
    for number in range(8):
        records += [
            request_sent(t=1100, name=f"r{number}", kind="seat-check", op=number),
            attempt_received(1101, number + 1, f"r{number}", "c1", "seat-check", work=400.0),
        ]
    auditor = audited(*records, WorkerEnded(1102, "c1", 1, "fell"))
    (breach,) = auditor.breaches
    assert isinstance(breach.story[0], WorkerStarted) and len(breach.story) >= 4
