"""Operators' commands over loopback, and draining of clients."""

import asyncio

import pytest
from support.fakes import (
    HOST,
    Client,
    FakeWorker,
    RunningGateway,
    answer,
    config,
    entry,
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
    """A gatekeeper with one worker, w1, and its management port."""

    async def whole():
        async with FakeWorker() as worker:
            known = listing(entry("w1", worker.port))
            given = parse_config(config(known=(), **more), {})
            async with RunningGateway(Controller(given.settings, 1), **more) as gate:
                front = AdminListener(gate.gateway)
                loop = asyncio.get_running_loop()
                server = await start_server(front, (HOST, 0), loop)
                gate.operators = front
                gate.gateway.sweeps.append(front.sweep)
                gate.gateway.on_worker_list(parse_worker_list(known, "list"))
                try:
                    await scenario(server.sockets[0].getsockname()[1], gate, worker)
                finally:
                    server.close()
                    front.close()

    run(whole())


@pytest.mark.parametrize(
    "line, call",
    [
        (b"READY", ("READY", "")),
        (b"ready", ("READY", "")),
        (b"  DRAIN ", ("DRAIN", "")),
        (b"disable s-5be2a07c", ("DISABLE", "s-5be2a07c")),
        (b"ENABLE S-5be2a07c", ("ENABLE", "S-5be2a07c")),
    ],
)
def test_command_name_is_case_insensitive_and_worker_id_is_kept(line, call):
    assert parse_command(line) == call


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


def test_a_line_is_whole_however_its_bytes_come_and_with_either_end():
    for text in (b"DISABLE w1\r\nmore", b"DISABLE w1\nDRAIN\n"):
        for cut in range(1, len(text)):
            line = CommandLineReader()
            told = line.feed(text[:cut])
            assert (told if told is not None else line.feed(text[cut:])) == b"DISABLE w1"
    assert (
        CommandLineReader().feed(b"READY", ended=True) == b"READY"
        and CommandLineReader().feed(b"", ended=True) is None
    )


def test_a_line_without_end_is_refused_before_it_fills_anything():
    line = CommandLineReader()
    with pytest.raises(ValueError):
        line.feed(b"x" * 1_000_000)
    assert len(line.buffered) <= MAX_LINE_BYTES + 1


def test_each_call_is_answered_and_the_connection_closed():
    async def scenario(port, gate, _worker):
        assert (await send_admin_command(port, b"READY\n")).startswith("+OK")
        assert (await send_admin_command(port, b"DISABLE w1\r\n")).startswith("+OK")
        assert (await send_admin_command(port, b"DISABLE w1\n")).startswith("+OK")
        assert (await send_admin_command(port, b"ENABLE w1", end=True)).startswith("+OK")
        assert (await send_admin_command(port, b"READY\nDRAIN\n")).count("\n") == 1 and gate.gateway.is_ready
        for wrong in (b"DISABLE w9\n", b"ENABLE w9\n", b"HELLO\n", b"DISABLE\n", b"\n", b"x" * 1_000_000):
            assert (await send_admin_command(port, wrong)).startswith("-ERR"), wrong

    with_admin_listener(scenario)


def test_ready_is_an_error_before_start_and_during_shutdown():
    async def scenario(port, gate, _worker):
        gate.gateway.is_serving = False
        assert (await send_admin_command(port, b"READY\n")).startswith("-ERR")
        gate.gateway.start_serving()
        gate.gateway.shut_down_within(2000.0)
        assert (await send_admin_command(port, b"READY\n")).startswith("-ERR")

    with_admin_listener(scenario)


def test_beside_callers_that_say_nothing_or_half_a_line_a_call_is_answered():
    async def scenario(port, gate, _worker):
        silent = [await asyncio.open_connection(HOST, port) for _ in range(200)]
        for _, writer in silent[::2]:
            writer.write(b"DISA")
        assert (await send_admin_command(port, b"READY\n")).startswith("+OK")
        assert len(gate.operators.connections) <= HARD_MAX_CONNECTIONS
        for _, writer in silent:
            writer.transport.abort()

    with_admin_listener(scenario)


def test_a_caller_that_says_nothing_is_closed_in_time():
    async def scenario(port, gate, _worker):
        reader, writer = await asyncio.open_connection(HOST, port)
        while not gate.operators.connections:
            await asyncio.sleep(0)
        gate.operators.sweep(gate.gateway.clock.now() + 60_000.0)
        assert await Client().open(port) and not await reader.read()
        writer.close()

    with_admin_listener(scenario)


def test_a_banned_worker_is_sent_nothing_more_once_the_answer_is_there():
    async def scenario(port, gate, worker):
        client = await gate.client()
        client.send(request())
        _, writer = await worker.next_request()
        assert (await send_admin_command(port, b"DISABLE w1\n")).startswith("+OK")
        writer.write(answer())
        assert (await client.read_response())[0] == 200  # what is out may finish
        assert (await client.send(request(deadline=100)).read_response())[0] in (503, 504)
        assert (await send_admin_command(port, b"ENABLE w1\n")).startswith("+OK")
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(answer())
        assert (await client.read_response())[0] == 200

    with_admin_listener(scenario)


def test_drained_it_says_no_serves_what_comes_and_closes_behind_each_answer():
    async def scenario(port, gate, worker):
        idle, kept, slow = await gate.client(), await gate.client(), await gate.client()
        await idle.send(UP_REQUEST).read_response()
        slow.send(request()[:-1])
        kept.send(request())
        _, writer = await worker.next_request()
        assert (await send_admin_command(port, b"DRAIN\n")).startswith("+OK")
        assert (await (await gate.client()).send(UP_REQUEST).read_response())[0] == 503
        writer.write(answer())
        told = await kept.read_response()
        assert told[0] == 200 and told[1]["connection"] == "close" and await kept.wait_for_end()
        assert await idle.wait_for_end()  # in half a second
        assert (await slow.read_response())[0] in (
            408,
            503,
        ) and await slow.wait_for_end()  # its own time is nearly over
        while gate.gateway.has_unfinished_work():
            await asyncio.sleep(0.01)
        assert (await send_admin_command(port, b"UNDRAIN\n")).startswith("+OK")
        again = await gate.client()
        assert (await again.send(UP_REQUEST).read_response())[0] == 200
        again.send(request())
        _, writer = await worker.next_request()
        writer.write(answer())
        assert "connection" not in (await again.read_response())[1]

    with_admin_listener(scenario)


def test_what_comes_late_in_a_drain_is_answered_before_its_end():
    """A client that writes slowly; its request would be open, and young, when nothing may be left."""

    async def scenario(port, gate, worker):
        slow = await gate.client()
        slow.send(request(deadline=10_000)[:-1])
        await send_admin_command(port, b"DRAIN\n")
        while gate.gateway.admission_state < 3:
            await asyncio.sleep(0.01)
        slow.send(b"\n")
        await worker.next_request()
        assert next(iter(gate.gateway.requests.open.values())).deadline_timer is not None
        told = await slow.read_response()  # within 2 s, not 10
        assert told[0] in (502, 503, 504)

    with_admin_listener(scenario)


def test_shutdown_during_a_drain_wins_over_undrain():
    async def scenario(port, gate, _worker):
        await send_admin_command(port, b"DRAIN\n")
        gate.gateway.shut_down_within(2000.0)
        await send_admin_command(port, b"UNDRAIN\n")
        assert not gate.gateway.is_ready  # it ends all the same

    with_admin_listener(scenario)


def test_operators_send_commands_from_the_command_line(capsys):
    async def scenario(port, _gate, _worker):
        def calls():
            return [
                main(["call", f"{HOST}:{port}", *words.split()])
                for words in ("READY", "DISABLE w1", "ENABLE w9", "NONSENSE")
            ]

        assert await asyncio.to_thread(calls) == [0, 0, 1, 1]

    with_admin_listener(scenario)
    assert capsys.readouterr().out.splitlines()[:2] == ["+OK ready", "+OK DISABLE w1"]
    assert main(["call", "nowhere", "READY"]) == main(["call", f"{HOST}:1", "READY"]) == 2
