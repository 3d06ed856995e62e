"""Reload of the configuration after SIGHUP: discovery's address, and limits and bursts of budgets.

An invalid file leaves the running configuration unchanged, and the error is logged."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import Any

from plumpick.gateway.config import Config, ConfigError
from plumpick.gateway.discovery import DiscoveryClient
from plumpick.gateway.platform import Platform

log = logging.getLogger(__name__)


async def run_reloads(
    config: Config, discovery: DiscoveryClient, requested: asyncio.Event, platform: Platform, participant: Any
) -> None:
    """Reload the configuration and the operator's file each time `requested` is set, until cancelled.

    `participant`: the LeaseRunner that receives the new `fleet` settings, or None."""
    while True:
        await requested.wait()
        requested.clear()  # before reading, so that a SIGHUP during the read leads to another reload
        if not await _reload_config(config, discovery, platform) or participant is None:
            continue
        try:
            settings = await asyncio.to_thread(load_cluster_settings, config, platform.operator_config_path())
        except ConfigError as problem:
            log.error("reload failed, the operator's previous settings stay active: %s", problem)
            continue
        if settings is not None:
            participant.reconfigure(settings)


async def _reload_config(config: Config, discovery: DiscoveryClient, platform: Platform) -> bool:
    """Read the configuration file and apply its discovery address; returns whether the file is valid."""
    try:
        new = await asyncio.to_thread(platform.reload_config)
    except ConfigError as problem:
        log.error("reload failed, the previous configuration stays active: %s", problem)
        return False
    log.info("reloaded the configuration: discovery at %s:%d", *new.discovery)
    if replace(new, discovery=config.discovery, seed=config.seed, known=config.known) != config:
        log.warning("other changes in the configuration file take effect only after a restart")
    discovery.change_address(new.discovery)
    return True


def load_cluster_settings(config: Config, path: str) -> Any:
    """The `fleet` table of the operator's file at `path`; None without a file or table. Raises
    ConfigError."""
    if not path:
        return None
    from plumpick.gateway.operator_config import load_operator_config

    settings = load_operator_config(path, config.settings.gateway_count).fleet
    if settings is None:
        return None
    if config.settings.gateway_count > 1 and config.peer_listen is None:
        raise ConfigError(
            f"{path}: fleet: peer_listen is missing in the configuration; it is required to receive "
            "datagrams of the other gatekeepers"
        )
    if config.peer_listen == config.listen:
        raise ConfigError(f"{path}: fleet: peer_listen must differ from listen")
    return settings


def load_settings_service(config: Config, path: str) -> Any:
    """The `configuration` table of the operator's file at `path`; None without a file or table. Raises
    ConfigError."""
    if not path:
        return None
    from plumpick.gateway.operator_config import load_operator_config

    return load_operator_config(path, config.settings.gateway_count).configuration
