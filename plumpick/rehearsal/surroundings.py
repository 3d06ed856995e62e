"""Time, chance and the loop: what every stand-in is handed, and never takes from the system by itself."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

HOST = "127.0.0.1"


class Surroundings:
    """The loop, the clock and the source of chance of one rehearsal.

    `monotonic` gives seconds that only advance, `unix_s` the time of day at the start. Played on another loop
    with another clock, the same stand-ins live in modelled time.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        monotonic: Callable[[], float] = time.monotonic,
        unix_s: float | None = None,
    ) -> None:
        self.loop, self.seed = loop, seed
        self._monotonic, self._start = monotonic, monotonic()
        self._unix_ms = (time.time() if unix_s is None else unix_s) * 1000

    def now(self) -> float:
        """Milliseconds since the start, to the microsecond, so that a written record equals the live one."""
        return round((self._monotonic() - self._start) * 1000, 3)

    def unix_ms(self, t: float) -> float:
        """That time of the rehearsal as Unix time in milliseconds."""
        return round(self._unix_ms + t, 3)

    def chance(self, name: str) -> random.Random:
        """A source of random numbers of its own for each part: what one draws does not shift another's."""
        return random.Random(f"{self.seed}/{name}")

    def later(self, ms: float, call: Callable[..., Any], *arguments: Any) -> asyncio.TimerHandle:
        """Call after so many milliseconds."""
        return self.loop.call_later(max(0.0, ms) / 1000, call, *arguments)
