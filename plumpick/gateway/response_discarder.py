"""Discarding of responses that no client takes any more: they are read to their end and dropped.

A response that has begun to be streamed cannot be withdrawn: closing its connection would cut off what the
worker still sends. So if its client has disconnected, or does not wait for it, the rest is read and dropped.
The attempt stays in flight until then, since its worker is busy with it.

Bounds: on the bytes of a response, on its pace, on the number of responses that are discarded at once, and in
a crowd of them on the time of each. An attempt that exceeds a bound ends with CANCELLED, which says nothing
about its worker. One of the responses is read in each iteration of the event loop, so that they delay other
connections by one read, however many they are. No method raises."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.gateway.body_streams import RESPONSE_STALL_MS
from plumpick.gateway.clock import Clock
from plumpick.gateway.upstream.attempt import Attempt, AttemptConnection, ResponseBodySink
from plumpick.policy.events import AttemptResult

MAX_DISCARDED_BYTES = 32 * 1024 * 1024  # maximum rest of a response: workers' responses reach 32 MB
# Minimum mean rate after RESPONSE_STALL_MS: half the rate of the slowest genuine peers.
MIN_RATE_BYTES_PER_MS = 32.0
# Maximum number of discarded responses, as a share of the connections to workers. Fewer than 500 of them are
# each read faster than MIN_RATE_BYTES_PER_MS, as a read may take at least 16 KiB.
MAX_DISCARDED_RATIO = 0.25
# Share of the connections to workers above which the responses that have been discarded for longer than
# CROWDED_TIME_MS are cancelled, the oldest first: they would take the place of requests with a client.
CROWDED_RATIO = 1 / 32
CROWDED_TIME_MS = 2000.0


class DiscardedResponse:
    """The sink of a response whose bytes are counted and dropped."""

    __slots__ = ("attempt", "connection", "received_bytes", "started_ms", "_discarder")

    def __init__(
        self, discarder: ResponseDiscarder, attempt: Attempt, connection: AttemptConnection, now: float
    ) -> None:
        self.attempt = attempt
        self.connection = connection
        self.started_ms = now
        self.received_bytes = 0
        self._discarder = discarder

    def write_chunk(self, data: bytes) -> None:
        """Drop the next bytes of the body."""
        self.received_bytes += len(data)
        self._discarder.on_received(self)

    def finish_response(self) -> None:
        """End the response: its body is complete."""
        self._discarder.remove(self)

    def abort_response(self) -> None:
        """End the response: the rest of its body is lost."""
        self._discarder.remove(self)

    def is_too_slow(self, now: float) -> bool:
        """Whether the worker sends the response at less than the minimum rate."""
        return now - self.started_ms > RESPONSE_STALL_MS + self.received_bytes / MIN_RATE_BYTES_PER_MS

    def has_lasted(self, now: float) -> bool:
        """Whether the response has been discarded for longer than it may be in a crowd."""
        return now - self.started_ms > CROWDED_TIME_MS


class ResponseDiscarder:
    """Reads the discarded responses in turn, and ends the attempts of those that exceed a bound."""

    def __init__(
        self, clock: Clock, call_soon: Callable[[Callable[[], None]], Any], max_connections: int
    ) -> None:
        """`call_soon` schedules a callback for the next iteration of the event loop. `max_connections`:
        maximum number of connections to workers."""
        self._clock = clock
        self._call_soon = call_soon
        self._responses: dict[DiscardedResponse, None] = {}
        self._waiting: dict[DiscardedResponse, None] = {}  # those to be read next, in this order
        self._is_read_scheduled = False
        self._max_responses = 0
        self._crowded_responses = 0
        self.set_max_connections(max_connections)

    def set_max_connections(self, max_connections: int) -> None:
        """Adapt the maximum number of discarded responses to that of the connections to workers."""
        self._max_responses = max(1, int(max_connections * MAX_DISCARDED_RATIO))
        self._crowded_responses = max(1, int(max_connections * CROWDED_RATIO))

    def __len__(self) -> int:
        return len(self._responses)

    def discard(self, attempt: Attempt) -> ResponseBodySink | None:
        """Read the rest of the response of an attempt and drop it. Returns its new sink, or None if the
        attempt was cancelled: the rest is too large, or too many responses are discarded already."""
        connection = attempt.connection
        if connection is None or not self._may_discard(connection):
            attempt.end(AttemptResult.CANCELLED)
            return None
        now = self._clock.now()
        response = DiscardedResponse(self, attempt, connection, now)
        attempt.response_sink = response
        attempt.last_progress_ms = now  # the worker could not send while its client held the response back
        self._responses[response] = None
        self._wait_for_turn(response)
        return response

    def _may_discard(self, connection: AttemptConnection) -> bool:
        is_small_enough = connection.missing_response_bytes() <= MAX_DISCARDED_BYTES
        return is_small_enough and len(self._responses) < self._max_responses

    def on_received(self, response: DiscardedResponse) -> None:
        """Suspend reading of a response until its next turn, or cancel its attempt if it is too large."""
        if response.received_bytes > MAX_DISCARDED_BYTES:
            response.attempt.end(AttemptResult.CANCELLED)
        elif response in self._responses:
            self._wait_for_turn(response)

    def remove(self, response: DiscardedResponse) -> None:
        """Forget a response whose attempt has ended."""
        self._responses.pop(response, None)
        self._waiting.pop(response, None)

    def sweep(self, now: float) -> None:
        """End the attempts whose workers have stopped sending the response or send it too slowly, and the
        oldest ones of a crowd."""
        for response in list(self._responses):  # in the order of their start
            if now - response.attempt.last_progress_ms > RESPONSE_STALL_MS:
                response.attempt.end(AttemptResult.RESET)
            elif response.is_too_slow(now) or self._is_crowded() and response.has_lasted(now):
                response.attempt.end(AttemptResult.CANCELLED)

    def _is_crowded(self) -> bool:
        return len(self._responses) > self._crowded_responses

    # -- turns of reading

    def _wait_for_turn(self, response: DiscardedResponse) -> None:
        response.connection.pause()
        self._waiting[response] = None
        self._schedule_read()

    def _schedule_read(self) -> None:
        if not self._is_read_scheduled:
            self._is_read_scheduled = True
            self._call_soon(self._read_next)

    def _read_next(self) -> None:
        self._is_read_scheduled = False
        if not self._waiting:
            return
        response = next(iter(self._waiting))
        del self._waiting[response]
        response.connection.resume()
        if self._waiting:
            self._schedule_read()
