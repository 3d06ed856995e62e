"""What may be passed over is little, and names tests that exist."""

import ast

import pytest
from known_red import ROOT, entries, parsed

LINE = "tests/test_known_red.py::test_no_more_than_three_stand_there | a cause | 41\n"


def test_no_more_than_three_stand_there_and_each_names_a_test_that_exists():
    rows = entries()
    assert len(rows) <= 3
    for test, _, _ in rows:
        assert exists(test), test


def exists(test):
    """Whether a file of ours defines the test."""
    path, _, name = test.partition("[")[0].partition("::")
    file = ROOT / path
    if not path.startswith("tests/") or not file.is_file():
        return False
    return name in {
        node.name for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, ast.FunctionDef)
    }


def test_lines_are_read_strictly():
    assert parsed(LINE + "\n") == [(LINE.split(" | ")[0], "a cause", 41)]
    for bad in (
        LINE * 4,
        "tests/x.py::test_y | 41\n",
        "tests/x.py | cause | 41\n",
        "a::b | cause | soon\n",
        "a::b |  | 41\n",
    ):
        with pytest.raises(ValueError, match="KNOWN-RED"):
            parsed(bad)


def test_a_test_that_does_not_exist_is_found_out():
    assert exists("tests/test_known_red.py::test_lines_are_read_strictly")
    for name in ("tests/test_known_red.py::test_nothing", "tests/no.py::test_x", "plumpick/cli.py::main"):
        assert not exists(name)


def test_what_stands_there_is_passed_over_and_told(pytester_like):
    """Just these, by name, also where they have parameters."""
    passed_over, told = pytester_like(
        "def test_red():\n    assert False\n\ndef test_green():\n    pass\n", "test_red"
    )
    assert passed_over == 1 and "KNOWN RED, not run" in told and "1 passed" in told


@pytest.fixture
def pytester_like(tmp_path):
    """A project of its own with our conftest, played in a process of its own."""
    import re
    import shutil
    import subprocess
    import sys

    def play(text, red):
        tests = tmp_path / "tests"
        tests.mkdir()
        for name in ("conftest.py", "known_red.py"):
            shutil.copy(ROOT / "tests" / name, tests / name)
        (tests / "test_some.py").write_text(text)
        (tmp_path / "KNOWN-RED.txt").write_text(f"tests/test_some.py::{red} | because | 41\n")
        (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\npythonpath = ["tests"]\n')
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"],
            cwd=tmp_path,
            capture_output=True,
            text=True,
        )
        assert done.returncode == 0, done.stdout
        count = re.search(r"(\d+) deselected", done.stdout)
        return int(count[1]) if count else 0, done.stdout

    return play
