"""The shape of the code: what may import what, and how large a module or a function may be."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent
MAX_MODULE_LINES, MAX_FUNCTION_LINES = 400, 50  # nonblank lines; lines from `def` to the last one
POLICY = ("anisefront",)
GATEWAY = (
    "plumpick/*.py",
    "plumpick/fronts",
    "plumpick/upstream",
    "plumpick/handover",
    "plumpick/fleet",
    "plumpick/configuration",
)
TOOLS = {"plumpick/cli.py"}  # beside the daemon's files, and none of it

# Modules and functions that are larger, and circles of imports, until they are split: each has to leave
# this list once it no longer needs it.
LARGE_MODULES = {
    "anisefront/budgets/book.py",
    "anisefront/control.py",
    "plumpick/fleet/runner.py",
    "plumpick/fronts/http/connections.py",
    "plumpick/gatekeeper.py",
    "plumpick/upstream/workers.py",
}
LARGE_FUNCTIONS = {
    "anisefront/budgets/book.py:_asked",
    "anisefront/configuration/shelf.py:summary",
    "anisefront/control.py:at_home",
    "anisefront/control.py:choose",
    "anisefront/estate.py:leave",
    "anisefront/estate.py:take_over",
    "plumpick/daemon.py:serve",
    "plumpick/fleet/runner.py:status",
    "plumpick/gatekeeper.py:__init__",
}
CIRCLES = {
    ("anisefront.control", "anisefront.estate", "anisefront.reconfigure"),
    ("plumpick.fronts.http.admission", "plumpick.fronts.http.connections", "plumpick.fronts.http.front"),
    ("plumpick.simulation.loop", "plumpick.simulation.network"),
    (
        "plumpick.capacity.model",
        "plumpick.capacity.page",
        "plumpick.cli",
        "plumpick.rehearsal.commands",
        "plumpick.simulation.commands",
        "plumpick.tools.bounds",
        "plumpick.tools.counts",
        "plumpick.tools.size",
    ),
}
# The simulator's wire is the one module beside the decisions that reads and writes.
WIRE = {"anisefront/simhost.py"}
NO_IO = {
    "asyncio",
    "datetime",
    "http",
    "io",
    "logging",
    "multiprocessing",
    "os",
    "pathlib",
    "select",
    "shutil",
    "signal",
    "socket",
    "ssl",
    "subprocess",
    "sys",
    "tempfile",
    "threading",
    "time",
    "urllib",
}


def python_files(*places):
    """The files of these folders and patterns, in order."""
    found = set()
    for place in places:
        path = ROOT / place
        found.update(path.rglob("*.py") if path.is_dir() else ROOT.glob(place))
    return sorted(found)


def name_of(path):
    return str(path.relative_to(ROOT))


def core_files():
    """The decisions and the daemon."""
    return [path for path in python_files(*POLICY, *GATEWAY) if name_of(path) not in TOOLS]


def imported(tree):
    """Every module that a file names in its imports, also inside functions and for types alone."""
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
    return names


def test_decisions_import_no_io_no_clock_and_nothing_of_the_daemon():
    for path in python_files(*POLICY):
        if name_of(path) not in WIRE:
            roots = {name.partition(".")[0] for name in imported(ast.parse(path.read_text()))}
            assert not roots & {*NO_IO, "plumpick"}, path


def test_modules_have_one_job():
    large = set()
    for path in core_files():
        lines = path.read_text().splitlines()
        if sum(bool(line.strip()) for line in lines) > MAX_MODULE_LINES:
            large.add(name_of(path))
    assert large <= LARGE_MODULES, large - LARGE_MODULES


def test_functions_are_short():
    large = set()
    for path in core_files():
        for node in ast.walk(ast.parse(path.read_text())):
            is_function = isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
            if is_function and node.end_lineno - node.lineno + 1 > MAX_FUNCTION_LINES:
                large.add(f"{name_of(path)}:{node.name}")
    assert large <= LARGE_FUNCTIONS, large - LARGE_FUNCTIONS


def import_graph():
    """Which modules of the repository import which, by their names."""
    paths = {}
    for path in python_files("anisefront", "plumpick", "benchmarks"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        paths[name] = path
    graph = {}
    for name, path in paths.items():
        graph[name] = {other for other in imported(ast.parse(path.read_text())) if other in paths} - {name}
    return graph


def circles_of(graph):
    """The groups of modules that import one another in a circle, each in order of its names."""
    reach = {}
    for start in graph:
        seen, waiting = set(), [start]
        while waiting:
            for other in graph[waiting.pop()] - seen:
                seen.add(other)
                waiting.append(other)
        reach[start] = seen
    return {
        tuple(sorted(other for other in reach[name] if name in reach[other]))
        for name in graph
        if name in reach[name]
    }


def test_no_modules_import_one_another_in_a_circle():
    # A package counts as importing only what its own file names, not what its modules do.
    assert circles_of(import_graph()) == CIRCLES


def test_a_circle_is_found():
    graph = {"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}
    assert circles_of(graph) == {("a", "b", "c")}
