"""Compares the program with recorded results: `python tests/compatibility/oracle.py [check | record]`

The files in `recorded/` hold digests and texts of an earlier version, under tags that do not depend on names
in the code. `check` runs all cases again and prints the first differences. A refactoring must give none. Use
`record` only with an intended change of behaviour, and say so in the commit message.
"""

import gzip
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

if __name__ == "__main__":
    tests = Path(__file__).resolve().parents[1]
    sys.path[:0] = [str(tests.parent), str(tests)]

from compatibility import config_histories, config_wire, edges, fleets, histories, snapshots

FOLDER = Path(__file__).with_name("recorded")
HISTORY_SEEDS, FLEET_SEEDS, SNAPSHOT_SEEDS, CONFIG_SEEDS = range(200), range(60), range(12), range(60)
MAX_PRINTED_DIFFERENCES = 10


def recorded(name):
    """Returns the value of the recorded file `name`.json.gz."""
    return json.loads(gzip.decompress((FOLDER / f"{name}.json.gz").read_bytes()))


def write_recorded(name, value):
    """Writes a value to the recorded file `name`.json.gz; equal values give equal bytes."""
    FOLDER.mkdir(exist_ok=True)
    data = json.dumps(value, indent=0, sort_keys=True).encode()
    (FOLDER / f"{name}.json.gz").write_bytes(gzip.compress(data, mtime=0))


def results_by_seed(pool, call, seeds):
    """Runs `call` for each seed in the pool; returns the results by the seed as a string."""
    return {str(seed): result for seed, result in zip(seeds, pool.map(call, seeds), strict=True)}


def current(jobs=None):
    """Returns the results of all cases for this program, by the names of the recorded files."""
    with ProcessPoolExecutor(jobs) as pool:
        return {
            "fleets": results_by_seed(pool, fleets.digest_of, FLEET_SEEDS),
            "histories": results_by_seed(pool, histories.digest_of, HISTORY_SEEDS),
            "edges": edges.all_outputs(),
            "config_decisions": results_by_seed(pool, config_histories.digests_of, CONFIG_SEEDS),
            "config_replies": config_wire.replies(),
        }


def differences(before, now, path=""):
    """Yields one line for each path at which two JSON values differ."""
    if type(before) is type(now) is dict:
        for key in sorted({*before, *now}):
            if key not in before or key not in now:
                yield f"{path}/{key}: only {'now' if key in now else 'before'}"
            else:
                yield from differences(before[key], now[key], f"{path}/{key}")
    elif before != now:
        yield f"{path}: {json.dumps(before)[:200]} is now {json.dumps(now)[:200]}"


def check(jobs=None):
    """Returns the differences between the recorded results and those of this program, one line each."""
    found = []
    for name, value in current(jobs).items():
        found += differences(recorded(name), json.loads(json.dumps(value)), name)
    saved = recorded("snapshots")
    found += differences(saved["digests"], snapshots.digests(saved), "snapshots")
    left = recorded("config_state")
    taken_up = json.loads(json.dumps(config_wire.imported_versions(left["state"])))
    found += differences(left["taken_up"], taken_up, "config_state")
    return found


def record():
    """Overwrites all recorded files with the results of this program."""
    for name, value in current().items():
        write_recorded(name, value)
    write_recorded("snapshots", snapshots.recorded(SNAPSHOT_SEEDS))
    write_recorded("config_state", config_wire.exported_state())


def main():
    """Runs `check` or `record`; returns the exit code: 1 if `check` found differences, otherwise 0."""
    if sys.argv[1:] == ["record"]:
        record()
        return 0
    found = check()
    for line in found[:MAX_PRINTED_DIFFERENCES]:
        print(line)
    print(f"{len(found)} differences from the recorded results")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
