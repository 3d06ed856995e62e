"""Selects the gateways that an acceptor nominates for free slots, so that other gateways need not watch them,
whatever the size of the fleet.

Candidates are ordered by rendezvous hashing, those with a recent heartbeat first. One candidate is nominated,
then two, four, eight, in intervals of 150 ms: 140 dead gateways of 200 delay a nomination by one second, and
two gateways seldom request the same slot. A nomination is only a hint: a lease is acquired by the grants of a
quorum."""

from __future__ import annotations

import math
from dataclasses import dataclass

from plumpick.policy.leases.terms import LeaseTerms, rendezvous_rank

# Time between two steps of nominations. A nomination, the request and the responses take two or three network
# delays.
STEP_MS = 150.0
NETWORK_DELAY_MS = 40.0  # maximum delay from one gateway to another
# Heartbeat interval per gateway of the fleet: the mean time between two heartbeats at an acceptor in a large
# fleet.
HEARTBEAT_PER_GATEWAY_MS = 100.0
MIN_HEARTBEAT_MS = 2000.0  # minimum heartbeat interval of a gateway
# Pause after a round in which all candidates were nominated, doubled each round up to half a lease term.
ROUND_BACKOFF_MS = 450.0
MAX_BACKOFF_DOUBLINGS = 8
MISSED_HEARTBEATS = 3.0  # number of missed heartbeats after which a gateway is nominated last
# Time for which a gateway must be up before it may take over its preferred slots from others, in lease terms.
SETTLED_TERMS = 2.0


@dataclass(slots=True)
class GatewayPresence:
    """An acceptor's record of a gateway that has sent heartbeats."""

    incarnation: int
    since_ms: float
    last_heartbeat_ms: float
    shutting_down: bool = False


@dataclass(slots=True)
class NominationProgress:
    """Progress of the nominations for one free slot."""

    candidates: list[int]  # gateways that have not been nominated yet in this round
    next_ms: float
    step: int = 0  # number of steps in this round; the number of nominations doubles in each
    rounds: int = 0


def heartbeat_interval_ms(gateways: int) -> float:
    """Interval at which each gateway sends heartbeats to each acceptor, for a fleet with this number of
    gateways."""
    return max(MIN_HEARTBEAT_MS, gateways * HEARTBEAT_PER_GATEWAY_MS)


class Nominator:
    """Nominates gateways for free slots on behalf of one acceptor. Keeps one entry for each gateway that sent
    heartbeats, and one for each free slot."""

    def __init__(self, terms: LeaseTerms, gateways: int, now_ms: float) -> None:
        self._terms = terms
        self._gateways = gateways
        # Maximum time by which the grants of other acceptors expire later. The first nomination waits for it,
        # so that the nominated gateway finds all grants expired.
        self._expiry_spread_ms = 2 * terms.drift_ratio * terms.term_ms + NETWORK_DELAY_MS
        self._stale_after_ms = MISSED_HEARTBEATS * heartbeat_interval_ms(gateways)
        self._present: dict[int, GatewayPresence] = {}
        self._progress: dict[int, NominationProgress] = {}  # progress of the nominations by free slot

    def on_heartbeat(self, now_ms: float, gateway: int, incarnation: int, shutting_down: bool) -> None:
        """Record a heartbeat of a gateway."""
        presence = self._present.get(gateway)
        if presence is None or presence.incarnation != incarnation or self._is_stale(now_ms, presence):
            presence = self._present[gateway] = GatewayPresence(incarnation, now_ms, now_ms)
        presence.last_heartbeat_ms = now_ms
        presence.shutting_down = shutting_down

    def on_grant_expired(self, gateway: int, incarnation: int) -> None:
        """Treat a gateway as down until its next heartbeat, because it let a lease expire without releasing
        it."""
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
        """All gateways in the order of their nomination for a lease."""
        return sorted(
            range(self._gateways),
            key=lambda gateway: (
                not self._is_up(now_ms, gateway),
                rendezvous_rank(lease, gateway),
                gateway,
            ),
        )

    def prefers_other(self, now_ms: float, lease: int, holder: int) -> bool:
        """Whether any gateway that is preferred to the holder of a lease has been up for `SETTLED_TERMS`."""
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
        """Return the slots to nominate gateways for now, by gateway."""
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
        """Return the next candidates for a slot: twice as many as in the previous step, or the first one of a
        new round."""
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
        """Next time at which `nominate` must be called; infinity if there is none."""
        return min((progress.next_ms for progress in self._progress.values()), default=math.inf)
