"""KNOWN-RED.txt at the root: one line for each test of a real fault that cannot be mended now."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
FILE, MOST = ROOT / "KNOWN-RED.txt", 3


def parsed(text):
    """(test, cause, issue) of each line `TEST | CAUSE | ISSUE`. Raises ValueError."""
    rows = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not parts[2].isdigit():
            raise ValueError(f"KNOWN-RED.txt, line {number}: TEST | CAUSE | ISSUE is due")
        rows.append((parts[0], parts[1], int(parts[2])))
    if len(rows) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(rows)} lines, and {MOST} are the most")
    return rows


def entries():
    """Those that stand there now."""
    return parsed(FILE.read_text()) if FILE.exists() else []
