"""Responses of up to 64 KiB reach their client whole or not at all, however little memory is left."""

import asyncio

import pytest
from support.fakes import ControllerStub, RunningGateway, entry, request, reset, run
from support.raw_client import RawWorker, read_head, read_response, request_at_raw_worker

from plumpick.gateway.memory_budget import MemoryHolder, MemoryLevel
from plumpick.gateway.upstream.streaming_body import MAX_BUFFERED_BODY_BYTES

MANY = 40
BODY = 60_000


def fill(gate, level):
    """Use the gateway's memory up to a level."""
    memory = gate.gateway.memory
    share = {MemoryLevel.NORMAL: 0.0, MemoryLevel.CROWDED: 0.5, MemoryLevel.EXHAUSTED: 1.0}[level]
    memory.add(MemoryHolder.STREAMS, int(memory.total_bytes * share))
    assert memory.level is level


def broken_responses(size):
    """Parts of a response of `size` bytes after which its worker resets the connection."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
    parts = {
        "nothing": b"",
        "half a head": head[:20],
        "a head": head,
        "half a body": head + bytes(size // 2),
        "all but a byte": head + bytes(size - 1),
    }
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % size + bytes(size)
    return parts | {"all but the last chunk": chunked}


@pytest.mark.parametrize("level", MemoryLevel)
@pytest.mark.parametrize("size", [1, 5000, 8193, 20_000, MAX_BUFFERED_BODY_BYTES])
@pytest.mark.parametrize("part", broken_responses(2))
def test_client_gets_no_part_of_a_response_that_can_be_asked_for_again(part, size, level):
    """Guards against report 103a87: responses of 8 to 64 KiB were passed on early while memory was short, and
    cut off when their worker reset the connection."""

    async def scenario():
        async with request_at_raw_worker() as (gate, client, writer):
            fill(gate, level)
            writer.write(broken_responses(size)[part])
            await writer.drain()
            await asyncio.sleep(0.02)
            reset(writer)
            status, _, body, is_complete = await read_response(client.reader)
            assert (status, body, is_complete) == (502, b"", True)

    run(scenario())


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
def test_many_responses_at_once_reach_their_clients_with_the_least_memory(framing):
    """Guards against responses that wait for room for ever, or in which a part of another one appears."""

    async def serve(worker):
        async def answer(reader, writer):
            while True:
                head = await read_head(reader)
                request_id = head.lower().partition("x-request-id: ")[2][:16].encode()
                body = request_id * (BODY // 16)
                extra = b"Content-Length: %d" % len(body)
                if framing == "chunks":
                    extra = b"Transfer-Encoding: chunked"
                    body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
                elif framing == "close":
                    extra = b"Connection: close"
                writer.write(b"HTTP/1.1 200 OK\r\n%s\r\n\r\n" % extra + body[:30_000])
                await asyncio.sleep(0.005)
                writer.write(body[30_000:])
                await writer.drain()
                if framing == "close":
                    writer.close()
                    return

        tasks = []
        while True:
            tasks.append(asyncio.ensure_future(answer(*await worker.accepted.get())))

    async def scenario():
        async with (
            RawWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            memory = gate.gateway.memory
            memory.set_total(2**20)
            server = asyncio.ensure_future(serve(worker))
            clients = [await gate.client() for _ in range(MANY)]

            async def ask(client, number):
                name = f"{number:016x}"
                client.send(request(name))
                status, _, body, is_complete = await read_response(client.reader)
                assert (status, is_complete) == (200, True)
                assert body == name.encode() * (BODY // 16)

            await asyncio.gather(*(ask(client, number) for number, client in enumerate(clients)))
            for client in clients:
                client.close()
            while memory.used_bytes:
                await asyncio.sleep(0.01)
            assert memory.peak_bytes <= 3 * 2**20
            server.cancel()

    run(scenario())
