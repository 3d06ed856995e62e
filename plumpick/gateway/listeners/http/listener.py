"""The HTTP listener: owns the client connections, limits them, and submits their requests to the gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.gateway.listeners.http.connection import ClientConnection
from plumpick.gateway.listeners.http.connection_admission import ConnectionAdmission
from plumpick.gateway.listeners.http.connection_state import ConnectionOwner, ConnectionState
from plumpick.gateway.listeners.http.parsed_request import ParsedRequest
from plumpick.gateway.listeners.http.validation import BadRequestError, RequestValidator, origin_form
from plumpick.gateway.listeners.interface import (
    DuplicateRequestIdError,
    EndReason,
    IncomingRequest,
    MemoryExhaustedError,
    RequestGateway,
)
from plumpick.policy.draining import AdmissionState
from plumpick.policy.settings import Settings

LISTEN_BACKLOG = 512  # maximum number of connections that wait to be accepted
MAX_BUSIEST_CLIENTS = 3  # number of connections that a log line names
EVICTION_DELAY_MS = 1.0  # time from exceeding the soft limit on connections to closing the excess ones


class HttpListener(ConnectionOwner):
    """The HTTP connections of all clients; implements the Listener protocol.

    `has_peer_closed` returns whether the peer of a transport has closed it, `has_no_unread_input` whether no
    received bytes wait unread, `unacknowledged_bytes` how many written bytes the kernel still holds."""

    def __init__(
        self,
        gateway: RequestGateway,
        settings: Settings,
        sockets: int,
        has_peer_closed: Callable[[Any], bool],
        has_no_unread_input: Callable[[Any], bool] = lambda _transport: True,
        unacknowledged_bytes: Callable[[Any], int] = lambda _transport: 0,
    ) -> None:
        admission = ConnectionAdmission(sockets, gateway.clock.now())
        super().__init__(gateway, admission, has_peer_closed, has_no_unread_input, unacknowledged_bytes)
        self.validator = RequestValidator(settings)
        self._is_eviction_due = False
        self.accepted_connections = 0

    def create_connection(self) -> ClientConnection:
        """Create the protocol object for a new transport."""
        return ClientConnection(self)

    def create_inherited_connection(self) -> ClientConnection:
        """Create the protocol object for an idle transport from the predecessor of a hot restart."""
        connection = ClientConnection(self)
        connection.is_inherited = True
        return connection

    # -- methods of ConnectionOwner

    def on_connected(self, connection: ConnectionState) -> None:
        """Admit a new connection, or close it."""
        self.accepted_connections += 1
        now = self.gateway.clock.now()
        spare_descriptors = self.gateway.spare_descriptors()
        if not self._admit(connection, now, spare_descriptors):
            connection.abort()
        elif len(self.admission) > self.admission.capacity(spare_descriptors) and not self._is_eviction_due:
            # Delayed, so that connections that arrived together are read first and those with a request stay.
            self._is_eviction_due = True
            self.gateway.timers.call_at(self.gateway.clock.now() + EVICTION_DELAY_MS, self._evict_excess)
        if connection.is_inherited:
            self.admission.on_request_received(connection)
            self.admission.on_response_sent(connection, now)

    def _admit(self, connection: ConnectionState, now: float, spare_descriptors: int) -> bool:
        if self.admission.admit(connection, now, spare_descriptors):
            return True
        has_evicted = self.admission.evict_disconnected(
            now,
            lambda other: self.has_peer_closed(other.transport),  # type: ignore[attr-defined]
        )
        return has_evicted and self.admission.admit(connection, now, spare_descriptors)

    def _evict_excess(self) -> None:
        self._is_eviction_due = False
        self.admission.evict_excess(self.gateway.clock.now(), self.gateway.spare_descriptors())

    def on_request_started(self, connection: ConnectionState) -> None:
        """Start the time limit of a request whose first byte was received."""
        self.admission.on_request_started(connection, self.gateway.clock.now())

    def reject_stopped_requests(self, connection: ConnectionState) -> None:
        """Reject partly received requests whose clients have stopped sending: their memory is needed."""
        self.admission.reject_stopped(self.gateway.clock.now(), connection)

    def submit(self, connection: ConnectionState, parsed: ParsedRequest) -> Any:
        """Validate and submit a complete request, or one with a complete head whose body is streamed because
        it is too large to be buffered. Returns the gateway's handle of it; raises BadRequestError."""
        method = parsed.method
        headers = parsed.headers
        target = origin_form(parsed.url)
        head = self.validator.validate(method, target, headers, bool(parsed.body) or not parsed.is_complete)
        if not parsed.is_complete:
            parsed.stream = self._create_stream(connection, parsed)
        body = b""
        if parsed.is_complete:
            body = bytes(parsed.body)
            parsed.body = bytearray()  # the request is kept once
        content_type = headers.get(b"content-type")
        request = IncomingRequest(
            *head, method, target, content_type, body, parsed.received_ms, parsed.stream
        )
        try:
            handle = self.gateway.submit(connection, request)  # type: ignore[arg-type]
        except DuplicateRequestIdError as problem:
            if parsed.stream is not None:
                parsed.stream.release()
            raise BadRequestError(str(problem), 409) from problem
        self.admission.on_request_received(connection)
        return handle

    def _create_stream(self, connection: Any, parsed: ParsedRequest) -> Any:
        """Create the stream of a request's body, whose source is its connection; raises BadRequestError."""
        try:
            return self.gateway.create_request_stream(connection, parsed.body_length)
        except MemoryExhaustedError as problem:
            raise BadRequestError(str(problem), 503) from problem

    def on_response_sent(self, connection: ConnectionState) -> None:
        """Record a connection as idle after a response."""
        self.admission.on_response_sent(connection, self.gateway.clock.now())

    def on_disconnected(self, connection: ConnectionState, request: Any) -> None:
        """Remove a closed connection and report the `request` open on it, if not None, to the gateway."""
        self.admission.remove(connection)
        if request is not None:
            self.gateway.on_disconnect(request)

    # -- methods of Listener, called by the gateway

    def sweep_delay_ms(self, now: float) -> float:
        """Return by how much the next sweep is overdue, which is the duration of a possible stall."""
        return self.admission.sweep_delay_ms(now)

    def sweep(self, now: float, is_shutting_down: bool) -> None:
        """Close the connections that have timed out and those that the admission state excludes."""
        self.admission.is_memory_exhausted = self.gateway.memory.is_exhausted()
        self.admission.sweep(now, is_shutting_down)
        state = self.gateway.admission_state
        if state >= AdmissionState.CLOSING_IDLE:
            self.admission.close_for_draining(now, state >= AdmissionState.CLOSING_UNREAD)

    def close_idle(self) -> None:
        """Close the connections without an open request, except new ones, which may still bring one."""
        now = self.gateway.clock.now()
        for connection in list(self.admission.connections):
            if not self.admission.is_new(connection, now):
                connection.close_if_idle()

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.admission)

    def set_descriptor_limit(self, sockets: int) -> None:
        """Adapt the limits on connections to the process's new descriptor limit."""
        self.admission.set_descriptor_limit(sockets)

    def reconfigure(self, settings: Settings) -> None:
        """Validate requests by these settings from now on."""
        self.validator = RequestValidator(settings)

    def transfer_idle_connections(self, send_descriptor: Callable[[int], bool]) -> bool:
        """Transfer the connections without an open request to another process. `send_descriptor` sends the
        descriptor of each and returns whether it could. At the first failure the remaining connections stay
        here, and False is returned.

        A connection with unwritten response bytes stays here: these bytes are not transferred, and the client
        would never get the rest of its response, or get the next response in its place."""
        for connection in list(self.admission.connections):
            assert isinstance(connection, ClientConnection)
            is_transferable = connection.is_idle() and not connection.unwritten_bytes()
            if is_transferable and not connection.transfer(send_descriptor):
                return False
        return True

    def has_connections(self) -> bool:
        """Whether any connection is open."""
        return bool(self.admission)

    def has_queued_requests(self) -> bool:
        """Whether requests were read that are not served yet, behind others on their connection."""
        connections: Any = self.admission.connections
        return any(connection.has_queued_requests() for connection in connections)

    def record_queued_requests(self) -> None:
        """Record the requests that are not served yet when this process exits."""
        connections: Any = self.admission.connections
        for connection in connections:
            connection.record_unserved(EndReason.PROCESS_EXIT)

    def busiest_clients(self) -> str:
        """Return which connections had the most answers without an attempt since the previous call, and how
        many."""
        connections: Any = self.admission.connections
        counted = [(connection.immediate_answers, connection) for connection in connections]
        busiest = sorted(counted, key=lambda pair: pair[0], reverse=True)[:MAX_BUSIEST_CLIENTS]
        for connection in connections:
            connection.immediate_answers = 0
        return ",".join(f"{connection.peer_name()}:{count}" for count, connection in busiest if count) or "-"

    def has_undelivered_data(self) -> bool:
        """Whether the machine of a client has not acknowledged all response bytes yet."""
        return any(connection.undelivered_bytes() for connection in self.admission.connections)
