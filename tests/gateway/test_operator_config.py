"""Budgets in the operator's file: checks of their keys, the default of share_s, and the digest of their
terms."""

import tomllib

import pytest

from plumpick.gateway.config import ConfigError
from plumpick.gateway.operator_config import parse_operator_config


def key_of(text):
    """The key whose value is left open in a TOML text."""
    return next(line for line in text.splitlines() if "{}" in line).partition(" ")[0]


# Guards against a number that is none, such as `burst = nan`, in force at a gateway.
@pytest.mark.parametrize("number", ["nan", "inf", "-inf"])
@pytest.mark.parametrize(
    "text",
    [
        "[fleet]\nvoters = [0]\nterm_s = {}",
        "[fleet]\nvoters = [0]\ndrift = {}",
        "[fleet]\nvoters = [0]\nlongest_term_s = {}",
        "[fleet]\nvoters = [0]\nshare_s = {}",
        "[fleet]\nvoters = [0]\n[[fleet.budget]]\nname = 'x'\nwhole = {}\nburst = 5",
        "[fleet]\nvoters = [0]\n[[fleet.budget]]\nname = 'x'\nwhole = 5\nburst = {}",
        "[fleet]\nvoters = [0]\n[[fleet.budget]]\nname = 'x'\nwhole = 5\nburst = 5\nfloor = {}",
        "[fleet]\nvoters = [0]\n[[fleet.duty]]\nname = 'x'\nkind = 'call'\nreceiver = 'http://h:9/x'\n"
        "fenced = true\nperiod_s = {}",
        "[fleet]\nvoters = [0]\n[[fleet.duty]]\nname = 'x'\nkind = 'call'\nreceiver = 'http://h:9/x'\n"
        "fenced = true\nperiod_s = 60\nlimit_s = {}",
        "[configuration]\naddresses = ['h:9']\nsilent_s = {}",
    ],
    ids=lambda text: key_of(text),
)
def test_number_that_is_not_finite_is_rejected_with_its_key(text, number):
    key = key_of(text)
    with pytest.raises(ConfigError, match=key):
        parse_operator_config(tomllib.loads(text.format(number)), 3)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("whole = 5", "budget[0].burst: is missing"),
        ("whole = -5\nburst = 5", "x: whole"),
        ("whole = 5\nburst = 0.5", "budget[0].burst: expected at least 1, got 0.5"),
        ("whole = 5\nburst = 5\nfloor = 2", "x: floor"),
        ("whole = 5\nburst = 5\ncounts = 'bytes'", "budget[0].counts"),
        ("whole = 5\nburst = 5\nclasses = [1]", "budget[0].classes"),
        ("whole = 5\nburst = 5\nfirm = ['a']", "budget[0].firm: no such key"),
        ("whole = 5\nburst = 5\n[[fleet.budget]]\nname = 'x'\nwhole = 1\nburst = 1", "budget[1].name"),
    ],
)
def test_invalid_budget_is_rejected_with_the_name_of_the_key(text, key):
    document = f"[fleet]\nvoters = [0]\n[[fleet.budget]]\nname = 'x'\n{text}\n"
    with pytest.raises(ConfigError) as problem:
        parse_operator_config(tomllib.loads(document), 3)
    assert key in str(problem.value)


BUDGET = "[[fleet.budget]]\nname = 'x'\nwhole = 5\nburst = 5\n"


@pytest.mark.parametrize("gateways", [3, 480, 481, 550, 900])
def test_default_share_s_is_valid_for_any_number_of_gateways(gateways):
    """From 481 gateways on, the default of an eighth of a second for each gateway is cut to 60 s, the maximum
    of share_s."""
    for text in ("", BUDGET):
        fleet = parse_operator_config(tomllib.loads("[fleet]\nvoters = [0]\n" + text), gateways).fleet
        assert fleet.grant_term_ms == min(60.0, max(2.0, gateways / 8)) * 1000
        assert fleet.grant_term_ms >= 2000 * gateways / 30


def test_share_s_too_short_for_the_number_of_gateways_is_rejected_if_there_are_budgets():
    fleet_table = "[fleet]\nvoters = [0]\nshare_s = 36\n"
    assert parse_operator_config(tomllib.loads(fleet_table), 550).fleet.grant_term_ms == 36_000
    with pytest.raises(ConfigError, match="fleet.share_s: 36 s is too short for 550 gatekeepers"):
        parse_operator_config(tomllib.loads(fleet_table + BUDGET), 550)
    with pytest.raises(ConfigError, match="fleet.share_s: 60 s is too short for 901 gatekeepers"):
        # From 901 gateways on, not even the maximum of share_s suffices.
        parse_operator_config(tomllib.loads(fleet_table.replace("36", "60") + BUDGET), 901)
    with pytest.raises(
        ConfigError, match="fleet.share_s: expected a number of seconds from 0.2 to 60, got 61"
    ):
        parse_operator_config(tomllib.loads(fleet_table.replace("36", "61")), 550)


def test_digest_depends_on_names_and_floors_of_budgets_only():
    def digest(text):
        return parse_operator_config(tomllib.loads("[fleet]\nvoters = [0]\n" + text), 3).fleet.terms.digest

    budget = "[[fleet.budget]]\nname = 'x'\nwhole = 5\nburst = 5\n"
    assert len({digest(""), digest(budget), digest(budget + "floor = 0.2\n")}) == 3
    # Gateways may differ in `whole`: the lowest value is used.
    assert digest(budget) == digest(budget.replace("whole = 5", "whole = 6"))
