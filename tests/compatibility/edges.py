"""What operators see of malformed files and of their calls: messages, exit codes and replies."""

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

from plumpick.gateway.config import ConfigError, parse_config, parse_worker_list
from plumpick.gateway.operator_config import parse_operator_config

ROOT = Path(__file__).resolve().parents[2]
WRONG = (None, "x", -1, 0, 1e400, [], {}, True, ["x"], "1:2")
PATIENCE_S = 30.0
OPERATOR = (ROOT / "tests/compatibility/operator.toml").read_text(encoding="utf-8")


def places(value, path=()):
    """The path of every key and row of a nested value."""
    rows = value.items() if isinstance(value, dict) else enumerate(value)
    for key, part in rows:
        yield (*path, key)
        if isinstance(part, dict | list):
            yield from places(part, (*path, key))


def spoilt(value):
    """Every copy of the value with one part missing or of a wrong kind, and what was done to it."""
    for path in list(places(value)):
        for wrong in ("missing", *WRONG):
            other = copy.deepcopy(value)
            inner = other
            for key in path[:-1]:
                inner = inner[key]
            if wrong == "missing":
                del inner[path[-1]]
            else:
                inner[path[-1]] = wrong
            yield f"{'.'.join(map(str, path))} {wrong!r}", other


def said(read, value, errors):
    """What is wrong, word for word, or `read` where nothing is."""
    try:
        read(value)
    except errors as problem:
        return str(problem)
    return "read"


def base_config():
    """A configuration with every table."""
    value = config(known=(entry("w1", 1234), entry("w2", 1235)))
    value["management"] = "127.0.0.1:9000"
    return value


def settings_errors():
    """The message for every way to spoil a configuration."""
    rows = {}
    for what, value in spoilt(base_config()):
        rows[what] = said(lambda value: parse_config(value, {}), value, (ValueError, ConfigError))
    return rows


def list_errors():
    """The message for every way to spoil a list of discovery, read whole and with bad entries skipped."""
    rows = {}
    for what, value in spoilt(listing(entry("w1", 1234), entry("w2", 1235))):
        skipped = []
        rows[f"whole {what}"] = said(lambda value: parse_worker_list(value, "list"), value, ValueError)
        rows[f"skipping {what}"] = [
            said(
                lambda value, into=skipped: parse_worker_list(value, "list", into.append), value, ValueError
            ),
            [str(problem) for problem in skipped],
        ]
    return rows


def operator_errors():
    """The message for every way to spoil the operator's file."""
    rows = {}
    for what, value in spoilt(tomllib.loads(OPERATOR)):
        rows[what] = said(lambda value: parse_operator_config(value, 3), value, (ValueError, ConfigError))
    return rows


# -- processes


def free_port():
    """A port that is free now."""
    with socket.socket() as plug:
        plug.bind(("127.0.0.1", 0))
        return plug.getsockname()[1]


def start(folder, text=None, **environment):
    """The gateway as a process; `text` is its configuration."""
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
    """Exit code and output of starts that cannot succeed."""
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
            output, _ = process.communicate(timeout=PATIENCE_S)
            rows[name] = [process.returncode, output.replace(folder, "FOLDER")]
    return rows


CALLS = (
    "READY", "ready", "DISABLE w1", "DISABLE w1", "DISABLE nobody", "ENABLE w1", "ENABLE nobody", "DISABLE",
    "DUTIES", "BUDGETS", "DUTIES 1", "CONFIGURATION", "DRAIN FLEET", "DRAIN", "DRAIN", "READY", "UNDRAIN",
    "READY", "STOP", "", "READY now", "DISABLE a b", "DRAIN a b c", "DISABLE " + "x" * 600,
)  # fmt: skip


def call(port, line):
    """The reply to one line."""
    with socket.create_connection(("127.0.0.1", port), PATIENCE_S) as plug:
        plug.sendall(line.encode() + b"\n")
        plug.shutdown(socket.SHUT_WR)
        return plug.makefile("rb").read().decode()


def ready(port, process):
    """Wait until the gateway answers; no time is judged."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end and process.poll() is None:
        try:
            return call(port, "READY")
        except OSError:
            time.sleep(0.05)
    raise AssertionError("the gateway did not come up")


def replies(operator=None):
    """The replies of a gateway to a fixed list of calls."""
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
            return [[line[:40], steady(call(management, line))] for line in CALLS]
        finally:
            process.terminate()
            process.communicate(timeout=PATIENCE_S)


def steady(reply):
    """A reply without what differs from run to run: times, numbers of incarnations and tokens."""
    return re.sub(r"-?\d+(\.\d+)?", "N", reply) if reply.startswith("+OK {") else reply


def all_of_them():
    """Everything in this file, by name."""
    return {
        "settings": settings_errors(),
        "lists": list_errors(),
        "operator": operator_errors(),
        "exits": exits(),
        "replies": replies(),
    }
