"""Structure of the code: allowed imports and maximum sizes of modules and functions."""

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent
# Maximum number of nonblank lines of a module, and of lines of a function from `def` to the last one.
MAX_MODULE_LINES, MAX_FUNCTION_LINES = 400, 50
POLICY = ("plumpick/policy",)
GATEWAY = ("plumpick/__main__.py", "plumpick/gateway")

# Tolerated exceptions until the code is split: modules and functions above the limits, and import cycles.
# An entry is removed as soon as it is no longer needed.
TOLERATED_LARGE_MODULES: set[str] = set()
TOLERATED_LARGE_FUNCTIONS: set[str] = set()
TOLERATED_IMPORT_CYCLES = {
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
    """Returns the sorted Python files in these folders or matching these patterns."""
    found = set()
    for place in places:
        path = ROOT / place
        found.update(path.rglob("*.py") if path.is_dir() else ROOT.glob(place))
    return sorted(found)


def name_of(path):
    return str(path.relative_to(ROOT))


def policy_and_gateway_files():
    """Returns the files of the policy package and of the gateway."""
    paths = python_files(*POLICY, *GATEWAY)
    assert len(paths) > 60
    return paths


def imported(tree):
    """Returns the modules that a file imports, including imports inside functions and type-only imports."""
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
    return names


def test_policy_imports_no_io_no_clock_and_no_gateway_module():
    for path in python_files(*POLICY):
        names = imported(ast.parse(path.read_text()))
        assert not {name.partition(".")[0] for name in names} & NO_IO, path
        own = {name for name in names if name.partition(".")[0] == "plumpick"} - {"plumpick"}
        assert all(name == "plumpick.policy" or name.startswith("plumpick.policy.") for name in own), path


def test_modules_do_not_exceed_the_line_limit():
    large = set()
    for path in policy_and_gateway_files():
        lines = path.read_text().splitlines()
        if sum(bool(line.strip()) for line in lines) > MAX_MODULE_LINES:
            large.add(name_of(path))
    assert large <= TOLERATED_LARGE_MODULES, large - TOLERATED_LARGE_MODULES


def test_functions_do_not_exceed_the_line_limit():
    large = set()
    for path in policy_and_gateway_files():
        for node in ast.walk(ast.parse(path.read_text())):
            is_function = isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
            if is_function and node.end_lineno - node.lineno + 1 > MAX_FUNCTION_LINES:
                large.add(f"{name_of(path)}:{node.name}")
    assert large <= TOLERATED_LARGE_FUNCTIONS, large - TOLERATED_LARGE_FUNCTIONS


def import_graph():
    """Returns, for each module name of the repository, the names of the repository modules it imports."""
    paths = {}
    for path in python_files("plumpick", "benchmarks"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        paths[name] = path
    graph = {}
    for name, path in paths.items():
        graph[name] = {other for other in imported(ast.parse(path.read_text())) if other in paths} - {name}
    return graph


def import_cycles(graph):
    """Returns the import cycles of a graph as sorted tuples of the modules that reach one another."""
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


def test_import_cycles_equal_the_tolerated_ones():
    # The imports of a package are those of its __init__.py, without those of its modules.
    assert import_cycles(import_graph()) == TOLERATED_IMPORT_CYCLES


def test_import_cycle_is_found():
    graph = {"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}
    assert import_cycles(graph) == {("a", "b", "c")}
