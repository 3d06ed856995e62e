"""What happens to a participant of the leases: the input of `LeaseParticipant.handle`. None gets a reply."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A datagram has come from another gateway, which is known by its address."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReleaseRequested:
    """The work under the lease is over, or may not go on: the lease is to be released."""

    lease: int


@dataclass(frozen=True, slots=True)
class LargerTokenSeen:
    """A receiver of effects has rejected ours, because it knows this larger token."""

    lease: int
    token: int


@dataclass(frozen=True, slots=True)
class RestartPermitWanted:
    """An operator wants one of the permits for planned restarts, or no longer wants it."""

    wanted: bool


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This process will end: it acquires no more slots. Each lease that it holds is released by a
    ReleaseRequested of its own."""


Event = MessageReceived | ReleaseRequested | LargerTokenSeen | RestartPermitWanted | ShutdownStarted
