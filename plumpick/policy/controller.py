"""The decision module of one gateway: events in, actions out. The same events give the same actions.

The controller dispatches events and timers, and decides nothing itself: admission.py, load_balancing.py,
retry.py, quota/ and the others do. A step that fails is kept in `faults` for the log; the other steps of its
turn go on."""

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
from plumpick.policy.errors import CommandError, ReconfigurationError
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

TIMER_NAME = "agenda"  # of the one timer that is asked for
TIDY_INTERVAL_MS = 250.0
WATCH_RETRY_RATIO = 0.25  # of the time within which discovery wants to be asked again


class Controller:
    """One gateway's decisions. `seed`: of all chance in them."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.turn = Turn()
        self.state = GatewayState(settings, seed, self._on_quota_reply, self._on_quota_denied)
        self.lifecycle = RequestLifecycle(self.state, self.turn)
        self.has_begun = False
        self.timer_ms = math.inf  # of the timer that has been asked for
        self.tidied_ms = 0.0

    @property
    def faults(self) -> list[Exception]:
        """What was raised in the last turn."""
        return self.turn.faults

    @property
    def actions(self) -> list[Action]:
        """What the last turn asked for."""
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
        """From now on requests need room in the whole tier's budgets as well; None: no longer."""
        self.lifecycle.is_within_budgets = is_within

    def unresponsive_owners(self) -> frozenset[int]:
        """The gateways that left a request for a grant unanswered and have sent nothing since."""
        return frozenset(self.state.quota.liveness.unresponsive_owners)

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Take in what happened; returns what to do. `now_ms`: of any clock that only advances."""
        state, turn = self.state, self.turn
        is_first = turn.begin(now_ms)
        if now_ms >= self.timer_ms - CLOCK_GRAIN_MS:
            self.timer_ms = math.inf
        if is_first:
            state.timers.schedule(now_ms, TimerKind.PERIOD)
            state.timers.schedule(now_ms, TimerKind.WATCH_ENDPOINTS)
        self.has_begun = self.has_begun or turn.run_isolated(state.quota.begin, now_ms)
        left: list[TrackedEndpoint] = []
        for event in events:
            turn.run_isolated(self.on_event, event, left)
        if left and state.settings.can_hedge:
            for request in list(state.requests.values()):
                turn.run_isolated(self.lifecycle.attempts.retry_elsewhere, request, left)
        self._fire_timers()
        turn.run_isolated(self.lifecycle.release)
        turn.run_isolated(self.flush_outbox)
        if not turn.run_isolated(self.set_timer):
            self.timer_ms = now_ms + PERIOD_MS
            turn.actions.append(SetTimer(PERIOD_MS, TIMER_NAME))
        return turn.actions

    # -- events

    def on_event(self, event: Event, left: list[TrackedEndpoint]) -> None:
        """One event; the endpoints that leave service by it are added to `left`."""
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
                self._on_endpoints(event, left)
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
        request.is_body_gone |= not event.is_body_retained
        self.lifecycle.attempts.cancel_others(request, event.attempt)

    def _on_endpoints(self, event: EndpointsUpdated, left: list[TrackedEndpoint]) -> None:
        state, now_ms = self.state, self.turn.now_ms
        if event.is_failure:
            delay_ms = state.settings.watch_retry_ms * WATCH_RETRY_RATIO
            state.timers.schedule(now_ms + delay_ms, TimerKind.WATCH_ENDPOINTS)
            return
        left += state.endpoints.update(now_ms, event)
        state.limit.update_limit(state.endpoints.capacity)

    def on_peer_message(self, event: PeerMessageReceived) -> None:
        """Another gateway's message. Bytes that cannot be read and unknown senders change nothing."""
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
            return  # another process of ours speaks of quotas alone
        for quota_message in message.quota_messages:
            quota.on_message(now_ms, event.sender, message.incarnation, quota_message)

    def _on_outlier_reports(self, sender: int, reports: tuple[OutlierReport, ...]) -> None:
        state = self.state
        weight = peer_report_weight(state.endpoints)
        by_tag, classes = state.endpoints.by_tag, state.settings.classes
        state.outliers.on_peer_reports(self.turn.now_ms, sender, reports, by_tag, classes, weight)

    def on_command(self, command: OperatorCommand) -> None:
        """An operator's command; it is in force before it is answered."""
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

    # -- timers

    def _fire_timers(self) -> None:
        timers, now_ms = self.state.timers, self.turn.now_ms
        entry = timers.pop_due(now_ms)
        while entry is not None:
            _, _, kind, key = entry
            if kind is TimerKind.PERIOD:  # first of all, so that the next one comes whatever fails
                timers.schedule(now_ms + PERIOD_MS, TimerKind.PERIOD)
            self.turn.run_isolated(self.on_timer, kind, key)
            entry = timers.pop_due(now_ms)

    def on_timer(self, kind: TimerKind, key: int) -> None:
        """One timer has fired."""
        state, now_ms = self.state, self.turn.now_ms
        if kind is TimerKind.PERIOD:
            self._on_period()
        elif kind is TimerKind.LEDGER:
            state.quota.owner.on_timer(now_ms, key)
        elif kind is TimerKind.ADMISSION_STATE:
            self.turn.actions.append(SetAdmissionState(state.draining.state_at(now_ms)))
        elif kind is TimerKind.WATCH_ENDPOINTS:
            # In the simulator alone: the daemon watches discovery itself (endpoint_watch.py).
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
        """One step of all that goes by time."""
        state, turn = self.state, self.turn
        now_ms = turn.now_ms
        turn.run_isolated(state.queue.on_period, now_ms)
        turn.run_isolated(state.quota.on_period, now_ms)
        turn.run_isolated(self._endpoints_on_period)
        if now_ms >= self.tidied_ms:
            self.tidied_ms = now_ms + TIDY_INTERVAL_MS
            turn.run_isolated(self.tidy)
        idle_ratio = state.load_reports.idle_ratio(now_ms)
        state.limit.idle_ratio = idle_ratio * state.statistics.floor_ratio()
        state.limit.on_period(now_ms, state.endpoints.capacity)

    def _endpoints_on_period(self) -> None:
        self.state.endpoints.on_period(self.turn.now_ms)
        self.state.outliers.on_period(self.turn.now_ms)

    def tidy(self) -> None:
        """Forget what is over: customers, dropped settings, endpoints that have gone, timers of ended
        requests."""
        state, now_ms = self.state, self.turn.now_ms
        state.quota.forget(now_ms, state.requests.values())
        reconfiguration.forget_dropped(state, now_ms)
        tracked = state.endpoints.tracked
        zones = {known.endpoint.zone for known in tracked.values()}
        state.overdue.forget(zones, tracked)
        state.timers.forget_ended(state.requests)

    def set_timer(self) -> None:
        """Ask for one timer, for what comes first: a timer for each request could not be withdrawn."""
        next_ms = self.state.timers.next_ms(self.state.requests)
        if next_ms < self.timer_ms:
            self.timer_ms = next_ms
            self.turn.actions.append(SetTimer(max(0.0, next_ms - self.turn.now_ms), TIMER_NAME))

    # -- messages to peers

    def flush_outbox(self) -> None:
        """Send the peers what is due to them."""
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
