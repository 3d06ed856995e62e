"""Decisions compiled: the same actions to the bit, and a start without them wherever they cannot be had."""

import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

import pytest

from plumpick.gateway import compiled
from plumpick.tools import compile as tool

ROOT = Path(__file__).resolve().parents[1]


def python(*words, **more):
    return subprocess.run(
        [sys.executable, *map(str, words)], cwd=ROOT, text=True, capture_output=True, **more
    )


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    """Compiled here, quickly rather than well."""
    if shutil.which((sysconfig.get_config_var("CC") or "cc").split()[0]) is None:
        pytest.skip("there is no compiler on this machine")
    folder = tmp_path_factory.mktemp("compiled")
    made = tool.compile_to(folder, optimize=0)
    assert tool.compile_to(folder) == made  # it is not done twice
    return folder


def test_compiled_and_plain_decide_alike_to_the_bit(folder):
    """Over worlds with failures, and over hostile events: a fault of one event ends that event alone."""
    plain = python("-m", "tests.same_actions")
    fast = python("-m", "tests.same_actions", folder)
    assert plain.returncode == fast.returncode == 0, plain.stderr + fast.stderr
    (first, digest, count), (second, other, _) = plain.stdout.splitlines(), fast.stdout.splitlines()
    assert first == "decisions: plain Python" and second.startswith("decisions: compiled (")
    assert digest == other
    worlds, faults = map(int, count.split())
    assert worlds == 0 and faults > 10  # hostile events did end by a fault, and only those


def test_a_simulated_fleet_has_the_same_history(folder):
    """The whole daemon, on its virtual machine: every step of some seeds."""
    code = (
        "import sys; from pathlib import Path; from plumpick.gateway import compiled\n"
        "if len(sys.argv) > 1: compiled.use_compiled_files(Path(sys.argv[1]))\n"
        "from plumpick.policy import controller\n"
        "from plumpick.simulation.faults import generate_case\nfrom plumpick.simulation.world import play\n"
        "print(controller.__file__.endswith('.so'), *(play(generate_case(n, 8.0)).digest for n in (1, 2, 3)))"
    )
    plain, fast = python("-c", code), python("-c", code, folder)
    assert plain.stdout.split()[0] == "False" and fast.stdout.split()[0] == "True", fast.stderr
    assert plain.stdout.split()[1:] == fast.stdout.split()[1:]


def test_the_gatekeepers_own_tests_pass_compiled(folder):
    """On real sockets. One is left out: it asks for a weak reference, which compiled objects have not."""
    code = (
        "import sys; from pathlib import Path; from plumpick.gateway import compiled\n"
        "assert compiled.use_compiled_files(Path(sys.argv[1])).startswith('decisions: compiled')\n"
        "import pytest, plumpick.gateway.gateway, plumpick.gateway.listeners.http.connection as one\n"
        "assert one.__file__.endswith('.so') and plumpick.gateway.gateway.__file__.endswith('.so')\n"
        "sys.exit(pytest.main(['-q', '-p', 'no:cacheprovider', 'tests/gateway/test_gatekeeper.py',"
        "'tests/gateway/test_swallowing.py', '-k', 'not no_cycle']))"
    )
    done = python("-c", code, folder)
    assert done.returncode == 0, done.stdout[-3000:] + done.stderr


def test_files_of_other_sources_are_not_taken(folder, tmp_path, monkeypatch):
    shutil.copytree(compiled.SOURCE_FOLDER / "plumpick", tmp_path / "tree" / "plumpick")
    monkeypatch.setattr(compiled, "SOURCE_FOLDER", tmp_path / "tree")
    before = compiled.source_digest()
    # Also what is not compiled itself.
    for changed in ("plumpick/gateway/config.py", "plumpick/policy/controller.py"):
        path = tmp_path / "tree" / changed
        path.write_text(path.read_text() + "\n# changed\n")
        assert compiled.source_digest() != before
        before = compiled.source_digest()
    assert compiled.use_compiled_files(folder) == "decisions: plain Python"
    monkeypatch.setattr(compiled, "SOURCE_FOLDER", tmp_path / "none")
    assert compiled.use_compiled_files(tmp_path) == "decisions: plain Python"


@pytest.mark.parametrize("missing", ["compiler", "headers", "package"])
def test_where_it_cannot_be_compiled_the_build_goes_on_and_says_why(missing, tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(sys, "argv", ["compile", str(tmp_path)])
    if missing == "compiler":
        monkeypatch.setattr(sysconfig, "get_config_var", lambda _name: "no-such-compiler")
    elif missing == "headers":
        paths = sysconfig.get_paths
        monkeypatch.setattr(
            sysconfig, "get_paths", lambda *given, **more: {**paths(*given, **more), "include": str(tmp_path)}
        )
    else:
        monkeypatch.setattr(tool, "COMPILER", "plumpick-has-no-such-package==1")
        monkeypatch.setenv("PIP_NO_INDEX", "1")
    assert tool.main() == 0
    said = capsys.readouterr().out
    assert said.startswith("decisions stay plain Python: ") and said.count("\n") == 1
    assert not [path for path in tmp_path.iterdir() if path.is_dir()]


def test_the_daemon_says_which_decides_and_starts_from_a_tree_that_cannot_be_written(tmp_path):
    """With no configuration it ends with 2 and one line, whichever decides."""
    done = python("-m", "plumpick", env={**os.environ, "BALANCER_CONFIG": "", "PYTHONDONTWRITEBYTECODE": "1"})
    assert done.returncode == 2 and done.stderr.count("\n") == 1
