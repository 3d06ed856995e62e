"""Checks of scheduled tasks and fleet budgets in a simulated run.

A receiver on the virtual network collects the effects of scheduled tasks. Lease ownership is checked after
each step, and the limit of each budget whenever units are spent, both by the machine's time, without skew.
"""

from __future__ import annotations

from typing import Any

from plumpick.gateway.operator_config import FleetSettings, parse_operator_config
from plumpick.rehearsal.auditor import Breach
from plumpick.rehearsal.receiver import Receiver
from plumpick.rehearsal.surroundings import HOST, Surroundings
from plumpick.rehearsal.tier import judge
from plumpick.simulation.loop import Process

ONE_OWNER, FENCING, WHOLE_BUDGET = "one-owner", "fencing", "whole"
TERM_S, PERIOD_S, SHARE_S = 3.0, 1.0, 1.5


# Budgets below the clients' demand in most seeds; the last allows less than one request per gateway.
BUDGETS: list[dict[str, Any]] = [
    {"name": "all", "whole": 20.0, "burst": 10.0, "floor": 0.3},
    {"name": "checks", "whole": 5.0, "burst": 4.0, "floor": 0.0, "classes": ["seat-check"]},
    {"name": "basic", "whole": 2.0, "burst": 1.5, "floor": 0.0, "plans": ["basico"]},
]


class BudgetBucket:
    """Token bucket that checks the total spending of all processes against one fleet budget.

    The bucket starts full, holds `burst` units and refills at `rate_per_s` units per second.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate, self._burst, self._level, self._ms = rate_per_s, burst, burst, 0.0
        self.total = 0.0

    def spend(self, now_ms: float, units: float) -> float:
        """Records spent units; returns the units by which the budget is exceeded at `now_ms`, or 0."""
        self._level = min(self._burst, self._level + (now_ms - self._ms) / 1000 * self._rate) - units
        self._ms, self.total = now_ms, self.total + units
        return max(0.0, -self._level - 1e-6)


class FleetChecker:
    """Checks the leases and budgets of all live processes of one simulated run."""

    def __init__(self, around: Surroundings, task_count: int, gatekeepers: int, budgets: int = 0) -> None:
        self._budgets = BUDGETS[:budgets]
        self.buckets = {row["name"]: BudgetBucket(row["whole"], row["burst"]) for row in self._budgets}
        self.rejected, self._excess = 0, ""
        self.receiver = Receiver(around.chance("receiver"), clock=around.now)
        self._task_count, self._gatekeepers, self._now = task_count, gatekeepers, around.now
        self._runners: list[tuple[Process, Any]] = []  # live processes and their lease runners
        self.owners: set[int] = set()  # fencing tokens under which a lease was held
        self.settings: FleetSettings | None = None

    async def start(self) -> None:
        """Starts the receiver, then builds the fleet settings, which contain the receiver's port."""
        await self.receiver.start()
        row = {
            "kind": "call",
            "period_s": PERIOD_S,
            "fenced": True,
            "receiver": f"http://{HOST}:{self.receiver.port}/effects",
        }
        self.settings = parse_operator_config(
            {
                "fleet": {
                    "voters": list(range(min(3, self._gatekeepers))),
                    "slots": 4,
                    "term_s": TERM_S,
                    "drift": 0.01,
                    "duty": [{**row, "name": f"duty-{number}"} for number in range(self._task_count)]
                    + (
                        [{**row, "name": "use", "kind": "use", "period_s": 2 * PERIOD_S, "limit_s": 6.0}]
                        if self._task_count
                        else []
                    ),
                    "budget": self._budgets,
                    "share_s": SHARE_S,
                }
            },
            self._gatekeepers,
        ).fleet

    def add_lease_runner(self, process: Process, part: Any) -> None:
        """Adds the lease runner of a started process to the checks and drops those of dead processes."""
        self._runners = [(other, its) for other, its in self._runners if not other.dead]
        self._runners.append((process, part))
        spend = part.budgets.spend

        def checked_spend(wanted: list[tuple[str, float]]) -> bool:
            accepted = bool(spend(wanted))
            self.rejected += not accepted
            for name, units in wanted if accepted else ():
                excess = self.buckets[name].spend(self._now(), units)
                if excess:
                    self._excess = self._excess or f"budget {name}: {excess:.4f} units over burst + rate x W"
            return accepted

        part.budgets.spend = checked_spend

    def find_breach(self) -> Breach | None:
        """Returns a breach if two processes hold a lease now or a budget has been exceeded, else None."""
        if self._excess:
            return Breach(WHOLE_BUDGET, self._now(), "budgets", self._excess, False)
        holders: dict[int, int] = {}
        for process, part in self._runners:
            participant = part.participant
            if process.dead or participant is None or participant.closed or not participant.holder.held:
                continue
            clock_ms = process.time() * 1000
            for lease, held in participant.holder.held.items():
                if clock_ms >= held.requested_ms + participant.terms.term_ms:
                    continue
                self.owners.add(held.token)
                if lease in holders:
                    return Breach(
                        ONE_OWNER,
                        self._now(),
                        f"lease {lease}",
                        f"lease {lease} is held under the tokens {holders[lease]:x} and {held.token:x}",
                        False,
                    )
                holders[lease] = held.token
        return None

    def find_effect_breach(self) -> Breach | None:
        """Checks the effects that the receiver admitted, after the run: a breach of fencing, or None."""
        judged = judge([], self.receiver.records)
        for text in judged.out_of_order + judged.doubles:
            return Breach(FENCING, self._now(), "effects", text, False)
        return None
