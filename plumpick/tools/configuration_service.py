"""`plumpick configuration serve`: a service of versions of the settings, over HTTP/1.1. It decides nothing
(plumpick/policy/dynamic_config/version_store.py does).

    GET  /configuration?since=V&digest=D&name=N&...   the newest version once there is one that is newer, as
                                                      200; 204 after timeout_ms without one
    PUT  /configuration                               a version, whole: 200, or 409 with what is wrong
    GET  /configuration/status                        who has which version
    GET  /configuration/versions/V                    a version, whole"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import httptools

from plumpick.policy.dynamic_config.subscriber import MOST_VERSION
from plumpick.policy.dynamic_config.version_store import Shelf, Watcher

MOST_BODY, MOST_HEAD = 64 * 2**20, 16 * 1024  # bytes
MOST_WAIT_MS = 20_000.0
IDLE_S = 60.0  # a connection on which nothing is asked
MOST_CONNECTIONS = 2048
PATH = "/configuration"

log = logging.getLogger(__name__)


def unix_ms() -> float:
    """The time of day."""
    return time.time() * 1000


class _Request:
    """What the parser of a request collects."""

    def __init__(self) -> None:
        self.url, self.parts, self.complete = b"", list[bytes](), False
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.complete = True


def _number(words: dict[str, list[str]], key: str, most: int = MOST_VERSION) -> int:
    text = words.get(key, ["0"])[0]
    if not text.isascii() or not text.isdigit() or len(text) > 20 or int(text) > most:
        raise ValueError(f"{key}: {text!r:.40} is no number")
    return int(text)


class Service:
    """All connections of one service. `now`: Unix ms."""

    def __init__(self, now: Callable[[], float] = unix_ms) -> None:
        self.shelf, self.now = Shelf(), now
        self._news = asyncio.Event()  # replaced at each new version
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.calls = self.bytes_out = 0
        self.port = 0

    async def open(self, host: str, port: int) -> None:
        """Listen; raises OSError."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._writers) >= MOST_CONNECTIONS:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while await self._one(reader, writer):
                pass
        except (OSError, httptools.HttpParserError, TimeoutError, asyncio.CancelledError):
            pass  # it has gone, or speaks no HTTP
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One request and its answer; False where there is none."""
        request, size = _Request(), 0
        async with asyncio.timeout(IDLE_S):
            while not request.complete:
                data = await reader.read(256 * 1024)
                size += len(data)
                if not data or size > MOST_BODY or len(request.url) > MOST_HEAD:
                    return False
                request.parser.feed_data(data)
        self.calls += 1
        try:
            status, body = await self._answer(request, writer)
        except ValueError as problem:
            status, body = 400, json.dumps({"problem": str(problem)}).encode()
        head = f"HTTP/1.1 {status} X\r\n" + (
            "" if status == 204 else f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        )
        writer.write(head.encode() + b"\r\n" + body)
        self.bytes_out += len(head) + 2 + len(body)
        await writer.drain()
        return True

    async def _answer(self, request: _Request, writer: asyncio.StreamWriter) -> tuple[int, bytes]:
        parts = urlsplit(request.url.decode("ascii", "replace"))
        method, path = request.parser.get_method(), parts.path
        if (method, path) == (b"GET", PATH):
            body = await self._watch(parse_qs(parts.query))
            return (204, b"") if body is None else (200, body)
        if (method, path) == (b"PUT", PATH):
            return await self._publish(b"".join(request.parts))
        if (method, path) == (b"GET", f"{PATH}/status"):
            return 200, json.dumps(
                {**self.shelf.status(self.now()), "calls": self.calls, "bytes_out": self.bytes_out}
            ).encode()
        if method == b"GET" and path.startswith(f"{PATH}/versions/"):
            return self._version(path.rpartition("/")[2])
        return 404, b"{}"

    def _version(self, text: str) -> tuple[int, bytes]:
        kept = self.shelf.kept.get(_number({"version": [text]}, "version"))
        if kept is None:
            return 404, json.dumps({"problem": f"version {text} is not kept here"}).encode()
        one = kept.content
        return 200, json.dumps(
            {
                "version": one.version,
                "digest": one.digest,
                "in_force_ms": one.in_force_ms,
                "settings": one.settings,
            }
        ).encode()

    async def _publish(self, data: bytes) -> tuple[int, bytes]:
        try:
            value = json.loads(data)
        except (ValueError, RecursionError):
            return 400, b'{"problem": "no JSON"}'
        problem = self.shelf.publish(self.now(), value)
        if problem:
            log.warning("refused: %s", problem)
            return 409, json.dumps({"problem": problem}).encode()
        newest = self.shelf.newest
        assert newest is not None
        log.info("version %d %s is here", newest.version, newest.digest[:12])
        news, self._news = self._news, asyncio.Event()
        news.set()
        return 200, b"{}"

    async def _watch(self, words: dict[str, list[str]]) -> bytes | None:
        """The newest version once it is newer, or None when the time is over."""
        since, refused = _number(words, "since"), _number(words, "refused")
        name, loop = words.get("name", [""])[0][:64], asyncio.get_running_loop()
        if not name:
            raise ValueError("name is missing")
        self.shelf.heard(
            Watcher(
                name,
                _number(words, "number"),
                _number(words, "in_force"),
                words.get("have", [""])[0][:64],
                _number(words, "staged"),
                refused,
                words.get("why", [""])[0][:200],
                self.now(),
            )
        )
        its = words.get("digest", [""])[0]
        end_s = loop.time() + min(MOST_WAIT_MS, _number(words, "timeout_ms")) / 1000
        while (body := self.shelf.answer(since, its, refused)) is None:
            news = self._news
            try:
                async with asyncio.timeout(end_s - loop.time()):
                    await news.wait()
            except TimeoutError:
                return None
        return body
