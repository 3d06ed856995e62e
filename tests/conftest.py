"""Tests of known faults that cannot be mended yet: those in KNOWN-RED.txt are passed over, and told."""

from known_red import entries


def pytest_collection_modifyitems(config, items):
    """Pass over just these."""
    named = {test for test, _, _ in entries()}
    red = [item for item in items if item.nodeid in named or item.nodeid.partition("[")[0] in named]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]


def pytest_terminal_summary(terminalreporter):
    """Tell them, also where nothing else failed."""
    for test, cause, issue in entries():
        terminalreporter.write_line(f"KNOWN RED, not run: {test}: {cause} (issue {issue})")
