"""Compares the program's distributed quota with other designs, each played with the same seeds.

    python -m benchmarks.quota_ways [--seeds 1-40] [--jobs 8] [--ways NAME ...]

*Even split*: each gateway of a customer's set has a fixed, equal part of quota and hard limit and sends no
messages about it. *One counter, open*: each unit needs a grant from the customer's quota owner, which
loses its ledgers when its gateway stops, as in the program; if the owner does not reply twice, the request is
admitted (fail open). *Handed over, at best*: the program's design, but a restarted owner recovers its ledgers
exactly: an upper limit for the gain of any hand-over or replication of ledgers.

The cases are those of quota_windows: network partitions, lost datagrams, kills, restarts and a customer that
overloads one gateway. Prints for each design: the service in time (1 at most), the service without the faults
(the customer still overloads one gateway) and their ratio; for each plan, the excess over
`burst + rate x window` in the worst window of any customer, as mean and maximum over the seeds, for the quota
and for the hard limit ("ceiling").
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
from plumpick.simulation.commands import parse_seeds

Changes = list[tuple[Any, str, Any]]  # Patches of the policy: object, attribute, replacement


def even_split() -> Changes:
    """Return the patches with which each gateway has a fixed, equal part of the quota."""
    original_account_of: Callable[..., CustomerAccount] = QuotaRequester.account_of

    def account_of(self: Any, now_ms: float, received: Any, plan: Any) -> CustomerAccount:
        key = received.customer, plan.name, received.gateway_set_size, received.first_gateway
        is_known = key in self.accounts
        account = original_account_of(self, now_ms, received, plan)
        # The demand of other gateways stays unknown, so each gateway's part stays equal
        account.set_demand_per_s = 0.0
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
        # The local bucket may hold this gateway's whole part of the burst, 1 / set size.
        (requester, "LOCAL_BURST_RATIO", 1.0),
        (hard_limits, "SET_RATIO", USED_RATIO),
        (hard_limits, "OWNER_RATIO", 0.0),
        (QuotaRequester, "account_of", account_of),
        (QuotaRequester, "request_units", request_units),
        (QuotaRequester, "notify_owner", lambda *_: None),
    ]


def one_counter() -> Changes:
    """Return the patches with which only the owner grants units; without its reply, requests are admitted."""

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
    """Return the patches with which a restarted owner continues with the ledgers of its last incarnation."""
    settle, on_message = QuotaOwner._settle, QuotaOwner.on_message
    last: dict[
        tuple[int, int], tuple[float, float]
    ] = {}  # Units and time in ms of the last settlement, by gateway and ledger

    def settle_and_save(
        self: Any, now_ms: float, ledger: QuotaLedger, key: Any, message: QuotaMessage, limit_units: float
    ) -> None:
        settle(self, now_ms, ledger, key, message, limit_units)
        number = self.context.settings.gateway_number
        last[number, ledger_key(message)] = ledger.units, now_ms

    def on_quota_message(self: Any, now_ms: float, key: Any, message: QuotaMessage) -> None:
        settings = self.context.settings
        plan, name = settings.plans[message.plan_index], ledger_key(message)
        units, ms = last.get((settings.gateway_number, name), (0.0, math.inf))
        if (
            name not in self.ledgers and ms <= now_ms
        ):  # A settlement later than now is from an earlier run in this process
            units = min(plan.burst, units + plan.rate_per_s * (now_ms - ms) / 1000)
            self.ledgers[name] = QuotaLedger(plan, units, now_ms, withheld_units=plan.burst)
        on_message(self, now_ms, key, message)

    return [(QuotaOwner, "_settle", settle_and_save), (QuotaOwner, "on_message", on_quota_message)]


WAYS: dict[str, Callable[[], Changes]] = {
    "plumpick": list,
    "even split": even_split,
    "one counter, open": one_counter,
    "handed over, at best": handed_over,
}


@contextmanager
def way(name: str) -> Iterator[None]:
    """Patch the policy with the design `name` while the context is open."""
    with ExitStack() as changed:
        for owner, attribute, value in WAYS[name]():
            changed.enter_context(patch.object(owner, attribute, value))
        yield


def run_seed(job: tuple[str, int]) -> tuple[str, float, float, dict[str, float]]:
    """Play a design and seed; return the design, the service with and without faults, and the excess.

    The excess is given in units by plan and limit, under the heading of its table column.
    """
    name, seed = job
    case = case_of_splits(seed)
    crowd = tuple(fault for fault in case.faults if fault.kind == "hot-firm")
    with way(name):
        result, rows = play(case, judge=False)
        calm, _ = play(replace(case, faults=crowd), judge=False)
    excess_units = {f"{row.plan}, quota": row.quota for row in rows if row.quota_bound}
    excess_units |= {f"{row.plan}, ceiling": row.ceiling for row in rows if row.ceiling_bound}
    return name, result.service, calm.service, excess_units


def main() -> None:
    """Print a table with a row for each quota design."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-40")
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--ways", nargs="*", default=list(WAYS), choices=list(WAYS))
    arguments = parser.parse_args()
    seeds = list(parse_seeds(arguments.seeds))
    with ProcessPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(run_seed, [(name, seed) for name in arguments.ways for seed in seeds]))
    kinds = sorted(results[0][3])
    print(
        "| way | service | without failures | ratio | "
        + " | ".join(kinds)
        + " |\n|"
        + " --- |" * (4 + len(kinds))
    )
    for name in arguments.ways:
        way_results = [result for result in results if result[0] == name]
        cells = [
            f"{mean(excess_units[kind] for *_, excess_units in way_results):.1f}, "
            f"at most {max(excess_units[kind] for *_, excess_units in way_results):.1f}"
            for kind in kinds
        ]
        service, calm = mean(one[1] for one in way_results), mean(one[2] for one in way_results)
        print(f"| {name} | {service:.3f} | {calm:.3f} | {service / calm:.3f} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
