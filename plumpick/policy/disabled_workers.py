"""Which workers operators have disabled, and which came back of late.

A disabled worker gets nothing, whatever discovery lists, also while it is not listed, until an operator
enables it. One that is enabled again counts as restarted, so it warms up; and it gets a request soon, or
nobody could tell that it serves."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from plumpick.policy.errors import CommandError

MAX_UNLISTED = 256  # disabled workers that are not listed; with so many no more are accepted
MAX_NAME_LENGTH = 128
FIRST_ATTEMPT_AFTER_MS = 300.0  # not at once after its return: peers may not have heard of it yet
FIRST_ATTEMPT_WITHIN_MS = 10_000.0


class DisabledWorkers:
    """Disabled workers, and those enabled of late, by name.

    Bound: the listed workers and MAX_UNLISTED more. `slow_start_ms`: for how long an enabled one is kept."""

    def __init__(self, slow_start_ms: float) -> None:
        self.slow_start_ms = slow_start_ms
        self._disabled: dict[str, None] = {}  # in the order in which they were disabled
        self._enabled_ms: dict[str, float] = {}  # when it was, in order of time
        self._awaiting: set[str] = set()  # enabled, and without an attempt since

    def __contains__(self, name: str) -> bool:
        return name in self._disabled

    def __len__(self) -> int:
        return len(self._disabled)

    def disable(self, name: str, listed: Collection[str]) -> None:
        """Out of use from now on; a second time changes nothing. Raises CommandError."""
        if name in self._disabled:
            return
        if name not in listed or len(name) > MAX_NAME_LENGTH:
            raise CommandError("no such worker")
        if sum(other not in listed for other in self._disabled) >= MAX_UNLISTED:
            raise CommandError("too many bans on workers that have gone")
        self._disabled[name] = None
        self._enabled_ms.pop(name, None)
        self._awaiting.discard(name)

    def enable(self, now_ms: float, name: str, listed: Collection[str]) -> None:
        """Back in use; one that is in use stays so. Raises CommandError."""
        if name in self._disabled:
            del self._disabled[name]
            self._enabled_ms[name] = now_ms
            self._awaiting.add(name)
        elif name not in listed:
            raise CommandError("no such worker")

    def slow_start_began_ms(self, now_ms: float, name: str, started_ms: float) -> float:
        """Since when a worker warms up, by its list and by operators; 0: it is warm."""
        enabled_ms = self._enabled_ms.get(name)
        if enabled_ms is None:
            return started_ms
        if now_ms - enabled_ms >= self.slow_start_ms:
            del self._enabled_ms[name]
            self._awaiting.discard(name)
            return started_ms
        return max(started_ms, enabled_ms)

    def awaits_first_attempt(self, now_ms: float, name: str) -> bool:
        """Whether a worker was enabled and has been sent nothing since."""
        if name not in self._awaiting:
            return False
        since_ms = now_ms - self._enabled_ms.get(name, now_ms)
        return FIRST_ATTEMPT_AFTER_MS <= since_ms <= FIRST_ATTEMPT_WITHIN_MS

    def on_attempt(self, name: str) -> None:
        """A worker has been sent an attempt."""
        self._awaiting.discard(name)

    # -- what another process of this gateway goes on from

    def export_state(self) -> tuple[tuple[str, ...], tuple[tuple[str, float], ...]]:
        """The disabled workers; the enabled ones, and when."""
        return tuple(self._disabled), tuple(self._enabled_ms.items())

    def import_state(self, disabled: Iterable[str], enabled: Iterable[tuple[str, float]]) -> None:
        """The state of the process before this one, whatever is listed here. Where both know of a worker, it
        stays disabled: that is the safer of the two."""
        for name in disabled:
            self._disabled[name] = None
        for name, enabled_ms in sorted(enabled, key=lambda row: row[1]):
            if name not in self._disabled:
                self._enabled_ms[name] = enabled_ms
