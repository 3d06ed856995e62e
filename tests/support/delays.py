"""Helper that advances the clock of a gateway's client connections."""

from plumpick.gateway.listeners.http.connection_admission import SWEEP_INTERVAL_MS


def advance_time(gate, ms):
    """Sweep the client connections as if `ms` had passed without a stall of this process."""
    admission, now = gate.listener.admission, gate.gateway.clock.now() + ms
    admission._last_sweep_ms = now - SWEEP_INTERVAL_MS
    admission.sweep(now, gate.gateway.is_draining)
