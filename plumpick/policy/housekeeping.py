"""How often tables are looked through and life signs are sent. No I/O, no clock."""

from __future__ import annotations

import math
from typing import Any, TypeVar

from plumpick.policy.settings import Settings

T = TypeVar("T")

TIDY_PARTS, TIDY_LEAST = 20, 64  # of a long table so many-th is looked at each time; of a short one all
PING_MS, PING_PART = 500.0, 0.3  # the least between life signs; the part of an inbox that all of them fill


def part_of(table: dict[T, Any], left: list[T]) -> list[T]:
    """The next part of the names, all of them in turn; `left` holds those not looked at in this round."""
    if not left:
        left += table
    count = max(TIDY_LEAST, len(table) // TIDY_PARTS)
    part = [name for name in left[-count:] if name in table]
    del left[-count:]
    return part


def ping_ms(settings: Settings) -> float:
    """How long a gateway that asked a home is silent to it at most, messages lost aside.

    Danger: the inbox is the tier's scarcest good. Seen at 40 gateways that each sent 39 life signs every
    500 ms: 1,600 of 2,400 messages a second that all inboxes take, and one of five lost, business as well."""
    return max(
        PING_MS, 1000 * (settings.gateway_count - 1) / (PING_PART * (settings.peer_inbox_per_s or math.inf))
    )
