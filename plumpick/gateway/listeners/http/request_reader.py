"""Parses the bytes of a client connection into ParsedRequests and enforces the size limits.

Bytes that cannot be parsed, or a request that exceeds a limit, close the connection after the responses to
earlier requests."""

from __future__ import annotations

from typing import Any

import httptools

from plumpick.gateway.listeners.http.connection_state import ConnectionOwner
from plumpick.gateway.listeners.http.parsed_request import (
    DELIMITING_HEADERS,
    KNOWN_HEADERS,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_PIPELINED_REQUESTS,
    MAX_RAW_MESSAGE_BYTES,
    PARSE_BYTES,
    ParsedRequest,
)
from plumpick.gateway.listeners.http.response_writer import ResponseWriter
from plumpick.gateway.listeners.http.upgrade_offer import FRAMING_HEADERS, feed_parser

# Bytes of a body in chunks of one byte that take as long as a small request.
CHUNKED_BYTES_PER_REQUEST = 512


class RequestReader(ResponseWriter):
    """The reading half of a connection: the callbacks of the transport and of the HTTP parser."""

    def __init__(self, listener: ConnectionOwner) -> None:
        super().__init__(listener)
        self.parser: Any = httptools.HttpRequestParser(self)
        self.chunked_cost = 0  # cost of the chunks parsed in this turn, in requests
        self.has_yielded_reading = False  # whether the next turn is for reading on
        self.read_ms = 0.0  # time at which the bytes being parsed were read
        self.stream_parts: list[bytes] = []  # parts of a streamed body that the current read contained

    # -- implemented by ClientConnection

    def serve_next(self) -> None:
        """Serve what was just read, as far as the share of this iteration of the event loop allows."""
        raise NotImplementedError

    def start_stream(self, parsed: ParsedRequest) -> bool:
        """Submit a request whose body is too large to be buffered. Returns False if earlier requests are not
        answered yet or the request is rejected."""
        raise NotImplementedError

    # -- the transport's callbacks

    def get_buffer(self, _size_hint: int) -> Any:
        """Return the buffer for the next read."""
        incoming = self.incoming
        if incoming is None or incoming.in_head:
            return self.gateway.read_buffer.view_ahead(len(self.listener.fair_queue))
        if incoming.body_length < 0:
            return self.gateway.read_buffer.view_chunked()
        if incoming.stream is not None:
            return self.gateway.read_buffer.view()
        return self.gateway.read_buffer.view(incoming.body_length - incoming.body_received_bytes)

    def buffer_updated(self, size: int) -> None:
        """Process the `size` bytes that were read into the buffer."""
        buffer = self.gateway.read_buffer
        is_filled = buffer.is_filled_by(size)
        self.data_received(buffer.take(size))
        if is_filled and self._may_read():  # more bytes probably wait: they come after those of others
            self.has_yielded_reading = True
            self.wait_for_turn()
            self.update_reading()

    def _may_read(self) -> bool:
        """Whether neither flow control nor the end of the connection forbids reading."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return not self.is_reading_suspended and not self.is_paused and not self.is_waiting_for_turn

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, check the limits and serve the requests that are complete."""
        if self.is_closing or self.is_unreadable:
            self.received_while_closing = True
            if self.is_closing:
                self._read_on_in_turn()
            return
        if self.has_backlog and not self._is_backlog_wanted():
            return
        self.last_activity_ms = self.gateway.clock.now()
        if self.unparsed or self.is_waiting_for_turn:
            self._keep_unparsed(self.unparsed + data)
        elif self._must_wait_unparsed():
            self.read_ms = self.last_activity_ms
            self._keep_until_turn(data)
            return
        else:
            self.read_ms = self.last_activity_ms
            self._parse(data)
            self._count_chunked(len(data) - len(self.unparsed))
        incoming = self.incoming
        if incoming is not None and incoming.stream is not None:
            self._forward_stream_parts(incoming)
        self.serve_next()

    def _count_chunked(self, size: int) -> None:
        """Count the bytes of a body in chunks, which cost the more the shorter the chunks are."""
        incoming = self.incoming
        if incoming is not None and incoming.body_length < 0:
            self.chunked_cost += size // CHUNKED_BYTES_PER_REQUEST

    def _read_on_in_turn(self) -> None:
        """Read no more of what a closing connection discards until it is the connection's turn."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            transport.pause_reading()
            self.wait_for_turn()

    def _must_wait_unparsed(self) -> bool:
        """Whether requests that begin now must wait, as this iteration's share for them is used up."""
        if self.incoming is not None or self.open_request is not None or self.pipelined:
            return False
        return self.listener.fair_queue.read_share() == 0

    def _keep_until_turn(self, data: bytes) -> None:
        """Keep bytes as they are until it is the connection's turn."""
        self._keep_unparsed(data)
        self.request_started = True
        self.listener.on_request_started(self)
        self.is_waiting_for_turn = True
        self.listener.fair_queue.add_unserved(self)  # type: ignore[arg-type]
        self.update_reading()

    def parse_unparsed(self) -> None:
        """Parse bytes that were kept until the requests before them were answered."""
        data = self.unparsed
        self._keep_unparsed(b"")
        self._parse(data)
        self._count_chunked(len(data) - len(self.unparsed))

    def _parse(self, data: bytes) -> None:
        """Parse received bytes in slices, until enough requests are queued; the rest is kept as it is, since
        parsed requests need several times the memory of their bytes."""
        start = 0
        while start < len(data) and not self.is_unreadable:
            if len(self.pipelined) >= MAX_PIPELINED_REQUESTS or self.is_waiting_for_memory:
                self._keep_unparsed(data[start:])
                return
            end = start + self._slice_bytes()
            self._parse_slice(data if start == 0 and end >= len(data) else data[start:end])
            start = end

    def _slice_bytes(self) -> int:
        """Return how many bytes to parse at once: the rest of a body, or some heads."""
        incoming = self.incoming
        if incoming is None or incoming.in_head:
            return PARSE_BYTES
        return max(PARSE_BYTES, incoming.body_length - incoming.body_received_bytes)

    def _keep_unparsed(self, data: bytes) -> None:
        """Keep received bytes, in place of those kept before, and count them."""
        memory = self.gateway.memory
        memory.release_request(len(self.unparsed))
        memory.add_received(len(data))
        self.unparsed = data

    def _parse_slice(self, data: bytes) -> None:
        """Parse bytes, and check the limits on the request that they leave incomplete."""
        try:
            feed_parser(self, data)
        except httptools.HttpParserError:
            self._reject_unparsable()
        incoming = self.incoming
        if incoming is not None and (not incoming.error_status or incoming.is_refused):
            incoming.raw_bytes += len(data)
            if incoming.in_head and incoming.raw_bytes > MAX_HEAD_BYTES:
                self._reject_incoming(incoming, 431)
            elif (
                incoming.stream is None
                and incoming.body_length < 0
                and incoming.raw_bytes > MAX_RAW_MESSAGE_BYTES
            ):
                # Raw bytes include what the parser skips, such as chunk extensions.
                self._reject_incoming(incoming, 413)
            elif incoming.stream is None and not incoming.is_refused:
                self._reserve_memory(incoming)

    def _reserve_memory(self, incoming: ParsedRequest) -> None:
        """Count the memory of a request that is being read; if there is none, it waits or is refused."""
        size = incoming.required_bytes() - incoming.held_bytes
        if size <= 0 or incoming.waiting_since_ms:
            return
        memory = self.gateway.memory
        if not memory.reserve_request(incoming.held_bytes, size):
            self.listener.reject_stopped_requests(self)
            if not memory.reserve_request(incoming.held_bytes, size):
                if not self._wait_for_memory(incoming):
                    self._refuse(incoming)
                return
        incoming.held_bytes += size

    # -- waiting for the memory of a body

    def _wait_for_memory(self, incoming: ParsedRequest) -> bool:
        """Read no more of a request until there is memory for its announced body; returns False if it can't
        wait. Its client's time runs."""
        wait_ms = incoming.longest_wait_ms()
        if incoming.in_head or not 0 < incoming.body_length <= MAX_BUFFERED_BODY_BYTES or not wait_ms:
            return False
        now = self.gateway.clock.now()
        incoming.waiting_since_ms = now
        self.is_waiting_for_memory = True
        self.gateway.memory.wait_for_request(self)
        self.memory_timer = self.gateway.timers.call_at(now + wait_ms, self._give_up_waiting)
        return True

    def take_memory(self) -> bool:
        """Count the memory of the request that waits, or return False if there is still too little."""
        incoming = self.incoming
        if incoming is None or not self.is_waiting_for_memory:
            return True
        size = incoming.required_bytes() - incoming.held_bytes
        if not self.gateway.memory.reserve_request_that_waited(incoming.held_bytes, size):
            return False
        incoming.held_bytes += size
        self.stop_waiting_for_memory()
        self._send_continue(incoming)
        self._parse_later()
        return True

    def _give_up_waiting(self) -> None:
        """Refuse the request that has waited for too long."""
        incoming = self.incoming
        if incoming is None or not self.is_waiting_for_memory:
            return
        self.stop_waiting_for_memory()
        self._refuse(incoming)
        self._parse_later()

    def _parse_later(self) -> None:
        """Parse and read on after a wait, not at once: this may be called in the middle of another
        connection's work."""
        self.gateway.timers.call_at(self.gateway.clock.now(), self._parse_after_wait)

    def _parse_after_wait(self) -> None:
        if self.transport is None or self.is_closing:
            return
        self.wait_for_turn()

    # -- refusal of requests

    def _refuse(self, incoming: ParsedRequest) -> None:
        """Refuse a request for which there is no memory. It is read to its end, so that what is behind it is
        answered too, unless it is large or its client waits for permission to send the body."""
        self._mark_refused(incoming)
        if not incoming.in_head:
            self._close_behind_refused(incoming)

    def _mark_refused(self, incoming: ParsedRequest) -> None:
        self.gateway.memory.count_refused_request()
        incoming.refuse()
        self.release_request(incoming)

    def _close_behind_refused(self, incoming: ParsedRequest) -> None:
        """Close the connection after the response to a refused request if its body should not be read."""
        if incoming.body_length > MAX_BUFFERED_BODY_BYTES or incoming.expects_continue():
            self._reject_incoming(incoming, 503)

    def _is_backlog_wanted(self) -> bool:
        """Whether the client is still there, of which bytes are read that may have waited for long. If not,
        the connection is closed: its requests must not be sent on."""
        transport = self.transport
        if self.listener.has_peer_closed(transport):
            self.abort()
            return False
        self.has_backlog = not self.listener.has_no_unread_input(transport)
        return True

    def _reject_unparsable(self) -> None:
        """Reject malformed input with status 400 after the responses to earlier requests."""
        incoming = self.incoming
        if incoming is None:
            incoming = ParsedRequest()
            self.incoming = incoming
        self._reject_incoming(incoming, 400)

    def _reject_incoming(self, incoming: ParsedRequest, status: int) -> None:
        """Mark a malformed request with the status, unless it already has one, and stop parsing: the start of
        the next request is unknown."""
        self.is_unreadable = True
        self.stop_waiting_for_memory()
        incoming.error_status = incoming.error_status or status
        self.incoming = None
        if incoming is not self.current:
            self.pipelined.append(incoming)
            return
        # The body of this request is being streamed, and its end will never be read.
        if self.open_request is not None:
            request = self.open_request
            self.open_request = None
            self.gateway.on_disconnect(request)
        self.reject(incoming.error_status)

    # -- the parser's callbacks

    def on_message_begin(self) -> None:
        """Parser callback: a request begins."""
        if self.is_unreadable:
            return
        self.incoming = ParsedRequest()
        if self.open_request is None and not self.pipelined:
            self.request_started = True
            self.listener.on_request_started(self)

    def on_url(self, url: bytes) -> None:
        """Parser callback: collect bytes of the request target."""
        if self.incoming is not None and not self.incoming.is_refused:
            self.incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: collect a known header. A trailer of a chunked body only counts against the size
        limit."""
        incoming = self.incoming
        if incoming is None:
            return
        incoming.head_bytes += len(name) + len(value)
        if not incoming.in_head:
            if incoming.head_bytes > MAX_HEAD_BYTES:
                self._reject_incoming(incoming, 431)
            return
        name = name.lower()
        if name in (DELIMITING_HEADERS if incoming.is_refused else KNOWN_HEADERS):
            if name in incoming.headers:
                # A repeated header makes the request ambiguous.
                incoming.error_status = incoming.error_status or 400
                incoming.is_refused = False
            # Surrounding whitespace is not part of the value (RFC 9110, 5.5).
            incoming.headers[name] = value.strip(b" \t")

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete. Check how the body is delimited, and start to stream it if
        it is too large to be buffered."""
        incoming = self.incoming
        if incoming is None:
            return
        incoming.in_head = False
        headers = incoming.headers
        incoming.method = self.parser.get_method()
        incoming.is_http_1_0 = self.parser.get_http_version() == "1.0"
        framing_error = incoming.framing_error()
        if framing_error or incoming.error_status and not incoming.is_refused:
            self._reject_incoming(incoming, framing_error)
            return
        is_chunked = b"transfer-encoding" in headers
        incoming.body_length = -1 if is_chunked else int(headers.get(b"content-length", b"0"))
        if incoming.is_refused:
            self._close_behind_refused(incoming)
        else:
            self._reserve_memory(incoming)
        if self.incoming is not incoming:  # it was rejected
            return
        self._send_continue(incoming)
        if incoming.body_length > MAX_BUFFERED_BODY_BYTES:
            self.start_stream(incoming)
        elif incoming.body_length:
            self.listener.admission.on_body_started(self, self.gateway.clock.now())

    def _send_continue(self, incoming: ParsedRequest) -> None:
        """Send 100 Continue if the client expects it and no earlier request waits for its response."""
        if incoming.is_refused or self.is_waiting_for_memory or not incoming.expects_continue():
            return
        if self.open_request is None and not self.pipelined and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        """Parser callback: buffer or forward bytes of the body."""
        incoming = self.incoming
        if incoming is None:
            return
        incoming.body_received_bytes += len(part)
        if incoming.is_refused:
            return
        if incoming.stream is not None:
            self.stream_parts.append(part)
            return
        incoming.body += part
        if len(incoming.body) > MAX_BUFFERED_BODY_BYTES:
            self.start_stream(incoming)

    def _take_read_body(self, incoming: ParsedRequest) -> None:
        """End the wait of a request that is complete: its body is in memory already."""
        self.stop_waiting_for_memory()
        size = incoming.required_bytes() - incoming.held_bytes
        if self.gateway.memory.reserve_received_request(size):
            incoming.held_bytes += size
        else:
            self._mark_refused(incoming)

    def _forward_stream_parts(self, incoming: ParsedRequest) -> None:
        """Forward what a read contained of a streamed body: in one piece, however small its chunks are."""
        parts = self.stream_parts
        if not parts:
            return
        self.stream_parts = []
        incoming.stream.last_progress_ms = self.gateway.clock.now()
        if self.open_request is not None:
            incoming.stream.feed(parts[0] if len(parts) == 1 else b"".join(parts))

    def framing_fields(self) -> bytes | None:
        """Return the header lines that delimit the body of the request being read; None if it has been
        rejected."""
        incoming = self.incoming
        if incoming is None:
            return None
        present = [name for name in FRAMING_HEADERS if name in incoming.headers]
        return b"".join([b"%s: %s\r\n" % (name, incoming.headers[name]) for name in present])

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete. Queue it, or end its streamed body."""
        incoming = self.incoming
        if incoming is None:
            return
        # The parser's answer is valid only during this callback.
        incoming.keep_alive = incoming.keep_alive and self.parser.should_keep_alive()
        if self.parser.should_upgrade():
            return  # only the head is complete, see upgrade_offer.py
        self.incoming = None
        incoming.is_complete = True
        incoming.received_ms = incoming.waiting_since_ms or self.read_ms
        if self.is_waiting_for_memory:  # the whole body was read together with the head
            self._take_read_body(incoming)
        if incoming.stream is None:
            self.pipelined.append(incoming)
            return
        self._forward_stream_parts(incoming)
        if self.open_request is not None and incoming is self.current:
            # Before the stream ends: the worker's time, which begins then, ends with that of the request.
            self.gateway.on_body_complete(self.open_request)
            incoming.stream.finish()
