"""Stand-ins and helpers of the second review's cases: the platform, discovery, workers, clients, the record.

Standard library only. Everything listens on 127.0.0.1 at free ports and lives in a temporary folder. The
gateways are started with the `run` command of the deploy file, each as a process of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run; the text says why."""


class Clock:
    """Milliseconds since the case began."""

    def __init__(self) -> None:
        self._start = time.monotonic()

    def ms(self) -> float:
        """Return the time since the case began."""
        return (time.monotonic() - self._start) * 1000


class Recorder:
    """Writes record.txt: a line for each thing that was sent, answered, run or done."""

    def __init__(self, folder: Path) -> None:
        self.clock = Clock()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115  (closed by `close`)

    def write(self, text: str) -> None:
        """Write a line with its time."""
        self._file.write(f"{self.clock.ms():10.1f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """End the record."""
        self._file.close()


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    try:
        for one in sockets:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def small_settings(number: int = 0, gateways: int = 1, **limits: Any) -> dict[str, Any]:
    """The settings of a small deployment: the names and the usual figures of the operators' pages."""
    return {
        "azs": ["hall-a", "hall-b", "hall-c"],
        "balancers": gateways,
        "myNumber": number,
        "locality": "hall-a",
        "classes": [
            {
                "name": "seat-check",
                "aimMs": 750.0,
                "deadlineMs": 2000.0,
                "worth": 3.0,
                "lateWorth": 0.0,
                "repeat": "retryable",
                "keyScope": "all",
                "dedupWindowMs": 5000.0,
                "streamed": False,
            },
            {
                "name": "seat-checkout",
                "aimMs": 2000.0,
                "deadlineMs": 7500.0,
                "worth": 3.0,
                "lateWorth": 0.0,
                "repeat": "dedup",
                "keyScope": "zone",
                "dedupWindowMs": 15000.0,
                "streamed": False,
            },
            {
                "name": "hours-debit",
                "aimMs": 2000.0,
                "deadlineMs": 7500.0,
                "worth": 2.0,
                "lateWorth": 0.0,
                "repeat": "fragile",
                "keyScope": "all",
                "dedupWindowMs": 5000.0,
                "streamed": False,
            },
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
            **limits,
        },
        "packages": [
            {
                "name": "basico",
                "perSecond": 0.78,
                "storeSize": 4.0,
                "valueFactor": 0.88,
                "overWorth": 0.0,
                "overrunCost": 0.6,
                "concurrency": 0,
                "hardRate": 0.0,
                "hardBurst": 0.0,
                "capSlack": 0.0,
            },
            {
                "name": "estandar",
                "perSecond": 1.6,
                "storeSize": 7.0,
                "valueFactor": 1.3,
                "overWorth": 0.0,
                "overrunCost": 0.8,
                "concurrency": 0,
                "hardRate": 0.0,
                "hardBurst": 0.0,
                "capSlack": 0.0,
            },
            {
                "name": "amplio",
                "perSecond": 8.5,
                "storeSize": 10.0,
                "valueFactor": 1.8,
                "overWorth": 0.0,
                "overrunCost": 0.6,
                "concurrency": 0,
                "hardRate": 19.0,
                "hardBurst": 23.0,
                "capSlack": 2.0,
            },
        ],
        "penalties": {"crossZone": 0.01, "peer": 0.02},
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


# -- messages


@dataclass
class Message:
    """One HTTP message: the first line, headers with names in lower case, the body."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a first line and headers."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body, by its length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with its body."""
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers))


def answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Encode an answer."""
    return f"HTTP/1.1 {status} OK\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


LOAD = 'X-Load: {"util":0.2,"latency_ms":90.0}\r\n'


# -- discovery


class Discovery:
    """Discovery's agent: the whole list, and watches that wait for a change."""

    def __init__(self) -> None:
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self.port = 0
        self._server: Any = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def put(self, name: str, port: int, zone: str, status: str = "ready", since_ms: float = 0) -> None:
        """Add, change or (status gone) remove an entry, and tell the watches."""
        entry = {
            "name": name,
            "address": f"{HOST}:{port}",
            "zone": zone,
            "type": "std-2c",
            "group": ["hall-a", "hall-b", "hall-c"].index(zone),
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }
        async with self._changed:
            self.index += 1
            if status == "gone":
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry
            self.changes.append((self.index, entry))
            self._changed.notify_all()

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                target = request.first.split(" ")[1]
                value = self.listing()
                if "since=" in target:
                    query = dict(part.split("=") for part in target.partition("?")[2].split("&"))
                    value = await self._watch(int(query["since"]), float(query["timeout_ms"]) / 1000)
                writer.write(answer(200, json.dumps(value).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _watch(self, since: int, wait_s: float) -> dict[str, Any]:
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(lambda: self.index > since), wait_s)
            rows = [entry for index, entry in self.changes if index > since]
            return {"index": self.index, "snapshot": False, "endpoints": rows}


# -- workers


Handler = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """A worker that answers one request at a time on each connection; `handler` writes the answer."""

    def __init__(self, name: str, zone: str, handler: Handler) -> None:
        self.name, self.zone, self.handler = name, zone, handler
        self.port = 0
        self.open: set[asyncio.StreamWriter] = set()
        self._server: Any = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen at this port, or a free one."""
        self._server = await asyncio.start_server(self._accept, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.open.add(writer)
        try:
            while True:
                await self.handler(self, await read_message(reader), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.transport.abort()

    def reset_connections(self) -> None:
        """Reset every connection, as the death of a process with unread bytes or a network element does."""
        for writer in list(self.open):
            reset(writer)

    def stop(self) -> None:
        """Take no further connection."""
        self._server.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


# -- gateways


@dataclass
class GatewayProcess:
    """One gateway, started with the `run` command of the deploy file."""

    name: str
    port: int
    process: subprocess.Popen[bytes]
    log: Path
    started_with: dict[str, Any] = field(default_factory=dict)

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)


class Platform:
    """Starts gateways and ends every process that it has started."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.folder = Path(tempfile.mkdtemp(prefix="plumpick-review-"))
        self.processes: list[GatewayProcess] = []
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            self._run = tomllib.load(file)["run"]

    async def start(
        self,
        settings: dict[str, Any],
        discovery: Discovery,
        *,
        port: int,
        peer_ports: list[int] | None = None,
        environment: dict[str, str] | None = None,
        extra: dict[str, Any] | None = None,
        tag: str = "",
    ) -> GatewayProcess:
        """Start one gateway; `extra` is added to its configuration."""
        number = settings["myNumber"]
        name = f"n{number}"
        config: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": settings,
            **(extra or {}),
        }
        if peer_ports:
            config["peer_listen"] = f"{HOST}:{peer_ports[number]}"
            config["peers"] = [f"{HOST}:{one}" for one in peer_ports]
        path = self.folder / f"{name}{tag}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        private = self.folder / f"tmp-{name}"
        private.mkdir(exist_ok=True)
        inherited = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("BALANCER_", "PLUMPICK_"))
        }
        variables = {
            **inherited,
            "BALANCER_NAME": name,
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": config["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(private),
            **(environment or {}),
        }
        log = self.folder / f"{name}{tag}.log"
        with open(log, "wb") as output:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self._run], cwd=ROOT, env=variables, stdout=output, stderr=output
            )
        gateway = GatewayProcess(name, port, process, log, config)
        self.processes.append(gateway)
        return gateway

    async def ready(self, gateway: GatewayProcess, timeout_s: float = 30.0) -> None:
        """Wait until GET /up answers 200."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if gateway.process.poll() is not None:
                raise CannotRunError(f"{gateway.name} has ended: {gateway.log.read_text()[-400:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, gateway.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if " 200 " in message.first + " ":
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{gateway.name} is not ready after {timeout_s} s")

    def close(self) -> None:
        """End every process, and copy the ends of the logs into the record."""
        for gateway in self.processes:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
        for gateway in self.processes:
            gateway.process.wait()
            self.recorder.write(f"log of {gateway.log.name}:")
            for line in gateway.log.read_text(errors="replace").splitlines()[-40:]:
                self.recorder.write(f"  {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


# -- clients


def request_bytes(
    class_name: str,
    request_id: str,
    customer: int,
    *,
    plan: str = "estandar",
    deadline_ms: int = 2000,
    spread: int = 1,
    first: int = 0,
    key: str = "",
    body: bytes | None = None,
    length: int | None = None,
) -> bytes:
    """The head of a request, and its body if there is one (`length`: of a body that is sent apart)."""
    post = class_name != "seat-check"
    lines = [
        f"{'POST' if post else 'GET'} /{class_name} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Tier: {plan}",
        f"X-Api-Key: {customer:016x}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Call-Terms: units=1,spread={spread},first={first}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if post:
        lines.append(f"Content-Length: {len(body or b'') if length is None else length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def status_of(message: Message) -> int:
    """Return an answer's status."""
    return int(message.first.split(" ")[1])


# -- a small tier


@dataclass
class Tier:
    """Discovery and the gateways of a small deployment."""

    discovery: Discovery
    gateways: list[GatewayProcess]


async def start_tier(
    platform: Platform, workers: list[tuple[str, int, str]], gateways: int = 3, **limits: Any
) -> Tier:
    """Start discovery and the gateways over `workers` (name, port, hall); returns when all are ready."""
    discovery = Discovery()
    await discovery.start()
    for name, port, zone in workers:
        await discovery.put(name, port, zone)
    ports = free_ports(gateways)
    peer_ports = free_ports(gateways, socket.SOCK_DGRAM)
    started = [
        await platform.start(
            small_settings(number, gateways, **limits), discovery, port=ports[number], peer_ports=peer_ports
        )
        for number in range(gateways)
    ]
    for gateway in started:
        await platform.ready(gateway)
    return Tier(discovery, started)


HALLS = ("hall-a", "hall-b", "hall-c")


# -- a case


async def _limited(
    case: Callable[[Recorder, Platform], Awaitable[int]], recorder: Recorder, limit_s: float
) -> int:
    platform = Platform(recorder)
    try:
        return await asyncio.wait_for(case(recorder, platform), limit_s)
    finally:
        platform.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0.05)  # lets the transports close


def _end(_number: int, _frame: Any) -> None:
    """End the case on SIGTERM, with all that it started."""
    raise SystemExit(COULD_NOT_RUN)


def main(folder: Path, case: Callable[[Recorder, Platform], Awaitable[int]], limit_s: float = 110.0) -> int:
    """Run a case and return its exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    signal.signal(signal.SIGTERM, _end)
    recorder = Recorder(folder)
    recorder.write(f"trouble: {'on' if TROUBLE else 'off'}")
    try:
        code = asyncio.run(_limited(case, recorder, limit_s))
    except (CannotRunError, TimeoutError, OSError) as problem:
        recorder.say(f"could not run: {type(problem).__name__}: {problem}")
        code = COULD_NOT_RUN
    recorder.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(code, "the case could not run"))
    recorder.close()
    return code


if __name__ == "__main__":
    sys.exit("this module is imported by the cases")
