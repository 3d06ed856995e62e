"""Validation of a client's request, before it reaches the policy.

The listener calls `RequestValidator.validate`, which raises BadRequestError. The client is sent the error's
status only, not its text."""

from __future__ import annotations

import functools
import math
import re
from collections.abc import Mapping
from typing import NamedTuple

from plumpick.policy.settings import Idempotency, RequestClass, Settings

MAX_CUSTOMER_ID = 1 << 33  # exclusive upper bound of customer ids
MAX_INTEGER_DIGITS = 15
CALL_TERMS_CACHE_SIZE = 512  # maximum number of distinct X-Call-Terms values cached
_UNITS_PATTERN = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
_REQUEST_ID_PATTERN = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
_CUSTOMER_ID_PATTERN = re.compile(rb"[0-9A-Fa-f]{16}")
_IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-~]{1,128}")


class BadRequestError(ValueError):
    """A request is invalid; the text names the invalid part, `status` is the HTTP status of the response."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class RequestHead(NamedTuple):
    """The validated values from a request's head. They are the first fields of an IncomingRequest."""

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
    """Validates requests against the settings in force."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {request_class.name.encode(): request_class for request_class in settings.classes}
        self._plans = {plan.name.encode(): plan.name for plan in settings.plans}
        # Customers repeat the same X-Call-Terms, so parsed values are cached; errors are not.
        self._call_terms = functools.lru_cache(CALL_TERMS_CACHE_SIZE)(
            functools.partial(parse_call_terms, gateways=settings.gateway_count, max_units=settings.max_units)
        )

    def validate(
        self, method: bytes, target: bytes, headers: Mapping[bytes, bytes], has_body: bool
    ) -> RequestHead:
        """Validate a request whose target is a path (see `origin_form`), and return the values from its head.
        Raises BadRequestError."""
        request_class = self._request_class(method, target, has_body)
        key = _idempotency_key(request_class, headers)
        request_id = required_header(headers, b"x-request-id")
        customer = required_header(headers, b"x-api-key")
        if not _REQUEST_ID_PATTERN.fullmatch(request_id):
            raise BadRequestError(
                "x-request-id: expected 1 to 64 characters of A-Z, a-z, 0-9, '.', '_', '~', '-'"
            )
        if not _CUSTOMER_ID_PATTERN.fullmatch(customer) or int(customer, 16) >= MAX_CUSTOMER_ID:
            raise BadRequestError(f"x-api-key: expected 16 hexadecimal digits below {MAX_CUSTOMER_ID:x}")
        plan = self._plans.get(required_header(headers, b"x-tier"))
        if plan is None:
            raise BadRequestError("x-tier: not the name of a plan in the settings")
        timeout_ms = parse_integer(required_header(headers, b"x-deadline-ms"), 1)
        units, spread, first = self._call_terms(required_header(headers, b"x-call-terms"))
        return RequestHead(
            request_id,
            customer.decode(),
            request_class,
            plan,
            min(timeout_ms, request_class.deadline_ms),
            units,
            spread,
            first,
            headers.get(b"x-retry") == b"1",
            key,
        )

    def _request_class(self, method: bytes, target: bytes, has_body: bool) -> RequestClass:
        """Return the request class named by the first segment of the target's path. Raises BadRequestError if
        there is none, or if the class does not allow the method or the body."""
        if not target.startswith(b"/"):
            raise BadRequestError("request target: expected a path beginning with '/'")
        request_class = self._classes.get(target[1:].partition(b"?")[0].partition(b"/")[0])
        if request_class is None:
            raise BadRequestError("request target: the first segment is not the name of a request class", 404)
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        if method not in ((b"GET", b"HEAD") if is_idempotent else (b"POST",)):
            expected = "GET or HEAD" if is_idempotent else "POST"
            raise BadRequestError(f"method: request class {request_class.name} expects {expected}", 405)
        if has_body and method != b"POST":
            raise BadRequestError("a GET or HEAD request must not have a body")
        return request_class


def _idempotency_key(request_class: RequestClass, headers: Mapping[bytes, bytes]) -> bytes | None:
    """Return the idempotency key, or None if the class takes none. Raises BadRequestError if the key is
    missing or malformed, or sent for a class that takes none."""
    key = headers.get(b"idempotency-key")
    if request_class.idempotency is Idempotency.KEYED:
        if key is None or not _IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
            raise BadRequestError("idempotency-key: expected 1 to 128 visible ASCII characters")
    elif key is not None:
        raise BadRequestError(f"idempotency-key: request class {request_class.name} takes none")
    return key


def origin_form(target: bytes) -> bytes:
    """Return the path and query of a request target, without scheme and host if it is in absolute form
    (RFC 9112, 3.2.2)."""
    if target[:7].lower() != b"http://":
        return target
    rest = target[7:]
    path = rest.find(b"/")
    query = rest.find(b"?")
    if path >= 0 and (query < 0 or path < query):
        return rest[path:]
    return b"/" + rest[query:] if query >= 0 else b"/"


def parse_integer(text: bytes, minimum: int, maximum: float = math.inf) -> int:
    """Parse an integer of decimal digits between `minimum` and `maximum`; raises BadRequestError."""
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS or not minimum <= int(text) <= maximum:
        raise BadRequestError(f"{text[:20]!r}: expected an integer from {minimum} to {maximum}")
    return int(text)


def parse_call_terms(text: bytes, *, gateways: int, max_units: float) -> tuple[float, int, int]:
    """Parse X-Call-Terms and return its units, spread and first; raises BadRequestError."""
    terms: dict[bytes, bytes] = {}
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name in terms:
            raise BadRequestError(f"X-Call-Terms: {name[:20]!r} is given twice")
        terms[name] = value
    if not terms.keys() >= {b"units", b"spread", b"first"}:
        raise BadRequestError("X-Call-Terms: expected units, spread and first")
    if not _UNITS_PATTERN.fullmatch(terms[b"units"]) or not 0 < float(terms[b"units"]) <= max_units:
        raise BadRequestError(f"X-Call-Terms: expected units above 0 and up to {max_units:g}")
    return (
        float(terms[b"units"]),
        parse_integer(terms[b"spread"], 1, gateways),
        parse_integer(terms[b"first"], 0, gateways - 1),
    )


def required_header(headers: Mapping[bytes, bytes], name: bytes) -> bytes:
    """Return the value of a mandatory header; raises BadRequestError if it is missing or empty."""
    value = headers.get(name)
    if not value:
        raise BadRequestError(f"{name.decode()}: header is missing or empty")
    return value
