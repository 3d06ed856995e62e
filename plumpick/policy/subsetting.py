"""Which servers a gateway of a wide tier sends to: its arc of a ring on which all are laid. No I/O, no clock.

Danger: where each of forty gateways sends to each of sixty servers, every server holds forty connections
and pays forty handshakes, and each gateway meets it once in ten seconds: what it knows of it is stale.
Seen: four handshakes for ten requests. So each server is left to a few gateways. The way is the
deterministic aperture of Finagle (Twitter, 2019), weighted: servers lie on a ring in the order of a hash of
their names, each as long as its capacity; gateways stand at equal distances on it, and each takes the arc
that begins where it stands. All arcs are alike long and cover each point equally often, so the load over
all is even by capacity, also where each knows nothing of the others but how many they are. Where lists
differ for a while, so do arcs a little, and that is all."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import TypeVar

COVER = 8  # gateways for each point of the ring: should one or two stand still, the others know the server
LEAST_ARC = 6.0  # servers' worth of capacity: an arc is no shorter, or one bad server would be half of it
EDGE = 0.5  # a server belongs to an arc that holds so much of it

T = TypeVar("T")


def place_of(name: str) -> int:
    """Where on the ring a server lies, as an order; the same at every gateway."""
    return zlib.crc32(name.encode())


def share(capacity: float, gateways: int) -> float:
    """The part of the ring that one gateway's arc holds, from above 0 to 1."""
    if capacity <= 0 or gateways <= COVER:
        return 1.0
    return min(1.0, max(COVER / gateways, LEAST_ARC / capacity))


def arc_of(ring: Sequence[tuple[T, float]], gateways: int, number: int) -> list[T]:
    """The servers of the arc of gateway `number`, from 0. `ring`: all servers in their order, each with its
    capacity, from 0, in servers that are warm."""
    capacity = sum(weight for _, weight in ring)
    part = share(capacity, gateways)
    if part >= 1:
        return [server for server, _ in ring]
    begin = number / gateways * capacity
    end, at, chosen = begin + part * capacity, 0.0, []
    for server, weight in ring:
        # The arc may run over the end of the ring: what lies before its beginning lies behind its end, too.
        held = sum(max(0.0, min(at + weight, end - turn) - max(at, begin - turn)) for turn in (0.0, capacity))
        if held >= EDGE * weight > 0:
            chosen.append(server)
        at += weight
    return chosen
