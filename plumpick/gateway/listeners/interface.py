"""The interface between listeners and the gateway: a listener parses bytes into an IncomingRequest, and the
gateway gives it exactly one final response.

A listener depends on the gateway only through RequestGateway. The gateway depends on a listener only through
Listener, and on the sender of a request only through ResponseSink. Listeners do not depend on each other. The
other protocols here decouple the gateway from optional parts of this process: their modules are imported only
if the operator's configuration enables them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.loop_monitor import ImmediateAnswer
from plumpick.gateway.memory_budget import MemoryBudget
from plumpick.gateway.read_buffer import ReadBuffer
from plumpick.gateway.unanswered_requests import EndReason, UnansweredRequests
from plumpick.policy.draining import AdmissionState
from plumpick.policy.settings import RequestClass, Settings

SWEEP_INTERVAL_MS = 100.0  # interval at which listeners close connections that have timed out
STALL_THRESHOLD_MS = 100.0  # delay of a sweep above which this process counts as stalled


class DuplicateRequestIdError(ValueError):
    """The id of a request equals that of another request that is open or has recently ended."""


class RequestExpiredError(Exception):
    """The time of a request was over before it was its turn."""


class MemoryExhaustedError(Exception):
    """A request is refused, since the memory that clients may use is used up."""


class IncomingRequest(NamedTuple):
    """A validated request: the policy's input and the data that workers are sent."""

    id: bytes
    customer: str
    request_class: RequestClass
    plan: str
    timeout_ms: float  # time for which the client waits, from `received_ms`
    units: float
    spread: int
    first: int
    is_retry: bool
    idempotency_key: bytes | None
    method: bytes
    target: bytes
    content_type: bytes | None
    body: bytes
    received_ms: float  # time at which the last byte was read, or of the head if the body is streamed
    stream: Any = None  # RequestStream that replaces `body` if the body is streamed


class RequestStream(Protocol):
    """A request's body that is forwarded while it is received (upstream/streaming_body.py)."""

    length: int
    high_water_bytes: int
    is_started: bool
    is_complete: bool
    is_paused: bool
    last_progress_ms: float
    on_paused: Callable[[], None] | None  # called when the source has been paused

    def backpressure_ms(self) -> float:
        """Return for how long in total the source has been paused although the client may have sent the whole
        body."""

    def paused_ms(self) -> float:
        """Return for how long the source has been paused without interruption; 0.0 if it is not paused."""

    def release(self) -> None:
        """Drop the buffered bytes and the reference to the source: the request has ended."""


class PausableSource(Protocol):
    """The connection that provides a streamed body."""

    def pause(self) -> None:
        """Stop reading from the connection."""

    def resume(self) -> None:
        """Continue reading from the connection."""


class ResponseSink(Protocol):
    """The client connection of a request, as the receiver of its response."""

    def start_response(
        self, length: int, content_type: bytes, source: PausableSource, high_water_bytes: int
    ) -> None:
        """Start a response with status 200. Its body follows in calls of `write_chunk`, up to
        `finish_response` or `abort_response`.

        `length`: of the body in bytes, -1 if unknown. `high_water_bytes`: number of unwritten bytes above
        which the source is paused."""

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of the streamed response body."""

    def finish_response(self) -> None:
        """End the streamed response: its body is complete."""

    def abort_response(self) -> None:
        """Break off the streamed response in such a way that the client cannot take it for complete."""

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the final response: an HTTP status, with 200 also the worker's complete body and its content
        type. A `retry_after_ms` above 0 is sent as Retry-After."""

    def unwritten_bytes(self) -> int:
        """Return the number of response bytes not yet handed to the kernel; 0 if the client has gone."""

    def undelivered_bytes(self) -> int:
        """Return the number of response bytes that the client's machine has not acknowledged."""

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not processed that yet."""

    def abort(self, reason: EndReason = EndReason.CLIENT_LEFT) -> None:
        """Close the connection at once."""


class Listener(Protocol):
    """A listener as the gateway uses it."""

    accepted_connections: int  # number of connections accepted since the start

    def sweep_delay_ms(self, now: float) -> float:
        """Return by how much the next sweep is overdue, which is the duration of a possible stall."""

    def sweep(self, now: float, is_shutting_down: bool) -> None:
        """Close the connections that have timed out, by the shorter timeouts of a shutdown if
        `is_shutting_down`, and those that RequestGateway.admission_state excludes."""

    def close_idle(self) -> None:
        """Close the connections that have no open request."""

    def has_connections(self) -> bool:
        """Whether a connection is still open."""

    def has_queued_requests(self) -> bool:
        """Whether requests were read that are not served yet, behind others on their connection."""

    def record_queued_requests(self) -> None:
        """Record the requests that are not served yet when this process exits."""

    def busiest_clients(self) -> str:
        """Return which connections had the most answers without an attempt since the previous call, and how
        many."""

    def has_undelivered_data(self) -> bool:
        """Whether the machine of a client has not acknowledged all response bytes yet."""

    def connection_count(self) -> int:
        """Return the number of open connections."""

    def set_descriptor_limit(self, sockets: int) -> None:
        """Adapt the limits on connections to the process's new descriptor limit."""

    def reconfigure(self, settings: Settings) -> None:
        """Validate requests by these settings from now on; open requests are not affected."""


class RequestGateway(Protocol):
    """The gateway as a listener uses it."""

    clock: Clock
    timers: Timers
    # Schedules a callback for the next iteration of the event loop.
    call_soon: Callable[[Callable[[], None]], Any]
    is_ready: bool  # readiness reported at `/up`
    is_draining: bool  # whether each response closes its connection
    admission_state: AdmissionState  # stage of draining, which determines further connections to close
    read_buffer: ReadBuffer  # buffer into which connections are read
    memory: MemoryBudget  # account of the memory that clients use
    unanswered: UnansweredRequests  # record of the requests without a complete response

    def count_immediate_answer(self, kind: ImmediateAnswer) -> None:
        """Count a request that a listener answers without an attempt."""

    def spare_descriptors(self) -> int:
        """Return how many descriptors reserved for workers may be used for clients now."""

    def create_request_stream(self, source: PausableSource, length: int) -> Any:
        """Create the RequestStream for a body of `length` bytes (-1: unknown); the caller must feed it.
        Raises MemoryExhaustedError."""

    def is_answer_time_over(self) -> bool:
        """Whether all requests of a shutdown should have been answered by now."""

    def on_body_complete(self, request: Any) -> None:
        """Start the request's deadline: the last byte of its streamed body has been received."""

    def submit(self, sink: ResponseSink, incoming: IncomingRequest) -> Any:
        """Open a request, which then gets exactly one final response. Returns its handle for `on_disconnect`
        and `on_body_complete`; raises DuplicateRequestIdError, and RequestExpiredError."""

    def on_disconnect(self, request: Any) -> None:
        """Close the request of a client that has disconnected; does nothing after the final response."""


class OperatorGateway(Protocol):
    """The gateway as the operators' listener uses it."""

    clock: Clock
    timers: Timers

    def execute_command(self, name: str, argument: str) -> str:
        """Execute an operator's command and return the text of the reply. If the command is rejected, raises
        ValueError with the text of the reply."""


class SiblingProcess(Protocol):
    """The other process of this gateway during a hot restart (hot_restart/), as the gateway notifies it."""

    def on_peer_message(self, sender: int, data: bytes) -> None:
        """Forward a peer message that this process has received."""

    def on_own_message(self, data: bytes) -> None:
        """Forward a message that this process's policy has sent to its own gateway number."""

    def on_request_id_claimed(self, client_id: bytes) -> None:
        """Report the id of a request that this process, the predecessor, has opened since its handover."""

    def on_operator_command(self, name: str, argument: str) -> None:
        """Forward an operator's command that this process has executed."""


class RequestCounter(Protocol):
    """Counts requests for the fleet's usage reports (cluster/usage_collector.py)."""

    def count(self, plan: str, outcome: int, units: float) -> None:
        """Count a request with its final outcome: served (0), rejected (1) or failed (2)."""


class ClusterParticipant(Protocol):
    """This process as a participant in the tasks that all gateways share (cluster/lease_runner.py)."""

    @property
    def usage(self) -> RequestCounter:
        """The counter of this process's requests."""

    def on_datagram(self, sender: int, data: bytes) -> None:
        """Handle a lease message from another gateway."""

    def request_restart_permit(self, wanted: bool) -> str:
        """Request a restart permit, or withdraw the request if not `wanted`. Once the permit is granted this
        gateway drains. Returns an error text, empty if the request is accepted."""

    def tasks_status(self, argument: str) -> tuple[bool, str]:
        """Return whether a DUTIES command is rejected, and its reply of one line."""

    def budgets_status(self, argument: str) -> tuple[bool, str]:
        """Return whether a BUDGETS command is rejected, and its reply of one line."""


class SettingsSource(Protocol):
    """The client of the settings service as the gateway uses it (dynamic_config/client.py)."""

    def status_line(self) -> str:
        """Return the reply to CONFIGURATION."""
