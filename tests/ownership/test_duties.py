"""When duties run, and what the fleet's use comes to."""

import random

import pytest

from plumpick.policy.scheduled_tasks import MOST_RUNS, Duties, Duty, GiveBack, Missed, Start, Stop, slot_of
from plumpick.policy.usage_report import (
    ASK,
    FAILED,
    KEPT,
    NOTHING,
    REFUSED,
    SERVED,
    TRIES,
    Gathering,
    Tally,
    asking,
    read,
    telling,
)

UNIX = 1_000_000_000.0


def duties(*rows, slots=4):
    return Duties(rows, slots, random.Random(1))


def duty(name="one", period_ms=1000.0, limit_ms=500.0, catch_up=1, after=False):
    return Duty(name, "call", period_ms, limit_ms, catch_up, after)


def play(plan, t, *kinds):
    return [act for act in plan.handle(t, UNIX + t) if not kinds or isinstance(act, kinds)]


def test_a_duty_runs_once_in_each_period_and_only_for_its_slots_owner():
    one = duty()
    plan = duties(one)
    assert not play(plan, 0.0)
    plan.gained(0.0, slot_of("one", 4), 77)
    started = []
    for t in range(0, 10_000, 10):
        for act in play(plan, float(t), Start):
            assert act.token == 77
            started.append(act.period)
            plan.ended(t + 1.0, "one", act.period, "")
    assert started == sorted(set(started)) and len(started) == 11  # ten, and the one before that it caught up


def test_what_runs_is_stopped_when_the_slot_is_lost_and_its_late_end_counts_for_nothing():
    plan = duties(duty(limit_ms=9000.0))
    slot = slot_of("one", 4)
    plan.gained(0.0, slot, 1)
    (start,) = play(plan, 0.0, Start)
    plan.lost(10.0, slot, "no majority")
    (stop,) = play(plan, 10.0, Stop)
    assert stop.period == start.period and "no majority" in stop.why
    plan.ended(20.0, "one", start.period, "")
    plan.gained(30.0, slot, 2)
    (again,) = play(plan, 30.0, Start)
    assert again.period == start.period and again.token == 2


def test_a_duty_that_never_ends_is_stopped_and_tried_again_later():
    plan = duties(duty(period_ms=60_000.0, limit_ms=500.0))
    plan.gained(0.0, slot_of("one", 4), 1)
    assert len(play(plan, 0.0, Start)) == 1
    assert not play(plan, 499.0) and len(play(plan, 500.0, Stop)) == 1
    assert not play(plan, 600.0, Start) and len(play(plan, 1000.0, Start)) == 1


def test_a_failing_duty_is_tried_again_with_growing_waits_and_given_up_with_its_period():
    plan = duties(duty(catch_up=0, period_ms=10_000.0))
    plan.gained(0.0, slot_of("one", 4), 1)
    tries, missed = [], []
    for t in range(0, 21_000, 10):
        for act in play(plan, float(t)):
            if isinstance(act, Start):
                tries.append((t, act.period))
                plan.ended(float(t), "one", act.period, "no answer")
            elif isinstance(act, Missed):
                missed.append(act.period)
    first = tries[0][1]
    waits = [b[0] - a[0] for a, b in zip(tries, tries[1:], strict=False) if a[1] == b[1] == first]
    assert (
        missed[0] == first
        and waits[-1] > waits[0]
        and len([1 for _, period in tries if period == first]) < 12
    )


def test_a_slot_is_given_back_only_when_nothing_of_it_runs():
    plan = duties(duty(limit_ms=5000.0))
    slot = slot_of("one", 4)
    plan.gained(0.0, slot, 1)
    (start,) = play(plan, 0.0, Start)
    plan.yields(slot)
    assert not play(plan, 100.0)
    plan.ended(200.0, "one", start.period, "")
    assert play(plan, 200.0) == [GiveBack(slot)]
    plan.gained(300.0, slot, 2)
    plan.leave()
    assert play(plan, 300.0) == [GiveBack(slot)]


def test_a_thousand_duties_run_a_few_at_a_time_and_each_of_them():
    plan = duties(*(duty(f"d{number}", 10_000.0, 5000.0, 0) for number in range(1000)))
    for slot in range(4):
        plan.gained(0.0, slot, 1)
    running, seen = [], set()
    for t in range(0, 9000, 10):
        for act in play(plan, float(t), Start):
            running.append(act)
            seen.add(act.duty.name)
        assert len(running) <= MOST_RUNS
        for act in running:
            plan.ended(float(t), act.duty.name, act.period, "")
        running = []
    assert len(seen) == 1000


def test_a_period_that_is_about_what_was_runs_when_it_is_over():
    plan = duties(duty(after=True, catch_up=0))
    plan.gained(0.0, slot_of("one", 4), 1)
    (start,) = play(plan, 0.0, Start)
    assert start.period == int(UNIX // 1000) - 1


def test_a_tally_is_told_for_periods_that_are_over_and_from_when_it_counted():
    tally = Tally(1000.0, 500.0)
    tally.count(600.0, 0, SERVED, 2.5)
    tally.count(700.0, 0, REFUSED, 9.0)
    tally.count(1500.0, 3, FAILED, 1.0)
    assert tally.told(900.0, 0) == (NOTHING, {})  # not over
    assert tally.told(1600.0, 0) == (500, {0: [1, 1, 0, 2.5]})
    assert tally.told(2600.0, 1) == (0, {3: [0, 0, 1, 0.0]})
    for period in range(2, 40):
        tally.count(period * 1000.0, 0, SERVED, 1.0)
    assert len(tally.periods) == KEPT and tally.told(39_000.0, 1)[0] == NOTHING
    other = Tally(1000.0, 30_000.0)
    other.inherit(tally.estate())
    assert other.told(39_000.0, 38) == tally.told(39_000.0, 38)
    with pytest.raises((ValueError, KeyError, TypeError)):
        other.inherit({"born": 1.0, "periods": [[1, [[0, 1]]]]})


def test_notes_are_read_as_written_and_noise_is_none():
    rows = {plan: [plan, 2, 3, 0.5] for plan in range(15)}
    parts = [read(data) for data in telling(9, 77, 250, rows)]
    assert {plan: row for part in parts for plan, row in part.rows.items()} == rows
    assert all((part.tag, part.period, part.since_ms, part.parts) == (9, 77, 250, 2) for part in parts)
    assert read(asking(9, 77)).kind == ASK
    assert all(read(data) is None for data in (b"", b"\x01", b"\x07" * 19, telling(9, 7, 0, rows)[0] + b"x"))


def gather(gateways, answers, lost=lambda number, tries: False):
    """Sums and gaps where `answers[number]` is what each would tell; None: it is dead."""
    gathering, t, asked = Gathering(gateways, 0.0), 0.0, {}
    times = []
    while not gathering.over(t):
        for number in gathering.due(t):
            asked[number] = asked.get(number, 0) + 1
            times.append(t)
            if answers[number] is not None and not lost(number, asked[number]):
                for data in telling(1, 5, *answers[number]):
                    gathering.heard(number, read(data))
        t += 10.0
    return gathering.result(1000.0), asked, times


def test_what_all_tell_is_added_up_and_what_nobody_tells_is_a_gap():
    answers = [(0, {0: [1, 0, 0, 1.0]}), None, (400, {0: [2, 1, 0, 2.0], 1: [1, 0, 0, 4.0]}), (NOTHING, {})]
    (sums, gaps), asked, _ = gather(4, answers)
    assert sums == {0: [3, 1, 0, 3.0], 1: [1, 0, 0, 4.0]}
    assert gaps == [(1, 0.0, 1000.0), (2, 0.0, 400.0), (3, 0.0, 1000.0)]
    assert asked == {0: 1, 1: TRIES, 2: 1, 3: 1}


def test_a_lost_answer_is_asked_for_again_and_counts_once():
    answers = [(0, {0: [1, 0, 0, 1.0]}) for _ in range(3)]
    (sums, gaps), asked, _ = gather(3, answers, lambda number, tries: number == 1 and tries < 3)
    assert sums == {0: [3, 0, 0, 3.0]} and not gaps and asked[1] == 3


def test_two_hundred_are_asked_some_twenty_a_second():
    answers = [(0, {0: [1, 0, 0, 1.0]}) for _ in range(200)]
    (sums, _), _, times = gather(200, answers)
    assert sums[0][0] == 200
    assert max(sum(begin <= t < begin + 1000 for t in times) for begin in times) <= 24
