"""The check of fencing tokens at the receiver of effects: effects with an outdated token are rejected.

    fence = Fence(Path("fence.json"))
    if not fence.admit("use", token): answer 409 with `fence.highest("use")` as Fencing-Token

An effect is identified by its task and period; the receiver keeps its own record of the effects that it
executed. The fence guards against a process that was suspended between its last check of the clock and the
effect: a later owner has a larger token by then. A torn or corrupt file raises FenceError rather than
resetting the tokens: the receiver must admit nothing until an operator has restored the file."""

from __future__ import annotations

import json
import os
import zlib
from pathlib import Path

MAX_TASKS = 100_000


class FenceError(Exception):
    """The fence's file is unreadable or corrupt; the text gives the reason. No effect may be admitted."""


class Fence:
    """The largest fencing token admitted for each task, stored in a file, or in memory only without a path.

    Has one entry for each task ever admitted; beyond `MAX_TASKS` entries, new tasks are rejected."""

    def __init__(self, path: Path | None = None) -> None:
        """Loads the file, if it exists. Raises FenceError if it is unreadable or corrupt."""
        self._path = path
        self._highest: dict[str, int] = {}
        if path is not None:
            self._read(path)

    def _read(self, path: Path) -> None:
        try:
            text = path.read_text(encoding="utf-8")
        except FileNotFoundError:
            return
        except (OSError, UnicodeDecodeError) as problem:
            raise FenceError(f"{path}: {problem}") from problem
        checksum, _, rows = text.partition("\n")
        if checksum != f"{zlib.crc32(rows.encode()):08x}":
            raise FenceError(
                f"{path}: checksum mismatch, the file is torn or corrupt; restore it from a copy"
            )
        self._highest = {task: int(token, 16) for task, token in json.loads(rows).items()}

    def _write(self, path: Path) -> None:
        """Replace the file atomically and sync it and its folder, so that the tokens survive a power loss."""
        rows = json.dumps({task: f"{token:x}" for task, token in self._highest.items()})
        temporary = path.with_name(path.name + ".new")
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(f"{zlib.crc32(rows.encode()):08x}\n{rows}")
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def admit(self, task: str, token: int) -> bool:
        """Whether an effect of this task may be executed. An equal token is admitted: tokens are unique to an
        owner. Raises OSError if the token cannot be stored; the effect must not be executed then."""
        highest = self._highest.get(task)
        if highest is None:
            if len(self._highest) >= MAX_TASKS:
                return False
        elif token <= highest:
            return token == highest
        self._highest[task] = token
        if self._path is None:
            return True
        try:
            self._write(self._path)
        except OSError:
            self._restore(task, highest)
            raise
        return True

    def _restore(self, task: str, highest: int | None) -> None:
        if highest is None:
            del self._highest[task]
        else:
            self._highest[task] = highest

    def highest(self, task: str) -> int:
        """The largest token admitted for this task; 0 if there is none."""
        return self._highest.get(task, 0)
