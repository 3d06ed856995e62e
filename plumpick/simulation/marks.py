"""Rare states, by name: a run counts in how many seeds each was reached, to prove that it was.

A fault that never meets the state it was made for proves nothing; so a mark that no seed reached fails a run
of many. Read from the records as they come, and from the network.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from plumpick.rehearsal.records import (
    AttemptAnswered,
    AttemptExecuted,
    AttemptReceived,
    AttemptRejected,
    DatagramHandled,
    GatewayEvent,
    Record,
    RequestAbandoned,
    RequestSent,
    ResponseReceived,
    RunStarted,
    StatusSent,
    WorkerEnded,
    WorkerStarted,
    WorkWasted,
)

JUST_BEFORE_MS = 250.0

FROM_NETWORK = (
    "a knock was not heard",
    "a connection was refused",
    "a connection was reset in the middle of a message",
    "a segment was lost and sent again",
    "a datagram was lost on the way",
    "a datagram came twice",
    "descriptors ran out at a connect",
    "descriptors ran out at a listener",
)
FROM_RECORDS = (
    "a retry came through a second gatekeeper while an earlier try was still at a server",
    "a server finished an earlier try after its retry had come to another gatekeeper",
    "an exchanged message was lost just before one of its two gatekeepers ended",
    "word of a drain came while an attempt was at that server",
    "an attempt came to a server after word of its drain, within the grace",
    "a gatekeeper was killed while it owed answers",
    "a gatekeeper was killed after SIGTERM, before it had finished",
    "a gatekeeper came back while the roster was silent",
    "SIGHUP came while the roster was silent",
    "two gatekeepers were down at a time",
    "gatekeepers could not hear one another while one of them was down",
    "a server died with an attempt in it",
    "a cold server was sent an attempt",
    "a keyed request was sent a second time",
    "a hall dropped a repeat of a key",
    "a debit that may have run was failed",
    "a request was sent again after a server had turned it away",
    "a request was refused with a time to come back",
    "a client left while its request was at a server",
    "a server answered when the client had left",
    "a spoilt answer was written",
    "a firm used a third of its ceiling's burst",
    "a safe request had two attempts out at once",
    "a process stood still for longer than its clients wait",
)
MARKS = FROM_NETWORK + FROM_RECORDS


@dataclass
class _Try:
    asked: RequestSent
    out: dict[int, str] = field(default_factory=dict)  # attempts at servers
    sent: int = 0
    turned: bool = False
    over: bool = False


class Marks:
    """A listener of records."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.silent_roster = self.split = False
        self._kinds: dict[str, str] = {}
        self._tries: dict[str, _Try] = {}
        self._by_op: dict[int, str] = {}
        self._of: dict[int, tuple[str, str]] = {}  # attempt: request, server
        self._open: Counter[str] = Counter()  # requests by gatekeeper
        self._down: set[str] = set()
        self._term: set[str] = set()
        self._lost: deque[DatagramHandled] = deque()
        self._draining: dict[tuple[str, str], float] = {}
        self._cold: set[str] = set()
        self._later_try: dict[str, str] = {}  # a request: its op's next try, at another gatekeeper
        self._by_type = {
            RunStarted: self._began,
            RequestSent: self._asked,
            ResponseReceived: self._answered,
            RequestAbandoned: self._left,
            AttemptReceived: self._took,
            AttemptRejected: self._turned,
            AttemptAnswered: self._replied,
            AttemptExecuted: self._ran,
            WorkWasted: self._wasted,
            StatusSent: self._told,
            GatewayEvent: self._gate,
            DatagramHandled: self._passed,
            WorkerStarted: self._born,
            WorkerEnded: self._died,
        }

    def mark(self, name: str) -> None:
        """The state was reached."""
        self.counts[name] += 1

    def feed(self, record: Record) -> None:
        """The next record."""
        take: Any = self._by_type.get(type(record))
        if take is not None:
            take(record)

    def _began(self, record: RunStarted) -> None:
        self._kinds = {kind["name"]: kind["repeats"] for kind in record.terms["classes"]}

    def _asked(self, record: RequestSent) -> None:
        if record.id in self._tries:
            return
        before = self._tries.get(self._by_op.get(record.op, ""))
        if before is not None and before.asked.gate != record.gate:
            if before.out:
                self.mark(FROM_RECORDS[0])
            self._later_try[before.asked.id] = record.id
        self._tries[record.id] = _Try(record)
        self._by_op[record.op] = record.id
        self._open[record.gate] += 1

    def _end(self, request_id: str) -> _Try | None:
        one = self._tries.get(request_id)
        if one is None or one.over:
            return None
        one.over = True
        self._open[one.asked.gate] -= 1
        return one

    def _answered(self, record: ResponseReceived) -> None:
        one = self._end(record.id)
        if one is None:
            return
        unsafe = self._kinds[one.asked.kind] == "unsafe"
        if unsafe and one.sent and record.status >= 500 and record.status != 503:
            self.mark("a debit that may have run was failed")
        if record.status in (429, 503) and record.retry_ms:
            self.mark("a request was refused with a time to come back")

    def _left(self, record: RequestAbandoned) -> None:
        one = self._end(record.id)
        if one is not None and one.out:
            self.mark("a client left while its request was at a server")

    def _took(self, record: AttemptReceived) -> None:
        one = self._tries.get(record.id)
        if one is None:
            return
        if one.out and self._kinds[record.kind] == "safe":
            self.mark("a safe request had two attempts out at once")
        if one.sent and self._kinds[record.kind] == "keyed":
            self.mark("a keyed request was sent a second time")
        if one.turned:
            self.mark("a request was sent again after a server had turned it away")
        if (one.asked.gate, record.server) in self._draining:
            self.mark("an attempt came to a server after word of its drain, within the grace")
        if record.server in self._cold:
            self.mark("a cold server was sent an attempt")
        one.out[record.n] = record.server
        one.sent += 1
        self._of[record.n] = record.id, record.server

    def _gone(self, n: int) -> _Try | None:
        request_id, _ = self._of.pop(n, ("", ""))
        one = self._tries.get(request_id)
        if one is not None:
            one.out.pop(n, None)
        return one

    def _turned(self, record: AttemptRejected) -> None:
        one = self._gone(record.n)
        if one is not None:
            one.turned = True

    def _replied(self, record: AttemptAnswered) -> None:
        one = self._gone(record.n)
        if record.spoilt:
            self.mark("a spoilt answer was written")
        if one is None:
            return
        if one.over:
            self.mark("a server answered when the client had left")

    def _finished(self, n: int) -> None:
        one = self._tries.get(self._of.get(n, ("", ""))[0])
        if one is not None and one.asked.id in self._later_try:
            self.mark(FROM_RECORDS[1])

    def _ran(self, record: AttemptExecuted) -> None:
        self._finished(record.n)
        if record.repeat:
            self.mark("a hall dropped a repeat of a key")

    def _wasted(self, record: WorkWasted) -> None:
        self._finished(record.n)
        self._gone(record.n)

    def _told(self, record: StatusSent) -> None:
        if record.status != "draining":
            self._draining.pop((record.gate, record.server), None)
            return
        self._draining[record.gate, record.server] = record.t
        if any(
            record.server in one.out.values()
            for one in self._tries.values()
            if one.out and one.asked.gate == record.gate
        ):
            self.mark("word of a drain came while an attempt was at that server")

    def _gate(self, record: GatewayEvent) -> None:  # noqa: C901  (to be split by concern)
        gate = record.gate
        if record.what in ("kill", "term"):
            while self._lost and self._lost[0].t < record.t - JUST_BEFORE_MS:
                self._lost.popleft()
            if any(gate in (one.sender, one.receiver) for one in self._lost):
                self.mark("an exchanged message was lost just before one of its two gatekeepers ended")
        if record.what == "kill":
            if self._open[gate] > 0:
                self.mark("a gatekeeper was killed while it owed answers")
            if gate in self._term:
                self.mark("a gatekeeper was killed after SIGTERM, before it had finished")
        elif record.what == "term":
            self._term.add(gate)
        elif record.what == "hup" and self.silent_roster:
            self.mark("SIGHUP came while the roster was silent")
        elif record.what == "exited":
            self._down.add(gate)
            self._term.discard(gate)
            if len(self._down) > 1:
                self.mark("two gatekeepers were down at a time")
            if self.split:
                self.mark("gatekeepers could not hear one another while one of them was down")
        elif record.what == "ready":
            if gate in self._down and self.silent_roster:
                self.mark("a gatekeeper came back while the roster was silent")
            self._down.discard(gate)

    def _passed(self, record: DatagramHandled) -> None:
        if record.fate != "delivered":
            self._lost.append(record)

    def _born(self, record: WorkerStarted) -> None:
        (self._cold.add if record.cold_from < 1 else self._cold.discard)(record.server)

    def _died(self, record: WorkerEnded) -> None:
        hit = [n for n, (_, server) in self._of.items() if server == record.server]
        if hit:
            self.mark("a server died with an attempt in it")
        for n in hit:
            self._gone(n)
