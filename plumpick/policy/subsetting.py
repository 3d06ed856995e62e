"""Which endpoints a gateway of a large tier uses: its arc of a ring on which all endpoints lie.

Where each of many gateways sent to every endpoint, an endpoint would hold as many connections, and what a
gateway knows of it would be old. So each endpoint is used by a few gateways. Method: the deterministic
aperture of Finagle (Twitter, 2019), weighted. Endpoints lie on the ring by a hash of their names, each as
long as its capacity; gateways stand at equal distances and each uses the arc that begins where it stands. All
arcs are equally long and cover each point equally often, so the load is even by capacity though gateways know
nothing of one another but their number. Where lists differ for a while, so do arcs."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import TypeVar

GATEWAYS_PER_POINT = 8  # should one or two of them stop, the others still know the endpoint
MIN_SUBSET_CAPACITY = 6.0  # in endpoints: of fewer one that fails would be half of the subset
MIN_OVERLAP_RATIO = 0.5  # an endpoint belongs to an arc that holds so much of it

T = TypeVar("T")


def ring_position(endpoint_id: str) -> int:
    """Where on the ring an endpoint lies, as an order; the same at every gateway."""
    return zlib.crc32(endpoint_id.encode())


def subset_ratio(capacity: float, gateway_count: int) -> float:
    """The part of the ring that one gateway's arc holds, from above 0 to 1. `capacity`: of all endpoints."""
    if capacity <= 0 or gateway_count <= GATEWAYS_PER_POINT:
        return 1.0
    return min(1.0, max(GATEWAYS_PER_POINT / gateway_count, MIN_SUBSET_CAPACITY / capacity))


def subset_of(ring: Sequence[tuple[T, float]], gateway_count: int, gateway_number: int) -> list[T]:
    """The endpoints of one gateway's arc. `ring`: all of them in their order, each with its capacity, where 1
    is a warm endpoint's; `gateway_number`: from 0."""
    capacity = sum(weight for _, weight in ring)
    ratio = subset_ratio(capacity, gateway_count)
    if ratio >= 1:
        return [endpoint for endpoint, _ in ring]
    begin = gateway_number / gateway_count * capacity
    end = begin + ratio * capacity
    position = 0.0
    chosen = []
    for endpoint, weight in ring:
        # The arc may run over the end of the ring: what lies before its beginning lies behind its end, too.
        overlap = sum(
            max(0.0, min(position + weight, end - turn) - max(position, begin - turn))
            for turn in (0.0, capacity)
        )
        if overlap >= MIN_OVERLAP_RATIO * weight > 0:
            chosen.append(endpoint)
        position += weight
    return chosen
