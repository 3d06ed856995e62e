"""How long a change of settings holds up the module.

    python -m benchmarks.reconfigure [CLASSES ACCOUNTS SERVERS]

Prints, for each kind of change, ms of one turn with nothing else in it: median and worst of so many changes
to and fro, and the same for a turn without a change. The settings are objects of their own each time, as a
configuration that was read anew gives them; reading it is not counted."""

import statistics
import sys
import time
from dataclasses import replace

from plumpick.policy.actions import CommandCompleted
from plumpick.policy.controller import Controller
from plumpick.policy.events import Endpoint, EndpointState, EndpointsUpdated, RequestReceived, SettingsChanged
from plumpick.policy.settings import Idempotency, Plan, RequestClass, Settings

TIMES = 20
PLANS = 50


def settings(classes, **more):
    """A tier of 550 with so many classes."""
    values = dict(
        gateways=550,
        number=7,
        zone="z0",
        tick_ms=4.0,
        classes=tuple(
            RequestClass(f"route-{n}", 500.0 + n % 100, 2000.0, 1.0 + n % 3, Idempotency.IDEMPOTENT)
            for n in range(classes)
        ),
        plans=tuple(
            Plan(f"plan-{n}", 8.0, 16.0, hard_limit_per_s=16.0, hard_limit_burst=32.0) for n in range(PLANS)
        ),
        warm_up_ms=8000,
        cold_from=0.25,
        fall_multiple=3,
        fall_window_ms=1500,
        max_attempts=4,
        max_units=4,
        may_tell=True,
        second_copies=True,
        max_retry_after_ms=1000,
        inbox_per_s=60,
    )
    values.update(more)
    return Settings(**values)


def filled(classes, accounts, servers, stores=2000):
    """A module with so much in its tables; as many open requests as stores."""
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
        arrival = RequestReceived(n, name, "route-0", f"plan-{n % PLANS}", 1e9, 1.0, n % 550, 3)
        control.state.quota.requester.account_of(0.0, arrival, control.state.plans[arrival.plan_name])
    now = 4.0
    for n in range(stores):  # some that are open, and stores of those whose home this is
        control.handle(
            now,
            [
                RequestReceived(
                    10**6 + n,
                    f"{n:016x}",
                    f"route-{n % classes}",
                    f"plan-{n % PLANS}",
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
    control, now = filled(classes, accounts, servers)
    print(
        f"{classes} classes, {len(control.state.quota.requester.accounts)} accounts, {servers} servers, "
        f"{len(control.state.quota.owner.ledgers)} stores, {len(control.requests)} open, {PLANS} plans"
    )
    base = settings(classes)
    fresh = RequestClass("fresh", 700.0, 2000.0, 1.0, Idempotency.IDEMPOTENT)
    kinds = {
        "none, a turn alone": None,
        "the same again": base,
        "a class's aim": replace(
            base, classes=(replace(base.classes[0], latency_objective_ms=333.0), *base.classes[1:])
        ),
        "a plan's rate": replace(base, plans=(replace(base.plans[0], rate_per_s=9.0), *base.plans[1:])),
        "a class more": replace(base, classes=(*base.classes, fresh)),
        "a class less": replace(base, classes=base.classes[:-1]),
        "a plan less, the first": replace(base, plans=base.plans[1:]),
        "all plans' figures": replace(base, plans=tuple(replace(plan, burst=20.0) for plan in base.plans)),
        "the warm-up": replace(base, slow_start_ms=9000.0),
    }
    for name, other in kinds.items():
        took = []
        for step in range(TIMES):
            if other is None:
                events = []
            else:
                wanted = other if step % 2 == 0 else base
                events = [
                    SettingsChanged(
                        1,
                        replace(
                            wanted,
                            classes=tuple(replace(kind) for kind in wanted.classes),
                            plans=tuple(replace(plan) for plan in wanted.plans),
                        ),
                    )
                ]
            now += 0.001  # no period comes meanwhile
            began = time.perf_counter()
            actions = control.handle(now, events)
            took.append((time.perf_counter() - began) * 1000)
            assert not control.faults and all(
                one.error == "" for one in actions if isinstance(one, CommandCompleted)
            )
        print(f"{name:24} median {statistics.median(took):7.2f} ms, worst {max(took):7.2f} ms")
    began = time.perf_counter()
    control.remove_expired()
    print(f"{'tidying after them':24}        {(time.perf_counter() - began) * 1000:7.2f} ms")


if __name__ == "__main__":
    main()
