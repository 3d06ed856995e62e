"""From publishing to serving: a real gatekeeper, a service and a worker, and no restart between."""

import asyncio
import signal

import pytest
from support.config_processes import ServiceAndGateway
from support.dynamic_config import published
from support.fakes import Client, FakeWorker, answer, request, run


def homed(path):
    """Of a customer whose home is this gatekeeper: it asks no peer."""
    return request(path=path).replace(b"spread=2", b"spread=1")


async def asks(client, worker, path):
    """The status of a request; a worker answers it, if it gets it."""
    client.send(homed(path))
    answered = asyncio.ensure_future(client.read_response())
    came = asyncio.ensure_future(worker.next_request())
    await asyncio.wait((answered, came), return_when=asyncio.FIRST_COMPLETED)
    if answered.done():
        came.cancel()
        return answered.result()[0]
    came.result()[1].write(answer())
    return (await answered)[0]


@pytest.mark.parametrize("by", ["whole", "delta"])
def test_a_published_class_is_served_and_a_removed_one_is_not_without_a_restart(tmp_path, by):
    async def scenario():
        async with FakeWorker() as worker, ServiceAndGateway(tmp_path) as machine:
            if by == "delta":
                await machine.publish(1, published(1, classes=2))
            process, _ = await machine.start_gateway(worker.port)
            client = await Client().open(machine.port)
            name = "/c0" if by == "delta" else "/look"
            assert await asks(client, worker, name) == 200
            assert await asks(client, worker, "/c7") == 404
            await machine.publish(2, published(2, classes=8))
            await machine.wait_until_activated(process, 2)
            assert await asks(client, worker, "/c7") == 200  # on the same connection
            client.send(homed("/c7"))
            _, writer = await worker.next_request()
            await machine.publish(3, published(3, classes=3))  # its class goes while it is out
            await machine.wait_until_activated(process, 3)
            writer.write(answer(body=b"late"))
            status, _, body = await client.read_response()
            assert (status, body) == (200, b"late")
            assert await asks(client, worker, "/c7") == 404 and await asks(client, worker, "/c2") == 200
            assert process.returncode is None
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(scenario())
