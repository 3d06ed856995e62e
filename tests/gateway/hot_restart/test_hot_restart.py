"""Hot restart: messages between the processes, transfer of the state, and restarts of the program over
loopback."""

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
    config,
    entry,
    http_response,
    json_response,
    listing,
    request,
    run,
)
from support.management import send_admin_command
from support.ports import free_port
from support.processes import ROOT, UP_REQUEST, start_program, wait_until_ready
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
from plumpick.policy.draining import CLOSE_UNREAD_AFTER_MS
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


def test_messages_are_decoded_when_the_stream_is_split_at_any_byte():
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
def test_foreign_outdated_corrupt_or_oversized_message_is_rejected(data):
    with pytest.raises(MessageFormatError):
        MessageDecoder().feed(data)


def test_encoding_an_oversized_message_raises():
    with pytest.raises(ValueError):
        encode("state", "x" * MAX_TEXT_BYTES)


# -- state of the policy


def make_controller(seed, number=None):
    given = settings(number=owner_of("c") if number is None else number)
    control = Controller(replace(given, plans=(*given.plans, Plan("plain", 4, 12))), seed)
    control.handle(0.0, [FLEET])
    return control


def admit_requests(control, now, count, first=1):
    sends = []
    for number in range(first, first + count):
        sends += actions_of(
            StartAttempt, control.handle(now, [request_event(number, plan="plain", due=now + 5000.0)])
        )
    return len(sends)


def test_successor_of_an_owner_continues_its_ledgers_and_grants_nothing_twice():
    old, new = make_controller(1), make_controller(2)
    granted = admit_requests(old, 1.0, 40)
    assert 5 <= granted <= 13  # a burst of 12, less the reserve for request classes of higher value
    new.handle(2.0, [ImportState(export_snapshot(old, 2.0))])
    assert admit_requests(new, 3.0, 40, 1000) <= 1
    fresh = make_controller(3)
    assert admit_requests(fresh, 3.0, 40, 1000) >= 5  # a start without the state grants a whole burst again
    assert admit_requests(old, 4.0, 40, 2000) == 0


def relay_own_messages(now, sender, receiver):
    """Deliver the messages that `sender` sent to its own gateway's number to `receiver`; returns its
    actions."""
    number = sender.settings.gateway_number
    return receiver.handle(
        now,
        [
            PeerMessageReceived(number, action.data)
            for action in sender.actions
            if isinstance(action, SendPeerMessage) and action.receiver == number
        ],
    )


def to_form_1(state):
    """Convert a state to form 1, as exported by version 3: tags of 32 bits, and no names of request
    classes."""
    low = 0xFFFFFFFF
    state = {**state, "form": 1}
    del state["classes"]
    state["accounts"] = [[name, [row[0] & low, *row[1:]]] for name, row in state["accounts"]]
    state["stores"] = [
        [
            (name >> 16 & low) << 4 | name & 15,
            *rest[:-1],
            [
                [key, [message[0], message[1] & low, *message[2:]], *others]
                for key, message, *others in rest[-1]
            ],
        ]
        for name, *rest in state["stores"]
    ]
    return state


@pytest.mark.parametrize("accounts_known", [True, False])
def test_state_of_form_1_is_imported_and_nothing_is_granted_twice(accounts_known):
    """Includes a customer that is known to other gateways only: its full tag is learnt from its first
    message."""
    old, new = make_controller(1), make_controller(2)
    assert admit_requests(old, 1.0, 40) >= 5
    state = to_form_1(export_snapshot(old, 2.0))
    state["accounts"] = state["accounts"] if accounts_known else []
    new.handle(2.0, [ImportState(state)])
    assert not new.faults
    assert admit_requests(new, 3.0, 40, 1000) <= 1
    (store,) = new.state.quota.owner.ledgers
    assert store == ledger_key(make_quota_message(QuotaMessageKind.GRANT_REQUEST, plan_index=3))
    for step in range(200):
        new.handle(100.0 * step, [])
    assert not new.state.quota.owner.ledgers and not new.faults


def test_queued_grant_requests_follow_a_reordered_class_and_end_with_a_removed_class():
    old = make_controller(1)
    admit_requests(old, 1.0, 40)
    old.handle(2.0, [request_event(n, name="book", plan="rated", due=4000.0) for n in range(100, 140)])
    state, given = export_snapshot(old, 3.0), old.settings
    waiting = {row[1][2]: given.classes[row[1][5]].name for store in state["stores"] for row in store[-1]}
    assert {"look", "book"} == set(waiting.values())
    new = Controller(replace(given, classes=given.classes[:0:-1]), 2)  # in another order, without `look`
    new.handle(3.0, [FLEET, ImportState(state)])
    assert not new.faults
    queue = [one for store in new.state.quota.owner.ledgers.values() for one in store.queue]
    assert queue and {new.settings.classes[one.message.class_index].name for one in queue} == {"book"}


def test_successor_answers_the_predecessors_grant_requests_to_its_own_gateway():
    old, new = make_controller(1), make_controller(2)
    new.handle(1.0, [ImportState(export_snapshot(old, 1.0))])
    old.handle(2.0, [request_event(1, due=5000.0, units=2)])
    level = (
        next(iter(new.state.quota.owner.ledgers.values())).units if new.state.quota.owner.ledgers else 12.0
    )
    relay_own_messages(3.0, old, new)
    actions = relay_own_messages(4.0, new, old)
    assert actions_of(StartAttempt, actions)
    assert next(iter(new.state.quota.owner.ledgers.values())).units <= level - 1.9


def test_only_the_successor_answers_messages_of_peers():
    old, new = make_controller(1), make_controller(2)
    state = export_snapshot(old, 1.0)
    new.handle(1.0, [ImportState(state)])
    other = make_controller(5, (owner_of("c") + 1) % 3)
    other.handle(2.0, [request_event(1, due=5000.0)])
    sent_messages = [
        action
        for action in other.actions
        if isinstance(action, SendPeerMessage) and action.receiver == owner_of("c")
    ]
    assert sent_messages
    received = [PeerMessageReceived(other.settings.gateway_number, action.data) for action in sent_messages]
    assert not actions_of(SendPeerMessage, old.handle(3.0, received)) and actions_of(
        SendPeerMessage, new.handle(3.0, received)
    )


def test_disabled_endpoints_draining_and_failures_of_endpoints_are_transferred():
    old, new = make_controller(1), make_controller(2)
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
    "changes",
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
def test_malformed_state_is_reported_and_changes_nothing(changes):
    old, new = make_controller(1), make_controller(2)
    admit_requests(old, 1.0, 5)
    before = admit_requests(make_controller(2), 3.0, 40)
    new.handle(2.0, [ImportState({**export_snapshot(old, 2.0), **changes})])
    assert new.faults and admit_requests(new, 3.0, 40) == before


def test_predecessor_that_resumes_grants_nothing_for_the_time_of_the_handover():
    old = make_controller(1)
    admit_requests(old, 1.0, 40)
    export_snapshot(old, 2.0)
    old.handle(60_000.0, [ResumeAfterFailedHandover()])
    assert admit_requests(old, 60_001.0, 40, 1000) <= 1


def test_hard_limit_is_kept_across_a_handover():
    old, new = make_controller(1), make_controller(2)
    sent = 0
    for step in range(100):
        now, control = 20.0 * step, old if step < 50 else new
        if step == 50:
            new.handle(now, [ImportState(export_snapshot(old, now))])
        arrival = RequestReceived(step, "c", "look", "capped", now + 1400.0, 1, 0, 3)
        sent += len(actions_of(StartAttempt, control.handle(now, [arrival])))
    assert sent <= 32 + 16 * 2.0 + 4
    assert snapshot.FORMAT_VERSION == 2


# Guards against picture (c) of the operators' letter: an id ran twice, at both processes of an upgrade.
def test_id_that_the_predecessor_takes_after_its_handover_is_rejected_by_the_successor(tmp_path, monkeypatch):
    async def scenario(gateway):
        debit = request(path="/debit", body=b"x")
        first = (await Client().open(gateway.port)).send(debit[:-1])  # the last byte is missing
        await asyncio.sleep(0.1)
        await gateway.start()
        first.send(debit[-1:])
        message, writer = await gateway.worker.next_request()
        assert message.url == b"/debit"
        again = await Client().open(gateway.port)
        assert (await again.send(debit).read_response())[0] == 409
        writer.write(http_response())
        assert (await first.read_response())[0] == 200
        assert gateway.worker.requests.empty()

    run_with_first_process(tmp_path, monkeypatch, scenario)


# -- the program


class RestartedGateway:
    """A gateway on real sockets of which several processes are started, all at the same client address."""

    def __init__(self, folder, fake, worker):
        self.folder, self.fake, self.worker, self.port = folder, fake, worker, free_port()
        self.management, self.processes = [], []

    async def start(self, module="plumpick"):
        """Start one more process; returns it once it reports that it is ready."""
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
        process = await start_program(path, module)
        self.processes.append(process)
        _, writer = await await_while_running(process, self.fake.next_call())
        writer.write(json_response(listing(entry("w1", self.worker.port))))
        await await_while_running(process, wait_until_admin_ready(self.management[-1]))
        return process


async def wait_until_admin_ready(admin_port):
    """Wait until the operators' call READY is answered +OK at `admin_port`."""
    while True:
        try:
            if (await send_admin_command(admin_port, b"READY\n")).startswith("+OK"):
                return
        except ConnectionError:
            await asyncio.sleep(0.01)


async def await_while_running(process, awaitable):
    """The result of `awaitable`. Raises ChildProcessError with the process's log if the process ends
    before."""
    awaited, ended = asyncio.ensure_future(awaitable), asyncio.create_task(process.wait())
    await asyncio.wait([awaited, ended], return_when=asyncio.FIRST_COMPLETED)
    if not awaited.done():
        awaited.cancel()
        raise ChildProcessError((await process.stderr.read()).decode())
    ended.cancel()
    return awaited.result()


def run_with_first_process(tmp_path, monkeypatch, scenario, fault=""):
    """Run the scenario with a first process that serves; `fault` names a fault of support.faulty_gateway in
    it."""

    async def run_scenario():
        monkeypatch.setenv("TMPDIR", str(tmp_path))
        monkeypatch.setenv("PYTHONPATH", str(ROOT / "tests"))
        monkeypatch.setenv("GATEWAY_FAULT", fault)
        async with FakeDiscovery() as fake, FakeWorker() as worker:
            gateway = RestartedGateway(tmp_path, fake, worker)
            try:
                await gateway.start("support.faulty_gateway" if fault else "plumpick")
                await wait_until_ready(gateway.port)
                await scenario(gateway)
            finally:
                for process in gateway.processes:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    run(run_scenario())


async def answer_all_attempts(worker):
    """Answer every attempt at the worker with its request ID."""
    while True:
        message, writer = await worker.next_request()
        if message is not None:
            writer.write(http_response(body=message.headers["x-request-id"].encode()))


async def send_requests(port, count, counts):
    """Send requests on up to `count` connections, one connection after another, and count the outcomes."""
    for _ in range(count):
        try:
            client = await Client().open(port)
            while True:
                counts["sent"] += 1
                response = await client.send(request()).read_response()
                # 503: the customer's quota is exceeded.
                counts["answered" if response and response[0] in (200, 503) else "lost"] += 1
                if response is None or response[1].get("connection") == "close":
                    break
                if counts["stop"]:
                    client.close()
                    return
        except ConnectionError:
            counts["refused"] += 1
        if counts["stop"]:
            return


def test_hot_restart_under_load_loses_no_request_and_no_connection(tmp_path, monkeypatch):
    async def scenario(gateway):
        counts = dict(sent=0, answered=0, lost=0, refused=0, stop=0)
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        clients = [asyncio.create_task(send_requests(gateway.port, 1000, counts)) for _ in range(8)]
        idle = await Client().open(gateway.port)
        assert (await idle.send(UP_REQUEST).read_response())[0] == 200
        for _ in range(2):
            old = gateway.processes[-1]
            before = counts["answered"]
            await gateway.start()
            assert (await send_admin_command(gateway.management[-2], b"READY\n")).startswith("-ERR")
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            while counts["answered"] < before + 50:
                await asyncio.sleep(0.01)
        counts["stop"] = 1
        await asyncio.gather(*clients)
        assert (await idle.send(UP_REQUEST).read_response())[0] == 200  # its connection was transferred twice
        serving.cancel()
        assert counts["lost"] == counts["refused"] == 0 and counts["answered"] == counts["sent"]

    run_with_first_process(tmp_path, monkeypatch, scenario)


def test_operators_commands_survive_a_hot_restart_and_apply_to_both_processes(tmp_path, monkeypatch):
    async def scenario(gateway):
        assert (await send_admin_command(gateway.management[0], b"DISABLE w1\n")).startswith("+OK")
        assert (await send_admin_command(gateway.management[0], b"DRAIN\n")).startswith("+OK")
        await gateway.start()
        assert (await (await Client().open(gateway.port)).send(UP_REQUEST).read_response())[0] == 503
        # The command is sent to the predecessor.
        assert (await send_admin_command(gateway.management[0], b"UNDRAIN\n")).startswith("+OK")
        while (await (await Client().open(gateway.port)).send(UP_REQUEST).read_response())[0] == 503:
            await asyncio.sleep(0.01)
        assert (await send_admin_command(gateway.management[1], b"ENABLE w9\n")).startswith("-ERR")
        assert (await send_admin_command(gateway.management[1], b"ENABLE w1\n")).startswith("+OK")
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        assert (await (await Client().open(gateway.port)).send(request()).read_response())[0] == 200
        serving.cancel()

    run_with_first_process(tmp_path, monkeypatch, scenario)


def test_predecessor_resumes_when_the_successor_dies(tmp_path, monkeypatch):
    async def scenario(gateway):
        new = await gateway.start()
        new.kill()
        await new.wait()
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        assert (await (await Client().open(gateway.port)).send(request()).read_response())[0] == 200
        assert (await send_admin_command(gateway.management[0], b"READY\n")).startswith("+OK")
        serving.cancel()

    run_with_first_process(tmp_path, monkeypatch, scenario)


# Guards against a request that runs twice, as the next process takes the id of one that the old one has open.
def test_id_of_an_open_request_is_rejected_by_the_successor_until_the_request_has_ended(
    tmp_path, monkeypatch
):
    async def scenario(gateway):
        debit = request(path="/debit", body=b"x")
        first = (await Client().open(gateway.port)).send(debit)
        message, writer = await gateway.worker.next_request()
        assert message.url == b"/debit"
        await gateway.start()
        again = await Client().open(gateway.port)
        assert (await again.send(debit).read_response())[0] == 409
        writer.write(http_response())
        assert (await first.read_response())[0] == 200
        assert (await again.send(debit).read_response())[0] == 409  # as without a hot restart
        old = gateway.processes[0]
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        while (status := (await again.send(debit).read_response())[0]) == 409:
            await asyncio.sleep(0.05)
        assert status == 200
        serving.cancel()

    run_with_first_process(tmp_path, monkeypatch, scenario)


# Guards against operators' commands that the next process confirms before it takes over, and then forgets.
def test_commands_confirmed_by_the_successor_before_it_takes_over_hold_in_both_processes(
    tmp_path, monkeypatch
):
    async def scenario(gateway):
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        starting = asyncio.create_task(gateway.start())  # it waits for discovery, which does not answer it
        while len(gateway.processes) < 2:
            await asyncio.sleep(0)
        new = gateway.management[1]
        assert await send_when_listening(new, b"DISABLE w1\n") == "+OK DISABLE w1\n"
        assert await send_when_listening(new, b"DRAIN\n") == "+OK DRAIN\n"
        assert await send_when_listening(new, b"READY\n") == "-ERR not accepting clients yet\n"
        await starting
        await asyncio.sleep(CLOSE_UNREAD_AFTER_MS / 1000 + 0.1)  # until the timers of all stages have fired
        assert await send_when_listening(new, b"READY\n") == "+OK draining\n"
        client = await Client().open(gateway.port)
        assert (await client.send(UP_REQUEST).read_response())[0] == 503
        assert (await send_admin_command(new, b"UNDRAIN\n")).startswith("+OK")
        client = await Client().open(gateway.port)
        assert (await client.send(request()).read_response())[0] == 503  # the only worker is disabled
        assert (await send_admin_command(new, b"ENABLE w1\n")).startswith("+OK")
        assert (await client.send(request()).read_response())[0] == 200
        serving.cancel()

    run_with_first_process(tmp_path, monkeypatch, scenario)


async def send_when_listening(admin_port, line):
    """The reply to an operator's command, which is sent as soon as `admin_port` accepts connections."""
    while True:
        try:
            return await send_admin_command(admin_port, line)
        except ConnectionError:
            await asyncio.sleep(0.001)


def test_successor_serves_when_the_predecessor_is_killed(tmp_path, monkeypatch):
    async def scenario(gateway):
        await gateway.start()
        gateway.processes[0].kill()
        await gateway.processes[0].wait()
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        assert (await (await Client().open(gateway.port)).send(request()).read_response())[0] == 200
        serving.cancel()

    run_with_first_process(tmp_path, monkeypatch, scenario)


@pytest.mark.parametrize("left", ["file", "dead", "foreign"])
def test_stale_or_foreign_socket_in_tmpdir_leads_to_an_ordinary_start(tmp_path, monkeypatch, left):
    path = socket_path(str(tmp_path), "n0")
    stray_socket = socket.socket(socket.AF_UNIX)
    if left == "file":
        path.write_text("x")
    else:
        stray_socket.bind(str(path))
        if left == "foreign":
            stray_socket.listen(1)  # accepts connections, but never answers
        else:
            stray_socket.close()

    async def scenario(gateway):
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        assert (await (await Client().open(gateway.port)).send(request()).read_response())[0] == 200
        serving.cancel()

    run_with_first_process(tmp_path, monkeypatch, scenario)
    stray_socket.close()
    assert os.path.isdir(tmp_path)


def test_gateway_with_an_unusable_tmpdir_serves_and_logs_a_warning(tmp_path, monkeypatch):
    """Without a socket, as in a full $TMPDIR, the second process starts beside the first one."""

    async def scenario(gateway):
        monkeypatch.setenv("TMPDIR", str(tmp_path / "none"))
        await gateway.start()
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        assert (await (await Client().open(gateway.port)).send(request()).read_response())[0] == 200
        serving.cancel()
        gateway.processes[-1].kill()
        log = (await gateway.processes[-1].stderr.read()).decode()
        assert "handover: no socket at" in log and "Traceback" not in log

    run_with_first_process(tmp_path, monkeypatch, scenario)


def test_reload_and_commands_during_a_handover_apply_to_both_processes(tmp_path, monkeypatch):
    """Guards against operators' commands that the predecessor accepts during the handover and that are lost
    with it."""

    async def scenario(gateway):
        old, command = gateway.processes[0], b""
        # Each command is logged. If the log is not read, the pipe fills up and blocks the process.
        reading = asyncio.create_task(old.stderr.read())
        starting = asyncio.create_task(gateway.start())
        accepted = 0
        while not starting.done():
            command = (b"DISABLE w1\n", b"ENABLE w1\n")[accepted % 2]
            if (await send_admin_command(gateway.management[0], command)).startswith("+OK"):
                accepted += 1
            if accepted == 3:
                old.send_signal(signal.SIGHUP)
        if command.startswith(b"ENABLE"):
            assert (await send_admin_command(gateway.management[0], b"DISABLE w1\n")).startswith("+OK")
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0 and accepted > 3
        assert (await reading).count(b" w1: done") >= accepted
        client = await Client().open(gateway.port)
        assert (await client.send(request(deadline=300)).read_response())[0] in (503, 504)
        assert (await send_admin_command(gateway.management[1], b"ENABLE w1\n")).startswith("+OK")
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        assert (await (await Client().open(gateway.port)).send(request()).read_response())[0] == 200
        serving.cancel()

    run_with_first_process(tmp_path, monkeypatch, scenario)


def test_another_successor_takes_over_after_the_first_successor_died(tmp_path, monkeypatch):
    """The dead successor had replaced the predecessor's socket by its own."""

    async def scenario(gateway):
        first = gateway.processes[0]
        await gateway.start()
        gateway.processes[1].kill()
        await gateway.processes[1].wait()
        log = b""
        while b"listening for a next process again" not in log:
            log += await first.stderr.read(4096)
        await gateway.start()
        assert (await send_admin_command(gateway.management[0], b"READY\n")).startswith(
            "-ERR handed over to the successor"
        )
        first.send_signal(signal.SIGTERM)
        assert await first.wait() == 0
        client = await Client().open(gateway.port)
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        assert (await client.send(request()).read_response())[0] == 200
        serving.cancel()

    run_with_first_process(tmp_path, monkeypatch, scenario)


def owned_request(request_id, path="/debit", key=None):
    """A request of a customer whose quota this gateway owns, so that no peer is asked."""
    return request(request_id, path, key=key, body=b"x").replace(b"spread=2", b"spread=1")


def test_both_processes_answer_their_open_requests_after_sigterm(tmp_path, monkeypatch):
    """Each process has an open /debit request when both receive SIGTERM."""

    async def scenario(gateway):
        older = await Client().open(gateway.port)
        older.send(owned_request("00000000000000a1"))
        _, first = await gateway.worker.next_request()
        await gateway.start()
        newer = await Client().open(gateway.port)
        newer.send(owned_request("00000000000000a2"))
        message, second = await gateway.worker.next_request()
        assert message.headers["x-request-id"] == "00000000000000a2"
        for process in gateway.processes:
            process.send_signal(signal.SIGTERM)
        while (await command_or_empty(gateway.management[1], b"READY\n")).startswith(b"+OK"):
            pass
        second.write(http_response(body=b"newer"))
        first.write(http_response(body=b"older"))
        assert (await older.read_response())[2] == b"older" and (await newer.read_response())[2] == b"newer"
        assert [await process.wait() for process in gateway.processes] == [0, 0]

    run_with_first_process(tmp_path, monkeypatch, scenario)


async def command_or_empty(port, line):
    """The reply to an operator's command; empty if the process no longer listens."""
    try:
        return (await send_admin_command(port, line)).encode()
    except ConnectionError:
        return b""


def test_client_retry_at_the_successor_is_a_separate_request(tmp_path, monkeypatch):
    """The first request is open at the predecessor when the client retries with a new request ID on a new
    connection."""

    async def scenario(gateway):
        older = await Client().open(gateway.port)
        older.send(owned_request("00000000000000b1", "/book", "same"))
        _, first = await gateway.worker.next_request()
        await gateway.start()
        retry = await Client().open(gateway.port)
        retry.send(owned_request("00000000000000b2", "/book", "same"))
        message, second = await gateway.worker.next_request()
        assert message.headers["idempotency-key"] == "same"
        gateway.processes[0].send_signal(signal.SIGTERM)
        second.write(http_response(body=b"retry"))
        assert (await retry.read_response())[2] == b"retry"
        first.write(http_response(body=b"first"))
        assert (await older.read_response())[2] == b"first" and await gateway.processes[0].wait() == 0

    run_with_first_process(tmp_path, monkeypatch, scenario)


@pytest.mark.parametrize("fault", ["state-raises", "state-too-long"])
def test_process_whose_state_cannot_be_exported_still_hands_over_its_sockets(tmp_path, monkeypatch, fault):
    """Guards against a predecessor that keeps accepting clients, whose connections are lost when it is
    killed."""

    async def scenario(gateway):
        old = gateway.processes[0]
        log = asyncio.create_task(old.stderr.read())
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        idle = await Client().open(gateway.port)
        assert (await idle.send(UP_REQUEST).read_response())[0] == 200
        new = await gateway.start()
        counts = dict(sent=0, answered=0, lost=0, refused=0, stop=0)
        clients = [asyncio.create_task(send_requests(gateway.port, 1000, counts)) for _ in range(16)]
        while counts["answered"] < 50:
            await asyncio.sleep(0.01)
        assert (
            await send_admin_command(gateway.management[0], b"READY\n")
            == "-ERR handed over to the successor process\n"
        )
        old.kill()
        await old.wait()
        while counts["answered"] < 100:
            await asyncio.sleep(0.01)
        counts["stop"] = 1
        await asyncio.gather(*clients)
        assert counts["lost"] == counts["refused"] == 0 and counts["answered"] == counts["sent"]
        assert (await idle.send(UP_REQUEST).read_response())[0] == 200
        serving.cancel()
        old_log = (await log).decode()
        assert old_log.count("handed over to the next process") == 1
        assert "handed over to the next process without the state of the policy: " in old_log
        new.kill()
        assert "the predecessor sent no policy state" in (await new.stderr.read()).decode()

    run_with_first_process(tmp_path, monkeypatch, scenario, fault)


def descriptors_of(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


# Number of clients below which a process with half of 1,024 descriptors closes no idle connections early.
CLIENTS_WITHOUT_EARLY_CLOSE = 160


async def check_readiness(client, port):
    """Send a readiness check, which must be answered; reconnect if the answer closes the connection."""
    response = await client.send(UP_REQUEST).read_response()
    assert response is not None and response[0] == 200
    if response[1].get("connection") == "close":
        client.close()
        await client.open(port)


@pytest.mark.parametrize("spare_descriptors", [0, 1, 3, 8])
def test_hot_restart_with_few_spare_descriptors_loses_no_connection(tmp_path, monkeypatch, spare_descriptors):
    """Guards against a handover that opens descriptors and fails half-way when none is left."""

    async def scenario(gateway):
        old = gateway.processes[0]
        log = asyncio.create_task(old.stderr.read())
        clients = []
        for _ in range(CLIENTS_WITHOUT_EARLY_CLOSE):
            clients.append(await Client().open(gateway.port))
            await check_readiness(clients[-1], gateway.port)
        limit = descriptors_of(old) + spare_descriptors
        resource.prlimit(old.pid, resource.RLIMIT_NOFILE, (limit, limit))
        starting = asyncio.create_task(gateway.start())
        rounds = 0
        while not starting.done() or rounds < 3:  # all connections stay in use during the handover
            for client in clients:
                await check_readiness(client, gateway.port)
            rounds += 1
        await starting
        assert (
            await send_admin_command(gateway.management[0], b"READY\n")
            == "-ERR handed over to the successor process\n"
        )
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        for client in clients:
            await check_readiness(client, gateway.port)
        old_log = (await log).decode()
        assert "Traceback" not in old_log and old_log.count("handed over to the next process") == 1

    run_with_first_process(tmp_path, monkeypatch, scenario)


@pytest.mark.parametrize("dies_after", ["connect", "hello", "offer", "take", "state"])
def test_predecessor_serves_on_when_the_successor_dies_after_any_message(tmp_path, monkeypatch, dies_after):
    """Guards against a handover that stays half done when the successor disconnects."""

    async def scenario(gateway):
        old = gateway.processes[0]
        serving = asyncio.create_task(answer_all_attempts(gateway.worker))
        counts = dict(sent=0, answered=0, lost=0, refused=0, stop=0)
        clients = [asyncio.create_task(send_requests(gateway.port, 1000, counts)) for _ in range(8)]
        while counts["answered"] < 16:
            await asyncio.sleep(0.01)
        open_before = descriptors_of(old)
        for _ in range(20):
            while not await asyncio.to_thread(
                fail_as_successor, socket_path(str(tmp_path), "n0"), dies_after
            ):
                await asyncio.sleep(0.01)
        begin = counts["answered"]
        while counts["answered"] < begin + 50 or not (
            await send_admin_command(gateway.management[0], b"READY\n")
        ).startswith("+OK"):
            await asyncio.sleep(0.01)
        counts["stop"] = 1
        await asyncio.gather(*clients)
        assert counts["lost"] == counts["refused"] == 0 and counts["answered"] == counts["sent"]
        assert descriptors_of(old) <= open_before + 8
        new = await gateway.start()
        assert (
            await send_admin_command(gateway.management[0], b"READY\n")
            == "-ERR handed over to the successor process\n"
        )
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0 and new.returncode is None
        assert "Traceback" not in (await old.stderr.read()).decode()
        serving.cancel()

    run_with_first_process(tmp_path, monkeypatch, scenario)


def fail_as_successor(path, dies_after):
    """Act as a successor up to the message `dies_after`, then disconnect. Returns False if the predecessor
    rejected the connection, because it has not noticed yet that the previous successor is gone."""
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
