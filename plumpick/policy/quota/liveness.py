"""Detection of unreachable gateways by the time of their last message, and the heartbeat interval.

Both sides of a broken path count from the last message they received, so they reach the same conclusion: the
gateway that lost its quota owner spends its even part of the quota, and the owner withholds that part."""

from __future__ import annotations

import math

from plumpick.policy.settings import Settings

MIN_HEARTBEAT_MS = 500.0
HEARTBEAT_INBOX_RATIO = 0.3  # maximum fraction of a gateway's inbox rate used by heartbeats of all others
# Maximum number of other gateways with heartbeats to all; in larger tiers they go to quota owners only
MAX_ALL_TO_ALL = 8
UNREACHABLE_AFTER_HEARTBEATS = 4.0  # intervals without a message until a gateway is unreachable


def heartbeat_ms(settings: Settings) -> float:
    """Heartbeat interval in ms: the maximum time between messages to a quota owner if none is lost."""
    others = settings.gateway_count - 1
    inbox_per_s = settings.peer_inbox_per_s or math.inf
    return max(MIN_HEARTBEAT_MS, 1000 * others / (HEARTBEAT_INBOX_RATIO * inbox_per_s))


def sends_heartbeats_to_all(settings: Settings) -> bool:
    """Whether each gateway sends heartbeats to every other one."""
    return settings.gateway_count - 1 <= MAX_ALL_TO_ALL


class PeerLiveness:
    """Time of the last message from each gateway, and quota owners that do not answer grant requests."""

    def __init__(self) -> None:
        self.unreachable_after_ms = UNREACHABLE_AFTER_HEARTBEATS * MIN_HEARTBEAT_MS
        # Time of the last message by gateway, since the start of this incarnation.
        self.last_received_ms: dict[int, float] = {}
        self.unresponsive_owners: set[int] = set()

    def reconfigure(self, settings: Settings) -> None:
        """Adopt the heartbeat interval of changed settings."""
        self.unreachable_after_ms = UNREACHABLE_AFTER_HEARTBEATS * heartbeat_ms(settings)

    def begin(self, now_ms: float, settings: Settings) -> None:
        """Start an incarnation: with heartbeats to all, every other gateway counts as received from now, so
        that one that never sends a message is detected as unreachable."""
        if sends_heartbeats_to_all(settings):
            others = set(range(settings.gateway_count)) - {settings.gateway_number}
            self.last_received_ms = dict.fromkeys(others, now_ms)

    def is_unreachable(self, now_ms: float, gateway: int) -> bool:
        """Whether no message of a gateway was received for `unreachable_after_ms`; False for a gateway
        without any message in this incarnation."""
        return now_ms - self.last_received_ms.get(gateway, now_ms) > self.unreachable_after_ms
