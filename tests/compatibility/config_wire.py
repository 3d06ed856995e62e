"""Loopback messages, log lines and tool output of settings versions and the discovery watch.

Ports, times and file names are left out, since they differ from run to run.
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
from compatibility.config_histories import delta_document, document, malformed_copy, published_settings
from support.fakes import HOST, FakeDiscovery, entry, json_response, listing, reset

TIMEOUT_S = 60.0


def normalized(text):
    """Returns the text with ports and numbers replaced by placeholders."""
    text = re.sub(r"127\.0\.0\.1:\d+", "HOST", text)
    return re.sub(r"(?<![0-9a-f.])-?\d+(\.\d+)?(?![0-9a-f])", "N", text)


@contextlib.contextmanager
def captured_log():
    """Context that yields the list of [level, message] that the program logs inside it."""
    rows, logger = [], logging.getLogger("plumpick")
    handler = logging.Handler()
    handler.emit = lambda row: rows.append([row.levelname, normalized(row.getMessage())])
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


def run_scenario(scenario):
    """Runs a coroutine and returns its result; raises TimeoutError after TIMEOUT_S."""
    return asyncio.run(asyncio.wait_for(scenario, TIMEOUT_S))


def http(value, status=200):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


MALFORMED_RESPONSES = (
    b"nonsense\r\n\r\n",
    http(b"{"),
    http(b"[" * 100_000),
    http([]),
    http({"version": 9}),
    http(b"", 500),
    b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{",  # body shorter than its Content-Length
    b"HTTP/1.1 200 X\r\n\r\n{",
    b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n",
    b"HTTP/1.1 204 X\r\n\r\n",  # "unchanged" sent before the watch's timeout
    b"",
)
REJECTED_PRIORITY_WEIGHT = 13.5  # Priority weight that the gateway rejects when it activates the settings
UNUSABLE_VERSIONS = (
    lambda version: {**document(version, published_settings(version)), "digest": "f" * 64},
    lambda version: document(version - 1, published_settings(1)),
    lambda version: document(version, published_settings(version), 1e15),
    lambda version: document(version, {**published_settings(version), "limits": {}}),
    lambda version: document(version, published_settings(REJECTED_PRIORITY_WEIGHT)),
    lambda version: delta_document(
        document(1, published_settings(1)), document(version, published_settings(version))
    ),
    lambda version: {**document(version, published_settings(version)), "in_force_ms": "now"},
)


async def client_calls():
    """Returns a client's requests, log lines and state; a valid version follows each malformed response."""
    targets, taken = [], []
    async with FakeDiscovery() as fake:
        client = words.new_client([(HOST, fake.port)], taken, REJECTED_PRIORITY_WEIGHT)
        with captured_log() as lines:
            task = asyncio.create_task(client.run())
            version = 1
            for hostile in (*MALFORMED_RESPONSES, *UNUSABLE_VERSIONS):
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
                writer.write(http(document(version, published_settings(version))))
                while not words.client_has(client, version):
                    await asyncio.sleep(0.002)
                lines.append(["LINE", normalized(words.client_line(client))])
            state = words.exported(client)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    return {"targets": targets, "taken": taken, "lines": lines, "state": state}


def exported_state():
    """Returns the state that a client exports for a hot restart, and the results of importing it."""
    state = json.loads(json.dumps(run_scenario(client_calls())["state"]))
    return {"state": state, "taken_up": imported_versions(state)}


async def import_states(states):
    """Returns the active version of a new client after importing each state, and the log lines."""
    rows = []
    with captured_log() as lines:
        for state in states:
            rows.append(
                await words.imported(words.new_client([(HOST, 1)], [], REJECTED_PRIORITY_WEIGHT), state)
            )
    return {"versions": rows, "lines": lines}


def imported_versions(state):
    """Imports a recorded state and malformed copies of it; returns the active versions and the log lines."""
    rng = random.Random("inherit")
    malformed_states = [malformed_copy(rng, state) for _ in range(40)]
    return run_scenario(
        import_states([state, None, {"version": 9}, {**state, "digest": "0" * 64}, *malformed_states])
    )


def get(target):
    return f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


def put(value):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return b"PUT /configuration HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def service_calls():
    """Returns the requests that are sent to the configuration service, in order."""
    one, two = document(1, published_settings(1, 40)), document(2, published_settings(2, 40), 9000.0)
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
        put(document(1, published_settings(3))),
        put({**two, "digest": "0" * 64}),
        put(delta_document(one, two)),
        get(f"{watch}&staged=0&refused=0&why=&timeout_ms=1"),
        put(two),
        put(one),
        put(document(1, published_settings(9))),
        get(f"{watch}&staged=2&refused=0&why=&timeout_ms=1"),
        get(f"{watch}&staged=0&refused=2&why=settings.limits%3A+no&timeout_ms=1"),
        get("/configuration?since=0&name=" + "n" * 100),
        get("/configuration/versions/1"),
        get("/configuration/versions/7"),
        get("/configuration/status"),
        b"DELETE /configuration HTTP/1.1\r\nHost: h\r\n\r\n",
    )


async def service_answers():
    """Returns the responses of a configuration service to service_calls(), and its log lines."""
    service, rows = words.new_service(lambda: 5000.0), []
    await service.open(HOST, 0)
    with captured_log() as lines:
        for call in service_calls():
            reader, writer = await asyncio.open_connection(HOST, service.port)
            writer.write(call)
            writer.write_eof()
            rows.append((await reader.read()).decode())
            writer.close()
    service.close()
    return {"answers": rows, "lines": lines}


async def tool_calls(folder):
    """Returns the output and exit codes of the operators' tool, called with two configuration services."""
    services = [words.new_service(lambda: 5000.0) for _ in range(2)]
    for one in services:
        await one.open(HOST, 0)
    to = [f"{HOST}:{one.port}" for one in services]
    files = {
        "one": json.dumps({"settings": {**published_settings(1), "myNumber": 0}}),
        "two": json.dumps(published_settings(2)),
        "bad": json.dumps({**published_settings(3), "classes": [{"name": "x"}]}),
        "torn": "{",
        "nan": json.dumps({**published_settings(3), "other": float("nan")}),
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
        outputs = [normalized(part.getvalue().replace(folder, "FOLDER")) for part in (out, err)]
        rows.append([" ".join([call[0], *(Path(word).name for word in call[1:2])]), code, *outputs])
    for one in services:
        one.close()
    return [[normalized(row[0]), *row[1:]] for row in rows]


def tool_replies():
    with tempfile.TemporaryDirectory() as folder:
        return run_scenario(tool_calls(folder))


def settings_problems():
    """Returns the results of a gateway's check of malformed published settings."""
    rng, rows = random.Random("settings"), []
    peers = [f"{HOST}:{port}" for port in range(1, 4)]
    for number in range(200):
        value = malformed_copy(rng, {**published_settings(number), "balancers": rng.choice((3, 3, 4))})
        rows.append(words.checked_settings(value, peers if number % 2 else []))
    return rows


def next_documents():
    """Returns number, digest and activation time of the next version, for random states of the services."""
    rng, rows = random.Random("documents"), []
    for _ in range(40):
        stores = [words.new_store() for _ in range(rng.randint(1, 3))]
        for version in sorted(rng.sample(range(1, 9), rng.randrange(4))):
            for store in rng.sample(stores, rng.randint(1, len(stores))):
                words.publish(store, 10.0, document(version, published_settings(version), 70.0))
        if rng.random() < 0.3:
            has = rng.randrange(20)
            words.record_subscriber(stores[0], "n0", 0, has, "0" * 64, 0, 0, "", 10.0)
        states = [words.status(store, 20.0) for store in stores]
        made = words.next_document(published_settings(rng.randrange(1, 9)), states, 1e6, 9000.0)
        rows.append([made["version"], made["digest"], made["in_force_ms"]])
    return rows


RESET = 6  # Index of the response without Content-Length, after which the connection is reset
DISCOVERY_ANSWERS = (
    b"nonsense\r\n\r\n",
    http(b"{"),
    http([]),
    http({"index": 1}),
    http(b"", 404),
    b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{",
    b"HTTP/1.1 200 X\r\n\r\n" + json.dumps(listing(entry("w9", 5009), index=500)).encode(),
    b"HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
    json_response(listing(entry("w1", 5001), {"name": 7}, index=1085)),
    json_response(listing(entry("w1", 5001, "draining"), index=3)),
    json_response(listing(entry("w2", 5002), index=1105, snapshot=False)),
    json_response(listing(index=1115, snapshot=False)),
    http(b" " * (8 * 1024 * 1024 + 1)),
)


async def discovery_calls():
    """Returns the discovery client's requests, the endpoint lists it passes on and its log lines."""
    targets, lists = [], []
    async with FakeDiscovery() as fake:
        discovery = words.new_discovery((HOST, fake.port), lists.append)
        with captured_log() as lines:
            task = asyncio.create_task(discovery.run())
            for place, hostile in enumerate(DISCOVERY_ANSWERS):
                target, writer = await fake.next_call()
                targets.append(target)
                writer.write(json_response(listing(entry("w1", 5001), index=1000 + 10 * place)))
                target, writer = await fake.next_call()
                targets.append(target)
                writer.write(hostile)
                if place == RESET:
                    reset(writer)
                else:
                    await asyncio.sleep(0.02)
                    writer.close()
            targets.append((await fake.next_call())[0])  # sent only after the last response has been read
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    return {"targets": targets, "told": lists, "lines": lines}


def replies():
    """Returns all results of this file by name, without the exported state of the client."""
    calls = run_scenario(client_calls())
    return {
        "client": {key: value for key, value in calls.items() if key != "state"},
        "service": run_scenario(service_answers()),
        "tool": tool_replies(),
        "settings": settings_problems(),
        "documents": next_documents(),
        "discovery": run_scenario(discovery_calls()),
        "waits": [
            [words.subscriber_worst_ms(silent) for silent in range(5)],
            [words.watch_worst_ms(is_shared) for is_shared in (False, True)],
        ],
    }
