"""The token's bytes, and its signature.

Binary form: version byte, key id byte, floor, number of entries, then group, epoch and position of each
(unsigned LEB128 varints; groups as the difference from the entry before), then the first 16 bytes of an
HMAC-SHA-256 (RFC 2104, RFC 6234) over all that precedes. Text form: base64url without padding
(RFC 4648, section 5). A token that was not signed by one of the live keys is an error, never a guess.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

from juniperreel.causal.token import MAX_ENTRIES, Token

VERSION = 1
MAC_BYTES = 16
MAX_BYTES = 2 + 10 + 2 + MAX_ENTRIES * (5 + 10 + 10) + MAC_BYTES
MIN_KEY_BYTES = 16
MAX_VARINT_BYTES = 10


class TokenError(ValueError):
    """The bytes are not a token that this program issued; the text says why, in words fit for a client."""


class Keyring:
    """Signs with the first key and accepts all of them, so that a key is rotated in two steps: the new
    one is added behind the old one everywhere, then moved to the front, then the old one is dropped."""

    def __init__(self, keys: list[tuple[int, bytes]]) -> None:
        """`keys`: (id 0 to 255, secret of at least 16 bytes); ValueError otherwise."""
        if not 1 <= len(keys) <= 2 or len({number for number, _ in keys}) != len(keys):
            raise ValueError("one or two keys with ids of their own are needed")
        for number, secret in keys:
            if not 0 <= number <= 255 or len(secret) < MIN_KEY_BYTES:
                raise ValueError(f"key {number}: ids are 0 to 255, secrets {MIN_KEY_BYTES} bytes or more")
        self._keys = dict(keys)
        self._signer = keys[0][0]

    def encode(self, token: Token) -> bytes:
        out = bytearray((VERSION, self._signer))
        put(out, token.floor)
        put(out, len(token.entries))
        last = 0
        for (group, epoch), position in token.entries.items():  # sorted by group, as the normal form is
            put(out, group - last)
            put(out, epoch)
            put(out, position)
            last = group
        return bytes(out) + self._mac(self._signer, bytes(out))

    def encode_text(self, token: Token) -> str:
        return base64.urlsafe_b64encode(self.encode(token)).rstrip(b"=").decode("ascii")

    def decode(self, data: bytes) -> Token:
        """Raises TokenError. The signature is checked before anything is read out of the bytes."""
        if not data:
            raise TokenError("the token is empty")
        if len(data) > MAX_BYTES:
            raise TokenError(f"the token has {len(data)} bytes; none has over {MAX_BYTES}")
        if data[0] != VERSION:
            raise TokenError(f"token version {data[0]} is not known")
        if len(data) < 4 + MAC_BYTES:
            raise TokenError("the token is cut short")
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if data[1] not in self._keys or not hmac.compare_digest(mac, self._mac(data[1], body)):
            raise TokenError("the token's signature does not hold")
        return self._read(body)

    def decode_text(self, text: str) -> Token:
        if len(text) > 2 * MAX_BYTES:
            raise TokenError(f"the token has {len(text)} characters; none has that many")
        try:
            padded = text.encode("ascii") + b"=" * (-len(text) % 4)
            data = base64.b64decode(padded, altchars=b"-_", validate=True)
        except (UnicodeEncodeError, binascii.Error):
            raise TokenError("the token is not base64url") from None
        return self.decode(data)

    def _mac(self, number: int, body: bytes) -> bytes:
        return hmac.new(self._keys[number], body, hashlib.sha256).digest()[:MAC_BYTES]

    @staticmethod
    def _read(body: bytes) -> Token:
        floor, at = take(body, 2)
        count, at = take(body, at)
        if count > MAX_ENTRIES:
            raise TokenError(f"the token has {count} entries; none has over {MAX_ENTRIES}")
        entries: dict[tuple[int, int], int] = {}
        group = 0
        for _ in range(count):
            step, at = take(body, at)
            epoch, at = take(body, at)
            position, at = take(body, at)
            group += step
            entries[group, epoch] = position
        if at != len(body):
            raise TokenError("bytes follow the token's last entry")
        try:
            return Token.of(entries, floor)
        except ValueError as error:
            raise TokenError(str(error)) from None


def put(out: bytearray, value: int) -> None:
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)


def take(body: bytes, at: int) -> tuple[int, int]:
    value = 0
    for shift in range(MAX_VARINT_BYTES):
        if at + shift >= len(body):
            raise TokenError("the token ends inside a number")
        byte = body[at + shift]
        value |= (byte & 0x7F) << (7 * shift)
        if byte < 0x80:
            return value, at + shift + 1
    raise TokenError("a number in the token is too long")
