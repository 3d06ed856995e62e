"""Repeats gateway upgrades under load and counts requests that were lost, turned back or executed twice.

    python -m benchmarks.upgrades [--times 50] [--clients 16] [--way handover|reuseport]

Runs real processes on loopback: one worker that answers immediately, and clients that keep their connections
and send requests without a pause. With `--way handover` the new process is the hot-restart successor of the
old one. With `--way reuseport` each process has its own TMPDIR and therefore finds no predecessor; both
listen at the same address until the old one exits. Lost: a connection closed before the complete response
to a request that had been written. Turned back: a connection refused or reset before a request was written.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

from plumpick.tools.call import send_command

HOST, ROOT = "127.0.0.1", Path(__file__).resolve().parent.parent
PAUSE_S, START_TIMEOUT_S = 0.3, 10.0  # Pause between upgrades; maximum time until a new process reports READY


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port number that is free when the function returns."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def settings() -> dict[str, Any]:
    """Return settings with one class and one plan without a quota, so that only upgrades cause rejections."""
    return {
        "balancers": 1,
        "myNumber": 0,
        "locality": "a",
        "tickMs": 4.0,
        "classes": [{"name": "look", "aimMs": 1e3, "deadlineMs": 3e3, "worth": 1.0, "repeat": "retryable"}],
        "packages": [{"name": "basic"}],
        "limits": {"maxAttempts": 3, "cancel": True, "dialTimeoutMs": 250.0, "connIdleMs": 30000.0},
        "rules": {"warmUpMs": 9000.0, "coldFrom": 0.2, "fallMultiple": 3.0, "tipAfterMs": 1000.0},
        "report": {"fields": [], "how": "none"},
    }


class Trial:
    """A repeatedly upgraded gateway with its worker, discovery and clients, and the counts of outcomes."""

    def __init__(self, folder: Path, has_shared_folder: bool) -> None:
        self.folder, self.has_shared_folder = folder, has_shared_folder
        self.port, self.ids = free_port(), itertools.count(1)
        self.counts = dict.fromkeys(("asked", "served", "refused", "lost", "turned back", "ran twice"), 0)
        self.executions: dict[str, int] = {}
        self.is_over = False
        self.watches_ended = asyncio.get_running_loop().create_task(asyncio.Event().wait())
        self.worker_port = self.discovery_port = 0

    async def worker(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection to the worker stub: answer each request with its id and count its executions."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                name = head.partition("X-Request-Id: ")[2].partition("\r")[0]
                self.executions[name] = self.executions.get(name, 0) + 1
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(name)}\r\n\r\n{name}".encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection to the discovery stub: send the full list first, then no updates to watches."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"since=" in head:
                    await asyncio.wait((self.watches_ended,), timeout=4.0)
                body = json.dumps(
                    {
                        "index": 1,
                        "snapshot": b"since=" not in head,
                        "endpoints": [
                            {
                                "name": "w1",
                                "address": f"{HOST}:{self.worker_port}",
                                "zone": "a",
                                "type": "m",
                                "group": 0,
                                "status": "ready",
                                "weight": 1.0,
                                "since_ms": 0,
                            }
                        ]
                        * (b"since=" not in head),
                    }
                ).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def start(self, number: int) -> tuple[Any, int]:
        """Start gateway process `number`; return it and its management port when it is ready.

        Raises TimeoutError after START_TIMEOUT_S.
        """
        management_port, folder = (
            free_port(),
            self.folder if self.has_shared_folder else self.folder / str(number),
        )
        folder.mkdir(exist_ok=True)
        path = self.folder / f"config-{number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{self.port}",
                    "discovery": f"{HOST}:{self.discovery_port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"sockets": 1024, "memory_mb": 192},
                    "known": {"index": 0, "snapshot": True, "endpoints": []},
                    "settings": settings(),
                    "management": f"{HOST}:{management_port}",
                }
            )
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "plumpick",
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(folder)},
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    if (await asyncio.to_thread(send_command, (HOST, management_port), "READY")).startswith(
                        "+OK"
                    ):
                        return process, management_port
                except OSError:
                    await asyncio.sleep(0.01)

    async def client(self) -> None:
        """Send requests on one connection until it is closed, then on a new one, and count the outcomes."""
        counts = self.counts
        while not self.is_over:
            written = False
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                while not self.is_over:
                    name = f"{next(self.ids):016x}"
                    writer.write(
                        f"GET /look HTTP/1.1\r\nHost: h\r\nX-Request-Id: {name}\r\nX-Tier: basic\r\n"
                        "X-Api-Key: 00000000b4d65521\r\nX-Deadline-Ms: 2000\r\n"
                        "X-Call-Terms: units=1,spread=1,first=0\r\n\r\n".encode()
                    )
                    counts["asked"] += 1
                    written = True
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    size = int(head.lower().partition("content-length: ")[2].partition("\r")[0])
                    body = (await reader.readexactly(size)).decode()
                    written = False
                    counts["served" if " 200 " in head and body == name else "refused"] += 1
                    if "connection: close" in head.lower():
                        break
                writer.close()
            except (asyncio.IncompleteReadError, ConnectionError):
                counts["lost" if written else "turned back"] += 1

    async def play(self, times: int, clients: int) -> None:
        """Upgrade the gateway `times` times in a row while `clients` clients send requests."""
        servers = [await asyncio.start_server(one, HOST, 0) for one in (self.worker, self.discovery)]
        self.worker_port, self.discovery_port = (one.sockets[0].getsockname()[1] for one in servers)
        process, _ = await self.start(0)
        tasks = [asyncio.create_task(self.client()) for _ in range(clients)]
        try:
            for number in range(1, times + 1):
                new, _ = await self.start(number)
                process.send_signal(signal.SIGTERM)
                exit_code = await process.wait()
                if exit_code:
                    print(f"upgrade {number}: the old process exited with code {exit_code}, expected 0")
                process = new
                await asyncio.sleep(PAUSE_S)
            self.is_over = True
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            if process.returncode is None:
                process.terminate()
                await process.wait()
            self.watches_ended.cancel()
            for one in servers:
                one.close()
            # During this pause the servers' connection handlers notice closed connections
            await asyncio.sleep(PAUSE_S)
        self.counts["ran twice"] = sum(count > 1 for count in self.executions.values())


def main() -> int:
    """Print the outcomes of requests; return 1 if one was lost, turned back or executed twice, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--times", type=int, default=50)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--way", choices=("handover", "reuseport"), default="handover")
    arguments = parser.parse_args()

    async def run_trial(folder: Path) -> Trial:
        play = Trial(folder, arguments.way == "handover")
        await play.play(arguments.times, arguments.clients)
        return play

    with tempfile.TemporaryDirectory(prefix="plumpick-") as folder:
        play = asyncio.run(run_trial(Path(folder)))
    print(
        f"{arguments.way}, {arguments.times} upgrades, {arguments.clients} clients: "
        + ", ".join(f"{name} {count}" for name, count in play.counts.items())
    )
    return int(any(play.counts[name] for name in ("lost", "turned back", "ran twice")))


if __name__ == "__main__":
    sys.exit(main())
