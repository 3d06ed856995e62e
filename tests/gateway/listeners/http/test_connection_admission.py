"""Limits on client connections: eviction and time limits, which a stall of this process extends."""

from plumpick.gateway.listeners.http.connection_admission import (
    MIN_IDLE_MS,
    NEW_CONNECTION_MS,
    REQUEST_TIMEOUT_MS,
    SWEEP_INTERVAL_MS,
    ConnectionAdmission,
)


class FakeConnection:
    """A client connection as the admission uses it; `closed` tells by which call it was closed first."""

    def __init__(self):
        self.request_started = self.received_while_closing = False
        self.closing_since_ms = self.last_activity_ms = 0.0
        self.closed = ""

    def close_if_idle(self):
        self.closed = self.closed or "close_if_idle"

    def time_out_request(self):
        self.closed = self.closed or "time_out_request"

    def body_time_allowance_ms(self):
        return 0.0

    def has_unanswered_request(self):
        return False

    def undelivered_bytes(self):
        return 0

    def abort(self, _reason=None):
        self.closed = self.closed or "abort"


def sweep_repeatedly(admission, start_ms, end_ms, interval_ms=SWEEP_INTERVAL_MS):
    now = start_ms
    while now <= end_ms:
        admission.sweep(now, False)
        now += interval_ms


def admission_with_idle_connections(count=20):
    """Return an admission, `count` idle connections in it, and one without a request so far."""
    admission = ConnectionAdmission(100)
    idle, silent = [FakeConnection() for _ in range(count)], FakeConnection()
    admission.sweep(0.0, False)
    for client in [*idle, silent]:
        assert admission.admit(client, 10.0)
    for client in idle:
        admission.on_request_received(client)
        admission.on_response_sent(client, 20.0)
    return admission, idle, silent


def test_stall_of_this_process_extends_the_time_limits_of_all_connections():
    """Guards against a fault found by the simulation: connections were closed after a stall although complete
    requests waited on them unread, and these requests were lost."""
    admission, idle, silent = admission_with_idle_connections()
    admission.sweep(5000.0, False)
    assert not [client for client in [*idle, silent] if client.closed]
    sweep_repeatedly(admission, 5100.0, 5000.0 + SWEEP_INTERVAL_MS * 5)
    assert not [client for client in [*idle, silent] if client.closed]


def test_idle_and_silent_connections_are_closed_in_time_after_a_stall():
    admission, idle, silent = admission_with_idle_connections()
    admission.sweep(5000.0, False)
    sweep_repeatedly(admission, 5100.0, 5000.0 + MIN_IDLE_MS + REQUEST_TIMEOUT_MS)
    assert silent.closed == "time_out_request"
    assert sum(client.closed == "close_if_idle" for client in idle) == len(idle) - admission.max_long_idle


def test_idle_and_silent_connections_are_closed_in_time_without_a_stall():
    admission, idle, silent = admission_with_idle_connections()
    sweep_repeatedly(admission, 100.0, REQUEST_TIMEOUT_MS + 200.0)
    assert silent.closed == "time_out_request" and [client for client in idle if client.closed]


def test_connections_beyond_the_limit_are_admitted_while_descriptors_are_spare():
    """Guards against a fault found by the simulation (seed 122): after a stall, the latest connections, whose
    clients still waited, were dropped in favour of earlier ones whose clients had given up."""
    admission = ConnectionAdmission(100)
    clients = [FakeConnection() for _ in range(admission.hard_max_connections + 10)]
    assert all(admission.admit(client, 0.0, 10) for client in clients)
    assert not admission.admit(FakeConnection(), 0.0, 10)
    for client in clients[-admission.max_connections :]:
        admission.on_request_received(client)  # a complete request was read from it
    admission.evict_excess(5000.0)
    assert len(admission) == admission.max_connections
    assert [client.closed for client in clients[-admission.max_connections :]] == [
        ""
    ] * admission.max_connections


def test_at_the_hard_limit_disconnected_clients_are_evicted_and_others_checked_rarely():
    """Guards against a fault found by the simulation (seed 717): after a stall of 4.4 s the latest
    connections were dropped."""
    admission, checked = ConnectionAdmission(100), []
    clients = [FakeConnection() for _ in range(admission.hard_max_connections)]
    disconnected = set(clients[5:8])
    clients[6].request_started = True  # not evicted, since part of a request was read from it

    def has_closed(client):
        checked.append(client)
        return client in disconnected and not client.closed

    assert all(admission.admit(client, 0.0) for client in clients)
    assert not admission.admit(FakeConnection(), 0.0)
    assert admission.evict_disconnected(0.0, has_closed)
    assert [client for client in clients if client.closed == "abort"] == [clients[5], clients[7]]
    assert [admission.admit(FakeConnection(), 0.0) for _ in range(3)] == [True, True, False]
    checked_before = len(checked)
    assert not admission.evict_disconnected(0.0, has_closed) and not admission.evict_disconnected(
        1.0, has_closed
    )
    assert len(checked) - checked_before <= admission.hard_max_connections


def test_time_for_a_body_starts_after_its_head_and_grows_with_received_bytes():
    """Guards against a fault that cut off 141 of 1,251 slow requests while their body was being received,
    2.2 s after the arrival of their connection."""
    admission, _, slow = admission_with_idle_connections()
    slow.request_started = True
    admission.on_request_started(slow, 20.0)
    sweep_repeatedly(admission, 100.0, 2000.0)
    admission.on_body_started(slow, 2010.0)
    sweep_repeatedly(admission, 2100.0, 2010.0 + REQUEST_TIMEOUT_MS - 200.0)
    assert not slow.closed
    slow.body_time_allowance_ms = lambda: 1000.0
    sweep_repeatedly(admission, 2100.0 + REQUEST_TIMEOUT_MS, 2010.0 + REQUEST_TIMEOUT_MS + 900.0)
    assert not slow.closed
    sweep_repeatedly(admission, 2010.0 + REQUEST_TIMEOUT_MS + 1000.0, 2010.0 + REQUEST_TIMEOUT_MS + 1300.0)
    assert slow.closed == "time_out_request"


def test_slow_but_sending_clients_stay_among_many_that_never_complete_a_request():
    """About 3,000 clients send nothing or stop within the head, and 200 send a piece every 0.2 s for 2 s."""
    admission, now, sending, completed, lost = ConnectionAdmission(192), 0.0, [], 0, 0
    admission.sweep(0.0, False)
    for step in range(400):  # each step is 50 ms
        now = 50.0 * step
        for number in range(8):  # clients that never complete a request
            client = FakeConnection()
            client.request_started, client.last_activity_ms = number % 2 == 0, now
            admission.admit(client, now, 20)
        if step % 2 == 0:
            slow = FakeConnection()
            slow.request_started, slow.last_activity_ms, slow.admitted_ms = True, now, now
            if admission.admit(slow, now, 20):
                sending.append(slow)
            else:
                lost += 1
        for slow in sending:
            if int(now - slow.admitted_ms) % 200 == 0:
                slow.last_activity_ms = now
        admission.evict_excess(now, 20)
        if int(now) % 100 == 0:
            admission.sweep(now, False)
        lost += sum(bool(slow.closed) for slow in sending)
        sending = [slow for slow in sending if not slow.closed]
        for slow in [slow for slow in sending if now - slow.admitted_ms >= 2000.0]:
            sending.remove(slow)
            admission.remove(slow)
            completed += 1
    assert lost == 0 and completed >= 150


def test_new_connection_may_still_send_a_request_while_the_gateway_shuts_down():
    """Guards against a fault found by the simulation (seed 465): a connection was closed 0.6 ms before its
    first request arrived."""
    admission, idle, silent = admission_with_idle_connections()
    assert admission.is_new(silent, 10.0 + NEW_CONNECTION_MS) and not admission.is_new(
        silent, 10.1 + NEW_CONNECTION_MS
    )
    assert not any(admission.is_new(client, 20.0) for client in idle)
