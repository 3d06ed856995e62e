"""The client of discovery against a fake that is answered by hand."""

import asyncio
import socket

import pytest
from support.fakes import HOST, FakeDiscovery, answer, entry, listing, reset, run, told

from plumpick.gateway.discovery import DiscoveryClient

WATCH = "/discovery/hosts?since={}&timeout_ms=2000"


def with_discovery_client(scenario):
    """Run a scenario with a fake discovery, and a queue of what the gatekeeper is told."""

    async def whole():
        async with FakeDiscovery() as fake:
            lists = asyncio.Queue()
            discovery = DiscoveryClient((HOST, fake.port), lists.put_nowait)
            task = asyncio.get_running_loop().create_task(discovery.run())
            await scenario(fake, lists, discovery)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(whole())


def test_a_snapshot_is_followed_by_a_watch_from_its_index():
    async def scenario(fake, lists, discovery):
        target, writer = await fake.next_call()
        assert target == "/discovery/hosts" and not discovery.has_snapshot.is_set()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        assert (await lists.get()).complete and discovery.has_snapshot.is_set()
        target, writer = await fake.next_call()
        assert target == WATCH.format(41)
        writer.write(told(listing(entry("w1", 5001, "gone"), index=43, snapshot=False)))
        update = await lists.get()
        assert not update.complete and update.entries[0].server.state.value == "gone"
        assert (await fake.next_call())[0] == WATCH.format(43)

    with_discovery_client(scenario)


def test_a_watch_without_changes_continues_and_notifies_nobody():
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.next_call()
        writer.write(told(listing(index=41)))
        await lists.get()
        for _ in range(2):
            target, writer = await fake.next_call()
            assert target == WATCH.format(41)
            writer.write(told(listing(index=41, snapshot=False)))
        await fake.next_call()
        assert lists.empty()

    with_discovery_client(scenario)


@pytest.mark.parametrize(
    "reply",
    [
        answer(500),
        answer(body=b"no json"),
        answer(body=b"[" * 100_000),
        answer(body=b"3"),
        b"noise\r\n\r\n",
        answer(body=b'{"index":42,"endpoints":3}'),
        told(listing(index=40, snapshot=False)),
        None,
    ],
)
def test_after_a_malformed_answer_or_an_end_a_snapshot_is_requested(reply):
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.next_call()
        writer.write(told(listing(index=41)))
        await lists.get()
        _, writer = await fake.next_call()
        if reply is None:
            writer.transport.abort()
        else:
            writer.write(reply)
        target, writer = await fake.next_call()
        assert target == "/discovery/hosts"
        writer.write(told(listing(entry("w1", 5001), index=44)))
        assert (await lists.get()).index == 44

    with_discovery_client(scenario)


def test_a_malformed_entry_is_left_out_of_the_list():
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.next_call()
        odd = [{"name": "w"}, 3, entry("w2", 0), entry("w3", 5001, "asleep")]
        writer.write(told(listing(*odd, entry("w1", 5001), index=41)))
        update = await lists.get()
        assert [one.server.id for one in update.entries] == ["w1"] and update.complete
        assert (await fake.next_call())[0] == WATCH.format(41)

    with_discovery_client(scenario)


def test_a_new_address_begins_with_a_snapshot():
    """Whatever it is doing at the old address: here a watch waits, and then a call that has no answer."""

    async def scenario(fake, lists, discovery):
        _, writer = await fake.next_call()
        writer.write(told(listing(index=41)))
        await lists.get()
        assert (await fake.next_call())[0] == WATCH.format(41)
        async with FakeDiscovery() as silent, FakeDiscovery() as new:
            discovery.change_address((HOST, silent.port))
            await silent.next_call()
            discovery.change_address((HOST, new.port))
            target, writer = await new.next_call()
            assert target == "/discovery/hosts"
            writer.write(told(listing(entry("w9", 5009), index=3)))
            assert (await lists.get()).index == 3
            assert (await new.next_call())[0] == WATCH.format(3)
            assert fake.calls.empty() and silent.calls.empty()

    with_discovery_client(scenario)


async def wait_for_partial_response(discovery):
    """A part of an answer has come and waits for the rest."""
    while not discovery._current._connection._reader._buffer:
        await asyncio.sleep(0)


def test_an_answer_in_progress_is_not_lost_when_the_address_changes():
    """What discovery has written counts as told. A move dropped the call that was under way, and what was
    read of its answer; the new address may be dead or silent."""

    async def scenario(fake, lists, discovery):
        _, writer = await fake.next_call()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        await lists.get()
        _, writer = await fake.next_call()
        update = told(listing(entry("w1", 5001, "draining"), index=42, snapshot=False))
        writer.write(update[:-30])
        await wait_for_partial_response(discovery)
        async with FakeDiscovery() as silent:
            discovery.change_address((HOST, silent.port))
            await silent.next_call()
            writer.write(update[-30:])
            assert (await lists.get()).entries[0].server.state.value == "draining"
            assert (await fake.next_call())[0] == WATCH.format(
                42
            )  # it is listened to until the new one tells

    with_discovery_client(scenario)


def test_a_change_to_a_dead_address_and_back_loses_nothing():
    async def scenario(fake, lists, discovery):
        _, writer = await fake.next_call()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        await lists.get()
        _, writer = await fake.next_call()
        with socket.create_server((HOST, 0)) as probe:
            dead = probe.getsockname()[1]
        discovery.change_address((HOST, dead))
        async with FakeDiscovery() as silent:
            discovery.change_address((HOST, silent.port))  # twice, within a turn
            discovery.change_address((HOST, silent.port))
            await silent.next_call()
            discovery.change_address((HOST, fake.port))
            writer.write(told(listing(entry("w1", 5001, "gone"), index=42, snapshot=False)))
            assert (await lists.get()).index == 42
            assert (await fake.next_call())[0] == WATCH.format(42)
            assert len(discovery._tasks) == 1 and silent.calls.empty()

    with_discovery_client(scenario)


def test_the_old_address_is_ignored_once_the_new_one_sent_its_snapshot():
    async def scenario(fake, lists, discovery):
        _, writer = await fake.next_call()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        await lists.get()
        _, writer = await fake.next_call()
        async with FakeDiscovery() as new:
            discovery.change_address((HOST, new.port))
            _, other = await new.next_call()
            other.write(told(listing(entry("w9", 5009), index=3)))
            assert (await lists.get()).index == 3
            writer.write(told(listing(entry("w1", 5001), index=45)))  # whole, and late
            for index in (4, 5):
                _, other = await new.next_call()
                other.write(told(listing(entry("w9", 5009, "gone"), index=index, snapshot=False)))
                assert (await lists.get()).index == index
            assert lists.empty() and len(discovery._tasks) == 1

    with_discovery_client(scenario)


@pytest.mark.parametrize("is_reset", [False, True])
def test_a_list_with_no_length_ends_with_its_connection_and_never_with_a_reset(is_reset):
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.next_call()
        body = told(listing(entry("w1", 5001), index=41)).partition(b"\r\n\r\n")[2]
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        if is_reset:
            await writer.drain()
            while writer.transport.get_write_buffer_size():
                await asyncio.sleep(0)
            reset(writer)
        else:
            writer.close()
        if not is_reset:
            assert (await lists.get()).index == 41
        target, writer = await fake.next_call()
        assert target == ("/discovery/hosts" if is_reset else WATCH.format(41)) and lists.empty()

    with_discovery_client(scenario)


def test_a_watch_that_is_reset_right_after_its_answer_is_reopened_at_once():
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.next_call()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        await lists.get()
        _, writer = await fake.next_call()
        reset(writer)
        target, writer = await fake.next_call()
        assert target == "/discovery/hosts"
        writer.write(told(listing(entry("w1", 5001, "draining"), index=42)))
        assert (await lists.get()).entries[0].server.state.value == "draining"

    with_discovery_client(scenario)


def test_a_fault_of_our_own_does_not_end_the_watch(monkeypatch):
    monkeypatch.setattr("plumpick.gateway.discovery.FAULT_BACKOFF_S", 0.0)

    async def scenario(fake, lists, discovery):
        discovery._on_update = lambda _news: 1 / 0
        _, writer = await fake.next_call()
        writer.write(told(listing(index=41)))
        _, writer = await fake.next_call()
        discovery._on_update = lists.put_nowait
        writer.write(told(listing(index=42)))
        assert (await lists.get()).index == 42

    with_discovery_client(scenario)


def test_a_silent_discovery_is_asked_again(monkeypatch):
    monkeypatch.setattr("plumpick.policy.endpoint_watch.RESPONSE_TIMEOUT_MS", 50.0)

    async def scenario(fake, lists, _discovery):
        for _ in range(3):
            assert (await fake.next_call())[0] == "/discovery/hosts"  # and no answer

        async def answer_all():
            while True:
                _, writer = await fake.next_call()
                writer.write(told(listing(index=7)))

        answering = asyncio.get_running_loop().create_task(answer_all())
        assert (await lists.get()).index == 7
        answering.cancel()

    with_discovery_client(scenario)


def test_refused_connections_are_retried():
    async def scenario():
        probe = socket.create_server((HOST, 0))
        port = probe.getsockname()[1]
        probe.close()
        lists = asyncio.Queue()
        discovery = DiscoveryClient((HOST, port), lists.put_nowait)
        failed = asyncio.Event()
        call = discovery._current._fetch

        async def watched_call(*args):
            try:
                return await call(*args)
            finally:
                failed.set()

        discovery._current._fetch = watched_call
        task = asyncio.get_running_loop().create_task(discovery.run())
        await failed.wait()
        server = await asyncio.start_server(serve_once, HOST, port)
        assert (await lists.get()).index == 9
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()

    async def serve_once(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(told(listing(index=9)))

    run(scenario())
