"""Clients of the configuration service over loopback: updates, malformed responses, faults and restarts."""

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
    """A gateway that accepts all settings, but for those whose first class has the weight `rejected_weight`.
    It records the configurations that were activated."""

    def __init__(self, addresses, number=0, rejected_weight=None):
        self.config = parse_config(config(name=f"n{number}"), {})
        self.clock = Clock()
        self.activated = []
        self.rejected_weight = rejected_weight
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
        if changed.settings.classes[0].priority_weight == self.rejected_weight:
            raise SettingsRejectedError("classes[0].worth: no such worth")
        self.activated.append(changed)

    def start(self):
        self.task = asyncio.create_task(self.client.run())
        return self

    async def wait_until_active(self, version):
        """Wait until `version` is active. Returns the configuration that was activated last."""
        while self.client.subscriber.active.number != version:
            await asyncio.sleep(0.002)
        return self.activated[-1]

    async def wait_until(self, condition):
        """Wait until `condition` holds for the client's subscriber."""
        while not condition(self.client.subscriber):
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


async def publish(service, value, extra=""):
    """Publish a settings version at `service`. Returns the HTTP status and the JSON value of the response.
    `extra`: further header lines of the request, each with its line end."""
    reader, writer = await asyncio.open_connection(HOST, service.port)
    data = json.dumps(value).encode()
    head = f"PUT {PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(data)}\r\n{extra}\r\n"
    writer.write(head.encode() + data)
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].split()[0])
    body = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), json.loads(body)


def with_services(count, scenario):
    """Run `scenario` with `count` configuration services."""

    async def run_scenario():
        async with services(count) as running:
            await scenario(*running)

    run(run_scenario())


def test_version_is_published_by_a_request_that_offers_an_upgrade():
    """Guards against a connection that the service closed without a response to a client such as `curl
    --http2`."""

    async def scenario(service):
        offer = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAA\r\n"
        assert (await publish(service, document(1, published_settings(1)), offer))[0] == 200
        gateway = GatewayStub([address_of(service)]).start()
        await gateway.wait_until_active(1)
        await gateway.stop()

    with_services(1, scenario)


def test_first_version_is_sent_as_a_snapshot_and_the_next_as_a_delta():
    async def scenario(service):
        gateway = GatewayStub([address_of(service)]).start()
        assert (await publish(service, document(1, published_settings(1, 400))))[0] == 200
        changed = await gateway.wait_until_active(1)
        assert (
            len(changed.settings.classes) == 400
            and changed.settings.gateway_number == 0
            and changed.name == "n0"
        )
        sent_bytes = service.bytes_out
        assert (await publish(service, document(2, published_settings(2, 400))))[0] == 200
        assert (await gateway.wait_until_active(2)).settings.classes[0].priority_weight == 2.0
        assert service.bytes_out - sent_bytes < 2000  # a delta, not all 400 classes
        assert gateway.client.subscriber.active.digest == settings_digest(published_settings(2, 400))
        await gateway.stop()

    with_services(1, scenario)


def test_staged_version_is_activated_at_its_time_and_shown_in_the_status_line():
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


# Guards against a gateway that reported that it was ready while it still served by its own file.
def test_client_has_its_first_response_only_with_the_version_in_force():
    async def scenario(service):
        await publish(service, document(1, published_settings(1)))
        await publish(service, document(2, published_settings(2), service.now_ms() + 60_000.0))
        gateway = GatewayStub([address_of(service)]).start()
        await gateway.client.has_response.wait()
        assert gateway.client.subscriber.active.number == 1
        await gateway.wait_until(lambda subscriber: subscriber.staged is not None)
        assert gateway.client.subscriber.staged.number == 2 and len(gateway.activated) == 1
        await gateway.stop()

    with_services(1, scenario)


# Guards against a new process that serves by its own file, as the service it asks first lacks the version in
# force: that service was started anew, and got the waiting version alone.
def test_new_process_gets_the_version_in_force_from_another_service():
    async def scenario(started_anew, other):
        waiting = document(2, published_settings(2), other.now_ms() + 60_000.0)
        await publish(other, document(1, published_settings(1)))
        for service in (started_anew, other):
            await publish(service, waiting)
        gateway = GatewayStub([address_of(started_anew), address_of(other)]).start()
        async with asyncio.timeout(5.0):
            await gateway.wait_until_active(1)
        await gateway.stop()

    with_services(2, scenario)


# Guards against a new process that serves by its own file, as the newest version is invalid for it: others
# have refused that one, and serve by the one before.
def test_new_process_that_refuses_the_newest_version_gets_the_one_before():
    async def scenario(service):
        for number in (1, 2):
            await publish(service, document(number, published_settings(number)))
        gateway = GatewayStub([address_of(service)], rejected_weight=2.0).start()
        async with asyncio.timeout(5.0):
            await gateway.wait_until_active(1)
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
def test_invalid_version_is_rejected_reported_and_not_requested_again(wrong, expected_key):
    async def scenario(service):
        gateway = GatewayStub([address_of(service)]).start()
        await publish(service, document(1, published_settings(1)))
        await gateway.wait_until_active(1)
        invalid = {**published_settings(2), **wrong}
        if expected_key == "balancers":
            invalid["balancers"] = "many"
        await publish(service, document(2, invalid))
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


def test_version_is_rejected_if_the_gateway_cannot_apply_it():
    async def scenario(service):
        gateway = GatewayStub([address_of(service)], rejected_weight=2.0).start()
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


def test_gateways_activate_the_newer_of_two_versions_published_at_different_services():
    async def scenario(one, other):
        gateways = [GatewayStub([address_of(one), address_of(other)], number).start() for number in (0, 1)]
        at_ms = gateways[0].clock.now() + 400.0
        await publish(one, document(1, published_settings(1), at_ms + 200))
        await publish(other, document(2, published_settings(2), at_ms))
        # Version 1 is older than the version that the other service has.
        assert (await publish(other, document(1, published_settings(1), at_ms + 200)))[0] == 409
        assert (await publish(one, document(2, published_settings(2), at_ms)))[0] == 200
        for gateway in gateways:
            await gateway.wait_until_active(2)
            assert [changed.settings.classes[0].priority_weight for changed in gateway.activated] == [2.0]
            await gateway.stop()

    with_services(2, scenario)


def test_version_number_with_two_contents_is_rejected_by_one_service_and_reported_for_two():
    async def scenario(one, other):
        await publish(one, document(1, published_settings(1)))
        assert "another content" in (await publish(one, document(1, published_settings(2))))[1]["problem"]
        await publish(other, document(1, published_settings(2)))
        gateways = [GatewayStub([address_of(one), address_of(other)], number).start() for number in (0, 1)]
        for gateway in gateways:
            await gateway.wait_until_active(1)
        # The operators' remedy: a newer version at all services.
        await publish(one, document(2, published_settings(3)))
        await publish(other, document(2, published_settings(3)))
        for gateway in gateways:
            await gateway.wait_until_active(2)
            await gateway.stop()
        report = report_rollout([service.store.status(service.now_ms()) for service in (one, other)])
        assert not report.is_complete and any("version 1 has two contents" in line for line in report.lines)

    with_services(2, scenario)


def test_publishing_again_completes_a_publication_that_reached_only_one_service():
    """The service that has the version sends it to its watchers, which activate it at its activation time.
    The rollout report names the other service until the same version is published there, too; its watchers
    then activate the version at that time or, if it has passed, on receipt."""

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
    """Stub of a configuration service that queues each call; the test writes the responses itself."""

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
                await self.calls.put((line.split()[1].decode(), writer))
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
def test_next_address_is_used_after_a_malformed_response(response_index, caplog):
    async def scenario(service):
        async with ServiceStub() as malformed:
            await publish(service, document(3, published_settings(3)))
            gateway = GatewayStub([(HOST, malformed.port), address_of(service)]).start()
            _, writer = await malformed.calls.get()
            writer.write(MALFORMED_RESPONSES[response_index])
            await gateway.wait_until_active(3)
            assert len(gateway.activated) == 1 and malformed.calls.empty()
            await gateway.stop()

    with_services(1, scenario)
    assert len([row for row in caplog.records if str(row.args).count("127.0.0.1")]) == 1


def test_older_version_received_after_a_newer_one_is_ignored():
    async def scenario(service):
        async with ServiceStub() as late:
            gateway = GatewayStub([(HOST, late.port), address_of(service)]).start()
            _, writer = await late.calls.get()
            writer.write(body(document(5, published_settings(5))))
            await gateway.wait_until_active(5)
            target, writer = await late.calls.get()
            assert "since=5" in target and "in_force=5" in target
            writer.write(body(document(4, published_settings(4))))  # a delayed older version
            while gateway.client.subscriber.address_index == 0:
                await asyncio.sleep(0.002)
            assert len(gateway.activated) == 1
            await publish(service, document(6, published_settings(6)))
            await gateway.wait_until_active(6)
            await gateway.stop()

    with_services(1, scenario)


def test_version_received_twice_is_activated_once():
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
def test_truncated_response_leaves_the_active_version_unchanged(cut):
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


def test_next_address_is_used_after_an_address_does_not_answer():
    async def scenario(service):
        async with ServiceStub() as unresponsive:
            await publish(service, document(2, published_settings(2)))
            gateway = GatewayStub([(HOST, unresponsive.port), address_of(service)]).start()
            await unresponsive.calls.get()
            await gateway.wait_until_active(2)
            await gateway.stop()

    with_services(1, scenario)


def test_restarted_service_without_versions_leaves_the_active_version_unchanged():
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
        await publish(fresh, document(5, published_settings(5)))  # the version that the service lost
        await publish(fresh, document(6, published_settings(6)))
        await gateway.wait_until_active(6)
        await gateway.stop()
        fresh.close()

    with_services(1, scenario)


def test_new_process_activates_the_newest_version_with_the_first_response():
    async def scenario(service):
        for number in (1, 2):
            await publish(service, document(number, published_settings(number)))
        gateway = GatewayStub([address_of(service)]).start()
        await gateway.client.has_response.wait()
        assert gateway.client.subscriber.active.number == 2  # before the gateway's start continues
        await gateway.stop()
        again = GatewayStub([address_of(service)]).start()
        await again.wait_until_active(2)
        assert len(again.activated) == 1
        await again.stop()

    with_services(1, scenario)


def test_hot_restart_keeps_the_active_version_without_a_service():
    async def scenario(service):
        gateway = GatewayStub([address_of(service)]).start()
        await publish(service, document(5, published_settings(5)))
        await gateway.wait_until_active(5)
        state = json.loads(json.dumps(gateway.client.export_state()))
        await gateway.stop()
        successor = GatewayStub([(HOST, 1)])
        await successor.client.import_state(state)
        assert successor.client.subscriber.active == gateway.client.subscriber.active
        assert successor.activated[-1].settings == gateway.activated[-1].settings
        for wrong in (
            {**state, "digest": "0" * 64},
            {**state, "version": 4},
            None,
            {"version": 9},
            {**document(9, {"classes": []})},
        ):
            await successor.client.import_state(wrong)
        assert successor.client.subscriber.active.number == 5 and len(successor.activated) == 1
        # The successor reads settings from its own file, so that they are not handed over.
        assert GatewayStub([(HOST, 1)]).client.export_state() is None

    with_services(1, scenario)


def test_gateway_without_a_reachable_service_later_activates_only_the_newest_version():
    async def scenario(near, far):
        gateways = [
            GatewayStub([address_of(far if number == 0 else near)], number).start() for number in range(3)
        ]
        for service in (near, far):
            await publish(service, document(1, published_settings(1)))
        for gateway in gateways:
            await gateway.wait_until_active(1)
        for number in (2, 3, 4):  # while the publisher reaches only one service
            await publish(near, document(number, published_settings(number)))
        for gateway in gateways[1:]:
            await gateway.wait_until_active(4)
        assert gateways[0].client.subscriber.active.number == 1
        # The publisher reaches the other service again.
        await publish(far, document(4, published_settings(4)))
        await gateways[0].wait_until_active(4)
        assert [changed.settings.classes[0].priority_weight for changed in gateways[0].activated] == [
            1.0,
            4.0,
        ]
        for gateway in gateways:
            await gateway.stop()

    with_services(2, scenario)


def test_published_version_does_not_change_the_keys_of_a_single_gateway():
    own = parse_config(config(name="n2"), {})
    changed = apply_settings(own, {**published_settings(3), "myNumber": 9, "locality": "z"})
    assert (changed.settings.gateway_number, changed.settings.zone) == (
        own.settings.gateway_number,
        own.settings.zone,
    )
    assert (changed.name, changed.listen, changed.seed) == (own.name, own.listen, own.seed)
    value = copy.deepcopy(published_settings(3))
    value["limits"]["dialTimeoutMs"] = 99.0
    assert apply_settings(own, value).connect_timeout_ms == 99.0


def test_service_rejects_malformed_requests_and_accepts_the_next_version(caplog):
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
