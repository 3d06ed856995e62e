"""Discovery client: watches the endpoint list for as long as the gateway runs.

plumpick/policy/endpoint_watch.py decides what to request and when. Of consecutive failed calls only the first
is logged; the last received list stays in use.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

from plumpick.gateway.config import Address, WorkerList, parse_worker_list
from plumpick.gateway.http_client import CallFailedError, HttpConnection, HttpResponse, call_errors
from plumpick.policy import endpoint_watch
from plumpick.policy.endpoint_watch import EndpointWatch, EndpointWatchError, EndpointWatchRequest
from plumpick.policy.settings_parser import SettingsError

PATH = "/discovery/hosts"
# Delay after a response without entries that arrived sooner than this, so that a service that always answers
# immediately does not cause a busy loop.
MIN_EMPTY_INTERVAL_S = 0.05
FAULT_BACKOFF_S = 0.5  # delay after an unexpected exception in the watch
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024  # maximum number of bytes of one read

log = logging.getLogger(__name__)


class AddressWatch:
    """Watches the endpoint list of the discovery service at one address.

    `on_list` is called with each received list; `now_ms` is the clock of `watch`."""

    def __init__(
        self,
        address: Address,
        watch: EndpointWatch,
        now_ms: Callable[[], float],
        on_list: Callable[[AddressWatch, WorkerList], None],
    ) -> None:
        self.address = address
        self._watch = watch
        self._now_ms = now_ms
        self._on_list = on_list
        self._connection = HttpConnection()
        self._has_logged_failure = False  # whether a failure was logged since the last successful call
        self._has_logged_bad_entry = False

    async def run(self) -> None:
        """Watch until cancelled; after an unexpected exception the watch starts again."""
        while True:
            try:
                await self._call_in_turn()
            except Exception:  # the watch has to go on: without it no change of the list would be noticed
                log.exception("discovery: the watch failed; restarting it")
            self._watch.reset()
            await asyncio.sleep(FAULT_BACKOFF_S)

    async def _call_in_turn(self) -> None:
        """Make the calls that `watch` schedules, one after another, until an unexpected exception."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                request = self._watch.next_request(self._now_ms())
                if request.delay_ms:
                    await asyncio.sleep(request.delay_ms / 1000)
                started_s = loop.time()
                update = await self._call(request)
                if update is None:
                    continue
                self._has_logged_failure = False
                self._on_list(self, update)
                if not update.entries and loop.time() - started_s < MIN_EMPTY_INTERVAL_S:
                    await asyncio.sleep(MIN_EMPTY_INTERVAL_S)
        finally:
            self._connection.abort()

    async def _call(self, request: EndpointWatchRequest) -> WorkerList | None:
        """Make one call. Returns the received list; None, after logging the reason, if the call failed or the
        list is invalid."""
        try:
            update = await self._fetch(_target_of(request), request.response_timeout_ms / 1000)
            self._watch.on_response(update.index, update.complete)
            return update
        except CallFailedError as failure:
            self._watch.on_call_failed(failure.timed_out)
            self._on_failure(failure)
        except EndpointWatchError as problem:
            self._on_failure(problem)
        return None

    def _on_failure(self, problem: Exception) -> None:
        self._connection.abort()
        if not self._has_logged_failure:
            log.warning("discovery: call failed: %s", problem)
        self._has_logged_failure = True

    def _on_bad_entry(self, problem: SettingsError) -> None:
        """Log the first invalid entry of a list; the other entries of the list are used."""
        if not self._has_logged_bad_entry:
            log.warning("discovery: ignored an invalid entry of the list: %s", problem)
        self._has_logged_bad_entry = True

    async def _fetch(self, target: str, timeout_s: float) -> WorkerList:
        """Request `target` and parse the endpoint list in the response; raises CallFailedError."""
        with call_errors(self._connection):
            try:
                async with asyncio.timeout(timeout_s):
                    body = await self._get(target)
                    return parse_worker_list(json.loads(body), "list", self._on_bad_entry)
            except SettingsError as problem:
                raise CallFailedError(str(problem)) from problem
            except (ValueError, RecursionError) as problem:
                raise CallFailedError("the response body is not valid JSON") from problem

    async def _get(self, target: str) -> bytes:
        connection = self._connection
        if not connection.is_open:
            async with asyncio.timeout(endpoint_watch.RESPONSE_TIMEOUT_MS / 1000):
                await connection.open(self.address)
        connection.send_get(target)
        response = HttpResponse(MAX_RESPONSE_BYTES)
        while not response.is_complete:
            response.feed(await connection.read(READ_BYTES))
        return connection.finish(response, (200,))


def _target_of(request: EndpointWatchRequest) -> str:
    if request.since_index is None:
        return PATH
    return f"{PATH}?since={request.since_index}&timeout_ms={request.watch_timeout_ms:.0f}"


def _agent_watch(index: int | None) -> EndpointWatch:
    """The watch of a discovery agent on the gateway's own machine: its requests are not spread at random."""
    return EndpointWatch(0, index, random.Random(0))


class DiscoveryClient:
    """Watches the endpoint list and calls `on_update` with every received list.

    `new_watch`: creates the watch of an address, given the index of the current list or None. `now_ms`: clock
    that all gateways share, needed only for a discovery service that they share. `index`: index of the list
    with which the gateway starts, or None.
    """

    def __init__(
        self,
        address: Address,
        on_update: Callable[[WorkerList], None],
        new_watch: Callable[[int | None], EndpointWatch] = _agent_watch,
        now_ms: Callable[[], float] = lambda: 0.0,
        index: int | None = None,
    ) -> None:
        self._on_update = on_update
        self._new_watch = new_watch
        self._now_ms = now_ms
        self._current = AddressWatch(address, new_watch(index), now_ms, self._on_list)
        self._next: AddressWatch | None = None  # replaces `_current` when its first snapshot arrives
        self._tasks: dict[AddressWatch, asyncio.Task[None]] = {}
        self._is_running = False
        self.has_snapshot = asyncio.Event()  # set when the first complete list has been received

    def change_address(self, address: Address) -> None:
        """Watch the list at another address. The watch at the old address continues until the new one has
        received a snapshot, since the new service may be unreachable, and the old one may have sent a change
        that is still to be read."""
        if address == (self._next or self._current).address:
            return
        if self._next is not None:
            self._stop(self._next)
            self._next = None
        if address != self._current.address:
            self._next = AddressWatch(address, self._new_watch(None), self._now_ms, self._on_list)
            self._start(self._next)

    async def run(self) -> None:
        """Watch until cancelled: at the current address and, after a change of address, at the new one."""
        self._is_running = True
        self._start(self._current)
        if self._next is not None:
            self._start(self._next)
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self._is_running = False
            tasks = list(self._tasks.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _start(self, watch: AddressWatch) -> None:
        if self._is_running:
            task = asyncio.get_running_loop().create_task(watch.run())
            self._tasks[watch] = task
            task.add_done_callback(lambda _task: self._tasks.pop(watch, None))

    def _stop(self, watch: AddressWatch) -> None:
        if watch in self._tasks:
            self._tasks[watch].cancel()

    def _on_list(self, watch: AddressWatch, update: WorkerList) -> None:
        if watch is self._next:  # its first list is complete, as it requested no index
            self._stop(self._current)
            self._current = watch
            self._next = None
        elif watch is not self._current:
            return
        if update.entries or update.complete:
            self._on_update(update)
        if update.complete:
            self.has_snapshot.set()
