"""The auditor on records made by hand: for each rule one step inside its bound, and one outside."""

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
HAIR = 0.01  # ms


def began():
    return RunStarted(0.0, Scenario().terms(1, "", "made by hand") | {"quotas": QUOTAS})


def judge(*records, over=True):
    """The auditor after these records, with servers a1 and a2 in one hall and b1 in another."""
    auditor = Auditor()
    auditor.feed(began())
    for name, hall in (("a1", "hall-a"), ("a2", "hall-a"), ("b1", "hall-b")):
        auditor.feed(WorkerStarted(0.0, name, 1, hall, 2.0, 1.0, 9000.0))
    for record in records:
        auditor.feed(record)
    if over:
        auditor.feed(RunEnded(max(record.t for record in records) + 5000.0, 1.0, 2.0))
    return auditor


def broken(*records, **more):
    return {rule for rule, count in judge(*records, **more).counts.items() if count}


def asked(
    t=100.0, name="r1", kind="hours-debit", wait=1000.0, plan="basico", firm="f1", gate="n0", op=1, turn=0
):
    return RequestSent(
        t, name, op, turn, firm, plan, kind, gate, wait, 1.0, "k" if kind == "seat-checkout" else ""
    )


def took(t, n=1, name="r1", server="a1", kind="hours-debit", first=None, life=1, work=225.0):
    return AttemptReceived(t, n, name, server, life, t if first is None else first, kind, work)


def served(t, n=1, name="r1"):
    return [
        AttemptExecuted(t, n, False),
        AttemptAnswered(t, n, 200, False, 50.0),
        ResponseReceived(t, name, 200, n, name, 0.0),
    ]


# -- no request is lost


def test_an_ordinary_request_breaks_nothing_and_counts_as_a_chance():
    auditor = judge(asked(), took(110), *served(200))
    assert not any(auditor.counts.values())
    assert auditor.verdicts() == {
        LOST: "held",
        EFFECTS: "held",
        DRAINS: "not put to the test",
        COLD: "not put to the test",
        CEILINGS: "not put to the test",
    }


@pytest.mark.parametrize(("late", "verdict"), [(-HAIR, set()), (HAIR, {LOST})])
def test_an_answer_may_be_so_late(late, verdict):
    t = 100 + 1000 + TOLERANCES["answer_late"] + late
    assert broken(asked(), took(110), *served(t)) == verdict


def test_no_answer_is_a_breach_unless_the_client_went_by_itself_or_the_run_ended():
    assert broken(asked(), RequestAbandoned(1170, "r1", "overdue")) == {LOST}
    assert broken(asked(), RequestAbandoned(300, "r1", "broken")) == {LOST}
    assert broken(asked(), RequestAbandoned(300, "r1", "went")) == set()
    assert broken(asked(), took(120), AttemptExecuted(150, 1, False)) == set()  # open at the end
    assert broken(RequestAbandoned(300, "never sent", "unreachable")) == set()


def test_what_a_killed_gatekeeper_held_is_the_clients_to_try_again():
    kill, gone = GatewayEvent(300, "n0", "kill", 0), GatewayEvent(320, "n0", "exited", -9)
    assert broken(asked(), kill, RequestAbandoned(310, "r1", "broken"), gone) == set()
    assert (
        broken(asked(), RequestAbandoned(299, "r1", "broken"), kill, gone) == set()
    )  # noted a moment before
    assert broken(asked(), kill, gone, RequestAbandoned(1170, "r1", "overdue")) == set()
    assert broken(asked(gate="n1"), kill, gone, RequestAbandoned(310, "r1", "broken")) == {
        LOST
    }  # another one held it
    early = 300 - TOLERANCES["killed_early"]
    assert broken(asked(t=20), RequestAbandoned(early - HAIR, "r1", "broken"), kill, gone) == {LOST}
    back = [GatewayEvent(500, "n0", "started", 0), GatewayEvent(600, "n0", "ready", 0)]
    assert broken(kill, gone, *back, asked(t=700), RequestAbandoned(900, "r1", "broken")) == {LOST}


def test_a_request_to_a_gatekeeper_that_has_ended_was_never_taken():
    gone = [GatewayEvent(50, "n0", "term", 0), GatewayEvent(90, "n0", "exited", 0)]
    assert broken(*gone, asked(t=100), RequestAbandoned(110, "r1", "broken")) == set()
    assert broken(
        asked(t=80), *gone[:1], GatewayEvent(90, "n0", "exited", 0), RequestAbandoned(95, "r1", "broken")
    ) == {LOST}


def test_a_gatekeeper_that_ends_by_itself_or_with_an_error_has_crashed():
    assert broken(GatewayEvent(50, "n0", "exited", 0)) == {LOST}
    assert broken(GatewayEvent(40, "n0", "term", 0), GatewayEvent(50, "n0", "exited", 1)) == {LOST}
    assert broken(GatewayEvent(40, "n0", "term", 0), GatewayEvent(50, "n0", "exited", 0)) == set()


def test_a_second_answer_and_bytes_beyond_the_answer_are_breaches():
    assert broken(asked(), took(110), *served(200), ExtraBytesReceived(201, "r1")) == {LOST}
    assert broken(asked(), took(110), *served(200), ResponseReceived(210, "r1", 502, -1, "", 0.0)) == {LOST}
    assert broken(ResponseReceived(210, "r9", 502, -1, "", 0.0)) == {LOST}


def test_only_the_body_that_a_server_made_for_the_request_serves_it():
    other = [asked(name="r2", op=2), took(120, 2, "r2")]
    assert broken(
        asked(),
        took(110),
        *other,
        AttemptExecuted(150, 2, False),
        AttemptAnswered(150, 2, 200, False, 9.0),
        ResponseReceived(200, "r1", 200, 2, "r2", 0.0),
    ) == {LOST}
    assert broken(
        asked(), took(110), AttemptExecuted(150, 1, False), ResponseReceived(200, "r1", 200, 1, "r1", 0.0)
    ) == {LOST}
    assert broken(
        asked(),
        took(110),
        AttemptExecuted(150, 1, False),
        AttemptAnswered(150, 1, 200, True, 9.0),
        ResponseReceived(200, "r1", 200, 1, "r1", 0.0),
    ) == {LOST}  # a spoilt answer is none


@pytest.mark.parametrize(("late", "verdict"), [(-HAIR, set()), (HAIR, {LOST})])
def test_nothing_is_sent_for_a_request_after_its_end(late, verdict):
    first = 200 + TOLERANCES["send_after_end"] + late
    assert (
        broken(
            asked(kind="seat-check"),
            took(110, kind="seat-check"),
            *served(200),
            took(first + 5, 2, kind="seat-check", first=first),
        )
        == verdict
    )


def test_a_server_that_gets_what_no_client_sent_is_told():
    assert broken(took(110, name="nobody's")) == {LOST}


def test_a_datagram_of_more_than_256_bytes():
    assert broken(DatagramHandled(10, "n0", "n1", 256, "delivered")) == set()
    assert broken(DatagramHandled(10, "n0", "n1", 257, "delivered")) == {LOST}


# -- effects happen once


def test_an_unsafe_request_goes_out_again_only_if_it_surely_never_ran():
    sent = [asked(), took(110, 1, server="a1")]
    assert broken(*sent, AttemptRejected(120, 1), took(130, 2, server="b1")) == set()
    assert broken(*sent, took(130, 2, server="b1")) == {EFFECTS}
    assert broken(*sent, AttemptAnswered(120, 1, 500, False, 9.0), took(130, 2, server="b1")) == {EFFECTS}
    # Turned away only once the other was on its way.
    assert broken(*sent, AttemptRejected(125, 1), took(130, 2, server="b1", first=125 - HAIR)) == {EFFECTS}
    assert broken(*sent, AttemptRejected(125, 1), took(130, 2, server="b1", first=125)) == set()


def test_two_effects_of_one_request_are_a_breach_and_a_dropped_repeat_is_not():
    sent = [
        asked(kind="seat-checkout"),
        took(110, 1, kind="seat-checkout"),
        took(300, 2, server="a2", kind="seat-checkout"),
    ]
    assert broken(*sent, AttemptExecuted(400, 1, False), AttemptExecuted(420, 2, True)) == set()
    assert broken(*sent, AttemptExecuted(400, 1, False), AttemptExecuted(420, 2, False)) == {EFFECTS}
    safe = [asked(kind="seat-check"), took(110, 1, kind="seat-check"), took(300, 2, "r1", "b1", "seat-check")]
    assert broken(*safe, AttemptExecuted(400, 1, False), AttemptExecuted(420, 2, False)) == set()


def test_a_keyed_request_stays_in_its_hall_while_it_may_have_run():
    sent = [asked(kind="seat-checkout"), took(110, 1, kind="seat-checkout")]
    assert broken(*sent, took(300, 2, server="a2", kind="seat-checkout")) == set()
    assert broken(*sent, took(300, 2, server="b1", kind="seat-checkout")) == {EFFECTS}
    assert broken(*sent, AttemptRejected(150, 1), took(300, 2, server="b1", kind="seat-checkout")) == set()


@pytest.mark.parametrize(("late", "verdict"), [(-HAIR, set()), (HAIR, {EFFECTS})])
def test_a_keyed_request_goes_out_again_only_while_its_hall_remembers(late, verdict):
    again = 110 + 15_000 + TOLERANCES["key_window"] + late
    assert (
        broken(
            asked(kind="seat-checkout", wait=30_000.0),
            took(110, 1, kind="seat-checkout"),
            took(again, 2, server="a2", kind="seat-checkout"),
        )
        == verdict
    )


@pytest.mark.parametrize("status", [429, 503])
def test_a_refusal_promises_that_nothing_ran(status):
    refusal = ResponseReceived(200, "r1", status, -1, "", 250.0)
    assert broken(asked(), refusal) == set()
    assert broken(asked(), took(110), AttemptRejected(120, 1), refusal) == set()
    assert broken(asked(), took(110), refusal) == {EFFECTS}
    assert broken(asked(), took(110), ResponseReceived(200, "r1", 502, -1, "", 0.0)) == set()
    assert broken(asked(kind="seat-check"), took(110, kind="seat-check"), refusal) == set()
    assert EFFECTS in broken(asked(), refusal, took(210, first=205))  # on its way after the promise


# -- drains are kept


@pytest.mark.parametrize("status", ["draining", "gone"])
@pytest.mark.parametrize(("late", "verdict"), [(-HAIR, set()), (HAIR, {DRAINS})])
def test_new_work_stops_a_grace_after_the_word(status, late, verdict):
    first = 500 + 1000 + TOLERANCES["drain_late"] + late
    told = StatusSent(500, "n0", "a1", 1, status)
    assert broken(told, asked(t=1400), took(first + 300, first=first)) == verdict


def test_each_gatekeeper_is_judged_by_its_own_word_and_the_latest():
    told = StatusSent(500, "n1", "a1", 1, "gone")
    assert broken(told, asked(t=4000, gate="n0"), took(4010)) == set()
    assert broken(told, asked(t=4000, gate="n1"), took(4010)) == {DRAINS}
    assert (
        broken(told, StatusSent(3000, "n1", "a1", 2, "ready"), asked(t=4000, gate="n1"), took(4010)) == set()
    )


# -- a cold server is not pushed over


def cold_run(works, informed=3, step=1.0):
    """Work sent to a server of 2 ms a ms that is born at 1000 with a quarter of it; by four gatekeepers."""
    records = [WorkerStarted(1000, "c1", 1, "hall-a", 2.0, 0.25, 1e9)]
    records += [StatusSent(1001, f"n{gate}", "c1", 1, "ready") for gate in range(informed)]
    for number, work in enumerate(works):
        t, gate, name = 1100 + number * step, f"n{number % 4}", f"r{number}"
        records += [
            asked(t=t - 1, name=name, kind="seat-check", gate=gate, op=number),
            took(t, number + 1, name, "c1", "seat-check", work=work),
        ]
    return broken(*records)


def test_a_cold_servers_budget_within_a_hair():
    budget = 2.5 * 2.0 * 0.25 * 1000 + TOLERANCES["cold_requests"] * 225
    assert cold_run([budget / 8 - 0.01] * 8) == set()
    assert cold_run([budget / 8 + 0.01] * 8) == {COLD}


def test_the_budget_is_for_each_window_of_a_second_over_all_gatekeepers():
    budget = 2.5 * 2.0 * 0.25 * 1000 + 225
    assert cold_run([budget / 8 + 0.01] * 8, step=143) == set()  # the first is out of it by then
    assert cold_run([budget / 9 + 0.01] * 9, step=125.1) == set()
    assert cold_run([budget / 4] * 9, step=125.1) == {COLD}


def test_those_that_had_no_word_of_its_start_are_not_to_blame():
    assert cold_run([400.0] * 8, informed=3) == {COLD}  # three quarters of the work
    assert cold_run([400.0] * 5, informed=3) == {COLD}
    assert cold_run([400.0] * 5, informed=2) == set()  # three fifths


def test_a_warm_server_bears_what_it_is_sent():
    work = [asked(t=1000 + n, name=f"r{n}", kind="seat-check", op=n) for n in range(40)]
    work += [took(1100 + n, n + 1, f"r{n}", "a1", "seat-check", work=900.0) for n in range(40)]
    assert broken(*work) == set()


# -- ceilings are kept


def ceiling_run(count, gap, plan="amplio"):
    records = []
    for number in range(count):
        t, name = 1000 + number * gap, f"r{number}"
        records += [
            asked(t=t - 0.5, name=name, kind="seat-check", plan=plan, gate=f"n{number % 3}", op=number),
            took(t, number + 1, name, kind="seat-check"),
        ]
    return judge(*records)


def test_a_ceiling_holds_over_all_gatekeepers_within_its_slack():
    # 10 in store, slack 1 and what 10 a second give in 150 ms: at once 12.5 are borne.
    assert not ceiling_run(12, 0.0).counts[CEILINGS]
    assert ceiling_run(13, 0.0).counts[CEILINGS] == 1
    # Slowly, what the rate gives comes on top: at 8 a second for ever.
    assert not ceiling_run(200, 125.0).counts[CEILINGS]
    assert ceiling_run(200, 90.0).counts[CEILINGS]
    assert not ceiling_run(200, 0.0, plan="basico").counts[CEILINGS]


def test_a_ceiling_counts_each_try_once_and_counts_through_a_restart():
    once = [asked(kind="seat-check", plan="amplio")]
    once += [took(110 + n, n + 1, kind="seat-check") for n in range(30)]
    assert CEILINGS not in broken(*once)
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
            asked(t=1000, name=name, kind="seat-check", plan="amplio", op=number),
            took(1000, number + 1, name, kind="seat-check"),
        ]
    assert broken(*records) == {CEILINGS}


# -- what is told


def test_a_breach_holds_the_whole_story_also_of_what_comes_later():
    auditor = judge(
        asked(),
        took(110, 1),
        took(130, 2, server="b1"),
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


def test_nothing_after_the_end_is_judged():
    auditor = judge(asked())
    auditor.feed(RequestAbandoned(99_999, "r1", "overdue"))
    assert not any(auditor.counts.values())


def test_tables_are_forgotten_in_time():
    auditor = Auditor()
    auditor.feed(began())
    auditor.feed(WorkerStarted(0.0, "a1", 1, "hall-a", 2.0, 1.0, 9000.0))
    for number in range(3000):
        t, name = 100.0 * number, f"r{number}"
        for record in [
            asked(t=t, name=name, op=number),
            took(t + 1, number, name),
            *served(t + 50, number, name),
        ]:
            auditor.feed(record)
    assert len(auditor._requests) < 250 and len(auditor._by_attempt) < 250
    assert not any(auditor.counts.values())


def test_a_stall_beside_a_breach_that_the_clock_made_voids_the_verdict():
    from plumpick.rehearsal.fleet import too_slow

    late = [asked(), took(110), *served(100 + 1000 + 80)]
    assert not too_slow(judge(*late))
    assert too_slow(judge(*late[:-1], LoopLag(1175, 60.0), late[-1]))
    assert not too_slow(judge(LoopLag(500, 60.0), *late[1:1], *late))  # long before
    double = [asked(), took(110, 1), LoopLag(125, 60.0), took(130, 2, server="b1")]
    assert not too_slow(judge(*double))  # no clock was needed for this one
    slow = judge(*late[:2], over=False)
    slow.feed(RunEnded(9000, 16.0, 20.0))
    assert "ms late" in too_slow(slow)


def test_a_server_that_died_is_part_of_the_story_of_a_cold_one():
    records = [
        WorkerStarted(1000, "c1", 1, "hall-a", 2.0, 0.25, 1e9),
        StatusSent(1001, "n0", "c1", 1, "ready"),
    ]
    for number in range(8):
        records += [
            asked(t=1100, name=f"r{number}", kind="seat-check", op=number),
            took(1101, number + 1, f"r{number}", "c1", "seat-check", work=400.0),
        ]
    auditor = judge(*records, WorkerEnded(1102, "c1", 1, "fell"))
    (breach,) = auditor.breaches
    assert isinstance(breach.story[0], WorkerStarted) and len(breach.story) >= 4
