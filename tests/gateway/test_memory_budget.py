"""The account of the memory that peers can make a gateway hold: its arithmetic, and its bounds in service."""

import asyncio
import errno
import logging
from types import SimpleNamespace

import pytest
from support.crowds import head
from support.fakes import (
    Client,
    ControllerStub,
    RunningGateway,
    SocketClient,
    entry,
    http_response,
    request,
    run,
    run_with_worker,
    shrink_send_buffer,
)
from support.raw_client import RawWorker, read_head, request_at_raw_worker

from plumpick.gateway.listeners.http import connection_admission
from plumpick.gateway.listeners.http.connection import ClientConnection
from plumpick.gateway.memory_budget import (
    BODY_CEILING_RATIO,
    BYTES_PER_MB,
    RESPONSE_RATIO,
    SMALL_REQUEST_BYTES,
    SMALL_REQUEST_CEILING_RATIO,
    UPLOAD_CEILING_RATIO,
    MemoryBudget,
    MemoryHolder,
    MemoryLevel,
)
from plumpick.gateway.memory_limits import (
    ACCOUNT_BYTES,
    ALLOCATOR_RATIO,
    CONNECTION_BYTES,
    CONNECTION_DESCRIPTOR_RATIO,
    LEDGER_BYTES,
    OWN_GROWTH_BYTES,
    RESPONSE_BYTES,
    UPSTREAM_DESCRIPTOR_RATIO,
    MemoryLimits,
    total_bytes_within,
)
from plumpick.gateway.memory_monitor import MIN_PRESSURE_MS, TRIM_INTERVAL_MS, MemoryMonitor
from plumpick.gateway.read_buffer import CROWDED_READ_BYTES, EXHAUSTED_READ_BYTES, ReadBuffer
from plumpick.gateway.upstream.buffered_response import BufferedResponse
from plumpick.gateway.upstream.streaming_body import (
    MAX_PARTS,
    MIN_HIGH_WATER_BYTES,
    READ_BYTES,
    StreamBudget,
    StreamingBody,
)
from plumpick.policy.events import AttemptCompleted, AttemptResult, RequestReceived
from plumpick.simulation.world import SimulatedPlatform

BODY = 60_000
BASELINE_BYTES = 28 * BYTES_PER_MB


def exhaust(gate, left_bytes=0):
    """Use the gateway's memory up to `left_bytes` below the ceiling of bodies."""
    memory = gate.gateway.memory
    memory.add(MemoryHolder.STREAMS, memory.body_ceiling - left_bytes - memory.used_bytes)


def record_client_connections(monkeypatch):
    """Return a list to which each new connection of a client is added."""
    connections, original = [], ClientConnection.connection_made

    def connection_made(connection, transport):
        connections.append(connection)
        original(connection, transport)

    monkeypatch.setattr(ClientConnection, "connection_made", connection_made)
    return connections


# -- arithmetic


@pytest.mark.parametrize(
    "descriptors, memory_mb", [(256, 40), (256, 192), (1024, 48), (1024, 64), (1024, 192)]
)
def test_the_bounds_of_all_holders_together_are_within_the_memory_limit(descriptors, memory_mb):
    """The worst mix: the total, and beyond it what can't be refused, on every connection at a time."""
    total = total_bytes_within(memory_mb * BYTES_PER_MB, BASELINE_BYTES, descriptors)
    connections = int(descriptors * CONNECTION_DESCRIPTOR_RATIO) * CONNECTION_BYTES
    responses = int(descriptors * UPSTREAM_DESCRIPTOR_RATIO) * RESPONSE_BYTES
    used = total * (SMALL_REQUEST_CEILING_RATIO + RESPONSE_RATIO)
    held = BASELINE_BYTES + OWN_GROWTH_BYTES + connections + responses + used / (1 - ALLOCATOR_RATIO)
    assert held <= memory_mb * BYTES_PER_MB
    assert max(EXHAUSTED_READ_BYTES, SMALL_REQUEST_BYTES) <= CONNECTION_BYTES // 2
    assert MIN_HIGH_WATER_BYTES + EXHAUSTED_READ_BYTES <= RESPONSE_BYTES
    assert UPLOAD_CEILING_RATIO < BODY_CEILING_RATIO < SMALL_REQUEST_CEILING_RATIO < 1


def test_refusable_bytes_are_refused_above_their_ceilings_uploads_first_and_small_requests_last():
    memory = MemoryBudget(10 * BYTES_PER_MB)
    streams = StreamBudget(memory)
    while share := streams.next_upload_share_bytes():
        streams.reserve(share)
    assert memory.used_bytes <= memory.upload_ceiling
    while memory.reserve_request(0, BODY):
        pass
    assert memory.upload_ceiling < memory.used_bytes <= memory.body_ceiling
    while memory.reserve_request(0, SMALL_REQUEST_BYTES):
        pass
    assert memory.body_ceiling < memory.used_bytes <= memory.small_request_ceiling
    assert not memory.reserve_request(SMALL_REQUEST_BYTES, 1) and memory.level is MemoryLevel.EXHAUSTED
    assert streams.next_share_bytes() == MIN_HIGH_WATER_BYTES


def test_counters_return_to_zero_and_keep_the_peaks():
    memory = MemoryBudget(BYTES_PER_MB)
    memory.add(MemoryHolder.RESPONSES, BYTES_PER_MB)
    assert memory.reserve_request(0, 1) is False
    memory.release(MemoryHolder.RESPONSES, BYTES_PER_MB)
    assert memory.held_bytes == [0, 0, 0] and memory.used_bytes == 0 and memory.level is MemoryLevel.NORMAL
    assert memory.peak_held_bytes == [0, 0, BYTES_PER_MB] and memory.peak_bytes == BYTES_PER_MB


def test_reads_are_short_while_the_memory_is_exhausted():
    memory = MemoryBudget(BYTES_PER_MB)
    buffer = ReadBuffer(memory)
    sizes = []
    for _ in range(5):
        sizes.append(len(buffer.view()))
        memory.add(MemoryHolder.REQUESTS, BYTES_PER_MB // 4)
    assert sizes == [65536, 16384, 16384, EXHAUSTED_READ_BYTES, EXHAUSTED_READ_BYTES]


def test_two_processes_of_a_hot_restart_share_the_limit():
    limits = MemoryLimits(192, 1024)
    limits.set_baseline(BASELINE_BYTES)
    alone = limits.budget.total_bytes
    limits.set_process_count(2)
    limits.set_descriptors(512)
    assert limits.budget.total_bytes == total_bytes_within(96 * BYTES_PER_MB, BASELINE_BYTES, 512) < alone / 2
    limits.set_process_count(1)
    limits.set_descriptors(1024)
    assert limits.budget.total_bytes == alone


def test_small_parts_are_joined_since_a_part_costs_more_than_its_bytes():
    body = StreamingBody(SimpleNamespace(pause=lambda: None), -1, 10**6, lambda: 0.0)
    response = BufferedResponse(MemoryBudget(BYTES_PER_MB))
    for number in range(10_000):
        body.feed(b"%04d" % number)
        response.append(b"%04d" % number)
        response.reserve(-1)
        assert len(body.waiting) <= MAX_PARTS + 1 and len(response._parts) <= MAX_PARTS + 1
    expected = b"".join(b"%04d" % number for number in range(10_000))
    assert b"".join(body.waiting) == response.take() == expected


# -- what is said


def test_pressure_is_logged_once_with_its_reason_and_freed_memory_is_returned(caplog):
    limits, trims = MemoryLimits(64, 256), []
    monitor = MemoryMonitor(limits, lambda: trims.append(1), lambda: BASELINE_BYTES)
    memory = limits.budget
    size = memory.total_bytes
    with caplog.at_level(logging.INFO):
        for now in range(0, 1000, 100):
            if now == 100:
                memory.add(MemoryHolder.RESPONSES, size)
            monitor.sweep(now)
        memory.release(MemoryHolder.RESPONSES, size)
        for now in range(1000, 1200 + int(max(MIN_PRESSURE_MS, TRIM_INTERVAL_MS)), 100):
            monitor.sweep(now)
    begun, ended = [record.getMessage() for record in caplog.records]
    assert begun.startswith("memory pressure has begun: buffers are small") and "limit_mb=64" in begun
    assert f"responses_kb={size // 1024}" in begun
    assert ended.startswith("memory pressure has ended") and "responses_kb=0" in ended
    assert f"responses_peak_kb={size // 1024}" in ended and trims == [1]


def test_pressure_is_reported_while_no_descriptor_is_free_to_read_the_resident_memory(caplog):
    """Guards against sweeps that break off: the resident memory is read from a file, which may fail."""

    def fail():
        raise OSError(errno.EMFILE, "Too many open files")

    limits = MemoryLimits(64, 256)
    monitor = MemoryMonitor(limits, lambda: None, fail)
    limits.budget.add(MemoryHolder.RESPONSES, limits.budget.total_bytes)
    monitor.sweep(100.0)
    assert "memory pressure has begun" in caplog.text and "resident_mb=unknown" in caplog.text


def test_memory_call_tells_what_is_held_by_whom():
    async def scenario(worker, gate, client):
        client.send(head(BODY) + bytes(BODY - 1))
        while gate.gateway.memory.held_bytes[MemoryHolder.REQUESTS] < BODY:
            await asyncio.sleep(0.01)
        reply = gate.gateway.execute_command("MEMORY", "")
        fields = dict(field.split("=") for field in reply.split())
        assert fields["limit_mb"] == "192" and fields["level"] == "normal"
        assert BODY // 1024 <= int(fields["requests_kb"]) <= BODY // 1024 + 2
        assert fields["requests_refused"] == fields["streams_refused"] == "0"

    run_with_worker(scenario)


# -- in service


def test_requests_are_rejected_without_an_attempt_while_the_memory_is_used_up():
    """Guards against buffered bodies that no budget counts: 340 of 60 kB took a process over its limit within
    0.2 s."""

    async def scenario(worker, gate, client):
        exhaust(gate)
        client.send(head(BODY) + bytes(BODY))
        assert (await client.read_response())[0] == 503
        client.send(request(path="/none"))  # the connection stays open
        assert (await client.read_response())[0] == 404
        upload = await gate.client()
        upload.send(head(10**6) + bytes(1000))
        assert (await upload.read_response())[0] == 503
        assert not [event for event in gate.controller.events if isinstance(event, RequestReceived)]
        assert gate.gateway.memory.refused_counts == [1, 1, 0]
        small = await gate.client()
        small.send(request())
        (await worker.next_request())[1].write(http_response())
        assert (await small.read_response())[0] == 200

    run_with_worker(scenario)


def test_a_stopped_request_gives_way_to_one_that_is_sent_and_is_answered(monkeypatch):
    monkeypatch.setattr(connection_admission, "EXHAUSTED_STOPPED_SENDING_MS", 50.0)

    async def scenario(worker, gate, client):
        exhaust(gate, BODY + 10_000)
        client.send(head(BODY) + bytes(BODY - 1))
        await asyncio.sleep(0.1)
        other = await gate.client()
        other.send(head(BODY) + bytes(BODY))
        assert (await client.read_response())[0] == 503
        (await worker.next_request())[1].write(http_response())
        assert (await other.read_response())[0] == 200

    run_with_worker(scenario)


def test_response_waits_unread_until_there_is_memory_for_all_of_it():
    """Guards against responses of up to 64 KiB that are passed on in part while the memory is used up."""

    async def scenario():
        async with request_at_raw_worker() as (gate, client, writer):
            memory = gate.gateway.memory
            memory.add(MemoryHolder.RESPONSES, memory.total_bytes)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY + bytes(BODY))
            await asyncio.sleep(0.1)
            (attempt,) = gate.gateway.requests.attempts.values()
            assert attempt.connection.is_waiting_for_memory
            assert len(attempt.connection.buffered) <= EXHAUSTED_READ_BYTES
            memory.release(MemoryHolder.RESPONSES, memory.total_bytes)
            head_received = await client.reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head_received and len(await client.reader.readexactly(BODY)) == BODY
            assert not memory.used_bytes

    run(scenario())


def test_response_that_waits_for_memory_until_its_time_is_over_is_not_held_against_its_worker():
    async def scenario():
        async with request_at_raw_worker(ControllerStub(timeout_ms=200.0)) as (gate, client, writer):
            memory = gate.gateway.memory
            memory.add(MemoryHolder.RESPONSES, memory.total_bytes)
            writer.write(http_response(body=bytes(BODY)))
            assert (await client.read_response())[0] == 502
            event = await gate.controller.next_event(AttemptCompleted)
            assert event.result is AttemptResult.CANCELLED
            memory.release(MemoryHolder.RESPONSES, memory.total_bytes)
            assert not memory.used_bytes and not memory._waiting_responses

    run(scenario())


@pytest.mark.parametrize("deadline", [400, 10_000])
def test_body_waits_unread_until_there_is_memory_and_its_time_runs(deadline):
    """Guards against two refusals of three while a dozen sound bodies use up the memory for a moment."""

    async def scenario(worker, gate, client):
        exhaust(gate, 5000)
        memory = gate.gateway.memory
        sent = head(BODY).replace(b"X-Deadline-Ms: 10000", b"X-Deadline-Ms: %d" % deadline)
        client.send(sent + bytes(BODY) + request())
        await asyncio.sleep(0.06)
        assert not [event for event in gate.controller.events if isinstance(event, RequestReceived)]
        assert memory.held_bytes[MemoryHolder.REQUESTS] <= CROWDED_READ_BYTES
        memory.release(MemoryHolder.STREAMS, memory.held_bytes[MemoryHolder.STREAMS])
        event = await gate.controller.next_event(RequestReceived)
        now = gate.gateway.clock.now()
        assert deadline - 200.0 < event.deadline_ms - now < deadline - 60.0
        for _ in range(2):
            (await worker.next_request())[1].write(http_response())
            assert (await client.read_response())[0] == 200
        assert not memory.used_bytes and not memory._waiting_requests

    run_with_worker(scenario)


def test_body_that_waits_in_vain_is_refused_whole_and_in_time():
    async def scenario(worker, gate, client):
        exhaust(gate, 5000)
        started_s = asyncio.get_running_loop().time()
        client.send(head(BODY).replace(b"X-Deadline-Ms: 10000", b"X-Deadline-Ms: 800") + bytes(BODY))
        client.send(request())
        assert (await client.read_response())[0] == 503
        assert 0.15 < asyncio.get_running_loop().time() - started_s < 0.3
        (await worker.next_request())[1].write(http_response())
        assert (await client.read_response())[0] == 200

    run_with_worker(scenario)


def test_client_is_not_told_to_continue_before_its_waiting_request_is_refused():
    """Guards against 100 Continue right before the 503 of a request that has waited for memory in vain."""

    async def scenario(worker, gate, client):
        exhaust(gate, 5000)
        expecting = head(BODY).replace(b"X-Deadline-Ms: 10000", b"X-Deadline-Ms: 400\r\nExpect: 100-continue")
        client.send(expecting)
        assert (await client.reader.readuntil(b"\r\n")).split()[1] == b"503"

    run_with_worker(scenario)


def test_client_that_leaves_while_its_body_waits_leaves_nothing_behind():
    async def scenario(worker, gate, client):
        exhaust(gate, 5000)
        memory = gate.gateway.memory
        client.send(head(BODY) + bytes(BODY // 2))
        while not memory._waiting_requests:
            await asyncio.sleep(0.01)
        client.close()
        while gate.listener.admission.connections:
            await asyncio.sleep(0.01)
        assert not memory._waiting_requests and not memory.held_bytes[MemoryHolder.REQUESTS]

    run_with_worker(scenario)


def test_unread_response_is_counted_until_the_kernel_has_taken_it(monkeypatch):
    """Guards against unread responses that no budget counts, and holds the next request back meanwhile."""
    connections = record_client_connections(monkeypatch)

    async def scenario():
        async with (
            RawWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            client = SocketClient(gate.port, receive_buffer_bytes=4096)
            while not connections:
                await asyncio.sleep(0)
            shrink_send_buffer(connections[0])
            client.send(request() + request())
            reader, writer = await worker.accepted.get()
            await read_head(reader)
            writer.write(http_response(body=bytes(BODY)))
            memory = gate.gateway.memory
            while not memory.held_bytes[MemoryHolder.RESPONSES]:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert len([event for event in gate.controller.events if isinstance(event, RequestReceived)]) == 1
            received = 0
            while received < BODY:
                received += len(await client.receive())
            assert await gate.controller.next_event(RequestReceived)
            client.close()
            while memory.held_bytes[MemoryHolder.RESPONSES]:
                await asyncio.sleep(0.01)

    run(scenario())


def test_a_body_that_its_worker_does_not_take_is_dropped_with_its_request():
    async def scenario():
        async with (
            RawWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            client = await Client().open(gate.port)
            client.send(head(BODY) + bytes(BODY))
            reader, writer = await worker.accepted.get()
            await read_head(reader)
            (attempt,) = gate.gateway.requests.attempts.values()
            attempt.connection.has_unsent_bytes = True  # as if the kernel had not taken the whole request
            client.close()
            while gate.gateway.requests.attempts:
                await asyncio.sleep(0.01)
            assert not attempt.body and attempt.connection.is_closed

    run(scenario())


def test_upload_stops_are_found_sooner_while_the_memory_is_used_up(monkeypatch):
    monkeypatch.setattr("plumpick.gateway.body_streams.EXHAUSTED_UPLOAD_STALL_MS", 100.0)

    async def scenario(worker, gate, client):
        client.send(head(10**6) + bytes(100_000))
        await gate.controller.next_event(RequestReceived)
        exhaust(gate)
        started_s = asyncio.get_running_loop().time()
        assert (await client.read_response())[0] == 408
        assert asyncio.get_running_loop().time() - started_s < 1.5

    run_with_worker(scenario)


def test_share_of_a_stream_includes_the_read_by_which_it_may_be_exceeded():
    memory = MemoryBudget(64 * BYTES_PER_MB)
    streams = StreamBudget(memory)
    streams.reserve(MIN_HIGH_WATER_BYTES)
    assert memory.held_bytes[MemoryHolder.STREAMS] == MIN_HIGH_WATER_BYTES + READ_BYTES
    streams.release(MIN_HIGH_WATER_BYTES)
    assert not memory.used_bytes and not streams.stream_count


def test_memory_of_a_simulated_gateway_does_not_depend_on_the_simulator():
    """Guards against simulated histories that differ by how much memory the simulator has used before."""
    platform = SimulatedPlatform(None, None)
    limits = MemoryLimits(192, 1024)
    before = limits.budget.total_bytes
    limits.set_baseline(platform.resident_bytes())
    assert limits.budget.total_bytes == before


@pytest.mark.parametrize("memory_mb", [32, 48, 80, 192, 256])
def test_customers_that_a_limit_carries_leave_memory_for_requests(memory_mb):
    # Report 81cf89: the state of ever new customers was in no account, and no limit made a difference to it.
    limits = MemoryLimits(memory_mb, 1024)
    without_customers = limits.budget.total_bytes
    count = limits.max_customers()
    limits.limit_customers(SimpleNamespace(customer_counts=lambda: (count, count), limit_customers=print))
    assert limits.max_customers() == count  # it does not depend on how many there are now
    assert limits.customer_bytes <= count * (ACCOUNT_BYTES + LEDGER_BYTES)
    assert limits.budget.total_bytes >= 0.39 * without_customers
    assert count >= 1000


def test_a_target_gateway_carries_the_customers_of_the_whole_target():
    # 40,000 customers at the target's limit of 256 MB, should a single gateway be left for all of them.
    assert MemoryLimits(256, 1024).max_customers() >= 40_000


def test_memory_of_customers_is_given_back_when_they_are_gone():
    # Report 81cf89: the memory stayed where it was after a flood of names.
    limits = MemoryLimits(80, 1024)
    returned = []
    monitor = MemoryMonitor(limits, lambda: returned.append(True), lambda: 0)
    counts = [(5000, 5000)]
    controller = SimpleNamespace(customer_counts=lambda: counts[0], limit_customers=lambda _count: None)
    limits.limit_customers(controller)
    monitor.sweep(1000.0)
    assert not returned
    counts[0] = (0, 0)
    limits.limit_customers(controller)
    monitor.sweep(3000.0)
    assert returned and limits.customer_bytes == 0
