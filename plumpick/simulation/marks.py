"""Coverage points: named rare states, with counts of how often a simulated run reached each.

An injected fault proves nothing if the state that it targets is never reached, so a run over many seeds fails
if no seed reached a coverage point. The points are detected from the run's records and by the network.
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

MAX_LOSS_BEFORE_END_MS = 250.0  # maximum time between the loss of a peer message and the gateway's end

NETWORK_COVERAGE_POINTS = (
    "a knock was not heard",
    "a connection was refused",
    "a connection was reset in the middle of a message",
    "a segment was lost and sent again",
    "a datagram was lost on the way",
    "a datagram came twice",
    "descriptors ran out at a connect",
    "descriptors ran out at a listener",
)
RECORD_COVERAGE_POINTS = (
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
COVERAGE_POINTS = NETWORK_COVERAGE_POINTS + RECORD_COVERAGE_POINTS


@dataclass
class _RequestState:
    asked: RequestSent
    # worker of each attempt in progress, by attempt number
    attempts: dict[int, str] = field(default_factory=dict)
    attempts_sent: int = 0  # number of attempts of the request that reached a worker
    was_rejected: bool = False  # whether a worker rejected an attempt of the request
    is_finished: bool = False  # whether the request was answered or its client left


class CoverageCounter:
    """Counts the coverage points that a run reaches, from its records and from calls of `count_reached`."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.is_discovery_silent = self.is_partitioned = False
        self._kinds: dict[str, str] = {}
        self._requests: dict[str, _RequestState] = {}
        self._latest_by_operation: dict[int, str] = {}
        # request id and worker of each attempt, by attempt number
        self._attempts: dict[int, tuple[str, str]] = {}
        self._open_requests: Counter[str] = Counter()  # number of unanswered requests by gateway
        self._down: set[str] = set()
        self._terminating: set[str] = set()
        self._lost_messages: deque[DatagramHandled] = deque()
        self._draining: dict[tuple[str, str], float] = {}
        self._warming: set[str] = set()
        self._retries: dict[str, str] = {}  # id of the retry through another gateway, by request id
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

    def count_reached(self, name: str) -> None:
        """Counts a coverage point as reached once more."""
        self.counts[name] += 1

    def feed(self, record: Record) -> None:
        """Processes the next record of the run."""
        handler: Any = self._by_type.get(type(record))
        if handler is not None:
            handler(record)

    def _began(self, record: RunStarted) -> None:
        self._kinds = {kind["name"]: kind["repeats"] for kind in record.terms["classes"]}

    def _asked(self, record: RequestSent) -> None:
        if record.id in self._requests:
            return
        before = self._requests.get(self._latest_by_operation.get(record.op, ""))
        if before is not None and before.asked.gate != record.gate:
            if before.attempts:
                self.count_reached(RECORD_COVERAGE_POINTS[0])
            self._retries[before.asked.id] = record.id
        self._requests[record.id] = _RequestState(record)
        self._latest_by_operation[record.op] = record.id
        self._open_requests[record.gate] += 1

    def _finish_request(self, request_id: str) -> _RequestState | None:
        one = self._requests.get(request_id)
        if one is None or one.is_finished:
            return None
        one.is_finished = True
        self._open_requests[one.asked.gate] -= 1
        return one

    def _answered(self, record: ResponseReceived) -> None:
        one = self._finish_request(record.id)
        if one is None:
            return
        unsafe = self._kinds[one.asked.kind] == "unsafe"
        if unsafe and one.attempts_sent and record.status >= 500 and record.status != 503:
            self.count_reached("a debit that may have run was failed")
        if record.status in (429, 503) and record.retry_ms:
            self.count_reached("a request was refused with a time to come back")

    def _left(self, record: RequestAbandoned) -> None:
        one = self._finish_request(record.id)
        if one is not None and one.attempts:
            self.count_reached("a client left while its request was at a server")

    def _took(self, record: AttemptReceived) -> None:
        one = self._requests.get(record.id)
        if one is None:
            return
        if one.attempts and self._kinds[record.kind] == "safe":
            self.count_reached("a safe request had two attempts out at once")
        if one.attempts_sent and self._kinds[record.kind] == "keyed":
            self.count_reached("a keyed request was sent a second time")
        if one.was_rejected:
            self.count_reached("a request was sent again after a server had turned it away")
        if (one.asked.gate, record.server) in self._draining:
            self.count_reached("an attempt came to a server after word of its drain, within the grace")
        if record.server in self._warming:
            self.count_reached("a cold server was sent an attempt")
        one.attempts[record.n] = record.server
        one.attempts_sent += 1
        self._attempts[record.n] = record.id, record.server

    def _remove_attempt(self, n: int) -> _RequestState | None:
        request_id, _ = self._attempts.pop(n, ("", ""))
        one = self._requests.get(request_id)
        if one is not None:
            one.attempts.pop(n, None)
        return one

    def _turned(self, record: AttemptRejected) -> None:
        one = self._remove_attempt(record.n)
        if one is not None:
            one.was_rejected = True

    def _replied(self, record: AttemptAnswered) -> None:
        one = self._remove_attempt(record.n)
        if record.spoilt:
            self.count_reached("a spoilt answer was written")
        if one is None:
            return
        if one.is_finished:
            self.count_reached("a server answered when the client had left")

    def _on_attempt_finished(self, n: int) -> None:
        one = self._requests.get(self._attempts.get(n, ("", ""))[0])
        if one is not None and one.asked.id in self._retries:
            self.count_reached(RECORD_COVERAGE_POINTS[1])

    def _ran(self, record: AttemptExecuted) -> None:
        self._on_attempt_finished(record.n)
        if record.repeat:
            self.count_reached("a hall dropped a repeat of a key")

    def _wasted(self, record: WorkWasted) -> None:
        self._on_attempt_finished(record.n)
        self._remove_attempt(record.n)

    def _told(self, record: StatusSent) -> None:
        if record.status != "draining":
            self._draining.pop((record.gate, record.server), None)
            return
        self._draining[record.gate, record.server] = record.t
        if any(
            record.server in one.attempts.values()
            for one in self._requests.values()
            if one.attempts and one.asked.gate == record.gate
        ):
            self.count_reached("word of a drain came while an attempt was at that server")

    def _gate(self, record: GatewayEvent) -> None:  # noqa: C901  (to be split by concern)
        gate = record.gate
        if record.what in ("kill", "term"):
            while self._lost_messages and self._lost_messages[0].t < record.t - MAX_LOSS_BEFORE_END_MS:
                self._lost_messages.popleft()
            if any(gate in (one.sender, one.receiver) for one in self._lost_messages):
                self.count_reached(
                    "an exchanged message was lost just before one of its two gatekeepers ended"
                )
        if record.what == "kill":
            if self._open_requests[gate] > 0:
                self.count_reached("a gatekeeper was killed while it owed answers")
            if gate in self._terminating:
                self.count_reached("a gatekeeper was killed after SIGTERM, before it had finished")
        elif record.what == "term":
            self._terminating.add(gate)
        elif record.what == "hup" and self.is_discovery_silent:
            self.count_reached("SIGHUP came while the roster was silent")
        elif record.what == "exited":
            self._down.add(gate)
            self._terminating.discard(gate)
            if len(self._down) > 1:
                self.count_reached("two gatekeepers were down at a time")
            if self.is_partitioned:
                self.count_reached("gatekeepers could not hear one another while one of them was down")
        elif record.what == "ready":
            if gate in self._down and self.is_discovery_silent:
                self.count_reached("a gatekeeper came back while the roster was silent")
            self._down.discard(gate)

    def _passed(self, record: DatagramHandled) -> None:
        if record.fate != "delivered":
            self._lost_messages.append(record)

    def _born(self, record: WorkerStarted) -> None:
        (self._warming.add if record.cold_from < 1 else self._warming.discard)(record.server)

    def _died(self, record: WorkerEnded) -> None:
        affected = [n for n, (_, server) in self._attempts.items() if server == record.server]
        if affected:
            self.count_reached("a server died with an attempt in it")
        for n in affected:
            self._remove_attempt(n)
