"""The table of open requests: each gets one final response, by its deadline at the latest.

A request is in the table from its submission until that response. Whatever the policy or a worker does, the
table gives it one FINAL_RESPONSE_MARGIN_MS before its client gives up; listeners need only deliver it. The
table is bounded by the listeners' connections and by the requests' deadlines."""

from __future__ import annotations

import math

from plumpick.gateway.body_streams import BodyStreams
from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.event_turn import EventTurn
from plumpick.gateway.listeners.interface import ClusterParticipant, IncomingRequest, ResponseSink
from plumpick.gateway.open_request import REQUEST_ID_RETENTION_MS, OpenRequest, RequestIds
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.request_encoding import encode_head
from plumpick.policy.actions import FailRequest, RejectRequest
from plumpick.policy.events import AttemptResult, ClientDisconnected, RequestReceived

DEADLINE_MARGIN_MS = 20.0  # the policy gets a deadline so much earlier: the network and timers take time
FINAL_RESPONSE_MARGIN_MS = 5.0  # so long before the client gives up it gets a response

# How a request ended: the values of plumpick/policy/usage_report.py, which is loaded only where usage is
# reported.
SERVED = 0
REJECTED = 1
FAILED = 2


class RequestTable:
    """The open requests by id, and the attempts in flight, also those of requests that have ended."""

    def __init__(self, clock: Clock, timers: Timers, turn: EventTurn, streams: BodyStreams) -> None:
        self.open: dict[int, OpenRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # by request and number
        self.participant: ClusterParticipant | None = None  # counts how requests end, where there is one
        self.shutdown_deadline_ms = math.inf  # whatever comes has its response by then
        self.late_deadline_ms = math.inf  # the same, while AdmissionState bounds late requests
        self._clock = clock
        self._timers = timers
        self._turn = turn
        self._streams = streams
        self._ids = RequestIds()

    def submit(
        self, sink: ResponseSink, incoming: IncomingRequest, now: float, unread_ms: float
    ) -> OpenRequest:
        """Open a request; raises DuplicateRequestIdError. `unread_ms`: how long it may have waited for this
        process after a stall."""
        self._ids.claim(incoming.id)
        waited_ms = unread_ms + now - incoming.received_ms  # it may have waited behind another one, too
        wait_ms = max(incoming.timeout_ms - waited_ms, min(incoming.timeout_ms, 2 * DEADLINE_MARGIN_MS))
        end_ms = min(self.shutdown_deadline_ms, self.late_deadline_ms)
        deadline_ms = min(now + wait_ms, max(end_ms, now + 2 * DEADLINE_MARGIN_MS))
        request = OpenRequest(self._turn.next_id(), sink, encode_head(incoming), incoming)
        request.wait_ms = deadline_ms - now
        if incoming.stream is None:
            self._set_deadline(request, deadline_ms)
        else:
            incoming.stream.last_progress_ms = now
            self._streams.add(request)
        self.open[request.id] = request
        # A streamed body's time has not begun; the policy has to start its attempt soon all the same.
        self._turn.post(
            RequestReceived(
                request.id,
                incoming.customer,
                incoming.request_class.name,
                incoming.plan,
                deadline_ms - DEADLINE_MARGIN_MS,
                incoming.units,
                incoming.first,
                incoming.spread,
                incoming.is_retry,
            )
        )
        return request

    # -- what happens to a request

    def on_body_complete(self, request: OpenRequest) -> None:
        """The last byte of a streamed body has come: from now on its client waits."""
        if request.id not in self.open:
            return
        if request.deadline_timer is None and request.responding_attempt is None:
            now = self._clock.now()
            end_ms = max(self.shutdown_deadline_ms, now + 2 * DEADLINE_MARGIN_MS)
            self._set_deadline(request, min(now + request.wait_ms, end_ms))

    def on_disconnect(self, request: OpenRequest) -> None:
        """The client of that request has left; if it has its response, nothing happens."""
        if self.close(request):
            self._turn.post(ClientDisconnected(request.id))
            if request.stream is not None or request.responding_attempt is not None:
                self._cancel_attempts(request)

    def _on_deadline(self, request: OpenRequest) -> None:
        """The policy has not decided, and the client is about to give up, or this process ends."""
        if self.close(request):
            self.count(request, FAILED)
            request.sink.respond(504)
            self._turn.post(ClientDisconnected(request.id))
            if request.stream is not None:
                self._cancel_attempts(request)

    def on_upload_stalled(self, request: OpenRequest) -> None:
        """The client has stopped sending the request's body."""
        if self.close(request):
            request.sink.respond(408)
            self._turn.post(ClientDisconnected(request.id))
            self._cancel_attempts(request)

    def reject(self, action: RejectRequest) -> None:
        """The policy rejects the request."""
        request = self.open.get(action.id)
        if request is not None and self.close(request):
            self.count(request, REJECTED)
            request.sink.respond(503, retry_after_ms=action.retry_after_ms)

    def fail(self, action: FailRequest) -> None:
        """The policy has given the request up."""
        request = self.open.get(action.id)
        if request is not None and self.close(request):
            self.count(request, FAILED)
            request.sink.respond(502)

    # -- its end

    def close(self, request: OpenRequest) -> bool:
        """Take a request off the table; False if it has had its final response before."""
        if self.open.pop(request.id, None) is None:
            return False
        self._ids.release(request.client_id)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self._streams.discard(request)
        # An attempt begins when its connection has come up. One that must not be cancelled would otherwise
        # begin after its request's final response.
        for number in range(request.attempt_count):
            attempt = self.attempts.get((request.id, number))
            if attempt is not None and attempt.connection is None:
                attempt.end(AttemptResult.CANCELLED)
        return True

    def count(self, request: OpenRequest, outcome: int) -> None:
        """A request has ended: SERVED, REJECTED or FAILED."""
        if self.participant is not None:
            self.participant.usage.count(request.plan, outcome, request.units)

    def _cancel_attempts(self, request: OpenRequest) -> None:
        """Nobody waits for the request any more."""
        for number in range(request.attempt_count):
            attempt = self.attempts.get((request.id, number))
            if attempt is not None:
                attempt.end(AttemptResult.CANCELLED)

    # -- deadlines

    def _set_deadline(self, request: OpenRequest, deadline_ms: float) -> None:
        """See to it that the request has its final response by then."""
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        request.deadline_ms = deadline_ms
        for number in range(request.attempt_count):
            attempt = self.attempts.get((request.id, number))
            if attempt is not None:  # its message says how much time is left, if it has not left yet
                attempt.deadline_ms = min(attempt.deadline_ms, deadline_ms)
        request.deadline_timer = self._timers.at(
            deadline_ms - FINAL_RESPONSE_MARGIN_MS, lambda: self._on_deadline(request)
        )

    def shut_down_by(self, deadline_ms: float) -> None:
        """All requests, also those to come, have their response by then: a worker that stalls would keep them
        open until this process is killed."""
        self.shutdown_deadline_ms = deadline_ms
        for request in list(self.open.values()):
            is_waiting = request.deadline_timer is not None and request.responding_attempt is None
            if is_waiting and request.deadline_ms > deadline_ms:
                self._set_deadline(request, deadline_ms)

    def remaining_ms(self) -> list[float]:
        """How long each open request may still be open."""
        now = self._clock.now()
        return [
            request.deadline_ms - now if request.deadline_ms < math.inf else request.wait_ms
            for request in self.open.values()
        ]

    def expire_ids(self) -> None:
        """Forget the ids of requests that ended a while ago; repeats itself."""
        self._timers.at(self._clock.now() + REQUEST_ID_RETENTION_MS, self.expire_ids)
        self._ids.expire()
