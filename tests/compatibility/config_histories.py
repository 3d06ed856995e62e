"""Seeded histories of the decisions on versions of the settings and on the watch of discovery.

No clock and no sockets; a digest with checkpoints stands for each seed.
"""

import copy
import hashlib
import json
import random

from compatibility import dynamic_config as words
from support.fakes import settings

STEPS, CHECKPOINT_STEPS = 160, 80
DELTA_PAIRS = 12
WRONG = (None, "x", -1, 0, 2**60, 1.5, float("nan"), float("inf"), [], {}, True, "0" * 64)


class Digest:
    """Rows in their order, and marks by which a first difference is placed."""

    def __init__(self):
        self.hash, self.rows, self.checkpoints = hashlib.sha256(), 0, []

    def add(self, *row):
        self.hash.update(json.dumps(row, separators=(",", ":")).encode() + b"\n")
        self.rows += 1
        if self.rows % CHECKPOINT_STEPS == 0:
            self.checkpoints.append(self.hash.hexdigest()[:8])

    def result(self):
        return [self.hash.hexdigest()[:16], self.checkpoints]


def published(mark, classes=3):
    """Settings as they are published; `mark` makes them differ."""
    value = words.published_part(copy.deepcopy(settings()))
    row = value["classes"][0]
    value["classes"] = [{**row, "name": f"c{number}"} for number in range(classes)]
    value["classes"][0]["worth"] = float(mark)
    value["packages"][0]["perSecond"] = 50.0 + mark
    return value


def document(version, value, at_ms=0.0):
    return {"version": version, "digest": words.digest(value), "in_force_ms": at_ms, "settings": value}


def by_changes(base, news):
    return {
        **{key: value for key, value in news.items() if key != "settings"},
        "base": base["version"],
        "base_digest": base["digest"],
        "changes": words.difference(base["settings"], news["settings"]),
    }


def mutated(rng, value):
    """Settings with a few things else: figures, rows gone, new, moved, twice or without names."""
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


def spoilt(rng, value):
    """One part of it of a wrong kind, or gone."""
    value = copy.deepcopy(value)
    inner, key = value, rng.choice(sorted(value))
    while isinstance(inner[key], dict | list) and inner[key] and rng.random() < 0.6:
        inner = inner[key]
        key = rng.choice(sorted(inner)) if isinstance(inner, dict) else rng.randrange(len(inner))
    if rng.random() < 0.3:
        del inner[key]
    else:
        inner[key] = rng.choice(WRONG)
    return value


# -- decisions


def drawn_answer(rng, known, request, now):
    """A version by its settings or changes: good, of another base, torn, under a number in use or hostile."""
    news, other = rng.choice(known), rng.choice(known)
    what = rng.randrange(9)
    if what < 3:
        return news
    if what < 5:
        return by_changes(other, news)
    if what == 5:
        return {**by_changes(other, news), "base": request[4] or 1, "base_digest": request[5] or "0" * 64}
    if what == 6:
        return {**news, "settings": published(99)}
    if what == 7:
        return document(news["version"], published(50), now)
    return spoilt(rng, by_changes(other, news) if rng.random() < 0.5 else news)


def subscriber_digest(seed):
    """One gatekeeper: answers late, doubled, torn, of other bases and hostile ones, failures, restarts."""
    rng, rows = random.Random(f"config/{seed}"), Digest()
    count = rng.choice((1, 3, 40, 550))
    now = 1000.0 + rng.random() * 5000
    known = [document(1, published(1))]
    for version in range(2, 13):
        value = mutated(rng, known[-1]["settings"]) if rng.random() < 0.5 else published(version)
        at_ms = max(0.0, now + rng.uniform(-9000, 30_000))
        known.append(document(version + rng.randrange(2), value, at_ms))
    known.append(document(40, published(40), now + 86_400_000.0 * 2))
    number, addresses = rng.randrange(count), rng.randint(1, 4)

    def begin():
        return words.new_subscriber(number, count, addresses, random.Random(seed), now)

    side = begin()
    for _ in range(STEPS):
        request = words.next_request(side, now)
        rows.add("request", words.plain(request))
        now += rng.choice((0.0, 1.0, 30.0, 700.0, 2500.0))
        problem = rng.choice(("", "", "", "settings.classes: \x00 is\nmissing" + "!" * 300))
        what = rng.randrange(15)
        if what < 2:
            took_ms = rng.choice((0.5, 900.0, 1100.0, 2000.0))
            rows.add("quiet", words.quiet_answer(side, now, request, took_ms))
        elif what == 2:
            rows.add("failed", words.failed_call(side, "the connection failed"))
        elif what < 12:
            value = drawn_answer(rng, known, words.plain(request), now)
            rows.add("answer", words.parsed(value), words.received(side, now, value, problem))
        elif what == 12:
            rows.add("inherited", words.inherited(side, rng.choice(known), problem))
        elif rng.random() < 0.1:
            side = begin()
        refuses = "the window is full" if rng.random() < 0.2 else ""
        rows.add("activated", words.activate(side, now, refuses), words.state(side, now))
    return rows.result()


def store_digest(seed):
    """Two services and what status tells of both: publishers that cross, gatekeepers with every version."""
    rng, rows = random.Random(f"store/{seed}"), Digest()
    stores = [words.new_store(), words.new_store()]
    known, now = [document(1, published(1))], 1000.0
    for _ in range(STEPS):
        now += rng.choice((0.0, 5.0, 400.0, 7000.0))
        store, what = rng.choice(stores), rng.randrange(12)
        if what < 2:
            value = mutated(rng, rng.choice(known)["settings"]) if rng.random() < 0.7 else published(now)
            version = known[-1]["version"] + rng.choice((1, 1, 1, 2, 0, -1))
            one = document(version, value, now + rng.uniform(-3000, 9000))
            known.append(one)
            for target in rng.choice((stores, [store])):
                rows.add("publish", words.publish(target, now, one))
        elif what == 2:
            rows.add("again", words.publish(store, now, rng.choice(known)))
        elif what == 3:
            rows.add("spoilt", words.publish(store, now, spoilt(rng, rng.choice(known))))
        elif what == 4:
            one = by_changes(rng.choice(known), rng.choice(known))
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
            rows.add("answer", words.answer(store, has["version"], its, rng.choice((0, 0, has["version"]))))
        else:
            rows.add("status", [words.status(one, now) for one in stores])
        rows.add(
            "summary",
            words.summary([words.status(one, now) for one in stores]),
            words.summary([words.status(store, now + 6500.0)]),
        )
    return rows.result()


def delta_digest(seed):
    """Digests, differences and what applying them gives, hostile ones too."""
    rng, rows = random.Random(f"delta/{seed}"), Digest()
    before = published(1, 12)
    for _ in range(DELTA_PAIRS):
        after = mutated(rng, before)
        changes = words.difference(before, after)
        rows.add(words.digest(before), words.digest(after), changes)
        if isinstance(changes, dict):
            rows.add(words.applied(before, changes))
            for _ in range(4):
                rows.add(words.applied(before, spoilt(rng, changes)))
            rows.add(words.applied(published(7, 3), changes))
        before = after
    rows.add(words.digest({"limits": float("nan")}), words.difference({}, {"a": [float("inf")]}))
    return rows.result()


def watch_digest(seed):
    """The watch of discovery: one of an agent or of a shared service, with every end of a call."""
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
            words.watch_afresh(watch)
    return rows.result()


def digests_of(seed):
    """All decisions of a seed."""
    return {
        "subscriber": subscriber_digest(seed),
        "store": store_digest(seed),
        "delta": delta_digest(seed),
        "watch": watch_digest(seed),
    }
