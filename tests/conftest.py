"""Deselects the tests of known, unfixed faults that KNOWN-RED.txt lists, and prints its entries.

With --known-red only these tests are run.
"""

import gc

import pytest
from known_red import entries


@pytest.fixture(autouse=True, scope="module")
def collect_garbage():
    """Ends what a module's tests have left open before the next module: `ast.parse` of CPython 3.11 fails if
    a finalizer that runs meanwhile parses code, as the report of an unclosed connection does."""
    yield
    gc.collect()


def pytest_addoption(parser):
    parser.addoption("--known-red", action="store_true", help="run only the tests listed in KNOWN-RED.txt")


def pytest_collection_modifyitems(config, items):
    """Deselects the tests listed in KNOWN-RED.txt, or with --known-red all other tests."""
    named = {entry.test for entry in entries()}
    red = [item for item in items if item.nodeid in named or item.nodeid.partition("[")[0] in named]
    if config.getoption("--known-red"):
        red = [item for item in items if item not in red]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]


def pytest_terminal_summary(terminalreporter, config):
    """Prints every entry of KNOWN-RED.txt, even if all tests passed."""
    run = "run" if config.getoption("--known-red") else "not run"
    for entry in entries():
        terminalreporter.write_line(
            f"KNOWN RED, {run}: {entry.test}: {entry.command}: {entry.seen} (issue {entry.issue})"
        )
