"""Adapter between the simulator's line protocol and the decision module.

Reads batches of messages from standard input, passes them to one Controller for each simulated gateway, and
writes their actions to standard output. A malformed message ends the process with one line on standard error.
"""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from plumpick.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    ProbeEndpoint,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    ClientDisconnected,
    CounterReplied,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    Event,
    PeerMessageReceived,
    ProbeCompleted,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from plumpick.policy.settings_parser import parse_settings

_ENDPOINT_STATES = {
    "Running": EndpointState.READY,
    "Stopping": EndpointState.DRAINING,
    "Deleted": EndpointState.GONE,
}
_CLIENT_RETRY_BIT = 2


class WireError(Exception):
    """A malformed message; the text names the message and the field."""


class ModuleFault(Exception):
    """An exception of the decision module; the text is the reply lines that report it, with the instance."""


# ---- parsers of field values; each raises ValueError or KeyError for a malformed text -------------


def _number(text: str) -> float:
    if text == "-":
        return 0.0
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def _integer(text: str) -> int:
    return 0 if text == "-" else int(text)


def _non_negative_integer(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


def _non_empty_text(text: str) -> str:
    if not text or text == "-":
        raise ValueError(text)
    return text


def _text(text: str) -> str:
    return text


def _flag(text: str) -> bool:
    if text not in ("0", "1", "-"):
        raise ValueError(text)
    return text == "1"


def _bytes(text: str) -> bytes:
    return b"" if text == "-" else bytes.fromhex(text)


def _number_list(text: str) -> tuple[float, ...]:
    return () if text in ("-", "") else tuple(_number(part) for part in text.split(","))


def _result(text: str) -> AttemptResult:
    return AttemptResult(text)


def _mode(text: str) -> str:
    if text not in ("delta", "full", "cached", "failed"):
        raise ValueError(text)
    return text


def _state(text: str) -> EndpointState:
    return _ENDPOINT_STATES[text]


FieldParser = Callable[[str], Any]
# Name and parser of each field of a message, in the order of the protocol.
_FIELDS: dict[str, tuple[tuple[str, FieldParser], ...]] = {
    "SYNC": (("clock", _number),),
    "YOUR_TURN": (),
    "SWITCH_TO": (("gatekeeper", _non_negative_integer),),
    "CONFIGURE": (("salt", _integer), ("info", _text)),
    "KILL": (),
    "FLEET": (("mode", _mode), ("rev", _integer), ("rows", _integer)),
    "WORKER": (
        ("worker", _non_empty_text),
        ("zone", _text),
        ("sku", _text),
        ("pod", _integer),
        ("health", _state),
        ("share", _number),
        ("onlineSinceMs", _number),
    ),
    "REQUEST": (
        ("requestId", _non_negative_integer),
        ("setFrom", _number),
        ("doors", _number),
        ("sizeUnits", _number),
        ("dueMs", _number),
        ("stateBits", _integer),
        ("member", _non_empty_text),
        ("category", _non_empty_text),
        ("gradeOfService", _non_empty_text),
    ),
    "ACK_FIRST": (
        ("requestId", _non_negative_integer),
        ("worker", _non_empty_text),
        ("rttMs", _number),
        ("roundNo", _non_negative_integer),
    ),
    "VERDICT": (
        ("requestId", _non_negative_integer),
        ("roundNo", _non_negative_integer),
        ("actual", _number),
        ("worker", _non_empty_text),
        ("rttMs", _number),
        ("result", _result),
        ("final", _flag),
        ("quotaUse", _integer),
        ("load", _number_list),
    ),
    "CLIENT_GONE": (("requestId", _non_negative_integer),),
    "FIRED": (("name", _non_empty_text),),
    "PONG": (("worker", _non_empty_text), ("rttMs", _number), ("result", _result), ("load", _number_list)),
    "FROM_PEER": (("originPeer", _non_negative_integer), ("data", _bytes)),
    "LEDGER_REPLY": (
        ("nowAt", _number),
        ("result", _result),
        ("rttMs", _number),
        ("counter", _non_empty_text),
    ),
}
_ENDS_IN_TEXT = {"CONFIGURE"}


def _parse_fields(name: str, parts: list[str]) -> list[Any]:
    """Parse the fields of a message. Raises WireError."""
    fields = _FIELDS[name]
    if name in _ENDS_IN_TEXT and len(parts) > len(fields):
        parts = [*parts[: len(fields) - 1], "\t".join(parts[len(fields) - 1 :])]
    if len(parts) != len(fields):
        raise WireError(f"{name}: expected {len(fields)} fields, got {len(parts)}")
    values = []
    for (field, read), part in zip(fields, parts, strict=True):
        try:
            values.append(read(part))
        except (ValueError, KeyError) as problem:
            raise WireError(f"{name}: field {field}: invalid value {part[:80]!r}") from problem
    return values


# ---- batches of messages ------------------------------------------------------------------------


def _event(name: str, values: list[Any]) -> Event:
    """Convert a message to an event of the decision module."""
    if name == "REQUEST":
        number, first_gateway, gateway_set_size, units, deadline_ms, flags, customer, category, plan = values
        return RequestReceived(
            number,
            customer,
            category,
            plan,
            deadline_ms,
            units,
            int(first_gateway),
            int(gateway_set_size),
            bool(flags & _CLIENT_RETRY_BIT),
        )
    if name == "VERDICT":
        number, attempt, actual, worker, latency_ms, result, final, used, load = values
        return AttemptCompleted(number, attempt, worker, latency_ms, result, final, actual, used, load)
    if name == "ACK_FIRST":
        number, worker, _latency_ms, attempt = values
        return ResponseStarted(number, attempt, worker)
    if name == "CLIENT_GONE":
        return ClientDisconnected(values[0])
    if name == "FIRED":
        return TimerFired(values[0])
    if name == "FROM_PEER":
        return PeerMessageReceived(values[0], values[1])
    if name == "PONG":
        return ProbeCompleted(*values)
    return CounterReplied(values[3])


def _reply_line(action: Action) -> str:
    """Convert an action to a line of the protocol."""
    match action:
        case StartAttempt(number, endpoint, timeout_ms):
            return f"HAND_OFF\t{number}\t{endpoint}\t{timeout_ms:.3f}"
        case RejectRequest(number, retry_after_ms):
            return f"DENY\t{number}\t{retry_after_ms:.3f}"
        case FailRequest(number):
            return f"FINISH_ERROR\t{number}"
        case CancelAttempt(number, attempt):
            return f"DROP_ATTEMPT\t{number}\t{attempt}"
        case SetTimer(delay_ms, name):
            return f"SET_ALARM\t{delay_ms:.3f}\t{name}"
        case SendPeerMessage(receiver, data):
            return f"NOTIFY\t{receiver}\t{data.hex() or '-'}"
        case ProbeEndpoint(endpoint):
            return f"INSPECT\t{endpoint}"
        case WatchEndpoints():
            return "TRACK\t1"


class Host:
    """Hosts the simulated gateways, each with a separate Controller that shares no state with the others.

    `input_lines`: lines of the protocol; `output`: stream for replies; `warnings`: stream for one line on
    each unknown message."""

    def __init__(self, input_lines: Iterator[str], output: TextIO, warnings: TextIO) -> None:
        self._input, self._output, self._warnings = input_lines, output, warnings
        self._instances: dict[int, Controller] = {}
        self._reported: set[str] = set()

    def run(self) -> None:
        """Serve batches until the end of the input. Raises WireError and ModuleFault."""
        for line in self._input:
            name, *parts = line.rstrip("\n").split("\t")
            if name != "SYNC":
                if name:
                    self._report_unknown(name)
                continue
            if not self._serve_batch(_parse_fields("SYNC", parts)[0]):
                return

    def _report_unknown(self, name: str) -> None:
        """Warn once of an unknown message, which is skipped. Raises WireError for a known message."""
        if name in _FIELDS:
            raise WireError(f"{name}: not allowed in this place of a batch")
        if name not in self._reported:
            self._reported.add(name)
            print(f"simhost: skipped unknown message {name[:80]!r}", file=self._warnings)

    def _serve_batch(self, now_ms: float) -> bool:
        """Read one batch up to YOUR_TURN and write its replies. `now_ms`: the batch's time. Returns False if
        the input ends within the batch."""
        events: dict[int, list[Event]] = {}
        replies: list[str] = []
        current: int | None = None
        for line in self._input:
            name, *parts = line.rstrip("\n").split("\t")
            if name == "YOUR_TURN":
                for number in events:
                    self._run_turn(number, now_ms, events[number], replies)
                self._output.write("".join(reply + "\n" for reply in replies) + "FINISHED\n")
                self._output.flush()
                return True
            if name not in _FIELDS or name in ("SYNC", "WORKER"):
                self._report_unknown(name)
                continue
            values = _parse_fields(name, parts)
            if name == "SWITCH_TO":
                current = values[0]
                continue
            if current is None:
                raise WireError(f"{name}: missing SWITCH_TO before this message")
            if name == "KILL":
                self._instances.pop(current, None)
                events.pop(current, None)
            elif name == "CONFIGURE":
                events.pop(current, None)
                self._configure(current, values[0], values[1])
                events[current] = []
            elif name == "FLEET":
                events.setdefault(current, []).append(self._read_fleet(*values))
            else:
                events.setdefault(current, []).append(_event(name, values))
        return False

    def _read_fleet(self, mode: str, _rev: int, count: int) -> EndpointsUpdated:
        endpoints = []
        while len(endpoints) < count:
            line = next(self._input, None)
            name, *parts = (line or "").rstrip("\n").split("\t")
            if name != "WORKER":
                raise WireError(f"FLEET: field rows: expected {count} WORKER messages, got {len(endpoints)}")
            worker, zone, _sku, group, state, weight, started_ms = _parse_fields("WORKER", parts)
            endpoints.append(Endpoint(worker, zone, group, state, weight, started_ms))
        return EndpointsUpdated(
            tuple(endpoints), is_snapshot=mode in ("full", "cached"), is_failure=mode == "failed"
        )

    def _configure(self, number: int, seed: int, info: str) -> None:
        try:
            value = json.loads(info)
        except ValueError as problem:
            raise WireError(f"CONFIGURE: field info: invalid JSON: {problem}") from problem
        try:
            self._instances[number] = Controller(parse_settings(value), seed)
        except ValueError as problem:
            raise WireError(f"CONFIGURE: field {problem}") from problem

    def _run_turn(self, number: int, now_ms: float, events: list[Event], replies: list[str]) -> None:
        if number not in self._instances:
            raise WireError(f"SWITCH_TO: field gatekeeper: {number} was not configured")
        try:
            actions = self._instances[number].handle(now_ms, events)
            for exception in self._instances[number].faults:
                raise exception
        except Exception as problem:
            raise ModuleFault(
                f"FROM\t{number}\nBUG\tinstance {number}: {type(problem).__name__}: "
                f"{' '.join(str(problem).split())}"
            ) from problem
        if actions:
            replies.append(f"FROM\t{number}")
            replies.extend(_reply_line(action) for action in actions)


def main() -> int:
    """Serve the simulator's batches on standard input. Returns the exit code: 0 at the end of the input, 1
    after an exception of the decision module, 2 after a malformed message."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        Host(iter(sys.stdin.readline, ""), sys.stdout, sys.stderr).run()
    except (WireError, UnicodeDecodeError) as problem:
        print(f"simhost: {problem}", file=sys.stderr)
        return 2
    except ModuleFault as exception:
        import traceback

        traceback.print_exception(exception.__cause__, file=sys.stderr)
        print(f"{exception}\nFINISHED", flush=True)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
