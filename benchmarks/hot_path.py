"""Measures the cost of a request in a gateway: CPU, added latency and memory, compared with two relays.

    python -m benchmarks.hot_path [--seconds 2] [--runs 3] [--cases plain home ...] [--against DIR]

A real gateway process runs on one core, stub workers that answer immediately and closed-loop clients on other
cores, all on loopback. For comparison, the same run measures `relay`, which forwards bytes over kept-alive
connections without parsing them (minimum cost of the runtime), and `proxy`, which parses requests and
responses with the same parser and picks a worker at random (minimum cost of a proxy); both use the same event
loop. With `--against DIR`, the gateway of another checkout is measured alternately. Each figure is the median
over runs. Columns: requests per second, CPU us per request (user and system time of the process), p50 and
p99 latency in ms as the clients see it, peak memory in MB. `worker alone`: clients connect to the worker.

Cases: number of clients (c1, c16, c64), quotas (plain: none; home-here, home-peer: three gateways, requests
go to one of them, and each needs a grant from the customer's quota owner, which is that gateway or a peer),
endpoints in the list (w100, w1000), customers (f1000, f50000).
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import random
import resource
import socket
import subprocess
import sys
import tempfile
import time
import zlib
from contextlib import ExitStack
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import median
from typing import Any

import httptools
import uvloop

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
GATE_CORE, STUB_CORES, PEER_CORES, CLIENT_CORES = "0", "1,2", "5,6", "3,4"
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: {"util":0.2,"latency_ms":20}\r\n\r\nok'
WARM_S = 0.6
BUDGET = """[fleet]
voters = [0, 1, 2]
[[fleet.budget]]
name = "checks"
whole = 1_000_000
burst = 100_000
classes = ["seat-check"]
"""  # The budget exceeds the clients' demand: only the cost of checking it is measured.


@dataclass(frozen=True)
class Case:
    """A combination of load and settings to be measured."""

    name: str
    clients: int = 16
    plan: str = "free"
    home: int = 0  # Number of the gateway that owns the customers' quota ledgers
    workers: int = 10
    firms: int = 1


PLAIN = Case("plain c16")
CASES = (
    PLAIN,
    replace(PLAIN, name="plain c1", clients=1),
    replace(PLAIN, name="plain c64", clients=64),
    Case("home-here c16", plan="basico", firms=20),
    Case("home-peer c16", plan="basico", home=1, firms=20),
    Case("home-peer c1", clients=1, plan="basico", home=1, firms=20),
    replace(PLAIN, name="plain w100", workers=100),
    replace(PLAIN, name="plain w1000", workers=1000),
    replace(PLAIN, name="plain f1000", firms=1000),
    replace(PLAIN, name="plain f50000", firms=50_000),
)


def pin(cores: str) -> None:
    """Restrict this process to those of the given cores that the machine has, if any."""
    wanted = {int(core) for core in cores.split(",")} & os.sched_getaffinity(0)
    if wanted:
        os.sched_setaffinity(0, wanted)


def ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return port numbers chosen by the system; the ports are free when the function returns."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [int(probe.getsockname()[1]) for probe in probes]


# -- worker stub, relay and proxy


class WorkerStub(asyncio.Protocol):
    """A worker stub that answers each request immediately.

    It counts request ends per received segment, so a request must arrive in one segment, as it does here.
    """

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(ANSWER * data.count(b"\r\n\r\n"))


class Relay(asyncio.Protocol):
    """Forwards the bytes of each client over one kept-alive connection to a worker, without parsing them."""

    def __init__(self, targets: list[int]) -> None:
        self.targets, self.other, self.waiting = targets, None, b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        asyncio.get_running_loop().create_task(self.connect())

    async def connect(self) -> None:
        _, backend = await asyncio.get_running_loop().create_connection(
            lambda: RelayBackend(self.transport), HOST, random.choice(self.targets)
        )
        self.other = backend.transport
        self.other.write(self.waiting)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.waiting += data
        else:
            self.other.write(data)


class RelayBackend(asyncio.Protocol):
    """The relay's connection to a worker."""

    def __init__(self, to: Any) -> None:
        self.to = to

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.to.write(data)


class Proxy(asyncio.Protocol):
    """Parses each request, forwards it to a random worker on a kept-alive connection, parses the response."""

    idle: dict[int, list[ProxyBackend]] = {}

    def __init__(self, targets: list[int]) -> None:
        self.targets = targets
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.url, self.headers = b"", []

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append(b"%s: %s\r\n" % (name, value))

    def on_message_complete(self) -> None:
        message = b"%s %s HTTP/1.1\r\n%s\r\n" % (self.parser.get_method(), self.url, b"".join(self.headers))
        target = random.choice(self.targets)
        idle = self.idle.setdefault(target, [])
        if idle:
            idle.pop().forward(self, message)
        else:
            asyncio.get_running_loop().create_task(self.connect(target, message))

    async def connect(self, target: int, message: bytes) -> None:
        _, backend = await asyncio.get_running_loop().create_connection(
            lambda: ProxyBackend(target), HOST, target
        )
        backend.forward(self, message)

    def answer(self, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class ProxyBackend(asyncio.Protocol):
    """The proxy's connection to a worker."""

    def __init__(self, target: int) -> None:
        self.target = target

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def forward(self, front: Proxy, message: bytes) -> None:
        self.front, self.body = front, []
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(message)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, part: bytes) -> None:
        self.body.append(part)

    def on_message_complete(self) -> None:
        Proxy.idle[self.target].append(self)
        self.front.answer(b"".join(self.body))


async def serve(make: Any, listen: list[int]) -> None:
    """Serve on the given ports until the process is killed; print `up` when all are open."""
    loop = asyncio.get_running_loop()
    for port in listen:
        await loop.create_server(make, HOST, port, backlog=512)
    print("up", flush=True)
    await asyncio.Event().wait()


# -- clients of the measured processes


class Client(asyncio.Protocol):
    """A closed-loop client: sends the next request when the previous one has been answered."""

    def __init__(self, load: Load) -> None:
        self.load, self.received = load, b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.send_request()

    def send_request(self) -> None:
        self.began = time.perf_counter()
        self.transport.write(self.load.message())

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, split, body = self.received.partition(b"\r\n\r\n")
        if not split:
            return
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
        if len(body) >= length:
            self.received = b""
            self.load.on_response(head, time.perf_counter() - self.began)
            self.send_request()


class Load:
    """The clients of a case, all connected to one port, and their measured latencies."""

    def __init__(self, case: Case) -> None:
        self.case, self.serial, self.latencies_s, self.failed_count = (
            case,
            itertools.count(),
            list[float](),
            0,
        )
        names = (f"{number:016x}" for number in itertools.count(1))
        self.firms = itertools.cycle(
            [
                firm.encode()
                for firm in itertools.islice(
                    (name for name in names if zlib.crc32(name.encode()) % 3 == case.home), case.firms
                )
            ]
        )

    def message(self) -> bytes:
        return (
            b"GET /seat-check HTTP/1.1\r\nHost: a\r\nX-Request-Id: %016x\r\nX-Tier: %s\r\n"
            b"X-Api-Key: %s\r\nX-Deadline-Ms: 2000\r\nX-Call-Terms: units=1,spread=3,first=0\r\n\r\n"
            % (next(self.serial), self.case.plan.encode(), next(self.firms))
        )

    def on_response(self, head: bytes, latency_s: float) -> None:
        self.latencies_s.append(latency_s)
        self.failed_count += not head.startswith(b"HTTP/1.1 200")

    async def run(self, port: int, pid: int, seconds: float) -> dict[str, float]:
        """Send requests for `seconds` after a warm-up; return the figures, with the CPU of process `pid`."""
        loop = asyncio.get_running_loop()
        connections = [
            await loop.create_connection(lambda: Client(self), HOST, port) for _ in range(self.case.clients)
        ]
        await asyncio.sleep(WARM_S)
        self.latencies_s.clear()
        self.failed_count, cpu, began = 0, cpu_of(pid), time.perf_counter()
        await asyncio.sleep(seconds)
        cpu, elapsed_s = cpu_of(pid) - cpu, time.perf_counter() - began
        latencies_s, failed_count = sorted(self.latencies_s), self.failed_count
        for transport, _ in connections:
            transport.abort()
        count = max(1, len(latencies_s))
        return {
            "rate": len(latencies_s) / elapsed_s,
            "cpu_us": cpu / count * 1e6,
            "p50": latencies_s[count // 2] * 1000,
            "p99": latencies_s[int(count * 0.99)] * 1000,
            "mb": peak_of(pid),
            "wrong": failed_count,
        }


def cpu_of(pid: int) -> float:
    """Return the user and system CPU seconds of a process from the scheduler's statistics; 0 for pid 0."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9 if pid else 0.0


def peak_of(pid: int) -> float:
    """Return the peak resident memory of a process in MB; 0 for pid 0."""
    if not pid:
        return 0.0
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


# -- gateways under measurement


def configuration(number: int, listen: int, peers: list[int], workers: list[int]) -> dict[str, Any]:
    """Return the deploy file of a gateway. No discovery listens, so the gateway uses the list `known`."""
    settings = {
        "balancers": 3,
        "myNumber": number,
        "locality": "a",
        "tickMs": 4.0,
        "azs": ["a"],
        "classes": [
            {"name": "seat-check", "aimMs": 750, "deadlineMs": 2000, "worth": 3, "repeat": "retryable"}
        ],
        "packages": [{"name": "free"}, {"name": "basico", "perSecond": 100_000, "storeSize": 30}],
        "rules": {"warmUpMs": 17_000, "coldFrom": 0.25, "fallMultiple": 2.5, "tipAfterMs": 1000},
        "limits": {"maxAttempts": 5, "mayTell": True, "cancel": True},
        "report": {"how": "answers", "fields": ["util", "latency_ms"]},
        "domain": {"inboxPerS": 0},
    }
    listed = [
        {"name": f"w{place}", "zone": "a", "group": place, "status": "ready", "address": f"{HOST}:{port}"}
        for place, port in enumerate(workers)
    ]
    return {
        "name": f"n{number}",
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:9",
        "seed": "7",
        "limits": {"sockets": 4096},
        "settings": settings,
        "known": {"index": 1, "snapshot": True, "endpoints": listed},
        "peers": [f"{HOST}:{port}" for port in peers],
        "peer_listen": f"{HOST}:{peers[number]}",
    }


class Processes(ExitStack):
    """A context manager that kills the processes it has started when it exits."""

    def start(self, cores: str, command: list[str], **options: Any) -> subprocess.Popen[str]:
        process = subprocess.Popen(["taskset", "-c", cores, *command], text=True, **options)
        self.callback(lambda: (process.kill(), process.wait()))
        return process

    def role(self, cores: str, role: str, listen: list[int], targets: list[int]) -> subprocess.Popen[str]:
        """Start this module in a role (`stub`, `relay` or `proxy`); return once its ports are open."""
        process = self.start(
            cores,
            [sys.executable, "-m", "benchmarks.hot_path", "--role", role],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(json.dumps([listen, targets]) + "\n")
        process.stdin.flush()
        assert process.stdout.readline() == "up\n"
        return process

    def gatekeepers(
        self, tree: Path, folder: Path, workers: list[int], operator: str = ""
    ) -> tuple[int, int]:
        """Start three gateways; return the port and process id of the first when all are up.

        `operator` is the text of their operator's file; empty for none.
        """
        options = {}
        if operator:
            (folder / "operator.toml").write_text(operator)
            options = {"PLUMPICK_OPERATOR": str(folder / "operator.toml")}
        listen, peers = ports(3), ports(3, socket.SOCK_DGRAM)
        first = 0
        for number in (2, 1, 0):
            path = folder / f"{number}.json"
            path.write_text(json.dumps(configuration(number, listen[number], peers, workers)))
            process = self.start(
                PEER_CORES if number else GATE_CORE,
                [sys.executable, "-m", "plumpick"],
                cwd=tree,
                env={**os.environ, "BALANCER_CONFIG": str(path), **options},
                stderr=subprocess.DEVNULL,
            )
            first = process.pid
        for port in listen:
            wait_until_up(port)
        return listen[0], first


def wait_until_up(port: int) -> None:
    """Wait until the gateway at `port` answers /up with 200; raise SystemExit after 20 s."""
    end = time.monotonic() + 20
    while time.monotonic() < end:
        try:
            with socket.create_connection((HOST, port), 1) as one:
                one.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                if one.recv(100).startswith(b"HTTP/1.1 200"):
                    return
        except OSError:
            pass
        time.sleep(0.05)
    raise SystemExit(f"gateway at {HOST}:{port} did not answer /up with 200 within 20 s")


def measure(side: str, case: Case, tree: Path, seconds: float) -> dict[str, float]:
    """Run a case once on one side (a gateway's checkout, `proxy`, `relay`, …); return its figures."""
    with Processes() as processes, tempfile.TemporaryDirectory() as folder:
        workers = ports(case.workers)
        processes.role(STUB_CORES, "stub", workers, [])
        port, pid = workers[0], 0
        if side in ("relay", "proxy"):
            (port,) = ports(1)
            pid = processes.role(GATE_CORE, side, [port], workers).pid
        elif side != "worker alone":
            port, pid = processes.gatekeepers(tree, Path(folder), workers, BUDGET if side == "budget" else "")
        return uvloop.run(Load(case).run(port, pid, seconds))


def main() -> None:
    """Print a table with the cost of a request for each case and each measured side."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--cases", nargs="*", default=[""], help="substrings of case names; default: all")
    parser.add_argument("--against", default="")
    parser.add_argument("--budget", action="store_true", help="measure the gateway also with a budget")
    parser.add_argument("--role", default="", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    if arguments.role:
        listen, targets = json.loads(sys.stdin.readline())
        makers: dict[str, Any] = {
            "stub": WorkerStub,
            "relay": lambda: Relay(targets),
            "proxy": lambda: Proxy(targets),
        }
        uvloop.run(serve(makers[arguments.role], listen))
        return
    pin(CLIENT_CORES)
    print(
        "| case | side | requests/s | CPU us | p50 ms | p99 ms | peak MB | CPU by proxy's | not 200 |\n"
        "|" + " --- |" * 9
    )
    for case in CASES:
        if not any(part in case.name for part in arguments.cases):
            continue
        sides = {"this": ROOT} | ({"against": Path(arguments.against)} if arguments.against else {})
        if arguments.budget:
            sides["budget"] = ROOT
        if case.name.startswith("plain c"):
            sides |= {"proxy": ROOT, "relay": ROOT, "worker alone": ROOT}
        rows: dict[str, list[dict[str, float]]] = {side: [] for side in sides}
        for _ in range(arguments.runs):
            for side, tree in sides.items():
                rows[side].append(measure(side, case, tree, arguments.seconds))

        def of(side: str, name: str, rows: Any = rows) -> float:
            return median(row[name] for row in rows[side])

        for side in sides:
            ratio = f"{of(side, 'cpu_us') / of('proxy', 'cpu_us'):.2f}" if "proxy" in rows else ""
            print(
                f"| {case.name} | {side} | {of(side, 'rate'):.0f} | {of(side, 'cpu_us'):.0f} | "
                f"{of(side, 'p50'):.2f} | {of(side, 'p99'):.2f} | {of(side, 'mb'):.1f} | {ratio} | "
                f"{sum(row['wrong'] for row in rows[side]):.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
