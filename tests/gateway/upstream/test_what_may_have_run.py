"""What an attempt that breaks off proves, and what the module makes of it, from end to end over sockets."""

import asyncio

import pytest
from support.fakes import FakeWorker, Gate, Script, answer, entry, request, reset, run
from support.raw_client import read_response

from plumpick.gateway.platform import Platform
from plumpick.policy.events import AttemptCompleted, AttemptResult

NOT_RUN = "X-Not-Run: 1\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"


async def written(writer):
    """All of it is with the system."""
    while writer.transport.get_write_buffer_size():
        await asyncio.sleep(0)


# What comes, how the connection ends, and what that proves.
ENDS = {
    "503 not run, whole": (answer(503, extra=NOT_RUN), None, AttemptResult.REJECTED_BY_WORKER),
    "503 not run, cut in its body, reset": (answer(503, extra=NOT_RUN)[:-2], "reset", AttemptResult.RESET),
    "503 not run, cut in its body, closed": (answer(503, extra=NOT_RUN)[:-2], "close", AttemptResult.RESET),
    "503 not run, cut in its head": (answer(503, extra=NOT_RUN)[:30], "reset", AttemptResult.RESET),
    "nothing, reset": (b"", "reset", AttemptResult.RESET),
    "nothing, closed": (b"", "close", AttemptResult.RESET),
    "half a line, closed": (b"HTTP/1.", "close", AttemptResult.RESET),
    "no length, a part, reset": (HEAD + b"\r\na part", "reset", AttemptResult.RESET),
    "no length, nothing of it, reset": (HEAD + b"\r\n", "reset", AttemptResult.RESET),
    "chunked, a part, closed": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "close",
        AttemptResult.RESET,
    ),
    "with length, a part, closed": (answer(body=b"whole")[:-2], "close", AttemptResult.RESET),
}


@pytest.mark.parametrize("name", ENDS)
def test_only_a_whole_word_proves_that_nothing_ran(name):
    data, end, proves = ENDS[name]

    async def scenario():
        async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
            client = await gate.client()
            client.send(request(path="/debit", body=b"x"))
            _, writer = await worker.asked()
            writer.write(data)
            await written(writer)
            if end is not None:
                reset(writer) if end == "reset" else writer.close()
            assert (await gate.script.event(AttemptCompleted)).result is proves
            assert (await client.answer())[0] == 502

    run(scenario())


@pytest.mark.parametrize("cut", [1, 2])
def test_an_answer_with_no_length_ends_with_its_connection_though_all_of_it_comes_at_once(cut):
    """Its first bytes and its end in one read; or in two."""

    async def scenario():
        async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
            client = await gate.client()
            client.send(request())
            _, writer = await worker.asked()
            (attempt,) = gate.keeper.requests.attempts.values()
            attempt.connection.transport.pause_reading()
            for part in (HEAD + b"\r\nall", b" of it")[:cut]:
                writer.write(part)
            writer.close()
            await asyncio.sleep(0)
            attempt.connection.transport.resume_reading()
            status, _, body = await client.answer()
            assert (status, body) == (200, b"all" + b" of it" * (cut - 1))

    run(scenario())


@pytest.mark.parametrize("part", [b"a part", b"x" * 70_000], ids=["small", "streams"])
def test_a_reset_that_comes_in_the_same_poll_as_the_last_bytes_is_no_end(part):
    """Found on zone+brink (brink seed 5): libuv tells it as an end, and half an answer passed for whole."""

    async def scenario():
        async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
            client = await gate.client()
            client.send(request(path="/debit", body=b"x"))
            _, writer = await worker.asked()
            (attempt,) = gate.keeper.requests.attempts.values()
            transport = attempt.connection.transport
            transport.pause_reading()  # as if the loop had not come to it
            writer.write(HEAD + b"\r\n" + part)
            await written(writer)
            reset(writer)
            while not Platform().has_peer_closed(transport):
                await asyncio.sleep(0)
            if attempt.connection is not None and not transport.is_closing():
                transport.resume_reading()
            assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.RESET
            status, _, _, whole = await read_response(client.reader)
            assert (status, whole) == ((502, True) if len(part) < 65536 else (200, False))

    run(scenario())


def homed(path, **more):
    """A request of a customer whose home is this gatekeeper: it asks no peer."""
    return request(path=path, **more).replace(b"spread=2", b"spread=1")


@pytest.mark.parametrize(
    "name, path, times",
    [
        ("503 not run, whole", "/debit", 2),
        ("503 not run, cut in its body, reset", "/debit", 1),
        ("nothing, reset", "/debit", 1),
        ("no length, a part, reset", "/debit", 1),
        ("nothing, reset", "/look", 2),
        ("no length, a part, reset", "/book", 2),
        ("503 not run, cut in its body, closed", "/book", 2),
    ],
)
def test_the_module_sends_again_only_what_may_run_again(name, path, times):
    """The first attempt ends so; how many come in all, each of one request, and the last is answered."""
    data, end, _ = ENDS[name]

    async def scenario():
        async with FakeWorker() as worker, FakeWorker() as other:
            known = [entry("w1", worker.port), entry("w2", other.port)]
            async with Gate(known=known) as gate:
                came = asyncio.Queue()

                async def listen(one):
                    while True:
                        message, writer = await one.asked()
                        if message is not None:
                            await came.put((message.headers["x-request-id"], writer))

                tasks = [asyncio.create_task(listen(one)) for one in (worker, other)]
                client = await gate.client()
                key, body = "k" if path == "/book" else None, b"" if path == "/look" else b"x"
                client.send(homed(path, key=key, body=body))
                _, writer = await came.get()
                writer.write(data)
                await written(writer)
                if end is not None:
                    reset(writer) if end == "reset" else writer.close()
                if times == 2:
                    _, writer = await came.get()
                    writer.write(answer(body=b"again"))
                status, _, body = await client.answer()
                assert (status, body) == ((200, b"again") if times == 2 else (502, b""))
                client.send(homed("/look"))  # and nothing came in between
                name, writer = await came.get()
                writer.write(answer(body=b"next"))
                assert (await client.answer())[2] == b"next"
                for task in tasks:
                    task.cancel()

    run(scenario())
