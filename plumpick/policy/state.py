"""Plain records of the decision module. Nothing is decided here."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from plumpick.policy.disabled_workers import Bans
from plumpick.policy.events import Endpoint, RequestReceived
from plumpick.policy.peer_messages import OutlierReport, QuotaMessage
from plumpick.policy.settings import Plan, RequestClass, Settings


@dataclass(slots=True, eq=False)
class Account:
    """One customer at this gateway."""

    plan: Plan
    tag: int
    spread: int
    home: int  # the gateway of its set that keeps its store
    at_ms: float
    own: float = 0.0  # our bucket; below nothing after a send on credit
    ceiling: float = 0.0  # units in our slice of the ceiling
    slice: float = 0.0  # that slice, of the whole ceiling
    asked: float = 0.0  # fading sum of units asked of us
    total: float = 0.0  # asked of the whole set a second, as the home last told
    total_ms: float = -math.inf
    told: float = 0.0  # the same, kept for longer
    told_ms: float = -math.inf
    out: int = 0  # requests let in and not ended


@dataclass(slots=True, eq=False)
class Store:
    """One customer's quota, at its home."""

    plan: Plan
    level: float
    at_ms: float
    ceiling: float = 0.0  # the home's part of the ceiling
    asked: float = 0.0  # fading sum of units asked by the whole set
    queue: list[Ask] = field(default_factory=list)
    leases: dict[tuple[int, int, int], float] = field(default_factory=dict)  # slots taken, until when
    done: dict[tuple[int, int, int], float] = field(default_factory=dict)  # tries granted or told, when
    backs: set[tuple[int, int, int]] = field(default_factory=set)  # of these, not to be given back
    spent: set[tuple[int, int, int]] = field(default_factory=set)  # of these, told as sent on without a grant
    members: tuple[int, ...] = ()  # the others of the customer's set
    askers: dict[int, float] = field(default_factory=dict)  # of them, who asked, and when last
    kept: float = 0.0  # units not granted since members are silent, that live by parts of their own
    wake_ms: float = math.inf
    born_ms: float = 0.0  # when this store was made
    before: float = 0.0  # units a second that its askers had asked for before they first asked here
    begun: float = 1.0  # the part of its burst that it is taken to have begun with


@dataclass(slots=True, eq=False)
class Ask:
    """A try that waits at its customer's home."""

    key: tuple[int, int, int]  # gateway, its boot number, serial
    item: QuotaMessage
    worth: float
    came_ms: float
    until_ms: float


@dataclass(slots=True, eq=False)
class Backend:
    """What is known of one server."""

    entry: Endpoint
    out: int = 0
    slow: float = 1.0  # answer times against those of the fleet,
    seen: dict[str, float] = field(default_factory=dict)  # fading counts of outcomes, by class
    bad: dict[str, float] = field(default_factory=dict)  # and of failures
    seen_ms: float = 0.0
    others: float = 0.0  # load of others, by its last report
    report_ms: float = -math.inf
    cold_ms: list[float] = field(default_factory=list)  # when it was sent something while it was cold
    words: dict[int, float] = field(default_factory=dict)  # when a peer's word on it last counted, by gateway
    accused: dict[int, float] = field(default_factory=dict)  # who saw it fail, and when; -1: we
    place: int = 0  # its order on the ring


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt that is out."""

    backend: Backend
    class_name: str
    sent_ms: float
    aim_ms: float = 0.0  # of its class, as it was when its request came
    overdue_ms: float = 0.0  # the wait that made it overdue; 0: it is not
    lost: float = 0.0  # the part of it that the window does not count
    chance: float = 1.0  # that it still answers, when it was last looked at
    look_ms: float = 0.0  # when it is looked at again, once it is overdue
    spans: float = 0.0  # such waits since then that are learned already


@dataclass(slots=True, eq=False)
class Lateness:
    """What became of overdue attempts: fading counts. Those of a whole class begin with a guess."""

    answers: float = 1.0
    spans: float = 1.0  # their waits, each in units of the one that made it overdue


@dataclass(slots=True, eq=False)
class Request:
    """One request, from arrival to its final answer."""

    arrival: RequestReceived
    kind: RequestClass
    plan: Plan
    account: Account
    came_ms: float
    aim_ms: float  # clock time
    rank: float
    attempts: int = 0
    out: dict[int, Backend] = field(default_factory=dict)  # attempts out
    tried: list[Backend] = field(default_factory=list)
    uncertain: int = 0  # attempts out or not proved never to have run
    anchor: Endpoint | None = None  # server of the first of these as it was then, and when it was sent
    anchor_ms: float = 0.0
    serial: int = 0  # of its business with the home; 0: none
    asks: int = 0
    asked_ms: float = 0.0
    answered: bool = False  # the home has heard of it
    paid: float = 0.0  # units drawn from the quota
    inside: bool = True  # inside the quota
    waiting: bool = True  # for its quota
    held: bool = False
    streaming: bool = False
    once: bool = False  # its body is not kept: no further attempt
    toss_ms: float = 0.0  # not before then may it try for a cold server again


@dataclass(slots=True, eq=False)
class WindowState:
    """What the cap on attempts out goes by."""

    gateways: int
    out: float = 0.0  # attempts out, but for what is written off
    lost: float = 0.0  # written off
    peak: float = 0.0  # the most out of late
    cut: float = 1.0
    answered_ms: float = 0.0  # aims of those answered in this period
    full: float = 0.0  # fading counts of attempts refused as full, and of all that ended
    ended: float = 0.0
    well: float = 0.0  # fading count of answers
    idle: float = 0.0  # how idle the servers say they are, from 0 (or unknown) to 1
    room: float = 0.0  # answers a second x time each may take, summed over classes
    fleet_room: float = 0.0  # the mean of the peers' room, as told
    mean_out: float = 0.0  # fading mean of those out
    mean_ms: float = 0.0
    limit: float = 0.0  # the cap for this period


@dataclass(slots=True, eq=False)
class QuotaState:
    """What a gateway keeps of its customers' quotas."""

    settings: Settings
    rng: random.Random
    plan_at: Callable[[float, str, int], None]  # puts a thing on the agenda
    answered: Callable[[Request, bool], None]  # takes a home's word on a request
    denied: Callable[[Request], None]  # and that it is not to be had in time
    rtt_ms: float  # usual time of a home's answer
    boot: int
    serial: int = 0
    class_index: dict[str, int] = field(default_factory=dict)  # places in the settings, by name
    plan_index: dict[str, int] = field(default_factory=dict)
    top_worth: float = 1.0  # the most that a class is worth
    accounts: dict[tuple[str, str, int, int], Account] = field(default_factory=dict)
    stores: dict[int, Store] = field(default_factory=dict)  # of which this gateway is the home, by store_name
    # Of plans that were dropped, by their store_name without the plan's place, and the plan's name.
    parted: dict[tuple[int, str], Store] = field(default_factory=dict)
    changed_ms: float = -math.inf  # when a plan's figures changed last, or one came or went
    accounts_left: list[tuple[str, str, int, int]] = field(default_factory=list)  # not tidied in this round
    stores_left: list[int] = field(default_factory=list)
    parted_left: list[tuple[int, str]] = field(default_factory=list)
    asking: dict[int, Request] = field(default_factory=dict)  # by serial
    outbox: dict[int, list[QuotaMessage]] = field(default_factory=dict)  # by gateway
    heard_ms: dict[int, float] = field(default_factory=dict)  # when other gateways last told us anything
    told_ms: dict[int, float] = field(default_factory=dict)  # and we them
    last_ms: dict[int, float] = field(default_factory=dict)  # when each was last heard in this life
    used: dict[int, float] = field(default_factory=dict)  # ended of late, by serial: their units were used
    told: dict[int, float] = field(default_factory=dict)  # fading count of messages to each
    heard: float = 0.0  # fading count of messages heard
    unheard: dict[int, list[tuple[float, QuotaMessage]]] = field(
        default_factory=dict
    )  # told while it was silent
    flush_ms: float = 0.0
    hold_ms: float = 2000.0  # a gateway that is silent for longer lives by its even part; its home keeps that
    silent: set[int] = field(default_factory=set)  # homes that left a question unanswered
    kin: bool = False  # there is, or was, another process of this gatekeeper: what our number tells is its
    heir: bool = False  # and that one keeps the stores now


@dataclass(slots=True, eq=False)
class ServersState:
    """What a gateway keeps of the servers."""

    settings: Settings
    rng: random.Random
    names: dict[str, int]  # of the classes, and their places in the settings
    bans: Bans
    known: dict[str, Backend] = field(default_factory=dict)
    by_tag: dict[int, Backend] = field(default_factory=dict)
    warm: list[Backend] = field(default_factory=list)  # ready and warm; ready and cold
    cold: list[Backend] = field(default_factory=list)
    near: list[Backend] = field(default_factory=list)  # of these, our arc of the ring
    near_cold: list[Backend] = field(default_factory=list)
    near_part: float = 1.0  # the part of all capacity that an arc holds
    capacity: float = 0.0  # warmth of those ready in sum, now and of late
    reference: float = 0.0
    sends: float = 0.0  # fading count of our sends
    sightings: list[tuple[float, OutlierReport]] = field(default_factory=list)
    suspects: list[Backend] = field(default_factory=list)  # those that failed something of late
    out_of: dict[str, set[int]] = field(default_factory=dict)  # who is put out in this period, by class
    util: float = 1.0  # mean use of cores, as the servers tell it, and when last
    util_ms: float = -math.inf
