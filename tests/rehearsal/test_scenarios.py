"""Tests of scenarios: shipped ones are valid, and errors name the key."""

import pathlib

import msgspec
import pytest

from plumpick.rehearsal import scenario as module
from plumpick.rehearsal.scenario import ReleaseServers, Scenario, ScenarioError, check, load, shipped

CLASS = '[[classes]]\nname = "a"\nshare = 1\nwork_ms = 5\ndeadline_ms = 8\nworth = 1\n'
ROOT = pathlib.Path(__file__).parents[2]
NAMES = [
    "brief",
    "calm",
    "deadline-week",
    "gatekeeper-killed",
    "hot-firm",
    "restarts",
    "rolling-deploy",
    "roster-silent",
    "silent-servers",
    "slow-after-record",
]


def write(tmp_path, text):
    path = tmp_path / "own.toml"
    path.write_text(text)
    return str(path)


def test_shipped_scenarios_are_valid_in_full_and_in_brief():
    assert sorted(set(shipped()) & set(NAMES)) == NAMES
    for name in shipped():
        whole = load(name)
        short = check(whole.brief())
        assert short.seconds <= 8 and len(short.events) == len(whole.events)
        assert [type(event) for event in short.events] == [type(event) for event in whole.events]
        assert whole.seconds <= 60


def test_brief_scenario_takes_at_most_eight_seconds():
    assert load("brief").seconds <= 8 and load("brief").brief() == load("brief")


def test_scenario_file_overrides_only_the_keys_it_contains(tmp_path):
    own = load(write(tmp_path, 'title = "x"\nseconds = 5\n[fleet]\nservers = 4\n'))
    assert own.fleet.servers == 4 and own.fleet.gatekeepers == 3 and own.seconds == 5


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("secnods = 5", "secnods"),
        ("seconds = 0", "seconds"),
        ('seconds = "x"', "seconds"),
        ("[fleet]\nservers = 0", "fleet.servers"),
        ("[fleet]\nhalls = []", "fleet.halls"),
        ("[clients]\nhonour = 1.5", "clients.honour"),
        ("[peers]\ndelay_ms = [3, 1]", "peer.delay_ms"),
        ("[peers]\ndelay_ms = [3]", "peers.delay_ms"),
        ('[[events]]\ndo = "nothing"\nat_s = 1', "nothing"),
        ('[[events]]\ndo = "kill-gatekeeper"\nat_s = 1', "gatekeeper"),
        ('[[events]]\ndo = "kill-gatekeeper"\nat_s = 1\ngatekeeper = 3', "events[0]"),
        ('[[events]]\ndo = "kill-gatekeeper"\nat_s = 99\ngatekeeper = 1', "events[0].at_s"),
        ('[[events]]\ndo = "hot-firm"\nat_s = 1\nfor_s = 1\nplan = "gold"', "events[0].plan"),
        (
            '[[events]]\ndo = "server-fault"\nat_s = 1\nfor_s = 1\nfault = "swallow"\nclasses = ["x"]',
            "classes",
        ),
        ('[[plans]]\nname = "a"\nshare = 0.5\nrate_per_s = [1, 2]\nburst_s = [1, 2]', "plans"),
        (
            CLASS + 'aim_ms = 9\nrepeats = "safe"',
            "aim_ms",
        ),
        (
            CLASS + 'aim_ms = 7\nrepeats = "keyed"',
            "window_s",
        ),
        ("= 1", "invalid TOML"),
        ("title = '\x00'", "invalid TOML"),
    ],
)
def test_invalid_scenario_raises_one_line_error_that_names_the_key(tmp_path, text, key):
    with pytest.raises(ScenarioError) as error:
        load(write(tmp_path, text))
    assert key in str(error.value) and "\n" not in str(error.value)


def test_unknown_scenario_error_lists_the_available_ones():
    with pytest.raises(ScenarioError, match="calm"):
        load("clam")
    with pytest.raises(ScenarioError, match="cannot be read"):
        load("./nowhere.toml")


def test_every_key_is_documented():
    page = (ROOT / "docs/operators/rehearsal.md").read_text()
    parts = [
        kind
        for kind in vars(module).values()
        if isinstance(kind, type) and issubclass(kind, module.Part) and kind is not module.Part
    ]
    keys = {field.name for part in parts for field in msgspec.structs.fields(part)}
    events = {kind.__struct_config__.tag for kind in parts if issubclass(kind, module.Event)} - {"Event"}
    missing = [name for name in sorted(keys | events) if f"`{name}`" not in page]
    assert not missing


def test_zones_are_assigned_in_turn():
    assert [Scenario().hall_of(number) for number in (0, 1, 2, 3)] == ["hall-a", "hall-b", "hall-c", "hall-a"]


def test_brief_release_replaces_a_smaller_share_of_the_workers():
    release = ReleaseServers(at_s=10, share=0.9, within_s=30)
    short = Scenario(seconds=50, events=[release]).brief().events[0]
    assert short.share == 0.25 and short.within_s < 6 and short.at_s == pytest.approx(1.6)
