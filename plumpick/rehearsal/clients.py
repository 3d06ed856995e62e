"""Scripted clients and a front that distributes their requests: customers send, wait, give up and retry.

Arrivals are open-loop: they do not wait for responses. Each customer has a plan, a set of gateways and a
level of use: most customers use a part of their quota, some nearly all of it, and some far more. One
operation (`op`) is what a client wants to have done; each try of it is a separate request.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from plumpick.rehearsal.records import Answered, Asked, Left, Record, Surplus
from plumpick.rehearsal.scenario import ClassPart, HotFirm, PlanPart, Scenario
from plumpick.rehearsal.surroundings import HOST, Surroundings, is_up
from plumpick.rehearsal.wire import Reader, WireError, request_bytes

OVERDUE_MS = (
    70.0  # Time after a request's deadline at which a client without a response closes the connection
)
# Time after sending within which a closed connection means that the gateway closed it before the request came
CROSS_MS = 100.0
UP_S = 1.0  # Time limit for a response to /up
POLL_MS = 50.0  # Interval at which the front checks whether a gateway that was down is up again
IDLE_CLOSE_MS = 1500.0  # Idle time after which a client closes a connection
DOOR_PART = 0.3  # Maximum share of a gateway's file descriptors that clients use for connections


@dataclass(slots=True)
class Firm:
    """A customer: its quota and how it uses it. Times are in ms since the start of the run."""

    name: str
    plan: PlanPart
    rate: float  # Quota, in units per second
    burst: float  # Burst of the quota, in units
    spread: int  # Number of gateways that the customer sends to
    first: int  # Number of the first of these gateways
    use: float  # Request rate as a multiple of the quota
    honours: bool  # Whether the customer waits as long as Retry-After says
    weights: list[float] = field(default_factory=list)  # Weights of the customer's gateways, in their order
    spike: tuple[float, float] = (
        0.0,
        1.0,
    )  # Factor on `use` during a spike, and the time at which the spike ends
    hot_until: float = 0.0  # Time until which additional requests are sent; 0 if none are
    hot_times: float = 0.0  # Rate of the additional requests as a multiple of the quota
    crowd: float = 0.0  # Share of the requests that go to the gateway with the highest weight only


@dataclass(slots=True)
class Op:
    """One operation that a client wants to have done, across all of its tries."""

    number: int
    firm: Firm
    kind: ClassPart
    key: str  # Idempotency key, sent for request classes with keys only
    turn: int = 0  # Number of tries sent before the current one


class _Try(asyncio.Protocol):
    """A connection from the front to a gateway; it carries one try at a time."""

    def __init__(self, front: Front, door: Door) -> None:
        self.front, self.door = front, door
        self.transport: Any = None
        self.reader = Reader(answers=True)
        self.asked: tuple[str, Op] | None = None  # Request id and operation of the try that awaits a response
        self.last_id = ""
        self.fresh = True  # Whether no response has come on this connection yet
        self.timer: asyncio.TimerHandle | None = None
        self.message = b""
        self.idle_t = self.asked_t = 0.0
        self.local_port = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.local_port = int(self.transport.get_extra_info("sockname")[1])

    def data_received(self, data: bytes) -> None:
        front = self.front
        if self.asked is None:  # No try awaits a response, so these bytes belong to no request.
            if self.last_id:
                front.record(Surplus(front.now(), self.last_id))
            self.transport.abort()
            return
        try:
            messages = self.reader.feed(data, front.now())
        except WireError:
            self._end("broken")
            self.transport.abort()
            return
        if messages:
            message, *more = messages
            (request_id, op), self.asked, self.fresh = self.asked, None, False
            self.last_id = request_id
            self.stop_timer()
            keep = message.headers.get(b"connection") != b"close"
            if more or self.reader.begun:
                front.record(Surplus(front.now(), request_id))
                keep = False
            if keep:
                self.door.put_back(self)
            else:
                self.transport.close()
            owner, _, rest = message.body.decode("latin-1").partition(" ")
            number = rest.partition(" ")[0]
            retry = message.headers.get(b"retry-after", b"0")
            try:
                retry_ms = float(retry) * 1000
            except ValueError:
                retry_ms = 0.0
            front.answered(
                request_id, op, message.status, int(number) if number.isdigit() else -1, owner, retry_ms
            )

    def connection_lost(self, _problem: Exception | None) -> None:
        self.door.lost(self)
        if self.asked is not None:
            crossed = self.front.now() - self.asked_t < CROSS_MS
            if crossed and not self.fresh and not self.reader.begun:
                # The gateway closed the idle connection before the request arrived: resend it on a new one.
                asked, self.asked = self.asked, None
                self.stop_timer()
                self.front.send_again(self.door, asked, self.message)
                return
            self._end("broken")

    def _end(self, why: str) -> None:
        if self.asked is not None:
            if self.local_port in self.front.refused:
                self.front.refused.discard(self.local_port)
                why = "unreachable"
            (request_id, op), self.asked = self.asked, None
            self.stop_timer()
            self.front.left(request_id, op, why)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def close_with(self, why: str) -> None:
        """End the try without a response, recorded with the reason `why`, and abort the connection."""
        self.timer = None
        self._end(why)
        self.transport.abort()


class Door:
    """The front's connections to one gateway, and whether the front takes that gateway to be up."""

    def __init__(self, front: Front, number: int) -> None:
        self.front, self.number, self.name = front, number, f"n{number}"
        self.port = 0
        self.up = False
        self.leaving = False  # Whether the gateway shuts down gracefully: only open connections are used
        self.idle: list[_Try] = []
        self.count = 0
        self._polling = False

    def put_back(self, connection: _Try) -> None:
        connection.idle_t = self.front.now()
        self.idle.append(connection)

    def lost(self, connection: _Try) -> None:
        self.count -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def tidy(self) -> None:
        """Close connections that have been idle for longer than IDLE_CLOSE_MS."""
        t = self.front.now()
        while self.idle and t - self.idle[0].idle_t > IDLE_CLOSE_MS:
            self.idle.pop(0).transport.close()

    def leaves(self, after_ms: float) -> None:
        """Note a graceful shutdown of the gateway: no new connections are opened after `after_ms`."""

        def leave() -> None:
            self.leaving = True

        self.front.around.later(after_ms, leave)

    def usable(self) -> bool:
        """Return whether the front sends requests to this gateway."""
        if self.leaving:
            self.idle = [one for one in self.idle if not one.transport.is_closing()]
        return self.up and (not self.leaving or bool(self.idle))

    def went_down(self, notice_ms: float) -> None:
        """Handle the end of the gateway's process: noticed after `notice_ms`, at once if it was planned."""
        if self.leaving:
            self.leaving = False
            self._notice()
        else:
            self.front.around.later(notice_ms, self._notice)

    def _notice(self) -> None:
        if self.up:
            self.up = False
            self.poll()

    def poll(self) -> None:
        """Request /up in the background until the response is 200; then the gateway is up again."""
        if not self._polling and not self.front.stopped:
            self._polling = True
            self.front.around.spawn(self.front.tasks, self._ask_up())

    async def _ask_up(self) -> None:
        while not self.front.stopped and not await is_up(self.port, UP_S):
            await asyncio.sleep(POLL_MS / 1000)
        self._polling = False
        self.up = True


class Front:
    """Plays all clients, and distributes each customer's requests over the gateways of its set."""

    def __init__(
        self, around: Surroundings, scenario: Scenario, capacity: float, record: Callable[[Record], None]
    ) -> None:
        self.around, self.scenario, self.record, self.now = around, scenario, record, around.now
        self.doors = [Door(self, number) for number in range(scenario.fleet.gatekeepers)]
        self._rng = around.chance("clients")
        self._ids = random.Random(f"{around.seed}/ids")
        self._ops = itertools.count(1)
        self.tasks: set[asyncio.Task[Any]] = set()
        self._timers: set[asyncio.TimerHandle] = set()
        self.stopped = True
        self.open = 0  # Number of tries that await a response
        # Local ports of connections that a fault relay accepted although nothing listens at the target
        self.refused: set[int] = set()
        self.most = max(8, int(scenario.fleet.sockets * DOOR_PART))
        self.firms = self._make_firms(capacity)

    # -- customers

    def _make_firms(self, capacity: float) -> list[Firm]:
        """Return enough customers to make the scenario's load, counting requests within their quotas only."""
        part, rng = self.scenario.clients, self.around.chance("firms")
        mean_work = sum(kind.share * kind.work_ms for kind in self.scenario.classes)
        target = self.scenario.load.rate_per_s or capacity * 1000 / mean_work * self.scenario.load.share
        firms: list[Firm] = []
        count = len(self.doors)
        for plan in self.scenario.plans:
            inside = 0.0
            while inside < target * plan.share:
                rate = rng.uniform(*plan.rate_per_s)
                roll = rng.random()
                if roll < part.heavy:
                    use, asked = rng.uniform(*part.heavy_times), 1.0
                elif roll < part.heavy + part.full:
                    use = asked = 0.95
                else:
                    use = asked = rng.uniform(*part.usual_use)
                spread = min(count, rng.randint(part.spread[0], max(part.spread)))
                firm = Firm(
                    f"{rng.randrange(1 << 33):016x}",
                    plan,
                    rate,
                    rate * rng.uniform(*plan.burst_s),
                    spread,
                    rng.randrange(count),
                    use,
                    rng.random() < part.honour,
                )
                firm.burst = max(2.0, firm.burst)
                firms.append(firm)
                inside += rate * asked
        # The settings state one rate and burst per plan, so all customers of a plan get the mean.
        for plan in self.scenario.plans:
            mine = [firm for firm in firms if firm.plan is plan]
            rate = sum(firm.rate for firm in mine) / len(mine)
            burst = sum(firm.burst for firm in mine) / len(mine)
            for firm in mine:
                firm.rate, firm.burst = round(rate, 4), round(burst, 4)
        return firms

    def quotas(self) -> dict[str, dict[str, float]]:
        """Return the quota of each plan in this run: units per second, burst, ceiling, slack and prices."""
        result = {}
        for plan in self.scenario.plans:
            firm = next(firm for firm in self.firms if firm.plan is plan)
            times = plan.ceiling
            slack = max(1.0, self.scenario.rules.ceiling_slack * firm.burst * times) if times else 0.0
            result[plan.name] = {
                "rate": firm.rate,
                "burst": firm.burst,
                "ceiling_rate": round(firm.rate * times, 4),
                "ceiling_burst": round(firm.burst * times, 4),
                "ceiling_slack": round(slack, 4),
                "value": plan.value,
                "over_cost": plan.over_cost,
            }
        return result

    def _shift(self, firm: Firm) -> None:
        """Redistribute the customer's traffic, so that another of its gateways is the busiest; repeats."""
        skew = self._rng.uniform(*self.scenario.clients.skew)
        weights = [1 / (rank + 1) ** skew for rank in range(firm.spread)]
        self._rng.shuffle(weights)
        firm.weights = weights
        self._later(self._rng.uniform(*self.scenario.clients.shift_s) * 1000, self._shift, firm)

    def _spike(self, firm: Firm) -> None:
        part, t = self.scenario.clients, self.now()
        firm.spike = (
            self._rng.uniform(*part.spike_times) / max(0.1, firm.use),
            t + self._rng.uniform(*part.spike_s) * 1000,
        )
        self._later(self._rng.uniform(*part.spike_every_s) * 1000, self._spike, firm)

    def heat(self, event: HotFirm) -> str:
        """Let the plan's customer with the most gateways send additional requests; return its name."""
        firm = max(
            (firm for firm in self.firms if firm.plan.name == event.plan and not firm.hot_until),
            key=lambda firm: firm.spread,
            default=None,
        )
        if firm is None:
            firm = next(firm for firm in self.firms if firm.plan.name == event.plan)
        firm.hot_until, firm.hot_times = self.now() + event.for_s * 1000, event.times
        firm.crowd = event.crowd
        self._arrive_later(firm, extra=True)
        return firm.name

    # -- arrivals

    def start(self) -> None:
        """Start the arrivals of all customers."""
        self.stopped = False
        for firm in self.firms:
            self._shift(firm)
            if self._rng.random() < self.scenario.clients.spiky:
                self._later(
                    self._rng.uniform(0, self.scenario.clients.spike_every_s[1]) * 1000, self._spike, firm
                )
            self._arrive_later(firm)
        self._tidy()

    def stop(self) -> None:
        """Stop the arrivals and retries; tries under way may still get a response."""
        self.stopped = True
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def close(self) -> None:
        """Stop the arrivals and cancel all background tasks."""
        self.stop()
        for task in list(self.tasks):
            task.cancel()

    def _tidy(self) -> None:
        for door in self.doors:
            door.tidy()
        self._later(500.0, self._tidy)

    def _later(self, ms: float, call: Callable[..., Any], *arguments: Any) -> None:
        def fire() -> None:
            self._timers.discard(timer)
            if not self.stopped:
                call(*arguments)

        timer = self.around.later(ms, fire)
        self._timers.add(timer)

    def _arrive_later(self, firm: Firm, extra: bool = False) -> None:
        """Schedule the customer's next arrival; with `extra`, the next of its additional requests."""
        t = self.now()
        if extra:
            if t >= firm.hot_until:
                firm.hot_until = 0.0
                return
            rate = firm.rate * firm.hot_times
        else:
            times, until = firm.spike
            rate = firm.rate * firm.use * (times if t < until else 1.0)
        wait = self._rng.expovariate(rate) * 1000
        if not extra and wait > 1000.0:  # Draw again later, because a spike may begin in between.
            self._later(1000.0, self._arrive_later, firm)
            return
        self._later(wait, self._arrive, firm, extra)

    def _arrive(self, firm: Firm, extra: bool) -> None:
        kind = self._rng.choices(self.scenario.classes, [kind.share for kind in self.scenario.classes])[0]
        op = Op(next(self._ops), firm, kind, f"{self._ids.getrandbits(128):032x}")
        self._ask(op)
        self._arrive_later(firm, extra)

    # -- tries

    def _door(self, op: Op) -> Door:
        firm = op.firm
        doors = [self.doors[(firm.first + place) % len(self.doors)] for place in range(firm.spread)]
        weights = list(firm.weights)
        if firm.crowd and self._rng.random() < firm.crowd:
            weights = [float(weight == max(weights)) for weight in weights]
        up = [(door, weight) for door, weight in zip(doors, weights, strict=True) if door.usable()]
        if not up or not any(weight for _, weight in up):
            up = [(door, 1.0) for door in doors if door.usable()] or [(door, 1.0) for door in doors]
        return self._rng.choices([door for door, _ in up], [weight for _, weight in up])[0]

    def _ask(self, op: Op) -> None:
        """Send one try of the operation, unless the front has stopped."""
        if self.stopped:
            return
        door = self._door(op)
        kind, firm = op.kind, op.firm
        wait_ms = float(int(kind.deadline_ms * self._rng.uniform(*self.scenario.clients.patience)))
        request_id = f"{self._ids.getrandbits(64):016x}"
        headers = {
            "X-Request-Id": request_id,
            "X-Tier": firm.plan.name,
            "X-Api-Key": firm.name,
            "X-Deadline-Ms": str(int(wait_ms)),
            "X-Call-Terms": f"units=1,spread={firm.spread},first={firm.first}",
        }
        if op.turn:
            headers["X-Retry"] = "1"
        if kind.repeats == "keyed":
            headers["Idempotency-Key"] = op.key
        body = b"" if kind.repeats == "safe" else b'{"seat":"%d"}' % op.number
        message = request_bytes("GET" if kind.repeats == "safe" else "POST", f"/{kind.name}", headers, body)
        self.open += 1
        if door.idle:
            connection = door.idle.pop()
            if not connection.transport.is_closing():
                self._write(connection, request_id, op, message, wait_ms)
                return
        self._dial(door, request_id, op, message, wait_ms)

    def _dial(self, door: Door, request_id: str, op: Op, message: bytes, wait_ms: float) -> None:
        if door.count >= self.most:
            self._unreachable(request_id, op)
            return
        connection = _Try(self, door)

        async def dial() -> None:
            try:
                await self.around.loop.create_connection(lambda: connection, HOST, door.port)
            except OSError:
                door.count -= 1
                self._unreachable(request_id, op)
                return
            self._write(connection, request_id, op, message, wait_ms)

        door.count += 1
        self.around.spawn(self.tasks, dial())

    def _write(self, connection: _Try, request_id: str, op: Op, message: bytes, wait_ms: float) -> None:
        firm = op.firm
        connection.asked, connection.message, connection.asked_t = (request_id, op), message, self.now()
        why, after = "overdue", wait_ms + OVERDUE_MS
        if self.scenario.clients.impatient and self._rng.random() < self.scenario.clients.impatient:
            why, after = "went", wait_ms * self._rng.uniform(0.05, 0.6)
        connection.timer = self.around.later(after, connection.close_with, why)
        connection.transport.write(message)
        self.record(
            Asked(
                self.now(),
                request_id,
                op.number,
                op.turn,
                firm.name,
                firm.plan.name,
                op.kind.name,
                connection.door.name,
                wait_ms,
                1.0,
                op.key if op.kind.repeats == "keyed" else "",
            )
        )

    def send_again(self, door: Door, asked: tuple[str, Op], message: bytes) -> None:
        """Resend a request on a new connection with the same request id."""
        request_id, op = asked
        wait_ms = float(message.partition(b"X-Deadline-Ms: ")[2].partition(b"\r\n")[0])
        self._dial(door, request_id, op, message, wait_ms)

    def _unreachable(self, request_id: str, op: Op) -> None:
        self.left(request_id, op, "unreachable")

    # -- how tries end

    def answered(
        self, request_id: str, op: Op, status: int, source: int, owner: str, retry_ms: float
    ) -> None:
        """Record a complete response, and schedule a retry where the status allows one."""
        self.open -= 1
        self.record(Answered(self.now(), request_id, status, source, owner, round(retry_ms, 3)))
        if status in (429, 503):
            wait = self._rng.uniform(*self.scenario.clients.backoff_ms) * 2**op.turn
            self._retry(op, max(wait, retry_ms) if op.firm.honours else wait)
        elif status != 200 and op.kind.repeats == "safe":
            self._retry(op, self._rng.uniform(*self.scenario.clients.backoff_ms) * 2**op.turn)

    def left(self, request_id: str, op: Op, why: str) -> None:
        """Record that a try ended without a response, and schedule a retry where that is safe."""
        self.open -= 1
        self.record(Left(self.now(), request_id, why))
        if why == "unreachable" or why == "broken" or op.kind.repeats == "safe" and why == "overdue":
            self._retry(op, self._rng.uniform(*self.scenario.clients.backoff_ms) * 2**op.turn)

    def _retry(self, op: Op, wait_ms: float) -> None:
        if op.turn < self.scenario.clients.retries:
            op.turn += 1
            self._later(min(wait_ms, 5000.0), self._ask, op)


def capacity_of(servers: list[Any]) -> float:
    """Return the total capacity of warm servers, in ms of work per ms."""
    return math.fsum(server.capacity for server in servers)
