"""A connection to a worker: writes the request of one attempt at a time and reads its response.

Every fault of a worker or its connection is reported as the AttemptResult of the attempt that the connection
carries. No method raises, and no request is sent twice. The result must state correctly whether the worker
may have executed the request."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import httptools

from plumpick.gateway.config import WorkerEntry
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.buffered_response import BufferedResponse
from plumpick.gateway.upstream.connection_owner import ConnectionOwner
from plumpick.gateway.upstream.request_encoding import encode_message
from plumpick.gateway.upstream.response_head import ResponseHead
from plumpick.gateway.upstream.streaming_body import MAX_BUFFERED_BODY_BYTES, StreamingBody
from plumpick.policy.events import AttemptResult

MAX_HEAD_BYTES = 16 * 1024  # maximum size of a response's head together with interim responses
WRITE_BUFFER_BYTES = 8 * 1024  # size of a request that fits the empty send buffer of any socket


class Worker:
    """One incarnation of a worker, as listed by discovery, and the connections to it."""

    __slots__ = ("entry", "idle", "connection_count", "connecting", "last_excess_ms")

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.idle: list[WorkerConnection] = []  # idle connections, the most recently used last
        self.connection_count = 0  # number of connections that are open or being opened
        self.connecting: list[Attempt] = []  # attempts that wait for their connection to be established
        self.last_excess_ms = -math.inf  # time at which bytes were last received that belong to no response

    def is_same_incarnation(self, entry: WorkerEntry) -> bool:
        """Whether an entry of a later list denotes this incarnation of the worker, not its replacement."""
        return self.entry.address == entry.address and self.entry.server.started_ms == entry.server.started_ms


class WorkerConnection:
    """One connection to a worker, which carries one attempt at a time. It has the methods of
    asyncio.BufferedProtocol but does not derive from it, since a compiled class cannot have an uncompiled
    base class."""

    def __init__(self, pool: ConnectionOwner, worker: Worker) -> None:
        self.pool = pool
        self.worker = worker
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.is_closed = False
        self.has_unsent_bytes = False  # whether the last byte of the request is not with the kernel yet
        self.is_write_buffer_full = False  # whether the event loop has called pause_writing
        self.is_reading_paused = False  # whether the response is not read, as its client takes nothing
        self.parser: Any = None
        self.head_bytes = 0
        self.head = ResponseHead()
        self.buffered = BufferedResponse(pool.memory)
        self.is_waiting_for_memory = False  # whether the response is not read until there is memory for it
        self.status = 0
        self.stream: StreamingBody | None = None  # request body being forwarded while it is received
        self._reset_response()

    def _is_busy(self) -> bool:
        return self.attempt is not None

    def _reset_response(self) -> None:
        self.is_in_head = True
        self.is_response_complete = False
        self.has_excess = False  # whether bytes were received after the end of the response
        self.is_invalid = False  # whether the response is too large or its length is malformed
        self.buffered.clear()
        self.body_bytes = 0
        self.head.reset()
        self.may_reuse = False
        self.ends_at_close = False  # whether only the close of the connection ends the body

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the established connection."""
        self.transport = transport  # type: ignore[assignment]
        # Requests up to this size fit the socket at once; for larger ones pause_writing is called.
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """Note that part of a large request is still unsent: if the connection breaks now, the worker cannot
        have received the whole request."""
        self.has_unsent_bytes = True
        self.is_write_buffer_full = True
        stream = self.stream
        if stream is not None:
            stream.pause()

    def resume_writing(self) -> None:
        """Resume the source of a streamed request body: the write buffer has room again."""
        stream = self.stream
        self.is_write_buffer_full = False
        self.has_unsent_bytes = stream is not None and not stream.is_complete
        if stream is not None:
            stream.resume()

    # -- streamed request: methods of BodySink

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of the streamed request body."""
        transport = self.transport
        if transport is None or self.is_closed:
            return
        stream = self.stream
        if stream is not None and stream.length < 0:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        transport.write(data)

    def finish(self) -> None:
        """End the streamed request body.

        The event loop sends buffered bytes in its next iteration without a callback. Only while the buffer is
        full (resume_writing has not been called) is the last byte certainly unsent. Otherwise the worker may
        have received the complete request."""
        stream = self.stream
        transport = self.transport
        attempt = self.attempt
        if stream is None or transport is None or attempt is None or self.is_closed:
            return
        if stream.length < 0:
            transport.write(b"0\r\n\r\n")
        self.has_unsent_bytes = self.is_write_buffer_full
        self.pool.on_request_written(attempt)

    # -- streamed response: methods of PausableSource

    def pause(self) -> None:
        """Stop reading the response."""
        if self.transport is not None and not self.is_closed:
            self.is_reading_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Continue reading the response."""
        attempt = self.attempt
        if attempt is not None:
            attempt.last_progress_ms = self.pool.now()  # the worker could not send before
        if self.transport is not None and not self.is_closed:
            self.is_reading_paused = False
            self.transport.resume_reading()

    def missing_response_bytes(self) -> int:
        """Return the number of bytes of the response body that have not been received; -1 if unknown."""
        return self.head.content_length - self.body_bytes if self.head.content_length >= 0 else -1

    def get_buffer(self, _size_hint: int) -> Any:
        """Return the buffer for the next read."""
        if self.head.is_chunked and not self.is_in_head:
            return self.pool.read_buffer.view_chunked()
        return self.pool.read_buffer.view(self.buffered.free_bytes())

    def buffer_updated(self, size: int) -> None:
        """Process the `size` bytes that were read into the buffer."""
        buffer = self.pool.read_buffer
        is_filled = buffer.is_filled_by(size)
        self.data_received(buffer.take(size))
        if is_filled and self._may_read():
            buffer.yield_reading(self.transport, self._may_read)  # type: ignore[arg-type]

    def _may_read(self) -> bool:
        """Whether neither flow control nor the end of the connection forbids reading."""
        if self.transport is None or self.is_closed:
            return False
        return not self.is_reading_paused and not self.is_waiting_for_memory

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; ends the attempt once its response is complete or invalid."""
        if self.attempt is None or self.is_closed:
            if not self.is_closed:
                self.worker.last_excess_ms = self.pool.now()
            self.abort()  # bytes without an open request belong to no response
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
        self._forward_chunks()
        if not self._is_busy():  # the attempt was cancelled while its response was being parsed
            return
        if self.is_response_complete and not self.is_invalid:
            self._complete()
        elif self.is_invalid or self.is_in_head and self.head_bytes > MAX_HEAD_BYTES:
            self._fail(AttemptResult.ERROR)
        elif len(self.buffered) and not self.buffered.reserve(self.head.content_length):
            self._wait_for_memory()

    # -- memory of a buffered response

    def _wait_for_memory(self) -> None:
        """Read no more of the response until there is memory for all of it."""
        self.is_waiting_for_memory = True
        self.transport.pause_reading()  # type: ignore[union-attr]
        self.pool.memory.wait_for_response(self)

    def take_memory(self) -> bool:
        """Count the memory of the response and read it, or return False if there is still too little."""
        if not self.buffered.reserve(self.head.content_length):
            return False
        self._read_on()
        return True

    def _read_on(self) -> None:
        self.is_waiting_for_memory = False
        if self.transport is not None and not self.is_closed:
            self.transport.resume_reading()

    def _stop_waiting(self) -> None:
        if self.is_waiting_for_memory:
            self.is_waiting_for_memory = False
            self.pool.memory.stop_waiting(self)

    def eof_received(self) -> None:
        """Handle the end of the worker's sending, after which the transport closes. It completes a response
        that has neither a length nor chunks, unless the connection was reset, as a dying process does."""
        if not self.ends_at_close or self.attempt is None or self.is_response_complete or self.is_closed:
            return
        if self.pool.was_transport_reset(self.transport):
            return
        self.is_response_complete = True
        self.may_reuse = False
        self.status = self.parser.get_status_code()
        self._complete()

    def connection_lost(self, _problem: Exception | None) -> None:
        """Fail the current attempt, if any: the connection has been closed by either side."""
        self.parser = None  # breaks a reference cycle, which would wait for the garbage collector
        self._mark_closed()
        if self._is_busy():
            self._fail(AttemptResult.CONNECT_FAILED if self.has_unsent_bytes else AttemptResult.RESET)

    # -- the parser's callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: read the headers used here; trailers are ignored."""
        if self.is_response_complete or not self.is_in_head:
            return
        self.head.read_field(name, value)
        self.is_invalid = self.head.is_invalid

    def on_headers_complete(self) -> None:
        """Parser callback: the head of a final or interim response is complete. Determine how the body ends,
        and start to stream it if it is too large to be buffered."""
        attempt = self.attempt
        if self.is_response_complete or attempt is None:
            return
        self.is_in_head = False
        status = self.parser.get_status_code()
        if status < 200:
            return
        # After the head of a response to HEAD no body follows, but the parser expects one.
        if attempt.is_head and not self.is_response_complete:
            self.is_response_complete = True
            self.status = status
            self.may_reuse = False
            return
        self.ends_at_close = (
            not self.head.is_chunked and self.head.content_length < 0 and status not in (204, 304)
        )
        if status == 200 and self.head.content_length > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()

    def on_body(self, chunk: bytes) -> None:
        """Parser callback: buffer or forward the next bytes of the response body."""
        attempt = self.attempt
        if self.is_response_complete or self.is_invalid or attempt is None:
            return
        self.body_bytes += len(chunk)
        if self.parser.get_status_code() != 200:  # the body of an error is not forwarded
            self.is_invalid = self.body_bytes > MAX_BUFFERED_BODY_BYTES
            return
        self.buffered.append(chunk)
        if attempt.response_sink is not None:
            return
        if self.body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()
        elif attempt.streaming_timer is None and self._is_of_unknown_length():
            self.pool.stream_before_deadline(attempt, self._stream_incomplete_response)

    def _is_of_unknown_length(self) -> bool:
        return self.head.content_length < 0 and bool(self.parser.get_status_code() == 200)

    def _stream_incomplete_response(self, attempt: Attempt) -> None:
        """Stream a response of unknown length that is still being received although its time is nearly over:
        it may be too large to be complete by then, and its first bytes are in time."""
        if self.attempt is not attempt or attempt.response_sink is not None:
            return
        was_waiting = self.is_waiting_for_memory
        self._stop_waiting()
        self._start_streaming()
        if self.is_invalid:
            self._fail(AttemptResult.ERROR)
        elif was_waiting and not self.is_reading_paused:
            self._read_on()

    def _start_streaming(self) -> None:
        """Forward a response that is too large to be buffered to its client while it is received."""
        attempt = self.attempt
        if attempt is None or attempt.response_sink is not None:
            return
        now = self.pool.now()
        sink = None
        if attempt.on_large_response is not None:
            sink = attempt.on_large_response(attempt, self.head.content_length, self.head.content_type)
        if sink is None:
            self.is_invalid = True
            return
        attempt.response_sink = sink
        attempt.response_started_ms = now
        attempt.last_progress_ms = now
        if attempt.timer is not None:  # from now on the attempt has no timeout, only stall detection
            attempt.timer.cancel()
        self._forward_chunks()

    def _forward_chunks(self) -> None:
        """Forward what has been received of a streamed response: in one piece, however small its chunks
        are."""
        attempt = self.attempt
        if attempt is None or attempt.response_sink is None or not len(self.buffered):
            return
        attempt.last_progress_ms = self.pool.now()
        attempt.response_sink.write_chunk(self.buffered.take())

    def on_message_begin(self) -> None:
        """Parser callback: a response begins. A second response to the same request is excess."""
        self.has_excess = self.is_response_complete

    def on_message_complete(self) -> None:
        """Parser callback: a final or interim response is complete."""
        if self.parser.get_status_code() < 200:
            # `head_bytes` is kept: one limit applies to the heads of interim and final response together.
            self._reset_response()
        elif not self.has_excess:
            self.is_response_complete = True
            self.status = self.parser.get_status_code()  # excess bytes would change it later
            # Only valid during this callback: later the parser has forgotten the length of the response.
            self.may_reuse = self.parser.should_keep_alive()

    def has_no_unread_input(self) -> bool:
        """Whether neither bytes nor a close wait unread in the kernel. After the next request is written they
        would be taken for its response, or for a reset during its execution."""
        return self.pool.has_no_unread_input(self.transport)

    # -- attempts on the connection

    def send(self, attempt: Attempt) -> None:
        """Write the request of the attempt; a streamed body is forwarded while it is received."""
        self._reset_response()
        self.head_bytes = 0
        self.parser = httptools.HttpResponseParser(self)
        self.attempt = attempt
        attempt.connection = self
        stream = attempt.stream
        self.stream = stream
        self.has_unsent_bytes = stream is not None
        # Computed at the time of the write, since establishing the connection took part of the time.
        left_ms = min(attempt.timeout_ms, attempt.deadline_ms - self.pool.now())
        message = encode_message(attempt.head, left_ms, attempt.body)
        # Written before this returns, not at the end of the event loop's iteration: until then the client
        # may leave and the time may pass.
        self.transport.set_write_buffer_limits(high=0)  # type: ignore[union-attr]
        self.transport.writelines(message)  # type: ignore[union-attr]
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)  # type: ignore[union-attr]
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
        load_report = self.pool.parse_load_report(self.head.load_text)
        body = self.buffered.take()
        stream = self.stream
        self.stream = None
        if stream is not None:
            stream.detach(self)
        if self.has_excess:
            self.worker.last_excess_ms = self.pool.now()
        if self.has_excess or not self.may_reuse or stream is not None:
            self.abort()
        else:
            if self.is_reading_paused:  # for a client whose buffer is still full
                self.resume()
            self.pool.release(self)
        if status == 200:
            sink = attempt.response_sink
            if sink is not None:
                sink.finish_response()
            elif attempt.is_head:
                body = b"%d" % max(0, self.head.content_length)  # Content-Length of the response to HEAD
            attempt.end(AttemptResult.OK, body, self.head.content_type, load_report)
        elif status in (503, 504) and self.head.is_marked_not_executed:
            attempt.end(AttemptResult.REJECTED_BY_WORKER, load_report=load_report)
        else:  # error response, also 503 or 504 without X-Not-Run: the request may have been executed
            attempt.end(AttemptResult.ERROR, load_report=load_report)

    def _fail(self, result: AttemptResult) -> None:
        attempt = self.attempt
        self.attempt = None
        self.abort()
        if attempt is not None:
            attempt.connection = None
            attempt.end(result)

    def abort(self) -> None:
        """Close the connection at once, without reporting a result for its attempt."""
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
            self._stop_waiting()
            self.buffered.clear()
            self.pool.on_closed(self)
