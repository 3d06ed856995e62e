"""Parser of KNOWN-RED.txt in the root folder: one line for each test that fails for an unfixed fault."""

from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[1]
FILE = ROOT / "KNOWN-RED.txt"


class KnownRed(NamedTuple):
    """One entry: the test, the command and seed that show the fault, what was observed, the open issue."""

    test: str
    command: str
    seen: str
    issue: int


def parse_entries(text):
    """Parses lines `TEST | COMMAND AND SEED | SEEN | ISSUE`; raises ValueError for a malformed line."""
    rows = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 4 or not all(parts) or "::" not in parts[0] or not parts[3].isdigit():
            raise ValueError(
                f"KNOWN-RED.txt, line {number}: expected TEST | COMMAND AND SEED | SEEN | ISSUE, got {line!r}"
            )
        rows.append(KnownRed(*parts[:3], int(parts[3])))
    return rows


def entries():
    """Returns the entries of KNOWN-RED.txt, none if the file does not exist."""
    return parse_entries(FILE.read_text()) if FILE.exists() else []
