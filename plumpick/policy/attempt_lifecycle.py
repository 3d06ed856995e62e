"""The life cycle of attempts: first attempts, retries, hedged requests, overdue attempts and outcomes."""

from __future__ import annotations

import math
from collections.abc import Callable

from plumpick.policy import retry
from plumpick.policy.actions import CancelAttempt, StartAttempt
from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.events import AttemptCompleted, AttemptResult
from plumpick.policy.outlier_detection import FAILED
from plumpick.policy.overdue_attempts import MIN_OVERDUE_MS, OVERDUE_LATENCY_RATIO
from plumpick.policy.request_state import Attempt, Request
from plumpick.policy.settings import Idempotency
from plumpick.policy.state import GatewayState
from plumpick.policy.timers import TimerKind
from plumpick.policy.turn import Turn

MIN_TIMEOUT_MS = 1.0
COMPLETED_ATTEMPT_WEIGHT = 1.0  # weight in outlier detection of an attempt that completed at this gateway
SLOW_ATTEMPT_WEIGHT = 0.6  # weight in outlier detection of the failure assumed for an unusually slow attempt
# Results that say nothing about the endpoint
RESULTS_WITHOUT_EVIDENCE = (AttemptResult.CANCELLED, AttemptResult.NOT_STARTED)
ANSWERED_RESULTS = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED_BY_WORKER)


class AttemptLifecycle:
    """Starts, retries, hedges and completes the attempts of all requests."""

    def __init__(
        self,
        state: GatewayState,
        turn: Turn,
        on_final: Callable[[Request], None],
        on_exhausted: Callable[[Request], None],
    ) -> None:
        """`on_final` is called when a request has got its answer, `on_exhausted` when its last attempt has
        ended without one and no further attempt is possible."""
        self.state = state
        self.turn = turn
        self.on_final = on_final
        self.on_exhausted = on_exhausted

    # -- start of attempts

    def start(self, request: Request) -> bool:
        """Start one more attempt of a request; returns False if no endpoint may get it or the request has
        used all its attempts."""
        state, now_ms = self.state, self.turn.now_ms
        allowed = retry.allowed_endpoints(now_ms, request, state.settings, state.endpoints)
        tracked = state.load_balancer.choose(now_ms, request, allowed)
        if tracked is None or request.attempt_count >= state.settings.max_attempts:
            return False
        if request.attempt_count == 0:
            state.queue.on_first_attempt(now_ms, request)
            state.retry_budget.on_first_attempt()
        state.endpoints.disabled.on_attempt(tracked.endpoint.id)
        self._emit_start(request, tracked)
        self._record_start(request, tracked)
        usual_ms = state.statistics.usual_latency_ms[request.request_class.name]
        delay_ms = max(retry.MIN_HEDGE_DELAY_MS, retry.HEDGE_LATENCY_RATIO * usual_ms)
        state.timers.schedule(now_ms + delay_ms, TimerKind.HEDGE, request.received.id)
        return True

    def _emit_start(self, request: Request, tracked: TrackedEndpoint) -> None:
        now_ms = self.turn.now_ms
        timeout_ms = max(MIN_TIMEOUT_MS, request.received.deadline_ms - now_ms)
        start_within_ms = math.inf
        if request.unproven_attempts:
            start_within_ms = retry.deduplication_time_left_ms(now_ms, request, self.state.settings)
        action = StartAttempt(
            request.received.id, tracked.endpoint.id, timeout_ms, start_within_ms, request.attempt_count
        )
        self.turn.actions.append(action)

    def _record_start(self, request: Request, tracked: TrackedEndpoint) -> None:
        state, now_ms = self.state, self.turn.now_ms
        request_class = request.request_class
        number = request.attempt_count
        state.attempts[request.received.id, number] = Attempt(
            tracked, request_class.name, now_ms, request_class.latency_objective_ms
        )
        request.in_flight[number] = tracked
        request.tried_endpoints.append(tracked)
        if not request.unproven_attempts:
            request.first_endpoint = tracked.endpoint
            request.first_attempt_ms = now_ms
        request.attempt_count += 1
        request.unproven_attempts += 1
        tracked.in_flight += 1
        state.endpoints.recent_attempts += 1
        state.limit.add_in_flight(now_ms, 1)

    def retry(self, request: Request, answer_probability: float = 1.0) -> bool:
        """Start a further attempt if it can still be in time and the retry budget allows it; returns whether
        it started. `answer_probability`: probability that the previous attempt still answers."""
        state, now_ms = self.state, self.turn.now_ms
        expected_ms = state.statistics.expected_latency_ms(request.request_class)
        gain = retry.relative_gain(now_ms, request, expected_ms, state.top_priority)
        price = retry.price_tokens(answer_probability)
        if not state.retry_budget.allows(price, gain) or not self.may_retry(request):
            return False
        if not self.start(request):
            return False
        state.retry_budget.spend(price)
        return True

    def may_retry(self, request: Request) -> bool:
        """Whether a further attempt could still be in time and an endpoint is allowed to get it."""
        state = self.state
        return retry.may_retry(self.turn.now_ms, request, state.settings, state.endpoints, state.statistics)

    def retry_elsewhere(self, request: Request, leaving: list[TrackedEndpoint]) -> None:
        """Start another attempt of an idempotent request if its only attempt is at an endpoint in `leaving`,
        i.e. one that leaves service and may stop before it answers."""
        if len(request.in_flight) != 1 or next(iter(request.in_flight.values())) not in leaving:
            return
        if request.request_class.idempotency is Idempotency.IDEMPOTENT and not request.is_streaming:
            self.retry(request)

    # -- slow and overdue attempts

    def on_hedge_timer(self, request: Request) -> None:
        """Handle an attempt that is slower than usual: count it as a failure of its endpoint, and start a
        hedged request if there is room for one and the attempt is unlikely to answer."""
        state = self.state
        if not self.turn.is_stalled:
            for tracked in request.in_flight.values():
                class_name = request.request_class.name
                state.outliers.record(self.turn.now_ms, tracked, class_name, FAILED, SLOW_ATTEMPT_WEIGHT)
        limit = state.limit
        has_room = limit.mean_in_flight < retry.MAX_HEDGE_LOAD_RATIO * limit.limit
        if state.settings.can_hedge and has_room and len(request.in_flight) == 1:
            (number,) = request.in_flight
            probability = state.overdue.answer_probability(state.attempts[request.received.id, number])
            if probability < retry.MAX_HEDGE_PROBABILITY:
                self.retry(request, probability)
        self.check_overdue(request)

    def check_overdue(self, request: Request) -> None:
        """Write off the request's overdue attempts in proportion to the probability that they never answer,
        which makes room for other attempts, and start a hedged request if its class allows one."""
        usual_ms = self.state.statistics.usual_latency_ms[request.request_class.name]
        overdue_after_ms = max(MIN_OVERDUE_MS, OVERDUE_LATENCY_RATIO * usual_ms)
        next_ms = math.inf
        for attempt in [self.state.attempts[request.received.id, number] for number in request.in_flight]:
            next_ms = min(next_ms, self._check_attempt(attempt, overdue_after_ms))
        if not self._hedge_overdue(request):
            next_ms = min(next_ms, self.turn.now_ms + retry.HEDGE_RETRY_DELAY_MS)
        if next_ms < math.inf:
            self.state.timers.schedule(next_ms, TimerKind.OVERDUE_CHECK, request.received.id)

    def _check_attempt(self, attempt: Attempt, overdue_after_ms: float) -> float:
        """Write off a part of the attempt if it is overdue; returns the time of its next check."""
        now_ms, tick_ms = self.turn.now_ms, self.state.settings.tick_ms
        # The usual latency may have risen since the check was scheduled; the attempt is then not overdue yet.
        at_ms = attempt.next_check_ms or attempt.started_ms + overdue_after_ms
        if self.turn.is_stalled:  # the attempt's wait includes a stall of this process: start counting anew
            at_ms = now_ms + (attempt.overdue_after_ms or tick_ms)
            attempt.next_check_ms = attempt.overdue_after_ms and at_ms
        if now_ms < at_ms:
            return max(at_ms, now_ms + tick_ms)
        overdue = self.state.overdue
        if attempt.overdue_after_ms:
            overdue.record_interval(attempt)
        attempt.overdue_after_ms = attempt.overdue_after_ms or overdue_after_ms
        attempt.next_check_ms = now_ms + attempt.overdue_after_ms
        attempt.answer_probability = overdue.answer_probability(attempt)
        lost = 1 - attempt.answer_probability - attempt.written_off
        attempt.written_off += self.state.limit.write_off(now_ms, lost)
        return attempt.next_check_ms

    def _hedge_overdue(self, request: Request) -> bool:
        """Start a hedged request for an overdue attempt, using the room that its written-off part leaves.
        Returns False if one is needed but has no room or retry token yet, so it has to be tried again."""
        state = self.state
        if not state.settings.can_hedge or len(request.in_flight) != 1:
            return True
        (number,) = request.in_flight
        attempt = state.attempts[request.received.id, number]
        if not attempt.overdue_after_ms or not attempt.answer_probability < retry.MAX_HEDGE_PROBABILITY:
            return True
        if not self.may_retry(request):
            return True
        has_room = state.limit.available() + attempt.written_off >= 1
        return has_room and self.retry(request, attempt.answer_probability)

    # -- end of attempts

    def on_completed(self, event: AttemptCompleted) -> None:
        """Handle the end of an attempt: record its outcome, and complete, retry or end its request."""
        state = self.state
        attempt = state.attempts.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        request = state.requests.get(event.id)
        self._release(attempt, event)
        self._record_outcome(attempt, event)
        if request is None:
            return
        request.in_flight.pop(event.attempt, None)
        request.unproven_attempts -= event.result.proves_not_executed
        if event.is_final:
            self.on_final(request)
        elif not request.in_flight and not self._follow_up(request, event.result):
            self.on_exhausted(request)

    def _follow_up(self, request: Request, result: AttemptResult) -> bool:
        """Start a further attempt after one that ended with `result`; returns whether it started. Replacing
        an attempt that never started adds no load, so it costs no retry token."""
        if result is AttemptResult.NOT_STARTED:
            return self.may_retry(request) and self.start(request)
        return self.retry(request)

    def _release(self, attempt: Attempt, event: AttemptCompleted) -> None:
        """Stop counting an ended attempt as in flight."""
        state, now_ms = self.state, self.turn.now_ms
        attempt.endpoint.in_flight -= 1
        is_rejected = event.result is AttemptResult.REJECTED_BY_WORKER
        state.limit.add_in_flight(now_ms, attempt.written_off - 1)
        state.limit.written_off -= attempt.written_off
        if attempt.overdue_after_ms and not self.turn.is_stalled:
            state.overdue.record_end(now_ms, attempt, event.result in ANSWERED_RESULTS)
        state.limit.rejected += is_rejected
        state.limit.completed += 1

    def _record_outcome(self, attempt: Attempt, event: AttemptCompleted) -> None:
        """Update the statistics of the endpoint and the class with an attempt's outcome. After a stall of
        this process the measured latency is left out, because it includes the stall."""
        state, now_ms, is_stalled = self.state, self.turn.now_ms, self.turn.is_stalled
        class_name, tracked = attempt.class_name, attempt.endpoint
        usual_ms = state.statistics.usual_latency_ms[class_name]
        latency_ratio = FAILED
        if event.load_report:
            state.load_reports.record(now_ms, tracked, event.load_report)
        if event.result is AttemptResult.OK:
            state.limit.answered_objectives_ms += attempt.latency_objective_ms
            state.limit.answered += 1
            latency_ratio = event.latency_ms / usual_ms
            objective_ms = attempt.latency_objective_ms
            state.statistics.on_answer(class_name, event.latency_ms, objective_ms, is_stalled)
        if event.result not in RESULTS_WITHOUT_EVIDENCE and not is_stalled:
            state.outliers.record(now_ms, tracked, class_name, latency_ratio, COMPLETED_ATTEMPT_WEIGHT)

    def cancel_others(self, request: Request, kept_attempt: int = -1) -> None:
        """Cancel a request's attempts in flight, except the attempt numbered `kept_attempt`."""
        if self.state.settings.can_cancel_attempts:
            self.turn.actions.extend(
                CancelAttempt(request.received.id, number)
                for number in request.in_flight
                if number != kept_attempt
            )
