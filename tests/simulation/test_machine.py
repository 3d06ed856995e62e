"""The virtual machine and network: time, processes, connections, datagrams and injected network faults."""

import asyncio
import signal
from dataclasses import replace

import pytest

from plumpick.simulation.loop import Machine, Process, RunawayLoop
from plumpick.simulation.network import Cut, Network

HOST = "127.0.0.1"


class VirtualPair:
    """A virtual machine with two processes; connections to any port lead to the process `two`."""

    def __init__(self, seed=1):
        self.machine = Machine(seed)
        self.coverage_points = []
        self.network = Network(self.machine, self.coverage_points.append)
        self.script = Process(self.machine, "script")
        self.one, self.two = Process(self.machine, "one"), Process(self.machine, "two")
        self.network.label_of = lambda port: "two"

    def run(self, work, until=60.0, process=None):
        """Run a coroutine function in a process, by default `one`, until it ends; return its result."""
        task = []
        owner = process or self.one

        async def main():
            try:
                return await work()
            finally:
                self.machine.stopped = True

        owner.call_soon(lambda: task.append(owner.create_task(main())))
        self.machine.run(until)
        return task[0].result()


class RecordingProtocol(asyncio.Protocol):
    """A protocol that records received bytes, ends of stream and lost connections."""

    def __init__(self):
        self.received, self.ends, self.lost, self.writable = b"", 0, [], True
        self.transport = None
        self.over = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        self.ends += 1

    def connection_lost(self, problem):
        self.lost.append(type(problem).__name__ if problem else "closed")

    def pause_writing(self):
        self.writable = False

    def resume_writing(self):
        self.writable = True


async def connect_pair(net, backlog=100):
    """Connect to a server in the process `two`; return both protocols and the listener."""
    served = []

    def make():
        served.append(RecordingProtocol())
        return served[-1]

    listener = net.network.listen(net.two, make, HOST, 0, backlog)
    port = listener.address[1]
    loop = asyncio.get_running_loop()
    _, client = await loop.create_connection(RecordingProtocol, HOST, port)
    await asyncio.sleep(0.01)
    return client, served[0], listener


def test_time_advances_only_when_nothing_is_ready_and_timers_fire_in_order():
    net, seen = VirtualPair(), []

    async def work():
        loop = asyncio.get_running_loop()
        for ms in (30, 10, 20):
            loop.call_later(ms / 1000, seen.append, ms)
        before = loop.time()
        for _ in range(100):
            await asyncio.sleep(0)
        assert loop.time() == before
        await asyncio.sleep(3600)
        return loop.time() - before

    assert net.run(work, until=4000.0) == pytest.approx(3600)
    assert seen == [10, 20, 30]


def test_callback_or_timer_that_reschedules_itself_at_the_same_instant_raises():
    net = VirtualPair()

    def reschedule():
        net.one.call_soon(reschedule)

    net.one.call_soon(reschedule)
    with pytest.raises(RunawayLoop, match=r"<locals>\.reschedule$"):
        net.machine.run(1.0)
    later = VirtualPair()

    def reschedule_timer():
        later.one.call_later(0.0, reschedule_timer)

    later.one.call_soon(reschedule_timer)
    with pytest.raises(RunawayLoop):
        later.machine.run(1.0)


def test_asyncio_streams_timeouts_and_threads_run_on_the_virtual_loop():
    net = VirtualPair()

    async def work():
        async def echo(reader, writer):
            writer.write(await reader.readline())
            writer.close()

        def make():
            reader = asyncio.StreamReader(loop=net.two)
            return asyncio.StreamReaderProtocol(reader, echo, loop=net.two)

        port = net.network.listen(net.two, make, HOST, 0, 5).address[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"hello\n")
        assert await reader.read() == b"hello\n"
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await asyncio.Event().wait()
        return await asyncio.to_thread(lambda: 7)

    assert net.run(work) == 7


@pytest.mark.parametrize("seed", range(5))
def test_bytes_arrive_complete_and_in_order_despite_splits_and_loss(seed):
    net = VirtualPair(seed)
    net.network.conditions = replace(net.network.conditions, split_probability=1.0, loss_probability=0.3)
    sent = bytes(range(256)) * 2000

    async def work():
        client, server, _ = await connect_pair(net)
        client.transport.set_write_buffer_limits(high=1000)
        for start in range(0, len(sent), 777):
            client.transport.write(sent[start : start + 777])
        assert not client.writable
        await asyncio.sleep(600)
        assert client.writable and server.received == sent
        client.transport.write_eof()
        await asyncio.sleep(2)
        return server.ends, server.lost, client.lost

    assert net.run(work, until=2000.0) == (1, ["closed"], ["closed"])


def test_reader_that_pauses_blocks_the_writer():
    net = VirtualPair()

    async def work():
        client, server, _ = await connect_pair(net)
        server.transport.pause_reading()
        client.transport.write(b"x" * 500_000)
        await asyncio.sleep(5)
        assert not server.received and not client.writable
        server.transport.resume_reading()
        await asyncio.sleep(5)
        return len(server.received), client.writable

    assert net.run(work) == (500_000, True)


def test_reset_loses_the_rest_of_a_message_and_closes_both_ends():
    net = VirtualPair()

    async def work():
        client, server, _ = await connect_pair(net)
        net.network.conditions = replace(net.network.conditions, reset_probability=1.0)
        client.transport.write(b"0123456789" * 10)
        await asyncio.sleep(1)
        return len(server.received), client.lost, server.lost

    received, client, server = net.run(work)
    assert received < 100 and client == ["ConnectionResetError"] == server
    assert not net.one.open_descriptors and net.two.open_descriptors == 1  # the listener


def test_one_way_partition_delays_bytes_until_it_heals():
    net = VirtualPair()

    async def work():
        client, server, _ = await connect_pair(net)
        cut = Cut("one", "two")
        net.network.cuts.append(cut)
        client.transport.write(b"there")
        server.transport.write(b"back")
        await asyncio.sleep(2)
        assert client.received == b"back" and not server.received
        net.network.heal(cut)
        await asyncio.sleep(1)
        return server.received

    assert net.run(work) == b"there"


def test_connect_is_refused_or_times_out_when_muted_or_backlog_is_full():
    net = VirtualPair()

    async def work():
        loop = asyncio.get_running_loop()
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(RecordingProtocol, HOST, 9)
        _, _, listener = await connect_pair(net, backlog=1)
        port = listener.address[1]
        net.network.refusing.add("two")
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(RecordingProtocol, HOST, port)
        net.network.refusing.clear()
        for fault in ("mute", "backlog"):
            if fault == "mute":
                net.network.mute.add("two")
            else:
                net.network.mute.clear()
                net.two.stall(5)
                await loop.create_connection(RecordingProtocol, HOST, port)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await loop.create_connection(RecordingProtocol, HOST, port)
        return net.one.open_descriptors

    assert net.run(work) == 2
    assert {"a connection was refused", "a knock was not heard", "a backlog was full"} <= set(
        net.coverage_points
    )


def test_connect_fails_and_listener_waits_when_descriptors_run_out():
    net = VirtualPair()

    async def work():
        _, _, listener = await connect_pair(net)
        net.one.max_descriptors = net.one.open_descriptors
        with pytest.raises(OSError, match="too many"):
            await asyncio.get_running_loop().create_connection(RecordingProtocol, HOST, listener.address[1])
        net.one.max_descriptors = 100
        net.two.max_descriptors = net.two.open_descriptors
        _, client = await asyncio.get_running_loop().create_connection(
            RecordingProtocol, HOST, listener.address[1]
        )
        client.transport.write(b"early")
        await asyncio.sleep(0.5)
        assert len(listener.queue) == 1  # established for the client, waiting to be accepted
        net.two.max_descriptors = 100
        await asyncio.sleep(1.5)
        return len(listener.queue)

    assert net.run(work) == 0


def test_dead_process_runs_no_steps_and_its_connections_are_reset():
    net, ran = VirtualPair(), []

    async def work():
        client, _, listener = await connect_pair(net)
        net.two.call_later(1.0, ran.append, "late")

        async def forever():
            await asyncio.sleep(0.5)
            ran.append("task")

        net.two.call_soon(lambda: net.two.create_task(forever()))
        await asyncio.sleep(0.1)
        net.two.kill()
        await asyncio.sleep(5)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.get_running_loop().create_connection(RecordingProtocol, HOST, listener.address[1])
        return client.lost

    assert net.run(work) == ["ConnectionResetError"]
    assert not ran and net.two.exit_code == -9


def test_stalled_process_resumes_and_its_kernel_receives_meanwhile():
    net, ran = VirtualPair(), []

    async def work():
        client, server, _ = await connect_pair(net)
        net.two.call_later(0.5, lambda: ran.append(net.two.time()))
        net.two.stall(3.0)
        client.transport.write(b"meanwhile")
        await asyncio.sleep(2)
        assert not server.received and not ran and not server.transport.has_no_unread_input()
        await asyncio.sleep(2)
        return server.received

    assert net.run(work) == b"meanwhile"
    assert ran and ran[0] >= 3.0


def test_signal_calls_its_handler_or_ends_the_process():
    net, seen = VirtualPair(), []
    net.two.add_signal_handler(signal.SIGTERM, seen.append, "term")
    net.two.signal(signal.SIGTERM)
    net.machine.run(1.0)
    assert seen == ["term"] and not net.two.dead
    net.two.signal(signal.SIGHUP)
    assert net.two.dead and net.two.exit_code == -signal.SIGHUP


def test_datagrams_are_lost_duplicated_and_reordered():
    net = VirtualPair()

    class RecordingDatagramProtocol(asyncio.DatagramProtocol):
        received = []

        def datagram_received(self, data, address):
            self.received.append(data)

    async def work():
        receiver, _ = await net.two.create_datagram_endpoint(RecordingDatagramProtocol, (HOST, 0))
        sender, _ = await net.one.create_datagram_endpoint(asyncio.DatagramProtocol, (HOST, 0))
        net.network.conditions = replace(
            net.network.conditions,
            datagram_loss_probability=0.3,
            datagram_duplicate_probability=0.3,
            max_datagram_delay_ms=50.0,
        )
        for number in range(200):
            sender.sendto(b"%d" % number, receiver.get_extra_info("sockname"))
        await asyncio.sleep(1)

    net.run(work)
    numbers = [int(one) for one in RecordingDatagramProtocol.received]
    assert 100 < len(set(numbers)) < 180 < len(numbers) + 40
    assert len(numbers) > len(set(numbers)) and numbers != sorted(numbers)


def test_clocks_of_processes_have_their_skew():
    machine = Machine(1)
    ahead, behind = Process(machine, "a", skew_ms=4.0), Process(machine, "b", skew_ms=-3.0)
    fired = []
    ahead.call_later(1.0, lambda: fired.append(machine.now))
    behind.call_later(1.0, lambda: fired.append(machine.now))
    assert ahead.time() - behind.time() == pytest.approx(0.007)
    machine.run(2.0)
    assert fired == [pytest.approx(1.0)] * 2


def test_unhandled_exception_is_recorded_as_a_problem():
    net = VirtualPair()
    net.one.call_soon(lambda: 1 / 0)
    net.machine.run(1.0)
    assert len(net.machine.problems) == 1 and "ZeroDivisionError" in net.machine.problems[0]
