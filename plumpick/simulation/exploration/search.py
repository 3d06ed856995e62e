"""Breadth first through all that can happen, so that the first history that breaks a promise is a shortest
one.

A state is pickled: its bytes are its copy, and their hash is how it is known again. The state's own
`key()` may leave out what makes no difference."""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol, Self


class State(Protocol):
    """What is explored."""

    def moves(self) -> Iterator[str]:
        """All that can happen next, by name, always in the same order."""

    def fork(self) -> Self:
        """A copy: what happens to the one leaves the other as it is."""

    def play(self, move: str) -> None:
        """Let that happen."""

    def broken(self) -> str:
        """Which promise this state breaks, or nothing."""

    def key(self) -> Hashable:
        """Two states with the same key go on alike."""


@dataclass
class Found:
    """What a search came to."""

    states: int = 0
    depth: int = 0  # all histories of so many moves were played
    seconds: float = 0.0
    broken: str = ""
    history: list[str] = field(default_factory=list)


def explore(
    start: State, depth: int, most_states: int = 5_000_000, tell: Callable[[int, int], None] | None = None
) -> Found:
    """Play every history of up to `depth` moves; ends at the first that breaks a promise, or at
    `most_states`."""
    begun, found = time.monotonic(), Found()
    seen: dict[int, tuple[int, str]] = {}  # how each state was first come to
    first = hash(start.key())
    seen[first] = (0, "")
    frontier = [(first, start)]
    while frontier and found.depth < depth and not found.broken and len(seen) < most_states:
        following = []
        for known, state in frontier:
            for move in list(state.moves()):
                after = state.fork()
                after.play(move)
                digest = hash(after.key())
                if digest in seen:
                    continue
                seen[digest] = (known, move)
                found.broken = after.broken()
                if found.broken:
                    found.history = _history(seen, digest)
                    break
                following.append((digest, after))
            if found.broken or len(seen) >= most_states:
                break
        else:
            found.depth += 1
            if tell is not None:
                tell(found.depth, len(seen))
        frontier = following
    found.states, found.seconds = len(seen), time.monotonic() - begun
    return found


def replay(start: State, history: list[str]) -> str:
    """Play one history; the promise that it breaks first, or nothing. Raises ValueError where it cannot be
    played."""
    for move in history:
        if move not in set(start.moves()):
            raise ValueError(f"{move!r} cannot happen here")
        start.play(move)
        if start.broken():
            return start.broken()
    return ""


def _history(seen: dict[int, tuple[int, str]], digest: int) -> list[str]:
    moves = []
    while True:
        digest, move = seen[digest]
        if not move:
            return moves[::-1]
        moves.append(move)


def fork_of(one: Any, **news: Any) -> Any:
    """A copy of an object, with other values of some attributes: for a state's `fork`."""
    copy = object.__new__(type(one))
    copy.__dict__.update(one.__dict__)
    copy.__dict__.update(news)
    return copy


def name_of(word: tuple[Any, ...]) -> str:
    """A word on its way, as moves name it."""
    return " ".join(map(str, word))
