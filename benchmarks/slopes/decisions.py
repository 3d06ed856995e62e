"""Slopes of the policy controller and of the parsers of its input: CPU, messages, bytes and memory.

There are no sockets. CPU is the CPU time of this process; each point is the median of several rounds over all
sizes, which limits the influence of other work on the machine. Memory is the growth of allocated memory."""

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


def cpu_ms(act: Callable[..., object], *arguments: object) -> float:
    """Return the CPU time in ms of one call of `act`."""
    begin = time.process_time_ns()
    act(*arguments)
    return (time.process_time_ns() - begin) / 1e6


def controller(workers: int, own_settings: Settings | None = None) -> Controller:
    """Return a controller that has received an endpoint list with this number of workers."""
    control = Controller(own_settings or settings(TIER), 1)
    control.handle(BEGIN_MS, [EndpointsUpdated(servers(workers))])
    return control


def quiet_ms(control: Controller, seconds: float = 5.0) -> float:
    """Return the CPU ms per second of a controller that gets no events except its own timer."""
    now, cpu_ns, timer_calls = control.turn.now_ms + 100.0, 0.0, 0
    end = now + seconds * 1000
    while now < end:
        begin = time.process_time_ns()
        actions = control.handle(now, [TimerFired("agenda")] if timer_calls else [])
        cpu_ns += time.process_time_ns() - begin
        timer_calls += 1
        after = [action.delay_ms for action in actions if isinstance(action, SetTimer)]
        now += max(1.0, min(after, default=100.0))
    return cpu_ns / 1e6 / seconds


def idle_by_workers(workers: float) -> float:
    control = controller(int(workers))
    return median(quiet_ms(control) for _ in range(REPEATS))


def _classes(count: int) -> Any:
    return tuple(replace(CLASSES[n % 3], name=f"route-{n}") for n in range(count))


def idle_by_classes(classes: float) -> float:
    control = controller(60, settings(TIER, _classes(int(classes))))
    return median(quiet_ms(control, 2.0) for _ in range(REPEATS))


def _with_customers(count: int, spread: int = 1) -> Controller:
    """Return a controller that has completed one request of each of `count` customers."""
    control = controller(200)
    for number in range(count):
        now = BEGIN_MS + 1 + number * 0.01
        arrival = RequestReceived(number, f"firm-{number}", "check", "usual", now + 2000, 1.0, 0, spread)
        sent = [one for one in control.handle(now, [arrival]) if isinstance(one, StartAttempt)]
        control.handle(
            now, [AttemptCompleted(one.id, 0, one.endpoint, 20.0, AttemptResult.OK, True) for one in sent]
        )
    return control


def idle_by_firms(firms: float) -> float:
    control = _with_customers(int(firms))
    return median(quiet_ms(control, 1.0) for _ in range(REPEATS))  # All rounds take less than FORGET_MS


def changed_entry(workers: float) -> float:
    """Return the CPU ms of a call of `handle` with one changed endpoint."""
    control, all_servers, times = controller(int(workers)), servers(int(workers)), []
    for number in range(3 * REPEATS):
        state = EndpointState.READY if number % 2 else EndpointState.DRAINING
        update = EndpointsUpdated((replace(all_servers[number // 2 % len(all_servers)], state=state),), False)
        times.append(cpu_ms(control.handle, BEGIN_MS + 1 + number, [update]))
    return median(times)


def changed_together(entries: float, workers: int = 5900) -> float:
    """Return the CPU ms of a call of `handle` with this number of changed endpoints in one update."""
    control, all_servers, times = controller(workers), servers(workers), []
    for number in range(2 * REPEATS):
        state = EndpointState.READY if number % 2 else EndpointState.DRAINING
        update = EndpointsUpdated(
            tuple(replace(one, state=state) for one in all_servers[: int(entries)]), False
        )
        times.append(cpu_ms(control.handle, BEGIN_MS + 1 + number, [update]))
    return median(times)


def whole_list(workers: float) -> float:
    control, fleet = controller(int(workers)), EndpointsUpdated(servers(int(workers)))
    return median(cpu_ms(control.handle, BEGIN_MS + 1, [fleet]) for _ in range(2 * REPEATS))


def listing(workers: int, port: int = 9000) -> dict[str, Any]:
    """Return the full endpoint list in discovery's JSON form."""
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
    """Return a gateway's deploy file with these numbers of classes and plans."""
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
    """Return the CPU ms per second for requests and timers, less that of an idle controller."""
    idle, one = idle_by_workers(load.workers), Fold(load).play()
    return max(0.0, (one["us request"] + one["us timer"]) / 1000 - idle)


def request_by_workers(workers: float) -> float:
    """Return the CPU us per request at 273 requests per second."""
    load = Load(workers=int(workers), seconds=3.0)
    return _serving_ms(load) / load.rate * 1000


def serving_by_rate(rate: float) -> float:
    return _serving_ms(Load(rate=rate, seconds=3.0))


def heard_by_set(spread: float) -> float:
    """Return the CPU us per received peer message."""
    load = _load_of(273.0, int(spread))
    one = Fold(replace(load, seconds=2.0)).play()
    return one["us received"] / one["received"]


def _load_of(rate: float, spread: int) -> Load:
    module_count = min(n for n in (2, 5, 10, 11, 22, 25, 50, 55) if n >= spread)
    return Load(
        rate=rate,
        spread=spread,
        module_count=module_count,
        workers=500,
        seconds=20.0 / max(2, module_count) + 1.0,
    )


def words_by_rate_3(rate: float) -> float:
    return play(_load_of(rate, 3))["messages sent"]


def words_by_rate_20(rate: float) -> float:
    return play(_load_of(rate, 20))["messages sent"]


def words_by_set(spread: float) -> float:
    return play(_load_of(273.0, int(spread)))["messages sent"]


def bytes_by_rate_3(rate: float) -> float:
    return play(_load_of(rate, 3))["bytes sent"]


def bytes_by_rate_20(rate: float) -> float:
    return play(_load_of(rate, 20))["bytes sent"]


def bytes_by_set(spread: float) -> float:
    return play(_load_of(273.0, int(spread)))["bytes sent"]


def words_by_firms(homes: float) -> float:
    """Return the messages per second of a gateway that is the quota owner of `homes` customers.

    Sets have 3 gateways; each gateway gets 273 requests per second.
    """
    return play(replace(_load_of(273.0, 3), tenants=int(homes * TIER)))["messages sent"]


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the growth of allocated memory in bytes that is due to the result of `build`."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
    return float(held)


def memory_by_workers(workers: float) -> float:
    """Return the bytes of a controller and a parsed endpoint list with this number of workers."""
    return allocated_bytes(
        lambda: (controller(int(workers)), parse_worker_list(listing(int(workers)), "list"))
    )


def memory_by_firms(firms: float) -> float:
    """Return the bytes of a controller with an account and a quota ledger for each customer."""
    return allocated_bytes(lambda: _with_customers(int(firms)))


def memory_by_classes(classes: float) -> float:
    return allocated_bytes(lambda: controller(10, settings(TIER, _classes(int(classes)))))


def memory_by_requests(requests: float) -> float:
    """Return the bytes of a controller with open requests, each with one attempt if the limit permits it."""

    def build() -> Controller:
        control = controller(1000)
        for number in range(int(requests)):
            arrival = RequestReceived(
                number, f"firm-{number % 100}", "check", "usual", BEGIN_MS + 2000, 0.001, 0, 1
            )
            control.handle(BEGIN_MS + 1, [arrival])
        return control

    return allocated_bytes(build)


def memory_by_peers(peers: float) -> float:
    """Return the bytes of a controller that has answered a quota message of each of `peers` gateways."""
    sending_peer, words = Controller(replace(settings(TIER), gateway_number=1), 2), []
    sending_peer.handle(BEGIN_MS, [EndpointsUpdated(servers(10))])
    for number in range(50):  # These customers have gateway 0 as quota owner
        arrival = RequestReceived(number, f"firm-{number}", "check", "usual", BEGIN_MS + 2000, 1.0, 0, 2)
        words += [
            one.data
            for one in sending_peer.handle(BEGIN_MS + 1 + 100 * number, [arrival])
            if isinstance(one, SendPeerMessage) and one.receiver == 0
        ]

    def build() -> Controller:
        control = controller(10)
        for number in range(int(peers)):
            message_event: Event = PeerMessageReceived(1 + number, words[number % len(words)])
            control.handle(BEGIN_MS + 1 + number * 0.01, [message_event])
        return control

    return allocated_bytes(build)


SHARE_MS, DRIFT = 60_000.0, 0.01


def _allocator(gateways: int) -> BudgetAllocator:
    """Return the allocator of a budget after two demand reports of each gateway.

    Each gateway demands more than its floor; reports arrive at the maximum rate of the whole tier.
    """
    budget = Budget("any", BudgetKind.RATE, 2.0 * gateways, 4.0 * gateways)
    allocator = BudgetAllocator(budget, gateways, 0.0, 1, SHARE_MS, DRIFT, 0.0)
    for serial in (1, 2):
        for number in range(gateways):
            _request_grant(allocator, gateways, number, serial)
    return allocator


def _request_grant(allocator: BudgetAllocator, gateways: int, number: int, serial: int) -> object:
    now_ms = ((serial - 1) * gateways + number) * 1000 / MAX_REPORTS_PER_S
    demand = 1.0 + number % 5  # The demands of all gateways exceed the budget
    report = DemandReport(0, serial, demand, demand / 2, serial - 1, 1.0, 0)
    return allocator.request_grant(now_ms, number, 1, report)


def divider_asking(gateways: float) -> float:
    """Return the CPU us of one demand report."""
    allocator, count = _allocator(int(gateways)), min(int(gateways), 100)
    return (
        median(cpu_ms(_request_grant, allocator, int(gateways), number, 3) for number in range(count)) * 1000
    )


def memory_by_askers(gateways: float) -> float:
    return allocated_bytes(lambda: _allocator(int(gateways)))


def _exported_state(firms: int) -> Any:
    control = _with_customers(firms)
    actions = control.handle(BEGIN_MS + 10_000, [ExportState()])
    return next(action.state for action in actions if hasattr(action, "state"))


def estate_bytes(firms: float) -> float:
    return len(json.dumps(_exported_state(int(firms))))


def estate_ms(firms: float) -> float:
    """Return the CPU ms to export the state of a controller, encode and decode it as JSON, and import it."""

    def hand_off(control: Controller, successor: Controller) -> None:
        exported = control.handle(BEGIN_MS + 10_000, [ExportState()])
        state = next(action.state for action in exported if hasattr(action, "state"))
        successor.handle(BEGIN_MS + 10_000, [ImportState(json.loads(json.dumps(state)))])

    return median(cpu_ms(hand_off, _with_customers(int(firms)), controller(200)) for _ in range(3))
