"""Measures how long the policy controller needs to apply changed settings.

    python -m benchmarks.reconfigure [CLASSES ACCOUNTS SERVERS]

For each kind of change, prints the median and maximum duration in ms of a call of `handle` with the change as
its only event, made and reverted by turns; for comparison, the same for a call without events. Each change
uses new copies of the classes and plans, as after parsing a new configuration; parsing is not measured."""

import statistics
import sys
import time
from dataclasses import replace

from plumpick.policy.actions import CommandCompleted
from plumpick.policy.controller import Controller
from plumpick.policy.events import Endpoint, EndpointState, EndpointsUpdated, RequestReceived, SettingsChanged
from plumpick.policy.settings import Idempotency, Plan, RequestClass, Settings

CHANGES = 20
PLAN_COUNT = 50


def settings(classes, **overrides):
    """Return the settings of a gateway in a tier of 550, with this number of request classes."""
    values = dict(
        gateway_count=550,
        gateway_number=7,
        zone="z0",
        tick_ms=4.0,
        classes=tuple(
            RequestClass(f"route-{n}", 500.0 + n % 100, 2000.0, 1.0 + n % 3, Idempotency.IDEMPOTENT)
            for n in range(classes)
        ),
        plans=tuple(
            Plan(f"plan-{n}", 8.0, 16.0, hard_limit_per_s=16.0, hard_limit_burst=32.0)
            for n in range(PLAN_COUNT)
        ),
        slow_start_ms=8000,
        slow_start_initial_ratio=0.25,
        overload_multiple=3,
        overload_window_ms=1500,
        max_attempts=4,
        max_units=4,
        can_message_peers=True,
        can_hedge=True,
        max_retry_after_ms=1000,
        peer_inbox_per_s=60,
    )
    values.update(overrides)
    return Settings(**values)


def filled_controller(classes, accounts, servers, ledgers=2000):
    """Return a controller with these numbers of classes, quota accounts, workers and quota ledgers.

    Also returns its current time in ms. The controller has as many open requests as quota ledgers.
    """
    control = Controller(settings(classes), 1)
    control.handle(
        0.0,
        [
            EndpointsUpdated(
                tuple(
                    Endpoint(f"worker-{n}", f"z{n % 5}", n % 16, EndpointState.READY) for n in range(servers)
                )
            )
        ],
    )
    for n in range(accounts):
        name = f"{n:016x}"
        arrival = RequestReceived(n, name, "route-0", f"plan-{n % PLAN_COUNT}", 1e9, 1.0, n % 550, 3)
        control.state.quota.requester.account_of(0.0, arrival, control.state.plans[arrival.plan_name])
    now = 4.0
    for n in range(ledgers):  # Open requests of customers whose quota owner is this gateway
        control.handle(
            now,
            [
                RequestReceived(
                    10**6 + n,
                    f"{n:016x}",
                    f"route-{n % classes}",
                    f"plan-{n % PLAN_COUNT}",
                    now + 1900.0,
                    1.0,
                    7,
                    1,
                )
            ],
        )
    return control, now


def main():
    classes, accounts, servers = (
        (int(word) for word in sys.argv[1:4]) if len(sys.argv) > 3 else (11_000, 40_000, 5_900)
    )
    control, now = filled_controller(classes, accounts, servers)
    print(
        f"{classes} classes, {len(control.state.quota.requester.accounts)} accounts, {servers} servers, "
        f"{len(control.state.quota.owner.ledgers)} stores, {len(control.requests)} open, {PLAN_COUNT} plans"
    )
    base = settings(classes)
    added_class = RequestClass("fresh", 700.0, 2000.0, 1.0, Idempotency.IDEMPOTENT)
    changes = {
        "none, a turn alone": None,
        "the same again": base,
        "a class's aim": replace(
            base, classes=(replace(base.classes[0], latency_objective_ms=333.0), *base.classes[1:])
        ),
        "a plan's rate": replace(base, plans=(replace(base.plans[0], rate_per_s=9.0), *base.plans[1:])),
        "a class more": replace(base, classes=(*base.classes, added_class)),
        "a class less": replace(base, classes=base.classes[:-1]),
        "a plan less, the first": replace(base, plans=base.plans[1:]),
        "all plans' figures": replace(base, plans=tuple(replace(plan, burst=20.0) for plan in base.plans)),
        "the warm-up": replace(base, slow_start_ms=9000.0),
    }
    for name, other in changes.items():
        durations_ms = []
        for step in range(CHANGES):
            if other is None:
                events = []
            else:
                target = other if step % 2 == 0 else base
                events = [
                    SettingsChanged(
                        1,
                        replace(
                            target,
                            classes=tuple(replace(kind) for kind in target.classes),
                            plans=tuple(replace(plan) for plan in target.plans),
                        ),
                    )
                ]
            now += 0.001  # A step of 0.001 ms, so that no periodic work becomes due
            began = time.perf_counter()
            actions = control.handle(now, events)
            durations_ms.append((time.perf_counter() - began) * 1000)
            assert not control.faults and all(
                one.error == "" for one in actions if isinstance(one, CommandCompleted)
            )
        print(
            f"{name:24} median {statistics.median(durations_ms):7.2f} ms, worst {max(durations_ms):7.2f} ms"
        )
    began = time.perf_counter()
    control.remove_expired()
    print(f"{'tidying after them':24}        {(time.perf_counter() - began) * 1000:7.2f} ms")


if __name__ == "__main__":
    main()
