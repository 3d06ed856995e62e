"""Measurement of slopes: the folded tier and the command."""

import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.slopes import __main__ as command
from benchmarks.slopes.fold import Fold, Load
from plumpick.capacity import slopes

ROOT = Path(__file__).parents[2]
RING = {"gateways": 20, "workers": 40, "tenants": 400, "rate": 40.0, "seconds": 6.0}


def test_folded_tier_has_same_message_rates_as_whole_tier():
    whole = Fold(Load(**RING, module_count=20)).play()
    for module_count in (4, 5, 10):
        folded = Fold(Load(**RING, module_count=module_count)).play()
        for name in ("messages sent", "bytes sent", "received", "attempts"):
            assert folded[name] == pytest.approx(whole[name], rel=0.05), (module_count, name)


def test_messages_sent_in_fold_are_received_in_it():
    figures = Fold(Load(**RING, module_count=5)).play()
    assert figures["messages sent"] > 20 and figures["received"] == pytest.approx(
        figures["messages sent"], rel=0.02
    )


def test_dropped_messages_change_number_of_messages_sent():
    """Shows that the agreement of folds depends on messages being received by the modules."""

    class WithoutPeerMessages(Fold):
        def schedule(self, at_ms, index, event):
            if type(event).__name__ != "PeerMessageReceived":
                super().schedule(at_ms, index, event)

    without_messages, fold = (
        WithoutPeerMessages(Load(**RING, module_count=5)).play(),
        Fold(Load(**RING, module_count=5)).play(),
    )
    assert abs(without_messages["messages sent"] / fold["messages sent"] - 1) > 0.1


@pytest.mark.parametrize(("module_count", "spread"), [(3, 3), (4, 5), (7, 3)])
def test_fold_rejects_module_count_that_does_not_fit_tier_or_set(module_count, spread):
    with pytest.raises(ValueError, match="module_count"):
        Fold(Load(gateways=20, module_count=module_count, spread=spread))


def test_every_slope_in_file_is_measured_by_command():
    tasks = {task.name: task for task in command.TASKS}
    assert len(tasks) == len(command.TASKS)
    for slope in slopes.read():
        task = tasks[slope.name]
        assert (slope.what, slope.x, slope.unit) == (task.what, task.x, task.unit)
        assert tuple(x for x, _ in slope.points) == task.sizes and slope.form in task.forms
        assert slope.decisions in ((slopes.PLAIN, slopes.COMPILED) if task.cpu else (slopes.EITHER,))
    assert {slope.name for slope in slopes.read()} == set(tasks)


def run_measurement(*words):
    return subprocess.run(
        [sys.executable, "-m", "benchmarks.slopes", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_measured_slope_replaces_old_one_in_file(tmp_path):
    path = tmp_path / "slopes.json"
    for _ in range(2):
        done = run_measurement("--only", "list_bytes", "settings_bytes", "--out", str(path))
        assert done.returncode == 0, done.stderr
    assert [slope.name for slope in slopes.read(path)] == ["list_bytes", "settings_bytes"]


def test_cpu_slope_is_measured_in_separate_processes(tmp_path):
    path = tmp_path / "slopes.json"
    assert run_measurement("--only", "settings_parse_by_plans", "--out", str(path)).returncode == 0
    (slope,) = slopes.read(path)
    assert slope.scatter > 1 and all(y > 0 for _, y in slope.points)


@pytest.mark.parametrize("words", [("--only", "nothing"), ("--compiled", "/nowhere"), ("--round", "nothing")])
def test_invalid_arguments_exit_with_2_and_one_line(words, tmp_path):
    done = run_measurement(*words, "--out", str(tmp_path / "slopes.json"))
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and not list(tmp_path.iterdir())


def test_reference_loop_takes_cpu_time():
    assert command.reference_ms() > 0
