"""The settings of one fleet-wide budget, identical at all gateways, and the duration of its grants.

A budget limits a rate or a concurrency over all gateways together. A part of it is guaranteed to each gateway
by its number, without communication; the rest is granted for a limited time by one gateway, the allocator.
Invalid settings raise InvalidBudgetError when a Budget is created."""

from __future__ import annotations

import math
import struct
import zlib
from dataclasses import dataclass, replace
from enum import IntEnum

from plumpick.policy.budgets.errors import InvalidBudgetError

MAX_LIMIT = 1e9  # upper bound of a budget's limit, exclusive, in its units
# Maximum ratio of grant term to lease term at which every grant expires before the lease. A lease is renewed
# after a third of its term, so two thirds of the term always remain.
MAX_GRANT_TO_LEASE_RATIO = 0.6


class BudgetKind(IntEnum):
    """The quantity that a budget limits."""

    RATE = 1  # limit in units per second
    CONCURRENCY = 2  # limit in units that are in use at the same time


@dataclass(frozen=True, slots=True)
class Budget:
    """The settings of one budget.

    `limit`: maximum units per second, or maximum units in use at once (an integer). `burst`: maximum units of
    a rate budget that may be spent at one moment. `guaranteed_ratio`: fraction of the limit that is split
    evenly among all gateways. `release_delay_ms`: maximum time for which a unit of a concurrency budget stays
    in use after its process has ended.

    Raises InvalidBudgetError if a value is out of range."""

    name: str
    kind: BudgetKind
    limit: float
    burst: float = 0.0
    guaranteed_ratio: float = 0.3
    release_delay_ms: float = 0.0

    def __post_init__(self) -> None:
        is_in_range = 0 <= self.limit < MAX_LIMIT
        is_fractional = is_in_range and self.kind is BudgetKind.CONCURRENCY and self.limit != int(self.limit)
        if not is_in_range or is_fractional:
            raise InvalidBudgetError(
                f"{self.name}: whole: got {self.limit}, expected a number from 0 to below {MAX_LIMIT:.0f}, "
                "and an integer for a concurrency"
            )
        if not 0 <= self.guaranteed_ratio <= 1:
            raise InvalidBudgetError(f"{self.name}: floor: got {self.guaranteed_ratio}, expected 0 to 1")
        if not (0 <= self.burst < math.inf and 0 <= self.release_delay_ms < math.inf):
            raise InvalidBudgetError(
                f"{self.name}: burst, outlives_ms: got {self.burst} and {self.release_delay_ms}, "
                "expected a finite number of at least 0"
            )

    @property
    def fingerprint(self) -> int:
        """Checksum of limit and burst, the settings that may change while the gateway runs; never 0."""
        return zlib.crc32(struct.pack(">dd", self.limit, self.burst)) or 1

    @property
    def grantable_burst(self) -> float:
        """The part of the burst that is not guaranteed to any gateway; 0 if the limit is 0."""
        return self.burst * (1 - self.guaranteed_ratio) if self.limit else 0.0

    def guaranteed_limit(self, number: int, gateways: int) -> float:
        """The part of the limit that is guaranteed to gateway `number`: units per second, or an integer
        number of units of a concurrency budget. Units that do not divide evenly go one each to the lowest
        numbers."""
        if self.kind is BudgetKind.RATE:
            return self.limit * self.guaranteed_ratio / gateways
        units = int(self.limit * self.guaranteed_ratio)
        return units // gateways + (number < units % gateways)

    def guaranteed_burst(self, gateways: int) -> float:
        """The part of the burst that is guaranteed to each gateway; 0 if the limit is 0."""
        return self.burst * self.guaranteed_ratio / gateways if self.limit else 0.0

    def grantable_limit(self, gateways: int) -> float:
        """The part of the limit that is not guaranteed to any gateway."""
        return self.limit - sum(self.guaranteed_limit(number, gateways) for number in range(gateways))

    def capped_at(self, limit: float, burst: float) -> Budget:
        """Return this budget with its limit and its burst each reduced to at most the given value."""
        return replace(self, limit=min(self.limit, limit), burst=min(self.burst, burst))


def grants_end_within_lease(grant_term_ms: float, lease_term_ms: float) -> bool:
    """Whether every grant expires before the lease of its allocator; if so, the next allocator need not
    wait."""
    return grant_term_ms <= MAX_GRANT_TO_LEASE_RATIO * lease_term_ms


def longest_duration_ms(duration_ms: float, drift: float) -> float:
    """Maximum time in milliseconds that passes by this clock while another clock measures `duration_ms`. Each
    clock may be off by the ratio `drift`; one millisecond is added for rounding."""
    return duration_ms * (1 + drift) / (1 - drift) + 1.0
