"""Plays sound clients, and signals in series, against one gateway, and counts the requests without a complete
response of their own.

    python -m benchmarks.answer_soak --seeds 1-50 [--seconds 12] [--jobs 3]
    python -m benchmarks.answer_soak --memory-mb 43 --clients 300 --kinds ask+order+pipeline --signals none

A seed draws what the options leave open: limits, number and kinds of clients, a crowd beside them, resets
by workers, and signals: SIGSTOP for 0.15 s, SIGHUP, SIGTERM with SIGKILL at its earliest, SIGKILL, a hot
restart. Prints one line a seed, with the log lines of requests that were not answered. The exit code
is 1 if a request was lost or a process ended by itself."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

import uvloop
from support import crowds
from support.fakes import FakeDiscovery, config, entry, settings
from support.processes import wait_until_ready
from support.sound_clients import EchoWorker, Ledger, play_sound_clients

from benchmarks.gateway_processes import GatewayProcesses
from benchmarks.memory_soak import KINDS as CROWDS
from benchmarks.memory_soak import memory_mb, send_signal

MEMORY_MB = (32, 40, 43, 48, 64, 96, 192)
DESCRIPTORS = (256, 1024)
CLIENT_KINDS = ("ask", "order", "pipeline", "short", "leave")
SIGNALS = ("stop", "reload", "terminate", "kill", "hot restart")
MAX_CLIENTS_RATIO = 0.25  # number of sound clients, as a share of the descriptors, beside a crowd half of it
WORKERS = 9
RESET_RATIO = 0.05
DEADLINE_MS = 2500.0  # longest deadline of the settings
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7  # SIGKILL follows SIGTERM no sooner
STOPPED_S = 0.15
SIGNAL_INTERVAL_S = (0.8, 2.5)
WATCH_INTERVAL_S = 0.1
LOG_SHOWN = 3


@dataclass
class Options:
    """What the command line fixes; None leaves it to the seed."""

    seconds: float = 12.0
    memory_mb: int | None = None
    descriptors: int | None = None
    clients: int | None = None
    kinds: str | None = None
    crowd: str | None = None
    signals: str | None = None
    resets: float = RESET_RATIO
    program: str = ""  # folder of another version of the program


@dataclass
class Result:
    """What one seed showed."""

    text: str
    lost: dict[str, int] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    samples: list[str] = field(default_factory=list)
    peak_mb: float = 0.0
    ended: list[int | None] = field(default_factory=list)
    signals: dict[str, int] = field(default_factory=dict)
    log: list[str] = field(default_factory=list)

    def is_sound(self) -> bool:
        """Whether no request was lost and no process ended by itself."""
        return not self.lost and not self.ended


class Run(GatewayProcesses):
    """One seed: the gateway's processes, the clients, and the signals."""

    def __init__(self, seed: int, options: Options, folder: str) -> None:
        super().__init__(folder, options.program)
        rng = self.random = random.Random(seed)
        self.seed, self.options = seed, options
        memory, descriptors = rng.choice(MEMORY_MB), rng.choice(DESCRIPTORS)
        self.limits = {
            "memory_mb": options.memory_mb or memory,
            "sockets": options.descriptors or descriptors,
        }
        kinds = rng.sample(CLIENT_KINDS, rng.randint(2, len(CLIENT_KINDS)))
        self.kinds = options.kinds.split("+") if options.kinds else kinds
        crowd = rng.sample(CROWDS, rng.randint(1, 3)) if rng.random() < 0.3 else []
        if options.crowd is not None:
            crowd = [kind for kind in CROWDS if kind.__name__ in options.crowd.split("+")]
        self.crowd = crowd
        clients = int(self.limits["sockets"] * MAX_CLIENTS_RATIO / (2 if crowd else 1))
        self.clients = options.clients or clients
        chosen = rng.sample(SIGNALS, rng.randint(0, len(SIGNALS)))
        if options.signals is not None:
            chosen = [name for name in SIGNALS if name in options.signals.split("+")]
        self.signals = chosen
        self.ledger = Ledger()
        names = "+".join(kind.__name__ for kind in crowd) or "no crowd"
        self.result = Result(
            f"seed={seed} {self.limits['memory_mb']} MB, {self.limits['sockets']} descriptors, "
            f"{self.clients} of {'+'.join(self.kinds)}, {names}, signals {'+'.join(chosen) or 'none'}"
        )

    async def watch(self) -> None:
        """Record the peak of the memory and unexpected ends."""
        while True:
            self.result.ended += self.remove_ended()
            for process in self.processes:
                self.result.peak_mb = max(self.result.peak_mb, memory_mb(process.pid, "status", "VmHWM"))
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def send_signals(self) -> None:
        """Send signals in series, and start the processes that they make necessary."""
        while self.signals:
            await asyncio.sleep(self.random.uniform(*SIGNAL_INTERVAL_S))
            if not self.processes:
                continue
            name = self.random.choice(self.signals)
            self.result.signals[name] = self.result.signals.get(name, 0) + 1
            await self.send_one(name, self.processes[-1])

    async def send_one(self, name: str, process: asyncio.subprocess.Process) -> None:
        """Send the signal of this name and what belongs to it."""
        match name:
            case "stop":
                send_signal(process, signal.SIGSTOP)
                await asyncio.sleep(STOPPED_S)
                send_signal(process, signal.SIGCONT)
            case "reload":
                send_signal(process, signal.SIGHUP)
            case "terminate":
                await self.terminate(process)
                await self.start_process()
                await wait_until_ready(self.port)
            case "kill":
                self.expected_ends.add(process.pid)
                self.ledger.forgive()
                send_signal(process, signal.SIGKILL)
                await process.wait()
                await self.start_process()
                await wait_until_ready(self.port)
            case "hot restart":
                self.expected_ends.add(process.pid)
                await self.start_process()
                await asyncio.sleep(SIGNAL_INTERVAL_S[0])
                asyncio.ensure_future(self.terminate(process))

    async def terminate(self, process: asyncio.subprocess.Process) -> None:
        """Send SIGTERM, and SIGKILL at its earliest."""
        self.expected_ends.add(process.pid)
        send_signal(process, signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), KILL_AFTER_S)
        except TimeoutError:
            self.result.signals["ended by SIGKILL"] = self.result.signals.get("ended by SIGKILL", 0) + 1
        send_signal(process, signal.SIGKILL)
        await process.wait()

    async def play(self) -> None:
        """Play the seed to its end."""
        options = self.options
        async with FakeDiscovery() as discovery:
            workers = [EchoWorker(self.ledger, f"{self.seed}.{n}", options.resets) for n in range(WORKERS)]
            servers = [await worker.start() for worker in workers]
            ports = [server.sockets[0].getsockname()[1] for server in servers]
            listed = [entry(f"w{number}", port) for number, port in enumerate(ports)]
            rules = settings()
            rules["packages"] = [{"name": "basic", "perSecond": 1e6, "storeSize": 1e6}]
            for request_class in rules["classes"]:
                request_class.update(aimMs=DEADLINE_MS / 2, deadlineMs=DEADLINE_MS)
            text = config(discovery.port, self.port, listed, limits=self.limits, settings=rules)
            Path(self.folder, "config.json").write_text(json.dumps(text), encoding="utf-8")
            await self.start_process()
            jobs = (self.answer_discovery(discovery, listed), self.watch())
            tasks = [asyncio.ensure_future(job) for job in jobs]
            await wait_until_ready(self.port)
            tasks.append(asyncio.ensure_future(self.send_signals()))
            players = [
                play_sound_clients(
                    self.port, self.ledger, self.kinds, self.clients, options.seconds, self.seed
                )
            ]
            if self.crowd:
                players.append(crowds.play_crowd(self.port, self.crowd, self.clients, options.seconds))
            await asyncio.gather(*players)
            await self.end(tasks)

    async def end(self, tasks: list[asyncio.Future[Any]]) -> None:
        """End the processes, and raise RuntimeError if a part of the run has failed."""
        for task in tasks:
            task.cancel()
        problems = await asyncio.gather(*tasks, return_exceptions=True)
        for process in self.processes:
            send_signal(process, signal.SIGCONT)
            send_signal(process, signal.SIGKILL)
        for problem in problems:
            if problem is not None and not isinstance(problem, asyncio.CancelledError):
                raise RuntimeError("the run broke off") from problem
        self.result.lost = self.ledger.lost()
        self.result.counts = {str(kind): count for kind, count in self.ledger.counts.items()}
        self.result.samples = self.ledger.samples[:5]
        lines = Path(self.folder, "log").read_text(encoding="utf-8").splitlines()
        unanswered = [line for line in lines if "without a complete response" in line or "ERROR" in line]
        self.result.log = unanswered[:LOG_SHOWN] + [f"{len(unanswered)} lines"] * bool(unanswered)


def play_seed(seed: int, options: Options) -> Result:
    """Play one seed and return what it showed."""
    with tempfile.TemporaryDirectory() as folder:

        async def scenario() -> Result:
            run = Run(seed, options, folder)
            await run.play()
            return run.result

        return uvloop.run(scenario())


def parse_options() -> tuple[range, int, Options]:
    """Read the command line: the seeds, the number of seeds at a time, and the options."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--memory-mb", type=int)
    parser.add_argument("--descriptors", type=int)
    parser.add_argument("--clients", type=int)
    parser.add_argument("--kinds", help="of ask, order, pipeline, short, leave, joined by +")
    parser.add_argument("--crowd", help="names of tests/support/crowds.py joined by +; empty: none")
    parser.add_argument("--signals", help="of stop, reload, terminate, kill, hot restart, joined by +")
    parser.add_argument("--resets", type=float, default=RESET_RATIO)
    parser.add_argument("--program", default="", help="folder of another version of the program")
    values = vars(parser.parse_args())
    first, _, last = values.pop("seeds").partition("-")
    jobs = values.pop("jobs")
    return range(int(first), int(last or first) + 1), jobs, Options(**values)


def main() -> int:
    """Play the seeds and print one line for each; returns the exit code."""
    seeds, jobs, options = parse_options()
    broken, lost = 0, Counter[str]()
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(play_seed, seeds, [options] * len(seeds)):
            broken += not result.is_sound()
            lost.update(result.lost)
            verdict = "held" if result.is_sound() else f"BROKEN {result.lost} ended={result.ended}"
            print(f"{verdict} peak={result.peak_mb:.0f} {result.text} sent={result.signals}: {result.counts}")
            for line in result.samples + result.log:
                print(f"    {line}", flush=True)
    print(f"{len(seeds)} seeds, {broken} broken, lost {dict(lost)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
