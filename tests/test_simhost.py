"""The simulator's adapter, started by the deploy file's `sim` command."""

import json
import pathlib
import subprocess
import sys
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
INFO = {
    "balancers": 2,
    "myNumber": 0,
    "locality": "a",
    "tickMs": 4.0,
    "unheard": {"of": 1},
    "classes": [{"name": "look", "aimMs": 500.0, "deadlineMs": 2000.0, "worth": 1.0, "repeat": "retryable"}],
    "packages": [{"name": "basic", "perSecond": 5.0, "storeSize": 10.0}],
    "limits": {"maxAttempts": 3, "cancel": True, "mayTell": True},
    "rules": {"warmUpMs": 9000.0, "coldFrom": 0.2, "fallMultiple": 3.0, "tipAfterMs": 1000.0},
}
FLEET = "FLEET\tcached\t1\t1\nWORKER\tw:1\ta\tkind\t0\tRunning\t1\t-\n"


def start(info=INFO):
    return f"SYNC\t1000\nSWITCH_TO\t0\nCONFIGURE\t7\t{json.dumps(info)}\n{FLEET}YOUR_TURN\n"


def run_simhost(text):
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    assert command == "exec .venv/bin/python -m plumpick.simhost"
    command = command.replace(".venv/bin/python", sys.executable)
    return subprocess.run(["/bin/sh", "-c", command], input=text, cwd=ROOT, text=True, capture_output=True)


def test_request_is_handed_off_and_end_of_input_exits_0():
    result = run_simhost(
        "SYNC\t900\nYOUR_TURN\n" + start() + "SYNC\t1004\nSWITCH_TO\t0\n"
        "REQUEST\t5\t0\t2\t1\t2500\t0\t00ff00ff00ff00ff\tlook\tbasic\nYOUR_TURN\n"
        "SYNC\t1050\nSWITCH_TO\t0\nVERDICT\t5\t0\t0\tw:1\t40\tok\t1\t0\t-\nYOUR_TURN\n"
    )
    assert result.returncode == 0 and result.stderr == ""
    replies = result.stdout.split("FINISHED\n")
    assert replies[0] == "" and "HAND_OFF\t5\tw:1\t" in replies[2] and len(replies) == 5


@pytest.mark.parametrize(
    "line, names",
    [
        ("REQUEST\t5\t0\t2\t1\tsoon\t0\tff\tlook\tbasic", ("REQUEST", "dueMs")),
        ("REQUEST\t5\t0", ("REQUEST", "fields")),
        ("REQUEST\t-5\t0\t2\t1\t2500\t0\tff\tlook\tbasic", ("REQUEST", "requestId")),
        ("VERDICT\t5\t0\t0\tw:1\t40\tgreat\t1\t0\t-", ("VERDICT", "result")),
        ("VERDICT\t5\t0\t0\tw:1\tnan\tok\t1\t0\t-", ("VERDICT", "rttMs")),
        ("FROM_PEER\t1\txyz", ("FROM_PEER", "data")),
        ("FLEET\tsome\t1\t0", ("FLEET", "mode")),
        ("FLEET\tfull\t1\t2\nWORKER\tw:1\ta\tkind\t0\tRunning\t1\t-", ("FLEET", "rows")),
        ("WORKER\tw:1\ta\tkind\t0\tRunning\t1\t-", ("WORKER", "place")),
    ],
)
def test_malformed_message_is_named_and_ends_the_process(line, names):
    result = run_simhost(start() + f"SYNC\t1004\nSWITCH_TO\t0\n{line}\nYOUR_TURN\n")
    assert result.returncode != 0 and "Traceback" not in result.stderr
    assert all(name in result.stderr for name in names)


def test_unknown_message_is_reported_once_and_skipped():
    result = run_simhost(start() + "SYNC\t1004\nSWITCH_TO\t0\nPARADE\t1\nPARADE\t2\nYOUR_TURN\n")
    assert result.returncode == 0 and result.stderr.count("PARADE") == 1


def info_with(path, value):
    info = json.loads(json.dumps(INFO))
    *keys, last = path
    container = info
    for step in keys:
        container = container[step]
    if value is None:
        del container[last]
    else:
        container[last] = value
    return info


@pytest.mark.parametrize(
    "path, value, name",
    [
        (("balancers",), None, "balancers"),
        (("rules", "coldFrom"), None, "coldFrom"),
        (("classes", 0, "repeat"), "never", "repeat"),
        (("packages", 0, "perSecond"), -1, "rate_per_s"),
        (("classes",), [], "classes"),
        (("limits", "maxAttempts"), "six", "maxAttempts"),
        (("rules",), 3, "rules"),
    ],
)
def test_invalid_settings_are_rejected_with_their_key(path, value, name):
    result = run_simhost(start(info_with(path, value)))
    assert result.returncode != 0 and name in result.stderr and "Traceback" not in result.stderr


def test_exception_of_the_module_is_reported_to_the_simulator(monkeypatch, capsys):
    import io

    from plumpick import simhost
    from plumpick.policy.controller import Controller

    monkeypatch.setattr(Controller, "handle", lambda self, now, events: 1 / 0)
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(start().encode())))
    out = io.TextIOWrapper(io.BytesIO())
    monkeypatch.setattr(sys, "stdout", out)
    assert simhost.main() == 1
    out.seek(0)
    assert out.read() == "FROM\t0\nBUG\tinstance 0: ZeroDivisionError: division by zero\nFINISHED\n"


def test_gateways_act_the_same_in_one_process_and_in_two():
    def batch(*numbers):
        text = "SYNC\t1000\n"
        for n in numbers:
            text += f"SWITCH_TO\t{n}\nCONFIGURE\t{n + 7}\t{json.dumps(dict(INFO, myNumber=n))}\n{FLEET}"
        text += "YOUR_TURN\n"
        for now in range(1004, 1600, 4):
            text += f"SYNC\t{now}\n"
            for n in numbers:
                text += f"SWITCH_TO\t{n}\nFIRED\tagenda\n"
                text += f"REQUEST\t{now * 2 + n}\t0\t2\t1\t2500\t0\tff{n}\tlook\tbasic\n"
            text += "YOUR_TURN\n"
        return [reply.split("FROM\t") for reply in run_simhost(text).stdout.split("FINISHED\n")]

    both, first, second = batch(0, 1), batch(0), batch(1)
    assert sum(len(reply) for reply in both) > 100
    for together, one, two in zip(both, first, second, strict=True):
        assert together[1:] == one[1:] + two[1:]
