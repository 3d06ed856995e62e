"""Which connections of clients may stay: how many, how long without a request, and who goes first.

A connection is in one of three tables, or in none while a request of it is open: it owes a request (it is
new, or one has begun to come in), it is idle after an answer, or it leaves. Each is in order of time."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from plumpick.gateway.listeners.interface import STALL_THRESHOLD_MS, SWEEP_INTERVAL_MS

if TYPE_CHECKING:
    from plumpick.gateway.listeners.http.connection import ClientConnection

# Of the descriptors: all of clients; those and what has not gone yet; idle ones that may stay for long; and
# what is a crowd of those that ask, as clients hold a third at most for requests.
MAX_CONNECTIONS_RATIO, HARD_MAX_CONNECTIONS_RATIO, MAX_LONG_IDLE_RATIO, CROWDED_RATIO = 0.38, 0.46, 0.02, 0.26
# Within so long a head must be whole, and so long after it a body, and longer by what has come of it; clients
# may take 2 s for a head, and are owed an error or a close within 3 s.
REQUEST_TIMEOUT_MS = 2500.0
SHUTDOWN_REQUEST_TIMEOUT_MS = 500.0  # and when the gatekeeper ends
MIN_IDLE_MS = 2000.0  # for so long an idle connection is left alone
NEW_CONNECTION_MS, STOPPED_SENDING_MS = (
    100.0,
    400.0,
)  # who means to ask begins within so long, and writes on within so long
CROWDED_IDLE_MS = 250.0  # or this long, while clients hold nearly all the connections that they may
MAX_IDLE_MS = 60_000.0  # after so long it is closed in any case
LINGER_MS, MAX_LINGER_MS = 1000.0, 5000.0  # what comes after our end is read; without a byte, in all
SHUTDOWN_LINGER_MS = 200.0  # and when the gatekeeper ends
# An answer of which nothing more is taken for so long is given up; when the gatekeeper ends.
UNREAD_RESPONSE_TIMEOUT_MS, SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS = 10_000.0, 1000.0


class ConnectionAdmission:
    """The connections of clients."""

    def __init__(self, sockets: int, now: float = -1.0) -> None:
        self.most = self.hard = self.idle_kept = self.crowd = 0
        self.limit(sockets)
        self.all: dict[ClientConnection, None] = {}  # in the order in which they came
        self._owing: dict[ClientConnection, float] = {}
        self._idle: dict[ClientConnection, float] = {}
        self._leaving: dict[ClientConnection, float] = {}
        self._swept_ms, self._look_ms = now, -1.0

    def limit(self, sockets: int) -> None:
        """How many descriptors the process may hold; who is over it goes when the next one comes."""
        self.most, self.hard = int(sockets * MAX_CONNECTIONS_RATIO), int(sockets * HARD_MAX_CONNECTIONS_RATIO)
        self.idle_kept, self.crowd = int(sockets * MAX_LONG_IDLE_RATIO), int(sockets * CROWDED_RATIO)

    def __len__(self) -> int:
        return len(self.all)

    def came(self, client: ClientConnection, now: float, spare: int = 0) -> bool:
        """A new connection; False if there is no room at all. `spare`: descriptors that nobody else uses now.

        Danger: after a stall of ours all that waits comes at one go, first those whose clients have long
        gone, last those that still wait for an answer. Whatever is over the limits goes once all are read."""
        if len(self.all) >= self.hard + spare:
            return False
        self.all[client] = None
        self._owing[client] = now
        return True

    def drop_ended(self, now: float, has_ended: Callable[[ClientConnection], bool]) -> bool:
        """Make room of connections whose clients have gone before we read anything of them; whether any was.
        Looked at again at once only if it helped: a crowd of those that stay costs one look in a while."""
        if now < self._look_ms:
            return False
        ended = [client for client in self._owing if not client.begun and has_ended(client)]
        self._look_ms = now if ended else now + SWEEP_INTERVAL_MS
        for client in ended:
            self.left(client)
            client.drop()
        return bool(ended)

    def left(self, client: ClientConnection) -> None:
        self.all.pop(client, None)
        self._drop(client)

    def _drop(self, client: ClientConnection) -> None:
        for table in (self._owing, self._idle, self._leaving):
            table.pop(client, None)

    def begins(self, client: ClientConnection, now: float) -> None:
        """A request begins to come in. A new connection's time counts from when it came."""
        self._idle.pop(client, None)
        self._owing.setdefault(client, now)

    def body_begins(self, client: ClientConnection, now: float) -> None:
        """The head is whole: what a body may take counts from here."""
        if client in self._owing:
            del self._owing[client]
            self._owing[client] = now

    def asked(self, client: ClientConnection) -> None:
        self._owing.pop(client, None)

    def answered(self, client: ClientConnection, now: float) -> None:
        self._idle[client] = now

    def leaves(self, client: ClientConnection, now: float) -> None:
        self._drop(client)
        self._leaving[client] = now

    def is_new(self, client: ClientConnection, now: float) -> bool:
        """Whether it has come just now. Danger: its first request may be on its way, and would be lost with
        it where nobody listens any more. Seen: written 0.6 ms before an ending gatekeeper closed it."""
        return now - self._owing.get(client, -math.inf) <= NEW_CONNECTION_MS

    def place(self, spare: int) -> int:
        """How many may stay, where so many descriptors are nobody's."""
        return min(self.hard, self.most + spare)

    def make_room(self, now: float, spare: int = 0) -> None:
        """Over the limit those go that are of least use. Who has a request open stays.

        Danger: in a crowd that never finishes its requests, who owes one for longest is a true client that
        writes slowly. So of those that have begun go first who stopped: a true one writes on."""
        over = len(self.all) - self.place(spare)
        if over <= 0:
            return
        silent = [one for one in self._owing if not one.begun]
        begun = sorted((one for one in self._owing if one.begun), key=lambda one: one.moved_ms)
        quiet = [one for one in silent if now - self._owing[one] > NEW_CONNECTION_MS]
        new = [one for one in silent if now - self._owing[one] <= NEW_CONNECTION_MS]
        stopped = [one for one in begun if now - one.moved_ms > STOPPED_SENDING_MS]
        going = [one for one in begun if now - one.moved_ms <= STOPPED_SENDING_MS]
        for client in [*self._leaving, *quiet, *self._idle, *stopped, *new, *going][:over]:
            self.left(client)
            client.drop()

    def send_away(self, now: float, unheard: bool) -> None:
        """Idle connections go; with `unheard` those too on which no request has come whole. Danger: who asks
        on a new connection whether we are up would get no answer, so that has a moment."""
        for client in list(self._idle):
            client.close_if_idle()
        for client in [one for one, since in self._owing.items() if now - since > CROWDED_IDLE_MS]:
            if unheard:
                client.send_away()
            else:
                client.close_if_idle()

    def late_ms(self, now: float) -> float:
        """How late the next sweep is; over STILL_MS we stood still for so long."""
        return now - self._swept_ms - SWEEP_INTERVAL_MS if self._swept_ms >= 0 else 0.0

    def sweep(self, now: float, ending: bool) -> None:
        """Close what has had its time.

        Danger: after a stall of ours this may come before what was sent meanwhile is read, and would
        close connections that hold whole requests. So a stall counts on nobody's time."""
        stood_ms = self.late_ms(now)
        self._swept_ms = now
        if stood_ms > STALL_THRESHOLD_MS:
            for table in (self._owing, self._idle, self._leaving):
                for client in table:
                    table[client] += stood_ms
            return
        owed_ms = SHUTDOWN_REQUEST_TIMEOUT_MS if ending else REQUEST_TIMEOUT_MS
        for client in [
            one
            for one, since in self._owing.items()
            if now - since > owed_ms and now - since > owed_ms + one.earned_ms()
        ]:
            client.give_up()
        # Clients hold only so many connections: those that asked once and stay would keep the others out.
        spared_ms = MIN_IDLE_MS if len(self._idle) > self.idle_kept else MAX_IDLE_MS
        crowd = len(self.all) - len(self._leaving) - self.crowd
        if crowd > 0:  # a client that means to ask does so at once
            quiet = [
                one for one, since in self._owing.items() if not one.begun and now - since > CROWDED_IDLE_MS
            ]
            quiet += [one for one, since in self._idle.items() if now - since > CROWDED_IDLE_MS]
            for client in quiet[:crowd]:
                client.close_if_idle()
        idle = [one for one, since in self._idle.items() if now - since > spared_ms]
        for client in idle[: len(self._idle) - self.idle_kept] if spared_ms == MIN_IDLE_MS else idle:
            client.close_if_idle()
        linger_ms, unread_ms = (
            (SHUTDOWN_LINGER_MS, SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS)
            if ending
            else (LINGER_MS, UNREAD_RESPONSE_TIMEOUT_MS)
        )
        for client in [one for one, since in self._leaving.items() if now - since > linger_ms]:
            left_over, before = client.unwritten(), client.left_over
            client.left_over = left_over
            if left_over and (left_over != before or now - self._leaving[client] <= unread_ms):
                if left_over != before:  # its client reads, if slowly: the answer goes on
                    self._leaving[client] = now
            elif client.heard and now - client.leaving_ms < MAX_LINGER_MS and not ending:
                client.heard = False
                self._leaving[client] = self._leaving.pop(client) + LINGER_MS
            else:
                client.drop()
