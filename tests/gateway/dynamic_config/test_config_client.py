"""Services and gateways' clients over loopback, with whatever may happen to them."""

import asyncio
import contextlib
import copy
import json
import random

import pytest
from support.dynamic_config import document, published_settings
from support.fakes import HOST, config, run

from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.config import parse_config
from plumpick.gateway.dynamic_config.client import ConfigClient, apply_settings
from plumpick.gateway.errors import SettingsRejectedError
from plumpick.policy.dynamic_config.delta import settings_digest
from plumpick.policy.dynamic_config.rollout_report import report_rollout
from plumpick.policy.dynamic_config.subscriber import ACTIVATION_DEADLINE_MS
from plumpick.tools.configuration_service import PATH, VersionService


class GatewayStub:
    """A gateway that works by what it is given, unless the worth of its class c0 is `wrong`."""

    def __init__(self, addresses, number=0, wrong=None):
        self.config = parse_config(config(name=f"n{number}"), {})
        self.clock = Clock()
        self.activated = []
        self.wrong = wrong
        loop = asyncio.get_running_loop()
        self.client = ConfigClient(
            self.config,
            tuple(addresses),
            30_000.0,
            self.reconfigure,
            self.clock,
            Timers(loop, self.clock),
            random.Random(number),
        )
        self.task = None

    def reconfigure(self, changed):
        if changed.settings.classes[0].priority_weight == self.wrong:
            raise SettingsRejectedError("classes[0].worth: no such worth")
        self.activated.append(changed)

    def start(self):
        self.task = asyncio.create_task(self.client.run())
        return self

    async def wait_until_active(self, version):
        while self.client.subscriber.active.number != version:
            await asyncio.sleep(0.002)
        return self.activated[-1]

    async def wait_until(self, true):
        while not true(self.client.subscriber):
            await asyncio.sleep(0.002)

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


@contextlib.asynccontextmanager
async def services(count):
    running = [VersionService() for _ in range(count)]
    for one in running:
        await one.open(HOST, 0)
    try:
        yield running
    finally:
        for one in running:
            one.close()


def address_of(service):
    return HOST, service.port


async def publish(service, value):
    """Publish at one service: status and what it says."""
    reader, writer = await asyncio.open_connection(HOST, service.port)
    data = json.dumps(value).encode()
    head = f"PUT {PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(data)}\r\n\r\n"
    writer.write(head.encode() + data)
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].split()[0])
    body = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), json.loads(body)


def with_services(count, scenario):
    async def whole():
        async with services(count) as running:
            await scenario(*running)

    run(whole())


def test_the_first_version_comes_as_a_snapshot_and_the_next_as_a_delta():
    async def scenario(service):
        gateway = GatewayStub([address_of(service)]).start()
        assert (await publish(service, document(1, published_settings(1, 400))))[0] == 200
        changed = await gateway.wait_until_active(1)
        assert (
            len(changed.settings.classes) == 400
            and changed.settings.gateway_number == 0
            and changed.name == "n0"
        )
        sent = service.bytes_out
        assert (await publish(service, document(2, published_settings(2, 400))))[0] == 200
        assert (await gateway.wait_until_active(2)).settings.classes[0].priority_weight == 2.0
        assert service.bytes_out - sent < 2000  # changes, not 400 classes
        assert gateway.client.subscriber.active.digest == settings_digest(published_settings(2, 400))
        await gateway.stop()

    with_services(1, scenario)


def test_a_staged_version_waits_for_its_time_and_is_in_the_status_line():
    async def scenario(service):
        gateway = GatewayStub([address_of(service)]).start()
        at_ms = gateway.clock.now() + 700.0
        await publish(service, document(1, published_settings(1), at_ms))
        await gateway.wait_until(lambda subscriber: subscriber.staged is not None)
        line = gateway.client.status_line()
        assert not gateway.activated and "1 " in line and "staged" in line
        await gateway.wait_until_active(1)
        assert gateway.clock.now() >= at_ms
        await gateway.stop()

    with_services(1, scenario)


@pytest.mark.parametrize(
    "wrong, expected_key",
    [
        ({"limits": {"maxAttempts": "three"}}, "maxAttempts"),
        ({"classes": []}, "classes"),
        ({"packages": [{"name": 7}]}, "packages[0].name"),
        ({"rules": None}, "rules"),
        ({"balancers": 1e999}, "balancers"),
    ],
)
def test_a_bad_version_is_rejected_reported_and_not_requested_again(wrong, expected_key):
    async def scenario(service):
        gateway = GatewayStub([address_of(service)]).start()
        await publish(service, document(1, published_settings(1)))
        await gateway.wait_until_active(1)
        bad = {**published_settings(2), **wrong}
        if expected_key == "balancers":
            bad["balancers"] = "many"
        await publish(service, document(2, bad))
        await gateway.wait_until(lambda subscriber: 2 in subscriber.rejected)
        calls = service.calls
        while service.store.subscribers["n0"].rejected_version != 2:
            await asyncio.sleep(0.002)
        assert expected_key in service.store.subscribers["n0"].rejection_reason
        assert "refused" in gateway.client.status_line()
        assert service.calls - calls <= 2 and len(gateway.activated) == 1
        report = report_rollout([service.store.status(service.now_ms())])
        assert not report.is_complete
        assert any("n0 refused version 2" in line and expected_key in line for line in report.lines)
        await publish(service, document(3, published_settings(3)))
        await gateway.wait_until_active(3)
        await gateway.stop()

    with_services(1, scenario)


def test_a_version_that_reconfigure_refuses_or_raises_for_is_rejected():
    async def scenario(service):
        gateway = GatewayStub([address_of(service)], wrong=2.0).start()
        for number in (1, 2):
            await publish(service, document(number, published_settings(number)))
        await gateway.wait_until(lambda subscriber: 2 in subscriber.rejected)
        assert gateway.client.subscriber.active.number == 1
        gateway.client._reconfigure = lambda _config: 1 / 0
        await publish(service, document(3, published_settings(3)))
        await gateway.wait_until(lambda subscriber: 3 in subscriber.rejected)
        assert gateway.client.subscriber.active.number == 1
        assert "ZeroDivisionError" in gateway.client.subscriber.rejected[3].reason
        gateway.client._reconfigure = gateway.reconfigure
        await publish(service, document(4, published_settings(4)))
        await gateway.wait_until_active(4)
        await gateway.stop()

    with_services(1, scenario)


def test_two_publishers_that_cross_end_with_the_newer_version_everywhere():
    async def scenario(one, other):
        gateways = [GatewayStub([address_of(one), address_of(other)], number).start() for number in (0, 1)]
        at_ms = gateways[0].clock.now() + 400.0
        await publish(one, document(1, published_settings(1), at_ms + 200))
        await publish(other, document(2, published_settings(2), at_ms))
        assert (await publish(other, document(1, published_settings(1), at_ms + 200)))[
            0
        ] == 409  # it is older
        assert (await publish(one, document(2, published_settings(2), at_ms)))[0] == 200
        for gateway in gateways:
            await gateway.wait_until_active(2)
            assert [changed.settings.classes[0].priority_weight for changed in gateway.activated] == [2.0]
            await gateway.stop()

    with_services(2, scenario)


def test_one_number_with_two_contents_is_rejected_by_a_service_and_reported_for_two():
    async def scenario(one, other):
        await publish(one, document(1, published_settings(1)))
        assert "another content" in (await publish(one, document(1, published_settings(2))))[1]["problem"]
        await publish(other, document(1, published_settings(2)))
        gateways = [GatewayStub([address_of(one), address_of(other)], number).start() for number in (0, 1)]
        for gateway in gateways:
            await gateway.wait_until_active(1)
        await publish(one, document(2, published_settings(3)))  # what staff do then: a newer one, everywhere
        await publish(other, document(2, published_settings(3)))
        for gateway in gateways:
            await gateway.wait_until_active(2)
            await gateway.stop()
        report = report_rollout([service.store.status(service.now_ms()) for service in (one, other)])
        assert not report.is_complete and any("version 1 has two contents" in line for line in report.lines)

    with_services(2, scenario)


def test_publishing_the_same_again_completes_a_publisher_that_died_between_services():
    """The one that has it tells its watchers, who switch at its time; the others at the same time as soon as
    they hear of it; before that `status` names them."""

    async def scenario(one, other):
        first, second = (
            GatewayStub([address_of(service)], number).start() for number, service in enumerate((one, other))
        )
        value = {**published_settings(5), "balancers": 2}
        await publish(one, document(5, value))
        await first.wait_until_active(5)
        statuses = [service.store.status(service.now_ms() + 7000.0) for service in (one, other)]
        report = report_rollout(statuses)
        assert not report.is_complete and any("service 2 lacks it" in line for line in report.lines)
        assert second.client.subscriber.active.number == 0
        await publish(other, document(5, value))
        await second.wait_until_active(5)
        assert second.client.subscriber.active.digest == first.client.subscriber.active.digest
        for gateway in (first, second):
            await gateway.stop()

    with_services(2, scenario)


class ServiceStub:
    """In a service's place: gives each call to the test, which answers by hand."""

    def __init__(self):
        self.calls, self.writers = asyncio.Queue(), []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while line := await reader.readuntil(b"\r\n\r\n"):
                await self.calls.publish((line.split()[1].decode(), writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


def body(value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(data) + data


MALFORMED_RESPONSES = [
    b"nonsense\r\n\r\n",
    body(b"{"),
    body(b"[" * 100_000),
    body([]),
    body({"version": 9}),
    body({**document(9, published_settings(9)), "digest": "f" * 64}),
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    body(document(9, published_settings(9)))[:-9] + b"x" * 9,
    body(b'{"version":9,"digest":"' + b"a" * 64 + b'","in_force_ms":NaN,"settings":{}}'),
    body(b'{"version":9,"digest":"' + b"a" * 64 + b'","in_force_ms":0,"settings":{"x":1e999}}'),
    body(
        {
            "version": 9,
            "digest": "a" * 64,
            "in_force_ms": 0,
            "base": 1,
            "base_digest": "b" * 64,
            "changes": {"rows": {"classes": 7}},
        }
    ),
]


@pytest.mark.parametrize("response_index", range(len(MALFORMED_RESPONSES)))
def test_after_a_hostile_answer_the_next_address_is_used(response_index, caplog):
    async def scenario(service):
        async with ServiceStub() as bad:
            await publish(service, document(3, published_settings(3)))
            gateway = GatewayStub([(HOST, bad.port), address_of(service)]).start()
            _, writer = await bad.calls.get()
            writer.write(MALFORMED_RESPONSES[response_index])
            await gateway.wait_until_active(3)
            assert len(gateway.activated) == 1 and bad.calls.empty()
            await gateway.stop()

    with_services(1, scenario)
    assert len([row for row in caplog.records if str(row.args).count("127.0.0.1")]) == 1


def test_an_older_version_that_comes_late_is_ignored():
    async def scenario(service):
        async with ServiceStub() as late:
            gateway = GatewayStub([(HOST, late.port), address_of(service)]).start()
            _, writer = await late.calls.get()
            writer.write(body(document(5, published_settings(5))))
            await gateway.wait_until_active(5)
            target, writer = await late.calls.get()
            assert "since=5" in target and "in_force=5" in target
            writer.write(body(document(4, published_settings(4))))  # what was on its way before
            while gateway.client.subscriber.address_index == 0:
                await asyncio.sleep(0.002)
            assert len(gateway.activated) == 1
            await publish(service, document(6, published_settings(6)))
            await gateway.wait_until_active(6)
            await gateway.stop()

    with_services(1, scenario)


def test_an_answer_that_comes_twice_is_activated_once():
    async def scenario(service):
        async with ServiceStub() as twice:
            gateway = GatewayStub([(HOST, twice.port), address_of(service)]).start()
            _, writer = await twice.calls.get()
            writer.write(body(document(5, published_settings(5))))
            await gateway.wait_until_active(5)
            _, writer = await twice.calls.get()
            writer.write(body(document(5, published_settings(5))) * 2)
            while gateway.client.subscriber.address_index == 0:
                await asyncio.sleep(0.002)
            assert len(gateway.activated) == 1 and not gateway.client.subscriber.rejected
            await gateway.stop()

    with_services(1, scenario)


@pytest.mark.parametrize("cut", [0, 30, 200, -1])
def test_a_service_that_dies_during_an_answer_leaves_the_active_version(cut):
    async def scenario(service):
        async with ServiceStub() as dying:
            gateway = GatewayStub([(HOST, dying.port), address_of(service)]).start()
            _, writer = await dying.calls.get()
            writer.write(body(document(5, published_settings(5)))[:cut])
            await writer.drain()
            writer.transport.abort()
            while gateway.client.subscriber.address_index == 0:
                await asyncio.sleep(0.002)
            assert gateway.client.subscriber.active.number == 0 and not gateway.activated
            await publish(service, document(5, published_settings(5)))
            await gateway.wait_until_active(5)
            await gateway.stop()

    with_services(1, scenario)


def test_an_address_that_accepts_and_is_silent_is_left_in_time():
    async def scenario(service):
        async with ServiceStub() as silent:
            await publish(service, document(2, published_settings(2)))
            gateway = GatewayStub([(HOST, silent.port), address_of(service)]).start()
            await silent.calls.get()
            await gateway.wait_until_active(2)
            await gateway.stop()

    with_services(1, scenario)


def test_a_restarted_service_without_versions_leaves_the_active_version():
    async def scenario(service):
        gateway = GatewayStub([address_of(service)]).start()
        await publish(service, document(5, published_settings(5)))
        await gateway.wait_until_active(5)
        fresh = VersionService()
        service.close()
        await fresh.open(HOST, service.port)
        while "n0" not in fresh.store.subscribers:
            await asyncio.sleep(0.002)
        assert fresh.store.subscribers["n0"].active_version == 5
        assert gateway.client.subscriber.active.number == 5
        report = report_rollout([fresh.store.status(fresh.now_ms())])
        assert not report.is_complete
        await publish(fresh, document(5, published_settings(5)))  # the same again
        await publish(fresh, document(6, published_settings(6)))
        await gateway.wait_until_active(6)
        await gateway.stop()
        fresh.close()

    with_services(1, scenario)


def test_a_new_process_requests_a_snapshot_and_has_the_newest_version_at_once():
    async def scenario(service):
        for number in (1, 2):
            await publish(service, document(number, published_settings(number)))
        gateway = GatewayStub([address_of(service)]).start()
        await gateway.client.has_response.wait()
        assert gateway.client.subscriber.active.number == 2  # before a start would go on
        await gateway.stop()
        again = GatewayStub([address_of(service)]).start()
        await again.wait_until_active(2)
        assert len(again.activated) == 1
        await again.stop()

    with_services(1, scenario)


def test_a_hot_restart_keeps_the_active_version_without_a_service():
    async def scenario(service):
        gateway = GatewayStub([address_of(service)]).start()
        await publish(service, document(5, published_settings(5)))
        await gateway.wait_until_active(5)
        state = json.loads(json.dumps(gateway.client.export_state()))
        await gateway.stop()
        after = GatewayStub([(HOST, 1)])
        await after.client.import_state(state)
        assert after.client.subscriber.active == gateway.client.subscriber.active
        assert after.activated[-1].settings == gateway.activated[-1].settings
        for wrong in (
            {**state, "digest": "0" * 64},
            {**state, "version": 4},
            None,
            {"version": 9},
            {**document(9, {"classes": []})},
        ):
            await after.client.import_state(wrong)
        assert after.client.subscriber.active.number == 5 and len(after.activated) == 1
        assert (
            GatewayStub([(HOST, 1)]).client.export_state() is None
        )  # its own file's: the next one has its own

    with_services(1, scenario)


def test_a_gateway_that_was_cut_off_activates_the_newest_version_and_none_between():
    async def scenario(near, far):
        gateways = [
            GatewayStub([address_of(far if number == 0 else near)], number).start() for number in range(3)
        ]
        for service in (near, far):
            await publish(service, document(1, published_settings(1)))
        for gateway in gateways:
            await gateway.wait_until_active(1)
        for number in (2, 3, 4):  # only what is near can be reached
            await publish(near, document(number, published_settings(number)))
        for gateway in gateways[1:]:
            await gateway.wait_until_active(4)
        assert gateways[0].client.subscriber.active.number == 1
        await publish(far, document(4, published_settings(4)))  # back: the newest is published there, too
        await gateways[0].wait_until_active(4)
        assert [changed.settings.classes[0].priority_weight for changed in gateways[0].activated] == [
            1.0,
            4.0,
        ]
        for gateway in gateways:
            await gateway.stop()

    with_services(2, scenario)


def test_a_gateways_own_keys_are_not_changed_by_a_version():
    mine = parse_config(config(name="n2"), {})
    changed = apply_settings(mine, {**published_settings(3), "myNumber": 9, "locality": "z"})
    assert (changed.settings.gateway_number, changed.settings.zone) == (
        mine.settings.gateway_number,
        mine.settings.zone,
    )
    assert (changed.name, changed.listen, changed.seed) == (mine.name, mine.listen, mine.seed)
    value = copy.deepcopy(published_settings(3))
    value["limits"]["dialTimeoutMs"] = 99.0
    assert apply_settings(mine, value).connect_timeout_ms == 99.0


def test_a_service_rejects_malformed_requests_and_goes_on(caplog):
    async def scenario(service):
        for data in (
            b"x\r\n\r\n",
            b"GET /configuration?since=-1&name=n HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET /configuration HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n",
            b"PUT /configuration HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n{",
            b"GET /configuration/versions/9 HTTP/1.1\r\nHost: h\r\n\r\n",
        ):
            reader, writer = await asyncio.open_connection(HOST, service.port)
            writer.write(data)
            line = await reader.readline()
            assert not line or line.split()[1] in (b"400", b"404", b"409")
            writer.close()
        assert (await publish(service, document(1, published_settings(1))))[0] == 200
        assert ACTIVATION_DEADLINE_MS == 6000.0 and len(service.store.versions) == 1

    with_services(1, scenario)
