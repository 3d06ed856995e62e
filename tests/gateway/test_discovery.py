"""Discovery client against a discovery stub whose responses each test writes itself."""

import asyncio
import socket

import pytest
from support.fakes import HOST, FakeDiscovery, entry, http_response, json_response, listing, reset, run

from plumpick.gateway.discovery import DiscoveryClient

WATCH = "/discovery/hosts?since={}&timeout_ms=2000"


def with_discovery_client(scenario):
    """Run `scenario` with a discovery stub, a queue of the updates from the client, and the client."""

    async def run_scenario():
        async with FakeDiscovery() as fake:
            updates = asyncio.Queue()
            discovery = DiscoveryClient((HOST, fake.port), updates.put_nowait)
            task = asyncio.get_running_loop().create_task(discovery.run())
            await scenario(fake, updates, discovery)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(run_scenario())


def test_a_snapshot_is_followed_by_a_watch_from_its_index():
    async def scenario(fake, updates, discovery):
        target, writer = await fake.next_call()
        assert target == "/discovery/hosts" and not discovery.has_snapshot.is_set()
        writer.write(json_response(listing(entry("w1", 5001), index=41)))
        assert (await updates.get()).complete and discovery.has_snapshot.is_set()
        target, writer = await fake.next_call()
        assert target == WATCH.format(41)
        writer.write(json_response(listing(entry("w1", 5001, "gone"), index=43, snapshot=False)))
        update = await updates.get()
        assert not update.complete and update.entries[0].server.state.value == "gone"
        assert (await fake.next_call())[0] == WATCH.format(43)

    with_discovery_client(scenario)


def test_watch_without_changes_continues_and_reports_no_update():
    async def scenario(fake, updates, _discovery):
        _, writer = await fake.next_call()
        writer.write(json_response(listing(index=41)))
        await updates.get()
        for _ in range(2):
            target, writer = await fake.next_call()
            assert target == WATCH.format(41)
            writer.write(json_response(listing(index=41, snapshot=False)))
        await fake.next_call()
        assert updates.empty()

    with_discovery_client(scenario)


@pytest.mark.parametrize(
    "reply",
    [
        http_response(500),
        http_response(body=b"no json"),
        http_response(body=b"[" * 100_000),
        http_response(body=b"3"),
        b"noise\r\n\r\n",
        http_response(body=b'{"index":42,"endpoints":3}'),
        json_response(listing(index=40, snapshot=False)),
        None,
    ],
)
def test_snapshot_is_requested_after_a_malformed_response_or_a_closed_connection(reply):
    async def scenario(fake, updates, _discovery):
        _, writer = await fake.next_call()
        writer.write(json_response(listing(index=41)))
        await updates.get()
        _, writer = await fake.next_call()
        if reply is None:
            writer.transport.abort()
        else:
            writer.write(reply)
        target, writer = await fake.next_call()
        assert target == "/discovery/hosts"
        writer.write(json_response(listing(entry("w1", 5001), index=44)))
        assert (await updates.get()).index == 44

    with_discovery_client(scenario)


def test_response_that_switches_protocols_is_a_failed_call(caplog):
    """Guards against a 101 that ended the watch with an exception, a traceback in the log and a delay."""

    async def scenario(fake, updates, _discovery):
        _, writer = await fake.next_call()
        writer.write(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n")
        _, writer = await fake.next_call()
        writer.write(json_response(listing(entry("w1", 5001), index=44)))
        assert (await updates.get()).index == 44

    with_discovery_client(scenario)
    assert "switched to another protocol" in caplog.text
    assert not [record for record in caplog.records if record.exc_info]


def test_malformed_endpoint_is_omitted_from_the_list():
    async def scenario(fake, updates, _discovery):
        _, writer = await fake.next_call()
        malformed = [{"name": "w"}, 3, entry("w2", 0), entry("w3", 5001, "asleep")]
        writer.write(json_response(listing(*malformed, entry("w1", 5001), index=41)))
        update = await updates.get()
        assert [one.server.id for one in update.entries] == ["w1"] and update.complete
        assert (await fake.next_call())[0] == WATCH.format(41)

    with_discovery_client(scenario)


def test_snapshot_is_requested_at_a_changed_address():
    """The address changes twice: once during a watch, once while a request is unanswered."""

    async def scenario(fake, updates, discovery):
        _, writer = await fake.next_call()
        writer.write(json_response(listing(index=41)))
        await updates.get()
        assert (await fake.next_call())[0] == WATCH.format(41)
        async with FakeDiscovery() as unresponsive, FakeDiscovery() as new:
            discovery.change_address((HOST, unresponsive.port))
            await unresponsive.next_call()
            discovery.change_address((HOST, new.port))
            target, writer = await new.next_call()
            assert target == "/discovery/hosts"
            writer.write(json_response(listing(entry("w9", 5009), index=3)))
            assert (await updates.get()).index == 3
            assert (await new.next_call())[0] == WATCH.format(3)
            assert fake.calls.empty() and unresponsive.calls.empty()

    with_discovery_client(scenario)


async def wait_for_partial_response(discovery):
    """Wait until the client has received part of a response."""
    while not discovery._current._connection._reader._buffer:
        await asyncio.sleep(0)


def test_partly_received_update_is_not_lost_when_the_address_changes():
    """Guards against an address change that drops the running watch and the part of its response that was
    read. Discovery doesn't repeat an update that it has sent, and the new address may be unreachable."""

    async def scenario(fake, updates, discovery):
        _, writer = await fake.next_call()
        writer.write(json_response(listing(entry("w1", 5001), index=41)))
        await updates.get()
        _, writer = await fake.next_call()
        update = json_response(listing(entry("w1", 5001, "draining"), index=42, snapshot=False))
        writer.write(update[:-30])
        await wait_for_partial_response(discovery)
        async with FakeDiscovery() as unresponsive:
            discovery.change_address((HOST, unresponsive.port))
            await unresponsive.next_call()
            writer.write(update[-30:])
            assert (await updates.get()).entries[0].server.state.value == "draining"
            # The watch at the old address continues until the new address sends a snapshot.
            assert (await fake.next_call())[0] == WATCH.format(42)

    with_discovery_client(scenario)


def test_address_change_to_an_unreachable_service_and_back_loses_no_update():
    async def scenario(fake, updates, discovery):
        _, writer = await fake.next_call()
        writer.write(json_response(listing(entry("w1", 5001), index=41)))
        await updates.get()
        _, writer = await fake.next_call()
        with socket.create_server((HOST, 0)) as probe:
            closed_port = probe.getsockname()[1]
        discovery.change_address((HOST, closed_port))
        async with FakeDiscovery() as unresponsive:
            discovery.change_address((HOST, unresponsive.port))  # twice in one turn of the event loop
            discovery.change_address((HOST, unresponsive.port))
            await unresponsive.next_call()
            discovery.change_address((HOST, fake.port))
            writer.write(json_response(listing(entry("w1", 5001, "gone"), index=42, snapshot=False)))
            assert (await updates.get()).index == 42
            assert (await fake.next_call())[0] == WATCH.format(42)
            assert len(discovery._tasks) == 1 and unresponsive.calls.empty()

    with_discovery_client(scenario)


def test_old_address_is_ignored_after_the_new_one_has_sent_a_snapshot():
    async def scenario(fake, updates, discovery):
        _, writer = await fake.next_call()
        writer.write(json_response(listing(entry("w1", 5001), index=41)))
        await updates.get()
        _, writer = await fake.next_call()
        async with FakeDiscovery() as new:
            discovery.change_address((HOST, new.port))
            _, other = await new.next_call()
            other.write(json_response(listing(entry("w9", 5009), index=3)))
            assert (await updates.get()).index == 3
            writer.write(json_response(listing(entry("w1", 5001), index=45)))  # a late snapshot
            for index in (4, 5):
                _, other = await new.next_call()
                other.write(json_response(listing(entry("w9", 5009, "gone"), index=index, snapshot=False)))
                assert (await updates.get()).index == index
            assert updates.empty() and len(discovery._tasks) == 1

    with_discovery_client(scenario)


@pytest.mark.parametrize("is_reset", [False, True])
def test_list_without_content_length_is_accepted_at_end_of_connection_but_not_after_a_reset(is_reset):
    async def scenario(fake, updates, _discovery):
        _, writer = await fake.next_call()
        body = json_response(listing(entry("w1", 5001), index=41)).partition(b"\r\n\r\n")[2]
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        if is_reset:
            await writer.drain()
            while writer.transport.get_write_buffer_size():
                await asyncio.sleep(0)
            reset(writer)
        else:
            writer.close()
        if not is_reset:
            assert (await updates.get()).index == 41
        target, writer = await fake.next_call()
        assert target == ("/discovery/hosts" if is_reset else WATCH.format(41)) and updates.empty()

    with_discovery_client(scenario)


def test_reset_watch_is_followed_by_a_snapshot_request():
    async def scenario(fake, updates, _discovery):
        _, writer = await fake.next_call()
        writer.write(json_response(listing(entry("w1", 5001), index=41)))
        await updates.get()
        _, writer = await fake.next_call()
        reset(writer)
        target, writer = await fake.next_call()
        assert target == "/discovery/hosts"
        writer.write(json_response(listing(entry("w1", 5001, "draining"), index=42)))
        assert (await updates.get()).entries[0].server.state.value == "draining"

    with_discovery_client(scenario)


def test_exception_in_the_update_callback_does_not_end_the_watch(monkeypatch):
    monkeypatch.setattr("plumpick.gateway.discovery.FAULT_BACKOFF_S", 0.0)

    async def scenario(fake, updates, discovery):
        discovery._on_update = lambda _update: 1 / 0
        _, writer = await fake.next_call()
        writer.write(json_response(listing(index=41)))
        _, writer = await fake.next_call()
        discovery._on_update = updates.put_nowait
        writer.write(json_response(listing(index=42)))
        assert (await updates.get()).index == 42

    with_discovery_client(scenario)


def test_request_to_discovery_is_repeated_after_the_response_timeout(monkeypatch):
    monkeypatch.setattr("plumpick.policy.endpoint_watch.RESPONSE_TIMEOUT_MS", 50.0)

    async def scenario(fake, updates, _discovery):
        for _ in range(3):
            assert (await fake.next_call())[0] == "/discovery/hosts"  # left unanswered

        async def answer_calls():
            while True:
                _, writer = await fake.next_call()
                writer.write(json_response(listing(index=7)))

        answering = asyncio.get_running_loop().create_task(answer_calls())
        assert (await updates.get()).index == 7
        answering.cancel()

    with_discovery_client(scenario)


def test_refused_connections_are_retried():
    async def scenario():
        probe = socket.create_server((HOST, 0))
        port = probe.getsockname()[1]
        probe.close()
        updates = asyncio.Queue()
        discovery = DiscoveryClient((HOST, port), updates.put_nowait)
        failed = asyncio.Event()
        fetch = discovery._current._fetch

        async def fetch_and_report(*args):
            try:
                return await fetch(*args)
            finally:
                failed.set()

        discovery._current._fetch = fetch_and_report
        task = asyncio.get_running_loop().create_task(discovery.run())
        await failed.wait()
        server = await asyncio.start_server(serve_once, HOST, port)
        assert (await updates.get()).index == 9
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()

    async def serve_once(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(json_response(listing(index=9)))

    run(scenario())
