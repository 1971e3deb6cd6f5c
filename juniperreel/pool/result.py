"""Statements to run, and their results as the server sent them: rows stay bytes, for clients of MySQL."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from juniperreel.mysql.columns import Column
from juniperreel.mysql.replies import Ok
from juniperreel.mysql.rows import decode_binary_row, decode_text_row
from juniperreel.mysql.values import Value


class RowStream(Protocol):
    """The rows of a result that are not buffered yet. Must be read to the end, or closed."""

    async def next_rows(self) -> list[bytes]:
        """Some rows; none at the end, from when on `ok` is valid. Raises what ends a statement."""
        ...

    def close(self) -> None:
        """Discard the rows that were not read."""
        ...

    @property
    def ok(self) -> Ok:
        """How the result ended."""
        ...


@dataclass(slots=True)
class Result:
    """The result of one statement.

    Attributes:
        columns: Empty for a statement that returns no rows.
        rows: Encoded rows, in the text protocol or, with `binary`, in the binary one.
        ok: How the result ended; not valid before `remaining_rows` was read to its end.
        remaining_rows: The rows after `rows`, if the result is streamed.
        additional_results: Further results of the same statement, as a stored procedure may return.
    """

    columns: tuple[Column, ...] = ()
    rows: list[bytes] = field(default_factory=list)
    ok: Ok = field(default_factory=Ok)
    binary: bool = False
    remaining_rows: RowStream | None = None
    additional_results: list[Result] = field(default_factory=list)

    def values(self) -> list[list[Value]]:
        """The decoded rows, without `remaining_rows`.

        Raises:
            ProtocolError: A row is malformed.
        """
        read_row = decode_binary_row if self.binary else decode_text_row
        return [read_row(self.columns, row) for row in self.rows]


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement to run: as text or, with `binary` or `values`, prepared and executed."""

    text: bytes
    values: Sequence[Value] = ()
    binary: bool = False

    @property
    def prepared(self) -> bool:
        """Whether it is run as a prepared statement."""
        return self.binary or bool(self.values)
