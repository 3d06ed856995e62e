"""States that a recorded process left, word for word, and what a process does that goes on from them."""

import json

from compatibility import histories

AFTER_MS = 1500.0


class Continued(histories.History):
    """A history in which a gateway goes on from a recorded state."""

    def __init__(self, seed, number, state):
        super().__init__(seed, histories.START_MS + AFTER_MS)
        self.at(self.now + 5, number, histories.words.make("import", state))

    def replace_process(self):
        """No other state than the recorded one."""


def recorded(seeds):
    """The last state that a process left in each seed's history, and what came of going on from it."""
    rows = {}
    for seed in seeds:
        history = histories.History(seed)
        history.play()
        if history.snapshot is not None:
            number, at_ms, state = history.snapshot
            rows[str(seed)] = {"number": number, "at_ms": at_ms, "state": state}
    saved = json.loads(json.dumps({"states": rows}, sort_keys=True))  # as they are read later
    return {**saved, "digests": digests(saved)}


def digests(saved):
    """What a process does that goes on from each saved state."""
    return {
        seed: Continued(int(seed), row["number"], row["state"]).play()[0]
        for seed, row in saved["states"].items()
    }
