"""Prepared statements of one connection: texts, parameters and long data. No I/O.

A client's id names a text here and nothing at any member: each execution goes out as text and values, like
any statement, so that it runs with its own text wherever it is sent. Source: MySQL's public documentation,
"Prepared Statements" and "Binary Protocol Resultset".
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count

from juniperreel.mysql.packets import Cursor, ProtocolError
from juniperreel.mysql.values import OutOfRange, Parameter, Value, read_types, read_values
from juniperreel.statements import Classification, LexerMode
from juniperreel.statements.lexer import AmbiguousTextError, TokenType, tokenize

MAX_STATEMENTS = 1024  # of one connection
MAX_PARAMETERS = 65_535  # what the protocol can count

UNKNOWN = (1243, "HY000")
AGAIN = (1615, "HY000")
TOO_MANY = (1461, "42000")
TOO_MANY_PARAMETERS = (1390, "HY000")
WRONG_ARGUMENTS = (1210, "HY000")
OUT_OF_RANGE = (1264, "22003")
TOO_LONG = (1153, "08S01")
NOT_READ = (1064, "42000")

PARAMETER_COUNT = 0x08  # a flag of COM_STMT_EXECUTE: attributes come with the parameters


class Fault(Exception):
    """What the client is told; the connection goes on."""

    def __init__(self, code: tuple[int, str], words: str) -> None:
        super().__init__(words)
        self.code = code


@dataclass(slots=True)
class Statement:
    """`types` are those of its last execution: a client sends them once."""

    id: int
    text: bytes
    parameters: int
    reading: Classification
    parsed: str = ""  # what of the session changed how the text reads, when it was prepared
    types: list[Parameter] | None = None
    long: dict[int, bytearray] = field(default_factory=dict)
    fault: Fault | None = None  # of long data, told at the next execution


def count_parameters(text: bytes, mode: LexerMode) -> int:
    """Question marks outside of strings, names and comments. Raises Fault."""
    try:
        found = sum(t.type is TokenType.SYMBOL and t.text == "?" for t in tokenize(text, mode))
    except AmbiguousTextError as error:
        raise Fault(NOT_READ, f"not read: {error}") from None
    if found > MAX_PARAMETERS:
        raise Fault(TOO_MANY_PARAMETERS, "Prepared statement contains too many placeholders")
    return found


class Prepared:
    """All of one connection's; every method may raise Fault."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes`: of the texts and of the long data, each."""
        self._statements: dict[int, Statement] = {}
        self._ids = count(1)
        self._max = max_bytes
        self._texts = self._long = 0

    def __len__(self) -> int:
        return len(self._statements)

    def prepare(self, text: bytes, reading: Classification, mode: LexerMode, parsed: str = "") -> Statement:
        parameters = count_parameters(text, mode)
        if len(self._statements) >= MAX_STATEMENTS or self._texts + len(text) > self._max:
            raise Fault(TOO_MANY, f"too many prepared statements on this connection: {len(self)}")
        number = next(self._ids) % (1 << 32)
        while number in self._statements or not number:  # ids wrap; one that is in use must keep its text
            number = next(self._ids) % (1 << 32)
        self._texts += len(text)
        made = self._statements[number] = Statement(number, text, parameters, reading, parsed)
        return made

    def get(self, number: int) -> Statement:
        found = self._statements.get(number)
        if found is None:
            raise Fault(UNKNOWN, f"Unknown prepared statement handler ({number})")
        return found

    def close(self, payload: bytes) -> None:
        """Of a statement that is not there, too: nobody is told."""
        found = self._statements.pop(int.from_bytes(payload[:4], "little"), None)
        if found is not None:
            self._texts -= len(found.text)
            self._drop_long(found)

    def reset(self, payload: bytes) -> None:
        statement = self.get(int.from_bytes(payload[:4], "little"))
        self._drop_long(statement)
        statement.fault = None

    def clear(self) -> None:
        self._statements.clear()
        self._texts = self._long = 0

    def long_data(self, payload: bytes) -> None:
        """Nobody is told now: what is wrong comes out at the next execution."""
        statement = self._statements.get(int.from_bytes(payload[:4], "little"))
        if statement is None or len(payload) < 6:
            return
        at, data = int.from_bytes(payload[4:6], "little"), payload[6:]
        if at >= statement.parameters:
            statement.fault = Fault(WRONG_ARGUMENTS, "Incorrect arguments to mysqld_stmt_send_long_data")
        elif self._long + len(data) > self._max:
            # Danger: data that comes piece by piece grows without any packet being too long.
            statement.fault = Fault(TOO_LONG, f"long data of more than {self._max} bytes")
        else:
            self._long += len(data)
            statement.long.setdefault(at, bytearray()).extend(data)

    def _drop_long(self, statement: Statement) -> None:
        self._long -= sum(len(data) for data in statement.long.values())
        statement.long.clear()

    def execute(
        self, payload: bytes, attributes: bool = False
    ) -> tuple[Statement, list[Value], dict[str, Value]]:
        """The statement, its parameters' values, and the command's attributes. Long data is used up.
        `attributes`: whether client and server agreed on them, which changes the packet's form."""
        c = Cursor(payload)
        try:
            statement = self.get(c.number(4))
            flags = c.number(1)  # a cursor may be asked for, and need not be opened
            counted = attributes and (statement.parameters or flags & PARAMETER_COUNT)
            c.take(4)  # iterations are always 1
            if statement.fault is not None:
                fault, statement.fault = statement.fault, None
                raise fault
            total = statement.parameters
            if counted:
                total = c.length()
                if total < statement.parameters or total > MAX_PARAMETERS:
                    raise ProtocolError(f"{total} parameters")
            values, named = self._values(statement, c, total, attributes)
        except ProtocolError as error:
            raise Fault(WRONG_ARGUMENTS, f"Incorrect arguments to mysqld_stmt_execute: {error}") from None
        except OutOfRange as error:
            raise Fault(OUT_OF_RANGE, str(error)) from None
        self._drop_long(statement)
        return statement, values, named

    def _values(
        self, statement: Statement, c: Cursor, total: int, named: bool
    ) -> tuple[list[Value], dict[str, Value]]:
        if not total:
            return [], {}
        nulls = c.take((total + 7) // 8)
        if c.number(1):
            statement.types = read_types(c, total, named)
        if statement.types is None or len(statement.types) != total:
            raise ProtocolError("no types were ever sent")
        values = read_values(c, statement.types, nulls, statement.long)
        if c.left:
            raise ProtocolError(f"{c.left} bytes too many")
        own = statement.parameters
        extra = zip(statement.types[own:], values[own:], strict=True)
        return values[:own], {t.name: v for t, v in extra}
