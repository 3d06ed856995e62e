"""Start, signals and exit of one gatekeeper."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import random
import signal
import socket
import sys
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop

from plumpick.gateway.config import Config, ConfigError, load
from plumpick.gateway.discovery import DiscoveryClient
from plumpick.gateway.gateway import Gatekeeper
from plumpick.gateway.listeners.http.listener import HttpFront
from plumpick.gateway.platform import System
from plumpick.policy.endpoint_watch import EndpointWatch

FIRST_LIST_S = 0.5  # how long the first whole list is waited for; after that the known one has to do,
NO_LIST_S = 8.0  # where there is one: without any each request would be refused. Ready within 10 s still
# After SIGTERM connections go on coming for up to 0.4 s, and clients go on using those that they have; peers
# find their customers' home here. All this is served until it is time to finish: the longest deadline, of 3 s
# at most, and 0.7 s more are sure before SIGKILL.
SURE_MOST_S, SURE_MORE_S = 3.0, 0.7
SPARE_S, SPARE_PART = 0.5, 0.25  # so long before that all is answered; or this part of it, where that is less
LAST_S, LEAST_S = 1.0, 0.45  # so long before the end no connection is kept any more; but not sooner than this
EXIT_S = 0.1  # so long before SIGKILL we have gone, but for bodies that still go on
TO_FINISH_S = 600.0  # none of those takes longer
STEP_S = 0.02
OWN_SOCKETS = 24  # descriptors of the program itself: the loop's, listeners, discovery, operators
BACKLOG = 512

log = logging.getLogger("plumpick")


def ending_of(deadlines_s: Iterable[float]) -> tuple[float, float, float]:
    """What SIGTERM leaves time for, in seconds from it, by the deadlines of the classes: until when what
    comes is served and connections are kept; until when all is answered; when we have gone.

    The sums: SIGKILL comes no sooner than the longest deadline, of SURE_MOST_S at most, and SURE_MORE_S. New
    connections come for 0.4 s, and what is taken last has as long as its client waits, or LAST_S."""
    longest = max(deadlines_s)
    sure = min(longest, SURE_MOST_S) + SURE_MORE_S
    end = sure - min(SPARE_S, SPARE_PART * sure)
    return max(LEAST_S, end - min(LAST_S, longest)), end, sure - EXIT_S


class Stop:
    """SIGTERM, which may come more than once and at any stage; its time counts from the first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._asked, self.at_s = loop, asyncio.Event(), math.inf

    def ask(self) -> None:
        self.at_s = min(self.at_s, self._loop.time())
        self._asked.set()

    def is_asked(self) -> bool:
        return self._asked.is_set()

    async def wait(self) -> None:
        await self._asked.wait()

    async def within(self, event: asyncio.Event, limit_s: float) -> bool:
        """Whether the event comes within that time; a stop does not wait for it."""
        tasks = [self._loop.create_task(one.wait()) for one in (event, self._asked)]
        try:
            await asyncio.wait(tasks, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
        return event.is_set() or self._asked.is_set()


async def close_listener(
    loop: asyncio.AbstractEventLoop, server: Any, plug: socket.socket | None, front: HttpFront
) -> None:
    """Listen no more. Danger: connections that the system has accepted for us and that we have not taken yet
    are reset with the listener, and requests on them are lost. So it is emptied first; what comes between the
    last look and the close is reset before its client has an answer to lose, and asks elsewhere."""
    taken = []
    while plug is not None:
        try:
            taken.append(plug.accept()[0])
        except (BlockingIOError, ConnectionAbortedError):
            break
        except OSError as problem:  # no descriptor is free, say
            log.warning("the listener was not emptied: %s", problem)
            break
    server.close()
    for one in taken:
        try:
            one.setblocking(False)
            await loop.connect_accepted_socket(front.connection, one)
        except OSError as problem:
            log.warning("a connection was lost: %s", problem)
            one.close()


async def reload(
    config: Config, discovery: DiscoveryClient, asked: asyncio.Event, system: System, part: Any
) -> None:
    """Read the configuration anew whenever that is asked for, and the operator's own file. What can change in
    service is discovery's address, and the wholes and bursts of budgets; a file that cannot be used changes
    nothing."""
    while True:
        await asked.wait()
        asked.clear()  # before the file is read: should it change meanwhile, it is read once more
        try:
            news = await asyncio.to_thread(system.reread)
        except ConfigError as problem:
            log.error("the configuration stays as it was: %s", problem)
            continue
        log.info("the configuration was read anew: discovery at %s:%d", *news.discovery)
        if replace(news, discovery=config.discovery, seed=config.seed, known=config.known) != config:
            log.warning("what else has changed in the configuration takes effect at the next start")
        discovery.change_address(news.discovery)
        if part is None:
            continue
        try:
            fleet = await asyncio.to_thread(fleet_of, config, system.operator_file())
        except ConfigError as problem:
            log.error("the operator's settings stay as they were: %s", problem)
            continue
        if fleet is not None:
            part.reconfigure(fleet)


class ManagementPlane:
    """What a gatekeeper with operators has beside the rest: their listener, and the way to the next process
    and from the one before. What it is made of is imported only where there are operators."""

    def __init__(
        self, config: Config, gatekeeper: Gatekeeper, front: HttpFront, loop: asyncio.AbstractEventLoop
    ) -> None:
        from plumpick.gateway.hot_restart.succession import HandoverContext, Predecessor
        from plumpick.gateway.listeners.admin import ManagementFront

        self._config, self._gatekeeper, self._loop = config, gatekeeper, loop
        self._calls = ManagementFront(gatekeeper)
        gatekeeper.sweeps.append(self._calls.sweep)
        self._context = HandoverContext(config.name, config.settings.gateway_number, gatekeeper, front)
        self._context.fleet = gatekeeper.fleet
        self._context.versions = gatekeeper.versions
        self.leases: Any = None  # what the process before left of its part in the fleet's work
        self._predecessor = Predecessor(loop, self._context, self._changed)
        gatekeeper.sweeps.append(lambda _now: self._predecessor.tell_held())
        self._successor: Any = None
        self._server: Any = None
        self._path: Path | None = None

    async def open(self) -> None:
        """Hear operators, and find out who runs already; the peers' socket is its, if somebody does."""
        from plumpick.gateway.hot_restart.succession import Successor, path_in
        from plumpick.gateway.listeners.admin import listening

        assert self._config.management is not None
        self._server = await listening(self._calls, self._config.management, self._loop)
        folder = os.environ.get("TMPDIR")
        if folder:
            self._path = path_in(folder, self._config.name)
            self._successor = await Successor.ask(self._loop, self._path, self._config.name)
        peers = self._gatekeeper.peers
        if self._successor is not None:
            self._successor.left, self._successor.held = self._alone, self._held
            self._gatekeeper.limit(self._config.sockets // 2)
            if self._successor.datagrams is not None:
                peers.open(self._loop, self._successor.datagrams)
                return
        peers.open(self._loop, shared=True)
        if self._successor is None:
            self._context.listener = shared_listener(self._config.listen)
            await self._context.listen(self._loop)

    async def serve(self) -> None:
        """Take clients from the process before, if there is one; and wait for the next."""
        context, successor = self._context, self._successor
        if successor is not None:
            context.listener = successor.listener
            state = await successor.take()
            if state is not None:
                self.leases = state.get("fleet")
                versions = self._context.versions
                if versions is not None and state.get("configuration") is not None:
                    await versions.import_state(state["configuration"])  # what it left is of these settings
                self._gatekeeper.inherit(
                    {key: value for key, value in state.items() if key not in ("fleet", "configuration")}
                )
            self._gatekeeper.peers.listen()
            await context.listen(self._loop)
            successor.settle(context)
        if self._path is not None:
            self._predecessor.open(self._path)

    def _changed(self, handed_over: bool) -> None:
        """The next process has taken over, or has died and this one goes on."""
        if not handed_over:
            task = self._loop.create_task(self._context.listen(self._loop))
            task.add_done_callback(lambda done: done.exception() and log.error("%s", done.exception()))

    def _held(self, count: int) -> None:
        """What the process before still holds is not ours, and it has some of its own."""
        self._gatekeeper.limit(max(self._config.sockets // 3, self._config.sockets - count - OWN_SOCKETS))

    def _alone(self) -> None:
        """The process before has gone: its part of the descriptors is free."""
        self._gatekeeper.limit(self._config.sockets)

    async def finish(self, until_s: float) -> None:
        """Serve until then, or until another process has everything; then take nothing more."""
        self._predecessor.ending = True
        keeper = self._gatekeeper
        while self._loop.time() < until_s and not (keeper.succeeded and keeper.is_quiet()):
            await asyncio.sleep(STEP_S)
        context = self._context
        if not keeper.succeeded and context.server is not None:  # nobody else empties the listener
            await close_listener(self._loop, context.server, context.listener, context.front)
            if context.listener is not None:
                context.listener.close()
        context.close()

    def close(self) -> None:
        self._predecessor.close()
        if self._successor is not None:
            self._successor.close()
        self._calls.close()
        if self._server is not None:
            self._server.close()


def shared_listener(address: tuple[str, int]) -> socket.socket:
    """A listener at an address where another process may listen, too."""
    plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        plug.bind(address)
        plug.listen(BACKLOG)
        plug.setblocking(False)
    except OSError:
        plug.close()
        raise
    return plug


def part_in(
    settings: Any, config: Config, loop: asyncio.AbstractEventLoop, system: System, gatekeeper: Gatekeeper
) -> Any:
    """The gatekeeper's part in what is done for the whole tier; imported only where the operator names it."""
    from plumpick.gateway.cluster.lease_runner import LeaseRunner

    part = LeaseRunner(
        config, settings, loop, system, gatekeeper.peers.tell, lambda name: gatekeeper.order(name, "")
    )
    if settings.budgets:
        gatekeeper.controller.limit_by_budgets(part.budgets.admit)
    return part


def versions_of(settings: Any, config: Config, gatekeeper: Gatekeeper) -> Any:
    """The client of the services of settings; imported only where the operator names one."""
    from plumpick.gateway.dynamic_config.client import client_for

    return client_for(config, settings, gatekeeper)


async def serve(  # noqa: C901, PLR0915  (to be split by concern)
    config: Config, system: System | None = None, fleet: Any = None, configuration: Any = None
) -> None:
    """Run one gatekeeper until SIGTERM, then finish what it has taken. `fleet`: the operator's settings of
    what is done for the whole tier; `configuration`: of where versions of the settings come from."""
    system = system or System()
    loop = asyncio.get_running_loop()
    stop = Stop(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.ask)
    reload_asked = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_asked.set)
    gatekeeper = Gatekeeper(config, loop, system=system)
    front = HttpFront(gatekeeper, config.settings, config.sockets, system.has_ended, system.is_quiet)
    gatekeeper.add(front)
    part = part_in(fleet, config, loop, system, gatekeeper) if fleet is not None else None
    gatekeeper.fleet = part
    versions = versions_of(configuration, config, gatekeeper) if configuration is not None else None
    gatekeeper.versions = versions
    gatekeeper.listed(config.known)
    plane = ManagementPlane(config, gatekeeper, front, loop) if config.management else None
    if plane is None:
        gatekeeper.peers.open(loop)
    else:
        await plane.open()
    shared, known = config.settings.must_request_watch, config.known.entries
    sharers, rng = config.settings.gateway_count if shared else 0, random.Random(config.seed)
    discovery = DiscoveryClient(
        config.discovery,
        gatekeeper.listed,
        lambda index: EndpointWatch(sharers, index, rng, config.settings.gateway_number),
        gatekeeper.clock.now,
        config.known.index if known else None,
    )
    tasks = [
        loop.create_task(discovery.run()),
        loop.create_task(reload(config, discovery, reload_asked, system, part)),
    ]
    if versions is not None:
        tasks.append(loop.create_task(versions.run()))
    server: Any = None
    plug: socket.socket | None = None
    if plane is None:
        plug = system.listener(config.listen, BACKLOG)
        server = (
            await loop.create_server(front.connection, sock=plug, backlog=BACKLOG)
            if plug
            else (
                await loop.create_server(
                    front.connection, *config.listen, backlog=BACKLOG, reuse_address=True
                )
            )
        )
    # There a watch says nothing while nothing has changed.
    wait_s = FIRST_LIST_S if known else NO_LIST_S
    if not (shared and known) and not await stop.within(discovery.has_snapshot, wait_s):
        log.warning("discovery is silent; starting with the known list")
    if versions is not None and not await stop.within(
        versions.has_response, versions.first_response_timeout_s
    ):
        log.warning("no service of settings answers; starting with the file's")
    system.settle()
    if plane is not None and not stop.is_asked():
        await plane.serve()
    gatekeeper.come_up(stop.is_asked())
    if part is not None:
        part.start(plane.leases if plane is not None else None)
    log.info("gatekeeper %s is up", config.name)

    await stop.wait()
    serve_s, end_s, gone_s = ending_of(ms / 1000 for ms in gatekeeper.deadlines_ms())
    gatekeeper.leave((stop.at_s + end_s - loop.time()) * 1000)
    if part is not None:
        part.begin_shutdown()
    if plane is None:
        await asyncio.sleep(max(0.0, stop.at_s + serve_s - loop.time()))
        await close_listener(loop, server, plug, front)
    else:
        await plane.finish(stop.at_s + serve_s)
    gatekeeper.drain()
    gatekeeper.close_idle()
    while (
        gatekeeper.busy()
        and loop.time() < stop.at_s + TO_FINISH_S
        and not (loop.time() > stop.at_s + gone_s and gatekeeper.has_answered())
    ):
        await asyncio.sleep(STEP_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if part is not None:
        part.close()
    gatekeeper.peers.close()
    if plane is not None:
        plane.close()
    log.info("gatekeeper %s has finished", config.name)


def fleet_of(config: Config, path: str) -> Any:
    """What the operator's own file names for the whole tier, or None; raises ConfigError."""
    if not path:
        return None
    from plumpick.gateway.operator_config import load as load_operator

    fleet = load_operator(path, config.settings.gateway_count).fleet
    if fleet is not None and config.settings.gateway_count > 1 and config.peer_listen is None:
        raise ConfigError(f"{path}: fleet: this gatekeeper has no peer_listen to hear the others at")
    if fleet is not None and config.peer_listen == config.listen:
        raise ConfigError(f"{path}: fleet: peer_listen needs a port other than that of listen")
    return fleet


def configuration_of(config: Config, path: str) -> Any:
    """Where the operator's own file says that versions of the settings come from, or None; raises
    ConfigError."""
    if not path:
        return None
    from plumpick.gateway.operator_config import load as load_operator

    return load_operator(path, config.settings.gateway_count).configuration


def main(which: str = "") -> int:
    """The exit code. `which`: a line for the log on what decides."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is handled: what it asks for comes anyway
    try:
        config = load(os.environ)
        fleet = fleet_of(config, System().operator_file())
        configuration = configuration_of(config, System().operator_file())
    except ConfigError as problem:
        print(f"plumpick: {problem}", file=sys.stderr)
        return 2
    if which:
        log.info(which)
    try:
        uvloop.run(serve(config, fleet=fleet, configuration=configuration))
    except OSError as problem:
        print(f"plumpick: {problem}", file=sys.stderr)
        return 1
    return 0
