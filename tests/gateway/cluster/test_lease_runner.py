"""The lease runner on a loop: runs that raise or never end, lost leases, planned restarts."""

import asyncio

from support.fakes import HOST, config

from plumpick.gateway.cluster import fenced_effects, lease_runner
from plumpick.gateway.config import parse_config
from plumpick.gateway.operator_config import parse_operator_config
from plumpick.gateway.platform import Platform
from plumpick.policy.budgets.codec import encode_limits
from plumpick.policy.budgets.messages import LimitsMessage
from plumpick.policy.leases.actions import DeliverPayload


class PlatformWithGuard(Platform):
    """The real platform, except that the lock of the peer address is always granted."""

    def lock_peer_address(self, address):
        class Guard:
            def close(self):
                """Nothing is held."""

        return Guard()


def one_gatekeeper():
    value = config()
    value["settings"]["balancers"] = 1
    return parse_config(value, {})


def run_alone(duties, scenario, **fleet):
    """A tier of one, whose voter is itself; `scenario(part, told)` once it owns all slots."""

    async def whole():
        settings = parse_operator_config(
            {"fleet": {"voters": [0], "slots": 2, "term_s": 0.5, "duty": duties, **fleet}}, 1
        ).fleet
        orders = []
        part = lease_runner.LeaseRunner(
            one_gatekeeper(),
            settings,
            asyncio.get_running_loop(),
            PlatformWithGuard(),
            lambda *_: None,
            lambda name: orders.append(name) or "",
        )
        part.start()
        try:
            async with asyncio.timeout(20):
                while len(part.participant.holder.held) < 2:
                    await asyncio.sleep(0.01)
                await scenario(part, orders)
        finally:
            part.close()

    asyncio.run(whole())


def duty(name, **more):
    return {
        "name": name,
        "kind": "call",
        "period_s": 0.2,
        "receiver": f"http://{HOST}:9/x",
        "fenced": True,
        **more,
    }


async def until(true):
    while not true():
        await asyncio.sleep(0.01)


def test_runs_that_raise_or_never_end_do_not_affect_others_or_the_leases(monkeypatch):
    runs = {"raises": 0, "hangs": 0, "works": 0}
    cancelled = []

    async def send(receiver, name, period, token, body, may):
        runs[name] += 1
        if name == "raises":
            raise RuntimeError("as planted")
        if name == "hangs":
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                cancelled.append(period)
                raise

    monkeypatch.setattr(fenced_effects, "send", send)

    async def scenario(part, _orders):
        await until(lambda: runs["works"] >= 5 and runs["raises"] >= 2 and len(cancelled) >= 2)
        assert len(part.participant.holder.held) == 2

    run_alone([duty("raises"), duty("hangs", limit_s=0.3), duty("works")], scenario)


def test_a_run_is_cancelled_with_its_lease_and_may_not_write(monkeypatch):
    begun, looked = [], []

    async def send(receiver, name, period, token, body, may):
        begun.append(period)
        try:
            await asyncio.sleep(3600)
        finally:
            looked.append(may())

    monkeypatch.setattr(fenced_effects, "send", send)

    async def scenario(part, _orders):
        await until(lambda: begun)  # a task that is cancelled before it ran has nothing to look at
        part.capture()
        await until(lambda: looked)
        assert looked == [False] and not part._may_act(0, 0)

    run_alone([duty("one", period_s=60)], scenario)


def test_a_restart_permit_drains_and_its_release_undrains():
    async def scenario(part, orders):
        assert part.request_restart_permit(True) == ""
        await until(lambda: orders == ["DRAIN"])
        part.request_restart_permit(False)
        await until(lambda: orders == ["DRAIN", "UNDRAIN"])

    run_alone([], scenario, turns=1)


def test_the_lower_limits_of_another_gateway_reach_the_budget_that_is_allocated_here():
    async def scenario(part, _orders):
        now_ms = part._system.boottime()
        query = encode_limits(LimitsMessage(0, 60.0, 30.0, True))
        part._carry_out(now_ms, DeliverPayload(1, 0, query))
        allocated = part.budgets.ledger.allocators["exports"].budget
        assert (allocated.limit, allocated.burst) == (60.0, 30.0)

    budget = {"name": "exports", "whole": 120, "burst": 60, "floor": 0.3}
    run_alone([], scenario, budget=[budget])
