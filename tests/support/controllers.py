"""Helpers for tests of the controller: a fleet of six endpoints, and short forms for events and actions."""

from support.traffic import settings

from plumpick.policy import peer_messages
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    RequestReceived,
)

FLEET = EndpointsUpdated(tuple(Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointState.READY) for n in range(6)))


class TurnDidNotEndError(BaseException):
    """Raised out of a turn that fires too many timers; no step of a turn catches it."""


def gateway(**more):
    return Controller(settings(**more), 1)


def request_event(number, name="look", plan="rated", due=5000.0, customer="c", units=1):
    return RequestReceived(number, customer, name, plan, due, units, 0, 3)


def actions_of(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


def completion(send, result, attempt=0, latency_ms=50.0, final=None):
    final = result is AttemptResult.OK if final is None else final
    return AttemptCompleted(send.id, attempt, send.endpoint, latency_ms, result, final)


def make_quota_message(
    kind, customer="c", serial=1, units=1.0, demand_per_s=0.0, class_index=0, plan_index=0
):
    return peer_messages.QuotaMessage(
        kind, peer_messages.customer_tag(customer), serial, units, demand_per_s, class_index, plan_index
    )


def owner_of(customer, first=0, spread=3):
    return first + peer_messages.owner_position(peer_messages.customer_tag(customer), spread)
