"""Discovery, peers and the clock against small fakes."""

import asyncio
import socket

import pytest
from fakes import HOST, FakeDiscovery, answer, config, entry, listing, reset, run, told

from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.config import parse_config
from plumpick.gateway.discovery import Discovery
from plumpick.gateway.peers import Peers
from plumpick.gateway.platform import Platform

WATCH = "/discovery/hosts?since={}&timeout_ms=2000"


def watched(scenario):
    """Run a scenario with a fake discovery, and a queue of what the gatekeeper is told."""

    async def whole():
        async with FakeDiscovery() as fake:
            lists = asyncio.Queue()
            discovery = Discovery((HOST, fake.port), lists.put_nowait)
            task = asyncio.get_running_loop().create_task(discovery.run())
            await scenario(fake, lists, discovery)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(whole())


def test_the_whole_list_then_a_watch_from_its_version():
    async def scenario(fake, lists, discovery):
        target, writer = await fake.called()
        assert target == "/discovery/hosts" and not discovery.listed.is_set()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        assert (await lists.get()).complete and discovery.listed.is_set()
        target, writer = await fake.called()
        assert target == WATCH.format(41)
        writer.write(told(listing(entry("w1", 5001, "gone"), index=43, snapshot=False)))
        news = await lists.get()
        assert not news.complete and news.entries[0].server.state.value == "gone"
        assert (await fake.called())[0] == WATCH.format(43)

    watched(scenario)


def test_a_watch_that_brings_nothing_goes_on_and_tells_nothing():
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
        writer.write(told(listing(index=41)))
        await lists.get()
        for _ in range(2):
            target, writer = await fake.called()
            assert target == WATCH.format(41)
            writer.write(told(listing(index=41, snapshot=False)))
        await fake.called()
        assert lists.empty()

    watched(scenario)


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
def test_after_an_odd_answer_or_an_end_the_whole_list_is_asked_again(reply):
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
        writer.write(told(listing(index=41)))
        await lists.get()
        _, writer = await fake.called()
        if reply is None:
            writer.transport.abort()
        else:
            writer.write(reply)
        target, writer = await fake.called()
        assert target == "/discovery/hosts"
        writer.write(told(listing(entry("w1", 5001), index=44)))
        assert (await lists.get()).index == 44

    watched(scenario)


def test_an_entry_that_cannot_be_read_does_not_spoil_the_list():
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
        odd = [{"name": "w"}, 3, entry("w2", 0), entry("w3", 5001, "asleep")]
        writer.write(told(listing(*odd, entry("w1", 5001), index=41)))
        news = await lists.get()
        assert [one.server.id for one in news.entries] == ["w1"] and news.complete
        assert (await fake.called())[0] == WATCH.format(41)

    watched(scenario)


def test_a_watch_moves_and_begins_with_the_whole_list():
    """Whatever it is doing at the old address: here a watch waits, and then a call that has no answer."""

    async def scenario(fake, lists, discovery):
        _, writer = await fake.called()
        writer.write(told(listing(index=41)))
        await lists.get()
        assert (await fake.called())[0] == WATCH.format(41)
        async with FakeDiscovery() as silent, FakeDiscovery() as new:
            discovery.move((HOST, silent.port))
            await silent.called()
            discovery.move((HOST, new.port))
            target, writer = await new.called()
            assert target == "/discovery/hosts"
            writer.write(told(listing(entry("w9", 5009), index=3)))
            assert (await lists.get()).index == 3
            assert (await new.called())[0] == WATCH.format(3)
            assert fake.calls.empty() and silent.calls.empty()

    watched(scenario)


async def has_read(discovery):
    """A part of an answer has come and waits for the rest."""
    while not discovery._serving._reader._buffer:
        await asyncio.sleep(0)


def test_what_the_old_address_has_begun_to_tell_is_not_dropped_by_a_move():
    """What discovery has written counts as told. A move dropped the call that was under way, and what was
    read of its answer; the new address may be dead or silent."""

    async def scenario(fake, lists, discovery):
        _, writer = await fake.called()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        await lists.get()
        _, writer = await fake.called()
        news = told(listing(entry("w1", 5001, "draining"), index=42, snapshot=False))
        writer.write(news[:-30])
        await has_read(discovery)
        async with FakeDiscovery() as silent:
            discovery.move((HOST, silent.port))
            await silent.called()
            writer.write(news[-30:])
            assert (await lists.get()).entries[0].server.state.value == "draining"
            assert (await fake.called())[0] == WATCH.format(42)  # it is listened to until the new one tells

    watched(scenario)


def test_a_move_to_a_dead_address_and_back_again_loses_nothing():
    async def scenario(fake, lists, discovery):
        _, writer = await fake.called()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        await lists.get()
        _, writer = await fake.called()
        with socket.create_server((HOST, 0)) as probe:
            dead = probe.getsockname()[1]
        discovery.move((HOST, dead))
        async with FakeDiscovery() as silent:
            discovery.move((HOST, silent.port))  # twice, within a turn
            discovery.move((HOST, silent.port))
            await silent.called()
            discovery.move((HOST, fake.port))
            writer.write(told(listing(entry("w1", 5001, "gone"), index=42, snapshot=False)))
            assert (await lists.get()).index == 42
            assert (await fake.called())[0] == WATCH.format(42)
            assert len(discovery._tasks) == 1 and silent.calls.empty()

    watched(scenario)


def test_what_the_old_address_tells_once_the_new_one_has_told_its_list_is_not_taken():
    async def scenario(fake, lists, discovery):
        _, writer = await fake.called()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        await lists.get()
        _, writer = await fake.called()
        async with FakeDiscovery() as new:
            discovery.move((HOST, new.port))
            _, other = await new.called()
            other.write(told(listing(entry("w9", 5009), index=3)))
            assert (await lists.get()).index == 3
            writer.write(told(listing(entry("w1", 5001), index=45)))  # whole, and late
            for index in (4, 5):
                _, other = await new.called()
                other.write(told(listing(entry("w9", 5009, "gone"), index=index, snapshot=False)))
                assert (await lists.get()).index == index
            assert lists.empty() and len(discovery._tasks) == 1

    watched(scenario)


@pytest.mark.parametrize("is_reset", [False, True])
def test_a_list_with_no_length_ends_with_its_connection_and_never_with_a_reset(is_reset):
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
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
        target, writer = await fake.called()
        assert target == ("/discovery/hosts" if is_reset else WATCH.format(41)) and lists.empty()

    watched(scenario)


def test_a_watch_that_is_reset_just_behind_its_answer_is_opened_anew_at_once():
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        await lists.get()
        _, writer = await fake.called()
        reset(writer)
        target, writer = await fake.called()
        assert target == "/discovery/hosts"
        writer.write(told(listing(entry("w1", 5001, "draining"), index=42)))
        assert (await lists.get()).entries[0].server.state.value == "draining"

    watched(scenario)


def test_a_fault_of_ours_does_not_end_the_watch(monkeypatch):
    monkeypatch.setattr("plumpick.gateway.discovery.FAULT_WAIT_S", 0.0)

    async def scenario(fake, lists, discovery):
        discovery._told = lambda _news: 1 / 0
        _, writer = await fake.called()
        writer.write(told(listing(index=41)))
        _, writer = await fake.called()
        discovery._told = lists.put_nowait
        writer.write(told(listing(index=42)))
        assert (await lists.get()).index == 42

    watched(scenario)


def test_silence_is_survived(monkeypatch):
    monkeypatch.setattr("plumpick.policy.endpoint_watch.CALL_MS", 50.0)

    async def scenario(fake, lists, _discovery):
        for _ in range(3):
            assert (await fake.called())[0] == "/discovery/hosts"  # and no answer

        async def answer_all():
            while True:
                _, writer = await fake.called()
                writer.write(told(listing(index=7)))

        answering = asyncio.get_running_loop().create_task(answer_all())
        assert (await lists.get()).index == 7
        answering.cancel()

    watched(scenario)


def test_refusals_are_survived():
    async def scenario():
        probe = socket.create_server((HOST, 0))
        port = probe.getsockname()[1]
        probe.close()
        lists = asyncio.Queue()
        discovery = Discovery((HOST, port), lists.put_nowait)
        failed = asyncio.Event()
        call = discovery._serving._call

        async def watched_call(*args):
            try:
                return await call(*args)
            finally:
                failed.set()

        discovery._serving._call = watched_call
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


# ---- peers --------------------------------------------------------------------------------------


def test_peers_hear_each_other_and_no_stranger():
    async def scenario():
        loop = asyncio.get_running_loop()
        plugs = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
        for plug in plugs:
            plug.bind((HOST, 0))
            plug.setblocking(False)
        addresses = [f"{HOST}:{plug.getsockname()[1]}" for plug in plugs]
        own, peer, stranger = plugs
        own.close()  # the gatekeeper takes this address
        addresses[2] = f"{HOST}:1"
        heard = asyncio.Queue()
        peers = Peers(
            parse_config(config(peer_listen=addresses[0], peers=addresses), {}),
            lambda number, data: heard.put_nowait((number, data)),
            Platform().create_datagram_socket,
        )
        peers.open(loop)
        there = (HOST, int(addresses[0].rpartition(":")[2]))
        stranger.sendto(b"stranger", there)
        peer.sendto(bytes(257), there)
        peer.sendto(b"hello", there)
        assert await heard.get() == (1, b"hello") and heard.empty()
        peers.send(1, bytes(257))  # too long: not sent
        peers.send(9, b"nobody")
        peers.send(-1, b"all")  # no such address in this configuration
        peers.send(1, b"back")
        assert await loop.sock_recv(peer, 300) == b"back"
        peers.close()
        peer.close()
        stranger.close()

    run(scenario())


# ---- the clock ----------------------------------------------------------------------------------


def test_timers_fire_in_order_and_never_early():
    async def scenario():
        loop, clock = asyncio.get_running_loop(), Clock()
        timers, fired, done = Timers(loop, clock), [], asyncio.Event()
        start = clock.now()

        def fire(at_ms):
            fired.append(at_ms)
            assert clock.now() >= start + at_ms
            if at_ms == 30.5:
                done.set()

        for at_ms in (30.5, 10.25, 20.0, 0.0):
            timers.at(start + at_ms, lambda at_ms=at_ms: fire(at_ms))
        timers.at(start + 15, lambda: fire(15)).cancel()
        await done.wait()
        assert fired == [0.0, 10.25, 20.0, 30.5]

    run(scenario())


def test_a_timer_that_fails_does_not_stop_the_others():
    async def scenario():
        loop, clock = asyncio.get_running_loop(), Clock()
        loop.set_exception_handler(lambda *_: None)
        timers, done = Timers(loop, clock), asyncio.Event()
        timers.at(clock.now(), lambda: 1 / 0)
        timers.at(clock.now(), done.set)
        await done.wait()

    run(scenario())


def test_the_clock_tells_unix_time_and_only_advances(monkeypatch):
    clock = Clock()
    first = clock.now()
    monkeypatch.setattr("time.time", lambda: 5.0)  # somebody sets the machine's clock back
    assert clock.now() >= first > 1.6e12
