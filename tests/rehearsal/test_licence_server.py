"""The worker stub in simulated time: its processor, its records of effects and its faults."""

import contextlib
import heapq
import itertools
import random

import pytest

from plumpick.rehearsal.licence_server import MAX_ATTEMPT_MS, WorkerStub, ZoneKeys, _Connection
from plumpick.rehearsal.records import (
    AttemptAnswered,
    AttemptExecuted,
    AttemptReceived,
    AttemptRejected,
    WorkerEnded,
    WorkerStarted,
    WorkWasted,
)
from plumpick.rehearsal.scenario import RulesPart, Scenario, ServerPart
from plumpick.rehearsal.wire import Reader, request_bytes


class TimerHandle:
    def __init__(self, call, arguments):
        self.call, self.arguments = call, arguments

    def cancel(self):
        self.call = None


class SimulatedSurroundings:
    """Surroundings whose time advances only in `run`."""

    def __init__(self, seed=1):
        self.seed, self.t, self.queue, self.serial = seed, 0.0, [], itertools.count()
        self.loop = self

    def now(self):
        return round(self.t, 3)

    def unix_ms(self, t):
        return 1e12 + t

    def chance(self, name):
        return random.Random(f"{self.seed}/{name}")

    def later(self, ms, call, *arguments):
        handle = TimerHandle(call, arguments)
        heapq.heappush(self.queue, (self.t + max(0.0, ms), next(self.serial), handle))
        return handle

    def run(self, ms):
        end = self.t + ms
        while self.queue and self.queue[0][0] <= end:
            self.t, _, handle = heapq.heappop(self.queue)
            if handle.call is not None:
                handle.call(*handle.arguments)
        self.t = end

    async def create_server(self, _factory, _host, _port, **_more):
        return self

    @property
    def sockets(self):
        return [self]

    def getsockname(self):
        return ("127.0.0.1", 4242)

    def close(self):
        pass


class ClientConnection:
    """A client's connection to the worker stub, without a socket."""

    def __init__(self, server):
        self.connection, self.answers, self.closed, self.reader = _Connection(server), [], False, Reader(True)
        self.connection.connection_made(self)

    def write(self, data):
        self.answers += self.reader.feed(data, 0.0)

    def abort(self):
        if not self.closed:
            self.closed = True
            self.connection.connection_lost(None)

    close = abort

    def ask(self, name, kind="seat-check", key=""):
        headers = {"X-Request-Id": name} | ({"Idempotency-Key": key} if key else {})
        method = "GET" if kind == "seat-check" else "POST"
        self.connection.data_received(request_bytes(method, f"/{kind}", headers))
        return self


class StubHarness:
    """A worker stub in simulated time, with all its records."""

    def __init__(self, cold=False, **part):
        self.around, self.records = SimulatedSurroundings(), []
        self.keys = ZoneKeys({"seat-checkout": 15_000.0})
        self.serials = itertools.count(1)
        self.part = ServerPart(**({"speed": [1.0, 1.0], "warm_s": [10.0, 10.0]} | part))
        self.server = self.make_stub("a1", cold)

    def make_stub(self, name, cold=False):
        server = WorkerStub(
            self.around,
            name,
            "hall-a",
            self.part,
            RulesPart(),
            Scenario().classes,
            self.keys,
            self.records.append,
            self.serials,
        )
        with contextlib.suppress(StopIteration):
            server.start(cold).send(None)
        return server

    def records_of(self, kind):
        return [record for record in self.records if isinstance(record, kind)]

    def ask(self, name, **more):
        return ClientConnection(self.server).ask(name, **more)


def expected_work_ms(name, mean=88.0):
    return min(random.Random(f"1/{name}").expovariate(1 / mean), 6 * mean)


def test_two_requests_on_two_cores_each_take_only_their_own_work():
    harness = StubHarness()
    one, two = harness.ask("r1"), harness.ask("r2")
    harness.around.run(5000)
    assert [answer.status for answer in one.answers + two.answers] == [200, 200]
    ran = {record.n: record.t for record in harness.records_of(AttemptExecuted)}
    assert ran[1] == pytest.approx(expected_work_ms("r1"), abs=1) and ran[2] == pytest.approx(
        expected_work_ms("r2"), abs=1
    )


def test_requests_beyond_the_cores_share_the_processor_equally():
    harness = StubHarness(cores=1)
    for name in ("r1", "r2", "r3"):
        harness.ask(name)
    harness.around.run(10_000)
    last = max(record.t for record in harness.records_of(AttemptExecuted))
    assert last == pytest.approx(sum(map(expected_work_ms, ("r1", "r2", "r3"))), abs=1)


def test_cold_worker_is_slower_and_warms_up_linearly():
    harness = StubHarness(cold=True)
    server = harness.server
    assert [round(server.warm_share(t), 3) for t in (0, 5000, 10_000, 20_000)] == [0.25, 0.625, 1.0, 1.0]
    harness.ask("r1")
    harness.around.run(5000)
    (ran,) = harness.records_of(AttemptExecuted)
    assert ran.t > 3 * expected_work_ms("r1")
    assert harness.records_of(WorkerStarted)[0].cold_from == 0.25


def test_full_or_draining_worker_rejects_requests_as_not_run():
    harness = StubHarness(cores=1, slots_per_core=1, queue_per_core=1)
    first, second, third = (harness.ask(name) for name in ("r1", "r2", "r3"))
    assert third.answers[0].status == 503 and third.answers[0].headers[b"x-not-run"] == b"1"
    harness.server.draining = True
    assert harness.ask("r4").answers[0].headers[b"x-not-run"] == b"1"
    harness.around.run(5000)
    assert [record.n for record in harness.records_of(AttemptRejected)] == [3, 4] and len(
        harness.records_of(AttemptExecuted)
    ) == 2
    assert first.answers and second.answers


def test_zone_drops_repeat_of_a_key_within_its_window_only():
    harness = StubHarness()
    other = harness.make_stub("a2")
    harness.ask("r1", kind="seat-checkout", key="k1")
    ClientConnection(other).ask("r1", kind="seat-checkout", key="k1")
    harness.around.run(5000)
    assert sorted(record.repeat for record in harness.records_of(AttemptExecuted)) == [False, True]
    harness.around.run(15_000)
    harness.ask("r2", kind="seat-checkout", key="k1")
    harness.around.run(5000)
    assert [record.repeat for record in harness.records_of(AttemptExecuted)].count(False) == 2


def test_number_of_remembered_keys_is_bounded_by_the_window():
    keys = ZoneKeys({"seat-checkout": 100.0})
    for t in range(50_000):
        keys.is_repeat(float(t), "seat-checkout", f"k{t}")
    assert len(keys._since) <= 102 + MAX_ATTEMPT_MS


def test_repeat_that_arrives_within_the_window_is_dropped_even_if_it_waits_longer():
    """Guards against a window measured at the start of the work: a repeat in time then took effect twice."""
    keys = ZoneKeys({"seat-checkout": 100.0})
    assert not keys.is_repeat(0.0, "seat-checkout", "k")
    for other in range(50):
        keys.is_repeat(300.0 + other, "seat-checkout", f"other {other}")  # these arrive later and run earlier
    assert keys.is_repeat(90.0, "seat-checkout", "k")
    assert not keys.is_repeat(101.0, "seat-checkout", "k")


def test_cold_worker_crashes_only_when_sent_more_than_its_budget():
    harness = StubHarness(cold=True)
    budget = 2.5 * 2.0 * 0.25 * 1000 + 225
    fits = int(budget // 88)
    for number in range(fits):
        harness.ask(f"r{number}")
    assert not harness.server.down
    client = harness.ask("r99")
    assert harness.server.down and client.closed and harness.records_of(WorkerEnded)[0].why == "fell"


def test_slow_after_record_delays_the_response_after_the_effect():
    harness = StubHarness()
    harness.server.faults.slow_after_record, harness.server.faults.slow_ms = {"seat-checkout": 1.0}, 2000.0
    client = harness.ask("r1", kind="seat-checkout", key="k1")
    harness.around.run(5000)
    assert harness.records_of(AttemptAnswered)[0].t - harness.records_of(AttemptExecuted)[
        0
    ].t == pytest.approx(2000, abs=1)
    assert client.answers[0].status == 200


@pytest.mark.parametrize(
    ("fault", "ran", "answers", "closed"),
    [
        ("swallow", 0, [], False),
        ("reset_before", 0, [], True),
        ("reset_after", 1, [], True),
        ("error", 0, [500], False),
        ("fast_error", 0, [500], False),
    ],
)
def test_fault_affects_only_its_request_class(fault, ran, answers, closed):
    harness = StubHarness()
    setattr(harness.server.faults, fault, {"hours-debit": 1.0})
    client, well = harness.ask("r1", kind="hours-debit"), harness.ask("r2")
    harness.around.run(5000)
    assert [answer.status for answer in client.answers] == answers and client.closed is closed
    assert len([record for record in harness.records_of(AttemptExecuted) if record.n == 1]) == ran
    assert [answer.status for answer in well.answers] == [200]  # the fault spares the other class


def test_half_speed_and_freeze_prolong_the_work():
    slow = StubHarness()
    slow.server.faults.speed = 0.5
    slow.ask("r1")
    slow.around.run(5000)
    assert slow.records_of(AttemptExecuted)[0].t == pytest.approx(2 * expected_work_ms("r1"), abs=1)
    frozen = StubHarness()
    frozen.server.faults.freeze_ms, frozen.server.faults.freeze_every_ms = 1000.0, 5000.0
    frozen.ask("r1")
    frozen.around.run(8000)
    assert frozen.records_of(AttemptExecuted)[0].t == pytest.approx(1000 + expected_work_ms("r1"), abs=1)


def test_unreachable_worker_does_not_respond_and_returns_as_cold_new_incarnation():
    harness = StubHarness()
    client = harness.ask("r1")
    harness.server.become_unreachable()
    late = harness.ask("r2")
    harness.around.run(5000)
    assert (
        not client.answers
        and not late.answers
        and not client.closed
        and len(harness.records_of(AttemptReceived)) == 1
    )
    with contextlib.suppress(StopIteration):
        harness.server.restart_cold().send(None)
    assert (
        client.closed
        and harness.server.incarnation == 2
        and harness.server.warm_share(harness.around.t) == 0.25
    )
    harness.ask("r3")
    harness.around.run(5000)
    assert harness.records_of(AttemptReceived)[-1].life == 2 and harness.records_of(AttemptAnswered)


def test_cancelled_running_attempt_completes_and_queued_one_is_dropped():
    harness = StubHarness(cores=1, slots_per_core=1)
    running, waiting = harness.ask("r1"), harness.ask("r2")
    running.abort()
    waiting.abort()
    harness.around.run(5000)
    assert [record.n for record in harness.records_of(WorkWasted)] == [1] and [
        record.n for record in harness.records_of(AttemptExecuted)
    ] == [1]


def test_idle_connections_are_closed():
    harness = StubHarness(idle_s=5.0)
    client = ClientConnection(harness.server)
    harness.around.run(4000)
    assert not client.closed
    harness.around.run(3000)
    assert client.closed


def test_load_report_contains_utilization_and_latency():
    harness = StubHarness()
    harness.ask("r0")
    harness.around.run(300)
    for number in range(20):
        harness.ask(f"r{number}")
    harness.around.run(700)
    client = harness.ask("last")
    harness.around.run(5000)
    assert (
        b'"util"' in client.answers[0].headers[b"x-load"]
        and b'"latency_ms"' in client.answers[0].headers[b"x-load"]
    )


def test_request_takes_the_same_work_at_every_worker():
    harness = StubHarness()
    other = harness.make_stub("a2")
    harness.ask("r1")
    ClientConnection(other).ask("r1")
    harness.around.run(5000)
    first, second = harness.records_of(AttemptAnswered)
    assert first.worked_ms == second.worked_ms


def test_unknown_path_gets_404_and_malformed_request_is_closed():
    harness = StubHarness()
    client = ClientConnection(harness.server)
    client.connection.data_received(request_bytes("GET", "/nothing", {"X-Request-Id": "a"}))
    assert client.answers[0].status == 404
    client.connection.data_received(b"\x00\r\n\r\n")
    assert client.closed and not harness.records_of(AttemptReceived)
