"""How slopes are measured: the folded tier, and the command."""

import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.slopes import __main__ as command
from benchmarks.slopes.fold import Fold, Load
from plumpick.capacity import slopes

ROOT = Path(__file__).parents[2]
RING = {"gateways": 20, "workers": 40, "tenants": 400, "rate": 40.0, "seconds": 6.0}


def test_a_folded_tier_tells_what_a_whole_one_tells():
    whole = Fold(Load(**RING, kept=20)).play()
    for kept in (4, 5, 10):
        folded = Fold(Load(**RING, kept=kept)).play()
        for name in ("told", "bytes told", "heard", "sends"):
            assert folded[name] == pytest.approx(whole[name], rel=0.05), (kept, name)


def test_what_is_told_in_a_fold_is_taken_in_there():
    figures = Fold(Load(**RING, kept=5)).play()
    assert figures["told"] > 20 and figures["heard"] == pytest.approx(figures["told"], rel=0.02)


def test_words_that_nobody_takes_in_change_what_is_told():
    """So that the agreement of folds is none of modules that hear nothing."""

    class Deaf(Fold):
        def put(self, at_ms, place, event):
            if type(event).__name__ != "PeerMessageReceived":
                super().put(at_ms, place, event)

    deaf, fold = Deaf(Load(**RING, kept=5)).play(), Fold(Load(**RING, kept=5)).play()
    assert abs(deaf["told"] / fold["told"] - 1) > 0.1


@pytest.mark.parametrize(("kept", "spread"), [(3, 3), (4, 5), (7, 3)])
def test_a_fold_that_is_none_is_refused(kept, spread):
    with pytest.raises(ValueError, match="kept"):
        Fold(Load(gateways=20, kept=kept, spread=spread))


def test_every_slope_of_the_file_is_one_that_the_command_measures():
    tasks = {task.name: task for task in command.TASKS}
    assert len(tasks) == len(command.TASKS)
    for slope in slopes.load_slopes():
        task = tasks[slope.name]
        assert (slope.what, slope.x, slope.unit) == (task.what, task.x, task.unit)
        assert tuple(x for x, _ in slope.points) == task.sizes and slope.form in task.forms
        assert slope.decisions in ((slopes.PLAIN, slopes.COMPILED) if task.cpu else (slopes.EITHER,))
    assert {slope.name for slope in slopes.load_slopes()} == set(tasks)


def measured(*words):
    return subprocess.run(
        [sys.executable, "-m", "benchmarks.slopes", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_a_slope_that_is_measured_stands_in_the_file_in_place_of_the_old_one(tmp_path):
    path = tmp_path / "slopes.json"
    for _ in range(2):
        done = measured("--only", "list_bytes", "settings_bytes", "--out", str(path))
        assert done.returncode == 0, done.stderr
    assert [slope.name for slope in slopes.load_slopes(path)] == ["list_bytes", "settings_bytes"]


def test_a_slope_of_cpu_is_measured_in_processes_of_its_own(tmp_path):
    path = tmp_path / "slopes.json"
    assert measured("--only", "settings_parse_by_plans", "--out", str(path)).returncode == 0
    (slope,) = slopes.load_slopes(path)
    assert slope.scatter > 1 and all(y > 0 for _, y in slope.points)


@pytest.mark.parametrize("words", [("--only", "nothing"), ("--compiled", "/nowhere"), ("--round", "nothing")])
def test_a_wrong_call_ends_with_2_and_one_line(words, tmp_path):
    done = measured(*words, "--out", str(tmp_path / "slopes.json"))
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and not list(tmp_path.iterdir())


def test_the_reference_loop_takes_time():
    assert command.reference_ms() > 0
