"""Compiles the policy and the most CPU-heavy modules of the daemon with mypyc (typed Python to C).

    python -m plumpick.tools.compile [FOLDER]

The result goes to FOLDER, by default `compiled` in the virtual environment, from which
plumpick/gateway/compiled.py loads it. Prints one line: the result, or the reason why the plain sources are
used. The exit code is 0 in both cases, because compiled and plain modules behave alike."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import sysconfig
import tempfile
from pathlib import Path

from plumpick.gateway.compiled import (
    COMPILED_FILES,
    COMPILED_FOLDER,
    COMPILER,
    SOURCE_FOLDER,
    TOOL_PACKAGES,
    source_digest,
)

COMMAND_TIMEOUT_S = 600.0  # timeout of each external command, in seconds


class CompilationError(Exception):
    """The sources could not be compiled; the text gives the reason."""


def _run(command: list[str], folder: str, **variables: str) -> None:
    """Run an external command in `folder`. Raises CompilationError with the last line that it printed if it
    fails."""
    try:
        done = subprocess.run(
            command,
            cwd=folder,
            env={**os.environ, **variables},
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
    except (OSError, subprocess.TimeoutExpired) as problem:
        raise CompilationError(str(problem)) from problem
    if done.returncode:
        raise CompilationError(
            (done.stdout.strip().splitlines() or ["the command failed without output"])[-1]
        )


def compile_to(folder: Path = COMPILED_FOLDER, optimize: int = 2) -> Path:
    """Compile the current sources, unless `folder` has their result already; returns the folder of the
    result. Raises CompilationError or OSError."""
    target_folder = folder / source_digest()
    if target_folder.is_dir():
        return target_folder
    compiler = sysconfig.get_config_var("CC") or "cc"
    if shutil.which(compiler.split()[0]) is None:
        raise CompilationError(f"C compiler {compiler.split()[0]} not found")
    if not Path(sysconfig.get_paths()["include"], "Python.h").is_file():
        raise CompilationError("Python's C headers (Python.h) not found")
    folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=folder) as scratch:
        tools = Path(scratch, "tools")  # build tools go to a folder from which the daemon cannot import
        _run(
            [
                sys.executable,
                "-m",
                "pip",
                "-q",
                "--disable-pip-version-check",
                "install",
                "--target",
                str(tools),
                COMPILER,
                "setuptools",
            ],
            scratch,
        )
        build, result = Path(scratch, "build"), Path(scratch, "result")
        ignored = shutil.ignore_patterns("__pycache__", *TOOL_PACKAGES)
        shutil.copytree(SOURCE_FOLDER / "plumpick", build / "plumpick", ignore=ignored)
        # mypyc omits code that mypy considers unreachable. It once omitted a check of an attribute that a
        # call in between had changed. Unreachable code is an error, upon which the plain sources are used.
        _run(
            [
                sys.executable,
                "-m",
                "mypyc",
                "--ignore-missing-imports",
                "--warn-unreachable",
                *COMPILED_FILES,
            ],
            str(build),
            PYTHONPATH=str(tools),
            MYPYC_OPT_LEVEL=str(optimize),
        )
        shutil.rmtree(build / "build", ignore_errors=True)  # copies of the sources that setuptools made
        for path in build.rglob("*.so"):
            target = result / path.relative_to(build)
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(path, target)
        if len(list(result.rglob("*.so"))) != len(COMPILED_FILES) + 1:
            raise CompilationError(f"mypyc did not produce the expected {len(COMPILED_FILES) + 1} modules")
        for old in folder.iterdir():  # compiled results of other sources, which are no longer used
            if old.is_dir() and not old.name.startswith("tmp"):
                shutil.rmtree(old, ignore_errors=True)
        os.rename(result, target_folder)  # the rename is atomic, so no incomplete result is ever loaded
    return target_folder


def main() -> int:
    """Compile and print the result in one line; always returns exit code 0."""
    folder = Path(sys.argv[1]) if len(sys.argv) > 1 else COMPILED_FOLDER
    try:
        print(f"decisions compiled: {compile_to(folder).name}")
    except (CompilationError, OSError) as problem:
        print(f"decisions stay plain Python: {problem}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
