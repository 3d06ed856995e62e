"""Draining under a restart permit: a gateway that holds one accepts no clients and can be restarted."""

from __future__ import annotations

import logging
from collections.abc import Callable

from plumpick.policy.leases.actions import LossReason

log = logging.getLogger(__name__)


class PlannedRestart:
    """Drains this gateway when it acquires a restart permit, and undrains it when the permit is lost."""

    def __init__(self, command: Callable[[str], str]) -> None:
        """`command(name)` executes an operator's DRAIN or UNDRAIN, and returns the error text or an empty
        string."""
        self._command = command
        self.drained = False

    def on_permit_acquired(self, token: int) -> None:
        """Drain this gateway, which now holds a restart permit with this fencing token."""
        log.info("duties: restart permit acquired, token %x: this gateway is drained", token)
        self.drained = True
        self._carry_out("DRAIN")

    def on_permit_lost(self, reason: LossReason) -> None:
        """Undrain this gateway, if it was drained under the permit; a loss other than a release is logged."""
        if not self.drained:
            return
        self.drained = False
        if reason is not LossReason.RELEASED:
            log.warning("duties: restart permit lost (%s): this gateway accepts clients again", reason)
        self._carry_out("UNDRAIN")

    def _carry_out(self, name: str) -> None:
        error = self._command(name)
        if error:
            log.warning("duties: %s failed: %s", name, error)
