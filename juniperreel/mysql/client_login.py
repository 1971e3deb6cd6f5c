"""The connection phase on the client: greeting, TLS, authentication. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from juniperreel.mysql.auth import NATIVE, NONCE_BYTES, SHA2, auth_response
from juniperreel.mysql.constants import AUTH_MORE_DATA, AUTH_SWITCH, OK, UTF8MB4, Capability
from juniperreel.mysql.packets import Cursor, ProtocolError, encode_string

REQUESTED_CAPABILITIES = (
    Capability.LONG_PASSWORD
    | Capability.LONG_FLAG
    | Capability.PROTOCOL_41
    | Capability.TRANSACTIONS
    | Capability.SECURE_CONNECTION
    | Capability.MULTI_RESULTS
    | Capability.PS_MULTI_RESULTS
    | Capability.PLUGIN_AUTH
    | Capability.PLUGIN_AUTH_LENENC
    | Capability.SESSION_TRACK
    | Capability.DEPRECATE_EOF
    | Capability.QUERY_ATTRIBUTES
)
REQUIRED_CAPABILITIES = Capability.PROTOCOL_41 | Capability.SECURE_CONNECTION
PROTOCOL_VERSION = 10
FIRST_NONCE_BYTES = 8  # the first of the two parts of the nonce in the greeting
MIN_SECOND_NONCE_BYTES = 13  # including the terminating NUL
MAX_ANNOUNCED_PACKET = 1 << 30

# Status bytes of caching_sha2_password.
FAST_AUTH_SUCCESS = 3
FULL_AUTH_REQUIRED = 4


@dataclass(frozen=True, slots=True)
class LoginOptions:
    """Credentials and options of a login."""

    user: str
    password: bytes
    database: str
    max_packet: int  # bytes
    tls: bool
    found_rows: bool  # the affected rows of an update are those it matched, not those it changed


class ClientLogin:
    """Builds the client's packets. Raises ProtocolError if it does not support what the server sends."""

    def __init__(self, options: LoginOptions) -> None:
        """Starts before the greeting."""
        self.capabilities = 0
        self.connection_id = 0
        self.version = ""
        self._options = options
        self._nonce = b""
        self._plugin = NATIVE
        self._tls_established = False

    def on_greeting(self, cursor: Cursor) -> None:
        """Process the server's greeting and negotiate the capabilities."""
        if cursor.integer(1) != PROTOCOL_VERSION:
            raise ProtocolError("not a server of protocol 10")
        self.version = cursor.nul_terminated().decode("ascii", "replace")
        self.connection_id = cursor.integer(4)
        nonce = cursor.take(FIRST_NONCE_BYTES)
        cursor.take(1)
        offered = cursor.integer(2)
        if not cursor.remaining:
            raise ProtocolError("a server before version 4.1")
        cursor.take(3)
        offered |= cursor.integer(2) << 16
        nonce_size = cursor.integer(1)
        cursor.take(10)
        second_part = MIN_SECOND_NONCE_BYTES
        if nonce_size:
            second_part = max(MIN_SECOND_NONCE_BYTES, nonce_size - FIRST_NONCE_BYTES)
        self._nonce = nonce + cursor.take(second_part - 1)[: NONCE_BYTES - FIRST_NONCE_BYTES]
        cursor.take(1)
        if offered & Capability.PLUGIN_AUTH:
            self._plugin = cursor.nul_terminated().decode("ascii", "replace")
        if offered & REQUIRED_CAPABILITIES != REQUIRED_CAPABILITIES:
            raise ProtocolError("a server before version 4.1")
        self._negotiate_capabilities(offered)

    def _negotiate_capabilities(self, offered: int) -> None:
        wanted = REQUESTED_CAPABILITIES | (Capability.CONNECT_WITH_DB if self._options.database else 0)
        wanted |= Capability.FOUND_ROWS if self._options.found_rows else 0
        self.capabilities = wanted & offered
        if self._options.tls:
            if not offered & Capability.SSL:
                raise ProtocolError("the server offers no TLS")
            self.capabilities |= Capability.SSL

    def ssl_request(self) -> bytes:
        """Return the packet that requests TLS, which is also the first part of the login packet."""
        return (
            self.capabilities.to_bytes(4, "little")
            + min(self._options.max_packet, MAX_ANNOUNCED_PACKET).to_bytes(4, "little")
            + bytes((UTF8MB4,))
            + bytes(23)
        )

    def on_tls_established(self) -> None:
        """Record that the connection is encrypted, and the server's certificate was verified."""
        self._tls_established = True

    def login(self) -> bytes:
        """Return the login packet, with the response to the greeting's nonce."""
        response = auth_response(self._plugin, self._options.password, self._nonce) or b""
        plugin = self._plugin if self._plugin in (NATIVE, SHA2) else SHA2
        payload = self.ssl_request() + self._options.user.encode() + b"\0"
        if self.capabilities & Capability.PLUGIN_AUTH_LENENC:
            payload += encode_string(response)
        else:
            payload += bytes((len(response),)) + response
        if self.capabilities & Capability.CONNECT_WITH_DB:
            payload += self._options.database.encode() + b"\0"
        if self.capabilities & Capability.PLUGIN_AUTH:
            payload += plugin.encode() + b"\0"
        return payload

    @staticmethod
    def completes_login(payload: bytes) -> bool:
        """Whether the server's packet completes the login."""
        return payload[:1] == bytes((OK,))

    def auth_reply(self, payload: bytes) -> bytes | None:
        """Return the response to an authentication packet, or None if it needs none."""
        if payload[:1] == bytes((AUTH_SWITCH,)):
            return self._switch_plugin(Cursor(payload[1:]))
        if payload[:2] == bytes((AUTH_MORE_DATA, FAST_AUTH_SUCCESS)):
            return None
        if payload[:2] == bytes((AUTH_MORE_DATA, FULL_AUTH_REQUIRED)):
            if not self._tls_established:
                # Without TLS, the password would be sent over the network in clear text.
                raise ProtocolError("the server wants the password itself, which needs TLS")
            return self._options.password + b"\0"
        raise ProtocolError("the login took a turn that is not known")

    def _switch_plugin(self, cursor: Cursor) -> bytes:
        self._plugin = cursor.nul_terminated().decode("ascii", "replace")
        self._nonce = cursor.remainder().rstrip(b"\0")[:NONCE_BYTES]
        response = auth_response(self._plugin, self._options.password, self._nonce)
        if response is None:
            raise ProtocolError(f"the server wants {self._plugin[:40]}, which is not spoken here")
        return response
