"""The record of a request without a final response, and the set of request ids in use.

Both are owned by the table of open requests (request_table.py), which bounds their number by the requests'
deadlines."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable

from plumpick.gateway.clock import Timer
from plumpick.gateway.listeners.interface import DuplicateRequestIdError, IncomingRequest, ResponseSink
from plumpick.gateway.upstream.attempt import Attempt

# Time between two calls of RequestIds.expire: an id stays reserved for one to two such periods after its
# request has ended.
REQUEST_ID_RETENTION_MS = 2000.0


class OpenRequest:
    """A request from its submission until its one final response."""

    __slots__ = (
        "id",
        "client_id",
        "sink",
        "head",
        "body",
        "stream",
        "is_head",
        "plan",
        "units",
        "wait_ms",
        "deadline_ms",
        "deadline_timer",
        "backpressure_timer",
        "attempt_count",
        "responding_attempt",
    )

    def __init__(self, number: int, sink: ResponseSink, head: bytes, incoming: IncomingRequest) -> None:
        self.id = number
        self.client_id = incoming.id
        self.sink = sink
        self.head = head  # encoded head that all attempts share, see request_encoding.encode_head
        self.body = incoming.body
        self.stream = incoming.stream
        self.is_head = incoming.method == b"HEAD"
        self.plan = incoming.plan
        self.units = incoming.units
        self.wait_ms = 0.0  # time allowed for the response, from the submission or a streamed body's end
        self.deadline_ms = math.inf  # time of the final response; infinite until a streamed body is complete
        self.deadline_timer: Timer | None = None
        self.backpressure_timer: Timer | None = None  # set while reading of a streamed body may be paused
        self.attempt_count = 0
        self.responding_attempt: Attempt | None = None  # attempt whose response is streamed to the client


class RequestIds:
    """The x-request-id values of requests that are open or have recently ended. An id must be unique, also
    across clients: workers would take a second request with it for a retry of the first."""

    def __init__(self) -> None:
        self._open: set[bytes] = set()
        self._held: dict[bytes, float] = {}  # ends of the times for which ids in `_open` are held
        self._ended: set[bytes] = set()
        self._ended_before: set[bytes] = set()
        self._inherited: set[bytes] = set()  # reserved by the predecessor of a hot restart

    def _is_reserved(self, client_id: bytes) -> bool:
        if client_id in self._open or client_id in self._ended:
            return True
        return client_id in self._ended_before or client_id in self._inherited

    def claim(self, client_id: bytes) -> None:
        """Reserve an id for a new request; raises DuplicateRequestIdError if the id is in use."""
        if self._is_reserved(client_id):
            raise DuplicateRequestIdError(
                f"x-request-id {client_id.decode()!r} belongs to an open or recently ended request"
            )
        self._open.add(client_id)

    def release(self, client_id: bytes) -> None:
        """Mark an id as ended; it remains reserved until `expire` has been called twice."""
        self._open.discard(client_id)
        self._ended.add(client_id)

    def hold(self, client_id: bytes, until_ms: float) -> None:
        """Keep the id of a request that has ended reserved as if it were open until `until_ms`."""
        self._open.add(client_id)
        self._held[client_id] = until_ms

    def expire(self, now_ms: float) -> None:
        """Forget the ids released before the previous call, and release those held until now; to be called
        every REQUEST_ID_RETENTION_MS."""
        self._ended_before = self._ended
        self._ended = set()
        for client_id in [held for held, until_ms in self._held.items() if until_ms <= now_ms]:
            del self._held[client_id]
            self.release(client_id)

    def is_empty(self) -> bool:
        """Whether no id is reserved."""
        return not (self._open or self._ended or self._ended_before or self._inherited)

    # -- hot restart

    def export_reserved(self, max_ids: int) -> list[bytes]:
        """Return the reserved ids for the successor of a hot restart, at most `max_ids`: first those of open
        requests, then those that ended last."""
        reserved = itertools.chain(self._open, self._ended, self._ended_before, self._inherited)
        return list(itertools.islice(dict.fromkeys(reserved), max_ids))

    def inherit(self, client_ids: Iterable[bytes]) -> None:
        """Reserve the ids that the predecessor exported, until `release_inherited` is called."""
        self._inherited = set(client_ids)

    def inherit_one(self, client_id: bytes) -> None:
        """Reserve an id that the predecessor has claimed since its export."""
        self._inherited.add(client_id)

    def release_inherited(self) -> None:
        """Mark the inherited ids as ended, because the predecessor's requests have."""
        self._ended.update(self._inherited)
        self._inherited = set()
