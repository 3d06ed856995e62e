"""Helpers that build versioned settings and drive a gateway's settings subscriber without sockets."""

import copy
import random

from support.fakes import settings

from plumpick.policy.dynamic_config.delta import settings_digest, shared_settings
from plumpick.policy.dynamic_config.errors import DynamicConfigError, InvalidUpdateError
from plumpick.policy.dynamic_config.subscriber import ConfigSubscriber
from plumpick.policy.dynamic_config.updates import parse_update, resolve_update
from plumpick.policy.dynamic_config.version_store import SubscriberStatus


def published_settings(variant=0, classes=3):
    """Returns settings as a service publishes them, with `classes` request classes. Each `variant` gives
    different settings: it sets the weight of the first class and the rate of the first plan."""
    value = copy.deepcopy(shared_settings(settings()))
    row = value["classes"][0]
    value["classes"] = [{**row, "name": f"c{number}"} for number in range(classes)]
    value["classes"][0]["worth"] = float(variant)
    value["packages"][0]["perSecond"] = 50.0 + variant
    return value


def document(version, value, at_ms=0.0):
    """Returns a settings version as it is published: `value`, its digest and the activation time `at_ms`."""
    return {"version": version, "digest": settings_digest(value), "in_force_ms": at_ms, "settings": value}


def status_of(name, number, version, digest, last_call_ms=0.0, rejected=0, reason="", staged=0):
    """Returns the status that a gateway reported with its last call to the service."""
    return SubscriberStatus(name, number, version, digest, staged, rejected, reason, last_call_ms)


class Subscription:
    """A settings subscriber driven as the gateway's client drives it: each update is parsed, staged and, once
    its time has come, activated. `rejection_reason` returns why settings are rejected, or ""."""

    def __init__(self, now_ms=0.0, number=0, addresses=2, rejection_reason=lambda _settings: ""):
        self.subscriber = ConfigSubscriber(number, 5, addresses, random.Random(1), now_ms)
        self.rejection_reason = rejection_reason
        self.problems = []  # error text of each received response, "" where there was no error
        self.activated = []  # activation time in ms, version number and settings digest of each activation

    def receive(self, now_ms, value):
        """Process `value`, the JSON value of a service's response, then activate the staged version if its
        activation time has come."""
        problem = ""
        try:
            self._stage(now_ms, value)
        except InvalidUpdateError as error:
            self.subscriber.on_invalid_update()
            problem = str(error)
        except DynamicConfigError as error:
            problem = str(error)
        self.problems.append(problem)
        self.activate_due(now_ms)

    def _stage(self, now_ms, value):
        update = parse_update(value)
        self.subscriber.require_wanted(update)
        version = resolve_update(update, self.subscriber.newest)
        reason = self.rejection_reason(version.settings)
        if reason:
            self.subscriber.reject(now_ms, version, reason)
        else:
            self.subscriber.stage(now_ms, version)

    def activate_due(self, now_ms):
        """Activate the staged settings version if its activation time has come at `now_ms`."""
        version = self.subscriber.due_version(now_ms)
        if version is not None:
            self.subscriber.on_activated(version)
            self.activated.append((now_ms, version.number, settings_digest(version.settings)))
