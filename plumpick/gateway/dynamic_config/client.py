"""Client of the configuration services: requests versions of the settings, stages them, and activates each at
its activation time.

plumpick/policy/dynamic_config/subscriber.py decides what to request and which version to accept. A failed
call, an invalid response or a rejected version is logged and leaves the active settings unchanged.

Responses are parsed and checked in a thread. Meanwhile another version may become active or be handed over by
the hot-restart predecessor, so the subscriber checks the version again afterwards.
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
# Maximum size of the settings that are handed to a hot-restart successor, which requests longer ones from a
# service.
MAX_STATE_BYTES = 4 * 2**20
# Time after which a starting gateway stops waiting for a service and uses the settings of its own file.
FIRST_RESPONSE_TIMEOUT_S = 1.0
# Thread switch interval while a thread parses a version. With the interpreter's default of 5 ms, the event
# loop would wait that long for the interpreter lock each time.
SWITCH_INTERVAL_S = 0.0005
FAULT_BACKOFF_S = 0.5  # delay after an unexpected exception in a call
LOG_INTERVAL_S = 30.0  # time after which the same problem is logged again

log = logging.getLogger(__name__)


class UnusableSettingsError(Exception):
    """Published settings are invalid for this gateway; the message is one line."""


@dataclass(frozen=True, slots=True)
class PreparedVersion:
    """A parsed version together with this gateway's configuration under its settings, or the reason why they
    are invalid for this gateway."""

    version: SettingsVersion
    config: Config | UnusableSettingsError


def apply_settings(config: Config, settings: SettingsJson) -> Config:
    """`config` with published settings in place of its own; the gateway's number and zone are kept. Raises
    SettingsError."""
    own = {"myNumber": config.settings.gateway_number, "locality": config.settings.zone}
    combined = {**settings, **own}
    parsed = parse_settings(combined, "settings")
    limits = JsonObject(combined, "settings").nested_object("limits")
    if config.peers and len(config.peers) != parsed.gateway_count:
        raise SettingsError(
            f"settings.balancers: expected {len(config.peers)}, the number of peers, "
            f"got {parsed.gateway_count}"
        )
    return replace(
        config,
        settings=parsed,
        connect_timeout_ms=limits.number("dialTimeoutMs", 250.0),
        worker_idle_timeout_ms=limits.number("connIdleMs", 15_000.0),
    )


def config_for_version(config: Config, version: SettingsVersion) -> Config:
    """`config` with the settings of a version; raises UnusableSettingsError if they are invalid."""
    try:
        return apply_settings(config, version.settings)
    except (SettingsError, ValueError, TypeError, KeyError, AttributeError, RecursionError) as problem:
        line = str(problem).partition("\n")[0] or repr(problem)
        raise UnusableSettingsError(line) from problem


class ConfigClient:
    """Client of the configuration services for one gateway.

    `reconfigure` applies a configuration, or raises SettingsRejectedError and leaves the gateway unchanged.
    `silent_ms`: time without a response from any service after which a warning is logged."""

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
        self._staged_configs: dict[int, Config] = {}  # configuration of the staged version, by its number
        self._activation: Timer | None = None
        self._connection = HttpConnection()
        self._logged_problem = ""  # the last logged problem
        self._logged_problem_ms = 0.0
        self._is_silent = False
        self.first_response_timeout_s = FIRST_RESPONSE_TIMEOUT_S
        # Set when the first response has been received and the version in it, if any, is staged or active.
        self.has_response = asyncio.Event()

    # -- calls to the services

    async def run(self) -> None:
        """Call the services until cancelled; after an unexpected exception the calls continue."""
        try:
            while True:
                try:
                    await self._call_once()
                except Exception:  # the calls have to go on: without them no new version would be received
                    log.exception("configuration: the call to a service failed; retrying")
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
        """Log a warning when no service has answered for `silent_ms`, and when one answers again."""
        silent_ms = self._clock.now() - self.subscriber.last_response_ms
        is_silent = silent_ms > self._silent_ms
        if is_silent == self._is_silent:
            return
        self._is_silent = is_silent
        if is_silent:
            log.warning(
                "configuration: no service has answered for %.0f s; version %d stays active",
                silent_ms / 1000,
                self.subscriber.active.number,
            )
        else:
            log.warning("configuration: a service answers again")

    async def _fetch(self, request: ConfigWatchRequest) -> bytes:
        """Call a service; returns the response body, which is empty if it has no newer version. Raises
        CallFailedError."""
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
            if not response.received_bytes:  # the response has begun: allow time for a long body
                end_s = loop.time() + max(timeout_s, protocol.BODY_TIMEOUT_MS / 1000)
            response.feed(data)
        return self._connection.finish(response, (200, 204))

    # -- received versions

    async def _on_update(self, body: bytes) -> None:
        """Parse a response body and stage its version; raises DynamicConfigError if the response is invalid.

        A valid version that is not staged is only logged, since the service itself works.
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
        """Activate the staged version if its activation time has come."""
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
        except Exception as fault:  # the version is rejected, and the gateway continues with the active one
            log.exception("configuration: activating version %d failed", version.number)
            problem = f"activation failed: {fault!r}"
        if problem:
            self.subscriber.on_activation_failed(version, problem)
            log.error("configuration: version %d rejected: %s", version.number, problem)
        else:
            self.subscriber.on_activated(version)
            log.info("configuration: version %d %s is active", version.number, version.digest[:12])

    # -- state for a hot restart

    def export_state(self) -> dict[str, Any] | None:
        """The active version for the hot-restart successor; None if it is longer than MAX_STATE_BYTES or if
        the settings are those of the gateway's own file."""
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
        """Activate the version that was active in the hot-restart predecessor, if it is newer than the active
        one; `value` is what its `export_state` returned."""
        try:
            prepared = await asyncio.to_thread(
                lambda: prepare_version(parse_update(value), OWN_FILE, self._config)
            )
        except InvalidUpdateError as problem:
            log.warning("configuration: ignored the invalid version of the predecessor: %s", problem)
            return
        version = prepared.version
        if isinstance(prepared.config, UnusableSettingsError):
            log.warning(
                "configuration: rejected version %d of the predecessor: %s", version.number, prepared.config
            )
        elif self.subscriber.is_newer_than_active(version):
            self._activate(version, prepared.config)
            self._schedule_activation()

    # -- status for operators

    def status_line(self) -> str:
        """The reply to the operators' command CONFIGURATION: the active, staged and rejected versions."""
        return self.subscriber.status_line(self._clock.now())


def prepare_version(update: VersionUpdate, base: SettingsVersion, config: Config) -> PreparedVersion:
    """Build a version from an update and check its settings for this gateway; meant to run in a thread.
    Raises InvalidUpdateError if the update is malformed or does not fit `base`."""
    version = resolve_update(update, base)
    try:
        return PreparedVersion(version, config_for_version(config, version))
    except UnusableSettingsError as problem:
        return PreparedVersion(version, problem)


def create_client(config: Config, settings: Any, gateway: Any) -> ConfigClient:
    """Create the client for a gateway; `settings` is the `configuration` table of the operator's file."""
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
    """Shorten the interpreter's thread switch interval while a thread parses a version."""
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
        raise InvalidUpdateError("the response body is not valid JSON") from problem
    return parse_update(value)
