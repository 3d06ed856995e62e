"""Workers that never answer, on loopback sockets: their unanswered attempts must not block other requests."""

import asyncio

from support.fakes import FakeWorker, RunningGateway, entry, http_response, request, run

# Number of concurrent debit attempts that the concurrency limit allows at its minimum, for two workers at one
# of three gateways.
MIN_CONCURRENT_ATTEMPTS = 4


def debit():
    """A debit request of a customer whose quota owner is this gateway."""
    return request(path="/debit", body=b"x").replace(b"spread=2", b"spread=1")


def test_unanswered_attempts_free_the_concurrency_limit_and_are_never_retried():
    async def scenario():
        async with (
            FakeWorker() as worker,
            FakeWorker() as other,
            RunningGateway(known=[entry("w1", worker.port), entry("w2", other.port)]) as gate,
        ):
            received = asyncio.Queue()

            async def collect_requests(fake_worker):
                while True:
                    message, writer = await fake_worker.next_request()
                    if message is not None:
                        await received.put((message, writer))

            tasks = [asyncio.create_task(collect_requests(fake)) for fake in (worker, other)]
            first_client = await gate.client()
            for _ in range(5):  # answered requests, from which the concurrency limit is computed
                first_client.send(request().replace(b"spread=2", b"spread=1"))
                _, writer = await received.get()
                writer.write(http_response())
                assert (await first_client.read_response())[0] == 200
            window = gate.gateway.controller.state.limit
            # Set the limit to its minimum, as after a time of little traffic.
            window.capacity, window.answered_objectives_ms = 0.1, 0.0
            window.update_limit(2)
            assert MIN_CONCURRENT_ATTEMPTS <= window.available() < MIN_CONCURRENT_ATTEMPTS + 1
            clients = [await gate.client() for _ in range(MIN_CONCURRENT_ATTEMPTS + 2)]
            for client in clients:
                client.send(debit())
            answers = [asyncio.create_task(client.read_response()) for client in clients]
            ids = set()
            while len(ids) < len(clients):  # the workers never answer these requests
                next_request = asyncio.create_task(received.get())
                done, _ = await asyncio.wait({next_request, *answers}, return_when=asyncio.FIRST_COMPLETED)
                assert next_request in done, "a request was rejected although both workers are idle"
                message, _ = next_request.result()
                assert message.headers["x-request-id"] not in ids, "a debit was retried"
                ids.add(message.headers["x-request-id"])
            for task in tasks + answers:
                task.cancel()
            for client in clients:
                client.close()

    run(scenario())
