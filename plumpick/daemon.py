"""Start, signals and exit of one gatekeeper."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import sys
from dataclasses import replace
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
BACKLOG = 512

log = logging.getLogger("plumpick")


async def reload(config: Config, discovery: Discovery, asked: asyncio.Event, system: System) -> None:
    """Read the configuration anew whenever that is asked for. What can change in service is discovery's
    address; a file that cannot be used changes nothing."""
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


async def open_office(config: Config, gatekeeper: Gatekeeper, loop: asyncio.AbstractEventLoop) -> Any:
    """Where operators call. Imported only here: where there is no such address it costs nothing."""
    from plumpick.fronts.management import ManagementFront, listening
    front = ManagementFront(gatekeeper)
    gatekeeper.sweeps.append(front.sweep)
    assert config.management is not None
    return await listening(front, config.management, loop)


async def serve(config: Config, system: System | None = None) -> None:
    """Run one gatekeeper until SIGTERM, then finish what it has taken."""
    system = system or System()
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reload_asked = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_asked.set)
    gatekeeper = Gatekeeper(config, loop, system=system)
    front = HttpFront(gatekeeper, config.settings, config.sockets, system.has_ended)
    gatekeeper.add(front)
    gatekeeper.listed(config.known)
    gatekeeper.peers.open(loop)
    shared, known = config.settings.must_subscribe, config.known.entries
    plan = Watching(config.settings.gateways if shared else 0, config.known.index if known else None,
                    random.Random(config.seed))
    discovery = Discovery(config.discovery, gatekeeper.listed, plan)
    tasks = [loop.create_task(discovery.run()),
             loop.create_task(reload(config, discovery, reload_asked, system))]
    server = await loop.create_server(front.connection, *config.listen, backlog=BACKLOG,
                                      reuse_address=True)
    office = await open_office(config, gatekeeper, loop) if config.management else None
    try:
        if not (shared and known):  # there a watch says nothing while nothing has changed
            await asyncio.wait_for(discovery.listed.wait(), FIRST_LIST_S)
    except TimeoutError:
        log.warning("discovery is silent; starting with the known list")
    system.settle()
    gatekeeper.come_up()
    log.info("gatekeeper %s is up", config.name)

    await stop.wait()
    longest_s = max(kind.deadline_ms for kind in config.settings.classes) / 1000
    end_s = min(longest_s, SURE_MOST_S) + SURE_MORE_S - SPARE_S
    gatekeeper.leave(end_s * 1000)
    await asyncio.sleep(max(LEAST_S, end_s - LAST_S))
    server.close()
    gatekeeper.drain()
    gatekeeper.close_idle()
    end = loop.time() + TO_FINISH_S
    while gatekeeper.busy() and loop.time() < end:
        await asyncio.sleep(STEP_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    gatekeeper.peers.close()
    if office is not None:
        office.close()
    log.info("gatekeeper %s has finished", config.name)


def main(which: str = "") -> int:
    """The exit code. `which`: a line for the log on what decides."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is handled: what it asks for comes anyway
    try:
        config = load(os.environ)
    except ConfigError as problem:
        print(f"plumpick: {problem}", file=sys.stderr)
        return 2
    if which:
        log.info(which)
    try:
        uvloop.run(serve(config))
    except OSError as problem:
        print(f"plumpick: {problem}", file=sys.stderr)
        return 1
    return 0

