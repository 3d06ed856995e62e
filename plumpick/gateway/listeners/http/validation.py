"""What a client's request has to look like: one that does not is rejected before the policy sees it.

The reader of a connection calls `RequestValidator.validate`; it raises BadRequestError, whose status goes to
the client."""

from __future__ import annotations

import functools
import math
import re
from collections.abc import Mapping
from typing import NamedTuple

from plumpick.policy.settings import Idempotency, RequestClass, Settings

MAX_CUSTOMER_ID = 1 << 33  # a customer is a number below
MAX_INTEGER_DIGITS = 15
CALL_TERMS_CACHE_SIZE = 512
_UNITS_PATTERN = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
_REQUEST_ID_PATTERN = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
_CUSTOMER_ID_PATTERN = re.compile(rb"[0-9A-Fa-f]{16}")
_IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-~]{1,128}")


class BadRequestError(ValueError):
    """A request that is rejected; the text names the part at fault, `status` is that of HTTP."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class RequestHead(NamedTuple):
    """What a request's head says of it; the first fields of an IncomingRequest."""

    id: bytes
    customer: str
    request_class: RequestClass
    plan: str
    timeout_ms: float
    units: float
    spread: int
    first: int
    is_retry: bool
    idempotency_key: bytes | None


class RequestValidator:
    """Validates requests by the settings in force."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {one.name.encode(): one for one in settings.classes}
        self._plans = {plan.name.encode(): plan.name for plan in settings.plans}
        # A customer's terms are the same every time; an error is not cached.
        self._call_terms = functools.lru_cache(CALL_TERMS_CACHE_SIZE)(
            functools.partial(parse_call_terms, gateways=settings.gateway_count, max_units=settings.max_units)
        )

    def validate(
        self, method: bytes, target: bytes, headers: Mapping[bytes, bytes], has_body: bool
    ) -> RequestHead:
        """The head of a request whose target is a path (see `origin_form`); raises BadRequestError."""
        request_class = self._request_class(method, target, has_body)
        key = _idempotency_key(request_class, headers)
        request_id = required_header(headers, b"x-request-id")
        customer = required_header(headers, b"x-api-key")
        if not _REQUEST_ID_PATTERN.fullmatch(request_id):
            raise BadRequestError("x-request-id is malformed")
        if not _CUSTOMER_ID_PATTERN.fullmatch(customer) or int(customer, 16) >= MAX_CUSTOMER_ID:
            raise BadRequestError("x-api-key is no customer")
        plan = self._plans.get(required_header(headers, b"x-tier"))
        if plan is None:
            raise BadRequestError("there is no such plan")
        timeout_ms = parse_integer(required_header(headers, b"x-deadline-ms"), 1)
        units, spread, first = self._call_terms(required_header(headers, b"x-call-terms"))
        return RequestHead(
            request_id,
            customer.decode(),
            request_class,
            plan,
            min(timeout_ms, request_class.deadline_ms),  # no longer than the class allows
            units,
            spread,
            first,
            headers.get(b"x-retry") == b"1",
            key,
        )

    def _request_class(self, method: bytes, target: bytes, has_body: bool) -> RequestClass:
        """The class that the target names; raises BadRequestError where it or the method does not fit."""
        if not target.startswith(b"/"):
            raise BadRequestError("the target is no path")
        request_class = self._classes.get(target[1:].partition(b"?")[0].partition(b"/")[0])
        if request_class is None:
            raise BadRequestError("there is no such class", 404)
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        if method not in ((b"GET", b"HEAD") if is_idempotent else (b"POST",)):
            raise BadRequestError("the class has another method", 405)
        if has_body and method != b"POST":
            raise BadRequestError("a GET with a body")
        return request_class


def _idempotency_key(request_class: RequestClass, headers: Mapping[bytes, bytes]) -> bytes | None:
    """The request's key, exactly where its class has one; raises BadRequestError."""
    key = headers.get(b"idempotency-key")
    if request_class.idempotency is Idempotency.KEYED:
        if key is None or not _IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
            raise BadRequestError("idempotency-key is missing or malformed")
    elif key is not None:
        raise BadRequestError("idempotency-key on a class that has none")
    return key


def origin_form(target: bytes) -> bytes:
    """The path and query of a target; one in absolute form (RFC 9112, 3.2.2) loses scheme and host."""
    if target[:7].lower() != b"http://":
        return target
    rest = target[7:]
    path = rest.find(b"/")
    query = rest.find(b"?")
    if path >= 0 and (query < 0 or path < query):
        return rest[path:]
    return b"/" + rest[query:] if query >= 0 else b"/"


def parse_integer(text: bytes, minimum: int, maximum: float = math.inf) -> int:
    """A whole number in plain digits, within bounds; raises BadRequestError."""
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS or not minimum <= int(text) <= maximum:
        raise BadRequestError(f"{text[:20]!r} is out of place")
    return int(text)


def parse_call_terms(text: bytes, *, gateways: int, max_units: float) -> tuple[float, int, int]:
    """Units, spread and first of X-Call-Terms; raises BadRequestError."""
    terms: dict[bytes, bytes] = {}
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name in terms:
            raise BadRequestError("X-Call-Terms names a thing twice")
        terms[name] = value
    if not terms.keys() >= {b"units", b"spread", b"first"}:
        raise BadRequestError("X-Call-Terms cannot be read")
    if not _UNITS_PATTERN.fullmatch(terms[b"units"]) or not 0 < float(terms[b"units"]) <= max_units:
        raise BadRequestError("units are out of range")
    return (
        float(terms[b"units"]),
        parse_integer(terms[b"spread"], 1, gateways),
        parse_integer(terms[b"first"], 0, gateways - 1),
    )


def required_header(headers: Mapping[bytes, bytes], name: bytes) -> bytes:
    """The value of a header that has to be there; raises BadRequestError."""
    value = headers.get(name)
    if not value:
        raise BadRequestError(f"{name.decode()} is missing")
    return value
