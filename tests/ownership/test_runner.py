"""The runner on the daemon's loop: runs that raise or never end, and settings that cannot be used."""

import asyncio
import json
import os
import subprocess
import sys

import pytest
from fakes import HOST, config

from plumpick.gateway.cluster import fenced_effects, lease_runner
from plumpick.gateway.config import config_from
from plumpick.gateway.operator_config import Receiver, operator_from
from plumpick.gateway.platform import System


class Quiet(System):
    """The real machine, with a guard that always is to be had."""

    def guard(self, address):
        class Guard:
            def close(self):
                """Nothing is held."""

        return Guard()


def one_gatekeeper():
    value = config()
    value["settings"]["balancers"] = 1
    return config_from(value, {})


def alone(duties, scenario, **fleet):
    """A tier of one, whose voter is itself; `scenario(part, told)` once it owns all slots."""

    async def whole():
        settings = operator_from(
            {"fleet": {"voters": [0], "slots": 2, "term_s": 0.5, "duty": duties, **fleet}}, 1
        ).fleet
        orders = []
        part = lease_runner.LeaseRunner(
            one_gatekeeper(),
            settings,
            asyncio.get_running_loop(),
            Quiet(),
            lambda *_: None,
            lambda name: orders.append(name) or "",
        )
        part.start()
        try:
            async with asyncio.timeout(20):
                while len(part.participant.holder.held) < 2:
                    await asyncio.sleep(0.01)
                await scenario(part, orders)
        finally:
            part.close()

    asyncio.run(whole())


def duty(name, **more):
    return {
        "name": name,
        "kind": "call",
        "period_s": 0.2,
        "receiver": f"http://{HOST}:9/x",
        "fenced": True,
        **more,
    }


async def until(true):
    while not true():
        await asyncio.sleep(0.01)


def test_a_run_that_raises_and_one_that_never_ends_leave_the_others_and_the_leases_alone(monkeypatch):
    runs = {"raises": 0, "hangs": 0, "works": 0}
    cancelled = []

    async def send(receiver, name, period, token, body, may):
        runs[name] += 1
        if name == "raises":
            raise RuntimeError("as planted")
        if name == "hangs":
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                cancelled.append(period)
                raise

    monkeypatch.setattr(fenced_effects, "send", send)

    async def scenario(part, _orders):
        await until(lambda: runs["works"] >= 5 and runs["raises"] >= 2 and len(cancelled) >= 2)
        assert len(part.participant.holder.held) == 2

    alone([duty("raises"), duty("hangs", limit_s=0.3), duty("works")], scenario)


def test_what_runs_when_the_lease_is_lost_is_ended_and_writes_nothing(monkeypatch):
    begun, looked = [], []

    async def send(receiver, name, period, token, body, may):
        begun.append(period)
        try:
            await asyncio.sleep(3600)
        finally:
            looked.append(may())

    monkeypatch.setattr(fenced_effects, "send", send)

    async def scenario(part, _orders):
        await until(lambda: begun)  # a task that is cancelled before it ran has nothing to look at
        part.capture()
        await until(lambda: looked)
        assert looked == [False] and not part._may_act(0, 0)

    alone([duty("one", period_s=60)], scenario)


def test_a_turn_drains_and_its_end_takes_clients_again():
    async def scenario(part, orders):
        assert part.want_restart_permit(True) == ""
        await until(lambda: orders == ["DRAIN"])
        part.want_restart_permit(False)
        await until(lambda: orders == ["DRAIN", "UNDRAIN"])

    alone([], scenario, turns=1)


def test_an_effect_is_not_written_when_its_lease_ended_while_the_connection_came_up():
    async def scenario():
        came = []

        async def answer(reader, writer):
            came.append(await reader.read(100))
            writer.close()

        server = await asyncio.start_server(answer, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(fenced_effects.LeaseEndedError):
            await fenced_effects.send(Receiver((HOST, port), "/"), "d", 1, 1, {}, lambda: False)
        await until(lambda: came)
        assert came == [b""]
        with pytest.raises(fenced_effects.ReceiverError):  # it closes without an answer
            await fenced_effects.send(Receiver((HOST, port), "/"), "d", 1, 1, {}, lambda: True)
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[fleet]\nvoters = [0]\nslot = 3\n", "fleet.slot: no such key"),
        ("[fleet]\nvoters = [7]\n", "fleet.voters"),
    ],
)
def test_settings_that_cannot_be_used_end_the_program_with_2_and_one_line(tmp_path, text, key):
    (tmp_path / "config.json").write_text(json.dumps(config()))
    (tmp_path / "operator.toml").write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "plumpick"],
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            "BALANCER_CONFIG": str(tmp_path / "config.json"),
            "PLUMPICK_OPERATOR": str(tmp_path / "operator.toml"),
        },
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and key in done.stderr and len(done.stderr.splitlines()) == 1


def test_what_is_off_is_not_imported():
    code = (
        "import sys; import plumpick.gateway.daemon; "
        "print([m for m in sys.modules if m.startswith('plumpick') and "
        "any(w in m for w in ('leases', 'cluster', 'operator', 'scheduled_tasks', 'usage'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
    )
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
