"""Services and gatekeepers' sources over loopback, with whatever befalls them."""

import asyncio
import contextlib
import copy
import json
import random

import pytest
from fakes import HOST, config, run
from settings_rig import document, published

from plumpick.gateway.clock import Clock, Timers
from plumpick.gateway.config import parse_config
from plumpick.gateway.dynamic_config.client import Source, config_with
from plumpick.gateway.errors import SettingsRejectedError
from plumpick.policy.dynamic_config import subscriber as plans
from plumpick.policy.dynamic_config.delta import digest
from plumpick.policy.dynamic_config.version_store import summary
from plumpick.tools.configuration_service import PATH, Service


class Keeper:
    """A gatekeeper that takes over what it is given, unless its class c0 is worth `wrong`."""

    def __init__(self, addresses, number=0, wrong=None):
        self.config = parse_config(config(name=f"n{number}"), {})
        self.clock, self.taken, self.wrong = Clock(), [], wrong
        self.changed = asyncio.Event()
        loop = asyncio.get_running_loop()
        self.source = Source(
            self.config,
            tuple(addresses),
            30_000.0,
            self.reconfigure,
            self.clock,
            Timers(loop, self.clock),
            random.Random(number),
        )
        self.task = None

    def reconfigure(self, news):
        if news.settings.classes[0].priority_weight == self.wrong:
            raise SettingsRejectedError("classes[0].worth: no such worth")
        self.taken.append(news)
        self.changed.set()

    def start(self):
        self.task = asyncio.create_task(self.source.run())
        return self

    async def until(self, version):
        while self.source.versions.in_force.version != version:
            await asyncio.sleep(0.002)
        return self.taken[-1]

    async def has_seen(self, true):
        while not true(self.source.versions):
            await asyncio.sleep(0.002)

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


@contextlib.asynccontextmanager
async def services(count):
    made = [Service() for _ in range(count)]
    for one in made:
        await one.open(HOST, 0)
    try:
        yield made
    finally:
        for one in made:
            one.close()


def place(service):
    return HOST, service.port


async def put(service, value):
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
        async with services(count) as made:
            await scenario(*made)

    run(whole())


def test_a_version_comes_into_force_whole_and_the_next_by_its_changes():
    async def scenario(service):
        keeper = Keeper([place(service)]).start()
        assert (await put(service, document(1, published(1, 400))))[0] == 200
        news = await keeper.until(1)
        assert len(news.settings.classes) == 400 and news.settings.number == 0 and news.name == "n0"
        sent = service.bytes_out
        assert (await put(service, document(2, published(2, 400))))[0] == 200
        assert (await keeper.until(2)).settings.classes[0].priority_weight == 2.0
        assert service.bytes_out - sent < 2000  # changes, not 400 classes
        assert keeper.source.versions.in_force.digest == digest(published(2, 400))
        await keeper.stop()

    with_services(1, scenario)


def test_it_waits_for_its_time_and_says_so():
    async def scenario(service):
        keeper = Keeper([place(service)]).start()
        at_ms = keeper.clock.now() + 700.0
        await put(service, document(1, published(1), at_ms))
        await keeper.has_seen(lambda versions: versions.staged is not None)
        assert not keeper.taken and "1 " in keeper.source.line() and "staged" in keeper.source.line()
        await keeper.until(1)
        assert keeper.clock.now() >= at_ms
        await keeper.stop()

    with_services(1, scenario)


@pytest.mark.parametrize(
    "wrong, word",
    [
        ({"limits": {"maxAttempts": "three"}}, "maxAttempts"),
        ({"classes": []}, "classes"),
        ({"packages": [{"name": 7}]}, "packages[0].name"),
        ({"rules": None}, "rules"),
        ({"balancers": 1e999}, "balancers"),
    ],
)
def test_a_bad_version_is_never_in_force_is_told_and_is_not_asked_for_again(wrong, word):
    async def scenario(service):
        keeper = Keeper([place(service)]).start()
        await put(service, document(1, published(1)))
        await keeper.until(1)
        bad = {**published(2), **wrong}
        if word == "balancers":
            bad["balancers"] = "many"
        await put(service, document(2, bad))
        await keeper.has_seen(lambda versions: 2 in versions.refused)
        calls = service.calls
        while service.shelf.watchers["n0"].refused != 2:
            await asyncio.sleep(0.002)
        assert word in service.shelf.watchers["n0"].why and "refused" in keeper.source.line()
        assert service.calls - calls <= 2 and len(keeper.taken) == 1
        lines, well = summary([service.shelf.status(service.now())])
        assert not well and any("n0 refused version 2" in line and word in line for line in lines)
        await put(service, document(3, published(3)))
        await keeper.until(3)
        await keeper.stop()

    with_services(1, scenario)


def test_what_reconfigure_refuses_counts_as_refused_and_one_that_raises_too():
    async def scenario(service):
        keeper = Keeper([place(service)], wrong=2.0).start()
        for number in (1, 2):
            await put(service, document(number, published(number)))
        await keeper.has_seen(lambda versions: 2 in versions.refused)
        assert keeper.source.versions.in_force.version == 1
        keeper.source._reconfigure = lambda _config: 1 / 0
        await put(service, document(3, published(3)))
        await keeper.has_seen(lambda versions: 3 in versions.refused)
        assert keeper.source.versions.in_force.version == 1
        assert "ZeroDivisionError" in keeper.source.versions.refused[3].why
        keeper.source._reconfigure = keeper.reconfigure
        await put(service, document(4, published(4)))
        await keeper.until(4)
        await keeper.stop()

    with_services(1, scenario)


def test_two_changes_that_cross_end_with_the_newer_one_wherever_each_came_first():
    async def scenario(one, other):
        keepers = [Keeper([place(one), place(other)], number).start() for number in (0, 1)]
        at_ms = keepers[0].clock.now() + 400.0
        await put(one, document(1, published(1), at_ms + 200))
        await put(other, document(2, published(2), at_ms))
        assert (await put(other, document(1, published(1), at_ms + 200)))[0] == 409  # it is older
        assert (await put(one, document(2, published(2), at_ms)))[0] == 200
        for keeper in keepers:
            await keeper.until(2)
            assert [news.settings.classes[0].worth for news in keeper.taken] == [2.0]
            await keeper.stop()

    with_services(2, scenario)


def test_one_number_with_two_contents_is_refused_by_the_service_and_named_where_it_came_to_be():
    async def scenario(one, other):
        await put(one, document(1, published(1)))
        assert "another content" in (await put(one, document(1, published(2))))[1]["problem"]
        await put(other, document(1, published(2)))
        keepers = [Keeper([place(one), place(other)], number).start() for number in (0, 1)]
        for keeper in keepers:
            await keeper.until(1)
        await put(one, document(2, published(3)))  # what staff do then: a newer one, everywhere
        await put(other, document(2, published(3)))
        for keeper in keepers:
            await keeper.until(2)
            await keeper.stop()
        lines, well = summary([service.shelf.status(service.now()) for service in (one, other)])
        assert not well and any("version 1 has two contents" in line for line in lines)

    with_services(2, scenario)


def test_a_publisher_that_dies_between_two_services_is_completed_by_publishing_the_same_again():
    """The one that has it tells its watchers, who switch at its time; the others at the same time as soon as
    they hear of it; before that `status` names them."""

    async def scenario(one, other):
        first, second = (
            Keeper([place(service)], number).start() for number, service in enumerate((one, other))
        )
        value = {**published(5), "balancers": 2}
        await put(one, document(5, value))
        await first.until(5)
        states = [service.shelf.status(service.now() + 7000.0) for service in (one, other)]
        lines, well = summary(states)
        assert not well and any("service 2 lacks it" in line for line in lines)
        assert second.source.versions.in_force.version == 0
        await put(other, document(5, value))
        await second.until(5)
        assert second.source.versions.in_force.digest == first.source.versions.in_force.digest
        for keeper in (first, second):
            await keeper.stop()

    with_services(2, scenario)


class Shelfless:
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
                await self.calls.put((line.split()[1].decode(), writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


def body(value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(data) + data


HOSTILE = [
    b"nonsense\r\n\r\n",
    body(b"{"),
    body(b"[" * 100_000),
    body([]),
    body({"version": 9}),
    body({**document(9, published(9)), "digest": "f" * 64}),
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    body(document(9, published(9)))[:-9] + b"x" * 9,
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


@pytest.mark.parametrize("place_of", range(len(HOSTILE)))
def test_a_hostile_answer_is_dropped_and_the_next_address_serves(place_of, caplog):
    async def scenario(service):
        async with Shelfless() as bad:
            await put(service, document(3, published(3)))
            keeper = Keeper([(HOST, bad.port), place(service)]).start()
            _, writer = await bad.calls.get()
            writer.write(HOSTILE[place_of])
            await keeper.until(3)
            assert len(keeper.taken) == 1 and bad.calls.empty()
            await keeper.stop()

    with_services(1, scenario)
    assert len([row for row in caplog.records if str(row.args).count("127.0.0.1")]) == 1


def test_an_old_version_that_comes_late_is_passed_over_and_nothing_is_put_back():
    async def scenario(service):
        async with Shelfless() as late:
            keeper = Keeper([(HOST, late.port), place(service)]).start()
            _, writer = await late.calls.get()
            writer.write(body(document(5, published(5))))
            await keeper.until(5)
            target, writer = await late.calls.get()
            assert "since=5" in target and "in_force=5" in target
            writer.write(body(document(4, published(4))))  # what was on its way before
            while keeper.source.versions.address == 0:
                await asyncio.sleep(0.002)
            assert len(keeper.taken) == 1
            await put(service, document(6, published(6)))
            await keeper.until(6)
            await keeper.stop()

    with_services(1, scenario)


def test_an_answer_that_comes_twice_is_taken_once():
    async def scenario(service):
        async with Shelfless() as twice:
            keeper = Keeper([(HOST, twice.port), place(service)]).start()
            _, writer = await twice.calls.get()
            writer.write(body(document(5, published(5))))
            await keeper.until(5)
            _, writer = await twice.calls.get()
            writer.write(body(document(5, published(5))) * 2)
            while keeper.source.versions.address == 0:
                await asyncio.sleep(0.002)
            assert len(keeper.taken) == 1 and not keeper.source.versions.refused
            await keeper.stop()

    with_services(1, scenario)


@pytest.mark.parametrize("cut", [0, 30, 200, -1])
def test_a_service_that_dies_in_the_midst_of_an_answer_leaves_what_is_in_force(cut):
    async def scenario(service):
        async with Shelfless() as dying:
            keeper = Keeper([(HOST, dying.port), place(service)]).start()
            _, writer = await dying.calls.get()
            writer.write(body(document(5, published(5)))[:cut])
            await writer.drain()
            writer.transport.abort()
            while keeper.source.versions.address == 0:
                await asyncio.sleep(0.002)
            assert keeper.source.versions.in_force.version == 0 and not keeper.taken
            await put(service, document(5, published(5)))
            await keeper.until(5)
            await keeper.stop()

    with_services(1, scenario)


def test_an_address_that_takes_the_connection_and_says_nothing_is_left_in_time():
    async def scenario(service):
        async with Shelfless() as silent:
            await put(service, document(2, published(2)))
            keeper = Keeper([(HOST, silent.port), place(service)]).start()
            await silent.calls.get()
            await keeper.until(2)
            await keeper.stop()

    with_services(1, scenario)


def test_a_service_that_begins_anew_and_knows_nothing_leaves_what_is_in_force():
    async def scenario(service):
        keeper = Keeper([place(service)]).start()
        await put(service, document(5, published(5)))
        await keeper.until(5)
        fresh = Service()
        service.close()
        await fresh.open(HOST, service.port)
        while "n0" not in fresh.shelf.watchers:
            await asyncio.sleep(0.002)
        assert fresh.shelf.watchers["n0"].in_force == 5 and keeper.source.versions.in_force.version == 5
        lines, well = summary([fresh.shelf.status(fresh.now())])
        assert not well
        await put(fresh, document(5, published(5)))  # the same again
        await put(fresh, document(6, published(6)))
        await keeper.until(6)
        await keeper.stop()
        fresh.close()

    with_services(1, scenario)


def test_a_life_that_remembers_nothing_asks_for_the_whole_and_has_the_newest_at_once():
    async def scenario(service):
        for number in (1, 2):
            await put(service, document(number, published(number)))
        keeper = Keeper([place(service)]).start()
        await keeper.source.answered.wait()
        assert keeper.source.versions.in_force.version == 2  # before a start would go on
        await keeper.stop()
        again = Keeper([place(service)]).start()
        await again.until(2)
        assert len(again.taken) == 1
        await again.stop()

    with_services(1, scenario)


def test_the_next_process_begins_with_what_the_one_before_has_though_no_service_answers():
    async def scenario(service):
        keeper = Keeper([place(service)]).start()
        await put(service, document(5, published(5)))
        await keeper.until(5)
        estate = json.loads(json.dumps(keeper.source.estate()))
        await keeper.stop()
        after = Keeper([(HOST, 1)])
        await after.source.inherit(estate)
        assert after.source.versions.in_force == keeper.source.versions.in_force
        assert after.taken[-1].settings == keeper.taken[-1].settings
        for wrong in (
            {**estate, "digest": "0" * 64},
            {**estate, "version": 4},
            None,
            {"version": 9},
            {**document(9, {"classes": []})},
        ):
            await after.source.inherit(wrong)
        assert after.source.versions.in_force.version == 5 and len(after.taken) == 1
        assert Keeper([(HOST, 1)]).source.estate() is None  # its own file's: the next one has its own

    with_services(1, scenario)


def test_a_third_that_was_cut_off_has_the_newest_once_it_is_back_and_nothing_between():
    async def scenario(near, far):
        keepers = [Keeper([place(far if number == 0 else near)], number).start() for number in range(3)]
        for service in (near, far):
            await put(service, document(1, published(1)))
        for keeper in keepers:
            await keeper.until(1)
        for number in (2, 3, 4):  # only what is near can be reached
            await put(near, document(number, published(number)))
        for keeper in keepers[1:]:
            await keeper.until(4)
        assert keepers[0].source.versions.in_force.version == 1
        await put(far, document(4, published(4)))  # back: the newest is published there, too
        await keepers[0].until(4)
        assert [news.settings.classes[0].worth for news in keepers[0].taken] == [1.0, 4.0]
        for keeper in keepers:
            await keeper.stop()

    with_services(2, scenario)


def test_what_a_gatekeeper_has_of_its_own_stays_its_own():
    mine = parse_config(config(name="n2"), {})
    news = config_with(mine, {**published(3), "myNumber": 9, "locality": "z"})
    assert (news.settings.number, news.settings.zone) == (mine.settings.number, mine.settings.zone)
    assert (news.name, news.listen, news.seed) == (mine.name, mine.listen, mine.seed)
    value = copy.deepcopy(published(3))
    value["limits"]["dialTimeoutMs"] = 99.0
    assert config_with(mine, value).dial_timeout_ms == 99.0


def test_a_service_refuses_what_it_cannot_use_and_goes_on(caplog):
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
        assert (await put(service, document(1, published(1))))[0] == 200
        assert plans.TOLD_MS == 6000.0 and len(service.shelf.kept) == 1

    with_services(1, scenario)
