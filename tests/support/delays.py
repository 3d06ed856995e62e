"""Something that happens later on a gateway's clock."""

from plumpick.gateway.listeners.http.connection_admission import SWEEP_INTERVAL_MS


def later(gate, ms):
    """Let so much time go by for the connections of clients, and no stall of ours."""
    admission, now = gate.front.admission, gate.keeper.clock.now() + ms
    admission._last_sweep_ms = now - SWEEP_INTERVAL_MS
    admission.sweep(now, gate.keeper.is_draining)
