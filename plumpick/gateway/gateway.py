"""The gateway: events in, actions out. It knows no protocol.

What happens becomes an event of the policy (event_turn.py), whose actions are carried out: on the table of
open requests (request_table.py), by attempts (attempt_runner.py), or here. What may fail raises a
GatewayError and changes nothing; every request has a final response by its deadline, whatever fails."""

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
    IncomingRequest,
    Listener,
    PausableSource,
    ResponseSink,
    SettingsSource,
    SiblingProcess,
)
from plumpick.gateway.open_request import REQUEST_ID_RETENTION_MS, OpenRequest
from plumpick.gateway.operator_commands import OperatorCommands
from plumpick.gateway.peers import Peers
from plumpick.gateway.platform import Platform
from plumpick.gateway.request_table import RequestTable
from plumpick.gateway.stall_detector import StallDetector
from plumpick.gateway.state_transfer import StateTransfer
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

# Of the descriptors. Clients have up to 0.46 (listeners/http/connection_admission.py); the rest, 30 of the
# smallest limit of 256, is for discovery, peers and the loop itself.
UPSTREAM_DESCRIPTOR_RATIO = 0.42
STREAM_MEMORY_RATIO = 0.25  # of the memory limit, for streamed bodies
LEASE_MESSAGE_TAG = b"\xd5"  # the first byte of a message about leases (plumpick/policy/leases/codec.py)

log = logging.getLogger(__name__)


class Gateway:
    """One gateway: the policy, its open requests, and the ways to clients, workers and peers."""

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
        self.controller: Any = controller or Controller(config.settings, config.seed)  # tests have another
        self.connection_pool = ConnectionPool(
            loop,
            self.clock,
            self.timers,
            idle_timeout_ms=config.idle_ms,
            connect_timeout_ms=config.dial_timeout_ms,
            max_connections=int(config.sockets * UPSTREAM_DESCRIPTOR_RATIO),
            load_report_fields=config.settings.load_report_fields,
            is_transport_quiet=platform.has_no_unread_input,
            was_transport_reset=platform.was_reset,
        )
        self.peers = Peers(config, self.on_peer_message, platform.create_datagram_socket)
        self.sweeps: list[Callable[[float], None]] = []  # of others that are due as often as the listeners'
        self.sibling: SiblingProcess | None = None  # the other process, while there are two of this gateway
        # Where the operator names work for the whole tier, and a service of settings.
        self.participant: ClusterParticipant | None = None
        self.settings_source: SettingsSource | None = None
        self._listeners: list[Listener] = []
        self._quota_health = QuotaHealth(config.settings.gateway_count, config.settings.gateway_number)
        self._init_lifecycle()
        self._turn = EventTurn(loop, self.clock, self.controller)
        self._streams = BodyStreams(int(config.memory_mb * 2**20 * STREAM_MEMORY_RATIO))
        self.requests = RequestTable(self.clock, self.timers, self._turn, self._streams)
        self._attempts = AttemptRunner(
            self.clock, self._turn, self.requests, self.connection_pool, self._streams
        )
        self._commands = OperatorCommands(self, self._turn)
        self._state_transfer = StateTransfer(self._turn)
        self._stalls = StallDetector(self._listeners, loop.call_soon)
        self._turn.handlers = self._action_handlers()
        self.timers.at(self.clock.now() + SWEEP_INTERVAL_MS, self._sweep)
        self.timers.at(self.clock.now() + REQUEST_ID_RETENTION_MS, self.requests.expire_ids)

    def _init_lifecycle(self) -> None:
        self.is_ready = False  # of all that follows, what listeners are told
        self.is_draining = False
        self.is_serving = False
        self.is_shutting_down = False
        self.is_closing_connections = False  # so late in a shutdown that no connection is left open
        self.has_handed_over = False  # the sibling takes the clients now
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

    # -- events

    def post_event(self, event: Event) -> None:
        """Add an event to the policy's next turn, at the end of this turn of the loop."""
        self._turn.post(event)

    def on_worker_list(self, workers: WorkerList) -> None:
        """Discovery has sent a list of workers, or a change of it."""
        displaced = self.connection_pool.update(workers)
        endpoints = [entry.server for entry in workers.entries]
        endpoints += [replace(entry.server, state=EndpointState.GONE) for entry in displaced]
        self._turn.post(EndpointsUpdated(tuple(endpoints), workers.complete))

    def on_peer_message(self, sender: int, data: bytes) -> None:
        """A peer has sent a message."""
        if self.participant is not None and data[:1] == LEASE_MESSAGE_TAG:
            self.participant.on_datagram(sender, data)
            return
        self._turn.post(PeerMessageReceived(sender, data))
        if self.sibling is not None:
            self.sibling.on_peer_message(sender, data)

    def on_relayed_message(self, sender: int, data: bytes) -> None:
        """The sibling has passed on a message of a peer, or has sent one itself."""
        self._turn.post(PeerMessageReceived(sender, data))

    def set_participant(self, participant: ClusterParticipant | None) -> None:
        """This gateway's part in the work for the whole tier, which counts how requests end."""
        self.participant = participant
        self.requests.participant = participant

    # -- operators

    def execute_command(self, name: str, argument: str) -> str:
        """Carry out an operator's command before this returns; the text of the reply. Raises
        CommandRejectedError, and ValueError for a command that the policy does not know."""
        return self._commands.execute(name, argument)

    def apply_command(self, name: str, argument: str) -> None:
        """The same for a command of this process's own, or one that is in force in the sibling: only the
        policy is asked. Raises as `execute_command`."""
        self._commands.apply(name, argument)

    def readiness(self) -> str:
        """The reply to READY; raises CommandRejectedError while this process takes no clients."""
        if not self.is_serving:
            raise CommandRejectedError("not up yet")
        if self.is_shutting_down:
            raise CommandRejectedError("ending")
        if self.has_handed_over:
            raise CommandRejectedError("handed over")
        return "draining" if self.admission_state else "ready"

    def reconfigure(self, config: Config) -> None:
        """Go on by other settings from the next turn on. `config`: the present one but for its settings.

        Open requests keep their class and plan, and no connection closes. Raises SettingsRejectedError, and
        then nothing has changed."""
        self._commands.change_settings(self.config, config)
        self.config = config
        self.settings = config.settings
        self.connection_pool.reconfigure(
            config.idle_ms, config.dial_timeout_ms, config.settings.load_report_fields
        )
        for listener in self._listeners:
            listener.reconfigure(config.settings)

    def request_lifetimes_ms(self) -> list[float]:
        """How long requests may be open: of each class in force, and what is left to those that are open,
        which may be of older ones."""
        return [one.deadline_ms for one in self.settings.classes] + self.requests.remaining_ms()

    def _set_admission_state(self, action: SetAdmissionState) -> None:
        """Clients are sent away, or taken again."""
        before = self.admission_state
        self.admission_state = action.state
        if before != self.admission_state and AdmissionState.OPEN in (before, self.admission_state):
            log.info("clients are %s", "sent away" if self.admission_state else "taken again")
        if before < AdmissionState.BOUNDING_LATE_REQUESTS <= self.admission_state:
            self.requests.late_deadline_ms = self.clock.now() + LATE_REQUEST_TIME_MS
        elif self.admission_state < AdmissionState.BOUNDING_LATE_REQUESTS:
            self.requests.late_deadline_ms = math.inf
        self._update_readiness()

    def _update_readiness(self) -> None:
        # Who asks the older of two processes whether it is ready means the gateway.
        is_taking_clients = self.has_handed_over or not self.is_shutting_down
        self.is_ready = self.is_serving and not self.admission_state and is_taking_clients
        self.is_draining = self.is_closing_connections or self.has_handed_over or bool(self.admission_state)

    # -- listeners

    def add_listener(self, listener: Listener) -> None:
        """One more listener takes requests."""
        self._listeners.append(listener)

    def spare_descriptors(self) -> int:
        """Descriptors reserved for workers that are not used now."""
        return self.connection_pool.unused_connections() // 2

    def has_stalled(self) -> bool:
        """Whether what is read now may have waited for this process."""
        return self._stalls.unread_ms(self.clock.now()) > 0.0

    def create_request_stream(self, source: PausableSource, length: int) -> Any:
        """The RequestStream for a body of so many bytes (-1: not known)."""
        return self._streams.create(source, length)

    def submit(self, sink: ResponseSink, incoming: IncomingRequest) -> OpenRequest:
        """Open a request, which is owed one final response; raises DuplicateRequestIdError."""
        now = self.clock.now()
        return self.requests.submit(sink, incoming, now, self._stalls.unread_ms(now))

    def on_body_complete(self, request: OpenRequest) -> None:
        """The last byte of a streamed body has come: from now on its client waits."""
        self.requests.on_body_complete(request)

    def on_disconnect(self, request: OpenRequest) -> None:
        """The client of that request has left; if it has its response, nothing happens."""
        self.requests.on_disconnect(request)

    # -- other actions

    def _set_timer(self, action: SetTimer) -> None:
        event = TimerFired(action.name)
        # On the grid of the policy's ticks, so that timers due within one tick take one turn.
        due_ms = self.clock.now() + action.delay_ms
        tick_ms = max(1.0, self.settings.tick_ms)
        self.timers.at(math.ceil(due_ms / tick_ms) * tick_ms, lambda: self._turn.post(event))

    def _send_peer_message(self, action: SendPeerMessage) -> None:
        if action.receiver != self.settings.gateway_number:
            self.peers.send(action.receiver, action.data)
        elif self.sibling is not None:
            self.sibling.on_own_message(action.data)

    def _ignore(self, _action: Action) -> None:
        """Discovery is watched unasked, and workers may not be probed."""

    # -- housekeeping

    def _sweep(self) -> None:
        now = self.clock.now()
        self._stalls.sweep(now)
        line = self._quota_health.update(now, self.controller.unresponsive_owners())
        if line:
            log.warning(line)
        self.timers.at(now + SWEEP_INTERVAL_MS, self._sweep)
        self._streams.sweep(now, self.requests.on_upload_stalled)
        for listener in self._listeners:
            listener.sweep(now, self.is_closing_connections)
        for sweep in self.sweeps:
            sweep(now)

    def descriptor_count(self) -> int:
        """How many descriptors are open now, but for a few of the program's own."""
        client_count = sum(listener.connection_count() for listener in self._listeners)
        return self.connection_pool.connection_count() + client_count

    def set_descriptor_limit(self, descriptors: int) -> None:
        """From now on open no more descriptors than go with that limit."""
        self.connection_pool.set_max_connections(int(descriptors * UPSTREAM_DESCRIPTOR_RATIO))
        for listener in self._listeners:
            listener.set_descriptor_limit(descriptors)

    # -- start, hot restart and shutdown

    def start_serving(self, is_shutting_down: bool = False) -> None:
        """Take clients from now on; never ready if it was told to stop before (`is_shutting_down`)."""
        self.is_serving = True
        self.is_shutting_down = is_shutting_down
        self._update_readiness()

    def export_state(self) -> Mapping[str, Any]:
        """The state that the sibling goes on from, which owns it from now on. Raises
        StateNotExportedError."""
        return self._state_transfer.export_state()

    def start_handover(self, sibling: SiblingProcess) -> None:
        """The sibling takes the clients from now on."""
        self.sibling = sibling
        self.has_handed_over = True
        self._update_readiness()

    def import_state(self, state: Mapping[str, Any]) -> None:
        """Go on from the state of the process before."""
        self._state_transfer.import_state(state)

    def resume_after_failed_handover(self) -> None:
        """The sibling has died; clients are taken here again."""
        self.has_handed_over = False
        self.sibling = None
        self._turn.post(ResumeAfterFailedHandover())
        self._update_readiness()

    def close_idle_upstream_connections(self) -> None:
        """The sibling takes what comes: no more descriptors are needed here than are in use."""
        self.connection_pool.close_idle()

    def shut_down_within(self, timeout_ms: float) -> None:
        """A planned shutdown: what comes is served as before, but by then all has its response, also what is
        open."""
        self.is_shutting_down = True
        self.requests.shut_down_by(self.clock.now() + timeout_ms)
        self._update_readiness()

    def start_closing_connections(self) -> None:
        """From now on each response closes its connection."""
        self.is_closing_connections = True
        self._update_readiness()

    def close_idle(self) -> None:
        """Close the clients' connections on which nothing is open."""
        for listener in self._listeners:
            listener.close_idle()

    def is_idle(self) -> bool:
        """Whether no request is open and no client connected."""
        return not self.requests.open and not self._has_connections()

    def has_answered_all(self) -> bool:
        """Whether each request has its response, and the kernel all of its bytes."""
        return not self.requests.open and not any(
            listener.has_unwritten_data() for listener in self._listeners
        )

    def has_unfinished_work(self) -> bool:
        """Whether a request is open or a client connected, once new idle connections are closed."""
        self.close_idle()
        return bool(self.requests.open) or self._has_connections()

    def _has_connections(self) -> bool:
        return any(listener.has_connections() for listener in self._listeners)
