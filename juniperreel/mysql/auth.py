"""Password authentication by `mysql_native_password` and `caching_sha2_password`.

The server stores no password, only the hashes needed to verify a response to its nonce. The verification
takes the same time whether the user or the password is wrong.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from dataclasses import dataclass

NATIVE = "mysql_native_password"
SHA2 = "caching_sha2_password"
NONCE_BYTES = 20


def sha1(*parts: bytes) -> bytes:
    """SHA-1 of the concatenated parts."""
    return hashlib.sha1(b"".join(parts), usedforsecurity=False).digest()


def sha256(*parts: bytes) -> bytes:
    """SHA-256 of the concatenated parts."""
    return hashlib.sha256(b"".join(parts)).digest()


def xor(first: bytes, second: bytes) -> bytes:
    """Bitwise exclusive or of two byte strings of the same length."""
    return bytes(one ^ other for one, other in zip(first, second, strict=True))


@dataclass(frozen=True, slots=True)
class Credential:
    """The doubly hashed password, as each of the two plugins needs it."""

    native: bytes
    sha2: bytes

    @staticmethod
    def from_password(password: bytes) -> Credential:
        """Return the credential of a password."""
        return Credential(sha1(sha1(password)), sha256(sha256(password)))

    def verify(self, plugin: str, nonce: bytes, response: bytes) -> bool:
        """Whether a client's `response` to `nonce` proves that it knows the password.

        With both plugins, the response is the singly hashed password, XORed with a hash of the nonce and the
        doubly hashed password.
        """
        if plugin == NATIVE:
            return self._matches(sha1, self.native, sha1(nonce, self.native), response)
        if plugin == SHA2:
            return self._matches(sha256, self.sha2, sha256(self.sha2, nonce), response)
        return False

    @staticmethod
    def _matches(digest: Callable[[bytes], bytes], stored: bytes, mask: bytes, response: bytes) -> bool:
        if len(response) != len(mask):
            return False
        return hmac.compare_digest(digest(xor(response, mask)), stored)


# Verified for unknown users, so that the response time does not reveal which users exist.
PLACEHOLDER_CREDENTIAL = Credential.from_password(b"\0nobody")


def auth_response(plugin: str, password: bytes, nonce: bytes) -> bytes | None:
    """Return the client's response to a server's nonce; None for an unsupported plugin."""
    if plugin not in (NATIVE, SHA2):
        return None
    if not password:
        return b""
    if plugin == NATIVE:
        hashed = sha1(password)
        return xor(hashed, sha1(nonce, sha1(hashed)))
    hashed = sha256(password)
    return xor(hashed, sha256(sha256(hashed), nonce))
