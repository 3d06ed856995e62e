"""Import of compiled extension modules in place of the plain Python modules, if the build produced them.

plumpick/tools/compile.py writes them to a folder named by a digest of the sources and the Python version, so
that a build of other sources is never imported. Nothing is compiled at run time. Without a matching build the
plain modules are imported."""

from __future__ import annotations

import hashlib
import importlib
import os
import sys
from pathlib import Path

import plumpick

SOURCE_FOLDER = Path(plumpick.__path__[0]).parent
COMPILED_FOLDER = Path(sys.prefix) / "compiled"
# Paths of the modules that are compiled. The types of events and actions are not compiled: an event of a
# wrong type has to cause its error inside the controller. clock.py is not compiled, since the simulation
# replaces its clock.
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
    "plumpick/gateway/memory_budget.py",
    "plumpick/gateway/open_request.py",
    "plumpick/gateway/operator_commands.py",
    "plumpick/gateway/read_buffer.py",
    "plumpick/gateway/request_table.py",
    "plumpick/gateway/response_discarder.py",
    "plumpick/gateway/stall_detector.py",
    "plumpick/gateway/state_transfer.py",
    "plumpick/gateway/listeners/http/connection_admission.py",
    "plumpick/gateway/listeners/http/connection.py",
    "plumpick/gateway/listeners/http/connection_state.py",
    "plumpick/gateway/listeners/http/fair_queue.py",
    "plumpick/gateway/listeners/http/parsed_request.py",
    "plumpick/gateway/listeners/http/request_reader.py",
    "plumpick/gateway/listeners/http/response_writer.py",
    "plumpick/gateway/listeners/http/validation.py",
    "plumpick/gateway/listeners/http/listener.py",
    "plumpick/gateway/upstream/attempt.py",
    "plumpick/gateway/upstream/buffered_response.py",
    "plumpick/gateway/upstream/connection.py",
    "plumpick/gateway/upstream/connection_owner.py",
    "plumpick/gateway/upstream/connection_pool.py",
    "plumpick/gateway/upstream/request_encoding.py",
    "plumpick/gateway/upstream/response_head.py",
)
COMPILED_FILES = POLICY_FILES + GATEWAY_FILES
# Packages that contain compiled modules.
COMPILED_PACKAGES = sorted({str(Path(name).parent).replace("/", ".") for name in COMPILED_FILES})
# Packages of plumpick that the daemon does not import, which are left out of the digest.
TOOL_PACKAGES = {"capacity", "rehearsal", "simulation", "tools"}
COMPILER = "mypy==2.4.1"  # package that contains mypyc; needed only for the build


def source_digest() -> str:
    """Digest of the daemon's sources, the Python version, the machine type and the compiler; names the folder
    of a build. Raises OSError if a source cannot be read."""
    text = hashlib.sha256(f"{sys.version} {os.uname().machine} {COMPILER} {COMPILED_FILES}".encode())
    for path in sorted((SOURCE_FOLDER / "plumpick").rglob("*.py")):
        name = path.relative_to(SOURCE_FOLDER)
        if name.parts[1] not in TOOL_PACKAGES:
            text.update(str(name).encode() + b"\0" + path.read_bytes())
    return text.hexdigest()[:16]


def use_compiled_files(folder: Path = COMPILED_FOLDER) -> str:
    """Let later imports find the compiled modules in `folder`, if a build of the current sources exists
    there. Must be called before any of these modules is imported. Returns a log line that says which are
    used."""
    try:
        made = folder / source_digest()
        if not made.is_dir():
            return "decisions: plain Python"
    except OSError as problem:  # an unreadable source also fails when it is imported
        return f"decisions: plain Python ({problem.strerror})"
    for name in COMPILED_PACKAGES:
        package = importlib.import_module(name)
        package.__path__.insert(0, str(Path(made, *name.split("."))))
    sys.path.append(str(made))  # for mypyc's shared module, which lies beside the package
    return f"decisions: compiled ({made.name})"
