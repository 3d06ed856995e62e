"""Start of the daemon with invalid operator's settings, and without any."""

import json
import os
import subprocess
import sys

import pytest
from support.fakes import config


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[fleet]\nvoters = [0]\nslot = 3\n", "fleet.slot: no such key"),
        ("[fleet]\nvoters = [7]\n", "fleet.voters"),
    ],
)
def test_daemon_exits_with_2_and_one_line_on_invalid_operators_settings(tmp_path, text, key):
    (tmp_path / "config.json").write_text(json.dumps(config()))
    (tmp_path / "operator.toml").write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "plumpick"],
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            "BALANCER_CONFIG": str(tmp_path / "config.json"),
            "PLUMPICK_OPERATOR": str(tmp_path / "operator.toml"),
        },
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and key in done.stderr and len(done.stderr.splitlines()) == 1


def test_cluster_modules_are_not_imported_without_operators_settings():
    code = (
        "import sys; import plumpick.gateway.daemon; "
        "print([m for m in sys.modules if m.startswith('plumpick') and "
        "any(w in m for w in ('leases', 'cluster', 'operator_config', 'scheduled_tasks', 'usage'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
    )
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
