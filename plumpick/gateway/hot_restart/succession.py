"""The way from one process of a gatekeeper to the next.

The running process listens at a Unix socket in $TMPDIR. A new one connects and says `hello`; the old one
offers its listener and its datagram socket. When the new one is ready to serve it says `take`: in one step
the old one stops taking clients and hearing peers, and answers with its state. Then both live: the old one
finishes, and each tells the other what it needs (Sibling). Should the new one die first, the old one goes on
as before."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import re
import socket
import struct
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from plumpick.gateway.hot_restart.channel import Channel

HELLO_S, TAKE_S = 1.0, 2.0  # for an offer; for the state
REOPEN_S, REOPEN_TRIES = 0.2, 20  # how often it is looked at whether a dead process's socket is in our place
LONGEST_PATH = 100  # bytes that the address of a Unix socket may have

log = logging.getLogger(__name__)


class HandoverContext:
    """What the handover needs of the process round it."""

    def __init__(self, name: str, number: int, gatekeeper: Any, front: Any) -> None:
        self.name, self.number, self.gatekeeper, self.front = name, number, gatekeeper, front
        self.fleet: Any = None  # this process's part in what is done for the tier (cluster/lease_runner.py)
        self.versions: Any = None  # the client of its settings (dynamic_config/client.py)
        self.listener: socket.socket | None = None  # ours to keep: the server has a copy
        self.server: Any = None

    async def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Take clients at the listener."""
        assert self.listener is not None
        self.server = await loop.create_server(self.front.connection, sock=self.listener.dup())

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None


class Kin:
    """The other process, as the core knows it (door.Sibling)."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def heard(self, sender: int, data: bytes) -> None:
        self._channel.tell("heard", [sender, data.hex()])

    def said(self, data: bytes) -> None:
        self._channel.tell("said", data.hex())

    def ordered(self, name: str, argument: str) -> None:
        self._channel.tell("ordered", [name, argument])


def take_in(context: HandoverContext, kind: str, value: Any) -> bool:
    """What either process tells the other while both live; False where it is nothing of that."""
    keeper = context.gatekeeper
    try:
        if kind == "heard":
            sender, data = value
            keeper.heard_elsewhere(int(sender), bytes.fromhex(data))
        elif kind == "said":
            keeper.heard_elsewhere(context.number, bytes.fromhex(value))
        elif kind == "ordered":
            name, argument = value
            wrong = keeper.order(str(name), str(argument))
            if wrong:  # our list may be another; the word stands where it was said
                log.warning("handover: %s %s: %s", name, argument, wrong)
        elif kind == "counted":
            if context.fleet is not None:
                context.fleet.usage.count_forwarded(value)
        else:
            return False
    except (ValueError, TypeError) as problem:
        log.warning("handover: %s cannot be read: %s", kind, problem)
    return True


def path_in(folder: str, name: str) -> Path:
    """Where the socket of a gatekeeper lies."""
    return Path(folder, f"plumpick-{re.sub('[^A-Za-z0-9_-]', '_', name)[:40]}.sock")


@contextlib.contextmanager
def _short(path: Path) -> Any:
    """An address of the same place that is short enough."""
    if len(os.fsencode(path)) <= LONGEST_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def _is_ours(plug: socket.socket) -> bool:
    """Whether the other side is a process of the same user."""
    _, user, _ = struct.unpack("3i", plug.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(user == os.getuid())


class Predecessor:
    """The running process: waits for the next one. `changed` is told when it has handed over, or goes on."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, context: HandoverContext, changed: Callable[[bool], None]
    ) -> None:
        self._loop, self._context, self._changed = loop, context, changed
        self._plug: socket.socket | None = None
        self._path: Path | None = None
        self._inode = 0
        self._channel: Channel | None = None
        self.ending = False

    def open(self, path: Path) -> None:
        """Wait at that path; where that cannot be, a line in the log says so and upgrades are as restarts."""
        plug = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            fresh = path.with_name(f"{path.name}.{os.getpid()}")
            with _short(fresh) as address:
                plug.bind(address)
            plug.listen(4)
            os.rename(fresh, path)  # in place of what the process before left there, at one stroke
            self._inode = os.stat(path).st_ino
        except OSError as problem:
            log.warning("handover: no socket at %s: %s", path, problem.strerror)
            plug.close()
            return
        plug.setblocking(False)
        self._plug, self._path = plug, path
        self._loop.add_reader(plug, self._accept)

    def _accept(self) -> None:
        assert self._plug is not None
        try:
            plug, _ = self._plug.accept()
        except OSError:
            return
        if self._channel is not None or not _is_ours(plug):
            plug.close()  # one at a time
            return
        self._channel = Channel(self._loop, plug, self._heard, self._gone)

    def _heard(self, kind: str, value: Any, descriptors: list[int]) -> None:
        for descriptor in descriptors:  # none are due
            os.close(descriptor)
        context, channel = self._context, self._channel
        if channel is None:
            return
        if kind == "hello":
            if value != context.name or context.listener is None:
                log.warning("handover: %r has asked %r", value, context.name)
                channel.close()
                return
            plugs = [plug for plug in (context.listener, context.gatekeeper.peers.plug) if plug is not None]
            channel.tell("offer", {"descriptors": len(plugs)}, [os.dup(plug.fileno()) for plug in plugs])
        elif kind == "take":
            self._hand_over(channel)
        elif not take_in(context, kind, value):
            log.warning("handover: %r is unknown", kind)

    def _hand_over(self, channel: Channel) -> None:
        context, keeper = self._context, self._context.gatekeeper
        if keeper.succeeded:
            return
        leases = None
        if context.fleet is not None:  # whatever becomes of it, from here on they are not ours
            leases = context.fleet.capture()
            context.fleet.usage.forward = lambda row: channel.tell("counted", row)
        try:
            state = {**keeper.hand_over(), "fleet": leases}
            if context.versions is not None:
                state["configuration"] = context.versions.export_state()
            context.close()
            keeper.peers.mute()
            keeper.sibling = Kin(channel)
            channel.tell("state", state)
        except ValueError as problem:  # too long, or not to be had: the next one begins without
            log.error("handover: no state: %s", problem)
            channel.tell("state", None)
        log.info("handed over to the next process")
        context.front.give_idle(lambda transport: self._give(channel, transport))
        keeper.only_finish()
        self.tell_held()
        self._changed(True)

    def tell_held(self) -> None:
        """How many descriptors this process still holds: the rest is the next one's."""
        keeper = self._context.gatekeeper
        if self._channel is not None and keeper.succeeded:
            self._channel.tell("held", keeper.descriptors())

    @staticmethod
    def _give(channel: Channel, transport: Any) -> None:
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        channel.tell("client", {"descriptors": 1}, [descriptor])

    def _gone(self) -> None:
        """The next process has gone, before it took over or after."""
        self._channel, keeper = None, self._context.gatekeeper
        if keeper.succeeded and not self.ending:
            log.warning("handover: the next process has gone; this one goes on")
            keeper.peers.listen()
            keeper.resume()
            if self._context.fleet is not None:
                self._context.fleet.resume_after_failed_handover()
            self._changed(False)
            self._open_again(REOPEN_TRIES)

    def _open_again(self, tries: int) -> None:
        """Danger: the process that has gone put its own socket in place of ours, and the next one would find
        nobody there and start beside us. It may take a moment to be gone; who is alive there keeps the
        path."""
        if self.ending or self._channel is not None or self._path is None or self._plug is None:
            return
        with contextlib.suppress(FileNotFoundError):
            if os.stat(self._path).st_ino == self._inode:
                return
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.setblocking(False)
            try:
                with _short(self._path) as address:
                    probe.connect(address)
            except (ConnectionRefusedError, FileNotFoundError):
                self._loop.remove_reader(self._plug)
                self._plug.close()
                self.open(self._path)
                log.info("handover: the next process may come here again")
                return
            except OSError:
                pass  # somebody is there, and busy
        if tries:
            self._loop.call_later(REOPEN_S, self._open_again, tries - 1)

    def close(self) -> None:
        """Wait no longer; the path goes if it is still ours."""
        self.ending = True
        if self._plug is not None and self._path is not None:
            self._loop.remove_reader(self._plug)
            self._plug.close()
            try:
                if os.stat(self._path).st_ino == self._inode:
                    os.unlink(self._path)
            except OSError:
                pass  # it has gone, or is another's
        if self._channel is not None:
            self._channel.close()


class Successor:
    """The new process: takes over from the one that runs."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.listener: socket.socket | None = None
        self.datagrams: socket.socket | None = None
        self._offer: asyncio.Future[bool] = loop.create_future()
        self._state: asyncio.Future[Mapping[str, Any] | None] = loop.create_future()
        self._early: list[tuple[str, Any, list[int]]] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self.channel: Channel | None = None
        self.context: HandoverContext | None = None
        self.alone = False
        self.left: Callable[[], None] = lambda: None  # told when the other process has gone,
        self.held: Callable[[int], None] = lambda _count: None  # and how many descriptors it has meanwhile

    @classmethod
    async def ask(cls, loop: asyncio.AbstractEventLoop, path: Path, name: str) -> Successor | None:
        """Who runs now, with its sockets; None where there is nobody to be understood."""
        plug = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            plug.settimeout(HELLO_S)
            with _short(path) as address:
                plug.connect(address)
            if not _is_ours(plug):
                raise PermissionError(1, "it is another user's")
        except FileNotFoundError:
            plug.close()
            return None  # nobody was here
        except OSError as problem:
            log.warning("handover: nobody at %s (%s): an ordinary start", path, problem.strerror or problem)
            plug.close()
            return None
        successor = cls(loop)
        successor.channel = Channel(loop, plug, successor._heard, successor._gone)
        successor.channel.tell("hello", name)
        done, _ = await asyncio.wait([successor._offer], timeout=HELLO_S)
        if not done or not successor._offer.result() or successor.listener is None:
            log.warning("handover: no offer at %s: an ordinary start", path)
            successor.channel.close()
            return None
        return successor

    def _heard(self, kind: str, value: Any, descriptors: list[int]) -> None:
        if kind == "offer" and not self._offer.done():
            plugs = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            for plug in plugs:
                if plug.type == socket.SOCK_STREAM and self.listener is None:
                    self.listener = plug
                elif plug.type == socket.SOCK_DGRAM and self.datagrams is None:
                    self.datagrams = plug
                else:
                    plug.close()
            self._offer.set_result(True)
        elif kind == "state" and not self._state.done():
            self._state.set_result(value if isinstance(value, dict) else None)
        elif self.context is None:
            self._early.append((kind, value, descriptors))
        else:
            self._take_in(kind, value, descriptors)

    def _take_in(self, kind: str, value: Any, descriptors: list[int]) -> None:
        assert self.context is not None
        if kind == "held":
            self.held(int(value) if isinstance(value, int) else 0)
            return
        if kind == "client":
            for descriptor in descriptors:
                task = self._loop.create_task(self._client(socket.socket(fileno=descriptor)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            return
        for descriptor in descriptors:
            os.close(descriptor)
        take_in(self.context, kind, value)

    async def _client(self, plug: socket.socket) -> None:
        """Go on with a connection that the other process had."""
        assert self.context is not None
        try:
            plug.setblocking(False)
            await self._loop.connect_accepted_socket(self.context.front.kept_connection, plug)
        except OSError as problem:
            log.warning("handover: a client's connection was lost: %s", problem)
            plug.close()

    async def take(self) -> Mapping[str, Any] | None:
        """Take over now; the state, or None where there is none to be had."""
        assert self.channel is not None
        self.channel.tell("take")
        done, _ = await asyncio.wait([self._state], timeout=TAKE_S)
        return self._state.result() if done else None

    def settle(self, context: HandoverContext) -> None:
        """From now on the other process is told, and heard."""
        self.context = context
        if not self.alone and self.channel is not None:
            context.gatekeeper.sibling = Kin(self.channel)
        early, self._early = self._early, []
        for kind, value, descriptors in early:
            self._take_in(kind, value, descriptors)
        if self.alone:
            self._loop.call_soon(self.left)

    def _gone(self) -> None:
        """The old process has ended, or is not to be understood."""
        self.alone = True
        if not self._offer.done():
            self._offer.set_result(False)
        if not self._state.done():
            self._state.set_result(None)
        if self.context is not None:
            self.context.gatekeeper.sibling = None
            self.left()

    def close(self) -> None:
        """Hang up."""
        if self.channel is not None:
            self.channel.close()
