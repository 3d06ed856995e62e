"""Computes the service score of a run from the same records as the auditor.

The service share is the worth answered in time divided by the worth requested within the quotas; the retries
of a client count for its first try. The score is 65 % of the share of the whole run, 20 % of that of the
worst 10 s and 15 % of that of the worst-served plan, minus the prices.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from plumpick.rehearsal.records import (
    AttemptAnswered,
    AttemptReceived,
    DatagramHandled,
    Record,
    RequestAbandoned,
    RequestSent,
    ResponseReceived,
    RunEnded,
    RunStarted,
    WorkerStarted,
    WorkWasted,
)

WHOLE, WORST_WINDOW, WORST_PLAN = 0.65, 0.20, 0.15
WINDOW_S = 10
FULL_MESSAGE = 256  # maximum size in bytes of a datagram between gateways
KEEP_MS = 60_000.0  # time after which the operations and tries of clients are removed


@dataclass(slots=True)
class _Bucket:
    level: float
    t: float

    def take(self, t: float, rate: float, burst: float, units: float) -> bool:
        """Refill the bucket for the elapsed time; take the units and return True if it holds enough."""
        self.level = min(burst, self.level + (t - self.t) / 1000 * rate)
        self.t = t
        if self.level < units:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class _Operation:
    t: float
    worth: float
    plan: str
    kind: str
    inside: bool  # whether a single gateway that sees all first tries would admit the operation
    served: bool = False
    ended_t: float = 0.0


class Tally:
    """Totals of a class, plan or second: worth offered within quotas, worth served in time, and counts."""

    __slots__ = ("offered", "served", "asked", "refused", "failed", "late")

    def __init__(self) -> None:
        self.offered = self.served = 0.0
        self.asked = self.refused = self.failed = self.late = 0

    def share(self) -> float:
        """Return the served worth divided by the offered worth, at most 1; 1 if no worth was offered."""
        return min(1.0, self.served / self.offered) if self.offered else 1.0


class Service:
    """Computes the service score from records, fed in order."""

    def __init__(self) -> None:
        self._terms: dict[str, Any] = {}
        self._kinds: dict[str, dict[str, Any]] = {}
        self._quotas: dict[str, dict[str, float]] = {}
        self._halls: dict[str, str] = {}
        self._ops: dict[int, _Operation] = {}
        self._tries: dict[str, tuple[RequestSent, int]] = {}
        # whether each try that was sent to a worker was within its customer's quota
        self._inside: dict[str, bool] = {}
        self._first: dict[str, _Bucket] = {}
        self._sent: dict[str, _Bucket] = {}
        self._server_hall: dict[str, str] = {}
        self._took: dict[int, str] = {}
        self.total = Tally()
        self.kinds: defaultdict[str, Tally] = defaultdict(Tally)
        self.plans: defaultdict[str, Tally] = defaultdict(Tally)
        self.seconds: defaultdict[int, Tally] = defaultdict(Tally)
        self.by_second_kind: defaultdict[tuple[int, str], Tally] = defaultdict(Tally)
        self.by_second_plan: defaultdict[tuple[int, str], Tally] = defaultdict(Tally)
        self.over_cost = self.late_worth = 0.0
        self.worked_ms = self.useful_ms = self.asked_ms = 0.0
        self.peer_bytes = self.crossings = self.attempts = self.tries = self.first_tries = self.sent_on = 0
        self.over_units = self.sent_units = 0.0
        self.end_t = 0.0
        self._last_removal_t = 0.0
        self._useful: dict[int, float] = {}
        self._handlers = {
            RunStarted: self._on_run_started,
            RequestSent: self._on_request_sent,
            ResponseReceived: self._on_response,
            AttemptReceived: self._on_attempt_received,
            AttemptAnswered: self._on_attempt_answered,
            WorkWasted: self._on_work_wasted,
            DatagramHandled: self._on_datagram,
            RunEnded: self._on_run_ended,
            RequestAbandoned: self._on_request_abandoned,
            WorkerStarted: self._on_worker_started,
        }

    def feed(self, record: Record) -> None:
        """Count the next record; records after the end of the run are ignored."""
        take = self._handlers.get(type(record))
        if take is not None and not self.end_t:
            take(record)  # type: ignore[operator]

    def _on_run_started(self, record: RunStarted) -> None:
        self._terms = record.terms
        self._kinds = {kind["name"]: kind for kind in record.terms["classes"]}
        self._quotas = record.terms["quotas"]
        self._halls = record.terms["halls"]

    def _on_worker_started(self, record: WorkerStarted) -> None:
        self._server_hall[record.server] = record.hall

    def _on_run_ended(self, record: RunEnded) -> None:
        self.end_t = record.t

    def _tallies(self, op: _Operation) -> tuple[Tally, ...]:
        second = int(op.t // 1000)
        return (
            self.total,
            self.kinds[op.kind],
            self.plans[op.plan],
            self.seconds[second],
            self.by_second_kind[second, op.kind],
            self.by_second_plan[second, op.plan],
        )

    def _on_request_sent(self, record: RequestSent) -> None:
        if record.id in self._tries:
            return
        self._remove_old(record.t)
        self.tries += 1
        op = self._ops.get(record.op)
        if op is None:
            quota, kind = self._quotas[record.plan], self._kinds[record.kind]
            bucket = self._first.setdefault(record.firm, _Bucket(quota["burst"], record.t))
            inside = bucket.take(record.t, quota["rate"], quota["burst"], record.units)
            op = self._ops[record.op] = _Operation(
                record.t, kind["worth"] * quota["value"] * record.units, record.plan, record.kind, inside
            )
            self.first_tries += 1
            self.asked_ms += kind["work_ms"] * inside
            for tally in self._tallies(op):
                tally.asked += 1
                tally.offered += op.worth * inside
        self._tries[record.id] = (record, record.op)

    def _on_attempt_received(self, record: AttemptReceived) -> None:
        self.attempts += 1
        asked, _ = self._tries.get(record.id, (None, 0))
        if asked is None:
            return
        self._took[record.n] = record.id
        self.crossings += self._halls.get(asked.gate) != self._server_hall.get(record.server)
        if record.id not in self._inside:
            quota, kind = self._quotas[asked.plan], self._kinds[asked.kind]
            bucket = self._sent.setdefault(asked.firm, _Bucket(quota["burst"], record.t))
            inside = bucket.take(record.t, quota["rate"], quota["burst"], asked.units)
            self._inside[record.id] = inside
            self.sent_on += 1
            self.sent_units += asked.units
            if not inside:
                self.over_units += asked.units
                self.over_cost += quota["over_cost"] * kind["worth"] * quota["value"] * asked.units

    def _on_response(self, record: ResponseReceived) -> None:
        asked, number = self._tries.get(record.id, (None, 0))
        op = self._ops.get(number)
        if asked is None or op is None:
            return
        tallies = self._tallies(op)
        if record.status == 200:
            self.useful_ms += self._useful.pop(record.source, 0.0)
            if record.t - op.t > self._kinds[op.kind]["aim_ms"]:
                for tally in tallies:
                    tally.late += 1
                self._count_late_failure(op)
            elif not op.served:
                op.served = True
                for tally in tallies:
                    tally.served += op.worth * self._inside.get(record.id, False)
        elif record.status in (429, 503):
            for tally in tallies:
                tally.refused += 1
        else:
            for tally in tallies:
                tally.failed += 1
            if record.t - op.t > self._kinds[op.kind]["aim_ms"]:
                self._count_late_failure(op)

    def _on_request_abandoned(self, record: RequestAbandoned) -> None:
        asked, number = self._tries.get(record.id, (None, 0))
        op = self._ops.get(number)
        if asked is None or op is None:
            return
        for tally in self._tallies(op):
            tally.failed += 1
        if record.t - op.t > self._kinds[op.kind]["aim_ms"]:
            self._count_late_failure(op)

    def _count_late_failure(self, op: _Operation) -> None:
        """Count the worth of an operation that failed only after the target time of its class, once."""
        if op.inside and not op.served and not op.ended_t:
            op.ended_t = op.t + self._kinds[op.kind]["aim_ms"]
            self.late_worth += op.worth

    def _on_attempt_answered(self, record: AttemptAnswered) -> None:
        self.worked_ms += record.worked_ms
        if record.status == 200 and not record.spoilt:
            self._useful[record.n] = record.worked_ms

    def _on_work_wasted(self, record: WorkWasted) -> None:
        self.worked_ms += record.worked_ms

    def _on_datagram(self, record: DatagramHandled) -> None:
        if record.fate == "delivered":
            self.peer_bytes += record.size

    def _remove_old(self, t: float) -> None:
        """Remove operations and tries that are older than KEEP_MS."""
        if t - self._last_removal_t < KEEP_MS:
            return
        self._last_removal_t = t
        self._ops = {number: op for number, op in self._ops.items() if op.t > t - KEEP_MS}
        self._tries = {name: pair for name, pair in self._tries.items() if pair[0].t > t - KEEP_MS}
        self._inside = {name: inside for name, inside in self._inside.items() if name in self._tries}
        self._took = {n: name for n, name in self._took.items() if name in self._tries}
        self._useful = {n: worked for n, worked in self._useful.items() if n in self._took}

    # -- figures of the service

    def worst_window(self) -> tuple[float, int]:
        """Return the lowest service share of any 10 consecutive seconds and the first of these seconds."""
        last = int(self.end_t // 1000) or max(self.seconds, default=0)
        worst = (1.0, 0)
        for start in range(0, max(1, last - WINDOW_S + 1)):
            rows = [
                self.seconds[second] for second in range(start, start + WINDOW_S) if second in self.seconds
            ]
            offered = sum(row.offered for row in rows)
            if offered:
                worst = min(worst, (min(1.0, sum(row.served for row in rows) / offered), start))
        return worst

    def so_far(self, t: float) -> float:
        """Return the service share of the run up to two seconds before `t` (ms), for the progress line."""
        rows = [row for second, row in self.seconds.items() if second < t // 1000 - 2]
        offered = sum(row.offered for row in rows)
        return min(1.0, sum(row.served for row in rows) / offered) if offered else 1.0

    def as_dict(self) -> dict[str, Any]:
        """Return the value of `service` in report.json: shares between 0 and 1, rounded to six digits."""
        window, start = self.worst_window()
        plans = {name: tally.share() for name, tally in sorted(self.plans.items())}
        prices, offered = self._terms["prices"], self.total.offered or 1.0
        wasted = max(0.0, self.worked_ms - self.useful_ms)
        costs = {
            "over_quota": self.over_cost / offered,
            "waste": prices["waste"] * wasted / self.asked_ms if self.asked_ms else 0.0,
            "late_fail": prices["late_fail"] * self.late_worth / offered,
            "peer": prices["peer"] * self.peer_bytes / (FULL_MESSAGE * max(1, self.first_tries)),
            "cross_hall": prices["cross_hall"] * self.crossings / max(1, self.first_tries),
        }
        whole = self.total.share()
        goal = WHOLE * whole + WORST_WINDOW * window + WORST_PLAN * min(plans.values(), default=1.0)

        def rounded(value: Any) -> Any:
            if isinstance(value, dict):
                return {key: rounded(one) for key, one in value.items()}
            return round(value, 6) if isinstance(value, float) else value

        return rounded(
            {
                "service": goal - sum(costs.values()),
                "whole": whole,
                "worst_10_s": window,
                "worst_10_s_from": start,
                "worst_plan": min(plans.values(), default=1.0),
                "classes": {name: tally.share() for name, tally in sorted(self.kinds.items())},
                "plans": plans,
                "prices": costs,
                "counts": {
                    "first_tries": self.first_tries,
                    "tries": self.tries,
                    "attempts": self.attempts,
                    "sent_on": self.sent_on,
                    "refused": self.total.refused,
                    "failed": self.total.failed,
                    "late": self.total.late,
                },
                "over_quota_share": self.over_units / self.sent_units if self.sent_units else 0.0,
            }
        )
