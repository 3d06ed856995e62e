"""The virtual network: connections and datagrams, with injected delay, loss, resets and partitions.

A connection is a pair of `End` objects, each a transport of its process's loop. Bytes written at one end
arrive at the other in order after the link's delay. They may arrive in one segment or split at any byte, late
if a segment was lost and retransmitted, or never. Buffers are limited in both directions, so a reader that
stops reading blocks the writer. A listener has a backlog; a stalled process accepts connections when it
resumes. As in a real system, the kernel's part continues while a process is stalled, and resets the
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

WINDOW = 64 * 1024  # maximum number of bytes in flight or unread in each direction
HIGH, LOW = 64 * 1024, 16 * 1024  # write buffer limits in bytes, as in asyncio
SYN_S = 1.0  # time after which an unanswered SYN is first resent; doubles each time, as in the kernel
RETRY_ACCEPT_S = 1.0  # time until accepting is retried after descriptors ran out, as in asyncio
FIRST_PORT = 20_000
DATAGRAM_BUFFER = 200  # maximum number of unread datagrams of a socket


@dataclass
class Weather:
    """Current conditions of network links: delays, and probabilities of faults per segment or datagram."""

    delay_ms: tuple[float, float] = (0.05, 0.4)  # range of the link delay
    cut_share: float = 0.0  # probability that a write is split into two or three segments
    loss: float = 0.0  # probability that a segment is lost and retransmitted after `resend_ms`
    resend_ms: tuple[float, float] = (200.0, 450.0)  # range of the retransmission delay
    reset: float = 0.0  # probability that the connection is reset in the middle of a segment
    datagram_loss: float = 0.0  # probability that a datagram is lost
    datagram_twice: float = 0.0  # probability that a datagram is duplicated
    datagram_late_ms: float = 0.0  # maximum extra delay of a datagram, which reorders datagrams
    late_up: float = 0.0  # probability that a connection to a worker is established late
    # Limits of the late connection's delay: half are drawn between the first two, which the gateway still
    # waits for, and half between the last two, after its connect timeout.
    late_up_ms: tuple[float, float, float] = (20.0, 250.0, 1500.0)


@dataclass(frozen=True)
class Cut:
    """A one-way partition that blocks segments from `sender` to `receiver`.

    Each side is a process name, a connection label, or "" for any.
    """

    sender: str
    receiver: str

    def stops(self, senders: tuple[str, str], receivers: tuple[str, str]) -> bool:
        return self.sender in ("", *senders) and self.receiver in ("", *receivers)


class Named:
    """Stands for the socket in `get_extra_info("socket")` and `Server.sockets`; knows only its address."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        return self._address


class End(asyncio.Transport):
    """One end of a virtual connection: the transport of the process at that end."""

    def __init__(self, network: Network, process: Process, name: str, label: str, number: int) -> None:
        super().__init__()
        self.network, self.machine, self.process = network, network.machine, process
        # `name` identifies this end for `Cut`; `label` is the label of the connection's destination.
        self.name, self.label, self.number = name, label, number
        self.peer: End = None  # type: ignore[assignment]
        self.protocol: Any = None
        self.out = bytearray()
        self.in_flight = 0
        self.inbox: deque[bytes | None] = deque()  # received unread segments; None is the end of the stream
        self.due: deque[float] = deque()  # arrival times of the segments in flight to this end
        self.last = 0.0
        self.high, self.low = HIGH, LOW
        self.paused = self.reading_paused = False
        self.closing = self.closed = False  # closing requested; descriptor released
        self.eof_asked = self.eof_sent = self.eof_seen = False
        self.reset = False
        self.held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # segments blocked by a partition
        self.sent = 0  # number of bytes written

    # -- asyncio transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "socket":
            return Named(("127.0.0.1", self.number))
        return {"sockname": ("127.0.0.1", self.number), "peername": ("127.0.0.1", self.number)}.get(
            name, default
        )

    def is_closing(self) -> bool:
        return self.closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = HIGH if high is None else high
        self.low = self.high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return len(self.out)

    def can_write_eof(self) -> bool:
        return True

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol

    def get_protocol(self) -> Any:
        return self.protocol

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.process.dead or self.closing or self.eof_asked or not data:
            return
        self.machine.note(f"write {self.number} {self.name} {len(data)} {zlib.crc32(data):08x}")
        self.sent += len(data)
        self.out += data
        self._pump()
        if len(self.out) > self.high and not self.paused:
            self.paused = True
            self.protocol.pause_writing()

    def writelines(self, parts: Any) -> None:
        self.write(b"".join(parts))

    def write_eof(self) -> None:
        if not self.closing and not self.eof_asked:
            self.eof_asked = True
            self._pump()

    def pause_reading(self) -> None:
        self.reading_paused = True

    def resume_reading(self) -> None:
        if self.reading_paused:
            self.reading_paused = False
            if self.inbox and not self.process.dead:
                self.process.call_soon(self._read)

    def is_reading(self) -> bool:
        return not self.reading_paused and not self.closing

    def close(self) -> None:
        """Closes the connection after all buffered bytes are sent; received bytes are no longer read."""
        if self.closing or self.process.dead:
            return
        self.closing = True
        if not self.out:
            self.process.call_soon(self._lost, None)

    def abort(self) -> None:
        """Closes the connection at once and discards the write buffer."""
        if self.closed or self.process.dead:
            return
        self.closing = True
        self.out.clear()
        self.process.call_soon(self._lost, None)

    def is_quiet(self) -> bool:
        """Returns whether this end has no received but unread data and no unread end of stream."""
        return not self.inbox and not (self.due and self.due[0] <= self.machine.now)

    def has_ended(self) -> bool:
        """Returns whether the peer's end of stream or reset has arrived, whether or not it was read."""
        arrived = bool(self.due) and self.due[-1] <= self.machine.now
        return self.reset or None in self.inbox or arrived and (self.peer.eof_sent or self.peer.closed)

    # -- sending

    def _pump(self) -> None:
        while self.out and self.in_flight < WINDOW:
            part = bytes(self.out[: WINDOW - self.in_flight])
            del self.out[: len(part)]
            self.in_flight += len(part)
            for piece in self.network.pieces(self, part):
                if not self.network.carry(self, piece):
                    return
        if self.paused and len(self.out) <= self.low and self.protocol is not None:
            self.paused = False
            self.protocol.resume_writing()
        if not self.out:
            if self.eof_asked and not self.eof_sent and not self.closed:
                self.eof_sent = True
                self.network.carry(self, None)
            if self.closing and not self.closed:
                self.process.call_soon(self._lost, None)

    def _lost(self, problem: Exception | None) -> None:
        """Releases the descriptor and calls the protocol's `connection_lost`, at most once."""
        if self.closed:
            return
        self.closed = self.closing = True
        self.process.release_descriptors()
        if not self.reset:
            if self.inbox and self.inbox[0] is not None:
                self.network.break_off(self)
            elif not self.eof_sent:
                self.eof_sent = True
                self.network.carry(self, None)
        self.network.ends.pop(self.number, None)
        if self.protocol is not None:
            self.protocol.connection_lost(problem)

    # -- receiving

    def arrive(self, data: bytes | None) -> None:
        """Receives a segment, or None at the end of the stream. Runs in the process of this end."""
        if self.due:
            self.due.popleft()
        if self.closed:
            if data is not None:  # data for a closed end is answered with a reset
                self.network.break_off(self)
            return
        self.inbox.append(data)
        self._read()

    def arrive_reset(self) -> None:
        if self.due:
            self.due.popleft()
        if self.closed or self.reset:
            return
        self.reset, self.closing = True, True
        self.out.clear()
        self.inbox.clear()
        if self.protocol is None:  # not accepted yet: the listener reports the reset after accepting
            return
        self._lost(ConnectionResetError(errno.ECONNRESET, "connection reset"))

    def _read(self) -> None:
        while self.inbox and not self.reading_paused and not self.closing and self.protocol is not None:
            data = self.inbox.popleft()
            if data is None:
                self.eof_seen = True
                if not self.protocol.eof_received():
                    self.close()
                return
            self.peer.in_flight -= len(data)
            if self.peer.out and not self.peer.process.dead:
                self.network.schedule(self.peer.process, self.network.soon(self.label), self.peer._pump)
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
        self.sockets = [Named(address)]
        self.queue: deque[End] = deque()

    def close(self) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]
            self.process.release_descriptors()
            for end in self.queue:
                self.network.break_off(end)
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
                self.network.mark("descriptors ran out at a listener")
                self.process.call_later(RETRY_ACCEPT_S, self.accept)
                return
            end = self.queue.popleft()
            end.protocol = self.factory()
            end.protocol.connection_made(end)
            if end.reset:
                end.process.call_soon(end._lost, ConnectionResetError(errno.ECONNRESET, "connection reset"))
            elif end.inbox:
                end.process.call_soon(end._read)


class Plug:
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
        if self.address in self.network.plugs:
            raise OSError(errno.EADDRINUSE, "address already in use")
        if not self.process.acquire_descriptors():
            raise OSError(errno.EMFILE, "too many open files")
        self.network.plugs[self.address], self.open = self, True

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        if self.open and not self.process.dead:
            self.network.send(self, bytes(data), address)
        return len(data)

    def recvfrom(self, most: int) -> tuple[bytes, tuple[str, int]]:
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "no datagram available")
        data, sender = self.queue.popleft()
        return data[:most], sender

    def close(self) -> None:
        if self.open:
            self.open = False
            self.network.plugs.pop(self.address, None)
            self.process.release_descriptors()

    def add_reader(self, process: Process, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.callback = callback, args

    def remove_reader(self) -> bool:
        had, self.callback = self.callback is not None, None
        return had

    def arrive(self, data: bytes, sender: tuple[str, int]) -> None:
        if not self.open or len(self.queue) >= DATAGRAM_BUFFER:
            return
        self.queue.append((data, sender))
        self._ready()

    def _ready(self) -> None:
        if self.queue and self.callback is not None:
            call, args = self.callback
            call(*args)
            if self.queue:
                self.process.call_soon(self._ready)


class DatagramEnd(asyncio.DatagramTransport):
    """An asyncio datagram transport on a virtual datagram socket."""

    def __init__(self, plug: Plug, protocol: Any) -> None:
        super().__init__()
        self.plug, self.protocol, self._closing = plug, protocol, False
        plug.add_reader(plug.process, self._read, ())

    def _read(self) -> None:
        data, sender = self.plug.recvfrom(65536)
        self.protocol.datagram_received(data, sender)

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.plug.sendto(data, addr)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.plug.address if name == "sockname" else default

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        self._closing = True
        self.plug.close()

    abort = close


class Network:
    """All listeners, connections and datagram sockets of a machine, and the faults on links between them.

    `mark` is called with the name of each coverage point that is reached.
    """

    def __init__(self, machine: Machine, mark: Callable[[str], None] = lambda _name: None) -> None:
        self.machine, self.mark = machine, mark
        machine.network = self
        self.rng = machine.random_for("network")
        self.weather = Weather()  # conditions between gateways, workers and discovery
        # Conditions of clients' connections, kept apart because their failures are not a gateway's fault.
        self.front_weather = Weather()
        self.label_of: Callable[[int], str] = lambda _port: ""
        self.cuts: list[Cut] = []
        self.refusing: set[str] = set()  # labels whose new connections are refused
        self.mute: set[str] = set()  # labels whose new connections are never established
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.plugs: dict[tuple[str, int], Plug] = {}
        self.ends: dict[int, End] = {}
        self._port, self._number = FIRST_PORT, 0

    def new_port(self) -> int:
        self._port += 1
        return self._port

    def over(self, label: str) -> Weather:
        """Returns the conditions of connections to a label; gateways (n0, n1, …) have clients' conditions."""
        return self.front_weather if label[:1] == "n" else self.weather

    def soon(self, label: str = "n") -> float:
        """Returns the arrival time of a segment sent now, with a randomly drawn link delay."""
        return self.machine.now + self.rng.uniform(*self.over(label).delay_ms) / 1000

    def schedule(self, process: Process, when: float, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedules a step of a process at a time of the machine, unless the process is dead."""
        if not process.dead:
            self.machine.push_timer(round(when, 6), asyncio.TimerHandle(when, call, arguments, process))

    # -- connections

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
    ) -> tuple[End, Any]:
        """Connects to an address; never returns if the connection is never established.

        Raises OSError if the connection is refused or no descriptor is left.
        """
        if not process.acquire_descriptors():
            self.mark("descriptors ran out at a connect")
            raise OSError(errno.EMFILE, "too many open files")
        up: asyncio.Future[End] = process.create_future()
        self.schedule(process, self.soon(), self._syn, process, (str(host), port), up)
        ours: End | None = None
        try:
            ours = await up
        except BaseException:
            process.release_descriptors()
            if up.done() and not up.cancelled() and up.exception() is None:
                up.result().closed = True
                self.break_off(up.result())
            raise
        ours.protocol = protocol = factory()
        protocol.connection_made(ours)
        if ours.reset:
            ours.reset = False
            process.call_soon(ours.arrive_reset)
        elif ours.inbox:
            process.call_soon(ours._read)
        return ours, protocol

    def _syn(
        self, process: Process, address: tuple[str, int], up: asyncio.Future[End], wait_s: float = SYN_S
    ) -> None:
        """Handles the arrival of a SYN at the destination; one that gets no answer is resent."""
        if up.done() or process.dead:
            return
        label = self.label_of(address[1])
        us, them = (process.name, ""), (label, "")
        listener, weather = self.listeners.get(address), self.over(label)
        if (
            weather.late_up
            and label[:4] == "lic-"
            and wait_s == SYN_S
            and (self.rng.random() < weather.late_up)
        ):
            self.mark("a connection came up late")
            least, middle, most = weather.late_up_ms
            is_in_time = self.rng.random() < 0.5
            late_s = self.rng.uniform(*((least, middle) if is_in_time else (middle, most))) / 1000
            self.machine.schedule(self.machine.now + late_s, self._syn, process, address, up, 2 * wait_s)
            return
        if label in self.mute or any(cut.stops(us, them) or cut.stops(them, us) for cut in self.cuts):
            self.mark("a knock was not heard")
            self.machine.schedule(self.machine.now + wait_s, self._syn, process, address, up, 2 * wait_s)
            return
        if listener is None or listener.process.dead or label in self.refusing:
            self.mark("a connection was refused")
            self.schedule(process, self.soon(), self._refused, up)
            return
        if len(listener.queue) >= listener.backlog:
            self.mark("a backlog was full")
            self.machine.schedule(self.machine.now + wait_s, self._syn, process, address, up, 2 * wait_s)
            return
        if wait_s > SYN_S:
            self.mark("a connection came up late")
        self._number += 1
        ours = End(self, process, process.name, label, 2 * self._number)
        theirs = End(self, listener.process, label, label, 2 * self._number + 1)
        ours.peer, theirs.peer = theirs, ours
        self.ends[ours.number], self.ends[theirs.number] = ours, theirs
        listener.queue.append(theirs)
        self.schedule(listener.process, self.machine.now, listener.accept)
        self.schedule(process, self.soon(), self._came_up, up, ours)

    @staticmethod
    def _refused(up: asyncio.Future[End]) -> None:
        if not up.done():
            up.set_exception(ConnectionRefusedError(errno.ECONNREFUSED, "connection refused"))

    def _came_up(self, up: asyncio.Future[End], ours: End) -> None:
        if up.done():  # the connect call was cancelled meanwhile
            ours.closed = True
            self.break_off(ours)
        else:
            up.set_result(ours)

    def pieces(self, end: End, data: bytes) -> list[bytes]:
        """Splits written bytes into the segments in which they are sent."""
        share = self.over(end.label).cut_share
        if not share or len(data) < 2 or self.rng.random() >= share:
            return [data]
        places = sorted({self.rng.randrange(1, len(data)) for _ in range(self.rng.randint(1, 2))})
        return [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True)]

    def carry(self, end: End, data: bytes | None) -> bool:
        """Sends one segment from `end` to its peer, or the end of the stream if `data` is None.

        Returns False if the connection is reset within the segment.
        """
        weather, rng = self.over(end.label), self.rng
        if data is not None and weather.reset and rng.random() < weather.reset:
            self.mark("a connection was reset in the middle of a message")
            part = data[: rng.randrange(len(data))]
            if part:
                self._send(end, end.peer.arrive, part)
            self.break_off(end)
            self.schedule(end.process, self.soon(), end.arrive_reset)
            return False
        self._send(end, end.peer.arrive, data)
        return True

    def _send(self, end: End, call: Callable[..., None], *arguments: Any) -> None:
        peer = end.peer
        if any(cut.stops((end.process.name, end.name), (peer.process.name, peer.name)) for cut in self.cuts):
            end.held.append((call, arguments))  # resent when the partition heals
            return
        when, weather = self.soon(end.label), self.over(end.label)
        if weather.loss and self.rng.random() < weather.loss:
            self.mark("a segment was lost and sent again")
            when += self.rng.uniform(*weather.resend_ms) / 1000
        peer.last = when = round(max(when, peer.last), 6)
        if not peer.process.dead:
            peer.due.append(when)
            self.schedule(peer.process, when, call, *arguments)

    def break_off(self, end: End) -> None:
        """Sends a reset of the connection to the peer of `end`."""
        self._send(end, end.peer.arrive_reset)

    def heal(self, cut: Cut) -> None:
        """Removes a partition and sends the segments that were blocked; others may block them again."""
        if cut in self.cuts:
            self.cuts.remove(cut)
        for end in list(self.ends.values()):
            held, end.held = end.held, []
            for call, arguments in held:
                self._send(end, call, *arguments)

    def process_died(self, process: Process) -> None:
        """Closes all sockets of a dead process; its open connections are reset."""
        for listener in list(self.listeners.values()):
            if listener.process is process:
                listener.close()
        for plug in list(self.plugs.values()):
            if plug.process is process:
                plug.close()
        for end in list(self.ends.values()):
            if end.process is process:
                self.ends.pop(end.number, None)
                end.closed = True
                self.break_off(end)

    # -- datagrams

    def datagram_endpoint(
        self, process: Process, factory: Callable[[], Any], address: tuple[str, int]
    ) -> tuple[DatagramEnd, Any]:
        plug = Plug(self, process)
        plug.bind(address)
        protocol = factory()
        end = DatagramEnd(plug, protocol)
        protocol.connection_made(end)
        return end, protocol

    def send(self, plug: Plug, data: bytes, address: tuple[str, int]) -> None:
        """Sends one datagram, which may be lost, delayed or duplicated."""
        weather, rng = self.weather, self.rng
        self.machine.note(f"datagram {plug.address[1]} {address[1]} {len(data)} {zlib.crc32(data):08x}")
        if weather.datagram_loss and rng.random() < weather.datagram_loss:
            self.mark("a datagram was lost on the way")
            return
        times = 1
        if weather.datagram_twice and rng.random() < weather.datagram_twice:
            self.mark("a datagram came twice")
            times = 2
        for _ in range(times):
            late = rng.uniform(0, weather.datagram_late_ms) / 1000 if weather.datagram_late_ms else 0.0
            other = self.plugs.get(address)
            if other is not None:
                self.schedule(other.process, self.soon() + late, other.arrive, data, plug.address)
