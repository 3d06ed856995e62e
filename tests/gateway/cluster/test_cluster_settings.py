"""Parsing of the operator's settings of leases and scheduled tasks."""

import pathlib
import tomllib

import pytest

from plumpick.gateway.config import ConfigError
from plumpick.gateway.operator_config import load_operator_config, parse_operator_config

ROOT = pathlib.Path(__file__).parents[3]


DUTY = {"name": "use", "kind": "call", "period_s": 5, "receiver": "http://127.0.0.1:9/x", "fenced": True}


def fleet(*duties, **keys):
    return {"fleet": {"voters": [0, 1, 2], "duty": list(duties), **keys}}


def test_scheduled_tasks_are_read_from_the_operators_settings():
    got = parse_operator_config(
        fleet(DUTY, {**DUTY, "name": "two", "fenced": False, "repeatable": True}, turns=1), 3
    ).fleet
    assert [one.task.name for one in got.scheduled_tasks] == ["use", "two"]
    assert got.scheduled_tasks[0].receiver.address == ("127.0.0.1", 9) and got.terms.restart_permits == 1
    assert parse_operator_config({}, 3).fleet is None


@pytest.mark.parametrize(
    ("value", "key"),
    [
        ({"flet": {}}, "operator.flet"),
        (fleet(DUTY, DUTY), r"duty\[1\].name: 'use' occurs more than once"),
        (fleet({**DUTY, "fenced": False}), r"duty\[0\].fenced"),
        (fleet({**DUTY, "kind": "cron"}), r"duty\[0\].kind"),
        (fleet({**DUTY, "period_s": 0}), r"duty\[0\].period_s"),
        (fleet({**DUTY, "period_s": "5"}), r"duty\[0\].period_s"),
        (fleet({**DUTY, "name": "a b"}), r"duty\[0\].name"),
        (fleet({**DUTY, "receiver": "https://h:1/"}), r"duty\[0\].receiver"),
        (fleet({**DUTY, "receiver": "http://h/"}), r"duty\[0\].receiver"),
        (fleet({**DUTY, "colour": 1}), r"duty\[0\].colour: no such key"),
        (fleet({**DUTY, "catch_up": 9}), r"duty\[0\].catch_up"),
        (fleet(voters=[0, 3]), "fleet.voters"),
        (fleet(voters=[]), "fleet.voters"),
        (fleet(slots=40), "fleet.slots"),
        (fleet(term_s=0.1), "fleet.term_s"),
        (fleet(drift=0.5), "fleet.drift"),
    ],
)
def test_error_of_an_invalid_setting_names_its_key(value, key):
    with pytest.raises(ConfigError, match=key):
        parse_operator_config(value, 3)


def test_error_of_an_unreadable_file_names_the_file(tmp_path):
    (tmp_path / "bad.toml").write_text("[fleet\n")
    for name in ("bad.toml", "none.toml"):
        with pytest.raises(ConfigError, match=name):
            load_operator_config(str(tmp_path / name), 3)


def test_shipped_operators_file_is_valid():
    text = (ROOT / "deploy/operator.toml").read_text()
    got = parse_operator_config(tomllib.loads(text), 3).fleet
    assert got is not None and len(got.scheduled_tasks) >= 2
