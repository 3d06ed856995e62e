"""The types that pass between a gateway and the decision module: settings, events and actions.

Times are milliseconds. Nothing in this file decides anything.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from plumpick.policy.draining import Door


class Repeat(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # a group of servers drops a repeat for a while
    UNSAFE = "unsafe"  # must never run twice


class Scope(Enum):
    """Which servers drop repeats of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the server never began the work."""
        return self in (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)


class State(Enum):
    """What discovery says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


def _refuse_below(low: float, **values: float) -> None:
    for key, value in values.items():
        if not value >= low:
            raise ValueError(f"{key}: {value!r} is below {low}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what it wants and what may be done with it."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    repeat: Repeat
    late_worth: float = 0.0
    scope: Scope = Scope.ALL
    window_ms: float = 0.0
    streamed: bool = False
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        _refuse_below(
            0,
            aim_ms=self.aim_ms,
            deadline_ms=self.deadline_ms,
            worth=self.worth,
            late_worth=self.late_worth,
            window_ms=self.window_ms,
        )
        if not isinstance(self.repeat, Repeat):
            raise ValueError(f"repeat: {self.repeat!r} is no kind of repeat")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the quota of each of its customers over all gateways, and the price of leaving it."""

    name: str
    rate_per_s: float = 0.0  # 0: no quota on the rate
    burst: float = 0.0
    max_out: int = 0  # 0: no quota on attempts out at once
    value: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_per_s: float = 0.0  # 0: no ceiling
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _refuse_below(
            0,
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            max_out=self.max_out,
            value=self.value,
            over_worth=self.over_worth,
            over_cost=self.over_cost,
            ceiling_per_s=self.ceiling_per_s,
            ceiling_burst=self.ceiling_burst,
            ceiling_slack=self.ceiling_slack,
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told when it starts."""

    gateways: int
    number: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    warm_up_ms: float
    cold_from: float
    fall_multiple: float
    fall_window_ms: float
    max_attempts: int
    tick_ms: float = 1.0
    max_units: float = 1.0
    may_cancel: bool = True
    may_tell: bool = False
    may_probe: bool = False
    second_copies: bool = False
    must_subscribe: bool = False
    settles: bool = False
    max_retry_after_ms: float = 0.0
    inbox_per_s: float = 0.0
    ask_within_ms: float = 10_000.0
    report_how: str = "none"
    report_fields: tuple[str, ...] = ()
    cross_zone_price: float = 0.0
    peer_price: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: there are none")
        if not self.plans:
            raise ValueError("plans: there are none")
        _refuse_below(1, gateways=self.gateways, max_attempts=self.max_attempts)
        _refuse_below(
            0,
            number=self.number,
            warm_up_ms=self.warm_up_ms,
            cold_from=self.cold_from,
            fall_multiple=self.fall_multiple,
            fall_window_ms=self.fall_window_ms,
            max_units=self.max_units,
            inbox_per_s=self.inbox_per_s,
        )
        if self.number >= self.gateways:
            raise ValueError(f"number: {self.number} is not below gateways ({self.gateways})")


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Server:
    """One line of a fleet list."""

    id: str
    zone: str
    cell: int
    state: State
    weight: float = 1.0
    started_ms: float = 0.0  # 0: long ago


@dataclass(frozen=True, slots=True)
class Fleet:
    """Discovery's view. `complete` lists replace the old one; `failed` ones carry nothing."""

    servers: tuple[Server, ...]
    complete: bool = True
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request, from now on owed one final answer by `due_ms`."""

    id: int
    customer: str
    class_name: str
    plan_name: str
    due_ms: float
    units: float = 1.0
    first_gateway: int = 0
    spread: int = 1
    is_repeat: bool = False


@dataclass(frozen=True, slots=True)
class Started:
    """A streamed answer, or a request's body, has begun; the attempt belongs to the client now."""

    id: int
    attempt: int
    server: str
    kept: bool = True  # False: its body goes on while it comes, so there is no further attempt


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended; `final` says that its request has ended too."""

    id: int
    attempt: int
    server: str
    took_ms: float
    result: Result
    final: bool
    true_units: float = 0.0
    used_percent: int = 0  # 1 + percent; 0: not told
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing more is owed."""

    id: int


@dataclass(frozen=True, slots=True)
class Woken:
    """A wake-up that was asked for."""

    name: str


@dataclass(frozen=True, slots=True)
class Heard:
    """Bytes from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Probed:
    """The answer to a probe."""

    server: str
    took_ms: float
    result: Result
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Counted:
    """The answer of the shared counter; this module makes no such calls."""

    name: str


class Call(Enum):
    """What an operator may order."""

    DISABLE = "disable"  # nothing more to a worker
    ENABLE = "enable"  # it is back
    DRAIN = "drain"  # send clients away
    UNDRAIN = "undrain"  # take them again


@dataclass(frozen=True, slots=True)
class Order:
    """An operator's call; `number` names it in the answer, `server` the worker that it is about."""

    number: int
    call: Call
    server: str = ""


@dataclass(frozen=True, slots=True)
class Reconfigure:
    """Other settings from now on; `number` names this in the answer, a `Said`: refused, nothing changes."""

    number: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Leave:
    """Another process of this gatekeeper takes over: its state is due, as an `Estate`."""


@dataclass(frozen=True, slots=True)
class Inherit:
    """The state that the process before this one has left."""

    state: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Resume:
    """The process that took over has died; this one goes on."""


Event = (
    Fleet
    | Arrival
    | Started
    | Outcome
    | ClientGone
    | Woken
    | Heard
    | Probed
    | Counted
    | Order
    | Reconfigure
    | Leave
    | Inherit
    | Resume
)


# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; attempts of a request are numbered from 0 in the order of their sends.

    `within_ms`: how long from now its first byte may still leave. A repeat has to come while its group
    remembers the first; what cannot leave by then, for a connection comes up late, must not leave at all."""

    id: int
    server: str
    allow_ms: float
    within_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final: it is safe to try again."""

    id: int
    retry_in_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final: no promise is made."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Ask for a `Woken` event."""

    after_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send bytes to another gateway."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class Said:
    """The answer to an order, or to other settings: what is wrong, or nothing where they are in force."""

    number: int
    wrong: str = ""


@dataclass(frozen=True, slots=True)
class Doors:
    """From now on treat clients' connections so."""

    stage: Door


@dataclass(frozen=True, slots=True)
class Estate:
    """What the next process goes on from, as JSON's values."""

    state: Mapping[str, Any]


Action = Send | Refuse | Fail | Cancel | Wake | Tell | Probe | Subscribe | Said | Doors | Estate
