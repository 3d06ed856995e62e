"""The service's side: versions that were published, what a watcher is answered, who has which version.

In memory only. A number is never given to two contents. A service that has begun anew knows nothing: its
watchers keep what they have, since numbers only go up, and publishing the same again completes it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from plumpick.policy.dynamic_config.delta import DeltaError, canonical, changes_between
from plumpick.policy.dynamic_config.subscriber import (
    SPARE_MS,
    TOLD_MS,
    WAIT_MS,
    Content,
    Unusable,
    offer_from,
    read,
)

KEPT = 64  # versions; the lowest number leaves
WATCHERS = 4096  # names; the one not heard for longest leaves
ANSWERS = 64  # made ready, for bases that many ask from; all leave at a new version
LOST_MS = 6000.0  # a watcher that has not been heard for so long is named: it asks every 2.5 s


@dataclass(slots=True)
class Watcher:
    """What a gatekeeper told last."""

    name: str
    number: int
    in_force: int
    digest: str
    staged: int
    refused: int
    why: str
    heard_ms: float


@dataclass(slots=True)
class Kept:
    """A version, and when it came here."""

    content: Content
    came_ms: float


class Shelf:
    """All of one service."""

    def __init__(self) -> None:
        self.kept: dict[int, Kept] = {}
        self.watchers: dict[str, Watcher] = {}
        self._answers: dict[tuple[int, str], bytes] = {}

    @property
    def newest(self) -> Content | None:  # noqa: D102
        return self.kept[max(self.kept)].content if self.kept else None

    def publish(self, now: float, value: Any) -> str:
        """A version comes: what is wrong with it, or nothing: then it is kept. Twice the same is once."""
        try:
            offer = offer_from(value)
            if offer.settings is None:
                return "the whole settings are due"
            content = read(offer, Content(0, "", 0.0, {}))
        except Unusable as problem:
            return str(problem)
        newest = self.newest
        before = self.kept.get(content.version)
        if before is not None:
            held = before.content
            same = (held.digest, held.in_force_ms) == (content.digest, content.in_force_ms)
            return "" if same else f"version {content.version} is here with another content or time"
        if newest is not None and content.version < newest.version:
            return f"version {content.version} is older than {newest.version}"
        self.kept[content.version] = Kept(content, now)
        self._answers.clear()
        while len(self.kept) > KEPT:
            del self.kept[min(self.kept)]
        return ""

    def heard(self, watcher: Watcher) -> None:
        """A gatekeeper has asked."""
        self.watchers.pop(watcher.name, None)
        self.watchers[watcher.name] = watcher
        while len(self.watchers) > WATCHERS:
            del self.watchers[next(iter(self.watchers))]

    def answer(self, since: int, its: str, refused: int) -> bytes | None:
        """The newest version for who has that one, as JSON; None where that is no news. By changes where its
        base is kept and they are shorter."""
        newest = self.newest
        if newest is None or newest.version <= max(since, refused):
            return None
        base = self.kept.get(since)
        known = base is not None and base.content.digest == its
        key = (since, its) if known else (0, "")
        if key not in self._answers:
            if len(self._answers) >= ANSWERS:
                self._answers.clear()
            self._answers[key] = self._made(newest, base.content if known and base else None)
        return self._answers[key]

    def _made(self, newest: Content, base: Content | None) -> bytes:
        head: dict[str, Any] = {
            "version": newest.version,
            "digest": newest.digest,
            "in_force_ms": newest.in_force_ms,
        }
        whole = json.dumps({**head, "settings": newest.settings}, separators=(",", ":")).encode()
        if base is None:
            return whole
        try:
            changes = changes_between(base.settings, newest.settings)
        except DeltaError:
            return whole
        text = canonical(
            {**head, "base": base.version, "base_digest": base.digest, "changes": changes}
        ).encode()
        return text if len(text) < len(whole) else whole

    def _balancers(self) -> int:
        """How many gatekeepers there are, by the newest version that says so as it should."""
        for version in sorted(self.kept, reverse=True):
            count = self.kept[version].content.settings.get("balancers")
            if type(count) is int and 0 < count <= WATCHERS:
                return count
        return 0

    def status(self, now: float) -> dict[str, Any]:
        """All that `plumpick configuration status` tells of one service."""
        return {
            "now_ms": now,
            "versions": [
                [one.content.version, one.content.digest, one.content.in_force_ms, one.came_ms]
                for one in self.kept.values()
            ],
            "balancers": self._balancers(),
            "watchers": [
                [
                    one.name,
                    one.number,
                    one.in_force,
                    one.digest,
                    one.staged,
                    one.refused,
                    one.why,
                    one.heard_ms,
                ]
                for one in self.watchers.values()
            ],
        }


def summary(states: list[dict[str, Any]]) -> tuple[list[str], bool]:  # noqa: C901  (to be split by concern)
    """What several services tell together, as lines; and whether all that are expected have the newest
    version, 6 s after it was published, and nobody refused it."""
    now = max(state["now_ms"] for state in states)
    versions: dict[int, tuple[str, float, float]] = {}
    well, lines = True, []
    for state in states:
        for version, its, at_ms, came_ms in state["versions"]:
            known = versions.get(version)
            if known is not None and known[0] != its:
                well = False
                lines.append(
                    f"version {version} has two contents, {known[0][:12]} and {its[:12]}: publish a newer one"
                )
            versions[version] = (its, at_ms, min(came_ms, known[2]) if known else came_ms)
    heard: dict[str, list[Any]] = {}
    for state in states:
        for row in state["watchers"]:
            if row[0] not in heard or row[7] > heard[row[0]][7]:
                heard[row[0]] = row
    if not versions:
        return [*lines, "no version was published here"], False
    newest = max(versions)
    its, at_ms, came_ms = versions[newest]
    due = now >= max(came_ms + TOLD_MS, at_ms + WAIT_MS + SPARE_MS)  # told with the next call
    lines.insert(
        0,
        f"version {newest} {its[:12]}, published {(now - came_ms) / 1000:.1f} s ago, in force "
        f"{'since' if at_ms <= now else 'in'} {abs(now - at_ms) / 1000:.1f} s",
    )
    for place, state in enumerate(states):
        if newest not in {row[0] for row in state["versions"]}:
            well = False
            lines.append(f"service {place + 1} lacks it: publish the same again")
    have = 0
    for name, _number, version, told, staged, refused, why, heard_ms in sorted(heard.values()):
        if (version, told) == (newest, its):
            have += 1
        elif version > newest:
            well = False
            lines.append(f"{name} has version {version}, which no service knows")
        elif version == newest:
            well = False
            lines.append(f"{name} has version {version} with another content, {told[:12]}")
        elif due or refused == newest:
            well = False
            lines.append(f"{name} lacks it: has version {version}" + (f", {staged} staged" if staged else ""))
        if refused:
            lines.append(f"{name} refused version {refused}: {why}")
        if now - heard_ms > LOST_MS:
            well = False
            lines.append(f"{name} has not been heard for {(now - heard_ms) / 1000:.1f} s")
    numbers = {row[1] for row in heard.values()}
    expected = max(state["balancers"] for state in states)
    never = [number for number in range(expected) if number not in numbers]
    if never and due:
        well = False
        shown = ", ".join(map(str, never[:20])) + (" ..." if len(never) > 20 else "")
        lines.append(f"{len(never)} never heard, by number: {shown}")
    lines.append(f"{have} of {max(expected, len(heard))} have it")
    return lines, well
