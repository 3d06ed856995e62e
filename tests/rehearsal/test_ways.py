"""The stand-in roster and the way of datagrams, on loopback sockets."""

import asyncio
import json

import pytest
import uvloop

from plumpick.rehearsal.datagrams import Relay
from plumpick.rehearsal.records import Passed, Told
from plumpick.rehearsal.roster import DiscoveryAgent, DiscoveryStub, ListedWorker
from plumpick.rehearsal.scenario import PeerPart, RosterPart
from plumpick.rehearsal.surroundings import HOST, Surroundings
from plumpick.rehearsal.wire import Reader, request_bytes

PATIENCE_S = 30.0  # only a hang takes so long


def run(scenario):
    async def whole():
        await scenario(Surroundings(asyncio.get_running_loop(), 1))

    uvloop.run(asyncio.wait_for(whole(), PATIENCE_S))


def listed(name, status="ready", life=1):
    return ListedWorker(name, life, 4000, "hall-a", 0, status, 0.0)


class Caller:
    """A gatekeeper's connection to its agent."""

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
        agent.view = {name: listed(name) for name in ("a1", "a2")}
        try:
            await play(agent, records)
        finally:
            agent.close()

    run(scenario)


def told(records):
    return [(record.server, record.status) for record in records if isinstance(record, Told)]


def test_the_whole_list_then_a_watch_that_waits_for_news():
    async def play(agent, records):
        call = await Caller().open(agent.port)
        whole = await call.ask().answer()
        assert whole["snapshot"] and {row["name"] for row in whole["endpoints"]} == {"a1", "a2"}
        call.ask(f"?since={whole['index']}&timeout_ms=20000")
        other = await Caller().open(agent.port)
        await other.ask().answer()  # the watch has been read by now
        agent.change(listed("a1", "draining"))
        news = await call.answer()
        assert not news["snapshot"] and [row["status"] for row in news["endpoints"]] == ["draining"]
        assert told(records) == [("a1", "ready"), ("a2", "ready"), ("a1", "draining")]

    agent_scenario(play)


def test_a_watch_that_ends_with_nothing_new_and_one_that_comes_late():
    async def play(agent, _records):
        call = await Caller().open(agent.port)
        assert (await call.ask(f"?since={agent.index}&timeout_ms=1").answer())["endpoints"] == []
        index = agent.index
        agent.change(listed("a2", "gone"))
        agent.change(listed("a3"))
        news = await call.ask(f"?since={index}&timeout_ms=20000").answer()
        assert [row["name"] for row in news["endpoints"]] == ["a2", "a3"]

    agent_scenario(play)


def test_silence_answers_nothing_and_all_of_it_afterwards():
    async def play(agent, records):
        call = await Caller().open(agent.port)
        await call.ask().answer()
        agent.silent = True
        call.ask()
        agent.change(listed("a1", "draining"))
        while not agent._held:
            await asyncio.sleep(0)
        assert ("a1", "draining") not in told(records)
        agent.end_silence()
        assert (await call.answer())["snapshot"] and ("a1", "draining") in told(records)

    agent_scenario(play)


def test_what_a_whole_list_leaves_out_is_told_to_be_gone():
    async def play(agent, records):
        call = await Caller().open(agent.port)
        await call.ask().answer()
        del agent.view["a1"]
        await call.ask().answer()
        assert told(records)[-1] == ("a1", "gone")

    agent_scenario(play)


def test_a_move_opens_a_new_address_and_closes_the_old_one():
    async def play(agent, _records):
        call, port = await Caller().open(agent.port), agent.port
        await call.ask().answer()
        await agent.start()
        assert agent.port != port
        with pytest.raises(OSError):
            await Caller().open(port)
        assert (await (await Caller().open(agent.port)).ask().answer())["snapshot"]
        assert await call.answer() is None

    agent_scenario(play)


def test_word_of_one_server_reaches_each_agent_in_order():
    async def scenario(around):
        agents = [DiscoveryAgent(around, f"n{number}", lambda record: None) for number in range(3)]
        part = RosterPart(add_s=[0.0, 0.005], drain_s=[0.0, 0.005], gone_s=[0.0, 0.005], spread_ms=[0, 5])
        roster, heard = DiscoveryStub(around, part, agents), {number: [] for number in range(3)}
        for number, agent in enumerate(agents):
            agent.change = lambda entry, number=number: heard[number].append(entry.status)
        for status in ("ready", "draining", "gone") * 5:
            roster.publish(listed("a1", status))
        while any(len(list_) < 15 for list_ in heard.values()):
            await asyncio.sleep(0.001)
        assert all(list_ == ["ready", "draining", "gone"] * 5 for list_ in heard.values())

    run(scenario)


class Ear(asyncio.DatagramProtocol):
    def __init__(self):
        self.heard = asyncio.Queue()

    def datagram_received(self, data, address):
        self.heard.put_nowait((data, address))


async def three(around, **part):
    records, ears = [], []
    relay = Relay(
        around, PeerPart(**({"delay_ms": [0, 0], "loss": 0.0} | part)), ["n0", "n1", "n2"], records.append
    )
    await relay.start()
    for number in range(3):
        transport, ear = await around.loop.create_datagram_endpoint(Ear, (HOST, 0))
        relay.ports[number] = transport.get_extra_info("sockname")[1]
        ears.append((transport, ear))
    return relay, ears, records


def address(relay, sender, receiver):
    host, port = relay.address(sender, receiver).split(":")
    return host, int(port)


def test_datagrams_come_from_the_address_at_which_their_sender_is_reached():
    async def scenario(around):
        relay, ears, _ = await three(around)
        ears[0][0].sendto(b"hello", address(relay, 0, 1))
        data, source = await ears[1][1].heard.get()
        assert data == b"hello" and source == address(relay, 1, 0)
        ears[1][0].sendto(b"and you", source)
        assert (await ears[0][1].heard.get())[0] == b"and you"
        relay.close()

    run(scenario)


def test_a_stranger_is_not_carried():
    async def scenario(around):
        relay, ears, records = await three(around)
        stranger, _ = await around.loop.create_datagram_endpoint(Ear, (HOST, 0))
        stranger.sendto(b"me too", address(relay, 0, 1))
        ears[0][0].sendto(b"hello", address(relay, 0, 1))
        assert (await ears[1][1].heard.get())[0] == b"hello" and len(records) == 1
        relay.close()

    run(scenario)


def test_splits_losses_and_a_full_inbox():
    async def scenario(around):
        relay, ears, records = await three(around, inbox_per_s=3.0)
        relay.sides.append({0})
        ears[0][0].sendto(b"cut", address(relay, 0, 1))
        for number in range(5):
            ears[2][0].sendto(b"%d" % number, address(relay, 2, 1))
        while len(records) < 6:
            await asyncio.sleep(0)
        fates = [record.fate for record in records if isinstance(record, Passed)]
        assert sorted(fates) == ["crowded out"] * 2 + ["cut"] + ["delivered"] * 3
        relay.close()
        lossy, ears, records = await three(around, loss=1.0)
        ears[0][0].sendto(b"gone", address(lossy, 0, 1))
        while not records:
            await asyncio.sleep(0)
        assert records[0].fate == "lost"
        lossy.close()

    run(scenario)
