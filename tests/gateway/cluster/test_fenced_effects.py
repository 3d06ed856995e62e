"""Sending of effects with fencing tokens to a receiver over loopback."""

import asyncio

import pytest
from support.fakes import HOST

from plumpick.gateway.cluster import fenced_effects
from plumpick.gateway.operator_config import Receiver


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_effect_is_not_written_if_its_lease_expired_during_the_connect():
    async def scenario():
        received = []

        async def answer(reader, writer):
            received.append(await reader.read(100))
            writer.close()

        server = await asyncio.start_server(answer, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(fenced_effects.LeaseEndedError):
            await fenced_effects.send(Receiver((HOST, port), "/"), "d", 1, 1, {}, lambda: False)
        await until(lambda: received)
        assert received == [b""]
        with pytest.raises(fenced_effects.ReceiverError):  # the receiver closes without an answer
            await fenced_effects.send(Receiver((HOST, port), "/"), "d", 1, 1, {}, lambda: True)
        server.close()

    asyncio.run(scenario())


def test_receiver_that_switches_protocols_has_not_confirmed_the_effect():
    """Guards against a 101 that raised another exception than an EffectError, with a traceback in the log."""

    async def scenario():
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n")

        server = await asyncio.start_server(answer, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(fenced_effects.ReceiverError, match="another protocol"):
            await fenced_effects.send(Receiver((HOST, port), "/"), "d", 1, 1, {}, lambda: True)
        server.close()

    asyncio.run(scenario())
