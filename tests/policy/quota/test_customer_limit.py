"""The limit on the number of customers whose state a gateway keeps."""

import pytest
from support.controllers import FLEET, actions_of, gateway, make_quota_message, owner_of, request_event

from plumpick.policy import housekeeping
from plumpick.policy.actions import RejectRequest, StartAttempt
from plumpick.policy.events import AttemptCompleted, AttemptResult
from plumpick.policy.peer_messages import QuotaMessageKind
from plumpick.policy.quota.owner import IDLE_MS

LIMIT = 50
NOW_MS = 1000.0


def limited_controller(**more):
    controller = gateway(**more)
    controller.limit_customers(LIMIT)
    controller.handle(NOW_MS, [FLEET])
    return controller


def serve(controller, received):
    """Let a request have its response, if it is not rejected."""
    for send in actions_of(StartAttempt, controller.handle(NOW_MS, [received])):
        completed = AttemptCompleted(send.id, 0, send.endpoint, 5.0, AttemptResult.OK, True)
        controller.handle(NOW_MS, [completed])


def customer_owned_here(number):
    """A customer whose ledger is kept by gateway 0."""
    return next(name for n in range(100) if owner_of(name := f"c{number}.{n}") == 0)


@pytest.mark.parametrize("count", [LIMIT + 1, 10 * LIMIT])
def test_requests_of_new_customers_above_the_limit_are_rejected_whole(count):
    # Report 81cf89: accounts of ever new customers grew without a bound.
    controller = limited_controller()
    events = [request_event(n, customer=customer_owned_here(n)) for n in range(1, count + 1)]
    actions = controller.handle(NOW_MS, events)
    rejected = actions_of(RejectRequest, actions)
    assert [action.id for action in rejected] == list(range(LIMIT + 1, count + 1))
    assert all(action.retry_after_ms > 0 for action in rejected)
    assert controller.customer_counts() == (LIMIT, LIMIT)


def test_known_customers_go_on_while_new_ones_are_rejected():
    # Report 81cf89: a flood of names must not take the place of those that are served.
    controller = limited_controller()
    known = customer_owned_here(1)
    for number in range(1, 10 * LIMIT):
        serve(controller, request_event(number, customer=customer_owned_here(number)))
    assert actions_of(RejectRequest, controller.handle(NOW_MS, [request_event(10_000, customer="new")]))
    actions = controller.handle(NOW_MS + 1.0, [request_event(10_001, customer=known)])
    assert not actions_of(RejectRequest, actions) and actions_of(StartAttempt, actions)


def test_ledgers_of_customers_that_peers_name_are_limited_and_those_above_are_denied():
    # Report 81cf89, related: a peer that serves ever new customers makes their owner keep a ledger for each.
    controller = limited_controller()
    quota = controller.state.quota
    replies = []
    quota.owner.messenger.send = lambda _now, _to, message, *_: replies.append(message.kind)
    for number in range(10 * LIMIT):
        message = make_quota_message(
            QuotaMessageKind.GRANT_REQUEST, customer_owned_here(number), serial=number
        )
        quota.on_message(NOW_MS, 1, 7, message)
    assert len(quota.owner.ledgers) == LIMIT
    assert replies.count(QuotaMessageKind.GRANT) == LIMIT
    assert replies.count(QuotaMessageKind.DENIED) == 9 * LIMIT
    for kind in (QuotaMessageKind.SPENT, QuotaMessageKind.LATE, QuotaMessageKind.RETURNED):
        quota.on_message(NOW_MS, 1, 7, make_quota_message(kind, "another", serial=9999))
    assert len(quota.owner.ledgers) == LIMIT


def test_new_customers_are_served_again_once_others_have_been_idle():
    # Report 81cf89: after a flood of names the gateway has to come back to rest.
    controller = limited_controller()
    for number in range(1, 2 * LIMIT):
        serve(controller, request_event(number, customer=customer_owned_here(number)))
    now_ms = NOW_MS
    while now_ms < NOW_MS + IDLE_MS + 10_000.0:
        now_ms += 50.0
        controller.handle(now_ms, [])
    assert controller.customer_counts() == (0, 0)
    due_ms = now_ms + 5000.0
    actions = controller.handle(now_ms, [request_event(9999, due=due_ms, customer=customer_owned_here(9999))])
    assert not actions_of(RejectRequest, actions)


def test_a_step_over_a_long_table_looks_at_a_bounded_number_of_entries():
    # Report 81cf89, related: one step over the accounts of a flood looked at a twentieth of all.
    table = dict.fromkeys(range(100_000))
    unvisited = []
    seen = set()
    while len(seen) < len(table):
        keys = housekeeping.next_keys(table, unvisited)
        assert 0 < len(keys) <= housekeeping.MAX_KEYS_PER_STEP
        seen.update(keys)


def test_refused_new_customer_spends_nothing_of_a_budget():
    # Report 81cf89, found in reading: a flood of new names used up a fleet-wide budget without being served.
    controller = limited_controller()
    asked = []

    def is_within(received):
        asked.append(received.id)
        return True

    controller.limit_by_budgets(is_within)
    events = [request_event(n, customer=customer_owned_here(n)) for n in range(1, LIMIT + 6)]
    assert len(actions_of(RejectRequest, controller.handle(NOW_MS, events))) == 5
    assert asked == list(range(1, LIMIT + 1))
