"""Two processes of one gatekeeper: messages, the state, and upgrades of the program over loopback."""

import asyncio
import json
import os
import resource
import signal
import socket
from dataclasses import replace

import pytest
from support.controllers import FLEET, actions_of, make_quota_message, owner_of, request_event
from support.fakes import (
    HOST,
    Client,
    FakeDiscovery,
    FakeWorker,
    answer,
    config,
    entry,
    listing,
    request,
    run,
    told,
)
from support.management import say
from support.processes import ROOT, UP, free_port, start, until_up
from support.snapshots import export_snapshot
from support.traffic import settings

from plumpick.gateway.hot_restart.message import (
    MAGIC,
    MAX_TEXT_BYTES,
    MessageDecoder,
    MessageFormatError,
    MessageKind,
    encode,
)
from plumpick.gateway.hot_restart.socket_path import socket_path
from plumpick.policy import snapshot
from plumpick.policy.actions import CommandCompleted, SendPeerMessage, StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    CommandKind,
    ImportState,
    OperatorCommand,
    PeerMessageReceived,
    RequestReceived,
    ResumeAfterFailedHandover,
)
from plumpick.policy.peer_messages import QuotaMessageKind
from plumpick.policy.quota.ledger import ledger_key
from plumpick.policy.settings import Plan


def test_messages_come_whole_wherever_they_are_cut():
    data = encode("hello", "n0") + encode("take") + encode("state", {"a": [1, None, "ä"]})
    for cut in range(len(data)):
        reader = MessageDecoder()
        messages = reader.feed(data[:cut]) + reader.feed(data[cut:])
        assert messages == [("hello", "n0"), ("take", None), ("state", {"a": [1, None, "ä"]})]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        MAGIC + b"\0\x02" + bytes(8),
        MAGIC + b"\0\x01\xff\xff\xff\xff" + bytes(4),
        encode("take")[:-1] + b"x",
        MAGIC + b"\0\x01" + (2).to_bytes(4, "big") + b"abcd" + b"{}",
    ],
)
def test_what_is_old_foreign_torn_or_too_long_is_not_believed(data):
    with pytest.raises(MessageFormatError):
        MessageDecoder().feed(data)


def test_a_message_that_is_too_long_is_not_made():
    with pytest.raises(ValueError):
        encode("state", "x" * MAX_TEXT_BYTES)


# -- the module


def gate(seed, number=None):
    given = settings(number=owner_of("c") if number is None else number)
    control = Controller(replace(given, plans=(*given.plans, Plan("plain", 4, 12))), seed)
    control.handle(0.0, [FLEET])
    return control


def let_in(control, now, count, first=1):
    sends = []
    for number in range(first, first + count):
        sends += actions_of(
            StartAttempt, control.handle(now, [request_event(number, plan="plain", due=now + 5000.0)])
        )
    return len(sends)


def test_a_home_passes_its_stores_on_and_nothing_is_granted_twice():
    old, new = gate(1), gate(2)
    granted = let_in(old, 1.0, 40)
    assert 5 <= granted <= 13  # a burst of 12, less what is kept for worthier ones
    new.handle(2.0, [ImportState(export_snapshot(old, 2.0))])
    assert let_in(new, 3.0, 40, 1000) <= 1
    fresh = gate(3)
    assert let_in(fresh, 3.0, 40, 1000) >= 5  # what a start without the state would have granted
    assert let_in(old, 4.0, 40, 2000) == 0


def pass_on(now, sender, receiver):
    """What one process tells its own number reaches the other; the other's answers."""
    number = sender.settings.gateway_number
    return receiver.handle(
        now,
        [
            PeerMessageReceived(number, tell.data)
            for tell in sender.actions
            if isinstance(tell, SendPeerMessage) and tell.receiver == number
        ],
    )


def as_form_1(state):
    """What a process of version 3 leaves: tags of 32 bits, and no names of classes."""
    low = 0xFFFFFFFF
    state = {**state, "form": 1}
    del state["classes"]
    state["accounts"] = [[name, [row[0] & low, *row[1:]]] for name, row in state["accounts"]]
    state["stores"] = [
        [
            (name >> 16 & low) << 4 | name & 15,
            *rest[:-1],
            [
                [
                    key,
                    [make_quota_message[0], make_quota_message[1] & low, *make_quota_message[2:]],
                    *request_event,
                ]
                for key, make_quota_message, *request_event in rest[-1]
            ],
        ]
        for name, *rest in state["stores"]
    ]
    return state


@pytest.mark.parametrize("known", [True, False])
def test_a_state_of_form_1_is_read_and_nothing_is_granted_twice(known):
    """Also to a customer that has asked at other gateways alone: its whole tag comes with its first word."""
    old, new = gate(1), gate(2)
    assert let_in(old, 1.0, 40) >= 5
    state = as_form_1(export_snapshot(old, 2.0))
    state["accounts"] = state["accounts"] if known else []
    new.handle(2.0, [ImportState(state)])
    assert not new.faults
    assert let_in(new, 3.0, 40, 1000) <= 1
    (store,) = new.state.quota.owner.ledgers
    assert store == ledger_key(make_quota_message(QuotaMessageKind.GRANT_REQUEST, plan_index=3))
    for step in range(200):
        new.handle(100.0 * step, [])
    assert not new.state.quota.owner.ledgers and not new.faults


def test_asks_that_wait_go_with_their_class_where_it_has_moved_and_end_where_it_has_gone():
    old = gate(1)
    let_in(old, 1.0, 40)
    old.handle(2.0, [request_event(n, name="book", plan="rated", due=4000.0) for n in range(100, 140)])
    state, given = export_snapshot(old, 3.0), old.settings
    waiting = {row[1][2]: given.classes[row[1][5]].name for store in state["stores"] for row in store[-1]}
    assert {"look", "book"} == set(waiting.values())
    new = Controller(replace(given, classes=given.classes[:0:-1]), 2)  # in another order, without `look`
    new.handle(3.0, [FLEET, ImportState(state)])
    assert not new.faults
    queue = [one for store in new.state.quota.owner.ledgers.values() for one in store.queue]
    assert queue and {new.settings.classes[one.message.class_index].name for one in queue} == {"book"}


def test_what_the_old_process_still_asks_its_own_home_the_new_one_grants():
    old, new = gate(1), gate(2)
    new.handle(1.0, [ImportState(export_snapshot(old, 1.0))])
    old.handle(2.0, [request_event(1, due=5000.0, units=2)])
    level = (
        next(iter(new.state.quota.owner.ledgers.values())).units if new.state.quota.owner.ledgers else 12.0
    )
    pass_on(3.0, old, new)
    actions = pass_on(4.0, new, old)
    assert actions_of(StartAttempt, actions)
    assert next(iter(new.state.quota.owner.ledgers.values())).units <= level - 1.9


def test_peers_business_is_the_new_processs_alone():
    old, new = gate(1), gate(2)
    state = export_snapshot(old, 1.0)
    new.handle(1.0, [ImportState(state)])
    other = gate(5, (owner_of("c") + 1) % 3)
    other.handle(2.0, [request_event(1, due=5000.0)])
    tells = [
        tell for tell in other.actions if isinstance(tell, SendPeerMessage) and tell.receiver == owner_of("c")
    ]
    assert tells
    heard = [PeerMessageReceived(other.settings.gateway_number, tell.data) for tell in tells]
    assert not actions_of(SendPeerMessage, old.handle(3.0, heard)) and actions_of(
        SendPeerMessage, new.handle(3.0, heard)
    )


def test_bans_draining_and_what_is_known_of_servers_pass_over():
    old, new = gate(1), gate(2)
    old.handle(1.0, [OperatorCommand(1, CommandKind.DISABLE, "s1"), OperatorCommand(2, CommandKind.DRAIN)])
    (send,) = actions_of(
        StartAttempt, old.handle(2.0, [RequestReceived(9, "d", "look", "rated", 4000.0, 1, 0, 1)])
    )[:1] or [None]
    if send is not None:
        old.handle(300.0, [AttemptCompleted(9, 0, send.endpoint, 298.0, AttemptResult.ERROR, False)])
    new.handle(301.0, [ImportState(export_snapshot(old, 301.0))])
    assert "s1" in new.state.endpoints.disabled and new.state.draining.since_ms == 1.0
    assert {name for name, one in new.state.endpoints.tracked.items() if one.failed} == {
        name for name, one in old.state.endpoints.tracked.items() if one.failed
    }
    assert (
        actions_of(CommandCompleted, new.handle(302.0, [OperatorCommand(3, CommandKind.ENABLE, "s1")]))[
            0
        ].error
        == ""
    )
    assert "s1" not in new.state.endpoints.disabled


@pytest.mark.parametrize(
    "spoil",
    [
        {"form": 0},
        {"number": 7},
        {"stores": [[1, 0]]},
        {"accounts": [[["c"], []]]},
        {"window": [1.0]},
        {"servers": [["s1", 0.0, ["x"] * 4, {}, {}, []]]},
        {"bans": 5},
        {"usual": {"look": "soon"}},
    ],
)
def test_a_state_that_cannot_be_read_changes_nothing(spoil):
    old, new = gate(1), gate(2)
    let_in(old, 1.0, 5)
    before = let_in(gate(2), 3.0, 40)
    new.handle(2.0, [ImportState({**export_snapshot(old, 2.0), **spoil})])
    assert new.faults and let_in(new, 3.0, 40) == before


def test_who_goes_on_after_its_heir_died_grants_nothing_for_the_time_between():
    old = gate(1)
    let_in(old, 1.0, 40)
    export_snapshot(old, 2.0)
    old.handle(60_000.0, [ResumeAfterFailedHandover()])
    assert let_in(old, 60_001.0, 40, 1000) <= 1


def test_a_ceiling_is_kept_through_a_handover():
    old, new = gate(1), gate(2)
    sent = 0
    for step in range(100):
        now, control = 20.0 * step, old if step < 50 else new
        if step == 50:
            new.handle(now, [ImportState(export_snapshot(old, now))])
        arrival = RequestReceived(step, "c", "look", "capped", now + 1400.0, 1, 0, 3)
        sent += len(actions_of(StartAttempt, control.handle(now, [arrival])))
    assert sent <= 32 + 16 * 2.0 + 4
    assert snapshot.FORMAT_VERSION == 2


# -- the program


class Upgrade:
    """A gatekeeper on real sockets that is started more than once, with a client's address that stays."""

    def __init__(self, folder, fake, worker):
        self.folder, self.fake, self.worker, self.port = folder, fake, worker, free_port()
        self.management, self.processes = [], []

    async def start(self, module="plumpick"):
        """One more process, once it is ready."""
        self.management.append(free_port())
        path = self.folder / f"config-{len(self.management)}.json"
        path.write_text(
            json.dumps(
                config(
                    self.fake.port,
                    self.port,
                    [entry("w1", self.worker.port)],
                    management=f"{HOST}:{self.management[-1]}",
                    limits={"sockets": 1024},
                )
            )
        )
        process = await start(path, module)
        self.processes.append(process)
        _, writer = await unless_ended(process, self.fake.called())
        writer.write(told(listing(entry("w1", self.worker.port))))
        while True:
            try:
                if (await say(self.management[-1], b"READY\n")).startswith("+OK"):
                    return process
            except ConnectionError:
                await asyncio.sleep(0.01)


async def unless_ended(process, awaitable):
    """What is awaited; raises ChildProcessError with the log of a process that ends before."""
    awaited, ended = asyncio.ensure_future(awaitable), asyncio.create_task(process.wait())
    await asyncio.wait([awaited, ended], return_when=asyncio.FIRST_COMPLETED)
    if not awaited.done():
        awaited.cancel()
        raise ChildProcessError((await process.stderr.read()).decode())
    ended.cancel()
    return awaited.result()


def upgrades(tmp_path, monkeypatch, scenario, fault=""):
    """Play the scenario with a first process that is up; `fault` is one of support.faulty_gateway in it."""

    async def whole():
        monkeypatch.setenv("TMPDIR", str(tmp_path))
        monkeypatch.setenv("PYTHONPATH", str(ROOT / "tests"))
        monkeypatch.setenv("GATEWAY_FAULT", fault)
        async with FakeDiscovery() as fake, FakeWorker() as worker:
            one = Upgrade(tmp_path, fake, worker)
            try:
                await one.start("support.faulty_gateway" if fault else "plumpick")
                await until_up(one.port)
                await scenario(one)
            finally:
                for process in one.processes:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    run(whole())


async def serve_all(worker):
    """Answer whatever the worker is asked."""
    while True:
        message, writer = await worker.asked()
        if message is not None:
            writer.write(answer(body=message.headers["x-request-id"].encode()))


async def keep_asking(port, count, counts):
    """One client on one connection for as long as it stays: all must be answered."""
    for _ in range(count):
        try:
            client = await Client().open(port)
            while True:
                counts["sent"] += 1
                told = await client.send(request()).answer()
                # Its firm has a quota, by which some are refused.
                counts["whole" if told and told[0] in (200, 503) else "lost"] += 1
                if told is None or told[1].get("connection") == "close":
                    break
                if counts["stop"]:
                    client.close()
                    return
        except ConnectionError:
            counts["refused"] += 1
        if counts["stop"]:
            return


def test_under_load_an_upgrade_loses_refuses_and_resets_nothing(tmp_path, monkeypatch):
    async def scenario(one):
        counts = dict(sent=0, whole=0, lost=0, refused=0, stop=0)
        serving = asyncio.create_task(serve_all(one.worker))
        clients = [asyncio.create_task(keep_asking(one.port, 1000, counts)) for _ in range(8)]
        idle = await Client().open(one.port)
        assert (await idle.send(UP).answer())[0] == 200
        for _ in range(2):
            old = one.processes[-1]
            before = counts["whole"]
            await one.start()
            assert (await say(one.management[-2], b"READY\n")).startswith("-ERR")
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            while counts["whole"] < before + 50:
                await asyncio.sleep(0.01)
        counts["stop"] = 1
        await asyncio.gather(*clients)
        assert (await idle.send(UP).answer())[0] == 200  # it went over twice and never noticed
        serving.cancel()
        assert counts["lost"] == counts["refused"] == 0 and counts["whole"] == counts["sent"]

    upgrades(tmp_path, monkeypatch, scenario)


def test_a_ban_and_a_drain_last_over_an_upgrade_and_a_call_to_either_holds_in_both(tmp_path, monkeypatch):
    async def scenario(one):
        assert (await say(one.management[0], b"DISABLE w1\n")).startswith("+OK")
        assert (await say(one.management[0], b"DRAIN\n")).startswith("+OK")
        await one.start()
        assert (await (await Client().open(one.port)).send(UP).answer())[0] == 503
        assert (await say(one.management[0], b"UNDRAIN\n")).startswith("+OK")  # to the old one
        while (await (await Client().open(one.port)).send(UP).answer())[0] == 503:
            await asyncio.sleep(0.01)
        assert (await say(one.management[1], b"ENABLE w9\n")).startswith("-ERR")
        assert (await say(one.management[1], b"ENABLE w1\n")).startswith("+OK")
        serving = asyncio.create_task(serve_all(one.worker))
        assert (await (await Client().open(one.port)).send(request()).answer())[0] == 200
        serving.cancel()

    upgrades(tmp_path, monkeypatch, scenario)


def test_if_the_new_process_dies_the_old_one_goes_on(tmp_path, monkeypatch):
    async def scenario(one):
        new = await one.start()
        new.kill()
        await new.wait()
        serving = asyncio.create_task(serve_all(one.worker))
        assert (await (await Client().open(one.port)).send(request()).answer())[0] == 200
        assert (await say(one.management[0], b"READY\n")).startswith("+OK")
        serving.cancel()

    upgrades(tmp_path, monkeypatch, scenario)


def test_if_the_old_process_is_killed_in_the_middle_the_new_one_serves(tmp_path, monkeypatch):
    async def scenario(one):
        await one.start()
        one.processes[0].kill()
        await one.processes[0].wait()
        serving = asyncio.create_task(serve_all(one.worker))
        assert (await (await Client().open(one.port)).send(request()).answer())[0] == 200
        serving.cancel()

    upgrades(tmp_path, monkeypatch, scenario)


@pytest.mark.parametrize("left", ["file", "dead", "foreign"])
def test_what_was_left_in_tmpdir_leads_to_an_ordinary_start(tmp_path, monkeypatch, left):
    path = socket_path(str(tmp_path), "n0")
    plug = socket.socket(socket.AF_UNIX)
    if left == "file":
        path.write_text("x")
    else:
        plug.bind(str(path))
        if left == "foreign":
            plug.listen(1)  # and says nothing
        else:
            plug.close()

    async def scenario(one):
        serving = asyncio.create_task(serve_all(one.worker))
        assert (await (await Client().open(one.port)).send(request()).answer())[0] == 200
        serving.cancel()

    upgrades(tmp_path, monkeypatch, scenario)
    plug.close()
    assert os.path.isdir(tmp_path)


def test_with_a_tmpdir_that_cannot_be_written_it_serves_and_says_so(tmp_path, monkeypatch):
    """As a full one: no socket is made there, and the next process begins by itself beside this one."""

    async def scenario(one):
        monkeypatch.setenv("TMPDIR", str(tmp_path / "none"))
        await one.start()
        serving = asyncio.create_task(serve_all(one.worker))
        assert (await (await Client().open(one.port)).send(request()).answer())[0] == 200
        serving.cancel()
        one.processes[-1].kill()
        said = (await one.processes[-1].stderr.read()).decode()
        assert "handover: no socket at" in said and "Traceback" not in said

    upgrades(tmp_path, monkeypatch, scenario)


def test_a_reload_and_calls_in_the_very_middle_of_an_upgrade_hold_in_both(tmp_path, monkeypatch):
    """Orders come to the old process for as long as the handover lasts: none of them is lost with it."""

    async def scenario(one):
        old, word = one.processes[0], b""
        # Each order is a line in its log: unread, some thousands fill the pipe, and the process waits.
        reading = asyncio.create_task(old.stderr.read())
        starting = asyncio.create_task(one.start())
        said = 0
        while not starting.done():
            word = (b"DISABLE w1\n", b"ENABLE w1\n")[said % 2]
            if (await say(one.management[0], word)).startswith("+OK"):
                said += 1
            if said == 3:
                old.send_signal(signal.SIGHUP)
        if word.startswith(b"ENABLE"):
            assert (await say(one.management[0], b"DISABLE w1\n")).startswith("+OK")
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0 and said > 3
        assert (await reading).count(b" w1: done") >= said
        client = await Client().open(one.port)
        assert (await client.send(request(deadline=300)).answer())[0] in (503, 504)
        assert (await say(one.management[1], b"ENABLE w1\n")).startswith("+OK")
        serving = asyncio.create_task(serve_all(one.worker))
        assert (await (await Client().open(one.port)).send(request()).answer())[0] == 200
        serving.cancel()

    upgrades(tmp_path, monkeypatch, scenario)


def test_after_a_next_process_that_died_another_one_takes_over(tmp_path, monkeypatch):
    """The dead one had put its socket in place of the first one's."""

    async def scenario(one):
        first = one.processes[0]
        await one.start()
        one.processes[1].kill()
        await one.processes[1].wait()
        said = b""
        while b"listening for a next process again" not in said:
            said += await first.stderr.read(4096)
        await one.start()
        assert (await say(one.management[0], b"READY\n")).startswith("-ERR handed over to the successor")
        first.send_signal(signal.SIGTERM)
        assert await first.wait() == 0
        client = await Client().open(one.port)
        serving = asyncio.create_task(serve_all(one.worker))
        assert (await client.send(request()).answer())[0] == 200
        serving.cancel()

    upgrades(tmp_path, monkeypatch, scenario)


def homed(request_id, path="/debit", key=None):
    """A request of a customer whose home is this gatekeeper: no peer is asked."""
    return request(request_id, path, key=key, body=b"x").replace(b"spread=2", b"spread=1")


def test_both_processes_told_to_end_each_answer_what_they_have_taken(tmp_path, monkeypatch):
    """The older has an open debit, the next one took another; both have SIGTERM before either is answered."""

    async def scenario(one):
        older = await Client().open(one.port)
        older.send(homed("00000000000000a1"))
        _, first = await one.worker.asked()
        await one.start()
        newer = await Client().open(one.port)
        newer.send(homed("00000000000000a2"))
        message, second = await one.worker.asked()
        assert message.headers["x-request-id"] == "00000000000000a2"
        for process in one.processes:
            process.send_signal(signal.SIGTERM)
        while (await say_or_gone(one.management[1], b"READY\n")).startswith(b"+OK"):
            pass
        second.write(answer(body=b"newer"))
        first.write(answer(body=b"older"))
        assert (await older.answer())[2] == b"older" and (await newer.answer())[2] == b"newer"
        assert [await process.wait() for process in one.processes] == [0, 0]

    upgrades(tmp_path, monkeypatch, scenario)


async def say_or_gone(port, line):
    """The answer to an operator's call; nothing where nobody listens any more."""
    try:
        return (await say(port, line)).encode()
    except ConnectionError:
        return b""


def test_a_clients_retry_through_the_next_process_is_a_request_of_its_own(tmp_path, monkeypatch):
    """The first is open with the older process; its client asks again, under a new id, on a new
    connection."""

    async def scenario(one):
        older = await Client().open(one.port)
        older.send(homed("00000000000000b1", "/book", "same"))
        _, first = await one.worker.asked()
        await one.start()
        retry = await Client().open(one.port)
        retry.send(homed("00000000000000b2", "/book", "same"))
        message, second = await one.worker.asked()
        assert message.headers["idempotency-key"] == "same"
        one.processes[0].send_signal(signal.SIGTERM)
        second.write(answer(body=b"retry"))
        assert (await retry.answer())[2] == b"retry"
        first.write(answer(body=b"first"))
        assert (await older.answer())[2] == b"first" and await one.processes[0].wait() == 0

    upgrades(tmp_path, monkeypatch, scenario)


@pytest.mark.parametrize("fault", ["state-raises", "state-too-long"])
def test_a_process_whose_state_cannot_be_passed_on_hands_over_its_sockets_all_the_same(
    tmp_path, monkeypatch, fault
):
    """Guards against an old process that goes on accepting clients, and is killed with them."""

    async def scenario(one):
        old = one.processes[0]
        log = asyncio.create_task(old.stderr.read())
        serving = asyncio.create_task(serve_all(one.worker))
        idle = await Client().open(one.port)
        assert (await idle.send(UP).answer())[0] == 200
        new = await one.start()
        counts = dict(sent=0, whole=0, lost=0, refused=0, stop=0)
        clients = [asyncio.create_task(keep_asking(one.port, 1000, counts)) for _ in range(16)]
        while counts["whole"] < 50:
            await asyncio.sleep(0.01)
        assert await say(one.management[0], b"READY\n") == "-ERR handed over to the successor process\n"
        old.kill()
        await old.wait()
        while counts["whole"] < 100:
            await asyncio.sleep(0.01)
        counts["stop"] = 1
        await asyncio.gather(*clients)
        assert counts["lost"] == counts["refused"] == 0 and counts["whole"] == counts["sent"]
        assert (await idle.send(UP).answer())[0] == 200
        serving.cancel()
        told_by_old = (await log).decode()
        assert told_by_old.count("handed over to the next process") == 1
        assert "handed over to the next process without the state of the policy: " in told_by_old
        new.kill()
        assert "the process before left no state of the policy" in (await new.stderr.read()).decode()

    upgrades(tmp_path, monkeypatch, scenario, fault)


def descriptors_of(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


CLIENTS_BELOW_A_CROWD = 160  # no process closes idle ones early, with half of 1,024 descriptors either


async def ask_readiness(client, port):
    """One request, which must be answered; a client that is told to close comes again."""
    answer = await client.send(UP).answer()
    assert answer is not None and answer[0] == 200
    if answer[1].get("connection") == "close":
        client.close()
        await client.open(port)


@pytest.mark.parametrize("spare", [0, 1, 3, 8])
def test_an_upgrade_with_hardly_a_descriptor_left_loses_no_connection(tmp_path, monkeypatch, spare):
    """Guards against a hand-over that needs descriptors of its own and ends in its midst without any."""

    async def scenario(one):
        old = one.processes[0]
        log = asyncio.create_task(old.stderr.read())
        clients = []
        for _ in range(CLIENTS_BELOW_A_CROWD):
            clients.append(await Client().open(one.port))
            await ask_readiness(clients[-1], one.port)
        limit = descriptors_of(old) + spare
        resource.prlimit(old.pid, resource.RLIMIT_NOFILE, (limit, limit))
        starting = asyncio.create_task(one.start())
        rounds = 0
        while not starting.done() or rounds < 3:  # all connections are in use as long as it takes
            for client in clients:
                await ask_readiness(client, one.port)
            rounds += 1
        await starting
        assert await say(one.management[0], b"READY\n") == "-ERR handed over to the successor process\n"
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        for client in clients:
            await ask_readiness(client, one.port)
        told_by_old = (await log).decode()
        assert "Traceback" not in told_by_old and told_by_old.count("handed over to the next process") == 1

    upgrades(tmp_path, monkeypatch, scenario)


@pytest.mark.parametrize("dies_after", ["connect", "hello", "offer", "take", "state"])
def test_a_next_process_that_dies_at_any_message_leaves_the_old_one_serving(
    tmp_path, monkeypatch, dies_after
):
    """Guards against a hand-over that is half done when its other side has gone."""

    async def scenario(one):
        old = one.processes[0]
        serving = asyncio.create_task(serve_all(one.worker))
        counts = dict(sent=0, whole=0, lost=0, refused=0, stop=0)
        clients = [asyncio.create_task(keep_asking(one.port, 1000, counts)) for _ in range(8)]
        while counts["whole"] < 16:
            await asyncio.sleep(0.01)
        open_before = descriptors_of(old)
        for _ in range(20):
            while not await asyncio.to_thread(
                die_as_next_process, socket_path(str(tmp_path), "n0"), dies_after
            ):
                await asyncio.sleep(0.01)
        begin = counts["whole"]
        while counts["whole"] < begin + 50 or not (await say(one.management[0], b"READY\n")).startswith(
            "+OK"
        ):
            await asyncio.sleep(0.01)
        counts["stop"] = 1
        await asyncio.gather(*clients)
        assert counts["lost"] == counts["refused"] == 0 and counts["whole"] == counts["sent"]
        assert descriptors_of(old) <= open_before + 8
        new = await one.start()
        assert await say(one.management[0], b"READY\n") == "-ERR handed over to the successor process\n"
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0 and new.returncode is None
        assert "Traceback" not in (await old.stderr.read()).decode()
        serving.cancel()

    upgrades(tmp_path, monkeypatch, scenario)


def die_as_next_process(path, dies_after):
    """A next process that goes as far as that message, and is gone; False where the one before it has not
    been noticed as gone yet."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        connection.settimeout(5.0)
        try:
            connection.connect(str(path))
            if dies_after == "connect":
                return True
            connection.sendall(encode(MessageKind.HELLO, "n0"))
            if dies_after == "hello":
                return True
            offer, descriptors, _, _ = socket.recv_fds(connection, 65536, 8)
        except (ConnectionError, BlockingIOError):
            return False
        for descriptor in descriptors:
            os.close(descriptor)
        if not offer:
            return False
        if dies_after == "offer":
            return True
        connection.sendall(encode(MessageKind.TAKE_OVER))
        if dies_after == "state":
            connection.recv(1)
        return True
