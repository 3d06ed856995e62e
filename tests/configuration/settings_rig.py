"""Settings to publish, and a gatekeeper's side without sockets."""

import copy
import random

from fakes import settings

from plumpick.policy.dynamic_config.delta import digest, shared
from plumpick.policy.dynamic_config.subscriber import Unusable, Versions, Wish, offer_from, read


def published(mark=0, classes=3):
    """Settings as they are published; `mark` makes them differ."""
    value = copy.deepcopy(shared(settings()))
    row = value["classes"][0]
    value["classes"] = [{**row, "name": f"c{number}"} for number in range(classes)]
    value["classes"][0]["worth"] = float(mark)
    value["packages"][0]["perSecond"] = 50.0 + mark
    return value


def document(version, value, at_ms=0.0):
    return {"version": version, "digest": digest(value), "in_force_ms": at_ms, "settings": value}


class Side:
    """Versions with what the daemon does round them, at once."""

    def __init__(self, now=0.0, number=0, addresses=2, bad=lambda _settings: ""):
        self.versions = Versions(number, 5, addresses, random.Random(1), now)
        self.bad, self.told, self.put = bad, [], []  # logged; (when, version, digest of its content)

    def offer(self, now, value):
        versions = self.versions
        try:
            offer = offer_from(value)
            wish = versions.wish(offer)
            if wish is not Wish.READ:
                self.told.append(versions.declined(now, offer, wish))
                return
            content = read(offer, versions.newest)
        except Unusable as problem:
            self.told.append(versions.unusable(str(problem)))
            return
        self.told.append(versions.take(now, content, self.bad(content.settings)))
        self.step(now)

    def step(self, now):
        content = self.versions.due(now)
        if content is not None:
            self.versions.put(content, "")
            self.put.append((now, content.version, digest(content.settings)))
