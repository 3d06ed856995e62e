"""The client of the services of settings: asks for versions, reads what comes, and activates each at its
time.

What is asked and which version is taken is decided by plumpick/policy/dynamic_config/subscriber.py. A failed
call, a bad answer and a rejected version leave the active settings as they are, and are logged.

Long answers are read and checked in a thread. Meanwhile another version may become active or be handed over
by the previous process; the subscriber checks again.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import urlencode

from plumpick.gateway.clock import Clock, Timer, Timers
from plumpick.gateway.config import Address, Config
from plumpick.gateway.errors import SettingsRejectedError
from plumpick.gateway.http_client import (
    CallFailedError,
    HttpConnection,
    HttpResponse,
    call_errors,
    format_address,
)
from plumpick.policy.dynamic_config import subscriber as protocol
from plumpick.policy.dynamic_config.delta import SettingsJson
from plumpick.policy.dynamic_config.errors import (
    DynamicConfigError,
    InvalidUpdateError,
    VersionNotStagedError,
)
from plumpick.policy.dynamic_config.subscriber import ConfigSubscriber, ConfigWatchRequest
from plumpick.policy.dynamic_config.updates import (
    OWN_FILE,
    SettingsVersion,
    VersionUpdate,
    parse_update,
    resolve_update,
)
from plumpick.policy.settings_parser import JsonObject, SettingsError, parse_settings

PATH = "/configuration"
MAX_RESPONSE_BYTES = 64 * 2**20
READ_BYTES = 256 * 1024
MAX_STATE_BYTES = 4 * 2**20  # of settings handed to the next process; it asks a service for longer ones
FIRST_RESPONSE_TIMEOUT_S = 1.0  # then a start goes on with its own file's settings
# While a thread reads, the event loop waits so long for each of its turns, not the interpreter's 5 ms.
SWITCH_INTERVAL_S = 0.0005
FAULT_BACKOFF_S = 0.5  # after a fault of our own
LOG_INTERVAL_S = 30.0  # the same problem is logged once, and again after so long

log = logging.getLogger(__name__)


class UnusableSettingsError(Exception):
    """Published settings that this gateway cannot work by; one line."""


@dataclass(frozen=True, slots=True)
class PreparedVersion:
    """A version that was read, with the configuration that it makes of this gateway's own, or why it does
    not."""

    version: SettingsVersion
    config: Config | UnusableSettingsError


def config_with(config: Config, settings: SettingsJson) -> Config:
    """The configuration with published settings, this gateway's own keys kept; raises SettingsError."""
    own = {"myNumber": config.settings.gateway_number, "locality": config.settings.zone}
    combined = {**settings, **own}
    parsed = parse_settings(combined, "settings")
    limits = JsonObject(combined, "settings").nested_object("limits")
    if config.peers and len(config.peers) != parsed.gateway_count:
        raise SettingsError(
            f"settings.balancers: {parsed.gateway_count}, and there are {len(config.peers)} peers"
        )
    return replace(
        config,
        settings=parsed,
        dial_timeout_ms=limits.number("dialTimeoutMs", 250.0),
        idle_ms=limits.number("connIdleMs", 15_000.0),
    )


def usable_config(config: Config, version: SettingsVersion) -> Config:
    """The configuration that a version makes; raises UnusableSettingsError."""
    try:
        return config_with(config, version.settings)
    except (SettingsError, ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
        line = str(problem).partition("\n")[0] or repr(problem)
        raise UnusableSettingsError(line) from problem


class ConfigClient:
    """One gateway's client. `reconfigure` takes a configuration over, or raises SettingsRejectedError: then
    nothing has changed. `silent_ms`: services that are silent for longer are logged."""

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
        self._config = config
        self._addresses = addresses
        self._silent_ms = silent_ms
        self._reconfigure = reconfigure
        self._clock = clock
        self._timers = timers
        self.subscriber = ConfigSubscriber(
            config.settings.gateway_number, config.settings.gateway_count, len(addresses), rng, clock.now()
        )
        self._staged_configs: dict[int, Config] = {}  # by number; of the staged version alone
        self._activation: Timer | None = None
        self._connection = HttpConnection()
        self._logged_problem = ""  # the last one
        self._logged_problem_ms = 0.0
        self._is_silent = False
        self.first_response_timeout_s = FIRST_RESPONSE_TIMEOUT_S
        self.has_response = asyncio.Event()  # a first answer has come, and what it brought is staged

    # -- calls

    async def run(self) -> None:
        """Call until cancelled; a fault of our own must not end it for good."""
        try:
            while True:
                try:
                    await self._call_once()
                except Exception:  # whatever it was: without this no version is notified any more
                    log.exception("asking for the configuration failed")
                    self.subscriber.on_call_failed()
                    self._connection.abort()
                    await asyncio.sleep(FAULT_BACKOFF_S)
        finally:
            self._connection.abort()
            if self._activation is not None:
                self._activation.cancel()

    async def _call_once(self) -> None:
        request = self.subscriber.next_request(self._clock.now())
        if request.delay_ms:
            await asyncio.sleep(request.delay_ms / 1000)
        started_ms = self._clock.now()
        try:
            body = await self._fetch(request)
            if body:
                await self._on_update(body)
            else:
                now_ms = self._clock.now()
                self.subscriber.on_unchanged(now_ms, request, now_ms - started_ms)
        except CallFailedError as failure:
            self.subscriber.on_call_failed()
            self._on_failure(request, failure)
        except DynamicConfigError as problem:
            self._on_failure(request, problem)
        else:
            self.has_response.set()
        self._log_silence()

    def _on_failure(self, request: ConfigWatchRequest, problem: Exception) -> None:
        self._connection.abort()
        self._log_problem(f"{format_address(self._addresses[request.address_index])}: {problem}")

    def _log_problem(self, problem: str) -> None:
        now_ms = self._clock.now()
        if problem != self._logged_problem or now_ms - self._logged_problem_ms > LOG_INTERVAL_S * 1000:
            self._logged_problem = problem
            self._logged_problem_ms = now_ms
            log.warning("configuration: %s", problem)

    def _log_silence(self) -> None:
        """Log when the services fall silent, and when one answers again."""
        silent_ms = self._clock.now() - self.subscriber.last_response_ms
        is_silent = silent_ms > self._silent_ms
        if is_silent == self._is_silent:
            return
        self._is_silent = is_silent
        if is_silent:
            log.warning(
                "configuration: no service heard for %.0f s; version %d stays",
                silent_ms / 1000,
                self.subscriber.active.number,
            )
        else:
            log.warning("configuration: heard again")

    async def _fetch(self, request: ConfigWatchRequest) -> bytes:
        """The body of the answer; empty where there is no newer version. Raises CallFailedError."""
        with call_errors(self._connection):
            async with asyncio.timeout(protocol.RESPONSE_TIMEOUT_MS / 1000):
                await self._connection.open(self._addresses[request.address_index])
            target = f"{PATH}?{urlencode(self._query_of(request))}"
            return await self._get(target, request.response_timeout_ms / 1000)

    def _query_of(self, request: ConfigWatchRequest) -> dict[str, Any]:
        return {
            "since": request.since_number,
            "digest": request.since_digest,
            "name": self._config.name,
            "number": self._config.settings.gateway_number,
            "in_force": request.active_number,
            "have": request.active_digest,
            "staged": request.staged_number,
            "refused": request.rejected_number,
            "why": request.rejection_reason,
            "timeout_ms": f"{request.watch_timeout_ms:.0f}",
        }

    async def _get(self, target: str, timeout_s: float) -> bytes:
        self._connection.send_get(target)
        response = HttpResponse(MAX_RESPONSE_BYTES)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not response.is_complete:
            async with asyncio.timeout(max(0.0, end_s - loop.time())):
                data = await self._connection.read(READ_BYTES)
            if not response.received_bytes:  # it has begun: a long one takes its time
                end_s = loop.time() + max(timeout_s, protocol.BODY_TIMEOUT_MS / 1000)
            response.feed(data)
        return self._connection.finish(response, (200, 204))

    # -- versions

    async def _on_update(self, body: bytes) -> None:
        """Read an answer and stage its version; raises DynamicConfigError where the answer is bad.

        A version that is not staged is only logged: the service is well, whatever it has.
        """
        try:
            with _short_switch_interval():
                update = await asyncio.to_thread(_decode_update, body)
                self.subscriber.require_wanted(update)
                prepared = await asyncio.to_thread(
                    prepare_version, update, self.subscriber.newest, self._config
                )
        except InvalidUpdateError:
            self.subscriber.on_invalid_update()
            raise
        try:
            self._stage(prepared)
        except VersionNotStagedError as problem:
            log.error("configuration: %s", problem)

    def _stage(self, prepared: PreparedVersion) -> None:
        version = prepared.version
        if isinstance(prepared.config, UnusableSettingsError):
            self.subscriber.reject(self._clock.now(), version, str(prepared.config))
            return
        self.subscriber.stage(self._clock.now(), version)
        if self.subscriber.staged is version:
            self._staged_configs = {version.number: prepared.config}
            self._schedule_activation()

    def _schedule_activation(self) -> None:
        if self._activation is not None:
            self._activation.cancel()
            self._activation = None
        staged = self.subscriber.staged
        if staged is None:
            return
        if staged.activates_at_ms <= self._clock.now():
            self._activate_due()
        else:
            self._activation = self._timers.call_at(staged.activates_at_ms, self._activate_due)

    def _activate_due(self) -> None:
        """The staged version's time has come."""
        version = self.subscriber.due_version(self._clock.now())
        if version is not None:
            config = self._staged_configs.pop(version.number)
            self._activate(version, config)

    def _activate(self, version: SettingsVersion, config: Config) -> None:
        problem = ""
        try:
            self._reconfigure(config)
        except SettingsRejectedError as rejection:
            problem = str(rejection)
        except Exception as fault:  # of our own: the version is rejected, and requests go on
            log.exception("version %d could not be taken over", version.number)
            problem = f"it could not be taken over: {fault!r}"
        if problem:
            self.subscriber.on_activation_failed(version, problem)
            log.error("configuration: version %d is refused: %s", version.number, problem)
        else:
            self.subscriber.on_activated(version)
            log.info("configuration: version %d %s is in force", version.number, version.digest[:12])

    # -- hot restart

    def export_state(self) -> dict[str, Any] | None:
        """The active version, for the next process; None where it is too long, or that of the own file."""
        active = self.subscriber.active
        if not active.number or len(json.dumps(active.settings)) > MAX_STATE_BYTES:
            return None
        return {
            "version": active.number,
            "digest": active.digest,
            "in_force_ms": active.activates_at_ms,
            "settings": active.settings,
        }

    async def import_state(self, value: Any) -> None:
        """Activate what the previous process had active, unless one as new is active here."""
        try:
            prepared = await asyncio.to_thread(
                lambda: prepare_version(parse_update(value), OWN_FILE, self._config)
            )
        except InvalidUpdateError as problem:
            log.warning("configuration: what the process before left cannot be used: %s", problem)
            return
        version = prepared.version
        if isinstance(prepared.config, UnusableSettingsError):
            log.warning(
                "configuration: version %d of the process before: %s", version.number, prepared.config
            )
        elif self.subscriber.is_newer_than_active(version):
            self._activate(version, prepared.config)
            self._schedule_activation()

    # -- for operators

    def status_line(self) -> str:
        """The answer to the operators' call CONFIGURATION."""
        return self.subscriber.status_line(self._clock.now())


def prepare_version(update: VersionUpdate, base: SettingsVersion, config: Config) -> PreparedVersion:
    """Read and check a version, in a thread beside the event loop; raises InvalidUpdateError."""
    version = resolve_update(update, base)
    try:
        return PreparedVersion(version, usable_config(config, version))
    except UnusableSettingsError as problem:
        return PreparedVersion(version, problem)


def client_for(config: Config, settings: Any, gateway: Any) -> ConfigClient:
    """The client of the services in the operator's [configuration], for a gateway."""
    return ConfigClient(
        config,
        settings.addresses,
        settings.silent_ms,
        gateway.reconfigure,
        gateway.clock,
        gateway.timers,
        random.Random(config.seed ^ 0xC0F),
    )


@contextmanager
def _short_switch_interval() -> Iterator[None]:
    """A thread of our own works beside the event loop."""
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(min(interval_s, SWITCH_INTERVAL_S))
    try:
        yield
    finally:
        sys.setswitchinterval(interval_s)


def _decode_update(body: bytes) -> VersionUpdate:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as problem:
        raise InvalidUpdateError("an answer that is no JSON") from problem
    return parse_update(value)
