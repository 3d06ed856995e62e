"""The operator's word on workers: which of them are out of use. No I/O, no clock.

A ban is apart from what discovery says, and wins over it: it holds whatever the list says, also while the
worker is not on it, until the operator takes it back; once, however often it was said. Who comes back is
taken to have been restarted, whether discovery shows it or not, so it is cold from then on and the rule on
cold workers holds; and it is owed a request soon, or nobody could tell that it serves."""

from __future__ import annotations

from collections.abc import Collection, Iterable

MOST_GONE = 256  # bans on workers that are not on the list; with so many no more are taken
MOST_NAME = 128  # characters of a worker's name
OWED_AFTER_MS, OWED_FOR_MS = 300.0, 10_000.0  # after its return: not at once, for word of it may be late


class Bans:
    """Banned workers and those that came back of late, by name.

    Bound: what the list holds and MOST_GONE more. A ban leaves by the operator's word alone; who came back
    leaves after `warm_up_ms`."""

    def __init__(self, warm_up_ms: float) -> None:
        self.warm_up_ms = warm_up_ms  # settings may change it in service
        self._banned: dict[str, None] = {}  # in the order in which they were banned
        self._back_ms: dict[str, float] = {}  # when the ban was taken back, in order of time
        self._owed: set[str] = set()

    def __contains__(self, name: str) -> bool:
        return name in self._banned

    def __len__(self) -> int:
        return len(self._banned)

    def disable(self, name: str, listed: Collection[str]) -> str:
        """Out of use from now on; what is wrong with the call, or nothing. Said twice it changes nothing."""
        if name in self._banned:
            return ""
        if name not in listed or len(name) > MOST_NAME:
            return "no such worker"
        if sum(other not in listed for other in self._banned) >= MOST_GONE:
            return "too many bans on workers that have gone"
        self._banned[name] = None
        self._back_ms.pop(name, None)
        self._owed.discard(name)
        return ""

    def enable(self, now: float, name: str, listed: Collection[str]) -> str:
        """Back in use; what is wrong with the call, or nothing. Who is in use stays so."""
        if name in self._banned:
            del self._banned[name]
            self._back_ms[name] = now
            self._owed.add(name)
            return ""
        return "" if name in listed else "no such worker"

    def began_ms(self, now: float, name: str, started_ms: float) -> float:
        """Since when a worker warms up, by its list's word and ours; 0: long ago."""
        back_ms = self._back_ms.get(name)
        if back_ms is None:
            return started_ms
        if now - back_ms >= self.warm_up_ms:
            del self._back_ms[name]
            self._owed.discard(name)
            return started_ms
        return max(started_ms, back_ms)

    def is_owed(self, now: float, name: str) -> bool:
        """Whether a worker is back and has been sent nothing since."""
        return name in self._owed and OWED_AFTER_MS <= now - self._back_ms.get(name, now) <= OWED_FOR_MS

    def sent(self, name: str) -> None:
        """It has been sent something."""
        self._owed.discard(name)

    # -- what another process of this gatekeeper takes over

    def state(self) -> tuple[tuple[str, ...], tuple[tuple[str, float], ...]]:
        """Who is banned; who came back, and when."""
        return tuple(self._banned), tuple(self._back_ms.items())

    def take_over(self, banned: Iterable[str], back: Iterable[tuple[str, float]]) -> None:
        """The state of the process before this one, whatever our list says. Where both know of a worker, a
        ban stands: it is the safer of the two."""
        for name in banned:
            self._banned[name] = None
        for name, back_ms in sorted(back, key=lambda row: row[1]):
            if name not in self._banned:
                self._back_ms[name] = back_ms
