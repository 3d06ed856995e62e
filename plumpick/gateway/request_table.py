"""The table of open requests: each request gets exactly one final response, at the latest by its deadline.

A request is in the table from its submission until its final response. If neither the policy nor a worker has
produced a response by FINAL_RESPONSE_MARGIN_MS before the client's timeout, the table answers 504. The time
of a request with a streamed body runs from its last byte, and before that while its connection is not read as
the worker takes nothing: the client may have sent the last byte already. The size of the table is bounded by
the listeners' connections and the requests' deadlines."""

from __future__ import annotations

import math

from plumpick.gateway.body_streams import BodyStreams
from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.event_turn import EventTurn
from plumpick.gateway.listeners.interface import (
    ClusterParticipant,
    IncomingRequest,
    RequestExpiredError,
    ResponseSink,
)
from plumpick.gateway.open_request import REQUEST_ID_RETENTION_MS, OpenRequest, RequestIds
from plumpick.gateway.response_discarder import ResponseDiscarder
from plumpick.gateway.unanswered_requests import EndReason, UnansweredRequests
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.request_encoding import encode_head
from plumpick.policy.actions import FailRequest, RejectRequest
from plumpick.policy.events import AttemptResult, ClientDisconnected, RequestReceived

# Time by which the policy's deadline precedes the client's, to allow for network and timer delays.
DEADLINE_MARGIN_MS = 20.0
FINAL_RESPONSE_MARGIN_MS = 5.0  # time before the client's timeout at which an open request is answered 504
MAX_UPLOAD_PAUSE_MS = 10_000.0  # time for which a worker may take nothing of a body that is still being sent

# Outcomes of a request. They equal those of plumpick/policy/usage_report.py, which is not imported here
# because it is loaded only if usage is reported.
SERVED = 0
REJECTED = 1
FAILED = 2


class RequestTable:
    """The open requests by id, and all attempts in flight, including those of requests that have ended."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        turn: EventTurn,
        streams: BodyStreams,
        discarder: ResponseDiscarder,
        unanswered: UnansweredRequests,
    ) -> None:
        self.open: dict[int, OpenRequest] = {}
        # Attempts in flight by request id and number of the attempt.
        self.attempts: dict[tuple[int, int], Attempt] = {}
        # Counter of the requests' outcomes, if usage is reported.
        self.participant: ClusterParticipant | None = None
        self.shutdown_deadline_ms = math.inf  # upper bound on all deadlines during a shutdown
        self.late_deadline_ms = math.inf  # upper bound on new deadlines while late requests are bounded
        self._clock = clock
        self._timers = timers
        self._turn = turn
        self._streams = streams
        self._discarder = discarder
        self.unanswered = unanswered
        self.ids = RequestIds()

    def submit(
        self, sink: ResponseSink, incoming: IncomingRequest, now: float, max_unread_ms: float
    ) -> OpenRequest:
        """Open a request and return it; raises DuplicateRequestIdError, and RequestExpiredError if its time
        has passed while earlier requests were answered. `max_unread_ms`: maximum time for which it may have
        been unread during a stall of this process."""
        self._check_time(incoming, now)
        self.ids.claim(incoming.id)
        # A pipelined request has also waited for the responses to earlier ones since `received_ms`.
        waited_ms = max_unread_ms + now - incoming.received_ms
        wait_ms = max(incoming.timeout_ms - waited_ms, min(incoming.timeout_ms, 2 * DEADLINE_MARGIN_MS))
        end_ms = min(self.shutdown_deadline_ms, self.late_deadline_ms)
        deadline_ms = min(now + wait_ms, max(end_ms, now + 2 * DEADLINE_MARGIN_MS))
        request = OpenRequest(self._turn.next_id(), sink, encode_head(incoming), incoming)
        request.wait_ms = deadline_ms - now
        if incoming.stream is None:
            self._set_deadline(request, deadline_ms)
        else:
            incoming.stream.last_progress_ms = now
            incoming.stream.on_paused = lambda: self._on_upload_paused(request)
            self._streams.add(request, incoming.stream.high_water_bytes)
        self.open[request.id] = request
        # The policy gets a deadline for a streamed body too: its time has not begun, but its attempt must
        # start soon.
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

    def _check_time(self, incoming: IncomingRequest, now: float) -> None:
        end_ms = min(incoming.received_ms + incoming.timeout_ms, self.shutdown_deadline_ms)
        has_waited = incoming.stream is None and now - incoming.received_ms > DEADLINE_MARGIN_MS
        if has_waited and now >= end_ms - DEADLINE_MARGIN_MS:
            if self.participant is not None:
                self.participant.usage.count(incoming.plan, REJECTED, incoming.units)
            raise RequestExpiredError("the time of the request is over")

    # -- events of a request

    def on_body_complete(self, request: OpenRequest) -> None:
        """Start the request's deadline: the last byte of its streamed body has been received."""
        if request.id not in self.open:
            return
        if request.deadline_timer is None and request.responding_attempt is None:
            now = self._clock.now()
            end_ms = max(self.shutdown_deadline_ms, now + 2 * DEADLINE_MARGIN_MS)
            left_ms = max(0.0, request.wait_ms - request.stream.backpressure_ms())
            self._set_deadline(request, min(now + left_ms, end_ms))
            for attempt in self._attempts_of(request):  # the policy answers after its timeout
                attempt.deadline_ms -= DEADLINE_MARGIN_MS

    def _on_upload_paused(self, request: OpenRequest) -> None:
        """Bound the time for which the rest of a request's body is not read, as its worker takes nothing."""
        if request.backpressure_timer is None:
            self._check_backpressure(request)

    def _check_backpressure(self, request: OpenRequest) -> None:
        """End the attempts of a request whose worker has held back the body for the time that the client
        allows. The policy then answers, and _on_deadline if it does not."""
        request.backpressure_timer = None
        if request.id not in self.open or request.responding_attempt is not None:
            return
        if request.deadline_timer is not None or not request.stream.is_paused:
            return
        now = self._clock.now()
        left_ms = self._upload_time_left_ms(request, now)
        if left_ms > DEADLINE_MARGIN_MS:
            request.backpressure_timer = self._timers.call_at(
                now + left_ms - DEADLINE_MARGIN_MS, lambda: self._check_backpressure(request)
            )
            return
        self._set_deadline(request, now + left_ms)
        self._end_attempts(request, AttemptResult.TIMEOUT)

    def _upload_time_left_ms(self, request: OpenRequest, now: float) -> float:
        """Return the time until a request whose body is not read gets its final response."""
        stream = request.stream
        return min(
            request.wait_ms - stream.backpressure_ms(),
            MAX_UPLOAD_PAUSE_MS - stream.paused_ms(),
            self.shutdown_deadline_ms - now,
        )

    def on_disconnect(self, request: OpenRequest) -> None:
        """Close the request of a client that has disconnected; does nothing after the final response.

        A body that has not been sent whole is not completed. A response that has begun to be streamed is read
        to its end. Whether other attempts go on is for the policy to decide."""
        if not self.close(request):
            return
        self._hold_id(request)
        self._turn.post(ClientDisconnected(request.id))
        for attempt in self._attempts_of(request):
            if request.stream is not None and not attempt.is_request_sent():
                attempt.end(AttemptResult.CANCELLED)
            elif attempt is request.responding_attempt:
                self._discarder.discard(attempt)

    def _hold_id(self, request: OpenRequest) -> None:
        """Reserve the id of a request without a response until its deadline: a worker may still execute it,
        even after its attempt was cancelled."""
        if request.attempt_count and self._clock.now() < request.deadline_ms < math.inf:
            self.ids.hold(request.client_id, request.deadline_ms)

    def end_abandoned_uploads(self) -> None:
        """Close the requests whose clients have disconnected while they were not read."""
        for request in self._streams.paused_uploads():
            if request.sink.has_disconnected():
                self.on_disconnect(request)
                request.sink.abort()

    def _on_deadline(self, request: OpenRequest) -> None:
        """Answer 504: the client is about to time out, or this process to exit, without a response."""
        if self.close(request):
            self.count(request, FAILED)
            request.sink.respond(504)
            self._turn.post(ClientDisconnected(request.id))
            if request.stream is not None:
                self._cancel_attempts(request)

    def on_response_unread(self, request: OpenRequest) -> None:
        """Disconnect a client that has stopped reading the response that is being streamed to it."""
        self.count(request, FAILED)
        self.unanswered.record(EndReason.RESPONSE_UNREAD, (request.client_id,))
        self.on_disconnect(request)
        request.sink.abort(EndReason.RESPONSE_UNREAD)

    def on_upload_stalled(self, request: OpenRequest) -> None:
        """Answer 408 and cancel the attempts: the client has stopped sending the request's body."""
        if self.close(request):
            request.sink.respond(408)
            self._turn.post(ClientDisconnected(request.id))
            self._cancel_attempts(request)

    def reject(self, action: RejectRequest) -> None:
        """Answer 503, with Retry-After if the policy gives a time: the policy has rejected the request."""
        request = self._unanswered(action.id)
        if request is not None and self.close(request):
            self.count(request, REJECTED)
            request.sink.respond(503, retry_after_ms=action.retry_after_ms)

    def fail(self, action: FailRequest) -> None:
        """Answer 502: the policy has given up the request after failed attempts."""
        request = self._unanswered(action.id)
        if request is not None and self.close(request):
            self.count(request, FAILED)
            request.sink.respond(502)

    def _unanswered(self, request_id: int) -> OpenRequest | None:
        """Return an open request of which no response is being streamed to the client, or None."""
        request = self.open.get(request_id)
        return None if request is None or request.responding_attempt is not None else request

    # -- end of a request

    def close(self, request: OpenRequest) -> bool:
        """Remove a request from the table; returns False if it was closed before."""
        if self.open.pop(request.id, None) is None:
            return False
        self.ids.release(request.client_id)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if request.backpressure_timer is not None:
            request.backpressure_timer.cancel()
        if request.stream is not None:
            request.stream.release()
        self._streams.remove(request)
        self._end_unsent_attempts(request)
        return True

    def _end_unsent_attempts(self, request: OpenRequest) -> None:
        """End the attempts of a request that has ended, if its worker can't have received the whole request:
        it would otherwise be written after the final response, or stay in memory while the worker takes
        nothing. A streamed body is left to the caller."""
        for attempt in self._attempts_of(request):
            attempt.body = b""
            connection = attempt.connection
            if connection is None or attempt.stream is None and connection.has_unsent_bytes:
                attempt.end(AttemptResult.CANCELLED)

    def count(self, request: OpenRequest, outcome: int) -> None:
        """Count the outcome of a request that has ended: SERVED, REJECTED or FAILED."""
        if self.participant is not None:
            self.participant.usage.count(request.plan, outcome, request.units)

    def _cancel_attempts(self, request: OpenRequest) -> None:
        """Cancel all attempts of a request whose response is no longer wanted."""
        self._end_attempts(request, AttemptResult.CANCELLED)

    def _end_attempts(self, request: OpenRequest, result: AttemptResult) -> None:
        """End all attempts of a request with this result."""
        for attempt in self._attempts_of(request):
            attempt.end(result)

    def _attempts_of(self, request: OpenRequest) -> list[Attempt]:
        """Return the attempts of a request that are in flight."""
        attempts = []
        for number in range(request.attempt_count):
            attempt = self.attempts.get((request.id, number))
            if attempt is not None:
                attempts.append(attempt)
        return attempts

    # -- deadlines of requests

    def _set_deadline(self, request: OpenRequest, deadline_ms: float) -> None:
        """Set the time by which the request gets its final response, also for its attempts in flight."""
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        request.deadline_ms = deadline_ms
        for attempt in self._attempts_of(request):  # a request not yet written states the remaining time
            attempt.deadline_ms = min(attempt.deadline_ms, deadline_ms)
        request.deadline_timer = self._timers.call_at(
            deadline_ms - FINAL_RESPONSE_MARGIN_MS, lambda: self._on_deadline(request)
        )

    def shut_down_by(self, deadline_ms: float) -> None:
        """Bound the deadlines of all open and future requests by `deadline_ms`: otherwise a stalled worker
        would keep requests open until this process is killed."""
        self.shutdown_deadline_ms = deadline_ms
        for request in list(self.open.values()):
            is_waiting = request.deadline_timer is not None and request.responding_attempt is None
            if is_waiting and request.deadline_ms > deadline_ms:
                self._set_deadline(request, deadline_ms)
            elif request.backpressure_timer is not None:
                request.backpressure_timer.cancel()
                self._check_backpressure(request)

    def record_open_at_exit(self) -> None:
        """Record the requests that are still open when this process exits."""
        ids = [request.client_id for request in self.open.values()]
        self.unanswered.record(EndReason.PROCESS_EXIT, ids)

    def remaining_ms(self) -> list[float]:
        """Return the remaining time of each open request in ms. While a body is still being received that is
        all of the time allowed for the response."""
        now = self._clock.now()
        return [
            request.deadline_ms - now if request.deadline_ms < math.inf else request.wait_ms
            for request in self.open.values()
        ]

    def expire_ids(self) -> None:
        """Forget the ids of requests that ended before the previous call; reschedules itself."""
        now = self._clock.now()
        self._timers.call_at(now + REQUEST_ID_RETENTION_MS, self.expire_ids)
        self.ids.expire(now)
