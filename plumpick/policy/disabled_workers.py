"""The workers that operators have disabled, and those that they have recently enabled again.

A disabled worker is sent no attempts until an operator enables it, even if discovery removes and lists it
again in between. An enabled worker counts as restarted and goes through slow start. It is sent a first
attempt soon after, so that operators can see whether it serves."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from plumpick.policy.errors import CommandError

MAX_UNLISTED = 256  # Maximum number of disabled workers that discovery does not list
MAX_NAME_LENGTH = 128
# Time after a worker was enabled in which it gets its first attempt with priority. It begins with a delay
# because the other gateways may not have enabled the worker yet.
FIRST_ATTEMPT_AFTER_MS = 300.0
FIRST_ATTEMPT_WITHIN_MS = 10_000.0


class DisabledWorkers:
    """The disabled workers and the recently enabled ones, by name.

    Holds at most the listed workers and MAX_UNLISTED others. `slow_start_ms`: time after which an enabled
    worker is warm and its entry is dropped."""

    def __init__(self, slow_start_ms: float) -> None:
        self.slow_start_ms = slow_start_ms
        self._disabled: dict[str, None] = {}  # Names in the order of their commands; a dict as an ordered set
        self._enabled_ms: dict[str, float] = {}  # Time at which each worker was enabled, in order of time
        self._awaiting: set[str] = set()  # Enabled workers that have not been sent an attempt since

    def __contains__(self, name: str) -> bool:
        return name in self._disabled

    def __len__(self) -> int:
        return len(self._disabled)

    def disable(self, name: str, listed: Collection[str]) -> None:
        """Disable a worker; no effect if it is disabled already. `listed`: the names in discovery's list.

        Raises CommandError if the worker is not listed, or if too many unlisted workers are disabled."""
        if name in self._disabled:
            return
        if name not in listed or len(name) > MAX_NAME_LENGTH:
            raise CommandError("no such worker")
        if sum(other not in listed for other in self._disabled) >= MAX_UNLISTED:
            raise CommandError("too many disabled workers that are no longer listed")
        self._disabled[name] = None
        self._enabled_ms.pop(name, None)
        self._awaiting.discard(name)

    def enable(self, now_ms: float, name: str, listed: Collection[str]) -> None:
        """Enable a worker; no effect if it is not disabled. Raises CommandError if it is then not listed
        either."""
        if name in self._disabled:
            del self._disabled[name]
            self._enabled_ms[name] = now_ms
            self._awaiting.add(name)
        elif name not in listed:
            raise CommandError("no such worker")

    def slow_start_began_ms(self, now_ms: float, name: str, started_ms: float) -> float:
        """Return the time at which a worker's slow start began: when it started or was enabled, whichever is
        later. Returns `started_ms`, its start time by discovery's list, unless it was recently enabled."""
        enabled_ms = self._enabled_ms.get(name)
        if enabled_ms is None:
            return started_ms
        if now_ms - enabled_ms >= self.slow_start_ms:
            del self._enabled_ms[name]
            self._awaiting.discard(name)
            return started_ms
        return max(started_ms, enabled_ms)

    def awaits_first_attempt(self, now_ms: float, name: str) -> bool:
        """Whether a recently enabled worker should now be sent its first attempt."""
        if name not in self._awaiting:
            return False
        since_ms = now_ms - self._enabled_ms.get(name, now_ms)
        return FIRST_ATTEMPT_AFTER_MS <= since_ms <= FIRST_ATTEMPT_WITHIN_MS

    def on_attempt(self, name: str) -> None:
        """Record that a worker has been sent an attempt."""
        self._awaiting.discard(name)

    # -- snapshot for hot restart

    def export_state(self) -> tuple[tuple[str, ...], tuple[tuple[str, float], ...]]:
        """Return the names of the disabled workers, and pairs of the name of each recently enabled worker and
        the time at which it was enabled."""
        return tuple(self._disabled), tuple(self._enabled_ms.items())

    def import_state(self, disabled: Iterable[str], enabled: Iterable[tuple[str, float]]) -> None:
        """Merge the state that the hot-restart predecessor exported, including workers that are not listed
        here. A worker that either process has disabled stays disabled, which is the safer choice."""
        for name in disabled:
            self._disabled[name] = None
        for name, enabled_ms in sorted(enabled, key=lambda row: row[1]):
            if name not in self._disabled:
                self._enabled_ms[name] = enabled_ms
