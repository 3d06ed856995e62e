"""Bodies that are too large to be kept whole: they go on while they come, in either direction.

Backpressure: who gives is paused while more than the high water mark waits at who takes. All streams share
one budget of bytes, whatever their number; each has its even part of it as its mark."""

from __future__ import annotations

from typing import Protocol

WHOLE = 64 * 1024  # bodies up to so many bytes are kept whole
LEAST_MARK, MOST_MARK = 16 * 1024, 256 * 1024


class Budget:
    """Bytes that all streams may have waiting."""

    def __init__(self, total: int) -> None:
        self.total, self.streams = max(LEAST_MARK, total), 0

    def mark(self) -> int:
        """The high water mark of one more stream."""
        return max(LEAST_MARK, min(MOST_MARK, self.total // (self.streams + 1)))


class Giver(Protocol):
    """Where bytes come from."""

    def pause(self) -> None:
        """Give no more for now."""

    def resume(self) -> None:
        """Give again."""


class Taker(Protocol):
    """Where bytes go."""

    def part(self, data: bytes) -> None:
        """Some more."""

    def finish(self) -> None:
        """That was all."""


class Body:
    """A request's body on its way. `length`: in bytes; -1 where only its end tells.

    What comes before there is a taker waits here, up to `mark`, and then the giver is held. What a taker has
    had is not kept: `begun` tells that."""

    def __init__(self, giver: Giver, length: int, mark: int) -> None:
        self.giver, self.length, self.mark = giver, length, mark
        self.waiting: list[bytes] = []
        self.size = 0  # of what waits
        self.begun = self.whole = self.held = False
        self.moved_ms = 0.0  # when the last of it came or went
        self.taker: Taker | None = None

    def feed(self, data: bytes) -> None:
        """Some more has come."""
        if self.taker is not None:
            self.taker.part(data)
            return
        self.waiting.append(data)
        self.size += len(data)
        if self.size >= self.mark:
            self.hold()

    def finish(self) -> None:
        """All has come."""
        self.whole = True
        if self.taker is not None:
            self.taker.finish()

    def give_to(self, taker: Taker) -> None:
        """Let it go on; only once."""
        self.begun, self.taker = True, taker
        parts, self.waiting, self.size = self.waiting, [], 0
        for data in parts:
            taker.part(data)
        if self.whole:
            taker.finish()
        elif self.taker is taker:
            self.go_on()

    def drop_taker(self, taker: Taker) -> None:
        """It takes no more; what comes from now on is of no use."""
        if self.taker is taker:
            self.taker = None
            self.mark = 0

    def hold(self) -> None:
        if not self.held and not self.whole:
            self.held = True
            self.giver.pause()

    def go_on(self) -> None:
        if self.held:
            self.held = False
            self.giver.resume()
