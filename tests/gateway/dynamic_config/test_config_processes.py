"""Gateways as processes, with a service: start, operators' calls, a stall, an upgrade; trials with faults."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest
from support.config_processes import ServiceAndGateway, send_when_listening, with_service_and_gateway
from support.dynamic_config import document, published
from support.fakes import HOST

from benchmarks.configuration.trial import Published, judge, play
from plumpick.policy.dynamic_config.rollout_report import report_rollout
from plumpick.rehearsal.surroundings import is_up
from plumpick.tools.configuration_service import VersionService


def test_a_start_has_the_services_version_and_operators_see_active_staged_and_rejected(tmp_path):
    async def scenario(machine):
        await machine.publish(3, published(3))
        process, calls = await machine.start_gateway()
        assert machine.activated_versions(process.pid) == [3]  # before its first client
        its = document(3, published(3))["digest"][:12]
        assert (await send_when_listening(calls)).startswith(f"+OK version 3 {its} in force; service heard")
        await machine.publish(4, published(4), 60_000.0)
        while "4 " not in await send_when_listening(calls):
            pass
        assert "staged, in force in" in await send_when_listening(calls)
        await machine.publish(5, {**published(5), "limits": {}})
        while "refused" not in await send_when_listening(calls):
            pass
        assert "settings.limits.maxAttempts is missing" in await send_when_listening(calls)
        assert (await send_when_listening(calls, "CONFIGURATION now")).startswith("-ERR")

    with_service_and_gateway(tmp_path, scenario)


def test_a_start_goes_on_without_a_service_and_uses_it_once_it_answers(tmp_path):
    async def scenario(machine):
        machine.service.close()
        process, calls = await machine.start_gateway()
        assert "version 0 (own file) in force" in await send_when_listening(calls)
        fresh = VersionService()
        await fresh.open(HOST, machine.service.port)
        machine.service = fresh
        await machine.publish(7, published(7))
        await machine.wait_until_activated(process, 7)

    with_service_and_gateway(tmp_path, scenario)


def test_after_a_stall_the_newest_version_is_active_and_never_an_older_one(tmp_path):
    async def scenario(machine):
        await machine.publish(1, published(1))
        process, _ = await machine.start_gateway()
        await machine.publish(2, published(2), 100.0)
        process.send_signal(signal.SIGSTOP)
        for version in (3, 4):
            await machine.publish(version, published(version), 100.0)
        await asyncio.sleep(0.2)  # their times go by
        process.send_signal(signal.SIGCONT)
        await machine.wait_until_activated(process, 4)
        had = machine.activated_versions(process.pid)
        assert had == sorted(had) and set(had) <= {1, 2, 3, 4}

    with_service_and_gateway(tmp_path, scenario)


def test_a_process_after_a_kill_starts_with_the_newest_version(tmp_path):
    async def scenario(machine):
        await machine.publish(1, published(1))
        process, _ = await machine.start_gateway()
        process.kill()
        await process.wait()
        await machine.publish(2, published(2))
        again, _ = await machine.start_gateway()
        assert machine.activated_versions(again.pid) == [2]

    with_service_and_gateway(tmp_path, scenario)


def test_a_hot_restart_hands_over_the_active_version_though_the_service_is_dead(tmp_path):
    async def scenario(machine):
        await machine.publish(5, published(5))
        process, calls = await machine.start_gateway()
        assert machine.activated_versions(process.pid) == [5]
        machine.service.close()
        again, calls_again = await machine.start_gateway()
        await machine.wait_until_activated(again, 5)
        assert "version 5 " in await send_when_listening(
            calls_again
        ) and "version 5 " in await send_when_listening(calls)
        process.terminate()
        await process.wait()
        assert await is_up(machine.port, 5.0)
        fresh = VersionService()
        await fresh.open(HOST, machine.service.port)
        machine.service = fresh
        await machine.publish(6, published(6))
        await machine.wait_until_activated(again, 6)
        assert machine.activated_versions(again.pid) == [5, 6]

    with_service_and_gateway(tmp_path, scenario)


def test_without_a_configuration_table_nothing_of_it_is_imported_or_called(tmp_path):
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
        process, calls = await machine.start_gateway()
        assert (await send_when_listening(calls)).startswith("-ERR no settings service is configured")
        assert machine.activated_versions(process.pid) == [] and machine.service.calls == 0

    with_service_and_gateway(tmp_path, scenario)


def test_gateways_without_the_table_are_reported_and_serve_by_their_file(tmp_path):
    """Two of three numbers: one asks, one runs without [configuration], one is not there at all."""

    async def scenario(machine):
        await machine.publish(3, published(3))
        (machine.folder / "new").mkdir()
        with_it = ServiceAndGateway(machine.folder / "new")
        async with with_it:
            with_it.service.close()
            (with_it.folder / "operator.toml").write_text(
                f'[configuration]\naddresses = ["{HOST}:{machine.service.port}"]\n'
            )
            (machine.folder / "operator.toml").write_text("")
            new, _ = await with_it.start_gateway()
            old, _ = await machine.start_gateway()
            await with_it.wait_until_activated(new, 3)
            while machine.service.store.subscribers["n0"].active_version != 3:
                await asyncio.sleep(0.01)
            store = machine.service.store
            report = report_rollout([store.status(store.versions[3].published_ms + 5900)])
            assert report.is_complete and report.lines[-1] == "1 of 3 have it"  # the term is not over
            report = report_rollout([store.status(store.versions[3].published_ms + 6100)])
            assert (
                not report.is_complete
                and "2 never called a service, gatekeeper numbers: 1, 2" in report.lines
            )
            assert machine.activated_versions(old.pid) == [] and await is_up(machine.port, 5.0)

    with_service_and_gateway(tmp_path, scenario)


def test_the_checker_of_trials_reports_each_broken_invariant():
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
def test_a_trial_with_faults_breaks_no_invariant(seed, gatekeepers):
    outcome = asyncio.run(play(seed, gatekeepers))
    assert outcome.broken == [] and outcome.forced > 10 and outcome.last_ms


@pytest.mark.parametrize("plant", ["takes-an-older", "at-receipt"])
def test_a_planted_bug_is_found(plant):
    assert asyncio.run(play(31, 3, plant)).broken
