"""The interface between listeners and the gateway: bytes become an IncomingRequest, which gets one final
response.

A listener knows the gateway by RequestGateway alone, the gateway a listener by Listener and whoever sent a
request by ResponseSink; no listener knows another. Beside them are the protocols by which the gateway knows
the other parts of this process, so that none of them is imported before an operator asks for it."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from plumpick.gateway.clock import Clock, Timers
from plumpick.policy.draining import AdmissionState
from plumpick.policy.settings import RequestClass, Settings

SWEEP_INTERVAL_MS = 100.0  # how often listeners close what has had its time
STALL_THRESHOLD_MS = 100.0  # a sweep so much late: this process stalled


class DuplicateRequestIdError(ValueError):
    """The id of a request is that of another one that is open or has just ended; the text says so."""


class IncomingRequest(NamedTuple):
    """A validated request: what the policy decides by, and what a worker is sent."""

    id: bytes
    customer: str
    request_class: RequestClass
    plan: str
    timeout_ms: float  # how long its client waits, from `received_ms`
    units: float
    spread: int
    first: int
    is_retry: bool
    idempotency_key: bytes | None
    method: bytes
    target: bytes
    content_type: bytes | None
    body: bytes
    received_ms: float  # when its last byte was read; if its body is streamed, its head
    stream: Any = None  # a RequestStream in place of the body


class RequestStream(Protocol):
    """A request's body that goes on while it comes (upstream/streaming_body.py)."""

    length: int
    is_started: bool
    is_complete: bool
    is_paused: bool
    last_progress_ms: float


class PausableSource(Protocol):
    """Where a streamed body comes from."""

    def pause(self) -> None:
        """Give no more for now."""

    def resume(self) -> None:
        """Give again."""


class ResponseSink(Protocol):
    """Whoever sent a request: takes its response."""

    def start_response(
        self, length: int, content_type: bytes, source: PausableSource, high_water_bytes: int
    ) -> None:
        """A 200 whose body follows by `write_chunk`, until `finish_response` or `abort_response`. `length`:
        bytes, -1 if it is not known; `high_water_bytes`: that may wait to be written before the source is
        paused."""

    def write_chunk(self, data: bytes) -> None:
        """The next bytes of its body."""

    def finish_response(self) -> None:
        """The body is complete."""

    def abort_response(self) -> None:
        """The rest will not come: the response must not look complete."""

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """The one final response: a status of HTTP, and with 200 a worker's complete body and its type."""

    def has_disconnected(self) -> bool:
        """Whether the client has left, though that may not have been read yet."""

    def abort(self) -> None:
        """Close at once."""


class Listener(Protocol):
    """What the gateway asks of a listener."""

    accepted_connections: int  # since the start

    def sweep_delay_ms(self, now: float) -> float:
        """How late its next sweep is: this process may have stalled for so long."""

    def sweep(self, now: float, is_shutting_down: bool) -> None:
        """Close what has had its time; `is_shutting_down`: the gateway keeps no connection any more. What
        RequestGateway.admission_state says closes besides."""

    def close_idle(self) -> None:
        """Close the connections on which nothing is open."""

    def has_connections(self) -> bool:
        """Whether a connection is still open."""

    def has_unwritten_data(self) -> bool:
        """Whether some bytes of a response are not with the system yet."""

    def connection_count(self) -> int:
        """How many connections there are."""

    def set_descriptor_limit(self, sockets: int) -> None:
        """How many descriptors the process may hold from now on."""

    def reconfigure(self, settings: Settings) -> None:
        """Requests that are read from now on go by these; of what is open nothing changes."""


class RequestGateway(Protocol):
    """What a listener asks of the gateway."""

    clock: Clock
    timers: Timers
    is_ready: bool  # the answer to `/up`
    is_draining: bool  # each response closes its connection
    admission_state: AdmissionState  # what else is closed

    def spare_descriptors(self) -> int:
        """Descriptors reserved for workers that are not used now."""

    def has_stalled(self) -> bool:
        """Whether what is read now may have waited for this process; timers come before it."""

    def create_request_stream(self, source: PausableSource, length: int) -> Any:
        """The RequestStream for a body of so many bytes (-1: not known), to be fed by the caller."""

    def on_body_complete(self, request: Any) -> None:
        """The last byte of a streamed body has come: the request's time counts from now on."""

    def submit(self, sink: ResponseSink, incoming: IncomingRequest) -> Any:
        """A request has come: from here on it is owed one final response. Returns its handle for
        `on_disconnect` and `on_body_complete`; raises DuplicateRequestIdError."""

    def on_disconnect(self, request: Any) -> None:
        """The client of that request has left; if it has been answered, nothing happens."""


class OperatorGateway(Protocol):
    """What the operators' listener asks of the gateway."""

    clock: Clock
    timers: Timers

    def execute_command(self, name: str, argument: str) -> str:
        """Carry out an operator's command; the text of the reply. Raises ValueError where it is rejected,
        with the text of that reply."""


class SiblingProcess(Protocol):
    """What the gateway tells another process of the same gateway, while there are two (hot_restart/)."""

    def on_peer_message(self, sender: int, data: bytes) -> None:
        """A message of a peer has come here."""

    def on_own_message(self, data: bytes) -> None:
        """The policy sends a message to this gateway's own number."""

    def on_operator_command(self, name: str, argument: str) -> None:
        """An operator's command is in force here."""


class RequestCounter(Protocol):
    """Counts requests for the fleet's usage (cluster/usage_collector.py)."""

    def count(self, plan: str, outcome: int, units: float) -> None:
        """A request has its final outcome: served (0), rejected (1) or failed (2)."""


class ClusterParticipant(Protocol):
    """This process's part in what is done for the whole tier (cluster/lease_runner.py)."""

    @property
    def usage(self) -> RequestCounter:
        """Where requests are counted."""

    def on_datagram(self, sender: int, data: bytes) -> None:
        """A datagram about leases has come from a gateway."""

    def want_restart_permit(self, wanted: bool) -> str:
        """Drain this gateway once it has a restart permit, or no longer; the error's text, or nothing."""

    def tasks_status(self, argument: str) -> tuple[bool, str]:
        """The reply to DUTIES: whether the command is rejected, and one line."""

    def budgets_status(self, argument: str) -> tuple[bool, str]:
        """The reply to BUDGETS: whether the command is rejected, and one line."""


class SettingsSource(Protocol):
    """What the gateway asks of the client of its settings (dynamic_config/client.py)."""

    def status_line(self) -> str:
        """The reply to CONFIGURATION."""
