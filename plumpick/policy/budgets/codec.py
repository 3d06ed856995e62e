"""The bytes about shares: notes within the words of leases (ownership/words.py), at most 236 bytes.

Amounts are whole doubles: what is lent and what is counted as lent must be the same to the last bit, or
rounding up at each of many sums to more than the whole."""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass

from plumpick.policy.budgets.holder import Grant
from plumpick.policy.leases.codec import MAX_NOTE

# The first byte; the notes of use begin otherwise (usage.py).
DEMAND_REPORT, GRANT, ALLOCATOR_HINT, LIMITS_QUERY, LIMITS = 0x21, 0x22, 0x23, 0x24, 0x25
_REPORT_ROW = struct.Struct(
    ">HIfdIfI"
)  # budget, serial, demand, holding, serial of the share held, need, mark
_GRANT_HEADER = struct.Struct(">BI16s")  # kind, life of who asked, the divider's token
_GRANT_ROW = struct.Struct(">HIdddI")  # budget, serial, amount, burst, level, mark
_HINT = struct.Struct(">BHH")  # kind, slot, number of who has it
_LIMITS = struct.Struct(">BHdd")  # kind, budget, whole, burst
REPORTS_PER_MESSAGE = (MAX_NOTE - 1) // _REPORT_ROW.size
GRANTS_PER_MESSAGE = (MAX_NOTE - _GRANT_HEADER.size) // _GRANT_ROW.size


@dataclass(frozen=True, slots=True)
class DemandReport:
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
class GrantMessage:
    """The answer to a life, under the divider's token."""

    life: int
    rows: list[tuple[int, Grant, int]]  # the budget's place, the share, the mark of the figures it goes by


@dataclass(frozen=True, slots=True)
class AllocatorHint:
    """A voter's word on who divides what lies on a slot."""

    slot: int
    number: int


@dataclass(frozen=True, slots=True)
class LimitsMessage:
    """What somebody's settings have of a budget (`asks`: and what does the divider go by?), or what its
    divider goes by."""

    budget: int
    whole: float
    burst: float
    asks: bool


def encode_demand_reports(rows: list[DemandReport]) -> list[bytes]:
    """The notes that ask."""
    return [
        bytes([DEMAND_REPORT])
        + b"".join(
            _REPORT_ROW.pack(
                one.budget,
                one.serial,
                min(one.demand, 3e38),
                one.holding,
                one.has_serial,
                min(one.need, 3e38),
                one.mark,
            )
            for one in rows[begin : begin + REPORTS_PER_MESSAGE]
        )
        for begin in range(0, len(rows), REPORTS_PER_MESSAGE)
    ]


def encode_grants(life: int, token: int, rows: list[tuple[int, Grant, int]]) -> list[bytes]:
    """The notes that answer."""
    return [
        _GRANT_HEADER.pack(GRANT, life, token.to_bytes(16, "big"))
        + b"".join(
            _GRANT_ROW.pack(budget, one.serial, one.amount, one.burst, one.level, mark)
            for budget, one, mark in rows[begin : begin + GRANTS_PER_MESSAGE]
        )
        for begin in range(0, len(rows), GRANTS_PER_MESSAGE)
    ]


def encode_allocator_hint(slot: int, number: int) -> bytes:
    """The note of a voter."""
    return _HINT.pack(ALLOCATOR_HINT, slot, number)


def encode_limits(said: LimitsMessage) -> bytes:
    """The note of figures."""
    return _LIMITS.pack(LIMITS_QUERY if said.asks else LIMITS, said.budget, said.whole, said.burst)


def decode(data: bytes) -> list[DemandReport] | GrantMessage | AllocatorHint | LimitsMessage | None:
    """The note in these bytes; None where they are none, or of what no gatekeeper says."""
    kind = data[0] if data else 0
    if kind == ALLOCATOR_HINT and len(data) == _HINT.size:
        return AllocatorHint(*_HINT.unpack(data)[1:])
    if kind in (LIMITS_QUERY, LIMITS) and len(data) == _LIMITS.size:
        _, budget, whole, burst = _LIMITS.unpack(data)
        return LimitsMessage(budget, whole, burst, kind == LIMITS_QUERY) if _are_valid(whole, burst) else None
    if kind == DEMAND_REPORT and (len(data) - 1) % _REPORT_ROW.size == 0:
        asked = [DemandReport(*row) for row in _REPORT_ROW.iter_unpack(data[1:])]
        return asked if all(_are_valid(one.demand, one.holding, one.need) for one in asked) else None
    if (
        kind == GRANT
        and len(data) >= _GRANT_HEADER.size
        and (len(data) - _GRANT_HEADER.size) % _GRANT_ROW.size == 0
    ):
        _, life, token = _GRANT_HEADER.unpack_from(data)
        rows = list(_GRANT_ROW.iter_unpack(data[_GRANT_HEADER.size :]))
        if not all(_are_valid(*row[2:5]) for row in rows):
            return None
        return GrantMessage(
            life,
            [
                (budget, Grant(serial, int.from_bytes(token, "big"), *parts), mark)
                for budget, serial, *parts, mark in rows
            ],
        )
    return None


def _are_valid(*values: float) -> bool:
    return all(math.isfinite(value) and value >= 0 for value in values)
