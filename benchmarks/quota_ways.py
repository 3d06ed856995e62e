"""Ours beside the two usual ways of keeping a quota over several gatekeepers, from the same seeds.

    python -m benchmarks.quota_ways [--seeds 1-40] [--jobs 8] [--ways NAME ...]

*Even split*: each gatekeeper of a firm's set has its part of quota and ceiling for good and asks nobody. *One
counter, open*: each unit is asked for at one place (here the firm's home, which dies with its gatekeeper and
begins again as ours does); where it does not answer twice, the request is let in. *Handed over, at best*:
ours, but a home that comes back has the stores of its last life, to the unit: the most that any handing over,
or peers that remember, could gain. Splits, lost datagrams, kills, restarts and a firm that crowds, as in
quota_windows. For each way: service in time of 1, the same
without the failures (the firm crowds all the same) and what of it is left; the units
beyond `burst + rate x window` in the worst window of any firm, as its mean over seeds and at most, for each
plan with a quota; and beyond the hard ceiling.
"""

from __future__ import annotations

import argparse
import math
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from statistics import mean
from typing import Any
from unittest.mock import patch

from benchmarks.quota_windows import case_of_splits, play
from plumpick.policy import controller
from plumpick.policy.controller import Quota
from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.quota.ledger import store_name
from plumpick.policy.state import Account, Request, Store
from plumpick.simulation.commands import seeds_of

Changes = dict[str, Any]


def even_split() -> tuple[Changes, Changes]:
    """What to put in place of the module's constants, and of Quota's methods."""
    right: Callable[..., Account] = Quota.account

    def account(self: Any, now: float, arrival: Any, plan: Any) -> Account:
        known = (arrival.customer, plan.name, arrival.spread, arrival.first_gateway) in self.accounts
        one = right(self, now, arrival, plan)
        one.total = 0.0  # nobody tells of the others: the part stays even
        if not known:
            one.own = plan.burst / one.spread
        return one

    def request(self: Any, now: float, request: Request) -> bool:
        one, plan = request.account, request.plan
        room = not plan.max_in_flight or one.out < max(1, plan.max_in_flight // one.spread)
        fits = not plan.rate_per_s or request.arrival.units <= one.own
        if room and fits and self.draw(now, request):
            return True
        self.denied(request)
        return False

    # The own bucket may hold its whole part of the burst, 1 / spread of it in sets of three and four.
    return (
        {"OWN_PART": 1.0, "REST_CEILING": controller.CEILING_USE, "HOME_CEILING": 0.0},
        {"account": account, "request": request, "tell_home": lambda *_: None},
    )


def one_counter() -> tuple[Changes, Changes]:
    """As even_split."""

    def unanswered(self: Any, now: float, request: Request) -> bool:
        if request.answered:
            return False
        if request.asks < 2 and request.account.home not in self.silent:
            self.ask(now, request)
            return False
        self.silent.add(request.account.home)
        request.paid = request.arrival.units
        return True

    return {"OWN_PART": 0.0, "HOME_CEILING": controller.CEILING_USE}, {"unanswered": unanswered}


def handed_over() -> tuple[Changes, Changes]:
    """As even_split."""
    book, at_home = Quota.book, Quota.at_home
    last: dict[tuple[int, int], tuple[float, float]] = {}  # by gateway and store: its level, and when

    def booked(self: Any, now: float, store: Store, key: Any, item: QuotaMessage, ceiling: float) -> None:
        book(self, now, store, key, item, ceiling)
        last[self.settings.number, store_name(item)] = store.level, now

    def at(self: Any, now: float, key: Any, item: QuotaMessage) -> None:
        plan, name = self.settings.plans[item.plan_index], store_name(item)
        level, ms = last.get((self.settings.number, name), (0.0, math.inf))
        if name not in self.stores and ms <= now:  # of this run, not of one before
            level = min(plan.burst, level + plan.rate_per_s * (now - ms) / 1000)
            self.stores[name] = Store(plan, level, now, kept=plan.burst)
        at_home(self, now, key, item)

    return {}, {"book": booked, "at_home": at}


WAYS: dict[str, Callable[[], tuple[Changes, Changes]]] = {
    "plumpick": lambda: ({}, {}),
    "even split": even_split,
    "one counter, open": one_counter,
    "handed over, at best": handed_over,
}


@contextmanager
def way(name: str) -> Iterator[None]:
    """The module keeps quotas in that way meanwhile."""
    constants, methods = WAYS[name]()
    with ExitStack() as changed:
        for owner, changes in ((controller, constants), (Quota, methods)):
            for key, value in changes.items():
                changed.enter_context(patch.object(owner, key, value))
        yield


def one(job: tuple[str, int]) -> tuple[str, float, float, dict[str, float]]:
    """A seed in a way: its name, service with and without the failures, and units beyond by plan and kind."""
    name, seed = job
    case = case_of_splits(seed)
    crowd = tuple(fault for fault in case.faults if fault.kind == "hot-firm")
    with way(name):
        result, rows = play(case, judge=False)
        calm, _ = play(replace(case, faults=crowd), judge=False)
    beyond = {f"{row.plan}, quota": row.quota for row in rows if row.quota_bound}
    beyond |= {f"{row.plan}, ceiling": row.ceiling for row in rows if row.ceiling_bound}
    return name, result.service, calm.service, beyond


def main() -> None:
    """Print the table."""
    flags = argparse.ArgumentParser(description=__doc__)
    flags.add_argument("--seeds", default="1-40")
    flags.add_argument("--jobs", type=int, default=8)
    flags.add_argument("--ways", nargs="*", default=list(WAYS), choices=list(WAYS))
    given = flags.parse_args()
    seeds = list(seeds_of(given.seeds))
    with ProcessPoolExecutor(given.jobs) as pool:
        results = list(pool.map(one, [(name, seed) for name in given.ways for seed in seeds]))
    kinds = sorted(results[0][3])
    print(
        "| way | service | without failures | ratio | "
        + " | ".join(kinds)
        + " |\n|"
        + " --- |" * (4 + len(kinds))
    )
    for name in given.ways:
        mine = [result for result in results if result[0] == name]
        cells = [
            f"{mean(beyond[kind] for *_, beyond in mine):.1f}, "
            f"at most {max(beyond[kind] for *_, beyond in mine):.1f}"
            for kind in kinds
        ]
        service, calm = mean(one[1] for one in mine), mean(one[2] for one in mine)
        print(f"| {name} | {service:.3f} | {calm:.3f} | {service / calm:.3f} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
