"""Seeded histories of decisions on settings versions and on the discovery watch, without clock and sockets.

Each seed gives a digest with checkpoints.
"""

import copy
import hashlib
import json
import random

from compatibility import dynamic_config as words
from support.fakes import settings

STEPS, CHECKPOINT_STEPS = 160, 80
DELTA_PAIRS = 12
WRONG_VALUES = (None, "x", -1, 0, 2**60, 1.5, float("nan"), float("inf"), [], {}, True, "0" * 64)


class Digest:
    """Digest of a sequence of rows, with checkpoints that show where two sequences begin to differ."""

    def __init__(self):
        self.hash, self.rows, self.checkpoints = hashlib.sha256(), 0, []

    def add(self, *row):
        self.hash.update(json.dumps(row, separators=(",", ":")).encode() + b"\n")
        self.rows += 1
        if self.rows % CHECKPOINT_STEPS == 0:
            self.checkpoints.append(self.hash.hexdigest()[:8])

    def result(self):
        return [self.hash.hexdigest()[:16], self.checkpoints]


def published_settings(mark, classes=3):
    """Returns settings in the published form; each `mark` gives different settings."""
    value = words.published_part(copy.deepcopy(settings()))
    row = value["classes"][0]
    value["classes"] = [{**row, "name": f"c{number}"} for number in range(classes)]
    value["classes"][0]["worth"] = float(mark)
    value["packages"][0]["perSecond"] = 50.0 + mark
    return value


def document(version, value, at_ms=0.0):
    return {"version": version, "digest": words.digest(value), "in_force_ms": at_ms, "settings": value}


def delta_document(base, newer):
    return {
        **{key: value for key, value in newer.items() if key != "settings"},
        "base": base["version"],
        "base_digest": base["digest"],
        "changes": words.difference(base["settings"], newer["settings"]),
    }


def changed_copy(rng, value):
    """Returns a copy of settings with some values changed and rows removed, added, moved or unnamed."""
    value = copy.deepcopy(value)
    for _ in range(rng.randint(1, 4)):
        rows = value[rng.choice(("classes", "packages"))]
        what = rng.randrange(8)
        if what == 0 and rows and isinstance(rows[0], dict):
            rows[0]["worth"] = rng.choice((1, 1.0, 2.5, None))
        elif what == 1 and rows:
            rows.pop(rng.randrange(len(rows)))
        elif what == 2:
            rows.insert(rng.randint(0, len(rows)), {"name": f"new-{rng.randrange(9)}", "worth": 1.0})
        elif what == 3:
            rng.shuffle(rows)
        elif what == 4:
            value["limits"]["maxAttempts"] = rng.randrange(1, 9)
        elif what == 5:
            value[f"other-{rng.randrange(3)}"] = rng.choice(([1, 2], {"a": 1}, "text", 7))
        elif what == 6 and rng.random() < 0.2:
            rows.append(rng.choice(({"worth": 2.0}, 7, {"name": 7})))
        elif what == 7:
            value.pop(rng.choice(("domain", "rules", "other-0", "limits")), None)
            value.setdefault("limits", {})
    return value


def malformed_copy(rng, value):
    """Returns a copy of the value with one random part removed or replaced by a wrong value."""
    value = copy.deepcopy(value)
    inner, key = value, rng.choice(sorted(value))
    while isinstance(inner[key], dict | list) and inner[key] and rng.random() < 0.6:
        inner = inner[key]
        key = rng.choice(sorted(inner)) if isinstance(inner, dict) else rng.randrange(len(inner))
    if rng.random() < 0.3:
        del inner[key]
    else:
        inner[key] = rng.choice(WRONG_VALUES)
    return value


# -- decisions


def random_response(rng, known, request, now):
    """Returns a random response: settings or a delta, valid, malformed or with a wrong base or number."""
    newer, other = rng.choice(known), rng.choice(known)
    what = rng.randrange(9)
    if what < 3:
        return newer
    if what < 5:
        return delta_document(other, newer)
    if what == 5:
        return {
            **delta_document(other, newer),
            "base": request[4] or 1,
            "base_digest": request[5] or "0" * 64,
        }
    if what == 6:
        return {**newer, "settings": published_settings(99)}
    if what == 7:
        return document(newer["version"], published_settings(50), now)
    return malformed_copy(rng, delta_document(other, newer) if rng.random() < 0.5 else newer)


def subscriber_digest(seed):
    """Digest of a subscriber: late, repeated and malformed responses, failed calls and restarts."""
    rng, rows = random.Random(f"config/{seed}"), Digest()
    count = rng.choice((1, 3, 40, 550))
    now = 1000.0 + rng.random() * 5000
    known = [document(1, published_settings(1))]
    for version in range(2, 13):
        value = (
            changed_copy(rng, known[-1]["settings"]) if rng.random() < 0.5 else published_settings(version)
        )
        at_ms = max(0.0, now + rng.uniform(-9000, 30_000))
        known.append(document(version + rng.randrange(2), value, at_ms))
    known.append(document(40, published_settings(40), now + 86_400_000.0 * 2))
    number, addresses = rng.randrange(count), rng.randint(1, 4)

    def new_subscriber():
        return words.new_subscriber(number, count, addresses, random.Random(seed), now)

    config_subscriber = new_subscriber()
    for _ in range(STEPS):
        request = words.next_request(config_subscriber, now)
        rows.add("request", words.plain(request))
        now += rng.choice((0.0, 1.0, 30.0, 700.0, 2500.0))
        problem = rng.choice(("", "", "", "settings.classes: \x00 is\nmissing" + "!" * 300))
        what = rng.randrange(15)
        if what < 2:
            took_ms = rng.choice((0.5, 900.0, 1100.0, 2000.0))
            rows.add("quiet", words.on_unchanged_response(config_subscriber, now, request, took_ms))
        elif what == 2:
            rows.add("failed", words.failed_call(config_subscriber, "the connection failed"))
        elif what < 12:
            value = random_response(rng, known, words.plain(request), now)
            rows.add("answer", words.parsed(value), words.on_response(config_subscriber, now, value, problem))
        elif what == 12:
            rows.add("inherited", words.inherited(config_subscriber, rng.choice(known), problem))
        elif rng.random() < 0.1:
            config_subscriber = new_subscriber()
        activation_error = "the window is full" if rng.random() < 0.2 else ""
        rows.add(
            "activated",
            words.activate(config_subscriber, now, activation_error),
            words.state(config_subscriber, now),
        )
    return rows.result()


def store_digest(seed):
    """Digest of two configuration services: concurrent publishers, subscribers of any version, and status."""
    rng, rows = random.Random(f"store/{seed}"), Digest()
    stores = [words.new_store(), words.new_store()]
    known, now = [document(1, published_settings(1))], 1000.0
    for _ in range(STEPS):
        now += rng.choice((0.0, 5.0, 400.0, 7000.0))
        store, what = rng.choice(stores), rng.randrange(12)
        if what < 2:
            value = (
                changed_copy(rng, rng.choice(known)["settings"])
                if rng.random() < 0.7
                else published_settings(now)
            )
            version = known[-1]["version"] + rng.choice((1, 1, 1, 2, 0, -1))
            one = document(version, value, now + rng.uniform(-3000, 9000))
            known.append(one)
            for target in rng.choice((stores, [store])):
                rows.add("publish", words.publish(target, now, one))
        elif what == 2:
            rows.add("again", words.publish(store, now, rng.choice(known)))
        elif what == 3:
            rows.add("spoilt", words.publish(store, now, malformed_copy(rng, rng.choice(known))))
        elif what == 4:
            one = delta_document(rng.choice(known), rng.choice(known))
            rows.add("by changes", words.publish(store, now, one))
        elif what < 8:
            has, staged = rng.choice(known), rng.choice((0, 0, known[-1]["version"]))
            number = rng.randrange(6)
            refused = rng.choice((0, 0, 0, known[-1]["version"]))
            why = "settings.limits: an object is due" if refused else ""
            its = has["digest"] if rng.random() < 0.9 else "8" * 64
            version = has["version"] + rng.choice((0,) * 9 + (50,))
            words.record_subscriber(store, f"n{number}", number, version, its, staged, refused, why, now)
        elif what < 11:
            has = rng.choice(known)
            its = has["digest"] if rng.random() < 0.8 else ""
            rows.add(
                "answer", words.answer(store, now, has["version"], its, rng.choice((0, 0, has["version"])))
            )
        else:
            rows.add("status", [words.status(one, now) for one in stores])
        rows.add(
            "summary",
            words.summary([words.status(one, now) for one in stores]),
            words.summary([words.status(store, now + 6500.0)]),
        )
    return rows.result()


def delta_digest(seed):
    """Digest of settings digests, deltas and the results of applying valid and malformed deltas."""
    rng, rows = random.Random(f"delta/{seed}"), Digest()
    before = published_settings(1, 12)
    for _ in range(DELTA_PAIRS):
        after = changed_copy(rng, before)
        changes = words.difference(before, after)
        rows.add(words.digest(before), words.digest(after), changes)
        if isinstance(changes, dict):
            rows.add(words.applied(before, changes))
            for _ in range(4):
                rows.add(words.applied(before, malformed_copy(rng, changes)))
            rows.add(words.applied(published_settings(7, 3), changes))
        before = after
    rows.add(words.digest({"limits": float("nan")}), words.difference({}, {"a": [float("inf")]}))
    return rows.result()


def watch_digest(seed):
    """Digest of a discovery watch of an agent or of a shared service, with every outcome of a call."""
    rng, rows = random.Random(f"watch/{seed}"), Digest()
    sharers = rng.choice((0, 0, 1, 3, 40, 200))
    number = rng.randrange(max(1, sharers))
    watch = words.new_watch(sharers, rng.choice((None, 7)), random.Random(seed), number)
    now, index = 1000.0, 7
    for _ in range(STEPS):
        call = words.next_watch(watch, now)
        rows.add(call)
        now += call[3] + rng.choice((0.0, 1.0, 300.0, 1999.0))
        what = rng.randrange(8)
        if what < 4:
            index += rng.choice((0, 1, 1, 5, -3))
            rows.add(words.watch_answered(watch, index, call[0] is None or rng.random() < 0.1))
        elif what < 7:
            rows.add(words.watch_failed(watch, rng.choice(("", "no answer in time")), rng.random() < 0.5))
        elif rng.random() < 0.2:
            words.reset_watch(watch)
    return rows.result()


def digests_of(seed):
    """Returns the digests of all decisions of a seed, by name."""
    return {
        "subscriber": subscriber_digest(seed),
        "store": store_digest(seed),
        "delta": delta_digest(seed),
        "watch": watch_digest(seed),
    }
