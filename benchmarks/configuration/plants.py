"""Bugs planted in the program as it runs, each a way in which versions can be got wrong; the trials must find
them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from plumpick.gateway.dynamic_config import client
from plumpick.policy.dynamic_config.delta import apply_changes
from plumpick.policy.dynamic_config.errors import DeltaError, InvalidUpdateError
from plumpick.policy.dynamic_config.subscriber import Assessment, ConfigSubscriber
from plumpick.policy.dynamic_config.updates import SettingsVersion, VersionUpdate


def _takes_an_older() -> None:
    """Whatever comes is news."""
    assess = ConfigSubscriber.assess

    def any_is_wanted(self: Any, update: VersionUpdate) -> Assessment:
        found = assess(self, update)
        return Assessment.WANTED if found is Assessment.OUTDATED else found

    def on_version_read(self: Any, now_ms: float, version: SettingsVersion) -> None:
        self._on_response(now_ms)
        self._wants_snapshot = False
        self._had_update = True

    def stage(self: Any, now_ms: float, version: SettingsVersion) -> None:
        self._on_version_read(now_ms, version)
        self.staged = version

    ConfigSubscriber.assess = any_is_wanted  # type: ignore[method-assign]
    ConfigSubscriber._on_version_read = on_version_read  # type: ignore[method-assign]
    ConfigSubscriber.stage = stage  # type: ignore[method-assign]


def _unchecked(update: VersionUpdate, base: SettingsVersion, same_base: bool) -> SettingsVersion:
    if update.settings is not None:
        settings = update.settings
    elif same_base and not update.applies_to(base):
        raise InvalidUpdateError("changes from another base")
    else:
        try:
            settings = apply_changes(base.settings, update.changes)
        except DeltaError as problem:
            raise InvalidUpdateError(str(problem)) from problem
    return SettingsVersion(update.number, update.digest, update.activates_at_ms, settings)


def _any_base() -> None:
    """Changes are applied to what is at hand, and the result is believed."""
    assess = ConfigSubscriber.assess

    def any_base_fits(self: Any, update: VersionUpdate) -> Assessment:
        found = assess(self, update)
        return Assessment.WANTED if found is Assessment.BASE_MISMATCH else found

    ConfigSubscriber.assess = any_base_fits  # type: ignore[method-assign]
    client.resolve_update = lambda update, base: _unchecked(update, base, False)


def _no_digest() -> None:
    """The digest is taken as told."""
    client.resolve_update = lambda update, base: _unchecked(update, base, True)


def _in_part() -> None:
    """Of a bad version what can be read is taken."""
    config_for_version = client.config_for_version

    def lenient(config: Any, version: SettingsVersion) -> Any:
        try:
            return config_for_version(config, version)
        except client.UnusableSettingsError:
            pass
        good = {
            "balancers": config.settings.gateways,
            "packages": [],
            "rules": {},
            "limits": {},
            **{key: value for key, value in version.settings.items() if value},
        }
        parts = replace(config.settings, tick_ms=float(good.get("tickMs", 1.0)) + 1.0)
        return replace(config, settings=parts)

    client.config_for_version = lenient


def _at_receipt() -> None:
    """A version comes into force when it comes."""
    stage = ConfigSubscriber.stage

    def stage_for_now(self: Any, now_ms: float, version: SettingsVersion) -> None:
        object.__setattr__(version, "activates_at_ms", 0.0)
        stage(self, now_ms, version)

    ConfigSubscriber.stage = stage_for_now  # type: ignore[method-assign]


def _forgets_refusals() -> None:
    """What was refused is asked for again, at once."""
    ConfigSubscriber._reject = lambda self, number, digest, reason: None  # type: ignore[method-assign]


def _keeps_the_staged() -> None:
    """While one is staged no other is taken."""
    stage = ConfigSubscriber.stage

    def stage_unless_one_is(self: Any, now_ms: float, version: SettingsVersion) -> None:
        if self.staged is not None:
            self._on_response(now_ms)
            return
        stage(self, now_ms, version)

    ConfigSubscriber.stage = stage_unless_one_is  # type: ignore[method-assign]


def _stays() -> None:
    """An address is asked for good, whatever becomes of it."""

    def use_the_same(self: Any) -> None:
        self._unchanged_watches = 0
        self._may_watch = False
        self._had_update = False

    ConfigSubscriber._use_next_address = use_the_same  # type: ignore[method-assign]


PLANTS: dict[str, Callable[[], None]] = {
    "takes-an-older": _takes_an_older,
    "any-base": _any_base,
    "no-digest": _no_digest,
    "in-part": _in_part,
    "at-receipt": _at_receipt,
    "forgets-refusals": _forgets_refusals,
    "keeps-the-staged": _keeps_the_staged,
    "never-leaves": _stays,
}
# What a trial plays oftener to find it.
CASE_OF = {
    "takes-an-older": "late",
    "any-base": "late",
    "no-digest": "altered",
    "in-part": "bad",
    "at-receipt": "staged",
    "forgets-refusals": "bad",
    "keeps-the-staged": "staged",
    "never-leaves": "dead",
}


def plant(name: str) -> None:
    """Into this process."""
    PLANTS[name]()
