"""Plays floods of small or unsound requests beside sound clients against one gateway process.

    python -m benchmarks.flood_soak --flood ready:6 [--flood expired:24] [--memory-mb 80] [--program FOLDER]
    python -m benchmarks.flood_soak --seeds 1-50 [--jobs 3]

A flood is KIND:CLIENTS, with a trailing "!" for clients that do not read. Without one a seed draws floods,
limits, and signals beside them. Counts the sound requests by status, those that were answered late or never,
and the attempts that started after their client had left; prints one line a run. The exit code is 1 if a
sound request was late or unanswered, or the process was over its memory limit, or ended by itself."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

import uvloop
from support.fakes import HOST, FakeDiscovery, config, entry, settings
from support.floods import KINDS, Flood, FloodProcess, sound_request
from support.processes import wait_until_ready
from support.sound_clients import EchoWorker, Ledger

from benchmarks.gateway_processes import GatewayProcesses
from benchmarks.memory_soak import memory_mb, send_signal

WAITS_MS = (230, 400, 700, 1157)  # times for which the sound clients wait
SOUND_CLIENTS = 40
SOUND_INTERVAL_S = 0.25
LATE_S = 0.016  # time after the client's time from which on an answer is late
UNANSWERED_S = 1.0  # time after the client's time at which no answer is awaited any more
WORKERS = 9
BEFORE_S = 0.5  # time for which sound clients are played before the flood
AFTER_S = 1.0
LOG_SHOWN = 6  # number of log lines printed of a run
LONGEST_DEADLINE_MS = 2500.0
KILL_AFTER_S = LONGEST_DEADLINE_MS / 1000 + 0.7
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SIGNALS = ("none", "none", "reload", "terminate", "hot restart", "stop")
MEMORY_MB = (32, 48, 64, 80, 192)
CLIENTS = (1, 6, 24, 100)


@dataclass
class Result:
    """What one run showed. Times in ms."""

    text: str
    limit_mb: float
    statuses: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)
    late: int = 0
    unanswered: int = 0
    peak_mb: float = 0.0
    rest_mb: float = 0.0
    cpu_s: float = 0.0
    flood_mb: float = 0.0  # bytes of answers that the flooders read
    problems: list[str] = field(default_factory=list)
    log: list[str] = field(default_factory=list)

    def percentile_ms(self, ratio: float) -> float:
        """Return a percentile of the latencies."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))] if ordered else 0.0

    def is_sound(self) -> bool:
        """Whether all sound requests were answered in time within the memory limit."""
        return not (self.late or self.unanswered or self.problems or self.peak_mb > self.limit_mb)

    def line(self) -> str:
        """Return the result in one line."""
        verdict = "held" if self.is_sound() else "BROKEN"
        return (
            f"{verdict} {self.text} sound={len(self.latencies_ms)} {dict(self.statuses)} late={self.late} "
            f"unanswered={self.unanswered} "
            f"p50={self.percentile_ms(0.5):.0f} p99={self.percentile_ms(0.99):.0f} "
            f"max={self.percentile_ms(1.0):.0f} ms peak={self.peak_mb:.0f} after={self.rest_mb:.0f} MB "
            f"cpu={self.cpu_s:.1f} s answers_read={self.flood_mb:.1f} MB {self.problems}"
        )


@dataclass
class Plan:
    """What one run plays."""

    floods: list[Flood]
    memory_mb: int = 80
    sockets: int = 1024
    signal: str = "none"
    after_s: float = AFTER_S
    program: str = ""
    customers: int = 1  # number of customers of the sound clients

    def text(self) -> str:
        """Return the plan in a few words."""
        floods = "+".join(f"{f.kind}:{f.clients}{'' if f.reads else '!'}" for f in self.floods) or "calm"
        return f"{floods} {self.memory_mb} MB {self.sockets} descriptors signal={self.signal}"


class SoundPlayer:
    """Sound clients, a third of which open a connection for each request."""

    def __init__(self, port: int, result: Result, customers: int) -> None:
        self.port, self.result, self.customers = port, result, customers
        self.numbers = iter(range(1, 1 << 40))
        self.is_measured = False
        self.is_ending = False  # whether the gateway may close connections before an answer
        self.lag_s = 0.0

    async def play(self, number: int) -> None:
        """Play one client."""
        rng = random.Random(number)
        wait_ms = WAITS_MS[number % len(WAITS_MS)]
        is_new_each_time = number % 3 == 0
        reader = writer = None
        await asyncio.sleep(rng.uniform(0, SOUND_INTERVAL_S))
        while True:
            await asyncio.sleep(SOUND_INTERVAL_S * rng.uniform(0.5, 1.5))
            try:
                reader, writer = await self._exchange(reader, writer, wait_ms)
            except (OSError, asyncio.IncompleteReadError):
                self._count("closed before an answer")
                reader = writer = None
            if is_new_each_time and writer is not None:
                writer.transport.abort()
                reader = writer = None

    async def _exchange(self, reader, writer, wait_ms):
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        due_s = sent_s + wait_ms / 1000
        is_measured = self.is_measured
        try:
            async with asyncio.timeout_at(due_s + UNANSWERED_S):
                if writer is None:
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                number = next(self.numbers)
                customer = f"{number % self.customers + 1:016x}"
                writer.write(sound_request(number, deadline=wait_ms, customer=customer))
                status, closes = await self._read(reader)
        except TimeoutError:
            if is_measured:
                self.result.unanswered += 1
                self.result.latencies_ms.append((loop.time() - sent_s) * 1000)
            if writer is not None:
                writer.transport.abort()
            return None, None
        if is_measured:
            self.result.latencies_ms.append((loop.time() - sent_s) * 1000)
            self.result.statuses[status] += 1
            self.result.late += loop.time() > due_s + LATE_S
        if closes:
            writer.transport.abort()
            return None, None
        return reader, writer

    @staticmethod
    async def _read(reader):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0] or b"0")
        await reader.readexactly(length)
        return head.split(b" ")[1].decode(), b"connection: close" in head.lower()

    def _count(self, name: str) -> None:
        if self.is_measured:
            self.result.statuses[name] += 1


class Run(GatewayProcesses):
    """One gateway, its workers, sound clients and floods."""

    def __init__(self, plan: Plan, folder: str, text: str) -> None:
        super().__init__(folder, plan.program)
        self.plan = plan
        self.ledger = Ledger()
        self.result = Result(f"{text}{plan.text()}", plan.memory_mb)
        self.player = SoundPlayer(self.port, self.result, plan.customers)

    async def watch(self) -> None:
        """Record the peak of the resident memory, and unexpected ends."""
        while True:
            for process in self.processes:
                self.result.peak_mb = max(self.result.peak_mb, memory_mb(process.pid, "status", "VmHWM"))
            self.result.problems += [f"process ended: {code}" for code in self.remove_ended()]
            await asyncio.sleep(0.05)

    def cpu_s(self) -> float:
        """Return the CPU time of the processes that run now."""
        ticks = 0
        for process in self.processes:
            with contextlib.suppress(OSError):
                fields = (
                    Path(f"/proc/{process.pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
                )
                ticks += int(fields[11]) + int(fields[12])
        return ticks / CLOCK_TICKS_PER_S

    async def send_signal(self) -> None:
        """Send the plan's signal in the middle of the flood."""
        if self.plan.signal == "none":
            return
        await asyncio.sleep(2.0)
        process = self.processes[-1]
        match self.plan.signal:
            case "reload":
                send_signal(process, signal.SIGHUP)
            case "stop":
                send_signal(process, signal.SIGSTOP)
                await asyncio.sleep(0.15)
                send_signal(process, signal.SIGCONT)
            case "terminate":
                await self.terminate(process)
            case "hot restart":
                self.expected_ends.add(process.pid)
                await self.start_process()
                await asyncio.sleep(1.0)
                await self.terminate(process)

    async def terminate(self, process: asyncio.subprocess.Process) -> None:
        """Send SIGTERM, and check that the process has ended at the earliest time of SIGKILL."""
        self.expected_ends.add(process.pid)
        started_s = asyncio.get_running_loop().time()
        send_signal(process, signal.SIGTERM)
        if len(self.processes) == 1:
            await asyncio.sleep(0.4)
            self.player.is_measured = False
        try:
            await asyncio.wait_for(process.wait(), KILL_AFTER_S)
            self.result.text += f" ended {asyncio.get_running_loop().time() - started_s:.2f} s after SIGTERM"
        except TimeoutError:
            self.result.problems.append("had to be killed after SIGTERM")
        send_signal(process, signal.SIGKILL)

    async def play(self) -> None:
        """Play the plan."""
        async with FakeDiscovery() as discovery:
            servers = [await EchoWorker(self.ledger, n).start() for n in range(WORKERS)]
            ports = [server.sockets[0].getsockname()[1] for server in servers]
            listed = [entry(f"w{number}", port) for number, port in enumerate(ports)]
            rules = settings()
            rules["packages"] = [{"name": "basic", "perSecond": 1e4, "storeSize": 1e4}]
            for request_class in rules["classes"]:
                request_class.update(aimMs=LONGEST_DEADLINE_MS / 2, deadlineMs=LONGEST_DEADLINE_MS)
            limits = {"memory_mb": self.plan.memory_mb, "sockets": self.plan.sockets}
            rules["balancers"] = 1
            text = config(discovery.port, self.port, listed, limits=limits, settings=rules)
            Path(self.folder, "config.json").write_text(json.dumps(text), encoding="utf-8")
            await self.start_process()
            tasks = [asyncio.ensure_future(self.answer_discovery(discovery, listed))]
            await wait_until_ready(self.port)
            tasks.append(asyncio.ensure_future(self.watch()))
            tasks += [asyncio.ensure_future(self.player.play(number)) for number in range(SOUND_CLIENTS)]
            await asyncio.sleep(BEFORE_S)
            cpu_before_s = self.cpu_s()
            floods = [FloodProcess(self.port, flood) for flood in self.plan.floods]
            for flood in floods:
                await flood.wait_until_started()
            self.player.is_measured = True
            signals = asyncio.ensure_future(self.send_signal())
            if not floods:
                await asyncio.sleep(5.0)
            for flood in floods:
                await flood.wait()
                self.result.flood_mb += flood.received_bytes / 1e6
            self.player.is_measured = False
            self.result.cpu_s = self.cpu_s() - cpu_before_s
            await signals
            await asyncio.sleep(self.plan.after_s)
            for process in self.processes:
                self.result.rest_mb = memory_mb(process.pid, "status", "VmRSS")
            for task in tasks:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
            for problem in ended:
                if problem is not None and not isinstance(problem, asyncio.CancelledError):
                    raise RuntimeError("the run broke off") from problem
            for process in self.processes:
                send_signal(process, signal.SIGKILL)
        lines = Path(self.folder, "log").read_text(encoding="utf-8").splitlines()
        unanswered = [line for line in lines if "without a complete response" in line]
        if unanswered:
            self.result.problems.append(f"{len(unanswered)} lines of requests without a complete response")
        warnings = [line for line in lines if "WARNING" in line or "ERROR" in line]
        self.result.log = (unanswered + warnings)[:LOG_SHOWN]


def play_plan(plan: Plan, text: str = "") -> Result:
    """Play one plan and return what it showed."""
    with tempfile.TemporaryDirectory() as folder:

        async def scenario() -> Result:
            run = Run(plan, folder, text)
            await run.play()
            return run.result

        return uvloop.run(scenario())


def draw_plan(seed: int, program: str) -> Plan:
    """Draw a plan from a seed."""
    rng = random.Random(seed)
    floods = [
        Flood(kind, rng.choice(CLIENTS), reads=rng.random() < 0.8)
        for kind in rng.sample([*KINDS, "connect"], rng.randint(1, 3))
    ]
    return Plan(
        floods,
        rng.choice(MEMORY_MB),
        signal=rng.choice(SIGNALS),
        program=program,
        customers=rng.choice((1, 200)),
    )


def play_seed(seed: int, program: str) -> Result:
    """Play one seed and return what it showed."""
    return play_plan(draw_plan(seed, program), f"seed={seed} ")


def parse_flood(text: str, seconds: float) -> Flood:
    """Parse KIND:CLIENTS or KIND:CLIENTS!."""
    kind, _, clients = text.partition(":")
    return Flood(kind, int(clients.rstrip("!")), seconds, not text.endswith("!"))


def main() -> int:
    """Play the runs and print one line for each; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--flood", action="append", default=[])
    parser.add_argument("--seeds", default="")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--after", type=float, default=AFTER_S)
    parser.add_argument("--memory-mb", type=int, default=80)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--customers", type=int, default=1)
    parser.add_argument("--signal", default="none")
    parser.add_argument("--program", default="")
    options = parser.parse_args()
    if options.seeds:
        first, _, last = options.seeds.partition("-")
        seeds = range(int(first), int(last or first) + 1)
        with ProcessPoolExecutor(options.jobs) as pool:
            results = []
            for result in pool.map(play_seed, seeds, [options.program] * len(seeds)):
                results.append(result)
                print(result.line(), *result.log, sep="\n    ", flush=True)
    else:
        floods = [parse_flood(text, options.seconds) for text in options.flood]
        plan = Plan(
            floods,
            options.memory_mb,
            options.sockets,
            options.signal,
            options.after,
            options.program,
            options.customers,
        )
        results = [play_plan(plan)]
        print(results[0].line(), *results[0].log, sep="\n    ", flush=True)
    broken = sum(not result.is_sound() for result in results)
    print(f"{len(results)} runs, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
