"""Whom an acceptor nominates for a free slot: nobody else has to watch it, whatever the size of the tier.

Candidates come in the order of rendezvous hashing, those first that have sent a heartbeat of late. One is
nominated, then two, four, eight, each 150 ms after the last: 140 dead gateways of 200 cost a second, and two
seldom want the same slot. A nomination is only a hint: the grants of a quorum decide."""

from __future__ import annotations

import math
from dataclasses import dataclass

from plumpick.policy.leases.terms import LeaseTerms, rendezvous_rank

STEP_MS = 150.0  # a nomination, its request and the responses take two or three network delays
NETWORK_DELAY_MS = 40.0  # from one gateway to another, at most
HEARTBEAT_PER_GATEWAY_MS = 100.0  # an acceptor receives one in so long on average, whatever the tier's size
MIN_HEARTBEAT_MS = 2000.0
ROUND_BACKOFF_MS = 450.0  # after all were nominated in vain, doubled each time up to half a term
MAX_BACKOFF_DOUBLINGS = 8
MISSED_HEARTBEATS = 3.0  # after which a gateway is nominated last
SETTLED_TERMS = 2.0  # a gateway that has been up for so long may get its preferred slots from others


@dataclass(slots=True)
class GatewayPresence:
    """A gateway that has sent heartbeats."""

    incarnation: int
    since_ms: float
    last_heartbeat_ms: float
    shutting_down: bool = False


@dataclass(slots=True)
class NominationProgress:
    """How far the nominations for one free slot have come."""

    candidates: list[int]  # not nominated yet in this round
    next_ms: float
    step: int = 0  # in each, twice as many are nominated
    rounds: int = 0


def heartbeat_interval_ms(gateways: int) -> float:
    """How often each gateway sends a heartbeat to each acceptor."""
    return max(MIN_HEARTBEAT_MS, gateways * HEARTBEAT_PER_GATEWAY_MS)


class Nominator:
    """Owns one entry for each gateway that is up, and one for each slot that is free."""

    def __init__(self, terms: LeaseTerms, gateways: int, now_ms: float) -> None:
        self._terms = terms
        self._gateways = gateways
        # The other acceptors' grants expire so much later at most: whoever is nominated finds all expired.
        self._expiry_spread_ms = 2 * terms.drift_ratio * terms.term_ms + NETWORK_DELAY_MS
        self._stale_after_ms = MISSED_HEARTBEATS * heartbeat_interval_ms(gateways)
        self._present: dict[int, GatewayPresence] = {}
        self._progress: dict[int, NominationProgress] = {}  # by slot

    def on_heartbeat(self, now_ms: float, gateway: int, incarnation: int, shutting_down: bool) -> None:
        """A gateway is up."""
        presence = self._present.get(gateway)
        if presence is None or presence.incarnation != incarnation or self._is_stale(now_ms, presence):
            presence = self._present[gateway] = GatewayPresence(incarnation, now_ms, now_ms)
        presence.last_heartbeat_ms = now_ms
        presence.shutting_down = shutting_down

    def on_grant_expired(self, gateway: int, incarnation: int) -> None:
        """A gateway let a lease expire without releasing it: it counts as down until its next heartbeat."""
        presence = self._present.get(gateway)
        if presence is not None and presence.incarnation == incarnation:
            del self._present[gateway]

    def _is_stale(self, now_ms: float, presence: GatewayPresence) -> bool:
        return now_ms - presence.last_heartbeat_ms > self._stale_after_ms

    def _is_up(self, now_ms: float, gateway: int) -> bool:
        presence = self._present.get(gateway)
        if presence is None or presence.shutting_down:
            return False
        return not self._is_stale(now_ms, presence)

    def candidates(self, now_ms: float, lease: int) -> list[int]:
        """All gateways, the first to be nominated first."""
        return sorted(
            range(self._gateways),
            key=lambda gateway: (
                not self._is_up(now_ms, gateway),
                rendezvous_rank(lease, gateway),
                gateway,
            ),
        )

    def prefers_other(self, now_ms: float, lease: int, holder: int) -> bool:
        """Whether a gateway that has been up for long enough is preferred to the holder of this lease."""
        if lease >= self._terms.slots:
            return False
        settled_ms = SETTLED_TERMS * self._terms.term_ms
        holder_preference = (rendezvous_rank(lease, holder), holder)
        return any(
            (rendezvous_rank(lease, gateway), gateway) < holder_preference
            and self._is_up(now_ms, gateway)
            and now_ms - presence.since_ms > settled_ms
            for gateway, presence in self._present.items()
        )

    def nominate(self, now_ms: float, free_slots: list[int]) -> dict[int, list[int]]:
        """Which gateways to nominate now, and for which slots."""
        nominations: dict[int, list[int]] = {}
        for slot in [slot for slot in self._progress if slot not in free_slots]:
            del self._progress[slot]
        for slot in free_slots:
            progress = self._progress.get(slot)
            if progress is None:
                first_ms = now_ms + self._expiry_spread_ms
                progress = self._progress[slot] = NominationProgress(self.candidates(now_ms, slot), first_ms)
            if now_ms < progress.next_ms:
                continue
            for gateway in self._advance(now_ms, slot, progress):
                nominations.setdefault(gateway, []).append(slot)
        return nominations

    def _advance(self, now_ms: float, slot: int, progress: NominationProgress) -> list[int]:
        """The next candidates for a slot: twice as many as before, or the first one of a new round."""
        if not progress.candidates:
            progress.candidates = self.candidates(now_ms, slot)
            progress.step = 0
            progress.rounds += 1
        count = 1 << progress.step
        nominated = progress.candidates[:count]
        del progress.candidates[:count]
        progress.step += 1
        if progress.candidates:
            progress.next_ms = now_ms + STEP_MS
        else:
            backoff_ms = ROUND_BACKOFF_MS * 2 ** min(progress.rounds, MAX_BACKOFF_DOUBLINGS)
            progress.next_ms = now_ms + min(self._terms.term_ms / 2, backoff_ms)
        return nominated

    def next_due_ms(self) -> float:
        """When `nominate` has something to do."""
        return min((progress.next_ms for progress in self._progress.values()), default=math.inf)
