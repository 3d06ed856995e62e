"""What a client's request must look like: what does not is turned away, before the module hears of it."""

from __future__ import annotations

import functools
import math
import re
from collections.abc import Mapping
from typing import NamedTuple

from plumpick.policy.settings import Idempotency, RequestClass, Settings

MAX_CUSTOMER_ID = 1 << 33  # a customer is a number below
_UNITS_PATTERN = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
_REQUEST_ID_PATTERN = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
_CUSTOMER_ID_PATTERN = re.compile(rb"[0-9A-Fa-f]{16}")
_IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-~]{1,128}")


class BadRequestError(ValueError):
    """A request that is turned away; the text names the part at fault."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class RequestHead(NamedTuple):
    """What a request says of itself."""

    id: bytes
    customer: str
    kind: RequestClass
    plan: str
    wait_ms: float
    units: float
    spread: int
    first: int
    is_repeat: bool
    key: bytes | None


class RequestValidator:
    """Reads requests by the settings."""

    def __init__(self, settings: Settings) -> None:
        self._kinds = {kind.name.encode(): kind for kind in settings.classes}
        self._plans = {plan.name.encode(): plan.name for plan in settings.plans}
        # A customer's terms are the same every time; the cache is bounded, and what is odd raises.
        self._terms = functools.lru_cache(512)(
            functools.partial(
                parse_call_terms, gateways=settings.gateway_count, most_units=settings.max_units
            )
        )

    def read(
        self, method: bytes, target: bytes, headers: Mapping[bytes, bytes], has_body: bool
    ) -> RequestHead:
        """The form of a request, its target as a path (`path_of`); raises BadRequest."""
        if not target.startswith(b"/"):
            raise BadRequestError("the target is no path")
        kind = self._kinds.get(target[1:].partition(b"?")[0].partition(b"/")[0])
        if kind is None:
            raise BadRequestError("there is no such class", 404)
        if method not in ((b"GET", b"HEAD") if kind.idempotency is Idempotency.IDEMPOTENT else (b"POST",)):
            raise BadRequestError("the class has another method", 405)
        if has_body and method != b"POST":
            raise BadRequestError("a GET with a body")
        key = headers.get(b"idempotency-key")
        if kind.idempotency is Idempotency.KEYED:
            if key is None or not _IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
                raise BadRequestError("idempotency-key is missing or malformed")
        elif key is not None:
            raise BadRequestError("idempotency-key on a class that has none")
        request_id, customer = (
            required_header(headers, b"x-request-id"),
            required_header(headers, b"x-api-key"),
        )
        if not _REQUEST_ID_PATTERN.fullmatch(request_id):
            raise BadRequestError("x-request-id is malformed")
        if not _CUSTOMER_ID_PATTERN.fullmatch(customer) or int(customer, 16) >= MAX_CUSTOMER_ID:
            raise BadRequestError("x-api-key is no customer")
        plan = self._plans.get(required_header(headers, b"x-tier"))
        if plan is None:
            raise BadRequestError("there is no such plan")
        wait_ms = parse_integer(required_header(headers, b"x-deadline-ms"), 1)
        units, spread, first = self._terms(required_header(headers, b"x-call-terms"))
        # Nobody is kept waiting for longer than the class allows, however long the client would.
        return RequestHead(
            request_id,
            customer.decode(),
            kind,
            plan,
            min(wait_ms, kind.deadline_ms),
            units,
            spread,
            first,
            headers.get(b"x-retry") == b"1",
            key,
        )


def origin_form(target: bytes) -> bytes:
    """The path and query of a target; one in absolute form (RFC 9112, 3.2.2) loses scheme and host."""
    if target[:7].lower() == b"http://":
        rest = target[7:]
        slash, mark = rest.find(b"/"), rest.find(b"?")
        if slash >= 0 and (mark < 0 or slash < mark):
            return rest[slash:]
        return b"/" + rest[mark:] if mark >= 0 else b"/"
    return target


def parse_integer(text: bytes, least: int, most: float = math.inf) -> int:
    """A whole number in plain digits, within bounds."""
    if not text.isdigit() or len(text) > 15 or not least <= int(text) <= most:
        raise BadRequestError(f"{text[:20]!r} is out of place")
    return int(text)


def parse_call_terms(text: bytes, *, gateways: int, most_units: float) -> tuple[float, int, int]:
    """Units, spread and first of X-Call-Terms."""
    terms: dict[bytes, bytes] = {}
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name in terms:
            raise BadRequestError("X-Call-Terms names a thing twice")
        terms[name] = value
    if not terms.keys() >= {b"units", b"spread", b"first"}:
        raise BadRequestError("X-Call-Terms cannot be read")
    if not _UNITS_PATTERN.fullmatch(terms[b"units"]) or not 0 < float(terms[b"units"]) <= most_units:
        raise BadRequestError("units are out of range")
    return (
        float(terms[b"units"]),
        parse_integer(terms[b"spread"], 1, gateways),
        parse_integer(terms[b"first"], 0, gateways - 1),
    )


def required_header(headers: Mapping[bytes, bytes], name: bytes) -> bytes:
    """A header that must be there."""
    value = headers.get(name)
    if not value:
        raise BadRequestError(f"{name.decode()} is missing")
    return value
