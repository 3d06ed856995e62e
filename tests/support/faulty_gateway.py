"""The daemon with an injected fault in its hot restart: `python -m support.faulty_gateway` in place of
`python -m plumpick`. $GATEWAY_FAULT names the fault."""

import os
import sys

from plumpick.gateway import daemon
from plumpick.gateway.hot_restart import message
from plumpick.policy import snapshot

SHORT_TEXT_BYTES = 512


def export_raises(_state):
    raise RuntimeError("injected fault: the state cannot be exported")


def inject(fault):
    """Inject the fault with this name; an empty name injects nothing. Raises ValueError for an unknown
    name."""
    if fault == "state-raises":
        snapshot.export_state = export_raises
    elif fault == "state-too-long":
        message.MAX_TEXT_BYTES = SHORT_TEXT_BYTES
    elif fault:
        raise ValueError(f"unknown fault {fault!r}, expected state-raises or state-too-long")


if __name__ == "__main__":
    inject(os.environ.get("GATEWAY_FAULT", ""))
    sys.exit(daemon.main())
