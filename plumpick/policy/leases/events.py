"""Events of a lease participant: the input of `LeaseParticipant.handle`."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A datagram was received from another gateway, which the caller has identified by its address."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """The work under a lease has ended or must not continue, and the lease is to be released."""

    lease: int


@dataclass(frozen=True, slots=True)
class LargerTokenSeen:
    """A receiver of an effect of work under a lease has rejected the fencing token of this process, because
    it knows a larger one, `token`."""

    lease: int
    token: int


@dataclass(frozen=True, slots=True)
class RestartPermitWanted:
    """An operator requests one of the permits for planned restarts, or no longer needs it."""

    wanted: bool


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This process is shutting down and acquires no more slots. The leases that it holds are not released by
    this event, but each by a separate ReleaseRequested."""


Event = MessageReceived | ReleaseRequested | LargerTokenSeen | RestartPermitWanted | ShutdownStarted
