"""The check of fencing tokens at a receiver of effects."""

import os

import pytest

from plumpick.gateway.cluster.fence import Fence, FenceError


def test_smaller_token_of_a_task_is_rejected_before_and_after_a_restart(tmp_path):
    fence = Fence(tmp_path / "fence")
    assert fence.admit("a", 5) and fence.admit("a", 5) and not fence.admit("a", 4) and fence.admit("b", 1)
    again = Fence(tmp_path / "fence")
    assert again.highest("a") == 5 and not again.admit("a", 4) and again.admit("a", 6)


@pytest.mark.parametrize("cut", [0, 5, 12, -1])
def test_truncated_file_raises_fence_error(tmp_path, cut):
    path = tmp_path / "fence"
    Fence(path).admit("a", 5)
    data = path.read_bytes()
    path.write_bytes(data[:cut])
    with pytest.raises(FenceError, match="torn"):
        Fence(path)


def test_incomplete_temporary_file_is_ignored(tmp_path):
    path = tmp_path / "fence"
    Fence(path).admit("a", 5)
    (tmp_path / "fence.new").write_bytes(b"half")
    assert Fence(path).highest("a") == 5


def test_token_that_cannot_be_stored_is_not_admitted(tmp_path):
    folder = tmp_path / "gone"
    folder.mkdir()
    fence = Fence(folder / "fence")
    os.rmdir(folder)
    with pytest.raises(OSError):
        fence.admit("a", 5)
    assert fence.highest("a") == 0
