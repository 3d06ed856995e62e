"""The result of an attempt with a streamed body whose connection breaks after the whole body may have been
sent."""

import asyncio

import pytest
from support.fakes import ControllerStub, FakeWorker, RunningGateway, entry, request, reset, run

from plumpick.policy.events import AttemptCompleted, AttemptResult

LARGE = b"x" * 70_000


def chunked_request(body, *, parts):
    """A request with a chunked body, as a list of byte strings: the head, `parts` chunks and the end."""
    data = request(path="/debit", body=b"x").replace(b"Content-Length: 1", b"Transfer-Encoding: chunked")[:-1]
    size = len(body) // parts + 1
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    return [data, *(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces), b"0\r\n\r\n"]


@pytest.mark.parametrize(
    "pieces",
    [[request(path="/debit", body=LARGE)], chunked_request(LARGE, parts=1), chunked_request(LARGE, parts=8)],
    ids=["length", "chunked, two reads", "chunked, many reads"],
)
def test_reset_after_the_whole_streamed_body_was_sent_does_not_prove_that_nothing_ran(pieces):
    """Guards against a fault seen in a rehearsal (zone+brink, brink seed 63): a request was rejected as if it
    had not been executed, after an attempt that may have executed it."""

    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            client = await gate.client()
            for piece in pieces:
                client.send(piece)
                await client.writer.drain()
                await asyncio.sleep(0)
            message, writer = await worker.next_request()
            assert len(message.body) == len(LARGE)  # the worker has received the whole body
            reset(writer)
            assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.RESET
            assert (await client.read_response())[0] == 502

    run(scenario())
