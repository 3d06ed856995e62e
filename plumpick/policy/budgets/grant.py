"""A grant of a budget, and the requests for one that may still be answered."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PENDING_REQUESTS = 16


@dataclass(frozen=True, slots=True)
class Grant:
    """What an allocator grants one gateway, until one grant term after the gateway sent the request.

    `amount`: units a second of a rate, or units of a concurrency. `burst`: the capacity of its token bucket,
    and `initial_tokens` what is put into that bucket at once, in units."""

    request_id: int
    fencing_token: int
    amount: float
    burst: float = 0.0
    initial_tokens: float = 0.0


class PendingRequests:
    """When each request for a grant was sent: an answer to any other is rejected, and a grant's end counts
    from here. Table: the last `MAX_PENDING_REQUESTS`; the oldest is dropped."""

    def __init__(self) -> None:
        self._last_id = 0
        self._sent_ms: dict[int, float] = {}

    def open(self, now_ms: float) -> int:
        """The id of a new request, sent now."""
        self._last_id += 1
        self._sent_ms[self._last_id] = now_ms
        if len(self._sent_ms) > MAX_PENDING_REQUESTS:
            del self._sent_ms[next(iter(self._sent_ms))]
        return self._last_id

    def sent_ms(self, request_id: int) -> float | None:
        """When that request was sent; None where it may not be answered any more."""
        return self._sent_ms.get(request_id)

    def export_state(self) -> list[list[float]]:
        """Rows for the next process, to which late answers belong."""
        return [[self._last_id, 0.0], *([request_id, sent] for request_id, sent in self._sent_ms.items())]

    def import_state(self, rows: list[list[float]]) -> None:
        """Go on from those rows. Raises ValueError or TypeError, and then nothing has changed."""
        (last_id, _), *sent = [(int(request_id), float(ms)) for request_id, ms in rows]
        self._last_id = last_id
        self._sent_ms = dict(sent[-MAX_PENDING_REQUESTS:])
