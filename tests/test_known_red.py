"""KNOWN-RED.txt is parsed strictly, names existing tests, and only these tests are deselected."""

import ast

import pytest
from known_red import ROOT, entries, parse_entries

LINE = "tests/test_known_red.py::test_malformed_line_raises_value_error | make test, seed 3 | a cause | 41\n"


def test_each_entry_names_an_existing_test():
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


def test_malformed_line_raises_value_error():
    assert parse_entries(LINE + "\n") == [(LINE.split(" | ")[0], "make test, seed 3", "a cause", 41)]
    for bad in (
        "tests/x.py::test_y | 41\n",
        "tests/x.py::test_y | cause | 41\n",
        "tests/x.py | make test | cause | 41\n",
        "a::b | make test | cause | soon\n",
        "a::b | make test |  | 41\n",
        "a::b |  | cause | 41\n",
    ):
        with pytest.raises(ValueError, match="KNOWN-RED"):
            parse_entries(bad)


def test_exists_is_false_for_a_missing_test_or_file():
    assert exists("tests/test_known_red.py::test_malformed_line_raises_value_error")
    for name in ("tests/test_known_red.py::test_nothing", "tests/no.py::test_x", "plumpick/cli.py::main"):
        assert not exists(name)


def test_listed_test_is_deselected_and_printed(run_pytest_in_project):
    """Only the listed tests are deselected, and their entries are printed."""
    deselected, output = run_pytest_in_project(
        "def test_red():\n    assert False\n\ndef test_green():\n    pass\n", "test_red"
    )
    assert deselected == 1 and "KNOWN RED, not run" in output and "1 passed" in output
    assert "make x, seed 1: because (issue 41)" in output


def test_known_red_option_runs_only_listed_tests(run_pytest_in_project):
    deselected, output = run_pytest_in_project(
        "def test_red():\n    pass\n\ndef test_green():\n    assert False\n", "test_red", "--known-red"
    )
    assert deselected == 1 and "KNOWN RED, run" in output and "1 passed" in output


@pytest.fixture
def run_pytest_in_project(tmp_path):
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
