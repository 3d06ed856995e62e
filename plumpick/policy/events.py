"""The events that the decision module receives. Times are in milliseconds; the caller assigns the ids of
requests."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from plumpick.policy.settings import Settings


class AttemptResult(Enum):
    """The result of a completed attempt."""

    OK = "ok"
    ERROR = "error"
    REJECTED_BY_WORKER = "full"  # The worker answered that it did not execute the request.
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # No byte was sent, for a reason that is not the worker's.

    @property
    def proves_not_executed(self) -> bool:
        """Whether the result proves that the worker has not begun to execute the request."""
        return self in (
            AttemptResult.REJECTED_BY_WORKER,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_STARTED,
        )


class EndpointState(Enum):
    """The state of an endpoint according to discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of an endpoint list."""

    id: str
    zone: str
    deduplication_group: int
    state: EndpointState
    weight: float = 1.0  # Capacity relative to the other endpoints
    started_ms: float = 0.0  # Clock time at which the worker started; 0 if it has long been warm


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """An update of the endpoint list from discovery. A snapshot replaces the whole list, a delta only the
    endpoints that it names.

    `is_failure`: the call to discovery failed; the event then carries no endpoints."""

    endpoints: tuple[Endpoint, ...]
    is_snapshot: bool = True
    is_failure: bool = False


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request was received completely, or only its head if its body is streamed.

    The module must end it before its deadline in exactly one way: by a RejectRequest, by a FailRequest, or by
    an attempt whose response goes to the client."""

    id: int
    customer: str
    class_name: str
    plan_name: str
    deadline_ms: float  # Clock time after which the client no longer waits
    units: float = 1.0  # Quota units that the request consumes
    # The customer's requests go to gateway_set_size gateways with consecutive numbers from first_gateway on.
    first_gateway: int = 0
    gateway_set_size: int = 1
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response of an attempt has begun to pass to the client, or a streamed request body to the worker.

    The request is bound to this attempt from then on, and its other attempts are cancelled.
    `is_body_retained`: whether the request body is still there; without it no further attempt is possible."""

    id: int
    attempt: int
    endpoint: str
    is_body_retained: bool = True


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt has ended. Follows each StartAttempt exactly once, even after the end of its request.

    `is_final`: whether the client has its response. If not, the module must answer with a retry, a
    RejectRequest or a FailRequest once no attempt of the request is in flight."""

    id: int
    attempt: int
    endpoint: str
    latency_ms: float
    result: AttemptResult
    is_final: bool
    actual_units: float = 0.0  # Quota units that the request really consumed
    quota_used_percent: int = 0  # Used part of the customer's quota in percent, plus 1; 0 if unknown
    load_report: tuple[float, ...] = ()  # Values in the order of Settings.load_report_fields


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected, or has its response from elsewhere: the request needs no answer any
    more."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set by SetTimer has expired."""

    name: str


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message was received from another gateway; with this gateway's own number as `sender`, from another
    process of this gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeCompleted:
    """The result of a ProbeEndpoint."""

    endpoint: str
    latency_ms: float
    result: AttemptResult
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """A reply of the simulator's shared counter. The module never calls the counter and ignores this
    event."""

    name: str


class CommandKind(Enum):
    """The kinds of operators' commands."""

    DISABLE = "disable"  # Send no more attempts to the worker that the command names.
    ENABLE = "enable"  # Use a disabled worker again.
    DRAIN = "drain"  # Direct this gateway's clients to other gateways.
    UNDRAIN = "undrain"  # Admit clients again after DRAIN.


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """An operator's command. The module answers in the same turn, by a CommandCompleted with its id."""

    id: int
    kind: CommandKind
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings to apply. The module answers in the same turn, by a CommandCompleted with its id; after an
    error the old settings stay in force unchanged."""

    id: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class ExportState:
    """The hot-restart successor of this process takes over. The module answers in the same turn, by a
    StateExported."""


@dataclass(frozen=True, slots=True)
class ImportState:
    """The state that the hot-restart predecessor of this process has exported."""

    state: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ResumeAfterFailedHandover:
    """The hot-restart successor has died after it took over, and this process resumes service."""


Event = (
    EndpointsUpdated
    | RequestReceived
    | ResponseStarted
    | AttemptCompleted
    | ClientDisconnected
    | TimerFired
    | PeerMessageReceived
    | ProbeCompleted
    | CounterReplied
    | OperatorCommand
    | SettingsChanged
    | ExportState
    | ImportState
    | ResumeAfterFailedHandover
)
