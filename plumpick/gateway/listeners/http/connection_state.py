"""What all parts of a client's connection share: its fields, and what it asks of the listener that owns it.

A connection is built in layers, one a module, each a subclass of the one before: ConnectionState here,
ResponseWriter, RequestReader, ClientConnection. They are one object, since compiled code calls its own
methods directly; the transport and the parser see the last layer only."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from plumpick.gateway.listeners.http.connection_admission import AdmittedConnection, ConnectionAdmission
from plumpick.gateway.listeners.http.parsed_request import ParsedRequest
from plumpick.gateway.listeners.interface import RequestGateway

# Slowest rate at which a body may arrive: half of what the slowest clients do.
MIN_BODY_RATE_BYTES_PER_MS = 32.0


class ConnectionOwner:
    """The listener as its connections know it.

    `has_peer_closed` tells whether the other side of a transport has ended it, `has_no_unread_input` whether
    nothing waits on it unread; both ask the operating system."""

    def __init__(
        self,
        gateway: RequestGateway,
        admission: ConnectionAdmission,
        has_peer_closed: Callable[[Any], bool],
        has_no_unread_input: Callable[[Any], bool],
    ) -> None:
        self.gateway = gateway
        self.admission = admission
        self.has_peer_closed = has_peer_closed
        self.has_no_unread_input = has_no_unread_input

    def on_connected(self, connection: ConnectionState) -> None:
        """A client has connected."""
        raise NotImplementedError

    def on_request_started(self, connection: ConnectionState) -> None:
        """The first byte of a request has come, and no other is open on the connection."""
        raise NotImplementedError

    def submit(self, connection: ConnectionState, parsed: ParsedRequest) -> Any:
        """A request has come: complete, or its head if its body is streamed. Returns the gateway's handle of
        it; raises BadRequestError."""
        raise NotImplementedError

    def on_response_sent(self, connection: ConnectionState) -> None:
        """The connection is idle after a response."""
        raise NotImplementedError

    def on_disconnected(self, connection: ConnectionState, request: Any) -> None:
        """The connection is closed; `request` was open on it, if not None."""
        raise NotImplementedError


class ConnectionState(AdmittedConnection):
    """The fields of a connection and the questions that need nothing else."""

    def __init__(self, listener: ConnectionOwner) -> None:
        super().__init__()
        self.listener = listener
        self.gateway = listener.gateway
        self.transport: asyncio.Transport | None = None
        self.open_request: Any = None  # the gateway's handle of the request that is not answered yet
        self.incoming: ParsedRequest | None = None  # is being read
        self.current: ParsedRequest | None = None  # is open, or was last
        self.pipelined: list[ParsedRequest] = []  # complete or rejected, behind the open one
        self.is_closing = False  # nothing more is read from it
        self.is_unreadable = False  # what comes cannot be parsed any more
        self.is_paused = False  # nothing is read for a while after a bad request
        self.is_reading_suspended = False  # while a request is open, or its body may not go on
        self.is_inherited = False  # another process of this gateway had it before

    def has_disconnected(self) -> bool:
        """Whether its client has left. An end that is not read yet is asked of the system: while reading is
        suspended nothing is read, and after a stall of this process not yet."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        if self.is_reading_suspended or self.is_paused or self.gateway.has_stalled():
            return self.listener.has_peer_closed(transport)
        return False

    def is_idle(self) -> bool:
        """Whether no request is open on it, and none has started to come in."""
        if self.open_request is not None or self.request_started:
            return False
        return not self.is_closing and not self.is_paused

    def unwritten_bytes(self) -> int:
        """Bytes of responses that the system has not taken yet."""
        transport = self.transport
        return 0 if transport is None or transport.is_closing() else transport.get_write_buffer_size()

    def body_time_allowance_ms(self) -> float:
        """By how much the body received so far extends the time for the request."""
        if self.incoming is None:
            return 0.0
        return self.incoming.body_received_bytes / MIN_BODY_RATE_BYTES_PER_MS

    def abort(self) -> None:
        """Close at once; unwritten bytes are lost."""
        self.is_closing = True
        if self.transport is not None:
            self.transport.abort()
