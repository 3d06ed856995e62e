"""Which version is in force: never back, never half, never another content than was published."""

import random

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st
from settings_rig import Side, document, published

from plumpick.policy.dynamic_config.delta import changes_between, digest
from plumpick.policy.dynamic_config.subscriber import (
    ASK_MS,
    FIRST_ROUND_MS,
    GAP_MS,
    MOST_AHEAD_MS,
    MOST_REFUSED,
    MOST_ROUND_MS,
    NOW_MS,
    SPARE_MS,
    STAY,
    TOLD_MS,
    WAIT_MS,
    Content,
    Unusable,
    Versions,
    offer_from,
    worst_ms,
)

BAD = 3  # versions that this divides are no settings for a gatekeeper


def history(count, times):
    """Published versions: (document, settings)."""
    return [
        document(
            number, {**published(number), **({"bad": True} if number % BAD == 0 else {})}, times[number - 1]
        )
        for number in range(1, count + 1)
    ]


def delta(base, news):
    return {
        **{key: value for key, value in news.items() if key != "settings"},
        "base": base["version"],
        "base_digest": base["digest"],
        "changes": changes_between(base["settings"], news["settings"]),
    }


MOVES = st.lists(
    st.tuples(
        st.sampled_from(["whole", "delta", "old-base", "torn", "wait", "restart", "liar"]),
        st.integers(0, 7),
        st.integers(0, 7),
        st.integers(0, 4000),
    ),
    max_size=40,
)


@effort(max_examples=400, deadline=None)
@given(MOVES, st.lists(st.integers(0, 12_000), min_size=8, max_size=8))
def test_whatever_comes_in_whatever_order_it_never_goes_back_and_never_holds_what_was_not_published(
    moves, times
):
    """Offers in any order, doubled, late, of other bases, torn, under numbers of others; restarts."""
    known = history(8, times)
    now, lives = 0.0, [Side(0.0, bad=lambda value: "bad" if value.get("bad") else "")]
    for kind, place, other, passed in moves:
        now += passed
        side, news = lives[-1], known[place]
        if kind == "whole":
            side.offer(now, news)
        elif kind == "delta":
            side.offer(now, delta(known[other], news))
        elif kind == "old-base":  # its changes are of another base than it says
            side.offer(
                now,
                {
                    **delta(known[other], news),
                    "base": side.versions.newest.version or 1,
                    "base_digest": side.versions.newest.digest or known[0]["digest"],
                },
            )
        elif kind == "torn":
            side.offer(now, {**news, "settings": published(99)})
        elif kind == "liar":  # the number is in use
            side.offer(now, document(news["version"], published(50), now))
        elif kind == "restart":
            lives.append(Side(now, bad=side.bad))
        lives[-1].step(now)
    right = {row["version"]: row["digest"] for row in known} | {-1: digest(published(50))}
    for side in lives:
        numbers = [version for _, version, _ in side.put]
        assert numbers == sorted(set(numbers))
        for at, version, its in side.put:
            assert its in (right[version], right[-1])
            if its == right[version]:
                assert version % BAD and at >= times[version - 1]
        assert len(side.versions.refused) <= MOST_REFUSED


@effort(max_examples=200, deadline=None)
@given(st.permutations(range(8)), st.randoms(use_true_random=False))
def test_once_all_good_versions_came_the_newest_is_in_force_whatever_their_order(order, chance):
    known = history(8, [0.0] * 8)
    side = Side(bad=lambda value: "bad" if value.get("bad") else "")
    for place in order:
        for _ in range(chance.randrange(1, 3)):
            side.offer(1.0, known[place])
    assert side.versions.in_force.version == 8
    assert side.versions.in_force.digest == known[7]["digest"]


def test_a_version_comes_into_force_at_its_time_and_not_before():
    side = Side()
    side.offer(1000.0, document(1, published(1), 4000.0))
    side.step(3999.0)
    assert side.put == [] and side.versions.staged.version == 1
    assert "1 " in side.versions.line(1000.0) and "staged for in 3.0 s" in side.versions.line(1000.0)
    side.step(4000.0)
    assert [version for _, version, _ in side.put] == [1] and side.versions.staged is None


def test_a_newer_version_takes_the_place_of_a_staged_one_whatever_their_times():
    for at_ms in (2000.0, 9000.0):
        side = Side()
        side.offer(0.0, document(1, published(1), 5000.0))
        side.offer(0.0, document(2, published(2), at_ms))
        side.offer(0.0, document(1, published(1), 5000.0))
        side.step(20_000.0)
        assert [version for _, version, _ in side.put] == [2]


def test_a_bad_version_leaves_what_is_in_force_and_what_is_staged_and_is_told():
    side = Side(bad=lambda value: "settings.classes[0].name is missing" if value.get("bad") else "")
    side.offer(0.0, document(1, published(1)))
    side.offer(0.0, document(2, published(2), 5000.0))
    side.offer(0.0, document(3, {"bad": True}))
    assert side.versions.staged.version == 2 and side.versions.in_force.version == 1
    call = side.versions.next(0.0)
    assert (call.since, call.refused, call.why) == (2, 3, "settings.classes[0].name is missing")
    side.step(5000.0)
    assert side.versions.in_force.version == 2
    side.offer(6000.0, document(4, published(4)))
    assert side.versions.in_force.version == 4


def test_what_the_gatekeeper_refuses_at_its_time_is_refused_and_the_one_before_stays():
    versions = Side().versions
    first, second = Content(1, "a" * 64, 0.0, {}), Content(2, "b" * 64, 5.0, {})
    assert versions.take(0.0, first, "") == "" and versions.due(0.0) is first
    versions.put(first, "")
    versions.take(0.0, second, "")
    versions.put(versions.due(5.0), "the window is full")
    assert (versions.in_force, versions.staged) == (first, None)
    assert versions.refused[2].why == "the window is full"
    assert versions.take(9.0, second, "") != "" and versions.staged is None


def test_the_same_number_with_another_content_is_refused_and_told():
    side = Side()
    side.offer(0.0, document(1, published(1)))
    side.offer(0.0, document(1, published(2)))
    assert side.versions.in_force.digest == digest(published(1))
    assert side.versions.next(0.0).why and "another digest" in side.told[-1]


def test_a_version_of_far_ahead_is_refused():
    side = Side()
    side.offer(0.0, document(1, published(1), MOST_AHEAD_MS + 1))
    assert 1 in side.versions.refused and side.versions.staged is None


def test_after_changes_of_another_base_or_a_wrong_digest_the_whole_is_asked_for():
    for wrong in (
        delta(document(5, published(5)), document(6, published(6))),
        {**document(6, published(6)), "digest": "0" * 64},
    ):
        side = Side()
        side.offer(0.0, document(1, published(1)))
        assert side.versions.next(0.0).digest
        side.offer(0.0, wrong)
        call = side.versions.next(0.0)
        assert call.digest == "" and call.since == 1 and call.after_ms <= 2 * FIRST_ROUND_MS
        side.offer(0.0, document(6, published(6)))
        assert side.versions.next(0.0).digest == digest(published(6))


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        7,
        {},
        {"version": 1},
        {**document(1, {}), "version": 0},
        {**document(1, {}), "version": True},
        {**document(1, {}), "version": 2.0},
        {**document(1, {}), "version": 2**60},
        {**document(1, {}), "digest": "X" * 64},
        {**document(1, {}), "digest": 7},
        {**document(1, {}), "in_force_ms": float("nan")},
        {**document(1, {}), "in_force_ms": "now"},
        {**document(1, {}), "in_force_ms": True},
        {**document(1, {}), "settings": [1]},
        {**document(1, {}), "settings": None, "changes": {}},
    ],
)
def test_an_answer_that_is_no_offer_is_told_from_one(value):
    with pytest.raises(Unusable):
        offer_from(value)


def test_a_change_is_told_within_the_term_with_two_silent_addresses_in_turn():
    """Played, against the sum that the module states: the watch falls silent as it begins, a change right
    behind; the next address takes connections and says nothing; the third answers."""
    for number in range(0, 550, 7):
        versions = Versions(number, 550, 3, random.Random(number), 0.0)
        now = 500.0 + number
        call = versions.next(now)
        versions.quiet(now, call, NOW_MS)
        call = versions.next(now)
        assert call.wait_ms == WAIT_MS and call.after_ms == 0
        spent = call.within_ms
        versions.failed("silent")
        call = versions.next(now + spent)
        spent += call.after_ms + call.within_ms
        versions.failed("silent")
        call = versions.next(now + spent)
        spent += call.after_ms
        assert call.wait_ms == NOW_MS
        assert spent <= worst_ms(2) + 1e-6 and worst_ms(2) + ASK_MS <= TOLD_MS
    assert worst_ms(1) <= 3000.0 and worst_ms(0) == 0.0  # one: before the 3 s after which a version is due


def test_a_tier_whose_service_died_calls_in_slots_that_grow_apart():
    plans = [Versions(number, 550, 1, random.Random(number), 0.0) for number in range(550)]
    for fails in range(1, 8):
        for plan in plans:
            plan.failed("down")
        round_ms = min(MOST_ROUND_MS, FIRST_ROUND_MS * 2 ** (fails - 1))
        at = sorted(plan.next(12_345.6).after_ms for plan in plans)
        tenths = [
            sum(place <= value < place + round_ms / 10 for value in at)
            for place in (round_ms * tenth / 10 for tenth in range(10))
        ]
        assert max(at) <= round_ms * (1 + 2 / 550) and max(tenths) <= 60


def test_every_address_is_asked_in_turn_after_failures_and_after_a_long_stay():
    versions = Versions(1, 3, 3, random.Random(1), 0.0)
    asked = []
    for _ in range(6):
        asked.append(versions.next(0.0).address)
        versions.failed("down")
    assert asked == [1, 2, 0, 1, 2, 0]
    for _ in range(STAY):
        asked.append(versions.next(0.0).address)
        call = versions.next(0.0)
        assert versions.quiet(0.0, call, call.wait_ms) == ""
    assert versions.next(0.0).address != asked[-1]


def test_a_service_that_always_answers_at_once_is_not_asked_in_a_tight_loop():
    versions = Versions(0, 3, 2, random.Random(1), 0.0)
    now, calls = 0.0, 0
    while now < 20_000.0:
        call = versions.next(now)
        now += call.after_ms + 0.1
        calls += 1
        versions.quiet(now, call, 0.1)
    assert calls < 20_000 / FIRST_ROUND_MS * 4
    side, now, calls = Side(), 0.0, 0
    while now < 2000.0:  # and one that has a new version each time
        now += side.versions.next(now).after_ms + 0.1
        calls += 1
        side.offer(now, document(calls, published(calls)))
    assert calls <= 2000 / GAP_MS + 2


def test_a_silent_service_is_told_with_the_time():
    versions = Versions(0, 3, 1, random.Random(1), 1000.0)
    assert "version 0 (own file) in force" in versions.line(1000.0)
    versions.failed("down")
    assert "heard 59.0 s ago" in versions.line(60_000.0)
    assert SPARE_MS < WAIT_MS


def test_what_the_process_before_had_is_put_in_force_whatever_is_staged_unless_as_new_is_here():
    versions = Side().versions
    staged = Content(9, "9" * 64, 5000.0, {})
    versions.take(0.0, staged, "")
    before = Content(8, "8" * 64, 0.0, {})
    assert versions.outdone(before)
    versions.put(before, "")
    assert (versions.in_force, versions.staged) == (before, staged)
    assert not versions.outdone(Content(7, "7" * 64, 0.0, {}))
    newer = Content(10, "a" * 64, 0.0, {})
    versions.put(newer, "")
    assert versions.staged is None
