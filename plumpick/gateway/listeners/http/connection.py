"""A client's connection: the order of pipelined requests, suspension of reading, and closing.

An invalid request is answered with an error on the connection; no exception reaches the transport."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from plumpick.gateway.listeners.http.connection_state import ConnectionOwner
from plumpick.gateway.listeners.http.parsed_request import MAX_BUFFERED_BODY_BYTES, ParsedRequest
from plumpick.gateway.listeners.http.request_reader import RequestReader
from plumpick.gateway.listeners.http.response_writer import WRITE_BUFFER_BYTES
from plumpick.gateway.listeners.http.validation import BadRequestError
from plumpick.gateway.listeners.interface import ImmediateAnswer, RequestExpiredError

# After each bad request, reading from the connection pauses for a time that doubles from FIRST_PAUSE_MS.
FIRST_PAUSE_MS = 50.0
MAX_PAUSE_MS = 1000.0
MAX_PAUSE_DOUBLINGS = 10


class ClientConnection(RequestReader):
    """One connection of a client. It has the methods of asyncio.BufferedProtocol but does not derive from it,
    since a compiled class cannot have an uncompiled base class. Its requests are answered one at a time, in
    order of arrival. While a request is open, requests read together with it are queued and no further ones
    are read."""

    def __init__(self, listener: ConnectionOwner) -> None:
        super().__init__(listener)
        self.pauses = 0  # number of pauses after bad requests
        self.is_serving = False  # whether requests are being served in a turn

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with its listener."""
        self.transport = transport  # type: ignore[assignment]
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)  # type: ignore[attr-defined]
        self.listener.on_connected(self)

    def eof_received(self) -> None:
        """Treat the end of the client's sending as a disconnect: by returning None, close the connection."""

    def connection_lost(self, _problem: Exception | None) -> None:
        """Report the closed connection, and a request open on it, to the listener."""
        self.is_closing = True
        request = self.open_request
        self._drop_references()
        self.listener.on_disconnected(self, request)

    def _drop_references(self) -> None:
        """Drop what the closed connection refers to: objects that others still refer to must not keep each
        other alive, or the memory that its requests used."""
        self.parser = None
        self.transport = None
        self.response_source = None
        self.open_request = None
        self.is_waiting_for_turn = False
        self.listener.fair_queue.remove(self)
        self.drop_unserved_requests()
        self.release_request(self.current)
        self.count_unread(0)
        self.current = None
        self.stream_parts.clear()

    # -- serving of pipelined requests in order

    def serve_next(self) -> None:
        """Serve what was just read, as far as the share of this iteration of the event loop allows."""
        if self.is_waiting_for_turn:
            self.update_reading()
            return
        fair_queue = self.listener.fair_queue
        fair_queue.count_served_as_read(self._cost_of(self._serve(fair_queue.read_share())))

    def wait_for_turn(self) -> None:
        """Serve what was read when it is the connection's turn."""
        if self.transport is not None and not self.is_serving:
            self.is_waiting_for_turn = True
            self.listener.fair_queue.add(self)

    def serve_turn(self, max_requests: int) -> int:
        """Serve up to so many requests and return the cost in requests; read on if the connection closes."""
        self.is_waiting_for_turn = False
        has_yielded_reading = self.has_yielded_reading
        self.has_yielded_reading = False
        if not self.is_closing:
            cost = self._cost_of(self._serve(max_requests))
            return max(max_requests, cost) if has_yielded_reading else cost
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()  # what comes is discarded, one read in each turn
        return max_requests

    def _cost_of(self, served: int) -> int:
        """Return the cost of a turn in requests: those that were served, and chunks that were parsed."""
        cost = served + self.chunked_cost
        self.chunked_cost = 0
        return cost

    def _serve(self, max_requests: int) -> int:
        """Serve up to so many requests, until one is open, the connection closes, reading is paused or the
        client does not take the responses. Returns their number; the others wait for the next turn.

        While reading is suspended, a disconnect of the client is not read. So it is checked first, and the
        requests of a client that has disconnected are dropped."""
        if self.is_reading_suspended and self.has_queued_requests() and self.has_disconnected():
            self.abort()
            return 0
        served = 0
        self.is_serving = True
        try:
            while served < max_requests and self._has_next():
                self._serve_one(self.pipelined.pop(0))
                served += 1
            must_wait = self._can_serve() and self._has_more(served == max_requests)
        finally:
            self.is_serving = False
        if must_wait:
            self.wait_for_turn()
        self.update_reading()
        return served

    def _has_more(self, is_share_used: bool) -> bool:
        """Whether something can be served in the next turn. If this turn's share is used, the request that is
        being read may be one, whose body is streamed."""
        if self.pipelined or self.unparsed and not self.is_waiting_for_memory:
            return True
        return is_share_used and self.incoming is not None

    def _can_serve(self) -> bool:
        return self.open_request is None and not self._is_serving_suspended()

    def _has_next(self) -> bool:
        """Parse what is necessary, and return whether a request can be served now."""
        while self._can_serve() and not self.pipelined:
            if self.unparsed and not self.is_waiting_for_memory:
                self.parse_unparsed()
            elif not self._stream_incoming():
                return False
        return self._can_serve()

    def _serve_one(self, parsed: ParsedRequest) -> None:
        self.request_started = False
        self.current = parsed
        if parsed.error_status:
            self.listener.admission.on_request_received(self)
            self.count_immediate_answer(ImmediateAnswer.UNREADABLE)
            self.respond(parsed.error_status)
        elif parsed.method == b"GET" and parsed.url == b"/up":
            self.listener.admission.on_request_received(self)
            self.count_immediate_answer(ImmediateAnswer.READINESS)
            self._respond_readiness()
        else:
            self._submit(parsed)

    def _is_serving_suspended(self) -> bool:
        return self.is_closing or self.is_response_unread

    def _stream_incoming(self) -> bool:
        """Start to stream the request being read if its body is too large to be buffered. Returns whether it
        was submitted and accepted."""
        incoming = self.incoming
        if incoming is None or incoming.stream is not None:
            return False
        is_announced = incoming.body_length > MAX_BUFFERED_BODY_BYTES and not incoming.in_head
        if len(incoming.body) <= MAX_BUFFERED_BODY_BYTES and not is_announced:
            return False
        return self.start_stream(incoming)

    def _submit(self, parsed: ParsedRequest) -> None:
        try:
            self.open_request = self.listener.submit(self, parsed)
        except BadRequestError as problem:
            self._reject_and_pause(problem.status)
        except RequestExpiredError:
            self.count_immediate_answer(ImmediateAnswer.EXPIRED)
            self.listener.admission.on_request_received(self)
            self.respond(503)

    def start_stream(self, parsed: ParsedRequest) -> bool:
        """Submit a request whose body is too large to be buffered. Returns False if earlier requests are not
        answered yet or the request is rejected."""
        if self.open_request is not None or self.pipelined or self._is_serving_suspended():
            return False
        if parsed.error_status:
            return False
        parsed.received_ms = self.gateway.clock.now()
        self.current = parsed
        try:
            self.open_request = self.listener.submit(self, parsed)
        except BadRequestError as problem:  # the rest of a rejected request's body is not read
            self.is_unreadable = True
            self.request_started = False
            self.reject(problem.status)
            return False
        self.request_started = False
        body = bytes(parsed.body)
        parsed.body = bytearray()
        if body:
            parsed.stream.feed(body)
        return True

    def _respond_readiness(self) -> None:
        if self.gateway.is_ready:
            self.respond(200, b"up\n", b"text/plain")
        else:
            self.respond(503, b"not up\n", b"text/plain")

    def _reject_and_pause(self, status: int) -> None:
        """Reject a complete but invalid request. The error is sent at once and a persistent connection stays
        open, but reading pauses, since some clients repeat the same request without delay."""
        self.listener.admission.on_request_rejected(self, self.gateway.clock.now())
        self.count_immediate_answer(ImmediateAnswer.INVALID)
        self.respond(status)
        transport = self.transport
        if transport is None or self.is_closing:
            return
        pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** min(self.pauses, MAX_PAUSE_DOUBLINGS))
        if not self.is_paused:
            self.pauses += 1
            transport.pause_reading()
            self.is_paused = True
            self.has_backlog = True
            self.gateway.timers.call_at(self.gateway.clock.now() + pause_ms, self._end_pause)

    def _end_pause(self) -> None:
        self.is_paused = False
        if self.transport is not None and not self.transport.is_closing() and not self.is_closing:
            self.is_reading_suspended = True  # the transport is still paused; pipelined requests come first
            self.wait_for_turn()

    # -- flow control of reading

    def update_reading(self) -> None:
        """Suspend reading while requests wait behind an open one or the client does not take the responses,
        otherwise resume it."""
        transport = self.transport
        if transport is None or self.is_closing or self.is_paused or transport.is_closing():
            return
        must_suspend = self.is_response_unread or self.is_close_announced or self.is_waiting_for_memory
        must_suspend = must_suspend or self.is_waiting_for_turn
        must_suspend = must_suspend or self.open_request is not None and self.has_further_requests()
        if must_suspend and not self.is_reading_suspended:
            self.is_reading_suspended = True
            self.has_backlog = True
            transport.pause_reading()
        elif self.is_reading_suspended and not must_suspend and not self._is_stream_paused():
            self.is_reading_suspended = False
            transport.resume_reading()

    def _is_stream_paused(self) -> bool:
        """Whether the open request has a streamed body whose source is paused."""
        current = self.current
        if current is None or current.stream is None:
            return False
        return self.open_request is not None and bool(current.stream.is_paused)

    def stop_reading(self) -> None:
        """Suspend reading until the connection closes, which has been announced."""
        self.is_close_announced = True
        self.update_reading()

    def pause(self) -> None:
        """Stop reading, as the source of a streamed body."""
        if self.transport is not None and not self.is_closing:
            self.is_reading_suspended = True
            self.has_backlog = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading, as the source of a streamed body."""
        if self.transport is None or not self.is_reading_suspended:
            return
        if not self.is_closing and not self.is_paused:
            self.is_reading_suspended = False
            self.transport.resume_reading()

    # -- called by the admission of connections and by the listener

    def close_if_idle(self) -> None:
        """Close the connection if no request is open or partly received and no bytes wait unread in the
        kernel: a request among them would be lost."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.is_idle():
            return
        if self.listener.has_no_unread_input(transport):
            self.close_gracefully()

    def time_out_request(self) -> None:
        """Answer 408 to a partly received request and close; without one, close if idle."""
        self._reject_incomplete(408)

    def reject_incomplete_request(self) -> None:
        """Answer 503 to a partly received request, which its client can send to another gateway, and close;
        without one, close if idle."""
        self._reject_incomplete(503)

    def _reject_incomplete(self, status: int) -> None:
        if not self.request_started:
            self.close_if_idle()
        elif not self.has_queued_requests():  # otherwise these are served next
            self.reject(status)

    def transfer(self, send_descriptor: Callable[[int], bool]) -> bool:
        """Transfer the connection to another process, with its unread bytes. `send_descriptor` sends the
        descriptor and returns whether it could; if not, returns False and the connection is unchanged."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            if not send_descriptor(transport.get_extra_info("socket").fileno()):
                return False
            transport.pause_reading()
        self.abort()
        return True
