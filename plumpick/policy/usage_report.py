"""Counts the usage of each gateway by period and plan, and collects it over the fleet. No I/O and no clock.

Each gateway keeps its counts of the last MAX_PERIODS periods. The owner of the usage task polls the gateways
for a period that is over, at a limited rate and with retries. If a gateway does not report, or started within
the period, the result has a gap for the missing time; usage is never estimated."""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field
from typing import Any, NamedTuple

MAX_PERIODS = 10  # Number of periods that a gateway keeps
# Outcomes of a request, equal to those in plumpick/gateway/request_table.py.
SERVED = 0
REJECTED = 1
FAILED = 2
POLL_INTERVAL_MS = 50.0  # Average time between two polls; limits the owner to 20 reports per second
# Wait after the first poll of a gateway. Each further wait is longer by the same time, so a gateway is given
# up after MAX_ATTEMPTS polls, which take 3 s.
RETRY_MS = 300.0
MAX_ATTEMPTS = 4
MAX_POLL_DEBT = 2  # Maximum number of polls that are made up for after a delay
MAX_ROWS_PER_MESSAGE = 12
NOT_COUNTED = 0xFFFFFFFF  # Value in place of a time if a gateway has no counts of the period
KIND_REQUEST = 1
KIND_REPORT = 2
# Kind, tag of the task, period, time in ms of the period from which on it was counted, part, number of parts
_HEADER = struct.Struct(">BIQIBB")
_ROW = struct.Struct(">BIIII")  # Plan, served, rejected, failed, units times _UNIT_SCALE
_UNIT_SCALE = 16
_UINT32_MAX = 0xFFFFFFFF

UsageRow = list[float]  # Numbers of served, rejected and failed requests, and units served


class UsageSnapshotError(ValueError):
    """Malformed counts in the snapshot of the hot-restart predecessor. The message gives the reason."""


class PeriodUsage(NamedTuple):
    """The usage that one gateway counted in a period, by plan index.

    `counted_from_ms`: time since the period's start from which on it was counted, or NOT_COUNTED."""

    counted_from_ms: int
    rows: dict[int, UsageRow]


class UsageGap(NamedTuple):
    """The part of a period for which the usage of a gateway is unknown, in ms since the period's start."""

    gateway: int
    from_ms: float
    until_ms: float


class FleetUsage(NamedTuple):
    """The usage of the fleet in a period: sums by plan index, and the gaps that are missing from them."""

    totals: dict[int, UsageRow]
    gaps: list[UsageGap]


class UsageCounter:
    """This gateway's usage in the last MAX_PERIODS periods, by plan index.

    `started_unix_ms`: time at which the gateway began to count, by the clock that numbers the periods."""

    def __init__(self, period_ms: float, started_unix_ms: float) -> None:
        self.period_ms = period_ms
        self.started_unix_ms = started_unix_ms
        self.periods: dict[int, dict[int, UsageRow]] = {}

    def count(self, unix_ms: float, plan: int, outcome: int, units: float) -> None:
        """Count a request with its final outcome, which is SERVED, REJECTED or FAILED. The units of other
        requests than served ones are not counted."""
        period = int(unix_ms // self.period_ms)
        rows = self.periods.get(period)
        if rows is None:
            rows = self.periods[period] = {}
            self._drop_old_periods()
        row = rows.setdefault(plan, [0, 0, 0, 0.0])
        row[outcome] += 1
        if outcome == SERVED:
            row[3] += units

    def _drop_old_periods(self) -> None:
        for old in sorted(self.periods)[:-MAX_PERIODS]:
            del self.periods[old]

    def start_again(self, unix_ms: float) -> None:
        """Begin to count anew, because counts from before this time are missing. All of the time before is
        then reported as not counted, as a report can't tell of a gap within a period."""
        self.started_unix_ms = unix_ms
        self.periods = {}

    def usage(self, unix_ms: float, period: int) -> PeriodUsage:
        """Return the usage in a period. It is NOT_COUNTED if the period is not over, is no longer kept, or
        was over before this gateway began to count."""
        newest = int(unix_ms // self.period_ms)
        counted_from_ms = max(0.0, self.started_unix_ms - period * self.period_ms)
        if not newest - MAX_PERIODS < period < newest or counted_from_ms >= self.period_ms:
            return PeriodUsage(NOT_COUNTED, {})
        return PeriodUsage(math.ceil(counted_from_ms), self.periods.get(period, {}))

    def capture(self) -> dict[str, object]:
        """Return the counts for the hot-restart successor, as values that JSON can hold."""
        return {
            "born": self.started_unix_ms,
            "periods": [
                [period, [[plan, *row] for plan, row in rows.items()]]
                for period, rows in self.periods.items()
            ],
        }

    def restore(self, state: dict[str, Any]) -> None:
        """Continue from the counts that `capture` returned, and add what was counted here since. Raises
        UsageSnapshotError if they are malformed, and then changes nothing."""
        try:
            started_unix_ms = float(state["born"])
            periods = {
                int(period): {int(plan): [float(value) for value in row] for plan, *row in rows}
                for period, rows in state["periods"]
            }
        except (KeyError, TypeError, ValueError) as problem:
            raise UsageSnapshotError(str(problem)) from problem
        if any(len(row) != 4 for rows in periods.values() for row in rows.values()):
            raise UsageSnapshotError("malformed usage row: expected 4 values of a plan")
        counted_here = self.periods
        self.started_unix_ms = started_unix_ms
        self.periods = periods
        for period, rows in counted_here.items():
            _add(self.periods.setdefault(period, {}), rows)
        self._drop_old_periods()


@dataclass(frozen=True, slots=True)
class UsageMessage:
    """A decoded message: a request for the usage in a period, or one part of a report."""

    kind: int
    tag: int
    period: int
    counted_from_ms: int
    part: int
    parts: int
    rows: dict[int, UsageRow]


def encode_request(tag: int, period: int) -> bytes:
    """Encode the message that requests the usage in a period. `tag`: identifies the task in the report."""
    return _HEADER.pack(KIND_REQUEST, tag, period, 0, 0, 1)


def encode_report(tag: int, period: int, usage: PeriodUsage) -> list[bytes]:
    """Encode the report on a period, in messages of at most MAX_ROWS_PER_MESSAGE rows."""
    plans = sorted(usage.rows)
    parts = max(1, math.ceil(len(plans) / MAX_ROWS_PER_MESSAGE))
    messages = []
    for part in range(parts):
        header = _HEADER.pack(KIND_REPORT, tag, period, usage.counted_from_ms, part, parts)
        first = part * MAX_ROWS_PER_MESSAGE
        rows = [_encode_row(plan, usage.rows[plan]) for plan in plans[first : first + MAX_ROWS_PER_MESSAGE]]
        messages.append(header + b"".join(rows))
    return messages


def _encode_row(plan: int, row: UsageRow) -> bytes:
    counts = (min(_UINT32_MAX, int(value)) for value in row[:3])
    return _ROW.pack(plan, *counts, min(_UINT32_MAX, round(row[3] * _UNIT_SCALE)))


def decode(data: bytes) -> UsageMessage | None:
    """Decode a message; returns None if the bytes are not a valid one."""
    if len(data) < _HEADER.size or (len(data) - _HEADER.size) % _ROW.size:
        return None
    if data[0] not in (KIND_REQUEST, KIND_REPORT):
        return None
    kind, tag, period, counted_from_ms, part, parts = _HEADER.unpack_from(data)
    if not part < parts:
        return None
    rows = {
        plan: [served, rejected, failed, units / _UNIT_SCALE]
        for plan, served, rejected, failed, units in _ROW.iter_unpack(data[_HEADER.size :])
    }
    return UsageMessage(kind, tag, period, counted_from_ms, part, parts, rows)


@dataclass(slots=True)
class _GatewayReport:
    """The polls of one gateway, and the parts of its report received so far."""

    attempts: int = 0  # Number of polls of the gateway so far
    next_ms: float = 0.0  # Time of the next poll of the gateway
    counted_from_ms: int = -1
    parts: dict[int, dict[int, UsageRow]] = field(default_factory=dict)  # Received rows by part number
    part_count: int = 0  # Number of parts of the whole report; 0 before the first has been received

    @property
    def is_complete(self) -> bool:
        return self.part_count > 0 and len(self.parts) == self.part_count

    def is_given_up(self, now_ms: float) -> bool:
        return self.attempts >= MAX_ATTEMPTS and now_ms >= self.next_ms


def max_collection_ms(gateways: int) -> float:
    """Return the maximum duration of a collection in ms, which it takes if no gateway reports."""
    return RETRY_MS * MAX_ATTEMPTS * (MAX_ATTEMPTS + 1) / 2 + gateways * MAX_ATTEMPTS * POLL_INTERVAL_MS


class UsageCollection:
    """Collects the reports of all gateways on one period, for the task's owner."""

    def __init__(self, gateways: int, now_ms: float) -> None:
        self._reports = {gateway: _GatewayReport() for gateway in range(gateways)}
        self._next_ms = now_ms

    def on_report(self, sender: int, message: UsageMessage) -> None:
        """Take one part of the report of the gateway `sender`. Parts of unknown gateways, and of those with a
        complete report, are ignored."""
        report = self._reports.get(sender)
        if report is None or report.is_complete:
            return
        if (message.counted_from_ms, message.parts) != (report.counted_from_ms, report.part_count):
            # The part is of another incarnation of the gateway, and does not fit the parts received before.
            report.counted_from_ms = message.counted_from_ms
            report.part_count = message.parts
            report.parts = {}
        report.parts[message.part] = message.rows

    def gateways_to_poll(self, now_ms: float) -> list[int]:
        """Return the gateways to poll now, and count them as polled. The average rate is one gateway in
        POLL_INTERVAL_MS."""
        gateways: list[int] = []
        waiting = sorted(
            (report.next_ms, gateway)
            for gateway, report in self._reports.items()
            if not report.is_complete and report.attempts < MAX_ATTEMPTS
        )
        for next_ms, gateway in waiting:
            if next_ms > now_ms or self._next_ms > now_ms:
                break
            report = self._reports[gateway]
            report.attempts += 1
            report.next_ms = now_ms + RETRY_MS * report.attempts
            earliest_ms = now_ms - MAX_POLL_DEBT * POLL_INTERVAL_MS
            self._next_ms = max(self._next_ms, earliest_ms) + POLL_INTERVAL_MS
            gateways.append(gateway)
        return gateways

    def is_over(self, now_ms: float) -> bool:
        """Whether every gateway has reported completely or was given up."""
        return all(report.is_complete or report.is_given_up(now_ms) for report in self._reports.values())

    def result(self, period_ms: float) -> FleetUsage:
        """Return the sums of the complete reports, and the gaps: the whole period for a gateway without a
        complete report, and the time before a gateway began to count."""
        totals: dict[int, UsageRow] = {}
        gaps: list[UsageGap] = []
        for gateway, report in self._reports.items():
            if not report.is_complete or report.counted_from_ms == NOT_COUNTED:
                gaps.append(UsageGap(gateway, 0.0, period_ms))
                continue
            if report.counted_from_ms:
                gaps.append(UsageGap(gateway, 0.0, float(report.counted_from_ms)))
            for rows in report.parts.values():
                _add(totals, rows)
        return FleetUsage(totals, gaps)


def _add(totals: dict[int, UsageRow], rows: dict[int, UsageRow]) -> None:
    for plan, row in rows.items():
        total = totals.setdefault(plan, [0, 0, 0, 0.0])
        for place, value in enumerate(row):
            total[place] += value
