"""Discovery: a watch for changes of the list of workers, for as long as the gatekeeper runs."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

import httptools

from plumpick.gateway.config import Address, WorkerList, parse_worker_list
from plumpick.policy import endpoint_watch
from plumpick.policy.endpoint_watch import Watching
from plumpick.policy.settings_parser import SettingsError

PATH = "/discovery/hosts"
LEAST_GAP_S = 0.05  # between answers that bring nothing, should they come at once
FAULT_WAIT_S = 0.5  # after a fault of ours
MAX_ANSWER = 8 * 1024 * 1024

log = logging.getLogger(__name__)


class CallFailed(Exception):
    """A call of discovery came to nothing; the text tells why. `waited`: its connection was up, and its
    answer did not come in time."""

    def __init__(self, text: str, waited: bool = False) -> None:
        super().__init__(text)
        self.waited = waited


class Answer:
    """What the parser of an answer collects."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.complete = self.keep = self.in_body = self.has_length = False
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, _value: bytes) -> None:
        self.has_length = self.has_length or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.in_body = True

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep = self.parser.should_keep_alive()  # the parser knows this here and no later

    def ended(self) -> bool:
        """The connection has ended; whether that is the answer's end. (A reset never is.)"""
        self.complete = self.complete or self.in_body and not self.has_length
        return self.complete


class Watch:
    """The watch at one address; `took` is given all that it was told."""

    def __init__(
        self,
        address: Address,
        plan: Watching,
        now: Callable[[], float],
        took: Callable[[Watch, WorkerList], None],
    ) -> None:
        self.address, self._plan, self._now, self._took = address, plan, now, took
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._quiet = False  # a failure has been logged, and no success since
        self._skipped = False  # an entry that cannot be read has been logged

    async def run(self) -> None:
        """Watch until cancelled; a fault of ours must not end it for good."""
        while True:
            try:
                await self._watch()
            except Exception:  # whatever it was: without the watch nothing is told any more
                log.exception("the watch of discovery failed")
            self._plan.afresh()
            await asyncio.sleep(FAULT_WAIT_S)

    async def _watch(self) -> None:
        """Ask and watch, as the plan has it."""
        loop, plan = asyncio.get_running_loop(), self._plan
        try:
            while True:
                call = plan.next(self._now())
                if call.after_ms:
                    await asyncio.sleep(call.after_ms / 1000)
                asked_s, target = loop.time(), PATH
                if call.since is not None:
                    target = f"{PATH}?since={call.since}&timeout_ms={call.wait_ms:.0f}"
                try:
                    news = await self._call(target, call.within_ms / 1000)
                    problem = plan.answered(news.index, news.complete)
                except CallFailed as failure:
                    problem = plan.failed(str(failure), failure.waited)
                if problem:
                    self._hang_up()
                    if not self._quiet:
                        log.warning("discovery: %s", problem)
                    self._quiet = True
                    continue
                self._quiet = False
                self._took(self, news)
                if not news.entries and loop.time() - asked_s < LEAST_GAP_S:
                    await asyncio.sleep(LEAST_GAP_S)
        finally:
            self._hang_up()

    def _skip(self, problem: SettingsError) -> None:
        """One entry that cannot be read is no reason to do without the others."""
        if not self._skipped:
            log.warning("discovery: left out: %s", problem)
        self._skipped = True

    async def _call(self, target: str, limit_s: float) -> WorkerList:
        try:
            async with asyncio.timeout(limit_s):
                return parse_worker_list(json.loads(await self._get(target)), "list", self._skip)
        except TimeoutError as problem:
            raise CallFailed("no answer in time", waited=self._writer is not None) from problem
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
            async with asyncio.timeout(endpoint_watch.CALL_MS / 1000):
                self._reader, self._writer = await asyncio.open_connection(*self.address)
        assert self._reader is not None
        host = f"{self.address[0]}:{self.address[1]}"
        self._writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        answer = Answer()
        size = 0
        while not answer.complete:
            data = await self._reader.read(64 * 1024)
            size += len(data)
            if not data:
                if answer.ended():
                    break
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


def _agent(index: int | None) -> Watching:
    return Watching(0, index, random.Random(0))  # an agent of our own: no chance in it


class Discovery:
    """Watches the list of workers and passes on all that it is told.

    `plan`: what is asked, and when, of an address of which we have that version of the list. `now`: a clock
    in ms that all gatekeepers share, which only a shared service needs."""

    def __init__(
        self,
        address: Address,
        told: Callable[[WorkerList], None],
        plan: Callable[[int | None], Watching] = _agent,
        now: Callable[[], float] = lambda: 0.0,
        index: int | None = None,
    ) -> None:
        self._told, self._plan, self._now = told, plan, now
        self._serving = Watch(address, plan(index), now, self._take)  # the one that tells us
        self._coming: Watch | None = None  # the one that will, once it has told its whole list
        self._tasks: dict[Watch, asyncio.Task[None]] = {}
        self._runs = False
        self.listed = asyncio.Event()  # the first whole list has come

    def move(self, address: Address) -> None:
        """From now on ask at another address. Danger: the one before may have told a change that we have not
        read, and the new one may be dead or silent. So the one before is listened to until the new one has
        told its whole list."""
        if address == (self._coming or self._serving).address:
            return
        if self._coming is not None:
            self._stop(self._coming)
            self._coming = None
        if address != self._serving.address:
            self._coming = Watch(address, self._plan(None), self._now, self._take)
            self._start(self._coming)

    async def run(self) -> None:
        """Watch until cancelled, at every address that there is to ask."""
        self._runs = True
        self._start(self._serving)
        if self._coming is not None:
            self._start(self._coming)
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self._runs = False
            tasks = list(self._tasks.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _start(self, watch: Watch) -> None:
        if self._runs:
            task = self._tasks[watch] = asyncio.get_running_loop().create_task(watch.run())
            task.add_done_callback(lambda _task: self._tasks.pop(watch, None))

    def _stop(self, watch: Watch) -> None:
        if watch in self._tasks:
            self._tasks[watch].cancel()

    def _take(self, watch: Watch, news: WorkerList) -> None:
        if watch is self._coming:  # it has begun with its whole list
            self._stop(self._serving)
            self._serving, self._coming = watch, None
        elif watch is not self._serving:
            return
        if news.entries or news.complete:
            self._told(news)
        if news.complete:
            self.listed.set()
