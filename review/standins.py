"""Stand-ins of clients, workers, discovery and a receiver of duties, and the start of the project's programs.

They follow the operators' pages PROTOCOL, DEPLOY and WIRE. All addresses are loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
PYTHON = str(ROOT / ".venv/bin/python")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PORTS = (20_000, 30_000)
START_TIMEOUT_S = 15.0
RUN_TIMEOUT_S = 100.0


class CouldNotRunError(Exception):
    """The case could not run; the text gives the reason."""


def is_trouble() -> bool:
    """Whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


_given_ports: set[int] = set()


def free_port() -> int:
    """A port that is free for TCP and for UDP, below those that the system gives to clients."""
    while True:
        port = random.randrange(*PORTS)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
        except OSError:
            continue
        return port


class Record:
    """What was sent, answered and run, one line each, with the time in ms since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.time()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{(time.time() - self._started_s) * 1000:9.1f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """The first line, the headers (names in lower case) and the body of an HTTP message."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with Content-Length or without a body; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        return Message(first, headers, await reader.readexactly(int(headers.get("content-length", "0"))))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class Server:
    """An HTTP server; `answer(message, writer)` gives the whole answer, or None to close."""

    def __init__(self, answer: Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]]) -> None:
        self.port = free_port()
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self._answer(message, writer)
                if answer is None:
                    break
                writer.write(answer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


def http_answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """A whole answer with Content-Length."""
    return f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Run(NamedTuple):
    """A request that a worker has run: when, its id, its method and target, and its body."""

    at_s: float
    request_id: str
    what: str
    body: bytes


class Worker:
    """A licence server: runs each request that comes whole once, and answers after `service_s`.

    The workers of a hall share the keys that they have run: they answer a repeat and drop it. `loses_answer`
    tells of the id of a request whether the connection breaks after it has run, before the answer."""

    def __init__(self, name: str, zone: str, record: Record, hall_keys: set[str]) -> None:
        self.name = name
        self.zone = zone
        self.service_s = 0.02
        self.runs: list[Run] = []
        self.loses_answer: Callable[[str], bool] = lambda _request_id: False
        self._hall_keys = hall_keys
        self._record = record
        self.server = Server(self._answer)

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> bytes | None:
        request_id = message.headers.get("x-request-id", "")
        if not request_id:
            return http_answer(404)
        what = message.first.rpartition(" ")[0]
        line = f"{self.name} ({self.zone}) {what} id={request_id} body={message.body.decode()!r}"
        key = message.headers.get("idempotency-key", "")
        if key and key in self._hall_keys:
            self._record(f"repeat   {line}")
        else:
            self._hall_keys.update([key] if key else [])
            self.runs.append(Run(time.time(), request_id, what, message.body))
            self._record(f"run      {line}")
            if self.loses_answer(request_id):
                self._record(f"lost     {line}: its connection is reset before the answer")
                writer.transport.abort()
                return None
        await asyncio.sleep(self.service_s)
        load = json.dumps({"util": 0.1, "latency_ms": self.service_s * 1000})
        return http_answer(200, f"{self.name} served {request_id}".encode(), f"X-Load: {load}\r\n")

    def row(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.server.port}",
            "zone": self.zone,
            "type": "std-2c",
            "group": 1 + ord(self.zone[-1]) - ord("a"),
            "status": "ready",
            "weight": 1.0,
            "since_ms": 0,
        }


class Discovery:
    """The agent of discovery: one list that does not change."""

    def __init__(self, workers: list[Worker]) -> None:
        self._rows = [worker.row() for worker in workers]
        self.server = Server(self._answer)

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        return {"index": 5, "snapshot": True, "endpoints": self._rows}

    async def _answer(self, message: Message, _writer: asyncio.StreamWriter) -> bytes:
        query = message.first.split(" ")[1].partition("?")[2]
        values = dict(part.partition("=")[::2] for part in query.split("&"))
        answer = self.listing()
        if values.get("since") == "5":
            await asyncio.sleep(min(60.0, float(values.get("timeout_ms", "0")) / 1000))
            answer = {"index": 5, "snapshot": False, "endpoints": []}
        return http_answer(200, json.dumps(answer).encode(), "Content-Type: application/json\r\n")


class Client:
    """A front that keeps its connections; one request at a time on each."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._idle: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self._count = 0

    def new_id(self) -> str:
        """An id that no request had before."""
        self._count += 1
        return f"{os.getpid():08x}{self._count:08x}"

    async def _ask(self, port: int, data: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Send a request and return status and body; status 0 if the connection ended without an answer, -1
        after `timeout_s`."""
        kept = self._idle.setdefault(port, [])
        try:
            async with asyncio.timeout(timeout_s):
                if kept:  # if the gatekeeper has closed it between requests, the request goes on a new one
                    answer = await self._exchange(port, data, kept.pop())
                    if answer is not None:
                        return answer
                answer = await self._exchange(port, data, await asyncio.open_connection(HOST, port))
                return answer or (0, b"")
        except TimeoutError:
            return -1, b""
        except OSError:
            return 0, b""

    async def _exchange(
        self, port: int, data: bytes, pair: tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ) -> tuple[int, bytes] | None:
        reader, writer = pair
        writer.write(data)
        answer = None
        try:
            answer = await read_message(reader)
        finally:
            if answer is None or answer.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self._idle[port].append(pair)
        return None if answer is None else (int(answer.first.split(" ")[1]), answer.body)

    async def call(
        self,
        port: int,
        who: str,
        name: str,
        plan: str,
        customer: int,
        *,
        body: bytes = b"",
        spread: int = 3,
        deadline_ms: int = 2000,
        more: dict[str, str] | None = None,
    ) -> tuple[str, int, bytes]:
        """Send a request of a class, in the form of the protocol page; returns its id, status and body.

        `more`: further headers."""
        request_id = self.new_id()
        headers = {
            "X-Request-Id": request_id,
            "X-Tier": plan,
            "X-Api-Key": f"{customer:016x}",
            "X-Deadline-Ms": str(deadline_ms),
            "X-Call-Terms": f"units=1,spread={spread},first=0",
        }
        if name == "seat-checkout":
            headers["Idempotency-Key"] = f"key-{request_id}"
        method = "GET" if name == "seat-check" else "POST"
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        lines = "".join(f"{key}: {value}\r\n" for key, value in {**headers, **(more or {})}.items())
        self._record(
            f"sent     {who} {method} /{name} id={request_id} plan={plan} customer={customer:x} "
            f"body={body.decode()!r} {more or ''}"
        )
        data = f"{method} /{name} HTTP/1.1\r\nHost: api.internal\r\n{lines}\r\n".encode() + body
        status, answer = await self._ask(port, data, deadline_ms / 1000 + 1)
        self._record(f"answered {who} {status} id={request_id} {answer.decode(errors='replace')!r}")
        return request_id, status, answer

    async def up(self, port: int) -> int:
        """The status of GET /up on a new connection; 0 if there is none."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                return 0 if answer is None else int(answer.first.split(" ")[1])
        except (OSError, TimeoutError):
            return 0


class Process:
    """A process of the project's own programs."""

    def __init__(self, process: asyncio.subprocess.Process, name: str, record: Record) -> None:
        self.process = process
        self.name = name
        self._record = record

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self._record(f"signal   {number.name} to {self.name} (process {self.process.pid})")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End it by SIGKILL and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()


class Gatekeeper:
    """One gatekeeper: its addresses, its files and its processes."""

    def __init__(self, tier: Tier, number: int) -> None:
        self.tier = tier
        self.number = number
        self.name = f"n{number}"
        self.listen = free_port()
        self.peer = free_port()
        self.management = 0
        self.folder = tier.folder / self.name
        (self.folder / "tmp").mkdir(parents=True)

    def write_config(self, settings: dict[str, Any]) -> None:
        """Write the file that BALANCER_CONFIG names; each process has a management address of its own."""
        self.management = free_port()
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.listen}",
            "discovery": f"{HOST}:{self.tier.discovery.server.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"{HOST}:{self.peer}",
            "peers": [f"{HOST}:{gate.peer}" for gate in self.tier.gates],
            "known": self.tier.discovery.listing(),
            "management": f"{HOST}:{self.management}",
            "settings": {**settings, "myNumber": self.number},
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    async def start(self, settings: dict[str, Any]) -> Process:
        """Start a process by the deploy file's `run`, from the project's root."""
        self.write_config(settings)
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        if self.tier.operator is not None:
            environment["PLUMPICK_OPERATOR"] = str(self.tier.operator)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        return self.tier.add_process(process, self.name)

    async def call(self, line: str, management: int = 0) -> str:
        """Send an operator's call; returns the answer's line, empty if there is none."""
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(HOST, management or self.management)
                writer.write(line.encode() + b"\n")
                answer = (await reader.readline()).decode().strip()
                writer.close()
        except (OSError, TimeoutError):
            answer = ""
        if line != "READY":
            self.tier.record(f"operator {self.name} {line}: {answer[:200]}")
        return answer


class Tier:
    """Gatekeepers, workers and discovery in a temporary folder."""

    def __init__(self, folder: Path, gatekeepers: int, workers: int) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.operator: Path | None = None
        halls: dict[str, set[str]] = {"hall-a": set(), "hall-b": set()}
        names = [(f"s-{number}", "hall-" + "ab"[number % 2]) for number in range(workers)]
        self.workers = [Worker(name, hall, self.record, halls[hall]) for name, hall in names]
        self.discovery = Discovery(self.workers)
        self.client = Client(self.record)
        self.gates: list[Gatekeeper] = []
        self._processes: list[Process] = []
        self._services: list[Server] = []
        for number in range(gatekeepers):
            self.gates.append(Gatekeeper(self, number))

    def write_operator(self, text: str) -> None:
        """Write the operator's own file."""
        self.operator = self.folder / "operator.toml"
        self.operator.write_text(text)

    def add_process(self, process: asyncio.subprocess.Process, name: str) -> Process:
        """Note a started process, which is ended at the latest by `close`."""
        self.record(f"started  {name} (process {process.pid})")
        started = Process(process, name, self.record)
        self._processes.append(started)
        return started

    async def start_services(self, *more: Server) -> None:
        """Start workers, discovery and further stand-ins."""
        self._services = [self.discovery.server, *(worker.server for worker in self.workers), *more]
        for server in self._services:
            await server.start()

    async def tool(self, *arguments: str) -> asyncio.subprocess.Process:
        """Start `plumpick ARGUMENTS`, with its output piped."""
        return await asyncio.create_subprocess_exec(
            PYTHON,
            "-m",
            "plumpick.cli",
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )

    async def run_tool(self, *arguments: str) -> str:
        """Run `plumpick ARGUMENTS` to its end; returns its output."""
        process = await self.tool(*arguments)
        output = (await asyncio.wait_for(process.communicate(), START_TIMEOUT_S))[0].decode().strip()
        self.record(f"tool     plumpick {' '.join(arguments)}: exit {process.returncode}: {output!r}")
        return output

    async def wait_up(self, *gates: Gatekeeper) -> None:
        """Wait until GET /up of these gatekeepers says 200."""

        async def is_up() -> bool:
            return all([await self.client.up(gate.listen) == 200 for gate in gates])

        await wait_for(is_up, "gatekeepers are not ready")

    async def wait_ready(self, gate: Gatekeeper) -> None:
        """Wait for the yes of the gatekeeper's newest process to READY."""

        async def is_ready() -> bool:
            return (await gate.call("READY")).startswith("+OK")

        await wait_for(is_ready, f"{gate.name} is not ready")
        self.record(f"ready    {gate.name}")

    async def close(self) -> None:
        """End all processes and servers, and remove the folder."""
        for started in self._processes:
            if started.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    started.process.kill()
                await started.process.wait()
        for server in self._services:
            server.close()
        for gate in self.gates:
            log = gate.folder / "log"
            if log.exists():
                for line in log.read_text(errors="replace").splitlines():
                    self.record(f"log {gate.name}  {line}")
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


async def wait_for(condition: Callable[[], Awaitable[bool]], problem: str, seconds: float = 15.0) -> None:
    """Wait until the condition holds; raises CouldNotRunError."""
    end_s = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > end_s:
            raise CouldNotRunError(problem)
        await asyncio.sleep(0.05)


def settings(gatekeepers: int) -> dict[str, Any]:
    """The settings of a small deployment, with the names and figures of the wire page's example."""
    return {
        "azs": ["hall-a", "hall-b"],
        "balancers": gatekeepers,
        "classes": [
            request_class("seat-check", "retryable", 750.0, 2000.0),
            {**request_class("seat-checkout", "dedup", 2000.0, 7500.0), "keyScope": "zone"},
            request_class("hours-debit", "fragile", 2000.0, 7500.0),
        ],
        "clients": {"marksRetry": True},
        "discovery": "automatic",
        "domain": {"inboxPerS": 60.0, "maxUnits": 1, "mayCount": False, "postPaid": False},
        "family": "gate",
        "layers": ["lic-fleet"],
        "limits": {
            "cancel": True,
            "connIdleMs": 30000.0,
            "dialTimeoutMs": 250.0,
            "maxAttempts": 5,
            "maxRetryAfterMs": 1000.0,
            "mayTell": True,
            "openCap": 20000,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "locality": "hall-a",
        "packages": [plan("basico", 50.0, 50.0), plan("estandar", 50.0, 50.0), plan("amplio", 50.0, 50.0)],
        "penalties": {"crossZone": 0.01, "peer": 0.02, "waste": 0.05},
        "report": {"fields": ["util", "latency_ms"], "how": "answers"},
        "rules": {
            "answerSlackMs": 16.0,
            "askWithinMs": 10000.0,
            "coldFrom": 0.25,
            "drainGraceMs": 1000.0,
            "fallMultiple": 2.5,
            "tipAfterMs": 1000.0,
            "warmUpMs": 17000.0,
        },
        "skus": ["std-2c"],
        "tickMs": 4.0,
        "tier": 0,
        "weights": "none",
    }


def request_class(name: str, repeat: str, aim_ms: float, deadline_ms: float) -> dict[str, Any]:
    """One class of the settings."""
    return {
        "name": name,
        "repeat": repeat,
        "keyScope": "all",
        "aimMs": aim_ms,
        "deadlineMs": deadline_ms,
        "dedupWindowMs": 15000.0 if repeat == "dedup" else 0.0,
        "lateWorth": 0.0,
        "streamed": False,
        "worth": 3.0,
    }


def plan(name: str, per_second: float, store: float, **more: float) -> dict[str, Any]:
    """One plan of the settings, without a ceiling unless `more` gives one."""
    return {
        "name": name,
        "perSecond": per_second,
        "storeSize": store,
        "concurrency": 0,
        "hardRate": 0.0,
        "hardBurst": 0.0,
        "capSlack": 0.0,
        "overWorth": 0.0,
        "overrunCost": 0.6,
        "valueFactor": 1.0,
        **more,
    }


def main(tier: Tier, scenario: Callable[[Tier], Awaitable[list[str]]]) -> int:
    """Play a scenario, which returns how the rule was broken, one line each; returns the exit code."""

    async def play() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S):
                return await scenario(tier)
        finally:
            await tier.close()

    try:
        broken = asyncio.run(play())
    except (CouldNotRunError, OSError, TimeoutError, asyncio.CancelledError) as problem:
        print(f"could not run: {problem!r}", file=sys.stderr)
        return COULD_NOT_RUN
    for line in broken:
        print(f"BROKEN: {line}")
    if not broken:
        print("held")
    return BROKEN if broken else HELD
