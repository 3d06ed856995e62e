"""The actions that the decision module requests from its caller. Times are in milliseconds; the caller
assigns the ids of requests."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from plumpick.policy.draining import AdmissionState


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to an endpoint. The attempts of a request are numbered from 0, in the order of these
    actions. The caller answers by an AttemptCompleted, at the latest when the timeout expires.

    `number`: number of the attempt, by which it is completed even if its request has ended meanwhile.
    `start_within_ms`: time from now within which the first byte must be sent, or the attempt must not be sent
    at all. A retry has to arrive while the workers of its deduplication group remember the first attempt."""

    id: int
    endpoint: str
    timeout_ms: float
    start_within_ms: float = math.inf
    number: int = 0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Answer the client finally that the request was not executed, or may safely be executed again.

    `retry_after_ms`: delay to recommend before a retry; 0 for no recommendation."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Answer the client finally that the request failed and may have been executed."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt. The caller still answers by its AttemptCompleted."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer, which the caller answers by a TimerFired; a timer cannot be cancelled."""

    delay_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another gateway, without a guarantee of delivery."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeEndpoint:
    """Request the load report of an endpoint, which the caller answers by a ProbeCompleted."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Begin to watch the endpoint list of discovery, which the caller answers by EndpointsUpdated events."""


@dataclass(frozen=True, slots=True)
class CommandCompleted:
    """The answer to an OperatorCommand or to SettingsChanged.

    `error`: one line that says why it was not applied; empty if it is in force."""

    id: int
    error: str = ""


@dataclass(frozen=True, slots=True)
class SetAdmissionState:
    """Treat clients' connections according to this admission state from now on."""

    state: AdmissionState


@dataclass(frozen=True, slots=True)
class StateExported:
    """The state for the hot-restart successor, as values that JSON can hold."""

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
