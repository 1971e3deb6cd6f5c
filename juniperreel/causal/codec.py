"""Encoding and signing of causal tokens.

Binary form: version byte, key id byte, floor, number of entries, then group, epoch and position of each entry
(unsigned LEB128 varints; groups are delta-encoded), then the first 16 bytes of an HMAC-SHA-256 (RFC 2104,
RFC 6234) over all preceding bytes. Text form: base64url without padding (RFC 4648, section 5). A token that
is not signed with one of the active keys is rejected.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from typing import NamedTuple

from juniperreel.causal.token import MAX_ENTRIES, Token

VERSION = 1
HEADER_BYTES = 2  # version and key id
MAC_BYTES = 16
MIN_BODY_BYTES = HEADER_BYTES + 2  # floor and number of entries
MAX_BYTES = 2 + 10 + 2 + MAX_ENTRIES * (5 + 10 + 10) + MAC_BYTES
MAX_TEXT_LENGTH = 2 * MAX_BYTES
MIN_KEY_BYTES = 16
MAX_KEY_ID = 255
MAX_KEYS = 2
MAX_VARINT_BYTES = 10


class TokenError(ValueError):
    """The data is not a token issued by this program. The message may be sent to clients."""


class SigningKey(NamedTuple):
    """A secret for signing tokens, and its id, which tokens contain."""

    id: int
    secret: bytes


class Keyring:
    """Encodes tokens signed with the first key, and decodes tokens signed with any of its keys.

    Keys are rotated in three steps: the new key is appended after the old one on every proxy, then moved to
    the front, then the old one is removed.
    """

    def __init__(self, keys: Sequence[SigningKey]) -> None:
        """Raise ValueError unless there are one or two keys with distinct, valid ids and secrets."""
        if not 1 <= len(keys) <= MAX_KEYS or len({key.id for key in keys}) != len(keys):
            raise ValueError("one or two keys with different ids are needed")
        for key in keys:
            if not 0 <= key.id <= MAX_KEY_ID or len(key.secret) < MIN_KEY_BYTES:
                raise ValueError(f"key {key.id}: ids are 0 to 255, secrets {MIN_KEY_BYTES} bytes or more")
        self._secrets = {key.id: key.secret for key in keys}
        self._signing_id = keys[0].id

    def encode(self, token: Token) -> bytes:
        """Return the signed binary form of a token."""
        body = bytearray((VERSION, self._signing_id))
        append_varint(body, token.floor)
        append_varint(body, len(token.entries))
        previous_group = 0
        for (group, epoch), position_us in token.entries.items():  # the normal form is sorted by group
            append_varint(body, group - previous_group)
            append_varint(body, epoch)
            append_varint(body, position_us)
            previous_group = group
        return bytes(body) + self._mac(self._signing_id, bytes(body))

    def encode_text(self, token: Token) -> str:
        """Return the signed text form of a token."""
        return base64.urlsafe_b64encode(self.encode(token)).rstrip(b"=").decode("ascii")

    def decode(self, data: bytes) -> Token:
        """Decode the binary form of a token. The signature is verified before the contents are parsed.

        Raises:
            TokenError: The token was not signed with one of the keys, or is malformed.
        """
        if not data:
            raise TokenError("the token is empty")
        if len(data) > MAX_BYTES:
            raise TokenError(f"the token has {len(data)} bytes; none has over {MAX_BYTES}")
        if data[0] != VERSION:
            raise TokenError(f"token version {data[0]} is not known")
        if len(data) < MIN_BODY_BYTES + MAC_BYTES:
            raise TokenError("the token is cut short")
        body = data[:-MAC_BYTES]
        mac = data[-MAC_BYTES:]
        key_id = data[1]
        if key_id not in self._secrets or not hmac.compare_digest(mac, self._mac(key_id, body)):
            raise TokenError("the token's signature does not hold")
        return parse_body(body)

    def decode_text(self, text: str) -> Token:
        """Decode the text form of a token.

        Raises:
            TokenError: As for `decode`, or the text is not base64url.
        """
        if len(text) > MAX_TEXT_LENGTH:
            raise TokenError(f"the token has {len(text)} characters; none has that many")
        try:
            padded = text.encode("ascii") + b"=" * (-len(text) % 4)
            data = base64.b64decode(padded, altchars=b"-_", validate=True)
        except (UnicodeEncodeError, binascii.Error):
            raise TokenError("the token is not base64url") from None
        return self.decode(data)

    def _mac(self, key_id: int, body: bytes) -> bytes:
        return hmac.new(self._secrets[key_id], body, hashlib.sha256).digest()[:MAC_BYTES]


class VarintReader:
    """Reads a sequence of unsigned LEB128 varints."""

    def __init__(self, data: bytes, offset: int) -> None:
        self._data = data
        self._offset = offset

    @property
    def at_end(self) -> bool:
        """Whether all bytes have been read."""
        return self._offset == len(self._data)

    def read(self) -> int:
        """Read the next number.

        Raises:
            TokenError: The number is truncated, or longer than `MAX_VARINT_BYTES`.
        """
        value = 0
        for index in range(MAX_VARINT_BYTES):
            if self._offset >= len(self._data):
                raise TokenError("the token ends inside a number")
            byte = self._data[self._offset]
            self._offset += 1
            value |= (byte & 0x7F) << (7 * index)
            if byte < 0x80:
                return value
        raise TokenError("a number in the token is too long")


def append_varint(out: bytearray, value: int) -> None:
    """Append a number as an unsigned LEB128 varint."""
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)


def parse_body(body: bytes) -> Token:
    """Decode the binary form of a token without its signature, which was already verified.

    Raises:
        TokenError: The body is malformed, or a number is out of range.
    """
    reader = VarintReader(body, HEADER_BYTES)
    floor = reader.read()
    count = reader.read()
    if count > MAX_ENTRIES:
        raise TokenError(f"the token has {count} entries; none has over {MAX_ENTRIES}")
    entries: dict[tuple[int, int], int] = {}
    group = 0
    for _ in range(count):
        group += reader.read()
        epoch = reader.read()
        entries[group, epoch] = reader.read()
    if not reader.at_end:
        raise TokenError("bytes follow the token's last entry")
    try:
        return Token.from_entries(entries, floor)
    except ValueError as error:
        raise TokenError(str(error)) from None
