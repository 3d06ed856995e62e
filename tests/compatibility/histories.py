"""Seeded histories of the policy controller: several gateways, injected faults and malformed events.

A history depends only on its seed and on the controllers' actions, not on names in the code. Its digest
covers all events and actions; checkpoints show where two histories begin to differ.
"""

import hashlib
import heapq
import itertools
import json
import math
import random

from compatibility import vocabulary as words

START_MS, END_MS, TICK_MS = 1000.0, 5000.0, 4.0
CHECKPOINT_TURNS = 150  # Number of controller calls between two checkpoints
LATENCY_MS = (1.0, 40.0)  # Range of the delay of peer messages
ENDPOINTS = (2, 14)  # Range of the initial number of endpoints
EFFECTS = ("retryable", "dedup", "fragile")
SCOPES = ("all", "zone", "cell")
ZONES = ("a", "b", "c")


def random_settings(rng, gateways):
    """Returns random valid settings in the JSON form of the configuration file."""
    classes = []
    for place in range(rng.randint(1, 4)):
        deadline = rng.choice((300.0, 900.0, 2500.0, 7500.0))
        classes.append(
            {
                "name": f"class-{place}",
                "aimMs": deadline * rng.uniform(0.2, 0.9),
                "deadlineMs": deadline,
                "worth": rng.choice((0.0, 1.0, 2.0, 4.0)),
                "repeat": rng.choice(EFFECTS),
                "keyScope": rng.choice(SCOPES),
                "dedupWindowMs": rng.choice((0.0, 200.0, 900.0, 15_000.0)),
                "lateWorth": rng.choice((0.0, 0.5)),
            }
        )
    packages = []
    for place in range(rng.randint(1, 3)):
        rate = rng.choice((0.0, 2.0, 8.0, 30.0))
        hard = rng.choice((0.0, 0.0, 2.0)) * rate
        packages.append(
            {
                "name": f"plan-{place}",
                "perSecond": rate,
                "storeSize": rate * rng.choice((0.5, 3.0)),
                "concurrency": rng.choice((0, 0, 0, 3)),
                "valueFactor": rng.uniform(0.5, 2.0),
                "overWorth": rng.choice((0.0, 0.9)),
                "overrunCost": 0.6,
                "hardRate": hard,
                "hardBurst": hard * 3,
                "capSlack": max(4.0, hard * 0.3),
            }
        )
    return {
        "balancers": gateways,
        "myNumber": 0,
        "locality": "a",
        "tickMs": TICK_MS,
        "classes": classes,
        "packages": packages,
        "limits": {
            "maxAttempts": rng.choice((1, 2, 3, 5)),
            "cancel": rng.random() < 0.7,
            "mayTell": rng.random() < 0.85,
            "secondCopies": rng.random() < 0.7,
            "retryAfter": True,
            "maxRetryAfterMs": rng.choice((0.0, 1000.0)),
        },
        "domain": {"inboxPerS": rng.choice((0.0, 20.0, 60.0)), "maxUnits": 4.0},
        "rules": {
            "warmUpMs": rng.choice((0.0, 1500.0, 9000.0)),
            "coldFrom": rng.choice((0.1, 0.4)),
            "fallMultiple": rng.choice((1.5, 3.0)),
            "tipAfterMs": 700.0,
        },
        "discovery": rng.choice(("automatic", "subscribe")),
        "report": {"how": "answers", "fields": rng.choice((["util", "latency_ms"], ["inflight"], []))},
    }


def changed_settings(rng, value):
    """Returns a copy of the settings with one random change, possibly one that the controller must reject."""
    value = json.loads(json.dumps(value))
    what = rng.randrange(6)
    if what == 0:
        value["classes"][0]["aimMs"] *= rng.choice((0.5, 1.5))
    elif what == 1:
        plan = rng.choice(value["packages"])
        plan["perSecond"], plan["storeSize"] = plan["perSecond"] * 2 + 1, plan["storeSize"] * 2 + 1
    elif what == 2:
        value["classes"].append(dict(value["classes"][0], name=f"class-new-{rng.randrange(3)}"))
        names = {row["name"]: row for row in value["classes"]}
        value["classes"] = list(names.values())
    elif what == 3 and len(value["packages"]) > 1:
        value["packages"].pop(rng.randrange(len(value["packages"])))
    elif what == 4:
        value["rules"]["warmUpMs"] += 500.0
    else:
        value["locality"] = "elsewhere"
    return value


class Request:
    """A client's request at one gateway, with its attempts in progress."""

    def __init__(self, gateway, due_ms):
        self.gateway, self.due_ms = gateway, due_ms
        self.sends, self.open, self.ended = 0, {}, False


class History:
    """A simulated history of one seed: controllers, endpoints, requests and the queue of future events."""

    def __init__(self, seed, end_ms=END_MS):
        self.rng = random.Random(f"compatibility/{seed}")
        rng = self.rng
        self.now, self.end_ms = START_MS, end_ms
        self.count = rng.choice((1, 2, 3, 3, 5, 12))
        self.value = random_settings(rng, self.count)
        self.seed = seed
        self.modules = [self.new_module(number) for number in range(self.count)]
        self.former = {}
        self.endpoints = [self.new_endpoint(place) for place in range(rng.randint(*ENDPOINTS))]
        self.requests, self.serial = {}, itertools.count(1)
        self.queue, self.order = [], itertools.count()
        self.rate = rng.uniform(0.005, 0.06) * len(self.endpoints)  # requests a ms over all gateways
        self.loss, self.split_ms = rng.choice((0.0, 0.05, 0.4)), rng.uniform(0, end_ms)
        self.slow = {place: rng.choice((1, 1, 1, 4)) for place in range(len(self.endpoints))}
        self.bad = {place: rng.choice((0.0, 0.0, 0.1, 0.9)) for place in range(len(self.endpoints))}
        self.digest, self.turns, self.checkpoints = hashlib.sha256(), 0, []
        self.snapshot = None

    # -- settings and endpoints

    def settings_of(self, number, value=None):
        value = dict(value or self.value, myNumber=number, locality=(value or self.value)["locality"])
        if value["locality"] == "a":
            value["locality"] = ZONES[number % len(ZONES)]
        return words.PARSE_SETTINGS(value, "settings")

    def new_module(self, number):
        return words.controller(self.settings_of(number), self.seed * 100 + number)

    def new_endpoint(self, place):
        rng = self.rng
        started = rng.choice((0.0, 0.0, self.now - rng.uniform(0, 4000)))
        return [
            f"w{place}",
            ZONES[place % len(ZONES)],
            place // 3,
            "ready",
            rng.choice((1.0, 1.0, 2.0)),
            started,
        ]

    def endpoints_event(self, complete=True, failed=False, some=None):
        rows = self.endpoints if some is None else some
        endpoints = tuple(
            words.make("endpoint", name, zone, cell, words.STATES[state], weight, started)
            for name, zone, cell, state, weight, started in rows
        )
        return words.make("endpoints", endpoints, complete, failed)

    # -- time

    def at(self, ms, gateway, event):
        heapq.heappush(self.queue, (max(self.now, ms), next(self.order), gateway, event))

    def play(self):
        """Runs the history to `end_ms`; returns its digest and checkpoints."""
        for number in range(self.count):
            self.at(self.now + number, number, self.endpoints_event())
        next_request = self.now
        while self.now < self.end_ms:
            self.now += TICK_MS * self.rng.choice((1, 1, 1, 2, 3))
            if self.rng.random() < 0.002:
                self.now += 700.0  # stall of all processes
            while next_request <= self.now:
                next_request += self.rng.expovariate(self.rate)
                self.arrive()
            self.inject_random_events()
            due = {}
            while self.queue and self.queue[0][0] <= self.now:
                _, _, gateway, event = heapq.heappop(self.queue)
                due.setdefault(gateway, []).append(event)
            for gateway, events in sorted(due.items()):
                self.turn(gateway, events)
        return self.digest.hexdigest(), self.checkpoints

    def turn(self, gateway, events):
        module = self.modules[gateway]
        actions = module.handle(self.now, events)
        row = [self.now, gateway, words.plain(events), words.plain(actions), len(module.faults)]
        row.append(words.unresponsive_owners(module))
        self.digest.update(json.dumps(row).encode())
        self.turns += 1
        if self.turns % CHECKPOINT_TURNS == 0:
            self.checkpoints.append(self.digest.hexdigest()[:8])
        for action in actions:
            self.execute(gateway, words.plain(action))

    # -- events of clients, workers, peers and operators

    def arrive(self, again=None):
        rng, number = self.rng, next(self.serial)
        kind, plan = rng.choice(self.value["classes"]), rng.choice(self.value["packages"])
        gateway = rng.randrange(self.count)
        spread = rng.choice((1, min(3, self.count), self.count))
        due = self.now + kind["deadlineMs"] * rng.uniform(0.3, 1.0)
        self.requests[number] = Request(gateway, due)
        event = words.make(
            "request",
            number,
            f"c{min(rng.randrange(40), rng.randrange(40))}",
            kind["name"],
            plan["name"],
            due,
            rng.choice((1.0, 1.0, 2.0)),
            0,
            spread,
            again is not None or rng.random() < 0.1,
        )
        self.at(self.now, gateway, event)
        self.at(due + 20.0, gateway, words.make("client-left", number))
        if rng.random() < 0.05:
            self.at(self.now + rng.uniform(1, 300), gateway, words.make("client-left", number))

    def inject_random_events(self):
        rng = self.rng
        if rng.random() < 0.02:
            self.change_endpoints()
        if rng.random() < 0.01:
            self.command()
        if rng.random() < 0.02:
            self.at(self.now, rng.randrange(self.count), self.malformed_event())
        if rng.random() < 0.003:
            self.replace_process()
        if rng.random() < 0.006:
            number = rng.randrange(self.count)
            settings = self.settings_of(number, changed_settings(rng, self.value))
            self.at(self.now, number, words.make("reconfigure", next(self.serial), settings))

    def change_endpoints(self):
        rng = self.rng
        row = rng.choice(self.endpoints)
        what = rng.randrange(5)
        if what == 0:
            row[3] = rng.choice(("ready", "ready", "draining", "gone"))
        elif what == 1:
            row[3], row[5] = "ready", self.now
        elif what == 2:
            self.endpoints.append(self.new_endpoint(len(self.endpoints)))
            self.slow[len(self.endpoints) - 1], self.bad[len(self.endpoints) - 1] = 1, 0.0
        elif what == 3:
            place = rng.randrange(len(self.endpoints))
            self.slow[place], self.bad[place] = rng.choice((1, 6)), rng.choice((0.0, 0.7))
        for number in range(self.count):
            late = rng.uniform(0, 300)
            if what == 4:
                self.at(self.now + late, number, self.endpoints_event(failed=True, some=()))
            else:
                complete = rng.random() < 0.5
                self.at(
                    self.now + late, number, self.endpoints_event(complete, some=None if complete else [row])
                )

    def command(self):
        rng = self.rng
        call = words.CALLS[rng.choice(("disable", "enable", "enable", "drain", "undrain", "undrain"))]
        name = rng.choice([row[0] for row in self.endpoints] + ["nobody"])
        self.at(self.now, rng.randrange(self.count), words.make("order", next(self.serial), call, name))

    def malformed_event(self):
        rng = self.rng
        known = max(1, next(self.serial) - rng.randrange(1, 9))
        return rng.choice(
            (
                None,
                7,
                object,
                words.make("request", known, "c", "class-0", "plan-0", self.now + 500),
                words.make("request", next(self.serial), "c", "class-0", "plan-0", math.nan),
                words.make("request", next(self.serial), None, "class-0", "plan-0", self.now + 500),
                words.make("request", next(self.serial), "c", "class-0", "plan-0", self.now + 500, math.nan),
                words.make(
                    "request", next(self.serial), "c", "class-0", "plan-0", self.now + 500, 1.0, 99, -3
                ),
                words.make("request", "ten", "c", "class-0", "plan-0", self.now + 500),
                words.make("completed", 10**6, 0, "w0", 1.0, words.RESULTS["ok"], True),
                words.make("completed", known, 0, "w0", math.nan, words.RESULTS["ok"], False),
                words.make("completed", known, "0", "w0", 1.0, None, False),
                words.make("peer-message", 1, b"\xff"),
                words.make("peer-message", 99, b"\x04" * 40),
                words.make("peer-message", "one", b""),
                words.make("endpoints", None),
                words.make("timer-fired", "nobody"),
                words.make("started", known, 0, "w0"),
                words.make("import", {"form": 9}),
            )
        )

    def replace_process(self):
        """Requests a state export of one gateway; the export is followed by a hot restart or its failure."""
        number = self.rng.randrange(self.count)
        self.at(self.now, number, words.make("export"))

    def execute(self, gateway, action):
        tag, *values = action
        if tag == "send":
            self.send(gateway, values)
        elif tag in ("refuse", "fail"):
            self.close_request(values[0], tag)
        elif tag == "cancel":
            request = self.requests.get(values[0])
            if request is not None and values[1] in request.open:
                self.complete(values[0], values[1], "cancelled", 1.0)
        elif tag == "set-timer":
            self.at(self.now + values[0], gateway, words.make("timer-fired", values[1]))
        elif tag == "tell":
            self.deliver_message(gateway, values[0], bytes.fromhex(values[1][1]))
        elif tag == "watch":
            self.at(self.now + self.rng.uniform(1, 200), gateway, self.endpoints_event())
        elif tag == "exported":
            self.replace_module(gateway, values[0])

    def replace_module(self, number, state):
        rng = self.rng
        state = {key: value for key, value in self.unfolded(state).items()}
        state = json.loads(json.dumps(state))
        self.snapshot = number, self.now, state
        if rng.random() < 0.3:
            self.at(self.now + rng.uniform(10, 200), number, words.make("resume"))
            return
        self.modules[number] = self.new_module(number)
        self.at(self.now, number, self.endpoints_event())
        self.at(self.now, number, words.make("import", state))
        self.at(self.now + 1, number, words.make("timer-fired", "agenda"))
        for key, request in list(self.requests.items()):
            if request.gateway == number:
                self.close_request(key, "moved")

    def unfolded(self, value):
        """Converts the result of `plain` for nested dictionaries and lists back to dictionaries and lists."""
        if isinstance(value, list) and value and value[0] == "map":
            return {self.unfolded(key): self.unfolded(part) for key, part in value[1:]}
        if isinstance(value, list):
            return [self.unfolded(part) for part in value]
        return value

    def deliver_message(self, sender, receiver, data):
        rng = self.rng
        is_split = self.split_ms <= self.now < self.split_ms + 900 and (sender < 2) != (receiver < 2)
        if not 0 <= receiver < self.count or receiver == sender or is_split or rng.random() < self.loss:
            return
        for _ in range(rng.choice((1, 1, 1, 1, 2))):
            message = words.make("peer-message", sender, data)
            self.at(self.now + rng.uniform(*LATENCY_MS), receiver, message)

    def send(self, gateway, values):
        number, name, allow_ms, within_ms, attempt_number = values
        rng, request = self.rng, self.requests.get(number)
        if request is None or request.ended:
            self.at(
                self.now,
                gateway,
                words.make("completed", number, attempt_number, name, 0.0, words.RESULTS["moot"], True),
            )
            return
        attempt, request.sends = request.sends, request.sends + 1
        request.open[attempt] = name
        place = int(name[1:])
        took = 5 + rng.expovariate(1 / 90) * self.slow[place]
        result = "ok"
        if rng.random() < self.bad[place] + 0.04:
            result = rng.choice(("error", "full", "full", "connect_failed", "reset", "timeout", "swallowed"))
        if within_ms != "inf" and rng.uniform(0, 60) > within_ms:
            result, took = "connect_failed", 30.0
        if result == "timeout" or took > allow_ms:
            result, took = "timeout", allow_ms
        if result == "swallowed":
            return
        if rng.random() < 0.04:
            kept = rng.random() < 0.6
            event = words.make("started", number, attempt, name, kept)
            self.at(self.now + took / 2, gateway, event)
        self.complete(number, attempt, result, took)

    def complete(self, number, attempt, result, took):
        request = self.requests[number]
        name = request.open[attempt]
        load = self.rng.choice(((), (), (self.rng.random(), took)))
        served = result == "ok"
        is_final = served or request.ended
        event = words.make(
            "completed", number, attempt, name, took, words.RESULTS[result], is_final, 0.0, 0, load
        )
        if result != "cancelled" or attempt in request.open:
            self.at(self.now + took, request.gateway, event)
        if served:
            request.ended = True

    def close_request(self, number, how):
        request = self.requests.get(number)
        if request is None:
            return
        request.ended = True
        if how == "refuse" and self.rng.random() < 0.3:
            self.arrive(again=number)


def digest_of(seed, end_ms=END_MS):
    """Returns the digest and the checkpoints of one seed's history."""
    return History(seed, end_ms).play()
