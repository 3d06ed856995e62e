"""What happened, as the decision module is told it. Times are milliseconds; ids of requests are the
caller's."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from plumpick.policy.settings import Settings


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED_BY_WORKER = "full"  # the worker says that it did not execute it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # no byte was sent, which was not the worker's doing

    @property
    def proves_not_executed(self) -> bool:
        """Whether the worker cannot have begun the work."""
        return self in (
            AttemptResult.REJECTED_BY_WORKER,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_STARTED,
        )


class EndpointState(Enum):
    """What discovery says of an endpoint."""

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
    weight: float = 1.0  # its capacity against the others'
    started_ms: float = 0.0  # 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """Discovery answered, or could not be asked (`is_failure`; it carries nothing then). A snapshot replaces
    the list, a delta changes the endpoints that it names."""

    endpoints: tuple[Endpoint, ...]
    is_snapshot: bool = True
    is_failure: bool = False


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request has come whole, or its head if its body is streamed. Due: one final answer before
    the deadline, a RejectRequest, a FailRequest, or an attempt that is answered."""

    id: int
    customer: str
    class_name: str
    plan_name: str
    deadline_ms: float  # clock time
    units: float = 1.0
    first_gateway: int = 0  # of the customer's set of gateways, which are numbered in a row
    gateway_set_size: int = 1
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """An attempt's answer, or a streamed request body, has begun to pass: the attempt belongs to the client
    now, and the others are cancelled. A body that is not retained allows no further attempt."""

    id: int
    attempt: int
    endpoint: str
    is_body_retained: bool = True


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt has ended. Comes once for each StartAttempt, also after its request's end; `is_final`: the
    request has its answer. Without it a retry, a RejectRequest or a FailRequest is due once no attempt is in
    flight."""

    id: int
    attempt: int
    endpoint: str
    latency_ms: float
    result: AttemptResult
    is_final: bool
    actual_units: float = 0.0
    quota_used_percent: int = 0  # 1 + percent; 0: not told
    load_report: tuple[float, ...] = ()  # in the order of Settings.load_report_fields


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has left, or was answered elsewhere: nothing more is due to it."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was asked for by SetTimer."""

    name: str


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes from another gateway, or, under our own number, from another process of this one."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeCompleted:
    """The answer to a ProbeEndpoint."""

    endpoint: str
    latency_ms: float
    result: AttemptResult
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """The answer of the shared counter; this module makes no such calls."""

    name: str


class CommandKind(Enum):
    """What an operator may command."""

    DISABLE = "disable"  # a worker gets nothing more
    ENABLE = "enable"  # it is in use again
    DRAIN = "drain"  # clients are sent away
    UNDRAIN = "undrain"  # they are admitted again


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """An operator's command. Due in the same turn: a CommandCompleted with its id."""

    id: int
    kind: CommandKind
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings from now on. Due in the same turn: a CommandCompleted with its id; on an error nothing
    has changed."""

    id: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class ExportState:
    """Another process of this gateway takes over. Due in the same turn: a StateExported."""


@dataclass(frozen=True, slots=True)
class ImportState:
    """The state that the process before this one has exported."""

    state: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ResumeAfterFailedHandover:
    """The process that took over has died; this one goes on."""


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
