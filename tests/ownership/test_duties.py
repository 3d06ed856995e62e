"""When duties run, and what the fleet's use comes to."""

import random

import pytest

from plumpick.policy.scheduled_tasks import (
    MAX_CONCURRENT_RUNS,
    ReleaseSlot,
    ReportMissedRun,
    ScheduledTask,
    StartRun,
    StopRun,
    TaskScheduler,
    slot_of,
)
from plumpick.policy.usage_report import (
    FAILED,
    KIND_REQUEST,
    MAX_ATTEMPTS,
    MAX_PERIODS,
    NOT_COUNTED,
    REJECTED,
    SERVED,
    PeriodUsage,
    UsageCollection,
    UsageCounter,
    UsageSnapshotError,
    decode,
    encode_report,
    encode_request,
)

UNIX = 1_000_000_000.0


def scheduler(*rows, slots=4):
    return TaskScheduler(rows, slots, random.Random(1))


def task(name="one", period_ms=1000.0, time_limit_ms=500.0, catch_up_periods=1, runs_after_period=False):
    return ScheduledTask(name, "call", period_ms, time_limit_ms, catch_up_periods, runs_after_period)


def play(tasks, t, *kinds):
    return [act for act in tasks.handle(t, UNIX + t) if not kinds or isinstance(act, kinds)]


def test_a_duty_runs_once_in_each_period_and_only_for_its_slots_owner():
    one = task()
    tasks = scheduler(one)
    assert not play(tasks, 0.0)
    tasks.on_slot_acquired(0.0, slot_of("one", 4), 77)
    started = []
    for t in range(0, 10_000, 10):
        for act in play(tasks, float(t), StartRun):
            assert act.token == 77
            started.append(act.period)
            tasks.on_run_completed(t + 1.0, "one", act.period)
    assert started == sorted(set(started)) and len(started) == 11  # ten, and the one before that it caught up


def test_what_runs_is_stopped_when_the_slot_is_lost_and_its_late_end_counts_for_nothing():
    tasks = scheduler(task(time_limit_ms=9000.0))
    slot = slot_of("one", 4)
    tasks.on_slot_acquired(0.0, slot, 1)
    (start,) = play(tasks, 0.0, StartRun)
    tasks.on_slot_lost(10.0, slot, "no majority")
    (stop,) = play(tasks, 10.0, StopRun)
    assert stop.period == start.period and "no majority" in stop.reason
    tasks.on_run_completed(20.0, "one", start.period)
    tasks.on_slot_acquired(30.0, slot, 2)
    (again,) = play(tasks, 30.0, StartRun)
    assert again.period == start.period and again.token == 2


def test_a_duty_that_never_ends_is_stopped_and_tried_again_later():
    tasks = scheduler(task(period_ms=60_000.0, time_limit_ms=500.0))
    tasks.on_slot_acquired(0.0, slot_of("one", 4), 1)
    assert len(play(tasks, 0.0, StartRun)) == 1
    assert not play(tasks, 499.0) and len(play(tasks, 500.0, StopRun)) == 1
    assert not play(tasks, 600.0, StartRun) and len(play(tasks, 1000.0, StartRun)) == 1


def test_a_failing_duty_is_tried_again_with_growing_waits_and_given_up_with_its_period():
    tasks = scheduler(task(catch_up_periods=0, period_ms=10_000.0))
    tasks.on_slot_acquired(0.0, slot_of("one", 4), 1)
    tries, missed = [], []
    for t in range(0, 21_000, 10):
        for act in play(tasks, float(t)):
            if isinstance(act, StartRun):
                tries.append((t, act.period))
                tasks.on_run_failed(float(t), "one", act.period, "no answer")
            elif isinstance(act, ReportMissedRun):
                missed.append(act.period)
    first = tries[0][1]
    waits = [b[0] - a[0] for a, b in zip(tries, tries[1:], strict=False) if a[1] == b[1] == first]
    assert (
        missed[0] == first
        and waits[-1] > waits[0]
        and len([1 for _, period in tries if period == first]) < 12
    )


def test_a_slot_is_given_back_only_when_nothing_of_it_runs():
    tasks = scheduler(task(time_limit_ms=5000.0))
    slot = slot_of("one", 4)
    tasks.on_slot_acquired(0.0, slot, 1)
    (start,) = play(tasks, 0.0, StartRun)
    tasks.yield_slot(slot)
    assert not play(tasks, 100.0)
    tasks.on_run_completed(200.0, "one", start.period)
    assert play(tasks, 200.0) == [ReleaseSlot(slot)]
    tasks.on_slot_acquired(300.0, slot, 2)
    tasks.yield_all()
    assert play(tasks, 300.0) == [ReleaseSlot(slot)]


def test_a_thousand_duties_run_a_few_at_a_time_and_each_of_them():
    tasks = scheduler(*(task(f"d{number}", 10_000.0, 5000.0, 0) for number in range(1000)))
    for slot in range(4):
        tasks.on_slot_acquired(0.0, slot, 1)
    running, seen = [], set()
    for t in range(0, 9000, 10):
        for act in play(tasks, float(t), StartRun):
            running.append(act)
            seen.add(act.task.name)
        assert len(running) <= MAX_CONCURRENT_RUNS
        for act in running:
            tasks.on_run_completed(float(t), act.task.name, act.period)
        running = []
    assert len(seen) == 1000


def test_a_period_that_is_about_what_was_runs_when_it_is_over():
    tasks = scheduler(task(runs_after_period=True, catch_up_periods=0))
    tasks.on_slot_acquired(0.0, slot_of("one", 4), 1)
    (start,) = play(tasks, 0.0, StartRun)
    assert start.period == int(UNIX // 1000) - 1


def test_a_tally_is_told_for_periods_that_are_over_and_from_when_it_counted():
    counter = UsageCounter(1000.0, 500.0)
    counter.count(600.0, 0, SERVED, 2.5)
    counter.count(700.0, 0, REJECTED, 9.0)
    counter.count(1500.0, 3, FAILED, 1.0)
    assert counter.usage(900.0, 0) == (NOT_COUNTED, {})  # not over
    assert counter.usage(1600.0, 0) == (500, {0: [1, 1, 0, 2.5]})
    assert counter.usage(2600.0, 1) == (0, {3: [0, 0, 1, 0.0]})
    for period in range(2, 40):
        counter.count(period * 1000.0, 0, SERVED, 1.0)
    assert len(counter.periods) == MAX_PERIODS and counter.usage(39_000.0, 1)[0] == NOT_COUNTED
    other = UsageCounter(1000.0, 30_000.0)
    other.restore(counter.capture())
    assert other.usage(39_000.0, 38) == counter.usage(39_000.0, 38)
    with pytest.raises(UsageSnapshotError):
        other.restore({"born": 1.0, "periods": [[1, [[0, 1]]]]})


def test_notes_are_read_as_written_and_noise_is_none():
    rows = {plan: [plan, 2, 3, 0.5] for plan in range(15)}
    parts = [decode(data) for data in encode_report(9, 77, PeriodUsage(250, rows))]
    assert {plan: row for part in parts for plan, row in part.rows.items()} == rows
    assert all((part.tag, part.period, part.counted_from_ms, part.parts) == (9, 77, 250, 2) for part in parts)
    assert decode(encode_request(9, 77)).kind == KIND_REQUEST
    assert all(
        decode(data) is None
        for data in (b"", b"\x01", b"\x07" * 19, encode_report(9, 7, PeriodUsage(0, rows))[0] + b"x")
    )


def gather(gateways, answers, lost=lambda number, tries: False):
    """Sums and gaps where `answers[number]` is what each would tell; None: it is dead."""
    collection, t, asked = UsageCollection(gateways, 0.0), 0.0, {}
    times = []
    while not collection.is_over(t):
        for number in collection.gateways_to_poll(t):
            asked[number] = asked.get(number, 0) + 1
            times.append(t)
            if answers[number] is not None and not lost(number, asked[number]):
                for data in encode_report(1, 5, PeriodUsage(*answers[number])):
                    collection.on_report(number, decode(data))
        t += 10.0
    return collection.result(1000.0), asked, times


def test_what_all_tell_is_added_up_and_what_nobody_tells_is_a_gap():
    answers = [
        (0, {0: [1, 0, 0, 1.0]}),
        None,
        (400, {0: [2, 1, 0, 2.0], 1: [1, 0, 0, 4.0]}),
        (NOT_COUNTED, {}),
    ]
    (sums, gaps), asked, _ = gather(4, answers)
    assert sums == {0: [3, 1, 0, 3.0], 1: [1, 0, 0, 4.0]}
    assert gaps == [(1, 0.0, 1000.0), (2, 0.0, 400.0), (3, 0.0, 1000.0)]
    assert asked == {0: 1, 1: MAX_ATTEMPTS, 2: 1, 3: 1}


def test_a_lost_answer_is_asked_for_again_and_counts_once():
    answers = [(0, {0: [1, 0, 0, 1.0]}) for _ in range(3)]
    (sums, gaps), asked, _ = gather(3, answers, lambda number, tries: number == 1 and tries < 3)
    assert sums == {0: [3, 0, 0, 3.0]} and not gaps and asked[1] == 3


def test_two_hundred_are_asked_some_twenty_a_second():
    answers = [(0, {0: [1, 0, 0, 1.0]}) for _ in range(200)]
    (sums, _), _, times = gather(200, answers)
    assert sums[0][0] == 200
    assert max(sum(begin <= t < begin + 1000 for t in times) for begin in times) <= 24
