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
from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.quota import hard_limits, requester
from plumpick.policy.quota.hard_limits import USED_RATIO
from plumpick.policy.quota.ledger import ledger_key
from plumpick.policy.quota.owner import QuotaOwner
from plumpick.policy.quota.records import CustomerAccount, QuotaLedger
from plumpick.policy.quota.requester import QuotaRequester
from plumpick.policy.request_state import Request
from plumpick.simulation.commands import seeds_of

Changes = list[tuple[Any, str, Any]]  # owner, name, what stands there instead


def even_split() -> Changes:
    """Each gateway has an even part of the quota, for good."""
    right: Callable[..., CustomerAccount] = QuotaRequester.account_of

    def account_of(self: Any, now_ms: float, received: Any, plan: Any) -> CustomerAccount:
        key = received.customer, plan.name, received.gateway_set_size, received.first_gateway
        is_known = key in self.accounts
        account = right(self, now_ms, received, plan)
        account.set_demand_per_s = 0.0  # nobody tells of the others: the part stays even
        if not is_known:
            account.local_units = plan.burst / account.gateway_set_size
        return account

    def request_units(self: Any, now_ms: float, request: Request) -> bool:
        account, plan = request.account, request.plan
        most = max(1, plan.max_in_flight // account.gateway_set_size)
        has_room = not plan.max_in_flight or account.requests_in_flight < most
        fits = not plan.rate_per_s or request.received.units <= account.local_units
        if has_room and fits and self.spend_local(now_ms, request):
            return True
        self.on_denied(request)
        return False

    return [
        # The own bucket may hold its whole part of the burst, 1 / spread of it in sets of three and four.
        (requester, "LOCAL_BURST_RATIO", 1.0),
        (hard_limits, "SET_RATIO", USED_RATIO),
        (hard_limits, "OWNER_RATIO", 0.0),
        (QuotaRequester, "account_of", account_of),
        (QuotaRequester, "request_units", request_units),
        (QuotaRequester, "notify_owner", lambda *_: None),
    ]


def one_counter() -> Changes:
    """The owner alone counts; a request that it does not answer goes on uncounted."""

    def on_grant_timeout(self: Any, now_ms: float, request: Request) -> bool:
        if request.owner_has_replied:
            return False
        owner, unresponsive = request.account.owner, self.liveness.unresponsive_owners
        if request.grant_requests < 2 and owner not in unresponsive:
            self.request_grant(now_ms, request)
            return False
        unresponsive.add(owner)
        request.units_charged = request.received.units
        return True

    return [
        (requester, "LOCAL_BURST_RATIO", 0.0),
        (hard_limits, "OWNER_RATIO", USED_RATIO),
        (QuotaRequester, "on_grant_timeout", on_grant_timeout),
    ]


def handed_over() -> Changes:
    """An owner that restarts goes on from what its ledgers held, as if they had been handed over."""
    settle, on_message = QuotaOwner._settle, QuotaOwner.on_message
    last: dict[tuple[int, int], tuple[float, float]] = {}  # by gateway and ledger: its units, and when

    def settled(
        self: Any, now_ms: float, ledger: QuotaLedger, key: Any, message: QuotaMessage, limit_units: float
    ) -> None:
        settle(self, now_ms, ledger, key, message, limit_units)
        number = self.context.settings.gateway_number
        last[number, ledger_key(message)] = ledger.units, now_ms

    def at(self: Any, now_ms: float, key: Any, message: QuotaMessage) -> None:
        settings = self.context.settings
        plan, name = settings.plans[message.plan_index], ledger_key(message)
        units, ms = last.get((settings.gateway_number, name), (0.0, math.inf))
        if name not in self.ledgers and ms <= now_ms:  # of this run, not of one before
            units = min(plan.burst, units + plan.rate_per_s * (now_ms - ms) / 1000)
            self.ledgers[name] = QuotaLedger(plan, units, now_ms, withheld_units=plan.burst)
        on_message(self, now_ms, key, message)

    return [(QuotaOwner, "_settle", settled), (QuotaOwner, "on_message", at)]


WAYS: dict[str, Callable[[], Changes]] = {
    "plumpick": list,
    "even split": even_split,
    "one counter, open": one_counter,
    "handed over, at best": handed_over,
}


@contextmanager
def way(name: str) -> Iterator[None]:
    """The module keeps quotas in that way meanwhile."""
    with ExitStack() as changed:
        for owner, attribute, value in WAYS[name]():
            changed.enter_context(patch.object(owner, attribute, value))
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
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-40")
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--ways", nargs="*", default=list(WAYS), choices=list(WAYS))
    arguments = parser.parse_args()
    seeds = list(seeds_of(arguments.seeds))
    with ProcessPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(one, [(name, seed) for name in arguments.ways for seed in seeds]))
    kinds = sorted(results[0][3])
    print(
        "| way | service | without failures | ratio | "
        + " | ".join(kinds)
        + " |\n|"
        + " --- |" * (4 + len(kinds))
    )
    for name in arguments.ways:
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
