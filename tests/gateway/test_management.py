"""Operators' commands at the admin listener over loopback, and draining of clients on DRAIN."""

import asyncio

import pytest
from support.fakes import (
    HOST,
    Client,
    FakeWorker,
    RunningGateway,
    config,
    entry,
    http_response,
    listing,
    request,
    run,
)
from support.management import send_admin_command

from plumpick.cli import main
from plumpick.gateway.config import parse_config, parse_worker_list
from plumpick.gateway.listeners.admin import (
    HARD_MAX_CONNECTIONS,
    MAX_LINE_BYTES,
    AdminListener,
    CommandLineReader,
    parse_command,
    start_server,
)
from plumpick.policy.controller import Controller

UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"


def with_admin_listener(scenario, **more):
    """Run `scenario` with the port of an admin listener, its gateway, and w1, the gateway's only worker.
    `more` is added to the gateway's configuration."""

    async def run_scenario():
        async with FakeWorker() as worker:
            workers = listing(entry("w1", worker.port))
            given = parse_config(config(known=(), **more), {})
            async with RunningGateway(Controller(given.settings, 1), **more) as running:
                listener = AdminListener(running.gateway)
                loop = asyncio.get_running_loop()
                server = await start_server(listener, (HOST, 0), loop)
                running.operators = listener
                running.gateway.sweeps.append(listener.sweep)
                running.gateway.on_worker_list(parse_worker_list(workers, "list"))
                try:
                    await scenario(server.sockets[0].getsockname()[1], running, worker)
                finally:
                    server.close()
                    listener.close()

    run(run_scenario())


@pytest.mark.parametrize(
    "line, command",
    [
        (b"READY", ("READY", "")),
        (b"ready", ("READY", "")),
        (b"  DRAIN ", ("DRAIN", "")),
        (b"disable s-5be2a07c", ("DISABLE", "s-5be2a07c")),
        (b"ENABLE S-5be2a07c", ("ENABLE", "S-5be2a07c")),
    ],
)
def test_command_name_is_case_insensitive_and_worker_id_is_kept(line, command):
    assert parse_command(line) == command


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"STOP",
        b"READY now",
        b"DISABLE",
        b"DISABLE a b",
        b"DISABLE a\0",
        b"DISABLE \xc3\xa4",
        b"\0",
        b"DRAIN a b c",
    ],
)
def test_invalid_command_line_is_rejected(line):
    with pytest.raises(ValueError):
        parse_command(line)


def test_command_line_is_read_from_fragments_with_lf_or_crlf_end():
    for text in (b"DISABLE w1\r\nmore", b"DISABLE w1\nDRAIN\n"):
        for cut in range(1, len(text)):
            reader = CommandLineReader()
            line = reader.feed(text[:cut])
            assert (line if line is not None else reader.feed(text[cut:])) == b"DISABLE w1"
    assert (
        CommandLineReader().feed(b"READY", ended=True) == b"READY"
        and CommandLineReader().feed(b"", ended=True) is None
    )


def test_overlong_command_line_is_rejected_without_being_buffered():
    reader = CommandLineReader()
    with pytest.raises(ValueError):
        reader.feed(b"x" * 1_000_000)
    assert len(reader.buffered) <= MAX_LINE_BYTES + 1


def test_each_command_gets_one_reply_and_the_connection_is_closed():
    async def scenario(port, running, _worker):
        assert (await send_admin_command(port, b"READY\n")).startswith("+OK")
        assert (await send_admin_command(port, b"DISABLE w1\r\n")).startswith("+OK")
        assert (await send_admin_command(port, b"DISABLE w1\n")).startswith("+OK")
        assert (await send_admin_command(port, b"ENABLE w1", end=True)).startswith("+OK")
        assert (await send_admin_command(port, b"READY\nDRAIN\n")).count(
            "\n"
        ) == 1 and running.gateway.is_ready
        for wrong in (b"DISABLE w9\n", b"ENABLE w9\n", b"HELLO\n", b"DISABLE\n", b"\n", b"x" * 1_000_000):
            assert (await send_admin_command(port, wrong)).startswith("-ERR"), wrong

    with_admin_listener(scenario)


def test_ready_is_an_error_before_start_and_during_shutdown():
    async def scenario(port, running, _worker):
        running.gateway.is_serving = False
        assert (await send_admin_command(port, b"READY\n")).startswith("-ERR")
        running.gateway.start_serving()
        running.gateway.shut_down_within(2000.0)
        assert (await send_admin_command(port, b"READY\n")).startswith("-ERR")

    with_admin_listener(scenario)


def test_command_is_answered_while_many_connections_send_no_complete_line():
    async def scenario(port, running, _worker):
        connections = [await asyncio.open_connection(HOST, port) for _ in range(200)]
        for _, writer in connections[::2]:
            writer.write(b"DISA")
        assert (await send_admin_command(port, b"READY\n")).startswith("+OK")
        assert len(running.operators.connections) <= HARD_MAX_CONNECTIONS
        for _, writer in connections:
            writer.transport.abort()

    with_admin_listener(scenario)


def test_idle_admin_connection_is_closed_after_a_timeout():
    async def scenario(port, running, _worker):
        reader, writer = await asyncio.open_connection(HOST, port)
        while not running.operators.connections:
            await asyncio.sleep(0)
        running.operators.sweep(running.gateway.clock.now() + 60_000.0)
        assert await Client().open(port) and not await reader.read()
        writer.close()

    with_admin_listener(scenario)


def test_disabled_worker_gets_no_request_after_the_reply_until_it_is_enabled():
    async def scenario(port, running, worker):
        client = await running.client()
        client.send(request())
        _, writer = await worker.next_request()
        assert (await send_admin_command(port, b"DISABLE w1\n")).startswith("+OK")
        writer.write(http_response())
        assert (await client.read_response())[0] == 200  # an attempt in flight may finish
        assert (await client.send(request(deadline=100)).read_response())[0] in (503, 504)
        assert (await send_admin_command(port, b"ENABLE w1\n")).startswith("+OK")
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200

    with_admin_listener(scenario)


def test_draining_gateway_answers_up_with_503_and_closes_connections_after_their_response():
    async def scenario(port, running, worker):
        idle, kept, slow = await running.client(), await running.client(), await running.client()
        await idle.send(UP_REQUEST).read_response()
        slow.send(request()[:-1])
        kept.send(request())
        _, writer = await worker.next_request()
        assert (await send_admin_command(port, b"DRAIN\n")).startswith("+OK")
        assert (await (await running.client()).send(UP_REQUEST).read_response())[0] == 503
        writer.write(http_response())
        status, headers, _ = await kept.read_response()
        assert status == 200 and headers["connection"] == "close" and await kept.wait_for_end()
        assert await idle.wait_for_end()  # closed after half a second
        # The incomplete request ends with its own time limit, 408, or with the drain, 503.
        assert (await slow.read_response())[0] in (408, 503) and await slow.wait_for_end()
        while running.gateway.has_unfinished_work():
            await asyncio.sleep(0.01)
        assert (await send_admin_command(port, b"UNDRAIN\n")).startswith("+OK")
        again = await running.client()
        assert (await again.send(UP_REQUEST).read_response())[0] == 200
        again.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert "connection" not in (await again.read_response())[1]

    with_admin_listener(scenario)


def test_request_completed_late_in_a_drain_is_answered_before_the_drain_ends():
    """Guards against a request that a slow client completes late in a drain, and that is still open when the
    drain must end."""

    async def scenario(port, running, worker):
        slow = await running.client()
        slow.send(request(deadline=10_000)[:-1])
        await send_admin_command(port, b"DRAIN\n")
        while running.gateway.admission_state < 3:
            await asyncio.sleep(0.01)
        slow.send(b"\n")
        await worker.next_request()
        assert next(iter(running.gateway.requests.open.values())).deadline_timer is not None
        response = await slow.read_response()  # after 2 s at most, not at its deadline of 10 s
        assert response[0] in (502, 503, 504)

    with_admin_listener(scenario)


def test_undrain_does_not_cancel_a_shutdown_that_began_during_a_drain():
    async def scenario(port, running, _worker):
        await send_admin_command(port, b"DRAIN\n")
        running.gateway.shut_down_within(2000.0)
        await send_admin_command(port, b"UNDRAIN\n")
        assert not running.gateway.is_ready  # the shutdown continues

    with_admin_listener(scenario)


def test_operators_send_commands_from_the_command_line(capsys):
    async def scenario(port, _gate, _worker):
        def send_commands():
            return [
                main(["call", f"{HOST}:{port}", *words.split()])
                for words in ("READY", "DISABLE w1", "ENABLE w9", "NONSENSE")
            ]

        assert await asyncio.to_thread(send_commands) == [0, 0, 1, 1]

    with_admin_listener(scenario)
    assert capsys.readouterr().out.splitlines()[:2] == ["+OK ready", "+OK DISABLE w1"]
    assert main(["call", "nowhere", "READY"]) == main(["call", f"{HOST}:1", "READY"]) == 2
