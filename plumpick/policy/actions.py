"""What the decision module asks to be done. Times are milliseconds; ids of requests are the caller's."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from plumpick.policy.draining import AdmissionState


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to an endpoint; its attempts are numbered from 0 in the order of these actions. Due: an
    AttemptCompleted, at the latest when the timeout is over.

    `start_within_ms`: how long from now its first byte may still leave. A retry has to arrive while its
    deduplication group knows the first attempt; one that cannot leave by then must not leave at all."""

    id: int
    endpoint: str
    timeout_ms: float
    start_within_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not executed, or without harm if it is executed again. `retry_after_ms`: 0 for no
    advice."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: it may have been executed."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt. Due: its AttemptCompleted."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired; it cannot be withdrawn."""

    delay_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to another gateway; they may be lost."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeEndpoint:
    """Ask an endpoint for its load. Due: a ProbeCompleted."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask discovery for changes from now on. Due: EndpointsUpdated."""


@dataclass(frozen=True, slots=True)
class CommandCompleted:
    """The answer to an OperatorCommand or to SettingsChanged. `error`: one line; empty: it is in force."""

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
