"""Column definitions of result sets ("Column Definition 41")."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache

from juniperreel.mysql.constants import BINARY, UTF8MB4, ColumnFlag, ColumnType
from juniperreel.mysql.packets import Cursor, encode_string

DEFAULT_CHARSET = -1  # determined by the type
MAX_COLUMN_LENGTH = 0xFFFFFF
UNKNOWN_DECIMALS = 0x1F
FIXED_FIELDS_BYTES = b"\x0c"  # length of the fixed-size fields after the names
CACHED_DEFINITIONS = 4096  # results repeat the same few column definitions

BLOB_TYPES = frozenset(
    {
        ColumnType.TINY_BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
        ColumnType.BLOB,
        ColumnType.BIT,
        ColumnType.GEOMETRY,
    }
)
STRING_TYPES = frozenset(
    {
        ColumnType.DECIMAL,
        ColumnType.VARCHAR,
        ColumnType.JSON,
        ColumnType.NEWDECIMAL,
        ColumnType.ENUM,
        ColumnType.SET,
        ColumnType.VAR_STRING,
        ColumnType.STRING,
    }
)


@dataclass(frozen=True, slots=True)
class Column:
    """A column of a result set. `type` may be a code that ColumnType does not define."""

    name: str
    type: int
    charset: int = DEFAULT_CHARSET
    length: int = MAX_COLUMN_LENGTH
    flags: int = 0
    decimals: int = UNKNOWN_DECIMALS
    schema: str = ""
    table: str = ""
    original_table: str = ""  # before aliasing
    original_name: str = ""

    @property
    def binary(self) -> bool:
        """Whether its values are bytes or numbers, not text."""
        return self.charset == BINARY or (self.charset < 0 and self.type not in STRING_TYPES)


@lru_cache(maxsize=CACHED_DEFINITIONS)
def encode_column(column: Column) -> bytes:
    """Return the payload of a column definition."""
    charset = column.charset
    flags = column.flags
    if charset < 0:
        charset = BINARY if column.binary else UTF8MB4
        flags |= ColumnFlag.BINARY if column.type in BLOB_TYPES else 0
    return (
        encode_string(b"def")
        + encode_string(column.schema.encode())
        + encode_string(column.table.encode())
        + encode_string(column.original_table.encode())
        + encode_string(column.name.encode())
        + encode_string((column.original_name or column.name).encode())
        + FIXED_FIELDS_BYTES
        + charset.to_bytes(2, "little")
        + column.length.to_bytes(4, "little")
        + bytes((column.type,))
        + flags.to_bytes(2, "little")
        + bytes((column.decimals,))
        + bytes(2)
    )


@lru_cache(maxsize=CACHED_DEFINITIONS)
def decode_column(payload: bytes) -> Column:
    """Decode a column definition. Raises ProtocolError."""
    cursor = Cursor(payload)
    cursor.string()  # the catalog, which is always "def"
    schema, table, original_table, name, original_name = (
        cursor.string().decode("utf-8", "replace") for _ in range(5)
    )
    cursor.length()
    charset = cursor.integer(2)
    length = cursor.integer(4)
    column_type = cursor.integer(1)
    flags = cursor.integer(2)
    decimals = cursor.integer(1)
    return Column(
        name, column_type, charset, length, flags, decimals, schema, table, original_table, original_name
    )
