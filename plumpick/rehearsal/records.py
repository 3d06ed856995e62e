"""Typed records of everything observed in a rehearsal, ordered by one clock; the auditor's only input.

A history is a file of JSON lines. Each line is a list: the name of the record type, then the record's fields
in the order in which its class declares them. Times are in milliseconds since the start of the run. An
attempt at a worker is identified by a number `n` that is unique within the run.
"""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from typing import Any, TextIO

VERSION = 1


class HistoryError(ValueError):
    """A history is malformed; the message names the line."""


@dataclass(slots=True)
class RunStarted:
    """The run has started; `terms` holds its classes, plans, rules and prices as made by `Scenario.terms`."""

    t: float
    terms: dict[str, Any]


@dataclass(slots=True)
class RequestSent:
    """A client has written the last byte of a request.

    `op` identifies the operation that the client wants; all its tries share it. `turn` is the index of the
    try, from 0.
    """

    t: float
    id: str
    op: int
    turn: int
    firm: str
    plan: str
    kind: str
    gate: str
    wait_ms: float
    units: float
    key: str


@dataclass(slots=True)
class ResponseReceived:
    """A client has received the last byte of a response.

    `source` is the number of the attempt named in the body, -1 if the body names none.
    """

    t: float
    id: str
    status: int
    source: int
    owner: str  # id of the request for which the worker made the body
    retry_ms: float


@dataclass(slots=True)
class ExtraBytesReceived:
    """A client has received bytes after the end of the response, on the connection of this request."""

    t: float
    id: str


@dataclass(slots=True)
class RequestAbandoned:
    """A client has stopped waiting for a response.

    `why` is `overdue` (no response in time), `broken` (the connection ended before a complete response),
    `unreachable` (the connection could not be opened) or `went` (the client closed it deliberately).
    """

    t: float
    id: str
    why: str


@dataclass(slots=True)
class WorkerStarted:
    """A worker process has started; `capacity` is in milliseconds of work per millisecond when warm."""

    t: float
    server: str
    life: int
    hall: str
    capacity: float
    cold_from: float  # share of its capacity that the worker has at its start; 1: it starts warm
    warm_ms: float


@dataclass(slots=True)
class WorkerEnded:
    """A worker process has ended.

    `why` is `stopped`, `silent` (its machine was cut off from the network) or `fell` (overloaded while cold).
    """

    t: float
    server: str
    life: int
    why: str


@dataclass(slots=True)
class AttemptReceived:
    """A worker has received a complete attempt.

    Its first byte arrived at `first_t`. `work_ms` is the mean work of the request class.
    """

    t: float
    n: int
    id: str
    server: str
    life: int
    first_t: float
    kind: str
    work_ms: float


@dataclass(slots=True)
class AttemptRejected:
    """A worker has answered that it rejects this attempt without running it."""

    t: float
    n: int


@dataclass(slots=True)
class AttemptExecuted:
    """An attempt took effect, or with `repeat` was dropped because its idempotency key had been used."""

    t: float
    n: int
    repeat: bool


@dataclass(slots=True)
class AttemptAnswered:
    """A worker has written the answer to this attempt; `spoilt` marks an answer corrupted by a fault."""

    t: float
    n: int
    status: int
    spoilt: bool
    worked_ms: float


@dataclass(slots=True)
class WorkWasted:
    """A worker has spent work on an attempt whose answer no client waits for any more."""

    t: float
    n: int
    worked_ms: float


@dataclass(slots=True)
class StatusSent:
    """The discovery agent has written the status of a worker to a gateway."""

    t: float
    gate: str
    server: str
    life: int
    status: str


@dataclass(slots=True)
class StatusAvailable:
    """The status of a worker has reached the discovery agent of a gateway, and the agent was reachable."""

    t: float
    gate: str
    server: str
    life: int
    status: str


@dataclass(slots=True)
class DatagramHandled:
    """The relay has handled a datagram between two gateways.

    `fate` is `delivered`, `lost`, `cut` (by a network split) or `crowded out` (the inbox was full).
    """

    t: float
    sender: str
    receiver: str
    size: int
    fate: str


@dataclass(slots=True)
class GatewayEvent:
    """A gateway process `started`, is `ready`, was sent `term`, `kill` or `hup`, or `exited` with `code`."""

    t: float
    gate: str
    what: str
    code: int


@dataclass(slots=True)
class ScriptEvent:
    """The script of the scenario has injected a fault or ended one; `text` describes it."""

    t: float
    text: str


@dataclass(slots=True)
class LoopLag:
    """The event loop of the stubs ran `ms` late, so the records of that time may be late by as much."""

    t: float
    ms: float


@dataclass(slots=True)
class RunEnded:
    """The run is over, with quantiles of the lag of the stubs' event loop.

    Requests that are still open are not audited.
    """

    t: float
    lag_p99_ms: float
    lag_max_ms: float


Record = (
    RunStarted
    | RequestSent
    | ResponseReceived
    | ExtraBytesReceived
    | RequestAbandoned
    | WorkerStarted
    | WorkerEnded
    | AttemptReceived
    | AttemptRejected
    | AttemptExecuted
    | AttemptAnswered
    | WorkWasted
    | StatusSent
    | DatagramHandled
    | GatewayEvent
    | ScriptEvent
    | LoopLag
    | RunEnded
)
# Record types by the name under which histories store them; the names must not change.
TYPES: dict[str, type[Any]] = {
    "Began": RunStarted,
    "Asked": RequestSent,
    "Answered": ResponseReceived,
    "Surplus": ExtraBytesReceived,
    "Left": RequestAbandoned,
    "Born": WorkerStarted,
    "Died": WorkerEnded,
    "Took": AttemptReceived,
    "Turned": AttemptRejected,
    "Ran": AttemptExecuted,
    "Replied": AttemptAnswered,
    "Wasted": WorkWasted,
    "Told": StatusSent,
    "Had": StatusAvailable,
    "Passed": DatagramHandled,
    "Gate": GatewayEvent,
    "Mark": ScriptEvent,
    "Lag": LoopLag,
    "Ended": RunEnded,
}
_NAMES = {kind: name for name, kind in TYPES.items()}
_FIELDS = {name: tuple(field.name for field in fields(kind)) for name, kind in TYPES.items()}


def type_name(record: Record) -> str:
    """Return the name under which histories store the type of the record."""
    return _NAMES[type(record)]


def line_of(record: Record) -> str:
    """Return the record as a line of a history, without the line end."""
    name = _NAMES[type(record)]
    return json.dumps([name, *(getattr(record, field) for field in _FIELDS[name])], separators=(",", ":"))


def record_from(line: str, number: int = 0) -> Record:
    """Return the record on line `number` of a history; raises HistoryError if the line is malformed."""
    try:
        name, *values = json.loads(line)
        if len(values) != len(_FIELDS[name]) or not isinstance(values[0], int | float):
            raise HistoryError(
                f"line {number}: record {name!r} has the wrong fields, expected {', '.join(_FIELDS[name])}"
            )
        return TYPES[name](*values)
    except (ValueError, TypeError, KeyError) as problem:
        if isinstance(problem, HistoryError):
            raise
        raise HistoryError(f"line {number}: not a record, got {line[:60]!r}") from problem


def read_history(lines: Iterable[str]) -> Iterator[Record]:
    """Yield the records of a history.

    Raises HistoryError if a line is malformed, out of order, or the history has another version.
    """
    last = 0.0
    for number, line in enumerate(lines, 1):
        record = record_from(line, number)
        if number == 1 and (not isinstance(record, RunStarted) or record.terms.get("version") != VERSION):
            raise HistoryError(f"line 1: expected the start of a history of version {VERSION}")
        if record.t < last:
            raise HistoryError(f"line {number}: earlier ({record.t} ms) than the line before ({last} ms)")
        last = record.t
        yield record


class Recorder:
    """Passes each record synchronously to all listeners and writes it to the history file, if there is one.

    Records after RunEnded are dropped: the shutdown of the fleet is not part of the history. On the first
    write error the file is closed and `problem` is set; the listeners still receive all records.
    """

    def __init__(self) -> None:
        self.listeners: list[Any] = []  # receivers of each record: objects with a method feed(record)
        self.problem: str = ""  # why the history is incomplete, empty if it is complete
        self._file: TextIO | None = None
        self._over = False
        self._last_t = 0.0

    def write_to(self, file: TextIO) -> None:
        self._file = file

    def __call__(self, record: Record) -> None:
        if self._over:
            return
        self._over = isinstance(record, RunEnded)
        # Within one iteration of the event loop a cause may be recorded just after its effect.
        if record.t < self._last_t:
            record.t = self._last_t
        self._last_t = record.t
        for listener in self.listeners:
            listener.feed(record)
        if self._file is not None:
            try:
                self._file.write(line_of(record) + "\n")
            except OSError as problem:
                self.give_up(problem)

    def give_up(self, problem: OSError) -> None:
        """Stop writing the history and keep the reason in `problem`."""
        self.problem = self.problem or f"the history could not be written: {problem.strerror}"
        file, self._file = self._file, None
        if file is not None:
            with contextlib.suppress(OSError):  # flushing the buffer fails for the same reason
                file.close()

    def close(self) -> None:
        if self._file is not None:
            try:
                self._file.close()
            except OSError as problem:
                self.problem = self.problem or f"the history could not be written: {problem.strerror}"
            self._file = None
