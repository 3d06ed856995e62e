"""The life cycle of requests from arrival to final answer: quota, queueing, first attempt, rejection."""

from __future__ import annotations

import math
from collections.abc import Callable

from plumpick.policy import admission, retry
from plumpick.policy.actions import FailRequest, RejectRequest
from plumpick.policy.attempt_lifecycle import AttemptLifecycle
from plumpick.policy.events import RequestReceived
from plumpick.policy.quota.context import MS_PER_S
from plumpick.policy.request_state import Request
from plumpick.policy.state import GatewayState
from plumpick.policy.timers import TimerKind
from plumpick.policy.turn import Turn

NEW_CUSTOMER_RETRY_AFTER_MS = 1000.0  # delay recommended where no further customer is served
DEADLINE_TICKS = 2  # number of clock ticks before its deadline at which a request gets its final answer


class RequestLifecycle:
    """Manages the open requests. Each of them gets exactly one final answer."""

    def __init__(self, state: GatewayState, turn: Turn) -> None:
        self.state = state
        self.turn = turn
        self.attempts = AttemptLifecycle(state, turn, self.close, self.reject_or_fail)
        # Check of the tier-wide budgets; None if there are none
        self.is_within_budgets: Callable[[RequestReceived], bool] | None = None

    # -- admission of requests

    def on_received(self, received: RequestReceived) -> None:
        """Process a client's request: reject it at once, or admit it to wait for its quota and for room under
        the concurrency limit."""
        check_types(received)
        state, now_ms = self.state, self.turn.now_ms
        request_class = state.classes.get(received.class_name)
        plan = state.plans.get(received.plan_name)
        is_new = received.id not in state.requests
        if request_class is None or plan is None or not received.deadline_ms > now_ms or not is_new:
            self.turn.actions.append(RejectRequest(received.id))
            return
        if not state.quota.requester.has_room_for(received, plan):
            self._reject(received.id, NEW_CUSTOMER_RETRY_AFTER_MS)
            return
        # Last, as a request that is within a budget has taken a unit of it.
        if self.is_within_budgets is not None and not self.is_within_budgets(received):
            self._reject(received.id, admission.MIN_RETRY_AFTER_MS)
            return
        account = state.quota.requester.account_of(now_ms, received, plan)
        account.demand_units += received.units
        objective_ms = now_ms + request_class.latency_objective_ms
        priority = request_class.priority_weight * plan.priority_factor
        request = Request(received, request_class, plan, account, now_ms, objective_ms, priority)
        state.requests[received.id] = request
        self._set_deadlines(request)
        if state.quota.requester.request_units(now_ms, request):
            state.queue.append(request)

    def _set_deadlines(self, request: Request) -> None:
        """Set the timers for the latest first attempt and the final answer of a request."""
        state, received = self.state, request.received
        deadline_ms = received.deadline_ms - DEADLINE_TICKS * state.settings.tick_ms
        state.timers.schedule(deadline_ms, TimerKind.DEADLINE, received.id)
        expected_ms = state.statistics.expected_latency_ms(request.request_class)
        first_attempt_ms = admission.first_attempt_deadline_ms(
            self.turn.now_ms, received, request.request_class, expected_ms
        )
        state.timers.schedule(first_attempt_ms, TimerKind.FIRST_ATTEMPT, received.id)

    def on_quota_reply(self, request: Request, is_granted: bool) -> None:
        """Process the quota owner's answer: queue a granted request for its first attempt; if the owner has
        queued it instead, consider starting it beyond its quota."""
        if is_granted:
            self.state.queue.append(request)
        else:
            self._admit_over_quota(request)

    def _admit_over_quota(self, request: Request) -> None:
        """Queue a request without a grant as beyond its quota, if its plan values such requests above their
        cost and has no hard limit."""
        plan = request.plan
        if plan.over_quota_weight > plan.over_quota_cost and not plan.hard_limit_per_s:
            self.state.quota.requester.pending.pop(request.grant_serial)
            request.is_within_quota = False
            request.priority = request.priority * plan.over_quota_weight
            self.state.queue.append(request)

    def on_quota_denied(self, request: Request) -> None:
        """Process a denial or the expiry of a grant request: start the request beyond its quota if its plan
        allows that, else end it."""
        if request.awaits_quota and request.received.id in self.state.requests:
            self._admit_over_quota(request)
            if request.awaits_quota:
                self.reject_or_fail(request)

    def on_grant_timeout(self, request: Request) -> None:
        """Process the time-out of a grant request: the requester sends it again, or lets the request start
        without a grant."""
        if not request.awaits_quota:
            return
        if self.state.quota.requester.on_grant_timeout(self.turn.now_ms, request):
            self.state.queue.append(request)

    # -- release of queued requests

    def release(self) -> None:
        """Start first attempts for queued requests, as far as the concurrency limit allows (admission.py)."""
        state = self.state
        if not state.queue.queued or state.limit.available() < 1:
            return
        limit = state.limit.limit
        ordered = state.queue.sort(state.limit, state.statistics, state.attempts.values())
        is_busy = admission.is_busy(state.limit, limit)
        state.queue.queued = [
            request
            for request in ordered
            if not admission.may_start(request, state.limit, is_busy)
            or self._still_queued_after_start(request)
        ]

    def _still_queued_after_start(self, request: Request) -> bool:
        """Start a request's first attempt if an endpoint is available; returns whether the request is still
        queued."""
        self.turn.run_isolated(self.attempts.start, request)
        return request.is_queued

    # -- end of requests

    def reject_or_fail(self, request: Request) -> None:
        """End a request without a worker's answer: reject it if a client retry cannot execute it twice, else
        fail it. Clients take a rejection as permission to retry."""
        if retry.is_client_retry_safe(request):
            refill_ms = request.received.units * MS_PER_S / (request.plan.rate_per_s or math.inf)
            self._reject(request.received.id, max(admission.MIN_RETRY_AFTER_MS, refill_ms))
        else:
            self.turn.actions.append(FailRequest(request.received.id))
        self.close(request)

    def _reject(self, request_id: int, retry_after_ms: float) -> None:
        max_ms = self.state.settings.max_retry_after_ms
        self.turn.actions.append(RejectRequest(request_id, min(retry_after_ms, max_ms)))

    def close(self, request: Request) -> None:
        """Remove a request that has ended and cancel its attempts in flight."""
        state = self.state
        state.requests.pop(request.received.id, None)
        request.account.requests_in_flight -= not request.awaits_quota
        if request.is_queued:
            state.queue.remove(request)
        state.quota.requester.on_request_end(self.turn.now_ms, request)
        self.attempts.cancel_others(request)


def check_types(received: RequestReceived) -> None:
    """Raises TypeError if a field of a request has the wrong type. Compiled code checks each field when it is
    read; plain Python would fail only after the request has been partly processed."""
    names = received.customer, received.class_name, received.plan_name
    has_valid_types = isinstance(received.id, int) and isinstance(received.is_client_retry, bool)
    if not has_valid_types or not all(isinstance(name, str) for name in names):
        raise TypeError(f"RequestReceived has a field of the wrong type: {received!r}")
