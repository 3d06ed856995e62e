"""The rehearsal kit's fleet, with the operators' actions of a soak."""

from __future__ import annotations

import asyncio
import math
import signal
from dataclasses import dataclass
from typing import Any

from benchmarks.soak.schedule import (
    Action,
    Crowd,
    HotRestart,
    Schedule,
    Terminate,
    TerminateAndReload,
    TerminateTwice,
    TerminateTwo,
)
from plumpick.rehearsal.fleet import NEW_CONNECTIONS_MS, Fleet
from plumpick.rehearsal.supervisor import Gatekeeper, Supervisor, free_port
from plumpick.rehearsal.surroundings import HOST, Surroundings
from plumpick.tools.call import send_command

MANAGEMENT_PORTS = (30_000, 32_000)
KILL_MARGIN_S = 0.7  # Time from SIGTERM to the earliest SIGKILL, in addition to the longest deadline
READY_TIMEOUT_S = 6.0  # Maximum time until the successor of a hot restart is ready
POLL_S = 0.05
CATCH_UP_MS = 200.0  # Time that a process needs after SIGCONT to read what it received meanwhile
MAX_BREACHES = 100_000  # Maximum number of breaches kept; it keeps all, because each one is judged
CROWD_HEAD = b"GET /seat-check HTTP/1.1\r\nHost: h\r\nX-Request-Id: "
CROWD_READ_S = 2.0


@dataclass
class _Stop:
    """The period for which a process was stopped by SIGSTOP, in ms since the start of the run."""

    gate: str
    process: asyncio.subprocess.Process
    begin_ms: float
    end_ms: float = math.inf


class SoakSupervisor(Supervisor):
    """A supervisor for hot restarts, during which a gateway has a predecessor and a successor process."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.management: dict[int, int] = {}
        self.started_pids: list[int] = []
        self._stops: list[_Stop] = []
        self.extra_configuration_of = self._more

    def _more(self, gate: Gatekeeper) -> dict[str, Any]:
        self.management[gate.number] = free_port(first=MANAGEMENT_PORTS)
        return {"management": f"{HOST}:{self.management[gate.number]}"}

    async def launch(self, gate: Gatekeeper) -> asyncio.subprocess.Process:
        """Start a process of the gateway, note its pid and return it."""
        process = await super().launch(gate)
        self.started_pids.append(process.pid)
        return process

    def stop(self, gate: Gatekeeper) -> None:
        """Suspend the gateway's process with SIGSTOP and record when."""
        if gate.process is not None and gate.running():
            self._stops.append(_Stop(gate.name, gate.process, self.around.now()))
        super().stop(gate)

    def resume(self, gate: Gatekeeper) -> None:
        """Send SIGCONT to the process that was stopped, also if the gateway has a successor by now."""
        for stop in self._stops:
            if stop.gate == gate.name and stop.end_ms == math.inf:
                stop.end_ms = self.around.now()
                if stop.process.returncode is None:
                    stop.process.send_signal(signal.SIGCONT)

    def was_stopped(self, gate: str, begin_ms: float, end_ms: float) -> bool:
        """Return whether the gateway's process was stopped, or catching up, at some time in the interval."""
        return any(
            stop.gate == gate and stop.begin_ms <= end_ms and begin_ms <= stop.end_ms + CATCH_UP_MS
            for stop in self._stops
        )

    async def _watch(self, gate: Gatekeeper, process: asyncio.subprocess.Process) -> None:
        await process.wait()
        if gate.process is process:  # The end of a predecessor is not the end of the gateway.
            await super()._watch(gate, process)


class SoakFleet(Fleet):
    """A fleet that plays a schedule.

    `problems` holds failures that the auditor's rules do not cover; `killed_at_the_earliest` counts processes
    that had not ended by the earliest moment of a SIGKILL.
    """

    def __init__(self, around: Surroundings, schedule: Schedule) -> None:
        super().__init__(around, schedule.scenario, f"soak-{schedule.seed}", supervise=SoakSupervisor)
        self.auditor.most_breaches = MAX_BREACHES
        self._schedule = schedule
        self.problems: list[str] = []
        self.killed_at_the_earliest = 0
        # Gateway of each crowd, with the crowd's begin and end in ms
        self.crowds: list[tuple[str, float, float]] = []
        longest_ms = max(kind.deadline_ms for kind in schedule.scenario.classes)
        self._kill_after_s = longest_ms / 1000 + KILL_MARGIN_S

    async def play(self) -> None:
        """Play the schedule to its end."""
        for action in self._schedule.actions:
            self.timers.append(self.around.later(action.at_s * 1000, self._begin_action, action))
        await super().play()

    def _begin_action(self, action: Action) -> None:
        self._spawn(self._act(action))

    async def _act(self, action: Action) -> None:
        gate = self.supervisor.gates[action.gate]
        match action:
            case Terminate():
                await self._terminate(gate)
            case TerminateTwice():
                self._later(action.gap_s * 1000, self.supervisor.terminate, gate)
                await self._terminate(gate)
            case TerminateAndReload():
                await self._terminate_and_reload(gate, action.offset_s)
            case TerminateTwo():
                other = self.supervisor.gates[action.other]
                await asyncio.gather(self._terminate(gate), self._terminate(other))
            case HotRestart():
                await self._hot_restarts(gate, action.count)
            case Crowd():
                await self._crowd(gate, action)

    # -- shutdown by SIGTERM

    async def _terminate_and_reload(self, gate: Gatekeeper, offset_s: float) -> None:
        if offset_s <= 0:
            self.supervisor.reload(gate)
            await asyncio.sleep(-offset_s)
        else:
            self._later(offset_s * 1000, self.supervisor.reload, gate)
        await self._terminate(gate)

    async def _terminate(self, gate: Gatekeeper) -> None:
        """Send SIGTERM, then SIGKILL at the earliest allowed moment, and start a new process."""
        process = gate.process
        if process is None or not gate.running():
            return
        self.mark(f"gatekeeper {gate.name} gets SIGTERM")
        self.front.gateway_connections[gate.number].begin_shutdown(self._rng.uniform(*NEW_CONNECTIONS_MS))
        self.supervisor.terminate(gate)
        begin_ms = self.around.now()
        if not await self._has_ended(process):
            self._kill_at_the_earliest(gate.name, process, begin_ms)
        if gate.watch is not None:
            await gate.watch
        await self._start_again(gate)

    async def _has_ended(self, process: asyncio.subprocess.Process) -> bool:
        """Wait until the process ends, at most until the earliest SIGKILL; return whether it ended."""
        try:
            await asyncio.wait_for(process.wait(), self._kill_after_s)
        except TimeoutError:
            return False
        return True

    def _kill_at_the_earliest(self, name: str, process: asyncio.subprocess.Process, begin_ms: float) -> None:
        self.killed_at_the_earliest += 1
        unanswered = self.auditor.open_requests(name)
        if unanswered and not self.was_stopped(name, begin_ms, self.around.now()):
            self.problems.append(f"{name}: unanswered at the earliest SIGKILL: {', '.join(unanswered[:5])}")
        process.kill()

    # -- hot restarts

    async def _hot_restarts(self, gate: Gatekeeper, count: int) -> None:
        ends = [await self._hot_restart(gate) for _ in range(count)]
        await asyncio.gather(*(end for end in ends if end is not None))

    async def _hot_restart(self, gate: Gatekeeper) -> asyncio.Task[None] | None:
        """Start a successor; return the task that ends the predecessor, or None if no successor was ready."""
        supervisor = self.supervisor
        assert isinstance(supervisor, SoakSupervisor)
        async with gate.starting:
            old = gate.process
            if old is None or not gate.running():
                return None
            self.mark(f"gatekeeper {gate.name}: a hot-restart successor starts")
            new = await supervisor.launch(gate)
            if not await self._is_ready(supervisor.management[gate.number], new):
                self.problems.append(f"{gate.name}: the successor was not ready within {READY_TIMEOUT_S:g} s")
                new.kill()
                return None
            gate.process = new
            gate.watch = self.around.loop.create_task(supervisor._watch(gate, new))
        self.mark(f"gatekeeper {gate.name}: the hot-restart successor is ready")
        return self.around.loop.create_task(self._end_predecessor(gate.name, old))

    async def _end_predecessor(self, name: str, old: asyncio.subprocess.Process) -> None:
        if old.returncode is None:
            old.terminate()
        if not await self._has_ended(old):
            self.killed_at_the_earliest += 1
            old.kill()
        elif old.returncode != 0:
            self.problems.append(f"{name}: the predecessor exited with code {old.returncode}, not 0")

    async def _is_ready(self, port: int, process: asyncio.subprocess.Process) -> bool:
        end = self.around.loop.time() + READY_TIMEOUT_S
        while process.returncode is None and self.around.loop.time() < end:
            try:
                if (await asyncio.to_thread(send_command, (HOST, port), "READY")).startswith("+OK"):
                    return True
            except OSError:
                pass
            await asyncio.sleep(POLL_S)
        return False

    # -- crowds of connections

    async def _crowd(self, gate: Gatekeeper, action: Crowd) -> None:
        self.mark(f"gatekeeper {gate.name}: a crowd of {action.connections} connections")
        begin_ms = self.around.now()
        self.crowds.append((gate.name, begin_ms, begin_ms + action.for_s * 1000 + CROWD_READ_S * 1000))
        end_s = self.around.loop.time() + action.for_s
        members = [self._crowd_member(gate, end_s) for _ in range(action.connections)]
        await asyncio.gather(*members)

    async def _crowd_member(self, gate: Gatekeeper, end_s: float) -> None:
        loop = self.around.loop
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        while loop.time() < end_s:
            try:
                reader, writer = await asyncio.open_connection(HOST, gate.port)
                writer.write(CROWD_HEAD)
                try:
                    await asyncio.wait_for(reader.read(), max(POLL_S, end_s - loop.time()))
                finally:
                    writer.transport.abort()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(self._rng.uniform(0.2, 1.0))

    def was_stopped(self, gate: str, begin_ms: float, end_ms: float) -> bool:
        """Return whether the gateway's process was stopped, or catching up, at some time in the interval."""
        assert isinstance(self.supervisor, SoakSupervisor)
        return self.supervisor.was_stopped(gate, begin_ms, end_ms)

    def is_in_crowd(self, gate: str, at_ms: float) -> bool:
        """Return whether a crowd was connected to the gateway at that time."""
        return any(name == gate and begin <= at_ms <= until for name, begin, until in self.crowds)
