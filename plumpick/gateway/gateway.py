"""The gatekeeper: what happens becomes events, the module decides, and its actions are carried out.

Everything that happens in one turn of the loop goes to the module in one call. The table of open requests
is kept here: a request is in it from its last byte until its one final answer."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from plumpick.gateway.clock import Timer, Timers
from plumpick.gateway.config import Config, WorkerList
from plumpick.gateway.listeners.interface import (
    STALL_THRESHOLD_MS,
    SWEEP_INTERVAL_MS,
    ClusterParticipant,
    DuplicateRequestIdError,
    IncomingRequest,
    Listener,
    PausableSource,
    ResponseSink,
    SettingsSource,
    SiblingProcess,
)
from plumpick.gateway.peers import Peers
from plumpick.gateway.platform import Platform
from plumpick.gateway.upstream.connection_pool import Attempt, Workers
from plumpick.gateway.upstream.request_encoding import head_of
from plumpick.gateway.upstream.streaming_body import Body, Budget
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
    AttemptCompleted,
    AttemptResult,
    ClientDisconnected,
    CommandKind,
    EndpointState,
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
    TimerFired,
)
from plumpick.policy.health_status import QuotaHealth

MARGIN_MS = 20.0  # the module is told a deadline so much earlier: the wire and our timers take their time
GUARD_MS = 5.0  # so long before the client gives up it is answered, come what may
# Of the descriptors. Clients have up to 0.46 (listeners/http/connection_admission.py); the rest, 30 of the
# smallest limit of 256, is for discovery, peers and the loop itself.
WORKER_PART = 0.42
STREAM_PART = 0.25  # of the memory, for bodies that go on while they come
STALL_MS = 10_000.0  # an answer of which nothing moved for so long is given up,
UPLOAD_STALL_MS = 2500.0  # and a request's body: its client has stopped
LEASES = b"\xd5"  # the first byte of words about leases (plumpick/policy/leases/codec.py)
SERVED, REFUSED, FAILED = 0, 1, 2  # as plumpick/policy/usage_report.py has them
LOG_EVERY_MS = 10_000.0  # a fault of the module is logged at most so often
# What of the configuration is none of its settings; the workers' list is discovery's to change.
SERVICE = ("name", "listen", "sockets", "peer_listen", "peers", "peers_all", "memory_mb", "management")
REMEMBER_MS = 2000.0  # for once to twice as long an id stays known after its request has ended

log = logging.getLogger(__name__)


class Request:
    """An open request."""

    __slots__ = (
        "id",
        "name",
        "sink",
        "head",
        "body",
        "sends",
        "guard",
        "stream",
        "is_head",
        "wait_ms",
        "passing",
        "plan",
        "units",
        "due_ms",
    )

    def __init__(
        self, number: int, name: bytes, sink: ResponseSink, head: bytes, incoming: IncomingRequest
    ) -> None:
        self.id, self.name, self.sink, self.head, self.body = number, name, sink, head, incoming.body
        self.stream, self.is_head, self.wait_ms = incoming.stream, incoming.method == b"HEAD", 0.0
        self.due_ms = math.inf  # it is answered by then; a stream's time has not begun
        self.passing: Attempt | None = None  # whose answer is on its way to the client
        self.sends = 0
        self.guard: Timer | None = None
        self.plan, self.units = incoming.plan, incoming.units


class Gatekeeper:
    """One gatekeeper: the module, its open requests, and the ways to clients, workers and peers."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        controller: Any = None,
        system: Platform | None = None,
    ) -> None:
        system = system or Platform()
        self.config, self.settings, self.loop = config, config.settings, loop
        self.clock = system.clock()
        self.timers = Timers(loop, self.clock)
        self.controller: Any = controller or Controller(config.settings, config.seed)  # tests have another
        self.workers = Workers(
            loop,
            self.clock,
            self.timers,
            idle_ms=config.idle_ms,
            dial_timeout_ms=config.dial_timeout_ms,
            max_connections=int(config.sockets * WORKER_PART),
            report_fields=config.settings.load_report_fields,
            is_quiet=system.has_no_unread_input,
            budget=Budget(int(config.memory_mb * 2**20 * STREAM_PART)),
            was_reset=system.was_reset,
        )
        self.peers = Peers(config, self.heard, system.create_datagram_socket)
        self._listeners: list[Listener] = []
        self.sweeps: list[Callable[[float], None]] = []  # of others that have to be looked after as often
        self._standing = QuotaHealth(config.settings.gateway_count, config.settings.gateway_number)
        self.open: dict[int, Request] = {}
        self._streams: dict[Request, None] = {}  # of these, with a body that goes on while it comes
        self.attempts: dict[tuple[int, int], Attempt] = {}  # all that are out, also of ended requests
        self.is_ready = self.is_draining = False
        self.up = False  # it takes clients, by itself; `is_ready` is what a listener is told
        self.ending = self.ending_last = False  # told to end; and so late in it that nothing is kept
        self.admission_state = AdmissionState.OPEN
        # Another process of this gatekeeper, while there are two: it is told what its peers say, the module's
        # word to its own number, and operators' calls.
        self.sibling: SiblingProcess | None = None
        self.succeeded = False  # and that one takes the clients now
        # Where the operator names work for the whole tier, and a service of settings.
        self.fleet: ClusterParticipant | None = None
        self.versions: SettingsSource | None = None
        self._estate: Mapping[str, Any] | None = None
        self._said: dict[int, str] = {}  # answers to orders, until they are picked up in the same turn
        self._names: set[bytes] = set()  # ids of the open requests, and of those ended of late and before
        self._ended_names: tuple[set[bytes], set[bytes]] = (set(), set())
        self._events: list[Event] = []
        self._serial = 0
        self._end_ms = math.inf  # until then all that comes has to be answered
        self._late_end_ms = math.inf  # or until then, while clients are sent away
        self._log_fault_ms = 0.0
        self._turn_ms = 0.0  # what time it was for the module when it decided last
        self._stood_ms = self._stood_until_ms = 0.0  # for how long; until when what is read may be so old
        self._carry: dict[type[Any], Callable[[Any], None]] = {
            StartAttempt: self._send,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            CancelAttempt: self._cancel,
            SetTimer: self._wake,
            SendPeerMessage: self._tell,
            ProbeEndpoint: self._ignore,
            WatchEndpoints: self._ignore,
            CommandCompleted: self._say,
            SetAdmissionState: self._doors,
            StateExported: self._keep_estate,
        }
        self.timers.at(self.clock.now() + SWEEP_INTERVAL_MS, self._sweep)
        self.timers.at(self.clock.now() + REMEMBER_MS, self._forget_names)

    # -- events

    def notice(self, event: Event) -> None:
        """Keep an event for the module's next turn, at the end of this turn of the loop."""
        if not self._events:
            self.loop.call_soon(self._turn)
        self._events.append(event)

    def _turn(self) -> None:
        if not self._events:  # an order did not wait for the end of the loop's turn
            return
        events, self._events = self._events, []
        actions: list[Action] = []
        try:
            self._turn_ms = self.clock.now()
            actions = self.controller.handle(self._turn_ms, events)
            faults = self.controller.faults
        except Exception as problem:  # one bad turn must not end all requests: the guard answers them
            faults = [problem]
        if faults and self.clock.now() >= self._log_fault_ms:
            self._log_fault_ms = self.clock.now() + LOG_EVERY_MS
            log.error("the module failed on %d of %d events", len(faults), len(events), exc_info=faults[0])
        carry = self._carry
        for action in actions:
            carry[type(action)](action)

    def listed(self, news: WorkerList) -> None:
        """Discovery has told something."""
        displaced = self.workers.update(news)
        servers = [entry.server for entry in news.entries]
        servers += [replace(entry.server, state=EndpointState.GONE) for entry in displaced]
        self.notice(EndpointsUpdated(tuple(servers), news.complete))

    def heard(self, sender: int, data: bytes) -> None:
        """A peer has told something."""
        if self.fleet is not None and data[:1] == LEASES:
            self.fleet.on_datagram(sender, data)
            return
        self.notice(PeerMessageReceived(sender, data))
        if self.sibling is not None:
            self.sibling.on_peer_message(sender, data)

    def heard_elsewhere(self, sender: int, data: bytes) -> None:
        """The same, by way of another process of ours, or from that itself."""
        self.notice(PeerMessageReceived(sender, data))

    # -- operators

    def execute_command(self, name: str, argument: str) -> tuple[bool, str]:
        """An operator's call is in force before this returns: whether it is refused, and what to say."""
        if name == "READY":
            if self.ending or self.succeeded or not self.up:
                return True, "not up yet" if not self.up else "ending" if self.ending else "handed over"
            return False, "draining" if self.admission_state else "ready"
        if name == "CONFIGURATION":
            if self.versions is None:
                return True, "settings are those of the file: the operator's names no [configuration]"
            return False, self.versions.status_line()
        if name in ("DUTIES", "BUDGETS") or name == "DRAIN" and argument:
            return self._fleet_call(name, argument)
        if name == "UNDRAIN" and self.fleet is not None:
            self.fleet.want_restart_permit(False)
        wrong = self.order(name, argument)
        if not wrong and self.sibling is not None:
            self.sibling.on_operator_command(name, argument)
        what = f"{name}{' ' if argument else ''}{argument}"
        log.info("operator: %s: %s", what, f"refused, {wrong}" if wrong else "done")
        return bool(wrong), wrong or what

    def _fleet_call(self, name: str, argument: str) -> tuple[bool, str]:
        if self.fleet is None:
            return True, "nothing is done for the fleet here: the operator's file names no duties"
        if name == "DUTIES":
            return self.fleet.tasks_status(argument)
        if name == "BUDGETS":
            return self.fleet.budgets_status(argument)
        if argument.upper() != "FLEET":
            return True, "DRAIN takes FLEET, or nothing more"
        wrong = self.fleet.want_restart_permit(True)
        log.info("operator: DRAIN FLEET: %s", f"refused, {wrong}" if wrong else "waits for a turn")
        return bool(wrong), wrong or "DRAIN FLEET: when it is our turn"

    def order(self, name: str, argument: str) -> str:
        """One that the module decides on; what is wrong with it, or nothing. Raises ValueError."""
        order = CommandKind(name.lower())
        self._serial += 1
        number = self._serial
        self.notice(OperatorCommand(number, order, argument))
        self._turn()
        return self._said.pop(number, "the order failed; see the log")

    def reconfigure(self, config: Config) -> str:
        """Go on by other settings, from the next turn on; what is wrong, in one line that names its key, and
        then nothing has changed. `config`: the present one but for what its settings say.

        What is open keeps the class and plan under which it came, and no connection closes."""
        for name in SERVICE:
            if getattr(config, name) != getattr(self.config, name):
                return f"{name}: it cannot change before a restart"
        for key, value in (("dialTimeoutMs", config.dial_timeout_ms), ("connIdleMs", config.idle_ms)):
            if not 0 < value < math.inf:
                return f"settings.limits.{key}: {value!r} is not above 0"
        self._serial += 1
        number = self._serial
        self.notice(SettingsChanged(number, config.settings))
        self._turn()
        wrong = self._said.pop(number, "the module failed on them; see the log")
        if wrong:
            return wrong
        self.config, self.settings = config, config.settings
        self.workers.reconfigure(config.idle_ms, config.dial_timeout_ms, config.settings.load_report_fields)
        for listener in self._listeners:
            listener.reconfigure(config.settings)
        return ""

    def deadlines_ms(self) -> list[float]:
        """For how long requests may be open: of each class in force, and what is left to those that are open,
        which may be of older ones."""
        now = self.clock.now()
        left = [
            request.due_ms - now if request.due_ms < math.inf else request.wait_ms
            for request in self.open.values()
        ]
        return [kind.deadline_ms for kind in self.settings.classes] + left

    def _say(self, action: CommandCompleted) -> None:
        self._said[action.id] = action.error

    def _doors(self, action: SetAdmissionState) -> None:
        """Clients are sent away, or taken again."""
        before, self.admission_state = self.admission_state, action.state
        if before != self.admission_state and AdmissionState.OPEN in (before, self.admission_state):
            log.info("clients are %s", "sent away" if self.admission_state else "taken again")
        if before < AdmissionState.BOUNDING_LATE_REQUESTS <= self.admission_state:
            self._late_end_ms = self.clock.now() + LATE_REQUEST_TIME_MS
        elif self.admission_state < AdmissionState.BOUNDING_LATE_REQUESTS:
            self._late_end_ms = math.inf
        self._open_or_not()

    def _open_or_not(self) -> None:
        # Who asks the old process of two for its readiness asks the gatekeeper.
        self.is_ready = self.up and not self.admission_state and (self.succeeded or not self.ending)
        self.is_draining = self.ending_last or self.succeeded or bool(self.admission_state)

    def come_up(self, ending: bool = False) -> None:
        """It takes clients from now on; `ending`: it has been told to end before, and is never ready."""
        self.up, self.ending = True, ending
        self._open_or_not()

    # -- two processes of this gatekeeper

    def hand_over(self) -> Mapping[str, Any]:
        """Another process takes the clients from now on; its state to go on from. Raises ValueError."""
        self._estate = None
        self.notice(ExportState())
        self._turn()
        state = self._left()  # by a call: compiled, the None from above would stand for this too
        if state is None:
            raise ValueError("the module gave no state")
        self.succeeded = True
        self._open_or_not()
        return state

    def _left(self) -> Mapping[str, Any] | None:
        return self._estate

    def _keep_estate(self, action: StateExported) -> None:
        self._estate = action.state

    def inherit(self, state: Mapping[str, Any]) -> None:
        """Go on from the state of the process before this one."""
        self.notice(ImportState(state))
        self._turn()

    def resume(self) -> None:
        """The other process has died; clients are taken here again."""
        self.succeeded, self.sibling = False, None
        self.notice(ResumeAfterFailedHandover())
        self._open_or_not()

    def only_finish(self) -> None:
        """Another process takes what comes: here no more descriptors are needed than are in use."""
        self.workers.close_idle()

    def descriptors(self) -> int:
        """How many are held now, but for a few of the program's own."""
        return self.workers.connections() + sum(listener.connection_count() for listener in self._listeners)

    def limit(self, sockets: int) -> None:
        """From now on hold no more descriptors than go with that limit."""
        self.workers.limit(int(sockets * WORKER_PART))
        for listener in self._listeners:
            listener.set_descriptor_limit(sockets)

    # -- listeners

    def add(self, listener: Listener) -> None:
        """One more door to ask at."""
        self._listeners.append(listener)

    def spare_descriptors(self) -> int:
        return self.workers.unused_connections() // 2

    def on_disconnect(self, request: Request) -> None:
        if self._close(request):
            self.notice(ClientDisconnected(request.id))
            if request.stream is not None or request.passing is not None:
                self._call_off(request)

    def submit(self, sink: ResponseSink, incoming: IncomingRequest) -> Request:
        now = self.clock.now()
        # One id is one request: a second of that name, of whomever, would pass for a copy of the first.
        if (
            incoming.id in self._names
            or incoming.id in self._ended_names[0]
            or incoming.id in self._ended_names[1]
        ):
            raise DuplicateRequestIdError("x-request-id is in use")
        self._serial += 1
        # What is read after a stall of ours may have waited all through it; its client's time ran on.
        # It may have waited behind another, too.
        unread_ms = self._unread_ms(now) + now - incoming.received_ms
        wait_ms = max(incoming.timeout_ms - unread_ms, min(incoming.timeout_ms, 2 * MARGIN_MS))
        end_ms = min(self._end_ms, self._late_end_ms)
        due_ms = min(now + wait_ms, max(end_ms, now + 2 * MARGIN_MS))
        request = Request(self._serial, incoming.id, sink, head_of(incoming), incoming)
        request.wait_ms = due_ms - now
        if incoming.stream is None:
            self._guard(request, due_ms)
        else:
            incoming.stream.moved_ms = now
            self._streams[request] = None
            self.workers.budget.streams += 1
        self.open[request.id] = request
        self._names.add(incoming.id)
        # Of what goes on while it comes its time has not begun; the module has to send it soon all the same.
        self.notice(
            RequestReceived(
                request.id,
                incoming.customer,
                incoming.request_class.name,
                incoming.plan,
                due_ms - MARGIN_MS,
                incoming.units,
                incoming.first,
                incoming.spread,
                incoming.is_retry,
            )
        )
        return request

    def _guard(self, request: Request, due_ms: float) -> None:
        """See to it that the request is answered by then."""
        if request.guard is not None:
            request.guard.cancel()
        request.due_ms = due_ms
        for number in range(request.sends):
            attempt = self.attempts.get((request.id, number))
            if attempt is not None:  # what it tells its worker, if it has not yet
                attempt.due_ms = min(attempt.due_ms, due_ms)
        request.guard = self.timers.at(due_ms - GUARD_MS, lambda: self._overdue(request))

    def _count(self, request: Request, outcome: int) -> None:
        """A request that has been closed: how it ended."""
        if self.fleet is not None:
            self.fleet.usage.count(request.plan, outcome, request.units)

    def _close(self, request: Request) -> bool:
        """Take a request off the table; False if it has had its final answer before."""
        if self.open.pop(request.id, None) is None:
            return False
        self._names.discard(request.name)
        self._ended_names[0].add(request.name)
        if request.guard is not None:
            request.guard.cancel()
        if request in self._streams:
            del self._streams[request]
            self.workers.budget.streams -= 1
        # Danger: an attempt begins when its bytes go out, which is when its connection has come up. Seen
        # where attempts may not be cancelled: one began after its request's final answer.
        for number in range(request.sends):
            attempt = self.attempts.get((request.id, number))
            if attempt is not None and attempt.connection is None:
                attempt.end(AttemptResult.CANCELLED)
        return True

    def create_request_stream(self, giver: PausableSource, length: int) -> Any:
        return Body(giver, length, self.workers.budget.mark())

    def on_body_complete(self, request: Request) -> None:
        """From now on its client waits."""
        if request.id in self.open and request.guard is None and request.passing is None:
            now = self.clock.now()
            self._guard(request, min(now + request.wait_ms, max(self._end_ms, now + 2 * MARGIN_MS)))

    def _stalled(self, now: float) -> None:
        """Give up the bodies of which nothing moves: a client or a worker has stopped."""
        for request in list(self._streams):
            attempt, stream = request.passing, request.stream
            if attempt is not None:
                if now - attempt.moved_ms > STALL_MS:
                    attempt.end(AttemptResult.RESET)
            elif stream is not None and not stream.whole:
                if stream.held:
                    stream.moved_ms = max(stream.moved_ms, now - UPLOAD_STALL_MS / 2)
                if now - stream.moved_ms > UPLOAD_STALL_MS and self._close(request):
                    request.sink.respond(408)
                    self.notice(ClientDisconnected(request.id))
                    self._call_off(request)

    def _call_off(self, request: Request) -> None:
        """Nobody waits for it: what is out of it ends."""
        for number in range(request.sends):
            attempt = self.attempts.get((request.id, number))
            if attempt is not None:
                attempt.end(AttemptResult.CANCELLED)

    def _overdue(self, request: Request) -> None:
        """The last guard: the module has not answered, and the client is about to give up, or we end."""
        if self._close(request):
            self._count(request, FAILED)
            request.sink.respond(504)
            self.notice(ClientDisconnected(request.id))
            if request.stream is not None:
                self._call_off(request)

    # -- actions

    def _send(self, action: StartAttempt) -> None:
        request = self.open.get(action.id)
        if request is None:  # the module can't know it: it ended in between
            self.notice(AttemptCompleted(action.id, 0, action.endpoint, 0.0, AttemptResult.NOT_STARTED, True))
            return
        number, request.sends = request.sends, request.sends + 1
        stream = request.stream
        if stream is not None and (stream.begun or number > 0 and (request.id, number - 1) in self.attempts):
            # What has gone on is not kept, and one body goes one way.
            self.notice(
                AttemptCompleted(action.id, number, action.endpoint, 0.0, AttemptResult.NOT_STARTED, False)
            )
            return
        if request.sink.has_disconnected():  # nothing was read there that would have told it
            self.on_disconnect(request)
            request.sink.abort()
            self.notice(
                AttemptCompleted(action.id, number, action.endpoint, 0.0, AttemptResult.NOT_STARTED, True)
            )
            return
        # What is left counts from when the module looked; of a body that still comes it has not begun.
        due_ms = min(self._turn_ms + action.timeout_ms, request.due_ms) if stream is None else request.due_ms
        attempt = Attempt(
            request.id,
            number,
            action.endpoint,
            request.head,
            request.body,
            action.timeout_ms,
            due_ms,
            self._ended,
            stream,
            request.is_head,
            self._begins,
            self._flows,
        )
        attempt.until_ms = self._turn_ms + action.start_within_ms
        self.attempts[request.id, number] = attempt
        self.workers.start(attempt)

    def _flows(self, attempt: Attempt) -> None:
        """A body that is not kept begins to go out: from here on there is one attempt. Its times say nothing
        of the worker until its last byte is there."""
        self.notice(ResponseStarted(attempt.request_id, attempt.number, attempt.worker, False))

    def _begins(self, attempt: Attempt, length: int, kind: bytes) -> Any:
        """An answer that is too large to be kept begins: who reads it; None if nobody waits for it."""
        request = self.open.get(attempt.request_id)
        if request is None or request.passing is not None:
            return None
        request.passing = attempt
        if request.guard is not None:
            request.guard.cancel()
        if request not in self._streams:
            self._streams[request] = None
            self.workers.budget.streams += 1
        self.notice(ResponseStarted(attempt.request_id, attempt.number, attempt.worker))
        assert attempt.connection is not None
        request.sink.start_response(length, kind, attempt.connection, self.workers.budget.mark())
        return request.sink

    def _ended(
        self, attempt: Attempt, result: AttemptResult, body: bytes, kind: bytes, load: tuple[float, ...]
    ) -> None:
        """One attempt has its outcome. The first good one is the request's final answer."""
        del self.attempts[attempt.request_id, attempt.number]
        request, passed = self.open.get(attempt.request_id), attempt.first_ms > 0
        if request is not None and (result is AttemptResult.OK or passed):
            self._close(request)  # what has begun to leave is the final answer, whole or broken
            self._count(request, SERVED if result is AttemptResult.OK else FAILED)
            if not passed:
                request.sink.respond(200, body, kind)
        took_ms = (attempt.first_ms if passed else self.clock.now()) - attempt.started_ms
        self.notice(
            AttemptCompleted(
                attempt.request_id,
                attempt.number,
                attempt.worker,
                max(0.0, took_ms),
                result,
                request is None or result is AttemptResult.OK or passed,
                load_report=load,
            )
        )

    def _refuse(self, action: RejectRequest) -> None:
        request = self.open.get(action.id)
        if request is not None and self._close(request):
            self._count(request, REFUSED)
            request.sink.respond(503, retry_after_ms=action.retry_after_ms)

    def _fail(self, action: FailRequest) -> None:
        request = self.open.get(action.id)
        if request is not None and self._close(request):
            self._count(request, FAILED)
            request.sink.respond(502)

    def _cancel(self, action: CancelAttempt) -> None:
        attempt = self.attempts.get((action.id, action.attempt))
        if attempt is not None:
            attempt.end(AttemptResult.CANCELLED)

    def _wake(self, action: SetTimer) -> None:
        woken = TimerFired(action.name)
        # On the grid of the module's ticks, so that what is due within one tick takes one turn.
        due_ms, tick_ms = self.clock.now() + action.delay_ms, max(1.0, self.settings.tick_ms)
        self.timers.at(math.ceil(due_ms / tick_ms) * tick_ms, lambda: self.notice(woken))

    def _tell(self, action: SendPeerMessage) -> None:
        if action.receiver == self.settings.gateway_number:  # another process of ours
            if self.sibling is not None:
                self.sibling.on_own_message(action.data)
            return
        self.peers.send(action.receiver, action.data)

    def _ignore(self, _action: Action) -> None:
        """Discovery is watched unasked, and workers may not be probed."""

    # -- housekeeping

    def _unread_ms(self, now: float) -> float:
        """For how long what is read now may have waited for us, at most."""
        late_ms = self._late_ms(now)
        if late_ms > STALL_THRESHOLD_MS:
            return late_ms
        return self._stood_ms if now < self._stood_until_ms else 0.0

    def has_stalled(self) -> bool:
        return self._unread_ms(self.clock.now()) > 0.0

    def _late_ms(self, now: float) -> float:
        return max((listener.sweep_delay_ms(now) for listener in self._listeners), default=0.0)

    def _sweep(self) -> None:
        now = self.clock.now()
        late_ms = self._late_ms(now)
        if late_ms > STALL_THRESHOLD_MS:
            self._stood_ms, self._stood_until_ms = late_ms, now + MARGIN_MS
        line = self._standing.update(now, self.controller.unresponsive_owners())
        if line:
            log.warning(line)
        self.timers.at(now + SWEEP_INTERVAL_MS, self._sweep)
        self._stalled(now)
        for listener in self._listeners:
            listener.sweep(now, self.ending_last)
        for sweep in self.sweeps:
            sweep(now)

    def _forget_names(self) -> None:
        self.timers.at(self.clock.now() + REMEMBER_MS, self._forget_names)
        self._ended_names = (set(), self._ended_names[0])

    def leave(self, within_ms: float) -> None:
        """A planned end: what comes is served as before, but nothing is promised beyond that time, also of
        what is open: a worker that hangs would keep it until we are killed."""
        self.ending, self._end_ms = True, self.clock.now() + within_ms
        for request in list(self.open.values()):
            if request.guard is not None and request.passing is None and request.due_ms > self._end_ms:
                self._guard(request, self._end_ms)
        self._open_or_not()

    def drain(self) -> None:
        """From now on keep no connection."""
        self.ending_last = True
        self._open_or_not()

    def close_idle(self) -> None:
        """Close the connections on which nothing is open."""
        for listener in self._listeners:
            listener.close_idle()

    def is_quiet(self) -> bool:
        """Whether nothing is open and no connection either."""
        return not self.open and not any(listener.has_connections() for listener in self._listeners)

    def has_answered(self) -> bool:
        """Whether all that was taken has its answer, which the system has whole."""
        return not self.open and not any(listener.has_unwritten_data() for listener in self._listeners)

    def busy(self) -> bool:
        """Whether anything taken is not answered, or not yet written out; new idle connections close."""
        self.close_idle()
        return bool(self.open) or any(listener.has_connections() for listener in self._listeners)
