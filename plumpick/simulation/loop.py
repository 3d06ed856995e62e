"""The virtual machine: one step queue shared by all simulated processes, and an event loop per process.

A process is everything that shares an event loop: one gateway, or all stubs together. With its own loop, each
process can be killed, stalled and resumed, given a skewed clock, or run out of file descriptors. Virtual time
advances only when no step is ready.

The loops implement the parts of asyncio that the gateway and the stubs use: callbacks, timers, tasks,
futures, servers and connections with transports, datagrams on a plain socket (`add_reader`), signals, and
executor jobs (which run at the same virtual instant). The design follows FoundationDB's simulation; asyncio's
tasks and streams run on these loops unchanged.
"""

from __future__ import annotations

import asyncio
import contextvars
import hashlib
import heapq
import random
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from plumpick.simulation.network import Network

MAX_STEPS_PER_INSTANT = 200_000  # maximum number of steps at one virtual instant
START_UNIX_S = 1_700_000_000.0  # Unix time at which every simulated run starts, in seconds


class RunawayLoop(Exception):
    """Too many steps ran at one virtual instant: a callback or timer reschedules itself endlessly."""


class StepLimitExceeded(Exception):
    """The run took more steps than `Machine.max_steps`."""


class Machine:
    """Holds the step queue, the virtual time, the processes, and a digest of all steps and notes of the run.

    `trace`, if set, is called for every step with the step number, the time in seconds, the process name and
    the name of the step.
    """

    def __init__(self, seed: int, max_steps: int = 20_000_000) -> None:
        self.seed, self.max_steps = seed, max_steps
        self.now = 0.0
        self.steps = 0
        self.trace: Callable[[int, float, str, str], None] | None = None
        self.after_step: Callable[[], None] | None = None
        self.network: Network = None  # type: ignore[assignment]  # set by Network.__init__
        self.processes: list[Process] = []
        self.stopped = False
        self.problems: list[str] = []  # descriptions of unhandled exceptions in processes
        self._ready: deque[events.Handle] = deque()
        self._timers: list[tuple[float, int, events.TimerHandle]] = []
        self._serial = 0
        self._steps_at_instant = 0
        self._digest = hashlib.blake2b(digest_size=16)

    def random_for(self, name: str) -> random.Random:
        """Returns a random number generator for the named part, seeded with the run's seed and the name."""
        return random.Random(f"{self.seed}/{name}")

    def note(self, what: str) -> None:
        """Adds an event to the digest of the run and reports it to `trace`."""
        self._digest.update(f"{self.now:.9f} {what}\n".encode())
        if self.trace is not None:
            self.trace(self.steps, self.now, "", what)

    def digest(self) -> str:
        """Returns the hex digest of all steps and notes of the run until now."""
        return self._digest.hexdigest()

    def push_timer(self, when: float, handle: events.TimerHandle) -> None:
        self._serial += 1
        heapq.heappush(self._timers, (when, self._serial, handle))

    def push_ready(self, handle: events.Handle) -> None:
        self._ready.append(handle)

    def schedule(self, when: float, call: Callable[..., Any], *arguments: Any) -> events.TimerHandle:
        """Schedules a call of the simulation itself, in the first process, at a time of the machine."""
        return self.processes[0].call_at(when, call, *arguments)

    def run(self, until: float) -> None:
        """Runs steps until the given virtual time in seconds, or until `stopped` is set.

        Raises RunawayLoop if too many steps run at one instant, StepLimitExceeded above `max_steps` steps.
        """
        ready, timers = self._ready, self._timers
        before = events._get_running_loop()
        try:
            while not self.stopped:
                while timers and timers[0][2]._cancelled:
                    heapq.heappop(timers)
                if not ready:
                    if not timers or timers[0][0] > until:
                        break
                    if timers[0][0] > self.now:
                        self.now, self._steps_at_instant = timers[0][0], 0
                while timers and timers[0][0] <= self.now:
                    _, _, timer = heapq.heappop(timers)
                    if not timer._cancelled:
                        ready.append(timer)
                while ready and not self.stopped:
                    self._step(ready.popleft())
        finally:
            events._set_running_loop(before)
        if not self.stopped:
            self.now = max(self.now, until)

    def _step(self, handle: events.Handle) -> None:
        process: Process = handle._loop  # type: ignore[attr-defined]
        if handle._cancelled or process.dead:
            return
        if self.now < process.stalled_until:
            process.deferred.append(handle)
            return
        self.steps += 1
        self._steps_at_instant += 1
        if self._steps_at_instant > MAX_STEPS_PER_INSTANT:
            raise RunawayLoop(
                f"{MAX_STEPS_PER_INSTANT} steps at {self.now:.6f} s, last step: {step_name(handle)}"
            )
        if self.steps > self.max_steps:
            raise StepLimitExceeded(f"the run exceeded the limit of {self.max_steps} steps")
        name = step_name(handle)
        self._digest.update(f"{self.now:.9f} {process.name} {name}\n".encode())
        if self.trace is not None:
            self.trace(self.steps, self.now, process.name, name)
        events._set_running_loop(process)
        try:
            handle._run()
        finally:
            events._set_running_loop(None)
        if self.after_step is not None:
            self.after_step()


def step_name(handle: events.Handle) -> str:
    """Returns the qualified name of the function or coroutine that a step runs.

    The name contains no object address and no number, which would differ between runs.
    """
    call = handle._callback
    owner = getattr(call, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {owner.get_coro().__qualname__}"  # type: ignore[union-attr]
    while hasattr(call, "func"):
        call = call.func
    return getattr(call, "__qualname__", None) or type(call).__qualname__


class Process(asyncio.AbstractEventLoop):
    """A simulated process: an event loop whose callbacks run from the machine's step queue."""

    def __init__(
        self, machine: Machine, name: str, skew_ms: float = 0.0, max_descriptors: int = 1 << 20
    ) -> None:
        self.machine, self.name, self.skew_s, self.max_descriptors = (
            machine,
            name,
            skew_ms / 1000,
            max_descriptors,
        )
        self.dead = False
        self.stalled_until = 0.0
        self.deferred: list[events.Handle] = []
        self.open_descriptors = 0
        self.signals: dict[int, Callable[[], Any]] = {}
        self.exit_code: int | None = None
        self.on_exit: Callable[[int], None] | None = None
        self._tasks: dict[asyncio.Task[Any], None] = {}
        machine.processes.append(self)

    # -- methods of an asyncio event loop

    def time(self) -> float:
        """Returns the time of this process's clock in seconds: the machine's time plus the clock skew."""
        return self.machine.now + self.skew_s

    def is_running(self) -> bool:
        return not self.dead

    def is_closed(self) -> bool:
        return self.dead

    def get_debug(self) -> bool:
        return False

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None
    ) -> events.Handle:
        handle = events.Handle(callback, args, self, context)
        if not self.dead:
            self.machine.push_ready(handle)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(
        self,
        delay: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> events.TimerHandle:
        return self.call_at(self.time() + max(0.0, delay), callback, *args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> events.TimerHandle:
        handle = events.TimerHandle(when, callback, args, self, context)
        if not self.dead:
            # Times are rounded to microseconds so that floating-point sums do not decide the order of timers,
            # and are never in the past.
            self.machine.push_timer(max(self.machine.now, round(when - self.skew_s, 6)), handle)
        return handle

    def _timer_handle_cancelled(self, handle: events.TimerHandle) -> None:
        """Does nothing: the machine discards cancelled timers when they come due."""

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, Any],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
        **more: Any,
    ) -> asyncio.Task[Any]:
        task = asyncio.Task(coro, loop=self, name=name or "task", context=context)
        self._tasks[task] = None
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)

    def run_in_executor(self, executor: Any, func: Callable[..., Any], *args: Any) -> asyncio.Future[Any]:
        """Runs the function in a separate step at the same virtual instant, without a thread."""
        future = self.create_future()

        def work() -> None:
            if future.cancelled():
                return
            try:
                future.set_result(func(*args))
            except Exception as problem:
                future.set_exception(problem)

        self.call_soon(work)
        return future

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:
        self.signals[sig] = lambda: callback(*args)

    def remove_signal_handler(self, sig: int) -> bool:
        return self.signals.pop(sig, None) is not None

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Records an unhandled exception of this process as a problem, which fails the run."""
        if self.dead:
            return
        problem = context.get("exception")
        text = f"{self.name}: {context.get('message', '')}: {problem!r}"
        self.machine.problems.append(text)
        self.machine.note(f"unhandled {type(problem).__name__}")

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        self.call_exception_handler(context)

    async def shutdown_asyncgens(self) -> None:
        """Does nothing: the loop does not track asynchronous generators."""

    # -- connections and datagrams of the process

    async def create_server(
        self,
        protocol_factory: Any,
        host: Any = None,  # type: ignore
        port: Any = None,
        *,
        backlog: int = 100,
        **more: Any,
    ) -> Any:
        return self.machine.network.listen(self, protocol_factory, host, port or 0, backlog)

    async def create_connection(
        self,
        protocol_factory: Any,
        host: Any = None,  # type: ignore
        port: Any = None,
        **more: Any,
    ) -> Any:
        return await self.machine.network.connect(self, protocol_factory, host, port)

    async def create_datagram_endpoint(
        self,
        protocol_factory: Any,
        local_addr: Any = None,  # type: ignore
        **more: Any,
    ) -> Any:
        return self.machine.network.datagram_endpoint(self, protocol_factory, local_addr)

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:
        fd.add_reader(self, callback, args)

    def remove_reader(self, fd: Any) -> bool:
        return fd.remove_reader()

    # -- file descriptors, signals, stalls and exit of the process

    def acquire_descriptors(self, count: int = 1) -> bool:
        """Allocates file descriptors; returns False, allocating none, if the limit would be exceeded."""
        if self.open_descriptors + count > self.max_descriptors:
            return False
        self.open_descriptors += count
        return True

    def release_descriptors(self, count: int = 1) -> None:
        self.open_descriptors -= count

    def signal(self, number: int) -> None:
        """Delivers a signal: calls its handler, or ends the process if it has none."""
        if self.dead:
            return
        self.machine.note(f"{self.name} signal {number}")
        handler = self.signals.get(number)
        if handler is not None:
            self.call_soon(handler)
        else:
            self.kill(-number)

    def stall(self, seconds: float) -> None:
        """Stalls the process for the given seconds; steps that come due meanwhile run when it resumes."""
        self.machine.note(f"{self.name} stands still for {seconds:g} s")
        self.stalled_until = max(self.stalled_until, round(self.machine.now + seconds, 6))
        self.machine.schedule(self.stalled_until, self._resume)

    def _resume(self) -> None:
        if self.machine.now < self.stalled_until or self.dead:
            return
        deferred, self.deferred = self.deferred, []
        for handle in deferred:
            self.machine.push_ready(handle)

    def kill(self, code: int = -9) -> None:
        """Ends the process at once: none of its steps run any more, and the network closes its sockets."""
        if self.dead:
            return
        self.dead, self.exit_code = True, code
        self.machine.note(f"{self.name} ends with {code}")
        self.deferred.clear()
        for task in self._tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        self.machine.network.process_died(self)
        if self.on_exit is not None:
            self.on_exit(code)


def close_tasks(process: Process) -> None:
    """Closes the coroutines of a dead process, so that the garbage collector does not run their cleanup."""
    for task in list(process._tasks):
        coro = task.get_coro()
        try:
            coro.close()  # type: ignore[union-attr]
        except (RuntimeError, ValueError):
            continue  # a coroutine that awaits in a `finally` block cannot be closed
    process._tasks.clear()
