"""Gatekeepers as processes, with a service: start, the operators' call, standing still, an upgrade.

They run as `python -m benchmarks.configuration.witness`, which writes down what each was given."""

import asyncio
import json
import os
import signal
import subprocess
import sys

import pytest
from fakes import HOST, config, entry, run
from settings_rig import document, published
from test_process import ROOT, free_port, until_up

from benchmarks.configuration.trial import Published, judge, play
from plumpick.cli import main
from plumpick.gateway.config import ConfigError
from plumpick.gateway.operator_config import operator_from
from plumpick.policy.dynamic_config.rollout_report import report_rollout
from plumpick.rehearsal.surroundings import is_up
from plumpick.tools.call import ask
from plumpick.tools.configuration_service import VersionService


class Machine:
    """A service in this process, and a gatekeeper with a process at a time, or two in an upgrade."""

    def __init__(self, folder):
        self.folder, self.service, self.processes = folder, VersionService(), []
        self.port = free_port()

    async def __aenter__(self):
        await self.service.open(HOST, 0)
        (self.folder / "operator.toml").write_text(
            f'[configuration]\naddresses = ["{HOST}:{self.service.port}"]\n'
        )
        return self

    async def __aexit__(self, *_):
        self.service.close()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def put(self, version, value, later_ms=0.0):
        told = document(version, value, self.service.now_ms() + later_ms)
        assert self.service._publish(json.dumps(told).encode())[0] == 200

    async def start(self, worker=9):
        """A process, up, with a worker at that port; where operators call it."""
        calls = free_port()
        (self.folder / "config.json").write_text(
            json.dumps(config(9, self.port, known=[entry("w", worker)], management=f"{HOST}:{calls}"))
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.configuration.witness",
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
            env={
                **os.environ,
                "BALANCER_CONFIG": str(self.folder / "config.json"),
                "PLUMPICK_OPERATOR": str(self.folder / "operator.toml"),
                "TMPDIR": str(self.folder),
                "WITNESS_FILE": str(self.folder / "witness"),
            },
        )
        self.processes.append(process)
        await until_up(self.port)
        return process, calls

    def put_in_force(self, pid):
        """Versions, in the order in which that process had them."""
        path = self.folder / "witness"
        rows = [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []
        return [row[3] for row in rows if row[0] == "force" and row[2] == pid]

    async def has(self, process, version):
        while self.put_in_force(process.pid)[-1:] != [version]:
            await asyncio.sleep(0.01)


async def says(calls, line="CONFIGURATION"):
    while True:
        try:
            return await asyncio.to_thread(ask, (HOST, calls), line)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


def on_a_machine(tmp_path, scenario):
    async def whole():
        async with Machine(tmp_path) as machine:
            await scenario(machine)

    run(whole())


def test_it_is_up_with_the_version_of_the_service_and_staff_see_what_is_in_force_staged_and_refused(tmp_path):
    async def scenario(machine):
        await machine.put(3, published(3))
        process, calls = await machine.start()
        assert machine.put_in_force(process.pid) == [3]  # before its first client
        its = document(3, published(3))["digest"][:12]
        assert (await says(calls)).startswith(f"+OK version 3 {its} in force; service heard")
        await machine.put(4, published(4), 60_000.0)
        while "4 " not in await says(calls):
            pass
        assert "staged for in" in await says(calls)
        await machine.put(5, {**published(5), "limits": {}})
        while "refused" not in await says(calls):
            pass
        assert "settings.limits.maxAttempts is missing" in await says(calls)
        assert (await says(calls, "CONFIGURATION now")).startswith("-ERR")

    on_a_machine(tmp_path, scenario)


def test_a_silent_service_does_not_keep_it_from_serving_and_is_heard_when_it_is_there(tmp_path):
    async def scenario(machine):
        machine.service.close()
        process, calls = await machine.start()
        assert "version 0 (own file) in force" in await says(calls)
        fresh = VersionService()
        await fresh.open(HOST, machine.service.port)
        machine.service = fresh
        await machine.put(7, published(7))
        await machine.has(process, 7)

    on_a_machine(tmp_path, scenario)


def test_after_it_stood_still_it_has_the_newest_and_never_an_older_one(tmp_path):
    async def scenario(machine):
        await machine.put(1, published(1))
        process, _ = await machine.start()
        await machine.put(2, published(2), 100.0)
        process.send_signal(signal.SIGSTOP)
        for version in (3, 4):
            await machine.put(version, published(version), 100.0)
        await asyncio.sleep(0.2)  # their times go by
        process.send_signal(signal.SIGCONT)
        await machine.has(process, 4)
        had = machine.put_in_force(process.pid)
        assert had == sorted(had) and set(had) <= {1, 2, 3, 4}

    on_a_machine(tmp_path, scenario)


def test_a_killed_life_remembers_nothing_and_has_the_newest_when_it_is_up(tmp_path):
    async def scenario(machine):
        await machine.put(1, published(1))
        process, _ = await machine.start()
        process.kill()
        await process.wait()
        await machine.put(2, published(2))
        again, _ = await machine.start()
        assert machine.put_in_force(again.pid) == [2]

    on_a_machine(tmp_path, scenario)


def test_the_next_process_begins_with_the_version_of_the_one_before_though_the_service_is_dead(tmp_path):
    async def scenario(machine):
        await machine.put(5, published(5))
        process, calls = await machine.start()
        assert machine.put_in_force(process.pid) == [5]
        machine.service.close()
        again, calls_again = await machine.start()
        await machine.has(again, 5)
        assert "version 5 " in await says(calls_again) and "version 5 " in await says(calls)
        process.terminate()
        await process.wait()
        assert await is_up(machine.port, 5.0)
        fresh = VersionService()
        await fresh.open(HOST, machine.service.port)
        machine.service = fresh
        await machine.put(6, published(6))
        await machine.has(again, 6)
        assert machine.put_in_force(again.pid) == [5, 6]

    on_a_machine(tmp_path, scenario)


def test_without_a_configuration_table_it_is_off_and_not_imported(tmp_path):
    code = (
        "import sys; import plumpick.gateway.daemon; print([name for name in sys.modules "
        "if name.startswith(('plumpick.gateway.dynamic_config', 'plumpick.policy.dynamic_config', "
        "'plumpick.tools'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert done.stdout.strip() == "[]", done.stdout + done.stderr

    async def scenario(machine):
        (machine.folder / "operator.toml").write_text("")
        process, calls = await machine.start()
        assert (await says(calls)).startswith("-ERR settings are those of the file")
        assert machine.put_in_force(process.pid) == [] and machine.service.calls == 0

    on_a_machine(tmp_path, scenario)


def test_half_a_tier_on_the_old_program_is_named_and_serves_by_its_file(tmp_path):
    """Two of three numbers: one asks, one runs without [configuration], one is not there at all."""

    async def scenario(machine):
        await machine.put(3, published(3))
        (machine.folder / "new").mkdir()
        with_it = Machine(machine.folder / "new")
        async with with_it:
            with_it.service.close()
            (with_it.folder / "operator.toml").write_text(
                f'[configuration]\naddresses = ["{HOST}:{machine.service.port}"]\n'
            )
            (machine.folder / "operator.toml").write_text("")
            new, _ = await with_it.start()
            old, _ = await machine.start()
            await with_it.has(new, 3)
            while machine.service.store.subscribers["n0"].active_version != 3:
                await asyncio.sleep(0.01)
            store = machine.service.store
            report = report_rollout([store.status(store.versions[3].published_ms + 5900)])
            assert report.is_complete and report.lines[-1] == "1 of 3 have it"  # the term is not over
            report = report_rollout([store.status(store.versions[3].published_ms + 6100)])
            assert not report.is_complete and "2 never heard, by number: 1, 2" in report.lines
            assert machine.put_in_force(old.pid) == [] and await is_up(machine.port, 5.0)

    on_a_machine(tmp_path, scenario)


@pytest.mark.parametrize(
    "table, key",
    [
        ({}, "configuration.addresses"),
        ({"addresses": []}, "configuration.addresses"),
        ({"addresses": ["127.0.0.1:1"] * 9}, "configuration.addresses: 9 of them"),
        ({"addresses": ["127.0.0.1:1", "127.0.0.1:1"]}, r"addresses\[1\].*named twice"),
        ({"addresses": ["here"]}, r"addresses\[0\]"),
        ({"addresses": [7]}, r"addresses\[0\]"),
        ({"addresses": ["127.0.0.1:1"], "silent_s": 0}, "configuration.silent_s"),
        ({"addresses": ["127.0.0.1:1"], "silent": 9}, "configuration.silent: no such key"),
    ],
)
def test_each_key_of_the_table_is_checked_by_name(table, key):
    with pytest.raises(ConfigError, match=key):
        operator_from({"configuration": table}, 3)


def test_the_table_needs_no_fleet():
    got = operator_from({"configuration": {"addresses": ["127.0.0.1:1"], "silent_s": 9}}, 3)
    assert got.fleet is None and got.configuration.silent_ms == 9000.0


def test_staff_publish_go_back_and_see_who_has_what(tmp_path, capsys):
    """The tool against two services: a change, a wrong file, the change before, the same again after one
    service forgot everything."""

    async def scenario():
        services = [VersionService(), VersionService()]
        for one in services:
            await one.open(HOST, 0)
        to = [f"{HOST}:{one.port}" for one in services]

        async def tool(*words):
            return await asyncio.to_thread(main, ["configuration", *words])

        def file(name, value):
            (tmp_path / name).write_text(json.dumps(value))
            return str(tmp_path / name)

        whole = config(settings={**published(1), "myNumber": 0})
        assert await tool("publish", file("one.json", whole), "--to", *to, "--in-force-in", "0") == 0
        first = services[0].store.newest
        assert first.number > 10**12 and "myNumber" not in first.settings  # above any forgotten life
        assert await tool("publish", file("two.json", published(2)), "--to", *to) == 0
        second = services[1].store.newest
        assert second.number == first.number + 1 and second.activates_at_ms > services[0].now_ms()
        bad = file("bad.json", {**published(3), "classes": [{"name": "x"}]})
        assert await tool("publish", bad, "--to", *to) == 2
        assert await tool("publish", str(tmp_path / "two.json"), "--to", *to, "--in-force-in", "1e9") == 2
        assert await tool("back", "--to", *to, "--in-force-in", "0") == 0
        third = services[0].store.newest
        assert (third.number, third.digest) == (first.number + 2, first.digest)
        forgot = VersionService()
        services[1].close()
        await forgot.open(HOST, 0)
        to = [to[0], f"{HOST}:{forgot.port}"]
        assert await tool("status", *to) == 1
        assert await tool("publish", str(tmp_path / "one.json"), "--to", *to) == 0  # the same again
        assert forgot.store.newest == third == services[0].store.newest
        assert await tool("publish", str(tmp_path / "one.json"), "--to", to[0], f"{HOST}:1") == 1
        assert await tool("back", "--version", "7", "--to", *to) == 2
        assert await tool("status", f"{HOST}:1") == 2
        services[0].close()
        forgot.close()

    run(scenario())
    said = capsys.readouterr()
    assert "classes[0]" in said.err and "service 2 lacks it: publish the same again" in said.out
    assert "version 7 is not kept" in said.err and "--in-force-in" in said.err


def test_the_judge_of_trials_sees_each_thing_that_must_never_be():
    known = {1: Published("a", 0.0, 0.0), 2: Published("b", 500.0, 0.0), 3: Published("", 0.0, 0.0)}
    for rows, word in (
        ([["force", 10, 1, "n0", 2, "b"]], "before its time"),
        ([["force", 600, 1, "n0", 1, "b"]], "another content"),
        ([["force", 600, 1, "n0", 3, "c"]], "bad"),
        ([["force", 600, 1, "n0", 9, "a"]], "never published"),
        ([["force", 600, 1, "n0", 2, "b"], ["force", 601, 1, "n0", 1, "a"]], "went from version 2 to 1"),
        ([["took", 1, 1, "n0", 2], ["force", 9, 1, "n0", 1, "a"]], "behind 2"),
        ([["asked", 10 * turn, 1, "n0", 0] for turn in range(30)], "tight loop"),
    ):
        assert word in "".join(judge(rows, known)), word
    well = [["force", 1, 1, "n0", 1, "a"], ["force", 500, 1, "n0", 2, "b"], ["force", 600, 2, "n0", 1, "a"]]
    assert judge(well, known) == []


@pytest.mark.parametrize(("seed", "gatekeepers"), [(5, 3), (6, 5)])
def test_a_trial_with_faults_holds_all_promises(seed, gatekeepers):
    outcome = asyncio.run(play(seed, gatekeepers))
    assert outcome.broken == [] and outcome.forced > 10 and outcome.last_ms


@pytest.mark.parametrize("plant", ["takes-an-older", "at-receipt"])
def test_a_planted_bug_is_found(plant):
    assert asyncio.run(play(31, 3, plant)).broken
