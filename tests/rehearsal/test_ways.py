"""The discovery stub and the relay of datagrams, on loopback sockets."""

import asyncio
import json

import pytest
import uvloop

from plumpick.rehearsal.datagrams import Relay
from plumpick.rehearsal.records import DatagramHandled, StatusSent
from plumpick.rehearsal.roster import DiscoveryAgent, DiscoveryStub, ListedWorker
from plumpick.rehearsal.scenario import PeerPart, RosterPart
from plumpick.rehearsal.surroundings import HOST, Surroundings
from plumpick.rehearsal.wire import Reader, request_bytes

TIMEOUT_S = 30.0  # Time limit of a test


def run(scenario):
    async def whole():
        await scenario(Surroundings(asyncio.get_running_loop(), 1))

    uvloop.run(asyncio.wait_for(whole(), TIMEOUT_S))


def listed_worker(name, status="ready", life=1):
    return ListedWorker(name, life, 4000, "hall-a", 0, status, 0.0)


class GatewayConnection:
    """A gateway's connection to its discovery agent."""

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.messages = Reader(True)
        return self

    def ask(self, query=""):
        self.writer.write(request_bytes("GET", f"/discovery/hosts{query}", {}))
        return self

    async def answer(self):
        while True:
            data = await self.reader.read(65536)
            if not data:
                return None
            found = self.messages.feed(data, 0.0)
            if found:
                return json.loads(found[0].body)


def agent_scenario(play):
    async def scenario(around):
        records = []
        agent = DiscoveryAgent(around, "n0", records.append)
        await agent.start()
        agent.view = {name: listed_worker(name) for name in ("a1", "a2")}
        try:
            await play(agent, records)
        finally:
            agent.close()

    run(scenario)


def notifications(records):
    return [(record.server, record.status) for record in records if isinstance(record, StatusSent)]


def test_watch_after_the_whole_list_gets_the_next_change():
    async def play(agent, records):
        call = await GatewayConnection().open(agent.port)
        whole = await call.ask().answer()
        assert whole["snapshot"] and {row["name"] for row in whole["endpoints"]} == {"a1", "a2"}
        call.ask(f"?since={whole['index']}&timeout_ms=20000")
        other = await GatewayConnection().open(agent.port)
        await other.ask().answer()  # The agent has read the watch by now.
        agent.change(listed_worker("a1", "draining"))
        response = await call.answer()
        assert not response["snapshot"] and [row["status"] for row in response["endpoints"]] == ["draining"]
        assert notifications(records) == [("a1", "ready"), ("a2", "ready"), ("a1", "draining")]

    agent_scenario(play)


def test_watch_ends_empty_after_its_timeout_and_late_watch_gets_missed_changes():
    async def play(agent, _records):
        call = await GatewayConnection().open(agent.port)
        assert (await call.ask(f"?since={agent.index}&timeout_ms=1").answer())["endpoints"] == []
        index = agent.index
        agent.change(listed_worker("a2", "gone"))
        agent.change(listed_worker("a3"))
        response = await call.ask(f"?since={index}&timeout_ms=20000").answer()
        assert [row["name"] for row in response["endpoints"]] == ["a2", "a3"]

    agent_scenario(play)


def test_silent_agent_responds_to_all_held_requests_when_silence_ends():
    async def play(agent, records):
        call = await GatewayConnection().open(agent.port)
        await call.ask().answer()
        agent.silent = True
        call.ask()
        agent.change(listed_worker("a1", "draining"))
        while not agent._held:
            await asyncio.sleep(0)
        assert ("a1", "draining") not in notifications(records)
        agent.end_silence()
        assert (await call.answer())["snapshot"] and ("a1", "draining") in notifications(records)

    agent_scenario(play)


def test_worker_missing_from_a_whole_list_is_recorded_as_gone():
    async def play(agent, records):
        call = await GatewayConnection().open(agent.port)
        await call.ask().answer()
        del agent.view["a1"]
        await call.ask().answer()
        assert notifications(records)[-1] == ("a1", "gone")

    agent_scenario(play)


def test_moved_agent_listens_at_a_new_port_and_closes_the_old_one():
    async def play(agent, _records):
        call, port = await GatewayConnection().open(agent.port), agent.port
        await call.ask().answer()
        await agent.start()
        assert agent.port != port
        with pytest.raises(OSError):
            await GatewayConnection().open(port)
        assert (await (await GatewayConnection().open(agent.port)).ask().answer())["snapshot"]
        assert await call.answer() is None

    agent_scenario(play)


def test_changes_of_one_worker_reach_each_agent_in_order():
    async def scenario(around):
        agents = [DiscoveryAgent(around, f"n{number}", lambda record: None) for number in range(3)]
        part = RosterPart(add_s=[0.0, 0.005], drain_s=[0.0, 0.005], gone_s=[0.0, 0.005], spread_ms=[0, 5])
        roster, received = DiscoveryStub(around, part, agents), {number: [] for number in range(3)}
        for number, agent in enumerate(agents):
            agent.change = lambda entry, number=number: received[number].append(entry.status)
        for status in ("ready", "draining", "gone") * 5:
            roster.publish(listed_worker("a1", status))
        while any(len(list_) < 15 for list_ in received.values()):
            await asyncio.sleep(0.001)
        assert all(list_ == ["ready", "draining", "gone"] * 5 for list_ in received.values())

    run(scenario)


class DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self):
        self.received = asyncio.Queue()

    def datagram_received(self, data, address):
        self.received.put_nowait((data, address))


async def relay_with_three_gateways(around, **part):
    records, receivers = [], []
    relay = Relay(
        around, PeerPart(**({"delay_ms": [0, 0], "loss": 0.0} | part)), ["n0", "n1", "n2"], records.append
    )
    await relay.start()
    for number in range(3):
        transport, receiver = await around.loop.create_datagram_endpoint(DatagramReceiver, (HOST, 0))
        relay.ports[number] = transport.get_extra_info("sockname")[1]
        receivers.append((transport, receiver))
    return relay, receivers, records


def address(relay, sender, receiver):
    host, port = relay.address(sender, receiver).split(":")
    return host, int(port)


def test_relayed_datagram_comes_from_the_address_that_reaches_its_sender():
    async def scenario(around):
        relay, receivers, _ = await relay_with_three_gateways(around)
        receivers[0][0].sendto(b"hello", address(relay, 0, 1))
        data, source = await receivers[1][1].received.get()
        assert data == b"hello" and source == address(relay, 1, 0)
        receivers[1][0].sendto(b"and you", source)
        assert (await receivers[0][1].received.get())[0] == b"and you"
        relay.close()

    run(scenario)


def test_datagram_of_an_unknown_sender_is_not_relayed():
    async def scenario(around):
        relay, receivers, records = await relay_with_three_gateways(around)
        stranger, _ = await around.loop.create_datagram_endpoint(DatagramReceiver, (HOST, 0))
        stranger.sendto(b"me too", address(relay, 0, 1))
        receivers[0][0].sendto(b"hello", address(relay, 0, 1))
        assert (await receivers[1][1].received.get())[0] == b"hello" and len(records) == 1
        relay.close()

    run(scenario)


def test_relay_drops_datagrams_by_partition_loss_and_inbox_limit():
    async def scenario(around):
        relay, receivers, records = await relay_with_three_gateways(around, inbox_per_s=3.0)
        relay.sides.append({0})
        receivers[0][0].sendto(b"cut", address(relay, 0, 1))
        for number in range(5):
            receivers[2][0].sendto(b"%d" % number, address(relay, 2, 1))
        while len(records) < 6:
            await asyncio.sleep(0)
        fates = [record.fate for record in records if isinstance(record, DatagramHandled)]
        assert sorted(fates) == ["crowded out"] * 2 + ["cut"] + ["delivered"] * 3
        relay.close()
        lossy, receivers, records = await relay_with_three_gateways(around, loss=1.0)
        receivers[0][0].sendto(b"gone", address(lossy, 0, 1))
        while not records:
            await asyncio.sleep(0)
        assert records[0].fate == "lost"
        lossy.close()

    run(scenario)
