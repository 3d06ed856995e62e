"""`python -m benchmarks.budgets.ways`: shares lent by a divider beside other ways to keep a whole, in
modelled time, the same demand and the same faults for each, from a seed.

Ways: `lent` (ours: plumpick.policy.budgets.ledger), `even` parts for good, one `counter` that each unit is
asked of, `closed` or `open` when it is silent, and `gossip`: each tells the others what comes to it and
takes its part of the whole by what it heard (Raghavan et al. 2007, distributed rate limiting). Beside them
what one that knows all would let through. Columns: most units over burst + rate x W; the part used of what
the all-knowing uses; requests refused that it would let through, of all; delay added, ms in the mean;
messages sent a second and gatekeeper, and taken in by the busiest."""

from __future__ import annotations

import argparse
import functools
import heapq
import itertools
import json
import random
import sys
from collections.abc import Callable
from typing import Any

from plumpick.policy.budgets.budget import MAX_GRANT_TO_LEASE_RATIO, Budget, BudgetKind
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.budgets.report_schedule import MAX_REPORTS_PER_S
from plumpick.policy.budgets.token_bucket import TokenBucket
from plumpick.policy.leases.terms import LeaseTerms

STEP_MS, SECONDS, WARM_S = 20.0, 40.0, 6.0
SHARE_MS = 1200.0
LOSS, DELAY_MS = 0.02, (1.0, 20.0)
SILENT_MS, TELL_MS = 100.0, 250.0  # after which a counter counts as silent; between two words of gossip
AWAY_MS = 1500.0  # a dead gatekeeper is back after so long


class World:
    """Time, the network, and who is dead or cut off."""

    def __init__(self, count: int, seed: int, budget: Budget, deaths: bool, split: bool) -> None:
        self.count, self.budget, self.now = count, budget, 0.0
        self.chance, self.net = random.Random(f"{seed}/world"), random.Random(f"{seed}/net")
        self.up = [True] * count
        self.side: set[int] = set()
        self.sent, self.taken = 0, [0] * count
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self.born = [0] * count
        if deaths:
            for at_s in range(5, int(SECONDS), 10):
                self.at(at_s * 1000.0, self._death)
        if split:
            self.at(15_000.0, lambda: self.side.update(range(count // 3 or 1)))
            self.at(25_000.0, self.side.clear)

    def at(self, t: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (t, next(self._serial), what))

    def _death(self) -> None:
        number = 0 if self.chance.random() < 0.5 else self.chance.randrange(self.count)  # the divider, often
        self.up[number] = False
        self.at(self.now + AWAY_MS, lambda: self._back(number))

    def _back(self, number: int) -> None:
        self.up[number], self.born[number] = True, self.born[number] + 1

    def send(self, sender: int, receiver: int, what: Callable[[], None]) -> None:
        """Deliver it after a while, if it comes through; counted."""
        self.sent += 1
        if self.net.random() < LOSS or (sender in self.side) != (receiver in self.side):
            return

        def deliver() -> None:
            if self.up[receiver]:
                self.taken[receiver] += 1
                what()

        self.at(self.now + self.net.uniform(*DELAY_MS), deliver)

    def run_to(self, t: float) -> None:
        while self._heap and self._heap[0][0] <= t:
            self.now, _, what = heapq.heappop(self._heap)
            what()
        self.now = t


class Even:
    """Parts for good."""

    delay_ms = 0.0

    def __init__(self, world: World) -> None:
        self.world, budget = world, world.budget
        self.buckets = [
            TokenBucket(0.0, budget.limit / world.count, budget.burst / world.count)
            for _ in range(world.count)
        ]
        self.born = [0] * world.count

    def step(self) -> None:
        for number, born in enumerate(self.world.born):
            if born != self.born[number]:  # a new life begins with nothing
                self.born[number], self.buckets[number].tokens = born, 0.0

    def spend(self, number: int) -> bool:
        bucket = self.buckets[number]
        if bucket.available(self.world.now) < 1:
            return False
        bucket.tokens -= 1
        return True


class Gossip(Even):
    """Each by what it heard of the others."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.came = [0.0] * world.count  # a second, of late
        self.heard: list[dict[int, float]] = [{} for _ in range(world.count)]
        self._next_ms = 0.0
        for bucket in self.buckets:
            bucket.capacity = world.budget.burst

    def step(self) -> None:
        super().step()
        world = self.world
        if world.now < self._next_ms:
            return
        self._next_ms = world.now + TELL_MS
        for number in range(world.count):
            if not world.up[number]:
                continue
            self.came[number] *= 0.7
            mine, whole = self.came[number], self.came[number] + sum(self.heard[number].values())
            self.buckets[number].refill(world.now)
            self.buckets[number].rate_per_s = world.budget.limit * (
                mine / whole if whole else 1 / world.count
            )
            # To all, where the messages allow it; else to as many by chance.
            others = [one for one in range(world.count) if one != number]
            for other in others if len(others) <= 10 else world.net.sample(others, 10):
                world.send(number, other, lambda n=number, o=other, m=mine: self.heard[o].__setitem__(n, m))

    def spend(self, number: int) -> bool:
        self.came[number] += 1
        return super().spend(number)


class Counter:
    """One counts all, at gatekeeper 0: each unit is asked of it."""

    def __init__(self, world: World, fails_open: bool) -> None:
        self.world, self.open = world, fails_open
        self.bucket = TokenBucket(0.0, world.budget.limit, world.budget.burst)
        self.delay_ms = 2 * sum(DELAY_MS) / 2
        self.born = 0

    def step(self) -> None:
        if self.world.born[0] != self.born:
            self.born, self.bucket.tokens = self.world.born[0], 0.0

    def spend(self, number: int) -> bool:
        world = self.world
        world.sent += 2 * (number != 0)
        world.taken[0] += number != 0
        lost = world.net.random() < 2 * LOSS  # either way
        if number and (lost or not world.up[0] or (0 in world.side) != (number in world.side)):
            return self.open
        if self.bucket.available(world.now) < 1:
            return False
        self.bucket.tokens -= 1
        return True


class Lent:
    """Ours. The slot's owner is told by the world: who dies leaves it vacant for a lease's term."""

    delay_ms = 0.0

    def __init__(self, world: World) -> None:
        self.world = world
        self.share_ms = max(SHARE_MS, 2000.0 * world.count / MAX_REPORTS_PER_S)
        self.term_ms = self.share_ms / MAX_GRANT_TO_LEASE_RATIO
        self.terms = LeaseTerms(tuple(range(min(3, world.count))), slots=1, term_ms=self.term_ms)
        self.books = [self._book(number) for number in range(world.count)]
        self.lives, self.token, self.owner = list(range(world.count)), 0, -1
        self.born = [0] * world.count
        self.vacant_ms = 0.0

    def _book(self, number: int) -> BudgetLedger:
        book = BudgetLedger(
            (self.world.budget,),
            number,
            self.world.count,
            self.terms,
            self.share_ms,
            random.Random(number),
            self.world.now,
        )
        book.resume_guaranteed(self.world.now)
        return book

    def step(self) -> None:
        world = self.world
        for number, born in enumerate(world.born):
            if born != self.born[number]:
                self.born[number], self.lives[number] = born, self.lives[number] + 1000
                self.books[number] = self._book(number)
        # A majority of the voters has to be there, and to hear the owner.
        voters = [one for one in self.terms.acceptors if world.up[one]]
        cut = self.owner >= 0 and 2 * sum(
            (one in world.side) == (self.owner in world.side) for one in voters
        ) <= len(self.terms.acceptors)
        if self.owner >= 0 and (not world.up[self.owner] or cut):
            if world.up[self.owner]:
                self.books[self.owner].on_lease_lost(0)
            self.owner, self.vacant_ms = -1, world.now + self.term_ms
        if self.owner < 0 and world.now >= self.vacant_ms:
            able = [
                one
                for one in range(world.count)
                if world.up[one]
                and 2 * sum((voter in world.side) == (one in world.side) for voter in voters)
                > len(self.terms.acceptors)
            ]
            if able:
                self.owner, self.token = able[0], self.token + 1
                self.books[self.owner].on_lease_acquired(world.now, 0, self.token)
        for number, book in enumerate(self.books):
            if world.up[number] and world.now >= book.next_timer_ms():
                book.on_timer(world.now)
                self._carry(number)

    def _carry(self, number: int) -> None:
        book = self.books[number]
        while book.outbox:
            notes, book.outbox = book.outbox, []
            life = self.lives[number]
            for receiver, note in notes:
                if receiver == number:
                    self._hear(number, life, receiver, note)
                else:
                    self.world.send(
                        number, receiver, functools.partial(self._hear, number, life, receiver, note)
                    )

    def _hear(self, sender: int, life: int, receiver: int, note: bytes) -> None:
        knows = self.owner if receiver in self.terms.acceptors and self.owner >= 0 else None
        self.books[receiver].on_message(
            self.world.now, sender, life, note, self.lives[receiver], lambda _slot: knows
        )
        self._carry(receiver)

    def spend(self, number: int) -> bool:
        return self.books[number].try_spend(self.world.now, [(self.world.budget.name, 1.0)])


WAYS: dict[str, Callable[[World], Any]] = {
    "lent": Lent,
    "even": Even,
    "counter, closed": lambda world: Counter(world, False),
    "counter, open": lambda world: Counter(world, True),
    "gossip": Gossip,
}


CONDITIONS = {
    "calm": "",
    "demand elsewhere every 5 s": "moves",
    "a death every 10 s": "deaths",
    "a third cut off for 10 s": "split",
}


def play(way: str, count: int, seed: int, budget: Budget, fault: str) -> dict[str, Any]:
    """One way, one world."""
    world = World(count, seed, budget, fault == "deaths", fault == "split")
    one, demand = WAYS[way](world), random.Random(f"{seed}/demand")
    ideal = TokenBucket(0.0, budget.limit, budget.burst, budget.burst)
    level, level_ms, over = budget.burst, 0.0, 0.0
    used = known = wanted = wrongly = 0
    weight = [demand.random() ** 3 for _ in range(count)]
    last_s = 0
    while world.now < SECONDS * 1000:
        world.run_to(world.now + STEP_MS)
        one.step()
        if fault == "moves" and int(world.now / 5000) != last_s:
            last_s = int(world.now / 5000)
            weight = [demand.random() ** 3 for _ in range(count)]
        whole = sum(weight)
        counted = world.now > WARM_S * 1000
        for number in range(count):
            rate = 1.5 * budget.limit * weight[number] / whole * STEP_MS / 1000
            for _ in range(int(rate + demand.random())):
                if not world.up[number]:
                    continue
                met, could = one.spend(number), ideal.available(world.now) >= 1
                ideal.tokens -= could
                if met:
                    level = min(budget.burst, level + (world.now - level_ms) / 1000 * budget.limit) - 1
                    level_ms, over = world.now, max(over, -level)
                used, known, wanted = used + met * counted, known + could * counted, wanted + counted
                wrongly += could and not met and counted
    return {
        "way": way,
        "gatekeepers": count,
        "fault": fault,
        "over": round(over, 1),
        "used": round(used / max(1, known), 3),
        "wrongly": round(wrongly / max(1, wanted), 3),
        "delay_ms": one.delay_ms,
        "sent": round(world.sent / SECONDS / count, 1),
        "busiest": round(max(world.taken) / SECONDS, 1),
    }


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.budgets.ways", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 30, 200])
    parser.add_argument("--whole", type=float, default=0.0, help="a second (20 for each gatekeeper)")
    parser.add_argument("--floor", type=float, default=0.1)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    for count in given.sizes:
        whole = given.whole or 20.0 * count
        budget = Budget("one", BudgetKind.RATE, whole, burst=whole / 2, guaranteed_ratio=given.floor)
        for what, fault in CONDITIONS.items():
            for way in WAYS:
                row = play(way, count, given.seed, budget, fault)
                if given.json:
                    print(json.dumps(row), flush=True)
                    continue
                print(
                    f"{count:>4} {what:<26} {way:<16} over {row['over']:>8g}  used {row['used']:>6.3f}  "
                    f"wrongly {row['wrongly']:>6.3f}  delay {row['delay_ms']:>5.1f} ms  "
                    f"sent {row['sent']:>6g}  busiest {row['busiest']:>7g}",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
