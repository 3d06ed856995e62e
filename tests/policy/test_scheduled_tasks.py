"""When scheduled tasks run, are stopped and are retried."""

import random

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

UNIX = 1_000_000_000.0


def scheduler(*rows, slots=4):
    return TaskScheduler(rows, slots, random.Random(1))


def task(name="one", period_ms=1000.0, time_limit_ms=500.0, catch_up_periods=1, runs_after_period=False):
    return ScheduledTask(name, "call", period_ms, time_limit_ms, catch_up_periods, runs_after_period)


def play(tasks, t, *kinds):
    return [act for act in tasks.handle(t, UNIX + t) if not kinds or isinstance(act, kinds)]


def test_task_runs_once_per_period_on_the_owner_of_its_slot():
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


def test_run_is_stopped_when_its_slot_is_lost_and_its_late_result_is_ignored():
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


def test_run_over_its_time_limit_is_stopped_and_retried():
    tasks = scheduler(task(period_ms=60_000.0, time_limit_ms=500.0))
    tasks.on_slot_acquired(0.0, slot_of("one", 4), 1)
    assert len(play(tasks, 0.0, StartRun)) == 1
    assert not play(tasks, 499.0) and len(play(tasks, 500.0, StopRun)) == 1
    assert not play(tasks, 600.0, StartRun) and len(play(tasks, 1000.0, StartRun)) == 1


def test_failing_task_is_retried_with_backoff_until_its_period_is_missed():
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


def test_yielded_slot_is_released_after_its_runs_have_ended():
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


def test_a_thousand_tasks_run_within_the_limit_of_concurrent_runs():
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


def test_task_that_evaluates_its_period_runs_after_the_period():
    tasks = scheduler(task(runs_after_period=True, catch_up_periods=0))
    tasks.on_slot_acquired(0.0, slot_of("one", 4), 1)
    (start,) = play(tasks, 0.0, StartRun)
    assert start.period == int(UNIX // 1000) - 1
