"""The daemon with a fault of its own in a hot restart: `python -m support.faulty_gateway`, in place of `-m
plumpick`. $GATEWAY_FAULT names the fault."""

import os
import sys

from plumpick.gateway import daemon
from plumpick.gateway.hot_restart import message
from plumpick.policy import snapshot

SHORT_TEXT_BYTES = 512


def export_raises(_state):
    raise RuntimeError("as planted")


def plant(fault):
    """Plant the fault of that name; nothing is planted for an empty one."""
    if fault == "state-raises":
        snapshot.export_state = export_raises
    elif fault == "state-too-long":
        message.MAX_TEXT_BYTES = SHORT_TEXT_BYTES
    elif fault:
        raise ValueError(fault)


if __name__ == "__main__":
    plant(os.environ.get("GATEWAY_FAULT", ""))
    sys.exit(daemon.main())
