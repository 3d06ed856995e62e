"""`plumpick configuration serve`: the version service, which distributes versions of the settings over
HTTP/1.1.

    GET  /configuration?since=V&digest=D&name=N&...   long poll: 200 with the version in force if it is newer
                                                      than V, then with the newest as soon as it is; 204 after
                                                      timeout_ms without one
    PUT  /configuration                               publishes a version with all its settings: 200, or 409
                                                      with the reason of its rejection
    GET  /configuration/status                        the versions of the service and of its gateways
    GET  /configuration/versions/V                    a version with all its settings

plumpick/policy/dynamic_config/version_store.py decides what is stored and answered. Malformed requests are
answered with 400. A connection is aborted if it sends no valid HTTP, is idle, or exceeds MAX_CONNECTIONS.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import httptools

from plumpick.gateway.listeners.http.upgrade_offer import FRAMING_HEADERS, RequestReceiver, feed_parser
from plumpick.policy.dynamic_config.errors import PublishError
from plumpick.policy.dynamic_config.updates import MAX_VERSION_NUMBER
from plumpick.policy.dynamic_config.version_store import SubscriberStatus, VersionStore

PATH = "/configuration"
MAX_REQUEST_BYTES = 64 * 2**20
MAX_TARGET_BYTES = 16 * 1024
READ_BYTES = 256 * 1024
MAX_WATCH_TIMEOUT_MS = 20_000.0
IDLE_TIMEOUT_S = 60.0  # time after which a connection without a complete request is aborted
MAX_CONNECTIONS = 2048
ACCEPT_BACKLOG = 1024
MAX_NAME_CHARS = 64
MAX_DIGEST_CHARS = 64
MAX_REASON_CHARS = 200

Query = dict[str, list[str]]

log = logging.getLogger(__name__)


class RequestError(ValueError):
    """A request with a malformed or missing parameter; the text is one line."""


def unix_ms() -> float:
    """The current Unix time in ms."""
    return time.time() * 1000


class _Request(RequestReceiver):
    """One HTTP request that is being received, with its parser."""

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.parts: list[bytes] = []
        self.is_complete = False
        self.parser = httptools.HttpRequestParser(self)
        self._framing = b""

    def framing_fields(self) -> bytes:
        return self._framing

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() in FRAMING_HEADERS:
            self._framing += b"%s: %s\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        self.method = self.parser.get_method()

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.is_complete = not self.parser.should_upgrade()


class VersionService:
    """The HTTP server of one version service, with its store. `now_ms()` returns the Unix time in ms."""

    def __init__(self, now_ms: Callable[[], float] = unix_ms) -> None:
        self.store = VersionStore()
        self.now_ms = now_ms
        self._published = asyncio.Event()  # set when a version is published, then replaced by a new event
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.calls = 0
        self.bytes_out = 0
        self.port = 0

    async def open(self, host: str, port: int) -> None:
        """Start listening; a `port` of 0 selects a free one. Raises OSError."""
        self._server = await asyncio.start_server(self._serve_connection, host, port, backlog=ACCEPT_BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._writers) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, httptools.HttpParserError, TimeoutError, asyncio.CancelledError):
            pass  # the client disconnected, was idle or sent no valid HTTP, or the service stops
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Read a request and write its response. Returns False if the connection ended, or if the request is
        too long."""
        request = await _read_request(reader)
        if request is None:
            return False
        self.calls += 1
        try:
            status, body = await self._respond(request)
        except ValueError as problem:
            status = 400
            body = json.dumps({"problem": str(problem)}).encode()
        head = f"HTTP/1.1 {status} X\r\n"
        if status != 204:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        self.bytes_out += len(head) + 2 + len(body)
        await writer.drain()
        return True

    async def _respond(self, request: _Request) -> tuple[int, bytes]:
        """The status and the body of the response to a request. Raises ValueError if the request is
        malformed."""
        parts = urlsplit(request.target.decode("ascii", "replace"))
        method = request.method
        path = parts.path
        if (method, path) == (b"GET", PATH):
            body = await self._watch(parse_qs(parts.query))
            return (204, b"") if body is None else (200, body)
        if (method, path) == (b"PUT", PATH):
            return self._publish(b"".join(request.parts))
        if (method, path) == (b"GET", f"{PATH}/status"):
            return 200, self._status()
        if method == b"GET" and path.startswith(f"{PATH}/versions/"):
            return self._version(path.rpartition("/")[2])
        return 404, b"{}"

    def _status(self) -> bytes:
        counts = {"calls": self.calls, "bytes_out": self.bytes_out}
        return json.dumps({**self.store.status(self.now_ms()), **counts}).encode()

    def _version(self, text: str) -> tuple[int, bytes]:
        stored = self.store.versions.get(_number_in({"version": [text]}, "version"))
        if stored is None:
            return 404, json.dumps({"problem": f"version {text} is not kept by this service"}).encode()
        version = stored.version
        return 200, json.dumps(
            {
                "version": version.number,
                "digest": version.digest,
                "in_force_ms": version.activates_at_ms,
                "settings": version.settings,
            }
        ).encode()

    def _publish(self, body: bytes) -> tuple[int, bytes]:
        try:
            value = json.loads(body)
        except (ValueError, RecursionError):
            return 400, b'{"problem": "request body is not valid JSON"}'
        try:
            self.store.publish(self.now_ms(), value)
        except PublishError as problem:
            log.warning("published version rejected: %s", problem)
            return 409, json.dumps({"problem": str(problem)}).encode()
        newest = self.store.newest
        assert newest is not None
        log.info("version %d %s published", newest.number, newest.digest[:12])
        published = self._published
        self._published = asyncio.Event()
        published.set()
        return 200, b"{}"

    async def _watch(self, query: Query) -> bytes | None:
        """Wait for a version newer than the query's `since`; returns it, or None after the query's timeout.
        Raises RequestError."""
        since_number = _number_in(query, "since")
        status = _status_from(query, self.now_ms())
        self.store.record_subscriber(status)
        since_digest = _text_in(query, "digest")
        loop = asyncio.get_running_loop()
        end_s = loop.time() + min(MAX_WATCH_TIMEOUT_MS, _number_in(query, "timeout_ms")) / 1000
        while True:
            body = self.store.response_for(self.now_ms(), since_number, since_digest, status.rejected_version)
            if body is not None:
                return body
            published = self._published
            try:
                async with asyncio.timeout(end_s - loop.time()):
                    await published.wait()
            except TimeoutError:
                return None


async def _read_request(reader: asyncio.StreamReader) -> _Request | None:
    """Read a request; None if the connection ended or the request is too long. Raises TimeoutError after
    IDLE_TIMEOUT_S."""
    request = _Request()
    received_bytes = 0
    async with asyncio.timeout(IDLE_TIMEOUT_S):
        while not request.is_complete:
            data = await reader.read(READ_BYTES)
            received_bytes += len(data)
            if not data or received_bytes > MAX_REQUEST_BYTES or len(request.target) > MAX_TARGET_BYTES:
                return None
            feed_parser(request, data)
    return request


def _status_from(query: Query, now_ms: float) -> SubscriberStatus:
    """The status that a gateway reports in the query of its long poll. Raises RequestError."""
    rejected_version = _number_in(query, "refused")
    name = _text_in(query, "name")[:MAX_NAME_CHARS]
    if not name:
        raise RequestError("name: missing or empty")
    return SubscriberStatus(
        name=name,
        number=_number_in(query, "number"),
        active_version=_number_in(query, "in_force"),
        active_digest=_text_in(query, "have")[:MAX_DIGEST_CHARS],
        staged_version=_number_in(query, "staged"),
        rejected_version=rejected_version,
        rejection_reason=_text_in(query, "why")[:MAX_REASON_CHARS],
        last_call_ms=now_ms,
    )


def _text_in(query: Query, key: str) -> str:
    return query.get(key, [""])[0]


def _number_in(query: Query, key: str) -> int:
    """A non-negative integer of the query, 0 if it is missing. Raises RequestError if it is malformed."""
    text = query.get(key, ["0"])[0]
    if not text.isascii() or not text.isdigit() or len(text) > 20 or int(text) > MAX_VERSION_NUMBER:
        raise RequestError(f"{key}: expected an integer from 0 to {MAX_VERSION_NUMBER}, got {text!r:.40}")
    return int(text)
