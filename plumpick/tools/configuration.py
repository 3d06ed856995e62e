"""`plumpick configuration serve | publish | back | status`: versioned settings for running gateways.

Each sub-command but `serve` calls all given services; services that do not answer are listed, and the others
are still called. Exit codes: 0 for success; 1 if a service failed or a gateway lacks the newest version; 2 if
an argument or a file is invalid or no service answers.
"""

from __future__ import annotations

import argparse
import asyncio
import http.client
import json
import logging
import signal
import sys
import time
from pathlib import Path
from typing import Any

from plumpick.policy.dynamic_config.delta import SettingsJson, settings_digest, shared_settings
from plumpick.policy.dynamic_config.rollout_report import ServiceStatus, report_rollout
from plumpick.policy.settings_parser import parse_settings
from plumpick.tools.call import address_of
from plumpick.tools.configuration_service import PATH, VersionService

CALL_TIMEOUT_S = 10.0
MAX_ACTIVATION_DELAY_S = 86_000.0

Address = tuple[str, int]
VersionDocument = dict[str, Any]  # JSON object with which a version is published


class ConfigurationError(Exception):
    """A sub-command failed; the text is one line."""


class ServiceCallError(ConfigurationError):
    """A service did not answer, or answered with an unexpected status or body."""


class SettingsFileError(ConfigurationError):
    """A file contains no valid settings; the text names the invalid key."""


def call_service(address: Address, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Call a service; returns the status and the decoded JSON of its response. Raises ServiceCallError."""
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else None
    except (OSError, http.client.HTTPException, ValueError) as problem:
        raise ServiceCallError(f"{_host_of(address)}: {problem or type(problem).__name__}") from problem
    finally:
        connection.close()


def load_settings(path: str) -> SettingsJson:
    """The settings in a file that all gateways share. The file is a gateway's configuration, or only its
    `settings` object. Raises SettingsFileError."""
    try:
        value = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as problem:
        raise SettingsFileError(f"cannot read {path}: {problem.strerror}") from problem
    except (ValueError, RecursionError) as problem:
        raise SettingsFileError(f"{path}: not valid JSON: {problem}") from problem
    if isinstance(value, dict) and isinstance(value.get("settings"), dict):
        value = value["settings"]
    try:
        parse_settings({**value, "myNumber": 0} if isinstance(value, dict) else value, "settings")
        settings_digest(value)
    # the settings are invalid: SettingsError, DeltaError, or wrong types of values
    except (ValueError, TypeError) as problem:
        raise SettingsFileError(f"{path}: {problem}") from problem
    return shared_settings(value)


def fetch_statuses(addresses: list[Address]) -> tuple[list[ServiceStatus], list[str]]:
    """The status of each service that answers, and an error line for each other one."""
    statuses = []
    failures = []
    for address in addresses:
        try:
            status, value = call_service(address, "GET", f"{PATH}/status")
            if status != 200:
                raise ServiceCallError(f"{_host_of(address)}: status {status}")
            statuses.append(value)
        except ServiceCallError as problem:
            failures.append(str(problem))
    return statuses, failures


def next_version(
    settings: SettingsJson, statuses: list[ServiceStatus], now_ms: float, delay_ms: float
) -> VersionDocument:
    """The version under which these settings are published.

    If the newest version has the same content, it is published again, so that services without it receive it;
    otherwise the version gets a new number. If no service has a version, numbering starts at the Unix time in
    ms, far above any number that services without stored versions may have assigned before a restart."""
    digest = settings_digest(settings)
    known = [row for status in statuses for row in status["versions"]]
    active_numbers = [row[2] for status in statuses for row in status["watchers"]]
    newest = max(known, default=None, key=lambda row: row[0])
    if newest is not None and newest[1] == digest and newest[0] >= max(active_numbers, default=0):
        return {"version": newest[0], "digest": digest, "in_force_ms": newest[2], "settings": settings}
    number = max([row[0] for row in known] + active_numbers, default=0) + 1
    if newest is None:
        number = max(number, int(now_ms))
    return {"version": number, "digest": digest, "in_force_ms": now_ms + delay_ms, "settings": settings}


def publish(args: argparse.Namespace, addresses: list[Address]) -> int:
    """Publish the settings of a file as the next version; returns the exit code. Raises
    ConfigurationError."""
    settings = load_settings(args.file)
    statuses, failures = fetch_statuses(addresses)
    if not statuses:
        raise ServiceCallError("none of the services answers")
    version = next_version(settings, statuses, _now_ms(), args.in_force_in * 1000)
    return _put_version(version, addresses, failures)


def back(args: argparse.Namespace, addresses: list[Address]) -> int:
    """Publish the settings of an older version as the next version; returns the exit code. Raises
    ConfigurationError."""
    statuses, failures = fetch_statuses(addresses)
    known = sorted({row[0] for status in statuses for row in status["versions"]})
    if len(known) < 2:
        raise ConfigurationError(f"no older version to go back to: the services keep {len(known)} version(s)")
    wanted = args.version or known[-2]
    if wanted not in known:
        raise ConfigurationError(
            f"version {wanted} is not kept; the newest versions kept are {', '.join(map(str, known[-10:]))}"
        )
    settings = _fetch_settings(wanted, addresses)
    version = next_version(settings, statuses, _now_ms(), args.in_force_in * 1000)
    return _put_version(version, addresses, failures)


def status(args: argparse.Namespace, addresses: list[Address]) -> int:
    """Print the versions that gateways and services have. Returns 0 if all have the newest one, 1 if not, 2
    if no service answers."""
    statuses, failures = fetch_statuses(addresses)
    for line in failures:
        print(f"service unreachable: {line}")
    if not statuses:
        return 2
    report = report_rollout(statuses)
    print("\n".join(report.lines))
    return 0 if report.is_complete and not failures else 1


def _fetch_settings(number: int, addresses: list[Address]) -> SettingsJson:
    """The settings of a version, from the first service that has it. Raises ServiceCallError."""
    for address in addresses:
        try:
            status, value = call_service(address, "GET", f"{PATH}/versions/{number}")
        except ServiceCallError:
            continue
        if status == 200:
            settings: SettingsJson = value["settings"]
            return settings
    raise ServiceCallError(f"version {number} could not be fetched from any service")


def _put_version(version: VersionDocument, addresses: list[Address], failures: list[str]) -> int:
    """Publish a version at all services; returns 0, or 1 if any service failed. `failures` are the error
    lines of earlier calls, which count as failures too."""
    problems = list(failures)
    for address in addresses:
        try:
            status, answer = call_service(address, "PUT", PATH, version)
            if status != 200:
                problems.append(f"{_host_of(address)}: {(answer or {}).get('problem', status)}")
        except ServiceCallError as problem:
            if str(problem) not in problems:
                problems.append(str(problem))
    for line in problems:
        print(f"plumpick configuration: {line}", file=sys.stderr)
    if len(problems) < len(addresses):
        print(
            f"version {version['version']} {version['digest'][:12]}, "
            f"in force at {version['in_force_ms']:.0f}, "
            f"at {len(addresses) - len(problems)} of {len(addresses)}"
        )
    return 1 if problems else 0


def _host_of(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _now_ms() -> float:
    return time.time() * 1000


async def _serve_until_signal(address: Address) -> None:
    service = VersionService()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    await service.open(*address)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    logging.info("version service listening at %s:%d", address[0], service.port)
    await stop.wait()
    service.close()


def serve(address: Address) -> int:
    """Run a version service until SIGTERM or SIGINT; returns exit code 0."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    asyncio.run(_serve_until_signal(address))
    return 0


def configuration(args: argparse.Namespace) -> int:
    """Run the sub-command `args.step` of `plumpick configuration`; returns its exit code."""
    try:
        if args.step == "serve":
            return serve(address_of(args.listen))
        addresses = [address_of(text) for text in args.to]
        if args.step != "status" and not 0 <= args.in_force_in <= MAX_ACTIVATION_DELAY_S:
            raise ConfigurationError(
                f"--in-force-in: expected 0 to {MAX_ACTIVATION_DELAY_S:g} s, got {args.in_force_in:g}"
            )
        return {"publish": publish, "back": back, "status": status}[args.step](args, addresses)
    except (ConfigurationError, ValueError, OSError) as problem:
        print(f"plumpick configuration: {problem}", file=sys.stderr)
        return 2
