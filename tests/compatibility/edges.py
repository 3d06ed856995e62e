"""Messages, exit codes and replies that operators get for malformed files and for management calls."""

import copy
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from support.fakes import config, entry, listing
from support.ports import free_port

from plumpick.gateway.config import ConfigError, parse_config, parse_worker_list
from plumpick.gateway.operator_config import parse_operator_config

ROOT = Path(__file__).resolve().parents[2]
WRONG_VALUES = (None, "x", -1, 0, 1e400, [], {}, True, ["x"], "1:2")
TIMEOUT_S = 30.0
OPERATOR = (ROOT / "tests/compatibility/operator.toml").read_text(encoding="utf-8")


def nested_paths(value, path=()):
    """Yields the path of every dictionary key and list index of a nested value."""
    rows = value.items() if isinstance(value, dict) else enumerate(value)
    for key, part in rows:
        yield (*path, key)
        if isinstance(part, dict | list):
            yield from nested_paths(part, (*path, key))


def malformed_copies(value):
    """Yields a description and a copy of the value for each part removed or replaced by a wrong value."""
    for path in list(nested_paths(value)):
        for wrong in ("missing", *WRONG_VALUES):
            other = copy.deepcopy(value)
            inner = other
            for key in path[:-1]:
                inner = inner[key]
            if wrong == "missing":
                del inner[path[-1]]
            else:
                inner[path[-1]] = wrong
            yield f"{'.'.join(map(str, path))} {wrong!r}", other


def error_text(read, value, errors):
    """Returns the text of the error that `read(value)` raises, or "read" if it raises none of `errors`."""
    try:
        read(value)
    except errors as problem:
        return str(problem)
    return "read"


def base_config():
    """Returns a valid configuration that has every table."""
    value = config(known=(entry("w1", 1234), entry("w2", 1235)))
    value["management"] = "127.0.0.1:9000"
    return value


def settings_errors():
    """Returns the error text for every malformed copy of a configuration, by its description."""
    rows = {}
    for what, value in malformed_copies(base_config()):
        rows[what] = error_text(lambda value: parse_config(value, {}), value, (ValueError, ConfigError))
    return rows


def list_errors():
    """Returns error texts of malformed endpoint lists, parsed strictly and with invalid entries skipped."""
    rows = {}
    for what, value in malformed_copies(listing(entry("w1", 1234), entry("w2", 1235))):
        skipped = []
        rows[f"whole {what}"] = error_text(lambda value: parse_worker_list(value, "list"), value, ValueError)
        rows[f"skipping {what}"] = [
            error_text(
                lambda value, into=skipped: parse_worker_list(value, "list", into.append), value, ValueError
            ),
            [str(problem) for problem in skipped],
        ]
    return rows


def operator_errors():
    """Returns the error text for every malformed copy of the operator's file, by its description."""
    rows = {}
    for what, value in malformed_copies(tomllib.loads(OPERATOR)):
        rows[what] = error_text(
            lambda value: parse_operator_config(value, 3), value, (ValueError, ConfigError)
        )
    return rows


# -- processes


def start(folder, text=None, **environment):
    """Starts the gateway as a process; `text` is the content of its configuration file, None for no file."""
    if text is not None:
        path = Path(folder, "config.json")
        path.write_text(text, encoding="utf-8")
        environment["BALANCER_CONFIG"] = str(path)
    kept = {key: value for key, value in os.environ.items() if not key.startswith(("BALANCER", "PLUMPICK"))}
    return subprocess.Popen(
        [sys.executable, "-m", "plumpick"],
        cwd=ROOT,
        env={**kept, "TMPDIR": folder, **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def exits():
    """Returns the exit code and output of gateway starts with unusable files, by the name of the case."""
    good = json.dumps(base_config())
    bad = json.dumps({**base_config(), "settings": {}})
    rows = {}
    with tempfile.TemporaryDirectory() as folder:
        operator = Path(folder, "operator.toml")
        for name, text, more, own in (
            ("no file named", None, {}, None),
            ("no such file", None, {"BALANCER_CONFIG": f"{folder}/none.json"}, None),
            ("no JSON", "{", {}, None),
            ("no UTF-8", "\udcff", {}, None),
            ("an empty table", "{}", {}, None),
            ("bad settings", bad, {}, None),
            ("a bad operator's file", good, {"PLUMPICK_OPERATOR": str(operator)}, "[fleet]\nvoters = 7\n"),
            ("no operator's file", good, {"PLUMPICK_OPERATOR": f"{folder}/none.toml"}, None),
        ):
            if own is not None:
                operator.write_text(own, encoding="utf-8")
            if name == "no UTF-8":
                Path(folder, "config.json").write_bytes(b"\xff\xfe{")
                more, text = {"BALANCER_CONFIG": f"{folder}/config.json"}, None
            process = start(folder, text, **more)
            output, _ = process.communicate(timeout=TIMEOUT_S)
            rows[name] = [process.returncode, output.replace(folder, "FOLDER")]
    return rows


CALLS = (
    "READY", "ready", "DISABLE w1", "DISABLE w1", "DISABLE nobody", "ENABLE w1", "ENABLE nobody", "DISABLE",
    "DUTIES", "BUDGETS", "DUTIES 1", "CONFIGURATION", "DRAIN FLEET", "DRAIN", "DRAIN", "READY", "UNDRAIN",
    "READY", "STOP", "", "READY now", "DISABLE a b", "DRAIN a b c", "DISABLE " + "x" * 600,
)  # fmt: skip


def call(port, line):
    """Sends one line to the management port; returns the whole reply."""
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as connection:
        connection.sendall(line.encode() + b"\n")
        connection.shutdown(socket.SHUT_WR)
        return connection.makefile("rb").read().decode()


def ready(port, process):
    """Waits until the management port replies; raises AssertionError on exit or after TIMEOUT_S."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end and process.poll() is None:
        try:
            return call(port, "READY")
        except OSError:
            time.sleep(0.05)
    raise AssertionError(f"gateway exited or did not reply on port {port} within {TIMEOUT_S} s")


def replies(operator=None):
    """Returns the replies of a started gateway to CALLS; `operator` is the content of its operator's file."""
    listen, management = free_port(), free_port()
    value = config(known=(entry("w1", 1),), listen=f"127.0.0.1:{listen}")
    value["management"] = f"127.0.0.1:{management}"
    with tempfile.TemporaryDirectory() as folder:
        more = {}
        if operator is not None:
            path = Path(folder, "operator.toml")
            path.write_text(operator, encoding="utf-8")
            more["PLUMPICK_OPERATOR"] = str(path)
        process = start(folder, json.dumps(value), **more)
        try:
            ready(management, process)
            return [[line[:40], normalized(call(management, line))] for line in CALLS]
        finally:
            process.terminate()
            process.communicate(timeout=TIMEOUT_S)


def normalized(reply):
    """Replaces the numbers in a JSON reply by "N": times, incarnations and tokens differ from run to run."""
    return re.sub(r"-?\d+(\.\d+)?", "N", reply) if reply.startswith("+OK {") else reply


def all_outputs():
    """Returns the results of all cases of this file, by name."""
    return {
        "settings": settings_errors(),
        "lists": list_errors(),
        "operator": operator_errors(),
        "exits": exits(),
        "replies": replies(),
    }
