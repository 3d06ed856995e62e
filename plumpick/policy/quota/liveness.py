"""Which gateways are unreachable, by when they were heard last; and how often heartbeats are sent.

Both sides of a broken path reckon from what they heard last, so what the two take to be so is the same: the
silent gateway spends by its even part, and its owner withholds that part."""

from __future__ import annotations

import math

from plumpick.policy.settings import Settings

MIN_HEARTBEAT_MS = 500.0
HEARTBEAT_INBOX_RATIO = 0.3  # of an inbox, that the heartbeats of all gateways fill in a large tier
MAX_ALL_TO_ALL = 8  # other gateways: with no more of them heartbeats go to all, else to quota owners
SILENCE_HEARTBEATS = 4.0  # a gateway that was silent for so many of them is unreachable


def heartbeat_ms(settings: Settings) -> float:
    """For how long a gateway that asked an owner is silent to it at most, messages lost aside."""
    others = settings.gateway_count - 1
    inbox_per_s = settings.peer_inbox_per_s or math.inf
    return max(MIN_HEARTBEAT_MS, 1000 * others / (HEARTBEAT_INBOX_RATIO * inbox_per_s))


def sends_heartbeats_to_all(settings: Settings) -> bool:
    """Whether each gateway sends heartbeats to every other one."""
    return settings.gateway_count - 1 <= MAX_ALL_TO_ALL


class PeerLiveness:
    """When each gateway was heard, and which quota owners leave requests unanswered."""

    def __init__(self) -> None:
        self.silence_limit_ms = SILENCE_HEARTBEATS * MIN_HEARTBEAT_MS
        self.last_heard_ms: dict[int, float] = {}  # in this incarnation
        self.unresponsive_owners: set[int] = set()

    def reconfigure(self, settings: Settings) -> None:
        """Other settings from now on."""
        self.silence_limit_ms = SILENCE_HEARTBEATS * heartbeat_ms(settings)

    def begin(self, now_ms: float, settings: Settings) -> None:
        """A new incarnation: a gateway that says nothing from the start may be cut off."""
        if sends_heartbeats_to_all(settings):
            others = set(range(settings.gateway_count)) - {settings.gateway_number}
            self.last_heard_ms = dict.fromkeys(others, now_ms)

    def is_unreachable(self, now_ms: float, gateway: int) -> bool:
        """Whether a gateway that was heard in this incarnation has been silent for too long."""
        return now_ms - self.last_heard_ms.get(gateway, now_ms) > self.silence_limit_ms
