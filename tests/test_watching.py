"""What is asked of discovery, and when: a whole tier against one service with a line, on a clock of ours."""

import heapq
import random

from anisefront.watching import MOST_SPAN_MS, WATCH_MS, Watching

TURNS_PER_S, LINE_MS = 7.0, 2000.0  # the service takes so many calls a second; one that waited longer fails


class Service:
    """One service for all: calls wait in turn. One that has waited too long fails, and is worked on all the
    same; one that finds a line of twice that is turned away at once."""

    def __init__(self):
        self.free_ms, self.calls = 0.0, []

    def call(self, now):
        """When the call ends, and whether it was answered. A watch that goes on is no call."""
        self.calls.append(now)
        if self.free_ms - now > 2 * LINE_MS:
            return now + 5.0, False
        self.free_ms = max(self.free_ms, now) + 1000.0 / TURNS_PER_S
        return (self.free_ms, True) if self.free_ms - now <= LINE_MS else (now + LINE_MS, False)


def play(plans, until_ms, starts):
    """When each gateway first had its watch, and the calls; `starts`: when each begins."""
    service, listed, agenda = Service(), {}, []
    for number, plan in enumerate(plans):
        call = plan.next()
        heapq.heappush(agenda, (starts[number] + call.after_ms, number, "ask", call))
    while agenda and agenda[0][0] <= until_ms:
        now, number, what, call = heapq.heappop(agenda)
        plan = plans[number]
        if what == "ask":
            end, answered = service.call(now)
            if end - now > call.within_ms:
                end, answered = now + call.within_ms, False  # it does not wait for its turn
            heapq.heappush(agenda, (end, number, "told" if answered else "failed", call))
            continue
        if what == "told":
            assert plan.answered(7, call.since is None) == ""
            if call.since is not None:
                listed.setdefault(number, now)
                continue
        else:
            plan.failed()
        call = plan.next()
        heapq.heappush(agenda, (now + call.after_ms, number, "ask", call))
    return listed, service.calls


def test_forty_that_start_within_a_tenth_of_a_second_all_have_their_watch_soon():
    for seed in range(20):
        rng = random.Random(seed)
        starts = [rng.random() * 100.0 for _ in range(40)]
        plans = [Watching(40, 7, random.Random(f"{seed}/{n}")) for n in range(40)]
        listed, calls = play(plans, 60_000.0, starts)
        times = sorted(listed.values())
        assert len(times) == 40 and times[35] <= 12_000.0, (seed, times)
        assert len(calls) <= 2 * 40, seed
    # The way that asks an agent of its own would keep such a service at its limit for good.
    listed, calls = play([Watching(0, 7, random.Random(n)) for n in range(40)], 60_000.0, [0.0] * 40)
    assert len(listed) < 20 and len(calls) > 1000


def test_a_few_are_not_kept_waiting():
    listed, _ = play([Watching(3, 7, random.Random(n)) for n in range(3)], 60_000.0, [0.0] * 3)
    assert len(listed) == 3 and max(listed.values()) <= 1500.0


def test_calls_after_failures_are_spread_over_a_span_that_doubles_and_is_bounded():
    plan, spans = Watching(40, 7, random.Random(1)), []
    for _ in range(12):
        plan.failed()
        spans.append([plan.next().after_ms for _ in range(200)])
    assert max(spans[0]) <= 8000.0 and max(map(max, spans)) <= MOST_SPAN_MS
    for waits in spans[1:]:  # all of the span, not a step in it
        assert min(waits) < 0.1 * max(waits) and 0.4 < sum(waits) / len(waits) / max(waits) < 0.6
    assert plan.answered(8, False) == "" and plan.next().after_ms == 0.0


def test_a_shared_service_is_asked_for_what_has_changed_also_after_a_failure():
    plan = Watching(40, 41, random.Random(1))
    assert plan.next().since == 41
    plan.failed()
    call = plan.next()
    assert call.since == 41 and call.within_ms >= WATCH_MS + 2 * LINE_MS  # its turn may take a while
    assert plan.answered(40, False) == "the version went back" and plan.next().since is None
    assert plan.answered(3, True) == "" and plan.next().since == 3


def test_without_a_list_the_whole_one_is_asked_for():
    plan = Watching(40, None, random.Random(1))
    assert plan.next().since is None
    assert plan.answered(5, False) == "a change came where the whole list was asked for"
    assert plan.next().since is None


def test_an_agent_of_our_own_is_asked_as_soon_as_it_may_answer():
    plan = Watching(0, 41, random.Random(1))
    call = plan.next()
    assert call.since is None and call.after_ms == 0.0
    waits = []
    for _ in range(8):
        plan.failed()
        waits.append(plan.next().after_ms)
    assert waits == [20.0, 40.0, 80.0, 160.0, 320.0, 500.0, 500.0, 500.0] and plan.next().since is None
