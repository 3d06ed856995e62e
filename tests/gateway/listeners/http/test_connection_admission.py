"""Connections of clients and a stall of our own process: no time of ours counts on theirs."""

from plumpick.gateway.listeners.http.connection_admission import (
    MIN_IDLE_MS,
    NEW_CONNECTION_MS,
    REQUEST_TIMEOUT_MS,
    SWEEP_INTERVAL_MS,
    ConnectionAdmission,
)


class Client:
    """What the admission asks of a connection."""

    def __init__(self):
        self.request_started = self.received_while_closing = False
        self.closing_since_ms = self.last_activity_ms = 0.0
        self.closed = ""

    def close_if_idle(self):
        self.closed = self.closed or "idle"

    def time_out_request(self):
        self.closed = self.closed or "gave up"

    def body_time_allowance_ms(self):
        return 0.0

    def abort(self):
        self.closed = self.closed or "dropped"


def swept(admission, start, until, step=SWEEP_INTERVAL_MS):
    now = start
    while now <= until:
        admission.sweep(now, False)
        now += step


def crowd(count=20):
    admission = ConnectionAdmission(100)
    idle, owing = [Client() for _ in range(count)], Client()
    admission.sweep(0.0, False)
    for client in [*idle, owing]:
        assert admission.admit(client, 10.0)
    for client in idle:
        admission.on_request_received(client)
        admission.on_response_sent(client, 20.0)
    return admission, idle, owing


def test_stall_of_this_process_does_not_count_on_any_connections_time():
    """Their requests may wait unread. Found by the simulation: they were closed, and the requests lost."""
    admission, idle, owing = crowd()
    admission.sweep(5000.0, False)
    assert not [client for client in [*idle, owing] if client.closed]
    swept(admission, 5100.0, 5000.0 + SWEEP_INTERVAL_MS * 5)
    assert not [client for client in [*idle, owing] if client.closed]


def test_idle_and_silent_connections_are_closed_in_time_after_a_stall():
    admission, idle, owing = crowd()
    admission.sweep(5000.0, False)
    swept(admission, 5100.0, 5000.0 + MIN_IDLE_MS + REQUEST_TIMEOUT_MS)
    assert owing.closed == "gave up"
    assert sum(client.closed == "idle" for client in idle) == len(idle) - admission.max_long_idle


def test_sweep_without_stall_goes_by_the_clock():
    admission, idle, owing = crowd()
    swept(admission, 100.0, REQUEST_TIMEOUT_MS + 200.0)
    assert owing.closed == "gave up" and [client for client in idle if client.closed]


def test_connections_beyond_the_limit_are_admitted_while_descriptors_are_spare():
    """Found by the simulation (seed 122): those that came last, still waiting, were dropped for the dead."""
    admission = ConnectionAdmission(100)
    clients = [Client() for _ in range(admission.hard_max_connections + 10)]
    assert all(admission.admit(client, 0.0, 10) for client in clients)
    assert not admission.admit(Client(), 0.0, 10)
    for client in clients[-admission.max_connections :]:
        admission.on_request_received(client)  # it is read: a whole request has come
    admission.evict_excess(5000.0)
    assert len(admission) == admission.max_connections
    assert [client.closed for client in clients[-admission.max_connections :]] == [
        ""
    ] * admission.max_connections


def test_at_the_hard_limit_disconnected_clients_are_evicted_and_others_checked_rarely():
    """Found by the simulation (seed 717): a stall of 4.4 s, and the last to come were dropped."""
    admission, looks = ConnectionAdmission(100), []
    clients = [Client() for _ in range(admission.hard_max_connections)]
    gone = set(clients[5:8])
    clients[6].request_started = True  # something of it was read: it stays

    def has_ended(client):
        looks.append(client)
        return client in gone and not client.closed

    assert all(admission.admit(client, 0.0) for client in clients) and not admission.admit(Client(), 0.0)
    assert admission.evict_disconnected(0.0, has_ended)
    assert [client for client in clients if client.closed == "dropped"] == [clients[5], clients[7]]
    assert [admission.admit(Client(), 0.0) for _ in range(3)] == [True, True, False]
    before = len(looks)
    assert not admission.evict_disconnected(0.0, has_ended) and not admission.evict_disconnected(
        1.0, has_ended
    )
    assert len(looks) - before <= admission.hard_max_connections


def test_time_for_a_body_starts_after_its_head_and_grows_with_received_bytes():
    """Seen: 141 of 1,251 slow requests were cut off 2.2 s after their connection came, in their bodies."""
    admission, _, owing = crowd()
    owing.request_started = True
    admission.on_request_started(owing, 20.0)
    swept(admission, 100.0, 2000.0)
    admission.on_body_started(owing, 2010.0)
    swept(admission, 2100.0, 2010.0 + REQUEST_TIMEOUT_MS - 200.0)
    assert not owing.closed
    owing.body_time_allowance_ms = lambda: 1000.0
    swept(admission, 2100.0 + REQUEST_TIMEOUT_MS, 2010.0 + REQUEST_TIMEOUT_MS + 900.0)
    assert not owing.closed
    swept(admission, 2010.0 + REQUEST_TIMEOUT_MS + 1000.0, 2010.0 + REQUEST_TIMEOUT_MS + 1300.0)
    assert owing.closed == "gave up"


def test_slow_but_sending_clients_stay_in_a_crowd_that_never_completes_requests():
    """3,000 that say nothing or stop in their head, and 200 that write a piece each 0.2 s for 2 s."""
    admission, now, waiting, asked, lost = ConnectionAdmission(192), 0.0, [], 0, 0
    admission.sweep(0.0, False)
    for step in range(400):  # of 50 ms
        now = 50.0 * step
        for number in range(8):  # the crowd
            one = Client()
            one.request_started, one.last_activity_ms = number % 2 == 0, now
            admission.admit(one, now, 20)
        if step % 2 == 0:
            true = Client()
            true.request_started, true.last_activity_ms, true.came_ms = True, now, now
            if admission.admit(true, now, 20):
                waiting.append(true)
            else:
                lost += 1
        for true in waiting:
            if int(now - true.came_ms) % 200 == 0:
                true.last_activity_ms = now
        admission.evict_excess(now, 20)
        if int(now) % 100 == 0:
            admission.sweep(now, False)
        lost += sum(bool(true.closed) for true in waiting)
        waiting = [true for true in waiting if not true.closed]
        for true in [true for true in waiting if now - true.came_ms >= 2000.0]:
            waiting.remove(true)
            admission.remove(true)
            asked += 1
    assert lost == 0 and asked >= 150


def test_new_connection_may_still_send_a_request_while_the_gateway_shuts_down():
    """Found by the simulation (seed 465): its request was 0.6 ms away when its connection was closed."""
    admission, idle, owing = crowd()
    assert admission.is_new(owing, 10.0 + NEW_CONNECTION_MS) and not admission.is_new(
        owing, 10.1 + NEW_CONNECTION_MS
    )
    assert not any(admission.is_new(client, 20.0) for client in idle)
