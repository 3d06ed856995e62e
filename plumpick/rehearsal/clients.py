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

from plumpick.rehearsal.records import (
    ExtraBytesReceived,
    Record,
    RequestAbandoned,
    RequestSent,
    ResponseReceived,
)
from plumpick.rehearsal.scenario import ClassPart, HotFirm, PlanPart, Scenario
from plumpick.rehearsal.surroundings import HOST, Surroundings, is_up
from plumpick.rehearsal.wire import Reader, WireError, request_bytes

OVERDUE_MS = (
    70.0  # Time after a request's deadline at which a client without a response closes the connection
)
# Time after sending within which a closed connection means that the gateway closed it before the request came
CLOSE_RACE_MS = 100.0
UP_TIMEOUT_S = 1.0  # Time limit for a gateway's response to /up
POLL_MS = 50.0  # Interval at which the front checks whether a gateway that was down is up again
IDLE_CLOSE_MS = 1500.0  # Idle time after which a client closes a connection
MAX_DESCRIPTOR_SHARE = 0.3  # Maximum share of a gateway's file descriptors that clients use for connections


@dataclass(slots=True)
class Customer:
    """A customer: its quota and how it uses it. Times are in ms since the start of the run."""

    name: str
    plan: PlanPart
    rate: float  # Quota of the customer, in units per second
    burst: float  # Burst of the customer's quota, in units
    spread: int  # Number of gateways that the customer sends to
    first: int  # Index of the first gateway that the customer sends to
    use: float  # Request rate of the customer as a multiple of its quota
    honours_retry_after: bool  # Whether the customer waits as long as Retry-After says
    weights: list[float] = field(default_factory=list)  # Weights of the customer's gateways, in their order
    spike: tuple[float, float] = (
        0.0,
        1.0,
    )  # Factor on `use` during a spike, and the time at which the spike ends
    hot_until: float = 0.0  # Time until which the customer sends additional requests; 0 if it sends none
    hot_times: float = 0.0  # Rate of the additional requests as a multiple of the customer's quota
    crowd: float = 0.0  # Share of the customer's requests that go only to its gateway with the highest weight


@dataclass(slots=True)
class Operation:
    """One operation that a client wants to have done, across all of its tries."""

    number: int
    customer: Customer
    kind: ClassPart
    key: str  # Idempotency key, sent for request classes with keys only
    turn: int = 0  # Number of tries sent before the current one


class _ClientConnection(asyncio.Protocol):
    """A connection from the front to a gateway; it carries one try at a time."""

    def __init__(self, front: Front, gateway: GatewayConnections) -> None:
        self.front, self.gateway = front, gateway
        self.transport: Any = None
        self.reader = Reader(answers=True)
        # Request id and operation of the try that awaits a response
        self.pending: tuple[str, Operation] | None = None
        self.last_id = ""
        self.fresh = True  # Whether no response has come on this connection yet
        self.timer: asyncio.TimerHandle | None = None
        self.message = b""
        self.idle_t = self.sent_t = 0.0
        self.local_port = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.local_port = int(self.transport.get_extra_info("sockname")[1])

    def data_received(self, data: bytes) -> None:
        front = self.front
        if self.pending is None:  # No try awaits a response, so these bytes belong to no request.
            if self.last_id:
                front.record(ExtraBytesReceived(front.now(), self.last_id))
            self.transport.abort()
            return
        try:
            messages = self.reader.feed(data, front.now())
        except WireError:
            self._end_try("broken")
            self.transport.abort()
            return
        if messages:
            message, *more = messages
            (request_id, op), self.pending, self.fresh = self.pending, None, False
            self.last_id = request_id
            self.stop_timer()
            keep = message.headers.get(b"connection") != b"close"
            if more or self.reader.begun:
                front.record(ExtraBytesReceived(front.now(), request_id))
                keep = False
            if keep:
                self.gateway.put_back(self)
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
        self.gateway.remove(self)
        if self.pending is not None:
            crossed = self.front.now() - self.sent_t < CLOSE_RACE_MS
            if crossed and not self.fresh and not self.reader.begun:
                # The gateway closed the idle connection before the request arrived: resend it on a new one.
                asked, self.pending = self.pending, None
                self.stop_timer()
                self.front.resend(self.gateway, asked, self.message)
                return
            self._end_try("broken")

    def _end_try(self, why: str) -> None:
        if self.pending is not None:
            if self.local_port in self.front.refused:
                self.front.refused.discard(self.local_port)
                why = "unreachable"
            (request_id, op), self.pending = self.pending, None
            self.stop_timer()
            self.front.ended_without_response(request_id, op, why)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def abandon(self, why: str) -> None:
        """End the try without a response, recorded with the reason `why`, and abort the connection."""
        self.timer = None
        self._end_try(why)
        self.transport.abort()


class GatewayConnections:
    """The front's connections to one gateway, and whether the front takes that gateway to be up."""

    def __init__(self, front: Front, number: int) -> None:
        self.front, self.number, self.name = front, number, f"n{number}"
        self.port = 0
        self.up = False
        # Whether the gateway shuts down; only open connections to it are used then
        self.is_shutting_down = False
        self.idle: list[_ClientConnection] = []
        self.count = 0
        self._polling = False

    def put_back(self, connection: _ClientConnection) -> None:
        connection.idle_t = self.front.now()
        self.idle.append(connection)

    def remove(self, connection: _ClientConnection) -> None:
        self.count -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        """Close connections that have been idle for longer than IDLE_CLOSE_MS."""
        t = self.front.now()
        while self.idle and t - self.idle[0].idle_t > IDLE_CLOSE_MS:
            self.idle.pop(0).transport.close()

    def begin_shutdown(self, after_ms: float) -> None:
        """Note a graceful shutdown of the gateway: no new connections are opened after `after_ms`."""

        def leave() -> None:
            self.is_shutting_down = True

        self.front.around.later(after_ms, leave)

    def is_usable(self) -> bool:
        """Return whether the front sends requests to this gateway."""
        if self.is_shutting_down:
            self.idle = [one for one in self.idle if not one.transport.is_closing()]
        return self.up and (not self.is_shutting_down or bool(self.idle))

    def process_ended(self, notice_ms: float) -> None:
        """Handle the end of the gateway's process: noticed after `notice_ms`, at once if it was planned."""
        if self.is_shutting_down:
            self.is_shutting_down = False
            self._mark_down()
        else:
            self.front.around.later(notice_ms, self._mark_down)

    def _mark_down(self) -> None:
        if self.up:
            self.up = False
            self.poll()

    def poll(self) -> None:
        """Request /up in the background until the response is 200; then the gateway is up again."""
        if not self._polling and not self.front.stopped:
            self._polling = True
            self.front.around.spawn(self.front.tasks, self._ask_up())

    async def _ask_up(self) -> None:
        while not self.front.stopped and not await is_up(self.port, UP_TIMEOUT_S):
            await asyncio.sleep(POLL_MS / 1000)
        self._polling = False
        self.up = True


class Front:
    """Plays all clients, and distributes each customer's requests over the gateways of its set."""

    def __init__(
        self, around: Surroundings, scenario: Scenario, capacity: float, record: Callable[[Record], None]
    ) -> None:
        self.around, self.scenario, self.record, self.now = around, scenario, record, around.now
        self.gateway_connections = [
            GatewayConnections(self, number) for number in range(scenario.fleet.gatekeepers)
        ]
        self._rng = around.chance("clients")
        self._ids = random.Random(f"{around.seed}/ids")
        self._operation_numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[Any]] = set()
        self._timers: set[asyncio.TimerHandle] = set()
        self.stopped = True
        self.open = 0  # Number of tries that await a response
        # Local ports of connections that a fault relay accepted although nothing listens at the target
        self.refused: set[int] = set()
        self.max_connections = max(8, int(scenario.fleet.sockets * MAX_DESCRIPTOR_SHARE))
        self.customers = self._make_customers(capacity)

    # -- customers and their quotas

    def _make_customers(self, capacity: float) -> list[Customer]:
        """Return enough customers to make the scenario's load, counting requests within their quotas only."""
        part, rng = self.scenario.clients, self.around.chance("firms")
        mean_work = sum(kind.share * kind.work_ms for kind in self.scenario.classes)
        target = self.scenario.load.rate_per_s or capacity * 1000 / mean_work * self.scenario.load.share
        customers: list[Customer] = []
        count = len(self.gateway_connections)
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
                customer = Customer(
                    f"{rng.randrange(1 << 33):016x}",
                    plan,
                    rate,
                    rate * rng.uniform(*plan.burst_s),
                    spread,
                    rng.randrange(count),
                    use,
                    rng.random() < part.honour,
                )
                customer.burst = max(2.0, customer.burst)
                customers.append(customer)
                inside += rate * asked
        # The settings state one rate and burst per plan, so all customers of a plan get the mean.
        for plan in self.scenario.plans:
            mine = [customer for customer in customers if customer.plan is plan]
            rate = sum(customer.rate for customer in mine) / len(mine)
            burst = sum(customer.burst for customer in mine) / len(mine)
            for customer in mine:
                customer.rate, customer.burst = round(rate, 4), round(burst, 4)
        return customers

    def quotas(self) -> dict[str, dict[str, float]]:
        """Return the quota of each plan in this run: units per second, burst, ceiling, slack and prices."""
        result = {}
        for plan in self.scenario.plans:
            customer = next(customer for customer in self.customers if customer.plan is plan)
            times = plan.ceiling
            slack = max(1.0, self.scenario.rules.ceiling_slack * customer.burst * times) if times else 0.0
            result[plan.name] = {
                "rate": customer.rate,
                "burst": customer.burst,
                "ceiling_rate": round(customer.rate * times, 4),
                "ceiling_burst": round(customer.burst * times, 4),
                "ceiling_slack": round(slack, 4),
                "value": plan.value,
                "over_cost": plan.over_cost,
            }
        return result

    def _shift(self, customer: Customer) -> None:
        """Redraw the weights of the customer's gateways, and schedule the next redraw."""
        skew = self._rng.uniform(*self.scenario.clients.skew)
        weights = [1 / (rank + 1) ** skew for rank in range(customer.spread)]
        self._rng.shuffle(weights)
        customer.weights = weights
        self._later(self._rng.uniform(*self.scenario.clients.shift_s) * 1000, self._shift, customer)

    def _spike(self, customer: Customer) -> None:
        part, t = self.scenario.clients, self.now()
        customer.spike = (
            self._rng.uniform(*part.spike_times) / max(0.1, customer.use),
            t + self._rng.uniform(*part.spike_s) * 1000,
        )
        self._later(self._rng.uniform(*part.spike_every_s) * 1000, self._spike, customer)

    def add_hot_traffic(self, event: HotFirm) -> str:
        """Let the plan's customer with the most gateways send additional requests; return its name."""
        customer = max(
            (
                customer
                for customer in self.customers
                if customer.plan.name == event.plan and not customer.hot_until
            ),
            key=lambda customer: customer.spread,
            default=None,
        )
        if customer is None:
            customer = next(customer for customer in self.customers if customer.plan.name == event.plan)
        customer.hot_until, customer.hot_times = self.now() + event.for_s * 1000, event.times
        customer.crowd = event.crowd
        self._arrive_later(customer, extra=True)
        return customer.name

    # -- arrivals of operations

    def start(self) -> None:
        """Start the arrivals of all customers."""
        self.stopped = False
        for customer in self.customers:
            self._shift(customer)
            if self._rng.random() < self.scenario.clients.spiky:
                self._later(
                    self._rng.uniform(0, self.scenario.clients.spike_every_s[1]) * 1000, self._spike, customer
                )
            self._arrive_later(customer)
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
        for gateway in self.gateway_connections:
            gateway.close_idle()
        self._later(500.0, self._tidy)

    def _later(self, ms: float, call: Callable[..., Any], *arguments: Any) -> None:
        def fire() -> None:
            self._timers.discard(timer)
            if not self.stopped:
                call(*arguments)

        timer = self.around.later(ms, fire)
        self._timers.add(timer)

    def _arrive_later(self, customer: Customer, extra: bool = False) -> None:
        """Schedule the customer's next arrival; with `extra`, the next of its additional requests."""
        t = self.now()
        if extra:
            if t >= customer.hot_until:
                customer.hot_until = 0.0
                return
            rate = customer.rate * customer.hot_times
        else:
            times, until = customer.spike
            rate = customer.rate * customer.use * (times if t < until else 1.0)
        wait = self._rng.expovariate(rate) * 1000
        if not extra and wait > 1000.0:  # Draw again later, because a spike may begin in between.
            self._later(1000.0, self._arrive_later, customer)
            return
        self._later(wait, self._arrive, customer, extra)

    def _arrive(self, customer: Customer, extra: bool) -> None:
        kind = self._rng.choices(self.scenario.classes, [kind.share for kind in self.scenario.classes])[0]
        op = Operation(next(self._operation_numbers), customer, kind, f"{self._ids.getrandbits(128):032x}")
        self._send_try(op)
        self._arrive_later(customer, extra)

    # -- tries of operations

    def _choose_gateway(self, op: Operation) -> GatewayConnections:
        customer = op.customer
        gateway_connections = [
            self.gateway_connections[(customer.first + place) % len(self.gateway_connections)]
            for place in range(customer.spread)
        ]
        weights = list(customer.weights)
        if customer.crowd and self._rng.random() < customer.crowd:
            weights = [float(weight == max(weights)) for weight in weights]
        up = [
            (gateway, weight)
            for gateway, weight in zip(gateway_connections, weights, strict=True)
            if gateway.is_usable()
        ]
        if not up or not any(weight for _, weight in up):
            up = [(gateway, 1.0) for gateway in gateway_connections if gateway.is_usable()] or [
                (gateway, 1.0) for gateway in gateway_connections
            ]
        return self._rng.choices([gateway for gateway, _ in up], [weight for _, weight in up])[0]

    def _send_try(self, op: Operation) -> None:
        """Send one try of the operation, unless the front has stopped."""
        if self.stopped:
            return
        gateway = self._choose_gateway(op)
        kind, customer = op.kind, op.customer
        wait_ms = float(int(kind.deadline_ms * self._rng.uniform(*self.scenario.clients.patience)))
        request_id = f"{self._ids.getrandbits(64):016x}"
        headers = {
            "X-Request-Id": request_id,
            "X-Tier": customer.plan.name,
            "X-Api-Key": customer.name,
            "X-Deadline-Ms": str(int(wait_ms)),
            "X-Call-Terms": f"units=1,spread={customer.spread},first={customer.first}",
        }
        if op.turn:
            headers["X-Retry"] = "1"
        if kind.repeats == "keyed":
            headers["Idempotency-Key"] = op.key
        body = b"" if kind.repeats == "safe" else b'{"seat":"%d"}' % op.number
        message = request_bytes("GET" if kind.repeats == "safe" else "POST", f"/{kind.name}", headers, body)
        self.open += 1
        if gateway.idle:
            connection = gateway.idle.pop()
            if not connection.transport.is_closing():
                self._write(connection, request_id, op, message, wait_ms)
                return
        self._dial(gateway, request_id, op, message, wait_ms)

    def _dial(
        self, gateway: GatewayConnections, request_id: str, op: Operation, message: bytes, wait_ms: float
    ) -> None:
        if gateway.count >= self.max_connections:
            self._unreachable(request_id, op)
            return
        connection = _ClientConnection(self, gateway)

        async def dial() -> None:
            try:
                await self.around.loop.create_connection(lambda: connection, HOST, gateway.port)
            except OSError:
                gateway.count -= 1
                self._unreachable(request_id, op)
                return
            self._write(connection, request_id, op, message, wait_ms)

        gateway.count += 1
        self.around.spawn(self.tasks, dial())

    def _write(
        self, connection: _ClientConnection, request_id: str, op: Operation, message: bytes, wait_ms: float
    ) -> None:
        customer = op.customer
        connection.pending, connection.message, connection.sent_t = (request_id, op), message, self.now()
        why, after = "overdue", wait_ms + OVERDUE_MS
        if self.scenario.clients.impatient and self._rng.random() < self.scenario.clients.impatient:
            why, after = "went", wait_ms * self._rng.uniform(0.05, 0.6)
        connection.timer = self.around.later(after, connection.abandon, why)
        connection.transport.write(message)
        self.record(
            RequestSent(
                self.now(),
                request_id,
                op.number,
                op.turn,
                customer.name,
                customer.plan.name,
                op.kind.name,
                connection.gateway.name,
                wait_ms,
                1.0,
                op.key if op.kind.repeats == "keyed" else "",
            )
        )

    def resend(self, gateway: GatewayConnections, asked: tuple[str, Operation], message: bytes) -> None:
        """Resend a request on a new connection with the same request id."""
        request_id, op = asked
        wait_ms = float(message.partition(b"X-Deadline-Ms: ")[2].partition(b"\r\n")[0])
        self._dial(gateway, request_id, op, message, wait_ms)

    def _unreachable(self, request_id: str, op: Operation) -> None:
        self.ended_without_response(request_id, op, "unreachable")

    # -- responses, and tries that end without one

    def answered(
        self, request_id: str, op: Operation, status: int, source: int, owner: str, retry_ms: float
    ) -> None:
        """Record a complete response, and schedule a retry where the status allows one."""
        self.open -= 1
        self.record(ResponseReceived(self.now(), request_id, status, source, owner, round(retry_ms, 3)))
        if status in (429, 503):
            wait = self._rng.uniform(*self.scenario.clients.backoff_ms) * 2**op.turn
            self._retry(op, max(wait, retry_ms) if op.customer.honours_retry_after else wait)
        elif status != 200 and op.kind.repeats == "safe":
            self._retry(op, self._rng.uniform(*self.scenario.clients.backoff_ms) * 2**op.turn)

    def ended_without_response(self, request_id: str, op: Operation, why: str) -> None:
        """Record that a try ended without a response, and schedule a retry where that is safe."""
        self.open -= 1
        self.record(RequestAbandoned(self.now(), request_id, why))
        if why == "unreachable" or why == "broken" or op.kind.repeats == "safe" and why == "overdue":
            self._retry(op, self._rng.uniform(*self.scenario.clients.backoff_ms) * 2**op.turn)

    def _retry(self, op: Operation, wait_ms: float) -> None:
        if op.turn < self.scenario.clients.retries:
            op.turn += 1
            self._later(min(wait_ms, 5000.0), self._send_try, op)


def total_capacity(servers: list[Any]) -> float:
    """Return the total capacity of warm servers, in ms of work per ms."""
    return math.fsum(server.capacity for server in servers)
