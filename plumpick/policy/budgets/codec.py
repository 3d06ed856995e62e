"""The bytes about shares: notes within the words of leases (ownership/words.py), at most 236 bytes.

Amounts are whole doubles: what is lent and what is counted as lent must be the same to the last bit, or
rounding up at each of many sums to more than the whole."""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass

from plumpick.policy.budgets.holder import Share
from plumpick.policy.leases.codec import MAX_PAYLOAD_BYTES

# The first byte; the notes of use begin otherwise (usage.py).
ASK, SHARE, WHERE, MINE, FIGURES = 0x21, 0x22, 0x23, 0x24, 0x25
_ASK_ROW = struct.Struct(">HIfdIfI")  # budget, serial, demand, holding, serial of the share held, need, mark
_SHARE_HEAD = struct.Struct(">BI16s")  # kind, life of who asked, the divider's token
_SHARE_ROW = struct.Struct(">HIdddI")  # budget, serial, amount, burst, level, mark
_WHERE = struct.Struct(">BHH")  # kind, slot, number of who has it
_FIGURES = struct.Struct(">BHdd")  # kind, budget, whole, burst
ASK_ROWS = (MAX_PAYLOAD_BYTES - 1) // _ASK_ROW.size
SHARE_ROWS = (MAX_PAYLOAD_BYTES - _SHARE_HEAD.size) // _SHARE_ROW.size


@dataclass(frozen=True, slots=True)
class Asked:
    """One asking: `holding` units a second are lent to who asks, the last share that it took is
    `has_serial`, and one request takes up to `need` units. `mark` stands for the figures that its settings
    have."""

    budget: int  # its place among those that the settings name
    serial: int
    demand: float
    holding: float
    has_serial: int
    need: float
    mark: int


@dataclass(frozen=True, slots=True)
class Shares:
    """The answer to a life, under the divider's token."""

    life: int
    rows: list[tuple[int, Share, int]]  # the budget's place, the share, the mark of the figures it goes by


@dataclass(frozen=True, slots=True)
class Where:
    """A voter's word on who divides what lies on a slot."""

    slot: int
    number: int


@dataclass(frozen=True, slots=True)
class Figures:
    """What somebody's settings have of a budget (`asks`: and what does the divider go by?), or what its
    divider goes by."""

    budget: int
    whole: float
    burst: float
    asks: bool


def asking(rows: list[Asked]) -> list[bytes]:
    """The notes that ask."""
    return [
        bytes([ASK])
        + b"".join(
            _ASK_ROW.pack(
                one.budget,
                one.serial,
                min(one.demand, 3e38),
                one.holding,
                one.has_serial,
                min(one.need, 3e38),
                one.mark,
            )
            for one in rows[begin : begin + ASK_ROWS]
        )
        for begin in range(0, len(rows), ASK_ROWS)
    ]


def sharing(life: int, token: int, rows: list[tuple[int, Share, int]]) -> list[bytes]:
    """The notes that answer."""
    return [
        _SHARE_HEAD.pack(SHARE, life, token.to_bytes(16, "big"))
        + b"".join(
            _SHARE_ROW.pack(budget, one.serial, one.amount, one.burst, one.level, mark)
            for budget, one, mark in rows[begin : begin + SHARE_ROWS]
        )
        for begin in range(0, len(rows), SHARE_ROWS)
    ]


def where(slot: int, number: int) -> bytes:
    """The note of a voter."""
    return _WHERE.pack(WHERE, slot, number)


def figures(said: Figures) -> bytes:
    """The note of figures."""
    return _FIGURES.pack(MINE if said.asks else FIGURES, said.budget, said.whole, said.burst)


def read(data: bytes) -> list[Asked] | Shares | Where | Figures | None:
    """The note in these bytes; None where they are none, or of what no gatekeeper says."""
    kind = data[0] if data else 0
    if kind == WHERE and len(data) == _WHERE.size:
        return Where(*_WHERE.unpack(data)[1:])
    if kind in (MINE, FIGURES) and len(data) == _FIGURES.size:
        _, budget, whole, burst = _FIGURES.unpack(data)
        return Figures(budget, whole, burst, kind == MINE) if _sound(whole, burst) else None
    if kind == ASK and (len(data) - 1) % _ASK_ROW.size == 0:
        asked = [Asked(*row) for row in _ASK_ROW.iter_unpack(data[1:])]
        return asked if all(_sound(one.demand, one.holding, one.need) for one in asked) else None
    if (
        kind == SHARE
        and len(data) >= _SHARE_HEAD.size
        and (len(data) - _SHARE_HEAD.size) % _SHARE_ROW.size == 0
    ):
        _, life, token = _SHARE_HEAD.unpack_from(data)
        rows = list(_SHARE_ROW.iter_unpack(data[_SHARE_HEAD.size :]))
        if not all(_sound(*row[2:5]) for row in rows):
            return None
        return Shares(
            life,
            [
                (budget, Share(serial, int.from_bytes(token, "big"), *parts), mark)
                for budget, serial, *parts, mark in rows
            ],
        )
    return None


def _sound(*values: float) -> bool:
    return all(math.isfinite(value) and value >= 0 for value in values)
