"""The record of requests without a complete response: its counts and its log lines."""

import contextlib
import logging

from support.fakes import request, reset, run
from support.raw_client import request_at_raw_worker

from plumpick.gateway.memory_budget import BYTES_PER_MB, MemoryBudget
from plumpick.gateway.unanswered_requests import LINES_PER_PERIOD, PERIOD_MS, EndReason, UnansweredRequests

LARGE = 2**20


def test_each_request_has_a_line_with_its_reason_and_lines_are_limited(caplog):
    now = [0.0]
    record = UnansweredRequests(MemoryBudget(BYTES_PER_MB), lambda: now[0])
    ids = [b"%016x" % number for number in range(LINES_PER_PERIOD + 5)]
    with caplog.at_level(logging.WARNING):
        record.record(EndReason.CLIENT_LEFT, ids)
        record.record(EndReason.CLOSED_BEFORE, ids)
        now[0] = PERIOD_MS
        record.record(EndReason.EVICTED, [b"last"])
    assert record.counts[EndReason.CLOSED_BEFORE] == len(ids) and record.counts[EndReason.CLIENT_LEFT] == 0
    assert len(caplog.messages) == LINES_PER_PERIOD + 1
    assert caplog.messages[0] == (
        f"request {ids[0].decode()} ended without a complete response: reason=closed-before "
        "worker=- result=- level=normal used_kb=0 count=1 unlogged=0"
    )
    assert (
        "request last " in caplog.messages[-1] and f"count={len(ids) + 1} unlogged=5" in caplog.messages[-1]
    )


def test_a_response_that_its_worker_breaks_off_is_recorded_with_request_and_worker(caplog):
    async def scenario():
        async with request_at_raw_worker(data=request("00000000000000ff")) as (gate, client, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + bytes(LARGE // 2))
            await client.reader.readuntil(b"\r\n\r\n")
            await writer.drain()
            reset(writer)
            with contextlib.suppress(ConnectionError):
                await client.reader.read()
            assert gate.gateway.unanswered.counts[EndReason.RESPONSE_BROKEN_OFF] == 1

    run(scenario())
    (line,) = [message for message in caplog.messages if "without a complete response" in message]
    assert "request 00000000000000ff " in line and "worker=w1 result=reset" in line
