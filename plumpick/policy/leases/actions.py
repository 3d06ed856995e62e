"""Actions of a lease participant: the output of `LeaseParticipant.handle`, to be performed in order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class LossReason(StrEnum):
    """Reason for the loss of a lease, as text for operators."""

    RELEASED = "released"
    NO_QUORUM = "no majority of the voters answered in time"
    GRANTED_TO_OTHER = "the voters granted it to another gatekeeper"
    LARGER_TOKEN_AT_ACCEPTOR = "a voter knows a larger token"
    LARGER_TOKEN_AT_RECEIVER = "a receiver knows a larger token"
    SUCCESSOR_ENDED = "the next process, which had taken it over, has ended"


class DenialReason(StrEnum):
    """Reason why a lease could not be acquired, as text for operators."""

    HELD_BY_OTHER = "another gatekeeper holds it"
    ACCEPTORS_STARTING = "voters grant nothing for a time after their start"
    STALE_COUNTER = "the requested token was smaller than a token known to a voter"
    NO_QUORUM = "no majority of the voters answered"


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This process has acquired the lease. Work under it may begin until `usable_until_ms`, or later if the
    lease is renewed."""

    lease: int
    token: int
    usable_until_ms: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This process has lost the lease: all work under it must be stopped."""

    lease: int
    token: int
    reason: LossReason


@dataclass(frozen=True, slots=True)
class LeaseYieldRequested:
    """A gateway that is preferred for the lease is up: begin no more work under the lease, and release it
    when the running work has ended."""

    lease: int


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """A request to acquire the lease has failed."""

    lease: int
    reason: DenialReason


LeaseChange = LeaseAcquired | LeaseLost | LeaseYieldRequested | LeaseDenied


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a datagram to a gateway, without a guarantee of delivery."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class DeliverPayload:
    """Pass data of a scheduled task or a budget from another gateway to its handler."""

    sender: int
    incarnation: int
    data: bytes


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log, as a warning or as information."""

    text: str
    is_warning: bool = True


Action = SendMessage | DeliverPayload | WriteLog | LeaseChange
