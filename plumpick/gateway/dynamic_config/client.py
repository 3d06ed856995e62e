"""Asks services for settings, reads what they answer, and puts it in force at its time. It decides nothing
(plumpick/policy/dynamic_config/subscriber.py does).

What is long is read and checked in a thread. Danger: meanwhile another version may come into force or be
handed down by the process before; `Versions.take` and `put` look again."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from urllib.parse import urlencode

import httptools

from plumpick.gateway.clock import Clock, Timer, Timers
from plumpick.gateway.config import Address, Config
from plumpick.gateway.discovery import Answer, CallFailed
from plumpick.gateway.errors import SettingsRejectedError
from plumpick.policy.dynamic_config import subscriber as plans
from plumpick.policy.dynamic_config.delta import Settings
from plumpick.policy.dynamic_config.subscriber import (
    Content,
    Offer,
    Unusable,
    Versions,
    Wish,
    offer_from,
    read,
)
from plumpick.policy.settings_parser import JsonObject, SettingsError, parse_settings

PATH = "/configuration"
MOST_ANSWER = 64 * 2**20  # bytes
MOST_ESTATE = 4 * 2**20  # bytes of settings that pass to the next process; longer ones it asks for
FIRST_S = 1.0  # a start waits so long for the first answer, and then serves with its own file's settings
# While a thread reads, the loop waits so long for each of its turns, not the interpreter's 5 ms: with 11,000
# classes it would turn 5 ms late for 0.15 s or more. Seen: 0.7 ms with this.
SWITCH_S = 0.0005
FAULT_WAIT_S = 0.5  # after a fault of ours
REPORT_S = 30.0  # what goes wrong in the same way is logged once, and again after so long

log = logging.getLogger(__name__)


def config_with(config: Config, settings: Settings) -> Config:
    """The configuration with published settings, this gatekeeper's own keys kept; raises SettingsError."""
    whole = {**settings, "myNumber": config.settings.gateway_number, "locality": config.settings.zone}
    news, limits = parse_settings(whole, "settings"), JsonObject(whole, "settings").table("limits")
    if config.peers and len(config.peers) != news.gateway_count:
        raise SettingsError(
            f"settings.balancers: {news.gateway_count}, and there are {len(config.peers)} peers"
        )
    return replace(
        config,
        settings=news,
        dial_timeout_ms=limits.number("dialTimeoutMs", 250.0),
        idle_ms=limits.number("connIdleMs", 15_000.0),
    )


def checked(config: Config, content: Content) -> tuple[Config | None, str]:
    """The configuration that a version makes, or what is wrong with it: one line."""
    try:
        return config_with(config, content.settings), ""
    except (SettingsError, ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
        return None, str(problem).partition("\n")[0] or repr(problem)


class Source:
    """One gatekeeper's source of settings. `reconfigure` takes a configuration over, or raises
    SettingsRejectedError: then nothing has changed. `silent_ms`: a service silent for longer is
    worth a line."""

    def __init__(
        self,
        config: Config,
        addresses: tuple[Address, ...],
        silent_ms: float,
        reconfigure: Callable[[Config], None],
        clock: Clock,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self._config, self._addresses, self._silent_ms = config, addresses, silent_ms
        self._reconfigure, self._clock, self._timers = reconfigure, clock, timers
        self.versions = Versions(
            config.settings.gateway_number, config.settings.gateway_count, len(addresses), rng, clock.now()
        )
        self._ready: dict[int, Config] = {}  # of the staged version alone
        self._timer: Timer | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._at = -1  # the address of the connection
        self._problem, self._problem_ms = "", 0.0  # that was logged last
        self._is_silent = False
        self.first_s = FIRST_S
        self.answered = asyncio.Event()  # a first answer has come, and what it brought is staged

    # -- the service

    async def run(self) -> None:
        """Ask until cancelled; a fault of ours must not end it for good."""
        try:
            while True:
                try:
                    await self._ask()
                except Exception:  # whatever it was: without this nothing is told any more
                    log.exception("asking for the configuration failed")
                    self.versions.failed("")
                    self._hang_up()
                    await asyncio.sleep(FAULT_WAIT_S)
        finally:
            self._hang_up()
            if self._timer is not None:
                self._timer.cancel()

    async def _ask(self) -> None:
        versions, now = self.versions, self._clock.now
        call = versions.next(now())
        if call.after_ms:
            await asyncio.sleep(call.after_ms / 1000)
        begin = now()
        try:
            data = await self._call(call)
            problem = await self._take(data) if data else versions.quiet(now(), call, now() - begin)
        except CallFailed as failure:
            problem = versions.failed(str(failure))
        if problem:
            self._hang_up()
            self._report(f"{_text(self._addresses[call.address])}: {problem}")
        else:
            self.answered.set()
        silent_ms = now() - versions.heard_ms
        if (silent_ms > self._silent_ms) != self._is_silent:
            self._is_silent = not self._is_silent
            log.warning(
                "configuration: %s",
                f"no service heard for {silent_ms / 1000:.0f} s; version {versions.in_force.version} stays"
                if self._is_silent
                else "heard again",
            )

    def _report(self, problem: str) -> None:
        if problem != self._problem or self._clock.now() - self._problem_ms > REPORT_S * 1000:
            self._problem, self._problem_ms = problem, self._clock.now()
            log.warning("configuration: %s", problem)

    async def _call(self, call: plans.Call) -> bytes:
        """The body of the answer; nothing where there is no news. Raises CallFailed."""
        words = {
            "since": call.since,
            "digest": call.digest,
            "name": self._config.name,
            "number": self._config.settings.gateway_number,
            "in_force": call.in_force,
            "have": call.in_force_digest,
            "staged": call.staged,
            "refused": call.refused,
            "why": call.why,
            "timeout_ms": f"{call.wait_ms:.0f}",
        }
        try:
            async with asyncio.timeout(plans.ASK_MS / 1000):
                await self._connect(call.address)
            return await self._get(f"{PATH}?{urlencode(words)}", call.within_ms / 1000)
        except TimeoutError as problem:
            raise CallFailed("no answer in time", waited=self._writer is not None) from problem
        except httptools.HttpParserError as problem:
            raise CallFailed("an answer that is no HTTP") from problem
        except OSError as problem:
            raise CallFailed(f"the connection failed: {problem}") from problem

    async def _connect(self, place: int) -> None:
        if self._writer is not None and self._at != place:
            self._hang_up()
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self._addresses[place])
            self._at = place

    async def _get(self, target: str, within_s: float) -> bytes:
        assert self._reader is not None and self._writer is not None
        host = _text(self._addresses[self._at])
        self._writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        answer, size, loop = Answer(), 0, asyncio.get_running_loop()
        end_s = loop.time() + within_s
        while not answer.complete:
            async with asyncio.timeout(max(0.0, end_s - loop.time())):
                data = await self._reader.read(256 * 1024)
            if not size:  # it has begun: a long one takes its time
                end_s = loop.time() + max(within_s, plans.ANSWER_MS / 1000)
            size += len(data)
            if not data:
                if answer.ended():
                    break
                raise CallFailed("the connection ended")
            if size > MOST_ANSWER:
                raise CallFailed("an answer without end")
            answer.parser.feed_data(data)
        if answer.parser.get_status_code() not in (200, 204):
            raise CallFailed(f"status {answer.parser.get_status_code()}")
        if not answer.keep:
            self._hang_up()
        return b"".join(answer.parts)

    def _hang_up(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    # -- what comes

    async def _take(self, data: bytes) -> str:
        """What is wrong with an answer, or nothing."""
        versions, now = self.versions, self._clock.now
        try:
            with _short_turns():
                offer = await asyncio.to_thread(_offer, data)
                wish = versions.wish(offer)
                if wish is not Wish.READ:
                    return versions.declined(now(), offer, wish)
                content, config, wrong = await asyncio.to_thread(_read, offer, versions.newest, self._config)
        except Unusable as problem:
            return versions.unusable(str(problem))
        problem = versions.take(now(), content, wrong)
        if versions.staged is content and config is not None:
            self._ready = {content.version: config}
            self._arm()
        elif problem:
            log.error("configuration: %s", problem)
        return ""  # the service is well, whatever it has

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        staged = self.versions.staged
        if staged is None:
            return
        if staged.in_force_ms <= self._clock.now():
            self._put_due()
        else:
            self._timer = self._timers.at(staged.in_force_ms, self._put_due)

    def _put_due(self) -> None:
        """The staged version's time has come."""
        content = self.versions.due(self._clock.now())
        if content is not None:
            config = self._ready.pop(content.version)
            self._put(content, config)

    def _put(self, content: Content, config: Config) -> None:
        problem = ""
        try:
            self._reconfigure(config)
        except SettingsRejectedError as rejection:
            problem = str(rejection)
        except Exception as fault:  # of ours: the version is not taken, and requests go on
            log.exception("version %d could not be taken over", content.version)
            problem = f"it could not be taken over: {fault!r}"
        self.versions.put(content, problem)
        if problem:
            log.error("configuration: version %d is refused: %s", content.version, problem)
        else:
            log.info("configuration: version %d %s is in force", content.version, content.digest[:12])

    # -- two processes of this gatekeeper

    def estate(self) -> dict[str, Any] | None:
        """The version in force, for the next process; None where it is too long, or our own file's."""
        held = self.versions.in_force
        if not held.version or len(json.dumps(held.settings)) > MOST_ESTATE:
            return None
        return {
            "version": held.version,
            "digest": held.digest,
            "in_force_ms": held.in_force_ms,
            "settings": held.settings,
        }

    async def inherit(self, value: Any) -> None:
        """What the process before had in force, unless as new a one is here."""
        try:
            content, config, wrong = await asyncio.to_thread(
                lambda: _read(offer_from(value), Content(0, "", 0.0, {}), self._config)
            )
        except Unusable as problem:
            log.warning("configuration: what the process before left cannot be used: %s", problem)
            return
        if wrong or config is None:
            log.warning("configuration: version %d of the process before: %s", content.version, wrong)
        elif self.versions.outdone(content):
            self._put(content, config)
            self._arm()

    # -- staff

    def line(self) -> str:
        """The answer to CONFIGURATION."""
        return self.versions.line(self._clock.now())


@contextmanager
def _short_turns() -> Iterator[None]:
    """A thread of ours works beside the loop."""
    before = sys.getswitchinterval()
    sys.setswitchinterval(min(before, SWITCH_S))
    try:
        yield
    finally:
        sys.setswitchinterval(before)


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _offer(data: bytes) -> Offer:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as problem:
        raise Unusable("an answer that is no JSON") from problem
    return offer_from(value)


def _read(offer: Offer, base: Content, config: Config) -> tuple[Content, Config | None, str]:
    content = read(offer, base)
    return content, *checked(config, content)


def source_of(config: Config, settings: Any, keeper: Any) -> Source:
    """The source that the operator's [configuration] names, for a gatekeeper."""
    return Source(
        config,
        settings.addresses,
        settings.silent_ms,
        keeper.reconfigure,
        keeper.clock,
        keeper.timers,
        random.Random(config.seed ^ 0xC0F),
    )
