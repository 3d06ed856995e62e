"""What passed in a rehearsal, as typed records in the order of one clock; the auditor reads nothing else.

A history is a file of JSON lines, each a list: the record's type, then its fields in their order here. Times
are milliseconds since the start. An attempt at a server has a number `n` of its own over the whole run.
"""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from typing import Any, TextIO

VERSION = 1


class HistoryError(ValueError):
    """A history that cannot be read; the text names the line."""


@dataclass(slots=True)
class Began:
    """The start, with the terms that bind: classes, plans, rules, prices, as `scenario.terms` has them."""

    t: float
    terms: dict[str, Any]


@dataclass(slots=True)
class Asked:
    """The last byte of a client's request is written. `op` is what the client wants, `turn` its n-th try."""

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
class Answered:
    """The last byte of an answer has come to the client. `source` is the attempt that its body names, or
    -1."""

    t: float
    id: str
    status: int
    source: int
    owner: str  # the request that the body was made for
    retry_ms: float


@dataclass(slots=True)
class Surplus:
    """Bytes beyond the answer to this request came on its connection."""

    t: float
    id: str


@dataclass(slots=True)
class Left:
    """The client stopped waiting: `overdue` (no answer in time), `broken` (the connection ended with no whole
    answer), `unreachable` (it never came up) or `went` (it closed of its own will)."""

    t: float
    id: str
    why: str


@dataclass(slots=True)
class Born:
    """A process of a server starts; capacity is in milliseconds of work a millisecond when warm."""

    t: float
    server: str
    life: int
    hall: str
    capacity: float
    cold_from: float  # 1: it starts warm
    warm_ms: float


@dataclass(slots=True)
class Died:
    """A process of a server has ended: `stopped`, `silent` (the machine is cut off) or `fell` (pushed
    over)."""

    t: float
    server: str
    life: int
    why: str


@dataclass(slots=True)
class Took:
    """A whole attempt has come to a server; its first byte came at `first_t`. `work_ms` is its class's
    mean."""

    t: float
    n: int
    id: str
    server: str
    life: int
    first_t: float
    kind: str
    work_ms: float


@dataclass(slots=True)
class Turned:
    """The server has written that it will not run this attempt."""

    t: float
    n: int


@dataclass(slots=True)
class Ran:
    """The ledger: an attempt took effect, or (`repeat`) was dropped as a repeat of a key."""

    t: float
    n: int
    repeat: bool


@dataclass(slots=True)
class Replied:
    """The server has written an answer to this attempt; `spoilt` ones are not what the server meant."""

    t: float
    n: int
    status: int
    spoilt: bool
    worked_ms: float


@dataclass(slots=True)
class Wasted:
    """Work was done on an attempt whose answer nobody waits for."""

    t: float
    n: int
    worked_ms: float


@dataclass(slots=True)
class Told:
    """The roster's agent has written this to a gatekeeper."""

    t: float
    gate: str
    server: str
    life: int
    status: str


@dataclass(slots=True)
class Had:
    """Word of a server has come to the agent beside a gatekeeper, and the agent could be reached."""

    t: float
    gate: str
    server: str
    life: int
    status: str


@dataclass(slots=True)
class Passed:
    """A datagram from one gatekeeper to another: `delivered`, `lost`, `cut` or `crowded out`."""

    t: float
    sender: str
    receiver: str
    size: int
    fate: str


@dataclass(slots=True)
class Gate:
    """A gatekeeper's process: `started`, `ready`, `term`, `kill`, `hup`, or `exited` with its code."""

    t: float
    gate: str
    what: str
    code: int


@dataclass(slots=True)
class Mark:
    """Something goes wrong, or is well again, by the script."""

    t: float
    text: str


@dataclass(slots=True)
class Lag:
    """The stand-ins' own loop came so much too late; its records of that while are late by as much."""

    t: float
    ms: float


@dataclass(slots=True)
class Ended:
    """The run is over, with the quantiles of the stand-ins' lag; what is open from here on is not judged."""

    t: float
    lag_p99_ms: float
    lag_max_ms: float


Record = (
    Began
    | Asked
    | Answered
    | Surplus
    | Left
    | Born
    | Died
    | Took
    | Turned
    | Ran
    | Replied
    | Wasted
    | Told
    | Passed
    | Gate
    | Mark
    | Lag
    | Ended
)
TYPES: dict[str, type[Any]] = {
    kind.__name__: kind
    for kind in (
        Began,
        Asked,
        Answered,
        Surplus,
        Left,
        Born,
        Died,
        Took,
        Turned,
        Ran,
        Replied,
        Wasted,
        Told,
        Had,
        Passed,
        Gate,
        Mark,
        Lag,
        Ended,
    )
}
_FIELDS = {name: tuple(field.name for field in fields(kind)) for name, kind in TYPES.items()}


def line_of(record: Record) -> str:
    """The record as a line of a history."""
    name = type(record).__name__
    return json.dumps([name, *(getattr(record, field) for field in _FIELDS[name])], separators=(",", ":"))


def record_from(line: str, number: int = 0) -> Record:
    """The record in a line; raises HistoryError."""
    try:
        name, *values = json.loads(line)
        if len(values) != len(_FIELDS[name]) or not isinstance(values[0], int | float):
            raise HistoryError(f"line {number}: a record {name!r} has other fields")
        return TYPES[name](*values)
    except (ValueError, TypeError, KeyError) as problem:
        if isinstance(problem, HistoryError):
            raise
        raise HistoryError(f"line {number}: no record: {line[:60]!r}") from problem


def read_history(lines: Iterable[str]) -> Iterator[Record]:
    """The records of a history; raises HistoryError, also for one that is out of order or of another
    version."""
    last = 0.0
    for number, line in enumerate(lines, 1):
        record = record_from(line, number)
        if number == 1 and (not isinstance(record, Began) or record.terms.get("version") != VERSION):
            raise HistoryError(f"line 1: not the start of a history of version {VERSION}")
        if record.t < last:
            raise HistoryError(f"line {number}: earlier than the line before")
        last = record.t
        yield record


class Recorder:
    """Hands each record, at once, to all that listen; and writes it, where a file is given.

    Ended is the last: what the fleet does while it is taken down belongs to no history.
    A file that can't be written is told once by `problem` and given up; the listeners go on.
    """

    def __init__(self) -> None:
        self.listeners: list[Any] = []  # each has feed(record)
        self.problem: str = ""
        self._file: TextIO | None = None
        self._over = False
        self._last_t = 0.0

    def write_to(self, file: TextIO) -> None:
        self._file = file

    def __call__(self, record: Record) -> None:
        if self._over:
            return
        self._over = isinstance(record, Ended)
        if record.t < self._last_t:  # of one turn of the loop, noted a moment after what it caused
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
        """Write no more; keep why."""
        self.problem = self.problem or f"the history could not be written: {problem.strerror}"
        file, self._file = self._file, None
        if file is not None:
            with contextlib.suppress(OSError):  # what is buffered cannot be written either, as told before
                file.close()

    def close(self) -> None:
        if self._file is not None:
            try:
                self._file.close()
            except OSError as problem:
                self.problem = self.problem or f"the history could not be written: {problem.strerror}"
            self._file = None
