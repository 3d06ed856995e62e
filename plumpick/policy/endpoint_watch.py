"""What to ask discovery next, and when. No I/O, no clock of its own.

A change counts as notified NOTIFICATION_DEADLINE_MS after discovery had it and could be reached, whatever
became of the calls meanwhile. A silent watch shows only by the lack of an answer, so watches are short, and
all that may follow has to fit into the rest. `worst_notification_ms` states the sum for either kind of
discovery.

Two kinds of discovery. An agent beside the gateway answers at once and at no cost: it is asked for a snapshot
of the list, then watched, and asked again after a short backoff. A service that all gateways share queues
calls and rejects what it cannot answer in time. There, forty gateways that start together, give up a call
before its turn and retry twice a second keep it at its limit for good
(test_forty_gateways_that_start_together_all_have_their_watch_soon). So a watch of a shared service
begins from the list at hand (one call instead of two), and each gateway has its own slot, by its number, in a
round that all share by the one clock: calls are spread evenly whatever made all fail at once, and none is
made more often than once a round. Full jitter bunches calls, and would need several rounds. A rejected call
costs the service nothing, and the next one is made in the next round; a call that timed out in the queue was
worked on, so its gateway skips rounds.

An answer that cannot be used raises EndpointWatchError; it is counted as a failed call by then.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

NOTIFICATION_DEADLINE_MS = 6000.0  # the operators' term
LOOP_DELAY_MARGIN_MS = 200.0  # of it, for timers and answers that a busy loop takes late
RESPONSE_TIMEOUT_MS = 1000.0  # for what is answered at once: to connect, and a snapshot

# An agent. A watch that is as late as its grace is broken; then two calls may fail, and the third is in time:
# 2000 + 500 + (20 + 1000) + (40 + 1000) + (80 + 1000).
AGENT_WATCH_TIMEOUT_MS = 2000.0
AGENT_WATCH_GRACE_MS = 500.0
AGENT_INITIAL_BACKOFF_MS = 20.0
AGENT_MAX_BACKOFF_MS = 500.0

# A shared service, where a watch that continues takes no turn in the queue. After a broken one: the slot, at
# most a round away, and the longest that the service queues a call: 1000 + 300 + 2400 + 2000.
SHARED_WATCH_TIMEOUT_MS = 1000.0
SHARED_WATCH_GRACE_MS = 300.0
MAX_ROUND_MS = 2400.0
QUEUE_TIMEOUT_MS = 2000.0
ROUND_PER_GATEWAY_MS = 500.0  # few gateways have a shorter round
INITIAL_ROUND_MS = 1700.0  # at a new address, which is in use 4 s after SIGHUP: 1700 + 2000
# After a call that timed out in the queue the next is in one of so many rounds; after many such, in one of
# more: then it is no outage, and the service works on calls that nobody waits for.
ROUNDS_AFTER_QUEUE_TIMEOUT = 2
ROUNDS_AFTER_MANY_QUEUE_TIMEOUTS = 8
MANY_QUEUE_TIMEOUTS = 5
IMMEDIATE_WATCH_MS = 1.0  # a watch that begins asks for what there is


def worst_notification_ms(is_shared: bool) -> float:
    """From a change to its notification, if the watch fell silent just before it. An agent's next two calls
    may fail; a shared service answers the next one."""
    if is_shared:
        return SHARED_WATCH_TIMEOUT_MS + SHARED_WATCH_GRACE_MS + MAX_ROUND_MS + QUEUE_TIMEOUT_MS
    backoffs = (min(AGENT_MAX_BACKOFF_MS, AGENT_INITIAL_BACKOFF_MS * 2.0**failures) for failures in range(3))
    broken_watch_ms = AGENT_WATCH_TIMEOUT_MS + AGENT_WATCH_GRACE_MS
    return broken_watch_ms + sum(backoff_ms + RESPONSE_TIMEOUT_MS for backoff_ms in backoffs)


class EndpointWatchError(Exception):
    """An answer of discovery that cannot be used; the text is one line for operators."""


class SnapshotMissingError(EndpointWatchError):
    """Changes came where a snapshot was asked for."""


class IndexWentBackError(EndpointWatchError):
    """An older list than the one at hand: late, or of a service that was restarted."""


@dataclass(frozen=True, slots=True)
class EndpointWatchRequest:
    """One call: for a snapshot of the list, or for what has changed since an index."""

    since_index: int | None  # None: a snapshot
    watch_timeout_ms: float  # how long a watch may wait for a change
    response_timeout_ms: float  # when an answer is overdue
    delay_ms: float  # before the call


class EndpointWatch:
    """One gateway's state with discovery: the index of the list that it has, and its failed calls.

    `gateway_count`: how many gateways share one service, of which this one is `gateway_number`; 0: an agent.
    `index`: that of the list at hand; None if there is none. `rng`: drawn from for a shared service alone.
    """

    def __init__(
        self, gateway_count: int, index: int | None, rng: random.Random, gateway_number: int = 0
    ) -> None:
        self.is_shared = gateway_count > 0
        self.index = index if self.is_shared else None
        self._rng = rng
        self._round_ms = min(MAX_ROUND_MS, ROUND_PER_GATEWAY_MS * max(1, gateway_count))
        self._slot_ratio = (gateway_number % gateway_count) / gateway_count if self.is_shared else 0.0
        self.consecutive_failures = 0
        self.queue_timeouts = 0  # calls that timed out in the service's queue, since one was answered
        self._is_watching = False  # an answer has come, and the watch may continue
        self._went_back = False  # the last answer was older than the one before

    def next_request(self, now_ms: float) -> EndpointWatchRequest:
        """The call to make now, by a clock in ms that all gateways share."""
        delay_ms = self._delay_ms(now_ms)
        if self.index is None:
            timeout_ms = QUEUE_TIMEOUT_MS if self.is_shared else RESPONSE_TIMEOUT_MS
            return EndpointWatchRequest(None, 0.0, timeout_ms, delay_ms)
        if not self.is_shared:
            timeout_ms = AGENT_WATCH_TIMEOUT_MS + AGENT_WATCH_GRACE_MS
            return EndpointWatchRequest(self.index, AGENT_WATCH_TIMEOUT_MS, timeout_ms, delay_ms)
        if not self._is_watching:
            return EndpointWatchRequest(self.index, IMMEDIATE_WATCH_MS, QUEUE_TIMEOUT_MS, delay_ms)
        timeout_ms = SHARED_WATCH_TIMEOUT_MS + SHARED_WATCH_GRACE_MS
        return EndpointWatchRequest(self.index, SHARED_WATCH_TIMEOUT_MS, timeout_ms, delay_ms)

    def _delay_ms(self, now_ms: float) -> float:
        if self.is_shared:
            return 0.0 if self._is_watching else self._until_slot_ms(now_ms)
        if not self.consecutive_failures:
            return 0.0
        doublings = min(self.consecutive_failures - 1, 30)
        return min(AGENT_MAX_BACKOFF_MS, AGENT_INITIAL_BACKOFF_MS * 2.0**doublings)

    def _until_slot_ms(self, now_ms: float) -> float:
        """The wait until this gateway's slot in the round, with a draw of the rounds that it skips."""
        rounds = 1
        if self.queue_timeouts > MANY_QUEUE_TIMEOUTS:
            rounds = ROUNDS_AFTER_MANY_QUEUE_TIMEOUTS
        elif self.queue_timeouts:
            rounds = ROUNDS_AFTER_QUEUE_TIMEOUT
        skipped = self._rng.randrange(rounds)
        is_first_call = self.index is None and not self.consecutive_failures
        round_ms = min(self._round_ms, INITIAL_ROUND_MS) if is_first_call else self._round_ms
        return (self._slot_ratio * round_ms - now_ms) % round_ms + skipped * round_ms

    def on_response(self, index: int, is_snapshot: bool) -> None:
        """A list has come; raises EndpointWatchError where it cannot be used, which counts as a failed call.

        An index that goes back is a late answer, or a service that was restarted: it is believed when a
        second answer confirms it.
        """
        if self.index is None and not is_snapshot:
            self.on_call_failed()
            raise SnapshotMissingError("a change came where the whole list was asked for")
        is_confirmed = is_snapshot and self._went_back
        if self.index is not None and index < self.index and not is_confirmed:
            self._went_back = True
            self.on_call_failed()
            if not is_snapshot:
                self.index = None  # only a snapshot can confirm it
            raise IndexWentBackError("the version went back")
        self.index = index
        self.consecutive_failures = 0
        self.queue_timeouts = 0
        self._is_watching = True
        self._went_back = False

    def on_call_failed(self, timed_out: bool = False) -> None:
        """A call failed. `timed_out`: its connection was up, and its answer did not come in time.

        An agent is then asked for a snapshot; a shared service, whose answer would be long, for the changes.
        """
        self.consecutive_failures += 1
        if not self._is_watching:  # a silent watch says nothing of how busy the service is
            self.queue_timeouts = self.queue_timeouts + 1 if timed_out else 0
        self._is_watching = False
        if not self.is_shared:
            self.index = None

    def reset(self) -> None:
        """Begin with a snapshot: the list at hand was lost."""
        self.index = None
        self.consecutive_failures = 0
        self.queue_timeouts = 0
        self._is_watching = False
