"""The wheel contains the whole product, and works when installed into a new environment."""

import os
import pathlib
import subprocess
import sys
import venv
import zipfile

ROOT = pathlib.Path(__file__).parent.parent
COMMAND_TIMEOUT_S = 600


def run(*command, **more):
    environment = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"}
    words = [str(part) for part in command]
    done = subprocess.run(
        words, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S, env=environment, **more
    )
    assert done.returncode in (0, 3), done.stdout + done.stderr
    return done.stdout


def test_wheel_contains_all_sources_and_works_in_a_new_environment(tmp_path):
    tree = tmp_path / "tree"  # copy of the sources, because the build creates folders in them
    tree.mkdir()
    for name in ("plumpick", "pyproject.toml", "README.md", "LICENSE"):
        run("cp", "-r", ROOT / name, tree)
    run(sys.executable, "-m", "build", "--wheel", "--outdir", tmp_path / "dist", tree)
    (wheel,) = (tmp_path / "dist").glob("*.whl")
    packaged = set(zipfile.ZipFile(wheel).namelist())
    sources = {
        str(path.relative_to(ROOT))
        for path in (ROOT / "plumpick").rglob("*")
        if path.suffix in (".py", ".toml", ".json")
    }
    assert sources <= packaged
    venv.create(tmp_path / "fresh", with_pip=True)
    programs = tmp_path / "fresh" / "bin"
    run(programs / "python", "-m", "pip", "-q", "install", f"{wheel}[kit]")
    assert run(programs / "plumpick", "--version", cwd=tmp_path).startswith("plumpick ")
    verdict = run(programs / "plumpick", "rehearse", "brief", "--seed", "1", "--quiet", cwd=tmp_path)
    assert "no-request-lost  held" in verdict and "broken" not in verdict


def test_tools_without_the_kit_extra_print_what_to_install(tmp_path):
    (tmp_path / "msgspec.py").write_text("raise ModuleNotFoundError('no', name='msgspec')\n")
    done = subprocess.run(
        [sys.executable, "-m", "plumpick.cli", "rehearse"],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
    )
    assert done.returncode == 2 and "plumpick[kit]" in done.stderr
