"""The figures that bind everybody who has a part in leases, and tokens."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

MOST_LEASES = 20  # of them in one message of 256 bytes (words.py)
LIFE_BITS, NUMBER_BITS = 32, 16
COUNTER_MOST = (1 << 48) - 1


class TermsError(ValueError):
    """Figures that cannot hold; the text names the key."""


@dataclass(frozen=True, slots=True)
class Terms:
    """Alike at everybody who has a part; times in milliseconds.

    Raises TermsError. Leases are numbered: first `slots`, onto which duties are hashed and which voters
    give to whom they choose, then `turns`, which are given to who asks."""

    voters: tuple[int, ...]  # numbers of gatekeepers
    slots: int = 12
    turns: int = 0
    term_ms: float = 6000.0
    drift: float = 0.01  # a clock runs so much too fast or too slow, at most
    longest_ms: float = 0.0  # the longest term that a process before may have had; 0: `term_ms`
    text: str = ""  # what else has to be alike: the duties

    def __post_init__(self) -> None:
        if not self.voters or len(set(self.voters)) < len(self.voters):
            raise TermsError("voters: at least one, and none twice")
        if any(not 0 <= voter < 1 << NUMBER_BITS for voter in self.voters):
            raise TermsError("voters: no such number")
        if self.slots < 1 or self.turns < 0 or self.slots + self.turns > MOST_LEASES:
            raise TermsError(f"slots: 1 to {MOST_LEASES}, the turns included")
        if not 500.0 <= self.term_ms <= 600_000.0:
            raise TermsError("term_ms: from 500 to 600000")
        if not 0.0 <= self.drift <= 0.2:
            raise TermsError("drift: from 0 to 0.2")
        if self.longest_ms and self.longest_ms < self.term_ms:
            raise TermsError("longest_ms: under term_ms")

    @property
    def leases(self) -> int:
        return self.slots + self.turns

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def guard_ms(self) -> float:
        """So long before its end a holder begins nothing more (promise 5)."""
        return self.term_ms * 0.1

    def voter_ms(self, term_ms: float = 0.0) -> float:
        """How long a voter keeps its word after it answered: the holder's term, which counts from when it
        asked, with its clock slow and the voter's fast (Gray and Cheriton 1989, section 5)."""
        return (term_ms or self.term_ms) * (1 + self.drift) / (1 - self.drift) + 1.0

    @property
    def silence_ms(self) -> float:
        """How long a voter that has forgotten everything says nothing."""
        return self.voter_ms(self.longest_ms)

    @property
    def digest(self) -> int:
        """Stands for all that has to be alike; two bytes."""
        rows = (self.voters, self.slots, self.turns, self.term_ms, self.drift, self.text)
        return zlib.crc32(repr(rows).encode()) & 0xFFFF


def token_of(counter: int, number: int, life: int) -> int:
    """A fencing token (Burrows 2006, sequencers): a later owner's is larger, and no two processes have
    one."""
    return counter << NUMBER_BITS + LIFE_BITS | number << LIFE_BITS | life


def counter_of(token: int) -> int:
    """The part of a token that grows."""
    return token >> NUMBER_BITS + LIFE_BITS


def owner_of(token: int) -> tuple[int, int]:
    """The number and the life of who has this token."""
    return token >> LIFE_BITS & (1 << NUMBER_BITS) - 1, token & (1 << LIFE_BITS) - 1


@lru_cache(maxsize=8192)
def rank(lease: int, number: int) -> int:
    """The smaller, the sooner that gatekeeper is to have the lease (rendezvous hashing, Thaler and
    Ravishankar 1998): one more or less moves only what it has."""
    # Not a CRC: it is linear, so that who is first for one lease is first for most.
    return int.from_bytes(blake2b(b"%d/%d" % (lease, number), digest_size=8).digest())
