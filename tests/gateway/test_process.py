"""The program as the deploy file's `run` starts it."""

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
    answer,
    config,
    entry,
    listing,
    request,
    run,
    told,
)
from support.processes import UP_REQUEST, free_port, send_endpoint_list, start_program, wait_until_ready

from plumpick.gateway.config import parse_config


def with_gateway_process(tmp_path, scenario, settings=None, **more):
    """`settings` go into the configuration, `more` to the start of the process."""

    async def whole():
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

    run(whole())


def test_sigterm_finishes_what_was_taken_serves_what_comes_and_exits_0(tmp_path):
    async def scenario(process, port, worker, _fake, _path):
        kept, idle = await Client().open(port), await Client().open(port)
        await idle.send(UP_REQUEST).read_response()
        kept.send(request())
        _, writer = await worker.next_request()
        process.send_signal(signal.SIGTERM)
        while (await (await Client().open(port)).send(UP_REQUEST).read_response())[0] != 503:
            pass  # it has not had the signal yet
        late = await Client().open(port)
        late.send(request())
        _, late_writer = await worker.next_request()
        late_writer.write(answer(body=b"late"))
        status, headers, body = await late.read_response()
        assert (status, body) == (200, b"late") and "connection" not in headers
        late.send(request())  # on a connection that it has
        _, late_writer = await worker.next_request()
        late_writer.write(answer(body=b"again"))
        assert (await late.read_response())[2] == b"again"
        assert await late.wait_for_end() and await idle.wait_for_end()  # by now nothing comes any more
        assert process.returncode is None
        writer.write(answer(body=b"taken"))
        assert (await kept.read_response())[2] == b"taken" and await kept.wait_for_end()
        assert await process.wait() == 0

    with_gateway_process(tmp_path, scenario)


def test_sighup_moves_the_watch_and_keeps_what_it_has_if_the_file_is_malformed(tmp_path):
    async def scenario(process, port, worker, fake, path):
        first = path.read_text()
        assert (await fake.next_call())[0].startswith("/discovery/hosts?since=")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        while b"the previous configuration stays active" not in await process.stderr.readline():
            pass
        async with FakeDiscovery() as second, FakeDiscovery() as third, FakeWorker() as other:
            for new in (second, third):  # the second signal comes while the first move is under way
                path.write_text(first.replace(f"{HOST}:{fake.port}", f"{HOST}:{new.port}"))
                process.send_signal(signal.SIGHUP)
                target, writer = await new.next_call()
                assert target == "/discovery/hosts"
            writer.write(told(listing(entry("w2", other.port), index=7)))
            assert (await third.next_call())[0].startswith("/discovery/hosts?since=7")
            client = await Client().open(port)
            client.send(request())
            _, writer = await other.next_request()
            process.send_signal(signal.SIGTERM)
            writer.write(answer())
            assert (await client.read_response())[0] == 200
            assert await process.wait() == 0
        assert worker.requests.empty()

    with_gateway_process(tmp_path, scenario)


def test_no_thread_of_the_kernel_polls_on_its_account(tmp_path):
    """Seen in /proc: a thread iou-sqp beside the program took nearly all of its CPU share."""

    async def scenario(process, port, worker, _fake, _path):
        client = await Client().open(port)
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(answer())
        assert (await client.read_response())[0] == 200
        tasks = pathlib.Path(f"/proc/{process.pid}/task")
        assert not [name for name in tasks.glob("*/comm") if name.read_text().startswith("iou-")]

    with_gateway_process(tmp_path, scenario)


def test_after_a_kill_it_starts_from_nothing_at_the_same_address(tmp_path):
    async def scenario(process, port, worker, fake, path):
        client = await Client().open(port)
        client.send(request())
        await worker.next_request()
        process.kill()
        await process.wait()
        again = await start_program(path)
        try:
            while (await fake.next_call())[0] != "/discovery/hosts":
                pass  # the first one's watch
            # The call of the second is the last one taken; it gives up silence and calls once more.
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
def test_a_configuration_that_cannot_be_used_ends_it_with_one_line(tmp_path, text, name):
    async def scenario():
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await start_program(path)
        _, expected_text = await process.communicate()
        assert process.returncode == 2 and expected_text.count(b"\n") == 1 and name.encode() in expected_text

    run(scenario())


def replace_settings(value, **more):
    return {**value, "settings": {**value["settings"], **more}}


def numbered_copies(rows, count):
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
def test_settings_beyond_the_limits_stop_the_start_with_one_line(tmp_path, change, expected_text):
    test_a_configuration_that_cannot_be_used_ends_it_with_one_line(
        tmp_path, json.dumps(replace_settings(config(), **change)), expected_text
    )


def test_as_many_classes_and_plans_as_may_be_are_taken():
    given = replace_settings(
        config(), classes=numbered_copies(CLASSES, 65_536), packages=numbered_copies(PLANS, 4096)
    )
    taken = parse_config(given, {}).settings
    assert (len(taken.classes), len(taken.plans)) == (65_536, 4096)


def test_at_sighup_settings_beyond_the_limits_change_nothing(tmp_path):
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
            writer.write(answer())
            assert (await client.read_response())[0] == 200 and other.calls.empty()
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    with_gateway_process(tmp_path, scenario)


def test_silent_discovery_does_not_keep_it_from_starting_with_the_known_list(tmp_path):
    async def whole():
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
                writer.write(answer())
                assert (await client.read_response())[0] == 200
            finally:
                process.kill()
                await process.wait()

    run(whole())


def test_idle_clients_that_fill_the_descriptors_while_discovery_is_down_leave_one_for_its_return(tmp_path):
    """With the real limit: of all descriptors clients hold what they may, and the list comes all the same."""

    async def whole():
        async with FakeWorker() as worker, FakeWorker() as other:
            port, discovery = free_port(), free_port()
            path = tmp_path / "config.json"
            path.write_text(json.dumps(config(discovery, port, known=[entry("w1", worker.port)])))
            limit = resource.RLIMIT_NOFILE, (256, 256)
            process = await start_program(path, preexec_fn=lambda: resource.setrlimit(*limit))
            crowd = []
            try:
                await wait_until_ready(port)
                for _ in range(400):  # each has asked once, and rests
                    crowd.append((await Client().open(port)).send(UP_REQUEST))
                for one in crowd[:100]:
                    assert await one.read_response()
                async with FakeDiscovery(discovery) as fake:
                    _, writer = await fake.next_call()
                    writer.write(told(listing(entry("w2", other.port), index=9)))
                    assert (await fake.next_call())[0].startswith("/discovery/hosts?since=9")
                    message = None
                    while message is None:  # at the very limit a new client is dropped, and comes again
                        client = (await Client().open(port)).send(request())
                        asked, gone = (
                            asyncio.ensure_future(one)
                            for one in (other.next_request(), client.wait_for_end())
                        )
                        await asyncio.wait((asked, gone), return_when=asyncio.FIRST_COMPLETED)
                        message, writer = asked.result() if asked.done() else (None, None)
                        if message is None:
                            asked.cancel()
                        else:
                            gone.cancel()
                    assert worker.requests.empty()
            finally:
                process.kill()
                await process.wait()
                for one in crowd:
                    one.close()

    run(whole())


def request_owned_here(**more):
    """A request of a customer whose quota owner is this gateway."""
    return request(**more).replace(b"spread=2", b"spread=1")


CLIENTS_THAT_GO = 300
KEPT_CONNECTIONS = 16  # to the worker: what is sent on one of them needs no new connection


def test_nothing_is_sent_on_after_a_stall_for_clients_that_have_gone_however_long_reading_takes(tmp_path):
    """Guards against a backlog that takes longer to read than a fixed time: its rest passed for new."""

    async def scenario(process, port, worker, _fake, _path):
        seen = []

        async def serve():
            while True:
                message, writer = await worker.next_request()
                if message is not None:
                    seen.append(message.headers["x-request-id"])
                    asyncio.get_running_loop().call_later(0.02, writer.write, answer())

        serving = asyncio.create_task(serve())
        kept = [await Client().open(port) for _ in range(KEPT_CONNECTIONS)]
        await asyncio.gather(*(client.send(request_owned_here()).read_response() for client in kept))
        await asyncio.sleep(0.1)
        process.send_signal(signal.SIGSTOP)
        going = [await Client().open(port) for _ in range(CLIENTS_THAT_GO)]
        for client in going:
            client.send(request_owned_here(deadline=400))
        await asyncio.sleep(0.6)
        for client in going:
            client.writer.transport.abort()
        await asyncio.sleep(0.1)
        before = len(seen)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.3)
        assert len(seen) == before, f"{len(seen) - before} sent on for clients that have gone"
        last = await Client().open(port)
        mine = request_owned_here().replace(b"b4d65521", b"b4d65522")  # a customer whose quota is not used up
        assert (await last.send(mine).read_response())[0] == 200
        serving.cancel()

    with_gateway_process(tmp_path, scenario, {"limits": {"sockets": 2048}})
