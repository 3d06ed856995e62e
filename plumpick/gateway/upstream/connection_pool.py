"""Connections to workers, and the attempts on them. Nothing is resent here: each attempt goes out once."""

from __future__ import annotations

import asyncio
import functools
import json
import logging
import math
from collections.abc import Callable
from typing import Any, Protocol

import httptools

from plumpick.gateway.clock import Clock, Timer, Timers
from plumpick.gateway.config import WorkerEntry, WorkerList
from plumpick.gateway.upstream.request_encoding import message_of
from plumpick.gateway.upstream.streaming_body import WHOLE, Body, Budget
from plumpick.policy.events import AttemptResult, EndpointState

MAX_HEAD = 16 * 1024
IDLE_PART = 0.6  # of the time after which a worker closes an idle connection: ours are closed well before
MAX_PER_WORKER = 128  # connections to one worker, in use or idle
MAX_IDLE = 24  # idle ones kept to one worker
SWEEP_MS = 1000.0
# A connection is used again after so long: what comes behind an answer, some milliseconds late, shows by
# then, and later it would pass for the answer to the next request. Where so many of one worker rest,
# whichever has rested for longest serves after the least time, or a busy gatekeeper would open connections
# without end.
REST_MS, LEAST_REST_MS, MOST_RESTING = 20.0, 2.0, 8
MOST_LOAD = 1e6  # a field of a load report beyond that, or below nothing, is no report
MOST_DIGITS, MOST_ANSWER = 15, 256 * 1024 * 1024  # of a length; bytes of an answer
WHOLE_WRITE = 8 * 1024  # a request up to this size fits the empty buffer of any socket

log = logging.getLogger(__name__)
_decode = json.JSONDecoder().decode

Done = Callable[["Attempt", AttemptResult, bytes, bytes, tuple[float, ...]], None]


class Reader(Protocol):
    """Who takes an answer that goes on while it comes."""

    def write_chunk(self, data: bytes) -> None:
        """Some more of the body."""

    def finish_response(self) -> None:
        """That was all."""

    def abort_response(self) -> None:
        """The rest will not come."""


class Attempt:
    """One request on its way to one worker; ends once, with `done(attempt, result, body, type, load)`.

    `head` and `body`: of its message, whose last header tells what is left until `due_ms` when its first byte
    leaves; but `allow_ms` at most, which is all that a body which still comes has been given.
    `stream`: a body that follows the message while it comes. `begins(attempt, length, type)` is asked when an
    answer begins that is too large to be kept; it gives who reads it, or None if nobody wants it any more.
    `flows(attempt)` is told when the first byte of a stream goes out: it is not kept."""

    __slots__ = (
        "request_id",
        "number",
        "worker",
        "head",
        "body",
        "started_ms",
        "done",
        "connection",
        "dial",
        "timer",
        "dial_timer",
        "stream",
        "begins",
        "reader",
        "is_head",
        "allow_ms",
        "first_ms",
        "moved_ms",
        "flows",
        "until_ms",
        "due_ms",
    )

    def __init__(
        self,
        request_id: int,
        number: int,
        worker: str,
        head: bytes,
        body: bytes,
        allow_ms: float,
        due_ms: float,
        done: Done,
        stream: Body | None = None,
        is_head: bool = False,
        begins: Callable[[Attempt, int, bytes], Reader | None] | None = None,
        flows: Callable[[Attempt], None] | None = None,
    ) -> None:
        self.request_id, self.number, self.worker = request_id, number, worker
        self.head, self.body, self.allow_ms, self.due_ms = head, body, allow_ms, due_ms
        self.stream, self.begins, self.is_head, self.flows = stream, begins, is_head, flows
        self.reader: Reader | None = None
        self.first_ms = self.moved_ms = 0.0  # first_ms: when a streamed answer began
        self.done: Done | None = done
        self.started_ms = 0.0
        self.until_ms = math.inf  # its first byte leaves by then, or never
        self.connection: WorkerConnection | None = None
        self.dial: asyncio.Task[Any] | None = None
        self.timer: Timer | None = None
        self.dial_timer: Timer | None = None

    def end(
        self, result: AttemptResult, body: bytes = b"", kind: bytes = b"", load: tuple[float, ...] = ()
    ) -> None:
        """Tell the outcome, once, and give up what the attempt still holds."""
        done, self.done = self.done, None
        if done is None:
            return
        for timer in (self.timer, self.dial_timer):
            if timer is not None:
                timer.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if self.connection is not None:  # no whole answer has come: the worker learns by the end of it
            self.connection.abandon()
        reader, self.reader = self.reader, None
        if reader is not None and result is not AttemptResult.OK:
            reader.abort_response()
        done(self, result, body, kind, load)


class WorkerConnection:
    """One connection to a worker, which carries one attempt at a time. An asyncio.Protocol by its methods:
    compiled classes have no parents that are not."""

    def __init__(self, pool: Workers, worker: Worker) -> None:
        self.pool, self.worker = pool, worker
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.closed = False
        self.unsent = False  # the last byte of the request has not been handed to the system
        self.full = False  # the loop holds more for the socket than the high water mark; it tells when not
        self.parser: Any = None
        self.head_size = self.status = 0
        self.stream: Body | None = None  # the request's body, while it comes
        self._clear()

    def _is_busy(self) -> bool:
        return self.attempt is not None

    def _clear(self) -> None:
        self.in_head, self.complete, self.excess, self.too_large = True, False, False, False
        self.body: list[bytes] = []
        self.body_size = 0
        self.kind = self.load = b""
        self.not_run = self.keep = self.chunked = False
        self.length = -1  # of the body, as the head tells it
        self.until_close = False  # only the end of the connection tells it

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        # Only what may not fit the socket at once is watched: see pause_writing.
        transport.set_write_buffer_limits(high=WHOLE_WRITE)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """A large request is not out: should the connection break now, the worker never had it whole."""
        self.unsent = self.full = True
        stream = self.stream
        if stream is not None:
            stream.hold()

    def resume_writing(self) -> None:
        stream, self.full = self.stream, False
        self.unsent = stream is not None and not stream.whole
        if stream is not None:
            stream.moved_ms = self.pool.now()
            stream.go_on()

    # -- a request's body that goes on while it comes

    def part(self, data: bytes) -> None:
        """Some more of it."""
        transport = self.transport
        if transport is None or self.closed:
            return
        stream = self.stream
        if stream is not None and stream.length < 0:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        transport.write(data)

    def finish(self) -> None:
        """All of it has been written.

        Danger: what the loop still holds leaves with its next turn, and no callback tells it. Only while the
        buffer is full, which its draining would tell, is the last byte surely here. Seen: a request of which
        all had come to its worker was refused, as one that had never left."""
        stream, transport, attempt = self.stream, self.transport, self.attempt
        if stream is None or transport is None or attempt is None or self.closed:
            return
        if stream.length < 0:
            transport.write(b"0\r\n\r\n")
        self.unsent = self.full
        self.pool.sent(attempt)

    # -- an answer's body that goes on while it comes: its reader

    def pause(self) -> None:
        if self.transport is not None and not self.closed:
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.attempt is None or self.closed:
            self.abandon()  # nothing was asked: what comes now belongs to no request
            return
        if self.in_head:
            self.head_size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                self._fault(AttemptResult.ERROR)
                return
            self.excess = True
        if not self._is_busy():  # it has been taken back while it was read
            return
        if self.complete and not self.too_large:
            self._answered()
        elif self.too_large or self.in_head and self.head_size > MAX_HEAD:
            self._fault(AttemptResult.ERROR)

    def eof_received(self) -> None:
        """A worker that ends its sending has closed: so does the transport. An answer that has neither a
        length nor chunks is whole then; a process that dies resets its connections."""
        if (
            self.until_close
            and self.attempt is not None
            and not self.complete
            and not self.closed
            and (not self.pool.was_reset(self.transport))
        ):
            self.complete, self.keep, self.status = True, False, self.parser.get_status_code()
            self._answered()

    def connection_lost(self, _problem: Exception | None) -> None:
        self.parser = None  # it holds this connection: the two would wait for the collector
        self._leave()
        if self._is_busy():
            self._fault(AttemptResult.CONNECT_FAILED if self.unsent else AttemptResult.RESET)

    # -- the parser's callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete or not self.in_head:  # of what comes behind, or a trailer
            return
        if len(name) in (6, 9, 12, 14):
            name, value = name.lower(), value.strip(b" \t")  # blanks are none of it (RFC 9110, 5.5)
            if name == b"x-load":
                self.load = value
            elif name == b"x-not-run":
                self.not_run = value == b"1"
            elif name == b"content-type":
                self.kind = value
            elif name == b"content-length":
                self.too_large = (
                    not value.isdigit()
                    or len(value) > MOST_DIGITS
                    or int(value) > MOST_ANSWER
                    or self.length >= 0
                )
                self.length = -1 if self.too_large else int(value)
        elif len(name) == 17 and name.lower() == b"transfer-encoding":
            self.chunked = True

    def on_headers_complete(self) -> None:
        attempt = self.attempt
        if self.complete or attempt is None:
            return
        self.in_head = False
        status = self.parser.get_status_code()
        if status < 200:
            return
        if attempt.is_head and not self.complete:  # the parser waits for a body that will not come
            self.complete, self.status, self.keep = True, status, False
            return
        self.until_close = not self.chunked and self.length < 0 and status not in (204, 304)
        if status == 200 and self.length > WHOLE:
            self._begin()

    def on_body(self, part: bytes) -> None:
        attempt = self.attempt
        if self.complete or self.too_large or attempt is None:
            return
        self.body_size += len(part)
        if attempt.reader is not None:
            attempt.moved_ms = self.pool.now()
            attempt.reader.write_chunk(part)
            return
        self.body.append(part)
        if self.body_size > WHOLE:
            if self.parser.get_status_code() != 200:
                self.too_large = True  # an error's body is of no use to anyone
            else:
                self._begin()

    def _begin(self) -> None:
        """The answer is too large to be kept: from here on it goes to its client while it comes."""
        attempt = self.attempt
        if attempt is None or attempt.reader is not None:
            return
        now = self.pool.now()
        reader = attempt.begins(attempt, self.length, self.kind) if attempt.begins is not None else None
        if reader is None:
            self.too_large = True
            return
        attempt.reader, attempt.first_ms, attempt.moved_ms = reader, now, now
        if attempt.timer is not None:  # from here on only a stall ends it
            attempt.timer.cancel()
        body, self.body = self.body, []
        for part in body:
            reader.write_chunk(part)

    def on_message_begin(self) -> None:
        self.excess = self.complete  # a second answer where one was asked for

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            self._clear()  # an interim answer; the real one follows. All of them share one limit on the head
        elif not self.excess:
            self.complete = True
            self.status = self.parser.get_status_code()  # later it would be that of what comes behind
            # Asked any later, the parser has forgotten the length and takes every answer for the last.
            self.keep = self.parser.should_keep_alive()

    def is_quiet(self) -> bool:
        """Whether nothing waits on the connection: bytes, or its end. The loop may not have read them yet,
        and once a request is out they would be taken for its answer, or for a reset that may have run."""
        return self.pool.looks_quiet(self.transport)

    # -- one attempt

    def carry(self, attempt: Attempt) -> None:
        """Write the request of the attempt, in one piece."""
        self._clear()
        self.head_size = 0
        self.parser = httptools.HttpResponseParser(self)
        self.attempt, attempt.connection = attempt, self
        stream = self.stream = attempt.stream
        self.unsent = stream is not None
        # Danger: counted any earlier, it is too much by what a late connection took.
        left_ms = min(attempt.allow_ms, attempt.due_ms - self.pool.now())
        self.transport.write(message_of(attempt.head, left_ms, attempt.body))  # type: ignore[union-attr]
        if stream is not None:
            self.transport.set_write_buffer_limits(high=stream.mark)  # type: ignore[union-attr]
            if attempt.flows is not None:
                attempt.flows(attempt)
            stream.give_to(self)

    def _answered(self) -> None:
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        attempt.connection = None
        status, load = self.status, self.pool.load_from(self.load)
        body = self.body[0] if len(self.body) == 1 else b"".join(self.body)
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.drop_taker(self)
        if self.excess or not self.keep or stream is not None:
            self.abandon()
        else:
            self.pool.put_back(self)
        if status == 200:
            reader = attempt.reader
            if reader is not None:
                reader.finish_response()
            elif attempt.is_head:
                body = b"%d" % max(0, self.length)  # what it would be long
            attempt.end(AttemptResult.OK, body, self.kind, load)
        elif status in (503, 504) and self.not_run:
            attempt.end(AttemptResult.REJECTED_BY_WORKER, load=load)
        else:  # also a 503 or 504 that does not say so: it may have run
            attempt.end(AttemptResult.ERROR, load=load)

    def _fault(self, result: AttemptResult) -> None:
        attempt, self.attempt = self.attempt, None
        self.abandon()
        if attempt is not None:
            attempt.connection = None
            attempt.end(result)

    def abandon(self) -> None:
        """Close at once, whatever is still to come on it."""
        self.attempt = None
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.drop_taker(self)
        self._leave()
        if self.transport is not None:
            self.transport.abort()

    def _leave(self) -> None:
        if not self.closed:
            self.closed = True
            self.pool.forget(self)


class Worker:
    """One process of a worker, as discovery lists it, with our connections to it."""

    __slots__ = ("entry", "idle", "connections", "dialling")

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.idle: list[WorkerConnection] = []  # the most recently used is last
        self.connections = 0  # open or being opened
        self.dialling: list[Attempt] = []

    def is_same_process(self, entry: WorkerEntry) -> bool:
        return self.entry.address == entry.address and self.entry.server.started_ms == entry.server.started_ms


class Workers:
    """The workers that discovery has named, by name."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        timers: Timers,
        *,
        idle_ms: float,
        dial_timeout_ms: float,
        max_connections: int,
        report_fields: tuple[str, ...],
        is_quiet: Callable[[Any], bool],
        budget: Budget,
        was_reset: Callable[[Any], bool] = lambda _transport: False,
    ) -> None:
        self._loop, self._clock, self._timers, self.looks_quiet = loop, clock, timers, is_quiet
        self._max, self.was_reset = max_connections, was_reset
        self.reconfigure(idle_ms, dial_timeout_ms, report_fields)
        self._known: dict[str, Worker] = {}
        self._connections = 0
        self.budget = budget
        timers.at(clock.now() + SWEEP_MS, self._sweep)

    def reconfigure(self, idle_ms: float, dial_timeout_ms: float, report_fields: tuple[str, ...]) -> None:
        """From now on go by these; a dial that has begun keeps its time."""
        self._idle_ms, self._dial_ms, self._fields = idle_ms * IDLE_PART, dial_timeout_ms, report_fields

    def connections(self) -> int:
        """How many there are, or are being made."""
        return self._connections

    def close_idle(self) -> None:
        """Close those on which nothing is out; none is kept from now on for longer than it takes."""
        for worker in self._known.values():
            while worker.idle:
                worker.idle[0].abandon()

    def limit(self, most: int) -> None:
        """From now on open no more connections than that; those that are idle go first."""
        self._max = most
        for worker in self._known.values():
            while worker.idle and self._connections > most:
                worker.idle[0].abandon()

    def unused_connections(self) -> int:
        """How many more connections may be made."""
        return self._max - self._connections

    # -- discovery

    def update(self, news: WorkerList) -> list[WorkerEntry]:
        """Take in a list. What left service or runs anew loses its idle connections and waiting attempts.

        The answer is those that are gone though the list does not say so yet: a new worker has their address,
        and what was sent to them would come to it, cold as it is."""
        if news.complete:
            listed = {entry.server.id for entry in news.entries}
            for name in [name for name in self._known if name not in listed]:
                self._retire(self._known.pop(name))
        for entry in news.entries:
            name = entry.server.id
            worker = self._known.get(name)
            if worker is not None and (
                entry.server.state is not EndpointState.READY or not worker.is_same_process(entry)
            ):
                self._retire(self._known.pop(name))
                worker = None
            if worker is not None:
                worker.entry = entry
            elif entry.server.state is EndpointState.READY:
                self._known[name] = Worker(entry)
        heirs = {
            entry.address: entry.server for entry in news.entries if entry.server.state is EndpointState.READY
        }
        displaced = []
        for name, worker in list(self._known.items()):
            heir = heirs.get(worker.entry.address)
            if heir is not None and heir.id != name and heir.started_ms >= worker.entry.server.started_ms:
                self._retire(self._known.pop(name))
                displaced.append(worker.entry)
        return displaced

    def _retire(self, worker: Worker) -> None:
        """Nothing new goes there. What is on its way may still be answered."""
        for connection in list(worker.idle):
            connection.abandon()
        for attempt in list(worker.dialling):  # not a byte of these was written
            attempt.end(AttemptResult.CONNECT_FAILED)

    def serves(self, worker: Worker) -> bool:
        return self._known.get(worker.entry.server.id) is worker

    # -- attempts

    def _may_leave(self, worker: Worker, attempt: Attempt) -> bool:
        """Whether its bytes may go out now. Danger: between the choice and this moment lie a connection that
        comes up late, a stalled loop, word of a drain, the end of its request. Seen: a keyed request went
        out again 0.25 s after it was chosen to, when its group had forgotten the first."""
        now = self._clock.now()
        return (
            attempt.done is not None
            and self.serves(worker)
            and now <= attempt.until_ms
            and now < attempt.due_ms
        )

    def start(self, attempt: Attempt) -> None:
        """Send on a kept connection, or on a new one. The outcome never comes before this returns."""
        now = attempt.started_ms = self._clock.now()
        if attempt.stream is None:  # else its time begins with the last byte: see `sent`
            attempt.timer = self._timers.at(attempt.due_ms, lambda: attempt.end(AttemptResult.TIMEOUT))
        worker = self._known.get(attempt.worker)
        kept = self._kept(worker, now) if worker is not None and self._may_leave(worker, attempt) else None
        if kept is not None:
            kept.carry(attempt)
        elif (
            worker is None
            or not self._may_leave(worker, attempt)
            or (worker.connections >= MAX_PER_WORKER or self._connections >= self._max)
        ):
            self._loop.call_soon(attempt.end, AttemptResult.CONNECT_FAILED)
        else:
            worker.connections += 1
            self._connections += 1
            worker.dialling.append(attempt)
            attempt.dial_timer = self._timers.at(
                now + self._dial_ms, lambda: attempt.end(AttemptResult.CONNECT_FAILED)
            )
            connection = WorkerConnection(self, worker)
            attempt.dial = self._loop.create_task(
                self._loop.create_connection(lambda: connection, *worker.entry.address)
            )
            attempt.dial.add_done_callback(functools.partial(self._dialled, worker, attempt, connection))

    def now(self) -> float:
        return self._clock.now()

    def sent(self, attempt: Attempt) -> None:
        """The last byte of a request that went on while it came has been written."""
        now = attempt.started_ms = self._clock.now()
        if attempt.done is not None and attempt.reader is None:
            attempt.timer = self._timers.at(
                now + attempt.allow_ms, lambda: attempt.end(AttemptResult.TIMEOUT)
            )

    def _kept(self, worker: Worker, now: float) -> WorkerConnection | None:
        """The kept connection used last that has rested and on which nothing waits. Where something does, it
        is closed."""
        rested = [one for one in reversed(worker.idle) if now - one.idle_since_ms >= REST_MS]
        if not rested and len(worker.idle) >= MOST_RESTING:
            rested = [one for one in worker.idle if now - one.idle_since_ms >= LEAST_REST_MS]
        for connection in rested:
            if connection.is_quiet():
                worker.idle.remove(connection)
                return connection
            connection.abandon()
        return None

    def _dialled(
        self, worker: Worker, attempt: Attempt, connection: WorkerConnection, dial: asyncio.Task[Any]
    ) -> None:
        """A connection has come up, or has not. Called for a cancelled task too, even one never begun."""
        worker.dialling.remove(attempt)
        attempt.dial = None
        problem = None if dial.cancelled() else dial.exception()
        if problem is not None and not isinstance(problem, OSError):
            log.error("connecting to %s failed", worker.entry.address, exc_info=problem)
        if attempt.dial_timer is not None:
            attempt.dial_timer.cancel()
        usable = not dial.cancelled() and problem is None and not connection.closed
        if usable and self._may_leave(worker, attempt):
            connection.carry(attempt)
        else:  # nothing was written, and nothing may be any more
            connection.abandon()
            attempt.end(AttemptResult.CONNECT_FAILED)

    # -- connections

    def put_back(self, connection: WorkerConnection) -> None:
        worker = connection.worker
        if connection.closed or not self.serves(worker) or len(worker.idle) >= MAX_IDLE:
            connection.abandon()
            return
        connection.idle_since_ms = self._clock.now()
        worker.idle.append(connection)

    def forget(self, connection: WorkerConnection) -> None:
        """The connection has ended, or never came up."""
        worker = connection.worker
        worker.connections -= 1
        self._connections -= 1
        if connection in worker.idle:
            worker.idle.remove(connection)

    def _sweep(self) -> None:
        """Close what has been idle for long, before the worker does: that could cross a request."""
        now = self._clock.now()
        self._timers.at(now + SWEEP_MS, self._sweep)
        for worker in self._known.values():
            while worker.idle and now - worker.idle[0].idle_since_ms > self._idle_ms - SWEEP_MS:
                worker.idle[0].abandon()

    def load_from(self, text: bytes) -> tuple[float, ...]:
        """The load report in an answer's header; nothing where it lacks a field or cannot be read."""
        if not text or not self._fields:
            return ()
        try:
            report = _decode(text.decode())  # by itself, json.loads first finds out the encoding of bytes
            values = tuple(float(report[field]) for field in self._fields)
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            return ()
        return values if all(math.isfinite(value) and 0 <= value <= MOST_LOAD for value in values) else ()
