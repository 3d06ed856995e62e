"""Scenarios: the description of a rehearsal's fleet, load and faults, read from TOML and validated.

Times are in the unit that ends the key (`_ms`, `_s`). Ranges are `[low, high]`, from which values are drawn
uniformly.
"""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from plumpick.rehearsal.records import VERSION

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Range = Annotated[list[NotNegative], Meta(min_length=2, max_length=2)]
Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,30}$")]
Repeats = Literal["safe", "keyed", "unsafe"]


class ScenarioError(ValueError):
    """A scenario is invalid; the message names the key."""


class Part(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """Base class of all tables of a scenario; an unknown key is an error."""


class FleetPart(Part):
    """Numbers of gateways and workers, their zones, and resources."""

    gatekeepers: Annotated[int, Meta(ge=1, le=64)] = 3
    servers: Annotated[int, Meta(ge=1, le=2000)] = 12
    halls: Annotated[list[Name], Meta(min_length=1)] = field(
        default_factory=lambda: ["hall-a", "hall-b", "hall-c"]
    )
    sockets: Annotated[int, Meta(ge=64)] = 512  # maximum number of file descriptors of each gateway
    memory_mb: Positive = 192.0  # maximum memory of each gateway


class ServerPart(Part):
    """Machine and load reports of a worker stub."""

    cores: Annotated[int, Meta(ge=1)] = 2
    # factor of the work that a worker does per unit of time
    speed: Range = field(default_factory=lambda: [0.9, 1.1])
    # maximum number of concurrent attempts per core of a worker
    slots_per_core: Annotated[int, Meta(ge=1)] = 4
    queue_per_core: Annotated[int, Meta(ge=0)] = 20  # maximum number of queued attempts per core of a worker
    connections: Annotated[int, Meta(ge=1)] = 1000  # maximum number of open connections to a worker
    idle_s: Positive = 30.0  # time after which a worker closes an idle connection
    # share of its capacity that a worker has at its start
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.25
    # time in which a worker warms up to full capacity
    warm_s: Range = field(default_factory=lambda: [9.0, 15.0])
    # interval between load reports of a worker
    report_ms: Range = field(default_factory=lambda: [130.0, 510.0])
    report_late_ms: Range = field(default_factory=lambda: [46.0, 210.0])  # delay of a worker's load report
    drops_cancelled: bool = True  # whether a queued attempt is dropped when its connection ends
    error_share: Share = 0.0  # share of the attempts that are answered with an error


class LoadPart(Part):
    """Load within the quotas, as a share of the workers' capacity or as a rate."""

    share: Annotated[float, Meta(gt=0, le=3)] = 0.5  # load within the quotas / capacity of all workers
    rate_per_s: NotNegative = 0.0  # rate of requests within the quotas; replaces `share` if above 0


class ClassPart(Part):
    """A request class: its share of the requests, its work, target time, deadline, worth and idempotency."""

    name: Name
    share: Share
    work_ms: Positive
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive
    repeats: Repeats
    window_s: NotNegative = 0.0  # deduplication window of a zone for a keyed class


class PlanPart(Part):
    """A plan; `share` is the share of its customers in the load within the quotas."""

    name: Name
    share: Share
    rate_per_s: Range
    burst_s: Range
    value: Positive = 1.0
    over_cost: Share = 0.6  # share of the worth that is charged for requests served beyond the quota
    ceiling: NotNegative = 0.0  # hard ceiling as a multiple of the quota; 0: no ceiling


class ClientPart(Part):
    """Behaviour of customers and their clients: use of quotas, spikes, time limits and retries."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 3  # maximum number of retries per operation
    # client timeout / deadline of the request class
    patience: Range = field(default_factory=lambda: [0.5, 1.0])
    honour: Share = 0.7  # share of the clients that wait as long as `Retry-After` says
    # time before a retry, to be multiplied by 2 ** try
    backoff_ms: Range = field(default_factory=lambda: [40.0, 300.0])
    # Number of gateways to which a customer sends requests.
    spread: Annotated[list[Annotated[int, Meta(ge=1)]], Meta(min_length=2, max_length=2)] = field(
        default_factory=lambda: [2, 4]
    )
    # usual request rate of a customer / its quota rate
    usual_use: Range = field(default_factory=lambda: [0.15, 0.5])
    full: Share = 0.15  # share of the customers that use nearly all of their quota
    heavy: Share = 0.08  # share of the customers that always request `heavy_times` their quota
    heavy_times: Range = field(default_factory=lambda: [1.6, 4.5])
    spiky: Share = 0.15  # share of the customers that have spikes of `spike_times` their quota
    spike_times: Range = field(default_factory=lambda: [2.0, 7.5])
    spike_s: Range = field(default_factory=lambda: [0.8, 4.0])  # duration of a customer's spike
    spike_every_s: Range = field(default_factory=lambda: [10.0, 25.0])  # time between spikes of a customer
    # Time until the busiest gateway of a customer changes.
    shift_s: Range = field(default_factory=lambda: [13.0, 23.0])
    # unevenness of a customer's traffic over its gateways; 0: even
    skew: Range = field(default_factory=lambda: [0.3, 1.5])
    # time until clients avoid a gateway that has died
    notice_s: Range = field(default_factory=lambda: [0.93, 3.1])
    impatient: Share = 0.0  # share of the tries that the client cancels early


class PeerPart(Part):
    """Delay, loss and maximum rate of the datagrams between gateways."""

    delay_ms: Range = field(default_factory=lambda: [1.6, 39.0])
    loss: Share = 0.03  # share of datagrams between gateways that are lost
    inbox_per_s: Positive = 60.0  # maximum number of datagrams per second delivered to a gateway


class RosterPart(Part):
    """Range of delay between a change of a worker and its notification by discovery, by kind of change."""

    add_s: Range = field(default_factory=lambda: [0.2, 1.2])
    drain_s: Range = field(default_factory=lambda: [0.3, 1.5])
    gone_s: Range = field(default_factory=lambda: [1.2, 4.0])
    # additional delay of a notification, per gateway
    spread_ms: Range = field(default_factory=lambda: [40.0, 360.0])


class RulesPart(Part):
    """Limits of the audited rules."""

    drain_grace_ms: Positive = 1000.0  # time after which a draining worker must get no new attempts
    fall_multiple: Positive = 2.5  # work in `fall_ms` that overloads a cold worker / its current capacity
    fall_ms: Positive = 1000.0
    ceiling_slack: Share = 0.1  # slack of a ceiling / its burst; at least the largest request


class PricesPart(Part):
    """Prices subtracted from the service score, each multiplied by its measured share or rate."""

    waste: NotNegative = 0.05  # price of wasted work
    late_fail: NotNegative = 0.03  # price of worth that failed after its target time
    peer: NotNegative = 0.02  # price of datagram bytes between gateways
    cross_hall: NotNegative = 0.01  # price of attempts sent to a worker in another zone


class Event(Part, tag_field="do"):
    """Base class of scheduled events; `at_s` is the time since the start of the run."""

    at_s: NotNegative


class KillGatekeeper(Event, tag="kill-gatekeeper"):
    """Sends SIGKILL to a gateway; restarts it after `back_s` (0: never) with only its last endpoint list."""

    gatekeeper: Annotated[int, Meta(ge=0)]
    back_s: NotNegative = 1.0


class RestartGatekeeper(Event, tag="restart-gatekeeper"):
    """Sends SIGTERM to a gateway and starts it again when its process has ended."""

    gatekeeper: Annotated[int, Meta(ge=0)]


class PauseGatekeeper(Event, tag="pause-gatekeeper"):
    """Stalls a gateway by SIGSTOP for `for_s`, then sends SIGCONT; its connections stay open."""

    gatekeeper: Annotated[int, Meta(ge=0)]
    for_s: Positive = 3.5


class MoveRoster(Event, tag="move-roster"):
    """Moves the discovery agents to new addresses, replaces the configurations and sends SIGHUP."""


class RosterSilent(Event, tag="roster-silent"):
    """Makes discovery unreachable for `for_s`."""

    for_s: Positive


class SilentWatches(Event, tag="silent-watches"):
    """Stops all open discovery watches from sending events; their connections stay open.

    New calls are answered normally.
    """


class ReleaseServers(Event, tag="release-servers"):
    """A rolling release: replaces this share of the workers by cold ones within `within_s`."""

    share: Share = 0.9
    within_s: Positive = 20.0
    linger_s: NotNegative = 3.0  # time for which a draining worker keeps running


class SilentServers(Event, tag="silent-servers"):
    """Makes `count` workers unreachable (no reset, no answer) for `for_s`; they come back cold."""

    count: Annotated[int, Meta(ge=1)] = 1
    for_s: Positive = 8.0


class ServerFault(Event, tag="server-fault"):
    """Injects a fault into `count` workers (0: all) for `for_s`.

    `swallow`: attempts are never answered; `error`: attempts are answered 500 after their work; `fast-error`:
    attempts are answered 500 immediately; `reset-before`, `reset-after`: the connection is reset before or
    after the effect; `slow-after-record`: the answer is sent `by_ms` after the effect; `spoilt`: random bytes
    are sent instead of the answer; `half-speed`: the speed is multiplied by `by`; `freeze`: the worker stalls
    for `by_ms` every `every_s`; `unmeasured-reset`: an answer without a length is cut off by a reset.
    """

    fault: Literal[
        "swallow",
        "error",
        "fast-error",
        "reset-before",
        "reset-after",
        "slow-after-record",
        "spoilt",
        "half-speed",
        "freeze",
        "unmeasured-reset",
    ]
    for_s: Positive
    count: Annotated[int, Meta(ge=0)] = 0
    classes: list[Name] = []
    share: Share = 1.0
    by: Positive = 0.5
    by_ms: NotNegative = 1000.0
    every_s: Positive = 5.0


class HotFirm(Event, tag="hot-firm"):
    """A customer of a plan requests `times` its quota for `for_s`, a share `crowd` of it via one gateway."""

    for_s: Positive
    plan: Name
    times: Positive = 4.0
    crowd: Share = 0.5


class SplitPeers(Event, tag="split-peers"):
    """Cuts all datagrams between the gateways in `side` and the others for `for_s`."""

    for_s: Positive
    side: Annotated[list[Annotated[int, Meta(ge=0)]], Meta(min_length=1)]


AnyEvent = (
    KillGatekeeper
    | RestartGatekeeper
    | PauseGatekeeper
    | MoveRoster
    | RosterSilent
    | SilentWatches
    | ReleaseServers
    | SilentServers
    | ServerFault
    | HotFirm
    | SplitPeers
)


def default_classes() -> list[ClassPart]:
    return [
        ClassPart(
            name="seat-check", share=0.35, work_ms=88, aim_ms=750, deadline_ms=2000, worth=3, repeats="safe"
        ),
        ClassPart(
            name="seat-checkout",
            share=0.34,
            work_ms=225,
            aim_ms=2000,
            deadline_ms=7500,
            worth=3,
            repeats="keyed",
            window_s=15,
        ),
        ClassPart(
            name="hours-debit",
            share=0.31,
            work_ms=225,
            aim_ms=2000,
            deadline_ms=7500,
            worth=2,
            repeats="unsafe",
        ),
    ]


def default_plans() -> list[PlanPart]:
    return [
        PlanPart(name="basico", share=0.41, rate_per_s=[0.6, 1.0], burst_s=[3.4, 5.4], value=0.88),
        PlanPart(
            name="estandar", share=0.26, rate_per_s=[1.5, 2.7], burst_s=[3.3, 5.4], value=1.3, over_cost=0.8
        ),
        PlanPart(
            name="amplio", share=0.33, rate_per_s=[6.1, 11.0], burst_s=[1.0, 2.9], value=1.8, ceiling=2.0
        ),
    ]


class Scenario(Part):
    """A complete scenario; keys missing in a file have the defaults of this class."""

    title: str = "a calm day"
    seconds: Annotated[float, Meta(ge=1, le=86_400)] = 50.0
    fleet: FleetPart = FleetPart()
    server: ServerPart = ServerPart()
    load: LoadPart = LoadPart()
    clients: ClientPart = ClientPart()
    peers: PeerPart = PeerPart()
    roster: RosterPart = RosterPart()
    rules: RulesPart = RulesPart()
    prices: PricesPart = PricesPart()
    classes: Annotated[list[ClassPart], Meta(min_length=1, max_length=15)] = field(
        default_factory=default_classes
    )
    plans: Annotated[list[PlanPart], Meta(min_length=1, max_length=15)] = field(default_factory=default_plans)
    events: list[AnyEvent] = []

    def terms(self, seed: int, plant: str, name: str) -> dict[str, Any]:
        """Return the terms at the start of a history: the parameters of the auditor and the service score."""
        return {
            "version": VERSION,
            "scenario": name,
            "title": self.title,
            "seed": seed,
            "plant": plant,
            "seconds": self.seconds,
            "gatekeepers": self.fleet.gatekeepers,
            "rules": msgspec.to_builtins(self.rules),
            "prices": msgspec.to_builtins(self.prices),
            "classes": msgspec.to_builtins(self.classes),
            "halls": {f"n{number}": self.hall_of(number) for number in range(self.fleet.gatekeepers)},
        }

    def hall_of(self, number: int) -> str:
        """Return the zone of the gateway or worker with this number."""
        return self.fleet.halls[number % len(self.fleet.halls)]

    def brief(self) -> Scenario:
        """Return the scenario shortened to at most eight seconds, with all events at scaled times."""
        seconds = min(8.0, self.seconds)
        part = seconds / self.seconds
        if part == 1.0:
            return self

        def shorter(event: AnyEvent) -> AnyEvent:
            news: dict[str, Any] = {"at_s": event.at_s * part}
            if hasattr(event, "for_s"):
                news["for_s"] = max(1.5, event.for_s * part)
            if isinstance(event, ReleaseServers):
                news |= {
                    "within_s": max(2.0, event.within_s * part),
                    "share": min(event.share, 0.25),
                    "linger_s": min(event.linger_s, 2.0),
                }
            return msgspec.structs.replace(event, **news)

        return msgspec.structs.replace(
            self, seconds=seconds, events=[shorter(event) for event in self.events]
        )


def check(scenario: Scenario) -> Scenario:  # noqa: C901  (to be split by concern)
    """Return the scenario; raises ScenarioError if its keys are inconsistent with one another."""
    for path, rows in (("classes", scenario.classes), ("plans", scenario.plans)):
        names = [row.name for row in rows]
        if len(set(names)) < len(names):
            raise ScenarioError(f"{path}: duplicate name, got {', '.join(names)}")
        if abs(sum(row.share for row in rows) - 1) > 0.01:
            raise ScenarioError(
                f"{path}: the shares must add up to 1, got {sum(row.share for row in rows):g}"
            )
    for number, kind in enumerate(scenario.classes):
        if kind.aim_ms > kind.deadline_ms:
            raise ScenarioError(
                f"classes[{number}].aim_ms: {kind.aim_ms:g} exceeds deadline_ms, {kind.deadline_ms:g}"
            )
        if kind.repeats == "keyed" and not kind.window_s:
            raise ScenarioError(f"classes[{number}].window_s: must be above 0 for a keyed class")
    for part in (scenario.server, scenario.clients, scenario.peers, scenario.roster, *scenario.plans):
        for key, value in msgspec.structs.asdict(part).items():
            if isinstance(value, list) and value[0] > value[1]:
                raise ScenarioError(
                    f"{type(part).__name__.removesuffix('Part').lower()}.{key}: "
                    f"expected a range [low, high], got {value}"
                )
    count = scenario.fleet.gatekeepers
    known, plans = {kind.name for kind in scenario.classes}, {plan.name for plan in scenario.plans}
    for number, event in enumerate(scenario.events):
        path = f"events[{number}]"
        if event.at_s > scenario.seconds:
            raise ScenarioError(f"{path}.at_s: {event.at_s:g} is after the end, {scenario.seconds:g} s")
        gates = [event.gatekeeper] if hasattr(event, "gatekeeper") else getattr(event, "side", [])
        if any(gate >= count for gate in gates):
            raise ScenarioError(f"{path}: gatekeeper number must be below {count}, got {gates}")
        if not set(getattr(event, "classes", [])) <= known:
            raise ScenarioError(f"{path}.classes: unknown class in {getattr(event, 'classes', [])}")
        if getattr(event, "plan", None) not in {None, *plans}:
            raise ScenarioError(f"{path}.plan: unknown plan {getattr(event, 'plan', None)!r}")
    return scenario


def shipped() -> dict[str, str]:
    """Return the titles of the scenarios shipped with the package, by name."""
    folder = resources.files("plumpick.rehearsal") / "scenarios"
    return {
        file.name.removesuffix(".toml"): str(tomllib.loads(file.read_text(encoding="utf-8"))["title"])
        for file in sorted(folder.iterdir(), key=lambda file: file.name)
        if file.name.endswith(".toml")
    }


def load(name: str) -> Scenario:
    """Return a shipped scenario by name or a scenario from a file; raises ScenarioError with one line."""
    folder = resources.files("plumpick.rehearsal") / "scenarios"
    try:
        if "/" in name or name.endswith(".toml"):
            text = Path(name).read_text(encoding="utf-8")
        elif (folder / f"{name}.toml").is_file():
            text = (folder / f"{name}.toml").read_text(encoding="utf-8")
        else:
            raise ScenarioError(f"unknown scenario {name!r}; available scenarios: {', '.join(shipped())}")
        return check(msgspec.convert(tomllib.loads(text), Scenario))
    except OSError as problem:
        raise ScenarioError(f"{name}: cannot be read: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ScenarioError(f"{name}: invalid TOML: {problem}") from problem
    except msgspec.ValidationError as problem:
        raise ScenarioError(f"{name}: {str(problem).replace('`$.', '`')}") from problem
