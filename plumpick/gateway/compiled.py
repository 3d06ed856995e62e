"""Compiled files in place of the plain ones, where `build` made them: same sources, same actions.

plumpick/tools/compile.py makes them, under the digest of the sources and of this Python, so that files of
other sources are never taken for these. Nothing is written at run time. Where
none fit, the plain sources serve."""

from __future__ import annotations

import hashlib
import importlib
import os
import sys
from pathlib import Path

import plumpick

SOURCE_FOLDER = Path(plumpick.__path__[0]).parent
COMPILED_FOLDER = Path(sys.prefix) / "compiled"
# The types of events and actions stay plain: what an event of a wrong type does has to happen inside the
# controller. So does clock.py, whose clock the simulation replaces.
POLICY_FILES = (
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
GATEWAY_FILES = (
    "plumpick/gateway/attempt_runner.py",
    "plumpick/gateway/body_streams.py",
    "plumpick/gateway/event_turn.py",
    "plumpick/gateway/gateway.py",
    "plumpick/gateway/open_request.py",
    "plumpick/gateway/operator_commands.py",
    "plumpick/gateway/request_table.py",
    "plumpick/gateway/stall_detector.py",
    "plumpick/gateway/state_transfer.py",
    "plumpick/gateway/listeners/http/connection_admission.py",
    "plumpick/gateway/listeners/http/connection.py",
    "plumpick/gateway/listeners/http/connection_state.py",
    "plumpick/gateway/listeners/http/parsed_request.py",
    "plumpick/gateway/listeners/http/request_reader.py",
    "plumpick/gateway/listeners/http/response_writer.py",
    "plumpick/gateway/listeners/http/validation.py",
    "plumpick/gateway/listeners/http/listener.py",
    "plumpick/gateway/upstream/attempt.py",
    "plumpick/gateway/upstream/connection.py",
    "plumpick/gateway/upstream/connection_pool.py",
    "plumpick/gateway/upstream/request_encoding.py",
)
COMPILED_FILES = POLICY_FILES + GATEWAY_FILES
# The packages that hold some of them.
COMPILED_PACKAGES = sorted({str(Path(name).parent).replace("/", ".") for name in COMPILED_FILES})
# Packages of plumpick that the daemon does not import.
TOOL_PACKAGES = {"capacity", "rehearsal", "simulation", "tools"}
COMPILER = "mypy==2.4.1"  # holds mypyc; it is needed to compile, not to run


def source_digest() -> str:
    """The name of these sources for this Python. Raises OSError."""
    text = hashlib.sha256(f"{sys.version} {os.uname().machine} {COMPILER} {COMPILED_FILES}".encode())
    for path in sorted((SOURCE_FOLDER / "plumpick").rglob("*.py")):
        name = path.relative_to(SOURCE_FOLDER)
        if name.parts[1] not in TOOL_PACKAGES:
            text.update(str(name).encode() + b"\0" + path.read_bytes())
    return text.hexdigest()[:16]


def use_compiled_files(folder: Path = COMPILED_FOLDER) -> str:
    """Import compiled files from now on, if they are of these sources; to be called before any of them is
    imported. Returns a line for the log on which files decide."""
    try:
        made = folder / source_digest()
        if not made.is_dir():
            return "decisions: plain Python"
    except OSError as problem:  # sources that cannot be read fail at their import, too
        return f"decisions: plain Python ({problem.strerror})"
    for name in COMPILED_PACKAGES:
        package = importlib.import_module(name)
        package.__path__.insert(0, str(Path(made, *name.split("."))))
    sys.path.append(str(made))  # mypyc's own part, beside the package
    return f"decisions: compiled ({made.name})"
