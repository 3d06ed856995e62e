"""The fleet's usage in a period: what each gateway counted, and how the owner collects it. No I/O, no clock.

Each gateway counts by period and plan, and keeps the last few periods. The owner polls each gateway for a
period that is over, a few a second, with retries; what nobody reports is stated as a gap, never guessed. A
gateway that started within the period says from when on it counted: the time before is a gap, too."""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field
from typing import Any, NamedTuple

MAX_PERIODS = 10  # that a gateway keeps
SERVED = 0  # outcomes of a request, as in plumpick/gateway/request_table.py
REJECTED = 1
FAILED = 2
POLL_INTERVAL_MS = 50.0  # the owner polls one gateway in so long, and takes in 20 reports a second
RETRY_MS = 300.0  # the wait grows by as much each time: a gateway is given up after 3 s
MAX_ATTEMPTS = 4
MAX_POLL_DEBT = 2  # polls that may be made up for after a delay
MAX_ROWS_PER_MESSAGE = 12
NOT_COUNTED = 0xFFFFFFFF  # in place of a time: the gateway knows nothing of the period
KIND_REQUEST = 1
KIND_REPORT = 2
_HEADER = struct.Struct(">BIQIBB")  # kind, the task's tag, period, counted from that ms of it, part, parts
_ROW = struct.Struct(">BIIII")  # plan, served, rejected, failed, units x 16
_UNIT_SCALE = 16
_UINT32_MAX = 0xFFFFFFFF

UsageRow = list[float]  # served, rejected, failed, units


class UsageSnapshotError(ValueError):
    """Counts of the process before that cannot be used; the text gives the reason."""


class PeriodUsage(NamedTuple):
    """What one gateway counted in a period, by plan; `counted_from_ms` of the period on, or NOT_COUNTED."""

    counted_from_ms: int
    rows: dict[int, UsageRow]


class UsageGap(NamedTuple):
    """From when to when of the period it is not known what a gateway did."""

    gateway: int
    from_ms: float
    until_ms: float


class FleetUsage(NamedTuple):
    """The sums of a period by plan, and what is missing from them."""

    totals: dict[int, UsageRow]
    gaps: list[UsageGap]


class UsageCounter:
    """What this gateway counted. Owns MAX_PERIODS periods, each with the plans that occurred in it."""

    def __init__(self, period_ms: float, started_unix_ms: float) -> None:
        self.period_ms = period_ms
        self.started_unix_ms = started_unix_ms
        self.periods: dict[int, dict[int, UsageRow]] = {}

    def count(self, unix_ms: float, plan: int, outcome: int, units: float) -> None:
        """One request has its final outcome."""
        period = int(unix_ms // self.period_ms)
        rows = self.periods.get(period)
        if rows is None:
            rows = self.periods[period] = {}
            for old in sorted(self.periods)[:-MAX_PERIODS]:
                del self.periods[old]
        row = rows.setdefault(plan, [0, 0, 0, 0.0])
        row[outcome] += 1
        if outcome == SERVED:
            row[3] += units

    def usage(self, unix_ms: float, period: int) -> PeriodUsage:
        """What was counted in a period; NOT_COUNTED while it is not over, or when it is too old, or over
        before this process started."""
        newest = int(unix_ms // self.period_ms)
        counted_from_ms = max(0.0, self.started_unix_ms - period * self.period_ms)
        if not newest - MAX_PERIODS < period < newest or counted_from_ms >= self.period_ms:
            return PeriodUsage(NOT_COUNTED, {})
        return PeriodUsage(math.ceil(counted_from_ms), self.periods.get(period, {}))

    def capture(self) -> dict[str, object]:
        """The state for the next process of this gateway, for JSON."""
        return {
            "born": self.started_unix_ms,
            "periods": [
                [period, [[plan, *row] for plan, row in rows.items()]]
                for period, rows in self.periods.items()
            ],
        }

    def restore(self, state: dict[str, Any]) -> None:
        """Continue from a captured state; raises UsageSnapshotError, and then nothing has changed."""
        try:
            started_unix_ms = float(state["born"])
            periods = {
                int(period): {int(plan): [float(value) for value in row] for plan, *row in rows}
                for period, rows in state["periods"]
            }
        except (KeyError, TypeError, ValueError) as problem:
            raise UsageSnapshotError(str(problem)) from problem
        if any(len(row) != 4 for rows in periods.values() for row in rows.values()):
            raise UsageSnapshotError("a row of use is no row")
        self.started_unix_ms = started_unix_ms
        self.periods = periods


@dataclass(frozen=True, slots=True)
class UsageMessage:
    """A request for a period of a task, or one part of a report."""

    kind: int
    tag: int
    period: int
    counted_from_ms: int
    part: int
    parts: int
    rows: dict[int, UsageRow]


def encode_request(tag: int, period: int) -> bytes:
    """The message that requests a period; `tag` stands for the task."""
    return _HEADER.pack(KIND_REQUEST, tag, period, 0, 0, 1)


def encode_report(tag: int, period: int, usage: PeriodUsage) -> list[bytes]:
    """The messages that report a period."""
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
    """The message in these bytes, or None when they hold none."""
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
    """What one gateway has reported so far."""

    attempts: int = 0
    next_ms: float = 0.0
    counted_from_ms: int = -1
    parts: dict[int, dict[int, UsageRow]] = field(default_factory=dict)
    part_count: int = 0

    @property
    def is_complete(self) -> bool:
        return self.part_count > 0 and len(self.parts) == self.part_count

    def is_given_up(self, now_ms: float) -> bool:
        return self.attempts >= MAX_ATTEMPTS and now_ms >= self.next_ms


def max_collection_ms(gateways: int) -> float:
    """How long a collection takes when nobody reports."""
    return RETRY_MS * MAX_ATTEMPTS * (MAX_ATTEMPTS + 1) / 2 + gateways * MAX_ATTEMPTS * POLL_INTERVAL_MS


class UsageCollection:
    """The owner's side, for one task and one period. Owns one entry for each gateway."""

    def __init__(self, gateways: int, now_ms: float) -> None:
        self._reports = {gateway: _GatewayReport() for gateway in range(gateways)}
        self._next_ms = now_ms

    def on_report(self, sender: int, message: UsageMessage) -> None:
        """A gateway has reported a part."""
        report = self._reports.get(sender)
        if report is None or report.is_complete:
            return
        if (message.counted_from_ms, message.parts) != (report.counted_from_ms, report.part_count):
            # Another incarnation's: the parts do not belong together.
            report.counted_from_ms = message.counted_from_ms
            report.part_count = message.parts
            report.parts = {}
        report.parts[message.part] = message.rows

    def gateways_to_poll(self, now_ms: float) -> list[int]:
        """Whom to request it from now, a few at a time."""
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
        """Whether every gateway has reported, or was given up."""
        return all(report.is_complete or report.is_given_up(now_ms) for report in self._reports.values())

    def result(self, period_ms: float) -> FleetUsage:
        """What was collected, by plan, and the gaps in it."""
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
