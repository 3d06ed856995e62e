"""What a participant of the leases wants done: the output of `LeaseParticipant.handle`, in this order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class LossReason(StrEnum):
    """Why a lease is held no longer, in the operators' words."""

    RELEASED = "given back"
    NO_QUORUM = "no majority of the voters answered in time"
    GRANTED_TO_OTHER = "the voters gave it to another"
    LARGER_TOKEN_AT_ACCEPTOR = "a voter knows a larger token"
    LARGER_TOKEN_AT_RECEIVER = "a receiver knows a larger token"


class DenialReason(StrEnum):
    """Why a lease could not be acquired, in the operators' words."""

    HELD_BY_OTHER = "another has it"
    ACCEPTORS_SILENT = "voters are silent after their start"
    STALE_COUNTER = "its token is not large enough"
    NO_QUORUM = "no majority of the voters answered"


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This process owns the lease from now on; until `usable_until_ms`, unless it is renewed."""

    lease: int
    token: int
    usable_until_ms: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This process owns the lease no longer: what runs under it has to be stopped."""

    lease: int
    token: int
    reason: LossReason


@dataclass(frozen=True, slots=True)
class LeaseYieldRequested:
    """A preferred gateway is up: begin nothing more under the lease, and release it when nothing runs."""

    lease: int


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """A request to acquire the lease has failed."""

    lease: int
    reason: DenialReason


LeaseChange = LeaseAcquired | LeaseLost | LeaseYieldRequested | LeaseDenied


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send this datagram to a gateway; it may be lost."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class DeliverPayload:
    """Data of a scheduled task or a budget has come from a gateway."""

    sender: int
    incarnation: int
    data: bytes


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log, as a warning or for information."""

    text: str
    is_warning: bool = True


Action = SendMessage | DeliverPayload | WriteLog | LeaseChange
