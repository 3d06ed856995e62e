"""While this gateway holds a permit for planned restarts, it is drained: it takes no clients."""

from __future__ import annotations

import logging
from collections.abc import Callable

from plumpick.policy.leases.actions import LossReason

log = logging.getLogger(__name__)


class PlannedRestart:
    """Drains this gateway when it has a permit, and takes clients again when the permit is lost."""

    def __init__(self, command: Callable[[str], str]) -> None:
        """`command` carries out an operator's DRAIN or UNDRAIN, and gives the error's text or nothing."""
        self._command = command
        self.drained = False

    def on_permit_acquired(self, token: int) -> None:
        """Drain this gateway."""
        log.info("duties: it is our turn to be out, token %x", token)
        self.drained = True
        self._carry_out("DRAIN")

    def on_permit_lost(self, reason: LossReason) -> None:
        """Take clients again."""
        if not self.drained:
            return
        self.drained = False
        if reason is not LossReason.RELEASED:
            log.warning("duties: our turn has ended (%s): clients are taken again", reason)
        self._carry_out("UNDRAIN")

    def _carry_out(self, name: str) -> None:
        error = self._command(name)
        if error:
            log.warning("duties: %s: %s", name, error)
