"""`plumpick size FILE`: the resources that a tier of the sizes in an operator's form needs, against its
limits."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from plumpick.capacity.form import FormError, load
from plumpick.capacity.model import ModelError, evaluate_rows
from plumpick.capacity.page import generated_parts, line_as_json, replace_parts, rows_table
from plumpick.capacity.slopes import SlopesError, load_slopes, select_slopes
from plumpick.cli import EXIT_HELD, EXIT_USAGE


def size(arguments: argparse.Namespace) -> int:
    """Run the command. Returns exit code 0 if the rows were printed or written, also if limits are exceeded,
    and 2 if the form, the slopes or the page are invalid."""
    try:
        sizes, slopes = load(arguments.file), load_slopes()
        lines = evaluate_rows(sizes, select_slopes(slopes))
        if arguments.page:
            page = Path(arguments.page)
            text = replace_parts(page.read_text(encoding="utf-8"), generated_parts(lines, slopes))
            page.write_text(text, encoding="utf-8")
            return EXIT_HELD
    except (FormError, ModelError, SlopesError, OSError, ValueError) as problem:
        print(f"plumpick size: {problem}", file=sys.stderr)
        return EXIT_USAGE
    print(
        json.dumps([line_as_json(line) for line in lines], indent=1) if arguments.json else rows_table(lines)
    )
    return EXIT_HELD
