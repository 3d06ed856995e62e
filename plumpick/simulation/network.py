"""The virtual network: connections, datagrams, and what goes wrong on the way.

A connection is two `End`s, each a transport of its process's loop. What one writes arrives at the other in
order, after the link's delay, in one piece or cut at any byte, late where a segment was lost and sent again,
or not at all. Buffers are limited both ways: who does not read holds up who writes. A listener has a backlog;
a process that stands still accepts when it goes on. The kernel's part goes on while a process stands still
and cleans up when one dies: its connections are reset.

Each connection carries the label of what was connected to ("n1", "lic-004", "roster n0"), so that faults can
be laid on one way alone. All chance is drawn from the machine's seed.
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

WINDOW = 64 * 1024  # bytes on the way or unread, each direction
HIGH, LOW = 64 * 1024, 16 * 1024  # of the transport's own buffer, as asyncio has it
SYN_S = 1.0  # after which a knock that was not heard is sent again; then twice as long, as the kernel does
RETRY_ACCEPT_S = 1.0  # after descriptors ran out, as asyncio has it
FIRST_PORT = 20_000
DATAGRAM_BUFFER = 200  # that wait unread


@dataclass
class Weather:
    """What goes wrong on the way just now. Shares are chances for each segment or datagram."""

    delay_ms: tuple[float, float] = (0.05, 0.4)
    cut_share: float = 0.0  # of segments that come in two or three pieces
    loss: float = 0.0  # of segments that are sent again, after `resend_ms`
    resend_ms: tuple[float, float] = (200.0, 450.0)
    reset: float = 0.0  # of segments at a byte of which the connection is reset
    datagram_loss: float = 0.0
    datagram_twice: float = 0.0
    datagram_late_ms: float = 0.0  # up to so much more, so that they overtake one another
    late_up: float = 0.0  # of connections to servers that come up late: half of them within the time that is
    late_up_ms: tuple[float, float, float] = (20.0, 250.0, 1500.0)  # waited for, half after it


@dataclass(frozen=True)
class Cut:
    """From `sender` to `receiver` nothing passes; each a process's name, a label, or "" for all."""

    sender: str
    receiver: str

    def stops(self, senders: tuple[str, str], receivers: tuple[str, str]) -> bool:
        return self.sender in ("", *senders) and self.receiver in ("", *receivers)


class Named:
    """What `get_extra_info("socket")` gives: an address."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        return self._address


class End(asyncio.Transport):
    """One end of a connection, as its process sees it."""

    def __init__(self, network: Network, process: Process, name: str, label: str, number: int) -> None:
        super().__init__()
        self.network, self.machine, self.process = network, network.machine, process
        self.name, self.label, self.number = name, label, number  # who we are to a cut, and what this is
        self.peer: End = None  # type: ignore[assignment]
        self.protocol: Any = None
        self.out = bytearray()
        self.in_flight = 0
        self.inbox: deque[bytes | None] = deque()  # arrived and unread; None: the end
        self.due: deque[float] = deque()  # when what is on its way to us arrives
        self.last = 0.0
        self.high, self.low = HIGH, LOW
        self.paused = self.reading_paused = False
        self.closing = self.closed = False  # asked for; the descriptor is given back
        self.eof_asked = self.eof_sent = self.eof_seen = False
        self.reset = False
        self.held: list[tuple[Callable[..., None], tuple[Any, ...]]] = []  # behind a cut
        self.sent = 0  # bytes written, for marks

    # -- what a protocol asks of a transport

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
        """Close once all is handed to the system; nothing more is read."""
        if self.closing or self.process.dead:
            return
        self.closing = True
        if not self.out:
            self.process.call_soon(self._lost, None)

    def abort(self) -> None:
        """Close at once; what the system has not taken is dropped."""
        if self.closed or self.process.dead:
            return
        self.closing = True
        self.out.clear()
        self.process.call_soon(self._lost, None)

    def is_quiet(self) -> bool:
        """Whether nothing has arrived that was not read."""
        return not self.inbox and not (self.due and self.due[0] <= self.machine.now)

    def has_ended(self) -> bool:
        """Whether the other side's end, or its reset, has arrived, read or not."""
        arrived = bool(self.due) and self.due[-1] <= self.machine.now
        return self.reset or None in self.inbox or arrived and (self.peer.eof_sent or self.peer.closed)

    # -- the way out

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
        """The descriptor is given back and the protocol told, once."""
        if self.closed:
            return
        self.closed = self.closing = True
        self.process.give()
        if not self.reset:
            if self.inbox and self.inbox[0] is not None:
                self.network.break_off(self)
            elif not self.eof_sent:
                self.eof_sent = True
                self.network.carry(self, None)
        self.network.ends.pop(self.number, None)
        if self.protocol is not None:
            self.protocol.connection_lost(problem)

    # -- the way in

    def arrive(self, data: bytes | None) -> None:
        """Bytes have come, or the end. Runs in our process."""
        if self.due:
            self.due.popleft()
        if self.closed:
            if data is not None:  # nobody reads here any more
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
        if self.protocol is None:  # not accepted yet: the listener finds it reset
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
                self.network.at(self.peer.process, self.network.soon(self.label), self.peer._pump)
            self.protocol.data_received(data)


class Listener:
    """What `create_server` gives."""

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
            self.process.give()
            for end in self.queue:
                self.network.break_off(end)
            self.queue.clear()

    def is_serving(self) -> bool:
        return self.network.listeners.get(self.address) is self

    async def wait_closed(self) -> None:
        """Nothing is waited for."""

    def accept(self) -> None:
        """Take in what waits; runs in the listener's process."""
        while self.queue and self.is_serving():
            if not self.process.take():
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
    """A datagram socket: the daemon's plain one, or under a transport."""

    def __init__(self, network: Network, process: Process) -> None:
        self.network, self.process = network, process
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.queue: deque[tuple[bytes, tuple[str, int]]] = deque()
        self.callback: tuple[Callable[..., Any], tuple[Any, ...]] | None = None
        self.open = False

    def setblocking(self, flag: bool) -> None:
        """It never blocks."""

    def bind(self, address: tuple[str, int]) -> None:
        port = address[1] or self.network.new_port()
        self.address = (address[0], port)
        if self.address in self.network.plugs:
            raise OSError(errno.EADDRINUSE, "address already in use")
        if not self.process.take():
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
            raise BlockingIOError(errno.EAGAIN, "nothing there")
        data, sender = self.queue.popleft()
        return data[:most], sender

    def close(self) -> None:
        if self.open:
            self.open = False
            self.network.plugs.pop(self.address, None)
            self.process.give()

    def watch(self, process: Process, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.callback = callback, args

    def unwatch(self) -> bool:
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
    """A datagram transport on a plug."""

    def __init__(self, plug: Plug, protocol: Any) -> None:
        super().__init__()
        self.plug, self.protocol, self._closing = plug, protocol, False
        plug.watch(plug.process, self._read, ())

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
    """All listeners, connections and datagram sockets. `mark` counts rare states by name."""

    def __init__(self, machine: Machine, mark: Callable[[str], None] = lambda _name: None) -> None:
        self.machine, self.mark = machine, mark
        machine.network = self
        self.rng = machine.chance("network")
        self.weather = Weather()  # between gatekeepers, servers and roster
        self.front_weather = Weather()  # to clients: what breaks there is no fault of a gatekeeper's
        self.label_of: Callable[[int], str] = lambda _port: ""
        self.cuts: list[Cut] = []
        self.refusing: set[str] = set()  # labels where new connections are refused,
        self.mute: set[str] = set()  # or never come up
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.plugs: dict[tuple[str, int], Plug] = {}
        self.ends: dict[int, End] = {}
        self._port, self._number = FIRST_PORT, 0

    def new_port(self) -> int:
        self._port += 1
        return self._port

    def over(self, label: str) -> Weather:
        """The weather on connections to what has that label; gatekeepers are named n0, n1, …"""
        return self.front_weather if label[:1] == "n" else self.weather

    def soon(self, label: str = "n") -> float:
        """When what is sent now arrives."""
        return self.machine.now + self.rng.uniform(*self.over(label).delay_ms) / 1000

    def at(self, process: Process, when: float, call: Callable[..., Any], *arguments: Any) -> None:
        """A step of that process, at that time of the machine."""
        if not process.dead:
            self.machine.push(round(when, 6), asyncio.TimerHandle(when, call, arguments, process))

    # -- connections

    def listen(
        self, process: Process, factory: Callable[[], Any], host: Any, port: int, backlog: int
    ) -> Listener:
        """Raises OSError where the port is taken or no descriptor is left."""
        address = (str(host), port or self.new_port())
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, f"address already in use: {address}")
        if not process.take():
            raise OSError(errno.EMFILE, "too many open files")
        listener = self.listeners[address] = Listener(self, process, factory, address, backlog)
        return listener

    async def connect(
        self, process: Process, factory: Callable[[], Any], host: str, port: int
    ) -> tuple[End, Any]:
        """Raises OSError: refused, or no descriptor left. It may also never come up."""
        if not process.take():
            self.mark("descriptors ran out at a connect")
            raise OSError(errno.EMFILE, "too many open files")
        up: asyncio.Future[End] = process.create_future()
        self.at(process, self.soon(), self._syn, process, (str(host), port), up)
        ours: End | None = None
        try:
            ours = await up
        except BaseException:
            process.give()
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
        """Our knock arrives at the other side's machine; one that is not heard is sent again."""
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
            soon = self.rng.random() < 0.5
            late_s = self.rng.uniform(*((least, middle) if soon else (middle, most))) / 1000
            self.machine.at(self.machine.now + late_s, self._syn, process, address, up, 2 * wait_s)
            return
        if label in self.mute or any(cut.stops(us, them) or cut.stops(them, us) for cut in self.cuts):
            self.mark("a knock was not heard")
            self.machine.at(self.machine.now + wait_s, self._syn, process, address, up, 2 * wait_s)
            return
        if listener is None or listener.process.dead or label in self.refusing:
            self.mark("a connection was refused")
            self.at(process, self.soon(), self._refused, up)
            return
        if len(listener.queue) >= listener.backlog:
            self.mark("a backlog was full")
            self.machine.at(self.machine.now + wait_s, self._syn, process, address, up, 2 * wait_s)
            return
        if wait_s > SYN_S:
            self.mark("a connection came up late")
        self._number += 1
        ours = End(self, process, process.name, label, 2 * self._number)
        theirs = End(self, listener.process, label, label, 2 * self._number + 1)
        ours.peer, theirs.peer = theirs, ours
        self.ends[ours.number], self.ends[theirs.number] = ours, theirs
        listener.queue.append(theirs)
        self.at(listener.process, self.machine.now, listener.accept)
        self.at(process, self.soon(), self._came_up, up, ours)

    @staticmethod
    def _refused(up: asyncio.Future[End]) -> None:
        if not up.done():
            up.set_exception(ConnectionRefusedError(errno.ECONNREFUSED, "connection refused"))

    def _came_up(self, up: asyncio.Future[End], ours: End) -> None:
        if up.done():  # given up meanwhile
            ours.closed = True
            self.break_off(ours)
        else:
            up.set_result(ours)

    def pieces(self, end: End, data: bytes) -> list[bytes]:
        """The segments that a write goes out in."""
        share = self.over(end.label).cut_share
        if not share or len(data) < 2 or self.rng.random() >= share:
            return [data]
        places = sorted({self.rng.randrange(1, len(data)) for _ in range(self.rng.randint(1, 2))})
        return [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True)]

    def carry(self, end: End, data: bytes | None) -> bool:
        """One segment (None: the end of what `end` sends) on its way to the other side; False if the
        connection is reset in it."""
        weather, rng = self.over(end.label), self.rng
        if data is not None and weather.reset and rng.random() < weather.reset:
            self.mark("a connection was reset in the middle of a message")
            part = data[: rng.randrange(len(data))]
            if part:
                self._send(end, end.peer.arrive, part)
            self.break_off(end)
            self.at(end.process, self.soon(), end.arrive_reset)
            return False
        self._send(end, end.peer.arrive, data)
        return True

    def _send(self, end: End, call: Callable[..., None], *arguments: Any) -> None:
        peer = end.peer
        if any(cut.stops((end.process.name, end.name), (peer.process.name, peer.name)) for cut in self.cuts):
            end.held.append((call, arguments))  # sent again and again, until it passes
            return
        when, weather = self.soon(end.label), self.over(end.label)
        if weather.loss and self.rng.random() < weather.loss:
            self.mark("a segment was lost and sent again")
            when += self.rng.uniform(*weather.resend_ms) / 1000
        peer.last = when = round(max(when, peer.last), 6)
        if not peer.process.dead:
            peer.due.append(when)
            self.at(peer.process, when, call, *arguments)

    def break_off(self, end: End) -> None:
        """The other side is told that the connection is reset."""
        self._send(end, end.peer.arrive_reset)

    def heal(self, cut: Cut) -> None:
        """The cut is over: what was held goes on its way."""
        if cut in self.cuts:
            self.cuts.remove(cut)
        for end in list(self.ends.values()):
            held, end.held = end.held, []
            for call, arguments in held:
                self._send(end, call, *arguments)

    def process_died(self, process: Process) -> None:
        """The system closes what a process held."""
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
        """One datagram, which may be lost, late, or come twice."""
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
                self.at(other.process, self.soon() + late, other.arrive, data, plug.address)
