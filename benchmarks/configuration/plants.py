"""Bugs planted in the program as it runs, each a way in which versions can be got wrong; the trials must find
them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from plumpick.gateway.dynamic_config import client
from plumpick.policy.dynamic_config import subscriber
from plumpick.policy.dynamic_config.delta import applied
from plumpick.policy.dynamic_config.subscriber import Content, Offer, Versions, Wish


def _takes_an_older() -> None:
    """Whatever comes is news."""
    wish = Versions.wish

    def any_is_news(self: Any, offer: Offer) -> Wish:
        found = wish(self, offer)
        return Wish.READ if found is Wish.OLD else found

    def take(self: Any, now: float, content: Content, problem: str) -> str:
        self._heard(now)
        self._want_whole, self._had_news = False, True
        if problem:
            self._refuse(content.version, content.digest, problem)
            return problem
        self.staged = content
        return ""

    Versions.wish, Versions.take = any_is_news, take  # type: ignore[method-assign]


def _unchecked(offer: Offer, base: Content, same_base: bool) -> Content:
    if offer.settings is not None:
        settings = offer.settings
    elif same_base and (offer.base, offer.base_digest) != (base.version, base.digest):
        raise subscriber.Unusable("changes from another base")
    else:
        try:
            settings = applied(base.settings, offer.changes)
        except subscriber.DeltaError as problem:
            raise subscriber.Unusable(str(problem)) from problem
    return Content(offer.version, offer.digest, offer.in_force_ms, settings)


def _any_base() -> None:
    """Changes are applied to what is at hand, and the result is believed."""
    wish = Versions.wish

    def wishes(self: Any, offer: Offer) -> Wish:
        found = wish(self, offer)
        return Wish.READ if found is Wish.WHOLE else found

    Versions.wish = wishes  # type: ignore[method-assign]
    client.read = lambda offer, base: _unchecked(offer, base, False)


def _no_digest() -> None:
    """The digest is taken as told."""
    client.read = lambda offer, base: _unchecked(offer, base, True)


def _in_part() -> None:
    """Of a bad version what can be read is taken."""
    checked = client.checked

    def lenient(config: Any, content: Content) -> Any:
        made, wrong = checked(config, content)
        if not wrong:
            return made, wrong
        good = {
            "balancers": config.settings.gateways,
            "packages": [],
            "rules": {},
            "limits": {},
            **{key: value for key, value in content.settings.items() if value},
        }
        parts = replace(config.settings, tick_ms=float(good.get("tickMs", 1.0)) + 1.0)
        return replace(config, settings=parts), ""

    client.checked = lenient


def _at_receipt() -> None:
    """A version comes into force when it comes."""
    take = Versions.take

    def takes(self: Any, now: float, content: Content, problem: str) -> str:
        object.__setattr__(content, "in_force_ms", 0.0)
        return take(self, now, content, problem)

    Versions.take = takes  # type: ignore[method-assign]


def _forgets_refusals() -> None:
    """What was refused is asked for again, at once."""
    Versions._refuse = lambda self, version, its, why: None  # type: ignore[method-assign]


def _keeps_the_staged() -> None:
    """While one is staged no other is taken."""
    take = Versions.take

    def takes(self: Any, now: float, content: Content, problem: str) -> str:
        if self.staged is not None and not problem:
            self._heard(now)
            return ""
        return take(self, now, content, problem)

    Versions.take = takes  # type: ignore[method-assign]


def _stays() -> None:
    """An address is asked for good, whatever becomes of it."""

    def move(self: Any) -> None:
        self._quiet, self._goes_on, self._had_news = 0, False, False

    Versions._move = move  # type: ignore[method-assign]


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
