"""Budgets of several gateway processes with injected faults; the units that all of them spent are added up by
the machine's clock."""

import asyncio

import pytest
from support.fakes import Client, request

from benchmarks.budgets.trial import BUDGETS, Trial, audit, play
from plumpick.gateway.operator_config import parse_operator_config
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
def test_budget_is_never_exceeded_under_faults(seed, gatekeepers, cases):
    outcome = asyncio.run(play(seed, gatekeepers, only=cases))
    assert outcome.over == [] and outcome.spent > 100  # the benchmark measures the recovery time


@pytest.mark.parametrize("plant", ["returns-twice", "fills-over-a-stall"])
def test_planted_bug_exceeds_the_budget(plant):
    assert asyncio.run(play(21, 3, plant, cases=1)).over


def test_gateway_cut_off_from_the_allocator_spends_its_guaranteed_limit():
    """The bound is the one that `plumpick bounds --operator` prints for the state "cut off alone"."""

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
            await tier.wait_for(lambda: len(trial.spent("exports")) > 60, 20, "the grant is spent")
            tier.relay.sides = [{away}]
            begin = machine_ms() + 1100  # after the expiry of its grant
            rows = await tier.wait_for(
                lambda: trial.spent("exports") if machine_ms() > begin + 3000 else [], 20, "3 s while cut off"
            )
            got = sum(units for t, units in rows if begin <= t < begin + 3000)
            fleet = parse_operator_config(
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
                "the whole budget is spent again",
            )
        finally:
            await tier.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("has_allocator", [True, False])
def test_lower_limits_in_the_file_of_one_gateway_apply_to_the_whole_tier(has_allocator):
    """Guards against limits messages that are dropped on receipt, so that each gateway applies its own
    file."""
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
            await tier.wait_for(lambda: len(trial.spent("exports")) > 60, 20, "the grants are spent")
            await tier.change_budgets_at(number if has_allocator else (number + 1) % 3, [lower])
            # Two rounds of messages to agree on the lower limits, and the term of grants by the higher limit.
            begin = machine_ms() + 2 * 1000 * 1.03
            await tier.wait_for(lambda: machine_ms() > begin + 4000, 20, "4 s with the lower limits")
            spent = [(t, units) for t, units in trial.spent("exports") if t >= begin]
            assert not audit(spent, lower["whole"], lower["burst"])
            assert sum(units for _, units in spent) > 0.8 * lower["whole"] * 4
        finally:
            await tier.close()

    asyncio.run(scenario())


def test_audit_applies_the_limits_in_force_at_each_time():
    rows = [(0.0, 1.0)] * 5 + [(1000.0, 1.0)] * 7
    assert len(audit(rows, 2.0, 5.0)) == 5
    assert len(audit(rows, 2.0, 5.0, [(500.0, 12.0, 5.0)])) == 2
    assert not audit(rows, 2.0, 5.0, [(900.0, 2.0, 10.0)])  # a raised burst can be spent at once
    lower = [(500.0, 1.0, 1.0)]
    assert len(audit([(0.0, 1.0)] * 5 + [(1000.0, 1.0)] * 2, 2.0, 5.0, lower)) == 1
    assert not audit([(0.0, 1.0), (400.0, 1.0), (1000.0, 1.0), (2000.0, 1.0)], 2.0, 5.0, lower)


def test_audit_reports_one_unit_beyond_the_limit_in_any_window():
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

            async def send_request(number):
                client = await Client().open(tier.gates[number].port)
                client.send(request(path="/seat-check", deadline=1500).replace(b"basic", plan()))
                answered.append(await client.read_response())

            def plan():
                return tier.supervisor.scenario.plans[0].name.encode()

            requests = []

            def enough():
                requests.append(asyncio.create_task(send_request(len(requests) % 3)))
                return len(trial.spent("looks")) >= 24  # units of the guaranteed limits in six seconds

            await tier.wait_for(enough, 60, "the grants are spent")
            assert not audit(trial.spent("looks"), 8.0, 6.0) and not trial.spent("none")
            await asyncio.gather(*requests)
            assert len(answered) > 24 and {status for status, *_ in answered} <= {503, 504}
            rows = [await asyncio.to_thread(fetch_budgets, ("127.0.0.1", port)) for port in tier.calls]
            assert "looks" in "\n".join(table_lines(rows)) and len(rows) == 3
        finally:
            await tier.close()

    asyncio.run(scenario())


def test_bursts_of_the_trials_budgets_allow_at_least_one_request():
    assert all(one["burst"] >= 1 for one in BUDGETS)
