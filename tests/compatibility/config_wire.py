"""What passes over loopback, is logged and is read about versions of the settings and the watch of discovery.

Ports, times and names of files are left out.
"""

import asyncio
import contextlib
import io
import json
import logging
import random
import re
import tempfile
from pathlib import Path

from compatibility import dynamic_config as words
from compatibility.config_histories import by_changes, document, published, spoilt
from support.fakes import HOST, FakeDiscovery, entry, listing, reset, told

PATIENCE_S = 60.0


def steady(text):
    """Without ports and times."""
    text = re.sub(r"127\.0\.0\.1:\d+", "HOST", text)
    return re.sub(r"(?<![0-9a-f.])-?\d+(\.\d+)?(?![0-9a-f])", "N", text)


@contextlib.contextmanager
def logged():
    """The lines that the program logs meanwhile, with their levels."""
    rows, logger = [], logging.getLogger("plumpick")
    handler = logging.Handler()
    handler.emit = lambda row: rows.append([row.levelname, steady(row.getMessage())])
    level, goes_on = logger.level, logger.propagate
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    try:
        yield rows
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        logger.propagate = goes_on


def played(scenario):
    """A scenario's result; no time is judged."""
    return asyncio.run(asyncio.wait_for(scenario, PATIENCE_S))


def http(value, status=200):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


HOSTILE = (
    b"nonsense\r\n\r\n",
    http(b"{"),
    http(b"[" * 100_000),
    http([]),
    http({"version": 9}),
    http(b"", 500),
    b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{",  # and the connection ends
    b"HTTP/1.1 200 X\r\n\r\n{",
    b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n",
    b"HTTP/1.1 204 X\r\n\r\n",  # before its time
    b"",
)
WORTH_REFUSED = 13.5  # by the gatekeeper, at its time
HOSTILE_VERSIONS = (
    lambda version: {**document(version, published(version)), "digest": "f" * 64},
    lambda version: document(version - 1, published(1)),
    lambda version: document(version, published(version), 1e15),
    lambda version: document(version, {**published(version), "limits": {}}),
    lambda version: document(version, published(WORTH_REFUSED)),
    lambda version: by_changes(document(1, published(1)), document(version, published(version))),
    lambda version: {**document(version, published(version)), "in_force_ms": "now"},
)


async def client_calls():
    """What a client asks and logs, answered by hand: a good version behind each hostile answer."""
    targets, taken = [], []
    async with FakeDiscovery() as fake:
        client = words.new_client([(HOST, fake.port)], taken, WORTH_REFUSED)
        with logged() as lines:
            task = asyncio.create_task(client.run())
            version = 1
            for hostile in (*HOSTILE, *HOSTILE_VERSIONS):
                target, writer = await fake.next_call()
                targets.append(target)
                if callable(hostile):
                    writer.write(http(hostile(version + 1)))
                else:
                    writer.write(hostile)
                    await asyncio.sleep(0.02)
                    writer.close()
                version += 2
                target, writer = await fake.next_call()
                targets.append(target)
                writer.write(http(document(version, published(version))))
                while not words.client_has(client, version):
                    await asyncio.sleep(0.002)
                lines.append(["LINE", steady(words.client_line(client))])
            state = words.exported(client)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    return {"targets": targets, "taken": taken, "lines": lines, "state": state}


def left_behind():
    """What a process leaves to the next one, and what comes of it there."""
    state = json.loads(json.dumps(played(client_calls())["state"]))
    return {"state": state, "taken_up": inherited(state)}


async def taken_up(states):
    """Which version a process has that goes on from each of these."""
    rows = []
    with logged() as lines:
        for state in states:
            rows.append(await words.imported(words.new_client([(HOST, 1)], [], WORTH_REFUSED), state))
    return {"versions": rows, "lines": lines}


def inherited(state):
    """A recorded state and spoilt ones, taken up by this program."""
    rng = random.Random("inherit")
    spoilt_ones = [spoilt(rng, state) for _ in range(40)]
    return played(taken_up([state, None, {"version": 9}, {**state, "digest": "0" * 64}, *spoilt_ones]))


def get(target):
    return f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


def put(value):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return b"PUT /configuration HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def service_calls():
    """Requests of a service, in order."""
    one, two = document(1, published(1, 40)), document(2, published(2, 40), 9000.0)
    watch = f"/configuration?since=1&digest={one['digest']}&name=n1&number=1&in_force=1&have={one['digest']}"
    return (
        b"x\r\n\r\n",
        get("/configuration"),
        get("/configuration?since=-1&name=n"),
        get("/configuration?since=1e3&name=n"),
        get(f"/configuration?since={2**60}&name=n"),
        get("/configuration?name=n0&timeout_ms=1"),
        get("/nowhere"),
        get("/configuration/versions/x"),
        get("/configuration/versions/1"),
        put(b"{"),
        put([]),
        put(one),
        put(one),
        put(document(1, published(3))),
        put({**two, "digest": "0" * 64}),
        put(by_changes(one, two)),
        get(f"{watch}&staged=0&refused=0&why=&timeout_ms=1"),
        put(two),
        put(one),
        put(document(1, published(9))),
        get(f"{watch}&staged=2&refused=0&why=&timeout_ms=1"),
        get(f"{watch}&staged=0&refused=2&why=settings.limits%3A+no&timeout_ms=1"),
        get("/configuration?since=0&name=" + "n" * 100),
        get("/configuration/versions/1"),
        get("/configuration/versions/7"),
        get("/configuration/status"),
        b"DELETE /configuration HTTP/1.1\r\nHost: h\r\n\r\n",
    )


async def service_answers():
    """The bytes that a service answers, and what it logs."""
    service, rows = words.new_service(lambda: 5000.0), []
    await service.open(HOST, 0)
    with logged() as lines:
        for call in service_calls():
            reader, writer = await asyncio.open_connection(HOST, service.port)
            writer.write(call)
            writer.write_eof()
            rows.append((await reader.read()).decode())
            writer.close()
    service.close()
    return {"answers": rows, "lines": lines}


async def tool_calls(folder):
    """The operators' tool against two services: what it prints and its exit codes."""
    services = [words.new_service(lambda: 5000.0) for _ in range(2)]
    for one in services:
        await one.open(HOST, 0)
    to = [f"{HOST}:{one.port}" for one in services]
    files = {
        "one": json.dumps({"settings": {**published(1), "myNumber": 0}}),
        "two": json.dumps(published(2)),
        "bad": json.dumps({**published(3), "classes": [{"name": "x"}]}),
        "torn": "{",
        "nan": json.dumps({**published(3), "other": float("nan")}),
        "list": "[]",
    }
    for name, text in files.items():
        Path(folder, name).write_text(text, encoding="utf-8")

    def path(name):
        return str(Path(folder, name))

    calls = [["publish", path(name), "--to", *to] for name in ("bad", "torn", "nan", "list", "none", "one")]
    calls += [
        ["status", *to],
        ["back", "--to", *to],
        ["publish", path("two"), "--to", to[0]],
        ["status", *to],
        ["publish", path("two"), "--to", *to],
        ["back", "--to", *to, "--in-force-in", "0"],
        ["back", "--version", "7", "--to", *to],
        ["publish", path("one"), "--to", to[0], f"{HOST}:1"],
        ["publish", path("one"), "--to", *to, "--in-force-in", "1e9"],
        ["publish", path("one"), "--to", "here"],
        ["publish", path("one"), "--to", f"{HOST}:1"],
        ["back", "--to", f"{HOST}:1"],
        ["status", f"{HOST}:1"],
        ["status", to[0], f"{HOST}:1"],
    ]
    rows = []
    for call in calls:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = await asyncio.to_thread(words.CLI, ["configuration", *call])
        said = [steady(part.getvalue().replace(folder, "FOLDER")) for part in (out, err)]
        rows.append([" ".join([call[0], *(Path(word).name for word in call[1:2])]), code, *said])
    for one in services:
        one.close()
    return [[steady(row[0]), *row[1:]] for row in rows]


def tool_replies():
    with tempfile.TemporaryDirectory() as folder:
        return played(tool_calls(folder))


def settings_problems():
    """What a gatekeeper finds wrong with published settings that are spoilt."""
    rng, rows = random.Random("settings"), []
    peers = [f"{HOST}:{port}" for port in range(1, 4)]
    for number in range(200):
        value = spoilt(rng, {**published(number), "balancers": rng.choice((3, 3, 4))})
        rows.append(words.checked_settings(value, peers if number % 2 else []))
    return rows


def next_documents():
    """The number and the time under which settings are published, by what the services know."""
    rng, rows = random.Random("documents"), []
    for _ in range(40):
        stores = [words.new_store() for _ in range(rng.randint(1, 3))]
        for version in sorted(rng.sample(range(1, 9), rng.randrange(4))):
            for store in rng.sample(stores, rng.randint(1, len(stores))):
                words.publish(store, 10.0, document(version, published(version), 70.0))
        if rng.random() < 0.3:
            has = rng.randrange(20)
            words.record_subscriber(stores[0], "n0", 0, has, "0" * 64, 0, 0, "", 10.0)
        states = [words.status(store, 20.0) for store in stores]
        made = words.next_document(published(rng.randrange(1, 9)), states, 1e6, 9000.0)
        rows.append([made["version"], made["digest"], made["in_force_ms"]])
    return rows


RESET = 6  # the place of an answer without length, which a reset does not end
DISCOVERY_ANSWERS = (
    b"nonsense\r\n\r\n",
    http(b"{"),
    http([]),
    http({"index": 1}),
    http(b"", 404),
    b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{",
    b"HTTP/1.1 200 X\r\n\r\n" + json.dumps(listing(entry("w9", 5009), index=500)).encode(),
    b"HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
    told(listing(entry("w1", 5001), {"name": 7}, index=1085)),
    told(listing(entry("w1", 5001, "draining"), index=3)),
    told(listing(entry("w2", 5002), index=1105, snapshot=False)),
    told(listing(index=1115, snapshot=False)),
    http(b" " * (8 * 1024 * 1024 + 1)),
)


async def discovery_calls():
    """What discovery is asked, what is told of its answers and what is logged, answered by hand."""
    targets, lists = [], []
    async with FakeDiscovery() as fake:
        discovery = words.new_discovery((HOST, fake.port), lists.append)
        with logged() as lines:
            task = asyncio.create_task(discovery.run())
            for place, hostile in enumerate(DISCOVERY_ANSWERS):
                target, writer = await fake.next_call()
                targets.append(target)
                writer.write(told(listing(entry("w1", 5001), index=1000 + 10 * place)))
                target, writer = await fake.next_call()
                targets.append(target)
                writer.write(hostile)
                if place == RESET:
                    reset(writer)
                else:
                    await asyncio.sleep(0.02)
                    writer.close()
            targets.append((await fake.next_call())[0])  # by then the last answer has been read
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    return {"targets": targets, "told": lists, "lines": lines}


def replies():
    """Everything that is no seeded decision, by name, but what a recorded process left."""
    calls = played(client_calls())
    return {
        "client": {key: value for key, value in calls.items() if key != "state"},
        "service": played(service_answers()),
        "tool": tool_replies(),
        "settings": settings_problems(),
        "documents": next_documents(),
        "discovery": played(discovery_calls()),
        "waits": [
            [words.subscriber_worst_ms(silent) for silent in range(5)],
            [words.watch_worst_ms(is_shared) for is_shared in (False, True)],
        ],
    }
