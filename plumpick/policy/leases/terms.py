"""The lease parameters that all participants must share, and the layout of fencing tokens.

Invalid or contradictory parameters raise LeaseTermsError. The caller reports its text, which begins with the
key of the operator's setting, and does not start."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

MAX_LEASES = 20  # maximum number of leases, which fit in one message of 256 bytes (codec.py)
INCARNATION_BITS = 32  # number of bits of the incarnation in a fencing token
GATEWAY_BITS = 16  # number of bits of the gateway's number in a fencing token
MAX_COUNTER = (1 << 48) - 1  # maximum counter in a fencing token
MIN_TERM_MS = 500.0  # minimum lease term
MAX_TERM_MS = 600_000.0  # maximum lease term
MAX_DRIFT_RATIO = 0.2  # maximum configurable clock drift
GUARD_RATIO = 0.1  # part of the term before its end in which a holder begins no work


class LeaseTermsError(ValueError):
    """Lease parameters are invalid or contradict each other. The text begins with the key of the setting."""


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The lease parameters, identical at every participant. Raises LeaseTermsError if they are invalid.

    Leases are numbered from 0: first come the `slots`, to which scheduled tasks are hashed and for which
    acceptors nominate preferred gateways, then the `restart_permits`, which are granted to any gateway that
    requests them."""

    acceptors: tuple[int, ...]  # numbers of the gateways that are acceptors
    slots: int = 12
    restart_permits: int = 0
    term_ms: float = 6000.0
    drift_ratio: float = 0.01  # maximum ratio by which a clock runs too fast or too slow
    longest_past_term_ms: float = 0.0  # longest lease term of any earlier process; 0 means `term_ms`
    shared_settings: str = ""  # other settings that must be identical everywhere: tasks and budgets

    def __post_init__(self) -> None:
        if not self.acceptors or len(set(self.acceptors)) < len(self.acceptors):
            raise LeaseTermsError(
                f"voters: got {list(self.acceptors)}, expected at least one number and no duplicates"
            )
        if any(not 0 <= acceptor < 1 << GATEWAY_BITS for acceptor in self.acceptors):
            raise LeaseTermsError(
                f"voters: got {list(self.acceptors)}, expected numbers from 0 to {(1 << GATEWAY_BITS) - 1}"
            )
        if self.slots < 1 or self.restart_permits < 0 or self.leases > MAX_LEASES:
            raise LeaseTermsError(
                f"slots: got {self.slots} slots and {self.restart_permits} turns, expected at least 1 slot "
                f"and at most {MAX_LEASES} of both together"
            )
        if not MIN_TERM_MS <= self.term_ms <= MAX_TERM_MS:
            raise LeaseTermsError(
                f"term_ms: got {self.term_ms}, expected {MIN_TERM_MS:.0f} to {MAX_TERM_MS:.0f}"
            )
        if not 0.0 <= self.drift_ratio <= MAX_DRIFT_RATIO:
            raise LeaseTermsError(f"drift: got {self.drift_ratio}, expected 0 to {MAX_DRIFT_RATIO}")
        if self.longest_past_term_ms and self.longest_past_term_ms < self.term_ms:
            raise LeaseTermsError(
                f"longest_ms: got {self.longest_past_term_ms}, expected at least term_ms, {self.term_ms}"
            )

    @property
    def leases(self) -> int:
        """Total number of leases: slots and restart permits."""
        return self.slots + self.restart_permits

    @property
    def quorum(self) -> int:
        """Number of acceptors that must grant a lease: a majority."""
        return len(self.acceptors) // 2 + 1

    @property
    def guard_ms(self) -> float:
        """Time before the end of a lease in which its holder begins no work (guarantee 5 in
        docs/design/ownership.md)."""
        return self.term_ms * GUARD_RATIO

    def acceptor_hold_ms(self, term_ms: float = 0.0) -> float:
        """Time for which an acceptor keeps a grant after its response, for leases of `term_ms` (0: the
        current term).

        It covers the holder's term, which counts from the request, even if the holder's clock is slow and the
        acceptor's clock is fast (Gray and Cheriton 1989, section 5)."""
        return (term_ms or self.term_ms) * (1 + self.drift_ratio) / (1 - self.drift_ratio) + 1.0

    @property
    def startup_wait_ms(self) -> float:
        """Time after its start in which an acceptor grants nothing, because it may have lost grants of its
        previous process."""
        return self.acceptor_hold_ms(self.longest_past_term_ms)

    @property
    def digest(self) -> int:
        """Checksum of 16 bits over all parameters that must be identical at every participant."""
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
    """Build a fencing token (a sequencer in Burrows 2006). A later owner of a lease has a larger token, and
    no two processes have the same one."""
    return counter << GATEWAY_BITS + INCARNATION_BITS | gateway << INCARNATION_BITS | incarnation


def token_counter(token: int) -> int:
    """The counter in a fencing token, its most significant part, which grows with each acquisition."""
    return token >> GATEWAY_BITS + INCARNATION_BITS


def token_owner(token: int) -> tuple[int, int]:
    """Number and incarnation of the gateway to which a fencing token was granted."""
    return token >> INCARNATION_BITS & (1 << GATEWAY_BITS) - 1, token & (1 << INCARNATION_BITS) - 1


@lru_cache(maxsize=8192)
def rendezvous_rank(lease: int, gateway: int) -> int:
    """Rank of a gateway among the candidates for a lease; the gateway with the smallest rank is preferred.

    Rendezvous hashing (Thaler and Ravishankar 1998): adding or removing a gateway moves only its own
    leases."""
    # Not a CRC: it is linear, so the gateway with the smallest rank for one lease would have it for most.
    return int.from_bytes(blake2b(b"%d/%d" % (lease, gateway), digest_size=8).digest())
