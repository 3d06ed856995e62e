"""A worker stub: cores, slots, a queue, a cold start, scripted faults, and records of what took effect.

The processor is modelled as processor sharing: each of n requests in the slots gets 1/n of the cores, and
one core at most. A new process starts cold and its capacity grows linearly; a cold process that is sent more
than a multiple of its capacity crashes and stays down. Every effect is recorded. The workers of a zone share
the set of idempotency keys they have seen, and drop a repeat within the window of its request class.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from plumpick.rehearsal.records import (
    AttemptAnswered,
    AttemptExecuted,
    AttemptReceived,
    AttemptRejected,
    Record,
    WorkerEnded,
    WorkerStarted,
    WorkWasted,
)
from plumpick.rehearsal.scenario import ClassPart, RulesPart, ServerPart
from plumpick.rehearsal.surroundings import HOST, Surroundings
from plumpick.rehearsal.wire import Message, Reader, WireError, answer_bytes

NOT_RUN = "X-Not-Run: 1\r\n"
# Time constant of the average behind `util`, and weight of a new sample in the average behind `latency_ms`
USE_TIME_CONSTANT_MS, SERVICE_GAIN = 400.0, 0.1
COLD_STEP_MS = 50.0  # Interval at which a cold worker's speed is updated
MAX_ATTEMPT_MS = 20_000.0  # Maximum time that an attempt spends in a worker
SLACK_REQUESTS = (
    1.0  # Number of requests of the most expensive class that a cold worker bears beyond its budget
)


@dataclass(slots=True)
class Faults:
    """Faults active at a worker. Each mapping gives the probability per attempt, by request class."""

    swallow: dict[str, float] = field(default_factory=dict)
    error: dict[str, float] = field(default_factory=dict)
    fast_error: dict[str, float] = field(default_factory=dict)
    reset_before: dict[str, float] = field(default_factory=dict)
    reset_after: dict[str, float] = field(default_factory=dict)
    slow_after_record: dict[str, float] = field(default_factory=dict)
    slow_ms: float = 0.0  # Delay of the response under the fault `slow_after_record`
    spoilt: dict[str, float] = field(default_factory=dict)
    unmeasured_reset: dict[str, float] = field(default_factory=dict)
    speed: float = 1.0  # Factor on the worker's speed while the fault is active
    freeze_ms: float = 0.0  # Duration of each freeze of the worker
    freeze_every_ms: float = 0.0  # Period of the worker's freezes; 0 without freezes

    def is_drawn(self, which: str, kind: str, rng: random.Random) -> bool:
        """Draw whether the fault `which` strikes an attempt of the request class `kind`."""
        share = getattr(self, which).get(kind, 0.0)
        return bool(share) and rng.random() < share


class ZoneKeys:
    """Idempotency keys that the workers of one zone share, each kept until its window is over.

    The window is measured between arrivals of attempts: a repeat that arrives within it is dropped, however
    long it then waits in the queue."""

    def __init__(self, windows_ms: dict[str, float]) -> None:
        self._windows = windows_ms
        self._since: dict[tuple[str, str], float] = {}

    def is_repeat(self, t: float, kind: str, key: str) -> bool:
        """Return whether the key took effect within its window before `t`; if not, record it as used now."""
        window = self._windows[kind]
        since = self._since.get((kind, key))
        if since is not None and t - since <= window:
            return True
        self._since.pop((kind, key), None)
        self._since[kind, key] = t
        while self._since:  # The entries of idempotency keys are ordered by time.
            (oldest_kind, oldest_key), when = next(iter(self._since.items()))
            if t - when <= max(self._windows.values()) + MAX_ATTEMPT_MS:
                break
            del self._since[oldest_kind, oldest_key]
        return False


class _Job:
    """An attempt that is queued or running at a worker."""

    __slots__ = ("n", "id", "kind", "key", "work", "connection", "end", "arrived_t", "began_t")

    def __init__(
        self,
        n: int,
        request_id: str,
        kind: ClassPart,
        key: str,
        work: float,
        connection: _Connection,
        arrived_t: float,
    ) -> None:
        self.n, self.id, self.kind, self.key, self.work = n, request_id, kind, key, work
        self.connection: _Connection | None = connection
        self.arrived_t, self.end, self.began_t = arrived_t, 0.0, -1.0


class _Connection(asyncio.Protocol):
    """A connection to a worker; it carries one request at a time."""

    def __init__(self, server: WorkerStub) -> None:
        self.server, self.incarnation = server, server.incarnation
        self.transport: Any = None
        self.reader = Reader(answers=False)
        self.job: _Job | None = None
        self.idle_t = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.idle_t = self.server.now()
        self.server.connections[self] = None

    def data_received(self, data: bytes) -> None:
        server = self.server
        if server.is_unreachable or self.incarnation != server.incarnation:
            return
        try:
            messages = self.reader.feed(data, server.now())
        except WireError:
            self.transport.abort()
            return
        for message in messages:
            server.receive(self, message)

    def connection_lost(self, _problem: Exception | None) -> None:
        self.server.connections.pop(self, None)
        if self.job is not None:
            self.job.connection = None
            self.server.cancelled(self.job)

    def write(self, data: bytes) -> None:
        self.idle_t = self.server.now()
        self.transport.write(data)


class WorkerStub:
    """A worker stub. `record` receives its records; `serials` numbers the attempts at all workers."""

    def __init__(
        self,
        around: Surroundings,
        name: str,
        zone: str,
        part: ServerPart,
        rules: RulesPart,
        classes: list[ClassPart],
        keys: ZoneKeys,
        record: Callable[[Record], None],
        serials: itertools.count[int],
    ) -> None:
        self.around, self.name, self.zone, self.part, self.rules = around, name, zone, part, rules
        self.kinds = {kind.name: kind for kind in classes}
        self.now, self.record, self._serials, self._keys = around.now, record, serials, keys
        self.rng = around.chance(f"server {name}")
        self.speed = self.rng.uniform(*part.speed)
        self.capacity = part.cores * self.speed  # Capacity of the warm worker, in ms of work per ms
        self.warm_ms = self.rng.uniform(*part.warm_s) * 1000
        self.faults = Faults()
        self.incarnation, self.port, self.since_unix = 0, 0, 0.0
        self.is_unreachable = self.draining = self.down = False
        self.connections: dict[_Connection, None] = {}  # Open connections in the order of their arrival
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._frozen_until = 0.0
        self._cold = False
        self._clear()

    def _clear(self) -> None:
        self._born_t = self.now()
        # Heap of the attempts in slots, keyed by the attained service at which each ends
        self._busy: list[tuple[float, int, _Job]] = []
        self._queue: deque[_Job] = deque()
        # Service in ms attained by a job that has been in a slot since the start, and the time of this value
        self._attained, self._at = 0.0, self.now()
        self._rate = 0.0
        self._use, self._service_ms = 0.0, sum(kind.work_ms * kind.share for kind in self.kinds.values())
        self._report, self._shown = "", deque[tuple[float, str]]()
        self._next_report_t = 0.0
        # Time and work (ms) of each attempt sent to the cold worker
        self._sent: deque[tuple[float, float]] = deque()
        self._sent_sum = 0.0

    # -- start and end of the worker process

    async def start(self, cold: bool) -> None:
        """Start a new incarnation that listens at a free port, or at the port of the previous incarnation."""
        self.incarnation += 1
        self.is_unreachable = self.draining = self.down = False
        self._clear()
        self._cold = cold
        self._server = await self.around.loop.create_server(
            lambda: _Connection(self), HOST, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        t = self.now()
        self.since_unix = self.around.unix_ms(t) if cold else 0.0
        self.record(
            WorkerStarted(
                t,
                self.name,
                self.incarnation,
                self.zone,
                round(self.capacity, 4),
                self.part.cold_from if cold else 1.0,
                round(self.warm_ms, 1),
            )
        )
        self._sweep(self.incarnation)

    def stop(self, why: str = "stopped") -> None:
        """End the process: connections are reset, new ones refused, and queued attempts never run."""
        if self.down:
            return
        self.down = True
        self.record(WorkerEnded(self.now(), self.name, self.incarnation, why))
        self._close()

    def become_unreachable(self) -> None:
        """Cut the worker off: requests are ignored, no response is sent, and connections stay open."""
        if not self.down and not self.is_unreachable:
            self.is_unreachable = True
            self.record(WorkerEnded(self.now(), self.name, self.incarnation, "silent"))
            self._drop_timer()
            self._busy.clear()
            self._queue.clear()

    async def restart_cold(self) -> None:
        """Bring an unreachable worker back: reset its old connections and start a new, cold incarnation."""
        self._close()
        await self.start(cold=True)

    def _close(self) -> None:
        self._drop_timer()
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.job = None
            connection.transport.abort()
        self._busy.clear()
        self._queue.clear()

    def _drop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def warm_share(self, t: float) -> float:
        """Return the share of its warm capacity that the worker has at time `t`."""
        if not self._cold:
            return 1.0
        share = self.part.cold_from + (1 - self.part.cold_from) * (t - self._born_t) / self.warm_ms
        return min(1.0, share)

    def _sweep(self, incarnation: int) -> None:
        """Close connections that have been idle for longer than `idle_s`; repeats every second."""
        if incarnation != self.incarnation or self.down:
            return
        t = self.now()
        if not self.is_unreachable:
            for connection in list(self.connections):
                if connection.job is None and t - connection.idle_t > self.part.idle_s * 1000:
                    connection.transport.close()
        self.around.later(1000.0, self._sweep, incarnation)

    # -- attempts received by the worker

    def receive(self, connection: _Connection, message: Message) -> None:
        """Handle a complete request: reject it, apply a fault to it, or put it into a slot or the queue."""
        t = self.now()
        request_id = message.headers.get(b"x-request-id", b"").decode("latin-1")
        name = message.start[1].decode("latin-1").lstrip("/").partition("?")[0].partition("/")[0]
        kind = self.kinds.get(name)
        if kind is None or not request_id or connection.job is not None:
            connection.write(answer_bytes(404))
            return
        n = next(self._serials)
        self.record(
            AttemptReceived(
                t, n, request_id, self.name, self.incarnation, message.first_t, name, kind.work_ms
            )
        )
        if self._cold and self._is_overloaded(t, kind.work_ms):
            self.stop("fell")
            return
        key = message.headers.get(b"idempotency-key", b"").decode("latin-1")
        # The work depends on the request id only, so a request takes the same work at every worker.
        work = random.Random(f"{self.around.seed}/{request_id}").expovariate(1 / kind.work_ms)
        job = _Job(n, request_id, kind, key, min(work, 6 * kind.work_ms), connection, t)
        if self.faults.is_drawn("swallow", name, self.rng):
            connection.job = job  # The attempt is neither queued nor run, and gets no response.
            return
        if self.faults.is_drawn("fast_error", name, self.rng):
            self._reply(job, 500)
            return
        if self.faults.is_drawn("reset_before", name, self.rng):
            connection.transport.abort()
            return
        room = self.part.cores * (self.part.slots_per_core + self.part.queue_per_core)
        if (
            self.draining
            or len(self._busy) + len(self._queue) >= room
            or (len(self.connections) > self.part.connections)
        ):
            connection.write(answer_bytes(503, b"", NOT_RUN + self._load(t)))
            self.record(AttemptRejected(t, n))
            return
        connection.job = job
        self._advance(t)
        if len(self._busy) < self.part.cores * self.part.slots_per_core:
            self._begin(job)
        else:
            self._queue.append(job)
        self._set_rate(t)

    def _is_overloaded(self, t: float, work_ms: float) -> bool:
        """Return whether the work sent within the last `fall_ms` is more than the cold worker bears."""
        share = self.warm_share(t)
        if share >= 1.0:
            self._cold = False
            return False
        self._sent.append((t, work_ms))
        self._sent_sum += work_ms
        while self._sent[0][0] <= t - self.rules.fall_ms:
            self._sent_sum -= self._sent.popleft()[1]
        dearest = max(kind.work_ms for kind in self.kinds.values())
        budget = self.rules.fall_multiple * self.capacity * share * self.rules.fall_ms
        return self._sent_sum > budget + SLACK_REQUESTS * dearest

    def cancelled(self, job: _Job) -> None:
        """Handle the end of an attempt's connection: with `drops_cancelled`, a queued attempt is dropped."""
        if self.part.drops_cancelled and job.began_t < 0 and job in self._queue:
            self._queue.remove(job)

    # -- the model of the processor

    def _begin(self, job: _Job) -> None:
        job.began_t, job.end = self._at, self._attained + job.work / self.speed
        heapq.heappush(self._busy, (job.end, job.n, job))

    def _advance(self, t: float) -> None:
        """Update the attained service and the utilization up to time `t`."""
        gone = t - self._at
        if gone <= 0:
            return
        self._attained += gone * self._rate
        used = min(1.0, len(self._busy) / self.part.cores)
        self._use += (used - self._use) * -math.expm1(-gone / USE_TIME_CONSTANT_MS)
        self._at = t

    def _set_rate(self, t: float) -> None:
        """Set the service rate per slot (warm single-core ms per ms) and the timer of the next end."""
        self._drop_timer()
        count = len(self._busy)
        if not count:
            self._rate = 0.0
            return
        share = min(1.0, self.part.cores / count) * self.warm_share(t) * self.faults.speed
        wait = COLD_STEP_MS if self._cold else math.inf
        if t < self._frozen_until:
            share, wait = 0.0, self._frozen_until - t
        elif self.faults.freeze_every_ms and t % self.faults.freeze_every_ms < self.faults.freeze_ms:
            share = 0.0
            wait = self.faults.freeze_ms - t % self.faults.freeze_every_ms
        elif self.faults.freeze_every_ms:
            wait = min(wait, self.faults.freeze_every_ms - t % self.faults.freeze_every_ms)
        self._rate = share
        if share:
            wait = min(wait, max(0.0, self._busy[0][0] - self._attained) / share)
        self._timer = self.around.later(wait + 0.1, self._step)

    def _step(self) -> None:
        self._timer = None
        t = self.now()
        self._advance(t)
        while self._busy and self._busy[0][0] <= self._attained + 1e-6:
            job = heapq.heappop(self._busy)[2]
            self._finish(t, job)
            if self._queue:
                self._begin(self._queue.popleft())
        self._set_rate(t)

    def _finish(self, t: float, job: _Job) -> None:
        """Complete an attempt: record its effect and send the response, subject to faults."""
        kind, name = job.kind, job.kind.name
        self._service_ms += (t - job.began_t - self._service_ms) * SERVICE_GAIN
        if self.faults.is_drawn("error", name, self.rng) or self.rng.random() < self.part.error_share:
            self._reply(job, 500)
            return
        repeat = kind.repeats == "keyed" and self._keys.is_repeat(job.arrived_t, name, job.key)
        self.record(AttemptExecuted(t, job.n, repeat))
        if job.connection is None:
            self.record(WorkWasted(t, job.n, round(job.work, 1)))
        elif self.faults.is_drawn("reset_after", name, self.rng):
            job.connection.job = None
            job.connection.transport.abort()
        elif self.faults.is_drawn("slow_after_record", name, self.rng):
            self.around.later(self.faults.slow_ms, self._reply, job, 200)
        else:
            self._reply(job, 200)

    def _reply(self, job: _Job, status: int) -> None:
        connection, t = job.connection, self.now()
        if (
            connection is None
            or self.is_unreachable
            or self.down
            or connection.incarnation != self.incarnation
        ):
            return
        connection.job, job.connection = None, None
        if self.faults.is_drawn("spoilt", job.kind.name, self.rng):
            self.record(AttemptAnswered(t, job.n, status, True, round(job.work, 1)))
            connection.write(b"\x16\x03\x01 no answer at all\r\n\r\n")
            return
        if status == 200 and self.faults.is_drawn("unmeasured_reset", job.kind.name, self.rng):
            self.record(AttemptAnswered(t, job.n, status, True, round(job.work, 1)))
            connection.write(f"HTTP/1.1 200 OK\r\n\r\n{job.id} {job.n} ".encode())
            self.around.reset(connection.transport)
            return
        self.record(AttemptAnswered(t, job.n, status, False, round(job.work, 1)))
        body = f"{job.id} {job.n} {self.name}\n".encode() if status == 200 else b""
        connection.write(answer_bytes(status, body, self._load(t)))

    def _load(self, t: float) -> str:
        """Return the load report as a header line; it is refreshed at intervals and shown with a delay."""
        if t >= self._next_report_t:
            self._advance(t)
            text = f'X-Load: {{"util":{self._use:.3f},"latency_ms":{self._service_ms:.1f}}}\r\n'
            self._shown.append((t + self.rng.uniform(*self.part.report_late_ms), text))
            self._next_report_t = t + self.rng.uniform(*self.part.report_ms)
        while self._shown and self._shown[0][0] <= t:
            self._report = self._shown.popleft()[1]
        return self._report
