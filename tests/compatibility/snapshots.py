"""Snapshots that a recorded process exported, and what a process does after importing one of them."""

import json

from compatibility import histories

AFTER_MS = 1500.0  # Simulated time that a history runs after the import


class Continued(histories.History):
    """A history in which one gateway imports a recorded snapshot at the beginning."""

    def __init__(self, seed, number, state):
        super().__init__(seed, histories.START_MS + AFTER_MS)
        self.at(self.now + 5, number, histories.words.make("import", state))

    def replace_process(self):
        """Does nothing, so that the recorded snapshot is the only one imported."""


def recorded(seeds):
    """Returns the last snapshot of each seed's history and the digests of histories that import it."""
    rows = {}
    for seed in seeds:
        history = histories.History(seed)
        history.play()
        if history.snapshot is not None:
            number, at_ms, state = history.snapshot
            rows[str(seed)] = {"number": number, "at_ms": at_ms, "state": state}
    saved = json.loads(json.dumps({"states": rows}, sort_keys=True))  # same form as after reading the file
    return {**saved, "digests": digests(saved)}


def digests(saved):
    """Returns, by seed, the digest of a history that imports the saved snapshot."""
    return {
        seed: Continued(int(seed), row["number"], row["state"]).play()[0]
        for seed, row in saved["states"].items()
    }
