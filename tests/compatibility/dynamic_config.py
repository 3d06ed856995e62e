"""Versions of the settings and the watch of discovery as plain values, under names that no rename reaches.

Every name of the program that config_histories.py and config_wire.py use stands in this file. Errors are
their texts, "" is none, and the fields of records go by their order.
"""

import asyncio
import dataclasses
import random
from enum import Enum

from fakes import config

from plumpick.cli import main
from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.config import config_from
from plumpick.gateway.discovery import Discovery
from plumpick.gateway.dynamic_config.client import Source, checked
from plumpick.policy import endpoint_watch
from plumpick.policy.dynamic_config import delta, subscriber, version_store
from plumpick.tools.configuration import Failed, document, settings_in
from plumpick.tools.configuration_service import Service

# Constants whose change has to be found.
SUBSCRIBER_CONSTANT = (subscriber, "GAP_MS")
STORE_CONSTANT = (version_store, "LOST_MS")
WATCH_CONSTANT = (endpoint_watch, "FEW_ROUNDS")
CLI = main


def plain(value):
    """A record as the values of its fields."""
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, tuple | list):
        return [plain(part) for part in value]
    return value.value if isinstance(value, Enum) else value


# -- deltas


def digest(settings):
    try:
        return delta.digest(settings)
    except delta.DeltaError as problem:
        return f"error {problem}"


def difference(before, after):
    try:
        return delta.changes_between(before, after)
    except delta.DeltaError as problem:
        return f"error {problem}"


def applied(before, changes):
    try:
        return delta.applied(before, changes)
    except delta.DeltaError as problem:
        return f"error {problem}"


def published_part(settings):
    return delta.shared(settings)


# -- one gatekeeper


def new_subscriber(number, gateways, addresses, rng, now):
    return subscriber.Versions(number, gateways, addresses, rng, now)


def next_request(side, now):
    return side.next(now)


def quiet_answer(side, now, request, took_ms):
    return side.quiet(now, request, took_ms)


def failed_call(side, problem):
    return side.failed(problem)


def parsed(value):
    try:
        return plain(subscriber.offer_from(value))
    except subscriber.Unusable as problem:
        return f"error {problem}"


def received(side, now, value, problem):
    """An answer comes; `problem` is what the gatekeeper finds wrong with its settings."""
    try:
        offer = subscriber.offer_from(value)
        wish = side.wish(offer)
        if wish is not subscriber.Wish.READ:
            return side.declined(now, offer, wish)
        content = subscriber.read(offer, side.newest)
    except subscriber.Unusable as wrong:
        return side.unusable(str(wrong))
    return side.take(now, content, problem)


def activate(side, now, problem):
    """What is due, if anything, comes into force, or is refused for that."""
    content = side.due(now)
    if content is None:
        return None
    side.put(content, problem)
    return content.version


def inherited(side, value, problem):
    """What the process before left."""
    content = subscriber.read(subscriber.offer_from(value), subscriber.Content(0, "", 0.0, {}))
    is_newer = side.outdone(content)
    if is_newer:
        side.put(content, problem)
    return is_newer


def state(side, now):
    return [
        plain(side.in_force),
        plain(side.staged),
        [[version, plain(row)] for version, row in side.refused.items()],
        side.newest.version,
        side.address,
        side.failures,
        side.heard_ms,
        side.line(now),
    ]


def subscriber_worst_ms(silent):
    return subscriber.worst_ms(silent)


# -- the service


def new_store():
    return version_store.Shelf()


def publish(store, now, value):
    return store.publish(now, value)


def record_subscriber(store, *values):
    store.heard(version_store.Watcher(*values))


def answer(store, since, its, refused):
    body = store.answer(since, its, refused)
    return None if body is None else body.decode()


def status(store, now):
    return store.status(now)


def summary(states):
    lines, well = version_store.summary(states)
    return [lines, well]


def new_service(now):
    return Service(now)


# -- the daemon's side and the operators' tool


def new_client(addresses, taken, wrong):
    """A client whose gatekeeper takes over what comes, unless its first class is worth `wrong`."""

    def reconfigure(config):
        if config.settings.classes[0].worth == wrong:
            return "classes[0].worth: no such worth"
        taken.append(config.settings.classes[0].worth)
        return ""

    clock = Clock()
    timers = Timers(asyncio.get_running_loop(), clock)
    own = config_from(config(name="n0"), {})
    return Source(own, tuple(addresses), 30_000.0, reconfigure, clock, timers, random.Random(1))


def client_line(client):
    return client.line()


def client_has(client, version):
    return client.versions.in_force.version == version or version in client.versions.refused


def exported(client):
    return client.estate()


async def imported(client, value):
    await client.inherit(value)
    return client.versions.in_force.version


def checked_settings(settings, peers):
    """What is wrong with published settings for a gatekeeper with these peers."""
    more = {"peers": peers, "peer_listen": peers[0]} if peers else {}
    own = config_from(config(name="n0", **more), {})
    made, problem = checked(own, subscriber.Content(1, "", 0.0, settings))
    return [made is not None, problem]


def file_settings(path):
    """The settings of a file for the operators' tool, or what is wrong."""
    try:
        return settings_in(path)
    except Failed as problem:
        return f"error {problem}"


def next_document(settings, states, now, later):
    return document(settings, states, now, later)


# -- discovery


def new_watch(sharers, index, rng, number):
    return endpoint_watch.Watching(sharers, index, rng, number)


def next_watch(watch, now):
    return plain(watch.next(now))


def watch_answered(watch, index, complete):
    return watch.answered(index, complete)


def watch_failed(watch, problem, waited):
    return watch.failed(problem, waited)


def watch_afresh(watch):
    watch.afresh()


def watch_worst_ms(is_shared):
    return endpoint_watch.worst_ms(is_shared)


def new_discovery(address, told):
    return Discovery(address, lambda news: told([news.index, news.complete, plain(news.entries)]))
