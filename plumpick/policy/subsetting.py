"""Subsetting: the endpoints that one gateway of a large tier uses, an arc of a ring of all endpoints.

If every gateway of a large tier sent to every endpoint, each endpoint would hold a connection per gateway,
and each gateway's statistics of an endpoint would be outdated. Each endpoint is therefore used by a few
gateways. The method is the deterministic aperture of Finagle (Twitter, 2019) with weights. Endpoints are
placed on the ring in the order of a hash of their ids, each taking a length equal to its capacity. Gateways
are placed at equal distances, and each uses the arc that begins at its position. All arcs are equally long
and cover each point equally often, so the load is proportional to capacity without any coordination beyond
gateway numbers. While endpoint lists differ between gateways, their arcs differ too."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from typing import TypeVar

GATEWAYS_PER_POINT = 8  # number of gateways that use each endpoint, so that one or two of them may stop
MIN_SUBSET_CAPACITY = 6.0  # minimum capacity of a subset, in warm endpoints, so that one failure costs little
MIN_OVERLAP_RATIO = 0.5  # fraction of an endpoint's length that an arc must cover to include the endpoint

T = TypeVar("T")


def ring_position(endpoint_id: str) -> int:
    """Sort key of an endpoint on the ring; the same at every gateway."""
    return zlib.crc32(endpoint_id.encode())


def subset_ratio(capacity: float, gateway_count: int) -> float:
    """The fraction of the ring that one gateway's arc covers, above 0 and up to 1. `capacity`: total capacity
    of all endpoints."""
    if capacity <= 0 or gateway_count <= GATEWAYS_PER_POINT:
        return 1.0
    return min(1.0, max(GATEWAYS_PER_POINT / gateway_count, MIN_SUBSET_CAPACITY / capacity))


def subset_of(ring: Sequence[tuple[T, float]], gateway_count: int, gateway_number: int) -> list[T]:
    """The endpoints on one gateway's arc. `ring`: all endpoints in ring order, each with its capacity, which
    is 1 for a warm endpoint; `gateway_number`: counted from 0."""
    capacity = sum(weight for _, weight in ring)
    ratio = subset_ratio(capacity, gateway_count)
    if ratio >= 1:
        return [endpoint for endpoint, _ in ring]
    arc_start = gateway_number / gateway_count * capacity
    arc_end = arc_start + ratio * capacity
    position = 0.0
    chosen = []
    for endpoint, weight in ring:
        # The arc may wrap around the end of the ring, so the overlap is also computed one full turn further.
        overlap = sum(
            max(0.0, min(position + weight, arc_end - offset) - max(position, arc_start - offset))
            for offset in (0.0, capacity)
        )
        if overlap >= MIN_OVERLAP_RATIO * weight > 0:
            chosen.append(endpoint)
        position += weight
    return chosen
