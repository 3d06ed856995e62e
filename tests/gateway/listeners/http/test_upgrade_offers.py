"""Requests that offer an upgrade to another protocol, which the gateway ignores (RFC 9110, 7.8)."""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.fakes import http_response, request, run_with_worker

from plumpick.gateway.listeners.http.fair_queue import FairQueue
from plumpick.gateway.listeners.http.request_reader import RequestReader
from plumpick.gateway.memory_budget import MemoryBudget

OFFERS = {
    "h2c": "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAAB\r\n",
    "websocket": "connection: keep-alive, upgrade\r\nupgrade: websocket\r\nSec-WebSocket-Version: 13\r\n",
    "two protocols": "Upgrade: IRC/6.9\r\nConnection: Upgrade\r\nUpgrade: TLS/1.0\r\n",
}
H2C = OFFERS["h2c"]
SMALL_BODY = b'{"seat": 7, "hours": 12}'
# A body that would be a valid request by itself, to be taken for the next one if the body's start is lost.
BODY_LIKE_A_REQUEST = request("00000000000000f1", "/debit", body=b"x")


async def next_request(worker):
    """The next request that the worker receives, and the writer for its response."""
    message, writer = await worker.next_request()
    while message is None:  # the end of a connection without a request
        message, writer = await worker.next_request()
    return message, writer


async def assert_forwarded(worker, client, method, body):
    """Assert that the worker receives this request next, and that the client gets its response."""
    message, writer = await next_request(worker)
    assert (message.parser.get_method(), message.body) == (method, body)
    request_id = message.headers["x-request-id"].encode()
    writer.write(http_response(body=request_id))
    assert (await client.read_response())[::2] == (200, request_id)


def chunked_request(body, extra, chunk_bytes=10):
    """The bytes of a request with a chunked body, which ends with a trailer."""
    head = request(path="/debit", extra=f"Transfer-Encoding: chunked\r\n{extra}").replace(b"GET", b"POST")
    parts = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + chunks + b"0\r\nX-Tier: other\r\n\r\n"


@pytest.mark.parametrize("path, key", [("/debit", None), ("/book", "k1")], ids=["unsafe", "keyed"])
@pytest.mark.parametrize("offer", OFFERS)
def test_body_of_a_request_that_offers_an_upgrade_reaches_the_worker(offer, path, key):
    """Guards against requests that offer an upgrade being executed without their body (review/1)."""

    async def scenario(worker, gate, client):
        for body in (SMALL_BODY, BODY_LIKE_A_REQUEST):
            client.send(request(path=path, key=key, body=body, extra=OFFERS[offer]))
            await assert_forwarded(worker, client, b"POST", body)
        assert worker.requests.empty()

    run_with_worker(scenario)


@pytest.mark.parametrize("offer", OFFERS)
def test_request_without_body_that_offers_an_upgrade_gets_one_response(offer):
    """Guards against a 400 right behind the response, which the client took for that of its next request."""

    async def scenario(worker, gate, client):
        for _ in range(3):
            client.send(request(extra=OFFERS[offer]))
            await assert_forwarded(worker, client, b"GET", b"")
        client.send(request(path="/debit", body=SMALL_BODY))  # a request without an offer
        await assert_forwarded(worker, client, b"POST", SMALL_BODY)

    run_with_worker(scenario)


@pytest.mark.parametrize("size", [24, 70_000, 300_000], ids=["buffered", "streamed", "large"])
@pytest.mark.parametrize("form", ["length", "chunks"])
def test_body_behind_an_upgrade_offer_is_complete_in_all_forms_and_sizes(form, size):
    """Guards against a chunked body that was lost and a streamed one that ended as 502 (review/1)."""
    body = (bytes(range(256)) * (size // 256 + 1))[:size]

    async def scenario(worker, gate, client):
        for _ in range(2):
            if form == "length":
                client.send(request(path="/debit", body=body, extra=H2C))
            else:
                client.send(chunked_request(body, H2C, chunk_bytes=max(10, size // 7)))
            await assert_forwarded(worker, client, b"POST", body)

    run_with_worker(scenario)


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_request_with_an_upgrade_offer_is_parsed_byte_by_byte(form):
    async def scenario(worker, gate, client):
        data = (
            request(path="/debit", body=SMALL_BODY, extra=H2C)
            if form == "length"
            else chunked_request(SMALL_BODY, H2C)
        )
        for byte in data:
            client.send(bytes([byte]))
            await client.writer.drain()
            await asyncio.sleep(0)
        await assert_forwarded(worker, client, b"POST", SMALL_BODY)

    run_with_worker(scenario)


def test_pipelined_requests_with_upgrade_offers_are_answered_in_order():
    async def scenario(worker, gate, client):
        client.send(
            request(path="/debit", body=SMALL_BODY, extra=H2C)
            + request(extra=H2C)
            + chunked_request(BODY_LIKE_A_REQUEST, H2C)
            + request()
            + request(path="/debit", body=b"last", extra=H2C)
        )
        await assert_forwarded(worker, client, b"POST", SMALL_BODY)
        await assert_forwarded(worker, client, b"GET", b"")
        await assert_forwarded(worker, client, b"POST", BODY_LIKE_A_REQUEST)
        await assert_forwarded(worker, client, b"GET", b"")
        await assert_forwarded(worker, client, b"POST", b"last")

    run_with_worker(scenario)


def test_body_that_awaits_100_continue_is_read_after_an_upgrade_offer():
    async def scenario(worker, gate, client):
        data = request(path="/debit", body=SMALL_BODY, extra=f"Expect: 100-continue\r\n{H2C}")
        head = data.removesuffix(SMALL_BODY)
        client.send(head)
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.send(SMALL_BODY)
        await assert_forwarded(worker, client, b"POST", SMALL_BODY)

    run_with_worker(scenario)


@pytest.mark.parametrize(
    "version, connection, keeps_open",
    [
        ("HTTP/1.1", "Upgrade", True),
        ("HTTP/1.1", "Upgrade, close", False),
        ("HTTP/1.0", "Upgrade", False),
        ("HTTP/1.0", "Upgrade, keep-alive", True),
    ],
)
def test_connection_persists_after_an_upgrade_offer_as_without_one(version, connection, keeps_open):
    async def scenario(worker, gate, client):
        offer = f"Upgrade: h2c\r\nConnection: {connection}\r\n"
        data = request(path="/debit", body=SMALL_BODY, extra=offer).replace(b"HTTP/1.1", version.encode())
        client.send(data)
        await assert_forwarded(worker, client, b"POST", SMALL_BODY)
        if keeps_open:
            client.send(request())
            await assert_forwarded(worker, client, b"GET", b"")
        else:
            assert await client.wait_for_end()

    run_with_worker(scenario)


MALFORMED_OFFERS = {
    "two framings": (request(body=b"x", extra=f"Transfer-Encoding: chunked\r\n{H2C}"), 400),
    "coding that is not chunked": (chunked_request(b"x", H2C).replace(b"chunked", b"deflate"), 400),
    "malformed chunk": (chunked_request(b"x", H2C).replace(b"1\r\nx", b"zz\r\nx"), 400),
    "endless trailer": (chunked_request(b"x", H2C)[:-2] + b"X-Filler: y\r\n" * 3000, 431),
    "length above limit": (
        request(body=b"x", extra=H2C).replace(b"Length: 1", b"Length: 9999999999999999"),
        413,
    ),
    "connect": (request(extra=H2C).replace(b"GET /look", b"CONNECT h:80"), 400),
    "connect with a body": (b"CONNECT h:80 HTTP/1.1\r\nContent-Length: 4\r\n\r\nGET " + request(), 400),
}


@pytest.mark.parametrize("name", MALFORMED_OFFERS)
def test_malformed_request_with_an_upgrade_offer_gets_one_error_and_a_close(name):
    data, status = MALFORMED_OFFERS[name]

    async def scenario(worker, gate, client):
        assert (await client.send(data).read_response())[0] == status
        assert await client.wait_for_end() and worker.requests.empty()

    run_with_worker(scenario)


# ---- the requests read with and without offers --------------------------------------------------


class RecordingReader(RequestReader):
    """A request reader without a connection. It records the requests that it has read."""

    def __init__(self):
        self.served = []
        clock = SimpleNamespace(now=lambda: 0.0)
        admission = SimpleNamespace(on_body_started=lambda _connection, _now: None)
        super().__init__(
            SimpleNamespace(
                gateway=SimpleNamespace(clock=clock, memory=MemoryBudget(2**20)),
                admission=admission,
                fair_queue=FairQueue(lambda _callback: None),
                on_request_started=lambda _connection: None,
            )
        )

    def serve_next(self):
        """Take all requests, also those of bytes that are parsed only when earlier ones have been served."""
        self.served += self.pipelined
        self.pipelined.clear()
        while self.unparsed:
            self.parse_unparsed()
            self.served += self.pipelined
            self.pipelined.clear()

    def start_stream(self, parsed):
        """Never called: the bodies of these tests are small."""
        raise AssertionError

    def read(self, data, cuts):
        """Feed the bytes in pieces that end at `cuts`, and return what was read of each request."""
        places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        for start, end in zip(places, places[1:], strict=False):
            self.data_received(data[start:end])
        return [
            (one.method, one.url, bytes(one.body), one.headers, one.keep_alive, one.error_status)
            for one in self.served
        ]


OFFER_STRATEGY = st.sampled_from([*OFFERS.values(), ""])
REQUEST_STRATEGY = st.tuples(
    st.sampled_from(["none", "length", "chunks"]), st.binary(max_size=60), OFFER_STRATEGY
)


def encode(form, body, offer):
    if form == "chunks":
        return chunked_request(body, offer)
    return request("00000000000000aa", "/debit", body=body if form == "length" else b"", extra=offer)


@settings(max_examples=300, deadline=None)
@given(st.lists(REQUEST_STRATEGY, min_size=1, max_size=5), st.lists(st.integers(0, 2000), max_size=12))
def test_requests_are_read_alike_with_and_without_upgrade_offers(requests, cuts):
    """Whatever the bytes of a body and wherever the reads end."""
    plain = [(form, body, "") for form, body, _ in requests]
    # The request ids of chunked requests are drawn anew, so that they are left out.
    read_with_offers = RecordingReader().read(b"".join(encode(*one) for one in requests), cuts)
    read_without = RecordingReader().read(b"".join(encode(*one) for one in plain), [])
    for row in (*read_with_offers, *read_without):
        row[3].pop(b"x-request-id")
    assert len(read_without) == len(requests)
    assert read_with_offers == read_without
