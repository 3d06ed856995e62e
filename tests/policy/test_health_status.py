"""Incarnations in quota messages, and the log lines on unreachable quota owners."""

from support.controllers import FLEET
from support.traffic import settings

from plumpick.policy.actions import SendPeerMessage, SetTimer
from plumpick.policy.controller import Controller
from plumpick.policy.events import PeerMessageReceived, RequestReceived, TimerFired
from plumpick.policy.health_status import SETTLING_MS, QuotaHealth
from plumpick.policy.peer_messages import QuotaMessageKind
from plumpick.policy.settings import Plan

PLANS = (Plan("rated", 10.0, 20.0),)
SEED = 7  # Seed of every start, as if operators had fixed it in the settings


def gateway(number, now):
    control = Controller(
        settings(gateways=2, number=number, plans=PLANS, can_message_peers=True), SEED + number
    )
    control.handle(now, [FLEET])
    return control


def request_units(requester, owner, now, request_id, customer="c", units=5.0):
    """Send one request to the gateway `requester` and deliver its messages to `owner`. Returns the messages
    and the owner's answers, which are not delivered."""
    arrival = RequestReceived(request_id, customer, "look", "rated", now + 2500.0, units, 0, 1)
    messages = [action for action in requester.handle(now, [arrival]) if isinstance(action, SendPeerMessage)]
    answers = []
    for message in messages:
        answers += [
            action
            for action in owner.handle(
                now + 1, [PeerMessageReceived(requester.settings.gateway_number, message.data)]
            )
            if isinstance(action, SendPeerMessage)
        ]
    return messages, answers


def test_restart_with_the_same_seed_has_a_new_incarnation():
    """Guards against units that are granted but not booked: with the same incarnation, the first grant
    requests after a restart would count as repeats of earlier ones."""
    owner = gateway(0, 1000.0)
    first, second = gateway(1, 1000.0), gateway(1, 1400.0)
    messages, _ = request_units(first, owner, 1010.0, 1)
    (ledger,) = owner.state.quota.owner.ledgers.values()
    booked = len(ledger.settled)
    again, _ = request_units(second, owner, 1410.0, 1)
    assert messages and again and booked == 1 and len(ledger.settled) == 2
    assert owner.codec.decode(messages[0].data).incarnation != owner.codec.decode(again[0].data).incarnation


def test_grant_to_an_earlier_incarnation_is_returned_and_not_used():
    """The owner's grant is in flight while the requester restarts, and the new incarnation makes the same
    request."""
    owner = gateway(0, 1000.0)
    first, second = gateway(1, 1000.0), gateway(1, 1400.0)
    _, answers = request_units(first, owner, 1010.0, 1)
    assert [item.kind for answer in answers for item in owner.codec.decode(answer.data).quota_messages] == [
        QuotaMessageKind.GRANT
    ]
    request_units(second, owner, 1410.0, 1)
    done = second.handle(1411.0, [PeerMessageReceived(0, answers[0].data)])
    request = second.requests[1]
    assert request.awaits_quota and not request.units_charged
    while not [action for action in done if isinstance(action, SendPeerMessage)]:
        (timer,) = [action for action in done if isinstance(action, SetTimer)][:1]
        done = second.handle(1411.0 + timer.delay_ms, [TimerFired(timer.name)])
    kinds = [
        item.kind
        for action in done
        if isinstance(action, SendPeerMessage)
        for item in second.codec.decode(action.data).quota_messages
    ]
    assert QuotaMessageKind.RETURNED in kinds


def test_same_events_give_the_same_incarnation():
    one, two = gateway(1, 1000.0), gateway(1, 1000.0)
    assert (one.state.quota.context.incarnation, one.state.quota.requester.serial) == (
        two.state.quota.context.incarnation,
        two.state.quota.requester.serial,
    )


def test_quota_health_is_logged_once_after_it_has_settled():
    health = QuotaHealth(4, 1)
    lines = [health.update(ms, {2}) for ms in (0.0, SETTLING_MS - 1, SETTLING_MS, SETTLING_MS + 1, 9000.0)]
    assert lines == [
        None,
        None,
        "quotas: no response from n2; their customers are limited to this gateway's share",
        None,
        None,
    ]
    assert health.update(9100.0, {0, 2, 3}) is None and "no other quota owner" in health.update(
        9100.0 + SETTLING_MS, {0, 2, 3}
    )
    assert health.update(11_000.0, set()) is None
    assert health.update(11_000.0 + SETTLING_MS, set()) == (
        "quotas: enforced over all gateways, all quota owners respond"
    )


def test_flapping_owner_and_unknown_numbers_are_not_logged():
    health = QuotaHealth(4, 1)
    flapping = [health.update(step * 300.0, {0} if step % 2 else set()) for step in range(100)]
    nonsense = [health.update(60_000.0 + step * 300, {1, 7, -1}) for step in range(100)]
    assert not any(flapping) and not any(nonsense)
