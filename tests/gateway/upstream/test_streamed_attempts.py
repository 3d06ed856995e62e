"""A request whose body goes on while it comes: what its break proves, once all of it may have left."""

import asyncio

import pytest
from support.fakes import FakeWorker, Gate, Script, entry, request, reset, run

from plumpick.policy.events import AttemptCompleted, AttemptResult

LARGE = b"x" * 70_000


def chunked(body, *, parts):
    """A request whose body comes in chunks; its client's bytes, in so many pieces."""
    data = request(path="/debit", body=b"x").replace(b"Content-Length: 1", b"Transfer-Encoding: chunked")[:-1]
    size = len(body) // parts + 1
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return [data, *(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces), b"0\r\n\r\n"]


@pytest.mark.parametrize(
    "pieces",
    [[request(path="/debit", body=LARGE)], chunked(LARGE, parts=1), chunked(LARGE, parts=8)],
    ids=["length", "chunked, two reads", "chunked, many reads"],
)
def test_a_streamed_request_that_came_whole_to_its_worker_may_have_run(pieces):
    """Seen on zone+brink (brink seed 63): refused after an attempt that may have run."""

    async def scenario():
        async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
            client = await gate.client()
            for piece in pieces:
                client.send(piece)
                await client.writer.drain()
                await asyncio.sleep(0)
            message, writer = await worker.asked()
            assert len(message.body) == len(LARGE)  # its last byte is there
            reset(writer)
            assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.RESET
            assert (await client.answer())[0] == 502

    run(scenario())
