"""The operators' tool against services over loopback."""

import asyncio
import json

from support.dynamic_config import published
from support.fakes import HOST, config, run

from plumpick.cli import main
from plumpick.tools.configuration_service import VersionService


def test_operators_publish_roll_back_and_see_who_has_which_version(tmp_path, capsys):
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
