"""Bodies that are too large to be kept whole, and the forms of HTTP/1.1, on both sides, over loopback."""

import asyncio

import httptools
import pytest
from support.fakes import Client, Gate, Message, Script, entry, request, run
from support.raw_client import RawWorker, read_head, read_response

from plumpick.gateway.upstream.streaming_body import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_HIGH_WATER_BYTES,
    MIN_HIGH_WATER_BYTES,
    MemoryBudget,
    StreamingBody,
)
from plumpick.policy.events import AttemptCompleted, AttemptResult, ResponseStarted

BIG = 5 * 1024 * 1024


def one_raw(scenario, **more):
    async def whole():
        async with RawWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)], **more) as gate:
            await scenario(worker, gate, await gate.client())

    run(whole())


def chunked(data, size=70_000):
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    chunks = [b"%x;ext=1\r\n%s\r\n" % (len(part), part) for part in parts]
    return b"".join(chunks) + b"0\r\nX-Trailer: t\r\n\r\n"


# -- answers


@pytest.mark.parametrize("form", ["length", "chunks", "end"])
def test_a_large_answer_goes_on_unchanged_while_it_comes(form, monkeypatch):
    monkeypatch.setattr(
        "plumpick.gateway.upstream.connection_pool.REUSE_DELAY_MS", 0.0
    )  # its connection is used again at once

    body = bytes(range(256)) * (BIG // 256)
    head = {
        "length": b"Content-Length: %d\r\n" % BIG,
        "chunks": b"Transfer-Encoding: chunked\r\n",
        "end": b"Connection: close\r\n",
    }[form]

    async def scenario(worker, gate, client):
        client.send(request())
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        sent = chunked(body) if form == "chunks" else body
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + head + b"\r\n" + sent[:100_000])
        first = await client.reader.readuntil(b"\r\n\r\n")  # before the rest has been written at all
        assert b" 200 " in first
        writer.write(sent[100_000:])
        if form == "end":
            writer.write_eof()
        message = Message(httptools.HttpResponseParser)
        message.parser.feed_data(first)
        while not message.whole:
            data = await client.reader.read(2**18)
            assert data
            message.parser.feed_data(data)
        assert message.body == body
        assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.OK
        assert (
            not gate.keeper.requests.open
            and not gate.keeper._streams._requests
            and not gate.keeper._streams._budget.stream_count
        )
        if form == "length":  # both connections may be used again
            client.send(request())
            assert "X-Request-Id" in await read_head(reader)

    one_raw(scenario)


@pytest.mark.parametrize("tenth", range(1, 10))
@pytest.mark.parametrize("form", ["length", "chunks"])
def test_an_answer_that_breaks_off_cannot_pass_for_whole(tenth, form):
    async def scenario(worker, gate, client):
        client.send(request())
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        body = bytes(300_000)
        head = b"Content-Length: 300000" if form == "length" else b"Transfer-Encoding: chunked"
        sent = body if form == "length" else chunked(body)
        writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + sent[: tenth * len(sent) // 10])
        await writer.drain()
        writer.close()
        status, _, got, whole = await read_response(client.reader)
        assert not whole or status != 200
        assert len(got) < 300_000
        assert (await gate.script.event(AttemptCompleted)).result in (
            AttemptResult.RESET,
            AttemptResult.ERROR,
        )
        assert not gate.keeper._streams._requests

    one_raw(scenario)


def test_a_client_of_http_1_0_gets_a_large_answer_of_unknown_length_to_the_end_of_its_connection():
    async def scenario(worker, gate, client):
        client.send(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(bytes(200_000)))
        told = await client.reader.read()
        head, _, body = told.partition(b"\r\n\r\n")
        assert b"chunked" not in head and body == bytes(200_000)

    one_raw(scenario)


def test_a_small_answer_that_ends_with_its_connection_is_whole_and_a_reset_is_not():
    async def scenario(worker, gate, client):
        client.send(request())
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        writer.write_eof()
        assert (await client.answer())[::2] == (200, b"all of it")
        client.send(request())
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\na part")
        await writer.drain()
        await asyncio.sleep(0)
        writer.transport.get_extra_info("socket").setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SO_LINGER: a reset
        writer.transport.abort()
        assert (await client.answer())[0] == 502

    one_raw(scenario)


def test_who_does_not_read_holds_its_worker_back_and_nothing_piles_up():
    async def scenario(worker, gate, client):
        client.writer.transport.pause_reading()
        client.send(request())
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 * BIG))
        written = 0
        try:
            while written < 32 * BIG:
                writer.write(bytes(2**18))
                written += 2**18
                async with asyncio.timeout(0.5):
                    await writer.drain()
        except TimeoutError:
            pass
        (one,) = gate.front.admission.connections
        assert written < 32 * BIG
        assert one.transport.get_write_buffer_size() <= MAX_HIGH_WATER_BYTES + 2**19
        client.close()
        assert (await gate.script.event(AttemptCompleted)).result is not AttemptResult.OK

    one_raw(scenario)


def test_an_answer_of_which_nothing_moves_is_given_up_and_one_that_goes_on_is_not():
    async def scenario(worker, gate, client):
        client.send(request(deadline=100))
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + bytes(70_000))
        await client.reader.readexactly(70_000)
        now = gate.keeper.clock.now()
        gate.keeper._streams.sweep(
            now + 5000.0, gate.keeper.requests.on_upload_stalled
        )  # long after its deadline
        assert gate.keeper.requests.open
        gate.keeper._streams.sweep(now + 60_000.0, gate.keeper.requests.on_upload_stalled)
        assert (
            not gate.keeper.requests.open
            and (await gate.script.event(AttemptCompleted)).result is AttemptResult.RESET
        )

    one_raw(scenario)


def test_head_gets_the_head_alone():
    async def scenario(worker, gate, client):
        client.send(request().replace(b"GET", b"HEAD"))
        reader, writer = await worker.accepted.get()
        assert (await read_head(reader)).startswith("HEAD ")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n")
        assert "Content-Length: 1234" in (await read_head(client.reader))

    one_raw(scenario)


# -- requests


def upload(body, form, path="/debit", **more):
    data = request(path=path, body=b"x", **more).split(b"Content-Length")[0]
    if form == "length":
        return data + b"Content-Length: %d\r\n\r\n" % len(body) + body
    return data + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body)


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_large_request_goes_on_unchanged_while_it_comes(form):
    body = bytes(range(256)) * (BIG // 256)

    async def scenario(worker, gate, client):
        data = upload(body, form)
        client.send(data[:200_000])
        reader, writer = await worker.accepted.get()
        await read_head(reader)  # before the rest has been sent at all
        client.send(data[200_000:])
        got = b""
        if form == "length":
            got = await reader.readexactly(len(body))
        else:
            while size := int((await reader.readline()).split(b";")[0], 16):
                got += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        assert got == body
        assert not (await gate.script.event(ResponseStarted)).is_body_retained
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        assert (await client.answer())[::2] == (200, b"done")
        client.send(request())  # the client's connection is of use again
        await read_head((await worker.accepted.get())[0])

    one_raw(scenario)


def test_the_time_of_a_large_request_counts_from_its_last_byte():
    async def scenario(worker, gate, client):
        data = upload(bytes(300_000), "length", deadline=300)
        client.send(data[:-1])
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        await asyncio.sleep(0.5)
        assert gate.keeper.requests.open
        client.send(data[-1:])
        await reader.readexactly(300_000)
        assert (await client.answer())[0] in (502, 504)  # now it does

    one_raw(scenario)


def test_a_worker_that_breaks_before_the_last_byte_never_had_it():
    async def scenario(worker, gate, client):
        client.send(upload(bytes(BIG), "length")[:1_000_000])
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        writer.transport.abort()
        assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.CONNECT_FAILED
        assert (await client.answer())[0] == 502

    one_raw(scenario)


def test_a_worker_that_refuses_before_the_last_byte_has_its_answer_heard():
    async def scenario(worker, gate, client):
        client.send(upload(bytes(BIG), "length")[:1_000_000])
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.REJECTED_BY_WORKER
        assert (await client.answer())[0] == 502 and not gate.keeper._streams._requests

    one_raw(scenario)


def test_a_client_that_stops_in_its_body_is_told_and_its_worker_let_go():
    async def scenario(worker, gate, client):
        client.send(upload(bytes(BIG), "length")[:1_000_000])
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        await reader.readexactly(900_000)
        gate.keeper._streams.sweep(gate.keeper.clock.now() + 5000.0, gate.keeper.requests.on_upload_stalled)
        assert (await client.answer())[0] == 408
        assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.CANCELLED

    one_raw(scenario)


def test_a_client_that_goes_in_its_body_leaves_nothing():
    async def scenario(worker, gate, client):
        client.send(upload(bytes(BIG), "chunks")[:1_000_000])
        await read_head((await worker.accepted.get())[0])
        client.writer.transport.abort()
        await gate.script.event(AttemptCompleted)
        assert (
            not gate.keeper.requests.open
            and not gate.keeper.requests.attempts
            and not gate.keeper._streams._budget.stream_count
        )

    one_raw(scenario)


def test_expect_100_continue_is_answered_before_the_body():
    async def scenario(worker, gate, client):
        data = upload(bytes(100_000), "length", extra="Expect: 100-continue\r\n")
        data = data.replace(b"Expect: 100-continue\r\n", b"", 1) if data.count(b"Expect") > 1 else data
        head, _, body = data.partition(b"\r\n\r\n")
        if b"Expect" not in head:
            head += b"\r\nExpect: 100-continue"
        client.send(head + b"\r\n\r\n")
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.send(body)
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        await reader.readexactly(100_000)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert (await client.answer())[0] == 200

    one_raw(scenario)


def test_blanks_round_a_value_are_none_of_it_on_either_side():
    """Seen: 133 of 1,251 requests were turned away for a blank behind a value."""

    async def scenario(worker, gate, client):
        data = upload(b"body", "length")
        head, _, body = data.partition(b"\r\n\r\n")
        head = head.replace(b"\r\n", b" \t\r\n").replace(b"HTTP/1.1 \t", b"HTTP/1.1")
        client.send(head + b" \r\n\r\n" + body)
        reader, writer = await worker.accepted.get()
        assert "X-Request-Id" in await read_head(reader) and await reader.readexactly(4) == b"body"
        writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1 \r\nContent-Length: 0 \r\n\r\n")
        assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.REJECTED_BY_WORKER

    one_raw(scenario)


def test_a_target_in_absolute_form_goes_on_as_a_path():
    async def scenario(worker, gate, client):
        client.send(request().replace(b"GET /look", b"GET http://api.internal/look?x=1"))
        reader, _ = await worker.accepted.get()
        assert (await read_head(reader)).startswith("GET /look?x=1 HTTP/1.1")

    one_raw(scenario)


def test_a_large_request_behind_an_open_one_waits_for_its_turn():
    async def scenario(worker, gate, client):
        client.send(request() + upload(bytes(BIG), "length"))
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nfirst")
        assert (await client.answer())[2] == b"first"
        reader, writer = await worker.accepted.get()
        assert "POST /debit" in await read_head(reader)
        await reader.readexactly(BIG)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
        assert (await client.answer())[2] == b"second"

    one_raw(scenario)


# -- the parts


class Side:
    def __init__(self):
        self.said = []

    def pause(self):
        self.said.append("hold")

    def resume(self):
        self.said.append("go on")

    def write_chunk(self, data):
        self.said.append(data)

    def finish(self):
        self.said.append("end")


def test_a_body_holds_its_giver_at_the_mark_and_goes_on_in_order():
    giver, taker = Side(), Side()
    body = StreamingBody(giver, -1, 10)
    body.feed(b"12345")
    assert not giver.said
    body.feed(b"67890")
    assert giver.said == ["hold"] and not body.is_started
    body.forward_to(taker)
    body.feed(b"more")
    body.finish()
    assert giver.said == ["hold", "go on"] and taker.said == [b"12345", b"67890", b"more", "end"]


def test_marks_of_any_number_of_streams_stay_in_the_budget():
    budget = MemoryBudget(16 * 2**20)
    marks = []
    for _ in range(100):
        marks.append(budget.high_water_bytes())
        budget.stream_count += 1
    assert marks[0] == MAX_HIGH_WATER_BYTES
    assert all(mark * count <= 16 * 2**20 for count, mark in enumerate(marks, 1))
    budget.stream_count = 10**6
    assert budget.high_water_bytes() == MIN_HIGH_WATER_BYTES and MAX_BUFFERED_BODY_BYTES == 65536


def test_sixty_large_answers_at_once_share_the_budget():
    async def scenario(worker, gate, client):
        clients = [await Client().open(gate.port) for _ in range(20)]
        for one in clients:
            one.send(request())
        for _ in clients:
            reader, writer = await worker.accepted.get()
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + bytes(1_000_000))
        answers = await asyncio.gather(*(read_response(one.reader) for one in clients))
        assert all(whole and len(body) == 1_000_000 for _, _, body, whole in answers)
        assert not gate.keeper._streams._budget.stream_count

    one_raw(scenario)


def test_among_three_thousand_silent_connections_requests_that_are_written_slowly_are_all_answered():
    """They come a hundred at a time, all the while; each true request is written in pieces among them."""

    async def scenario(worker, gate, _client):
        async def serve():
            while True:
                reader, writer = await worker.accepted.get()
                tasks.append(asyncio.create_task(answer_all(reader, writer)))

        async def answer_all(reader, writer):
            try:
                while await read_head(reader):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            except (asyncio.IncompleteReadError, ConnectionError):
                pass

        async def ask(pieces):
            true = await Client().open(gate.port)
            data = request(path="/look/true")
            for at in range(0, len(data), len(data) // pieces + 1):
                true.send(data[at : at + len(data) // pieces + 1])
                crowd.append(await Client().open(gate.port))  # some of the crowd comes between
            told = await true.answer()
            true.close()
            return told and told[0]

        tasks, crowd, answers = [], [], []
        tasks.append(asyncio.create_task(serve()))
        for _ in range(20):
            crowd += [await Client().open(gate.port) for _ in range(50)]
            answers += await asyncio.gather(*(ask(10) for _ in range(10)))
            while len(crowd) > 600:  # those have been closed long since
                crowd.pop(0).close()
        for task in tasks:
            task.cancel()
        for one in crowd:
            one.close()
        assert answers == [200] * 200
        assert (
            len(gate.front.admission)
            <= gate.front.admission.hard_max_connections + gate.keeper.spare_descriptors()
        )

    one_raw(scenario)
