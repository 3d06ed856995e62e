"""The service's decisions: what it keeps, what it answers, what it tells of who has what."""

import json

from settings_rig import document, published

from plumpick.policy.dynamic_config.delta import digest
from plumpick.policy.dynamic_config.subscriber import TOLD_MS, Content, offer_from, read
from plumpick.policy.dynamic_config.version_store import KEPT, WATCHERS, Shelf, Watcher, summary


def told(name, number, version, its, heard_ms=0.0, refused=0, why="", staged=0):
    return Watcher(name, number, version, its, staged, refused, why, heard_ms)


def test_a_number_has_one_content_and_one_time_and_none_is_older_than_the_newest():
    shelf = Shelf()
    assert shelf.publish(0.0, document(5, published(5))) == ""
    assert shelf.publish(0.0, document(5, published(5))) == ""
    assert "another content" in shelf.publish(0.0, document(5, published(6)))
    assert "another content or time" in shelf.publish(0.0, document(5, published(5), 9.0))
    assert "older" in shelf.publish(0.0, document(4, published(4)))
    assert "digest" in shelf.publish(0.0, {**document(6, published(6)), "digest": "0" * 64})
    assert "whole" in shelf.publish(
        0.0,
        {
            "version": 6,
            "digest": "0" * 64,
            "in_force_ms": 0,
            "base": 5,
            "base_digest": "0" * 64,
            "changes": {},
        },
    )
    assert list(shelf.kept) == [5]


def test_a_watcher_with_a_base_that_is_kept_gets_changes_others_the_whole_and_no_news_is_none():
    shelf = Shelf()
    assert shelf.answer(0, "", 0) is None
    for number in range(1, KEPT + 3):
        shelf.publish(0.0, document(number, published(number, 50)))
    assert len(shelf.kept) == KEPT
    newest = KEPT + 2
    base = Content(3, digest(published(3, 50)), 0.0, published(3, 50))
    answer = json.loads(shelf.answer(3, base.digest, 0))
    assert "changes" in answer and read(offer_from(answer), base).settings == published(newest, 50)
    for since, its in ((2, digest(published(2, 50))), (3, "0" * 64), (0, ""), (3, "")):
        assert "settings" in json.loads(shelf.answer(since, its, 0))
    assert shelf.answer(newest, "", 0) is None and shelf.answer(newest + 4, "", 0) is None
    assert shelf.answer(3, base.digest, newest) is None  # it was refused: not offered again


def test_where_nearly_all_changed_the_whole_is_sent():
    shelf = Shelf()
    shelf.publish(0.0, document(1, {"limits": {"a": 1}}))
    shelf.publish(0.0, document(2, {"limits": {"a": 2}}))
    assert "settings" in json.loads(shelf.answer(1, digest({"limits": {"a": 1}}), 0))


def test_watchers_are_bounded_and_the_longest_unheard_leaves():
    shelf = Shelf()
    for number in range(WATCHERS + 1):
        shelf.heard(told(f"n{number}", number, 0, ""))
        shelf.heard(told("n0", 0, 0, ""))
    assert len(shelf.watchers) == WATCHERS and "n0" in shelf.watchers and "n1" not in shelf.watchers


def test_status_names_who_lacks_it_who_refused_it_who_is_lost_and_who_was_never_heard():
    first, second = Shelf(), Shelf()
    value = {**published(7), "balancers": 7}
    its = digest(value)
    first.publish(1000.0, document(7, value, 4000.0))
    now = 1000.0 + TOLD_MS + 500
    first.heard(told("n0", 0, 7, its, now))
    first.heard(told("n1", 1, 6, "6" * 64, now, staged=7))
    first.heard(told("n2", 2, 6, "6" * 64, now, refused=7, why="settings.limits: an object is due"))
    second.heard(told("n3", 3, 7, its, now - 7000))
    second.heard(told("n4", 4, 8, "8" * 64, now))
    second.heard(told("n1", 1, 5, "5" * 64, now - 3000))  # what was told elsewhere later counts
    second.heard(told("n5", 5, 7, "7" * 64, now))
    lines, well = summary([first.status(now), second.status(now)])
    text = "\n".join(lines)
    assert not well and "version 7" in lines[0]
    for word in (
        "service 2 lacks it",
        "n1 lacks it: has version 6, 7 staged",
        "n2 lacks it",
        "n2 refused version 7: settings.limits",
        "n3 has not been heard for 7.0 s",
        "n4 has version 8, which no service knows",
        "n5 has version 7 with another content",
        "1 never heard, by number: 6",
        "2 of 7 have it",
    ):
        assert word in text, word


def test_status_is_well_where_all_have_it_and_says_nothing_before_the_term():
    shelf = Shelf()
    value = {**published(7), "balancers": 2}
    shelf.publish(1000.0, document(7, value, 4000.0))
    shelf.heard(told("n0", 0, 6, "6" * 64, 1500.0, staged=7))
    assert summary([shelf.status(1500.0)])[1]
    shelf.heard(told("n0", 0, 7, digest(value), 9000.0))
    shelf.heard(told("n1", 1, 7, digest(value), 9000.0))
    lines, well = summary([shelf.status(9000.0)])
    assert well and lines[-1] == "2 of 2 have it"
    assert not summary([Shelf().status(0.0)])[1]


def test_two_contents_under_one_number_at_two_services_are_named():
    one, other = Shelf(), Shelf()
    one.publish(0.0, document(3, published(1)))
    other.publish(0.0, document(3, published(2)))
    lines, well = summary([one.status(1.0), other.status(1.0)])
    assert not well and any("two contents" in line for line in lines)
