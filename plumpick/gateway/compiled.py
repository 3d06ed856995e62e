"""Compiled files in place of the plain ones, where `build` made them: same sources, same actions.

plumpick/tools/compile.py makes them, under the digest of the sources and of this Python, so that files of
other sources are never taken for these. Nothing is written at run time."""

from __future__ import annotations

import hashlib
import importlib
import os
import sys
from pathlib import Path

import plumpick

SOURCES = Path(plumpick.__path__[0]).parent
FOLDER = Path(sys.prefix) / "compiled"
# Events, actions and settings stay plain: what an event of a wrong type does has to happen inside the module.
# So does clock.py, whose clock the simulation stands in for.
DECISIONS = (
    "plumpick/policy/admission.py",
    "plumpick/policy/attempt_lifecycle.py",
    "plumpick/policy/class_statistics.py",
    "plumpick/policy/concurrency_limit.py",
    "plumpick/policy/controller.py",
    "plumpick/policy/disabled_workers.py",
    "plumpick/policy/endpoint_state.py",
    "plumpick/policy/endpoint_table.py",
    "plumpick/policy/fuzzy_controller.py",
    "plumpick/policy/load_balancing.py",
    "plumpick/policy/load_reports.py",
    "plumpick/policy/outlier_detection.py",
    "plumpick/policy/overdue_attempts.py",
    "plumpick/policy/peer_messages.py",
    "plumpick/policy/request_lifecycle.py",
    "plumpick/policy/request_state.py",
    "plumpick/policy/retry.py",
    "plumpick/policy/slow_start.py",
    "plumpick/policy/state.py",
    "plumpick/policy/timers.py",
    "plumpick/policy/turn.py",
    "plumpick/policy/quota/context.py",
    "plumpick/policy/quota/ledger.py",
    "plumpick/policy/quota/liveness.py",
    "plumpick/policy/quota/manager.py",
    "plumpick/policy/quota/outbox.py",
    "plumpick/policy/quota/owner.py",
    "plumpick/policy/quota/records.py",
    "plumpick/policy/quota/requester.py",
)
HOT = (
    "plumpick/gateway/gateway.py",
    "plumpick/gateway/listeners/http/connection_admission.py",
    "plumpick/gateway/listeners/http/connection.py",
    "plumpick/gateway/listeners/http/validation.py",
    "plumpick/gateway/listeners/http/listener.py",
    "plumpick/gateway/upstream/request_encoding.py",
    "plumpick/gateway/upstream/connection_pool.py",
)
FILES = DECISIONS + HOT
PACKAGES = sorted({str(Path(name).parent).replace("/", ".") for name in FILES})  # that hold some of them
TOOLS = {"capacity", "rehearsal", "simulation", "tools"}  # of plumpick, that the daemon does not import
COMPILER = "mypy==2.4.1"  # holds mypyc; it is needed to compile, not to run


def digest() -> str:
    """The name of these sources for this Python. Raises OSError."""
    text = hashlib.sha256(f"{sys.version} {os.uname().machine} {COMPILER} {FILES}".encode())
    for path in sorted((SOURCES / "plumpick").rglob("*.py")):
        name = path.relative_to(SOURCES)
        if name.parts[1] not in TOOLS:
            text.update(str(name).encode() + b"\0" + path.read_bytes())
    return text.hexdigest()[:16]


def use(folder: Path = FOLDER) -> str:
    """Let compiled files serve if they are of these sources, before any of them is imported; returns which
    do, as the log has it."""
    try:
        made = folder / digest()
        if not made.is_dir():
            return "decisions: plain Python"
    except OSError as problem:  # sources that cannot be read will not import either; that is told there
        return f"decisions: plain Python ({problem.strerror})"
    for name in PACKAGES:
        package = importlib.import_module(name)
        package.__path__.insert(0, str(Path(made, *name.split("."))))
    sys.path.append(str(made))  # mypyc's own part, beside the package
    return f"decisions: compiled ({made.name})"
