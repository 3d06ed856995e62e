"""The protocol-independent core of the gateway: passes events to the policy and executes its actions.

Everything that happens is posted to the policy as an event (event_turn.py). The actions that the policy
returns are executed on the table of open requests (request_table.py), by the attempt runner
(attempt_runner.py) or in this module. A method that can fail raises a GatewayError and leaves the state
unchanged. Every request gets a final response by its deadline, whatever fails."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from plumpick.gateway.attempt_runner import AttemptRunner
from plumpick.gateway.body_streams import BodyStreams
from plumpick.gateway.clock import Timers
from plumpick.gateway.config import Config, WorkerList
from plumpick.gateway.errors import CommandRejectedError
from plumpick.gateway.event_turn import EventTurn
from plumpick.gateway.listeners.interface import (
    SWEEP_INTERVAL_MS,
    ClusterParticipant,
    ImmediateAnswer,
    IncomingRequest,
    Listener,
    PausableSource,
    ResponseSink,
    SettingsSource,
    SiblingProcess,
)
from plumpick.gateway.loop_monitor import LoopMonitor
from plumpick.gateway.memory_limits import UPSTREAM_DESCRIPTOR_RATIO, MemoryLimits
from plumpick.gateway.memory_monitor import MemoryMonitor
from plumpick.gateway.open_request import REQUEST_ID_RETENTION_MS, OpenRequest
from plumpick.gateway.operator_commands import OperatorCommands
from plumpick.gateway.peers import Peers
from plumpick.gateway.platform import Platform
from plumpick.gateway.request_table import RequestTable
from plumpick.gateway.response_discarder import ResponseDiscarder
from plumpick.gateway.stall_detector import StallDetector
from plumpick.gateway.state_transfer import StateTransfer
from plumpick.gateway.unanswered_requests import UnansweredRequests
from plumpick.gateway.upstream.connection_pool import ConnectionPool
from plumpick.policy.actions import (
    Action,
    CancelAttempt,
    CommandCompleted,
    FailRequest,
    ProbeEndpoint,
    RejectRequest,
    SendPeerMessage,
    SetAdmissionState,
    SetTimer,
    StartAttempt,
    StateExported,
    WatchEndpoints,
)
from plumpick.policy.controller import Controller
from plumpick.policy.draining import LATE_REQUEST_TIME_MS, AdmissionState
from plumpick.policy.events import (
    EndpointState,
    EndpointsUpdated,
    Event,
    PeerMessageReceived,
    ResumeAfterFailedHandover,
    TimerFired,
)
from plumpick.policy.health_status import QuotaHealth
from plumpick.policy.request_lifecycle import DEADLINE_TICKS

LEASE_MESSAGE_TAG = b"\xd5"  # first byte of every lease message (plumpick/policy/leases/codec.py)

log = logging.getLogger(__name__)


class Gateway:
    """One gateway: the policy, the open requests, and the connections to clients, workers and peers."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        controller: Any = None,
        platform: Platform | None = None,
    ) -> None:
        platform = platform or Platform()
        self.config = config
        self.settings = config.settings
        self.clock = platform.clock()
        self.timers = Timers(loop, self.clock)
        self.call_soon: Callable[[Callable[[], None]], Any] = loop.call_soon
        # The policy's controller, which tests replace.
        self.controller: Any = controller or Controller(config.settings, config.seed)
        self.memory_limits = MemoryLimits(config.memory_mb, config.sockets)
        self.memory = self.memory_limits.budget
        self._streams = BodyStreams(self.memory, self.clock.now)
        self.read_buffer = self._streams.read_buffer
        self.connection_pool = self._create_connection_pool(loop, platform)
        self.peers = Peers(config, self.on_peer_message, platform.create_datagram_socket)
        # Callbacks besides the listeners' sweeps, called every SWEEP_INTERVAL_MS.
        self.sweeps: list[Callable[[float], None]] = []
        self.sibling: SiblingProcess | None = None  # the other process of this gateway during a hot restart
        # This process's part in cluster tasks; None if none are configured.
        self.participant: ClusterParticipant | None = None
        # Client of the settings service; None if none is configured.
        self.settings_source: SettingsSource | None = None
        self._listeners: list[Listener] = []
        self._quota_health = QuotaHealth(config.settings.gateway_count, config.settings.gateway_number)
        self._init_lifecycle()
        self._turn = EventTurn(loop, self.clock, self.controller)
        self._discarder = ResponseDiscarder(
            self.clock, loop.call_soon, int(config.sockets * UPSTREAM_DESCRIPTOR_RATIO)
        )
        self.unanswered = UnansweredRequests(self.memory, self.clock.now)
        self.requests = RequestTable(
            self.clock, self.timers, self._turn, self._streams, self._discarder, self.unanswered
        )
        self._attempts = AttemptRunner(
            self.clock, self._turn, self.requests, self.connection_pool, self._streams, self._discarder
        )
        self._commands = OperatorCommands(self, self._turn)
        self._state_transfer = StateTransfer(self._turn)
        self._init_monitors(loop, platform)
        self._turn.handlers = self._action_handlers()
        self.memory_limits.limit_customers(self.controller)
        self.timers.call_at(self.clock.now() + SWEEP_INTERVAL_MS, self._sweep)
        self.timers.call_at(self.clock.now() + REQUEST_ID_RETENTION_MS, self.requests.expire_ids)

    def _create_connection_pool(self, loop: asyncio.AbstractEventLoop, platform: Platform) -> ConnectionPool:
        config = self.config
        return ConnectionPool(
            loop,
            self.clock,
            self.timers,
            self.read_buffer,
            self.memory,
            idle_timeout_ms=config.worker_idle_timeout_ms,
            connect_timeout_ms=config.connect_timeout_ms,
            max_connections=int(config.sockets * UPSTREAM_DESCRIPTOR_RATIO),
            load_report_fields=config.settings.load_report_fields,
            decision_margin_ms=DEADLINE_TICKS * config.settings.tick_ms,
            has_no_unread_input=platform.has_no_unread_input,
            was_transport_reset=platform.was_reset,
        )

    def _init_monitors(self, loop: asyncio.AbstractEventLoop, platform: Platform) -> None:
        self._memory_monitor = MemoryMonitor(
            self.memory_limits, platform.return_freed_memory, platform.resident_bytes
        )
        self._stalls = StallDetector(self._listeners, loop.call_soon)
        self._loop_monitor = LoopMonitor(self._busiest_clients)

    def _init_lifecycle(self) -> None:
        self.is_ready = False  # readiness that listeners report; derived from the fields below
        self.is_draining = False  # whether each response closes its connection; derived from the fields below
        self.is_serving = False
        self.is_shutting_down = False
        # Whether a shutdown is in its late phase, which leaves no connection open.
        self.is_closing_connections = False
        self.has_handed_over = False  # whether the sibling process now accepts the clients
        self.admission_state = AdmissionState.OPEN

    def _action_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        return {
            StartAttempt: self._attempts.start,
            RejectRequest: self.requests.reject,
            FailRequest: self.requests.fail,
            CancelAttempt: self._attempts.cancel,
            SetTimer: self._set_timer,
            SendPeerMessage: self._send_peer_message,
            ProbeEndpoint: self._ignore,
            WatchEndpoints: self._ignore,
            CommandCompleted: self._commands.on_completed,
            SetAdmissionState: self._set_admission_state,
            StateExported: self._state_transfer.on_exported,
        }

    # -- events for the policy

    def post_event(self, event: Event) -> None:
        """Queue an event for the policy, which handles it at the end of this event loop iteration."""
        self._turn.post(event)

    def on_worker_list(self, workers: WorkerList) -> None:
        """Apply a full or incremental list of workers from discovery."""
        displaced = self.connection_pool.update(workers)
        endpoints = [entry.server for entry in workers.entries]
        endpoints += [replace(entry.server, state=EndpointState.GONE) for entry in displaced]
        self._turn.post(EndpointsUpdated(tuple(endpoints), workers.complete))

    def on_peer_message(self, sender: int, data: bytes) -> None:
        """Handle a datagram of a peer: lease messages go to the cluster participant, others to the policy."""
        if self.participant is not None and data[:1] == LEASE_MESSAGE_TAG:
            self.participant.on_datagram(sender, data)
            return
        self._turn.post(PeerMessageReceived(sender, data))
        if self.sibling is not None:
            self.sibling.on_peer_message(sender, data)

    def on_relayed_message(self, sender: int, data: bytes) -> None:
        """Handle a peer message that the sibling process received or sent."""
        self._turn.post(PeerMessageReceived(sender, data))

    def set_participant(self, participant: ClusterParticipant | None) -> None:
        """Set the cluster participant, which also counts the outcomes of requests; None removes it."""
        self.participant = participant
        self.requests.participant = participant

    # -- operators' commands

    def execute_command(self, name: str, argument: str) -> str:
        """Execute an operator's command synchronously and return the text of the reply.

        Raises CommandRejectedError, and ValueError for a command that the policy does not know."""
        return self._commands.execute(name, argument)

    def apply_command(self, name: str, argument: str) -> None:
        """Have only the policy execute a command. For commands that this process issues itself, or that the
        sibling process has already executed. Raises the same errors as `execute_command`."""
        self._commands.apply(name, argument)

    def readiness(self) -> str:
        """Return the reply to READY; raises CommandRejectedError while this process accepts no clients."""
        if not self.is_serving:
            raise CommandRejectedError("not accepting clients yet")
        if self.is_shutting_down:
            raise CommandRejectedError("shutting down")
        if self.has_handed_over:
            raise CommandRejectedError("handed over to the successor process")
        return "draining" if self.admission_state else "ready"

    def reconfigure(self, config: Config) -> None:
        """Put new settings in force, from the next event turn on. `config` must equal the current
        configuration in everything except its settings.

        Open requests keep their class and plan, and no connection is closed. If SettingsRejectedError is
        raised, nothing has changed."""
        self._commands.change_settings(self.config, config)
        self.config = config
        self.settings = config.settings
        self.connection_pool.reconfigure(
            config.worker_idle_timeout_ms,
            config.connect_timeout_ms,
            config.settings.load_report_fields,
            DEADLINE_TICKS * config.settings.tick_ms,
        )
        for listener in self._listeners:
            listener.reconfigure(config.settings)

    def request_lifetimes_ms(self) -> list[float]:
        """Return, in ms, the deadline of each request class in force and the remaining time of each open
        request. A request keeps its class even if the settings have since removed or changed it."""
        class_deadlines_ms = [request_class.deadline_ms for request_class in self.settings.classes]
        return class_deadlines_ms + self.requests.remaining_ms()

    def _set_admission_state(self, action: SetAdmissionState) -> None:
        """Change which clients are accepted: SetAdmissionState of the policy."""
        before = self.admission_state
        self.admission_state = action.state
        if before != self.admission_state and AdmissionState.OPEN in (before, self.admission_state):
            log.info(
                "draining %s",
                "has begun: /up answers 503 and each response closes its connection"
                if self.admission_state
                else "has ended: clients' connections stay open again",
            )
        if before < AdmissionState.BOUNDING_LATE_REQUESTS <= self.admission_state:
            self.requests.late_deadline_ms = self.clock.now() + LATE_REQUEST_TIME_MS
        elif self.admission_state < AdmissionState.BOUNDING_LATE_REQUESTS:
            self.requests.late_deadline_ms = math.inf
        self._update_readiness()

    def _update_readiness(self) -> None:
        # During a hot restart a readiness check may reach the predecessor: it must answer for the gateway.
        is_accepting_clients = self.has_handed_over or not self.is_shutting_down
        self.is_ready = self.is_serving and not self.admission_state and is_accepting_clients
        self.is_draining = self.is_closing_connections or self.has_handed_over or bool(self.admission_state)

    # -- calls from listeners

    def add_listener(self, listener: Listener) -> None:
        """Add a listener that accepts requests for this gateway."""
        self._listeners.append(listener)

    def count_immediate_answer(self, kind: ImmediateAnswer) -> None:
        """Count a request that a listener answers without an attempt."""
        self._loop_monitor.count(kind)

    def spare_descriptors(self) -> int:
        """Return how many descriptors reserved for workers may serve clients now: half of the unused ones."""
        return self.connection_pool.unused_connections() // 2

    def create_request_stream(self, source: PausableSource, length: int) -> Any:
        """Create the RequestStream for a request body of `length` bytes (-1: unknown)."""
        return self._streams.create(source, length)

    def submit(self, sink: ResponseSink, incoming: IncomingRequest) -> OpenRequest:
        """Open a request, which then gets exactly one final response; raises DuplicateRequestIdError, and
        RequestExpiredError."""
        now = self.clock.now()
        request = self.requests.submit(sink, incoming, now, self._stalls.max_unread_ms(now))
        if self.has_handed_over and self.sibling is not None:
            self.sibling.on_request_id_claimed(incoming.id)
        return request

    def is_answer_time_over(self) -> bool:
        """Whether all requests of a shutdown should have been answered by now."""
        return self.clock.now() >= self.requests.shutdown_deadline_ms

    def on_body_complete(self, request: OpenRequest) -> None:
        """Start the request's deadline: the last byte of its streamed body has been received."""
        self.requests.on_body_complete(request)

    def on_disconnect(self, request: OpenRequest) -> None:
        """Close the request of a client that has disconnected; does nothing after the final response."""
        self.requests.on_disconnect(request)

    # -- actions of the policy without a module of their own

    def _set_timer(self, action: SetTimer) -> None:
        event = TimerFired(action.name)
        # Rounded up to the policy's tick, so that all timers due within one tick share one event turn.
        due_ms = self.clock.now() + action.delay_ms
        tick_ms = max(1.0, self.settings.tick_ms)
        self.timers.call_at(math.ceil(due_ms / tick_ms) * tick_ms, lambda: self._turn.post(event))

    def _send_peer_message(self, action: SendPeerMessage) -> None:
        if action.receiver != self.settings.gateway_number:
            self.peers.send(action.receiver, action.data)
        elif self.sibling is not None:
            self.sibling.on_own_message(action.data)

    def _ignore(self, _action: Action) -> None:
        """Ignore an action: discovery is always watched, and workers may not be probed."""

    # -- sweeps and descriptor limits

    def _sweep(self) -> None:
        now = self.clock.now()
        self._loop_monitor.sweep(now, self._stalls.sweep_delay_ms(now))
        self._stalls.sweep(now)
        line = self._quota_health.update(now, self.controller.unresponsive_owners())
        if line:
            log.warning(line)
        self.timers.call_at(now + SWEEP_INTERVAL_MS, self._sweep)
        self.requests.end_abandoned_uploads()
        self._streams.sweep(now, self.requests)
        self._discarder.sweep(now)
        self.memory_limits.limit_customers(self.controller)
        self._memory_monitor.sweep(now)
        for listener in self._listeners:
            listener.sweep(now, self.is_closing_connections)
        for sweep in self.sweeps:
            sweep(now)

    def _busiest_clients(self) -> str:
        return " ".join(listener.busiest_clients() for listener in self._listeners)

    def descriptor_count(self) -> int:
        """Return how many descriptors connections to clients and workers use now."""
        client_count = sum(listener.connection_count() for listener in self._listeners)
        return self.connection_pool.connection_count() + client_count

    def memory_status(self) -> str:
        """Return the reply to MEMORY: what is held by whom."""
        return self._memory_monitor.status_line()

    def set_descriptor_limit(self, descriptors: int) -> None:
        """Adapt the limits on connections to the process's new descriptor limit."""
        self.memory_limits.set_descriptors(descriptors)
        max_connections = int(descriptors * UPSTREAM_DESCRIPTOR_RATIO)
        self.connection_pool.set_max_connections(max_connections)
        self._discarder.set_max_connections(max_connections)
        for listener in self._listeners:
            listener.set_descriptor_limit(descriptors)

    # -- start, hot restart and shutdown

    def start_serving(self, is_shutting_down: bool = False) -> None:
        """Accept clients from now on. With `is_shutting_down` (SIGTERM came during the start) the process
        serves them but never reports that it is ready."""
        self.is_serving = True
        self.is_shutting_down = is_shutting_down
        self._update_readiness()

    def export_state(self) -> Mapping[str, Any]:
        """Return the policy's state for the successor of a hot restart, which owns it from then on. Raises
        StateNotExportedError."""
        return self._state_transfer.export_state()

    def start_handover(self, sibling: SiblingProcess) -> None:
        """Let the successor process accept all clients from now on."""
        self.sibling = sibling
        self.has_handed_over = True
        self.memory_limits.set_process_count(2)
        self._update_readiness()

    def begin_takeover(self) -> None:
        """Keep operators' commands, as this process may take over from a hot-restart predecessor."""
        self._commands.begin_takeover()

    def end_takeover(self) -> None:
        """Put the kept commands in force again, here and in the predecessor, and keep no further ones."""
        self._commands.end_takeover()

    def import_state(self, state: Mapping[str, Any]) -> None:
        """Restore the policy's state that the predecessor of a hot restart exported."""
        self._state_transfer.import_state(state)

    def resume_after_failed_handover(self) -> None:
        """Accept clients again after the successor of a hot restart has died."""
        self.has_handed_over = False
        self.sibling = None
        self.memory_limits.set_process_count(1)
        self._turn.post(ResumeAfterFailedHandover())
        self._update_readiness()

    def close_idle_upstream_connections(self) -> None:
        """Close the idle connections to workers: after a handover their descriptors are not needed here."""
        self.connection_pool.close_idle()

    def shut_down_within(self, timeout_ms: float) -> None:
        """Begin a planned shutdown: requests are still accepted, but each request, open or new, gets its
        final response within `timeout_ms` from now."""
        self.is_shutting_down = True
        self.requests.shut_down_by(self.clock.now() + timeout_ms)
        self._update_readiness()

    def start_closing_connections(self) -> None:
        """Make each response close its connection from now on."""
        self.is_closing_connections = True
        self._update_readiness()

    def close_idle(self) -> None:
        """Close the clients' connections that have no open request."""
        for listener in self._listeners:
            listener.close_idle()

    def is_idle(self) -> bool:
        """Whether no request is open and no client is connected."""
        return not self.requests.open and not self._has_connections()

    def has_answered_all(self) -> bool:
        """Whether every request has its response and the clients' machines have acknowledged all of it."""
        return not self.requests.open and not any(
            listener.has_queued_requests() or listener.has_undelivered_data() for listener in self._listeners
        )

    def record_unanswered_at_exit(self) -> None:
        """Record the requests that have no response when this process exits."""
        self.requests.record_open_at_exit()
        for listener in self._listeners:
            listener.record_queued_requests()

    def has_unfinished_work(self) -> bool:
        """Close idle connections, then return whether a request is open, a client still connected or a
        response being discarded."""
        self.close_idle()
        return not self.is_idle() or len(self._discarder) > 0

    def _has_connections(self) -> bool:
        return any(listener.has_connections() for listener in self._listeners)
