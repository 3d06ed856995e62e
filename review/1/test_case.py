"""Case 1 of the review: a request that offers an upgrade keeps its body."""

import subprocess
from pathlib import Path


def test_offered_upgrade():
    """The case's script exits with 0: the rule held."""
    assert subprocess.run([Path(__file__).with_name("run.sh")], check=False).returncode == 0
