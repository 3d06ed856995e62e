"""The door between fronts and the core: bytes become an `Ask`, which gets one final answer.

A front knows the core by `Core` alone, the core a front by `Front` and who has asked by `Asker`; no front
knows another."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from plumpick.gateway.clock import Clock, Timers
from plumpick.policy.draining import AdmissionState
from plumpick.policy.settings import RequestClass, Settings

SWEEP_MS = 100.0  # how often fronts close what has had its time
STILL_MS = 100.0  # a sweep so much late: we stood still


class InUse(ValueError):
    """The id of a request is that of another; the text says so."""


class Ask(NamedTuple):
    """A whole request: what the module decides by, and what a worker is sent."""

    id: bytes
    customer: str
    kind: RequestClass
    plan: str
    wait_ms: float  # that its client waits, from when it was read
    units: float
    spread: int
    first: int
    is_repeat: bool
    key: bytes | None
    method: bytes
    target: bytes
    content_type: bytes | None
    body: bytes
    came_ms: float  # when its last byte was read; for a stream, its head
    stream: Any = None  # a `Stream` in place of the body: it goes on while it comes


class Stream(Protocol):
    """A body that goes on while it comes (upstream/body.py)."""

    length: int
    begun: bool
    whole: bool
    held: bool
    moved_ms: float


class Source(Protocol):
    """Where an answer comes from that goes on while it comes."""

    def hold(self) -> None:
        """Give no more for now."""

    def go_on(self) -> None:
        """Give again."""


class Asker(Protocol):
    """Who has asked."""

    def begin(self, length: int, kind: bytes, source: Source, mark: int) -> None:
        """A 200 whose body follows by `part`, until `finish` or `broken`. `length`: -1 if it is not known;
        `mark`: of bytes that may wait to be written before the source is held."""

    def part(self, data: bytes) -> None:
        """Some more of it."""

    def finish(self) -> None:
        """That was all."""

    def broken(self) -> None:
        """The rest will not come: it must not look whole."""

    def answer(self, status: int, body: bytes = b"", kind: bytes = b"", retry_in_ms: float = 0.0) -> None:
        """The one final answer: a status of HTTP, and with 200 a worker's whole body and its type."""

    def has_gone(self) -> bool:
        """Whether who asked has left, though that may not have been read yet."""

    def drop(self) -> None:
        """Close at once."""


class Front(Protocol):
    """What the core asks of a front."""

    def late_ms(self, now: float) -> float:
        """How late its next sweep is: for so long we may have stood still."""

    def sweep(self, now: float, ending: bool) -> None:
        """Close what has had its time; `ending`: the gatekeeper keeps no connection any more. What is idle
        or unheard closes besides as `Core.door` has it."""

    def close_idle(self) -> None:
        """Close the connections on which nothing is open."""

    def busy(self) -> bool:
        """Whether a connection is still open."""

    def unwritten(self) -> bool:
        """Whether some of an answer is not with the system yet."""

    def connections(self) -> int:
        """How many it holds."""

    def limit(self, sockets: int) -> None:
        """How many descriptors the process may hold from now on."""

    def reconfigure(self, settings: Settings) -> None:
        """What is read from now on goes by these; of what is open nothing changes."""


class Core(Protocol):
    """What a front asks of the core."""

    clock: Clock
    timers: Timers
    ready: bool  # what `/up` says
    draining: bool  # each answer closes its connection
    door: AdmissionState  # what else is closed

    def spare_descriptors(self) -> int:
        """Descriptors kept for workers that nobody uses now."""

    def has_stalled(self) -> bool:
        """Whether what is read now may have waited for us; timers come before it."""

    def stream(self, giver: Source, length: int) -> Any:
        """A body that goes on while it comes, of so many bytes (-1: not known); a `Stream` that is fed."""

    def came_whole(self, request: Any) -> None:
        """The last byte of a request's body has come: its time counts from now on."""

    def take(self, asker: Asker, ask: Ask) -> Any:
        """A whole request has come in: from here on it is owed one final answer. Raises InUse. What it
        returns names the request to `left`."""

    def left(self, request: Any) -> None:
        """Who asked that has gone; a request that has been answered is passed over."""


class Operable(Protocol):
    """What the operators' front asks of the core."""

    clock: Clock
    timers: Timers

    def call(self, name: str, argument: str) -> tuple[bool, str]:
        """Carry out an operator's call; whether that is refused, and what there is to say."""


class Sibling(Protocol):
    """What the core tells another process of the same gatekeeper."""

    def heard(self, sender: int, data: bytes) -> None:
        """What a peer has told."""

    def said(self, data: bytes) -> None:
        """What the module tells its own number."""

    def ordered(self, name: str, argument: str) -> None:
        """An operator's call that is in force here."""


class RequestCounter(Protocol):
    """Counts requests for the fleet's usage (cluster/usage_collector.py)."""

    def count(self, plan: str, outcome: int, units: float) -> None:
        """A request has its final outcome: served (0), rejected (1) or failed (2)."""


class Part(Protocol):
    """This process's part in what is done for the whole tier (cluster/lease_runner.py)."""

    @property
    def usage(self) -> RequestCounter:
        """Where requests are counted."""

    def on_datagram(self, sender: int, data: bytes) -> None:
        """A datagram about leases has come from a gateway."""

    def want_restart_permit(self, wanted: bool) -> str:
        """Drain this gateway once it has a restart permit, or no longer; the error's text, or nothing."""

    def tasks_status(self, argument: str) -> tuple[bool, str]:
        """The reply to DUTIES: whether the command is rejected, and one line."""

    def budgets_status(self, argument: str) -> tuple[bool, str]:
        """The reply to BUDGETS: whether the command is rejected, and one line."""


class Versioned(Protocol):
    """What the core asks of the client of its settings (dynamic_config/client.py)."""

    def status_line(self) -> str:
        """The answer to CONFIGURATION."""
