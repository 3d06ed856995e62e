"""Fake clients, workers and discovery on loopback sockets, and a stub of the policy controller."""

import asyncio
import itertools
import json
import os
import socket
import struct

import httptools
import uvloop

from plumpick.gateway.config import parse_config
from plumpick.gateway.gateway import Gateway
from plumpick.gateway.listeners.client_server import ClientServer
from plumpick.gateway.listeners.http.listener import LISTEN_BACKLOG, HttpListener
from plumpick.gateway.platform import Platform
from plumpick.policy.actions import FailRequest, StartAttempt
from plumpick.policy.events import AttemptCompleted, RequestReceived

HOST = "127.0.0.1"
SCENARIO_TIMEOUT_S = 30.0  # time limit of one scenario, which only a hung scenario exceeds


def run(scenario):
    """Run a scenario on a new event loop of the kind that the gateway uses."""
    uvloop.run(asyncio.wait_for(scenario, SCENARIO_TIMEOUT_S))


def settings(**limits):
    """The policy settings of a gateway; `limits` replaces or adds keys of its limits."""
    return {
        "balancers": 3,
        "myNumber": 0,
        "locality": "a",
        "tickMs": 4.0,
        "classes": [
            {"name": "look", "aimMs": 5e3, "deadlineMs": 2e4, "worth": 1.0, "repeat": "retryable"},
            {
                "name": "book",
                "aimMs": 5e3,
                "deadlineMs": 2e4,
                "worth": 1.0,
                "repeat": "dedup",
                "keyScope": "zone",
                "dedupWindowMs": 9e3,
            },
            {"name": "debit", "aimMs": 5e3, "deadlineMs": 2e4, "worth": 1.0, "repeat": "fragile"},
        ],
        "packages": [{"name": "basic", "perSecond": 50.0, "storeSize": 100.0}],
        "limits": {
            "maxAttempts": 3,
            "cancel": True,
            "mayTell": True,
            "dialTimeoutMs": 250.0,
            "connIdleMs": 30000.0,
            **limits,
        },
        "rules": {"warmUpMs": 9000.0, "coldFrom": 0.2, "fallMultiple": 3.0, "tipAfterMs": 1000.0},
        "report": {"fields": ["util", "latency_ms"], "how": "answers"},
    }


def entry(name, port, status="ready", since_ms=0):
    """One endpoint of an endpoint list, in the JSON form of discovery."""
    return {
        "name": name,
        "address": f"{HOST}:{port}",
        "zone": "a",
        "type": "m",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def listing(*entries, index=1, snapshot=True):
    """An endpoint list in the JSON form of discovery: a snapshot of all endpoints, or a delta."""
    return {"index": index, "snapshot": snapshot, "endpoints": list(entries)}


def config(discovery_port=9, listen_port=1, known=(), **more):
    """The JSON configuration of a gateway; `more` replaces or adds top-level keys."""
    value = {
        "name": "n0",
        "listen": f"{HOST}:{listen_port}",
        "discovery": f"{HOST}:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 256},
        "known": listing(*known),
        "settings": settings(),
    }
    value.update(more)
    return value


class ControllerStub:
    """Replaces the policy controller: sends each request to one worker, fails the request when its attempt
    fails, and records all events. Actions in `next_actions` are returned with the next event."""

    def __init__(self, worker="w1", timeout_ms=20_000.0):
        self.worker, self.timeout_ms = worker, timeout_ms
        self.events, self.next_actions, self.faults = [], [], []
        self.received_events = asyncio.Event()

    def unresponsive_owners(self):
        return frozenset()

    def customer_counts(self):
        return 0, 0

    def limit_customers(self, max_customers):
        """Nothing is kept of customers."""

    def handle(self, _now, events):
        self.events += events
        self.received_events.set()
        actions, self.next_actions = self.next_actions, []
        for event in events:
            if isinstance(event, RequestReceived) and self.worker:
                actions.append(StartAttempt(event.id, self.worker, self.timeout_ms))
            if isinstance(event, AttemptCompleted) and not event.is_final:
                actions.append(FailRequest(event.id))
        return actions

    async def next_event(self, kind):
        """Wait for an event of a kind and remove it from the recorded events."""
        while True:
            for event in self.events:
                if isinstance(event, kind):
                    self.events.remove(event)
                    return event
            self.received_events.clear()
            await self.received_events.wait()


class RunningGateway:
    """A gateway that runs in the test process and listens on a free port."""

    def __init__(self, controller=None, **more):
        self.controller = controller
        self.gateway = Gateway(parse_config(config(**more), {}), asyncio.get_running_loop(), controller)
        gateway_config = self.gateway.config
        self.listener = HttpListener(
            self.gateway,
            gateway_config.settings,
            gateway_config.sockets,
            Platform().has_peer_closed,
            Platform().has_no_unread_input,
            Platform().unacknowledged_bytes,
        )
        self.gateway.add_listener(self.listener)
        self.gateway.on_worker_list(gateway_config.known)
        self.server = None

    async def __aenter__(self):
        listening = Platform().create_listener((HOST, 0), LISTEN_BACKLOG)
        self.port = listening.getsockname()[1]
        self.server = ClientServer(asyncio.get_running_loop(), listening, self.listener.create_connection)
        await self.server.start(LISTEN_BACKLOG)
        self.gateway.start_serving()
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def client(self):
        """A new client that is connected to the gateway."""
        return await Client().open(self.port)


_ids = itertools.count(0xAA)


def request(request_id=None, path="/look", key=None, body=b"", deadline=10_000, extra=""):
    """The bytes of a client's request, with a new request id unless one is given."""
    request_id = f"{next(_ids):016x}" if request_id is None else request_id
    method = "POST" if body or key else "GET"
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request_id}\r\nX-Tier: basic\r\n"
        f"X-Api-Key: 00000000b4d65521\r\nX-Deadline-Ms: {deadline}\r\n"
        f"X-Call-Terms: units=1,spread=2,first=0\r\n{length}"
        + (f"Idempotency-Key: {key}\r\n" if key else "")
        + extra
        + "\r\n"
    ).encode() + body


class Message:
    """A parsed HTTP request or response."""

    def __init__(self, parser_kind):
        self.parser = parser_kind(self)
        self.headers, self.body, self.url, self.is_complete = {}, b"", b"", False

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, part):
        self.body += part

    def on_message_complete(self):
        self.is_complete = True


async def read_message(reader, parser_kind):
    """Read the next HTTP message and return it, or None at the end of the connection. Reads single bytes, so
    that no byte of the following message is consumed."""
    message = Message(parser_kind)
    while not message.is_complete:
        data = await reader.read(1)
        if not data:
            return None
        message.parser.feed_data(data)
    return message


class Client:
    """A client with one connection to the gateway."""

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        return self

    def send(self, data):
        self.writer.write(data)
        return self

    async def read_response(self):
        """(status, headers, body) of the next response; None if the connection ends first."""
        message = await read_message(self.reader, httptools.HttpResponseParser)
        return message and (message.parser.get_status_code(), message.headers, message.body)

    async def wait_for_end(self):
        """Wait for the end of the connection; whether it ended by a reset or without further data."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

    def close(self):
        self.writer.close()


class FakeWorker:
    """A fake worker whose requests the test answers. `connections`: number of connections accepted."""

    def __init__(self):
        self.requests, self.connections, self.port = asyncio.Queue(), 0, 0
        self.writers = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while (message := await read_message(reader, httptools.HttpRequestParser)) is not None:
                await self.requests.put((message, reader, writer))
        except ConnectionError:
            pass
        await self.requests.put((None, reader, writer))  # the connection has ended

    async def next_request(self):
        """The next request and the writer for its response; None and the writer when a connection ends."""
        message, _, writer = await self.requests.get()
        return message, writer


def run_with_worker(scenario, controller=None):
    """Run `scenario(worker, gate, client)` with one fake worker, w1, a gateway and a client of it.
    `controller`: the gateway's policy, a ControllerStub if None."""

    async def run_scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(controller or ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            await scenario(worker, gate, await gate.client())

    run(run_scenario())


def http_response(status=200, body=b"done", extra=""):
    """The bytes of an HTTP response; `extra`: further header lines, each with its line end."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


class FakeDiscovery:
    """A fake discovery service that passes each call to the test, which writes the response itself. `port`:
    number of the port to listen on, 0 for a free port."""

    def __init__(self, port=0):
        self.calls, self.port = asyncio.Queue(), port

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader, httptools.HttpRequestParser)) is not None:
                await self.calls.put((message.url.decode(), writer))
        except ConnectionError:
            pass

    async def next_call(self):
        """The target of the next call and the writer for its response."""
        return await self.calls.get()


def json_response(value):
    """The bytes of an HTTP response whose body is the value as JSON."""
    return http_response(body=json.dumps(value).encode())


def reset(writer):
    """Close the connection with a reset instead of a normal end, once the writer's buffer is empty."""
    with socket.socket(fileno=os.dup(writer.transport.get_extra_info("socket").fileno())) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class DelayedConnects:
    """Delays the gateway's connections to workers until `allowed` is set. `started`: set when the gateway
    starts to connect."""

    def __init__(self, gate):
        loop = asyncio.get_running_loop()
        self.started, self.allowed = asyncio.Event(), asyncio.Event()

        async def delayed_connect(factory, host, port):
            self.started.set()
            await self.allowed.wait()
            return await loop.create_connection(factory, host, port)

        gate.gateway.connection_pool._loop = type(
            "Loop",
            (),
            {
                "create_task": staticmethod(loop.create_task),
                "create_connection": staticmethod(delayed_connect),
                "call_soon": staticmethod(loop.call_soon),
            },
        )


async def assert_next_requests(worker, gate):
    """Assert that the worker receives the requests of a new client next, so that nothing was sent before
    them. Five requests are sent because the worker may read an earlier request, on another connection, a
    little later."""
    client = await gate.client()
    for number in range(5):
        name = f"{0xFF00 + number:016x}"
        client.send(request(name))
        message, writer = await worker.next_request()
        while message is None:  # the end of a connection without a request
            message, writer = await worker.next_request()
        assert message.headers["x-request-id"] == name, "the worker received another request first"
        writer.write(http_response())
        assert (await client.read_response())[0] == 200


class SocketClient:
    """A client on a plain socket, which distinguishes a normal end from a reset and sends without the event
    loop. `receive_buffer_bytes`: size of the receive buffer, for a client that reads slowly; 0 for the
    default size."""

    def __init__(self, port, receive_buffer_bytes=0):
        self.connection = socket.socket()
        if receive_buffer_bytes:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.connection.connect((HOST, port))

    def send(self, data):
        self.connection.sendall(data)

    async def receive(self, size=65536):
        """The next bytes received; empty at a normal end. Raises ConnectionResetError."""
        self.connection.setblocking(False)
        return await asyncio.get_running_loop().sock_recv(self.connection, size)

    def close(self):
        self.connection.close()


def shrink_send_buffer(connection):
    """Reduce the kernel's send buffer of the connection, so that large responses stay partly unwritten."""
    with socket.socket(fileno=os.dup(connection.transport.get_extra_info("socket").fileno())) as plug:
        plug.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
