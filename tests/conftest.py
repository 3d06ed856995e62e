"""Tests of known faults that cannot be mended yet: those in KNOWN-RED.txt are passed over, and printed.
With --known-red just these are run."""

from known_red import entries


def pytest_addoption(parser):
    parser.addoption("--known-red", action="store_true", help="run just the tests of KNOWN-RED.txt")


def pytest_collection_modifyitems(config, items):
    """Pass over just these, or over all others."""
    named = {entry.test for entry in entries()}
    red = [item for item in items if item.nodeid in named or item.nodeid.partition("[")[0] in named]
    if config.getoption("--known-red"):
        red = [item for item in items if item not in red]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]


def pytest_terminal_summary(terminalreporter, config):
    """Print every entry, also where nothing else failed."""
    run = "run" if config.getoption("--known-red") else "not run"
    for entry in entries():
        terminalreporter.write_line(
            f"KNOWN RED, {run}: {entry.test}: {entry.command}: {entry.seen} (issue {entry.issue})"
        )
