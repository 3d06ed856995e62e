"""`plumpick configuration` with version services over loopback."""

import asyncio
import json

from support.dynamic_config import published_settings
from support.fakes import HOST, config, run

from plumpick.cli import main
from plumpick.tools.configuration_service import VersionService


def test_configuration_command_publishes_rolls_back_and_reports_versions(tmp_path, capsys):
    """Two services get a change and then the previous version again; an invalid file is rejected; the newest
    version is published again after one service has lost its versions."""

    async def scenario():
        services = [VersionService(), VersionService()]
        for one in services:
            await one.open(HOST, 0)
        to = [f"{HOST}:{one.port}" for one in services]

        async def run_command(*words):
            return await asyncio.to_thread(main, ["configuration", *words])

        def write_file(name, value):
            (tmp_path / name).write_text(json.dumps(value))
            return str(tmp_path / name)

        whole = config(settings={**published_settings(1), "myNumber": 0})
        assert (
            await run_command("publish", write_file("one.json", whole), "--to", *to, "--in-force-in", "0")
            == 0
        )
        first = services[0].store.newest
        assert first.number > 10**12 and "myNumber" not in first.settings  # above numbers of lost versions
        assert await run_command("publish", write_file("two.json", published_settings(2)), "--to", *to) == 0
        second = services[1].store.newest
        assert second.number == first.number + 1 and second.activates_at_ms > services[0].now_ms()
        bad = write_file("bad.json", {**published_settings(3), "classes": [{"name": "x"}]})
        assert await run_command("publish", bad, "--to", *to) == 2
        assert (
            await run_command("publish", str(tmp_path / "two.json"), "--to", *to, "--in-force-in", "1e9") == 2
        )
        assert await run_command("back", "--to", *to, "--in-force-in", "0") == 0
        third = services[0].store.newest
        assert (third.number, third.digest) == (first.number + 2, first.digest)
        forgot = VersionService()
        services[1].close()
        await forgot.open(HOST, 0)
        to = [to[0], f"{HOST}:{forgot.port}"]
        assert await run_command("status", *to) == 1
        assert (
            await run_command("publish", str(tmp_path / "one.json"), "--to", *to) == 0
        )  # same version again
        assert forgot.store.newest == third == services[0].store.newest
        assert await run_command("publish", str(tmp_path / "one.json"), "--to", to[0], f"{HOST}:1") == 1
        assert await run_command("back", "--version", "7", "--to", *to) == 2
        assert await run_command("status", f"{HOST}:1") == 2
        services[0].close()
        forgot.close()

    run(scenario())
    output = capsys.readouterr()
    assert "classes[0]" in output.err and "service 2 lacks it: publish the same again" in output.out
    assert "version 7 is not kept" in output.err and "--in-force-in" in output.err
