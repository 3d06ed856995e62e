"""The memory of a gateway process beside crowds of clients and workers that are slow or misuse it."""

import asyncio
import contextlib
import json
from pathlib import Path

import pytest
from support import crowds
from support.fakes import HOST, FakeDiscovery, SocketClient, config, entry, request, run
from support.ports import free_port
from support.processes import send_endpoint_list, start_program, wait_until_ready

MEMORY_MB = 96
SOCKETS = 1024
CLIENTS = 340  # about a third of the descriptors, as clients with an open request may hold
BODY = 4 * 2**20
PIECE = 32 * 1024
WATCHED_S = 4.0
CROWD_MEMORY_MB = 64
CROWD_S = 8.0  # time for which a crowd plays; benchmarks/memory plays for longer


def peak_memory_mb(process):
    """The largest resident memory of the process so far."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    (line,) = [line for line in lines if line.startswith("VmHWM:")]
    return int(line.split()[1]) / 1024


async def read_slowly(reader, writer):
    """A worker that takes 160 kB a second of each request."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n\r\n")
        while await reader.read(PIECE):
            await asyncio.sleep(0.2)
    writer.transport.abort()


async def write_at_once(reader, writer):
    """A worker that gives a response of BODY bytes as fast as it is taken."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY)
        for _ in range(BODY // PIECE):
            writer.write(bytes(PIECE))
            await writer.drain()
    writer.transport.abort()


async def send(port, body):
    """Send a request with this body, or without one, and read nothing."""
    if body:
        head = request(path="/debit", body=b"x")[:-1].replace(b"Length: 1\r", b"Length: %d\r" % len(body))
    else:
        head = request()
    client = SocketClient(port, receive_buffer_bytes=PIECE)
    client.connection.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_sendall(client.connection, head)
        await asyncio.get_running_loop().sock_sendall(client.connection, body)
        await asyncio.sleep(WATCHED_S)
    except OSError:  # answered and closed
        pass
    finally:
        client.close()


@pytest.mark.parametrize(
    ("worker", "body"),
    [(read_slowly, bytes(BODY)), (write_at_once, b"")],
    ids=["uploads to slow workers", "responses to slow clients"],
)
def test_memory_limit_holds_beside_hundreds_of_slow_streams(worker, body, tmp_path):
    """Guards against picture (a) of the operators' letter: a process passed its memory limit and was killed,
    as each stream held up to 512 KiB, and the shares of the memory budget were several budgets together."""

    async def scenario():
        async with FakeDiscovery() as discovery:
            server = await asyncio.start_server(worker, HOST, 0, limit=PIECE)
            listed = entry("w1", server.sockets[0].getsockname()[1])
            port, path = free_port(), tmp_path / "config.json"
            limits = {"sockets": SOCKETS, "memory_mb": MEMORY_MB}
            path.write_text(json.dumps(config(discovery.port, port, [listed], limits=limits)))
            process = await start_program(path)
            try:
                await send_endpoint_list(discovery, listed)
                await wait_until_ready(port)
                await asyncio.gather(*(send(port, body) for _ in range(CLIENTS)))
                assert peak_memory_mb(process) <= MEMORY_MB
            finally:
                process.kill()
                await process.communicate()
                server.close()

    run(scenario())


@contextlib.asynccontextmanager
async def running_process(path, server_count, worker, **limits):
    """A gateway process in front of `server_count` workers; yields the process and its port."""
    async with FakeDiscovery() as discovery:
        servers = [await worker.start() for _ in range(server_count)]
        listed = [
            entry(f"w{number}", server.sockets[0].getsockname()[1]) for number, server in enumerate(servers)
        ]
        port = free_port()
        path.write_text(json.dumps(config(discovery.port, port, listed, limits=limits)))
        process = await start_program(path)
        try:
            await send_endpoint_list(discovery, *listed)
            await wait_until_ready(port)
            yield process, port
        finally:
            process.kill()
            await process.communicate()
            for server in servers:
                server.close()


CROWDS = {
    "uploads that stop": ((crowds.stop_within_upload,), crowds.SlowWorker()),
    "uploads that break off": ((crowds.leave_within_upload,), crowds.SlowWorker()),
    "buffered bodies to slow workers": ((crowds.send_buffered_body,), crowds.SlowWorker(delay_s=6.0)),
    "bodies without their last byte": ((crowds.stop_within_buffered_body,), crowds.SlowWorker()),
    "unread responses": (
        (crowds.pipeline_unread_responses,),
        crowds.SlowWorker(response_bytes=crowds.BUFFERED),
    ),
    "pipelined bodies": ((crowds.pipeline_bodies,), crowds.SlowWorker()),
    "uploads in pieces of two bytes": ((crowds.upload_in_small_pieces,), crowds.SilentWorker()),
    "all kinds": (crowds.MIXED, crowds.SlowWorker(response_bytes=crowds.LARGE)),
}


@pytest.mark.parametrize("crowd", CROWDS)
def test_memory_limit_holds_beside_a_crowd_that_comes_again(crowd, tmp_path):
    """Guards against report fc118f: hundreds of clients that came again when they were closed drove a process
    over its memory limit within seconds, or within half a minute."""
    behaviours, worker = CROWDS[crowd]

    async def scenario():
        async with running_process(
            tmp_path / "config.json", 9, worker, sockets=SOCKETS, memory_mb=CROWD_MEMORY_MB
        ) as (process, port):
            await crowds.play_crowd(port, behaviours, CLIENTS, CROWD_S)
            assert process.returncode is None
            assert peak_memory_mb(process) <= CROWD_MEMORY_MB

    run(scenario())
