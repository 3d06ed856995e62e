"""One trial: a tier of real processes, hard cases and a storm of faults drawn from a seed, and what the
records show."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.ownership.plants import CASE_OF
from benchmarks.trials import run_trial
from plumpick.policy.leases.codec import MessageKind, decode
from plumpick.policy.scheduled_tasks import slot_of
from plumpick.rehearsal.receiver import machine_ms
from plumpick.rehearsal.tier import OwnershipReport, Tier, WaitTimeout, judge
from plumpick.tools.call import send_command

TERMS_S = (1.2, 2.5)
PLANT_TERM_S = 5.0  # so that what a bug gains stands out over the next owner's calls, on a busy machine too
DUTIES = [f"duty-{number}" for number in range(4)]
PERIOD_S = 0.2
PLANT_ROUNDS = 4  # a planted bug shows by chance: its trial plays its cases so often, or until it is found
MINUTE_S = 60.0
BOUND_TERMS = 2.0  # Maximum time from an owner's death to the next owner's lease, in terms of the lease
ALL_BACK_S = 20.0  # a tier that does nothing for so long after its faults has stopped for good


@dataclass
class Outcome:
    """What came of a trial."""

    seed: int
    gatekeepers: int
    judged: OwnershipReport
    resumed: list[float] = field(default_factory=list)  # terms from an owner's death to the next one's lease
    stalled: str = ""
    cases: list[str] = field(default_factory=list)

    @property
    def broken(self) -> list[str]:
        return self.judged.broken + ([f"stalled: {self.stalled}"] if self.stalled else [])


class Trial:
    """The cases, each leaves the tier whole again."""

    def __init__(self, tier: Tier, chance: random.Random) -> None:
        self.tier, self.chance = tier, chance
        self.term_s = float(tier.fleet["term_s"])
        self.lease = slot_of(DUTIES[0], tier.fleet["slots"])  # whose owner the cases are about
        self.resumed: list[float] = []
        self.cases: dict[str, Callable[[], Awaitable[None]]] = {
            "owner-dies": self.owner_dies,
            "amnesia": self.amnesia,
            "slow-answers": self.slow_answers,
            "stops-before-the-look": self.stops_before,
            "stops-after-the-look": self.stops_after,
            "all-die": self.all_die,
            "turns": self.turns,
            "three-stops": self.three_stops,
            "moving-split": self.moving_split,
            "deaf": self.deaf,
            "receiver": self.receiver,
            "storm": self.storm,
        }
        self.long = {"receiver-gone": self.receiver_gone}  # too long to be drawn: by name alone

    async def well(self) -> None:
        """No faults any more; wait until every duty goes on."""
        relay = self.tier.relay
        relay.sides, relay.deaf = [], []
        relay.hook = lambda _sender, _receiver, _data: 0.0
        relay.loss, relay.twice, relay.delay_ms = 0.01, 0.0, (0.3, 5.0)
        await self.tier.wait_for_effects(DUTIES, ALL_BACK_S)

    async def _owner(self) -> int:
        def owner() -> list[int]:
            number = self.tier.owner(self.lease)
            return [] if number is None else [number]

        return int((await self.tier.wait_for(owner, 10, "an owner"))[0])

    async def owner_dies(self) -> None:
        """The vacancy's length, with nothing else wrong."""
        tier = self.tier
        number = await self._owner()
        await asyncio.sleep(self.chance.uniform(0, self.term_s / 3))
        begin = machine_ms()
        death = asyncio.create_task(tier.kill(number, 0.3))
        taken = await tier.wait_for(
            lambda: next(
                (
                    row[1]
                    for row in tier.read_records()
                    if row[0] == "held" and row[4] == self.lease and row[6] > begin
                ),
                None,
            ),
            10,
            "a next owner",
        )
        self.resumed.append((taken - begin) / 1000 / self.term_s)
        await death

    async def amnesia(self) -> None:
        """The owner is cut off with its lease; all other voters are restarted and have forgotten it. Twice: a
        start may take longer than what is left of the lease."""
        for again in range(2):
            if again:
                await self.well()
            await self._amnesia()

    async def _amnesia(self) -> None:
        tier = self.tier
        begin = machine_ms()

        def renewed() -> list[int]:  # by whoever has it then: it may pass to a better one meanwhile
            number = tier.owner(self.lease)
            return (
                [number]
                if number is not None
                and any(
                    row[0] == "held" and row[2] == number and row[4] == self.lease and row[1] > begin
                    for row in tier.read_records()
                )
                else []
            )

        number = (await tier.wait_for(renewed, 10, "a renewal"))[0]
        tier.relay.sides = [{number}]
        others = [voter for voter in tier.fleet["voters"] if voter != number]
        await asyncio.gather(*(tier.kill(voter, 0.0) for voter in others))
        await asyncio.sleep(self.term_s)

    async def slow_answers(self) -> None:
        """The owner's next asking is its last that is heard, and its answers come late: while it is open,
        then while the one after it is."""
        tier = self.tier
        for part in (0.3, 0.42, 0.42):
            number, passed = await self._owner(), dict[int, int]()  # the serial that came to each voter

            def hook(
                sender: int,
                receiver: int,
                data: bytes,
                number: int = number,
                part: float = part,
                passed: dict[int, int] = passed,
            ) -> float | None:
                word = decode(data)
                if receiver == number:
                    return (
                        part * self.term_s * 1000
                        if word is not None and word.kind is MessageKind.RESPONSE
                        else 0.0
                    )
                if sender != number:
                    return 0.0
                if word is None or word.kind is not MessageKind.REQUEST:
                    return None
                if receiver in passed or word.serial > min(passed.values(), default=word.serial):
                    return None
                passed[receiver] = word.serial
                return 0.0

            tier.relay.hook = hook
            await asyncio.sleep(self.term_s * 2)
            tier.relay.hook = lambda _sender, _receiver, _data: 0.0

    async def _stops(self, when: str) -> None:
        await self._owner()
        await self.tier.suspend_during_effect(self.lease, when, self.term_s * self.chance.uniform(1.3, 2.0))

    async def stops_before(self) -> None:
        """The owner stands still just before its look at the clock, for longer than its lease."""
        await self._stops("before")

    async def stops_after(self) -> None:
        """Just after it: its effect is written under a token that is no longer the largest."""
        await self._stops("after")

    async def all_die(self) -> None:
        """All at once, and back."""
        tier = self.tier
        await asyncio.gather(
            *(tier.kill(number, self.chance.uniform(0, 1.0)) for number in range(tier.gatekeepers))
        )

    async def _call(self, number: int, line: str) -> None:
        with contextlib.suppress(OSError):  # it has just died
            await asyncio.to_thread(send_command, ("127.0.0.1", self.tier.calls[number]), line)

    async def turns(self) -> None:
        """The one turn for planned restarts: given back, taken again, and then the word that gave it back
        comes once more; meanwhile another asks for it."""
        tier = self.tier
        lease, gives = tier.fleet["slots"], list[tuple[int, bytes]]()
        one, other = self.chance.sample(range(tier.gatekeepers), 2)

        def hook(sender: int, receiver: int, data: bytes) -> float:
            word = decode(data)
            if sender == one and word is not None and word.kind is MessageKind.RELEASE:
                gives.append((receiver, data))
            return 0.0

        tier.relay.hook = hook
        for again in range(2):
            await self._call(one, "DRAIN FLEET")
            await tier.wait_for(lambda: tier.owner(lease) == one, 10, f"a turn for n{one}")
            if not again:
                await self._call(one, "UNDRAIN")
        for receiver, data in gives:
            tier.relay.again(one, receiver, data)
        await self._call(other, "DRAIN FLEET")
        await asyncio.sleep(self.term_s / 2)
        tier.relay.hook = lambda _sender, _receiver, _data: 0.0
        for number in (one, other):
            await self._call(number, "UNDRAIN")

    async def three_stops(self) -> None:
        """The owner stops and goes on three times in two seconds."""
        number = await self._owner()
        for _ in range(3):
            await self.tier.suspend(number, self.chance.uniform(0.2, 0.6))
            await asyncio.sleep(self.chance.uniform(0, 0.1))

    async def moving_split(self) -> None:
        """A split that moves across the tier every 300 ms."""
        for begin in range(8):
            side = {(begin + place) % self.tier.gatekeepers for place in range(self.tier.gatekeepers // 2)}
            self.tier.relay.sides = [side]
            await asyncio.sleep(0.3)

    async def deaf(self) -> None:
        """The owner hears nobody; then nobody hears it."""
        for way in range(2):
            number = await self._owner()
            others = set(range(self.tier.gatekeepers)) - {number}
            self.tier.relay.deaf = [(others, {number}) if way else ({number}, others)]
            await asyncio.sleep(self.term_s * 1.2)
            self.tier.relay.deaf = []

    async def receiver(self) -> None:
        """It dies before or after it takes an effect, answers late, is away, and comes back."""
        receiver = self.tier.receiver
        receiver.dies_before, receiver.dies_after, receiver.late = 0.2, 0.3, 0.3
        await asyncio.sleep(1.0)
        receiver.stop_listening()
        await asyncio.sleep(0.8)
        receiver.dies_before = receiver.dies_after = receiver.late = 0.0
        await receiver.restart()

    async def receiver_gone(self) -> None:
        """Away for a minute, while the owner dies and another works on."""
        receiver = self.tier.receiver
        receiver.stop_listening()
        await asyncio.sleep(MINUTE_S / 2)
        await self.tier.kill(await self._owner())
        await asyncio.sleep(MINUTE_S / 2)
        await receiver.restart()

    async def storm(self) -> None:
        """Faults over one another."""
        tier, chance = self.tier, self.chance
        work = []
        for _ in range(6):
            number, relay = chance.randrange(tier.gatekeepers), tier.relay
            kind = chance.choice(("kill", "kill", "stand", "stand", "split", "weather", "twice-killed"))
            if kind == "kill":
                work.append(asyncio.create_task(tier.kill(number, chance.uniform(0, 0.5))))
            elif kind == "twice-killed":
                await tier.kill(number, 0.0)
                await tier.kill(number, 0.0)
            elif kind == "stand":
                work.append(asyncio.create_task(tier.suspend(number, chance.uniform(0.1, 2.0) * self.term_s)))
            elif kind == "split":
                relay.sides = [{one for one in range(tier.gatekeepers) if chance.random() < 0.4}]
            else:
                relay.loss, relay.twice = chance.choice((0.0, 0.1, 0.4)), chance.choice((0.0, 0.5))
                relay.delay_ms = chance.choice(((0.3, 5.0), (0.3, 300.0), (0.3, 10_000.0)))
            await asyncio.sleep(chance.uniform(0.1, 0.6))
        await asyncio.gather(*work)


async def play(
    seed: int,
    gatekeepers: int,
    plant: str = "",
    fenced: bool = True,
    cases: int = 3,
    only: list[str] | None = None,
) -> Outcome:
    """Play one trial: `cases` of them drawn (all where it is 0), or those of `only`."""
    chance = random.Random(f"{seed}/trial")
    drift = chance.choice((0.0, 0.01))
    environment = {"WITNESS_HINT": "1"} if chance.random() < 0.5 or plant == "never-outdoes" else {}
    term_s = PLANT_TERM_S if plant else chance.choice(TERMS_S)
    voters = 5 if gatekeepers >= 5 and chance.random() < 0.5 else 3
    tier = Tier(
        gatekeepers,
        seed,
        {"voters": list(range(voters)), "slots": 4, "turns": 1, "term_s": term_s, "drift": 0.01},
        [{"name": name, "kind": "call", "period_s": PERIOD_S, "limit_s": 3.0} for name in DUTIES],
        plant=plant,
        rates=[1 + chance.choice((-1, 1)) * drift for _ in range(gatekeepers)],
        fenced=fenced,
        management=True,
        environment=environment,
    )
    trial = Trial(tier, chance)
    names = only or list(trial.cases)
    if not only:
        chance.shuffle(names)
        made_for = CASE_OF.get(plant, "")  # the case in which the bug shows is always among them
        names.sort(key=lambda name: name != made_for)
        names = names[:cases] if cases else names
    stalled = ""
    try:
        await tier.start()
        await trial.well()
        for _ in range(PLANT_ROUNDS if plant else 1):
            for name in names:
                await {**trial.cases, **trial.long}[name]()
                await trial.well()
            if judge(tier.read_records(), tier.receiver.records).broken:
                break
    except WaitTimeout as problem:
        stalled = str(problem)
    finally:
        await tier.close()
    judged = judge(tier.witnessed, tier.receiver.records)
    return Outcome(seed, gatekeepers, judged, trial.resumed, stalled, names)


def run(arguments: tuple[Any, ...]) -> Outcome:
    """The same in a process of its own."""
    outcome: Outcome = run_trial(play, arguments)
    return outcome
