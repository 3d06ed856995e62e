"""Effects under a token, against a receiver on a socket."""

import asyncio

import pytest
from support.fakes import HOST

from plumpick.gateway.cluster import fenced_effects
from plumpick.gateway.operator_config import Receiver


async def until(true):
    while not true():
        await asyncio.sleep(0.01)


def test_an_effect_is_not_written_when_its_lease_ended_during_the_connect():
    async def scenario():
        came = []

        async def answer(reader, writer):
            came.append(await reader.read(100))
            writer.close()

        server = await asyncio.start_server(answer, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(fenced_effects.LeaseEndedError):
            await fenced_effects.send(Receiver((HOST, port), "/"), "d", 1, 1, {}, lambda: False)
        await until(lambda: came)
        assert came == [b""]
        with pytest.raises(fenced_effects.ReceiverError):  # it closes without an answer
            await fenced_effects.send(Receiver((HOST, port), "/"), "d", 1, 1, {}, lambda: True)
        server.close()

    asyncio.run(scenario())
