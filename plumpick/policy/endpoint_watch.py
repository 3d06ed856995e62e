"""Schedules the calls that keep a gateway's endpoint list up to date. No I/O and no clock.

A gateway must know a change within NOTIFICATION_DEADLINE_MS after discovery had it and was reachable,
whichever calls failed in between. A watch whose connection has died shows only by a missing response. So
watches have short time-outs, and the retries after such a watch have to fit into the remaining time.
`worst_notification_ms` adds up the worst case.

There are two kinds of discovery:

- An agent beside the gateway responds at once and at no cost. The gateway requests a snapshot of the list,
  then watches for changes, and retries a failed call after a short backoff.
- A service that all gateways share queues calls and rejects those that it cannot answer in time. Forty
  gateways that start together, give up each call before its turn in the queue and retry twice a second
  overload it permanently (test_40_gateways_that_start_together_all_have_their_watch_soon). So a watch of a
  shared service starts from the index of the present list, which takes one call instead of two. Each gateway
  calls in its own slot, given by its number, of a round that all gateways derive from the same clock. This
  spreads the calls evenly even if all gateways failed at the same time, and limits each to one call per
  round. Full jitter would cluster calls and need several rounds. After a rejected call, which costs the
  service nothing, the gateway calls again in the next round. After a call that timed out in the queue, on
  which the service has spent work, it skips rounds.

A response that cannot be used raises EndpointWatchError, after it was counted as a failed call.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

NOTIFICATION_DEADLINE_MS = 6000.0  # Maximum time until a gateway knows of a change, as promised to operators
LOOP_DELAY_MARGIN_MS = 200.0  # Part of the deadline reserved for delays of a busy event loop
RESPONSE_TIMEOUT_MS = 1000.0  # Time-out of a connect, and of a snapshot from an agent

# Calls to an agent. A watch without a response after time-out and grace has failed. Then two more calls may
# fail and the third still meets the deadline: 2000 + 500 + (20 + 1000) + (40 + 1000) + (80 + 1000) ms.
AGENT_WATCH_TIMEOUT_MS = 2000.0
AGENT_WATCH_GRACE_MS = 500.0
AGENT_INITIAL_BACKOFF_MS = 20.0
AGENT_MAX_BACKOFF_MS = 500.0

# Calls to a shared service, which does not queue the continuation of a watch. After a failed watch a gateway
# waits for its slot, at most one round, and for its turn in the service's queue:
# 1000 + 300 + 2400 + 2000 ms.
SHARED_WATCH_TIMEOUT_MS = 1000.0
SHARED_WATCH_GRACE_MS = 300.0
MAX_ROUND_MS = 2400.0
QUEUE_TIMEOUT_MS = 2000.0  # Maximum time for which the service queues a call
ROUND_PER_GATEWAY_MS = 500.0  # Length of a round per gateway; shortens the round of a small tier
# Maximum length of the first round at a new address, which has to be in use 4 s after SIGHUP: 1700 + 2000 ms.
INITIAL_ROUND_MS = 1700.0
# Number of rounds among which the next call is drawn, after a call that timed out in the service's queue, and
# after more than MANY_QUEUE_TIMEOUTS of them. More of them mean that the service is not down but overloaded,
# and works on calls that their gateways have given up.
ROUNDS_AFTER_QUEUE_TIMEOUT = 2
ROUNDS_AFTER_MANY_QUEUE_TIMEOUTS = 8
MANY_QUEUE_TIMEOUTS = 5
# Time-out of the first call of a watch, which fetches the changes so far and does not wait for new ones.
IMMEDIATE_WATCH_MS = 1.0


def worst_notification_ms(is_shared: bool) -> float:
    """Return the maximum time in ms from a change to its notification, for a watch that failed unnoticed
    just before the change. Assumes that the next two calls to an agent may fail as well, and that a shared
    service answers the next call."""
    if is_shared:
        return SHARED_WATCH_TIMEOUT_MS + SHARED_WATCH_GRACE_MS + MAX_ROUND_MS + QUEUE_TIMEOUT_MS
    backoffs = (min(AGENT_MAX_BACKOFF_MS, AGENT_INITIAL_BACKOFF_MS * 2.0**failures) for failures in range(3))
    broken_watch_ms = AGENT_WATCH_TIMEOUT_MS + AGENT_WATCH_GRACE_MS
    return broken_watch_ms + sum(backoff_ms + RESPONSE_TIMEOUT_MS for backoff_ms in backoffs)


class EndpointWatchError(Exception):
    """A response of discovery that cannot be used. The message is one line for operators."""


class SnapshotMissingError(EndpointWatchError):
    """Discovery sent a delta in response to a request for a snapshot."""


class IndexWentBackError(EndpointWatchError):
    """Discovery sent a list with a lower index than the present one: a late response, or the first one after
    a restart of the service."""


@dataclass(frozen=True, slots=True)
class EndpointWatchRequest:
    """A call to discovery: for a snapshot of the list, or for the changes since an index."""

    since_index: int | None  # Index since which changes are requested; None for a snapshot
    watch_timeout_ms: float  # Maximum time for which discovery waits for a change before it responds
    response_timeout_ms: float  # Time after which the call counts as failed
    delay_ms: float  # Time to wait before the call


class EndpointWatch:
    """One gateway's watch of discovery: the index of its present list, and its consecutive failed calls.

    `gateway_count`: number of gateways that share the discovery service, or 0 for an agent;
    `gateway_number`: number of this gateway among them; `index`: index of the present list, or None if there
    is no list; `rng`: random source for skipped rounds, not drawn from for an agent.
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
        self.queue_timeouts = 0  # Number of consecutive calls that timed out in the service's queue
        self._is_watching = False  # Whether the last call was answered, so that the watch can continue
        self._index_went_back = False  # Whether the last response had a lower index than the present list

    def next_request(self, now_ms: float) -> EndpointWatchRequest:
        """Return the next call to make. `now_ms`: a clock that all gateways share, for the rounds."""
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
            return 0.0 if self._is_watching else self._delay_to_slot_ms(now_ms)
        if not self.consecutive_failures:
            return 0.0
        doublings = min(self.consecutive_failures - 1, 30)
        return min(AGENT_MAX_BACKOFF_MS, AGENT_INITIAL_BACKOFF_MS * 2.0**doublings)

    def _delay_to_slot_ms(self, now_ms: float) -> float:
        """Return the time until this gateway's next slot, plus a random number of skipped rounds after queue
        timeouts."""
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
        """Take the index of a received list. Raises EndpointWatchError if the list cannot be used, which
        counts as a failed call.

        A lower index than the present one comes from a late response or from a restarted service. It is
        accepted once a snapshot in a second response confirms it.
        """
        if self.index is None and not is_snapshot:
            self.on_call_failed()
            raise SnapshotMissingError("received a delta in response to a request for a snapshot")
        is_confirmed = is_snapshot and self._index_went_back
        if self.index is not None and index < self.index and not is_confirmed:
            self._index_went_back = True
            self.on_call_failed()
            if not is_snapshot:
                self.index = None  # Only a snapshot can confirm a lower index.
            raise IndexWentBackError(f"the index of the endpoint list went back to {index}")
        self.index = index
        self.consecutive_failures = 0
        self.queue_timeouts = 0
        self._is_watching = True
        self._index_went_back = False

    def on_call_failed(self, timed_out: bool = False) -> None:
        """Record a failed call. `timed_out`: the connection was up, but the response did not come in time.

        The next call to an agent requests a snapshot. The next call to a shared service requests the changes,
        since snapshots of the whole list are costly there.
        """
        self.consecutive_failures += 1
        if not self._is_watching:  # A failed watch does not show how busy the service is.
            self.queue_timeouts = self.queue_timeouts + 1 if timed_out else 0
        self._is_watching = False
        if not self.is_shared:
            self.index = None

    def reset(self) -> None:
        """Start again from a snapshot, after the present list was lost."""
        self.index = None
        self.consecutive_failures = 0
        self.queue_timeouts = 0
        self._is_watching = False
