"""Grants of a budget, and the requests for grants that may still be answered."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PENDING_REQUESTS = 16  # maximum number of unanswered grant requests kept for one budget


@dataclass(frozen=True, slots=True)
class Grant:
    """The part of a budget that an allocator grants to one gateway. It expires one grant term after the
    gateway sent the request for it.

    `amount`: units per second of a rate budget, or units of a concurrency budget. `burst`: capacity of the
    token bucket for the grant, in units. `initial_tokens`: units that are put into that bucket
    immediately."""

    request_id: int
    fencing_token: int
    amount: float
    burst: float = 0.0
    initial_tokens: float = 0.0


class PendingRequests:
    """The times at which requests for grants of one budget were sent. A grant that answers any other request
    is rejected, and the term of a grant counts from the time of its request. Keeps the last
    `MAX_PENDING_REQUESTS`; the oldest is dropped."""

    def __init__(self) -> None:
        self._last_id = 0
        self._sent_ms: dict[int, float] = {}

    def open(self, now_ms: float) -> int:
        """Record a new request, sent now, and return its id."""
        self._last_id += 1
        self._sent_ms[self._last_id] = now_ms
        if len(self._sent_ms) > MAX_PENDING_REQUESTS:
            del self._sent_ms[next(iter(self._sent_ms))]
        return self._last_id

    def sent_ms(self, request_id: int) -> float | None:
        """Time at which a request was sent; None if it is unknown or no longer accepts an answer."""
        return self._sent_ms.get(request_id)

    def export_state(self) -> list[list[float]]:
        """Return the last request id and the pending requests as rows, for the next process of a hot restart,
        which receives the late answers."""
        return [[self._last_id, 0.0], *([request_id, sent] for request_id, sent in self._sent_ms.items())]

    def import_state(self, rows: list[list[float]]) -> None:
        """Replace the state with rows from `export_state`. Raises ValueError or TypeError for malformed rows,
        and then leaves the state unchanged."""
        (last_id, _), *sent = [(int(request_id), float(ms)) for request_id, ms in rows]
        self._last_id = last_id
        self._sent_ms = dict(sent[-MAX_PENDING_REQUESTS:])
