"""The receiver's fence, and the operator's own file."""

import os
import pathlib
import tomllib

import pytest

from plumpick.gateway.cluster.fence import Fence, FenceError
from plumpick.gateway.config import ConfigError
from plumpick.gateway.operator_config import load, operator_from

ROOT = pathlib.Path(__file__).parents[2]
DUTY = {"name": "use", "kind": "call", "period_s": 5, "receiver": "http://127.0.0.1:9/x", "fenced": True}


def test_a_fence_takes_no_smaller_token_of_a_duty_and_remembers_over_a_restart(tmp_path):
    fence = Fence(tmp_path / "fence")
    assert fence.admit("a", 5) and fence.admit("a", 5) and not fence.admit("a", 4) and fence.admit("b", 1)
    again = Fence(tmp_path / "fence")
    assert again.highest("a") == 5 and not again.admit("a", 4) and again.admit("a", 6)


@pytest.mark.parametrize("cut", [0, 5, 12, -1])
def test_a_torn_file_never_lowers_a_fence(tmp_path, cut):
    path = tmp_path / "fence"
    Fence(path).admit("a", 5)
    data = path.read_bytes()
    path.write_bytes(data[:cut])
    with pytest.raises(FenceError, match="torn"):
        Fence(path)


def test_a_file_that_was_being_written_when_the_machine_died_changes_nothing(tmp_path):
    path = tmp_path / "fence"
    Fence(path).admit("a", 5)
    (tmp_path / "fence.new").write_bytes(b"half")
    assert Fence(path).highest("a") == 5


def test_what_cannot_be_kept_is_not_admitted(tmp_path):
    folder = tmp_path / "gone"
    folder.mkdir()
    fence = Fence(folder / "fence")
    os.rmdir(folder)
    with pytest.raises(OSError):
        fence.admit("a", 5)
    assert fence.highest("a") == 0


def fleet(*duties, **keys):
    return {"fleet": {"voters": [0, 1, 2], "duty": list(duties), **keys}}


def test_settings_of_duties_are_read():
    got = operator_from(
        fleet(DUTY, {**DUTY, "name": "two", "fenced": False, "repeatable": True}, turns=1), 3
    ).fleet
    assert [one.task.name for one in got.scheduled_tasks] == ["use", "two"]
    assert got.scheduled_tasks[0].receiver.address == ("127.0.0.1", 9) and got.terms.turns == 1
    assert operator_from({}, 3).fleet is None


@pytest.mark.parametrize(
    ("value", "key"),
    [
        ({"flet": {}}, "operator.flet"),
        (fleet(DUTY, DUTY), r"duty\[1\].name: 'use' is named twice"),
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
def test_what_is_wrong_is_named_by_its_key(value, key):
    with pytest.raises(ConfigError, match=key):
        operator_from(value, 3)


def test_a_file_that_cannot_be_read_is_one_line(tmp_path):
    (tmp_path / "bad.toml").write_text("[fleet\n")
    for name in ("bad.toml", "none.toml"):
        with pytest.raises(ConfigError, match=name):
            load(str(tmp_path / name), 3)


def test_the_shipped_file_with_every_key_explained_is_read_and_has_all_keys():
    text = (ROOT / "deploy/operator.toml").read_text()
    got = operator_from(tomllib.loads(text), 3).fleet
    assert got is not None and len(got.scheduled_tasks) >= 2
