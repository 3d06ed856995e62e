"""Audits the records of a run against the five rules of the rehearsal kit.

The auditor receives records one by one and has no other input, so it works in the same way on a live
rehearsal, on a step of the simulation and on a stored history. Each breach names its rule, its time and the
request, customer or worker concerned, and holds all related records in order.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from plumpick.rehearsal.records import (
    AttemptAnswered,
    AttemptExecuted,
    AttemptReceived,
    AttemptRejected,
    DatagramHandled,
    ExtraBytesReceived,
    GatewayEvent,
    LoopLag,
    Record,
    RequestAbandoned,
    RequestSent,
    ResponseReceived,
    RunEnded,
    RunStarted,
    StatusAvailable,
    StatusSent,
    WorkerEnded,
    WorkerStarted,
    line_of,
)

LOST, EFFECTS, DRAINS, COLD, CEILINGS = RULES = (
    "no-request-lost",
    "effects-once",
    "drains-kept",
    "cold-servers",
    "ceilings",
)

# Tolerances beyond the limits of the rules, in ms unless a comment says otherwise.
TOLERANCES = {
    # Maximum delay of a final response after the time that the client waits.
    "answer_late": 50.0,
    # Maximum delay of the first byte of an attempt after the end of its request at the client.
    "send_after_end": 50.0,
    # Maximum delay of an attempt after the end of the drain grace period.
    "drain_late": 50.0,
    # Time after which a status that a reachable discovery agent has counts as known to the gateway.
    "told_after": 6000.0,
    # Maximum delay of a repeat after the end of the deduplication window of its zone.
    "key_window": 50.0,
    # Time whose units at the ceiling's rate are added to the slack of the ceiling.
    "ceiling_time": 150.0,
    # Number of requests of the most expensive class that may exceed the budget of a cold worker.
    "cold_requests": 1.0,
    # Minimum share of the work of a breach that was sent by gateways informed of the worker's start.
    "cold_informed_share": 2 / 3,
    # Maximum time between the end of a connection and the later record that its gateway was killed.
    "killed_early": 250.0,
}
DATAGRAM_BYTES = 256  # maximum size of a datagram between gateways
# Time around a stall of the stubs' event loop in which a breach that depends on the clock does not count
STALL_MARGIN_MS = 50.0
KEEP_MS = 20_000.0  # time after which an ended request is removed; no further records of it can come

MAX_BREACHES_PER_RULE = 200  # maximum number of breaches stored per rule; further ones are only counted
MAX_CUSTOMER_RECORDS = 60  # maximum number of records kept per customer for a breach of its ceiling


@dataclass(slots=True)
class Breach:
    """One breach of one of the auditor's rules."""

    rule: str
    t: float
    what: str  # name of the request, customer, worker or gateway concerned
    text: str
    timing: bool  # whether a late record may have caused the breach, as its rule depends on the clock
    story: list[Record] = field(default_factory=list)  # records related to the breach, in order

    def as_dict(self) -> dict[str, Any]:
        """Return the breach as in report.json: times in ms, related records as lines of the history."""
        return {
            "rule": self.rule,
            "t": self.t,
            "what": self.what,
            "text": self.text,
            "timing": self.timing,
            "story": [line_of(record) for record in self.story],
        }


def is_excused_by_stall(breach: Breach, stalls: Iterable[LoopLag]) -> bool:
    """Return whether a breach does not count: it depends on the clock, and the event loop of the stubs
    stalled at about the same time."""
    return breach.timing and any(
        stall.t - stall.ms - STALL_MARGIN_MS <= breach.t <= stall.t + STALL_MARGIN_MS for stall in stalls
    )


@dataclass(slots=True)
class _Attempt:
    n: int
    server: str
    hall: str
    t: float
    first_t: float
    turned_t: float | None = None


@dataclass(slots=True)
class _Request:
    asked: RequestSent
    story: list[Record]
    attempts: list[_Attempt] = field(default_factory=list)
    ended_t: float | None = None
    answered: bool = False
    refused: bool = False
    effects: int = 0
    came_late: bool = False  # whether a repeat arrived after the deduplication window of its zone
    sent_on: bool = False  # whether a worker has received an attempt of the request


@dataclass(slots=True)
class _Bucket:
    level: float
    t: float
    lowest: float
    story: deque[Record] = field(default_factory=lambda: deque(maxlen=MAX_CUSTOMER_RECORDS))


@dataclass(slots=True)
class _WorkerProcess:
    born: WorkerStarted
    # Attempts in the window: time, work in ms, whether the sending gateway knew of the worker's start.
    sent: deque[tuple[float, float, bool]] = field(default_factory=deque)
    work: float = 0.0  # total work of the attempts in `sent`, in ms
    broken: bool = False
    peak: float = 0.0  # highest share of the cold worker's budget that was sent to it
    story: deque[Record] = field(default_factory=lambda: deque(maxlen=400))


class Auditor:
    """Audits records, fed in order, against the five rules."""

    def __init__(self) -> None:
        self.most_breaches = MAX_BREACHES_PER_RULE
        self.breaches: list[Breach] = []
        self.counts = dict.fromkeys(RULES, 0)  # number of breaches by rule
        self.chances = dict.fromkeys(RULES, 0)  # number of situations in which each rule could be broken
        self.seen = 0
        self._terms: dict[str, Any] = {}
        self._kinds: dict[str, dict[str, Any]] = {}
        self._requests: dict[str, _Request] = {}
        self._by_attempt: dict[int, tuple[_Request, _Attempt]] = {}
        self._ended: deque[tuple[float, str]] = deque()
        self._sent_statuses: dict[tuple[str, str], StatusSent] = {}
        self._available_statuses: dict[tuple[str, str], StatusAvailable] = {}
        self._started_t: dict[str, float] = {}
        self._workers: dict[str, _WorkerProcess] = {}
        self._ceiling_buckets: dict[str, _Bucket] = {}
        self._killed_t: dict[str, float] = {}  # time at which a gateway that is down was killed
        self._recent_kills: dict[str, deque[float]] = {}  # times of the latest kills of each gateway
        self._exited_t: dict[str, float] = {}  # time at which a gateway that is down ended in any way
        # Broken connections, audited when it is known whether their gateway was killed.
        self._broken_connections: list[tuple[float, _Request, RequestAbandoned]] = []
        self._gateways_asked_to_end: set[str] = set()
        self.lag_p99_ms = self.lag_max_ms = 0.0
        self.stalls: list[LoopLag] = []
        self.over = False
        self._handlers = {
            RunStarted: self._on_run_started,
            RequestSent: self._on_request_sent,
            ResponseReceived: self._on_response,
            ExtraBytesReceived: self._on_extra_bytes,
            RequestAbandoned: self._on_request_abandoned,
            WorkerStarted: self._on_worker_started,
            WorkerEnded: self._on_worker_ended,
            AttemptReceived: self._on_attempt_received,
            AttemptRejected: self._on_attempt_rejected,
            AttemptExecuted: self._on_attempt_executed,
            StatusSent: self._on_status_sent,
            StatusAvailable: self._on_status_available,
            GatewayEvent: self._on_gateway_event,
            DatagramHandled: self._on_datagram,
            LoopLag: self._on_loop_lag,
            RunEnded: self._on_run_ended,
            AttemptAnswered: self._on_attempt_answered,
        }

    def feed(self, record: Record) -> None:
        """Audit the next record; records after the end of the run are ignored."""
        self.seen += 1
        take = self._handlers.get(type(record))
        if take is not None and not self.over:
            take(record)  # type: ignore[operator]

    def verdicts(self) -> dict[str, str]:
        """Return `held`, `broken` or `not put to the test` for each rule."""
        return {
            rule: "broken" if self.counts[rule] else "held" if self.chances[rule] else "not put to the test"
            for rule in RULES
        }

    def _breach(
        self, rule: str, t: float, what: str, text: str, story: list[Record], *, timing: bool = False
    ) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= self.most_breaches:
            self.breaches.append(Breach(rule, t, what, text, timing, story))

    # -- start and end of the run

    def _on_run_started(self, record: RunStarted) -> None:
        self._terms = record.terms
        self._kinds = {kind["name"]: kind for kind in record.terms["classes"]}

    def _on_run_ended(self, record: RunEnded) -> None:
        """End the audit; open requests are not audited because their time is not up."""
        self._audit_broken_connections(record.t, everything=True)
        self.lag_p99_ms, self.lag_max_ms = record.lag_p99_ms, record.lag_max_ms
        self.over = True

    def _on_loop_lag(self, record: LoopLag) -> None:
        self.stalls.append(record)

    def _remove_ended_requests(self, t: float) -> None:
        while self._ended and self._ended[0][0] < t - KEEP_MS:
            _, request_id = self._ended.popleft()
            request = self._requests.pop(request_id, None)
            for attempt in request.attempts if request is not None else ():
                self._by_attempt.pop(attempt.n, None)

    # -- rule 1: each accepted request gets exactly one final response, in time

    def _on_request_sent(self, record: RequestSent) -> None:
        request = self._requests.get(record.id)
        if request is not None:  # the client resent the request on a new connection
            request.story.append(record)
            return
        self._remove_ended_requests(record.t)
        self._requests[record.id] = _Request(record, [record])
        self.chances[LOST] += 1
        if self._exited_t.get(record.gate, record.t) < record.t:
            self.chances[LOST] -= 1  # no gateway process runs that could accept the request

    def _finish(self, request: _Request, t: float) -> None:
        if request.ended_t is None:
            request.ended_t = t
            self._ended.append((t, request.asked.id))

    def _on_response(self, record: ResponseReceived) -> None:
        request = self._requests.get(record.id)
        if request is None:
            self._breach(LOST, record.t, record.id, "response to a request that no client sent", [record])
            return
        request.story.append(record)
        asked = request.asked
        if request.answered:
            self._breach(LOST, record.t, record.id, "received a second final response", request.story)
            return
        late = record.t - asked.t - asked.wait_ms
        if late > TOLERANCES["answer_late"]:
            self._breach(
                LOST,
                record.t,
                record.id,
                f"answered {late:.1f} ms after the time that the client waits",
                request.story,
                timing=True,
            )
        if record.status == 200:
            mine = [one for one in request.attempts if one.n == record.source]
            if record.owner != record.id or not mine or record.source not in self._replies_of(request):
                self._breach(
                    LOST,
                    record.t,
                    record.id,
                    "the response 200 has a body that no worker made for this request",
                    request.story,
                )
        request.answered = True
        self._finish(request, record.t)
        if record.status in (429, 503):
            request.refused = True
            kind = self._kinds[asked.kind]
            if kind["repeats"] != "safe":
                self.chances[EFFECTS] += 1
                loose = [one for one in request.attempts if one.turned_t is None]
                if loose:
                    self._breach(
                        EFFECTS,
                        record.t,
                        record.id,
                        f"rejected although attempt {loose[0].n} at {loose[0].server} may have run",
                        request.story,
                    )

    @staticmethod
    def _replies_of(request: _Request) -> set[int]:
        return {
            record.n
            for record in request.story
            if isinstance(record, AttemptAnswered) and record.status == 200 and not record.spoilt
        }

    def _on_extra_bytes(self, record: ExtraBytesReceived) -> None:
        request = self._requests.get(record.id)
        story = request.story if request is not None else []
        story.append(record)
        self._breach(LOST, record.t, record.id, "received bytes after the end of its response", story)

    def _on_request_abandoned(self, record: RequestAbandoned) -> None:
        request = self._requests.get(record.id)
        if request is None:
            return  # the request was never sent, so no gateway accepted it
        request.story.append(record)
        if record.why == "overdue":
            self._audit_abandoned(request, record, record.t)
        elif record.why == "broken":
            self._broken_connections.append((record.t, request, record))
            self._audit_broken_connections(record.t)
        self._finish(request, record.t)

    def _audit_broken_connections(self, t: float, everything: bool = False) -> None:
        """Audit broken connections that are old enough to know whether their gateway was killed."""
        while self._broken_connections and (
            everything or self._broken_connections[0][0] < t - TOLERANCES["killed_early"]
        ):
            _, request, record = self._broken_connections.pop(0)
            self._audit_abandoned(request, record, record.t + TOLERANCES["killed_early"])

    def _audit_abandoned(self, request: _Request, record: RequestAbandoned, until_t: float) -> None:
        if self._exited_t.get(request.asked.gate, request.asked.t) < request.asked.t:
            return  # the gateway had ended and never accepted the request
        down = self._killed_t.get(request.asked.gate)
        # Requests open at a killed gateway are not breaches: their clients retry them.
        if down is not None and down <= until_t and (record.why == "broken" or down >= request.asked.t):
            return
        # A new gateway process may start before the client notices the end of the previous one.
        if record.why == "broken" and any(
            request.asked.t <= killed <= record.t <= killed + TOLERANCES["killed_early"]
            for killed in self._recent_kills.get(request.asked.gate, ())
        ):
            return
        text = (
            "no answer when the client's time was up"
            if record.why == "overdue"
            else "the connection ended with no whole answer"
        )
        self._breach(LOST, record.t, request.asked.id, text, request.story, timing=record.why == "overdue")

    # -- rule 2: effects happen once

    def _on_attempt_received(self, record: AttemptReceived) -> None:
        life = self._workers.get(record.server)
        request = self._requests.get(record.id)
        if request is None:
            self._breach(
                LOST, record.t, record.id, f"{record.server} received a request that no client sent", [record]
            )
            return
        request.story.append(record)
        asked, hall = request.asked, life.born.hall if life is not None else ""
        attempt = _Attempt(record.n, record.server, hall, record.t, record.first_t)
        self._check_repeat(request, attempt)
        if request.ended_t is not None:
            late = record.first_t - request.ended_t
            if late > TOLERANCES["send_after_end"]:
                self._breach(
                    LOST,
                    record.t,
                    record.id,
                    f"sent to {record.server} {late:.1f} ms after the request had ended",
                    request.story,
                    timing=True,
                )
            if request.refused and self._kinds[asked.kind]["repeats"] != "safe":
                self._breach(EFFECTS, record.t, record.id, "sent on after its rejection", request.story)
        request.attempts.append(attempt)
        self._by_attempt[record.n] = (request, attempt)
        self._check_drain(asked.gate, record, request)
        if life is not None and life.born.life == record.life:
            self._check_cold(asked.gate, record, life)
        if not request.sent_on:
            request.sent_on = True
            self._check_ceiling(request, record)

    def _check_repeat(self, request: _Request, attempt: _Attempt) -> None:
        """Check whether an attempt is allowed after the earlier attempts of its request.

        It is always allowed if no earlier attempt may have run; otherwise the request class decides.
        """
        kind = self._kinds[request.asked.kind]
        if kind["repeats"] == "safe":
            return
        self.chances[EFFECTS] += 1
        loose = [one for one in request.attempts if one.turned_t is None or one.turned_t > attempt.first_t]
        if not loose:
            return
        first, name = loose[0], request.asked.id
        if kind["repeats"] == "unsafe":
            self._breach(
                EFFECTS,
                attempt.t,
                name,
                f"sent to {attempt.server} though attempt {first.n} at {first.server} may have run",
                request.story,
            )
            return
        age = attempt.first_t - first.first_t
        if attempt.hall != first.hall:
            self._breach(
                EFFECTS,
                attempt.t,
                name,
                f"sent to {attempt.hall} though attempt {first.n} may have run in {first.hall}",
                request.story,
            )
        elif age > kind["window_s"] * 1000 + TOLERANCES["key_window"]:
            request.came_late = True
            self._breach(
                EFFECTS,
                attempt.t,
                name,
                f"sent again {age:.0f} ms after an attempt that may have run, "
                f"beyond the deduplication window of {kind['window_s']:g} s",
                request.story,
                timing=True,
            )

    def _on_attempt_rejected(self, record: AttemptRejected) -> None:
        request, attempt = self._by_attempt.get(record.n, (None, None))
        if request is not None and attempt is not None:
            request.story.append(record)
            attempt.turned_t = record.t

    def _on_attempt_executed(self, record: AttemptExecuted) -> None:
        request, attempt = self._by_attempt.get(record.n, (None, None))
        if request is None or attempt is None:
            return
        request.story.append(record)
        if record.repeat or self._kinds[request.asked.kind]["repeats"] == "safe":
            return  # an attempt dropped as a repeat has no effect
        request.effects += 1
        if request.effects > 1:
            self._breach(
                EFFECTS,
                record.t,
                request.asked.id,
                f"took effect {request.effects} times",
                request.story,
                # a repeat that came too late is itself a breach that depends on the clock
                timing=request.came_late,
            )

    def _on_attempt_answered(self, record: AttemptAnswered) -> None:
        request, _ = self._by_attempt.get(record.n, (None, None))
        if request is not None:
            request.story.append(record)

    # -- rule 3: no new attempts go to a worker after its drain grace period

    def _on_status_sent(self, record: StatusSent) -> None:
        self._sent_statuses[record.gate, record.server] = record
        if record.status != "ready":
            self.chances[DRAINS] += 1

    def _on_status_available(self, record: StatusAvailable) -> None:
        self._available_statuses[record.gate, record.server] = record

    def _check_drain(self, gate: str, record: AttemptReceived, request: _Request) -> None:
        told = self._sent_statuses.get((gate, record.server))
        had = self._available_statuses.get((gate, record.server))
        since = math.inf if told is None or told.status == "ready" else told.t
        if had is not None and had.status != "ready" and had.life == record.life:
            due = max(had.t, self._started_t.get(gate, 0.0)) + TOLERANCES["told_after"]
            if due < since:
                since, told = due, StatusSent(due, gate, record.server, had.life, had.status)
        if told is None or since == math.inf:
            return
        late = record.first_t - since - self._terms["rules"]["drain_grace_ms"]
        if late > TOLERANCES["drain_late"]:
            self._breach(
                DRAINS,
                record.t,
                record.server,
                f"{gate} sent {record.id} {late:.1f} ms after the grace period; the worker is {told.status}",
                [told, *request.story],
                timing=True,
            )

    # -- rule 4: a cold worker is not overloaded

    def _on_worker_started(self, record: WorkerStarted) -> None:
        self._workers[record.server] = _WorkerProcess(record)
        if record.cold_from < 1:
            self.chances[COLD] += 1

    def _on_worker_ended(self, record: WorkerEnded) -> None:
        life = self._workers.get(record.server)
        if life is not None and life.born.life == record.life:
            life.story.append(record)

    def _check_cold(self, gate: str, record: AttemptReceived, life: _WorkerProcess) -> None:
        born, rules = life.born, self._terms["rules"]
        share = born.cold_from + (1 - born.cold_from) * (record.t - born.t) / born.warm_ms
        if share >= 1 or life.broken:
            return
        life.story.append(record)
        told = self._sent_statuses.get((gate, record.server))
        informed = told is not None and told.life == record.life
        life.sent.append((record.t, record.work_ms, informed))
        life.work += record.work_ms
        while life.sent[0][0] <= record.t - rules["fall_ms"]:
            life.work -= life.sent.popleft()[1]
        dearest = max(kind["work_ms"] for kind in self._kinds.values())
        budget = (
            rules["fall_multiple"] * born.capacity * share * rules["fall_ms"]
            + TOLERANCES["cold_requests"] * dearest
        )
        life.peak = max(life.peak, life.work / budget)
        knowing = sum(work for _, work, knew in life.sent if knew)
        if life.work > budget and knowing >= TOLERANCES["cold_informed_share"] * life.work:
            life.broken = True
            self._breach(
                COLD,
                record.t,
                record.server,
                f"received {life.work:.0f} ms of work in {rules['fall_ms']:.0f} ms, budget {budget:.0f} ms",
                [born, *life.story],
            )

    # -- rule 5: no customer exceeds its ceiling

    def _check_ceiling(self, request: _Request, record: AttemptReceived) -> None:
        asked = request.asked
        terms = self._terms["quotas"][asked.plan]
        if not terms["ceiling_rate"]:
            return
        self.chances[CEILINGS] += 1
        store = self._ceiling_buckets.get(asked.firm)
        if store is None:
            store = self._ceiling_buckets[asked.firm] = _Bucket(
                terms["ceiling_burst"], record.t, terms["ceiling_burst"]
            )
        gone_s = (record.t - store.t) / 1000
        store.level = min(terms["ceiling_burst"], store.level + gone_s * terms["ceiling_rate"]) - asked.units
        store.t, store.lowest = record.t, min(store.lowest, store.level)
        store.story.append(record)
        slack = terms["ceiling_slack"] + terms["ceiling_rate"] * TOLERANCES["ceiling_time"] / 1000
        if store.level < -slack - 1e-6:
            self._breach(
                CEILINGS,
                record.t,
                asked.firm,
                f"{-store.level:.2f} units above its ceiling, allowed slack is {slack:.2f} units",
                list(store.story),
            )

    # -- checks of gateway processes and datagrams

    def _on_gateway_event(self, record: GatewayEvent) -> None:
        if record.what == "started":
            self._audit_broken_connections(record.t, everything=True)
            self._started_t[record.gate] = record.t
            self._killed_t.pop(record.gate, None)
            self._exited_t.pop(record.gate, None)
            self._gateways_asked_to_end.discard(record.gate)
        elif record.what in ("kill", "term"):
            self._gateways_asked_to_end.add(record.gate)
            if record.what == "kill":
                self._killed_t[record.gate] = record.t
                self._recent_kills.setdefault(record.gate, deque(maxlen=8)).append(record.t)
        elif record.what == "exited":
            self._exited_t[record.gate] = record.t
            expected = record.gate in self._gateways_asked_to_end
            if not expected or record.code not in (0, -9):
                self._breach(
                    LOST, record.t, record.gate, f"ended unexpectedly with code {record.code}", [record]
                )
            elif record.code == -9:
                self._killed_t.setdefault(record.gate, record.t)
        self._audit_broken_connections(record.t)

    def _on_datagram(self, record: DatagramHandled) -> None:
        if record.size > DATAGRAM_BYTES:
            text = f"sent a datagram of {record.size} bytes, maximum is {DATAGRAM_BYTES}"
            self._breach(LOST, record.t, record.sender, text, [record])

    # -- further figures for reports

    def open_requests(self, gate: str) -> list[str]:
        """Return the ids of the requests at a gateway that have no final response yet."""
        return [
            name
            for name, request in self._requests.items()
            if request.asked.gate == gate and request.ended_t is None
        ]

    def nearest(self) -> dict[str, float]:
        """Return the lowest number of units left below its ceiling, for each customer that has one."""
        return {firm: round(store.lowest, 3) for firm, store in self._ceiling_buckets.items()}

    def as_dict(self) -> dict[str, Any]:
        """Return the value of `rules` in report.json."""
        verdicts = self.verdicts()
        return {
            rule: {
                "verdict": verdicts[rule],
                "chances": self.chances[rule],
                "count": self.counts[rule],
                "breaches": [one.as_dict() for one in self.breaches if one.rule == rule],
            }
            for rule in RULES
        }
