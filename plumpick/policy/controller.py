"""The decision module of one gateway: takes events and returns actions, deterministically for a given seed.

The controller only dispatches events and timers; admission.py, load_balancing.py, retry.py, quota/ and other
modules make the decisions. An exception in one step of a turn is collected in `faults` for the log, and the
remaining steps still run."""

from __future__ import annotations

import math
from collections.abc import Callable

from plumpick.policy import reconfiguration, snapshot
from plumpick.policy.actions import (
    Action,
    CommandCompleted,
    SendPeerMessage,
    SetAdmissionState,
    SetTimer,
    StateExported,
    WatchEndpoints,
)
from plumpick.policy.concurrency_limit import PERIOD_MS
from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.errors import CommandError, ReconfigurationError, TimerLoopError
from plumpick.policy.events import (
    AttemptCompleted,
    ClientDisconnected,
    CommandKind,
    EndpointsUpdated,
    Event,
    ExportState,
    ImportState,
    OperatorCommand,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    ResumeAfterFailedHandover,
    SettingsChanged,
)
from plumpick.policy.load_balancing import peer_report_weight
from plumpick.policy.peer_messages import OutlierReport, PeerMessageCodec, QuotaMessage
from plumpick.policy.request_lifecycle import RequestLifecycle
from plumpick.policy.request_state import Request
from plumpick.policy.settings import Settings
from plumpick.policy.state import GatewayState
from plumpick.policy.timers import CLOCK_GRAIN_MS, TimerKind
from plumpick.policy.turn import Turn

TIMER_NAME = "agenda"  # name of the single timer that the controller sets
REMOVAL_INTERVAL_MS = 250.0
# Number of turns in a row that set timers in the past, from which on it is a fault
MAX_TURNS_WITH_OVERDUE_TIMERS = 100
WATCH_RETRY_RATIO = 0.25  # delay after a failed endpoint watch, as a fraction of settings.watch_retry_ms


class Controller:
    """Makes the decisions of one gateway. `seed` initializes their only random number generator."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.turn = Turn()
        self.state = GatewayState(settings, seed, self._on_quota_reply, self._on_quota_denied)
        self.lifecycle = RequestLifecycle(self.state, self.turn)
        self.is_quota_started = False
        self.timer_ms = math.inf  # time at which the timer fires; infinite while none is set
        self.next_removal_ms = 0.0  # time of the next removal of expired entries
        self.turns_with_overdue_timers = 0  # number of the latest turns that left a timer that was due

    @property
    def faults(self) -> list[Exception]:
        """The exceptions raised by steps of the last turn."""
        return self.turn.faults

    @property
    def actions(self) -> list[Action]:
        """The actions requested by the last turn."""
        return self.turn.actions

    @property
    def requests(self) -> dict[int, Request]:
        """The open requests, by id."""
        return self.state.requests

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.state.settings

    @property
    def codec(self) -> PeerMessageCodec:
        """The codec of messages between gateways with these classes and plans."""
        return self.state.codec

    def limit_by_budgets(self, is_within: Callable[[RequestReceived], bool] | None) -> None:
        """Set the check of the tier-wide budgets that new requests must pass besides their quota; None
        removes it."""
        self.lifecycle.is_within_budgets = is_within

    def limit_customers(self, max_customers: int) -> None:
        """Set the number of customers up to which new ones are served, as requester and as quota owner."""
        self.state.quota.limit_customers(max_customers)

    def customer_counts(self) -> tuple[int, int]:
        """Return the number of accounts and of ledgers of customers."""
        return len(self.state.quota.requester.accounts), len(self.state.quota.owner.ledgers)

    def unresponsive_owners(self) -> frozenset[int]:
        """Numbers of the gateways that did not answer a grant request and have sent no message since then."""
        return frozenset(self.state.quota.liveness.unresponsive_owners)

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Process events and due timers; returns the actions to execute. `now_ms` is read from a monotonic
        clock."""
        state, turn = self.state, self.turn
        is_first = turn.begin(now_ms)
        if now_ms >= self.timer_ms - CLOCK_GRAIN_MS:
            self.timer_ms = math.inf
        if is_first:
            state.timers.schedule(now_ms, TimerKind.PERIOD)
            state.timers.schedule(now_ms, TimerKind.WATCH_ENDPOINTS)
        self.is_quota_started = self.is_quota_started or turn.run_isolated(state.quota.begin, now_ms)
        leaving: list[TrackedEndpoint] = []
        for event in events:
            turn.run_isolated(self.on_event, event, leaving)
        if leaving and state.settings.can_hedge:
            for request in list(state.requests.values()):
                turn.run_isolated(self.lifecycle.attempts.retry_elsewhere, request, leaving)
        self._fire_timers()
        turn.run_isolated(self.lifecycle.release)
        turn.run_isolated(self.flush_outbox)
        if not turn.run_isolated(self.set_timer):
            self.timer_ms = now_ms + PERIOD_MS
            turn.actions.append(SetTimer(PERIOD_MS, TIMER_NAME))
        return turn.actions

    # -- processing of events

    def on_event(self, event: Event, leaving: list[TrackedEndpoint]) -> None:
        """Process one event. Endpoints that the event takes out of service are appended to `leaving`."""
        match event:
            case AttemptCompleted():
                self.lifecycle.attempts.on_completed(event)
            case RequestReceived():
                self.lifecycle.on_received(event)
            case ResponseStarted() | ClientDisconnected():
                self._on_request_event(event)
            case PeerMessageReceived():
                self.on_peer_message(event)
            case EndpointsUpdated():
                self._on_endpoints(event, leaving)
            case OperatorCommand():
                self.on_command(event)
            case SettingsChanged():
                self._on_settings(event)
            case ExportState() | ImportState() | ResumeAfterFailedHandover():
                self._on_hot_restart(event)

    def _on_request_event(self, event: ResponseStarted | ClientDisconnected) -> None:
        request = self.state.requests.get(event.id)
        if request is None:
            return
        if isinstance(event, ClientDisconnected):
            self.lifecycle.close(request)
            return
        request.is_streaming = True
        request.is_body_released |= not event.is_body_retained
        self.lifecycle.attempts.cancel_others(request, event.attempt)

    def _on_endpoints(self, event: EndpointsUpdated, leaving: list[TrackedEndpoint]) -> None:
        state, now_ms = self.state, self.turn.now_ms
        if event.is_failure:
            delay_ms = state.settings.watch_retry_ms * WATCH_RETRY_RATIO
            state.timers.schedule(now_ms + delay_ms, TimerKind.WATCH_ENDPOINTS)
            return
        leaving += state.endpoints.update(now_ms, event)
        state.limit.update_limit(state.endpoints.capacity)

    def on_peer_message(self, event: PeerMessageReceived) -> None:
        """Process a message from another gateway. Malformed messages and unknown senders are ignored."""
        state, now_ms = self.state, self.turn.now_ms
        message = state.codec.decode(event.data)
        if message is None or event.sender >= state.settings.gateway_count:
            return
        quota = state.quota
        is_own_number = event.sender == state.settings.gateway_number
        if not is_own_number:
            state.limit.observe_peer(message.capacity, state.endpoints.capacity)
            if not self.turn.is_stalled:
                self._on_outlier_reports(event.sender, message.outlier_reports)
            quota.on_datagram_received(now_ms, event.sender)
        elif not quota.context.has_sibling or message.incarnation == quota.context.incarnation:
            return  # other processes of this gateway exchange quota messages only
        for quota_message in message.quota_messages:
            quota.on_message(now_ms, event.sender, message.incarnation, quota_message)

    def _on_outlier_reports(self, sender: int, reports: tuple[OutlierReport, ...]) -> None:
        state = self.state
        weight = peer_report_weight(state.endpoints)
        by_tag, classes = state.endpoints.by_tag, state.settings.classes
        state.outliers.on_peer_reports(self.turn.now_ms, sender, reports, by_tag, classes, weight)

    def on_command(self, command: OperatorCommand) -> None:
        """Execute an operator's command. Its completion is reported only after it has taken effect."""
        error = ""
        try:
            self._execute(command)
        except CommandError as problem:
            error = str(problem)
        self.turn.actions.append(CommandCompleted(command.id, error))

    def _execute(self, command: OperatorCommand) -> None:
        state, now_ms = self.state, self.turn.now_ms
        if command.kind is CommandKind.DRAIN:
            if state.draining.drain(now_ms):
                for at_ms in state.draining.stage_times_ms():
                    state.timers.schedule(at_ms, TimerKind.ADMISSION_STATE)
        elif command.kind is CommandKind.UNDRAIN:
            if state.draining.undrain():
                state.timers.schedule(now_ms, TimerKind.ADMISSION_STATE)
        else:
            try:
                state.endpoints.execute(now_ms, command.kind, command.endpoint)
            finally:
                state.limit.update_limit(state.endpoints.capacity)

    def _on_settings(self, event: SettingsChanged) -> None:
        error = ""
        try:
            reconfiguration.apply(
                self.state,
                self.turn.now_ms,
                event.settings,
                deny=self.lifecycle.on_quota_denied,
                send=self._send_without_reports,
            )
        except ReconfigurationError as problem:
            error = str(problem)
        self.turn.actions.append(CommandCompleted(event.id, error))

    def _on_hot_restart(self, event: ExportState | ImportState | ResumeAfterFailedHandover) -> None:
        if isinstance(event, ExportState):
            self.turn.actions.append(StateExported(snapshot.export_state(self.state)))
        elif isinstance(event, ImportState):
            snapshot.import_state(self.state, self.turn.now_ms, event.state)
        else:
            snapshot.resume(self.state, self.turn.now_ms)

    def _on_quota_reply(self, request: Request, is_granted: bool) -> None:
        self.lifecycle.on_quota_reply(request, is_granted)

    def _on_quota_denied(self, request: Request) -> None:
        self.lifecycle.on_quota_denied(request)

    # -- processing of timers

    def _fire_timers(self) -> None:
        """Fire the timers that are due. One that is set meanwhile fires in a later turn even if it is due at
        once, so that no turn goes on for ever."""
        timers, now_ms = self.state.timers, self.turn.now_ms
        for _, _, kind, key in timers.take_due(now_ms):
            # Set the next period's timer first: no exception below can then prevent it.
            if kind is TimerKind.PERIOD:
                timers.schedule(now_ms + PERIOD_MS, TimerKind.PERIOD)
            self.turn.run_isolated(self.on_timer, kind, key)
        self._report_overdue_timers()

    def _report_overdue_timers(self) -> None:
        """Add a fault if timers have been set for a time in the past for too many turns in a row."""
        timers = self.state.timers
        if not timers.has_due(self.turn.now_ms):
            self.turns_with_overdue_timers = 0
            return
        self.turns_with_overdue_timers += 1
        if self.turns_with_overdue_timers % MAX_TURNS_WITH_OVERDUE_TIMERS == 0:
            kind = timers.entries[0][2]
            self.turn.faults.append(TimerLoopError(kind.name, self.turns_with_overdue_timers))

    def on_timer(self, kind: TimerKind, key: int) -> None:
        """Process one timer that has fired. `key`: id of the request or ledger that it belongs to."""
        state, now_ms = self.state, self.turn.now_ms
        if kind is TimerKind.PERIOD:
            self._on_period()
        elif kind is TimerKind.LEDGER:
            state.quota.owner.on_timer(now_ms, key)
        elif kind is TimerKind.ADMISSION_STATE:
            self.turn.actions.append(SetAdmissionState(state.draining.state_at(now_ms)))
        elif kind is TimerKind.WATCH_ENDPOINTS:
            # Used only by the simulator; the daemon watches discovery itself (endpoint_watch.py).
            if state.settings.must_request_watch:
                self.turn.actions.append(WatchEndpoints())
        else:
            request = state.requests.get(key)
            if request is not None and not request.is_streaming:
                self._on_request_timer(kind, request)

    def _on_request_timer(self, kind: TimerKind, request: Request) -> None:
        if kind is TimerKind.GRANT_REPLY:
            self.lifecycle.on_grant_timeout(request)
        elif kind is TimerKind.GRANT_EXPIRY:
            self.lifecycle.on_quota_denied(request)
        elif kind is TimerKind.HEDGE:
            self.lifecycle.attempts.on_hedge_timer(request)
        elif kind is TimerKind.OVERDUE_CHECK:
            self.lifecycle.attempts.check_overdue(request)
        elif kind is TimerKind.DEADLINE or request.attempt_count == 0:
            self.lifecycle.reject_or_fail(request)

    def _on_period(self) -> None:
        """Update the state that changes once per PERIOD_MS."""
        state, turn = self.state, self.turn
        now_ms = turn.now_ms
        turn.run_isolated(state.queue.on_period, now_ms)
        turn.run_isolated(state.quota.on_period, now_ms)
        turn.run_isolated(self._endpoints_on_period)
        if now_ms >= self.next_removal_ms:
            self.next_removal_ms = now_ms + REMOVAL_INTERVAL_MS
            turn.run_isolated(self.remove_expired)
        idle_ratio = state.load_reports.idle_ratio(now_ms)
        state.limit.idle_ratio = idle_ratio * state.statistics.floor_ratio()
        state.limit.on_period(now_ms, state.endpoints.capacity)

    def _endpoints_on_period(self) -> None:
        self.state.endpoints.on_period(self.turn.now_ms)
        self.state.outliers.on_period(self.turn.now_ms)

    def remove_expired(self) -> None:
        """Remove expired state: idle customers, classes and plans dropped from the settings, endpoints that
        are gone, and timers of ended requests."""
        state, now_ms = self.state, self.turn.now_ms
        state.quota.forget(now_ms, state.requests.values())
        reconfiguration.forget_dropped(state, now_ms)
        tracked = state.endpoints.tracked
        zones = {known.endpoint.zone for known in tracked.values()}
        state.overdue.remove_gone(zones, tracked)
        state.timers.remove_ended(state.requests)

    def set_timer(self) -> None:
        """Set the process's timer for the earliest entry of the timer queue. There is one timer for all
        requests, because a SetTimer action cannot be cancelled."""
        next_ms = self.state.timers.next_ms(self.state.requests)
        if next_ms < self.timer_ms:
            self.timer_ms = next_ms
            self.turn.actions.append(SetTimer(max(0.0, next_ms - self.turn.now_ms), TIMER_NAME))

    # -- messages to peers

    def flush_outbox(self) -> None:
        """Send the queued quota messages, with recent outlier reports, to the other gateways."""
        state, now_ms = self.state, self.turn.now_ms
        if not state.quota.outbox.waiting:
            return
        packets = state.quota.outbox.take_packets(now_ms, state.codec.max_quota_messages)
        reports = state.outliers.recent_reports(now_ms) if packets else []
        for gateway, messages in packets:
            self.turn.run_isolated(self._send, gateway, messages, reports)

    def _send(self, gateway: int, messages: list[QuotaMessage], reports: list[OutlierReport]) -> None:
        state = self.state
        incarnation = state.quota.context.incarnation
        data = state.codec.encode(incarnation, state.limit.capacity, messages, reports)
        self.turn.actions.append(SendPeerMessage(gateway, data))

    def _send_without_reports(self, gateway: int, messages: list[QuotaMessage]) -> None:
        self._send(gateway, messages, [])
