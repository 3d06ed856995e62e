"""Starts gateways as real processes, as the `run` command does, and ends all of them in every case."""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from plumpick.rehearsal.datagrams import Relay
from plumpick.rehearsal.records import GatewayEvent, Record
from plumpick.rehearsal.roster import DiscoveryAgent
from plumpick.rehearsal.scenario import Scenario
from plumpick.rehearsal.surroundings import HOST, Surroundings, is_up

ROOT = Path(__file__).resolve().parents[2]  # Import path of the program for the processes it starts
READY_TIMEOUT_S = 20.0  # Maximum time in which a gateway must respond to /up after its start
PORTS, PEER_PORTS_FROM = (10_000, 20_000), 10_000  # Range of client ports, and offset of the port for peers
# Maximum number of starts, each with new ports: a free port may be taken before the gateway binds it
MAX_START_TRIES = 3
LOG_TAIL = 2000  # Number of characters of a gateway's log that an error shows
POLL_S, UP_TIMEOUT_S = 0.02, 0.5  # Interval between requests to /up, and time limit for each


class StartFailed(Exception):
    """A gateway could not be started; the message ends with the last part of its log."""


def free_port(kind: int = socket.SOCK_STREAM, first: tuple[int, int] = PORTS) -> int:
    """Return a port that is free now, outside the system's range of ephemeral ports.

    A gateway that restarts therefore finds its port free. Raises OSError if none is found.
    """
    for _ in range(100):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, random.SystemRandom().randrange(*first)))
            except OSError:
                continue
            return int(probe.getsockname()[1])
    raise OSError(f"found no free port from {first[0]} to {first[1] - 1} in 100 tries")


class Gatekeeper:
    """A gateway of the rehearsal, with its ports and its current process; kept across restarts."""

    def __init__(self, supervisor: Supervisor, number: int, agent: DiscoveryAgent) -> None:
        self.supervisor, self.number, self.agent = supervisor, number, agent
        self.name = f"n{number}"
        self.port = self.peer_port = 0
        self.starts = 0
        self.ready = False  # Whether the current process has responded to /up
        self.ready_t = math.inf
        self.starting = asyncio.Lock()
        self.end_requested = False  # Whether this supervisor sent SIGTERM or SIGKILL to the current process
        self.process: asyncio.subprocess.Process | None = None
        self.watch: asyncio.Task[Any] | None = None
        self.folder = supervisor.folder / self.name

    @property
    def pid(self) -> int:
        return self.process.pid if self.process is not None else 0

    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None


class Supervisor:
    """All gateways of a rehearsal. `ended` is called when the process of a gateway that was ready ends."""

    def __init__(
        self,
        around: Surroundings,
        scenario: Scenario,
        folder: Path,
        agents: list[DiscoveryAgent],
        relay: Relay,
        quotas: dict[str, dict[str, float]],
        record: Callable[[Record], None],
        ended: Callable[[Gatekeeper], None],
    ) -> None:
        self.around, self.scenario, self.folder, self._relay = around, scenario, folder, relay
        self._quotas, self._record, self._ended = quotas, record, ended
        self._rng = around.chance("supervisor")
        self.module = "plumpick"  # Module to run: the gateway, or a variant that also records what it does
        self.environment_of: Callable[[Gatekeeper], dict[str, str]] = lambda _gate: {}
        # Additional entries of a gateway's configuration
        self.extra_configuration_of: Callable[[Gatekeeper], dict[str, Any]] = lambda _gate: {}
        self.gates = [Gatekeeper(self, number, agent) for number, agent in enumerate(agents)]
        self.closing = False
        self._kept: list[socket.socket] = []

    @staticmethod
    def make_folder() -> Path:
        """Create and return a temporary folder for configurations and logs."""
        return Path(tempfile.mkdtemp(prefix="plumpick-"))

    def delete_folder(self) -> None:
        """Delete the folder with all configurations and logs."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def ports(self) -> tuple[int, int]:
        """Reserve and return a gateway's port for clients and its port for datagrams; raises OSError."""
        # A bound socket that does not listen reserves the client port for this gateway while it is down.
        # The port for datagrams is at a fixed offset, so no other gateway gets it either.
        for _ in range(100):
            plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            port = free_port()
            try:
                plug.bind((HOST, port))
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                    probe.bind((HOST, port + PEER_PORTS_FROM))
            except OSError:
                plug.close()
                continue
            self._kept.append(plug)
            return port, port + PEER_PORTS_FROM
        raise OSError("found no free pair of ports for a gateway in 100 tries")

    # -- configurations of the gateways

    def settings_of(self, number: int) -> dict[str, Any]:
        """Return the settings of one gateway, in the form that the platform provides them."""
        scenario = self.scenario
        repeats = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
        return {
            "balancers": len(self.gates),
            "myNumber": number,
            "locality": scenario.hall_of(number),
            "tickMs": 4.0,
            "discovery": "automatic",
            "azs": scenario.fleet.halls,
            "classes": [
                {
                    "name": kind.name,
                    "aimMs": kind.aim_ms,
                    "deadlineMs": kind.deadline_ms,
                    "worth": kind.worth,
                    "repeat": repeats[kind.repeats],
                    "keyScope": "zone",
                    "dedupWindowMs": kind.window_s * 1000,
                }
                for kind in scenario.classes
            ],
            "packages": [
                {
                    "name": plan.name,
                    "perSecond": quota["rate"],
                    "storeSize": quota["burst"],
                    "valueFactor": plan.value,
                    "overWorth": 0.0,
                    "overrunCost": plan.over_cost,
                    "hardRate": quota["ceiling_rate"],
                    "hardBurst": quota["ceiling_burst"],
                    "capSlack": quota["ceiling_slack"],
                }
                for plan in scenario.plans
                for quota in [self._quotas[plan.name]]
            ],
            "rules": {
                "warmUpMs": scenario.server.warm_s[1] * 1000,
                "coldFrom": scenario.server.cold_from,
                "fallMultiple": scenario.rules.fall_multiple,
                "tipAfterMs": scenario.rules.fall_ms,
                "drainGraceMs": scenario.rules.drain_grace_ms,
                "askWithinMs": 10_000.0,
            },
            "limits": {
                "maxAttempts": 5,
                "cancel": True,
                "mayTell": True,
                "probing": False,
                "secondCopies": True,
                "retryAfter": True,
                "maxRetryAfterMs": 1000.0,
                "dialTimeoutMs": 250.0,
                "connIdleMs": scenario.server.idle_s * 1000,
            },
            "domain": {"maxUnits": 1, "inboxPerS": scenario.peers.inbox_per_s},
            "penalties": {"crossZone": scenario.prices.cross_hall, "peer": scenario.prices.peer},
            "report": {"how": "answers", "fields": ["util", "latency_ms"]},
        }

    def configuration(self, gate: Gatekeeper) -> dict[str, Any]:
        """Return the configuration for a start of the gateway, with its agent's current list of workers."""
        peers = [
            f"{HOST}:{gate.peer_port}" if other is gate else self._relay.address(gate.number, other.number)
            for other in self.gates
        ]
        return {
            "name": gate.name,
            "listen": f"{HOST}:{gate.port}",
            "discovery": f"{HOST}:{gate.agent.port}",
            "seed": f"{self._rng.getrandbits(64):016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.scenario.fleet.memory_mb,
                "sockets": self.scenario.fleet.sockets,
            },
            "peer_listen": f"{HOST}:{gate.peer_port}",
            "peers": peers,
            "known": gate.agent.full_list(),
            "settings": self.settings_of(gate.number),
            **self.extra_configuration_of(gate),
        }

    def write(self, gate: Gatekeeper) -> Path:
        """Replace the gateway's configuration file atomically and return its path."""
        gate.folder.mkdir(exist_ok=True)
        path = gate.folder / "config.json"
        new_path = gate.folder / "config.new"
        new_path.write_text(json.dumps(self.configuration(gate)), encoding="utf-8")
        new_path.replace(path)
        return path

    # -- start of gateway processes

    async def start(self, gate: Gatekeeper) -> None:
        """Start a process of the gateway and wait until it is up. Raises StartFailed."""
        for attempt in range(MAX_START_TRIES):
            if not gate.starts:
                gate.port, gate.peer_port = self.ports()
                self._relay.ports[gate.number] = gate.peer_port
            if await self._start_once(gate):
                gate.starts += 1
                gate.ready, gate.ready_t = True, self.around.now()
                self._record(GatewayEvent(self.around.now(), gate.name, "ready", 0))
                return
            # The process was ended on purpose during its start; whoever ended it starts a new one.
            if gate.end_requested:
                self._record(GatewayEvent(self.around.now(), gate.name, "exited", -9))
                return
            tail = self.log_tail(gate)
            if gate.starts:
                self._record(GatewayEvent(self.around.now(), gate.name, "exited", 1))
            if gate.starts or "address already in use" not in tail.lower() or attempt == MAX_START_TRIES - 1:
                raise StartFailed(f"gatekeeper {gate.name} exited during its start; end of its log:\n{tail}")

    async def _start_once(self, gate: Gatekeeper) -> bool:
        gate.ready, gate.ready_t, gate.end_requested = False, math.inf, False
        gate.process = await self.launch(gate)
        self._record(GatewayEvent(self.around.now(), gate.name, "started", 0))
        gate.watch = self.around.loop.create_task(self._watch(gate, gate.process))
        end = self.around.loop.time() + READY_TIMEOUT_S
        while gate.running() and self.around.loop.time() < end:
            if await is_up(gate.port, UP_TIMEOUT_S):
                return True
            await asyncio.sleep(POLL_S)
        if gate.running():
            raise StartFailed(
                f"gatekeeper {gate.name} not up within {READY_TIMEOUT_S:.0f} s; end of its log:\n"
                f"{self.log_tail(gate)}"
            )
        return False

    async def launch(self, gate: Gatekeeper) -> asyncio.subprocess.Process:
        """Start a process of the gateway as the `run` command does, and return it."""
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(self.write(gate)),
            "BALANCER_NAME": gate.name,
            "TMPDIR": str(gate.folder),
            "PYTHONPATH": os.pathsep.join([str(ROOT), *sys.path]),
            **self.environment_of(gate),
        }
        with open(gate.folder / "log", "ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.module,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    async def _watch(self, gate: Gatekeeper, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if gate.ready and not self.closing:  # An exit during the start is recorded by `start`.
            self._record(GatewayEvent(self.around.now(), gate.name, "exited", code))
            self._ended(gate)

    def log_tail(self, gate: Gatekeeper) -> str:
        """Return the last part of the gateway's log, or an empty string if there is none."""
        try:
            return (gate.folder / "log").read_text(encoding="utf-8", errors="replace")[-LOG_TAIL:]
        except OSError:
            return ""

    # -- signals to gateway processes, and their end

    def kill(self, gate: Gatekeeper) -> None:
        """Send SIGKILL to the gateway, if it runs."""
        if gate.running():
            self._record(GatewayEvent(self.around.now(), gate.name, "kill", 0))
            gate.end_requested = True
            gate.process.kill()  # type: ignore[union-attr]

    def terminate(self, gate: Gatekeeper) -> None:
        """Send SIGTERM to the gateway, if it runs, for a graceful shutdown."""
        if gate.running():
            self._record(GatewayEvent(self.around.now(), gate.name, "term", 0))
            gate.end_requested = True
            gate.process.terminate()  # type: ignore[union-attr]

    def reload(self, gate: Gatekeeper) -> None:
        """Write the gateway's configuration anew and send SIGHUP, if it runs."""
        if gate.running():
            self.write(gate)
            self._record(GatewayEvent(self.around.now(), gate.name, "hup", 0))
            gate.process.send_signal(signal.SIGHUP)  # type: ignore[union-attr]

    def stop(self, gate: Gatekeeper) -> None:
        """Suspend the gateway's process with SIGSTOP, if it runs."""
        if gate.running():
            self._record(GatewayEvent(self.around.now(), gate.name, "stop", 0))
            gate.process.send_signal(signal.SIGSTOP)  # type: ignore[union-attr]

    def resume(self, gate: Gatekeeper) -> None:
        """Resume the gateway's process with SIGCONT, if it runs."""
        if gate.running():
            self._record(GatewayEvent(self.around.now(), gate.name, "cont", 0))
            gate.process.send_signal(signal.SIGCONT)  # type: ignore[union-attr]

    async def close(self) -> None:
        """Kill all processes, wait for their ends and release the reserved ports."""
        self.closing = True
        for gate in self.gates:
            if gate.running():
                gate.process.kill()  # type: ignore[union-attr]
        await asyncio.gather(
            *(gate.watch for gate in self.gates if gate.watch is not None), return_exceptions=True
        )
        for plug in self._kept:
            plug.close()
