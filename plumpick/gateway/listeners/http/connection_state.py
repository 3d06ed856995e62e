"""The state that all layers of a client's connection share, and the interface of the listener that owns it.

A connection is built as a chain of subclasses, one in each module: ConnectionState (here), ResponseWriter,
RequestReader and ClientConnection. It is one object rather than several because compiled code calls methods
of the same object directly. The transport and the parser use ClientConnection only."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from plumpick.gateway.listeners.http.connection_admission import AdmittedConnection, ConnectionAdmission
from plumpick.gateway.listeners.http.fair_queue import FairQueue
from plumpick.gateway.listeners.http.parsed_request import ParsedRequest
from plumpick.gateway.listeners.interface import EndReason, ImmediateAnswer, RequestGateway

# Minimum rate at which a body must arrive: half the rate of the slowest genuine clients.
MIN_BODY_RATE_BYTES_PER_MS = 32.0


class ConnectionOwner:
    """The listener as its connections use it.

    `has_peer_closed` returns whether the peer of a transport has closed it, `has_no_unread_input` whether no
    received bytes wait unread, `unacknowledged_bytes` how many written bytes the kernel still holds; they
    query the operating system."""

    def __init__(
        self,
        gateway: RequestGateway,
        admission: ConnectionAdmission,
        has_peer_closed: Callable[[Any], bool],
        has_no_unread_input: Callable[[Any], bool],
        unacknowledged_bytes: Callable[[Any], int],
    ) -> None:
        self.gateway = gateway
        self.admission = admission
        self.fair_queue = FairQueue(gateway.call_soon)
        self.has_peer_closed = has_peer_closed
        self.has_no_unread_input = has_no_unread_input
        self.unacknowledged_bytes = unacknowledged_bytes

    def on_connected(self, connection: ConnectionState) -> None:
        """Admit a new connection, or close it."""
        raise NotImplementedError

    def on_request_started(self, connection: ConnectionState) -> None:
        """Handle the first byte of a request on a connection without an open request."""
        raise NotImplementedError

    def reject_stopped_requests(self, connection: ConnectionState) -> None:
        """Reject partly received requests whose clients have stopped sending, other than that of
        `connection`: their memory is needed."""
        raise NotImplementedError

    def submit(self, connection: ConnectionState, parsed: ParsedRequest) -> Any:
        """Validate and submit a complete request, or one with a complete head whose body is streamed. Returns
        the gateway's handle of it; raises BadRequestError."""
        raise NotImplementedError

    def on_response_sent(self, connection: ConnectionState) -> None:
        """Handle a connection that has become idle after a response."""
        raise NotImplementedError

    def on_disconnected(self, connection: ConnectionState, request: Any) -> None:
        """Handle a closed connection; `request` is the handle of the request open on it, or None."""
        raise NotImplementedError


class ConnectionState(AdmittedConnection):
    """The fields of a connection, and the queries that depend on them alone."""

    def __init__(self, listener: ConnectionOwner) -> None:
        super().__init__()
        self.listener = listener
        self.gateway = listener.gateway
        self.transport: asyncio.Transport | None = None
        self.open_request: Any = None  # the gateway's handle of the request that has no response yet
        self.incoming: ParsedRequest | None = None  # request that is being read
        self.current: ParsedRequest | None = None  # open request, or the latest one
        self.pipelined: list[ParsedRequest] = []  # requests read, or rejected, behind the open one
        self.unparsed = b""  # bytes behind the queued requests, which are parsed when these are answered
        self.is_waiting_for_memory = False  # whether the request being read waits for the memory of its body
        self.memory_timer: Any = None  # end of that wait
        self.is_closing = False  # whether further input is discarded
        self.is_unreadable = False  # whether further input cannot be parsed, after a malformed request
        self.is_waiting_for_turn = False  # whether the connection is in the listener's fair queue
        self.is_paused = False  # whether reading pauses after a bad request
        self.is_reading_suspended = False  # whether reading is suspended for an open request or its body
        # Whether bytes may have waited unread since reading was suspended, while the client left.
        self.has_backlog = False
        self.is_write_buffer_full = False  # whether the event loop has called pause_writing
        # Whether the next request waits until the client has taken earlier responses.
        self.is_response_unread = False
        # Whether a streamed response has told the client that its connection closes.
        self.is_close_announced = False
        self.immediate_answers = 0  # number of answers without an attempt since the latest report
        self.unread_bytes = 0  # response bytes that are counted, since the kernel has not taken them
        # Whether the connection was transferred by the predecessor of a hot restart.
        self.is_inherited = False

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected. The operating system is asked, since the event loop reads a
        disconnect only in its next iteration, and not while reading is suspended."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        return self.listener.has_peer_closed(transport)

    def peer_name(self) -> str:
        """Return the client's address for a log line."""
        transport = self.transport
        peer = None if transport is None else transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if isinstance(peer, tuple) and len(peer) >= 2 else "unknown"

    def is_idle(self) -> bool:
        """Whether no request is open, queued or partly received."""
        if self.open_request is not None or self.request_started or self.has_queued_requests():
            return False
        return not self.is_closing and not self.is_paused

    def has_queued_requests(self) -> bool:
        """Whether requests were read that are not served yet."""
        return bool(self.pipelined or self.unparsed)

    def has_further_requests(self) -> bool:
        """Whether requests behind the current one were read, whole or in part."""
        if self.has_queued_requests():
            return True
        return self.incoming is not None and self.incoming is not self.current

    def is_last_response(self) -> bool:
        """Whether the connection closes after the response to the current request: only if nothing else that
        was read on it, or waits to be read, is owed a response."""
        current = self.current
        if self.is_closing or current is None or not current.is_complete or not current.keep_alive:
            return True
        if not self.gateway.is_draining or self.has_further_requests():
            return False
        return self.gateway.is_answer_time_over() or self.listener.has_no_unread_input(self.transport)

    def has_unanswered_request(self) -> bool:
        """Whether a request was read whole and has no response yet."""
        return self.open_request is not None or self.has_queued_requests()

    def unwritten_bytes(self) -> int:
        """Return the number of response bytes not yet handed to the kernel."""
        transport = self.transport
        return 0 if transport is None or transport.is_closing() else transport.get_write_buffer_size()

    def undelivered_bytes(self) -> int:
        """Return the number of response bytes that the client's machine has not acknowledged. It falls while
        the client reads; `unwritten_bytes` may not for long, as the kernel takes bytes in large portions."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return 0
        return transport.get_write_buffer_size() + self.listener.unacknowledged_bytes(transport)

    def body_time_allowance_ms(self) -> float:
        """Return by how much the body bytes received so far extend the time limit of the request."""
        if self.incoming is None:
            return 0.0
        return self.incoming.body_received_bytes / MIN_BODY_RATE_BYTES_PER_MS

    def count_immediate_answer(self, kind: ImmediateAnswer) -> None:
        """Count a request of this connection that is answered without an attempt."""
        self.immediate_answers += 1
        self.gateway.count_immediate_answer(kind)

    # -- account of memory

    def release_request(self, parsed: ParsedRequest | None) -> None:
        """No longer count the memory of a request that has ended."""
        if parsed is not None and parsed.held_bytes:
            self.gateway.memory.release_request(parsed.held_bytes)
            parsed.held_bytes = 0

    def stop_waiting_for_memory(self) -> None:
        """End the wait of the request that is being read, if it waits."""
        if not self.is_waiting_for_memory:
            return
        self.is_waiting_for_memory = False
        self.gateway.memory.stop_waiting(self)  # type: ignore[arg-type]
        self.memory_timer.cancel()
        self.memory_timer = None

    def drop_unserved_requests(self) -> None:
        """Drop the requests behind the open one, which will not be served."""
        self.stop_waiting_for_memory()
        for parsed in self.pipelined:
            self.release_request(parsed)
        self.pipelined.clear()
        self.gateway.memory.release_request(len(self.unparsed))
        self.unparsed = b""
        if self.incoming is not self.current or self.open_request is None:
            self.release_request(self.incoming)
            self.incoming = None

    def count_unread(self, unread_bytes: int) -> None:
        """Count the response bytes that the kernel has not taken, in place of those counted before."""
        if unread_bytes != self.unread_bytes:
            self.gateway.memory.add_unread(unread_bytes - self.unread_bytes)
            self.unread_bytes = unread_bytes

    def record_unserved(self, reason: EndReason) -> None:
        """Record the complete requests behind the open one, which will not be answered."""
        ids = [parsed.request_id() for parsed in self.pipelined if parsed.is_complete]
        if self.unparsed:
            ids.append(b"(unparsed)")
        if ids:
            self.gateway.unanswered.record(reason, ids)

    def abort(self, reason: EndReason = EndReason.CLIENT_LEFT) -> None:
        """Close the connection at once, for this reason; unwritten bytes are lost."""
        self.record_unserved(reason)
        self.is_closing = True
        if self.transport is not None:
            self.transport.abort()
