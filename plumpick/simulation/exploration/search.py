"""Breadth-first search over all orders of events for a history that violates an invariant.

The first violating history that the search finds is a shortest one. States are recognized by the hash of
their `key()`, which may omit everything that does not affect the future of a state.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol, Self


class State(Protocol):
    """A state of an explored model, with the moves that lead to its successors."""

    def moves(self) -> Iterator[str]:
        """Yields the names of all events that can happen next, in a deterministic order."""

    def fork(self) -> Self:
        """Returns an independent copy of the state."""

    def apply(self, move: str) -> None:
        """Applies the event with that name to this state."""

    def violation(self) -> str:
        """Returns a description of the invariant that this state violates, or an empty string."""

    def key(self) -> Hashable:
        """Returns a key of the state; states with equal keys have the same possible futures."""


@dataclass
class SearchResult:
    """Result of a search for a history that violates an invariant."""

    states: int = 0  # number of distinct states that were found
    depth: int = 0  # number of moves up to which all histories were explored
    seconds: float = 0.0
    violation: str = ""  # description of the violated invariant; empty if none
    history: list[str] = field(default_factory=list)  # moves that lead to the violation of the invariant


def explore(
    start: State, depth: int, max_states: int = 5_000_000, on_depth: Callable[[int, int], None] | None = None
) -> SearchResult:
    """Explores every history of up to `depth` moves from `start`.

    Ends early at the first history that violates an invariant, or after `max_states` distinct states.
    `on_depth` is called after each depth with the depth and the number of states.
    """
    started_s, found = time.monotonic(), SearchResult()
    seen: dict[int, tuple[int, str]] = {}  # state -> predecessor and move of the first path
    first = hash(start.key())
    seen[first] = (0, "")
    frontier = [(first, start)]
    while frontier and found.depth < depth and not found.violation and len(seen) < max_states:
        next_frontier = []
        for predecessor, state in frontier:
            for move in list(state.moves()):
                successor = state.fork()
                successor.apply(move)
                digest = hash(successor.key())
                if digest in seen:
                    continue
                seen[digest] = (predecessor, move)
                found.violation = successor.violation()
                if found.violation:
                    found.history = _history(seen, digest)
                    break
                next_frontier.append((digest, successor))
            if found.violation or len(seen) >= max_states:
                break
        else:
            found.depth += 1
            if on_depth is not None:
                on_depth(found.depth, len(seen))
        frontier = next_frontier
    found.states, found.seconds = len(seen), time.monotonic() - started_s
    return found


def replay(start: State, history: list[str]) -> str:
    """Applies one history to `start`; returns the first violated invariant, or an empty string.

    Raises ValueError if a move is not possible in the state that it applies to.
    """
    for move in history:
        if move not in set(start.moves()):
            raise ValueError(f"move {move!r} is not possible in this state")
        start.apply(move)
        if start.violation():
            return start.violation()
    return ""


def _history(seen: dict[int, tuple[int, str]], digest: int) -> list[str]:
    moves = []
    while True:
        digest, move = seen[digest]
        if not move:
            return moves[::-1]
        moves.append(move)


def copy_with(one: Any, **changes: Any) -> Any:
    """Returns a shallow copy of an object with the given attributes replaced, for a state's `fork`."""
    copy = object.__new__(type(one))
    copy.__dict__.update(one.__dict__)
    copy.__dict__.update(changes)
    return copy


def message_name(message: tuple[Any, ...]) -> str:
    """Returns the name of a message in flight, as it appears in moves: its fields separated by spaces."""
    return " ".join(map(str, message))
