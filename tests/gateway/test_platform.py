"""Datagrams between gateways on loopback sockets, timers and the clock."""

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
        sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
        for datagram_socket in sockets:
            datagram_socket.bind((HOST, 0))
            datagram_socket.setblocking(False)
        addresses = [f"{HOST}:{datagram_socket.getsockname()[1]}" for datagram_socket in sockets]
        own, peer, unknown_sender = sockets
        own.close()  # the gateway under test binds this address
        addresses[2] = f"{HOST}:1"  # so that the third socket is not bound to the address of a peer
        received = asyncio.Queue()
        peers = Peers(
            parse_config(config(peer_listen=addresses[0], peers=addresses), {}),
            lambda number, data: received.put_nowait((number, data)),
            Platform().create_datagram_socket,
        )
        peers.open(loop)
        gateway_address = (HOST, int(addresses[0].rpartition(":")[2]))
        unknown_sender.sendto(b"stranger", gateway_address)
        peer.sendto(bytes(257), gateway_address)
        peer.sendto(b"hello", gateway_address)
        assert await received.get() == (1, b"hello") and received.empty()
        peers.send(1, bytes(257))  # above the maximum length of a datagram, so not sent
        peers.send(9, b"nobody")
        peers.send(-1, b"all")  # this configuration has no gateway with the number 9 or -1
        peers.send(1, b"back")
        assert await loop.sock_recv(peer, 300) == b"back"
        peers.close()
        peer.close()
        unknown_sender.close()

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


def test_failing_timer_does_not_stop_other_timers():
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
    monkeypatch.setattr("time.time", lambda: 5.0)  # the machine's clock is set back
    assert clock.now() >= first > 1.6e12
