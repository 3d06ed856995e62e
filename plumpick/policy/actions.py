"""What the decision module asks to be done. Times are milliseconds."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from plumpick.policy.draining import AdmissionState


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; attempts of a request are numbered from 0 in the order of their sends.

    `within_ms`: how long from now its first byte may still leave. A repeat has to come while its group
    remembers the first; what cannot leave by then, for a connection comes up late, must not leave at all."""

    id: int
    endpoint: str
    timeout_ms: float
    start_within_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final: it is safe to try again."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final: no promise is made."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `Woken` event."""

    delay_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to another gateway."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeEndpoint:
    """Ask a server for its load."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class CommandCompleted:
    """The answer to an order, or to other settings: what is wrong, or nothing where they are in force."""

    id: int
    error: str = ""


@dataclass(frozen=True, slots=True)
class SetAdmissionState:
    """From now on treat clients' connections so."""

    state: AdmissionState


@dataclass(frozen=True, slots=True)
class StateExported:
    """What the next process goes on from, as JSON's values."""

    state: Mapping[str, Any]


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | SendPeerMessage
    | ProbeEndpoint
    | WatchEndpoints
    | CommandCompleted
    | SetAdmissionState
    | StateExported
)
