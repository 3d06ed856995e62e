"""The virtual machine: one queue of steps for all processes, and an event loop of its own for each process.

A process is whatever shares an event loop: a gatekeeper, or all stand-ins together. Each has its own loop, so
that it can be killed (nothing of it runs any more), stand still for a while and go on, have a clock that is a
few milliseconds off, and run out of descriptors. Time moves only when nothing is ready.

The loops serve what the daemon and the stand-ins use of asyncio: callbacks, timers, tasks, futures, servers
and connections with transports, datagrams on a plain socket (`add_reader`), signals, work in a thread (which
runs at once). Source of the method: FoundationDB's simulation; asyncio's own tasks and streams run on it
unchanged.
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

SAME_INSTANT = 200_000  # steps at one instant after which time is held to have run away
UNIX_S = 1_700_000_000.0  # the time of day at which every simulated run begins


class RunAway(Exception):
    """So many steps at one instant: something arms itself again without end."""


class OutOfSteps(Exception):
    """The run took more steps than it may."""


class Machine:
    """The queue of steps, the time, the processes, and the digest of all that happened.

    `trace`, where given, is told every step as (number, seconds, process, what).
    """

    def __init__(self, seed: int, max_steps: int = 20_000_000) -> None:
        self.seed, self.max_steps = seed, max_steps
        self.now = 0.0
        self.steps = 0
        self.trace: Callable[[int, float, str, str], None] | None = None
        self.after_step: Callable[[], None] | None = None
        self.network: Network = None  # type: ignore[assignment]  # set by the network itself
        self.processes: list[Process] = []
        self.stopped = False
        self.problems: list[str] = []  # what a process must not do: an exception that nobody took
        self._ready: deque[events.Handle] = deque()
        self._timers: list[tuple[float, int, events.TimerHandle]] = []
        self._serial = 0
        self._same = 0
        self._digest = hashlib.blake2b(digest_size=16)

    def chance(self, name: str) -> random.Random:
        """A source of chance of its own for each part."""
        return random.Random(f"{self.seed}/{name}")

    def note(self, what: str) -> None:
        """Put something that happened into the history's identity."""
        self._digest.update(f"{self.now:.9f} {what}\n".encode())
        if self.trace is not None:
            self.trace(self.steps, self.now, "", what)

    def digest(self) -> str:
        """The identity of all that has happened up to now."""
        return self._digest.hexdigest()

    def push(self, when: float, handle: events.TimerHandle) -> None:
        self._serial += 1
        heapq.heappush(self._timers, (when, self._serial, handle))

    def soon(self, handle: events.Handle) -> None:
        self._ready.append(handle)

    def at(self, when: float, call: Callable[..., Any], *arguments: Any) -> events.TimerHandle:
        """Call at that time, in nobody's process: the network's and the script's own doings."""
        return self.processes[0].call_at(when, call, *arguments)

    def run(self, until: float) -> None:
        """Play until that time, or until `stopped` is set. Raises RunAway and OutOfSteps."""
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
                        self.now, self._same = timers[0][0], 0
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
        if self.now < process.still_until:
            process.waiting.append(handle)
            return
        self.steps += 1
        self._same += 1
        if self._same > SAME_INSTANT:
            raise RunAway(f"{SAME_INSTANT} steps at {self.now:.6f} s; the last: {what_is(handle)}")
        if self.steps > self.max_steps:
            raise OutOfSteps(f"more than {self.max_steps} steps")
        name = what_is(handle)
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


def what_is(handle: events.Handle) -> str:
    """What a step calls, by name alone: no address and no number that differs from run to run."""
    call = handle._callback
    owner = getattr(call, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {owner.get_coro().__qualname__}"  # type: ignore[union-attr]
    while hasattr(call, "func"):
        call = call.func
    return getattr(call, "__qualname__", None) or type(call).__qualname__


class Process(asyncio.AbstractEventLoop):
    """One process: an event loop on the machine's queue."""

    def __init__(self, machine: Machine, name: str, skew_ms: float = 0.0, descriptors: int = 1 << 20) -> None:
        self.machine, self.name, self.skew_s, self.descriptors = machine, name, skew_ms / 1000, descriptors
        self.dead = False
        self.still_until = 0.0
        self.waiting: list[events.Handle] = []
        self.in_use = 0  # descriptors
        self.signals: dict[int, Callable[[], Any]] = {}
        self.exit_code: int | None = None
        self.on_exit: Callable[[int], None] | None = None
        self._tasks: dict[asyncio.Task[Any], None] = {}
        machine.processes.append(self)

    # -- what is asked of a loop

    def time(self) -> float:
        """Seconds on this process's clock."""
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
            self.machine.soon(handle)
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
            # To the microsecond and never before it is due: sums of floats must not decide the order.
            self.machine.push(max(self.machine.now, round(when - self.skew_s, 6)), handle)
        return handle

    def _timer_handle_cancelled(self, handle: events.TimerHandle) -> None:
        """The machine drops it when its time comes."""

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
        """The work runs at once, in a step of its own."""
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
        """An exception that nobody took: a fault of the program."""
        if self.dead:
            return
        problem = context.get("exception")
        text = f"{self.name}: {context.get('message', '')}: {problem!r}"
        self.machine.problems.append(text)
        self.machine.note(f"unhandled {type(problem).__name__}")

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        self.call_exception_handler(context)

    async def shutdown_asyncgens(self) -> None:
        """There are none."""

    # -- the network

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
        fd.watch(self, callback, args)

    def remove_reader(self, fd: Any) -> bool:
        return fd.unwatch()

    # -- its life

    def take(self, count: int = 1) -> bool:
        """Take descriptors; False if there are none left."""
        if self.in_use + count > self.descriptors:
            return False
        self.in_use += count
        return True

    def give(self, count: int = 1) -> None:
        self.in_use -= count

    def signal(self, number: int) -> None:
        """A signal comes; one that is not handled ends the process."""
        if self.dead:
            return
        self.machine.note(f"{self.name} signal {number}")
        handler = self.signals.get(number)
        if handler is not None:
            self.call_soon(handler)
        else:
            self.kill(-number)

    def stand_still(self, seconds: float) -> None:
        """Nothing of it runs for so long; what is due then runs late."""
        self.machine.note(f"{self.name} stands still for {seconds:g} s")
        self.still_until = max(self.still_until, round(self.machine.now + seconds, 6))
        self.machine.at(self.still_until, self._go_on)

    def _go_on(self) -> None:
        if self.machine.now < self.still_until or self.dead:
            return
        waiting, self.waiting = self.waiting, []
        for handle in waiting:
            self.machine.soon(handle)

    def kill(self, code: int = -9) -> None:
        """The process is gone: nothing of it runs any more, the network closes what it held."""
        if self.dead:
            return
        self.dead, self.exit_code = True, code
        self.machine.note(f"{self.name} ends with {code}")
        self.waiting.clear()
        for task in self._tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        self.machine.network.process_died(self)
        if self.on_exit is not None:
            self.on_exit(code)


def close_tasks(process: Process) -> None:
    """Close the coroutines that a dead process left, so that the collector has nothing to run."""
    for task in list(process._tasks):
        coro = task.get_coro()
        try:
            coro.close()  # type: ignore[union-attr]
        except (RuntimeError, ValueError):
            continue  # it waits for something in its `finally`, which will not come any more
    process._tasks.clear()
