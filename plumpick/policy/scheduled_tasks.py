"""When the fleet's scheduled tasks run, under which token, and when a run is stopped. No I/O, no clock.

A task has a name and a period. Its slot is a hash of its name; the slot's owner runs it, once in each period.
Task and period are the key by which a receiver recognises a repeat, so that a run may be retried, here or by
the next owner. Guards against: a run that outlives its lease (stopped when the slot is lost), that never ends
(stopped after its time limit), that fails (retried with full jitter, until the period is too old), and
hundreds at one time (`MAX_CONCURRENT_RUNS`)."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

MAX_CONCURRENT_RUNS = 16
RETRY_MS = 200.0  # after a failure, doubled each time
MAX_RETRY_MS = 5000.0
MAX_RETRY_DOUBLINGS = 10
MAX_MISSED_REPORTED = 8  # periods, at one time


@dataclass(frozen=True, slots=True)
class ScheduledTask:
    """A task as the operator's settings name it."""

    name: str
    kind: str
    period_ms: float
    time_limit_ms: float  # of a run
    catch_up_periods: int = 1  # past periods that are still worth a run
    runs_after_period: bool = False  # a run is about its period, which has to be over


@dataclass(frozen=True, slots=True)
class StartRun:
    """Run the task for this period, under this token. Due in reply: `on_run_completed` or `on_run_failed`."""

    task: ScheduledTask
    period: int
    token: int
    slot: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """End this run at once; its result is ignored."""

    task: ScheduledTask
    period: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Release the slot: it was to be yielded, and nothing of it runs any more."""

    slot: int


@dataclass(frozen=True, slots=True)
class ReportMissedRun:
    """Log that this period has no run of this process and will have none."""

    task: ScheduledTask
    period: int
    reason: str


Action = StartRun | StopRun | ReleaseSlot | ReportMissedRun


@dataclass(frozen=True, slots=True)
class LastRun:
    """A task's last run in this process, for operators."""

    period: int
    duration_ms: float
    outcome: str


@dataclass(slots=True)
class TaskState:
    """One task, as its slot's owner sees it."""

    task: ScheduledTask
    slot: int
    last_done_period: int = -1  # done or missed; -1: nothing is known of what an owner before did
    failures: int = 0  # in a row
    not_before_ms: float = 0.0
    running_period: int | None = None
    started_ms: float = 0.0
    last_run: LastRun | None = None

    def reset(self, now_ms: float) -> None:
        """Begin as a new owner does."""
        self.last_done_period = -1
        self.failures = 0
        self.not_before_ms = now_ms

    def newest_period(self, unix_ms: float) -> int:
        """The latest period that may run now."""
        return int(unix_ms // self.task.period_ms) - self.task.runs_after_period

    def next_period_ms(self, now_ms: float, unix_ms: float) -> float:
        """When the period after the newest one may run, by the clock of `now_ms`."""
        following = self.newest_period(unix_ms) + 1 + self.task.runs_after_period
        return now_ms + following * self.task.period_ms - unix_ms


def slot_of(name: str, slots: int) -> int:
    """The slot of the task or budget of that name."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest()) % slots


def _retry_ms(failures: int) -> float:
    """The longest wait before a retry."""
    return min(MAX_RETRY_MS, RETRY_MS * 2 ** min(failures, MAX_RETRY_DOUBLINGS))


class TaskScheduler:
    """Decides on runs; owns one entry for each task that the settings name.

    Times are in milliseconds by a clock that keeps running while the process is suspended."""

    def __init__(self, tasks: tuple[ScheduledTask, ...], slots: int, chance: Random) -> None:
        self._chance = chance
        self.tasks = {task.name: TaskState(task, slot_of(task.name, slots)) for task in tasks}
        self._by_slot: dict[int, list[TaskState]] = {}
        for state in self.tasks.values():
            self._by_slot.setdefault(state.slot, []).append(state)
        self._tokens: dict[int, int] = {}  # of the slots that are owned
        self._yielding: set[int] = set()
        self.pinned_slots: frozenset[int] = frozenset()  # not to be released yet (budgets)
        self._timers: list[tuple[float, str]] = []  # a heap; outdated entries are skipped
        self._running: dict[str, TaskState] = {}
        self._actions: list[Action] = []

    # -- leases

    def on_slot_acquired(self, now_ms: float, slot: int, token: int) -> None:
        """This process owns the slot from now on."""
        self._tokens[slot] = token
        self._yielding.discard(slot)
        for state in self._by_slot.get(slot, ()):
            state.reset(now_ms)
            heapq.heappush(self._timers, (now_ms, state.task.name))

    def on_slot_lost(self, now_ms: float, slot: int, reason: str) -> None:
        """This process owns the slot no longer: what runs under it is stopped."""
        if self._tokens.pop(slot, None) is None:
            return
        self._yielding.discard(slot)
        for state in self._by_slot.get(slot, ()):
            if state.running_period is not None:
                self._stop(now_ms, state, state.running_period, reason)

    def yield_slot(self, slot: int) -> None:
        """Begin nothing more of the slot, and release it as soon as nothing of it runs."""
        if slot in self._tokens:
            self._yielding.add(slot)

    def yield_all(self) -> None:
        """The process will end: yield every slot."""
        self._yielding |= set(self._tokens)

    def _stop(self, now_ms: float, state: TaskState, period: int, reason: str) -> None:
        self._actions.append(StopRun(state.task, period, reason))
        self._end(now_ms, state, period, f"stopped: {reason}")

    def _end(self, now_ms: float, state: TaskState, period: int, outcome: str) -> None:
        state.last_run = LastRun(period, now_ms - state.started_ms, outcome)
        state.running_period = None
        self._running.pop(state.task.name, None)

    # -- ends of runs

    def on_run_completed(self, now_ms: float, name: str, period: int) -> None:
        """The receiver has taken the effect of that run. Ignored for a run that was stopped."""
        state = self._running_state(name, period)
        if state is None:
            return
        self._end(now_ms, state, period, "done")
        state.last_done_period = period
        state.failures = 0
        state.not_before_ms = now_ms
        heapq.heappush(self._timers, (state.not_before_ms, name))

    def on_run_failed(self, now_ms: float, name: str, period: int, reason: str) -> None:
        """The effect of that run is not known to be taken. Ignored for a run that was stopped."""
        state = self._running_state(name, period)
        if state is None:
            return
        self._end(now_ms, state, period, reason)
        state.failures += 1
        longest_ms = _retry_ms(state.failures)
        state.not_before_ms = now_ms + self._chance.uniform(longest_ms / 2, longest_ms)
        heapq.heappush(self._timers, (state.not_before_ms, name))

    def _running_state(self, name: str, period: int) -> TaskState | None:
        state = self.tasks.get(name)
        return state if state is not None and state.running_period == period else None

    # -- time

    def handle(self, now_ms: float, unix_ms: float) -> list[Action]:
        """What is to be done now.

        `unix_ms` numbers the periods: gateways whose clocks differ cost no more than a repeated run, which
        the receiver recognises."""
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
            self._stop(now_ms, state, state.running_period, f"no end within {limit_ms / 1000:g} s")
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
        """Start the run that is due, if there is one."""
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
        """Give up the periods that are too old to run."""
        task = state.task
        oldest = state.newest_period(unix_ms) - task.catch_up_periods
        if state.last_done_period < 0:  # what an owner before did, its receiver knows
            state.last_done_period = oldest - 1
        if oldest <= state.last_done_period + 1:
            return
        reason = state.last_run.outcome if state.last_run else "nobody ran it"
        for period in range(max(state.last_done_period + 1, oldest - MAX_MISSED_REPORTED), oldest):
            self._actions.append(ReportMissedRun(task, period, reason))
        state.last_done_period = oldest - 1
        state.failures = 0

    def next_due_ms(self) -> float:
        """When `handle` has something to do."""
        times = [state.started_ms + state.task.time_limit_ms for state in self._running.values()]
        if self._timers and len(self._running) < MAX_CONCURRENT_RUNS:
            times.append(self._timers[0][0])
        return min(times, default=math.inf)
