"""Reconfiguration of a serving gateway over loopback sockets: open requests continue, new requests follow the
new settings, no connection closes, and invalid settings change nothing."""

import asyncio
import copy
import os
import signal

import httptools
import pytest
from support.fakes import (
    Client,
    FakeWorker,
    RunningGateway,
    config,
    entry,
    http_response,
    read_message,
    request,
    run,
    settings,
)
from support.raw_client import RawWorker, read_head
from support.shutdown import run_served_gateway

from plumpick.gateway import process
from plumpick.gateway.config import parse_config
from plumpick.gateway.errors import SettingsRejectedError
from plumpick.gateway.upstream.streaming_body import MAX_BUFFERED_BODY_BYTES
from plumpick.policy.controller import Controller

NEW_CLASS = {"name": "fresh", "aimMs": 5e3, "deadlineMs": 2e4, "worth": 1.0, "repeat": "retryable"}


def changed_config(gate, change):
    """The configuration of a running gateway with settings that `change` has modified."""
    current = gate.gateway.config
    value = config(known=[], settings=settings())
    change(value["settings"])
    parsed = parse_config(value, {})
    return type(current)(
        **{name: getattr(current, name) for name in current.__dataclass_fields__}
        | {
            "settings": parsed.settings,
            "worker_idle_timeout_ms": parsed.worker_idle_timeout_ms,
            "connect_timeout_ms": parsed.connect_timeout_ms,
        }
    )


def reconfigure(gate, change):
    """Reconfigure the gateway with settings that `change` has modified; return the reason of a rejection,
    else an empty string."""
    try:
        gate.gateway.reconfigure(changed_config(gate, change))
    except SettingsRejectedError as rejection:
        return str(rejection)
    return ""


def remove_class(name):
    """A change of the settings that removes a request class."""

    def change(value):
        value["classes"] = [row for row in value["classes"] if row["name"] != name]

    return change


def add_class(row):
    """A change of the settings that inserts a request class before the others."""
    return lambda value: value["classes"].insert(0, row)


def update_class(name, **more):
    """A change of the settings that replaces or adds keys of a request class."""

    def change(value):
        for row in value["classes"]:
            if row["name"] == name:
                row.update(more)

    return change


def run_with_one_worker(scenario):
    """Run a scenario with one worker, w1, one gateway with its policy controller, and one client."""

    async def run_scenario():
        async with FakeWorker() as worker, RunningGateway(known=[entry("w1", worker.port)]) as gate:
            await scenario(worker, gate, await gate.client())

    run(run_scenario())


def test_open_request_is_answered_after_its_class_is_removed():
    async def scenario(worker, gate, client):
        client.send(request("00000000000000a1"))
        message, writer = await worker.next_request()
        assert message.url == b"/look" and reconfigure(gate, remove_class("look")) == ""
        other = (await gate.client()).send(request("00000000000000a2"))
        assert (await other.read_response())[0] == 404
        writer.write(http_response(body=b"kept"))
        status, headers, body = await client.read_response()
        assert (status, body) == (200, b"kept") and "connection" not in headers
        client.send(request("00000000000000a3"))  # on the same connection, which stays open
        assert (await client.read_response())[0] == 404
        client.send(request("00000000000000a4", "/debit", body=b"x"))
        message, writer = await worker.next_request()
        assert message.url == b"/debit"
        writer.write(http_response())
        assert (await client.read_response())[0] == 200 and not gate.gateway.requests.open

    run_with_one_worker(scenario)


def test_open_request_is_retried_by_settings_of_its_arrival():
    """A request of a retryable class is retried although its class becomes fragile while it is open."""

    async def scenario(worker, gate, client):
        client.send(request("00000000000000b1"))
        _, first = await worker.next_request()
        assert reconfigure(gate, update_class("look", repeat="fragile")) == ""
        first.write(http_response(500))
        message, second = await worker.next_request()
        while message is None:
            message, second = await worker.next_request()
        assert message.headers["x-request-id"] == "00000000000000b1"
        second.write(http_response(body=b"second"))
        assert (await client.read_response())[2] == b"second"
        client.send(request("00000000000000b2"))
        assert (await client.read_response())[0] == 405  # a fragile class does not allow GET

    run_with_one_worker(scenario)


def test_request_received_across_reconfiguration_uses_new_settings():
    """A part of the request is received before the reconfiguration, and the rest after it."""

    async def scenario(worker, gate, client):
        data = request("00000000000000c1", "/fresh")
        client.send(data[:30])
        while not any(one.request_started for one in gate.listener.admission.connections):
            await asyncio.sleep(0)
        assert reconfigure(gate, add_class(NEW_CLASS)) == ""
        client.send(data[30:])
        message, writer = await worker.next_request()
        assert message.url == b"/fresh"
        writer.write(http_response())
        assert (await client.read_response())[0] == 200

    run_with_one_worker(scenario)


def test_pipelined_requests_across_reconfiguration_are_answered_in_order():
    async def scenario(worker, gate, client):
        client.send(request("00000000000000d1") + request("00000000000000d2", "/fresh"))
        _, writer = await worker.next_request()
        assert reconfigure(gate, add_class(NEW_CLASS)) == ""
        writer.write(http_response(body=b"one"))
        assert (await client.read_response())[2] == b"one"
        message, writer = await worker.next_request()
        assert message.url == b"/fresh"  # parsed only after the first response, so by the new settings
        writer.write(http_response(body=b"two"))
        assert (await client.read_response())[2] == b"two"

    run_with_one_worker(scenario)


def test_added_plan_is_served_and_removed_plan_is_rejected():
    async def scenario(worker, gate, client):
        gold = request("00000000000000e1").replace(b"X-Tier: basic", b"X-Tier: gold")
        client.send(gold)
        assert (await client.read_response())[0] == 400
        assert (
            reconfigure(
                gate,
                lambda value: value.update(
                    packages=[{"name": "gold", "perSecond": 50.0, "storeSize": 100.0}]
                ),
            )
            == ""
        )
        client.send(gold.replace(b"e1", b"e2"))
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        client.send(request("00000000000000e3"))
        assert (await client.read_response())[0] == 400

    run_with_one_worker(scenario)


def test_streamed_bodies_continue_across_reconfiguration():
    async def scenario():
        async with RawWorker() as worker, RunningGateway(known=[entry("w1", worker.port)]) as gate:
            client, size = await gate.client(), 4 * MAX_BUFFERED_BODY_BYTES
            head = request("00000000000000f1", "/debit", body=b"-").replace(
                b"Content-Length: 1\r\n", b"Content-Length: %d\r\n" % size
            )[:-1]
            client.send(head + b"a" * (size // 2))
            reader, writer = await worker.accepted.get()
            assert "POST /debit" in await read_head(reader)
            assert reconfigure(gate, remove_class("debit")) == ""
            assert reconfigure(gate, lambda _: None) == ""
            assert reconfigure(gate, remove_class("debit")) == ""
            client.send(b"b" * (size - size // 2))
            body = await reader.readexactly(size)
            assert body == b"a" * (size // 2) + b"b" * (size - size // 2)
            # The response is streamed across a reconfiguration too.
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"c" * (size // 2))
            while not client.reader._buffer:
                await asyncio.sleep(0)
            assert reconfigure(gate, add_class(NEW_CLASS)) == ""
            writer.write(b"d" * (size - size // 2))
            await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(size) == b"c" * (size // 2) + b"d" * (size - size // 2)
            while gate.gateway.requests.open:
                await asyncio.sleep(0)

    run(scenario())


REJECTED_CHANGES = {
    "another gateway number": (lambda value: value.update(myNumber=1), "settings.myNumber"),
    "another zone": (lambda value: value.update(locality="b"), "settings.locality"),
    "another number of gateways": (lambda value: value.update(balancers=4), "settings.balancers"),
    "no peer messages": (lambda value: value["limits"].update(mayTell=False), "settings.limits.mayTell"),
    "zero connect timeout": (
        lambda value: value["limits"].update(dialTimeoutMs=0),
        "settings.limits.dialTimeoutMs",
    ),
    "negative idle timeout": (
        lambda value: value["limits"].update(connIdleMs=-1),
        "settings.limits.connIdleMs",
    ),
}


@pytest.mark.parametrize("name", REJECTED_CHANGES)
def test_invalid_settings_change_nothing(name):
    invalidate, key = REJECTED_CHANGES[name]

    def change(value):
        add_class(NEW_CLASS)(value)
        value["report"]["fields"] = []
        invalidate(value)

    async def scenario(worker, gate, client):
        gateway = gate.gateway
        before = (
            gateway.config,
            gateway.settings,
            gateway.controller.settings,
            gate.listener.validator,
            gateway.connection_pool._load_report_fields,
            gateway.connection_pool._idle_timeout_ms,
            gateway.connection_pool._connect_timeout_ms,
        )
        rejection = reconfigure(gate, change)
        assert rejection.startswith(key) and "\n" not in rejection
        after = (
            gateway.config,
            gateway.settings,
            gateway.controller.settings,
            gate.listener.validator,
            gateway.connection_pool._load_report_fields,
            gateway.connection_pool._idle_timeout_ms,
            gateway.connection_pool._connect_timeout_ms,
        )
        assert all(one is other for one, other in zip(before, after, strict=True))
        client.send(request("00000000000000a1", "/fresh"))
        assert (await client.read_response())[0] == 404
        client.send(request("00000000000000a2"))
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200

    run_with_one_worker(scenario)


def test_reconfiguration_rejects_changed_socket_limit():
    async def scenario(_worker, gate, _client):
        changed = copy.copy(gate.gateway.config)
        object.__setattr__(changed, "sockets", 7)
        with pytest.raises(SettingsRejectedError, match="^sockets"):
            gate.gateway.reconfigure(changed)
        assert gate.gateway.config.sockets == 256

    run_with_one_worker(scenario)


def test_failed_reconfiguration_of_the_policy_changes_nothing_elsewhere(monkeypatch, caplog):
    def fail(*_, **_callbacks):
        raise RuntimeError("injected fault")

    async def scenario(worker, gate, client):
        before, validator = gate.gateway.config, gate.listener.validator
        with monkeypatch.context() as patches:
            patches.setattr("plumpick.policy.reconfiguration.apply", fail)
            assert "failed" in reconfigure(gate, add_class(NEW_CLASS))
        assert gate.gateway.config is before and gate.listener.validator is validator
        assert "injected fault" in caplog.text
        client.send(request("00000000000000a1"))
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        assert reconfigure(gate, add_class(NEW_CLASS)) == ""

    run_with_one_worker(scenario)


def test_worker_connections_use_new_settings():
    def change(value):
        value["report"]["fields"] = ["inflight"]
        value["limits"].update(dialTimeoutMs=77.0, connIdleMs=5000.0)
        value["tickMs"] = 8.0

    async def scenario(worker, gate, client):
        pool = gate.gateway.connection_pool
        assert pool.parse_load_report(b'{"util":0.5,"latency_ms":7}') == (0.5, 7.0)
        assert reconfigure(gate, change) == ""
        assert pool.parse_load_report(b'{"inflight":3}') == (3.0,)
        assert pool._connect_timeout_ms == 77.0 and pool._idle_timeout_ms == 3000.0
        assert gate.gateway.settings.tick_ms == 8.0
        client.send(request("00000000000000a1"))
        _, writer = await worker.next_request()
        writer.write(http_response(extra='X-Load: {"inflight":3}\r\n'))
        assert (await client.read_response())[0] == 200
        while not gate.gateway.controller.state.endpoints.tracked["w1"].load_report_ms > 0:
            await asyncio.sleep(0)
        assert gate.gateway.controller.state.endpoints.tracked["w1"].foreign_load >= 2

    run_with_one_worker(scenario)


def test_every_request_is_answered_during_fifty_reconfigurations():
    """Each reconfiguration changes classes or plans; no client connection is closed."""

    def with_ample_quota(value):  # so that no request is rejected for its quota
        value["packages"][0].update(perSecond=1e4, storeSize=1e4)
        return value

    def changed(step):
        new = {"name": f"p{step}", "perSecond": 1.0, "storeSize": 2.0}
        changes = (
            add_class(NEW_CLASS),
            remove_class("debit"),
            lambda value: value["packages"].insert(0, new),
        )
        return lambda value: changes[step % 3](with_ample_quota(value))

    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(known=[entry("w1", worker.port)], settings=with_ample_quota(settings())) as gate,
        ):
            over, names_by_status = asyncio.Event(), {}

            async def answer_requests():
                while True:
                    message, writer = await worker.next_request()
                    if message is not None:
                        writer.write(http_response(body=message.headers["x-request-id"].encode()))

            async def send_requests(number):
                client, count = await Client().open(gate.port), 0
                while not over.is_set():
                    name, count = f"{number:08x}{count:08x}", count + 1
                    # Only each tenth request may get a 404, which delays the next request of its connection.
                    path = "/look" if count % 10 else "/fresh"
                    client.send(request(name, path))
                    response = await client.read_response()
                    assert response is not None, "the gateway closed a client connection"
                    status, headers, body = response
                    assert status in (200, 404) and "connection" not in headers, status
                    assert status != 200 or body == name.encode()
                    names_by_status.setdefault(status, []).append(name)
                    assert status == 200 or path == "/fresh"  # the class of /look is never removed
                client.close()
                return count

            worker_task = asyncio.create_task(answer_requests())
            client_tasks = [asyncio.create_task(send_requests(number)) for number in range(8)]
            for step in range(50):
                seen = sum(map(len, names_by_status.values()))
                while sum(map(len, names_by_status.values())) < seen + 12:
                    await asyncio.sleep(0.001)
                    assert not any(one.done() for one in client_tasks)
                assert reconfigure(gate, changed(step)) == ""
                assert not gate.gateway.controller.faults
            over.set()
            sent = sum(await asyncio.gather(*client_tasks))
            worker_task.cancel()
            names = [name for names in names_by_status.values() for name in names]
            assert len(names) == sent == len(set(names)) and not gate.gateway.requests.open
            assert len(names_by_status[200]) > 500 and len(names_by_status[404]) > 10

    run(scenario())


def test_reconfiguration_during_shutdown_keeps_serving():
    async def scenario(worker, gate, client):
        client.send(request("00000000000000a1"))
        _, writer = await worker.next_request()
        gate.gateway.shut_down_within(5000.0)
        assert reconfigure(gate, remove_class("look")) == "" and reconfigure(gate, add_class(NEW_CLASS)) == ""
        (open_request,) = gate.gateway.requests.open.values()
        assert open_request.deadline_ms <= gate.gateway.clock.now() + 5000.0
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        client.send(request("00000000000000a2", "/fresh"))
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        gate.gateway.start_closing_connections()
        assert reconfigure(gate, lambda _: None) == "" and not gate.gateway.is_ready

    run_with_one_worker(scenario)


def test_request_lifetimes_follow_current_classes_and_open_requests():
    def shorten_deadlines(value):
        for row in value["classes"]:
            row.update(aimMs=200.0, deadlineMs=400.0)

    async def scenario(worker, gate, client):
        assert max(gate.gateway.request_lifetimes_ms()) == 2e4
        client.send(request("00000000000000a1", deadline=2500))
        _, writer = await worker.next_request()
        assert reconfigure(gate, shorten_deadlines) == ""
        assert 1000 < max(gate.gateway.request_lifetimes_ms()) <= 2500  # the open request keeps its deadline
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        assert max(gate.gateway.request_lifetimes_ms()) == 400.0
        client.send(request("00000000000000a2", deadline=2500))
        _, writer = await worker.next_request()
        assert max(gate.gateway.request_lifetimes_ms()) <= 400.0
        writer.write(http_response())
        assert (await client.read_response())[0] == 200

    run_with_one_worker(scenario)


def test_sigterm_uses_request_lifetimes_of_gateway(monkeypatch):
    """Guards against shutdown times that follow the deadlines of the start configuration."""
    lifetimes_s = []

    async def scenario(port, fake, worker, task):
        monkeypatch.setattr(
            process,
            "shutdown_times",
            lambda deadlines_s: lifetimes_s.append(list(deadlines_s)) or (0.05, 0.1, 0.3),
        )
        monkeypatch.setattr("plumpick.gateway.gateway.Gateway.request_lifetimes_ms", lambda _self: [1234.0])
        monkeypatch.setattr(process, "FIRST_LIST_TIMEOUT_S", 0.01)
        while True:
            try:
                client = await Client().open(port)
                break
            except OSError:
                await asyncio.sleep(0.01)
        client.send(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
        message = await read_message(client.reader, httptools.HttpResponseParser)
        assert message is not None
        os.kill(os.getpid(), signal.SIGTERM)
        await task

    run_served_gateway(scenario, monkeypatch)
    assert lifetimes_s == [[1.234]]


def test_reconfiguration_does_not_affect_another_gateway():
    """Two gateways run in one process; one of them is reconfigured."""

    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(known=[entry("w1", worker.port)]) as one,
            RunningGateway(known=[entry("w1", worker.port)]) as two,
        ):
            assert reconfigure(one, remove_class("look")) == ""
            client = (await two.client()).send(request("00000000000000a1"))
            _, writer = await worker.next_request()
            writer.write(http_response())
            assert (await client.read_response())[0] == 200
            assert isinstance(one.gateway.controller, Controller)

    run(scenario())
