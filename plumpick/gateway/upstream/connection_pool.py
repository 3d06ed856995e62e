"""The pool of connections to workers, which also starts the attempts on them.

The pool never resends: the request of an attempt is written once or not at all. If it cannot be written, the
worker has received no byte of it. The attempt then ends with CONNECT_FAILED if the worker does not accept the
connection, and with NOT_STARTED if this gateway has no connection or no time left or the worker has left
service. No method raises."""

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
from plumpick.gateway.memory_budget import MemoryBudget
from plumpick.gateway.read_buffer import ReadBuffer
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.connection import Worker, WorkerConnection
from plumpick.gateway.upstream.connection_owner import ConnectionOwner
from plumpick.policy.events import AttemptResult, EndpointState

# Share of the workers' idle timeout after which the gateway closes an idle connection, well before they do.
IDLE_TIMEOUT_RATIO = 0.6
MAX_CONNECTIONS_PER_WORKER = 128  # maximum number of connections to one worker, including idle ones
MAX_IDLE_PER_WORKER = 24
SWEEP_INTERVAL_MS = 1000.0  # interval at which idle connections are checked
# Time between a response and the reuse of its connection. Excess bytes that follow a response some
# milliseconds late are detected by then; after the next request they would be taken for its response.
REUSE_DELAY_MS = 20.0
# The delay for a worker that has sent excess bytes in the latest EXCESS_MEMORY_MS: it may send further ones,
# and later ones while it is busy.
EXCESS_REUSE_DELAY_MS = 250.0
EXCESS_MEMORY_MS = 60_000.0
# Connection errors that are not the worker's fault: this machine has no descriptor, port or memory left.
LOCAL_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM)
# Time by which the streaming of an incomplete response precedes the policy's decision on the overdue request.
STREAMING_LEAD_MS = 10.0
MAX_LOAD_VALUE = 1e6  # maximum value of a field of a load report; reports above it are ignored

log = logging.getLogger(__name__)
_decode_json = json.JSONDecoder().decode


class ConnectionPool(ConnectionOwner):
    """The workers in service by id, with the open connections to each."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: Timers,
        read_buffer: ReadBuffer,
        memory: MemoryBudget,
        *,
        idle_timeout_ms: float,
        connect_timeout_ms: float,
        max_connections: int,
        load_report_fields: tuple[str, ...],
        decision_margin_ms: float,
        has_no_unread_input: Callable[[Any], bool],
        was_transport_reset: Callable[[Any], bool] = lambda _transport: False,
    ) -> None:
        self.read_buffer = read_buffer
        self.memory = memory
        self.has_no_unread_input = has_no_unread_input
        self.was_transport_reset = was_transport_reset
        self._loop = loop
        self._clock = clock
        self._timers = timers
        self._max_connections = max_connections
        self.reconfigure(idle_timeout_ms, connect_timeout_ms, load_report_fields, decision_margin_ms)
        self._workers: dict[str, Worker] = {}
        self._connection_count = 0
        timers.call_at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    def reconfigure(
        self,
        idle_timeout_ms: float,
        connect_timeout_ms: float,
        load_report_fields: tuple[str, ...],
        decision_margin_ms: float,
    ) -> None:
        """Change the timeouts (`idle_timeout_ms`: that of the workers), the fields of load reports, and the
        time before an attempt's deadline at which the policy gives up its request. A connection that is being
        opened keeps its timeout."""
        self._decision_margin_ms = decision_margin_ms
        self._idle_timeout_ms = idle_timeout_ms * IDLE_TIMEOUT_RATIO
        self._connect_timeout_ms = connect_timeout_ms
        self._load_report_fields = load_report_fields

    def connection_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return self._connection_count

    def close_idle(self) -> None:
        """Close all idle connections."""
        for worker in self._workers.values():
            while worker.idle:
                worker.idle[0].abort()

    def set_max_connections(self, max_connections: int) -> None:
        """Set the maximum number of connections; idle connections above it are closed."""
        self._max_connections = max_connections
        for worker in self._workers.values():
            while worker.idle and self._connection_count > max_connections:
                worker.idle[0].abort()

    def unused_connections(self) -> int:
        """Return how many more connections may be opened."""
        return self._max_connections - self._connection_count

    # -- endpoint lists of discovery

    def update(self, workers: WorkerList) -> list[WorkerEntry]:
        """Apply a full or incremental endpoint list. When a worker has left service or restarted, its idle
        connections are closed and the attempts waiting for a connection to it end with NOT_STARTED.

        Returns the entries of workers that are gone although the list does not say so yet: a new worker has
        their address, and would receive their requests while it is still warming up."""
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
        if worker is not None and is_ready and worker.is_same_incarnation(entry):
            worker.entry = entry
            return
        if worker is not None:
            self._retire(self._workers.pop(entry.server.id))
        if is_ready:
            self._workers[entry.server.id] = Worker(entry)

    def _retire_displaced(self, workers: WorkerList) -> list[WorkerEntry]:
        """Retire the workers whose address now belongs to another worker; returns their entries. Of workers
        with the same address the one that started last is there, whatever the order in which they were
        listed; of several that started at the same time the one listed last."""
        positions = {entry.server.id: position for position, entry in enumerate(workers.entries)}

        def recency(worker: Worker) -> tuple[float, int]:
            server = worker.entry.server
            return server.started_ms, positions.get(server.id, -1)

        addresses = {entry.address for entry in workers.entries}
        candidates = [worker for worker in self._workers.values() if worker.entry.address in addresses]
        latest: dict[tuple[str, int], Worker] = {}
        for worker in candidates:
            rival = latest.get(worker.entry.address)
            if rival is None or recency(worker) >= recency(rival):
                latest[worker.entry.address] = worker
        displaced = [worker for worker in candidates if latest[worker.entry.address] is not worker]
        for worker in displaced:
            self._retire(self._workers.pop(worker.entry.server.id))
        return [worker.entry for worker in displaced]

    def _retire(self, worker: Worker) -> None:
        """Stop sending to a worker. Attempts in flight may still get their response."""
        for connection in list(worker.idle):
            connection.abort()
        # No byte of the requests that wait for a connection was written.
        for attempt in list(worker.connecting):
            attempt.end(AttemptResult.NOT_STARTED)

    def is_in_service(self, worker: Worker) -> bool:
        """Whether this incarnation of a worker may get new attempts."""
        return self._workers.get(worker.entry.server.id) is worker

    # -- start of attempts

    def _may_send(self, worker: Worker, attempt: Attempt) -> bool:
        """Whether the attempt's request may still be written. Since the policy chose the worker, establishing
        the connection may have taken long, this process may have stalled, the worker may have drained, or the
        request may have ended. A keyed request written after its deduplication window may be executed twice
        (see tests/gateway/upstream)."""
        now = self._clock.now()
        return (
            attempt.on_completed is not None
            and self.is_in_service(worker)
            and now <= attempt.start_by_ms
            and now < attempt.deadline_ms
        )

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on an idle connection or a new one. It never completes before this returns."""
        now = self._clock.now()
        attempt.started_ms = now
        if attempt.stream is None:  # the time of a streamed body begins in on_request_written
            attempt.timer = self._timers.timeout_at(
                attempt.deadline_ms, lambda: attempt.end(AttemptResult.TIMEOUT)
            )
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
        """Open a connection for the attempt, with a timeout."""
        worker.connection_count += 1
        self._connection_count += 1
        worker.connecting.append(attempt)
        attempt.connect_timer = self._timers.timeout_at(
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
        """Return the current time in ms."""
        return self._clock.now()

    def stream_before_deadline(self, attempt: Attempt, start: Callable[[Attempt], None]) -> None:
        """Call `start(attempt)` shortly before the policy gives up the request, unless the attempt has
        ended."""
        due_ms = attempt.deadline_ms - self._decision_margin_ms - STREAMING_LEAD_MS
        if due_ms < math.inf:
            attempt.streaming_timer = self._timers.call_at(due_ms, lambda: start(attempt))

    def on_request_written(self, attempt: Attempt) -> None:
        """Start the worker's time and the timeout: the last byte of a streamed request has been written."""
        now = self._clock.now()
        attempt.started_ms = now
        if attempt.on_completed is not None and attempt.response_sink is None:
            attempt.timer = self._timers.timeout_at(
                min(now + attempt.timeout_ms, attempt.deadline_ms), lambda: attempt.end(AttemptResult.TIMEOUT)
            )

    def _reusable_connection(self, worker: Worker, now: float) -> WorkerConnection | None:
        """Return the most recently used idle connection that has been idle for the reuse delay and has no
        unread input, or None. Connections found to have unread input are closed."""
        has_sent_excess = now - worker.last_excess_ms < EXCESS_MEMORY_MS
        delay_ms = EXCESS_REUSE_DELAY_MS if has_sent_excess else REUSE_DELAY_MS
        rested = [conn for conn in reversed(worker.idle) if now - conn.idle_since_ms >= delay_ms]
        for connection in rested:
            if connection.has_no_unread_input():
                worker.idle.remove(connection)
                return connection
            connection.abort()
        return None

    def _on_connected(
        self, worker: Worker, attempt: Attempt, connection: WorkerConnection, task: asyncio.Task[Any]
    ) -> None:
        """Send the attempt on its established connection, or end it if connecting failed or came too late.
        Also called for a cancelled task, even one that never started."""
        worker.connecting.remove(attempt)
        attempt.connect_task = None
        problem = None if task.cancelled() else task.exception()
        if problem is not None and not isinstance(problem, OSError):
            log.error(
                "unexpected error while connecting to worker %s at %s",
                worker.entry.server.id,
                worker.entry.address,
                exc_info=problem,
            )
        if attempt.connect_timer is not None:
            attempt.connect_timer.cancel()
        is_up = not task.cancelled() and problem is None and not connection.is_closed
        is_wanted = attempt.client is None or not attempt.client.has_disconnected()
        if is_up and is_wanted and self._may_send(worker, attempt):
            connection.send(attempt)
            return
        connection.abort()  # no byte of the request was written
        is_local_cause = is_up or isinstance(problem, OSError) and problem.errno in LOCAL_SHORTAGES
        attempt.end(AttemptResult.NOT_STARTED if is_local_cause else AttemptResult.CONNECT_FAILED)

    # -- release and close of connections

    def release(self, connection: WorkerConnection) -> None:
        """Return a connection to the pool after a complete response, or close it if it is not needed."""
        worker = connection.worker
        if connection.is_closed or not self.is_in_service(worker) or len(worker.idle) >= MAX_IDLE_PER_WORKER:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now()
        worker.idle.append(connection)

    def on_closed(self, connection: WorkerConnection) -> None:
        """Remove a connection that has closed or could not be established."""
        worker = connection.worker
        worker.connection_count -= 1
        self._connection_count -= 1
        if connection in worker.idle:
            worker.idle.remove(connection)

    def _sweep(self) -> None:
        """Close long-idle connections before the worker does: its close could coincide with a new request."""
        now = self._clock.now()
        self._timers.call_at(now + SWEEP_INTERVAL_MS, self._sweep)
        max_idle_ms = self._idle_timeout_ms - SWEEP_INTERVAL_MS
        for worker in self._workers.values():
            while worker.idle and now - worker.idle[0].idle_since_ms > max_idle_ms:
                worker.idle[0].abort()

    def parse_load_report(self, text: bytes) -> tuple[float, ...]:
        """Return the load report from a response's header; empty if it is malformed or lacks a field."""
        if not text or not self._load_report_fields:
            return ()
        try:
            report = _decode_json(text.decode())  # json.loads would spend time on detecting the encoding
            values = tuple(float(report[field]) for field in self._load_report_fields)
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            return ()
        if not all(math.isfinite(value) and 0 <= value <= MAX_LOAD_VALUE for value in values):
            return ()
        return values
