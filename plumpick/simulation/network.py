"""The virtual network: connections and datagrams, with injected delay, loss, resets and partitions.

A connection is a pair of `ConnectionEnd` objects, each a transport of its process's loop. Bytes written at
one end arrive at the other in order after the link's delay. They may arrive in one segment or split at any
byte, late if a segment was lost and retransmitted, or never. Buffers are limited in both directions, so a
reader that stops reading blocks the writer. A listener has a backlog; a stalled process accepts connections
when it resumes. As in a real system, the kernel's part continues while a process is stalled, and resets the
connections of a process that dies.

Each connection carries the label of its destination ("n1", "lic-004", "roster n0"), so that a fault can apply
to one direction only. All random numbers derive from the machine's seed.
"""

from __future__ import annotations

import asyncio
import errno
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from plumpick.simulation.loop import Machine, Process

WINDOW_BYTES = 64 * 1024  # maximum number of bytes in flight or unread in each direction
HIGH_WATER_BYTES, LOW_WATER_BYTES = 64 * 1024, 16 * 1024  # write buffer limits in bytes, as in asyncio
SYN_RETRY_S = 1.0  # time after which an unanswered SYN is first resent; doubles each time, as in the kernel
RETRY_ACCEPT_S = 1.0  # time until accepting is retried after descriptors ran out, as in asyncio
FIRST_PORT = 20_000
MAX_QUEUED_DATAGRAMS = 200  # maximum number of unread datagrams of a socket


@dataclass
class LinkConditions:
    """Current conditions of network links: delays, and probabilities of faults per segment or datagram."""

    delay_ms: tuple[float, float] = (0.05, 0.4)  # range of the delay of segments and datagrams on a link
    split_probability: float = 0.0  # probability that a write is split into two or three segments
    loss_probability: float = 0.0  # probability that a segment is lost and retransmitted
    retransmit_ms: tuple[float, float] = (200.0, 450.0)  # range of a lost segment's retransmission delay
    reset_probability: float = 0.0  # probability that the connection is reset in the middle of a segment
    datagram_loss_probability: float = 0.0  # probability that a datagram is lost
    datagram_duplicate_probability: float = 0.0  # probability that a datagram is duplicated
    max_datagram_delay_ms: float = 0.0  # maximum extra delay of a datagram, which reorders datagrams
    late_connect_probability: float = 0.0  # probability that a connection to a worker is established late
    # Limits of the late connection's delay: half are drawn between the first two, which the gateway still
    # waits for, and half between the last two, after its connect timeout.
    late_connect_ms: tuple[float, float, float] = (20.0, 250.0, 1500.0)


@dataclass(frozen=True)
class Cut:
    """A one-way partition that blocks segments from `sender` to `receiver`.

    Each side is a process name, a connection label, or "" for any.
    """

    sender: str
    receiver: str

    def blocks(self, senders: tuple[str, str], receivers: tuple[str, str]) -> bool:
        return self.sender in ("", *senders) and self.receiver in ("", *receivers)


class SocketInfo:
    """Stands for the socket in `get_extra_info("socket")` and `Server.sockets`; knows only its address."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        return self._address


class ConnectionEnd(asyncio.Transport):
    """One end of a virtual connection: the transport of the process at that end."""

    def __init__(self, network: Network, process: Process, name: str, label: str, number: int) -> None:
        super().__init__()
        self.network, self.machine, self.process = network, network.machine, process
        # `name` identifies this end for `Cut`; `label` is the label of the connection's destination.
        self.name, self.label, self.number = name, label, number
        self.peer: ConnectionEnd = None  # type: ignore[assignment]
        self.protocol: Any = None
        self.write_buffer = bytearray()
        self.in_flight = 0
        # Received unread segments; None is the end of the stream.
        self.receive_queue: deque[bytes | None] = deque()
        self.arrivals: deque[float] = deque()  # arrival times of the segments in flight to this end
        self.last_arrival = 0.0
        self.high, self.low = HIGH_WATER_BYTES, LOW_WATER_BYTES
        self.paused = self.reading_paused = False
        # whether closing was requested; whether the descriptor was released
        self.closing = self.closed = False
        self.eof_requested = self.eof_sent = self.eof_seen = False
        self.reset = False
        # Segments blocked by a partition, as the calls that would receive them.
        self.blocked: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.sent = 0  # number of bytes written at this end of the connection

    # -- methods of an asyncio transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "socket":
            return SocketInfo(("127.0.0.1", self.number))
        return {"sockname": ("127.0.0.1", self.number), "peername": ("127.0.0.1", self.number)}.get(
            name, default
        )

    def is_closing(self) -> bool:
        return self.closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = HIGH_WATER_BYTES if high is None else high
        self.low = self.high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return len(self.write_buffer)

    def can_write_eof(self) -> bool:
        return True

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol

    def get_protocol(self) -> Any:
        return self.protocol

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.process.dead or self.closing or self.eof_requested or not data:
            return
        self.machine.note(f"write {self.number} {self.name} {len(data)} {zlib.crc32(data):08x}")
        self.sent += len(data)
        self.write_buffer += data
        self._pump()
        if len(self.write_buffer) > self.high and not self.paused:
            self.paused = True
            self.protocol.pause_writing()

    def writelines(self, parts: Any) -> None:
        self.write(b"".join(parts))

    def write_eof(self) -> None:
        if not self.closing and not self.eof_requested:
            self.eof_requested = True
            self._pump()

    def pause_reading(self) -> None:
        self.reading_paused = True

    def resume_reading(self) -> None:
        if self.reading_paused:
            self.reading_paused = False
            if self.receive_queue and not self.process.dead:
                self.process.call_soon(self._read)

    def is_reading(self) -> bool:
        return not self.reading_paused and not self.closing

    def close(self) -> None:
        """Closes the connection after all buffered bytes are sent; received bytes are no longer read."""
        if self.closing or self.process.dead:
            return
        self.closing = True
        if not self.write_buffer:
            self.process.call_soon(self._close_now, None)

    def abort(self) -> None:
        """Closes the connection at once and discards the write buffer."""
        if self.closed or self.process.dead:
            return
        self.closing = True
        self.write_buffer.clear()
        self.process.call_soon(self._close_now, None)

    def has_no_unread_input(self) -> bool:
        """Returns whether this end has no received but unread data and no unread end of stream."""
        return not self.receive_queue and not (self.arrivals and self.arrivals[0] <= self.machine.now)

    def has_peer_closed(self) -> bool:
        """Returns whether the peer's end of stream or reset has arrived, whether or not it was read."""
        arrived = bool(self.arrivals) and self.arrivals[-1] <= self.machine.now
        return (
            self.reset or None in self.receive_queue or arrived and (self.peer.eof_sent or self.peer.closed)
        )

    # -- sending at this end of the connection

    def _pump(self) -> None:
        while self.write_buffer and self.in_flight < WINDOW_BYTES:
            part = bytes(self.write_buffer[: WINDOW_BYTES - self.in_flight])
            del self.write_buffer[: len(part)]
            self.in_flight += len(part)
            for piece in self.network.split_segments(self, part):
                if not self.network.transmit(self, piece):
                    return
        if self.paused and len(self.write_buffer) <= self.low and self.protocol is not None:
            self.paused = False
            self.protocol.resume_writing()
        if not self.write_buffer:
            if self.eof_requested and not self.eof_sent and not self.closed:
                self.eof_sent = True
                self.network.transmit(self, None)
            if self.closing and not self.closed:
                self.process.call_soon(self._close_now, None)

    def _close_now(self, problem: Exception | None) -> None:
        """Releases the descriptor and calls the protocol's `connection_lost`, at most once."""
        if self.closed:
            return
        self.closed = self.closing = True
        self.process.release_descriptors()
        if not self.reset:
            if self.receive_queue and self.receive_queue[0] is not None:
                self.network.send_reset(self)
            elif not self.eof_sent:
                self.eof_sent = True
                self.network.transmit(self, None)
        self.network.ends.pop(self.number, None)
        if self.protocol is not None:
            self.protocol.connection_lost(problem)

    # -- receiving at this end of the connection

    def arrive(self, data: bytes | None) -> None:
        """Receives a segment, or None at the end of the stream. Runs in the process of this end."""
        if self.arrivals:
            self.arrivals.popleft()
        if self.closed:
            if data is not None:  # data that arrives at a closed end is answered with a reset
                self.network.send_reset(self)
            return
        self.receive_queue.append(data)
        self._read()

    def arrive_reset(self) -> None:
        if self.arrivals:
            self.arrivals.popleft()
        if self.closed or self.reset:
            return
        self.reset, self.closing = True, True
        self.write_buffer.clear()
        self.receive_queue.clear()
        # the connection is not accepted yet: the listener reports the reset after accepting
        if self.protocol is None:
            return
        self._close_now(ConnectionResetError(errno.ECONNRESET, "connection reset"))

    def _read(self) -> None:
        while (
            self.receive_queue and not self.reading_paused and not self.closing and self.protocol is not None
        ):
            data = self.receive_queue.popleft()
            if data is None:
                self.eof_seen = True
                if not self.protocol.eof_received():
                    self.close()
                return
            self.peer.in_flight -= len(data)
            if self.peer.write_buffer and not self.peer.process.dead:
                self.network.schedule(
                    self.peer.process, self.network.arrival_time(self.label), self.peer._pump
                )
            self.protocol.data_received(data)


class Listener:
    """A listening socket with its backlog: the server object that `create_server` returns."""

    def __init__(
        self,
        network: Network,
        process: Process,
        factory: Callable[[], Any],
        address: tuple[str, int],
        backlog: int,
    ) -> None:
        self.network, self.process, self.factory = network, process, factory
        self.address, self.backlog = address, backlog
        self.sockets = [SocketInfo(address)]
        self.queue: deque[ConnectionEnd] = deque()

    def close(self) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]
            self.process.release_descriptors()
            for end in self.queue:
                self.network.send_reset(end)
            self.queue.clear()

    def is_serving(self) -> bool:
        return self.network.listeners.get(self.address) is self

    async def wait_closed(self) -> None:
        """Returns at once: the connections of a listener do not keep it open."""

    def accept(self) -> None:
        """Accepts the connections in the backlog. Runs in the listener's process.

        If descriptors run out, accepting is retried after `RETRY_ACCEPT_S`.
        """
        while self.queue and self.is_serving():
            if not self.process.acquire_descriptors():
                self.network.count_reached("descriptors ran out at a listener")
                self.process.call_later(RETRY_ACCEPT_S, self.accept)
                return
            end = self.queue.popleft()
            end.protocol = self.factory()
            end.protocol.connection_made(end)
            if end.reset:
                end.process.call_soon(
                    end._close_now, ConnectionResetError(errno.ECONNRESET, "connection reset")
                )
            elif end.receive_queue:
                end.process.call_soon(end._read)


class VirtualDatagramSocket:
    """A virtual non-blocking datagram socket, used directly by the gateway or by a datagram transport."""

    def __init__(self, network: Network, process: Process) -> None:
        self.network, self.process = network, process
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.queue: deque[tuple[bytes, tuple[str, int]]] = deque()
        self.callback: tuple[Callable[..., Any], tuple[Any, ...]] | None = None
        self.open = False

    def setblocking(self, flag: bool) -> None:
        """Does nothing: the virtual socket never blocks."""

    def bind(self, address: tuple[str, int]) -> None:
        port = address[1] or self.network.new_port()
        self.address = (address[0], port)
        if self.address in self.network.datagram_sockets:
            raise OSError(errno.EADDRINUSE, "address already in use")
        if not self.process.acquire_descriptors():
            raise OSError(errno.EMFILE, "too many open files")
        self.network.datagram_sockets[self.address], self.open = self, True

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        if self.open and not self.process.dead:
            self.network.send_datagram(self, bytes(data), address)
        return len(data)

    def recvfrom(self, most: int) -> tuple[bytes, tuple[str, int]]:
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "no datagram available")
        data, sender = self.queue.popleft()
        return data[:most], sender

    def close(self) -> None:
        if self.open:
            self.open = False
            self.network.datagram_sockets.pop(self.address, None)
            self.process.release_descriptors()

    def add_reader(self, process: Process, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.callback = callback, args

    def remove_reader(self) -> bool:
        had, self.callback = self.callback is not None, None
        return had

    def arrive(self, data: bytes, sender: tuple[str, int]) -> None:
        if not self.open or len(self.queue) >= MAX_QUEUED_DATAGRAMS:
            return
        self.queue.append((data, sender))
        self._ready()

    def _ready(self) -> None:
        if self.queue and self.callback is not None:
            call, args = self.callback
            call(*args)
            if self.queue:
                self.process.call_soon(self._ready)


class VirtualDatagramTransport(asyncio.DatagramTransport):
    """An asyncio datagram transport on a virtual datagram socket."""

    def __init__(self, socket: VirtualDatagramSocket, protocol: Any) -> None:
        super().__init__()
        self.socket, self.protocol, self._closing = socket, protocol, False
        socket.add_reader(socket.process, self._read, ())

    def _read(self) -> None:
        data, sender = self.socket.recvfrom(65536)
        self.protocol.datagram_received(data, sender)

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.socket.sendto(data, addr)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.socket.address if name == "sockname" else default

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        self._closing = True
        self.socket.close()

    abort = close


class Network:
    """All listeners, connections and datagram sockets of a machine, and the faults on links between them.

    `count_reached` is called with the name of each coverage point that is reached.
    """

    def __init__(self, machine: Machine, count_reached: Callable[[str], None] = lambda _name: None) -> None:
        self.machine, self.count_reached = machine, count_reached
        machine.network = self
        self.rng = machine.random_for("network")
        self.conditions = LinkConditions()  # conditions between gateways, workers and discovery
        # Conditions of clients' connections, kept apart because their failures are not a gateway's fault.
        self.client_conditions = LinkConditions()
        self.label_of: Callable[[int], str] = lambda _port: ""
        self.cuts: list[Cut] = []
        self.refusing: set[str] = set()  # labels of destinations that refuse new connections
        self.mute: set[str] = set()  # labels of destinations to which new connections are never established
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.datagram_sockets: dict[tuple[str, int], VirtualDatagramSocket] = {}
        self.ends: dict[int, ConnectionEnd] = {}
        self._port, self._number = FIRST_PORT, 0

    def new_port(self) -> int:
        self._port += 1
        return self._port

    def conditions_for(self, label: str) -> LinkConditions:
        """Returns the conditions of connections to a label; gateways (n0, n1, …) have clients' conditions."""
        return self.client_conditions if label[:1] == "n" else self.conditions

    def arrival_time(self, label: str = "n") -> float:
        """Returns the arrival time of a segment sent now, with a randomly drawn link delay."""
        return self.machine.now + self.rng.uniform(*self.conditions_for(label).delay_ms) / 1000

    def schedule(self, process: Process, when: float, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedules a step of a process at a time of the machine, unless the process is dead."""
        if not process.dead:
            self.machine.push_timer(round(when, 6), asyncio.TimerHandle(when, call, arguments, process))

    # -- connections of the network

    def listen(
        self, process: Process, factory: Callable[[], Any], host: Any, port: int, backlog: int
    ) -> Listener:
        """Opens a listener; port 0 selects a new port.

        Raises OSError if the address is in use or no descriptor is left.
        """
        address = (str(host), port or self.new_port())
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, f"address already in use: {address}")
        if not process.acquire_descriptors():
            raise OSError(errno.EMFILE, "too many open files")
        listener = self.listeners[address] = Listener(self, process, factory, address, backlog)
        return listener

    async def connect(
        self, process: Process, factory: Callable[[], Any], host: str, port: int
    ) -> tuple[ConnectionEnd, Any]:
        """Connects to an address; never returns if the connection is never established.

        Raises OSError if the connection is refused or no descriptor is left.
        """
        if not process.acquire_descriptors():
            self.count_reached("descriptors ran out at a connect")
            raise OSError(errno.EMFILE, "too many open files")
        connected: asyncio.Future[ConnectionEnd] = process.create_future()
        self.schedule(process, self.arrival_time(), self._on_syn, process, (str(host), port), connected)
        local_end: ConnectionEnd | None = None
        try:
            local_end = await connected
        except BaseException:
            process.release_descriptors()
            if connected.done() and not connected.cancelled() and connected.exception() is None:
                connected.result().closed = True
                self.send_reset(connected.result())
            raise
        local_end.protocol = protocol = factory()
        protocol.connection_made(local_end)
        if local_end.reset:
            local_end.reset = False
            process.call_soon(local_end.arrive_reset)
        elif local_end.receive_queue:
            process.call_soon(local_end._read)
        return local_end, protocol

    def _on_syn(
        self,
        process: Process,
        address: tuple[str, int],
        connected: asyncio.Future[ConnectionEnd],
        wait_s: float = SYN_RETRY_S,
    ) -> None:
        """Handles the arrival of a SYN at the destination; one that gets no answer is resent."""
        if connected.done() or process.dead:
            return
        label = self.label_of(address[1])
        us, them = (process.name, ""), (label, "")
        listener, conditions = self.listeners.get(address), self.conditions_for(label)
        if (
            conditions.late_connect_probability
            and label[:4] == "lic-"
            and wait_s == SYN_RETRY_S
            and (self.rng.random() < conditions.late_connect_probability)
        ):
            self.count_reached("a connection came up late")
            least, middle, most = conditions.late_connect_ms
            is_in_time = self.rng.random() < 0.5
            late_s = self.rng.uniform(*((least, middle) if is_in_time else (middle, most))) / 1000
            self.machine.schedule(
                self.machine.now + late_s, self._on_syn, process, address, connected, 2 * wait_s
            )
            return
        if label in self.mute or any(cut.blocks(us, them) or cut.blocks(them, us) for cut in self.cuts):
            self.count_reached("a knock was not heard")
            self.machine.schedule(
                self.machine.now + wait_s, self._on_syn, process, address, connected, 2 * wait_s
            )
            return
        if listener is None or listener.process.dead or label in self.refusing:
            self.count_reached("a connection was refused")
            self.schedule(process, self.arrival_time(), self._on_refused, connected)
            return
        if len(listener.queue) >= listener.backlog:
            self.count_reached("a backlog was full")
            self.machine.schedule(
                self.machine.now + wait_s, self._on_syn, process, address, connected, 2 * wait_s
            )
            return
        if wait_s > SYN_RETRY_S:
            self.count_reached("a connection came up late")
        self._number += 1
        local_end = ConnectionEnd(self, process, process.name, label, 2 * self._number)
        remote_end = ConnectionEnd(self, listener.process, label, label, 2 * self._number + 1)
        local_end.peer, remote_end.peer = remote_end, local_end
        self.ends[local_end.number], self.ends[remote_end.number] = local_end, remote_end
        listener.queue.append(remote_end)
        self.schedule(listener.process, self.machine.now, listener.accept)
        self.schedule(process, self.arrival_time(), self._on_established, connected, local_end)

    @staticmethod
    def _on_refused(connected: asyncio.Future[ConnectionEnd]) -> None:
        if not connected.done():
            connected.set_exception(ConnectionRefusedError(errno.ECONNREFUSED, "connection refused"))

    def _on_established(self, connected: asyncio.Future[ConnectionEnd], local_end: ConnectionEnd) -> None:
        if connected.done():  # the connect call was cancelled meanwhile
            local_end.closed = True
            self.send_reset(local_end)
        else:
            connected.set_result(local_end)

    def split_segments(self, end: ConnectionEnd, data: bytes) -> list[bytes]:
        """Splits written bytes into the segments in which they are sent."""
        share = self.conditions_for(end.label).split_probability
        if not share or len(data) < 2 or self.rng.random() >= share:
            return [data]
        places = sorted({self.rng.randrange(1, len(data)) for _ in range(self.rng.randint(1, 2))})
        return [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True)]

    def transmit(self, end: ConnectionEnd, data: bytes | None) -> bool:
        """Sends one segment from `end` to its peer, or the end of the stream if `data` is None.

        Returns False if the connection is reset within the segment.
        """
        conditions, rng = self.conditions_for(end.label), self.rng
        if data is not None and conditions.reset_probability and rng.random() < conditions.reset_probability:
            self.count_reached("a connection was reset in the middle of a message")
            part = data[: rng.randrange(len(data))]
            if part:
                self._put_in_flight(end, end.peer.arrive, part)
            self.send_reset(end)
            self.schedule(end.process, self.arrival_time(), end.arrive_reset)
            return False
        self._put_in_flight(end, end.peer.arrive, data)
        return True

    def _put_in_flight(self, end: ConnectionEnd, call: Callable[..., None], *arguments: Any) -> None:
        peer = end.peer
        if any(cut.blocks((end.process.name, end.name), (peer.process.name, peer.name)) for cut in self.cuts):
            end.blocked.append((call, arguments))  # the segment is resent when the partition heals
            return
        when, conditions = self.arrival_time(end.label), self.conditions_for(end.label)
        if conditions.loss_probability and self.rng.random() < conditions.loss_probability:
            self.count_reached("a segment was lost and sent again")
            when += self.rng.uniform(*conditions.retransmit_ms) / 1000
        peer.last_arrival = when = round(max(when, peer.last_arrival), 6)
        if not peer.process.dead:
            peer.arrivals.append(when)
            self.schedule(peer.process, when, call, *arguments)

    def send_reset(self, end: ConnectionEnd) -> None:
        """Sends a reset of the connection to the peer of `end`."""
        self._put_in_flight(end, end.peer.arrive_reset)

    def heal(self, cut: Cut) -> None:
        """Removes a partition and sends the segments that were blocked; others may block them again."""
        if cut in self.cuts:
            self.cuts.remove(cut)
        for end in list(self.ends.values()):
            blocked, end.blocked = end.blocked, []
            for call, arguments in blocked:
                self._put_in_flight(end, call, *arguments)

    def process_died(self, process: Process) -> None:
        """Closes all sockets of a dead process; its open connections are reset."""
        for listener in list(self.listeners.values()):
            if listener.process is process:
                listener.close()
        for socket in list(self.datagram_sockets.values()):
            if socket.process is process:
                socket.close()
        for end in list(self.ends.values()):
            if end.process is process:
                self.ends.pop(end.number, None)
                end.closed = True
                self.send_reset(end)

    # -- datagrams of the network

    def datagram_endpoint(
        self, process: Process, factory: Callable[[], Any], address: tuple[str, int]
    ) -> tuple[VirtualDatagramTransport, Any]:
        socket = VirtualDatagramSocket(self, process)
        socket.bind(address)
        protocol = factory()
        end = VirtualDatagramTransport(socket, protocol)
        protocol.connection_made(end)
        return end, protocol

    def send_datagram(self, socket: VirtualDatagramSocket, data: bytes, address: tuple[str, int]) -> None:
        """Sends one datagram, which may be lost, delayed or duplicated."""
        conditions, rng = self.conditions, self.rng
        self.machine.note(f"datagram {socket.address[1]} {address[1]} {len(data)} {zlib.crc32(data):08x}")
        if conditions.datagram_loss_probability and rng.random() < conditions.datagram_loss_probability:
            self.count_reached("a datagram was lost on the way")
            return
        times = 1
        if (
            conditions.datagram_duplicate_probability
            and rng.random() < conditions.datagram_duplicate_probability
        ):
            self.count_reached("a datagram came twice")
            times = 2
        for _ in range(times):
            late = (
                rng.uniform(0, conditions.max_datagram_delay_ms) / 1000
                if conditions.max_datagram_delay_ms
                else 0.0
            )
            other = self.datagram_sockets.get(address)
            if other is not None:
                self.schedule(other.process, self.arrival_time() + late, other.arrive, data, socket.address)
