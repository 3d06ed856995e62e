"""Measurement of slopes: the folded tier, which simulates some gateways of a large one, and the command."""

import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.slopes import __main__ as command
from benchmarks.slopes.fold import Fold, Load
from plumpick.capacity import slopes

ROOT = Path(__file__).parents[2]
RING = {"gateways": 20, "workers": 40, "tenants": 400, "rate": 40.0, "seconds": 6.0}


def test_folded_tier_sends_and_receives_as_many_messages_as_the_whole_tier():
    whole_tier = Fold(Load(**RING, module_count=20)).play()
    for module_count in (4, 5, 10):
        folded = Fold(Load(**RING, module_count=module_count)).play()
        for name in ("messages sent", "bytes sent", "received", "attempts"):
            assert folded[name] == pytest.approx(whole_tier[name], rel=0.05), (module_count, name)


def test_messages_sent_in_a_folded_tier_are_received_in_it():
    figures = Fold(Load(**RING, module_count=5)).play()
    assert figures["messages sent"] > 20 and figures["received"] == pytest.approx(
        figures["messages sent"], rel=0.02
    )


def test_dropping_all_peer_messages_changes_the_number_of_messages_sent():
    """Guards against a folded tier that agrees with the whole one only because messages are never
    delivered."""

    class FoldWithoutDelivery(Fold):
        def schedule(self, at_ms, index, event):
            if type(event).__name__ != "PeerMessageReceived":
                super().schedule(at_ms, index, event)

    undelivered = FoldWithoutDelivery(Load(**RING, module_count=5)).play()
    delivered = Fold(Load(**RING, module_count=5)).play()
    assert abs(undelivered["messages sent"] / delivered["messages sent"] - 1) > 0.1


@pytest.mark.parametrize(("module_count", "spread"), [(3, 3), (4, 5), (7, 3)])
def test_invalid_number_of_simulated_gateways_is_rejected(module_count, spread):
    with pytest.raises(ValueError, match="module_count"):
        Fold(Load(gateways=20, module_count=module_count, spread=spread))


def test_slopes_file_contains_exactly_the_slopes_of_the_command():
    tasks = {task.name: task for task in command.TASKS}
    assert len(tasks) == len(command.TASKS)
    for slope in slopes.load_slopes():
        task = tasks[slope.name]
        assert (slope.what, slope.x, slope.unit) == (task.what, task.x, task.unit)
        assert tuple(x for x, _ in slope.points) == task.sizes and slope.form in task.forms
        assert slope.decisions in ((slopes.PLAIN, slopes.COMPILED) if task.cpu else (slopes.EITHER,))
    assert {slope.name for slope in slopes.load_slopes()} == set(tasks)


def run_slopes_command(*words):
    return subprocess.run(
        [sys.executable, "-m", "benchmarks.slopes", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_measured_slope_replaces_the_old_one_in_the_file(tmp_path):
    path = tmp_path / "slopes.json"
    for _ in range(2):
        done = run_slopes_command("--only", "list_bytes", "settings_bytes", "--out", str(path))
        assert done.returncode == 0, done.stderr
    assert [slope.name for slope in slopes.load_slopes(path)] == ["list_bytes", "settings_bytes"]


def test_slope_of_cpu_time_is_measured_in_several_rounds(tmp_path):
    path = tmp_path / "slopes.json"
    assert run_slopes_command("--only", "settings_parse_by_plans", "--out", str(path)).returncode == 0
    (slope,) = slopes.load_slopes(path)
    assert slope.scatter > 1 and all(y > 0 for _, y in slope.points)


@pytest.mark.parametrize("words", [("--only", "nothing"), ("--compiled", "/nowhere"), ("--round", "nothing")])
def test_invalid_arguments_exit_with_2_and_one_line(words, tmp_path):
    done = run_slopes_command(*words, "--out", str(tmp_path / "slopes.json"))
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and not list(tmp_path.iterdir())


def test_reference_loop_takes_measurable_time():
    assert command.reference_ms() > 0
