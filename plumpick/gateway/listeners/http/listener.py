"""The HTTP front: its connections, which of them may stay, and the way of a request to the core."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.gateway.listeners.http.connection import ClientConnection, ParsedRequest
from plumpick.gateway.listeners.http.connection_admission import ConnectionAdmission
from plumpick.gateway.listeners.http.validation import BadRequestError, RequestValidator, origin_form
from plumpick.gateway.listeners.interface import DuplicateRequestIdError, IncomingRequest, RequestGateway
from plumpick.policy.draining import AdmissionState
from plumpick.policy.settings import Settings


class HttpListener:
    """All HTTP connections of clients. `has_ended` looks whether a transport's other side has ended it,
    `is_quiet` whether nothing waits on it unread."""

    def __init__(
        self,
        core: RequestGateway,
        settings: Settings,
        sockets: int,
        has_ended: Callable[[Any], bool],
        is_quiet: Callable[[Any], bool] = lambda _transport: True,
    ) -> None:
        self.core, self.has_ended, self.looks_quiet = core, has_ended, is_quiet
        self.admission = ConnectionAdmission(sockets, core.clock.now())
        self.forms = RequestValidator(settings)
        self._making_room = False

    def connection(self) -> ClientConnection:
        """One more, for a listener."""
        return ClientConnection(self)

    def kept_connection(self) -> ClientConnection:
        """One that another process of ours has kept for its client: it owes nothing."""
        client = ClientConnection(self)
        client.kept = True
        return client

    # -- what connections tell

    def came(self, client: ClientConnection) -> None:
        now, spare = self.core.clock.now(), self.core.spare_descriptors()
        if not self.admission.came(client, now, spare) and not (
            self.admission.drop_ended(now, lambda other: self.has_ended(other.transport))
            and self.admission.came(client, now, spare)
        ):
            client.drop()
        elif len(self.admission) > self.admission.place(spare) and not self._making_room:
            # Not at once: of those that came in one go, who has a request here is read first, and stays.
            self._making_room = True
            self.core.timers.at(self.core.clock.now() + 1.0, self._make_room)
        if client.kept:
            self.admission.asked(client)
            self.admission.answered(client, now)

    def _make_room(self) -> None:
        self._making_room = False
        self.admission.make_room(self.core.clock.now(), self.core.spare_descriptors())

    def begins(self, client: ClientConnection) -> None:
        self.admission.begins(client, self.core.clock.now())

    def take(self, client: ClientConnection, coming: ParsedRequest) -> Any:
        """A request has come in: whole, or with a body that goes on while it comes, as it is too large to be
        kept. Raises BadRequest."""
        method, headers, target = coming.method, coming.headers, origin_form(coming.url)
        form = self.forms.read(method, target, headers, bool(coming.body) or not coming.whole)
        if not coming.whole:
            coming.stream = self.core.stream(client, coming.length)
        body = bytes(coming.body) if coming.whole else b""
        try:
            request = self.core.take(
                client,
                IncomingRequest(
                    *form, method, target, headers.get(b"content-type"), body, coming.came_ms, coming.stream
                ),
            )
        except DuplicateRequestIdError as problem:
            raise BadRequestError(str(problem), 409) from problem
        self.admission.asked(client)
        return request

    def answered(self, client: ClientConnection) -> None:
        self.admission.answered(client, self.core.clock.now())

    def left(self, client: ClientConnection, request: Any) -> None:
        self.admission.left(client)
        if request is not None:
            self.core.left(request)

    # -- what the core asks

    def late_ms(self, now: float) -> float:
        return self.admission.late_ms(now)

    def sweep(self, now: float, ending: bool) -> None:
        self.admission.sweep(now, ending)
        if self.core.door >= AdmissionState.CLOSING_IDLE:
            self.admission.send_away(now, self.core.door >= AdmissionState.CLOSING_UNREAD)

    def close_idle(self) -> None:
        now = self.core.clock.now()
        for client in list(self.admission.all):
            if not self.admission.is_new(client, now):
                client.close_if_idle()

    def connections(self) -> int:
        return len(self.admission)

    def limit(self, sockets: int) -> None:
        self.admission.limit(sockets)

    def reconfigure(self, settings: Settings) -> None:
        self.forms = RequestValidator(settings)

    def give_idle(self, take: Callable[[Any], None]) -> None:
        """Give the connections on which nothing is open to another process. `take` gets each one's transport
        and keeps its own copy of the descriptor.

        Danger: what is not written of an answer does not pass over, and the rest of it would never come, or
        the next one in its place. Such a connection stays here."""
        for client in [one for one in self.admission.all if one.is_idle() and not one.unwritten()]:
            client.give(take)

    def busy(self) -> bool:
        return bool(self.admission)

    def unwritten(self) -> bool:
        return any(client.unwritten() for client in self.admission.all)
