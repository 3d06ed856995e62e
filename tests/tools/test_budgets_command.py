"""The output of `plumpick budgets`, and the budgets in the output of `plumpick bounds`."""

import json

import pytest
from support.fakes import config
from support.ledger_fleet import LedgerFleet

from plumpick.cli import main
from plumpick.tools.budgets import table_lines


def test_table_shows_allocator_token_and_sums_of_budgets():
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(3000, [0, 200, 0])
    rows = []
    for number, ledger in enumerate(fleet.ledgers):
        rows.append(
            {
                "gatekeeper": f"n{number}",
                "budgets": [
                    {
                        "name": row.name,
                        "whole": row.limit,
                        "floor": row.guaranteed,
                        "lent": row.granted,
                        "until_ms": row.expires_in_ms,
                        "left": row.available,
                        "demand": row.demand,
                        "unmet": row.rejected,
                        "divider": row.allocator,
                        "token": f"{row.fencing_token:x}",
                        "out": row.granted_to_all,
                    }
                    for row in ledger.status(fleet.now)
                ],
            }
        )
    text = "\n".join(table_lines(rows))
    assert "n0, token 1, here: 42 lent to all" in text and "whole 60, floors and shares 59.8" in text


def test_bounds_command_prints_bounds_of_budgets_and_rejects_invalid_settings(tmp_path, capsys):
    (tmp_path / "config.json").write_text(json.dumps(config()))
    (tmp_path / "operator.toml").write_text(
        "[fleet]\nvoters = [0]\nterm_s = 4\nshare_s = 2\n"
        "[[fleet.budget]]\nname = 'x'\nwhole = 60\nburst = 30\nfloor = 0.5\n"
    )
    arguments = ["bounds", str(tmp_path / "config.json"), "--operator", str(tmp_path / "operator.toml")]
    assert main([*arguments, "--json"]) == 0
    rows = {(row["state"], row["window_s"]): row for row in json.loads(capsys.readouterr().out)["budgets"]}
    assert all(row["most"] == 30 + 60 * row["window_s"] for row in rows.values())
    assert rows["no majority of voters", 10.0]["sure"] == pytest.approx(300 / 1.01)
    assert rows["cut off alone", 10.0]["sure"] == pytest.approx(100 / 1.01)
    assert rows["the divider dies", 10.0]["sure"] == pytest.approx((300 * 0.8 + 600 * 0.2) / 1.01)
    assert main(arguments) == 0 and "floors alone for 8 s at most" in capsys.readouterr().out
    (tmp_path / "operator.toml").write_text("[fleet]\nvoters = [9]\n")
    assert main(arguments) == 2 and "fleet.voters" in capsys.readouterr().err
