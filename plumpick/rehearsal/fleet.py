"""The whole fleet of a rehearsal (gateways, worker stubs, discovery stub, datagram relay and clients) and the
scripted faults."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Coroutine
from typing import Any

from plumpick.rehearsal.auditor import Auditor, is_excused_by_stall
from plumpick.rehearsal.clients import Front, total_capacity
from plumpick.rehearsal.datagrams import Relay
from plumpick.rehearsal.licence_server import WorkerStub, ZoneKeys
from plumpick.rehearsal.plants import PLANTS, FaultRelays, InjectedFault, OverCeiling
from plumpick.rehearsal.records import LoopLag, Recorder, RunEnded, RunStarted, ScriptEvent
from plumpick.rehearsal.roster import DiscoveryAgent, DiscoveryStub, ListedWorker
from plumpick.rehearsal.scenario import (
    AnyEvent,
    HotFirm,
    KillGatekeeper,
    MoveRoster,
    PauseGatekeeper,
    ReleaseServers,
    RestartGatekeeper,
    RosterSilent,
    Scenario,
    ServerFault,
    SilentServers,
    SilentWatches,
    SplitPeers,
)
from plumpick.rehearsal.service import Service
from plumpick.rehearsal.supervisor import Gatekeeper, StartFailed, Supervisor
from plumpick.rehearsal.surroundings import HOST, Surroundings

# Interval of samples of the event loop's lag, and lag from which a stall is recorded
LAG_STEP_MS, STALL_MS = 10.0, 25.0
SLOW_P99_MS = 15.0  # Maximum 99th percentile of the event loop's lag with which a verdict counts
SETTLE_MS = 250.0  # Time between the last response and the end of the records
GROUP_SIZE = 4  # Number of workers in a group of a zone
MIN_UPTIME_FOR_SIGHUP_MS = 1000.0  # Time after a gateway is ready during which it gets no SIGHUP
NEW_CONNECTIONS_MS = (
    200.0,
    400.0,
)  # Range of the time after SIGTERM during which clients open new connections


class LagMeter:
    """Measures the lag of the event loop that runs the stubs; recorded times are inaccurate by that lag."""

    def __init__(self, around: Surroundings, recorder: Recorder) -> None:
        self._around, self._recorder = around, recorder
        self.counts = [0] * 2000  # Histogram of the lag in steps of 0.5 ms
        self.most = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._due = self._around.now() + LAG_STEP_MS
        self._timer = self._around.later(LAG_STEP_MS, self._sample)

    def _sample(self) -> None:
        now = self._around.now()
        late = max(0.0, now - self._due)
        self.counts[min(len(self.counts) - 1, int(late * 2))] += 1
        self.most = max(self.most, late)
        if late > STALL_MS:
            self._recorder(LoopLag(now, round(late, 3)))
        self.start()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def quantile(self, share: float) -> float:
        """Return the lag in ms that this share of the samples did not exceed; 0 without samples."""
        total, seen = sum(self.counts), 0
        for place, count in enumerate(self.counts):
            seen += count
            if total and seen >= share * total:
                return (place + 1) / 2
        return 0.0


class Fleet:
    """A fleet that plays one scenario. `close` removes all its processes, sockets and files."""

    def __init__(
        self,
        around: Surroundings,
        scenario: Scenario,
        name: str,
        plant: str = "",
        supervise: type[Supervisor] = Supervisor,
    ) -> None:
        """Build the fleet; `supervise` starts and ends the gateways as real or as simulated processes."""
        self.around, self.scenario, self.name = around, scenario, name
        self.recorder = Recorder()
        self.auditor, self.service = Auditor(), Service()
        self.recorder.listeners += [self.auditor, self.service]
        self._serials = itertools.count(1)
        self._rng = around.chance("script")
        halls = scenario.fleet.halls
        windows = {kind.name: kind.window_s * 1000 for kind in scenario.classes if kind.repeats == "keyed"}
        self._keys = {hall: ZoneKeys(windows) for hall in halls}
        self._names = itertools.count(1)
        self.servers: dict[str, WorkerStub] = {}
        self.groups: dict[str, int] = {}
        for number in range(scenario.fleet.servers):
            self._new_server(
                scenario.hall_of(number),
                number // (GROUP_SIZE * len(halls)) * len(halls) + number % len(halls),
            )
        self.capacity = total_capacity(list(self.servers.values()))
        gates = [f"n{number}" for number in range(scenario.fleet.gatekeepers)]
        self.agents = [DiscoveryAgent(around, gate, self.recorder) for gate in gates]
        self.roster = DiscoveryStub(around, scenario.roster, self.agents)
        self.relay = Relay(around, scenario.peers, gates, self.recorder)
        self.front = Front(around, scenario, self.capacity, self.recorder)
        self.quotas = self.front.quotas()
        self.plant: InjectedFault | None = None
        self.relays: FaultRelays | None = None
        if plant:
            self.plant = PLANTS[plant](around)
            self.recorder.listeners.append(self.plant)
            self.relays = FaultRelays(around, self.plant)
            self.relays.targets = lambda: [server.port for server in self._ready()]
            self.relays.port_of = self._port_of
            self.relays.refused = self.front.refused
            if isinstance(self.plant, OverCeiling):
                self.plant.plans = {plan.name.encode() for plan in scenario.plans if plan.ceiling}
        self.folder = supervise.make_folder()
        self.supervisor = supervise(
            around,
            scenario,
            self.folder,
            self.agents,
            self.relay,
            self.quotas,
            self.recorder,
            self._gate_ended,
        )
        self.lag = LagMeter(around, self.recorder)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.timers: list[asyncio.TimerHandle] = []
        self.marks: list[tuple[float, str]] = []
        self.failed: list[str] = []  # Errors of scripted events that could not be played
        self._releasing: set[str] = set()

    def _new_server(self, hall: str, group: int) -> WorkerStub:
        name = f"lic-{next(self._names):03d}"
        server = WorkerStub(
            self.around,
            name,
            hall,
            self.scenario.server,
            self.scenario.rules,
            self.scenario.classes,
            self._keys[hall],
            self.recorder,
            self._serials,
        )
        self.servers[name], self.groups[name] = server, group
        return server

    def _port_of(self, name: str) -> int:
        server = self.servers.get(name)
        return 0 if server is None or server.down or server.is_unreachable else server.port

    def _listed(self, server: WorkerStub, status: str) -> ListedWorker:
        return ListedWorker(
            server.name,
            server.incarnation,
            server.port,
            server.zone,
            self.groups[server.name],
            status,
            server.since_unix,
        )

    # -- start and end of the fleet

    async def start(self) -> None:
        """Start the stubs, then the gateways. Raises StartFailed or OSError."""
        terms = self.scenario.terms(self.around.seed, self.plant.name if self.plant else "", self.name)
        self.recorder(RunStarted(self.around.now(), terms | {"quotas": self.quotas}))
        await asyncio.gather(*(server.start(cold=False) for server in self.servers.values()))
        for agent in self.agents:
            await agent.start()
            if self.relays is not None and self.plant is not None and self.plant.at_servers:
                for server in self.servers.values():
                    await self.relays.relay_port_for(server.port)
                agent.address_of = self._relayed
        self.roster.set_initial_list([self._listed(server, "ready") for server in self.servers.values()])
        await self.relay.start()
        results = await asyncio.gather(
            *(self.supervisor.start(gate) for gate in self.supervisor.gates), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        for gate, connections in zip(self.supervisor.gates, self.front.gateway_connections, strict=True):
            connections.port = await self._entry_port(gate)
            connections.up = True
        self.around.settle()

    def _relayed(self, entry: ListedWorker) -> str:
        assert self.relays is not None
        return f"{HOST}:{self.relays.ports.get(entry.port, entry.port)}"

    async def _entry_port(self, gate: Gatekeeper) -> int:
        if self.relays is not None and self.plant is not None and not self.plant.at_servers:
            return await self.relays.relay_port_for(gate.port)
        return gate.port

    async def play(self) -> None:
        """Play the scenario to its end."""
        self.lag.start()
        self.front.start()
        for event in self.scenario.events:
            self.timers.append(self.around.later(event.at_s * 1000, self._begin, event))
        await asyncio.sleep(self.scenario.seconds)
        self.front.stop()
        # The last requests get the longest deadline of any class to complete.
        end = self.around.loop.time() + max(kind.deadline_ms for kind in self.scenario.classes) / 1000 + 1.0
        while self.front.open > 0 and self.around.loop.time() < end:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLE_MS / 1000)
        self.finish()

    def finish(self) -> None:
        """Write the record that ends the history, unless it is written already."""
        if not self.auditor.over:
            self.lag.stop()
            self.recorder(RunEnded(self.around.now(), self.lag.quantile(0.99), round(self.lag.most, 3)))

    async def close(self) -> None:
        """End all processes and remove all sockets and files, also after a start that failed half way."""
        self.lag.stop()
        for timer in self.timers:
            timer.cancel()
        for task in list(self.tasks):
            task.cancel()
        self.front.close()
        try:
            await self.supervisor.close()
        finally:
            self.recorder.listeners.clear()
            self.recorder.close()  # Processes that end from here on end because of this shutdown.
            if self.relays is not None:
                self.relays.close()
            for server in self.servers.values():
                server.stop()
            for agent in self.agents:
                agent.close()
            self.relay.close()
            self.supervisor.delete_folder()

    def _gate_ended(self, gate: Gatekeeper) -> None:
        connections = self.front.gateway_connections[gate.number]
        connections.process_ended(self._rng.uniform(*self.scenario.clients.notice_s) * 1000)

    # -- events of the script

    def mark(self, text: str) -> None:
        """Record a fault or another event of the script, for the history and the reports."""
        t = self.around.now()
        self.marks.append((t, text))
        self.recorder(ScriptEvent(t, text))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        async def guarded() -> None:
            try:
                await work
            except (StartFailed, OSError) as problem:
                self.failed.append(str(problem))
                self.mark(f"failed: {str(problem).splitlines()[0]}")

        self.around.spawn(self.tasks, guarded())

    def _later(self, ms: float, call: Any, *arguments: Any) -> None:
        self.timers.append(self.around.later(ms, call, *arguments))

    def _begin(self, event: AnyEvent) -> None:  # noqa: C901  (to be split by concern)
        match event:
            case KillGatekeeper():
                self._spawn(self._kill(self.supervisor.gates[event.gatekeeper], event.back_s))
            case RestartGatekeeper():
                self._spawn(self._restart(self.supervisor.gates[event.gatekeeper]))
            case PauseGatekeeper():
                gate = self.supervisor.gates[event.gatekeeper]
                self.mark(f"gatekeeper {gate.name} is stopped (SIGSTOP)")
                self.supervisor.stop(gate)
                self._later(event.for_s * 1000, self._resume, gate)
            case MoveRoster():
                self._spawn(self._move_roster())
            case RosterSilent():
                self.mark("discovery stops answering")
                self.roster.silence(event.for_s * 1000)
                self._later(event.for_s * 1000, self.mark, "discovery answers again")
            case SilentWatches():
                self.mark("all open discovery watches stop answering")
                for agent in self.agents:
                    agent.drop_watches()
            case ReleaseServers():
                self._release(event)
            case SilentServers():
                self._cut_off(event)
            case ServerFault():
                self._fault(event)
            case HotFirm():
                customer = self.front.add_hot_traffic(event)
                self.mark(f"customer {customer} sends {event.times:g} times its quota in addition")
            case SplitPeers():
                side = set(event.side)
                self.relay.sides.append(side)
                self.mark(f"gatekeepers {sorted(side)} are partitioned from the others")
                self._later(event.for_s * 1000, self.relay.sides.remove, side)
                self._later(event.for_s * 1000, self.mark, "the partition of the gatekeepers ends")

    async def _kill(self, gate: Gatekeeper, back_s: float) -> None:
        self.mark(f"gatekeeper {gate.name} is killed")
        self.supervisor.kill(gate)
        if back_s and gate.watch is not None:
            await gate.watch
            await asyncio.sleep(back_s)
            await self._start_again(gate)

    async def _restart(self, gate: Gatekeeper) -> None:
        self.mark(f"gatekeeper {gate.name} gets SIGTERM")
        self.front.gateway_connections[gate.number].begin_shutdown(self._rng.uniform(*NEW_CONNECTIONS_MS))
        self.supervisor.terminate(gate)
        if gate.watch is not None:
            await gate.watch
            await self._start_again(gate)

    async def _start_again(self, gate: Gatekeeper) -> None:
        """Start the gateway unless it runs: if it is killed while it drains, two callers wait for its end."""
        async with gate.starting:
            if not gate.running():
                await self.supervisor.start(gate)
                self.mark(f"gatekeeper {gate.name} is up again")

    def _resume(self, gate: Gatekeeper) -> None:
        self.supervisor.resume(gate)
        self.mark(f"gatekeeper {gate.name} resumes (SIGCONT)")

    async def _move_roster(self) -> None:
        self.mark("the discovery agents move to new addresses; gatekeepers get SIGHUP")
        for agent, gate in zip(self.agents, self.supervisor.gates, strict=True):
            await agent.start()
            self._spawn(self._reload(gate))

    async def _reload(self, gate: Gatekeeper) -> None:
        """Send SIGHUP, but not before MIN_UPTIME_FOR_SIGHUP_MS after the gateway is ready.

        SIGHUP ends a process that has not installed its handler yet.
        """
        while not gate.running() or self.around.now() - gate.ready_t < MIN_UPTIME_FOR_SIGHUP_MS:
            await asyncio.sleep(0.05)
        self.supervisor.reload(gate)

    def _ready(self) -> list[WorkerStub]:
        return [
            server
            for server in self.servers.values()
            if not (server.down or server.draining or server.is_unreachable or server.name in self._releasing)
        ]

    def _release(self, event: ReleaseServers) -> None:
        """Drain workers one after the other, and start a cold replacement with a new name for each."""
        chosen = self._ready()
        self._rng.shuffle(chosen)
        chosen = chosen[: max(1, round(event.share * len(chosen)))]
        self._releasing |= {server.name for server in chosen}
        self.mark(f"a release of {len(chosen)} servers begins")
        step_ms = event.within_s * 1000 / len(chosen)
        for place, server in enumerate(chosen):
            self._later(place * step_ms, lambda one=server: self._spawn(self._replace(one, event.linger_s)))
        self._later(event.within_s * 1000, self.mark, "the release ends")

    async def _replace(self, server: WorkerStub, linger_s: float) -> None:
        server.draining = True  # The worker rejects new attempts from now on; discovery reports it later.
        self.roster.publish(self._listed(server, "draining"))
        successor = self._new_server(server.zone, self.groups[server.name])
        await successor.start(cold=True)
        if self.relays is not None and self.plant is not None and self.plant.at_servers:
            await self.relays.relay_port_for(successor.port)
        self.roster.publish(self._listed(successor, "ready"))
        late_s = max(*self.scenario.roster.drain_s) + max(*self.scenario.roster.spread_ms) / 1000
        await asyncio.sleep(late_s + linger_s)
        server.stop()
        self._releasing.discard(server.name)
        self.roster.publish(self._listed(server, "gone"))

    def _cut_off(self, event: SilentServers) -> None:
        for server in self._pick(event.count):
            server.become_unreachable()
            self.mark(f"server {server.name} becomes unreachable")
            self._later(event.for_s * 1000, lambda one=server: self._spawn(self._restore(one)))

    async def _restore(self, server: WorkerStub) -> None:
        await server.restart_cold()
        self.mark(f"server {server.name} is reachable again, with a cold process")
        self.roster.publish(self._listed(server, "ready"))

    def _pick(self, count: int) -> list[WorkerStub]:
        ready = self._ready()
        return self._rng.sample(ready, min(count, max(1, len(ready) - 1)) if count else len(ready))

    def _fault(self, event: ServerFault) -> None:
        chosen = self._pick(event.count)
        classes = event.classes or [kind.name for kind in self.scenario.classes]
        which = event.fault.replace("-", "_")
        self.mark(f"{len(chosen)} servers: fault {event.fault} begins")
        for server in chosen:
            faults = server.faults
            if event.fault == "half-speed":
                faults.speed = event.by
            elif event.fault == "freeze":
                faults.freeze_ms, faults.freeze_every_ms = event.by_ms, event.every_s * 1000
            else:
                setattr(faults, which, dict.fromkeys(classes, event.share))
                faults.slow_ms = event.by_ms
        self._later(event.for_s * 1000, self._end_fault, chosen, event)

    def _end_fault(self, chosen: list[WorkerStub], event: ServerFault) -> None:
        for server in chosen:
            if event.fault == "half-speed":
                server.faults.speed = 1.0
            elif event.fault == "freeze":
                server.faults.freeze_every_ms = 0.0
            else:
                setattr(server.faults, event.fault.replace("-", "_"), {})
        self.mark(f"{len(chosen)} servers: fault {event.fault} ends")


def too_slow(auditor: Auditor) -> str:
    """Return why the workstation was too slow for the verdict to count, or an empty string.

    A breach of a time limit does not count if the event loop of the stubs stalled at about the same time.
    """
    if auditor.lag_p99_ms > SLOW_P99_MS:
        return (
            f"the stubs' event loop ran {auditor.lag_p99_ms:.1f} ms late "
            f"(99th percentile; the limit is {SLOW_P99_MS:g} ms)"
        )
    for breach in auditor.breaches:
        if is_excused_by_stall(breach, auditor.stalls):
            return f"the stubs' event loop stalled when {breach.rule} was judged at {breach.t / 1000:.2f} s"
    return ""


def seed_of(number: int | None) -> int:
    """Return the given seed, or a random one if it is None."""
    return random.SystemRandom().randrange(1 << 31) if number is None else number


def percent(value: float) -> str:
    """Format a share as a percentage, rounded down to a tenth: "100 %" is never the result of rounding."""
    return "100 %" if value >= 1 else f"{math.floor(value * 1000) / 10:.1f} %"
