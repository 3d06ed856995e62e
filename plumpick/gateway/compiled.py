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

SOURCE_FOLDER = Path(plumpick.__path__[0]).parent
COMPILED_FOLDER = Path(sys.prefix) / "compiled"
# The types of interface.py stay plain: what an event of a wrong type does has to happen inside the module. So
# does clock.py, whose clock the simulation stands in for.
POLICY_FILES = (
    "plumpick/policy/peer_messages.py",
    "plumpick/policy/state.py",
    "plumpick/policy/controller.py",
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
COMPILED_PACKAGES = sorted(
    {str(Path(name).parent).replace("/", ".") for name in COMPILED_FILES}
)  # that hold some of them
TOOL_PACKAGES = {
    "capacity",
    "rehearsal",
    "simulation",
    "tools",
}  # of plumpick, that the daemon does not import
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
    """Let compiled files serve if they are of these sources, before any of them is imported; returns which
    do, as the log has it."""
    try:
        made = folder / source_digest()
        if not made.is_dir():
            return "decisions: plain Python"
    except OSError as problem:  # sources that cannot be read will not import either; that is told there
        return f"decisions: plain Python ({problem.strerror})"
    for name in COMPILED_PACKAGES:
        package = importlib.import_module(name)
        package.__path__.insert(0, str(Path(made, *name.split("."))))
    sys.path.append(str(made))  # mypyc's own part, beside the package
    return f"decisions: compiled ({made.name})"
