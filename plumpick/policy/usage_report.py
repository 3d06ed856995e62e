"""The fleet's use in a period: what one gatekeeper counted, and how the owner gathers it. No I/O, no clock.

Each gatekeeper counts by period and plan and keeps the last few. The owner asks each for a period that is
over, a few a second, and again what does not answer; what nobody tells is stated as a gap, never guessed.
A gatekeeper that began within the period says from when on it counted: the time before is a gap, too."""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field

KEPT = 10  # periods
SERVED, REFUSED, FAILED = 0, 1, 2
ASK_EACH_MS = 50.0  # the owner asks one gatekeeper in so long, which then takes in 20 answers a second
ASK_AGAIN_MS, TRIES = 300.0, 4  # the wait grows by as much each time: 3 s until one is given up
_NOTE = struct.Struct(">BIQIBB")  # kind, the duty's tag, period, counted from that ms of it on, part, parts
_ROW = struct.Struct(">BIIII")  # plan, served, refused, failed, units x 16
ROWS = 12  # in a note
ASK, TOLD = 1, 2
NOTHING = 0xFFFFFFFF  # in place of the ms: the period is not known here

Row = list[float]  # served, refused, failed, units


class Tally:
    """What this gatekeeper counted. Table: `KEPT` periods, each with the plans that occurred."""

    def __init__(self, period_ms: float, born_unix_ms: float) -> None:
        self.period_ms, self.born_unix_ms = period_ms, born_unix_ms
        self.periods: dict[int, dict[int, Row]] = {}

    def count(self, unix_ms: float, plan: int, outcome: int, units: float) -> None:
        """One request has its final answer."""
        period = int(unix_ms // self.period_ms)
        rows = self.periods.get(period)
        if rows is None:
            rows = self.periods[period] = {}
            for old in sorted(self.periods)[:-KEPT]:
                del self.periods[old]
        row = rows.setdefault(plan, [0, 0, 0, 0.0])
        row[outcome] += 1
        if outcome == SERVED:
            row[3] += units

    def told(self, unix_ms: float, period: int) -> tuple[int, dict[int, Row]]:
        """From which ms of the period on it was counted, and the rows; NOTHING where it is not over, or too
        old, or this process began after it."""
        newest = int(unix_ms // self.period_ms)
        since_ms = max(0.0, self.born_unix_ms - period * self.period_ms)
        if not newest - KEPT < period < newest or since_ms >= self.period_ms:
            return NOTHING, {}
        return math.ceil(since_ms), self.periods.get(period, {})

    def estate(self) -> dict[str, object]:
        """For the next process of this gatekeeper."""
        return {
            "born": self.born_unix_ms,
            "periods": [
                [period, [[plan, *row] for plan, row in rows.items()]]
                for period, rows in self.periods.items()
            ],
        }

    def inherit(self, state: dict[str, object]) -> None:
        """Go on from there; raises ValueError, TypeError or KeyError."""
        born = float(state["born"])  # type: ignore[arg-type]
        periods = {
            int(period): {int(plan): [float(value) for value in row] for plan, *row in rows}
            for period, rows in state["periods"]
        }  # type: ignore[attr-defined]
        if any(len(row) != 4 for rows in periods.values() for row in rows.values()):
            raise ValueError("a row of use is no row")
        self.born_unix_ms, self.periods = born, periods


def asking(tag: int, period: int) -> bytes:
    """The note that asks for a period."""
    return _NOTE.pack(ASK, tag, period, 0, 0, 1)


def telling(tag: int, period: int, since_ms: int, rows: dict[int, Row]) -> list[bytes]:
    """The notes that tell it."""
    plans = sorted(rows)
    parts = max(1, math.ceil(len(plans) / ROWS))
    return [
        _NOTE.pack(TOLD, tag, period, since_ms, part, parts)
        + b"".join(
            _ROW.pack(
                plan,
                *(min(0xFFFFFFFF, int(value)) for value in rows[plan][:3]),
                min(0xFFFFFFFF, round(rows[plan][3] * 16)),
            )
            for plan in plans[part * ROWS : (part + 1) * ROWS]
        )
        for part in range(parts)
    ]


@dataclass(frozen=True, slots=True)
class Said:
    """A note, read."""

    kind: int
    tag: int
    period: int
    since_ms: int
    part: int
    parts: int
    rows: dict[int, Row]


def read(data: bytes) -> Said | None:
    """The note in these bytes, or None."""
    if len(data) < _NOTE.size or (len(data) - _NOTE.size) % _ROW.size or data[0] not in (ASK, TOLD):
        return None
    kind, tag, period, since_ms, part, parts = _NOTE.unpack_from(data)
    if not part < parts:
        return None
    return Said(
        kind,
        tag,
        period,
        since_ms,
        part,
        parts,
        {
            plan: [served, refused, failed, units / 16]
            for plan, served, refused, failed, units in _ROW.iter_unpack(data[_NOTE.size :])
        },
    )


@dataclass(slots=True)
class _Asked:
    tries: int = 0
    next_ms: float = 0.0
    since_ms: int = -1
    parts: dict[int, dict[int, Row]] = field(default_factory=dict)
    count: int = 0

    @property
    def whole(self) -> bool:
        return self.count > 0 and len(self.parts) == self.count


def longest_ms(gateways: int) -> float:
    """How long a gathering takes at most, where nobody answers."""
    return ASK_AGAIN_MS * TRIES * (TRIES + 1) / 2 + gateways * TRIES * ASK_EACH_MS


class Gathering:
    """The owner's side, for one duty and one period. Table: one entry for each gatekeeper."""

    def __init__(self, gateways: int, now_ms: float) -> None:
        self._asked = {number: _Asked() for number in range(gateways)}
        self._next_ms = now_ms

    def heard(self, sender: int, said: Said) -> None:
        """A gatekeeper tells its part."""
        one = self._asked.get(sender)
        if one is None or one.whole:
            return
        if (said.since_ms, said.parts) != (one.since_ms, one.count):  # it is another life's
            one.since_ms, one.count = said.since_ms, said.parts
            one.parts = {}
        one.parts[said.part] = said.rows

    def due(self, now_ms: float) -> list[int]:
        """Whom to ask now, few at a time."""
        whom: list[int] = []
        waiting = sorted(
            (one.next_ms, number)
            for number, one in self._asked.items()
            if not one.whole and one.tries < TRIES
        )
        for next_ms, number in waiting:
            if next_ms > now_ms or self._next_ms > now_ms:
                break
            one = self._asked[number]
            one.tries += 1
            one.next_ms = now_ms + ASK_AGAIN_MS * one.tries
            self._next_ms = max(self._next_ms, now_ms - 2 * ASK_EACH_MS) + ASK_EACH_MS
            whom.append(number)
        return whom

    def over(self, now_ms: float) -> bool:
        """Whether all have told it, or will not."""
        return all(one.whole or one.tries >= TRIES and now_ms >= one.next_ms for one in self._asked.values())

    def result(self, period_ms: float) -> tuple[dict[int, Row], list[tuple[int, float, float]]]:
        """The sums by plan, and the gaps: gatekeeper, and from which to which ms of the period it is not
        known what it did."""
        sums: dict[int, Row] = {}
        gaps: list[tuple[int, float, float]] = []
        for number, one in self._asked.items():
            if not one.whole or one.since_ms == NOTHING:
                gaps.append((number, 0.0, period_ms))
                continue
            if one.since_ms:
                gaps.append((number, 0.0, float(one.since_ms)))
            for rows in one.parts.values():
                for plan, row in rows.items():
                    total = sums.setdefault(plan, [0, 0, 0, 0.0])
                    for place, value in enumerate(row):
                        total[place] += value
        return sums, gaps
