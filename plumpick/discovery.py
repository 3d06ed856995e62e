"""Discovery: a watch for changes of the list of workers, for as long as the gatekeeper runs."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

import httptools

from anisefront import watching
from anisefront.settings import SettingsError
from anisefront.watching import Watching
from plumpick.config import Address, WorkerList, worker_list_from

PATH = "/discovery/hosts"
LEAST_GAP_S = 0.05  # between answers that bring nothing, should they come at once
FAULT_WAIT_S = 0.5  # after a fault of ours
MAX_ANSWER = 8 * 1024 * 1024

log = logging.getLogger(__name__)


class CallFailed(Exception):
    """A call of discovery came to nothing; the text tells why."""


class _Answer:
    """What the parser of an answer collects."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.complete = self.keep = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep = self.parser.should_keep_alive()  # the parser knows this here and no later


class Discovery:
    """Watches the list of workers and passes on all that it is told. `plan`: what is asked, and when."""

    def __init__(self, address: Address, told: Callable[[WorkerList], None],
                 plan: Watching | None = None) -> None:
        self._address, self._told = address, told
        self._plan = plan or Watching(0, None, random.Random(0))  # an agent of our own: no chance in it
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._quiet = False  # a failure has been logged, and no success since
        self._skipped = False  # an entry that cannot be read has been logged
        self._moved = asyncio.Event()
        self.listed = asyncio.Event()  # the first whole list has come

    def move(self, address: Address) -> None:
        """From now on ask at another address, beginning with its whole list."""
        if address != self._address:
            self._address, self._quiet = address, False
            self._plan.afresh()
            self._moved.set()

    async def run(self) -> None:
        """Watch until cancelled, anew whenever the address moves: whatever is under way at the old one, be
        it a call, a connection that does not come up or a wait, is dropped at once."""
        while True:
            self._moved.clear()
            watch, moved = asyncio.create_task(self._watch()), asyncio.create_task(self._moved.wait())
            try:
                await asyncio.wait((watch, moved), return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in (watch, moved):
                    task.cancel()
                ended, _ = await asyncio.gather(watch, moved, return_exceptions=True)
            if not self._moved.is_set():  # a fault of ours must not end the watch for good
                log.error("the watch of discovery failed", exc_info=ended)
                self._plan.afresh()
                await asyncio.sleep(FAULT_WAIT_S)

    async def _watch(self) -> None:
        """Ask and watch at one address, as the plan has it."""
        loop, plan = asyncio.get_running_loop(), self._plan
        try:
            while True:
                call = plan.next()
                if call.after_ms:
                    await asyncio.sleep(call.after_ms / 1000)
                asked_s, target = loop.time(), PATH
                if call.since is not None:
                    target = f"{PATH}?since={call.since}&timeout_ms={call.wait_ms:.0f}"
                try:
                    news = await self._call(target, call.within_ms / 1000)
                    problem = plan.answered(news.index, news.complete)
                except CallFailed as failure:
                    problem = plan.failed(str(failure))
                if problem:
                    self._hang_up()
                    if not self._quiet:
                        log.warning("discovery: %s", problem)
                    self._quiet = True
                    continue
                self._take(news)
                if not news.entries and loop.time() - asked_s < LEAST_GAP_S:
                    await asyncio.sleep(LEAST_GAP_S)
        finally:
            self._hang_up()

    def _take(self, news: WorkerList) -> None:
        if news.entries or news.complete:
            self._told(news)
        if news.complete:
            self.listed.set()
        self._quiet = False

    def _skip(self, problem: SettingsError) -> None:
        """One entry that cannot be read is no reason to do without the others."""
        if not self._skipped:
            log.warning("discovery: left out: %s", problem)
        self._skipped = True

    async def _call(self, target: str, limit_s: float) -> WorkerList:
        try:
            async with asyncio.timeout(limit_s):
                return worker_list_from(json.loads(await self._get(target)), "list", self._skip)
        except TimeoutError as problem:
            raise CallFailed("no answer in time") from problem
        except SettingsError as problem:
            raise CallFailed(str(problem)) from problem
        except (ValueError, RecursionError) as problem:
            raise CallFailed("an answer that is no JSON") from problem
        except httptools.HttpParserError as problem:
            raise CallFailed("an answer that is no HTTP") from problem
        except OSError as problem:
            raise CallFailed(f"the connection failed: {problem}") from problem

    async def _get(self, target: str) -> bytes:
        if self._writer is None:
            async with asyncio.timeout(watching.CALL_MS / 1000):
                self._reader, self._writer = await asyncio.open_connection(*self._address)
        assert self._reader is not None
        host = f"{self._address[0]}:{self._address[1]}"
        self._writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        answer = _Answer()
        size = 0
        while not answer.complete:
            data = await self._reader.read(64 * 1024)
            size += len(data)
            if not data:
                raise CallFailed("the connection ended")
            if size > MAX_ANSWER:
                raise CallFailed("an answer without end")
            answer.parser.feed_data(data)
        if answer.parser.get_status_code() != 200:
            raise CallFailed(f"status {answer.parser.get_status_code()}")
        if not answer.keep:
            self._hang_up()
        return b"".join(answer.parts)

    def _hang_up(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
