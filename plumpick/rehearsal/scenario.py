"""Scenarios: what a rehearsal plays, read from TOML and checked key by key.

Times are in the unit that the key names (`_ms`, `_s`), ranges are `[low, high]` and drawn evenly.
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
    """A scenario that cannot be played; the text names the key."""


class Part(Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """What all tables have in common: a key that is not known is an error."""


class FleetPart(Part):
    """Who takes part."""

    gatekeepers: Annotated[int, Meta(ge=1, le=64)] = 3
    servers: Annotated[int, Meta(ge=1, le=2000)] = 12
    halls: Annotated[list[Name], Meta(min_length=1)] = field(
        default_factory=lambda: ["hall-a", "hall-b", "hall-c"]
    )
    sockets: Annotated[int, Meta(ge=64)] = 512  # descriptors of each gatekeeper
    memory_mb: Positive = 192.0


class ServerPart(Part):
    """A licence server: its machine, and how it reports."""

    cores: Annotated[int, Meta(ge=1)] = 2
    speed: Range = field(default_factory=lambda: [0.9, 1.1])
    slots_per_core: Annotated[int, Meta(ge=1)] = 4
    queue_per_core: Annotated[int, Meta(ge=0)] = 20
    connections: Annotated[int, Meta(ge=1)] = 1000
    idle_s: Positive = 30.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.25
    warm_s: Range = field(default_factory=lambda: [9.0, 15.0])
    report_ms: Range = field(default_factory=lambda: [130.0, 510.0])
    report_late_ms: Range = field(default_factory=lambda: [46.0, 210.0])
    drops_cancelled: bool = True  # what waits is dropped when its connection ends
    error_share: Share = 0.0


class LoadPart(Part):
    """How much is asked for."""

    share: Annotated[float, Meta(gt=0, le=3)] = 0.5  # inside the quotas, of what the servers can do
    rate_per_s: NotNegative = 0.0  # inside the quotas; above 0 it binds in place of `share`


class ClassPart(Part):
    """A class of requests."""

    name: Name
    share: Share
    work_ms: Positive
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive
    repeats: Repeats
    window_s: NotNegative = 0.0  # for keyed ones: how long a hall drops repeats


class PlanPart(Part):
    """A plan, and the part of the use inside quotas that its firms make."""

    name: Name
    share: Share
    rate_per_s: Range
    burst_s: Range
    value: Positive = 1.0
    over_cost: Share = 0.6
    ceiling: NotNegative = 0.0  # times the quota; 0: no hard ceiling


class ClientPart(Part):
    """Firms and their clients."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 3
    patience: Range = field(default_factory=lambda: [0.5, 1.0])  # of the class's deadline
    honour: Share = 0.7  # of the clients that wait as `Retry-After` says
    backoff_ms: Range = field(default_factory=lambda: [40.0, 300.0])
    spread: Annotated[list[Annotated[int, Meta(ge=1)]], Meta(min_length=2, max_length=2)] = field(
        default_factory=lambda: [2, 4]
    )
    usual_use: Range = field(default_factory=lambda: [0.15, 0.5])  # of the quota's rate
    full: Share = 0.15  # of the firms use nearly all of it
    heavy: Share = 0.08  # ask for up to `heavy_times` their quota all the time
    heavy_times: Range = field(default_factory=lambda: [1.6, 4.5])
    spiky: Share = 0.15  # ask for up to `spike_times` now and then
    spike_times: Range = field(default_factory=lambda: [2.0, 7.5])
    spike_s: Range = field(default_factory=lambda: [0.8, 4.0])
    spike_every_s: Range = field(default_factory=lambda: [10.0, 25.0])
    shift_s: Range = field(default_factory=lambda: [13.0, 23.0])  # the busiest gatekeeper of a firm changes
    skew: Range = field(default_factory=lambda: [0.3, 1.5])  # how unevenly a firm spreads; 0: evenly
    notice_s: Range = field(default_factory=lambda: [0.93, 3.1])  # a dead gatekeeper is still asked
    impatient: Share = 0.0  # of the tries whose client closes early


class PeerPart(Part):
    """Datagrams between gatekeepers."""

    delay_ms: Range = field(default_factory=lambda: [1.6, 39.0])
    loss: Share = 0.03
    inbox_per_s: Positive = 60.0


class RosterPart(Part):
    """How late the roster's news is."""

    add_s: Range = field(default_factory=lambda: [0.2, 1.2])
    drain_s: Range = field(default_factory=lambda: [0.3, 1.5])
    gone_s: Range = field(default_factory=lambda: [1.2, 4.0])
    spread_ms: Range = field(default_factory=lambda: [40.0, 360.0])  # from one gatekeeper to the next


class RulesPart(Part):
    """The figures of the rules."""

    drain_grace_ms: Positive = 1000.0
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 1000.0
    ceiling_slack: Share = 0.1  # of the ceiling's burst, or the largest request


class PricesPart(Part):
    """What comes off service, each times its share or rate."""

    waste: NotNegative = 0.05
    late_fail: NotNegative = 0.03
    peer: NotNegative = 0.02
    cross_hall: NotNegative = 0.01


class Event(Part, tag_field="do"):
    """Something that happens at `at_s`."""

    at_s: NotNegative


class KillGatekeeper(Event, tag="kill-gatekeeper"):
    """SIGKILL; it is back, with nothing but its last list, after `back_s` (0: never)."""

    gatekeeper: Annotated[int, Meta(ge=0)]
    back_s: NotNegative = 1.0


class RestartGatekeeper(Event, tag="restart-gatekeeper"):
    """SIGTERM, and a new start once it has ended."""

    gatekeeper: Annotated[int, Meta(ge=0)]


class PauseGatekeeper(Event, tag="pause-gatekeeper"):
    """SIGSTOP for so long, then SIGCONT: it stands still, and its connections stay open."""

    gatekeeper: Annotated[int, Meta(ge=0)]
    for_s: Positive = 3.5


class MoveRoster(Event, tag="move-roster"):
    """The agents' addresses move; the configurations are replaced and SIGHUP is sent."""


class RosterSilent(Event, tag="roster-silent"):
    """The roster says nothing for so long."""

    for_s: Positive


class SilentWatches(Event, tag="silent-watches"):
    """All open watches of the roster fall silent: their connections stay open, and nothing more comes there.
    New calls are answered as ever."""


class ReleaseServers(Event, tag="release-servers"):
    """A rolling release: this share of the servers is replaced by cold successors within `within_s`."""

    share: Share = 0.9
    within_s: Positive = 20.0
    linger_s: NotNegative = 3.0  # for so long one that drains goes on


class SilentServers(Event, tag="silent-servers"):
    """So many servers fall silent (no reset, no answer), and come back cold."""

    count: Annotated[int, Meta(ge=1)] = 1
    for_s: Positive = 8.0


class ServerFault(Event, tag="server-fault"):
    """So many servers (0: all of them) have a fault of this kind for so long.

    `swallow`: attempts are never answered; `error`: answered 500 after their work; `fast-error`: 500 at once;
    `reset-before`, `reset-after`: the connection breaks before or after the effect; `slow-after-record`: the
    answer comes `by_ms` after the effect; `spoilt`: noise in place of the answer; `half-speed`: `by` times
    the speed; `freeze`: nothing moves for `by_ms` of every `every_s`; `unmeasured-reset`: an answer with no
    length, which a reset cuts off.
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
    """One firm of a plan asks for so many times its quota, for so long, mostly through one gatekeeper."""

    for_s: Positive
    plan: Name
    times: Positive = 4.0
    crowd: Share = 0.5


class SplitPeers(Event, tag="split-peers"):
    """These gatekeepers and the others do not hear one another for so long."""

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


def _plans() -> list[PlanPart]:
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
    """A whole scenario; what a file leaves out is as the class has it."""

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
    plans: Annotated[list[PlanPart], Meta(min_length=1, max_length=15)] = field(default_factory=_plans)
    events: list[AnyEvent] = []

    def terms(self, seed: int, plant: str, name: str) -> dict[str, Any]:
        """What a history begins with: all that the auditor and the counting of service go by."""
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
        """The hall of the gatekeeper or server of that number."""
        return self.fleet.halls[number % len(self.fleet.halls)]

    def brief(self) -> Scenario:
        """The same in at most eight seconds: the events move together, each keeps its order and its kind."""
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
    """What no single key shows: raises ScenarioError."""
    for path, rows in (("classes", scenario.classes), ("plans", scenario.plans)):
        names = [row.name for row in rows]
        if len(set(names)) < len(names):
            raise ScenarioError(f"{path}: a name stands there twice")
        if abs(sum(row.share for row in rows) - 1) > 0.01:
            raise ScenarioError(f"{path}: the shares do not make 1")
    for number, kind in enumerate(scenario.classes):
        if kind.aim_ms > kind.deadline_ms:
            raise ScenarioError(f"classes[{number}].aim_ms: beyond the deadline")
        if kind.repeats == "keyed" and not kind.window_s:
            raise ScenarioError(f"classes[{number}].window_s: a keyed class needs one")
    for part in (scenario.server, scenario.clients, scenario.peers, scenario.roster, *scenario.plans):
        for key, value in msgspec.structs.asdict(part).items():
            if isinstance(value, list) and value[0] > value[1]:
                raise ScenarioError(
                    f"{type(part).__name__.removesuffix('Part').lower()}.{key}: {value} is no range"
                )
    count = scenario.fleet.gatekeepers
    known, plans = {kind.name for kind in scenario.classes}, {plan.name for plan in scenario.plans}
    for number, event in enumerate(scenario.events):
        path = f"events[{number}]"
        if event.at_s > scenario.seconds:
            raise ScenarioError(f"{path}.at_s: after the end")
        gates = [event.gatekeeper] if hasattr(event, "gatekeeper") else getattr(event, "side", [])
        if any(gate >= count for gate in gates):
            raise ScenarioError(f"{path}: there are only {count} gatekeepers, from 0")
        if not set(getattr(event, "classes", [])) <= known:
            raise ScenarioError(f"{path}.classes: no such class")
        if getattr(event, "plan", None) not in {None, *plans}:
            raise ScenarioError(f"{path}.plan: no such plan")
    return scenario


def shipped() -> dict[str, str]:
    """The scenarios that come with the program, by name, with their titles."""
    folder = resources.files("plumpick.rehearsal") / "scenarios"
    return {
        file.name.removesuffix(".toml"): str(tomllib.loads(file.read_text(encoding="utf-8"))["title"])
        for file in sorted(folder.iterdir(), key=lambda file: file.name)
        if file.name.endswith(".toml")
    }


def load(name: str) -> Scenario:
    """A shipped scenario by its name, or one in a file; raises ScenarioError with one line."""
    folder = resources.files("plumpick.rehearsal") / "scenarios"
    try:
        if "/" in name or name.endswith(".toml"):
            text = Path(name).read_text(encoding="utf-8")
        elif (folder / f"{name}.toml").is_file():
            text = (folder / f"{name}.toml").read_text(encoding="utf-8")
        else:
            raise ScenarioError(f"there is no scenario {name!r}; there are: {', '.join(shipped())}")
        return check(msgspec.convert(tomllib.loads(text), Scenario))
    except OSError as problem:
        raise ScenarioError(f"{name}: cannot be read: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ScenarioError(f"{name}: no TOML: {problem}") from problem
    except msgspec.ValidationError as problem:
        raise ScenarioError(f"{name}: {str(problem).replace('`$.', '`')}") from problem
