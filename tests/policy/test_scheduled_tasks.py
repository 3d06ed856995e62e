"""Start, stop and retry of the runs of scheduled tasks."""

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


def new_scheduler(*rows, slots=4):
    return TaskScheduler(rows, slots, random.Random(1))


def task(name="one", period_ms=1000.0, time_limit_ms=500.0, catch_up_periods=1, runs_after_period=False):
    return ScheduledTask(name, "call", period_ms, time_limit_ms, catch_up_periods, runs_after_period)


def actions_at(scheduler, t, *kinds):
    return [act for act in scheduler.handle(t, UNIX + t) if not kinds or isinstance(act, kinds)]


def test_task_runs_once_per_period_on_the_owner_of_its_slot():
    one = task()
    scheduler = new_scheduler(one)
    assert not actions_at(scheduler, 0.0)
    scheduler.on_slot_acquired(0.0, slot_of("one", 4), 77)
    started = []
    for t in range(0, 10_000, 10):
        for act in actions_at(scheduler, float(t), StartRun):
            assert act.token == 77
            started.append(act.period)
            scheduler.on_run_completed(t + 1.0, "one", act.period)
    assert (
        started == sorted(set(started)) and len(started) == 11
    )  # 10 periods, and the one before, which was made up


def test_run_is_stopped_when_its_slot_is_lost_and_its_late_result_is_ignored():
    scheduler = new_scheduler(task(time_limit_ms=9000.0))
    slot = slot_of("one", 4)
    scheduler.on_slot_acquired(0.0, slot, 1)
    (start,) = actions_at(scheduler, 0.0, StartRun)
    scheduler.on_slot_lost(10.0, slot, "no majority")
    (stop,) = actions_at(scheduler, 10.0, StopRun)
    assert stop.period == start.period and "no majority" in stop.reason
    scheduler.on_run_completed(20.0, "one", start.period)
    scheduler.on_slot_acquired(30.0, slot, 2)
    (again,) = actions_at(scheduler, 30.0, StartRun)
    assert again.period == start.period and again.token == 2


def test_run_over_its_time_limit_is_stopped_and_retried():
    scheduler = new_scheduler(task(period_ms=60_000.0, time_limit_ms=500.0))
    scheduler.on_slot_acquired(0.0, slot_of("one", 4), 1)
    assert len(actions_at(scheduler, 0.0, StartRun)) == 1
    assert not actions_at(scheduler, 499.0) and len(actions_at(scheduler, 500.0, StopRun)) == 1
    assert not actions_at(scheduler, 600.0, StartRun) and len(actions_at(scheduler, 1000.0, StartRun)) == 1


def test_failing_task_is_retried_with_backoff_until_its_period_is_missed():
    scheduler = new_scheduler(task(catch_up_periods=0, period_ms=10_000.0))
    scheduler.on_slot_acquired(0.0, slot_of("one", 4), 1)
    attempts, missed = [], []
    for t in range(0, 21_000, 10):
        for act in actions_at(scheduler, float(t)):
            if isinstance(act, StartRun):
                attempts.append((t, act.period))
                scheduler.on_run_failed(float(t), "one", act.period, "no answer")
            elif isinstance(act, ReportMissedRun):
                missed.append(act.period)
    first = attempts[0][1]
    waits = [b[0] - a[0] for a, b in zip(attempts, attempts[1:], strict=False) if a[1] == b[1] == first]
    assert (
        missed[0] == first
        and waits[-1] > waits[0]
        and len([1 for _, period in attempts if period == first]) < 12
    )


def test_yielded_slot_is_released_after_its_runs_have_ended():
    scheduler = new_scheduler(task(time_limit_ms=5000.0))
    slot = slot_of("one", 4)
    scheduler.on_slot_acquired(0.0, slot, 1)
    (start,) = actions_at(scheduler, 0.0, StartRun)
    scheduler.yield_slot(slot)
    assert not actions_at(scheduler, 100.0)
    scheduler.on_run_completed(200.0, "one", start.period)
    assert actions_at(scheduler, 200.0) == [ReleaseSlot(slot)]
    scheduler.on_slot_acquired(300.0, slot, 2)
    scheduler.yield_all()
    assert actions_at(scheduler, 300.0) == [ReleaseSlot(slot)]


def test_a_thousand_tasks_run_within_the_limit_of_concurrent_runs():
    scheduler = new_scheduler(*(task(f"d{number}", 10_000.0, 5000.0, 0) for number in range(1000)))
    for slot in range(4):
        scheduler.on_slot_acquired(0.0, slot, 1)
    running, seen = [], set()
    for t in range(0, 9000, 10):
        for act in actions_at(scheduler, float(t), StartRun):
            running.append(act)
            seen.add(act.task.name)
        assert len(running) <= MAX_CONCURRENT_RUNS
        for act in running:
            scheduler.on_run_completed(float(t), act.task.name, act.period)
        running = []
    assert len(seen) == 1000


def test_task_that_evaluates_its_period_runs_after_the_period():
    scheduler = new_scheduler(task(runs_after_period=True, catch_up_periods=0))
    scheduler.on_slot_acquired(0.0, slot_of("one", 4), 1)
    (start,) = actions_at(scheduler, 0.0, StartRun)
    assert start.period == int(UNIX // 1000) - 1
