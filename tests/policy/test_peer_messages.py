"""Bytes between gateways: any legal settings, hostile bytes, tags that meet, and versions side by side."""

import functools
import zlib

import pytest
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from support.controllers import FLEET, actions_of, gateway, owner_of
from support.quota_rig import Rig
from support.traffic import settings

from plumpick.policy import peer_messages
from plumpick.policy.actions import SendPeerMessage, StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    PeerMessageReceived,
    RequestReceived,
)
from plumpick.policy.settings import MAX_CLASSES, MAX_PLANS, Idempotency, Plan, RequestClass

CORNERS = (1, 2, 3, 15, 16, 17, 255, 256, 257, 4095, 4096, 4097, 65_535, 65_536)
TWINS = "firm-8755d764", "firm-4170cb18"  # of one crc32
SERVER_TWINS = "hxcmqurip", "oxexryexh"  # likewise


@functools.cache
def all_classes():
    return tuple(RequestClass(f"k{n}", 600, 1500, 1, Idempotency.IDEMPOTENT) for n in range(MAX_CLASSES))


@functools.cache
def all_plans():
    return tuple(Plan(f"p{n}", 4, 12) for n in range(MAX_PLANS))


@functools.lru_cache(32)
def codec(classes, plans):
    return peer_messages.PeerMessageCodec(
        settings(classes=all_classes()[:classes], plans=all_plans()[:plans])
    )


def sizes(most):
    return st.sampled_from([n for n in CORNERS if n <= most]) | st.integers(1, most)


@st.composite
def news(draw):
    """A codec, and what one may tell by it."""
    classes, plans = draw(sizes(MAX_CLASSES)), draw(sizes(MAX_PLANS))
    index = st.integers(0, classes - 1) | st.just(classes - 1)
    sixteenths = st.integers(0, 0xFFFF).map(lambda n: n / 16)
    items = st.builds(
        peer_messages.QuotaMessage,
        st.sampled_from(peer_messages.QuotaMessageKind),
        st.integers(0, (1 << 48) - 1),
        st.integers(0, 0xFFFF),
        sixteenths,
        sixteenths,
        index,
        st.integers(0, plans - 1) | st.just(plans - 1),
        st.integers(0, 15),
    )
    seen = st.builds(peer_messages.OutlierReport, st.integers(0, (1 << 32) - 1), index, st.integers(0, 15))
    return (
        codec(classes, plans),
        draw(st.integers(0, 0xFFFF)),
        draw(st.integers(0, 0xFFFF)) / 64,
        draw(st.lists(items, max_size=30)),
        draw(st.lists(seen, max_size=6)),
    )


@budget(deadline=None, max_examples=300)
@given(news())
def test_what_is_told_by_any_legal_settings_is_what_is_heard(told):
    one, boot, room, items, seen = told
    data = one.encode(boot, room, items, seen)
    assert len(data) <= peer_messages.MAX_BYTES == 256
    assert one.decode(data) == (
        boot,
        room,
        tuple(items[: one.max_quota_messages]),
        tuple(seen[: peer_messages.MAX_OUTLIER_REPORTS]),
    )


@budget(deadline=None, max_examples=300)
@given(sizes(MAX_CLASSES), sizes(MAX_PLANS), st.binary(max_size=300), st.data())
def test_hostile_bytes_never_raise_and_never_give_an_index_out_of_range(classes, plans, data, draw):
    one = codec(classes, plans)
    if draw.draw(st.booleans()):  # past the head
        head = bytes([one.version]) + one.digest.to_bytes(4, "little")
        data = (head + bytes(4) + bytes([draw.draw(st.integers(0, 20))]) + data)[:256]
    heard = one.decode(data)
    assert heard is None or (
        all(item.class_index < classes and item.plan_index < plans for item in heard.quota_messages)
        and all(seen.class_index < classes for seen in heard.outlier_reports)
    )


@pytest.mark.parametrize(
    "classes, plans, item, seen",
    [
        (3, 1, 14, 5),
        (3, 85, 14, 5),
        (3, 86, 15, 5),
        (16, 16, 14, 5),
        (17, 1, 14, 6),
        (17, 16, 15, 6),
        (16, 17, 15, 5),
        (256, 256, 15, 6),
        (257, 256, 17, 6),
        (4096, 1, 15, 6),
        (4097, 1, 15, 8),
        (65_536, 4096, 17, 8),
    ],
)
def test_an_index_takes_no_more_bytes_than_the_settings_need(classes, plans, item, seen):
    one, word = (
        codec(classes, plans),
        peer_messages.QuotaMessage(peer_messages.QuotaMessageKind.GRANT_REQUEST, 7, 1, 1.0, 1.0, 0, 0),
    )
    empty = len(one.encode(1, 1.0, [], []))
    assert len(one.encode(1, 1.0, [word], [])) - empty == item
    assert len(one.encode(1, 1.0, [], [peer_messages.OutlierReport(7, 0, 15)])) - empty == seen
    assert one.max_quota_messages == (256 - empty - 4 * seen) // item >= 12


@pytest.mark.parametrize("class_index, plan_index", [(3, 0), (0, 2), (-1, 0), (0, -1)])
def test_an_index_of_no_class_or_plan_is_not_packed(class_index, plan_index):
    word = peer_messages.QuotaMessage(
        peer_messages.QuotaMessageKind.GRANT_REQUEST, 7, 1, 1.0, 1.0, class_index, plan_index
    )
    with pytest.raises(ValueError):
        codec(3, 2).encode(1, 1.0, [word], [])
    if not 0 <= class_index < 3:
        with pytest.raises(ValueError):
            codec(3, 2).encode(1, 1.0, [], [peer_messages.OutlierReport(7, class_index, 15)])


def test_odd_figures_are_clipped():
    one = codec(3, 2)
    odd = [
        peer_messages.QuotaMessage(peer_messages.QuotaMessageKind.GRANT_REQUEST, 7, 1, value, value, 0, 0)
        for value in (float("nan"), float("inf"), -1.0, 1e300, 4095.96875)
    ]
    heard = one.decode(one.encode(1, float("nan"), odd, []))
    assert [item.units for item in heard.quota_messages] == [0.0, 4095.9375, 0.0, 4095.9375, 4095.9375]


@pytest.mark.parametrize("change", [dict(plans=2), dict(classes=4), dict(order=True), dict(version=3)])
def test_a_gateway_of_another_version_or_other_names_is_not_heard(change):
    one = codec(3, 3)
    other = peer_messages.PeerMessageCodec(
        settings(
            classes=all_classes()[: change.get("classes", 3)][:: -1 if "order" in change else 1],
            plans=all_plans()[: change.get("plans", 3)],
        )
    )
    other.version = change.get("version", other.version)
    data = other.encode(
        1,
        1.0,
        [peer_messages.QuotaMessage(peer_messages.QuotaMessageKind.GRANT_REQUEST, 7, 1, 1.0, 1.0, 0, 0)],
        [],
    )
    assert other.decode(data) is not None and one.decode(data) is None


# -- more classes and plans than 16


def told_to(sender, receiver, actions):
    """What a gateway tells another, as that one's events."""
    return [
        PeerMessageReceived(sender.settings.gateway_number, tell.data)
        for tell in actions_of(SendPeerMessage, actions)
        if tell.receiver == receiver.settings.gateway_number
    ]


def pair(customer, **more):
    """The customer's home, and another gateway of its set."""
    number = owner_of(customer)
    both = [Controller(settings(number=n, **more), 1) for n in (number, (number + 1) % 3)]
    for one in both:
        one.handle(1000.0, [FLEET])
    return both


def let_in(home, peer, now, customer, name, plan, count=10):
    """How many of so many requests at once a gateway sends on within 30 ms, where the home is asked."""
    asks = [
        RequestReceived(int(now) + n, customer, name, plan, now + 1500.0, 1.0, 0, 3) for n in range(count)
    ]
    events, sent = asks, 0
    for step in range(6):
        actions = peer.handle(now + 5 * step, events)
        sent += len(actions_of(StartAttempt, actions))
        events = told_to(home, peer, home.handle(now + 5 * step + 2, told_to(peer, home, actions)))
    return sent


@pytest.mark.parametrize("place", [0, 1, 14, 15, 16])
def test_with_17_classes_a_home_judges_each_firm_by_its_own_class(place):
    """The one at this place is worth the most and gets all of the burst; others leave a part in store."""
    classes = tuple(
        RequestClass(f"k{n}", 600, 1500, float(n == place), Idempotency.IDEMPOTENT) for n in range(17)
    )
    for name in ("k0", "k15", "k16"):
        home, peer = pair("c", classes=classes, plans=(Plan("basic", 1.0, 10.0),))
        sent = let_in(home, peer, 1010.0, "c", name, "basic")
        assert sent >= 9 if name == f"k{place}" else sent <= 3, name


@pytest.mark.parametrize("place", [0, 1, 15, 16])
def test_with_17_plans_a_home_judges_each_firm_by_its_own_plan(place):
    kinds = (
        RequestClass("look", 600, 1500, 1, Idempotency.IDEMPOTENT),
        RequestClass("book", 600, 1500, 1, Idempotency.IDEMPOTENT),
    )
    plans = tuple(Plan(f"p{n}", 1.0, 8.0 if n == place else 2.0) for n in range(17))
    for number in (0, 15, 16):
        home, peer = pair("c", classes=kinds, plans=plans)
        sent = let_in(home, peer, 1010.0, "c", "book", f"p{number}")
        (store,) = home.state.quota.owner.ledgers.values()
        assert store.plan.name == f"p{number}" and (7 <= sent <= 9 if number == place else sent <= 3)


def seen_by(peers, home, server, name):
    """The peers saw this server fail, and tell the home in their next messages."""
    now = 1000.0
    for step in range(60):
        now += 20.0
        for peer in peers:
            if step == 1:
                peer.state.outliers.record(now, peer.state.endpoints.tracked[server], name, float("inf"), 1.0)
            home.handle(now, told_to(peer, home, peer.handle(now, [])))


def test_with_17_classes_what_peers_saw_of_a_class_is_booked_to_no_other():
    classes = tuple(RequestClass(f"k{n}", 600, 1500, 1, Idempotency.IDEMPOTENT) for n in range(17))
    home, *peers = (Controller(settings(number=n, classes=classes), 1) for n in range(3))
    for one in (home, *peers):
        one.handle(1000.0, [FLEET])
    seen_by(peers, home, "s1", "k16")
    assert set(home.state.endpoints.tracked["s1"].failed) == {"k16"}


# -- tags that meet


def test_two_firms_whose_names_have_one_checksum_share_no_quota():
    """Of 40,000 firms two had one with a chance of one in six."""
    first, second = TWINS
    assert zlib.crc32(first.encode()) == zlib.crc32(second.encode())
    assert owner_of(first) == owner_of(second)
    home, peer = pair(first, plans=(Plan("basic", 1e-6, 10.0),))
    assert let_in(home, peer, 1010.0, first, "book", "basic", 20) == 10
    assert let_in(home, peer, 1110.0, second, "book", "basic", 20) == 10
    assert len(home.state.quota.owner.ledgers) == 2


def fleet_of(*names):
    return EndpointsUpdated(
        tuple(Endpoint(name, "z0", 0, EndpointState.READY) for name in (*names, "s1", "s2", "s3"))
    )


def known_bad(first, second):
    """Which of the servers a home takes to fail once its peers saw the first do so."""
    home, *peers = (Controller(settings(number=n), 1) for n in range(3))
    for one in (home, *peers):
        one.handle(1000.0, [fleet_of(first, second)])
    seen_by(peers, home, first, "look")
    return {name for name, backend in home.state.endpoints.tracked.items() if backend.failed}


def test_two_servers_whose_names_share_16_bits_are_not_taken_for_each_other():
    """Of 5,900 servers 265 pairs did."""
    last, found = {}, None
    for n in range(5900):
        name = f"worker-{n * 2654435761 % 2**32:08x}"
        tag = zlib.crc32(name.encode()) & 0xFFFF
        found, last[tag] = found or tag in last and (last[tag], name), name
    first, second = found
    assert known_bad(first, second) == {first} and known_bad(second, first) == {second}


def test_of_two_servers_that_share_a_tag_no_peers_word_is_taken_until_one_has_gone():
    first, second = SERVER_TWINS
    assert peer_messages.endpoint_tag(first) == peer_messages.endpoint_tag(second)
    assert known_bad(first, second) == known_bad(second, first) == set()
    home = gateway()
    home.handle(1000.0, [fleet_of(first, second)])
    assert len(home.state.endpoints.by_tag) == 3
    home.handle(1001.0, [fleet_of(second)])
    assert (
        home.state.endpoints.by_tag[peer_messages.endpoint_tag(second)]
        is home.state.endpoints.tracked[second]
    )


# -- a roll


def roll(mixed, gateways, seconds=30.0, seed=1):
    """Ten firms that ask for their quota and more, each at four gateways; of these, while the roll lasts,
    every other one speaks another version. Units beyond quota in the worst window, and the share served."""
    beyond, served, due = 0.0, 0, 0.0
    for firm in range(10):
        rig = Rig(gateways=gateways, seed=seed + firm)
        for number in range(gateways):
            if mixed and number % 2:
                rig.modules[number].codec.version += 1
        rig.crowd(list(range(4)), 1.5 * rig.plan.rate_per_s, 1000, 1000 * seconds, f"firm{firm}")
        rig.run(1000 * seconds + 2000)
        beyond, served = max(beyond, rig.beyond()), served + rig.count(0, 1000 * seconds)
        due += rig.plan.rate_per_s * (seconds - 1) + rig.plan.burst
    return beyond, served / due


@pytest.mark.parametrize("gateways, beyond, served", [(8, 3, 0.85), (40, 32, 0.9)])
def test_versions_side_by_side_keep_quotas_but_for_what_goes_on_credit(gateways, beyond, served):
    """What the roll costs: a firm's gateways that speak another version than its home send on credit. A home
    keeps their even parts for them where all send life signs to all; in a wide tier it does not."""
    whole, half = roll(False, gateways), roll(True, gateways)
    print(
        f"{gateways} gateways, one version: {whole[0]:.1f} units beyond, {whole[1]:.3f} of the quota "
        f"served; half and half: {half[0]:.1f}, {half[1]:.3f}"
    )
    assert whole[0] <= 2 and whole[1] >= 0.95
    assert half[0] <= beyond and half[1] >= served
