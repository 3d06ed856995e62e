"""The fields of a worker's response head that the gateway uses."""

from __future__ import annotations

MAX_LENGTH_DIGITS = 15
MAX_RESPONSE_BYTES = 256 * 1024 * 1024  # maximum Content-Length of a response


class ResponseHead:
    """The head of one response, as far as it has been read."""

    __slots__ = (
        "content_type",
        "load_text",
        "is_marked_not_executed",
        "is_chunked",
        "content_length",
        "is_invalid",
    )

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget all fields."""
        self.content_type = b""
        self.load_text = b""
        self.is_marked_not_executed = False
        self.is_chunked = False
        self.content_length = -1  # value of Content-Length; -1 if missing
        self.is_invalid = False  # whether the length is malformed or too large

    def read_field(self, name: bytes, value: bytes) -> None:
        """Read a header, if it is one of those used here."""
        if len(name) in (6, 9, 12, 14):
            name = name.lower()
            value = value.strip(b" \t")  # surrounding whitespace is not part of the value (RFC 9110, 5.5)
            if name == b"x-load":
                self.load_text = value
            elif name == b"x-not-run":
                self.is_marked_not_executed = value == b"1"
            elif name == b"content-type":
                self.content_type = value
            elif name == b"content-length":
                self._read_content_length(value)
        elif len(name) == 17 and name.lower() == b"transfer-encoding":
            self.is_chunked = True

    def _read_content_length(self, value: bytes) -> None:
        self.is_invalid = (
            not value.isdigit()
            or len(value) > MAX_LENGTH_DIGITS
            or int(value) > MAX_RESPONSE_BYTES
            or self.content_length >= 0  # the header is repeated
        )
        self.content_length = -1 if self.is_invalid else int(value)
