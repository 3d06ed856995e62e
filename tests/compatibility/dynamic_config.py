"""Adapter of settings versions and the discovery watch to plain values, independent of names in the code.

All names of the program that config_histories.py and config_wire.py use are imported here. An error is given
as its text, no error as "", and the fields of a record are given in the order of their definition.
"""

import asyncio
import dataclasses
import random
from enum import Enum

from support.fakes import config

from plumpick.cli import main
from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.config import parse_config
from plumpick.gateway.discovery import DiscoveryClient
from plumpick.gateway.dynamic_config.client import ConfigClient, UnusableSettingsError, config_for_version
from plumpick.gateway.errors import SettingsRejectedError
from plumpick.policy import endpoint_watch
from plumpick.policy.dynamic_config import delta, rollout_report, subscriber, updates, version_store
from plumpick.policy.dynamic_config.errors import (
    DeltaError,
    DynamicConfigError,
    InvalidUpdateError,
    PublishError,
)
from plumpick.tools.configuration import SettingsFileError, load_settings, next_version
from plumpick.tools.configuration_service import VersionService

# Module and name of the constants that test_compatibility.py changes to check that the digests then differ.
SUBSCRIBER_CONSTANT = (subscriber, "MIN_WATCH_INTERVAL_MS")
STORE_CONSTANT = (rollout_report, "UNREACHABLE_AFTER_MS")
WATCH_CONSTANT = (endpoint_watch, "ROUNDS_AFTER_QUEUE_TIMEOUT")
CLI = main


def plain(value):
    """Converts dataclass objects, also inside lists, to lists of field values, and enums to their values."""
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, tuple | list):
        return [plain(part) for part in value]
    return value.value if isinstance(value, Enum) else value


# -- deltas


def digest(settings):
    try:
        return delta.settings_digest(settings)
    except DeltaError as problem:
        return f"error {problem}"


def difference(before, after):
    try:
        return delta.changes_between(before, after)
    except DeltaError as problem:
        return f"error {problem}"


def applied(before, changes):
    try:
        return delta.apply_changes(before, changes)
    except DeltaError as problem:
        return f"error {problem}"


def published_part(settings):
    return delta.shared_settings(settings)


# -- subscriber of one gateway


def new_subscriber(number, gateways, addresses, rng, now):
    return subscriber.ConfigSubscriber(number, gateways, addresses, rng, now)


def next_request(config_subscriber, now):
    return config_subscriber.next_request(now)


def on_unchanged_response(config_subscriber, now, request, took_ms):
    try:
        config_subscriber.on_unchanged(now, request, took_ms)
    except DynamicConfigError as wrong:
        return str(wrong)
    return ""


def failed_call(config_subscriber, problem):
    config_subscriber.on_call_failed()
    return problem


def parsed(value):
    try:
        return plain(updates.parse_update(value))
    except InvalidUpdateError as problem:
        return f"error {problem}"


def on_response(config_subscriber, now, value, problem):
    """Stages the version of a response, or rejects it if `problem` is not empty; returns the error text."""
    try:
        update = updates.parse_update(value)
        config_subscriber.require_wanted(update)
        version = updates.resolve_update(update, config_subscriber.newest)
    except InvalidUpdateError as wrong:
        config_subscriber.on_invalid_update()
        return str(wrong)
    except DynamicConfigError as wrong:
        return str(wrong)
    try:
        if problem:
            config_subscriber.reject(now, version, problem)
        else:
            config_subscriber.stage(now, version)
    except DynamicConfigError as wrong:
        return str(wrong)
    return ""


def activate(config_subscriber, now, problem):
    """Activates the staged version if its time has come, or reports `problem`; returns its number or None."""
    version = config_subscriber.due_version(now)
    if version is None:
        return None
    end_activation(config_subscriber, version, problem)
    return version.number


def end_activation(config_subscriber, version, problem):
    if problem:
        config_subscriber.on_activation_failed(version, problem)
    else:
        config_subscriber.on_activated(version)


def inherited(config_subscriber, value, problem):
    """Activates the version of the hot-restart predecessor if it is newer; returns whether it is."""
    version = updates.resolve_update(updates.parse_update(value), updates.OWN_FILE)
    is_newer = config_subscriber.is_newer_than_active(version)
    if is_newer:
        end_activation(config_subscriber, version, problem)
    return is_newer


def state(config_subscriber, now):
    return [
        plain(config_subscriber.active),
        plain(config_subscriber.staged),
        [[version, plain(row)] for version, row in config_subscriber.rejected.items()],
        config_subscriber.newest.number,
        config_subscriber.address_index,
        config_subscriber.consecutive_failures,
        config_subscriber.last_response_ms,
        config_subscriber.status_line(now),
    ]


def subscriber_worst_ms(silent):
    return subscriber.worst_notification_ms(silent)


# -- configuration service


def new_store():
    return version_store.VersionStore()


def publish(store, now, value):
    try:
        store.publish(now, value)
    except PublishError as problem:
        return str(problem)
    return ""


def record_subscriber(store, *values):
    store.record_subscriber(version_store.SubscriberStatus(*values))


def answer(store, now, since, its, refused):
    body = store.response_for(now, since, its, refused)
    return None if body is None else body.decode()


def status(store, now):
    return store.status(now)


def summary(states):
    report = rollout_report.report_rollout(states)
    return [report.lines, report.is_complete]


def new_service(now):
    return VersionService(now)


# -- configuration client of the gateway and operators' tool


def new_client(addresses, taken, wrong):
    """Returns a client that appends accepted priority weights to `taken` and rejects the weight `wrong`."""

    def reconfigure(config):
        if config.settings.classes[0].priority_weight == wrong:
            raise SettingsRejectedError("classes[0].worth: no such worth")
        taken.append(config.settings.classes[0].priority_weight)

    clock = Clock()
    timers = Timers(asyncio.get_running_loop(), clock)
    own = parse_config(config(name="n0"), {})
    return ConfigClient(own, tuple(addresses), 30_000.0, reconfigure, clock, timers, random.Random(1))


def client_line(client):
    return client.status_line()


def client_has(client, version):
    return client.subscriber.active.number == version or version in client.subscriber.rejected


def exported(client):
    return client.export_state()


async def imported(client, value):
    await client.import_state(value)
    return client.subscriber.active.number


def checked_settings(settings, peers):
    """Returns whether published settings are usable for a gateway with these peers, and the error text."""
    more = {"peers": peers, "peer_listen": peers[0]} if peers else {}
    own = parse_config(config(name="n0", **more), {})
    try:
        config_for_version(own, updates.SettingsVersion(1, "", 0.0, settings))
    except UnusableSettingsError as problem:
        return [False, str(problem)]
    return [True, ""]


def file_settings(path):
    """Returns the settings that the operators' tool loads from a file, or "error" with the error text."""
    try:
        return load_settings(path)
    except SettingsFileError as problem:
        return f"error {problem}"


def next_document(settings, states, now, later):
    return next_version(settings, states, now, later)


# -- discovery


def new_watch(sharers, index, rng, number):
    return endpoint_watch.EndpointWatch(sharers, index, rng, number)


def next_watch(watch, now):
    return plain(watch.next_request(now))


def watch_answered(watch, index, complete):
    try:
        watch.on_response(index, complete)
    except endpoint_watch.EndpointWatchError as problem:
        return str(problem)
    return ""


def watch_failed(watch, problem, waited):
    watch.on_call_failed(waited)
    return problem


def reset_watch(watch):
    watch.reset()


def watch_worst_ms(is_shared):
    return endpoint_watch.worst_notification_ms(is_shared)


def new_discovery(address, told):
    return DiscoveryClient(
        address, lambda update: told([update.index, update.complete, plain(update.entries)])
    )
