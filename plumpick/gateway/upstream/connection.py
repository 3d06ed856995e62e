"""A connection to a worker: writes one attempt's request at a time and reads its response.

Every fault of a worker or of its connection becomes the AttemptResult of the attempt that is on it; nothing
is raised, and nothing is sent twice. What the result must get right is whether the request may have been
executed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import httptools

from plumpick.gateway.config import WorkerEntry
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.request_encoding import encode_message
from plumpick.gateway.upstream.streaming_body import MAX_BUFFERED_BODY_BYTES, StreamingBody
from plumpick.policy.events import AttemptResult

MAX_HEAD_BYTES = 16 * 1024  # of a response, its interim ones included
MAX_LENGTH_DIGITS = 15
MAX_RESPONSE_BYTES = 256 * 1024 * 1024
WRITE_BUFFER_BYTES = 8 * 1024  # a request up to this size fits the empty buffer of any socket


class ConnectionOwner:
    """What a connection asks of its pool, which derives from this class."""

    is_transport_quiet: Callable[[Any], bool]  # whether neither bytes nor an end wait unread
    was_transport_reset: Callable[[Any], bool]

    def now(self) -> float:
        """The time in ms."""
        raise NotImplementedError

    def on_request_written(self, attempt: Attempt) -> None:
        """The last byte of a streamed request has been written."""
        raise NotImplementedError

    def parse_load_report(self, text: bytes) -> tuple[float, ...]:
        """The load report in a response's header; empty where there is none."""
        raise NotImplementedError

    def release(self, connection: WorkerConnection) -> None:
        """A complete response has come: the connection may serve another attempt."""
        raise NotImplementedError

    def on_closed(self, connection: WorkerConnection) -> None:
        """The connection has ended, or never came up."""
        raise NotImplementedError


class Worker:
    """One process of a worker, as discovery lists it, with the connections to it."""

    __slots__ = ("entry", "idle", "connection_count", "connecting")

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.idle: list[WorkerConnection] = []  # the most recently used is last
        self.connection_count = 0  # open or being opened
        self.connecting: list[Attempt] = []  # that wait for a connection to come up

    def is_same_process(self, entry: WorkerEntry) -> bool:
        """Whether an entry of a later list is this process, and not one that replaced it."""
        return self.entry.address == entry.address and self.entry.server.started_ms == entry.server.started_ms


class WorkerConnection:
    """One connection to a worker, which carries one attempt at a time. An asyncio.Protocol by its methods:
    compiled classes have no parents that are not."""

    def __init__(self, pool: ConnectionOwner, worker: Worker) -> None:
        self.pool = pool
        self.worker = worker
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.is_closed = False
        self.has_unsent_bytes = False  # the last byte of the request has not been handed to the kernel
        self.is_write_buffer_full = False  # above the high water mark; the loop calls when it is below
        self.parser: Any = None
        self.head_bytes = 0
        self.status = 0
        self.stream: StreamingBody | None = None  # the request's body, while it arrives
        self._reset_response()

    def _is_busy(self) -> bool:
        return self.attempt is not None

    def _reset_response(self) -> None:
        self.is_in_head = True
        self.is_response_complete = False
        self.has_excess = False  # more has come than one response
        self.is_invalid = False  # too large, or with a length that cannot be
        self.chunks: list[bytes] = []
        self.body_bytes = 0
        self.content_type = b""
        self.load_text = b""
        self.says_not_executed = False
        self.may_reuse = False
        self.is_chunked = False
        self.content_length = -1  # as the head tells it
        self.ends_at_close = False  # only the end of the connection ends the body

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = transport  # type: ignore[assignment]
        # Only what may not fit the socket at once is watched: see pause_writing.
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """A large request has not left yet: should the connection break now, the worker never had all of
        it."""
        self.has_unsent_bytes = True
        self.is_write_buffer_full = True
        stream = self.stream
        if stream is not None:
            stream.pause()

    def resume_writing(self) -> None:
        """The write buffer has room again."""
        stream = self.stream
        self.is_write_buffer_full = False
        self.has_unsent_bytes = stream is not None and not stream.is_complete
        if stream is not None:
            stream.last_progress_ms = self.pool.now()
            stream.resume()

    # -- a streamed request: the BodySink of its body

    def write_chunk(self, data: bytes) -> None:
        """The next bytes of the request's body."""
        transport = self.transport
        if transport is None or self.is_closed:
            return
        stream = self.stream
        if stream is not None and stream.length < 0:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        transport.write(data)

    def finish(self) -> None:
        """All of the request's body has been written.

        What the loop still buffers leaves with its next turn, and no callback tells it. Only while the buffer
        is full, which its draining would tell, is the last byte surely here; otherwise the worker may have
        the complete request."""
        stream = self.stream
        transport = self.transport
        attempt = self.attempt
        if stream is None or transport is None or attempt is None or self.is_closed:
            return
        if stream.length < 0:
            transport.write(b"0\r\n\r\n")
        self.has_unsent_bytes = self.is_write_buffer_full
        self.pool.on_request_written(attempt)

    # -- a streamed response: the PausableSource of its body

    def pause(self) -> None:
        """Read no more of the response for now."""
        if self.transport is not None and not self.is_closed:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.transport is not None and not self.is_closed:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Bytes of a response have come."""
        if self.attempt is None or self.is_closed:
            self.abort()  # no request is open: these bytes belong to none
            return
        if self.is_in_head:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.is_response_complete:
                self._fail(AttemptResult.ERROR)
                return
            self.has_excess = True
        if not self._is_busy():  # the attempt was cancelled while its response was read
            return
        if self.is_response_complete and not self.is_invalid:
            self._complete()
        elif self.is_invalid or self.is_in_head and self.head_bytes > MAX_HEAD_BYTES:
            self._fail(AttemptResult.ERROR)

    def eof_received(self) -> None:
        """A worker that ends its sending has closed, and so does the transport. A response that has neither a
        length nor chunks is complete then; a process that dies resets its connections."""
        if not self.ends_at_close or self.attempt is None or self.is_response_complete or self.is_closed:
            return
        if self.pool.was_transport_reset(self.transport):
            return
        self.is_response_complete = True
        self.may_reuse = False
        self.status = self.parser.get_status_code()
        self._complete()

    def connection_lost(self, _problem: Exception | None) -> None:
        """The connection has ended, by whomever."""
        self.parser = None  # it refers to this connection: the two would wait for the garbage collector
        self._mark_closed()
        if self._is_busy():
            self._fail(AttemptResult.CONNECT_FAILED if self.has_unsent_bytes else AttemptResult.RESET)

    # -- the parser's callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header of the response, or a trailer."""
        if self.is_response_complete or not self.is_in_head:
            return
        if len(name) in (6, 9, 12, 14):
            name = name.lower()
            value = value.strip(b" \t")  # no part of it (RFC 9110, 5.5)
            if name == b"x-load":
                self.load_text = value
            elif name == b"x-not-run":
                self.says_not_executed = value == b"1"
            elif name == b"content-type":
                self.content_type = value
            elif name == b"content-length":
                self._read_content_length(value)
        elif len(name) == 17 and name.lower() == b"transfer-encoding":
            self.is_chunked = True

    def _read_content_length(self, value: bytes) -> None:
        self.is_invalid = (
            not value.isdigit()
            or len(value) > MAX_LENGTH_DIGITS
            or int(value) > MAX_RESPONSE_BYTES
            or self.content_length >= 0  # a second one
        )
        self.content_length = -1 if self.is_invalid else int(value)

    def on_headers_complete(self) -> None:
        """The head of a response, or of an interim one, is complete."""
        attempt = self.attempt
        if self.is_response_complete or attempt is None:
            return
        self.is_in_head = False
        status = self.parser.get_status_code()
        if status < 200:
            return
        if attempt.is_head and not self.is_response_complete:  # the parser waits for a body that won't come
            self.is_response_complete = True
            self.status = status
            self.may_reuse = False
            return
        self.ends_at_close = not self.is_chunked and self.content_length < 0 and status not in (204, 304)
        if status == 200 and self.content_length > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()

    def on_body(self, chunk: bytes) -> None:
        """The next bytes of the response's body."""
        attempt = self.attempt
        if self.is_response_complete or self.is_invalid or attempt is None:
            return
        self.body_bytes += len(chunk)
        if attempt.response_sink is not None:
            attempt.last_progress_ms = self.pool.now()
            attempt.response_sink.write_chunk(chunk)
            return
        self.chunks.append(chunk)
        if self.body_bytes > MAX_BUFFERED_BODY_BYTES:
            if self.parser.get_status_code() != 200:
                self.is_invalid = True  # an error's body is of no use to anyone
            else:
                self._start_streaming()

    def _start_streaming(self) -> None:
        """The response is too large to be buffered: from here on it goes to its client while it arrives."""
        attempt = self.attempt
        if attempt is None or attempt.response_sink is not None:
            return
        now = self.pool.now()
        sink = None
        if attempt.on_large_response is not None:
            sink = attempt.on_large_response(attempt, self.content_length, self.content_type)
        if sink is None:
            self.is_invalid = True
            return
        attempt.response_sink = sink
        attempt.response_started_ms = now
        attempt.last_progress_ms = now
        if attempt.timer is not None:  # from here on only a stall ends it
            attempt.timer.cancel()
        chunks = self.chunks
        self.chunks = []
        for chunk in chunks:
            sink.write_chunk(chunk)

    def on_message_begin(self) -> None:
        """A response begins; a second one to one request is excess."""
        self.has_excess = self.is_response_complete

    def on_message_complete(self) -> None:
        """A response, or an interim one, is complete."""
        if self.parser.get_status_code() < 200:
            self._reset_response()  # the final one follows; all of them share one limit on the head
        elif not self.has_excess:
            self.is_response_complete = True
            self.status = self.parser.get_status_code()  # later it would be that of the excess
            # Asked any later, the parser has forgotten the length and takes every response for the last.
            self.may_reuse = self.parser.should_keep_alive()

    def is_quiet(self) -> bool:
        """Whether nothing waits on the connection: bytes, or its end. The loop may not have read them yet,
        and once a request has left they would pass for its response, or for a reset during its execution."""
        return self.pool.is_transport_quiet(self.transport)

    # -- one attempt

    def send(self, attempt: Attempt) -> None:
        """Write the request of the attempt, in one piece."""
        self._reset_response()
        self.head_bytes = 0
        self.parser = httptools.HttpResponseParser(self)
        self.attempt = attempt
        attempt.connection = self
        stream = attempt.stream
        self.stream = stream
        self.has_unsent_bytes = stream is not None
        # Only now: a connection that came up late took some of the time.
        left_ms = min(attempt.timeout_ms, attempt.deadline_ms - self.pool.now())
        self.transport.write(encode_message(attempt.head, left_ms, attempt.body))  # type: ignore[union-attr]
        if stream is not None:
            self.transport.set_write_buffer_limits(high=stream.high_water_bytes)  # type: ignore[union-attr]
            if attempt.on_stream_started is not None:
                attempt.on_stream_started(attempt)
            stream.forward_to(self)

    def _complete(self) -> None:
        """The response is complete: release the connection, then end the attempt."""
        attempt = self.attempt
        self.attempt = None
        assert attempt is not None
        attempt.connection = None
        status = self.status
        load_report = self.pool.parse_load_report(self.load_text)
        body = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        stream = self.stream
        self.stream = None
        if stream is not None:
            stream.detach(self)
        if self.has_excess or not self.may_reuse or stream is not None:
            self.abort()
        else:
            self.pool.release(self)
        if status == 200:
            sink = attempt.response_sink
            if sink is not None:
                sink.finish_response()
            elif attempt.is_head:
                body = b"%d" % max(0, self.content_length)  # the length that a GET would have
            attempt.end(AttemptResult.OK, body, self.content_type, load_report)
        elif status in (503, 504) and self.says_not_executed:
            attempt.end(AttemptResult.REJECTED_BY_WORKER, load_report=load_report)
        else:  # also a 503 or 504 that does not say so: it may have been executed
            attempt.end(AttemptResult.ERROR, load_report=load_report)

    def _fail(self, result: AttemptResult) -> None:
        attempt = self.attempt
        self.attempt = None
        self.abort()
        if attempt is not None:
            attempt.connection = None
            attempt.end(result)

    def abort(self) -> None:
        """Close at once, whatever is still to come on it."""
        self.attempt = None
        stream = self.stream
        self.stream = None
        if stream is not None:
            stream.detach(self)
        self._mark_closed()
        if self.transport is not None:
            self.transport.abort()

    def _mark_closed(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.pool.on_closed(self)
