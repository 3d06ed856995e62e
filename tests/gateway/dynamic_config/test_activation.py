"""Activation of published settings in a running gateway process with a configuration service and a worker."""

import asyncio
import signal

import pytest
from support.config_processes import ServiceAndGateway
from support.dynamic_config import published_settings
from support.fakes import Client, FakeWorker, http_response, request, run


def request_owned_here(path):
    """Returns a request of a customer whose quota owner is this gateway, so that no peer is asked."""
    return request(path=path).replace(b"spread=2", b"spread=1")


async def send_and_answer(client, worker, path):
    """Send a request for `path`, and answer it with 200 if it reaches the worker. Returns the status that the
    client receives."""
    client.send(request_owned_here(path))
    response = asyncio.ensure_future(client.read_response())
    forwarded = asyncio.ensure_future(worker.next_request())
    await asyncio.wait((response, forwarded), return_when=asyncio.FIRST_COMPLETED)
    if response.done():
        forwarded.cancel()
        return response.result()[0]
    forwarded.result()[1].write(http_response())
    return (await response)[0]


@pytest.mark.parametrize("update", ["whole", "delta"])
def test_added_class_is_served_and_removed_class_is_rejected_without_a_restart(tmp_path, update):
    async def scenario():
        async with FakeWorker() as worker, ServiceAndGateway(tmp_path) as setup:
            if update == "delta":
                await setup.publish(1, published_settings(1, classes=2))
            process, _ = await setup.start_gateway(worker.port)
            client = await Client().open(setup.port)
            path = "/c0" if update == "delta" else "/look"
            assert await send_and_answer(client, worker, path) == 200
            assert await send_and_answer(client, worker, "/c7") == 404
            await setup.publish(2, published_settings(2, classes=8))
            await setup.wait_until_activated(process, 2)
            assert await send_and_answer(client, worker, "/c7") == 200  # on the same connection
            client.send(request_owned_here("/c7"))
            _, writer = await worker.next_request()
            # Version 3 removes the class of the request in progress.
            await setup.publish(3, published_settings(3, classes=3))
            await setup.wait_until_activated(process, 3)
            writer.write(http_response(body=b"late"))
            status, _, body = await client.read_response()
            assert (status, body) == (200, b"late")
            assert (
                await send_and_answer(client, worker, "/c7") == 404
                and await send_and_answer(client, worker, "/c2") == 200
            )
            assert process.returncode is None
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(scenario())
