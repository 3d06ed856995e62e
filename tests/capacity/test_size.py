"""The capacity model: form, slopes, rows, page and the command `plumpick size`."""

import ast
import json
import math
import pathlib
import tomllib
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plumpick.capacity import form, model, page, rows, slopes
from plumpick.cli import main
from plumpick.policy.errors import ReconfigurationError

ROOT = pathlib.Path(__file__).parents[2]
TARGET, PAGE = ROOT / "deploy/target.toml", ROOT / "docs/CAPACITY.md"
ALL = slopes.load_slopes()
CHOSEN = slopes.select_slopes(ALL)


def target():
    return form.load(str(TARGET))


def lines():
    return model.evaluate_rows(target(), CHOSEN)


def run_size_command(capsys, *words):
    code = main(["size", *words])
    output = capsys.readouterr()
    return code, output.out, output.err


def test_page_contains_the_tables_of_the_command_between_its_marks(capsys):
    code, out, err = run_size_command(capsys, str(TARGET))
    assert (code, err) == (0, "")
    text = PAGE.read_text()
    assert page.text_between_marks(text, page.ROWS_TABLE) == out.strip()
    for name, part in page.generated_parts(lines(), ALL).items():
        assert page.text_between_marks(text, name) == part, name


def test_changed_slope_or_removed_row_changes_the_table():
    text = PAGE.read_text()
    table = page.text_between_marks(text, page.ROWS_TABLE)
    for name in {name for line in lines() for name in line.slopes}:
        dearer = replace(CHOSEN[name], a=CHOSEN[name].a * 1.1 + 0.1, b=CHOSEN[name].b * 1.1)
        assert page.rows_table(model.evaluate_rows(target(), {**CHOSEN, name: dearer})) != table, name
    for place, row in enumerate(rows.ROWS):
        without = rows.ROWS[:place] + rows.ROWS[place + 1 :]
        assert page.rows_table(model.evaluate_rows(target(), CHOSEN, without)) != table, row.what


@pytest.mark.parametrize("slope", ALL, ids=lambda slope: f"{slope.name}-{slope.decisions}")
def test_slope_matches_its_points_and_altered_slopes_are_rejected(slope):
    slope.check()
    assert len(slope.points) >= 4 and slope.command and slope.machine
    for wrong in (
        replace(slope, b=slope.b * 1.01 + 1e-6),
        replace(slope, a=slope.a * 1.01 + 1e-6),
        replace(slope, residual=slope.residual + 0.01),
        replace(slope, points=slope.points[:3]),
    ):
        with pytest.raises(slopes.SlopesError, match=slope.name):
            wrong.check()


def test_slopes_name_their_command_and_rows_name_existing_code():
    for slope in ALL:
        assert slope.command.startswith(f"python -m benchmarks.slopes --only {slope.name}")
        assert ("--compiled" in slope.command) == (slope.decisions == slopes.COMPILED)
    for row in rows.ROWS:
        assert row.who in rows.ROLES + rows.EVENTS and row.figure in rows.FIGURES
        mechanism = rows.MECHANISMS[row.mechanism]
        if mechanism == rows.NONE:
            continue
        file, _, function = mechanism.partition(", ")
        text = (ROOT / file).read_text()
        for name in function.replace(" and ", ".").split(".") if function else ():
            assert f"def {name}" in text or f"class {name}" in text, mechanism


def test_formulas_contain_no_numbers_but_unit_conversions_and_1():
    for row in rows.ROWS:
        for formula in filter(None, (row.formula, row.limit)):
            numbers = {node.value for node in ast.walk(ast.parse(formula)) if isinstance(node, ast.Constant)}
            assert numbers <= {1, 10, 100, 1000, 10_000, 1_000_000, 86_400}, row.what


def evaluate_with_python(formula, sizes):
    """Evaluate a formula with Python's own arithmetic, and with curves fitted again to the points."""

    def sent_per_s(what, rate):
        nearest_size = 3 if sizes["set"] < 60**0.5 else 20
        value = curve(f"{what}_by_rate_{nearest_size}")(rate)
        if sizes["set"] != nearest_size:
            value *= curve(f"{what}_by_set")(sizes["set"]) / curve(f"{what}_by_set")(nearest_size)
        return value

    def curve(name):
        slope = CHOSEN[name]
        a, b = slopes.fit(slope.form, slope.points)
        return lambda x: slopes.curve_value(slope.form, a, b, x)

    names = {name: curve(name) for name in CHOSEN}
    names |= {
        "words": lambda rate: sent_per_s("words", rate),
        "word_bytes": lambda rate: sent_per_s("bytes", rate),
        "growth": lambda slope, x: slope(x) - slope(0.0),
    }
    return eval(formula, {"__builtins__": {}}, {**names, **model.constants(sizes), **sizes})


@pytest.mark.parametrize("more", [{}, {"set": 20.0}, {"set": 7.0, "gatekeepers": 40.0, "workers": 200.0}])
def test_values_and_ratios_equal_their_formulas_evaluated_by_python(more):
    sizes = {**target(), **more}
    for line in model.evaluate_rows(sizes, CHOSEN):
        value = evaluate_with_python(line.row.formula, sizes)
        assert line.value == pytest.approx(value), line.row.what
        if line.row.limit:
            assert line.ratio == pytest.approx(value / evaluate_with_python(line.row.limit, sizes)), (
                line.row.what
            )
        else:
            assert line.ratio is None


def test_table_is_sorted_by_the_ratio_to_the_limit():
    ratios = [line.ratio for line in lines()]
    limited = [ratio for ratio in ratios if ratio is not None]
    assert ratios == sorted(limited, reverse=True) + [None] * (len(ratios) - len(limited))
    missing = model.rows_without_mechanism(lines())
    assert missing and all(line.is_missing and line.ratio > 1 for line in missing)


def test_rows_of_an_implemented_mechanism_are_no_longer_missing():
    sizes = target()
    built = {**rows.MECHANISMS, "services": "plumpick/some.py, thing"}
    before = [line for line in map(lambda row: model.evaluate_row(row, sizes, CHOSEN), rows.ROWS)]
    after = [model.evaluate_row(row, sizes, CHOSEN, built) for row in rows.ROWS]
    assert sum(line.is_missing for line in after) < sum(line.is_missing for line in before)


def test_missing_part_of_the_page_lists_services_and_calls_but_no_change_of_configuration():
    missing = page.generated_parts(lines(), ALL)[page.MISSING]
    assert [line.mechanism for line in model.rows_without_mechanism(lines())] == [rows.NONE] * 2
    assert "services, each a pool of workers" in missing and "a call to each gatekeeper" in missing
    assert "changes of configuration" not in missing


def test_changes_of_configuration_exceed_limits_only_without_a_version_service():
    for figure in ("messages", "reach"):
        found = [
            line
            for line in lines()
            if (line.row.who, line.row.figure) == ("changes of configuration", figure)
        ]
        before = [line for line in found if line.row.what.startswith(rows.WITHOUT_SERVICE)]
        after = [line for line in found if line.row.what.startswith(rows.WITH_SERVICE)]
        assert all(line.ratio > 1 for line in before) and all(line.ratio < 1 for line in after)
        assert len(before) == 1 and after and not any(line.is_missing for line in (*before, *after))


def test_version_that_cannot_be_applied_at_run_time_counts_as_restarts(monkeypatch):
    """Guards against a number of restarts that is written by hand instead of taken from the program."""
    row = next(row for row in rows.ROWS if "restarts_a_version" in row.formula)
    assert model.evaluate_row(row, target(), CHOSEN).value == 0

    def reject(_old, _new):
        raise ReconfigurationError("classes: until a restart")

    monkeypatch.setattr(model, "check", reject)
    assert model.evaluate_row(row, target(), CHOSEN).value == 810 * 550


def test_time_until_a_version_is_in_force_follows_the_programs_constants(monkeypatch):
    row = next(row for row in rows.ROWS if row.formula == "version_in_force_s")
    assert model.evaluate_row(row, target(), CHOSEN).value == 3.0  # the default of `publish`
    monkeypatch.setattr(model.subscriber, "WATCH_TIMEOUT_MS", 4000.0)
    assert model.evaluate_row(row, target(), CHOSEN).value == pytest.approx(4.7)


def test_change_that_blocks_the_event_loop_exceeds_its_limit_with_many_classes_only():
    row = next(row for row in rows.ROWS if row.formula == "taken_over(routes)")
    assert model.evaluate_row(row, target(), CHOSEN).ratio > 1
    assert model.evaluate_row(row, {**target(), "routes": 230.0}, CHOSEN).ratio < 1


def test_grant_term_is_the_default_of_the_operators_file_for_the_size_of_the_tier():
    for gatekeepers in (3.0, 240.0, 550.0, 10_000.0):
        grant_term_s = model.constants({**target(), "gatekeepers": gatekeepers})["share_default_s"]
        assert grant_term_s == min(60.0, max(2.0, gatekeepers / 8))


def test_range_column_marks_values_outside_the_measured_range():
    sizes = target()
    row = next(row for row in rows.ROWS if row.formula == "changed_entry(workers)")
    most = CHOSEN["changed_entry"].max_x
    assert model.evaluate_row(row, {**sizes, "workers": most}, CHOSEN).range.startswith("measured, off ")
    beyond = model.evaluate_row(row, {**sizes, "workers": most + 1}, CHOSEN).range
    assert beyond.startswith("outside: changed_entry at ")
    plain = next(row for row in rows.ROWS if row.formula == "configuration_per_day * gatekeepers")
    assert model.evaluate_row(plain, sizes, CHOSEN).range == "formula"


def test_slopes_of_the_compiled_policy_are_preferred():
    one = ALL[0]
    plain, made = replace(one, decisions=slopes.PLAIN), replace(one, decisions=slopes.COMPILED)
    assert slopes.select_slopes([plain, made]) == slopes.select_slopes([made, plain]) == {one.name: made}


@pytest.mark.parametrize(
    "formula",
    [
        "nothing(workers)",
        "workers +",
        "nobody",
        "workers / 0",
        "growth(workers, 1)",
        "workers ** 2",
        "__import__('os')",
        "workers.real",
        "words()",
        "idle_by_workers(workers, 1)",
        "'text'",
        "1 and workers",
    ],
)
def test_invalid_formula_is_rejected(formula):
    row = replace(rows.ROWS[0], formula=formula)
    with pytest.raises(model.ModelError):
        model.evaluate_row(row, target(), CHOSEN)


FORMS = [
    (curve, points)
    for curve, points in (
        ("a + b x", [(1, 12.0), (10, 30.0), (100, 210.0), (1000, 2010.0)]),
        ("a x^b", [(1, 3.0), (4, 6.0), (100, 30.0), (10_000, 300.0)]),
        ("a x / (b + x)", [(1, 5.0), (9, 25.0), (41, 41.0), (991, 49.55)]),
    )
]


@pytest.mark.parametrize(("curve", "points"), FORMS)
def test_fit_finds_the_form_and_parameters_of_exact_points(curve, points):
    found, a, b, off = slopes.best_fit(points)
    assert found == curve and off < 1e-9
    a_again, b_again = {"a + b x": (10, 2), "a x^b": (3, 0.5), "a x / (b + x)": (50, 9)}[curve]
    assert (a, b) == (pytest.approx(a_again), pytest.approx(b_again))


def test_residual_is_the_largest_relative_deviation():
    points = [(1, 10.0), (2, 20.0), (3, 30.0), (4, 60.0)]
    assert slopes.residual("a + b x", 0.0, 10.0, points) == pytest.approx(1 / 3)


def changed(part, key, value):
    whole = tomllib.loads(TARGET.read_text())
    if value is None:
        del whole[part][key]
    else:
        whole[part][key] = value
    return whole


def as_toml(whole):
    return "\n".join(
        f"[{part}]\n" + "\n".join(f"{key} = {value}" for key, value in table.items())
        for part, table in whole.items()
    )


BAD = [
    ("tier", "workers", 0),
    ("tier", "workers", -5),
    ("tier", "gatekeepers", 0),
    ("load", "routes", 1_000_000),
    ("load", "tenants", "inf"),
    ("load", "requests_per_s", "nan"),
    ("load", "requests_per_s", "inf"),
    ("load", "tenants", 10**400),
    ("load", "set", 551),
    ("tier", "services", "true"),
    ("tier", "workers", '"many"'),
    ("tier", "workers", 10.5),
    ("limits", "told_s", 0),
    ("limits", "cpu_part", 1.2),
    ("tier", "zones", 5901),
    ("tier", "rack_workers", 5901),
    ("load", "busiest_per_s", 200),
    ("changes", "restart_parts", 551),
    ("tier", "halls", 3),
    ("limits", "memory_mb", "[256]"),
    ("load", "plans", 0),
    ("changes", "configuration_per_day", -1),
]


@pytest.mark.parametrize(("part", "key", "value"), BAD)
def test_form_with_an_invalid_value_is_rejected_by_one_line_that_names_the_key(
    part, key, value, tmp_path, capsys
):
    path = tmp_path / "form.toml"
    path.write_text(as_toml(changed(part, key, value)))
    code, out, err = run_size_command(capsys, str(path))
    assert (code, out) == (2, "") and err.count("\n") == 1
    assert f"{part}.{key}: " in err and len(err) < 600


@pytest.mark.parametrize(("part", "key"), [(part, key) for part, keys in form.KEYS.items() for key in keys])
def test_error_of_a_missing_key_names_the_key(part, key, tmp_path, capsys):
    path = tmp_path / "form.toml"
    path.write_text(as_toml(changed(part, key, None)))
    code, out, err = run_size_command(capsys, str(path))
    assert (code, out) == (2, "") and err == f"plumpick size: {path}: {part}.{key}: is missing\n"


@pytest.mark.parametrize("text", ["", "[tier]", "tier = 3", "[tier", "[halls]\nx = 1", "\udcff"])
def test_malformed_or_missing_form_file_is_rejected_by_one_line(text, tmp_path, capsys):
    path = tmp_path / "form.toml"
    path.write_bytes(text.encode(errors="surrogateescape"))
    code, out, err = run_size_command(capsys, str(path))
    assert (code, out) == (2, "") and err.count("\n") == 1
    assert run_size_command(capsys, str(tmp_path / "nowhere.toml"))[0] == 2


def any_number(key):
    low, high = key.minimum, key.maximum
    return st.integers(math.ceil(low), int(high)) if key.is_integer else st.floats(low, high)


ANY_FORM = st.fixed_dictionaries(
    {
        part: st.fixed_dictionaries({name: any_number(key) for name, key in keys.items()})
        for part, keys in form.KEYS.items()
    }
)


@given(ANY_FORM)
@settings(max_examples=150, deadline=None)
def test_every_valid_form_gives_all_rows_with_finite_values(value):
    tier, load = value["tier"], value["load"]
    load["set"] = min(load["set"], tier["gatekeepers"])
    for key in ("zones", "rack_workers"):
        tier[key] = min(tier[key], tier["workers"])
    value["changes"]["restart_parts"] = min(value["changes"]["restart_parts"], tier["gatekeepers"])
    load["requests_per_s"] = min(load["requests_per_s"], load["busiest_per_s"] * tier["gatekeepers"])
    sizes = form.parse_form(value)
    found = model.evaluate_rows(sizes, CHOSEN)
    assert len(found) == len(rows.ROWS)
    assert all(math.isfinite(line.value) and line.value >= 0 for line in found), [
        (line.row.what, line.value) for line in found if not line.value >= 0
    ]


def test_json_output_has_the_same_rows_as_the_table(capsys):
    code, out, _ = run_size_command(capsys, str(TARGET), "--json")
    printed_rows = json.loads(out)
    assert code == 0 and [row["what"] for row in printed_rows] == [line.row.what for line in lines()]
    assert [row["ratio"] for row in printed_rows] == [line.ratio for line in lines()]


def test_smaller_form_gives_smaller_values_from_the_same_slopes(tmp_path, capsys):
    path = tmp_path / "form.toml"
    path.write_text(as_toml(changed("tier", "workers", 1000)))
    _, smaller, _ = run_size_command(capsys, str(path), "--json")
    _, larger, _ = run_size_command(capsys, str(TARGET), "--json")

    def entry(text):
        return next(row["value"] for row in json.loads(text) if row["formula"] == "changed_entry(workers)")

    assert entry(smaller) < entry(larger) / 3


@pytest.mark.parametrize("text", ["", "{}", '{"slopes": [{}]}', '{"slopes": 3}', "[]"])
def test_malformed_slopes_file_raises_slopes_error(text, tmp_path):
    path = tmp_path / "slopes.json"
    path.write_text(text)
    with pytest.raises(slopes.SlopesError):
        slopes.load_slopes(path)


def test_daemon_does_not_import_the_capacity_model():
    node = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["node"]
    assert not [name for name in node if "capacity" in name]
    paths = [path for name in node for path in [ROOT / name, *(ROOT / name).rglob("*.py")] if path.is_file()]
    assert len(paths) > 60
    for path in paths:
        assert "plumpick.capacity" not in path.read_text(), path


def test_page_without_marks_is_rejected_and_not_changed(tmp_path, capsys):
    path = tmp_path / "page.md"
    path.write_text("nothing")
    code, out, err = run_size_command(capsys, str(TARGET), "--page", str(path))
    assert (code, out) == (2, "") and err.count("\n") == 1
    assert path.read_text() == "nothing"
