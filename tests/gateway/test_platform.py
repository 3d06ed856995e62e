"""Peers and the clock against small fakes."""

import asyncio
import socket

from support.fakes import HOST, config, run

from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.config import parse_config
from plumpick.gateway.peers import Peers
from plumpick.gateway.platform import Platform

# ---- peers --------------------------------------------------------------------------------------


def test_peers_receive_datagrams_of_peers_only():
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
            timers.call_at(start + at_ms, lambda at_ms=at_ms: fire(at_ms))
        timers.call_at(start + 15, lambda: fire(15)).cancel()
        await done.wait()
        assert fired == [0.0, 10.25, 20.0, 30.5]

    run(scenario())


def test_a_timer_that_fails_does_not_stop_the_others():
    async def scenario():
        loop, clock = asyncio.get_running_loop(), Clock()
        loop.set_exception_handler(lambda *_: None)
        timers, done = Timers(loop, clock), asyncio.Event()
        timers.call_at(clock.now(), lambda: 1 / 0)
        timers.call_at(clock.now(), done.set)
        await done.wait()

    run(scenario())


def test_clock_returns_unix_time_and_never_goes_back(monkeypatch):
    clock = Clock()
    first = clock.now()
    monkeypatch.setattr("time.time", lambda: 5.0)  # somebody sets the machine's clock back
    assert clock.now() >= first > 1.6e12
