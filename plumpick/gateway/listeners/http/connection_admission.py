"""Which connections of clients may stay: how many, how long without a request, and which close first.

A connection is in one of three tables, or in none while a request of it is open: it is awaiting a request (it
is new, or a request has started to come in), it is idle after a response, or it is closing. Each table is in
order of time. Nothing is raised: a connection that may not stay is closed."""

from __future__ import annotations

import math
from collections.abc import Callable

from plumpick.gateway.listeners.interface import STALL_THRESHOLD_MS, SWEEP_INTERVAL_MS

# Of the descriptors that the process may hold:
MAX_CONNECTIONS_RATIO = 0.38  # all connections of clients,
HARD_MAX_CONNECTIONS_RATIO = 0.46  # those and what has not closed yet,
MAX_LONG_IDLE_RATIO = 0.02  # idle ones that may stay for long,
CROWDED_RATIO = 0.26  # and when idle time is short: clients hold a third at most for requests.

# Within so long a head has to be complete, and so long after it a body, and longer by what has come of it;
# clients may take 2 s for a head, and are owed an error or a close within 3 s.
REQUEST_TIMEOUT_MS = 2500.0
SHUTDOWN_REQUEST_TIMEOUT_MS = 500.0
MIN_IDLE_MS = 2000.0  # for so long an idle connection stays
CROWDED_IDLE_MS = 250.0  # and for so long while clients hold nearly all the connections that they may
MAX_IDLE_MS = 60_000.0
NEW_CONNECTION_MS = 100.0  # a client that means to send a request starts within so long,
STOPPED_SENDING_MS = 400.0  # and sends on within so long
LINGER_MS = 1000.0  # what comes after our end of a connection is read for so long without a byte,
MAX_LINGER_MS = 5000.0  # and in all
SHUTDOWN_LINGER_MS = 200.0
UNREAD_RESPONSE_TIMEOUT_MS = 10_000.0  # a response of which nothing is taken for so long is given up
SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS = 1000.0


class AdmittedConnection:
    """A connection as its admission knows it."""

    def __init__(self) -> None:
        self.request_started = False  # a request is coming in, and none is open
        self.last_activity_ms = 0.0  # when bytes came last
        self.received_while_closing = False  # since the last sweep
        self.closing_since_ms = 0.0
        self.unwritten_at_last_sweep = 0  # bytes

    def abort(self) -> None:
        """Close at once."""
        raise NotImplementedError

    def close_if_idle(self) -> None:
        """Close, unless a request is open or coming in."""
        raise NotImplementedError

    def time_out_request(self) -> None:
        """The time for a complete request is over."""
        raise NotImplementedError

    def reject_incomplete_request(self) -> None:
        """No request is accepted any more."""
        raise NotImplementedError

    def unwritten_bytes(self) -> int:
        """Bytes of responses that the system has not taken yet."""
        raise NotImplementedError

    def body_time_allowance_ms(self) -> float:
        """By how much the body received so far extends the time for the request."""
        raise NotImplementedError


class ConnectionAdmission:
    """The connections of clients, and the limits on them."""

    def __init__(self, sockets: int, now: float = -1.0) -> None:
        self.max_connections = 0
        self.hard_max_connections = 0
        self.max_long_idle = 0
        self.crowded_connections = 0
        self.set_descriptor_limit(sockets)
        self.connections: dict[AdmittedConnection, None] = {}  # in the order in which they came
        self._awaiting_request: dict[AdmittedConnection, float] = {}  # since when
        self._idle: dict[AdmittedConnection, float] = {}  # since when
        self._closing: dict[AdmittedConnection, float] = {}  # since when, or since something moved
        self._last_sweep_ms = now  # below 0: never
        self._next_eviction_ms = -1.0

    def set_descriptor_limit(self, sockets: int) -> None:
        """How many descriptors the process may hold; excess ones close when the next connection comes."""
        self.max_connections = int(sockets * MAX_CONNECTIONS_RATIO)
        self.hard_max_connections = int(sockets * HARD_MAX_CONNECTIONS_RATIO)
        self.max_long_idle = int(sockets * MAX_LONG_IDLE_RATIO)
        self.crowded_connections = int(sockets * CROWDED_RATIO)

    def __len__(self) -> int:
        return len(self.connections)

    def admit(self, connection: AdmittedConnection, now: float, spare: int = 0) -> bool:
        """A new connection; False if it is over the hard limit. `spare`: descriptors that nobody else uses.

        After a stall of this process all that waits comes in one go, first those whose clients have long
        gone, last those that still wait for a response. What is over the soft limit closes once all are
        read."""
        if len(self.connections) >= self.hard_max_connections + spare:
            return False
        self.connections[connection] = None
        self._awaiting_request[connection] = now
        return True

    def evict_disconnected(self, now: float, has_ended: Callable[[AdmittedConnection], bool]) -> bool:
        """Close connections whose clients have gone before anything of them was read; whether any was.
        Tried again at once only if it helped: each try asks the system about all of them."""
        if now < self._next_eviction_ms:
            return False
        ended = [one for one in self._awaiting_request if not one.request_started and has_ended(one)]
        self._next_eviction_ms = now if ended else now + SWEEP_INTERVAL_MS
        for connection in ended:
            self.remove(connection)
            connection.abort()
        return bool(ended)

    # -- what happens on a connection

    def remove(self, connection: AdmittedConnection) -> None:
        """It is closed."""
        self.connections.pop(connection, None)
        self._remove_from_tables(connection)

    def _remove_from_tables(self, connection: AdmittedConnection) -> None:
        for table in (self._awaiting_request, self._idle, self._closing):
            table.pop(connection, None)

    def on_request_started(self, connection: AdmittedConnection, now: float) -> None:
        """A request starts to come in. The time of a new connection counts from when it came."""
        self._idle.pop(connection, None)
        self._awaiting_request.setdefault(connection, now)

    def on_body_started(self, connection: AdmittedConnection, now: float) -> None:
        """The head is complete: the time for the body counts from here."""
        if connection in self._awaiting_request:
            del self._awaiting_request[connection]
            self._awaiting_request[connection] = now

    def on_request_received(self, connection: AdmittedConnection) -> None:
        """A request is complete, or its body is being streamed."""
        self._awaiting_request.pop(connection, None)

    def on_response_sent(self, connection: AdmittedConnection, now: float) -> None:
        """The connection is idle."""
        self._idle[connection] = now

    def on_closing(self, connection: AdmittedConnection, now: float) -> None:
        """Our side of the connection has ended."""
        self._remove_from_tables(connection)
        self._closing[connection] = now

    def is_new(self, connection: AdmittedConnection, now: float) -> bool:
        """Whether it has come just now: its first request may be on its way, and would be lost if the
        connection closed."""
        return now - self._awaiting_request.get(connection, -math.inf) <= NEW_CONNECTION_MS

    # -- limits

    def capacity(self, spare: int) -> int:
        """How many may stay, where so many descriptors are unused."""
        return min(self.hard_max_connections, self.max_connections + spare)

    def evict_excess(self, now: float, spare: int = 0) -> None:
        """Over the limit those close that are of least use; not those with an open request.

        In a crowd that never completes its requests, the one that waits longest is a real client that writes
        slowly. So of those whose request has started the ones that stopped sending close first."""
        excess = len(self.connections) - self.capacity(spare)
        if excess <= 0:
            return
        silent = [one for one in self._awaiting_request if not one.request_started]
        started = sorted(
            (one for one in self._awaiting_request if one.request_started),
            key=lambda one: one.last_activity_ms,
        )
        old_silent = [one for one in silent if now - self._awaiting_request[one] > NEW_CONNECTION_MS]
        new_silent = [one for one in silent if now - self._awaiting_request[one] <= NEW_CONNECTION_MS]
        stopped = [one for one in started if now - one.last_activity_ms > STOPPED_SENDING_MS]
        sending = [one for one in started if now - one.last_activity_ms <= STOPPED_SENDING_MS]
        by_use = [*self._closing, *old_silent, *self._idle, *stopped, *new_silent, *sending]
        for connection in by_use[:excess]:
            self.remove(connection)
            connection.abort()

    def close_for_draining(self, now: float, reject_incomplete: bool) -> None:
        """Close idle connections; with `reject_incomplete` also those on which no request is complete. A new
        connection has a moment: it may ask whether this process is up."""
        for connection in list(self._idle):
            connection.close_if_idle()
        waiting = [one for one, since in self._awaiting_request.items() if now - since > CROWDED_IDLE_MS]
        for connection in waiting:
            if reject_incomplete:
                connection.reject_incomplete_request()
            else:
                connection.close_if_idle()

    # -- the sweep

    def sweep_delay_ms(self, now: float) -> float:
        """How late the next sweep is; over STALL_THRESHOLD_MS this process stalled for so long."""
        return now - self._last_sweep_ms - SWEEP_INTERVAL_MS if self._last_sweep_ms >= 0 else 0.0

    def sweep(self, now: float, is_shutting_down: bool) -> None:
        """Close what has had its time.

        After a stall of this process the sweep may come before what was sent meanwhile is read, and would
        close connections that hold complete requests. So a stall counts on no connection's time."""
        stalled_ms = self.sweep_delay_ms(now)
        self._last_sweep_ms = now
        if stalled_ms > STALL_THRESHOLD_MS:
            for table in (self._awaiting_request, self._idle, self._closing):
                for connection in table:
                    table[connection] += stalled_ms
            return
        self._time_out_requests(now, SHUTDOWN_REQUEST_TIMEOUT_MS if is_shutting_down else REQUEST_TIMEOUT_MS)
        self._close_idle(now)
        self._end_lingering(now, is_shutting_down)

    def _time_out_requests(self, now: float, timeout_ms: float) -> None:
        overdue = [
            one
            for one, since in self._awaiting_request.items()
            if now - since > timeout_ms and now - since > timeout_ms + one.body_time_allowance_ms()
        ]
        for connection in overdue:
            connection.time_out_request()

    def _close_idle(self, now: float) -> None:
        """Clients hold only so many connections: those that asked once and stay would keep others out."""
        has_many_idle = len(self._idle) > self.max_long_idle
        max_idle_ms = MIN_IDLE_MS if has_many_idle else MAX_IDLE_MS
        excess = len(self.connections) - len(self._closing) - self.crowded_connections
        if excess > 0:  # a client that means to send a request does so at once
            quiet = [
                one
                for one, since in self._awaiting_request.items()
                if not one.request_started and now - since > CROWDED_IDLE_MS
            ]
            quiet += [one for one, since in self._idle.items() if now - since > CROWDED_IDLE_MS]
            for connection in quiet[:excess]:
                connection.close_if_idle()
        idle = [one for one, since in self._idle.items() if now - since > max_idle_ms]
        if has_many_idle:
            idle = idle[: len(self._idle) - self.max_long_idle]
        for connection in idle:
            connection.close_if_idle()

    def _end_lingering(self, now: float, is_shutting_down: bool) -> None:
        """Close those whose client has read its response, and sends nothing more or too long."""
        linger_ms = SHUTDOWN_LINGER_MS if is_shutting_down else LINGER_MS
        unread_ms = SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS if is_shutting_down else UNREAD_RESPONSE_TIMEOUT_MS
        for connection in [one for one, since in self._closing.items() if now - since > linger_ms]:
            unwritten = connection.unwritten_bytes()
            before = connection.unwritten_at_last_sweep
            connection.unwritten_at_last_sweep = unwritten
            if unwritten and unwritten != before:  # its client reads, if slowly
                self._closing[connection] = now
            elif unwritten and now - self._closing[connection] <= unread_ms:
                continue
            elif self._may_linger_on(connection, now) and not is_shutting_down:
                connection.received_while_closing = False
                self._closing[connection] = self._closing.pop(connection) + LINGER_MS
            else:
                connection.abort()

    @staticmethod
    def _may_linger_on(connection: AdmittedConnection, now: float) -> bool:
        return connection.received_while_closing and now - connection.closing_since_ms < MAX_LINGER_MS
