"""Plays crowds that come again, and signals in series, against one gateway process, and watches its memory.

    python -m benchmarks.memory_soak --seeds 1-50 [--seconds 30] [--jobs 4]

A seed draws the limits, the crowd and the signals: SIGSTOP and SIGCONT, SIGHUP, SIGKILL with a new start,
and a new process beside the first, which is then ended by SIGTERM. Prints one line a seed. The exit code is 1
if a process was over its limit or ended by itself, or two together were over it by proportional memory."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

import uvloop
from support import crowds
from support.fakes import Client, FakeDiscovery, config, entry, request

from benchmarks.gateway_processes import GatewayProcesses

MEMORY_MB = (48, 64, 96, 192)
DESCRIPTORS = (256, 1024)
WORKERS = 9
WATCH_INTERVAL_S = 0.05
SOUND_INTERVAL_S = 0.1  # time between two requests of a client that behaves well
SIGNAL_INTERVAL_S = (1.0, 5.0)
STOPPED_S = 0.5
KINDS: tuple[Any, ...] = (
    crowds.stop_within_upload,
    crowds.leave_within_upload,
    crowds.send_buffered_body,
    crowds.stop_within_buffered_body,
    crowds.pipeline_unread_responses,
    crowds.pipeline_bodies,
    crowds.send_short_fields,
    crowds.send_body_in_short_chunks,
    crowds.read_slowly,
    crowds.write_slowly,
)


@dataclass
class Result:
    """What one seed showed; memory in MB."""

    text: str
    limit_mb: float
    peak_mb: float = 0.0  # largest resident memory of one process
    together_mb: float = 0.0  # largest proportional memory of all processes of the gateway
    ended: list[int | None] = field(default_factory=list)  # exit codes of processes that ended by themselves
    answers: dict[str, int] = field(default_factory=dict)  # of the client that behaves well, by status

    def is_sound(self) -> bool:
        """Whether the limit held and no process ended by itself."""
        return max(self.peak_mb, self.together_mb) <= self.limit_mb and not self.ended


def memory_mb(pid: int, name: str, key: str) -> float:
    """Return a field of a file of /proc in MB; 0.0 if the process has ended."""
    with contextlib.suppress(OSError, ProcessLookupError):
        for line in Path(f"/proc/{pid}/{name}").read_text(encoding="ascii").splitlines():
            if line.startswith(f"{key}:"):
                return int(line.split()[1]) / 1024
    return 0.0


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a process, unless it has ended."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(number)


class Run(GatewayProcesses):
    """One seed: the gateway's processes, the crowd, and the signals."""

    def __init__(self, seed: int, seconds: float, folder: str) -> None:
        super().__init__(folder)
        self.random = random.Random(seed)
        self.seconds = seconds
        self.limits = {
            "sockets": self.random.choice(DESCRIPTORS),
            "memory_mb": self.random.choice(MEMORY_MB),
        }
        self.kinds = self.random.sample(KINDS, self.random.randint(1, 4))
        self.count = self.random.choice((100, 340))
        self.worker = crowds.SlowWorker(
            self.random.choice((0.0, 1.0, 6.0)), self.random.choice((1000, 60_000))
        )
        names = "+".join(kind.__name__ for kind in self.kinds)
        self.result = Result(
            f"seed={seed} {self.limits} peers={self.count} {names}", self.limits["memory_mb"]
        )

    async def watch(self) -> None:
        """Record the peaks of memory and unexpected ends."""
        while True:
            together = 0.0
            self.result.ended += self.remove_ended()
            for process in self.processes:
                peak = memory_mb(process.pid, "status", "VmHWM")
                self.result.peak_mb = max(self.result.peak_mb, peak)
                together += memory_mb(process.pid, "smaps_rollup", "Pss")
            self.result.together_mb = max(self.result.together_mb, together)
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def send_signals(self) -> None:
        """Send signals in series, and start the processes that they make necessary."""
        while True:
            await asyncio.sleep(self.random.uniform(*SIGNAL_INTERVAL_S))
            if not self.processes:
                continue
            process = self.processes[-1]
            match self.random.choice(("stop", "reload", "kill", "replace")):
                case "stop":
                    send_signal(process, signal.SIGSTOP)
                    await asyncio.sleep(STOPPED_S)
                    send_signal(process, signal.SIGCONT)
                case "reload":
                    send_signal(process, signal.SIGHUP)
                case "kill":
                    self.expected_ends.add(process.pid)
                    send_signal(process, signal.SIGKILL)
                    await self.start_process()
                case "replace":
                    self.expected_ends.add(process.pid)
                    await self.start_process()
                    await asyncio.sleep(SIGNAL_INTERVAL_S[0])
                    send_signal(process, signal.SIGTERM)

    async def send_sound_requests(self) -> None:
        """Send a small request at a time on new connections, and count the answers by status."""
        while True:
            await asyncio.sleep(SOUND_INTERVAL_S)
            answer = "none"
            with contextlib.suppress(OSError, TimeoutError):
                client = await Client().open(self.port)
                async with asyncio.timeout(3.0):
                    response = await client.send(request(deadline=2000)).read_response()
                answer = str(response[0]) if response else "none"
                client.close()
            self.result.answers[answer] = self.result.answers.get(answer, 0) + 1

    async def play(self) -> None:
        """Play the seed to its end."""
        async with FakeDiscovery() as discovery:
            servers = [await self.worker.start() for _ in range(WORKERS)]
            ports = [server.sockets[0].getsockname()[1] for server in servers]
            workers = [entry(f"w{number}", port) for number, port in enumerate(ports)]
            text = config(discovery.port, self.port, workers, limits=self.limits)
            Path(self.folder, "config.json").write_text(json.dumps(text), encoding="utf-8")
            await self.start_process()
            jobs = (
                self.answer_discovery(discovery, workers),
                self.watch(),
                self.send_signals(),
                self.send_sound_requests(),
            )
            tasks = [asyncio.ensure_future(job) for job in jobs]
            await crowds.play_crowd(self.port, self.kinds, self.count, self.seconds)
            for task in tasks:
                task.cancel()
            problems = await asyncio.gather(*tasks, return_exceptions=True)
            for process in self.processes:
                send_signal(process, signal.SIGKILL)
            for problem in problems:
                if not isinstance(problem, asyncio.CancelledError):
                    raise RuntimeError("the run broke off") from problem


def play_seed(seed: int, seconds: float) -> Result:
    """Play one seed and return what it showed."""
    with tempfile.TemporaryDirectory() as folder:

        async def scenario() -> Result:
            run = Run(seed, seconds, folder)
            await run.play()
            return run.result

        return uvloop.run(scenario())


def main() -> int:
    """Play the seeds and print one line for each; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--seeds", default="1-10")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = 0
    with ProcessPoolExecutor(options.jobs) as pool:
        for result in pool.map(play_seed, seeds, [options.seconds] * len(seeds)):
            broken += not result.is_sound()
            verdict = "held" if result.is_sound() else "BROKEN"
            memory = f"peak={result.peak_mb:.0f} together={result.together_mb:.0f} ended={result.ended}"
            print(f"{verdict} {memory} sound={result.answers} {result.text}", flush=True)
    print(f"{len(seeds)} seeds, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
