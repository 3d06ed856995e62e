"""Gateway processes started with the deploy file's `run` command: start, signals and limits."""

import asyncio
import json
import pathlib
import resource
import signal

import pytest
from support.fakes import (
    HOST,
    Client,
    FakeDiscovery,
    FakeWorker,
    config,
    entry,
    http_response,
    json_response,
    listing,
    request,
    run,
)
from support.ports import free_port
from support.processes import UP_REQUEST, send_endpoint_list, start_program, wait_until_ready

from plumpick.gateway.config import parse_config


def with_gateway_process(tmp_path, scenario, settings=None, **more):
    """Run `scenario` with a ready gateway process, a discovery stub and a worker. `settings` are added to the
    configuration file, `more` are arguments for creating the process."""

    async def run_scenario():
        async with FakeDiscovery() as fake, FakeWorker() as worker:
            port = free_port()
            path = tmp_path / "config.json"
            path.write_text(json.dumps(config(fake.port, port, **(settings or {}))))
            process = await start_program(path, **more)
            try:
                await send_endpoint_list(fake, entry("w1", worker.port))
                await wait_until_ready(port)
                await scenario(process, port, worker, fake, path)
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    run(run_scenario())


def test_sigterm_finishes_open_requests_serves_new_ones_and_exits_with_0(tmp_path):
    async def scenario(process, port, worker, _fake, _path):
        kept, idle = await Client().open(port), await Client().open(port)
        await idle.send(UP_REQUEST).read_response()
        kept.send(request())
        _, writer = await worker.next_request()
        process.send_signal(signal.SIGTERM)
        while (await (await Client().open(port)).send(UP_REQUEST).read_response())[0] != 503:
            pass  # the process has not handled the signal yet
        late = await Client().open(port)
        late.send(request())
        _, late_writer = await worker.next_request()
        late_writer.write(http_response(body=b"late"))
        status, headers, body = await late.read_response()
        assert (status, body) == (200, b"late") and "connection" not in headers
        late.send(request())  # on a connection that is already open
        _, late_writer = await worker.next_request()
        late_writer.write(http_response(body=b"again"))
        assert (await late.read_response())[2] == b"again"
        assert await late.wait_for_end() and await idle.wait_for_end()  # idle connections are closed
        assert process.returncode is None
        writer.write(http_response(body=b"taken"))
        assert (await kept.read_response())[2] == b"taken" and await kept.wait_for_end()
        assert await process.wait() == 0

    with_gateway_process(tmp_path, scenario)


def test_sighup_moves_the_discovery_watch_and_ignores_a_malformed_file(tmp_path):
    async def scenario(process, port, worker, fake, path):
        first = path.read_text()
        assert (await fake.next_call())[0].startswith("/discovery/hosts?since=")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        while b"the previous configuration stays active" not in await process.stderr.readline():
            pass
        async with FakeDiscovery() as second, FakeDiscovery() as third, FakeWorker() as other:
            for new in (second, third):  # the second signal arrives during the first move
                path.write_text(first.replace(f"{HOST}:{fake.port}", f"{HOST}:{new.port}"))
                process.send_signal(signal.SIGHUP)
                target, writer = await new.next_call()
                assert target == "/discovery/hosts"
            writer.write(json_response(listing(entry("w2", other.port), index=7)))
            assert (await third.next_call())[0].startswith("/discovery/hosts?since=7")
            client = await Client().open(port)
            client.send(request())
            _, writer = await other.next_request()
            process.send_signal(signal.SIGTERM)
            writer.write(http_response())
            assert (await client.read_response())[0] == 200
            assert await process.wait() == 0
        assert worker.requests.empty()

    with_gateway_process(tmp_path, scenario)


def test_gateway_process_has_no_io_uring_polling_thread(tmp_path):
    """Guards against an io_uring polling thread of the kernel (iou-sqp in /proc) that took nearly all of the
    process's CPU share."""

    async def scenario(process, port, worker, _fake, _path):
        client = await Client().open(port)
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        tasks = pathlib.Path(f"/proc/{process.pid}/task")
        assert not [name for name in tasks.glob("*/comm") if name.read_text().startswith("iou-")]

    with_gateway_process(tmp_path, scenario)


def test_gateway_restarts_at_the_same_address_after_a_kill(tmp_path):
    async def scenario(process, port, worker, fake, path):
        client = await Client().open(port)
        client.send(request())
        await worker.next_request()
        process.kill()
        await process.wait()
        again = await start_program(path)
        try:
            while (await fake.next_call())[0] != "/discovery/hosts":
                pass  # watch of the killed process
            # The loop took the first call of the new process and left it unanswered; the process calls again
            # after its response timeout.
            await send_endpoint_list(fake, entry("w1", worker.port))
            await wait_until_ready(port)
        finally:
            again.kill()
            await again.wait()

    with_gateway_process(tmp_path, scenario)


@pytest.mark.parametrize(
    "text, name",
    [(None, "cannot read"), ("{", "config.json"), ("[]", "config"), ('{"seed":"1"}', "settings")],
)
def test_invalid_configuration_file_ends_the_process_with_one_line(tmp_path, text, name):
    async def scenario():
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await start_program(path)
        _, errors = await process.communicate()
        assert process.returncode == 2 and errors.count(b"\n") == 1 and name.encode() in errors

    run(scenario())


def replace_settings(value, **more):
    """Returns the configuration `value` with the settings `more` in place of its own."""
    return {**value, "settings": {**value["settings"], **more}}


def numbered_copies(rows, count):
    """Returns `count` copies of the first row, each with a name of its own."""
    return [{**rows[0], "name": f"n{place}"} for place in range(count)]


CLASSES, PLANS = (config()["settings"][key] for key in ("classes", "packages"))
BEYOND_LIMITS = [
    ({"classes": numbered_copies(CLASSES, 65_537)}, "config.settings.classes: 65537"),
    ({"packages": numbered_copies(PLANS, 4097)}, "config.settings.packages: 4097"),
    ({"classes": []}, "config.settings.classes: "),
    ({"packages": []}, "config.settings.packages: "),
    ({"classes": [*CLASSES, CLASSES[1]]}, "config.settings.classes[3].name: 'book'"),
    ({"packages": [PLANS[0], PLANS[0]]}, "config.settings.packages[1].name: 'basic'"),
]


@pytest.mark.parametrize("change, expected_text", BEYOND_LIMITS)
def test_settings_beyond_the_limits_end_the_process_with_one_line(tmp_path, change, expected_text):
    test_invalid_configuration_file_ends_the_process_with_one_line(
        tmp_path, json.dumps(replace_settings(config(), **change)), expected_text
    )


def test_maximum_number_of_classes_and_plans_is_accepted():
    given = replace_settings(
        config(), classes=numbered_copies(CLASSES, 65_536), packages=numbered_copies(PLANS, 4096)
    )
    settings = parse_config(given, {}).settings
    assert (len(settings.classes), len(settings.plans)) == (65_536, 4096)


def test_settings_beyond_the_limits_are_ignored_after_sighup(tmp_path):
    async def scenario(process, port, worker, fake, path):
        first = json.loads(path.read_text())
        assert (await fake.next_call())[0].startswith("/discovery/hosts?since=")
        async with FakeDiscovery() as other:
            for change, expected_text in BEYOND_LIMITS:
                path.write_text(
                    json.dumps(replace_settings({**first, "discovery": f"{HOST}:{other.port}"}, **change))
                )
                process.send_signal(signal.SIGHUP)
                while b"the previous configuration stays active" not in (
                    line := await process.stderr.readline()
                ):
                    pass
                assert expected_text.encode() in line
            client = await Client().open(port)
            client.send(request())
            _, writer = await worker.next_request()
            writer.write(http_response())
            assert (await client.read_response())[0] == 200 and other.calls.empty()
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    with_gateway_process(tmp_path, scenario)


def test_gateway_starts_with_its_known_workers_while_discovery_does_not_answer(tmp_path):
    async def run_scenario():
        async with FakeDiscovery() as fake, FakeWorker() as worker:
            port = free_port()
            path = tmp_path / "config.json"
            path.write_text(json.dumps(config(fake.port, port, known=[entry("w1", worker.port)])))
            process = await start_program(path)
            try:
                await wait_until_ready(port)
                client = await Client().open(port)
                client.send(request())
                _, writer = await worker.next_request()
                writer.write(http_response())
                assert (await client.read_response())[0] == 200
            finally:
                process.kill()
                await process.wait()

    run(run_scenario())


def test_idle_clients_at_the_descriptor_limit_leave_one_descriptor_for_discovery(tmp_path):
    """Clients hold all descriptors that they may while discovery is down; when it is back, the process still
    connects and receives the endpoint list."""

    async def run_scenario():
        async with FakeWorker() as worker, FakeWorker() as other:
            port, discovery = free_port(), free_port()
            path = tmp_path / "config.json"
            path.write_text(json.dumps(config(discovery, port, known=[entry("w1", worker.port)])))
            limit = resource.RLIMIT_NOFILE, (256, 256)
            process = await start_program(path, preexec_fn=lambda: resource.setrlimit(*limit))
            clients = []
            try:
                await wait_until_ready(port)
                for _ in range(400):  # each sends one request and then stays idle
                    clients.append((await Client().open(port)).send(UP_REQUEST))
                for one in clients[:100]:
                    assert await one.read_response()
                async with FakeDiscovery(discovery) as fake:
                    _, writer = await fake.next_call()
                    writer.write(json_response(listing(entry("w2", other.port), index=9)))
                    assert (await fake.next_call())[0].startswith("/discovery/hosts?since=9")
                    message = None
                    while message is None:  # a client that is dropped at the limit connects again
                        client = (await Client().open(port)).send(request())
                        forwarded, closed = (
                            asyncio.ensure_future(one)
                            for one in (other.next_request(), client.wait_for_end())
                        )
                        await asyncio.wait((forwarded, closed), return_when=asyncio.FIRST_COMPLETED)
                        message, writer = forwarded.result() if forwarded.done() else (None, None)
                        if message is None:
                            forwarded.cancel()
                        else:
                            closed.cancel()
                    assert worker.requests.empty()
            finally:
                process.kill()
                await process.wait()
                for one in clients:
                    one.close()

    run(run_scenario())


def request_owned_here(**more):
    """Returns a request of a customer whose quota owner is this gateway."""
    return request(**more).replace(b"spread=2", b"spread=1")


DISCONNECTING_CLIENTS = 300
# Number of clients served before the stall, so that the gateway has idle worker connections to reuse.
KEPT_CONNECTIONS = 16


def test_requests_of_clients_that_disconnected_during_a_stall_are_not_forwarded(tmp_path):
    """Guards against a backlog that takes longer to read than a fixed time: the requests read after that time
    counted as new ones and were forwarded."""

    async def scenario(process, port, worker, _fake, _path):
        forwarded_ids = []

        async def serve():
            while True:
                message, writer = await worker.next_request()
                if message is not None:
                    forwarded_ids.append(message.headers["x-request-id"])
                    asyncio.get_running_loop().call_later(0.02, writer.write, http_response())

        serving = asyncio.create_task(serve())
        kept = [await Client().open(port) for _ in range(KEPT_CONNECTIONS)]
        await asyncio.gather(*(client.send(request_owned_here()).read_response() for client in kept))
        await asyncio.sleep(0.1)
        process.send_signal(signal.SIGSTOP)
        disconnecting = [await Client().open(port) for _ in range(DISCONNECTING_CLIENTS)]
        for client in disconnecting:
            client.send(request_owned_here(deadline=400))
        await asyncio.sleep(0.6)
        for client in disconnecting:
            client.writer.transport.abort()
        await asyncio.sleep(0.1)
        before = len(forwarded_ids)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.3)
        late = len(forwarded_ids) - before
        assert late == 0, f"expected no request of disconnected clients to be forwarded, got {late}"
        last = await Client().open(port)
        # A request of a customer whose quota is not used up.
        other_customer = request_owned_here().replace(b"b4d65521", b"b4d65522")
        assert (await last.send(other_customer).read_response())[0] == 200
        serving.cancel()

    with_gateway_process(tmp_path, scenario, {"limits": {"sockets": 2048}})
