"""Protocol state of one connection on the server. No I/O, no policy.

Turns received bytes into events, and responses into bytes to send.

    GREETING -> AUTH -> (SWITCH) -> READY <-> BUSY -> CLOSED

In READY, the next command is returned as an event. In BUSY, `ok`, `error`, `result` and similar methods write
its response and return to READY. Pipelined commands are buffered until then.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from juniperreel.mysql.auth import NATIVE, NONCE_BYTES, PLACEHOLDER_CREDENTIAL, SHA2, Credential
from juniperreel.mysql.columns import Column, encode_column
from juniperreel.mysql.constants import (
    AUTH_MORE_DATA,
    AUTH_SWITCH,
    EOF,
    OK,
    UTF8MB4,
    Capability,
    ColumnType,
    CommandCode,
    ServerStatus,
)
from juniperreel.mysql.packets import Cursor, PacketReader, ProtocolError, encode_length, encode_packets
from juniperreel.mysql.parameters import decode_query_attributes
from juniperreel.mysql.replies import MAX_WARNINGS, Ok, encode_err, encode_ok
from juniperreel.mysql.rows import encode_text_row
from juniperreel.mysql.values import Value

ACCESS_DENIED = (1045, "28000")
UNKNOWN_COMMAND = 1047
UNKNOWN_DATABASE = (1049, "42000")
OLD_CLIENT = (1251, "08004")
INVALID_CHARACTERS = (1300, "HY000")

VERSION = b"8.0.36-juniperreel"
PROTOCOL_VERSION = b"\x0a"
MAX_LOGIN_BYTES = 16 << 10  # maximum packet size before the login
SSL_REQUEST_BYTES = 32  # a login packet that ends before the user name
FIRST_NONCE_BYTES = 8  # the first of the two parts of the nonce in the greeting
FAST_AUTH_SUCCESS = bytes((AUTH_MORE_DATA, 0x03))  # caching_sha2_password verified the stored hash

OFFERED = (
    Capability.LONG_PASSWORD
    | Capability.FOUND_ROWS
    | Capability.LONG_FLAG
    | Capability.CONNECT_WITH_DB
    | Capability.PROTOCOL_41
    | Capability.TRANSACTIONS
    | Capability.SECURE_CONNECTION
    | Capability.MULTI_RESULTS
    | Capability.PS_MULTI_RESULTS
    | Capability.PLUGIN_AUTH
    | Capability.CONNECT_ATTRS
    | Capability.PLUGIN_AUTH_LENENC
    | Capability.SESSION_TRACK
    | Capability.DEPRECATE_EOF
    | Capability.QUERY_ATTRIBUTES
)
REQUIRED_CAPABILITIES = Capability.PROTOCOL_41 | Capability.SECURE_CONNECTION


class State(Enum):
    """The states of a connection; see the module's docstring."""

    GREETING = "greeting"
    AUTH = "auth"
    SWITCH = "switch"
    READY = "ready"
    BUSY = "busy"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class LoggedIn:
    """The client logged in, possibly by COM_CHANGE_USER. `charset` is the collation id that it requested."""

    user: str
    database: str
    charset: int


@dataclass(frozen=True, slots=True)
class Command:
    """A command that needs a response. `kind` may be a code that CommandCode does not define.

    `attributes` are those of a COM_QUERY; those of a COM_STMT_EXECUTE are left in the payload.
    """

    kind: int
    payload: bytes
    attributes: Mapping[str, Value] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StartTls:
    """The client requested TLS: `rest` and all bytes received from now on belong to the TLS layer."""

    rest: bytes


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection has ended: close the socket once all data is sent."""

    reason: str


Event = LoggedIn | Command | StartTls | ConnectionClosed


class ServerSession:
    """The protocol state of one connection."""

    def __init__(
        self,
        connection_id: int,
        nonce: bytes,
        credentials: Callable[[str], Credential | None],
        max_packet: int,
        plugin: str = SHA2,
        tls: bool = False,
        version: bytes = VERSION,
        schema: str = "",
    ) -> None:
        """Starts in GREETING; `start` sends the greeting.

        Args:
            connection_id: Sent to the client in the greeting.
            nonce: NONCE_BYTES random bytes, none of them NUL.
            credentials: Returns a user's credential, or None if the user is unknown.
            max_packet: Maximum size of a command in bytes.
            plugin: The authentication plugin that the greeting offers.
            tls: Whether TLS is offered; a client may request it once, before it logs in.
            version: The server version in the greeting.
            schema: The only schema that clients may use; empty to accept any.
        """
        if len(nonce) != NONCE_BYTES or 0 in nonce:
            raise ValueError(f"a nonce has {NONCE_BYTES} bytes, none of them NUL")
        self.connection_id = connection_id
        self.state = State.GREETING
        self.capabilities = 0
        self.status = int(ServerStatus.AUTOCOMMIT)
        self._version = version
        self._schema = schema
        self._offered = OFFERED | (Capability.SSL if tls else 0)
        self._tls_available = tls
        self._nonce = nonce
        self._plugin = plugin
        self._credentials = credentials
        self._max_packet = max_packet
        self._reader = PacketReader(MAX_LOGIN_BYTES)
        self._out = bytearray()
        self._sequence = 0
        self._login: LoggedIn | None = None

    # Bytes.

    def data_to_send(self) -> bytes:
        """Remove and return the bytes to send."""
        data = bytes(self._out)
        self._out = bytearray()
        return data

    def _send(self, payload: bytes) -> None:
        data, self._sequence = encode_packets(payload, self._sequence)
        self._out += data
        self._reader.sequence = self._sequence

    @property
    def buffered_bytes(self) -> int:
        """Bytes of buffered commands; callers should stop receiving while this is large."""
        return self._reader.buffered_bytes

    def start(self) -> None:
        """Send the greeting."""
        self._send(
            PROTOCOL_VERSION
            + self._version
            + b"\0"
            + self.connection_id.to_bytes(4, "little")
            + self._nonce[:FIRST_NONCE_BYTES]
            + b"\0"
            + (self._offered & 0xFFFF).to_bytes(2, "little")
            + bytes((UTF8MB4,))
            + self.status.to_bytes(2, "little")
            + (self._offered >> 16).to_bytes(2, "little")
            + bytes((NONCE_BYTES + 1,))
            + bytes(10)
            + self._nonce[FIRST_NONCE_BYTES:]
            + b"\0"
            + self._plugin.encode()
            + b"\0"
        )
        self.state = State.AUTH

    def receive(self, data: bytes) -> list[Event]:
        """Process received bytes.

        Never raises: a client that breaks the protocol gets an error, and the connection is closed.
        """
        if self.state is State.CLOSED:
            return []
        self._reader.feed(data)
        return self._process_packets()

    def _process_packets(self) -> list[Event]:
        events: list[Event] = []
        try:
            while self.state not in (State.BUSY, State.CLOSED):
                payload = self._reader.next_payload()
                if payload is None:
                    break
                if self._is_ssl_request(payload):
                    self._tls_available = False
                    events.append(StartTls(self._reader.take_remainder()))
                    break
                events.extend(self._on_packet(payload))
        except ProtocolError as error:
            self._sequence = self._reader.sequence
            self._send_error(error.code, error.sqlstate, str(error))
            events.append(self.close(str(error)))
        return events

    def _is_ssl_request(self, payload: bytes) -> bool:
        if self.state is not State.AUTH or not self._tls_available or len(payload) != SSL_REQUEST_BYTES:
            return False
        return bool(int.from_bytes(payload[:4], "little") & Capability.SSL)

    def close(self, reason: str) -> ConnectionClosed:
        """Accept no more commands; data that is already queued should still be sent."""
        self.state = State.CLOSED
        return ConnectionClosed(reason)

    def _on_packet(self, payload: bytes) -> list[Event]:
        self._sequence = self._reader.sequence
        if self.state is State.AUTH:
            return self._on_login(Cursor(payload))
        if self.state is State.SWITCH:
            return self._authenticate(self._plugin, payload)
        return self._on_command(payload)

    def _on_command(self, payload: bytes) -> list[Event]:
        if not payload:
            raise ProtocolError("an empty command", UNKNOWN_COMMAND)
        kind = payload[0]
        if kind == CommandCode.QUIT:
            return [self.close("quit")]
        self.state = State.BUSY
        if kind == CommandCode.QUERY and self.supports_attributes:
            cursor = Cursor(payload)
            cursor.take(1)
            attributes = decode_query_attributes(cursor)
            return [Command(CommandCode.QUERY, cursor.remainder(), attributes)]
        if kind == CommandCode.CHANGE_USER:
            return self._on_change_user(Cursor(payload[1:]))
        return [Command(kind, payload[1:])]

    @property
    def supports_attributes(self) -> bool:
        """Whether query attributes were negotiated."""
        return bool(self.capabilities & Capability.QUERY_ATTRIBUTES)

    # Login.

    def _on_login(self, cursor: Cursor) -> list[Event]:
        capabilities = cursor.integer(4)
        if capabilities & REQUIRED_CAPABILITIES != REQUIRED_CAPABILITIES:
            raise ProtocolError("clients before version 4.1 are not served", *OLD_CLIENT)
        self.capabilities = capabilities & OFFERED
        cursor.integer(4)  # the client's maximum packet size, which is larger than ours
        charset = cursor.integer(1)
        cursor.take(23)
        user = decode_name(cursor.nul_terminated())
        if self.capabilities & Capability.PLUGIN_AUTH_LENENC:
            response = cursor.string()
        else:
            response = cursor.take(cursor.integer(1))
        database = ""
        if self.capabilities & Capability.CONNECT_WITH_DB and cursor.remaining:
            database = decode_name(cursor.nul_terminated())
        plugin = self._read_plugin(cursor)
        self._login = LoggedIn(user, database, charset)
        if plugin in (NATIVE, SHA2) and response:
            return self._authenticate(plugin, response)
        self._request_authentication()
        return []

    def _on_change_user(self, cursor: Cursor) -> list[Event]:
        """Process a new login on the same connection, which is closed if the login fails."""
        user = decode_name(cursor.nul_terminated())
        response = cursor.take(cursor.integer(1))
        database = decode_name(cursor.nul_terminated())
        charset = cursor.integer(2) if cursor.remaining >= 2 else UTF8MB4
        plugin = self._read_plugin(cursor)
        self._login = LoggedIn(user, database, charset)
        if plugin == self._plugin and response:
            return self._authenticate(plugin, response)
        self._request_authentication()
        return []

    def _read_plugin(self, cursor: Cursor) -> str:
        if self.capabilities & Capability.PLUGIN_AUTH and cursor.remaining:
            return decode_name(cursor.nul_terminated())
        return NATIVE

    def _request_authentication(self) -> None:
        """Send AuthSwitchRequest to a client that used another plugin or sent no response."""
        self._send(bytes((AUTH_SWITCH,)) + self._plugin.encode() + b"\0" + self._nonce + b"\0")
        self.state = State.SWITCH

    def _authenticate(self, plugin: str, response: bytes) -> list[Event]:
        login = self._login
        assert login is not None
        credential = self._credentials(login.user)
        verified = (credential or PLACEHOLDER_CREDENTIAL).verify(plugin, self._nonce, response)
        if credential is None or not verified:
            # The message must not reveal whether the user or the password is wrong.
            self._send_error(*ACCESS_DENIED, f"Access denied for user '{login.user[:32]}'")
            return [self.close("access denied")]
        if not self.accepts_database(login.database):
            self._send_error(*UNKNOWN_DATABASE, f"Unknown database '{login.database[:64]}'")
            return [self.close("no such database")]
        if plugin == SHA2:
            self._send(FAST_AUTH_SUCCESS)
        self.state = State.BUSY
        self._reader.limit = self._max_packet
        return [login, *self.ok()]

    @property
    def client_reads_several_results(self) -> bool:
        """Whether the client reads further results of one command."""
        return bool(self.capabilities & Capability.MULTI_RESULTS)

    def accepts_database(self, database: str) -> bool:
        """Whether a client may use the database."""
        return not database or not self._schema or database.lower() == self._schema.lower()

    # Responses. Each method returns the events of commands that were buffered meanwhile.

    def _finish_command(self) -> list[Event]:
        self._sequence = 0
        self._reader.sequence = 0
        self.state = State.READY
        return self._process_packets()

    def ok(
        self,
        affected: int = 0,
        insert_id: int = 0,
        info: str = "",
        warnings: int = 0,
        tracked: Sequence[tuple[int, bytes]] = (),
        more: bool = False,
    ) -> list[Event]:
        """Send an OK packet; `tracked` are session changes. With `more`, another result follows."""
        status = self._result_status(more)
        packet = Ok(affected, insert_id, status, warnings, info.encode(), tuple(tracked))
        self._send(encode_ok(OK, packet, self.capabilities))
        return [] if more else self._finish_command()

    def _result_status(self, more: bool) -> int:
        return self.status | (ServerStatus.MORE_RESULTS if more else 0)

    def error(self, code: int, sqlstate: str, message: str) -> list[Event]:
        """Send an ERR packet; within a result set, it ends the result set."""
        self._send_error(code, sqlstate, message)
        return self._finish_command()

    def _send_error(self, code: int, sqlstate: str, message: str) -> None:
        self._send(encode_err(code, sqlstate, message))

    def no_response(self) -> list[Event]:
        """End a command that has no response."""
        return self._finish_command()

    def statistics(self, text: str) -> list[Event]:
        """Respond to COM_STATISTICS."""
        self._send(text.encode())
        return self._finish_command()

    def option_set(self) -> list[Event]:
        """Respond to COM_SET_OPTION, with an EOF packet regardless of the capabilities."""
        self._send_eof(0, self.status)
        return self._finish_command()

    def prepared(self, statement_id: int, parameters: int) -> list[Event]:
        """Respond to COM_STMT_PREPARE. Columns are described only in results, as MySQL does for SHOW."""
        self._send(
            bytes((OK,))
            + statement_id.to_bytes(4, "little")
            + bytes(2)
            + parameters.to_bytes(2, "little")
            + bytes(3)
        )
        for _ in range(parameters):
            self._send(encode_column(Column("?", ColumnType.VAR_STRING)))
        if parameters and not self.capabilities & Capability.DEPRECATE_EOF:
            self._send_eof(0, self.status)
        return self._finish_command()

    def result(
        self,
        columns: Sequence[Column],
        rows: Iterable[Sequence[Value]],
        encode_row: Callable[[Sequence[Column], Sequence[Value]], bytes] | None = None,
    ) -> list[Event]:
        """Send a result set, with rows encoded by `encode_row`, or else in the text protocol."""
        self.begin_result(columns)
        if encode_row is None:
            self.rows(encode_text_row(values) for values in rows)
        else:
            self.rows(encode_row(columns, values) for values in rows)
        return self.end_result()

    # Result sets sent in parts, for those that are too large to hold in memory.

    def begin_result(self, columns: Sequence[Column]) -> None:
        """Send the column definitions."""
        self._send(encode_length(len(columns)))
        for column in columns:
            self._send(encode_column(column))
        if not self.capabilities & Capability.DEPRECATE_EOF:
            self._send_eof(0, self.status)

    def rows(self, payloads: Iterable[bytes]) -> None:
        """Send encoded rows."""
        for payload in payloads:
            self._send(payload)

    def end_result(
        self, warnings: int = 0, tracked: Sequence[tuple[int, bytes]] = (), more: bool = False
    ) -> list[Event]:
        """End the result set. With `more`, a result set, OK or ERR follows for the same command."""
        status = self._result_status(more)
        if self.capabilities & Capability.DEPRECATE_EOF:
            packet = Ok(status=status, warnings=warnings, tracked=tuple(tracked))
            self._send(encode_ok(EOF, packet, self.capabilities))
        else:
            self._send_eof(warnings, status)
        return [] if more else self._finish_command()

    def _send_eof(self, warnings: int, status: int) -> None:
        self._send(
            bytes((EOF,)) + min(warnings, MAX_WARNINGS).to_bytes(2, "little") + status.to_bytes(2, "little")
        )


def decode_name(data: bytes) -> str:
    """Decode the name of a user, database or plugin. Raises ProtocolError."""
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError:
        raise ProtocolError("a name is not UTF-8", *INVALID_CHARACTERS) from None
