"""Slopes of the decision module and of what reads its input: CPU, words, bytes, memory. No sockets.

CPU is this process's own, each point the median of several rounds over all sizes, so that other work on the
machine counts little. Memory is what the allocator holds more than before."""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from functools import cache
from statistics import median
from typing import Any

from benchmarks.slopes.fold import CLASSES, Fold, Load, servers, settings
from plumpick.gateway.config import parse_config, parse_worker_list
from plumpick.policy.actions import SendPeerMessage, SetTimer, StartAttempt
from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.messages import DemandReport
from plumpick.policy.budgets.report_schedule import MAX_REPORTS_PER_S
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    EndpointState,
    EndpointsUpdated,
    Event,
    ExportState,
    ImportState,
    PeerMessageReceived,
    RequestReceived,
    TimerFired,
)
from plumpick.policy.settings import Settings

REPEATS, TIER = 5, 550
BEGIN_MS = 1000.0


def cpu_ms(act: Callable[..., object], *given: object) -> float:
    """CPU ms of one call."""
    begin = time.process_time_ns()
    act(*given)
    return (time.process_time_ns() - begin) / 1e6


def module(workers: int, own: Settings | None = None) -> Controller:
    """One that has its list."""
    control = Controller(own or settings(TIER), 1)
    control.handle(BEGIN_MS, [EndpointsUpdated(servers(workers))])
    return control


def quiet_ms(control: Controller, seconds: float = 5.0) -> float:
    """CPU ms a second of a module to which nothing happens but its own wake-ups."""
    now, spent, wakes = control.turn.now_ms + 100.0, 0.0, 0
    end = now + seconds * 1000
    while now < end:
        begin = time.process_time_ns()
        actions = control.handle(now, [TimerFired("agenda")] if wakes else [])
        spent += time.process_time_ns() - begin
        wakes += 1
        after = [action.delay_ms for action in actions if isinstance(action, SetTimer)]
        now += max(1.0, min(after, default=100.0))
    return spent / 1e6 / seconds


def idle_by_workers(workers: float) -> float:
    control = module(int(workers))
    return median(quiet_ms(control) for _ in range(REPEATS))


def _classes(count: int) -> Any:
    return tuple(replace(CLASSES[n % 3], name=f"route-{n}") for n in range(count))


def idle_by_classes(classes: float) -> float:
    control = module(60, settings(TIER, _classes(int(classes))))
    return median(quiet_ms(control, 2.0) for _ in range(REPEATS))


def _with_firms(count: int, spread: int = 1) -> Controller:
    """A module that each of so many firms has asked something, which is answered."""
    control = module(200)
    for number in range(count):
        now = BEGIN_MS + 1 + number * 0.01
        arrival = RequestReceived(number, f"firm-{number}", "check", "usual", now + 2000, 1.0, 0, spread)
        sent = [one for one in control.handle(now, [arrival]) if isinstance(one, StartAttempt)]
        control.handle(
            now, [AttemptCompleted(one.id, 0, one.endpoint, 20.0, AttemptResult.OK, True) for one in sent]
        )
    return control


def idle_by_firms(firms: float) -> float:
    control = _with_firms(int(firms))
    return median(quiet_ms(control, 1.0) for _ in range(REPEATS))  # in all less than FORGET_MS


def changed_entry(workers: float) -> float:
    """One entry changed, in a call of its own."""
    control, all_servers, times = module(int(workers)), servers(int(workers)), []
    for number in range(3 * REPEATS):
        state = EndpointState.READY if number % 2 else EndpointState.DRAINING
        news = EndpointsUpdated((replace(all_servers[number // 2 % len(all_servers)], state=state),), False)
        times.append(cpu_ms(control.handle, BEGIN_MS + 1 + number, [news]))
    return median(times)


def changed_together(entries: float, workers: int = 5900) -> float:
    """So many entries changed, in one answer of discovery."""
    control, all_servers, times = module(workers), servers(workers), []
    for number in range(2 * REPEATS):
        state = EndpointState.READY if number % 2 else EndpointState.DRAINING
        news = EndpointsUpdated(
            tuple(replace(one, state=state) for one in all_servers[: int(entries)]), False
        )
        times.append(cpu_ms(control.handle, BEGIN_MS + 1 + number, [news]))
    return median(times)


def whole_list(workers: float) -> float:
    control, fleet = module(int(workers)), EndpointsUpdated(servers(int(workers)))
    return median(cpu_ms(control.handle, BEGIN_MS + 1, [fleet]) for _ in range(2 * REPEATS))


def listing(workers: int, port: int = 9000) -> dict[str, Any]:
    """Discovery's whole list, in its form."""
    rows = [
        {
            "name": one.id,
            "address": f"127.0.0.1:{port}",
            "zone": one.zone,
            "type": "m",
            "group": one.deduplication_group,
            "status": "ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for one in servers(workers)
    ]
    return {"index": 1, "snapshot": True, "endpoints": rows}


def list_bytes(workers: float) -> float:
    return len(json.dumps(listing(int(workers))))


def list_parse(workers: float) -> float:
    text = json.dumps(listing(int(workers)))
    return median(cpu_ms(lambda: parse_worker_list(json.loads(text), "list")) for _ in range(2 * REPEATS))


def configuration(classes: int, plans: int) -> dict[str, Any]:
    """A gatekeeper's configuration in the platform's form."""
    kinds = [
        {"name": f"route-{n}", "aimMs": 750, "deadlineMs": 2000, "worth": 3, "repeat": "retryable"}
        for n in range(classes)
    ]
    packages = [
        {"name": f"plan-{n}", "perSecond": 8.0, "storeSize": 16.0, "concurrency": 0, "valueFactor": 1.0}
        for n in range(plans)
    ]
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"sockets": 1024},
        "known": {"index": 0, "endpoints": []},
        "settings": {
            "balancers": 3,
            "myNumber": 0,
            "locality": "a",
            "classes": kinds,
            "packages": packages,
            "rules": {"warmUpMs": 17000, "coldFrom": 0.25, "fallMultiple": 2.5, "tipAfterMs": 1000},
            "limits": {"maxAttempts": 5, "cancel": True, "secondCopies": True},
        },
    }


def _settings_parse(classes: int, plans: int) -> float:
    text = json.dumps(configuration(classes, plans))
    return median(cpu_ms(lambda: parse_config(json.loads(text), {})) for _ in range(2 * REPEATS))


def settings_parse_by_classes(classes: float) -> float:
    return _settings_parse(int(classes), 2)


def settings_parse_by_plans(plans: float) -> float:
    return _settings_parse(3, int(plans))


def settings_bytes(classes: float) -> float:
    return len(json.dumps(configuration(int(classes), 2)))


@cache
def play(load: Load) -> dict[str, float]:
    return Fold(load).play()


def _serving_ms(load: Load) -> float:
    """CPU ms a second for requests: calls for them and wake-ups, without what a quiet module takes."""
    idle, one = idle_by_workers(load.workers), Fold(load).play()
    return max(0.0, (one["us request"] + one["us woken"]) / 1000 - idle)


def request_by_workers(workers: float) -> float:
    """us of a request, at 273 a second."""
    load = Load(workers=int(workers), seconds=3.0)
    return _serving_ms(load) / load.rate * 1000


def serving_by_rate(rate: float) -> float:
    return _serving_ms(Load(rate=rate, seconds=3.0))


def heard_by_set(spread: float) -> float:
    """us of a word taken in."""
    load = _load_of(273.0, int(spread))
    one = Fold(replace(load, seconds=2.0)).play()
    return one["us heard"] / one["heard"]


def _load_of(rate: float, spread: int) -> Load:
    kept = min(n for n in (2, 5, 10, 11, 22, 25, 50, 55) if n >= spread)
    return Load(rate=rate, spread=spread, kept=kept, workers=500, seconds=20.0 / max(2, kept) + 1.0)


def words_by_rate_3(rate: float) -> float:
    return play(_load_of(rate, 3))["told"]


def words_by_rate_20(rate: float) -> float:
    return play(_load_of(rate, 20))["told"]


def words_by_set(spread: float) -> float:
    return play(_load_of(273.0, int(spread)))["told"]


def bytes_by_rate_3(rate: float) -> float:
    return play(_load_of(rate, 3))["bytes told"]


def bytes_by_rate_20(rate: float) -> float:
    return play(_load_of(rate, 20))["bytes told"]


def bytes_by_set(spread: float) -> float:
    return play(_load_of(273.0, int(spread)))["bytes told"]


def words_by_firms(homes: float) -> float:
    """At a gatekeeper that is the home of so many, sets of 3, 273 requests a second."""
    return play(replace(_load_of(273.0, 3), tenants=int(homes * TIER)))["told"]


def held_bytes(build: Callable[[], object]) -> float:
    """What the allocator holds more for what `build` gives."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return float(held)


def memory_by_workers(workers: float) -> float:
    """The module's and the list's entries."""
    return held_bytes(lambda: (module(int(workers)), parse_worker_list(listing(int(workers)), "list")))


def memory_by_firms(firms: float) -> float:
    """An account and, at their home, a store each."""
    return held_bytes(lambda: _with_firms(int(firms)))


def memory_by_classes(classes: float) -> float:
    return held_bytes(lambda: module(10, settings(TIER, _classes(int(classes)))))


def memory_by_requests(requests: float) -> float:
    """Open requests, each with one attempt out where the window lets it."""

    def build() -> Controller:
        control = module(1000)
        for number in range(int(requests)):
            arrival = RequestReceived(
                number, f"firm-{number % 100}", "check", "usual", BEGIN_MS + 2000, 0.001, 0, 1
            )
            control.handle(BEGIN_MS + 1, [arrival])
        return control

    return held_bytes(build)


def memory_by_peers(peers: float) -> float:
    """So many others that have told a word of quotas, and were answered."""
    teller, words = Controller(replace(settings(TIER), gateway_number=1), 2), []
    teller.handle(BEGIN_MS, [EndpointsUpdated(servers(10))])
    for number in range(50):  # firms whose home is 0
        arrival = RequestReceived(number, f"firm-{number}", "check", "usual", BEGIN_MS + 2000, 1.0, 0, 2)
        words += [
            one.data
            for one in teller.handle(BEGIN_MS + 1 + 100 * number, [arrival])
            if isinstance(one, SendPeerMessage) and one.receiver == 0
        ]

    def build() -> Controller:
        control = module(10)
        for number in range(int(peers)):
            heard: Event = PeerMessageReceived(1 + number, words[number % len(words)])
            control.handle(BEGIN_MS + 1 + number * 0.01, [heard])
        return control

    return held_bytes(build)


SHARE_MS, DRIFT = 60_000.0, 0.01


def _divider(gateways: int) -> BudgetAllocator:
    """Of one budget, which all ask for more than their floor; so often as they may together."""
    budget = Budget("any", BudgetKind.RATE, 2.0 * gateways, 4.0 * gateways)
    divider = BudgetAllocator(budget, gateways, 0.0, 1, SHARE_MS, DRIFT, 0.0)
    for serial in (1, 2):
        for number in range(gateways):
            _ask(divider, gateways, number, serial)
    return divider


def _ask(divider: BudgetAllocator, gateways: int, number: int, serial: int) -> object:
    now_ms = ((serial - 1) * gateways + number) * 1000 / MAX_REPORTS_PER_S
    demand = 1.0 + number % 5  # more than there is, in all
    report = DemandReport(0, serial, demand, demand / 2, serial - 1, 1.0, 0)
    return divider.request_grant(now_ms, number, 1, report)


def divider_asking(gateways: float) -> float:
    """us of one asking."""
    divider, count = _divider(int(gateways)), min(int(gateways), 100)
    return median(cpu_ms(_ask, divider, int(gateways), number, 3) for number in range(count)) * 1000


def memory_by_askers(gateways: float) -> float:
    return held_bytes(lambda: _divider(int(gateways)))


def _estate(firms: int) -> Any:
    control = _with_firms(firms)
    actions = control.handle(BEGIN_MS + 10_000, [ExportState()])
    return next(action.state for action in actions if hasattr(action, "state"))


def estate_bytes(firms: float) -> float:
    return len(json.dumps(_estate(int(firms))))


def estate_ms(firms: float) -> float:
    """To leave it, to write and read it as JSON, and to take it over."""

    def pass_over(control: Controller, heir: Controller) -> None:
        left = control.handle(BEGIN_MS + 10_000, [ExportState()])
        state = next(action.state for action in left if hasattr(action, "state"))
        heir.handle(BEGIN_MS + 10_000, [ImportState(json.loads(json.dumps(state)))])

    return median(cpu_ms(pass_over, _with_firms(int(firms)), module(200)) for _ in range(3))
