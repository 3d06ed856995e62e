"""Does the program do what the recorded one did? `python tests/compatibility/oracle.py [check | record]`

The recorded files hold digests and words of a landed program, under tags that no rename reaches; `check`
plays everything again and names the first differences. A refactoring has to leave all of it equal. Record
anew only with a change that is meant to change what the program does, and say so in the commit.
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
SHOWN = 10  # differences that are printed


def recorded(name):
    """What was recorded under that name."""
    return json.loads(gzip.decompress((FOLDER / f"{name}.json.gz").read_bytes()))


def keep(name, value):
    """Write it down; the same value gives the same bytes."""
    FOLDER.mkdir(exist_ok=True)
    data = json.dumps(value, indent=0, sort_keys=True).encode()
    (FOLDER / f"{name}.json.gz").write_bytes(gzip.compress(data, mtime=0))


def played(pool, call, seeds):
    """What a call gives for each seed, by the seed's text."""
    return {str(seed): result for seed, result in zip(seeds, pool.map(call, seeds), strict=True)}


def current(jobs=None):
    """Everything, as the program does it now."""
    with ProcessPoolExecutor(jobs) as pool:
        return {
            "fleets": played(pool, fleets.digest_of, FLEET_SEEDS),
            "histories": played(pool, histories.digest_of, HISTORY_SEEDS),
            "edges": edges.all_of_them(),
            "config_decisions": played(pool, config_histories.digests_of, CONFIG_SEEDS),
            "config_replies": config_wire.replies(),
        }


def differences(before, now, path=""):
    """Where two values part, a line each."""
    if type(before) is type(now) is dict:
        for key in sorted({*before, *now}):
            if key not in before or key not in now:
                yield f"{path}/{key}: only {'now' if key in now else 'before'}"
            else:
                yield from differences(before[key], now[key], f"{path}/{key}")
    elif before != now:
        yield f"{path}: {json.dumps(before)[:200]} is now {json.dumps(now)[:200]}"


def check(jobs=None):
    """The differences between the recorded program and this one."""
    found = []
    for name, value in current(jobs).items():
        found += differences(recorded(name), json.loads(json.dumps(value)), name)
    saved = recorded("snapshots")
    found += differences(saved["digests"], snapshots.digests(saved), "snapshots")
    left = recorded("config_state")
    taken_up = json.loads(json.dumps(config_wire.inherited(left["state"])))
    found += differences(left["taken_up"], taken_up, "config_state")
    return found


def record():
    """Record this program."""
    for name, value in current().items():
        keep(name, value)
    keep("snapshots", snapshots.recorded(SNAPSHOT_SEEDS))
    keep("config_state", config_wire.left_behind())


def main():
    """0 where all is equal, 1 where it is not."""
    if sys.argv[1:] == ["record"]:
        record()
        return 0
    found = check()
    for line in found[:SHOWN]:
        print(line)
    print(f"{len(found)} differences from the recorded program")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
