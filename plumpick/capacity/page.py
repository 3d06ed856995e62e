"""The tables of docs/CAPACITY.md, and of `plumpick size`."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from plumpick.capacity.model import EvaluatedRow, rows_without_mechanism
from plumpick.capacity.rows import EVENTS, FIGURES, ROLES, ROWS, WITH_SERVICE, WITHOUT_SERVICE
from plumpick.capacity.slopes import Slope

BEGIN, END = "<!-- {}: from `plumpick size`, not by hand -->", "<!-- end of {} -->"
ROWS_TABLE, SLOPES_TABLE, MISSING, GAPS, PAIRS = "rows", "slopes", "missing", "gaps", "before and with"


def format_number(value: float) -> str:
    """A number with three significant digits; from 100 on as an integer, below 0.001 in exponential form."""
    if value and abs(value) < 0.001:
        return f"{value:.1e}"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def rows_table(lines: Sequence[EvaluatedRow]) -> str:
    """The table of all evaluated rows, in Markdown."""
    head = [
        "| role or event | figure | at this size | limit | ratio | carried by | range | worked out as |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    return "\n".join(head + [_row(line) for line in lines])


def _row(line: EvaluatedRow) -> str:
    row = line.row
    limit = "none set" if line.limit is None else format_number(line.limit)
    ratio = "" if line.ratio is None else format_number(line.ratio)
    if line.ratio is not None and line.ratio > 1:
        ratio = f"**{ratio}**"
    carried = "**none**" if line.is_missing else f"`{line.mechanism}`"
    return (
        f"| {row.who} | {row.figure}: {row.what} | {format_number(line.value)} {row.unit} | {limit} | "
        f"{ratio} | {carried} | {line.range} | `{row.formula}` |"
    )


def slopes_table(slopes: Sequence[Slope]) -> str:
    """The table of all measured slopes, in Markdown."""
    head = [
        "| slope | what | unit | by | points | curve | off | rounds apart | decisions | date |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    return "\n".join(
        head
        + [
            f"| `{one.name}` | {one.what} | {one.unit} | {one.x} | "
            f"{'; '.join(f'{x:,.0f}: {format_number(y)}' for x, y in one.points)} | "
            f"{one.form}: a {one.a:.4g}, b {one.b:.4g} | {100 * one.residual:.1f} % | "
            f"{'one round' if one.scatter == 1 else f'{one.scatter:.2f} times'} | {one.decisions} | "
            f"{one.date} |"
            for one in slopes
        ]
    )


def missing_text(lines: list[EvaluatedRow]) -> str:
    """The list of figures beyond their limits without a mechanism, largest ratio first, in Markdown."""
    rows = rows_without_mechanism(lines)
    if not rows:
        return "Nothing that passes its limit lacks a mechanism."
    return "\n".join(
        f"{place}. **{line.row.who}**, {line.row.what}: {format_number(line.value)} {line.row.unit} of "
        f"{format_number(line.limit or 0)}, {format_number(line.ratio or 0)} times"
        for place, line in enumerate(rows, 1)
    )


def pairs_table(lines: Sequence[EvaluatedRow]) -> str:
    """The table of figures that have rows for both ways of changing settings, side by side, in Markdown."""
    head = [f"| role or event | figure | {WITHOUT_SERVICE} | {WITH_SERVICE} |", "| --- | --- | --- | --- |"]
    found: dict[tuple[str, str], tuple[list[str], list[str]]] = {}
    for row in ROWS:
        for place, way in enumerate((WITHOUT_SERVICE, WITH_SERVICE)):
            if row.what.startswith(way):
                line = next(one for one in lines if one.row is row)
                ratio = "" if line.ratio is None else f", {format_number(line.ratio)} times the limit"
                found.setdefault((row.who, row.figure), ([], []))[place].append(
                    f"{row.what.removeprefix(f'{way}: ')}: {format_number(line.value)} {row.unit}{ratio}"
                )
    return "\n".join(
        head
        + [
            f"| {who} | {figure} | {'; '.join(before)} | {'; '.join(after)} |"
            for (who, figure), (before, after) in found.items()
            if before and after
        ]
    )


def gaps_table() -> str:
    """The table of the number of rows for each role or event and figure, in Markdown."""
    head = [f"| | {' | '.join(FIGURES)} |", "| --- |" + " --- |" * len(FIGURES)]
    body = []
    for who in (*ROLES, *EVENTS):
        counts = [sum(row.who == who and row.figure == figure for row in ROWS) for figure in FIGURES]
        body.append(f"| {who} | {' | '.join(str(count) if count else 'none' for count in counts)} |")
    return "\n".join(head + body)


def generated_parts(lines: list[EvaluatedRow], slopes: Sequence[Slope]) -> dict[str, str]:
    """All generated parts of the page, by name."""
    return {
        ROWS_TABLE: rows_table(lines),
        SLOPES_TABLE: slopes_table(slopes),
        MISSING: missing_text(lines),
        GAPS: gaps_table(),
        PAIRS: pairs_table(lines),
    }


def text_between_marks(text: str, name: str) -> str:
    """The text between the begin and end marks of a part. Raises ValueError unless each mark occurs once, in
    order."""
    begin, end = BEGIN.format(name), END.format(name)
    if text.count(begin) != 1 or text.count(end) != 1 or text.index(begin) > text.index(end):
        raise ValueError(f"expected one begin mark and one end mark of the part {name!r}, in this order")
    return text[text.index(begin) + len(begin) : text.index(end)].strip("\n")


def replace_parts(text: str, new_parts: Mapping[str, str]) -> str:
    """The page with these parts replaced, by name. Raises ValueError if a part has no valid marks."""
    for name, part in new_parts.items():
        old = text_between_marks(text, name)
        begin, end = BEGIN.format(name), END.format(name)
        text = text.replace(f"{begin}\n{old}\n{end}" if old else f"{begin}\n{end}", f"{begin}\n{part}\n{end}")
    return text


def line_as_json(line: EvaluatedRow) -> dict[str, Any]:
    """An evaluated row as printed by --json."""
    row = line.row
    return {
        "who": row.who,
        "figure": row.figure,
        "what": row.what,
        "unit": row.unit,
        "value": line.value,
        "limit": line.limit,
        "ratio": line.ratio,
        "mechanism": line.mechanism,
        "range": line.range,
        "slopes": list(line.slopes),
        "formula": row.formula,
        "limit_formula": row.limit,
    }
