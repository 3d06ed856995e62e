"""The figures of a budget that all gatekeepers have alike."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, replace
from enum import IntEnum


class BudgetKind(IntEnum):
    """What is divided."""

    RATE = 1
    STOCK = 2


class BudgetError(ValueError):
    """Figures that cannot hold; the text names the key."""


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget. Raises BudgetError.

    `whole`: units a second, or units out at once (then an integer); `burst`: units of a rate that may go
    at one time; `floor`: the share of the whole that is everybody's, in even parts; `outlives_ms`: for so
    long a unit of a stock may go on after its process has ended."""

    name: str
    kind: BudgetKind
    whole: float
    burst: float = 0.0
    floor: float = 0.3
    outlives_ms: float = 0.0

    def __post_init__(self) -> None:
        if not 0 <= self.whole < 1e9 or self.kind is BudgetKind.STOCK and self.whole != int(self.whole):
            raise BudgetError(f"{self.name}: whole: {self.whole} is none")
        if not 0 <= self.floor <= 1:
            raise BudgetError(f"{self.name}: floor: from 0 to 1")
        if self.burst < 0 or self.outlives_ms < 0:
            raise BudgetError(f"{self.name}: burst, outlives_ms: not below 0")

    def floor_of(self, number: int, gateways: int) -> float:
        """What is a gatekeeper's by its number; in whole units for a stock, the first numbers having one
        more."""
        if self.kind is BudgetKind.RATE:
            return self.whole * self.floor / gateways
        units = int(self.whole * self.floor)
        return units // gateways + (number < units % gateways)

    @property
    def mark(self) -> int:
        """Stands for the figures that may change in service; never 0, which is nobody's."""
        return zlib.crc32(struct.pack(">dd", self.whole, self.burst)) or 1

    def lowered(self, whole: float, burst: float) -> Budget:
        """The same with the lower of its own figures and these."""
        return replace(self, whole=min(self.whole, whole), burst=min(self.burst, burst))

    def lendable(self, gateways: int) -> float:
        """What is left to lend."""
        return self.whole - sum(self.floor_of(number, gateways) for number in range(gateways))

    def floor_burst(self, gateways: int) -> float:
        """The part of the burst that goes with a floor; none with a whole of 0, of which nothing may go."""
        return self.burst * self.floor / gateways if self.whole else 0.0

    @property
    def lendable_burst(self) -> float:
        """The part of the burst that is left to lend."""
        return self.burst * (1 - self.floor) if self.whole else 0.0


MAX_GRANT_TO_LEASE_RATIO = (
    0.6  # of a lease's term: a share of at most so long ends within the lease under which it is lent
)


def grants_end_within_lease(share_ms: float, term_ms: float) -> bool:
    """Whether no share outlives its divider's lease. A lease is renewed after a third of its term, so that
    two thirds are always left; then a next divider has nothing to wait for."""
    return share_ms <= MAX_GRANT_TO_LEASE_RATIO * term_ms


def longest_duration_ms(term_ms: float, drift: float) -> float:
    """How long the divider counts what a holder counts `term_ms` of, by clocks that are off by `drift`
    each."""
    return term_ms * (1 + drift) / (1 - drift) + 1.0
