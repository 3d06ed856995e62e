"""KNOWN-RED.txt is parsed strictly, names existing tests, and only these tests are deselected."""

import ast

import pytest
from known_red import ROOT, entries, parsed

LINE = "tests/test_known_red.py::test_lines_are_read_strictly | make test, seed 3 | a cause | 41\n"


def test_each_entry_names_a_test_that_exists():
    for entry in entries():
        assert exists(entry.test), entry.test


def exists(test):
    """Whether a file in `tests/` defines the test with this node id."""
    path, _, name = test.partition("[")[0].partition("::")
    file = ROOT / path
    if not path.startswith("tests/") or not file.is_file():
        return False
    return name in {
        node.name for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, ast.FunctionDef)
    }


def test_lines_are_read_strictly():
    assert parsed(LINE + "\n") == [(LINE.split(" | ")[0], "make test, seed 3", "a cause", 41)]
    for bad in (
        "tests/x.py::test_y | 41\n",
        "tests/x.py::test_y | cause | 41\n",
        "tests/x.py | make test | cause | 41\n",
        "a::b | make test | cause | soon\n",
        "a::b | make test |  | 41\n",
        "a::b |  | cause | 41\n",
    ):
        with pytest.raises(ValueError, match="KNOWN-RED"):
            parsed(bad)


def test_a_test_that_does_not_exist_is_found_out():
    assert exists("tests/test_known_red.py::test_lines_are_read_strictly")
    for name in ("tests/test_known_red.py::test_nothing", "tests/no.py::test_x", "plumpick/cli.py::main"):
        assert not exists(name)


def test_what_stands_there_is_passed_over_and_told(pytester_like):
    """Only the listed tests are deselected, and their entries are printed."""
    passed_over, told = pytester_like(
        "def test_red():\n    assert False\n\ndef test_green():\n    pass\n", "test_red"
    )
    assert passed_over == 1 and "KNOWN RED, not run" in told and "1 passed" in told
    assert "make x, seed 1: because (issue 41)" in told


def test_option_runs_just_what_stands_there(pytester_like):
    passed_over, told = pytester_like(
        "def test_red():\n    pass\n\ndef test_green():\n    assert False\n", "test_red", "--known-red"
    )
    assert passed_over == 1 and "KNOWN RED, run" in told and "1 passed" in told


@pytest.fixture
def pytester_like(tmp_path):
    """Function that runs pytest with this project's conftest on a temporary project, in another process.

    It returns the number of deselected tests and the output.
    """
    import re
    import shutil
    import subprocess
    import sys

    def play(text, red, *options):
        tests = tmp_path / "tests"
        tests.mkdir()
        for name in ("conftest.py", "known_red.py"):
            shutil.copy(ROOT / "tests" / name, tests / name)
        (tests / "test_some.py").write_text(text)
        (tmp_path / "KNOWN-RED.txt").write_text(
            f"tests/test_some.py::{red} | make x, seed 1 | because | 41\n"
        )
        (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\npythonpath = ["tests"]\n')
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options, "tests"],
            cwd=tmp_path,
            capture_output=True,
            text=True,
        )
        assert done.returncode == 0, done.stdout
        count = re.search(r"(\d+) deselected", done.stdout)
        return int(count[1]) if count else 0, done.stdout

    return play
