"""Timers of the gateway's event loop."""

import asyncio
import socket
import time

import pytest
import uvloop

from plumpick.gateway.clock import MIN_COMPACTED_TIMERS, Clock, Timers

CALLS_OF_A_BLOCKED_LOOP = 10_000


@pytest.mark.parametrize("offset_ms", [0.0, -1.0, -1e9], ids=["now", "past", "long past"])
def test_timer_set_for_the_past_by_its_callback_does_not_block_the_event_loop(offset_ms):
    """Guards against a timer that sets itself anew in the past and keeps the event loop from all else."""

    async def scenario():
        clock = Clock()
        timers = Timers(asyncio.get_running_loop(), clock)
        started_ms = clock.now()
        calls = []

        def set_anew():
            calls.append(None)
            if len(calls) < CALLS_OF_A_BLOCKED_LOOP:
                timers.call_at(started_ms + offset_ms, set_anew)

        timers.call_at(started_ms, set_anew)
        for _ in range(50):
            await asyncio.sleep(0)
        assert 1 <= len(calls) <= 50  # at most once in each iteration of the event loop

    asyncio.run(scenario())


def test_other_timers_fire_after_a_callback_that_raises_and_sets_itself_anew():
    async def scenario():
        clock = Clock()
        loop = asyncio.get_running_loop()
        problems, fired = [], asyncio.Event()
        loop.set_exception_handler(lambda _loop, context: problems.append(context["exception"]))
        timers = Timers(loop, clock)

        def set_anew_and_raise():
            if len(problems) < 3:
                timers.call_at(0.0, set_anew_and_raise)
            raise RuntimeError

        timers.call_at(0.0, set_anew_and_raise)
        timers.call_at(1.0, fired.set)
        await asyncio.wait_for(fired.wait(), 5.0)
        assert problems

    asyncio.run(scenario())


def test_cancelled_timers_do_not_stay_until_their_time_and_the_others_fire_in_order():
    """Guards against memory that grows with the rate of requests: their timers are cancelled long before they
    are due."""

    async def scenario():
        clock = Clock()
        timers = Timers(asyncio.get_running_loop(), clock)
        fired, last = [], asyncio.Event()
        now_ms = clock.now()
        for number in range(20_000):
            timers.call_at(now_ms + 60_000.0, lambda: fired.append("cancelled")).cancel()
            if number % 1000 == 0:
                timers.call_at(now_ms + 20.0 - number / 1000, lambda number=number: fired.append(number))
        timers.call_at(now_ms + 21.0, last.set)
        assert len(timers._heap) <= 2 * MIN_COMPACTED_TIMERS
        await asyncio.wait_for(last.wait(), 5.0)
        assert fired == list(range(19_000, -1, -1000))

    asyncio.run(scenario())


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_events_that_are_ready_come_before_timeouts_that_are_late(new_loop):
    # Report 81cf89: after a long iteration of the loop, timeouts fired before the responses that had come.
    order = []

    async def scenario():
        loop = asyncio.get_running_loop()
        clock = Clock()
        timers = Timers(loop, clock)
        ours, theirs = socket.socketpair()
        with ours, theirs:
            ours.setblocking(False)
            loop.add_reader(ours, lambda: order.append(("read", ours.recv(1))))
            timers.timeout_at(clock.now() + 20.0, lambda: order.append("timeout"))
            await asyncio.sleep(0)
            theirs.send(b"x")
            time.sleep(0.1)  # the loop is held up
            while "timeout" not in order:
                await asyncio.sleep(0)
            loop.remove_reader(ours)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(scenario())
    assert order == [("read", b"x"), "timeout"]


def test_timeout_that_was_cancelled_by_an_event_that_was_ready_does_not_fire_late():
    # Report 81cf89: a worker was blamed for a timeout although its response was there.
    async def scenario():
        loop = asyncio.get_running_loop()
        clock = Clock()
        timers = Timers(loop, clock)
        fired = []
        ours, theirs = socket.socketpair()
        with ours, theirs:
            ours.setblocking(False)
            timer = timers.timeout_at(clock.now() + 20.0, lambda: fired.append("timeout"))
            timers.timeout_at(clock.now() + 21.0, lambda: fired.append("other"))
            loop.add_reader(ours, lambda: (ours.recv(1), timer.cancel()))
            theirs.send(b"x")
            time.sleep(0.1)
            while "other" not in fired:
                await asyncio.sleep(0.001)
            loop.remove_reader(ours)
        assert fired == ["other"]

    uvloop.run(scenario())
