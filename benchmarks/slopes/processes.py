"""Slopes measured on a real gateway process on loopback (start-up, memory, operators' calls), and of leases.

A discovery stub sends the gateway an endpoint list of the size in question and leaves the watch open. All
processes that are started here are also stopped here."""

from __future__ import annotations

import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from functools import cache
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.slopes.decisions import configuration, listing

ROOT = Path(__file__).resolve().parents[2]
HOST, LIMIT_S, REPEATS = "127.0.0.1", 60.0, 3
LEASE_SLOTS = 12


class DiscoveryStub(threading.Thread):
    """A discovery stub: answers each request for the list with the full list, and watches never."""

    def __init__(self, workers: int) -> None:
        super().__init__(daemon=True)
        body = json.dumps(listing(workers)).encode()
        self.answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
            len(body),
            body,
        )
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        self.connections: list[socket.socket] = []

    def run(self) -> None:
        while True:
            try:
                one, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(one)
            threading.Thread(target=self.serve, args=(one,), daemon=True).start()

    def serve(self, one: socket.socket) -> None:
        received = b""
        try:
            while data := one.recv(4096):
                received += data
                while b"\r\n\r\n" in received:
                    head, _, received = received.partition(b"\r\n\r\n")
                    if b"since=" not in head:
                        one.sendall(self.answer)
        except OSError:
            return

    def stop(self) -> None:
        for one in (self.listener, *self.connections):
            one.close()


def _free_port() -> int:
    with socket.create_server((HOST, 0)) as probe:
        port: int = probe.getsockname()[1]
        return port


class Gatekeeper:
    """A running gateway process and its discovery stub, with start-up time and memory.

    Raises RuntimeError if the gateway exits or is not up within LIMIT_S.
    """

    def __init__(self, workers: int, classes: int = 3, plans: int = 2) -> None:
        self.agent = DiscoveryStub(workers)
        self.agent.start()
        self.port, self.management = _free_port(), _free_port()
        value = configuration(classes, plans)
        value.update(
            listen=f"{HOST}:{self.port}",
            discovery=f"{HOST}:{self.agent.port}",
            management=f"{HOST}:{self.management}",
        )
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json")  # noqa: SIM115  (closed by close())
        json.dump(value, self.file)
        self.file.flush()
        environment = {**os.environ, "BALANCER_CONFIG": self.file.name}
        begin = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "plumpick"],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            self._until_up(begin)
            self.start_s = time.monotonic() - begin
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            self.rss_mb = int(status.partition("VmRSS:")[2].split()[0]) / 1024
            self.descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except BaseException:
            self.stop()
            raise

    def _until_up(self, begin: float) -> None:
        while time.monotonic() - begin < LIMIT_S:
            if self.process.poll() is not None:
                raise RuntimeError(f"gateway exited with code {self.process.returncode} before it was up")
            try:
                ask = http.client.HTTPConnection(HOST, self.port, timeout=LIMIT_S)
                ask.request("GET", "/up")
                if ask.getresponse().status == 200:
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.002)
        raise RuntimeError(f"gateway did not answer /up with 200 within {LIMIT_S:g} s")

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()
        self.agent.stop()
        self.file.close()


@cache
def _started(workers: int, classes: int) -> tuple[float, float, int]:
    """Return the medians of start-up time in s, resident memory in MB and number of descriptors."""
    rows = []
    for _ in range(REPEATS):
        one = Gatekeeper(workers, classes)
        rows.append((one.start_s, one.rss_mb, one.descriptors))
        one.stop()
    start, rss, descriptors = (median(column) for column in zip(*rows, strict=True))
    return start, rss, int(descriptors)


def start_by_workers(workers: float) -> float:
    return _started(int(workers), 3)[0]


def resident_by_workers(workers: float) -> float:
    return _started(int(workers), 3)[1]


def descriptors_by_workers(workers: float) -> float:
    return _started(int(workers), 3)[2]


def start_by_classes(classes: float) -> float:
    return _started(10, int(classes))[0]


def resident_by_classes(classes: float) -> float:
    return _started(10, int(classes))[1]


def calls_s(calls: float) -> float:
    """Run `plumpick call` this many times in a row; return the total time in s."""
    one = Gatekeeper(10)
    try:
        command = [sys.executable, "-m", "plumpick.cli", "call", f"{HOST}:{one.management}", "READY"]
        begin = time.monotonic()
        for _ in range(int(calls)):
            subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL, timeout=LIMIT_S)
        return time.monotonic() - begin
    finally:
        one.stop()


@cache
def _leases(gateways: int) -> dict[str, Any]:
    from benchmarks.ownership_size import play

    return play(gateways, 10)


def voter_taken(gateways: float) -> float:
    return float(_leases(int(gateways))["voters"]["most_taken_per_s"])


def voter_sent(gateways: float) -> float:
    return float(_leases(int(gateways))["voters"]["sent_per_s"])


def voter_bytes(gateways: float) -> float:
    return float(_leases(int(gateways))["voters"]["bytes_per_s"])


def voter_cpu(gateways: float) -> float:
    return float(_leases(int(gateways))["voters"]["cpu_us_per_s"]) / 1000


def owner_taken(gateways: float) -> float:
    return float(_leases(int(gateways))["owners"]["taken_per_s"])


def owner_sent(gateways: float) -> float:
    return float(_leases(int(gateways))["owners"]["sent_per_s"])


def owner_bytes(gateways: float) -> float:
    return float(_leases(int(gateways))["owners"]["bytes_per_s"])


def owner_cpu(gateways: float) -> float:
    return float(_leases(int(gateways))["owners"]["cpu_us_per_s"]) / 1000
