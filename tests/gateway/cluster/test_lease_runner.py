"""The lease runner on an event loop: runs that raise or hang, lost leases, planned restarts, budget
limits."""

import asyncio

import pytest
from support.fakes import HOST, config

from plumpick.gateway.cluster import fenced_effects, lease_runner
from plumpick.gateway.config import parse_config
from plumpick.gateway.operator_config import parse_operator_config
from plumpick.gateway.platform import Platform
from plumpick.policy.budgets.codec import encode_limits
from plumpick.policy.budgets.messages import LimitsMessage
from plumpick.policy.leases.actions import DeliverPayload


class PlatformWithGuard(Platform):
    """The real platform, with a process guard that can always be acquired."""

    def lock_peer_address(self, address):
        class Guard:
            def close(self):
                """Do nothing: the guard holds no resource."""

        return Guard()


def one_gatekeeper():
    value = config()
    value["settings"]["balancers"] = 1
    return parse_config(value, {})


def run_alone(duties, scenario, **fleet):
    """Start a lease runner that is the only gateway and acceptor; once it holds all slots, run
    `scenario(runner, commands)`, where `commands` collects the operator's commands that it executes."""

    async def run_scenario():
        settings = parse_operator_config(
            {"fleet": {"voters": [0], "slots": 2, "term_s": 0.5, "duty": duties, **fleet}}, 1
        ).fleet
        commands = []
        runner = lease_runner.LeaseRunner(
            one_gatekeeper(),
            settings,
            asyncio.get_running_loop(),
            PlatformWithGuard(),
            lambda *_: None,
            lambda name: commands.append(name) or "",
        )
        runner.start()
        try:
            async with asyncio.timeout(20):
                while len(runner.participant.holder.held) < 2:
                    await asyncio.sleep(0.01)
                await scenario(runner, commands)
        finally:
            runner.close()

    asyncio.run(run_scenario())


def duty(name, **more):
    return {
        "name": name,
        "kind": "call",
        "period_s": 0.2,
        "receiver": f"http://{HOST}:9/x",
        "fenced": True,
        **more,
    }


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_runs_that_raise_or_hang_affect_neither_other_runs_nor_the_leases(monkeypatch):
    runs = {"raises": 0, "hangs": 0, "works": 0}
    cancelled = []

    async def send(receiver, name, period, token, body, may):
        runs[name] += 1
        if name == "raises":
            raise RuntimeError("injected fault")
        if name == "hangs":
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                cancelled.append(period)
                raise

    monkeypatch.setattr(fenced_effects, "send", send)

    async def scenario(runner, _commands):
        await until(lambda: runs["works"] >= 5 and runs["raises"] >= 2 and len(cancelled) >= 2)
        assert len(runner.participant.holder.held) == 2

    run_alone([duty("raises"), duty("hangs", limit_s=0.3), duty("works")], scenario)


def test_run_is_cancelled_with_its_lease_and_may_not_write(monkeypatch):
    started, write_allowed = [], []

    async def send(receiver, name, period, token, body, may):
        started.append(period)
        try:
            await asyncio.sleep(3600)
        finally:
            write_allowed.append(may())

    monkeypatch.setattr(fenced_effects, "send", send)

    async def scenario(runner, _commands):
        await until(lambda: started)  # a task that is cancelled before its start would not reach `finally`
        runner.capture()
        await until(lambda: write_allowed)
        assert write_allowed == [False] and not runner._may_act(0, 0)

    run_alone([duty("one", period_s=60)], scenario)


def test_restart_permit_drains_the_gateway_and_its_release_undrains_it():
    async def scenario(runner, commands):
        assert runner.request_restart_permit(True) == ""
        await until(lambda: commands == ["DRAIN"])
        runner.request_restart_permit(False)
        await until(lambda: commands == ["DRAIN", "UNDRAIN"])

    run_alone([], scenario, turns=1)


# Guards against two gateways that are out of service with one restart permit.
def test_gateway_resumes_undrained_until_it_has_a_restart_permit_of_its_own():
    async def scenario(runner, commands):
        runner.request_restart_permit(True)
        await until(lambda: commands == ["DRAIN"])
        passed_on = runner.participant.permits.held()
        runner.capture()
        runner.resume_after_failed_handover()
        assert commands == ["DRAIN", "UNDRAIN"]  # at once: the permit of the process that has ended expires
        await until(lambda: commands == ["DRAIN", "UNDRAIN", "DRAIN"])
        assert runner.participant.permits.held() == passed_on
        runner.request_restart_permit(False)
        await until(lambda: commands == ["DRAIN", "UNDRAIN", "DRAIN", "UNDRAIN"])

    run_alone([], scenario, turns=1)


# Guards against a DRAIN FLEET that is confirmed and then forgotten, before the start and after a handover.
def test_restart_permit_requested_before_the_start_is_acquired_and_after_the_handover_rejected():
    async def scenario(runner, commands):
        runner.close()
        runner.participant = None
        assert runner.request_restart_permit(True) == ""
        runner.start()
        await until(lambda: commands == ["DRAIN"])
        state = runner.capture()
        assert runner.request_restart_permit(True) == lease_runner.OTHER_PROCESS_HAS_TASKS
        runner.participant = None
        assert runner.request_restart_permit(False) == ""
        runner.start(state)
        await until(lambda: commands == ["DRAIN", "UNDRAIN"])

    run_alone([], scenario, turns=1)


# Guards against a period's record that lacks what the process that has ended had served, and tells of no gap.
def test_gateway_that_resumes_reports_only_what_it_counted_since():
    async def scenario(runner, _commands):
        counter = runner.usage._counters["record"]
        runner.usage.count("basic", 0, 1.0)
        runner.capture()
        runner.usage.forward = lambda _row: None  # to the process that will end
        runner.usage.count("basic", 0, 1.0)
        resumed_ms = runner._system.unix_ms()
        runner.resume_after_failed_handover()
        runner.usage.count("basic", 0, 1.0)
        assert resumed_ms <= counter.started_unix_ms <= runner._system.unix_ms()
        assert [row[0] for rows in counter.periods.values() for row in rows.values()] == [1]

    record = duty("record", kind="use", period_s=3600)
    run_alone([record], scenario)


# Guards against a record that has no gap for the time before, though the predecessor's counts are malformed.
@pytest.mark.parametrize("state", [{}, {"leases": {}, "use": {}, "drained": False}])
def test_gateway_that_starts_without_its_predecessors_counts_reports_only_its_own(state):
    async def scenario(runner, _commands):
        counter = runner.usage._counters["record"]
        runner.close()
        before_ms = runner._system.unix_ms()
        runner.start(state)
        assert before_ms <= counter.started_unix_ms <= runner._system.unix_ms()

    run_alone([duty("record", kind="use", period_s=3600)], scenario)


def test_gateway_without_a_restart_permit_resumes_as_it_was():
    async def scenario(runner, commands):
        runner.capture()
        runner.resume_after_failed_handover()
        await until(lambda: len(runner.participant.holder.held) == 2)
        assert commands == [] and not runner.participant.permits.wanted

    run_alone([], scenario, turns=1)


def test_lower_limits_of_another_gateway_are_applied_to_an_allocated_budget():
    async def scenario(runner, _commands):
        now_ms = runner._system.boottime()
        query = encode_limits(LimitsMessage(0, 60.0, 30.0, True))
        runner._carry_out(now_ms, DeliverPayload(1, 0, query))
        allocated = runner.budgets.ledger.allocators["exports"].budget
        assert (allocated.limit, allocated.burst) == (60.0, 30.0)

    budget = {"name": "exports", "whole": 120, "burst": 60, "floor": 0.3}
    run_alone([], scenario, budget=[budget])
