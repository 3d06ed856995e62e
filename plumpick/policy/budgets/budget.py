"""The settings of one fleet-wide budget, which all gateways have alike, and how long grants of it last.

A budget limits a rate or a concurrency over all gateways together. A part of it is guaranteed to each gateway
by its number, without communication; the rest is granted for a limited time by one gateway, the allocator.
Settings that cannot hold raise InvalidBudgetError when they are read."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, replace
from enum import IntEnum

from plumpick.policy.budgets.errors import InvalidBudgetError

MAX_LIMIT = 1e9  # exclusive
# A lease is renewed after a third of its term, so that two thirds of it are always left.
MAX_GRANT_TO_LEASE_RATIO = 0.6


class BudgetKind(IntEnum):
    """What is limited."""

    RATE = 1  # units a second
    CONCURRENCY = 2  # units in use at once


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget.

    `limit`: units a second, or units in use at once (then an integer). `burst`: units of a rate that may be
    spent at one moment. `guaranteed_ratio`: the part of the limit that is split evenly among all gateways.
    `release_delay_ms`: how long a unit of a concurrency budget may stay in use after its process has ended.

    Raises InvalidBudgetError."""

    name: str
    kind: BudgetKind
    limit: float
    burst: float = 0.0
    guaranteed_ratio: float = 0.3
    release_delay_ms: float = 0.0

    def __post_init__(self) -> None:
        is_fractional = self.kind is BudgetKind.CONCURRENCY and self.limit != int(self.limit)
        if not 0 <= self.limit < MAX_LIMIT or is_fractional:
            raise InvalidBudgetError(f"{self.name}: whole: {self.limit} is none")
        if not 0 <= self.guaranteed_ratio <= 1:
            raise InvalidBudgetError(f"{self.name}: floor: from 0 to 1")
        if self.burst < 0 or self.release_delay_ms < 0:
            raise InvalidBudgetError(f"{self.name}: burst, outlives_ms: not below 0")

    @property
    def fingerprint(self) -> int:
        """A checksum of the limits that may change in service; never 0, which no budget has."""
        return zlib.crc32(struct.pack(">dd", self.limit, self.burst)) or 1

    @property
    def grantable_burst(self) -> float:
        """The part of the burst that is not guaranteed; none where the limit is 0."""
        return self.burst * (1 - self.guaranteed_ratio) if self.limit else 0.0

    def guaranteed_limit(self, number: int, gateways: int) -> float:
        """The part of the limit that is guaranteed to the gateway of this number: units a second, or whole
        units of a concurrency, of which the lowest numbers have one more."""
        if self.kind is BudgetKind.RATE:
            return self.limit * self.guaranteed_ratio / gateways
        units = int(self.limit * self.guaranteed_ratio)
        return units // gateways + (number < units % gateways)

    def guaranteed_burst(self, gateways: int) -> float:
        """The part of the burst that is guaranteed to each gateway; none where the limit is 0."""
        return self.burst * self.guaranteed_ratio / gateways if self.limit else 0.0

    def grantable_limit(self, gateways: int) -> float:
        """The part of the limit that is not guaranteed to anybody."""
        return self.limit - sum(self.guaranteed_limit(number, gateways) for number in range(gateways))

    def capped_at(self, limit: float, burst: float) -> Budget:
        """This budget with the lower of both limits and the lower of both bursts."""
        return replace(self, limit=min(self.limit, limit), burst=min(self.burst, burst))


def grants_end_within_lease(grant_term_ms: float, lease_term_ms: float) -> bool:
    """Whether every grant ends before its allocator's lease does; then the next allocator need not wait."""
    return grant_term_ms <= MAX_GRANT_TO_LEASE_RATIO * lease_term_ms


def longest_duration_ms(duration_ms: float, drift: float) -> float:
    """How long this clock may run while another one counts `duration_ms`, each off by at most `drift` (a
    ratio), with a millisecond for rounding."""
    return duration_ms * (1 + drift) / (1 - drift) + 1.0
