"""The parameters that all participants of the leases must share, and fencing tokens.

Fails with LeaseTermsError when the parameters contradict each other; the caller reports the text, which
begins with the operator's key, and does not start."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

MAX_LEASES = 20  # of them in one message of 256 bytes (codec.py)
INCARNATION_BITS = 32
GATEWAY_BITS = 16
MAX_COUNTER = (1 << 48) - 1
MIN_TERM_MS = 500.0
MAX_TERM_MS = 600_000.0
MAX_DRIFT_RATIO = 0.2
GUARD_RATIO = 0.1  # of the term


class LeaseTermsError(ValueError):
    """Parameters that contradict each other; the text begins with the operator's key."""


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The same at every participant; times in milliseconds. Raises LeaseTermsError.

    Leases are numbered: first the `slots`, onto which scheduled tasks are hashed and which acceptors offer to
    the gateways that they prefer, then the `restart_permits`, which are granted to whoever requests them."""

    acceptors: tuple[int, ...]  # numbers of gateways
    slots: int = 12
    restart_permits: int = 0
    term_ms: float = 6000.0
    drift_ratio: float = 0.01  # by how much a clock runs too fast or too slow at most
    longest_past_term_ms: float = 0.0  # the longest term of any earlier process; 0: `term_ms`
    shared_settings: str = ""  # whatever else has to be the same everywhere: tasks and budgets

    def __post_init__(self) -> None:
        if not self.acceptors or len(set(self.acceptors)) < len(self.acceptors):
            raise LeaseTermsError("voters: at least one, and none twice")
        if any(not 0 <= acceptor < 1 << GATEWAY_BITS for acceptor in self.acceptors):
            raise LeaseTermsError("voters: no such number")
        if self.slots < 1 or self.restart_permits < 0 or self.leases > MAX_LEASES:
            raise LeaseTermsError(f"slots: 1 to {MAX_LEASES}, the turns included")
        if not MIN_TERM_MS <= self.term_ms <= MAX_TERM_MS:
            raise LeaseTermsError("term_ms: from 500 to 600000")
        if not 0.0 <= self.drift_ratio <= MAX_DRIFT_RATIO:
            raise LeaseTermsError("drift: from 0 to 0.2")
        if self.longest_past_term_ms and self.longest_past_term_ms < self.term_ms:
            raise LeaseTermsError("longest_ms: under term_ms")

    @property
    def leases(self) -> int:
        """How many leases there are."""
        return self.slots + self.restart_permits

    @property
    def quorum(self) -> int:
        """How many acceptors have to grant a lease: a majority."""
        return len(self.acceptors) // 2 + 1

    @property
    def guard_ms(self) -> float:
        """How long before the end of its lease a holder stops beginning work (promise 5)."""
        return self.term_ms * GUARD_RATIO

    def acceptor_hold_ms(self, term_ms: float = 0.0) -> float:
        """How long an acceptor keeps a grant after its response.

        That is the holder's term, which counts from its request, with the holder's clock slow and the
        acceptor's fast (Gray and Cheriton 1989, section 5)."""
        return (term_ms or self.term_ms) * (1 + self.drift_ratio) / (1 - self.drift_ratio) + 1.0

    @property
    def silence_ms(self) -> float:
        """How long an acceptor grants nothing after its start: it may have forgotten its grants."""
        return self.acceptor_hold_ms(self.longest_past_term_ms)

    @property
    def digest(self) -> int:
        """Sixteen bits of all that has to be the same at every participant."""
        rows = (
            self.acceptors,
            self.slots,
            self.restart_permits,
            self.term_ms,
            self.drift_ratio,
            self.shared_settings,
        )
        return zlib.crc32(repr(rows).encode()) & 0xFFFF


def fencing_token(counter: int, gateway: int, incarnation: int) -> int:
    """A fencing token (Burrows 2006, sequencers): a later owner's is larger, and no two processes share
    one."""
    return counter << GATEWAY_BITS + INCARNATION_BITS | gateway << INCARNATION_BITS | incarnation


def token_counter(token: int) -> int:
    """The part of a token that grows."""
    return token >> GATEWAY_BITS + INCARNATION_BITS


def token_owner(token: int) -> tuple[int, int]:
    """The gateway's number and the incarnation to which this token was granted."""
    return token >> INCARNATION_BITS & (1 << GATEWAY_BITS) - 1, token & (1 << INCARNATION_BITS) - 1


@lru_cache(maxsize=8192)
def rendezvous_rank(lease: int, gateway: int) -> int:
    """How far back a gateway is among the candidates for a lease: the smallest is preferred.

    Rendezvous hashing (Thaler and Ravishankar 1998): one gateway more or less moves only its own leases."""
    # A CRC is linear: whoever is first for one lease would be first for most.
    return int.from_bytes(blake2b(b"%d/%d" % (lease, gateway), digest_size=8).digest())
