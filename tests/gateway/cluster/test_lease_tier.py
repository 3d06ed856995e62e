"""Leases of several gateway processes with injected faults, checked by the records of all of them."""

import asyncio
import json
import time

import pytest

from benchmarks.ownership.trial import DUTIES, play
from plumpick.policy.leases.terms import rendezvous_rank
from plumpick.rehearsal.receiver import machine_ms
from plumpick.rehearsal.tier import OwnershipReport, Tier, judge
from plumpick.tools.call import send_command
from plumpick.tools.duties import fetch_duties, format_duties


def trial(seed, gatekeepers, cases, **more):
    outcome = asyncio.run(play(seed, gatekeepers, only=cases, **more))
    assert outcome.judged.taken > 10
    return outcome


@pytest.mark.parametrize(
    ("seed", "gatekeepers", "cases"),
    [
        (11, 3, ["owner-dies", "stops-before-the-look", "stops-after-the-look"]),
        (12, 3, ["amnesia", "all-die"]),
        (13, 5, ["slow-answers", "turns"]),
        (14, 7, ["storm", "receiver"]),
        (15, 3, ["three-stops", "moving-split", "deaf"]),
    ],
)
def test_no_lease_guarantee_is_violated_under_faults(seed, gatekeepers, cases):
    assert trial(seed, gatekeepers, cases).broken == []


@pytest.mark.parametrize(
    ("plant", "case"), [("forgets-silence", "amnesia"), ("looks-never", "stops-before-the-look")]
)
def test_planted_bug_violates_a_lease_guarantee(plant, case):
    assert trial(21, 3, [case], plant=plant).broken


def test_receiver_without_a_fence_executes_late_effects():
    assert trial(22, 3, ["stops-after-the-look"], fenced=False).judged.out_of_order


def test_judge_reports_overlapping_leases_and_late_effects():
    held = [["held", 10.0, 0, 1, 0, 7, 5.0, 100.0], ["held", 60.0, 1, 2, 0, 9, 55.0, 160.0]]
    assert judge(held, []).overlaps
    assert not judge([*held, ["lost", 50.0, 0, 1, 0, 7]], []).overlaps
    assert judge([held[0], ["effect", 101.0, 0, 1, "d", 3, 7]], []).late
    assert judge([], []) == OwnershipReport()


def use_tier(**more):
    return Tier(
        3,
        5,
        {"voters": [0, 1, 2], "slots": 4, "term_s": 1.0, "turns": 1},
        [{"name": "use", "kind": "use", "period_s": 1.0, "limit_s": 5.0, "catch_up": 3}],
        **more,
    )


def test_usage_is_reported_once_a_period_with_a_gap_for_a_dead_gateway():
    async def scenario():
        tier = use_tier()
        try:
            await tier.start()
            await tier.wait_for_effects(["use"], 10)
            dead = next(number for number in range(3) if tier.owner(one_slot()) != number)
            await tier.kill(dead, None)
            killed = time.time() * 1000
            records = await tier.wait_for(
                lambda: [
                    one
                    for one in tier.receiver.records
                    if one.fate == "taken" and one.body["from_ms"] > killed
                ],
                20,
                "a record of a period after the death",
            )
            gaps = records[0].body["gaps"]
            assert [gap["gatekeeper"] for gap in gaps] == [dead]
            assert (
                gaps[0]["until_ms"] == 1000.0
                and records[0].body["until_ms"] - records[0].body["from_ms"] == 1000
            )
        finally:
            await tier.close()
        judged = judge(tier.witnessed, tier.receiver.records)
        periods = [one.period for one in tier.receiver.records if one.fate == "taken"]
        assert not judged.broken and len(periods) == len(set(periods))

    asyncio.run(scenario())


def one_slot():
    from plumpick.policy.scheduled_tasks import slot_of

    return slot_of("use", 4)


def test_operators_list_leases_and_one_gateway_at_a_time_gets_a_restart_permit():
    async def scenario():
        tier = use_tier(management=True)
        try:
            await tier.start()
            await tier.wait_for_effects(["use"], 10)

            def call(number, line):
                return asyncio.to_thread(send_command, ("127.0.0.1", tier.calls[number]), line)

            reply = await asyncio.to_thread(fetch_duties, ("127.0.0.1", tier.calls[0]))
            owner = tier.owner(one_slot())
            row = next(row for row in reply["leases"] if row[0] == one_slot())
            assert row[1] == owner and int(row[2], 16) and "use" in "\n".join(format_duties(reply))
            assert json.dumps(reply)
            assert (await call(0, "DRAIN FLEET")).startswith("+OK")
            await tier.wait_for(lambda: tier.owner(4) == 0, 5, "a restart permit")
            assert (await call(0, "READY")).startswith("+OK drain")
            assert (await call(1, "DRAIN FLEET")).startswith("+OK")
            await asyncio.sleep(1.5)
            assert tier.owner(4) == 0 and (await call(1, "READY")) == "+OK ready"
            begin = machine_ms()
            await tier.kill(0, None)  # its restart permit becomes free when the lease expires
            await tier.wait_for(lambda: tier.owner(4) == 1, 5, "the restart permit of a dead gateway")
            assert machine_ms() - begin > 400
            assert (await call(1, "READY")).startswith("+OK drain")
            assert (await call(1, "UNDRAIN")).startswith("+OK")
            assert (await call(1, "READY")) == "+OK ready"
            assert (await call(1, "DRAIN NONSENSE")).startswith("-ERR")
        finally:
            await tier.close()
        assert not judge(tier.witnessed, tier.receiver.records).broken

    asyncio.run(scenario())


def test_hot_restart_keeps_leases_and_a_second_process_does_not_vote():
    async def scenario():
        tier = use_tier(management=True)
        tier.fleet["term_s"] = 3.0  # long enough that no lease expires on a busy machine
        processes = []
        try:
            await tier.start()
            await tier.wait_for_effects(["use"], 20)
            # The lease is stable once its preferred holder has renewed it with the same token: no acceptor
            # has reported a larger token of a request that failed at the start.
            best = min(range(3), key=lambda number: rendezvous_rank(one_slot(), number))

            def renewed():
                rows = [row for row in tier.read_records() if row[0] == "held" and row[4] == one_slot()]
                last = max(rows, key=lambda row: row[1])
                return last[2] == best and sum(row[5] == last[5] for row in rows) > 2 and last

            token = (await tier.wait_for(renewed, 30, "the lease is stable at its preferred holder"))[5]
            owner, gate = best, tier.gates[best]
            old, calls = gate.process, dict(enumerate(tier.calls))
            from plumpick.rehearsal.supervisor import free_port

            tier.calls[owner] = free_port()
            process = await tier.supervisor.launch(gate)
            processes.append(process)
            await tier.wait_for(
                lambda: any(
                    row[0] == "held" and row[3] == process.pid and row[5] == token
                    for row in tier.read_records()
                ),
                10,
                "the successor holds the lease",
            )
            old.terminate()
            await old.wait()
            begin = machine_ms()
            await tier.wait_for_effects(["use"], 20, begin)

            def later():
                return [
                    row
                    for row in tier.read_records()
                    if row[0] == "held" and row[4] == one_slot() and row[1] > begin
                ]

            rows = await tier.wait_for(later, 20, "a renewal by the successor")
            assert {row[5] for row in rows if row[1] > begin} == {token}  # same ownership, no new token
            text = (gate.folder / "log").read_text()
            assert "leases taken over" in text and "another process of this gateway votes" not in text
            # A process with another $TMPDIR finds no predecessor, and starts beside the running one.
            stray = tier.folder / "stray"
            stray.mkdir()
            environment = tier.supervisor.environment_of
            tier.supervisor.environment_of = lambda one: {**environment(one), "TMPDIR": str(stray)}
            tier.calls[owner] = free_port()
            other = await tier.supervisor.launch(gate)
            processes.append(other)
            await tier.wait_for(
                lambda: "another process of this gateway votes" in (gate.folder / "log").read_text(),
                10,
                "a log line of the second process, which has no vote",
            )
            assert calls
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            await tier.close()
        assert not judge(tier.witnessed, tier.receiver.records).broken

    asyncio.run(scenario())


def test_clock_rates_beyond_the_configured_drift_are_logged():
    async def log_counts(rates):
        tier = Tier(
            3,
            9,
            {"voters": [0, 1, 2], "slots": 4, "term_s": 1.0, "drift": 0.01},
            [{"name": name, "kind": "call", "period_s": 0.5} for name in DUTIES],
            rates=rates,
        )

        def logs():
            return [
                (gate.folder / "log").read_text().count("a duty may have two owners at a time")
                for gate in tier.gates
            ]

        try:
            await tier.start()
            await tier.wait_for_effects(DUTIES, 10)
            if max(rates) > 1.01:
                await tier.wait_for(lambda: any(logs()), 20, "a log line of a lease holder")
            else:  # 4 s: enough time for a line to be logged
                begin = machine_ms()
                await tier.wait_for(lambda: machine_ms() - begin > 4000, 20, "four seconds")
            return logs()
        finally:
            await tier.close()

    assert sum(
        asyncio.run(log_counts([1.0, 1.0, 1.05]))
    )  # holders compare the acceptors' clocks with their own
    assert asyncio.run(log_counts([0.99, 1.0, 1.01])) == [0, 0, 0]


def test_gateway_with_different_terms_is_logged_once_and_holds_no_lease():
    async def scenario():
        tier = Tier(
            3,
            6,
            {"voters": [0, 1, 2], "slots": 4, "term_s": 1.0},
            [{"name": name, "kind": "call", "period_s": 0.5} for name in DUTIES],
            fleet_of=lambda number: {"slots": 5} if number == 2 else {},
        )
        try:
            await tier.start()
            await tier.wait_for_effects(DUTIES, 10)
            log = await tier.wait_for(
                lambda: (text := (tier.gates[2].folder / "log").read_text()).count(
                    "has other settings of duties or budgets"
                )
                >= 2
                and text,
                10,
                "a log line for each other gateway",
            )
            assert log.count("gatekeeper 0 has other settings of duties or budgets") == 1
        finally:
            await tier.close()
        assert not judge(tier.witnessed, tier.receiver.records).broken
        assert {row[2] for row in tier.witnessed if row[0] == "held"} <= {0, 1}

    asyncio.run(scenario())
