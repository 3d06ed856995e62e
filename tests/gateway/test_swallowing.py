"""A worker that swallows, on loopback sockets: what it never answers must not keep others from being sent."""

import asyncio

from support.fakes import FakeWorker, Gate, answer, entry, request, run

OUT = 4  # debits that go out at the floor of the cap, for two workers at one of three gatekeepers


def debit():
    """A request of a customer whose home is this gatekeeper."""
    return request(path="/debit", body=b"x").replace(b"spread=2", b"spread=1")


def test_swallowed_attempts_make_way_and_are_never_sent_again():
    async def scenario():
        async with (
            FakeWorker() as worker,
            FakeWorker() as other,
            Gate(known=[entry("w1", worker.port), entry("w2", other.port)]) as gate,
        ):
            seen = asyncio.Queue()

            async def listen(one):
                while True:
                    message, writer = await one.asked()
                    if message is not None:
                        await seen.put((message, writer))

            tasks = [asyncio.create_task(listen(one)) for one in (worker, other)]
            warm = await gate.client()
            for _ in range(5):  # answers come, so that the cap goes by them
                warm.send(request().replace(b"spread=2", b"spread=1"))
                _, writer = await seen.get()
                writer.write(answer())
                assert (await warm.answer())[0] == 200
            window = gate.keeper.controller.state.limit
            # As after a while of little traffic: the cap stands at its floor.
            window.capacity, window.answered_objectives_ms = 0.1, 0.0
            window.update_limit(2)
            assert OUT <= window.available() < OUT + 1
            clients = [await gate.client() for _ in range(OUT + 2)]
            for client in clients:
                client.send(debit())
            answers = [asyncio.create_task(client.answer()) for client in clients]
            ids = set()
            while len(ids) < len(clients):  # none of them is ever answered
                come = asyncio.create_task(seen.get())
                done, _ = await asyncio.wait({come, *answers}, return_when=asyncio.FIRST_COMPLETED)
                assert come in done, "refused, though both workers idle"
                message, _ = come.result()
                assert message.headers["x-request-id"] not in ids, "a debit was sent again"
                ids.add(message.headers["x-request-id"])
            for task in tasks + answers:
                task.cancel()
            for client in clients:
                client.close()

    run(scenario())
