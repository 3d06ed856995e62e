"""What the receiver of an effect needs: it takes none under a token smaller than the largest it has seen.

    fence = Fence(Path("fence.json"))
    if not fence.admit("use", token): answer 409, and `fence.highest("use")` in it

Task and period are the key of an effect: whether it was taken before is for the receiver's own records.
Guards against: a process that was suspended between its last look at the clock and the effect (its token is
smaller by now); a torn or corrupt file (a FenceError, never the beginning of a new count: the receiver must
admit nothing until an operator has restored the file)."""

from __future__ import annotations

import json
import os
import zlib
from pathlib import Path

MAX_TASKS = 100_000


class FenceError(Exception):
    """The fence's file cannot be used; the text gives the reason. Nothing may be admitted without it."""


class Fence:
    """The largest token seen of each task, in a file; without one, for this incarnation of the receiver.

    Owns one entry for each task that was ever admitted; over `MAX_TASKS` it admits no new one."""

    def __init__(self, path: Path | None = None) -> None:
        """Raises FenceError where the file is there and cannot be read."""
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
            raise FenceError(f"{path}: torn or spoilt; its tokens are not to be guessed")
        self._highest = {task: int(token, 16) for task, token in json.loads(rows).items()}

    def _write(self, path: Path) -> None:
        """Write, sync, rename, sync the folder: when this returns, the tokens survive the machine."""
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
        """Whether an effect of this task may be taken. An equal token is the same owner's, for a token names
        its owner. Raises OSError where the token cannot be stored, and then it is not admitted."""
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
        """The largest token of this task that was admitted, or 0."""
        return self._highest.get(task, 0)
