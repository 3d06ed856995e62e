"""Start, signals and exit of one gatekeeper."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop

from anisefront.watching import Watching
from plumpick.config import Config, ConfigError, load
from plumpick.discovery import Discovery
from plumpick.fronts.http.front import HttpFront
from plumpick.gatekeeper import Gatekeeper
from plumpick.system import System

FIRST_LIST_S = 0.5  # how long the first whole list is waited for; after that the known one has to do
# After SIGTERM connections go on coming for up to 0.4 s, and clients go on using those that they have; peers
# find their customers' home here. All this is served until it is time to finish: the longest deadline, of 3 s
# at most, and 0.7 s more are sure before SIGKILL.
SURE_MOST_S, SURE_MORE_S, SPARE_S = 3.0, 0.7, 0.5
LAST_S, LEAST_S = 1.0, 0.6  # so long before the end no connection is kept any more; but not sooner than this
TO_FINISH_S = 600.0  # each request has its guard, so none waits longer
STEP_S = 0.02
OWN_SOCKETS = 24  # descriptors of the program itself: the loop's, listeners, discovery, operators
BACKLOG = 512

log = logging.getLogger("plumpick")


async def reload(config: Config, discovery: Discovery, asked: asyncio.Event, system: System,
                 part: Any) -> None:
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
        discovery.move(news.discovery)
        if part is None:
            continue
        try:
            fleet = await asyncio.to_thread(fleet_of, config, system.operator_file())
        except ConfigError as problem:
            log.error("the operator's settings stay as they were: %s", problem)
            continue
        if fleet is not None:
            part.change(fleet)


class Office:
    """What a gatekeeper with operators has beside the rest: their listener, and the way to the next process
    and from the one before. What it is made of is imported only where there are operators."""

    def __init__(self, config: Config, gatekeeper: Gatekeeper, front: HttpFront,
                 loop: asyncio.AbstractEventLoop) -> None:
        from plumpick.fronts.management import ManagementFront
        from plumpick.handover.succession import Giver, Household
        self._config, self._gatekeeper, self._loop = config, gatekeeper, loop
        self._calls = ManagementFront(gatekeeper)
        gatekeeper.sweeps.append(self._calls.sweep)
        self._house = Household(config.name, config.settings.number, gatekeeper, front)
        self._house.fleet = gatekeeper.fleet
        self.leases: Any = None  # what the process before left of its part in the fleet's work
        self._giver = Giver(loop, self._house, self._changed)
        gatekeeper.sweeps.append(lambda _now: self._giver.tell_held())
        self._taker: Any = None
        self._server: Any = None
        self._path: Path | None = None

    async def open(self) -> None:
        """Hear operators, and find out who runs already; the peers' socket is its, if somebody does."""
        from plumpick.fronts.management import listening
        from plumpick.handover.succession import Taker, path_in
        assert self._config.management is not None
        self._server = await listening(self._calls, self._config.management, self._loop)
        folder = os.environ.get("TMPDIR")
        if folder:
            self._path = path_in(folder, self._config.name)
            self._taker = await Taker.ask(self._loop, self._path, self._config.name)
        peers = self._gatekeeper.peers
        if self._taker is not None:
            self._taker.left, self._taker.held = self._alone, self._held
            self._gatekeeper.limit(self._config.sockets // 2)
            if self._taker.datagrams is not None:
                peers.open(self._loop, self._taker.datagrams)
                return
        peers.open(self._loop, shared=True)
        if self._taker is None:
            self._house.listener = shared_listener(self._config.listen)
            await self._house.listen(self._loop)

    async def serve(self) -> None:
        """Take clients from the process before, if there is one; and wait for the next."""
        house, taker = self._house, self._taker
        if taker is not None:
            house.listener = taker.listener
            state = await taker.take()
            if state is not None:
                self.leases = state.get("fleet")
                self._gatekeeper.inherit({key: value for key, value in state.items() if key != "fleet"})
            self._gatekeeper.peers.listen()
            await house.listen(self._loop)
            taker.settle(house)
        if self._path is not None:
            self._giver.open(self._path)

    def _changed(self, handed_over: bool) -> None:
        """The next process has taken over, or has died and this one goes on."""
        if not handed_over:
            task = self._loop.create_task(self._house.listen(self._loop))
            task.add_done_callback(lambda done: done.exception() and log.error("%s", done.exception()))

    def _held(self, count: int) -> None:
        """What the process before still holds is not ours, and it has some of its own."""
        self._gatekeeper.limit(max(self._config.sockets // 3, self._config.sockets - count - OWN_SOCKETS))

    def _alone(self) -> None:
        """The process before has gone: its part of the descriptors is free."""
        self._gatekeeper.limit(self._config.sockets)

    async def finish(self, until_s: float) -> None:
        """Serve until then, or until another process has everything; then take nothing more."""
        self._giver.ending = True
        keeper = self._gatekeeper
        while self._loop.time() < until_s and not (keeper.succeeded and keeper.is_quiet()):
            await asyncio.sleep(STEP_S)
        self._house.close()

    def close(self) -> None:
        self._giver.close()
        if self._taker is not None:
            self._taker.close()
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


def part_in(settings: Any, config: Config, loop: asyncio.AbstractEventLoop, system: System,
            gatekeeper: Gatekeeper) -> Any:
    """The gatekeeper's part in what is done for the whole tier; imported only where the operator names it."""
    from plumpick.fleet.runner import Runner
    part = Runner(config, settings, loop, system, gatekeeper.peers.tell,
                  lambda name: gatekeeper.order(name, ""))
    if settings.budgets:
        gatekeeper.controller.admits = part.admits
    return part


async def serve(config: Config, system: System | None = None, fleet: Any = None) -> None:
    """Run one gatekeeper until SIGTERM, then finish what it has taken. `fleet`: the operator's settings of
    what is done for the whole tier."""
    system = system or System()
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reload_asked = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_asked.set)
    gatekeeper = Gatekeeper(config, loop, system=system)
    front = HttpFront(gatekeeper, config.settings, config.sockets, system.has_ended,
                      system.is_quiet)
    gatekeeper.add(front)
    part = part_in(fleet, config, loop, system, gatekeeper) if fleet is not None else None
    gatekeeper.fleet = part
    gatekeeper.listed(config.known)
    office = Office(config, gatekeeper, front, loop) if config.management else None
    if office is None:
        gatekeeper.peers.open(loop)
    else:
        await office.open()
    shared, known = config.settings.must_subscribe, config.known.entries
    sharers, rng = config.settings.gateways if shared else 0, random.Random(config.seed)
    discovery = Discovery(config.discovery, gatekeeper.listed,
                          lambda index: Watching(sharers, index, rng, config.settings.number),
                          gatekeeper.clock.now, config.known.index if known else None)
    tasks = [loop.create_task(discovery.run()),
             loop.create_task(reload(config, discovery, reload_asked, system, part))]
    server: Any = None
    if office is None:
        server = await loop.create_server(front.connection, *config.listen, backlog=BACKLOG,
                                          reuse_address=True)
    try:
        if not (shared and known):  # there a watch says nothing while nothing has changed
            await asyncio.wait_for(discovery.listed.wait(), FIRST_LIST_S)
    except TimeoutError:
        log.warning("discovery is silent; starting with the known list")
    system.settle()
    if office is not None:
        await office.serve()
    gatekeeper.come_up()
    if part is not None:
        part.open(office.leases if office is not None else None)
    log.info("gatekeeper %s is up", config.name)

    await stop.wait()
    longest_s = max(kind.deadline_ms for kind in config.settings.classes) / 1000
    end_s = min(longest_s, SURE_MOST_S) + SURE_MORE_S - SPARE_S
    gatekeeper.leave(end_s * 1000)
    if part is not None:
        part.leave()
    serve_s = max(LEAST_S, end_s - LAST_S)
    if office is None:
        await asyncio.sleep(serve_s)
        server.close()
    else:
        await office.finish(loop.time() + serve_s)
    gatekeeper.drain()
    gatekeeper.close_idle()
    end = loop.time() + TO_FINISH_S
    while gatekeeper.busy() and loop.time() < end:
        await asyncio.sleep(STEP_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if part is not None:
        part.close()
    gatekeeper.peers.close()
    if office is not None:
        office.close()
    log.info("gatekeeper %s has finished", config.name)


def fleet_of(config: Config, path: str) -> Any:
    """What the operator's own file names for the whole tier, or None; raises ConfigError."""
    if not path:
        return None
    from plumpick.operator import load as load_operator
    fleet = load_operator(path, config.settings.gateways).fleet
    if fleet is not None and config.settings.gateways > 1 and config.peer_listen is None:
        raise ConfigError(f"{path}: fleet: this gatekeeper has no peer_listen to hear the others at")
    if fleet is not None and config.peer_listen == config.listen:
        raise ConfigError(f"{path}: fleet: peer_listen needs a port other than that of listen")
    return fleet


def main(which: str = "") -> int:
    """The exit code. `which`: a line for the log on what decides."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is handled: what it asks for comes anyway
    try:
        config = load(os.environ)
        fleet = fleet_of(config, System().operator_file())
    except ConfigError as problem:
        print(f"plumpick: {problem}", file=sys.stderr)
        return 2
    if which:
        log.info(which)
    try:
        uvloop.run(serve(config, fleet=fleet))
    except OSError as problem:
        print(f"plumpick: {problem}", file=sys.stderr)
        return 1
    return 0

