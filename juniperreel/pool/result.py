"""Statements and their results. Rows remain encoded as the server sent them, to be passed on to clients."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from juniperreel.mysql.columns import Column
from juniperreel.mysql.replies import Ok
from juniperreel.mysql.rows import decode_binary_row, decode_text_row
from juniperreel.mysql.values import Value


class RowStream(Protocol):
    """The rows of a result that are not buffered yet. Must be read to the end or closed."""

    async def next_rows(self) -> list[bytes]:
        """Return more rows, or none at the end, after which `ok` is valid. Raises if the statement fails."""
        ...

    def close(self) -> None:
        """Discard the unread rows."""
        ...

    @property
    def ok(self) -> Ok:
        """The final status of the result."""
        ...

    @property
    def additional_results(self) -> list[Result]:
        """Further results of the same statement; complete once all rows were read."""
        ...


@dataclass(slots=True)
class Result:
    """The result of one statement.

    Attributes:
        columns: The result's columns; empty for a statement that returns no rows.
        rows: The rows, encoded in the text protocol or, with `binary`, in the binary protocol.
        ok: The final status; only valid after `remaining_rows` was read to the end.
        remaining_rows: The rows after `rows`, if the result is streamed.
        additional_results: Further results of the same statement, as returned by stored procedures. Those of
            a streamed result are in `remaining_rows`.
    """

    columns: tuple[Column, ...] = ()
    rows: list[bytes] = field(default_factory=list)
    ok: Ok = field(default_factory=Ok)
    binary: bool = False
    remaining_rows: RowStream | None = None
    additional_results: list[Result] = field(default_factory=list)

    @property
    def final_ok(self) -> Ok:
        """The status at the end of the statement; only valid after `remaining_rows` was read to the end."""
        return self.additional_results[-1].ok if self.additional_results else self.ok

    def values(self) -> list[list[Value]]:
        """Return the decoded rows, without `remaining_rows`.

        Raises:
            ProtocolError: A row is malformed.
        """
        read_row = decode_binary_row if self.binary else decode_text_row
        return [read_row(self.columns, row) for row in self.rows]


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement, run as text or, with `binary` or `values`, as a prepared statement."""

    text: bytes
    values: Sequence[Value] = ()
    binary: bool = False

    @property
    def prepared(self) -> bool:
        """Whether the statement is run as a prepared statement."""
        return self.binary or bool(self.values)
