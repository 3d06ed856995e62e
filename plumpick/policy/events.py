"""What happened, as the decision module is told it. Times are milliseconds."""

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
    REJECTED_BY_WORKER = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"

    @property
    def proves_not_executed(self) -> bool:
        """True where the outcome proves that the server never began the work."""
        return self in (
            AttemptResult.REJECTED_BY_WORKER,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_STARTED,
        )


class EndpointState(Enum):
    """What discovery says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of a fleet list."""

    id: str
    zone: str
    deduplication_group: int
    state: EndpointState
    weight: float = 1.0
    started_ms: float = 0.0  # 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """Discovery's view. `complete` lists replace the old one; `failed` ones carry nothing."""

    endpoints: tuple[Endpoint, ...]
    is_snapshot: bool = True
    is_failure: bool = False


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request, from now on owed one final answer by `due_ms`."""

    id: int
    customer: str
    class_name: str
    plan_name: str
    deadline_ms: float
    units: float = 1.0
    first_gateway: int = 0
    gateway_set_size: int = 1
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed answer, or a request's body, has begun; the attempt belongs to the client now."""

    id: int
    attempt: int
    endpoint: str
    is_body_retained: bool = True  # False: its body goes on while it comes, so there is no further attempt


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """How one attempt ended; `final` says that its request has ended too."""

    id: int
    attempt: int
    endpoint: str
    latency_ms: float
    result: AttemptResult
    is_final: bool
    actual_units: float = 0.0
    quota_used_percent: int = 0  # 1 + percent; 0: not told
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A wake-up that was asked for."""

    name: str


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeCompleted:
    """The answer to a probe."""

    endpoint: str
    latency_ms: float
    result: AttemptResult
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """The answer of the shared counter; this module makes no such calls."""

    name: str


class CommandKind(Enum):
    """What an operator may order."""

    DISABLE = "disable"  # nothing more to a worker
    ENABLE = "enable"  # it is back
    DRAIN = "drain"  # send clients away
    UNDRAIN = "undrain"  # take them again


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """An operator's call; `number` names it in the answer, `server` the worker that it is about."""

    id: int
    kind: CommandKind
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings from now on; `number` names this in the answer, a `Said`: refused, nothing changes."""

    id: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class ExportState:
    """Another process of this gatekeeper takes over: its state is due, as an `Estate`."""


@dataclass(frozen=True, slots=True)
class ImportState:
    """The state that the process before this one has left."""

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
