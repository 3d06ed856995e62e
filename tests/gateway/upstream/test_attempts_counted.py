"""The attempts that the policy counts as in flight, against those that the gateway holds."""

import asyncio
import itertools

import pytest
from support.fakes import FakeWorker, RunningGateway, entry, request, run

from plumpick.policy.events import AttemptResult

RETRIED_RESULTS = [AttemptResult.RESET, AttemptResult.ERROR, AttemptResult.REJECTED_BY_WORKER]


async def settle():
    """Let the event loop run the turns that are due."""
    for _ in range(20):
        await asyncio.sleep(0.001)


def assert_nothing_in_flight(gate):
    state = gate.gateway.controller.state
    assert not gate.gateway.requests.open and not gate.gateway.requests.attempts
    assert not state.requests and not state.attempts
    assert state.limit.in_flight == 0
    assert all(tracked.in_flight == 0 for tracked in state.endpoints.tracked.values())


@pytest.mark.parametrize("result", RETRIED_RESULTS)
@pytest.mark.parametrize("order", list(itertools.permutations(["result", "leaving"])), ids="-".join)
def test_retry_started_in_the_turn_in_which_its_client_leaves_is_completed(result, order):
    """Guards against review/6: such a retry was answered for attempt 0, so it stayed in flight in the policy
    for ever, until all requests were rejected."""

    async def scenario():
        async with (
            FakeWorker() as first,
            FakeWorker() as second,
            RunningGateway(known=[entry("w1", first.port), entry("w2", second.port)]) as gate,
        ):
            client = await gate.client()
            client.send(request())
            while not gate.gateway.requests.attempts:
                await asyncio.sleep(0.001)
            (attempt,) = gate.gateway.requests.attempts.values()
            (open_request,) = gate.gateway.requests.open.values()
            events = {
                "result": lambda: attempt.end(result),
                "leaving": lambda: gate.gateway.on_disconnect(open_request),
            }
            for name in order:  # in one iteration of the event loop, so in one turn of the policy
                events[name]()
            await settle()
            assert_nothing_in_flight(gate)

    run(scenario())
