"""`python -m benchmarks.configuration.size`: what settings by versions cost, printed as measured.

Bytes of a whole and of changes at so many classes; what a gatekeeper reads and checks, and for how long its
loop stands meanwhile; calls and bytes of one in rest; the time from publishing to in force by real processes;
and one service with many hollow watchers (sockets and versions without a gatekeeper, in two processes) and
one change."""

from __future__ import annotations

import argparse
import asyncio
import copy
import json
import multiprocessing
import os
import random
import sys
import time
import tracemalloc
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from benchmarks.configuration.trial import ROOT, Trial, settings_of, unix_ms
from benchmarks.trials import quantile
from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.config import parse_config
from plumpick.gateway.dynamic_config.client import (
    ConfigClient,
    UnusableSettingsError,
    _short_switch_interval,
    prepare_version,
)
from plumpick.policy.dynamic_config.delta import canonical_json, changes_between, settings_digest
from plumpick.policy.dynamic_config.subscriber import ConfigSubscriber
from plumpick.policy.dynamic_config.updates import SettingsVersion, parse_update
from plumpick.rehearsal.surroundings import HOST
from plumpick.tools.configuration import call_service
from plumpick.tools.configuration_service import PATH, VersionService

TICK_S = 0.001
REST_S = 20.0
WATCHER_PROCESSES = 2


def wide(classes: int, plans: int, gatekeepers: int) -> dict[str, Any]:
    """Settings of so many classes and plans."""
    value = settings_of(gatekeepers, 1, random.Random(1))
    row, plan = value["classes"][0], value["packages"][0]
    value["classes"] = [
        {**row, "name": f"class-{number:05d}", "keyScope": "zone", "dedupWindowMs": 9000.0}
        for number in range(classes)
    ]
    value["packages"] = [
        {**plan, "name": f"plan-{number:02d}", "concurrency": 8, "valueFactor": 1.5}
        for number in range(plans)
    ]
    return value


def changed(value: dict[str, Any], kind: str) -> dict[str, Any]:
    after = copy.deepcopy(value)
    if kind == "one figure":
        after["classes"][len(after["classes"]) // 2]["worth"] = 5.5
    elif kind == "one class more":
        after["classes"].insert(7, {**after["classes"][0], "name": "class-new"})
    elif kind == "one class gone":
        del after["classes"][len(after["classes"]) // 2]
    elif kind == "a hundred figures":
        for row in after["classes"][:: max(1, len(after["classes"]) // 100)]:
            row["aimMs"] = 123.0
    return after


def document(version: int, value: dict[str, Any], at_ms: float = 0.0) -> dict[str, Any]:
    return {"version": version, "digest": settings_digest(value), "in_force_ms": at_ms, "settings": value}


def bytes_of(value: dict[str, Any]) -> dict[str, int]:
    """Of answers."""
    found = {"whole": len(json.dumps(document(1, value), separators=(",", ":")))}
    for kind in ("one figure", "one class more", "one class gone", "a hundred figures"):
        after = changed(value, kind)
        found[kind] = len(
            canonical_json(
                {
                    "version": 2,
                    "digest": settings_digest(after),
                    "in_force_ms": unix_ms(),
                    "base": 1,
                    "base_digest": settings_digest(value),
                    "changes": changes_between(value, after),
                }
            )
        )
    return found


def held_mb(value: dict[str, Any]) -> float:
    """What one version's settings take while they are held."""
    text = json.dumps(value)
    tracemalloc.start()
    held = json.loads(text)
    size = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    assert len(held["classes"]) == len(value["classes"])
    return round(size, 1)


async def stalls(value: dict[str, Any]) -> dict[str, dict[str, float]]:
    """A whole and a change read and checked in a thread, as the daemon does, beside a loop that has to turn
    each millisecond: ms until it is read, and by how much a turn came late."""
    base = parse_config(Trial(1, 3, "", Path("."))._config(0), {})
    after = changed(value, "one figure")
    held = SettingsVersion(1, settings_digest(value), 0.0, value)
    rows = {
        "whole": json.dumps(document(2, after)).encode(),
        "change": json.dumps(
            {
                **document(2, after),
                "settings": None,
                "base": 1,
                "base_digest": held.digest,
                "changes": changes_between(value, after),
            }
        ).encode(),
    }
    found = {}
    for name, data in rows.items():
        late: list[float] = []

        async def turn(late: list[float] = late) -> None:
            while True:
                begin = time.perf_counter()
                await asyncio.sleep(TICK_S)
                late.append((time.perf_counter() - begin - TICK_S) * 1000)

        await asyncio.sleep(0.1)
        task = asyncio.create_task(turn())
        await asyncio.sleep(0.2)
        late.clear()
        begin = time.perf_counter()
        with _short_switch_interval():
            update = await asyncio.to_thread(lambda data=data: parse_update(json.loads(data)))
            prepared = await asyncio.to_thread(prepare_version, update, held, base)
        spent = (time.perf_counter() - begin) * 1000
        await asyncio.sleep(0.02)
        task.cancel()
        assert not isinstance(prepared.config, UnusableSettingsError), prepared.config
        found[name] = {
            "read_ms": round(spent, 1),
            "late_p50_ms": round(quantile(late, 0.5), 2),
            "late_p99_ms": round(quantile(late, 0.99), 2),
            "late_max_ms": round(max(late), 2),
        }
    return found


class Hollow:
    """A watcher: the daemon's own source, with nothing behind it."""

    def __init__(
        self,
        number: int,
        count: int,
        address: tuple[str, int],
        config: Any,
        clock: Clock,
        timers: Timers,
        forced: list[tuple[int, float]],
    ) -> None:
        self.client = ConfigClient(
            config, (address,), 30_000.0, lambda _config: "", clock, timers, random.Random(number)
        )
        rng = random.Random(number)
        self.client.subscriber = ConfigSubscriber(number, count, 1, rng, clock.now())
        on_activated = self.client.subscriber.on_activated

        def activated(version: SettingsVersion) -> None:
            on_activated(version)
            forced.append((version.number, time.time() * 1000))

        self.client.subscriber.on_activated = activated  # type: ignore[method-assign]


def watchers(numbers: list[int], count: int, port: int, last: int, wire: Any) -> None:
    """A process of watchers: tells when each had each version, once all have the last."""

    async def all_of_them() -> list[tuple[int, float]]:
        base, forced = Trial(1, count, "", Path("."))._config(0), list[tuple[int, float]]()
        clock = Clock()
        timers = Timers(asyncio.get_running_loop(), clock)
        tasks = []
        for number in numbers:
            row = {**base, "name": f"n{number}", "settings": {**base["settings"], "myNumber": number}}
            hollow = Hollow(number, count, (HOST, port), parse_config(row, {}), clock, timers, forced)
            tasks.append(asyncio.create_task(hollow.client.run()))
        end = time.monotonic() + 120
        while sum(version == last for version, _ in forced) < len(numbers) and time.monotonic() < end:
            await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return forced

    wire.send(asyncio.run(all_of_them()))


class Counted(VersionService):
    """A service that counts what it reads, too."""

    bytes_in = 0

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        inner = reader.read

        async def read(most: int = -1) -> bytes:
            data = await inner(most)
            self.bytes_in += len(data)
            return data

        reader.read = read  # type: ignore[method-assign]
        await super()._serve_connection(reader, writer)


async def crowd(count: int, value: dict[str, Any], later_ms: float) -> dict[str, Any]:
    """One service, so many watchers, the whole first, then one change."""
    service = Counted()
    await service.open(HOST, 0)
    wires, processes = [], []
    context = multiprocessing.get_context("spawn")
    place = (HOST, service.port)
    await asyncio.to_thread(call_service, place, "PUT", PATH, document(1, value))
    for part in range(WATCHER_PROCESSES):
        ours, theirs = context.Pipe()
        numbers = list(range(part, count, WATCHER_PROCESSES))
        process = context.Process(target=watchers, args=(numbers, count, service.port, 2, theirs))
        process.start()
        wires.append(ours)
        processes.append(process)
    begin = time.monotonic()
    while (
        sum(one.active_version == 1 for one in service.store.subscribers.values()) < count
        and time.monotonic() - begin < 90
    ):
        await asyncio.sleep(0.05)
    listening = sum(one.active_version == 1 for one in service.store.subscribers.values())
    whole_bytes = service.bytes_out
    await asyncio.sleep(5.0)
    calls, sent, got, cpu = service.calls, service.bytes_out, service.bytes_in, time.process_time()
    await asyncio.sleep(10.0)
    rest = {
        "calls_a_second": round((service.calls - calls) / 10, 1),
        "bytes_out_a_second": round((service.bytes_out - sent) / 10),
        "bytes_in_a_second": round((service.bytes_in - got) / 10),
        "cpu_share": round((time.process_time() - cpu) / 10, 4),
    }
    after = changed(value, "one figure")
    sent, cpu, t = service.bytes_out, time.process_time(), unix_ms()
    await asyncio.to_thread(call_service, place, "PUT", PATH, document(2, after, t + later_ms))
    put_ms = unix_ms() - t
    rows: list[tuple[int, float]] = []
    for wire in wires:
        rows += await asyncio.to_thread(wire.recv)
    for process in processes:
        await asyncio.to_thread(process.join)
    times = [at - t for version, at in rows if version == 2]
    service.close()
    return {
        "watchers": count,
        "heard": listening,
        "bytes_of_wholes": whole_bytes,
        "rest": rest,
        "published_ms": round(put_ms, 1),
        "have_it": len(times),
        "in_force_in_ms": later_ms,
        "told_and_in_force_ms": {
            "p50": round(quantile(times, 0.5), 1),
            "p99": round(quantile(times, 0.99), 1),
            "max": round(max(times, default=float("nan")), 1),
        },
        "bytes": service.bytes_out - sent,
        "service_cpu_s": round(time.process_time() - cpu, 3),
    }


async def rest_and_change(gatekeepers: int) -> dict[str, Any]:
    """Real processes, two services, calm: calls in rest, and one change."""
    with TemporaryDirectory(prefix="plumpick-") as name:
        trial = Trial(gatekeepers, gatekeepers, "", Path(name))
        try:
            await trial.start()
            await trial.put(trial.make(trial._next(), 0.0))
            await trial.until(
                lambda: sum(row[0] == "force" for row in trial.rows()) == gatekeepers, 20, "the first version"
            )
            plain = await _plain(trial)
            await asyncio.sleep(2.0)  # its start is over
            ticks, plain_s = [_cpu_s(gate.pid) for gate in trial.gates], _cpu_s(plain.pid)
            begin = unix_ms()
            sent = await _status(trial)
            await asyncio.sleep(REST_S)
            plain_s = _cpu_s(plain.pid) - plain_s
            plain.kill()
            await plain.wait()
            after = await _status(trial)
            cpu = [_cpu_s(gate.pid) - before for gate, before in zip(trial.gates, ticks, strict=True)]
            calls = sum(row[0] == "asked" and row[1] > begin for row in trial.rows())
            answered = sum(new["bytes_out"] - old["bytes_out"] for new, old in zip(after, sent, strict=True))
            times = []
            for _ in range(5):
                value = trial.make(trial._next(), 0.0)
                await trial.put(value)
                number = trial.number
                await trial.until(
                    lambda number=number: sum(row[0] == "force" and row[4] == number for row in trial.rows())
                    == gatekeepers,
                    10,
                    "all",
                )
                times += [
                    row[1] - trial.published[number].t
                    for row in trial.rows()
                    if row[0] == "force" and row[4] == number
                ]
            return {
                "gatekeepers": gatekeepers,
                "calls_a_second_each": round(calls / REST_S / gatekeepers, 2),
                "answer_bytes_a_second_each": round(answered / REST_S / gatekeepers, 1),
                "cpu_share_each": round(sum(cpu) / REST_S / gatekeepers, 5),
                "cpu_share_without": round(plain_s / REST_S, 5),
                "publish_to_in_force_ms": {
                    "p50": round(quantile(times, 0.5), 1),
                    "max": round(max(times), 1),
                    "count": len(times),
                },
            }
        finally:
            await trial.close()


async def _status(trial: Trial) -> list[dict[str, Any]]:
    return [
        (await asyncio.to_thread(call_service, (HOST, port), "GET", f"{PATH}/status"))[1]
        for port in trial.ports
    ]


async def _plain(trial: Trial) -> asyncio.subprocess.Process:
    """The program as `run` starts it, with no [configuration], beside the others."""
    path = trial.folder / "plain.json"
    path.write_text(json.dumps(trial._config(0)))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "plumpick",
        cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "BALANCER_CONFIG": str(path), "PLUMPICK_OPERATOR": ""},
    )


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main() -> int:
    flags = argparse.ArgumentParser(prog="python -m benchmarks.configuration.size", description=__doc__)
    flags.add_argument("--classes", type=int, default=11_000)
    flags.add_argument("--plans", type=int, default=40)
    flags.add_argument("--watchers", type=int, nargs="*", default=[40, 200, 550])
    flags.add_argument("--gatekeepers", type=int, nargs="*", default=[3, 5, 7])
    flags.add_argument("--later", type=float, default=0.0, metavar="S", help="the change is in force then")
    given = flags.parse_args()
    value = wide(given.classes, given.plans, 3)
    print(
        json.dumps(
            {
                "classes": given.classes,
                "plans": given.plans,
                "bytes": bytes_of(value),
                "held_mb": held_mb(value),
            }
        ),
        flush=True,
    )
    print(json.dumps({"reading": asyncio.run(stalls(value))}), flush=True)
    for count in given.gatekeepers:
        print(json.dumps(asyncio.run(rest_and_change(count))), flush=True)
    for count in given.watchers:
        small = wide(230, given.plans, count)
        print(json.dumps(asyncio.run(crowd(count, small, given.later * 1000))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
