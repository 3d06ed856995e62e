"""Budgets by several processes as `run` starts them, with faults between them; what all of them spent is
added up on the machine's one clock."""

import asyncio

import pytest
from support.fakes import Client, request

from benchmarks.budgets.trial import BUDGETS, Trial, audit, play
from plumpick.gateway.operator_config import operator_from
from plumpick.policy.budgets.bounds import bounds_of
from plumpick.rehearsal.receiver import machine_ms
from plumpick.rehearsal.tier import Tier
from plumpick.tools.budgets import fetch_budgets, table_lines


@pytest.mark.parametrize(
    ("seed", "gatekeepers", "cases"),
    [
        (11, 3, ["divider-stops", "upgrade"]),
        (12, 5, ["late-shares", "split"]),
        (13, 3, ["all-die", "holder-stops"]),
        (14, 3, ["figures", "divider-dies-lending"]),
    ],
)
def test_limit_is_never_passed_whatever_fails(seed, gatekeepers, cases):
    outcome = asyncio.run(play(seed, gatekeepers, only=cases))
    assert outcome.over == [] and outcome.spent > 100  # how soon all is back the benchmark tells


@pytest.mark.parametrize("plant", ["returns-twice", "fills-over-a-stall"])
def test_mutant_passes_the_limit(plant):
    assert asyncio.run(play(21, 3, plant, cases=1)).over


def test_gateway_cut_off_from_the_allocator_serves_by_its_guaranteed_limit():
    """As stated beforehand: `plumpick bounds --operator`, "cut off alone"."""

    async def scenario():
        tier = Tier(
            3,
            41,
            {"voters": [0, 1, 2], "slots": 4, "term_s": 2.0, "share_s": 1.0},
            [],
            management=True,
            budgets=BUDGETS,
            demand={"exports": 0.0},
        )
        trial = Trial(tier, None)
        try:
            await tier.start()
            away = (await trial.divider() + 1) % 3
            tier.set_demand(away, {"exports": 120.0})
            await tier.wait_for(lambda: len(trial.spent("exports")) > 60, 20, "what is lent is spent")
            tier.relay.sides = [{away}]
            begin = machine_ms() + 1100  # its share has ended by then
            rows = await tier.wait_for(
                lambda: trial.spent("exports") if machine_ms() > begin + 3000 else [], 20, "seconds cut off"
            )
            got = sum(units for t, units in rows if begin <= t < begin + 3000)
            fleet = operator_from(
                {"fleet": {"voters": [0, 1, 2], "term_s": 2.0, "share_s": 1.0, "budget": [BUDGETS[0]]}}, 3
            ).fleet
            budget = fleet.budgets[0].budget
            sure = next(
                row.sure
                for row in bounds_of(budget, 3, fleet.terms, fleet.grant_term_ms)
                if row.state == "cut off alone" and row.window_s == 1.0
            )
            assert 3 * sure - 2 <= got <= 3 * sure * 1.03 + budget.guaranteed_burst(3) + 1
            tier.relay.sides = []
            await tier.wait_for(
                lambda: sum(units for t, units in trial.spent("exports") if t > machine_ms() - 1000) > 40,
                20,
                "all of it again",
            )
        finally:
            await tier.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("has_allocator", [True, False])
def test_lower_limits_in_the_file_of_one_gateway_hold_for_the_whole_tier(has_allocator):
    """Guards against limits messages that are dropped on arrival: each gateway then went by its own file."""
    exports = BUDGETS[0]
    lower = {**exports, "whole": exports["whole"] / 2, "burst": exports["burst"] / 2}

    async def scenario():
        tier = Tier(
            3,
            43,
            {"voters": [0, 1, 2], "slots": 4, "term_s": 2.0, "share_s": 1.0},
            [],
            management=True,
            budgets=[exports],
            demand={"exports": 60.0},
        )
        trial = Trial(tier, None)
        try:
            await tier.start()
            number = await trial.divider()
            await tier.wait_for(lambda: len(trial.spent("exports")) > 60, 20, "what is granted is spent")
            await tier.change_budgets_at(number if has_allocator else (number + 1) % 3, [lower])
            # Two rounds of messages to agree, and the term of what had been granted by the higher limit.
            begin = machine_ms() + 2 * 1000 * 1.03
            await tier.wait_for(lambda: machine_ms() > begin + 4000, 20, "seconds with different limits")
            spent = [(t, units) for t, units in trial.spent("exports") if t >= begin]
            assert not audit(spent, lower["whole"], lower["burst"])
            assert sum(units for _, units in spent) > 0.8 * lower["whole"] * 4
        finally:
            await tier.close()

    asyncio.run(scenario())


def test_audit_goes_by_the_limits_of_each_moment():
    rows = [(0.0, 1.0)] * 5 + [(1000.0, 1.0)] * 7
    assert len(audit(rows, 2.0, 5.0)) == 5
    assert len(audit(rows, 2.0, 5.0, [(500.0, 12.0, 5.0)])) == 2
    assert not audit(rows, 2.0, 5.0, [(900.0, 2.0, 10.0)])  # what a raised burst adds is there at once
    lower = [(500.0, 1.0, 1.0)]
    assert len(audit([(0.0, 1.0)] * 5 + [(1000.0, 1.0)] * 2, 2.0, 5.0, lower)) == 1
    assert not audit([(0.0, 1.0), (400.0, 1.0), (1000.0, 1.0), (2000.0, 1.0)], 2.0, 5.0, lower)


def test_audit_sees_one_unit_too_many_in_any_window():
    rows = [(0.0, 1.0)] * 5 + [(1000.0, 1.0)] * 2
    assert not audit(rows, 2.0, 5.0)
    assert len(audit([*rows, (1000.0, 1.0)], 2.0, 5.0)) == 1
    assert audit([*rows, (900.0, 1.0)], 2.0, 5.0)
    assert not audit([], 1.0, 1.0)


def test_requests_spend_the_budget_of_their_class_and_are_rejected_at_once_beyond_it():
    async def scenario():
        tier = Tier(
            3,
            31,
            {"voters": [0, 1, 2], "slots": 4, "term_s": 1.0, "share_s": 1.0},
            [],
            management=True,
            budgets=[
                {"name": "looks", "whole": 8.0, "burst": 6.0, "floor": 0.5, "classes": ["seat-check"]},
                {"name": "none", "whole": 0.0, "burst": 1.0, "firms": ["nobody"]},
            ],
        )
        trial = Trial(tier, None)
        try:
            await tier.start()
            answered = []

            async def look(number):
                client = await Client().open(tier.gates[number].port)
                client.send(request(path="/seat-check", deadline=1500).replace(b"basic", plan()))
                answered.append(await client.answer())

            def plan():
                return tier.supervisor.scenario.plans[0].name.encode()

            asking = []

            def enough():
                asking.append(asyncio.create_task(look(len(asking) % 3)))
                return len(trial.spent("looks")) >= 24  # as many as the floors alone give in six seconds

            await tier.wait_for(enough, 60, "what is lent is spent")
            assert not audit(trial.spent("looks"), 8.0, 6.0) and not trial.spent("none")
            await asyncio.gather(*asking)
            assert len(answered) > 24 and {status for status, *_ in answered} <= {503, 504}
            rows = [await asyncio.to_thread(fetch_budgets, ("127.0.0.1", port)) for port in tier.calls]
            assert "looks" in "\n".join(table_lines(rows)) and len(rows) == 3
        finally:
            await tier.close()

    asyncio.run(scenario())


def test_budgets_of_the_trials_hold_one_request_at_least():
    assert all(one["burst"] >= 1 for one in BUDGETS)
