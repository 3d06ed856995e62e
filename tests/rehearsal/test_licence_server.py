"""The stand-in licence server in modelled time: its processor, its ledger, its faults."""

import contextlib
import heapq
import itertools
import random

import pytest

from plumpick.rehearsal.licence_server import MAX_ATTEMPT_MS, WorkerStub, ZoneKeys, _Connection
from plumpick.rehearsal.records import Born, Died, Ran, Replied, Took, Turned, Wasted
from plumpick.rehearsal.scenario import RulesPart, Scenario, ServerPart
from plumpick.rehearsal.wire import Reader, request_bytes


class Handle:
    def __init__(self, call, arguments):
        self.call, self.arguments = call, arguments

    def cancel(self):
        self.call = None


class Modelled:
    """Surroundings whose time runs only when the test says so."""

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
        handle = Handle(call, arguments)
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


class Wire:
    """The other end of a connection."""

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


class House:
    """A server in modelled time, with all that it recorded."""

    def __init__(self, cold=False, **part):
        self.around, self.records = Modelled(), []
        self.keys = ZoneKeys({"seat-checkout": 15_000.0})
        self.serials = itertools.count(1)
        self.part = ServerPart(**({"speed": [1.0, 1.0], "warm_s": [10.0, 10.0]} | part))
        self.server = self.make("a1", cold)

    def make(self, name, cold=False):
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

    def of(self, kind):
        return [record for record in self.records if isinstance(record, kind)]

    def ask(self, name, **more):
        return Wire(self.server).ask(name, **more)


def work_of(name, mean=88.0):
    return min(random.Random(f"1/{name}").expovariate(1 / mean), 6 * mean)


def test_one_request_takes_its_work_and_two_on_two_cores_do_not_wait_for_each_other():
    house = House()
    one, two = house.ask("r1"), house.ask("r2")
    house.around.run(5000)
    assert [answer.status for answer in one.answers + two.answers] == [200, 200]
    ran = {record.n: record.t for record in house.of(Ran)}
    assert ran[1] == pytest.approx(work_of("r1"), abs=1) and ran[2] == pytest.approx(work_of("r2"), abs=1)


def test_with_more_than_the_cores_each_gets_its_part():
    house = House(cores=1)
    for name in ("r1", "r2", "r3"):
        house.ask(name)
    house.around.run(10_000)
    last = max(record.t for record in house.of(Ran))
    assert last == pytest.approx(sum(map(work_of, ("r1", "r2", "r3"))), abs=1)


def test_a_cold_server_is_slower_and_warms_up_evenly():
    house = House(cold=True)
    server = house.server
    assert [round(server.warm_share(t), 3) for t in (0, 5000, 10_000, 20_000)] == [0.25, 0.625, 1.0, 1.0]
    house.ask("r1")
    house.around.run(5000)
    (ran,) = house.of(Ran)
    assert ran.t > 3 * work_of("r1")
    assert house.of(Born)[0].cold_from == 0.25


def test_full_house_and_draining_turn_away_and_say_that_nothing_ran():
    house = House(cores=1, slots_per_core=1, queue_per_core=1)
    first, second, third = (house.ask(name) for name in ("r1", "r2", "r3"))
    assert third.answers[0].status == 503 and third.answers[0].headers[b"x-not-run"] == b"1"
    house.server.draining = True
    assert house.ask("r4").answers[0].headers[b"x-not-run"] == b"1"
    house.around.run(5000)
    assert [record.n for record in house.of(Turned)] == [3, 4] and len(house.of(Ran)) == 2
    assert first.answers and second.answers


def test_the_ledger_holds_each_effect_and_a_hall_drops_a_repeat_while_it_remembers():
    house = House()
    other = house.make("a2")
    house.ask("r1", kind="seat-checkout", key="k1")
    Wire(other).ask("r1", kind="seat-checkout", key="k1")
    house.around.run(5000)
    assert sorted(record.repeat for record in house.of(Ran)) == [False, True]
    house.around.run(15_000)
    house.ask("r2", kind="seat-checkout", key="k1")
    house.around.run(5000)
    assert [record.repeat for record in house.of(Ran)].count(False) == 2


def test_the_memory_of_keys_is_bounded_by_its_window():
    keys = ZoneKeys({"seat-checkout": 100.0})
    for t in range(50_000):
        keys.is_repeat(float(t), "seat-checkout", f"k{t}")
    assert len(keys._since) <= 102 + MAX_ATTEMPT_MS


def test_a_repeat_that_comes_within_the_window_and_waits_beyond_it_is_dropped():
    """The window is one for coming; seen: a simulated checkout that came again in time took effect twice."""
    keys = ZoneKeys({"seat-checkout": 100.0})
    assert not keys.is_repeat(0.0, "seat-checkout", "k")
    for other in range(50):
        keys.is_repeat(300.0 + other, "seat-checkout", f"other {other}")  # these come later and run before
    assert keys.is_repeat(90.0, "seat-checkout", "k")
    assert not keys.is_repeat(101.0, "seat-checkout", "k")


def test_pushed_over_it_falls_and_stays_down_one_step_below_it_does_not():
    house = House(cold=True)
    budget = 2.5 * 2.0 * 0.25 * 1000 + 225
    fits = int(budget // 88)
    for number in range(fits):
        house.ask(f"r{number}")
    assert not house.server.down
    wire = house.ask("r99")
    assert house.server.down and wire.closed and house.of(Died)[0].why == "fell"


def test_slow_after_record_the_effect_stands_long_before_the_answer():
    house = House()
    house.server.faults.slow_after_record, house.server.faults.slow_ms = {"seat-checkout": 1.0}, 2000.0
    wire = house.ask("r1", kind="seat-checkout", key="k1")
    house.around.run(5000)
    assert house.of(Replied)[0].t - house.of(Ran)[0].t == pytest.approx(2000, abs=1)
    assert wire.answers[0].status == 200


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
def test_each_fault_leaves_its_mark(fault, ran, answers, closed):
    house = House()
    setattr(house.server.faults, fault, {"hours-debit": 1.0})
    wire, well = house.ask("r1", kind="hours-debit"), house.ask("r2")
    house.around.run(5000)
    assert [answer.status for answer in wire.answers] == answers and wire.closed is closed
    assert len([record for record in house.of(Ran) if record.n == 1]) == ran
    assert [answer.status for answer in well.answers] == [200]  # the other class is well


def test_half_speed_and_freeze():
    slow = House()
    slow.server.faults.speed = 0.5
    slow.ask("r1")
    slow.around.run(5000)
    assert slow.of(Ran)[0].t == pytest.approx(2 * work_of("r1"), abs=1)
    frozen = House()
    frozen.server.faults.freeze_ms, frozen.server.faults.freeze_every_ms = 1000.0, 5000.0
    frozen.ask("r1")
    frozen.around.run(8000)
    assert frozen.of(Ran)[0].t == pytest.approx(1000 + work_of("r1"), abs=1)


def test_silence_says_nothing_and_it_comes_back_cold_as_another_life():
    house = House()
    wire = house.ask("r1")
    house.server.become_unreachable()
    late = house.ask("r2")
    house.around.run(5000)
    assert not wire.answers and not late.answers and not wire.closed and len(house.of(Took)) == 1
    with contextlib.suppress(StopIteration):
        house.server.restart_cold().send(None)
    assert wire.closed and house.server.incarnation == 2 and house.server.warm_share(house.around.t) == 0.25
    house.ask("r3")
    house.around.run(5000)
    assert house.of(Took)[-1].life == 2 and house.of(Replied)


def test_work_nobody_waits_for_goes_on_and_waiting_work_is_dropped():
    house = House(cores=1, slots_per_core=1)
    running, waiting = house.ask("r1"), house.ask("r2")
    running.abort()
    waiting.abort()
    house.around.run(5000)
    assert [record.n for record in house.of(Wasted)] == [1] and [record.n for record in house.of(Ran)] == [1]


def test_idle_connections_are_closed():
    house = House(idle_s=5.0)
    wire = Wire(house.server)
    house.around.run(4000)
    assert not wire.closed
    house.around.run(3000)
    assert wire.closed


def test_reports_come_late_and_tell_use():
    house = House()
    house.ask("r0")
    house.around.run(300)
    for number in range(20):
        house.ask(f"r{number}")
    house.around.run(700)
    wire = house.ask("last")
    house.around.run(5000)
    assert (
        b'"util"' in wire.answers[0].headers[b"x-load"]
        and b'"latency_ms"' in wire.answers[0].headers[b"x-load"]
    )


def test_the_same_request_is_the_same_work_at_each_server():
    house = House()
    other = house.make("a2")
    house.ask("r1")
    Wire(other).ask("r1")
    house.around.run(5000)
    first, second = house.of(Replied)
    assert first.worked_ms == second.worked_ms


def test_what_is_no_request_is_404_or_a_close():
    house = House()
    wire = Wire(house.server)
    wire.connection.data_received(request_bytes("GET", "/nothing", {"X-Request-Id": "a"}))
    assert wire.answers[0].status == 404
    wire.connection.data_received(b"\x00\r\n\r\n")
    assert wire.closed and not house.of(Took)
