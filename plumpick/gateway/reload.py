"""What SIGHUP changes in service: discovery's address, and totals and bursts of budgets.

A file that cannot be used changes nothing; the log names what is wrong."""

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
    """Read the configuration and the operator's own file again whenever that is requested; until cancelled.
    `participant`: a ClusterParticipant, or None."""
    while True:
        await requested.wait()
        requested.clear()  # before the file is read: should it change meanwhile, it is read once more
        if not await _reload_config(config, discovery, platform) or participant is None:
            continue
        try:
            settings = await asyncio.to_thread(load_cluster_settings, config, platform.operator_config_path())
        except ConfigError as problem:
            log.error("the operator's settings stay as they were: %s", problem)
            continue
        if settings is not None:
            participant.reconfigure(settings)


async def _reload_config(config: Config, discovery: DiscoveryClient, platform: Platform) -> bool:
    """Go to discovery's address of the file as it is now; whether the file can be used."""
    try:
        new = await asyncio.to_thread(platform.reload_config)
    except ConfigError as problem:
        log.error("the configuration stays as it was: %s", problem)
        return False
    log.info("the configuration was read anew: discovery at %s:%d", *new.discovery)
    if replace(new, discovery=config.discovery, seed=config.seed, known=config.known) != config:
        log.warning("what else has changed in the configuration takes effect at the next start")
    discovery.change_address(new.discovery)
    return True


def load_cluster_settings(config: Config, path: str) -> Any:
    """What the operator's own file names for the whole tier, or None; raises ConfigError."""
    if not path:
        return None
    from plumpick.gateway.operator_config import load as load_operator

    settings = load_operator(path, config.settings.gateway_count).fleet
    if settings is None:
        return None
    if config.settings.gateway_count > 1 and config.peer_listen is None:
        raise ConfigError(f"{path}: fleet: this gatekeeper has no peer_listen to hear the others at")
    if config.peer_listen == config.listen:
        raise ConfigError(f"{path}: fleet: peer_listen needs a port other than that of listen")
    return settings


def load_settings_service(config: Config, path: str) -> Any:
    """Where the operator's own file says that versions of the settings come from, or None; raises
    ConfigError."""
    if not path:
        return None
    from plumpick.gateway.operator_config import load as load_operator

    return load_operator(path, config.settings.gateway_count).configuration
