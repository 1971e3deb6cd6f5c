"""Constants of the protocol, named as in its documentation."""

from __future__ import annotations

from enum import IntEnum

# Collations.
UTF8MB4 = 255  # utf8mb4_0900_ai_ci
BINARY = 63

# First bytes of packets, and of values in the text protocol.
OK = 0x00
AUTH_MORE_DATA = 0x01
NULL = 0xFB
LOCAL_INFILE = 0xFB
EOF = 0xFE
AUTH_SWITCH = 0xFE
ERR = 0xFF

# A packet that begins with EOF is an EOF packet only if it is shorter than this; otherwise it is a row.
MAX_EOF_BYTES = 9

PARAMETER_COUNT_AVAILABLE = 0x08  # flag of COM_STMT_EXECUTE: query attributes follow the parameters


class Capability(IntEnum):
    """CLIENT_ flags, which are negotiated during the login."""

    LONG_PASSWORD = 1
    FOUND_ROWS = 1 << 1
    LONG_FLAG = 1 << 2
    CONNECT_WITH_DB = 1 << 3
    LOCAL_FILES = 1 << 7
    PROTOCOL_41 = 1 << 9
    SSL = 1 << 11
    TRANSACTIONS = 1 << 13
    SECURE_CONNECTION = 1 << 15
    MULTI_STATEMENTS = 1 << 16
    MULTI_RESULTS = 1 << 17
    PS_MULTI_RESULTS = 1 << 18
    PLUGIN_AUTH = 1 << 19
    CONNECT_ATTRS = 1 << 20
    PLUGIN_AUTH_LENENC = 1 << 21
    SESSION_TRACK = 1 << 23
    DEPRECATE_EOF = 1 << 24
    QUERY_ATTRIBUTES = 1 << 27


class CommandCode(IntEnum):
    """COM_ codes: the first byte of a command."""

    QUIT = 0x01
    INIT_DB = 0x02
    QUERY = 0x03
    FIELD_LIST = 0x04
    STATISTICS = 0x09
    PING = 0x0E
    CHANGE_USER = 0x11
    STMT_PREPARE = 0x16
    STMT_EXECUTE = 0x17
    STMT_SEND_LONG_DATA = 0x18
    STMT_CLOSE = 0x19
    STMT_RESET = 0x1A
    SET_OPTION = 0x1B
    RESET_CONNECTION = 0x1F


class ColumnType(IntEnum):
    """MYSQL_TYPE_ codes of columns and parameters."""

    DECIMAL = 0
    TINY = 1
    SHORT = 2
    LONG = 3
    FLOAT = 4
    DOUBLE = 5
    NULL = 6
    TIMESTAMP = 7
    LONGLONG = 8
    INT24 = 9
    DATE = 10
    TIME = 11
    DATETIME = 12
    YEAR = 13
    VARCHAR = 15
    BIT = 16
    JSON = 245
    NEWDECIMAL = 246
    ENUM = 247
    SET = 248
    TINY_BLOB = 249
    MEDIUM_BLOB = 250
    LONG_BLOB = 251
    BLOB = 252
    VAR_STRING = 253
    STRING = 254
    GEOMETRY = 255


class ServerStatus(IntEnum):
    """SERVER_STATUS_ flags of OK and EOF packets."""

    IN_TRANSACTION = 1
    AUTOCOMMIT = 2
    MORE_RESULTS = 8
    NO_BACKSLASH_ESCAPES = 0x200
    IN_READ_ONLY = 0x2000
    STATE_CHANGED = 0x4000


class ColumnFlag(IntEnum):
    """Flags of a column definition."""

    UNSIGNED = 0x20
    BINARY = 0x80


class SessionTrackType(IntEnum):
    """SESSION_TRACK_ codes of session changes in an OK packet."""

    SYSTEM_VARIABLE = 0
    SCHEMA = 1
    STATE_CHANGE = 2
    GTIDS = 3
    TRANSACTION_CHARACTERISTICS = 4
    TRANSACTION_STATE = 5
