"""The pool of connections to workers, and the start of attempts on them.

Nothing is resent here: each attempt goes out once, or not at all. Of one that cannot go out the worker has
seen no byte: it ends with CONNECT_FAILED where the worker does not accept the connection, and with
NOT_STARTED where it is this gateway that lacks a connection or the time, or the worker has left service.
Nothing is raised."""

from __future__ import annotations

import asyncio
import errno
import functools
import json
import logging
import math
from collections.abc import Callable
from typing import Any

from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.config import WorkerEntry, WorkerList
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.connection import ConnectionOwner, Worker, WorkerConnection
from plumpick.policy.events import AttemptResult, EndpointState

IDLE_TIMEOUT_RATIO = 0.6  # of the worker's own: an idle connection is closed here well before it is there
MAX_CONNECTIONS_PER_WORKER = 128  # in use or idle
MAX_IDLE_PER_WORKER = 24
SWEEP_INTERVAL_MS = 1000.0
# An idle connection rests before it is used again: what follows a response some milliseconds late shows by
# then, and later it would pass for the response to the next request. Where many connections to one worker
# rest, the shorter time is enough, or a busy gateway would open connections without end.
REUSE_DELAY_MS = 20.0
MIN_REUSE_DELAY_MS = 2.0
MAX_RESTING_CONNECTIONS = 8
# Errors of a connection that say nothing of the worker: no descriptor, port or memory is left here.
LOCAL_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM)
MAX_LOAD_VALUE = 1e6  # a load report with a field beyond that is none

log = logging.getLogger(__name__)
_decode_json = json.JSONDecoder().decode


class ConnectionPool(ConnectionOwner):
    """The workers in service by id, with the connections to each."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: Timers,
        *,
        idle_timeout_ms: float,
        connect_timeout_ms: float,
        max_connections: int,
        load_report_fields: tuple[str, ...],
        is_transport_quiet: Callable[[Any], bool],
        was_transport_reset: Callable[[Any], bool] = lambda _transport: False,
    ) -> None:
        self.is_transport_quiet = is_transport_quiet
        self.was_transport_reset = was_transport_reset
        self._loop = loop
        self._clock = clock
        self._timers = timers
        self._max_connections = max_connections
        self.reconfigure(idle_timeout_ms, connect_timeout_ms, load_report_fields)
        self._workers: dict[str, Worker] = {}
        self._connection_count = 0
        timers.at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    def reconfigure(
        self, idle_timeout_ms: float, connect_timeout_ms: float, load_report_fields: tuple[str, ...]
    ) -> None:
        """These hold from now on; a connection that is being opened keeps its timeout. `idle_timeout_ms`: the
        workers' own."""
        self._idle_timeout_ms = idle_timeout_ms * IDLE_TIMEOUT_RATIO
        self._connect_timeout_ms = connect_timeout_ms
        self._load_report_fields = load_report_fields

    def connection_count(self) -> int:
        """How many connections are open or being opened."""
        return self._connection_count

    def close_idle(self) -> None:
        """Close the connections that carry no attempt."""
        for worker in self._workers.values():
            while worker.idle:
                worker.idle[0].abort()

    def set_max_connections(self, max_connections: int) -> None:
        """Open no more connections than that from now on; idle ones beyond it are closed."""
        self._max_connections = max_connections
        for worker in self._workers.values():
            while worker.idle and self._connection_count > max_connections:
                worker.idle[0].abort()

    def unused_connections(self) -> int:
        """How many more connections may be opened."""
        return self._max_connections - self._connection_count

    # -- discovery

    def update(self, workers: WorkerList) -> list[WorkerEntry]:
        """Apply an endpoint list. A worker that left service or restarted loses its idle connections and the
        attempts that wait for one.

        Returns the entries that are gone though the list does not say so yet: a new worker has their address
        and would get, still warming up, what was meant for them."""
        if workers.complete:
            listed = {entry.server.id for entry in workers.entries}
            for worker_id in [worker_id for worker_id in self._workers if worker_id not in listed]:
                self._retire(self._workers.pop(worker_id))
        for entry in workers.entries:
            self._update_worker(entry)
        return self._retire_displaced(workers)

    def _update_worker(self, entry: WorkerEntry) -> None:
        is_ready = entry.server.state is EndpointState.READY
        worker = self._workers.get(entry.server.id)
        if worker is not None and is_ready and worker.is_same_process(entry):
            worker.entry = entry
            return
        if worker is not None:
            self._retire(self._workers.pop(entry.server.id))
        if is_ready:
            self._workers[entry.server.id] = Worker(entry)

    def _retire_displaced(self, workers: WorkerList) -> list[WorkerEntry]:
        """Retire the workers whose address another one has now; returns their entries."""
        successors = {
            entry.address: entry.server
            for entry in workers.entries
            if entry.server.state is EndpointState.READY
        }
        displaced = []
        for worker_id, worker in list(self._workers.items()):
            successor = successors.get(worker.entry.address)
            if successor is None or successor.id == worker_id:
                continue
            if successor.started_ms >= worker.entry.server.started_ms:
                self._retire(self._workers.pop(worker_id))
                displaced.append(worker.entry)
        return displaced

    def _retire(self, worker: Worker) -> None:
        """Nothing new goes there. Attempts that are in flight may still get their response."""
        for connection in list(worker.idle):
            connection.abort()
        for attempt in list(worker.connecting):  # not a byte of these was written
            attempt.end(AttemptResult.NOT_STARTED)

    def is_in_service(self, worker: Worker) -> bool:
        """Whether new attempts may go to that process of a worker."""
        return self._workers.get(worker.entry.server.id) is worker

    # -- attempts

    def _may_send(self, worker: Worker, attempt: Attempt) -> bool:
        """Whether the attempt's bytes may leave now. Between the choice and this moment may lie a connection
        that comes up late, a stall of this process, a drain, the end of the request; and a keyed request that
        leaves after its deduplication window may be executed twice (tests/gateway/upstream)."""
        now = self._clock.now()
        return (
            attempt.on_completed is not None
            and self.is_in_service(worker)
            and now <= attempt.start_by_ms
            and now < attempt.deadline_ms
        )

    def start(self, attempt: Attempt) -> None:
        """Send on an idle connection, or on a new one. The attempt never ends before this returns."""
        now = self._clock.now()
        attempt.started_ms = now
        if attempt.stream is None:  # a stream's time begins with its last byte: see on_request_written
            attempt.timer = self._timers.at(attempt.deadline_ms, lambda: attempt.end(AttemptResult.TIMEOUT))
        worker = self._workers.get(attempt.worker_id)
        if worker is None or not self._may_send(worker, attempt):
            self._loop.call_soon(attempt.end, AttemptResult.NOT_STARTED)
            return
        connection = self._reusable_connection(worker, now)
        if connection is not None:
            connection.send(attempt)
        elif (
            not self._may_send(worker, attempt)
            or worker.connection_count >= MAX_CONNECTIONS_PER_WORKER
            or self._connection_count >= self._max_connections
        ):
            self._loop.call_soon(attempt.end, AttemptResult.NOT_STARTED)
        else:
            self._connect(worker, attempt, now)

    def _connect(self, worker: Worker, attempt: Attempt, now: float) -> None:
        """Open a connection for the attempt."""
        worker.connection_count += 1
        self._connection_count += 1
        worker.connecting.append(attempt)
        attempt.connect_timer = self._timers.at(
            now + self._connect_timeout_ms, lambda: attempt.end(AttemptResult.CONNECT_FAILED)
        )
        connection = WorkerConnection(self, worker)
        attempt.connect_task = self._loop.create_task(
            self._loop.create_connection(lambda: connection, *worker.entry.address)
        )
        attempt.connect_task.add_done_callback(
            functools.partial(self._on_connected, worker, attempt, connection)
        )

    def now(self) -> float:
        """The time in ms."""
        return self._clock.now()

    def on_request_written(self, attempt: Attempt) -> None:
        """The last byte of a streamed request has been written: the worker's time begins."""
        now = self._clock.now()
        attempt.started_ms = now
        if attempt.on_completed is not None and attempt.response_sink is None:
            attempt.timer = self._timers.at(
                now + attempt.timeout_ms, lambda: attempt.end(AttemptResult.TIMEOUT)
            )

    def _reusable_connection(self, worker: Worker, now: float) -> WorkerConnection | None:
        """The most recently used idle connection that has rested and on which nothing waits; those on which
        something does are closed."""
        rested = [one for one in reversed(worker.idle) if now - one.idle_since_ms >= REUSE_DELAY_MS]
        if not rested and len(worker.idle) >= MAX_RESTING_CONNECTIONS:
            rested = [one for one in worker.idle if now - one.idle_since_ms >= MIN_REUSE_DELAY_MS]
        for connection in rested:
            if connection.is_quiet():
                worker.idle.remove(connection)
                return connection
            connection.abort()
        return None

    def _on_connected(
        self, worker: Worker, attempt: Attempt, connection: WorkerConnection, task: asyncio.Task[Any]
    ) -> None:
        """A connection is up, or has failed. Called for a cancelled task too, even one that never began."""
        worker.connecting.remove(attempt)
        attempt.connect_task = None
        problem = None if task.cancelled() else task.exception()
        if problem is not None and not isinstance(problem, OSError):
            log.error("connecting to %s failed", worker.entry.address, exc_info=problem)
        if attempt.connect_timer is not None:
            attempt.connect_timer.cancel()
        is_up = not task.cancelled() and problem is None and not connection.is_closed
        if is_up and self._may_send(worker, attempt):
            connection.send(attempt)
            return
        connection.abort()  # nothing was written, and nothing may be any more
        is_own_doing = is_up or isinstance(problem, OSError) and problem.errno in LOCAL_SHORTAGES
        attempt.end(AttemptResult.NOT_STARTED if is_own_doing else AttemptResult.CONNECT_FAILED)

    # -- connections

    def release(self, connection: WorkerConnection) -> None:
        """A complete response has come: the connection becomes idle, or is closed."""
        worker = connection.worker
        if connection.is_closed or not self.is_in_service(worker) or len(worker.idle) >= MAX_IDLE_PER_WORKER:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now()
        worker.idle.append(connection)

    def on_closed(self, connection: WorkerConnection) -> None:
        """The connection has ended, or never came up."""
        worker = connection.worker
        worker.connection_count -= 1
        self._connection_count -= 1
        if connection in worker.idle:
            worker.idle.remove(connection)

    def _sweep(self) -> None:
        """Close what has been idle for long, before the worker does: its end could cross a request."""
        now = self._clock.now()
        self._timers.at(now + SWEEP_INTERVAL_MS, self._sweep)
        max_idle_ms = self._idle_timeout_ms - SWEEP_INTERVAL_MS
        for worker in self._workers.values():
            while worker.idle and now - worker.idle[0].idle_since_ms > max_idle_ms:
                worker.idle[0].abort()

    def parse_load_report(self, text: bytes) -> tuple[float, ...]:
        """The load report in a response's header; empty where it lacks a field or cannot be read."""
        if not text or not self._load_report_fields:
            return ()
        try:
            report = _decode_json(text.decode())  # json.loads would detect the encoding of bytes first
            values = tuple(float(report[field]) for field in self._load_report_fields)
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            return ()
        if not all(math.isfinite(value) and 0 <= value <= MAX_LOAD_VALUE for value in values):
            return ()
        return values
