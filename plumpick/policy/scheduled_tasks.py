"""Decides when the fleet's scheduled tasks run, under which fencing token, and when a run is stopped. No I/O
and no clock.

A task has a name and a period. Its slot is a hash of its name, and the holder of the slot's lease runs the
task once in each period. Receivers recognise a repeated run by task and period, so a run may be retried, by
this owner of the slot or by the next one.

A run is stopped when the slot's lease is lost, and after its time limit. A failed run is retried after a
random backoff until its period is too old. At most MAX_CONCURRENT_RUNS run at the same time."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

MAX_CONCURRENT_RUNS = 16
RETRY_MS = 200.0  # Base of the backoff: its maximum is RETRY_MS * 2 ** failures, up to MAX_RETRY_MS
MAX_RETRY_MS = 5000.0
MAX_RETRY_DOUBLINGS = 10
MAX_MISSED_REPORTED = 8  # Maximum number of missed periods of a task that are reported at once


@dataclass(frozen=True, slots=True)
class ScheduledTask:
    """A scheduled task as configured by operators."""

    name: str
    kind: str
    period_ms: float
    time_limit_ms: float  # Maximum duration of a run
    catch_up_periods: int = 1  # Number of past periods for which a missed run is made up
    runs_after_period: bool = (
        False  # Whether a run evaluates its period, and so starts after the period's end
    )


@dataclass(frozen=True, slots=True)
class StartRun:
    """Run a task for a period, under the fencing token of its slot. The caller answers by `on_run_completed`
    or `on_run_failed`."""

    task: ScheduledTask
    period: int
    token: int
    slot: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run at once; its result will be ignored."""

    task: ScheduledTask
    period: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Release the lease of a slot that is being yielded, now that none of its tasks is running."""

    slot: int


@dataclass(frozen=True, slots=True)
class ReportMissedRun:
    """Log that this process has not run a task for a period, and will not run it any more."""

    task: ScheduledTask
    period: int
    reason: str


Action = StartRun | StopRun | ReleaseSlot | ReportMissedRun


@dataclass(frozen=True, slots=True)
class LastRun:
    """The last run of a task in this process, as shown to operators."""

    period: int
    duration_ms: float
    outcome: str


@dataclass(slots=True)
class TaskState:
    """The state of one task in this process."""

    task: ScheduledTask
    slot: int
    last_done_period: int = -1  # Last period that was run or skipped; -1 if unknown, as for a new owner
    failures: int = 0  # Number of consecutive failures of the task
    not_before_ms: float = 0.0  # Time before which no run of the task may start
    running_period: int | None = None  # Period of the current run; None if none is running
    started_ms: float = 0.0  # Start time of the current or last run
    last_run: LastRun | None = None

    def reset(self, now_ms: float) -> None:
        """Reset the state to that of a new owner of the slot, who does not know which periods were run."""
        self.last_done_period = -1
        self.failures = 0
        self.not_before_ms = now_ms

    def newest_period(self, unix_ms: float) -> int:
        """Return the latest period for which the task may run at the time `unix_ms`."""
        return int(unix_ms // self.task.period_ms) - self.task.runs_after_period

    def next_period_ms(self, now_ms: float, unix_ms: float) -> float:
        """Return the time from which on the task may run for the period after the newest one, by the clock of
        `now_ms`."""
        following = self.newest_period(unix_ms) + 1 + self.task.runs_after_period
        return now_ms + following * self.task.period_ms - unix_ms


def slot_of(name: str, slots: int) -> int:
    """Return the slot of a task or budget, from 0 to `slots` - 1, as a hash of its name."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest()) % slots


def _retry_ms(failures: int) -> float:
    """Return the maximum backoff before the next retry, after a number of consecutive failures."""
    return min(MAX_RETRY_MS, RETRY_MS * 2 ** min(failures, MAX_RETRY_DOUBLINGS))


class TaskScheduler:
    """Schedules the runs of the configured tasks whose slots this process owns.

    Each call records an event or a time; `handle` returns the actions that follow. Times are in milliseconds
    by a clock that keeps running while the process is suspended."""

    def __init__(self, tasks: tuple[ScheduledTask, ...], slots: int, rng: Random) -> None:
        self._rng = rng
        self.tasks = {task.name: TaskState(task, slot_of(task.name, slots)) for task in tasks}
        self._by_slot: dict[int, list[TaskState]] = {}
        for state in self.tasks.values():
            self._by_slot.setdefault(state.slot, []).append(state)
        self._tokens: dict[int, int] = {}  # Fencing tokens of the slots that this process owns
        self._yielding: set[int] = set()  # Owned slots to release once none of their tasks is running
        self.pinned_slots: frozenset[int] = frozenset()  # Slots that budgets still need, not to be released
        self._timers: list[tuple[float, str]] = []  # Heap of times and task names, some of them outdated
        self._running: dict[str, TaskState] = {}  # Tasks with a run in progress, by name
        self._actions: list[Action] = []

    # -- slots that are acquired, lost or yielded

    def on_slot_acquired(self, now_ms: float, slot: int, token: int) -> None:
        """Record that this process now owns a slot, under a new fencing token; its tasks may run."""
        self._tokens[slot] = token
        self._yielding.discard(slot)
        for state in self._by_slot.get(slot, ()):
            state.reset(now_ms)
            heapq.heappush(self._timers, (now_ms, state.task.name))

    def on_slot_lost(self, now_ms: float, slot: int, reason: str) -> None:
        """Record that this process has lost a slot, and stop the runs of its tasks; `reason` goes into their
        outcome."""
        if self._tokens.pop(slot, None) is None:
            return
        self._yielding.discard(slot)
        for state in self._by_slot.get(slot, ()):
            if state.running_period is not None:
                self._stop(now_ms, state, state.running_period, reason)

    def yield_slot(self, slot: int) -> None:
        """Start no more runs of a slot's tasks, and release the slot once none of them is running."""
        if slot in self._tokens:
            self._yielding.add(slot)

    def yield_all(self) -> None:
        """Yield every owned slot, before the process ends."""
        self._yielding |= set(self._tokens)

    def _stop(self, now_ms: float, state: TaskState, period: int, reason: str) -> None:
        self._actions.append(StopRun(state.task, period, reason))
        self._end(now_ms, state, period, f"stopped: {reason}")

    def _end(self, now_ms: float, state: TaskState, period: int, outcome: str) -> None:
        state.last_run = LastRun(period, now_ms - state.started_ms, outcome)
        state.running_period = None
        self._running.pop(state.task.name, None)

    # -- results of runs

    def on_run_completed(self, now_ms: float, name: str, period: int) -> None:
        """Record that a run has completed and its effect was accepted. Ignored for a run that was stopped."""
        state = self._running_state(name, period)
        if state is None:
            return
        self._end(now_ms, state, period, "done")
        state.last_done_period = period
        state.failures = 0
        state.not_before_ms = now_ms
        heapq.heappush(self._timers, (state.not_before_ms, name))

    def on_run_failed(self, now_ms: float, name: str, period: int, reason: str) -> None:
        """Record that a run has failed, so that its effect may not have been accepted, and schedule a retry.
        Ignored for a run that was stopped."""
        state = self._running_state(name, period)
        if state is None:
            return
        self._end(now_ms, state, period, reason)
        state.failures += 1
        longest_ms = _retry_ms(state.failures)
        state.not_before_ms = now_ms + self._rng.uniform(longest_ms / 2, longest_ms)
        heapq.heappush(self._timers, (state.not_before_ms, name))

    def _running_state(self, name: str, period: int) -> TaskState | None:
        state = self.tasks.get(name)
        return state if state is not None and state.running_period == period else None

    # -- runs that are due

    def handle(self, now_ms: float, unix_ms: float) -> list[Action]:
        """Return the actions to carry out now.

        `unix_ms`: wall-clock time, which numbers the periods. If the clocks of gateways differ, a run may be
        repeated, which its receiver recognises."""
        self._stop_overdue(now_ms)
        while self._timers and self._timers[0][0] <= now_ms and len(self._running) < MAX_CONCURRENT_RUNS:
            _, name = heapq.heappop(self._timers)
            self._on_timer(now_ms, unix_ms, self.tasks[name])
        self._release_yielded()
        actions = self._actions
        self._actions = []
        return actions

    def _stop_overdue(self, now_ms: float) -> None:
        for state in list(self._running.values()):
            limit_ms = state.task.time_limit_ms
            if state.running_period is None or now_ms - state.started_ms < limit_ms:
                continue
            self._stop(
                now_ms, state, state.running_period, f"exceeded its time limit of {limit_ms / 1000:g} s"
            )
            state.failures += 1
            state.not_before_ms = now_ms + _retry_ms(state.failures)
            heapq.heappush(self._timers, (state.not_before_ms, state.task.name))

    def _release_yielded(self) -> None:
        for slot in sorted(self._yielding):
            if slot in self.pinned_slots or self._is_running(slot):
                continue
            self._yielding.discard(slot)
            self._actions.append(ReleaseSlot(slot))

    def _is_running(self, slot: int) -> bool:
        return any(state.running_period is not None for state in self._by_slot.get(slot, ()))

    def _on_timer(self, now_ms: float, unix_ms: float, state: TaskState) -> None:
        """Start the next run of a task if it may run now, or set its timer for the next period."""
        token = self._tokens.get(state.slot)
        if token is None or state.slot in self._yielding:
            return
        if state.running_period is not None or now_ms < state.not_before_ms:
            return
        self._skip_missed(unix_ms, state)
        if state.last_done_period >= state.newest_period(unix_ms):
            state.not_before_ms = state.next_period_ms(now_ms, unix_ms)
            heapq.heappush(self._timers, (state.not_before_ms, state.task.name))
            return
        state.running_period = state.last_done_period + 1
        state.started_ms = now_ms
        self._running[state.task.name] = state
        self._actions.append(StartRun(state.task, state.running_period, token, state.slot))

    def _skip_missed(self, unix_ms: float, state: TaskState) -> None:
        """Skip the periods that are too old to be made up, and report them as missed."""
        task = state.task
        oldest = state.newest_period(unix_ms) - task.catch_up_periods
        # A new owner does not know which periods were run before it, and reports none of them as missed.
        if state.last_done_period < 0:
            state.last_done_period = oldest - 1
        if oldest <= state.last_done_period + 1:
            return
        reason = state.last_run.outcome if state.last_run else "not run by this process"
        for period in range(max(state.last_done_period + 1, oldest - MAX_MISSED_REPORTED), oldest):
            self._actions.append(ReportMissedRun(task, period, reason))
        state.last_done_period = oldest - 1
        state.failures = 0

    def next_due_ms(self) -> float:
        """Return the time at which `handle` must be called next; infinity if there is nothing to wait for."""
        times = [state.started_ms + state.task.time_limit_ms for state in self._running.values()]
        if self._timers and len(self._running) < MAX_CONCURRENT_RUNS:
            times.append(self._timers[0][0])
        return min(times, default=math.inf)
