"""Versioned settings in gateway processes: start, operators' commands, a stall, a kill, a hot restart; trials
with injected faults."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest
from support.config_processes import ServiceAndGateway, send_when_listening, with_service_and_gateway
from support.dynamic_config import document, published_settings
from support.fakes import HOST

from benchmarks.configuration.trial import Published, judge, play
from plumpick.policy.dynamic_config.rollout_report import report_rollout
from plumpick.rehearsal.surroundings import is_up
from plumpick.tools.configuration_service import VersionService


def test_gateway_starts_with_published_version_and_reports_active_staged_and_rejected_versions(tmp_path):
    async def scenario(setup):
        await setup.publish(3, published_settings(3))
        process, admin_port = await setup.start_gateway()
        assert setup.activated_versions(process.pid) == [3]  # before its first client
        digest = document(3, published_settings(3))["digest"][:12]
        assert (await send_when_listening(admin_port)).startswith(
            f"+OK version 3 {digest} in force; service heard"
        )
        await setup.publish(4, published_settings(4), 60_000.0)
        while "4 " not in await send_when_listening(admin_port):
            pass
        assert "staged, in force in" in await send_when_listening(admin_port)
        await setup.publish(5, {**published_settings(5), "limits": {}})
        while "refused" not in await send_when_listening(admin_port):
            pass
        assert "settings.limits.maxAttempts is missing" in await send_when_listening(admin_port)
        assert (await send_when_listening(admin_port, "CONFIGURATION now")).startswith("-ERR")

    with_service_and_gateway(tmp_path, scenario)


def test_gateway_starts_with_its_own_file_and_activates_a_version_once_the_service_answers(tmp_path):
    async def scenario(setup):
        setup.service.close()
        process, admin_port = await setup.start_gateway()
        assert "version 0 (own file) in force" in await send_when_listening(admin_port)
        fresh = VersionService()
        await fresh.open(HOST, setup.service.port)
        setup.service = fresh
        await setup.publish(7, published_settings(7))
        await setup.wait_until_activated(process, 7)

    with_service_and_gateway(tmp_path, scenario)


def test_after_a_stall_the_newest_version_becomes_active_and_no_older_one_follows_a_newer(tmp_path):
    async def scenario(setup):
        await setup.publish(1, published_settings(1))
        process, _ = await setup.start_gateway()
        await setup.publish(2, published_settings(2), 100.0)
        process.send_signal(signal.SIGSTOP)
        for version in (3, 4):
            await setup.publish(version, published_settings(version), 100.0)
        await asyncio.sleep(0.2)  # until the activation times of all versions have passed
        process.send_signal(signal.SIGCONT)
        await setup.wait_until_activated(process, 4)
        versions = setup.activated_versions(process.pid)
        assert versions == sorted(versions) and set(versions) <= {1, 2, 3, 4}

    with_service_and_gateway(tmp_path, scenario)


def test_gateway_restarted_after_a_kill_starts_with_the_newest_version(tmp_path):
    async def scenario(setup):
        await setup.publish(1, published_settings(1))
        process, _ = await setup.start_gateway()
        process.kill()
        await process.wait()
        await setup.publish(2, published_settings(2))
        restarted, _ = await setup.start_gateway()
        assert setup.activated_versions(restarted.pid) == [2]

    with_service_and_gateway(tmp_path, scenario)


# Guards against a restarted gateway that served by its own file until the waiting version's time.
@pytest.mark.parametrize("services", [1, 2])
def test_gateway_restarted_while_a_version_waits_serves_by_the_one_in_force(tmp_path, services):
    async def scenario(setup):
        others = [VersionService() for _ in range(services - 1)]
        for other in others:
            await other.open(HOST, 0)
        setup.name_services(*others)
        for service in (setup.service, *others):
            setup.publish_at(service, 1, published_settings(1))
        process, _ = await setup.start_gateway()
        await setup.wait_until_activated(process, 1)
        at_ms = setup.service.now_ms() + 60_000.0
        for service in (setup.service, *others):
            setup.publish_at(service, 2, published_settings(2), at_ms)
        process.kill()
        await process.wait()
        restarted, admin_port = await setup.start_gateway()
        assert setup.activated_versions(restarted.pid) == [1]  # before its first client
        while "2 " not in (await send_when_listening(admin_port)).partition(";")[2]:
            pass
        line = await send_when_listening(admin_port)
        assert line.startswith("+OK version 1 ") and "staged, in force in" in line
        for other in others:
            other.close()

    with_service_and_gateway(tmp_path, scenario)


def test_hot_restart_successor_gets_the_active_version_while_the_service_is_down(tmp_path):
    async def scenario(setup):
        await setup.publish(5, published_settings(5))
        process, admin_port = await setup.start_gateway()
        assert setup.activated_versions(process.pid) == [5]
        setup.service.close()
        restarted, restarted_port = await setup.start_gateway()
        await setup.wait_until_activated(restarted, 5)
        assert "version 5 " in await send_when_listening(
            restarted_port
        ) and "version 5 " in await send_when_listening(admin_port)
        process.terminate()
        await process.wait()
        assert await is_up(setup.port, 5.0)
        fresh = VersionService()
        await fresh.open(HOST, setup.service.port)
        setup.service = fresh
        await setup.publish(6, published_settings(6))
        await setup.wait_until_activated(restarted, 6)
        assert setup.activated_versions(restarted.pid) == [5, 6]

    with_service_and_gateway(tmp_path, scenario)


def test_without_a_configuration_table_no_settings_module_is_imported_and_no_service_is_called(tmp_path):
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

    async def scenario(setup):
        (setup.folder / "operator.toml").write_text("")
        process, admin_port = await setup.start_gateway()
        assert (await send_when_listening(admin_port)).startswith("-ERR no settings service is configured")
        assert setup.activated_versions(process.pid) == [] and setup.service.calls == 0

    with_service_and_gateway(tmp_path, scenario)


def test_rollout_report_names_gateways_that_never_called_a_service(tmp_path):
    """Of three gateways, one has a [configuration] table, one runs without it and serves with the settings of
    its own file, and one is not running."""

    async def scenario(setup):
        await setup.publish(3, published_settings(3))
        (setup.folder / "new").mkdir()
        configured = ServiceAndGateway(setup.folder / "new")
        async with configured:
            configured.service.close()
            (configured.folder / "operator.toml").write_text(
                f'[configuration]\naddresses = ["{HOST}:{setup.service.port}"]\n'
            )
            (setup.folder / "operator.toml").write_text("")
            new, _ = await configured.start_gateway()
            old, _ = await setup.start_gateway()
            await configured.wait_until_activated(new, 3)
            while setup.service.store.subscribers["n0"].active_version != 3:
                await asyncio.sleep(0.01)
            store = setup.service.store
            # The report counts gateways that never called as missing from 6 s after publishing on.
            report = report_rollout([store.status(store.versions[3].published_ms + 5900)])
            assert report.is_complete and report.lines[-1] == "1 of 3 have it"
            report = report_rollout([store.status(store.versions[3].published_ms + 6100)])
            assert (
                not report.is_complete
                and "2 never called a service, gatekeeper numbers: 1, 2" in report.lines
            )
            assert setup.activated_versions(old.pid) == [] and await is_up(setup.port, 5.0)

    with_service_and_gateway(tmp_path, scenario)


def test_trial_checker_reports_each_broken_invariant():
    known = {1: Published("a", 0.0, 0.0), 2: Published("b", 500.0, 0.0), 3: Published("", 0.0, 0.0)}
    for rows, expected_text in (
        ([["force", 10, 1, "n0", 2, "b"]], "before its time"),
        ([["force", 600, 1, "n0", 1, "b"]], "another content"),
        ([["force", 600, 1, "n0", 3, "c"]], "bad"),
        ([["force", 600, 1, "n0", 9, "a"]], "never published"),
        ([["force", 600, 1, "n0", 2, "b"], ["force", 601, 1, "n0", 1, "a"]], "went from version 2 to 1"),
        ([["took", 1, 1, "n0", 2], ["force", 9, 1, "n0", 1, "a"]], "behind 2"),
        ([["asked", 10 * turn, 1, "n0", 0] for turn in range(30)], "tight loop"),
    ):
        assert expected_text in "".join(judge(rows, known)), expected_text
    valid = [["force", 1, 1, "n0", 1, "a"], ["force", 500, 1, "n0", 2, "b"], ["force", 600, 2, "n0", 1, "a"]]
    assert judge(valid, known) == []


@pytest.mark.parametrize(("seed", "gatekeepers"), [(5, 3), (6, 5)])
def test_trial_with_injected_faults_breaks_no_invariant(seed, gatekeepers):
    outcome = asyncio.run(play(seed, gatekeepers))
    assert outcome.broken == [] and outcome.forced > 10 and outcome.last_ms


@pytest.mark.parametrize("fault", ["takes-an-older", "at-receipt"])
def test_trial_checker_finds_each_injected_fault(fault):
    assert asyncio.run(play(31, 3, fault)).broken
