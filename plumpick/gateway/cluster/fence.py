"""What the receiver of an effect does: it takes none under a token smaller than the largest it has seen.

    fence = Fence(Path("fence.json"))
    if not fence.admit("use", token): answer 409, and `fence.highest("use")` in it

The pair of duty and period is the key of an effect: whether it was taken already is for the receiver's own
records. Guards against: a process that stood still between its last look at the clock and the effect (its
token is smaller by now); a torn or spoilt file (it is an error, never the beginning of a new count)."""

from __future__ import annotations

import json
import os
import zlib
from pathlib import Path

MOST_DUTIES = 100_000


class FenceError(Exception):
    """The fence's file cannot be used; the text says why. Nothing may be admitted without it."""


class Fence:
    """The largest token seen of each duty, kept in a file; without one, for this life of the receiver.

    Table: one entry for each duty that was ever admitted; over `MOST_DUTIES` it admits no new one."""

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
        check, _, rows = text.partition("\n")
        if check != f"{zlib.crc32(rows.encode()):08x}":
            raise FenceError(f"{path}: torn or spoilt; its tokens are not to be guessed")
        self._highest = {duty: int(token, 16) for duty, token in json.loads(rows).items()}

    def _write(self) -> None:
        """Write, sync, rename, sync the folder: after this returns it outlives the machine."""
        assert self._path is not None
        rows = json.dumps({duty: f"{token:x}" for duty, token in self._highest.items()})
        news = self._path.with_name(self._path.name + ".new")
        with open(news, "w", encoding="utf-8") as file:
            file.write(f"{zlib.crc32(rows.encode()):08x}\n{rows}")
            file.flush()
            os.fsync(file.fileno())
        os.replace(news, self._path)
        folder = os.open(self._path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def admit(self, duty: str, token: int) -> bool:
        """Whether an effect of this duty may be taken. The token holds its owner, so an equal one is the same
        owner's. Raises OSError where it cannot be kept, and then it is not admitted."""
        highest = self._highest.get(duty)
        if highest is not None and token < highest or highest is None and len(self._highest) >= MOST_DUTIES:
            return False
        if highest is None or token > highest:
            self._highest[duty] = token
            if self._path is not None:
                try:
                    self._write()
                except OSError:
                    if highest is None:
                        del self._highest[duty]
                    else:
                        self._highest[duty] = highest
                    raise
        return True

    def highest(self, duty: str) -> int:
        """The largest token of this duty that was admitted, or 0."""
        return self._highest.get(duty, 0)
