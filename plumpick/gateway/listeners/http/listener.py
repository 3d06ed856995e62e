"""The HTTP listener: its connections, which of them may stay, and the way of a request to the gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.gateway.listeners.http.connection import ClientConnection
from plumpick.gateway.listeners.http.connection_admission import ConnectionAdmission
from plumpick.gateway.listeners.http.connection_state import ConnectionOwner, ConnectionState
from plumpick.gateway.listeners.http.parsed_request import ParsedRequest
from plumpick.gateway.listeners.http.validation import BadRequestError, RequestValidator, origin_form
from plumpick.gateway.listeners.interface import DuplicateRequestIdError, IncomingRequest, RequestGateway
from plumpick.policy.draining import AdmissionState
from plumpick.policy.settings import Settings

EVICTION_DELAY_MS = 1.0  # after one connection too many


class HttpListener(ConnectionOwner):
    """All HTTP connections of clients: a Listener. `has_peer_closed` tells whether the other side of a
    transport has ended it, `has_no_unread_input` whether nothing waits on it unread."""

    def __init__(
        self,
        gateway: RequestGateway,
        settings: Settings,
        sockets: int,
        has_peer_closed: Callable[[Any], bool],
        has_no_unread_input: Callable[[Any], bool] = lambda _transport: True,
    ) -> None:
        admission = ConnectionAdmission(sockets, gateway.clock.now())
        super().__init__(gateway, admission, has_peer_closed, has_no_unread_input)
        self.validator = RequestValidator(settings)
        self._is_eviction_due = False
        self.accepted_connections = 0

    def create_connection(self) -> ClientConnection:
        """A connection for a new transport."""
        return ClientConnection(self)

    def create_inherited_connection(self) -> ClientConnection:
        """A connection for a transport that another process of this gateway had: it is idle."""
        connection = ClientConnection(self)
        connection.is_inherited = True
        return connection

    # -- as the owner of connections

    def on_connected(self, connection: ConnectionState) -> None:
        """Admit a new connection, or close it."""
        self.accepted_connections += 1
        now = self.gateway.clock.now()
        spare = self.gateway.spare_descriptors()
        if not self._admit(connection, now, spare):
            connection.abort()
        elif len(self.admission) > self.admission.capacity(spare) and not self._is_eviction_due:
            # Not at once: of those that came in one go, the ones with a request are read first, and stay.
            self._is_eviction_due = True
            self.gateway.timers.at(self.gateway.clock.now() + EVICTION_DELAY_MS, self._evict_excess)
        if connection.is_inherited:
            self.admission.on_request_received(connection)
            self.admission.on_response_sent(connection, now)

    def _admit(self, connection: ConnectionState, now: float, spare: int) -> bool:
        if self.admission.admit(connection, now, spare):
            return True
        has_room = self.admission.evict_disconnected(
            now,
            lambda other: self.has_peer_closed(other.transport),  # type: ignore[attr-defined]
        )
        return has_room and self.admission.admit(connection, now, spare)

    def _evict_excess(self) -> None:
        self._is_eviction_due = False
        self.admission.evict_excess(self.gateway.clock.now(), self.gateway.spare_descriptors())

    def on_request_started(self, connection: ConnectionState) -> None:
        """The first byte of a request has come."""
        self.admission.on_request_started(connection, self.gateway.clock.now())

    def submit(self, connection: ConnectionState, parsed: ParsedRequest) -> Any:
        """A request has come: complete, or its head if its body is streamed, as it is too large to be
        buffered. Returns the gateway's handle of it; raises BadRequestError."""
        method = parsed.method
        headers = parsed.headers
        target = origin_form(parsed.url)
        head = self.validator.validate(method, target, headers, bool(parsed.body) or not parsed.is_complete)
        if not parsed.is_complete:
            source: Any = connection  # a PausableSource, too
            parsed.stream = self.gateway.create_request_stream(source, parsed.body_length)
        body = bytes(parsed.body) if parsed.is_complete else b""
        content_type = headers.get(b"content-type")
        request = IncomingRequest(
            *head, method, target, content_type, body, parsed.received_ms, parsed.stream
        )
        try:
            handle = self.gateway.submit(connection, request)  # type: ignore[arg-type]
        except DuplicateRequestIdError as problem:
            raise BadRequestError(str(problem), 409) from problem
        self.admission.on_request_received(connection)
        return handle

    def on_response_sent(self, connection: ConnectionState) -> None:
        """The connection is idle after a response."""
        self.admission.on_response_sent(connection, self.gateway.clock.now())

    def on_disconnected(self, connection: ConnectionState, request: Any) -> None:
        """The connection is closed; `request` was open on it, if not None."""
        self.admission.remove(connection)
        if request is not None:
            self.gateway.on_disconnect(request)

    # -- what the gateway asks (see Listener)

    def sweep_delay_ms(self, now: float) -> float:
        """How late the next sweep is: this process may have stalled for so long."""
        return self.admission.sweep_delay_ms(now)

    def sweep(self, now: float, is_shutting_down: bool) -> None:
        """Close what has had its time, and what the admission state closes."""
        self.admission.sweep(now, is_shutting_down)
        state = self.gateway.admission_state
        if state >= AdmissionState.CLOSING_IDLE:
            self.admission.close_for_draining(now, state >= AdmissionState.CLOSING_UNREAD)

    def close_idle(self) -> None:
        """Close the connections on which nothing is open; a new one may still bring a request."""
        now = self.gateway.clock.now()
        for connection in list(self.admission.connections):
            if not self.admission.is_new(connection, now):
                connection.close_if_idle()

    def connection_count(self) -> int:
        """How many connections there are."""
        return len(self.admission)

    def set_descriptor_limit(self, sockets: int) -> None:
        """How many descriptors the process may hold from now on."""
        self.admission.set_descriptor_limit(sockets)

    def reconfigure(self, settings: Settings) -> None:
        """Requests that are read from now on are validated by these."""
        self.validator = RequestValidator(settings)

    def transfer_idle_connections(self, pass_on: Callable[[int], bool]) -> bool:
        """Give the connections on which nothing is open to another process. `pass_on` gets the descriptor of
        each, and says whether it has gone; once it has not, the rest stays, and False is returned.

        What is not written of a response does not pass over: the rest of it would never come, or the next one
        in its place. Such a connection stays here."""
        for connection in list(self.admission.connections):
            assert isinstance(connection, ClientConnection)
            is_transferable = connection.is_idle() and not connection.unwritten_bytes()
            if is_transferable and not connection.transfer(pass_on):
                return False
        return True

    def has_connections(self) -> bool:
        """Whether a connection is open."""
        return bool(self.admission)

    def has_unwritten_data(self) -> bool:
        """Whether some bytes of a response are not with the system yet."""
        return any(connection.unwritten_bytes() for connection in self.admission.connections)
