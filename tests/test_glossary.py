"""Every code term in the glossary exists in the code."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent


def names_in_the_code():
    """Returns all names of classes, functions, parameters, fields and constants defined in `plumpick/`."""
    names = set()
    for path in (ROOT / "plumpick").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                names.add(node.name)
            elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
                names.add(node.id)
            elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
                names.add(node.attr)
            elif isinstance(node, ast.arg):
                names.add(node.arg)
    return names


def code_terms(text):
    """Returns the code terms of the glossary's tables: column 2 of the first part, column 1 of the second."""
    first, second = text.split("## From the code to the operators' words")
    cells = [row.split("|")[2] for row in first.splitlines() if row.startswith("| ")]
    cells += [row.split("|")[1] for row in second.splitlines() if row.startswith("| ")]
    return {part for cell in cells for term in re.findall(r"`([^`]+)`", cell) for part in term.split(".")}


def test_every_code_term_of_the_glossary_is_defined_in_the_code():
    terms, names = code_terms((ROOT / "docs/GLOSSARY.md").read_text()), names_in_the_code()
    assert len(terms) > 90
    assert not sorted(terms - names)


def test_glossary_term_missing_from_the_code_is_found():
    text = "| word | `NoSuchTerm` | |\n## From the code to the operators' words\n"
    assert code_terms(text) - names_in_the_code() == {"NoSuchTerm"}
