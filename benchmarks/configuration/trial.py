"""One trial of settings by versions: gatekeepers and two services as real processes, a relay before each
service, changes and faults drawn from a seed, judged by records alone."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.configuration.plants import CASE_OF
from benchmarks.configuration.relay import Relay, Weather
from benchmarks.configuration.witness import mark_of
from benchmarks.trials import run_trial
from plumpick.gateway.config import parse_config
from plumpick.gateway.dynamic_config.client import apply_settings
from plumpick.policy.dynamic_config.delta import settings_digest
from plumpick.policy.dynamic_config.rollout_report import report_rollout
from plumpick.policy.dynamic_config.subscriber import ACTIVATION_DEADLINE_MS
from plumpick.policy.settings_parser import SettingsError
from plumpick.rehearsal.supervisor import StartFailed, free_port
from plumpick.rehearsal.surroundings import HOST
from plumpick.tools.configuration import ServiceCallError, call_service
from plumpick.tools.configuration_service import PATH

ROOT = Path(__file__).resolve().parents[2]
STEPS, STEP_S = 12, (0.3, 0.6)  # changes or faults, and so long after the one before
START_S = 30.0
LOG_LINES = 4  # of each gatekeeper, that are kept of a broken trial
PLANT_ROUNDS = 12  # a planted bug shows by chance: its trial goes on so often, or until it is found
EARLY_MS = 5.0  # two readings of the machine's clock
MOST_ASKED = 20  # calls of one process in a second
CASES = ("late", "altered", "bad", "staged", "dead", "kill", "stand", "cut", "one-service", "crossed")


def unix_ms() -> float:
    return time.time() * 1000


def settings_of(gatekeepers: int, mark: int, chance: random.Random) -> dict[str, Any]:
    """Good settings."""
    classes = [
        {
            "name": f"c{number}",
            "aimMs": 5e3,
            "deadlineMs": 2e4,
            "worth": float(1 + mark % 9),
            "repeat": "retryable",
        }
        for number in range(4)
    ]
    return {
        "balancers": gatekeepers,
        "tickMs": 4.0,
        "classes": classes,
        "packages": [
            {"name": f"p{number}", "perSecond": float(chance.randrange(10, 99)), "storeSize": 50.0}
            for number in range(3)
        ],
        "limits": {
            "maxAttempts": 3,
            "cancel": True,
            "mayTell": True,
            "dialTimeoutMs": 250.0,
            "connIdleMs": 30_000.0 + mark,
        },
        "rules": {"warmUpMs": 9000.0, "coldFrom": 0.2, "fallMultiple": 3.0, "tipAfterMs": 1000.0},
        "report": {"fields": ["util"], "how": "answers"},
    }


def broken(settings: dict[str, Any], chance: random.Random) -> dict[str, Any]:
    """The same with one key wrong."""
    bad = copy.deepcopy(settings)
    where = chance.randrange(4)
    if where == 0:
        bad["classes"][-1]["repeat"] = "sometimes"
    elif where == 1:
        bad["limits"]["maxAttempts"] = "many"
    elif where == 2:
        del bad["rules"]
    else:
        bad["packages"][0]["perSecond"] = []
    return bad


@dataclass
class Published:
    """One version: what a gatekeeper that has it was given; none where it is bad."""

    mark: str
    in_force_ms: float
    t: float


@dataclass
class Outcome:
    """What came of a trial."""

    seed: int
    gatekeepers: int
    broken: list[str] = field(default_factory=list)
    versions: int = 0
    bad: int = 0
    forced: int = 0
    last_ms: list[float] = field(default_factory=list)  # from publishing to in force, of the last version
    asked: int = 0  # the most calls of a process in a second
    events: list[str] = field(default_factory=list)


def judge(rows: list[list[Any]], published: dict[int, Published]) -> list[str]:
    """What the records break, but for the end: [kind, t, pid, name, ...] in the order of each file."""
    wrong: list[str] = []
    had: dict[int, int] = {}
    took: dict[int, int] = {}
    asked: dict[int, deque[float]] = {}
    for kind, t, pid, name, *parts in rows:
        if kind == "asked":
            window = asked.setdefault(pid, deque())
            window.append(t)
            while window[0] < t - 1000:
                window.popleft()
            if len(window) > MOST_ASKED:
                wrong.append(f"{name} asks in a tight loop: {len(window)} calls in a second")
                window.clear()
        elif kind == "took":
            took[pid] = max(took.get(pid, 0), parts[0])
        elif kind == "force":
            version, mark = parts
            known = published.get(version)
            if known is None or known.mark != mark:
                what = "never published" if known is None else "bad" if not known.mark else "another content"
                wrong.append(f"{name} has version {version}: {what}")
            elif t < known.in_force_ms - EARLY_MS:
                wrong.append(f"{name} has version {version} {known.in_force_ms - t:.0f} ms before its time")
            if version <= had.get(pid, 0):
                wrong.append(f"{name} went from version {had[pid]} to {version}")
            if version < took.get(pid, 0):
                wrong.append(f"{name} put version {version} in force behind {took[pid]}")
            had[pid] = version
    return wrong


class Trial:
    """All processes of one trial, and what is done to them."""

    def __init__(self, seed: int, gatekeepers: int, plant: str, folder: Path) -> None:
        self.seed, self.count, self.plant, self.folder = seed, gatekeepers, plant, folder
        self.chance = random.Random(f"{seed}/configuration")
        self.names = [f"n{number}" for number in range(gatekeepers)]
        self.services: list[asyncio.subprocess.Process] = []
        self.ports = [free_port(), free_port()]
        self.relays = [
            Relay(random.Random(f"{seed}/relay{place}"), port) for place, port in enumerate(self.ports)
        ]
        self.gates: list[asyncio.subprocess.Process] = []
        self.published: dict[int, Published] = {}
        self.settings = settings_of(gatekeepers, 0, self.chance)
        self.number = 0
        self.tasks: list[asyncio.Task[Any]] = []
        self.events: list[str] = []
        self.base = parse_config(self._config(0), {})

    # -- processes

    def _config(self, number: int) -> dict[str, Any]:
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:{free_port()}",
            "discovery": f"{HOST}:9",
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 256},
            "known": {
                "index": 1,
                "snapshot": True,
                "endpoints": [
                    {
                        "name": "w",
                        "address": f"{HOST}:9",
                        "zone": "a",
                        "type": "m",
                        "group": 0,
                        "status": "ready",
                        "weight": 1.0,
                        "since_ms": 0,
                    }
                ],
            },
            "settings": {**settings_of(self.count, 0, random.Random(0)), "myNumber": number, "locality": "a"},
        }

    async def start(self) -> None:
        for relay in self.relays:
            await relay.start()
        for place in range(2):
            self.services.append(await self._service(place))
        (self.folder / "operator.toml").write_text(
            "[configuration]\naddresses = "
            + json.dumps([f"{HOST}:{relay.port}" for relay in self.relays])
            + "\n"
        )
        for number in range(self.count):
            (self.folder / f"n{number}.json").write_text(json.dumps(self._config(number)))
            self.gates.append(await self._gate(number))
        await self.until(
            lambda: len({row[3] for row in self.rows() if row[0] == "asked"}) == self.count,
            START_S,
            "all ask",
        )

    async def _service(self, place: int) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "plumpick.cli",
            "configuration",
            "serve",
            "--listen",
            f"{HOST}:{self.ports[place]}",
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
        )
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            try:
                _, writer = await asyncio.open_connection(HOST, self.ports[place])
                writer.close()
                return process
            except OSError:
                await asyncio.sleep(0.02)
        raise TimeoutError("a service is not up")

    async def _gate(self, number: int) -> asyncio.subprocess.Process:
        with open(self.folder / f"n{number}.log", "ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.configuration.witness",
                cwd=ROOT,
                stderr=log,
                env={
                    **os.environ,
                    "BALANCER_CONFIG": str(self.folder / f"n{number}.json"),
                    "PLUMPICK_OPERATOR": str(self.folder / "operator.toml"),
                    "WITNESS_FILE": str(self.folder / f"n{number}.jsonl"),
                    "WITNESS_PLANT": self.plant,
                },
            )

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in [*self.gates, *self.services]:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for relay in self.relays:
            await relay.close()

    def rows(self) -> list[list[Any]]:
        """All records, each process's in its order."""
        found = []
        for name in self.names:
            path = self.folder / f"{name}.jsonl"
            for line in path.read_text().splitlines() if path.exists() else ():
                kind, t, pid, *parts = json.loads(line)
                found.append([kind, t, pid, name, *parts])
        return found

    def died(self) -> list[str]:
        """Gatekeepers that ended by themselves. Raises StartFailed where another process had their port."""
        gone = [
            name for name, gate in zip(self.names, self.gates, strict=True) if gate.returncode is not None
        ]
        for line in self.ends():
            if line.partition(":")[0] in gone and "ddress already in use" in line:
                raise StartFailed(line)
        return [f"{name} ended by itself" for name in gone]

    def ends(self) -> list[str]:
        """The last lines of each gatekeeper's log."""
        logs = {name: (self.folder / f"{name}.log").read_text(errors="replace") for name in self.names}
        return [f"{name}: {line}" for name, text in logs.items() for line in text.splitlines()[-LOG_LINES:]]

    async def until(self, true: Any, limit_s: float, what: str) -> bool:
        end = time.monotonic() + limit_s
        while not true():
            if time.monotonic() > end:
                if what:
                    raise TimeoutError(f"seed {self.seed}: {what}: not within {limit_s:g} s")
                return False
            await asyncio.sleep(0.05)
        return True

    # -- changes

    def make(self, settings: dict[str, Any], later_ms: float) -> dict[str, Any]:
        """The next version, written down before anybody has it."""
        self.number += 1
        now = unix_ms()
        try:
            mark = mark_of(apply_settings(self.base, settings))
        except SettingsError:
            mark = ""
        self.published[self.number] = Published(mark, now + later_ms, now)
        return {
            "version": self.number,
            "digest": settings_digest(settings),
            "in_force_ms": now + later_ms,
            "settings": settings,
        }

    async def put(self, value: dict[str, Any], places: tuple[int, ...] = (0, 1)) -> None:
        for place in places:
            with contextlib.suppress(ServiceCallError, TimeoutError):  # it is down, or stands still
                await asyncio.wait_for(
                    asyncio.to_thread(call_service, (HOST, self.ports[place]), "PUT", PATH, value), 3.0
                )

    def _next(self) -> dict[str, Any]:
        self.settings = copy.deepcopy(self.settings)
        fresh = settings_of(self.count, self.number + 1, self.chance)
        kind = self.chance.randrange(4)
        if kind == 0:
            self.settings["packages"] = fresh["packages"]
        elif kind == 1:
            self.settings["classes"][self.chance.randrange(4)]["worth"] = float(self.chance.randrange(1, 9))
        elif kind == 2:
            self.settings["limits"] = fresh["limits"]
        else:
            self.settings = fresh
        return self.settings

    async def change(self) -> None:
        later_ms = self.chance.choice((0.0, 0.0, 300.0, 1200.0))
        await self.put(self.make(self._next(), later_ms))

    async def step(self, kind: str) -> None:  # noqa: C901  (to be split by concern)
        """One change or fault; most faults heal by themselves."""
        chance = self.chance
        self.events.append(f"{kind} at {unix_ms():.0f}, version {self.number}")
        weather = Weather(
            drop=chance.choice((0, 0, 0.3)),
            double=chance.choice((0, 0.3)),
            delay_ms=chance.choice(((0, 2), (0, 2), (0, 400))),
        )
        if kind == "late":
            weather.late = 0.6
        elif kind == "altered":
            weather.alter = 0.6
        if kind in ("late", "altered"):
            for relay in self.relays:
                relay.weather = weather
            for _ in range(2):
                await self.change()
                await asyncio.sleep(0.15)
        elif kind == "bad":
            for relay in self.relays:
                relay.weather = Weather()  # a tight loop shows where answers come at once
            await self.put(self.make(broken(self.settings, chance), chance.choice((0.0, 500.0))))
            await asyncio.sleep(1.3)
        elif kind == "staged":
            await self.put(self.make(self._next(), 1000.0))
            await asyncio.sleep(0.3)
            await self.put(self.make(self._next(), chance.choice((300.0, 1500.0))))
        elif kind == "dead":
            self._later(self.service_dies(chance.randrange(2), chance.uniform(0.3, 1.0)))
            await self.change()
        elif kind == "kill":
            self._later(self.gate_dies(chance.randrange(self.count)))
            await self.change()
        elif kind == "stand":
            self._later(self.stands(chance.choice([*self.gates, *self.services]), chance.uniform(0.3, 2.5)))
            await self.change()
        elif kind == "cut":
            names = {name for name in self.names if chance.random() < 0.4}
            for relay in self.relays:
                relay.cut_off(names)
            await self.change()
        elif kind == "one-service":
            value = self.make(self._next(), 0.0)
            await self.put(value, (chance.randrange(2),))
            if chance.random() < 0.5:
                await asyncio.sleep(0.3)
                await self.put(value)
        elif kind == "crossed":
            first, second = self.make(self._next(), 400.0), self.make(self._next(), 200.0)
            await asyncio.gather(self.put(first, (0,)), self.put(second, (1,)))
            await asyncio.gather(self.put(first, (1,)), self.put(second, (0,)))

    def _later(self, work: Any) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    async def service_dies(self, place: int, back_s: float | None) -> None:
        """SIGKILL; the next life knows nothing."""
        process = self.services[place]
        if process.returncode is None:
            process.kill()
            await process.wait()
            if back_s is not None:
                await asyncio.sleep(back_s)
                self.services[place] = await self._service(place)

    async def gate_dies(self, number: int) -> None:
        process = self.gates[number]
        if process.returncode is None:
            process.kill()
            await process.wait()
            self.gates[number] = await self._gate(number)

    async def stands(self, process: asyncio.subprocess.Process, for_s: float) -> None:
        """SIGSTOP for so long."""
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(for_s)
            finally:
                if process.returncode is None:
                    process.send_signal(signal.SIGCONT)

    # -- the end

    async def finish(self, kind: str) -> tuple[list[str], list[float]]:
        """All is healed, but for one service that stays dead, or one gatekeeper that stands still; a last
        version is published: all have it within the term, or status names who lacks it."""
        await asyncio.gather(*self.tasks)
        self.tasks.clear()
        for relay in self.relays:
            relay.weather = Weather()
            relay.cut_off(set())
        for place, process in enumerate(self.services):
            if process.returncode is not None:
                self.services[place] = await self._service(place)
        alive, still = [0, 1], -1
        if kind == "dead":
            place = self.chance.randrange(2)
            await self.service_dies(place, None)
            alive.remove(place)
        elif kind == "still":
            still = self.chance.randrange(self.count)
            self.gates[still].send_signal(signal.SIGSTOP)
        # A gatekeeper that was just started again asks first when it is up.
        pids = {gate.pid for place, gate in enumerate(self.gates) if place != still}
        await self.until(lambda: pids <= {row[2] for row in self.rows()}, START_S, "all ask")
        value = self.make(settings_of(self.count, self.number + 1, self.chance), 500.0)
        await self.put(value, tuple(alive))
        begin, last = self.published[self.number].t, self.number

        def lack() -> set[str]:
            have = {row[2] for row in self.rows() if row[0] == "force" and row[4] == last}
            return {self.names[place] for place, gate in enumerate(self.gates) if gate.pid not in have}

        wanted = {self.names[still]} if still >= 0 else set()
        await self.until(lambda: lack() <= wanted, (begin + ACTIVATION_DEADLINE_MS - unix_ms()) / 1000, "")
        wrong = [
            f"{name} lacks version {last} {ACTIVATION_DEADLINE_MS / 1000:g} s after it was published"
            for name in sorted(lack() - wanted)
        ]
        if still >= 0:
            await asyncio.sleep(max(0.0, begin + ACTIVATION_DEADLINE_MS + 2500 - unix_ms()) / 1000)
            states = [
                (await asyncio.to_thread(call_service, (HOST, self.ports[place]), "GET", f"{PATH}/status"))[1]
                for place in alive
            ]
            lines = report_rollout(states).lines
            if not any(self.names[still] in line or f"by number: {still}" in line for line in lines):
                wrong.append(f"status does not name {self.names[still]}: {lines}")
            self.gates[still].send_signal(signal.SIGCONT)
            if not await self.until(
                lambda: self.names[still] not in lack(), ACTIVATION_DEADLINE_MS / 1000, ""
            ):
                wrong.append(f"{self.names[still]} lacks version {last} after it went on")
        times = [
            row[1] - begin
            for row in self.rows()
            if row[0] == "force" and row[4] == last and row[3] not in wanted
        ]
        return wrong, times


async def play(
    seed: int, gatekeepers: int, plant: str = "", cases: int = 0, only: list[str] | None = None
) -> Outcome:
    """Play one trial; `cases`: so many kinds of steps alone are drawn (0: all), or those of `only`."""
    with tempfile.TemporaryDirectory(prefix="plumpick-") as name:
        trial = Trial(seed, gatekeepers, plant, Path(name))
        chance, outcome = trial.chance, Outcome(seed, gatekeepers)
        kinds = only or (chance.sample(CASES, cases) if cases else list(CASES))
        favoured = CASE_OF.get(plant, "")
        try:
            await trial.start()
            await trial.change()
            for _ in range(PLANT_ROUNDS if plant else 1):
                for place in range(STEPS if not plant else STEPS // 2):
                    await trial.step(favoured if favoured and place % 3 else chance.choice(kinds))
                    await asyncio.sleep(chance.uniform(*STEP_S))
                if not plant or judge(trial.rows(), trial.published) or favoured == "dead":
                    break
            end = "dead" if favoured == "dead" else chance.choice(("dead", "still", "well", "well", "well"))
            if plant and judge(trial.rows(), trial.published):
                late, times = [], []
            else:
                late, times = await trial.finish(end)
            trial.events.append(f"end: {end}")
            late += trial.died()
        finally:
            await trial.close()
        rows, ends = trial.rows(), trial.ends()
        outcome.broken = judge(rows, trial.published) + late
        outcome.versions, outcome.last_ms = trial.number, [round(value) for value in times]
        outcome.bad = sum(not one.mark for one in trial.published.values())
        outcome.forced = sum(row[0] == "force" for row in rows)
        outcome.asked = most_asked(rows)
        if outcome.broken:
            outcome.events = trial.events + ends
        return outcome


def most_asked(rows: list[list[Any]]) -> int:
    """Of one process in any second."""
    most, windows = 0, dict[int, deque[float]]()
    for kind, t, pid, *_ in rows:
        if kind == "asked":
            window = windows.setdefault(pid, deque())
            window.append(t)
            while window[0] < t - 1000:
                window.popleft()
            most = max(most, len(window))
    return most


def run(arguments: tuple[Any, ...]) -> Outcome:
    """The same in a process of its own."""
    outcome: Outcome = run_trial(play, arguments)
    return outcome
