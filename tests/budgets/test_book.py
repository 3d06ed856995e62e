"""A gatekeeper's part in all budgets: words, who divides, what an upgrade passes on; settings; matching."""

import json
import random
import tomllib
from dataclasses import replace

import pytest
from fakes import config
from hypothesis import given
from hypothesis import strategies as st

from plumpick.cli import main
from plumpick.gateway.config import ConfigError
from plumpick.gateway.operator_config import operator_from
from plumpick.policy.budgets import codec
from plumpick.policy.budgets.bounds import bounds_of
from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.holder import Grant
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.budgets.matching import BudgetMatcher, BudgetRule
from plumpick.policy.leases.codec import MAX_NOTE
from plumpick.policy.leases.terms import Terms
from plumpick.tools.budgets import lines

TERMS = Terms((0, 1, 2), slots=4, term_ms=1200.0, drift=0.01)
SHARE_MS = 1000.0
ONE = Budget("one", BudgetKind.RATE, 60.0, burst=30.0, floor=0.3)


class Tier:
    """Books that hear one another at once; the leases are told by the test."""

    def __init__(self, budgets=(ONE,), count=3):
        self.now, self.budgets, self.count, self.owner, self.token = 0.0, tuple(budgets), count, None, 0
        self.deaf, self.held_up = set(), []
        self.books = [self.book(number) for number in range(count)]
        self.lives = [100 + number for number in range(count)]

    def book(self, number, open_floors=True):
        book = BudgetLedger(
            self.budgets, number, self.count, TERMS, SHARE_MS, random.Random(number), self.now
        )
        if open_floors:
            book.open_floors(self.now)
        return book

    def own(self, number):
        for book in self.books:
            for slot in range(TERMS.slots):
                book.lost(slot)
        self.owner, self.token = number, self.token + 1
        if number is not None:
            for slot in range(TERMS.slots):
                self.books[number].gained(self.now, slot, self.token)

    def deliver(self, sender, receiver, note):
        if {sender, receiver} & self.deaf and sender != receiver:
            return
        voter = receiver in TERMS.voters
        self.books[receiver].heard(
            self.now,
            sender,
            self.lives[sender],
            note,
            self.lives[receiver],
            lambda _slot: self.owner if voter else None,
        )

    def step(self, ms, want=(), units=1.0):
        """So long, with so many wanted a second at each; what each got."""
        got = [0] * self.count
        end = self.now + ms
        while self.now < end:
            self.now += 10.0
            for number, rate in enumerate(want):
                for _ in range(int(rate * self.now / 1000) - int(rate * (self.now - 10) / 1000)):
                    got[number] += self.books[number].spend(
                        self.now, [(one.name, units) for one in self.budgets]
                    )
            for book in self.books:
                book.due(self.now)
            while any(book.to_send for book in self.books):
                for number, book in enumerate(self.books):
                    notes, book.to_send = book.to_send, []
                    for receiver, note in notes:
                        assert len(note) <= MAX_NOTE
                        self.deliver(number, receiver, note)
        return got


def test_who_wants_finds_the_divider_by_way_of_the_voters_and_gets_what_others_leave():
    tier = Tier(count=5)
    tier.own(4)  # no voter itself
    tier.step(3000, [200, 0, 0, 0, 0])
    got = tier.step(5000, [200, 0, 0, 0, 0])
    assert got[0] >= 0.9 * (0.7 + 0.3 / 5) * 60 * 5
    tier.step(3000, [200, 200, 0, 0, 0])
    got = tier.step(5000, [200, 200, 0, 0, 0])
    assert got[0] == pytest.approx(got[1], rel=0.1) and sum(got) >= 0.9 * (0.7 + 0.6 / 5) * 60 * 5


def whole(budget, to, burst=None):
    return replace(budget, whole=to, burst=budget.burst if burst is None else burst)


def spent_of(tier, ms, budget=ONE):
    """The part of this whole that is used when all want it."""
    return sum(tier.step(ms, [200] * tier.count)) / budget.whole / ms * 1000


def test_a_whole_is_raised_and_lowered_in_service_and_settles_within_a_share():
    tier = Tier()
    tier.own(2)
    tier.step(3000, [200, 200, 200])
    for figures in (whole(ONE, 120.0, 60.0), whole(ONE, 30.0, 15.0), whole(ONE, 90.0)):
        for book in tier.books:
            book.change(tier.now, (figures,))
        tier.step(SHARE_MS * 1.5, [200, 200, 200])
        assert 0.9 < spent_of(tier, 5000, figures) < 1.0, figures
    for book in tier.books:
        book.change(tier.now, (whole(ONE, 0.0),))
    tier.step(SHARE_MS * 1.1, [200, 200, 200])
    assert sum(tier.step(3000, [200, 200, 200])) == 0


@pytest.mark.parametrize("at", [0, 1])  # the divider, another
def test_of_different_figures_the_lower_hold_and_it_is_said(at):
    tier = Tier()
    tier.own(0)
    tier.step(3000, [200, 200, 200])
    low = whole(ONE, 30.0)
    tier.books[at].change(tier.now, (low,))
    tier.step(SHARE_MS * 2, [200, 200, 200])
    assert 0.9 < spent_of(tier, 5000, low) < 1.0
    said = [line for book in tier.books for line in book.faults if "the lower hold" in line]
    assert 1 <= len(said) <= 4 and any("30" in line and "60" in line for line in said)
    tier.books[at].change(tier.now, (ONE,))
    tier.step(SHARE_MS * 3, [200, 200, 200])
    assert 0.9 < spent_of(tier, 5000) < 1.0  # nothing of it is left


def test_who_has_lower_figures_and_does_not_ask_any_more_lowers_nobody():
    tier = Tier()
    tier.own(0)
    tier.books[1].change(tier.now, (whole(ONE, 30.0),))
    tier.step(3000, [200, 200, 200])
    tier.step(SHARE_MS * 4, [200, 0, 200])
    got = tier.step(5000, [200, 0, 200])
    assert sum(got) > 0.9 * (60 * 0.9) * 5 and not tier.books[0].mine["one"].lower


def test_other_names_or_floors_take_no_effect_in_service():
    tier = Tier()
    for other in (replace(ONE, floor=0.5), replace(ONE, name="two")):
        with pytest.raises(ValueError, match="next start"):
            tier.books[0].change(0.0, (other,))
    assert tier.books[0].mine["one"].own == ONE


def test_where_all_want_more_than_there_is_nobody_asks_more_and_more():
    tier = Tier((ONE, Budget("thin", BudgetKind.RATE, 6.0, burst=2.0, floor=0.0)), 3)
    tier.own(0)
    asked = []
    for t in range(0, 20_000, 20):
        tier.now = float(t)
        for book in tier.books:
            before = book._asked_ms
            for name in ("one", "thin"):
                book.spend(tier.now, [(name, 1.0)])
                book.spend(tier.now, [(name, 1.0)])
            book.due(tier.now)
            asked += [t] * (book._asked_ms != before)
            for receiver, note in book.to_send:
                tier.deliver(book.number, receiver, note)
            book.to_send.clear()
    ordinary = 1000 / 250 * 1.1 * 3  # askings a second of three, each four times in a share's term
    assert sum(t > 2000 for t in asked) <= 18 * ordinary * 1.1


def test_with_no_divider_the_floor_serves_and_the_next_divider_is_found():
    tier = Tier()
    tier.own(0)
    tier.step(3000, [0, 200, 0])
    tier.own(None)
    tier.step(SHARE_MS, [0, 200, 0])
    assert tier.step(5000, [0, 200, 0])[1] == pytest.approx(0.1 * 60 * 5 / 1.01, abs=2)
    tier.own(2)
    tier.step(3 * SHARE_MS, [0, 200, 0])
    assert tier.step(5000, [0, 200, 0])[1] >= 0.9 * 0.8 * 60 * 5


def test_a_side_without_a_divider_lives_by_its_floor():
    tier = Tier()
    tier.own(0)
    tier.step(3000, [0, 200, 200])
    tier.deaf = {2}
    tier.step(SHARE_MS * 1.1, [0, 200, 200])
    got = tier.step(5000, [0, 200, 200])
    assert got[2] == pytest.approx(0.1 * 60 * 5 / 1.01, abs=2) and got[1] >= 0.9 * 0.8 * 60 * 5
    tier.deaf = set()
    tier.step(3000, [0, 200, 200])
    got = tier.step(5000, [0, 200, 200])
    assert got[1] == pytest.approx(got[2], rel=0.1)


def test_a_share_for_an_earlier_life_is_none_of_ours():
    tier = Tier()
    tier.own(0)
    tier.step(3000, [0, 200, 0])
    holder = tier.books[1].mine["one"].holder
    share = Grant(holder.serial + 1, tier.token, 50.0, 20.0, 20.0)
    tier.books[1].mine["one"].askings.ask(tier.now)
    before = holder.holding(tier.now)
    (note,) = codec.encode_grants(99, tier.token, [(0, share, ONE.mark)])
    tier.deliver(0, 1, note)
    assert holder.holding(tier.now) == before
    (note,) = codec.encode_grants(tier.lives[1], tier.token, [(0, share, ONE.mark)])
    tier.deliver(0, 1, note)
    assert holder.holding(tier.now) == 50.0


def test_what_is_lent_passes_to_the_next_process_and_nothing_stays():
    tier = Tier()
    tier.own(0)
    tier.step(3000, [0, 200, 0])
    old, new = tier.books[1], tier.book(1, open_floors=False)
    lent = old.mine["one"].holder.holding(tier.now)
    tier.now += 300  # there is something to spend by now
    assert old.mine["one"].holder.has(tier.now) > 5
    left = old.mine["one"].holder.lent.has(tier.now)
    state = old.estate(tier.now)
    assert old.mine["one"].holder.has(tier.now + 5000) == 0 and not old.spend(tier.now, [("one", 1.0)])
    old.open_floors(tier.now)
    assert old.mine["one"].holder.has(tier.now + 5000) == 0  # its floor is the next process's
    new.inherit(tier.now, state)
    assert new.mine["one"].holder.holding(tier.now) == lent > 0
    assert new.mine["one"].holder.has(tier.now) == pytest.approx(left)  # the floor is closed as yet
    new.open_floors(tier.now)
    assert new.mine["one"].holder.has(tier.now) > left
    tier.books[1] = new
    assert tier.step(5000, [0, 200, 0])[1] >= 0.85 * 0.8 * 60 * 5


@pytest.mark.parametrize(
    "spoil",
    [
        {"holder": [1, 5.0, 2.0, 9.0, 0.0, 0.0, 0.0]},
        {"holder": [1, 5.0, 9.0, 2.0, 1e9, 0.0, 0.0]},
        {"holder": [1]},
        {"token": "x"},
        {"holder": [1, float("nan"), 9.0, 2.0, 0.0, 0.0, 0.0]},
    ],
)
def test_a_state_that_cannot_be_is_not_taken(spoil):
    tier = Tier()
    state = tier.books[1].estate(0.0)
    state["holders"]["one"].update(spoil)
    new = tier.book(1)
    with pytest.raises((ValueError, TypeError)):
        new.inherit(0.0, state)
    assert new.mine["one"].holder.holding(0.0) == 0


def test_a_request_takes_of_all_its_budgets_or_of_none():
    tier = Tier((ONE, Budget("none", BudgetKind.RATE, 0.0, burst=1.0)))
    tier.step(1000)
    book = tier.books[0]
    level = book.mine["one"].holder.has(tier.now)
    assert level > 1 and not book.spend(tier.now, [("one", 1.0), ("none", 1.0)])
    assert book.mine["one"].holder.has(tier.now) == level
    assert book.spend(tier.now, [("one", 1.0)])


def test_what_is_turned_back_is_said_once_in_a_while():
    tier = Tier()
    tier.step(4000, [200, 0, 0])
    (line,) = tier.books[0].faults
    assert line.startswith("budget one: ") and "turned back" in line


def test_ten_thousand_budgets_in_few_words_and_only_those_in_demand():
    tier = Tier([Budget(f"firm-{n}", BudgetKind.RATE, 30.0, burst=30.0) for n in range(10_000)])
    tier.own(0)
    book = tier.books[1]
    tier.now = 1.0
    for number in range(20):
        book.spend(tier.now, [(f"firm-{number}", 100.0)])
    book.due(tier.now)
    rows = sum(len(codec.decode(note)) for _, note in book.to_send)
    assert rows == 20 and len(book.to_send) <= 4 + 20 // codec.REPORTS_PER_MESSAGE + 1
    book.to_send.clear()
    book.due(1e9)
    assert not book.to_send and book.next_ms() == float("inf")  # nothing is wanted: nothing is said


def test_ten_thousand_shares_that_end_in_one_millisecond_leave_nothing_and_wake_nobody_for_each():
    budgets = [Budget(f"b{n:05}", BudgetKind.RATE, 10.0, burst=10.0, floor=0.0) for n in range(10_000)]
    book = BudgetLedger(tuple(budgets), 1, 3, TERMS, SHARE_MS, random.Random(1), 0.0)
    for mine in book.mine.values():
        serial = mine.askings.ask(100.0)
        assert mine.holder.lend(120.0, Grant(serial, 1 << 90, 10.0, 10.0, 10.0), 100.0)
    assert all(mine.holder.has(100.0 + SHARE_MS - 0.01) == 10.0 for mine in book.mine.values())
    assert book.next_ms() == float("inf")  # time is looked at where a unit is spent
    end = 100.0 + SHARE_MS
    assert not any(book.spend(end, [(one.name, 1.0)]) for one in budgets[::7])
    assert all(mine.holder.has(end) == 0 and mine.holder.holding(end) == 0 for mine in book.mine.values())
    book.due(end)
    assert sum(len(codec.decode(note)) for _, note in book.to_send) == len(budgets[::7])  # those in demand


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 900)), max_size=30))
def test_the_index_by_demand_asks_for_what_a_look_at_all_budgets_would(steps):
    budgets = tuple(Budget(f"b{n}", BudgetKind.RATE, 3.0, burst=3.0, floor=0.5) for n in range(10))
    book, now = BudgetLedger(budgets, 0, 3, TERMS, SHARE_MS, random.Random(1), 0.0), 0.0
    for number, wait in steps:
        now += wait
        book.spend(now, [(f"b{number}", 2.0)])
        if now < book.next_ms():
            continue
        plain = {mine.place for mine in book.mine.values() if now - mine.wanted_ms <= 2 * SHARE_MS}
        book.due(now)
        notes, book.to_send = book.to_send, []
        assert {row.budget for _, note in notes for row in codec.decode(note)} == plain


@given(st.binary(max_size=MAX_NOTE))
def test_no_bytes_make_the_book_fall(data):
    tier = Tier()
    tier.own(0)
    tier.step(1200)
    for first in (
        b"",
        *(
            bytes([kind])
            for kind in (codec.DEMAND_REPORT, codec.GRANT, codec.ALLOCATOR_HINT, codec.LIMITS_QUERY)
        ),
    ):
        tier.deliver(1, 0, (first + data)[:MAX_NOTE])
        tier.deliver(1, 2, (first + data)[:MAX_NOTE])


def test_words_come_as_they_went_to_the_last_bit():
    rows = [codec.DemandReport(n, n + 1, 0.5 * n, 0.1 * n, n, 1.0, 7 * n) for n in range(25)]
    notes = codec.encode_demand_reports(rows)
    assert [one for note in notes for one in codec.decode(note)] == rows
    shares = [(n, Grant(n, 1 << 90 | 7, 0.1 * n, 1 / 3, 2 / 3), 9 * n) for n in range(20)]
    said = [codec.decode(note) for note in codec.encode_grants(9, 1 << 90 | 7, shares)]
    assert [row for one in said for row in one.rows] == shares and {one.life for one in said} == {9}
    assert all(len(note) <= MAX_NOTE for note in notes + codec.encode_grants(9, 1, shares))
    assert codec.decode(codec.encode_allocator_hint(3, 4)) == codec.AllocatorHint(3, 4)
    for asks in (False, True):
        said = codec.LimitsMessage(7, 0.1, 1 / 3, asks)
        assert codec.decode(codec.encode_limits(said)) == said
    assert codec.decode(codec.encode_limits(codec.LimitsMessage(7, float("nan"), 1.0, True))) is None


NAMES = st.sampled_from(["a", "b", "c"])
SETS = st.frozensets(NAMES, max_size=2)


@given(
    st.lists(st.builds(BudgetRule, NAMES, st.booleans(), SETS, SETS, SETS), max_size=8), NAMES, NAMES, NAMES
)
def test_the_tables_match_as_a_look_at_every_budget_does(rules, class_name, plan, firm):
    plain = [
        (rule.name, 3.0 if rule.by_units else 1.0)
        for rule in rules
        if all(
            not some or what in some
            for some, what in ((rule.classes, class_name), (rule.plans, plan), (rule.firms, firm))
        )
    ]
    matching = BudgetMatcher(rules)
    for _ in range(2):
        assert sorted(matching.of(class_name, plan, firm, 3.0)) == sorted(plain)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("whole = 5", "budget[0].burst: is missing"),
        ("whole = -5\nburst = 5", "x: whole"),
        ("whole = 5\nburst = 0.5", "budget[0].burst: 0.5 is under 1"),
        ("whole = 5\nburst = 5\nfloor = 2", "x: floor"),
        ("whole = 5\nburst = 5\ncounts = 'bytes'", "budget[0].counts"),
        ("whole = 5\nburst = 5\nclasses = [1]", "budget[0].classes"),
        ("whole = 5\nburst = 5\nfirm = ['a']", "budget[0].firm: no such key"),
        ("whole = 5\nburst = 5\n[[fleet.budget]]\nname = 'x'\nwhole = 1\nburst = 1", "budget[1].name"),
    ],
)
def test_settings_that_cannot_be_used_are_named_by_key(text, key):
    whole = f"[fleet]\nvoters = [0]\n[[fleet.budget]]\nname = 'x'\n{text}\n"
    with pytest.raises(ConfigError) as problem:
        operator_from(tomllib.loads(whole), 3)
    assert key in str(problem.value)


BUDGET = "[[fleet.budget]]\nname = 'x'\nwhole = 5\nburst = 5\n"


@pytest.mark.parametrize("gateways", [3, 480, 481, 550, 900])
def test_a_file_that_does_not_say_how_long_a_share_lasts_is_read_at_any_size(gateways):
    """Seen: from 481 on the default passed the key's own bound, and the file was refused."""
    for text in ("", BUDGET):
        got = operator_from(tomllib.loads("[fleet]\nvoters = [0]\n" + text), gateways).fleet
        assert got.share_ms == min(60.0, max(2.0, gateways / 8)) * 1000
        assert got.share_ms >= 2000 * gateways / 30


def test_a_share_too_short_for_the_tier_is_refused_where_there_are_budgets():
    own = "[fleet]\nvoters = [0]\nshare_s = 36\n"
    assert operator_from(tomllib.loads(own), 550).fleet.share_ms == 36_000
    with pytest.raises(ConfigError, match="fleet.share_s: 36 is too short for 550 gatekeepers"):
        operator_from(tomllib.loads(own + BUDGET), 550)
    with pytest.raises(ConfigError, match="fleet.share_s: 60 is too short for 901 gatekeepers"):
        operator_from(tomllib.loads(own.replace("36", "60") + BUDGET), 901)  # at any length that there may be
    with pytest.raises(ConfigError, match="fleet.share_s: 61 is not from 0.2 to 60"):
        operator_from(tomllib.loads(own.replace("36", "61")), 550)


def test_a_tier_with_other_budgets_is_another_one_and_a_tier_with_none_is_as_before():
    def digest(text):
        return operator_from(tomllib.loads("[fleet]\nvoters = [0]\n" + text), 3).fleet.terms.digest

    one = "[[fleet.budget]]\nname = 'x'\nwhole = 5\nburst = 5\n"
    assert len({digest(""), digest(one), digest(one + "floor = 0.2\n")}) == 3
    assert digest(one) == digest(one.replace("whole = 5", "whole = 6"))  # the lower holds


def test_the_table_for_staff():
    tier = Tier()
    tier.own(0)
    tier.step(3000, [0, 200, 0])
    rows = []
    for number, book in enumerate(tier.books):
        rows.append(
            {
                "gatekeeper": f"n{number}",
                "budgets": [
                    {
                        "name": row.name,
                        "whole": row.whole,
                        "floor": row.floor,
                        "lent": row.lent,
                        "until_ms": row.until_ms,
                        "left": row.level,
                        "demand": row.demand,
                        "unmet": row.unmet,
                        "divider": row.divider,
                        "token": f"{row.token:x}",
                        "out": row.out,
                    }
                    for row in book.rows(tier.now)
                ],
            }
        )
    text = "\n".join(lines(rows))
    assert "n0, token 1, here: 42 lent to all" in text and "whole 60, floors and shares 59.8" in text


def test_bounds_of_budgets_are_printed_beside_those_of_quotas(tmp_path, capsys):
    (tmp_path / "config.json").write_text(json.dumps(config()))
    (tmp_path / "operator.toml").write_text(
        "[fleet]\nvoters = [0]\nterm_s = 4\nshare_s = 2\n"
        "[[fleet.budget]]\nname = 'x'\nwhole = 60\nburst = 30\nfloor = 0.5\n"
    )
    arguments = ["bounds", str(tmp_path / "config.json"), "--operator", str(tmp_path / "operator.toml")]
    assert main([*arguments, "--json"]) == 0
    rows = {(row["state"], row["window_s"]): row for row in json.loads(capsys.readouterr().out)["budgets"]}
    assert all(row["most"] == 30 + 60 * row["window_s"] for row in rows.values())
    assert rows["no majority of voters", 10.0]["sure"] == pytest.approx(300 / 1.01)
    assert rows["cut off alone", 10.0]["sure"] == pytest.approx(100 / 1.01)
    assert rows["the divider dies", 10.0]["sure"] == pytest.approx((300 * 0.8 + 600 * 0.2) / 1.01)
    assert main(arguments) == 0 and "floors alone for 8 s at most" in capsys.readouterr().out
    (tmp_path / "operator.toml").write_text("[fleet]\nvoters = [9]\n")
    assert main(arguments) == 2 and "fleet.voters" in capsys.readouterr().err


def test_floors_alone_give_what_the_bounds_say_is_sure():
    tier = Tier()
    tier.step(1000, [200, 200, 200])
    sure = next(
        row.sure
        for row in bounds_of(ONE, 3, TERMS, SHARE_MS)
        if row.state == "no majority of voters" and row.window_s == 10.0
    )
    got = sum(tier.step(10_000, [200, 200, 200]))
    assert sure - 3 <= got <= sure + 3
