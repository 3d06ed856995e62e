"""Admission and eviction of client connections: limits on their number, their idle time and their requests.

A connection is in one of four tables: awaiting a request (it is new, or a request is partly received), idle
after a response, unread (its client does not take the responses), or closing. While one of its requests is
open it is in none of them. Each table is ordered by time. No method raises; a connection that exceeds a limit
is closed."""

from __future__ import annotations

import math
from collections.abc import Callable

from plumpick.gateway.listeners.interface import STALL_THRESHOLD_MS, SWEEP_INTERVAL_MS, EndReason

# Limits on client connections, as shares of the process's descriptor limit.
MAX_CONNECTIONS_RATIO = 0.38  # maximum number of connections (soft limit)
# Maximum number of connections, including excess ones that are not evicted yet.
HARD_MAX_CONNECTIONS_RATIO = 0.46
MAX_LONG_IDLE_RATIO = 0.02  # maximum number of idle connections that may stay longer than MIN_IDLE_MS
# Number of open connections above which idle ones are closed after CROWDED_IDLE_MS. It is below the maximum,
# as connections with an open request take at most a third of the descriptors.
CROWDED_RATIO = 0.26

# Time limit for receiving a head, and after it for a body, which is extended by the bytes received. Clients
# may take 2 s for a head, and must get an error or a close within 3 s.
REQUEST_TIMEOUT_MS = 2500.0
# Time limit for a request during a shutdown, in place of REQUEST_TIMEOUT_MS.
SHUTDOWN_REQUEST_TIMEOUT_MS = 500.0
MIN_IDLE_MS = 2000.0  # time for which an idle connection stays open unless connections are crowded
CROWDED_IDLE_MS = 250.0  # idle time while connections are crowded (CROWDED_RATIO), in place of MIN_IDLE_MS
MAX_IDLE_MS = 60_000.0  # time for which up to MAX_LONG_IDLE_RATIO of idle connections may stay open
NEW_CONNECTION_MS = 100.0  # time within which a genuine client starts to send its first request
STOPPED_SENDING_MS = 400.0  # time without bytes of a started request after which its client has stopped
LINGER_MS = 1000.0  # time without input for which a half-closed connection is still read
MAX_LINGER_MS = 5000.0  # total time for which a half-closed connection is still read
SHUTDOWN_LINGER_MS = 200.0  # limit on time without input during a shutdown, in place of LINGER_MS
UNREAD_RESPONSE_TIMEOUT_MS = 10_000.0  # time without progress in writing after which a response is dropped
SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS = 1000.0  # limit on time without progress in a shutdown
# Limit on time without progress while the memory is exhausted. A client that reads at 64 kB a second may show
# no progress for some seconds, as the kernels announce the room for further bytes in large steps.
EXHAUSTED_UNREAD_RESPONSE_TIMEOUT_MS = 4000.0
# Time without bytes of a started request after which it is rejected while the memory is exhausted.
EXHAUSTED_STOPPED_SENDING_MS = 1000.0


class AdmittedConnection:
    """The part of a client connection that its admission uses."""

    def __init__(self) -> None:
        self.request_started = False  # whether a request is partly received while no other is open
        self.last_activity_ms = 0.0  # time at which bytes were last received
        self.received_while_closing = False  # whether bytes were received since the last sweep
        self.closing_since_ms = 0.0
        self.undelivered_at_last_sweep = 0  # number of response bytes that the client had not acknowledged

    def abort(self, reason: EndReason = EndReason.CLIENT_LEFT) -> None:
        """Close the connection at once, for this reason."""
        raise NotImplementedError

    def close_if_idle(self) -> None:
        """Close the connection unless a request is open or partly received."""
        raise NotImplementedError

    def time_out_request(self) -> None:
        """Close the connection because no complete request was received in time."""
        raise NotImplementedError

    def reject_incomplete_request(self) -> None:
        """Close the connection because draining excludes further requests."""
        raise NotImplementedError

    def has_unanswered_request(self) -> bool:
        """Whether a request was read whole and has no response yet."""
        raise NotImplementedError

    def undelivered_bytes(self) -> int:
        """Return the number of response bytes that the client's machine has not acknowledged."""
        raise NotImplementedError

    def body_time_allowance_ms(self) -> float:
        """Return by how much the body bytes received so far extend the time limit of the request."""
        raise NotImplementedError


class ConnectionAdmission:
    """The table of client connections, which enforces the limits on their number and times."""

    def __init__(self, sockets: int, now: float = -1.0) -> None:
        self.max_connections = 0
        self.hard_max_connections = 0
        self.max_long_idle = 0
        self.crowded_connections = 0
        self.set_descriptor_limit(sockets)
        self.connections: dict[AdmittedConnection, None] = {}  # all open connections in order of arrival
        self._awaiting_request: dict[AdmittedConnection, float] = {}  # start of the time limit by connection
        self._idle: dict[AdmittedConnection, float] = {}  # time of the latest response by connection
        # Start of a full write buffer, or time of the latest progress, by connection.
        self._unread: dict[AdmittedConnection, float] = {}
        # Start of closing, or time of the latest progress, by connection.
        self._closing: dict[AdmittedConnection, float] = {}
        self._last_sweep_ms = now  # time of the last sweep; below 0 until the first sweep
        self._next_eviction_ms = -1.0
        self._next_rejection_ms = -1.0
        self.is_memory_exhausted = False  # whether clients that have stopped are closed sooner

    def set_descriptor_limit(self, sockets: int) -> None:
        """Derive the limits from the process's descriptor limit. Excess connections are closed when the next
        one arrives."""
        self.max_connections = int(sockets * MAX_CONNECTIONS_RATIO)
        self.hard_max_connections = int(sockets * HARD_MAX_CONNECTIONS_RATIO)
        self.max_long_idle = int(sockets * MAX_LONG_IDLE_RATIO)
        self.crowded_connections = int(sockets * CROWDED_RATIO)

    def __len__(self) -> int:
        return len(self.connections)

    def admit(self, connection: AdmittedConnection, now: float, spare_descriptors: int = 0) -> bool:
        """Add a new connection; returns False if the hard limit is reached. `spare_descriptors`:
        number of further descriptors that no other part of the process needs now.

        After a stall of this process all waiting connections arrive together. The first ones are of clients
        that have given up, and the last ones of clients that still wait for a response. So connections above
        the soft limit are evicted only once all have been read."""
        if len(self.connections) >= self.hard_max_connections + spare_descriptors:
            return False
        self.connections[connection] = None
        self._awaiting_request[connection] = now
        return True

    def evict_disconnected(self, now: float, has_closed: Callable[[AdmittedConnection], bool]) -> bool:
        """Close the connections whose clients disconnected before anything was read from them; returns
        whether there were any. If not, the next try is delayed by SWEEP_INTERVAL_MS, since each try makes a
        system call for every waiting connection."""
        if now < self._next_eviction_ms:
            return False
        closed = [conn for conn in self._awaiting_request if not conn.request_started and has_closed(conn)]
        self._next_eviction_ms = now if closed else now + SWEEP_INTERVAL_MS
        for connection in closed:
            self.remove(connection)
            connection.abort()
        return bool(closed)

    def reject_stopped(self, now: float, needing: AdmittedConnection) -> None:
        """Reject the partly received requests whose clients have stopped sending, other than that of
        `needing`. If there are none, the next try is delayed by SWEEP_INTERVAL_MS, since each try looks at
        every waiting connection."""
        if now < self._next_rejection_ms:
            return
        stopped = [
            conn
            for conn in self._awaiting_request
            if conn.request_started
            and now - conn.last_activity_ms > EXHAUSTED_STOPPED_SENDING_MS
            and conn is not needing
            and not conn.has_unanswered_request()
        ]
        self._next_rejection_ms = now if stopped else now + SWEEP_INTERVAL_MS
        for connection in stopped:
            connection.reject_incomplete_request()

    # -- events of a connection

    def remove(self, connection: AdmittedConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)
        self._remove_from_tables(connection)

    def _remove_from_tables(self, connection: AdmittedConnection) -> None:
        for table in self._tables():
            table.pop(connection, None)

    def _tables(self) -> tuple[dict[AdmittedConnection, float], ...]:
        return self._awaiting_request, self._idle, self._unread, self._closing

    def on_request_started(self, connection: AdmittedConnection, now: float) -> None:
        """Start the time limit of a request whose first byte was received. For the first request of a
        connection it already runs from the connection's arrival."""
        self._idle.pop(connection, None)
        self._awaiting_request.setdefault(connection, now)

    def on_body_started(self, connection: AdmittedConnection, now: float) -> None:
        """Restart the time limit for the body of a request whose head is complete."""
        self._restart_time_limit(connection, now)

    def on_request_rejected(self, connection: AdmittedConnection, now: float) -> None:
        """Restart the time limit for the request behind an invalid one. A connection that brings no valid
        request is closed when it ends."""
        self._restart_time_limit(connection, now)

    def _restart_time_limit(self, connection: AdmittedConnection, now: float) -> None:
        if connection in self._awaiting_request:
            del self._awaiting_request[connection]
            self._awaiting_request[connection] = now

    def on_request_received(self, connection: AdmittedConnection) -> None:
        """End the time limit of a request that is complete or whose body is now streamed."""
        self._awaiting_request.pop(connection, None)

    def on_response_sent(self, connection: AdmittedConnection, now: float) -> None:
        """Record a connection as idle after a response."""
        self._idle[connection] = now

    def on_response_unread(self, connection: AdmittedConnection, now: float) -> None:
        """Record a connection whose client does not take its responses: the write buffer is full."""
        self._unread[connection] = now

    def on_response_read(self, connection: AdmittedConnection) -> None:
        """Remove a connection from the unread ones: its client has taken the responses."""
        self._unread.pop(connection, None)

    def on_closing(self, connection: AdmittedConnection, now: float) -> None:
        """Record a connection as closing: this side of it has been shut down."""
        self._remove_from_tables(connection)
        self._closing[connection] = now

    def is_new(self, connection: AdmittedConnection, now: float) -> bool:
        """Whether the connection arrived within NEW_CONNECTION_MS: closing it might lose a first request that
        is still in transit."""
        return now - self._awaiting_request.get(connection, -math.inf) <= NEW_CONNECTION_MS

    # -- limits on the number of connections

    def capacity(self, spare_descriptors: int) -> int:
        """Return how many connections may stay open if `spare_descriptors` further ones are unused."""
        return min(self.hard_max_connections, self.max_connections + spare_descriptors)

    def evict_excess(self, now: float, spare_descriptors: int = 0) -> None:
        """Close the least useful connections above the limit; those with a request that was read whole are
        exempt.

        Among many connections that never complete a request, the oldest with a started request may be a real
        client that sends slowly. So among started requests, those whose client stopped sending are closed
        first. Connections with response bytes that their client still takes are closed last."""
        excess = len(self.connections) - self.capacity(spare_descriptors)
        if excess <= 0:
            return
        unstarted = [conn for conn in self._awaiting_request if not conn.request_started]
        started = sorted(
            (
                conn
                for conn in self._awaiting_request
                if conn.request_started and not conn.has_unanswered_request()
            ),
            key=lambda conn: conn.last_activity_ms,
        )
        old = [conn for conn in unstarted if now - self._awaiting_request[conn] > NEW_CONNECTION_MS]
        new = [conn for conn in unstarted if now - self._awaiting_request[conn] <= NEW_CONNECTION_MS]
        stopped = [conn for conn in started if now - conn.last_activity_ms > STOPPED_SENDING_MS]
        sending = [conn for conn in started if now - conn.last_activity_ms <= STOPPED_SENDING_MS]
        delivered = [conn for conn in self._closing if not conn.undelivered_bytes()]
        stuck, taking = self._split_unread(now)
        eviction_order = [*delivered, *old, *self._idle, *stuck, *stopped, *new, *sending, *taking]
        for connection in eviction_order[:excess]:
            self.remove(connection)
            connection.abort(EndReason.EVICTED)

    def _split_unread(self, now: float) -> tuple[list[AdmittedConnection], list[AdmittedConnection]]:
        """Return the connections with response bytes that their client has not taken: first those whose
        client has taken nothing for long, then the others."""
        stuck: list[AdmittedConnection] = []
        taking: list[AdmittedConnection] = []
        for table in (self._unread, self._closing):
            for connection, since in table.items():
                if not connection.undelivered_bytes():
                    continue
                has_stopped = now - since > EXHAUSTED_UNREAD_RESPONSE_TIMEOUT_MS
                (stuck if has_stopped else taking).append(connection)
        return stuck, taking

    def close_for_draining(self, now: float, reject_incomplete: bool) -> None:
        """Close idle connections; with `reject_incomplete` also those with a partly received request. A new
        connection stays for CROWDED_IDLE_MS, since it may bring a readiness check."""
        for connection in list(self._idle):
            connection.close_if_idle()
        waiting = [conn for conn, since in self._awaiting_request.items() if now - since > CROWDED_IDLE_MS]
        for connection in waiting:
            if reject_incomplete:
                connection.reject_incomplete_request()
            else:
                connection.close_if_idle()

    # -- sweep of connections that have timed out

    def sweep_delay_ms(self, now: float) -> float:
        """Return by how much the next sweep is overdue; above STALL_THRESHOLD_MS that is a stall."""
        return now - self._last_sweep_ms - SWEEP_INTERVAL_MS if self._last_sweep_ms >= 0 else 0.0

    def sweep(self, now: float, is_shutting_down: bool) -> None:
        """Close the connections that have exceeded their time limits.

        After a stall of this process the sweep may run before bytes that arrived meanwhile are read, and
        would close connections with complete requests. So all time limits are extended by the stall."""
        stalled_ms = self.sweep_delay_ms(now)
        self._last_sweep_ms = now
        if stalled_ms > STALL_THRESHOLD_MS:
            for table in self._tables():
                for connection in table:
                    table[connection] += stalled_ms
            return
        self._time_out_requests(now, SHUTDOWN_REQUEST_TIMEOUT_MS if is_shutting_down else REQUEST_TIMEOUT_MS)
        self._close_idle(now)
        self._end_unread(now, is_shutting_down)
        self._end_lingering(now, is_shutting_down)

    def _time_out_requests(self, now: float, timeout_ms: float) -> None:
        overdue = [
            conn
            for conn, since in self._awaiting_request.items()
            if now - since > timeout_ms and now - since > timeout_ms + conn.body_time_allowance_ms()
        ]
        for connection in overdue:
            connection.time_out_request()

    def _close_idle(self, now: float) -> None:
        """Close idle connections by time, sooner if connections are crowded or many are idle: since the
        number of connections is limited, idle ones would keep other clients out."""
        has_many_idle = len(self._idle) > self.max_long_idle
        max_idle_ms = MIN_IDLE_MS if has_many_idle else MAX_IDLE_MS
        excess = len(self.connections) - len(self._closing) - self.crowded_connections
        if excess > 0:  # a genuine client sends its request without delay
            candidates = [
                conn
                for conn, since in self._awaiting_request.items()
                if not conn.request_started and now - since > CROWDED_IDLE_MS
            ]
            candidates += [conn for conn, since in self._idle.items() if now - since > CROWDED_IDLE_MS]
            for connection in candidates[:excess]:
                connection.close_if_idle()
        idle = [conn for conn, since in self._idle.items() if now - since > max_idle_ms]
        if has_many_idle:
            idle = idle[: len(self._idle) - self.max_long_idle]
        for connection in idle:
            connection.close_if_idle()

    def _end_unread(self, now: float, is_shutting_down: bool) -> None:
        """Close the connections whose client has stopped taking its responses."""
        timeout_ms = self._unread_timeout_ms(is_shutting_down)
        for connection in [conn for conn, since in self._unread.items() if now - since > LINGER_MS]:
            if _is_still_reading(connection):
                self._unread[connection] = now
            elif now - self._unread[connection] > timeout_ms:
                connection.abort(EndReason.RESPONSE_UNREAD)

    def _end_lingering(self, now: float, is_shutting_down: bool) -> None:
        """Close the half-closed connections whose client has read its response and sends nothing more, sends
        for too long, or has stopped reading."""
        linger_ms = SHUTDOWN_LINGER_MS if is_shutting_down else LINGER_MS
        unread_timeout_ms = self._unread_timeout_ms(is_shutting_down)
        for connection in [conn for conn, since in self._closing.items() if now - since > linger_ms]:
            undelivered = connection.undelivered_bytes()
            if undelivered and _is_still_reading(connection):
                self._closing[connection] = now
            elif undelivered and now - self._closing[connection] <= unread_timeout_ms:
                continue
            elif self._may_linger_on(connection, now) and not is_shutting_down:
                connection.received_while_closing = False
                self._closing[connection] = self._closing.pop(connection) + LINGER_MS
            else:
                connection.abort()

    def _unread_timeout_ms(self, is_shutting_down: bool) -> float:
        if is_shutting_down:
            return SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS
        if self.is_memory_exhausted:
            return EXHAUSTED_UNREAD_RESPONSE_TIMEOUT_MS
        return UNREAD_RESPONSE_TIMEOUT_MS

    @staticmethod
    def _may_linger_on(connection: AdmittedConnection, now: float) -> bool:
        return connection.received_while_closing and now - connection.closing_since_ms < MAX_LINGER_MS


def _is_still_reading(connection: AdmittedConnection) -> bool:
    """Whether the client has taken response bytes since the latest call."""
    undelivered = connection.undelivered_bytes()
    before = connection.undelivered_at_last_sweep
    connection.undelivered_at_last_sweep = undelivered
    return undelivered != before
