"""Runs the attempts that the policy requests: starts them on the connection pool and reports their results.

An attempt that cannot be started completes as NOT_STARTED. The first successful result becomes the request's
final response, unless another attempt's response is being streamed already. No method raises."""

from __future__ import annotations

from typing import Any

from plumpick.gateway.body_streams import BodyStreams
from plumpick.gateway.clock import Clock
from plumpick.gateway.event_turn import EventTurn
from plumpick.gateway.request_table import FAILED, SERVED, RequestTable
from plumpick.gateway.response_discarder import ResponseDiscarder
from plumpick.gateway.unanswered_requests import EndReason
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.connection_pool import ConnectionPool
from plumpick.policy.actions import CancelAttempt, StartAttempt
from plumpick.policy.events import AttemptCompleted, AttemptResult, ResponseStarted


class AttemptRunner:
    """Starts and cancels attempts for the open requests, and delivers their responses."""

    def __init__(
        self,
        clock: Clock,
        turn: EventTurn,
        requests: RequestTable,
        pool: ConnectionPool,
        streams: BodyStreams,
        discarder: ResponseDiscarder,
    ) -> None:
        self._clock = clock
        self._turn = turn
        self._requests = requests
        self._pool = pool
        self._streams = streams
        self._discarder = discarder

    def start(self, action: StartAttempt) -> None:
        """Start an attempt for a request, unless the request has ended or its client has disconnected."""
        requests = self._requests
        request = requests.open.get(action.id)
        if request is None:
            self._post_not_started(action, action.number, True)
            return
        number = request.attempt_count
        request.attempt_count += 1
        stream = request.stream
        if stream is not None:
            is_previous_in_flight = number > 0 and (request.id, number - 1) in requests.attempts
            if stream.is_started or is_previous_in_flight:
                # Forwarded parts of a body are not retained, so it can be sent by one attempt only.
                self._post_not_started(action, number, False)
                return
        if request.sink.has_disconnected():  # the client's disconnect has not been read yet
            requests.on_disconnect(request)
            request.sink.abort()
            self._post_not_started(action, number, True)
            return
        # The policy's timeout counts from its event turn. For a body still being received it has not begun.
        deadline_ms = request.deadline_ms
        if stream is None:
            deadline_ms = min(self._turn.started_ms + action.timeout_ms, deadline_ms)
        attempt = Attempt(
            request.id,
            number,
            action.endpoint,
            request.head,
            request.body,
            action.timeout_ms,
            deadline_ms,
            self._on_completed,
            stream,
            request.is_head,
            self._on_large_response,
            self._on_stream_started,
            request.sink,
        )
        attempt.start_by_ms = self._turn.started_ms + action.start_within_ms
        requests.attempts[request.id, number] = attempt
        self._pool.start(attempt)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt on behalf of the policy; does nothing if it has completed. An attempt whose
        response is being streamed cannot be withdrawn."""
        attempt = self._requests.attempts.get((action.id, action.attempt))
        if attempt is not None and attempt.response_sink is None:
            attempt.end(AttemptResult.CANCELLED)

    def _post_not_started(self, action: StartAttempt, number: int, is_final: bool) -> None:
        self._turn.post(
            AttemptCompleted(action.id, number, action.endpoint, 0.0, AttemptResult.NOT_STARTED, is_final)
        )

    def _on_stream_started(self, attempt: Attempt) -> None:
        """Report to the policy that a streamed body is being sent and cannot be sent by another attempt. Its
        timing says nothing about the worker until its last byte has been sent."""
        self._turn.post(ResponseStarted(attempt.request_id, attempt.number, attempt.worker_id, False))

    def _on_large_response(self, attempt: Attempt, length: int, content_type: bytes) -> Any:
        """Start to stream a response too large to be buffered; returns its sink. The response is discarded if
        the request has ended or another attempt's response is already being streamed."""
        request = self._requests.open.get(attempt.request_id)
        if request is None or request.responding_attempt is not None:
            return self._discarder.discard(attempt)
        request.responding_attempt = attempt
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        share_bytes = self._streams.next_share_bytes()
        self._streams.add(request, share_bytes)
        self._turn.post(ResponseStarted(attempt.request_id, attempt.number, attempt.worker_id))
        assert attempt.connection is not None
        request.sink.start_response(length, content_type, attempt.connection, share_bytes)
        return request.sink

    def _on_completed(
        self,
        attempt: Attempt,
        result: AttemptResult,
        body: bytes,
        content_type: bytes,
        load_report: tuple[float, ...],
    ) -> None:
        """Report an attempt's result to the policy; the first successful one is the final response."""
        requests = self._requests
        del requests.attempts[attempt.request_id, attempt.number]
        request = requests.open.get(attempt.request_id)
        has_response_started = attempt.response_started_ms > 0
        is_decisive = result is AttemptResult.OK or has_response_started
        if request is not None and request.responding_attempt not in (None, attempt):
            is_decisive = False  # the client is getting the response of another attempt
        if request is not None and is_decisive:
            requests.close(request)  # a response that is being streamed is final, even if it breaks off
            requests.count(request, SERVED if result is AttemptResult.OK else FAILED)
            if not has_response_started:
                request.sink.respond(200, body, content_type)
            elif result is not AttemptResult.OK:
                requests.unanswered.record(
                    EndReason.RESPONSE_BROKEN_OFF, (request.client_id,), attempt.worker_id, result.value
                )
        ended_ms = attempt.response_started_ms if has_response_started else self._clock.now()
        self._turn.post(
            AttemptCompleted(
                attempt.request_id,
                attempt.number,
                attempt.worker_id,
                max(0.0, ended_ms - attempt.started_ms),
                result,
                request is None or is_decisive,
                load_report=load_report,
            )
        )
