"""Prepared statements of one connection: texts, parameters and long data. No I/O.

A client's statement id is known to the edge only. Each execution is submitted as text and values, like any
other statement, so that any endpoint can run it. Source: MySQL's public documentation, "Prepared Statements"
and "Binary Protocol Resultset".
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

from juniperreel.frontends.mysql.errors import (
    INVALID_STATEMENT,
    OUT_OF_RANGE,
    TOO_LONG,
    TOO_MANY_PARAMETERS,
    TOO_MANY_STATEMENTS,
    UNKNOWN_STATEMENT,
    WRONG_ARGUMENTS,
    PreparedStatementError,
)
from juniperreel.mysql.constants import PARAMETER_COUNT_AVAILABLE
from juniperreel.mysql.packets import Cursor, ProtocolError
from juniperreel.mysql.parameters import (
    OutOfRangeError,
    Parameter,
    decode_parameter_types,
    decode_parameter_values,
)
from juniperreel.mysql.values import Value
from juniperreel.statements import Classification, LexerMode
from juniperreel.statements.lexer import AmbiguousTextError, TokenType, tokenize

MAX_STATEMENTS = 1024  # of one connection
MAX_PARAMETERS = 65_535  # what the protocol can count
ID_RANGE = 1 << 32
ID_BYTES = 4
LONG_DATA_HEADER_BYTES = 6  # statement id and parameter index


@dataclass(slots=True)
class PreparedStatement:
    """A prepared text, with the parameter types and long data that the next execution uses."""

    id: int
    text: bytes
    parameters: int
    classification: Classification
    parse_settings: str = ""  # the session settings that determine the text's meaning, when it was prepared
    types: list[Parameter] | None = None  # of the last execution that sent them; clients may send them once
    long_data: dict[int, bytearray] = field(default_factory=dict)  # by parameter index
    long_data_error: PreparedStatementError | None = None  # raised by the next execution


class Execution(NamedTuple):
    """One COM_STMT_EXECUTE: the statement, its parameters' values, and the command's attributes."""

    statement: PreparedStatement
    values: list[Value]
    attributes: dict[str, Value]


def count_parameters(text: bytes, mode: LexerMode) -> int:
    """Count question marks outside of strings, names and comments.

    Raises PreparedStatementError for a text that cannot be tokenized or has too many parameters.
    """
    try:
        parameters = sum(
            token.type is TokenType.SYMBOL and token.text == "?" for token in tokenize(text, mode)
        )
    except AmbiguousTextError as error:
        raise PreparedStatementError(INVALID_STATEMENT, f"not read: {error}") from None
    if parameters > MAX_PARAMETERS:
        raise PreparedStatementError(TOO_MANY_PARAMETERS, "Prepared statement contains too many placeholders")
    return parameters


class PreparedStatements:
    """All prepared statements of one connection, bounded in number and in bytes."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` limits the total of the texts, and separately that of the long data."""
        self._statements: dict[int, PreparedStatement] = {}
        self._ids = count(1)
        self._max_bytes = max_bytes
        self._text_bytes = 0
        self._long_data_bytes = 0

    def __len__(self) -> int:
        return len(self._statements)

    def prepare(
        self, text: bytes, classification: Classification, mode: LexerMode, parse_settings: str = ""
    ) -> PreparedStatement:
        """Store a text under a new id. Raises PreparedStatementError if a limit is exceeded."""
        parameters = count_parameters(text, mode)
        if len(self._statements) >= MAX_STATEMENTS or self._text_bytes + len(text) > self._max_bytes:
            raise PreparedStatementError(
                TOO_MANY_STATEMENTS, f"too many prepared statements on this connection: {len(self)}"
            )
        statement = PreparedStatement(self._next_id(), text, parameters, classification, parse_settings)
        self._text_bytes += len(text)
        self._statements[statement.id] = statement
        return statement

    def _next_id(self) -> int:
        """Return an unused id: ids wrap around, and 0 is invalid."""
        statement_id = next(self._ids) % ID_RANGE
        while statement_id in self._statements or not statement_id:
            statement_id = next(self._ids) % ID_RANGE
        return statement_id

    def get(self, statement_id: int) -> PreparedStatement:
        """Raises PreparedStatementError for an id that was never prepared or is closed."""
        statement = self._statements.get(statement_id)
        if statement is None:
            raise PreparedStatementError(
                UNKNOWN_STATEMENT, f"Unknown prepared statement handler ({statement_id})"
            )
        return statement

    def close(self, payload: bytes) -> None:
        """Handle COM_STMT_CLOSE, which has no response: an unknown id is ignored."""
        statement = self._statements.pop(read_statement_id(payload), None)
        if statement is not None:
            self._text_bytes -= len(statement.text)
            self._drop_long_data(statement)

    def reset(self, payload: bytes) -> None:
        """Handle COM_STMT_RESET: drop the long data. Raises PreparedStatementError for an unknown id."""
        statement = self.get(read_statement_id(payload))
        self._drop_long_data(statement)
        statement.long_data_error = None

    def clear(self) -> None:
        """Drop all statements, as a new session requires."""
        self._statements.clear()
        self._text_bytes = 0
        self._long_data_bytes = 0

    def append_long_data(self, payload: bytes) -> None:
        """Handle COM_STMT_SEND_LONG_DATA, which has no response: the next execution raises its error."""
        statement = self._statements.get(read_statement_id(payload))
        if statement is None or len(payload) < LONG_DATA_HEADER_BYTES:
            return
        parameter = int.from_bytes(payload[ID_BYTES:LONG_DATA_HEADER_BYTES], "little")
        data = payload[LONG_DATA_HEADER_BYTES:]
        if parameter >= statement.parameters:
            statement.long_data_error = PreparedStatementError(
                WRONG_ARGUMENTS, "Incorrect arguments to mysqld_stmt_send_long_data"
            )
        elif self._long_data_bytes + len(data) > self._max_bytes:
            # Without this limit, data sent in chunks could grow without bound although no packet is too long.
            statement.long_data_error = PreparedStatementError(
                TOO_LONG, f"long data of more than {self._max_bytes} bytes"
            )
        else:
            self._long_data_bytes += len(data)
            statement.long_data.setdefault(parameter, bytearray()).extend(data)

    def _drop_long_data(self, statement: PreparedStatement) -> None:
        self._long_data_bytes -= sum(len(data) for data in statement.long_data.values())
        statement.long_data.clear()

    def execute(self, payload: bytes, attributes: bool = False) -> Execution:
        """Parse a COM_STMT_EXECUTE, and drop the statement's long data afterwards.

        `attributes`: whether client and server negotiated query attributes, which change the packet's format.
        Raises PreparedStatementError; the statement stays prepared.
        """
        try:
            execution = self._parse_execution(Cursor(payload), attributes)
        except ProtocolError as error:
            raise PreparedStatementError(
                WRONG_ARGUMENTS, f"Incorrect arguments to mysqld_stmt_execute: {error}"
            ) from None
        except OutOfRangeError as error:
            raise PreparedStatementError(OUT_OF_RANGE, str(error)) from None
        self._drop_long_data(execution.statement)
        return execution

    def _parse_execution(self, cursor: Cursor, attributes: bool) -> Execution:
        statement = self.get(cursor.integer(ID_BYTES))
        flags = cursor.integer(1)  # may request a cursor, which the server need not open
        cursor.take(4)  # the iteration count, which is always 1
        if statement.long_data_error is not None:
            error = statement.long_data_error
            statement.long_data_error = None
            raise error
        total = statement.parameters
        if attributes and (statement.parameters or flags & PARAMETER_COUNT_AVAILABLE):
            total = cursor.length()
            if total < statement.parameters or total > MAX_PARAMETERS:
                raise ProtocolError(f"{total} parameters")
        return self._read_parameters(statement, cursor, total, attributes)

    @staticmethod
    def _read_parameters(statement: PreparedStatement, cursor: Cursor, total: int, named: bool) -> Execution:
        if not total:
            return Execution(statement, [], {})
        null_bitmap = cursor.take((total + 7) // 8)
        if cursor.integer(1):
            statement.types = decode_parameter_types(cursor, total, named)
        if statement.types is None or len(statement.types) != total:
            raise ProtocolError("no types were ever sent")
        values = decode_parameter_values(cursor, statement.types, null_bitmap, statement.long_data)
        if cursor.remaining:
            raise ProtocolError(f"{cursor.remaining} bytes too many")
        declared = statement.parameters
        attributes = zip(statement.types[declared:], values[declared:], strict=True)
        return Execution(
            statement, values[:declared], {parameter.name: value for parameter, value in attributes}
        )


def read_statement_id(payload: bytes) -> int:
    """The statement id that begins the payload of a COM_STMT command."""
    return int.from_bytes(payload[:ID_BYTES], "little")
