"""Compiled modules: they behave exactly like the plain sources, which are used where compiling is
impossible."""

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
    """A folder with the sources compiled without optimization, which is faster."""
    if shutil.which((sysconfig.get_config_var("CC") or "cc").split()[0]) is None:
        pytest.skip("there is no compiler on this machine")
    folder = tmp_path_factory.mktemp("compiled")
    made = tool.compile_to(folder, optimize=0)
    assert tool.compile_to(folder) == made  # the existing result is used
    return folder


def test_compiled_and_plain_policy_return_identical_actions(folder):
    """Covers random traffic with failures, and malformed events, each of which raises for that event only."""
    plain = python("-m", "tests.same_actions")
    fast = python("-m", "tests.same_actions", folder)
    assert plain.returncode == fast.returncode == 0, plain.stderr + fast.stderr
    (first, digest, count), (second, other, _) = plain.stdout.splitlines(), fast.stdout.splitlines()
    assert first == "decisions: plain Python" and second.startswith("decisions: compiled (")
    assert digest == other
    worlds, faults = map(int, count.split())
    assert worlds == 0 and faults > 10  # only malformed events raised


def test_simulated_fleet_has_the_same_history_compiled_and_plain(folder):
    """Compares the digests of all steps of the whole daemon for some seeds of the simulation."""
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


def test_tests_of_the_gateway_pass_with_compiled_modules(folder):
    """Runs on real sockets. One test is excluded, because it needs weak references, which compiled objects do
    not support."""
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


def test_compiled_files_of_other_sources_are_not_used(folder, tmp_path, monkeypatch):
    shutil.copytree(compiled.SOURCE_FOLDER / "plumpick", tmp_path / "tree" / "plumpick")
    monkeypatch.setattr(compiled, "SOURCE_FOLDER", tmp_path / "tree")
    before = compiled.source_digest()
    # The first file is not compiled itself, but counts for the digest.
    for changed in ("plumpick/gateway/config.py", "plumpick/policy/controller.py"):
        path = tmp_path / "tree" / changed
        path.write_text(path.read_text() + "\n# changed\n")
        assert compiled.source_digest() != before
        before = compiled.source_digest()
    assert compiled.use_compiled_files(folder) == "decisions: plain Python"
    monkeypatch.setattr(compiled, "SOURCE_FOLDER", tmp_path / "none")
    assert compiled.use_compiled_files(tmp_path) == "decisions: plain Python"


@pytest.mark.parametrize("missing", ["compiler", "headers", "package"])
def test_build_succeeds_and_prints_the_reason_if_compiling_is_impossible(
    missing, tmp_path, monkeypatch, capsys
):
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
    output = capsys.readouterr().out
    assert output.startswith("decisions stay plain Python: ") and output.count("\n") == 1
    assert not [path for path in tmp_path.iterdir() if path.is_dir()]


def test_daemon_without_a_configuration_exits_with_2_and_one_line(tmp_path):
    """Holds for compiled and plain modules, also if no bytecode can be written."""
    done = python("-m", "plumpick", env={**os.environ, "BALANCER_CONFIG": "", "PYTHONDONTWRITEBYTECODE": "1"})
    assert done.returncode == 2 and done.stderr.count("\n") == 1
