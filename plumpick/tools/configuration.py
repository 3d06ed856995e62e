"""`plumpick configuration serve | publish | back | status`: settings for running gatekeepers, by versions."""

from __future__ import annotations

import argparse
import asyncio
import http.client
import json
import logging
import signal
import sys
import time
from pathlib import Path
from typing import Any

from plumpick.policy.dynamic_config.delta import Settings, digest, shared
from plumpick.policy.dynamic_config.version_store import summary
from plumpick.policy.settings_parser import parse_settings
from plumpick.tools.call import address_of
from plumpick.tools.configuration_service import PATH, Service

PATIENCE_S = 10.0
MOST_LATER_S = 86_000.0

Place = tuple[str, int]


class Failed(Exception):
    """A call that came to nothing; one line."""


def ask(place: Place, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Status and answer of a service; raises Failed."""
    connection = http.client.HTTPConnection(*place, timeout=PATIENCE_S)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, json.loads(data) if data else None
    except (OSError, http.client.HTTPException, ValueError) as problem:
        raise Failed(f"{place[0]}:{place[1]}: {problem or type(problem).__name__}") from problem
    finally:
        connection.close()


def settings_in(path: str) -> Settings:
    """The settings of a file: a gatekeeper's configuration, or its `settings` alone. Raises Failed with the
    key that is wrong."""
    try:
        value = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as problem:
        raise Failed(f"cannot read {path}: {problem.strerror}") from problem
    except (ValueError, RecursionError) as problem:
        raise Failed(f"{path}: no JSON: {problem}") from problem
    if isinstance(value, dict) and isinstance(value.get("settings"), dict):
        value = value["settings"]
    try:
        parse_settings({**value, "myNumber": 0} if isinstance(value, dict) else value, "settings")
        digest(value)
    except (ValueError, TypeError) as problem:  # a SettingsError, a DeltaError, or of the types themselves
        raise Failed(f"{path}: {problem}") from problem
    return shared(value)


def states_of(places: list[Place]) -> tuple[list[dict[str, Any]], list[str]]:
    """What each service tells; and those that do not answer, as lines."""
    states, dead = [], []
    for place in places:
        try:
            status, value = ask(place, "GET", f"{PATH}/status")
            if status != 200:
                raise Failed(f"{place[0]}:{place[1]}: status {status}")
            states.append(value)
        except Failed as problem:
            dead.append(str(problem))
    return states, dead


def document(
    settings: Settings, states: list[dict[str, Any]], now_ms: float, later_ms: float
) -> dict[str, Any]:
    """The version that these settings become: the newest one again where it has this very content, so that
    whoever lacks it gets it; a new number else. Services that know of nothing begin far above what any
    forgotten life of theirs may have given."""
    its = digest(settings)
    rows = [row for state in states for row in state["versions"]]
    told = [row[2] for state in states for row in state["watchers"]]
    newest = max(rows, default=None, key=lambda row: row[0])
    if newest is not None and newest[1] == its and newest[0] >= max(told, default=0):
        return {"version": newest[0], "digest": its, "in_force_ms": newest[2], "settings": settings}
    number = max([row[0] for row in rows] + told, default=0) + 1
    if newest is None:
        number = max(number, int(now_ms))
    return {"version": number, "digest": its, "in_force_ms": now_ms + later_ms, "settings": settings}


def _put(value: dict[str, Any], places: list[Place], dead: list[str]) -> int:
    """Write a version to all services; 0, or 1 where one did not take it."""
    wrong = list(dead)
    for place in places:
        try:
            status, answer = ask(place, "PUT", PATH, value)
            if status != 200:
                wrong.append(f"{place[0]}:{place[1]}: {(answer or {}).get('problem', status)}")
        except Failed as problem:
            if str(problem) not in wrong:
                wrong.append(str(problem))
    for line in wrong:
        print(f"plumpick configuration: {line}", file=sys.stderr)
    if len(wrong) < len(places):
        print(
            f"version {value['version']} {value['digest'][:12]}, in force at {value['in_force_ms']:.0f}, "
            f"at {len(places) - len(wrong)} of {len(places)}"
        )
    return 1 if wrong else 0


def publish(given: argparse.Namespace, places: list[Place]) -> int:
    """Publish a file."""
    settings = settings_in(given.file)
    states, dead = states_of(places)
    if not states:
        raise Failed("no service answers")
    return _put(document(settings, states, time.time() * 1000, given.in_force_in * 1000), places, dead)


def back(given: argparse.Namespace, places: list[Place]) -> int:
    """Publish an older version's content under a new number."""
    states, dead = states_of(places)
    known = sorted({row[0] for state in states for row in state["versions"]})
    if len(known) < 2:
        raise Failed("there is no version before")
    wanted = given.version or known[-2]
    if wanted not in known:
        raise Failed(f"version {wanted} is not kept; there are {', '.join(map(str, known[-10:]))}")
    for place in places:
        try:
            status, value = ask(place, "GET", f"{PATH}/versions/{wanted}")
        except Failed:
            continue
        if status == 200:
            return _put(
                document(value["settings"], states, time.time() * 1000, given.in_force_in * 1000),
                places,
                dead,
            )
    raise Failed(f"version {wanted} could not be read")


def status(given: argparse.Namespace, places: list[Place]) -> int:
    """Who has which version: 0 where all have the newest, 1 where not, 2 where no service answers."""
    states, dead = states_of(places)
    for line in dead:
        print(f"service lost: {line}")
    if not states:
        return 2
    lines, well = summary(states)
    print("\n".join(lines))
    return 0 if well and not dead else 1


async def _serve(place: Place) -> None:
    service, stop, loop = Service(), asyncio.Event(), asyncio.get_running_loop()
    await service.open(*place)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    logging.info("listening at %s:%d", place[0], service.port)
    await stop.wait()
    service.close()


def serve(place: Place) -> int:
    """Serve until SIGTERM."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    asyncio.run(_serve(place))
    return 0


def configuration(given: argparse.Namespace) -> int:
    """0; 1 where something is not as it should be; 2 where a call or a file is wrong or nobody answers."""
    try:
        if given.step == "serve":
            return serve(address_of(given.listen))
        places = [address_of(text) for text in given.to]
        if given.step != "status" and not 0 <= given.in_force_in <= MOST_LATER_S:
            raise Failed(f"--in-force-in: {given.in_force_in:g} is not from 0 to {MOST_LATER_S:g}")
        return {"publish": publish, "back": back, "status": status}[given.step](given, places)
    except (Failed, ValueError, OSError) as problem:
        print(f"plumpick configuration: {problem}", file=sys.stderr)
        return 2
